"""The watch's schedule: fixed sequences, random orders of failures, and many watches after one outage."""

import heapq
import itertools
import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cressrock.platform.watch_schedule import (
    CHANGE_DEADLINE_MS,
    MAX_QUEUE_MS,
    MOVE_DEADLINE_MS,
    WatchSchedule,
)

LONG_INTERVAL_MS, SHORT_INTERVAL_MS = 10_000.0, 1000.0  # two settings of ask_every_ms


def make_schedule(draw=lambda: 0.5, ask_every_ms=LONG_INTERVAL_MS, pushed_grace_ms=0.0):
    return WatchSchedule(0.0, draw, ask_every_ms=ask_every_ms, pushed_grace_ms=pushed_grace_ms)


def test_a_watch_continues_at_once_and_waits_for_half_of_the_deadline():
    schedule = make_schedule()
    assert schedule.next_call(0).call.wait_ms == 0
    assert schedule.next_call(0) is None and schedule.record_answer(1, 20) == ()
    order = schedule.next_call(20)
    assert order.call.wait_ms == CHANGE_DEADLINE_MS / 2 and not order.abandoned
    assert schedule.record_answer(2, 3020) == () and schedule.due_ms == 3020


@pytest.mark.parametrize("draw", [0.0, 0.999])
def test_a_parallel_call_beside_a_silent_watch_leaves_time_for_the_queue(draw):
    schedule = make_schedule(lambda: draw)
    schedule.next_call(0)
    schedule.record_answer(1, 0)
    schedule.next_call(0)
    assert CHANGE_DEADLINE_MS / 2 < schedule.due_ms <= CHANGE_DEADLINE_MS - MAX_QUEUE_MS
    at_ms = schedule.due_ms
    assert schedule.next_call(at_ms - 1) is None
    order = schedule.next_call(at_ms)
    assert order.call.wait_ms == 0 and not order.abandoned and list(schedule.outstanding) == [2, 3]
    assert schedule.due_ms > at_ms + MAX_QUEUE_MS  # no third call while the second may be in the queue
    # A late answer counts, and the other call is cancelled.
    assert schedule.record_answer(2, at_ms + 100) == (3,)


def test_when_two_calls_are_late_the_older_one_is_abandoned():
    schedule = make_schedule()
    for number, abandoned in ((1, ()), (2, ()), (3, (1,)), (4, (2,))):
        order = schedule.next_call(schedule.due_ms)
        assert order.call.number == number and order.abandoned == abandoned
    # The results of abandoned calls are ignored.
    assert schedule.record_answer(1, schedule.due_ms) is None and not schedule.record_failure(
        2, schedule.due_ms
    )


def test_retry_delays_grow_up_to_a_sixth_of_the_deadline():
    schedule, delays_ms = make_schedule(lambda: 0.999), []
    for _ in range(20):
        number, at_ms = schedule.next_call(schedule.due_ms).call.number, schedule.due_ms
        at_ms = next(iter(schedule.outstanding.values())).started_ms
        assert schedule.record_failure(number, at_ms)
        delays_ms.append(schedule.due_ms - at_ms)
    assert (
        delays_ms == sorted(delays_ms)
        and delays_ms[0] < CHANGE_DEADLINE_MS / 24
        and 990 < delays_ms[-1] <= CHANGE_DEADLINE_MS / 6
    )
    number = schedule.next_call(schedule.due_ms).call.number
    schedule.record_answer(number, schedule.due_ms)
    number, at_ms = schedule.next_call(schedule.due_ms).call.number, schedule.due_ms
    schedule.record_failure(number, schedule.outstanding[number].started_ms)
    # An answer resets the backoff.
    assert delays_ms[0] == pytest.approx(
        schedule.due_ms - (at_ms - schedule._parallel_call_delay_ms(CHANGE_DEADLINE_MS / 2))
    )


