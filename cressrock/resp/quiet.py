"""How long a connection has to stay quiet after an answer before it is used again.  Pure.

Danger: a server may write a second copy of an answer, or noise, some milliseconds behind it.  On a connection
that already carries the next request the copy reads as that request's answer, and a client is served a value
that was made for somebody else.
"""

from __future__ import annotations

# The platform speaks of 'some milliseconds': a number of one digit, rounded up.  It is a start and a least;
# what is seen to come later raises it.
LEAST_MS = 10.0


class Quiet:
    """What was learnt of late bytes.  Times in milliseconds."""

    def __init__(self, most_ms: float) -> None:
        """`most_ms` bounds what can be learnt: bytes that come later still belong to no answer."""
        self.most_ms = max(LEAST_MS, most_ms)
        self.rest_ms = LEAST_MS

    def heard(self, late_ms: float) -> None:
        """Take in that bytes nobody asked for came so long after an answer."""
        # Twice the latest: it is one of a few draws, and the next may come later than all of them.
        self.rest_ms = max(self.rest_ms, min(self.most_ms, 2 * late_ms))

    def ready_at(self, answered_at: float) -> float:
        """Return when a connection whose last answer was whole then may be used again."""
        return answered_at + self.rest_ms

    @staticmethod
    def worth_waiting(ready_at: float, now: float) -> bool:
        """Whether to wait for a connection that is ready then, and open no other.

        A handshake costs the server work and its first request time; the least rest is less than either
        matters to a request.  A rest that was learnt may be long, and is not waited for.
        """
        return ready_at - now <= LEAST_MS
