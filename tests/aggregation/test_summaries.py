"""Summaries are never added twice, and say what all reports say: of zones."""

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


def test_summaries_of_one_zone_are_never_added_and_an_old_one_lapses(merged):
    merged.receive(0.0, P0, summary(5, 10, 4))
    merged.receive(0.0, P1, summary(9, 3, 3))
    merged.receive(1.0, P0, summary(4, 2, 9))  # older: it changes nothing
    assert merged.sums(10.0) == {"z": {"k": b"10"}}
    merged.receive(500.0, P1, summary(10, 6, 5))
    assert merged.current(600.0)["z"].collector == P1, "who hears more of late is taken"
    assert merged.current(1400.0)["z"].collector == P1
    assert merged.current(2000.0) == {}


def test_a_summary_in_chunks_counts_once_all_are_there_in_whatever_order(merged):
    merged.receive(3000.0, P0, summary(20, 4, 4, index=1, chunks=2))
    assert merged.current(3000.0) == {}
    merged.receive(3000.0, P0, summary(20, 4, 4, index=0, chunks=2))
    assert merged.current(3000.0)["z"].collector == P0
    merged.retain([P1])
    assert merged.current(3000.0) == {}


def test_a_bounded_number_of_summaries_is_held(merged):
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
REPORTED = st.lists(
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


def by_edge(reported):
    """Return each edge's (interval, report) by zone."""
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
@given(REPORTED)
def test_summaries_by_zone_say_exactly_what_the_reports_say(reported):
    evidence = FleetEvidence(SETTINGS)
    summarizers = {zone: ReportSummarizer(SETTINGS) for zone in REGIONS}
    edges = by_edge(reported)
    mark = None
    for odd in (False, True):
        for edge, reports in edges.items():
            if (edge % 2 == 1) != odd:
                continue
            interval = max(interval for interval, _ in reports.values())
            for index, chunk in enumerate(
                encode_reports(interval, [report for _, report in reports.values()])
            ):
                for reader in (evidence, summarizers[ZONES[edge % 3]]):
                    reader.receive((f"e{edge}", 1), f"zones/{index}", chunk, 0.0)
        if mark is None:  # a recovery step begins between
            mark = ZoneMark((ZoneState.RECOVERING, 8), 0.0, evidence.latest_intervals())
            for summarizer in summarizers.values():
                intervals = summarizer.evidence.latest_intervals()
                for zone in REGIONS:
                    summarizer.marks[zone] = ZoneMark((ZoneState.RECOVERING, 8), 0.0, intervals)
    now_ms = 1000.0
    by_reports = ReportView(SETTINGS, MEMBERS, evidence, now_ms)
    sums = {zone: one.summarize(zone, origins_in(zone), now_ms) for zone, one in summarizers.items()}
    by_sums = SummaryView(SETTINGS, MEMBERS, sums, dict.fromkeys(REGIONS, 10))
    for zone in REGIONS:
        for since in (None, mark):
            one, other = by_reports.count_witnesses(zone, since), by_sums.count_witnesses(zone, since)
            assert (one.unreachable, one.reachable, one.degraded, one.slow, one.suspects) == (
                other.unreachable,
                other.reachable,
                other.degraded,
                other.slow,
                other.suspects,
            )
            assert without_zeros(one.attempts) == without_zeros(other.attempts)
            assert without_zeros(one.failed_attempts) == without_zeros(other.failed_attempts)
        assert by_reports.remote_requesters(zone) == by_sums.remote_requesters(zone)
        assert by_reports.load(zone) == pytest.approx(by_sums.load(zone), abs=0.01)
        assert by_reports.demand(zone, ["a2"]) == pytest.approx(by_sums.demand(zone, ["a2"]), abs=0.01)
    counts = by_sums.count_witnesses("a1", ZoneMark((ZoneState.RECOVERING, 16), 0.0, {}))
    assert (counts.total_unreachable, counts.total_reachable) == (0, 0), "counted under another step"


def test_nothing_is_evacuated_while_those_who_might_contradict_are_not_heard():
    summarizer = ReportSummarizer(SETTINGS)
    reports = [ZoneReport("a1", ZoneHealth.UNREACHABLE, 0, 9, 0, 0, 1.0, 1.0, -9)]
    reports += [ZoneReport(zone, ZoneHealth.HEALTHY, 9, 0, 0, 0, 1.0, 1.0, 9) for zone in ("a2", "b1")]
    for member in MEMBERS:
        if member.zone == "a1":
            continue  # its edges still reach a1, and their collector has just died
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
        "and not for ever: who stays unheard counts no more"
    )


def test_sums_that_cannot_be_read_count_as_not_reported():
    sums = {"a1": {"zones/a1": b"\x09", "zones/nowhere": b"", "other": b"x", "zones/a2": b"\x01\xc1"}}
    view = SummaryView(SETTINGS, [], sums, {})
    counts = view.count_witnesses("a1", None)
    assert (counts.total_unreachable, counts.total_reachable) == (0, 0) and view.load("a2") == 0.0
