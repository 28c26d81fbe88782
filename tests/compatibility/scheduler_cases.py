"""Seeded streams of every kind of event for the scheduler, shared by the recorder and the test.

Each stream simulates the clients and the nodes of one host: latency grows with the outstanding attempts,
nodes are overloaded, restart, drain and vanish, responses get lost, clients leave, limits are leased.  The
digest covers the time and the actions of every batch, without the texts of log lines.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import replace
from typing import Any

from cressrock.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    ClientLeft,
    DeduplicationScope,
    Event,
    Fail,
    Idempotency,
    LimitLease,
    ListKind,
    Log,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    Reject,
    RequestClass,
    RetryBudgetUsage,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)
from cressrock.scheduler.scheduler import Scheduler
from tests.compatibility.canonical import Digest

FIXTURE = "scheduler_decisions"
SEEDS = range(200)
EVENTS = 2000
LABELS = {
    Send: "send",
    Reject: "refuse",
    Fail: "fail",
    Cancel: "cancel",
    SetTimer: "timer",
    Subscribe: "subscribe",
}
UNANSWERED = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED, Outcome.NO_CONNECTION, Outcome.ABANDONED)
FAILURES = [outcome for outcome in Outcome if outcome is not Outcome.OK]


def draw_class(rng: random.Random, calm: bool) -> RequestClass:
    """Return a random class of requests; a calm host's is ordered less often."""
    deadline = rng.choice([300.0, 1000.0, 3000.0, 8000.0])
    return RequestClass(
        deadline * rng.uniform(0.1, 1.0),
        deadline,
        rng.choice([0.3, 1.0, 3.0]),
        rng.choice([0.0, 0.1]),
        rng.choice(list(Idempotency)),
        rng.choice(list(DeduplicationScope)),
        rng.choice([0.0, 300.0, 2000.0, 6000.0]),
        rng.random() < (0.1 if calm else 0.25),
        rng.random() < 0.3,
    )


def draw_plan(rng: random.Random, calm: bool, reserves: bool) -> Plan:
    """Return a random plan, with a limit in half of the cases (15 % for a calm host)."""
    limited = rng.random() < (0.15 if calm else 0.5)
    return Plan(
        rng.choice([0.1, 1.0, 1.0, 6.0]),
        rng.choice([0.0, 20.0]),
        rng.choice([0.0, 5.0, 40.0]) if reserves else 0.0,
        1.0,
        rng.uniform(5, 300) if limited else 0.0,
        rng.uniform(8, 80) if limited else 0.0,
        rng.uniform(0, 9) if limited else 0.0,
    )


def draw_settings(rng: random.Random, calm: bool) -> Settings:
    """Return random settings; a calm host is rarely limited by anything but its nodes' capacity."""
    classes = tuple(draw_class(rng, calm) for _ in range(rng.randint(1, 4)))
    reserves = rng.random() < 0.5
    plans = tuple(draw_plan(rng, calm, reserves) for _ in range(rng.randint(1, 3)))
    settings = Settings(
        classes,
        plans,
        rng.choice([1, 2, 4] if calm else [1, 1, 2, 4, 30, 230]),
        rng.random() < 0.4,
        rng.random() < 0.7,
        rng.choice([1.0, 2.0, 5.0]),
        rng.randint(1, 4),
        8.0,
        rng.choice([0.0, 500.0]),
        rng.choice([0.0, 5000.0]),
        rng.choice([0.1, 0.5, 1.0]),
        rng.choice([0.0, 3000.0, 10000.0]),
        rng.choice([500.0, 1000.0]),
        rng.choice([0.0, 15.0, 60.0]),
        rng.choice([0.0, 200.0]),
    )
    if rng.random() < (0.3 if calm else 0.6):
        free, share = rng.choice([0.0, 2.0, 10.5]), rng.choice([0.0, 0.1, 0.5])
        settings = replace(settings, budget_window_ms=1000.0, budget_free=free, budget_share=share)
        settings = replace(settings, budget_begins_spent=rng.random() < 0.5)
    return replace(
        settings,
        limits_lent=rng.random() < (0.1 if calm else 0.25),
        advice_max_ms=rng.choice([0.0, 2000.0]),
        usual_units=2.0,
        most_units=8.0,
        share_worth=rng.choice([0.2, 0.7, 1.0]),
    )


