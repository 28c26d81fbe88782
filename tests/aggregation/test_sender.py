"""When senders report, retry, switch collectors and back off."""

from collections import Counter

import pytest

from cressrock.aggregation.messages import MAX_ENTRIES_PER_ORIGIN, ReportAck
from cressrock.aggregation.ranking import rank_collectors
from cressrock.errors.aggregation import ReportTooLargeError
from tests.aggregation.support import TIMINGS, SenderHarness


@pytest.fixture
def harness():
    return SenderHarness()


def test_unchanged_entry_is_sent_only_at_renewals_with_bounded_traffic(harness):
    harness.put("k", b"x" * 200)
    harness.run(60000)
    assert len(harness.sent) <= 1 + 60000 / (0.75 * TIMINGS.renewal_interval_ms) + 1
    assert sum(size for _, _, size, _ in harness.sent) / 60 < 60
    assert harness.sender.is_acknowledged()


def test_a_changed_entry_is_reported_at_once(harness):
    harness.put("k", b"x" * 200)
    harness.run(60000)
    harness.sent.clear()
    harness.put("k", b"y")
    harness.run(50)
    assert len(harness.sent) == 1, "a changed entry is reported at once"
    harness.put("k", None)
    harness.run(50)
    _, collector, _, _ = harness.sent[0]
    assert harness.received[collector] == {"k": None} and harness.sender.entries() == {}


def test_sender_switches_from_silent_collector_and_later_returns(harness):
    harness.put("k", b"x")
    harness.run(1000)
    first, second, _ = [name for name, _ in rank_collectors("a", harness.collectors)]
    assert harness.sender.collector == (first, 1)
    harness.dead = {first}
    harness.put("k", b"y")
    failed_at_ms = harness.now_ms
    while harness.received.get(second) != {"k": b"y"}:
        harness.run(10)
        assert harness.now_ms - failed_at_ms < 2000
    harness.dead = set()
    harness.run(60000)
    assert harness.sender.collector == (first, 1) and harness.received[first] == {"k": b"y"}
    harness.remove_collector(first)
    harness.run(1000)
    assert harness.sender.collector == (second, 1)
    harness.update_collectors([(second, 2)])
    harness.sent.clear()
    harness.run(1000)
    assert harness.sent and harness.sender.collector == (second, 2), (
        "a new incarnation has no entries and gets them all"
    )
    harness.update_collectors([])
    harness.run(1000)
    assert harness.sender.collector is None


def test_senders_switch_collectors_at_random_times():
    switch_delays_ms = []
    for seed in range(200):
        harness = SenderHarness(seed)
        harness.put("k", b"x")
        harness.run(800)
        harness.sent.clear()
        harness.update_collectors([c for c in harness.collectors if c != harness.sender.collector])
        harness.run(600)
        sent_at_ms, *_ = harness.sent[0]
        switch_delays_ms.append(sent_at_ms - 800)
    max_per_50_ms = max(Counter(int(ms // 50) for ms in switch_delays_ms).values())
    assert max(switch_delays_ms) > 400 and max_per_50_ms < 50, "random delays spread the reports"


def test_sender_backs_off_when_no_collector_answers(harness):
    harness.dead = {name for name, _ in harness.collectors}
    harness.put("k", b"x")
    harness.run(120000)
    assert len(harness.sent) < 120, "attempts back off"


def test_push_requests_evidence_until_it_expires_and_stale_pushes_are_ignored(harness):
    harness.run(2000)
    sender, collector = harness.sender, harness.sender.collector
    assert sender.receive(harness.now_ms, *collector, ReportAck([], 100, True, 400.0, 900.0, False, b"d"))
    assert sender.is_evidence_requested(harness.now_ms)
    assert sender.update_interval_ms() == 900.0 and sender.broadcast == b"d"
    older_ack, other_ack = ReportAck([], 99, False, 400.0, 900.0), ReportAck([], 200, False, 400.0, 900.0)
    assert not sender.receive(harness.now_ms, *collector, older_ack), "an older broadcast number is ignored"
    assert not sender.receive(harness.now_ms, "p9", 1, other_ack), "another collector's message is ignored"
    assert not sender.is_evidence_requested(harness.now_ms + TIMINGS.evidence_request_ttl_ms)


def test_oversized_value_is_rejected(harness):
    with pytest.raises(ReportTooLargeError):
        harness.put("k", b"x" * 641)


def test_oversized_key_is_rejected(harness):
    with pytest.raises(ReportTooLargeError):
        harness.put("k" * 65, b"")


def test_entry_limit_is_enforced_and_reports_fit_datagrams(harness):
    for n in range(MAX_ENTRIES_PER_ORIGIN):
        harness.put(f"k{n}", b"x" * 600)
    with pytest.raises(ReportTooLargeError):
        harness.put("more", b"")
    harness.run(2000)
    assert len(harness.received[harness.sender.collector[0]]) == MAX_ENTRIES_PER_ORIGIN
    assert max(size for _, _, size, _ in harness.sent) <= 1100


def test_entries_resent_to_another_collector_keep_their_age(harness):
    harness.put("k", b"x")
    harness.run(8000)
    harness.sent.clear()
    harness.update_collectors([c for c in harness.collectors if c != harness.sender.collector])
    harness.run(1000)
    ages_ms = [message.entries[0].age_ms for _, _, _, message in harness.sent]
    assert ages_ms and min(ages_ms) >= 8000


def test_rendezvous_hashing_balances_zones_and_moves_only_those_of_a_removed_collector():
    collectors = [(f"p{n}", 1) for n in range(6)]
    zones = [f"zone-{n}" for n in range(600)]
    owner = {zone: rank_collectors(zone, collectors)[0] for zone in zones}
    assert all(60 < count < 145 for count in Counter(owner.values()).values())
    remaining = [collector for collector in collectors if collector != ("p2", 1)]
    for zone in zones:
        if owner[zone] != ("p2", 1):
            assert rank_collectors(zone, remaining)[0] == owner[zone]
    assert rank_collectors("z", reversed(collectors)) == rank_collectors("z", collectors)
