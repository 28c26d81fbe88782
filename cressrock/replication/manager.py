"""A planner's side of replication: while leading, it creates sets, replaces primaries and repairs replicas.

Each change is proposed by compare-and-set against the decision that it was derived from, so a former leader's
proposal fails if another change was decided first.  Repair operations go to the nodes directly, paced by
`repair_pacer`; they do not enter the scheduler's queues.
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

MAX_LOGGED_PROBLEMS = 1000  # each distinct problem is logged once

StateKey = tuple[str, ReplicaState, int]  # a replica's zone, state and evictions


@dataclass(frozen=True, slots=True)
class ManagerSettings:
    """Values from the settings; times in ms."""

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
class _ShardObservations:
    """What this planner has observed of one shard's set since it began to lead."""

    # When a replica was first seen in its state.
    in_state_since_ms: dict[StateKey, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _DecidedSet:
    """The currently decided set, and its decision's version."""

    in_sync_set: InSyncSet
    version: int


class ReplicaManager:
    """Manages the in-sync sets of all replicated volumes; start `run` in a task group."""

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
        """`client` sends operations to nodes; call `on_node_list` with each node list.

        `incarnation` identifies this run of the planner in the request ids sent to nodes.
        """
        self._placements, self._runtime, self._settings = placements, runtime, settings
        self._regions, self._clock, self._log = regions, clock, log
        pacer = RepairPacer(
            max_time_share=settings.repair_share,
            max_operations_per_s=settings.repair_rate,
            busy_load=settings.repair_busy_load,
            pause_ms=settings.repair_pause_ms,
        )
        self._client = PacedNodeClient(client, pacer, clock, incarnation)
        self._decisions = SetDecisions(runtime, settings.lease_ms)
        self._admin = AdminEndpoint(placements, self._decisions, self._client, log)
        self._observations: dict[str, _ShardObservations] = {}  # by topic
        self._counts: dict[str, int] = {}
        self._logged_problems: set[str] = set()

    def on_node_list(self, report: NodeList) -> None:
        """Update the known nodes from a node list."""
        self._client.on_node_list(report)

    async def handle(self, exchange: Exchange) -> None:
        """Serve a request to /v1/copies."""
        await self._admin.handle(exchange)

    def status(self) -> dict[str, object]:
        """Return event counts and the number of ready nodes, for the admin port."""
        return {"counts": dict(self._counts), "nodes": len(self._client.nodes)}

    async def run(self) -> None:
        """Check every shard each poll interval until cancelled; does nothing while another planner leads."""
        while True:
            await anyio.sleep(self._settings.poll_interval_ms / 1000)
            if not self._runtime.is_leader:
                self._observations.clear()
                continue
            for volume, placement in sorted(self._placements.items()):
                for index in range(len(placement.shards)):
                    await self._check_and_log(ReplicatedShard(volume, index, placement))

    async def _check_and_log(self, shard: ReplicatedShard) -> None:
        try:
            await self._check_shard(shard)
        except UNDECIDED_ERRORS:
            pass  # another change was decided first, or there is no quorum: the next check tries again
        except CressrockError as error:
            problem = f"{shard.volume}/{shard.index} {error.code}"
            if problem not in self._logged_problems and len(self._logged_problems) < MAX_LOGGED_PROBLEMS:
                self._logged_problems.add(problem)
                self._log.warning(
                    "replication.shard_check_failed", volume=shard.volume, shard=shard.index, **error.fields()
                )

    # --- one shard

    async def _check_shard(self, shard: ReplicatedShard) -> None:
        """Check a shard's set and make at most one change, the most urgent.

        In order of urgency: create the set, replace a lost primary, then go through the replicas by zone to
        reset eviction counts or repair.
        """
        current = await self._current_set(shard)
        if current is None:
            await self._decide_initial_set(shard)
            return
        replicas = current.in_sync_set.replicas
        observations = self._observations.setdefault(shard.topic, _ShardObservations())
        now_ms = self._clock()
        by_key = {(replica.zone, replica.state, replica.evictions): replica for replica in replicas}
        observations.in_state_since_ms = {
            key: observations.in_state_since_ms.get(key, now_ms) for key in by_key
        }
        if await self._replace_lost_primary(shard, current):
            return
        settings = self._settings
        for key, replica in sorted(by_key.items()):
            in_state_ms = now_ms - observations.in_state_since_ms[key]
            if replica.state is ReplicaState.IN_SYNC:
                if replica.evictions and in_state_ms >= settings.forget_evictions_ms:
                    new = transitions.reset_evictions(current.in_sync_set, replica.zone)
                    await self._decisions.decide(shard.topic, new, current.version)
                    return
                continue
            delay_ms = transitions.rejoin_delay_ms(
                replica.evictions, settings.min_rejoin_delay_ms, settings.max_rejoin_delay_ms
            )
            is_joining = replica.state is ReplicaState.JOINING
            if is_joining or not replica.evictions or in_state_ms >= delay_ms:
                if await self._repair(shard, current, replica.zone):
                    return

    async def _current_set(self, shard: ReplicatedShard) -> _DecidedSet | None:
        known = known_set(self._runtime.decision_cache, shard.topic)
        if known.in_sync_set is not None and known.is_current:
            return _DecidedSet(known.in_sync_set, known.version)
        decision = await self._decisions.read(shard.topic)
        return _DecidedSet(decode_set(decision.value), decision.version) if decision is not None else None

    def _count(self, event: str, count: int = 1) -> None:
        self._counts[event] = self._counts.get(event, 0) + count

    async def _repair(self, shard: ReplicatedShard, current: _DecidedSet, zone: str) -> bool:
        """Repair a replica as far as possible; return whether it rejoined or records were copied."""
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

    def _reports_from_alive(self, node_shard: int) -> dict[str, bytes]:
        """Return the reachability reports on a node shard from processes that are alive, by process name."""
        alive = {
            (member.name, member.process_incarnation)
            for member in self._runtime.members()
            if member.state is MemberState.ALIVE
        }
        reports = self._runtime.gossip.values(f"{reachability.REACHABILITY_KEY_PREFIX}{node_shard}")
        return {origin[0]: report for origin, report in reports.items() if tuple(origin[:2]) in alive}

    async def _replace_lost_primary(self, shard: ReplicatedShard, current: _DecidedSet) -> bool:
        """Replace the primary if it is lost; return whether a new set was decided."""
        in_sync_set = current.in_sync_set
        primary = in_sync_set.primary
        if not await self._is_primary_lost(shard, in_sync_set):
            return False
        order = [z for z in by_distance(in_sync_set.read_zones, primary, self._regions) if z != primary]
        # If all other replicas are reported unreachable as well (all nodes drain, for example), replacing the
        # primary would only shrink the set.
        reachable = [
            z for z in order if not reachability.is_lost(self._reports_from_alive(shard.node_shard(z)), 1)
        ]
        if order and not reachable:
            return False
        new = transitions.replace_primary(in_sync_set, primary, reachable)
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
        reports = self._reports_from_alive(shard.node_shard(primary))
        if reachability.is_lost(reports, self._settings.min_witnesses):
            return True
        if reachability.OTHER_STORE not in reports.values():
            return False
        replica = in_sync_set.replica(primary)
        role = operation_at(in_sync_set, primary, OperationKind.INSPECT).role
        store_id = await self._client.store_id(shard, primary, role)
        return replica is not None and store_id is not None and store_id != replica.store_id

    async def _decide_initial_set(self, shard: ReplicatedShard) -> None:
        """Create the set once every replica has reported its store id and that it knows no set.

        Raises TransitionNotAllowedError where a replica already knows a set.
        """
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
