"""The ledger: tracks each operation from acceptance to its one final answer, and each attempt to its outcome.

It does no I/O, and time is passed to each call.  It is also the last check (fence) before an action is
executed: from its own records alone, it blocks actions that would break rule 1 (exactly one answer, in time,
and nothing sent after it), rule 2 (no effect twice) or rule 3 (no sends to drained nodes).  It makes no
scheduling decisions, and each blocked action counts as a defect.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from cressrock.dispatch.idempotency import IdempotencyKeys
from cressrock.dispatch.known_nodes import KnownNodes
from cressrock.dispatch.reasons import Fence, Reason
from cressrock.interface import DeduplicationScope, Idempotency, Node, Outcome, RequestClass

NEVER_RAN = frozenset({Outcome.FULL, Outcome.NO_CONNECTION, Outcome.ABANDONED})
NEVER_MS = float("inf")


class Verdict(Enum):
    """How an operation ended."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LEFT = "left"


@dataclass(slots=True)
class Attempt:
    """One attempt to execute an operation at a node; `outcome` is None while it is in flight."""

    number: int
    node: Node
    sent_at_ms: float
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """False only if the outcome proves that the work never ran."""
        return self.outcome not in NEVER_RAN


@dataclass(slots=True)
class Entry:
    """An operation, kept from its acceptance until it is answered and no attempt is in flight."""

    name: str
    exchange: str
    request_class: RequestClass
    accepted_at_ms: float
    deadline_ms: float
    idempotency_key: str = ""  # empty if it has none
    attempts: list[Attempt] = field(default_factory=list)
    verdict: Verdict | None = None
    reason: Reason | None = None

    def attempt_in_flight(self) -> Attempt | None:
        """Return the attempt that has no outcome yet, if any."""
        for attempt in reversed(self.attempts):
            if attempt.outcome is None:
                return attempt
        return None

    def first_run(self) -> Attempt | None:
        """Return the earliest attempt that may have run; deduplication scope and window start with it."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(frozen=True, slots=True)
class FenceTrip:
    """A blocked action, and the rule that it would have broken."""

    fence: Fence
    operation: str
    detail: str
    number: int = 0  # of the attempt that was blocked


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """Whether the operation is answered after an outcome, and whether this outcome was the answer."""

    is_answered: bool
    is_final_answer: bool


class Ledger:
    """The open operations of one dispatcher.

    Times are milliseconds on the caller's monotonic clock.  With `max_open` entries, `accept` returns None
    and the caller rejects the request at admission.
    """

    def __init__(
        self,
        *,
        drain_grace_ms: float,
        answer_slack_ms: float,
        max_open: int,
        max_nodes: int = 16384,
        keys: IdempotencyKeys | None = None,
    ) -> None:
        """Start empty.  With more than `max_nodes` nodes, those that are gone are evicted, oldest first.

        `keys` is the memory of idempotency keys, by default one with the default bounds.
        """
        self.answer_slack_ms = answer_slack_ms
        self.max_open = max_open
        self.keys = keys if keys is not None else IdempotencyKeys()
        self.entries: dict[str, Entry] = {}
        self._known_nodes = KnownNodes(drain_grace_ms=drain_grace_ms, max_nodes=max_nodes)
        self.fence_trips: Counter[Fence] = Counter()
        self.answer_counts: Counter[Verdict] = Counter()
        self.key_refusal_count = 0  # operations not accepted because the memory of keys was full
        self.key_retry_count = 0  # operations accepted whose key another one had been sent with
        self._overdue_heap: list[tuple[float, str]] = []

    # --- operations

    def accept(
        self,
        name: str,
        exchange: str,
        request_class: RequestClass,
        deadline_ms: float,
        now_ms: float,
        *,
        idempotency_key: str = "",
    ) -> Entry | None:
        """Accept an operation, which then needs exactly one final answer; None if there is no room.

        There is none with `max_open` open operations, or if the memory of keys is full of others.
        `idempotency_key` limits operations of keyed classes only; empty means that the operation has none.
        Raises ValueError if the name is in use; names must be unique.
        """
        if name in self.entries:
            raise ValueError(f"operation {name} is already open; operation names must be unique")
        if len(self.entries) >= self.max_open:
            return None
        if idempotency_key and not self.keys.open(idempotency_key, now_ms):
            self.key_refusal_count += 1
            return None
        entry = self.entries[name] = Entry(
            name, exchange, request_class, now_ms, deadline_ms, idempotency_key
        )
        heapq.heappush(self._overdue_heap, (deadline_ms + self.answer_slack_ms, name))
        if idempotency_key and self.keys.first_run(idempotency_key, now_ms) is not None:
            self.key_retry_count += 1
        return entry

    def send(self, name: str, node: str, now_ms: float) -> Attempt | FenceTrip:
        """Record an attempt that the scheduler requested, or return the fence that blocks it."""
        entry = self.entries.get(name)
        if entry is None:
            return self._record_trip(Fence.UNKNOWN_REQUEST, name, f"send to {node}")
        if entry.verdict is not None:
            return self._record_trip(
                Fence.SEND_AFTER_ANSWER, name, f"send to {node} after {entry.verdict.value}"
            )
        target = self.nodes.get(node)
        if target is None:
            return self._block_attempt(
                entry,
                Node(node, -1),
                now_ms,
                Fence.NODE_NOT_LISTED,
                f"{node} is not in any node list received",
            )
        broken_rule = self._rule_broken_by_send(entry, target, now_ms)
        if broken_rule is not None:
            return self._block_attempt(entry, target, now_ms, *broken_rule)
        attempt = Attempt(len(entry.attempts), target, now_ms)
        entry.attempts.append(attempt)
        if entry.idempotency_key:
            self.keys.record_sent(entry.idempotency_key, attempt)
        return attempt

    def _rule_broken_by_send(self, entry: Entry, target: Node, now_ms: float) -> tuple[Fence, str] | None:
        """Return the fence that blocks a further attempt of an open operation, with a detail for the log."""
        node = target.name
        if self.barred(node, now_ms):
            withdrawn_for_ms = now_ms - self.withdrawn_at_ms[node]
            return (
                Fence.DRAIN_GRACE_OVER,
                f"{node} is draining or gone, reported {withdrawn_for_ms:.0f} ms ago",
            )
        if entry.attempt_in_flight() is not None:
            return Fence.ATTEMPT_IN_FLIGHT, f"send to {node} while another attempt is in flight"
        if now_ms > self.key_window_end_ms(entry.name, now_ms):
            detail = "another operation with its key was sent, and their deduplication window is over"
            return Fence.OUTSIDE_DEDUPLICATION_WINDOW, detail
        if self.is_outside_key_scope(entry.name, node, now_ms):
            detail = f"another operation with its key was sent, {node} is outside their deduplication scope"
            return Fence.OUTSIDE_DEDUPLICATION_SCOPE, detail
        first_run = entry.first_run()
        if first_run is None:
            return None
        return self._rule_broken_by_repeat(entry.request_class, first_run, target, now_ms)

    def _rule_broken_by_repeat(
        self, request_class: RequestClass, first_run: Attempt, target: Node, now_ms: float
    ) -> tuple[Fence, str] | None:
        """Return the fence that blocks a repeat of work that may have run, with a detail for the log."""
        if request_class.idempotency is Idempotency.ALWAYS:
            return None
        if request_class.idempotency is Idempotency.NEVER:
            return Fence.MAY_HAVE_RUN, f"{first_run.node.name} may have run it already"
        if not self._is_same_scope(request_class.deduplication_scope, first_run.node, target):
            detail = (
                f"{first_run.node.name} may have run it, {target.name} is outside its deduplication scope"
            )
            return Fence.OUTSIDE_DEDUPLICATION_SCOPE, detail
        sent_ago_ms = now_ms - first_run.sent_at_ms
        if sent_ago_ms > request_class.deduplication_window_ms:
            detail = f"first sent {sent_ago_ms:.0f} ms ago, deduplication window is over"
            return Fence.OUTSIDE_DEDUPLICATION_WINDOW, detail
        return None

    def may_leave(self, name: str, number: int, now_ms: float) -> bool:
        """Whether the first byte of a recorded attempt may still be sent.

        A connection may have to be opened between the scheduler's decision and the first byte.  Meanwhile the
        operation may have been answered, or the drain grace period or the key's deduplication window may have
        ended.
        """
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None or number >= len(entry.attempts):
            return False
        if self.barred(entry.attempts[number].node.name, now_ms):
            self.fence_trips[Fence.DRAIN_GRACE_OVER] += 1
            return False
        if now_ms > self.leave_by(name, number):
            self.fence_trips[Fence.OUTSIDE_DEDUPLICATION_WINDOW] += 1
            return False
        return True

    def leave_by(self, name: str, number: int) -> float:
        """Return the time by which the last byte of a recorded attempt must be sent; infinity if unbounded.

        Without this limit, a repeat that waits here for a connection or for kernel buffer space could arrive
        after the deduplication window and take effect a second time.  Nodes count the window from the arrival
        of the attempt that ran, whichever operation with the key it belongs to.  The ledger counts from the
        recording of the first attempt that may have run, which precedes its arrival and that of any later
        attempt, so its limit is never too late.  For the first attempt itself, those of other operations
        count.  Rule 3 concerns only the first byte, which goes to the
        kernel right after `may_leave`.
        """
        entry = self.entries.get(name)
        if (
            entry is None
            or entry.request_class.idempotency is not Idempotency.KEYED
            or number >= len(entry.attempts)
        ):
            return NEVER_MS
        sent_at_ms = entry.attempts[number].sent_at_ms
        return min(self._own_window_end_ms(entry, number), self.key_window_end_ms(name, sent_at_ms))

    def key_window_end_ms(self, name: str, now_ms: float) -> float:
        """Return when the window ends that an attempt of another operation with its key began.

        Infinity if there is none.
        """
        entry = self.entries.get(name)
        first_run = self.first_run_elsewhere(name, now_ms)
        if entry is None or first_run is None:
            return NEVER_MS
        return first_run.sent_at_ms + entry.request_class.deduplication_window_ms

    def first_run_elsewhere(self, name: str, now_ms: float) -> Attempt | None:
        """Return the first attempt of another operation with an open one's key that may have run.

        It may be later than the operation's own, which may wait for a connection still.  None if there is
        none, or if the operation's class is not keyed.
        """
        entry = self.entries.get(name)
        if entry is None or not entry.idempotency_key:
            return None
        if entry.request_class.idempotency is not Idempotency.KEYED:
            return None
        return self.keys.first_run(entry.idempotency_key, now_ms, excluding=entry.attempts)

    def is_behind_key_window(self, name: str, now_ms: float) -> bool:
        """Whether an unanswered operation can never be sent again, since another one's key window is over."""
        entry = self.entries.get(name)
        return entry is not None and entry.verdict is None and now_ms > self.key_window_end_ms(name, now_ms)

    def is_outside_key_scope(self, name: str, node: str, now_ms: float) -> bool:
        """Whether a node does not drop the repeats of what another operation with the key was sent to."""
        entry, target = self.entries.get(name), self.nodes.get(node)
        first_run = self.first_run_elsewhere(name, now_ms)
        if entry is None or target is None or first_run is None:
            return False
        return not self._is_same_scope(entry.request_class.deduplication_scope, first_run.node, target)

    def record_unsent(self, name: str, node: str, now_ms: float) -> Attempt | None:
        """Record an attempt that is not sent, by no fault of the scheduler; None if the operation is over."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None or entry.attempt_in_flight() is not None:
            return None
        target = self.nodes.get(node) or Node(node, -1)
        attempt = Attempt(len(entry.attempts), target, now_ms, Outcome.ABANDONED)
        entry.attempts.append(attempt)
        return attempt

    @staticmethod
    def _own_window_end_ms(entry: Entry, number: int) -> float:
        """Return when the window ends that an earlier attempt of the same operation began."""
        first_run = entry.first_run()
        if first_run is None or first_run is entry.attempts[number]:
            return NEVER_MS
        return first_run.sent_at_ms + entry.request_class.deduplication_window_ms

    def record_response_start(self, name: str) -> bool:
        """Record that the response to the client has started, as final answer.  False if already answered."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return False
        self._set_verdict(entry, Verdict.SERVED, None)
        return True

    def record_outcome(self, name: str, number: int, outcome: Outcome) -> RecordedOutcome:
        """Record an attempt's outcome.

        OK is the final answer, unless the operation is already answered; then only the scheduler uses it.

        Raises ValueError if the attempt does not exist or has an outcome already.
        """
        entry = self.entries.get(name)
        if entry is None or number >= len(entry.attempts) or entry.attempts[number].outcome is not None:
            raise ValueError(f"attempt {number} of operation {name} is not in flight")
        entry.attempts[number].outcome = outcome
        if entry.idempotency_key:
            self.keys.record_outcome(entry.idempotency_key)
        answered = entry.verdict is None and outcome is Outcome.OK
        if answered:
            self._set_verdict(entry, Verdict.SERVED, None)
        recorded = RecordedOutcome(entry.verdict is not None, answered)
        self._drop_if_settled(entry)
        return recorded

    def reject(self, name: str, reason: Reason) -> Verdict | None:
        """Reject if a retry is provably harmless, else fail the operation.  None if already answered."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return None
        if self.may_reject(entry):
            return self._set_verdict(entry, Verdict.REJECTED, reason)
        self._record_trip(Fence.REFUSAL_NOT_PROVABLE, name, "an attempt may have run")
        return self._set_verdict(entry, Verdict.FAILED, Reason.FENCED_REFUSAL)

    def fail(self, name: str, reason: Reason) -> Verdict | None:
        """Fail the operation; the client cannot conclude whether work ran.  None if already answered."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return None
        return self._set_verdict(entry, Verdict.FAILED, reason)

    def client_left(self, name: str) -> bool:
        """Record that the client has disconnected and needs no answer.  False if already answered."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return False
        self._set_verdict(entry, Verdict.LEFT, Reason.LEFT)
        return True

    def overdue(self, now_ms: float) -> list[str]:
        """Return the operations unanswered after deadline and slack: a defect; the caller must fail them."""
        overdue_names = []
        while self._overdue_heap and self._overdue_heap[0][0] <= now_ms:
            _, name = heapq.heappop(self._overdue_heap)
            entry = self.entries.get(name)
            if entry is not None and entry.verdict is None:
                self._record_trip(Fence.OVERDUE, name, "no answer before its deadline and slack ended")
                overdue_names.append(name)
        return overdue_names

    def next_overdue_ms(self) -> float:
        """Return when `overdue` must be called next; infinity if no operation is unanswered."""
        while self._overdue_heap and self._is_answered(self._overdue_heap[0][1]):
            heapq.heappop(self._overdue_heap)
        return self._overdue_heap[0][0] if self._overdue_heap else float("inf")

    def _is_answered(self, name: str) -> bool:
        entry = self.entries.get(name)
        return entry is None or entry.verdict is not None

    def may_reject(self, entry: Entry) -> bool:
        """Whether a rejection is correct: no attempt may have run, or a retry of the work is idempotent.

        An attempt of another operation with the same key counts as well: it is the same work.
        """
        if entry.first_run() is not None:
            return self._may_reject_what_ran(entry.request_class)
        return self.may_reject_key(entry.request_class, entry.idempotency_key)

    def may_reject_key(self, request_class: RequestClass, idempotency_key: str) -> bool:
        """Whether an operation that was never sent may be rejected, given what others with its key did."""
        is_keyed = bool(idempotency_key) and request_class.idempotency is Idempotency.KEYED
        if is_keyed and self.keys.may_have_run(idempotency_key):
            return self._may_reject_what_ran(request_class)
        return True

    @staticmethod
    def _may_reject_what_ran(request_class: RequestClass) -> bool:
        return request_class.idempotency is Idempotency.ALWAYS or (
            request_class.idempotency is Idempotency.KEYED
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )

    # --- nodes

    def update_nodes(self, nodes: Iterable[Node], now_ms: float, *, complete: bool) -> None:
        """Apply a node list report; nodes that are missing from a complete report are marked GONE."""
        self._known_nodes.update(nodes, now_ms, complete=complete)

    @property
    def nodes(self) -> Mapping[str, Node]:
        """The latest entry of each node, by name."""
        return self._known_nodes.by_name

    @property
    def withdrawn_at_ms(self) -> Mapping[str, float]:
        """When this dispatcher first learned that a node is draining or gone, by name."""
        return self._known_nodes.withdrawn_at_ms

    def barred(self, node: str, now_ms: float) -> bool:
        """Whether a node's drain grace is over, counted from this dispatcher's first report of the drain."""
        return self._known_nodes.is_drain_grace_over(node, now_ms)

    # --- helpers

    @staticmethod
    def _is_same_scope(scope: DeduplicationScope, first: Node, other: Node) -> bool:
        if scope is DeduplicationScope.ALL:
            return True
        return first.zone == other.zone if scope is DeduplicationScope.ZONE else first.shard == other.shard

    def _set_verdict(self, entry: Entry, verdict: Verdict, reason: Reason | None) -> Verdict:
        entry.verdict = verdict
        entry.reason = reason
        self.answer_counts[verdict] += 1
        self._drop_if_settled(entry)
        return verdict

    def _drop_if_settled(self, entry: Entry) -> None:
        if entry.verdict is None or entry.attempt_in_flight() is not None:
            return
        is_dropped = self.entries.pop(entry.name, None) is not None
        if is_dropped and entry.idempotency_key:
            self.keys.close(entry.idempotency_key)

    def _block_attempt(self, entry: Entry, node: Node, now_ms: float, fence: Fence, detail: str) -> FenceTrip:
        """Record a blocked attempt as ABANDONED, so that attempt numbers match those of the scheduler."""
        number = len(entry.attempts)
        entry.attempts.append(Attempt(number, node, now_ms, Outcome.ABANDONED))
        self.fence_trips[fence] += 1
        return FenceTrip(fence, entry.name, detail, number)

    def _record_trip(self, fence: Fence, name: str, detail: str) -> FenceTrip:
        self.fence_trips[fence] += 1
        return FenceTrip(fence, name, detail)
