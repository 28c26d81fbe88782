"""What may be said of gateways and their members: never gone only because somebody is silent.

All times are the asking gateway's own, in milliseconds; no clock of two machines is compared.  A verdict here
widens or narrows what is *said*; nothing that routes work reads it.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

WEIGHT_BYTES = 8


class Certainty(enum.Enum):
    """How sure this gateway is of what another one said last."""

    CONFIRMED = "sure"
    SUSPECTED = "unsure"
    DEAD = "gone"


@dataclass(frozen=True, slots=True)
class Verdict:
    """How sure something is, and since when (ms on the own clock)."""

    certainty: Certainty
    since_ms: float


def assess(
    known_until_ms: float, now_ms: float, *, synced: bool, suspect_after_ms: float, dead_after_ms: float
) -> Verdict:
    """Return how sure a gateway's members are.

    `known_until_ms` is when all that it said up to then was here; `synced`: all it says is here as it
    comes. Within `suspect_after_ms` a lost connection is no news.  Past it the members are unsure, since
    they were last known.  Only `dead_after_ms` later, the stated time, they are gone.
    """
    age_ms = now_ms - known_until_ms
    if age_ms <= suspect_after_ms:
        return Verdict(Certainty.CONFIRMED if synced else Certainty.SUSPECTED, known_until_ms)
    if age_ms <= dead_after_ms:
        return Verdict(Certainty.SUSPECTED, known_until_ms)
    return Verdict(Certainty.DEAD, known_until_ms + dead_after_ms)


class GatewayState(enum.Enum):
    """What the fleet's membership says of a gateway, as the admin port names it."""

    ALIVE = "alive"
    SUSPECT = "unsure"
    LEFT = "left"
    DEAD = "gone"


@dataclass(frozen=True, slots=True)
class Gateway:
    """Another gateway as the fleet's membership shows it."""

    name: str
    incarnation: int
    region: str
    state: GatewayState
    state_since_ms: float


class Majority(NamedTuple):
    """How many gateways of a region are needed, of how many."""

    needed: int
    total: int


def majority_of_region(region: str, others: Iterable[Gateway]) -> Majority:
    """Return how many have to have a join `near`, this gateway counted.

    Counted are the region's gateways that are alive or suspected: a suspected one may be alive, so it
    raises what is needed.  Gateways known as dead are not counted, so that each side of a long cut goes on
    for itself: the answer gives both numbers, and who is not heard from.
    """
    counted = (GatewayState.ALIVE, GatewayState.SUSPECT)
    total = 1 + sum(1 for gateway in others if gateway.region == region and gateway.state in counted)
    return Majority(total // 2 + 1, total)


def replica_order(room: str, region: str, others: Iterable[Gateway]) -> list[str]:
    """Return the region's other live gateways in the order in which they are asked to replicate a room.

    Highest random weight (Thaler and Ravishankar 1998): every gateway gets the same order, so a room's
    replicas are the same few whoever joins, and who looks for a lost gateway's session knows whom to ask.
    """

    def weight(name: str) -> bytes:
        """Return a gateway's weight for the room."""
        return hashlib.blake2b(f"{room}\0{name}".encode(), digest_size=WEIGHT_BYTES).digest()

    alive = [one.name for one in others if one.region == region and one.state is GatewayState.ALIVE]
    return sorted(alive, key=weight, reverse=True)


@dataclass(frozen=True, slots=True)
class UnreportedGateway:
    """A gateway that this one cannot speak for; `since_ms` is NEVER where it never was."""

    name: str
    reason: str
    since_ms: float


NEVER = -1.0
SILENT = "silent"
NOT_YET_LISTED = "not yet heard"
PENDING = "asked"


def unreported_gateways(
    others: Iterable[Gateway],
    listed: Collection[str],
    suspect_since_ms: Mapping[str, float],
    pending: Collection[str],
) -> list[UnreportedGateway]:
    """Return the gateways that an answer does not speak for, by name.

    `listed` are those whose list of rooms the gossip has brought; `suspect_since_ms` whose members of the
    room are unsure, since when; `pending` those that were asked and have not sent everything yet.
    """
    unreported: dict[str, UnreportedGateway] = {}
    for gateway in others:
        name = gateway.name
        if name in suspect_since_ms:
            unreported[name] = UnreportedGateway(name, SILENT, suspect_since_ms[name])
        elif gateway.state is not GatewayState.ALIVE:
            unreported[name] = UnreportedGateway(name, gateway.state.value, gateway.state_since_ms)
        elif name not in listed:
            unreported[name] = UnreportedGateway(name, NOT_YET_LISTED, NEVER)
        elif name in pending:
            unreported[name] = UnreportedGateway(name, PENDING, NEVER)
    for name, since_ms in suspect_since_ms.items():
        unreported.setdefault(name, UnreportedGateway(name, SILENT, since_ms))
    return sorted(unreported.values(), key=lambda one: one.name)


def is_dead_for_good(
    name: str, incarnation: int, others: Iterable[Gateway], now_ms: float, dead_after_ms: float
) -> bool:
    """Whether a gateway's incarnation is over for the stated time: dead, left, or replaced so long ago.

    Of a name that the membership does not hold nothing is known: not gone.
    """
    for gateway in others:
        if gateway.name == name:
            over = gateway.incarnation > incarnation or gateway.state in (
                GatewayState.DEAD,
                GatewayState.LEFT,
            )
            return over and now_ms - gateway.state_since_ms > dead_after_ms
    return False


class AwakeClock:
    """A clock that leaves out how long its own process stood still.

    A process that was stopped for a minute has not heard its own clients and peers for a minute, and none of
    them is to blame.  It is read again and again; of the time between two readings what lies beyond
    `max_gap_ms` is left out.
    """

    def __init__(self, now_ms: float, max_gap_ms: float) -> None:
        """Begin at a time of the process's monotonic clock."""
        self.max_gap_ms = max_gap_ms
        self.slept_ms = 0.0
        self._last_ms = now_ms

    def now_ms(self, clock_ms: float) -> float:
        """Return the time without what was slept."""
        gap_ms = clock_ms - self._last_ms
        if gap_ms > self.max_gap_ms:
            self.slept_ms += gap_ms - self.max_gap_ms
        self._last_ms = max(self._last_ms, clock_ms)
        return clock_ms - self.slept_ms
