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

from cressrock.consensus import decisions as d
from cressrock.consensus import wire as w
from cressrock.consensus.client import ClientSettings, ConsensusClient, DecisionCache
from cressrock.consensus.raft import messages as m
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import StoredState, initial_state
from cressrock.consensus.raft.ready import Ready
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.consensus.store import ReplicaStore, StoreHeader, replica_name
from cressrock.consensus.transport import (
    Connection,
    Environment,
    PeerConnection,
    ReconnectBackoff,
    run_in_thread,
    run_inline,
)
from cressrock.errors import CressrockError
from cressrock.errors.consensus import (
    ConsensusBusyError,
    InvalidMessageError,
    InvalidReplicaSetError,
    MembershipChangeRefusedError,
    NotLeaderError,
    PeerRejectedError,
    ReplicaRemovedError,
    StoreMissingError,
)
from cressrock.http.channel import Stream

__all__ = [
    "ClientSettings",
    "ConsensusClient",
    "ConsensusReplica",
    "DecisionCache",
    "ReconnectBackoff",
    "ReplicaSettings",
    "Environment",
    "check_lease",
    "check_replica_set",
    "run_inline",
    "run_in_thread",
]

FOREVER = float("inf")
MAX_NAME = 47  # with "#" and the id of 16 characters it fits a name of raft's messages


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """One seat; times in milliseconds.  `seats` gives each one's address as this process reaches it."""

    name: str
    cluster: str
    replicas: Mapping[str, str]
    store: str | Path
    start: Literal["found", "join", "expect"] = "found"
    timing: RaftSettings = RaftSettings()
    bounds: w.Bounds = w.Bounds()
    reconnect: ReconnectBackoff = ReconnectBackoff()
    limits: d.DecisionLimits = d.DecisionLimits()
    renewal_interval_ms: float = (
        500.0  # how often a leader renews; a few of them should fit the shortest hold
    )
    join_interval_ms: float = 200.0  # how often a new seat asks to be taken in
    request_timeout_ms: float = 2000.0  # how long a seat works on one question
    max_inbox: int = 4096  # messages of other seats that wait for the disk; more are lost, as on a wire
    max_pending_requests: int = 1024  # questions at work at once; more are told to come later
    max_connections: int = 1024  # open at once, seats' and clients'; more are parted with at once
    max_log_entries: int = (
        4096  # entries; at half of it a snapshot is drawn, at all of it the log is cut to that
    )
    max_log_bytes: int = 8 << 20  # bytes of entries, likewise


def check_replica_set(names: Iterable[str], me: str) -> None:
    """Check the seats of a council.  Raises SeatsWrong."""
    listed = list(names)
    if len(set(listed)) != len(listed):
        raise InvalidReplicaSetError(f"a seat is named twice: {', '.join(sorted(listed))}")
    if len(listed) not in (3, 5):
        raise InvalidReplicaSetError(f"{len(listed)} seats: {', '.join(listed)}")
    for name in listed:
        if not 0 < len(name) <= MAX_NAME or "#" in name:
            raise InvalidReplicaSetError(
                f"the seat's name {name!r}: 1 to {MAX_NAME} characters, none of them '#'"
            )
    if me not in listed:
        raise InvalidReplicaSetError(f"{me!r} is not among the seats {', '.join(listed)}")


def check_lease(lease_ms: float, timing: RaftSettings, renewal_interval_ms: float) -> None:
    """Check that a hold lives through a leader's death.  Raises SeatsWrong.

    A death is noticed within two election times, a new leader stands within two more, and renews at once;
    below that sum every change of leader lets decrees lapse.
    """
    least = 4 * timing.election_ms + renewal_interval_ms
    if lease_ms < least:
        raise InvalidReplicaSetError(f"a hold of {lease_ms:g} ms; with these elections at least {least:g}")


def consensus_group_id(cluster: str, founders: tuple[str, ...]) -> str:
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


