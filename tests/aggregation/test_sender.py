"""Senders: what is reported once, again, to whom, and when nobody answers."""

from collections import Counter

import pytest

from cressrock.aggregation.messages import MAX_ENTRIES_PER_ORIGIN, ReportAck
from cressrock.aggregation.ranking import rank_collectors
from cressrock.errors.aggregation import ReportTooLargeError
from tests.aggregation.support import TIMINGS, SenderLine


@pytest.fixture
def line():
    return SenderLine()


def test_an_entry_is_reported_once_and_renewed_seldom_and_its_bytes_are_flat(line):
    line.put("k", b"x" * 200)
    line.run(60000)
    assert len(line.sent) <= 1 + 60000 / (0.75 * TIMINGS.renewal_interval_ms) + 1
    assert sum(size for _, _, size, _ in line.sent) / 60 < 60
    assert line.sender.is_acknowledged()


def test_a_changed_entry_is_reported_at_once(line):
    line.put("k", b"x" * 200)
    line.run(60000)
    line.sent.clear()
    line.put("k", b"y")
    line.run(50)
    assert len(line.sent) == 1, "a changed word is told at once"
    line.put("k", None)
    line.run(50)
    _, collector, _, _ = line.sent[0]
    assert line.received[collector] == {"k": None} and line.sender.entries() == {}


def test_a_sender_moves_on_from_a_silent_collector_and_comes_back_to_it(line):
    line.put("k", b"x")
    line.run(1000)
    first, second, _ = [name for name, _ in rank_collectors("a", line.collectors)]
    assert line.sender.collector == (first, 1)
    line.dead = {first}
    line.put("k", b"y")
    silent_since_ms = line.now_ms
    while line.received.get(second) != {"k": b"y"}:
        line.run(10)
        assert line.now_ms - silent_since_ms < 2000
    line.dead = set()
    line.run(60000)
    assert line.sender.collector == (first, 1) and line.received[first] == {"k": b"y"}
    line.remove_collector(first)
    line.run(1000)
    assert line.sender.collector == (second, 1)
    line.update_collectors([(second, 2)])
    line.sent.clear()
    line.run(1000)
    assert line.sent and line.sender.collector == (second, 2), "a new life has nothing: all is told anew"
    line.update_collectors([])
    line.run(1000)
    assert line.sender.collector is None


def test_senders_move_at_times_of_their_own():
    moved_after_ms = []
    for seed in range(200):
        line = SenderLine(seed)
        line.put("k", b"x")
        line.run(800)
        line.sent.clear()
        line.update_collectors([c for c in line.collectors if c != line.sender.collector])
        line.run(600)
        sent_at_ms, *_ = line.sent[0]
        moved_after_ms.append(sent_at_ms - 800)
    most_at_once = max(Counter(int(ms // 50) for ms in moved_after_ms).values())
    assert max(moved_after_ms) > 400 and most_at_once < 50, "spread by a draw"


def test_a_sender_does_not_hammer_a_fleet_without_collectors(line):
    line.dead = {name for name, _ in line.collectors}
    line.put("k", b"x")
    line.run(120000)
    assert len(line.sent) < 120, "backing off"


def test_a_push_is_heeded_once_at_a_drawn_time_and_lapses(line):
    line.run(2000)
    sender, collector = line.sender, line.sender.collector
    assert sender.receive(line.now_ms, *collector, ReportAck([], 100, True, 400.0, 900.0, False, b"d"))
    assert sender.is_evidence_requested(line.now_ms)
    assert sender.update_interval_ms() == 900.0 and sender.broadcast == b"d"
    older, of_another = ReportAck([], 99, False, 400.0, 900.0), ReportAck([], 200, False, 400.0, 900.0)
    assert not sender.receive(line.now_ms, *collector, older), "an older one"
    assert not sender.receive(line.now_ms, "p9", 1, of_another), "another's"
    assert not sender.is_evidence_requested(line.now_ms + TIMINGS.evidence_request_ttl_ms)


def test_a_value_that_is_too_large_is_refused(line):
    with pytest.raises(ReportTooLargeError):
        line.put("k", b"x" * 641)


def test_a_key_that_is_too_large_is_refused(line):
    with pytest.raises(ReportTooLargeError):
        line.put("k" * 65, b"")


def test_more_entries_than_allowed_are_refused_and_many_come_in_datagrams(line):
    for n in range(MAX_ENTRIES_PER_ORIGIN):
        line.put(f"k{n}", b"x" * 600)
    with pytest.raises(ReportTooLargeError):
        line.put("more", b"")
    line.run(2000)
    assert len(line.received[line.sender.collector[0]]) == MAX_ENTRIES_PER_ORIGIN
    assert max(size for _, _, size, _ in line.sent) <= 1100


def test_what_is_reported_anew_to_another_collector_is_as_old_as_it_is(line):
    line.put("k", b"x")
    line.run(8000)
    line.sent.clear()
    line.update_collectors([c for c in line.collectors if c != line.sender.collector])
    line.run(1000)
    ages_ms = [message.entries[0].age_ms for _, _, _, message in line.sent]
    assert ages_ms and min(ages_ms) >= 8000


def test_rendezvous_moves_only_the_zones_of_who_left_and_shares_them_out():
    collectors = [(f"p{n}", 1) for n in range(6)]
    zones = [f"zone-{n}" for n in range(600)]
    owner = {zone: rank_collectors(zone, collectors)[0] for zone in zones}
    assert all(60 < count < 145 for count in Counter(owner.values()).values())
    remaining = [collector for collector in collectors if collector != ("p2", 1)]
    for zone in zones:
        if owner[zone] != ("p2", 1):
            assert rank_collectors(zone, remaining)[0] == owner[zone]
    assert rank_collectors("z", reversed(collectors)) == rank_collectors("z", collectors)
