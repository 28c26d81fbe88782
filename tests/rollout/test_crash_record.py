"""A process rolls back locally after repeated crashes under a candidate."""

import msgspec

from cressrock.rollout.crash_record import CrashRecord, record_start


def test_three_unclean_restarts_within_the_window_cause_a_rollback_and_clean_shutdowns_do_not():
    record = CrashRecord()
    rolled_back = []
    for wall_ms in (0, 1000, 2000, 3000, 4000):
        record = record_start(record, "aa", wall_ms, max_starts=3, window_ms=60000)
        rolled_back.append(record.rollback_reason != "")
    assert rolled_back == [False, False, False, True, True]  # the fourth start follows three unclean runs
    record = CrashRecord()
    for wall_ms in range(0, 10000, 1000):
        record = msgspec.structs.replace(
            record_start(record, "aa", wall_ms, max_starts=3, window_ms=60000), running=False
        )
    assert not record.rollback_reason
    rare = CrashRecord()
    for wall_ms in range(0, 10**6, 50000):  # fewer than three restarts within the window
        rare = record_start(rare, "aa", wall_ms, max_starts=3, window_ms=60000)
    assert not rare.rollback_reason
    assert record_start(record, "bb", 0, max_starts=3, window_ms=1) == CrashRecord(digest="bb", running=True)
