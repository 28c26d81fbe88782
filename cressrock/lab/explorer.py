"""Explores a council of real seats: every order of what can happen, to a stated bound.

A state is the seats, their stores, the messages on the wire (a multiset: any order, so reordering is
included; a message that is never taken is a lost one), what happened so far that the invariants speak of,
and how much of each bounded action is spent.  Clocks play no part: a seat may stand at any moment, nobody
sticks to a leader, leases never end; so what holds here holds whatever clocks say.

Invariants, at every state (names of Ongaro's dissertation, 3.2): election safety, log matching, leader
completeness, state machine safety; besides: nothing is said that the store does not have, and a confirmed
read knows all that was committed when it was asked.

A seat's step depends on nothing but seat, store and input, so each is computed once and remembered; a state
is a tuple of numbers.  Answers that can never again mean anything to the seat they go to (of a term that it
has left for good, or to a candidate or leader that is none any more in that term) are taken off the wire,
which joins states that differ in nothing else.  Of states seen only 64-bit hashes are kept: among n states
one is taken for another with a chance of about n * n / 2 ** 65 (ten million: three in a million).
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec

from cressrock.consensus.raft import messages as m
from cressrock.consensus.raft.messages import LogEntry, RaftMessage
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import StoredState, initial_state
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.errors import CressrockError
from cressrock.lab.replica_store import InMemoryReplicaStore

Action = tuple[Any, ...]
T = TypeVar("T")
MakeSeat = Callable[[str, StoredState, RaftSettings, random.Random, float], RaftNode]

_entries = msgspec.msgpack.Decoder(tuple[LogEntry, ...])


class PropertyViolatedError(Exception):
    """An invariant does not hold; `trace` are the actions that lead there."""

    def __init__(self, text: str) -> None:
        """`text` says which, where and with what."""
        super().__init__(text)
        self.text = text
        self.trace: tuple[Action, ...] = ()


@dataclass(frozen=True)
class Bounds:
    """How much of what may happen on one path; what is not named cannot happen."""

    max_term: int = 3  # the first entry of a council is of term 1
    wire: int = 6  # messages on their way at once; states with more are cut off and counted
    stands: int = 9  # elections begun
    proposals: int = 1
    crashes: int = 1  # each before or after the disk write of a step
    losses: int = 0  # messages taken off the wire (a message never taken is lost without this)
    repeats: int = 0  # messages taken and left on the wire
    beats: int = 0  # heartbeat rounds, which send again what was lost
    reads: int = 0
    transfers: int = 0
    compactions: int = 0
    changes: tuple[tuple[str, str], ...] = ()  # (add, remove): any leader may ask each once


@dataclass(frozen=True)
class Scenario:
    """What is explored: a council, its bounds, and a stretch of history played before the exploration."""

    name: str
    bounds: Bounds
    seats: tuple[str, ...] = ("a", "b", "c")
    others: tuple[str, ...] = ()  # seats to be, with empty stores
    pre_vote: bool = False
    max_entries: int = 4
    prefix: tuple[Action, ...] = ()
    make: MakeSeat = RaftNode
    check_kept: bool = True  # whether what is said is compared with what is kept


@dataclass
class Found:
    """What an exploration came to."""

    name: str
    states: int = 0
    steps: int = 0
    local_steps: int = 0  # different steps of single seats
    depth: int = 0
    cut: int = 0  # states left out because of the bound of the wire
    complete: bool = False  # all states within the bounds were seen
    leaders: int = 0  # states with a leader in them
    committed: int = 0  # the longest committed log seen
    violation: PropertyViolatedError | None = None

    def row(self) -> str:
        """Return one line of a table."""
        verdict = self.violation.text if self.violation else "none"
        return (
            f"| {self.name} | {self.states} | {self.steps} | {self.local_steps} | {self.depth} | {self.cut} "
            f"| {self.committed} | {'yes' if self.complete else 'no'} | {verdict} |"
        )


class _View(NamedTuple):
    """What the invariants need of one seat: its whole log, from snapshot and entries."""

    leads: bool
    term: int
    log: int  # number of the whole log
    entries: tuple[LogEntry, ...]
    committed: int


class _Outcome(NamedTuple):
    """One step of one seat: after it, or after a restart before or after its write."""

    seat: int
    store: int
    sent: tuple[int, ...]
    before: int
    after: int
    reads: tuple[tuple[int, int], ...]
    error: str


class _History(NamedTuple):
    """What happened on the way: who led which term, and each committed entry with the term it was in."""

    leaders: tuple[tuple[int, str], ...]
    committed: tuple[tuple[LogEntry, int], ...]


class _State(NamedTuple):
    """Numbers only, but for the budget spent."""

    seats: tuple[int, ...]
    stores: tuple[int, ...]
    wire: tuple[int, ...]
    history: int
    spent: tuple[int, ...]


class _Numbers(Generic[T]):
    """Gives equal things one number."""

    def __init__(self) -> None:
        self.by_key: dict[Any, int] = {}
        self.things: list[T] = []

    def of(self, key: Any, thing: T) -> int:
        number = self.by_key.get(key)
        if number is None:
            number = self.by_key[key] = len(self.things)
            self.things.append(thing)
        return number


_KINDS = ("stands", "proposals", "crashes", "losses", "repeats", "beats", "reads", "transfers", "compactions")


@dataclass
class Explorer:
    """Breadth first over one scenario, so a violation's trace is among the shortest."""

    scenario: Scenario
    traces: bool = True  # keep how each state was reached; costs memory
    found: Found = field(init=False)

    def __post_init__(self) -> None:
        """Play the prefix."""
        s = self.scenario
        self.found = Found(s.name)
        self.names = (*s.seats, *s.others)
        self.place = {name: number for number, name in enumerate(self.names)}
        self.timing = RaftSettings(
            election_ms=1.0,
            heartbeat_ms=0.5,
            leader_stickiness_ms=0.0,
            leader_lease_ms=float("inf"),
            pre_vote=s.pre_vote,
            max_append_entries=s.max_entries,
            max_inflight_appends=4,
        )
        self.source = random.Random(0)
        self.seats: _Numbers[RaftNode] = _Numbers()
        self.stores: _Numbers[InMemoryReplicaStore] = _Numbers()
        self.messages: _Numbers[tuple[str, str, RaftMessage]] = _Numbers()
        self.histories: _Numbers[_History] = _Numbers()
        self.logs: _Numbers[tuple[LogEntry, ...]] = _Numbers()
        self.views: dict[int, _View] = {}
        self.memo: dict[tuple[int, int, Action], _Outcome | None] = {}
        self.dead: dict[tuple[int, int], bool] = {}
        self.matching: dict[tuple[int, int], bool] = {}
        b = s.bounds
        self.most = tuple(getattr(b, kind) for kind in _KINDS)
        start = initial_state(s.seats)
        stores = tuple(
            self._store(InMemoryReplicaStore(start if name in s.seats else StoredState()))
            for name in self.names
        )
        seats = tuple(self._restart(name, stores[self.place[name]]) for name in self.names)
        spent = (0,) * (len(_KINDS) + len(b.changes))
        history = self._history(_History((), ((start.entries[0], 1),)))
        self.start = self._play(_State(seats, stores, (), history, spent), s.prefix)

    # Numbers for things

    def _store(self, store: InMemoryReplicaStore) -> int:
        return self.stores.of((store.hard, store.snapshot, store.entries), store)

    def _seat(self, seat: RaftNode) -> int:
        number = self.seats.of((seat.name, seat.key()), seat)
        if number not in self.views:
            before = _entries.decode(seat.snapshot.data) if seat.snapshot else ()
            whole = (*before, *seat.log.entries)
            self.views[number] = _View(
                seat.role is Role.LEADER, seat.term, self.logs.of(whole, whole), whole, seat.commit
            )
        return number

    def _restart(self, name: str, store: int) -> int:
        stored = self.stores.things[store].load()
        seat = self.scenario.make(name, stored, self.timing, self.source, 0.0)
        while seat.has_ready():  # what was known committed is applied again; nothing else can be there
            seat.advance(seat.ready())
        return self._seat(seat)

    def _history(self, history: _History) -> int:
        return self.histories.of(history, history)

    # One seat's step

    def _step(self, seat: int, store: int, given: Action) -> _Outcome | None:
        key = (seat, store, given)
        if key not in self.memo:
            self.memo[key] = self._compute(seat, store, given)
            self.found.local_steps += 1
        return self.memo[key]

    def _compute(self, seat_number: int, store_number: int, given: Action) -> _Outcome | None:
        seat = self.seats.things[seat_number].clone()
        store = self.stores.things[store_number].clone()
        try:
            if not self._give(seat, given):
                return None
        except CressrockError as error:
            if given[0] == "take":
                return _Outcome(seat_number, store_number, (), 0, 0, (), f"{seat.name}: {error.text}")
            if given[0] != "seats" or not seat.has_ready():  # a change refused may begin to teach a seat
                return None
        sent: list[int] = []
        reads: list[tuple[int, int]] = []
        error_text = ""
        while seat.has_ready():
            ready = seat.ready()
            store.write(ready)
            for to, message in ready.messages:
                if self.scenario.check_kept:
                    error_text = error_text or self._unkept(seat.name, store, to, message)
                sent.append(self.messages.of((seat.name, to, message), (seat.name, to, message)))
            reads += [(int(read.token), read.index) for read in ready.confirmed_reads]
            seat.advance(ready)
        written = self._store(store)
        number = self._seat(seat)
        return _Outcome(
            number,
            written,
            tuple(sent),
            self._restart(seat.name, store_number),
            self._restart(seat.name, written),
            tuple(reads),
            error_text,
        )

    def _give(self, seat: RaftNode, given: Action) -> bool:
        """Give a seat one input; return whether it was one for it."""
        match given:
            case ("take", number):
                sender, _, message = self.messages.things[number]
                seat.receive(0.0, sender, message)
            case ("stand",):
                if seat.role in (Role.LEADER, Role.LEARNER) or seat.term >= self.scenario.bounds.max_term:
                    return False
                seat.campaign(0.0)
            case ("propose", number):
                seat.propose(0.0, b"p%d" % number)
            case ("beat",):
                if seat.role is not Role.LEADER:
                    return False
                seat.broadcast_heartbeat()
            case ("read", committed):
                seat.read_index(0.0, committed)
            case ("transfer", to):
                if seat.term >= self.scenario.bounds.max_term:
                    return False
                seat.transfer_leadership(0.0, to)
            case ("compact",):
                if seat.applied <= seat.log.snapshot_index:
                    return False
                before = _entries.decode(seat.snapshot.data) if seat.snapshot else ()
                whole = (*before, *seat.log.entries_between(seat.log.snapshot_index + 1, seat.applied))
                seat.compact(seat.applied, msgspec.msgpack.encode(whole))
            case ("seats", add, remove):
                seat.change_voters(0.0, add=add, remove=remove)
        return True

    @staticmethod
    def _unkept(me: str, store: InMemoryReplicaStore, to: str, message: RaftMessage) -> str:
        """Return what a message says that the store does not have, "" if nothing."""
        hard = store.hard
        kept = True
        if message.term > hard.term:
            return f"said, not kept: {me} speaks of term {message.term}, kept is {hard.term}"
        match message:
            case m.RequestVote():
                kept = message.term < hard.term or hard.voted_for == me
            case m.RequestVoteReply(granted=True):
                kept = message.term < hard.term or hard.voted_for == to
            case m.AppendEntriesReply(accepted=True):
                kept = message.term < hard.term or store.last_index >= message.match
            case m.InstallSnapshotReply(done=True):
                kept = message.term < hard.term or store.last_index >= message.index
            case m.AppendEntries(entries=entries) if entries and message.term == hard.term:
                kept = all(store.term_at(entry.index) in (entry.term, None) for entry in entries)
                kept = kept and store.last_index >= entries[-1].index
        return "" if kept else f"said, not kept: {me} to {to}: {message}"

    # Invariants

    def _judge(self, state: _State, place: int, reads: tuple[tuple[int, int], ...]) -> int:
        """Check what the seat at `place` came to; return the history with it.  Raises Violation."""
        name = self.names[place]
        view = self.views[state.seats[place]]
        history = self.histories.things[state.history]
        leaders, committed = history
        for number, (entry, _) in enumerate(committed[: view.committed]):
            if view.entries[number] != entry:
                raise PropertyViolatedError(
                    f"state machine safety: {name} has {view.entries[number]} for {entry}"
                )
        if view.committed > len(committed):
            more = view.entries[len(committed) : view.committed]
            committed += tuple((entry, view.term) for entry in more)
        if view.leads:
            led = dict(leaders).get(view.term)
            if led is None:
                leaders = tuple(sorted((*leaders, (view.term, name))))
                for number, (entry, term) in enumerate(committed):
                    has = view.entries[number] if number < len(view.entries) else None
                    if term < view.term and has != entry:
                        raise PropertyViolatedError(
                            f"leader completeness: {name} leads term {view.term} without {entry}"
                        )
            elif led != name:
                raise PropertyViolatedError(f"election safety: {led} and {name} lead term {view.term}")
        for other, seat in enumerate(state.seats):
            if other != place and not self._match(view.log, self.views[seat].log):
                raise PropertyViolatedError(f"log matching: {name} and {self.names[other]}")
        for asked, index in reads:
            if index < asked:
                raise PropertyViolatedError(f"read: {name} confirmed {index}, committed was {asked}")
        self.found.committed = max(self.found.committed, len(committed))
        if leaders is history.leaders and committed is history.committed:
            return state.history
        return self._history(_History(leaders, committed))

    def _match(self, one: int, two: int) -> bool:
        """Whether two logs are the same up to the last entry at which their terms agree."""
        if one == two:
            return True
        key = (min(one, two), max(one, two))
        if key not in self.matching:
            left, right = self.logs.things[one], self.logs.things[two]
            same = [
                number
                for number, pair in enumerate(zip(left, right, strict=False))
                if pair[0].term == pair[1].term
            ]
            end = same[-1] + 1 if same else 0
            self.matching[key] = left[:end] == right[:end]
        return self.matching[key]

    # All that can happen

    def _apply(
        self,
        state: _State,
        place: int,
        given: Action,
        wire: tuple[int, ...],
        spent: tuple[int, ...],
        crash: str = "",
    ) -> _State | None:
        outcome = self._step(state.seats[place], state.stores[place], given)
        if outcome is None:
            return None
        if outcome.error:
            raise PropertyViolatedError(outcome.error)
        seat, store, reads = outcome.seat, outcome.store, outcome.reads
        if crash == "before":
            seat, store, reads = outcome.before, state.stores[place], ()
        elif crash == "after":
            seat, reads = outcome.after, ()
        else:
            wire += outcome.sent
        seats = (*state.seats[:place], seat, *state.seats[place + 1 :])
        wire = tuple(sorted(number for number in wire if not self._is_dead(number, seats)))
        stores = (*state.stores[:place], store, *state.stores[place + 1 :])
        after = _State(seats, stores, wire, state.history, spent)
        return after._replace(history=self._judge(after, place, reads))

    def _is_dead(self, number: int, seats: tuple[int, ...]) -> bool:
        """Whether an answer will never mean anything to its receiver, whatever happens to that one."""
        _, to, message = self.messages.things[number]
        receiver = seats[self.place[to]]
        key = (number, receiver)
        found = self.dead.get(key)
        if found is None:
            seat = self.seats.things[receiver]
            match message:
                case m.PreVoteReply():
                    found = message.next_term <= seat.term and message.term <= seat.term
                case m.RequestVoteReply():
                    found = message.term < seat.term or (
                        message.term == seat.term and seat.role is not Role.CANDIDATE
                    )
                case m.AppendEntriesReply() | m.InstallSnapshotReply():
                    found = message.term < seat.term or (
                        message.term == seat.term and seat.role not in (Role.CANDIDATE, Role.LEADER)
                    )
                case _:
                    found = False
            self.dead[key] = found
        return found

    def _next(self, state: _State) -> list[tuple[Action, _State]]:
        spent, most = state.spent, self.most
        left = [have < may for have, may in zip(spent, most, strict=False)]

        def used(*kinds: int) -> tuple[int, ...]:
            return tuple(have + (number in kinds) for number, have in enumerate(spent))

        found: list[tuple[Action, _State]] = []

        def step(
            label: Action, place: int, given: Action, wire: tuple[int, ...], kinds: tuple[int, ...]
        ) -> None:
            after = self._apply(state, place, given, wire, used(*kinds))
            if after is None:
                return
            found.append((label, after))
            if left[2]:
                for crash in ("before", "after"):
                    crashed = self._apply(state, place, given, wire, used(2, *kinds), crash)
                    assert crashed is not None
                    found.append(((*label, f"crash {crash} the write"), crashed))

        previous = -1
        for position, number in enumerate(state.wire):
            if number == previous:
                continue
            previous = number
            sender, to, message = self.messages.things[number]
            rest = state.wire[:position] + state.wire[position + 1 :]
            label = ("take", sender, to, type(message).__name__)
            step(label, self.place[to], ("take", number), rest, ())
            if left[4]:
                step((*label, "again"), self.place[to], ("take", number), state.wire, (4,))
            if left[3]:
                lost = state._replace(wire=rest, spent=used(3))
                found.append((("lose", sender, to, type(message).__name__), lost))
        committed = len(self.histories.things[state.history].committed)
        for place, name in enumerate(self.names):
            if left[0]:
                step(("stand", name), place, ("stand",), state.wire, (0,))
            if not self.views[state.seats[place]].leads:
                continue
            if left[1]:
                step(("propose", name), place, ("propose", spent[1]), state.wire, (1,))
            if left[5]:
                step(("beat", name), place, ("beat",), state.wire, (5,))
            if left[6]:
                step(("read", name), place, ("read", committed), state.wire, (6,))
            if left[7]:
                for to in self.names:
                    step(("transfer", name, to), place, ("transfer", to), state.wire, (7,))
            for number, (add, remove) in enumerate(self.scenario.bounds.changes):
                if not spent[len(_KINDS) + number]:
                    given = ("seats", add, remove)
                    step(("seats", name, add, remove), place, given, state.wire, (len(_KINDS) + number,))
        if left[8]:
            for place, name in enumerate(self.names):
                step(("compact", name), place, ("compact",), state.wire, (8,))
        return found

    def run(self, most_states: int = 10**9, stop: Callable[[], bool] = lambda: False) -> Found:
        """Explore until all is seen, an invariant breaks, `most_states` are seen, or `stop` says so."""
        start_hash = hash(self.start)
        seen = {start_hash}
        came: dict[int, tuple[int, Action]] = {}
        frontier = [self.start]
        found = self.found
        found.states = 1
        while frontier:
            following: list[_State] = []
            for state in frontier:
                try:
                    steps = self._next(state)
                except PropertyViolatedError as violation:
                    found.violation = violation
                    violation.trace = (*self._trace(came, hash(state)), *self._last(state))
                    return found
                for action, after in steps:
                    found.steps += 1
                    number = hash(after)
                    if number in seen:
                        continue
                    if len(after.wire) > self.scenario.bounds.wire:
                        found.cut += 1
                        continue
                    seen.add(number)
                    if self.traces:
                        came[number] = (hash(state), action)
                    found.states += 1
                    found.leaders += any(self.views[seat].leads for seat in after.seats)
                    following.append(after)
                if found.states >= most_states or (found.steps % 64 == 0 and stop()):
                    return found
            frontier = following
            found.depth += bool(following)
        found.complete = True
        return found

    def _trace(self, came: dict[int, tuple[int, Action]], number: int) -> tuple[Action, ...]:
        actions: list[Action] = []
        while number in came:
            number, action = came[number]
            actions.append(action)
        return tuple(reversed(actions))

    def _last(self, state: _State) -> tuple[Action, ...]:
        """Return what was on the wire when it broke."""
        return (("then, of the wire", *(self.messages.things[number][:2] for number in state.wire)),)

    # A stretch played by hand

    def _play(self, state: _State, prefix: tuple[Action, ...]) -> _State:
        """Play ("stand" | "propose" | "beat" | "crash", name) or ("seats", name, add, remove).

        ("all", names): carry everything between them until it is quiet; ("take", sender, to): what is on its
        way there now; ("clear",): lose the rest; ("try", ...): if it can be done.
        """
        for action in prefix:
            match action:
                case ("clear",):
                    state = state._replace(wire=())
                case ("crash", name):
                    place = self.place[name]
                    seat = self._restart(name, state.stores[place])
                    seats = (*state.seats[:place], seat, *state.seats[place + 1 :])
                    state = state._replace(seats=seats)
                case ("take", sender, to):
                    state = self._carry(state, frozenset([(sender, to)]), False)
                case ("all", *names):
                    state = self._carry(state, frozenset((a, b) for a in names for b in names), True)
                case ("try", kind, name, *rest):
                    place = self.place[name]
                    state = self._apply(state, place, (kind, *rest), state.wire, state.spent) or state
                case (kind, name, *rest):
                    given = (kind, *(rest or ([0] if kind == "propose" else [])))
                    after = self._apply(state, self.place[name], given, state.wire, state.spent)
                    if after is None:
                        raise ValueError(f"{action} cannot happen here")
                    state = after
        return state

    def _carry(self, state: _State, links: frozenset[tuple[str, str]], on: bool) -> _State:
        while True:
            due = [number for number in state.wire if self.messages.things[number][:2] in links]
            for number in due:
                if number not in state.wire:
                    continue  # it became meaningless meanwhile
                wire = list(state.wire)
                wire.remove(number)
                place = self.place[self.messages.things[number][1]]
                after = self._apply(state, place, ("take", number), tuple(wire), state.spent)
                assert after is not None
                state = after
            if not due or not on:
                return state
