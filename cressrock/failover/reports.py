"""What an edge reports of the zones, and how reports are cut into entries of the gossip store."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.failover.wire import decode_versioned, encode_versioned, encoded_size

REPORT_KEY_PREFIX = "zones/"  # reports are published as zones/0, zones/1, ...
MAX_CHUNK_BYTES = 600  # an entry of the gossip store may have 640
CHUNK_OVERHEAD_BYTES = 24  # version, interval and array headers
MAX_CHUNKS = 16
MAX_COUNT = 9999  # greatest count that a report holds

Origin = tuple[str, int]  # a process: its name and incarnation


class ZoneHealth(IntEnum):
    """What an edge concludes of a zone; from SLOW on it accuses the zone."""

    UNKNOWN = 0
    HEALTHY = 1
    SLOW = 2
    DEGRADED = 3
    UNREACHABLE = 4


# What the admin port says of a zone's health; operators' alerts match on these words.
_OUTER_NAMES = ("silent", "good", "slow", "half", "bad")


def outer_name(health: ZoneHealth) -> str:
    """Return the word by which a zone's health is known outside."""
    return _OUTER_NAMES[health]


class ZoneReport(Struct, frozen=True, array_like=True):
    """What an edge reports of one zone; counts are of the last `window` intervals in which it tried.

    `age_intervals` counts from the last attempt.  `load` is the edge's work there in units a second, without
    what it sent there for another zone; `demand` is what clients ask of this zone first, wherever it was
    served.  `streak` is how many attempts in a row arrived last; negative: how many failed.
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
    """One entry of the gossip store: the sender's interval and reports; newer programs append fields."""

    interval: Annotated[int, Meta(ge=0, le=2**53)]
    reports: Annotated[list[ZoneReport], Meta(max_length=64)]


_chunk_decoder = msgspec.msgpack.Decoder(ReportChunk)


def encode_reports(interval: int, reports: Iterable[ZoneReport]) -> list[bytes]:
    """Return the reports, by zone, in as many chunks as are needed, each of at most MAX_CHUNK_BYTES."""
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
    """Read one chunk.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_chunk_decoder, data, "evidence about zones")
