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
from cressrock.aggregation.channel import ChannelSettings, EvidenceChannel
from cressrock.consensus import decisions as d
from cressrock.consensus.client import ConsensusClient
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decision_gossip import (
    DECISION_PREFIX,
    RENEWAL_PREFIX,
    DecisionPublisher,
    DecisionSubscriber,
)
from cressrock.consensus.environment import Environment as ConsensusEnvironment
from cressrock.consensus.environment import run_in_thread, run_inline
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.consensus.replica import ConsensusReplica
from cressrock.consensus.settings import ReplicaSettings
from cressrock.errors import CressrockError
from cressrock.errors.consensus import InvalidDecisionError, NoQuorumError
from cressrock.gossip.anti_entropy import AntiEntropySettings
from cressrock.gossip.messages import Origin
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.gossip.transport import (
    ClusterTransport,
    ClusterTransportSettings,
    DatagramSocket,
    TransportEnvironment,
)
from cressrock.http.channel import BROKEN, Stream
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity, Member
from cressrock.membership.view_cache import ViewCache
from cressrock.settings.types import CouncilSettings
from cressrock.settings.types import Fleet as FleetPart

Serve = Callable[[Stream], Coroutine[Any, Any, None]]
Close = Callable[[], Awaitable[None]]
# Takes a stream and what was read of it after its first MAGIC_BYTES.
StreamHandler = Callable[[Stream, bytes], Coroutine[Any, Any, None]]
MAGIC_BYTES = 4
READ_BYTES = 65536
GOSSIP_ROUNDS_PER_PERIOD = 5  # of the membership protocol
GOSSIP_ENTRY_OVERHEAD_BYTES = 32  # of an entry in the gossip state, beside its value


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


class _NotifyingGossip:
    """The spread as the fleet's carrier sees it, which tells of each merge."""

    def __init__(self, spread: GossipStore, merged: Callable[[], None]) -> None:
        self.recent_changes, self.digest, self.deltas = spread.recent_changes, spread.digest, spread.deltas
        self.full_state, self.retain_origins = spread.full_state, spread.retain_origins
        self._merge, self._merged = spread.merge, merged

    def merge(self, data: bytes) -> None:
        """Merge, and say so.  Raises SpreadError."""
        self._merge(data)
        self._merged()


