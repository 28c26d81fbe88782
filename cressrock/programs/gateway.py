"""The gateway program in one process: WebDAV in, the scheduler's decisions, storage nodes out.

Streams, clock, wall time and randomness come from outside, so that the very same program runs over loopback
sockets and in simulated time.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup, TaskStatus

from cressrock import net
from cressrock.dispatch.driver import DecisionModule
from cressrock.dispatch.idempotency import IdempotencyKeys
from cressrock.dispatch.ledger import Attempt, Ledger
from cressrock.dispatch.node_client import Connect, NodeClient
from cressrock.dispatch.node_list import NodeListState
from cressrock.dispatch.node_list_watch import NodeListSource, NodeListWatch
from cressrock.dispatch.quota import EdgeQuota
from cressrock.dispatch.spool import PayloadStore
from cressrock.dispatch.task_driver import TaskDriver
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import DisconnectedPolicy
from cressrock.edge.ordering import KeyOrdering
from cressrock.edge.planner_link import PlannerLink
from cressrock.edge.reconnect import ReconnectBackoff
from cressrock.failover.admin import FailoverAdmin
from cressrock.failover.edge import EdgeFailover
from cressrock.failover.routing import ZoneRouter
from cressrock.http.channel import Stream
from cressrock.http.server import Exchange, Server
from cressrock.interface import Node, NodeList, NodeState, Outcome
from cressrock.link.protocol import LinkLimits as LinkBounds
from cressrock.observe import admin
from cressrock.observe.metrics import Metrics
from cressrock.planner.epochs import EpochStore, next_epoch
from cressrock.presence.connection import MAGIC as PRESENCE_MAGIC
from cressrock.presence.environment import PresenceEnvironment
from cressrock.presence.service import PresenceService
from cressrock.presence.settings import RoomSettings, ServiceSettings
from cressrock.replication.known_set import ReplicaPlacement
from cressrock.replication.publisher import ReachabilityPublisher
from cressrock.replication.reachability import ReachabilityTracker
from cressrock.replication.service import ReplicatedVolumes
from cressrock.replication.shard_request import DeadlineShares
from cressrock.rollout.service import ProcessSettings as RolloutParts
from cressrock.rollout.service import RolloutService
from cressrock.runtime import ClusterRuntime, NodeIdentity, Sockets, SystemSockets
from cressrock.scheduler.scheduler import Scheduler
from cressrock.settings.rules import Tables, Version
from cressrock.settings.types import Gateway as Settings
from cressrock.settings.types import interface_settings
from cressrock.webdav.front import Front


@dataclass(frozen=True, slots=True)
class Environment:
    """What a gateway needs from outside.  Times in milliseconds."""

    connect: Connect
    wall_ms: Callable[[], float]
    seed: int
    log: Any
    sockets: Sockets = field(default_factory=SystemSockets)
    allow_threads: bool = True  # what blocks may leave the loop; not in simulated time


def create_scheduler(settings: Settings, seed: int, now_ms: float) -> DecisionModule:
    """Return the decision module, started."""
    return Scheduler(interface_settings(settings), seed, now_ms)


def create_runtime(
    settings: Settings, environment: Environment, role: str, rng: random.Random
) -> ClusterRuntime | None:
    """Return a process's place in the fleet; None where its settings have none.  Raises OSError."""
    if settings.fleet is None:
        return None
    store = EpochStore(settings.fleet.life_file)
    life = next_epoch(store.read(), environment.wall_ms())
    store.write(life)
    return ClusterRuntime(
        NodeIdentity(settings.name, life, role, settings.fleet, settings.council),
        environment.sockets,
        clock=net.clock(),
        wall_ms=environment.wall_ms,
        rng=random.Random(rng.getrandbits(62)),
        log=environment.log,
        allow_threads=environment.allow_threads,
        is_collector=role == "planner" and (settings.zones is not None or settings.rollout is not None),
    )


def create_presence(
    settings: Settings, runtime: ClusterRuntime, volumes: Callable[[], Iterable[str]]
) -> PresenceService:
    """Return a gateway's presence, told of by its ground."""
    given = msgspec.structs.asdict(settings.presence) if settings.presence is not None else {}

    def of(kind: type[Any]) -> dict[str, Any]:
        return {name: given[name] for name in kind.__struct_fields__ if name in given}

    place = runtime.identity
    found = PresenceService(
        ServiceSettings(**of(ServiceSettings)),
        RoomSettings(**of(RoomSettings)),
        PresenceEnvironment(
            name=place.name,
            incarnation=place.incarnation,
            region=place.fleet.region,
            cluster=place.fleet.cluster,
            routes=place.fleet.routes,
            gossip=runtime.gossip,
            members=runtime.members,
            connect=runtime.sockets.connect,
            consensus=lambda: runtime.consensus,
            cached_decision=runtime.decision_cache.get,
            volumes=volumes,
            clock_ms=runtime.clock,
            rng=random.Random(runtime.rng.getrandbits(62)),
            log=runtime.log,
        ),
    )
    runtime.stream_handlers[PRESENCE_MAGIC] = found.serve
    runtime.on_gossip_change.append(found.on_gossip_change)
    runtime.decision_cache.listeners.append(found.on_decision)
    return found


