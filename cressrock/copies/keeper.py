"""A planner's side of copies: while its seat leads, it founds sets, moves first copies, brings copies back.

A wish only: each change is proposed against the decree that it was made from, so what a former leader
proposes does not come to stand beside another change.  Operations of repair go to the nodes directly, paced
by `repair.Pace`; they hold no place in the scheduler's queues.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Protocol
from urllib.parse import quote

import anyio
import h11
import msgspec

from cressrock.copies import model as m
from cressrock.copies import nodes, reach, sets
from cressrock.copies import repair as rp
from cressrock.copies import write as w
from cressrock.copies.carrier import KEY, Placed, Standing, describe, standing
from cressrock.copies.model import State, Sync
from cressrock.council import decrees as d
from cressrock.dispatch.answers import LOAD
from cressrock.dispatch.nodeclient import NoConnection, NodeClient, Overtaken, Progress
from cressrock.dispatch.operation import Cut, Operation, Reply
from cressrock.errors import CressrockError
from cressrock.errors.copies import BadSet, NotAllowed
from cressrock.errors.council import BadDecree, Conflict, Forgotten, NoQuorum, TooLarge
from cressrock.fleet.messages import State as Life
from cressrock.http.channel import Gone, Headers, header
from cressrock.http.channel import TooLarge as AnswerTooLarge
from cressrock.http.server import Exchange
from cressrock.interface import ListKind, NodeList, NodeState

OPERATION_MS = 3000.0  # an operation of repair without an answer for so long has failed


class Ground(Protocol):
    """What is needed of the common ground."""

    kept: Any
    council: Any
    spread: Any

    @property
    def leading(self) -> bool:
        """Whether this process's seat leads."""

    def members(self) -> tuple[Any, ...]:
        """All members, as this process sees them."""


@dataclass(frozen=True, slots=True)
class Figures:
    """The settings' figures; times in ms."""

    look_ms: float
    witnesses: int
    back_least_ms: float
    back_most_ms: float
    forget_ms: float
    hold_ms: float
    share: float
    rate: float
    busy: float
    pause_ms: float


class Wish(msgspec.Struct, forbid_unknown_fields=True):
    """What an operator asks for on /v1/copies."""

    volume: str
    shard: Annotated[int, msgspec.Meta(ge=0)]
    zone: str
    accept_loss: bool = False


@dataclass(slots=True)
class _Shard:
    """What this planner remembers of one shard's set, while it leads."""

    seen: dict[tuple[str, State, int], float] = field(default_factory=dict)  # since when a copy is so


