"""Agreed names: one holder for a name in a room, by decree; the decree's number is the token.  Pure.

The council's sequence of numbers grows over all topics for ever, so each new holder's token is greater than
every former one's: whoever guards a thing by it refuses smaller tokens (fencing; Gray and Cheriton 1989 for
leases, Burrows 2006 for sequencers).  A holder whose gateway hears no renewal is told that its hold is
unsure; it is never told that it holds what another may hold since.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Annotated

import msgspec

from cressrock.errors.presence import PresenceFrameError

FORMAT = 1
BEGIN = "presence/"


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """The value of a decree: who holds which name."""

    format: int
    room: Annotated[str, msgspec.Meta(max_length=512)]
    name: Annotated[str, msgspec.Meta(max_length=128)]
    member: Annotated[str, msgspec.Meta(max_length=128)]
    gateway: Annotated[str, msgspec.Meta(max_length=64)]
    life: int


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Holder).decode


def topic(room: str, name: str) -> str:
    """Return the topic of a name in a room."""
    return BEGIN + hashlib.blake2b(f"{room}\0{name}".encode(), digest_size=16).hexdigest()


def write(holder: Holder) -> bytes:
    """Return a holder's bytes."""
    return _encode(holder)


def read(value: bytes) -> Holder:
    """Return the holder of a decree's value.  Raises FrameRefused."""
    try:
        found = _decode(value)
    except msgspec.MsgspecError as wrong:
        raise PresenceFrameError(f"the value of a decree on a name: {wrong}") from None
    if found.format != FORMAT:
        raise PresenceFrameError(f"a decree on a name of format {found.format}, this process reads {FORMAT}")
    return found


@dataclass(frozen=True, slots=True)
class Ask:
    """Let the council decide, after the decree of this number (0: none)."""

    if_number: int


@dataclass(frozen=True, slots=True)
class Has:
    """The session holds the name already, by this token."""

    number: int


@dataclass(frozen=True, slots=True)
class Held:
    """Another one holds it."""

    by: Holder
    number: int


def claim(standing: tuple[Holder, int] | None, member: str, over: bool, take: bool) -> Ask | Has | Held:
    """Return what a claim comes to, given what stands by a linearizable read.

    `over`: the holder is known to be gone (its gateway's life is over for the stated time, or its gateway
    says that the session ended).  `take`: the claimant wants it in any case; the holder is fenced.
    """
    if standing is None:
        return Ask(0)
    holder, number = standing
    if holder.member == member:
        return Has(number)
    return Ask(number) if over or take else Held(holder, number)
