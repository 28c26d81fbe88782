"""An edge's health judgments from its own attempts, its reports, and the merging of reports."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.local_evidence import AttemptEvidence, LocalEvidence
from cressrock.failover.reports import (
    MAX_CHUNKS,
    ZoneHealth,
    ZoneReport,
    decode_report_chunk,
    encode_reports,
)
from cressrock.failover.settings import FailoverSettings, ZoneSettings
from tests.failover.support import REGIONS, ZONES, failover_settings


@pytest.fixture
def evidence():
    return LocalEvidence(failover_settings(), 0.0)


def attempt(evidence, zone, result, now_ms):
    evidence.advance(now_ms)
    evidence.record_attempt(zone, result, 1.0)


def test_a_zone_that_stops_answering_becomes_unreachable_and_recovers_after_three_answers(evidence):
    now_ms = 0.0
    for _ in range(40):
        attempt(evidence, "a1", AttemptEvidence.REACHED, now_ms := now_ms + 100)
    assert evidence.health("a1") is ZoneHealth.HEALTHY
    lost_at_ms = now_ms
    while evidence.health("a1") is not ZoneHealth.UNREACHABLE:
        attempt(evidence, "a1", AttemptEvidence.FAILED, now_ms := now_ms + 100)
    assert now_ms - lost_at_ms <= 2000
    attempt(evidence, "a1", AttemptEvidence.REACHED, now_ms := now_ms + 60000)
    assert evidence.health("a1") is ZoneHealth.UNREACHABLE, (
        "one answer after a minute without attempts is not sufficient"
    )
    for _ in range(2):
        attempt(evidence, "a1", AttemptEvidence.REACHED, now_ms := now_ms + 100)
    assert evidence.health("a1") is ZoneHealth.HEALTHY


def test_degraded_and_slow_zones_are_distinguished(evidence):
    source = random.Random(5)
    for n in range(400):
        half = AttemptEvidence.FAILED if n % 2 else AttemptEvidence.REACHED
        mostly_slow = AttemptEvidence.SLOW if source.random() < 0.8 else AttemptEvidence.REACHED
        one_in_fifty = AttemptEvidence.REACHED if n % 50 else AttemptEvidence.FAILED
        attempt(evidence, "a1", half, n * 50.0)
        attempt(evidence, "a2", mostly_slow, n * 50.0)
        attempt(evidence, "b1", one_in_fifty, n * 50.0)
    assert [evidence.health(zone) for zone in ZONES] == [
        ZoneHealth.DEGRADED,
        ZoneHealth.SLOW,
        ZoneHealth.HEALTHY,
    ]


def test_reports_of_64_zones_are_split_into_chunks_that_fit_a_gossip_entry():
    names = [f"zone-with-a-rather-long-name-{n:02d}" for n in range(64)]
    zones = {name: ZoneSettings(region="r", capacity=1e6) for name in names}
    evidence = LocalEvidence(FailoverSettings(zones=zones, edges=230), 0.0)
    for n in range(20):
        for zone in zones:
            attempt(evidence, zone, AttemptEvidence.SLOW, n * 100.0)
            evidence.record_demand(zone, 1e5)
    updates = evidence.due_updates(1e6, False)
    assert 1 < len(updates) <= MAX_CHUNKS
    assert all(len(update.value) <= 608 for update in updates)
    reader = FleetEvidence(FailoverSettings(zones=zones, edges=230))
    for update in updates:
        assert reader.receive(("e", 1), update.key, update.value, 0.0)
    assert len(reader.reports(0.0)[("e", 1)]) == 64


def test_steady_state_is_reported_rarely_and_a_changed_health_at_once():
    evidence, reported_at_ms = LocalEvidence(failover_settings(230), 0.0), []
    for n in range(600):
        now_ms = n * 100.0
        attempt(evidence, "a1", AttemptEvidence.REACHED if n < 400 else AttemptEvidence.FAILED, now_ms)
        if evidence.due_updates(now_ms, False):
            reported_at_ms.append(now_ms)
    assert len([at_ms for at_ms in reported_at_ms if at_ms < 40000]) <= 6
    assert any(40000 < at_ms < 42500 for at_ms in reported_at_ms)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_merging_reports_is_independent_of_order_and_repetition(seed):
    source = random.Random(seed)
    entries = []
    for n in range(3):
        evidence = LocalEvidence(failover_settings(), 0.0)
        for interval in range(12):
            for zone in REGIONS:
                attempt(evidence, zone, source.choice(list(AttemptEvidence)), interval * 500.0)
            updates = evidence.due_updates(interval * 500.0, True)
            entries += [((f"e{n}", 1), update.key, update.value) for update in updates if update.value]
    merged = []
    for _ in range(2):
        reader = FleetEvidence(failover_settings())
        for entry in source.sample(entries, len(entries)) + source.choices(entries, k=20):
            reader.receive(*entry, 0.0)
        merged.append(
            {
                origin: {zone: (received.report, received.interval) for zone, received in reports.items()}
                for origin, reports in reader.reports(0.0).items()
            }
        )
    assert merged[0] == merged[1], seed


def test_malformed_reports_are_counted_and_ignored():
    reader, source = FleetEvidence(failover_settings(), max_origins=4), random.Random(3)
    good = encode_reports(7, [ZoneReport("a1", 1, 3)])[0]
    for n in range(3000):
        data = bytearray(good)
        for _ in range(source.randint(1, 4)):
            data[source.randrange(len(data))] = source.randrange(256)
        reader.receive((f"e{n % 9}", 1), "zones/0", bytes(data)[: source.randint(0, 40)], 0.0)
        reader.receive(("x", 1), f"zones/{n}", good, 0.0)
    assert reader.rejected > 1000 and len(reader.latest_intervals()) <= 4
    reader.reports(0.0)


def test_report_chunks_match_golden_bytes_and_ignore_additional_fields():
    report = ZoneReport("a1", 4, 1, 9, 0, 2, 1.5, 2.5, -9)
    assert encode_reports(7, [report])[0].hex() == (
        "01920791" + "99a2613104010900" + "02cb3ff8000000000000cb4004000000000000f7"
    )
    assert decode_report_chunk(bytes.fromhex("01930790c0")).interval == 7, "additional fields are ignored"
