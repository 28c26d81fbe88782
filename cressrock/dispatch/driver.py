"""The driver: hands what happened to the scheduler's decisions in batches, and carries out its orders.

It takes no decision and knows no protocol: a transport carries the attempts, and whoever runs the driver
calls `turn` when it asks for one.  One wake serves many events; a process that stood still hands over all
that waited, with the time each client has truly left and the time each answer truly took.  Orders are
carried out in order; the ledger stands before each of them.
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
    """Where the driver tells what it did; structured logs and metrics, or a test's list."""

    def fence_tripped(self, trip: FenceTrip) -> None:
        """Report an order that a fence stopped."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, lag_ms: float, text: str) -> None:
        """Report an attempt's outcome."""

    def answered(self, request_class: int, verdict: Verdict, reason: Reason | None, ms: float) -> None:
        """Report an operation's final answer."""

    def batch_processed(self, events: int, late_ms: float, act_ms: float) -> None:
        """Report a batch: its events, how long the oldest waited, what the decisions took."""

    def line(self, text: str) -> None:
        """Pass on a line of the decision module for the on-call staff."""


@dataclass(slots=True)
class _Slot:
    """An operation that somebody waits for."""

    op: ShardRequest
    label: str
    deadline: float
    taken_at: float
    since: float  # when its user began to wait
    answer: Callable[[Any], None]
    present: Callable[[], bool]  # whether its client is still there


class _Call:
    """One attempt in the transport's hands, on its way back to the driver."""

    __slots__ = ("driver", "name", "slot", "attempt", "deadline", "leave_by", "flight")

    def __init__(self, driver: Driver, name: str, slot: _Slot, attempt: Attempt, deadline: float) -> None:
        """`leave_by` is asked here: no outcome of an earlier attempt comes in while this one is out."""
        self.driver = driver
        self.name = name
        self.slot = slot
        self.attempt = attempt
        self.deadline = deadline
        self.leave_by = driver.ledger.leave_by(name, attempt.number)
        self.flight: AttemptHandle | None = None

    @property
    def op(self) -> Any:
        return self.slot.op

    @property
    def label(self) -> str:
        return self.slot.label

    def may_leave(self) -> bool:
        if not self.slot.present():
            # Danger: whoever reads the client hears of its end later: its reading is paused, or the loop was
            # busy.  An attempt that begins meanwhile is work for nobody.
            self.driver.client_left(self.name)
        return self.driver.ledger.may_leave(self.name, self.attempt.number, self.driver.clock())

    def begin(self, reply: Any) -> bool:
        return self.driver._began(self, reply)

    def end(self, ending: AttemptResult) -> None:
        self.driver._ended(self, ending)


