"""Seeded streams through the pair's decision modules: edge, planner, grants, requests without a planner."""

from __future__ import annotations

import random
from dataclasses import replace

from cressrock import interface as i
from cressrock.dispatch.ledger import FenceTrip, Ledger
from cressrock.dispatch.quota import EdgeQuota
from cressrock.dispatch.reasons import Reason
from cressrock.edge.attempt_history import Record
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import (
    DisconnectedPolicy,
    ReconnectBackoff,
    fate,
    next_look,
    offers,
    retry_after,
)
from cressrock.edge.grants import Grants, Unused
from cressrock.edge.ordering import KeyOrdering
from cressrock.link import messages as m
from cressrock.planner.epochs import next_epoch
from cressrock.planner.planner import Planner, PlannerLimits
from tests.compatibility.canonical import Digest

SEEDS = range(48)
LABELS: dict[type, str] = {
    i.NodeList: "node list",
    i.Arrival: "arrival",
    i.AttemptEnded: "ended",
    i.ClientLeft: "client left",
    i.LimitLease: "lent",
    i.RetryBudgetUsage: "counted",
    i.TimerFired: "wake",
    i.Send: "send",
    i.Reject: "reject",
    i.Fail: "fail",
    i.Cancel: "cancel",
    i.SetTimer: "set timer",
    i.Subscribe: "subscribe",
}
CLASSES = (
    i.RequestClass(latency_objective_ms=300, deadline_ms=4000, idempotency=i.Idempotency.ALWAYS),
    i.RequestClass(
        latency_objective_ms=500,
        deadline_ms=4000,
        idempotency=i.Idempotency.KEYED,
        deduplication_window_ms=4000,
        ordered=True,
    ),
    i.RequestClass(
        latency_objective_ms=500,
        deadline_ms=4000,
        idempotency=i.Idempotency.KEYED,
        deduplication_window_ms=4000,
    ),
    i.RequestClass(latency_objective_ms=500, deadline_ms=4000),
)
PLANS = (i.Plan(), i.Plan(limit_rate=24.0, limit_burst=48.0, limit_slack=8.0))
NODES = ("n0", "n1", "n2")


