"""How a replica that was evicted comes back: a pure plan, carried out by the planner that leads.

1. Inspect the replica's store.  2. While it is out: copy what the primary lists as missing.  3. A decision
lets it join: from this epoch on every write needs it too.  4. Under that epoch the primary's list is read
once more, from its beginning.  The node heeds the epoch from the first page on, so no write of an older set
can be ordered after it: what is not on the list goes to the joining replica by itself.  5. A decision
readmits it, with the proof that the list was read under the epoch that stands.

What is missing is kept by the primary, with its data: each record knows the newest epoch under which it was
written or committed.  A replica that had everything of an epoch lacks the records touched in it or later, and
all that are not committed.  A store that is not the one that was evicted lacks everything.

Any step that fails ends the plan; a later one begins from the set as it then stands, so a new leader goes on
where the former one died.
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

MAX_LAST_PASS_RECORDS = 64  # so few are left to the last pass, under the epoch of joining
MAX_PASSES = 16
MAX_REMEMBERED_RECORDS = 100_000  # that a plan remembers as copied; further ones are inspected


@dataclass(frozen=True, slots=True)
class ListMissing:
    """Have the next page of a primary's list read; answered by a RecordPage, or None."""

    operation: ReplicaOperation
    complete_epoch: int
    after: str


@dataclass(frozen=True, slots=True)
class InspectStore:
    """Have the id of a replica's store read; answered by it, or None."""

    operation: ReplicaOperation


@dataclass(frozen=True, slots=True)
class ProposeSet:
    """Have a set decided in place of the one it was made from; answered by whether it stands now."""

    old: InSyncSet
    new: InSyncSet


@dataclass(frozen=True, slots=True)
class RepairReport:
    """What a plan came to."""

    rejoined: bool
    records_copied: int
    reason: str = ""


RepairAction = ListMissing | InspectStore | ProposeSet | PerformOperations | FetchRecord
RepairPlan = Generator[RepairAction, Any, RepairReport]


def repair_replica(in_sync_set: InSyncSet, zone: str, *, skip_last_pass: bool = False) -> RepairPlan:
    """Bring one replica back.  `skip_last_pass` is for a test that shows what that pass is for."""
    replica = in_sync_set.replica(zone)
    if replica is None or replica.state is ReplicaState.IN_SYNC:
        return RepairReport(False, 0, "nothing owed")
    store_id = yield InspectStore(operation_at(in_sync_set, zone, OperationKind.INSPECT))
    if not store_id:
        return RepairReport(False, 0, "not reached")
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
            return RepairReport(False, catch_up.records_copied, "another set stands")
        in_sync_set = joining
    elif replica.store_id != store_id:
        return RepairReport(False, 0, "its store changed while it joined")
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
    return RepairReport(bool(decided), catch_up.records_copied, "" if decided else "another set stands")


@dataclass(slots=True)
class _CatchUp:
    """Copies records to one replica, in passes over the primary's list."""

    zone: str
    store_id: str
    records_copied: int = 0
    _copied: dict[str, Record] = field(default_factory=dict)  # by path, of earlier passes too

    def run_pass(
        self, in_sync_set: InSyncSet, complete_epoch: int
    ) -> Generator[RepairAction, Any, int | None]:
        """Go over the list once; return the number of records copied, or None where it broke off."""
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
        """Copy a record unless an earlier pass did; return whether it was copied, None where that failed."""
        try:
            record = entry.record()
        except InvalidSetError:
            return None  # a list that cannot be read breaks the plan off; a later one begins anew
        known = self._copied.get(entry.key)
        if known is not None and _covers(known, record):
            return False
        # What it lacks since an epoch it mostly lacks; of everything it may have most.
        is_full = len(self._copied) >= MAX_REMEMBERED_RECORDS
        copied = yield from self._copy(in_sync_set, record, inspect=not complete_epoch or is_full)
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
        """Copy one record; return what the replica has then, or None where that failed."""
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
