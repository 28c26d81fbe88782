"""Endpoints that are full, unresponsive or unreachable are ejected, and probed again."""

from cressrock.interface import Outcome
from tests.scheduler.support import host, make_arrival, make_attempt_ended, sent


def test_a_responding_node_is_not_ejected_for_one_time_out():
    scheduler = host(initial_window=4.0)
    scheduler.act(0.0, [make_arrival("r0"), make_arrival("r1")])
    scheduler.act(1499.0, [make_attempt_ended("r1", latency_ms=30.0)])
    scheduler.act(1500.0, [make_attempt_ended("r0", Outcome.TIMEOUT, latency_ms=1500.0)])
    assert scheduler.endpoints.by_name["a"].ejection.backoff_ms == 0.0


def test_a_hung_node_is_probed_with_one_request_at_growing_intervals():
    scheduler = host(initial_window=4.0)
    scheduler.act(0.0, [make_arrival(f"r{i}") for i in range(4)])
    scheduler.act(1500.0, [make_attempt_ended(f"r{i}", Outcome.TIMEOUT, latency_ms=1500.0) for i in range(4)])
    trials = 0
    for step in range(40):
        now = 1500.0 + 50 * step
        actions = scheduler.act(now, [make_arrival(f"n{step}", remaining_ms=3000.0)])
        trials += len(sent(actions))
        assert len(scheduler.endpoints.by_name["a"].in_flight) <= 1
        for name in sent(actions):
            scheduler.act(now, [make_attempt_ended(name, Outcome.NO_CONNECTION, latency_ms=1.0)])
    assert 2 <= trials <= 6


def test_the_backoff_for_a_full_queue_grows():
    """Hundreds of hosts that each retry soon would keep the queue full."""
    scheduler = host()
    tries = []
    for now in range(0, 4000, 20):
        for name in sent(scheduler.act(float(now), [make_arrival(f"r{now}")])):
            attempt = scheduler.requests[name].attempts - 1
            tries.append(now)
            scheduler.act(now + 1.0, [make_attempt_ended(name, Outcome.FULL, attempt, latency_ms=1.0)])
    assert 5 <= len(tries) <= 15
