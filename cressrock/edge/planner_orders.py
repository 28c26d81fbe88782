"""Carries out a planner's orders at an edge, as far as the edge's own knowledge lets them pass.  Pure."""

from __future__ import annotations

from cressrock.edge.attempts import AttemptTracker
from cressrock.edge.grants import GrantRejection, RejectedGrant
from cressrock.edge.operations import Decider, OperationTable, PendingOperation
from cressrock.edge.planner_session import PlannerSession
from cressrock.interface import Action, Cancel, Fail, Outcome, Reject, Send
from cressrock.link import messages


class PlannerOrders:
    """Turns orders of the present session into actions of the driver."""

    def __init__(self, table: OperationTable, session: PlannerSession, attempts: AttemptTracker) -> None:
        """Check orders against what `table` holds and report to `session` what was not carried out."""
        self._table = table
        self._session = session
        self._attempts = attempts

    def execute(self, order: messages.OperationOrder, now: float) -> Action | None:
        """Return the action that an order stands for; None where it is no longer valid."""
        pending = self._table.operations.get(order.operation)
        match order:
            case messages.Grant():
                return self._use_grant(order, pending, now)
            case messages.FinalAnswer(_, operation, rejected, retry_after_ms):
                if pending is None or pending.decider is not Decider.PLANNER:
                    return None
                del self._table.operations[operation]
                return Reject(operation, retry_after_ms) if rejected else Fail(operation)
            case messages.CancelAttempt(_, operation, number):
                attempt = self._table.ordered.get(operation)
                if attempt is None or attempt.decider is not Decider.PLANNER:
                    return None
                return Cancel(operation, number - attempt.number_offset)

    def _use_grant(self, grant: messages.Grant, pending: PendingOperation | None, now: float) -> Send | None:
        """Return the sending that a valid grant permits; report one that is not valid to the planner."""
        rejected = self._check(grant, pending, now)
        if rejected is None and pending is not None:
            self._attempts.start(pending, now)
            return Send(grant.operation, grant.node, grant.timeout_ms)
        # The planner counts this attempt as in flight: it must hear that it never ran.
        abandoned = messages.AttemptEnded(
            sequence=0,
            at_ms=now,
            operation=grant.operation,
            attempt=grant.attempt,
            outcome=Outcome.ABANDONED.value,
            settled=False,
            latency_ms=0.0,
        )
        self._session.report(abandoned, now)
        entry = self._table.ledger.entries.get(grant.operation)
        if pending is not None and entry is not None:
            pending.number_offset = grant.attempt + 1 - len(entry.attempts)
        if rejected is not None and rejected.reason is GrantRejection.DRAINING:
            self._session.report_draining(grant.node, now)
        return None

    def _check(
        self, grant: messages.Grant, pending: PendingOperation | None, now: float
    ) -> RejectedGrant | None:
        """Return why a grant is not valid here, by all that this edge itself knows."""
        grants = self._session.grants
        number_offset = pending.number_offset if pending is not None else 0
        rejected = grants.check(grants.planner, grant, now, number_offset=number_offset)
        if rejected is not None:
            return rejected
        if pending is None or pending.decider is not Decider.PLANNER:
            return grants.reject(GrantRejection.DECIDER, grant)
        if self._attempts.free_at_ms(pending, now) > now:
            return grants.reject(GrantRejection.ORDER, grant)
        return None
