"""What tellers, collectors and seats say to one another: bytes, version 1.  Pure.

Each message is one byte of version and a MessagePack array, carried as the opaque data of the fleet's
`Collect` datagram; sender and life are the envelope's.  Elements that a newer minor version appends are
ignored, another major version is not read.  Values are opaque here: those who put them in read them.

- `Tell` (teller -> collector): entries that changed, or all of them as a renewal.
- `Got` (collector -> teller): which numbers arrived, and what comes down to everybody in the same bytes for
  any number of processes.  Without numbers it is a push.
- `Words` (collector -> collector): words of a zone that the receiver collects now; `Had` answers.
- `Summary` (collector -> seats): what one zone's tellers come to.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.aggregation import MalformedAggregationMessageError, UnsupportedAggregationVersionError

VERSION = 1
CAPABILITY = b"collect/1"  # what a collector says of itself among the members (`About.extra`)
MAX_KEY_BYTES, MAX_VALUE_BYTES = 64, 640  # bytes, as the spread's own
MAX_ENTRIES_PER_ORIGIN = 256  # of one origin
SAMPLE = 8  # names of those who were not heard

Count = Annotated[int, Meta(ge=0, le=2**53)]
Ms = Annotated[float, Meta(ge=0, le=1e12)]
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
Opaque = Annotated[bytes, Meta(max_length=4096)]


class ReportEntry(Struct, frozen=True, array_like=True):
    """One word: `number` grows with each change within the teller's life; None: the key was removed.

    `age_ms`: how long ago it was put, by its teller's clock, and then by those of collectors that handed it
    over.  Without it, what is told anew to a new collector would look as if it were said just now.
    """

    key: Key
    version: Count
    value: Value | None
    age_ms: Ms = 0.0


class Message(Struct, frozen=True, array_like=True, tag_field="t"):
    """Any message of the collectors."""


class Report(Message, frozen=True, tag=1):
    """A teller's word.  An empty one says that the teller is there and has nothing to say."""

    number: Count  # of this telling, to be named in the answer
    entries: Annotated[list[ReportEntry], Meta(max_length=MAX_ENTRIES_PER_ORIGIN)] = []


class ReportAck(Message, frozen=True, tag=2):
    """What arrived, and what comes down.

    `numbers`: of tellings; empty: a push.  `stir`: evidence is wanted from all, within `window_ms` (drawn by
    each), and then every `pace_ms`.  `whole`: tell everything anew.  `down`: opaque, the same for all; `at`
    orders those of one collector's life.
    """

    numbers: Annotated[list[Count], Meta(max_length=MAX_ENTRIES_PER_ORIGIN)]
    broadcast_number: Count
    evidence_requested: bool
    window_ms: Ms
    pace_ms: Ms
    resend_all: bool = False
    broadcast: Opaque = b""


class HeldEntry(Struct, frozen=True, array_like=True):
    """One origin's word as a collector holds it."""

    name: Name
    incarnation: Count
    entry: ReportEntry


class Handover(Message, frozen=True, tag=3):
    """Words of a zone that the receiver collects."""

    number: Count
    zone: Annotated[str, Meta(max_length=64)]
    entries: Annotated[list[HeldEntry], Meta(max_length=1024)]


class HandoverAck(Message, frozen=True, tag=4):
    """The answer to `Words`: those of this number are held here."""

    number: Count


class ZoneSummary(Message, frozen=True, tag=5):
    """What one zone's tellers come to at one collector.

    `number` grows with each telling of this collector's life.  `tellers` were heard, `recent` of them of
    late, of `members` that are there; `oldest_ms`: the age of the oldest word.  `parts` are sums by key,
    opaque, never to be added to another collector's of the same zone.  One that fits no datagram comes in
    `of` pieces of one number, and counts once all are there.
    """

    zone: Annotated[str, Meta(max_length=64)]
    number: Count
    senders: Count
    recent_senders: Count
    members: Count
    oldest_ms: Ms
    missing: Annotated[list[Name], Meta(max_length=SAMPLE)]
    sums: Annotated[dict[Key, Opaque], Meta(max_length=256)]
    index: Annotated[int, Meta(ge=0, le=63)] = 0
    chunks: Annotated[int, Meta(ge=1, le=64)] = 1


AnyMessage = Report | ReportAck | Handover | HandoverAck | ZoneSummary

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return a message's bytes."""
    return bytes((VERSION,)) + _encode(message)


def decode(data: bytes) -> AnyMessage:
    """Read a message.  Raises CollectMalformed, CollectVersion."""
    if not data:
        raise MalformedAggregationMessageError("no bytes where a message of the collectors should be")
    if data[0] != VERSION:
        raise UnsupportedAggregationVersionError(
            f"a collectors' message of version {data[0]}; this program reads {VERSION}"
        )
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as wrong:
        raise MalformedAggregationMessageError(
            f"a collectors' message that cannot be read: {str(wrong)[:200]}"
        ) from None


_down = msgspec.msgpack.Decoder(dict[Key, bytes])


def encode_broadcast(rooms: dict[str, bytes]) -> bytes:
    """Return what comes down, of each room by its name."""
    return _encode(rooms)


def decode_broadcast(data: bytes) -> dict[str, bytes]:
    """Read what comes down.  Raises CollectMalformed."""
    if not data:
        return {}
    try:
        return _down.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as wrong:
        raise MalformedAggregationMessageError(f"what came down cannot be read: {str(wrong)[:200]}") from None


def encoded_size(value: ReportEntry | HeldEntry) -> int:
    """Return an element's bytes on the wire."""
    return len(_encode(value))
