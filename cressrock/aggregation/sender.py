"""One process's reports to the collector of its zone.  Pure.

To whom.  The first collector of the ranking (`ranking`).  One that does not answer is backed off from for a
time that doubles; the next of the ranking takes over long before the members call the first one dead.

When.  A changed entry at once; what was not acknowledged again after `ack_timeout_ms`, or three times what
answers take; all entries anew to a new collector or a new incarnation of one, at a time that is drawn, so
that a zone's senders do not meet; everything every `renewal_interval_ms`, changed or not.  Bytes are flat:
nothing here grows with the fleet.
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

ANSWER_TIMES = 3  # a timeout is at least so many times what answers take
ANSWER_SMOOTHING = 8  # one answer's weight in that is 1 / this
MAX_QUOTED = 80  # characters of a key in an error
NEVER_MS = -1.0


@dataclass(slots=True)
class _Entry:
    """An own entry."""

    version: int
    value: bytes | None
    published_at_ms: float
    acknowledged: bool = False  # by the present collector


@dataclass(slots=True)
class _Backoff:
    """From a collector that did not answer."""

    until_ms: float = 0.0
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class _SentVersion:
    key: str
    version: int


class ReportSender:
    """An origin's entries, and what of them a collector has not acknowledged."""

    def __init__(self, zone: str, timings: AggregationTimings, source: random.Random, now_ms: float) -> None:
        """`zone`: this process's own; `source` draws times."""
        self.zone, self.timings, self.source = zone, timings, source
        self.collector: CollectorId | None = None
        self.broadcast = b""  # the newest of the present collector
        self.counts = {"told": 0, "again": 0, "moved": 0}
        self._collectors: tuple[CollectorId, ...] = ()
        self._ranking: list[CollectorId] = []
        self._entries: dict[str, _Entry] = {}
        self._version = 0  # of the newest change
        self._report_number = 0  # of the newest report
        self._unacknowledged: dict[int, list[_SentVersion]] = {}  # by report
        self._backoffs: dict[CollectorId, _Backoff] = {}
        self._sent_at_ms = 0.0
        self._answer_ms = 0.0  # how long an answer takes, smoothed
        self._failed_attempts = 0  # reports in a row without an acknowledgement
        self._next_report_ms = now_ms  # nothing is sent before
        self._next_renewal_ms = now_ms + timings.renewal_interval_ms * source.random()
        self._ack_deadline_ms = 0.0  # 0: none is awaited
        self._newest_broadcast = (0, -1)  # the collector's incarnation, and number
        self._evidence_requested_until_ms = NEVER_MS
        self._update_interval_ms = timings.min_update_interval_ms
        self._window_ms = timings.min_update_interval_ms

    # --- what is to be reported

    def put(self, key: str, value: bytes | None, now_ms: float) -> None:
        """Set an entry; None removes it.  Raises ReportTooLargeError."""
        entry = self._entries.get(key)
        if entry is not None and entry.value == value or entry is None and value is None:
            return
        if len(key) > MAX_KEY_BYTES or value is not None and len(value) > MAX_VALUE_BYTES:
            raise ReportTooLargeError(
                f"{key[:MAX_QUOTED]!r}: {len(value or b'')} bytes; at most {MAX_VALUE_BYTES} are told"
            )
        if entry is None and len(self._entries) >= MAX_ENTRIES_PER_ORIGIN:
            raise ReportTooLargeError(f"{key!r}: more than {MAX_ENTRIES_PER_ORIGIN} entries")
        self._version += 1
        self._entries[key] = _Entry(self._version, value, now_ms)

    def entries(self) -> dict[str, bytes]:
        """Return what stands."""
        return {key: entry.value for key, entry in self._entries.items() if entry.value is not None}

    def version_of(self, key: str) -> int:
        """Return the version of an entry that stands or whose removal is not acknowledged yet."""
        return self._entries[key].version

    def is_empty(self) -> bool:
        """Whether nothing stands, and nobody has to be told so."""
        return not self._entries

    # --- to whom

    def update_collectors(self, collectors: Iterable[CollectorId]) -> None:
        """Take the collectors that this process's members hold alive or suspect."""
        present = tuple(sorted(collectors))
        if present != self._collectors:
            self._collectors = present
            self._ranking = rank_collectors(self.zone, present)
            for collector in [known for known in self._backoffs if known not in present]:
                del self._backoffs[collector]

    def _choose(self, now_ms: float) -> CollectorId | None:
        """Return the first of the ranking that is not backed off from; None where there is none."""
        for collector in self._ranking:
            backoff = self._backoffs.get(collector)
            if backoff is None or backoff.until_ms <= now_ms:
                return collector
        return None

    def _move(self, now_ms: float) -> None:
        chosen = self._choose(now_ms)
        if chosen == self.collector:
            return
        first, self.collector = self.collector is None, chosen
        self._unacknowledged.clear()
        self._failed_attempts = 0
        self._forget_acknowledgements()
        self.counts["moved"] += not first
        # Danger: all of a zone's senders move in one moment.  Each waits for a time of its own.
        self._delay_within_window(now_ms, self._window_ms)
        self._ack_deadline_ms = 0.0

    def _forget_acknowledgements(self) -> None:
        for entry in self._entries.values():
            entry.acknowledged = False

    def _delay_within_window(self, now_ms: float, window_ms: float) -> None:
        """Send everything anew, at a drawn time."""
        self._next_report_ms = max(self._next_report_ms, now_ms + window_ms * self.source.random())
        self._next_renewal_ms = min(self._next_renewal_ms, self._next_report_ms)

    # --- when

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return what is to be sent now; mostly nothing."""
        if self._ack_deadline_ms and now_ms >= self._ack_deadline_ms:
            self._miss_acknowledgement(now_ms)
        self._move(now_ms)
        if self.collector is None or now_ms < self._next_report_ms or self._ack_deadline_ms:
            return []
        renew = now_ms >= self._next_renewal_ms
        if not renew and self._all_acknowledged():
            return []
        if renew:
            interval_ms = self.timings.renewal_interval_ms * (0.75 + self.source.random() / 2)
            self._next_renewal_ms = now_ms + interval_ms
            self._forget_acknowledgements()
        reports = self._reports(self.collector, now_ms)
        # Not longer with each attempt: who is silent is soon backed off from.
        timeout_ms = max(self.timings.ack_timeout_ms, ANSWER_TIMES * self._answer_ms)
        self._ack_deadline_ms = now_ms + timeout_ms * (1 + self.source.random() / 4)
        self._sent_at_ms = now_ms
        return reports

    def _miss_acknowledgement(self, now_ms: float) -> None:
        timings = self.timings
        self._ack_deadline_ms = 0.0
        self._failed_attempts += 1
        self.counts["again"] += 1
        self._unacknowledged.clear()
        if self.collector is not None and self._failed_attempts >= timings.max_attempts:
            backoff = self._backoffs.setdefault(self.collector, _Backoff())
            backoff.wait_ms = min(timings.max_backoff_ms, max(timings.min_backoff_ms, 2 * backoff.wait_ms))
            backoff.until_ms = now_ms + backoff.wait_ms * (0.5 + self.source.random() / 2)

    def _reports(self, collector: CollectorId, now_ms: float) -> list[OutgoingMessage]:
        """Return reports of all that is not acknowledged; one without entries where everything is."""
        batches: list[list[ReportEntry]] = [[]]
        free_bytes = MAX_PAYLOAD_BYTES - HEADER_BYTES
        for key, own in sorted(self._entries.items()):
            if own.acknowledged:
                continue
            age_ms = round(max(0.0, now_ms - own.published_at_ms))
            entry = ReportEntry(key, own.version, own.value, age_ms)
            size = encoded_size(entry)
            if batches[-1] and size > free_bytes:
                batches.append([])
                free_bytes = MAX_PAYLOAD_BYTES - HEADER_BYTES
            batches[-1].append(entry)
            free_bytes -= size
        return [OutgoingMessage(collector[0], self._report(batch)) for batch in batches]

    def _report(self, entries: list[ReportEntry]) -> Report:
        self._report_number += 1
        sent = [_SentVersion(entry.key, entry.version) for entry in entries]
        self._unacknowledged[self._report_number] = sent
        self.counts["told"] += 1
        return Report(self._report_number, entries)

    def next_due_ms(self) -> float:
        """Return when `tick` may have something to do, without a change of entries or collectors."""
        if self.collector is None:
            return math.inf  # nobody to report to: asked again whenever the channel looks
        if self._ack_deadline_ms:
            return self._ack_deadline_ms
        return max(
            self._next_report_ms, self._next_renewal_ms if self._all_acknowledged() else self._next_report_ms
        )

    # --- answers

    def receive(self, now_ms: float, sender: str, incarnation: int, ack: ReportAck) -> bool:
        """Take an answer or a push; returns whether the broadcast, or the request for evidence, is news."""
        if self.collector != (sender, incarnation):
            return False  # of one that was left: its broadcast may be old
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
            self._forget_acknowledgements()
            self._delay_within_window(now_ms, ack.window_ms)
        if ack.evidence_requested:
            if not self.is_evidence_requested(now_ms):
                self._next_report_ms = max(
                    self._next_report_ms, now_ms + ack.window_ms * self.source.random()
                )
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
                self._answer_ms += (now_ms - self._sent_at_ms - self._answer_ms) / ANSWER_SMOOTHING
        if not self._unacknowledged:
            self._ack_deadline_ms = 0.0

    def is_evidence_requested(self, now_ms: float) -> bool:
        """Whether the collector wants evidence from all."""
        return now_ms < self._evidence_requested_until_ms

    def update_interval_ms(self) -> float:
        """Return how often entries may change while evidence is requested: what a collector's core bears."""
        return self._update_interval_ms

    def is_acknowledged(self) -> bool:
        """Whether the present collector has all that is to be reported."""
        return self.collector is not None and self._all_acknowledged()

    def _all_acknowledged(self) -> bool:
        return all(entry.acknowledged for entry in self._entries.values())
