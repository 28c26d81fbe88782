"""The zones' carrier: an edge's evidence into the spread and decrees into its choice; the leader's verdicts.

No choice is made here, and nothing waits for it: without the spread or the council an edge goes on alone.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, cast

import anyio
import msgspec

from cressrock.collect.carrier import Evidence
from cressrock.council.decrees import Decree, Expired
from cressrock.dispatch.driver import Driver
from cressrock.dispatch.ledger import Attempt
from cressrock.dispatch.transport import Call, Ending, Flight, Transport
from cressrock.errors import CressrockError
from cressrock.errors.council import Conflict, NoQuorum
from cressrock.errors.zones import MoveRefused, ZonesError
from cressrock.fleet.members import Member
from cressrock.fleet.messages import State as Life
from cressrock.http.channel import Headers
from cressrock.http.server import Exchange
from cressrock.interface import Node
from cressrock.zones import terms
from cressrock.zones.evidence import MAX_PIECES, PREFIX, All, Origin
from cressrock.zones.spill import Choice
from cressrock.zones.sums import Summed, Sums, Who, read_loads
from cressrock.zones.terms import Zones
from cressrock.zones.verdict import Memory, decided, judge, weigh

MAX_ASKED = 4096  # bytes of a question to the admin port
ROOM = "zones"  # the name under which sums go down


class Spread(Protocol):
    """What is asked of the spread."""

    me: Origin

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""

    def remove(self, key: str) -> None:
        """Remove an own entry."""

    def get(self, key: str) -> dict[Origin, bytes]:
        """Return the value of each origin."""

    def value(self, key: str, origin: Origin) -> bytes | None:
        """Return the value of one."""


class Kept(Protocol):
    """What is asked of the decrees' reader."""

    def get(self, topic: str) -> Decree | Expired | None:
        """Return what counts now."""


class Deciding(Protocol):
    """What is asked of the council."""

    async def decide(self, topic: str, value: bytes, hold_ms: float, if_number: int | None = None) -> Decree:
        """Let a value stand.  Raises Conflict, NoQuorum and others of the council."""

    async def read(self, topic: str) -> Decree | None:
        """Return what stands.  Raises NoQuorum."""


class Ground(Protocol):
    """What the zones stand on; `cressrock.ground.Ground` is one."""

    when_spread: list[Callable[[Origin, str], None]]

    @property
    def spread(self) -> Spread:
        """The spread."""

    @property
    def kept(self) -> Kept:
        """The decrees' reader."""

    @property
    def council(self) -> Deciding | None:
        """The way to the council; None without one in the settings."""

    @property
    def leading(self) -> bool:
        """Whether this process's seat leads, as far as it knows."""

    @property
    def evidence(self) -> Evidence:
        """The way that evidence takes."""

    def members(self) -> tuple[Member, ...]:
        """Return this process's view."""


class _Seen:
    """One attempt, whose end is told as it passes."""

    __slots__ = ("call", "told")

    def __init__(self, call: Call, told: Callable[[Call, Ending], None]) -> None:
        self.call, self.told = call, told

    @property
    def op(self) -> Any:
        return self.call.op

    @property
    def label(self) -> str:
        return self.call.label

    @property
    def attempt(self) -> Attempt:
        return self.call.attempt

    @property
    def deadline(self) -> float:
        return self.call.deadline

    @property
    def leave_by(self) -> float:
        return self.call.leave_by

    def may_leave(self) -> bool:
        return self.call.may_leave()

    def begin(self, reply: Any) -> bool:
        return self.call.begin(reply)

    def end(self, ending: Ending) -> None:
        self.told(self.call, ending)
        self.call.end(ending)


class Counting:
    """A transport that tells how each attempt ended; else the one it wraps."""

    def __init__(self, inner: Transport, told: Callable[[Call, Ending], None]) -> None:
        """`told` gets each attempt and its ending, before the driver does."""
        self.inner, self.told = inner, told

    def start(self, call: Call) -> Flight:
        """Begin an attempt."""
        return self.inner.start(_Seen(call, self.told))


class _Evidence:
    """What was heard by the spread, kept up to date."""

    def __init__(self, settings: Zones, ground: Ground, clock: Callable[[], float]) -> None:
        self.ground, self.clock = ground, clock
        self.all = All(settings)
        self._of: tuple[Member, ...] | None = None
        self._who: list[Who] = []
        self._alive: set[Origin] = set()
        ground.when_spread.append(self.heard)

    def heard(self, origin: Origin, key: str) -> None:
        """Take a changed entry; an empty key says that anything may have changed."""
        now = self.clock()
        if key:
            if key.startswith(PREFIX):
                # Of this origin alone: looking at everybody for each change is n squared in all.
                self._take(key, origin, self.ground.spread.value(key, origin), now)
            return
        for one in (f"{PREFIX}{n}" for n in range(MAX_PIECES)):
            for who, value in self.ground.spread.get(one).items():
                self._take(one, who, value, now)

    def _take(self, key: str, origin: Origin, value: bytes | None, now: float) -> None:
        self.all.take(origin, key, value, now)
        self.ground.evidence.heard(origin, key, value)

    def alive(self) -> list[Who]:
        """Return the members, and forget the words of those who are not surely alive."""
        found = self.ground.members()
        if found is not self._of:  # of thousands this is not made anew at each look
            self._of = found
            self._who = [
                Who((m.name, m.life), m.zone, m.state is Life.ALIVE, m.role == "edge") for m in found
            ]
            self._alive = {w.origin for w in self._who if w.alive}
        self.all.keep(self._alive)
        return self._who


