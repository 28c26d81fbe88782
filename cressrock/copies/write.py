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

from cressrock.copies.model import NONE, Refusal, State, Sync, Version

FIRST = "first"
MOST_TURNS = 12  # sets that one request may live through; more change only in a storm
MOST_SETTLED = 8  # records that one read may have to settle, one above the other


class Kind(Enum):
    """What to do at a copy."""

    CLIENT = "client"  # what the client asked for, conditions and all
    APPLY = "apply"  # take a record over: payload or none, under its version
    LOOK = "look"  # tell the record of a path


@dataclass(frozen=True, slots=True)
class Record:
    """What stands at a path of a copy."""

    path: str
    at: Version
    kind: str = "file"  # file, collection, gone
    cleared: Version = NONE
    sure: bool = False
    times: str = ""


@dataclass(frozen=True, slots=True)
class Op:
    """One operation at one copy, under a set's epoch.  `payload` is a handle of whoever runs it."""

    zone: str
    role: str
    epoch: int
    life: str
    kind: Kind
    record: Record | None = None  # to apply, or to look at
    payload: Any = None


@dataclass(frozen=True, slots=True)
class Got:
    """What came of an operation.  `reply` is the node's answer, in the runner's own form; None: denied.

    `ran`: it may have run.  `gone`: there is reason to think that the copy cannot be reached, beyond a turn
    that did not come in time.  `failed`: the node answered that it could not (5xx).
    """

    reply: Any = None
    ran: bool = False
    gone: bool = False
    failed: bool = False
    refused: Refusal | None = None
    epoch: int = 0  # the node's
    record: Record | None = None
    denied: Any = None


@dataclass(frozen=True, slots=True)
class Do:
    """Have operations done side by side; answered by as many `Got`."""

    ops: tuple[Op, ...]


@dataclass(frozen=True, slots=True)
class Fetch:
    """Have a record's payload read from a copy; answered by (Record, payload) or None."""

    op: Op


@dataclass(frozen=True, slots=True)
class PutOut:
    """Have copies put out of the set by decree; answered by the set that then stands, or None."""

    zones: tuple[str, ...]
    sync: Sync


