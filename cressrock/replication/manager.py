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

from cressrock.consensus import decisions as d
from cressrock.dispatch.node_client import AttemptProgress, NoConnectionError, NodeClient, SentTooLateError
from cressrock.dispatch.node_response import LOAD_HEADER
from cressrock.dispatch.operation import Operation, PayloadTruncatedError, Reply
from cressrock.errors import CressrockError
from cressrock.errors.consensus import (
    DecisionConflictError,
    DecisionTooLargeError,
    InvalidDecisionError,
    NoQuorumError,
    RequestForgottenError,
)
from cressrock.errors.replication import InvalidSetError, TransitionNotAllowedError
from cressrock.http.channel import ConnectionLostError, Headers, header
from cressrock.http.channel import MessageTooLargeError as AnswerTooLarge
from cressrock.http.server import Exchange
from cressrock.interface import ListKind, NodeList, NodeState
from cressrock.membership.packets import MemberState as Life
from cressrock.replication import in_sync_set as m
from cressrock.replication import node_protocol, reachability, transitions
from cressrock.replication import repair as rp
from cressrock.replication import write as w
from cressrock.replication.in_sync_set import InSyncSet, ReplicaState
from cressrock.replication.service import (
    REACHABILITY_KEY_PREFIX,
    KnownSet,
    ReplicaPlacement,
    describe,
    known_set,
)

OPERATION_MS = 3000.0  # an operation of repair without an answer for so long has failed


class ClusterRuntime(Protocol):
    """What is needed of the common ground."""

    decision_cache: Any
    consensus: Any
    gossip: Any

    @property
    def is_leader(self) -> bool:
        """Whether this process's seat leads."""

    def members(self) -> tuple[Any, ...]:
        """All members, as this process sees them."""


@dataclass(frozen=True, slots=True)
class ManagerSettings:
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

    seen: dict[tuple[str, ReplicaState, int], float] = field(default_factory=dict)  # since when a copy is so


