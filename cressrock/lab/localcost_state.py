"""What the other state machines of a process hold and take by size, fed directly: no sockets, no clock.

Ledger, memory of keys, lent limits, a planner's grants, decrees at a seat and at their readers, the council's
log and its store, sets of copies, members of a room.  `held_bytes` is Python's; a store's file is the disk's.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from cressrock.consensus import decisions as d
from cressrock.consensus.decision_gossip import DecisionPublisher, DecisionSubscriber
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.raft.log import RaftLog
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import HardState, Snapshot
from cressrock.consensus.store import ReplicaStore
from cressrock.dispatch.idempotency import IdempotencyKeys
from cressrock.dispatch.ledger import Attempt, Ledger
from cressrock.dispatch.quota import EdgeQuota
from cressrock.interface import ListKind, Node, NodeList, Outcome, Plan, RequestClass, Settings
from cressrock.lab.localcost import EDGE, PLANNER, SEAT, Figure, cpu_ms, held_bytes, lines
from cressrock.link import messages as link
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.presence.messages import Origin
from cressrock.presence.rooms import Rooms
from cressrock.presence.settings import RoomSettings
from cressrock.replication import in_sync_set, transitions
from cressrock.scheduler.scheduler import Scheduler

CLASS = RequestClass(1000.0, 5000.0)
PLAN = Plan(limit_rate=60.0, limit_burst=60.0, limit_slack=8.0)
ROUNDS = 200
KEY_NODE = Node("s0", 0)
FOUNDED_MS = 1_700_000_000_000  # numbers of decrees begin at the wall clock's milliseconds
MOST = 1 << 20  # a bound of the state that is put aside to see the slope past it


def _each(work: Callable[[int], Any], rounds: int = ROUNDS, begin: int = 0) -> float:
    """Return the processor time of one of many rounds, in microseconds; no round has another's number."""
    at = begin

    def run() -> None:
        nonlocal at
        for _ in range(rounds):
            work(at)
            at += 1

    return cpu_ms(run) * 1000 / rounds


# --- edge: ledger, keys, limits


def _ledger(n: int) -> Ledger:
    ledger = Ledger(drain_grace_ms=250.0, answer_slack_ms=50.0, max_open=MOST)
    ledger.update_nodes([Node("s0", 0)], 0.0, complete=True)
    for index in range(n):
        ledger.accept(f"o{index}", "x", CLASS, 5000.0 + index, 0.0)
        ledger.send(f"o{index}", "s0", 0.0)
    return ledger


def ledger_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure one operation, from taken to answered, while n others are open."""
    ledger = _ledger(n)

    def one(index: int) -> None:
        name = f"n{index}"
        ledger.accept(name, "x", CLASS, 4000.0, 0.0)
        ledger.send(name, "s0", 0.0)
        ledger.record_outcome(name, 0, Outcome.OK)
        ledger.next_overdue_ms()

    yield Figure("ledger.operation.cpu_us", _each(one), "us")
    yield Figure("ledger.held_bytes", held_bytes(lambda: _ledger(n))[0], "bytes")


def _send_with_key(keys: IdempotencyKeys, key: str, now_ms: float) -> None:
    """Accept an operation, send it and end it."""
    keys.open(key, now_ms)
    keys.record_sent(key, Attempt(0, KEY_NODE, now_ms))
    keys.close(key)


def _keys(n: int) -> IdempotencyKeys:
    keys = IdempotencyKeys(keep_ms=60000.0, max_keys=MOST)
    for index in range(n):
        _send_with_key(keys, f"{index:016x}", index / 1000)
    return keys


def keys_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure an edge's memory of n clients' keys, and one key more."""
    keys = _keys(n)

    def one(index: int) -> None:
        keys.first_run(f"{index:016x}", 200.0)
        _send_with_key(keys, f"{index:016x}", 200.0)

    yield Figure("keys.operation.cpu_us", _each(one, begin=n), "us", EDGE)
    yield Figure("keys.held_bytes", held_bytes(lambda: _keys(n))[0], "bytes", EDGE)


def _lending(n: int) -> EdgeQuota:
    lending = EdgeQuota((PLAN,), lambda volume: 8, 2000.0, 0.0)
    for index in range(n):
        lending.lease(f"v{index}", 0, 1.0, 1000.0)
    return lending


