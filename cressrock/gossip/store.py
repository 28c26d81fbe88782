"""State that all processes hold alike, whatever the order, loss or repetition of what they tell.  Pure.

Each (name, life) is the only writer of its own entries, and each of its writes takes its next version: so the
higher version of a key is the newer one, without any clock.  Of each origin a process keeps the entries, the
mark `known` (everything up to it is here, or was replaced by something later), a few stretches known `ahead`
of a gap, and `floor`: what was removed at or below it is forgotten altogether.  Merging is the union of what
is known and the greatest version of each key: associative, commutative, idempotent.  Deltas go by version,
after the receiver's mark (scuttlebutt reconciliation, van Renesse, Dumitriu, Gough, Thomas 2008; deltas as
states: Almeida, Shoker, Baquero 2018); the newest changes also travel as rumours (Demers et al. 1987).

Removal by floor: a removed key leaves a removal of its own version.  Where there are more than twice
`keep_removed` of them, the origin forgets the older ones and raises its floor.  Who knows less than the floor
cannot be told what went: it is told everything from 0 (a *sweep*), and what the sweep did not name goes at
its end, not before; so a reader never sees a key vanish only because its holder was late.

Maps with causal removal (an observed-remove map): an `add` is an entry of its origin, its dot is (name, life,
version).  `discard` writes into the remover's own state which dots it saw; a dot it did not see lives on.
The origin removes its entry once told, then the remover its record.  A reader that loses the record before
the dot keeps it hidden by a note of its own; records of a remover that is dropped are taken over by all who
hold them, as long as the dot stands.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from cressrock.errors.gossip import (
    EntryTooLargeError,
    MalformedGossipError,
    OriginFullError,
    UnsupportedGossipFormatError,
)

FORMAT = 1
DIGEST, DELTA, FRESH, FULL = 0, 1, 2, 3
VALUE, COUNT, DOT, REMOVAL = 0, 1, 2, 3
MOST = (1 << 62) - 1

Origin = tuple[str, int]
Slot = tuple[int, str, str, str, int]  # kind, key, item, and for a removal the dot's name and life
Payload = bytes | int | None  # None: removed
Cursor = tuple[str, int, int]

EVERYTHING_CHANGED: tuple[Origin, str] = (("", 0), "")
"""In `changes()`: more changed than is remembered one by one; look at everything again."""

_Number = Annotated[int, msgspec.Meta(ge=0, le=MOST)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Text = Annotated[str, msgspec.Meta(max_length=65536)]


class _Head(msgspec.Struct, array_like=True, frozen=True):
    format: int
    what: int


class _Wire(msgspec.Struct, array_like=True, frozen=True):
    version: Annotated[int, msgspec.Meta(ge=1, le=MOST)]
    payload: bytes | Annotated[int, msgspec.Meta(ge=0, le=MOST)] | None
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)]
    key: _Text
    item: _Text = ""
    name: Annotated[str, msgspec.Meta(max_length=64)] = ""
    life: _Number = 0


class _Piece(msgspec.Struct, array_like=True, frozen=True):
    """What one origin wrote after `after` and up to `upto`; with upto 0 only the entries themselves."""

    name: _Name
    life: _Number
    after: _Number
    upto: _Number
    floor: _Number
    end: bool  # upto is all that the sender knows
    entries: list[_Wire]
    replaced: list[_Number] = []  # with upto 0: how many versions right before each entry are replaced


class _Parcel(msgspec.Struct, array_like=True, frozen=True):
    format: int
    what: int
    pieces: list[_Piece]


class _Mark(msgspec.Struct, array_like=True, frozen=True):
    name: _Name
    life: _Number
    known: _Number
    floor: _Number = 0  # of a sweep under way, and how far it has come
    swept: _Number = 0


class _Bound(msgspec.Struct, array_like=True, frozen=True):
    name: Annotated[str, msgspec.Meta(max_length=64)]
    life: _Number


class _Digest(msgspec.Struct, array_like=True, frozen=True):
    format: int
    what: int
    start: _Bound
    end: _Bound | None
    marks: list[_Mark]


_encode = msgspec.msgpack.Encoder().encode
_read_head = msgspec.msgpack.Decoder(_Head).decode
_read_parcel = msgspec.msgpack.Decoder(_Parcel).decode
_read_digest = msgspec.msgpack.Decoder(_Digest).decode


@dataclass(frozen=True, slots=True)
class GossipStoreSettings:
    """Bounds; the same in all processes.  Defaults fit 4,806 members and datagrams of 1,200 bytes.

    An entry of the largest key, item and value still fits one datagram beside the envelope: what does not fit
    moves by the full exchange alone, and holds up what its origin writes after it.
    """

    max_key: int = 128  # bytes of a key or an item
    max_value_bytes: int = 640  # bytes of a value
    max_origin_bytes: int = 256 * 1024  # own entries; twice that is taken of another, which may lag behind
    max_origins: int = 8192  # as many as members: 4,806 at the coming size, and lives that are gone but kept
    max_total_bytes: int = 64 * 1024 * 1024  # of which max_origin_bytes are kept free for own entries
    max_parcel: int = 1024 * 1024  # bytes that `merge` and `delta` look at
    max_ahead: int = 64  # stretches known beyond a gap, for each origin; the farthest are forgotten first
    max_rumours: int = 128  # changes on their way; past it the most told go: under load repeats fall away
    max_changes: int = 8192
    keep_removed: int = 128  # removals of one origin that are kept, so that who lags by less needs no sweep
    retransmit_factor: float = 2.0  # each process passes a change on this often times log2 of the members
    idle_digest_bytes: int = 600  # bytes of a digest in calm; else what the caller allows
    lag_digests: int = 8  # so many digests after a delta brought something are not calm
    entry_bytes: int = 400  # what an entry is reckoned to cost beside its texts and value

    def __post_init__(self) -> None:
        """Raise ValueError where the bounds contradict each other."""
        for name in ("max_key", "max_value_bytes", "max_origins", "max_ahead", "max_rumours", "keep_removed"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} is {getattr(self, name)}: at least 1")
        if self.max_total_bytes < 3 * self.max_origin_bytes:
            raise ValueError("max_total_bytes holds less than this process and one other")


@dataclass(slots=True)
class Refused:
    """Counts of what came from others and was not taken."""

    unknown: int = 0  # of a life that is not admitted
    older: int = 0  # of a life that a newer one of its name replaced
    own: int = 0  # in this process's own name, but not written by it: two processes in one life
    origins: int = 0  # max_origins reached
    size: int = 0  # a key or value larger than the settings
    full: int = 0  # the origin's or the total bytes reached


@dataclass(slots=True)
class _Entry:
    version: int
    payload: Payload
    cost: int


@dataclass(slots=True)
class _Sweep:
    floor: int
    upto: int = 0
    kept: set[Slot] = field(default_factory=set)


@dataclass(slots=True)
class _State:
    known: int = 0
    floor: int = 0
    bytes: int = 0
    last: int = 0  # the version that stands last in `entries`
    ordered: bool = True
    entries: dict[Slot, _Entry] = field(default_factory=dict)
    ahead: list[tuple[int, int]] = field(default_factory=list)  # (after, upto], sorted, apart
    sweep: _Sweep | None = None
    removed: int = 0

    def cover(self, after: int, upto: int, most: int) -> None:
        """Take in that everything in (after, upto] is here or replaced."""
        if upto <= self.known or upto <= after:
            return
        if after <= self.known and not self.ahead:
            self.known = upto
            return
        spans: list[tuple[int, int]] = []
        for low, high in sorted([*self.ahead, (after, upto)]):
            if spans and low <= spans[-1][1]:
                spans[-1] = (spans[-1][0], max(high, spans[-1][1]))
            else:
                spans.append((low, high))
        while spans and spans[0][0] <= self.known:
            self.known = max(self.known, spans.pop(0)[1])
        self.ahead = spans[:most]

    def _sort(self) -> None:
        if not self.ordered:
            self.entries = dict(sorted(self.entries.items(), key=lambda pair: pair[1].version))
            self.ordered = True

    def replaced(self, versions: list[int]) -> list[int]:
        """Return how many versions right before each of these (sorted) were replaced by later ones."""
        self._sort()
        wanted, found = set(versions), dict.fromkeys(versions, 0)
        following = 0
        for slot in reversed(self.entries):
            version = self.entries[slot].version
            if following:
                found[following] = max(0, following - 1 - max(version, self.floor))
            following = version if version in wanted and version <= self.known else 0
            if version < versions[0]:
                break
        else:
            if following:
                found[following] = max(0, following - 1 - self.floor)
        return [found[version] for version in versions]

    def after(self, version: int) -> list[tuple[Slot, _Entry]]:
        """Return the entries after a version and up to `known`, in the order of their versions."""
        self._sort()
        found = []
        for slot in reversed(self.entries):
            entry = self.entries[slot]
            if entry.version <= version:
                break
            if entry.version <= self.known:
                found.append((slot, entry))
        found.reverse()
        return found


class GossipStore:
    """One process's copy of what all processes told.

    Own writes raise SpreadTooLarge or SpreadOriginFull.  All else is O(log n) or O(what is handed over).
    """

    def __init__(self, name: str, life: int, settings: GossipStoreSettings, source: random.Random) -> None:
        """`life` is greater than that of every earlier process of this name, or merging is not sound."""
        self.local: Origin = (name, life)
        self.settings = settings
        self.refused = Refused()
        self.sweeps = 0  # sweeps that came to their end
        self._source = source
        self._mine = _State()
        self._states: dict[Origin, _State] = {self.local: self._mine}
        self._order: list[Origin] = [self.local]
        self._lives: dict[str, int] = {name: life}  # the newest life of each name that is held or admitted
        self._strict = False
        self._bytes = 0
        self._live: dict[tuple[int, str], dict[tuple[str, Origin], None]] = {}
        self._removals: dict[tuple[Origin, str, str], dict[Origin, int]] = {}
        self._hidden: dict[tuple[Origin, str, str], int] = {}
        self._settling = False
        self._todo: list[tuple[Slot, int]] = []
        self._changes: dict[tuple[Origin, str], None] = {}
        self._fed = False
        self._lagging = 0  # digests to come that are as large as allowed
        self._turn: Origin | None = None
        self._told: dict[tuple[Origin, Slot], int] = {}
        self._rumours: list[dict[tuple[Origin, Slot], None]] = [{}]

    # --- own writes

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry; the same value again is no change."""
        slot = (VALUE, key, "", "", 0)
        held = self._mine.entries.get(slot)
        if held is None or held.payload != value:
            self._write(slot, value)

    def remove(self, key: str) -> None:
        """Remove an own entry, if there is one."""
        self._erase_own((VALUE, key, "", "", 0))

    def count(self, key: str, by: int = 1) -> None:
        """Let an own counter grow.  Raises ValueError for a negative step."""
        if by < 0:
            raise ValueError(f"a counter only grows: {by}")
        if by:
            slot = (COUNT, key, "", "", 0)
            held = self._mine.entries.get(slot)
            before = held.payload if held is not None and isinstance(held.payload, int) else 0
            self._write(slot, before + by)

    def add(self, map_key: str, item: str, value: bytes) -> None:
        """Put an item into a map: a new dot each time, which no removal so far has seen."""
        self._write((DOT, map_key, item, "", 0), value)

    def discard(self, map_key: str, item: str) -> None:
        """Remove an item as it is seen here, whoever added it; adds that are not seen here survive.

        Where SpreadOriginFull is raised, the adds of some origins may be removed already: ask again.
        """
        seen = [o for found, o in self._live.get((DOT, map_key), ()) if found == item]
        for origin in seen:
            version = self._states[origin].entries[(DOT, map_key, item, "", 0)].version
            if origin == self.local:
                self._erase_own((DOT, map_key, item, "", 0))
            elif not self._is_hidden(origin, map_key, item, version):
                self._write((REMOVAL, map_key, item, *origin), version)

    # --- reading

    def values(self, key: str) -> dict[Origin, bytes]:
        """Return the value that each origin has put under the key."""
        found: dict[Origin, bytes] = {}
        for _, origin in self._live.get((VALUE, key), ()):
            payload = self._states[origin].entries[(VALUE, key, "", "", 0)].payload
            assert isinstance(payload, bytes)
            found[origin] = payload
        return found

    def value_of(self, key: str, origin: Origin) -> bytes | None:
        """Return the value that one origin has put under the key; unlike `get` it looks at nobody else."""
        state = self._states.get(origin)
        entry = state.entries.get((VALUE, key, "", "", 0)) if state is not None else None
        return entry.payload if entry is not None and isinstance(entry.payload, bytes) else None

    def origins(self, key: str) -> list[Origin]:
        """Return who has put a value under the key, sorted."""
        return sorted(origin for _, origin in self._live.get((VALUE, key), ()))

    def counts(self, key: str) -> dict[Origin, int]:
        """Return each origin's own counter."""
        found: dict[Origin, int] = {}
        for _, origin in self._live.get((COUNT, key), ()):
            payload = self._states[origin].entries[(COUNT, key, "", "", 0)].payload
            assert isinstance(payload, int)
            found[origin] = payload
        return found

    def total(self, key: str) -> int:
        """Return the sum over the lives that are held.

        A life that is dropped takes its part along: the total falls.  Who needs growth alone keeps `counts`
        of each life from one look to the next and adds up the steps.
        """
        return sum(self.counts(key).values())

    def items(self, map_key: str) -> dict[str, dict[Origin, bytes]]:
        """Return the map: of each item what each origin that has added it (and not lost it) gave."""
        found: dict[str, dict[Origin, bytes]] = {}
        for item, origin in self._live.get((DOT, map_key), ()):
            entry = self._states[origin].entries[(DOT, map_key, item, "", 0)]
            if not self._is_hidden(origin, map_key, item, entry.version):
                assert isinstance(entry.payload, bytes)
                found.setdefault(item, {})[origin] = entry.payload
        return found

    def drain_changes(self) -> list[tuple[Origin, str]]:
        """Return what merging and `admit` changed since the last call; ANYTHING where it was too much."""
        changed, self._changes = list(self._changes), {}
        return changed

    def known_version(self, origin: Origin) -> int:
        """Return up to which version everything of an origin is here; 0 of one that is not held."""
        state = self._states.get(origin)
        return state.known if state is not None else 0

    def size_bytes(self) -> int:
        """Return the bytes held, as reckoned: texts, values and `entry_bytes` for each entry."""
        return self._bytes

    def snapshot(self) -> dict[Origin, tuple[int, int, dict[Slot, tuple[int, Payload]]]]:
        """Return of each origin its mark, floor and entries (version, payload), for a look inside."""
        return {
            origin: (s.known, s.floor, {slot: (e.version, e.payload) for slot, e in s.entries.items()})
            for origin, s in self._states.items()
        }

    # --- what is told

    def recent_changes(self, max_bytes: int) -> bytes:
        """Return the newest changes as a rumour of at most max_bytes, the least told first; b"" if none."""
        most = self.max_transmissions()
        room = max_bytes - 8
        told: dict[Origin, list[Any]] = {}
        picked: list[tuple[int, tuple[Origin, Slot]]] = []
        stale: list[tuple[int, tuple[Origin, Slot]]] = []
        misses = 0
        for level, rumours in enumerate(self._rumours):
            for rumour in rumours:
                origin, slot = rumour
                state = self._states.get(origin)
                entry = state.entries.get(slot) if state else None
                if entry is None or level >= most:
                    stale.append((level, rumour))
                    continue
                wire = _wire(slot, entry)
                cost = len(wire) + 3 + (0 if origin in told else self._head_bytes(origin))
                if cost > room:
                    misses += 1
                    if misses >= 4:  # near full: no search through all that waits
                        break
                    continue
                room -= cost
                told.setdefault(origin, []).append((entry.version, wire))
                picked.append((level, rumour))
            if misses >= 4:
                break
        for level, rumour in stale:
            del self._rumours[level][rumour], self._told[rumour]
        for level, rumour in picked:
            del self._rumours[level][rumour]
            if level + 1 >= most:
                del self._told[rumour]
            else:
                while len(self._rumours) <= level + 1:
                    self._rumours.append({})
                self._rumours[level + 1][rumour] = None
                self._told[rumour] = level + 1
        if not told:
            return b""
        pieces: list[tuple[Any, ...]] = []
        for origin, wires in told.items():
            wires.sort()
            state = self._states[origin]
            # Without this, a key written again and again leaves gaps that no rumour could ever close.
            replaced = state.replaced([version for version, _ in wires])
            raws = [msgspec.Raw(w) for _, w in wires]
            pieces.append((*origin, 0, 0, state.floor, False, raws, replaced))
        return _encode((FORMAT, FRESH, pieces))

    def _head_bytes(self, origin: Origin) -> int:
        return len(_encode((*origin, 0, 0, self._states[origin].floor, False))) + 6  # and two lists' heads

    def max_transmissions(self) -> int:
        """Return how often this process passes one change on."""
        return max(1, math.ceil(self.settings.retransmit_factor * math.log2(len(self._lives) + 1)))

    def digest(self, max_bytes: int) -> bytes:
        """Return what is known of the next origins, in their order, and the range that this covers.

        The slice goes round: the bytes of one digest do not grow with the number of origins.  In calm it is
        at most `calm_digest`; who was lately told something by a delta asks for more at a time.  At least
        320 bytes, so that one mark of the longest name always fits.
        """
        if self._lagging <= 0:
            max_bytes = min(max_bytes, max(320, self.settings.idle_digest_bytes))
        self._lagging -= self._lagging > 0
        start = self._turn if self._turn is not None else ("", 0)
        at = bisect_left(self._order, start)
        room = max_bytes - len(start[0].encode()) - 100
        marks: list[tuple[Any, ...]] = []
        while at < len(self._order):
            origin = self._order[at]
            state = self._states[origin]
            mark: tuple[Any, ...] = (*origin, state.known)
            if state.sweep is not None:
                mark = (*mark, state.sweep.floor, state.sweep.upto)
            room -= len(_encode(mark))
            if room < 0 and marks:
                break
            marks.append(mark)
            at += 1
        end = self._order[at] if at < len(self._order) else None
        self._turn = end
        return _encode((FORMAT, DIGEST, start, end, marks))

    def delta(self, digest: bytes, max_bytes: int) -> bytes:
        """Return what the digest's sender lacks within its range, of at most max_bytes; b"" if nothing.

        Raises SpreadMalformed or SpreadVersionUnknown.
        """
        return next(iter(self.deltas(digest, max_bytes, 1)), b"")

    def deltas(self, digest: bytes, max_bytes: int, count: int) -> list[bytes]:
        """Return the same in up to `count` datagrams: who lags catches up faster, in calm none is sent.

        Raises SpreadMalformed or SpreadVersionUnknown.
        """
        asked = self._digest(digest)
        marks = {(m.name, m.life): m for m in asked.marks}
        low = bisect_left(self._order, (asked.start.name, asked.start.life))
        high = len(self._order)
        if asked.end is not None:
            high = bisect_left(self._order, (asked.end.name, asked.end.life))
        lacking: list[tuple[Origin, int]] = []
        for origin in self._order[low:high]:
            state, mark = self._states[origin], marks.get(origin)
            if mark is None:
                if state.known:
                    lacking.append((origin, 0))
            elif state.known > mark.known and state.floor >= mark.floor:
                after = mark.known
                if after < state.floor:
                    after = mark.swept if mark.floor == state.floor else 0
                if after <= state.known:
                    lacking.append((origin, after))
        if lacking:
            # Each who answers begins elsewhere, or all would tell the same first part.
            first = self._source.randrange(len(lacking))
            lacking = lacking[first:] + lacking[:first]
        made: list[bytes] = []
        while lacking and len(made) < count:
            data, cursor = self._parcel(DELTA, lacking, max_bytes)
            if data:
                made.append(data)
            if cursor is None:
                break
            at = next(i for i, (origin, _) in enumerate(lacking) if origin == (cursor[0], cursor[1]))
            if not data and cursor[2] == lacking[at][1]:
                at, cursor = at + 1, None  # larger than any datagram: the full exchange has to tell it
            lacking = lacking[at:]
            if cursor is not None:
                lacking[0] = (lacking[0][0], cursor[2])
        return made

    def full_state(self, after: Cursor | None, max_bytes: int) -> tuple[bytes, Cursor | None]:
        """Return a piece of everything after the cursor, and the next cursor (None: that was all)."""
        at = 0 if after is None else bisect_left(self._order, (after[0], after[1]))
        waiting = []
        for origin in self._order[at:]:
            version = after[2] if after is not None and origin == (after[0], after[1]) else 0
            if self._states[origin].known > version:
                waiting.append((origin, version))
        return self._parcel(FULL, waiting, max_bytes)

    def _parcel(
        self, what: int, waiting: Iterable[tuple[Origin, int]], max_bytes: int
    ) -> tuple[bytes, Cursor | None]:
        room = max_bytes - 8
        pieces: list[tuple[Any, ...]] = []
        cursor: Cursor | None = None
        for origin, after in waiting:
            state = self._states[origin]
            head = len(origin[0].encode()) + 48
            if room <= head:
                cursor = (*origin, after)
                break
            room -= head
            wires: list[Any] = []
            upto, end = state.known, True
            for slot, entry in state.after(after):
                wire = _wire(slot, entry)
                if len(wire) > room:
                    # Full: this far, and what follows another time.
                    upto, end = (wires[-1][0] if wires else after), False
                    break
                room -= len(wire)
                wires.append((entry.version, wire))
            if end or wires:
                raws = [msgspec.Raw(w) for _, w in wires]
                pieces.append((*origin, after, upto, state.floor, end, raws))
            if not end:
                cursor = (*origin, upto)
                break
        if not pieces:
            return b"", cursor
        return _encode((FORMAT, what, pieces)), cursor

    # --- what is heard

    def merge(self, data: bytes) -> None:
        """Take in a rumour, a delta or a piece of everything.

        Raises SpreadMalformed or SpreadVersionUnknown; then nothing of it was taken.  What a bound forbids is
        left out and counted in `refused`; the origin's mark stays before it, so that it is told again.
        """
        parcel = self._open(data)
        self._fed = False
        for piece in parcel.pieces:
            state = self._welcome((piece.name, piece.life), piece)
            if state is not None:
                self._piece((piece.name, piece.life), state, piece, parcel.what)
        if self._fed and parcel.what == DELTA:
            self._lagging = self.settings.lag_digests
        self._settle()

    def retain_origins(self, origins: Collection[Origin]) -> None:
        """Say which lives there are: from now on no other is taken, and those held of others are dropped.

        Of a name only the newest life counts; one that was heard here before `origins` knows it stays.
        """
        lives: dict[str, int] = {}
        for name, life in origins:
            lives[name] = max(life, lives.get(name, 0), self._lives.get(name, 0))
        lives[self.local[0]] = self.local[1]
        self._lives, self._strict = lives, True
        for origin in [o for o in self._order if lives.get(o[0]) != o[1]]:
            self._drop(origin)
        self._settle()

    # --- inside: reading bytes

    def _check_head(self, data: bytes) -> int:
        if len(data) > self.settings.max_parcel:
            raise MalformedGossipError(f"{len(data)} bytes; at most {self.settings.max_parcel} are looked at")
        try:
            head = _read_head(data)
        except (msgspec.DecodeError, RecursionError) as wrong:
            raise MalformedGossipError(f"no message of the spread: {str(wrong)[:200]}") from None
        if head.format != FORMAT:
            raise UnsupportedGossipFormatError(f"format {head.format}; this program reads {FORMAT}")
        return head.what

    def _open(self, data: bytes) -> _Parcel:
        what = self._check_head(data)
        if what not in (DELTA, FRESH, FULL):
            raise MalformedGossipError(f"message kind {what} is no parcel")
        try:
            parcel = _read_parcel(data)
        except (msgspec.DecodeError, RecursionError) as wrong:
            raise MalformedGossipError(f"a parcel that cannot be read: {str(wrong)[:200]}") from None
        for piece in parcel.pieces:
            low, high = piece.after, piece.upto or MOST
            if high < low or (not piece.upto and piece.after):
                raise MalformedGossipError(f"a piece from {piece.after} to {piece.upto}")
            if piece.replaced and (piece.upto or len(piece.replaced) != len(piece.entries)):
                raise MalformedGossipError(
                    f"{len(piece.replaced)} counts of what {len(piece.entries)} replaced"
                )
            if any(n >= w.version for n, w in zip(piece.replaced, piece.entries, strict=False)):
                raise MalformedGossipError("an entry that replaces what was before the first version")
            for wire in piece.entries:
                if not low < wire.version <= high:
                    raise MalformedGossipError(f"version {wire.version} after {low}, up to {high}")
                low = wire.version
                _check_kind(wire)
        return parcel

    def _digest(self, data: bytes) -> _Digest:
        if self._check_head(data) != DIGEST:
            raise MalformedGossipError("no digest")
        try:
            return _read_digest(data)
        except (msgspec.DecodeError, RecursionError) as wrong:
            raise MalformedGossipError(f"a digest that cannot be read: {str(wrong)[:200]}") from None

    # --- inside: merging

    def _welcome(self, origin: Origin, piece: _Piece) -> _State | None:
        """Return the state to merge into, or None where this origin is not taken."""
        name, life = origin
        if name == self.local[0]:
            last = piece.entries[-1].version if piece.entries else 0
            if life > self.local[1] or (life == self.local[1] and max(piece.upto, last) > self._mine.known):
                self.refused.own += 1
            return None
        state = self._states.get(origin)
        if state is not None:
            return state
        newest = self._lives.get(name)
        if newest is None and self._strict:
            self.refused.unknown += 1
            return None
        if newest is not None and life < newest:
            self.refused.older += 1
            return None
        if newest is not None and life > newest:
            self._drop((name, newest))
        if len(self._states) >= self.settings.max_origins:
            self.refused.origins += 1
            return None
        self._lives[name] = life
        state = self._states[origin] = _State()
        insort(self._order, origin)
        return state

    def _piece(self, origin: Origin, state: _State, piece: _Piece, what: int) -> None:
        # A joiner that is told everything has no news for anybody; who was up to date but for this has.
        news = what == FRESH or (what == DELTA and state.known > 0)
        if not piece.upto:
            replaced = piece.replaced or [0] * len(piece.entries)
            for wire, before in zip(piece.entries, replaced, strict=True):
                if wire.version > state.known and self._take(origin, state, wire, news):
                    state.cover(wire.version - 1 - before, wire.version, self.settings.max_ahead)
            self._catch_up(origin, state, piece.floor)
            return
        sweep = state.sweep
        if piece.floor > state.known and piece.after == 0 and (sweep is None or sweep.floor < piece.floor):
            sweep = state.sweep = _Sweep(piece.floor)
        if sweep is not None and (sweep.floor != piece.floor or piece.after > sweep.upto):
            sweep = None  # not a part of the sweep under way
        done = piece.upto
        for wire in piece.entries:
            if wire.version > state.known and not self._take(origin, state, wire, news):
                done = wire.version - 1
                break
            if sweep is not None:
                sweep.kept.add((wire.kind, wire.key, wire.item, wire.name, wire.life))
        # Below its floor the sender cannot say what went: there a piece proves nothing by itself.
        state.cover(max(piece.after, piece.floor), done, self.settings.max_ahead)
        if sweep is not None:
            sweep.upto = max(sweep.upto, done)
            if piece.end and done == piece.upto == sweep.upto and done >= sweep.floor:
                self._swept(origin, state, sweep)
        self._catch_up(origin, state, piece.floor)

    def _swept(self, origin: Origin, state: _State, sweep: _Sweep) -> None:
        """Everything there is was named: drop what was not."""
        for slot, entry in list(state.entries.items()):
            if entry.version <= sweep.floor and slot not in sweep.kept:
                self._forget(origin, state, slot)
        state.sweep = None
        state.cover(0, sweep.upto, self.settings.max_ahead)
        self.sweeps += 1

    def _catch_up(self, origin: Origin, state: _State, floor: int) -> None:
        if state.sweep is not None and state.known >= state.sweep.floor:
            state.sweep = None
        if state.floor < floor <= state.known:
            self._raise_floor(origin, state, floor)

    def _raise_floor(self, origin: Origin, state: _State, floor: int) -> None:
        state.floor = floor
        if state.removed:
            for slot, entry in list(state.entries.items()):
                if entry.payload is None and entry.version <= floor:
                    self._forget(origin, state, slot)

    def _take(self, origin: Origin, state: _State, wire: _Wire, news: bool) -> bool:
        """Keep an entry if it is newer than what is held; False if a bound forbids it."""
        slot = (wire.kind, wire.key, wire.item, wire.name, wire.life)
        held = state.entries.get(slot)
        if held is not None and held.version >= wire.version:
            return True
        if self._too_large(slot, wire.payload):
            self.refused.size += 1
            return False
        more = self._cost(slot, wire.payload) - (held.cost if held else 0)
        most = self.settings.max_total_bytes - self.settings.max_origin_bytes
        if more > 0 and (
            state.bytes + more > 2 * self.settings.max_origin_bytes
            or self._bytes - self._mine.bytes + more > most
        ):
            self.refused.full += 1
            return False
        self._set(origin, state, slot, wire.version, wire.payload)
        if news:
            self._rumour(origin, slot)
        self._fed = True
        return True

    def _drop(self, origin: Origin) -> None:
        """Forget a life, and what was only kept because of it."""
        state = self._states.get(origin)
        if state is None:
            return
        # (Own records about its dots go as the dots do, in _note.)
        orphans: list[tuple[Slot, int]] = []
        for slot, entry in list(state.entries.items()):
            if slot[0] == REMOVAL and isinstance(entry.payload, int):
                orphans.append((slot, entry.payload))
            self._forget(origin, state, slot)
        del self._states[origin]
        del self._order[bisect_left(self._order, origin)]
        # A removal is a fact, and may not yet have reached the dot's origin: whoever holds it, tells it on.
        for slot, upto in orphans:
            dots = self._states.get((slot[3], slot[4]))
            dot = dots.entries.get((DOT, slot[1], slot[2], "", 0)) if dots else None
            if dot is not None and dot.payload is not None and dot.version <= upto and dots is not self._mine:
                mine = self._mine.entries.get(slot)
                if mine is None or mine.payload is None:
                    try:
                        self._write(slot, upto)
                    except OriginFullError:
                        self.refused.full += 1  # stays hidden here by the note alone

    def _settle(self) -> None:
        """Own writes that follow from what was merged: dots that others removed, records that are done."""
        self._settling = True
        while self._todo:
            slot, version = self._todo.pop()
            entry = self._mine.entries.get(slot)
            if entry is not None and entry.version == version:
                self._erase_own(slot)
        self._settling = False

    # --- inside: writing

    def _too_large(self, slot: Slot, payload: Payload) -> bool:
        most = self.settings.max_key
        if len(slot[1].encode()) > most or len(slot[2].encode()) > most:
            return True
        return isinstance(payload, bytes) and len(payload) > self.settings.max_value_bytes

    def _cost(self, slot: Slot, payload: Payload) -> int:
        size = len(payload) if isinstance(payload, bytes) else 0
        return self.settings.entry_bytes + len(slot[1]) + len(slot[2]) + len(slot[3]) + size

    def _write(self, slot: Slot, payload: Payload) -> None:
        """Give an own entry the next version."""
        if not slot[1] or self._too_large(slot, payload):
            raise EntryTooLargeError(f"entry {slot[1][:40]!r} {slot[2][:40]!r}: empty, or past the settings")
        held = self._mine.entries.get(slot)
        more = self._cost(slot, payload) - (held.cost if held else 0)
        if payload is not None and self._mine.bytes + more > self.settings.max_origin_bytes:
            # Forgotten removals make room, at the price of a sweep for whoever is late.
            gone = sum(e.cost for s, e in self._mine.entries.items() if e.payload is None and s != slot)
            if self._mine.bytes + more - gone > self.settings.max_origin_bytes:
                raise OriginFullError(
                    f"{self._mine.bytes} bytes of own entries, {more} more for {slot[1][:40]!r};"
                    f" at most {self.settings.max_origin_bytes}"
                )
            self._raise_floor(self.local, self._mine, self._mine.known)
        self._mine.known += 1
        self._set(self.local, self._mine, slot, self._mine.known, payload)
        self._rumour(self.local, slot)
        if self._mine.removed > 2 * self.settings.keep_removed:
            versions = [e.version for _, e in self._mine.after(0) if e.payload is None]
            self._raise_floor(self.local, self._mine, versions[-self.settings.keep_removed - 1])

    def _erase_own(self, slot: Slot) -> None:
        held = self._mine.entries.get(slot)
        if held is not None and held.payload is not None:
            self._write(slot, None)

    def _set(self, origin: Origin, state: _State, slot: Slot, version: int, payload: Payload) -> None:
        held = state.entries.pop(slot, None)
        entry = _Entry(version, payload, self._cost(slot, payload))
        more = entry.cost - (held.cost if held else 0)
        state.bytes += more
        self._bytes += more
        state.removed += (payload is None) - (held is not None and held.payload is None)
        if version < state.last:
            state.ordered = False
        else:
            state.last = version
        state.entries[slot] = entry
        self._note(origin, slot, held, entry)

    def _forget(self, origin: Origin, state: _State, slot: Slot) -> None:
        entry = state.entries.pop(slot)
        state.bytes -= entry.cost
        self._bytes -= entry.cost
        state.removed -= entry.payload is None
        if entry.payload is not None:
            self._note(origin, slot, entry, None)

    def _note(self, origin: Origin, slot: Slot, before: _Entry | None, now: _Entry | None) -> None:
        """Keep the indexes right, and see what a changed entry asks of this process."""
        kind, key, item = slot[0], slot[1], slot[2]
        alive = now is not None and now.payload is not None
        if kind == REMOVAL:
            self._note_removal(origin, slot, before, now)
        elif kind in (VALUE, COUNT, DOT):
            place = self._live.get((kind, key))
            if alive:
                if place is None:
                    place = self._live[(kind, key)] = {}
                place[(item, origin)] = None
            elif place is not None:
                place.pop((item, origin), None)
                if not place:
                    del self._live[(kind, key)]
            if origin != self.local or self._settling:
                self._changed(origin, key)
        if kind == DOT:
            dot = (origin, key, item)
            hidden = self._hidden.get(dot)
            if hidden is not None and (not alive or (now is not None and now.version > hidden)):
                del self._hidden[dot]
            record: Slot = (REMOVAL, key, item, *origin)
            mine = self._mine.entries.get(record)
            if mine is not None and isinstance(mine.payload, int):
                if not alive or (now is not None and now.version > mine.payload):
                    self._todo.append((record, mine.version))

    def _note_removal(self, origin: Origin, slot: Slot, before: _Entry | None, now: _Entry | None) -> None:
        _, key, item, name, life = slot
        target = (name, life)
        dot = (target, key, item)
        if origin != self.local:
            self._changed(target, key)
        state = self._states.get(target)
        entry = state.entries.get((DOT, key, item, "", 0)) if state else None
        if now is not None and isinstance(now.payload, int):
            self._removals.setdefault(dot, {})[origin] = now.payload
            if target == self.local and entry is not None and entry.payload is not None:
                if entry.version <= now.payload:
                    self._todo.append(((DOT, key, item, "", 0), entry.version))
            return
        records = self._removals.get(dot)
        if records is not None:
            records.pop(origin, None)
            if not records:
                del self._removals[dot]
        # The remover is done, or lost, while the dot still stands here: it must not show again.
        if before is not None and isinstance(before.payload, int) and target != self.local:
            if entry is not None and entry.payload is not None and entry.version <= before.payload:
                self._hidden[dot] = max(before.payload, self._hidden.get(dot, 0))

    def _is_hidden(self, origin: Origin, map_key: str, item: str, version: int) -> bool:
        dot = (origin, map_key, item)
        if self._hidden.get(dot, 0) >= version:
            return True
        return any(upto >= version for upto in self._removals.get(dot, {}).values())

    def _changed(self, origin: Origin, key: str) -> None:
        if EVERYTHING_CHANGED in self._changes:
            return
        self._changes[(origin, key)] = None
        if len(self._changes) > self.settings.max_changes:
            self._changes = {EVERYTHING_CHANGED: None}

    def _rumour(self, origin: Origin, slot: Slot) -> None:
        rumour = (origin, slot)
        level = self._told.pop(rumour, None)
        if level is not None:
            del self._rumours[level][rumour]
        elif len(self._told) >= self.settings.max_rumours:
            level = max(i for i, waiting in enumerate(self._rumours) if waiting)
            oldest = next(iter(self._rumours[level]))
            del self._rumours[level][oldest], self._told[oldest]
        self._rumours[0][rumour] = None
        self._told[rumour] = 0


