"""A client's read at one of a shard's replicas, as a pure state machine.

What stands at a replica may be a write that not all replicas have yet (*uncommitted*); told to a client, it
could be gone again with that replica.  So the other replicas get it first (*settling*); this is the
write-back of Attiya, Bar-Noy and Dolev (*Sharing Memory Robustly in Message-Passing Systems*, 1995), paid for
by those reads alone that meet a write under way.
"""

from __future__ import annotations

from collections.abc import Sequence

from cressrock.replication.in_sync_set import InSyncSet
from cressrock.replication.operations import (
    DEFAULT_SAFETY_RULES,
    OperationKind,
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
from cressrock.replication.propagation import Propagation
from cressrock.replication.records import NO_VERSION, Version

MAX_REPLICAS_READ = 2  # by one request
MAX_REFRESHES = 2  # of one read's set
MAX_SETTLED_RECORDS = 8  # that one read may have to settle, one above the other


def read_replicated(
    in_sync_set: InSyncSet,
    order: Sequence[str],
    *,
    lease_valid: bool = True,
    rules: SafetyRules = DEFAULT_SAFETY_RULES,
) -> RequestSteps:
    """Read from the first of `order` (zones that are in sync) that can be asked.

    Only where nothing was sent is another replica asked, once.  `lease_valid`: the decision counts; without
    that nothing can be settled, and what is uncommitted is rejected.
    """
    zones = _readable(in_sync_set, order)
    refreshed = 0
    index = 0
    result = ReplicaResult()
    while index < len(zones):
        zone = zones[index]
        (result,) = yield PerformOperations((operation_at(in_sync_set, zone, OperationKind.CLIENT),))
        if result.rejection is not None:
            refreshed += 1
            min_epoch = max(result.epoch, in_sync_set.epoch + 1)
            newer = (yield RefreshSet(min_epoch)) if refreshed <= MAX_REFRESHES else None
            if newer is None:
                index += 1
                continue
            in_sync_set = newer
            zones = _readable(in_sync_set, order) or _readable(in_sync_set, in_sync_set.read_zones)
            index = 0
            continue
        if result.reply is None:
            if result.may_have_run:
                return fail("copy", result)
            index += 1
            continue
        if _is_settled(result) or not rules.settle_reads:
            return answer(result)
        if not lease_valid:
            return reject("unsettled", result)
        return (yield from _settled_read(in_sync_set, zone, result, rules))
    return reject("copies", result)


def _is_settled(result: ReplicaResult) -> bool:
    """Whether an answer rests on nothing that could be gone again with its replica."""
    return result.failed or result.record is None or result.record.committed


def _readable(in_sync_set: InSyncSet, order: Sequence[str]) -> list[str]:
    return [zone for zone in order if zone in in_sync_set.read_zones][:MAX_REPLICAS_READ]


def _settled_read(
    in_sync_set: InSyncSet, zone: str, result: ReplicaResult, rules: SafetyRules
) -> RequestSteps:
    """Bring the uncommitted record to all replicas, and read again until the answer rests on none."""
    committed: dict[str, Version] = {}  # by path, by this read's own settling
    for _ in range(MAX_SETTLED_RECORDS):
        if result.rejection is not None or result.epoch > in_sync_set.epoch:
            newer = yield RefreshSet(max(result.epoch, in_sync_set.epoch + 1))
            if newer is None:
                break
            in_sync_set = newer
        elif result.reply is None:
            return unanswered("copy", result)
        elif _is_settled(result) or result.record is None:
            return answer(result)
        elif committed.get(result.record.path, NO_VERSION) >= result.record.version:
            return answer(result)
        else:
            settled = yield from Propagation(result.record, zone, rules, is_write=False).run(in_sync_set)
            if settled is not None:
                in_sync_set = settled
                committed[result.record.path] = result.record.version
        if zone not in in_sync_set.read_zones:
            zone = in_sync_set.read_zones[0]
        (result,) = yield PerformOperations((operation_at(in_sync_set, zone, OperationKind.CLIENT),))
    return reject("unsettled", result)
