"""A process that a candidate kills rolls back by itself."""

import msgspec

from cressrock.rollout.crash_record import CrashRecord, record_start


def test_a_process_that_a_candidate_kills_three_times_goes_back_and_one_that_ends_in_order_does_not():
    kept = CrashRecord()
    backs = []
    for wall in (0, 1000, 2000, 3000, 4000):
        kept = record_start(kept, "aa", wall, max_starts=3, window_ms=60000)
        backs.append(kept.rollback_reason != "")
    assert backs == [False, False, False, True, True]  # the fourth start finds three without an end
    kept = CrashRecord()
    for wall in range(0, 10000, 1000):
        kept = msgspec.structs.replace(
            record_start(kept, "aa", wall, max_starts=3, window_ms=60000), running=False
        )
    assert not kept.rollback_reason
    slow = CrashRecord()
    for wall in range(0, 10**6, 50000):  # seldom enough
        slow = record_start(slow, "aa", wall, max_starts=3, window_ms=60000)
    assert not slow.rollback_reason
    assert record_start(kept, "bb", 0, max_starts=3, window_ms=1) == CrashRecord(digest="bb", running=True)
