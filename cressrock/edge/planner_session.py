"""An edge's session with its planner: epoch, grants, clock stamps, rule versions, events to send.  No I/O.

Without a planner the session is closed: no order is valid and no event is sent.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from cressrock.edge.attempt_history import AttemptHistory
from cressrock.edge.grants import GrantFence
from cressrock.edge.outbox import Outbox
from cressrock.link import messages

NEVER_MS = float("inf")


@dataclass(frozen=True, slots=True)
class PlannerEpoch:
    """A planner in one epoch; the same planner in another epoch is a different decider."""

    planner: str | None
    epoch: int


class PlannerSession:
    """What this edge has received from its planner, and the events to send to it."""

    def __init__(
        self, grants: GrantFence, outbox: Outbox, history: AttemptHistory, clock_report_interval_ms: float
    ) -> None:
        """Start without a planner.  `clock_report_interval_ms` is the longest time without an event to it."""
        self.grants = grants
        self.outbox = outbox
        self.history = history
        self.clock_report_interval_ms = clock_report_interval_ms
        self.stamp, self.stamp_received_ms = 0, 0.0  # the planner's newest clock stamp
        self.versions: frozenset[str] | None = frozenset()  # that the planner holds; None: not announced yet
        self._orders: deque[tuple[str, messages.PlannerOrder]] = deque()
        self._reported_draining: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Whether the edge is connected to a planner."""
        return self.grants.planner is not None

    @property
    def decider(self) -> PlannerEpoch:
        """The current planner and epoch, which identify the decider in the attempt history."""
        return PlannerEpoch(self.grants.planner, self.grants.epoch)

    def enter(self, planner: str, epoch: int, now_ms: float, *, versioned: bool) -> bool:
        """Start a session in a planner's epoch.  False if this edge has seen a later one of that planner."""
        if not self.grants.enter_epoch(planner, epoch):
            return False
        self.stamp, self.stamp_received_ms = 0, now_ms
        self.versions = None if versioned else frozenset()
        self._drop_pending()
        return True

    def leave(self) -> None:
        """End the session: no grant is valid any more, including those that are still on the way."""
        self.grants.leave_epoch()
        self.versions = frozenset()
        self._drop_pending()

    def _drop_pending(self) -> None:
        self.outbox.clear()
        self._orders.clear()
        self._reported_draining.clear()

    # --- from the planner

    def receive_order(self, planner: str, order: messages.PlannerOrder) -> None:
        """Queue an order for the next batch, which executes it if it is still valid."""
        self._orders.append((planner, order))

    def next_order(self, now_ms: float) -> messages.OperationOrder | messages.ClockStamp | None:
        """Return the next order of this session to execute; None if there are no more.

        Rule versions and clock stamps are applied on the way, and orders of other sessions are discarded; a
        clock stamp is also returned.
        """
        while self._orders:
            planner, order = self._orders.popleft()
            match order:
                case messages.RuleVersions():
                    if planner == self.grants.planner:
                        self.versions = frozenset(order.versions)
                case messages.ClockStamp():
                    if planner == self.grants.planner:
                        self.stamp, self.stamp_received_ms = order.number, now_ms
                        return order
                case _ if planner == self.grants.planner and order.epoch == self.grants.epoch:
                    return order
                case messages.Grant():
                    self.grants.check(planner, order, now_ms)  # counts the rejection by its reason
        return None

    # --- to the planner

    def report(self, event: messages.EdgeEvent, now_ms: float) -> None:
        """Queue an event for the planner; its sequence number and time are filled in."""
        self.outbox.add(event, now_ms)

    def report_draining(self, node: str, now_ms: float) -> None:
        """Report once per session that a node is draining."""
        if node not in self._reported_draining:
            self._reported_draining.add(node)
            self.report(messages.NodeDraining(0, now_ms, node), now_ms)

    def report_history(self, now_ms: float) -> None:
        """Report other deciders' requests and retries, which the planner counts in its retry budget."""
        unreported = self.history.drain_unreported(self.decider, now_ms)
        if unreported.retried_at_ms or unreported.accepted_at_ms:
            # Rounded so that the budget is never too large: retries appear newer, requests older.
            retry_ages = [int(now_ms - at_ms) for at_ms in unreported.retried_at_ms]
            request_ages = [math.ceil(now_ms - at_ms) for at_ms in unreported.accepted_at_ms]
            self.report(messages.BudgetHistory(0, now_ms, retry_ages, request_ages), now_ms)

    def next_tick_ms(self) -> float:
        """Return when (ms) this edge's clock has to be sent next; infinity without a planner."""
        return self.outbox.last_added_ms + self.clock_report_interval_ms if self.is_open else NEVER_MS
