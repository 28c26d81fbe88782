"""The WebDAV front: a carrier from HTTP exchanges to compositions and back.

It reads a request, lets the pure parts name the storage operations, has each performed by dispatch, and
passes the one answer on.  It takes no choice about nodes, times or repeats.
"""

from __future__ import annotations

import hashlib
import random
import re
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio
import h11

from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.operation import IncomingPayload, Operation, PayloadTruncatedError, Reply, Result
from cressrock.dispatch.reasons import Reason
from cressrock.dispatch.spool import PayloadStore, Spool, complete_spool
from cressrock.dispatch.task_driver import TaskDriver
from cressrock.dispatch.transport import Denial
from cressrock.http.channel import ConnectionLostError, Headers, header
from cressrock.http.server import Exchange
from cressrock.observe.metrics import Metrics
from cressrock.replication.service import ReplicatedVolumes
from cressrock.replication.shard_request import READ_METHODS, WRITE_METHODS
from cressrock.rollout.evidence import RequestOutcome
from cressrock.rollout.service import VersionChoice
from cressrock.settings.rules import Version
from cressrock.settings.types import Gateway
from cressrock.webdav import compose, xml
from cressrock.webdav.compose import Answer, Call, Site, Volume
from cressrock.webdav.paths import Path
from cressrock.webdav.request import METHODS, InvalidRequestError, Request, read
from cressrock.webdav.xml import D

TEXT: Headers = [(b"content-type", b"text/plain; charset=utf-8")]
_XML_BODY = frozenset({"PROPFIND", "PROPPATCH", "LOCK"})
_LABEL = re.compile(rb"[A-Za-z0-9._-]{1,64}\Z")


def ended_of(answer: Answer) -> RequestOutcome:
    """Return how a request ended, by what its client is shown."""
    if answer.reason is None:
        return RequestOutcome.SERVED
    return RequestOutcome.REJECTED if answer.status in (429, 503) else RequestOutcome.FAILED


def _size(request: Request) -> int | None:
    """Return the size that a request's class goes by."""
    body = request.body
    if isinstance(body, Spool) and body.is_complete:
        return body.size
    return request.length if request.method == "PUT" else 0