class EdgeZones:
    """An edge's part: `choice` is what is asked where a read goes."""

    def __init__(
        self,
        choice: Choice,
        ground: Ground,
        clock: Callable[[], float],
        zone_of: Callable[[Node], str],
        log: Any,
    ) -> None:
        """`zone_of` names a listed node's zone; `clock` gives monotonic ms."""
        self.choice, self.ground, self.clock, self.zone_of, self.log = choice, ground, clock, zone_of, log
        self.heard = _Evidence(choice.settings, ground, clock)
        self.unread = 0  # what came down and could not be read

    def watch(self, driver: Driver) -> None:
        """Count the attempts of a driver from now on."""
        driver.transport = Counting(driver.transport, self._ended)

    def _ended(self, call: Call, ending: Ending) -> None:
        zone = self.zone_of(call.attempt.node)
        self.choice.ended(zone, call.op.units, ending.outcome, self.clock(), ending.lag_ms)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            now = self.clock()
            for topic in (terms.TOPIC, terms.MOVE_TOPIC):
                self.choice.decreed(topic, self.ground.kept.get(topic), now)
            self.heard.alive()
            self.choice.loads(self._loads(now))
            evidence = self.ground.evidence
            stir = self.choice.stirred() or evidence.stirred() or self.heard.all.accused(now)
            for change in self.choice.own.tell(now, stir, evidence.pace_ms(), evidence.least_ms()):
                evidence.put(change.key, change.value)
            await anyio.sleep(self.choice.settings.beat_ms / 2000)

    def _loads(self, now: float) -> dict[str, float]:
        """Return the zones' own work: as it came down from a collector, else as all told it here."""
        down = self.ground.evidence.down(ROOM)
        if down:
            try:
                return read_loads(down)
            except ZonesError:
                self.unread += 1
        return self.heard.all.loads(now)

    def status(self) -> dict[str, Any]:
        """Return plain values for an admin port."""
        untold = self.ground.evidence.untold
        return {**self.choice.status(), **self.heard.all.status(self.clock()), "untold": untold}


class LeaderZones:
    """A planner's part: while its seat leads, verdicts become decrees."""

    def __init__(
        self, settings: Zones, ground: Ground, hold_ms: float, clock: Callable[[], float], log: Any
    ) -> None:
        """`hold_ms`: how long a verdict counts without renewal."""
        self.settings, self.ground, self.hold_ms, self.clock, self.log = settings, ground, hold_ms, clock, log
        self.heard = _Evidence(settings, ground, clock)
        self.sums = Sums(settings)
        ground.evidence.folds.add(ROOM, self.sums)
        self.memory = Memory()
        self.summed = False  # whether the last look was at collectors' sums
        self.decided = 0
        self.problems: dict[str, int] = {}  # by error code
        self._number, self._standing = -1, cast("terms.Verdict | None", None)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            await anyio.sleep(self.settings.look_ms / 1000)
            self._stands()
            self.heard.alive()
            council = self.ground.council
            if council is None or not self.ground.leading:
                continue
            try:
                # What stands is read of the council itself: a former leader's last word may not be here yet.
                await council.read(terms.TOPIC)
                self.memory = Memory()
                await self._lead(council)
            except CressrockError as wrong:
                self._problem(wrong)

    async def _lead(self, council: Deciding) -> None:
        while self.ground.leading:
            members = self.heard.alive()
            decree = self._stands()
            now = self.clock()
            standing = terms.decode(decree.value) if decree is not None else None
            wanted = self._look(members, standing, now)
            if wanted is not None:
                await self._decide(council, wanted, decree.number if decree is not None else 0, now)
            await anyio.sleep(self.settings.look_ms / 1000)

    def _stands(self) -> Decree | None:
        """Return the decree that stands, counting or not, and let the sums know of it."""
        found = self.ground.kept.get(terms.TOPIC)
        decree = found.decree if isinstance(found, Expired) else found
        if decree is None or decree.number != self._number:
            self._number = decree.number if decree is not None else -1
            try:
                self._standing = terms.decode(decree.value) if decree is not None else None
            except ZonesError:
                self._standing = None  # a newer program's: it is said where it is to be followed
        self.sums.stands(self._standing, self.clock())
        return decree

    def _look(self, members: list[Who], standing: terms.Verdict | None, now: float) -> terms.Verdict | None:
        """Judge by collectors' sums where anybody tells collectors; else by all words, as before."""
        collect = self.ground.evidence.collect
        summed = collect is not None and collect.active()
        if summed != self.summed:
            # Danger: marks of one way say nothing of the other's beats; a new memory is late, never early.
            self.summed, self.memory = summed, Memory()
        beats = self.heard.all.beats()
        if collect is None or not summed:
            return judge(self.settings, members, self.heard.all.words(now), beats, standing, now, self.memory)
        chosen = collect.merged.chosen(now)
        parts = {zone: taken.summary.parts for zone, taken in chosen.items()}
        view = Summed(self.settings, members, parts, {z: t.summary.tellers for z, t in chosen.items()})
        return weigh(self.settings, members, view, beats, standing, now, self.memory)

    async def _decide(self, council: Deciding, wanted: terms.Verdict, number: int, now: float) -> None:
        decided(self.memory, now)
        try:
            made = await council.decide(terms.TOPIC, terms.encode(wanted), self.hold_ms, if_number=number)
        except (Conflict, NoQuorum) as wrong:
            self._problem(wrong)
            if isinstance(wrong, Conflict):
                await council.read(terms.TOPIC)
            return
        self.decided += 1
        self.log.warning(
            "zones decreed",
            number=made.number,
            want=wanted.want,
            room=wanted.room,
            zones={e.zone: [terms.State(e.state).name, e.part, e.losses, e.blind] for e in wanted.entries},
        )

    def _problem(self, wrong: CressrockError) -> None:
        first = wrong.code not in self.problems
        self.problems[wrong.code] = self.problems.get(wrong.code, 0) + 1
        if first:
            self.log.warning("zones not decided", **wrong.fields())

    def status(self) -> dict[str, Any]:
        """Return plain values for an admin port."""
        tallies = {
            zone: {
                "bad": dict(t.bad),
                "good": dict(t.good),
                "half": dict(t.half),
                "slow": t.slow,
                "suspect": t.suspect,
            }
            for zone, t in self.memory.tallies.items()
        }
        return {
            "leads": self.ground.leading,
            "summed": self.summed,
            "decided": self.decided,
            "problems": dict(self.problems),
            "tallies": tallies,
            **self.heard.all.status(self.clock()),
        }


