"""Repair of a replica that is not in sync: a plan without I/O, executed by the leading planner.

1. Inspect the replica's store.  2. While it is out of sync, copy the records that the primary lists as
missing.  3. A decision lets it join: from this epoch on every write must reach it too.  4. Read the primary's
list once more under that epoch, from its beginning, and copy.  The primary enforces the epoch from the first
page on, so it orders no write of an older set after that; writes of this set, which the list may not show,
are sent to the joining replica anyway.  5. A decision readmits it, with the proof that the list was read
under the current epoch.

The primary stores with each record the newest epoch under which it was written or committed, and uses it to
list missing records.  A replica that had every write of an epoch lacks the records touched in that epoch or
later, and all uncommitted ones.  A store other than the one that was evicted lacks everything.

Any step that fails ends the plan; a later plan starts from the set decided by then, so a new leader continues
where the former one stopped.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from cressrock.errors.replication import InvalidSetError, TransitionNotAllowedError
from cressrock.replication import transitions
from cressrock.replication.in_sync_set import InSyncSet, ReplicaState
from cressrock.replication.operations import (
    FetchRecord,
    OperationKind,
    PerformOperations,
    ReplicaOperation,
    ReplicaResult,
    operation_at,
)
from cressrock.replication.records import FILE_KIND, Record, RecordEntry, RecordPage

MAX_LAST_PASS_RECORDS = 64  # the replica joins once a pass copies no more; the last pass copies the rest
MAX_PASSES = 16  # before joining
MAX_REMEMBERED_RECORDS = 100_000  # that a plan remembers as copied; records beyond that are inspected first


@dataclass(frozen=True, slots=True)
class ListMissing:
    """Read the next page of a primary's list of missing records; the result is a RecordPage, or None."""

    operation: ReplicaOperation
    complete_epoch: int
    after: str


@dataclass(frozen=True, slots=True)
class InspectStore:
    """Read the id of a replica's store; the result is the id, or None."""

    operation: ReplicaOperation


@dataclass(frozen=True, slots=True)
class ProposeSet:
    """Propose `new` in place of `old`; the result is whether it was decided."""

    old: InSyncSet
    new: InSyncSet


@dataclass(frozen=True, slots=True)
class RepairReport:
    """Result of a repair plan; `reason` says for logs why the replica did not rejoin."""

    rejoined: bool
    records_copied: int
    reason: str = ""


RepairAction = ListMissing | InspectStore | ProposeSet | PerformOperations | FetchRecord
RepairPlan = Generator[RepairAction, Any, RepairReport]


def repair_replica(in_sync_set: InSyncSet, zone: str, *, skip_last_pass: bool = False) -> RepairPlan:
    """Repair one replica.  `skip_last_pass` lets a test show that the last pass is needed."""
    replica = in_sync_set.replica(zone)
    if replica is None or replica.state is ReplicaState.IN_SYNC:
        return RepairReport(False, 0, "replica is in sync or not in the set")
    store_id = yield InspectStore(operation_at(in_sync_set, zone, OperationKind.INSPECT))
    if not store_id:
        return RepairReport(False, 0, "replica did not report its store id")
    catch_up = _CatchUp(zone, store_id)
    if replica.state is ReplicaState.OUT_OF_SYNC:
        complete_epoch = replica.complete_epoch if replica.store_id == store_id else 0
        for _ in range(MAX_PASSES):
            count = yield from catch_up.run_pass(in_sync_set, complete_epoch)
            if count is None:
                return RepairReport(False, catch_up.records_copied, "interrupted")
            if count <= MAX_LAST_PASS_RECORDS:
                break
        joining = transitions.begin_joining(in_sync_set, zone, store_id)
        if not (yield ProposeSet(in_sync_set, joining)):
            return RepairReport(False, catch_up.records_copied, "set was not decided")
        in_sync_set = joining
    elif replica.store_id != store_id:
        return RepairReport(False, 0, "store of the joining replica changed")
    if not skip_last_pass:
        replica = in_sync_set.replica(zone)
        assert replica is not None
        if (yield from catch_up.run_pass(in_sync_set, replica.complete_epoch)) is None:
            return RepairReport(False, catch_up.records_copied, "interrupted")
    try:
        proof = transitions.CatchUpProof(zone, in_sync_set.epoch, store_id)
        readmitted = transitions.readmit(in_sync_set, proof)
    except TransitionNotAllowedError as error:
        return RepairReport(False, catch_up.records_copied, error.text)
    decided = yield ProposeSet(in_sync_set, readmitted)
    return RepairReport(bool(decided), catch_up.records_copied, "" if decided else "set was not decided")