class DrawnDecisions:
    """A decision module that orders at random for the requests it was given, and records what it heard."""

    def __init__(self, draw: random.Random, heard: Digest) -> None:
        """Start with no request; every event goes into `heard`."""
        self.draw = draw
        self.heard = heard
        self.open: dict[str, list[int | bool]] = {}  # [next attempt's number, an attempt is out]

    def act(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Take in events; answer with drawn orders, a few of them about requests that are unknown."""
        for event in events:
            self.heard.add([now_ms, event])
            match event:
                case i.Arrival():
                    self.open[event.request] = [event.earlier_attempts, False]
                case i.AttemptEnded():
                    if event.settled:
                        self.open.pop(event.request, None)
                    elif event.request in self.open:
                        self.open[event.request] = [event.attempt + 1, False]
                case i.ClientLeft(request):
                    self.open.pop(request, None)
        actions: list[i.Action] = []
        for name, (number, is_out) in list(self.open.items()):
            kind = self.draw.random()
            if is_out:
                if kind < 0.1:
                    actions.append(i.Cancel(name, int(number)))
            elif kind < 0.6:
                self.open[name][1] = True
                actions.append(i.Send(name, self.draw.choice(NODES), self.draw.choice((0.0, 250.0))))
            elif kind < 0.65:
                del self.open[name]
                actions.append(i.Reject(name, self.draw.choice((0.0, 700.0))))
            elif kind < 0.7:
                del self.open[name]
                actions.append(i.Fail(name))
        if self.draw.random() < 0.1:
            actions.append(i.Cancel("nobody's", 0))
        if self.draw.random() < 0.2:
            actions.append(i.SetTimer(now_ms + self.draw.choice((1.0, 50.0)), self.draw.randrange(3)))
        if self.draw.random() < 0.02:
            actions.append(i.Subscribe())
        return actions


def _nodes(draw: random.Random) -> tuple[i.Node, ...]:
    states = [i.NodeState.READY] * 6 + [i.NodeState.DRAINING]
    return tuple(i.Node(name, index, state=draw.choice(states)) for index, name in enumerate(NODES))


class EdgeStream:
    """An edge whose events, planners and orders are drawn; every action and event up is digested."""

    def __init__(self, seed: int) -> None:
        """Compose an edge; the seed also draws which of its optional parts it has."""
        self.draw = draw = random.Random(f"edge/{seed}")
        self.digest = Digest(LABELS)
        self.now = 0.0
        self.ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=400)
        self.ledger.update_nodes(
            (i.Node(name, index) for index, name in enumerate(NODES)), 0.0, complete=True
        )
        self.edge = EdgeDecisions(
            self.ledger,
            DisconnectedPolicy(),
            random.Random(f"edge/{seed}/jitter"),
            ordering=KeyOrdering(CLASSES, 300.0) if seed % 4 else None,
            local=DrawnDecisions(random.Random(f"edge/{seed}/own"), self.digest) if seed % 3 else None,
            quota=EdgeQuota(PLANS, lambda volume: 2, 1000.0, 0.0) if seed % 2 else None,
            max_outbox=draw.choice((20, 100000)),
            tick_ms=100.0,
            uncounted_after_ms=1.0,
            budget_window_ms=5000.0,
        )
        if seed % 5 == 0:
            self.edge.knows_versions, self.edge.plans_per_version = True, 2
            self.edge.version_of = lambda a: ("trial" if a.units > 2 else "", a.request_class, a.plan)
        self.planner: tuple[str, int] | None = None
        self.epochs = {"p:1": 5, "q:1": 9}
        self.count = self.grants = 0
        self.offered: dict[str, int] = {}  # operation -> attempts so far, as its planner counts

    def run(self, steps: int) -> str:
        """Drive the edge and return the digest."""
        for _ in range(steps):
            self.now += self.draw.choice((0.0, 1.0, 5.0, 30.0, 120.0))
            self._change_planner()
            self._order()
            self._act(self._events())
            self._send_up()
            self.digest.add([self.edge.next_tick(), self.edge.decides(""), self.edge.decides("trial")])
        return self.digest.hex()

    def _change_planner(self) -> None:
        kind = self.draw.random()
        if kind < 0.03:
            self.edge.planner_lost(self.now)
            self.planner = None
            self.offered.clear()
        elif kind < 0.06 and self.planner is None:
            name = self.draw.choice(("p:1", "q:1"))
            epoch = self.epochs[name] = self.epochs[name] + self.draw.choice((0, 1, 1, -1))
            versioned = self.draw.random() < 0.5
            joined = self.edge.planner_joined(name, epoch, self.now, versioned=versioned)
            self.digest.add(["joined", joined])
            if joined:
                self.planner = (name, epoch)

    def _order(self) -> None:
        if self.planner is None:
            return
        draw, (name, epoch) = self.draw, self.planner
        if draw.random() < 0.03:
            name, epoch = draw.choice(((name, epoch - 1), ("r:1", epoch)))
        for operation, attempts in list(self.offered.items()):
            kind = draw.random()
            if kind < 0.3:
                self.grants += 1
                number = self.grants - (draw.random() < 0.03)
                attempt = attempts + (draw.random() < 0.03)
                node = draw.choice((*NODES, "never listed") if draw.random() < 0.1 else NODES)
                until = self.now + draw.choice((400.0, 400.0, 400.0, -1.0))
                self.edge.receive_order(name, m.Grant(number, epoch, operation, attempt, node, until, 250.0))
                self.offered[operation] = attempts + 1
            elif kind < 0.33:
                self.edge.receive_order(name, m.Answer(epoch, operation, draw.random() < 0.5, 900.0))
                del self.offered[operation]
            elif kind < 0.36:
                self.edge.receive_order(name, m.CallOff(epoch, operation, max(0, attempts - 1)))
        if draw.random() < 0.1:
            self.edge.receive_order(name, m.ClockStamp(draw.randrange(1, 1000)))
        if draw.random() < 0.05:
            self.edge.receive_order(name, m.RuleVersions(draw.choice((["trial"], []))))

    def _events(self) -> list[i.Event]:
        draw = self.draw
        events: list[i.Event] = []
        for _ in range(draw.choice((0, 0, 1, 2))):
            name, index = f"r{self.count}", draw.randrange(len(CLASSES))
            self.count += 1
            remaining = draw.choice((4000.0, 900.0))
            if self.ledger.accept(name, "x", CLASSES[index], self.now + remaining, self.now) is None:
                continue
            plan = draw.randrange(len(PLANS))
            key = draw.choice(("", "k1", "k2"))
            waited = draw.choice((-1.0, 0.0, 40.0))
            events.append(
                i.Arrival(
                    name, f"v{plan}", key, draw.choice((1.0, 3.0)), remaining, plan, index, 0, 1, waited
                )
            )
        for entry in list(self.ledger.entries.values()):
            out = entry.attempt_in_flight()
            if out is not None and draw.random() < 0.25:
                outcome = draw.choice(list(i.Outcome))
                settled = self.ledger.record_outcome(entry.name, out.number, outcome)
                events.append(
                    i.AttemptEnded(entry.name, out.number, outcome, settled.is_answered, 2.0, 3, 0.5)
                )
            elif entry.verdict is None and draw.random() < 0.01 and self.ledger.client_left(entry.name):
                events.append(i.ClientLeft(entry.name))
        if draw.random() < 0.05:
            nodes = _nodes(draw)
            self.ledger.update_nodes(nodes, self.now, complete=True)
            events.append(i.NodeList(i.ListKind.COMPLETE, nodes))
        if draw.random() < 0.1:
            events.append(i.TimerFired(draw.randrange(4)))
        return events

    def _act(self, events: list[i.Event]) -> None:
        for action in self.edge.act(self.now, events):
            self.digest.add([self.now, action])
            match action:
                case i.Send(request, node):
                    attempt = self.ledger.send(request, node, self.now)
                    if isinstance(attempt, FenceTrip):
                        self.digest.add(["fenced", attempt.fence])
                        moot = i.AttemptEnded(request, attempt.number, i.Outcome.ABANDONED, False, 0.0)
                        for answer in self.edge.act(self.now, [moot]):
                            self.digest.add([self.now, answer])
                case i.Reject(request):
                    self.ledger.reject(request, Reason.SCHEDULER)
                case i.Fail(request):
                    self.ledger.fail(request, Reason.ATTEMPTS)

    def _send_up(self) -> None:
        if self.planner is None:
            return
        self.edge.tick(self.now)
        for _ in range(self.draw.choice((0, 1, 100))):
            if not self.edge.outbox:
                break
            event = self.edge.next_up(self.now)
            self.digest.add(m.encode(event))
            match event:
                case m.Request():
                    self.offered[event.operation] = event.attempts
                case m.Left():
                    self.offered.pop(event.operation, None)
                case m.AttemptEnded() if event.settled:
                    self.offered.pop(event.operation, None)


def edge_digest(seed: int) -> str:
    """Return the digest of one edge's stream."""
    return EdgeStream(seed).run(300)


def planner_digest(seed: int) -> str:
    """Drive a planner with events of several edges; return the digest of its orders and of what it told."""
    draw = random.Random(f"planner/{seed}")
    digest = Digest(LABELS)
    module = DrawnDecisions(random.Random(f"planner/{seed}/module"), digest)
    bounds = PlannerLimits(max_inside=draw.choice((10, 200)), max_edges=3, lease_ms=draw.choice((0.0, 400.0)))
    planner = Planner(module, CLASSES, 77 + seed, bounds, PLANS)
    if seed % 4 == 0:
        planner.set_rule_versions(CLASSES * 2, PLANS * 2, {"": (0, 0), "trial": (len(CLASSES), len(PLANS))})
    sessions: dict[str, int] = {}
    sequences = dict.fromkeys(("a", "b", "c", "d"), 0)
    known: dict[str, dict[str, int]] = {name: {} for name in sequences}
    now, count = 0.0, 0
    for _ in range(300):
        now += draw.choice((0.0, 1.0, 10.0, 60.0))
        name = draw.choice(sorted(sequences))
        kind = draw.random()
        clock = now + 3.6e6 * "abcd".index(name) - draw.choice((0.0, 0.0, 30.0))
        if name not in sessions or kind < 0.02:
            session = planner.join(name, f"l{count}", now)
            digest.add(["join", session])
            if session is not None:
                sessions[name], known[name], sequences[name] = session, {}, 0
        elif kind < 0.04:
            digest.add(["leave", planner.leave(name, sessions[name] - (draw.random() < 0.3))])
        elif kind < 0.07:
            planner.receive_node_list(i.NodeList(draw.choice(list(i.ListKind)), _nodes(draw)))
        else:
            for _ in range(draw.choice((1, 1, 4))):
                sequences[name] += draw.choice((1, 1, 1, 1, 1, 0))
                event = _event_up(draw, sequences[name], clock, count, known[name])
                count += 1
                session = sessions[name] - (draw.random() < 0.01)
                digest.add(["event", planner.receive_event(name, session, event, now)])
        if draw.random() < 0.7:
            outcome = planner.step(now)
            for edge, orders in outcome.orders.items():
                for order in orders:
                    digest.add([edge, m.encode(order)])
                    match order:
                        case m.Grant():
                            known[edge][order.operation] = order.attempt
                        case m.Answer():
                            known[edge].pop(order.operation, None)
            digest.add([outcome.wake_at_ms, outcome.subscribe])
    digest.add(sorted(planner.dropped.values()))
    return digest.hex()


def _event_up(draw: random.Random, sequence: int, clock: float, count: int, known: dict[str, int]) -> m.Event:
    operation = draw.choice(sorted(known)) if known and draw.random() < 0.9 else f"r{count}"
    kind = draw.random()
    if kind < 0.4:
        plan = draw.randrange(len(PLANS))
        return m.Request(
            sequence,
            clock,
            f"r{count - (draw.random() < 0.02)}",
            f"v{plan}",
            draw.choice(("", "k")),
            1.0,
            clock + draw.choice((3000.0, -1.0)),
            plan,
            draw.randrange(len(CLASSES) + (draw.random() < 0.05)),
            0,
            1,
            draw.choice((-1.0, 20.0)),
            draw.choice((0, 0, 2)),
            draw.random() < 0.2,
            draw.choice((0.0, 2.0)),
            draw.randrange(3),
            draw.choice(("", "", "trial", "unknown")),
        )
    if kind < 0.75:
        outcome = draw.choice([*(o.value for o in i.Outcome), "not known yet"])
        attempt = known.get(operation, 0) + (draw.random() < 0.05)
        return m.AttemptEnded(sequence, clock, operation, attempt, outcome, draw.random() < 0.4, 3.0, 2, 0.5)
    if kind < 0.82:
        return m.Left(sequence, clock, operation)
    if kind < 0.86:
        return m.Barred(sequence, clock, draw.choice((*NODES, "never listed")))
    if kind < 0.92:
        return m.LimitLease(sequence, clock, "v1", draw.choice((1, 1, 7)), 3.0, draw.randrange(12))
    if kind < 0.95:
        return m.Counted(sequence, clock, [100, 40], [300])
    return m.Tick(sequence, clock)


def grants_digest(seed: int) -> str:
    """Drive the grants' fence; return the digest of what it lets pass and why it does not."""
    draw = random.Random(f"grants/{seed}")
    digest = Digest(LABELS)
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=400)
    ledger.update_nodes((i.Node(name, index) for index, name in enumerate(NODES)), 0.0, complete=True)
    grants = Grants(ledger, max_used=draw.choice((8, 65536)))
    now, number = 0.0, 0
    for step in range(400):
        now += draw.choice((0.0, 1.0, 40.0))
        kind = draw.random()
        if kind < 0.04:
            digest.add(grants.joined(draw.choice(("p", "q")), draw.randrange(1, 6)))
        elif kind < 0.05:
            grants.away()
        elif kind < 0.1:
            ledger.update_nodes(_nodes(draw), now, complete=True)
        elif kind < 0.4:
            ledger.accept(f"r{step}", "x", draw.choice(CLASSES), now + 4000, now)
        elif kind < 0.55:
            for entry in list(ledger.entries.values()):
                out = entry.attempt_in_flight()
                if out is not None and draw.random() < 0.5:
                    ledger.record_outcome(entry.name, out.number, draw.choice(list(i.Outcome)))
        else:
            number += 1
            names = sorted(ledger.entries)
            name = draw.choice(names) if names and draw.random() < 0.95 else "nobody's"
            entry = ledger.entries.get(name)
            attempt = len(entry.attempts) if entry is not None and draw.random() < 0.9 else 1
            planner = grants.planner if grants.planner and draw.random() < 0.95 else "p"
            epoch = grants.epoch if draw.random() < 0.95 else 1
            grant = m.Grant(
                number - draw.choice((0, 0, 0, 0, 1, 20)),
                max(0, epoch),
                name,
                attempt,
                draw.choice((*NODES, *NODES, "never listed")),
                now + draw.choice((100.0, 100.0, -1.0)),
            )
            if draw.random() < 0.2:
                unused = grants.check(planner, grant, now, shift=draw.choice((0, 1)))
                digest.add(None if unused is None else [unused.reason, unused.operation])
            else:
                used = grants.use(planner, grant, now)
                match used:
                    case Unused():
                        digest.add([used.reason, used.operation])
                    case FenceTrip():
                        digest.add(["fenced", used.fence, used.operation, used.number])
                    case _:
                        digest.add(["attempt", used.number, used.node.name])
    digest.add(sorted([reason.value, count] for reason, count in grants.turned_down.items()))
    digest.add(sorted(grants.newest.items()))
    return digest.hex()


