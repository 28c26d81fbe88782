"""The wire format of the replicated state: digests and change messages, encoded as MessagePack arrays.

Every message begins with the format version and its kind.  Additional trailing fields are ignored.  Entries
of unknown kinds are stored and forwarded unchanged, so that a process of an older release between two newer
ones loses nothing.  A message is decoded and validated completely before any of it is merged.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.gossip import MalformedGossipError, UnsupportedGossipFormatError

FORMAT = 1
MAX_INTEGER = (1 << 62) - 1

Origin = tuple[str, int]
"""A process's name and process incarnation; each origin is the only writer of its entries."""

Payload = bytes | int | None
"""Bytes for a value or an item, an integer for a counter or a removal; None for a tombstone."""


class MessageKind(IntEnum):
    """The purpose of a message."""

    DIGEST = 0  # lists the versions known to the sender; requests what it lacks
    DELTA = 1  # reply to a digest
    RECENT = 2  # broadcast of recent changes
    FULL = 3  # part of the full state, sent in a full exchange


class EntryKind(IntEnum):
    """The type of an entry."""

    VALUE = 0
    COUNTER = 1
    ITEM = 2  # item of an observed-remove map; its dot is (origin, version)
    REMOVAL = 3  # removes an item up to a version; stored by the process that removed it


# Bound once: an enum attribute lookup for every entry would cost as much as the rest of the work.
_VALUE, _COUNTER, _ITEM, _REMOVAL = EntryKind


class EntryKey(NamedTuple):
    """Identifies an entry within its origin.

    `name` and `process_incarnation` are the origin of the item that a removal refers to; they are empty for
    other kinds.
    """

    kind: int
    key: str
    item: str = ""
    name: str = ""
    process_incarnation: int = 0


_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Text = Annotated[str, msgspec.Meta(max_length=65536)]


class _Header(msgspec.Struct, array_like=True, frozen=True):
    format: int
    kind: int


class EntryMessage(msgspec.Struct, array_like=True, frozen=True):
    """A decoded entry."""

    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    payload: bytes | Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)] | None
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)]
    key: _Text
    item: _Text = ""
    name: Annotated[str, msgspec.Meta(max_length=64)] = ""
    process_incarnation: _NonNegativeInt = 0

    def entry_key(self) -> EntryKey:
        """Return the key under which the origin's state stores the entry."""
        return EntryKey(self.kind, self.key, self.item, self.name, self.process_incarnation)


class OriginSection(msgspec.Struct, array_like=True, frozen=True):
    """The writes of one origin in (after, upto]; if `upto` is 0, only the listed entries."""

    name: _Name
    process_incarnation: _NonNegativeInt
    after: _NonNegativeInt
    upto: _NonNegativeInt
    floor: _NonNegativeInt
    end: bool  # whether the sender knows no version after `upto`
    entries: list[EntryMessage]
    # Only if `upto` is 0: for each entry, how many versions directly before it were replaced.
    replaced: list[_NonNegativeInt] = []

    @property
    def last_version(self) -> int:
        """The highest version that the section covers."""
        last_entry = self.entries[-1].version if self.entries else 0
        return max(self.upto, last_entry)


class ChangesMessage(msgspec.Struct, array_like=True, frozen=True):
    """A decoded message of any kind but DIGEST: sections of entries, one per origin."""

    format: int
    kind: int
    sections: list[OriginSection]


class KnownVersion(msgspec.Struct, array_like=True, frozen=True):
    """The version of an origin up to which a digest's sender knows everything."""

    name: _Name
    process_incarnation: _NonNegativeInt
    known: _NonNegativeInt
    floor: _NonNegativeInt = 0  # the floor of the sweep in progress, 0 if none
    swept: _NonNegativeInt = 0  # the last version received by that sweep


class _RangeBound(msgspec.Struct, array_like=True, frozen=True):
    name: Annotated[str, msgspec.Meta(max_length=64)]
    process_incarnation: _NonNegativeInt


class DigestMessage(msgspec.Struct, array_like=True, frozen=True):
    """The versions the sender knows of the sorted origins from `start` to before `end` (None: the last)."""

    format: int
    kind: int
    start: _RangeBound
    end: _RangeBound | None
    known: list[KnownVersion]


EncodedEntry = tuple[int, bytes]
"""An entry's version and its encoded bytes."""


class EncodedSection(NamedTuple):
    """Input of `encode_changes`: the fields of `OriginSection`, with the entries already encoded."""

    name: str
    process_incarnation: int
    after: int
    upto: int
    floor: int
    end: bool
    entries: list[msgspec.Raw]
    replaced: list[int] | None = None


encode = msgspec.msgpack.Encoder().encode
_decode_header = msgspec.msgpack.Decoder(_Header).decode
_decode_changes = msgspec.msgpack.Decoder(ChangesMessage).decode
_decode_digest = msgspec.msgpack.Decoder(DigestMessage).decode


