"""The fleet's datagrams and exchange frames, version 1: MessagePack arrays in one envelope.  Pure.

The envelope names version, cluster id, sender and the sender's life; a receiver believes the name in the
envelope and never the source address, so that relays and translated addresses change nothing.  Elements
that a newer minor version appends to an array are ignored.  Nothing here is signed: the fleet's port
belongs on a network of the operators' own.
"""

from __future__ import annotations

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
MAX_DATAGRAM_BYTES = (
    1200  # bytes; below what every path of IPv6 (1280) carries whole, with headers and a tunnel
)
MAX_FRAME_BYTES = 65536  # bytes of one frame of the exchange

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z")]
Place = Annotated[str, Meta(max_length=64)]
Address = Annotated[str, Meta(max_length=128)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Payload = Annotated[bytes, Meta(max_length=MAX_FRAME_BYTES)]


class MemberState(IntEnum):
    """What is believed of a member; of two claims with one incarnation the greater number counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # its own word, and final for its life


class About(Struct, frozen=True, array_like=True):
    """What a process says of itself, unchanged in one life."""

    address: Address
    role: Place
    zone: Place = ""
    region: Place = ""
    extra: Annotated[bytes, Meta(max_length=128)] = b""


class MemberUpdate(Struct, frozen=True, array_like=True):
    """One rumour of one member: a state of (name, life) at an incarnation, and who accuses, if one does."""

    name: Name
    process_incarnation: Count
    incarnation: Count
    state: MemberState
    by: Annotated[str, Meta(max_length=64)] = ""
    info: About | None = None


Claims = Annotated[list[MemberUpdate], Meta(max_length=1024)]


class Body(Struct, frozen=True, array_like=True, tag_field="t"):
    """Any message of the fleet."""


class Ping(Body, frozen=True, tag=1):
    """Wants an Ack of its number, from one process only: another that now has its address stays silent."""

    number: Count
    to: Name
    claims: Claims = []
    view: Count = 0  # a sum over whom the sender holds live; 0 while that is changing


class Ack(Body, frozen=True, tag=2):
    """The answer to a Ping, or a helper's word that the one it was asked about has answered."""

    number: Count
    claims: Claims = []
    view: Count = 0


class Ask(Body, frozen=True, tag=3):
    """Asks a helper to ping another member: the path between two is not the member's health."""

    number: Count
    target: Name
    address: Address
    claims: Claims = []


class Nack(Body, frozen=True, tag=4):
    """A helper's word that it lives but had no answer: its silence would accuse the asker's own health."""

    number: Count
    claims: Claims = []


class Updates(Body, frozen=True, tag=5):
    """Claims and nothing else."""

    claims: Claims = []


class Hello(Body, frozen=True, tag=6):
    """Sent to a seed by a process that wants in."""

    me: MemberUpdate


class Welcome(Body, frozen=True, tag=7):
    """A seed's answer: itself and a bounded draw of live members; the whole list comes by the exchange."""

    claims: Claims = []


class Who(Body, frozen=True, tag=8):
    """The sender of a datagram is not known here: asks it to say who it is."""


class GossipDigest(Body, frozen=True, tag=9):
    """Opaque bytes of the spread: a slice of what the sender has."""

    data: Payload


class GossipDelta(Body, frozen=True, tag=10):
    """Opaque bytes of the spread: changes."""

    data: Payload


class ExchangePart(Body, frozen=True, tag=11):
    """One frame of the exchange: claims in full, a part of the spread, and whether it is the last."""

    updates: Claims = []
    spread: Payload = b""
    last: bool = False
    whole: bool = False  # the spread's state is wanted and sent as well


class CollectorMessage(Body, frozen=True, tag=12):
    """Opaque bytes of the collectors (`cressrock/collect`); who does not know it drops it as malformed."""

    data: Payload


Any = (
    Ping
    | Ack
    | Ask
    | Nack
    | Updates
    | Hello
    | Welcome
    | Who
    | GossipDigest
    | GossipDelta
    | ExchangePart
    | CollectorMessage
)


class _Envelope(Struct, frozen=True, array_like=True):
    version: Count
    cluster: Place
    sender: Name
    life: Count
    body: msgspec.Raw


class _Head(Struct, frozen=True, array_like=True):
    version: int
    cluster: str = ""


class Letter(Struct, frozen=True):
    """A message that was taken: from which process, and what it says."""

    sender: str
    life: int
    body: Any


_ENCODE = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(_Envelope)
_HEAD = msgspec.msgpack.Decoder(_Head)
_BODY = msgspec.msgpack.Decoder(Any)


def size(claim: MemberUpdate) -> int:
    """Return a claim's bytes on the wire."""
    return len(_ENCODE.encode(claim))


def room(max_datagram: int, cluster: str, sender: str) -> int:
    """Return the bytes that are left for claims in a datagram, with room for the longest fields beside."""
    return max_datagram - len(cluster) - len(sender) - 40


def encode(cluster: str, sender: str, life: int, body: Any) -> bytes:
    """Return a datagram's bytes."""
    raw = msgspec.Raw(_ENCODE.encode(body))
    return _ENCODE.encode(_Envelope(VERSION, cluster, sender, life, raw))


def decode(data: bytes, cluster: str, max_bytes: int = MAX_DATAGRAM_BYTES) -> Letter:
    """Read a datagram.  Raises TooLarge, OtherVersion, ForeignCluster or Malformed."""
    if len(data) > max_bytes:
        raise PacketTooLargeError(f"{len(data)} bytes; at most {max_bytes} are taken")
    try:
        # Version and cluster first: of a foreign message nothing more than these is read.
        head = _HEAD.decode(data)
        if head.version != VERSION:
            raise UnsupportedPacketVersionError(f"version {head.version}; spoken here is {VERSION}")
        if head.cluster != cluster:
            raise ForeignClusterError(f"cluster {head.cluster[:64]!r}")
        envelope = _ENVELOPE.decode(data)
        return Letter(envelope.sender, envelope.life, _BODY.decode(envelope.body))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as wrong:
        raise MalformedPacketError(str(wrong)[:200]) from None


def frame(data: bytes) -> bytes:
    """Return an exchange frame: four bytes of length, big end first, and the envelope."""
    return len(data).to_bytes(4, "big") + data
