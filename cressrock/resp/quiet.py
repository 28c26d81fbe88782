"""How long a connection has to stay quiet after an answer before it is used again.  Pure.

Danger: a server may write a second copy of an answer, or noise, some milliseconds behind it.  On a connection
that already carries the next request the copy reads as that request's answer, and a client is served a value
that was made for somebody else.
"""

from __future__ import annotations

# The platform speaks of 'some milliseconds': a number of one digit, rounded up.  It is a start and a least;
# what is seen to come later raises it.
LEAST_MS = 10.0
SMOOTH = 0.3  # weight of the newest connect time


class Quiet:
    """What was learnt of late bytes.  Times in milliseconds."""

    def __init__(self, most_ms: float) -> None:
        """`most_ms` bounds what can be learnt: bytes that come later still belong to no answer."""
        self.most_ms = max(LEAST_MS, most_ms)
        self.rest_ms = LEAST_MS
        self.connect_ms = 0.0  # smoothed: what it takes until a new connection is up

    def heard(self, late_ms: float) -> None:
        """Take in that bytes nobody asked for came so long after an answer."""
        # Twice the latest: it is one of a few draws, and the next may come later than all of them.
        self.rest_ms = max(self.rest_ms, min(self.most_ms, 2 * late_ms))

    def ready_at(self, answered_at: float) -> float:
        """Return when a connection whose last answer was whole then may be used again."""
        return answered_at + self.rest_ms

    def connected(self, ms: float) -> None:
        """Take in how long a connection took to come up."""
        self.connect_ms += (ms - self.connect_ms) * (SMOOTH if self.connect_ms else 1.0)

    def worth_waiting(self, ready_at: float, now: float, *, full: bool = False) -> bool:
        """Whether to wait for a connection that is ready then, and open no other.

        Danger: an attempt that waits holds one of its server's places without being there.  So only where a
        new connection would be up no sooner; more are open then, and one of them has rested.  `full`: another
        would have to be closed for a new one, so the least rest is waited for as well, but no long one.
        """
        return ready_at - now <= max(self.connect_ms, LEAST_MS if full else 0.0)
