"""Slow start of an endpoint, with one host and with many."""

import random

from cressrock.interface import ListKind, Node, NodeList, NodeState, Send, TimerFired
from cressrock.scheduler.concurrency_limit import FLEET_WINDOW_REQUESTS
from cressrock.scheduler.scheduler import Scheduler
from tests.scheduler.support import (
    REPEATABLE,
    cold_host,
    host,
    make_arrival,
    make_attempt_ended,
    sent,
    settings,
)


def test_a_cold_node_gets_this_hosts_share_which_grows_as_it_warms_up():
    line = Node("a", 0, started_at_ms=1.0)
    scheduler = host(listed_nodes=(line,), hosts=2)
    units = {now: 0.0 for now in range(0, 12000, 500)}
    for now in units:
        for node in scheduler.endpoints.by_name.values():
            node.limit.window = FLEET_WINDOW_REQUESTS
        actions = scheduler.act(
            float(now), [make_arrival(f"r{now}-{i}", units=1.0, remaining_ms=400.0) for i in range(30)]
        )
        for name in sent(actions):
            units[now] += 1.0
            scheduler.act(float(now), [make_attempt_ended(name, latency_ms=1.0)])
    starts = sorted(units)
    assert units[0] == 0.0 and units[500] == 0.0  # the share may have been spent before a restart
    for a, b in zip(starts, starts[1:], strict=False):
        if b <= 10000:
            capacity_factor = 0.2 + 0.8 * max(0.0, b - 1000) / 10000
            assert units[a] + units[b] <= 10.0 / 2 * capacity_factor / 0.2 + 1e-9
    assert sum(units.values()) > 20


def test_many_hosts_neither_starve_nor_overwhelm_a_cold_node():
    """Equal shares are smaller than one request, and the hosts learn of the new node at different times."""
    hosts, shards, rate = 120, 4, 0.9  # requests per second of each host
    classes, capacity_units = (REPEATABLE,), 12.0
    rng = random.Random(5)
    schedulers = []
    for seed in range(hosts):
        scheduler = Scheduler(settings(hosts=hosts, classes=classes, cold_bears=capacity_units), seed, 0.0)
        scheduler.act(0.0, [NodeList(ListKind.CACHED, tuple(Node(f"n{i}", i) for i in range(shards)))])
        schedulers.append(scheduler)
    sends, list_update_at_ms, count = [], [rng.uniform(10000, 12000) for _ in schedulers], 0
    fresh = Node("fresh", 0, started_at_ms=10000.0)
    out = [[] for _ in schedulers]
    for now in range(100, 20000, 50):
        for host_number, scheduler in enumerate(schedulers):
            events = [make_attempt_ended(name, latency_ms=50.0) for name in out[host_number]]
            if list_update_at_ms[host_number] <= now:
                list_update_at_ms[host_number] = float("inf")
                events.append(NodeList(ListKind.CHANGES, (Node("n0", 0, state=NodeState.GONE), fresh)))
            if rng.random() < rate * 0.05:
                count += 1
                events.append(make_arrival(f"r{count}", f"v{host_number}", shard=rng.randrange(shards)))
            actions = [a for a in scheduler.act(float(now), events) if isinstance(a, Send)]
            out[host_number] = [a.request for a in actions]
            sends += [now for a in actions if a.node == "fresh"]
    early = [t for t in sends if t < 15000]
    assert len(early) > 10  # not starved
    for start in sends:
        capacity_factor = 1 + 4 * max(0.0, start - 10000) / 10000
        # Random admission may reach 1.5 times the guaranteed capacity, which the rule still allows.
        assert 2.0 * sum(start <= t < start + 1000 for t in sends) <= 1.5 * capacity_units * capacity_factor


def test_no_request_exceeds_the_capacity_of_a_cold_node():
    """One request of eight units from a single host is four times the capacity of a node of two."""
    scheduler = cold_host()
    scheduler.random.random = lambda: 0.0  # always admitted
    large = make_arrival("large", units=4.0, remaining_ms=60000.0)
    assert sent(scheduler.act(10100.0, [large])) == []
    assert sent(scheduler.act(10200.0, [make_arrival("small", units=2.0, remaining_ms=60000.0)])) == ["small"]
    scheduler.act(10300.0, [make_attempt_ended("small")])
    assert sent(scheduler.act(11900.0, [TimerFired(0)])) == []
    # Its capacity is 4 units after a quarter of the warm-up.
    assert sent(scheduler.act(16000.0, [make_arrival("later", units=4.0, remaining_ms=60000.0)])) == ["later"]


def test_a_host_with_more_demand_than_others_assumes_the_same_of_all_hosts():
    """Admission based on the average of all shards would let through the whole traffic of a hot shard."""
    admitted_shares = []
    for shard, asks in ((0, 10), (1, 10), (0, 40), (0, 400)):
        scheduler = cold_host()
        for step in range(20):
            (name,) = sent(scheduler.act(10100.0 + step, [make_arrival(f"w{step}", shard=1 + step % 19)]))
            scheduler.act(10100.5 + step, [make_attempt_ended(name, latency_ms=0.5)])
        for step in range(asks):
            scheduler.act(10200.0 + step, [make_arrival(f"h{step}", shard=shard, remaining_ms=1.0)])
            scheduler.act(10205.0 + step, [TimerFired(0)])
        scheduler.act(10700.0, [make_arrival("r", shard=0)])
        admitted_shares.append(scheduler.endpoints.by_name["fresh"].admitted_share)
    assert admitted_shares[0] < admitted_shares[1] / 4
    # With demand in each window, N / 2 of the hosts are admitted; N is 1 request of two units here.
    assert admitted_shares[2] == admitted_shares[3] == 0.5 * 1 / 200
