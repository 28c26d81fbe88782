"""A token bucket whose rate is passed at each use.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

# A bucket that was unused for IDLE_MS holds at most this burst; otherwise full bursts of all edges could
# coincide.
IDLE_MS = 10000.0
MAX_IDLE_BURST_MS = 800.0
TOLERANCE = 1e-9


@dataclass(slots=True)
class TokenBucket:
    """Units of work that may be sent; refilled on use for the time since the last use."""

    refilled_at_ms: float
    available: float = 0.0
    burst_ms: float = 0.0  # capacity as a duration at the rate; it always fits one request

    def shortfall(self, rate: float, units: float, reserve: float, now_ms: float) -> float:
        """Refill, and return how many units are missing to send `units` and keep the fraction `reserve`.

        `rate` is in units per second; `reserve` is a fraction of the full bucket.  The result is 0 or below
        if the units are available.
        """
        idle_ms = now_ms - self.refilled_at_ms
        capacity = max(rate * self.burst_ms / 1000, units / max(TOLERANCE, 1 - reserve))
        self.available = min(capacity, self.available + rate * max(0.0, idle_ms) / 1000)
        if idle_ms >= IDLE_MS:
            self.available = min(self.available, max(units, rate * MAX_IDLE_BURST_MS / 1000))
        self.refilled_at_ms = now_ms
        return units + reserve * capacity - self.available

    def take(self, rate: float, units: float, now_ms: float) -> float:
        """Take units if available; returns 0 if taken, else the ms until they may be, or -1 if rate <= 0."""
        shortfall = self.shortfall(rate, units, 0.0, now_ms)
        if rate <= 0:
            return -1.0
        if shortfall <= TOLERANCE:
            self.available -= units
            return 0.0
        return shortfall / rate * 1000
