"""Test harness for an edge: its ledger, a recording local scheduler and a minimal driver."""

import random

from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.quota import EdgeQuota
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import DisconnectedPolicy
from cressrock.edge.ordering import KeyOrdering
from cressrock.interface import (
    Arrival,
    AttemptEnded,
    Fail,
    Idempotency,
    Node,
    Plan,
    Reject,
    RequestClass,
    Send,
    SetTimer,
)
from cressrock.link import messages

READ = RequestClass(latency_objective_ms=300, deadline_ms=4000, idempotency=Idempotency.ALWAYS)
STATE = RequestClass(
    latency_objective_ms=500,
    deadline_ms=4000,
    idempotency=Idempotency.KEYED,
    deduplication_window_ms=4000,
    ordered=True,
)
CLASSES = (READ, STATE)
PLANS = (Plan(), Plan(limit_rate=24.0, limit_burst=48.0, limit_slack=8.0))


class RecordingScheduler:
    """Records all events; sends each arrival immediately while `sends` is true."""

    def __init__(self):
        self.events = []
        self.sends = True

    def act(self, now_ms, events):
        self.events += events
        return [Send(event.request, "n") for event in events if isinstance(event, Arrival) and self.sends]

    def of_kind(self, kind):
        """Return the recorded events of one type."""
        return [event for event in self.events if isinstance(event, kind)]


class EdgeHarness:
    """An edge with one node `n`.  Tests act as its planners through `core`."""

    def __init__(self, *, own=True):
        self.ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=100)
        self.ledger.update_nodes([Node("n", 0)], 0, complete=True)
        self.scheduler = RecordingScheduler()
        self.core = EdgeDecisions(
            self.ledger,
            DisconnectedPolicy(),
            random.Random(1),
            ordering=KeyOrdering(CLASSES, 300.0),
            local=self.scheduler if own else None,
            quota=EdgeQuota(PLANS, lambda volume: 1, 1000.0, 0.0),
            uncounted_after_ms=1.0,
            budget_window_ms=5000.0,
        )
        self.grants = 0

    def turn(self, now, *events):
        """Run one batch, apply its actions to the ledger as the driver does, and return all but timers."""
        actions = self.core.act(now, list(events))
        for action in actions:
            match action:
                case Send(request, node):
                    self.ledger.send(request, node, now)
                case Reject(request):
                    self.ledger.reject(request, None)
                case Fail(request):
                    self.ledger.fail(request, None)
        return [action for action in actions if not isinstance(action, SetTimer)]

    def arrive(self, now, name, cls=0, plan=0, key=""):
        """Accept a request of one unit for volume `v` with a deadline in 4 s."""
        self.ledger.accept(name, "x", CLASSES[cls % len(CLASSES)], now + 4000, now)
        return self.turn(now, Arrival(name, "v", key, 1.0, 4000.0, plan, cls))

    def end(self, now, name, outcome, number=0):
        """Record an attempt's outcome and run the batch."""
        settled = self.ledger.record_outcome(name, number, outcome)
        return self.turn(now, AttemptEnded(name, number, outcome, settled.is_answered, 1.0))

    def up(self, kind=messages.Request):
        """Clear the outbox and return its events of one type."""
        events = [event for event in self.core.outbox if isinstance(event, kind)]
        self.core.outbox.clear()
        return events

    def grant(self, now, name, attempt, epoch=7):
        """Deliver a new grant from planner `p` for node `n` and run the batch."""
        self.grants += 1
        self.core.receive_order("p", messages.Grant(self.grants, epoch, name, attempt, "n", now + 100))
        return self.turn(now)
