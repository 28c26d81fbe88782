"""How a copy that is out comes back: a pure plan, carried out by the planner whose seat leads.

1. Look at the copy's store.  2. While it is out: take over what the first copy lists as owed.  3. A decree
lets it join: from this epoch on every write needs it too.  4. Under that epoch the first copy's list is read
once more, from its beginning.  The node heeds the epoch from the first page on, so no write of an older set
can be ordered after it: what is not on the list goes to the joining copy by itself.  5. A decree takes it in,
with the proof that the list was read under the epoch that stands.

What is owed is kept by the first copy, with its data: each record knows the newest epoch under which it was
written or became sure.  A copy that had everything of epoch `since` owes the records touched in it or later,
and all that are not sure.  A store that is not the one that was put out owes everything.

Any step that fails ends the plan; a later one begins from the set as it then stands, so a new leader goes on
where the former one died.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from cressrock.errors.replication import InvalidSetError, TransitionNotAllowedError
from cressrock.replication import transitions
from cressrock.replication.in_sync_set import InSyncSet, RecordEntry, ReplicaState, Version, parse_version
from cressrock.replication.write import (
    FetchRecord,
    OperationKind,
    PerformOperations,
    Record,
    ReplicaOperation,
    operation_at,
)

ENOUGH = 64  # so few records are left to the last pass, under the epoch of joining
MOST_PASSES = 16
MOST_HELD = 100_000  # records that a plan remembers as taken over; of further ones it looks


@dataclass(frozen=True, slots=True)
class ListMissing:
    """Have the next page of a first copy's list read; answered by a Page, or None."""

    operation: ReplicaOperation
    complete_epoch: int
    after: str


@dataclass(frozen=True, slots=True)
class InspectStore:
    """Have a copy's store told; answered by its life, or None."""

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


Step = ListMissing | InspectStore | ProposeSet | PerformOperations | FetchRecord
Plan = Generator[Step, Any, RepairReport]


def repair_replica(sync: InSyncSet, zone: str, *, skip_last_pass: bool = False) -> Plan:
    """Bring one copy back.  `early` skips the last pass, for a test that shows what it is for."""
    moved = 0
    held: dict[str, Record] = {}
    copy = sync.replica(zone)
    if copy is None or copy.state is ReplicaState.IN_SYNC:
        return RepairReport(False, 0, "nothing owed")
    life = yield InspectStore(operation_at(sync, zone, OperationKind.INSPECT))
    if not life:
        return RepairReport(False, 0, "not reached")
    if copy.state is ReplicaState.OUT_OF_SYNC:
        since = copy.complete_epoch if copy.store_id == life else 0
        for _ in range(MOST_PASSES):
            count = yield from _pass(sync, zone, life, since, held)
            if count is None:
                return RepairReport(False, moved, "interrupted")
            moved += count
            if count <= ENOUGH:
                break
        following = transitions.begin_joining(sync, zone, life)
        if not (yield ProposeSet(sync, following)):
            return RepairReport(False, moved, "another set stands")
        sync = following
    elif copy.store_id != life:
        return RepairReport(False, moved, "its store changed while it joined")
    copy = sync.replica(zone)
    assert copy is not None
    if not skip_last_pass:
        count = yield from _pass(sync, zone, life, copy.complete_epoch, held)
        if count is None:
            return RepairReport(False, moved, "interrupted")
        moved += count
    try:
        following = transitions.readmit(sync, transitions.CatchUpProof(zone, sync.epoch, life))
    except TransitionNotAllowedError as wrong:
        return RepairReport(False, moved, wrong.text)
    back = yield ProposeSet(sync, following)
    return RepairReport(bool(back), moved, "" if back else "another set stands")


def _pass(
    sync: InSyncSet, zone: str, life: str, since: int, held: dict[str, Record]
) -> Generator[Step, Any, int | None]:
    """Take the list over once; returns the number of records moved, or None where it broke off.

    `held` are records that an earlier pass has taken over.
    """
    moved, after = 0, ""
    while True:
        page = yield ListMissing(operation_at(sync, sync.primary, OperationKind.INSPECT), since, after)
        if page is None:
            return None
        for entry in page.entries:
            try:
                record = _record(entry)
            except InvalidSetError:
                return None
            after = entry.key
            known = held.get(entry.key)
            if known is not None and _newer(known, record):
                continue
            # What is owed since an epoch it mostly lacks; of everything it may have most.
            look = not since or len(held) >= MOST_HELD
            taken = yield from _move(sync, zone, life, record, look)
            if taken is None:
                return None
            if len(held) < MOST_HELD:
                held[entry.key] = taken
            moved += 1
        if not page.more or not page.entries:
            return moved


def _record(entry: RecordEntry) -> Record:
    return Record(
        entry.key,
        parse_version(entry.version),
        entry.kind,
        parse_version(entry.cleared_version),
        entry.committed,
    )


def _newer(there: Record, record: Record) -> bool:
    return there.version >= record.version and there.cleared_version >= record.cleared_version


def _move(
    sync: InSyncSet, zone: str, life: str, record: Record, look: bool
) -> Generator[Step, Any, Record | None]:
    """Take one record over; returns what the copy holds then, or None where that failed."""
    role = operation_at(sync, zone, OperationKind.APPLY).role
    if look:
        (there,) = yield PerformOperations(
            (ReplicaOperation(zone, role, sync.epoch, life, OperationKind.INSPECT, record),)
        )
        if there.refused is not None:
            return None
        if there.record is not None and there.record.path == record.path and _newer(there.record, record):
            found: Record = there.record
            return found
    payload = None
    if record.kind == "file":
        fetched = yield FetchRecord(operation_at(sync, sync.primary, OperationKind.CLIENT, record))
        if fetched is None:
            return None
        record, payload = fetched
    (got,) = yield PerformOperations(
        (ReplicaOperation(zone, role, sync.epoch, life, OperationKind.APPLY, record, payload),)
    )
    taken: Record | None = got.record
    if got.rejection is not None or taken is None or taken.version < record.version:
        return None
    return record


class RepairPacer:
    """How fast repair may go: below live work, at a small share.  Pure; times in ms.

    `share` of the time is spent in operations at most, `rate` begin each second at most, and while a node
    says that live work waits (it refuses, or is busier than `busy`) nothing goes for `pause_ms`.
    """

    def __init__(
        self, *, share: float = 0.5, rate: float = 200.0, busy: float = 0.8, pause_ms: float = 250.0
    ) -> None:
        """See the settings for what the figures are for."""
        self.share, self.rate, self.busy, self.pause_ms = share, rate, busy, pause_ms
        self.next_ms = 0.0

    def record_operation(self, now_ms: float, took_ms: float, *, refused: bool, load: float) -> None:
        """Enter an operation that ended now."""
        rest = max(took_ms * (1 / self.share - 1), 1000 / self.rate)
        if refused or load > self.busy:
            rest = max(rest, self.pause_ms)
        self.next_ms = now_ms + rest

    def wait_ms(self, now_ms: float) -> float:
        """Return how long the next operation has to wait."""
        return max(0.0, self.next_ms - now_ms)


__all__ = [
    "ProposeSet",
    "ListMissing",
    "InspectStore",
    "RepairPacer",
    "Plan",
    "RepairReport",
    "Version",
    "repair_replica",
]
