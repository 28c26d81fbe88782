"""Presence alone in discrete events: the pure cores of many gateways, streams between them, the spread's
delay.

One seed gives one run.  A stream carries its frames in order, each with a delay of its own; what is cut
carries nothing more and is noticed by silence, as TCP through a cut is.  The spread is a delay for each
bucket and receiver (`benchmarks/spread.py` measures the real one); its bytes are reckoned as passed on by
every member 2 log2 n times.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cressrock.lab.presence_check import Told, Watched
from cressrock.presence.messages import ChangeBatch, Heartbeat, Origin, encode_frame
from cressrock.presence.rooms import Rooms
from cressrock.presence.sessions import Session
from cressrock.presence.settings import RoomSettings
from cressrock.presence.view import RoomView

BEAT = len(encode_frame(Heartbeat()))


@dataclass(slots=True)
class _Conn:
    """A stream that one gateway opened to another."""

    one: int
    other: int
    life: int
    number: int
    up: bool = False
    broken: bool = False
    due: list[float] = None  # type: ignore[assignment]


class PresenceNet:
    """Gateways by number.  Times in ms."""

    def __init__(
        self,
        gateways: int,
        seed: int,
        settings: RoomSettings,
        *,
        way_ms: tuple[float, float] = (2.0, 40.0),
        spread_ms: tuple[float, float] = (200.0, 1500.0),
        tick_ms: float = 500.0,
        tell_ms: float = 30.0,
    ) -> None:
        """`way_ms` and `spread_ms` are drawn between two values, for each frame and each bucket told."""
        self.source = random.Random(seed)
        self.settings, self.way_ms, self.spread_ms = settings, way_ms, spread_ms
        self.tick_ms, self.tell_ms = tick_ms, tell_ms
        self.now = 0.0
        self.lives = [1] * gateways
        self.alive = [True] * gateways
        self.cores = [self._core(number) for number in range(gateways)]
        self.group = [0] * gateways  # who is in another group cannot be reached
        self.bytes = {"streams": 0, "beats": 0, "spread": 0}
        self.by_gateway = [0] * gateways
        self.frames = 0
        self.watched: list[tuple[int, Watched, list[int]]] = []
        self.on_event: Callable[[int, str, Any], None] | None = None
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._conns: dict[tuple[int, int], _Conn] = {}
        self._from: list[dict[int, _Conn]] = [{} for _ in range(gateways)]
        self.begun: dict[str, float] = {}  # when members joined, of those whose way is measured
        self.delays: list[float] = []  # from a join to each other gateway that shows it
        self._numbers = itertools.count(1)
        self._by_number: dict[int, _Conn] = {}
        self._flushing = [False] * gateways
        self._spread: list[dict[str, tuple[int, bytes | None]]] = [{} for _ in range(gateways)]
        self._have: list[dict[tuple[int, str], tuple[int, int]]] = [{} for _ in range(gateways)]
        for number in range(gateways):
            self.at(self.source.uniform(0, tick_ms), lambda n=number: self._tick(n))  # type: ignore[misc]

    def _core(self, number: int) -> Rooms:
        key = self.source.randbytes(16)
        return Rooms(Origin(f"g{number:03d}", self.lives[number]), self.settings, key)

    def at(self, after: float, act: Callable[[], None]) -> None:
        """Do something in so many ms."""
        heapq.heappush(self._heap, (self.now + after, next(self._count), act))

    def run(self, ms: float) -> None:
        """Let so much time pass."""
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = end

    # --- what is done to it

    def reaches(self, one: int, other: int) -> bool:
        """Whether two gateways' traffic passes."""
        return self.alive[one] and self.alive[other] and self.group[one] == self.group[other]

    def cut(self, group: list[int]) -> None:
        """Put each gateway into a group; traffic passes within one."""
        self.group = list(group)
        for conn in list(self._conns.values()):
            if not self.reaches(conn.one, conn.other):
                self._break(conn)
        # Anti-entropy: whoever can be reached again is told what it missed.
        for one in range(len(self.cores)):
            self._spread_from(one)

    def kill(self, number: int) -> None:
        """End a gateway's life; its clients' sessions there are lost with it."""
        self.alive[number] = False
        for conn in list(self._conns.values()):
            if number in (conn.one, conn.other):
                self._break(conn)

    def start(self, number: int) -> None:
        """Begin a killed gateway's next life."""
        self.lives[number] += 1
        self.alive[number] = True
        self.cores[number] = self._core(number)
        self._spread[number] = {}
        self._have[number] = {}
        for one in range(len(self.cores)):
            self._spread_from(one)

    def _break(self, conn: _Conn) -> None:
        if conn.broken:
            return
        conn.broken = True
        self.at(self.settings.silent_ms, lambda: self._lost(conn))

    def _lost(self, conn: _Conn) -> None:
        if self._conns.get((conn.one, conn.other)) is not conn:
            return
        del self._conns[(conn.one, conn.other)], self._from[conn.one][conn.other]
        self._by_number.pop(conn.number, None)
        if conn.up and self.alive[conn.one]:
            self.cores[conn.one].source_disconnected(self._origin(conn))
        if conn.up and self.alive[conn.other] and self.lives[conn.other] == conn.life:
            self.cores[conn.other].subscriber_disconnected(conn.number)

    def _origin(self, conn: _Conn) -> Origin:
        return Origin(f"g{conn.other:03d}", conn.life)

    # --- carrying

    def _tick(self, number: int) -> None:
        self.at(self.tick_ms, lambda: self._tick(number))
        if not self.alive[number]:
            return
        core = self.cores[number]
        core.tick(self.now)
        for origin in list(core.desired_sources()):
            other = int(origin[0][1:])
            if (number, other) not in self._conns and self.reaches(number, other):
                if self.lives[other] == origin[1]:
                    self._dial(number, other)
        for conn in self._from[number].values():
            if not conn.up or conn.broken:
                continue
            # Both sides say that they are there; half of it is counted at each tick.
            share = self.tick_ms / (self.settings.silent_ms / 3)
            self.bytes["beats"] += round(2 * BEAT * share)
            core.record_contact(self.now, self._origin(conn))
        self.pump(number)

    def _dial(self, one: int, other: int) -> None:
        conn = _Conn(one, other, self.lives[other], next(self._numbers), due=[0.0, 0.0])
        self._conns[(one, other)] = self._from[one][other] = conn
        self._by_number[conn.number] = conn
        self.bytes["streams"] += 120  # two hellos
        self.at(2 * self.source.uniform(*self.way_ms), lambda: self._stands(conn))

    def _stands(self, conn: _Conn) -> None:
        if conn.broken or self._conns.get((conn.one, conn.other)) is not conn:
            return
        conn.up = True
        self.cores[conn.other].subscriber_connected(conn.number, self.cores[conn.one].origin)
        self.cores[conn.one].source_connected(self.now, self._origin(conn))
        self.pump(conn.one)

    def pump(self, number: int) -> None:
        """Carry what a gateway wants sent, and what it tells the spread and its watchers."""
        core = self.cores[number]
        for to, body in core.drain_outgoing():
            if isinstance(to, int):
                conn = self._by_number.get(to)
                back = 1
            else:
                conn = self._conns.get((number, int(to[0][1:])))
                back = 0
            if conn is None or conn.broken or not conn.up:
                continue
            size = len(encode_frame(body))
            self.bytes["streams"] += size
            self.by_gateway[number] += size
            self.frames += 1
            due = max(conn.due[back], self.now + self.source.uniform(*self.way_ms))
            conn.due[back] = due
            self.at(due - self.now, lambda c=conn, b=back, m=body: self._arrive(c, b, m))  # type: ignore[misc]
        self._flush_soon(number)
        changed = core.drain_directory_updates()
        if changed:
            for key, value in changed:
                version, _ = self._spread[number].get(key, (0, None))
                self._spread[number][key] = (version + 1, value)
                size = len(key) + len(value or b"") + 24
                members = len(self.cores)
                self.bytes["spread"] += round(size * members * 2 * math.log2(members + 1))
            self._spread_from(number)
        if core.has_feed_changes:
            self._look(number)

    def _flush_soon(self, number: int) -> None:
        if self._flushing[number] or not self.cores[number].has_unpublished_changes:
            return
        self._flushing[number] = True
        life = self.lives[number]

        def flush() -> None:
            self._flushing[number] = False
            if self.alive[number] and self.lives[number] == life:
                self.cores[number].publish_changes()
                self.pump(number)

        self.at(self.tell_ms, flush)

    def _arrive(self, conn: _Conn, back: int, body: Any) -> None:
        if conn.broken or self._conns.get((conn.one, conn.other)) is not conn:
            return
        if back:
            self.cores[conn.one].receive_update(self.now, self._origin(conn), body)
            if self.begun and isinstance(body, ChangeBatch):
                self._measure(conn, body)
            self.pump(conn.one)
        else:
            self.cores[conn.other].receive_request(self.now, conn.number, body)
            self.pump(conn.other)

    def _measure(self, conn: _Conn, body: ChangeBatch) -> None:
        view = self.cores[conn.one].views.get(body.room)
        for change in body.changes:
            begun = self.begun.get(change.member_id)
            if begun is not None and change.entry is not None and view is not None:
                if change.member_id in view.holders:
                    self.delays.append(self.now - begun)

    def _spread_from(self, one: int) -> None:
        life = self.lives[one]
        for other in range(len(self.cores)):
            if other == one or not self.reaches(one, other):
                continue
            have, late = self._have[other], []
            for key, (version, value) in self._spread[one].items():
                if have.get((one, key), (0, 0)) < (life, version):
                    have[(one, key)] = (life, version)
                    late.append((key, version, value))
            if late:
                after = self.source.uniform(*self.spread_ms)
                self.at(after, lambda o=other, n=late: self._spread_to(o, one, life, n))  # type: ignore[misc]

    def _spread_to(self, other: int, one: int, life: int, late: list[tuple[str, int, bytes | None]]) -> None:
        have = self._have[other]
        for key, version, value in late:
            if not self.reaches(one, other):
                have.pop((one, key), None)
            elif have.get((one, key)) == (life, version):  # else a newer one is on its way
                self.cores[other].receive_directory_entry(self.now, Origin(f"g{one:03d}", life), key, value)
        self.pump(other)

    # --- clients

    def join(self, number: int, room: str, data: bytes = b"") -> Session:
        """Let a client join at a gateway."""
        session = self.cores[number].join(self.now, room, data)
        self.pump(number)
        return session

    def leave(self, number: int, session: Session) -> None:
        """Let a client leave."""
        self.cores[number].leave(self.now, session)
        self.pump(number)

    def watch(self, number: int, room: str) -> Watched:
        """Let somebody watch a room at a gateway, by snapshot and then events."""
        found = Watched(f"w{len(self.watched)}@g{number:03d}", room)
        self.watched.append((number, found, [0, 0]))
        view = self.cores[number].open_view(self.now, room)
        view.watchers += 1
        self.pump(number)
        self._ask(number, view, found, self.watched[-1][2])
        return found

    def _ask(self, number: int, view: RoomView, watched: Watched, cursor: list[int]) -> None:
        core = self.cores[number]
        events = view.feed.events_after(*cursor) if watched.told else None
        unheard = tuple(sorted(core.unsure_gateways(view, self.now)))
        if events is None:
            members = {one.entry.id: "sure" if one.sure else "unsure" for one in view.members()}
            watched.told.append(Told(self.now, members, [], unheard, bool(watched.told), self.now))
        elif events:
            plain = [
                dict(event=e.event, seq=e.seq, member=e.member, gateway=e.gateway, why=e.reason or "left")
                for e in events
            ]
            watched.told.append(Told(self.now, None, plain, unheard, False, self.now))
        cursor[:] = view.feed.cursor

    def _look(self, number: int) -> None:
        core = self.cores[number]
        news = core.drain_changed_rooms()
        for at, watched, cursor in self.watched:
            if at == number and watched.room in news:
                view = core.open_view(self.now, watched.room)
                self._ask(number, view, watched, cursor)
