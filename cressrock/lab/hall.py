"""A hall of stand-ins on loopback or in simulated time: racks, their nodes, the node list."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from anyio.abc import TaskGroup

from cressrock.dispatch.spool import PayloadStore
from cressrock.http.channel import Stream
from cressrock.lab.listing import Listed, Listing
from cressrock.lab.model import Machine, Meter, Performance
from cressrock.lab.node import Node, Rates
from cressrock.lab.rack import Rack
from cressrock.lab.trace import Row

Close = Callable[[], Awaitable[None]]
Serve = Callable[[Stream], Coroutine[Any, Any, None]]
Open = Callable[[str, Serve], Awaitable[tuple[str, Close]]]


@dataclass(slots=True)
class _Place:
    node: Node
    close: Close
    line: Listed


@dataclass(slots=True)
class Hall:
    """The stand-ins of one day.  `open` binds an address and serves it."""

    tasks: TaskGroup
    open: Open
    clock: Callable[[], float]
    wall_ms: Callable[[], float]
    seed: int
    machines: list[Machine | None]
    window_ms: float
    meter: Meter
    rates: Rates
    store: PayloadStore
    listing: Listing
    record: Callable[[Row], None] | None = None
    zones: dict[int, str] = field(default_factory=dict)  # of shards; "hall" where nothing is said
    racks: dict[int, Rack] = field(default_factory=dict)
    places: dict[str, _Place] = field(default_factory=dict)
    started: int = 0

    async def start(self, shard: int, address: str, *, cold: bool = False) -> str:
        """Start a node process for a shard; returns its name, host:port."""
        rack = self.racks.setdefault(shard, Rack(shard, window_ms=self.window_ms))
        machine = self.machines[shard % len(self.machines)]
        self.started += 1
        performance = None
        if machine is not None:
            performance = Performance(machine, self.clock(), cold=cold, seed=self.seed * 1009 + self.started)
        node = Node(
            address,
            rack,
            performance,
            self.meter,
            self.rates,
            self.store,
            self.tasks,
            clock=self.clock,
            wall_ms=self.wall_ms,
            seed=self.seed * 2003 + self.started,
            record=self.record,
        )
        name, close = await self.open(address, node.serve)
        node.name = name
        since = self.wall_ms() if cold else 0.0
        line = Listed(name, shard, self.zones.get(shard, "hall"), up_since_ms=since)
        self.places[name] = _Place(node, close, line)
        if self.record is not None:
            share = performance.machine.cold_from if performance is not None and cold else 1.0
            self.record(
                Row(
                    self.clock(),
                    "node",
                    "up",
                    node=name,
                    shard=shard,
                    units=share,
                    detail="cold" if cold else "",
                )
            )
        return name

    async def kill(self, name: str) -> None:
        """End a node process at once: its connections break, its queue is lost."""
        place = self.places.pop(name)
        place.node.dead = True
        if self.record is not None:
            self.record(Row(self.clock(), "node", "down", node=name, shard=place.line.shard))
        await place.close()
        place.node.server.abort()

    def drain(self, name: str, *, draining: bool = True) -> None:
        """Mark a node as draining, or as ready again; the list tells it late."""
        place = self.places[name]
        place.line = replace(place.line, draining=draining)

    def publish(self) -> None:
        """Hand the present state to the list."""
        self.listing.publish([place.line for place in self.places.values()])

    def in_zone(self, zone: str) -> list[Node]:
        """Return a zone's nodes, by shard."""
        found = [p for p in self.places.values() if p.line.zone == zone]
        return [p.node for p in sorted(found, key=lambda p: p.line.shard)]

    def node_of(self, shard: int) -> Node:
        """Return a shard's newest node."""
        found = [p for p in self.places.values() if p.line.shard == shard]
        return max(found, key=lambda p: p.line.up_since_ms).node
