"""A client's write at a shard's replicas, as a pure state machine.

A write goes under the set's epoch to the primary, which assigns it a version, then with that version to the
other replicas.  It is acknowledged once all replicas that take writes have it.  A write that may have been
executed anywhere is acknowledged or failed, never rejected.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from typing import Any, NamedTuple

from cressrock.replication.headers import Rejection
from cressrock.replication.in_sync_set import InSyncSet
from cressrock.replication.operations import (
    DEFAULT_SAFETY_RULES,
    Action,
    EvictReplicas,
    OperationKind,
    OperationOutcome,
    PerformOperations,
    RefreshSet,
    ReplicaResult,
    RequestSteps,
    SafetyRules,
    answer,
    fail,
    operation_at,
    reject,
    reject_or_fail,
)
from cressrock.replication.propagation import MAX_SETS_PER_REQUEST, Propagation
from cressrock.replication.records import Record

CHANGED_STATUS = (201, 204)  # statuses of a response to a request that changed something


def write_replicated(
    in_sync_set: InSyncSet | None,
    payload: Any = None,
    rules: SafetyRules = DEFAULT_SAFETY_RULES,
    unreachable: Sequence[str] = (),
) -> RequestSteps:
    """Write under the current set; None: no unexpired decision is known, so nothing may be written.

    Replicas in `unreachable` zones are evicted before anything is sent: if that decision fails, the write is
    rejected and leaves no partial write that reads would have to settle.
    """
    if in_sync_set is None:
        return reject("no-decree")
    if in_sync_set.primary in unreachable:
        # Otherwise an edge that reaches no node would evict all replicas but the primary, for every edge.
        return reject("first-copy")
    lost = tuple(zone for zone in in_sync_set.write_zones if zone in unreachable)
    current: InSyncSet | None = in_sync_set
    if lost and rules.evict_before_ack:
        current = yield EvictReplicas(lost, in_sync_set)
        if current is None:
            return reject("no-decree")
    assert current is not None
    primary_result = yield from _perform_at_primary(current, payload)
    if isinstance(primary_result, OperationOutcome):
        return primary_result
    return (yield from _propagate_and_answer(primary_result, payload, rules))


class _PrimaryResult(NamedTuple):
    """The primary's result, and the set under which it was performed."""

    in_sync_set: InSyncSet
    result: ReplicaResult


def _propagate_and_answer(primary_result: _PrimaryResult, payload: Any, rules: SafetyRules) -> RequestSteps:
    """Bring the record that the primary wrote, or its response depends on, to all replicas; then answer."""
    in_sync_set, result = primary_result
    record: Record | None = result.record
    if record is None:
        return answer(result)
    changed = getattr(result.reply, "status", 0) in CHANGED_STATUS
    if not changed and (record.committed or not rules.settle_reads):
        return answer(result)
    propagation = Propagation(
        record, in_sync_set.primary, rules, is_write=changed, payload=payload if changed else None
    )
    done = yield from propagation.run(in_sync_set)
    if done is None:
        # The response depends on a write that other replicas lack and that could still be lost.
        return fail("copies", result) if changed else reject("unsettled", result)
    return answer(result)


def _perform_at_primary(
    in_sync_set: InSyncSet, payload: Any
) -> Generator[Action, Any, OperationOutcome | _PrimaryResult]:
    """Perform the client's operation at the primary; return its result and the set that applied then."""
    for _ in range(MAX_SETS_PER_REQUEST):
        (result,) = yield PerformOperations(
            (operation_at(in_sync_set, in_sync_set.primary, OperationKind.CLIENT, payload=payload),)
        )
        if result.rejection is None:
            break
        # Fenced: this edge's set is outdated, or the node's store is not the one that the set names.
        other_store = result.rejection is Rejection.OTHER_STORE
        newer = yield RefreshSet(max(result.epoch, in_sync_set.epoch + other_store))
        if newer is None:
            return reject(result.rejection.value)
        in_sync_set = newer
    else:
        return reject("sets-change")
    if result.reply is None:
        return reject_or_fail("first-copy", result)
    if result.failed:
        return fail("first-copy", result)
    return _PrimaryResult(in_sync_set, result)
