"""Drives the state machine of one client's request: executes its actions as storage operations and decisions.

The state machine determines what is sent where, the council which set is current, and the settings how long a
step may take.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio

from cressrock.consensus.client import ConsensusClient
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.operation import Reply, Result
from cressrock.dispatch.transport import Denial
from cressrock.errors.consensus import (
    DecisionConflictError,
    DecisionTooLargeError,
    InvalidDecisionError,
    NoQuorumError,
    RequestForgottenError,
)
from cressrock.errors.replication import TransitionNotAllowedError
from cressrock.http.channel import Headers, header
from cressrock.replication import node_protocol, transitions
from cressrock.replication.headers import Rejection
from cressrock.replication.in_sync_set import InSyncSet, encode_set
from cressrock.replication.known_set import ReplicatedShard, known_set
from cressrock.replication.operations import (
    Action,
    EvictReplicas,
    FetchRecord,
    MarkCommitted,
    OperationKind,
    OperationOutcome,
    PerformOperations,
    RefreshSet,
    ReplicaOperation,
    ReplicaResult,
    RequestSteps,
)
from cressrock.replication.reachability import ReachabilityTracker
from cressrock.replication.records import Record, Version

READ_METHODS = frozenset({"GET", "HEAD", "PROPFIND"})
WRITE_METHODS = frozenset({"PUT", "DELETE", "MKCOL"})
MAX_PENDING_COMMITS = 64  # for one replica: committed versions waiting to be sent with its next operations
MAX_REFRESH_PAUSE_MS = 50.0  # between reads of a decision that another process is making

FetchedRecord = tuple[Record, node_protocol.Payload]


class ClusterRuntime(Protocol):
    """One process's decisions and consensus client (`cressrock.runtime`)."""

    @property
    def decision_cache(self) -> DecisionCache:
        """The process's cache of decisions."""

    @property
    def consensus(self) -> ConsensusClient | None:
        """Client of the council, None if the process has none."""


@dataclass(frozen=True, slots=True)
class DeadlineShares:
    """How a request's remaining time is divided, as fractions; other times in ms.  See the settings."""

    first_step: float
    following_steps: float
    eviction_pause_ms: float
    consensus_timeout_ms: float
    lease_ms: float


class Send(Protocol):
    """Performs one ordinary storage operation, with its own attempts and retry budget."""

    async def __call__(
        self,
        shard: int,
        method: bytes | None,
        key: str | None,
        headers: Headers,
        body: Any,
        deadline: float,
        *,
        collect: bool = False,
    ) -> Result:
        """Send to a node shard and return the result.

        `method` and `key` None stand for the client's own, with its header fields.  `deadline` is in ms on
        the clock of `RequestEnvironment`.  With `collect` the response's payload is not streamed.
        """


