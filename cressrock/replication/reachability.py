"""What a process's own attempts say of its replicas, and what many processes report together.  Pure.

Nothing is probed: only attempts that clients' requests brought about are counted.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cressrock.interface import Outcome

UNREACHABLE, OTHER_STORE, REACHABLE = b"gone", b"store", b"well"  # reports of one process about one shard
REACHABILITY_KEY_PREFIX = "copies/"  # of reports in gossip, followed by the node shard
FAILURES = frozenset({Outcome.NO_CONNECTION, Outcome.TIMEOUT, Outcome.RESET})
ANSWERS = frozenset({Outcome.OK, Outcome.FULL, Outcome.ERROR})


@dataclass(slots=True)
class _Shard:
    failures: int = 0  # one after another, up to now
    failing_since_ms: float = 0.0
    failed_at_ms: float = 0.0
    answered_at_ms: float = float("-inf")
    other_store: bool = False


class ReachabilityTracker:
    """Which node shards answer this process.  Bounded by the shards of the settings.

    A shard counts as unreachable once `least` attempts one after another could not reach it, over at least
    `over_ms`, so that a single lost connection says nothing.
    """

    def __init__(
        self,
        *,
        min_failures: int = 2,
        min_failing_ms: float = 150.0,
        fresh_ms: float = 5000.0,
        absent_ms: float = 500.0,
    ) -> None:
        """`fresh_ms`: so long an answer counts as a sign of life, and a failure as one of the contrary.

        `absent_ms`: so long a shard may be without a listed node, while another one replaces it.
        """
        self._min_failures, self._min_failing_ms = min_failures, min_failing_ms
        self._fresh_ms, self._absent_ms = fresh_ms, absent_ms
        self._absent_since_ms: dict[int, float] = {}  # since when the list names no ready node of a shard
        self._shards: dict[int, _Shard] = {}

    def record_outcome(self, shard: int, outcome: Outcome, now_ms: float) -> None:
        """Enter an attempt's outcome."""
        state = self._shards.setdefault(shard, _Shard())
        if outcome in FAILURES:
            if not state.failures:
                state.failing_since_ms = now_ms
            state.failures += 1
            state.failed_at_ms = now_ms
        elif outcome in ANSWERS:
            state.failures, state.answered_at_ms = 0, now_ms

    def record_node_list(self, ready: Collection[int], desired: Collection[int], now_ms: float) -> None:
        """Enter a node list: the shards that have a ready node, of those that are desired.

        To a shard without any nothing is sent, so no attempt could say that it is unreachable.
        """
        for shard in desired:
            if shard in ready:
                self._absent_since_ms.pop(shard, None)
            else:
                self._absent_since_ms.setdefault(shard, now_ms)

    def reset(self, shard: int) -> None:
        """Begin anew with a shard whose replica joins its set again: others have reached it."""
        state = self._shards.get(shard)
        if state is not None:
            state.failures = 0

    def record_store(self, shard: int, *, other: bool) -> None:
        """Enter that a node rejected since its store is not the one of the set, or that it did not."""
        self._shards.setdefault(shard, _Shard()).other_store = other

    def is_unreachable(self, shard: int, now_ms: float) -> bool:
        """Whether this process's attempts say that a shard cannot be reached."""
        if now_ms - self._absent_since_ms.get(shard, now_ms) >= self._absent_ms:
            return True
        state = self._shards.get(shard)
        if state is None or state.failures < self._min_failures:
            return False
        if now_ms - state.failing_since_ms < self._min_failing_ms:
            return False
        return now_ms - state.failed_at_ms <= self._fresh_ms

    def report(self, shard: int, now_ms: float, is_doubted: bool) -> bytes | None:
        """Return what to report of a shard; that it is reachable only where somebody doubts it."""
        state = self._shards.get(shard)
        if state is not None and state.other_store:
            return OTHER_STORE
        if self.is_unreachable(shard, now_ms):
            return UNREACHABLE
        if state is None or not is_doubted:
            return None
        return REACHABLE if now_ms - state.answered_at_ms <= self._fresh_ms else None


def is_lost(reports: Mapping[str, bytes], min_witnesses: int) -> bool:
    """Whether a replica counts as lost by the reports of the processes that are alive.

    One process's bad network never moves a primary: at least `min_witnesses` report it as unreachable, and no
    fewer than report it as reachable.
    """
    unreachable = sum(report == UNREACHABLE for report in reports.values())
    reachable = sum(report == REACHABLE for report in reports.values())
    return unreachable >= max(1, min_witnesses) and unreachable >= reachable
