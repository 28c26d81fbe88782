"""What presence needs of its process, and what the parts of its service share."""

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

# How the admin port names the states of the fleet's membership.
GATEWAY_STATES: Mapping[MemberState, GatewayState] = {
    MemberState.ALIVE: GatewayState.ALIVE,
    MemberState.SUSPECT: GatewayState.SUSPECT,
    MemberState.DEAD: GatewayState.DEAD,
    MemberState.LEFT: GatewayState.LEFT,
}


class Consensus(Protocol):
    """The consensus as presence asks it; all raise ConsensusError."""

    async def decide(
        self, topic: str, value: bytes, hold_ms: float, if_number: int | None = None
    ) -> Decision:
        """Let a value stand, after the decision of this number.  Raises DecisionConflictError."""

    async def drop(self, topic: str, if_number: int | None = None) -> int:
        """Let nothing stand, after the decision of this number.  Raises DecisionConflictError."""

    async def read(self, topic: str) -> Decision | None:
        """Return what stands (linearizable)."""


class Log(Protocol):
    """Structured log lines, one event each."""

    def debug(self, event: str, **fields: str) -> None:
        """Log what helps in a search."""

    def info(self, event: str, **fields: str) -> None:
        """Log what is usual."""

    def warning(self, event: str, **fields: str) -> None:
        """Log what an operator may have to act on."""


@dataclass(frozen=True, slots=True)
class PresenceEnvironment:
    """What presence needs of its process.  `clock_ms` is monotonic."""

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
        """Return the other gateways as the fleet's membership shows them."""
        return [
            Gateway(m.name, m.process_incarnation, m.region, GATEWAY_STATES[m.state], m.state_since_ms)
            for m in self.members()
            if m.role == GATEWAY_ROLE and m.name != self.name
        ]

    def addresses_of_reachable(self) -> dict[Origin, str]:
        """Return where those members listen that are not known to be gone."""
        return {
            Origin(m.name, m.process_incarnation): self.routes.get(m.name, m.address)
            for m in self.members()
            if m.state in (MemberState.ALIVE, MemberState.SUSPECT)
        }


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """What the parts of the service share.

    `carry_out` sends and publishes what the rooms want, and has to follow each change of them; `wake` makes
    the service's loop run again at once.
    """

    settings: ServiceSettings
    environment: PresenceEnvironment
    rooms: Rooms
    now_ms: Callable[[], float]  # the time that the rooms go by
    carry_out: Callable[[], None]
    wake: Callable[[], None]
