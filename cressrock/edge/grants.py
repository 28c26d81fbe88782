"""Which grants an edge may carry out: the fence between a planner's orders and the nodes.  Pure.

A grant permits one attempt, of one operation, at one node, from one epoch, until a time on the edge's own
clock.  The planner reckons that time from the newest event of this edge that it has seen, so a planner that
stood still, or whose clock differs, hands out grants that have expired when they arrive.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger
from cressrock.link.messages import Grant

NO_EPOCH = -1


class GrantRejection(StrEnum):
    """Why a grant was not carried out; the edge reports it to the planner, and nothing was sent."""

    EPOCH = "grant-of-another-epoch"
    EXPIRED = "grant-expired"
    USED = "grant-used"
    ATTEMPT = "grant-for-another-attempt"
    ANSWERED = "grant-for-an-answered-operation"  # they crossed on the way
    NODE = "grant-for-a-node-not-listed-here"  # the planner's list is ahead of this edge's
    DRAINING = "grant-for-a-node-told-to-drain"  # or behind it
    NO_PLANNER = "no-planner"
    DECIDER = "grant-for-an-operation-decided-elsewhere"
    ORDER = "grant-out-of-turn"  # an attempt of another decider is in flight on the key, or may still run


@dataclass(frozen=True, slots=True)
class RejectedGrant:
    """A grant that was not carried out."""

    reason: GrantRejection
    operation: str


class GrantFence:
    """One edge's present epoch and the grants used in it.

    `max_used` bounds what is remembered of one epoch; numbers below the oldest one remembered count as used.
    """

    def __init__(self, ledger: Ledger, *, max_used: int = 65536) -> None:
        """Start without a planner: no grant is valid."""
        self.ledger = ledger
        self.max_used = max_used
        self.planner: str | None = None
        self.epoch = NO_EPOCH
        self.newest_epochs: dict[str, int] = {}  # that this edge has seen, by planner
        self.rejections: Counter[GrantRejection] = Counter()
        self._used: OrderedDict[int, None] = OrderedDict()
        self._used_up_to = -1

    def enter_epoch(self, planner: str, epoch: int) -> bool:
        """Enter a planner's epoch as the present one.  False if this edge has seen a later one of it.

        Danger: a planner's former life, or its double, that still holds a connection.
        """
        if epoch < self.newest_epochs.get(planner, 0):
            return False
        if (planner, epoch) != (self.planner, self.epoch):
            self._forget_used()
        self.planner, self.epoch = planner, epoch
        self.newest_epochs[planner] = epoch
        return True

    def leave_epoch(self) -> None:
        """Enter that there is no planner: from now on no grant is valid, also none that still arrives."""
        self.planner, self.epoch = None, NO_EPOCH
        self._forget_used()

    def _forget_used(self) -> None:
        self._used.clear()
        self._used_up_to = -1

    def use(self, planner: str, grant: Grant, now: float) -> Attempt | FenceTrip | RejectedGrant:
        """Use a grant for an attempt, if it is valid and breaks nothing that the edge itself knows."""
        rejected = self.check(planner, grant, now)
        return rejected if rejected is not None else self.ledger.send(grant.operation, grant.node, now)

    def check(
        self, planner: str | None, grant: Grant, now: float, *, number_offset: int = 0
    ) -> RejectedGrant | None:
        """Return why a grant is not valid; None: it is, and the ledger has the last word.

        The grant counts as used in any case: it is never checked twice.  `number_offset`: how many attempts
        the planner has numbered that were never made here, its rejected grants.
        """
        if self.planner is None:
            return self.reject(GrantRejection.NO_PLANNER, grant)
        if planner != self.planner or grant.epoch != self.epoch:
            return self.reject(GrantRejection.EPOCH, grant)
        if grant.number in self._used or grant.number <= self._used_up_to:
            return self.reject(GrantRejection.USED, grant)
        self._used[grant.number] = None
        if len(self._used) > self.max_used:
            self._used_up_to = max(self._used_up_to, self._used.popitem(last=False)[0])
        if now > grant.valid_until_ms:
            return self.reject(GrantRejection.EXPIRED, grant)
        entry = self.ledger.entries.get(grant.operation)
        if entry is None or entry.verdict is not None:
            return self.reject(GrantRejection.ANSWERED, grant)
        if len(entry.attempts) + number_offset != grant.attempt:
            return self.reject(GrantRejection.ATTEMPT, grant)
        if grant.node not in self.ledger.nodes:
            return self.reject(GrantRejection.NODE, grant)
        if self.ledger.barred(grant.node, now):
            return self.reject(GrantRejection.DRAINING, grant)
        return None

    def reject(self, reason: GrantRejection, grant: Grant) -> RejectedGrant:
        """Reject a grant for a reason, and count it."""
        self.rejections[reason] += 1
        return RejectedGrant(reason, grant.operation)
