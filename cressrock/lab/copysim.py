"""Random schedules over the real pure machines of copies and the real racks: who breaks linearizability?

A few edges, racks, a council that is a register with compare-and-set, a planner that moves the first copy
and brings copies back.  Every message, decree and answer arrives when a seeded draw says, may be lost, and
edges learn of decrees late and out of order.  The judge sees the histories of clients alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

from cressrock.errors.replication import OnlyReplicaError, TransitionNotAllowedError
from cressrock.lab.copystore import CopyStore
from cressrock.lab.histories import Operation, Verdict, judge
from cressrock.lab.rack import Done, Rack, Task
from cressrock.replication import transitions
from cressrock.replication.headers import Rejection
from cressrock.replication.in_sync_set import InSyncSet, Replica, ReplicaState
from cressrock.replication.operations import (
    Disposition,
    EvictReplicas,
    FetchRecord,
    MarkCommitted,
    OperationKind,
    OperationOutcome,
    PerformOperations,
    RefreshSet,
    ReplicaOperation,
    ReplicaResult,
    SafetyRules,
)
from cressrock.replication.read import read_replicated
from cressrock.replication.records import Record, decode_page, parse_version
from cressrock.replication.repair import InspectStore, ListMissing, ProposeSet, RepairReport, repair_replica
from cressrock.replication.write import write_replicated
from cressrock.webdav.paths import parse


class Text:
    """A payload in memory."""

    is_complete = True

    def __init__(self, value: str) -> None:
        """Hold a client's value."""
        self.value = value

    @property
    def length(self) -> int:
        """Bytes in all."""
        return len(self.value)

    async def read_chunk(self, offset: int) -> bytes:
        """Return the bytes from an offset."""
        return self.value.encode()[offset:]


@dataclass(frozen=True, slots=True)
class Plan:
    """A run.  The booleans are fences; each one off is a seeded defect."""

    zones: tuple[str, ...] = ("a", "b", "c")
    edges: int = 2
    clients: int = 4
    operations: int = 14
    paths: tuple[str, ...] = ("/v/x",)
    faults: int = 4
    lost: float = 0.05
    decree_first: bool = True
    settle: bool = True
    epoch_fence: bool = True
    store_fence: bool = True
    last_pass: bool = True
    deletes: float = 0.2
    kinds: tuple[str, ...] = ("down", "down", "cut", "restored")
    stale: float = 0.0  # chance that an edge is told of a decree very late


@dataclass(slots=True)
class Run:
    """What came of a run."""

    verdicts: dict[str, Verdict]
    history: list[Operation]
    states: dict[str, dict[str, object]]
    sync: InSyncSet
    counts: dict[str, int] = field(default_factory=dict)

    @property
    def well(self) -> bool:
        """Whether the history is linearizable and the copies that are in end the same."""
        same = len({repr(sorted(s.items())) for s in self.states.values()}) <= 1
        return same and all(v is Verdict.LINEARIZABLE for v in self.verdicts.values())


class _Unfenced(CopyStore):
    fenced = False


