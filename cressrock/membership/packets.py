"""The wire format of datagrams and exchange frames, version 1: MessagePack arrays in one envelope.

The envelope names version, cluster id, sender and the sender's process incarnation; a receiver believes the
name in the envelope and never the source address, so that relays and translated addresses change nothing.
Elements that a newer minor version appends to an array are ignored.  Nothing here is signed: the port belongs
on a network of the operators' own.
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
MAX_DATAGRAM_BYTES = 1200  # below what every path of IPv6 (1280) carries whole, with headers and a tunnel
MAX_FRAME_BYTES = 65536  # of one frame of the exchange
FRAME_LENGTH_BYTES = 4
ENVELOPE_BYTES = 40  # at most, without the cluster's and the sender's names and the updates

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z")]
Label = Annotated[str, Meta(max_length=64)]
Address = Annotated[str, Meta(max_length=128)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Payload = Annotated[bytes, Meta(max_length=MAX_FRAME_BYTES)]


class MemberState(IntEnum):
    """What is believed of a member; of two updates with one incarnation the greater number counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # said by the member itself, and final for its process incarnation

    @property
    def status_name(self) -> str:
        """The name that operators and other programs read; it stays, whatever the code calls the state."""
        return _STATUS_NAMES[self]


_STATUS_NAMES = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "unsure",
    MemberState.DEAD: "gone",
    MemberState.LEFT: "left",
}


class MemberInfo(Struct, frozen=True, array_like=True):
    """What a process says of itself, unchanged in one process incarnation."""

    address: Address
    role: Label
    zone: Label = ""
    region: Label = ""
    extra: Annotated[bytes, Meta(max_length=128)] = b""


class MemberUpdate(Struct, frozen=True, array_like=True):
    """What somebody believes of one member.

    `process_incarnation` grows with every start of the name; `incarnation` is SWIM's: it grows within one
    process incarnation whenever the member refutes a suspicion.  `accuser` is who suspects it, if one does.
    """

    name: Name
    process_incarnation: Number
    incarnation: Number
    state: MemberState
    accuser: Annotated[str, Meta(max_length=64)] = ""
    info: MemberInfo | None = None


MAX_UPDATES = 1024  # of one message
UPDATES_PER_BATCH = 1000
MemberUpdates = Annotated[list[MemberUpdate], Meta(max_length=MAX_UPDATES)]


class MessageBody(Struct, frozen=True, array_like=True, tag_field="t"):
    """Any message."""


class Ping(MessageBody, frozen=True, tag=1):
    """Asks `target` for an Ack of its number; another process that now has its address stays silent."""

    number: Number
    target: Name
    updates: MemberUpdates = []
    view_checksum: Number = 0  # over whom the sender believes live; 0 while that is changing


class Ack(MessageBody, frozen=True, tag=2):
    """The answer to a Ping, or a helper's report that the member it was asked about has answered."""

    number: Number
    updates: MemberUpdates = []
    view_checksum: Number = 0


class PingRequest(MessageBody, frozen=True, tag=3):
    """Asks a helper to ping another member (SWIM's ping-req): one bad path is no dead member."""

    number: Number
    target: Name
    address: Address
    updates: MemberUpdates = []


class Nack(MessageBody, frozen=True, tag=4):
    """A helper lives but had no answer; no word from it would count against the asker's own health."""

    number: Number
    updates: MemberUpdates = []


class Updates(MessageBody, frozen=True, tag=5):
    """Updates and nothing else."""

    updates: MemberUpdates = []


class JoinRequest(MessageBody, frozen=True, tag=6):
    """Sent to a seed by a process that wants to join."""

    joiner: MemberUpdate


class JoinResponse(MessageBody, frozen=True, tag=7):
    """A seed's answer: itself and a few live members at random; the whole list comes by an exchange."""

    updates: MemberUpdates = []


class IdentityRequest(MessageBody, frozen=True, tag=8):
    """Asks the sender of a datagram, who is not known here, to describe itself."""


class GossipDigest(MessageBody, frozen=True, tag=9):
    """Opaque bytes of the gossip: the versions that the sender has, for a range of origins."""

    data: Payload


class GossipDelta(MessageBody, frozen=True, tag=10):
    """Opaque bytes of the gossip: changes."""

    data: Payload


class ExchangePart(MessageBody, frozen=True, tag=11):
    """One frame of an exchange: full updates, a part of the gossip's state, and whether it is the last."""

    updates: MemberUpdates = []
    gossip_state: Payload = b""
    last: bool = False
    with_gossip_state: bool = False  # the gossip's state is wanted and sent as well


class CollectorMessage(MessageBody, frozen=True, tag=12):
    """Opaque bytes of evidence reports; a process that does not know the message drops it as malformed."""

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


class _Head(Struct, frozen=True, array_like=True):
    version: int
    cluster: str = ""


class Packet(Struct, frozen=True):
    """A decoded datagram or frame: which process sent it, and the message."""

    sender: str
    process_incarnation: int
    body: Message


_encode = msgspec.msgpack.Encoder().encode
_decode_envelope = msgspec.msgpack.Decoder(_Envelope).decode
_decode_head = msgspec.msgpack.Decoder(_Head).decode
_decode_message = msgspec.msgpack.Decoder(Message).decode


def encoded_size(update: MemberUpdate) -> int:
    """Return an update's bytes on the wire."""
    return len(_encode(update))


def batched(updates: Iterable[MemberUpdate], max_bytes: int) -> list[list[MemberUpdate]]:
    """Return updates in batches of at most so many bytes, and of no more updates than a message holds."""
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
    """Return the bytes that are left for updates in a datagram, with the longest fields beside them."""
    return max_datagram_bytes - len(cluster) - len(sender) - ENVELOPE_BYTES


def encode(cluster: str, sender: str, process_incarnation: int, message: Message) -> bytes:
    """Return a datagram's bytes."""
    raw = msgspec.Raw(_encode(message))
    return _encode(_Envelope(VERSION, cluster, sender, process_incarnation, raw))


def decode(data: bytes, cluster: str, max_bytes: int = MAX_DATAGRAM_BYTES) -> Packet:
    """Read a datagram.

    Raises PacketTooLargeError, UnsupportedPacketVersionError, ForeignClusterError or MalformedPacketError.
    """
    if len(data) > max_bytes:
        raise PacketTooLargeError(f"{len(data)} bytes; at most {max_bytes} are taken")
    try:
        # Version and cluster first: of a foreign message nothing more than these is read.
        head = _decode_head(data)
        if head.version != VERSION:
            raise UnsupportedPacketVersionError(f"version {head.version}; spoken here is {VERSION}")
        if head.cluster != cluster:
            raise ForeignClusterError(f"cluster {head.cluster[:64]!r}")
        envelope = _decode_envelope(data)
        return Packet(envelope.sender, envelope.process_incarnation, _decode_message(envelope.body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedPacketError(str(error)[:200]) from None


def encode_frame(data: bytes) -> bytes:
    """Return an exchange frame: four bytes of length, big end first, and the envelope."""
    return len(data).to_bytes(FRAME_LENGTH_BYTES, "big") + data
