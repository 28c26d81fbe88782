"""A council in simulated time under seeded faults: real seats, real bytes, clocks that run apart.

Each seat's clock has a rate and an origin of its own.  A batch goes through its steps as a carrier's would:
the write takes time, messages come in meanwhile, a crash or a stop may fall between any two steps.  Judged
are: one leader a term; what one seat applied at an index, every seat applies there, for ever; clients'
histories are linearizable; and when all faults are healed, the council decides again.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cressrock.consensus.raft import messages as m
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import StoredState, initial_state
from cressrock.consensus.raft.ready import Ready
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.errors.consensus import (
    ConsensusBusyError,
    LogDivergedError,
    MembershipChangeRefusedError,
    NotLeaderError,
)
from cressrock.lab.explorer import MakeSeat
from cressrock.lab.histories import FOREVER, Operation, Verdict, judge
from cressrock.lab.replica_store import InMemoryReplicaStore

CLUSTER = "sim"
KEYS = ("x", "y", "z")
FAULTS = (
    "crash",
    "crash",
    "crash the leader",
    "crash in a write",
    "stop",
    "stop the leader",
    "stop the leader",
    "halves",
    "one way",
    "ring",
    "alone",
    "loss",
    "slow net",
    "repeats",
    "slow disk",
    "all at once",
    "lost store",
    "transfer",
)


class InvariantBrokenError(Exception):
    """What must never be was seen; the text says what, and the seed is in the result."""


class Command(msgspec.Struct, frozen=True, array_like=True):
    """What a client asks of the registers; a repeat of one request of one client is applied once."""

    client: str
    request: int
    kind: str
    key: str
    value: str | None
    expected: str | None


@dataclass
class Registers:
    """The state machine: registers, and each client's last request with its answer."""

    values: dict[str, str | None] = field(default_factory=dict)
    answered: dict[str, tuple[int, object]] = field(default_factory=dict)

    def apply(self, command: Command) -> object:
        """Apply one command and return its answer."""
        last = self.answered.get(command.client)
        if last is not None and last[0] >= command.request:
            return last[1]
        done: object = True
        if command.kind == "write" or self.values.get(command.key) == command.expected:
            self.values[command.key] = command.value
        else:
            done = False
        self.answered[command.client] = (command.request, done)
        return done

    def dump(self) -> bytes:
        """Return all of it as bytes."""
        return msgspec.msgpack.encode((self.values, self.answered))

    @classmethod
    def load(cls, data: bytes) -> Registers:
        """Return the registers of a dump."""
        values, answered = msgspec.msgpack.decode(data)
        return cls(values, {client: (one[0], one[1]) for client, one in answered.items()})


@dataclass
class Plan:
    """What one run is; times in milliseconds."""

    seed: int = 1
    seats: int = 3
    faults: int = 200
    clients: int = 4
    timing: RaftSettings = RaftSettings(election_ms=300.0, heartbeat_ms=50.0, snapshot_chunk_bytes=200)
    net_ms: float = 2.0  # mean delay of a message
    disk_ms: float = 1.0  # mean time of a write
    drift: float = 0.1  # clocks run up to this share too fast or too slow
    calm_ms: float = 0.0  # without faults: run so long
    compact_at: int = 60  # entries held before the registers' snapshot replaces them
    think_ms: float = 40.0
    make: MakeSeat = RaftNode
    kinds: tuple[str, ...] = FAULTS  # the faults drawn from
    rest: float = 0.0  # election periods between two faults, beside 1.5 on average
    lasts: tuple[float, float] = (0.2, 6.0)  # election periods
    lying_disk: int = 0  # broken on purpose: a crash loses so many of the last writes
    stale_reads: bool = False  # broken on purpose: any seat answers reads from what it has


@dataclass
class Result:
    """What a run came to; `broken` is empty if nothing that must not be was seen."""

    plan: Plan
    broken: str = ""
    faults: Counter[str] = field(default_factory=Counter)
    simulated_ms: float = 0.0
    leaders: int = 0
    committed: int = 0
    operations: int = 0
    unanswered: int = 0
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    led_share: float = 0.0  # of the time with faults, with a running seat that leads
    served_share: float = 0.0  # of the election periods with faults, with a client's answer in them
    decide_ms: list[float] = field(default_factory=list)
    gaps_ms: list[float] = field(default_factory=list)  # stretches without a leader
    recovery_ms: float = 0.0  # from the healing of everything to a first new answer
    messages: int = 0
    restores: int = 0  # snapshots taken over from a leader
    dropped: Counter[str] = field(default_factory=Counter)


