"""Choice of the next request to send, and whether its endpoint has a free slot."""

from __future__ import annotations

from collections.abc import Iterable

from cressrock.interface import Settings
from cressrock.scheduler.admission import Admission
from cressrock.scheduler.concurrency_limit import MAX_WINDOW_REQUESTS
from cressrock.scheduler.endpoints import INFINITY, Endpoint
from cressrock.scheduler.fair_queue import ShardQueue
from cressrock.scheduler.lost_attempts import LostAttempts
from cressrock.scheduler.request import Request
from cressrock.scheduler.slow_start import SlowStart

RESERVED_ONLY_WAIT_FRACTION = 0.12  # of the objective: above it only requests inside a reserve are sent
MAX_PRESUMED_LOST_ATTEMPTS = 10  # with so many at one endpoint, nothing more is sent to it


def max_unreserved_wait_ratio(settings: Settings) -> float:
    """Return the queueing delay, as a fraction of the objective, above which only reserved requests are sent.

    The less a request outside the reserve is worth, the lower the value; infinity if it is worth as much as
    one inside, or if no plan has a reserve.
    """
    worth_reduction = 1 - settings.share_worth if any(plan.reserve for plan in settings.plans) else 0.0
    return RESERVED_ONLY_WAIT_FRACTION / worth_reduction if worth_reduction > 0 else INFINITY


class Dispatch:
    """Chooses among the requests that wait at a shard."""

    def __init__(
        self, settings: Settings, admission: Admission, slow_start: SlowStart, lost_attempts: LostAttempts
    ) -> None:
        """Keep references to the state of one scheduler; nothing is copied."""
        self.hosts = settings.hosts
        self.max_unreserved_wait_ratio = max_unreserved_wait_ratio(settings)
        self.admission = admission
        self.slow_start = slow_start
        self.lost_attempts = lost_attempts

    def has_free_slot(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Return whether the endpoint is not ejected and fewer than D attempts are outstanding.

        Attempts that timed out may still run on the node, but ejection covers that case.
        """
        in_flight, window = endpoint.in_flight, endpoint.limit.window
        if now_ms < endpoint.ejection.until_ms or len(in_flight) >= MAX_WINDOW_REQUESTS:
            return False
        if len(endpoint.presumed_lost) >= MAX_PRESUMED_LOST_ATTEMPTS:
            return False
        if not in_flight:
            # One attempt each from hundreds of hosts is an overload, so D below one spaces the sends.
            return window >= 1 or now_ms >= endpoint.last_sent_ms + endpoint.limit.latency_ms / window
        free_slots = int(window) - len(in_flight)
        if free_slots or endpoint.ejection.backoff_ms:
            return free_slots > 0
        # If lost attempts hold every slot, none can be overtaken: one extra attempt detects that.
        return self.lost_attempts.is_overdue(endpoint, next(iter(in_flight.values())), now_ms)

    def next_request(self, queue: ShardQueue, endpoint: Endpoint, now_ms: float) -> Request | None:
        """Choose the request with the lowest tag plus compensation; late requests come after all others."""
        allowance = self.slow_start.allowed_units(endpoint, now_ms)
        limit = endpoint.limit
        # Without attempts an overload would seem permanent, so all hosts together probe once per latency.
        is_probe = not endpoint.in_flight and now_ms >= endpoint.last_sent_ms + self.hosts * limit.latency_ms
        # If only late requests wait, scanning the queues is unnecessary.
        if queue.waiting_count > len(queue.late):
            reserved_only = limit.wait_ratio > self.max_unreserved_wait_ratio and not is_probe
            head = self._next_by_tag(queue, endpoint, allowance, reserved_only, now_ms)
            if head is not None:
                return head
        # A late request is worth little and would delay the next one that is on time: it must leave one slot
        # free, and the endpoint must have almost no queueing delay.
        outstanding = len(endpoint.in_flight) + len(endpoint.presumed_lost)
        if endpoint.admitted_share < 1 or outstanding >= max(1, int(limit.window) - 1):
            return None
        if not limit.is_idle and not is_probe:
            return None
        answered_by_ms = now_ms + limit.latency_ms
        in_time = [request for request in queue.late if request.deadline_ms > answered_by_ms]
        return self._first_sendable(in_time, endpoint, allowance, now_ms)

    def _next_by_tag(
        self, queue: ShardQueue, endpoint: Endpoint, allowance: float, reserved_only: bool, now_ms: float
    ) -> Request | None:
        """Choose among the volumes' first requests; move requests that became late to the late list.

        `reserved_only`: at a busy endpoint, requests of reduced worth would delay those of full worth, and
        ordering them locally is not enough because few hosts have both kinds waiting.  If no plan has a
        reserve, only D limits them.
        """
        unloaded, ratio = endpoint.limit.unloaded, endpoint.limit.wait_ratio
        answered_ms, slope = now_ms + unloaded.estimate(0.0), unloaded.slope
        lowest, chosen = INFINITY, None
        for volume in queue.waiting_volumes():
            late = [  # same condition as `would_be_late`, inlined because it runs for every waiting request
                request
                for request in volume.waiting
                if request.objective_at_ms
                < answered_ms + slope * request.units + ratio * request.request_class.latency_objective_ms
            ]
            queue.move_to_late(volume, late)
            head = self._first_sendable(volume.waiting, endpoint, allowance, now_ms)
            if head is None:
                continue
            reserved = head.account.is_reserved(head, now_ms)
            if reserved_only and not reserved:
                continue
            tag = volume.start_tag(head, reserved) + (0.0 if reserved else volume.compensation)
            if tag < lowest:
                lowest, chosen = tag, head
        return chosen

    def _first_sendable(
        self, waiting: Iterable[Request], endpoint: Endpoint, allowance: float, now_ms: float
    ) -> Request | None:
        """Return the request with the highest weight, then the earliest objective, that may be sent now."""
        may_send = self.admission.may_send
        head, lowest = None, (INFINITY, INFINITY)
        for request in waiting:
            rank = (-request.request_class.priority_weight, request.objective_at_ms)
            if rank < lowest and may_send(request, endpoint, allowance, now_ms):
                head, lowest = request, rank
        return head
