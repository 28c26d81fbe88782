"""The gateway program: serves WebDAV clients and schedules their operations on the storage nodes.

With planners in its settings it runs as an edge: a planner decides, and this process executes the decisions.
"""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from cressrock import net
from cressrock.dispatch.idempotency import IdempotencyKeys, shortest_safe_keep_ms
from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.node_client import NodeClient
from cressrock.dispatch.node_list_poller import NodeListPoller
from cressrock.dispatch.spool import PayloadStore
from cressrock.dispatch.task_driver import TaskDriver
from cressrock.edge.decisions import EdgeDecisions
from cressrock.failover.admin import FailoverAdmin
from cressrock.failover.edge import EdgeFailover
from cressrock.failover.routing import ZoneRouter
from cressrock.http.channel import Stream
from cressrock.http.server import Server
from cressrock.interface import Node, NodeList, NodeState
from cressrock.observe import admin
from cressrock.observe.event_loop_metrics import EventLoopCollector
from cressrock.observe.metrics import Metrics
from cressrock.observe.state_file_metrics import StateFileCollector
from cressrock.presence.service import PresenceService
from cressrock.programs.composition import (
    SEED_BITS,
    Components,
    Environment,
    RolloutHooks,
    child_rng,
    create_node_client,
    create_node_list_poller,
    create_presence,
    create_replicated_volumes,
    create_rollout,
    create_runtime,
    replica_placements,
    set_rule_versions,
)
from cressrock.programs.edge import create_edge_decisions, create_planner_link
from cressrock.programs.gauges import set_ledger_gauges, set_scheduler_gauges
from cressrock.replication.publisher import ReachabilityPublisher
from cressrock.replication.reachability import ReachabilityTracker
from cressrock.replication.service import ReplicatedVolumes
from cressrock.rollout.service import RolloutService
from cressrock.runtime.cluster import ClusterRuntime
from cressrock.settings.rules import Tables, Version
from cressrock.settings.types import Gateway as Settings
from cressrock.settings.types import interface_settings
from cressrock.webdav.front import Front

OPERATIONS_PER_REQUEST = 4  # most open operations per request, on average; bounds the ledger
STOP_POLL_S = 0.02
SETTINGS_THAT_NEED_RESTART = (
    "name", "seed", "classes", "plans", "scheduler", "node_list", "fleet", "council", "presence", "rollout",
    "zones", "copies", "nodes", "payloads", "units",
)  # fmt: skip


