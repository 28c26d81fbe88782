"""One process's part in one candidate's rollout.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.plan import RolloutPlan
from cressrock.rollout.summaries import FleetSummary, ZoneEntries, keep_fullest
from cressrock.rollout.verdict import Accusation


class Collector(Protocol):
    """What other collectors have summed up (`aggregation.collector.ReportCollector`)."""

    @property
    def summaries(self) -> Summaries:
        """All collectors' summaries, merged."""

    def is_active(self) -> bool:
        """Whether anybody sends reports to collectors: then sums are the whole evidence."""


class Summaries(Protocol):
    """All collectors' summaries, merged."""

    def sums(self, now_ms: float) -> Mapping[str, Mapping[str, bytes]]:
        """Return the sums that are current, by zone and key."""


@dataclass(slots=True)
class Participation:
    """From the moment a candidate's document is here until another candidate is decided on."""

    digest: str
    plan: RolloutPlan
    local: LocalCounts
    fleet: FleetCounts | None  # as processes publish them; None where this process may not lead
    rollback_reason: str = ""  # why this process rolled back by itself; "" while it has not
    accusations: list[Accusation] = field(default_factory=list)  # by the leader's last look
    zone_entries: dict[str, ZoneEntries] = field(default_factory=dict)  # the fullest of each zone's summaries

    def view(self, collector: Collector | None, now_ms: float) -> FleetCounts | FleetSummary | None:
        """Return all counts: collectors' sums where anybody reports to collectors, else as published."""
        if collector is None or not collector.is_active():
            return self.fleet
        keep_fullest(self.zone_entries, collector.summaries.sums(now_ms), self.digest)
        return FleetSummary(self.digest, self.zone_entries)
