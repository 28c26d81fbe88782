"""Which processes there are: SWIM with Lifeguard's care, as a state machine without a clock.  Pure.

SWIM (Das, Gupta, Motivala, DSN 2002): each member probes others in turn over a shuffled list, asks helpers
where no answer comes, suspects before it declares, and lets the suspected refute by a higher incarnation;
rumours ride on its messages, each a bounded number of times that grows with log n.  Lifeguard (Dadgar,
Phillips, Currey, 2018): a health score of one's own that slows one's probes and verdicts, suspicion that
ends sooner the more members accuse independently, the suspected told first, nacks from helpers.

Beside the papers: a member whose own ticks came late accuses nobody and pushes its verdicts back by the
gap; the gone are still contacted at a bounded rate, so that halves that were cut find each other again; of
two processes under one name the newer life stays and the older is told to stop.

Claims of one (name, life) are ordered by (left, incarnation, state), lives by number: what is believed only
goes up in that order, so views meet whatever the order, loss and repetition of messages.  The one step back
is from *gone* to *unsure*, at an exchange with a member that still holds the gone one alive: the cut's two
sides disagree, and only the one concerned can say.
"""

from __future__ import annotations

import heapq
import math
import random
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from cressrock.membership import packets as m
from cressrock.membership.packets import About, MemberState, MemberUpdate

FOREVER = float("inf")
NOT_FENCED = -1


@dataclass(frozen=True, slots=True)
class Identity:
    """One process: its name in the settings, its life, and what it tells of itself."""

    name: str
    process_incarnation: int
    address: str
    role: str = "edge"
    zone: str = ""
    region: str = ""
    extra: bytes = b""


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Bounds and times; milliseconds.  Period, probes and suspicion are chosen together: docs/members.md."""

    cluster: str = "cressrock"
    protocol_period_ms: float = 1000.0
    probes_per_period: int = (
        4  # members probed in a period: a death is first met after 1/probes periods, not after one
    )
    ping_fraction: float = 0.3  # of a period, until helpers are asked
    helpers: int = 3
    gossip_interval_ms: float = 200.0
    gossip_fan: int = 3
    repeat: float = 4.0  # a rumour rides repeat * log10(n + 1) times
    suspicion: float = 1.4  # periods for each log10(n), at the shortest
    suspicion_longest: float = 6.0  # times the shortest, with a single accuser
    confirmations: int = 2  # further accusers that bring suspicion down to the shortest
    tolerated_pause_ms: float = 2000.0  # a process stopped for so long is not declared gone
    health_worst: int = 8
    max_datagram_bytes: int = m.MAX_DATAGRAM_BYTES
    max_members: int = 8192  # 4,806 at the coming size, and names that are gone but kept; 0.9 KB each
    keep_ms: float = 3_600_000.0  # the gone and the left are remembered, so that no late rumour revives them
    lost_contacts: float = 2.0  # a gone member is contacted so often in a period by the whole fleet
    exchange_interval_ms: float = (
        120_000.0  # full exchange with one member drawn, in a fleet of up to `exchange_size`
    )
    exchange_size: int = 64  # beyond it so much less often that the bytes a second stay
    replies: int = 128  # answers to the unknown in a period
    retry_worst_ms: float = 30_000.0  # between attempts to join


@dataclass(frozen=True, slots=True)
class Member:
    """One line of the view; `since_ms` is when this process came to believe the state."""

    name: str
    process_incarnation: int
    role: str
    zone: str
    region: str
    address: str
    state: MemberState
    state_since_ms: float
    extra: bytes


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A process not known before."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberSuspected:
    """A process is suspected, since a time on this process's clock."""

    name: str
    process_incarnation: int
    since_ms: float


@dataclass(frozen=True, slots=True)
class MemberRecovered:
    """A process that was unsure or gone is heard of again, in the same life."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """A process left in order: its own word."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberDead:
    """A process stayed silent for the whole time of suspicion."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberRestarted:
    """A name is back in a new life; the old one is over, whatever was believed of it."""

    name: str
    old: int
    new: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """This process is the older of two with one name: it has to stop, and sends nothing more."""

    name: str
    by: int


@dataclass(frozen=True, slots=True)
class DuplicateIdentity:
    """An older life of this process's own name still speaks; it is told to stop."""

    name: str
    process_incarnation: int
    address: str


Event = (
    MemberJoined
    | MemberSuspected
    | MemberRecovered
    | MemberLeft
    | MemberDead
    | MemberRestarted
    | Fenced
    | DuplicateIdentity
)


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message for the wire; the address is what the member said, a route of the settings goes before it."""

    name: str | None
    address: str
    message: m.Any


@dataclass(frozen=True, slots=True)
class Exchange:
    """A full exchange to make over a stream; `whole` with the spread's state, at joining and after a cut."""

    name: str
    address: str
    with_gossip_state: bool


class Timer(NamedTuple):
    """What falls due when."""

    at: float
    number: int
    kind: str
    key: str | int


