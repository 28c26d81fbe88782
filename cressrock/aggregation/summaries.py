"""One process's view of the summaries of all collectors.

Zones are disjoint sets of origins, so sums of *different* zones may be added.  Sums of *one* zone by two
collectors must not be: both may contain the same origin at different ages.  Only one of them is used, the one
with more recent senders, then with more senders.  The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from cressrock.aggregation.messages import ZoneSummary
from cressrock.aggregation.ranking import CollectorId
from cressrock.aggregation.timings import AggregationTimings

MAX_SUMMARIES = 4096  # over all zones and collectors


@dataclass(frozen=True, slots=True)
class ReceivedSummary:
    """A collector's newest summary of a zone, and when it was received on this process's clock."""

    collector: CollectorId
    received_at_ms: float
    summary: ZoneSummary  # joined from all chunks

    def has_more_senders_than(self, other: ReceivedSummary) -> bool:
        """Whether it covers more recent senders, or as many and more senders in total."""
        own, others = self.summary, other.summary
        return (own.recent_senders, own.senders) > (others.recent_senders, others.senders)


class _SummaryKey(NamedTuple):
    """Identifies the summaries of a zone by one collector."""

    zone: str
    collector: CollectorId


@dataclass(slots=True)
class _PartialSummary:
    """The received chunks of a summary that is still incomplete."""

    number: int = -1
    by_index: dict[int, ZoneSummary] = field(default_factory=dict)

    def join(self, last: ZoneSummary) -> ZoneSummary:
        """Return one summary with the sums of all chunks; `last` supplies the other fields."""
        sums: dict[str, bytes] = {}
        for index in sorted(self.by_index):
            sums |= self.by_index[index].sums
        return msgspec.structs.replace(last, sums=sums, index=0, chunks=1)


class MergedSummaries:
    """Selects, for each zone, the unexpired summary that covers the most senders."""

    def __init__(self, timings: AggregationTimings) -> None:
        """Start without summaries; they expire `summary_ttl_ms` after they were received."""
        self.timings = timings
        self._incomplete: dict[_SummaryKey, _PartialSummary] = {}
        self._summaries: dict[_SummaryKey, ReceivedSummary] = {}

    def receive(self, now_ms: float, collector: CollectorId, summary: ZoneSummary) -> None:
        """Add a chunk of a summary; ignore older summaries, and new sources above `MAX_SUMMARIES`."""
        summary_key = _SummaryKey(summary.zone, collector)
        held = self._summaries.get(summary_key)
        if held is None and summary_key not in self._incomplete and self._is_full():
            return
        if held is not None and held.summary.number >= summary.number:
            return
        chunks = self._incomplete.setdefault(summary_key, _PartialSummary())
        if summary.number < chunks.number:
            return
        if summary.number > chunks.number:
            chunks.number, chunks.by_index = summary.number, {}
        chunks.by_index[summary.index] = summary
        if len(chunks.by_index) >= summary.chunks:
            self._summaries[summary_key] = ReceivedSummary(collector, now_ms, chunks.join(summary))
            del self._incomplete[summary_key]

    def _is_full(self) -> bool:
        return len(self._summaries) + len(self._incomplete) >= MAX_SUMMARIES

    def retain(self, collectors: Collection[CollectorId]) -> None:
        """Drop the summaries of all other collectors."""
        self._incomplete = {
            key: chunks for key, chunks in self._incomplete.items() if key.collector in collectors
        }
        self._summaries = {key: held for key, held in self._summaries.items() if key.collector in collectors}

    def has_others(self, own_id: CollectorId) -> bool:
        """Whether there is a complete summary from a collector other than `own_id`, expired or not."""
        return any(summary_key.collector != own_id for summary_key in self._summaries)

    def newest(self, zone: str, collector: CollectorId) -> ZoneSummary | None:
        """Return a collector's last complete summary of a zone, expired or not, or None."""
        held = self._summaries.get(_SummaryKey(zone, collector))
        return held.summary if held is not None else None

    def sums(self, now_ms: float) -> dict[str, Mapping[str, bytes]]:
        """Return the sums of the current summaries, by zone and key."""
        return {zone: received.summary.sums for zone, received in self.current(now_ms).items()}

    def current(self, now_ms: float) -> dict[str, ReceivedSummary]:
        """Return, by zone, the unexpired summary that covers the most senders."""
        current: dict[str, ReceivedSummary] = {}
        for summary_key, received in sorted(self._summaries.items()):
            if now_ms - received.received_at_ms > self.timings.summary_ttl_ms:
                continue
            best = current.get(summary_key.zone)
            if best is None or received.has_more_senders_than(best):
                current[summary_key.zone] = received
        return current
