"""Endpoints that are warming up, as one host and as many see them."""

import random

from cressrock.interface import ListKind, Node, NodeList, NodeState, Send, TimerFired
from cressrock.scheduler.concurrency_limit import FLEET_WINDOW_REQUESTS
from cressrock.scheduler.scheduler import Scheduler
from tests.scheduler.support import SAFE, ask, cold_host, done, host, sent, settings


def test_a_cold_node_gets_this_hosts_part_and_more_as_it_warms():
    line = Node("a", 0, started_at_ms=1.0)
    scheduler = host(lines=(line,), hosts=2)
    units = {now: 0.0 for now in range(0, 12000, 500)}
    for now in units:
        for node in scheduler.endpoints.by_name.values():
            node.limit.window = FLEET_WINDOW_REQUESTS
        actions = scheduler.act(
            float(now), [ask(f"r{now}-{i}", units=1.0, remaining=400.0) for i in range(30)]
        )
        for name in sent(actions):
            units[now] += 1.0
            scheduler.act(float(now), [done(name, lag=1.0)])
    starts = sorted(units)
    assert units[0] == 0.0 and units[500] == 0.0  # a former life may have spent the first window's part
    for a, b in zip(starts, starts[1:], strict=False):
        if b <= 10000:
            grown = 0.2 + 0.8 * max(0.0, b - 1000) / 10000
            assert units[a] + units[b] <= 10.0 / 2 * grown / 0.2 + 1e-9
    assert sum(units.values()) > 20


def test_a_cold_node_is_neither_starved_nor_tipped_by_many_hosts():
    """Danger: two hundred even parts that pay for no request; and a wave of replacements with late lists."""
    hosts, shards, rate = 120, 4, 0.9  # requests a second of each host
    classes, bears = (SAFE,), 12.0
    rng = random.Random(5)
    schedulers = []
    for seed in range(hosts):
        scheduler = Scheduler(settings(hosts=hosts, classes=classes, cold_bears=bears), seed, 0.0)
        scheduler.act(0.0, [NodeList(ListKind.CACHED, tuple(Node(f"n{i}", i) for i in range(shards)))])
        schedulers.append(scheduler)
    sends, told, count = [], [rng.uniform(10000, 12000) for _ in schedulers], 0
    fresh = Node("fresh", 0, started_at_ms=10000.0)
    out = [[] for _ in schedulers]
    for now in range(100, 20000, 50):
        for host_number, scheduler in enumerate(schedulers):
            events = [done(name, lag=50.0) for name in out[host_number]]
            if told[host_number] <= now:
                told[host_number] = float("inf")
                events.append(NodeList(ListKind.CHANGES, (Node("n0", 0, state=NodeState.GONE), fresh)))
            if rng.random() < rate * 0.05:
                count += 1
                events.append(ask(f"r{count}", f"v{host_number}", shard=rng.randrange(shards)))
            actions = [a for a in scheduler.act(float(now), events) if isinstance(a, Send)]
            out[host_number] = [a.request for a in actions]
            sends += [now for a in actions if a.node == "fresh"]
    early = [t for t in sends if t < 15000]
    assert len(early) > 10  # not starved
    for start in sends:
        grown = 1 + 4 * max(0.0, start - 10000) / 10000
        # What it surely bears leaves a margin to the rule; chance may take half as much again of it.
        assert 2.0 * sum(start <= t < start + 1000 for t in sends) <= 1.5 * bears * grown


def test_no_request_is_larger_than_what_a_cold_node_bears():
    """Danger: one of eight units is four times what a node of two bears, from one host of hundreds."""
    scheduler = cold_host()
    scheduler.random.random = lambda: 0.0  # every lot wins
    large = ask("large", units=4.0, remaining=60000.0)
    assert sent(scheduler.act(10100.0, [large])) == []
    assert sent(scheduler.act(10200.0, [ask("small", units=2.0, remaining=60000.0)])) == ["small"]
    scheduler.act(10300.0, [done("small")])
    assert sent(scheduler.act(11900.0, [TimerFired(0)])) == []
    # It bears 4 units as its warming has gone on by a quarter of what it lacks.
    assert sent(scheduler.act(16000.0, [ask("later", units=4.0, remaining=60000.0)])) == ["later"]


def test_who_asks_a_cold_nodes_shard_for_more_than_others_draws_as_if_all_did():
    """Danger: lots against the mean of all shards let a hot one's whole traffic through."""
    drawn = []
    for shard, asks in ((0, 10), (1, 10), (0, 40), (0, 400)):
        scheduler = cold_host()
        for step in range(20):
            (name,) = sent(scheduler.act(10100.0 + step, [ask(f"w{step}", shard=1 + step % 19)]))
            scheduler.act(10100.5 + step, [done(name, lag=0.5)])
        for step in range(asks):
            scheduler.act(10200.0 + step, [ask(f"h{step}", shard=shard, remaining=1.0)])
            scheduler.act(10205.0 + step, [TimerFired(0)])
        scheduler.act(10700.0, [ask("r", shard=0)])
        drawn.append(scheduler.endpoints.by_name["fresh"].admitted_share)
    assert drawn[0] < drawn[1] / 4
    # Who asks for a request in each window, or for many, has one in half of N hosts: N is one of two units.
    assert drawn[2] == drawn[3] == 0.5 * 1 / 200
