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
from cressrock.aggregation import messages
from cressrock.aggregation.channel import EvidenceChannel
from cressrock.consensus import decisions as d
from cressrock.consensus.client import ConsensusClient
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decision_gossip import (
    DECISION_PREFIX,
    RENEWAL_PREFIX,
    DecisionPublisher,
    DecisionSubscriber,
)
from cressrock.consensus.environment import Environment as CouncilWorld
from cressrock.consensus.environment import run_in_thread, run_inline
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.consensus.replica import ConsensusReplica
from cressrock.consensus.settings import ReplicaSettings
from cressrock.errors import CressrockError
from cressrock.errors.consensus import InvalidDecisionError, NoQuorumError
from cressrock.gossip.anti_entropy import AntiEntropySettings
from cressrock.gossip.store import GossipStore, GossipStoreSettings, Origin
from cressrock.gossip.transport import ClusterTransport, ClusterTransportSettings, DatagramSocket
from cressrock.gossip.transport import TransportEnvironment as FleetWorld
from cressrock.http.channel import BROKEN, Stream
from cressrock.membership.membership import Identity, Member, MembershipSettings
from cressrock.membership.view_cache import ViewCache
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

    async def listen_tcp_and_udp(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, DatagramSocket, Close]:
        """Bind UDP and TCP at one address.  Raises BindError."""

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""


class SystemSockets:
    """The system's sockets."""

    async def listen(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Close]:
        """Serve TCP; returns the bound address and what closes it.  Raises BindError."""
        return await net.listen(address, serve, tasks, setting=setting)

    async def listen_tcp_and_udp(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, DatagramSocket, Close]:
        """Bind UDP and TCP at one address.  Raises BindError."""
        return await net.listen_both(address, serve, tasks, setting=setting)

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""
        return await net.connect(host, port)


class _Telling:
    """The spread as the fleet's carrier sees it, which tells of each merge."""

    def __init__(self, spread: GossipStore, merged: Callable[[], None]) -> None:
        self.recent_changes, self.digest, self.deltas = spread.recent_changes, spread.digest, spread.deltas
        self.full_state, self.retain_origins = spread.full_state, spread.retain_origins
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
class NodeIdentity:
    """Who a process is: name, life (grows with every start of the name), role, and the settings' parts."""

    name: str
    incarnation: int
    role: str
    fleet: FleetPart
    council: CouncilSettings | None