def _wire(slot: Slot, entry: _Entry) -> bytes:
    """Return an entry's bytes; what is empty at its end is left out."""
    kind, key, item, name, life = slot
    if kind in (VALUE, COUNT):
        return _encode((entry.version, entry.payload, kind, key))
    if kind == DOT:
        return _encode((entry.version, entry.payload, kind, key, item))
    return _encode((entry.version, entry.payload, kind, key, item, name, life))


def _check_kind(wire: _Wire) -> None:
    """Raise SpreadMalformed where a known kind has what it cannot have; newer kinds are passed on as is."""
    kind, payload = wire.kind, wire.payload
    if kind > REMOVAL:
        return
    texts = kind in (VALUE, DOT)
    if not wire.key or (payload is not None and isinstance(payload, bytes) != texts):
        raise MalformedGossipError(
            f"an entry of kind {kind} without a key, or with a payload of another kind"
        )
    if kind in (VALUE, COUNT) and wire.item or kind != REMOVAL and (wire.name or wire.life):
        raise MalformedGossipError(f"an entry of kind {kind} with parts of another kind")
    if kind == REMOVAL and not wire.name:
        raise MalformedGossipError("a removal that names no origin")


def full_state_parts(spread: GossipStore, max_bytes: int) -> Iterator[bytes]:
    """Yield everything a spread holds in parcels, as the full exchange sends it."""
    cursor: Cursor | None = None
    while True:
        data, following = spread.full_state(cursor, max_bytes)
        if data:
            yield data
        if following is None or following == cursor:
            return
        cursor = following
