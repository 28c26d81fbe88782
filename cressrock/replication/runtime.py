"""Interface to a planner's runtime, and access to the decisions on in-sync sets."""

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
        """Return a key's values from all processes, by origin."""


class PlannerRuntime(Protocol):
    """A planner's decisions, gossip and membership (`cressrock.runtime`)."""

    @property
    def decision_cache(self) -> DecisionCache:
        """This process's cache of decisions."""

    @property
    def consensus(self) -> ConsensusClient | None:
        """Client of the council, None if this process has none."""

    @property
    def gossip(self) -> GossipValues:
        """Entries of all processes in the gossip store."""

    @property
    def is_leader(self) -> bool:
        """Whether this process's consensus replica leads."""

    def members(self) -> tuple[Member, ...]:
        """Return all members, as this process sees them."""


class SetDecisions:
    """Reads and proposes the decisions on in-sync sets."""

    def __init__(self, runtime: PlannerRuntime, lease_ms: float) -> None:
        """`lease_ms` is the lease of the decisions made here."""
        self._runtime, self._lease_ms = runtime, lease_ms

    @property
    def cache(self) -> DecisionCache:
        """This process's cache of decisions."""
        return self._runtime.decision_cache

    def _consensus(self) -> ConsensusClient:
        if self._runtime.consensus is None:
            raise NoQuorumError("this process has no connection to the council")
        return self._runtime.consensus

    async def read(self, topic: str) -> Decision | None:
        """Return a topic's decision from the council, None if there is none.  Raises ConsensusError."""
        return await self._consensus().read(topic)

    async def decide(self, topic: str, in_sync_set: InSyncSet, version: int) -> Decision:
        """Propose a set in place of the decision with this version (0: none).  Raises ConsensusError."""
        return await self._consensus().decide(topic, encode_set(in_sync_set), self._lease_ms, version)
