"""Publishes by gossip what this process's own attempts say of replicas."""

from __future__ import annotations

from typing import Protocol

import anyio

from cressrock.gossip.messages import Origin
from cressrock.replication.reachability import REACHABILITY_KEY_PREFIX
from cressrock.replication.service import ReplicatedVolumes


class Gossip(Protocol):
    """Replicated key-value state (`cressrock.gossip.store.GossipStore`)."""

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""

    def remove(self, key: str) -> None:
        """Remove an own entry."""

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return a key's values of all processes."""


class ReachabilityPublisher:
    """Keeps this process's reports in gossip in step with its own attempts."""

    def __init__(self, volumes: ReplicatedVolumes, gossip: Gossip, interval_ms: float) -> None:
        """`every_ms` is the pause between two looks."""
        self._volumes, self._gossip, self._interval_ms = volumes, gossip, interval_ms
        self._published: dict[int, bytes] = {}

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            await anyio.sleep(self._interval_ms / 1000)
            reports = self._volumes.reachability_reports(self._is_doubted)
            for shard in [shard for shard in self._published if shard not in reports]:
                del self._published[shard]
                self._gossip.remove(f"{REACHABILITY_KEY_PREFIX}{shard}")
            for shard, report in reports.items():
                if self._published.get(shard) != report:
                    self._published[shard] = report
                    self._gossip.put(f"{REACHABILITY_KEY_PREFIX}{shard}", report)

    def _is_doubted(self, shard: int) -> bool:
        return any(self._gossip.values(f"{REACHABILITY_KEY_PREFIX}{shard}").values())