class Keeper:
    """Keeps the sets of all volumes with copies; `run` it in a task group."""

    def __init__(
        self,
        placed: Mapping[str, Placed],
        ground: Ground,
        client: NodeClient,
        figures: Figures,
        *,
        regions: dict[str, str],
        clock: Callable[[], float],
        log: Any,
        life: str,
    ) -> None:
        """`client` carries operations to nodes; `listed` has to be told of each node list.

        `life` names this life of the planner, in what names its operations to the nodes.
        """
        self.life, self.sent = life, 0
        self.placed, self.ground, self.client, self.figures = placed, ground, client, figures
        self.regions, self.clock, self.log = regions, clock, log
        self.nodes: dict[int, str] = {}
        self.pace = rp.Pace(
            share=figures.share, rate=figures.rate, busy=figures.busy, pause_ms=figures.pause_ms
        )
        self.shards: dict[str, _Shard] = {}
        self.counts: dict[str, int] = {}
        self.said: set[str] = set()

    def listed(self, report: NodeList) -> None:
        """Take news of the node list: the newest ready node of each shard.

        A list that is complete names all there are: who is missing on it is gone.
        """
        if report.kind is ListKind.FAILED:
            return
        if report.kind is not ListKind.CHANGES:
            self.nodes.clear()
        for node in sorted(report.nodes, key=lambda n: n.up_since_ms):
            if node.state is NodeState.READY:
                self.nodes[node.shard] = node.name
            elif self.nodes.get(node.shard) == node.name:
                del self.nodes[node.shard]

    async def run(self) -> None:
        """Keep the sets until cancelled."""
        while True:
            await anyio.sleep(self.figures.look_ms / 1000)
            if not self.ground.leading:
                self.shards.clear()
                continue
            for volume, placed in sorted(self.placed.items()):
                for index in range(len(placed.shards)):
                    try:
                        await self._look(volume, placed, index)
                    except (NoQuorum, Conflict, Forgotten, TooLarge, BadDecree):
                        continue  # another set stands, or none can be decided now
                    except CressrockError as wrong:
                        self._say(
                            f"{volume}/{index} {wrong.code}",
                            "copies",
                            volume=volume,
                            shard=index,
                            **wrong.fields(),
                        )

    def _say(self, once: str, event: str, **fields: Any) -> None:
        if once not in self.said and len(self.said) < 1000:
            self.said.add(once)
            self.log.warning(event, **fields)

    # --- one shard

    async def _look(self, volume: str, placed: Placed, index: int) -> None:
        topic = m.topic(volume, index)
        known = standing(self.ground.kept, topic)
        if known.sync is None or not known.counts:
            found = await self.ground.council.read(topic)
            if found is None:
                await self._found(volume, placed, index)
                return
            known = Standing(m.decode(found.value), found.number, True)
        sync = known.sync
        assert sync is not None
        memory = self.shards.setdefault(topic, _Shard())
        now = self.clock()
        present = {(c.zone, c.state, c.times): c for c in sync.copies}
        memory.seen = {key: memory.seen.get(key, now) for key in present}
        if await self._first_lost(volume, placed, index, known):
            return
        for key, copy in sorted(present.items()):
            since = now - memory.seen[key]
            if copy.state is State.IN:
                if copy.times and since >= self.figures.forget_ms:
                    await self._decide(topic, sets.faded(sync, copy.zone), known.number)
                    return
                continue
            rest = sets.back_after_ms(copy.times, self.figures.back_least_ms, self.figures.back_most_ms)
            if copy.state is State.JOINING or not copy.times or since >= rest:
                report = await self._repair(volume, placed, index, known, copy.zone)
                if report.back or report.moved:
                    self._count("moved", report.moved)
                    self._count("back", int(report.back))
                    self.log.info(
                        "copy repaired",
                        topic=topic,
                        zone=copy.zone,
                        back=report.back,
                        moved=report.moved,
                        why=report.why,
                    )
                if report.back or report.moved:
                    return

    def _count(self, what: str, by: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + by

    def _words(self, shard: int) -> dict[str, bytes]:
        """Return what the processes that live say of a shard."""
        alive = {(member.name, member.life) for member in self.ground.members() if member.state is Life.ALIVE}
        told = self.ground.spread.get(f"{KEY}{shard}")
        return {origin[0]: word for origin, word in told.items() if tuple(origin[:2]) in alive}

    async def _first_lost(self, volume: str, placed: Placed, index: int, known: Standing) -> bool:
        """Move the first copy where it is lost; returns whether something was decided."""
        sync = known.sync
        assert sync is not None
        words = self._words(placed.copies[sync.first][index])
        gone = reach.lost(words, self.figures.witnesses)
        if not gone and reach.STORE in words.values():
            copy = sync.copy(sync.first)
            op = w.op(sync, sync.first, w.Kind.LOOK)
            life = await self._life(volume, placed, index, op)
            gone = copy is not None and life is not None and life != copy.life
        if not gone:
            return False
        order = [z for z in m.nearest(sync.reads, sync.first, self.regions) if z != sync.first]
        # Where the others are missed as well (all copies drain, say), moving would only shrink the set.
        there = [z for z in order if not reach.lost(self._words(placed.copies[z][index]), 1)]
        if order and not there:
            return False
        new = sets.first_lost(sync, sync.first, there)
        await self._decide(m.topic(volume, index), new, known.number)
        self._count("first moved")
        self.log.warning(
            "first copy moved",
            topic=m.topic(volume, index),
            lost=sync.first,
            first=new.first,
            epoch=new.epoch,
        )
        return True

    async def _found(self, volume: str, placed: Placed, index: int) -> None:
        """Found the set once every copy has told which store it is, and that it knows no set."""
        lives, epochs = {}, []
        first = next(z for z, shards in placed.copies.items() if tuple(shards) == placed.shards)
        for zone in placed.copies:
            reply = await self._send(volume, placed, index, w.Op(zone, "", 0, "", w.Kind.LOOK))
            life = header(reply.headers, m.LIFE) if reply is not None else None
            if reply is None or life is None:
                return
            lives[zone] = life.decode("latin-1")
            epochs.append(int(header(reply.headers, m.EPOCH) or b"0"))
        await self._decide(m.topic(volume, index), sets.founded(first, lives, epochs), 0)

    async def _decide(self, topic: str, new: Sync, number: int) -> d.Decree:
        found: d.Decree = await self.ground.council.decide(topic, m.encode(new), self.figures.hold_ms, number)
        return found

    async def _repair(self, volume: str, placed: Placed, index: int, known: Standing, zone: str) -> rp.Report:
        assert known.sync is not None
        if placed.copies[zone][index] not in self.nodes:
            return rp.Report(False, 0, "no node")
        plan = rp.repair(known.sync, zone)
        number = known.number
        value: Any = None
        while True:
            try:
                asked = plan.send(value)
            except StopIteration as stop:
                report: rp.Report = stop.value
                return report
            match asked:
                case rp.Decide(_, new):
                    try:
                        number = (await self._decide(m.topic(volume, index), new, number)).number
                        value = True
                    except (Conflict, NoQuorum, Forgotten, TooLarge, BadDecree):
                        value = False
                case _:
                    value = await self._step(volume, placed, index, asked)

    async def _step(self, volume: str, placed: Placed, index: int, asked: rp.Step) -> Any:
        match asked:
            case rp.Look(op):
                return await self._life(volume, placed, index, op)
            case rp.List(op, since, after):
                more = [(m.OWED, str(since).encode()), (m.AFTER, after.encode().hex().encode())]
                reply = await self._send(volume, placed, index, op, more)
                try:
                    return m.decode_page(reply.body) if reply is not None and reply.status == 200 else None
                except BadSet:
                    return None
            case w.Do(ops):
                gots = []
                for op in ops:
                    reply = await self._send(volume, placed, index, op)
                    if reply is None:
                        gots.append(w.Got(ran=True))
                        continue
                    key = op.record.path if op.record is not None else ""
                    gots.append(nodes.got(reply, reply.status, reply.headers, key))
                return gots
            case w.Fetch(op):
                reply = await self._send(volume, placed, index, op, method=b"GET")
                if reply is None or op.record is None:
                    return None
                got = nodes.got(reply, reply.status, reply.headers, op.record.path)
                record = got.record
                if got.refused is not None or record is None or record.path != op.record.path:
                    return None
                if record.kind != "file":
                    return record, None
                media = header(reply.headers, b"content-type") or b""
                return (record, nodes.Payload(Whole(reply.body), media)) if reply.status == 200 else None
        return None

    async def _life(self, volume: str, placed: Placed, index: int, op: w.Op) -> str | None:
        """Return the name of the store at a copy, whichever the set names."""
        reply = await self._send(volume, placed, index, w.Op(op.zone, op.role, 0, "", w.Kind.LOOK))
        life = header(reply.headers, m.LIFE) if reply is not None else None
        return life.decode("latin-1") if life is not None else None

    async def _send(
        self,
        volume: str,
        placed: Placed,
        index: int,
        op: w.Op,
        more: Iterable[tuple[bytes, bytes]] = (),
        method: bytes | None = None,
    ) -> Reply | None:
        """Do one operation at a copy, paced; None where it did not answer."""
        shard = placed.copies[op.zone][index]
        node = self.nodes.get(shard)
        if node is None:
            return None
        await anyio.sleep(self.pace.wait_ms(self.clock()) / 1000)
        key = op.record.path if op.record is not None else f"/{volume}"
        body = op.payload.body if isinstance(op.payload, nodes.Payload) else None
        fields: Headers = [*nodes.fields(op), *more]
        listed = any(name == m.OWED for name, _ in fields)
        name = method or (b"GET" if listed else nodes.method(op))
        work = Operation(name, _quoted(key), volume, key, shard, 0, 1.0, headers=fields, body=body)
        self.sent += 1
        trace: Headers = [(b"x-request-id", f"repair-{self.life}-{self.sent};0;0".encode())]
        began = self.clock()
        reply: Reply | None = None
        with anyio.move_on_after(OPERATION_MS / 1000):
            try:
                reply, _ = await self.client.exchange(node, work, trace, Progress(), may_stream=False)
            except (NoConnection, Overtaken, Gone, AnswerTooLarge, h11.RemoteProtocolError, Cut, OSError):
                reply = None
        now = self.clock()
        full = reply is not None and reply.status == 503
        self.pace.done(now, now - began, refused=full, load=_load(reply))
        return None if full else reply

    # --- the operator

    async def handle(self, exchange: Exchange) -> None:
        """Serve /v1/copies: GET tells the sets, POST {"volume", "shard", "zone", "accept_loss": true} lets an
        owed copy be the first and only one.  See docs/copies.md for what that may lose.
        """
        kind: Headers = [(b"content-type", b"application/json")]
        if exchange.head.method == b"GET":
            sets_now = {}
            for volume, placed in sorted(self.placed.items()):
                for index in range(len(placed.shards)):
                    topic = m.topic(volume, index)
                    sets_now[topic] = describe(standing(self.ground.kept, topic))
            await exchange.respond(200, kind, msgspec.json.encode(sets_now))
            return
        data = b""
        while part := await exchange.read():
            data += part
            if len(data) > 4096:
                break
        try:
            wish = msgspec.json.decode(data, type=Wish)
            status, answer = 200, await self._take_over(wish)
        except msgspec.DecodeError as wrong:
            status, answer = 400, {"error": "bad-request", "text": str(wrong)}
        except CressrockError as wrong:
            status, answer = 409, dict(wrong.fields())
        await exchange.respond(status, kind, msgspec.json.encode(answer))

    async def _take_over(self, wish: Wish) -> dict[str, Any]:
        placed = self.placed.get(wish.volume)
        if placed is None or wish.shard >= len(placed.shards) or wish.zone not in placed.copies:
            raise NotAllowed(f"there is no copy of {wish.volume}/{wish.shard} in {wish.zone!r}")
        if not wish.accept_loss:
            raise NotAllowed("accept_loss is not true: what was acknowledged since may be lost")
        topic = m.topic(wish.volume, wish.shard)
        found = await self.ground.council.read(topic)
        if found is None:
            raise NotAllowed(f"no set stands for {topic}")
        old = m.decode(found.value)
        op = w.op(old, wish.zone, w.Kind.LOOK)
        life = await self._life(wish.volume, placed, wish.shard, op)
        if life is None:
            raise NotAllowed(f"the copy in {wish.zone!r} cannot be reached")
        decree = await self._decide(topic, sets.taken_over(old, wish.zone, life), found.number)
        self.log.warning("copy taken over", topic=topic, zone=wish.zone, instead_of=old.first)
        return describe(Standing(m.decode(decree.value), decree.number, True)) or {}

    def status(self) -> dict[str, Any]:
        """Return plain values for the admin port."""
        return {"counts": dict(self.counts), "nodes": len(self.nodes)}


class Whole:
    """A payload of bytes that are here in whole."""

    complete = True

    def __init__(self, data: bytes) -> None:
        """Hold the bytes."""
        self.data = data

    @property
    def length(self) -> int:
        """Bytes in all."""
        return len(self.data)

    async def chunk(self, offset: int) -> bytes:
        """Return the bytes from an offset."""
        return self.data[offset:]


def _quoted(key: str) -> bytes:
    path = quote(key, safe="/!$&'()*+,;=:@-._~")
    return (path + "/" if path.count("/") == 1 else path).encode()


def _load(reply: Reply | None) -> float:
    """Read how busy a node says it is, 0 where it says nothing."""
    field = header(reply.headers, LOAD) if reply is not None else None
    if field is None:
        return 0.0
    try:
        value = json.loads(field.removeprefix(b"JSON").strip())
        return float(value.get("cpu_utilization", 0.0))
    except (ValueError, AttributeError, TypeError):
        return 0.0
