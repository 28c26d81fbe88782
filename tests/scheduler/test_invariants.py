"""Long seeded runs of random valid events under random settings, checked against the seven rules."""

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

TICK_MS = 2.0
NEVER_RAN = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.ABANDONED)
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


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
        tick_ms=TICK_MS,
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
    """Simulates clients and nodes at random, and checks every rule on its own records."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.settings = draw_settings(self.rng)
        self.now = 1000.0
        self.scheduler = Scheduler(self.settings, seed, self.now)
        self.open, self.ended, self.pending, self.attempts = {}, set(), {}, {}
        self.ran, self.retried_at_ms, self.arrived_at_ms, self.charges, self.cold_sends = {}, [], [], {}, {}
        self.ordered_requests, self.paused_until_ms, self.timers, self.list_entries = [], {}, [], {}
        self.final_count = 0
        self.count = 0
        for i in range(4):
            self.list_entries[f"n{i}"] = Node(f"n{i}", i % 3, i % 2)
        self.process_batch([NodeList(ListKind.CACHED, tuple(self.list_entries.values()))])

    def process_batch(self, events):
        left = {e.request for e in events if isinstance(e, ClientLeft)}
        for action in self.scheduler.act(self.now, events):
            if isinstance(action, SetTimer):
                self.timers.append(action)
            elif isinstance(action, (Reject, Fail)):
                if action.request in left:
                    continue  # the request ended in the batch in which its client left
                self.record_final(action)
            elif isinstance(action, Send):
                self.send(action)
        for name, (_, end) in self.open.items():
            assert self.now <= end + self.settings.answer_slack_ms, f"{name} got no final answer in time"

    def record_final(self, action):
        request, _ = self.open.pop(action.request)
        self.ended.add(action.request)
        self.final_count += 1
        if isinstance(action, Reject):
            cls = self.settings.classes[request.request_class]
            clean = request.request not in self.ran and request.request not in self.pending
            free = cls.idempotency is Idempotency.ALWAYS
            dropped = (
                cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
            )
            assert clean or free or dropped
        self.drop_from_order(action.request)

    def send(self, action):
        name, now = action.request, self.now
        assert name in self.open and name not in self.pending
        request, _ = self.open[name]
        cls, plan = self.settings.classes[request.request_class], self.settings.plans[request.plan]
        line = self.list_entries[action.node]
        assert line.state is NodeState.READY
        assert request.shard in (-1, line.shard) or name in self.ran
        attempt = self.attempts.get(name, 0)
        assert attempt < self.settings.max_attempts
        if name in self.ran:
            assert cls.idempotency is not Idempotency.NEVER
            if cls.idempotency is Idempotency.KEYED:
                at, first_node = self.ran[name]
                assert now <= at + cls.deduplication_window_ms
                if cls.deduplication_scope is DeduplicationScope.SHARD:
                    assert line.shard == first_node.shard
                if cls.deduplication_scope is DeduplicationScope.ZONE:
                    assert line.zone == first_node.zone
        if attempt and self.settings.budget_window_ms:
            since = now - self.settings.budget_window_ms
            self.retried_at_ms = [t for t in self.retried_at_ms if t > since] + [now]
            arrival_count = sum(t > since for t in self.arrived_at_ms)
            assert (
                len(self.retried_at_ms)
                <= self.settings.budget_free + self.settings.budget_share * arrival_count
            )
        if not attempt and plan.limit_rate:
            spent = self.charges.setdefault(request.volume, [])
            spent.append((now, request.units))
            for i, (start, _) in enumerate(spent):
                part = plan.limit_burst + plan.limit_slack + plan.limit_rate * (now - start) / 1000
                assert sum(u for _, u in spent[i:]) <= part / 2 + 1e-6
        if line.started_at_ms and now < line.started_at_ms + self.settings.warm_up_ms:
            spent = self.cold_sends.setdefault((action.node, line.started_at_ms), [])
            spent.append((now, request.units))
            within = sum(u for t, u in spent if t > now - self.settings.cold_window_ms)
            warmed_fraction = min(1.0, (now - line.started_at_ms) / self.settings.warm_up_ms)
            capacity_units = self.settings.cold_bears * (
                1 + (1 / self.settings.cold_from - 1) * warmed_fraction
            )
            if capacity_units / self.settings.hosts >= self.settings.usual_units:
                assert within <= capacity_units / self.settings.hosts + 1e-6
            else:  # a share below one request: random admission of one per window, none without capacity
                assert within <= request.units and self.settings.cold_bears > 0
        if cls.ordered and request.key:
            for other in self.ordered_requests:
                if other.request == name:
                    break
                if other.key == request.key:
                    raise AssertionError("sent out of order")
            if not attempt:
                assert now >= self.paused_until_ms.get(request.key, 0.0)
        self.attempts[name] = attempt + 1
        self.pending[name] = (attempt, now, line, request)

    def drop_from_order(self, name):
        if name not in self.open and name not in self.pending:
            self.ordered_requests = [r for r in self.ordered_requests if r.request != name]

    def outcome(self, name):
        attempt, at, line, request = self.pending.pop(name)
        kind = self.rng.choice([Outcome.OK] * 5 + list(Outcome))
        if kind not in NEVER_RAN:
            self.ran.setdefault(name, (at, line))
        if kind in MAY_STILL_RUN and self.settings.classes[request.request_class].ordered:
            self.paused_until_ms[request.key] = self.now + self.settings.order_settle_ms
        settled = name not in self.open or kind is Outcome.OK
        if settled:
            self.final_count += name in self.open
            self.open.pop(name, None)
            self.drop_from_order(name)
        used, elsewhere = self.rng.randint(0, 300), self.rng.randint(0, 9)
        return AttemptEnded(name, attempt, kind, settled, self.now - at, used, elsewhere)

    def step(self):
        rng = self.rng
        self.now += TICK_MS * rng.choice([1, 1, 2, 5])
        # A timer fires in the first batch at or after its time, so no step may skip one.
        due = [t for t in self.timers if t.at_ms <= self.now]
        if due:
            self.now = max(self.now - 8 * TICK_MS, min(self.now, min(t.at_ms for t in due) + TICK_MS))
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
                self.settings.classes[cls].deadline_ms * rng.choice([1, 1, 0.3, 0.01]),
                0,
                cls,
                rng.choice([-1, 0, 1, 2]),
                2,
            )
            plan = int(request.volume[1]) % 3
            request = Arrival(**{f: getattr(request, f) for f in request.__slots__} | {"plan": plan})
            self.open[request.request] = (request, self.now + request.remaining_ms)
            self.arrived_at_ms.append(self.now)
            if self.settings.classes[cls].ordered and request.key:
                self.ordered_requests.append(request)
            events.append(request)
        for name in list(self.pending):
            overdue = self.now > self.pending[name][1] + 3000
            if overdue or rng.random() < 0.08:
                events.append(self.outcome(name))
        if self.open and rng.random() < 0.01:
            name = rng.choice(list(self.open))
            self.open.pop(name)
            self.ended.add(name)
            self.final_count += 1
            self.drop_from_order(name)
            events.append(ClientLeft(name))
        if rng.random() < 0.02:
            events.append(self.list())
        self.process_batch(events)

    def list(self):
        rng = self.rng
        if rng.random() < 0.2:
            return NodeList(ListKind.FAILED)
        name = f"n{rng.randrange(6)}"
        start_ms = rng.choice([0.0, self.now - 10.0, self.now - 2000.0])
        line = Node(name, int(name[1]) % 3, int(name[1]) % 2, start_ms, rng.choice(list(NodeState)))
        self.list_entries[name] = line
        if rng.random() < 0.5:
            return NodeList(ListKind.CHANGES, (line,))
        return NodeList(ListKind.COMPLETE, tuple(v for v in self.list_entries.values()))


@pytest.mark.parametrize("seed", range(40))
def test_the_seven_rules_hold_under_random_events(seed):
    world = World(seed)
    for _ in range(1500):
        world.step()
    while world.open or world.pending:
        world.now += TICK_MS
        events = [TimerFired(0)]
        events += [world.outcome(n) for n in list(world.pending) if world.now > world.pending[n][1] + 3000]
        world.process_batch(events)
    assert world.final_count == world.count
    # No state of finished requests is kept: memory is bounded by open requests, volumes and nodes.
    assert world.scheduler.requests == {}
    assert all(not queue.waiting_count for queue in world.scheduler.queues.values())
    world.now += 1000.0
    world.process_batch([TimerFired(0)])
    assert world.scheduler.key_order.keys == {} and len(world.scheduler.deadlines.heap) <= 2 * world.count
