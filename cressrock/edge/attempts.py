"""Records starts and ends of attempts in the key ordering, the quota and the attempt history.  No I/O."""

from __future__ import annotations

from cressrock.dispatch.quota import EdgeQuota
from cressrock.edge.operations import Decider, OperationTable, OrderedAttempt, PendingOperation
from cressrock.edge.ordering import KeyOrdering
from cressrock.edge.planner_session import PlannerSession
from cressrock.interface import AttemptEnded


class AttemptTracker:
    """Records the attempts that deciders order, and their outcomes, wherever they are counted."""

    def __init__(
        self,
        table: OperationTable,
        session: PlannerSession,
        ordering: KeyOrdering | None,
        quota: EdgeQuota | None,
    ) -> None:
        """Track attempts of the operations in `table`.

        Without `ordering`, this edge keeps no per-key order; without `quota`, it enforces no limits.
        """
        self._table = table
        self._session = session
        self._ordering = ordering
        self._quota = quota

    def earliest_start_ms(self, pending: PendingOperation, now_ms: float) -> float:
        """Return the earliest time (ms) at which an attempt may start; infinity while that is unknown."""
        return now_ms if self._ordering is None else self._ordering.earliest_start_ms(pending.arrival, now_ms)

    def record_start(self, pending: PendingOperation, now_ms: float) -> None:
        """Record that an attempt ordered by the operation's decider starts."""
        arrival = pending.arrival
        self._table.attempts_in_flight[arrival.request] = OrderedAttempt(
            pending.decider, pending.number_offset, arrival.volume, arrival.plan, arrival.units
        )
        entry = self._table.ledger.entries.get(arrival.request)
        if entry is not None and entry.attempts:
            self._record_retry(pending.decider, now_ms)
        if self._quota is not None and self._quota.is_limited(arrival.plan):
            self._quota.record_sent(arrival.volume, arrival.plan, arrival.units, now_ms)
        if self._ordering is not None:
            self._ordering.attempt_started(arrival)

    def _record_retry(self, decider: Decider, now_ms: float) -> None:
        session = self._session
        session.history.add_retry(session.decider if decider is Decider.PLANNER else decider, now_ms)
        if decider is Decider.LOCAL and session.is_open:
            session.report_history(now_ms)

    def record_outcome(self, event: AttemptEnded, now_ms: float) -> OrderedAttempt | None:
        """Record an attempt's outcome and return the attempt as ordered; None if no decider ordered it."""
        if self._ordering is not None:
            self._ordering.attempt_ended(event.request, event.outcome, now_ms)
        attempt = self._table.attempts_in_flight.pop(event.request, None)
        if attempt is not None and self._quota is not None and self._quota.is_limited(attempt.plan):
            self._quota.record_outcome(attempt.volume, attempt.plan, attempt.units, now_ms)
        return attempt
