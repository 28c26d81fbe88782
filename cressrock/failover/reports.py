"""An edge's reports about zones, and their encoding as entries of the gossip store."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.failover.wire import decode_versioned, encode_versioned, encoded_size

REPORT_KEY_PREFIX = "zones/"  # report chunks are published as zones/0, zones/1, ...
MAX_CHUNK_BYTES = 600  # the gossip store's limit for an entry is 640
CHUNK_OVERHEAD_BYTES = 24  # version, interval and array headers
MAX_CHUNKS = 16
MAX_COUNT = 9999  # largest count in a report

Origin = tuple[str, int]  # a process: its name and incarnation


class ZoneHealth(IntEnum):
    """A zone's health as seen by one edge; with SLOW and above the edge accuses the zone."""

    UNKNOWN = 0
    HEALTHY = 1
    SLOW = 2
    DEGRADED = 3
    UNREACHABLE = 4


# Names of the health values on the admin port; operators' alerts match them.
_OUTER_NAMES = ("silent", "good", "slow", "half", "bad")


def outer_name(health: ZoneHealth) -> str:
    """Return the name of a health value on the admin port."""
    return _OUTER_NAMES[health]


class ZoneReport(Struct, frozen=True, array_like=True):
    """An edge's report about one zone; counts cover `window` intervals up to the last attempt.

    `age_intervals` is the number of intervals since the last attempt.  `load` is the edge's work there in
    units per second, without what it spilled there for other zones.  `demand` is what its clients request
    with this home zone, in units per second, wherever it is served.  `streak` is the number of consecutive
    answers up to the last attempt; if negative, of consecutive failures.
    """

    zone: Annotated[str, Meta(max_length=64)]
    health: Annotated[int, Meta(ge=0, le=255)]
    reached: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    failed: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    slow: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    age_intervals: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0
    load: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    demand: Annotated[float, Meta(ge=0, le=1e12)] = 0.0
    streak: Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)] = 0


class ReportChunk(Struct, frozen=True, array_like=True):
    """One gossip store entry: the sender's interval and its reports.  Newer versions append fields."""

    interval: Annotated[int, Meta(ge=0, le=2**53)]
    reports: Annotated[list[ZoneReport], Meta(max_length=64)]


_chunk_decoder = msgspec.msgpack.Decoder(ReportChunk)


def encode_reports(interval: int, reports: Iterable[ZoneReport]) -> list[bytes]:
    """Return the reports, sorted by zone, as encoded chunks of at most MAX_CHUNK_BYTES each."""
    chunks: list[bytes] = []
    group: list[ZoneReport] = []
    group_bytes = 0
    for report in sorted(reports, key=lambda report: report.zone):
        report_bytes = encoded_size(report)
        if group and group_bytes + report_bytes > MAX_CHUNK_BYTES - CHUNK_OVERHEAD_BYTES:
            chunks.append(encode_versioned(ReportChunk(interval, group)))
            group, group_bytes = [], 0
        group.append(report)
        group_bytes += report_bytes
    chunks.append(encode_versioned(ReportChunk(interval, group)))
    return chunks


def decode_report_chunk(data: bytes) -> ReportChunk:
    """Decode one chunk.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_chunk_decoder, data, "zone report chunk")
