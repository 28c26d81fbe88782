"""Brings one record to all replicas that take writes: the second phase of a write and of some reads.  No I/O.

A replica that fails is first evicted by a consensus decision.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import dataclass, field
from typing import Any

from cressrock.replication.headers import Rejection
from cressrock.replication.in_sync_set import InSyncSet
from cressrock.replication.operations import (
    Action,
    EvictReplicas,
    FetchRecord,
    MarkCommitted,
    OperationKind,
    PerformOperations,
    RefreshSet,
    ReplicaResult,
    SafetyRules,
    operation_at,
)
from cressrock.replication.records import FILE_KIND, Record

MAX_SETS_PER_REQUEST = 12  # tried by one request; more changes than this mean that the set is not stable

SetSteps = Generator[Action, Any, InSyncSet | None]


@dataclass(slots=True)
class Holders:
    """Which replicas have a version, by the id of the store that confirmed it.

    A replica whose store was replaced since may have lost the version and counts as missing it.
    """

    _stores: dict[str, str] = field(default_factory=dict)

    def missing(self, in_sync_set: InSyncSet) -> list[str]:
        """Return the zones of replicas that take writes and have not confirmed the version."""
        return [z for z in in_sync_set.write_zones if self._stores.get(z) != _store_id(in_sync_set, z)]

    def add(self, in_sync_set: InSyncSet, zone: str) -> None:
        """Add a replica that has the version, under the store id that the set names."""
        self._stores[zone] = _store_id(in_sync_set, zone)


def _store_id(in_sync_set: InSyncSet, zone: str) -> str:
    replica = in_sync_set.replica(zone)
    assert replica is not None
    return replica.store_id


@dataclass(slots=True)
class Propagation:
    """Propagates one record from the replica in zone `source` to the others.

    `is_write`: the record is this client's own write and its payload is available.  Otherwise a read returned
    the record; most often its writer is still propagating it, so replicas are inspected before it is applied.
    """

    record: Record
    source: str
    rules: SafetyRules
    is_write: bool
    payload: Any = None
    holders: Holders = field(default_factory=Holders)

    def run(self, in_sync_set: InSyncSet) -> SetSteps:
        """Return a set of which every replica that takes writes has the record, or None on failure."""
        self.holders.add(in_sync_set, self.source)
        current = in_sync_set
        for _ in range(MAX_SETS_PER_REQUEST):
            missing = self.holders.missing(current)
            if not missing:
                yield MarkCommitted(current, self.record.version)
                return current
            if not self.is_write:
                newer_epoch = yield from self._inspect(current, missing)
                if newer_epoch:
                    # Without the newer set, a replica readmitted in the meantime would not be checked,
                    # although it may lack the record.
                    following = yield RefreshSet(newer_epoch)
                    if following is None:
                        return None
                    current = following
                    continue
                missing = self.holders.missing(current)
                if not missing:
                    continue
            applied = yield from self._apply(current, missing)
            if applied is None:
                return None
            if applied.failed and not applied.newer_epoch and not self.rules.evict_before_ack:
                return current
            following = yield from _following_set(current, applied)
            if following is None:
                return None
            if self.is_write and self.record.version.epoch < following.primary_since_epoch:
                # A replaced primary assigned this version.  Acknowledged under it, the write would be
                # ordered before writes that had been acknowledged before it began.
                return None
            current = following
        return None

    def _inspect(self, in_sync_set: InSyncSet, missing: Sequence[str]) -> Generator[Action, Any, int]:
        """Inspect the replicas that may lack the record, and note those that have it.

        Returns the newest epoch that one of them knows if it exceeds the set's, else 0.
        """
        results = yield PerformOperations(
            tuple(operation_at(in_sync_set, z, OperationKind.INSPECT, self.record) for z in missing)
        )
        newest = max(result.epoch for result in results)
        if newest > in_sync_set.epoch:
            return int(newest)
        for zone, result in zip(missing, results, strict=True):
            if result.rejection is None and result.record is not None and self._is_covered_by(result.record):
                self.holders.add(in_sync_set, zone)
        return 0

    def _is_covered_by(self, other: Record) -> bool:
        return (
            other.path == self.record.path
            and other.version >= self.record.version
            and other.cleared_version >= self.record.cleared_version
        )

    def _apply(
        self, in_sync_set: InSyncSet, missing: Sequence[str]
    ) -> Generator[Action, Any, _ApplyResult | None]:
        """Apply the record at replicas that lack it; None if propagation cannot continue."""
        if self.record.kind == FILE_KIND and self.payload is None:
            fetched = yield FetchRecord(
                operation_at(in_sync_set, self.source, OperationKind.CLIENT, self.record)
            )
            if fetched is None:
                return None
            newest, self.payload = fetched
            if newest.version != self.record.version:
                return None  # overwritten in the meantime: the caller reads again
        results: list[ReplicaResult] = yield PerformOperations(
            tuple(
                operation_at(in_sync_set, z, OperationKind.APPLY, self.record, self.payload) for z in missing
            )
        )
        applied = _ApplyResult()
        for zone, result in zip(missing, results, strict=True):
            if result.rejection is Rejection.OLDER_EPOCH:
                applied.newer_epoch = max(applied.newer_epoch, result.epoch)
            elif result.rejection is not None:
                applied.failed.append(zone)
            elif result.record is not None and result.record.version >= self.record.version:
                self.holders.add(in_sync_set, zone)
            elif result.reply is not None or result.may_have_run or result.unreachable:
                applied.failed.append(zone)
            else:
                return None  # not scheduled in time: a busy replica is not evicted for that
        return applied


@dataclass(slots=True)
class _ApplyResult:
    """Result of applying a record: zones that failed, and the epoch of a newer set at a node (0: none)."""

    failed: list[str] = field(default_factory=list)
    newer_epoch: int = 0


def _following_set(in_sync_set: InSyncSet, applied: _ApplyResult) -> SetSteps:
    """Return the set to continue with, without the replicas that failed; None if none was decided in time."""
    following: InSyncSet | None = in_sync_set
    if applied.newer_epoch:
        following = yield RefreshSet(applied.newer_epoch)
    elif in_sync_set.primary in applied.failed:
        # An edge cannot evict the primary; the leading planner replaces it, by the edges' reports.
        following = yield RefreshSet(in_sync_set.epoch + 1)
    elif applied.failed:
        following = yield EvictReplicas(tuple(applied.failed), in_sync_set)
    return following
