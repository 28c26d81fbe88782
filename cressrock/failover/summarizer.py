"""Summarizes zone reports on a collector (an `aggregation.summarizer.Summarizer`).  Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cressrock.failover.decision import FailoverDecision, ZoneState
from cressrock.failover.fleet_evidence import MAX_LOAD_AGE_REPORTS, FleetEvidence, ReceivedReport
from cressrock.failover.reports import REPORT_KEY_PREFIX, Origin, ZoneHealth
from cressrock.failover.settings import FailoverSettings
from cressrock.failover.summary import SummaryRow, ZoneLoads, decode_summary_rows, pack_counts
from cressrock.failover.wire import encode_versioned
from cressrock.failover.witnesses import WitnessCounts, ZoneMark, is_suspect

MAX_ORIGINS = 1 << 20  # no effective limit: the collector's membership already bounds the number of senders


@dataclass(frozen=True, slots=True)
class _EdgeReport:
    """One edge's report about a zone."""

    origin: Origin
    received: ReceivedReport
    suspect: bool


class ReportSummarizer:
    """Counts the reports of a collector's senders by the same rules as `witnesses`."""

    def __init__(self, settings: FailoverSettings) -> None:
        """Start without reports."""
        self.settings = settings
        self.evidence = FleetEvidence(settings, max_origins=MAX_ORIGINS)
        self.marks: dict[str, ZoneMark] = {}

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Receive an entry published at `at_ms` (local clock); other keys are ignored and return False."""
        return key.startswith(REPORT_KEY_PREFIX) and self.evidence.receive(origin, key, value, at_ms)

    def forget(self, origin: Origin) -> None:
        """Remove an origin's reports."""
        self.evidence.forget(origin)

    def apply_decision(self, decision: FailoverDecision | None, now_ms: float) -> None:
        """Apply the current decision; if it changes a zone, only later attempts count for the next step."""
        decision = decision or FailoverDecision()
        for zone in self.settings.zones:
            entry = decision.for_zone(zone)
            mark = self.marks.setdefault(zone, ZoneMark())
            if mark.state_and_share != (entry.state, entry.share):
                mark.begin(entry.state, entry.share, now_ms, self.evidence.latest_intervals())

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return, by key, an encoded row for each zone reported by `origins`, edges in `zone`."""
        edge_reports: dict[str, list[_EdgeReport]] = {}
        for origin, reports in self.evidence.reports(now_ms, origins).items():
            suspect = is_suspect(reports, self.settings.fresh_ms)
            for reported_zone, received in reports.items():
                edge_reports.setdefault(reported_zone, []).append(_EdgeReport(origin, received, suspect))
        return {
            REPORT_KEY_PREFIX + reported_zone: encode_versioned(self._row(zone, reported_zone, zone_reports))
            for reported_zone, zone_reports in sorted(edge_reports.items())
        }

    def _row(self, edge_zone: str, reported_zone: str, edge_reports: list[_EdgeReport]) -> SummaryRow:
        settings, mark = self.settings, self.marks.setdefault(reported_zone, ZoneMark())
        counts, later = WitnessCounts(), WitnessCounts()
        accusers = requesters = 0
        load = demand = 0.0
        for edge_report in edge_reports:
            received, suspect = edge_report.received, edge_report.suspect
            report, since_interval = received.report, mark.intervals.get(edge_report.origin, -1)
            counts.add_report(settings, edge_zone, received, suspect, None)
            later.add_report(settings, edge_zone, received, suspect, since_interval)
            accusers += report.health >= ZoneHealth.SLOW and received.sender_age_ms <= settings.fresh_ms
            if received.sender_age_ms <= MAX_LOAD_AGE_REPORTS * settings.calm_ms:
                requesters += report.demand > 0
                load += report.load
                demand += report.demand
        state, share = mark.state_and_share
        return SummaryRow(
            counts=pack_counts(counts, edge_zone),
            accusers=accusers,
            requesters=requesters,
            load=round(load, 3),
            demand=round(demand, 3),
            state=max(0, state),
            share=max(0, share),
            later=pack_counts(later, edge_zone),
        )

    def broadcast(self, sums: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return whether more evidence is wanted, and the encoded loads of all zones.

        More evidence is wanted while any edge accuses a zone or any zone is not LOCAL.  `sums` maps the
        edges' zone and the key to an encoded row.
        """
        zone_rows = decode_summary_rows(self.settings, sums).values()
        loads: dict[str, float] = {}
        for rows in zone_rows:
            for zone, row in rows.items():
                loads[zone] = loads.get(zone, 0.0) + row.load
        any_accused = any(row.accusers for rows in zone_rows for row in rows.values())
        any_not_local = any(mark.state_and_share[0] > ZoneState.LOCAL for mark in self.marks.values())
        rounded = {zone: float(f"{load:.3g}") for zone, load in sorted(loads.items())}
        return any_accused or any_not_local, encode_versioned(ZoneLoads(rounded))
