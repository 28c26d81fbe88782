"""State of a request in the scheduler, and groups of attempt outcomes."""

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
    """The first attempt that may have run: its send time, and the node's list entry when it ended."""

    sent_at_ms: float
    node: Node


class Request:
    """A request from its arrival until it has its final answer and no outstanding attempt."""

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
        """Start as unsent; `request_class` and `plan` are those that the arrival's numbers refer to."""
        self.arrival = arrival
        self.request_class = request_class
        self.plan = plan
        self.account = account
        self.units = arrival.units
        self.accepted_at_ms = now_ms
        self.objective_at_ms = objective_at_ms
        self.deadline_ms = now_ms + arrival.remaining_ms
        self.attempts = arrival.earlier_attempts
        self.queue: ShardQueue | None = None  # in which it waits
        self.virtual_arrival = 0.0  # the queue's virtual time when it was added
        self.endpoint: Endpoint | None = None  # of the outstanding attempt
        self.sent_at_ms = 0.0
        self.possible_run: PossibleRun | None = None
        self.answered = False
        self.charged = False  # against the volume's limit
        self.in_flight_units = 0.0  # charged units of the outstanding attempt
