"""The terms of the zones' part: its settings, its words, its decrees and their bytes.  Pure.

A decree is the whole answer about all zones at once, under one topic, so that two zones are never given up
by two decisions that do not know each other.  What it does not name is near and whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.failover import (
    MalformedFailoverDataError,
    UnsupportedFailoverVersionError,
    WriteMoveRejectedError,
)

VERSION = 1
TOPIC = "zones"
WRITE_MOVE_TOPIC = "zones/move"
FULL_SHARE = 64  # parts are told in 64ths

ZoneName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
_Text = Annotated[str, Meta(max_length=64)]
_Ms = Annotated[float, Meta(gt=0, le=1e9)]
_Share = Annotated[float, Meta(gt=0, le=1)]
_Units = Annotated[float, Meta(ge=0, le=1e12)]
_Small = Annotated[int, Meta(ge=0, le=1 << 20)]
_Count = Annotated[int, Meta(ge=1, le=65535)]


class ZoneSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One zone: its region, and the units a second that its nodes bear, of all edges together."""

    region: ZoneName
    capacity: Annotated[float, Meta(gt=0, le=1e9)]


class FailoverSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Near while that is safe: zones, and when one is given up and taken back (`docs/zones.md`)."""

    zones: Annotated[dict[ZoneName, ZoneSettings], Meta(min_length=2, max_length=64)]
    edges: _Count  # that there are, in all zones together
    bears: _Share = 0.95  # of a zone's capacity, its own work and what is spilled to it together
    usual: _Share = 0.6  # of a zone's capacity that its own work takes, where nobody tells
    alone: _Share = 0.85  # of the room elsewhere, that edges may take without a decree
    reserve: Annotated[float, Meta(ge=0, le=1)] = 0.2  # of an edge's room, kept for reads with a reserve
    safe_start: _Share = 0.125  # of its capacity, that a zone bears whose nodes are all cold
    warm_ms: _Ms = 10000.0  # until they bear all of it
    beat_ms: Annotated[float, Meta(ge=20, le=60000)] = 500.0  # attempts are counted by beats
    window: Annotated[int, Meta(ge=1, le=64)] = 4  # beats that a word rests on
    slow_ms: _Ms = 1000.0  # an answer that took longer is a slow one
    least: _Count = 3  # attempts that a bad word needs
    bad_share: _Share = 0.8  # of attempts that do not reach a zone: it is away
    half_share: _Share = 0.25  # and of those: a part of it is
    slow_share: _Share = 0.5  # of answers that are slow
    witnesses: _Count = 3  # that are needed at least, where there are so many
    fresh_ms: _Ms = 10000.0  # older evidence counts no more
    recent_ms: _Ms = 2000.0  # who has not reached a zone for so long does not contradict who cannot
    own_share: _Share = 0.1  # of a zone's own edges that have to accuse it, where nobody else goes there
    confirm_ms: _Ms = 500.0  # a zone must stand accused so long
    split_ms: _Ms = 2000.0  # and where some can reach it, so long: the others may only be late
    rest_ms: _Ms = 3000.0  # a zone that was given up stays so at least, and longer with each loss
    step_ms: _Ms = 3500.0  # from one part of the way back to the next
    fade_ms: _Ms = 300000.0  # in which one loss is forgotten
    most_losses: Annotated[int, Meta(ge=1, le=16)] = 6  # remembered; each doubles the rest
    least_left: _Share = 0.3  # of all capacity that is never given up
    tries: _Ms = 20.0  # reads a second, of all edges, that look whether a zone is back
    tells: _Ms = 40.0  # pieces of evidence a second, of all edges, while something is wrong
    calm_ms: _Ms = 10000.0  # how often each edge tells while all is well
    stay_ms: _Ms = 1000.0  # what a refusal names where nothing better is known
    look_ms: _Ms = 250.0  # how often the council's leader looks at the evidence

    def __post_init__(self) -> None:
        """Check what no single field can tell.  Raises ValueError naming the field."""
        if self.half_share >= self.bad_share:
            raise ValueError("half_share: has to be below bad_share")
        if self.usual > self.bears:
            raise ValueError("usual: is above bears, so that a zone would bear nothing beside its own work")
        if self.fresh_ms < self.calm_ms:
            raise ValueError("fresh_ms: is below calm_ms, so that in calm no evidence would count")
        for step, part in enumerate(self.parts()):
            grown = self.safe_start + (1 - self.safe_start) * min(1.0, step * self.step_ms / self.warm_ms)
            if part > FULL_SHARE * grown + 1e-9:
                least = (part / FULL_SHARE - self.safe_start) / (1 - self.safe_start) * self.warm_ms / step
                raise ValueError(
                    f"step_ms: {self.step_ms:g} brings nodes that are still cold to {part}/{FULL_SHARE} of their "
                    f"work; at least {least:g}"
                )

    def parts(self) -> tuple[int, ...]:
        """Return the parts of the way back, in 64ths: doubled from the greatest that cold nodes bear."""
        first = 1
        while first * 2 <= FULL_SHARE * self.safe_start:
            first *= 2
        found = [first]
        while found[-1] < FULL_SHARE:
            found.append(found[-1] * 2)
        return tuple(found)

    def regions(self) -> dict[str, str]:
        """Return each zone's region."""
        return {name: zone.region for name, zone in self.zones.items()}