def set_rule_versions(decisions: DecisionModule | None, tables: Tables) -> None:
    """Have a decision module hold all versions of the rules that the tables have."""
    if isinstance(decisions, Scheduler):
        decisions.widen(tables.rows(decisions.settings))


def create_rollout(
    settings: Settings,
    environment: Environment,
    runtime: ClusterRuntime,
    tables: Tables,
    widened: Callable[[tuple[str, ...]], None],
    rng: random.Random,
    *,
    decides: Callable[[str], bool] = lambda digest: True,
    judges: bool = False,
) -> RolloutService[Version]:
    """Return a process's part in rollouts."""
    own, council = settings.rollout, settings.council
    assert own is not None and council is not None and settings.fleet is not None
    parts = RolloutParts(
        settings.name,
        settings.fleet.zone,
        [c.name for c in settings.classes],
        council.hold_ms,
        own.keep_file,
        own.look_ms,
        own.tell_ms,
        own.starts,
        own.starts_within_ms,
    )
    # Danger: with one seed in all settings every process would throw the same coins, and a burst that all see
    # would fall to one version as a whole.
    coin = random.Random(f"{rng.getrandbits(62)}/{settings.name}/{runtime.identity.incarnation}")
    return RolloutService(
        runtime,
        tables,
        parts,
        clock=net.clock(),
        wall_ms=environment.wall_ms,
        rng=coin,
        log=environment.log,
        on_versions_changed=widened,
        planner_has_version=decides,
        may_lead=judges,
        zone_of=lambda name: next((m.zone for m in runtime.members() if m.name == name), ""),
    )


def create_node_list_watch(
    settings: Settings,
    environment: Environment,
    node_client: NodeClient,
    on_report: Callable[[NodeList], None],
) -> NodeListWatch:
    """Return what follows the node list by a program's settings."""
    source = settings.node_list
    return NodeListWatch(
        NodeListState(source.cluster, max_nodes=source.max_nodes),
        node_client,
        NodeListSource(source.address, settings.name, source.poll_ms, source.timeout_ms, cache=source.cache),
        on_report=on_report,
        wall_ms=environment.wall_ms,
        log=environment.log,
    )


class _Watched(Metrics):
    """Metrics that also tell each attempt's outcome to who asks for it."""

    when_ended: list[Callable[[int, Outcome], None]]

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, lag_ms: float, text: str) -> None:
        """Count an attempt, and tell of it."""
        super().attempt_ended(attempt, outcome, lag_ms, text)
        for tell in self.when_ended:
            tell(attempt.node.shard, outcome)


def replica_placements(settings: Settings) -> dict[str, ReplicaPlacement]:
    """Return where the copies lie of the volumes that have some."""
    return {
        name: ReplicaPlacement(tuple(v.shards), {zone: tuple(shards) for zone, shards in v.copies.items()})
        for name, v in settings.volumes.items()
        if v.copies
    }


@dataclass(frozen=True, slots=True)
class Components:
    """What a gateway is made of; the laboratory puts parts in that are broken on purpose."""

    decisions: Callable[[Settings, int, float], DecisionModule] = create_scheduler
    ledger: type[Ledger] = Ledger
    driver: type[TaskDriver] = TaskDriver
    edge: type[EdgeDecisions] = EdgeDecisions