class ClusterRuntime:
    """`run` it in a task group; then `fleet`, `spread`, `kept` and `council` are there for other rooms."""

    def __init__(
        self,
        place: NodeIdentity,
        sockets: Sockets,
        *,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        source: random.Random,
        log: Any,
        allow_threads: bool = True,
        is_collector: bool = False,
    ) -> None:
        """`clock` gives monotonic ms.  `in_thread`: a seat's writes leave the loop free (not in simulated
        time).  `collects`: it reads evidence, so where it holds a seat it is a collector.  Raises
        StoreNewer for a newer program's `seen_file`.
        """
        self.identity, self.sockets, self.clock, self.wall_ms = place, sockets, clock, wall_ms
        self.source, self.log, self.allow_threads = source, log, allow_threads
        self.gossip = GossipStore(place.name, place.incarnation, GossipStoreSettings(), source)
        part = place.council
        self.is_collector = is_collector and part is not None and part.store is not None
        self.evidence = EvidenceChannel(
            (place.name, place.incarnation),
            place.fleet.zone,
            self.gossip,
            clock=clock,
            source=random.Random(f"{place.name}/{place.incarnation}/evidence"),
            log=log,
            replicas=part.seats if part is not None else (),
            sends_reports=place.role == "edge",
            is_collector=self.is_collector,
            max_gossip_senders=place.fleet.collect_from,
        )
        self._viewing = ViewCache()
        self.membership: ClusterTransport | None = None
        self.replica: ConsensusReplica | None = None
        self.consensus: ConsensusClient | None = None
        seen = place.council.seen_file if place.council is not None else None
        self.decision_cache = DecisionCache(seen, clock)
        self.addresses: dict[str, str] = {}  # what was bound: fleet, council
        self.rejected_decisions = 0  # decrees in the spread that could not be read
        self.on_gossip_change: list[Callable[[Origin, str], None]] = []  # told of each changed entry
        self.stream_handlers: dict[bytes, Begun] = {}  # of rooms, by the four bytes that they begin with
        self.on_leaving: list[Callable[[], None]] = []  # told as an orderly end begins
        self._taker = DecisionSubscriber()
        self._teller = DecisionPublisher(self.gossip.settings.max_value_bytes - OVERHEAD)
        self._ask: set[str] = set()
        self._news = anyio.Event()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled; started once bound.

        Raises BindError; errors.fleet.Fenced once a newer life of this name is heard of.
        """
        place, part = self.identity, self.identity.fleet
        async with anyio.create_task_group() as tasks:
            bound, datagrams, close = await self.sockets.listen_tcp_and_udp(
                part.listen, self._serve, tasks, setting="fleet.listen"
            )
            self.addresses["fleet"] = bound
            identity = Identity(
                place.name,
                place.incarnation,
                part.advertise or bound,
                place.role,
                part.zone,
                part.region,
                messages.CAPABILITY if self.is_collector else b"",
            )
            settings = ClusterTransportSettings(
                seeds=tuple(part.seeds),
                routes=part.routes,
                membership=MembershipSettings(
                    cluster=part.cluster,
                    protocol_period_ms=part.period_ms,
                    gossip_interval_ms=part.period_ms / 5,
                    tolerated_pause_ms=part.ride_out_ms,
                ),
                anti_entropy=AntiEntropySettings(period_ms=part.period_ms / 5),
            )
            world = FleetWorld(datagrams, self.sockets.connect, self.clock)
            state = _Telling(self.gossip, self._merged)
            fleet = self.membership = ClusterTransport(
                settings, identity, world, state, self.source, self.log
            )
            evidence = self.evidence
            evidence.send, evidence.members, fleet.on_collector_message = (
                fleet.send_collector_message,
                self.members,
                evidence.receive,
            )
            fleet.event_listeners.append(lambda _event: self._members_changed())
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
        for tell in self.on_leaving:
            tell()
        if self.membership is not None:
            await self.membership.leave()

    async def _serve(self, stream: Stream) -> None:
        assert self.membership is not None
        if not self.stream_handlers:
            await self.membership.serve(stream)
            return
        first = b""
        try:
            with anyio.move_on_after(self.membership.settings.exchange_timeout_ms / 1000):
                while len(first) < 4:
                    first += await stream.receive(65536)
        except BROKEN:
            pass
        begun = self.stream_handlers.get(first[:4])
        if begun is not None:
            await begun(stream, first[4:])
        else:
            await self.membership.serve(_Peeked(stream, first))

    # --- the council

    async def _sit(self, part: CouncilSettings, tasks: TaskGroup) -> None:
        place = self.identity
        world = CouncilWorld(
            self.clock,
            self.wall_ms,
            self.sockets.connect,
            self.source,
            self.log,
            run_in_thread if self.allow_threads else run_inline,
            self.source.randbytes,
        )
        self.consensus = ConsensusClient(
            world, tasks, place.fleet.cluster, place.name, part.seats, cache=self.decision_cache
        )
        if part.store is None:
            return
        seat = self.replica = ConsensusReplica(
            world,
            ReplicaSettings(
                name=place.name,
                cluster=place.fleet.cluster,
                replicas=part.seats,
                store=Path(part.store),
                start=part.start,
                renewal_interval_ms=part.renew_ms,
                timing=RaftSettings(election_ms=part.election_ms, heartbeat_ms=part.heartbeat_ms),
            ),
            publish=self._publish,
        )
        self.addresses["council"], _ = await self.sockets.listen(
            part.listen, seat.serve, tasks, setting="council.listen"
        )
        tasks.start_soon(seat.run)

    def _publish(self, decrees: tuple[d.Decision, ...]) -> None:
        """Put what this seat knows into the spread, and take it for this process too."""
        assert self.replica is not None
        standing = {decree.topic: decree for decree in self.replica.decisions.all_decisions()}
        standing |= {decree.topic: decree for decree in decrees if decree.topic in standing}
        beat = max((decree.renewal for decree in decrees), default=0)
        for decree in decrees:
            for found in self._taker.receive_decision(decree):
                self.decision_cache.receive(found)
        for change in self._teller.publish(standing.values(), beat):
            if change.value is None:
                self.gossip.remove(change.key)
            else:
                self.gossip.put(change.key, change.value)

    def _merged(self) -> None:
        """Look at what a merge changed; called by the fleet after each."""
        for origin, key in self.gossip.drain_changes():
            if key.startswith((DECISION_PREFIX, RENEWAL_PREFIX)):
                value = self.gossip.value_of(key, origin)
                if value is not None:
                    self._take(key, value)
            for tell in self.on_gossip_change:
                tell(origin, key)

    def _take(self, key: str, value: bytes) -> None:
        try:
            decrees, topics = self._taker.receive_entry(key, value)
        except CressrockError as wrong:
            self.rejected_decisions += 1
            if self.rejected_decisions == 1:
                self.log.warning("decree refused", key=key, **wrong.fields())
            return
        for decree in decrees:
            self.decision_cache.receive(decree)
        if topics:
            self._ask.update(topics)
            self._news.set()

    async def _asking(self) -> None:
        """Ask a seat for decrees that are too large for the spread, one after another."""
        while True:
            await self._news.wait()
            self._news = anyio.Event()
            while self._ask and self.consensus is not None:
                topic = min(self._ask)
                self._ask.discard(topic)
                try:
                    decree = await self.consensus.read(topic)
                except (NoQuorumError, InvalidDecisionError):
                    continue  # the next mark of any seat asks again
                if decree is not None:
                    for found in self._taker.receive_decision(decree):
                        self.decision_cache.receive(found)

    # --- what others may look at

    @property
    def is_leader(self) -> bool:
        """Whether this process's seat leads the council, as far as it knows.

        Only a wish: what a former leader decides is not decided, and `if_number` guards the rest.
        """
        core = self.replica.raft if self.replica is not None else None
        return core is not None and core.role is Role.LEADER

    def members(self) -> tuple[Member, ...]:
        """Return the view of all members, this process among them; of thousands it may be a second old."""
        if self.membership is None:
            return ()
        now = self.clock()
        if self._viewing.is_stale(now):
            self._viewing.store(self.membership.membership.view(now), now, self.clock())
        return self._viewing.view

    def _members_changed(self) -> None:
        self._viewing.invalidate()
        self.evidence.on_members_changed()

    def status(self) -> dict[str, Any]:
        """Return plain values for an admin port: who is there, what stands, what could not be read."""
        now = self.clock()
        decrees = {}
        for topic in self.decision_cache.reader.topics():
            found = self.decision_cache.get(topic)
            decree = found.decision if isinstance(found, d.Expired) else found
            if decree is not None:
                decrees[topic] = {"number": decree.version, "counts": not isinstance(found, d.Expired)}
        return {
            "name": self.identity.name,
            "life": self.identity.incarnation,
            "members": [
                {
                    "name": m.name,
                    "life": m.process_incarnation,
                    "role": m.role,
                    "zone": m.zone,
                    "region": m.region,
                    "address": m.address,
                    "state": m.state.name.lower(),
                    "since_ms_ago": round(now - m.state_since_ms),
                }
                for m in self.members()
            ],
            "dropped": dict(self.membership.drop_counts) if self.membership is not None else {},
            "spread_bytes": self.gossip.size_bytes(),
            "evidence": self.evidence.status(),
            "decrees": decrees,
            "seat": self.replica.status() if self.replica is not None else None,
            "unkept": self.decision_cache.unsaved_reason,
        }
