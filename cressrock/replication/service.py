"""A gateway's side of replication: serves the operations of volumes that have replicas."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from msgspec import Struct

from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.operation import Reply, Result
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import Denial
from cressrock.interface import Node, NodeState
from cressrock.replication import node_protocol
from cressrock.replication.in_sync_set import InSyncSet, ReplicaState, by_distance
from cressrock.replication.known_set import (
    KnownSet,
    ReplicaPlacement,
    ReplicatedShard,
    SetReport,
    known_set,
    report_sets,
)
from cressrock.replication.operations import Disposition, OperationOutcome, RequestSteps
from cressrock.replication.reachability import ReachabilityTracker
from cressrock.replication.read import read_replicated
from cressrock.replication.shard_request import (
    READ_METHODS,
    ClusterRuntime,
    DeadlineShares,
    RequestEnvironment,
    Send,
    ShardRequest,
)
from cressrock.replication.write import write_replicated

Choose = Callable[[Sequence[str], float, float], Sequence[str]]


class ReplicationReport(Struct):
    """What the gateway's admin port reports."""

    sets: dict[str, SetReport | None]  # by topic
    counts: dict[str, int]


class ReplicatedVolumes:
    """Serves the operations of volumes that have replicas."""

    def __init__(
        self,
        placements: Mapping[str, ReplicaPlacement],
        runtime: ClusterRuntime,
        shares: DeadlineShares,
        reachability: ReachabilityTracker,
        *,
        zone: str,
        regions: dict[str, str],
        clock: Callable[[], float],
        log: Any,
        retry_after_ms: float,
        choose: Choose | None = None,
    ) -> None:
        """`zone` is this process's own.

        `choose(zones, units, now_ms)` orders zones that are in sync for a read; without it the nearest come
        first, those that this process cannot reach last.
        """
        self._placements, self._reachability, self._clock = placements, reachability, clock
        self._zone, self._regions = zone, regions
        self._retry_after_ms = retry_after_ms
        self._choose = choose or self._nearest
        self._environment = RequestEnvironment(runtime, shares, reachability, clock, log)
        self._latest_sets: dict[str, InSyncSet] = {}  # by topic: the newest that a request worked under

    def is_replicated(self, volume: str) -> bool:
        """Whether a volume has replicas."""
        return volume in self._placements

    def _nearest(self, zones: Sequence[str], units: float, now_ms: float) -> Sequence[str]:
        return by_distance(zones, self._zone, self._regions)

    # --- one operation of a client

    async def perform(
        self,
        volume: str,
        shard: int,
        key: str,
        method: str,
        units: float,
        body: Any,
        media: bytes,
        send: Send,
        deadline: float,
    ) -> Result:
        """Do an operation at a shard's replicas and return its one result."""
        placement = self._placements[volume]
        replicated = ReplicatedShard(volume, placement.shards.index(shard), placement)
        request = ShardRequest(self._environment, replicated, key, method, send, deadline)
        known = self._known_set(replicated)
        if known.in_sync_set is not None:
            self._reset_readmitted(replicated, known.in_sync_set)
        if method in READ_METHODS:
            if known.in_sync_set is None:
                return self._rejection()
            order = self._read_order(replicated, known.in_sync_set, units)
            request.is_first_step = len(order) > 1  # a share of the time is left for another replica
            steps = read_replicated(known.in_sync_set, order, lease_valid=known.is_current)
        else:
            payload = node_protocol.Payload(body, media) if body is not None else None
            steps = self._write(replicated, known, payload)
        outcome = await request.run(steps)
        access = "read" if method in READ_METHODS else "write"
        self._environment.count(f"{access} {outcome.disposition.value}")
        return self._answer(request, outcome)

    def _known_set(self, shard: ReplicatedShard) -> KnownSet:
        known = known_set(self._environment.runtime.decision_cache, shard.topic)
        if known.in_sync_set is not None:
            zones = set(known.in_sync_set.zones_in(*ReplicaState))
            if not zones <= set(shard.placement.zones):
                return KnownSet(None)  # decided under other settings; a restart with these is still to come
        return known

    def _read_order(self, shard: ReplicatedShard, in_sync_set: InSyncSet, units: float) -> list[str]:
        now_ms = self._clock()
        order = list(self._choose(in_sync_set.read_zones, units, now_ms))
        order.sort(key=lambda zone: self._reachability.is_unreachable(shard.node_shard(zone), now_ms))
        return order

    def _write(
        self, shard: ReplicatedShard, known: KnownSet, payload: node_protocol.Payload | None
    ) -> RequestSteps:
        now_ms = self._clock()
        zones = known.in_sync_set.write_zones if known.in_sync_set is not None else ()
        unreachable = [z for z in zones if self._reachability.is_unreachable(shard.node_shard(z), now_ms)]
        in_sync_set = known.in_sync_set if known.is_current else None
        return write_replicated(in_sync_set, payload, unreachable=unreachable)

    def _answer(self, request: ShardRequest, outcome: OperationOutcome) -> Result:
        """Return the client's result; streams that are not answered are abandoned."""
        result = outcome.result
        is_answer = outcome.disposition is Disposition.ANSWER and result is not None
        answered = result.reply if is_answer and result is not None else None
        for reply in request.replies:
            if reply is not answered and reply.stream is not None:
                reply.stream.abandon()
        if isinstance(answered, Reply):
            return answered
        denial = result.denial if result is not None else None
        is_rejected = outcome.disposition is Disposition.REJECTED
        verdict = Verdict.REJECTED if is_rejected else Verdict.FAILED
        if isinstance(denial, Denial) and denial.verdict is verdict:
            return denial
        return self._rejection() if is_rejected else Denial(verdict, Reason.COPIES_RUN)

    def _reset_readmitted(self, shard: ReplicatedShard, in_sync_set: InSyncSet) -> None:
        """Try replicas again that a newer set lets join."""
        former = self._latest_sets.get(shard.topic)
        if former is not None and former.epoch >= in_sync_set.epoch:
            return
        self._latest_sets[shard.topic] = in_sync_set
        for replica in in_sync_set.replicas:
            before = former.replica(replica.zone) if former is not None else None
            was_out = before is not None and before.state is ReplicaState.OUT_OF_SYNC
            if was_out and replica.state is not ReplicaState.OUT_OF_SYNC:
                self._reachability.reset(shard.node_shard(replica.zone))

    def _rejection(self) -> Denial:
        return Denial(Verdict.REJECTED, Reason.COPIES, self._retry_after_ms)

    # --- what others learn

    def on_node_list(self, nodes: Iterable[Node]) -> None:
        """Receive the nodes that the list names now."""
        ready = {node.shard for node in nodes if node.state is NodeState.READY}
        self._reachability.record_node_list(ready, set(self._node_shards()), self._clock())

    def _node_shards(self) -> list[int]:
        return [
            shard
            for placement in self._placements.values()
            for shards in placement.zones.values()
            for shard in shards
        ]

    def reachability_reports(self, is_doubted: Callable[[int], bool]) -> dict[int, bytes]:
        """Return what to report of each shard; `is_doubted`: somebody reports it as unreachable."""
        now_ms = self._clock()
        reports = {
            shard: self._reachability.report(shard, now_ms, is_doubted(shard))
            for shard in self._node_shards()
        }
        return {shard: report for shard, report in reports.items() if report is not None}

    def status(self) -> ReplicationReport:
        """Return what stands of each shard, and what was counted, for the admin port."""
        sets = report_sets(self._environment.runtime.decision_cache, self._placements)
        return ReplicationReport(sets, dict(self._environment.counts))
