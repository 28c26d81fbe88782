"""A planner's side of replication: while it leads, it founds sets, replaces primaries, brings replicas back.

Proposals only: each change is proposed against the decision that it was made from, so what a former leader
proposes does not come to stand beside another change.  Operations of repair go to the nodes directly, paced
by `repair_pacer`; they take no place in the scheduler's queues.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio

from cressrock.dispatch.node_client import NodeClient
from cressrock.errors import CressrockError
from cressrock.http.channel import header
from cressrock.http.server import Exchange
from cressrock.interface import NodeList
from cressrock.membership.packets import MemberState
from cressrock.replication import node_protocol, reachability, transitions
from cressrock.replication.admin import AdminEndpoint
from cressrock.replication.headers import EPOCH_HEADER
from cressrock.replication.in_sync_set import InSyncSet, ReplicaState, by_distance, decode_set
from cressrock.replication.known_set import ReplicaPlacement, ReplicatedShard, known_set
from cressrock.replication.operations import OperationKind, operation_at
from cressrock.replication.paced_client import PacedNodeClient
from cressrock.replication.repair_pacer import RepairPacer
from cressrock.replication.repair_runner import UNDECIDED_ERRORS, RepairRunner
from cressrock.replication.runtime import PlannerRuntime, SetDecisions

MAX_LOGGED_PROBLEMS = 1000  # each is logged once

StateKey = tuple[str, ReplicaState, int]  # a replica's zone, state and evictions


@dataclass(frozen=True, slots=True)
class ManagerSettings:
    """The settings' values; times in ms."""

    poll_interval_ms: float
    min_witnesses: int
    min_rejoin_delay_ms: float
    max_rejoin_delay_ms: float
    forget_evictions_ms: float
    lease_ms: float
    repair_share: float
    repair_rate: float
    repair_busy_load: float
    repair_pause_ms: float


@dataclass(slots=True)
class _ShardMemory:
    """What this planner remembers of one shard's set, while it leads."""

    seen_since_ms: dict[StateKey, float] = field(default_factory=dict)  # since when a replica is in a state


@dataclass(frozen=True, slots=True)
class _Current:
    """The set that stands, and its decision's version."""

    in_sync_set: InSyncSet
    version: int


