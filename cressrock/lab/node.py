"""A storage node, as a stand-in: HTTP/WebDAV on any byte stream, a performance model, and faults.

Work that was taken goes on whatever becomes of its connection, as on real nodes.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import anyio
import h11
import msgspec
from anyio.abc import TaskGroup

from cressrock.dispatch.node_response import ELSEWHERE_METRIC, USED_METRIC
from cressrock.dispatch.operation import Body
from cressrock.dispatch.spool import PayloadStore, Spool
from cressrock.http.channel import Headers, Stream, header
from cressrock.http.server import Exchange, Server, ServerBounds
from cressrock.lab.model import Meter, Performance
from cressrock.lab.rack import Done, Rack, Shared, Task, hold
from cressrock.lab.trace import Row
from cressrock.replication.headers import REJECTED_HEADER
from cressrock.webdav.paths import InvalidPathError, parse

WRITES = frozenset({"PUT", "DELETE", "MKCOL", "COPY", "MOVE", "PROPPATCH", "LOCK", "UNLOCK"})


@dataclass(slots=True)
class Faults:
    """What is wrong with a node at the moment; chances are from 0 to 1 for each request."""

    slow: float = 1.0
    hung: bool = False  # takes requests, answers nothing
    refusing: bool = False  # turns everything away, unseen
    errors: float = 0.0  # quick 500s without any work
    lost: float = 0.0  # the work runs, the answer never comes
    reset: float = 0.0  # the connection breaks in mid-answer, after the work
    truncated: float = 0.0  # the answer ends before its announced length
    report_late_ms: float = 0.0
    blind: frozenset[str] = frozenset()  # dispatchers that get no answer, as over a cut way


@dataclass(frozen=True, slots=True)
class Rates:
    """What a node knows of the plans, for the metered use: each volume's rate in units a second."""

    rates: dict[str, float] = field(default_factory=dict)


