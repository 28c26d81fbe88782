"""Replicated writes and reads of one shard, as pure state machines.

Each is a generator, as compositions are: it yields what it asks for, is sent what came of it, and returns
what to answer.  It reads no clock; times in which something is to be done are for whoever runs it.

A write goes to the first copy under the set's epoch, which orders it by a version, then to the other copies
with that version.  It is acknowledged when all copies that write have it.  A copy that fails is put out by
decree first.  Once something may have run, a write is acknowledged or failed, never refused.

A read goes to one copy.  What stands there may be a write that not all copies have yet (*unsure*); told to a
client, it could be gone again with that copy.  So the other copies get it first (*settling*); this is the
write-back of Attiya, Bar-Noy and Dolev (*Sharing Memory Robustly in Message-Passing Systems*, 1995), paid
for by those reads alone that meet a write under way.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cressrock.replication.in_sync_set import NO_VERSION, InSyncSet, Rejection, ReplicaState, Version

PRIMARY_ROLE = "first"
MOST_TURNS = 12  # sets that one request may live through; more change only in a storm
MOST_SETTLED = 8  # records that one read may have to settle, one above the other


class OperationKind(Enum):
    """What to do at a copy."""

    CLIENT = "client"  # what the client asked for, conditions and all
    APPLY = "apply"  # take a record over: payload or none, under its version
    INSPECT = "look"  # tell the record of a path


@dataclass(frozen=True, slots=True)
class Record:
    """What stands at a path of a copy."""

    path: str
    version: Version
    kind: str = "file"  # file, collection, gone
    cleared_version: Version = NO_VERSION
    committed: bool = False
    timestamps: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaOperation:
    """One operation at one copy, under a set's epoch.  `payload` is a handle of whoever runs it."""

    zone: str
    role: str
    epoch: int
    store_id: str
    kind: OperationKind
    record: Record | None = None  # to apply, or to look at
    payload: Any = None


@dataclass(frozen=True, slots=True)
class ReplicaResult:
    """What came of an operation.  `reply` is the node's answer, in the runner's own form; None: denied.

    `ran`: it may have run.  `gone`: there is reason to think that the copy cannot be reached, beyond a turn
    that did not come in time.  `failed`: the node answered that it could not (5xx).
    """

    reply: Any = None
    may_have_run: bool = False
    unreachable: bool = False
    failed: bool = False
    rejection: Rejection | None = None
    epoch: int = 0  # the node's
    record: Record | None = None
    denial: Any = None


@dataclass(frozen=True, slots=True)
class PerformOperations:
    """Have operations done side by side; answered by as many `Got`."""

    operations: tuple[ReplicaOperation, ...]


@dataclass(frozen=True, slots=True)
class FetchRecord:
    """Have a record's payload read from a copy; answered by (Record, payload) or None."""

    operation: ReplicaOperation


@dataclass(frozen=True, slots=True)
class EvictReplicas:
    """Have copies put out of the set by decree; answered by the set that then stands, or None."""

    zones: tuple[str, ...]
    in_sync_set: InSyncSet


@dataclass(frozen=True, slots=True)
class RefreshSet:
    """Get a set of at least this epoch; answered by it, or None if none came in time."""

    min_epoch: int


@dataclass(frozen=True, slots=True)
class MarkCommitted:
    """Note that a version is on every copy: it is told along with what goes to them anyway.  No answer."""

    in_sync_set: InSyncSet
    version: Version


Action = PerformOperations | FetchRecord | EvictReplicas | RefreshSet | MarkCommitted


class Disposition(Enum):
    """How a request ended."""

    ANSWER = "answer"  # the node's answer, in `got`
    REJECTED = "refused"  # nothing ran: a retry is harmless
    FAILED = "failed"  # may have run


@dataclass(frozen=True, slots=True)
class OperationOutcome:
    """What to answer.  `why` is for logs: a word or two."""

    disposition: Disposition
    result: ReplicaResult | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SafetyRules:
    """What the machines heed; a test switches one off to see that it is needed."""

    evict_before_ack: bool = True  # acknowledge without a copy only after the decree that puts it out
    settle_reads: bool = True  # an unsure record is settled before it is told


Steps = Generator[Action, Any, OperationOutcome]
DEFAULT_SAFETY_RULES = SafetyRules()


def operation_at(
    sync: InSyncSet, zone: str, kind: OperationKind, record: Record | None = None, payload: Any = None
) -> ReplicaOperation:
    """Return an operation at a copy, as a set says of it."""
    copy = sync.replica(zone)
    role = (
        PRIMARY_ROLE
        if zone == sync.primary
        else str(copy.state if copy is not None else ReplicaState.OUT_OF_SYNC)
    )
    return ReplicaOperation(
        zone, role, sync.epoch, copy.store_id if copy is not None else "", kind, record, payload
    )


