"""Publishes by gossip which replicas this process's own attempts reach."""

from __future__ import annotations

from typing import Protocol

import anyio

from cressrock.gossip.messages import Origin
from cressrock.replication.reachability import REACHABILITY_KEY_PREFIX
from cressrock.replication.service import ReplicatedVolumes


class Gossip(Protocol):
    """Replicated key-value state (`cressrock.gossip.store.GossipStore`)."""

    def put(self, key: str, value: bytes) -> None:
        """Set an entry of this process."""

    def remove(self, key: str) -> None:
        """Remove an entry of this process."""

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return a key's values from all processes, by origin."""


class ReachabilityPublisher:
    """Keeps this process's reachability reports in gossip up to date."""

    def __init__(self, volumes: ReplicatedVolumes, gossip: Gossip, interval_ms: float) -> None:
        """`interval_ms` is the pause between two updates."""
        self._volumes, self._gossip, self._interval_ms = volumes, gossip, interval_ms
        self._published: dict[int, bytes] = {}

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            await anyio.sleep(self._interval_ms / 1000)
            reports = self._volumes.reachability_reports(self._has_reports)
            for shard in [shard for shard in self._published if shard not in reports]:
                del self._published[shard]
                self._gossip.remove(f"{REACHABILITY_KEY_PREFIX}{shard}")
            for shard, report in reports.items():
                if self._published.get(shard) != report:
                    self._published[shard] = report
                    self._gossip.put(f"{REACHABILITY_KEY_PREFIX}{shard}", report)

    def _has_reports(self, shard: int) -> bool:
        return any(self._gossip.values(f"{REACHABILITY_KEY_PREFIX}{shard}").values())