class Node:
    """One node process.  Several may share a rack, one after the other."""

    def __init__(
        self,
        name: str,
        rack: Rack,
        performance: Performance | None,
        meter: Meter,
        rates: Rates,
        store: PayloadStore,
        tasks: TaskGroup,
        *,
        clock: Callable[[], float],
        wall_ms: Callable[[], float],
        seed: int,
        record: Callable[[Row], None] | None = None,
        refresh_ms: float = 200.0,
    ) -> None:
        """`performance` None answers at once.  `tasks` owns the work, which outlives connections."""
        self.name = name
        self.rack = rack
        self.performance = performance
        self.meter = meter
        self.rates = rates
        self.store = store
        self.tasks = tasks
        self.clock = clock
        self.wall_ms = wall_ms
        self.random = random.Random(seed)
        self.record = record
        self.refresh_ms = refresh_ms
        self.faults = Faults()
        self.dead = False
        self.server = Server(
            self.handle, ServerBounds(idle_timeout_ms=600000), max_connections=20000, failed=_raise
        )
        self._told_elsewhere: dict[tuple[str, str], float] = {}
        self._volume_units: dict[str, float] = {}
        self._by_dispatcher: dict[tuple[str, str], float] = {}
        self._reports: tuple[float, dict[str, float]] = (-1e9, {})

    def fault(self, **changes: float | bool | frozenset[str]) -> None:
        """Change what is wrong with the node, and note it in the trace."""
        self.faults = replace(self.faults, **changes)  # type: ignore[arg-type]
        for name, value in changes.items():
            self.note(f"{name}={value}")

    def note(self, what: str) -> None:
        """Enter a change of the node's state in the trace."""
        if self.record is not None:
            self.record(
                Row(self.clock(), "node", "fault", node=self.name, shard=self.rack.shard, detail=what)
            )

    async def serve(self, stream: Stream) -> None:
        """Serve one connection."""
        await self.server.serve(stream)

    def _row(self, what: str, base: Row, status: int = 0, detail: str = "") -> None:
        if self.record is not None:
            self.record(
                Row(
                    self.clock(),
                    "node",
                    what,
                    base.dispatcher,
                    self.name,
                    self.rack.shard,
                    base.request,
                    base.operation,
                    base.attempt,
                    base.method,
                    base.path,
                    base.units,
                    status,
                    base.key,
                    0.0,
                    detail,
                )
            )

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        base = self._base(exchange)
        self._row("came", base)
        answered = False
        try:
            answered = await self._serve(exchange, base)
        finally:
            if not answered:
                self._row("closed", base)

    def _base(self, exchange: Exchange) -> Row:
        name = (header(exchange.headers, b"x-request-id") or b"").decode("latin-1").split(";")
        operation, attempt = (int(name[1]), int(name[2])) if len(name) == 3 else (-1, -1)
        agent = (header(exchange.headers, b"user-agent") or b"").decode("latin-1")
        return Row(
            self.clock(),
            "node",
            "came",
            agent.removeprefix("cressrock/"),
            request=name[0],
            operation=operation,
            attempt=attempt,
            method=exchange.head.method.decode("latin-1"),
            path=exchange.head.target.decode("latin-1"),
            units=float(header(exchange.headers, b"cressrock-units") or 1),
            key=(header(exchange.headers, b"idempotency-key") or b"").decode("latin-1"),
        )

    async def _serve(self, exchange: Exchange, base: Row) -> bool:
        body, content = await self._receive(exchange)
        faults = self.faults
        if faults.hung or base.dispatcher in faults.blind:
            await anyio.sleep_forever()
        if faults.refusing:
            _release(body)
            return await self._refuse(exchange, base)
        if faults.errors and self.random.random() < faults.errors:
            await exchange.respond(500, [], b"error\n")
            self._row("answered", base, 500)
            return True
        try:
            path = parse(base.path)
        except InvalidPathError as wrong:
            await exchange.respond(400, [], str(wrong).encode())
            return True
        task = Task(
            base.method,
            path,
            {k.decode(): v.decode("latin-1") for k, v in exchange.headers},
            body,
            content,
            self.wall_ms(),
        )
        known, done = self.rack.recall(base.key, self.clock()) if base.key else (False, None)
        if known:
            # A repeat is dropped: it waits for the first one's answer and gets that.
            _release(body)
            while done is None:
                await anyio.sleep(0.005)
                known, done = self.rack.recall(base.key, self.clock())
                if not known:
                    await anyio.sleep_forever()
        else:
            finished = self._take(base, task)
            if finished is None:
                _release(body)
                return await self._refuse(exchange, base)
            try:
                await finished.event.wait()
            except BaseException:
                finished.abandon()
                raise
            done = finished.result
        if done is None:
            await anyio.sleep_forever()
        assert done is not None
        return await self._respond(exchange, base, path.volume, done)

    async def _receive(self, exchange: Exchange) -> tuple[Body | None, bytes]:
        if exchange.head.method == b"PUT":
            length = header(exchange.headers, b"content-length")
            spool = Spool(self.store, int(length) if length else None)
            try:
                while data := await exchange.read():
                    await spool.append(data)
            except BaseException:
                spool.close()
                raise
            spool.finish()
            return spool, b""
        parts = []
        while data := await exchange.read():
            parts.append(data)
        return None, b"".join(parts)

    def _take(self, base: Row, task: Task) -> _Finished | None:
        """Take work in, unless the queue is full; from here on it runs to its end."""
        now = self.clock()
        done_ms: float | None = now
        if self.performance is not None:
            self.performance.slow = self.faults.slow
            verdict = self.performance.offer(now, base.units, base.path, writes=base.method in WRITES)
            done_ms = verdict.done_ms
            if self.performance.fallen and not self.dead:
                self.dead = True
                self._row("down", base, detail="pushed over while cold")
        if done_ms is None:
            return None
        if base.key:
            self.rack.remember(base.key, now, None)
        finished = _Finished()
        if done_ms <= now:
            self._run(base, task, finished)
        else:
            self.tasks.start_soon(self._work, base, task, done_ms, finished)
        return finished

    async def _work(self, base: Row, task: Task, done_ms: float, finished: _Finished) -> None:
        await anyio.sleep(max(0.0, done_ms - self.clock()) / 1000)
        if not self.dead:
            self._run(base, task, finished)

    def _run(self, base: Row, task: Task, finished: _Finished) -> None:
        done = self.rack.execute(task)
        refused = any(name == REJECTED_HEADER for name, _ in done.headers)
        if not refused:
            self._row("ran", base, done.status)
        if base.key and refused:
            self.rack.forget(base.key)  # nothing ran: under a newer set it may be asked again
        elif base.key:
            self.rack.remember(base.key, self.clock(), _without_payload(done))
        now, volume = self.clock(), task.path.volume
        self.meter.served(now, volume, base.units)
        self._volume_units[volume] = self._volume_units.get(volume, 0.0) + base.units
        own = (base.dispatcher, volume)
        self._by_dispatcher[own] = self._by_dispatcher.get(own, 0.0) + base.units
        if done.status not in (201, 204):
            _release(task.body)
        if done.payload is not None and not finished.abandoned:
            hold(done.payload[0])
        finished.finish(done)

    async def _refuse(self, exchange: Exchange, base: Row) -> bool:
        await exchange.respond(503, [(b"retry-after", b"1")], b"full\n")
        self._row("answered", base, 503, "unseen")
        return True

    async def _respond(self, exchange: Exchange, base: Row, volume: str, done: Done) -> bool:
        faults = self.faults
        payload = done.payload
        try:
            if faults.lost and self.random.random() < faults.lost:
                await anyio.sleep_forever()
            headers = [*done.headers, self._load(base, volume)]
            if payload is None:
                return await self._whole(exchange, base, done, headers)
            body, first, last = payload
            headers.append((b"content-length", str(last - first).encode()))
            await exchange.start(done.status, headers)
            if exchange.head.method != b"HEAD":
                end = last
                if self._broken():
                    end = first + (last - first) // 2
                while first < end:
                    data = (await body.read_chunk(first))[: end - first]
                    await exchange.send(data)
                    first += len(data)
                if end < last:
                    return False
            await exchange.finish()
            self._row("answered", base, done.status)
            return True
        finally:
            if payload is not None:
                _release(payload[0])

    def _broken(self) -> bool:
        faults = self.faults
        chance = faults.reset + faults.truncated
        return bool(chance) and self.random.random() < chance

    async def _whole(self, exchange: Exchange, base: Row, done: Done, headers: Headers) -> bool:
        if self._broken():
            if self.random.random() < 0.5:
                fields = [*headers, (b"content-length", str(len(done.content) + 10).encode())]
                await exchange.channel.send(h11.Response(status_code=done.status, headers=fields))
            return False
        await exchange.respond(done.status, headers, done.content)
        self._row("answered", base, done.status)
        return True

    def _load(self, base: Row, volume: str) -> tuple[bytes, bytes]:
        """Write the ORCA report: refreshed now and then, and late."""
        now = self.clock()
        at, _ = self._reports
        if self.performance is not None and now - at >= self.refresh_ms + self.faults.report_late_ms:
            held = self.performance.held(now)
            busy = min(1.0, held / self.performance.machine.cores)
            self._reports = (now, {"cpu_utilization": busy, "inflight": float(held)})
        report = dict(self._reports[1])
        own = (base.dispatcher, volume)
        elsewhere = self._volume_units.get(volume, 0.0) - self._by_dispatcher.get(own, 0.0)
        told = self._told_elsewhere.get(own, 0.0)
        self._told_elsewhere[own] = elsewhere
        used = self.meter.used(now, volume, self.rates.rates.get(volume, 0.0))
        value = {
            "cpu_utilization": report.get("cpu_utilization", 0.0),
            "named_metrics": {
                USED_METRIC: used,
                ELSEWHERE_METRIC: elsewhere - told,
                "inflight": report.get("inflight", 0.0),
            },
        }
        return (b"endpoint-load-metrics", b"JSON " + msgspec.json.encode(value))


class _Finished:
    """Work that somebody may wait for."""

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.result: Done | None = None
        self.abandoned = False

    def finish(self, done: Done) -> None:
        self.result = done
        self.event.set()

    def abandon(self) -> None:
        """Say that nobody will pass the answer on."""
        self.abandoned = True
        if self.result is not None and self.result.payload is not None:
            _release(self.result.payload[0])


def _release(body: Body | None) -> None:
    if isinstance(body, (Spool, Shared)):
        body.close()


def _without_payload(done: Done) -> Done:
    return Done(done.status, done.headers, done.content)


def _raise(error: BaseException) -> None:
    raise error