def test_a_call_that_fails_just_before_it_would_be_late_does_not_postpone_the_next():
    schedule = make_schedule()
    schedule.next_call(0)
    due_ms = schedule.due_ms
    assert schedule.record_failure(1, due_ms - 1) and schedule.due_ms == due_ms


def test_a_late_call_stays_outstanding_while_parallel_calls_fail():
    schedule = make_schedule()
    schedule.next_call(0)
    for number in range(2, 12):
        schedule.next_call(schedule.due_ms)
        started_ms = schedule.outstanding[number].started_ms
        assert (
            not schedule.record_failure(number, started_ms + 5)
            and started_ms + 5 < schedule.due_ms <= started_ms + 5 + CHANGE_DEADLINE_MS / 6
        )
    assert list(schedule.outstanding) == [1]


def test_the_failure_of_the_older_of_two_calls_leaves_the_schedule_unchanged():
    schedule = make_schedule()
    schedule.next_call(0)
    schedule.next_call(schedule.due_ms)
    due_ms = schedule.due_ms
    assert (
        not schedule.record_failure(1, due_ms - 2000)
        and schedule.due_ms == due_ms
        and list(schedule.outstanding) == [2]
    )


def test_a_move_cancels_outstanding_calls_and_follows_its_own_deadline():
    schedule = make_schedule()
    schedule.next_call(0)
    schedule.record_answer(1, 0)
    schedule.next_call(0)
    assert schedule.record_move(1000) == (2,) and schedule.due_ms == 1000
    assert schedule.record_answer(2, 1001) is None
    order = schedule.next_call(1000)
    assert order.call.wait_ms == 0 and schedule.due_ms <= 1000 + MOVE_DEADLINE_MS - MAX_QUEUE_MS
    for number in range(3, 30):  # however often the new address fails
        at_ms = schedule.outstanding[number].started_ms
        schedule.record_failure(number, at_ms)
        assert schedule.due_ms <= at_ms + MOVE_DEADLINE_MS / 6
        schedule.next_call(schedule.due_ms)


@pytest.mark.parametrize("failures", [1, 40])
def test_with_pushed_lists_a_failed_call_is_repeated_within_the_drain_grace(failures):
    """What discovery has when it is back counts as known at once."""
    schedule = make_schedule(lambda: 0.999, pushed_grace_ms=300.0)
    for _ in range(failures):
        number, at_ms = schedule.next_call(schedule.due_ms).call.number, schedule.due_ms
        at_ms = schedule.outstanding[number].started_ms
        schedule.record_failure(number, at_ms)
        assert 0 < schedule.due_ms - at_ms < 300
    assert schedule.change_deadline_ms == CHANGE_DEADLINE_MS


def test_four_call_intervals_limit_the_deadline_where_they_are_shorter():
    assert make_schedule().change_deadline_ms == CHANGE_DEADLINE_MS
    assert make_schedule(ask_every_ms=500.0).change_deadline_ms == 2000
    # Without a configured interval, the short default is safe.
    assert make_schedule(ask_every_ms=0.0).change_deadline_ms == 4000
    schedule = make_schedule(ask_every_ms=500.0)
    schedule.next_call(0)
    schedule.record_failure(1, 0)
    assert schedule.due_ms <= 2000 / 6


# --- random failures

OUTCOMES = st.lists(
    st.tuples(st.sampled_from(["answered", "failed", "silent", "just before late"]), st.floats(0, 4500)),
    min_size=1,
    max_size=12,
)


