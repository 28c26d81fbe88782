"""Agreed names: one holder for a name in a room, by a decision of the consensus; its version is the token.

The versions grow over all topics for ever, so each new holder's token is greater than every former one's:
whoever guards a thing by it refuses smaller tokens (fencing; Gray and Cheriton 1989 for leases, Burrows
2006 for sequencers).  A holder whose gateway receives no renewal learns that its hold is unsure; it is
never told that it holds what another may hold since.
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
    """The value of a decision: who holds which name."""

    format: int
    room: Annotated[str, msgspec.Meta(max_length=512)]
    name: Annotated[str, msgspec.Meta(max_length=128)]
    member: Annotated[str, msgspec.Meta(max_length=128)]
    gateway: Annotated[str, msgspec.Meta(max_length=64)]
    incarnation: int


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(NameHolder).decode


def topic_of(room: str, name: str) -> str:
    """Return the topic of a name in a room."""
    return (
        TOPIC_PREFIX + hashlib.blake2b(f"{room}\0{name}".encode(), digest_size=TOPIC_HASH_BYTES).hexdigest()
    )


def encode_holder(holder: NameHolder) -> bytes:
    """Return a holder's bytes."""
    return _encode(holder)


def decode_holder(value: bytes) -> NameHolder:
    """Return the holder of a decision's value.  Raises PresenceFrameError."""
    try:
        holder = _decode(value)
    except msgspec.MsgspecError as error:
        raise PresenceFrameError(f"the value of a decree on a name: {error}") from None
    if holder.format != FORMAT:
        raise PresenceFrameError(f"a decree on a name of format {holder.format}, this process reads {FORMAT}")
    return holder


class NameHold(NamedTuple):
    """Who holds a name, by which token."""

    holder: NameHolder
    number: int


@dataclass(frozen=True, slots=True)
class ProposeHolder:
    """Let the consensus decide, after the decision of this number (0: none)."""

    if_number: int


@dataclass(frozen=True, slots=True)
class AlreadyOwner:
    """The session holds the name already, by this token."""

    number: int


@dataclass(frozen=True, slots=True)
class OwnedByOther:
    """Another one holds it."""

    holder: NameHolder
    number: int


def decide_claim(
    current: NameHold | None, member: str, *, holder_dead: bool, preempt: bool
) -> ProposeHolder | AlreadyOwner | OwnedByOther:
    """Return what a claim comes to, given what stands by a linearizable read.

    `holder_dead`: the holder is known to be gone (its gateway's incarnation is over for the stated time, or
    its gateway says that the session ended).  `preempt`: the claimant wants it in any case; the holder is
    fenced.
    """
    if current is None:
        return ProposeHolder(0)
    if current.holder.member == member:
        return AlreadyOwner(current.number)
    if holder_dead or preempt:
        return ProposeHolder(current.number)
    return OwnedByOther(current.holder, current.number)
