"""The wire format of datagrams and exchange frames, version 1: MessagePack arrays in one envelope.

The envelope contains version, cluster id, sender and the sender's process incarnation.  A receiver identifies
the sender by the name in the envelope, not by the source address, so relays and address translation are
transparent.  Elements that a newer minor version appends to an array are ignored.  Messages are not
authenticated: expose the port only on a trusted network.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.membership import (
    ForeignClusterError,
    MalformedPacketError,
    PacketTooLargeError,
    UnsupportedPacketVersionError,
)

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # fits the minimum IPv6 MTU (1280) with headers and a tunnel, without fragmentation
MAX_FRAME_BYTES = 65536  # of one exchange frame
FRAME_LENGTH_BYTES = 4
ENVELOPE_BYTES = 40  # upper bound, excluding the names of cluster and sender and the updates

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z")]
Label = Annotated[str, Meta(max_length=64)]
Address = Annotated[str, Meta(max_length=128)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Payload = Annotated[bytes, Meta(max_length=MAX_FRAME_BYTES)]


class MemberState(IntEnum):
    """The state of a member; of two updates with the same incarnation the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself; final for its process incarnation

    @property
    def status_name(self) -> str:
        """The name shown to operators and other programs; stable even if the enum member is renamed."""
        return _STATUS_NAMES[self]


_STATUS_NAMES = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "unsure",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
}


class MemberInfo(Struct, frozen=True, array_like=True):
    """The description that a process announces; constant within one process incarnation."""

    address: Address
    role: Label
    zone: Label = ""
    region: Label = ""
    extra: Annotated[bytes, Meta(max_length=128)] = b""


class MemberUpdate(Struct, frozen=True, array_like=True):
    """The state of one member as believed by the sender.

    `process_incarnation` increases with every start under the name; `incarnation` is SWIM's: it increases
    within one process incarnation whenever the member refutes a suspicion.  `accuser` is the member that
    suspects it, or empty.
    """

    name: Name
    process_incarnation: Number
    incarnation: Number
    state: MemberState
    accuser: Annotated[str, Meta(max_length=64)] = ""
    info: MemberInfo | None = None


MAX_UPDATES = 1024  # per message
UPDATES_PER_BATCH = 1000
MemberUpdates = Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)]


class MessageBody(Struct, frozen=True, array_like=True, tag_field="t"):
    """The base class of all messages, tagged by type."""


class Ping(MessageBody, frozen=True, tag=1):
    """Asks `target` for an Ack with the same number; another process at its address does not answer."""

    number: Number
    target: Name
    updates: MemberUpdates = []
    view_checksum: Number = 0  # of the sender's live members; 0 while it has updates to send


class Ack(MessageBody, frozen=True, tag=2):
    """The answer to a Ping, or a helper's report that the target of a PingRequest has answered."""

    number: Number
    updates: MemberUpdates = []
    view_checksum: Number = 0


class PingRequest(MessageBody, frozen=True, tag=3):
    """Asks a helper to ping another member (SWIM's ping-req), as only the direct path may have failed."""

    number: Number
    target: Name
    address: Address
    updates: MemberUpdates = []


class Nack(MessageBody, frozen=True, tag=4):
    """A helper's report that it got no answer; a missing Nack raises the requester's own health score."""

    number: Number
    updates: MemberUpdates = []


class Updates(MessageBody, frozen=True, tag=5):
    """Carries only updates."""

    updates: MemberUpdates = []


class JoinRequest(MessageBody, frozen=True, tag=6):
    """Sent to a seed by a process that wants to join."""

    joiner: MemberUpdate


class JoinResponse(MessageBody, frozen=True, tag=7):
    """A seed's response: itself and a few random live members; a full exchange transfers the rest."""

    updates: MemberUpdates = []


class IdentityRequest(MessageBody, frozen=True, tag=8):
    """Asks an unknown sender for a full update about itself."""


class GossipDigest(MessageBody, frozen=True, tag=9):
    """Opaque gossip payload: the versions that the sender has, for a range of origins."""

    data: Payload


class GossipDelta(MessageBody, frozen=True, tag=10):
    """Opaque gossip payload: changes."""

    data: Payload


