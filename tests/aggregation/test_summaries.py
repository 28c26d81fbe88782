"""Summaries of a zone are not added twice, and zone summaries match the individual reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.aggregation import summaries
from cressrock.aggregation.messages import ZoneSummary
from cressrock.aggregation.summaries import MergedSummaries
from cressrock.failover.decision import ZoneState
from cressrock.failover.evaluation import EvaluationMemory, evaluate
from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.reports import ZoneHealth, ZoneReport, encode_reports
from cressrock.failover.settings import FailoverSettings, ZoneSettings
from cressrock.failover.summarizer import ReportSummarizer
from cressrock.failover.summary import SummaryView
from cressrock.failover.witnesses import ReportView, ZoneMark, ZoneMember
from tests.aggregation.support import TIMINGS

P0, P1 = ("p0", 1), ("p1", 1)


def summary(number, senders, recent_senders, **options):
    sums = {"k": str(senders).encode()}
    return ZoneSummary("z", number, senders, recent_senders, 10, 0.0, [], sums, **options)


@pytest.fixture
def merged():
    return MergedSummaries(TIMINGS)


def test_one_summary_per_zone_is_used_until_it_expires(merged):
    merged.receive(0.0, P0, summary(5, 10, 4))
    merged.receive(0.0, P1, summary(9, 3, 3))
    merged.receive(1.0, P0, summary(4, 2, 9))  # an older summary is ignored
    assert merged.sums(10.0) == {"z": {"k": b"10"}}
    merged.receive(500.0, P1, summary(10, 6, 5))
    assert merged.current(600.0)["z"].collector == P1, "the collector with more recent senders is used"
    assert merged.current(1400.0)["z"].collector == P1
    assert merged.current(2000.0) == {}


def test_chunked_summary_is_used_once_complete_in_any_order(merged):
    merged.receive(3000.0, P0, summary(20, 4, 4, index=1, chunks=2))
    assert merged.current(3000.0) == {}
    merged.receive(3000.0, P0, summary(20, 4, 4, index=0, chunks=2))
    assert merged.current(3000.0)["z"].collector == P0
    merged.retain([P1])
    assert merged.current(3000.0) == {}


def test_number_of_summaries_is_bounded(merged):
    for n in range(summaries.MAX_SUMMARIES + 50):
        merged.receive(0.0, P0, ZoneSummary(f"z{n}", 1, 1, 1, 1, 0.0, [], {}))
    assert len(merged.current(0.0)) == summaries.MAX_SUMMARIES


# --- summaries of zone reports

REGIONS = {"a1": "north", "a2": "north", "b1": "south"}
ZONES = sorted(REGIONS)
SETTINGS = FailoverSettings(
    zones={name: ZoneSettings(region=region, capacity=300.0) for name, region in REGIONS.items()}, edges=30
)
MEMBERS = [ZoneMember((f"e{n}", 1), ZONES[n % 3], True, True) for n in range(30)]
REPORT_LISTS = st.lists(
    st.tuples(
        st.integers(0, 29),
        st.sampled_from(ZONES),
        st.sampled_from(list(ZoneHealth)),
        st.integers(0, 30),
        st.integers(0, 30),
        st.integers(0, 30),
        st.integers(-9, 9),
        st.floats(0, 20),
        st.integers(0, 9),
    ),
    max_size=60,
)


def origins_in(zone):
    return [member.origin for member in MEMBERS if member.zone == zone]


def group_by_edge(reported):
    """Return, by edge and zone, (interval, report)."""
    edges = {}
    for edge, zone, health, reached, failed, age, streak, load, interval in reported:
        report = ZoneReport(
            zone, int(health), reached, failed, 0, age, round(load, 2), round(load / 2, 2), streak
        )
        edges.setdefault(edge, {})[zone] = (interval, report)
    return edges


def without_zeros(counts):
    return {zone: count for zone, count in counts.items() if count}


@settings(max_examples=150, deadline=None)
@given(REPORT_LISTS)
def test_zone_summaries_match_the_individual_reports(reported):
    evidence = FleetEvidence(SETTINGS)
    summarizers = {zone: ReportSummarizer(SETTINGS) for zone in REGIONS}
    edges = group_by_edge(reported)
    mark = None
    for is_odd_pass in (False, True):
        for edge, reports in edges.items():
            if (edge % 2 == 1) != is_odd_pass:
                continue
            interval = max(interval for interval, _ in reports.values())
            for index, chunk in enumerate(
                encode_reports(interval, [report for _, report in reports.values()])
            ):
                for reader in (evidence, summarizers[ZONES[edge % 3]]):
                    reader.receive((f"e{edge}", 1), f"zones/{index}", chunk, 0.0)
        if mark is None:  # a recovery step begins between the two passes
            mark = ZoneMark((ZoneState.RECOVERING, 8), 0.0, evidence.latest_intervals())
            for summarizer in summarizers.values():
                intervals = summarizer.evidence.latest_intervals()
                for zone in REGIONS:
                    summarizer.marks[zone] = ZoneMark((ZoneState.RECOVERING, 8), 0.0, intervals)
    now_ms = 1000.0
    by_reports = ReportView(SETTINGS, MEMBERS, evidence, now_ms)
    sums = {
        zone: zone_summarizer.summarize(zone, origins_in(zone), now_ms)
        for zone, zone_summarizer in summarizers.items()
    }
    by_sums = SummaryView(SETTINGS, MEMBERS, sums, dict.fromkeys(REGIONS, 10))
    for zone in REGIONS:
        for since in (None, mark):
            from_reports, from_sums = (
                by_reports.count_witnesses(zone, since),
                by_sums.count_witnesses(zone, since),
            )
            assert (
                from_reports.unreachable,
                from_reports.reachable,
                from_reports.degraded,
                from_reports.slow,
                from_reports.suspects,
            ) == (
                from_sums.unreachable,
                from_sums.reachable,
                from_sums.degraded,
                from_sums.slow,
                from_sums.suspects,
            )
            assert without_zeros(from_reports.attempts) == without_zeros(from_sums.attempts)
            assert without_zeros(from_reports.failed_attempts) == without_zeros(from_sums.failed_attempts)
        assert by_reports.remote_requesters(zone) == by_sums.remote_requesters(zone)
        assert by_reports.load(zone) == pytest.approx(by_sums.load(zone), abs=0.01)
        assert by_reports.demand(zone, ["a2"]) == pytest.approx(by_sums.demand(zone, ["a2"]), abs=0.01)
    counts = by_sums.count_witnesses("a1", ZoneMark((ZoneState.RECOVERING, 16), 0.0, {}))
    assert (counts.total_unreachable, counts.total_reachable) == (0, 0), (
        "counts belong to another recovery step"
    )


def test_evacuation_waits_for_senders_without_reports():
    summarizer = ReportSummarizer(SETTINGS)
    reports = [ZoneReport("a1", ZoneHealth.UNREACHABLE, 0, 9, 0, 0, 1.0, 1.0, -9)]
    reports += [ZoneReport(zone, ZoneHealth.HEALTHY, 9, 0, 0, 0, 1.0, 1.0, 9) for zone in ("a2", "b1")]
    for member in MEMBERS:
        if member.zone == "a1":
            continue  # its edges still reach a1, but their collector has just failed
        for chunk in encode_reports(5, reports):
            summarizer.receive(member.origin, "zones/0", chunk, 0.0)
    sums = {zone: summarizer.summarize(zone, origins_in(zone), 100.0) for zone in ("a2", "b1")}
    memory, decided_at_ms = EvaluationMemory(), []
    for now_ms in range(0, 14000, 250):
        view = SummaryView(SETTINGS, MEMBERS, sums, {"a2": 10, "b1": 10})
        if evaluate(SETTINGS, MEMBERS, view, None, float(now_ms), memory) is not None:
            decided_at_ms.append(now_ms)
            break
    assert decided_at_ms and decided_at_ms[0] >= SETTINGS.fresh_ms, (
        "the wait ends: senders without reports stop counting"
    )


def test_undecodable_sums_count_as_missing():
    sums = {"a1": {"zones/a1": b"\x09", "zones/nowhere": b"", "other": b"x", "zones/a2": b"\x01\xc1"}}
    view = SummaryView(SETTINGS, [], sums, {})
    counts = view.count_witnesses("a1", None)
    assert (counts.total_unreachable, counts.total_reachable) == (0, 0) and view.load("a2") == 0.0
