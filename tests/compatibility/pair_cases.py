"""Seeded random input for the decision modules of edge and planner, with digests of their output."""

from __future__ import annotations

import random
from dataclasses import replace

from cressrock import interface
from cressrock.dispatch.ledger import FenceTrip, Ledger
from cressrock.dispatch.quota import EdgeQuota
from cressrock.dispatch.reasons import Reason
from cressrock.edge.attempt_history import AttemptHistory
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import (
    DisconnectedPolicy,
    disposition_of,
    most_urgent_offers,
    next_check_ms,
    retry_after_ms,
)
from cressrock.edge.grants import GrantFence, RejectedGrant
from cressrock.edge.ordering import KeyOrdering
from cressrock.edge.reconnect import ReconnectBackoff
from cressrock.link import messages
from cressrock.planner.epochs import next_epoch
from cressrock.planner.planner import Planner, PlannerLimits
from tests.compatibility.canonical import Digest

SEEDS = range(48)
LABELS: dict[type, str] = {
    interface.NodeList: "node list",
    interface.Arrival: "arrival",
    interface.AttemptEnded: "ended",
    interface.ClientLeft: "client left",
    interface.LimitLease: "lent",
    interface.RetryBudgetUsage: "counted",
    interface.TimerFired: "wake",
    interface.Send: "send",
    interface.Reject: "reject",
    interface.Fail: "fail",
    interface.Cancel: "cancel",
    interface.SetTimer: "set timer",
    interface.Subscribe: "subscribe",
}
CLASSES = (
    interface.RequestClass(
        latency_objective_ms=300, deadline_ms=4000, idempotency=interface.Idempotency.ALWAYS
    ),
    interface.RequestClass(
        latency_objective_ms=500,
        deadline_ms=4000,
        idempotency=interface.Idempotency.KEYED,
        deduplication_window_ms=4000,
        ordered=True,
    ),
    interface.RequestClass(
        latency_objective_ms=500,
        deadline_ms=4000,
        idempotency=interface.Idempotency.KEYED,
        deduplication_window_ms=4000,
    ),
    interface.RequestClass(latency_objective_ms=500, deadline_ms=4000),
)
PLANS = (interface.Plan(), interface.Plan(limit_rate=24.0, limit_burst=48.0, limit_slack=8.0))
NODES = ("n0", "n1", "n2")


class RandomDecisions:
    """A decision module that returns random orders for its requests and records the events it receives."""

    def __init__(self, rng: random.Random, event_digest: Digest) -> None:
        """Start without requests; every event is added to `event_digest`."""
        self.rng = rng
        self.event_digest = event_digest
        self.open: dict[str, list[int | bool]] = {}  # [number of the next attempt, whether one is in flight]

    def act(self, now_ms: float, events: list[interface.Event]) -> list[interface.Action]:
        """Process events and return random orders, a few of them for unknown requests."""
        for event in events:
            self.event_digest.add([now_ms, event])
            match event:
                case interface.Arrival():
                    self.open[event.request] = [event.earlier_attempts, False]
                case interface.AttemptEnded():
                    if event.settled:
                        self.open.pop(event.request, None)
                    elif event.request in self.open:
                        self.open[event.request] = [event.attempt + 1, False]
                case interface.ClientLeft(request):
                    self.open.pop(request, None)
        actions: list[interface.Action] = []
        for name, (number, is_in_flight) in list(self.open.items()):
            kind = self.rng.random()
            if is_in_flight:
                if kind < 0.1:
                    actions.append(interface.Cancel(name, int(number)))
            elif kind < 0.6:
                self.open[name][1] = True
                actions.append(interface.Send(name, self.rng.choice(NODES), self.rng.choice((0.0, 250.0))))
            elif kind < 0.65:
                del self.open[name]
                actions.append(interface.Reject(name, self.rng.choice((0.0, 700.0))))
            elif kind < 0.7:
                del self.open[name]
                actions.append(interface.Fail(name))
        if self.rng.random() < 0.1:
            actions.append(interface.Cancel("nobody's", 0))
        if self.rng.random() < 0.2:
            actions.append(interface.SetTimer(now_ms + self.rng.choice((1.0, 50.0)), self.rng.randrange(3)))
        if self.rng.random() < 0.02:
            actions.append(interface.Subscribe())
        return actions


