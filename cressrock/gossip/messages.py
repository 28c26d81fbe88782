"""The wire format of the replicated state: digests, and messages of changes.  MessagePack arrays.

Every message begins with the format and its kind.  Unknown further fields are ignored; entries of unknown
kinds are kept and passed on as they are, so that an older process in between loses nothing.  Bytes are read
and checked whole before anything of them is merged.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.gossip import MalformedGossipError, UnsupportedGossipFormatError

FORMAT = 1
MAX_NUMBER = (1 << 62) - 1

Origin = tuple[str, int]
"""The only writer of its entries: a process's name and its process incarnation."""

Payload = bytes | int | None
"""Of a value or an item bytes, of a counter or a removal a number; None: the entry is removed."""


class MessageKind(IntEnum):
    """What a message is for."""

    DIGEST = 0  # asks for what the sender lacks
    DELTA = 1  # the answer to a digest
    RECENT = 2  # changes that are broadcast
    FULL = 3  # a part of everything, for an exchange


class EntryKind(IntEnum):
    """What an entry is."""

    VALUE = 0
    COUNTER = 1
    ITEM = 2  # of an observed-remove map; its dot is (origin, version)
    REMOVAL = 3  # of an item up to a version, in the state of the process that removed it


# Looked up once: on the path of every entry an enumeration's attributes cost as much as the work.
_VALUE, _COUNTER, _ITEM, _REMOVAL = EntryKind


class EntryKey(NamedTuple):
    """What an entry is found by within its origin.

    `name` and `process_incarnation` are of a removed item's origin, and empty for other kinds.
    """

    kind: int
    key: str
    item: str = ""
    name: str = ""
    process_incarnation: int = 0


_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Text = Annotated[str, msgspec.Meta(max_length=65536)]


class _Head(msgspec.Struct, array_like=True, frozen=True):
    format: int
    kind: int


class EntryMessage(msgspec.Struct, array_like=True, frozen=True):
    """One entry."""

    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
    payload: bytes | Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)] | None
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)]
    key: _Text
    item: _Text = ""
    name: Annotated[str, msgspec.Meta(max_length=64)] = ""
    process_incarnation: _Number = 0

    def entry_key(self) -> EntryKey:
        """Return what the entry is found by."""
        return EntryKey(self.kind, self.key, self.item, self.name, self.process_incarnation)


class OriginSection(msgspec.Struct, array_like=True, frozen=True):
    """What one origin wrote after `after` and up to `upto`; with upto 0 only the entries themselves."""

    name: _Name
    process_incarnation: _Number
    after: _Number
    upto: _Number
    floor: _Number
    end: bool  # upto is all that the sender knows
    entries: list[EntryMessage]
    replaced: list[_Number] = []  # with upto 0: how many versions right before each entry are replaced

    @property
    def last_version(self) -> int:
        """The last version that the section speaks of."""
        last_entry = self.entries[-1].version if self.entries else 0
        return max(self.upto, last_entry)


class ChangesMessage(msgspec.Struct, array_like=True, frozen=True):
    """Entries of some origins."""

    format: int
    kind: int
    sections: list[OriginSection]


class KnownVersion(msgspec.Struct, array_like=True, frozen=True):
    """Up to which version a digest's sender knows everything of an origin."""

    name: _Name
    process_incarnation: _Number
    known: _Number
    floor: _Number = 0  # of a sweep under way, and how far it has come
    swept: _Number = 0


class _RangeBound(msgspec.Struct, array_like=True, frozen=True):
    name: Annotated[str, msgspec.Meta(max_length=64)]
    process_incarnation: _Number


