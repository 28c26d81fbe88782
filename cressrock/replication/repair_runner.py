"""Executes the plans of `repair` by paced operations at nodes and consensus decisions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from cressrock.consensus.decisions import Decision
from cressrock.errors.consensus import (
    DecisionConflictError,
    DecisionTooLargeError,
    InvalidDecisionError,
    NoQuorumError,
    RequestForgottenError,
)
from cressrock.errors.replication import InvalidSetError
from cressrock.http.channel import header
from cressrock.replication import node_protocol
from cressrock.replication.headers import AFTER_HEADER, MISSING_SINCE_HEADER
from cressrock.replication.in_sync_set import InSyncSet
from cressrock.replication.known_set import ReplicatedShard
from cressrock.replication.operations import (
    FetchRecord,
    PerformOperations,
    ReplicaOperation,
    ReplicaResult,
)
from cressrock.replication.paced_client import PacedNodeClient, reply_body
from cressrock.replication.records import FILE_KIND, Record, RecordPage, decode_page
from cressrock.replication.repair import (
    InspectStore,
    ListMissing,
    ProposeSet,
    RepairAction,
    RepairReport,
    repair_replica,
)

# Raised when a proposed set was not decided: it conflicts with another, is invalid, or there is no quorum.
UNDECIDED_ERRORS = (
    DecisionConflictError, NoQuorumError, RequestForgottenError, DecisionTooLargeError, InvalidDecisionError,
)  # fmt: skip

Decide = Callable[
    [str, InSyncSet, int], Awaitable[Decision]
]  # topic, set, version of the decision it replaces
FetchedRecord = tuple[Record, node_protocol.Payload | None]


class RepairRunner:
    """Repairs one replica of one shard."""

    def __init__(self, client: PacedNodeClient, decide: Decide, shard: ReplicatedShard) -> None:
        """`decide` proposes a set in place of the decision with a given version."""
        self._client, self._decide, self._shard = client, decide, shard

    async def run(self, in_sync_set: InSyncSet, version: int, zone: str) -> RepairReport:
        """Repair the replica in `zone`, given the current set and its decision's version.

        Decision errors other than UNDECIDED_ERRORS are raised.
        """
        if self._shard.node_shard(zone) not in self._client.nodes:
            return RepairReport(False, 0, "no ready node")
        plan = repair_replica(in_sync_set, zone)
        value: Any = None
        while True:
            try:
                action = plan.send(value)
            except StopIteration as stop:
                report: RepairReport = stop.value
                return report
            if isinstance(action, ProposeSet):
                try:
                    version = (await self._decide(self._shard.topic, action.new, version)).version
                    value = True
                except UNDECIDED_ERRORS:
                    value = False
            else:
                value = await self._execute(action)

    async def _execute(self, action: RepairAction) -> Any:
        match action:
            case InspectStore(operation):
                return await self._client.store_id(self._shard, operation.zone, operation.role)
            case ListMissing(operation, complete_epoch, after):
                return await self._list_missing(operation, complete_epoch, after)
            case PerformOperations(operations):
                return await self._perform(operations)
            case FetchRecord(operation):
                return await self._fetch(operation)
        return None

    async def _list_missing(
        self, operation: ReplicaOperation, complete_epoch: int, after: str
    ) -> RecordPage | None:
        extra = [
            (MISSING_SINCE_HEADER, str(complete_epoch).encode()),
            (AFTER_HEADER, after.encode().hex().encode()),
        ]
        reply = await self._client.send(self._shard, operation, extra)
        if reply is None or reply.status != 200:
            return None
        try:
            return decode_page(reply.body)
        except InvalidSetError:
            return None  # ends the plan

    async def _perform(self, operations: Sequence[ReplicaOperation]) -> list[ReplicaResult]:
        results = []
        for operation in operations:
            reply = await self._client.send(self._shard, operation)
            if reply is None:
                results.append(ReplicaResult(may_have_run=True))
                continue
            key = operation.record.path if operation.record is not None else ""
            results.append(node_protocol.parse_result(reply, reply.status, reply.headers, key))
        return results

    async def _fetch(self, operation: ReplicaOperation) -> FetchedRecord | None:
        reply = await self._client.send(self._shard, operation, method=b"GET")
        if reply is None or operation.record is None:
            return None
        path = operation.record.path
        result = node_protocol.parse_result(reply, reply.status, reply.headers, path)
        record = result.record
        if result.rejection is not None or record is None or record.path != path:
            return None
        if record.kind != FILE_KIND:
            return record, None
        media = header(reply.headers, b"content-type") or b""
        return (record, node_protocol.Payload(reply_body(reply), media)) if reply.status == 200 else None
