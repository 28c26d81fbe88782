"""Real edges with their planners and seats, calm, seen from outside: the lower end of a fleet's slopes.

The drill's processes (`lab.drill`), each with the shipped figures of fleet and council.  Bytes are counted
where they pass between two processes; processor time and memory are the system's figures of each process.

A relay of the drill stands between each directed pair: 3 descriptors for each of n squared pairs.  So above a
few tens of processes `Switch` takes their place, one port for each process and kind, which sees from the
sender's address who speaks.  At 20 edges both are played, and have to agree.
"""

from __future__ import annotations

import asyncio
import random
import socket
import statistics
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup

from cressrock.gossip.anti_entropy import AntiEntropy
from cressrock.gossip.store import GossipStore
from cressrock.lab.common import Common, Told
from cressrock.lab.day import Day, Script
from cressrock.lab.faults import Way
from cressrock.lab.hollow import HEADERS, Hollow, HollowFleet, Size, address
from cressrock.lab.localcost import EDGE, PLANNER, Figure, Usage, usage
from cressrock.lab.relays import HOST, Relays, _socket
from cressrock.membership.membership import Membership
from cressrock.membership.types import Identity

SEATS = 3
SETTLE_S = 10.0
CALM_S = 25.0
AT_ONCE = 8  # processes that start at a time


@dataclass
class Passed:
    """What has passed: bytes and datagrams by sender, bytes of streams by kind of port."""

    sent: Counter[str] = field(default_factory=Counter)
    datagrams: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    streams: Counter[str] = field(default_factory=Counter)
    unknown: int = 0

    def copy(self) -> Passed:
        """Return what has passed so far."""
        return Passed(
            self.sent.copy(), self.datagrams.copy(), self.received.copy(), self.streams.copy(), self.unknown
        )


class Switch:
    """Stands where `Relays` stands, with one port for each process and kind, and no faults."""

    def __init__(self, tasks: TaskGroup) -> None:
        """Start with no port."""
        self.tasks = tasks
        self.ports: dict[tuple[str, str], _Port] = {}
        self.targets: dict[tuple[str, str], tuple[str, int]] = {}
        self.names: dict[tuple[str, tuple[str, int]], str] = {}
        self.passed = Passed()
        self.slowest_ms = 0.0
        self.when_passed: Callable[[str, float], None] = lambda kind, held_ms: None

    def address(self, source: str, destination: str, kind: str) -> str:
        """Return the address at which anybody reaches `destination`, made on demand.  Raises OSError."""
        for name in (source, destination):
            if (name, kind) not in self.ports:
                self.ports[name, kind] = _Port(self, name, kind)
        return f"{HOST}:{self.ports[destination, kind].number}"

    def target(self, name: str, kind: str, address: str) -> None:
        """Say where a name truly listens, in its present life."""
        host, _, port = address.rpartition(":")
        self.targets[name, kind] = (host, int(port))
        self.names[kind, (host, int(port))] = name

    def gone(self, name: str) -> None:
        """Say that a name listens nowhere."""
        for key in [key for key in self.targets if key[0] == name]:
            del self.names[key[1], self.targets.pop(key)]

    def close(self) -> None:
        """Close all ports."""
        for port in self.ports.values():
            port.close()