def without_planner_digest(seed: int) -> str:
    """Draw requests with attempts and ask what becomes of them without a planner and with a new one."""
    draw = random.Random(f"without planner/{seed}")
    digest = Digest(LABELS)
    figures = DisconnectedPolicy(
        answer_margin_ms=draw.choice((100.0, 20.0)), retry_least_ms=500.0, retry_most_ms=4000.0
    )
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=400)
    ledger.update_nodes((i.Node(name, index) for index, name in enumerate(NODES)), 0.0, complete=True)
    for index in range(60):
        name = f"r{index}"
        entry = ledger.accept(name, "x", draw.choice(CLASSES), draw.uniform(500, 4000), 0.0)
        assert entry is not None
        for _ in range(draw.choice((0, 1, 2))):
            if isinstance(ledger.send(name, draw.choice(NODES), draw.uniform(0, 100)), FenceTrip):
                break
            out = entry.attempt_in_flight()
            if out is not None and draw.random() < 0.7:
                ledger.record_outcome(
                    name, out.number, draw.choice([o for o in i.Outcome if o is not i.Outcome.OK])
                )
    entries = list(ledger.entries.values())
    for _ in range(40):
        now = draw.uniform(0, 4200)
        for joined in (False, True):
            digest.add([fate(entry, now, joined=joined, away=figures) for entry in entries])
        digest.add(next_look(entries, now, figures))
        digest.add([entry.name for entry in offers(entries, now, figures, most=draw.choice((1, 20, 100)))])
        digest.add(retry_after(now * draw.random(), now, figures, draw))
    digest.add(next_look([], 0.0, figures))
    reconnect = ReconnectBackoff(
        ("p:1", "q:1", "r:1")[: 1 + seed % 3], draw, min_wait_ms=100.0, max_wait_ms=8000.0
    )
    for _ in range(60):
        now += draw.uniform(0, 2000)
        if draw.random() < 0.2:
            reconnect.reached()
        else:
            reconnect.lost(now)
        digest.add(list(reconnect.next()))
    return digest.hex()


