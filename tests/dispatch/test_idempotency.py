"""A client's key keeps the window of its first sending, over all operations that carry it."""

from cressrock.dispatch.idempotency import IdempotencyKeys


def test_the_first_sending_counts_until_it_is_forgotten():
    keys = IdempotencyKeys(keep_ms=1000, max_keys=10)
    keys.record_sent("k", 100)
    keys.record_sent("k", 300)
    assert keys.first_sent_ms("k", 400) == 100
    assert keys.first_sent_ms("k", 1101) is None


def test_a_sending_that_never_ran_is_taken_back_and_only_that_one():
    keys = IdempotencyKeys(keep_ms=1000, max_keys=10)
    keys.record_sent("k", 100)
    keys.retract_sent("k", 50)
    assert keys.first_sent_ms("k", 200) == 100
    keys.retract_sent("k", 100)
    assert keys.first_sent_ms("k", 200) is None


def test_memory_is_bounded():
    keys = IdempotencyKeys(keep_ms=1e9, max_keys=50)
    for index in range(1000):
        keys.record_sent(f"k{index}", index)
    assert len(keys) <= 50 and keys.first_sent_ms("k999", 1000) == 999
