"""A gateway's side of copies: carries the machines of `write.py` out, by operations of its front.

It takes no decision: what is sent where comes from the machines, what stands from decrees, how long a step
may take from the settings.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio

from cressrock.consensus import decisions as d
from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.operation import Reply, Result
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import Denial
from cressrock.errors.consensus import (
    DecisionConflictError,
    DecisionTooLargeError,
    InvalidDecisionError,
    NoQuorumError,
    RequestForgottenError,
)
from cressrock.errors.replication import InvalidSetError, TransitionNotAllowedError, UnknownSetVersionError
from cressrock.http.channel import Headers, header
from cressrock.interface import Node, NodeState
from cressrock.replication import in_sync_set as m
from cressrock.replication import node_protocol, transitions
from cressrock.replication import write as w
from cressrock.replication.in_sync_set import InSyncSet, ReplicaState
from cressrock.replication.reachability import ReachabilityTracker

READ_METHODS = frozenset({"GET", "HEAD", "PROPFIND"})
WRITE_METHODS = frozenset({"PUT", "DELETE", "MKCOL"})
MOST_MARKS = 64  # versions known to be on all copies that wait for an operation to be told along with


class ClusterRuntime(Protocol):
    """What is needed of the common ground: decrees that count, and the council."""

    @property
    def decision_cache(self) -> Any:
        """What a process keeps of decrees."""

    @property
    def consensus(self) -> Any:
        """The council as any process asks it."""


@dataclass(frozen=True, slots=True)
class ReplicaPlacement:
    """Where a volume's copies lie: node shards by zone, parallel to `shards`."""

    shards: tuple[int, ...]
    zones: Mapping[str, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class DeadlineShares:
    """How a request's time is divided; see the settings.  Times in ms."""

    first: float
    follow: float
    told_ms: float
    ask_ms: float
    hold_ms: float


class Send(Protocol):
    """Has one storage operation performed: an ordinary one, with its own attempts and budget."""

    async def __call__(
        self,
        shard: int,
        method: bytes | None,
        key: str | None,
        headers: Headers,
        body: Any,
        deadline: float,
        *,
        collect: bool = False,
    ) -> Result:
        """`method`, `key` None: the client's own, with its fields.  `deadline` on the driver's clock."""


@dataclass(frozen=True, slots=True)
class KnownSet:
    """What a process knows of a shard's set; `number` is the decree's, `counts` whether its hold lasts."""

    sync: InSyncSet | None
    number: int = 0
    counts: bool = False


def known_set(kept: Any, topic: str) -> KnownSet:
    """Read what stands for a topic at this process."""
    found = kept.get(topic)
    decree = found.decision if isinstance(found, d.Expired) else found
    if decree is None:
        return KnownSet(None)
    try:
        return KnownSet(m.decode_set(decree.value), decree.version, not isinstance(found, d.Expired))
    except (InvalidSetError, UnknownSetVersionError):
        return KnownSet(None)


@dataclass(slots=True)
class _Job:
    """One request's operations at the copies of one shard."""

    volume: str
    index: int
    key: str
    method: str
    send: Send
    deadline: float
    body: Any = None
    media: bytes = b""
    first: bool = True
    replies: list[Any] = field(default_factory=list)  # streams handed out, of which one is answered


Choose = Callable[[Sequence[str], float, float], Sequence[str]]


class ReplicatedVolumes:
    """Serves the operations of volumes that have copies."""

    def __init__(
        self,
        placed: Mapping[str, ReplicaPlacement],
        ground: ClusterRuntime,
        shares: DeadlineShares,
        reach: ReachabilityTracker,
        *,
        zone: str,
        regions: dict[str, str],
        clock: Callable[[], float],
        log: Any,
        retry_after_ms: float,
        choose: Choose | None = None,
    ) -> None:
        """`zone` is this process's own.  `choose(zones, units, now_ms)` orders zones that are in for a read;
        without it the nearest come first, those that this process cannot reach last.
        """
        self.placed, self.ground, self.shares, self.reach = placed, ground, shares, reach
        self.zone, self.regions, self.clock, self.log = zone, regions, clock, log
        self.retry_after_ms = retry_after_ms
        self.choose = choose or self._nearest
        self.marks: dict[tuple[str, int, str], deque[m.Version]] = {}
        self.seen: dict[str, InSyncSet] = {}  # by topic: the newest set that was worked by
        self.counts: dict[str, int] = {}

    def is_replicated(self, volume: str) -> bool:
        """Whether a volume has copies."""
        return volume in self.placed

    def _nearest(self, zones: Sequence[str], units: float, now_ms: float) -> Sequence[str]:
        return m.by_distance(zones, self.zone, self.regions)

    def _shard(self, job: _Job, zone: str) -> int:
        return self.placed[job.volume].zones[zone][job.index]

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # --- one operation of a client

    async def perform(
        self,
        volume: str,
        shard: int,
        key: str,
        method: str,
        units: float,
        body: Any,
        media: bytes,
        send: Send,
        deadline: float,
    ) -> Result:
        """Do an operation at a shard's copies and return its one result."""
        index = self.placed[volume].shards.index(shard)
        job = _Job(volume, index, key, method, send, deadline, body, media)
        known = known_set(self.ground.decision_cache, m.set_topic(volume, index))
        if known.sync is not None and not set(known.sync.zones_in(*ReplicaState)) <= set(
            self.placed[volume].zones
        ):
            known = KnownSet(None)  # decided under other settings; a restart with these is still to come
        now = self.clock()
        if known.sync is not None:
            self._forgive(job, known.sync)
        if method in READ_METHODS:
            if known.sync is None:
                return self._refused()
            order = list(self.choose(known.sync.read_zones, units, now))
            order.sort(key=lambda z: self.reach.is_unreachable(self._shard(job, z), now))
            job.first = len(order) > 1  # a part of the time is kept for another copy
            steps = w.read_replicated(known.sync, order, lease_valid=known.counts)
        else:
            payload = node_protocol.Payload(body, media) if body is not None else None
            zones = known.sync.write_zones if known.sync is not None else ()
            gone = [z for z in zones if self.reach.is_unreachable(self._shard(job, z), now)]
            steps = w.write_replicated(known.sync if known.counts else None, payload, gone=gone)
        outcome = await self._carry(job, steps)
        self._count(f"{'read' if method in READ_METHODS else 'write'} {outcome.disposition.value}")
        answered = (
            outcome.result.reply
            if outcome.disposition is w.Disposition.ANSWER and outcome.result is not None
            else None
        )
        for reply in job.replies:
            if reply is not answered:
                reply.stream.abandon()
        if isinstance(answered, Reply):
            return answered
        denied = outcome.result.denial if outcome.result is not None else None
        wanted = Verdict.REJECTED if outcome.disposition is w.Disposition.REJECTED else Verdict.FAILED
        if isinstance(denied, Denial) and denied.verdict is wanted:
            return denied
        return self._refused() if wanted is Verdict.REJECTED else Denial(wanted, Reason.COPIES_RUN)

    def _forgive(self, job: _Job, sync: InSyncSet) -> None:
        """Try copies again that a newer set has taken back."""
        topic = m.set_topic(job.volume, job.index)
        known = self.seen.get(topic)
        if known is None or known.epoch < sync.epoch:
            self.seen[topic] = sync
            for copy in sync.replicas:
                before = known.replica(copy.zone) if known is not None else None
                if (
                    before is not None
                    and before.state is ReplicaState.OUT_OF_SYNC
                    and copy.state is not ReplicaState.OUT_OF_SYNC
                ):
                    self.reach.reset(self._shard(job, copy.zone))

    def _refused(self) -> Denial:
        return Denial(Verdict.REJECTED, Reason.COPIES, self.retry_after_ms)

    async def _carry(self, job: _Job, steps: w.Steps) -> w.OperationOutcome:
        value: Any = None
        while True:
            try:
                asked = steps.send(value)
            except StopIteration as stop:
                outcome: w.OperationOutcome = stop.value
                return outcome
            value = await self._do(job, asked)

    async def _do(self, job: _Job, asked: w.Action) -> Any:
        match asked:
            case w.PerformOperations(ops):
                until = self._until(job, ops)
                if len(ops) == 1:
                    return [await self._one(job, ops[0], until)]
                gots: dict[int, w.ReplicaResult] = {}

                async def one(index: int, op: w.ReplicaOperation) -> None:
                    gots[index] = await self._one(job, op, until)

                async with anyio.create_task_group() as tasks:
                    for index, op in enumerate(ops):
                        tasks.start_soon(one, index, op)
                return [gots[index] for index in range(len(ops))]
            case w.FetchRecord(op):
                return await self._fetch(job, op)
            case w.EvictReplicas(zones, sync):
                return await self._put_out(job, zones, sync)
            case w.RefreshSet(epoch):
                return await self._refresh(job, epoch)
            case w.MarkCommitted(sync, at):
                for zone in sync.write_zones:
                    waiting = self.marks.setdefault((job.volume, job.index, zone), deque(maxlen=MOST_MARKS))
                    waiting.append(at)
        return None

    def _until(self, job: _Job, ops: Sequence[w.ReplicaOperation]) -> float:
        """Return until when operations may take: what is left is divided among the steps to come."""
        now = self.clock()
        if job.method in READ_METHODS and ops[0].kind is w.OperationKind.CLIENT and not job.first:
            return job.deadline
        share = self.shares.first if job.first else self.shares.follow
        job.first = False
        return now + (job.deadline - now) * share

    async def _one(self, job: _Job, op: w.ReplicaOperation, until: float) -> w.ReplicaResult:
        shard = self._shard(job, op.zone)
        client = op.kind is w.OperationKind.CLIENT
        key = None if client or op.record is None else op.record.path
        body = op.payload.body if isinstance(op.payload, node_protocol.Payload) else None
        method = None if client else node_protocol.method(op)
        marks = self._marks(job, op.zone)
        result = await job.send(shard, method, key, node_protocol.fields(op, marks), body, until)
        if isinstance(result, Denial):
            # A busy copy gives no turn in time; only one that this process's attempts do not reach is gone.
            gone = self.reach.is_unreachable(shard, self.clock())
            return w.ReplicaResult(
                may_have_run=result.verdict is not Verdict.REJECTED, unreachable=gone, denial=result
            )
        if result.stream is not None:
            job.replies.append(result)
        got = node_protocol.got(result, result.status, result.headers, key or job.key)
        self.reach.record_store(shard, other=got.rejection is m.Rejection.OTHER_STORE)
        if got.rejection is not None:
            self._count(f"refused {got.rejection.value}")
        return got

    def _marks(self, job: _Job, zone: str) -> list[m.Version]:
        waiting = self.marks.get((job.volume, job.index, zone))
        if not waiting:
            return []
        return [waiting.popleft() for _ in range(min(len(waiting), node_protocol.MOST_SURE))]

    async def _fetch(self, job: _Job, op: w.ReplicaOperation) -> Any:
        """Read a record's payload in whole."""
        assert op.record is not None
        until = self._until(job, (op,))
        shard = self._shard(job, op.zone)
        result = await job.send(
            shard, b"GET", op.record.path, node_protocol.fence(op), None, until, collect=True
        )
        if not isinstance(result, Reply) or result.status != 200:
            return None
        got = node_protocol.got(result, result.status, result.headers, op.record.path)
        if got.record is None or got.rejection is not None or got.record.path != op.record.path:
            return None
        body = result.payload if result.payload is not None else result.body
        return got.record, node_protocol.Payload(body, header(result.headers, b"content-type") or b"")

    # --- the council

    def _newer(self, job: _Job, epoch: int) -> InSyncSet | None:
        known = known_set(self.ground.decision_cache, m.set_topic(job.volume, job.index))
        if known.sync is not None and known.counts and known.sync.epoch >= epoch:
            return known.sync
        return None

    def _left(self, job: _Job) -> float:
        return min(self.shares.ask_ms, job.deadline - self.clock())

    async def _refresh(self, job: _Job, epoch: int) -> InSyncSet | None:
        """Return a set of at least this epoch, by asking where it is not known yet."""
        until = self.clock() + self._left(job)
        while (found := self._newer(job, epoch)) is None:
            left = until - self.clock()
            if left <= 0:
                return None
            try:
                await self.ground.consensus.read(m.set_topic(job.volume, job.index), timeout_ms=left)
            except (NoQuorumError, InvalidDecisionError):
                return None
            if (found := self._newer(job, epoch)) is not None:
                return found
            await anyio.sleep(min(50.0, max(1.0, left)) / 1000)
        return found

    async def _put_out(self, job: _Job, zones: tuple[str, ...], sync: InSyncSet) -> InSyncSet | None:
        """Have copies put out; the set that stands then, or None if none came to stand in time."""
        topic = m.set_topic(job.volume, job.index)
        known = known_set(self.ground.decision_cache, topic)
        if known.sync is None or known.sync.epoch != sync.epoch:
            return self._newer(job, sync.epoch + 1)
        new = sync
        try:
            for zone in zones:
                new = transitions.evict(new, zone)
        except TransitionNotAllowedError:
            return await self._refresh(job, sync.epoch + 1)
        began = self.clock()
        try:
            await self.ground.consensus.decide(
                topic, m.encode_set(new), self.shares.hold_ms, known.number, timeout_ms=self._left(job)
            )
        except DecisionConflictError:
            return await self._refresh(job, sync.epoch + 1)
        except (NoQuorumError, RequestForgottenError, DecisionTooLargeError, InvalidDecisionError) as wrong:
            self.log.warning("copy not put out", topic=topic, zones=zones, **wrong.fields())
            return None
        self._count("put out")
        self.log.warning(
            "copy put out", topic=topic, zones=zones, epoch=new.epoch, ms=round(self.clock() - began, 1)
        )
        # Others may still read there: what they are told after this acknowledgement should be it.
        await anyio.sleep(max(0.0, min(self.shares.told_ms, job.deadline - self.clock())) / 1000)
        return new

    # --- what is told to the others

    def on_node_list(self, nodes_now: Iterable[Node]) -> None:
        """Take the nodes that the list names now."""
        ready = {node.shard for node in nodes_now if node.state is NodeState.READY}
        wanted = {s for p in self.placed.values() for shards in p.zones.values() for s in shards}
        self.reach.record_node_list(ready, wanted, self.clock())

    def reachability_reports(self, asked: Callable[[int], bool]) -> dict[int, bytes]:
        """Return what to tell of each shard that has something to be told; `asked`: somebody doubts it."""
        now = self.clock()
        found = {}
        for placed in self.placed.values():
            for shards in placed.zones.values():
                for shard in shards:
                    word = self.reach.report(shard, now, asked(shard))
                    if word is not None:
                        found[shard] = word
        return found

    def status(self) -> dict[str, Any]:
        """Return plain values for the admin port: what stands of each shard, what was counted."""
        found = {}
        for volume, placed in self.placed.items():
            for index in range(len(placed.shards)):
                topic = m.set_topic(volume, index)
                known = known_set(self.ground.decision_cache, topic)
                found[topic] = describe(known)
        return {"sets": found, "counts": dict(self.counts)}


def describe(known: KnownSet) -> dict[str, Any] | None:
    """Return a set as plain values."""
    if known.sync is None:
        return None
    return {
        "epoch": known.sync.epoch,
        "first": known.sync.primary,
        "counts": known.counts,
        "copies": {c.zone: c.state.value for c in known.sync.replicas},
        "lost": [[one.zone, one.complete_epoch, one.epoch] for one in known.sync.accepted_losses],
    }


REACHABILITY_KEY_PREFIX = "copies/"  # of words in the spread, by node shard


class ReachabilityPublisher:
    """Keeps this process's words in the spread in step with its own attempts."""

    def __init__(self, copies: ReplicatedVolumes, spread: Any, every_ms: float) -> None:
        """`spread` is the ground's."""
        self.copies, self.spread, self.every_ms = copies, spread, every_ms
        self.told: dict[int, bytes] = {}

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await anyio.sleep(self.every_ms / 1000)
            words = self.copies.reachability_reports(
                lambda shard: any(self.spread.get(f"{REACHABILITY_KEY_PREFIX}{shard}").values())
            )
            for shard in [s for s in self.told if s not in words]:
                del self.told[shard]
                self.spread.remove(f"{REACHABILITY_KEY_PREFIX}{shard}")
            for shard, word in words.items():
                if self.told.get(shard) != word:
                    self.told[shard] = word
                    self.spread.put(f"{REACHABILITY_KEY_PREFIX}{shard}", word)
