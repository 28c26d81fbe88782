"""The consensus leader's decision about zones and an operator's move of writes, with their wire format.

One decision covers all zones under a single topic, so that two zones are never evacuated by two independent
decisions.  A zone that is not listed in it is LOCAL and takes all its traffic.
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
    """The decided state of a zone."""

    LOCAL = 0  # serves all its own traffic; listed only while its losses are remembered
    EVACUATED = 1  # failed over: receives only trial reads
    RECOVERING = 2  # takes a share of its traffic that grows step by step
    DEGRADED = 3  # some of its nodes do not answer; it keeps the share that the others serve
    SLOW = 4  # answers slowly; it keeps a reduced share
    PARTITIONED = 5  # edges in `blind_zones` cannot reach it and read elsewhere; all others keep using it


# Names of the states on the admin port and in the log; operators' alerts match them.
_OUTER_NAMES = ("near", "gone", "back", "half", "slow", "split")


def outer_name(state: int) -> str:
    """Return a state's name on the admin port and in the log; for an unknown (newer) state, its number."""
    return _OUTER_NAMES[state] if 0 <= state < len(_OUTER_NAMES) else str(state)


class ZoneDecision(Struct, frozen=True, array_like=True):
    """The state of one zone, and the share of its own traffic that it takes (in 64ths).

    If `blind_zones` is not empty, the share applies only to edges in these zones; all other edges send
    everything.  `losses` counts evacuations and partitions that are not yet forgotten.  `edges` is the number
    of edges among which a recovering zone's share is divided.
    """

    zone: _Name
    state: Annotated[int, Meta(ge=0, le=255)]
    share: Annotated[int, Meta(ge=0, le=FULL_SHARE)]
    losses: Annotated[int, Meta(ge=0, le=255)] = 0
    edges: _EdgeCount = 0
    blind_zones: Annotated[list[_Name], Meta(max_length=64)] = []

    def share_from(self, zone: str) -> int:
        """Return the share, in 64ths, that an edge in `zone` may send."""
        if self.blind_zones and zone not in self.blind_zones:
            return FULL_SHARE
        return self.share


class FailoverDecision(Struct, frozen=True, array_like=True):
    """The state of all zones, and how much traffic of restricted zones the others may take.

    `spare_capacity` is how much other zones' traffic each unrestricted zone takes, in units per second summed
    over all edges.  `evacuated_demand` is the total demand (units per second) of the edges that have to read
    elsewhere.  An edge's share of any spare capacity is its own reported demand divided by that sum.  Newer
    programs append fields.
    """

    zones: Annotated[list[ZoneDecision], Meta(max_length=64)] = []
    spare_capacity: Annotated[dict[_Name, _UnitsPerSecond], Meta(max_length=64)] = {}
    evacuated_demand: _UnitsPerSecond = 0.0

    def for_zone(self, zone: str) -> ZoneDecision:
        """Return the decision about a zone; LOCAL with the full share if it is not listed."""
        for entry in self.zones:
            if entry.zone == zone:
                return entry
        return ZoneDecision(zone, ZoneState.LOCAL, FULL_SHARE)


class WriteMove(Struct, frozen=True, array_like=True):
    """An operator's decision that another region takes over a region's writes.

    Writes acknowledged within `max_loss_ms` before the move may be lost; 0 allows no loss.
    """

    source: _Name
    target: _Name
    max_loss_ms: Annotated[float, Meta(ge=0, le=1e12)]
    requested_by: Annotated[str, Meta(max_length=128)] = ""


_decision_decoder = msgspec.msgpack.Decoder(FailoverDecision)
_write_move_decoder = msgspec.msgpack.Decoder(WriteMove)


def encode(value: FailoverDecision | WriteMove) -> bytes:
    """Return the bytes stored by consensus as the decision's value."""
    return encode_versioned(value)


def decode(data: bytes) -> FailoverDecision:
    """Decode a failover decision.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_decision_decoder, data, "failover decision")


def decode_write_move(data: bytes) -> WriteMove:
    """Decode a move of writes.  Raises MalformedFailoverDataError, UnsupportedFailoverVersionError."""
    return decode_versioned(_write_move_decoder, data, "move of writes")


def check_write_move(regions: Mapping[str, str], move: WriteMove, lag_ms: float | None) -> WriteMove:
    """Return the move if it is allowed.  Raises WriteMoveRejectedError.

    `regions` maps zone to region.  `lag_ms` is how far the target's replicas lag behind what the source has
    acknowledged, or None if that is unknown, for example because the source is unreachable.  With an unknown
    lag a move is allowed only if the operator accepts a loss (`max_loss_ms` above 0), since writes that
    cannot be shown to have reached the target count as lost.
    """
    known = sorted(set(regions.values()))
    for name in (move.source, move.target):
        if name not in known:
            raise WriteMoveRejectedError(f"unknown region {name!r}; the regions are {', '.join(known)}")
    if move.source == move.target:
        raise WriteMoveRejectedError(f"source and target are the same region {move.source!r}")
    if lag_ms is None and move.max_loss_ms == 0:
        raise WriteMoveRejectedError(
            f"the replication lag of {move.target!r} behind {move.source!r} is unknown and no loss is allowed"
        )
    if lag_ms is not None and lag_ms > move.max_loss_ms:
        raise WriteMoveRejectedError(
            f"{move.target!r} is {lag_ms:g} ms behind {move.source!r}; allowed: {move.max_loss_ms:g} ms"
        )
    return move
