"""A gateway's side of replication: serves clients' operations on replicated volumes."""

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

OrderZones = Callable[[Sequence[str], float, float], Sequence[str]]


class ReplicationReport(Struct):
    """Replication's state as reported by the gateway's admin port."""

    sets: dict[str, SetReport | None]  # by topic
    counts: dict[str, int]  # by event


class ReplicatedVolumes:
    """Serves clients' operations on replicated volumes."""

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
        choose: OrderZones | None = None,
    ) -> None:
        """`zone` is this process's own; `clock` returns ms.

        `choose(zones, units, now_ms)` orders the in-sync zones for a read; the default orders them by
        distance.  In either case zones that this process cannot reach come last.
        """
        self._placements, self._reachability, self._clock = placements, reachability, clock
        self._zone, self._regions = zone, regions
        self._retry_after_ms = retry_after_ms
        self._order_zones = choose or self._nearest
        self._environment = RequestEnvironment(runtime, shares, reachability, clock, log)
        self._latest_sets: dict[str, InSyncSet] = {}  # by topic: the newest set used by a request

    def is_replicated(self, volume: str) -> bool:
        """Whether a volume is replicated."""
        return volume in self._placements

    def _nearest(self, zones: Sequence[str], units: float, now_ms: float) -> Sequence[str]:
        return by_distance(zones, self._zone, self._regions)

    # --- a client's operation

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
        """Perform a client's operation at a shard's replicas and return its result.

        `send` performs one storage operation; `deadline` is in ms on this object's clock.
        """
        placement = self._placements[volume]
        replicated = ReplicatedShard(volume, placement.shards.index(shard), placement)
        request = ShardRequest(self._environment, replicated, key, method, send, deadline)
        known = self._known_set(replicated)
        if known.in_sync_set is not None:
            self._clear_failures_of_readmitted(replicated, known.in_sync_set)
        if method in READ_METHODS:
            if known.in_sync_set is None:
                return self._rejection()
            order = self._read_order(replicated, known.in_sync_set, units)
            request.is_first_step = len(order) > 1  # reserves a share of the time for another replica
            steps = read_replicated(known.in_sync_set, order, lease_valid=known.is_current)
        else:
            payload = node_protocol.Payload(body, media) if body is not None else None
            steps = self._write(replicated, known, payload)
        outcome = await request.run(steps)
        access = "read" if method in READ_METHODS else "write"
        self._environment.count(f"{access} {outcome.disposition.value}")
        return self._client_result(request, outcome)

    def _known_set(self, shard: ReplicatedShard) -> KnownSet:
        known = known_set(self._environment.runtime.decision_cache, shard.topic)
        if known.in_sync_set is not None:
            zones = set(known.in_sync_set.zones_in(*ReplicaState))
            if not zones <= set(shard.placement.zones):
                # Decided under other settings, with which this process has yet to restart.
                return KnownSet(None)
        return known

    def _read_order(self, shard: ReplicatedShard, in_sync_set: InSyncSet, units: float) -> list[str]:
        now_ms = self._clock()
        order = list(self._order_zones(in_sync_set.read_zones, units, now_ms))
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

    def _client_result(self, request: ShardRequest, outcome: OperationOutcome) -> Result:
        """Return the client's result; abandon the streams of other responses."""
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

    def _clear_failures_of_readmitted(self, shard: ReplicatedShard, in_sync_set: InSyncSet) -> None:
        """Clear the failures of replicas that a newer set has let join again."""
        previous = self._latest_sets.get(shard.topic)
        if previous is not None and previous.epoch >= in_sync_set.epoch:
            return
        self._latest_sets[shard.topic] = in_sync_set
        for replica in in_sync_set.replicas:
            previous_replica = previous.replica(replica.zone) if previous is not None else None
            was_out = previous_replica is not None and previous_replica.state is ReplicaState.OUT_OF_SYNC
            if was_out and replica.state is not ReplicaState.OUT_OF_SYNC:
                self._reachability.clear_failures(shard.node_shard(replica.zone))

    def _rejection(self) -> Denial:
        return Denial(Verdict.REJECTED, Reason.COPIES, self._retry_after_ms)

    # --- node list, reports and status

    def on_node_list(self, nodes: Iterable[Node]) -> None:
        """Update reachability from the nodes that are listed now."""
        ready = {node.shard for node in nodes if node.state is NodeState.READY}
        self._reachability.record_node_list(ready, set(self._node_shards()), self._clock())

    def _node_shards(self) -> list[int]:
        return [
            shard
            for placement in self._placements.values()
            for shards in placement.zones.values()
            for shard in shards
        ]

    def reachability_reports(self, has_reports: Callable[[int], bool]) -> dict[int, bytes]:
        """Return this process's report on each shard, where it has one.

        `has_reports` tells whether any process has a report on a shard.
        """
        now_ms = self._clock()
        reports = {
            shard: self._reachability.report(shard, now_ms, has_reports(shard))
            for shard in self._node_shards()
        }
        return {shard: report for shard, report in reports.items() if report is not None}

    def status(self) -> ReplicationReport:
        """Return each shard's set and the event counts, for the admin port."""
        sets = report_sets(self._environment.runtime.decision_cache, self._placements)
        return ReplicationReport(sets, dict(self._environment.counts))
