"""A process's evidence on its way: its teller, and its collector where it announces one, on the fleet's wire.

Rooms `put` their entries here and do not ask which way holds; `words`, `teller` and `collector` decide.
Nothing waits for any of it: without collectors evidence goes by the spread, and without that each goes on
alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

import anyio

from cressrock.collect import words as w
from cressrock.collect.collector import Collect, Folds, Peer
from cressrock.collect.teller import (
    CARRIED_S,
    Out,
    Teller,
    Times,
    Way,
    most_in_spread,
    spread_pace_ms,
)
from cressrock.errors import CressrockError
from cressrock.errors.collect import CollectError
from cressrock.fleet.members import Member
from cressrock.fleet.messages import State

Origin = tuple[str, int]


class Spread(Protocol):
    """What is asked of the spread."""

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""

    def remove(self, key: str) -> None:
        """Remove an own entry."""


class Evidence:
    """`run` it in a task group beside the fleet's carrier, which gives `receive` what others say."""

    def __init__(
        self,
        me: Origin,
        zone: str,
        spread: Spread,
        *,
        clock: Callable[[], float],
        source: random.Random,
        log: Any,
        seats: Iterable[str] = (),
        tells: bool = True,
        collects: bool = False,
        most: int = 0,
        times: Times | None = None,
    ) -> None:
        """`seats`: names of the council's seats.  `tells`: this process is missed if it tells nothing.
        `collects`: it announces that it collects.

        `most`: tellers that still tell by the spread; 0: derived.
        """
        self.me, self.spread, self.clock, self.log, self.tells = me, spread, clock, log, tells
        self.times = times or Times()
        self.seats = tuple(seats)
        now = clock()
        self.teller = Teller(zone, self.times, source, now)
        self.folds = Folds()
        self.collect = Collect(me, self.times, self.folds, now) if collects else None
        self.way = Way(most or most_in_spread(self.times.renew_ms), self.times.renew_ms)
        self.send: Callable[[str, bytes], None] = lambda name, data: None  # to a member, one datagram
        self.members: Callable[[], tuple[Member, ...]] = lambda: ()
        self.tellers = 0  # members that tell
        self.refused: dict[str, int] = {}  # messages that could not be read, by code
        self.untold = 0  # entries that neither way took
        self._entries: dict[str, bytes] = {}
        self._in_spread: set[str] = set()
        self._source = source
        self._hold_until = 0.0  # nothing goes into the spread before: not all of many in one moment
        self._factor = 1.0
        self._collectors: tuple[Origin, ...] = ()
        self._dumb: tuple[str, ...] = ()
        self._stale = True  # the members changed
        self._of: tuple[Member, ...] | None = None
        self._refreshed = now
        self._news = anyio.Event()

    # --- what rooms ask

    @property
    def collecting(self) -> bool:
        """Whether this process tells collectors."""
        return self.way.collecting

    def put(self, key: str, value: bytes | None) -> None:
        """Set an own entry of evidence; None removes it.  What neither way takes is counted and logged."""
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = value
        if self.collecting:
            self._tell(key, value)
            self._news.set()
        elif self.clock() >= self._hold_until:
            self._spread(key, value)

    def _tell(self, key: str, value: bytes | None) -> None:
        try:
            self.teller.put(key, value, self.clock())
        except CollectError as wrong:
            self._untold(key, wrong)

    def _untold(self, key: str, wrong: CressrockError) -> None:
        self.untold += 1
        if self.untold == 1:
            self.log.warning("evidence not told", key=key, **wrong.fields())

    def down(self, room: str) -> bytes:
        """Return what came down for a room; b"" while there is nothing."""
        if not self.collecting:
            return b""
        try:
            return w.decode_down(self.teller.down).get(room, b"")
        except CollectError as wrong:
            self._refuse(wrong)
            return b""

    def stirred(self) -> bool:
        """Whether a collector wants evidence from all."""
        return self.collecting and self.teller.stirred(self.clock())

    def pace_ms(self) -> float | None:
        """Return how often evidence may change while it is wanted; None: as the spread bears."""
        return self.teller.pace_ms() if self.collecting else None

    def least_ms(self) -> float:
        """Return the least time between two tellings: where many tell by the spread, what it carries."""
        if self.collecting:
            return 0.0
        return spread_pace_ms(self.tellers, CARRIED_S, self.times.renew_ms) * self._factor

    def changed(self) -> None:
        """Hear that the members changed."""
        self._stale = True

    def heard(self, origin: Origin, key: str, value: bytes | None) -> None:
        """Hear evidence that came by the spread; a collector takes that of processes that tell by it."""
        if self.collect is not None and origin != self.me:
            now = self.clock()
            self._refresh(now)
            self.collect.spread(now, *origin, key, value)

    def receive(self, sender: str, life: int, data: bytes) -> None:
        """Take a message of another process; unreadable ones are counted."""
        try:
            message = w.decode(data)
        except CollectError as wrong:
            self._refuse(wrong)
            return
        now = self.clock()
        if isinstance(message, w.Got):
            if self.teller.receive(now, sender, life, message):
                self._news.set()
        elif self.collect is not None:
            self._refresh(now)
            self._send(self.collect.receive(now, sender, life, message))
            self.collect.spent(1, self.clock() - now)

    def _refuse(self, wrong: CollectError) -> None:
        self.refused[wrong.code] = self.refused.get(wrong.code, 0) + 1
        if self.refused[wrong.code] == 1:
            self.log.warning("evidence refused", **wrong.fields())

    # --- how it runs

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            now = self.clock()
            self._refresh(now)
            self._look(now)
            self._send(self.teller.tick(now))
            if self.collect is not None:
                self._send(self.collect.tick(now))
            self._news = anyio.Event()
            due = min(max(self.teller.next_due() - self.clock(), 1.0), self.times.tell_ms)
            with anyio.move_on_after(due / 1000):
                await self._news.wait()

    def _send(self, sends: Iterable[Out]) -> None:
        for out in sends:
            data = w.encode(out.message)
            if out.name == self.me[0]:  # it collects its own zone
                self.receive(*self.me, data)
            else:
                self.send(out.name, data)

    def _refresh(self, now: float) -> None:
        """Take the members' view, if it changed."""
        if not self._stale:
            return
        found = self.members()
        if found is self._of and now < self._refreshed + self.times.lapse_ms:
            return  # the view of thousands is not made anew at each change
        self._of, self._refreshed, self._stale = found, now, False
        there = (State.ALIVE, State.UNSURE)
        members = [m for m in found if m.state in there]
        self._collectors = tuple(sorted((m.name, m.life) for m in members if m.extra == w.CAPABLE))
        self._dumb = tuple(m.name for m in members if m.name in self.seats and m.extra != w.CAPABLE)
        self.tellers = sum(m.role == "edge" for m in members)
        if self.collect is not None:
            peers = [
                Peer(
                    m.name,
                    m.life,
                    m.zone,
                    m.state is State.ALIVE,
                    True,
                    m.role == "edge",
                    m.extra == w.CAPABLE,
                )
                for m in members
            ]
            self.collect.roster(peers, self.seats, now)

    def _look(self, now: float) -> None:
        """Tell by one way or the other, and move all entries where it changed."""
        before = self.collecting
        collecting = self.way.look(now, self.tellers, len(self._collectors), self._dumb)
        wanted = collecting and self.tells or not self.teller.idle()
        self.teller.roster(self._collectors if wanted else (), now)
        if collecting != before:
            self.log.info("evidence", way="collectors" if collecting else "spread", why=self.way.why)
            self._factor = 0.5 + self._source.random()
            self._hold_until = now + self.least_ms()
            for key, value in sorted(self._entries.items()):
                self._tell(key, value if collecting else None)
        if not collecting and self._hold_until and now >= self._hold_until:
            self._hold_until = 0.0
            for key, value in sorted(self._entries.items()):
                self._spread(key, value)
        elif collecting and self._in_spread and self.teller.answered():
            for key in sorted(self._in_spread):  # only now: a collector has them
                self._spread(key, None)

    def _spread(self, key: str, value: bytes | None) -> None:
        try:
            if value is not None:
                self.spread.put(key, value)
                self._in_spread.add(key)
            elif key in self._in_spread:
                self._in_spread.discard(key)
                self.spread.remove(key)
        except CressrockError as wrong:
            self._untold(key, wrong)

    def status(self) -> Mapping[str, Any]:
        """Return plain values for an admin port."""
        teller = self.teller
        return {
            "collecting": self.collecting,
            "why": self.way.why,
            "to": teller.to[0] if teller.to is not None and self.collecting else "",
            "answered": teller.answered(),
            "counts": dict(teller.counts),
            "refused": dict(self.refused),
            "collector": self.collect.status(self.clock()) if self.collect is not None else None,
        }