def _nodes(rng: random.Random) -> tuple[interface.Node, ...]:
    states = [interface.NodeState.READY] * 6 + [interface.NodeState.DRAINING]
    return tuple(interface.Node(name, index, state=rng.choice(states)) for index, name in enumerate(NODES))


class EdgeStream:
    """An edge with random events, planners and orders; digests its actions and events to the planner."""

    def __init__(self, seed: int) -> None:
        """Create an edge; the seed also selects its optional components."""
        self.rng = rng = random.Random(f"edge/{seed}")
        self.digest = Digest(LABELS)
        self.now = 0.0
        self.ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=400)
        self.ledger.update_nodes(
            (interface.Node(name, index) for index, name in enumerate(NODES)), 0.0, complete=True
        )
        self.edge = EdgeDecisions(
            self.ledger,
            DisconnectedPolicy(),
            random.Random(f"edge/{seed}/jitter"),
            ordering=KeyOrdering(CLASSES, 300.0) if seed % 4 else None,
            local=RandomDecisions(random.Random(f"edge/{seed}/own"), self.digest) if seed % 3 else None,
            quota=EdgeQuota(PLANS, lambda volume: 2, 1000.0, 0.0) if seed % 2 else None,
            max_outbox_events=rng.choice((20, 100000)),
            clock_report_interval_ms=100.0,
            uncounted_after_ms=1.0,
            budget_window_ms=5000.0,
        )
        if seed % 5 == 0:
            self.edge.knows_versions, self.edge.plans_per_version = True, 2
            self.edge.version_of = lambda a: ("trial" if a.units > 2 else "", a.request_class, a.plan)
        self.planner: tuple[str, int] | None = None
        self.epochs = {"p:1": 5, "q:1": 9}
        self.count = self.grants = 0
        self.offered: dict[str, int] = {}  # attempts so far, in the planner's numbering, by operation

    def run(self, steps: int) -> str:
        """Run `steps` random steps and return the digest."""
        for _ in range(steps):
            self.now += self.rng.choice((0.0, 1.0, 5.0, 30.0, 120.0))
            self._change_planner()
            self._send_orders()
            self._act(self._events())
            self._send_to_planner()
            self.digest.add([self.edge.next_tick_ms(), self.edge.decides(""), self.edge.decides("trial")])
        return self.digest.hex()

    def _change_planner(self) -> None:
        kind = self.rng.random()
        if kind < 0.03:
            self.edge.planner_lost(self.now)
            self.planner = None
            self.offered.clear()
        elif kind < 0.06 and self.planner is None:
            name = self.rng.choice(("p:1", "q:1"))
            epoch = self.epochs[name] = self.epochs[name] + self.rng.choice((0, 1, 1, -1))
            versioned = self.rng.random() < 0.5
            joined = self.edge.planner_joined(name, epoch, self.now, versioned=versioned)
            self.digest.add(["joined", joined])
            if joined:
                self.planner = (name, epoch)

    def _send_orders(self) -> None:
        if self.planner is None:
            return
        rng, (name, epoch) = self.rng, self.planner
        if rng.random() < 0.03:
            name, epoch = rng.choice(((name, epoch - 1), ("r:1", epoch)))
        for operation, attempts in list(self.offered.items()):
            kind = rng.random()
            if kind < 0.3:
                self.grants += 1
                number = self.grants - (rng.random() < 0.03)
                attempt = attempts + (rng.random() < 0.03)
                node = rng.choice((*NODES, "never listed") if rng.random() < 0.1 else NODES)
                until = self.now + rng.choice((400.0, 400.0, 400.0, -1.0))
                self.edge.receive_order(
                    name, messages.Grant(number, epoch, operation, attempt, node, until, 250.0)
                )
                self.offered[operation] = attempts + 1
            elif kind < 0.33:
                self.edge.receive_order(
                    name, messages.FinalAnswer(epoch, operation, rng.random() < 0.5, 900.0)
                )
                del self.offered[operation]
            elif kind < 0.36:
                self.edge.receive_order(name, messages.CancelAttempt(epoch, operation, max(0, attempts - 1)))
        if rng.random() < 0.1:
            self.edge.receive_order(name, messages.ClockStamp(rng.randrange(1, 1000)))
        if rng.random() < 0.05:
            self.edge.receive_order(name, messages.RuleVersions(rng.choice((["trial"], []))))

    def _events(self) -> list[interface.Event]:
        rng = self.rng
        events: list[interface.Event] = []
        for _ in range(rng.choice((0, 0, 1, 2))):
            name, index = f"r{self.count}", rng.randrange(len(CLASSES))
            self.count += 1
            remaining = rng.choice((4000.0, 900.0))
            if self.ledger.accept(name, "x", CLASSES[index], self.now + remaining, self.now) is None:
                continue
            plan = rng.randrange(len(PLANS))
            key = rng.choice(("", "k1", "k2"))
            waited = rng.choice((-1.0, 0.0, 40.0))
            events.append(
                interface.Arrival(
                    name, f"v{plan}", key, rng.choice((1.0, 3.0)), remaining, plan, index, 0, 1, waited
                )
            )
        for entry in list(self.ledger.entries.values()):
            out = entry.attempt_in_flight()
            if out is not None and rng.random() < 0.25:
                outcome = rng.choice(list(interface.Outcome))
                settled = self.ledger.record_outcome(entry.name, out.number, outcome)
                events.append(
                    interface.AttemptEnded(entry.name, out.number, outcome, settled.is_answered, 2.0, 3, 0.5)
                )
            elif entry.verdict is None and rng.random() < 0.01 and self.ledger.client_left(entry.name):
                events.append(interface.ClientLeft(entry.name))
        if rng.random() < 0.05:
            nodes = _nodes(rng)
            self.ledger.update_nodes(nodes, self.now, complete=True)
            events.append(interface.NodeList(interface.ListKind.COMPLETE, nodes))
        if rng.random() < 0.1:
            events.append(interface.TimerFired(rng.randrange(4)))
        return events

    def _act(self, events: list[interface.Event]) -> None:
        for action in self.edge.act(self.now, events):
            self.digest.add([self.now, action])
            match action:
                case interface.Send(request, node):
                    attempt = self.ledger.send(request, node, self.now)
                    if isinstance(attempt, FenceTrip):
                        self.digest.add(["fenced", attempt.fence])
                        abandoned = interface.AttemptEnded(
                            request, attempt.number, interface.Outcome.ABANDONED, False, 0.0
                        )
                        for answer in self.edge.act(self.now, [abandoned]):
                            self.digest.add([self.now, answer])
                case interface.Reject(request):
                    self.ledger.reject(request, Reason.SCHEDULER)
                case interface.Fail(request):
                    self.ledger.fail(request, Reason.ATTEMPTS)

    def _send_to_planner(self) -> None:
        if self.planner is None:
            return
        self.edge.tick(self.now)
        for _ in range(self.rng.choice((0, 1, 100))):
            if not self.edge.outbox:
                break
            event = self.edge.outbox.pop_next(self.now)
            self.digest.add(messages.encode(event))
            match event:
                case messages.Request():
                    self.offered[event.operation] = event.earlier_attempts
                case messages.ClientLeft():
                    self.offered.pop(event.operation, None)
                case messages.AttemptEnded() if event.settled:
                    self.offered.pop(event.operation, None)


