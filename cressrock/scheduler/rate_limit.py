"""A volume's reserve and limit as one host spends them: its even part, refilled over time, or leases.

The proof that a limit is never passed, however many hosts spend parts of it, is in docs/design.md, 'How a
limit is kept'.
"""

from __future__ import annotations

import heapq
from typing import NamedTuple

from cressrock.interface import LimitLease, Plan, Settings
from cressrock.scheduler.request import Request

SHARE_MARGIN = 0.999  # of the part: what is left for the rounding of sums


class Lease(NamedTuple):
    """Units that may be spent until a time; what ends first is spent first."""

    expires_at_ms: float
    units: float


class VolumeAccount:
    """What one volume has used of its reserve and its limit at this host."""

    __slots__ = (
        "in_flight_units",
        "is_leased",
        "leases",
        "limit",
        "max_units",
        "refilled_at_ms",
        "reserve",
        "sharing_hosts",
    )

    def __init__(self, settings: Settings, started_at_ms: float) -> None:
        """Begin empty: what a former life of this host spent, and just before its end, is unknown."""
        self.max_units = settings.most_units
        self.is_leased = settings.limits_lent
        self.refilled_at_ms = started_at_ms
        self.sharing_hosts = 1
        self.reserve = 0.0
        self.limit = 0.0
        self.in_flight_units = 0.0  # sent, and perhaps not seen by the limit's store yet
        self.leases: list[Lease] = []  # a heap

    def limit_ceiling(self, plan: Plan) -> float:
        """Return the most that this host's part of the limit holds."""
        return (plan.limit_burst + plan.limit_slack) / self.sharing_hosts * SHARE_MARGIN

    def refill(self, plan: Plan, now_ms: float) -> None:
        """Fill this host's even part of the reserve and the limit up to now."""
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
        gain = seconds * plan.limit_rate / hosts
        self.limit = min(self.limit_ceiling(plan) - self.in_flight_units, self.limit + gain)

    def is_reserved(self, request: Request, now_ms: float) -> bool:
        """Whether a request that left now would be on time and inside the reserve."""
        self.refill(request.plan, now_ms)
        return request.objective_at_ms >= now_ms and self.reserve >= request.units

    def add_lease(self, lease: LimitLease) -> None:
        """Take units that may be spent until the lease's end."""
        heapq.heappush(self.leases, Lease(lease.expires_at_ms, lease.units))
        self.limit += lease.units

    def charge(self, request: Request) -> None:
        """Pay a request's units as it is sent, unless an earlier attempt has paid for it."""
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
        """Book what became of an attempt's units: a store takes a request's once, on arrival.

        Danger: charged now and arriving later, they meet what this part filled up by in between.  So they
        keep its ceiling down while they are out; after that what may yet leave a second time pays a second
        time.
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