class Gateway:
    """One dispatcher.  `run` serves until cancelled; `serve` handles one client connection."""

    def __init__(
        self, settings: Settings, environment: Environment, *, components: Components | None = None
    ) -> None:
        """Create the components that need no event loop; `run` starts them and creates the others."""
        self.settings = settings
        self.environment = environment
        self.components = components or Components()
        self.started = False
        self.stopping = False
        self.metrics = Metrics(
            environment.log,
            [request_class.name for request_class in settings.classes],
            log_requests=settings.observe.log_requests,
        )
        self.metrics.registry.register(StateFileCollector(environment.state_files.counts))
        self.metrics.registry.register(EventLoopCollector(environment.turns))
        self.node_client = create_node_client(settings, environment)
        self.payload_store = PayloadStore(
            memory_bytes=settings.payloads.memory_bytes,
            spill_bytes=settings.payloads.spill_bytes,
            directory=settings.payloads.directory,
            blocking_calls=environment.blocking_calls,
        )
        self.admin = admin.AdminServer(
            {
                b"/healthz": admin.health_page,
                b"/readyz": lambda: admin.readiness_page(self.not_ready_reasons()),
                b"/metrics": lambda: admin.metrics_page(self.render_metrics()),
                b"/v1/status": lambda: admin.status_page(self.status()),
            }
        )
        # Created by `run`; the cluster features only if the settings configure them.
        self.server: Server | None = None
        self.front: Front | None = None
        self.driver: TaskDriver | None = None
        self.node_list_poller: NodeListPoller | None = None
        self.runtime: ClusterRuntime | None = None
        self.presence: PresenceService | None = None
        self.rollout: RolloutService[Version] | None = None
        self.failover: EdgeFailover | None = None
        self.replicated_volumes: ReplicatedVolumes | None = None
        self._zone_names: dict[int, str] = {}

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; calls `task_status.started` once connections can be accepted."""
        settings, environment = self.settings, self.environment
        # The order in which components draw from this generator determines the result of a seed.
        rng = random.Random(environment.seed)
        async with AsyncExitStack() as stack:
            node_client = await stack.enter_async_context(self.node_client)
            tasks: TaskGroup = await stack.enter_async_context(anyio.create_task_group())
            edge, driver = self._create_driver(node_client, rng)
            poller = self.node_list_poller = create_node_list_poller(
                settings, environment, node_client, self._on_node_list
            )
            self.driver, driver.subscribe = driver, poller.subscribe
            front, self.server = self._create_front(driver, rng)
            poller.load_cache()
            poller.subscribe()
            # Created after the components above, and draws only if a cluster is configured, so that a gateway
            # without a cluster gives the same result for a seed.
            self.runtime = create_runtime(settings, environment, "edge", rng)
            if self.runtime is not None:
                await self._start_cluster_features(self.runtime, front, edge, rng, tasks)
            tasks.start_soon(driver.run)
            if edge is not None:
                tasks.start_soon(create_planner_link(settings, environment, edge, driver, rng).run)
            tasks.start_soon(poller.run)
            tasks.start_soon(self.server.watch)
            self.started = True
            task_status.started()
            await anyio.sleep_forever()

    def _create_driver(
        self, node_client: NodeClient, rng: random.Random
    ) -> tuple[EdgeDecisions | None, TaskDriver]:
        settings, front = self.settings, self.settings.front
        now_ms = anyio.current_time() * 1000
        ledger: Ledger = self.components.ledger(
            drain_grace_ms=settings.scheduler.drain_grace_ms,
            answer_slack_ms=settings.scheduler.answer_slack_ms,
            max_open=front.max_requests * OPERATIONS_PER_REQUEST,
            max_nodes=settings.node_list.max_nodes,
            keys=IdempotencyKeys(
                keep_ms=max(front.key_memory_ms, shortest_safe_keep_ms(interface_settings(settings).classes)),
                max_keys=front.max_keys,
            ),
        )
        edge = None
        if settings.pair.planners:
            edge = create_edge_decisions(settings, self.components, ledger, rng, self._edges_of)
        driver = self.components.driver(
            edge or self.components.decisions(settings, rng.getrandbits(SEED_BITS), now_ms),
            ledger,
            node_client,
            interface_settings(settings).classes,
            self.metrics,
            retry_after_ms=front.retry_after_ms,
            reader_patience_ms=front.reader_patience_ms,
            clock=net.clock(),
        )
        return edge, driver

    def _create_front(self, driver: TaskDriver, rng: random.Random) -> tuple[Front, Server]:
        settings = self.settings
        front = self.front = Front(
            settings, driver, self.payload_store, self.metrics, source=rng, clock=driver.clock
        )
        server = Server(
            front.handle,
            settings.front.bounds,
            max_connections=settings.front.max_connections,
            failed=self._on_defect,
            clock=driver.clock,
        )
        return front, server

    # --- cluster features

    async def _start_cluster_features(
        self,
        runtime: ClusterRuntime,
        front: Front,
        edge: EdgeDecisions | None,
        rng: random.Random,
        tasks: TaskGroup,
    ) -> None:
        settings, driver = self.settings, self.driver
        assert driver is not None
        if settings.presence is not None:
            self.presence = create_presence(settings, runtime, lambda: self.settings.volumes)
            self.admin.routes[b"/v1/presence/"] = self.presence.handle
            front.served = self.presence.record_served_volume
            front.locked = self.presence.record_lock
        await tasks.start(runtime.run)
        if self.presence is not None:
            await tasks.start(self.presence.run)
        if settings.rollout is not None:
            self.rollout = self._create_rollout(runtime, driver, edge, rng)
            front.choose = self.rollout.choose
            self.admin.routes[b"/v1/rollout"] = self.rollout.serve
            tasks.start_soon(self.rollout.run)
        if settings.zones is not None:
            self.failover = self._create_failover(runtime, driver, rng)
            tasks.start_soon(self.failover.run)
        self._start_replication(runtime, front, driver, tasks)

    def _create_rollout(
        self, runtime: ClusterRuntime, driver: TaskDriver, edge: EdgeDecisions | None, rng: random.Random
    ) -> RolloutService[Version]:
        tables, names = Tables(self.settings), list(self.metrics.classes)

        def on_versions_changed(live: tuple[str, ...]) -> None:
            # Every table indexed by class or plan number has to change together: a partial update would mix
            # rule versions.
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

        hooks = RolloutHooks(on_versions_changed)
        if edge is not None:
            edge.knows_versions, edge.plans_per_version = True, len(self.settings.plans)
            edge.version_of = lambda arrival: tables.told(arrival.request_class, arrival.plan)
            hooks = RolloutHooks(on_versions_changed, planner_has_version=edge.decides)
        return create_rollout(self.settings, self.environment, runtime, tables, rng, hooks)

    def _create_failover(
        self, runtime: ClusterRuntime, driver: TaskDriver, rng: random.Random
    ) -> EdgeFailover:
        settings, fleet, council = self.settings.zones, self.settings.fleet, self.settings.council
        assert settings is not None and fleet is not None
        router = ZoneRouter(fleet.zone, settings.regions(), settings, driver.clock(), child_rng(rng))
        failover = EdgeFailover(router, runtime, driver.clock, self._zone_of)
        failover.watch(driver)
        hold_ms = council.hold_ms if council is not None else 0.0
        self.admin.routes[b"/v1/zones/"] = FailoverAdmin(settings, runtime, hold_ms, failover.status).handle
        return failover

    def _start_replication(
        self, runtime: ClusterRuntime, front: Front, driver: TaskDriver, tasks: TaskGroup
    ) -> None:
        """Start serving replicated volumes and publishing shard reachability, if any volume has replicas."""
        reachability = ReachabilityTracker()
        volumes = self.replicated_volumes = front.copies = create_replicated_volumes(
            self.settings, runtime, reachability, driver.clock, self.environment.log
        )
        if volumes is None:
            return
        self.metrics.attempt_listeners.append(
            lambda shard, outcome: reachability.record_outcome(shard, outcome, driver.clock())
        )
        publisher = ReachabilityPublisher(volumes, runtime.gossip, self.settings.copies.look_ms)
        tasks.start_soon(publisher.run)

    def _zone_of(self, node: Node) -> str:
        """Return the zone name of a listed node; empty if the node list does not name its zone."""
        name = self._zone_names.get(node.zone)
        if name is None and self.node_list_poller is not None:
            self._zone_names = {number: name for name, number in self.node_list_poller.state.zones.items()}
            name = self._zone_names.get(node.zone)
        return name or ""

    def _edges_of(self, volume: str) -> int:
        """Return how many edges share a volume's limit, by the current settings."""
        volume_settings = self.settings.volumes.get(volume)
        return (volume_settings.edges if volume_settings is not None else 0) or self.settings.pair.edges

    # --- events

    def _on_node_list(self, report: NodeList) -> None:
        assert self.driver is not None
        self.driver.receive_node_list(report)
        if self.replicated_volumes is not None:
            self.replicated_volumes.on_node_list(self.driver.ledger.nodes.values())
        for node in report.nodes:
            if node.state is NodeState.GONE:
                self.node_client.close_idle(node.name)

    def _on_defect(self, error: BaseException) -> None:
        self.environment.log.error("defect", error=repr(error), exc_info=error)

    async def serve(self, stream: Stream) -> None:
        """Serve one client connection until it closes."""
        assert self.server is not None
        await self.server.serve(stream)

    async def stop(self, timeout_ms: float) -> bool:
        """Stop accepting requests, leave the cluster, and drain open ones for at most `timeout_ms`.

        Returns True if all requests were answered in time.
        """
        self.stopping = True
        assert self.server is not None and self.driver is not None
        self.server.stop()
        if self.presence is not None:
            self.presence.end_sessions()
        if self.runtime is not None:
            await self.runtime.leave()
        with anyio.move_on_after(timeout_ms / 1000):
            while self.server.connections or self.driver.ledger.entries:
                await anyio.sleep(STOP_POLL_S)
            return True
        return False

    def reload(self, settings: Settings) -> list[str]:
        """Apply new settings; returns the names of changed settings that need a restart.

        If there are any, nothing is applied.
        """
        fixed = [
            name
            for name in SETTINGS_THAT_NEED_RESTART
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if replica_placements(settings) != replica_placements(self.settings):
            fixed.append("volumes.*.copies")
        if not fixed and self.front is not None:
            self.settings = settings
            self.front.reload(settings)
        return fixed

    # --- admin port

    def status(self) -> dict[str, Any]:
        """Return the status of this process and of its cluster features, as JSON-encodable values."""
        reasons = self.not_ready_reasons()
        status: dict[str, Any] = {
            "name": self.settings.name,
            "ready": not reasons,
            "why": reasons,
            "fleet": self.runtime.status() if self.runtime is not None else None,
            "presence": self.presence.status() if self.presence is not None else None,
            "zones": self.failover.status() if self.failover is not None else None,
        }
        if self.replicated_volumes is not None:
            status["copies"] = self.replicated_volumes.status()
        return status

    def not_ready_reasons(self) -> list[str]:
        """Return the reasons why this gateway is not ready; empty if it is."""
        reasons = []
        if not self.started:
            reasons.append("starting")
        if self.stopping:
            reasons.append("stopping")
        if self.driver is not None:
            states = [node.state for node in self.driver.ledger.nodes.values()]
            if NodeState.READY not in states:
                reasons.append("no node is listed as ready")
        return reasons

    def render_metrics(self) -> bytes:
        """Update the gauges and return the metrics in Prometheus text format."""
        metrics, poller = self.metrics, self.node_list_poller
        if self.driver is not None:
            set_ledger_gauges(metrics, self.driver.ledger)
            set_scheduler_gauges(metrics, self.driver.decisions)
        if poller is not None and poller.last_response_ms is not None:
            metrics.node_list_age.set(anyio.current_time() - poller.last_response_ms / 1000)
        metrics.connections.labels("clients").set(self.server.connections if self.server else 0)
        metrics.connections.labels("nodes").set(self.node_client.connection_count())
        metrics.payload_bytes.set(self.payload_store.memory_used_bytes)
        return metrics.text()
