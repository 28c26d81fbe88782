"""Validation of a planner's grants at an edge: the fence between the planner's orders and the nodes.  No I/O.

A grant permits one attempt of one operation at one node.  It is issued in one epoch and expires at a time on
the edge's own clock.  The planner computes that time from the newest event that it has received from this
edge, so the grants of a stalled planner have expired on arrival, and its own clock does not matter.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger
from cressrock.link.messages import Grant

NO_EPOCH = -1


class GrantRejection(StrEnum):
    """Why a grant was rejected.  No node was contacted; the planner is told that the attempt never ran."""

    EPOCH = "grant-of-another-epoch"
    EXPIRED = "grant-expired"
    USED = "grant-used"
    ATTEMPT = "grant-for-another-attempt"
    ANSWERED = "grant-for-an-answered-operation"  # the answer and the grant crossed on the link
    NODE = "grant-for-a-node-not-listed-here"  # the planner's node list is newer than this edge's
    DRAINING = "grant-for-a-node-told-to-drain"  # the planner's node list is older
    NO_PLANNER = "no-planner"
    DECIDER = "grant-for-an-operation-decided-elsewhere"
    ORDER = "grant-out-of-turn"  # another decider's attempt on the key is in flight or may still run


@dataclass(frozen=True, slots=True)
class RejectedGrant:
    """A rejected grant: why, and for which operation."""

    reason: GrantRejection
    operation: str


class GrantFence:
    """An edge's current epoch and the grants used in it.

    At most `max_used` grant numbers are remembered per epoch; numbers below the oldest of them count as used.
    """

    def __init__(self, ledger: Ledger, *, max_used: int = 65536) -> None:
        """Start without a planner: no grant is valid."""
        self.ledger = ledger
        self.max_used = max_used
        self.planner: str | None = None
        self.epoch = NO_EPOCH
        self.newest_epochs: dict[str, int] = {}  # newest epoch this edge has seen, by planner
        self.rejections: Counter[GrantRejection] = Counter()
        self._used: OrderedDict[int, None] = OrderedDict()
        self._used_up_to = -1

    def enter_epoch(self, planner: str, epoch: int) -> bool:
        """Make a planner's epoch the current one.  False if this edge has seen a later epoch of that planner.

        This fences off an earlier or duplicate process of the planner that still holds a connection.
        """
        if epoch < self.newest_epochs.get(planner, 0):
            return False
        if (planner, epoch) != (self.planner, self.epoch):
            self._forget_used()
        self.planner, self.epoch = planner, epoch
        self.newest_epochs[planner] = epoch
        return True

    def leave_epoch(self) -> None:
        """Leave the current epoch: no grant is valid any more, including those that are still on the way."""
        self.planner, self.epoch = None, NO_EPOCH
        self._forget_used()

    def _forget_used(self) -> None:
        self._used.clear()
        self._used_up_to = -1

    def use(self, planner: str, grant: Grant, now_ms: float) -> Attempt | FenceTrip | RejectedGrant:
        """Start the attempt that a grant permits, unless the grant is invalid or the ledger refuses it."""
        rejected = self.check(planner, grant, now_ms)
        return rejected if rejected is not None else self.ledger.send(grant.operation, grant.node, now_ms)

    def check(
        self, planner: str | None, grant: Grant, now_ms: float, *, number_offset: int = 0
    ) -> RejectedGrant | None:
        """Return why a grant is invalid; None if it is valid, though the ledger may still refuse the attempt.

        A grant of the current epoch counts as used from its first check on, whatever the result.
        `number_offset` is the number of attempts that the planner counted and this edge never made, because
        it rejected their grants.
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
        if now_ms > grant.valid_until_ms:
            return self.reject(GrantRejection.EXPIRED, grant)
        entry = self.ledger.entries.get(grant.operation)
        if entry is None or entry.verdict is not None:
            return self.reject(GrantRejection.ANSWERED, grant)
        if len(entry.attempts) + number_offset != grant.attempt:
            return self.reject(GrantRejection.ATTEMPT, grant)
        if grant.node not in self.ledger.nodes:
            return self.reject(GrantRejection.NODE, grant)
        if self.ledger.barred(grant.node, now_ms):
            return self.reject(GrantRejection.DRAINING, grant)
        return None

    def reject(self, reason: GrantRejection, grant: Grant) -> RejectedGrant:
        """Count the rejection of a grant by its reason, and return it."""
        self.rejections[reason] += 1
        return RejectedGrant(reason, grant.operation)
