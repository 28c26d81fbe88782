"""The interfaces that presence needs from its process, and the context that the service's parts share."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from cressrock.consensus.decisions import Decision, Expired
from cressrock.gossip.store import GossipStore
from cressrock.http.channel import Stream
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member
from cressrock.presence.liveness import Gateway, GatewayState
from cressrock.presence.messages import Origin
from cressrock.presence.rooms import Rooms
from cressrock.presence.settings import ServiceSettings

GATEWAY_ROLE = "edge"

# Maps the fleet's membership states to those that the admin port reports.
GATEWAY_STATES: Mapping[MemberState, GatewayState] = {
    MemberState.ALIVE: GatewayState.ALIVE,
    MemberState.SUSPECT: GatewayState.SUSPECT,
    MemberState.DEAD: GatewayState.DEAD,
    MemberState.LEFT: GatewayState.LEFT,
}


class Consensus(Protocol):
    """The part of the consensus client that presence uses; all methods raise ConsensusError."""

    async def decide(
        self, topic: str, value: bytes, hold_ms: float, if_number: int | None = None
    ) -> Decision:
        """Set the topic's value, if its current decision has number `if_number` (None: in any case).

        Raises DecisionConflictError.
        """

    async def drop(self, topic: str, if_number: int | None = None) -> int:
        """Remove the topic's value, if its current decision has number `if_number` (None: in any case).

        Raises DecisionConflictError.
        """

    async def read(self, topic: str) -> Decision | None:
        """Return the topic's current decision, or None (linearizable read)."""


class Log(Protocol):
    """Structured logger; each call writes one event."""

    def debug(self, event: str, **fields: str) -> None:
        """Log details for troubleshooting."""

    def info(self, event: str, **fields: str) -> None:
        """Log an event of normal operation."""

    def warning(self, event: str, **fields: str) -> None:
        """Log an event that may need an operator's attention."""


@dataclass(frozen=True, slots=True)
class PresenceEnvironment:
    """What presence needs from its process.  `clock_ms` returns monotonic milliseconds."""

    name: str
    incarnation: int
    region: str
    cluster: str
    routes: Mapping[str, str]
    gossip: GossipStore
    members: Callable[[], tuple[Member, ...]]
    connect: Callable[[str, int], Awaitable[Stream]]
    consensus: Callable[[], Consensus | None]
    cached_decision: Callable[[str], Decision | Expired | None]
    volumes: Callable[[], Iterable[str]]
    clock_ms: Callable[[], float]
    rng: random.Random
    log: Log

    def other_gateways(self) -> list[Gateway]:
        """Return the other gateways in any state, according to the fleet's membership."""
        return [
            Gateway(m.name, m.process_incarnation, m.region, GATEWAY_STATES[m.state], m.state_since_ms)
            for m in self.members()
            if m.role == GATEWAY_ROLE and m.name != self.name
        ]

    def addresses_of_reachable(self) -> dict[Origin, str]:
        """Return the addresses of all alive or suspected members, with configured routes applied."""
        return {
            Origin(m.name, m.process_incarnation): self.routes.get(m.name, m.address)
            for m in self.members()
            if m.state in (MemberState.ALIVE, MemberState.SUSPECT)
        }


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """What the parts of the service share.

    `carry_out` sends the rooms' pending messages and publishes their gossip entries; it must be called after
    each change to the rooms. `wake` makes the service's loop run again immediately.
    """

    settings: ServiceSettings
    environment: PresenceEnvironment
    rooms: Rooms
    now_ms: Callable[[], float]  # the rooms' clock, which excludes pauses of this process
    carry_out: Callable[[], None]
    wake: Callable[[], None]