class Stream:
    """One host's clients and nodes, generated from a seed."""

    def __init__(self, seed: int) -> None:
        """Draw the settings and start with four or more nodes; even seeds give a calm host."""
        self.rng = rng = random.Random(seed)
        self.calm = seed % 2 == 0
        self.settings = draw_settings(rng, self.calm)
        self.now = rng.choice([0.0, 1000.0, 5e6 + 0.25])
        self.digest = Digest(LABELS)
        self.sent = self.refused = self.events = 0
        self.numbers = 0
        self.scheduler = Scheduler(self.settings, seed, self.now)
        self.open: dict[str, Arrival] = {}
        self.attempts: dict[str, int] = {}
        self.pending: dict[str, tuple[int, float]] = {}  # (attempt, sent at)
        self.ends: list[tuple[float, int, str, int, Outcome]] = []
        self.timers: list[tuple[float, int]] = []
        self.shards = rng.choice([2, 3, 6])
        self.nodes = {f"n{i}": Node(f"n{i}", i % self.shards, i % 2) for i in range(self.shards + 2)}
        self.service_ms = {name: rng.choice([4.0, 20.0, 60.0]) for name in self.nodes}
        self.overloaded_until_ms: dict[str, float] = {}
        self.slots = rng.choice([2, 8, 40])
        self.rate = rng.choice([0.1, 0.3, 0.6] if self.calm else [0.3, 1.0, 2.5, 6.0])  # arrivals per batch
        self.failure_fraction = rng.choice(
            [0.0, 0.01, 0.05] if self.calm else [0.0, 0.02, 0.15, 0.6]
        )  # fraction of the attempts that fail
        self.lost_fraction = rng.choice([0.0, 0.03, 0.1])  # fraction of the responses that are lost
        self.list_report_probability = rng.choice([0.003, 0.02])  # per batch
        self.steps = rng.choice([(2.0, 2.0, 4.0, 10.0), (0.0, 1.25, 7.3, 20.0), (5.0, 20.0, 20.0, 130.0)])
        self.batch([NodeList(rng.choice([ListKind.CACHED, ListKind.COMPLETE]), tuple(self.nodes.values()))])

    def play(self) -> str:
        """Run the whole stream; return the digest of the scheduler's actions."""
        while self.events < EVENTS:
            self.now += self.rng.choice(self.steps)
            self.batch(self.draw_events())
        return self.digest.hex()

    def batch(self, events: list[Event]) -> None:
        """Pass the scheduler one batch and carry out its actions."""
        self.events += len(events)
        actions = self.scheduler.act(self.now, events)
        self.digest.add([self.now, *("log" if isinstance(action, Log) else action for action in actions)])
        for action in actions:
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        """Simulate the effect of one action."""
        match action:
            case Send(name, node, _):
                self.sent += 1
                attempt = self.attempts.get(name, 0)
                self.attempts[name] = attempt + 1
                self.pending[name] = (attempt, self.now)
                self.end_later(name, attempt, node)
            case Reject(name, _) | Fail(name):
                self.refused += 1
                self.open.pop(name, None)
            case Cancel(name, attempt):
                if self.rng.random() < 0.8:
                    self.push_end(self.now + self.rng.uniform(0, 3), name, attempt, Outcome.CANCELLED)
            case SetTimer(at, token):
                self.timers.append((at, token))
            case _:
                pass

    def end_later(self, name: str, attempt: int, node: str) -> None:
        """Draw when and how an attempt ends."""
        rng, request = self.rng, self.open[name]
        out = len(self.pending)
        latency_ms = self.service_ms[node] * rng.uniform(0.6, 1.4) + 2 * request.units
        latency_ms *= 1 + max(0, out / len(self.nodes) - self.slots / 4)
        outcome, timeout_at_ms = Outcome.OK, self.now + 3500
        if self.overloaded_until_ms.get(node, 0.0) > self.now:
            latency_ms *= rng.choice([8, 20])
            if rng.random() < 0.3:
                outcome, latency_ms = Outcome.FULL, rng.uniform(1, 9)
        if rng.random() < self.failure_fraction:
            outcome = rng.choice(FAILURES)
            latency_ms = rng.choice([1.0, 30.0, 400.0])
        if rng.random() < self.lost_fraction:
            outcome, latency_ms = Outcome.TIMEOUT, 3000.0
        self.push_end(min(timeout_at_ms, self.now + latency_ms), name, attempt, outcome)

    def push_end(self, at: float, name: str, attempt: int, outcome: Outcome) -> None:
        """Schedule the end of an attempt."""
        self.numbers += 1
        heapq.heappush(self.ends, (at, self.numbers, name, attempt, outcome))

    def draw_events(self) -> list[Event]:
        """Return the next batch: due timers and outcomes, arrivals, and occasionally other events."""
        rng, now = self.rng, self.now
        events: list[Event] = [TimerFired(token) for at, token in self.timers if at <= now]
        self.timers = [timer for timer in self.timers if timer[0] > now]
        while self.ends and self.ends[0][0] <= now:
            _, _, name, attempt, outcome = heapq.heappop(self.ends)
            if self.pending.get(name, (-1, 0.0))[0] == attempt:
                events.append(self.ended(name, attempt, outcome))
        surge = 4.0 if now % 9000 < 1500 else 1.0
        for _ in range(int(self.rate * surge + rng.random())):
            events.append(self.arrival())
        if self.open and rng.random() < 0.02:
            name = rng.choice(list(self.open))
            del self.open[name]
            events.append(ClientLeft(name))
        if rng.random() < self.list_report_probability:
            events.append(self.node_list())
        if rng.random() < 0.01:
            self.overloaded_until_ms[rng.choice(list(self.nodes))] = now + rng.choice([200.0, 2500.0])
        if rng.random() < 0.01:
            events.append(self.budget_usage())
        if self.settings.limits_lent and rng.random() < 0.2:
            units = rng.choice([2.0, 9.0, 30.0])
            events.append(LimitLease(f"v{rng.randrange(6)}", units, now + rng.choice([40.0, 900.0, 3000.0])))
        if rng.random() < 0.01:
            events.append(AttemptEnded("stranger", 0, Outcome.OK, True, 5.0))
        if rng.random() < 0.002:
            self.extend_tables()
        if rng.random() < 0.0015:
            self.restart()
            return [NodeList(ListKind.CACHED, tuple(self.nodes.values()))]
        return events

    def arrival(self) -> Arrival:
        """Return a random request of a client."""
        rng = self.rng
        self.numbers += 1
        index = rng.randrange(len(self.settings.classes))
        left = self.settings.classes[index].deadline_ms * rng.choice([1, 1, 1, 0.6, 0.3, 0.02])
        volume = rng.randrange(6)
        request = Arrival(
            f"r{self.numbers}",
            f"v{volume}",
            rng.choice(["", "k1", "k2", "k3", f"k{self.numbers}"]),
            float(rng.randint(1, 8)) if rng.random() < 0.7 else rng.uniform(0.5, 3.0),
            left,
            volume % len(self.settings.plans),
            index,
            rng.choice([-1, *range(self.shards)]),
            rng.choice([1, 1, 2, self.settings.hosts]),
            rng.choice([-1.0, -1.0, -1.0, 0.0, left / 3]),
            int(rng.random() < 0.03),
            rng.random() < 0.1,
        )
        self.open[request.request] = request
        self.attempts[request.request] = request.earlier_attempts
        return request

    def ended(self, name: str, attempt: int, outcome: Outcome) -> AttemptEnded:
        """Return the event for an ended attempt, and remove it from the pending ones."""
        _, sent_at = self.pending.pop(name)
        settled = name not in self.open or outcome is Outcome.OK
        if not settled and outcome is Outcome.ERROR and self.rng.random() < 0.2:
            settled = True
        if settled:
            self.open.pop(name, None)
        reached: bool | None = self.rng.choice([True, False, None]) if outcome in UNANSWERED else True
        used, elsewhere = self.rng.randint(0, 300), self.rng.choice([0.0, 0.0, 3.0, 40.0])
        return AttemptEnded(name, attempt, outcome, settled, self.now - sent_at, used, elsewhere, reached)

    def node_list(self) -> NodeList:
        """Return a random node list report; complete and cached ones may lack a node."""
        rng = self.rng
        kind = rng.choice(list(ListKind))
        if kind is ListKind.FAILED:
            return NodeList(kind)
        name = rng.choice(list(self.nodes))
        old = self.nodes[name]
        state = rng.choice([NodeState.READY] * 4 + list(NodeState))
        started = rng.choice(
            [old.started_at_ms, old.started_at_ms, max(1.0, self.now - 10), max(1.0, self.now - 900)]
        )
        self.nodes[name] = line = Node(name, old.shard, old.zone, started, state)
        if kind is ListKind.CHANGES:
            return NodeList(kind, (line,))
        absent = rng.choice([None, None, name])
        return NodeList(kind, tuple(node for node in self.nodes.values() if node.name != absent))

    def budget_usage(self) -> RetryBudgetUsage:
        """Return retries and arrivals that other schedulers count in the budget."""
        times = [self.now - self.rng.uniform(0, 1500) for _ in range(self.rng.randint(0, 12))]
        return RetryBudgetUsage(tuple(times[:2]), tuple(times[2:]))

    def extend_tables(self) -> None:
        """Switch the scheduler to settings with one more class and one more plan."""
        classes = (*self.settings.classes, draw_class(self.rng, self.calm))
        plans = (*self.settings.plans, draw_plan(self.rng, self.calm, False))
        self.settings = replace(self.settings, classes=classes, plans=plans)
        self.scheduler.extend_tables(self.settings)

    def restart(self) -> None:
        """Restart the host: all its requests and attempts are gone."""
        self.open, self.attempts, self.pending, self.timers = {}, {}, {}, []
        self.ends = []
        self.scheduler = Scheduler(self.settings, self.rng.getrandbits(40), self.now)


def play(seed: int) -> dict[str, Any]:
    """Run the stream of a seed; return its digest and the numbers of sent and denied requests."""
    stream = Stream(seed)
    digest = stream.play()
    return {"digest": digest, "sent": stream.sent, "denied": stream.refused}
