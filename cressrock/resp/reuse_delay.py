"""How long a connection must receive nothing after an answer before it is reused.  Pure.

A server may send a duplicate of an answer, or other bytes, some milliseconds after the answer.  If the
connection already carried the next request, the duplicate would be read as that request's answer, and a
client would be served another request's value.
"""

from __future__ import annotations

# The platform specifies "some milliseconds": a one-digit number, rounded up.  This is the initial delay and
# its minimum; bytes that arrive later raise it.
MIN_DELAY_MS = 10.0
CONNECT_TIME_WEIGHT = 0.3  # of the newest connect time in the moving average


class ReuseDelay:
    """The delay before reuse, adapted to late bytes.  Times in milliseconds."""

    def __init__(self, max_delay_ms: float) -> None:
        """Start at the minimum; the delay never grows beyond `max_delay_ms` (at least the minimum)."""
        self.max_delay_ms = max(MIN_DELAY_MS, max_delay_ms)
        self.delay_ms = MIN_DELAY_MS
        self.connect_ms = 0.0  # moving average of the time to open a connection

    def record_late_bytes(self, late_ms: float) -> None:
        """Record that unrequested bytes arrived `late_ms` after an answer."""
        # Twice the largest observation: it is one of a few samples, and the next may be larger than all.
        self.delay_ms = max(self.delay_ms, min(self.max_delay_ms, 2 * late_ms))

    def ready_at(self, answered_at: float) -> float:
        """Return when a connection whose last answer was complete at `answered_at` may be reused."""
        return answered_at + self.delay_ms

    def record_connect_time(self, ms: float) -> None:
        """Record how long it took to open a connection."""
        self.connect_ms += (ms - self.connect_ms) * (CONNECT_TIME_WEIGHT if self.connect_ms else 1.0)

    def should_wait(self, ready_at: float, now: float, *, full: bool = False) -> bool:
        """Return whether to wait for a connection that is ready at `ready_at` instead of opening another.

        An attempt that waits here counts against its server's limit without reaching the server, so it waits
        only if a new connection would not be open sooner.  Otherwise more connections get opened, and one
        of them is then ready.  `full`: another connection would have to be closed for a new one, so the
        minimum delay is waited for as well, but no longer one.
        """
        return ready_at - now <= max(self.connect_ms, MIN_DELAY_MS if full else 0.0)
