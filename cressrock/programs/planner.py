"""The planner program: serves edges' links, sends them the decision module's orders, polls the node list."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup, TaskStatus
from prometheus_client import CollectorRegistry, generate_latest

from cressrock import net
from cressrock.dispatch.node_client import NodeClient
from cressrock.failover.admin import FailoverAdmin
from cressrock.failover.leader import FailoverLeader
from cressrock.http.channel import Stream
from cressrock.interface import NodeList
from cressrock.link.protocol import LinkLimits
from cressrock.observe import admin
from cressrock.observe.event_loop_metrics import EventLoopCollector
from cressrock.observe.state_file_metrics import StateFileCollector
from cressrock.planner.epochs import EpochStore, next_epoch
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.planner.server import PlannerServer
from cressrock.programs.composition import (
    Components,
    Environment,
    RolloutHooks,
    create_node_client,
    create_node_list_poller,
    create_rollout,
    create_runtime,
    replica_placements,
    set_rule_versions,
)
from cressrock.replication.manager import ManagerSettings, ReplicaManager
from cressrock.rollout.service import RolloutService
from cressrock.runtime.cluster import ClusterRuntime
from cressrock.settings.rules import Tables, Version
from cressrock.settings.types import Gateway as Settings
from cressrock.settings.types import interface_settings


class PlannerProgram:
    """One planner.  `run` serves until cancelled; `serve` handles one edge's connection."""

    def __init__(
        self, settings: Settings, environment: Environment, *, components: Components | None = None
    ) -> None:
        """Choose the next epoch and store it before it is used.  Raises OSError if it cannot be stored."""
        # The retries of an earlier epoch's planner are unknown, so the retry budget starts out spent.
        scheduler = msgspec.structs.replace(
            settings.scheduler, budget_begins_spent=True, limits_lent=settings.pair.edges > 0
        )
        self.settings = msgspec.structs.replace(settings, scheduler=scheduler)
        self.environment = environment
        self.components = components or Components()
        store = EpochStore(settings.pair.epoch_file)
        self.epoch = next_epoch(store.read(), environment.wall_ms())
        store.write(self.epoch)
        self.node_client = create_node_client(settings, environment)
        self.metrics = CollectorRegistry()
        self.metrics.register(StateFileCollector(environment.state_files.counts))
        self.metrics.register(EventLoopCollector(environment.turns))
        self.admin = admin.AdminServer(
            {
                b"/healthz": admin.health_page,
                b"/metrics": lambda: admin.metrics_page(generate_latest(self.metrics)),
                b"/v1/status": lambda: admin.status_page(self.status()),
            }
        )
        # Created by `run`; the cluster features only if the settings configure them.
        self.server: PlannerServer | None = None
        self.runtime: ClusterRuntime | None = None
        self.rollout: RolloutService[Version] | None = None
        self.failover: FailoverLeader | None = None
        self.replica_manager: ReplicaManager | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; calls `task_status.started` once edges can connect."""
        settings, environment = self.settings, self.environment
        planner = self._create_planner()
        async with AsyncExitStack() as stack:
            node_client = await stack.enter_async_context(self.node_client)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            limits = LinkLimits(ping_ms=settings.pair.ping_ms, silent_ms=settings.pair.silent_ms)
            server = self.server = PlannerServer(
                planner, settings.name, clock=net.clock(), limits=limits, log=environment.log
            )
            runtime = self.runtime = create_runtime(
                settings, environment, "planner", random.Random(environment.seed)
            )
            if runtime is not None:
                self.replica_manager = self._create_replica_manager(runtime, node_client)
            if self.replica_manager is not None:
                self.admin.routes[b"/v1/copies"] = self.replica_manager.handle
            poller = create_node_list_poller(settings, environment, node_client, self._on_node_list)
            server.subscribe_to_node_list = poller.subscribe
            server.knows_versions = settings.rollout is not None
            poller.load_cache()
            poller.subscribe()
            tasks.start_soon(poller.run)
            tasks.start_soon(server.run)
            if runtime is not None:
                await tasks.start(runtime.run)
                self._start_cluster_features(runtime, planner, server, tasks)
            if self.replica_manager is not None:
                tasks.start_soon(self.replica_manager.run)
            task_status.started()
            await anyio.sleep_forever()

    def _create_planner(self) -> Planner:
        settings, pair = self.settings, self.settings.pair
        lease_ms = pair.lend_ms if pair.edges else 0.0
        return Planner(
            self.components.decisions(settings, self.environment.seed, net.clock()()),
            interface_settings(settings).classes,
            self.epoch,
            PlannerLimits(pair.grant_ms, pair.max_inside, pair.max_edges, lease_ms=lease_ms),
            interface_settings(settings).plans,
        )

    # --- cluster features

    def _start_cluster_features(
        self, runtime: ClusterRuntime, planner: Planner, server: PlannerServer, tasks: TaskGroup
    ) -> None:
        zones, council = self.settings.zones, self.settings.council
        if self.settings.rollout is not None:
            self.rollout = self._create_rollout(runtime, planner, server)
            self.admin.routes[b"/v1/rollout"] = self.rollout.serve
            tasks.start_soon(self.rollout.run)
        if zones is not None and council is not None:
            failover = self.failover = FailoverLeader(
                zones, runtime, council.hold_ms, net.clock(), self.environment.log
            )
            self.admin.routes[b"/v1/zones/"] = FailoverAdmin(
                zones, runtime, council.hold_ms, failover.status
            ).handle
            tasks.start_soon(failover.run)

    def _create_rollout(
        self, runtime: ClusterRuntime, planner: Planner, server: PlannerServer
    ) -> RolloutService[Version]:
        tables = Tables(self.settings)

        def on_versions_changed(live: tuple[str, ...]) -> None:
            rows = tables.rows(interface_settings(self.settings))
            planner.set_rule_versions(rows.classes, rows.plans, tables.places())
            set_rule_versions(planner.decisions, tables)
            server.announce_rule_versions(live)  # last: edges then offer requests that these versions decide

        # Seeded apart from the runtime's generator, which uses the seed itself.
        rng = random.Random(self.environment.seed + 1)
        hooks = RolloutHooks(on_versions_changed, may_lead=True)
        return create_rollout(self.settings, self.environment, runtime, tables, rng, hooks)

    def _create_replica_manager(
        self, runtime: ClusterRuntime, node_client: NodeClient
    ) -> ReplicaManager | None:
        """Return the replica manager.

        None if no volume is replicated or if this process has no consensus replica.
        """
        placements, settings = replica_placements(self.settings), self.settings.copies
        council = self.settings.council
        if not placements or council is None or council.store is None:
            return None
        return ReplicaManager(
            placements,
            runtime,
            node_client,
            ManagerSettings(
                settings.look_ms,
                settings.witnesses,
                settings.back_least_ms,
                settings.back_most_ms,
                settings.forget_ms,
                council.hold_ms,
                settings.repair_share,
                settings.repair_rate,
                settings.repair_busy,
                settings.repair_pause_ms,
            ),
            regions=settings.regions,
            clock=net.clock(),
            log=self.environment.log,
            incarnation=f"{self.settings.name}-{self.epoch}",
        )

    # --- events

    def _on_node_list(self, report: NodeList) -> None:
        assert self.server is not None
        self.server.receive_node_list(report)
        if self.replica_manager is not None:
            self.replica_manager.on_node_list(report)

    async def serve(self, stream: Stream) -> None:
        """Serve one edge's connection until it closes."""
        assert self.server is not None
        await self.server.serve(stream)

    def status(self) -> dict[str, Any]:
        """Return the status of this process, its edges and its cluster features, as JSON-encodable values."""
        status: dict[str, Any] = {
            "name": self.settings.name,
            "epoch": self.epoch,
            "edges": sorted(self.server.sessions) if self.server is not None else [],
            "fleet": self.runtime.status() if self.runtime is not None else None,
            "zones": self.failover.status() if self.failover is not None else None,
        }
        if self.replica_manager is not None:
            status["copies"] = self.replica_manager.status()
        return status
