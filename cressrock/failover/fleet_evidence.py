"""All edges' reports as received by one process.  Pure.

A report's age is the time since the sender's interval was first received, on the reader's clock, plus the age
that the sender reported.  Only durations are combined, never timestamps of two clocks.
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

MAX_KEY_CHARS = len(REPORT_KEY_PREFIX) + 3
MAX_LOAD_AGE_REPORTS = 3  # regular report intervals without a report, then an edge's load is ignored


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """An edge's report about a zone, as received.

    `age_ms` is the time since the edge's last attempt there; `interval` is the sender's interval of that
    attempt; `sender_age_ms` is the time since the sender's newest interval was received.
    """

    report: ZoneReport
    age_ms: float
    interval: int
    sender_age_ms: float = 0.0


@dataclass(slots=True)
class _Sender:
    """The report chunks of one origin, by key."""

    interval: int = -1  # the newest received
    received_at_ms: float = 0.0  # when that interval was first received, on this reader's clock
    chunks: dict[str, ReportChunk] = field(default_factory=dict)


class FleetEvidence:
    """All edges' reports.  For each origin and key the newest interval is kept, in any order of arrival."""

    def __init__(
        self, settings: FailoverSettings, *, max_origins: int = GossipStoreSettings().max_origins
    ) -> None:
        """`max_origins` limits the number of senders, by default as in the gossip store."""
        self.settings = settings
        self.max_origins = max_origins
        self.rejected = 0
        self._senders: dict[Origin, _Sender] = {}

    def receive(self, origin: Origin, key: str, value: bytes | None, now_ms: float) -> bool:
        """Receive a gossip store entry (None: removed); returns whether it changed anything.

        Entries that cannot be decoded and those of origins beyond `max_origins` are counted in `rejected`.
        """
        if not key.startswith(REPORT_KEY_PREFIX) or len(key) > MAX_KEY_CHARS:
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
        """Remove all origins not in `alive`: dead, suspect, or replaced by a newer incarnation."""
        for origin in [known for known in self._senders if known not in alive]:
            del self._senders[origin]

    def forget(self, origin: Origin) -> None:
        """Remove one origin's reports, if there are any."""
        self._senders.pop(origin, None)

    def latest_intervals(self) -> dict[Origin, int]:
        """Return the newest interval received from each origin."""
        return {origin: sender.interval for origin, sender in self._senders.items()}

    def reports(
        self, now_ms: float, origins: Collection[Origin] | None = None
    ) -> dict[Origin, dict[str, ReceivedReport]]:
        """Return the reports about known zones by origin and zone, of all origins or only of `origins`.

        Reports of any age are included; the caller checks their age.
        """
        if origins is None:
            return {origin: self._reports_of(sender, now_ms) for origin, sender in self._senders.items()}
        known = sorted(origin for origin in origins if origin in self._senders)
        return {origin: self._reports_of(self._senders[origin], now_ms) for origin in known}

    def _reports_of(self, sender: _Sender, now_ms: float) -> dict[str, ReceivedReport]:
        interval_ms, zones = self.settings.beat_ms, self.settings.zones
        sender_age_ms = max(0.0, now_ms - sender.received_at_ms)
        reports: dict[str, ReceivedReport] = {}
        for chunk in sender.chunks.values():
            for report in chunk.reports:
                if report.zone not in zones:
                    continue
                # A chunk of an older interval has also aged by the intervals up to the newest one.
                age_ms = (
                    sender.interval - chunk.interval + report.age_intervals
                ) * interval_ms + sender_age_ms
                attempted = chunk.interval - report.age_intervals
                reports[report.zone] = ReceivedReport(report, age_ms, attempted, sender_age_ms)
        return reports

    def zone_loads(self, now_ms: float) -> dict[str, float]:
        """Return each zone's own load in units per second, summed over recently received reports."""
        loads: dict[str, float] = {}
        for sender in self._senders.values():
            if now_ms - sender.received_at_ms <= MAX_LOAD_AGE_REPORTS * self.settings.calm_ms:
                for chunk in sender.chunks.values():
                    for report in chunk.reports:
                        loads[report.zone] = loads.get(report.zone, 0.0) + report.load
        return loads

    def is_any_zone_accused(self, now_ms: float) -> bool:
        """Whether any edge accuses a zone; if so, all edges report, to confirm or contradict it."""
        return any(
            report.health >= ZoneHealth.SLOW and now_ms - sender.received_at_ms <= self.settings.fresh_ms
            for sender in self._senders.values()
            for chunk in sender.chunks.values()
            for report in chunk.reports
        )

    def status(self) -> Mapping[str, object]:
        """Return counts for the admin port."""
        senders = sum(bool(sender.chunks) for sender in self._senders.values())
        return {"tellers": senders, "refused": self.rejected}
