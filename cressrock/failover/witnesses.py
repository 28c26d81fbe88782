"""How edges' reports about a zone are counted as witnesses.  Pure.

A leader asks its evidence through an `EvidenceView`.  `ReportView` counts reports, as a process does that
receives all of them; `summary.SummaryView` reads what collectors counted by the very same rules.

What counts only if it was tried after a recovery step began is counted apart, from the sender's interval that
a `ZoneMark` keeps of that moment.
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
    """A process as the evaluation needs it; `alive` is what the leader's own view holds for sure."""

    origin: Origin
    zone: str
    alive: bool
    is_edge: bool


@dataclass(slots=True)
class ZoneMark:
    """When a zone's present state began, by this process's clock and by each sender's interval."""

    state_and_share: tuple[int, int] = (-1, -1)
    since_ms: float = 0.0
    intervals: dict[Origin, int] = field(default_factory=dict)

    def begin(self, state: int, share: int, now_ms: float, intervals: Mapping[Origin, int]) -> None:
        """Begin anew: what was tried before counts no more."""
        self.state_and_share, self.since_ms, self.intervals = (state, share), now_ms, dict(intervals)


@dataclass(slots=True)
class WitnessCounts:
    """Who says what of one zone: counts of witnesses, and of their attempts, by the witnesses' zone."""

    unreachable: dict[str, int] = field(default_factory=dict)
    reachable: dict[str, int] = field(default_factory=dict)
    degraded: dict[str, int] = field(default_factory=dict)
    slow: int = 0
    suspects: int = 0
    failed_attempts: dict[str, int] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)

    @property
    def total_unreachable(self) -> int:
        """Return how many say that the zone does not answer."""
        return sum(self.unreachable.values())

    @property
    def total_reachable(self) -> int:
        """Return how many reach it."""
        return sum(self.reachable.values())

    def add_report(
        self,
        settings: FailoverSettings,
        zone: str,
        received: ReceivedReport | None,
        suspect: bool,
        since_interval: int | None,
    ) -> None:
        """Count a fresh report of an edge in `zone`; that it reached the zone only if it did so of late.

        With `since_interval`, only on attempts after this interval, and by how the last one ended: of an
        evacuated zone there are only a few trial reads, and a bad health would outlive several that arrived.
        """
        if received is None or not _counts(settings, received, since_interval):
            return
        if suspect:
            self.suspects += 1
            return
        report = received.report
        self.failed_attempts[zone] = self.failed_attempts.get(zone, 0) + report.failed
        self.attempts[zone] = self.attempts.get(zone, 0) + report.failed + report.reached
        since_start = since_interval is None
        if report.health == ZoneHealth.UNREACHABLE if since_start else report.streak < 0:
            self.unreachable[zone] = self.unreachable.get(zone, 0) + 1
        elif since_start and report.health == ZoneHealth.DEGRADED:
            self.degraded[zone] = self.degraded.get(zone, 0) + 1
        elif report.streak > 0:  # a healthy zone whose last attempt failed contradicts nobody
            self.reachable[zone] = self.reachable.get(zone, 0) + 1
            self.slow += report.health == ZoneHealth.SLOW


def _counts(settings: FailoverSettings, received: ReceivedReport, since_interval: int | None) -> bool:
    """Whether a report is new enough to count."""
    health = received.report.health
    if received.age_ms > settings.fresh_ms or health == ZoneHealth.UNKNOWN:
        return False
    if since_interval is not None:
        return received.interval > since_interval
    return health == ZoneHealth.UNREACHABLE or received.age_ms <= settings.recent_ms


def is_suspect(reports: Mapping[str, ReceivedReport], fresh_ms: float) -> bool:
    """Whether an edge's own network may be at fault: it reaches no zone well, or misses most of them."""
    fresh = [
        received.report.health
        for received in reports.values()
        if received.age_ms <= fresh_ms and received.report.health
    ]
    accused = sum(health >= ZoneHealth.DEGRADED for health in fresh)
    return accused > 0 and (accused == len(fresh) or 2 * accused > len(fresh))


class EvidenceView(Protocol):
    """What an evaluation asks of the evidence."""

    def intervals(self) -> Mapping[Origin, int]:
        """Return the newest interval of each sender, where reports are counted here."""

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Count who says what of a zone; with a mark, of what was tried after it alone."""

    def remote_requesters(self, zone: str) -> int:
        """Return how many edges of other zones have clients that ask for a zone first."""

    def load(self, zone: str) -> float:
        """Return the zone's own load as its edges reported it, units a second."""

    def demand(self, zone: str, edge_zones: Collection[str]) -> float:
        """Return what clients ask of a zone first, by edges in `edge_zones` (none: in all)."""

    def unheard_zones(self) -> frozenset[str]:
        """Return the zones whose edges' reports are missing though such edges are alive."""


class ReportView:
    """The view of a process that receives all reports."""

    def __init__(
        self,
        settings: FailoverSettings,
        members: Iterable[ZoneMember],
        evidence: FleetEvidence,
        now_ms: float,
    ) -> None:
        """Take the evidence as it is now; reports of `members` that are not alive do not count."""
        self.settings, self.evidence = settings, evidence
        self.members = {member.origin: member for member in members if member.alive}
        self.reports = {
            origin: zones for origin, zones in evidence.reports(now_ms).items() if origin in self.members
        }
        self.suspects = {
            origin for origin, zones in self.reports.items() if is_suspect(zones, settings.fresh_ms)
        }

    def intervals(self) -> Mapping[Origin, int]:
        """Return the newest interval of each sender."""
        return self.evidence.latest_intervals()

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Count who says what of a zone."""
        counts = WitnessCounts()
        for origin, zones in self.reports.items():
            since_interval = since.intervals.get(origin, -1) if since is not None else None
            suspect = origin in self.suspects
            counts.add_report(
                self.settings, self.members[origin].zone, zones.get(zone), suspect, since_interval
            )
        return counts

    def remote_requesters(self, zone: str) -> int:
        """Return how many edges elsewhere have clients that ask for a zone first."""
        return sum(
            zone in zones and zones[zone].report.demand > 0
            for origin, zones in self.reports.items()
            if not (self.members[origin].is_edge and self.members[origin].zone == zone)
        )

    def load(self, zone: str) -> float:
        """Return the zone's own load."""
        return sum(zones[zone].report.load for zones in self.reports.values() if zone in zones)

    def demand(self, zone: str, edge_zones: Collection[str]) -> float:
        """Return what clients ask of a zone first."""
        return sum(
            zones[zone].report.demand
            for origin, zones in self.reports.items()
            if zone in zones and (not edge_zones or self.members[origin].zone in edge_zones)
        )

    def unheard_zones(self) -> frozenset[str]:
        """Return none: what is not received here is not received by anybody."""
        return frozenset()
