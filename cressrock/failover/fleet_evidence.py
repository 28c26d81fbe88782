"""What one process knows of all edges' reports.  Pure.

A reader counts a report's age on its own clock from when it first received the sender's interval, and adds
the age that the sender gave: durations of two clocks, never two clocks' times.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from cressrock.errors.failover import FailoverError
from cressrock.failover.reports import (
    MAX_CHUNKS,
    REPORT_KEY_PREFIX,
    Origin,
    ReportChunk,
    ZoneHealth,
    ZoneReport,
    decode_report_chunk,
)
from cressrock.failover.settings import FailoverSettings
from cressrock.gossip.settings import GossipStoreSettings

MAX_KEY_LENGTH = len(REPORT_KEY_PREFIX) + 3
LOAD_REPORTS = 3  # regular report intervals after which a silent edge's load counts no more


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """An edge's report of a zone as a reader holds it.

    `age_ms` is since the edge's last attempt there, `interval` the sender's own interval of that attempt;
    `silent_ms`: since its sender was last heard of.
    """

    report: ZoneReport
    age_ms: float
    interval: int
    silent_ms: float = 0.0


@dataclass(slots=True)
class _Sender:
    """The chunks of one origin."""

    interval: int = -1  # the newest
    received_at_ms: float = 0.0  # when that interval was first received, on this reader's clock
    chunks: dict[str, ReportChunk] = field(default_factory=dict)


class FleetEvidence:
    """All edges' reports.  Merging keeps each origin's newest interval, in whatever order they come."""

    def __init__(
        self, settings: FailoverSettings, *, max_origins: int = GossipStoreSettings().max_origins
    ) -> None:
        """`max_origins` is as the gossip store's own."""
        self.settings = settings
        self.max_origins = max_origins
        self.rejected = 0
        self._senders: dict[Origin, _Sender] = {}

    def receive(self, origin: Origin, key: str, value: bytes | None, now_ms: float) -> bool:
        """Take an entry of the gossip store; returns whether it changed anything.

        Unreadable ones, and those of origins beyond `max_origins`, are counted in `rejected`.
        """
        if not key.startswith(REPORT_KEY_PREFIX) or len(key) > MAX_KEY_LENGTH:
            return False
        sender = self._senders.get(origin)
        if value is None:
            return sender is not None and sender.chunks.pop(key, None) is not None
        try:
            chunk = decode_report_chunk(value)
        except FailoverError:
            self.rejected += 1
            return False
        if sender is None:
            if len(self._senders) >= self.max_origins:
                self.rejected += 1
                return False
            sender = self._senders[origin] = _Sender()
        known = sender.chunks.get(key)
        if known is not None and known.interval >= chunk.interval:
            return False
        if known is None and len(sender.chunks) >= MAX_CHUNKS:
            return False
        sender.chunks[key] = chunk
        if chunk.interval > sender.interval:
            sender.interval, sender.received_at_ms = chunk.interval, now_ms
        return True

    def retain(self, alive: Collection[Origin]) -> None:
        """Forget all other origins: dead, suspect, or replaced by a newer incarnation."""
        for origin in [known for known in self._senders if known not in alive]:
            del self._senders[origin]

    def forget(self, origin: Origin) -> None:
        """Forget one origin."""
        self._senders.pop(origin, None)

    def latest_intervals(self) -> dict[Origin, int]:
        """Return the newest interval received of each origin."""
        return {origin: sender.interval for origin, sender in self._senders.items()}

    def reports(
        self, now_ms: float, origins: Collection[Origin] | None = None
    ) -> dict[Origin, dict[str, ReceivedReport]]:
        """Return the reports about known zones by origin and zone; `origins`: of these alone.

        They may be of any age: who weighs them looks at it.
        """
        if origins is None:
            return {origin: self._reports_of(sender, now_ms) for origin, sender in self._senders.items()}
        known = sorted(origin for origin in origins if origin in self._senders)
        return {origin: self._reports_of(self._senders[origin], now_ms) for origin in known}

    def _reports_of(self, sender: _Sender, now_ms: float) -> dict[str, ReceivedReport]:
        interval_ms, zones = self.settings.beat_ms, self.settings.zones
        silent_ms = max(0.0, now_ms - sender.received_at_ms)
        reports: dict[str, ReceivedReport] = {}
        for chunk in sender.chunks.values():
            for report in chunk.reports:
                if report.zone not in zones:
                    continue
                # A chunk older than the newest interval has waited for the intervals between as well.
                age_ms = (sender.interval - chunk.interval + report.age_intervals) * interval_ms + silent_ms
                attempted = chunk.interval - report.age_intervals
                reports[report.zone] = ReceivedReport(report, age_ms, attempted, silent_ms)
        return reports

    def zone_loads(self, now_ms: float) -> dict[str, float]:
        """Return each zone's own load as its edges reported it, units a second; nothing of what is old."""
        loads: dict[str, float] = {}
        for sender in self._senders.values():
            if now_ms - sender.received_at_ms <= LOAD_REPORTS * self.settings.calm_ms:
                for chunk in sender.chunks.values():
                    for report in chunk.reports:
                        loads[report.zone] = loads.get(report.zone, 0.0) + report.load
        return loads

    def is_any_zone_accused(self, now_ms: float) -> bool:
        """Whether any edge accuses a zone: then all report, so that there is a second opinion."""
        return any(
            report.health >= ZoneHealth.SLOW and now_ms - sender.received_at_ms <= self.settings.fresh_ms
            for sender in self._senders.values()
            for chunk in sender.chunks.values()
            for report in chunk.reports
        )

    def status(self) -> Mapping[str, object]:
        """Return plain values for an admin port."""
        senders = sum(bool(sender.chunks) for sender in self._senders.values())
        return {"tellers": senders, "refused": self.rejected}
