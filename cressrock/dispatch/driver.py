"""The driver: passes events to the scheduler's decision module in batches and executes its actions.

It makes no scheduling decisions and knows no protocol: a transport carries the attempts, and the owner of the
driver calls `process_batch` when the driver requests it.  One batch carries many events.  After a stall of
the process, the next batch carries all queued events; each arrival has the time that its client has left at
that moment, and each outcome the latency that was measured.  Actions are executed in order, and the ledger
checks each of them first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger, RecordedOutcome, Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import (
    AttemptHandle,
    AttemptResult,
    Denial,
    ShardRequest,
    Transport,
    reached_node,
)
from cressrock.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    ClientLeft,
    DeduplicationScope,
    Event,
    Fail,
    Idempotency,
    ListKind,
    Log,
    NodeList,
    Outcome,
    Reject,
    RequestClass,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)

INFINITE_MS = float("inf")


class DecisionModule(Protocol):
    """The scheduler's decision module."""

    def act(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process a batch of events and return the actions to execute, in order."""


class Observer(Protocol):
    """Receives the driver's reports, for structured logs and metrics or for a test."""

    def fence_tripped(self, trip: FenceTrip) -> None:
        """Report an action that a fence of the ledger blocked."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, latency_ms: float, text: str) -> None:
        """Report an attempt's outcome; `text` is a detail for the log."""

    def answered(self, request_class: int, verdict: Verdict, reason: Reason | None, ms: float) -> None:
        """Report an operation's final answer, `ms` milliseconds after it was accepted."""

    def batch_processed(self, events: int, queued_ms: float, act_ms: float) -> None:
        """Report a batch: number of events, queueing time of the oldest one, and duration of `act`."""

    def log_line(self, text: str) -> None:
        """Write a log line of the decision module, meant for the on-call staff."""


@dataclass(slots=True)
class _PendingOperation:
    """An operation that has no final answer yet and whose client is still connected."""

    op: ShardRequest
    label: str
    deadline_ms: float
    accepted_at_ms: float
    waiting_since_ms: float  # when the user began to wait, earlier operations with the same key included
    on_answer: Callable[[Any], None]
    is_client_present: Callable[[], bool]


class _Call:
    """One attempt that the transport carries; the transport reports back to the driver through it."""

    __slots__ = ("driver", "name", "pending", "attempt", "deadline", "leave_by", "handle")

    def __init__(
        self, driver: Driver, name: str, pending: _PendingOperation, attempt: Attempt, deadline: float
    ) -> None:
        """`leave_by` is computed once: no other attempt ends while this one is in flight."""
        self.driver = driver
        self.name = name
        self.pending = pending
        self.attempt = attempt
        self.deadline = deadline
        self.leave_by = driver.ledger.leave_by(name, attempt.number)
        self.handle: AttemptHandle | None = None

    @property
    def op(self) -> Any:
        return self.pending.op

    @property
    def label(self) -> str:
        return self.pending.label

    def may_leave(self) -> bool:
        if not self.pending.is_client_present():
            # The reader of the client's connection may notice the disconnect later, since reading is paused
            # or the event loop was busy.  Without this check, an attempt that starts meanwhile is wasted
            # work.
            self.driver.client_left(self.name)
        return self.driver.ledger.may_leave(self.name, self.attempt.number, self.driver.clock())

    def begin(self, reply: Any) -> bool:
        return self.driver._on_response_started(self, reply)

    def end(self, ending: AttemptResult) -> None:
        self.driver._on_attempt_ended(self, ending)


class Driver:
    """The driver of one dispatcher.

    It calls `request_wakeup` when a batch is needed.  The owner must then call `process_batch`, and again at
    the time that `next_batch_ms` returns.
    """

    def __init__(
        self,
        decisions: DecisionModule,
        ledger: Ledger,
        transport: Transport,
        classes: tuple[RequestClass, ...],
        observer: Observer,
        *,
        clock: Callable[[], float],
        retry_after_ms: float = 0.0,
        subscribe: Callable[[], None] = lambda: None,
        request_wakeup: Callable[[], None] = lambda: None,
    ) -> None:
        """`clock` gives monotonic milliseconds.

        `retry_after_ms` is the default for rejections to which the scheduler gave no time; 0 means none.
        """
        self.decisions = decisions
        self.ledger = ledger
        self.transport = transport
        self.classes = classes
        self.observer = observer
        self.retry_after_ms = retry_after_ms
        self.subscribe = subscribe
        self.clock = clock
        self.request_wakeup = request_wakeup
        self.pending: dict[str, _PendingOperation] = {}
        # Attempts in flight stay here after their client has disconnected, so that they can be cancelled.
        self.in_flight: dict[tuple[str, int], _Call] = {}
        self._inbox: deque[tuple[float, int, str, Event | _PendingOperation]] = deque()
        self._timers: dict[int, float] = {}
        self._batch_requested = False

    # --- incoming events

    def receive_node_list(self, report: NodeList) -> None:
        """Queue a node list report.  The ledger applies it at once, since rule 3 counts from its receipt."""
        if report.kind is not ListKind.FAILED:
            complete = report.kind is not ListKind.CHANGES
            self.ledger.update_nodes(report.nodes, self.clock(), complete=complete)
        self._enqueue("", 0, report)

    def submit(
        self,
        name: str,
        exchange: str,
        op: ShardRequest,
        deadline: float,
        answer: Callable[[Any], None],
        label: str = "",
        since: float | None = None,
        present: Callable[[], bool] = lambda: True,
    ) -> Denial | None:
        """Accept an operation and return None, or return a denial at once.

        `answer` is called later with the one final answer of an accepted operation.  `present` returns
        whether the client is still connected; it is called just before the first byte of each attempt, and
        False is treated as a disconnect.  `label` identifies the client's request to the nodes, for logs and
        traces only.  `deadline` and `since` (when the client's request was received) are milliseconds on the
        driver's clock.
        """
        now_ms = self.clock()
        request_class = self.classes[op.request_class]
        since = now_ms if since is None else since
        first_run = None
        if op.idempotency_key and request_class.idempotency is Idempotency.KEYED:
            first_run = self.ledger.keys.first_run(op.idempotency_key, now_ms)
        if first_run is not None:
            since = min(since, first_run.sent_at_ms)  # the same user's retry
            deadline = min(deadline, first_run.sent_at_ms + request_class.deduplication_window_ms)
            if now_ms >= deadline:
                return Denial(Verdict.FAILED, Reason.KEY)
        accepted = self.ledger.accept(
            name, exchange, request_class, deadline, now_ms, idempotency_key=op.idempotency_key
        )
        if accepted is None:
            return self.deny_for_lack_of_room(op)
        pending = self.pending[name] = _PendingOperation(
            op, label or name, deadline, now_ms, since, answer, present
        )
        self._enqueue(name, 1, pending)
        return None

    def deny_for_lack_of_room(self, op: ShardRequest) -> Denial:
        """Return the denial of an operation that is not accepted; nothing of it was or will be sent."""
        request_class = self.classes[op.request_class]
        if not self.ledger.may_reject_key(request_class, op.idempotency_key):
            return Denial(Verdict.FAILED, Reason.FULL)
        return Denial(Verdict.REJECTED, Reason.FULL, self.retry_after_ms)

    def client_left(self, name: str) -> bool:
        """Record that the client has disconnected; False if the operation was already over.

        An attempt that was sent completely continues, and only the scheduler gets its outcome.  An
        attempt that was not sent completely is abandoned and never runs.
        """
        pending = self.pending.pop(name, None)
        if pending is None or not self.ledger.client_left(name):
            return False
        self._withdraw(name)
        self.observer.answered(
            pending.op.request_class, Verdict.LEFT, Reason.LEFT, self.clock() - pending.accepted_at_ms
        )
        return True

    def has_attempt_in_flight(self, name: str) -> bool:
        """Return whether an attempt of an operation has no outcome yet; its client may have left."""
        entry = self.ledger.entries.get(name)
        return entry is not None and entry.attempt_in_flight() is not None

    def may_have_run(self, name: str) -> bool:
        """Return whether an attempt of an open operation may have run, or may yet."""
        entry = self.ledger.entries.get(name)
        return entry is not None and entry.first_run() is not None

    def shed(self, name: str) -> bool:
        """Reject an operation for lack of memory, sent or not; return False where that is not allowed.

        It is allowed where no attempt may have run, or where a retry has no second effect.
        """
        entry = self.ledger.entries.get(name)
        if entry is None or name not in self.pending or not self.ledger.may_reject(entry):
            return False
        verdict = self.ledger.reject(name, Reason.FULL)
        # For the scheduler it is over in the same way as one whose client has left.
        self._withdraw(name)
        self._give_denial(name, verdict, Reason.FULL, self.retry_after_ms)
        return True

    def _withdraw(self, name: str) -> None:
        """Tell the scheduler that an operation is over, and abandon what was not sent completely."""
        self._enqueue(name, 3, ClientLeft(name))
        entry = self.ledger.entries.get(name)
        call = self.in_flight.get((name, len(entry.attempts) - 1)) if entry is not None else None
        if call is not None and call.handle is not None:
            # The scheduler cannot stop attempts that may not be cancelled.  Without this call, the rest of
            # the request would arrive later and the node would start the work.
            call.handle.abandon()

    def abort_pending(self) -> None:
        """Answer every pending operation at shutdown, since no other process could answer it."""
        for name in list(self.pending):
            entry = self.ledger.entries.get(name)
            is_rejectable = entry is not None and self.ledger.may_reject(entry)
            deny = self.ledger.reject if is_rejectable else self.ledger.fail
            self._give_denial(name, deny(name, Reason.STOPPING), Reason.STOPPING, 0.0)

    def request_batch(self) -> None:
        """Request a batch even without events: the decision module has actions ready."""
        self._batch_requested = True
        self.request_wakeup()

    def _enqueue(self, name: str, rank: int, event: Event | _PendingOperation) -> None:
        self._inbox.append((self.clock(), rank, name, event))
        self.request_wakeup()

    # --- batches

    def next_batch_ms(self) -> float:
        """Return when the next batch is due if no event arrives, in clock milliseconds; infinity if never."""
        return min(min(self._timers.values(), default=INFINITE_MS), self.ledger.next_overdue_ms())

    def process_batch(self) -> None:
        """Pass the queued events and expired timers to the decision module, and execute its actions."""
        now_ms = self.clock()
        queued = sorted(self._inbox, key=_arrival_order)
        self._inbox.clear()
        events: list[Event] = []
        for _, _, name, event in queued:
            if isinstance(event, _PendingOperation):
                event.deadline_ms = min(event.deadline_ms, self.ledger.key_window_end_ms(name, now_ms))
                event = self._arrival(name, event, now_ms)
            events.append(event)
        for token, due_at_ms in sorted(self._timers.items()):
            if due_at_ms <= now_ms:
                del self._timers[token]
                events.append(TimerFired(token))
        if events or self._batch_requested:
            self._batch_requested = False
            actions = self.decisions.act(now_ms, events)
            for action in actions:
                self._execute(action, now_ms)
            self.observer.batch_processed(
                len(events), now_ms - queued[0][0] if queued else 0.0, self.clock() - now_ms
            )
        for name in self.ledger.overdue(now_ms):
            self._give_denial(name, self.ledger.fail(name, Reason.OVERDUE), Reason.OVERDUE, 0.0)

    def _arrival(self, name: str, pending: _PendingOperation, now_ms: float) -> Arrival:
        op = pending.op
        return Arrival(
            request=name,
            volume=op.volume,
            key=op.key,
            units=op.units,
            remaining_ms=max(0.0, pending.deadline_ms - now_ms),
            plan=op.plan,
            request_class=op.request_class,
            shard=self._shard(name, op, now_ms),
            sharing_hosts=op.dispatcher_count,
            waited_ms=max(0.0, now_ms - pending.waiting_since_ms),
        )

    def _shard(self, name: str, op: ShardRequest, now_ms: float) -> int:
        """Return the shard of an operation's data.

        For a new object, that is the shard to which another operation with the key was sent, if only nodes
        there are known to drop repeats.
        """
        first_run = self.ledger.first_run_elsewhere(name, now_ms)
        scope = self.classes[op.request_class].deduplication_scope
        if op.shard >= 0 or first_run is None or scope is DeduplicationScope.ALL:
            return op.shard
        return first_run.node.shard

    def _execute(self, action: Action, now_ms: float) -> None:
        match action:
            case Send(request, node, within_ms):
                self._send_attempt(request, node, within_ms, now_ms)
            case Reject(request, reject_retry_after_ms):
                self._reject(request, reject_retry_after_ms or self.retry_after_ms)
            case Fail(request):
                entry = self.ledger.entries.get(request)
                last_outcome = entry.attempts[-1].outcome if entry is not None and entry.attempts else None
                reason = Reason.DEADLINE if last_outcome in (None, Outcome.TIMEOUT) else Reason.ATTEMPTS
                self._give_denial(request, self.ledger.fail(request, reason), reason, 0.0)
            case Cancel(request, attempt):
                call = self.in_flight.get((request, attempt))
                if call is not None and call.handle is not None:
                    call.handle.stop()
            case SetTimer(at_ms, token):
                self._timers[token] = at_ms
            case Subscribe():
                self.subscribe()
            case Log(text):
                self.observer.log_line(text)

    def _reject(self, name: str, retry_after_ms: float) -> None:
        """Reject an operation as the scheduler ordered; fail it if another one with its key may have run.

        The scheduler does not know of the other operation, so its order is no defect.
        """
        entry = self.ledger.entries.get(name)
        if entry is not None and entry.first_run() is None and not self.ledger.may_reject(entry):
            self._give_denial(name, self.ledger.fail(name, Reason.DEADLINE), Reason.DEADLINE, 0.0)
        else:
            verdict = self.ledger.reject(name, Reason.SCHEDULER)
            self._give_denial(name, verdict, Reason.SCHEDULER, retry_after_ms)

    def _send_attempt(self, name: str, node: str, within_ms: float, now_ms: float) -> None:
        if self.ledger.is_behind_key_window(name, now_ms):
            self._fail_behind_key_window(name)
            return
        if self.ledger.is_outside_key_scope(name, node, now_ms):
            unsent = self.ledger.record_unsent(name, node, now_ms)
            if unsent is not None:
                self._report_unsent(name, unsent.number, settled=False)
                return
        recorded = self.ledger.send(name, node, now_ms)
        pending = self.pending.get(name)
        if isinstance(recorded, FenceTrip) or pending is None:
            if isinstance(recorded, FenceTrip):
                self.observer.fence_tripped(recorded)
                number = recorded.number
            else:
                number = recorded.number
                self.ledger.record_outcome(name, number, Outcome.ABANDONED)
            self._report_unsent(name, number, settled=pending is None)
            return
        deadline = pending.deadline_ms if not within_ms else min(pending.deadline_ms, now_ms + within_ms)
        call = self.in_flight[name, recorded.number] = _Call(self, name, pending, recorded, deadline)
        call.handle = self.transport.start(call)

    def _fail_behind_key_window(self, name: str) -> None:
        """Fail an operation that was held until the window of its key ended, which another one had begun.

        The scheduler does not know of the other operation, so its order is no defect.
        """
        number = len(self.ledger.entries[name].attempts)
        self._give_denial(name, self.ledger.fail(name, Reason.KEY), Reason.KEY, 0.0)
        self._report_unsent(name, number, settled=True)

    def _report_unsent(self, name: str, number: int, *, settled: bool) -> None:
        self._enqueue(
            name, 2, AttemptEnded(name, number, Outcome.ABANDONED, settled, latency_ms=0.0, charged=False)
        )

    def _give_denial(self, name: str, verdict: Verdict | None, reason: Reason, retry_after_ms: float) -> None:
        """Answer with a rejection or failure; does nothing if `verdict` is None (already answered)."""
        pending = self.pending.get(name)
        if verdict is None or pending is None:
            return
        if verdict is Verdict.FAILED and reason is Reason.SCHEDULER:
            reason = Reason.FENCED_REFUSAL
        self._give_answer(name, pending, Denial(verdict, reason, retry_after_ms), verdict, reason)

    def _give_answer(
        self, name: str, pending: _PendingOperation, result: Any, verdict: Verdict, reason: Reason | None
    ) -> None:
        self.pending.pop(name, None)
        pending.on_answer(result)
        self.observer.answered(
            pending.op.request_class, verdict, reason, self.clock() - pending.accepted_at_ms
        )

    # --- reports of the transport

    def _on_response_started(self, call: _Call, reply: Any) -> bool:
        if not self.ledger.record_response_start(call.name):
            return False
        self._give_answer(call.name, call.pending, reply, Verdict.SERVED, None)
        return True

    def _on_attempt_ended(self, call: _Call, result: AttemptResult) -> RecordedOutcome:
        """Record an attempt's outcome in the ledger, and queue it for the decision module."""
        name, attempt, outcome = call.name, call.attempt, result.outcome
        del self.in_flight[name, attempt.number]
        settled = self.ledger.record_outcome(name, attempt.number, outcome)
        event = AttemptEnded(
            name,
            attempt.number,
            outcome,
            settled.is_answered,
            result.latency_ms,
            result.used,
            result.units_elsewhere,
            reached_node(outcome),
        )
        self._enqueue(name, 2, event)
        self.observer.attempt_ended(attempt, outcome, result.latency_ms, result.text)
        if settled.is_final_answer:
            self._give_answer(name, call.pending, result.reply, Verdict.SERVED, None)
        return settled


def _arrival_order(item: tuple[float, int, str, Event | _PendingOperation]) -> tuple[float, int, str]:
    """Sort events of the same instant by a stable key, so that decisions do not depend on task order."""
    return item[:3]