@dataclass(slots=True)
class _Record:
    name: str
    life: int
    incarnation: int
    state: MemberState
    about: About | None
    since: float
    suspected: float = 0.0
    called: float = 0.0
    by: str = ""
    accusers: set[str] = field(default_factory=set)
    full: bool = False  # as many accusers as count


@dataclass(slots=True)
class _Probe:
    name: str
    life: int
    incarnation: int
    asked: int = 0
    nacks: int = 0


class _Bag:
    """Names with draw, add and remove in constant time, in an order that the calls alone decide."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.place: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def add(self, name: str) -> None:
        if name not in self.place:
            self.place[name] = len(self.names)
            self.names.append(name)

    def remove(self, name: str) -> None:
        at = self.place.pop(name, None)
        if at is not None:
            last = self.names.pop()
            if last != name:
                self.names[at] = last
                self.place[last] = at

    def draw(self, source: random.Random, count: int, without: tuple[str, ...] = ()) -> list[str]:
        held = len(self.names)
        if held <= count + len(without):
            some = [name for name in self.names if name not in without]
            source.shuffle(some)
            return some[:count]
        found: list[str] = []
        while len(found) < count:
            name = self.names[int(source.random() * held)]
            if name not in without and name not in found:
                found.append(name)
        return found


class _Queue:
    """Rumours by how often they have ridden: the least told first, each a bounded number of times."""

    def __init__(self) -> None:
        # Ordered, as a plain dict's front gets slow where much is taken from it.
        self.levels: list[OrderedDict[tuple[str, str], tuple[MemberUpdate, int]]] = [OrderedDict()]
        self.of: dict[str, list[tuple[str, str]]] = {}

    def put(self, claim: MemberUpdate, *, alone: bool) -> None:
        """Queue a claim; `alone` drops what was queued of its name."""
        if alone:
            self.drop(claim.name)
        key = (claim.name, claim.by if claim.state is MemberState.SUSPECT else "")
        held = self.of.setdefault(claim.name, [])
        if key in held:
            return
        held.append(key)
        self.levels[0][key] = (claim, m.size(claim))

    def drop(self, name: str) -> None:
        for key in self.of.pop(name, ()):
            for level in self.levels:
                if level.pop(key, None) is not None:
                    break

    def __bool__(self) -> bool:
        return bool(self.of)

    def take(self, room: int, most: int) -> list[MemberUpdate]:
        """Return what fits into `room` bytes; what has ridden `most` times is dropped."""
        claims: list[MemberUpdate] = []
        moved: list[tuple[int, tuple[str, str]]] = []
        for at, level in enumerate(self.levels):
            for key, (claim, size) in level.items():
                if size > room:
                    room = -1
                    break
                room -= size
                claims.append(claim)
                moved.append((at, key))
            if room < 0:
                break
        for at, key in moved:
            entry = self.levels[at].pop(key)
            if at + 1 >= most:
                held = self.of[key[0]]
                held.remove(key)
                if not held:
                    del self.of[key[0]]
                continue
            if at + 1 == len(self.levels):
                self.levels.append(OrderedDict())
            self.levels[at + 1][key] = entry
        return claims


class Membership:
    """One process's view of all, and what it has to say to them."""

    def __init__(
        self,
        me: Identity,
        settings: MembershipSettings,
        seeds: tuple[str, ...],
        source: random.Random,
        now_ms: float,
    ) -> None:
        """`seeds` are addresses; one's own among them is passed over."""
        self.local = me
        self.settings = settings
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.rng = source
        self.incarnation = 0
        self.health = 0  # Lifeguard's local health score: 0 is well
        self.fenced_by = NOT_FENCED
        self.leaving = False
        self.joined = not self.seeds
        self.counts: dict[str, int] = {}
        self.lives_changed = 0  # how often `lives` has: who keeps something of each need not look at all
        self._about = About(me.address, me.role, me.zone, me.region, me.extra)
        self._since = now_ms
        self._records: dict[str, _Record] = {}
        self._live = _Bag()  # alive and unsure, without oneself
        self._lost = _Bag()  # gone
        self._round: list[str] = []
        self._queue = _Queue()
        self._summed: int | None = None
        self._differ: set[str] = set()
        self._probes: dict[int, _Probe] = {}
        self._helped: dict[int, tuple[str, int]] = {}
        self._numbers = source.randrange(1 << 30)
        self._timers: list[Timer] = []
        self._timed = 0
        self._called = now_ms
        self._calm_from = now_ms  # before it no accusation: oneself was late
        self._sends: list[OutgoingMessage] = []
        self._events: list[Event] = []
        self._exchanges: list[Exchange] = []
        self._exchanged = -FOREVER
        self._retry = settings.protocol_period_ms / 2
        self._replies = settings.replies
        self._twins: set[int] = set()
        self._calls = 2 * settings.ping_fraction * settings.protocol_period_ms
        self._room = m.room(settings.max_datagram_bytes, settings.cluster, me.name)
        for kind, wait in (
            ("probe", settings.protocol_period_ms / settings.probes_per_period),
            ("gossip", settings.gossip_interval_ms),
            ("period", settings.protocol_period_ms),
            ("exchange", settings.exchange_interval_ms),
        ):
            # Drawn at the start: processes started together must not go on in step.
            self._at(now_ms + wait * source.random(), kind)
        if self.seeds:
            self._at(now_ms + self._retry * source.random() / 2, "seed")

    # --- what a carrier calls

    def receive(self, now_ms: float, sender_address: str, letter: m.Letter) -> None:
        """Take in one message of the own cluster."""
        if self.fenced_by != NOT_FENCED:
            return
        self._wake(now_ms)
        if letter.sender == self.local.name:
            if letter.life != self.local.process_incarnation:
                self._namesake(letter.life, sender_address)
            return
        record = self._records.get(letter.sender)
        if record is not None and letter.life < record.life:
            # An older life speaks: it is told who has its name now, and nothing that it says is believed.
            self._count("older-life")
            if self._reply():
                self._sends.append(
                    OutgoingMessage(None, sender_address, m.Updates([self._claim(record, full=True)]))
                )
            return
        body = letter.body
        if isinstance(body, m.Hello):
            self._hello(now_ms, letter, body)
            return
        better: list[MemberUpdate] = []
        if isinstance(body, m.Ping | m.Ack | m.Ask | m.Nack | m.Updates | m.Welcome):
            records = self._records
            for claim in body.claims:
                held = records.get(claim.name)
                if (
                    held is not None
                    and claim.state is held.state
                    and claim.incarnation == held.incarnation
                    and claim.process_incarnation == held.life
                    and claim.info is None
                    and (held.state is not MemberState.SUSPECT or held.full or claim.by in held.accusers)
                ):
                    continue  # most claims are heard before
                known = self._take(now_ms, claim, letter.sender)
                if known is not None and len(better) < 8:
                    better.append(known)
        record = self._records.get(letter.sender)
        if record is None or record.life < letter.life:
            if self._reply():
                self._count("unknown-sender")
                self._sends.append(OutgoingMessage(letter.sender, sender_address, m.Who()))
            address = sender_address
        else:
            address = record.about.address if record.about else sender_address
            if record.state is MemberState.DEAD:
                # It speaks, so it lives: it is told what is held of it, and refutes.
                better.insert(0, self._claim(record))
        match body:
            case m.Ping(number, to, _, view):
                self._compare(now_ms, letter.sender, view)
                if to == self.local.name:
                    self._send(letter.sender, address, m.Ack, number, better)
                    better = []
            case m.Ack(number, _, view):
                self._compare(now_ms, letter.sender, view)
                self._ack(number)
            case m.Nack(number):
                if (probe := self._probes.get(number)) is not None:
                    probe.nacks += 1
            case m.Ask(number, target, target_address):
                self._ask(now_ms, letter.sender, number, target, target_address)
            case m.Who():
                self._sends.append(
                    OutgoingMessage(letter.sender, address, m.Updates([self._mine(full=True)]))
                )
            case m.Welcome():
                self._welcomed(now_ms, letter.sender, address)
        if better and self._reply():
            self._send(letter.sender, address, m.Updates, None, better)

    def tick(self, now_ms: float) -> None:
        """Do all that has fallen due."""
        if self.fenced_by != NOT_FENCED:
            return
        self._wake(now_ms)
        while self._timers and self._timers[0].at <= now_ms:
            timer = heapq.heappop(self._timers)
            getattr(self, f"_due_{timer.kind}")(now_ms, timer.key)

    def next_tick_ms(self) -> float:
        """Return when `tick` is to be called next; infinity once fenced."""
        if self.fenced_by != NOT_FENCED or not self._timers:
            return FOREVER
        return self._timers[0].at

    def drain_messages(self) -> list[OutgoingMessage]:
        """Return, once, what goes on the wire."""
        sends, self._sends = self._sends, []
        return sends

    def drain_events(self) -> list[Event]:
        """Return, once, what has changed, in order."""
        events, self._events = self._events, []
        return events

    def drain_exchanges(self) -> list[Exchange]:
        """Return, once, the members to make a full exchange with."""
        exchanges, self._exchanges = self._exchanges, []
        return exchanges

    def view(self, now_ms: float) -> tuple[Member, ...]:
        """Return every member known, oneself among them, by name."""
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        seen = [
            self._member(self.local.name, self.local.process_incarnation, self._about, state, self._since)
        ]
        for record in self._records.values():
            about = record.about or About("", "")
            seen.append(self._member(record.name, record.life, about, record.state, record.since))
        return tuple(sorted(seen, key=lambda member: member.name))

    def live_names(self) -> tuple[str, ...]:
        """Return the names of members that are alive or unsure, without oneself; unordered."""
        return tuple(self._live.names)

    def process_ids(self) -> set[tuple[str, int]]:
        """Return every (name, life) known, the gone and the left that are still kept among them."""
        return {(r.name, r.life) for r in self._records.values()} | {
            (self.local.name, self.local.process_incarnation)
        }

    def draw(self, count: int) -> list[tuple[str, str]]:
        """Draw live members: (name, address) each."""
        return [(name, self._address(name)) for name in self._live.draw(self.rng, count)]

    def address(self, name: str) -> str | None:
        """Return the address a member told, if it is known."""
        record = self._records.get(name)
        return record.about.address if record is not None and record.about is not None else None

    def leave(self, now_ms: float) -> None:
        """Leave in order: say so to some at once, to more at each gossip until the carrier stops."""
        self.leaving = True
        self._queue.put(self._mine(), alone=True)
        self._push(self.settings.gossip_fan * 2)

    def state_batches(self, max_bytes: int = m.MAX_FRAME_BYTES // 2) -> list[list[MemberUpdate]]:
        """Return everything known in pieces of at most so many bytes, for the exchange."""
        pieces: list[list[MemberUpdate]] = [[]]
        left = max_bytes
        for claim in [self._mine(full=True), *(self._claim(r, full=True) for r in self._records.values())]:
            size = m.size(claim)
            if size > left or len(pieces[-1]) >= 1000:
                pieces.append([])
                left = max_bytes
            left -= size
            pieces[-1].append(claim)
        return pieces

    def merge_remote_state(self, now_ms: float, sender: str, claims: list[MemberUpdate]) -> None:
        """Take in one piece of an exchange with `sender`."""
        if self.fenced_by != NOT_FENCED:
            return
        self._wake(now_ms)
        for claim in claims:
            self._take(now_ms, claim, sender, exchange=True)

    def record_exchange_result(self, now_ms: float, done: bool) -> None:
        """Say how an exchange that this process began went; one that failed is tried again at the next."""
        if done:
            self._exchanged = now_ms
            self.joined = True
        else:
            self._exchanged = -FOREVER
            self._count("exchange-failed")

    def size(self) -> int:
        """Return how many members are held to live, oneself among them."""
        return len(self._live) + 1

    def shortest_ms(self) -> float:
        """Return the shortest time of suspicion for the present size.

        Lifeguard's alpha * log10(n) periods, but never so short that a process which was stopped for
        `ride_out_ms` (suspected at the earliest one period after it stopped) could not be heard by all.
        """
        s, n = self.settings, self.size()
        spread = s.gossip_interval_ms * (math.ceil(math.log(max(n, 2), s.gossip_fan + 1)) + 2)
        by_log = s.suspicion * math.log10(max(n, 10)) * s.protocol_period_ms
        return max(by_log, s.tolerated_pause_ms + spread - s.protocol_period_ms)

    # --- who

    def _mine(self, full: bool = False) -> MemberUpdate:
        state = MemberState.LEFT if self.leaving else MemberState.ALIVE
        about = self._about if full or self.incarnation == 0 else None
        return MemberUpdate(
            self.local.name, self.local.process_incarnation, self.incarnation, state, "", about
        )

    @staticmethod
    def _claim(record: _Record, full: bool = False) -> MemberUpdate:
        # A known (name, life) needs its description only once, with its first rumour; a refutation is short.
        about = (
            record.about if full or (record.state is MemberState.ALIVE and record.incarnation == 0) else None
        )
        return MemberUpdate(record.name, record.life, record.incarnation, record.state, record.by, about)

    @staticmethod
    def _member(name: str, life: int, about: About, state: MemberState, since: float) -> Member:
        a = about
        return Member(name, life, a.role, a.zone, a.region, a.address, state, since, a.extra)

    def _address(self, name: str) -> str:
        about = self._records[name].about
        return about.address if about is not None else ""

    def _namesake(self, life: int, address: str) -> None:
        if life > self.local.process_incarnation:
            self._fence(life)
            return
        if life not in self._twins and len(self._twins) < 64:
            self._twins.add(life)
            self._events.append(DuplicateIdentity(self.local.name, life, address))
        if self._reply():
            self._sends.append(OutgoingMessage(None, address, m.Updates([self._mine(full=True)])))

    def _fence(self, life: int) -> None:
        self.fenced_by = life
        self._sends.clear()
        self._exchanges.clear()
        self._events.append(Fenced(self.local.name, life))

    # --- claims

    def _take(
        self, now: float, claim: MemberUpdate, sender: str, exchange: bool = False
    ) -> MemberUpdate | None:
        """Merge a claim; returns what is known better, if the claim is behind it."""
        if claim.name == self.local.name:
            return self._of_me(claim)
        record = self._records.get(claim.name)
        if record is None:
            self._new(now, claim)
            return None
        known, told = record.about, claim.info
        elsewhere = known is not None and told is not None and known.address != told.address
        if claim.process_incarnation != record.life or elsewhere:
            # Two starts within one millisecond: the greater address is the newer, for all alike.
            here = (record.life, known.address if known and told else "")
            there = (claim.process_incarnation, told.address if known and told else "")
            if there < here:
                return self._claim(record, full=True)
            self._newer(now, record, claim)
            return None
        if record.about is None and claim.info is not None:
            record.about = claim.info
        if record.state is MemberState.LEFT:
            return None
        if claim.state is MemberState.LEFT:
            self._become(now, record, MemberState.LEFT, claim.incarnation, "")
            return None
        if claim.incarnation < record.incarnation:
            return self._claim(record) if claim.state is not MemberState.ALIVE or exchange else None
        newer = claim.incarnation > record.incarnation
        match claim.state:
            case MemberState.ALIVE:
                if newer:
                    was_lost = (
                        record.state is MemberState.DEAD
                        and now - record.since > 3 * self.settings.protocol_period_ms
                    )
                    self._become(now, record, MemberState.ALIVE, claim.incarnation, "")
                    if was_lost and sender == claim.name:
                        self._exchange_with(now, sender, 5 * self.settings.protocol_period_ms, whole=True)
                elif record.state is MemberState.DEAD:
                    if not exchange or now - record.since <= 3 * self.settings.protocol_period_ms:
                        return self._claim(record)
                    # Long gone here and alive there: a cut lay between.  Only the one concerned can say;
                    # nobody accuses, so that many such meetings do not count as many accusers.
                    self._become(now, record, MemberState.SUSPECT, record.incarnation, "")
                elif record.state is MemberState.SUSPECT:
                    return self._claim(record)
            case MemberState.SUSPECT:
                if newer or record.state is MemberState.ALIVE:
                    self._suspect(now, record, claim.incarnation, claim.by)
                elif record.state is MemberState.SUSPECT:
                    self._confirm(now, record, claim.by)
            case MemberState.DEAD:
                if record.state is MemberState.ALIVE:
                    # Not taken on one word: who was held alive is suspected first, and can answer.
                    self._suspect(now, record, claim.incarnation, "" if exchange else claim.by)
                elif record.state is MemberState.SUSPECT and not exchange:
                    self._become(now, record, MemberState.DEAD, claim.incarnation, claim.by)
                elif newer:
                    record.incarnation = claim.incarnation
        return None

    def _of_me(self, claim: MemberUpdate) -> MemberUpdate | None:
        if claim.process_incarnation > self.local.process_incarnation:
            self._fence(claim.process_incarnation)
            return None
        if claim.process_incarnation < self.local.process_incarnation:
            return self._mine(full=True)
        if claim.info is not None and claim.info.address != self.local.address:
            if claim.info.address > self.local.address:
                self._fence(claim.process_incarnation)
                return None
            return self._mine(full=True)
        if self.leaving or claim.state is MemberState.LEFT:
            return None
        if claim.incarnation < self.incarnation:
            return self._mine() if claim.state is not MemberState.ALIVE else None
        if claim.state is MemberState.ALIVE and claim.incarnation == self.incarnation:
            return None
        # Lifeguard: whoever has to refute was slow itself, as far as it can tell.
        if claim.state is MemberState.SUSPECT:
            self._feel(1)
        self.incarnation = claim.incarnation + 1
        self._queue.put(self._mine(), alone=True)
        self._push(self.settings.gossip_fan)
        return self._mine()

    def _new(self, now: float, claim: MemberUpdate) -> None:
        if claim.state in (MemberState.ALIVE, MemberState.SUSPECT) and claim.info is None:
            return
        if len(self._records) >= self.settings.max_members - 1 and not self._forget_one():
            self._count("members-full")
            return
        record = _Record(
            claim.name, claim.process_incarnation, claim.incarnation, claim.state, claim.info, now
        )
        self._records[claim.name] = record
        self.lives_changed += 1
        if claim.state in (MemberState.DEAD, MemberState.LEFT):
            if claim.state is MemberState.DEAD:
                self._lost.add(claim.name)
            return
        self._enter(record)
        self._events.append(MemberJoined(claim.name, claim.process_incarnation))
        record.state = MemberState.ALIVE
        if claim.state is MemberState.SUSPECT:
            self._suspect(now, record, claim.incarnation, claim.by)
        else:
            self._queue.put(self._claim(record, full=True), alone=True)

    def _newer(self, now: float, record: _Record, claim: MemberUpdate) -> None:
        if claim.state in (MemberState.ALIVE, MemberState.SUSPECT) and claim.info is None:
            return  # without an address there is nobody to speak to yet; the full claim follows
        old = record.life
        self._events.append(MemberRestarted(record.name, old, claim.process_incarnation))
        self._summed = None
        self.lives_changed += 1
        self._live.remove(record.name)
        self._lost.remove(record.name)
        record.life, record.incarnation, record.about = (
            claim.process_incarnation,
            claim.incarnation,
            claim.info,
        )
        record.state, record.since, record.by = MemberState.ALIVE, now, ""
        record.accusers.clear()
        record.full = False
        self._queue.drop(record.name)
        match claim.state:
            case MemberState.ALIVE:
                self._enter(record)
                self._queue.put(self._claim(record, full=True), alone=True)
            case MemberState.SUSPECT:
                self._enter(record)
                self._suspect(now, record, claim.incarnation, claim.by)
            case _:
                self._become(now, record, claim.state, claim.incarnation, claim.by)

    def _enter(self, record: _Record) -> None:
        self._summed = None
        self._lost.remove(record.name)
        if record.name not in self._live.place:
            self._live.add(record.name)
            # SWIM: a new member comes in at a drawn place of the round, so that probing stays even.
            self._round.insert(self.rng.randrange(len(self._round) + 1), record.name)

    def _become(self, now: float, record: _Record, state: MemberState, incarnation: int, by: str) -> None:
        was, record.state, record.incarnation, record.by = record.state, state, incarnation, by
        self._summed = None
        record.accusers.clear()
        record.full = False
        if was is not state:
            record.since = now
        match state:
            case MemberState.ALIVE:
                self._enter(record)
                if was is not MemberState.ALIVE:
                    self._events.append(MemberRecovered(record.name, record.life))
            case MemberState.SUSPECT:
                self._enter(record)
                record.suspected = now
                if was is not MemberState.SUSPECT:
                    self._events.append(MemberSuspected(record.name, record.life, now))
                self._at(now + self._patience(record) - self._calls, "suspect", record.name)
            case MemberState.DEAD:
                self._live.remove(record.name)
                self._lost.add(record.name)
                self._events.append(MemberDead(record.name, record.life))
            case MemberState.LEFT:
                self._live.remove(record.name)
                self._lost.remove(record.name)
                self._events.append(MemberLeft(record.name, record.life))
        self._queue.put(self._claim(record), alone=True)

    # --- one view

    def _sum(self) -> int:
        """Return a sum over the live as they are believed, or 0 while rumours are still on their way.

        Rumours reach all but about e^-repeats of the pairs; in calm, two sums that differ find the rest.
        """
        if self._queue:
            return 0
        if self._summed is None:
            words = [f"{self.local.name} {self.local.process_incarnation} 0"]
            for name in self._live.names:
                record = self._records[name]
                words.append(f"{name} {record.life} {record.state:d}")
            self._summed = zlib.crc32("\n".join(sorted(words)).encode()) | 1
        return self._summed

    def _compare(self, now: float, sender: str, view: int) -> None:
        if not view or sender not in self._live.place or not (ours := self._sum()):
            return
        if ours == view:
            self._differ.clear()
            return
        # Two in a row who see it otherwise: then it is this process that lacks something, not the one peer.
        self._differ.add(sender)
        if len(self._differ) >= min(2, len(self._live)):
            self._differ.clear()
            scale = max(self.size() / self.settings.exchange_size / 4, 1.0)
            self._exchange_with(now, sender, 2 * self.settings.protocol_period_ms * scale)

    # --- suspicion

    def _suspect(self, now: float, record: _Record, incarnation: int, by: str) -> None:
        if record.state is MemberState.DEAD:
            return
        record.accusers.clear()
        self._become(now, record, MemberState.SUSPECT, incarnation, by)
        if by:
            record.accusers.add(by)

    def _confirm(self, now: float, record: _Record, by: str) -> None:
        if not by or by in record.accusers or len(record.accusers) > self.settings.confirmations:
            return
        record.accusers.add(by)
        record.full = len(record.accusers) > self.settings.confirmations
        claim = MemberUpdate(record.name, record.life, record.incarnation, MemberState.SUSPECT, by)
        self._queue.put(claim, alone=False)
        due = record.suspected + self._patience(record) - self._calls
        self._at(max(now, due), "suspect", record.name)

    def _patience(self, record: _Record) -> float:
        """Return how long suspicion lasts, by Lifeguard's formula and one's own health."""
        shortest = self.shortest_ms()
        wanted = min(self.settings.confirmations, max(self.size() - 3, 0))
        if wanted == 0 and record.by:
            time = shortest
        else:
            longest = shortest * self.settings.suspicion_longest
            further = max(len(record.accusers) - 1, 0)
            part = math.log(further + 1) / math.log(wanted + 1) if wanted else 0.0
            time = max(shortest, longest - (longest - shortest) * part)
        # One's own bad health slows the verdict too, up to twice: what others find goes on meanwhile.
        return time * (1 + self.health / self.settings.health_worst)

    def _due_suspect(self, now: float, key: str | int) -> None:
        record = self._records.get(str(key))
        if record is None or record.state is not MemberState.SUSPECT:
            return
        due = max(record.suspected + self._patience(record), self._calm_from)
        if due <= now:
            self._become(now, record, MemberState.DEAD, record.incarnation, self.local.name)
        elif due - now > self._calls + 1:
            self._at(due - self._calls, "suspect", record.name)
        elif now >= record.called:
            # The last word is its own: whoever missed its refutation hears it now.  No time is added.
            record.called = now + self._calls / 2
            self._send(record.name, self._address(record.name), m.Ping, self._number())
            self._at(min(due, record.called), "suspect", record.name)
        else:
            self._at(min(due, record.called), "suspect", record.name)

    def _wake(self, now: float) -> None:
        gap, self._called = now - self._called, max(now, self._called)
        if gap <= self.settings.protocol_period_ms / 2:
            return
        # This process did not run.  What others did meanwhile it could not see: nothing that fell due in the
        # gap is held against them, open probes are dropped, and for a period it accuses nobody.
        self._count("late")
        self._feel(2 if gap > self.settings.protocol_period_ms else 1)
        self._probes.clear()
        self._helped.clear()
        self._calm_from = now + self.settings.protocol_period_ms
        for record in self._records.values():
            if record.state is MemberState.SUSPECT:
                record.suspected += gap

    def _feel(self, change: int) -> None:
        self.health = min(max(self.health + change, 0), self.settings.health_worst)

    # --- probes

    def _due_probe(self, now: float, key: str | int) -> None:
        s = self.settings
        self._at(now + s.protocol_period_ms / s.probes_per_period * (1 + self.health), "probe")
        for _ in range(len(self._round) + len(self._live) + 1):
            if not self._round:
                self._round = list(self._live.names)
                self.rng.shuffle(self._round)
                if not self._round:
                    return
            name = self._round.pop()
            if name in self._live.place:
                break
        else:
            return
        if len(self._probes) >= s.max_members:
            return
        number, record = self._number(), self._records[name]
        self._probes[number] = _Probe(name, record.life, record.incarnation)
        self._send(name, self._address(name), m.Ping, number)
        self._at(now + s.protocol_period_ms * s.ping_fraction * (1 + self.health), "stage", number)
        self._at(now + s.protocol_period_ms * (1 + self.health), "resolve", number)

    def _due_stage(self, now: float, key: str | int) -> None:
        probe = self._probes.get(int(key))
        if probe is None or probe.name not in self._live.place:
            return
        address = self._address(probe.name)
        self._send(probe.name, address, m.Ping, int(key))  # once more itself: one lost datagram is no sign
        # Of the unsure no answer is expected: a cut must not read as one's own bad health for long.
        drawn = self._live.draw(self.rng, self.settings.helpers * 3, (probe.name,))
        sure = [name for name in drawn if self._records[name].state is MemberState.ALIVE]
        helpers = sure[: self.settings.helpers]
        for helper in helpers:
            self._send(helper, self._address(helper), m.Ask, int(key), (), (probe.name, address))
        probe.asked = len(helpers)

    def _due_resolve(self, now: float, key: str | int) -> None:
        probe = self._probes.pop(int(key), None)
        if probe is None:
            return
        # Helpers that did not even say no: the fault is as likely here (Lifeguard).
        self._feel(probe.asked - probe.nacks if probe.asked else 1)
        record = self._records.get(probe.name)
        if record is None or record.life != probe.life or now < self._calm_from:
            return
        if record.incarnation != probe.incarnation:
            return  # it has refuted since: what was asked before that is no evidence any more
        if record.state is MemberState.ALIVE:
            self._suspect(now, record, record.incarnation, self.local.name)
        elif record.state is MemberState.SUSPECT:
            self._confirm(now, record, self.local.name)

    def _ack(self, number: int) -> None:
        if self._probes.pop(number, None) is not None:
            self._feel(-1)
        elif (asked := self._helped.pop(number, None)) is not None:
            asker, theirs = asked
            if asker in self._records:
                self._send(asker, self._address(asker), m.Ack, theirs)

    def _ask(self, now: float, asker: str, number: int, target: str, address: str) -> None:
        if len(self._helped) >= self.settings.max_members or asker not in self._records:
            return
        if target == self.local.name:
            return
        ours = self._number()
        self._helped[ours] = (asker, number)
        self._send(target, self.address(target) or address, m.Ping, ours)
        self._at(now + self.settings.protocol_period_ms * self.settings.ping_fraction, "helped", ours)

    def _due_helped(self, now: float, key: str | int) -> None:
        asked = self._helped.get(int(key))
        if asked is None:
            return
        asker, theirs = asked
        if asker in self._records:
            self._send(asker, self._address(asker), m.Nack, theirs)
        # A late answer is still passed on: kept for one period more.
        self._at(now + self.settings.protocol_period_ms, "unhelped", int(key))

    def _due_unhelped(self, now: float, key: str | int) -> None:
        self._helped.pop(int(key), None)

    # --- rumours

    def _due_gossip(self, now: float, key: str | int) -> None:
        self._at(now + self.settings.gossip_interval_ms, "gossip")
        if self._queue:
            self._push(self.settings.gossip_fan)

    def _push(self, count: int) -> None:
        for name in self._live.draw(self.rng, count):
            self._send(name, self._address(name), m.Updates)

    def _send(
        self,
        name: str,
        address: str,
        kind: type[m.Ping] | type[m.Ack] | type[m.Ask] | type[m.Nack] | type[m.Updates],
        number: int | None = None,
        first: tuple[MemberUpdate, ...] | list[MemberUpdate] = (),
        rest: tuple[str, ...] = (),
    ) -> None:
        claims = list(first)
        record = self._records.get(name)
        if (
            record is not None
            and record.state in (MemberState.SUSPECT, MemberState.DEAD)
            and not any(claim.name == name for claim in claims)
        ):
            claims.insert(0, self._claim(record))  # the buddy system: the accused is the first to hear of it
        room = self._room - sum(map(m.size, claims)) - sum(map(len, rest)) - len(name)
        while room < 0 and claims:
            room += m.size(claims.pop())
        most = math.ceil(self.settings.repeat * math.log10(self.size() + 1))
        claims += self._queue.take(room, max(most, 2))
        if kind is m.Updates:
            if claims:
                self._sends.append(OutgoingMessage(name, address, m.Updates(claims)))
        elif kind is m.Ask:
            self._sends.append(OutgoingMessage(name, address, m.Ask(number or 0, rest[0], rest[1], claims)))
        elif kind is m.Ping:
            self._sends.append(OutgoingMessage(name, address, m.Ping(number or 0, name, claims, self._sum())))
        elif kind is m.Ack:
            self._sends.append(OutgoingMessage(name, address, m.Ack(number or 0, claims, self._sum())))
        else:
            self._sends.append(OutgoingMessage(name, address, m.Nack(number or 0, claims)))

    # --- joining, the gone, forgetting

    def _due_seed(self, now: float, key: str | int) -> None:
        s = self.settings
        known = {self._address(name) for name in self._live.names}
        missing = [seed for seed in self.seeds if seed not in known]
        if self.joined and self._live:
            # Joined: a seed that is not among the live is still greeted now and then, so that fleets which
            # forgot each other over a long cut meet again.
            self._retry = s.protocol_period_ms
            wait = 10 * s.protocol_period_ms * (0.5 + self.rng.random())
            wanted = missing[: s.max_members]
            count = 1
        else:
            wait = self._retry * (1 + self.rng.random())
            self._retry = min(self._retry * 2, s.retry_worst_ms)
            wanted, count = list(self.seeds), 3
        self._at(now + wait, "seed")
        for address in self.rng.sample(wanted, min(count, len(wanted))):
            self._sends.append(OutgoingMessage(None, address, m.Hello(self._mine(full=True))))
        if not self.joined and self._live:
            name = self._live.draw(self.rng, 1)[0]
            self._exchange_with(now, name, s.protocol_period_ms, whole=True)

    def _hello(self, now: float, letter: m.Letter, body: m.Hello) -> None:
        if body.me.name != letter.sender or body.me.info is None:
            self._count("hello-of-another")
            return
        self._take(now, body.me, letter.sender)
        if not self._reply():
            return
        claims = [self._mine(full=True)]
        record = self._records.get(letter.sender)
        if record is not None and record.state is not MemberState.ALIVE:
            claims.append(self._claim(record))
        room = self._room - sum(map(m.size, claims))
        for name in self._live.draw(self.rng, 8, (letter.sender,)):
            claim = self._claim(self._records[name], full=True)
            room -= m.size(claim)
            if room < 0:
                break
            claims.append(claim)
        self._sends.append(OutgoingMessage(letter.sender, body.me.info.address, m.Welcome(claims)))

    def _welcomed(self, now: float, sender: str, address: str) -> None:
        if self.joined:
            return
        # One of those who were named: a seed that everybody knows must not send its list to everybody.
        names = self._live.draw(self.rng, 1)
        self._exchange_with(now, names[0] if names else sender, self.settings.protocol_period_ms, whole=True)

    def _exchange_with(self, now: float, name: str, gap: float, whole: bool = False) -> None:
        if now - self._exchanged < gap or name not in self._records:
            return
        self._exchanged = now
        self._exchanges.append(Exchange(name, self._address(name), whole))

    def _due_exchange(self, now: float, key: str | int) -> None:
        s = self.settings
        self._at(now + s.exchange_interval_ms * (0.5 + self.rng.random()), "exchange")
        if self.rng.random() * self.size() >= s.exchange_size:
            return
        for name in self._live.draw(self.rng, 1):
            self._exchange_with(now, name, self.settings.protocol_period_ms)

    def _due_period(self, now: float, key: str | int) -> None:
        s = self.settings
        self._at(now + s.protocol_period_ms, "period")
        self._replies = s.replies
        if self._lost:
            # The whole fleet together contacts each gone member `lost_contacts` times in a period.
            if self.rng.random() < s.lost_contacts * len(self._lost) / self.size():
                name = self._lost.draw(self.rng, 1)[0]
                if address := self._address(name):
                    self._send(name, address, m.Ping, self._number())
        if len(self._records) > len(self._live):
            ended = [
                r.name
                for r in self._records.values()
                if r.state in (MemberState.DEAD, MemberState.LEFT) and now - r.since > s.keep_ms
            ]
            for name in ended:
                self._forget(name)

    def _forget(self, name: str) -> None:
        del self._records[name]
        self.lives_changed += 1
        self._lost.remove(name)
        self._queue.drop(name)

    def _forget_one(self) -> bool:
        """Make room: of the gone and the left the longest so goes first; the live are never pushed out."""
        ended = [r for r in self._records.values() if r.state in (MemberState.DEAD, MemberState.LEFT)]
        if not ended:
            return False
        self._forget(min(ended, key=lambda r: (r.since, r.name)).name)
        return True

    # --- small things

    def _at(self, when: float, kind: str, key: str | int = "") -> None:
        self._timed += 1
        heapq.heappush(self._timers, Timer(when, self._timed, kind, key))

    def _number(self) -> int:
        self._numbers += 1
        return self._numbers

    def _reply(self) -> bool:
        """Spend one of the period's answers to the unknown; a flood of questions costs no more than these."""
        if self._replies <= 0:
            self._count("no-reply-left")
            return False
        self._replies -= 1
        return True

    def _count(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1
