"""Composes one process's membership, gossip, and consensus replica or client, for gateways and planners.

This module makes no scheduling decisions, and the rules hold without it (`docs/fleet.md`).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from cressrock.aggregation import messages
from cressrock.aggregation.channel import ChannelSettings, EvidenceChannel
from cressrock.consensus.client import ConsensusClient
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decisions import Decision, Expired
from cressrock.consensus.environment import Environment as ConsensusEnvironment
from cressrock.consensus.environment import run_in_thread, run_inline
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.consensus.replica import ConsensusReplica
from cressrock.consensus.settings import ReplicaSettings
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
from cressrock.http.channel import Stream
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity, Member
from cressrock.membership.view_cache import ViewCache
from cressrock.runtime.decision_exchange import DecisionExchange
from cressrock.runtime.sockets import Sockets
from cressrock.runtime.streams import StreamHandler, serve_by_magic
from cressrock.settings.types import CouncilSettings
from cressrock.settings.types import Fleet as FleetSettings
from cressrock.state_file import StateFiles

GOSSIP_ROUNDS_PER_PERIOD = 5  # per period of the membership protocol


class _NotifyingGossip:
    """Wraps the gossip store for the cluster transport and calls `on_merged` after each merge."""

    def __init__(self, gossip: GossipStore, on_merged: Callable[[], None]) -> None:
        self.recent_changes, self.digest, self.deltas = gossip.recent_changes, gossip.digest, gossip.deltas
        self.full_state, self.retain_origins = gossip.full_state, gossip.retain_origins
        self._merge, self._on_merged = gossip.merge, on_merged

    def merge(self, data: bytes) -> None:
        """Merge received state, then call `on_merged`.  Raises GossipError."""
        self._merge(data)
        self._on_merged()


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Identity of a process in the cluster, and its settings.

    The incarnation increases with every start under the same name; `role` is "edge" or "planner".
    """

    name: str
    incarnation: int
    role: str
    fleet: FleetSettings
    council: CouncilSettings | None


