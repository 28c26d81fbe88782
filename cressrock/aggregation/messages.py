"""What senders, collectors and replicas send to one another: bytes, version 1.  Pure.

Each message is one byte of version and a MessagePack array, carried as the opaque data of the membership's
`Collect` datagram; the sender's name and incarnation are the envelope's.  Elements that a newer minor version
appends are ignored, another major version is not read.  Values are opaque here: those who publish them read
them.

- `Report` (sender -> collector): entries that changed, or all of them as a renewal; `ReportAck` answers.
- `ReportAck` without numbers (collector -> sender) is a push: evidence is requested, or everything anew.
- `Handover` (collector -> collector): entries of a zone that the receiver collects; `HandoverAck` answers.
- `ZoneSummary` (collector -> replicas and collectors): what one zone's senders come to.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.aggregation import (
    MalformedAggregationMessageError,
    UnsupportedAggregationVersionError,
)

VERSION = 1
CAPABILITY = b"collect/1"  # what a collector announces of itself among the members (`extra`)
MAX_KEY_BYTES, MAX_VALUE_BYTES = 64, 640  # as the gossip store's own
MAX_ENTRIES_PER_ORIGIN = 256
MAX_MISSING_NAMES = 8  # a sample of those that were not heard
MAX_PAYLOAD_BYTES = 1024  # of entries in a message: with its envelope below the membership's largest datagram
HEADER_BYTES = 24  # of a message beside its entries
MAX_QUOTED = 200  # characters of a decoder's complaint that go into an error

Count = Annotated[int, Meta(ge=0, le=2**53)]
Ms = Annotated[float, Meta(ge=0, le=1e12)]
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
Opaque = Annotated[bytes, Meta(max_length=4096)]


class ReportEntry(Struct, frozen=True, array_like=True):
    """One entry; a value of None: the key was removed.  Versions grow in a sender's incarnation.

    `age_ms`: how long ago it was published, by its sender's clock, then by those of collectors that handed
    it over.  Without it, what is sent anew to a new collector would look as if it were just published.
    """

    key: Key
    version: Count
    value: Value | None
    age_ms: Ms = 0.0


class Message(Struct, frozen=True, array_like=True, tag_field="t"):
    """Any message of the collectors."""


class Report(Message, frozen=True, tag=1):
    """A sender's entries.  Without any it says that the sender is there and has nothing to report."""

    number: Count  # of this report, to be named in the acknowledgement
    entries: Annotated[list[ReportEntry], Meta(max_length=MAX_ENTRIES_PER_ORIGIN)] = []


class ReportAck(Message, frozen=True, tag=2):
    """Which reports arrived (`numbers`; none: a push), and the collector's broadcast.

    `evidence_requested`: from all, within `window_ms` (drawn by each), and then every `update_interval_ms`.
    `resend_all`: send everything anew.  `broadcast`: opaque, the same bytes for any number of senders;
    `broadcast_number` orders those of one collector's incarnation.
    """

    numbers: Annotated[list[Count], Meta(max_length=MAX_ENTRIES_PER_ORIGIN)]
    broadcast_number: Count
    evidence_requested: bool
    window_ms: Ms
    update_interval_ms: Ms
    resend_all: bool = False
    broadcast: Opaque = b""


class HeldEntry(Struct, frozen=True, array_like=True):
    """One origin's entry as a collector holds it."""

    name: Name
    incarnation: Count
    entry: ReportEntry


class Handover(Message, frozen=True, tag=3):
    """Entries of a zone that the receiver collects."""

    number: Count
    zone: Annotated[str, Meta(max_length=64)]
    entries: Annotated[list[HeldEntry], Meta(max_length=1024)]


class HandoverAck(Message, frozen=True, tag=4):
    """The answer to `Handover`: the entries of this number are held here."""

    number: Count


class ZoneSummary(Message, frozen=True, tag=5):
    """What one zone's senders come to at one collector.

    `number` grows with each summary of this collector's incarnation.  `senders` were heard, `recent_senders`
    of them of late, of `members` that are present; `oldest_ms`: since the one that was not heard for longest.
    `sums` by key are opaque, never to be added to another collector's of the same zone.  A summary that fits
    no datagram comes in `chunks` messages of one number, and counts once all are there.
    """

    zone: Annotated[str, Meta(max_length=64)]
    number: Count
    senders: Count
    recent_senders: Count
    members: Count
    oldest_ms: Ms
    missing: Annotated[list[Name], Meta(max_length=MAX_MISSING_NAMES)]
    sums: Annotated[dict[Key, Opaque], Meta(max_length=256)]
    index: Annotated[int, Meta(ge=0, le=63)] = 0
    chunks: Annotated[int, Meta(ge=1, le=64)] = 1


AnyMessage = Report | ReportAck | Handover | HandoverAck | ZoneSummary


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for a member, by name."""

    recipient: str
    message: AnyMessage


_encode = msgspec.msgpack.Encoder().encode
_message_decoder = msgspec.msgpack.Decoder(AnyMessage)
_broadcast_decoder = msgspec.msgpack.Decoder(dict[Key, bytes])
_UNREADABLE = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)


def encode(message: AnyMessage) -> bytes:
    """Return a message's bytes."""
    return bytes((VERSION,)) + _encode(message)


def decode(data: bytes) -> AnyMessage:
    """Read a message.  Raises MalformedAggregationMessageError, UnsupportedAggregationVersionError."""
    if not data:
        raise MalformedAggregationMessageError("no bytes where a message of the collectors should be")
    if data[0] != VERSION:
        raise UnsupportedAggregationVersionError(
            f"a collectors' message of version {data[0]}; this program reads {VERSION}"
        )
    try:
        return _message_decoder.decode(memoryview(data)[1:])
    except _UNREADABLE as error:
        text = str(error)[:MAX_QUOTED]
        raise MalformedAggregationMessageError(f"a collectors' message that cannot be read: {text}") from None


def encode_broadcast(values: dict[str, bytes]) -> bytes:
    """Return the bytes of a broadcast: each summarizer's value by its name."""
    return _encode(values)


def decode_broadcast(data: bytes) -> dict[str, bytes]:
    """Read a broadcast.  Raises MalformedAggregationMessageError."""
    if not data:
        return {}
    try:
        return _broadcast_decoder.decode(data)
    except _UNREADABLE as error:
        text = str(error)[:MAX_QUOTED]
        raise MalformedAggregationMessageError(f"a broadcast that cannot be read: {text}") from None


def encoded_size(value: ReportEntry | HeldEntry) -> int:
    """Return an element's bytes on the wire."""
    return len(_encode(value))
