"""The first send time of an idempotency key is kept across all operations that use the key."""

from cressrock.dispatch.idempotency import IdempotencyKeys


def test_first_send_time_is_kept_until_it_expires():
    keys = IdempotencyKeys(keep_ms=1000, max_keys=10)
    keys.record_sent("k", 100)
    keys.record_sent("k", 300)
    assert keys.first_sent_ms("k", 400) == 100
    assert keys.first_sent_ms("k", 1101) is None


def test_retract_removes_only_the_first_send():
    keys = IdempotencyKeys(keep_ms=1000, max_keys=10)
    keys.record_sent("k", 100)
    keys.retract_sent("k", 50)
    assert keys.first_sent_ms("k", 200) == 100
    keys.retract_sent("k", 100)
    assert keys.first_sent_ms("k", 200) is None


def test_number_of_keys_is_bounded():
    keys = IdempotencyKeys(keep_ms=1e9, max_keys=50)
    for index in range(1000):
        keys.record_sent(f"k{index}", index)
    assert len(keys) <= 50 and keys.first_sent_ms("k999", 1000) == 999
