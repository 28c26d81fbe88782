"""Agreed names: a name in a room has one holder, by a decision of the consensus; its version is the token.

Versions increase over all topics and are never reused, so each new holder's token is greater than all
previous ones, and a service that is protected by tokens rejects smaller ones (fencing; Gray and Cheriton 1989
for leases, Burrows 2006 for sequencers).  If a gateway receives no renewal, its holders are reported as
unsure; a holder is never reported as sure while another one may hold the name.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.presence import PresenceFrameError

FORMAT = 1
TOPIC_PREFIX = "presence/"
TOPIC_HASH_BYTES = 16


class NameHolder(msgspec.Struct, frozen=True, array_like=True):
    """The value of a decision: the member that holds a name, and its gateway."""

    format: int
    room: Annotated[str, msgspec.Meta(max_length=512)]
    name: Annotated[str, msgspec.Meta(max_length=128)]
    member: Annotated[str, msgspec.Meta(max_length=128)]
    gateway: Annotated[str, msgspec.Meta(max_length=64)]
    incarnation: int


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(NameHolder).decode


def topic_of(room: str, name: str) -> str:
    """Return the consensus topic of a name in a room: TOPIC_PREFIX and a hash in hexadecimal."""
    return (
        TOPIC_PREFIX + hashlib.blake2b(f"{room}\0{name}".encode(), digest_size=TOPIC_HASH_BYTES).hexdigest()
    )


def encode_holder(holder: NameHolder) -> bytes:
    """Return a holder encoded as MessagePack."""
    return _encode(holder)


def decode_holder(value: bytes) -> NameHolder:
    """Return the holder from a decision's value.  Raises PresenceFrameError if it cannot be decoded."""
    try:
        holder = _decode(value)
    except msgspec.MsgspecError as error:
        raise PresenceFrameError(f"invalid value in a decision on an agreed name: {error}") from None
    if holder.format != FORMAT:
        raise PresenceFrameError(
            f"decision on an agreed name has format {holder.format}; this process reads format {FORMAT}"
        )
    return holder


class NameHold(NamedTuple):
    """The holder of a name, and its token."""

    holder: NameHolder
    number: int


@dataclass(frozen=True, slots=True)
class ProposeHolder:
    """Propose the claimant to the consensus, if the latest decision has this number (0: none)."""

    if_number: int


@dataclass(frozen=True, slots=True)
class AlreadyOwner:
    """The claimant already holds the name with this token."""

    number: int


@dataclass(frozen=True, slots=True)
class OwnedByOther:
    """Another member holds the name with this token."""

    holder: NameHolder
    number: int


def decide_claim(
    current: NameHold | None, member: str, *, holder_dead: bool, preempt: bool
) -> ProposeHolder | AlreadyOwner | OwnedByOther:
    """Return the outcome of a member's claim; `current` is the holder from a linearizable read.

    `holder_dead`: the holder is known to be gone (its gateway's incarnation has been over for `gone_ms`, or
    its session has ended according to its gateway).  `preempt`: take the name even from a live holder, which
    is fenced.
    """
    if current is None:
        return ProposeHolder(0)
    if current.holder.member == member:
        return AlreadyOwner(current.number)
    if holder_dead or preempt:
        return ProposeHolder(current.number)
    return OwnedByOther(current.holder, current.number)
