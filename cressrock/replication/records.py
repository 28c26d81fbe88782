"""Versions of writes, and the records of paths that replicas keep and list.  Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.replication import InvalidSetError

FORMAT_VERSION = 1  # of a page, its first byte
FILE_KIND = "file"  # of a record; the others are "collection" and "gone", a tombstone
MAX_VERSION_CHARS = 40


class Version(NamedTuple):
    """Where a write stands in its shard's order: the epoch of the primary that ordered it, and its number."""

    epoch: int
    number: int

    def __str__(self) -> str:
        """Return the form of the headers, "epoch.number"."""
        return f"{self.epoch}.{self.number}"


NO_VERSION = Version(0, 0)


def parse_version(text: str) -> Version:
    """Read a version from a header.  Raises InvalidSetError."""
    epoch, _, number = text.strip().partition(".")
    if not (epoch.isdecimal() and number.isdecimal() and len(text) <= MAX_VERSION_CHARS):
        raise InvalidSetError(f"{text[:MAX_VERSION_CHARS]!r} is no version")
    return Version(int(epoch), int(number))


@dataclass(frozen=True, slots=True)
class Record:
    """The newest write of a path at a replica."""

    path: str
    version: Version
    kind: str = FILE_KIND  # file, collection, gone
    cleared_version: Version = NO_VERSION  # all below the path under older versions is gone
    committed: bool = False  # every replica that takes writes has it
    timestamps: str = ""  # created and modified, as in TIMES_HEADER


class RecordEntry(msgspec.Struct, frozen=True, array_like=True):
    """A record as a node's list names it."""

    key: Annotated[str, msgspec.Meta(max_length=8192)]
    version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARS)]
    kind: Annotated[str, msgspec.Meta(max_length=16)]  # file, collection, gone
    cleared_version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARS)]
    committed: bool

    def record(self) -> Record:
        """Return the record.  Raises InvalidSetError."""
        version, cleared = parse_version(self.version), parse_version(self.cleared_version)
        return Record(self.key, version, self.kind, cleared, self.committed)


class RecordPage(msgspec.Struct, frozen=True, array_like=True):
    """Some records in the order of their paths; `more`: others follow."""

    entries: Annotated[tuple[RecordEntry, ...], msgspec.Meta(max_length=1024)]
    more: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecordPage)


def encode_page(page: RecordPage) -> bytes:
    """Return a page as a node answers it."""
    return bytes((FORMAT_VERSION,)) + _encoder.encode(page)


def decode_page(data: bytes) -> RecordPage:
    """Read a node's page.  Raises InvalidSetError."""
    if not data or data[0] != FORMAT_VERSION:
        raise InvalidSetError("no page of records")
    try:
        return _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidSetError(f"no page of records: {error}") from None
