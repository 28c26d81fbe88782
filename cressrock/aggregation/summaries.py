"""All collectors' summaries as one process holds them.  Pure.

A zone is a range of origins, so sums of *different* zones may be added.  Sums of *one* zone by two collectors
never are: an origin may be in both, at two ages.  One of the two counts: that of the collector which heard
more senders of late, then more at all.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from cressrock.aggregation.messages import ZoneSummary
from cressrock.aggregation.ranking import CollectorId
from cressrock.aggregation.timings import AggregationTimings

MAX_SUMMARIES = 4096  # held, of all zones and collectors


@dataclass(frozen=True, slots=True)
class ReceivedSummary:
    """A zone's newest summary of a collector, and when it was received, on this clock."""

    collector: CollectorId
    received_at_ms: float
    summary: ZoneSummary  # with the sums of all its chunks

    def is_fuller_than(self, other: ReceivedSummary) -> bool:
        """Whether its collector heard more senders of late, or as many and more at all."""
        own, others = self.summary, other.summary
        return (own.recent_senders, own.senders) > (others.recent_senders, others.senders)


class _Source(NamedTuple):
    """A zone, and a collector that summarizes it."""

    zone: str
    collector: CollectorId


@dataclass(slots=True)
class _Chunks:
    """A summary that is not complete yet."""

    number: int = -1
    by_index: dict[int, ZoneSummary] = field(default_factory=dict)

    def joined(self, last: ZoneSummary) -> ZoneSummary:
        """Return the whole summary."""
        sums: dict[str, bytes] = {}
        for index in sorted(self.by_index):
            sums |= self.by_index[index].sums
        return msgspec.structs.replace(last, sums=sums, index=0, chunks=1)


class MergedSummaries:
    """Of each zone, the fullest summary that is still new."""

    def __init__(self, timings: AggregationTimings) -> None:
        """Begin with none."""
        self.timings = timings
        self._incomplete: dict[_Source, _Chunks] = {}
        self._summaries: dict[_Source, ReceivedSummary] = {}

    def receive(self, now_ms: float, collector: CollectorId, summary: ZoneSummary) -> None:
        """Take a chunk of a summary; older ones than what is held change nothing."""
        source = _Source(summary.zone, collector)
        held = self._summaries.get(source)
        if held is None and source not in self._incomplete and self._is_full():
            return
        if held is not None and held.summary.number >= summary.number:
            return
        chunks = self._incomplete.setdefault(source, _Chunks())
        if summary.number < chunks.number:
            return
        if summary.number > chunks.number:
            chunks.number, chunks.by_index = summary.number, {}
        chunks.by_index[summary.index] = summary
        if len(chunks.by_index) >= summary.chunks:
            self._summaries[source] = ReceivedSummary(collector, now_ms, chunks.joined(summary))
            del self._incomplete[source]

    def _is_full(self) -> bool:
        return len(self._summaries) + len(self._incomplete) >= MAX_SUMMARIES

    def retain(self, collectors: Collection[CollectorId]) -> None:
        """Forget all other collectors."""
        self._incomplete = {s: chunks for s, chunks in self._incomplete.items() if s.collector in collectors}
        self._summaries = {s: held for s, held in self._summaries.items() if s.collector in collectors}

    def has_others(self, me: CollectorId) -> bool:
        """Whether another collector's summary is held."""
        return any(source.collector != me for source in self._summaries)

    def newest(self, zone: str, collector: CollectorId) -> ZoneSummary | None:
        """Return what a collector summarized last of a zone."""
        held = self._summaries.get(_Source(zone, collector))
        return held.summary if held is not None else None

    def sums(self, now_ms: float) -> dict[str, Mapping[str, bytes]]:
        """Return the sums that count now, by zone and key."""
        return {zone: received.summary.sums for zone, received in self.current(now_ms).items()}

    def current(self, now_ms: float) -> dict[str, ReceivedSummary]:
        """Return the summary of each zone that counts now."""
        current: dict[str, ReceivedSummary] = {}
        for source, received in sorted(self._summaries.items()):
            if now_ms - received.received_at_ms > self.timings.summary_ttl_ms:
                continue
            best = current.get(source.zone)
            if best is None or received.is_fuller_than(best):
                current[source.zone] = received
        return current
