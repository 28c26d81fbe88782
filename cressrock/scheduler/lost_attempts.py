"""Attempts whose response is presumed lost give up their slots.

Without this, a few percent of lost responses would occupy every slot until the deadline.  Only attempts that
later ones overtook are considered, so a pause or an overload does not trigger it.  It has a cost where a node
legitimately takes long for single requests.
"""

from __future__ import annotations

from cressrock.interface import Outcome
from cressrock.scheduler.endpoints import Endpoint
from cressrock.scheduler.request import ANSWERED, Request

MAX_LATENCY_MULTIPLE = 10.0  # of the expected latency, after which an overtaken attempt is presumed lost
MIN_LATENCY_MULTIPLE = 4.0  # reached if attempts presumed lost never get a response
LATENCY_MULTIPLE_STEP_FACTOR = 0.8  # applied to the multiple per time-out, undone per late response


class LostAttempts:
    """Decides when an overtaken attempt is presumed lost, adapting to how earlier ones ended."""

    def __init__(self) -> None:
        """Start with the highest multiple."""
        self.latency_multiple = MAX_LATENCY_MULTIPLE

    def is_overdue(self, endpoint: Endpoint, request: Request, now_ms: float) -> bool:
        """Return whether an attempt is older than the current multiple of its expected latency."""
        return now_ms - request.sent_at_ms > self.latency_multiple * endpoint.limit.expected_ms(request)

    def release(self, endpoint: Endpoint, now_ms: float) -> list[Request]:
        """Free the slots of overtaken attempts that are overdue; return their requests."""
        in_flight, last_answered_sent_at_ms = (endpoint.in_flight, endpoint.last_answered_sent_at_ms)
        overdue = []
        for request in in_flight.values():  # in send order
            if request.sent_at_ms >= last_answered_sent_at_ms:
                break
            if self.is_overdue(endpoint, request, now_ms):
                overdue.append(request)
        for request in overdue:
            name = request.arrival.request
            endpoint.presumed_lost[name] = in_flight.pop(name)
        return overdue

    def adapt(self, outcome: Outcome) -> None:
        """Adapt the multiple to the outcome of an attempt that was presumed lost."""
        if outcome is Outcome.TIMEOUT:
            self.latency_multiple = max(
                MIN_LATENCY_MULTIPLE, self.latency_multiple * LATENCY_MULTIPLE_STEP_FACTOR
            )
        elif outcome in ANSWERED:
            self.latency_multiple = min(
                MAX_LATENCY_MULTIPLE, self.latency_multiple / LATENCY_MULTIPLE_STEP_FACTOR
            )
