"""An edge's session with its planner: epoch, grants, clock stamps, rule versions, events to send.  Pure.

Without a planner the session is closed: no order is valid and nothing is sent.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from cressrock.edge.attempt_history import AttemptHistory
from cressrock.edge.grants import GrantFence
from cressrock.edge.outbox import Outbox
from cressrock.link import messages

FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class PlannerEpoch:
    """One life of a planner: another epoch of it is another decider."""

    planner: str | None
    epoch: int


class PlannerSession:
    """What this edge has from its planner, and what it has still to send."""

    def __init__(self, grants: GrantFence, outbox: Outbox, history: AttemptHistory, tick_ms: float) -> None:
        """Start without a planner.  `tick_ms`: so often at least a planner is sent this edge's clock."""
        self.grants = grants
        self.outbox = outbox
        self.history = history
        self.tick_ms = tick_ms
        self.stamp, self.stamped_at_ms = 0, 0.0  # the planner's newest clock stamp, and when it came
        self.versions: frozenset[str] | None = frozenset()  # rule versions it holds; None: not announced yet
        self._orders: deque[tuple[str, messages.PlannerOrder]] = deque()
        self._reported_draining: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Whether there is a planner."""
        return self.grants.planner is not None

    @property
    def decider(self) -> PlannerEpoch:
        """The planner in its epoch, as the attempt history knows it."""
        return PlannerEpoch(self.grants.planner, self.grants.epoch)

    def enter(self, planner: str, epoch: int, now: float, *, versioned: bool) -> bool:
        """Begin a session in a planner's epoch.  False if this edge has seen a later one of that planner."""
        if not self.grants.enter_epoch(planner, epoch):
            return False
        self.stamp, self.stamped_at_ms = 0, now
        self.versions = None if versioned else frozenset()
        self._drop_pending()
        return True

    def leave(self) -> None:
        """End the session: from here on no grant is valid, also none that still arrives."""
        self.grants.leave_epoch()
        self.versions = frozenset()
        self._drop_pending()

    def _drop_pending(self) -> None:
        self.outbox.clear()
        self._orders.clear()
        self._reported_draining.clear()

    # --- from the planner

    def receive_order(self, planner: str, order: messages.PlannerOrder) -> None:
        """Keep an order until the next batch; it is carried out if it is still valid then."""
        self._orders.append((planner, order))

    def next_order(self, now: float) -> messages.OperationOrder | messages.ClockStamp | None:
        """Return the next order of this session, after all that concerns the session alone; None: no more."""
        while self._orders:
            planner, order = self._orders.popleft()
            match order:
                case messages.RuleVersions():
                    if planner == self.grants.planner:
                        self.versions = frozenset(order.versions)
                case messages.ClockStamp():
                    if planner == self.grants.planner:
                        self.stamp, self.stamped_at_ms = order.number, now
                        return order
                case _ if planner == self.grants.planner and order.epoch == self.grants.epoch:
                    return order
                case messages.Grant():
                    self.grants.check(planner, order, now)  # counts why it is not valid
        return None

    # --- to the planner

    def report(self, event: messages.EdgeEvent, now: float) -> None:
        """Queue an event; its sequence number and time are set here."""
        self.outbox.add(event, now)

    def report_draining(self, node: str, now: float) -> None:
        """Report once in a session that a node takes nothing new."""
        if node not in self._reported_draining:
            self._reported_draining.add(node)
            self.report(messages.NodeDraining(0, now, node), now)

    def report_history(self, now: float) -> None:
        """Report what others decided about that counts in the planner's retry budget."""
        unreported = self.history.drain_unreported(self.decider, now)
        if unreported.retried_at_ms or unreported.accepted_at_ms:
            # Rounded to the safe side: attempts were made later, requests came earlier.
            retry_ages = [int(now - at_ms) for at_ms in unreported.retried_at_ms]
            request_ages = [math.ceil(now - at_ms) for at_ms in unreported.accepted_at_ms]
            self.report(messages.BudgetHistory(0, now, retry_ages, request_ages), now)

    def next_tick_ms(self) -> float:
        """Return when the planner has to be sent this edge's clock; infinity without a planner."""
        return self.outbox.last_added_ms + self.tick_ms if self.is_open else FOREVER