@dataclass(slots=True)
class _Held:
    """Which copies have a version, by the store that said so: another store may have lost it."""

    lives: dict[str, str] = field(default_factory=dict)

    def lacks(self, sync: InSyncSet) -> list[str]:
        """Return the copies that must still get it."""
        return [z for z in sync.write_zones if self.lives.get(z) != _life(sync, z)]

    def add(self, sync: InSyncSet, zone: str) -> None:
        """Enter a copy that has it."""
        self.lives[zone] = _life(sync, zone)


def _life(sync: InSyncSet, zone: str) -> str:
    copy = sync.replica(zone)
    assert copy is not None
    return copy.store_id


def write_replicated(
    sync: InSyncSet | None,
    payload: Any = None,
    rules: SafetyRules = DEFAULT_SAFETY_RULES,
    gone: Sequence[str] = (),
) -> Steps:
    """Write under the set that stands; None: no decree counts here, so nothing may be written.

    Copies that are known as `gone` are put out before anything is sent: without a decree the write is then
    refused, and leaves nothing half-done that reads would have to wait for.
    """
    if sync is None:
        return OperationOutcome(Disposition.REJECTED, reason="no-decree")
    if sync.primary in gone:
        # Danger: an edge that reaches nobody would put out all but the first copy, for everybody.
        return OperationOutcome(Disposition.REJECTED, reason="first-copy")
    lost = tuple(z for z in sync.write_zones if z in gone)
    if lost and rules.evict_before_ack:
        following = yield EvictReplicas(lost, sync)
        if following is None:
            return OperationOutcome(Disposition.REJECTED, reason="no-decree")
        sync = following
    for _ in range(MOST_TURNS):
        (got,) = yield PerformOperations(
            (operation_at(sync, sync.primary, OperationKind.CLIENT, payload=payload),)
        )
        if got.rejection is None:
            break
        # The fence: this edge's set is an older one, or the node's store is not the one that it names.
        newer = yield RefreshSet(max(got.epoch, sync.epoch + (got.rejection is Rejection.OTHER_STORE)))
        if newer is None:
            return OperationOutcome(Disposition.REJECTED, reason=got.rejection.value)
        sync = newer
    else:
        return OperationOutcome(Disposition.REJECTED, reason="sets-change")
    if got.reply is None:
        return OperationOutcome(Disposition.FAILED if got.ran else Disposition.REJECTED, got, "first-copy")
    if got.failed:
        return OperationOutcome(Disposition.FAILED, got, "first-copy")
    record: Record | None = got.record
    if record is None:
        return OperationOutcome(Disposition.ANSWER, got)
    held = _Held()
    held.add(sync, sync.primary)
    changed = _changes(got)
    if not changed and (record.committed or not rules.settle_reads):
        return OperationOutcome(Disposition.ANSWER, got)
    done = yield from _spread(sync, sync.primary, record, held, payload if changed else None, rules, changed)
    if done is None:
        # What was answered rests on a write that others lack: telling it would promise what may be gone.
        return (
            OperationOutcome(Disposition.FAILED, got, "copies")
            if changed
            else OperationOutcome(Disposition.REJECTED, got, "unsettled")
        )
    return OperationOutcome(Disposition.ANSWER, got)


def _changes(got: ReplicaResult) -> bool:
    return getattr(got.reply, "status", 0) in (201, 204)


