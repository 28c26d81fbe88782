"""The rows of a replica's store: their types and checksums.

Each row's checksum (xxHash3, 64 bits) covers its name and value, so that a flipped bit and a row stored under
another name are both detected.
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
    """The store's owner; `removed`: the replica was removed from its group."""

    format: int
    cluster: str
    replica: str
    instance_id: str
    initial_replicas: tuple[
        str, ...
    ] = ()  # identities that formed the group, () before that; keeps two groups apart
    removed: bool = False

    @property
    def identity(self) -> str:
        """The replica's identity `name#id` in the replicated log."""
        return f"{self.replica}#{self.instance_id}"


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry as stored under its index."""

    term: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    kind: EntryKind
    data: bytes


class HardStateRow(msgspec.Struct, frozen=True, array_like=True):
    """The hard state (term, vote, commit index, generation) as stored."""

    term: int
    voted_for: str
    commit: int
    generation: int


class SnapshotRow(msgspec.Struct, frozen=True, array_like=True):
    """The snapshot as stored: last covered index and its term, voters, encoded state."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


class TailRow(msgspec.Struct, frozen=True, array_like=True):
    """First and last index of the log and its length, so that missing rows at its end are detected."""

    first: int
    last: int
    count: int


encode_record = msgspec.msgpack.Encoder().encode


def seal(label: str, value: bytes) -> bytes:
    """Return a row's bytes: a checksum of label and value, followed by the value."""
    return xxhash.xxh3_64_digest(label.encode() + b"\0" + value) + value


def unseal(label: str, data: object) -> bytes:
    """Verify a row's checksum and return its value.  Raises StoreCorruptError."""
    if not isinstance(data, bytes) or len(data) < CHECKSUM_BYTES:
        raise StoreCorruptError(f"the row {label!r} of the store has no checksum")
    checksum, value = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    if xxhash.xxh3_64_digest(label.encode() + b"\0" + value) != checksum:
        raise StoreCorruptError(f"the row {label!r} of the store has a wrong checksum")
    return value


def decode_record(kind: type[_T], label: str, data: object) -> _T:
    """Verify a row and return the record of type `kind` in it.  Raises StoreCorruptError."""
    value = unseal(label, data)
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except msgspec.DecodeError as error:
        raise StoreCorruptError(f"the row {label!r} of the store cannot be decoded: {error}") from None


def entry_label(index: int) -> str:
    """Return the label that an entry's checksum covers."""
    return f"log {index}"


def encode_entry(entry: LogEntry) -> bytes:
    """Return an entry's row with its checksum."""
    return seal(entry_label(entry.index), encode_record(StoredEntry(entry.term, entry.kind, entry.data)))


def encode_hard_state(hard_state: HardState) -> bytes:
    """Return a hard state's record, without a checksum."""
    return encode_record(
        HardStateRow(hard_state.term, hard_state.voted_for, hard_state.commit, hard_state.generation)
    )


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot's record, without a checksum."""
    return encode_record(SnapshotRow(snapshot.index, snapshot.term, tuple(snapshot.voters), snapshot.data))