class Simulation:
    """One schedule against a simulated discovery.

    Calls end as `outcomes` say, in a cycle; those made from `reachable_at_ms` on are answered after
    the times in `served`.  A call that fails "just before late" does so 1 ms before it would be late.
    """

    def __init__(self, schedule, outcomes, served, moves=()):
        self.schedule, self.reachable_at_ms, self.served = schedule, float("inf"), itertools.cycle(served)
        self.outcomes = itertools.cycle(outcomes)
        self.now_ms, self.order = 0.0, itertools.count()
        self.events = [(at_ms, next(self.order), "moved", 0) for at_ms in moves]
        heapq.heapify(self.events)
        self.starts_ms, self.answers_ms, self.moved_ms = [], [], None

    def step(self):
        """Advance to the next event: a call's end, a move, or a call that is due."""
        if self.events and self.events[0][0] <= self.schedule.due_ms:
            self.now_ms, _, kind, number = heapq.heappop(self.events)
            if kind == "moved":
                self.schedule.record_move(self.now_ms)
                self.moved_ms = self.now_ms
            elif kind == "failed":
                self.schedule.record_failure(number, self.now_ms)
            elif self.schedule.record_answer(number, self.now_ms) is not None:
                self.answers_ms.append(self.now_ms)
                self.moved_ms = None
            return
        self.now_ms = self.schedule.due_ms
        call = self.schedule.next_call(self.now_ms).call
        self.starts_ms.append(self.now_ms)
        kind, after = next(self.outcomes)
        if self.now_ms >= self.reachable_at_ms:
            kind, after = "answered", next(self.served)
        elif kind == "answered":  # a watch waits before it is answered
            after = max(after, call.wait_ms)
        elif kind == "just before late":
            kind, after = "failed", self.schedule.due_ms - self.now_ms - 1
        # Without a minimum, a discovery that always fails at once would stop the simulated time.
        after = max(after, 1.0)
        if kind != "silent":
            heapq.heappush(self.events, (self.now_ms + after, next(self.order), kind, call.number))


@settings(deadline=None)  # real time does not matter
@given(
    OUTCOMES,
    st.integers(1, 40),
    st.lists(st.floats(0, MAX_QUEUE_MS), min_size=1, max_size=5),
    st.lists(st.floats(0, 20_000), max_size=2),
    st.integers(0, 2**32),
    st.sampled_from([(LONG_INTERVAL_MS, 0.0), (SHORT_INTERVAL_MS, 0.0), (0.0, 300.0)]),
)
@example([("failed", 2000.0)], 30, [MAX_QUEUE_MS], [], 1, (LONG_INTERVAL_MS, 0.0))
@example([("answered", 0.0), ("silent", 0.0)], 3, [MAX_QUEUE_MS], [], 1, (LONG_INTERVAL_MS, 0.0))
@example([("answered", 0.0), ("just before late", 0.0)], 3, [MAX_QUEUE_MS], [], 1, (LONG_INTERVAL_MS, 0.0))
@example([("silent", 0.0)], 5, [MAX_QUEUE_MS], [4000.0], 1, (LONG_INTERVAL_MS, 0.0))
def test_discovery_is_called_and_answers_within_the_deadline_once_it_can_be_reached(
    outcomes, steps, served, moves, seed, intervals
):
    """Discovery is reachable from right after an event on: a call made just before may still fail."""
    schedule = make_schedule(random.Random(seed).random, *intervals)
    simulation = Simulation(schedule, outcomes, served, moves)
    for _ in range(steps):
        simulation.step()
    reachable_at_ms = simulation.reachable_at_ms = simulation.now_ms + 0.5
    while (
        min(schedule.due_ms, simulation.events[0][0] if simulation.events else schedule.due_ms)
        < reachable_at_ms
    ):
        simulation.step()
    # Changes that a silent watch misses have the long deadline; a move or a failure has its own.
    latest = next(reversed(schedule.outstanding.values()), None)
    deadline_ms = CHANGE_DEADLINE_MS if latest is not None and latest.wait_ms else schedule.change_deadline_ms
    if simulation.moved_ms is not None:
        deadline_ms = min(deadline_ms, MOVE_DEADLINE_MS)
    since_ms = reachable_at_ms
    while (
        not simulation.answers_ms
        or simulation.answers_ms[-1] < reachable_at_ms
        or simulation.starts_ms[-1] < reachable_at_ms
    ):
        simulation.step()
        if (
            simulation.moved_ms is not None
            and simulation.moved_ms >= reachable_at_ms
            and simulation.moved_ms != since_ms
        ):
            # The address changed meanwhile: its deadline starts then.
            since_ms, deadline_ms = simulation.moved_ms, MOVE_DEADLINE_MS
    called_ms = next(at_ms for at_ms in simulation.starts_ms if at_ms >= since_ms)
    assert called_ms <= since_ms + deadline_ms - MAX_QUEUE_MS + 1e-6
    answered_ms = next(at_ms for at_ms in simulation.answers_ms if at_ms >= since_ms)
    assert answered_ms <= since_ms + deadline_ms + 1e-6