@dataclass(frozen=True, slots=True)
class Refresh:
    """Get a set of at least this epoch; answered by it, or None if none came in time."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Sure:
    """Note that a version is on every copy: it is told along with what goes to them anyway.  No answer."""

    sync: Sync
    at: Version


Ask = Do | Fetch | PutOut | Refresh | Sure


class End(Enum):
    """How a request ended."""

    ANSWER = "answer"  # the node's answer, in `got`
    REFUSED = "refused"  # nothing ran: a retry is harmless
    FAILED = "failed"  # may have run


@dataclass(frozen=True, slots=True)
class Outcome:
    """What to answer.  `why` is for logs: a word or two."""

    end: End
    got: Got | None = None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Rules:
    """What the machines heed; a test switches one off to see that it is needed."""

    decree_first: bool = True  # acknowledge without a copy only after the decree that puts it out
    settle: bool = True  # an unsure record is settled before it is told


Steps = Generator[Ask, Any, Outcome]
RULES = Rules()


def op(sync: Sync, zone: str, kind: Kind, record: Record | None = None, payload: Any = None) -> Op:
    """Return an operation at a copy, as a set says of it."""
    copy = sync.copy(zone)
    role = FIRST if zone == sync.first else str(copy.state if copy is not None else State.OWED)
    return Op(zone, role, sync.epoch, copy.life if copy is not None else "", kind, record, payload)


@dataclass(slots=True)
class _Held:
    """Which copies have a version, by the store that said so: another store may have lost it."""

    lives: dict[str, str] = field(default_factory=dict)

    def lacks(self, sync: Sync) -> list[str]:
        """Return the copies that must still get it."""
        return [z for z in sync.writes if self.lives.get(z) != _life(sync, z)]

    def add(self, sync: Sync, zone: str) -> None:
        """Enter a copy that has it."""
        self.lives[zone] = _life(sync, zone)


def _life(sync: Sync, zone: str) -> str:
    copy = sync.copy(zone)
    assert copy is not None
    return copy.life


def write(sync: Sync | None, payload: Any = None, rules: Rules = RULES, gone: Sequence[str] = ()) -> Steps:
    """Write under the set that stands; None: no decree counts here, so nothing may be written.

    Copies that are known as `gone` are put out before anything is sent: without a decree the write is then
    refused, and leaves nothing half-done that reads would have to wait for.
    """
    if sync is None:
        return Outcome(End.REFUSED, why="no-decree")
    if sync.first in gone:
        # Danger: an edge that reaches nobody would put out all but the first copy, for everybody.
        return Outcome(End.REFUSED, why="first-copy")
    lost = tuple(z for z in sync.writes if z in gone)
    if lost and rules.decree_first:
        following = yield PutOut(lost, sync)
        if following is None:
            return Outcome(End.REFUSED, why="no-decree")
        sync = following
    for _ in range(MOST_TURNS):
        (got,) = yield Do((op(sync, sync.first, Kind.CLIENT, payload=payload),))
        if got.refused is None:
            break
        # The fence: this edge's set is an older one, or the node's store is not the one that it names.
        newer = yield Refresh(max(got.epoch, sync.epoch + (got.refused is Refusal.STORE)))
        if newer is None:
            return Outcome(End.REFUSED, why=got.refused.value)
        sync = newer
    else:
        return Outcome(End.REFUSED, why="sets-change")
    if got.reply is None:
        return Outcome(End.FAILED if got.ran else End.REFUSED, got, "first-copy")
    if got.failed:
        return Outcome(End.FAILED, got, "first-copy")
    record: Record | None = got.record
    if record is None:
        return Outcome(End.ANSWER, got)
    held = _Held()
    held.add(sync, sync.first)
    changed = _changes(got)
    if not changed and (record.sure or not rules.settle):
        return Outcome(End.ANSWER, got)
    done = yield from _spread(sync, sync.first, record, held, payload if changed else None, rules, changed)
    if done is None:
        # What was answered rests on a write that others lack: telling it would promise what may be gone.
        return Outcome(End.FAILED, got, "copies") if changed else Outcome(End.REFUSED, got, "unsettled")
    return Outcome(End.ANSWER, got)


def _changes(got: Got) -> bool:
    return getattr(got.reply, "status", 0) in (201, 204)


def _spread(
    sync: Sync, source: str, record: Record, held: _Held, payload: Any, rules: Rules, writes: bool
) -> Generator[Ask, Any, Sync | None]:
    """Bring a record to all copies that write; returns the set whose copies all have it, or None."""
    for _ in range(MOST_TURNS):
        lacks = held.lacks(sync)
        if not lacks:
            yield Sure(sync, record.at)
            return sync
        if not writes:
            # A read looks first: most often the write under way has come to all of them meanwhile.
            looked = yield Do(tuple(op(sync, z, Kind.LOOK, record) for z in lacks))
            newest = max(got.epoch for got in looked)
            if newest > sync.epoch:
                # Danger: a copy that came in meanwhile would not be asked, and may have less.
                newer = yield Refresh(newest)
                if newer is None:
                    return None
                sync = newer
                continue
            for zone, got in zip(lacks, looked, strict=True):
                if got.refused is None and got.record is not None and _has(got.record, record):
                    held.add(sync, zone)
            lacks = held.lacks(sync)
            if not lacks:
                continue
        if record.kind == "file" and payload is None:
            found = yield Fetch(op(sync, source, Kind.CLIENT, record))
            if found is None:
                return None
            newer, payload = found
            if newer.at != record.at:
                return None  # overwritten meanwhile: whoever asked looks again
        gots = yield Do(tuple(op(sync, z, Kind.APPLY, record, payload) for z in lacks))
        failed, newest = [], 0
        for zone, got in zip(lacks, gots, strict=True):
            if got.refused is Refusal.OLDER:
                newest = max(newest, got.epoch)
            elif got.refused is not None:
                failed.append(zone)
            elif got.record is not None and got.record.at >= record.at:
                held.add(sync, zone)
            elif got.reply is not None or got.ran or got.gone:
                failed.append(zone)
            else:
                return None  # no turn in time: a busy copy is not put out for that
        following: Sync | None = sync
        if newest:
            following = yield Refresh(newest)
        elif failed:
            if not rules.decree_first:
                return sync
            # The first one cannot be put out by an edge; the council's own witnesses move it.
            if sync.first in failed:
                following = yield Refresh(sync.epoch + 1)
            else:
                following = yield PutOut(tuple(failed), sync)
        if following is None:
            return None
        if writes and record.at.epoch < following.reign:
            # Danger: a first copy that had been replaced gave this version.  By it the write would lie before
            # others that were acknowledged before it began.
            return None
        sync = following
    return None


def _has(there: Record, wanted: Record) -> bool:
    return there.path == wanted.path and there.at >= wanted.at and there.cleared >= wanted.cleared


def read(sync: Sync, order: Sequence[str], *, counts: bool = True, rules: Rules = RULES) -> Steps:
    """Read from the first of `order` (zones that are in) that can be asked.

    Only where nothing was sent is another copy asked, once.  `counts`: the decree counts; without that
    nothing can be settled, and what is unsure is refused.
    """
    places = [z for z in order if z in sync.reads][:2]
    refreshed = 0
    index = 0
    got = Got()
    while index < len(places):
        zone = places[index]
        (got,) = yield Do((op(sync, zone, Kind.CLIENT),))
        if got.refused is not None:
            refreshed += 1
            newer = None if refreshed > 2 else (yield Refresh(max(got.epoch, sync.epoch + 1)))
            if newer is None:
                index += 1
                continue
            sync = newer
            places = [z for z in order if z in sync.reads][:2] or list(sync.reads[:2])
            index = 0
            continue
        if got.reply is None:
            if got.ran:
                return Outcome(End.FAILED, got, "copy")
            index += 1
            continue
        record = got.record
        if got.failed or record is None or record.sure or not rules.settle:
            return Outcome(End.ANSWER, got)
        if not counts:
            return Outcome(End.REFUSED, got, "unsettled")
        return (yield from _settled_read(sync, zone, got, rules))
    return Outcome(End.REFUSED, got, "copies")


def _settled_read(sync: Sync, zone: str, got: Got, rules: Rules) -> Steps:
    """Bring the unsure record to all copies, and read again until the answer rests on nothing unsure."""
    surely: dict[str, Version] = {}
    for _ in range(MOST_SETTLED):
        if got.refused is not None or got.epoch > sync.epoch:
            newer = yield Refresh(max(got.epoch, sync.epoch + 1))
            if newer is None:
                break
            sync = newer
        elif got.reply is None:
            return Outcome(End.FAILED if got.ran else End.REFUSED, got, "copy")
        elif got.failed or got.record is None or got.record.sure:
            return Outcome(End.ANSWER, got)
        elif surely.get(got.record.path, NONE) >= got.record.at:
            return Outcome(End.ANSWER, got)
        else:
            held = _Held()
            held.add(sync, zone)
            settled = yield from _spread(sync, zone, got.record, held, None, rules, writes=False)
            if settled is not None:
                sync = settled
                surely[got.record.path] = got.record.at
        if zone not in sync.reads:
            zone = sync.reads[0]
        (got,) = yield Do((op(sync, zone, Kind.CLIENT),))
    return Outcome(End.REFUSED, got, "unsettled")