class Gateway:
    """One dispatcher.  `run` serves until cancelled; `serve` and `serve_admin` take connected streams."""

    def __init__(
        self, settings: Settings, environment: Environment, *, components: Components | None = None
    ) -> None:
        """Build all parts; nothing runs before `run`."""
        self.settings = settings
        self.environment = environment
        self.components = components or Components()
        self.started = False
        self.stopping = False
        self.metrics = _Watched(
            environment.log, [c.name for c in settings.classes], log_requests=settings.observe.log_requests
        )
        self.metrics.when_ended = []
        self.replicated_volumes: ReplicatedVolumes | None = None
        self.node_client = NodeClient(
            environment.connect, settings.nodes, user_agent=f"cressrock/{settings.name}"
        )
        self.server: Server | None = None
        self.front: Front | None = None
        self.driver: TaskDriver | None = None
        self.node_list_watch: NodeListWatch | None = None
        self.runtime: ClusterRuntime | None = None
        self.presence: PresenceService | None = None
        self.rollout: RolloutService[Version] | None = None
        self.failover: EdgeFailover | None = None
        self._zone_names: dict[int, str] = {}
        self.admin_routes: dict[
            bytes, Callable[[Exchange], Awaitable[None]]
        ] = {}  # of rooms, by path's beginning
        self.payload_store = PayloadStore(
            memory_bytes=settings.payloads.memory_bytes,
            spill_bytes=settings.payloads.spill_bytes,
            directory=settings.payloads.directory,
        )

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports started once connections can be taken."""
        settings, world = self.settings, self.environment
        now = anyio.current_time() * 1000
        source = random.Random(world.seed)
        ledger = self.components.ledger(
            drain_grace_ms=settings.scheduler.drain_grace_ms,
            answer_slack_ms=settings.scheduler.answer_slack_ms,
            max_open=settings.front.max_requests * 4,
            max_nodes=settings.node_list.max_nodes,
        )
        async with AsyncExitStack() as stack:
            nodes = await stack.enter_async_context(self.node_client)
            tasks: TaskGroup = await stack.enter_async_context(anyio.create_task_group())
            edge = self._edge(ledger, source) if settings.pair.planners else None
            driver = self.driver = self.components.driver(
                edge or self.components.decisions(settings, source.getrandbits(62), now),
                ledger,
                nodes,
                interface_settings(settings).classes,
                self.metrics,
                retry_after_ms=settings.front.retry_after_ms,
                keys=IdempotencyKeys(keep_ms=settings.front.key_memory_ms, max_keys=settings.front.max_keys),
                reader_patience_ms=settings.front.reader_patience_ms,
                clock=net.clock(),
            )
            watch = self.node_list_watch = create_node_list_watch(settings, world, nodes, self._listed)
            driver.subscribe = watch.subscribe
            self.front = Front(
                settings, driver, self.payload_store, self.metrics, source=source, clock=driver.clock
            )
            self.server = Server(
                self.front.handle,
                settings.front.bounds,
                max_connections=settings.front.max_connections,
                failed=self._failed,
                clock=driver.clock,
            )
            watch.load_cache()
            watch.subscribe()
            # Drawn last, and only where there is one: without it every seed gives what it gave.
            self.runtime = create_runtime(settings, world, "edge", source)
            if self.runtime is not None:
                if settings.presence is not None:
                    self.presence = create_presence(settings, self.runtime, lambda: self.settings.volumes)
                    self.admin_routes[b"/v1/presence/"] = self.presence.handle
                    self.front.served = self.presence.record_served_volume
                    self.front.locked = self.presence.record_lock
                await tasks.start(self.runtime.run)
                if self.presence is not None:
                    await tasks.start(self.presence.run)
                if settings.rollout is not None:
                    self.rollout = self._rollout(self.runtime, driver, edge, source)
                    self.front.choose = self.rollout.choose
                    self.admin_routes[b"/v1/rollout"] = self.rollout.serve
                    tasks.start_soon(self.rollout.run)
                if settings.zones is not None:
                    self.failover = self._zones(self.runtime, driver, source)
                    tasks.start_soon(self.failover.run)
                self._serve_copies(self.runtime, driver, tasks)
            tasks.start_soon(driver.run)
            if edge is not None:
                tasks.start_soon(self._planner_link(edge, driver, source).run)
            tasks.start_soon(watch.run)
            tasks.start_soon(self.server.watch)
            self.started = True
            task_status.started()
            await anyio.sleep_forever()

    def _serve_copies(self, ground: ClusterRuntime, driver: TaskDriver, tasks: TaskGroup) -> None:
        """Serve the volumes that have copies, if there are any."""
        found, part = replica_placements(self.settings), self.settings.copies
        if not found or self.settings.council is None or self.front is None:
            return
        reach = ReachabilityTracker()
        shares = DeadlineShares(
            part.first_share, part.follow_share, part.told_ms, part.ask_ms, self.settings.council.hold_ms
        )
        fleet = self.settings.fleet
        self.replicated_volumes = self.front.copies = ReplicatedVolumes(
            found,
            ground,
            shares,
            reach,
            zone=fleet.zone if fleet is not None else "",
            regions=part.regions,
            clock=driver.clock,
            log=self.environment.log,
            retry_after_ms=self.settings.front.retry_after_ms,
        )
        self.metrics.when_ended.append(
            lambda shard, outcome: reach.record_outcome(shard, outcome, driver.clock())
        )
        tasks.start_soon(ReachabilityPublisher(self.replicated_volumes, ground.gossip, part.look_ms).run)

    def _edge(self, ledger: Ledger, source: random.Random) -> EdgeDecisions:
        pair, scheduler = self.settings.pair, self.settings.scheduler
        away = DisconnectedPolicy(pair.answer_margin_ms, pair.retry_least_ms, pair.retry_most_ms)
        jitter, now = random.Random(source.getrandbits(62)), anyio.current_time() * 1000
        own, lending = None, None
        if pair.edges:
            # As one of so many hosts, with nothing that a planner's part may hold: see edge/core.
            careful = msgspec.structs.replace(
                scheduler, hosts=pair.edges, budget_free=0.0, cold_bears=0.0, limits_lent=True
            )
            settings = msgspec.structs.replace(self.settings, scheduler=careful)
            own = self.components.decisions(settings, source.getrandbits(62), now)
            lending = EdgeQuota(interface_settings(settings).plans, self._edges_of, pair.lend_ms, now)
        turns = KeyOrdering(interface_settings(self.settings).classes, scheduler.order_settle_ms)
        return self.components.edge(
            ledger,
            away,
            jitter,
            ordering=turns,
            local=own,
            quota=lending,
            uncounted_after_ms=scheduler.tick_ms,
            budget_window_ms=scheduler.budget_window_ms,
        )

    def _rollout(
        self, ground: ClusterRuntime, driver: TaskDriver, edge: EdgeDecisions | None, source: random.Random
    ) -> RolloutService[Version]:
        tables, names = Tables(self.settings), list(self.metrics.classes)

        def widened(live: tuple[str, ...]) -> None:
            # Whatever looks a class or a plan up by its number: all of it, or a version would not be one.
            rows = tables.rows(interface_settings(self.settings))
            driver.classes, self.metrics.classes = rows.classes, names * tables.used
            if edge is None:
                set_rule_versions(driver.decisions, tables)
                return
            set_rule_versions(edge.local, tables)
            if edge.ordering is not None:
                edge.ordering.classes = rows.classes
            if edge.quota is not None:
                edge.quota.plans = rows.plans

        if edge is not None:
            edge.knows_versions, edge.plans_per_version = True, len(self.settings.plans)
            edge.version_of = lambda arrival: tables.told(arrival.request_class, arrival.plan)
        decides = edge.decides if edge is not None else (lambda digest: True)
        return create_rollout(
            self.settings, self.environment, ground, tables, widened, source, decides=decides
        )

    def _zones(self, ground: ClusterRuntime, driver: TaskDriver, source: random.Random) -> EdgeFailover:
        settings, fleet, council = self.settings.zones, self.settings.fleet, self.settings.council
        assert settings is not None and fleet is not None
        lots = random.Random(source.getrandbits(62))
        choice = ZoneRouter(fleet.zone, settings.regions(), settings, driver.clock(), lots)
        zones = EdgeFailover(choice, ground, driver.clock, self._zone_of)
        zones.watch(driver)
        hold_ms = council.hold_ms if council is not None else 0.0
        self.admin_routes[b"/v1/zones/"] = FailoverAdmin(settings, ground, hold_ms, zones.status).handle
        return zones

    def _zone_of(self, node: Node) -> str:
        """Return the name of a listed node's zone."""
        found = self._zone_names.get(node.zone)
        if found is None and self.node_list_watch is not None:
            self._zone_names = {number: name for name, number in self.node_list_watch.state.zones.items()}
            found = self._zone_names.get(node.zone)
        return found or ""

    def _edges_of(self, volume: str) -> int:
        """Return how many edges hold a part of a volume's limit."""
        found = self.settings.volumes.get(volume)
        return (found.edges if found is not None else 0) or self.settings.pair.edges

    def _planner_link(self, edge: EdgeDecisions, driver: TaskDriver, source: random.Random) -> PlannerLink:
        pair = self.settings.pair
        jitter = random.Random(source.getrandbits(62))
        return PlannerLink(
            edge,
            ReconnectBackoff(
                tuple(pair.planners),
                jitter,
                min_wait_ms=pair.reconnect_least_ms,
                max_wait_ms=pair.reconnect_most_ms,
            ),
            self.environment.connect,
            driver.request_batch,
            name=self.settings.name,
            incarnation=f"{source.getrandbits(48):012x}",
            clock=driver.clock,
            limits=LinkBounds(ping_ms=pair.ping_ms, silent_ms=pair.silent_ms),
            log=self.environment.log,
        )

    def _listed(self, report: NodeList) -> None:
        assert self.driver is not None
        self.driver.receive_node_list(report)
        if self.replicated_volumes is not None:
            self.replicated_volumes.on_node_list(self.driver.ledger.nodes.values())
        for node in report.nodes:
            if node.state is NodeState.GONE:
                self.node_client.close_idle(node.name)

    def _failed(self, error: BaseException) -> None:
        self.environment.log.error("defect", error=repr(error), exc_info=error)

    async def serve(self, stream: Stream) -> None:
        """Serve one client's connection."""
        assert self.server is not None
        await self.server.serve(stream)

    async def stop(self, after_ms: float) -> bool:
        """Take nothing more, finish what is owed.  True if all was answered in time."""
        self.stopping = True
        assert self.server is not None and self.driver is not None
        self.server.stop()
        if self.presence is not None:
            self.presence.end_sessions()
        if self.runtime is not None:
            await self.runtime.leave()
        with anyio.move_on_after(after_ms / 1000):
            while self.server.connections or self.driver.ledger.entries:
                await anyio.sleep(0.02)
            return True
        return False

    def reload(self, settings: Settings) -> list[str]:
        """Take over what can change while running; returns the parts that need a restart."""
        fixed = [
            name
            for name in (
                "name",
                "seed",
                "classes",
                "plans",
                "scheduler",
                "node_list",
                "fleet",
                "council",
                "presence",
                "rollout",
                "zones",
                "copies",
                "nodes",
                "payloads",
                "units",
            )
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if replica_placements(settings) != replica_placements(self.settings):
            fixed.append("volumes.*.copies")
        if not fixed and self.front is not None:
            self.settings = settings
            self.front.reload(settings)
        return fixed

    # --- the admin port

    def status(self) -> dict[str, Any]:
        """Return what this process knows of itself and of the others, as plain values."""
        return {
            "name": self.settings.name,
            "ready": not self.not_ready_reasons(),
            "why": self.not_ready_reasons(),
            "fleet": self.runtime.status() if self.runtime is not None else None,
            "presence": self.presence.status() if self.presence is not None else None,
            "zones": self.failover.status() if self.failover is not None else None,
            **({"copies": self.replicated_volumes.status()} if self.replicated_volumes is not None else {}),
        }

    def not_ready_reasons(self) -> list[str]:
        """Return why no work should be sent here; empty: ready."""
        why = []
        if not self.started:
            why.append("starting")
        if self.stopping:
            why.append("stopping")
        if self.driver is not None:
            states = [n.state for n in self.driver.ledger.nodes.values()]
            if NodeState.READY not in states:
                why.append("no node is listed as ready")
        return why

    def render_metrics(self) -> bytes:
        """Bring the gauges up to date and return the exposition."""
        m = self.metrics
        if self.driver is not None:
            ledger = self.driver.ledger
            m.open_requests.set(len(ledger.entries))
            for state in NodeState:
                m.nodes.labels(state.value).set(sum(n.state is state for n in ledger.nodes.values()))
            self._measure_decisions(self.driver.decisions)
        if self.node_list_watch is not None and self.node_list_watch.last_response_ms is not None:
            m.list_age.set(anyio.current_time() - self.node_list_watch.last_response_ms / 1000)
        m.connections.labels("clients").set(self.server.connections if self.server else 0)
        m.connections.labels("nodes").set(self.node_client.connections())
        m.stored.set(self.payload_store.memory_used_bytes)
        return m.text()

    def _measure_decisions(self, decisions: DecisionModule) -> None:
        """Show the scheduler's queues and D, where the module is the one that has them."""
        if isinstance(decisions, Scheduler):
            for name, endpoint in decisions.endpoints.by_name.items():
                self.metrics.depth.labels(name).set(endpoint.limit.window)
            for shard, queue in decisions.queues.items():
                self.metrics.waiting.labels(str(shard)).set(queue.waiting_count)

    async def admin(self, exchange: Exchange) -> None:
        """Serve /healthz, /readyz, /metrics and /v1/status."""
        pages: dict[bytes, admin.Page] = {
            b"/healthz": admin.healthz,
            b"/readyz": self._readyz,
            b"/metrics": lambda: (200, admin.METRICS, self.render_metrics()),
            b"/v1/status": lambda: admin.status(self.status()),
        }
        await admin.serve(exchange, self.admin_routes, pages)

    def _readyz(self) -> tuple[int, bytes, bytes]:
        why = self.not_ready_reasons()
        body = ("; ".join(why) or "ready") + "\n"
        return (503 if why else 200), admin.TEXT, body.encode()
