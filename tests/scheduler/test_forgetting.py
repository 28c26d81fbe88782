"""Clients that name ever new volumes: what is kept and what is done for each request stay bounded.

What is forgotten must not refresh a limit (rule 7) nor change the order of requests.
"""

import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cressrock.interface import Plan, TimerFired
from cressrock.scheduler import accounts as accounts_module
from cressrock.scheduler import fair_queue
from cressrock.scheduler.accounts import VolumeAccounts
from cressrock.scheduler.fair_queue import IdleVolumes, ShardQueue
from cressrock.scheduler.request import Request
from tests.scheduler.support import host, make_arrival, make_attempt_ended, sent, settings

GAP_MS = 1.0
KNOWN_VOLUMES = 8
STEPS = 60


def serve(scheduler, numbers, volume_of, now_ms):
    """Serve requests one by one, a millisecond apart; return the time."""
    for number in numbers:
        now_ms += GAP_MS
        name = f"r{number}"
        actions = scheduler.act(now_ms, [make_arrival(name, volume_of(number)), TimerFired(0)])
        assert sent(actions) == [name]
        scheduler.act(now_ms, [make_attempt_ended(name, latency_ms=GAP_MS)])
    return now_ms


def count_instructions(action):
    """Count the bytecode instructions that `action` executes, its callees included."""
    count = 0

    def trace(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(previous)
    return count


def instructions_after(seen):
    """Count the instructions for some requests of known volumes, once `seen` other volumes were seen."""
    scheduler = host(initial_window=4.0)
    now_ms = serve(scheduler, range(seen), lambda number: f"seen{number}", 0.0)
    now_ms = serve(scheduler, range(seen, seen + 200), lambda number: f"v{number % KNOWN_VOLUMES}", now_ms)
    numbers = range(seen + 200, seen + 200 + STEPS)
    return count_instructions(
        lambda: serve(scheduler, numbers, lambda number: f"v{number % KNOWN_VOLUMES}", now_ms)
    )


@pytest.mark.parametrize("seen", [10_000, 100_000])
def test_a_batch_does_not_cost_more_for_volumes_that_were_seen(seen):
    """Regression (issue 61, picture (b)): each batch and each period went through all volumes ever seen."""
    assert instructions_after(seen) <= 1.2 * instructions_after(100)


def test_the_volumes_that_are_kept_are_bounded():
    """Regression (issue 61, picture (b)): memory grew with each volume for as long as the process ran."""
    scheduler = host(initial_window=4.0)
    serve(scheduler, range(20_000), lambda number: f"seen{number}", 0.0)
    assert len(scheduler.accounts.by_volume) <= accounts_module.MAX_IDLE_ACCOUNTS + 1
    kept = sum(len(queue.volumes) for queue in scheduler.queues.values())
    served_in_a_period = fair_queue.COMPENSATION_PERIOD_MS / GAP_MS
    assert kept <= fair_queue.MAX_IDLE_VOLUMES + served_in_a_period + 2


PLANS = (
    Plan(reserve=4.0, limit_rate=10.0, limit_burst=16.0, limit_slack=8.0),
    Plan(limit_rate=50.0, limit_burst=5.0),
)
STEP = st.tuples(
    st.integers(0, 4),  # volume, whose number is also its plan's
    st.floats(0.0, 3000.0),  # pause in milliseconds
    st.floats(0.5, 8.0),  # units
    st.sampled_from([True, False, None]),  # whether the attempt reached the store
)


@given(st.lists(STEP, max_size=60), st.integers(0, 2), st.integers(1, 3))
def test_a_limit_is_not_refreshed_by_being_forgotten(steps, max_idle, hosts):
    """At any time a volume has no more of its limit than if nothing had been forgotten since the start."""
    scheduler_settings = settings(plans=PLANS)
    reference = VolumeAccounts(scheduler_settings, 0.0, max_idle=1_000_000)
    forgetting = VolumeAccounts(scheduler_settings, 0.0, max_idle=max_idle)
    now_ms = 0.0
    for number, (volume, pause_ms, units, reached) in enumerate(steps):
        now_ms += pause_ms
        plan = PLANS[volume % len(PLANS)]
        name = f"v{volume}"
        arrival = make_arrival(f"r{number}", name, units=units)
        limits = []
        opened = [each.open(name, plan, hosts) for each in (reference, forgetting)]
        for account in opened:
            account.refill(plan, now_ms)
            limits.append(account.limit)
        assert limits[1] <= limits[0] + 1e-6
        if limits[1] >= units:
            for account in opened:
                request = Request(arrival, scheduler_settings.classes[0], plan, account, now_ms, now_ms)
                account.charge(request)
                account.settle(request, reached, now_ms)
        for each in (reference, forgetting):
            each.close(name, now_ms)
    assert len(forgetting.by_volume) <= max_idle


@given(st.floats(0.0, 100_000.0), st.floats(0.0, 20.0))
def test_a_full_account_is_forgotten_without_a_loss(now_ms, units):
    """A new one of the same plan has the same limit, unless the volume could not have filled it either."""
    plan = PLANS[0]
    accounts = VolumeAccounts(settings(plans=PLANS), 0.0, max_idle=0)
    account = accounts.open("old", plan, 1)
    account.refill(plan, now_ms)
    account.limit -= units
    limit = account.limit
    accounts.close("old", now_ms)
    assert not accounts.by_volume
    account = accounts.open("new", plan, 1)
    account.refill(plan, now_ms)
    assert account.limit == pytest.approx(limit, abs=1e-6)


QUEUE_STEP = st.tuples(
    st.sampled_from(["add", "send", "serve", "period"]),
    st.integers(0, 5),  # volume
    st.floats(0.5, 8.0),  # units
    st.booleans(),  # reserved
)


@given(st.lists(QUEUE_STEP, max_size=80))
def test_a_forgotten_volume_gets_the_tags_that_it_would_have_had(steps):
    """With every idle volume forgotten at once, all tags and compensations are as without forgetting."""
    accounts = VolumeAccounts(settings(), 0.0)
    queues = [ShardQueue(IdleVolumes(max_count)) for max_count in (1_000_000, 0)]
    waiting = []
    for number, (what, volume, units, reserved) in enumerate(steps):
        name = f"v{volume}"
        if what == "add":
            pair = []
            for queue in queues:
                arrival = make_arrival(f"r{number}", name, units=units)
                plan, cls = settings().plans[volume % 2], settings().classes[0]
                request = Request(arrival, cls, plan, accounts.open(name, plan, 1), 0.0, 0.0)
                queue.add(request)
                pair.append(request)
            assert pair[0].virtual_arrival == pair[1].virtual_arrival
            waiting.append(pair)
        elif what == "send" and waiting:
            pair = waiting.pop(0)
            tags = []
            for queue, request in zip(queues, pair, strict=True):
                volume_queue = queue.volume(request.arrival.volume)
                tags.append((volume_queue.start_tag(request, reserved), volume_queue.compensation))
                queue.record_sent(request, reserved)
                queue.remove(request)
            assert tags[0] == tags[1]
        elif what == "serve":
            for queue in queues:
                queue.volume(name).served_units += units
        elif what == "period":
            for queue in queues:
                queue.compensate(2.0)
        assert queues[0].is_inactive == queues[1].is_inactive
        names = [sorted(volume.name for volume in queue.waiting_volumes()) for queue in queues]
        assert names[0] == names[1]
