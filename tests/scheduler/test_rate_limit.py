"""A volume's limit: the part that a host spends of it."""

import pytest

from cressrock.interface import Arrival, AttemptEnded, Outcome, Plan, TimerFired
from tests.scheduler.support import ask, done, host, sent


def test_a_limit_starts_empty_and_holds_this_hosts_part():
    scheduler = host(depth=10.0)
    total = 0.0
    for step in range(400):
        now = 50.0 * step
        actions = scheduler.act(now, [ask(f"r{step}", plan=2, units=1.0, writers=2, remaining=400.0)])
        total += len(sent(actions))
        assert total <= (16 + 8) / 2 + 10 / 2 * now / 1000
        # As if a former life had spent it all at this moment.
        assert total <= 10 / 2 * now / 1000 + 1e-6
        for name in sent(actions):
            scheduler.act(now, [done(name, lag=1.0)])
    assert total > 60


def test_late_work_leaves_the_limit_to_what_is_on_time():
    scheduler = host(depth=1.0)
    # Filling at 5 units a second, the limit pays for 8 units only after the aim of 300 ms.
    actions = scheduler.act(0.0, [ask("old", plan=2, units=8.0, writers=2, remaining=12000.0)])
    for now in range(20, 1800, 20):
        actions += scheduler.act(float(now), [TimerFired(0)])
    assert sent(actions) == [] and scheduler.accounts["v"].limit > 8.0
    assert sent(scheduler.act(1800.0, [ask("new", plan=2, units=2.0, writers=2)])) == ["new"]


def test_no_figure_of_a_late_meter_fills_a_part():
    """Danger: a low figure of a finished period says nothing of what a former life spent after it."""
    metered = Plan(rate=5, limit_rate=10, limit_burst=16, limit_slack=8)
    for used in (0, 1, 50, 300):
        scheduler = host(depth=10.0, plans=(metered,), meter_period_ms=1000.0)
        scheduler.act(0.0, [ask("first", units=8.0, writers=4, remaining=100.0)])
        assert sent(scheduler.act(900.0, [ask("r", units=2.0, writers=4)])) == ["r"]
        scheduler.act(920.0, [AttemptEnded("r", 0, Outcome.OK, True, 20.0, used)])
        assert scheduler.accounts["v"].limit == pytest.approx(10 / 4 * 0.92 - 2)


def test_a_part_leaves_out_what_may_still_arrive():
    """Danger: drawn now and held on the way, it arrives beside a part that has filled again."""
    scheduler = host(depth=10.0)
    scheduler.act(0.0, [ask("first", plan=2, units=1.0, writers=2)])
    scheduler.act(10000.0, [TimerFired(0), *[ask(f"r{i}", plan=2, units=2.0, writers=2) for i in range(3)]])
    volume = scheduler.accounts["v"]
    held = volume.in_flight_units
    assert held == 6.0
    scheduler.act(20000.0, [ask("now", plan=2, units=2.0, writers=2)])
    assert volume.limit + volume.in_flight_units == pytest.approx(24 / 2 * 0.999)


@pytest.mark.parametrize(
    ("reached", "after"), [(True, 0.0), (None, 2.0), (False, 0.0)], ids=["there", "perhaps", "never"]
)
def test_a_further_attempt_pays_again_unless_the_first_is_known_to_have_arrived(reached, after):
    scheduler = host(depth=10.0, max_attempts=3)
    scheduler.act(0.0, [ask("warm", plan=2, units=1.0, writers=2, remaining=9000.0)])
    scheduler.act(5000.0, [ask("r", plan=2, units=2.0, writers=2)])
    volume = scheduler.accounts["v"]
    before, at = volume.limit, volume.refilled_at_ms
    outcome = Outcome.RESET if reached is not False else Outcome.ABANDONED
    actions = scheduler.act(5000.0, [AttemptEnded("r", 0, outcome, False, 1.0, charged=reached)])
    assert sent(actions) == ["r"] and volume.refilled_at_ms == at
    assert volume.limit == pytest.approx(before - after)
    assert volume.in_flight_units == (2.0 if reached is not True else 0.0)


def test_the_largest_late_request_leaves_within_the_smallest_part():
    """Danger: a part of two largest requests never held the largest and the half it is to spare."""
    scheduler = host(depth=10.0, plans=(Plan(limit_rate=10, limit_burst=16, limit_slack=0.01),))
    scheduler.act(0.0, [ask("first", units=1.0, remaining=100.0)])
    late = Arrival("late", "v", "k", 8.0, 1500.0, 0, 0, 0, 1, waited_ms=1000.0)
    assert sent(scheduler.act(9000.0, [late])) == ["late"]


def test_a_surge_on_a_slow_node_does_not_pass_the_limit_nor_stall_the_rest():
    scheduler = host(depth=1.0)
    scheduler.act(0.0, [ask("warm", "calm", plan=1)])
    surge = [ask(f"s{i}", "surge", plan=2, writers=8) for i in range(40)]
    scheduler.act(10.0, surge + [ask("c1", "calm", plan=1)])
    actions = scheduler.act(20.0, [done("warm", lag=20.0)])
    assert sent(actions) == ["c1"]