class ClusterRuntime:
    """Membership, gossip, cached decisions and consensus for the cluster features; `run` keeps them going."""

    def __init__(
        self,
        identity: ProcessIdentity,
        sockets: Sockets,
        *,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        rng: random.Random,
        log: Any,
        allow_threads: bool = True,
        state_files: StateFiles | None = None,
        is_collector: bool = False,
    ) -> None:
        """`clock` returns monotonic ms.

        `allow_threads`: a replica's writes run in worker threads (False in simulated time).  `state_files`
        writes `seen_file`.  `is_collector`:
        this process evaluates evidence; it collects evidence only if it also has a consensus replica.  Raises
        StoreTooNewError if `seen_file` was written by a newer version.
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
        seen_file = identity.council.seen_file if identity.council is not None else None
        self.decision_cache = DecisionCache(seen_file, clock, state_files=state_files)
        self.addresses: dict[str, str] = {}  # bound addresses, by "fleet" and "council"
        self.on_gossip_change: list[
            Callable[[Origin, str], None]
        ] = []  # called with origin and key of each changed entry
        self.stream_handlers: dict[bytes, StreamHandler] = {}  # by the magic bytes of a feature's protocol
        self.on_leaving: list[Callable[[], None]] = []  # called when a graceful shutdown begins
        self._decisions = DecisionExchange(self.gossip, self.decision_cache, log)

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run the cluster protocols until cancelled; calls `task_status.started` once the sockets are bound.

        Raises BindError; FencedError if a newer incarnation of this name appears in the cluster.
        """
        settings = self.identity.fleet
        async with anyio.create_task_group() as tasks:
            bound, datagrams, close = await self.sockets.listen_tcp_and_udp(
                settings.listen, self._serve, tasks, setting="fleet.listen"
            )
            self.addresses["fleet"] = bound
            transport = self.membership = self._create_transport(bound, datagrams)
            evidence = self.evidence
            evidence.send, evidence.members = transport.send_collector_message, self.members
            transport.on_collector_message = evidence.receive
            transport.event_listeners.append(lambda _event: self._on_members_changed())
            try:
                if self.identity.council is not None:
                    await self._join_consensus(self.identity.council, tasks)
                tasks.start_soon(transport.run)
                tasks.start_soon(evidence.run)
                task_status.started()
                await self._decisions.fetch_referenced(self.consensus)
            finally:
                with anyio.CancelScope(shield=True):
                    await close()

    def _create_transport(self, bound: str, datagrams: DatagramSocket) -> ClusterTransport:
        """Return the transport of membership and gossip over the bound sockets."""
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
        """Announce that this process leaves; returns once the announcement has had time to spread."""
        for listener in self.on_leaving:
            listener()
        if self.membership is not None:
            await self.membership.leave()

    async def _serve(self, stream: Stream) -> None:
        assert self.membership is not None
        await serve_by_magic(
            stream,
            self.stream_handlers,
            self.membership.serve,
            self.membership.settings.exchange_timeout_ms,
        )

    # --- consensus

    async def _join_consensus(self, council: CouncilSettings, tasks: TaskGroup) -> None:
        identity = self.identity
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
            environment,
            tasks,
            identity.fleet.cluster,
            identity.name,
            council.seats,
            cache=self.decision_cache,
        )
        if council.store is None:
            return
        replica = self.replica = ConsensusReplica(
            environment,
            ReplicaSettings(
                name=identity.name,
                cluster=identity.fleet.cluster,
                replicas=council.seats,
                store=Path(council.store),
                start=council.start,
                renewal_interval_ms=council.renew_ms,
                timing=RaftSettings(election_ms=council.election_ms, heartbeat_ms=council.heartbeat_ms),
            ),
            publish=self._publish_decisions,
        )
        self.addresses["council"], _ = await self.sockets.listen(
            council.listen, replica.serve, tasks, setting="council.listen"
        )
        tasks.start_soon(replica.run)

    def _publish_decisions(self, changed: tuple[Decision, ...]) -> None:
        assert self.replica is not None
        self._decisions.publish(self.replica.decisions.all_decisions(), changed)

    def _on_gossip_merged(self) -> None:
        """Process the entries that a merge changed: cache decisions, notify the listeners."""
        for origin, key in self.gossip.drain_changes():
            if self._decisions.is_decision_key(key):
                value = self.gossip.value_of(key, origin)
                if value is not None:
                    self._decisions.receive_entry(key, value)
            for listener in self.on_gossip_change:
                listener(origin, key)

    # --- state for features and the admin port

    @property
    def is_leader(self) -> bool:
        """Whether this process's replica believes that it is the leader.

        It may be out of date: decisions of a former leader are not committed, and callers guard against lost
        updates with `if_number`.
        """
        raft = self.replica.raft if self.replica is not None else None
        return raft is not None and raft.role is Role.LEADER

    def members(self) -> tuple[Member, ...]:
        """Return all known members, including this process.

        The view is cached: with thousands of members it may be a second old.
        """
        if self.membership is None:
            return ()
        now = self.clock()
        if self._view_cache.is_stale(now):
            self._view_cache.store(self.membership.membership.view(now), now, self.clock())
        return self._view_cache.view

    def _on_members_changed(self) -> None:
        self._view_cache.invalidate()
        self.evidence.on_members_changed()

    def status(self) -> dict[str, Any]:
        """Return members, decisions, evidence and drop counts, as JSON-encodable values."""
        now = self.clock()
        decisions = {}
        for topic in self.decision_cache.reader.topics():
            cached = self.decision_cache.get(topic)
            decision = cached.decision if isinstance(cached, Expired) else cached
            if decision is not None:
                decisions[topic] = {"number": decision.version, "counts": not isinstance(cached, Expired)}
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
            "decrees": decisions,
            "seat": self.replica.status() if self.replica is not None else None,
            "unkept": self.decision_cache.unsaved_reason,
        }
