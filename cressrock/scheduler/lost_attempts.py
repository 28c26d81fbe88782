"""Attempts whose answer is presumed lost: they free their slots for others.

Danger: a few answers in a hundred lost on the way hold every slot until the deadline.  Only what later
attempts overtook counts, never a pause or a jam.  This harms where a node works on one request for long.
"""

from __future__ import annotations

from cressrock.interface import Outcome
from cressrock.scheduler.endpoints import Endpoint
from cressrock.scheduler.request import ANSWERED, Request

MAX_LATENCY_MULTIPLE = 10.0  # of the expected latency: an overtaken attempt out for longer is presumed lost
MIN_LATENCY_MULTIPLE = 4.0  # the same where what was so presumed never answered
MULTIPLE_STEP = 0.8  # what one such end leaves of the multiple; an answer after all raises it again


class LostAttempts:
    """How long this host waits for an overtaken attempt, learnt from what became of those presumed lost."""

    def __init__(self) -> None:
        """Begin with the longest wait."""
        self.latency_multiple = MAX_LATENCY_MULTIPLE

    def is_overdue(self, endpoint: Endpoint, request: Request, now_ms: float) -> bool:
        """Whether an attempt is out for longer than the multiple of its expected latency allows."""
        return now_ms - request.sent_at_ms > self.latency_multiple * endpoint.limit.expected_ms(request)

    def release(self, endpoint: Endpoint, now_ms: float) -> list[Request]:
        """Free the slots of overtaken attempts that are overdue; return their requests."""
        in_flight, overtaken_before_ms = (endpoint.in_flight, endpoint.overtaken_before_ms)
        overdue = []
        for request in in_flight.values():  # in the order of their sending
            if request.sent_at_ms >= overtaken_before_ms:
                break
            if self.is_overdue(endpoint, request, now_ms):
                overdue.append(request)
        for request in overdue:
            name = request.arrival.request
            endpoint.presumed_lost[name] = in_flight.pop(name)
        return overdue

    def learn(self, outcome: Outcome) -> None:
        """Learn from how an attempt that was presumed lost ended."""
        if outcome is Outcome.TIMEOUT:
            self.latency_multiple = max(MIN_LATENCY_MULTIPLE, self.latency_multiple * MULTIPLE_STEP)
        elif outcome in ANSWERED:
            self.latency_multiple = min(MAX_LATENCY_MULTIPLE, self.latency_multiple / MULTIPLE_STEP)
