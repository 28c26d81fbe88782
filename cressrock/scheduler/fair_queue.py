"""Start-time fair queueing, SFQ(D) with ASFQ's periodic compensation (the paper's sections II and III).

There is one `ShardQueue` per shard.  It has a queue per volume with start and finish tags (equations 2 and
3), a virtual time (Algorithms 1 and 2), and a compensation that delays a volume which was served more than
its weighted share (equation 8).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cressrock.scheduler.request import Request

if TYPE_CHECKING:
    from cressrock.scheduler.endpoints import Endpoint

COMPENSATION_PERIOD_MS = 100.0  # the paper's period
COMPENSATION_THRESHOLD_REQUESTS = 2.0  # of typical size; smaller excess is noise (the paper's epsilon)
COMPENSATION_DECAY_FACTOR = 0.5  # applied per period without unfairness
NEGLIGIBLE_COMPENSATION_UNITS = 1.0  # at or below this a decayed compensation becomes 0
RESERVE_COST_FRACTION = 0.1  # of the normal tag cost, for a request inside its volume's reserve


class VolumeQueue:
    """One volume's waiting requests at one shard, with its tags."""

    __slots__ = ("compensation", "finish_tag", "reserve_finish_tag", "served_units", "waiting")

    def __init__(self) -> None:
        """Start with an empty queue and all tags at zero."""
        self.waiting: list[Request] = []
        self.finish_tag = 0.0
        self.reserve_finish_tag = 0.0  # of the tag sequence for requests inside the reserve
        self.compensation = 0.0
        self.served_units = 0.0  # in this period, for all hosts as far as reported

    def start_tag(self, request: Request, reserved: bool) -> float:
        """Return the start tag that a request would get if sent now.

        Requests inside the reserve use a separate tag sequence, ahead by the cost of the request.
        """
        if reserved:
            reserve_base_tag = max(request.virtual_arrival, self.reserve_finish_tag)
            return reserve_base_tag - request.units / request.plan.weight
        return max(request.virtual_arrival, self.finish_tag)

    def compensate(self, excess_units: float, threshold_units: float) -> None:
        """End a period in which this volume was served `excess_units` more than the lowest weighted share.

        In the paper a compensation is permanent; here it decays, so that a past surge has no lasting penalty.
        """
        decayed = self.compensation * COMPENSATION_DECAY_FACTOR
        if excess_units > threshold_units:
            self.compensation = excess_units
        else:
            self.compensation = decayed if decayed > NEGLIGIBLE_COMPENSATION_UNITS else 0.0
        self.served_units = 0.0


class ShardQueue:
    """A shard's queues by volume, its virtual time, and the endpoint that currently holds the shard."""

    __slots__ = (
        "endpoint",
        "late",
        "max_finish_tag",
        "max_start_tag",
        "offered_units",
        "volumes",
        "waiting_count",
    )

    def __init__(self) -> None:
        """Start empty and without an endpoint."""
        self.volumes: dict[str, VolumeQueue] = {}
        self.late: list[Request] = []  # will miss their objective; not ordered by tag
        self.endpoint: Endpoint | None = None
        self.offered_units = 0.0  # total of the requests that left this queue
        self.max_start_tag = 0.0  # of the requests sent
        self.max_finish_tag = 0.0
        self.waiting_count = 0  # including the late ones

    @property
    def is_inactive(self) -> bool:
        """Whether no request waits and no compensation remains to decay."""
        return not self.waiting_count and not any(queue.compensation for queue in self.volumes.values())

    def volume(self, name: str) -> VolumeQueue:
        """Return a volume's queue; create it for the first request."""
        queue = self.volumes.get(name)
        if queue is None:
            queue = self.volumes[name] = VolumeQueue()
        return queue

    def add(self, request: Request) -> None:
        """Queue a request at the current virtual time."""
        volume = self.volume(request.arrival.volume)
        request.queue = self
        busy = self.endpoint is not None and self.endpoint.in_flight
        request.virtual_arrival = self.max_start_tag if busy else self.max_finish_tag
        volume.waiting.append(request)
        self.waiting_count += 1

    def remove(self, request: Request) -> None:
        """Remove a waiting request."""
        request.queue = None
        self.waiting_count -= 1
        self.offered_units += request.units
        volume = self.volumes[request.arrival.volume]
        (volume.waiting if request in volume.waiting else self.late).remove(request)

    def waiting_requests(self) -> list[Request]:
        """Return all waiting requests, volume by volume, late ones last."""
        return [request for queue in self.volumes.values() for request in queue.waiting] + self.late

    def record_sent(self, request: Request, reserved: bool) -> None:
        """Advance the tags for a request that is sent now."""
        volume = self.volumes[request.arrival.volume]
        cost = request.units / request.plan.weight
        if reserved:
            reserve_base_tag = max(request.virtual_arrival, volume.reserve_finish_tag)
            start, finish = reserve_base_tag - cost, reserve_base_tag + RESERVE_COST_FRACTION * cost
            volume.reserve_finish_tag = finish
        else:
            start = max(request.virtual_arrival, volume.finish_tag)
            finish = volume.finish_tag = start + cost
        self.max_start_tag = max(self.max_start_tag, start)
        self.max_finish_tag = max(self.max_finish_tag, finish)

    def compensate(self, threshold_units: float) -> None:
        """End a period: delay volumes served more than the lowest weighted share of the waiting volumes."""
        shares = {
            name: queue.served_units / queue.waiting[0].plan.weight
            for name, queue in self.volumes.items()
            if queue.waiting
        }
        lowest = min(shares.values(), default=0.0)
        for name, queue in self.volumes.items():
            excess = (shares[name] - lowest) * queue.waiting[0].plan.weight if name in shares else 0.0
            queue.compensate(excess, threshold_units)
