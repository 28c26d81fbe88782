"""A client's read at one of a shard's replicas, as a pure state machine.

A replica may hold a write that not all replicas have yet (*uncommitted*).  If a read returned it and that
replica was then lost, a later read would not see it.  Such a write is therefore brought to the other replicas
first (*settling*).  This is the write-back of Attiya, Bar-Noy and Dolev (*Sharing Memory Robustly in
Message-Passing Systems*, 1995); only reads that meet a write in progress pay for it.
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
    reject_or_fail,
)
from cressrock.replication.propagation import Propagation
from cressrock.replication.records import NO_VERSION, Version

MAX_REPLICAS_READ = 2  # tried by one request
MAX_REFRESHES = 2  # of the set, by one read
MAX_SETTLED_RECORDS = 8  # settled one after another by one read


def read_replicated(
    in_sync_set: InSyncSet,
    order: Sequence[str],
    *,
    lease_valid: bool = True,
    rules: SafetyRules = DEFAULT_SAFETY_RULES,
) -> RequestSteps:
    """Read from the first zone of `order` whose replica is in sync and can be sent the request.

    Another replica is tried once, and only if nothing was executed at the first.  `lease_valid`: the set's
    decision has not expired.  If it has, nothing can be settled, and a read that meets an uncommitted record
    is rejected.
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
    """Whether a response does not depend on an uncommitted record, which could be lost with its replica."""
    return result.failed or result.record is None or result.record.committed


def _readable(in_sync_set: InSyncSet, order: Sequence[str]) -> list[str]:
    return [zone for zone in order if zone in in_sync_set.read_zones][:MAX_REPLICAS_READ]


def _settled_read(
    in_sync_set: InSyncSet, zone: str, result: ReplicaResult, rules: SafetyRules
) -> RequestSteps:
    """Bring the uncommitted record to all replicas and read again, until the response depends on none."""
    committed: dict[str, Version] = {}  # settled by this read, by path
    for _ in range(MAX_SETTLED_RECORDS):
        if result.rejection is not None or result.epoch > in_sync_set.epoch:
            newer = yield RefreshSet(max(result.epoch, in_sync_set.epoch + 1))
            if newer is None:
                break
            in_sync_set = newer
        elif result.reply is None:
            return reject_or_fail("copy", result)
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