def edge_digest(seed: int) -> str:
    """Return the digest of one edge's random run."""
    return EdgeStream(seed).run(300)


def planner_digest(seed: int) -> str:
    """Send random events of several edges to a planner; return the digest of its orders and results."""
    rng = random.Random(f"planner/{seed}")
    digest = Digest(LABELS)
    module = RandomDecisions(random.Random(f"planner/{seed}/module"), digest)
    planner_limits = PlannerLimits(
        max_scheduled=rng.choice((10, 200)), max_edges=3, lease_ms=rng.choice((0.0, 400.0))
    )
    planner = Planner(module, CLASSES, 77 + seed, planner_limits, PLANS)
    if seed % 4 == 0:
        planner.set_rule_versions(CLASSES * 2, PLANS * 2, {"": (0, 0), "trial": (len(CLASSES), len(PLANS))})
    sessions: dict[str, int] = {}
    sequences = dict.fromkeys(("a", "b", "c", "d"), 0)
    known: dict[str, dict[str, int]] = {name: {} for name in sequences}
    now, count = 0.0, 0
    for _ in range(300):
        now += rng.choice((0.0, 1.0, 10.0, 60.0))
        name = rng.choice(sorted(sequences))
        kind = rng.random()
        clock = now + 3.6e6 * "abcd".index(name) - rng.choice((0.0, 0.0, 30.0))
        if name not in sessions or kind < 0.02:
            session = planner.join(name, f"l{count}", now)
            digest.add(["join", session])
            if session is not None:
                sessions[name], known[name], sequences[name] = session, {}, 0
        elif kind < 0.04:
            digest.add(["leave", planner.leave(name, sessions[name] - (rng.random() < 0.3))])
        elif kind < 0.07:
            planner.receive_node_list(interface.NodeList(rng.choice(list(interface.ListKind)), _nodes(rng)))
        else:
            for _ in range(rng.choice((1, 1, 4))):
                sequences[name] += rng.choice((1, 1, 1, 1, 1, 0))
                event = _random_edge_event(rng, sequences[name], clock, count, known[name])
                count += 1
                session = sessions[name] - (rng.random() < 0.01)
                digest.add(["event", planner.receive_event(name, session, event, now)])
        if rng.random() < 0.7:
            outcome = planner.step(now)
            for edge, orders in outcome.orders.items():
                for order in orders:
                    digest.add([edge, messages.encode(order)])
                    match order:
                        case messages.Grant():
                            known[edge][order.operation] = order.attempt
                        case messages.FinalAnswer():
                            known[edge].pop(order.operation, None)
            digest.add([outcome.wake_at_ms, outcome.subscribe])
    digest.add(sorted(planner.dropped.values()))
    return digest.hex()