class _PeekedStream:
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
        identity: NodeIdentity,
        sockets: Sockets,
        *,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        rng: random.Random,
        log: Any,
        allow_threads: bool = True,
        is_collector: bool = False,
    ) -> None:
        """`clock` gives monotonic ms.  `in_thread`: a seat's writes leave the loop free (not in simulated
        time).  `collects`: it reads evidence, so where it holds a seat it is a collector.  Raises
        StoreNewer for a newer program's `seen_file`.
        """
        self.identity, self.sockets, self.clock, self.wall_ms = identity, sockets, clock, wall_ms
        self.rng, self.log, self.allow_threads = rng, log, allow_threads
        self.gossip = GossipStore(identity.name, identity.incarnation, GossipStoreSettings(), rng)
        council = identity.council
        self.is_collector = is_collector and council is not None and council.store is not None
        self.evidence = EvidenceChannel(
            (identity.name, identity.incarnation),
            ChannelSettings(
                identity.fleet.zone,
                replicas=tuple(council.seats) if council is not None else (),
                sends_reports=identity.role == "edge",
                is_collector=self.is_collector,
                max_gossip_senders=identity.fleet.collect_from,
            ),
            self.gossip,
            clock=clock,
            source=random.Random(f"{identity.name}/{identity.incarnation}/evidence"),
            log=log,
        )
        self._view_cache = ViewCache()
        self.membership: ClusterTransport | None = None
        self.replica: ConsensusReplica | None = None
        self.consensus: ConsensusClient | None = None
        seen = identity.council.seen_file if identity.council is not None else None
        self.decision_cache = DecisionCache(seen, clock)
        self.addresses: dict[str, str] = {}  # what was bound: fleet, council
        self.rejected_decisions = 0  # decrees in the spread that could not be read
        self.on_gossip_change: list[Callable[[Origin, str], None]] = []  # told of each changed entry
        self.stream_handlers: dict[
            bytes, StreamHandler
        ] = {}  # of rooms, by the four bytes that they begin with
        self.on_leaving: list[Callable[[], None]] = []  # told as an orderly end begins
        self._decision_subscriber = DecisionSubscriber()
        self._decision_publisher = DecisionPublisher(
            self.gossip.settings.max_value_bytes - GOSSIP_ENTRY_OVERHEAD_BYTES
        )
        self._topics_to_fetch: set[str] = set()
        self._fetch_wanted = anyio.Event()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled; started once bound.

        Raises BindError; errors.fleet.Fenced once a newer life of this name is heard of.
        """
        settings = self.identity.fleet
        async with anyio.create_task_group() as tasks:
            bound, datagrams, close = await self.sockets.listen_tcp_and_udp(
                settings.listen, self._serve, tasks, setting="fleet.listen"
            )
            self.addresses["fleet"] = bound
            transport = self.membership = self._cluster_transport(bound, datagrams)
            evidence = self.evidence
            evidence.send, evidence.members = transport.send_collector_message, self.members
            transport.on_collector_message = evidence.receive
            transport.event_listeners.append(lambda _event: self._members_changed())
            try:
                if self.identity.council is not None:
                    await self._join_consensus(self.identity.council, tasks)
                tasks.start_soon(transport.run)
                tasks.start_soon(evidence.run)
                task_status.started()
                await self._fetch_large_decisions()
            finally:
                with anyio.CancelScope(shield=True):
                    await close()

    def _cluster_transport(self, bound: str, datagrams: DatagramSocket) -> ClusterTransport:
        """Compose membership and gossip over the bound sockets."""
        identity, settings = self.identity, self.identity.fleet
        member = Identity(
            identity.name,
            identity.incarnation,
            settings.advertise or bound,
            identity.role,
            settings.zone,
            settings.region,
            messages.CAPABILITY if self.is_collector else b"",
        )
        return ClusterTransport(
            ClusterTransportSettings(
                seeds=tuple(settings.seeds),
                routes=settings.routes,
                membership=MembershipSettings(
                    cluster=settings.cluster,
                    protocol_period_ms=settings.period_ms,
                    gossip_interval_ms=settings.period_ms / GOSSIP_ROUNDS_PER_PERIOD,
                    tolerated_pause_ms=settings.ride_out_ms,
                ),
                anti_entropy=AntiEntropySettings(period_ms=settings.period_ms / GOSSIP_ROUNDS_PER_PERIOD),
            ),
            member,
            TransportEnvironment(datagrams, self.sockets.connect, self.clock),
            _NotifyingGossip(self.gossip, self._on_gossip_merged),
            self.rng,
            self.log,
        )

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
        start = b""
        try:
            with anyio.move_on_after(self.membership.settings.exchange_timeout_ms / 1000):
                while len(start) < MAGIC_BYTES:
                    start += await stream.receive(READ_BYTES)
        except BROKEN:
            pass  # the membership sees the same end of the stream, and counts it
        handler = self.stream_handlers.get(start[:MAGIC_BYTES])
        if handler is not None:
            await handler(stream, start[MAGIC_BYTES:])
        else:
            await self.membership.serve(_PeekedStream(stream, start))

    # --- the council

    async def _join_consensus(self, council: CouncilSettings, tasks: TaskGroup) -> None:
        place = self.identity
        environment = ConsensusEnvironment(
            self.clock,
            self.wall_ms,
            self.sockets.connect,
            self.rng,
            self.log,
            run_in_thread if self.allow_threads else run_inline,
            self.rng.randbytes,
        )
        self.consensus = ConsensusClient(
            environment, tasks, place.fleet.cluster, place.name, council.seats, cache=self.decision_cache
        )
        if council.store is None:
            return
        seat = self.replica = ConsensusReplica(
            environment,
            ReplicaSettings(
                name=place.name,
                cluster=place.fleet.cluster,
                replicas=council.seats,
                store=Path(council.store),
                start=council.start,
                renewal_interval_ms=council.renew_ms,
                timing=RaftSettings(election_ms=council.election_ms, heartbeat_ms=council.heartbeat_ms),
            ),
            publish=self._publish_decisions,
        )
        self.addresses["council"], _ = await self.sockets.listen(
            council.listen, seat.serve, tasks, setting="council.listen"
        )
        tasks.start_soon(seat.run)

    def _publish_decisions(self, decrees: tuple[d.Decision, ...]) -> None:
        """Put what this seat knows into the spread, and take it for this process too."""
        assert self.replica is not None
        standing = {decree.topic: decree for decree in self.replica.decisions.all_decisions()}
        standing |= {decree.topic: decree for decree in decrees if decree.topic in standing}
        beat = max((decree.renewal for decree in decrees), default=0)
        for decree in decrees:
            for found in self._decision_subscriber.receive_decision(decree):
                self.decision_cache.receive(found)
        for change in self._decision_publisher.publish(standing.values(), beat):
            if change.value is None:
                self.gossip.remove(change.key)
            else:
                self.gossip.put(change.key, change.value)

    def _on_gossip_merged(self) -> None:
        """Look at what a merge changed; called by the fleet after each."""
        for origin, key in self.gossip.drain_changes():
            if key.startswith((DECISION_PREFIX, RENEWAL_PREFIX)):
                value = self.gossip.value_of(key, origin)
                if value is not None:
                    self._receive_decisions(key, value)
            for tell in self.on_gossip_change:
                tell(origin, key)

    def _receive_decisions(self, key: str, value: bytes) -> None:
        try:
            decrees, topics = self._decision_subscriber.receive_entry(key, value)
        except CressrockError as wrong:
            self.rejected_decisions += 1
            if self.rejected_decisions == 1:
                self.log.warning("decree refused", key=key, **wrong.fields())
            return
        for decree in decrees:
            self.decision_cache.receive(decree)
        if topics:
            self._topics_to_fetch.update(topics)
            self._fetch_wanted.set()

    async def _fetch_large_decisions(self) -> None:
        """Ask a seat for decrees that are too large for the spread, one after another."""
        while True:
            await self._fetch_wanted.wait()
            self._fetch_wanted = anyio.Event()
            while self._topics_to_fetch and self.consensus is not None:
                topic = min(self._topics_to_fetch)
                self._topics_to_fetch.discard(topic)
                try:
                    decree = await self.consensus.read(topic)
                except (NoQuorumError, InvalidDecisionError):
                    continue  # the next mark of any seat asks again
                if decree is not None:
                    for found in self._decision_subscriber.receive_decision(decree):
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
        if self._view_cache.is_stale(now):
            self._view_cache.store(self.membership.membership.view(now), now, self.clock())
        return self._view_cache.view

    def _members_changed(self) -> None:
        self._view_cache.invalidate()
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
                    "state": m.state.status_name,
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
