"""The ledger: every storage operation from acceptance to one final answer, every attempt to its outcome.

Pure: time comes in with each call.  It is also the last check.  By a fixed reading of the rules, on what
it knows itself, it stops an order that would break rule 1 (one answer, in time, nothing sent after),
rule 2 (no effect twice) or rule 3 (drains).  It chooses nothing: what it stops is counted as a defect.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cressrock.dispatch.reasons import Fence, Reason
from cressrock.interface import DeduplicationScope, Idempotency, Node, NodeState, Outcome, RequestClass

NEVER_RAN = frozenset({Outcome.FULL, Outcome.NO_CONNECTION, Outcome.ABANDONED})
_SENDABLE_STATES = frozenset({NodeState.READY})


class Verdict(Enum):
    """The one final answer of an operation."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    LEFT = "left"


@dataclass(slots=True)
class Attempt:
    """One sending of an operation to a node; `outcome` is None while it is in flight."""

    number: int
    node: Node
    sent_at_ms: float
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Without an outcome that proves the contrary, the work may have run."""
        return self.outcome not in NEVER_RAN


@dataclass(slots=True)
class Entry:
    """An operation from its acceptance until its answer is given and no attempt is in flight."""

    name: str
    exchange: str
    request_class: RequestClass
    accepted_at_ms: float
    deadline_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    verdict: Verdict | None = None
    reason: Reason | None = None

    def attempt_in_flight(self) -> Attempt | None:
        """Return the attempt that has no outcome yet."""
        for attempt in reversed(self.attempts):
            if attempt.outcome is None:
                return attempt
        return None

    def first_run(self) -> Attempt | None:
        """Return the earliest attempt that may have run: groups and windows count from its sending."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(frozen=True, slots=True)
class FenceTrip:
    """An order that was not executed, and the rule that it would have broken."""

    fence: Fence
    operation: str
    detail: str
    number: int = 0  # of the attempt that was not made


@dataclass(frozen=True, slots=True)
class Settled:
    """Whether the operation has its answer after an outcome, and whether this outcome was that answer."""

    is_answered: bool
    answered_now: bool


