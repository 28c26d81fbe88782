"""Interfaces that failover needs from its process; `cressrock.runtime.ClusterRuntime` implements them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cressrock.aggregation.channel import EvidenceChannel
from cressrock.consensus.decisions import Decision, Expired
from cressrock.failover.reports import Origin
from cressrock.membership.types import Member


class Gossip(Protocol):
    """The gossip store; `local` is the origin of this process's own entries."""

    local: Origin

    def put(self, key: str, value: bytes) -> None:
        """Set an entry of this process."""

    def remove(self, key: str) -> None:
        """Remove an entry of this process."""

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return the key's value for each origin that has one."""

    def value_of(self, key: str, origin: Origin) -> bytes | None:
        """Return one origin's value, or None if it has none."""


class DecisionCache(Protocol):
    """The decisions known to this process."""

    def get(self, topic: str) -> Decision | Expired | None:
        """Return a topic's current decision, wrapped in Expired after its lease; None if there is none."""


class Consensus(Protocol):
    """Client of the consensus leader."""

    async def decide(
        self, topic: str, value: bytes, lease_ms: float, if_version: int | None = None
    ) -> Decision:
        """Propose a value; with `if_version`, only if that version is current.  Raises ConsensusError."""

    async def read(self, topic: str) -> Decision | None:
        """Return a topic's current decision by consensus.  Raises ConsensusError."""


class Runtime(Protocol):
    """The process's services in the cluster; `on_gossip_change` callbacks get an origin and a key."""

    on_gossip_change: list[Callable[[Origin, str], None]]

    @property
    def gossip(self) -> Gossip:
        """The process's gossip store."""

    @property
    def decision_cache(self) -> DecisionCache:
        """The process's decision cache."""

    @property
    def consensus(self) -> Consensus | None:
        """The client of the consensus leader; None if consensus is not configured."""

    @property
    def is_leader(self) -> bool:
        """Whether this process's replica is the consensus leader, to its own knowledge."""

    @property
    def evidence(self) -> EvidenceChannel:
        """The channel on which reports are published, by gossip or to collectors."""

    def members(self) -> tuple[Member, ...]:
        """Return this process's membership view."""
