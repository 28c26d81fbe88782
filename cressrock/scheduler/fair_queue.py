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
MAX_IDLE_VOLUMES = 4096  # in all queues of a scheduler; above it the longest idle ones are forgotten


class VolumeQueue:
    """One volume's waiting requests at one shard, with its tags."""

    __slots__ = (
        "compensation",
        "finish_tag",
        "name",
        "order",
        "reserve_finish_tag",
        "served_units",
        "waiting",
    )

    def __init__(self, name: str = "", order: int = 0) -> None:
        """Start with an empty queue and all tags at zero.

        Of equal tags, the one of the volume with the lower `order` is served first.
        """
        self.name = name
        self.order = order
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

    def is_like_new(self, virtual_time: float) -> bool:
        """Return whether a new queue would treat all further requests in the same way.

        They arrive at `virtual_time` or later, and tags up to that time have no effect on theirs.
        """
        if self.waiting or self.compensation or self.served_units:
            return False
        return max(self.finish_tag, self.reserve_finish_tag) <= virtual_time


class IdleVolumes:
    """Volume queues that are like new ones, longest idle first.

    A bounded number is kept, so that clients that name ever new volumes cannot fill the memory.
    """

    def __init__(self, max_count: int = MAX_IDLE_VOLUMES) -> None:
        """Start empty; above `max_count` the longest idle queue is forgotten."""
        self.max_count = max_count
        self._owners: dict[VolumeQueue, ShardQueue] = {}

    def add(self, volume: VolumeQueue, owner: ShardQueue) -> None:
        """Add a queue that has become idle; forget others if there are too many."""
        self._owners[volume] = owner
        while len(self._owners) > self.max_count:
            oldest = next(iter(self._owners))
            del self._owners.pop(oldest).volumes[oldest.name]

    def discard(self, volume: VolumeQueue) -> None:
        """Remove a queue that is used again."""
        self._owners.pop(volume, None)


def _order(volume: VolumeQueue) -> int:
    return volume.order


class ShardQueue:
    """A shard's queues by volume, its virtual time, and the endpoint that currently holds the shard.

    What is done for each request and each period grows with the volumes that wait or were served lately, not
    with those that were ever seen.
    """

    __slots__ = (
        "_active",
        "_created_count",
        "_idle",
        "_waiting",
        "endpoint",
        "late",
        "max_finish_tag",
        "max_start_tag",
        "offered_units",
        "volumes",
        "waiting_count",
    )

    def __init__(self, idle: IdleVolumes | None = None) -> None:
        """Start empty and without an endpoint; `idle` is shared by the queues of one scheduler."""
        self.volumes: dict[str, VolumeQueue] = {}  # known ones: active or idle
        self._active: dict[str, VolumeQueue] = {}  # not known to be like new ones
        self._waiting: dict[str, VolumeQueue] = {}  # with waiting requests that are not late
        self._idle = IdleVolumes() if idle is None else idle
        self._created_count = 0
        self.late: list[Request] = []  # will miss their objective; not ordered by tag
        self.endpoint: Endpoint | None = None
        self.offered_units = 0.0  # total of the requests that left this queue
        self.max_start_tag = 0.0  # of the requests sent
        self.max_finish_tag = 0.0
        self.waiting_count = 0  # including the late ones

    @property
    def is_inactive(self) -> bool:
        """Whether no request waits and no compensation remains to decay."""
        return not self.waiting_count and not any(queue.compensation for queue in self._active.values())

    def volume(self, name: str) -> VolumeQueue:
        """Return a volume's queue to use it; create it for the first request."""
        queue = self._active.get(name)
        if queue is not None:
            return queue
        queue = self.volumes.get(name)
        if queue is None:
            self._created_count += 1
            queue = self.volumes[name] = VolumeQueue(name, self._created_count)
        else:
            self._idle.discard(queue)
        self._active[name] = queue
        return queue

    def waiting_volumes(self) -> list[VolumeQueue]:
        """Return the queues with waiting requests that are not late, by order."""
        return sorted(self._waiting.values(), key=_order)

    def add(self, request: Request) -> None:
        """Queue a request at the current virtual time."""
        volume = self.volume(request.arrival.volume)
        request.queue = self
        busy = self.endpoint is not None and self.endpoint.in_flight
        request.virtual_arrival = self.max_start_tag if busy else self.max_finish_tag
        self._waiting[volume.name] = volume
        volume.waiting.append(request)
        self.waiting_count += 1

    def remove(self, request: Request) -> None:
        """Remove a waiting request."""
        request.queue = None
        self.waiting_count -= 1
        self.offered_units += request.units
        volume = self._active.get(request.arrival.volume)
        if volume is not None and request in volume.waiting:
            self._remove_waiting(volume, request)
        else:
            self.late.remove(request)

    def move_to_late(self, volume: VolumeQueue, requests: list[Request]) -> None:
        """Move waiting requests of a volume that will miss their objective to the late ones."""
        for request in requests:
            self._remove_waiting(volume, request)
            self.late.append(request)

    def _remove_waiting(self, volume: VolumeQueue, request: Request) -> None:
        volume.waiting.remove(request)
        if not volume.waiting:
            del self._waiting[volume.name]

    def waiting_requests(self) -> list[Request]:
        """Return all waiting requests, volume by volume, late ones last."""
        return [request for queue in self.waiting_volumes() for request in queue.waiting] + self.late

    def record_sent(self, request: Request, reserved: bool) -> None:
        """Advance the tags for a request that is sent now."""
        volume = self.volume(request.arrival.volume)
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
            name: queue.served_units / queue.waiting[0].plan.weight for name, queue in self._waiting.items()
        }
        lowest = min(shares.values(), default=0.0)
        for name, queue in list(self._active.items()):
            excess = (shares[name] - lowest) * queue.waiting[0].plan.weight if name in shares else 0.0
            queue.compensate(excess, threshold_units)
            if queue.is_like_new(self.max_start_tag):
                del self._active[name]
                self._idle.add(queue, self)
