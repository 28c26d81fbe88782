"""Leased rate limits: the total stays within the limit's slack, whatever is lost or delayed."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.dispatch.quota import EdgeQuota, lease_duration_ms
from cressrock.interface import (
    Arrival,
    LimitLease,
    ListKind,
    Node,
    NodeList,
    Plan,
    RequestClass,
    RetryBudgetUsage,
    Send,
    Settings,
)
from cressrock.link import messages as m
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.scheduler.scheduler import Scheduler

PLAN = Plan(limit_rate=24.0, limit_burst=48.0, limit_slack=8.0)


class TokenBucket:
    """The limit's token bucket, as the lab's judge models it."""

    def __init__(self):
        self.level_units, self.updated_at_ms, self.lowest_units = PLAN.limit_burst, 0.0, 0.0

    def take(self, now, units):
        self.level_units = (
            min(PLAN.limit_burst, self.level_units + (now - self.updated_at_ms) / 1000 * PLAN.limit_rate)
            - units
        )
        self.updated_at_ms, self.lowest_units = now, min(self.lowest_units, self.level_units)


def test_share_starts_empty_refills_and_excludes_units_in_flight():
    quota = EdgeQuota((PLAN,), lambda volume: 2, 1000.0, 0.0)
    assert quota.lease("v", 0, 5.0, 0.0) == 0.0
    assert quota.lease("v", 0, 5.0, 250.0) == pytest.approx(3.0)  # half of 24 units per second
    assert quota.lease("v", 0, 3.0, 260.0) == 0.0  # all waiting units are leased already
    quota.record_sent("v", 0, 3.0, 270.0)
    full = quota.lease("v", 0, 1000.0, 1e6)
    # The share, minus the refill during one lease and the units in flight.
    assert full == pytest.approx(28 * 0.999 - 12 - 3)
    quota.record_outcome("v", 0, 3.0, 1e6)
    assert quota.lease("v", 0, 1000.0, 1e6 + 1000) == pytest.approx(12.0)


def test_small_burst_shortens_leases():
    assert lease_duration_ms(PLAN, 1000.0) == 1000.0
    assert lease_duration_ms(Plan(limit_rate=100.0, limit_burst=10.0), 1000.0) == 50.0
    assert lease_duration_ms(Plan(), 1000.0) == 1000.0


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10**6), st.integers(1, 5))
def test_limit_holds_however_leases_are_lost_delayed_or_spent(seed, edges):
    """Edges lease to planners that appear, vanish, keep units until expiry and spend them all at once."""
    rng = random.Random(seed)
    quotas = [EdgeQuota((PLAN,), lambda volume: edges, 1000.0, 0.0) for _ in range(edges)]
    duration_ms, token_bucket, now = lease_duration_ms(PLAN, 1000.0), TokenBucket(), 0.0
    leases, in_flight = [], []
    for _ in range(400):
        now += rng.choice((0.0, 1.0, 30.0, 400.0, 3000.0)) * rng.random()
        for arrival in sorted(f for f in in_flight if f[0] <= now):
            token_bucket.take(arrival[0], arrival[2])
            quotas[arrival[1]].record_outcome("v", 0, arrival[2], arrival[0])
        in_flight = [f for f in in_flight if f[0] > now]
        leases = [(until, units) for until, units in leases if until > now]
        edge = rng.randrange(edges)
        if rng.random() < 0.6:
            units = quotas[edge].lease("v", 0, rng.choice((1.0, 8.0, 100.0)), now)
            if units and rng.random() < 0.9:
                # The planner counts the duration from a clock stamp taken before the lease.
                leases.append((now + duration_ms * rng.random() ** 0.2, units))
        elif leases and not in_flight:
            _, units = leases.pop(rng.randrange(len(leases)))
            # Any edge may send; the attempt is in flight for a while and may arrive after the lease expired.
            quotas[edge].record_sent("v", 0, units, now)
            in_flight.append((now + rng.choice((0.0, 5.0, 800.0)), edge, units))
    assert token_bucket.lowest_units >= -PLAN.limit_slack - 1e-6, (seed, token_bucket.lowest_units)


def test_scheduler_spends_only_unexpired_leases():
    request_classes = (RequestClass(latency_objective_ms=300, deadline_ms=4000),)
    scheduler = Scheduler(Settings(request_classes, (PLAN,), limits_lent=True), 1, 0.0)
    scheduler.act(0.0, [NodeList(ListKind.COMPLETE, (Node("n", 0),))])

    def sent(now, *events):
        return [a.request for a in scheduler.act(now, list(events)) if isinstance(a, Send)]

    assert sent(5000.0, Arrival("a", "v", "", 2.0, 900.0, shard=0)) == []
    assert sent(5001.0, LimitLease("v", 1.5, 5500.0)) == []
    assert sent(5002.0, LimitLease("v", 0.5, 5300.0)) == ["a"]
    sent(5003.0, Arrival("b", "v", "", 1.0, 3000.0, shard=0), LimitLease("w", 9.0, 9000.0))
    assert sent(5004.0, LimitLease("v", 1.0, 5004.0)) == []  # expired on arrival
    assert sent(5005.0, LimitLease("v", 1.0, 5600.0)) == ["b"]


class RecordingDecisions:
    """A decision module that records events and takes no action."""

    def __init__(self):
        self.events = []

    def act(self, now_ms, events):
        self.events += events
        return []


def test_lease_is_valid_from_the_planner_stamp_and_ignored_without_one():
    decisions = RecordingDecisions()
    planner = Planner(decisions, (RequestClass(300, 4000),), 1, PlannerLimits(lease_ms=1000.0), (PLAN,))
    session = planner.join("e", "l", 100.0)
    request = m.Request(1, 7e6, "r", "v", "", 1.0, 7e6 + 900, 0, 0, 0, 1, leased_units=1.0, stamp=0)
    assert planner.receive_event("e", session, request)
    orders = planner.step(150.0).orders.get("e", [])
    assert decisions.events[0] == LimitLease("v", 1.0, 1100.0)  # from the join, by the planner's clock
    assert orders == []  # the stamp of the join is recent enough
    assert planner.step(400.0).orders["e"] == [m.ClockStamp(1)]
    assert planner.receive_event("e", session, m.LimitLease(2, 7e6, "v", 0, 2.0, 1))
    assert planner.receive_event("e", session, m.LimitLease(3, 7e6, "v", 0, 2.0, 9))  # unknown stamp
    assert planner.receive_event("e", session, m.LimitLease(4, 7e6, "v", 3, 2.0, 1))  # no such plan
    planner.step(500.0)
    assert [e for e in decisions.events if isinstance(e, LimitLease)][1:] == [LimitLease("v", 2.0, 1400.0)]
    assert planner.dropped["loan without a stamp"] == 1


def test_scheduler_counts_retries_and_arrivals_of_other_dispatchers():
    request_classes = (RequestClass(latency_objective_ms=300, deadline_ms=4000),)
    scheduler = Scheduler(
        Settings(request_classes, budget_window_ms=1000.0, budget_share=0.5, max_attempts=3), 1, 0.0
    )
    scheduler.act(100.0, [RetryBudgetUsage((50.0,), (10.0, 20.0, 30.0, 40.0))])
    assert scheduler.retry_budget.allows_retry(scheduler.now_ms)
    scheduler.act(101.0, [RetryBudgetUsage((60.0, 40.0), ())])
    assert not scheduler.retry_budget.allows_retry(scheduler.now_ms)
    scheduler.act(1045.0, [])
    assert list(scheduler.retry_budget.retried_at_ms) == [
        40.0,
        50.0,
        60.0,
    ] and not scheduler.retry_budget.allows_retry(scheduler.now_ms)
    scheduler.act(1061.0 + 2.0, [])
    scheduler.retry_budget.allows_retry(scheduler.now_ms)
    assert not scheduler.retry_budget.retried_at_ms and not scheduler.retry_budget.arrived_at_ms