def _random_edge_event(
    rng: random.Random, sequence: int, clock: float, count: int, known: dict[str, int]
) -> messages.EdgeEvent:
    operation = rng.choice(sorted(known)) if known and rng.random() < 0.9 else f"r{count}"
    kind = rng.random()
    if kind < 0.4:
        plan = rng.randrange(len(PLANS))
        return messages.Request(
            sequence,
            clock,
            f"r{count - (rng.random() < 0.02)}",
            f"v{plan}",
            rng.choice(("", "k")),
            1.0,
            clock + rng.choice((3000.0, -1.0)),
            plan,
            rng.randrange(len(CLASSES) + (rng.random() < 0.05)),
            0,
            1,
            rng.choice((-1.0, 20.0)),
            rng.choice((0, 0, 2)),
            rng.random() < 0.2,
            rng.choice((0.0, 2.0)),
            rng.randrange(3),
            rng.choice(("", "", "trial", "unknown")),
        )
    if kind < 0.75:
        outcome = rng.choice([*(o.value for o in interface.Outcome), "not known yet"])
        attempt = known.get(operation, 0) + (rng.random() < 0.05)
        return messages.AttemptEnded(
            sequence, clock, operation, attempt, outcome, rng.random() < 0.4, 3.0, 2, 0.5
        )
    if kind < 0.82:
        return messages.ClientLeft(sequence, clock, operation)
    if kind < 0.86:
        return messages.NodeDraining(sequence, clock, rng.choice((*NODES, "never listed")))
    if kind < 0.92:
        return messages.LimitLease(sequence, clock, "v1", rng.choice((1, 1, 7)), 3.0, rng.randrange(12))
    if kind < 0.95:
        return messages.BudgetHistory(sequence, clock, [100, 40], [300])
    return messages.EdgeClock(sequence, clock)


