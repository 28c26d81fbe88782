"""Versions of writes, and the records that replicas keep and list for each path.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.replication import InvalidSetError

FORMAT_VERSION = 1  # first byte of an encoded page
FILE_KIND = "file"  # the other record kinds are "collection" and "gone" (a tombstone)
MAX_VERSION_CHARS = 40


class Version(NamedTuple):
    """A write's position in its shard's order: the epoch under which the primary ordered it, and a number."""

    epoch: int
    number: int

    def __str__(self) -> str:
        """Return the form used in headers, "epoch.number"."""
        return f"{self.epoch}.{self.number}"


NO_VERSION = Version(0, 0)


def parse_version(text: str) -> Version:
    """Parse a version from a header's "epoch.number".  Raises InvalidSetError."""
    epoch, _, number = text.strip().partition(".")
    if not (epoch.isdecimal() and number.isdecimal() and len(text) <= MAX_VERSION_CHARS):
        raise InvalidSetError(f"invalid version {text[:MAX_VERSION_CHARS]!r}; expected epoch.number")
    return Version(int(epoch), int(number))


@dataclass(frozen=True, slots=True)
class Record:
    """The newest write to a path at a replica."""

    path: str
    version: Version
    kind: str = FILE_KIND  # file, collection, gone
    cleared_version: Version = NO_VERSION  # everything below the path with an older version is deleted
    committed: bool = False  # known to be on every replica that takes writes
    timestamps: str = ""  # creation and modification time, as in TIMES_HEADER


class RecordEntry(msgspec.Struct, frozen=True, array_like=True):
    """A record as listed by a node."""

    key: Annotated[str, msgspec.Meta(max_length=8192)]
    version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARS)]
    kind: Annotated[str, msgspec.Meta(max_length=16)]  # file, collection, gone
    cleared_version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARS)]
    committed: bool

    def record(self) -> Record:
        """Return the entry as a record, without timestamps.  Raises InvalidSetError."""
        version, cleared = parse_version(self.version), parse_version(self.cleared_version)
        return Record(self.key, version, self.kind, cleared, self.committed)


class RecordPage(msgspec.Struct, frozen=True, array_like=True):
    """Records in the order of their paths; `more`: further pages follow."""

    entries: Annotated[tuple[RecordEntry, ...], msgspec.Meta(max_length=1024)]
    more: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecordPage)


def encode_page(page: RecordPage) -> bytes:
    """Encode a page as in a node's response: the format version byte, then MessagePack."""
    return bytes((FORMAT_VERSION,)) + _encoder.encode(page)


def decode_page(data: bytes) -> RecordPage:
    """Decode a node's page.  Raises InvalidSetError."""
    if not data or data[0] != FORMAT_VERSION:
        raise InvalidSetError("not an encoded page of records: empty, or wrong format version")
    try:
        return _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidSetError(f"page of records cannot be decoded: {error}") from None
