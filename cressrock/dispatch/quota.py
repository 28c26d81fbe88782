"""Rate limits with edges and planners: each edge has an equal share of each limit and leases units of it.

It does no I/O.  A limit is a token bucket of `burst` units that refills at `rate` units per second, shared by
all dispatchers.  The edges hold the shares, since only an edge knows everything that is sent through it; only
edges create units.  An edge that changes its planner, or continues without one, keeps its share, and a
planner has only the units that were leased to it for the requests waiting there.

Why the limit holds, for each edge separately: leased units are valid for `lease_duration_ms`, counted from a
moment before the lease (the planner's clock stamp, which the lease carries back, so that only the planner's
clock is used), and expire then, spent or not.  The units that may still be spent are therefore at most those
in the bucket, those leased within that duration, and those in flight that may not have arrived; the bucket's
maximum is reduced by the latter two.  The sum never exceeds the share's burst and slack.  No clocks are
compared, and no message has to arrive.  (Token bucket: Turner, "New directions in communications", 1986;
expiry as the only means of revocation: Gray and Cheriton, "Leases", 1989.)
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cressrock.interface import Plan

ROUNDING_MARGIN_FRACTION = 0.999  # of a share, since sums of floats may round up
# Of burst and slack: reserved for the units leased within one lease's duration, at any rate.
MAX_LEASED_FRACTION = 0.5


def lease_duration_ms(plan: Plan, lend_ms: float) -> float:
    """Return how long a plan's leases are valid: at most `lend_ms`, less if the burst is small."""
    if not plan.limit_rate:
        return lend_ms
    return min(lend_ms, MAX_LEASED_FRACTION * 1000 * (plan.limit_burst + plan.limit_slack) / plan.limit_rate)


@dataclass(slots=True)
class _Lease:
    expires_at_ms: float
    unused_units: float  # not yet matched by a sent attempt


@dataclass(slots=True)
class _Share:
    """This edge's share of one volume's limit."""

    refilled_at_ms: float
    # A share starts empty, since what an earlier process of this edge spent is unknown.
    available_units: float = 0.0
    in_flight_units: float = 0.0  # sent, without an outcome yet
    leases: deque[_Lease] = field(default_factory=deque)


class EdgeQuota:
    """This edge's shares of its volumes' limits.

    `edges(volume)` returns how many edges have a share of the volume's limit.  There is at most one share per
    volume in the settings.
    """

    def __init__(
        self, plans: tuple[Plan, ...], edges: Callable[[str], int], lend_ms: float, now_ms: float
    ) -> None:
        """Start with empty shares, which refill from `now_ms` on; leases are valid for at most `lend_ms`."""
        self.plans = plans
        self.edges = edges
        self.lend_ms = lend_ms
        self._started_at_ms = now_ms
        self._shares: dict[str, _Share] = {}

    def is_limited(self, plan: int) -> bool:
        """Whether the plan with this number has a rate limit."""
        return self.plans[plan].limit_rate > 0

    def _refilled_share(self, volume: str, plan: int, now_ms: float) -> _Share:
        share = self._shares.get(volume)
        if share is None:
            share = self._shares[volume] = _Share(self._started_at_ms)
        limit, edge_count = self.plans[plan], max(1, self.edges(volume))
        units_per_ms = limit.limit_rate / 1000 / edge_count
        duration_ms = lease_duration_ms(limit, self.lend_ms)
        max_units = (
            ROUNDING_MARGIN_FRACTION * (limit.limit_burst + limit.limit_slack) / edge_count
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
        """Lease units for `waiting_units` of queued requests, as available; return how many, or 0."""
        share = self._refilled_share(volume, plan, now_ms)
        units = min(share.available_units, waiting_units - sum(lease.unused_units for lease in share.leases))
        if units <= 0:
            return 0.0
        share.available_units -= units
        expires_at_ms = now_ms + lease_duration_ms(self.plans[plan], self.lend_ms)
        share.leases.append(_Lease(expires_at_ms, units))
        return units

    def record_sent(self, volume: str, plan: int, units: float, now_ms: float) -> None:
        """Record that an attempt is sent; it uses the oldest leases first and is in flight from now on."""
        share = self._refilled_share(volume, plan, now_ms)
        share.in_flight_units += units
        for lease in share.leases:
            used = min(units, lease.unused_units)
            lease.unused_units -= used
            units -= used

    def record_outcome(self, volume: str, plan: int, units: float, now_ms: float) -> None:
        """Record an attempt's outcome: it has arrived or never will, so it is no longer in flight."""
        share = self._refilled_share(volume, plan, now_ms)
        share.in_flight_units = max(0.0, share.in_flight_units - units)
