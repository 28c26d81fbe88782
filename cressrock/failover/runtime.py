"""What failover needs of the process that it runs in; `cressrock.runtime.ClusterRuntime` is one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cressrock.aggregation.channel import EvidenceChannel
from cressrock.consensus.decisions import Decision, Expired
from cressrock.failover.reports import Origin
from cressrock.membership.types import Member


class Gossip(Protocol):
    """The gossip store."""

    local: Origin

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""

    def remove(self, key: str) -> None:
        """Remove an own entry."""

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return the value of each origin."""

    def value_of(self, key: str, origin: Origin) -> bytes | None:
        """Return the value of one."""


class DecisionCache(Protocol):
    """The decisions that count for this process."""

    def get(self, topic: str) -> Decision | Expired | None:
        """Return what counts now."""


class Consensus(Protocol):
    """The way to the consensus leader."""

    async def decide(
        self, topic: str, value: bytes, lease_ms: float, if_version: int | None = None
    ) -> Decision:
        """Let a value stand.  Raises ConsensusError."""

    async def read(self, topic: str) -> Decision | None:
        """Return what stands.  Raises ConsensusError."""


class Runtime(Protocol):
    """The process's part in the cluster."""

    on_gossip_change: list[Callable[[Origin, str], None]]

    @property
    def gossip(self) -> Gossip:
        """The gossip store."""

    @property
    def decision_cache(self) -> DecisionCache:
        """The decisions that count."""

    @property
    def consensus(self) -> Consensus | None:
        """The way to the consensus leader; None without one in the settings."""

    @property
    def is_leader(self) -> bool:
        """Whether this process's replica leads, as far as it knows."""

    @property
    def evidence(self) -> EvidenceChannel:
        """The way that reports take."""

    def members(self) -> tuple[Member, ...]:
        """Return this process's view of the members."""