class ConsensusReplica:
    """One seat: `run` it in a task group, and hand accepted streams to `serve`."""

    def __init__(
        self,
        environment: Environment,
        settings: ReplicaSettings,
        *,
        publish: Callable[[tuple[d.Decision, ...]], None] = lambda decrees: None,
        on_status_change: Callable[[dict[str, Any]], None] = lambda status: None,
        on_applied: Callable[[int, d.Command, d.Outcome], None] = lambda index, command, outcome: None,
        max_pages: int = 0,
    ) -> None:
        """`publish` takes decrees for all to read, from a leader with each beat and from any seat when newly
        decided; `changed` the status when role, leader or failure changed.  Raises SeatsWrong.
        """
        if settings.start == "found":
            check_replica_set(settings.replicas, settings.name)
        self.environment, self.settings = environment, settings
        self.publish, self.on_status_change, self.on_applied = publish, on_status_change, on_applied
        self.max_pages = max_pages
        self.failed: CressrockError | None = None
        self.store: ReplicaStore | None = None
        self.header: StoreHeader | None = None
        self.raft: RaftNode | None = None
        self.decisions = d.DecisionState(settings.limits)
        self.renewals = d.LeaseRenewals()
        self.counts: Counter[str] = Counter()
        self.connections: dict[str, PeerConnection] = {}
        self._tasks: TaskGroup | None = None
        self._served: set[Connection] = set()
        self._inbox: deque[tuple[str, m.RaftMessage]] = deque()
        self._asks: deque[_Asked] = deque()
        self._at_work = 0
        self._waiting: dict[str, list[_Asked]] = {}
        self._reads: dict[int, _Asked | None] = {}
        self._news = anyio.Event()
        self._renew_due = 0.0
        self._mark: tuple[int, bytes] | None = None
        self._told: tuple[object, ...] = ()
        self._stored = StoredState()
        self._sat = False
        self._replayed = 0  # the last index that the store held at the start

    # --- identity

    @property
    def identity(self) -> str:
        """The seat's name in the log: name#id; "" before the store is open."""
        return self.header.identity if self.header else ""

    @property
    def initial_replicas(self) -> tuple[str, ...]:
        """The identities that founded this seat's council; () before it has one."""
        return tuple(self.header.initial_replicas) if self.header else ()

    def _me(self) -> w.Me:
        founders = self.initial_replicas
        council = consensus_group_id(self.settings.cluster, founders) if founders else ""
        return w.Me(self.settings.cluster, self.identity, True, council, founders, self.decisions.applied)

    def status(self) -> dict[str, Any]:
        """Return the seat's status as plain values, for an admin port."""
        seat, now = self.raft, self.environment.clock()
        role = "failed" if self.failed else seat.role.value if seat else "waiting"
        heard = {name: line.heard_ms() for name, line in self.connections.items()}
        parted = {name: line.parted.reason for name, line in self.connections.items() if line.parted}
        return {
            "name": self.settings.name,
            "identity": self.identity,
            "council": self._me().council,
            "role": role,
            "failed": self.failed.fields() if self.failed else None,
            "term": seat.term if seat else 0,
            "generation": seat.generation if seat else 0,
            "leader": replica_name(seat.leader) if seat else "",
            "seats": list(seat.voters) if seat else [],
            "commit": seat.commit if seat else 0,
            "applied": self.decisions.applied,
            "number": self.decisions.version,
            "topics": len(self.decisions.all_decisions()),
            "log": len(seat.log.entries) if seat else 0,
            "beat": self.renewals.last_renewal,
            "heard_ms_ago": {name: None if at is None else round(now - at) for name, at in heard.items()},
            "parted": parted,
            "store_bytes": self.store.size() if self.store else 0,
            "counts": dict(self.counts) | (dict(seat.drop_counts) if seat else {}),
        }

    def _tell(self) -> None:
        seat = self.raft
        now = (seat.role, seat.term, seat.leader) if seat else (None, 0, "")
        known = (*now, self.failed, self.initial_replicas)
        if known != self._told:
            self._told = known
            status = self.status()
            self.environment.log_event(
                "council.seat", **{key: status[key] for key in ("role", "term", "leader")}
            )
            self.on_status_change(status)

    # --- life

    async def run(self) -> None:
        """Sit until cancelled; a seat that fails stays, and tells everybody who asks why it is silent."""
        settings = self.settings
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                try:
                    await self.environment.run_blocking(self._open)
                    self._begin()
                    for name in sorted(set(settings.replicas) - {settings.name}):
                        self.connections[name] = self._dial(name)
                        tasks.start_soon(self.connections[name].run)
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
        self.store = ReplicaStore(
            settings.store,
            cluster=settings.cluster,
            replica=settings.name,
            must_exist=settings.start == "expect",
            random_bytes=self.environment.random_bytes,
            max_pages=self.max_pages,
        )
        self.header = self.store.header
        if self.header.removed:
            raise ReplicaRemovedError(f"seat {self.identity} was put out of the council")
        self._stored = self.store.load()

    def _begin(self) -> None:
        if not self.initial_replicas:
            return
        snapshot = self._stored.snapshot
        self.decisions = d.DecisionState(self.settings.limits)
        if snapshot is not None:
            self.decisions = d.DecisionState.restore(snapshot.data, snapshot.index)
            self._sat = self.identity in snapshot.voters
        now = self.environment.clock()
        entries = self._stored.entries
        self._replayed = entries[-1].index if entries else self.decisions.applied
        self.raft = RaftNode(
            self.identity, self._stored, self.settings.timing, self.environment.random_source, now
        )

    def _fail(self, wrong: CressrockError) -> None:
        self.failed, self.raft, self._tasks = wrong, None, None
        self.environment.log_event("council.seat.stopped", **wrong.fields())
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

    def _dial(self, name: str) -> PeerConnection:
        return PeerConnection(
            self.environment,
            name,
            self.settings.replicas[name],
            self._me,
            bounds=self.settings.bounds,
            redial=self.settings.reconnect,
            opened=self._wake,
        )

    async def _found(self) -> None:
        """Look whether this seat can have a council by now."""
        if self.raft is not None or self.header is None:
            return
        met = {name: line.peer for name, line in self.connections.items() if line.peer is not None}
        standing = [peer for peer in met.values() if peer.council]
        founders: tuple[str, ...] = ()
        stored = StoredState()
        for peer in standing:
            if self.identity in peer.founders or self.settings.start == "join":
                founders = tuple(peer.founders)
            else:
                raise StoreMissingError(
                    f"the council {peer.council} stands (seat {peer.who} says), and the store of "
                    f"{self.settings.name} at {self.settings.store} is not of it"
                )
        if not standing and self.settings.start != "join" and len(met) == len(self.connections):
            founders = tuple(sorted((self.identity, *(peer.who for peer in met.values()))))
            if sorted(map(replica_name, founders)) != sorted(self.settings.replicas):
                raise InvalidReplicaSetError(f"at the seats' addresses sit {', '.join(founders)}")
        if not founders:
            return
        if self.identity in founders:
            stored = initial_state(founders)
        header = msgspec.structs.replace(self.header, initial_replicas=founders)
        store = self.store
        assert store is not None
        await self.environment.run_blocking(partial(store.save_header, header, stored))
        self.header, self._stored = header, stored
        self._begin()
        self.environment.log_event("council.founded", council=self._me().council, founders=list(founders))
        # Whoever greeted before learns of the council by greeting again.
        for connection in list(self._served):
            if connection.talk.peer_seat:
                connection.close("council-founded", "founded: greet again")

    async def _joining(self) -> None:
        """Ask to be taken in for as long as this seat is none."""
        if self.settings.start != "join":
            return
        while True:
            await anyio.sleep(self.settings.join_interval_ms / 1000)
            if self.failed is not None or (self.raft is not None and self.identity in self.raft.voters):
                return
            if self.raft is None:
                continue
            for line in self.connections.values():
                until = self.environment.clock() + self.settings.request_timeout_ms
                reply = await line.ask(w.Join(self.identity), forward=True, until_ms=until)
                if isinstance(reply, d.Done):
                    break

    # --- connections that others opened

    async def serve(self, stream: Stream) -> None:
        """Serve one accepted stream to its end."""
        clock = self.environment.clock
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
                if self._tasks is None or self._at_work >= self.settings.max_pending_requests:
                    connection.send(w.Answer(event.number, w.Later("too much is asked at once")))
                else:
                    self._at_work += 1
                    self._tasks.start_soon(self._answer, connection, event)
            case w.Closed(code, reason) if code not in ("ended", "council-founded"):
                self.counts[f"parted {code}"] += 1
                self.environment.log_event(
                    "council.parted", peer=connection.talk.peer, code=code, reason=reason
                )

    def _on_raft(self, peer: str, data: bytes) -> None:
        try:
            sender, to, message = m.decode(data, self.settings.cluster)
        except InvalidMessageError as wrong:
            self.counts[f"refused {wrong.reason}"] += 1
            return
        # A connection speaks for the seat that greeted on it, and only to who we are in this life.
        if sender != peer or to != self.identity or self.raft is None:
            self.counts["not for us"] += 1
        elif len(self._inbox) >= self.settings.max_inbox:
            self.counts["inbox full"] += 1
        else:
            self._inbox.append((sender, message))
            self._wake()

    async def _answer(self, connection: Connection, ask: w.Ask) -> None:
        try:
            reply = await self._reply(ask.question, ask.forward)
            connection.send(w.Answer(ask.number, reply, self.decisions.applied))
        finally:
            self._at_work -= 1

    async def _reply(self, question: w.Question, forward: bool) -> w.Reply:
        if isinstance(question, w.Status):
            return w.told(self.status())
        if self.raft is None:
            return w.Later("this seat has no council yet")
        until = self.environment.clock() + self.settings.request_timeout_ms
        if self.raft.role is not Role.LEADER:
            hint = replica_name(self.raft.leader)
            line = self.connections.get(hint)
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
        clock = self.environment.clock
        while True:
            self._news = anyio.Event()
            await anyio.lowlevel.checkpoint()
            await self._found()
            due = FOREVER
            if (seat := self.raft) is not None:
                now = clock()
                while self._inbox:
                    sender, message = self._inbox.popleft()
                    seat.receive(now, sender, message)
                seat.tick(now)
                if seat.excluded_reason:
                    raise PeerRejectedError(f"seat {self.identity}: {seat.excluded_reason}")
                self._lead(seat, now)
                if seat.has_ready():
                    await self._batch(seat, seat.ready())
                    self._compact(seat)
                    self._tell()
                    continue
                self._tell()
                due = min(seat.next_deadline_ms(), self._renew_due if seat.role is Role.LEADER else FOREVER)
            if self._inbox or self._asks:
                continue
            with anyio.move_on_at(due / 1000 + 1e-6):
                await self._news.wait()

    def _lead(self, seat: RaftNode, now: float) -> None:
        """Take up what is asked; renew what stands."""
        asks, self._asks = self._asks, deque()
        if seat.role is not Role.LEADER:
            for asked in asks:
                asked.answer(w.Elsewhere(replica_name(seat.leader)))
            self._leave()
            return
        for asked in asks:
            try:
                self._take(seat, now, asked)
            except NotLeaderError as wrong:
                asked.answer(w.Elsewhere(replica_name(wrong.leader_hint)))
            except (ConsensusBusyError, MembershipChangeRefusedError) as wrong:
                asked.answer(w.Later(wrong.text[:512]))
        if now >= self._renew_due:
            self._renew_due = now + self.settings.renewal_interval_ms
            try:
                if self.decisions.version_offset:
                    self._read(seat, now, None)
                else:
                    # Numbers begin at the wall clock, so that no founding gives one that a former one gave.
                    ground = d.SetVersionBase(int(self.environment.wall_ms()), self.settings.limits)
                    seat.propose(now, d.encode(ground))
            except (NotLeaderError, ConsensusBusyError):
                pass

    def _leave(self) -> None:
        """Answer those who wait for a lead that is over: what they asked may still come to stand."""
        self._renew_due = 0.0
        waiting, self._waiting = self._waiting, {}
        for many in waiting.values():
            for asked in many:
                asked.answer(w.Elsewhere(replica_name(self.raft.leader) if self.raft else ""))

    def _take(self, seat: RaftNode, now: float, asked: _Asked) -> None:
        question = asked.question
        match question:
            case w.Join(who):
                asked.answer(self._join(seat, now, who))
            case w.Remove(who):
                names = [one for one in seat.voters if who in (one, replica_name(one))]
                if names:
                    seat.change_voters(now, remove=names[0])
                asked.answer(w.Later("being put out") if names else d.Done(seat.log.last_index))
            case w.Transfer(to):
                names = [one for one in seat.voters if replica_name(one) == to]
                if names != [self.identity]:
                    seat.transfer_leadership(now, names[0] if names else to)
                asked.answer(d.Done(seat.log.last_index))
            case _ if not self.decisions.version_offset:
                asked.answer(w.Later("the council has no ground yet"))
            case w.Read():
                self._read(seat, now, asked)
            case d.Decide() | d.Drop():
                self._propose(seat, now, asked, question)

    def _propose(self, seat: RaftNode, now: float, asked: _Asked, command: d.Decide | d.Drop) -> None:
        known = self.decisions.outcome(command.request_id)
        if known is not None:
            asked.answer(self._stands(command, known))
        elif (waiting := self._waiting.get(command.request_id)) is not None:
            waiting.append(asked)  # it is in the log already
        else:
            data = d.encode(command)
            if len(data) > self.settings.timing.max_entry_bytes:
                asked.answer(d.Rejected("too-large"))
                return
            seat.propose(now, data)
            self._waiting[command.request_id] = [asked]

    def _read(self, seat: RaftNode, now: float, asked: _Asked | None) -> None:
        token = self.renewals.ask(seat.term, now)
        seat.read_index(now, token)
        self._reads[token] = asked

    def _join(self, seat: RaftNode, now: float, who: str) -> w.Reply:
        if who in seat.voters:
            return d.Done(seat.log.last_index)
        former = [one for one in seat.voters if replica_name(one) == replica_name(who)]
        if former:
            # First out, then in: with both among the seats the dead one would count for the quorum.
            seat.change_voters(now, remove=former[0])
            return w.Later(f"{former[0]} is being put out")
        seat.change_voters(now, add=who)
        return w.Later("being taken in")

    @staticmethod
    def _stands(command: d.Command, outcome: d.Outcome) -> w.Reply:
        if isinstance(command, d.Decide) and isinstance(outcome, d.Done):
            return w.Stands(
                d.Decision(command.topic, outcome.version, command.value, command.lease_ms, command.author)
            )
        return outcome

    async def _batch(self, seat: RaftNode, ready: Ready) -> None:
        store = self.store
        assert store is not None
        if ready.must_persist:
            work = partial(store.write, ready.hard_state, ready.snapshot, ready.entries, ready.truncate_from)
            await self.environment.run_blocking(work)
        for to, message in ready.messages:
            line = self.connections.get(replica_name(to))
            if line is None:
                self.counts["no address"] += 1
                continue
            line.send(w.Raft(m.encode(self.settings.cluster, self.identity, to, message)))
        if ready.restore_snapshot and ready.snapshot is not None:
            self.decisions = d.DecisionState.restore(ready.snapshot.data, ready.snapshot.index)
            self._mark = None
            await self._seats(ready.snapshot.voters)
        for entry in ready.committed:
            await self._apply(entry)
        for token in ready.lost_reads:
            asked = self._reads.pop(int(token), None)
            if asked is not None:
                asked.answer(w.Elsewhere(replica_name(seat.leader)))
        for read in ready.confirmed_reads:
            self._confirmed(seat, int(read.token))
        seat.advance(ready)

    def _confirmed(self, seat: RaftNode, token: int) -> None:
        asked = self._reads.pop(token, None)
        within = self.settings.timing.election_ms
        beat = self.renewals.confirm(token, seat.term, self.environment.clock(), within)
        if asked is None:
            if beat is not None and self.decisions.version_offset:
                self.publish(d.with_renewal(self.decisions.all_decisions(), beat))
        elif beat is None or not isinstance(asked.question, w.Read):
            asked.answer(w.Elsewhere())
        else:
            found = self.decisions.get(asked.question.topic)
            asked.answer(w.Stands(found and msgspec.structs.replace(found, renewal=beat)))

    async def _apply(self, entry: LogEntry) -> None:
        if entry.kind == "seats":
            await self._seats(m.decode_voters(entry.data))
        found = self.decisions.apply(entry.index, entry.data if entry.kind == "command" else b"")
        if found is None:
            return
        command, outcome = found
        self.on_applied(entry.index, command, outcome)
        if isinstance(command, d.SetVersionBase):
            return
        for asked in self._waiting.pop(command.request_id, ()):
            asked.answer(self._stands(command, outcome))
        stands = self.decisions.get(command.topic)
        # Not what the store held at the start: nobody knows how long that has lain there.
        live = entry.index > self._replayed
        if live and isinstance(outcome, d.Done) and stands is not None and stands.version == outcome.version:
            self.publish((stands,))

    async def _seats(self, seats: tuple[str, ...]) -> None:
        if self.identity in seats:
            self._sat = True
        if not self._sat or self.identity in seats or self.header is None or self.store is None:
            return  # a new seat reads of the times before it
        header = msgspec.structs.replace(self.header, removed=True)
        await self.environment.run_blocking(partial(self.store.save_header, header))
        raise ReplicaRemovedError(f"seat {self.identity} was put out of the council")

    def _compact(self, seat: RaftNode) -> None:
        """Keep the log bounded, and enough of it that a seat which is a little behind needs no snapshot."""
        settings = self.settings
        full = max(
            len(seat.log.entries) / settings.max_log_entries, seat.log.data_bytes / settings.max_log_bytes
        )
        if full >= 0.5 and self._mark is None:
            self._mark = (self.decisions.applied, self.decisions.snapshot())
        elif full >= 1 and self._mark is not None:
            seat.compact(*self._mark)
            self._mark = None
