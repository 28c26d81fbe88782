"""Answers that may be duplicates of an earlier one: the pool over loopback sockets, and the pure rules."""

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cressrock.interface import Outcome
from cressrock.lab.platform import answer
from cressrock.resp import codec
from cressrock.resp.duplicate_answers import (
    MAX_LATENESS_MS,
    MAX_RECENT_ANSWERS,
    MIN_COUNT,
    PERIOD_MS,
    AnswerTimes,
    RecentAnswers,
)
from cressrock.resp.outcomes import Answer, parse_answer
from cressrock.resp.reuse_delay import MIN_DELAY_MS
from tests.test_platform_pool import has_no_input, read, run_loop, with_pool

WORK_MS = 30.0  # of each request at the server
BUSY = codec.error("BUSY 5")


async def answer_one(harness, end, reply, ms=WORK_MS):
    """Play one request on the connection that can be reused; return how it ended."""
    call, _ = harness.start()
    assert await read(end, 7) == b"request"
    harness.advance(ms)
    end.sendall(reply)
    ending = await harness.ended(call)
    harness.advance(MIN_DELAY_MS)
    return ending


async def new_connection(harness):
    """Return the server's end of a new connection, which carries an attempt, and the attempt's call."""
    call, _ = harness.start()
    end = await harness.peer.accepted()
    end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    assert await read(end, 7) == b"request"
    return end, call


async def known_server(harness, last=None):
    """Return the server's end of a connection on which it has answered often enough to be known.

    `last` is what it answered in the end, by default a value of its own.
    """
    end, call = await new_connection(harness)
    harness.advance(WORK_MS)
    end.sendall(answer(b"value 0"))
    await harness.ended(call)
    harness.advance(MIN_DELAY_MS)
    for number in range(1, MIN_COUNT + 1):
        await answer_one(harness, end, last or answer(b"value %d" % number))
    return end


async def is_reset(end):
    """Return whether the pool has closed the connection of this server's end."""
    await run_loop()
    return not has_no_input(end)
    assert await is_reset(end)
    return None


async def start_request(harness, end):
    call, _ = harness.start()
    assert await read(end, 7) == b"request"
    return call


LAST = answer(b"value %d" % MIN_COUNT)  # what `known_server` answered last


@with_pool()
async def test_a_duplicate_behind_the_delay_is_not_served_to_the_next_request(harness):
    """Regression (review/3): the next request was served this value, and later ones each other's."""
    end = await known_server(harness)
    call = await start_request(harness, end)
    harness.advance(2)  # 12 ms behind its original
    end.sendall(LAST)
    await run_loop()
    assert not call.endings
    harness.advance(WORK_MS - 2)
    end.sendall(answer(b"its own"))
    ending = await harness.ended(call)
    assert (ending.outcome, ending.reply) == (Outcome.OK, b"its own")
    assert await is_reset(end)
    assert harness.pool.duplicate_count == 1
    assert harness.pool.reuse_delay.delay_ms == 2 * (MIN_DELAY_MS + 2)


@with_pool()
async def test_a_duplicate_is_not_served_although_nothing_follows_it(harness):
    end = await known_server(harness)
    call = await start_request(harness, end)
    harness.advance(2)
    end.sendall(LAST)
    await run_loop()
    harness.advance(2 * WORK_MS - 2)
    assert not call.endings
    harness.advance(WORK_MS)
    ending = await harness.ended(call)
    assert ending.outcome is Outcome.ERROR
    assert ending.reply is None  # it may have run
    assert await is_reset(end)
    assert harness.pool.doubtful_count == 1


@pytest.mark.parametrize("arrived_bytes", [0, 10], ids=["nothing of its own answer", "a part of it"])
def test_a_held_answer_is_not_given_up_while_this_process_does_not_read(arrived_bytes):
    """Regression: the request failed, or the timer ran without a pause, while memory was short."""

    @with_pool()
    async def test(harness):
        end = await known_server(harness)
        call, attempt = harness.start()
        assert await read(end, 7) == b"request"
        own = answer(b"its own")
        harness.advance(2)
        end.sendall(LAST + own[:arrived_bytes])
        await run_loop()
        assert attempt.held is not None
        harness.pool.limit_reading(lambda _: False)
        harness.advance(4 * WORK_MS)
        assert attempt.next_check_at() > harness.now[0]
        assert not call.endings
        end.sendall(own[arrived_bytes:])
        harness.pool.limit_reading(None)
        assert (await harness.ended(call)).reply == b"its own"

    test()


@with_pool()
async def test_of_two_answers_read_at_once_the_later_one_is_served(harness):
    end = await known_server(harness)
    call = await start_request(harness, end)
    harness.advance(2)
    end.sendall(LAST + answer(b"its own"))
    assert (await harness.ended(call)).reply == b"its own"
    assert await is_reset(end)