class _Port(asyncio.DatagramProtocol):
    """One process's port of one kind, for datagrams and streams."""

    def __init__(self, switch: Switch, name: str, kind: str) -> None:
        self.switch, self.name, self.kind = switch, name, kind
        self.wire: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        for _ in range(50):
            self.listener = _socket(socket.SOCK_STREAM)
            self.listener.bind((HOST, 0))
            self.number: int = self.listener.getsockname()[1]
            self.datagrams = _socket(socket.SOCK_DGRAM)
            try:
                self.datagrams.bind((HOST, self.number))
                break
            except OSError:
                self.datagrams.close()
                self.listener.close()
        else:
            raise OSError("no port was free for TCP and UDP")
        switch.tasks.start_soon(self._open)

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        self.wire, _ = await loop.create_datagram_endpoint(lambda: self, sock=self.datagrams)
        self.server = await loop.create_server(lambda: _Pipe(self), sock=self.listener, backlog=512)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand a datagram on, from the sender's own port."""
        switch = self.switch
        sender = switch.names.get((self.kind, (addr[0], addr[1])))
        where = switch.targets.get((self.name, self.kind))
        if sender is None or where is None:
            switch.passed.unknown += 1  # to the sender it looks like a loss: somebody has just started
            return
        switch.passed.sent[sender] += len(data)
        switch.passed.datagrams[sender] += 1
        switch.passed.received[self.name] += len(data)
        back = switch.ports[sender, self.kind].wire
        if back is not None and not back.is_closing():
            back.sendto(data, where)

    def error_received(self, exc: Exception) -> None:
        """A port where nobody listens: to the sender it looks like a loss."""

    def close(self) -> None:
        if self.wire is not None:
            self.wire.abort()
        if self.server is not None:
            self.server.close()


class _Pipe(asyncio.Protocol):
    """One direction of a stream; `other` is the way back."""

    def __init__(self, port: _Port, other: _Pipe | None = None) -> None:
        self.port, self.other = port, other
        self.transport: asyncio.Transport | None = None
        self.held: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.other is None:
            self.port.switch.tasks.start_soon(self._dial)
        else:
            for data in self.other.held:
                self.transport.write(data)

    async def _dial(self) -> None:
        where = self.port.switch.targets.get((self.port.name, self.port.kind))
        try:
            if where is None:
                raise ConnectionRefusedError
            loop = asyncio.get_running_loop()
            _, self.other = await loop.create_connection(lambda: _Pipe(self.port, self), *where)
        except OSError:
            if self.transport is not None:
                self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.port.switch.passed.streams[self.port.kind] += len(data)
        self.port.switch.when_passed(self.port.kind, 0.0)
        other = self.other.transport if self.other is not None else None
        if other is None:
            self.held.append(data)
        else:
            other.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        other = self.other.transport if self.other is not None else None
        if other is not None:
            other.close()


class Counted(Relays):
    """The drill's relays with their bytes counted as they enter a way."""

    def __init__(self, *given: Any) -> None:
        """As `Relays`."""
        super().__init__(*given)
        self.passed = Passed()

    def way(self, source: str, destination: str) -> Way:
        """Return one direction, which counts."""
        known = (source, destination) in self.ways
        way = super().way(source, destination)
        if not known:
            _tap(way, source, destination, self.passed)
        return way


def _tap(way: Way, source: str, destination: str, passed: Passed) -> None:
    datagram, piece = way.datagram, way.piece

    def one(now_ms: float, data: bytes) -> list[tuple[float, bytes]]:
        passed.sent[source] += len(data)
        passed.datagrams[source] += 1
        passed.received[destination] += len(data)
        return datagram(now_ms, data)

    def part(now_ms: float, size: int) -> float:
        passed.streams["all"] += size
        return piece(now_ms, size)

    way.datagram, way.piece = one, part  # type: ignore[method-assign]


