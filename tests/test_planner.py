"""The planner's state: sessions fenced, intake bounded, grants by the edge's clock, nothing left behind."""

import random

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger
from cressrock.dispatch.reasons import Reason
from cressrock.edge.grants import Grants
from cressrock.interface import Idempotency, ListKind, Node, NodeList, Outcome, RequestClass, Settings
from cressrock.link import messages as m
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.scheduler.scheduler import Scheduler

CLASSES = (
    RequestClass(latency_objective_ms=300, deadline_ms=3000, idempotency=Idempotency.ALWAYS),
    RequestClass(
        latency_objective_ms=500,
        deadline_ms=4000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=4000,
    ),
)
SETTINGS = Settings(classes=CLASSES, max_attempts=3, may_cancel=True, answer_slack_ms=10, drain_grace_ms=250)
NODES = (Node("n0", 0), Node("n1", 1))


def planner(epoch=1, **bounds):
    found = Planner(Scheduler(SETTINGS, epoch, 0.0), CLASSES, epoch, PlannerLimits(**bounds))
    found.receive_node_list(NodeList(ListKind.COMPLETE, NODES))
    return found


def request(sequence, name, at=0.0, cls=0, shard=0):
    return m.Request(sequence, at, name, "v", "/v/a", 1.0, at + 3000, 0, cls, shard, 1)


def test_a_grant_is_valid_by_the_edges_clock_whatever_the_planners_is():
    plan = planner(grant_ms=400.0)
    session = plan.join("e", "l")
    plan.receive_event("e", session, request(0, "r", at=9e9))
    (grant,) = plan.step(5.0).orders["e"]
    assert (grant.epoch, grant.attempt, grant.node, grant.valid_until_ms) == (1, 0, "n0", 9e9 + 400)


def test_an_older_connection_of_an_edge_is_fenced_and_leaves_nothing_behind():
    plan = planner()
    first = plan.join("e", "l1")
    plan.receive_event("e", first, request(0, "r"))
    assert plan.step(1.0).orders
    second = plan.join("e", "l2")
    assert not plan.receive_event("e", first, request(1, "s")) and not plan.leave("e", first)
    assert plan.receive_event("e", second, request(0, "r"))
    assert plan.step(2.0).orders["e"][0].operation == "r"
    plan.leave("e", second)
    plan.step(3.0)
    scheduler = plan.decisions
    assert not plan.inside and not scheduler.requests
    assert not any(endpoint.in_flight for endpoint in scheduler.endpoints.by_name.values())


def test_what_is_taken_in_is_bounded_and_fair_between_edges():
    plan = planner(max_inside=10)
    sessions = {name: plan.join(name, "l") for name in ("a", "b")}
    for index in range(100):
        plan.receive_event("a", sessions["a"], request(index, f"r{index}"))
    for index in range(5):
        plan.receive_event("b", sessions["b"], request(index, f"r{index}"))
    plan.step(1.0)
    assert len(plan.inside) == 10
    assert sum(held.edge.name == "b" for held in plan.inside.values()) == 5


def test_no_more_edges_than_the_bound_and_events_out_of_order_are_dropped():
    plan = planner(max_edges=1)
    session = plan.join("a", "l")
    assert plan.join("b", "l") is None and plan.join("a", "l2") == session + 1
    assert plan.receive_event("a", session + 1, request(5, "r"))
    assert not plan.receive_event("a", session + 1, request(5, "s"))
    plan.receive_event("a", session + 1, m.AttemptEnded(6, 0.0, "none", 0, "ok", True, 1.0))
    assert plan.dropped == {"out of order": 1, "unknown attempt": 1}


