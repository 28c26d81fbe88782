"""What replication needs of a planner's runtime, and the decisions on sets by its consensus client."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from cressrock.consensus.client import ConsensusClient
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decisions import Decision
from cressrock.errors.consensus import NoQuorumError
from cressrock.gossip.messages import Origin
from cressrock.membership.types import Member
from cressrock.replication.in_sync_set import InSyncSet, encode_set


class GossipValues(Protocol):
    """Replicated key-value state (`cressrock.gossip.store.GossipStore`)."""

    def values(self, key: str) -> Mapping[Origin, bytes]:
        """Return a key's values of all processes."""


class PlannerRuntime(Protocol):
    """A planner's decisions, gossip and membership (`cressrock.runtime`)."""

    @property
    def decision_cache(self) -> DecisionCache:
        """What this process has cached of decisions."""

    @property
    def consensus(self) -> ConsensusClient | None:
        """The council as any process asks it."""

    @property
    def gossip(self) -> GossipValues:
        """What all processes report."""

    @property
    def is_leader(self) -> bool:
        """Whether this process's consensus replica leads."""

    def members(self) -> tuple[Member, ...]:
        """Return all members, as this process sees them."""


class SetDecisions:
    """Reads and proposes the decisions on in-sync sets."""

    def __init__(self, runtime: PlannerRuntime, lease_ms: float) -> None:
        """`lease_ms` is that of the decisions."""
        self._runtime, self._lease_ms = runtime, lease_ms

    @property
    def cache(self) -> DecisionCache:
        """What this process has cached of decisions."""
        return self._runtime.decision_cache

    def _consensus(self) -> ConsensusClient:
        if self._runtime.consensus is None:
            raise NoQuorumError("this process has no way to the council")
        return self._runtime.consensus

    async def read(self, topic: str) -> Decision | None:
        """Return what is decided.  Raises ConsensusError."""
        return await self._consensus().read(topic)

    async def decide(self, topic: str, in_sync_set: InSyncSet, version: int) -> Decision:
        """Propose a set in place of the decision of this version (0: none).  Raises ConsensusError."""
        return await self._consensus().decide(topic, encode_set(in_sync_set), self._lease_ms, version)