@dataclass
class _Process:
    name: str
    store: InMemoryReplicaStore
    rate: float
    origin: float
    seat: RaftNode | None = None
    life: int = 0
    stopped: bool = False
    inbox: list[tuple[Any, ...]] = field(default_factory=list)
    past: deque[StoredState] = field(
        default_factory=lambda: deque(maxlen=8)
    )  # what was kept before each write
    writing: Ready | None = None
    write_due: bool = False  # a stopped process's write that is over
    registers: Registers = field(default_factory=Registers)
    index: int = 0
    tick_at: float = FOREVER
    reads: dict[int, tuple[str, int, str]] = field(default_factory=dict)
    waiting: set[tuple[str, int]] = field(default_factory=set)


@dataclass
class _Client:
    name: str
    request: int = 0
    attempt: int = 0
    command: Command | None = None
    called: float = 0.0
    guess: str = ""


class CouncilSim:
    """One run, the same for the same plan."""

    def __init__(self, plan: Plan) -> None:
        """Set up seats and clients."""
        self.plan = plan
        self.source = random.Random(f"council {plan.seed} {plan.seats}")
        self.now = 0.0
        self.sequence = 0
        self.heap: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self.result = Result(plan)
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.repeat = 0.0
        self.slow_net = 1.0
        self.slow_disk: dict[str, float] = {}
        self.led: dict[int, str] = {}
        self.applied: dict[int, bytes] = {}
        self.history: list[Operation] = []
        self.windows: set[int] = set()
        self.replacing: tuple[str, str, bool] | None = None  # old, new, whether the old goes first
        self.next_name = plan.seats + 1
        self.tokens = 0
        self.faulty_until = FOREVER
        self.led_ms = 0.0
        self.gap_from: float | None = None
        names = tuple(f"s{number}" for number in range(1, plan.seats + 1))
        self.processes: dict[str, _Process] = {}
        for name in names:
            self._process(name, initial_state(names))
        self.clients = {f"c{number}": _Client(f"c{number}") for number in range(plan.clients)}
        for name in self.clients:
            self._at(self.source.random() * 100, "think", name)

    # Events

    def _at(self, delay: float, kind: str, *details: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.heap, (self.now + delay, self.sequence, kind, details))

    def run(self) -> Result:
        """Run to the end and judge."""
        try:
            if self.plan.faults:
                self._at(self.plan.timing.election_ms * 3, "fault", self.plan.faults)
            else:
                self.faulty_until = self.plan.calm_ms
            self._run_until(lambda: self.now >= self.faulty_until)
            self._heal_all()
            healed = self.now
            wanted = len(self.history) + 3 * self.plan.clients
            limit = healed + 60 * self.plan.timing.election_ms
            self._run_until(lambda: self._settled(wanted) or self.now > limit)
            if not self._settled(wanted):
                raise InvariantBrokenError(
                    f"no decision within 60 election periods after the healing: {self._states()}"
                )
            first_after = min(one.returned for one in self.history if one.returned > healed)
            self.result.recovery_ms = first_after - healed
            self._judge_end()
        except (InvariantBrokenError, LogDivergedError) as error:
            self.result.broken = str(error)
        self._count()
        return self.result

    def _run_until(self, over: Callable[[], bool]) -> None:
        while not over():
            at, _, kind, details = heapq.heappop(self.heap)
            self._pass_time(at)
            getattr(self, f"_on_{kind}")(*details)

    def _pass_time(self, at: float) -> None:
        leads = any(
            process.seat is not None and not process.stopped and process.seat.role is Role.LEADER
            for process in self.processes.values()
        )
        if self.faulty_until > self.now:
            self.led_ms += (at - self.now) * leads
            if leads and self.gap_from is not None:
                self.result.gaps_ms.append(self.now - self.gap_from)
                self.gap_from = None
            elif not leads and self.gap_from is None:
                self.gap_from = self.now
        self.now = at

    # Processes

    def _process(self, name: str, stored: StoredState) -> None:
        rate = 1.0 + self.source.uniform(-self.plan.drift, self.plan.drift)
        self.processes[name] = _Process(name, InMemoryReplicaStore(stored), rate, self.source.uniform(0, 1e6))
        self._start(name)

    def _local(self, process: _Process) -> float:
        return process.origin + process.rate * self.now

    def _start(self, name: str) -> None:
        process = self.processes.get(name)
        if process is None or process.seat is not None:
            return
        process.life += 1
        process.stopped, process.writing, process.write_due = False, None, False
        process.inbox, process.reads, process.waiting, process.tick_at = [], {}, set(), FOREVER
        stored = process.store.load()
        process.registers = Registers.load(stored.snapshot.data) if stored.snapshot else Registers()
        process.index = stored.snapshot.index if stored.snapshot else 0
        source = random.Random(self.source.random())
        process.seat = self.plan.make(name, stored, self.plan.timing, source, self._local(process))
        self._pump(process)

    def _crash(self, name: str) -> None:
        """Die at once: of a write that is under way all or nothing is kept, and any part of it was said."""
        process = self.processes[name]
        ready = process.writing
        if ready is not None and self.source.random() < 0.5:
            self._write(process, ready)
            for to, message in ready.messages:
                if self.source.random() < 0.3:
                    self._send(name, to, message)
        if process.seat is not None:
            self.result.dropped.update(process.seat.drop_counts)
        if self.plan.lying_disk and len(process.past) >= self.plan.lying_disk:
            process.store = InMemoryReplicaStore(process.past[-self.plan.lying_disk])
            process.past.clear()
        process.seat, process.writing, process.stopped = None, None, False

    def _on_start(self, name: str) -> None:
        self._start(name)

    def _on_wake(self, name: str, life: int) -> None:
        process = self.processes.get(name)
        if process is None or process.life != life or process.seat is None or not process.stopped:
            return
        process.stopped = False
        # What lay in its sockets, its timers and the end of its write come in any order.
        todo: list[tuple[Any, ...]] = [*process.inbox, ("tick",)]
        if process.write_due:
            todo.insert(self.source.randrange(len(todo) + 1), ("written",))
        process.inbox, process.write_due = [], False
        if self.source.random() < 0.5:
            todo.insert(0, todo.pop())
        for kind, *details in todo:
            if process.seat is None:
                return
            if kind == "written":
                self._finish(process)
            elif kind == "tick":
                process.seat.tick(self._local(process))
                self._pump(process)
            else:
                getattr(self, f"_on_{kind}")(*details)

    def _on_tick(self, name: str, life: int) -> None:
        process = self.processes.get(name)
        if process is None or process.life != life or process.seat is None or process.stopped:
            return
        process.tick_at = FOREVER
        process.seat.tick(self._local(process))
        self._pump(process)

    def _on_deliver(self, to: str, data: bytes) -> None:
        process = self.processes.get(to)
        if process is None or process.seat is None:
            return
        if process.stopped:
            if len(process.inbox) < 500:
                process.inbox.append(("deliver", to, data))
            return
        sender, _, message = m.decode(data, CLUSTER)
        process.seat.receive(self._local(process), sender, message)
        self._pump(process)

    def _on_written(self, name: str, life: int) -> None:
        process = self.processes.get(name)
        if process is None or process.life != life or process.writing is None:
            return
        if process.stopped:
            process.write_due = True
            return
        self._finish(process)

    def _finish(self, process: _Process) -> None:
        """A batch is kept: say it, apply it."""
        ready, process.writing = process.writing, None
        if ready is None:
            return
        self._write(process, ready)
        self._after_write(process, ready)
        self._pump(process)

    @staticmethod
    def _write(process: _Process, ready: Ready) -> None:
        process.past.append(process.store.load())
        process.store.write(ready)

    def _after_write(self, process: _Process, ready: Ready) -> None:
        seat = process.seat
        assert seat is not None
        for to, message in ready.messages:
            self._send(process.name, to, message)
        if ready.restore_snapshot:
            assert ready.snapshot is not None
            self.result.restores += 1
            process.registers, process.index = Registers.load(ready.snapshot.data), ready.snapshot.index
        for entry in ready.committed:
            self._apply(process, entry)
        for read in ready.confirmed_reads:
            client, request, key = process.reads.pop(int(read.token))
            if process.index < read.index:
                raise InvariantBrokenError(
                    f"{process.name} answers a read of {read.index} with {process.index} applied"
                )
            self._answer(client, request, process.registers.values.get(key), "")
        for token in ready.lost_reads:
            process.reads.pop(int(token), None)
        if len(seat.log.entries) > self.plan.compact_at and process.index == seat.applied:
            seat.compact(process.index, process.registers.dump())
        seat.advance(ready)

    def _apply(self, process: _Process, entry: LogEntry) -> None:
        if entry.index != process.index + 1:
            raise InvariantBrokenError(f"{process.name} applies {entry.index} after {process.index}")
        process.index = entry.index
        what = msgspec.msgpack.encode(entry)
        if self.applied.setdefault(entry.index, what) != what:
            was = self.applied[entry.index]
            raise InvariantBrokenError(f"entry {entry.index} is {what!r} at {process.name}, was {was!r}")
        if entry.kind != "command":
            return
        command = msgspec.msgpack.decode(entry.data, type=Command)
        answer = process.registers.apply(command)
        if (command.client, command.request) in process.waiting:
            process.waiting.discard((command.client, command.request))
            self._answer(command.client, command.request, answer, "")

    def _pump(self, process: _Process) -> None:
        """Carry a seat's batches as far as its disk lets it, and set its next tick."""
        seat = process.seat
        assert seat is not None
        if seat.role is Role.LEADER and self.led.setdefault(seat.term, process.name) != process.name:
            raise InvariantBrokenError(f"{process.name} and {self.led[seat.term]} lead term {seat.term}")
        while process.writing is None and seat.has_ready():
            ready = seat.ready()
            if ready.must_persist:
                process.writing = ready
                slow = self.slow_disk.get(process.name, 1.0)
                delay = self.source.expovariate(1.0) * self.plan.disk_ms * slow
                self._at(delay, "written", process.name, process.life)
            else:
                self._after_write(process, ready)
        due = seat.next_deadline_ms()
        if due < FOREVER:
            at = max(self.now, (due - process.origin) / process.rate) + 1e-6
            if at < process.tick_at or process.tick_at < self.now:
                process.tick_at = at
                self._at(at - self.now, "tick", process.name, process.life)

    def _send(self, sender: str, to: str, message: m.RaftMessage) -> None:
        self.result.messages += 1
        if (sender, to) in self.cut or self.source.random() < self.loss:
            return
        data = m.encode(CLUSTER, sender, to, message)
        for _ in range(2 if self.source.random() < self.repeat else 1):
            self._at(self.source.expovariate(1.0) * self.plan.net_ms * self.slow_net, "deliver", to, data)

    # Clients

    def _on_think(self, name: str) -> None:
        client, source = self.clients[name], self.source
        client.request += 1
        client.attempt = 0
        key = source.choice(KEYS)
        kind = source.choice(("read", "read", "write", "swap"))
        value = None if kind == "read" else f"{name}-{client.request}"
        expected = None
        if kind == "swap":  # from what somebody may have written last
            of_key = [one.value for one in self.history[-20:] if one.key == key and one.value]
            expected = source.choice(of_key) if of_key else None
        client.command = Command(name, client.request, kind, key, value, expected)
        client.called = self.now
        self._ask(client)

    def _ask(self, client: _Client) -> None:
        client.attempt += 1
        names = sorted(self.processes)
        to = client.guess if client.guess in self.processes else self.source.choice(names)
        self._at(self._client_delay(), "ask", to, client.name, client.command)
        patience = self.plan.timing.election_ms * 0.7
        self._at(patience, "patience", client.name, client.request, client.attempt)

    def _client_delay(self) -> float:
        return self.source.expovariate(1.0) * self.plan.net_ms * self.slow_net

    def _on_patience(self, name: str, request: int, attempt: int) -> None:
        client = self.clients[name]
        if client.command is not None and (client.request, client.attempt) == (request, attempt):
            client.guess = self.source.choice(sorted(self.processes))
            self._ask(client)

    def _on_retry(self, name: str, request: int, attempt: int) -> None:
        client = self.clients[name]
        if client.command is not None and (client.request, client.attempt) == (request, attempt):
            self._ask(client)

    def _on_ask(self, to: str, name: str, command: Command) -> None:
        process = self.processes.get(to)
        if process is None or process.seat is None:
            return
        if process.stopped:
            if len(process.inbox) < 500:
                process.inbox.append(("ask", to, name, command))
            return
        now = self._local(process)
        try:
            if command.kind != "read":
                process.seat.propose(now, msgspec.msgpack.encode(command))
                process.waiting.add((command.client, command.request))
            elif self.plan.stale_reads:
                self._answer(name, command.request, process.registers.values.get(command.key), "")
            else:
                self.tokens += 1
                process.seat.read_index(now, self.tokens)
                process.reads[self.tokens] = (name, command.request, command.key)
        except NotLeaderError as error:
            self._answer(name, command.request, None, error.leader_hint or "?")
        except ConsensusBusyError:
            pass
        self._pump(process)

    def _answer(self, name: str, request: int, answer: object, hint: str) -> None:
        self._at(self._client_delay(), "answer", name, request, answer, hint)

    def _on_answer(self, name: str, request: int, answer: object, hint: str) -> None:
        client = self.clients[name]
        command = client.command
        if command is None or client.request != request:
            return
        if hint:
            client.guess = hint if hint != "?" else self.source.choice(sorted(self.processes))
            self._at(self.plan.timing.election_ms * 0.05, "retry", name, request, client.attempt)
            return
        self.history.append(
            Operation(
                command.key,
                command.kind,
                client.called,
                self.now,
                command.value,
                command.expected,
                answer,
            )
        )
        if client.attempt == 1 and command.kind != "read":
            self.result.decide_ms.append(self.now - client.called)
        if self.faulty_until > self.now:
            self.windows.add(int(self.now / self.plan.timing.election_ms))
        client.command = None
        self._at(self.source.expovariate(1.0) * self.plan.think_ms, "think", name)

    # Faults

    def _leader(self) -> str:
        """Return the running leader of the highest term, or any seat."""
        leaders = [
            (process.seat.term, name)
            for name, process in sorted(self.processes.items())
            if process.seat is not None and process.seat.role is Role.LEADER and not process.stopped
        ]
        return max(leaders)[1] if leaders else self.source.choice(sorted(self.processes))

    def _on_fault(self, left: int) -> None:
        if left == 0:
            self.faulty_until = self.now
            return
        election = self.plan.timing.election_ms
        kind = self.source.choice(self.plan.kinds)
        name = self._leader() if "leader" in kind else self.source.choice(sorted(self.processes))
        lasts = self.source.uniform(*self.plan.lasts) * election
        self.result.faults[kind] += 1
        names = sorted(self.processes)
        match kind:
            case "crash" | "crash the leader":
                self._crash(name)
                self._at(lasts, "start", name)
            case "crash in a write":
                writing = [one for one in names if self.processes[one].writing is not None]
                name = self.source.choice(writing or names)
                self._crash(name)
                self._at(self.source.uniform(0, 0.5) * lasts, "start", name)
            case "stop" | "stop the leader":
                process = self.processes[name]
                if process.seat is not None and not process.stopped:
                    process.stopped = True
                    self._at(max(lasts, 2.2 * election), "wake", name, process.life)
            case "halves":
                side = set(self.source.sample(names, len(names) // 2))
                self._cut(lasts, {(a, b) for a in names for b in names if (a in side) != (b in side)})
            case "one way":
                self._cut(lasts, {(a, name) for a in names if self.source.random() < 0.7})
            case "ring":  # each hears only the one before it
                ring = self.source.sample(names, len(names))
                heard = {(ring[number - 1], one) for number, one in enumerate(ring)}
                self._cut(lasts, {(a, b) for a in names for b in names} - heard)
            case "alone":
                self._cut(lasts, {(a, b) for a in names for b in names if name in (a, b)})
            case "loss":
                self.loss = self.source.uniform(0.05, 0.5)
                self._at(lasts, "calm", "loss", 0.0)
            case "slow net":
                self.slow_net = self.source.uniform(5, 60)
                self._at(lasts, "calm", "slow_net", 1.0)
            case "repeats":
                self.repeat = self.source.uniform(0.1, 0.6)
                self._at(lasts, "calm", "repeat", 0.0)
            case "slow disk":
                self.slow_disk[name] = self.source.uniform(20, 300)
                self._at(lasts, "fast", name)
            case "all at once":
                for one in names:
                    self._crash(one)
                    self._at(self.source.uniform(0, 0.5) * election, "start", one)
            case "lost store":
                self._lose_store(name)
            case "transfer":
                process = self.processes[self._leader()]
                if process.seat is not None and not process.stopped:
                    try:
                        process.seat.transfer_leadership(self._local(process), self.source.choice(names))
                    except (NotLeaderError, MembershipChangeRefusedError):
                        pass
                    self._pump(process)
        self._at((self.plan.rest + self.source.expovariate(1.0) * 1.5) * election, "fault", left - 1)

    def _cut(self, lasts: float, links: set[tuple[str, str]]) -> None:
        self.cut |= links
        self._at(lasts, "join", links)

    def _on_join(self, links: set[tuple[str, str]]) -> None:
        self.cut -= links

    def _on_calm(self, what: str, value: float) -> None:
        setattr(self, what, value)

    def _on_fast(self, name: str) -> None:
        self.slow_disk.pop(name, None)

    def _lose_store(self, name: str) -> None:
        """A store is gone for good: its seat comes back under a new name; one at a time, as operators do."""
        if self.replacing is not None:
            return
        self._crash(name)
        del self.processes[name]
        new = f"s{self.next_name}"
        self.next_name += 1
        self._process(new, StoredState())
        self.replacing = (name, new, self.source.random() < 0.5)
        self._at(10.0, "operate")

    def _on_operate(self) -> None:
        assert self.replacing is not None
        old, new, old_first = self.replacing
        process = self.processes.get(self._leader())
        done = False
        if process is not None and process.seat is not None and not process.stopped:
            seat = process.seat
            try:
                if seat.role is Role.LEADER and seat.log.voters_index <= seat.commit:
                    done = old not in seat.voters and new in seat.voters
                    if old in seat.voters and (old_first or new in seat.voters):
                        seat.change_voters(self._local(process), remove=old)
                    elif new not in seat.voters:
                        seat.change_voters(self._local(process), add=new)
            except (NotLeaderError, MembershipChangeRefusedError):
                pass
            self._pump(process)
        if done:
            self.replacing = None
        else:
            self._at(self.plan.timing.election_ms * 0.3, "operate")

    def _heal_all(self) -> None:
        self.cut.clear()
        self.slow_disk.clear()
        self.loss = self.repeat = 0.0
        self.slow_net = 1.0
        for name, process in sorted(self.processes.items()):
            if process.stopped:
                self._on_wake(name, process.life)
            self._start(name)

    # Judgement

    def _settled(self, wanted: int) -> bool:
        return len(self.history) >= wanted and self.replacing is None

    def _states(self) -> str:
        return "; ".join(
            f"{name} {process.seat.role.value} term {process.seat.term} commit {process.seat.commit} "
            f"of {process.seat.log.last_index} seats {process.seat.voters}"
            for name, process in sorted(self.processes.items())
            if process.seat is not None
        )

    def _judge_end(self) -> None:
        """All that was ever applied anywhere is in what the leader has; histories are linearizable."""
        leader = self.processes[self._leader()]
        if leader.index < max(self.applied):
            raise InvariantBrokenError(
                f"{leader.name} leads with {leader.index} applied, {max(self.applied)} was"
            )
        if sorted(self.applied) != list(range(1, len(self.applied) + 1)):
            raise InvariantBrokenError("an index was left out")
        pending = [
            Operation(
                one.command.key,
                one.command.kind,
                one.called,
                FOREVER,
                one.command.value,
                one.command.expected,
            )
            for one in self.clients.values()
            if one.command is not None
        ]
        self.result.unanswered = len(pending)
        self.result.verdicts = judge([*self.history, *pending])
        verdicts = self.result.verdicts.items()
        wrong = {key: one.value for key, one in verdicts if one is not Verdict.LINEARIZABLE}
        if wrong:
            raise InvariantBrokenError(f"histories: {wrong}")

    def _count(self) -> None:
        result, election = self.result, self.plan.timing.election_ms
        result.simulated_ms, result.leaders = self.now, len(self.led)
        result.committed, result.operations = len(self.applied), len(self.history)
        until = min(self.faulty_until, self.now)
        result.led_share = self.led_ms / until if until else 0.0
        result.served_share = len(self.windows) / max(1, int(until / election))
        for process in self.processes.values():
            if process.seat is not None:
                result.dropped.update(process.seat.drop_counts)


def simulate(plan: Plan) -> Result:
    """Run one plan."""
    return CouncilSim(plan).run()
