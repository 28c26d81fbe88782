"""Many hosts of the real module before one limit, in logical time: the store is drawn as requests *arrive*.

Arrivals are late, lost or held by a cut; hosts are killed when they have spent their parts and are back at
once; attempts end in every way and are sent again; the meter is late, absent or tells of nothing.
"""

import random

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from cressrock.dispatch.transport import reached_node
from cressrock.interface import (
    Arrival,
    AttemptEnded,
    Idempotency,
    ListKind,
    Node,
    NodeList,
    Outcome,
    Plan,
    RequestClass,
    Send,
    Settings,
    TimerFired,
)
from cressrock.scheduler.scheduler import Scheduler

CLASS = RequestClass(
    latency_objective_ms=300, deadline_ms=4000, priority_weight=3, idempotency=Idempotency.ALWAYS
)
SHARDS = 4
STEP = 20  # ms between two looks at a host
MOST = 6.0


def conf(plan, hosts):
    return Settings(
        classes=(CLASS,),
        plans=(plan,),
        hosts=hosts,
        tick_ms=2.0,
        max_attempts=3,
        answer_slack_ms=8.0,
        usual_units=2.0,
        most_units=MOST,
        meter_period_ms=1000.0,
    )


class Store:
    """The volume's one store: it takes a request's units when the request first arrives."""

    def __init__(self, plan):
        self.plan, self.level, self.at = plan, plan.limit_burst, 0.0
        self.seen, self.taken, self.lowest = set(), [], plan.limit_burst

    def arrive(self, now, name, units):
        if name in self.seen:
            return
        self.seen.add(name)
        gain = (now - self.at) / 1000 * self.plan.limit_rate
        self.level = min(self.plan.limit_burst, self.level + gain) - units
        self.at = now
        self.lowest = min(self.lowest, self.level)
        self.taken.append((now, units))

    def used(self, now, late):
        end = (now - late) // 1000 * 1000
        if end <= 0:
            return 0
        units = sum(u for t, u in self.taken if end - 1000 <= t < end)
        return 1 + int(units / self.plan.rate * 100)


class World:
    """Hosts, the way to the nodes, and what befalls both."""

    def __init__(self, seed, writers, burst, rate, trouble, kills, meter_late):
        self.rng = random.Random(seed)
        self.plan = Plan(rate=rate / 6, limit_rate=rate, limit_burst=burst, limit_slack=8.0)
        self.conf = conf(self.plan, writers)
        self.store = Store(self.plan)
        self.writers, self.trouble, self.kills, self.meter_late = writers, trouble, kills, meter_late
        self.lines = NodeList(ListKind.CACHED, tuple(Node(f"n{i}", i) for i in range(SHARDS)))
        self.schedulers, self.back, self.out, self.count = {}, {}, {}, 0
        self.held_until = [0.0] * SHARDS
        for host in range(writers):
            self.begin(host, 0.0)

    def begin(self, host, now):
        self.schedulers[host] = Scheduler(self.conf, self.rng.getrandbits(32), now)
        self.schedulers[host].act(now, [self.lines])
        self.out[host] = []

    def kill(self, host, now):
        """Connections are reset with the process: what was on its way arrives now or never."""
        for _, arrives, name, _, _, units in self.out.pop(host):
            if arrives is not None and arrives > now and self.rng.random() < 0.5:
                self.store.arrive(now, name, units)
        del self.schedulers[host]
        self.back[host] = now + self.rng.choice([STEP, 100, 100, 900, 2500])

    def ask(self, host):
        self.count += 1
        units = float(self.rng.randint(1, int(MOST)))
        patience = self.rng.choice([900.0, 4000.0])
        return Arrival(
            f"{host}-{self.count}",
            "v",
            "",
            units,
            patience,
            shard=self.rng.randrange(SHARDS),
            sharing_hosts=self.writers,
        )

    def send(self, host, now, send):
        """Draw how the attempt goes: (ends, arrives or None, request, attempt, outcome, units)."""
        request = self.schedulers[host].requests[send.request]
        shard, units = request.arrival.shard, request.arrival.units
        way = self.rng.choice([1, 1, 1, 240]) if self.trouble else 1
        arrives = max(now + way, self.held_until[shard])
        answer = arrives + self.rng.choice([5, 20, 120])
        outcome = Outcome.OK
        if self.trouble and self.rng.random() < 0.3:
            outcome = self.rng.choice([o for o in Outcome if o is not Outcome.OK])
        if outcome in (Outcome.NO_CONNECTION, Outcome.ABANDONED):
            arrives, answer = None, now + way
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED) and self.rng.random() < 0.5:
            arrives, answer = None, now + self.rng.choice([30, 300, 900])
        ended = (answer, arrives, send.request, request.attempts - 1, outcome, units)
        self.out[host].append(ended)

    def step(self, now, pressed):
        for shard in range(SHARDS):
            if self.trouble and self.rng.random() < 0.004:
                self.held_until[shard] = now + self.rng.choice([500, 3000])
        for pending in self.out.values():
            for item in sorted(pending, key=lambda i: i[1] or 0.0):
                if item[1] is not None and item[1] <= now:
                    self.store.arrive(item[1], item[2], item[5])
        for host in range(self.writers):
            scheduler = self.schedulers.get(host)
            if scheduler is None:
                if now >= self.back[host]:
                    self.begin(host, now)
                continue
            events = [TimerFired(0)]
            for item in [i for i in self.out[host] if i[0] <= now]:
                self.out[host].remove(item)
                _, _, name, attempt, outcome, _ = item
                used = self.store.used(now, self.meter_late) if outcome is Outcome.OK else 0
                over = outcome is Outcome.OK or name not in scheduler.requests
                events.append(
                    AttemptEnded(name, attempt, outcome, over, 20.0, used, charged=reached_node(outcome))
                )
            if pressed or self.rng.random() < 0.02:
                events.append(self.ask(host))
            for action in scheduler.act(now, events):
                if isinstance(action, Send):
                    self.send(host, now, action)
        if pressed and self.kills and self.rng.random() < 0.02:
            some = [h for h in self.schedulers if self.kills == "all" or self.rng.random() < 0.5]
            for host in some:
                self.kill(host, now)

    def run(self, length):
        now = 0.0
        while now < length:
            now += STEP
            # Quiet, then pressed by all writers at once: parts are full as the surge begins.
            self.step(now, pressed=now % 12000 > 7000)
        return len(self.store.seen)


@profile(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    writers=st.sampled_from([1, 2, 3, 8, 16]),
    size=st.sampled_from([2.0, 3.0]),
    rate=st.sampled_from([6.0, 20.0]),
    trouble=st.booleans(),
    kills=st.sampled_from(["", "some", "all"]),
    meter_late=st.sampled_from([220.0, 1000.0, 5000.0, 1e9]),
)
def test_arrivals_never_take_a_store_under_its_slack(seed, writers, size, rate, trouble, kills, meter_late):
    """Holds for any hosts, delays, losses and deaths; and still the limit is of use."""
    world = World(seed, writers, size * MOST * writers, rate, trouble, kills, meter_late)
    served = world.run(24000)
    assert world.store.lowest >= -world.plan.limit_slack - 1e-6
    assert served > 0
