"""Enters attempts as they start and end: in the key order, the quota and the attempt history.  Pure."""

from __future__ import annotations

from cressrock.dispatch.quota import EdgeQuota
from cressrock.edge.operations import Decider, OperationTable, OrderedAttempt, PendingOperation
from cressrock.edge.ordering import KeyOrdering
from cressrock.edge.planner_session import PlannerSession
from cressrock.interface import AttemptEnded


class AttemptTracker:
    """Enters each attempt that a decider orders, and its outcome, wherever it counts."""

    def __init__(
        self,
        table: OperationTable,
        session: PlannerSession,
        ordering: KeyOrdering | None,
        quota: EdgeQuota | None,
    ) -> None:
        """Without `ordering` no key is ordered here; without `quota` no limit is kept here."""
        self._table = table
        self._session = session
        self._ordering = ordering
        self._quota = quota

    def free_at_ms(self, pending: PendingOperation, now: float) -> float:
        """Return from when on an attempt may start; infinity while that is not known."""
        return now if self._ordering is None else self._ordering.free_at_ms(pending.arrival, now)

    def start(self, pending: PendingOperation, now: float) -> None:
        """Enter that an attempt leaves, which the operation's decider ordered."""
        arrival = pending.arrival
        self._table.ordered[arrival.request] = OrderedAttempt(
            pending.decider, pending.number_offset, arrival.volume, arrival.plan, arrival.units
        )
        entry = self._table.ledger.entries.get(arrival.request)
        if entry is not None and entry.attempts:
            self._enter_retry(pending.decider, now)
        if self._quota is not None and self._quota.is_limited(arrival.plan):
            self._quota.record_sent(arrival.volume, arrival.plan, arrival.units, now)
        if self._ordering is not None:
            self._ordering.attempt_started(arrival)

    def _enter_retry(self, decider: Decider, now: float) -> None:
        session = self._session
        session.history.add_retry(session.decider if decider is Decider.PLANNER else decider, now)
        if decider is Decider.LOCAL and session.is_open:
            session.report_history(now)

    def finish(self, event: AttemptEnded, now: float) -> OrderedAttempt | None:
        """Enter an attempt's outcome and return who ordered it; None where nobody did."""
        if self._ordering is not None:
            self._ordering.attempt_ended(event.request, event.outcome, now)
        attempt = self._table.ordered.pop(event.request, None)
        if attempt is not None and self._quota is not None and self._quota.is_limited(attempt.plan):
            self._quota.record_outcome(attempt.volume, attempt.plan, attempt.units, now)
        return attempt
