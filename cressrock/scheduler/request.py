"""A request as the scheduler holds it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cressrock.interface import Arrival, Node, Outcome, Plan, RequestClass

if TYPE_CHECKING:
    from cressrock.scheduler.endpoints import Endpoint
    from cressrock.scheduler.fair_queue import ShardQueue
    from cressrock.scheduler.rate_limit import VolumeAccount

NEVER_RAN = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.ABANDONED)
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
ANSWERED = (Outcome.OK, Outcome.ERROR)


class PossibleRun(NamedTuple):
    """The first attempt that may have run: when it was sent, and the node as it was listed then."""

    sent_at_ms: float
    node: Node


class Request:
    """A request from its arrival until it has its final answer and no attempt out."""

    __slots__ = (
        "account",
        "accepted_at_ms",
        "answered",
        "arrival",
        "attempts",
        "charged",
        "deadline_ms",
        "endpoint",
        "in_flight_units",
        "objective_at_ms",
        "plan",
        "possible_run",
        "queue",
        "request_class",
        "sent_at_ms",
        "units",
        "virtual_arrival",
    )

    def __init__(
        self,
        arrival: Arrival,
        request_class: RequestClass,
        plan: Plan,
        account: VolumeAccount,
        objective_at_ms: float,
        now_ms: float,
    ) -> None:
        """Hold an arrival under the class and plan that its numbers stand for."""
        self.arrival = arrival
        self.request_class = request_class
        self.plan = plan
        self.account = account
        self.units = arrival.units
        self.accepted_at_ms = now_ms
        self.objective_at_ms = objective_at_ms
        self.deadline_ms = now_ms + arrival.remaining_ms
        self.attempts = arrival.earlier_attempts
        self.queue: ShardQueue | None = None  # where it waits
        self.virtual_arrival = 0.0  # the queue's virtual time when it joined
        self.endpoint: Endpoint | None = None  # where an attempt is out
        self.sent_at_ms = 0.0
        self.possible_run: PossibleRun | None = None
        self.answered = False
        self.charged = False  # the volume's limit has paid for it
        self.in_flight_units = 0.0  # charged units of the attempt that is out: they may arrive yet