class DigestMessage(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of the origins from `start` up to `end`, in their sorted order."""

    format: int
    kind: int
    start: _RangeBound
    end: _RangeBound | None
    known: list[KnownVersion]


EncodedEntry = tuple[int, bytes]
"""An entry's version and bytes."""


class EncodedSection(NamedTuple):
    """A section of an origin, ready for `encode_changes`; the fields of `OriginSection`."""

    name: str
    process_incarnation: int
    after: int
    upto: int
    floor: int
    end: bool
    entries: list[msgspec.Raw]
    replaced: list[int] | None = None


encode = msgspec.msgpack.Encoder().encode
_decode_head = msgspec.msgpack.Decoder(_Head).decode
_decode_changes = msgspec.msgpack.Decoder(ChangesMessage).decode
_decode_digest = msgspec.msgpack.Decoder(DigestMessage).decode


def encode_entry(key: EntryKey, version: int, payload: Payload) -> bytes:
    """Return an entry's bytes; what is empty at its end is left out."""
    kind, text, item, name, process_incarnation = key
    if kind in (_VALUE, _COUNTER):
        return encode((version, payload, kind, text))
    if kind == _ITEM:
        return encode((version, payload, kind, text, item))
    return encode((version, payload, kind, text, item, name, process_incarnation))


def raw_entries(entries: Sequence[EncodedEntry]) -> list[msgspec.Raw]:
    """Return encoded entries for a section."""
    return [msgspec.Raw(data) for _, data in entries]


def encode_changes(kind: MessageKind, sections: Sequence[EncodedSection]) -> bytes:
    """Return a message of changes; `replaced` is left out where it is None."""
    fields = [tuple(section) if section.replaced is not None else tuple(section)[:-1] for section in sections]
    return encode((FORMAT, kind, fields))


def encode_digest(start: Origin, end: Origin | None, known: Sequence[Sequence[str | int]]) -> bytes:
    """Return a digest; `known` has the fields of `KnownVersion`, without those that are left out."""
    return encode((FORMAT, MessageKind.DIGEST, start, end, known))


def decode_changes(data: bytes, max_bytes: int) -> ChangesMessage:
    """Read a message of changes.  Raises MalformedGossipError or UnsupportedGossipFormatError."""
    kind = _check_head(data, max_bytes)
    if kind not in (MessageKind.DELTA, MessageKind.RECENT, MessageKind.FULL):
        raise MalformedGossipError(f"message kind {kind} holds no changes")
    try:
        message = _decode_changes(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedGossipError(f"changes that cannot be read: {str(error)[:200]}") from None
    for section in message.sections:
        _check_section(section)
    return message


def decode_digest(data: bytes, max_bytes: int) -> DigestMessage:
    """Read a digest.  Raises MalformedGossipError or UnsupportedGossipFormatError."""
    kind = _check_head(data, max_bytes)
    if kind != MessageKind.DIGEST:
        raise MalformedGossipError(f"message kind {kind} is no digest")
    try:
        return _decode_digest(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedGossipError(f"a digest that cannot be read: {str(error)[:200]}") from None


def _check_head(data: bytes, max_bytes: int) -> int:
    """Return the kind of a message of a known format."""
    if len(data) > max_bytes:
        raise MalformedGossipError(f"{len(data)} bytes; at most {max_bytes} are looked at")
    try:
        head = _decode_head(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedGossipError(f"no gossip message: {str(error)[:200]}") from None
    if head.format != FORMAT:
        raise UnsupportedGossipFormatError(f"format {head.format}; this program reads {FORMAT}")
    return head.kind


def _check_section(section: OriginSection) -> None:
    low, high = section.after, section.upto or MAX_NUMBER
    if high < low or (not section.upto and section.after):
        raise MalformedGossipError(f"a section from {section.after} to {section.upto}")
    if section.replaced and (section.upto or len(section.replaced) != len(section.entries)):
        raise MalformedGossipError(
            f"{len(section.replaced)} counts of replaced versions for {len(section.entries)} entries"
        )
    if any(count >= entry.version for count, entry in zip(section.replaced, section.entries, strict=False)):
        raise MalformedGossipError("an entry that replaces what was before the first version")
    for entry in section.entries:
        if not low < entry.version <= high:
            raise MalformedGossipError(f"version {entry.version} after {low}, up to {high}")
        low = entry.version
        _check_entry(entry)


def _check_entry(entry: EntryMessage) -> None:
    """Refuse an entry of a known kind with what it cannot have; newer kinds are passed on as they are."""
    kind, payload = entry.kind, entry.payload
    if kind > _REMOVAL:
        return
    holds_bytes = kind in (_VALUE, _ITEM)
    if not entry.key or (payload is not None and isinstance(payload, bytes) != holds_bytes):
        raise MalformedGossipError(
            f"an entry of kind {kind} without a key, or with a payload of another kind"
        )
    if (entry.item and kind in (_VALUE, _COUNTER)) or (
        kind != _REMOVAL and (entry.name or entry.process_incarnation)
    ):
        raise MalformedGossipError(f"an entry of kind {kind} with fields of another kind")
    if kind == _REMOVAL and not entry.name:
        raise MalformedGossipError("a removal that names no origin")
