"""Detects unreachable replicas from a process's own attempts, and combines processes' reports.  No I/O.

There are no probes: only attempts made for clients' requests count.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cressrock.interface import Outcome

UNREACHABLE, OTHER_STORE, REACHABLE = b"gone", b"store", b"well"  # one process's report on one shard
REACHABILITY_KEY_PREFIX = "copies/"  # gossip key of a report; the node shard's number follows
UNREACHED_OUTCOMES = frozenset({Outcome.NO_CONNECTION, Outcome.TIMEOUT, Outcome.RESET})
REACHED_OUTCOMES = frozenset({Outcome.OK, Outcome.FULL, Outcome.ERROR})


@dataclass(slots=True)
class _ShardReachability:
    failures: int = 0  # consecutive, up to now
    failing_since_ms: float = 0.0
    failed_at_ms: float = 0.0
    answered_at_ms: float = float("-inf")
    other_store: bool = False


class ReachabilityTracker:
    """Tracks which node shards this process reaches.  Bounded by the number of shards in the settings.

    A shard counts as unreachable once at least `min_failures` consecutive attempts failed to reach it over at
    least `min_failing_ms`, so that a single lost connection does not count.
    """

    def __init__(
        self,
        *,
        min_failures: int = 2,
        min_failing_ms: float = 150.0,
        evidence_ttl_ms: float = 5000.0,
        max_absence_ms: float = 500.0,
    ) -> None:
        """`evidence_ttl_ms`: how long a response is evidence for reachability, a failure evidence against it.

        `max_absence_ms`: how long a shard may be without a listed ready node, while its node is replaced.
        """
        self._min_failures, self._min_failing_ms = min_failures, min_failing_ms
        self._evidence_ttl_ms, self._max_absence_ms = evidence_ttl_ms, max_absence_ms
        # By shard: when the node list first lacked a ready node of it.
        self._absent_since_ms: dict[int, float] = {}
        self._shards: dict[int, _ShardReachability] = {}

    def record_outcome(self, shard: int, outcome: Outcome, now_ms: float) -> None:
        """Record an attempt's outcome; outcomes that say nothing about reachability are ignored."""
        state = self._shards.setdefault(shard, _ShardReachability())
        if outcome in UNREACHED_OUTCOMES:
            if not state.failures:
                state.failing_since_ms = now_ms
            state.failures += 1
            state.failed_at_ms = now_ms
        elif outcome in REACHED_OUTCOMES:
            state.failures, state.answered_at_ms = 0, now_ms

    def record_node_list(self, ready: Collection[int], desired: Collection[int], now_ms: float) -> None:
        """Record a node list: `ready` are the shards with a ready node, `desired` all shards to watch.

        Nothing is sent to a shard without a ready node, so attempts cannot show that it is unreachable.
        """
        for shard in desired:
            if shard in ready:
                self._absent_since_ms.pop(shard, None)
            else:
                self._absent_since_ms.setdefault(shard, now_ms)

    def clear_failures(self, shard: int) -> None:
        """Clear a shard's failures when its replica joins its set again: the planner has reached it."""
        state = self._shards.get(shard)
        if state is not None:
            state.failures = 0

    def record_store(self, shard: int, *, other: bool) -> None:
        """Record whether a node rejected an operation because its store is not the one in the set."""
        self._shards.setdefault(shard, _ShardReachability()).other_store = other

    def is_unreachable(self, shard: int, now_ms: float) -> bool:
        """Whether this process's attempts, or the node list, indicate that a shard cannot be reached."""
        if now_ms - self._absent_since_ms.get(shard, now_ms) >= self._max_absence_ms:
            return True
        state = self._shards.get(shard)
        if state is None or state.failures < self._min_failures:
            return False
        if now_ms - state.failing_since_ms < self._min_failing_ms:
            return False
        return now_ms - state.failed_at_ms <= self._evidence_ttl_ms

    def report(self, shard: int, now_ms: float, has_reports: bool) -> bytes | None:
        """Return the report on a shard, None for no report.

        REACHABLE is reported only if some process has a report on the shard (`has_reports`).
        """
        state = self._shards.get(shard)
        if state is not None and state.other_store:
            return OTHER_STORE
        if self.is_unreachable(shard, now_ms):
            return UNREACHABLE
        if state is None or not has_reports:
            return None
        return REACHABLE if now_ms - state.answered_at_ms <= self._evidence_ttl_ms else None


def is_lost(reports: Mapping[str, bytes], min_witnesses: int) -> bool:
    """Whether a replica counts as lost, given the reports of the processes that are alive.

    At least `min_witnesses` processes must report it as unreachable, and at least as many as report it as
    reachable, so that one process's network failure does not replace a primary.
    """
    unreachable = sum(report == UNREACHABLE for report in reports.values())
    reachable = sum(report == REACHABLE for report in reports.values())
    return unreachable >= max(1, min_witnesses) and unreachable >= reachable
