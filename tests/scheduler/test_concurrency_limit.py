"""The concurrency limit D: how it shrinks and grows, pauses below one, and window tests."""

from cressrock.interface import AttemptEnded, ClientLeft, Outcome
from cressrock.scheduler.concurrency_limit import MAX_WINDOW_REQUESTS
from tests.scheduler.support import host, make_arrival, make_attempt_ended, sent


def test_no_more_than_d_attempts_are_outstanding():
    scheduler = host(initial_window=3.0)
    assert len(sent(scheduler.act(0.0, [make_arrival(f"r{i}") for i in range(20)]))) == 3
    assert len(sent(scheduler.act(1.0, [make_attempt_ended("r0", latency_ms=1.0)]))) >= 1
    assert len(scheduler.endpoints.by_name["a"].in_flight) <= MAX_WINDOW_REQUESTS


def test_d_shrinks_with_slow_responses_and_grows_with_fast_ones():
    scheduler = host(initial_window=4.0)
    name = 0
    scheduler.act(0.0, [make_arrival(f"r{i}") for i in range(30)])
    for step in range(8):
        out = next(iter(scheduler.endpoints.by_name["a"].in_flight))
        scheduler.act(10.0 + step, [make_attempt_ended(out, latency_ms=5.0)])
        name += 1
    grown = scheduler.endpoints.by_name["a"].limit.window
    assert grown > 4.0
    for step in range(8):
        out = next(iter(scheduler.endpoints.by_name["a"].in_flight))
        scheduler.act(30.0 + step, [make_attempt_ended(out, latency_ms=290.0)])
    assert scheduler.endpoints.by_name["a"].limit.window < grown


def test_a_full_queue_halves_d_and_ejects_the_node():
    scheduler = host(initial_window=4.0)
    scheduler.act(0.0, [make_arrival(f"r{i}") for i in range(6)])
    actions = scheduler.act(1.0, [make_attempt_ended("r0", Outcome.FULL, latency_ms=1.0)])
    assert scheduler.endpoints.by_name["a"].limit.window == 2.0
    assert sent(actions) == []


def test_high_smoothed_values_decay_so_that_a_node_is_used_again():
    scheduler = host()
    node = scheduler.endpoints.by_name["a"]
    node.limit.latency_ms, node.limit.wait_ratio, node.limit.window = 600.0, 1.0, 0.1
    scheduler.endpoints.active["a"] = node
    got = []
    for step in range(60):
        got += sent(scheduler.act(50.0 * step, [make_arrival(f"r{step}")]))
    assert got


def test_clients_that_leave_early_do_not_hide_an_overload():
    """Early disconnects hide the slow responses, whether or not the host may cancel attempts."""
    for may_cancel in (True, False):
        scheduler = host(initial_window=4.0, may_cancel=may_cancel)
        node = scheduler.endpoints.by_name["a"]
        for step in range(12):
            now = 1000.0 * step
            names = sent(scheduler.act(now, [make_arrival(f"r{step}")]))
            scheduler.act(now + 100, [ClientLeft(name) for name in names])
            scheduler.act(now + 101, [AttemptEnded(n, 0, Outcome.CANCELLED, True, 101.0) for n in names])
        assert node.limit.wait_ratio > 0.4 and node.limit.window < 1


def test_d_below_one_spaces_the_sends():
    """One outstanding request from each of many hosts is already an overload."""
    scheduler = host(hosts=40)
    node = scheduler.endpoints.by_name["a"]
    for step in range(5):
        scheduler.act(0.0, [make_arrival(f"q{step}")])
        scheduler.act(0.0, [make_attempt_ended(f"q{step}", latency_ms=20.0)])
    node.limit.latency_ms, node.limit.wait_ratio, node.limit.window = 100.0, 0.6, 0.2
    scheduler.endpoints.active["a"] = node
    times, out = [], []
    for step in range(300):
        now = 10.0 * step
        out = sent(
            scheduler.act(
                now, [make_arrival(f"r{step}"), *[make_attempt_ended(name, latency_ms=180.0) for name in out]]
            )
        )
        times += [now] * len(out)
    assert 2 <= len(times) <= 10 and min(b - a for a, b in zip(times, times[1:], strict=False)) >= 200


def test_a_wide_d_is_tested_at_one_and_restored():
    """A base latency lowered by repeats keeps D small; one raised by the own queue lets D grow freely."""
    scheduler = host(initial_window=8.0)
    node = scheduler.endpoints.by_name["a"]
    node.limit.next_test_at_ms = 0.0
    (
        node.limit.unloaded.samples,
        node.limit.unloaded.base_ms,
        node.limit.unloaded.smoothed_ms,
        node.limit.unloaded.mean_units,
    ) = 50.0, 10.0, 30.0, 2.0
    pending, least, now = [], 9, 0.0
    for step in range(200):
        now += 5.0
        due = [name for at, name in pending if at <= now]
        pending = [(at, name) for at, name in pending if at > now]
        got = sent(
            scheduler.act(
                now, [*[make_attempt_ended(name, latency_ms=30.0) for name in due], make_arrival(f"r{step}")]
            )
        )
        pending += [(now + 30.0, name) for name in got]
        least = min(least, len(node.in_flight)) if step > 10 else least
    assert (
        least <= 1
        and node.limit.unloaded.base_ms >= 25.0
        and node.limit.window >= 7.0
        and not node.limit.window_before_test
    )


def test_a_window_test_survives_a_cancelled_attempt_and_ends_at_a_full_queue():
    """Otherwise a client that leaves during the test would keep D at one permanently."""
    for outcome, kept in ((Outcome.CANCELLED, True), (Outcome.FULL, False)):
        scheduler = host(initial_window=8.0)
        node = scheduler.endpoints.by_name["a"]
        scheduler.act(0.0, [make_arrival("first")])
        node.limit.next_test_at_ms = 0.0
        scheduler.act(20.0, [make_attempt_ended("first", latency_ms=20.0)])
        assert node.limit.window == 1.0 and node.limit.window_before_test == 8.0
        scheduler.act(21.0, [make_arrival("second")])
        scheduler.act(22.0, [AttemptEnded("second", 0, outcome, False, 1.0)])
        assert bool(node.limit.window_before_test) is kept
