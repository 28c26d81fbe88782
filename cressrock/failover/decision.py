"""What the consensus leader decides about zones, and an operator about writes; how both are written.

One decision is the whole answer about all zones, under one topic, so that two zones are never evacuated by
two decisions that do not know of each other.  A zone that it does not name is local and takes everything.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.failover import WriteMoveRejectedError
from cressrock.failover.settings import FULL_SHARE
from cressrock.failover.wire import decode_versioned, encode_versioned

TOPIC = "zones"
WRITE_MOVE_TOPIC = "zones/move"

_Name = Annotated[str, Meta(max_length=64)]
_UnitsPerSecond = Annotated[float, Meta(ge=0, le=1e12)]
_EdgeCount = Annotated[int, Meta(ge=0, le=1 << 20)]


class ZoneState(IntEnum):
    """The state of a zone by decision."""

    LOCAL = 0  # serves its own traffic whole; listed only while its losses are remembered
    EVACUATED = 1  # failed over: nothing but trial reads goes there
    RECOVERING = 2  # takes a share of its traffic that grows step by step
    DEGRADED = 3  # some of its nodes do not answer; it keeps the share that the others serve
    SLOW = 4  # answers late; it keeps a share
    PARTITIONED = 5  # edges in `blind_zones` cannot reach it and go elsewhere, all others stay


# What the admin port and the log say of a state; operators' alerts match on these words.
_OUTER_NAMES = ("near", "gone", "back", "half", "slow", "split")


def outer_name(state: int) -> str:
    """Return the word by which a state is known outside; of a newer program's state, its number."""
    return _OUTER_NAMES[state] if 0 <= state < len(_OUTER_NAMES) else str(state)


class ZoneDecision(Struct, frozen=True, array_like=True):
    """The state of one zone, and the share of its own traffic that it takes (in 64ths).

    With `blind_zones`, the share is for edges in these zones only; edges elsewhere send everything.  `losses`
    counts evacuations that are not forgotten yet; `edges` is over how many edges a recovering zone's share is
    divided.
    """

    zone: _Name
    state: Annotated[int, Meta(ge=0, le=255)]
    share: Annotated[int, Meta(ge=0, le=FULL_SHARE)]
    losses: Annotated[int, Meta(ge=0, le=255)] = 0
    edges: _EdgeCount = 0
    blind_zones: Annotated[list[_Name], Meta(max_length=64)] = []

    def share_from(self, zone: str) -> int:
        """Return the share that an edge in `zone` may send."""
        if self.blind_zones and zone not in self.blind_zones:
            return FULL_SHARE
        return self.share


class FailoverDecision(Struct, frozen=True, array_like=True):
    """The state of all zones, and what may go from evacuated ones to the others.

    `spare_capacity` is what each whole zone takes of others' traffic, units a second of all edges together;
    `evacuated_demand` is what all edges ask for that have to go elsewhere.  An edge's share of any spare
    capacity is its own demand, as it reported it, over that sum.  Newer programs append fields.
    """

    zones: Annotated[list[ZoneDecision], Meta(max_length=64)] = []
    spare_capacity: Annotated[dict[_Name, _UnitsPerSecond], Meta(max_length=64)] = {}
    evacuated_demand: _UnitsPerSecond = 0.0

    def for_zone(self, zone: str) -> ZoneDecision:
        """Return the decision about a zone; one that is not listed is local."""
        for entry in self.zones:
            if entry.zone == zone:
                return entry
        return ZoneDecision(zone, ZoneState.LOCAL, FULL_SHARE)


class WriteMove(Struct, frozen=True, array_like=True):
    """An operator's decision that a region's writes are taken by another region from now on.

    `max_loss_ms`: acknowledged writes of so long before the move may be lost; 0: none may.
    """

    source: _Name
    target: _Name
    max_loss_ms: Annotated[float, Meta(ge=0, le=1e12)]
    requested_by: Annotated[str, Meta(max_length=128)] = ""


_decision_decoder = msgspec.msgpack.Decoder(FailoverDecision)
_write_move_decoder = msgspec.msgpack.Decoder(WriteMove)


def encode(value: FailoverDecision | WriteMove) -> bytes:
    """Return the bytes that consensus keeps as a decision's value."""
    return encode_versioned(value)


def decode(data: bytes) -> FailoverDecision:
    """Read a failover decision.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_decision_decoder, data, "a verdict about zones")


def decode_write_move(data: bytes) -> WriteMove:
    """Read a move of writes.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_write_move_decoder, data, "a move of writes")


def check_write_move(regions: Mapping[str, str], move: WriteMove, behind_ms: float | None) -> WriteMove:
    """Return the move if it may be decided.  Raises WriteMoveRejectedError.

    `regions` is zone -> region.  `behind_ms`: how far the target's replicas are behind what the source has
    acknowledged; None: nobody can tell, as when the source is unreachable.  Then only an operator's own
    `max_loss_ms` allows a move: what cannot be proved to be there counts as lost.
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
