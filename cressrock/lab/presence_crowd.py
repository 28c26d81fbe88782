"""A crowd of scripted clients of presence: they join, go on elsewhere, leave, claim names and watch.

They use the public library alone, over the gateways' admin ports, and keep what they did and were told for
`presence_check`.  A seed draws who does what; how fast the machine is only changes how much of it is done.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import anyio

from cressrock.errors.presence import (
    GatewayUnreachableError,
    MajorityNotReachedError,
    NameHeldError,
    NameNotDecidedError,
    PresenceError,
    SessionUnavailableError,
)
from cressrock.lab.presence_check import Act, Claimed, Told, Watched, state
from cressrock.presence.client import Event, Presence, Room


class Crowd:
    """Clients of a few gateways; `address(name)` gives a gateway's admin address, "" while it has none."""

    def __init__(
        self,
        gateways: Sequence[str],
        rooms: Sequence[str],
        address: Callable[[str], str],
        clock: Callable[[], float],
        seed: int,
        *,
        patience_ms: float = 2500.0,
    ) -> None:
        """`patience_ms`: a gateway that does not answer for so long (beyond what was to wait) is left."""
        self.gateways, self.rooms = list(gateways), list(rooms)
        self.address, self.clock, self.patience_ms = address, clock, patience_ms
        self.source = random.Random(seed)
        self.acts: list[Act] = []
        self.watched: list[Watched] = []
        self.open: dict[tuple[str, str], Watched] = {}  # the present histories, by gateway and room
        self.claims: list[Claimed] = []
        self.present: dict[str, tuple[str, str]] = {}  # member -> room, gateway
        self.counts: dict[str, int] = {}
        self.moving = True
        self.ended = False

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def there(self) -> dict[str, set[str]]:
        """Return who is there by the clients' own word, by room."""
        found: dict[str, set[str]] = {}
        for member, (room, _) in self.present.items():
            found.setdefault(room, set()).add(member)
        return found

    def settled(self) -> bool:
        """Whether each open watcher knows exactly who is there."""
        there = self.there()
        return all(state(one.told) == there.get(one.room, set()) for one in self.open.values())

    # --- watchers

    async def watch(self, gateway: str, room: str) -> None:
        """Watch until the end; a gateway that does not answer ends one history, and another begins."""
        while not self.ended:
            if not self.address(gateway):
                await anyio.sleep(0.1)
                continue
            history = Watched(f"{gateway}#{len(self.watched)}", room)
            try:
                async with Presence.connect(self.address(gateway)) as presence:
                    with anyio.fail_after(self.patience_ms / 1000):
                        seen = await presence.room(room)
                    self.watched.append(history)
                    self.open[(gateway, room)] = history
                    self._told(history, seen, None)
                    while not self.ended:
                        # The cursor goes on where an answer did not come: the same events are told then.
                        with anyio.fail_after((400 + 4 * self.patience_ms) / 1000):
                            events = await seen.poll(400)
                        self._told(history, seen, events)
            except* (PresenceError, TimeoutError, OSError):
                self._count("watch broken")
                self.open.pop((gateway, room), None)
                await anyio.sleep(0.2)

    def _told(self, history: Watched, seen: Room, events: list[Event] | None) -> None:
        unheard = tuple(one.gateway for one in seen.not_heard)
        resync = events is not None and any(one.event == "resync" for one in events)
        members = {id: "sure" if one.sure else "unsure" for id, one in seen.members.items()}
        if events is None or resync:
            history.told.append(Told(self.clock(), members, [], unheard, resync))
            self._count("resync" if resync else "snapshot")
            return
        plain = []
        for one in events:
            plain.append(
                dict(event=one.event, seq=one.seq, member=one.member, gateway=one.gateway, why=one.why)
            )
            self._count(f"event {one.event}")
        history.told.append(Told(self.clock(), None, plain, unheard))

    # --- members

    async def member(self, number: int) -> None:
        """Be one client after another, until the end."""
        while not self.ended:
            if not self.moving:
                await anyio.sleep(0.1)
                continue
            gateway, room = self.source.choice(self.gateways), self.source.choice(self.rooms)
            meaning = self.source.choice(["here", "here", "near"])
            if not self.address(gateway):
                await anyio.sleep(0.1)
                continue
            try:
                async with Presence.connect(self.address(gateway)) as presence:
                    await self._live(presence, gateway, room, meaning, number)
            except* (PresenceError, TimeoutError, OSError) as wrong:
                self._count(f"broken {type(wrong.exceptions[0]).__name__}")
                await anyio.sleep(0.1)

    async def _live(self, presence: Presence, gateway: str, room: str, meaning: str, number: int) -> None:
        with anyio.fail_after(self.patience_ms / 1000):
            shown = await presence.room(room)
        act = Act("join", room, "", self.clock(), gateway=gateway, seen=frozenset(shown.members))
        self.acts.append(act)
        try:
            with anyio.fail_after(2 * self.patience_ms / 1000):
                joined = await presence.join(
                    room, meaning=meaning, data=b"%d" % number, wait_ms=self.patience_ms
                )
        except MajorityNotReachedError:
            self._count("not near")
            return
        act.member, act.end = joined.member, self.clock()
        self._count(f"joined {meaning}")
        self.present[joined.member] = (room, gateway)
        held: Room | None = joined
        steps = self.source.randrange(3, 12)
        while held is not None and not self.ended:
            await anyio.sleep(self.source.uniform(0.05, 0.4))
            what = self.source.choice(["touch", "touch", "touch", "move", "name"])
            if self.moving:
                steps -= 1
                if steps <= 0:
                    await self._leave(held, gateway)
                    return
            else:
                what = "touch"
            if what == "name" and number < 3:
                await self._name(held)
            else:
                held, gateway = await self._stay(held, gateway, what)

    async def _leave(self, held: Room, gateway: str) -> None:
        self.acts.append(Act("leave", held.path, held.member, self.clock(), gateway=gateway))
        # From here on nobody says any more that it is there, whether it is heard or not.
        self.present.pop(held.member, None)
        with anyio.fail_after(self.patience_ms / 1000):
            await held.leave()
        self._count("left")

    async def _name(self, held: Room) -> None:
        begin = self.clock()
        try:
            with anyio.fail_after(2 * self.patience_ms / 1000):
                found = await held.agreed("editor", take=self.source.random() < 0.4, wait_ms=self.patience_ms)
        except (NameHeldError, NameNotDecidedError) as wrong:
            self._count(type(wrong).__name__)
            return
        except (PresenceError, TimeoutError):
            return
        self._count("claimed")
        self.claims.append(Claimed(held.path, "editor", held.member, found.number, begin, self.clock()))

    async def _stay(self, held: Room, gateway: str, what: str) -> tuple[Room | None, str]:
        """Stay in touch, here or at another gateway; None once the session is over."""
        if what == "touch":
            act = Act("touch", held.path, held.member, self.clock(), gateway=gateway)
            try:
                with anyio.fail_after(self.patience_ms / 1000):
                    await held.touch()
                act.end = self.clock()
                self.acts.append(act)
                return held, gateway
            except (GatewayUnreachableError, TimeoutError):
                pass
            except PresenceError as wrong:
                return await self._lost(held, wrong)
        token = held.token
        for other in self.source.sample(self.gateways, len(self.gateways)):
            if not self.address(other) or (other == gateway and what == "move"):
                continue
            act = Act("resume", held.path, held.member, self.clock(), gateway=other)
            try:
                # The old client's task group owns the connections; a moved client goes on with a new address.
                with anyio.fail_after(self.patience_ms / 1000):
                    held.presence.addresses = (self.address(other),)
                    found = await held.presence.resume(token, wait_ms=self.patience_ms / 2)
                act.end = self.clock()
                self.acts.append(act)
                self._count("resumed")
                self.present[found.member] = (held.path, other)
                return found, other
            except (GatewayUnreachableError, SessionUnavailableError, TimeoutError):
                continue
            except PresenceError as wrong:
                return await self._lost(held, wrong)
        return await self._lost(held, None)

    async def _lost(self, held: Room, wrong: PresenceError | None) -> tuple[None, str]:
        self._count(f"lost {type(wrong).__name__ if wrong else 'everywhere'}")
        self.present.pop(held.member, None)
        return None, ""