class ReplicaManager:
    """Keeps the sets of all volumes with copies; `run` it in a task group."""

    def __init__(
        self,
        placed: Mapping[str, ReplicaPlacement],
        ground: ClusterRuntime,
        client: NodeClient,
        settings: ManagerSettings,
        *,
        regions: dict[str, str],
        clock: Callable[[], float],
        log: Any,
        incarnation: str,
    ) -> None:
        """`client` carries operations to nodes; `listed` has to be told of each node list.

        `life` names this life of the planner, in what names its operations to the nodes.
        """
        self.life, self.sent = incarnation, 0
        self.placed, self.ground, self.client, self.figures = placed, ground, client, settings
        self.regions, self.clock, self.log = regions, clock, log
        self.nodes: dict[int, str] = {}
        self.pace = rp.RepairPacer(
            share=settings.share, rate=settings.rate, busy=settings.busy, pause_ms=settings.pause_ms
        )
        self.shards: dict[str, _Shard] = {}
        self.counts: dict[str, int] = {}
        self.said: set[str] = set()

    def on_node_list(self, report: NodeList) -> None:
        """Take news of the node list: the newest ready node of each shard.

        A list that is complete names all there are: who is missing on it is gone.
        """
        if report.kind is ListKind.FAILED:
            return
        if report.kind is not ListKind.CHANGES:
            self.nodes.clear()
        for node in sorted(report.nodes, key=lambda n: n.started_at_ms):
            if node.state is NodeState.READY:
                self.nodes[node.shard] = node.name
            elif self.nodes.get(node.shard) == node.name:
                del self.nodes[node.shard]

    async def run(self) -> None:
        """Keep the sets until cancelled."""
        while True:
            await anyio.sleep(self.figures.look_ms / 1000)
            if not self.ground.is_leader:
                self.shards.clear()
                continue
            for volume, placed in sorted(self.placed.items()):
                for index in range(len(placed.shards)):
                    try:
                        await self._look(volume, placed, index)
                    except (
                        NoQuorumError,
                        DecisionConflictError,
                        RequestForgottenError,
                        DecisionTooLargeError,
                        InvalidDecisionError,
                    ):
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

    async def _look(self, volume: str, placed: ReplicaPlacement, index: int) -> None:
        topic = m.set_topic(volume, index)
        known = known_set(self.ground.decision_cache, topic)
        if known.sync is None or not known.counts:
            found = await self.ground.consensus.read(topic)
            if found is None:
                await self._found(volume, placed, index)
                return
            known = KnownSet(m.decode_set(found.value), found.number, True)
        sync = known.sync
        assert sync is not None
        memory = self.shards.setdefault(topic, _Shard())
        now = self.clock()
        present = {(c.zone, c.state, c.evictions): c for c in sync.replicas}
        memory.seen = {key: memory.seen.get(key, now) for key in present}
        if await self._first_lost(volume, placed, index, known):
            return
        for key, copy in sorted(present.items()):
            since = now - memory.seen[key]
            if copy.state is ReplicaState.IN_SYNC:
                if copy.evictions and since >= self.figures.forget_ms:
                    await self._decide(topic, transitions.forget_evictions(sync, copy.zone), known.number)
                    return
                continue
            rest = transitions.rejoin_delay_ms(
                copy.evictions, self.figures.back_least_ms, self.figures.back_most_ms
            )
            if copy.state is ReplicaState.JOINING or not copy.evictions or since >= rest:
                report = await self._repair(volume, placed, index, known, copy.zone)
                if report.rejoined or report.records_copied:
                    self._count("moved", report.records_copied)
                    self._count("back", int(report.rejoined))
                    self.log.info(
                        "copy repaired",
                        topic=topic,
                        zone=copy.zone,
                        back=report.rejoined,
                        moved=report.records_copied,
                        why=report.reason,
                    )
                if report.rejoined or report.records_copied:
                    return

    def _count(self, what: str, by: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + by

    def _words(self, shard: int) -> dict[str, bytes]:
        """Return what the processes that live say of a shard."""
        alive = {(member.name, member.life) for member in self.ground.members() if member.state is Life.ALIVE}
        told = self.ground.gossip.get(f"{REACHABILITY_KEY_PREFIX}{shard}")
        return {origin[0]: word for origin, word in told.items() if tuple(origin[:2]) in alive}

    async def _first_lost(self, volume: str, placed: ReplicaPlacement, index: int, known: KnownSet) -> bool:
        """Move the first copy where it is lost; returns whether something was decided."""
        sync = known.sync
        assert sync is not None
        words = self._words(placed.zones[sync.primary][index])
        gone = reachability.is_lost(words, self.figures.witnesses)
        if not gone and reachability.OTHER_STORE in words.values():
            copy = sync.replica(sync.primary)
            op = w.operation_at(sync, sync.primary, w.OperationKind.INSPECT)
            life = await self._life(volume, placed, index, op)
            gone = copy is not None and life is not None and life != copy.store_id
        if not gone:
            return False
        order = [z for z in m.by_distance(sync.read_zones, sync.primary, self.regions) if z != sync.primary]
        # Where the others are missed as well (all copies drain, say), moving would only shrink the set.
        there = [z for z in order if not reachability.is_lost(self._words(placed.zones[z][index]), 1)]
        if order and not there:
            return False
        new = transitions.replace_primary(sync, sync.primary, there)
        await self._decide(m.set_topic(volume, index), new, known.number)
        self._count("first moved")
        self.log.warning(
            "first copy moved",
            topic=m.set_topic(volume, index),
            lost=sync.primary,
            first=new.primary,
            epoch=new.epoch,
        )
        return True

    async def _found(self, volume: str, placed: ReplicaPlacement, index: int) -> None:
        """Found the set once every copy has told which store it is, and that it knows no set."""
        lives, epochs = {}, []
        first = next(z for z, shards in placed.zones.items() if tuple(shards) == placed.shards)
        for zone in placed.zones:
            reply = await self._send(
                volume, placed, index, w.ReplicaOperation(zone, "", 0, "", w.OperationKind.INSPECT)
            )
            life = header(reply.headers, m.STORE_HEADER) if reply is not None else None
            if reply is None or life is None:
                return
            lives[zone] = life.decode("latin-1")
            epochs.append(int(header(reply.headers, m.EPOCH_HEADER) or b"0"))
        await self._decide(m.set_topic(volume, index), transitions.initial_set(first, lives, epochs), 0)

    async def _decide(self, topic: str, new: InSyncSet, number: int) -> d.Decision:
        found: d.Decision = await self.ground.consensus.decide(
            topic, m.encode_set(new), self.figures.hold_ms, number
        )
        return found

    async def _repair(
        self, volume: str, placed: ReplicaPlacement, index: int, known: KnownSet, zone: str
    ) -> rp.RepairReport:
        assert known.sync is not None
        if placed.zones[zone][index] not in self.nodes:
            return rp.RepairReport(False, 0, "no node")
        plan = rp.repair_replica(known.sync, zone)
        number = known.number
        value: Any = None
        while True:
            try:
                asked = plan.send(value)
            except StopIteration as stop:
                report: rp.RepairReport = stop.value
                return report
            match asked:
                case rp.ProposeSet(_, new):
                    try:
                        number = (await self._decide(m.set_topic(volume, index), new, number)).version
                        value = True
                    except (
                        DecisionConflictError,
                        NoQuorumError,
                        RequestForgottenError,
                        DecisionTooLargeError,
                        InvalidDecisionError,
                    ):
                        value = False
                case _:
                    value = await self._step(volume, placed, index, asked)

    async def _step(self, volume: str, placed: ReplicaPlacement, index: int, asked: rp.Step) -> Any:
        match asked:
            case rp.InspectStore(op):
                return await self._life(volume, placed, index, op)
            case rp.ListMissing(op, since, after):
                more = [
                    (m.MISSING_SINCE_HEADER, str(since).encode()),
                    (m.AFTER_HEADER, after.encode().hex().encode()),
                ]
                reply = await self._send(volume, placed, index, op, more)
                try:
                    return m.decode_page(reply.body) if reply is not None and reply.status == 200 else None
                except InvalidSetError:
                    return None
            case w.PerformOperations(ops):
                gots = []
                for op in ops:
                    reply = await self._send(volume, placed, index, op)
                    if reply is None:
                        gots.append(w.ReplicaResult(may_have_run=True))
                        continue
                    key = op.record.path if op.record is not None else ""
                    gots.append(node_protocol.got(reply, reply.status, reply.headers, key))
                return gots
            case w.FetchRecord(op):
                reply = await self._send(volume, placed, index, op, method=b"GET")
                if reply is None or op.record is None:
                    return None
                got = node_protocol.got(reply, reply.status, reply.headers, op.record.path)
                record = got.record
                if got.rejection is not None or record is None or record.path != op.record.path:
                    return None
                if record.kind != "file":
                    return record, None
                media = header(reply.headers, b"content-type") or b""
                return (
                    (record, node_protocol.Payload(Whole(reply.body), media)) if reply.status == 200 else None
                )
        return None

    async def _life(
        self, volume: str, placed: ReplicaPlacement, index: int, op: w.ReplicaOperation
    ) -> str | None:
        """Return the name of the store at a copy, whichever the set names."""
        reply = await self._send(
            volume, placed, index, w.ReplicaOperation(op.zone, op.role, 0, "", w.OperationKind.INSPECT)
        )
        life = header(reply.headers, m.STORE_HEADER) if reply is not None else None
        return life.decode("latin-1") if life is not None else None

    async def _send(
        self,
        volume: str,
        placed: ReplicaPlacement,
        index: int,
        op: w.ReplicaOperation,
        more: Iterable[tuple[bytes, bytes]] = (),
        method: bytes | None = None,
    ) -> Reply | None:
        """Do one operation at a copy, paced; None where it did not answer."""
        shard = placed.zones[op.zone][index]
        node = self.nodes.get(shard)
        if node is None:
            return None
        await anyio.sleep(self.pace.wait_ms(self.clock()) / 1000)
        key = op.record.path if op.record is not None else f"/{volume}"
        body = op.payload.body if isinstance(op.payload, node_protocol.Payload) else None
        fields: Headers = [*node_protocol.fields(op), *more]
        listed = any(name == m.MISSING_SINCE_HEADER for name, _ in fields)
        name = method or (b"GET" if listed else node_protocol.method(op))
        work = Operation(name, _quoted(key), volume, key, shard, 0, 1.0, headers=fields, body=body)
        self.sent += 1
        trace: Headers = [(b"x-request-id", f"repair-{self.life}-{self.sent};0;0".encode())]
        began = self.clock()
        reply: Reply | None = None
        with anyio.move_on_after(OPERATION_MS / 1000):
            try:
                reply, _ = await self.client.exchange(node, work, trace, AttemptProgress(), may_stream=False)
            except (
                NoConnectionError,
                SentTooLateError,
                ConnectionLostError,
                AnswerTooLarge,
                h11.RemoteProtocolError,
                PayloadTruncatedError,
                OSError,
            ):
                reply = None
        now = self.clock()
        full = reply is not None and reply.status == 503
        self.pace.record_operation(now, now - began, refused=full, load=_load(reply))
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
                    topic = m.set_topic(volume, index)
                    sets_now[topic] = describe(known_set(self.ground.decision_cache, topic))
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
        if placed is None or wish.shard >= len(placed.shards) or wish.zone not in placed.zones:
            raise TransitionNotAllowedError(
                f"there is no copy of {wish.volume}/{wish.shard} in {wish.zone!r}"
            )
        if not wish.accept_loss:
            raise TransitionNotAllowedError(
                "accept_loss is not true: what was acknowledged since may be lost"
            )
        topic = m.set_topic(wish.volume, wish.shard)
        found = await self.ground.consensus.read(topic)
        if found is None:
            raise TransitionNotAllowedError(f"no set stands for {topic}")
        old = m.decode_set(found.value)
        op = w.operation_at(old, wish.zone, w.OperationKind.INSPECT)
        life = await self._life(wish.volume, placed, wish.shard, op)
        if life is None:
            raise TransitionNotAllowedError(f"the copy in {wish.zone!r} cannot be reached")
        decree = await self._decide(topic, transitions.force_primary(old, wish.zone, life), found.number)
        self.log.warning("copy taken over", topic=topic, zone=wish.zone, instead_of=old.primary)
        return describe(KnownSet(m.decode_set(decree.value), decree.version, True)) or {}

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
    field = header(reply.headers, LOAD_HEADER) if reply is not None else None
    if field is None:
        return 0.0
    try:
        value = json.loads(field.removeprefix(b"JSON").strip())
        return float(value.get("cpu_utilization", 0.0))
    except (ValueError, AttributeError, TypeError):
        return 0.0
