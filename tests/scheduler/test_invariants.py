"""A seeded long run of random legal events under drawn settings, checked against the seven rules."""

import random

import pytest

from cressrock.interface import (
    Arrival,
    AttemptEnded,
    ClientLeft,
    DeduplicationScope,
    Fail,
    Idempotency,
    ListKind,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    Reject,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from cressrock.scheduler.scheduler import Scheduler

TICK = 2.0
NEVER = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.ABANDONED)
RESTS = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


def draw_settings(rng):
    def cls():
        deadline = rng.choice([200.0, 1000.0, 3000.0])
        return RequestClass(
            latency_objective_ms=deadline * rng.uniform(0.1, 1.0),
            deadline_ms=deadline,
            priority_weight=rng.uniform(0, 3),
            idempotency=rng.choice(list(Idempotency)),
            deduplication_scope=rng.choice(list(DeduplicationScope)),
            deduplication_window_ms=rng.choice([0.0, 300.0, 2000.0]),
            ordered=rng.random() < 0.4,
        )

    def plan():
        limited = rng.random() < 0.5
        return Plan(
            weight=rng.choice([0.1, 1.0, 6.0]),
            reserve=rng.choice([0.0, 5.0]),
            limit_rate=rng.uniform(1, 30) if limited else 0.0,
            limit_burst=rng.uniform(0, 50) if limited else 0.0,
            limit_slack=rng.uniform(0, 5) if limited else 0.0,
        )

    return Settings(
        classes=tuple(cls() for _ in range(3)),
        plans=tuple(plan() for _ in range(3)),
        hosts=rng.choice([1, 2, 4, 60, 230]),
        must_ask=rng.random() < 0.5,
        tick_ms=TICK,
        max_attempts=rng.randint(1, 4),
        answer_slack_ms=8.0,
        drain_grace_ms=0.0,
        ask_every_ms=5000.0,
        cold_from=rng.choice([0.1, 0.5, 1.0]),
        warm_up_ms=rng.choice([0.0, 3000.0]),
        cold_window_ms=rng.choice([500.0, 1000.0]),
        cold_bears=rng.choice([0.0, 15.0]),
        order_settle_ms=rng.choice([0.0, 200.0]),
        budget_window_ms=rng.choice([0.0, 1000.0]),
        budget_free=rng.choice([0.0, 2.0]),
        budget_share=rng.choice([0.0, 0.1]),
        usual_units=2.0,
        most_units=8.0,
    )


