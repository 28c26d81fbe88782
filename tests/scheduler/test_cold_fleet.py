"""Many hosts before one cold node, in logical time: what they send together, whatever the traffic."""

from __future__ import annotations

import heapq
import random

import pytest

from cressrock.interface import (
    Arrival,
    AttemptEnded,
    Idempotency,
    ListKind,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    RequestClass,
    Send,
    Settings,
)
from cressrock.scheduler.scheduler import Scheduler

BORN, WARM, WINDOW, FROM = 10000.0, 10000.0, 1000.0, 0.2
READ = RequestClass(latency_objective_ms=1000, deadline_ms=5000, idempotency=Idempotency.ALWAYS)
SHARDS = 4


def fleet(hosts, bears, most):
    """Start the hosts, long before the cold node; usual requests are of two units."""
    told = Settings(
        (READ,),
        (Plan(),),
        hosts=hosts,
        tick_ms=2.0,
        max_attempts=3,
        may_cancel=True,
        most_units=most,
        usual_units=2.0,
        cold_from=FROM,
        warm_up_ms=WARM,
        cold_window_ms=WINDOW,
        cold_bears=bears,
    )
    schedulers = [Scheduler(told, 1000 + number, 0.0) for number in range(hosts)]
    for scheduler in schedulers:
        scheduler.act(0.0, [NodeList(ListKind.CACHED, tuple(Node(f"n{i}", i) for i in range(SHARDS)))])
    return schedulers


def play(hosts, bears, rate, seed, delay, *, most=2.0, refused=0.0, late=500.0):
    """Return (time, units) of what arrives at the cold node before it is warm.

    `rate`: requests a second on its shard from all hosts, thrice that in a burst; hosts differ by eight.
    `delay`: from now and a draw, how long a request takes to arrive.  `refused`: part of the attempts.
    """
    rng = random.Random(seed)
    schedulers = fleet(hosts, bears, most)
    weights = [rng.choice((0.3, 1.0, 1.0, 2.4)) for _ in schedulers]
    rates = [rate * SHARDS * weight / sum(weights) for weight in weights]
    news = [
        [
            (BORN + rng.uniform(50, late), Node("fresh", 0, started_at_ms=BORN)),
            (BORN - 1000, Node("n0", 0, state=NodeState.GONE)),
        ]
        for _ in schedulers
    ]
    out = [[] for _ in schedulers]
    arrived, count = [], 0
    for now in range(0, int(BORN + WARM), 40):
        burst = 3.0 if BORN - 500 <= now < BORN + 6000 else 1.0
        for number, scheduler in enumerate(schedulers):
            events = []
            while out[number] and out[number][0][0] <= now:
                _, name, attempt, outcome, at = heapq.heappop(out[number])
                events.append(AttemptEnded(name, attempt, outcome, outcome is Outcome.OK, now - at))
            while news[number] and news[number][-1][0] <= now:
                events.append(NodeList(ListKind.CHANGES, (news[number].pop()[1],)))
            due = rates[number] * burst * 0.04
            for _ in range(int(due + rng.random())):
                count += 1
                units = 2.0 if most == 2.0 else rng.choice((1.0, 2.0, 3.0))
                shard = rng.randrange(SHARDS)
                events.append(Arrival(f"r{count}", f"v{count % 3}", f"r{count}", units, 5000.0, 0, 0, shard))
            for action in scheduler.act(float(now), events):
                if not isinstance(action, Send):
                    continue
                request = scheduler.requests[action.request]
                takes, outcome = 30.0, Outcome.OK
                if action.node == "fresh":
                    takes = delay(now, rng)
                    arrived.append((now + takes, request.arrival.units))
                    outcome = Outcome.FULL if rng.random() < refused else Outcome.OK
                heapq.heappush(
                    out[number], (now + takes + 40, action.request, request.attempts - 1, outcome, now)
                )
    return sorted((at, units) for at, units in arrived if at < BORN + WARM)


def worst(arrived, bears):
    """Return the most that a window held, as a part of N + 2 roots of N + 2 usual requests then."""
    most = 0.0
    for at, _ in arrived:
        grown = 1 + (1 / FROM - 1) * min(1.0, max(0.0, at - BORN) / WARM)
        n = bears * grown / 2.0
        inside = sum(units for then, units in arrived if at - WINDOW < then <= at) / 2.0
        most = max(most, inside / (n + 2 * n**0.5 + 2))
    return most


def prompt(now, rng):
    """Take up to 60 ms, some as long as a slow connection."""
    return rng.uniform(200, 900) if rng.random() < 0.1 else rng.uniform(1, 60)


def dammed(now, rng):
    """Hold what is sent in a cut of four seconds, and let it arrive together."""
    return max(rng.uniform(1, 20), BORN + 7000 - now) if BORN + 3000 <= now < BORN + 7000 else 10.0


@pytest.mark.parametrize("hosts, bears", [(5, 12.0), (5, 8.0), (8, 12.0), (2, 24.0)])
@pytest.mark.parametrize("delay", [prompt, dammed])
def test_few_hosts_never_send_a_cold_node_two_thirds_of_what_it_falls_at(hosts, bears, delay):
    """Danger: parts that count by sending meet at the node; lots fall together.  Here nothing is chance."""
    arrived = play(hosts, bears, 25.0, 3, delay, refused=0.2, late=2500.0)
    assert len(arrived) > 20  # not starved
    assert worst(arrived, bears) <= 2 / 3 + 1e-9


@pytest.mark.parametrize("refused", [0.0, 1.0])
def test_thirty_hosts_under_a_burst_stay_far_under_what_a_cold_node_falls_at(refused):
    """Danger: lots of requests are as many as the requests; in a burst and under repeats they add up."""
    plays = [worst(play(30, 12.0, 40.0, seed, prompt, refused=refused), 12.0) for seed in range(4)]
    assert max(plays) <= 2 / 3


def test_thirty_hosts_whose_requests_are_held_and_freed_send_no_more():
    assert max(worst(play(30, 12.0, 40.0, seed, dammed), 12.0) for seed in range(4)) <= 2 / 3


def test_two_hundred_hosts_stay_under_what_a_cold_node_falls_at():
    """Each sees little of the shard; what they send is as many as chance makes it, of half of N."""
    plays = [play(200, 12.0, 12.0, seed, prompt) for seed in range(2)]
    assert all(len(arrived) > 20 for arrived in plays)
    assert max(worst(arrived, 12.0) for arrived in plays) <= 1.0