class ExchangePart(MessageBody, frozen=True, tag=11):
    """One frame of an exchange: full updates, a part of the gossip state, and whether it is the last."""

    updates: MemberUpdates = []
    gossip_state: Payload = b""
    last: bool = False
    with_gossip_state: bool = False  # the gossip state is exchanged as well


class CollectorMessage(MessageBody, frozen=True, tag=12):
    """Opaque payload of evidence reports; a version that does not know this type drops it as malformed."""

    data: Payload


Message = (
    Ping
    | Ack
    | PingRequest
    | Nack
    | Updates
    | JoinRequest
    | JoinResponse
    | IdentityRequest
    | GossipDigest
    | GossipDelta
    | ExchangePart
    | CollectorMessage
)


class _Envelope(Struct, frozen=True, array_like=True):
    version: Number
    cluster: Label
    sender: Name
    process_incarnation: Number
    body: msgspec.Raw


class _EnvelopeHeader(Struct, frozen=True, array_like=True):
    version: int
    cluster: str = ""


class Packet(Struct, frozen=True):
    """A decoded datagram or frame: the sending process and the message."""

    sender: str
    process_incarnation: int
    body: Message


_encode = msgspec.msgpack.Encoder().encode
_decode_envelope = msgspec.msgpack.Decoder(_Envelope).decode
_decode_header = msgspec.msgpack.Decoder(_EnvelopeHeader).decode
_decode_message = msgspec.msgpack.Decoder(Message).decode


def encoded_size(update: MemberUpdate) -> int:
    """Return the encoded size of an update in bytes."""
    return len(_encode(update))


def split_into_batches(updates: Iterable[MemberUpdate], max_bytes: int) -> list[list[MemberUpdate]]:
    """Split updates into batches of at most `max_bytes` and at most UPDATES_PER_BATCH updates.

    An update larger than `max_bytes` gets a batch of its own; the first batch may be empty.
    """
    batches: list[list[MemberUpdate]] = [[]]
    remaining = max_bytes
    for update in updates:
        size = encoded_size(update)
        if size > remaining or len(batches[-1]) >= UPDATES_PER_BATCH:
            batches.append([])
            remaining = max_bytes
        remaining -= size
        batches[-1].append(update)
    return batches


def updates_capacity(max_datagram_bytes: int, cluster: str, sender: str) -> int:
    """Return the bytes available for updates in a datagram whose other fields have maximum length."""
    return max_datagram_bytes - len(cluster) - len(sender) - ENVELOPE_BYTES


def encode(cluster: str, sender: str, process_incarnation: int, message: Message) -> bytes:
    """Return the encoded datagram; its size is not checked."""
    raw_body = msgspec.Raw(_encode(message))
    return _encode(_Envelope(VERSION, cluster, sender, process_incarnation, raw_body))


def decode(data: bytes, cluster: str, max_bytes: int = MAX_DATAGRAM_BYTES) -> Packet:
    """Decode a datagram or an exchange frame without its length prefix.

    Raises PacketTooLargeError, UnsupportedPacketVersionError, ForeignClusterError or MalformedPacketError.
    """
    if len(data) > max_bytes:
        raise PacketTooLargeError(f"packet of {len(data)} bytes exceeds the limit of {max_bytes} bytes")
    try:
        # Check version and cluster first: nothing else of a foreign packet is decoded.
        header = _decode_header(data)
        if header.version != VERSION:
            raise UnsupportedPacketVersionError(
                f"unsupported packet version {header.version}; this process uses version {VERSION}"
            )
        if header.cluster != cluster:
            raise ForeignClusterError(f"packet belongs to another cluster: {header.cluster[:64]!r}")
        envelope = _decode_envelope(data)
        return Packet(envelope.sender, envelope.process_incarnation, _decode_message(envelope.body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedPacketError(str(error)[:200]) from None


def encode_frame(data: bytes) -> bytes:
    """Return an exchange frame: a four-byte big-endian length prefix and the envelope."""
    return len(data).to_bytes(FRAME_LENGTH_BYTES, "big") + data