class Front:
    """Serves WebDAV exchanges.  `random` makes lock tokens and keys; `new_id` is unique in this process."""

    def __init__(
        self,
        settings: Gateway,
        driver: TaskDriver,
        store: PayloadStore,
        metrics: Metrics,
        *,
        source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """`clock` gives the driver's monotonic milliseconds."""
        self.settings = settings
        self.driver = driver
        self.store = store
        self.metrics = metrics
        self.clock = clock
        self.random = source
        self.open = 0
        self.count = 0
        self.served: Callable[[str], None] | None = None  # told of each request's volume
        self.locked: Callable[[str, str, bool], None] | None = None  # session, lock token, taken or given up
        self.copies: ReplicatedVolumes | None = None  # of the volumes that have some; set by the program
        # Keys must differ between lives of a dispatcher: a rack would drop new work as a repeat.
        self.life = f"{settings.name}-{source.getrandbits(48):012x}"
        self.choose: Callable[[str], VersionChoice[Version]] = lambda volume: (
            self.alone
        )  # by a request's volume
        self.reload(settings)

    def reload(self, settings: Gateway) -> None:
        """Serve by other settings from the next request on."""
        self.settings = settings
        self.alone = VersionChoice(Version(settings), Version(settings))
        volumes = {name: Volume(name, tuple(v.shards)) for name, v in settings.volumes.items()}
        self.site = Site(volumes, self._new_token, settings.front.longest_lock_s)
        self.plans = {name: settings.plan_index(v.plan) for name, v in settings.volumes.items()}

    def _new_token(self) -> str:
        """Make a lock token (RFC 4918 section 6.5: a UUID URN, here version 4)."""
        bits = self.random.getrandbits(128) & ~(0xF << 76) & ~(0x3 << 62) | (4 << 76) | (2 << 62)
        text = f"{bits:032x}"
        return f"urn:uuid:{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}"

    async def handle(self, exchange: Exchange) -> None:
        """Serve one exchange; cancelled when its client has left."""
        self.count += 1
        number = self.count
        given = header(exchange.headers, b"x-request-id")
        label = given.decode() if given and _LABEL.match(given) else f"{self.life}-{number}"
        began = self.clock()
        status = 499
        try:
            status = await self._serve(exchange, f"{number}", label)
        finally:
            method = exchange.head.method.decode("latin-1")
            method = method if method in METHODS else "other"
            self.metrics.child(self.metrics.requests, method, str(status)).inc()
            if self.metrics.log_requests:
                self.metrics.log.info(
                    "request",
                    request=label,
                    method=exchange.head.method.decode("latin-1"),
                    target=exchange.head.target.decode("latin-1")[:256],
                    status=status,
                    ms=round(self.clock() - began, 2),
                )

    async def _serve(self, exchange: Exchange, name: str, label: str) -> int:
        settings = self.settings
        front = settings.front
        try:
            request = read(
                exchange.head.method,
                exchange.head.target,
                exchange.headers,
                max_put_bytes=front.max_put_bytes,
            )
            if request.path is not None and request.path.volume not in self.site.volumes:
                raise InvalidRequestError(404, f"there is no volume {request.path.volume!r}")
            if self.served is not None and request.path is not None:
                self.served(request.path.volume)
            if self.copies is not None and self._beyond_copies(request, self.copies):
                raise InvalidRequestError(501, f"{request.method} is not offered on a volume with copies")
            if self.open >= front.max_requests:
                return await self._answer(
                    exchange,
                    compose.denied(Denial(Verdict.REJECTED, Reason.FULL, front.retry_after_ms)),
                    label,
                )
            if request.method in _XML_BODY:
                request.content = await self._xml(exchange, request)
        except InvalidRequestError as wrong:
            exchange.close_after = exchange.close_after or wrong.status in (400, 413, 501)
            return await self._answer(exchange, Answer(wrong.status, TEXT, f"{wrong}\n".encode()), label)
        if request.method == "OPTIONS" or request.path is None:
            return await self._answer(exchange, self._root(request), label)
        self.open += 1
        spools: list[Spool] = []
        try:
            if request.method == "PUT":
                return await self._with_body(exchange, request, name, label, spools)
            answer = await self._compose(request, name, label, spools)
            if self.locked is not None and request.method in ("LOCK", "UNLOCK") and answer.status < 300:
                self._tell_lock(exchange, request, answer)
            return await self._answer(exchange, answer, label)
        finally:
            self.open -= 1
            for spool in spools:
                spool.close()

    def _tell_lock(self, exchange: Exchange, request: Request, answer: Answer) -> None:
        """Say which presence session took or gave up a lock here, if the client names its session."""
        session = header(exchange.headers, b"presence-session")
        given = header(answer.headers, b"lock-token")
        lock = (given.decode("latin-1") if given else request.headers.get("lock-token", "")).strip("<> ")
        if session and lock and self.locked is not None:
            self.locked(session.decode("latin-1"), lock, request.method == "LOCK")

    @staticmethod
    def _beyond_copies(request: Request, copies: ReplicatedVolumes) -> bool:
        """Whether a request would write what copies do not take over: see docs/copies.md."""
        paths = [p for p in (request.path, request.destination) if p is not None]
        known = any(copies.is_replicated(p.volume) for p in paths)
        return known and request.method not in READ_METHODS | WRITE_METHODS

    async def _xml(self, exchange: Exchange, request: Request) -> bytes:
        """Read an XML body and check it, before anything is asked of a node."""
        front = self.settings.front
        parts: list[bytes] = []
        size = 0
        while data := await exchange.read():
            size += len(data)
            if size > front.max_xml_bytes:
                raise InvalidRequestError(413, f"an XML body may have at most {front.max_xml_bytes} bytes")
            parts.append(data)
        content = b"".join(parts)
        bounds = {"max_bytes": front.max_xml_bytes, "max_depth": front.max_xml_depth}
        try:
            if request.method == "PROPFIND":
                xml.propfind(content, **bounds)
            elif request.method == "PROPPATCH":
                xml.proppatch(content, **bounds)
            else:
                xml.lockinfo(content, **bounds)
        except xml.InvalidXMLError as wrong:
            raise InvalidRequestError(400, str(wrong)) from None
        return content

    def _root(self, request: Request) -> Answer:
        """Answer what needs no node: OPTIONS anywhere, and the server's root, which lists the volumes."""
        if request.method == "OPTIONS":
            allow = ", ".join(METHODS).encode()
            return Answer(200, [(b"dav", b"1, 2, 3"), (b"allow", allow), (b"ms-author-via", b"DAV")])
        if request.method in ("GET", "HEAD"):
            rows = "".join(f'<li><a href="/{v}/">{v}</a></li>' for v in sorted(self.site.volumes))
            text = f"<!doctype html><title>volumes</title><ul>{rows}</ul>".encode()
            return Answer(200, [(b"content-type", b"text/html; charset=utf-8")], text)
        if request.method != "PROPFIND":
            return Answer(405, [(b"allow", b"OPTIONS, GET, HEAD, PROPFIND")])
        if request.depth == "infinity":
            return Answer(403, [(b"content-type", xml.XML_TYPE)], xml.error(D + "propfind-finite-depth"))
        asked = xml.propfind(request.content)
        hrefs = ["/"] + ([f"/{v}/" for v in sorted(self.site.volumes)] if request.depth == "1" else [])
        body = xml.write_multistatus(xml.plain_collection(href, asked) for href in hrefs)
        return Answer(207, [(b"content-type", xml.XML_TYPE)], body)

    # --- payloads

    async def _with_body(
        self, exchange: Exchange, request: Request, name: str, label: str, spools: list[Spool]
    ) -> int:
        """Take a PUT's payload: a small one is here in whole first, a large one streams on as it comes."""
        spool = Spool(self.store, request.length)
        spools.append(spool)
        request.body = spool
        gather = self.settings.front.gather_bytes
        if request.length is None or request.length <= gather:
            while spool.size <= gather:
                data = await exchange.read()
                if not data:
                    spool.finish()
                    break
                spool.append(data)
        if spool.is_complete:
            return await self._answer(exchange, await self._compose(request, name, label, spools), label)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, exchange, spool)
            answer = await self._compose(request, name, label, spools)
            tasks.cancel_scope.cancel()
        # An answer before the end of the payload: the rest is not wanted, the connection not reusable.
        exchange.close_after = exchange.close_after or not exchange.read_all
        return await self._answer(exchange, answer, label)

    async def _receive(self, exchange: Exchange, spool: Spool) -> None:
        """Follow a payload to its end; readers of a broken one see that it was cut."""
        try:
            while data := await exchange.read():
                if spool.size + len(data) > self.settings.front.max_put_bytes:
                    spool.fail()
                    return
                spool.append(data)
            spool.finish()
        except (ConnectionLostError, h11.RemoteProtocolError, OSError):
            spool.fail()

    # --- the composition

    async def _compose(self, request: Request, name: str, label: str, spools: list[Spool]) -> Answer:
        """Have a request answered by one version of the rules, chosen here and now."""
        assert request.path is not None
        choice, since, ended = self.choose(request.path.volume), self.clock(), RequestOutcome.CLIENT_LEFT
        if choice.on_complete is None:
            return await self._by(choice.version, request, name, label, spools)
        cls = choice.good.settings.class_of(request.method, _size(request))
        try:
            answer = await self._by(choice.version, request, name, label, spools)
            ended = ended_of(answer)
            return answer
        finally:
            choice.on_complete(cls, ended, self.clock() - since)

    async def _by(
        self, version: Version, request: Request, name: str, label: str, spools: list[Spool]
    ) -> Answer:
        settings = version.settings
        cls = settings.classes[settings.class_of(request.method, _size(request))]
        patience = cls.deadline_ms
        if request.wait_s is not None:
            patience = min(request.wait_s, self.settings.front.longest_wait_s) * 1000
        since = self.clock()
        deadline = since + max(0.0, patience - self.settings.front.answer_margin_ms)
        steps = compose.compose(request, self.site)
        results: list[Result] | None = None
        number = 0
        try:
            while True:
                calls = next(steps) if results is None else steps.send(results)
                operations = [
                    (number + i, self._operation(version, call, request, name, number + i, spools))
                    for i, call in enumerate(calls)
                ]
                number += len(calls)
                if len(operations) == 1:
                    only = await self._perform(calls[0], name, *operations[0], deadline, since, label, spools)
                    results = [only]
                    continue
                found: dict[int, Result] = {}

                async def one(call: Call, index: int, op: Operation, into: dict[int, Result]) -> None:
                    into[index] = await self._perform(call, name, index, op, deadline, since, label, spools)

                async with anyio.create_task_group() as tasks:
                    for call, (index, op) in zip(calls, operations, strict=True):
                        tasks.start_soon(one, call, index, op, found)
                results = [found[index] for index, _ in operations]
        except StopIteration as stop:
            answer: Answer = stop.value
            return answer

    async def _perform(
        self,
        call: Call,
        name: str,
        index: int,
        op: Operation,
        deadline: float,
        since: float,
        label: str,
        spools: list[Spool],
    ) -> Result:
        if self.copies is not None and self.copies.is_replicated(op.volume):
            return await self._copied(self.copies, call, name, index, op, deadline, since, label, spools)
        result = await self.driver.perform(name, index, op, deadline, label, since)
        if isinstance(result, Reply) and call.collect and result.stream is not None:
            return await self._collect(result, result.stream, spools)
        return result

    async def _copied(
        self,
        copies: ReplicatedVolumes,
        call: Call,
        name: str,
        index: int,
        op: Operation,
        deadline: float,
        since: float,
        label: str,
        spools: list[Spool],
    ) -> Result:
        """Perform an operation on a volume with copies: several, each an ordinary one."""
        count = 0

        async def send(
            shard: int,
            method: bytes | None,
            key: str | None,
            headers: Headers,
            body: Any,
            deadline: float,
            *,
            collect: bool = False,
        ) -> Result:
            nonlocal count
            count += 1
            number = (index + 1) * 1000 + count
            if method is None:
                made = replace(call, shard=shard, headers=[*call.headers, *headers])
            else:
                path = call.path if key is None else Path(*_split(key))
                made = Call(method.decode(), path, shard, headers, body, collect=collect)
            one = replace(
                op,
                method=made.method.encode(),
                target=_target(made.path),
                shard=shard,
                headers=list(made.headers),
                body=op.body if method is None else None,
            )
            if method is not None:
                one = self._one_of_copies(op, made, one, number, spools)
            elif op.idempotency_key:
                one = replace(one, idempotency_key=_key(f"{op.idempotency_key}#{shard}"))
            result = await self.driver.perform(name, number, one, deadline, label, since)
            if isinstance(result, Reply) and made.collect and result.stream is not None:
                return await self._collect(result, result.stream, spools)
            return result

        kind = next((v for k, v in call.headers if k == b"content-type"), b"")
        return await copies.perform(
            op.volume, op.shard, op.key, call.method, op.units, op.body, kind, send, deadline
        )

    def _one_of_copies(
        self, op: Operation, call: Call, one: Operation, number: int, spools: list[Spool]
    ) -> Operation:
        """Return an operation that brings a copy up to another, or looks at it, in its own class."""
        body = call.body
        if isinstance(body, bytes):
            body = complete_spool(self.store, body)
            spools.append(body)
        size = 0 if body is None else body.length
        index = self.settings.class_of(call.method, size)
        key = ""
        if self.settings.classes[index].effect == "keyed":
            key = _key(f"{op.idempotency_key or self.life + op.key}#{call.path.key}#{call.shard}#{number}")
        return replace(
            one,
            key=call.path.key,
            request_class=index,
            units=self.settings.units_of(size),
            body=body,
            idempotency_key=key,
            stream=call.collect,
        )

    async def _collect(self, reply: Reply, stream: IncomingPayload, spools: list[Spool]) -> Result:
        """Keep an answer's payload, to be sent on to another shard."""
        length = header(reply.headers, b"content-length")
        spool = Spool(self.store, int(length) if length is not None else None)
        spools.append(spool)
        try:
            while data := await stream.read_chunk():
                spool.append(bytes(data))
        except (PayloadTruncatedError, OSError):
            return Denial(Verdict.FAILED, Reason.ATTEMPTS)
        finally:
            stream.abandon()
        spool.finish()
        return Reply(reply.status, reply.headers, payload=spool)

    def _operation(
        self, version: Version, call: Call, request: Request, name: str, number: int, spools: list[Spool]
    ) -> Operation:
        settings = self.settings
        body = call.body
        if isinstance(body, bytes):
            body = complete_spool(self.store, body)
            spools.append(body)
        size = 0 if body is None else body.length
        volume = call.path.volume
        index = version.settings.class_of(call.method, size)
        key = ""
        if settings.classes[index].effect == "keyed":
            # One for each storage operation: a client's own key, or one of this life, and the step.
            base = f"{volume}/{request.key}" if request.key else f"{self.life}/{name}"
            shape = f"{base}#{call.method}#{call.path.key}#{call.shard}#{number}"
            key = _key(shape)
        return Operation(
            method=call.method.encode(),
            target=_target(call.path),
            volume=volume,
            key=call.path.key,
            shard=call.shard,
            request_class=index + version.classes_at,
            units=settings.units_of(size),
            plan=self.plans[volume] + version.plans_at,
            dispatcher_count=settings.volumes[volume].writers,
            headers=list(call.headers),
            body=body,
            idempotency_key=key,
            stream=call.stream or call.collect,
        )

    # --- the answer

    async def _answer(self, exchange: Exchange, answer: Answer, label: str) -> int:
        headers: Headers = [*answer.headers, (b"x-request-id", label.encode())]
        body = answer.body
        if answer.reason is not None:
            headers.append((b"cressrock-reason", answer.reason.value.encode()))
            if not body and answer.status not in (204, 304):
                headers.extend(TEXT)
                body = f"{answer.reason.value}\n".encode()
        if answer.stream is None:
            await exchange.respond(answer.status, headers, body)
            return answer.status
        await self._stream(exchange, answer.status, headers, answer.stream)
        return answer.status

    async def _stream(
        self, exchange: Exchange, status: int, headers: Headers, stream: IncomingPayload
    ) -> None:
        """Pass a payload on; where the node breaks off, the client's connection is cut too."""
        try:
            await exchange.start(status, headers)
            while data := await stream.read_chunk():
                await exchange.send(data)
            await exchange.finish()
        except PayloadTruncatedError as cut:
            raise ConnectionLostError("the node broke off its answer") from cut
        except h11.LocalProtocolError as short:
            raise ConnectionLostError("the node's answer is shorter than it announced") from short
        finally:
            stream.abandon()


def _target(path: Path) -> bytes:
    return (path.href + ("/" if not path.segments else "")).encode()


def _key(shape: str) -> str:
    return hashlib.blake2b(shape.encode(), digest_size=18).hexdigest()


def _split(key: str) -> tuple[str, tuple[str, ...]]:
    """Read a path's key back."""
    _, volume, *segments = key.split("/")
    return volume, tuple(segments)
