"""How long writes of a replica's store take lately, and how much longer its timeouts must be for it.  Pure.

A replica sends nothing of a batch before the batch is written.  An election takes four writes in a row: the
candidate's vote, the voter's, the new leader's first entry and a follower's copy of it.  If the timeouts are
shorter, each candidate is overtaken by the next one, and each leader's lease has expired when its first
heartbeat leaves.
"""

from __future__ import annotations

WRITES_PER_TIMEOUT = 6.0  # four writes in a row, and as much again for what varies
MAX_SLOWDOWN = 10.0  # a disk that hangs must not postpone an election for ever
HALF_LIFE_MS = 10000.0  # after a slow write, in which its weight halves


class WriteTimes:
    """The slowest recent write.  Times in milliseconds."""

    __slots__ = ("_slowest_ms", "_at_ms")

    def __init__(self) -> None:
        """Start without writes."""
        self._slowest_ms = 0.0
        self._at_ms = 0.0

    def record(self, write_ms: float, now_ms: float) -> None:
        """Record a write that ended at `now_ms`."""
        if write_ms >= self.slowest_ms(now_ms):
            self._slowest_ms, self._at_ms = write_ms, now_ms

    def slowest_ms(self, now_ms: float) -> float:
        """Return the time of the slowest write; it decays while writes are faster."""
        age_ms = max(0.0, now_ms - self._at_ms)
        return float(self._slowest_ms * 0.5 ** (age_ms / HALF_LIFE_MS))

    def slowdown(self, election_ms: float, now_ms: float) -> float:
        """Return the factor by which timeouts are lengthened, 1 on a disk that is fast enough."""
        if not self._slowest_ms:
            return 1.0
        needed_ms = WRITES_PER_TIMEOUT * self.slowest_ms(now_ms)
        return min(MAX_SLOWDOWN, max(1.0, needed_ms / election_ms))

    def clone(self) -> WriteTimes:
        """Return an independent copy."""
        other = WriteTimes()
        other._slowest_ms, other._at_ms = self._slowest_ms, self._at_ms
        return other
