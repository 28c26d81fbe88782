"""The driver: hands what happened to the scheduler's decisions in batches, and carries out its orders.

It takes no decision.  One wake serves many events; a process that stood still hands over all that waited,
with the time each client has truly left and the time each answer truly took.  Orders are carried out in
order; the ledger stands before each of them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import h11
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from cressrock.dispatch.answers import load_of, outcome_of
from cressrock.dispatch.keys import KeyMemory
from cressrock.dispatch.ledger import NEVER_RAN, Attempt, Ledger, Settled, Tripped, Verdict
from cressrock.dispatch.nodeclient import NoConnection, NodeClient, NodePayload, Progress, TooLarge
from cressrock.dispatch.operation import Cut, Denied, Operation, Reply, Result
from cressrock.dispatch.reasons import Reason
from cressrock.http.channel import Gone, Headers
from cressrock.interface import (
    Action,
    Arrival,
    Cancel,
    ClientLeft,
    Effect,
    Ended,
    Event,
    Fail,
    ListKind,
    Log,
    NodeList,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    Subscribe,
    Wake,
)

FOREVER = float("inf")


class Decisions(Protocol):
    """The scheduler's decision module."""

    def act(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in a batch and return orders."""


class Observer(Protocol):
    """Where the driver tells what it did; structured logs and metrics, or a test's list."""

    def tripped(self, trip: Tripped) -> None:
        """Report an order that a fence stopped."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, lag_ms: float, text: str) -> None:
        """Report an attempt's outcome."""

    def answered(self, request_class: int, verdict: Verdict, reason: Reason | None, ms: float) -> None:
        """Report an operation's final answer."""

    def woke(self, events: int, late_ms: float, act_ms: float) -> None:
        """Report a batch: its events, how long the oldest waited, what the decisions took."""

    def line(self, text: str) -> None:
        """Pass on a line of the decision module for the on-call staff."""


@dataclass(slots=True)
class _Slot:
    """An operation that somebody waits for."""

    op: Operation
    label: str
    deadline: float
    taken_at: float
    since: float  # when its user began to wait
    ready: anyio.Event = field(default_factory=anyio.Event)
    result: Result | None = None


class Driver:
    """One dispatcher's driver; `run` has to be started in a task group and ends by cancellation."""

    def __init__(
        self,
        decisions: Decisions,
        ledger: Ledger,
        nodes: NodeClient,
        classes: tuple[RequestClass, ...],
        observer: Observer,
        *,
        retry_after_ms: float,
        keys: KeyMemory | None = None,
        reader_patience_ms: float = FOREVER,
        subscribe: Callable[[], None] = lambda: None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`clock` gives monotonic milliseconds; anyio's own clock if absent."""
        self.decisions = decisions
        self.ledger = ledger
        self.nodes = nodes
        self.classes = classes
        self.observer = observer
        self.retry_after_ms = retry_after_ms
        self.reader_patience_ms = reader_patience_ms
        self.subscribe = subscribe
        self.keys = keys or KeyMemory(keep_ms=60000.0, most=100000)
        self.clock = clock or (lambda: anyio.current_time() * 1000)
        self.slots: dict[str, _Slot] = {}
        # Attempts out live longer than the slot whose client has left: they can still be ordered off.
        self.out: dict[tuple[str, int], anyio.CancelScope] = {}
        self._ordered_off: set[tuple[str, int]] = set()
        self._inbox: deque[tuple[float, int, str, Event | _Slot]] = deque()
        self._news = anyio.Event()
        self._timers: dict[int, float] = {}
        self._rings_at = FOREVER
        self._poked = False
        self._earlier = anyio.Event()
        self._tasks: TaskGroup | None = None

    # --- what happened

    def listed(self, report: NodeList) -> None:
        """Hand over news of the node list; the ledger knows it from this moment, as rule 3 counts."""
        if report.kind is not ListKind.FAILED:
            complete = report.kind is not ListKind.CHANGES
            self.ledger.news(report.nodes, self.clock(), complete=complete)
        self._tell("", 0, report)

    async def perform(
        self,
        exchange: str,
        number: int,
        op: Operation,
        deadline: float,
        label: str = "",
        since: float | None = None,
    ) -> Result:
        """Take an operation and return its one final answer.

        `label` names the client's request in what goes to the nodes, for logs and traces only.
        `deadline` and `since`, when the client's request was taken, are on the driver's clock.
        Cancelling this call says that the client has left; what is out at a node runs on to its outcome,
        which the decision module hears and nobody is shown.
        """
        name = f"{exchange}.{number}"
        now = self.clock()
        cls = self.classes[op.request_class]
        since = now if since is None else since
        if op.idempotency_key and cls.effect is Effect.KEYED:
            first = self.keys.first(op.idempotency_key, now)
            if first is not None:
                since = min(since, first)  # a later try of the same user
                deadline = min(deadline, first + cls.repeat_window_ms)
                if now >= deadline:
                    return Denied(Verdict.FAILED, Reason.KEY)
        if self.ledger.take(name, exchange, cls, deadline, now) is None:
            return Denied(Verdict.REFUSED, Reason.FULL, self.retry_after_ms)
        slot = self.slots[name] = _Slot(op, f"{label or exchange};{number}", deadline, now, since)
        self._tell(name, 1, slot)
        try:
            await slot.ready.wait()
        except anyio.get_cancelled_exc_class():
            if self.ledger.left(name):
                self._tell(name, 3, ClientLeft(name))
                self.observer.answered(op.request_class, Verdict.LEFT, Reason.LEFT, self.clock() - now)
            elif isinstance(slot.result, Reply) and slot.result.stream is not None:
                slot.result.stream.abandon()
            raise
        finally:
            del self.slots[name]
        assert slot.result is not None
        return slot.result

    def poke(self) -> None:
        """Ask for a turn though nothing happened here: the decisions have orders of their own accord."""
        self._poked = True
        self._news.set()

    def _tell(self, name: str, rank: int, event: Event | _Slot) -> None:
        self._inbox.append((self.clock(), rank, name, event))
        self._news.set()

    # --- the loop

    async def run(self) -> None:
        """Serve until cancelled; owns a task for each attempt."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._ring)
            while True:
                await self._news.wait()
                await checkpoint()  # what else comes in the same instant joins the batch
                self._news = anyio.Event()
                self._turn()
                due = min(min(self._timers.values(), default=FOREVER), self.ledger.next_due())
                if due < self._rings_at:
                    self._rings_at = due
                    self._earlier.set()

    async def _ring(self) -> None:
        """Wake the loop when the next timer falls due; set anew only for an earlier one."""
        while True:
            self._earlier = anyio.Event()
            # A timer falls due in the first batch at or after its time, never before it: a microsecond more
            # keeps the rounding of two units of time from waking the loop too early, for ever.
            with anyio.move_on_at(self._rings_at / 1000 + 1e-6):
                await self._earlier.wait()
                continue
            self._rings_at = FOREVER
            self._news.set()

    def _turn(self) -> None:
        now = self.clock()
        waiting = sorted(self._inbox, key=_order)
        self._inbox.clear()
        events: list[Event] = []
        for _, _, name, event in waiting:
            events.append(self._arrival(name, event, now) if isinstance(event, _Slot) else event)
        for token, at in sorted(self._timers.items()):
            if at <= now:
                del self._timers[token]
                events.append(Wake(token))
        if events or self._poked:
            self._poked = False
            actions = self.decisions.act(now, events)
            for action in actions:
                self._carry_out(action, now)
            self.observer.woke(len(events), now - waiting[0][0] if waiting else 0.0, self.clock() - now)
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
            writers=op.writers,
            waited_ms=max(0.0, now - slot.since),
        )

    def _carry_out(self, action: Action, now: float) -> None:
        match action:
            case Send(request, node, within_ms):
                self._send(request, node, within_ms, now)
            case Refuse(request, stay_away_ms):
                verdict = self.ledger.refuse(request, Reason.SCHEDULER)
                self._deny(request, verdict, Reason.SCHEDULER, stay_away_ms or self.retry_after_ms)
            case Fail(request):
                entry = self.ledger.entries.get(request)
                last = entry.attempts[-1].outcome if entry is not None and entry.attempts else None
                reason = Reason.DEADLINE if last in (None, Outcome.TIMEOUT) else Reason.ATTEMPTS
                self._deny(request, self.ledger.fail(request, reason), reason, 0.0)
            case Cancel(request, attempt):
                scope = self.out.get((request, attempt))
                if scope is not None:
                    self._ordered_off.add((request, attempt))
                    scope.cancel()
            case SetTimer(at_ms, token):
                self._timers[token] = at_ms
            case Subscribe():
                self.subscribe()
            case Log(text):
                self.observer.line(text)

    def _send(self, name: str, node: str, within_ms: float, now: float) -> None:
        entered = self.ledger.send(name, node, now)
        slot = self.slots.get(name)
        if isinstance(entered, Tripped) or slot is None:
            if isinstance(entered, Tripped):
                self.observer.tripped(entered)
                number = entered.number
            else:
                number = entered.number
                self.ledger.ended(name, number, Outcome.MOOT)
            self._tell(name, 2, Ended(name, number, Outcome.MOOT, slot is None, 0.0))
            return
        if slot.op.idempotency_key:
            self.keys.sent(slot.op.idempotency_key, now)
        deadline = slot.deadline if not within_ms else min(slot.deadline, now + within_ms)
        scope = self.out[name, entered.number] = anyio.CancelScope(deadline=deadline / 1000)
        assert self._tasks is not None
        self._tasks.start_soon(self._attempt, name, slot, entered, scope)

    def _deny(self, name: str, verdict: Verdict | None, reason: Reason, retry_after_ms: float) -> None:
        """Hand on a refusal or a failure, once; None says that the answer was given before."""
        slot = self.slots.get(name)
        if verdict is None or slot is None:
            return
        if verdict is Verdict.FAILED and reason is Reason.SCHEDULER:
            reason = Reason.FENCED_REFUSAL
        self._give(slot, Denied(verdict, reason, retry_after_ms), verdict, reason)

    def _give(self, slot: _Slot, result: Result, verdict: Verdict, reason: Reason | None) -> None:
        slot.result = result
        slot.ready.set()
        self.observer.answered(slot.op.request_class, verdict, reason, self.clock() - slot.taken_at)

    # --- one attempt

    async def _attempt(self, name: str, slot: _Slot, attempt: Attempt, scope: anyio.CancelScope) -> None:
        """Carry one attempt to its outcome; whatever happens, exactly one outcome is entered and told."""
        progress = Progress()
        key = slot.op.idempotency_key
        outcome, reply, text = Outcome.CANCELLED, None, ""
        lag: float | None = None
        over_before = False
        payload = None
        try:
            with scope:
                trace: Headers = [
                    (b"x-request-id", f"{slot.label};{attempt.number}".encode()),
                    (b"cressrock-units", f"{slot.op.units:g}".encode()),
                ]
                if key:
                    trace.append((b"idempotency-key", key.encode()))
                node = attempt.node.name
                reply, payload = await self.nodes.exchange(
                    node, slot.op, trace, progress, may_stream=slot.op.stream
                )
                lag = self.clock() - attempt.sent_at
                outcome = outcome_of(reply.status, reply.headers)
                if payload is not None:
                    over_before = not self.ledger.commit(name)
                    if not over_before:
                        scope.deadline = FOREVER  # a started stream has no deadline of its class
                        self._give(slot, reply, Verdict.SERVED, None)
                        if await self._read_out(payload):
                            if payload.cut:
                                outcome, text = Outcome.RESET, "cut in mid-answer"
                            elif not payload.finished:
                                outcome, text = Outcome.CANCELLED, "the client stopped reading"
                        else:
                            # Danger: a few clients that read slowly would hold every slot of a node.  The
                            # node did its part; the rest of the way is between this client and us.
                            self._enter(name, key, attempt, outcome, lag, progress, "slow reader")
                            await payload.done.wait()
        except NoConnection as failed:
            outcome, text = Outcome.NO_CONNECTION, str(failed)
        except Gone as failed:
            outcome, text = Outcome.RESET, str(failed)
        except (h11.RemoteProtocolError, TooLarge) as failed:
            outcome, text = Outcome.ERROR, str(failed)
        except Cut as failed:
            outcome, text = Outcome.CANCELLED, str(failed)
        finally:
            # Also under cancellation from outside: the ledger must never keep an attempt without outcome.
            if scope.cancelled_caught:
                outcome, text = self._stopped((name, attempt.number), progress)
            if payload is not None:
                with anyio.CancelScope(shield=True):
                    await self.nodes.finish(attempt.node.name, payload)
            if (name, attempt.number) in self.out:
                if lag is None:
                    lag = self.clock() - attempt.sent_at
                settled = self._enter(name, key, attempt, outcome, lag, progress, text)
                if settled.now and reply is not None:
                    self._give(slot, reply, Verdict.SERVED, None)

    async def _read_out(self, payload: NodePayload) -> bool:
        """Wait until a payload is read out or given up; False once its reader holds it up."""
        while not payload.done.is_set():
            with anyio.move_on_after(self.reader_patience_ms / 1000):
                await payload.done.wait()
                return True
            since = payload.idle_since
            if since is not None and (anyio.current_time() - since) * 1000 >= self.reader_patience_ms:
                return False
        return True

    def _enter(
        self,
        name: str,
        key: str,
        attempt: Attempt,
        outcome: Outcome,
        lag: float,
        progress: Progress,
        text: str,
    ) -> Settled:
        """Enter an attempt's one outcome with the ledger, and tell the decisions."""
        del self.out[name, attempt.number]
        self._ordered_off.discard((name, attempt.number))
        settled = self.ledger.ended(name, attempt.number, outcome)
        if key and outcome in NEVER_RAN:
            self.keys.never_ran(key, attempt.sent_at)
        used, elsewhere = load_of(progress.headers) if progress.headers else (0, 0.0)
        self._tell(name, 2, Ended(name, attempt.number, outcome, settled.over, lag, used, elsewhere))
        self.observer.attempt_ended(attempt, outcome, lag, text)
        return settled

    def _stopped(self, attempt: tuple[str, int], progress: Progress) -> tuple[Outcome, str]:
        """Name what a stopped attempt was: without a byte handed over it provably never ran."""
        ordered = attempt in self._ordered_off
        if not progress.sent:
            return (Outcome.MOOT, "cancelled unsent") if ordered else (Outcome.NO_CONNECTION, "no connection")
        return (Outcome.CANCELLED, "cancelled") if ordered else (Outcome.TIMEOUT, "no answer in time")


def _order(item: tuple[float, int, str, Event | _Slot]) -> tuple[float, int, str]:
    """Order what came in one instant by a stable key, so that no decision hangs on the task order."""
    return item[:3]
