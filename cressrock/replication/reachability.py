"""What a process's own attempts say of its copies, and what many say together.  Pure.

Nothing is probed: only attempts that clients' requests brought about are counted.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cressrock.interface import Outcome

UNREACHABLE, OTHER_STORE, REACHABLE = b"gone", b"store", b"well"
SIGNS = frozenset({Outcome.NO_CONNECTION, Outcome.TIMEOUT, Outcome.RESET})


@dataclass(slots=True)
class _Shard:
    failures: int = 0
    since: float = 0.0
    failed_at: float = 0.0
    well_at: float = float("-inf")
    other_store: bool = False


class ReachabilityTracker:
    """Which node shards answer this process.  Bounded by the shards of the settings.

    A shard counts as gone once `least` attempts on end could not reach it, over at least `over_ms`, so that a
    single lost connection says nothing.
    """

    def __init__(
        self, *, least: int = 2, over_ms: float = 150.0, fresh_ms: float = 5000.0, absent_ms: float = 500.0
    ) -> None:
        """`fresh_ms`: so long an answer counts as a sign of life, and a failure as one that it is gone."""
        self.least, self.over_ms, self.fresh_ms, self.absent_ms = least, over_ms, fresh_ms, absent_ms
        self.absent: dict[int, float] = {}  # since when the list names no ready node of a shard
        self.shards: dict[int, _Shard] = {}

    def record_outcome(self, shard: int, outcome: Outcome, now_ms: float) -> None:
        """Enter an attempt's outcome."""
        known = self.shards.setdefault(shard, _Shard())
        if outcome in SIGNS:
            if not known.failures:
                known.since = now_ms
            known.failures += 1
            known.failed_at = now_ms
        elif outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):
            known.failures, known.well_at = 0, now_ms

    def record_node_list(self, ready: Collection[int], wanted: Collection[int], now_ms: float) -> None:
        """Enter a node list: the shards that have a ready node, of those that are wanted.

        To a shard without any nothing is sent, so no attempt could say that it is gone.  `absent_ms` is for a
        node that another one replaces.
        """
        for shard in wanted:
            if shard in ready:
                self.absent.pop(shard, None)
            else:
                self.absent.setdefault(shard, now_ms)

    def reset(self, shard: int) -> None:
        """Begin anew with a shard whose copy is taken back into its set: others have reached it."""
        known = self.shards.get(shard)
        if known is not None:
            known.failures = 0

    def record_store(self, shard: int, *, other: bool) -> None:
        """Enter that a node refused since its store is not the one of the set, or that it did not."""
        self.shards.setdefault(shard, _Shard()).other_store = other

    def is_unreachable(self, shard: int, now_ms: float) -> bool:
        """Whether this process's attempts say that a shard cannot be reached."""
        if now_ms - self.absent.get(shard, now_ms) >= self.absent_ms:
            return True
        known = self.shards.get(shard)
        if known is None or known.failures < self.least or now_ms - known.since < self.over_ms:
            return False
        return now_ms - known.failed_at <= self.fresh_ms

    def report(self, shard: int, now_ms: float, asked: bool) -> bytes | None:
        """Return what to tell the others of a shard; that it is well only where somebody doubts it."""
        known = self.shards.get(shard)
        if known is not None and known.other_store:
            return OTHER_STORE
        if self.is_unreachable(shard, now_ms):
            return UNREACHABLE
        if known is None:
            return None
        return REACHABLE if asked and now_ms - known.well_at <= self.fresh_ms else None


def is_lost(words: Mapping[str, bytes], least: int) -> bool:
    """Whether a copy counts as lost by the words of the processes that are alive.

    One process's bad network never moves a first copy: at least `least` say that it is gone, and no fewer
    than say that it is well.
    """
    gone = sum(word == UNREACHABLE for word in words.values())
    return gone >= max(1, least) and gone >= sum(word == REACHABLE for word in words.values())