class Calm(Told):
    """A drill of edges and planners on common ground in which nothing goes wrong and little is asked."""

    def __init__(self, n: int, seed: int, *, switch: bool, zones: bool = False) -> None:
        """`n` edges; `switch` for the pairs' relays; `zones`: evidence of zones is told as well."""
        self.switch = switch
        common = Common(
            seats=[f"p{index}" for index in range(SEATS)],
            zones={f"d{index}": (f"z{index % 3}", "north") for index in range(n)}
            | {f"p{index}": (f"z{index}", "north") for index in range(SEATS)},
            more=_shipped_zones if zones else _shipped,
        )
        script = Script(
            seed=seed,
            dispatchers=n,
            planners=SEATS,
            nodes=3,
            rate=0.5,
            real=True,
            way_ms=1000.0,
            length_ms=1e9,
            troubles=(),
        )
        super().__init__(script, (), story=self._watch, extend=common.extend)
        self.node_zones = {shard: f"z{shard}" for shard in range(3)}
        self.figures: list[Figure] = []

    async def _open_hall(self, tasks: TaskGroup) -> None:
        self.relays = cast(
            Any, Switch(tasks) if self.switch else Counted(tasks, self.script.seed, self.clock)
        )
        self.relays.when_passed = self._passed
        tasks.start_soon(self._beat)
        tasks.start_soon(self._close_relays)
        await Day._open_hall(self, tasks)

    async def _start_all(self) -> None:
        room = anyio.Semaphore(AT_ONCE)

        async def start(work: Callable[[Any], Any], one: Any) -> None:
            async with room:
                await work(one)

        async with anyio.create_task_group() as tasks:
            for planner in self.planners:
                tasks.start_soon(start, self._start_planner, planner)
            for dispatcher in self.dispatchers:
                tasks.start_soon(start, self._start, dispatcher)

    async def _end(self) -> None:
        """Kill the processes, each by its id: an orderly end of each takes a period."""
        self.length_ms = self.clock()
        for life in self.processes.living():
            self.processes.kill(life.name)

    async def _watch(self, drill: Told) -> None:
        names = self.names()
        everybody = dict.fromkeys(names, "alive")
        some = [names[0], names[SEATS], names[-1]]
        await self.until("one view", lambda: self.sees(everybody, by=some), 180000.0)
        await self.until("a leader", self.leader)
        await anyio.sleep(SETTLE_S)
        pids = {name: self.processes.get(name).pid for name in names}
        before, used, began = self.relays_passed(), {n: usage(p) for n, p in pids.items()}, self.clock()
        unsure = self._unsure()
        await anyio.sleep(CALM_S)
        after, now, ended = self.relays_passed(), {n: usage(p) for n, p in pids.items()}, self.clock()
        seconds = (ended - began) / 1000
        unsure = (self._unsure() - unsure) / len(names) / seconds
        self.figures = _figures(before, after, used, now, seconds)
        self.figures.append(Figure("real.members.unsure_s", unsure, "1/s", EDGE))

    def _unsure(self) -> float:
        """Count how often a process held another unsure: on a busy machine calm is none."""
        return sum(life.counts["membership.suspected"] for life in self.processes.living())

    def relays_passed(self) -> Passed:
        """Return what has passed so far."""
        return cast(Passed, cast(Any, self.relays).passed).copy()


def _shipped(drill: Any, name: str, value: dict[str, Any]) -> None:
    """Put the shipped times of fleet and council in the place of a drill's."""
    for place in ("period_ms", "ride_out_ms"):
        value["fleet"].pop(place, None)
    for place in ("election_ms", "heartbeat_ms", "renew_ms", "hold_ms"):
        value.get("council", {}).pop(place, None)


def _shipped_zones(drill: Any, name: str, value: dict[str, Any]) -> None:
    _shipped(drill, name, value)
    value["zones"] = {
        "zones": {f"z{index}": {"region": "north", "capacity": 200.0} for index in range(3)},
        "edges": len(drill.dispatchers),
    }


