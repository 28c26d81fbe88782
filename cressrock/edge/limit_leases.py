"""Which units of volumes' limits an edge leases to the decider of the operations that wait for them.  Pure.

The quota itself, and the argument that the limits hold, are in `dispatch/quota`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from cressrock.dispatch.quota import EdgeQuota, lease_duration_ms
from cressrock.edge.operations import Decider, OperationTable

MAX_STAMP_AGE = 1 / 4  # of a lease's duration; by an older clock stamp it would hardly count at the planner


@dataclass(frozen=True, slots=True)
class Demand:
    """Units of one limited volume that wait with a decider."""

    volume: str
    plan: int
    units: float


class LimitLeases:
    """Leases units of this edge's quota to deciders."""

    def __init__(self, quota: EdgeQuota, table: OperationTable) -> None:
        """Lease from `quota` for what `table` holds."""
        self.quota = quota
        self._table = table

    def demands(self, decider: Decider) -> Iterable[Demand]:
        """Return what waits with a decider, one for each limited volume."""
        demands: dict[str, Demand] = {}
        for arrival in self._table.waits_with(decider):
            if self.quota.is_limited(arrival.plan):
                before = demands.get(arrival.volume)
                units = arrival.units + (before.units if before is not None else 0.0)
                demands[arrival.volume] = Demand(arrival.volume, arrival.plan, units)
        return demands.values()

    def demand_at_planner(self, volume: str, plan: int) -> Demand:
        """Return what waits of one volume with the planner."""
        waiting = self._table.waits_with(Decider.PLANNER)
        return Demand(volume, plan, sum(arrival.units for arrival in waiting if arrival.volume == volume))

    def lease(self, demand: Demand, now: float) -> float:
        """Book units for what waits and return how many; 0 where none are to be had."""
        return self.quota.lease(demand.volume, demand.plan, demand.units, now)

    def lease_by_stamp(self, demand: Demand, stamped_at_ms: float, now: float) -> float:
        """Lease units to a planner whose newest clock stamp came at a time; 0 if that is too long ago."""
        if now > stamped_at_ms + self.duration_ms(demand.plan) * MAX_STAMP_AGE:
            return 0.0
        return self.lease(demand, now)

    def duration_ms(self, plan: int) -> float:
        """Return for how long a lease of a plan counts."""
        return lease_duration_ms(self.quota.plans[plan], self.quota.lend_ms)
