"""Which waiting request leaves next, and whether its endpoint has a slot for it."""

from __future__ import annotations

from collections.abc import Iterable

from cressrock.interface import Settings
from cressrock.scheduler.admission import Admission
from cressrock.scheduler.concurrency_limit import MAX_WINDOW
from cressrock.scheduler.endpoints import INFINITY, Endpoint
from cressrock.scheduler.fair_queue import ShardQueue
from cressrock.scheduler.lost_attempts import LostAttempts
from cressrock.scheduler.request import Request
from cressrock.scheduler.slow_start import SlowStart

RESERVED_ONLY_WAIT = 0.12  # of the objective: where the wait is longer only what is inside a reserve leaves
MAX_PRESUMED_LOST = 10  # attempts at one endpoint: beyond them it gets nothing more


def gate_ratio(settings: Settings) -> float:
    """Return the wait, as a part of the objective, beyond which only reserved work leaves.

    What lies beyond a reserve waits the sooner the less it earns; where it earns the same, never.
    """
    lost_share = 1 - settings.share_worth if any(plan.reserve for plan in settings.plans) else 0.0
    return RESERVED_ONLY_WAIT / lost_share if lost_share > 0 else INFINITY


class Dispatch:
    """Chooses among the heads of a shard's queues."""

    def __init__(
        self, settings: Settings, admission: Admission, slow_start: SlowStart, lost_attempts: LostAttempts
    ) -> None:
        """Share the state of one scheduler."""
        self.hosts = settings.hosts
        self.gate_ratio = gate_ratio(settings)
        self.admission = admission
        self.slow_start = slow_start
        self.lost_attempts = lost_attempts

    def has_slot(self, endpoint: Endpoint, now_ms: float) -> bool:
        """Whether fewer than D are out; what timed out may still run, but the endpoint rests with it."""
        in_flight, window = endpoint.in_flight, endpoint.limit.window
        if now_ms < endpoint.ejection.until_ms or len(in_flight) >= MAX_WINDOW:
            return False
        if len(endpoint.presumed_lost) >= MAX_PRESUMED_LOST:
            return False
        if not in_flight:
            # Danger: one each from hundreds of hosts is a jam.  D under one is a rest between sends.
            return window >= 1 or now_ms >= endpoint.last_sent_ms + endpoint.limit.latency_ms / window
        free_slots = int(window) - len(in_flight)
        if free_slots or endpoint.ejection.backoff_ms:
            return free_slots > 0
        # With every slot held by what may be lost nothing could overtake it: one more finds out.
        return self.lost_attempts.is_overdue(endpoint, next(iter(in_flight.values())), now_ms)

    def next_request(self, queue: ShardQueue, endpoint: Endpoint, now_ms: float) -> Request | None:
        """Choose the lowest tag plus compensation among the volumes' heads; late work only after these."""
        allowance = self.slow_start.allowance(endpoint, now_ms)
        limit = endpoint.limit
        # A passed jam looks like a lasting one to whoever sends nothing.  All hosts together try with one.
        probes = not endpoint.in_flight and now_ms >= endpoint.last_sent_ms + self.hosts * limit.latency_ms
        # With nothing but late work there, the queues need not be gone through at each turn.
        if queue.waiting_count > len(queue.late):
            reserved_only = limit.wait_ratio > self.gate_ratio and not probes
            head = self._lowest_tag(queue, endpoint, allowance, reserved_only, now_ms)
            if head is not None:
                return head
        # Late work earns little and stands before what comes next: it leaves one slot free, and only where
        # next to nothing waits.
        out = len(endpoint.in_flight) + len(endpoint.presumed_lost)
        if endpoint.admitted_share < 1 or out >= max(1, int(limit.window) - 1):
            return None
        if not limit.is_uncrowded and not probes:
            return None
        answered_by_ms = now_ms + limit.latency_ms
        in_time = [request for request in queue.late if request.deadline_ms > answered_by_ms]
        return self._head(in_time, endpoint, allowance, now_ms)

    def _lowest_tag(
        self, queue: ShardQueue, endpoint: Endpoint, allowance: float, reserved_only: bool, now_ms: float
    ) -> Request | None:
        """Choose among the heads of the volumes' queues, moving out what became late.

        Danger: at a crowded endpoint what earns a part stands before what earns all, and few hosts hold both
        to put them in order (`reserved_only`).  With no reserve on any plan D alone decides.
        """
        uncrowded, ratio = endpoint.limit.uncrowded, endpoint.limit.wait_ratio
        answered_ms, slope = now_ms + uncrowded.estimate(0.0), uncrowded.slope
        lowest, best = INFINITY, None
        for volume in queue.volumes.values():
            if not volume.waiting:
                continue
            late = [  # as in `would_be_late`, which costs too much for each that waits
                request
                for request in volume.waiting
                if request.objective_at_ms
                < answered_ms + slope * request.units + ratio * request.request_class.latency_objective_ms
            ]
            for request in late:
                volume.waiting.remove(request)
                queue.late.append(request)
            head = self._head(volume.waiting, endpoint, allowance, now_ms)
            if head is None:
                continue
            reserved = head.account.is_reserved(head, now_ms)
            if reserved_only and not reserved:
                continue
            tag = volume.start_tag(head, reserved) + (0.0 if reserved else volume.compensation)
            if tag < lowest:
                lowest, best = tag, head
        return best

    def _head(
        self, waiting: Iterable[Request], endpoint: Endpoint, allowance: float, now_ms: float
    ) -> Request | None:
        """Pick a volume's head: most weight first, then the nearest objective, among those that may leave."""
        may_leave = self.admission.may_leave
        head, lowest = None, (INFINITY, INFINITY)
        for request in waiting:
            rank = (-request.request_class.priority_weight, request.objective_at_ms)
            if rank < lowest and may_leave(request, endpoint, allowance, now_ms):
                head, lowest = request, rank
        return head
