"""Limits under edges and planners: each edge holds its even part, and lends of it to who decides.  Pure.

A limit is a store of `burst` units that fills by `rate` a second, of all dispatchers together.  Its parts are
the edges', which alone know all that leaves through them; nobody else makes units.  So an edge that changes
its planner, or goes on by itself, takes its part along, and a planner holds no more than what waits with it.

The argument for the limit, for each edge apart: what it lent counts for `life_ms` from a moment before it was
lent (the planner's stamp, which the loan carries back: one clock, the planner's), and then no more, spent or
not.  So what may still be spent is at most its store, what it lent within that time, and what is out and may
not have arrived: the store is held down by the latter two.  Their sum never is more than the part's burst and
slack; no clocks are compared and no word has to arrive.  (The bucket: Turner, "New directions in
communications", 1986; time as the only way to take something back: Gray and Cheriton, "Leases", 1989.)
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cressrock.interface import Plan

SAFE = 0.999  # of a part: sums of floats
MOST_AWAY = 0.5  # of a part's burst: what may be lent within a loan's life, for whatever rate


def lease_duration_ms(plan: Plan, lend_ms: float) -> float:
    """Return how long a loan of a plan counts: at most `lend_ms`, shorter where the burst is small."""
    if not plan.limit_rate:
        return lend_ms
    return min(lend_ms, MOST_AWAY * 1000 * (plan.limit_burst + plan.limit_slack) / plan.limit_rate)


@dataclass(slots=True)
class _Part:
    """One volume's part at this edge; units."""

    at: float
    store: float = 0.0  # what a former life of this edge spent is unknown: begin empty
    due: float = 0.0  # out, and perhaps not yet arrived
    loans: deque[list[float]] = field(default_factory=deque)  # [until, units not yet seen used]


class EdgeQuota:
    """This edge's parts of its volumes' limits.

    `edges(volume)` is the number of edges that hold a part of it.  Bounded by the volumes in the settings.
    """

    def __init__(
        self, plans: tuple[Plan, ...], edges: Callable[[str], int], lend_ms: float, now_ms: float
    ) -> None:
        """Start with every part empty."""
        self.plans = plans
        self.edges = edges
        self.lend_ms = lend_ms
        self.born = now_ms
        self.parts: dict[str, _Part] = {}

    def is_limited(self, plan: int) -> bool:
        """Whether a plan has a limit."""
        return self.plans[plan].limit_rate > 0

    def _part(self, volume: str, plan: int, now: float) -> _Part:
        """Return a volume's part, filled up to now."""
        part = self.parts.get(volume)
        if part is None:
            part = self.parts[volume] = _Part(self.born)
        figures, count = self.plans[plan], max(1, self.edges(volume))
        rate, life = figures.limit_rate / 1000 / count, lease_duration_ms(figures, self.lend_ms)
        most = SAFE * (figures.limit_burst + figures.limit_slack) / count - rate * life - part.due
        part.store = max(0.0, min(most, part.store + (now - part.at) * rate))
        part.at = now
        while part.loans and part.loans[0][0] <= now:
            part.loans.popleft()
        return part

    def lease(self, volume: str, plan: int, wanted: float, now: float) -> float:
        """Return how many units to lend for so many that wait, and book them; 0 where none is to be had."""
        part = self._part(volume, plan, now)
        units = min(part.store, wanted - sum(loan[1] for loan in part.loans))
        if units <= 0:
            return 0.0
        part.store -= units
        part.loans.append([now + lease_duration_ms(self.plans[plan], self.lend_ms), units])
        return units

    def record_sent(self, volume: str, plan: int, units: float, now: float) -> None:
        """Enter that an attempt leaves: it takes what was lent first, and may arrive from now on."""
        part = self._part(volume, plan, now)
        part.due += units
        for loan in part.loans:
            used = min(units, loan[1])
            loan[1] -= used
            units -= used

    def record_outcome(self, volume: str, plan: int, units: float, now: float) -> None:
        """Enter an attempt's outcome: it has arrived by now, or never will."""
        part = self._part(volume, plan, now)
        part.due = max(0.0, part.due - units)
