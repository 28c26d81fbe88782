"""One process's participation in one candidate's rollout.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.plan import RolloutPlan
from cressrock.rollout.summaries import FleetSummary, ZoneEntries, keep_fullest
from cressrock.rollout.verdict import Accusation


class Collector(Protocol):
    """The collectors' summaries (`aggregation.collector.ReportCollector`)."""

    @property
    def summaries(self) -> Summaries:
        """The summaries received from all collectors."""

    def is_active(self) -> bool:
        """Whether any process reports to collectors; then the sums are the complete evidence."""


class Summaries(Protocol):
    """All collectors' summaries, merged."""

    def sums(self, now_ms: float) -> Mapping[str, Mapping[str, bytes]]:
        """Return the sums that have not expired, by zone and key."""


@dataclass(slots=True)
class Participation:
    """Exists from when a candidate's document is available until a decision names another candidate."""

    digest: str
    plan: RolloutPlan
    local: LocalCounts
    fleet: FleetCounts | None  # merged from gossip; None if this process cannot become leader
    rollback_reason: str = ""  # why this process rolled back locally; "" while it has not
    accusations: list[Accusation] = field(default_factory=list)  # of the leader's last evaluation
    zone_entries: dict[str, ZoneEntries] = field(default_factory=dict)  # each zone's most complete summaries

    def view(self, collector: Collector | None, now_ms: float) -> FleetCounts | FleetSummary | None:
        """Return all processes' counts: the collectors' sums if collectors are in use, else from gossip.

        None if this process cannot become leader and collectors are not in use.
        """
        if collector is None or not collector.is_active():
            return self.fleet
        keep_fullest(self.zone_entries, collector.summaries.sums(now_ms), self.digest)
        return FleetSummary(self.digest, self.zone_entries)