class Fleet:
    """Edges and one planner, with losses, deaths and stalls drawn by a seed; every promise is watched."""

    def __init__(self, seed, edges=4):
        self.draw = random.Random(seed)
        self.now = 0.0
        self.epoch = 0
        self.edges = {}
        for index in range(edges):
            ledger = Ledger(drain_grace_ms=250, answer_slack_ms=10, max_open=1000)
            ledger.update_nodes(NODES, 0, complete=True)
            # Clocks differ by hours: nothing may hang on them.
            self.edges[f"e{index}"] = [ledger, Grants(ledger), index * 3.6e6, 0, None]
        self.count = self.used = self.unused = 0
        self.flying = []
        self.start()

    def start(self):
        """The planner dies and another life begins, knowing nothing."""
        self.epoch += 1
        self.plan = Planner(
            Scheduler(SETTINGS, self.epoch, self.now), CLASSES, self.epoch, PlannerLimits(max_inside=50)
        )
        self.plan.receive_node_list(NodeList(ListKind.COMPLETE, NODES))
        for name in self.edges:
            if self.draw.random() < 0.8:
                self.join(name)

    def join(self, name):
        ledger, grants, clock, _, _ = self.edges[name]
        session = self.plan.join(name, "l")
        assert grants.joined("p", self.epoch)
        self.edges[name][4] = session
        for entry in list(ledger.entries.values()):
            if entry.verdict is None and entry.out() is None:
                if entry.first_run() is None or entry.cls.idempotency is Idempotency.ALWAYS:
                    self.tell(name, self.request(entry))
                else:
                    ledger.fail(entry.name, Reason.ATTEMPTS)

    def request(self, entry):
        return m.Request(
            0, 0, entry.name, "v", entry.name, 1.0, entry.deadline, 0, CLASSES.index(entry.cls), 0, 1
        )

    def tell(self, name, event):
        ledger, _, clock, sequence, session = self.edges[name]
        self.edges[name][3] += 1
        import msgspec

        told = msgspec.structs.replace(event, sequence=sequence, at_ms=clock + self.now)
        if session is not None and self.draw.random() < 0.98:
            self.plan.receive_event(name, session, told)

    def step(self):
        self.now += self.draw.choice((1.0, 5.0, 20.0, 100.0))
        draw, name = self.draw, self.draw.choice(sorted(self.edges))
        ledger, grants, clock, _, session = self.edges[name]
        kind = draw.random()
        if kind < 0.4:
            self.count += 1
            cls = draw.choice(CLASSES)
            entry = ledger.take(f"r{self.count}", "x", cls, clock + self.now + 3000, clock + self.now)
            self.tell(name, self.request(entry))
        elif kind < 0.7:
            out = [(e, e.out()) for e in ledger.entries.values() if e.out() is not None]
            if out:
                entry, attempt = draw.choice(out)
                outcome = draw.choice((Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.RESET))
                settled = ledger.ended(entry.name, attempt.number, outcome)
                ended = m.AttemptEnded(0, 0, entry.name, attempt.number, outcome.value, settled.over, 5.0)
                self.tell(name, ended)
        elif kind < 0.73:
            self.start()
        elif kind < 0.76:
            grants.away()
            self.edges[name][4] = None
            self.plan.leave(name)
        elif kind < 0.8 and session is None:
            self.join(name)
        for name, orders in self.plan.step(self.now).orders.items():
            self.flying += [(self.now + draw.choice((0, 0, 1, 50, 900)), name, order) for order in orders]
        due = [f for f in self.flying if f[0] <= self.now]
        self.flying = [f for f in self.flying if f[0] > self.now]
        for _, name, order in due:
            self.order(name, order)
        for ledger, _, clock, _, _ in self.edges.values():
            for late in ledger.overdue(clock + self.now):
                ledger.fail(late, Reason.OVERDUE)

    def order(self, name, order):
        ledger, grants, clock, _, _ = self.edges[name]
        now = clock + self.now
        if isinstance(order, m.Grant):
            result = grants.use("p", order, now)
            if isinstance(result, Attempt):
                self.used += 1
                assert order.epoch == grants.epoch and now <= order.valid_until_ms
            else:
                self.unused += 1
                assert not isinstance(result, FenceTrip) or result.fence.startswith(("rule1", "rule2"))
        elif isinstance(order, m.Answer) and order.epoch == grants.epoch:
            entry = ledger.entries.get(order.operation)
            if entry is not None and entry.verdict is None:
                if order.refused and ledger.may_reject(entry):
                    ledger.refuse(order.operation, Reason.SCHEDULER)
                else:
                    ledger.fail(order.operation, Reason.ATTEMPTS)


def test_planners_that_die_and_edges_that_come_and_go_never_send_twice_or_leave_an_answer_out():
    for seed in range(20):
        fleet = Fleet(seed)
        for _ in range(600):
            fleet.step()
        fleet.now += 10000
        for ledger, _, clock, _, _ in fleet.edges.values():
            for late in ledger.overdue(clock + fleet.now):
                ledger.fail(late, Reason.OVERDUE)
            assert all(e.verdict is not None for e in ledger.entries.values())
        total = sum(sum(ledger.answers.values()) for ledger, *_ in fleet.edges.values())
        assert total == fleet.count and fleet.used > 100 and fleet.unused > 0
        assert len(fleet.plan.inside) <= 50


def test_a_send_of_the_module_is_one_grant():
    plan = planner()
    session = plan.join("e", "l")
    for index in range(3):
        plan.receive_event("e", session, request(index, f"r{index}", shard=index % 2))
    grants = plan.step(1.0).orders["e"]
    assert [type(g) for g in grants] == [m.Grant] * 3 and len({g.number for g in grants}) == 3
