"""Wire format, version 1, of the messages between senders, collectors and replicas.

A message is one version byte followed by a MessagePack array.  It is carried as the opaque data of the
membership's `Collect` datagram, whose envelope holds the sender's name and incarnation.  Elements appended by
a newer minor version are ignored; another major version is rejected.  Values are opaque here and decoded by
the features that publish them.  The module does no I/O.

- `Report` (sender -> collector): the changed entries, or all of them as a renewal; answered by `ReportAck`.
- `ReportAck` without numbers (collector -> sender): a push, which requests evidence or a full resend.
- `Handover` (collector -> collector): entries of a zone the receiver collects; answered by `HandoverAck`.
- `ZoneSummary` (collector -> replicas and collectors): the summed reports of one zone's senders.
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
CAPABILITY = b"collect/1"  # announced by collectors in the membership (`extra`)
MAX_KEY_BYTES, MAX_VALUE_BYTES = 64, 640  # same limits as the gossip store
MAX_ENTRIES_PER_ORIGIN = 256
MAX_MISSING_NAMES = 8  # sample of the members without a report
MAX_PAYLOAD_BYTES = 1024  # of a message's entries; the message then fits the membership's largest datagram
HEADER_BYTES = 24  # bytes reserved for a message's other fields
MAX_QUOTED_CHARS = 200  # of the decoder's message, in an error text

Count = Annotated[int, Meta(ge=0, le=2**53)]
Ms = Annotated[float, Meta(ge=0, le=1e12)]
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
Opaque = Annotated[bytes, Meta(max_length=4096)]


class ReportEntry(Struct, frozen=True, array_like=True):
    """One entry.  `value` is None when the key was removed; versions grow within a sender's incarnation.

    `age_ms`: time since it was published, measured by the sender's clock and then by those of the collectors
    that handed it over.  Without it, an entry resent to a new collector would appear just published.
    """

    key: Key
    version: Count
    value: Value | None
    age_ms: Ms = 0.0


class Message(Struct, frozen=True, array_like=True, tag_field="t"):
    """Base of all messages, distinguished by the integer tag `t`."""


class Report(Message, frozen=True, tag=1):
    """A sender's entries.  An empty report shows that the sender is alive and has nothing to report."""

    number: Count  # identifies this report in the acknowledgement
    entries: Annotated[list[ReportEntry], Meta(max_length=MAX_ENTRIES_PER_ORIGIN)] = []


class ReportAck(Message, frozen=True, tag=2):
    """Acknowledges the reports in `numbers` (empty: a push) and carries the collector's broadcast.

    `evidence_requested`: all senders report at a random time within `window_ms`, then every
    `update_interval_ms`.  `resend_all`: report every entry again.  `broadcast`: opaque, the same for all
    senders; `broadcast_number` orders the broadcasts of one incarnation of a collector.
    """

    numbers: Annotated[list[Count], Meta(max_length=MAX_ENTRIES_PER_ORIGIN)]
    broadcast_number: Count
    evidence_requested: bool
    window_ms: Ms
    update_interval_ms: Ms
    resend_all: bool = False
    broadcast: Opaque = b""


class HeldEntry(Struct, frozen=True, array_like=True):
    """An entry held by a collector, with its origin's name and incarnation."""

    name: Name
    incarnation: Count
    entry: ReportEntry


class Handover(Message, frozen=True, tag=3):
    """Transfers entries of a zone to the collector that is now responsible for it."""

    number: Count
    zone: Annotated[str, Meta(max_length=64)]
    entries: Annotated[list[HeldEntry], Meta(max_length=1024)]


class HandoverAck(Message, frozen=True, tag=4):
    """Confirms that the receiver holds the entries of the `Handover` with this number."""

    number: Count


class ZoneSummary(Message, frozen=True, tag=5):
    """One collector's summary of the reports of one zone.

    `number` grows with each summary of this collector's incarnation.  `members`: senders present in the
    membership; `senders`: those with a report here; `recent_senders`: those with a recent one; `oldest_ms`:
    the longest time since a sender's last report.  `sums` are opaque, by key, and must not be added to those
    of another collector for the same zone.  A summary too large for one datagram is split into `chunks`
    messages with the same number and is used once all have arrived.
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
    """A message and the name of the member that receives it."""

    recipient: str
    message: AnyMessage


_encode = msgspec.msgpack.Encoder().encode
_message_decoder = msgspec.msgpack.Decoder(AnyMessage)
_broadcast_decoder = msgspec.msgpack.Decoder(dict[Key, bytes])
_DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)


def encode(message: AnyMessage) -> bytes:
    """Return a message as a version byte and MessagePack."""
    return bytes((VERSION,)) + _encode(message)


def decode(data: bytes) -> AnyMessage:
    """Decode a message.  Raises MalformedAggregationMessageError, UnsupportedAggregationVersionError."""
    if not data:
        raise MalformedAggregationMessageError("the collector message is empty")
    if data[0] != VERSION:
        raise UnsupportedAggregationVersionError(
            f"collector message has version {data[0]}; this program supports only version {VERSION}"
        )
    try:
        return _message_decoder.decode(memoryview(data)[1:])
    except _DECODE_ERRORS as error:
        detail = str(error)[:MAX_QUOTED_CHARS]
        raise MalformedAggregationMessageError(f"collector message cannot be decoded: {detail}") from None


def encode_broadcast(values: dict[str, bytes]) -> bytes:
    """Encode a broadcast, given each summarizer's value by its name."""
    return _encode(values)


def decode_broadcast(data: bytes) -> dict[str, bytes]:
    """Decode a broadcast; b"" gives {}.  Raises MalformedAggregationMessageError."""
    if not data:
        return {}
    try:
        return _broadcast_decoder.decode(data)
    except _DECODE_ERRORS as error:
        detail = str(error)[:MAX_QUOTED_CHARS]
        raise MalformedAggregationMessageError(f"broadcast cannot be decoded: {detail}") from None


def encoded_size(value: ReportEntry | HeldEntry) -> int:
    """Return the encoded size of an entry in bytes."""
    return len(_encode(value))