def _spread(
    sync: InSyncSet, source: str, record: Record, held: _Held, payload: Any, rules: SafetyRules, writes: bool
) -> Generator[Action, Any, InSyncSet | None]:
    """Bring a record to all copies that write; returns the set whose copies all have it, or None."""
    for _ in range(MOST_TURNS):
        lacks = held.lacks(sync)
        if not lacks:
            yield MarkCommitted(sync, record.version)
            return sync
        if not writes:
            # A read looks first: most often the write under way has come to all of them meanwhile.
            looked = yield PerformOperations(
                tuple(operation_at(sync, z, OperationKind.INSPECT, record) for z in lacks)
            )
            newest = max(got.epoch for got in looked)
            if newest > sync.epoch:
                # Danger: a copy that came in meanwhile would not be asked, and may have less.
                newer = yield RefreshSet(newest)
                if newer is None:
                    return None
                sync = newer
                continue
            for zone, got in zip(lacks, looked, strict=True):
                if got.rejection is None and got.record is not None and _has(got.record, record):
                    held.add(sync, zone)
            lacks = held.lacks(sync)
            if not lacks:
                continue
        if record.kind == "file" and payload is None:
            found = yield FetchRecord(operation_at(sync, source, OperationKind.CLIENT, record))
            if found is None:
                return None
            newer, payload = found
            if newer.at != record.version:
                return None  # overwritten meanwhile: whoever asked looks again
        gots = yield PerformOperations(
            tuple(operation_at(sync, z, OperationKind.APPLY, record, payload) for z in lacks)
        )
        failed, newest = [], 0
        for zone, got in zip(lacks, gots, strict=True):
            if got.rejection is Rejection.OLDER_EPOCH:
                newest = max(newest, got.epoch)
            elif got.rejection is not None:
                failed.append(zone)
            elif got.record is not None and got.record.at >= record.version:
                held.add(sync, zone)
            elif got.reply is not None or got.ran or got.gone:
                failed.append(zone)
            else:
                return None  # no turn in time: a busy copy is not put out for that
        following: InSyncSet | None = sync
        if newest:
            following = yield RefreshSet(newest)
        elif failed:
            if not rules.evict_before_ack:
                return sync
            # The first one cannot be put out by an edge; the council's own witnesses move it.
            if sync.primary in failed:
                following = yield RefreshSet(sync.epoch + 1)
            else:
                following = yield EvictReplicas(tuple(failed), sync)
        if following is None:
            return None
        if writes and record.version.epoch < following.primary_since_epoch:
            # Danger: a first copy that had been replaced gave this version.  By it the write would lie before
            # others that were acknowledged before it began.
            return None
        sync = following
    return None


def _has(there: Record, wanted: Record) -> bool:
    return (
        there.path == wanted.path
        and there.version >= wanted.version
        and there.cleared_version >= wanted.cleared_version
    )


def read_replicated(
    sync: InSyncSet,
    order: Sequence[str],
    *,
    lease_valid: bool = True,
    rules: SafetyRules = DEFAULT_SAFETY_RULES,
) -> Steps:
    """Read from the first of `order` (zones that are in) that can be asked.

    Only where nothing was sent is another copy asked, once.  `counts`: the decree counts; without that
    nothing can be settled, and what is unsure is refused.
    """
    places = [z for z in order if z in sync.read_zones][:2]
    refreshed = 0
    index = 0
    got = ReplicaResult()
    while index < len(places):
        zone = places[index]
        (got,) = yield PerformOperations((operation_at(sync, zone, OperationKind.CLIENT),))
        if got.rejection is not None:
            refreshed += 1
            newer = None if refreshed > 2 else (yield RefreshSet(max(got.epoch, sync.epoch + 1)))
            if newer is None:
                index += 1
                continue
            sync = newer
            places = [z for z in order if z in sync.read_zones][:2] or list(sync.read_zones[:2])
            index = 0
            continue
        if got.reply is None:
            if got.ran:
                return OperationOutcome(Disposition.FAILED, got, "copy")
            index += 1
            continue
        record = got.record
        if got.failed or record is None or record.sure or not rules.settle_reads:
            return OperationOutcome(Disposition.ANSWER, got)
        if not lease_valid:
            return OperationOutcome(Disposition.REJECTED, got, "unsettled")
        return (yield from _settled_read(sync, zone, got, rules))
    return OperationOutcome(Disposition.REJECTED, got, "copies")


def _settled_read(sync: InSyncSet, zone: str, got: ReplicaResult, rules: SafetyRules) -> Steps:
    """Bring the unsure record to all copies, and read again until the answer rests on nothing unsure."""
    surely: dict[str, Version] = {}
    for _ in range(MOST_SETTLED):
        if got.rejection is not None or got.epoch > sync.epoch:
            newer = yield RefreshSet(max(got.epoch, sync.epoch + 1))
            if newer is None:
                break
            sync = newer
        elif got.reply is None:
            return OperationOutcome(
                Disposition.FAILED if got.may_have_run else Disposition.REJECTED, got, "copy"
            )
        elif got.failed or got.record is None or got.record.committed:
            return OperationOutcome(Disposition.ANSWER, got)
        elif surely.get(got.record.path, NO_VERSION) >= got.record.version:
            return OperationOutcome(Disposition.ANSWER, got)
        else:
            held = _Held()
            held.add(sync, zone)
            settled = yield from _spread(sync, zone, got.record, held, None, rules, writes=False)
            if settled is not None:
                sync = settled
                surely[got.record.path] = got.record.version
        if zone not in sync.read_zones:
            zone = sync.read_zones[0]
        (got,) = yield PerformOperations((operation_at(sync, zone, OperationKind.CLIENT),))
    return OperationOutcome(Disposition.REJECTED, got, "unsettled")
