"""The node list, as a stand-in: xDS v3 endpoint discovery over REST-JSON, seconds late, at times wrong.

Its health status knows only whether a process runs, drains or is gone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from cressrock.dispatch.node_list import TYPE_URL
from cressrock.http.channel import Stream
from cressrock.http.server import Exchange, Server, ServerBounds
from cressrock.lab.trace import Row


@dataclass(frozen=True, slots=True)
class Listed:
    """One line of the list.  `up_since_ms` is epoch milliseconds, 0 for long ago."""

    name: str
    shard: int
    zone: str = "hall"
    up_since_ms: float = 0.0
    draining: bool = False


class Listing:
    """The list service.  What is published is told `late_ms` later."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        seed: int,
        late_ms: float = 0.0,
        cluster: str = "storage",
        record: Callable[[Row], None] | None = None,
    ) -> None:
        """Start with no list at all: calls fail until one is told."""
        self.clock = clock
        self.late_ms = late_ms
        self.cluster = cluster
        self.record = record
        self.random = random.Random(seed)
        self.versions: list[tuple[float, int, tuple[Listed, ...]]] = []
        self.failing = 0.0  # chance of a failed call
        self.stale_ms = 0.0  # more lateness
        self.twice = False  # name a node twice
        self.told: dict[str, int] = {}
        self.server = Server(self.handle, ServerBounds(), max_connections=5000, failed=_raise)

    def publish(self, lines: list[Listed]) -> int:
        """Enter a new version; returns its number."""
        version = self.versions[-1][1] + 1 if self.versions else 1
        self.versions.append((self.clock(), version, tuple(sorted(lines, key=lambda x: x.name))))
        return version

    async def serve(self, stream: Stream) -> None:
        """Serve one connection."""
        await self.server.serve(stream)

    async def handle(self, exchange: Exchange) -> None:
        """Answer a DiscoveryRequest."""
        parts = []
        while data := await exchange.read():
            parts.append(data)
        request: Any = msgspec.json.decode(b"".join(parts) or b"{}")
        if exchange.head.target != b"/v3/discovery:endpoints":
            await exchange.respond(404, [], b"")
            return
        if self.failing and self.random.random() < self.failing:
            if self.random.random() < 0.3:
                await anyio.sleep(5)
            await exchange.respond(503, [], b"in trouble\n")
            return
        now = self.clock()
        seen = [v for v in self.versions if v[0] + self.late_ms + self.stale_ms <= now] or self.versions[:1]
        if not seen:
            await exchange.respond(503, [], b"no list yet\n")
            return
        _, version, lines = seen[-1]
        node_id = str(request.get("node", {}).get("id", ""))
        body = msgspec.json.encode(self.response(version, lines))
        await exchange.respond(200, [(b"content-type", b"application/json")], body)
        if self.record is not None and self.told.get(node_id) != version:
            states = ",".join(
                f"{x.name}={'draining' if x.draining else 'ready'}@{x.up_since_ms:.3f}" for x in lines
            )
            self.record(Row(self.clock(), "list", "told", node_id, status=version, detail=states))
        self.told[node_id] = version

    def response(self, version: int, lines: tuple[Listed, ...]) -> dict[str, Any]:
        """Return a DiscoveryResponse."""
        zones: dict[str, list[dict[str, Any]]] = {}
        for line in [*lines, *(lines[:1] if self.twice else ())]:
            host, _, port = line.name.rpartition(":")
            zones.setdefault(line.zone, []).append(
                {
                    "endpoint": {"address": {"socket_address": {"address": host, "port_value": int(port)}}},
                    "health_status": "DRAINING" if line.draining else "HEALTHY",
                    "metadata": {
                        "filter_metadata": {"cressrock": {"shard": line.shard, "up_since": line.up_since_ms}}
                    },
                }
            )
        groups = [{"locality": {"zone": zone}, "lb_endpoints": found} for zone, found in zones.items()]
        assignment = {"@type": TYPE_URL, "cluster_name": self.cluster, "endpoints": groups}
        return {
            "version_info": str(version),
            "nonce": str(version),
            "type_url": TYPE_URL,
            "resources": [assignment],
        }


def _raise(error: BaseException) -> None:
    raise error