@dataclass(slots=True)
class _CatchUp:
    """Copies records to one replica, in passes over the primary's list."""

    zone: str
    store_id: str
    records_copied: int = 0
    _copied: dict[str, Record] = field(default_factory=dict)  # by path, over all passes

    def run_pass(
        self, in_sync_set: InSyncSet, complete_epoch: int
    ) -> Generator[RepairAction, Any, int | None]:
        """Go through the list once; return the number of records copied, or None if that failed."""
        count, after = 0, ""
        while True:
            listing = operation_at(in_sync_set, in_sync_set.primary, OperationKind.INSPECT)
            page: RecordPage | None = yield ListMissing(listing, complete_epoch, after)
            if page is None:
                return None
            for entry in page.entries:
                after = entry.key
                copied = yield from self._copy_entry(in_sync_set, complete_epoch, entry)
                if copied is None:
                    return None
                count += copied
            if not page.more or not page.entries:
                self.records_copied += count
                return count

    def _copy_entry(
        self, in_sync_set: InSyncSet, complete_epoch: int, entry: RecordEntry
    ) -> Generator[RepairAction, Any, bool | None]:
        """Copy a record unless an earlier pass did; return whether it was copied, None if that failed."""
        try:
            record = entry.record()
        except InvalidSetError:
            return None  # an invalid entry ends the plan; a later one starts anew
        known = self._copied.get(entry.key)
        if known is not None and _covers(known, record):
            return False
        # Records listed since a complete epoch are mostly missing, so they are copied unseen.  A list of all
        # records (epoch 0) may name many that the replica has, so each is inspected first.
        is_memory_full = len(self._copied) >= MAX_REMEMBERED_RECORDS
        copied = yield from self._copy(in_sync_set, record, inspect=not complete_epoch or is_memory_full)
        if copied is None:
            return None
        if len(self._copied) < MAX_REMEMBERED_RECORDS:
            self._copied[entry.key] = copied
        return True

    def _operation(
        self, in_sync_set: InSyncSet, kind: OperationKind, record: Record, payload: Any = None
    ) -> ReplicaOperation:
        role = operation_at(in_sync_set, self.zone, kind).role
        return ReplicaOperation(self.zone, role, in_sync_set.epoch, self.store_id, kind, record, payload)

    def _copy(
        self, in_sync_set: InSyncSet, record: Record, *, inspect: bool
    ) -> Generator[RepairAction, Any, Record | None]:
        """Copy one record; return the record that the replica has afterwards, or None on failure."""
        result: ReplicaResult
        if inspect:
            inspection = self._operation(in_sync_set, OperationKind.INSPECT, record)
            (result,) = yield PerformOperations((inspection,))
            if result.rejection is not None:
                return None
            if result.record is not None and result.record.path == record.path:
                if _covers(result.record, record):
                    return result.record
        payload = None
        if record.kind == FILE_KIND:
            source = operation_at(in_sync_set, in_sync_set.primary, OperationKind.CLIENT, record)
            fetched = yield FetchRecord(source)
            if fetched is None:
                return None
            record, payload = fetched
        application = self._operation(in_sync_set, OperationKind.APPLY, record, payload)
        (result,) = yield PerformOperations((application,))
        if result.rejection is not None or result.record is None or result.record.version < record.version:
            return None
        return record


def _covers(record: Record, other: Record) -> bool:
    return record.version >= other.version and record.cleared_version >= other.cleared_version
