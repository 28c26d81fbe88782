"""Connects the edge with its local scheduler, which decides while there is no planner.  No I/O."""

from __future__ import annotations

from dataclasses import replace

from cressrock.dispatch.driver import DecisionModule
from cressrock.dispatch.ledger import Entry
from cressrock.edge.attempts import AttemptTracker
from cressrock.edge.operations import Decider, OperationTable, PendingOperation
from cressrock.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Event,
    Fail,
    Outcome,
    Reject,
    Send,
    SetTimer,
    TimerFired,
)

EDGE_TIMER = 1  # token of the edge's only timer; the local scheduler's tokens are shifted above it


class LocalOrders:
    """Passes events to the local scheduler and translates its orders into actions for the driver.

    Without a local scheduler nothing is decided here, and operations wait for a planner.
    """

    def __init__(
        self, scheduler: DecisionModule | None, table: OperationTable, attempts: AttemptTracker
    ) -> None:
        """Validate orders against the operations and attempts in `table`."""
        self._scheduler = scheduler
        self._table = table
        self._attempts = attempts
        self._events: list[Event] = []

    def add_event(self, event: Event) -> None:
        """Queue an event for the next call of `execute`."""
        self._events.append(event)

    def add_timer(self, token: int) -> None:
        """Queue a fired timer for the scheduler if the scheduler set it."""
        if token > EDGE_TIMER:
            self._events.append(TimerFired(token - EDGE_TIMER - 1))

    def take_over(self, pending: PendingOperation, entry: Entry, now_ms: float) -> None:
        """Make the scheduler the decider of an operation, with the time that actually remains."""
        self._table.assign(pending, Decider.LOCAL)
        arrival = pending.arrival
        waited_ms = arrival.waited_ms
        self._events.append(
            replace(
                arrival,
                remaining_ms=max(0.0, pending.deadline_ms - now_ms),
                waited_ms=waited_ms if waited_ms < 0 else waited_ms + (now_ms - pending.accepted_at_ms),
                earlier_attempts=len(entry.attempts),
                counted_in_budget=pending.counted_in_budget,
            )
        )

    def execute(self, now_ms: float, actions: list[Action]) -> None:
        """Pass the queued events to the scheduler and append its valid orders to `actions`."""
        events, self._events = self._events, []
        if self._scheduler is not None and events:
            for order in self._scheduler.act(now_ms, events):
                if (action := self._action_for(order, now_ms)) is not None:
                    actions.append(action)

    def _action_for(self, order: Action, now_ms: float) -> Action | None:
        match order:
            case Send(request):
                return self._send(request, order, now_ms)
            case Reject(request) | Fail(request):
                pending = self._table.operations.get(request)
                if pending is None or pending.decider is not Decider.LOCAL:
                    return None
                del self._table.operations[request]
                return order
            case Cancel(request, number):
                attempt = self._table.attempts_in_flight.get(request)
                if attempt is None or attempt.decider is not Decider.LOCAL:
                    return None
                return Cancel(request, number - attempt.number_offset)
            case SetTimer(at_ms, token):
                return SetTimer(at_ms, token + EDGE_TIMER + 1)
        return order

    def _send(self, request: str, order: Send, now_ms: float) -> Send | None:
        entry = self._table.ledger.entries.get(request)
        if entry is None:
            return None
        pending = self._table.operations.get(request)
        if (
            pending is not None
            and pending.decider is Decider.LOCAL
            and self._attempts.earliest_start_ms(pending, now_ms) <= now_ms
        ):
            self._attempts.record_start(pending, now_ms)
            return order
        # The scheduler counts this attempt as in flight, so report that it never ran.
        number = len(entry.attempts) + (pending.number_offset if pending is not None else 0)
        abandoned = AttemptEnded(request, number, Outcome.ABANDONED, False, 0.0, charged=False)
        self._events.append(abandoned)
        if pending is not None:
            pending.number_offset += 1
        return None
