"""A process's common ground: its place in the fleet, what is spread, its seat or its way to the council.

Both programs stand on it.  Nothing here decides anything; a rule is kept without it (`docs/fleet.md`).
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup, TaskStatus

from cressrock import net
from cressrock.collect import words
from cressrock.collect.carrier import Evidence
from cressrock.council import decrees as d
from cressrock.council.carrier import Council, CouncilSeat, Kept, SeatSettings, in_line, off_loop
from cressrock.council.line import World as CouncilWorld
from cressrock.council.news import BEAT, PREFIX, Taker, Teller
from cressrock.council.raft import Role, Timing
from cressrock.errors import CressrockError
from cressrock.errors.council import BadDecree, NoQuorum
from cressrock.fleet.carrier import Datagrams, Fleet, FleetSettings
from cressrock.fleet.carrier import World as FleetWorld
from cressrock.fleet.members import Identity, Member, MembersSettings
from cressrock.fleet.rounds import RoundsSettings
from cressrock.fleet.spread import Origin, Spread, SpreadSettings
from cressrock.fleet.viewing import Viewing
from cressrock.http.channel import BROKEN, Stream
from cressrock.settings.types import CouncilSettings
from cressrock.settings.types import Fleet as FleetPart

Serve = Callable[[Stream], Coroutine[Any, Any, None]]
Close = Callable[[], Awaitable[None]]
Begun = Callable[[Stream, bytes], Coroutine[Any, Any, None]]  # and what was read after the first four bytes
OVERHEAD = 32  # of an entry in the spread, beside its value


class Sockets(Protocol):
    """Where a process's sockets come from: loopback and beyond, or a simulated network."""

    async def listen(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Close]:
        """Serve TCP; returns the bound address and what closes it.  Raises BindError."""

    async def listen_both(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Datagrams, Close]:
        """Bind UDP and TCP at one address.  Raises BindError."""

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""


class NetSockets:
    """The system's sockets."""

    async def listen(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Close]:
        """Serve TCP; returns the bound address and what closes it.  Raises BindError."""
        return await net.listen(address, serve, tasks, setting=setting)

    async def listen_both(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Datagrams, Close]:
        """Bind UDP and TCP at one address.  Raises BindError."""
        return await net.listen_both(address, serve, tasks, setting=setting)

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""
        return await net.connect(host, port)


class _Telling:
    """The spread as the fleet's carrier sees it, which tells of each merge."""

    def __init__(self, spread: Spread, merged: Callable[[], None]) -> None:
        self.fresh, self.digest, self.deltas = spread.fresh, spread.digest, spread.deltas
        self.full, self.admit = spread.full, spread.admit
        self._merge, self._merged = spread.merge, merged

    def merge(self, data: bytes) -> None:
        """Merge, and say so.  Raises SpreadError."""
        self._merge(data)
        self._merged()


class _Peeked:
    """A stream of which the first bytes were read already."""

    def __init__(self, stream: Stream, first: bytes) -> None:
        self._stream, self._first = stream, first

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return some bytes; raise EndOfStream at the end."""
        if self._first:
            found, self._first = self._first[:max_bytes], self._first[max_bytes:]
            return found
        return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Send all of the bytes."""
        await self._stream.send(item)

    async def aclose(self) -> None:
        """Close both directions."""
        await self._stream.aclose()


@dataclass(frozen=True, slots=True)
class Place:
    """Who a process is: name, life (grows with every start of the name), role, and the settings' parts."""

    name: str
    life: int
    role: str
    fleet: FleetPart
    council: CouncilSettings | None