class ReplicaManager:
    """Manages the sets of all replicated volumes; `run` it in a task group."""

    def __init__(
        self,
        placements: Mapping[str, ReplicaPlacement],
        runtime: PlannerRuntime,
        client: NodeClient,
        settings: ManagerSettings,
        *,
        regions: dict[str, str],
        clock: Callable[[], float],
        log: Any,
        incarnation: str,
    ) -> None:
        """`client` carries operations to nodes; `on_node_list` has to be called with each node list.

        `incarnation` names this run of the planner, in what names its operations to the nodes.
        """
        self._placements, self._runtime, self._settings = placements, runtime, settings
        self._regions, self._clock, self._log = regions, clock, log
        pacer = RepairPacer(
            share=settings.repair_share,
            rate=settings.repair_rate,
            busy=settings.repair_busy_load,
            pause_ms=settings.repair_pause_ms,
        )
        self._client = PacedNodeClient(client, pacer, clock, incarnation)
        self._decisions = SetDecisions(runtime, settings.lease_ms)
        self._admin = AdminEndpoint(placements, self._decisions, self._client, log)
        self._memory: dict[str, _ShardMemory] = {}  # by topic
        self._counts: dict[str, int] = {}
        self._logged_problems: set[str] = set()

    def on_node_list(self, report: NodeList) -> None:
        """Receive news of the node list."""
        self._client.on_node_list(report)

    async def handle(self, exchange: Exchange) -> None:
        """Serve /v1/copies."""
        await self._admin.handle(exchange)

    def status(self) -> dict[str, object]:
        """Return plain values for the admin port."""
        return {"counts": dict(self._counts), "nodes": len(self._client.nodes)}

    async def run(self) -> None:
        """Manage the sets until cancelled."""
        while True:
            await anyio.sleep(self._settings.poll_interval_ms / 1000)
            if not self._runtime.is_leader:
                self._memory.clear()
                continue
            for volume, placement in sorted(self._placements.items()):
                for index in range(len(placement.shards)):
                    await self._check_reporting(ReplicatedShard(volume, index, placement))

    async def _check_reporting(self, shard: ReplicatedShard) -> None:
        try:
            await self._check(shard)
        except UNDECIDED_ERRORS:
            pass  # another set stands, or none can be decided now: the next look sees what stands
        except CressrockError as error:
            problem = f"{shard.volume}/{shard.index} {error.code}"
            if problem not in self._logged_problems and len(self._logged_problems) < MAX_LOGGED_PROBLEMS:
                self._logged_problems.add(problem)
                self._log.warning(
                    "replication.shard_check_failed", volume=shard.volume, shard=shard.index, **error.fields()
                )

    # --- one shard

    async def _check(self, shard: ReplicatedShard) -> None:
        """Look at a shard's set, and do the one thing that is most needed."""
        current = await self._current_set(shard)
        if current is None:
            await self._decide_initial_set(shard)
            return
        replicas = current.in_sync_set.replicas
        memory = self._memory.setdefault(shard.topic, _ShardMemory())
        now_ms = self._clock()
        by_key = {(replica.zone, replica.state, replica.evictions): replica for replica in replicas}
        memory.seen_since_ms = {key: memory.seen_since_ms.get(key, now_ms) for key in by_key}
        if await self._replace_lost_primary(shard, current):
            return
        settings = self._settings
        for key, replica in sorted(by_key.items()):
            seen_ms = now_ms - memory.seen_since_ms[key]
            if replica.state is ReplicaState.IN_SYNC:
                if replica.evictions and seen_ms >= settings.forget_evictions_ms:
                    new = transitions.forget_evictions(current.in_sync_set, replica.zone)
                    await self._decisions.decide(shard.topic, new, current.version)
                    return
                continue
            delay_ms = transitions.rejoin_delay_ms(
                replica.evictions, settings.min_rejoin_delay_ms, settings.max_rejoin_delay_ms
            )
            is_joining = replica.state is ReplicaState.JOINING
            if is_joining or not replica.evictions or seen_ms >= delay_ms:
                if await self._repair(shard, current, replica.zone):
                    return

    async def _current_set(self, shard: ReplicatedShard) -> _Current | None:
        known = known_set(self._runtime.decision_cache, shard.topic)
        if known.in_sync_set is not None and known.is_current:
            return _Current(known.in_sync_set, known.version)
        decision = await self._decisions.read(shard.topic)
        return _Current(decode_set(decision.value), decision.version) if decision is not None else None

    def _count(self, event: str, count: int = 1) -> None:
        self._counts[event] = self._counts.get(event, 0) + count

    async def _repair(self, shard: ReplicatedShard, current: _Current, zone: str) -> bool:
        """Bring a replica back, as far as it goes; return whether anything was done."""
        runner = RepairRunner(self._client, self._decisions.decide, shard)
        report = await runner.run(current.in_sync_set, current.version, zone)
        if not report.rejoined and not report.records_copied:
            return False
        self._count("moved", report.records_copied)
        self._count("back", int(report.rejoined))
        self._log.info(
            "replication.replica_repaired",
            topic=shard.topic,
            zone=zone,
            rejoined=report.rejoined,
            records=report.records_copied,
            reason=report.reason,
        )
        return True

    def _reports(self, node_shard: int) -> dict[str, bytes]:
        """Return what the processes that are alive report of a node shard."""
        alive = {
            (member.name, member.process_incarnation)
            for member in self._runtime.members()
            if member.state is MemberState.ALIVE
        }
        reports = self._runtime.gossip.values(f"{reachability.REACHABILITY_KEY_PREFIX}{node_shard}")
        return {origin[0]: report for origin, report in reports.items() if tuple(origin[:2]) in alive}

    async def _replace_lost_primary(self, shard: ReplicatedShard, current: _Current) -> bool:
        """Replace the primary where it is lost; return whether something was decided."""
        in_sync_set = current.in_sync_set
        primary = in_sync_set.primary
        if not await self._is_primary_lost(shard, in_sync_set):
            return False
        order = [z for z in by_distance(in_sync_set.read_zones, primary, self._regions) if z != primary]
        # Where the others are missed as well (all nodes drain, say), moving would only shrink the set.
        reached = [z for z in order if not reachability.is_lost(self._reports(shard.node_shard(z)), 1)]
        if order and not reached:
            return False
        new = transitions.replace_primary(in_sync_set, primary, reached)
        await self._decisions.decide(shard.topic, new, current.version)
        self._count("first moved")
        self._log.warning(
            "replication.primary_replaced",
            topic=shard.topic,
            lost_zone=primary,
            primary_zone=new.primary,
            epoch=new.epoch,
        )
        return True

    async def _is_primary_lost(self, shard: ReplicatedShard, in_sync_set: InSyncSet) -> bool:
        primary = in_sync_set.primary
        reports = self._reports(shard.node_shard(primary))
        if reachability.is_lost(reports, self._settings.min_witnesses):
            return True
        if reachability.OTHER_STORE not in reports.values():
            return False
        replica = in_sync_set.replica(primary)
        role = operation_at(in_sync_set, primary, OperationKind.INSPECT).role
        store_id = await self._client.store_id(shard, primary, role)
        return replica is not None and store_id is not None and store_id != replica.store_id

    async def _decide_initial_set(self, shard: ReplicatedShard) -> None:
        """Found the set once every replica has told which store it is, and that it knows no set."""
        store_ids, epochs = {}, []
        zones = shard.placement.zones
        primary = next(zone for zone, shards in zones.items() if tuple(shards) == shard.placement.shards)
        for zone in zones:
            reply = await self._client.inspect(shard, zone)
            store_id = node_protocol.parse_store_id(reply.headers) if reply is not None else None
            if reply is None or store_id is None:
                return
            store_ids[zone] = store_id
            epochs.append(int(header(reply.headers, EPOCH_HEADER) or b"0"))
        new = transitions.initial_set(primary, store_ids, epochs)
        await self._decisions.decide(shard.topic, new, 0)
