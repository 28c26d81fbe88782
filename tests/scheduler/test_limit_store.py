"""Simulation of many hosts that share one limit, whose store counts requests when they *arrive*.

Requests are delayed, lost or held by a partition; hosts are killed after they spent their shares and restart
at once; attempts end in every way and are retried; the usage report is delayed, missing or empty.
"""

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
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
STEP_MS = 20  # between two batches of a host
MAX_UNITS = 6.0


def host_settings(plan, hosts):
    return Settings(
        classes=(CLASS,),
        plans=(plan,),
        hosts=hosts,
        tick_ms=2.0,
        max_attempts=3,
        answer_slack_ms=8.0,
        usual_units=2.0,
        most_units=MAX_UNITS,
        meter_period_ms=1000.0,
    )


class Store:
    """The volume's single store, which counts a request's units when the request first arrives."""

    def __init__(self, plan):
        self.plan, self.level, self.at = plan, plan.limit_burst, 0.0
        self.seen, self.arrivals, self.lowest_level = set(), [], plan.limit_burst

    def arrive(self, now, name, units):
        if name in self.seen:
            return
        self.seen.add(name)
        gain = (now - self.at) / 1000 * self.plan.limit_rate
        self.level = min(self.plan.limit_burst, self.level + gain) - units
        self.at = now
        self.lowest_level = min(self.lowest_level, self.level)
        self.arrivals.append((now, units))

    def used(self, now, late):
        end = (now - late) // 1000 * 1000
        if end <= 0:
            return 0
        units = sum(u for t, u in self.arrivals if end - 1000 <= t < end)
        return 1 + int(units / self.plan.rate * 100)


class World:
    """Hosts, the network to the nodes, and the faults of both."""

    def __init__(self, seed, writers, burst, rate, has_faults, kills, usage_delay_ms):
        self.rng = random.Random(seed)
        self.plan = Plan(rate=rate / 6, limit_rate=rate, limit_burst=burst, limit_slack=8.0)
        self.host_settings = host_settings(self.plan, writers)
        self.store = Store(self.plan)
        self.writers, self.has_faults, self.kills, self.usage_delay_ms = (
            writers,
            has_faults,
            kills,
            usage_delay_ms,
        )
        self.node_list = NodeList(ListKind.CACHED, tuple(Node(f"n{i}", i) for i in range(SHARDS)))
        self.schedulers, self.restarts_at_ms, self.out, self.count = {}, {}, {}, 0
        self.held_until_ms = [0.0] * SHARDS
        for host in range(writers):
            self.start_host(host, 0.0)

    def start_host(self, host, now):
        self.schedulers[host] = Scheduler(self.host_settings, self.rng.getrandbits(32), now)
        self.schedulers[host].act(now, [self.node_list])
        self.out[host] = []

    def kill(self, host, now):
        """Kill a host; its connections are reset, so requests in transit arrive now or never."""
        for _, arrives, name, _, _, units in self.out.pop(host):
            if arrives is not None and arrives > now and self.rng.random() < 0.5:
                self.store.arrive(now, name, units)
        del self.schedulers[host]
        self.restarts_at_ms[host] = now + self.rng.choice([STEP_MS, 100, 100, 900, 2500])

    def make_arrival(self, host):
        self.count += 1
        units = float(self.rng.randint(1, int(MAX_UNITS)))
        time_left_ms = self.rng.choice([900.0, 4000.0])
        return Arrival(
            f"{host}-{self.count}",
            "v",
            "",
            units,
            time_left_ms,
            shard=self.rng.randrange(SHARDS),
            sharing_hosts=self.writers,
        )

    def send(self, host, now, send):
        """Draw an attempt's course: (end time, arrival time or None, request, attempt, outcome, units)."""
        request = self.schedulers[host].requests[send.request]
        shard, units = request.arrival.shard, request.arrival.units
        travel_ms = self.rng.choice([1, 1, 1, 240]) if self.has_faults else 1
        arrives = max(now + travel_ms, self.held_until_ms[shard])
        answer = arrives + self.rng.choice([5, 20, 120])
        outcome = Outcome.OK
        if self.has_faults and self.rng.random() < 0.3:
            outcome = self.rng.choice([o for o in Outcome if o is not Outcome.OK])
        if outcome in (Outcome.NO_CONNECTION, Outcome.ABANDONED):
            arrives, answer = None, now + travel_ms
        elif outcome in (Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED) and self.rng.random() < 0.5:
            arrives, answer = None, now + self.rng.choice([30, 300, 900])
        ended = (answer, arrives, send.request, request.attempts - 1, outcome, units)
        self.out[host].append(ended)

    def step(self, now, is_surge):
        for shard in range(SHARDS):
            if self.has_faults and self.rng.random() < 0.004:
                self.held_until_ms[shard] = now + self.rng.choice([500, 3000])
        for pending in self.out.values():
            for item in sorted(pending, key=lambda i: i[1] or 0.0):
                if item[1] is not None and item[1] <= now:
                    self.store.arrive(item[1], item[2], item[5])
        for host in range(self.writers):
            scheduler = self.schedulers.get(host)
            if scheduler is None:
                if now >= self.restarts_at_ms[host]:
                    self.start_host(host, now)
                continue
            events = [TimerFired(0)]
            for item in [i for i in self.out[host] if i[0] <= now]:
                self.out[host].remove(item)
                _, _, name, attempt, outcome, _ = item
                used = self.store.used(now, self.usage_delay_ms) if outcome is Outcome.OK else 0
                is_settled = outcome is Outcome.OK or name not in scheduler.requests
                events.append(
                    AttemptEnded(
                        name, attempt, outcome, is_settled, 20.0, used, charged=reached_node(outcome)
                    )
                )
            if is_surge or self.rng.random() < 0.02:
                events.append(self.make_arrival(host))
            for action in scheduler.act(now, events):
                if isinstance(action, Send):
                    self.send(host, now, action)
        if is_surge and self.kills and self.rng.random() < 0.02:
            some = [h for h in self.schedulers if self.kills == "all" or self.rng.random() < 0.5]
            for host in some:
                self.kill(host, now)

    def run(self, length):
        now = 0.0
        while now < length:
            now += STEP_MS
            # Low load, then a surge from all writers at once: the shares are full when it begins.
            self.step(now, is_surge=now % 12000 > 7000)
        return len(self.store.seen)


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    writers=st.sampled_from([1, 2, 3, 8, 16]),
    size=st.sampled_from([2.0, 3.0]),
    rate=st.sampled_from([6.0, 20.0]),
    has_faults=st.booleans(),
    kills=st.sampled_from(["", "some", "all"]),
    usage_delay_ms=st.sampled_from([220.0, 1000.0, 5000.0, 1e9]),
)
def test_arrivals_never_exceed_the_limit_and_its_slack(
    seed, writers, size, rate, has_faults, kills, usage_delay_ms
):
    """This holds for any number of hosts, delays, losses and restarts, and requests are still served."""
    world = World(seed, writers, size * MAX_UNITS * writers, rate, has_faults, kills, usage_delay_ms)
    served = world.run(24000)
    assert world.store.lowest_level >= -world.plan.limit_slack - 1e-6
    assert served > 0
