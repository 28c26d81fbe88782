"""One seat of the council over TCP: raft's batches kept, sent and applied in that order, questions answered.

The raft core is touched by one task alone (`_drive`): what comes in waits in a bounded queue until the batch
before it is kept, sent and applied.  A batch is written in a thread and awaited; nothing of it is said
before it lasts.  When the store fails, the seat is over: its core is thrown away, every connection is parted
with by the reason, and nothing is answered from memory.

How a seat comes to sit (`start`):

- "found": with no store, all seats named in the settings greet one another, each with the id drawn for its
  new store; when all have met, each founds the council of those identities.  A seat that meets a council
  which stands without it has lost its store (StoreLost): it takes no part.
- "expect": as above, but a store must be there; without one the seat takes no part (StoreLost).
- "join": with no store, the seat joins as a new one: the leader puts the former self of its name out, teaches
  it, and takes it in.  With a store, all three are the same: it goes on from there.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Literal

import anyio
import anyio.lowlevel
import msgspec
import xxhash
from anyio.abc import TaskGroup

from cressrock.council import decrees as d
from cressrock.council import messages as m
from cressrock.council import wire as w
from cressrock.council.client import AskSettings, Council, Kept
from cressrock.council.line import Connection, Line, Redial, World, in_line, off_loop
from cressrock.council.raft import Entry, Ready, Role, Seat, Stored, Timing, first
from cressrock.council.store import Header, Store, name_of
from cressrock.errors import CressrockError
from cressrock.errors.council import (
    CouncilBusy,
    MessageRefused,
    NotLeader,
    PeerParted,
    SeatRemoved,
    SeatsRefused,
    SeatsWrong,
    StoreLost,
)
from cressrock.http.channel import Stream

__all__ = [
    "AskSettings",
    "Council",
    "CouncilSeat",
    "Kept",
    "Redial",
    "SeatSettings",
    "World",
    "check_hold",
    "check_seats",
    "in_line",
    "off_loop",
]

FOREVER = float("inf")
MAX_NAME = 47  # with "#" and the id of 16 characters it fits a name of raft's messages


@dataclass(frozen=True, slots=True)
class SeatSettings:
    """One seat; times in milliseconds.  `seats` gives each one's address as this process reaches it."""

    name: str
    cluster: str
    seats: Mapping[str, str]
    store: str | Path
    start: Literal["found", "join", "expect"] = "found"
    timing: Timing = Timing()
    bounds: w.Bounds = w.Bounds()
    redial: Redial = Redial()
    limits: d.Limits = d.Limits()
    renew_ms: float = 500.0  # how often a leader renews; a few of them should fit the shortest hold
    join_ms: float = 200.0  # how often a new seat asks to be taken in
    ask_ms: float = 2000.0  # how long a seat works on one question
    max_inbox: int = 4096  # messages of other seats that wait for the disk; more are lost, as on a wire
    max_asks: int = 1024  # questions at work at once; more are told to come later
    max_connections: int = 1024  # open at once, seats' and clients'; more are parted with at once
    max_log: int = 4096  # entries; at half of it a snapshot is drawn, at all of it the log is cut to that
    max_log_bytes: int = 8 << 20  # bytes of entries, likewise


def check_seats(names: Iterable[str], me: str) -> None:
    """Check the seats of a council.  Raises SeatsWrong."""
    listed = list(names)
    if len(set(listed)) != len(listed):
        raise SeatsWrong(f"a seat is named twice: {', '.join(sorted(listed))}")
    if len(listed) not in (3, 5):
        raise SeatsWrong(f"{len(listed)} seats: {', '.join(listed)}")
    for name in listed:
        if not 0 < len(name) <= MAX_NAME or "#" in name:
            raise SeatsWrong(f"the seat's name {name!r}: 1 to {MAX_NAME} characters, none of them '#'")
    if me not in listed:
        raise SeatsWrong(f"{me!r} is not among the seats {', '.join(listed)}")