@with_pool()
async def test_a_duplicate_of_a_refusal_does_not_prove_that_the_next_request_never_ran(harness):
    end = await known_server(harness, last=BUSY)
    call = await start_request(harness, end)
    harness.advance(2)
    end.sendall(BUSY)
    await run_loop()
    assert not call.endings
    harness.advance(WORK_MS)
    end.sendall(answer(b"its own"))
    assert (await harness.ended(call)).reply == b"its own"


@pytest.mark.parametrize(
    ("reply", "ms"), [(answer(b"new"), 1.0), (LAST, WORK_MS)], ids=["early", "equal in its time"]
)
def test_an_answer_that_is_only_early_or_only_equal_is_served_at_once(reply, ms):
    @with_pool()
    async def test(harness):
        end = await known_server(harness)
        ending = await answer_one(harness, end, reply, ms)
        assert ending.outcome is Outcome.OK
        assert harness.pool.duplicate_count == 0
        await answer_one(harness, end, answer(b"next"))
        assert harness.pool.opened_count == 1

    test()


@with_pool()
async def test_behind_a_duplicate_no_connection_of_the_server_is_reused(harness):
    end = await known_server(harness)
    call = await start_request(harness, end)
    other, other_call = await new_connection(harness)
    harness.advance(2)
    end.sendall(LAST)
    await run_loop()
    harness.advance(WORK_MS)
    end.sendall(answer(b"its own"))
    await harness.ended(call)
    other.sendall(answer(b"of the other"))
    assert (await harness.ended(other_call)).reply == b"of the other"
    assert await is_reset(other)
    assert not harness.pool.open_connections


@pytest.mark.parametrize(("late", "is_other_closed"), [(LAST, False), (answer(b"of the last request"), True)])
def test_an_unrequested_answer_that_is_no_duplicate_shows_a_mismatched_connection(late, is_other_closed):
    """It is the last request's own answer, so that request was served another one's."""

    @with_pool()
    async def test(harness):
        end = await known_server(harness)
        call = await start_request(harness, end)
        other, other_call = await new_connection(harness)
        other.sendall(answer(b"of the other"))
        await harness.ended(other_call)
        end.sendall(LAST)  # makes it the latest of the recent answers
        harness.advance(WORK_MS)
        await harness.ended(call)
        end.sendall(late)
        await run_loop()
        assert harness.pool.unrequested_input_count == 1
        assert has_no_input(other) is not is_other_closed

    test()


# --- the pure rules


def ok(value):
    return parse_answer([value, None, None])


def test_an_answer_is_early_only_if_enough_answers_of_that_outcome_are_known():
    times = AnswerTimes()
    for _ in range(MIN_COUNT - 1):
        times.record("s0", Outcome.OK, WORK_MS, 0.0)
    assert not times.is_early("s0", Outcome.OK, 1.0)
    times.record("s0", Outcome.OK, WORK_MS, 0.0)
    assert times.is_early("s0", Outcome.OK, 1.0)
    assert not times.is_early("s0", Outcome.OK, WORK_MS)
    assert not times.is_early("s0", Outcome.FULL, 1.0)
    assert not times.is_early("s1", Outcome.OK, 1.0)
    assert times.hold_ms("s0", Outcome.OK) == 3 * WORK_MS


def test_answer_times_are_forgotten_after_two_periods():
    times = AnswerTimes()
    for _ in range(MIN_COUNT):
        times.record("s0", Outcome.OK, WORK_MS, 0.0)
    times.record("s1", Outcome.OK, WORK_MS, PERIOD_MS)
    assert times.is_early("s0", Outcome.OK, 1.0)
    times.record("s1", Outcome.OK, WORK_MS, 2 * PERIOD_MS)
    assert not times.is_early("s0", Outcome.OK, 1.0)


def test_times_within_the_delays_of_this_process_show_nothing():
    times = AnswerTimes()
    for _ in range(MIN_COUNT):
        times.record("s0", Outcome.OK, 0.5, 0.0)
    assert not times.is_early("s0", Outcome.OK, 0.1)


@given(st.lists(st.tuples(st.floats(0, 2 * MAX_LATENESS_MS), st.binary(max_size=3)), max_size=30))
def test_recent_answers_are_the_latest_within_their_time(steps):
    recent, told, now = RecentAnswers(), [], 0.0
    for wait_ms, value in steps:
        now += wait_ms
        window = [found for at, found in told[-MAX_RECENT_ANSWERS:] if now - at <= MAX_LATENESS_MS]
        assert recent.contains(now, ok(value)) == (value in window)
        recent.add(now, ok(value))
        told.append((now, value))


def test_load_reports_do_not_tell_answers_apart():
    first = parse_answer([b"value", b"used=1,cost=2", None])
    recent = RecentAnswers()
    recent.add(0.0, first)
    assert recent.contains(1.0, ok(b"value"))
    assert isinstance(first, Answer)
