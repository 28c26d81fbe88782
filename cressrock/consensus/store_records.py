"""The rows of a replica's store: their types, and the checksum that each one carries.

Every row's checksum (xxHash3, 64 bits) is over its name and value, so that neither a flipped bit nor a row in
another's place goes unseen.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
import xxhash

from cressrock.consensus.raft.messages import EntryKind, LogEntry
from cressrock.consensus.raft.persistent_state import HardState, Snapshot
from cressrock.errors.consensus import StoreCorruptError

CHECKSUM_BYTES = 8

_T = TypeVar("_T")


class StoreHeader(msgspec.Struct, frozen=True, array_like=True):
    """Whose store this is; `removed`: the replica was removed from its group."""

    format: int
    cluster: str
    replica: str
    instance_id: str
    initial_replicas: tuple[str, ...] = ()  # who formed the group, () before; two groups never mix
    removed: bool = False

    @property
    def identity(self) -> str:
        """The replica's name in the replicated log."""
        return f"{self.replica}#{self.instance_id}"


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """How an entry is stored under its index: term, kind, data."""

    term: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    kind: EntryKind
    data: bytes


class HardStateRow(msgspec.Struct, frozen=True, array_like=True):
    """How the hard state is stored."""

    term: int
    voted_for: str
    commit: int
    generation: int


class SnapshotRow(msgspec.Struct, frozen=True, array_like=True):
    """How the snapshot is stored."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


class TailRow(msgspec.Struct, frozen=True, array_like=True):
    """The log's first and last index and its count, so that missing rows at the end are seen as well."""

    first: int
    last: int
    count: int


encode_record = msgspec.msgpack.Encoder().encode


def seal(label: str, value: bytes) -> bytes:
    """Return a row's bytes: checksum over label and value, then the value."""
    return xxhash.xxh3_64_digest(label.encode() + b"\0" + value) + value


def unseal(label: str, data: object) -> bytes:
    """Return a row's value.  Raises StoreCorruptError."""
    if not isinstance(data, bytes) or len(data) < CHECKSUM_BYTES:
        raise StoreCorruptError(f"the row {label!r} of the store has no checksum")
    checksum, value = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if xxhash.xxh3_64_digest(label.encode() + b"\0" + value) != checksum:
        raise StoreCorruptError(f"the row {label!r} of the store does not have its checksum")
    return value


def decode_record(kind: type[_T], label: str, data: object) -> _T:
    """Return the record in a sealed row.  Raises StoreCorruptError."""
    value = unseal(label, data)
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except msgspec.DecodeError as error:
        raise StoreCorruptError(f"the row {label!r} of the store cannot be read: {error}") from None


def entry_label(index: int) -> str:
    """Return the label under which an entry's row is sealed."""
    return f"log {index}"


def encode_entry(entry: LogEntry) -> bytes:
    """Return an entry's sealed row."""
    return seal(entry_label(entry.index), encode_record(StoredEntry(entry.term, entry.kind, entry.data)))


def encode_hard_state(hard_state: HardState) -> bytes:
    """Return the record of a hard state."""
    return encode_record(
        HardStateRow(hard_state.term, hard_state.voted_for, hard_state.commit, hard_state.generation)
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the record of a snapshot."""
    return encode_record(SnapshotRow(snapshot.index, snapshot.term, tuple(snapshot.voters), snapshot.data))
