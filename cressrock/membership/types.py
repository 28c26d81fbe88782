"""Value types of the membership API: identities, members, outgoing messages and exchange requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from cressrock.membership.packets import MemberInfo, MemberState, Message

NEVER_MS = float("inf")


class ProcessId(NamedTuple):
    """One run of a process: its configured name, and a process incarnation that grows with every start."""

    name: str
    process_incarnation: int


class Peer(NamedTuple):
    """The name and address of a member to send to."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Identity:
    """One process: its configured name, its process incarnation, and the description it announces."""

    name: str
    process_incarnation: int
    address: str
    role: str = "edge"
    zone: str = ""
    region: str = ""
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class Member:
    """One member as this process sees it; `state_since_ms` is when this process recorded the state."""

    name: str
    process_incarnation: int
    role: str
    zone: str
    region: str
    address: str
    state: MemberState
    state_since_ms: float
    extra: bytes

    @classmethod
    def of(
        cls, name: str, process_incarnation: int, info: MemberInfo, state: MemberState, since_ms: float
    ) -> Member:
        """Return a member with the description that it announced."""
        return cls(
            name,
            process_incarnation,
            info.role,
            info.zone,
            info.region,
            info.address,
            state,
            since_ms,
            info.extra,
        )


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send.

    `address` is the announced address; a route configured for `name` takes precedence over it.
    """

    name: str | None
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """A full exchange to make over a stream; after a join or a partition the gossip state is included."""

    name: str
    address: str
    with_gossip_state: bool
