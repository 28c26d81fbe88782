"""One host's share of a volume's reserve and limit: an equal share refilled over time, or leased units.

docs/design.md, 'How a limit is kept', proves that a limit is never exceeded, however many hosts share it.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from cressrock.interface import LimitLease, Plan, Settings
from cressrock.scheduler.request import Request

USABLE_SHARE_FRACTION = 0.999  # of a host's share; the rest absorbs rounding errors of sums


class Lease(NamedTuple):
    """Units that may be spent until a time; the lease that expires first is spent first."""

    expires_at_ms: float
    units: float


class VolumeAccount:
    """The units that one volume has available at this host from its reserve and its limit."""

    __slots__ = (
        "in_flight_units",
        "is_leased",
        "leases",
        "limit",
        "max_units",
        "open_requests",
        "plan",
        "refilled_at_ms",
        "reserve",
        "sharing_hosts",
    )

    def __init__(self, settings: Settings, started_at_ms: float) -> None:
        """Start empty at `started_at_ms`.

        The host may have spent its whole share just before it restarted, or forgot the volume.
        """
        self.plan: Plan | None = None  # of the newest request
        self.open_requests = 0
        self.max_units = settings.most_units
        self.is_leased = settings.limits_lent
        self.refilled_at_ms = started_at_ms
        self.sharing_hosts = 1
        self.reserve = 0.0
        self.limit = 0.0
        self.in_flight_units = 0.0  # charged for attempts that may not have reached the limit's store yet
        self.leases: list[Lease] = []  # a heap by expiry time

    def limit_ceiling(self, plan: Plan) -> float:
        """Return the capacity in units of this host's share of the limit."""
        return (plan.limit_burst + plan.limit_slack) / self.sharing_hosts * USABLE_SHARE_FRACTION

    def refill(self, plan: Plan, now_ms: float) -> None:
        """Refill this host's share of the reserve and the limit up to now; drop expired leases."""
        seconds = (now_ms - self.refilled_at_ms) / 1000
        if not seconds:
            return
        self.refilled_at_ms = now_ms
        hosts = self.sharing_hosts
        ceiling = plan.reserve / hosts + self.max_units
        self.reserve = min(ceiling, self.reserve + seconds * plan.reserve / hosts)
        if self.is_leased:
            while self.leases and self.leases[0].expires_at_ms <= now_ms:
                heapq.heappop(self.leases)
            self.limit = min(self.limit, sum(lease.units for lease in self.leases))
            return
        refilled_units = seconds * plan.limit_rate / hosts
        self.limit = min(self.limit_ceiling(plan) - self.in_flight_units, self.limit + refilled_units)

    def empty_at_ms(self, plan: Plan, now_ms: float) -> float:
        """Return when an account that refills since then was empty, if it has the same limit now.

        An account that starts at that time or later has no more of the limit at any time than this one.  It
        is called without units in flight; `plan.limit_rate` is not 0.
        """
        self.refill(plan, now_ms)
        return now_ms - self.limit * 1000 * self.sharing_hosts / plan.limit_rate

    def is_reserved(self, request: Request, now_ms: float) -> bool:
        """Return whether a request is not past its objective and fits into the reserve."""
        self.refill(request.plan, now_ms)
        return request.objective_at_ms >= now_ms and self.reserve >= request.units

    def add_lease(self, lease: LimitLease) -> None:
        """Add units that may be spent until the lease expires."""
        heapq.heappush(self.leases, Lease(lease.expires_at_ms, lease.units))
        self.limit += lease.units

    def charge(self, request: Request) -> None:
        """Charge a request's units when it is sent, unless an earlier attempt is already charged."""
        if request.charged:
            return
        units = request.units
        self.limit -= units
        self.in_flight_units += units
        request.charged, request.in_flight_units = True, units
        while self.leases and units > 0:
            expires_at_ms, leased = heapq.heappop(self.leases)
            if leased > units:
                heapq.heappush(self.leases, Lease(expires_at_ms, leased - units))
            units -= leased

    def settle(self, request: Request, reached_store: bool | None, now_ms: float) -> None:
        """Settle an attempt's units after it ended; the limit's store counts each request once, on arrival.

        Units charged now may arrive later, together with the units that this share refilled in between.
        Therefore outstanding units reduce the share's capacity.  `reached_store`: True keeps the request
        charged, False refunds it, and None (unknown) makes a further attempt pay again.
        """
        units = request.in_flight_units
        if not units:
            return
        self.refill(request.plan, now_ms)
        self.in_flight_units -= units
        request.in_flight_units = 0.0
        request.charged = reached_store is True
        if reached_store is False:
            self.limit += units
