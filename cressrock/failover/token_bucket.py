"""A token bucket whose rate is given at each use.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

IDLE_MS = 10000.0  # a bucket that was not used for so long
MAX_IDLE_SAVINGS_MS = 800.0  # has saved up no more: else all edges' savings meet in one instant
TOLERANCE = 1e-9


@dataclass(slots=True)
class TokenBucket:
    """Units of work that may be sent; it fills while nobody looks."""

    filled_at_ms: float
    available: float = 0.0
    burst_ms: float = 0.0  # how long it saves up; a unit of work always fits

    def missing(self, rate: float, units: float, reserve: float, now_ms: float) -> float:
        """Fill up; return how many units are missing so that this share of a full bucket stays as reserve."""
        idle_ms = now_ms - self.filled_at_ms
        capacity = max(rate * self.burst_ms / 1000, units / max(TOLERANCE, 1 - reserve))
        self.available = min(capacity, self.available + rate * max(0.0, idle_ms) / 1000)
        if idle_ms >= IDLE_MS:
            self.available = min(self.available, max(units, rate * MAX_IDLE_SAVINGS_MS / 1000))
        self.filled_at_ms = now_ms
        return units + reserve * capacity - self.available

    def take(self, rate: float, units: float, now_ms: float) -> float:
        """Take units if there are; returns 0, or ms until there may be; below 0: there never are."""
        missing = self.missing(rate, units, 0.0, now_ms)
        if rate <= 0:
            return -1.0
        if missing <= TOLERANCE:
            self.available -= units
            return 0.0
        return missing / rate * 1000
