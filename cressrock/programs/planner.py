"""The planner program: edges' links in, the decision module's orders out, the node list followed."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskStatus

from cressrock import net
from cressrock.dispatch.node_client import NodeClient
from cressrock.failover.admin import FailoverAdmin
from cressrock.failover.leader import FailoverLeader
from cressrock.http.channel import Stream
from cressrock.http.server import Exchange
from cressrock.interface import NodeList
from cressrock.link.protocol import LinkLimits as LinkBounds
from cressrock.observe import admin
from cressrock.planner.epochs import EpochStore, next_epoch
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.planner.server import PlannerServer
from cressrock.programs.gateway import (
    Components,
    Environment,
    create_node_list_watch,
    create_rollout,
    create_runtime,
    replica_placements,
    set_rule_versions,
)
from cressrock.replication.manager import ManagerSettings, ReplicaManager
from cressrock.rollout.service import RolloutService
from cressrock.runtime import ClusterRuntime
from cressrock.settings.rules import Tables, Version
from cressrock.settings.types import Gateway as Settings
from cressrock.settings.types import interface_settings


class PlannerProgram:
    """One planner.  `run` serves until cancelled; `serve` takes edges' connections."""

    def __init__(
        self, settings: Settings, environment: Environment, *, components: Components | None = None
    ) -> None:
        """Take an epoch and keep it before anything is done under it.  Raises OSError."""
        # What a former epoch's planner tried again nobody can prove: it counts as spent.
        scheduler = msgspec.structs.replace(
            settings.scheduler, budget_begins_spent=True, limits_lent=settings.pair.edges > 0
        )
        self.settings = msgspec.structs.replace(settings, scheduler=scheduler)
        self.environment = environment
        self.components = components or Components()
        store = EpochStore(settings.pair.epoch_file)
        self.epoch = next_epoch(store.read(), environment.wall_ms())
        store.write(self.epoch)
        self.server: PlannerServer | None = None
        self.runtime: ClusterRuntime | None = None
        self.rollout: RolloutService[Version] | None = None
        self.failover: FailoverLeader | None = None
        self.replica_manager: ReplicaManager | None = None
        self.admin_routes: dict[
            bytes, Callable[[Exchange], Awaitable[None]]
        ] = {}  # of rooms, by path's beginning
        self.node_client = NodeClient(
            environment.connect, settings.nodes, user_agent=f"cressrock/{settings.name}"
        )

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; reports started once edges can join."""
        settings, pair, world = self.settings, self.settings.pair, self.environment
        clock = net.clock()
        planner = Planner(
            self.components.decisions(settings, world.seed, clock()),
            interface_settings(settings).classes,
            self.epoch,
            PlannerLimits(
                pair.grant_ms, pair.max_inside, pair.max_edges, lease_ms=pair.lend_ms if pair.edges else 0.0
            ),
            interface_settings(settings).plans,
        )
        async with AsyncExitStack() as stack:
            nodes = await stack.enter_async_context(self.node_client)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            bounds = LinkBounds(ping_ms=pair.ping_ms, silent_ms=pair.silent_ms)
            server = self.server = PlannerServer(
                planner, settings.name, clock=clock, limits=bounds, log=world.log
            )
            self.runtime = create_runtime(settings, world, "planner", random.Random(world.seed))
            if self.runtime is not None:
                self.replica_manager = self._keeper(self.runtime, nodes)
            if self.replica_manager is not None:
                self.admin_routes[b"/v1/copies"] = self.replica_manager.handle
            watch = create_node_list_watch(settings, world, nodes, self._listed)
            server.subscribe_to_node_list = watch.subscribe
            server.knows_versions = settings.rollout is not None
            watch.load_cache()
            watch.subscribe()
            tasks.start_soon(watch.run)
            tasks.start_soon(server.run)
            if self.runtime is not None:
                await tasks.start(self.runtime.run)
                if settings.rollout is not None:
                    self.rollout = self._rollout(self.runtime, planner, server)
                    self.admin_routes[b"/v1/rollout"] = self.rollout.serve
                    tasks.start_soon(self.rollout.run)
                if settings.zones is not None and settings.council is not None:
                    hold_ms = settings.council.hold_ms
                    zones = self.failover = FailoverLeader(
                        settings.zones, self.runtime, hold_ms, clock, world.log
                    )
                    self.admin_routes[b"/v1/zones/"] = FailoverAdmin(
                        settings.zones, self.runtime, hold_ms, zones.status
                    ).handle
                    tasks.start_soon(zones.run)
            if self.replica_manager is not None:
                tasks.start_soon(self.replica_manager.run)
            task_status.started()
            await anyio.sleep_forever()

    def _rollout(
        self, ground: ClusterRuntime, planner: Planner, server: PlannerServer
    ) -> RolloutService[Version]:
        tables = Tables(self.settings)

        def widened(live: tuple[str, ...]) -> None:
            rows = tables.rows(interface_settings(self.settings))
            planner.set_rule_versions(rows.classes, rows.plans, tables.places())
            set_rule_versions(planner.decisions, tables)
            server.announce_rule_versions(live)  # only now: what edges offer under a version is decided by it

        source = random.Random(self.environment.seed + 1)  # beside the ground's, which is drawn from the seed
        return create_rollout(self.settings, self.environment, ground, tables, widened, source, judges=True)

    def _listed(self, report: NodeList) -> None:
        assert self.server is not None
        self.server.receive_node_list(report)
        if self.replica_manager is not None:
            self.replica_manager.on_node_list(report)

    def _keeper(self, ground: ClusterRuntime, nodes: NodeClient) -> ReplicaManager | None:
        """Return what keeps the copies in sync; None where no volume has any, or this holds no seat."""
        found, part, council = replica_placements(self.settings), self.settings.copies, self.settings.council
        if not found or council is None or council.store is None:
            return None
        figures = ManagerSettings(
            part.look_ms,
            part.witnesses,
            part.back_least_ms,
            part.back_most_ms,
            part.forget_ms,
            council.hold_ms,
            part.repair_share,
            part.repair_rate,
            part.repair_busy,
            part.repair_pause_ms,
        )
        return ReplicaManager(
            found,
            ground,
            nodes,
            figures,
            regions=part.regions,
            clock=net.clock(),
            log=self.environment.log,
            incarnation=f"{self.settings.name}-{self.epoch}",
        )

    def status(self) -> dict[str, Any]:
        """Return what this process knows of itself and of the others, as plain values."""
        edges = sorted(self.server.sessions) if self.server is not None else []
        return {
            "name": self.settings.name,
            "epoch": self.epoch,
            "edges": edges,
            "fleet": self.runtime.status() if self.runtime is not None else None,
            "zones": self.failover.status() if self.failover is not None else None,
            **({"copies": self.replica_manager.status()} if self.replica_manager is not None else {}),
        }

    async def admin(self, exchange: Exchange) -> None:
        """Serve /healthz and /v1/status."""
        pages: dict[bytes, admin.Page] = {
            b"/healthz": admin.healthz,
            b"/v1/status": lambda: admin.status(self.status()),
        }
        await admin.serve(exchange, self.admin_routes, pages)

    async def serve(self, stream: Stream) -> None:
        """Serve one edge's connection."""
        assert self.server is not None
        await self.server.serve(stream)
