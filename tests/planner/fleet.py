"""Edges and a planner in simulated time, with random losses, restarts and delays; checks every grant used."""

import random
from dataclasses import dataclass

import msgspec

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger
from cressrock.dispatch.reasons import Reason
from cressrock.edge.grants import GrantFence
from cressrock.interface import Idempotency, ListKind, NodeList, Outcome
from cressrock.link import messages
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.scheduler.scheduler import Scheduler
from tests.planner.support import CLASSES, NODES, SETTINGS

OUTCOMES = (Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.RESET)


@dataclass
class Edge:
    """One edge: its ledger, its fence, its clock's offset and its session at the planner."""

    ledger: Ledger
    grants: GrantFence
    clock_offset_ms: float
    sequence: int = 0
    session: int | None = None

    def fail_overdue(self, now_ms):
        """Fail operations that the planner has not answered in time."""
        for name in self.ledger.overdue(self.clock_offset_ms + now_ms):
            self.ledger.fail(name, Reason.OVERDUE)


class Fleet:
    """Several edges with one planner at a time."""

    def __init__(self, seed, edges=4):
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.epoch = 0
        self.edges = {}
        for index in range(edges):
            ledger = Ledger(drain_grace_ms=250, answer_slack_ms=10, max_open=1000)
            ledger.update_nodes(NODES, 0, complete=True)
            # Clocks differ by hours; nothing may depend on them.
            self.edges[f"e{index}"] = Edge(ledger, GrantFence(ledger), index * 3.6e6)
        self.accepted = self.used = self.unused = 0
        self.orders_in_transit = []
        self.start_planner()

    def start_planner(self):
        """Replace the planner by a new one without any state."""
        self.epoch += 1
        scheduler = Scheduler(SETTINGS, self.epoch, self.now_ms)
        self.planner = Planner(scheduler, CLASSES, self.epoch, PlannerLimits(max_scheduled=50))
        self.planner.receive_node_list(NodeList(ListKind.COMPLETE, NODES))
        for name in self.edges:
            if self.rng.random() < 0.8:
                self.join(name)

    def join(self, name):
        """Join an edge to the planner and offer the operations that the planner may decide about."""
        edge = self.edges[name]
        session = self.planner.join(name, "l")
        assert edge.grants.enter_epoch("p", self.epoch)
        edge.session = session
        for entry in list(edge.ledger.entries.values()):
            if entry.verdict is None and entry.attempt_in_flight() is None:
                if entry.first_run() is None or entry.request_class.idempotency is Idempotency.ALWAYS:
                    self.report(name, self.request(entry))
                else:
                    edge.ledger.fail(entry.name, Reason.ATTEMPTS)

    def request(self, entry):
        """Return the request message that offers an operation."""
        request_class = CLASSES.index(entry.request_class)
        return messages.Request(
            0, 0, entry.name, "v", entry.name, 1.0, entry.deadline_ms, 0, request_class, 0, 1
        )

    def report(self, name, event):
        """Send an event to the planner; some are lost."""
        edge = self.edges[name]
        at_ms = edge.clock_offset_ms + self.now_ms
        sent = msgspec.structs.replace(event, sequence=edge.sequence, at_ms=at_ms)
        edge.sequence += 1
        if edge.session is not None and self.rng.random() < 0.98:
            self.planner.receive_event(name, edge.session, sent)

    def step(self):
        """Advance time, trigger a random event at one edge, and deliver the planner's orders."""
        self.now_ms += self.rng.choice((1.0, 5.0, 20.0, 100.0))
        name = self.rng.choice(sorted(self.edges))
        edge, kind = self.edges[name], self.rng.random()
        if kind < 0.4:
            self.accept(name)
        elif kind < 0.7:
            self.end_attempt(name)
        elif kind < 0.73:
            self.start_planner()
        elif kind < 0.76:
            edge.grants.leave_epoch()
            edge.session = None
            self.planner.leave(name)
        elif kind < 0.8 and edge.session is None:
            self.join(name)
        for edge_name, orders in self.planner.step(self.now_ms).orders.items():
            self.orders_in_transit += [
                (self.now_ms + self.rng.choice((0, 0, 1, 50, 900)), edge_name, order) for order in orders
            ]
        arrived = [order for order in self.orders_in_transit if order[0] <= self.now_ms]
        self.orders_in_transit = [order for order in self.orders_in_transit if order[0] > self.now_ms]
        for _, edge_name, order in arrived:
            self.execute(edge_name, order)
        self.fail_overdue()

    def fail_overdue(self):
        """Fail overdue operations at all edges."""
        for edge in self.edges.values():
            edge.fail_overdue(self.now_ms)

    def accept(self, name):
        """Accept a request at an edge and offer it to the planner."""
        edge = self.edges[name]
        self.accepted += 1
        request_class = self.rng.choice(CLASSES)
        now_ms = edge.clock_offset_ms + self.now_ms
        entry = edge.ledger.accept(f"r{self.accepted}", "x", request_class, now_ms + 3000, now_ms)
        self.report(name, self.request(entry))

    def end_attempt(self, name):
        """End a random attempt that is in flight at an edge."""
        ledger = self.edges[name].ledger
        in_flight = [
            (entry, entry.attempt_in_flight())
            for entry in ledger.entries.values()
            if entry.attempt_in_flight() is not None
        ]
        if in_flight:
            entry, attempt = self.rng.choice(in_flight)
            outcome = self.rng.choice(OUTCOMES)
            settled = ledger.record_outcome(entry.name, attempt.number, outcome)
            ended = messages.AttemptEnded(
                0, 0, entry.name, attempt.number, outcome.value, settled.is_answered, 5.0
            )
            self.report(name, ended)

    def execute(self, name, order):
        """Execute an order at an edge if its fence and its ledger allow it."""
        edge = self.edges[name]
        now_ms = edge.clock_offset_ms + self.now_ms
        if isinstance(order, messages.Grant):
            result = edge.grants.use("p", order, now_ms)
            if isinstance(result, Attempt):
                self.used += 1
                assert order.epoch == edge.grants.epoch and now_ms <= order.valid_until_ms
            else:
                self.unused += 1
                assert not isinstance(result, FenceTrip) or result.fence.startswith(("rule1", "rule2"))
        elif isinstance(order, messages.FinalAnswer) and order.epoch == edge.grants.epoch:
            entry = edge.ledger.entries.get(order.operation)
            if entry is not None and entry.verdict is None:
                if order.rejected and edge.ledger.may_reject(entry):
                    edge.ledger.reject(order.operation, Reason.SCHEDULER)
                else:
                    edge.ledger.fail(order.operation, Reason.ATTEMPTS)