def _figures(
    before: Passed, after: Passed, used: dict[str, Usage], now: dict[str, Usage], seconds: float
) -> list[Figure]:
    edges = [name for name in now if name.startswith("d")]
    planners = [name for name in now if name.startswith("p")]
    sent = after.sent - before.sent
    datagrams = after.datagrams - before.datagrams
    received = after.received - before.received
    streams = sum((after.streams - before.streams).values())

    def each(names: list[str], counts: Counter[str]) -> float:
        return statistics.fmean(counts[name] for name in names) / seconds

    def cpu(names: list[str]) -> float:
        return statistics.fmean(now[name].cpu_ms - used[name].cpu_ms for name in names) / seconds

    return [
        Figure("real.members.sent_bytes_s", each(edges, sent), "B/s", EDGE),
        Figure("real.members.received_bytes_s", each(edges, received), "B/s", EDGE),
        Figure("real.members.sent_datagrams_s", each(edges, datagrams), "1/s", EDGE),
        Figure("real.members.cpu_ms_s", cpu(edges), "ms/s", EDGE),
        Figure("real.members.worst_cpu_ms_s", max(cpu([name]) for name in edges), "ms/s", EDGE),
        Figure("real.streams.bytes_s", streams / len(now) / seconds, "B/s", EDGE),
        Figure("real.edge.rss_bytes", statistics.fmean(now[name].rss for name in edges), "bytes", EDGE),
        Figure("real.edge.pss_bytes", statistics.fmean(now[name].pss for name in edges), "bytes", EDGE),
        Figure("real.planner.cpu_ms_s", cpu(planners), "ms/s", PLANNER),
        Figure("real.planner.sent_bytes_s", each(planners, sent), "B/s", PLANNER),
        Figure("real.planner.rss_bytes", statistics.fmean(now[n].rss for n in planners), "bytes", PLANNER),
    ]


def calm(n: int, seed: int, *, switch: bool = True, zones: bool = False) -> list[Figure]:
    """Play n edges with three planners that hold the seats; returns figures.  Raises RuntimeError."""
    drill = Calm(n, seed, switch=switch, zones=zones)
    anyio.run(drill.play, backend="asyncio", backend_options={"use_uvloop": True})
    if not drill.figures:
        raise RuntimeError(f"{n} edges: {drill.findings}")
    return drill.figures


def calm_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure n edges in calm, through the switch."""
    yield from calm(n, seed)


class Named(HollowFleet):
    """Hollow processes under the names, zones and regions of a drill's: names are most of a datagram."""

    def _make(self, number: int, life: int, seeds: tuple[str, ...]) -> Hollow:
        role = "planner" if number < SEATS else "edge"
        name = f"p{number}" if number < SEATS else f"d{number - SEATS}"
        me = Identity(name, life, address(number), role, f"z{number % 3}", "north")
        source = random.Random(self.random.getrandbits(64))
        host = Hollow(name, me.address, Membership(me, self.settings, seeds, source, self.now))
        host.spread = GossipStore(name, life, self.spread_settings, source)
        host.rounds = AntiEntropy(host.members, host.spread, self.rounds_settings, source, self.now)
        self.hosts[host.address] = host
        return host


def hollow_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure n edges and three planners as hollow processes, without loss, beside `calm_probe`.

    Bytes are those of datagrams, as in `calm_probe`, without the 28 of UDP and IP that other hollow rows add.
    """
    fleet = Named(Size(n + SEATS, seed, loss=0.0, share=False))
    fleet.told = lambda host, event: None
    fleet.run(3000.0)
    fleet.mark()
    begun, at = time.process_time(), fleet.now
    fleet.run(fleet.now + CALM_S * 1000)
    spent, seconds = time.process_time() - begun, (fleet.now - at) / 1000
    sent, messages = fleet.sent()
    count = statistics.fmean(messages)
    yield Figure("hollow.members.sent_bytes_s", statistics.fmean(sent) - HEADERS * count, "B/s", EDGE)
    yield Figure("hollow.members.sent_datagrams_s", count, "1/s", EDGE)
    yield Figure("hollow.members.cpu_ms_s", spent * 1000 / (n + SEATS) / seconds, "ms/s", EDGE)


def zones_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure the same where each edge tells its evidence of three zones as well."""
    for figure in calm(n, seed, zones=True):
        yield figure._replace(row=figure.row.replace("real.", "real.zones.", 1), scene="zones, calm")


def relays_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure the same as `calm_probe` through a relay for each directed pair."""
    for figure in calm(n, seed, switch=False):
        yield figure._replace(row=figure.row.replace("real.", "real.relays.", 1))
