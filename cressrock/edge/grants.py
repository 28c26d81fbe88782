"""Which grants an edge may carry out: the fence between a planner's orders and the nodes.  Pure.

A grant is leave for one attempt, of one operation, at one node, from one epoch, until a time on the edge's
own clock.  The planner reckons that time from the newest event of this edge that it has seen, so a planner
that stood still, or whose clock differs, hands out grants that are over when they arrive.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger
from cressrock.link.messages import Grant


class Stale(StrEnum):
    """Why a grant was not carried out; the edge tells the planner, and nothing was sent."""

    EPOCH = "grant-of-another-epoch"
    EXPIRED = "grant-expired"
    USED = "grant-used"
    ATTEMPT = "grant-for-another-attempt"
    OVER = "grant-for-an-answered-operation"  # they crossed on the way
    NODE = "grant-for-a-node-not-listed-here"  # the planner's list is ahead of this edge's
    DRAINS = "grant-for-a-node-told-to-drain"  # or behind it
    AWAY = "no-planner"
    DECIDER = "grant-for-an-operation-decided-elsewhere"
    TURN = "grant-out-of-turn"  # an attempt of another decider is out on the key, or may run yet


@dataclass(frozen=True, slots=True)
class Unused:
    """A grant that was turned down."""

    reason: Stale
    operation: str


class Grants:
    """One edge's present epoch and the grants used in it.

    `max_used` bounds what is remembered of one epoch; numbers below the oldest one kept count as used.
    """

    def __init__(self, ledger: Ledger, *, max_used: int = 65536) -> None:
        """Start without a planner: no grant is valid."""
        self.ledger = ledger
        self.max_used = max_used
        self.planner: str | None = None
        self.epoch = -1
        self.newest: dict[str, int] = {}  # each planner's newest epoch that this edge has seen
        self.turned_down: Counter[Stale] = Counter()
        self._used: OrderedDict[int, None] = OrderedDict()
        self._floor = -1

    def joined(self, planner: str, epoch: int) -> bool:
        """Enter a planner's epoch as the present one.  False if this edge has seen a later one of it.

        Danger: a planner's former life, or its twin, that still holds a connection.
        """
        if epoch < self.newest.get(planner, 0):
            return False
        if (planner, epoch) != (self.planner, self.epoch):
            self._used.clear()
            self._floor = -1
        self.planner, self.epoch = planner, epoch
        self.newest[planner] = epoch
        return True

    def away(self) -> None:
        """Enter that there is no planner: from now on no grant is valid, also none that still arrives."""
        self.planner, self.epoch = None, -1
        self._used.clear()
        self._floor = -1

    def use(self, planner: str, grant: Grant, now: float) -> Attempt | FenceTrip | Unused:
        """Use a grant for an attempt, if it is valid and breaks nothing that the edge itself knows."""
        unused = self.check(planner, grant, now)
        return unused if unused is not None else self.ledger.send(grant.operation, grant.node, now)

    def check(self, planner: str, grant: Grant, now: float, *, shift: int = 0) -> Unused | None:
        """Say why a grant is not valid; None: it is, and the ledger has the last word.

        The grant counts as used in any case: it is never looked at twice.  `shift`: how many attempts the
        planner has numbered that were never made here, its unused grants.
        """
        if self.planner is None:
            return self.down(Stale.AWAY, grant)
        if planner != self.planner or grant.epoch != self.epoch:
            return self.down(Stale.EPOCH, grant)
        if grant.number in self._used or grant.number <= self._floor:
            return self.down(Stale.USED, grant)
        self._used[grant.number] = None
        if len(self._used) > self.max_used:
            self._floor = max(self._floor, self._used.popitem(last=False)[0])
        if now > grant.valid_until_ms:
            return self.down(Stale.EXPIRED, grant)
        entry = self.ledger.entries.get(grant.operation)
        if entry is None or entry.verdict is not None:
            return self.down(Stale.OVER, grant)
        if len(entry.attempts) + shift != grant.attempt:
            return self.down(Stale.ATTEMPT, grant)
        if grant.node not in self.ledger.nodes:
            return self.down(Stale.NODE, grant)
        if self.ledger.barred(grant.node, now):
            return self.down(Stale.DRAINS, grant)
        return None

    def down(self, reason: Stale, grant: Grant) -> Unused:
        """Turn a grant down for a reason, and count it."""
        self.turned_down[reason] += 1
        return Unused(reason, grant.operation)