def check_hold(hold_ms: float, timing: Timing, renew_ms: float) -> None:
    """Check that a hold lives through a leader's death.  Raises SeatsWrong.

    A death is noticed within two election times, a new leader stands within two more, and renews at once;
    below that sum every change of leader lets decrees lapse.
    """
    least = 4 * timing.election_ms + renew_ms
    if hold_ms < least:
        raise SeatsWrong(f"a hold of {hold_ms:g} ms; with these elections at least {least:g}")


def council_of(cluster: str, founders: tuple[str, ...]) -> str:
    """Return a council's own name, made from the identities that founded it."""
    text = "\0".join((cluster, *sorted(founders)))
    return xxhash.xxh3_64_hexdigest(text.encode())


@dataclass(slots=True)
class _Asked:
    """A question at work."""

    question: w.Question
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: w.Reply | None = None

    def answer(self, reply: w.Reply) -> None:
        if self.reply is None:
            self.reply = reply
            self.done.set()


class CouncilSeat:
    """One seat: `run` it in a task group, and hand accepted streams to `serve`."""

    def __init__(
        self,
        world: World,
        settings: SeatSettings,
        *,
        publish: Callable[[tuple[d.Decree, ...]], None] = lambda decrees: None,
        changed: Callable[[dict[str, Any]], None] = lambda status: None,
        applied: Callable[[int, d.Command, d.Outcome], None] = lambda index, command, outcome: None,
        max_pages: int = 0,
    ) -> None:
        """`publish` takes decrees for all to read, from a leader with each beat and from any seat when newly
        decided; `changed` the status when role, leader or failure changed.  Raises SeatsWrong.
        """
        if settings.start == "found":
            check_seats(settings.seats, settings.name)
        self.world, self.settings = world, settings
        self.publish, self.changed, self.applied = publish, changed, applied
        self.max_pages = max_pages
        self.failed: CressrockError | None = None
        self.store: Store | None = None
        self.header: Header | None = None
        self.seat: Seat | None = None
        self.decrees = d.Decrees(settings.limits)
        self.beats = d.Beats()
        self.counts: Counter[str] = Counter()
        self.lines: dict[str, Line] = {}
        self._tasks: TaskGroup | None = None
        self._served: set[Connection] = set()
        self._inbox: deque[tuple[str, m.SeatMessage]] = deque()
        self._asks: deque[_Asked] = deque()
        self._at_work = 0
        self._waiting: dict[str, list[_Asked]] = {}
        self._reads: dict[int, _Asked | None] = {}
        self._news = anyio.Event()
        self._renew_due = 0.0
        self._mark: tuple[int, bytes] | None = None
        self._told: tuple[object, ...] = ()
        self._stored = Stored()
        self._sat = False
        self._replayed = 0  # the last index that the store held at the start

    # --- identity

    @property
    def identity(self) -> str:
        """The seat's name in the log: name#id; "" before the store is open."""
        return self.header.identity if self.header else ""

    @property
    def founders(self) -> tuple[str, ...]:
        """The identities that founded this seat's council; () before it has one."""
        return tuple(self.header.founders) if self.header else ()

    def _me(self) -> w.Me:
        founders = self.founders
        council = council_of(self.settings.cluster, founders) if founders else ""
        return w.Me(self.settings.cluster, self.identity, True, council, founders, self.decrees.applied)

    def status(self) -> dict[str, Any]:
        """Return the seat's status as plain values, for an admin port."""
        seat, now = self.seat, self.world.clock()
        role = "failed" if self.failed else seat.role.value if seat else "waiting"
        heard = {name: line.heard_ms() for name, line in self.lines.items()}
        parted = {name: line.parted.reason for name, line in self.lines.items() if line.parted}
        return {
            "name": self.settings.name,
            "identity": self.identity,
            "council": self._me().council,
            "role": role,
            "failed": self.failed.fields() if self.failed else None,
            "term": seat.term if seat else 0,
            "generation": seat.generation if seat else 0,
            "leader": name_of(seat.leader) if seat else "",
            "seats": list(seat.seats) if seat else [],
            "commit": seat.commit if seat else 0,
            "applied": self.decrees.applied,
            "number": self.decrees.number,
            "topics": len(self.decrees.all()),
            "log": len(seat.log.entries) if seat else 0,
            "beat": self.beats.beat,
            "heard_ms_ago": {name: None if at is None else round(now - at) for name, at in heard.items()},
            "parted": parted,
            "store_bytes": self.store.size() if self.store else 0,
            "counts": dict(self.counts) | (dict(seat.counts) if seat else {}),
        }

    def _tell(self) -> None:
        seat = self.seat
        now = (seat.role, seat.term, seat.leader) if seat else (None, 0, "")
        known = (*now, self.failed, self.founders)
        if known != self._told:
            self._told = known
            status = self.status()
            self.world.say("council.seat", **{key: status[key] for key in ("role", "term", "leader")})
            self.changed(status)

    # --- life

    async def run(self) -> None:
        """Sit until cancelled; a seat that fails stays, and tells everybody who asks why it is silent."""
        settings = self.settings
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                try:
                    await self.world.keep(self._open)
                    self._begin()
                    for name in sorted(set(settings.seats) - {settings.name}):
                        self.lines[name] = self._dial(name)
                        tasks.start_soon(self.lines[name].run)
                    self._tell()
                    tasks.start_soon(self._joining)
                    await self._drive()
                except CressrockError as wrong:
                    self._fail(wrong)
                    tasks.cancel_scope.cancel()
            await anyio.sleep_forever()
        finally:
            self._tasks = None
            if self.store is not None:
                self.store.close()

    def _open(self) -> None:
        settings = self.settings
        Path(settings.store).parent.mkdir(parents=True, exist_ok=True)
        self.store = Store(
            settings.store,
            cluster=settings.cluster,
            seat=settings.name,
            expect=settings.start == "expect",
            draw=self.world.draw,
            max_pages=self.max_pages,
        )
        self.header = self.store.header
        if self.header.removed:
            raise SeatRemoved(f"seat {self.identity} was put out of the council")
        self._stored = self.store.load()

    def _begin(self) -> None:
        if not self.founders:
            return
        snapshot = self._stored.snapshot
        self.decrees = d.Decrees(self.settings.limits)
        if snapshot is not None:
            self.decrees = d.Decrees.restore(snapshot.data, snapshot.index)
            self._sat = self.identity in snapshot.seats
        now = self.world.clock()
        entries = self._stored.entries
        self._replayed = entries[-1].index if entries else self.decrees.applied
        self.seat = Seat(self.identity, self._stored, self.settings.timing, self.world.source, now)

    def _fail(self, wrong: CressrockError) -> None:
        self.failed, self.seat, self._tasks = wrong, None, None
        self.world.say("council.seat.stopped", **wrong.fields())
        self._end_all(w.Elsewhere())
        for connection in list(self._served):
            connection.close(wrong.code, wrong.text)
        if self.store is not None:
            self.store.close()
        self._tell()

    def _end_all(self, reply: w.Reply) -> None:
        waiting, self._waiting = self._waiting, {}
        reads, self._reads = self._reads, {}
        asks, self._asks = self._asks, deque()
        for asked in (*asks, *(one for many in waiting.values() for one in many), *reads.values()):
            if asked is not None:
                asked.answer(reply)

    def _wake(self) -> None:
        self._news.set()

    # --- founding and joining

    def _dial(self, name: str) -> Line:
        return Line(
            self.world,
            name,
            self.settings.seats[name],
            self._me,
            bounds=self.settings.bounds,
            redial=self.settings.redial,
            opened=self._wake,
        )

    async def _found(self) -> None:
        """Look whether this seat can have a council by now."""
        if self.seat is not None or self.header is None:
            return
        met = {name: line.peer for name, line in self.lines.items() if line.peer is not None}
        standing = [peer for peer in met.values() if peer.council]
        founders: tuple[str, ...] = ()
        stored = Stored()
        for peer in standing:
            if self.identity in peer.founders or self.settings.start == "join":
                founders = tuple(peer.founders)
            else:
                raise StoreLost(
                    f"the council {peer.council} stands (seat {peer.who} says), and the store of "
                    f"{self.settings.name} at {self.settings.store} is not of it"
                )
        if not standing and self.settings.start != "join" and len(met) == len(self.lines):
            founders = tuple(sorted((self.identity, *(peer.who for peer in met.values()))))
            if sorted(map(name_of, founders)) != sorted(self.settings.seats):
                raise SeatsWrong(f"at the seats' addresses sit {', '.join(founders)}")
        if not founders:
            return
        if self.identity in founders:
            stored = first(founders)
        header = msgspec.structs.replace(self.header, founders=founders)
        store = self.store
        assert store is not None
        await self.world.keep(partial(store.keep_header, header, stored))
        self.header, self._stored = header, stored
        self._begin()
        self.world.say("council.founded", council=self._me().council, founders=list(founders))
        # Whoever greeted before learns of the council by greeting again.
        for connection in list(self._served):
            if connection.talk.peer_seat:
                connection.close("council-founded", "founded: greet again")

    async def _joining(self) -> None:
        """Ask to be taken in for as long as this seat is none."""
        if self.settings.start != "join":
            return
        while True:
            await anyio.sleep(self.settings.join_ms / 1000)
            if self.failed is not None or (self.seat is not None and self.identity in self.seat.seats):
                return
            if self.seat is None:
                continue
            for line in self.lines.values():
                until = self.world.clock() + self.settings.ask_ms
                reply = await line.ask(w.Join(self.identity), forward=True, until_ms=until)
                if isinstance(reply, d.Done):
                    break

    # --- connections that others opened

    async def serve(self, stream: Stream) -> None:
        """Serve one accepted stream to its end."""
        clock = self.world.clock
        talk = w.Talk(False, self._me(), clock(), bounds=self.settings.bounds)
        connection = Connection(talk, stream, clock, lambda event: self._on_event(connection, event))
        self._served.add(connection)
        try:
            if self.failed is not None:
                connection.close(self.failed.code, self.failed.text)
            elif self.header is None:
                connection.close("council-starting", "the store is being opened")
            elif len(self._served) > self.settings.max_connections:
                connection.close("council-crowded", f"{self.settings.max_connections} connections are open")
            await connection.run()
        finally:
            self._served.discard(connection)

    def _on_event(self, connection: Connection, event: w.Event) -> None:
        match event:
            case w.Raft(data):
                self._on_raft(connection.talk.peer, data)
            case w.Ask():
                if self._tasks is None or self._at_work >= self.settings.max_asks:
                    connection.send(w.Answer(event.number, w.Later("too much is asked at once")))
                else:
                    self._at_work += 1
                    self._tasks.start_soon(self._answer, connection, event)
            case w.Closed(code, reason) if code not in ("ended", "council-founded"):
                self.counts[f"parted {code}"] += 1
                self.world.say("council.parted", peer=connection.talk.peer, code=code, reason=reason)

    def _on_raft(self, peer: str, data: bytes) -> None:
        try:
            sender, to, message = m.decode(data, self.settings.cluster)
        except MessageRefused as wrong:
            self.counts[f"refused {wrong.reason}"] += 1
            return
        # A connection speaks for the seat that greeted on it, and only to who we are in this life.
        if sender != peer or to != self.identity or self.seat is None:
            self.counts["not for us"] += 1
        elif len(self._inbox) >= self.settings.max_inbox:
            self.counts["inbox full"] += 1
        else:
            self._inbox.append((sender, message))
            self._wake()

    async def _answer(self, connection: Connection, ask: w.Ask) -> None:
        try:
            reply = await self._reply(ask.question, ask.forward)
            connection.send(w.Answer(ask.number, reply, self.decrees.applied))
        finally:
            self._at_work -= 1

    async def _reply(self, question: w.Question, forward: bool) -> w.Reply:
        if isinstance(question, w.Status):
            return w.told(self.status())
        if self.seat is None:
            return w.Later("this seat has no council yet")
        until = self.world.clock() + self.settings.ask_ms
        if self.seat.role is not Role.LEADER:
            hint = name_of(self.seat.leader)
            line = self.lines.get(hint)
            if forward and line is not None and line.peer is not None:
                return await line.ask(question, forward=False, until_ms=until) or w.Elsewhere()
            return w.Elsewhere(hint)
        asked = _Asked(question)
        self._asks.append(asked)
        self._wake()
        with anyio.move_on_at(until / 1000):
            await asked.done.wait()
        return asked.reply or w.Elsewhere()

    # --- the one task that touches the core

    async def _drive(self) -> None:
        clock = self.world.clock
        while True:
            self._news = anyio.Event()
            await anyio.lowlevel.checkpoint()
            await self._found()
            due = FOREVER
            if (seat := self.seat) is not None:
                now = clock()
                while self._inbox:
                    sender, message = self._inbox.popleft()
                    seat.receive(now, sender, message)
                seat.tick(now)
                if seat.turned_away:
                    raise PeerParted(f"seat {self.identity}: {seat.turned_away}")
                self._lead(seat, now)
                if seat.has_ready():
                    await self._batch(seat, seat.ready())
                    self._compact(seat)
                    self._tell()
                    continue
                self._tell()
                due = min(seat.next_due(), self._renew_due if seat.role is Role.LEADER else FOREVER)
            if self._inbox or self._asks:
                continue
            with anyio.move_on_at(due / 1000 + 1e-6):
                await self._news.wait()

    def _lead(self, seat: Seat, now: float) -> None:
        """Take up what is asked; renew what stands."""
        asks, self._asks = self._asks, deque()
        if seat.role is not Role.LEADER:
            for asked in asks:
                asked.answer(w.Elsewhere(name_of(seat.leader)))
            self._leave()
            return
        for asked in asks:
            try:
                self._take(seat, now, asked)
            except NotLeader as wrong:
                asked.answer(w.Elsewhere(name_of(wrong.hint)))
            except (CouncilBusy, SeatsRefused) as wrong:
                asked.answer(w.Later(wrong.text[:512]))
        if now >= self._renew_due:
            self._renew_due = now + self.settings.renew_ms
            try:
                if self.decrees.offset:
                    self._read(seat, now, None)
                else:
                    # Numbers begin at the wall clock, so that no founding gives one that a former one gave.
                    ground = d.Ground(int(self.world.wall_ms()), self.settings.limits)
                    seat.propose(now, d.encode(ground))
            except (NotLeader, CouncilBusy):
                pass

    def _leave(self) -> None:
        """Answer those who wait for a lead that is over: what they asked may still come to stand."""
        self._renew_due = 0.0
        waiting, self._waiting = self._waiting, {}
        for many in waiting.values():
            for asked in many:
                asked.answer(w.Elsewhere(name_of(self.seat.leader) if self.seat else ""))

    def _take(self, seat: Seat, now: float, asked: _Asked) -> None:
        question = asked.question
        match question:
            case w.Join(who):
                asked.answer(self._join(seat, now, who))
            case w.Remove(who):
                names = [one for one in seat.seats if who in (one, name_of(one))]
                if names:
                    seat.change_seats(now, remove=names[0])
                asked.answer(w.Later("being put out") if names else d.Done(seat.log.last))
            case w.Transfer(to):
                names = [one for one in seat.seats if name_of(one) == to]
                if names != [self.identity]:
                    seat.transfer(now, names[0] if names else to)
                asked.answer(d.Done(seat.log.last))
            case _ if not self.decrees.offset:
                asked.answer(w.Later("the council has no ground yet"))
            case w.Read():
                self._read(seat, now, asked)
            case d.Decide() | d.Drop():
                self._propose(seat, now, asked, question)

    def _propose(self, seat: Seat, now: float, asked: _Asked, command: d.Decide | d.Drop) -> None:
        known = self.decrees.outcome(command.request)
        if known is not None:
            asked.answer(self._stands(command, known))
        elif (waiting := self._waiting.get(command.request)) is not None:
            waiting.append(asked)  # it is in the log already
        else:
            data = d.encode(command)
            if len(data) > self.settings.timing.max_entry:
                asked.answer(d.Refused("too-large"))
                return
            seat.propose(now, data)
            self._waiting[command.request] = [asked]

    def _read(self, seat: Seat, now: float, asked: _Asked | None) -> None:
        token = self.beats.ask(seat.term, now)
        seat.read_index(now, token)
        self._reads[token] = asked

    def _join(self, seat: Seat, now: float, who: str) -> w.Reply:
        if who in seat.seats:
            return d.Done(seat.log.last)
        former = [one for one in seat.seats if name_of(one) == name_of(who)]
        if former:
            # First out, then in: with both among the seats the dead one would count for the quorum.
            seat.change_seats(now, remove=former[0])
            return w.Later(f"{former[0]} is being put out")
        seat.change_seats(now, add=who)
        return w.Later("being taken in")

    @staticmethod
    def _stands(command: d.Command, outcome: d.Outcome) -> w.Reply:
        if isinstance(command, d.Decide) and isinstance(outcome, d.Done):
            return w.Stands(
                d.Decree(command.topic, outcome.number, command.value, command.hold_ms, command.by)
            )
        return outcome

    async def _batch(self, seat: Seat, ready: Ready) -> None:
        store = self.store
        assert store is not None
        if ready.to_keep:
            work = partial(store.write, ready.hard, ready.snapshot, ready.entries, ready.truncate_from)
            await self.world.keep(work)
        for to, message in ready.messages:
            line = self.lines.get(name_of(to))
            if line is None:
                self.counts["no address"] += 1
                continue
            line.send(w.Raft(m.encode(self.settings.cluster, self.identity, to, message)))
        if ready.restore and ready.snapshot is not None:
            self.decrees = d.Decrees.restore(ready.snapshot.data, ready.snapshot.index)
            self._mark = None
            await self._seats(ready.snapshot.seats)
        for entry in ready.committed:
            await self._apply(entry)
        for token in ready.lost_reads:
            asked = self._reads.pop(int(token), None)
            if asked is not None:
                asked.answer(w.Elsewhere(name_of(seat.leader)))
        for read in ready.reads:
            self._confirmed(seat, int(read.token))
        seat.advance(ready)

    def _confirmed(self, seat: Seat, token: int) -> None:
        asked = self._reads.pop(token, None)
        within = self.settings.timing.election_ms
        beat = self.beats.confirmed(token, seat.term, self.world.clock(), within)
        if asked is None:
            if beat is not None and self.decrees.offset:
                self.publish(d.renewed(self.decrees.all(), beat))
        elif beat is None or not isinstance(asked.question, w.Read):
            asked.answer(w.Elsewhere())
        else:
            found = self.decrees.get(asked.question.topic)
            asked.answer(w.Stands(found and msgspec.structs.replace(found, renewed=beat)))

    async def _apply(self, entry: Entry) -> None:
        if entry.kind == "seats":
            await self._seats(m.unpack_seats(entry.data))
        found = self.decrees.apply(entry.index, entry.data if entry.kind == "command" else b"")
        if found is None:
            return
        command, outcome = found
        self.applied(entry.index, command, outcome)
        if isinstance(command, d.Ground):
            return
        for asked in self._waiting.pop(command.request, ()):
            asked.answer(self._stands(command, outcome))
        stands = self.decrees.get(command.topic)
        # Not what the store held at the start: nobody knows how long that has lain there.
        live = entry.index > self._replayed
        if live and isinstance(outcome, d.Done) and stands is not None and stands.number == outcome.number:
            self.publish((stands,))

    async def _seats(self, seats: tuple[str, ...]) -> None:
        if self.identity in seats:
            self._sat = True
        if not self._sat or self.identity in seats or self.header is None or self.store is None:
            return  # a new seat reads of the times before it
        header = msgspec.structs.replace(self.header, removed=True)
        await self.world.keep(partial(self.store.keep_header, header))
        raise SeatRemoved(f"seat {self.identity} was put out of the council")

    def _compact(self, seat: Seat) -> None:
        """Keep the log bounded, and enough of it that a seat which is a little behind needs no snapshot."""
        settings = self.settings
        full = max(len(seat.log.entries) / settings.max_log, seat.log.sizes / settings.max_log_bytes)
        if full >= 0.5 and self._mark is None:
            self._mark = (self.decrees.applied, self.decrees.snapshot())
        elif full >= 1 and self._mark is not None:
            seat.compact(*self._mark)
            self._mark = None
