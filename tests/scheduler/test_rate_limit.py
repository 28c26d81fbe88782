"""A host's share of a volume's limit."""

import pytest

from cressrock.interface import Arrival, AttemptEnded, Outcome, Plan, TimerFired
from tests.scheduler.support import host, make_arrival, make_attempt_ended, sent


def test_a_limit_starts_empty_and_is_bounded_by_this_hosts_share():
    scheduler = host(initial_window=10.0)
    total = 0.0
    for step in range(400):
        now = 50.0 * step
        actions = scheduler.act(
            now, [make_arrival(f"r{step}", plan=2, units=1.0, sharing_hosts=2, remaining_ms=400.0)]
        )
        total += len(sent(actions))
        assert total <= (16 + 8) / 2 + 10 / 2 * now / 1000
        # The host may have spent its whole share just before it restarted.
        assert total <= 10 / 2 * now / 1000 + 1e-6
        for name in sent(actions):
            scheduler.act(now, [make_attempt_ended(name, latency_ms=1.0)])
    assert total > 60


def test_late_requests_leave_the_limit_to_those_on_time():
    scheduler = host(initial_window=1.0)
    # At 5 units per second the limit covers 8 units only after the objective of 300 ms.
    actions = scheduler.act(
        0.0, [make_arrival("old", plan=2, units=8.0, sharing_hosts=2, remaining_ms=12000.0)]
    )
    for now in range(20, 1800, 20):
        actions += scheduler.act(float(now), [TimerFired(0)])
    assert sent(actions) == [] and scheduler.accounts.by_volume["v"].limit > 8.0
    assert sent(scheduler.act(1800.0, [make_arrival("new", plan=2, units=2.0, sharing_hosts=2)])) == ["new"]


def test_no_value_of_a_delayed_usage_report_fills_a_share():
    """Low reported usage of a past period says nothing about what was spent after it, before a restart."""
    metered = Plan(rate=5, limit_rate=10, limit_burst=16, limit_slack=8)
    for used in (0, 1, 50, 300):
        scheduler = host(initial_window=10.0, plans=(metered,), meter_period_ms=1000.0)
        scheduler.act(0.0, [make_arrival("first", units=8.0, sharing_hosts=4, remaining_ms=100.0)])
        assert sent(scheduler.act(900.0, [make_arrival("r", units=2.0, sharing_hosts=4)])) == ["r"]
        scheduler.act(920.0, [AttemptEnded("r", 0, Outcome.OK, True, 20.0, used)])
        assert scheduler.accounts.by_volume["v"].limit == pytest.approx(10 / 4 * 0.92 - 2)


def test_outstanding_units_reduce_the_capacity_of_a_share():
    """Otherwise delayed units would arrive together with those of a share that was refilled meanwhile."""
    scheduler = host(initial_window=10.0)
    scheduler.act(0.0, [make_arrival("first", plan=2, units=1.0, sharing_hosts=2)])
    scheduler.act(
        10000.0,
        [TimerFired(0), *[make_arrival(f"r{i}", plan=2, units=2.0, sharing_hosts=2) for i in range(3)]],
    )
    volume = scheduler.accounts.by_volume["v"]
    held = volume.in_flight_units
    assert held == 6.0
    scheduler.act(20000.0, [make_arrival("now", plan=2, units=2.0, sharing_hosts=2)])
    assert volume.limit + volume.in_flight_units == pytest.approx(24 / 2 * 0.999)


@pytest.mark.parametrize(
    ("reached", "after"), [(True, 0.0), (None, 2.0), (False, 0.0)], ids=["arrived", "unknown", "not_sent"]
)
def test_a_retry_is_charged_again_only_if_the_first_attempt_may_have_arrived(reached, after):
    scheduler = host(initial_window=10.0, max_attempts=3)
    scheduler.act(0.0, [make_arrival("warm", plan=2, units=1.0, sharing_hosts=2, remaining_ms=9000.0)])
    scheduler.act(5000.0, [make_arrival("r", plan=2, units=2.0, sharing_hosts=2)])
    volume = scheduler.accounts.by_volume["v"]
    before, at = volume.limit, volume.refilled_at_ms
    outcome = Outcome.RESET if reached is not False else Outcome.ABANDONED
    actions = scheduler.act(5000.0, [AttemptEnded("r", 0, outcome, False, 1.0, charged=reached)])
    assert sent(actions) == ["r"] and volume.refilled_at_ms == at
    assert volume.limit == pytest.approx(before - after)
    assert volume.in_flight_units == (2.0 if reached is not True else 0.0)


def test_the_largest_late_request_fits_into_the_smallest_share():
    """A share of two largest requests must cover the largest plus the units that late requests leave."""
    scheduler = host(initial_window=10.0, plans=(Plan(limit_rate=10, limit_burst=16, limit_slack=0.01),))
    scheduler.act(0.0, [make_arrival("first", units=1.0, remaining_ms=100.0)])
    late = Arrival("late", "v", "k", 8.0, 1500.0, 0, 0, 0, 1, waited_ms=1000.0)
    assert sent(scheduler.act(9000.0, [late])) == ["late"]


def test_a_surge_of_a_limited_volume_does_not_stall_other_volumes():
    scheduler = host(initial_window=1.0)
    scheduler.act(0.0, [make_arrival("warm", "calm", plan=1)])
    surge = [make_arrival(f"s{i}", "surge", plan=2, sharing_hosts=8) for i in range(40)]
    scheduler.act(10.0, surge + [make_arrival("c1", "calm", plan=1)])
    actions = scheduler.act(20.0, [make_attempt_ended("warm", latency_ms=20.0)])
    assert sent(actions) == ["c1"]
