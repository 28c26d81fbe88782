"""Validates a planner's orders at an edge and translates them into actions for the driver.  No I/O."""

from __future__ import annotations

from cressrock.edge.attempts import AttemptTracker
from cressrock.edge.grants import GrantRejection, RejectedGrant
from cressrock.edge.operations import Decider, OperationTable, PendingOperation
from cressrock.edge.planner_session import PlannerSession
from cressrock.interface import Action, Cancel, Fail, Outcome, Reject, Send
from cressrock.link import messages


class PlannerOrders:
    """Translates orders of the current session into actions for the driver."""

    def __init__(self, table: OperationTable, session: PlannerSession, attempts: AttemptTracker) -> None:
        """Validate orders against `table`, and report attempts that were not made through `session`."""
        self._table = table
        self._session = session
        self._attempts = attempts

    def execute(self, order: messages.OperationOrder, now_ms: float) -> Action | None:
        """Return the action for an order; None if the order is no longer valid."""
        pending = self._table.operations.get(order.operation)
        match order:
            case messages.Grant():
                return self._use_grant(order, pending, now_ms)
            case messages.FinalAnswer(_, operation, rejected, retry_after_ms):
                if pending is None or pending.decider is not Decider.PLANNER:
                    return None
                del self._table.operations[operation]
                return Reject(operation, retry_after_ms) if rejected else Fail(operation)
            case messages.CancelAttempt(_, operation, number):
                attempt = self._table.attempts_in_flight.get(operation)
                if attempt is None or attempt.decider is not Decider.PLANNER:
                    return None
                return Cancel(operation, number - attempt.number_offset)

    def _use_grant(
        self, grant: messages.Grant, pending: PendingOperation | None, now_ms: float
    ) -> Send | None:
        """Return the send action for a valid grant; report an invalid grant to the planner."""
        rejected = self._check(grant, pending, now_ms)
        if rejected is None and pending is not None:
            self._attempts.record_start(pending, now_ms)
            return Send(grant.operation, grant.node, grant.timeout_ms)
        # The planner counts this attempt as in flight, so report that it never ran.
        abandoned = messages.AttemptEnded(
            sequence=0,
            at_ms=now_ms,
            operation=grant.operation,
            attempt=grant.attempt,
            outcome=Outcome.ABANDONED.value,
            settled=False,
            latency_ms=0.0,
        )
        self._session.report(abandoned, now_ms)
        entry = self._table.ledger.entries.get(grant.operation)
        if pending is not None and entry is not None:
            pending.number_offset = grant.attempt + 1 - len(entry.attempts)
        if rejected is not None and rejected.reason is GrantRejection.DRAINING:
            self._session.report_draining(grant.node, now_ms)
        return None

    def _check(
        self, grant: messages.Grant, pending: PendingOperation | None, now_ms: float
    ) -> RejectedGrant | None:
        """Return why a grant is invalid: by the fence, the operation's decider or the order on its key."""
        grants = self._session.grants
        number_offset = pending.number_offset if pending is not None else 0
        rejected = grants.check(grants.planner, grant, now_ms, number_offset=number_offset)
        if rejected is not None:
            return rejected
        if pending is None or pending.decider is not Decider.PLANNER:
            return grants.reject(GrantRejection.DECIDER, grant)
        if self._attempts.earliest_start_ms(pending, now_ms) > now_ms:
            return grants.reject(GrantRejection.ORDER, grant)
        return None
