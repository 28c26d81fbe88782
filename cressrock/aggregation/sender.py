"""Reports one process's entries to the collector of its zone, without I/O or a clock of its own.

Collector: the first one in the zone's ranking (`ranking`).  A collector that does not answer is avoided for
an exponentially growing backoff; the next one in the ranking takes over long before the membership declares
the first one dead.

Timing: a changed entry is sent at once.  Unacknowledged entries are sent again after `ack_timeout_ms` or
three times the smoothed answer time, whichever is longer.  A new collector, or a new incarnation of one, gets
all entries at a random time, so that the senders of a zone do not all report at once.  All entries are sent
again about every `renewal_interval_ms`.  Traffic per sender does not grow with the fleet.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from cressrock.aggregation.messages import (
    HEADER_BYTES,
    MAX_ENTRIES_PER_ORIGIN,
    MAX_KEY_BYTES,
    MAX_PAYLOAD_BYTES,
    MAX_VALUE_BYTES,
    OutgoingMessage,
    Report,
    ReportAck,
    ReportEntry,
    encoded_size,
)
from cressrock.aggregation.ranking import CollectorId, rank_collectors
from cressrock.aggregation.timings import AggregationTimings
from cressrock.errors.aggregation import ReportTooLargeError

ACK_TIMEOUT_FACTOR = 3  # least ack timeout, in smoothed answer times
ACK_LATENCY_SMOOTHING = 8  # a new answer time has weight 1 / this in the average
MAX_QUOTED_CHARS = 80  # of a key, in an error text
NEVER_MS = -1.0


@dataclass(slots=True)
class _Entry:
    """An entry of this process; a value of None is a removal."""

    version: int
    value: bytes | None
    published_at_ms: float
    acknowledged: bool = False  # by the current collector


@dataclass(slots=True)
class _Backoff:
    """The backoff from a collector that did not answer: when it ends, and its length before jitter."""

    until_ms: float = 0.0
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class _SentVersion:
    key: str
    version: int


class ReportSender:
    """Holds a process's entries and reports them until the collector has acknowledged them."""

    def __init__(self, zone: str, timings: AggregationTimings, rng: random.Random, now_ms: float) -> None:
        """`zone`: the zone of this process; `rng` randomizes send times."""
        self.zone, self.timings, self.rng = zone, timings, rng
        self.collector: CollectorId | None = None
        self.broadcast = b""  # newest one from the current collector
        self.counts = {"told": 0, "again": 0, "moved": 0}
        self._collectors: tuple[CollectorId, ...] = ()
        self._ranking: list[CollectorId] = []
        self._entries: dict[str, _Entry] = {}
        self._version = 0  # of the last change
        self._report_number = 0  # of the last report
        self._unacknowledged: dict[int, list[_SentVersion]] = {}  # by report number
        self._backoffs: dict[CollectorId, _Backoff] = {}
        self._sent_at_ms = 0.0
        self._ack_latency_ms = 0.0  # smoothed time until an acknowledgement
        self._failed_attempts = 0  # consecutive reports without an acknowledgement
        self._next_report_ms = now_ms  # earliest time of the next report
        self._next_renewal_ms = now_ms + timings.renewal_interval_ms * rng.random()
        self._ack_deadline_ms = 0.0  # 0: no acknowledgement is pending
        self._newest_broadcast = (0, -1)  # (collector incarnation, broadcast number)
        self._evidence_requested_until_ms = NEVER_MS
        self._update_interval_ms = timings.min_update_interval_ms
        self._window_ms = timings.min_update_interval_ms

    # --- entries

    def put(self, key: str, value: bytes | None, now_ms: float) -> None:
        """Set an entry; None removes it.  Raises ReportTooLargeError, also for too many entries."""
        entry = self._entries.get(key)
        if entry is not None and entry.value == value or entry is None and value is None:
            return
        if len(key) > MAX_KEY_BYTES or value is not None and len(value) > MAX_VALUE_BYTES:
            raise ReportTooLargeError(
                f"entry {key[:MAX_QUOTED_CHARS]!r} has a value of {len(value or b'')} bytes; "
                f"the key is too long or the value exceeds {MAX_VALUE_BYTES} bytes"
            )
        if entry is None and len(self._entries) >= MAX_ENTRIES_PER_ORIGIN:
            raise ReportTooLargeError(
                f"entry {key!r} rejected: a process may report at most {MAX_ENTRIES_PER_ORIGIN} entries"
            )
        self._version += 1
        self._entries[key] = _Entry(self._version, value, now_ms)

    def entries(self) -> dict[str, bytes]:
        """Return the current entries, without removed ones."""
        return {key: entry.value for key, entry in self._entries.items() if entry.value is not None}

    def version_of(self, key: str) -> int:
        """Return the version of an entry.  Raises KeyError once its removal is acknowledged."""
        return self._entries[key].version

    def is_empty(self) -> bool:
        """Whether there are no entries and no unacknowledged removals."""
        return not self._entries

    # --- choice of collector

    def update_collectors(self, collectors: Iterable[CollectorId]) -> None:
        """Set the available collectors: those that the membership holds alive or suspect."""
        present = tuple(sorted(collectors))
        if present != self._collectors:
            self._collectors = present
            self._ranking = rank_collectors(self.zone, present)
            for collector in [known for known in self._backoffs if known not in present]:
                del self._backoffs[collector]

    def _first_available_collector(self, now_ms: float) -> CollectorId | None:
        """Return the first collector in the ranking without an active backoff, or None."""
        for collector in self._ranking:
            backoff = self._backoffs.get(collector)
            if backoff is None or backoff.until_ms <= now_ms:
                return collector
        return None

    def _select_collector(self, now_ms: float) -> None:
        chosen = self._first_available_collector(now_ms)
        if chosen == self.collector:
            return
        was_unassigned, self.collector = self.collector is None, chosen
        self._unacknowledged.clear()
        self._failed_attempts = 0
        self._mark_all_unacknowledged()
        self.counts["moved"] += not was_unassigned
        # All senders of a zone switch at the same moment; a random delay spreads their reports.
        self._schedule_renewal(now_ms, self._window_ms)
        self._ack_deadline_ms = 0.0

    def _mark_all_unacknowledged(self) -> None:
        for entry in self._entries.values():
            entry.acknowledged = False

    def _schedule_renewal(self, now_ms: float, window_ms: float) -> None:
        """Schedule a report of all entries at a random time within `window_ms`."""
        self._next_report_ms = max(self._next_report_ms, now_ms + window_ms * self.rng.random())
        self._next_renewal_ms = min(self._next_renewal_ms, self._next_report_ms)

    # --- sending

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the reports due now; handle a missed acknowledgement and a change of collector."""
        if self._ack_deadline_ms and now_ms >= self._ack_deadline_ms:
            self._handle_ack_timeout(now_ms)
        self._select_collector(now_ms)
        if self.collector is None or now_ms < self._next_report_ms or self._ack_deadline_ms:
            return []
        renew = now_ms >= self._next_renewal_ms
        if not renew and self._all_acknowledged():
            return []
        if renew:
            interval_ms = self.timings.renewal_interval_ms * (0.75 + self.rng.random() / 2)
            self._next_renewal_ms = now_ms + interval_ms
            self._mark_all_unacknowledged()
        reports = self._build_reports(self.collector, now_ms)
        # The timeout does not grow with attempts, so that an unresponsive collector is soon replaced.
        timeout_ms = max(self.timings.ack_timeout_ms, ACK_TIMEOUT_FACTOR * self._ack_latency_ms)
        self._ack_deadline_ms = now_ms + timeout_ms * (1 + self.rng.random() / 4)
        self._sent_at_ms = now_ms
        return reports

    def _handle_ack_timeout(self, now_ms: float) -> None:
        timings = self.timings
        self._ack_deadline_ms = 0.0
        self._failed_attempts += 1
        self.counts["again"] += 1
        self._unacknowledged.clear()
        if self.collector is not None and self._failed_attempts >= timings.max_attempts:
            backoff = self._backoffs.setdefault(self.collector, _Backoff())
            backoff.wait_ms = min(timings.max_backoff_ms, max(timings.min_backoff_ms, 2 * backoff.wait_ms))
            backoff.until_ms = now_ms + backoff.wait_ms * (0.5 + self.rng.random() / 2)

    def _build_reports(self, collector: CollectorId, now_ms: float) -> list[OutgoingMessage]:
        """Return reports of all unacknowledged entries; one empty report if there are none."""
        batches: list[list[ReportEntry]] = [[]]
        free_bytes = MAX_PAYLOAD_BYTES - HEADER_BYTES
        for key, own_entry in sorted(self._entries.items()):
            if own_entry.acknowledged:
                continue
            age_ms = round(max(0.0, now_ms - own_entry.published_at_ms))
            entry = ReportEntry(key, own_entry.version, own_entry.value, age_ms)
            size = encoded_size(entry)
            if batches[-1] and size > free_bytes:
                batches.append([])
                free_bytes = MAX_PAYLOAD_BYTES - HEADER_BYTES
            batches[-1].append(entry)
            free_bytes -= size
        return [OutgoingMessage(collector[0], self._build_report(batch)) for batch in batches]

    def _build_report(self, entries: list[ReportEntry]) -> Report:
        self._report_number += 1
        sent = [_SentVersion(entry.key, entry.version) for entry in entries]
        self._unacknowledged[self._report_number] = sent
        self.counts["told"] += 1
        return Report(self._report_number, entries)

    def next_due_ms(self) -> float:
        """Return when `tick` is next due if entries and collectors do not change; inf without a collector."""
        if self.collector is None:
            return math.inf  # the channel still calls `tick` at each of its steps
        if self._ack_deadline_ms:
            return self._ack_deadline_ms
        return max(
            self._next_report_ms, self._next_renewal_ms if self._all_acknowledged() else self._next_report_ms
        )

    # --- acknowledgements and pushes

    def receive(self, now_ms: float, sender: str, incarnation: int, ack: ReportAck) -> bool:
        """Process an acknowledgement or a push; return whether the broadcast or evidence request changed."""
        if self.collector != (sender, incarnation):
            return False  # from a former collector, whose broadcast may be old
        self._acknowledge(now_ms, ack.numbers)
        number = (incarnation, ack.broadcast_number)
        if number <= self._newest_broadcast:
            return False
        self._newest_broadcast = number
        before = self.broadcast, self.is_evidence_requested(now_ms)
        self.broadcast = ack.broadcast
        self._update_interval_ms = max(self.timings.min_update_interval_ms, ack.update_interval_ms)
        self._window_ms = ack.window_ms
        if ack.resend_all:
            self._mark_all_unacknowledged()
            self._schedule_renewal(now_ms, ack.window_ms)
        if ack.evidence_requested:
            if not self.is_evidence_requested(now_ms):
                self._next_report_ms = max(self._next_report_ms, now_ms + ack.window_ms * self.rng.random())
            self._evidence_requested_until_ms = now_ms + self.timings.evidence_request_ttl_ms
        else:
            self._evidence_requested_until_ms = NEVER_MS
        return (self.broadcast, ack.evidence_requested) != before

    def _acknowledge(self, now_ms: float, numbers: list[int]) -> None:
        for number in numbers:
            for sent in self._unacknowledged.pop(number, ()):
                entry = self._entries.get(sent.key)
                if entry is not None and entry.version == sent.version:
                    entry.acknowledged = True
                    if entry.value is None:
                        del self._entries[sent.key]
        if numbers:
            self._failed_attempts = 0
            if self.collector is not None:
                self._backoffs.pop(self.collector, None)
            if self._ack_deadline_ms:
                self._ack_latency_ms += (
                    now_ms - self._sent_at_ms - self._ack_latency_ms
                ) / ACK_LATENCY_SMOOTHING
        if not self._unacknowledged:
            self._ack_deadline_ms = 0.0

    def is_evidence_requested(self, now_ms: float) -> bool:
        """Whether the collector currently requests evidence from all senders."""
        return now_ms < self._evidence_requested_until_ms

    def update_interval_ms(self) -> float:
        """Return the least time between changes that the collector accepts while evidence is requested."""
        return self._update_interval_ms

    def is_acknowledged(self) -> bool:
        """Whether there is a collector and it has acknowledged all entries."""
        return self.collector is not None and self._all_acknowledged()

    def _all_acknowledged(self) -> bool:
        return all(entry.acknowledged for entry in self._entries.values())