def lending_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure an edge's parts of n volumes' limits: one loan, its sending and its end."""
    lending = _lending(n)

    def one(index: int) -> None:
        volume, now = f"v{index % n}", 2000.0 + index
        lending.lease(volume, 0, 1.0, now)
        lending.record_sent(volume, 0, 1.0, now)
        lending.record_outcome(volume, 0, 1.0, now)

    yield Figure("lending.operation.cpu_us", _each(one), "us", EDGE)
    yield Figure("lending.held_bytes", held_bytes(lambda: _lending(n))[0], "bytes", EDGE)


# --- planner


class GrantingPlanner:
    """A planner with n edges, of which one asks."""

    def __init__(self, n: int, seed: int) -> None:
        """Start with 64 storage servers and every edge joined."""
        settings = Settings(classes=(CLASS,), plans=(Plan(),), hosts=6, max_attempts=3)
        brain = Scheduler(settings, seed, 0.0)
        self.planner = Planner(brain, settings.classes, 1, PlannerLimits(max_edges=MOST))
        self.sessions = [self.planner.join(f"d{index}", "life") or 0 for index in range(n)]
        nodes = tuple(Node(f"s{index}", index) for index in range(64))
        self.planner.receive_node_list(NodeList(ListKind.COMPLETE, nodes))
        self.now, self.sequence = 1.0, 0
        self.planner.step(self.now)

    def one(self, index: int) -> None:
        """Take a request of an edge, grant it, and take its end: two steps."""
        self.now += 0.5
        edge = index % len(self.sessions)
        name, session = f"d{edge}", self.sessions[edge]
        self.sequence += 1
        volume, until = f"v{index % 200}", self.now + 5000
        asked = link.Request(
            self.sequence, self.now, f"o{index}", volume, "k", 2.0, until, 0, 0, index % 64, 6
        )
        self.planner.receive_event(name, session, asked, self.now)
        orders = self.planner.step(self.now).orders
        assert orders, "no grant"
        self.sequence += 1
        self.now += 4.0
        ended = link.AttemptEnded(self.sequence, self.now, f"o{index}", 0, "ok", True, 4.0)
        self.planner.receive_event(name, session, ended, self.now)
        self.planner.step(self.now)


def grants_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure a planner's grant, from the request to its end, with n edges joined."""
    granting = GrantingPlanner(n, seed)
    yield Figure("grants.operation.cpu_us", _each(granting.one), "us", PLANNER)
    steps = lines(lambda: granting.one(10**6))
    yield Figure("grants.operation.steps", steps, "lines", PLANNER)
    yield Figure("grants.held_bytes", held_bytes(lambda: GrantingPlanner(n, seed))[0], "bytes", PLANNER)


# --- council: decrees at a seat and at their readers


def set_of(index: int) -> bytes:
    """Return the set of a shard's three copies, as a decree's value."""
    sync = transitions.initial_set("z0", {f"z{zone}": f"life-{index:08x}-{zone}" for zone in range(3)})
    return in_sync_set.encode_set(transitions.begin_joining(sync, "z1", f"life-{index:08x}-1"))


def _decide(index: int, applied: int) -> bytes:
    return d.encode(
        d.Decide(
            in_sync_set.set_topic("v", index), set_of(index), 10000.0, "p0", f"r{index}.{applied}", applied
        )
    )


def _decrees(n: int) -> DecisionState:
    """Return a seat's state with n sets of copies decided; bounds are put aside."""
    state = DecisionState()
    limits = d.DecisionLimits(max_topics=MOST, max_total_bytes=1 << 26)
    state.apply(1, d.encode(d.SetVersionBase(FOUNDED_MS, limits)))
    for index in range(n):
        state.apply(state.applied + 1, _decide(index, state.applied))
    return state