class Sim:
    """One seeded run; `play` it."""

    def __init__(self, seed: int, plan: Plan) -> None:
        """Found the set with all copies empty and in."""
        self.random = random.Random(seed)
        self.plan = plan
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.racks: dict[str, Rack] = {}
        for index, zone in enumerate(plan.zones):
            self.racks[zone] = self._rack(index, f"{zone}0")
        self.down: set[str] = set()
        lives = {z: r.copies.life for z, r in self.racks.items()}
        copies = tuple(Replica(z, ReplicaState.IN_SYNC, lives[z]) for z in plan.zones)
        self.sync = InSyncSet(1, plan.zones[0], copies)
        self.known = [self.sync] * plan.edges
        self.cut: set[tuple[int, str]] = set()  # (edge, zone): cannot reach
        self.history: list[Operation] = []
        self.counts: dict[str, int] = {}
        self.out_at: dict[str, float] = {}  # when a zone's copy was put out
        self.behind: dict[int, tuple[Done, float]] = {}
        self.present: dict[str, Rack] = {}  # disks that were replaced by older ones
        self.mended = False
        self.open = 0
        self.troubles = plan.faults  # that are not over

    def _rack(self, index: int, life: str) -> Rack:
        rack = Rack(index, window_ms=0.0, life=life)
        if not self.plan.epoch_fence:
            rack.copies = _Unfenced(rack, life)
        return rack

    def _say(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def at(self, delay: float, act: Callable[[], None]) -> None:
        """Let something happen later."""
        self.count += 1
        self.queue.append((self.now + delay, self.count, act))

    def some(self, most: float = 10.0) -> float:
        """Draw a delay; now and then a long one."""
        draw = self.random
        return draw.uniform(0.1, most) * (8 if draw.random() < 0.1 else 1)

    # --- the council

    def decide(self, old: InSyncSet, new: InSyncSet) -> bool:
        """Compare and set; every edge is told of the new set some time later."""
        if self.sync != old:
            return False
        self.sync = new
        for zone in set(old.read_zones) - set(new.read_zones):
            self.out_at[zone] = self.now
        self._say("decrees")
        for edge in range(self.plan.edges):
            late = 300.0 if self.random.random() < self.plan.stale else 1.0
            self.at(self.some(60.0) * late, lambda edge=edge, new=new: self.learn(edge, new))  # type: ignore[misc]
        return True

    def learn(self, edge: int, sync: InSyncSet) -> None:
        """Take a decree that is newer than what is known."""
        if sync.epoch > self.known[edge].epoch:
            self.known[edge] = sync

    # --- nodes

    def do(
        self,
        who: int,
        op: ReplicaOperation,
        path: str,
        method: str,
        then: Callable[[ReplicaResult], None],
    ) -> None:
        """Send one operation; it may be lost on its way there, or its answer on its way back."""
        draw = self.random
        answered = [False]

        def answer(got: ReplicaResult) -> None:
            if not answered[0]:
                answered[0] = True
                then(got)

        def arrive() -> None:
            if op.zone in self.down or (who, op.zone) in self.cut:
                self.at(self.some(), lambda: answer(ReplicaResult(unreachable=True)))
                return
            got = self.execute(op, path, method)
            if not self.mended and draw.random() < self.plan.lost:
                return
            self.at(self.some(), lambda: answer(got))

        if not self.mended and draw.random() < self.plan.lost:
            arrive_late = draw.random() < 0.3  # held up beyond the patience of its sender
            if arrive_late:
                self.at(self.some() + 200.0, arrive)
        else:
            self.at(self.some(), arrive)
        self.at(150.0, lambda: answer(ReplicaResult(may_have_run=True)))

    def execute(self, op: ReplicaOperation, path: str, method: str) -> ReplicaResult:
        """Run an operation at the rack, by the headers of docs/copies.md."""
        record = op.record
        life = op.store_id if self.plan.store_fence else ""
        headers = {"x-cressrock-epoch": str(op.epoch), "x-cressrock-copy": f"{op.role};{life}"}
        body: Any = None
        if op.kind is OperationKind.APPLY:
            assert record is not None
            path = record.path
            method = {"file": "PUT", "collection": "MKCOL"}.get(record.kind, "DELETE")
            headers["x-cressrock-version"] = str(record.version)
            headers["x-cressrock-cleared"] = str(record.cleared_version)
            if record.committed:
                headers["x-cressrock-sure"] = str(record.version)
            body = op.payload
        elif op.kind is OperationKind.INSPECT:
            method, path = "HEAD", record.path if record is not None else "/v"
        elif method == "PUT":
            body = op.payload
        done = self.racks[op.zone].execute(Task(method, parse(path), headers, body, b"", self.now))
        if op.zone not in self.sync.read_zones and op.zone in self.out_at:
            self.behind[id(done)] = (done, self.out_at[op.zone])
        return got_of(done, path)

    # --- machines

    def run(
        self, edge: int, steps: Generator[Any, Any, Any], path: str, method: str, then: Callable[[Any], None]
    ) -> None:
        """Carry a machine to its end."""

        def go(value: Any) -> None:
            try:
                asked = steps.send(value)
            except StopIteration as stop:
                then(stop.value)
                return
            self.ask(edge, asked, path, method, go)

        go(None)

    def ask(self, edge: int, asked: Any, path: str, method: str, go: Callable[[Any], None]) -> None:
        """Do what a machine asks for."""
        match asked:
            case PerformOperations(ops):
                gots: list[ReplicaResult | None] = [None] * len(ops)

                def one(index: int, got: ReplicaResult) -> None:
                    gots[index] = got
                    if all(g is not None for g in gots):
                        go(list(gots))

                for index, op in enumerate(ops):
                    self.do(edge, op, path, method, lambda got, i=index: one(i, got))  # type: ignore[misc]
            case FetchRecord(op):
                assert op.record is not None

                def fetched(got: ReplicaResult) -> None:
                    if got.reply is None or got.reply.status != 200 or got.record is None:
                        go(None)
                    else:
                        go((got.record, got.reply.payload[0].body))

                self.do(edge, op, op.record.path, "GET", fetched)
            case EvictReplicas(zones, old):
                self.at(self.some(20.0), lambda: go(self.put_out(edge, zones, old)))
            case RefreshSet(epoch):

                def refresh() -> None:
                    if self.sync.epoch > self.known[edge].epoch and self.random.random() < 0.8:
                        self.learn(edge, self.sync)
                    found = self.known[edge]
                    go(found if found.epoch >= epoch else None)

                self.at(self.some(20.0), refresh)
            case MarkCommitted(_, at):
                for rack in self.racks.values():
                    if self.random.random() < 0.5:
                        fence = rack.copies.fences.get("v")
                        # As told along with an operation under the edge's set, where that is let through.
                        if fence is not None and asked.in_sync_set.epoch >= fence.epoch:
                            copy = asked.in_sync_set.replica(self._zone(rack))
                            if copy is not None and copy.store_id == rack.copies.life:
                                rack.copies._sure(fence, at, asked.in_sync_set.epoch)
                go(None)
            case InspectStore(op):

                def look() -> None:
                    lost = op.zone in self.down
                    go(None if lost else self.racks[op.zone].copies.life)

                self.at(self.some(), look)
            case ListMissing(op, since, after):

                def listed() -> None:
                    if op.zone in self.down:
                        go(None)
                        return
                    headers = {
                        "x-cressrock-epoch": str(op.epoch),
                        "x-cressrock-copy": f"{op.role};{op.store_id}",
                        "x-cressrock-owed": str(since),
                        "x-cressrock-after": after.encode().hex(),
                    }
                    done = self.racks[op.zone].execute(Task("GET", parse("/v"), headers, None, b"", 0.0))
                    go(decode_page(done.content) if done.status == 200 else None)

                self.at(self.some(), listed)
            case ProposeSet(old, new):
                self.at(self.some(20.0), lambda: go(self.decide(old, new)))

    def _zone(self, rack: Rack) -> str:
        return next(z for z, r in self.racks.items() if r is rack)

    def put_out(self, edge: int, zones: tuple[str, ...], old: InSyncSet) -> InSyncSet | None:
        """Propose the set without these; answer what stands."""
        try:
            new = old
            for zone in zones:
                new = transitions.evict(new, zone)
        except TransitionNotAllowedError:
            new = old
        if self.decide(old, new) and new is not old:
            self._say("put out")
        self.learn(edge, self.sync)
        return self.known[edge] if self.known[edge].epoch > old.epoch else None

    # --- clients

    def client(self, number: int, left: int) -> None:
        """One client: operations one after another at drawn edges."""
        if left == 0:
            self.open -= 1
            return
        draw = self.random
        edge, path = draw.randrange(self.plan.edges), draw.choice(self.plan.paths)
        called = self.now
        value = f"{number}.{left}"
        kind = "read" if draw.random() < 0.5 else "write"
        gone = kind == "write" and draw.random() < self.plan.deletes
        rules = SafetyRules(self.plan.decree_first, self.plan.settle)

        def over(outcome: OperationOutcome) -> None:
            self._say(f"{kind} {outcome.disposition.value}")
            done = outcome.disposition is Disposition.ANSWER
            status = outcome.result.reply.status if done and outcome.result is not None else 0
            if kind == "read":
                if status in (200, 404):
                    assert outcome.result is not None
                    payload = outcome.result.reply.payload
                    found = payload[0].body.value if payload is not None else None
                    # Read at a copy that had been put out, by an edge that had not heard of it: bounded
                    # staleness, what it tells was current at some moment since then.
                    put_out = self.behind.get(id(outcome.result.reply), (None, called))[1]
                    self.counts["stale"] = self.counts.get("stale", 0) + (put_out < called)
                    self.note(path, "read", min(called, put_out), result=found)
            elif gone and status == 404:
                assert outcome.result is not None
                since = self.behind.get(id(outcome.result.reply), (None, called))[1]
                self.note(path, "read", min(called, since), result=None)
            elif outcome.disposition is not Disposition.REJECTED:
                known = status in (201, 204)
                self.history.append(
                    Operation(
                        path, "write", called, self.now if known else float("inf"), None if gone else value
                    )
                )
            self.at(self.some(30.0), lambda: self.client(number, left - 1))

        sync = self.known[edge]
        if kind == "read":
            order = list(sync.read_zones)
            draw.shuffle(order)
            self.run(edge, read_replicated(sync, order, rules=rules), path, "GET", over)
        else:
            method = "DELETE" if gone else "PUT"
            body = None if gone else Text(value)
            self.run(edge, write_replicated(sync, body, rules), path, method, over)

    def note(self, key: str, kind: str, called: float, result: object) -> None:
        """Enter a read."""
        self.history.append(Operation(key, kind, called, self.now, result=result))

    # --- faults and the planner

    def fault(self) -> None:
        """Something goes wrong, and is over some time later."""
        draw = self.random
        zone = draw.choice(self.plan.zones)
        kind = draw.choice(self.plan.kinds)
        self._say(kind)
        length = self.some(300.0)
        if zone in self.down:
            self.troubles -= 1
            return
        if kind == "down":
            self.down.add(zone)
            self.at(length, lambda: self.up(zone))
        elif kind == "cut":
            pair = (draw.randrange(self.plan.edges), zone)
            self.cut.add(pair)
            self.at(length, lambda: self.joined(pair))
        else:
            # The store is put back as it was some time ago: an older disk, under a life of its own.
            older = self.snapshot(zone)
            taken = self.now
            down = self.some(150.0)
            self.at(down, lambda: self.down.add(zone))
            length += down

            def back() -> None:
                self.up(zone)
                if self.sync.read_zones == (zone,):
                    self._say("only copy kept")  # the operator's case: it comes back as it was
                    return
                self.present[zone] = self.racks[zone]
                older.copies.life = f"{zone}-{taken:.3f}"
                self.racks[zone] = older

            self.at(length, back)

    def up(self, zone: str) -> None:
        """A zone's node is back."""
        self.troubles -= 1
        self.down.discard(zone)

    def joined(self, pair: tuple[int, str]) -> None:
        """A cut has healed."""
        self.troubles -= 1
        self.cut.discard(pair)

    def snapshot(self, zone: str) -> Rack:
        """Copy a rack as it is."""
        found = self.racks[zone].snapshot(self.racks[zone].copies.life)
        if not self.plan.epoch_fence:
            unfenced = _Unfenced(found, found.copies.life)
            unfenced.take_from(found.copies)
            found.copies = unfenced
        return found

    def planner(self) -> None:
        """Move the first copy where it is lost, bring back what is owed; one thing at a time."""
        sync = self.sync

        def again(report: RepairReport | None = None) -> None:
            if report is not None and report.rejoined:
                self._say("back")
            self.at(self.some(40.0), self.planner)

        well = all(
            c.state is ReplicaState.IN_SYNC and c.store_id == self.racks[c.zone].copies.life
            for c in sync.replicas
        )
        if not self.open and not self.troubles and well:
            return
        first = self.racks[sync.primary].copies.life
        known = sync.replica(sync.primary)
        lost = sync.primary in self.down or (
            self.plan.store_fence and known is not None and known.store_id != first
        )
        if lost:
            try:
                if self.decide(sync, transitions.replace_primary(sync, sync.primary)):
                    self._say("moved")
            except OnlyReplicaError:
                self._say("only copy")
                if sync.primary in self.present and sync.primary not in self.down:
                    # The operator's way without a loss: the disk as it was is found again.
                    self.racks[sync.primary] = self.present.pop(sync.primary)
            again()
            return
        for copy in sync.replicas:
            there = self.racks[copy.zone].copies.life
            if (
                copy.state is not ReplicaState.OUT_OF_SYNC
                and copy.store_id != there
                and self.plan.store_fence
            ):
                self.decide(sync, transitions.evict(sync, copy.zone))
                again()
                return
            if copy.state is not ReplicaState.IN_SYNC and copy.zone not in self.down:
                plan = repair_replica(sync, copy.zone, skip_last_pass=not self.plan.last_pass)
                self.run(-1, plan, "/v", "GET", again)
                return
        again()

    def play(self) -> Run:
        """Run to the end: all clients done, all copies back, then each copy is read."""
        draw, plan = self.random, self.plan
        self.open = plan.clients
        for number in range(plan.clients):
            self.at(self.some(), lambda n=number: self.client(n, plan.operations))  # type: ignore[misc]
        for _ in range(plan.faults):
            self.at(draw.uniform(0, 600), self.fault)
        self.at(self.some(40.0), self.planner)
        steps = 0
        while self.queue and steps < 200_000 and self.now < 20_000:
            steps += 1
            index = min(range(len(self.queue)), key=lambda i: self.queue[i][:2])
            self.now, _, act = self.queue.pop(index)
            if self.now > 1500:
                self.mended = True
            act()
        self.counts["steps"] = steps
        self._read_all()
        states = {z: self.state(z) for z in self.sync.read_zones}
        return Run(judge(self.history, 200_000), self.history, states, self.sync, self.counts)

    def _read_all(self) -> None:
        """Read every path from every copy that is in, in turn, by the same machine as ever."""
        for path in self.plan.paths:
            for zone in self.sync.read_zones:
                for edge in range(self.plan.edges):
                    self.known[edge] = self.sync
                called = self.now = self.now + 1
                found: list[OperationOutcome] = []
                rules = SafetyRules(self.plan.decree_first, self.plan.settle)
                self.run(0, read_replicated(self.sync, [zone], rules=rules), path, "GET", found.append)
                while self.queue and not found:
                    self.queue.sort(key=lambda q: q[:2])
                    self.now, _, act = self.queue.pop(0)
                    act()
                (outcome,) = found
                if outcome.disposition is Disposition.ANSWER and outcome.result is not None:
                    payload = outcome.result.reply.payload
                    value = payload[0].body.value if payload is not None else None
                    self.now += 1
                    self.note(path, "read", called, result=value)
                else:
                    self.counts["unreadable"] = self.counts.get("unreadable", 0) + 1

    def state(self, zone: str) -> dict[str, object]:
        """Return what a copy holds: version by path, of what is there."""
        fence = self.racks[zone].copies.fences.get("v")
        records = fence.records if fence is not None else {}
        return {k: (r.at, r.kind) for k, r in records.items() if k in self.plan.paths}


def got_of(done: Done, path: str) -> ReplicaResult:
    """Read a rack's answer as machines see it."""
    fields = {k.decode(): v.decode() for k, v in done.headers}
    refused = fields.get("x-cressrock-refused")
    record = None
    if "x-cressrock-version" in fields:
        key = fields.get("x-cressrock-path")
        record = Record(
            bytes.fromhex(key).decode() if key else path,
            parse_version(fields["x-cressrock-version"]),
            fields.get("x-cressrock-kind", "gone"),
            parse_version(fields.get("x-cressrock-cleared", "0.0")),
            fields.get("x-cressrock-sure") == "yes",
        )
    return ReplicaResult(
        done,
        failed=done.status >= 500,
        rejection=Rejection(refused) if refused else None,
        epoch=int(fields.get("x-cressrock-epoch", "0")),
        record=record,
    )