class ZoneState(IntEnum):
    """What stands of a zone."""

    LOCAL = 0  # whole; listed only while its losses are remembered
    EVACUATED = 1  # given up: nothing but tries
    RECOVERING = 2  # on the way back, by parts
    DEGRADED = 3  # a part of its nodes is away; it serves what it can
    SLOW = 4  # it answers late; it serves a part
    PARTITIONED = 5  # those in `blind` cannot reach it and go elsewhere, all others stay


class ZoneDecision(Struct, frozen=True, array_like=True):
    """What stands of one zone.  With `blind`, `part` is for edges in these zones only; others have all."""

    zone: _Text
    state: Annotated[int, Meta(ge=0, le=255)]
    share: Annotated[int, Meta(ge=0, le=FULL_SHARE)]
    losses: Annotated[int, Meta(ge=0, le=255)] = 0
    edges: _Small = 0  # over which a part of the way back is shared out
    blind_zones: Annotated[list[_Text], Meta(max_length=64)] = []


class FailoverDecision(Struct, frozen=True, array_like=True):
    """What stands of all zones, and what may be spilled where.

    `room` is in units a second, of all edges together; `want` is what those ask for who have to go
    elsewhere, so that an edge's part of any room is its own (as it told it) over this.  Newer programs
    append fields.
    """

    zones: Annotated[list[ZoneDecision], Meta(max_length=64)] = []
    spare_capacity: Annotated[dict[_Text, _Units], Meta(max_length=64)] = {}
    evacuated_demand: _Units = 0.0

    def for_zone(self, zone: str) -> ZoneDecision:
        """Return what stands of a zone."""
        for entry in self.zones:
            if entry.zone == zone:
                return entry
        return ZoneDecision(zone, ZoneState.LOCAL, FULL_SHARE)


class WriteMove(Struct, frozen=True, array_like=True):
    """The operator's word: writes of a region are taken by another from now on.

    `may_lose_ms`: acknowledged writes of so long before the move may be lost; 0: none may.
    """

    source: _Text
    target: _Text
    max_loss_ms: Annotated[float, Meta(ge=0, le=1e12)]
    requested_by: Annotated[str, Meta(max_length=128)] = ""


_T = TypeVar("_T")
_encode = msgspec.msgpack.Encoder().encode
_verdict = msgspec.msgpack.Decoder(FailoverDecision)
_move = msgspec.msgpack.Decoder(WriteMove)


def encode(value: FailoverDecision | WriteMove) -> bytes:
    """Return a decree's value: one byte of version, then MessagePack."""
    return bytes((VERSION,)) + _encode(value)


def decode_versioned(decoder: msgspec.msgpack.Decoder[_T], data: bytes, subject: str) -> _T:
    """Read versioned bytes.  Raises ZonesMalformed, ZonesVersion."""
    if not data:
        raise MalformedFailoverDataError(f"no bytes where {subject} should be")
    if data[0] != VERSION:
        raise UnsupportedFailoverVersionError(f"{subject} of version {data[0]}; this program reads {VERSION}")
    try:
        return decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as wrong:
        raise MalformedFailoverDataError(f"{subject} that cannot be read: {str(wrong)[:200]}") from None


def decode(data: bytes) -> FailoverDecision:
    """Read a verdict.  Raises ZonesMalformed, ZonesVersion."""
    return decode_versioned(_verdict, data, "a verdict about zones")


def decode_write_move(data: bytes) -> WriteMove:
    """Read a move of writes.  Raises ZonesMalformed, ZonesVersion."""
    return decode_versioned(_move, data, "a move of writes")


def check_write_move(regions: Mapping[str, str], move: WriteMove, behind_ms: float | None) -> WriteMove:
    """Return the move if it may be decreed.  Raises MoveRefused.

    `regions` is zone -> region.  `behind_ms`: how far the target's copies are behind what the source has
    acknowledged; None: nobody can tell, as when the source is away.  Then only a number of the operator's
    own moves anything: what cannot be proved to be there counts as lost.
    """
    known = sorted(set(regions.values()))
    for name in (move.source, move.target):
        if name not in known:
            raise WriteMoveRejectedError(f"{name!r} is no region; the regions are {', '.join(known)}")
    if move.source == move.target:
        raise WriteMoveRejectedError(f"writes of {move.source!r} are there already")
    if behind_ms is None and move.max_loss_ms == 0:
        raise WriteMoveRejectedError(
            f"how far {move.target!r} is behind {move.source!r} is not known, and none may be lost"
        )
    if behind_ms is not None and behind_ms > move.max_loss_ms:
        raise WriteMoveRejectedError(
            f"{move.target!r} is {behind_ms:g} ms behind {move.source!r}; {move.max_loss_ms:g} may be lost"
        )
    return move
