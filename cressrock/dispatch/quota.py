"""Limits under edges and planners: each edge holds an even share of each limit, and leases units of it out.

Pure.  A limit is a token bucket of `burst` units that refills by `rate` a second, for all dispatchers
together. Its shares are the edges', which alone know all that leaves through them; nobody else makes units.
So an edge that changes its planner, or goes on by itself, takes its share along, and a planner has no more
units than those leased for what waits with it.

The argument for the limit, for each edge apart: what it leased counts for `lease_duration_ms` from a moment
before the lease (the planner's stamp, which the lease carries back: one clock, the planner's), and then no
more, spent or not.  So what may still be spent is at most the units in the bucket, those leased within that
time, and those in flight that may not have arrived: the bucket is held down by the latter two.  Their sum
never is more than the share's burst and slack; no clocks are compared and no message has to arrive.  (The
bucket: Turner, "New directions in communications", 1986; time as the only way to take something back: Gray
and Cheriton, "Leases", 1989.)
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cressrock.interface import Plan

FLOAT_MARGIN = 0.999  # of a share: sums of floats may round up
MAX_LEASED_SHARE = (
    0.5  # of a share's burst: what may be leased within one lease's duration, for whatever rate
)


def lease_duration_ms(plan: Plan, lend_ms: float) -> float:
    """Return how long a lease under a plan counts: at most `lend_ms`, shorter where the burst is small."""
    if not plan.limit_rate:
        return lend_ms
    return min(lend_ms, MAX_LEASED_SHARE * 1000 * (plan.limit_burst + plan.limit_slack) / plan.limit_rate)


@dataclass(slots=True)
class _Lease:
    expires_at_ms: float
    unused_units: float  # not yet seen used


@dataclass(slots=True)
class _Share:
    """This edge's share of one volume's limit."""

    refilled_at_ms: float
    # What an earlier process of this edge spent is unknown, so a share begins empty.
    available_units: float = 0.0
    in_flight_units: float = 0.0  # sent, and perhaps not yet arrived
    leases: deque[_Lease] = field(default_factory=deque)


class EdgeQuota:
    """This edge's shares of its volumes' limits.

    `edges(volume)` is the number of edges that have a share of it.  Bounded by the volumes in the settings.
    """

    def __init__(
        self, plans: tuple[Plan, ...], edges: Callable[[str], int], lend_ms: float, now_ms: float
    ) -> None:
        """Start with every share empty; a lease counts for at most `lend_ms`."""
        self.plans = plans
        self.edges = edges
        self.lend_ms = lend_ms
        self._started_at_ms = now_ms
        self._shares: dict[str, _Share] = {}

    def is_limited(self, plan: int) -> bool:
        """Whether a plan has a limit."""
        return self.plans[plan].limit_rate > 0

    def _refilled_share(self, volume: str, plan: int, now_ms: float) -> _Share:
        share = self._shares.get(volume)
        if share is None:
            share = self._shares[volume] = _Share(self._started_at_ms)
        limit, edge_count = self.plans[plan], max(1, self.edges(volume))
        units_per_ms = limit.limit_rate / 1000 / edge_count
        duration_ms = lease_duration_ms(limit, self.lend_ms)
        max_units = (
            FLOAT_MARGIN * (limit.limit_burst + limit.limit_slack) / edge_count
            - units_per_ms * duration_ms
            - share.in_flight_units
        )
        refilled = share.available_units + (now_ms - share.refilled_at_ms) * units_per_ms
        share.available_units = max(0.0, min(max_units, refilled))
        share.refilled_at_ms = now_ms
        while share.leases and share.leases[0].expires_at_ms <= now_ms:
            share.leases.popleft()
        return share

    def lease(self, volume: str, plan: int, waiting_units: float, now_ms: float) -> float:
        """Return how many units to lease for so many that wait, and book them; 0 where none are available."""
        share = self._refilled_share(volume, plan, now_ms)
        units = min(share.available_units, waiting_units - sum(lease.unused_units for lease in share.leases))
        if units <= 0:
            return 0.0
        share.available_units -= units
        expires_at_ms = now_ms + lease_duration_ms(self.plans[plan], self.lend_ms)
        share.leases.append(_Lease(expires_at_ms, units))
        return units

    def record_sent(self, volume: str, plan: int, units: float, now_ms: float) -> None:
        """Enter that an attempt leaves: it uses the oldest leases first, and may arrive from now on."""
        share = self._refilled_share(volume, plan, now_ms)
        share.in_flight_units += units
        for lease in share.leases:
            used = min(units, lease.unused_units)
            lease.unused_units -= used
            units -= used

    def record_outcome(self, volume: str, plan: int, units: float, now_ms: float) -> None:
        """Enter an attempt's outcome: it has arrived by now, or never will."""
        share = self._refilled_share(volume, plan, now_ms)
        share.in_flight_units = max(0.0, share.in_flight_units - units)
