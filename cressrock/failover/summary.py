"""Collectors' summaries of zone reports: their wire format, and how a leader reads them.  Pure.

A row counts the reports of one zone's edges about one zone.  Rows of different edge zones can be added, since
each process is in exactly one zone; for each edge zone there is one row (`aggregation.summaries`).  A row
contains the decided state and share under which its later attempts were counted; they are ignored if the
decision has changed since.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.failover import FailoverError
from cressrock.failover.reports import REPORT_KEY_PREFIX, Origin
from cressrock.failover.settings import FailoverSettings
from cressrock.failover.wire import decode_versioned
from cressrock.failover.witnesses import WitnessCounts, ZoneMark, ZoneMember

_Count = Annotated[int, Meta(ge=0, le=2**40)]
_UnitsPerSecond = Annotated[float, Meta(ge=0, le=1e15)]
# [unreachable, reachable, degraded, slow, suspects, failed attempts, attempts]
_Counts = Annotated[list[_Count], Meta(min_length=7, max_length=7)]
_Zone = Annotated[str, Meta(max_length=64)]


class SummaryRow(Struct, frozen=True, array_like=True):
    """Counts of the reports of one zone's edges about one zone; `load` and `demand` in units per second.

    `accusers`: edges whose fresh report is SLOW or worse.  `requesters`: edges whose clients have it as home
    zone.  `later`: counts of attempts since the zone's decided state is `state` with `share`.
    """

    counts: _Counts
    accusers: _Count
    requesters: _Count
    load: _UnitsPerSecond
    demand: _UnitsPerSecond
    state: Annotated[int, Meta(ge=0, le=255)]
    share: Annotated[int, Meta(ge=0, le=64)]
    later: _Counts


class ZoneLoads(Struct, frozen=True, array_like=True):
    """The zones' own loads in units per second, broadcast by collectors to every edge."""

    loads: Annotated[dict[_Zone, _UnitsPerSecond], Meta(max_length=64)]


_row_decoder = msgspec.msgpack.Decoder(SummaryRow)
_loads_decoder = msgspec.msgpack.Decoder(ZoneLoads)


def decode_summary_row(data: bytes) -> SummaryRow:
    """Decode a row.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_row_decoder, data, "summary row")


def decode_zone_loads(data: bytes) -> dict[str, float]:
    """Decode a broadcast.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_loads_decoder, data, "zone loads").loads


def decode_summary_rows(
    settings: FailoverSettings, sums: Mapping[str, Mapping[str, bytes]]
) -> dict[str, dict[str, SummaryRow]]:
    """Return the rows by the edges' zone and the reported zone; rows that cannot be decoded are left out.

    `sums` maps the edges' zone and the key to an encoded row.
    """
    rows: dict[str, dict[str, SummaryRow]] = {}
    for edge_zone, values in sums.items():
        zone_rows = rows.setdefault(edge_zone, {})
        for key, value in values.items():
            zone = key.removeprefix(REPORT_KEY_PREFIX)
            if not key.startswith(REPORT_KEY_PREFIX) or zone not in settings.zones:
                continue
            try:
                zone_rows[zone] = decode_summary_row(value)
            except FailoverError:  # e.g. from another program version; the leader uses the other rows
                continue
    return rows


def pack_counts(counts: WitnessCounts, edge_zone: str) -> list[int]:
    """Return the counts of one zone's edges in the order of `_Counts`."""
    return [
        counts.unreachable.get(edge_zone, 0),
        counts.reachable.get(edge_zone, 0),
        counts.degraded.get(edge_zone, 0),
        counts.slow,
        counts.suspects,
        counts.failed_attempts.get(edge_zone, 0),
        counts.attempts.get(edge_zone, 0),
    ]


def add_packed(counts: WitnessCounts, edge_zone: str, packed: list[int]) -> None:
    """Add a row's counts, made by edges in `edge_zone`, to `counts`."""
    unreachable, reachable, degraded, slow, suspects, failed_attempts, attempts = packed
    for table, number in (
        (counts.unreachable, unreachable),
        (counts.reachable, reachable),
        (counts.degraded, degraded),
    ):
        if number:
            table[edge_zone] = table.get(edge_zone, 0) + number
    if unreachable or reachable or degraded or attempts:
        counts.failed_attempts[edge_zone] = counts.failed_attempts.get(edge_zone, 0) + failed_attempts
        counts.attempts[edge_zone] = counts.attempts.get(edge_zone, 0) + attempts
    counts.slow += slow
    counts.suspects += suspects


class SummaryView:
    """The `witnesses.EvidenceView` of a leader that has collectors' summaries."""

    def __init__(
        self,
        settings: FailoverSettings,
        members: Iterable[ZoneMember],
        sums: Mapping[str, Mapping[str, bytes]],
        senders: Mapping[str, int],
    ) -> None:
        """`sums`: encoded rows by edges' zone and key; `senders`: the number of edges in them, by zone."""
        self.settings = settings
        self.rows = decode_summary_rows(settings, sums)
        edges: dict[str, int] = {}
        for member in members:
            if member.alive and member.is_edge:
                edges[member.zone] = edges.get(member.zone, 0) + 1
        # With less than half of the edges, this may be a new collector that its senders have yet to find.
        self._unreported = frozenset(
            zone for zone, count in edges.items() if 2 * senders.get(zone, 0) < count
        )

    def intervals(self) -> Mapping[Origin, int]:
        """Return an empty mapping: the collectors keep the intervals."""
        return {}

    def count_witnesses(self, zone: str, since: ZoneMark | None) -> WitnessCounts:
        """Add up the collectors' counts; with `since`, later attempts in rows of its state and share."""
        counts = WitnessCounts()
        for edge_zone, rows in sorted(self.rows.items()):
            row = rows.get(zone)
            if row is None:
                continue
            if since is None:
                add_packed(counts, edge_zone, row.counts)
            elif (row.state, row.share) == since.state_and_share:
                add_packed(counts, edge_zone, row.later)
        return counts

    def remote_requesters(self, zone: str) -> int:
        """Return the number of edges in other zones whose clients have this home zone."""
        return sum(
            rows[zone].requesters
            for edge_zone, rows in self.rows.items()
            if zone in rows and edge_zone != zone
        )

    def load(self, zone: str) -> float:
        """Return the zone's own load in units per second."""
        return sum(rows[zone].load for rows in self.rows.values() if zone in rows)

    def demand(self, zone: str, edge_zones: Collection[str]) -> float:
        """Return the demand with this home zone in units per second."""
        return sum(
            rows[zone].demand
            for edge_zone, rows in self.rows.items()
            if zone in rows and (not edge_zones or edge_zone in edge_zones)
        )

    def unreported_zones(self) -> frozenset[str]:
        """Return the zones without a summary, or with one of less than half of the alive edges."""
        return self._unreported