def grants_digest(seed: int) -> str:
    """Return the digest of a fence's results for random grants."""
    rng = random.Random(f"grants/{seed}")
    digest = Digest(LABELS)
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=400)
    ledger.update_nodes((interface.Node(name, index) for index, name in enumerate(NODES)), 0.0, complete=True)
    grants = GrantFence(ledger, max_used=rng.choice((8, 65536)))
    now, number = 0.0, 0
    for step in range(400):
        now += rng.choice((0.0, 1.0, 40.0))
        kind = rng.random()
        if kind < 0.04:
            digest.add(grants.enter_epoch(rng.choice(("p", "q")), rng.randrange(1, 6)))
        elif kind < 0.05:
            grants.leave_epoch()
        elif kind < 0.1:
            ledger.update_nodes(_nodes(rng), now, complete=True)
        elif kind < 0.4:
            ledger.accept(f"r{step}", "x", rng.choice(CLASSES), now + 4000, now)
        elif kind < 0.55:
            for entry in list(ledger.entries.values()):
                out = entry.attempt_in_flight()
                if out is not None and rng.random() < 0.5:
                    ledger.record_outcome(entry.name, out.number, rng.choice(list(interface.Outcome)))
        else:
            number += 1
            names = sorted(ledger.entries)
            name = rng.choice(names) if names and rng.random() < 0.95 else "nobody's"
            entry = ledger.entries.get(name)
            attempt = len(entry.attempts) if entry is not None and rng.random() < 0.9 else 1
            planner = grants.planner if grants.planner and rng.random() < 0.95 else "p"
            epoch = grants.epoch if rng.random() < 0.95 else 1
            grant = messages.Grant(
                number - rng.choice((0, 0, 0, 0, 1, 20)),
                max(0, epoch),
                name,
                attempt,
                rng.choice((*NODES, *NODES, "never listed")),
                now + rng.choice((100.0, 100.0, -1.0)),
            )
            if rng.random() < 0.2:
                unused = grants.check(planner, grant, now, number_offset=rng.choice((0, 1)))
                digest.add(None if unused is None else [unused.reason, unused.operation])
            else:
                used = grants.use(planner, grant, now)
                match used:
                    case RejectedGrant():
                        digest.add([used.reason, used.operation])
                    case FenceTrip():
                        digest.add(["fenced", used.fence, used.operation, used.number])
                    case _:
                        digest.add(["attempt", used.number, used.node.name])
    digest.add(sorted([reason.value, count] for reason, count in grants.rejections.items()))
    digest.add(sorted(grants.newest_epochs.items()))
    return digest.hex()


