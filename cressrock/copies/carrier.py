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

from cressrock.copies import model as m
from cressrock.copies import nodes, sets
from cressrock.copies import write as w
from cressrock.copies.model import State, Sync
from cressrock.copies.reach import Reach
from cressrock.council import decrees as d
from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.operation import Reply, Result
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.transport import Denied
from cressrock.errors.copies import BadSet, NotAllowed, SetNewer
from cressrock.errors.council import BadDecree, Conflict, Forgotten, NoQuorum, TooLarge
from cressrock.http.channel import Headers, header
from cressrock.interface import Node, NodeState

READS = frozenset({"GET", "HEAD", "PROPFIND"})
WRITES = frozenset({"PUT", "DELETE", "MKCOL"})
MOST_MARKS = 64  # versions known to be on all copies that wait for an operation to be told along with


class Ground(Protocol):
    """What is needed of the common ground: decrees that count, and the council."""

    @property
    def kept(self) -> Any:
        """What a process keeps of decrees."""

    @property
    def council(self) -> Any:
        """The council as any process asks it."""


@dataclass(frozen=True, slots=True)
class Placed:
    """Where a volume's copies lie: node shards by zone, parallel to `shards`."""

    shards: tuple[int, ...]
    copies: Mapping[str, tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class Shares:
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
class Standing:
    """What a process knows of a shard's set; `number` is the decree's, `counts` whether its hold lasts."""

    sync: Sync | None
    number: int = 0
    counts: bool = False


def standing(kept: Any, topic: str) -> Standing:
    """Read what stands for a topic at this process."""
    found = kept.get(topic)
    decree = found.decree if isinstance(found, d.Expired) else found
    if decree is None:
        return Standing(None)
    try:
        return Standing(m.decode(decree.value), decree.number, not isinstance(found, d.Expired))
    except (BadSet, SetNewer):
        return Standing(None)


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


class Copies:
    """Serves the operations of volumes that have copies."""

    def __init__(
        self,
        placed: Mapping[str, Placed],
        ground: Ground,
        shares: Shares,
        reach: Reach,
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
        self.seen: dict[str, Sync] = {}  # by topic: the newest set that was worked by
        self.counts: dict[str, int] = {}

    def has(self, volume: str) -> bool:
        """Whether a volume has copies."""
        return volume in self.placed

    def _nearest(self, zones: Sequence[str], units: float, now_ms: float) -> Sequence[str]:
        return m.nearest(zones, self.zone, self.regions)

    def _shard(self, job: _Job, zone: str) -> int:
        return self.placed[job.volume].copies[zone][job.index]

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
        known = standing(self.ground.kept, m.topic(volume, index))
        if known.sync is not None and not set(known.sync.zones(*State)) <= set(self.placed[volume].copies):
            known = Standing(None)  # decided under other settings; a restart with these is still to come
        now = self.clock()
        if known.sync is not None:
            self._forgive(job, known.sync)
        if method in READS:
            if known.sync is None:
                return self._refused()
            order = list(self.choose(known.sync.reads, units, now))
            order.sort(key=lambda z: self.reach.gone(self._shard(job, z), now))
            job.first = len(order) > 1  # a part of the time is kept for another copy
            steps = w.read(known.sync, order, counts=known.counts)
        else:
            payload = nodes.Payload(body, media) if body is not None else None
            zones = known.sync.writes if known.sync is not None else ()
            gone = [z for z in zones if self.reach.gone(self._shard(job, z), now)]
            steps = w.write(known.sync if known.counts else None, payload, gone=gone)
        outcome = await self._carry(job, steps)
        self._count(f"{'read' if method in READS else 'write'} {outcome.end.value}")
        answered = outcome.got.reply if outcome.end is w.End.ANSWER and outcome.got is not None else None
        for reply in job.replies:
            if reply is not answered:
                reply.stream.abandon()
        if isinstance(answered, Reply):
            return answered
        denied = outcome.got.denied if outcome.got is not None else None
        wanted = Verdict.REFUSED if outcome.end is w.End.REFUSED else Verdict.FAILED
        if isinstance(denied, Denied) and denied.verdict is wanted:
            return denied
        return self._refused() if wanted is Verdict.REFUSED else Denied(wanted, Reason.COPIES_RUN)

    def _forgive(self, job: _Job, sync: Sync) -> None:
        """Try copies again that a newer set has taken back."""
        topic = m.topic(job.volume, job.index)
        known = self.seen.get(topic)
        if known is None or known.epoch < sync.epoch:
            self.seen[topic] = sync
            for copy in sync.copies:
                before = known.copy(copy.zone) if known is not None else None
                if before is not None and before.state is State.OWED and copy.state is not State.OWED:
                    self.reach.forgive(self._shard(job, copy.zone))

    def _refused(self) -> Denied:
        return Denied(Verdict.REFUSED, Reason.COPIES, self.retry_after_ms)

    async def _carry(self, job: _Job, steps: w.Steps) -> w.Outcome:
        value: Any = None
        while True:
            try:
                asked = steps.send(value)
            except StopIteration as stop:
                outcome: w.Outcome = stop.value
                return outcome
            value = await self._do(job, asked)

    async def _do(self, job: _Job, asked: w.Ask) -> Any:
        match asked:
            case w.Do(ops):
                until = self._until(job, ops)
                if len(ops) == 1:
                    return [await self._one(job, ops[0], until)]
                gots: dict[int, w.Got] = {}

                async def one(index: int, op: w.Op) -> None:
                    gots[index] = await self._one(job, op, until)

                async with anyio.create_task_group() as tasks:
                    for index, op in enumerate(ops):
                        tasks.start_soon(one, index, op)
                return [gots[index] for index in range(len(ops))]
            case w.Fetch(op):
                return await self._fetch(job, op)
            case w.PutOut(zones, sync):
                return await self._put_out(job, zones, sync)
            case w.Refresh(epoch):
                return await self._refresh(job, epoch)
            case w.Sure(sync, at):
                for zone in sync.writes:
                    waiting = self.marks.setdefault((job.volume, job.index, zone), deque(maxlen=MOST_MARKS))
                    waiting.append(at)
        return None

    def _until(self, job: _Job, ops: Sequence[w.Op]) -> float:
        """Return until when operations may take: what is left is divided among the steps to come."""
        now = self.clock()
        if job.method in READS and ops[0].kind is w.Kind.CLIENT and not job.first:
            return job.deadline
        share = self.shares.first if job.first else self.shares.follow
        job.first = False
        return now + (job.deadline - now) * share

    async def _one(self, job: _Job, op: w.Op, until: float) -> w.Got:
        shard = self._shard(job, op.zone)
        client = op.kind is w.Kind.CLIENT
        key = None if client or op.record is None else op.record.path
        body = op.payload.body if isinstance(op.payload, nodes.Payload) else None
        method = None if client else nodes.method(op)
        marks = self._marks(job, op.zone)
        result = await job.send(shard, method, key, nodes.fields(op, marks), body, until)
        if isinstance(result, Denied):
            # A busy copy gives no turn in time; only one that this process's attempts do not reach is gone.
            gone = self.reach.gone(shard, self.clock())
            return w.Got(ran=result.verdict is not Verdict.REFUSED, gone=gone, denied=result)
        if result.stream is not None:
            job.replies.append(result)
        got = nodes.got(result, result.status, result.headers, key or job.key)
        self.reach.store(shard, other=got.refused is m.Refusal.STORE)
        if got.refused is not None:
            self._count(f"refused {got.refused.value}")
        return got

    def _marks(self, job: _Job, zone: str) -> list[m.Version]:
        waiting = self.marks.get((job.volume, job.index, zone))
        if not waiting:
            return []
        return [waiting.popleft() for _ in range(min(len(waiting), nodes.MOST_SURE))]

    async def _fetch(self, job: _Job, op: w.Op) -> Any:
        """Read a record's payload in whole."""
        assert op.record is not None
        until = self._until(job, (op,))
        shard = self._shard(job, op.zone)
        result = await job.send(shard, b"GET", op.record.path, nodes.fence(op), None, until, collect=True)
        if not isinstance(result, Reply) or result.status != 200:
            return None
        got = nodes.got(result, result.status, result.headers, op.record.path)
        if got.record is None or got.refused is not None or got.record.path != op.record.path:
            return None
        body = result.payload if result.payload is not None else result.body
        return got.record, nodes.Payload(body, header(result.headers, b"content-type") or b"")

    # --- the council

    def _newer(self, job: _Job, epoch: int) -> Sync | None:
        known = standing(self.ground.kept, m.topic(job.volume, job.index))
        if known.sync is not None and known.counts and known.sync.epoch >= epoch:
            return known.sync
        return None

    def _left(self, job: _Job) -> float:
        return min(self.shares.ask_ms, job.deadline - self.clock())

    async def _refresh(self, job: _Job, epoch: int) -> Sync | None:
        """Return a set of at least this epoch, by asking where it is not known yet."""
        until = self.clock() + self._left(job)
        while (found := self._newer(job, epoch)) is None:
            left = until - self.clock()
            if left <= 0:
                return None
            try:
                await self.ground.council.read(m.topic(job.volume, job.index), timeout_ms=left)
            except (NoQuorum, BadDecree):
                return None
            if (found := self._newer(job, epoch)) is not None:
                return found
            await anyio.sleep(min(50.0, max(1.0, left)) / 1000)
        return found

    async def _put_out(self, job: _Job, zones: tuple[str, ...], sync: Sync) -> Sync | None:
        """Have copies put out; the set that stands then, or None if none came to stand in time."""
        topic = m.topic(job.volume, job.index)
        known = standing(self.ground.kept, topic)
        if known.sync is None or known.sync.epoch != sync.epoch:
            return self._newer(job, sync.epoch + 1)
        new = sync
        try:
            for zone in zones:
                new = sets.put_out(new, zone)
        except NotAllowed:
            return await self._refresh(job, sync.epoch + 1)
        began = self.clock()
        try:
            await self.ground.council.decide(
                topic, m.encode(new), self.shares.hold_ms, known.number, timeout_ms=self._left(job)
            )
        except Conflict:
            return await self._refresh(job, sync.epoch + 1)
        except (NoQuorum, Forgotten, TooLarge, BadDecree) as wrong:
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

    def listed(self, nodes_now: Iterable[Node]) -> None:
        """Take the nodes that the list names now."""
        ready = {node.shard for node in nodes_now if node.state is NodeState.READY}
        wanted = {s for p in self.placed.values() for shards in p.copies.values() for s in shards}
        self.reach.listed(ready, wanted, self.clock())

    def words(self, asked: Callable[[int], bool]) -> dict[int, bytes]:
        """Return what to tell of each shard that has something to be told; `asked`: somebody doubts it."""
        now = self.clock()
        found = {}
        for placed in self.placed.values():
            for shards in placed.copies.values():
                for shard in shards:
                    word = self.reach.word(shard, now, asked(shard))
                    if word is not None:
                        found[shard] = word
        return found

    def status(self) -> dict[str, Any]:
        """Return plain values for the admin port: what stands of each shard, what was counted."""
        found = {}
        for volume, placed in self.placed.items():
            for index in range(len(placed.shards)):
                topic = m.topic(volume, index)
                known = standing(self.ground.kept, topic)
                found[topic] = describe(known)
        return {"sets": found, "counts": dict(self.counts)}


def describe(known: Standing) -> dict[str, Any] | None:
    """Return a set as plain values."""
    if known.sync is None:
        return None
    return {
        "epoch": known.sync.epoch,
        "first": known.sync.first,
        "counts": known.counts,
        "copies": {c.zone: c.state.value for c in known.sync.copies},
        "lost": [[one.zone, one.since, one.epoch] for one in known.sync.lost],
    }


KEY = "copies/"  # of words in the spread, by node shard


class Telling:
    """Keeps this process's words in the spread in step with its own attempts."""

    def __init__(self, copies: Copies, spread: Any, every_ms: float) -> None:
        """`spread` is the ground's."""
        self.copies, self.spread, self.every_ms = copies, spread, every_ms
        self.told: dict[int, bytes] = {}

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await anyio.sleep(self.every_ms / 1000)
            words = self.copies.words(lambda shard: any(self.spread.get(f"{KEY}{shard}").values()))
            for shard in [s for s in self.told if s not in words]:
                del self.told[shard]
                self.spread.remove(f"{KEY}{shard}")
            for shard, word in words.items():
                if self.told.get(shard) != word:
                    self.told[shard] = word
                    self.spread.put(f"{KEY}{shard}", word)
