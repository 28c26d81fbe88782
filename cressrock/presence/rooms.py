"""Rooms and their members over all gateways: what this gateway has, and what it believes of the others.
Pure.

Each gateway's life is the only writer of its own members, and numbers its changes: a later version is newer,
without any clock, so that merging is the same whatever comes late or twice.  The fleet's spread carries only
*where* members are (`own_buckets`: hashes of rooms in 64 buckets, bounded whatever the number of members).
Who has watchers in a room follows it at the gateways that have members there, by a stream: changes since a
version, or the whole in pages where the origin's log does not reach back.

Order.  Each change names what its gateway had shown of the room's other gateways since its own change before.
A change is shown only after those (causal delivery: Lamport 1978; Birman, Schiper, Stephenson 1991, with the
dependencies told as differences; FIFO by origin makes that complete).  Where a cause cannot be had within
`hold_back_ms` (its gateway is cut off), the effect is shown, and the cause is a *debt*: when it comes, the
feed ends with *resync*, and the cause stands in the snapshot.  So no event ever shows an effect before its
cause.

A session that goes on at another gateway keeps its member's id with a greater `hop`; of one id the greatest
hop is shown, so it is never there twice.  Handing over leaves a marker that names the new gateway; ending a
session that has moved leaves one that nothing older can outlive.

Times are milliseconds of the carrier's clock, which leaves out how long this process itself stood still.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from cressrock.errors.presence import (
    PresenceFrameError,
    PresenceLimitError,
    PresenceRequestError,
    SessionEndedError,
    SessionUnavailableError,
)
from cressrock.presence.liveness import Said, Word, said

FORMAT = 1
BUCKETS = 64
PREFIX = "presence/"  # of keys in the spread: one for each bucket that holds a room
HASH = 8  # bytes of a room's hash; two rooms that share one cost a question too many, nothing else
MAX_FRAME = 256 * 1024

Origin = tuple[str, int]
_Text = Annotated[str, msgspec.Meta(max_length=512)]
_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_Name = Annotated[str, msgspec.Meta(max_length=64)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62) - 1)]
_Data = Annotated[bytes, msgspec.Meta(max_length=4096)]
_Seen = tuple[_Name, _Number, _Number]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A member as its gateway tells it.

    `check` is a digest of the session's secret, by which another gateway may take it over.  `moved` names the
    gateway, life and version by which the session goes on elsewhere; with the name "" it ended for good, by
    its client's word (version 0) or its gateway's (1).
    """

    id: _Id
    hop: _Number = 0
    data: _Data = b""
    locks: Annotated[list[_Text], msgspec.Meta(max_length=64)] = []
    check: Annotated[bytes, msgspec.Meta(max_length=16)] = b""
    moved: _Seen | None = None


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One change of a gateway's members in a room; `seen` is what it follows, as (gateway, life, version)."""

    version: _Number
    member_id: _Id
    entry: Entry | None
    why: _Name = ""
    seen: Annotated[list[_Seen], msgspec.Meta(max_length=4096)] = []


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """The first frame of each side."""

    format: int
    cluster: _Name
    name: _Name
    life: _Number


