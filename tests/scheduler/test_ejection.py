"""Endpoints that are full, silent or unreachable rest, and are tried again."""

from cressrock.interface import Outcome
from tests.scheduler.support import ask, done, host, sent


def test_a_node_that_is_heard_is_not_condemned_by_one_time_out():
    scheduler = host(depth=4.0)
    scheduler.act(0.0, [ask("r0"), ask("r1")])
    scheduler.act(1499.0, [done("r1", lag=30.0)])
    scheduler.act(1500.0, [done("r0", Outcome.TIMEOUT, lag=1500.0)])
    assert scheduler.endpoints.by_name["a"].ejection.backoff_ms == 0.0


def test_a_hung_node_is_tried_with_one_request_at_growing_intervals():
    scheduler = host(depth=4.0)
    scheduler.act(0.0, [ask(f"r{i}") for i in range(4)])
    scheduler.act(1500.0, [done(f"r{i}", Outcome.TIMEOUT, lag=1500.0) for i in range(4)])
    trials = 0
    for step in range(40):
        now = 1500.0 + 50 * step
        actions = scheduler.act(now, [ask(f"n{step}", remaining=3000.0)])
        trials += len(sent(actions))
        assert len(scheduler.endpoints.by_name["a"].in_flight) <= 1
        for name in sent(actions):
            scheduler.act(now, [done(name, Outcome.NO_CONNECTION, lag=1.0)])
    assert 2 <= trials <= 6


def test_a_full_queue_is_left_alone_for_longer_each_time():
    """Danger: hundreds of hosts that knock again after a moment keep it full."""
    scheduler = host()
    tries = []
    for now in range(0, 4000, 20):
        for name in sent(scheduler.act(float(now), [ask(f"r{now}")])):
            attempt = scheduler.requests[name].attempts - 1
            tries.append(now)
            scheduler.act(now + 1.0, [done(name, Outcome.FULL, attempt, lag=1.0)])
    assert 5 <= len(tries) <= 15
