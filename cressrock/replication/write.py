"""A client's write at a shard's replicas, as a pure state machine.

A write goes to the primary under the set's epoch, which orders it by a version, then to the other replicas
with that version.  It is acknowledged when all replicas that take writes have it.  Once something may have
run, a write is acknowledged or failed, never rejected.
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
    unanswered,
)
from cressrock.replication.propagation import MAX_SETS_PER_REQUEST, Propagation
from cressrock.replication.records import Record

CHANGED_STATUS = (201, 204)  # of an answer to a request that changed something


def write_replicated(
    in_sync_set: InSyncSet | None,
    payload: Any = None,
    rules: SafetyRules = DEFAULT_SAFETY_RULES,
    unreachable: Sequence[str] = (),
) -> RequestSteps:
    """Write under the set that stands; None: no decision counts here, so nothing may be written.

    Replicas in zones that are known as `unreachable` are evicted before anything is sent: without a decision
    the write is then rejected, and leaves nothing half-done that reads would have to wait for.
    """
    if in_sync_set is None:
        return reject("no-decree")
    if in_sync_set.primary in unreachable:
        # Danger: an edge that reaches nobody would evict all but the primary, for everybody.
        return reject("first-copy")
    lost = tuple(zone for zone in in_sync_set.write_zones if zone in unreachable)
    current: InSyncSet | None = in_sync_set
    if lost and rules.evict_before_ack:
        current = yield EvictReplicas(lost, in_sync_set)
        if current is None:
            return reject("no-decree")
    assert current is not None
    ordered = yield from _order_at_primary(current, payload)
    if isinstance(ordered, OperationOutcome):
        return ordered
    return (yield from _finish(ordered, payload, rules))


class _Ordered(NamedTuple):
    """The primary's answer, and the set it was done under."""

    in_sync_set: InSyncSet
    result: ReplicaResult


def _finish(ordered: _Ordered, payload: Any, rules: SafetyRules) -> RequestSteps:
    """Bring what the primary ordered, or what its answer rests on, to all replicas, and answer."""
    in_sync_set, result = ordered
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
        # What was answered rests on a write that others lack: telling it would promise what may be gone.
        return fail("copies", result) if changed else reject("unsettled", result)
    return answer(result)


def _order_at_primary(
    in_sync_set: InSyncSet, payload: Any
) -> Generator[Action, Any, OperationOutcome | _Ordered]:
    """Have the primary do the client's operation; return its answer with the set it was done under."""
    for _ in range(MAX_SETS_PER_REQUEST):
        (result,) = yield PerformOperations(
            (operation_at(in_sync_set, in_sync_set.primary, OperationKind.CLIENT, payload=payload),)
        )
        if result.rejection is None:
            break
        # The fence: this edge's set is an older one, or the node's store is not the one that it names.
        other_store = result.rejection is Rejection.OTHER_STORE
        newer = yield RefreshSet(max(result.epoch, in_sync_set.epoch + other_store))
        if newer is None:
            return reject(result.rejection.value)
        in_sync_set = newer
    else:
        return reject("sets-change")
    if result.reply is None:
        return unanswered("first-copy", result)
    if result.failed:
        return fail("first-copy", result)
    return _Ordered(in_sync_set, result)