class _Asked(msgspec.Struct, forbid_unknown_fields=True, rename={"source": "from", "target": "to"}):
    """The body of a question to move writes."""

    source: str
    target: str
    may_lose_ms: float = 0.0
    by: str = "operator"


_JSON: Headers = [(b"content-type", b"application/json")]


class Moves:
    """POST /v1/zones/move on the admin port: {"from", "to", "may_lose_ms", "by"}."""

    def __init__(
        self,
        settings: Zones,
        ground: Ground,
        hold_ms: float,
        status: Callable[[], dict[str, Any]],
        behind: Callable[[str, str], float | None] = lambda source, target: None,
    ) -> None:
        """`behind(source, target)`: ms that the target's copies are behind; None where nobody can tell."""
        self.settings, self.ground, self.hold_ms = settings, ground, hold_ms
        self.status, self.behind = status, behind

    async def handle(self, exchange: Exchange) -> None:
        """Answer /v1/zones/..."""
        path, method = exchange.head.target.split(b"?")[0], exchange.head.method
        if path == b"/v1/zones/status" and method == b"GET":
            await exchange.respond(200, _JSON, msgspec.json.encode(self.status()))
        elif path != b"/v1/zones/move":
            await exchange.respond(404, _JSON, b'{"error":"not-found"}')
        elif method != b"POST":
            await exchange.respond(405, [*_JSON, (b"allow", b"POST")], b'{"error":"only-post"}')
        else:
            status, answer = await self._move(await _body(exchange.read))
            await exchange.respond(status, _JSON, msgspec.json.encode(answer))

    async def _move(self, body: bytes | None) -> tuple[int, dict[str, Any]]:
        if body is None:
            return 413, {"error": "too-large"}
        try:
            asked = msgspec.json.decode(body, type=_Asked)
        except msgspec.DecodeError as wrong:
            return 400, {"error": "bad-request", "text": str(wrong)}
        council = self.ground.council
        move = terms.Move(asked.source, asked.target, asked.may_lose_ms, asked.by)
        try:
            if not 0 <= move.may_lose_ms <= 1e12 or len(move.by) > 128:
                raise MoveRefused(f"may_lose_ms {move.may_lose_ms!r} or by {move.by[:40]!r} is out of bounds")
            terms.check_move(self.settings.regions(), move, self.behind(move.source, move.target))
        except MoveRefused as wrong:
            return 409, dict(wrong.fields())
        if council is None:
            return 503, {"error": "no-council", "text": "this process has no way to the council"}
        try:
            made = await council.decide(terms.MOVE_TOPIC, terms.encode(move), self.hold_ms)
        except CressrockError as wrong:
            return 503, dict(wrong.fields())
        return 200, {
            "number": made.number,
            "from": move.source,
            "to": move.target,
            "may_lose_ms": move.may_lose_ms,
        }


async def _body(read: Callable[[], Awaitable[bytes]]) -> bytes | None:
    """Return a small body; None for a large one."""
    found = b""
    while data := await read():
        found += data
        if len(found) > MAX_ASKED:
            return None
    return found
