"""How slow writes of a store lengthen a replica's timeouts."""

from hypothesis import given
from hypothesis import strategies as st

from cressrock.consensus.raft.write_times import HALF_LIFE_MS, MAX_SLOWDOWN, WRITES_PER_TIMEOUT, WriteTimes

ELECTION_MS = 600.0


def test_writes_that_are_fast_enough_lengthen_nothing():
    times = WriteTimes()
    assert times.slowdown(ELECTION_MS, 0.0) == 1.0
    times.record(ELECTION_MS / WRITES_PER_TIMEOUT, 0.0)
    assert times.slowdown(ELECTION_MS, 0.0) == 1.0


def test_a_slow_write_lengthens_timeouts_for_a_while_and_up_to_a_bound():
    times = WriteTimes()
    times.record(ELECTION_MS, 1000.0)
    assert times.slowdown(ELECTION_MS, 1000.0) == WRITES_PER_TIMEOUT
    assert times.slowdown(ELECTION_MS, 1000.0 + HALF_LIFE_MS) == WRITES_PER_TIMEOUT / 2
    assert times.slowdown(ELECTION_MS, 1000.0 + 10 * HALF_LIFE_MS) == 1.0
    times.record(100 * ELECTION_MS, 2000.0)
    assert times.slowdown(ELECTION_MS, 2000.0) == MAX_SLOWDOWN


@given(st.lists(st.tuples(st.floats(0, 5000), st.floats(0, 5000)), min_size=1, max_size=30))
def test_no_recent_write_is_slower_than_what_counts(writes):
    times, now = WriteTimes(), 0.0
    for wait_ms, write_ms in writes:
        now += wait_ms
        times.record(write_ms, now)
        assert times.slowest_ms(now) >= write_ms
        assert 1.0 <= times.slowdown(ELECTION_MS, now) <= MAX_SLOWDOWN
