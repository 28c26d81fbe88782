"""Brings one record to all replicas that take writes: the second half of a write, and of some reads.  Pure.

A replica that fails is evicted by decision first.
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

MAX_SETS_PER_REQUEST = 12  # that one request may live through; more change only in a storm

SetSteps = Generator[Action, Any, InSyncSet | None]


@dataclass(slots=True)
class Holders:
    """Which replicas have a version, by the store that said so: another store may have lost it."""

    _stores: dict[str, str] = field(default_factory=dict)

    def missing(self, in_sync_set: InSyncSet) -> list[str]:
        """Return the zones of the replicas that must still get it."""
        return [z for z in in_sync_set.write_zones if self._stores.get(z) != _store_id(in_sync_set, z)]

    def add(self, in_sync_set: InSyncSet, zone: str) -> None:
        """Enter a replica that has it."""
        self._stores[zone] = _store_id(in_sync_set, zone)


def _store_id(in_sync_set: InSyncSet, zone: str) -> str:
    replica = in_sync_set.replica(zone)
    assert replica is not None
    return replica.store_id


@dataclass(slots=True)
class Propagation:
    """One record on its way from the replica `source` to the others.

    `is_write`: the client's own write, whose payload is at hand; else a read met the record, which is most
    often under way to all replicas by itself.
    """

    record: Record
    source: str
    rules: SafetyRules
    is_write: bool
    payload: Any = None
    holders: Holders = field(default_factory=Holders)

    def run(self, in_sync_set: InSyncSet) -> SetSteps:
        """Return the set whose replicas all have the record, or None."""
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
                    # Danger: a replica that was readmitted meanwhile would not be asked, and may have less.
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
                # Danger: a primary that had been replaced gave this version.  By it the write would lie
                # before others that were acknowledged before it began.
                return None
            current = following
        return None

    def _inspect(self, in_sync_set: InSyncSet, missing: Sequence[str]) -> Generator[Action, Any, int]:
        """Ask the replicas that may lack the record whether they have it.

        Return the epoch of a newer set that one of them knows, else 0.
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
    ) -> Generator[Action, Any, _Applied | None]:
        """Apply the record at replicas that lack it; return what came of it, or None where it broke off."""
        if self.record.kind == FILE_KIND and self.payload is None:
            fetched = yield FetchRecord(
                operation_at(in_sync_set, self.source, OperationKind.CLIENT, self.record)
            )
            if fetched is None:
                return None
            newest, self.payload = fetched
            if newest.version != self.record.version:
                return None  # overwritten meanwhile: whoever asked looks again
        results: list[ReplicaResult] = yield PerformOperations(
            tuple(
                operation_at(in_sync_set, z, OperationKind.APPLY, self.record, self.payload) for z in missing
            )
        )
        applied = _Applied()
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
                return None  # no turn in time: a busy replica is not evicted for that
        return applied


@dataclass(slots=True)
class _Applied:
    """What came of applying a record: zones that failed, and the epoch of a newer set that a node knows."""

    failed: list[str] = field(default_factory=list)
    newer_epoch: int = 0


def _following_set(in_sync_set: InSyncSet, applied: _Applied) -> SetSteps:
    """Return the set to go on with, without the replicas that failed."""
    following: InSyncSet | None = in_sync_set
    if applied.newer_epoch:
        following = yield RefreshSet(applied.newer_epoch)
    elif in_sync_set.primary in applied.failed:
        # The primary cannot be evicted by an edge; the council's own witnesses move it.
        following = yield RefreshSet(in_sync_set.epoch + 1)
    elif applied.failed:
        following = yield EvictReplicas(tuple(applied.failed), in_sync_set)
    return following