def history_and_order_digest(seed: int) -> str:
    """Drive the history of attempts and the order on keys; return the digest of all answers."""
    draw = random.Random(f"history/{seed}")
    digest = Digest(LABELS)
    record = Record(draw.choice((0.0, 200.0, 5000.0)))
    deciders = [f"d{index}" for index in range(80 if seed % 6 == 0 else 3)]
    turns = KeyOrdering(CLASSES, 300.0)
    out: list[i.Arrival] = []
    now = 0.0
    for step in range(600):
        now += draw.choice((0.0, 1.0, 20.0))
        decider = draw.choice(deciders)
        kind = draw.random()
        if kind < 0.3:
            record.tried(decider, now)
        elif kind < 0.6:
            record.took(decider, now - draw.choice((0.0, 1.0)))
        else:
            extra, taken = record.tell(decider, now)
            digest.add([list(extra), list(taken)])
        key = draw.choice(("", *(f"k{index}" for index in range(100 if seed % 5 == 0 else 4))))
        arrival = i.Arrival(f"r{step}", "v", key, 1.0, 4000.0, 0, draw.randrange(len(CLASSES)))
        digest.add(turns.free_at(arrival, now))
        if draw.random() < 0.4:
            turns.sent(arrival)
            out.append(arrival)
        if out and draw.random() < 0.4:
            ended = out.pop(draw.randrange(len(out)))
            turns.ended(ended.request, draw.choice(list(i.Outcome)), now)
            digest.add(turns.free_at(replace(ended, request="other"), now))
    return digest.hex()


def epochs() -> list[int]:
    """Return the epochs of new lives for drawn kept epochs, clocks and epochs that edges have seen."""
    draw = random.Random("epochs")
    rows = []
    for _ in range(200):
        kept = draw.choice((None, draw.randrange(10**6)))
        rows.append(next_epoch(kept, draw.uniform(0, 10**6), draw.choice((0, draw.randrange(10**6)))))
    return rows


STREAMS = {
    "edge": edge_digest,
    "planner": planner_digest,
    "grants": grants_digest,
    "without_planner": without_planner_digest,
    "history_and_order": history_and_order_digest,
}
