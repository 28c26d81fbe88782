"""Checks before a request may be sent: slow start, the volume's limit, the retry budget and key order."""

from __future__ import annotations

from cressrock.interface import Settings
from cressrock.scheduler.endpoints import INFINITY, Endpoint
from cressrock.scheduler.fair_queue import ShardQueue
from cressrock.scheduler.ordering import KeyOrder
from cressrock.scheduler.rate_limit import VolumeAccount
from cressrock.scheduler.request import Request
from cressrock.scheduler.retry import RetryBudget, may_repeat_at


class Admission:
    """Decides whether a waiting request may be sent now."""

    def __init__(
        self,
        settings: Settings,
        active_queues: dict[int, ShardQueue],
        retry_budget: RetryBudget,
        key_order: KeyOrder,
    ) -> None:
        """Keep references to the state of one scheduler; nothing is copied."""
        self.is_limit_leased = settings.limits_lent
        self.active_queues = active_queues
        self.retry_budget = retry_budget
        self.key_order = key_order

    def may_send(self, request: Request, endpoint: Endpoint, allowance: float, now_ms: float) -> bool:
        """Return whether a request may be sent to an endpoint that can take `allowance` more units."""
        if request.units > allowance:
            return False
        is_limited = request.plan.limit_rate and not request.charged
        if is_limited and not self._within_limit(request, endpoint, now_ms):
            return False
        if request.possible_run is not None and not may_repeat_at(request, endpoint.list_entry):
            return False
        if request.attempts and not self.retry_budget.allows_retry(now_ms):
            return False
        if request.request_class.ordered and request.arrival.key:
            return self.key_order.may_run(request, now_ms)
        return True

    def _within_limit(self, request: Request, endpoint: Endpoint, now_ms: float) -> bool:
        account = request.account
        account.refill(request.plan, now_ms)
        spare = self._spare_units(account, request, endpoint, now_ms)
        return account.limit >= request.units + spare

    def _spare_units(
        self, account: VolumeAccount, request: Request, endpoint: Endpoint, now_ms: float
    ) -> float:
        """Return the units of the limit that a late request must leave for the next one that is on time."""
        if not endpoint.limit.would_be_late(request, now_ms):
            return 0.0
        ceiling = account.limit_ceiling(request.plan)
        spare = max(0.0, min(ceiling / 2, ceiling - request.units))
        if spare and self.is_limit_leased:
            # Leases cover only the waiting requests, so a late one must wait while any is on time.
            name = request.arrival.volume
            queues = (queue.volumes.get(name) for queue in self.active_queues.values())
            return INFINITY if any(queue is not None and queue.waiting for queue in queues) else 0.0
        return spare