class Ground:
    """`run` it in a task group; then `fleet`, `spread`, `kept` and `council` are there for other rooms."""

    def __init__(
        self,
        place: Place,
        sockets: Sockets,
        *,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        source: random.Random,
        log: Any,
        in_thread: bool = True,
        collects: bool = False,
    ) -> None:
        """`clock` gives monotonic ms.  `in_thread`: a seat's writes leave the loop free (not in simulated
        time).  `collects`: it reads evidence, so where it holds a seat it is a collector.  Raises
        StoreNewer for a newer program's `seen_file`.
        """
        self.place, self.sockets, self.clock, self.wall_ms = place, sockets, clock, wall_ms
        self.source, self.log, self.in_thread = source, log, in_thread
        self.spread = Spread(place.name, place.life, SpreadSettings(), source)
        part = place.council
        self.collects = collects and part is not None and part.store is not None
        self.evidence = Evidence(
            (place.name, place.life),
            place.fleet.zone,
            self.spread,
            clock=clock,
            source=random.Random(f"{place.name}/{place.life}/evidence"),
            log=log,
            seats=part.seats if part is not None else (),
            tells=place.role == "edge",
            collects=self.collects,
            most=place.fleet.collect_from,
        )
        self._viewing = Viewing()
        self.fleet: Fleet | None = None
        self.seat: CouncilSeat | None = None
        self.council: Council | None = None
        seen = place.council.seen_file if place.council is not None else None
        self.kept = Kept(seen, clock)
        self.addresses: dict[str, str] = {}  # what was bound: fleet, council
        self.refused = 0  # decrees in the spread that could not be read
        self.when_spread: list[Callable[[Origin, str], None]] = []  # told of each changed entry
        self.streams: dict[bytes, Begun] = {}  # of rooms, by the four bytes that they begin with
        self.when_leaving: list[Callable[[], None]] = []  # told as an orderly end begins
        self._taker = Taker()
        self._teller = Teller(self.spread.settings.max_value - OVERHEAD)
        self._ask: set[str] = set()
        self._news = anyio.Event()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled; started once bound.

        Raises BindError; errors.fleet.Fenced once a newer life of this name is heard of.
        """
        place, part = self.place, self.place.fleet
        async with anyio.create_task_group() as tasks:
            bound, datagrams, close = await self.sockets.listen_both(
                part.listen, self._serve, tasks, setting="fleet.listen"
            )
            self.addresses["fleet"] = bound
            identity = Identity(
                place.name,
                place.life,
                part.advertise or bound,
                place.role,
                part.zone,
                part.region,
                words.CAPABLE if self.collects else b"",
            )
            settings = FleetSettings(
                seeds=tuple(part.seeds),
                routes=part.routes,
                members=MembersSettings(
                    cluster=part.cluster,
                    period_ms=part.period_ms,
                    gossip_ms=part.period_ms / 5,
                    ride_out_ms=part.ride_out_ms,
                ),
                rounds=RoundsSettings(period_ms=part.period_ms / 5),
            )
            world = FleetWorld(datagrams, self.sockets.connect, self.clock)
            state = _Telling(self.spread, self._merged)
            fleet = self.fleet = Fleet(settings, identity, world, state, self.source, self.log)
            evidence = self.evidence
            evidence.send, evidence.members, fleet.collected = fleet.tell, self.members, evidence.receive
            fleet.listeners.append(lambda _event: self._members_changed())
            try:
                if place.council is not None:
                    await self._sit(place.council, tasks)
                tasks.start_soon(fleet.run)
                tasks.start_soon(evidence.run)
                task_status.started()
                await self._asking()
            finally:
                with anyio.CancelScope(shield=True):
                    await close()

    async def leave(self) -> None:
        """Say to the others that this process ends; returns when they had time to hear it."""
        for tell in self.when_leaving:
            tell()
        if self.fleet is not None:
            await self.fleet.leave()

    async def _serve(self, stream: Stream) -> None:
        assert self.fleet is not None
        if not self.streams:
            await self.fleet.serve(stream)
            return
        first = b""
        try:
            with anyio.move_on_after(self.fleet.settings.exchange_timeout_ms / 1000):
                while len(first) < 4:
                    first += await stream.receive(65536)
        except BROKEN:
            pass
        begun = self.streams.get(first[:4])
        if begun is not None:
            await begun(stream, first[4:])
        else:
            await self.fleet.serve(_Peeked(stream, first))

    # --- the council

    async def _sit(self, part: CouncilSettings, tasks: TaskGroup) -> None:
        place = self.place
        world = CouncilWorld(
            self.clock,
            self.wall_ms,
            self.sockets.connect,
            self.source,
            self.log,
            off_loop if self.in_thread else in_line,
            self.source.randbytes,
        )
        self.council = Council(world, tasks, place.fleet.cluster, place.name, part.seats, reader=self.kept)
        if part.store is None:
            return
        seat = self.seat = CouncilSeat(
            world,
            SeatSettings(
                name=place.name,
                cluster=place.fleet.cluster,
                seats=part.seats,
                store=Path(part.store),
                start=part.start,
                renew_ms=part.renew_ms,
                timing=Timing(election_ms=part.election_ms, heartbeat_ms=part.heartbeat_ms),
            ),
            publish=self._publish,
        )
        self.addresses["council"], _ = await self.sockets.listen(
            part.listen, seat.serve, tasks, setting="council.listen"
        )
        tasks.start_soon(seat.run)

    def _publish(self, decrees: tuple[d.Decree, ...]) -> None:
        """Put what this seat knows into the spread, and take it for this process too."""
        assert self.seat is not None
        standing = {decree.topic: decree for decree in self.seat.decrees.all()}
        standing |= {decree.topic: decree for decree in decrees if decree.topic in standing}
        beat = max((decree.renewed for decree in decrees), default=0)
        for decree in decrees:
            for found in self._taker.found(decree):
                self.kept.take(found)
        for change in self._teller.tell(standing.values(), beat):
            if change.value is None:
                self.spread.remove(change.key)
            else:
                self.spread.put(change.key, change.value)

    def _merged(self) -> None:
        """Look at what a merge changed; called by the fleet after each."""
        for origin, key in self.spread.changes():
            if key.startswith((PREFIX, BEAT)):
                value = self.spread.value(key, origin)
                if value is not None:
                    self._take(key, value)
            for tell in self.when_spread:
                tell(origin, key)

    def _take(self, key: str, value: bytes) -> None:
        try:
            decrees, topics = self._taker.take(key, value)
        except CressrockError as wrong:
            self.refused += 1
            if self.refused == 1:
                self.log.warning("decree refused", key=key, **wrong.fields())
            return
        for decree in decrees:
            self.kept.take(decree)
        if topics:
            self._ask.update(topics)
            self._news.set()

    async def _asking(self) -> None:
        """Ask a seat for decrees that are too large for the spread, one after another."""
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            while self._ask and self.council is not None:
                topic = min(self._ask)
                self._ask.discard(topic)
                try:
                    decree = await self.council.read(topic)
                except (NoQuorum, BadDecree):
                    continue  # the next mark of any seat asks again
                if decree is not None:
                    for found in self._taker.found(decree):
                        self.kept.take(found)

    # --- what others may look at

    @property
    def leading(self) -> bool:
        """Whether this process's seat leads the council, as far as it knows.

        Only a wish: what a former leader decides is not decided, and `if_number` guards the rest.
        """
        core = self.seat.seat if self.seat is not None else None
        return core is not None and core.role is Role.LEADER

    def members(self) -> tuple[Member, ...]:
        """Return the view of all members, this process among them; of thousands it may be a second old."""
        if self.fleet is None:
            return ()
        now = self.clock()
        if self._viewing.due(now):
            self._viewing.made(self.fleet.members.view(now), now, self.clock())
        return self._viewing.view

    def _members_changed(self) -> None:
        self._viewing.changed()
        self.evidence.changed()

    def status(self) -> dict[str, Any]:
        """Return plain values for an admin port: who is there, what stands, what could not be read."""
        now = self.clock()
        decrees = {}
        for topic in self.kept.reader.topics():
            found = self.kept.get(topic)
            decree = found.decree if isinstance(found, d.Expired) else found
            if decree is not None:
                decrees[topic] = {"number": decree.number, "counts": not isinstance(found, d.Expired)}
        return {
            "name": self.place.name,
            "life": self.place.life,
            "members": [
                {
                    "name": m.name,
                    "life": m.life,
                    "role": m.role,
                    "zone": m.zone,
                    "region": m.region,
                    "address": m.address,
                    "state": m.state.name.lower(),
                    "since_ms_ago": round(now - m.since_ms),
                }
                for m in self.members()
            ],
            "dropped": dict(self.fleet.dropped) if self.fleet is not None else {},
            "spread_bytes": self.spread.size(),
            "evidence": self.evidence.status(),
            "decrees": decrees,
            "seat": self.seat.status() if self.seat is not None else None,
            "unkept": self.kept.unkept,
        }
