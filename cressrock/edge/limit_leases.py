"""Leases units of volume limits from this edge's quota to the decider of the waiting operations.  No I/O.

`dispatch/quota` implements the quota and explains why the limits hold.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cressrock.dispatch.quota import EdgeQuota, lease_duration_ms
from cressrock.edge.operations import Decider, OperationTable

# Of a lease's duration.  A lease counts from its stamp; an older stamp would leave too little time to use it.
MAX_STAMP_AGE_FRACTION = 1 / 4


@dataclass(frozen=True, slots=True)
class Demand:
    """Units needed by the operations of one limited volume that wait for a decider."""

    volume: str
    plan: int
    units: float


class LimitLeases:
    """Leases units of this edge's quota to deciders."""

    def __init__(self, quota: EdgeQuota, table: OperationTable) -> None:
        """Lease from `quota` for the operations in `table`."""
        self.quota = quota
        self._table = table

    def demands(self, decider: Decider) -> Iterable[Demand]:
        """Return what a decider's waiting operations need, one entry per limited volume."""
        demands: dict[str, Demand] = {}
        for arrival in self._table.waiting_arrivals(decider):
            if self.quota.is_limited(arrival.plan):
                before = demands.get(arrival.volume)
                units = arrival.units + (before.units if before is not None else 0.0)
                demands[arrival.volume] = Demand(arrival.volume, arrival.plan, units)
        return demands.values()

    def demand_at_planner(self, volume: str, plan: int) -> Demand:
        """Return what the operations of one volume that wait for the planner need."""
        waiting = self._table.waiting_arrivals(Decider.PLANNER)
        return Demand(volume, plan, sum(arrival.units for arrival in waiting if arrival.volume == volume))

    def lease(self, demand: Demand, now_ms: float) -> float:
        """Reserve units of the quota for the demand and return how many; 0 if none are available."""
        return self.quota.lease(demand.volume, demand.plan, demand.units, now_ms)

    def lease_if_stamp_is_recent(self, demand: Demand, stamp_received_ms: float, now_ms: float) -> float:
        """Lease units to the planner; 0 if its newest clock stamp was received too long ago."""
        if now_ms > stamp_received_ms + self.duration_ms(demand.plan) * MAX_STAMP_AGE_FRACTION:
            return 0.0
        return self.lease(demand, now_ms)

    def duration_ms(self, plan: int) -> float:
        """Return how long (ms) a lease for a plan's limit is valid."""
        return lease_duration_ms(self.quota.plans[plan], self.quota.lend_ms)