@dataclass(slots=True)
class RequestEnvironment:
    """State shared by all requests of one process."""

    runtime: ClusterRuntime
    shares: DeadlineShares
    reachability: ReachabilityTracker
    clock: Callable[[], float]
    log: Any
    counts: dict[str, int] = field(default_factory=dict)  # by event, for the admin port
    # By topic and zone: versions that all replicas have, of which the zone's node is still to be notified.
    pending_commits: dict[tuple[str, str], deque[Version]] = field(default_factory=dict)

    def count(self, event: str) -> None:
        """Increment an event's count."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def add_commit(self, topic: str, zone: str, version: Version) -> None:
        """Queue a committed version for a replica; beyond MAX_PENDING_COMMITS the oldest is dropped."""
        pending = self.pending_commits.setdefault((topic, zone), deque(maxlen=MAX_PENDING_COMMITS))
        pending.append(version)

    def drain_commits(self, topic: str, zone: str) -> list[Version]:
        """Remove and return the next committed versions for a replica, as many as one operation carries."""
        pending = self.pending_commits.get((topic, zone))
        if not pending:
            return []
        count = min(len(pending), node_protocol.MAX_COMMITTED_VERSIONS)
        return [pending.popleft() for _ in range(count)]


@dataclass(slots=True)
class ShardRequest:
    """One client's request at the replicas of one shard."""

    environment: RequestEnvironment
    shard: ReplicatedShard
    key: str
    method: str
    send: Send
    deadline_ms: float
    is_first_step: bool = True
    # Replies that have streams; at most one is passed to the client.
    replies: list[Reply] = field(default_factory=list)

    async def run(self, steps: RequestSteps) -> OperationOutcome:
        """Run a state machine to its end and return its outcome."""
        value: Any = None
        while True:
            try:
                action = steps.send(value)
            except StopIteration as stop:
                outcome: OperationOutcome = stop.value
                return outcome
            value = await self._execute(action)

    async def _execute(self, action: Action) -> Any:
        match action:
            case PerformOperations(operations):
                return await self._perform(operations)
            case FetchRecord(operation):
                return await self._fetch(operation)
            case EvictReplicas(zones, in_sync_set):
                return await self._evict(zones, in_sync_set)
            case RefreshSet(min_epoch):
                return await self._refresh(min_epoch)
            case MarkCommitted(in_sync_set, version):
                for zone in in_sync_set.write_zones:
                    self.environment.add_commit(self.shard.topic, zone, version)
        return None

    # --- operations

    def _step_deadline_ms(self, operations: Sequence[ReplicaOperation]) -> float:
        """Return the deadline of the next step: the time left is divided among the steps to come."""
        now_ms = self.environment.clock()
        is_read = self.method in READ_METHODS and operations[0].kind is OperationKind.CLIENT
        if is_read and not self.is_first_step:
            return self.deadline_ms
        shares = self.environment.shares
        share = shares.first_step if self.is_first_step else shares.following_steps
        self.is_first_step = False
        return now_ms + (self.deadline_ms - now_ms) * share

    async def _perform(self, operations: Sequence[ReplicaOperation]) -> list[ReplicaResult]:
        deadline_ms = self._step_deadline_ms(operations)
        if len(operations) == 1:
            return [await self._perform_one(operations[0], deadline_ms)]
        results: dict[int, ReplicaResult] = {}

        async def perform(index: int, operation: ReplicaOperation) -> None:
            results[index] = await self._perform_one(operation, deadline_ms)

        async with anyio.create_task_group() as tasks:
            for index, operation in enumerate(operations):
                tasks.start_soon(perform, index, operation)
        return [results[index] for index in range(len(operations))]

    async def _perform_one(self, operation: ReplicaOperation, deadline_ms: float) -> ReplicaResult:
        environment = self.environment
        shard = self.shard.node_shard(operation.zone)
        is_client = operation.kind is OperationKind.CLIENT
        key = None if is_client or operation.record is None else operation.record.path
        payload = operation.payload
        body = payload.body if isinstance(payload, node_protocol.Payload) else None
        method = None if is_client else node_protocol.operation_method(operation)
        commits = environment.drain_commits(self.shard.topic, operation.zone)
        headers = node_protocol.operation_headers(operation, commits)
        reply = await self.send(shard, method, key, headers, body, deadline_ms)
        if isinstance(reply, Denial):
            # A denial may only mean that a busy replica was not scheduled in time; whether the replica is
            # unreachable is judged by attempts.
            return ReplicaResult(
                may_have_run=reply.verdict is not Verdict.REJECTED,
                unreachable=environment.reachability.is_unreachable(shard, environment.clock()),
                denial=reply,
            )
        if reply.stream is not None:
            self.replies.append(reply)
        result = node_protocol.parse_result(reply, reply.status, reply.headers, key or self.key)
        environment.reachability.record_store(shard, other=result.rejection is Rejection.OTHER_STORE)
        if result.rejection is not None:
            environment.count(f"refused {result.rejection.value}")
        return result

    async def _fetch(self, operation: ReplicaOperation) -> FetchedRecord | None:
        """Read a record and its complete payload; None on failure."""
        assert operation.record is not None
        path = operation.record.path
        deadline_ms = self._step_deadline_ms((operation,))
        shard = self.shard.node_shard(operation.zone)
        headers = node_protocol.set_headers(operation)
        reply = await self.send(shard, b"GET", path, headers, None, deadline_ms, collect=True)
        if not isinstance(reply, Reply) or reply.status != 200:
            return None
        result = node_protocol.parse_result(reply, reply.status, reply.headers, path)
        if result.record is None or result.rejection is not None or result.record.path != path:
            return None
        body = reply.payload if reply.payload is not None else reply.body
        media = header(reply.headers, b"content-type") or b""
        return result.record, node_protocol.Payload(body, media)

    # --- the council

    def _cached_set(self, min_epoch: int) -> InSyncSet | None:
        known = known_set(self.environment.runtime.decision_cache, self.shard.topic)
        in_sync_set = known.in_sync_set
        if in_sync_set is not None and known.is_current and in_sync_set.epoch >= min_epoch:
            return in_sync_set
        return None

    def _consensus_timeout_ms(self) -> float:
        environment = self.environment
        return min(environment.shares.consensus_timeout_ms, self.deadline_ms - environment.clock())

    async def _refresh(self, min_epoch: int) -> InSyncSet | None:
        """Return a set of at least this epoch, from the cache or the council; None if not in time."""
        environment = self.environment
        expires_at_ms = environment.clock() + self._consensus_timeout_ms()
        while (in_sync_set := self._cached_set(min_epoch)) is None:
            remaining_ms = expires_at_ms - environment.clock()
            if remaining_ms <= 0 or environment.runtime.consensus is None:
                return None
            try:
                await environment.runtime.consensus.read(self.shard.topic, timeout_ms=remaining_ms)
            except (NoQuorumError, InvalidDecisionError):
                # The set cannot be obtained in time; the state machine decides what that means.
                return None
            if (in_sync_set := self._cached_set(min_epoch)) is not None:
                return in_sync_set
            await anyio.sleep(min(MAX_REFRESH_PAUSE_MS, max(1.0, remaining_ms)) / 1000)
        return in_sync_set

    async def _evict(self, zones: tuple[str, ...], in_sync_set: InSyncSet) -> InSyncSet | None:
        """Evict replicas by a decision; return the set decided then, or None if none was in time."""
        environment, topic = self.environment, self.shard.topic
        known = known_set(environment.runtime.decision_cache, topic)
        if known.in_sync_set is None or known.in_sync_set.epoch != in_sync_set.epoch:
            return self._cached_set(in_sync_set.epoch + 1)
        new = in_sync_set
        try:
            for zone in zones:
                new = transitions.evict(new, zone)
        except TransitionNotAllowedError:
            # Another process has changed the set in the meantime.
            return await self._refresh(in_sync_set.epoch + 1)
        started_at_ms = environment.clock()
        try:
            await self._decide(new, known.version)
        except DecisionConflictError:
            return await self._refresh(in_sync_set.epoch + 1)
        except (NoQuorumError, RequestForgottenError, DecisionTooLargeError, InvalidDecisionError) as error:
            environment.log.warning(
                "replication.replica_not_evicted", topic=topic, zones=zones, **error.fields()
            )
            return None
        environment.count("put out")
        duration_ms = round(environment.clock() - started_at_ms, 1)
        environment.log.warning(
            "replication.replica_evicted", topic=topic, zones=zones, epoch=new.epoch, duration_ms=duration_ms
        )
        # Other processes may still read from the evicted replicas.  The pause lets them receive the new set,
        # so that reads after this write's acknowledgement return it.
        pause_ms = min(environment.shares.eviction_pause_ms, self.deadline_ms - environment.clock())
        await anyio.sleep(max(0.0, pause_ms) / 1000)
        return new

    async def _decide(self, new: InSyncSet, version: int) -> None:
        """Propose a set in place of the decision with this version.  Raises ConsensusError."""
        consensus = self.environment.runtime.consensus
        if consensus is None:
            raise NoQuorumError("this process has no connection to the council")
        await consensus.decide(
            self.shard.topic,
            encode_set(new),
            self.environment.shares.lease_ms,
            version,
            timeout_ms=self._consensus_timeout_ms(),
        )
