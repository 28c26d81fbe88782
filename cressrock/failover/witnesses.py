"""Counts edges' reports about a zone as witnesses.  Pure.

A leader reads its evidence through an `EvidenceView`.  `ReportView` counts reports in a process that receives
all of them; `summary.SummaryView` reads the counts that collectors made by the same rules.

Attempts made after a recovery step began are counted separately.  A `ZoneMark` holds each sender's interval
at that moment; only later intervals count.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cressrock.failover.fleet_evidence import FleetEvidence, ReceivedReport
from cressrock.failover.reports import Origin, ZoneHealth
from cressrock.failover.settings import FailoverSettings


@dataclass(frozen=True, slots=True)
class ZoneMember:
    """A process as seen by the evaluation; `alive` only if its state is ALIVE in the leader's own view."""

    origin: Origin
    zone: str
    alive: bool
    is_edge: bool


@dataclass(slots=True)
class ZoneMark:
    """When a zone's current state began, by this process's clock and by each sender's interval."""

    state_and_share: tuple[int, int] = (-1, -1)
    since_ms: float = 0.0
    intervals: dict[Origin, int] = field(default_factory=dict)

    def begin(self, state: int, share: int, now_ms: float, intervals: Mapping[Origin, int]) -> None:
        """Restart at a change of state or share; earlier attempts no longer count."""
        self.state_and_share, self.since_ms, self.intervals = (state, share), now_ms, dict(intervals)


@dataclass(slots=True)
class WitnessCounts:
    """Counts of the witnesses about one zone, and of their attempts, by the witnesses' zone."""

    unreachable: dict[str, int] = field(default_factory=dict)
    reachable: dict[str, int] = field(default_factory=dict)
    degraded: dict[str, int] = field(default_factory=dict)
    slow: int = 0
    suspects: int = 0
    failed_attempts: dict[str, int] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)

    @property
    def total_unreachable(self) -> int:
        """Return the number of witnesses that cannot reach the zone."""
        return sum(self.unreachable.values())

    @property
    def total_reachable(self) -> int:
        """Return the number of witnesses that reach the zone."""
        return sum(self.reachable.values())

    def add_report(
        self,
        settings: FailoverSettings,
        zone: str,
        received: ReceivedReport | None,
        suspect: bool,
        since_interval: int | None,
    ) -> None:
        """Count a fresh report of an edge in `zone`; a reachable zone counts only after a recent attempt.

        With `since_interval`, only reports on attempts after this interval count, by the result of the last
        attempt instead of the health: an evacuated zone gets only a few trial reads, and its health stays
        UNREACHABLE for several successful ones.
        """
        if received is None or not _is_countable(settings, received, since_interval):
            return
        if suspect:
            self.suspects += 1
            return
        report = received.report
        self.failed_attempts[zone] = self.failed_attempts.get(zone, 0) + report.failed
        self.attempts[zone] = self.attempts.get(zone, 0) + report.failed + report.reached
        uses_health = since_interval is None
        if report.health == ZoneHealth.UNREACHABLE if uses_health else report.streak < 0:
            self.unreachable[zone] = self.unreachable.get(zone, 0) + 1
        elif uses_health and report.health == ZoneHealth.DEGRADED:
            self.degraded[zone] = self.degraded.get(zone, 0) + 1
        elif report.streak > 0:  # a zone reported healthy whose last attempt failed is not counted as reached
            self.reachable[zone] = self.reachable.get(zone, 0) + 1
            self.slow += report.health == ZoneHealth.SLOW


def _is_countable(settings: FailoverSettings, received: ReceivedReport, since_interval: int | None) -> bool:
    """Whether a report is recent enough to be counted."""
    health = received.report.health
    if received.age_ms > settings.fresh_ms or health == ZoneHealth.UNKNOWN:
        return False
    if since_interval is not None:
        return received.interval > since_interval
    return health == ZoneHealth.UNREACHABLE or received.age_ms <= settings.recent_ms


def is_suspect(reports: Mapping[str, ReceivedReport], fresh_ms: float) -> bool:
    """Whether an edge's own network may be at fault: most zones that it tried are degraded or unreachable."""
    fresh = [
        received.report.health
        for received in reports.values()
        if received.age_ms <= fresh_ms and received.report.health
    ]
    accused_count = sum(health >= ZoneHealth.DEGRADED for health in fresh)
    return accused_count > 0 and (accused_count == len(fresh) or 2 * accused_count > len(fresh))


class EvidenceView(Protocol):
    """The evidence as read by an evaluation."""

    def intervals(self) -> Mapping[Origin, int]:
        """Return the newest interval of each sender; empty if collectors count the reports."""

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Count the witnesses about a zone; with `since`, only attempts after that mark count."""

    def remote_requesters(self, zone: str) -> int:
        """Return the number of edges in other zones whose clients have this home zone."""

    def load(self, zone: str) -> float:
        """Return the zone's own load as reported by edges, in units per second."""

    def demand(self, zone: str, edge_zones: Collection[str]) -> float:
        """Return the demand with this home zone (units per second) in `edge_zones`, or all zones if empty."""

    def unreported_zones(self) -> frozenset[str]:
        """Return the zones whose edges are alive but whose reports are missing."""


class ReportView:
    """The `EvidenceView` of a process that receives all reports itself."""

    def __init__(
        self,
        settings: FailoverSettings,
        members: Iterable[ZoneMember],
        evidence: FleetEvidence,
        now_ms: float,
    ) -> None:
        """Read the evidence as of `now_ms`; only reports of alive `members` count."""
        self.settings, self.evidence = settings, evidence
        self.members = {member.origin: member for member in members if member.alive}
        self.reports = {
            origin: zones for origin, zones in evidence.reports(now_ms).items() if origin in self.members
        }
        self.suspects = {
            origin for origin, zones in self.reports.items() if is_suspect(zones, settings.fresh_ms)
        }

    def intervals(self) -> Mapping[Origin, int]:
        """Return the newest interval received from each sender."""
        return self.evidence.latest_intervals()

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Count the witnesses about a zone from their reports."""
        counts = WitnessCounts()
        for origin, zones in self.reports.items():
            since_interval = since.intervals.get(origin, -1) if since is not None else None
            suspect = origin in self.suspects
            counts.add_report(
                self.settings, self.members[origin].zone, zones.get(zone), suspect, since_interval
            )
        return counts

    def remote_requesters(self, zone: str) -> int:
        """Return the number of reporting processes, other than the zone's own edges, with demand for it."""
        return sum(
            zone in zones and zones[zone].report.demand > 0
            for origin, zones in self.reports.items()
            if not (self.members[origin].is_edge and self.members[origin].zone == zone)
        )

    def load(self, zone: str) -> float:
        """Return the zone's own load in units per second, over reports of any age."""
        return sum(zones[zone].report.load for zones in self.reports.values() if zone in zones)

    def demand(self, zone: str, edge_zones: Collection[str]) -> float:
        """Return the demand with this home zone in units per second, over reports of any age."""
        return sum(
            zones[zone].report.demand
            for origin, zones in self.reports.items()
            if zone in zones and (not edge_zones or self.members[origin].zone in edge_zones)
        )

    def unreported_zones(self) -> frozenset[str]:
        """Return an empty set: all reports come here directly, so none are waiting at a collector."""
        return frozenset()
