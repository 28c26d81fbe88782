"""The window D: how it falls and grows, its rests under one, and its tests."""

from cressrock.interface import AttemptEnded, ClientLeft, Outcome
from cressrock.scheduler.concurrency_limit import MAX_WINDOW_REQUESTS
from tests.scheduler.support import ask, done, host, sent


def test_no_more_than_d_are_out():
    scheduler = host(depth=3.0)
    assert len(sent(scheduler.act(0.0, [ask(f"r{i}") for i in range(20)]))) == 3
    assert len(sent(scheduler.act(1.0, [done("r0", lag=1.0)]))) >= 1
    assert len(scheduler.endpoints.by_name["a"].in_flight) <= MAX_WINDOW_REQUESTS


def test_d_falls_when_answers_are_slow_and_grows_when_quick():
    scheduler = host(depth=4.0)
    name = 0
    scheduler.act(0.0, [ask(f"r{i}") for i in range(30)])
    for step in range(8):
        out = next(iter(scheduler.endpoints.by_name["a"].in_flight))
        scheduler.act(10.0 + step, [done(out, lag=5.0)])
        name += 1
    grown = scheduler.endpoints.by_name["a"].limit.window
    assert grown > 4.0
    for step in range(8):
        out = next(iter(scheduler.endpoints.by_name["a"].in_flight))
        scheduler.act(30.0 + step, [done(out, lag=290.0)])
    assert scheduler.endpoints.by_name["a"].limit.window < grown


def test_a_full_node_halves_d_and_rests():
    scheduler = host(depth=4.0)
    scheduler.act(0.0, [ask(f"r{i}") for i in range(6)])
    actions = scheduler.act(1.0, [done("r0", Outcome.FULL, lag=1.0)])
    assert scheduler.endpoints.by_name["a"].limit.window == 2.0
    assert sent(actions) == []


def test_a_bad_figure_fades_so_that_a_node_is_not_locked_out():
    scheduler = host()
    node = scheduler.endpoints.by_name["a"]
    node.limit.latency_ms, node.limit.wait_ratio, node.limit.window = 600.0, 1.0, 0.1
    scheduler.endpoints.active["a"] = node
    got = []
    for step in range(60):
        got += sent(scheduler.act(50.0 * step, [ask(f"r{step}")]))
    assert got


def test_clients_that_leave_early_do_not_hide_a_jam():
    """Danger: they take the slow answers with them; alone, and when the host may not cancel."""
    for may_cancel in (True, False):
        scheduler = host(depth=4.0, may_cancel=may_cancel)
        node = scheduler.endpoints.by_name["a"]
        for step in range(12):
            now = 1000.0 * step
            names = sent(scheduler.act(now, [ask(f"r{step}")]))
            scheduler.act(now + 100, [ClientLeft(name) for name in names])
            scheduler.act(now + 101, [AttemptEnded(n, 0, Outcome.CANCELLED, True, 101.0) for n in names])
        assert node.limit.wait_ratio > 0.4 and node.limit.window < 1


def test_d_under_one_is_a_rest_between_sends():
    """Danger: one request out from each of many hosts is a jam by itself."""
    scheduler = host(hosts=40)
    node = scheduler.endpoints.by_name["a"]
    for step in range(5):
        scheduler.act(0.0, [ask(f"q{step}")])
        scheduler.act(0.0, [done(f"q{step}", lag=20.0)])
    node.limit.latency_ms, node.limit.wait_ratio, node.limit.window = 100.0, 0.6, 0.2
    scheduler.endpoints.active["a"] = node
    times, out = [], []
    for step in range(300):
        now = 10.0 * step
        out = sent(scheduler.act(now, [ask(f"r{step}"), *[done(name, lag=180.0) for name in out]]))
        times += [now] * len(out)
    assert 2 <= len(times) <= 10 and min(b - a for a, b in zip(times, times[1:], strict=False)) >= 200


def test_a_wide_d_is_put_to_the_test_and_comes_back():
    """Danger: a base too low, of repeats, keeps D from growing; one learnt from the own queue lets it run."""
    scheduler = host(depth=8.0)
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
        got = sent(scheduler.act(now, [*[done(name, lag=30.0) for name in due], ask(f"r{step}")]))
        pending += [(now + 30.0, name) for name in got]
        least = min(least, len(node.in_flight)) if step > 10 else least
    assert (
        least <= 1
        and node.limit.unloaded.base_ms >= 25.0
        and node.limit.window >= 7.0
        and not node.limit.window_before_test
    )


def test_a_test_of_d_outlives_an_attempt_that_ends_unanswered_and_ends_with_a_full_queue():
    """Danger: one client that leaves while D is put back would leave it at one for good."""
    for outcome, kept in ((Outcome.CANCELLED, True), (Outcome.FULL, False)):
        scheduler = host(depth=8.0)
        node = scheduler.endpoints.by_name["a"]
        scheduler.act(0.0, [ask("first")])
        node.limit.next_test_at_ms = 0.0
        scheduler.act(20.0, [done("first", lag=20.0)])
        assert node.limit.window == 1.0 and node.limit.window_before_test == 8.0
        scheduler.act(21.0, [ask("second")])
        scheduler.act(22.0, [AttemptEnded("second", 0, outcome, False, 1.0)])
        assert bool(node.limit.window_before_test) is kept
