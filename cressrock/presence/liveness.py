"""Failure detection for gateways and their members: a silent one is first suspected, later dead.

All times are those of the local gateway's clock, in milliseconds; clocks of different machines are never
compared.  A verdict affects only what presence *reports*; nothing that routes requests reads it.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

WEIGHT_BYTES = 8


class Certainty(enum.Enum):
    """How certain the last known state of another gateway is."""

    CONFIRMED = "sure"
    SUSPECTED = "unsure"
    DEAD = "gone"


@dataclass(frozen=True, slots=True)
class Verdict:
    """A certainty, and the local time in ms since when it holds."""

    certainty: Certainty
    since_ms: float


def assess(
    known_until_ms: float, now_ms: float, *, synced: bool, suspect_after_ms: float, dead_after_ms: float
) -> Verdict:
    """Return how certain a gateway's members are.

    `known_until_ms` is the time up to which everything that the gateway sent had been received; `synced`
    tells that its changes are being received.  Up to `suspect_after_ms` after it the verdict is CONFIRMED, or
    SUSPECTED if not `synced`.  Later the members are SUSPECTED, and only after `dead_after_ms` are they DEAD.
    """
    age_ms = now_ms - known_until_ms
    if age_ms <= suspect_after_ms:
        return Verdict(Certainty.CONFIRMED if synced else Certainty.SUSPECTED, known_until_ms)
    if age_ms <= dead_after_ms:
        return Verdict(Certainty.SUSPECTED, known_until_ms)
    return Verdict(Certainty.DEAD, known_until_ms + dead_after_ms)


class GatewayState(enum.Enum):
    """A gateway's state in the fleet's membership; the values are those of the admin port."""

    ALIVE = "alive"
    SUSPECT = "unsure"
    LEFT = "left"
    DEAD = "gone"


@dataclass(frozen=True, slots=True)
class Gateway:
    """Another gateway as reported by the fleet's membership."""

    name: str
    incarnation: int
    region: str
    state: GatewayState
    state_since_ms: float


class Majority(NamedTuple):
    """The number of a region's gateways that form a majority, and the number that is counted."""

    needed: int
    total: int


def majority_of_region(region: str, others: Iterable[Gateway]) -> Majority:
    """Return how many gateways, this one included, must have a member for a join to be `near`.

    The region's alive and suspected gateways are counted: a suspected one may be alive, so it increases the
    majority.  Gateways that are known to be dead are not counted, so each side of a long network partition
    keeps working on its own; the response contains both numbers and the gateways that cannot be reached.
    """
    counted = (GatewayState.ALIVE, GatewayState.SUSPECT)
    total = 1 + sum(1 for gateway in others if gateway.region == region and gateway.state in counted)
    return Majority(total // 2 + 1, total)


def replica_order(room: str, region: str, others: Iterable[Gateway]) -> list[str]:
    """Return the region's other alive gateways in the order in which they are asked to replicate a room.

    The order is by highest random weight (rendezvous hashing; Thaler and Ravishankar 1998).  Every gateway
    computes the same order, so a room has the same few replicas for all joins, and a gateway that looks for a
    session of a lost gateway knows which ones to ask.
    """

    def weight(name: str) -> bytes:
        """Return a gateway's weight for the room, compared as bytes."""
        return hashlib.blake2b(f"{room}\0{name}".encode(), digest_size=WEIGHT_BYTES).digest()

    alive = [
        gateway.name for gateway in others if gateway.region == region and gateway.state is GatewayState.ALIVE
    ]
    return sorted(alive, key=weight, reverse=True)


@dataclass(frozen=True, slots=True)
class UnreportedGateway:
    """A gateway whose members may be missing from a response.

    `since_ms` is when that began, or NEVER_MS if its members were never received.
    """

    name: str
    reason: str
    since_ms: float


NEVER_MS = -1.0
SILENT = "silent"
NOT_YET_LISTED = "not yet heard"
PENDING = "asked"


def unreported_gateways(
    others: Iterable[Gateway],
    listed: Collection[str],
    suspect_since_ms: Mapping[str, float],
    pending: Collection[str],
) -> list[UnreportedGateway]:
    """Return the gateways whose members a response may lack, ordered by name.

    `listed` has the names whose lists of rooms have arrived by gossip; `suspect_since_ms` has those whose
    members of the room are unsure, and since when; `pending` has those that were asked and have not sent
    everything yet.
    """
    unreported: dict[str, UnreportedGateway] = {}
    for gateway in others:
        name = gateway.name
        if name in suspect_since_ms:
            unreported[name] = UnreportedGateway(name, SILENT, suspect_since_ms[name])
        elif gateway.state is not GatewayState.ALIVE:
            unreported[name] = UnreportedGateway(name, gateway.state.value, gateway.state_since_ms)
        elif name not in listed:
            unreported[name] = UnreportedGateway(name, NOT_YET_LISTED, NEVER_MS)
        elif name in pending:
            unreported[name] = UnreportedGateway(name, PENDING, NEVER_MS)
    for name, since_ms in suspect_since_ms.items():
        unreported.setdefault(name, UnreportedGateway(name, SILENT, since_ms))
    return sorted(unreported.values(), key=lambda gateway: gateway.name)


def is_incarnation_over(
    name: str, incarnation: int, others: Iterable[Gateway], now_ms: float, dead_after_ms: float
) -> bool:
    """Return whether a gateway's incarnation has been dead, left or replaced for more than `dead_after_ms`.

    False for a name that the membership does not contain, as nothing is known about it.
    """
    for gateway in others:
        if gateway.name == name:
            is_over = gateway.incarnation > incarnation or gateway.state in (
                GatewayState.DEAD,
                GatewayState.LEFT,
            )
            return is_over and now_ms - gateway.state_since_ms > dead_after_ms
    return False


class AwakeClock:
    """A clock that does not count pauses of its own process.

    A process that was paused for a minute has received nothing from its clients and peers for a minute
    although they are alive.  The clock must be read regularly: of the time between two readings, the part
    beyond `max_gap_ms` is not counted.
    """

    def __init__(self, now_ms: float, max_gap_ms: float) -> None:
        """`now_ms` is the current time of the process's monotonic clock."""
        self.max_gap_ms = max_gap_ms
        self.paused_ms = 0.0
        self._last_ms = now_ms

    def now_ms(self, clock_ms: float) -> float:
        """Return the monotonic time `clock_ms` less all pauses so far, in ms."""
        gap_ms = clock_ms - self._last_ms
        if gap_ms > self.max_gap_ms:
            self.paused_ms += gap_ms - self.max_gap_ms
        self._last_ms = max(self._last_ms, clock_ms)
        return clock_ms - self.paused_ms