class Driver:
    """One dispatcher's driver.

    `wake` is called when a turn is wanted; `turn` has to be called then, and again when `due` says.
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
        self.pending: dict[str, _Slot] = {}
        # Attempts out live longer than the slot whose client has left: they can still be ordered off.
        self.in_flight: dict[tuple[str, int], _Call] = {}
        self._inbox: deque[tuple[float, int, str, Event | _Slot]] = deque()
        self._timers: dict[int, float] = {}
        self._poked = False

    # --- what happened

    def receive_node_list(self, report: NodeList) -> None:
        """Hand over news of the node list; the ledger knows it from this moment, as rule 3 counts."""
        if report.kind is not ListKind.FAILED:
            complete = report.kind is not ListKind.CHANGES
            self.ledger.update_nodes(report.nodes, self.clock(), complete=complete)
        self._tell("", 0, report)

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
        """Take an operation; `answer` gets its one final answer later, unless it is denied here and now.

        `present` tells whether the client is still there; it is asked just before each attempt's first byte,
        and False counts as its having left.

        `label` names the client's request in what goes to the nodes, for logs and traces only.
        `deadline` and `since`, when the client's request was taken, are on the driver's clock.
        """
        now = self.clock()
        cls = self.classes[op.request_class]
        since = now if since is None else since
        if self.keys is not None and op.idempotency_key and cls.idempotency is Idempotency.KEYED:
            first = self.keys.first_sent_ms(op.idempotency_key, now)
            if first is not None:
                since = min(since, first)  # a later try of the same user
                deadline = min(deadline, first + cls.deduplication_window_ms)
                if now >= deadline:
                    return Denial(Verdict.FAILED, Reason.KEY)
        if self.ledger.accept(name, exchange, cls, deadline, now) is None:
            return Denial(Verdict.REJECTED, Reason.FULL, self.retry_after_ms)
        slot = self.pending[name] = _Slot(op, label or name, deadline, now, since, answer, present)
        self._tell(name, 1, slot)
        return None

    def client_left(self, name: str) -> bool:
        """Say that the client has left; False if it had its answer before.

        What is out at a node runs on to its outcome, which the decisions hear and nobody is shown; what has
        not left whole for one does not run at all.
        """
        slot = self.pending.pop(name, None)
        if slot is None or not self.ledger.client_left(name):
            return False
        self._tell(name, 3, ClientLeft(name))
        entry = self.ledger.entries.get(name)
        call = self.in_flight.get((name, len(entry.attempts) - 1)) if entry is not None else None
        if call is not None and call.flight is not None:
            # Danger: where attempts may not be cancelled, the rest of it would arrive, and it begin, later.
            call.flight.abandon()
        self.observer.answered(slot.op.request_class, Verdict.LEFT, Reason.LEFT, self.clock() - slot.taken_at)
        return True

    def abort_pending(self) -> None:
        """Give everything that is owed its final answer now: the process ends, and nobody else can."""
        for name in list(self.pending):
            entry = self.ledger.entries.get(name)
            harmless = entry is not None and self.ledger.may_reject(entry)
            end = self.ledger.reject if harmless else self.ledger.fail
            self._deny(name, end(name, Reason.STOPPING), Reason.STOPPING, 0.0)

    def request_batch(self) -> None:
        """Ask for a turn though nothing happened here: the decisions have orders of their own accord."""
        self._poked = True
        self.request_wakeup()

    def _tell(self, name: str, rank: int, event: Event | _Slot) -> None:
        self._inbox.append((self.clock(), rank, name, event))
        self.request_wakeup()

    # --- the loop

    def next_batch_ms(self) -> float:
        """Return when the next turn has to be taken at the latest, should nothing happen."""
        return min(min(self._timers.values(), default=FOREVER), self.ledger.next_overdue_ms())

    def process_batch(self) -> None:
        """Hand over what has happened, and carry out what is ordered."""
        now = self.clock()
        waiting = sorted(self._inbox, key=_order)
        self._inbox.clear()
        events: list[Event] = []
        for _, _, name, event in waiting:
            events.append(self._arrival(name, event, now) if isinstance(event, _Slot) else event)
        for token, at in sorted(self._timers.items()):
            if at <= now:
                del self._timers[token]
                events.append(TimerFired(token))
        if events or self._poked:
            self._poked = False
            actions = self.decisions.act(now, events)
            for action in actions:
                self._carry_out(action, now)
            self.observer.batch_processed(
                len(events), now - waiting[0][0] if waiting else 0.0, self.clock() - now
            )
        for name in self.ledger.overdue(now):
            self._deny(name, self.ledger.fail(name, Reason.OVERDUE), Reason.OVERDUE, 0.0)

    @staticmethod
    def _arrival(name: str, slot: _Slot, now: float) -> Arrival:
        op = slot.op
        return Arrival(
            request=name,
            volume=op.volume,
            key=op.key,
            units=op.units,
            remaining_ms=max(0.0, slot.deadline - now),
            plan=op.plan,
            request_class=op.request_class,
            shard=op.shard,
            sharing_hosts=op.writers,
            waited_ms=max(0.0, now - slot.since),
        )

    def _carry_out(self, action: Action, now: float) -> None:
        match action:
            case Send(request, node, within_ms):
                self._send(request, node, within_ms, now)
            case Reject(request, stay_away_ms):
                verdict = self.ledger.reject(request, Reason.SCHEDULER)
                self._deny(request, verdict, Reason.SCHEDULER, stay_away_ms or self.retry_after_ms)
            case Fail(request):
                entry = self.ledger.entries.get(request)
                last = entry.attempts[-1].outcome if entry is not None and entry.attempts else None
                reason = Reason.DEADLINE if last in (None, Outcome.TIMEOUT) else Reason.ATTEMPTS
                self._deny(request, self.ledger.fail(request, reason), reason, 0.0)
            case Cancel(request, attempt):
                call = self.in_flight.get((request, attempt))
                if call is not None and call.flight is not None:
                    call.flight.stop()
            case SetTimer(at_ms, token):
                self._timers[token] = at_ms
            case Subscribe():
                self.subscribe()
            case Log(text):
                self.observer.line(text)

    def _send(self, name: str, node: str, within_ms: float, now: float) -> None:
        entered = self.ledger.send(name, node, now)
        slot = self.pending.get(name)
        if isinstance(entered, FenceTrip) or slot is None:
            if isinstance(entered, FenceTrip):
                self.observer.fence_tripped(entered)
                number = entered.number
            else:
                number = entered.number
                self.ledger.record_outcome(name, number, Outcome.ABANDONED)
            self._tell(
                name, 2, AttemptEnded(name, number, Outcome.ABANDONED, slot is None, 0.0, charged=False)
            )
            return
        if self.keys is not None and slot.op.idempotency_key:
            self.keys.record_sent(slot.op.idempotency_key, now)
        deadline = slot.deadline if not within_ms else min(slot.deadline, now + within_ms)
        call = self.in_flight[name, entered.number] = _Call(self, name, slot, entered, deadline)
        call.flight = self.transport.start(call)

    def _deny(self, name: str, verdict: Verdict | None, reason: Reason, retry_after_ms: float) -> None:
        """Hand on a refusal or a failure, once; None says that the answer was given before."""
        slot = self.pending.get(name)
        if verdict is None or slot is None:
            return
        if verdict is Verdict.FAILED and reason is Reason.SCHEDULER:
            reason = Reason.FENCED_REFUSAL
        self._give(name, slot, Denial(verdict, reason, retry_after_ms), verdict, reason)

    def _give(self, name: str, slot: _Slot, result: Any, verdict: Verdict, reason: Reason | None) -> None:
        self.pending.pop(name, None)
        slot.answer(result)
        self.observer.answered(slot.op.request_class, verdict, reason, self.clock() - slot.taken_at)

    # --- attempts, as the transport reports them

    def _began(self, call: _Call, reply: Any) -> bool:
        if not self.ledger.commit(call.name):
            return False
        self._give(call.name, call.slot, reply, Verdict.SERVED, None)
        return True

    def _ended(self, call: _Call, ending: AttemptResult) -> Settled:
        """Enter an attempt's one outcome with the ledger, and tell the decisions."""
        name, attempt, outcome = call.name, call.attempt, ending.outcome
        del self.in_flight[name, attempt.number]
        settled = self.ledger.record_outcome(name, attempt.number, outcome)
        key = call.slot.op.idempotency_key
        if self.keys is not None and key and outcome in NEVER_RAN:
            self.keys.retract_sent(key, attempt.sent_at_ms)
        event = AttemptEnded(
            name,
            attempt.number,
            outcome,
            settled.is_answered,
            ending.latency_ms,
            ending.used,
            ending.elsewhere,
            reached_node(outcome),
        )
        self._tell(name, 2, event)
        self.observer.attempt_ended(attempt, outcome, ending.latency_ms, ending.text)
        if settled.answered_now:
            self._give(name, call.slot, ending.reply, Verdict.SERVED, None)
        return settled


def _order(item: tuple[float, int, str, Event | _Slot]) -> tuple[float, int, str]:
    """Order what came in one instant by a stable key, so that no decision hangs on the task order."""
    return item[:3]
