"""Start-time fair queueing, SFQ(D) with ASFQ's periodic compensation (the paper's sections II and III).

One `ShardQueue` for each shard: a queue per volume with start and finish tags (equations 2 and 3), a virtual
time (Algorithms 1 and 2), and the compensation that delays a volume which was served beyond its weighted
share (equation 8).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cressrock.scheduler.request import Request

if TYPE_CHECKING:
    from cressrock.scheduler.endpoints import Endpoint

COMPENSATION_PERIOD_MS = 100.0  # the paper's period
COMPENSATION_THRESHOLD = 2.0  # usual requests: a smaller gap of two volumes is noise (the paper's epsilon)
COMPENSATION_DECAY = 0.5  # what a period without unfairness leaves of a compensation
NEGLIGIBLE_COMPENSATION = 1.0  # units; a decayed compensation of no more is dropped
RESERVE_COST = 0.1  # part of a unit's cost in tags while it lies inside the volume's reserve


class VolumeQueue:
    """One volume's requests that wait at one shard, with its tags."""

    __slots__ = ("compensation", "finish_tag", "reserve_finish_tag", "served_units", "waiting")

    def __init__(self) -> None:
        """Nothing waits, and nothing was served."""
        self.waiting: list[Request] = []
        self.finish_tag = 0.0
        self.reserve_finish_tag = 0.0  # of the chain of requests inside the reserve
        self.compensation = 0.0
        self.served_units = 0.0  # in this period, by all hosts as far as they are told

    def start_tag(self, request: Request, reserved: bool) -> float:
        """Return the start tag of a request that would leave now.

        Units inside the reserve run on a tag chain of their own, ahead by one cost.
        """
        if reserved:
            chained = max(request.virtual_arrival, self.reserve_finish_tag)
            return chained - request.units / request.plan.weight
        return max(request.virtual_arrival, self.finish_tag)

    def compensate(self, gap_units: float, threshold_units: float) -> None:
        """End a period in which this volume was served `gap_units` beyond the least share.

        The paper keeps a compensation for ever; it decays here, so that a past surge stops hurting.
        """
        decayed = self.compensation * COMPENSATION_DECAY
        if gap_units > threshold_units:
            self.compensation = gap_units
        else:
            self.compensation = decayed if decayed > NEGLIGIBLE_COMPENSATION else 0.0
        self.served_units = 0.0


class ShardQueue:
    """A shard's queues by volume, its virtual time, and the endpoint that holds the shard now."""

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
        """Nothing waits, and no endpoint is known."""
        self.volumes: dict[str, VolumeQueue] = {}
        self.late: list[Request] = []  # these can no longer make their objective: out of the tag order
        self.endpoint: Endpoint | None = None
        self.offered_units = 0.0  # of requests that came here and wait no longer
        self.max_start_tag = 0.0  # of what was sent
        self.max_finish_tag = 0.0
        self.waiting_count = 0  # the late ones included

    @property
    def is_inactive(self) -> bool:
        """Whether nothing waits and no compensation is left to decay."""
        return not self.waiting_count and not any(queue.compensation for queue in self.volumes.values())

    def volume(self, name: str) -> VolumeQueue:
        """Return a volume's queue, a new one for its first request."""
        queue = self.volumes.get(name)
        if queue is None:
            queue = self.volumes[name] = VolumeQueue()
        return queue

    def add(self, request: Request) -> None:
        """Queue a request at the present virtual time."""
        volume = self.volume(request.arrival.volume)
        request.queue = self
        busy = self.endpoint is not None and self.endpoint.in_flight
        request.virtual_arrival = self.max_start_tag if busy else self.max_finish_tag
        volume.waiting.append(request)
        self.waiting_count += 1

    def remove(self, request: Request) -> None:
        """Take a waiting request out."""
        request.queue = None
        self.waiting_count -= 1
        self.offered_units += request.units
        volume = self.volumes[request.arrival.volume]
        (volume.waiting if request in volume.waiting else self.late).remove(request)

    def waiting_requests(self) -> list[Request]:
        """Return all that wait, volume by volume, late ones last."""
        return [request for queue in self.volumes.values() for request in queue.waiting] + self.late

    def record_sent(self, request: Request, reserved: bool) -> None:
        """Advance the tags by a request that leaves now."""
        volume = self.volumes[request.arrival.volume]
        cost = request.units / request.plan.weight
        if reserved:
            chained = max(request.virtual_arrival, volume.reserve_finish_tag)
            start, finish = chained - cost, chained + RESERVE_COST * cost
            volume.reserve_finish_tag = finish
        else:
            start = max(request.virtual_arrival, volume.finish_tag)
            finish = volume.finish_tag = start + cost
        self.max_start_tag = max(self.max_start_tag, start)
        self.max_finish_tag = max(self.max_finish_tag, finish)

    def compensate(self, threshold_units: float) -> None:
        """End a period: delay volumes served beyond the least weighted share of those that wait."""
        shares = {
            name: queue.served_units / queue.waiting[0].plan.weight
            for name, queue in self.volumes.items()
            if queue.waiting
        }
        lowest = min(shares.values(), default=0.0)
        for name, queue in self.volumes.items():
            gap = (shares[name] - lowest) * queue.waiting[0].plan.weight if name in shares else 0.0
            queue.compensate(gap, threshold_units)