def encode_entry(key: EntryKey, version: int, payload: Payload) -> bytes:
    """Return an entry's encoded bytes, without the trailing fields that its kind does not use."""
    kind, key_text, item, name, process_incarnation = key
    if kind in (_VALUE, _COUNTER):
        return encode((version, payload, kind, key_text))
    if kind == _ITEM:
        return encode((version, payload, kind, key_text, item))
    return encode((version, payload, kind, key_text, item, name, process_incarnation))


def raw_entries(entries: Sequence[EncodedEntry]) -> list[msgspec.Raw]:
    """Return the entries' bytes wrapped so that the encoder copies them unchanged."""
    return [msgspec.Raw(data) for _, data in entries]


def encode_changes(kind: MessageKind, sections: Sequence[EncodedSection]) -> bytes:
    """Return an encoded message of changes; `replaced` is omitted from sections where it is None."""
    fields = [tuple(section) if section.replaced is not None else tuple(section)[:-1] for section in sections]
    return encode((FORMAT, kind, fields))


def encode_digest(start: Origin, end: Origin | None, known: Sequence[Sequence[str | int]]) -> bytes:
    """Return an encoded digest; `known` has the fields of `KnownVersion`, where defaults may be omitted."""
    return encode((FORMAT, MessageKind.DIGEST, start, end, known))


def decode_changes(data: bytes, max_bytes: int) -> ChangesMessage:
    """Decode and validate a message of changes.

    Raises MalformedGossipError, also for more than `max_bytes`, or UnsupportedGossipFormatError.
    """
    kind = _check_header(data, max_bytes)
    if kind not in (MessageKind.DELTA, MessageKind.RECENT, MessageKind.FULL):
        raise MalformedGossipError(f"message kind {kind} does not carry changes")
    try:
        message = _decode_changes(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedGossipError(f"cannot decode the message of changes: {str(error)[:200]}") from None
    for section in message.sections:
        _check_section(section)
    return message


def decode_digest(data: bytes, max_bytes: int) -> DigestMessage:
    """Decode a digest.

    Raises MalformedGossipError, also for more than `max_bytes`, or UnsupportedGossipFormatError.
    """
    kind = _check_header(data, max_bytes)
    if kind != MessageKind.DIGEST:
        raise MalformedGossipError(f"message kind {kind} is not a digest")
    try:
        return _decode_digest(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedGossipError(f"cannot decode the digest: {str(error)[:200]}") from None


def _check_header(data: bytes, max_bytes: int) -> int:
    """Return the kind of a message after checking its size and format version."""
    if len(data) > max_bytes:
        raise MalformedGossipError(f"message of {len(data)} bytes exceeds the limit of {max_bytes} bytes")
    try:
        header = _decode_header(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedGossipError(f"not a gossip message: {str(error)[:200]}") from None
    if header.format != FORMAT:
        raise UnsupportedGossipFormatError(
            f"unsupported gossip format {header.format}; this program reads format {FORMAT}"
        )
    return header.kind


def _check_section(section: OriginSection) -> None:
    low, high = section.after, section.upto or MAX_INTEGER
    if high < low or (not section.upto and section.after):
        raise MalformedGossipError(
            f"section with an invalid version range: after {section.after}, up to {section.upto}"
        )
    if section.replaced and (section.upto or len(section.replaced) != len(section.entries)):
        raise MalformedGossipError(
            f"section with {len(section.replaced)} counts of replaced versions"
            f" for {len(section.entries)} entries; the numbers must match, and `upto` must be 0"
        )
    if any(count >= entry.version for count, entry in zip(section.replaced, section.entries, strict=False)):
        raise MalformedGossipError("an entry's count of replaced versions reaches below version 1")
    for entry in section.entries:
        if not low < entry.version <= high:
            raise MalformedGossipError(
                f"entry version {entry.version} is out of order or range: must be above {low}, at most {high}"
            )
        low = entry.version
        _check_entry(entry)


def _check_entry(entry: EntryMessage) -> None:
    """Raise MalformedGossipError for fields that do not fit a known kind; unknown kinds are not checked."""
    kind, payload = entry.kind, entry.payload
    if kind > _REMOVAL:
        return
    holds_bytes = kind in (_VALUE, _ITEM)
    if not entry.key or (payload is not None and isinstance(payload, bytes) != holds_bytes):
        raise MalformedGossipError(f"entry of kind {kind} has no key, or a payload of the wrong type")
    if (entry.item and kind in (_VALUE, _COUNTER)) or (
        kind != _REMOVAL and (entry.name or entry.process_incarnation)
    ):
        raise MalformedGossipError(f"entry of kind {kind} sets fields that belong to another kind")
    if kind == _REMOVAL and not entry.name:
        raise MalformedGossipError("removal entry without the origin of the removed item")