@settings(deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([LONG_INTERVAL_MS, 0.0]))
def test_a_schedule_with_only_failures_keeps_calling_in_time(seed, ask_every_ms):
    source = random.Random(seed)
    schedule, last_due_ms = make_schedule(source.random, ask_every_ms), 0.0
    for _ in range(200):
        assert schedule.due_ms - last_due_ms <= schedule.change_deadline_ms - MAX_QUEUE_MS + 1e-6
        last_due_ms = schedule.due_ms
        number = schedule.next_call(last_due_ms).call.number
        if source.random() < 0.7:
            schedule.record_failure(number, last_due_ms + source.random() * (schedule.due_ms - last_due_ms))


# --- many watches after one outage

BURST_WINDOW_MS = 10.0  # at most a fifth of the watches may call within it


def simulate_outage(n, service_ms, reachable_at_ms):
    """Fail n watches at time 0; from `reachable_at_ms` on, discovery serves calls in order, within 2 s.

    Returns when each watch received the list, by its index, and when each call was made.
    """
    schedules = [make_schedule(random.Random(seed).random) for seed in range(n)]
    events, order = [], itertools.count()
    for index, schedule in enumerate(schedules):
        schedule.next_call(0)
        schedule.record_answer(1, 0)
        schedule.next_call(0)
        schedule.record_failure(2, 0)
        heapq.heappush(events, (schedule.due_ms, next(order), "due", index, 0))
    answers_ms, starts_ms, free_at_ms = {}, [], reachable_at_ms
    while len(answers_ms) < n:
        now_ms, _, kind, index, number = heapq.heappop(events)
        schedule = schedules[index]
        if kind == "due":
            if index in answers_ms or now_ms != schedule.due_ms:
                continue  # superseded by another due time
            number = schedule.next_call(now_ms).call.number
            starts_ms.append(now_ms)
            if now_ms < reachable_at_ms or free_at_ms - now_ms > MAX_QUEUE_MS:
                heapq.heappush(events, (now_ms + 4, next(order), "failed", index, number))
            else:
                free_at_ms = max(free_at_ms, now_ms) + service_ms
                heapq.heappush(events, (free_at_ms, next(order), "answered", index, number))
        elif kind == "failed":
            schedule.record_failure(number, now_ms)
        elif schedule.record_answer(number, now_ms) is not None:
            answers_ms[index] = now_ms
        heapq.heappush(events, (schedule.due_ms, next(order), "due", index, 0))
    return answers_ms, starts_ms


@pytest.mark.parametrize(("n", "service_ms"), [(30, 120.0), (200, 18.0)])
@pytest.mark.parametrize("reachable_at_ms", [0.0, 700.0, 8000.0])
def test_many_watches_after_one_outage_are_answered_in_time_and_do_not_call_at_once(
    n, service_ms, reachable_at_ms
):
    """Discovery needs 3.6 s for all calls but queues them for 2 s: rejected ones must be repeated in time."""
    answers_ms, starts_ms = simulate_outage(n, service_ms, reachable_at_ms)
    assert len(answers_ms) == n
    assert max(answers_ms.values()) <= reachable_at_ms + CHANGE_DEADLINE_MS
    starts_ms.sort()
    most = max(sum(at_ms <= other < at_ms + BURST_WINDOW_MS for other in starts_ms) for at_ms in starts_ms)
    assert most <= n / 5