class World:
    """Plays clients and nodes at random, and keeps its own books on every rule."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.set = draw_settings(self.rng)
        self.now = 1000.0
        self.scheduler = Scheduler(self.set, seed, self.now)
        self.open, self.ended, self.pending, self.tries = {}, set(), {}, {}
        self.ran, self.extra, self.taken, self.drawn, self.cold = {}, [], [], {}, {}
        self.turn, self.rest, self.timers, self.lines = [], {}, [], {}
        self.finals = 0
        self.count = 0
        for i in range(4):
            self.lines[f"n{i}"] = Node(f"n{i}", i % 3, i % 2)
        self.answer([NodeList(ListKind.CACHED, tuple(self.lines.values()))])

    def answer(self, events):
        left = {e.request for e in events if isinstance(e, ClientLeft)}
        for action in self.scheduler.act(self.now, events):
            if isinstance(action, SetTimer):
                self.timers.append(action)
            elif isinstance(action, (Reject, Fail)):
                if action.request in left:
                    continue  # ended on an outcome in the batch in which the client left: passed over
                self.final(action)
            elif isinstance(action, Send):
                self.send(action)
        for name, (_, end) in self.open.items():
            assert self.now <= end + self.set.answer_slack_ms, f"{name} is overdue"

    def final(self, action):
        request, _ = self.open.pop(action.request)
        self.ended.add(action.request)
        self.finals += 1
        if isinstance(action, Reject):
            cls = self.set.classes[request.request_class]
            clean = request.request not in self.ran and request.request not in self.pending
            free = cls.idempotency is Idempotency.ALWAYS
            dropped = (
                cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
            )
            assert clean or free or dropped
        self.close(action.request)

    def send(self, action):
        name, now = action.request, self.now
        assert name in self.open and name not in self.pending
        request, _ = self.open[name]
        cls, plan = self.set.classes[request.request_class], self.set.plans[request.plan]
        line = self.lines[action.node]
        assert line.state is NodeState.READY
        assert request.shard in (-1, line.shard) or name in self.ran
        attempt = self.tries.get(name, 0)
        assert attempt < self.set.max_attempts
        if name in self.ran:
            assert cls.idempotency is not Idempotency.NEVER
            if cls.idempotency is Idempotency.KEYED:
                at, home = self.ran[name]
                assert now <= at + cls.deduplication_window_ms
                if cls.deduplication_scope is DeduplicationScope.SHARD:
                    assert line.shard == home.shard
                if cls.deduplication_scope is DeduplicationScope.ZONE:
                    assert line.zone == home.zone
        if attempt and self.set.budget_window_ms:
            since = now - self.set.budget_window_ms
            self.extra = [t for t in self.extra if t > since] + [now]
            taken = sum(t > since for t in self.taken)
            assert len(self.extra) <= self.set.budget_free + self.set.budget_share * taken
        if not attempt and plan.limit_rate:
            spent = self.drawn.setdefault(request.volume, [])
            spent.append((now, request.units))
            for i, (start, _) in enumerate(spent):
                part = plan.limit_burst + plan.limit_slack + plan.limit_rate * (now - start) / 1000
                assert sum(u for _, u in spent[i:]) <= part / 2 + 1e-6
        if line.started_at_ms and now < line.started_at_ms + self.set.warm_up_ms:
            spent = self.cold.setdefault((action.node, line.started_at_ms), [])
            spent.append((now, request.units))
            within = sum(u for t, u in spent if t > now - self.set.cold_window_ms)
            grown = min(1.0, (now - line.started_at_ms) / self.set.warm_up_ms)
            bears = self.set.cold_bears * (1 + (1 / self.set.cold_from - 1) * grown)
            if bears / self.set.hosts >= self.set.usual_units:
                assert within <= bears / self.set.hosts + 1e-6
            else:  # a part that pays for no request: by lot, one in a window, and none where nothing is borne
                assert within <= request.units and self.set.cold_bears > 0
        if cls.ordered and request.key:
            for other in self.turn:
                if other.request == name:
                    break
                if other.key == request.key:
                    raise AssertionError("sent out of turn")
            if not attempt:
                assert now >= self.rest.get(request.key, 0.0)
        self.tries[name] = attempt + 1
        self.pending[name] = (attempt, now, line, request)

    def close(self, name):
        if name not in self.open and name not in self.pending:
            self.turn = [r for r in self.turn if r.request != name]

    def outcome(self, name):
        attempt, at, line, request = self.pending.pop(name)
        kind = self.rng.choice([Outcome.OK] * 5 + list(Outcome))
        if kind not in NEVER:
            self.ran.setdefault(name, (at, line))
        if kind in RESTS and self.set.classes[request.request_class].ordered:
            self.rest[request.key] = self.now + self.set.order_settle_ms
        settled = name not in self.open or kind is Outcome.OK
        if settled:
            self.finals += name in self.open
            self.open.pop(name, None)
            self.close(name)
        used, elsewhere = self.rng.randint(0, 300), self.rng.randint(0, 9)
        return AttemptEnded(name, attempt, kind, settled, self.now - at, used, elsewhere)

    def step(self):
        rng = self.rng
        self.now += TICK * rng.choice([1, 1, 2, 5])
        # Timers come in the first batch at or after their time: no step may jump over one.
        due = [t for t in self.timers if t.at_ms <= self.now]
        if due:
            self.now = max(self.now - 8 * TICK, min(self.now, min(t.at_ms for t in due) + TICK))
        due = [t for t in self.timers if t.at_ms <= self.now]
        self.timers = [t for t in self.timers if t.at_ms > self.now]
        events = [TimerFired(t.token) for t in due]
        for _ in range(rng.choice([0, 0, 1, 1, 3])):
            self.count += 1
            cls = rng.randrange(3)
            request = Arrival(
                f"r{self.count}",
                f"v{rng.randrange(6)}",
                rng.choice(["", "k1", "k2", "k3"]),
                float(rng.randint(1, 8)),
                self.set.classes[cls].deadline_ms * rng.choice([1, 1, 0.3, 0.01]),
                0,
                cls,
                rng.choice([-1, 0, 1, 2]),
                2,
            )
            plan = int(request.volume[1]) % 3
            request = Arrival(**{f: getattr(request, f) for f in request.__slots__} | {"plan": plan})
            self.open[request.request] = (request, self.now + request.remaining_ms)
            self.taken.append(self.now)
            if self.set.classes[cls].ordered and request.key:
                self.turn.append(request)
            events.append(request)
        for name in list(self.pending):
            overdue = self.now > self.pending[name][1] + 3000
            if overdue or rng.random() < 0.08:
                events.append(self.outcome(name))
        if self.open and rng.random() < 0.01:
            name = rng.choice(list(self.open))
            self.open.pop(name)
            self.ended.add(name)
            self.finals += 1
            self.close(name)
            events.append(ClientLeft(name))
        if rng.random() < 0.02:
            events.append(self.list())
        self.answer(events)

    def list(self):
        rng = self.rng
        if rng.random() < 0.2:
            return NodeList(ListKind.FAILED)
        name = f"n{rng.randrange(6)}"
        born = rng.choice([0.0, self.now - 10.0, self.now - 2000.0])
        line = Node(name, int(name[1]) % 3, int(name[1]) % 2, born, rng.choice(list(NodeState)))
        self.lines[name] = line
        if rng.random() < 0.5:
            return NodeList(ListKind.CHANGES, (line,))
        return NodeList(ListKind.COMPLETE, tuple(v for v in self.lines.values()))


@pytest.mark.parametrize("seed", range(40))
def test_the_seven_rules_hold_under_random_events(seed):
    world = World(seed)
    for _ in range(1500):
        world.step()
    while world.open or world.pending:
        world.now += TICK
        events = [TimerFired(0)]
        events += [world.outcome(n) for n in list(world.pending) if world.now > world.pending[n][1] + 3000]
        world.answer(events)
    assert world.finals == world.count
    # Nothing of a finished request is kept: memory is bounded by what is open, volumes and nodes.
    assert world.scheduler.requests == {}
    assert all(not lane.waiting_count for lane in world.scheduler.queues.values())
    world.now += 1000.0
    world.answer([TimerFired(0)])
    assert world.scheduler.key_order.keys == {} and len(world.scheduler.deadlines.heap) <= 2 * world.count