def seat_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure a seat that holds n decrees: one more decision, a snapshot, what it tells at a renewal."""
    state = _decrees(n)

    def one(index: int) -> None:
        state.apply(state.applied + 1, _decide(index % n, state.applied))

    yield Figure("decrees.value_bytes", len(set_of(1)), "bytes", SEAT)
    yield Figure("decrees.apply.cpu_us", _each(one), "us", SEAT)
    yield Figure("decrees.seat.held_bytes", held_bytes(lambda: _decrees(n))[0], "bytes", SEAT)
    yield Figure("decrees.snapshot.bytes", len(state.snapshot()), "bytes", SEAT)
    yield Figure("decrees.snapshot.cpu_ms", cpu_ms(state.snapshot), "ms", SEAT)
    teller = DecisionPublisher(1024)
    standing = state.all_decisions()
    first = teller.publish(standing, 1)
    again = teller.publish(standing, 2)
    yield Figure("decrees.told_once.bytes", _size(first), "bytes", SEAT)
    yield Figure("decrees.renewal.bytes", _size(again), "bytes", SEAT)
    yield Figure(
        "decrees.renewal.cpu_ms", cpu_ms(lambda: teller.publish(state.all_decisions(), 3)), "ms", SEAT
    )


def _size(changes: list[Any]) -> int:
    return sum(len(change.key) + len(change.value or b"") for change in changes)


def _reader(n: int) -> tuple[DecisionReader, DecisionSubscriber, DecisionPublisher, tuple[d.Decision, ...]]:
    standing = _decrees(n).all_decisions()
    reader, taker, teller = (
        DecisionReader(max_topics=MOST),
        DecisionSubscriber(MOST),
        DecisionPublisher(1024),
    )
    for change in teller.publish(standing, 1):
        for decree in taker.receive_entry(change.key, change.value or b"")[0]:
            reader.receive(decree, 1.0)
    return reader, taker, teller, standing


def reader_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure a process that reads n decrees: a renewal of all, a change of one, what it keeps."""
    reader, taker, teller, standing = _reader(n)
    beat = 1

    def renew() -> None:
        nonlocal beat
        beat += 1
        for change in teller.publish(standing, beat):
            for decree in taker.receive_entry(change.key, change.value or b"")[0]:
                reader.receive(decree, float(beat))

    taken = cpu_ms(renew)
    yield Figure("decrees.reader.renewal.cpu_ms", taken, "ms", EDGE)
    number = max(decree.version for decree in standing)

    def one(index: int) -> None:
        decree = d.Decision(standing[0].topic, number + 1 + index, standing[0].value, 10000.0, "p0", beat)
        for found in taker.receive_entry(d.gossip_key(decree.topic), d.encode(decree))[0]:
            reader.receive(found, float(beat))

    yield Figure("decrees.reader.change.cpu_us", _each(one), "us", EDGE)
    yield Figure(
        "decrees.reader.next_end.cpu_us", _each(lambda index: reader.next_expiry_ms(1.0), 20), "us", EDGE
    )
    yield Figure("decrees.reader.seen_bytes", len(reader.to_bytes()), "bytes", EDGE)
    held = held_bytes(lambda: _reader(n)[:2])[0]
    yield Figure("decrees.reader.held_bytes", held, "bytes", EDGE)


def change_of_decree_steps(n: int) -> int:
    """Count the lines that a change of one decree runs at a reader of n."""
    reader, taker, _, standing = _reader(n)
    decree = d.Decision(standing[0].topic, FOUNDED_MS * 2, standing[0].value, 10000.0, "p0", 2)

    def one() -> None:
        for found in taker.receive_entry(d.gossip_key(decree.topic), d.encode(decree))[0]:
            reader.receive(found, 2.0)

    return lines(one)


def log_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure the council's log with n entries of 200 bytes: one more in memory, and one more on disk."""

    def entry(index: int) -> LogEntry:
        return LogEntry(1, index, "command", bytes(200))

    def whole() -> RaftLog:
        return RaftLog(None, tuple(entry(index) for index in range(1, n + 1)))

    log = whole()
    yield Figure("log.append.cpu_us", _each(lambda index: log.append(entry(log.last_index + 1))), "us", SEAT)
    yield Figure("log.held_bytes", held_bytes(whole)[0], "bytes", SEAT)
    with tempfile.TemporaryDirectory() as folder:
        store = ReplicaStore(Path(folder) / "seat", cluster="c", replica="p0")
        store.write(HardState(1, "", 0, 1), None, tuple(entry(index) for index in range(1, n + 1)))
        last = n

        def write(index: int) -> None:
            nonlocal last
            last += 1
            store.write(None, None, (entry(last),))

        yield Figure("log.store.write.cpu_us", _each(write, 20), "us", SEAT)
        yield Figure("log.store.bytes", store.size(), "bytes", SEAT)
        yield Figure("log.store.load.cpu_ms", cpu_ms(store.load), "ms", SEAT)
        snapshot = Snapshot(last, 1, ("p0",), bytes(1000))
        yield Figure(
            "log.store.snapshot.cpu_ms", cpu_ms(lambda: store.write(None, snapshot, ()), 1), "ms", SEAT
        )
        store.close()


# --- presence


def _room(n: int) -> Rooms:
    rooms = Rooms(Origin("d0", 1), RoomSettings(max_members=MOST, max_room=MOST), b"key")
    for _ in range(n):
        rooms.join(0.0, "room", b"d" * 32)
    return rooms


def room_probe(n: int, seed: int) -> Iterator[Figure]:
    """Measure a gateway's room with n members of its own: one that comes and goes, and what is held."""
    rooms = _room(n)

    def one(index: int) -> None:
        session = rooms.join(1.0, "room", b"d" * 32)
        rooms.touch(1.0, session, b"e" * 32)
        rooms.leave(1.0, session)

    yield Figure("presence.operation.cpu_us", _each(one), "us", EDGE)
    yield Figure("presence.held_bytes", held_bytes(lambda: _room(n))[0], "bytes", EDGE)
