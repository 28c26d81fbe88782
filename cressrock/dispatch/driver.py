"""The driver: hands what happened to the scheduler's decisions in batches, and carries out its orders.

It decides nothing and knows no protocol: a transport carries the attempts, and whoever runs the driver
calls `process_batch` when it asks for one.  One batch serves many events; a process that stood still hands
over all that waited, with the time each client has truly left and the time each answer truly took.  Orders
are executed in order, each of them after the ledger's check.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cressrock.dispatch.idempotency import IdempotencyKeys
from cressrock.dispatch.ledger import NEVER_RAN, Attempt, FenceTrip, Ledger, Settled, Verdict
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

FOREVER = float("inf")


class DecisionModule(Protocol):
    """The scheduler's decision module."""

    def act(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in a batch and return orders."""


class Observer(Protocol):
    """Where the driver reports what it did: structured logs and metrics, or a test's list."""

    def fence_tripped(self, trip: FenceTrip) -> None:
        """Report an order that a fence stopped."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, latency_ms: float, text: str) -> None:
        """Report an attempt's outcome."""

    def answered(self, request_class: int, verdict: Verdict, reason: Reason | None, ms: float) -> None:
        """Report an operation's final answer."""

    def batch_processed(self, events: int, queued_ms: float, act_ms: float) -> None:
        """Report a batch: its events, how long the oldest waited, what the decisions took."""

    def line(self, text: str) -> None:
        """Pass on a line of the decision module for the on-call staff."""


@dataclass(slots=True)
class _PendingOperation:
    """An operation whose client still waits for its answer."""

    op: ShardRequest
    label: str
    deadline_ms: float
    accepted_at_ms: float
    waiting_since_ms: float  # when its user began to wait
    on_answer: Callable[[Any], None]
    is_client_present: Callable[[], bool]  # whether its client is still there


class _Call:
    """One attempt in the transport's hands, on its way back to the driver."""

    __slots__ = ("driver", "name", "pending", "attempt", "deadline", "leave_by", "handle")

    def __init__(
        self, driver: Driver, name: str, pending: _PendingOperation, attempt: Attempt, deadline: float
    ) -> None:
        """`leave_by` is asked here: no outcome of an earlier attempt comes in while this one is out."""
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
            # Danger: whoever reads the client hears of its end later: its reading is paused, or the loop was
            # busy.  An attempt that begins meanwhile is work for nobody.
            self.driver.client_left(self.name)
        return self.driver.ledger.may_leave(self.name, self.attempt.number, self.driver.clock())

    def begin(self, reply: Any) -> bool:
        return self.driver._on_response_started(self, reply)

    def end(self, ending: AttemptResult) -> None:
        self.driver._on_attempt_ended(self, ending)


class Driver:
    """One dispatcher's driver.

    `request_wakeup` is called when a batch is wanted; `process_batch` has to be called then, and again at
    `next_batch_ms`.
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
        keys: IdempotencyKeys | None = None,
        subscribe: Callable[[], None] = lambda: None,
        request_wakeup: Callable[[], None] = lambda: None,
    ) -> None:
        """`clock` gives monotonic milliseconds.

        `retry_after_ms` is what a refusal names where the decisions name no time; 0: none.  `keys` is the
        memory of clients' keys over several operations; None where clients use a key for one alone.
        """
        self.decisions = decisions
        self.ledger = ledger
        self.transport = transport
        self.classes = classes
        self.observer = observer
        self.retry_after_ms = retry_after_ms
        self.subscribe = subscribe
        self.keys = keys
        self.clock = clock
        self.request_wakeup = request_wakeup
        self.pending: dict[str, _PendingOperation] = {}
        # Attempts in flight outlive the operation whose client has left: they can still be cancelled.
        self.in_flight: dict[tuple[str, int], _Call] = {}
        self._inbox: deque[tuple[float, int, str, Event | _PendingOperation]] = deque()
        self._timers: dict[int, float] = {}
        self._batch_requested = False

    # --- what happened

    def receive_node_list(self, report: NodeList) -> None:
        """Hand over a report of the node list; the ledger knows it from this moment, as rule 3 counts."""
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
        """Accept an operation; `answer` gets its one final answer later, unless it is denied here and now.

        `present` tells whether the client is still there; it is asked just before each attempt's first byte,
        and False counts as its having left.

        `label` names the client's request in what goes to the nodes, for logs and traces only.
        `deadline` and `since`, when the client's request was taken, are on the driver's clock.
        """
        now = self.clock()
        request_class = self.classes[op.request_class]
        since = now if since is None else since
        if self.keys is not None and op.idempotency_key and request_class.idempotency is Idempotency.KEYED:
            first_sent_ms = self.keys.first_sent_ms(op.idempotency_key, now)
            if first_sent_ms is not None:
                since = min(since, first_sent_ms)  # a later try of the same user
                deadline = min(deadline, first_sent_ms + request_class.deduplication_window_ms)
                if now >= deadline:
                    return Denial(Verdict.FAILED, Reason.KEY)
        if self.ledger.accept(name, exchange, request_class, deadline, now) is None:
            return Denial(Verdict.REJECTED, Reason.FULL, self.retry_after_ms)
        pending = self.pending[name] = _PendingOperation(
            op, label or name, deadline, now, since, answer, present
        )
        self._enqueue(name, 1, pending)
        return None

    def client_left(self, name: str) -> bool:
        """Say that the client has left; False if it had its answer before.

        What is out at a node runs on to its outcome, which the decisions hear and nobody is shown; what has
        not left whole for one does not run at all.
        """
        pending = self.pending.pop(name, None)
        if pending is None or not self.ledger.client_left(name):
            return False
        self._enqueue(name, 3, ClientLeft(name))
        entry = self.ledger.entries.get(name)
        call = self.in_flight.get((name, len(entry.attempts) - 1)) if entry is not None else None
        if call is not None and call.handle is not None:
            # Danger: where attempts may not be cancelled, the rest of the request would arrive, and the work
            # begin, later.
            call.handle.abandon()
        self.observer.answered(
            pending.op.request_class, Verdict.LEFT, Reason.LEFT, self.clock() - pending.accepted_at_ms
        )
        return True

    def abort_pending(self) -> None:
        """Give every pending operation its final answer now: the process ends, and nobody else can."""
        for name in list(self.pending):
            entry = self.ledger.entries.get(name)
            harmless = entry is not None and self.ledger.may_reject(entry)
            end = self.ledger.reject if harmless else self.ledger.fail
            self._give_denial(name, end(name, Reason.STOPPING), Reason.STOPPING, 0.0)

    def request_batch(self) -> None:
        """Ask for a batch though nothing happened here: the decision module has orders of its own."""
        self._batch_requested = True
        self.request_wakeup()

    def _enqueue(self, name: str, rank: int, event: Event | _PendingOperation) -> None:
        self._inbox.append((self.clock(), rank, name, event))
        self.request_wakeup()

    # --- the loop

    def next_batch_ms(self) -> float:
        """Return when the next batch has to be processed at the latest, should nothing happen."""
        return min(min(self._timers.values(), default=FOREVER), self.ledger.next_overdue_ms())

    def process_batch(self) -> None:
        """Hand over what has happened, and execute what is ordered."""
        now = self.clock()
        waiting = sorted(self._inbox, key=_arrival_order)
        self._inbox.clear()
        events: list[Event] = []
        for _, _, name, event in waiting:
            events.append(self._arrival(name, event, now) if isinstance(event, _PendingOperation) else event)
        for token, at in sorted(self._timers.items()):
            if at <= now:
                del self._timers[token]
                events.append(TimerFired(token))
        if events or self._batch_requested:
            self._batch_requested = False
            actions = self.decisions.act(now, events)
            for action in actions:
                self._execute(action, now)
            self.observer.batch_processed(
                len(events), now - waiting[0][0] if waiting else 0.0, self.clock() - now
            )
        for name in self.ledger.overdue(now):
            self._give_denial(name, self.ledger.fail(name, Reason.OVERDUE), Reason.OVERDUE, 0.0)

    @staticmethod
    def _arrival(name: str, pending: _PendingOperation, now: float) -> Arrival:
        op = pending.op
        return Arrival(
            request=name,
            volume=op.volume,
            key=op.key,
            units=op.units,
            remaining_ms=max(0.0, pending.deadline_ms - now),
            plan=op.plan,
            request_class=op.request_class,
            shard=op.shard,
            sharing_hosts=op.writers,
            waited_ms=max(0.0, now - pending.waiting_since_ms),
        )

    def _execute(self, action: Action, now: float) -> None:
        match action:
            case Send(request, node, within_ms):
                self._send_attempt(request, node, within_ms, now)
            case Reject(request, stay_away_ms):
                verdict = self.ledger.reject(request, Reason.SCHEDULER)
                self._give_denial(request, verdict, Reason.SCHEDULER, stay_away_ms or self.retry_after_ms)
            case Fail(request):
                entry = self.ledger.entries.get(request)
                last = entry.attempts[-1].outcome if entry is not None and entry.attempts else None
                reason = Reason.DEADLINE if last in (None, Outcome.TIMEOUT) else Reason.ATTEMPTS
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
                self.observer.line(text)

    def _send_attempt(self, name: str, node: str, within_ms: float, now: float) -> None:
        entered = self.ledger.send(name, node, now)
        pending = self.pending.get(name)
        if isinstance(entered, FenceTrip) or pending is None:
            if isinstance(entered, FenceTrip):
                self.observer.fence_tripped(entered)
                number = entered.number
            else:
                number = entered.number
                self.ledger.record_outcome(name, number, Outcome.ABANDONED)
            self._enqueue(
                name, 2, AttemptEnded(name, number, Outcome.ABANDONED, pending is None, 0.0, charged=False)
            )
            return
        if self.keys is not None and pending.op.idempotency_key:
            self.keys.record_sent(pending.op.idempotency_key, now)
        deadline = pending.deadline_ms if not within_ms else min(pending.deadline_ms, now + within_ms)
        call = self.in_flight[name, entered.number] = _Call(self, name, pending, entered, deadline)
        call.handle = self.transport.start(call)

    def _give_denial(self, name: str, verdict: Verdict | None, reason: Reason, retry_after_ms: float) -> None:
        """Give a rejection or a failure, once; a verdict of None says that the answer was given before."""
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

    # --- what the transport reports

    def _on_response_started(self, call: _Call, reply: Any) -> bool:
        if not self.ledger.commit(call.name):
            return False
        self._give_answer(call.name, call.pending, reply, Verdict.SERVED, None)
        return True

    def _on_attempt_ended(self, call: _Call, result: AttemptResult) -> Settled:
        """Enter an attempt's one outcome with the ledger, and tell the decisions."""
        name, attempt, outcome = call.name, call.attempt, result.outcome
        del self.in_flight[name, attempt.number]
        settled = self.ledger.record_outcome(name, attempt.number, outcome)
        key = call.pending.op.idempotency_key
        if self.keys is not None and key and outcome in NEVER_RAN:
            self.keys.retract_sent(key, attempt.sent_at_ms)
        event = AttemptEnded(
            name,
            attempt.number,
            outcome,
            settled.is_answered,
            result.latency_ms,
            result.used,
            result.elsewhere,
            reached_node(outcome),
        )
        self._enqueue(name, 2, event)
        self.observer.attempt_ended(attempt, outcome, result.latency_ms, result.text)
        if settled.answered_now:
            self._give_answer(name, call.pending, result.reply, Verdict.SERVED, None)
        return settled


def _arrival_order(item: tuple[float, int, str, Event | _PendingOperation]) -> tuple[float, int, str]:
    """Order what came in one instant by a stable key, so that no decision hangs on the task order."""
    return item[:3]