class Watch(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Tell me this room's changes after a version, and then as they come."""

    room: _Text
    since: _Number


class Unwatch(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Tell me no more of this room."""

    room: _Text


class Page(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A part of all members of a room as of version `upto`; the `last` one ends the whole."""

    room: _Text
    upto: _Number
    first: bool
    last: bool
    entries: list[Entry]
    seen: list[_Seen] = []


class ChangeBatch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Changes in order; with none of them: nothing changed since what was asked for."""

    room: _Text
    changes: list[Change]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """This side is there and has nothing to say."""


class Keep(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Follow this room at me, and say when you have it up to this version."""

    seq: _Number
    room: _Text
    version: _Number


class Move(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Hand this session over to me."""

    seq: _Number
    room: _Text
    id: _Id
    secret: Annotated[bytes, msgspec.Meta(max_length=16)]


class Taken(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The session goes on at me since my version."""

    room: _Text
    id: _Id
    hop: _Number
    version: _Number


class Find(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """What do you hold of this member?"""

    seq: _Number
    room: _Text
    id: _Id


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The answer to Keep, Move or Find: an entry and its gateway where there is one."""

    seq: _Number
    done: bool
    entry: Entry | None = None
    name: _Name = ""
    life: _Number = 0


Body = Hello | Watch | Unwatch | Page | ChangeBatch | Heartbeat | Keep | Move | Taken | Find | Answer
_encode = msgspec.msgpack.Encoder().encode
_decode: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


def encode_frame(body: Body) -> bytes:
    """Return a message with its length before it."""
    data = _encode(body)
    return len(data).to_bytes(4, "big") + data


def unframe(held: bytearray) -> Body | None:
    """Take the first whole message off the bytes; None if there is none yet.  Raises FrameRefused."""
    if len(held) < 4:
        return None
    size = int.from_bytes(held[:4], "big")
    if size > MAX_FRAME:
        raise PresenceFrameError(f"a frame of {size} bytes; at most {MAX_FRAME} are taken")
    if len(held) < 4 + size:
        return None
    data = bytes(held[4 : 4 + size])
    del held[: 4 + size]
    try:
        return _decode.decode(data)
    except msgspec.MsgspecError as wrong:
        raise PresenceFrameError(f"a frame that is no message: {wrong}") from None


def room_hash(room: str) -> bytes:
    """Return a room's hash as the spread carries it; the first byte's low bits are its bucket."""
    return hashlib.blake2b(room.encode(), digest_size=HASH).digest()


def digest(secret: bytes) -> bytes:
    """Return what a secret is checked against."""
    return hashlib.blake2b(secret, digest_size=HASH).digest()


class RoomSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds and times of rooms; the settings file's `presence` gives them."""

    max_members: int = 200_000  # own, over all rooms
    max_room: int = 20_000  # of one room, as seen here
    max_rooms: int = 20_000  # with own members, or followed by others here
    max_views: int = 4096  # rooms followed here, and kept for others
    max_data: int = 256
    max_locks: int = 16
    log: int = 256  # changes of a room that one who was away may be told instead of the whole
    feed: int = 1024  # events of a room that a watcher may lag behind
    max_held: int = 1024  # changes of one gateway in a room that wait for their causes
    grace_ms: float = 30_000.0
    silent_ms: float = 3000.0
    gone_ms: float = 60_000.0
    hold_back_ms: float = 2000.0
    linger_ms: float = 60_000.0
    page_bytes: int = 128 * 1024


@dataclass(slots=True)
class Session:
    """An own member: its entry, when its client was last heard of, and the names it holds by their
    numbers.
    """

    room: str
    entry: Entry
    last_contact_ms: float
    frozen_ms: float = 0.0  # until then it is being handed over
    names: dict[str, int] | None = None


@dataclass(slots=True)
class _Room:
    """A room's own members, the changes that are remembered, and who follows."""

    floor: int  # changes after it are in the log
    members: dict[str, Entry] = field(default_factory=dict)
    log: deque[Change] = field(default_factory=deque)
    seen: dict[Origin, int] = field(default_factory=dict)
    followers: dict[int, int] = field(default_factory=dict)  # stream -> told up to


@dataclass(slots=True)
class _Part:
    """What one origin has told of a room."""

    version: int = 0  # shown up to
    received: int = 0
    members: dict[str, Entry] = field(default_factory=dict)
    synced: bool = False
    heard_ms: float = 0.0  # while not synced: until when it was
    unsure: bool = False
    held: deque[tuple[Change, float]] = field(default_factory=deque)
    paging: dict[str, Entry] | None = None
    kept: bool = False  # the origin asked that it be followed


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a watcher is told.  `event`: join, leave, update, moved, unsure, sure, lock-orphaned, fenced,
    held.
    """

    event: str
    seq: int
    member: str = ""
    gateway: str = ""
    life: int = 0
    data: bytes = b""
    locks: list[str] = []
    why: str = ""
    name: str = ""
    number: int = 0


@dataclass(slots=True)
class RoomView:
    """A room as this gateway shows it, and the feed of what changed."""

    room: str
    until_ms: float
    parts: dict[Origin, _Part] = field(default_factory=dict)
    holders: dict[str, dict[Origin, Entry]] = field(default_factory=dict)
    moving: set[str] = field(default_factory=set)
    feed: deque[Event] = field(default_factory=deque)
    last_seq: int = 0
    epoch: int = 1
    waiting: set[Origin] = field(default_factory=set)  # have changes that wait for causes
    debt: dict[Origin, int] = field(default_factory=dict)
    over: dict[Origin, None] = field(default_factory=dict)  # silent for the stated time
    fresh: dict[Origin, int] = field(default_factory=dict)  # shown since the last own change
    watchers: int = 0
    shown: bool = False  # an own interest, not only kept for others


@dataclass(slots=True)
class _Link:
    """A stream to an origin that is followed."""

    up: bool = False
    heard_ms: float = 0.0
    quiet: bool = True
    rooms: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Shown:
    """A member as it is shown: its entry, gateway and life, and whether that is sure."""

    entry: Entry
    gateway: str
    life: int
    sure: bool


Out = tuple[Origin | int, Body]  # to an origin by the stream to it, or to who came by a stream of that number


class Rooms:
    """One gateway's rooms.  Errors: RoomFull, BadRequest, SessionOver, SessionElsewhere as named."""

    def __init__(self, me: Origin, settings: RoomSettings, key: bytes) -> None:
        """`key` makes the sessions' secrets; it is this life's own and random."""
        self.origin, self.settings = me, settings
        self.version = 0
        self.sessions: dict[str, Session] = {}
        self.rooms: dict[str, _Room] = {}
        self.views: dict[str, RoomView] = {}
        self.links: dict[Origin, _Link] = {}
        self.out: list[Out] = []
        self.kept: list[tuple[int, int]] = []  # Keep of a stream that is fulfilled
        self.ended: list[tuple[str, str, int]] = []  # room, agreed name, number of a session that is over
        self.changed_rooms: set[str] = set()  # rooms whose feed grew, since the carrier looked last
        self.forced_releases = 0  # changes shown before a cause that could not be had
        self.resyncs = 0
        self._key = key
        self._count = 0
        self._due: list[tuple[float, str, int]] = []
        self._dirty: set[str] = set()
        self._doubt: dict[tuple[str, Origin], None] = {}
        self._waiting: dict[str, None] = {}  # views with changes that wait
        self._told: dict[Origin, dict[int, frozenset[bytes] | None]] = {}  # None: may be any room
        self._by_bucket: dict[int, set[str]] = {}
        self._own: dict[int, dict[bytes, int]] = {}  # bucket -> hash -> own rooms
        self._stale: dict[str, float] = {}  # own rooms without members, to be dropped then
        self._changed_buckets: set[int] = set()
        self._streams: dict[int, tuple[Origin, set[str]]] = {}
        self._keeps: dict[Origin, list[tuple[str, int, int, int]]] = {}  # room, version, stream, seq
        self._markers: dict[str, str] = {}  # room of each own marker

    # --- own sessions

    def secret(self, id: str, hop: int) -> bytes:
        """Return the secret of a session here."""
        return hashlib.blake2b(f"{id}.{hop}".encode(), digest_size=16, key=self._key).digest()

    def join(self, now: float, room: str, data: bytes = b"", locks: Iterable[str] = ()) -> Session:
        """Let a new session begin.  Raises RoomFull, BadRequest."""
        own = self.rooms.get(room)
        most = self.settings
        held = len(own.members) if own else 0
        view = self.views.get(room)
        if max(held, len(view.holders) if view else 0) >= most.max_room:
            raise PresenceLimitError(f"room {room!r}: {most.max_room} members (presence.max_room)")
        if len(self.sessions) >= most.max_members:
            raise PresenceLimitError(f"{most.max_members} members at this gateway (presence.max_members)")
        wanted = list(locks)
        self._check(data, wanted)
        self._room(room)
        self._count += 1
        id = f"{self.origin[0]}.{self.origin[1]:x}.{self._count:x}"
        return self._begin(now, room, Entry(id, 0, data, wanted, digest(self.secret(id, 0))))

    def _begin(self, now: float, room: str, entry: Entry) -> Session:
        session = Session(room, entry, now)
        self.sessions[entry.id] = session
        self._change(now, room, entry.id, entry, "")
        self._schedule(session, now + self.settings.grace_ms)
        return session

    def _schedule(self, session: Session, due: float) -> None:
        heapq.heappush(self._due, (due, session.entry.id, session.entry.hop))

    def _check(self, data: bytes, locks: list[str]) -> None:
        if len(data) > self.settings.max_data:
            raise PresenceRequestError(
                f"data of {len(data)} bytes; at most {self.settings.max_data} (presence.max_data)"
            )
        if len(locks) > self.settings.max_locks or any(len(lock) > 256 for lock in locks):
            raise PresenceRequestError(f"locks: at most {self.settings.max_locks} of at most 256 bytes each")

    def session(self, id: str, secret: bytes) -> Session | None:
        """Return an own session by its id and secret; None if it is not here.  Raises SessionOver."""
        session = self.sessions.get(id)
        if session is None:
            return None
        if digest(secret) != session.entry.check:
            raise SessionEndedError(f"session {id}: the token is not the one it was given last")
        return session

    def touch(
        self, now: float, session: Session, data: bytes | None = None, locks: Iterable[str] | None = None
    ) -> None:
        """Take in that a session's client is there, and what it has now.  Raises SessionElsewhere,
        BadRequest.
        """
        if session.frozen_ms > now:
            raise SessionUnavailableError(f"session {session.entry.id} is being handed over")
        entry = session.entry
        data = entry.data if data is None else data
        wanted = entry.locks if locks is None else list(locks)
        self._check(data, wanted)
        session.last_contact_ms = now
        if data != entry.data or wanted != entry.locks:
            session.entry = msgspec.structs.replace(entry, data=data, locks=wanted)
            self._change(now, session.room, entry.id, session.entry, "")

    def leave(self, now: float, session: Session, why: str = "left") -> None:
        """End a session, by its client's word (left) or this gateway's (silent, closed, withdrawn)."""
        entry = session.entry
        if self.sessions.pop(entry.id, None) is None:
            return
        for name, number in (session.names or {}).items():
            self.ended.append((session.room, name, number))
        if entry.hop:
            # A gateway it came from may still hold it: nothing older may come up again.
            end = msgspec.structs.replace(entry, data=b"", locks=[], moved=("", 0, int(why != "left")))
            self._mark(now, session.room, end, why, [])
        else:
            self._change(now, session.room, entry.id, None, why)

    def _mark(self, now: float, room: str, entry: Entry, why: str, seen: list[_Seen]) -> None:
        self._change(now, room, entry.id, entry, why, seen)
        until = now + self.settings.grace_ms + 2 * self.settings.gone_ms
        heapq.heappush(self._due, (until, entry.id, -1 - entry.hop))
        self._markers[entry.id] = room

    def close(self, now: float) -> None:
        """End all sessions here by this gateway's word, in an orderly stop."""
        for session in list(self.sessions.values()):
            self.leave(now, session, "closed")

    # --- hand-over

    def hand_over(self, now: float, ask: Move, to: Origin) -> Entry | None:
        """Return a session's entry for another gateway that takes it, and hold it still meanwhile."""
        try:
            session = self.session(ask.id, ask.secret)
        except SessionEndedError:
            return None
        if session is None or session.room != ask.room:
            return None
        session.frozen_ms = now + self.settings.silent_ms
        session.last_contact_ms = now
        return session.entry

    def taken(self, now: float, word: Taken, by: Origin) -> None:
        """A session goes on elsewhere: leave the marker that names where, after which it is shown there."""
        session = self.sessions.get(word.id)
        if session is None or session.room != word.room or session.entry.hop >= word.hop:
            return
        del self.sessions[word.id]
        marker = msgspec.structs.replace(session.entry, moved=(*by, word.version))
        self._mark(now, word.room, marker, "moved", [(*by, word.version)])

    def take_over(self, now: float, room: str, entry: Entry) -> Session:
        """Go on here with a session that another gateway had.  Raises RoomFull."""
        if len(self.sessions) >= self.settings.max_members:
            raise PresenceLimitError(
                f"{self.settings.max_members} members at this gateway (presence.max_members)"
            )
        self._room(room)
        hop = entry.hop + 1
        check = digest(self.secret(entry.id, hop))
        return self._begin(now, room, Entry(entry.id, hop, entry.data, entry.locks, check))

    def held(self, room: str, id: str) -> tuple[Entry, Origin] | None:
        """Return what is held of a member of another gateway: the newest entry and its gateway."""
        view = self.views.get(room)
        found = view.holders.get(id) if view else None
        if not found:
            return None
        origin = max(found, key=lambda o: (found[o].hop, o))
        entry = found[origin]
        if entry.moved is not None and entry.moved[0]:
            return entry, (entry.moved[0], entry.moved[1])
        return entry, origin

    def reachable(self, origin: Origin) -> bool:
        """Whether the stream to an origin stands and is not silent."""
        link = self.links.get(origin)
        return link is not None and link.up and not link.quiet

    # --- own changes

    def _room(self, room: str) -> _Room:
        own = self.rooms.get(room)
        if own is None:
            if len(self.rooms) >= self.settings.max_rooms:
                raise PresenceLimitError(
                    f"{self.settings.max_rooms} rooms at this gateway (presence.max_rooms)"
                )
            own = self.rooms[room] = _Room(self.version)
        return own

    def _change(
        self, now: float, room: str, id: str, entry: Entry | None, why: str, also: list[_Seen] | None = None
    ) -> None:
        own = self._room(room)
        view = self.views.get(room)
        seen: list[_Seen] = list(also or [])
        if view is not None and view.fresh:
            seen += [(*origin, version) for origin, version in view.fresh.items()]
            own.seen.update(view.fresh)
            view.fresh.clear()
        for name, life, version in also or ():
            own.seen[(name, life)] = max(version, own.seen.get((name, life), 0))
        self.version += 1
        change = Change(self.version, id, entry, why, seen)
        was_empty = not own.members
        if entry is None:
            own.members.pop(id, None)
        else:
            own.members[id] = entry
        own.log.append(change)
        while len(own.log) > self.settings.log:
            own.floor = own.log.popleft().version
        if was_empty and own.members:
            # A room that has been empty for less than the linger has its place still: no news.
            if self._stale.pop(room, None) is None:
                self._hold_bucket(room, 1)
        elif not own.members and not was_empty:
            self._stale[room] = now + self.settings.linger_ms
        if own.followers:
            self._dirty.add(room)
        if view is not None:
            part = view.parts[self.origin]
            self._show(view, self.origin, part, change)
            self._release(view, now)

    def _hold_bucket(self, room: str, by: int) -> None:
        mark = room_hash(room)
        bucket = mark[0] % BUCKETS
        held = self._own.setdefault(bucket, {})
        before = held.get(mark, 0)
        if before + by > 0:
            held[mark] = before + by
        else:
            held.pop(mark, None)
        if not before or mark not in held:
            self._changed_buckets.add(bucket)

    def drain_directory_updates(self, most: int = 600) -> list[tuple[str, bytes | None]]:
        """Return the entries of the spread that changed since the last call; None: to be removed.

        The first byte is the format, the second 1 where there are more rooms than `most` bytes name: then any
        room of this bucket may have members here, and who asks finds out.
        """
        found: list[tuple[str, bytes | None]] = []
        for bucket in sorted(self._changed_buckets):
            marks = sorted(self._own.get(bucket, ()))
            value: bytes | None = None
            if len(marks) * HASH > most:
                value = bytes((FORMAT, 1))
            elif marks:
                value = bytes((FORMAT, 0)) + b"".join(marks)
            found.append((f"{PREFIX}{bucket:02x}", value))
        self._changed_buckets.clear()
        return found

    # --- where others have members

    def receive_directory_entry(self, now: float, origin: Origin, key: str, value: bytes | None) -> None:
        """Take in a bucket of another gateway from the spread; None: it has no room there any more."""
        try:
            bucket = int(key.removeprefix(PREFIX), 16)
        except ValueError:
            return
        if origin == self.origin or not 0 <= bucket < BUCKETS:
            return
        buckets = self._told.setdefault(origin, {})
        if value is None:
            buckets.pop(bucket, None)
            if not buckets:
                self._told.pop(origin)
            return
        if len(value) < 2 or value[0] != FORMAT or len(value) % HASH != 2:
            buckets[bucket] = None  # of a newer program: it may have any room
        elif value[1]:
            buckets[bucket] = None
        else:
            buckets[bucket] = frozenset(value[at : at + HASH] for at in range(2, len(value), HASH))
        for room in self._by_bucket.get(bucket, ()):
            if self.views[room].shown:
                self._look(now, self.views[room], origin)

    def forget(self, origin: Origin) -> None:
        """The spread no longer holds this life; its members become unsure by themselves."""
        self._told.pop(origin, None)

    def _look(self, now: float, view: RoomView, origin: Origin) -> None:
        mark = room_hash(view.room)
        buckets = self._told.get(origin, {})
        bucket = mark[0] % BUCKETS
        if bucket not in buckets or origin in view.parts:
            return
        marks = buckets[bucket]
        if marks is None or mark in marks:
            self._follow(now, view, origin)

    def _follow(self, now: float, view: RoomView, origin: Origin) -> _Part:
        part = view.parts.get(origin)
        if part is None:
            part = view.parts[origin] = _Part(heard_ms=now)
            self._doubt[(view.room, origin)] = None
            link = self.links.setdefault(origin, _Link())
            link.rooms.add(view.room)
            if link.up:
                self.out.append((origin, Watch(view.room, 0)))
        return part

    def open_view(self, now: float, room: str) -> RoomView:
        """Follow a room for a while, for whoever asks here.  Raises RoomFull."""
        view = self._view(now, room)
        view.until_ms = now + self.settings.linger_ms
        if not view.shown:
            view.shown = True
            self._resync(view)  # while nobody looked, nothing was put in order
        for origin in self._told:
            self._look(now, view, origin)
        return view

    def _view(self, now: float, room: str) -> RoomView:
        view = self.views.get(room)
        if view is not None:
            return view
        if len(self.views) >= self.settings.max_views:
            raise PresenceLimitError(f"{self.settings.max_views} rooms followed here (presence.max_views)")
        view = self.views[room] = RoomView(room, now)
        # The feed's numbers do not begin anew: an old cursor must not fit a later view by chance.
        self._count += 1
        view.epoch = self._count
        own = self.rooms.get(room)
        part = view.parts[self.origin] = _Part(synced=True, version=self.version)
        for id, entry in (own.members if own else {}).items():
            part.members[id] = entry
            view.holders.setdefault(id, {})[self.origin] = entry
            if entry.moved is not None:
                view.moving.add(id)
        self._by_bucket.setdefault(room_hash(room)[0] % BUCKETS, set()).add(room)
        return view

    def desired_sources(self) -> Iterator[Origin]:
        """Yield the origins that a stream is wanted to."""
        return (origin for origin, link in self.links.items() if link.rooms)

    def _unfollow(self, view: RoomView, origin: Origin) -> None:
        view.parts.pop(origin, None)
        self._doubt.pop((view.room, origin), None)
        view.waiting.discard(origin)
        view.debt.pop(origin, None)
        view.fresh.pop(origin, None)
        link = self.links.get(origin)
        if link is not None and view.room in link.rooms:
            link.rooms.discard(view.room)
            if link.up:
                self.out.append((origin, Unwatch(view.room)))
            if not link.rooms and not link.up:
                del self.links[origin]

    def _drop_view(self, view: RoomView) -> None:
        for origin in list(view.parts):
            if origin != self.origin:
                self._unfollow(view, origin)
        self.views.pop(view.room, None)
        self._waiting.pop(view.room, None)
        self._by_bucket[room_hash(view.room)[0] % BUCKETS].discard(view.room)

    # --- streams to others

    def source_connected(self, now: float, origin: Origin) -> None:
        """A stream to an origin stands: ask for what is wanted from where it stopped."""
        link = self.links.setdefault(origin, _Link())
        link.up, link.quiet, link.heard_ms = True, False, now
        for room in sorted(link.rooms):
            part = self.views[room].parts[origin]
            part.paging = None
            self.out.append((origin, Watch(room, part.received)))

    def source_disconnected(self, now: float, origin: Origin) -> None:
        """The stream to an origin is over."""
        link = self.links.get(origin)
        if link is None:
            return
        for room in link.rooms:
            part = self.views[room].parts[origin]
            if part.synced:
                part.synced, part.heard_ms = False, link.heard_ms
                self._doubt[(room, origin)] = None
        link.up, link.quiet = False, True
        if not link.rooms:
            del self.links[origin]

    def record_contact(self, now: float, origin: Origin) -> None:
        """Something came from an origin."""
        link = self.links.get(origin)
        if link is None:
            return
        link.heard_ms = now
        if link.quiet and link.up:
            link.quiet = False
            for room in link.rooms:
                self._settle(now, self.views[room], origin)

    def receive_update(self, now: float, origin: Origin, body: Body) -> None:
        """Take in what an origin tells by the stream to it."""
        self.record_contact(now, origin)
        if not isinstance(body, Page | ChangeBatch):
            return
        view = self.views.get(body.room)
        part = view.parts.get(origin) if view is not None else None
        if view is None or part is None:
            return
        if isinstance(body, Page):
            if not self._page(now, view, origin, part, body):
                return
        else:
            for change in body.changes:
                if change.version > part.received:
                    part.received = change.version
                    part.held.append((change, now))
            if part.held:
                view.waiting.add(origin)
                self._release(view, now)
        if not part.synced:
            view.over.pop(origin, None)
            self._come(view, part, part.version, synced=True)
        self._settle(now, view, origin)
        self._check_keeps(origin)

    def _page(self, now: float, view: RoomView, origin: Origin, part: _Part, page: Page) -> bool:
        """Take in a part of the whole; True once it is whole."""
        if page.first:
            part.paging = {}
        if part.paging is None:
            return False
        for entry in page.entries:
            if len(part.paging) < self.settings.max_room:
                part.paging[entry.id] = entry
        if not page.last:
            return False
        whole, part.paging = part.paging, None
        if page.upto < part.version:
            return True
        part.held.clear()
        view.waiting.discard(origin)
        late = [seen for seen in page.seen if not self._has(now, view, seen)]
        for id in [id for id in part.members if id not in whole]:
            self._put(view, origin, part, id, None, "left")
        joins = sum(id not in view.holders for id in whole)
        for id, entry in whole.items():
            if part.members.get(id) != entry:
                self._put(view, origin, part, id, entry, "")
        part.received = page.upto
        self._come(view, part, page.upto)
        view.fresh[origin] = page.upto
        if joins > 1:
            self._resync(view)  # the whole does not tell in which order they came
        if late:
            # The whole may hold effects whose causes are not here: as events they would be out of order.
            for name, life, version in late:
                view.debt[(name, life)] = max(version, view.debt.get((name, life), 0))
            self._resync(view)
        if view.debt.get(origin, page.upto + 1) <= page.upto:
            del view.debt[origin]
            self._resync(view)
        self._release(view, now)
        return True

    def _has(self, now: float, view: RoomView, seen: _Seen) -> bool:
        name, life, version = seen
        if name == self.origin[0]:
            return True
        part = view.parts.get((name, life))
        if part is not None:
            return part.version >= version
        if any(o[0] == name and o[1] > life for o in self._told) or not view.shown:
            return True  # of a life that is over, or in a room that is only kept for its gateway
        if len(view.parts) < 4096:
            self._follow(now, view, (name, life))  # the spread has not told of it yet
        return False

    def _release(self, view: RoomView, now: float, *, force: bool = False) -> None:
        """Show what waits and has its causes, until nothing more can be shown."""
        going = bool(view.waiting)
        while going:
            going = False
            for origin in sorted(view.waiting):
                part = view.parts[origin]
                while part.held:
                    change, since = part.held[0]
                    late = [seen for seen in change.seen if not self._has(now, view, seen)]
                    if late:
                        waited = now - since > self.settings.hold_back_ms
                        if not (force and waited) and len(part.held) <= self.settings.max_held:
                            break
                        self.forced_releases += 1
                        for name, life, version in late:
                            view.debt[(name, life)] = max(version, view.debt.get((name, life), 0))
                    part.held.popleft()
                    self._show(view, origin, part, change)
                    going = True
                if not part.held:
                    view.waiting.discard(origin)
                    if origin in self.links:
                        self._settle(now, view, origin)
        if view.waiting:
            self._waiting[view.room] = None
        else:
            self._waiting.pop(view.room, None)

    def _show(self, view: RoomView, origin: Origin, part: _Part, change: Change) -> None:
        if origin != self.origin:
            view.fresh[origin] = change.version
        debt = view.debt.get(origin, 0)
        self._put(view, origin, part, change.member_id, change.entry, change.why)
        self._come(view, part, change.version)
        if debt:
            # This is a cause whose effect was shown: it may stand in a snapshot, never as an event.
            if change.version >= debt:
                del view.debt[origin]
            self._resync(view)

    def _put(
        self, view: RoomView, origin: Origin, part: _Part, id: str, entry: Entry | None, why: str
    ) -> None:
        before = self.shown(view, id)
        if entry is None:
            part.members.pop(id, None)
            holders = view.holders.get(id)
            if holders is not None:
                holders.pop(origin, None)
                if not holders:
                    del view.holders[id]
        else:
            part.members[id] = entry
            view.holders.setdefault(id, {})[origin] = entry
        if any(e.moved is not None for e in view.holders.get(id, {}).values()):
            view.moving.add(id)
        else:
            view.moving.discard(id)
        self._differ(view, before, self.shown(view, id), why)

    def _come(self, view: RoomView, part: _Part, version: int, *, synced: bool = False) -> None:
        """A part has come so far: of sessions that were handed over to it, it may tell that they ended."""
        before = [(id, found) for id in view.moving if (found := self.shown(view, id)) is not None]
        part.version, part.synced = version, part.synced or synced
        for id, found in sorted(before, key=lambda pair: pair[0]):
            if self.shown(view, id) is None:
                self._differ(view, found, None, "left")

    def _differ(self, view: RoomView, before: Shown | None, now: Shown | None, why: str) -> None:
        if before is None and now is None:
            return
        if now is None:
            assert before is not None
            entry = before.entry
            self._tell(
                view,
                Event(
                    event="leave",
                    seq=0,
                    member=entry.id,
                    gateway=before.gateway,
                    life=before.life,
                    why=why or "left",
                ),
            )
            if entry.locks:
                self._tell(
                    view,
                    Event(
                        event="lock-orphaned",
                        seq=0,
                        member=entry.id,
                        gateway=before.gateway,
                        locks=entry.locks,
                        why=why or "left",
                    ),
                )
            return
        entry = now.entry
        what = "join"
        if before is not None:
            if (before.entry.data, before.entry.locks) != (entry.data, entry.locks):
                what = "update"
            elif (before.gateway, before.life) != (now.gateway, now.life):
                what = "moved"
            else:
                return
        elif entry.hop:
            # It came here from a gateway that was not seen: others may have joined after seeing it there.
            self._resync(view)
            return
        self._tell(
            view,
            Event(
                event=what,
                seq=0,
                member=entry.id,
                gateway=now.gateway,
                life=now.life,
                data=entry.data,
                locks=entry.locks,
            ),
        )

    def _tell(self, view: RoomView, event: Event) -> None:
        view.last_seq += 1
        view.feed.append(msgspec.structs.replace(event, seq=view.last_seq))
        while len(view.feed) > self.settings.feed:
            view.feed.popleft()
        self.changed_rooms.add(view.room)

    def tell(self, room: str, event: Event) -> None:
        """Put an event of another kind (held, fenced) into a room's feed, if it is followed here."""
        view = self.views.get(room)
        if view is not None:
            self._tell(view, event)

    def _resync(self, view: RoomView) -> None:
        self.resyncs += 1
        self._count += 1
        view.epoch = self._count
        view.feed.clear()
        self.changed_rooms.add(view.room)

    # --- what may be said

    def said(self, origin: Origin, part: _Part, now: float) -> Said:
        """Return what may be said of an origin's members in a room."""
        if origin == self.origin:
            return Said(Word.SURE, now)
        link = self.links.get(origin)
        heard = link.heard_ms if part.synced and link is not None else part.heard_ms
        synced = part.synced and link is not None and not link.quiet
        return said(synced, heard, now, self.settings.silent_ms, self.settings.gone_ms)

    def _settle(self, now: float, view: RoomView, origin: Origin) -> None:
        """Say sure again of a part that is in sync and heard."""
        part = view.parts[origin]
        if not part.synced or part.held or self.links[origin].quiet:
            return  # with changes that wait, who has left might be called sure
        self._doubt.pop((view.room, origin), None)
        if part.unsure:
            part.unsure = False
            if part.members or view.moving:
                self._tell(view, Event(event="sure", seq=0, gateway=origin[0], life=origin[1]))

    def _doubted(self, now: float) -> None:
        for origin, link in self.links.items():
            if link.up and not link.quiet and now - link.heard_ms > self.settings.silent_ms:
                link.quiet = True
                for room in link.rooms:
                    self._doubt[(room, origin)] = None
        for room, origin in list(self._doubt):
            view = self.views[room]
            part = view.parts[origin]
            found = self.said(origin, part, now)
            if (
                found.word is Word.UNSURE
                and not part.unsure
                and now - found.since_ms > self.settings.silent_ms
            ):
                part.unsure = True
                if part.members or view.moving:
                    self._tell(view, Event(event="unsure", seq=0, gateway=origin[0], life=origin[1]))
            elif found.word is Word.GONE:
                self._over(view, origin)
                for id in list(part.members):
                    self._put(view, origin, part, id, None, "time")
                self._unfollow(view, origin)
                # Should it come back, what it had long before is no event of then.
                view.debt[origin] = part.version
                self._release(view, now)

    def _over(self, view: RoomView, origin: Origin) -> None:
        """A gateway was silent for the stated time: nor is anybody there who was handed over to it."""
        before = [(id, found) for id in view.moving if (found := self.shown(view, id)) is not None]
        view.over[origin] = None
        while len(view.over) > 4096:
            del view.over[next(iter(view.over))]
        for id, found in sorted(before, key=lambda pair: pair[0]):
            if self.shown(view, id) is None:
                self._differ(view, found, None, "time")

    def tick(self, now: float) -> None:
        """Let time pass: sessions without contact end, silent gateways become unsure, what nobody wants
        goes.
        """
        self._end_sessions(now)
        self._doubted(now)
        for room in list(self._waiting):
            self._release(self.views[room], now, force=True)
        for room, due in list(self._stale.items()):
            own = self.rooms[room]
            if due <= now:
                del self._stale[room]
                if not own.members:
                    self._hold_bucket(room, -1)
                    if not own.followers:
                        del self.rooms[room]
        for view in list(self.views.values()):
            if view.moving and view.shown:
                self._seek(now, view)
            if view.until_ms <= now and not view.watchers:
                self._idle(view)
        self.publish_changes(now)

    def _seek(self, now: float, view: RoomView) -> None:
        """Follow the gateways to which sessions were handed over, or their time could not run out."""
        for id in sorted(view.moving):
            for entry in view.holders[id].values():
                if entry.moved is not None and entry.moved[0]:
                    target = (entry.moved[0], entry.moved[1])
                    if target not in view.parts and target not in view.over:
                        self._follow(now, view, target)

    def _idle(self, view: RoomView) -> None:
        """Nobody asks any more: follow only what a gateway asked to be kept, while it has members there."""
        view.shown = False
        for origin, part in list(view.parts.items()):
            empty = part.synced and not part.members and not part.held
            if origin != self.origin and (not part.kept or empty):
                for id in list(part.members):
                    self._put(view, origin, part, id, None, "")
                self._unfollow(view, origin)
        if len(view.parts) == 1:
            self._drop_view(view)

    def _end_sessions(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, id, hop = heapq.heappop(self._due)
            if hop < 0:
                room = self._markers.get(id, "")
                own = self.rooms.get(room)
                held = own.members.get(id) if own else None
                if held is not None and held.moved is not None and held.hop == -1 - hop:
                    self._change(now, room, id, None, "time")
                if held is None or held.moved is None or held.hop == -1 - hop:
                    self._markers.pop(id, None)
                continue
            session = self.sessions.get(id)
            if session is None or session.entry.hop != hop:
                continue
            due = max(session.last_contact_ms + self.settings.grace_ms, session.frozen_ms)
            if due > now:
                self._schedule(session, due)
            else:
                self.leave(now, session, "silent")

    # --- streams from others

    def subscriber_connected(self, stream: int, origin: Origin) -> None:
        """Another gateway came by a stream."""
        self._streams[stream] = (origin, set())

    def subscriber_disconnected(self, stream: int) -> None:
        """A stream from another gateway is over."""
        _, rooms = self._streams.pop(stream, (("", 0), set()))
        for room in rooms:
            own = self.rooms.get(room)
            if own is not None:
                own.followers.pop(stream, None)
                self._tidy(room, own)
        for keeps in self._keeps.values():
            keeps[:] = [keep for keep in keeps if keep[2] != stream]

    def _tidy(self, room: str, own: _Room) -> None:
        if not own.members and not own.followers and room not in self._stale:
            del self.rooms[room]

    def receive_request(self, now: float, stream: int, body: Body) -> None:
        """Take in what another gateway asks by its stream.  Raises RoomFull past a bound."""
        origin, rooms = self._streams[stream]
        if isinstance(body, Watch):
            if len(rooms) >= self.settings.max_rooms:
                raise PresenceLimitError(f"{origin[0]} follows {len(rooms)} rooms here (presence.max_rooms)")
            own = self._room(body.room)
            rooms.add(body.room)
            own.followers[stream] = self.version
            if body.since and own.floor <= body.since <= self.version:
                late = [change for change in own.log if change.version > body.since]
                self.out.append((stream, ChangeBatch(body.room, late)))
            else:
                self._tell_whole(stream, body.room, own)
        elif isinstance(body, Unwatch):
            rooms.discard(body.room)
            follow = self.rooms.get(body.room)
            if follow is not None:
                follow.followers.pop(stream, None)
                self._tidy(body.room, follow)
        elif isinstance(body, Keep):
            self._keep(now, stream, origin, body)
        elif isinstance(body, Move):
            entry = self.hand_over(now, body, origin)
            self.out.append((stream, Answer(body.seq, entry is not None, entry)))
        elif isinstance(body, Taken):
            self.taken(now, body, origin)
        elif isinstance(body, Find):
            found = self.held(body.room, body.id)
            if found is None:
                self.out.append((stream, Answer(body.seq, False)))
            else:
                self.out.append((stream, Answer(body.seq, True, found[0], *found[1])))

    def _tell_whole(self, stream: int, room: str, own: _Room) -> None:
        pages: list[list[Entry]] = [[]]
        room_left = self.settings.page_bytes
        for entry in own.members.values():
            cost = len(entry.id) + len(entry.data) + sum(map(len, entry.locks)) + 40
            if cost > room_left:
                pages.append([])
                room_left = self.settings.page_bytes
            room_left -= cost
            pages[-1].append(entry)
        seen: list[_Seen] = [(*origin, version) for origin, version in own.seen.items()]
        for at, entries in enumerate(pages):
            last = at == len(pages) - 1
            self.out.append((stream, Page(room, self.version, at == 0, last, entries, seen if last else [])))

    def _keep(self, now: float, stream: int, origin: Origin, ask: Keep) -> None:
        if len(self._keeps.get(origin, ())) >= self.settings.max_views:
            raise PresenceLimitError(
                f"{origin[0]} waits for {self.settings.max_views} rooms (presence.max_views)"
            )
        view = self._view(now, ask.room)
        part = self._follow(now, view, origin)
        part.kept = True
        self._keeps.setdefault(origin, []).append((ask.room, ask.version, stream, ask.seq))
        self._check_keeps(origin)

    def _check_keeps(self, origin: Origin) -> None:
        waiting = self._keeps.get(origin)
        if not waiting:
            return
        left = []
        for room, version, stream, seq in waiting:
            view = self.views.get(room)
            part = view.parts.get(origin) if view else None
            if part is not None and part.synced and part.version >= version:
                self.out.append((stream, Answer(seq, True)))
            elif part is not None:
                left.append((room, version, stream, seq))
        if left:
            self._keeps[origin] = left
        else:
            del self._keeps[origin]

    def publish_changes(self, now: float) -> None:
        """Tell followers what changed since they were told last."""
        for room in sorted(self._dirty):
            own = self.rooms.get(room)
            if own is None:
                continue
            for stream, upto in own.followers.items():
                if upto >= self.version:
                    continue
                if upto < own.floor:
                    self._tell_whole(stream, room, own)
                else:
                    late = [change for change in own.log if change.version > upto]
                    if late:
                        self.out.append((stream, ChangeBatch(room, late)))
                own.followers[stream] = self.version
        self._dirty.clear()

    @property
    def has_unpublished_changes(self) -> bool:
        """Whether followers have to be told something."""
        return bool(self._dirty)

    def streams(self) -> list[int]:
        """Return the numbers of the streams from others."""
        return list(self._streams)

    def idle(self, origin: Origin) -> bool:
        """Whether nothing is followed at an origin."""
        link = self.links.get(origin)
        return link is None or not link.rooms

    def drain_outgoing(self) -> list[Out]:
        """Return what is to be sent, in order."""
        found, self.out = self.out, []
        return found

    # --- what is shown

    def shown(self, view: RoomView, id: str) -> Shown | None:
        """Return a member as it is shown, None if it is not there."""
        holders = view.holders.get(id)
        if not holders:
            return None
        if len(holders) == 1:
            ((origin, entry),) = holders.items()
        else:
            origin, entry = max(holders.items(), key=lambda pair: (_rank(pair[1]), pair[0]))
        if entry.moved is None:
            part = view.parts.get(origin)
            return Shown(entry, *origin, part is not None and not part.unsure)
        name, life, version = entry.moved
        if not name or (name, life) == self.origin or (name, life) in view.over:
            return None
        there = view.parts.get((name, life))
        if there is not None and there.version >= version:
            return None  # its new gateway has told that it ended
        return Shown(entry, name, life, False)

    def members(self, view: RoomView) -> list[Shown]:
        """Return all members that are shown, by id."""
        found = (self.shown(view, id) for id in sorted(view.holders))
        return [one for one in found if one is not None]

    def events_after(self, view: RoomView, epoch: int, seq: int) -> list[Event] | None:
        """Return the events after a cursor; None: too old or of another feed, a new snapshot is due."""
        if epoch != view.epoch or seq > view.last_seq:
            return None
        if seq == view.last_seq:
            return []
        if not view.feed or view.feed[0].seq > seq + 1:
            return None
        skip = seq + 1 - view.feed[0].seq
        return list(itertools.islice(view.feed, skip, None))

    def unsure_gateways(self, view: RoomView, now: float) -> dict[str, float]:
        """Return the gateways whose members in a room are unsure, since when."""
        found: dict[str, float] = {}
        for origin, part in view.parts.items():
            if part.unsure:
                since = self.said(origin, part, now).since_ms
                found[origin[0]] = min(since, found.get(origin[0], since))
        return found

    def unasked(self, view: RoomView) -> list[str]:
        """Return the gateways that were asked for their members and have not told all."""
        return sorted(o[0] for o, part in view.parts.items() if not part.synced)

    def as_of(self, view: RoomView, now: float) -> float:
        """Return the time up to which all that the heard gateways said is here."""
        heard = [
            self.links[o].heard_ms
            for o, p in view.parts.items()
            if o != self.origin and p.synced and not p.unsure
        ]
        return min(heard, default=now)

    def figures(self) -> dict[str, Any]:
        """Return counts for an admin port."""
        return {
            "members": len(self.sessions),
            "rooms": len(self.rooms),
            "views": len(self.views),
            "streams": len(self._streams),
            "links": sum(link.up for link in self.links.values()),
            "version": self.version,
            "forced": self.forced_releases,
            "resyncs": self.resyncs,
        }


def _rank(entry: Entry) -> tuple[int, int]:
    """Of one id the greatest hop counts; among equals the client's own end, then who has it, then silence."""
    if entry.moved is None or entry.moved[0]:
        return entry.hop, 1
    return entry.hop, 0 if entry.moved[2] else 2