class Ledger:
    """All operations that one dispatcher has to answer.

    Times are milliseconds on the caller's monotonic clock.  `max_open` bounds the entries: beyond it `accept`
    returns None and the caller rejects at admission.
    """

    def __init__(
        self,
        *,
        drain_grace_ms: float,
        answer_slack_ms: float,
        max_open: int,
        max_nodes: int = 16384,
    ) -> None:
        """Start with no operation and no node."""
        self.drain_grace_ms = drain_grace_ms
        self.answer_slack_ms = answer_slack_ms
        self.max_open = max_open
        self.max_nodes = max_nodes
        self.entries: dict[str, Entry] = {}
        self.nodes: dict[str, Node] = {}
        self.withdrawn_at_ms: dict[
            str, float
        ] = {}  # when this dispatcher first knew that a node drains or is gone
        self.fence_trips: Counter[Fence] = Counter()
        self.answer_counts: Counter[Verdict] = Counter()
        self._overdue_heap: list[tuple[float, str]] = []

    # --- operations

    def accept(
        self, name: str, exchange: str, request_class: RequestClass, deadline_ms: float, now_ms: float
    ) -> Entry | None:
        """Accept an operation: from here one final answer is owed.  None where the bound is reached.

        Raises ValueError for a name that is in use: names are never reused.
        """
        if name in self.entries:
            raise ValueError(f"operation {name} is held already")
        if len(self.entries) >= self.max_open:
            return None
        entry = self.entries[name] = Entry(name, exchange, request_class, now_ms, deadline_ms)
        heapq.heappush(self._overdue_heap, (deadline_ms + self.answer_slack_ms, name))
        return entry

    def send(self, name: str, node: str, now_ms: float) -> Attempt | FenceTrip:
        """Record an attempt that was ordered, unless it would break a rule."""
        entry = self.entries.get(name)
        if entry is None:
            return self._record_trip(Fence.UNKNOWN, name, f"send to {node}")
        if entry.verdict is not None:
            return self._record_trip(Fence.ANSWERED, name, f"send to {node} after {entry.verdict.value}")
        target = self.nodes.get(node)
        if target is None:
            return self._block_attempt(entry, Node(node, -1), now_ms, Fence.NODE, f"{node} was never listed")
        if self.barred(node, now_ms):
            detail = f"{node} drains or is gone, told {now_ms - self.withdrawn_at_ms[node]:.0f} ms ago"
            return self._block_attempt(entry, target, now_ms, Fence.DRAIN, detail)
        if entry.attempt_in_flight() is not None:
            return self._block_attempt(
                entry, target, now_ms, Fence.TWICE, f"send to {node} while an attempt is out"
            )
        first_run = entry.first_run()
        if first_run is not None and entry.request_class.idempotency is not Idempotency.ALWAYS:
            if entry.request_class.idempotency is Idempotency.NEVER:
                return self._block_attempt(
                    entry, target, now_ms, Fence.UNSAFE, f"{first_run.node.name} may have run it"
                )
            if not self._same_group(entry.request_class.deduplication_scope, first_run.node, target):
                detail = f"{first_run.node.name} may have run it, {node} is elsewhere"
                return self._block_attempt(entry, target, now_ms, Fence.GROUP, detail)
            if now_ms - first_run.sent_at_ms > entry.request_class.deduplication_window_ms:
                detail = f"first sent {now_ms - first_run.sent_at_ms:.0f} ms ago"
                return self._block_attempt(entry, target, now_ms, Fence.WINDOW, detail)
        attempt = Attempt(len(entry.attempts), target, now_ms)
        entry.attempts.append(attempt)
        return attempt

    def may_leave(self, name: str, number: int, now_ms: float) -> bool:
        """Whether an attempt that was entered may still begin to leave.

        Danger: between the order and the first byte a connection comes up.  In that time the answer may have
        been given, a drain's grace or the time in which a key's repeat is dropped may have run out.
        """
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None or number >= len(entry.attempts):
            return False
        if self.barred(entry.attempts[number].node.name, now_ms):
            self.fence_trips[Fence.DRAIN] += 1
            return False
        if now_ms > self.leave_by(name, number):
            self.fence_trips[Fence.WINDOW] += 1
            return False
        return True

    def leave_by(self, name: str, number: int) -> float:
        """Return when the last byte of an attempt that was entered has to have left; infinity: any time.

        Danger: a repeat that waits here, for its connection or for room in the kernel, arrives after the
        time in which its key makes a node drop it, and takes effect a second time.  A node counts that time
        from the arrival of the attempt that ran.  Counted here is from the order of the first one that may
        have run, which comes before its arrival and before any later one's: the safe side.  A drain is about
        the first byte, which is with the kernel as soon as `may_leave` was asked.
        """
        entry = self.entries.get(name)
        if (
            entry is None
            or entry.request_class.idempotency is not Idempotency.KEYED
            or number >= len(entry.attempts)
        ):
            return float("inf")
        first_run = entry.first_run()
        if first_run is None or first_run is entry.attempts[number]:
            return float("inf")
        return first_run.sent_at_ms + entry.request_class.deduplication_window_ms

    def commit(self, name: str) -> bool:
        """Record that an answer began to leave for the client: it is the final one.  False if too late."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return False
        self._set_verdict(entry, Verdict.SERVED, None)
        return True

    def record_outcome(self, name: str, number: int, outcome: Outcome) -> Settled:
        """Record an attempt's outcome.  The first OK is the answer; a late one is for the module alone.

        Raises ValueError for an attempt that was never sent or has its outcome already.
        """
        entry = self.entries.get(name)
        if entry is None or number >= len(entry.attempts) or entry.attempts[number].outcome is not None:
            raise ValueError(f"no attempt {number} of {name} is out")
        entry.attempts[number].outcome = outcome
        answered = entry.verdict is None and outcome is Outcome.OK
        if answered:
            self._set_verdict(entry, Verdict.SERVED, None)
        settled = Settled(entry.verdict is not None, answered)
        self._drop_if_settled(entry)
        return settled

    def reject(self, name: str, reason: Reason) -> Verdict | None:
        """Reject where a retry is provably harmless, else fail.  None if already answered."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return None
        if self.may_reject(entry):
            return self._set_verdict(entry, Verdict.REJECTED, reason)
        self._record_trip(Fence.REFUSAL, name, "an attempt may have run")
        return self._set_verdict(entry, Verdict.FAILED, Reason.FENCED_REFUSAL)

    def fail(self, name: str, reason: Reason) -> Verdict | None:
        """Give a failure, which promises nothing.  None if already answered."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return None
        return self._set_verdict(entry, Verdict.FAILED, reason)

    def client_left(self, name: str) -> bool:
        """Record that the client no longer waits: nothing more is owed.  False if it was over before."""
        entry = self.entries.get(name)
        if entry is None or entry.verdict is not None:
            return False
        self._set_verdict(entry, Verdict.LEFT, Reason.LEFT)
        return True

    def overdue(self, now_ms: float) -> list[str]:
        """Name the operations whose time and slack are up without an answer: a defect, to be failed now."""
        late = []
        while self._overdue_heap and self._overdue_heap[0][0] <= now_ms:
            _, name = heapq.heappop(self._overdue_heap)
            entry = self.entries.get(name)
            if entry is not None and entry.verdict is None:
                self._record_trip(Fence.LATE, name, "no answer within its time")
                late.append(name)
        return late

    def next_overdue_ms(self) -> float:
        """Return when `overdue` has to be asked next; infinity with nothing owed."""
        while self._overdue_heap and self._is_answered(self._overdue_heap[0][1]):
            heapq.heappop(self._overdue_heap)
        return self._overdue_heap[0][0] if self._overdue_heap else float("inf")

    def _is_answered(self, name: str) -> bool:
        entry = self.entries.get(name)
        return entry is None or entry.verdict is not None

    def may_reject(self, entry: Entry) -> bool:
        """Whether a rejection is true: nothing may have run, or all that may have is idempotent."""
        if entry.request_class.idempotency is Idempotency.ALWAYS or entry.first_run() is None:
            return True
        return (
            entry.request_class.idempotency is Idempotency.KEYED
            and entry.request_class.deduplication_scope is DeduplicationScope.ALL
        )

    # --- nodes

    def update_nodes(self, nodes: Iterable[Node], now_ms: float, *, complete: bool) -> None:
        """Apply a report of the node list; a node that a complete one lacks is gone."""
        listed = {line.name: line for line in nodes}
        if complete:
            for name, node in self.nodes.items():
                if name not in listed:
                    listed[name] = Node(name, node.shard, node.zone, node.started_at_ms, NodeState.GONE)
        for name, node in listed.items():
            self.nodes[name] = node
            if node.state in _SENDABLE_STATES:
                self.withdrawn_at_ms.pop(name, None)
            else:
                self.withdrawn_at_ms.setdefault(name, now_ms)
        if len(self.nodes) > self.max_nodes:
            self._drop_oldest_removed()

    def barred(self, node: str, now_ms: float) -> bool:
        """Whether a node's drain grace is over, counted from when this dispatcher first knew of it."""
        withdrawn_at_ms = self.withdrawn_at_ms.get(node)
        return withdrawn_at_ms is not None and now_ms > withdrawn_at_ms + self.drain_grace_ms

    def _drop_oldest_removed(self) -> None:
        """Forget the nodes that were gone first: the table stays bounded through years of replacements."""
        removed = [n for n, line in self.nodes.items() if line.state is NodeState.GONE]
        removed.sort(key=lambda name: (self.withdrawn_at_ms[name], name))
        for name in removed[: len(self.nodes) - self.max_nodes]:
            del self.nodes[name], self.withdrawn_at_ms[name]

    # --- internal

    @staticmethod
    def _same_group(group: DeduplicationScope, first: Node, other: Node) -> bool:
        if group is DeduplicationScope.ALL:
            return True
        return first.zone == other.zone if group is DeduplicationScope.ZONE else first.shard == other.shard

    def _set_verdict(self, entry: Entry, verdict: Verdict, reason: Reason | None) -> Verdict:
        entry.verdict = verdict
        entry.reason = reason
        self.answer_counts[verdict] += 1
        self._drop_if_settled(entry)
        return verdict

    def _drop_if_settled(self, entry: Entry) -> None:
        if entry.verdict is not None and entry.attempt_in_flight() is None:
            self.entries.pop(entry.name, None)

    def _block_attempt(self, entry: Entry, node: Node, now_ms: float, fence: Fence, detail: str) -> FenceTrip:
        """Keep the number of an attempt that was not made, so that both sides go on counting alike."""
        number = len(entry.attempts)
        entry.attempts.append(Attempt(number, node, now_ms, Outcome.ABANDONED))
        self.fence_trips[fence] += 1
        return FenceTrip(fence, entry.name, detail, number)

    def _record_trip(self, fence: Fence, name: str, detail: str) -> FenceTrip:
        self.fence_trips[fence] += 1
        return FenceTrip(fence, name, detail)