def disposition_digest(seed: int) -> str:
    """Return the digest of the dispositions of random requests, with and without a planner."""
    rng = random.Random(f"without planner/{seed}")
    digest = Digest(LABELS)
    policy = DisconnectedPolicy(
        answer_margin_ms=rng.choice((100.0, 20.0)), min_retry_after_ms=500.0, max_retry_after_ms=4000.0
    )
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=400)
    ledger.update_nodes((interface.Node(name, index) for index, name in enumerate(NODES)), 0.0, complete=True)
    for index in range(60):
        name = f"r{index}"
        entry = ledger.accept(name, "x", rng.choice(CLASSES), rng.uniform(500, 4000), 0.0)
        assert entry is not None
        for _ in range(rng.choice((0, 1, 2))):
            if isinstance(ledger.send(name, rng.choice(NODES), rng.uniform(0, 100)), FenceTrip):
                break
            out = entry.attempt_in_flight()
            if out is not None and rng.random() < 0.7:
                ledger.record_outcome(
                    name,
                    out.number,
                    rng.choice([o for o in interface.Outcome if o is not interface.Outcome.OK]),
                )
    entries = list(ledger.entries.values())
    for _ in range(40):
        now = rng.uniform(0, 4200)
        for joined in (False, True):
            digest.add([disposition_of(entry, now, connected=joined, policy=policy) for entry in entries])
        digest.add(next_check_ms(entries, now, policy))
        digest.add(
            [
                entry.name
                for entry in most_urgent_offers(entries, now, policy, max_offers=rng.choice((1, 20, 100)))
            ]
        )
        digest.add(retry_after_ms(now * rng.random(), now, policy, rng))
    digest.add(next_check_ms([], 0.0, policy))
    reconnect = ReconnectBackoff(
        ("p:1", "q:1", "r:1")[: 1 + seed % 3], rng, min_wait_ms=100.0, max_wait_ms=8000.0
    )
    for _ in range(60):
        now += rng.uniform(0, 2000)
        if rng.random() < 0.2:
            reconnect.planner_joined()
        else:
            reconnect.planner_lost(now)
        attempt = reconnect.next_attempt()
        digest.add([attempt.at_ms, attempt.planner])
    return digest.hex()


def history_and_order_digest(seed: int) -> str:
    """Return the digest of random calls of the attempt history and the key ordering."""
    rng = random.Random(f"history/{seed}")
    digest = Digest(LABELS)
    history = AttemptHistory(rng.choice((0.0, 200.0, 5000.0)))
    deciders = [f"d{index}" for index in range(80 if seed % 6 == 0 else 3)]
    ordering = KeyOrdering(CLASSES, 300.0)
    out: list[interface.Arrival] = []
    now = 0.0
    for step in range(600):
        now += rng.choice((0.0, 1.0, 20.0))
        decider = rng.choice(deciders)
        kind = rng.random()
        if kind < 0.3:
            history.add_retry(decider, now)
        elif kind < 0.6:
            history.add_accepted(decider, now - rng.choice((0.0, 1.0)))
        else:
            unreported = history.drain_unreported(decider, now)
            digest.add([list(unreported.retried_at_ms), list(unreported.accepted_at_ms)])
        key = rng.choice(("", *(f"k{index}" for index in range(100 if seed % 5 == 0 else 4))))
        arrival = interface.Arrival(f"r{step}", "v", key, 1.0, 4000.0, 0, rng.randrange(len(CLASSES)))
        digest.add(ordering.earliest_start_ms(arrival, now))
        if rng.random() < 0.4:
            ordering.attempt_started(arrival)
            out.append(arrival)
        if out and rng.random() < 0.4:
            ended = out.pop(rng.randrange(len(out)))
            ordering.attempt_ended(ended.request, rng.choice(list(interface.Outcome)), now)
            digest.add(ordering.earliest_start_ms(replace(ended, request="other"), now))
    return digest.hex()


def epochs() -> list[int]:
    """Return new epochs for random stored epochs, clocks and epochs that edges have seen."""
    rng = random.Random("epochs")
    rows = []
    for _ in range(200):
        kept = rng.choice((None, rng.randrange(10**6)))
        rows.append(next_epoch(kept, rng.uniform(0, 10**6), rng.choice((0, rng.randrange(10**6)))))
    return rows


STREAMS = {
    "edge": edge_digest,
    "planner": planner_digest,
    "grants": grants_digest,
    "without_planner": disposition_digest,
    "history_and_order": history_and_order_digest,
}
