"""The WebDAV front: serves HTTP exchanges by running compositions.

It parses a request, runs the composition that yields the storage operations, has dispatch perform each of
them, and sends the answer.  Dispatch decides about nodes, timing and retries.
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
from cressrock.webdav.compose import Answer, Call, CompositionContext, Volume
from cressrock.webdav.paths import Path
from cressrock.webdav.request import METHODS, InvalidRequestError, Request, read
from cressrock.webdav.xml import D

TEXT_HEADERS: Headers = [(b"content-type", b"text/plain; charset=utf-8")]
_XML_BODY = frozenset({"PROPFIND", "PROPPATCH", "LOCK"})
_REQUEST_LABEL = re.compile(rb"[A-Za-z0-9._-]{1,64}\Z")


def request_outcome(answer: Answer) -> RequestOutcome:
    """Return the outcome of a request, derived from the answer that its client gets."""
    if answer.reason is None:
        return RequestOutcome.SERVED
    return RequestOutcome.REJECTED if answer.status in (429, 503) else RequestOutcome.FAILED


def _class_size_bytes(request: Request) -> int | None:
    """Return the payload size in bytes that selects a request's class; None if unknown (chunked)."""
    body = request.body
    if isinstance(body, Spool) and body.is_complete:
        return body.size
    return request.length if request.method == "PUT" else 0


class Front:
    """Serves WebDAV exchanges.  `random` generates lock tokens and the prefix of idempotency keys."""

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
        """`clock` returns the driver's monotonic time in milliseconds."""
        self.settings = settings
        self.driver = driver
        self.store = store
        self.metrics = metrics
        self.clock = clock
        self.random = source
        self.open = 0
        self.request_count = 0
        self.served: Callable[[str], None] | None = None  # called with the volume of each request
        self.locked: Callable[[str, str, bool], None] | None = None  # session, lock token, whether locked
        self.copies: ReplicatedVolumes | None = None  # replicated volumes, set by the program
        # Keys must differ between runs of a dispatcher: a rack would drop a new operation as a duplicate.
        self.run_id = f"{settings.name}-{source.getrandbits(48):012x}"
        self.choose: Callable[[str], VersionChoice[Version]] = lambda volume: (
            self.single_version_choice
        )  # argument: the request's volume
        self.reload(settings)

    def reload(self, settings: Gateway) -> None:
        """Use new settings, from the next request on."""
        self.settings = settings
        self.single_version_choice = VersionChoice(Version(settings), Version(settings))
        volumes = {name: Volume(name, tuple(v.shards)) for name, v in settings.volumes.items()}
        self.context = CompositionContext(volumes, self._new_token, settings.front.longest_lock_s)
        self.plans = {name: settings.plan_index(v.plan) for name, v in settings.volumes.items()}

    def _new_token(self) -> str:
        """Generate a lock token (RFC 4918 section 6.5: a UUID URN, here version 4)."""
        bits = self.random.getrandbits(128) & ~(0xF << 76) & ~(0x3 << 62) | (4 << 76) | (2 << 62)
        text = f"{bits:032x}"
        return f"urn:uuid:{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}"

    async def handle(self, exchange: Exchange) -> None:
        """Serve one exchange; cancelled when its client disconnects."""
        self.request_count += 1
        number = self.request_count
        client_label = header(exchange.headers, b"x-request-id")
        label = (
            client_label.decode()
            if client_label and _REQUEST_LABEL.match(client_label)
            else f"{self.run_id}-{number}"
        )
        started_ms = self.clock()
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
                    ms=round(self.clock() - started_ms, 2),
                )

    async def _serve(self, exchange: Exchange, request_number: str, label: str) -> int:
        settings = self.settings
        front = settings.front
        try:
            request = read(
                exchange.head.method,
                exchange.head.target,
                exchange.headers,
                max_put_bytes=front.max_put_bytes,
            )
            if request.path is not None and request.path.volume not in self.context.volumes:
                raise InvalidRequestError(404, f"there is no volume {request.path.volume!r}")
            if self.served is not None and request.path is not None:
                self.served(request.path.volume)
            if self.copies is not None and self._is_unsupported_on_replicas(request, self.copies):
                raise InvalidRequestError(501, f"{request.method} is not offered on a volume with copies")
            if self.open >= front.max_requests:
                return await self._answer(
                    exchange,
                    compose.denied(Denial(Verdict.REJECTED, Reason.FULL, front.retry_after_ms)),
                    label,
                )
            if request.method in _XML_BODY:
                request.content = await self._read_xml(exchange, request)
        except InvalidRequestError as exc:
            exchange.close_after = exchange.close_after or exc.status in (400, 413, 501)
            return await self._answer(exchange, Answer(exc.status, TEXT_HEADERS, f"{exc}\n".encode()), label)
        if request.method == "OPTIONS" or request.path is None:
            return await self._answer(exchange, self._answer_without_node(request), label)
        self.open += 1
        spools: list[Spool] = []
        try:
            if request.method == "PUT":
                return await self._serve_put(exchange, request, request_number, label, spools)
            answer = await self._compose(request, request_number, label, spools)
            if self.locked is not None and request.method in ("LOCK", "UNLOCK") and answer.status < 300:
                self._report_lock(exchange, request, answer)
            return await self._answer(exchange, answer, label)
        finally:
            self.open -= 1
            for spool in spools:
                spool.close()

    def _report_lock(self, exchange: Exchange, request: Request, answer: Answer) -> None:
        """Report a lock or unlock by a presence session, if the client names its session."""
        session = header(exchange.headers, b"presence-session")
        lock_header = header(answer.headers, b"lock-token")
        lock = (
            lock_header.decode("latin-1") if lock_header else request.headers.get("lock-token", "")
        ).strip("<> ")
        if session and lock and self.locked is not None:
            self.locked(session.decode("latin-1"), lock, request.method == "LOCK")

    @staticmethod
    def _is_unsupported_on_replicas(request: Request, copies: ReplicatedVolumes) -> bool:
        """Whether a replicated volume does not support the method: see docs/copies.md."""
        paths = [p for p in (request.path, request.destination) if p is not None]
        known = any(copies.is_replicated(p.volume) for p in paths)
        return known and request.method not in READ_METHODS | WRITE_METHODS

    async def _read_xml(self, exchange: Exchange, request: Request) -> bytes:
        """Read and validate an XML body, before any storage operation starts."""
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
        except xml.InvalidXMLError as exc:
            raise InvalidRequestError(400, str(exc)) from None
        return content

    def _answer_without_node(self, request: Request) -> Answer:
        """Answer requests that need no node: OPTIONS, and the server's root, which lists the volumes."""
        if request.method == "OPTIONS":
            allow = ", ".join(METHODS).encode()
            return Answer(200, [(b"dav", b"1, 2, 3"), (b"allow", allow), (b"ms-author-via", b"DAV")])
        if request.method in ("GET", "HEAD"):
            rows = "".join(f'<li><a href="/{v}/">{v}</a></li>' for v in sorted(self.context.volumes))
            text = f"<!doctype html><title>volumes</title><ul>{rows}</ul>".encode()
            return Answer(200, [(b"content-type", b"text/html; charset=utf-8")], text)
        if request.method != "PROPFIND":
            return Answer(405, [(b"allow", b"OPTIONS, GET, HEAD, PROPFIND")])
        if request.depth == "infinity":
            return Answer(403, [(b"content-type", xml.XML_TYPE)], xml.error(D + "propfind-finite-depth"))
        requested = xml.propfind(request.content)
        hrefs = ["/"] + ([f"/{v}/" for v in sorted(self.context.volumes)] if request.depth == "1" else [])
        body = xml.write_multistatus(xml.virtual_collection_response(href, requested) for href in hrefs)
        return Answer(207, [(b"content-type", xml.XML_TYPE)], body)

    # --- payloads

    async def _serve_put(
        self, exchange: Exchange, request: Request, request_number: str, label: str, spools: list[Spool]
    ) -> int:
        """Serve a PUT: a payload of up to `gather_bytes` is read whole first, a larger one is streamed."""
        spool = Spool(self.store, request.length)
        spools.append(spool)
        request.body = spool
        unstored = await self._gather(exchange, request, spool)
        if spool.is_complete:
            return await self._answer(
                exchange, await self._compose(request, request_number, label, spools), label
            )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, exchange, spool, unstored)
            answer = await self._compose(request, request_number, label, spools)
            tasks.cancel_scope.cancel()
        # After an answer before the end of the payload, unread data makes the connection unusable.
        exchange.close_after = exchange.close_after or not exchange.read_all
        return await self._answer(exchange, answer, label)

    async def _gather(self, exchange: Exchange, request: Request, spool: Spool) -> bytes:
        """Read a payload of up to `gather_bytes`, as far as it fits in memory.

        Returns what was read and did not fit.  It is stored while the request is served, so that a request
        that waits for a disk is answered by its deadline.
        """
        limit_bytes = self.settings.front.gather_bytes
        if request.length is not None and request.length > limit_bytes:
            return b""
        while spool.size <= limit_bytes:
            data = await exchange.read()
            if not data:
                spool.finish()
                return b""
            if not spool.fits_in_memory(len(data)):
                return data
            spool.append_in_memory(data)
        return b""

    async def _receive(self, exchange: Exchange, spool: Spool, data: bytes) -> None:
        """Store `data` and the rest of a payload; the spool fails if it ends early or is too large."""
        try:
            while data := data or await exchange.read():
                if spool.size + len(data) > self.settings.front.max_put_bytes:
                    spool.fail()
                    return
                await spool.append(data)
                data = b""
            spool.finish()
        except (ConnectionLostError, h11.RemoteProtocolError, OSError):
            spool.fail()

    # --- the composition

    async def _compose(
        self, request: Request, request_number: str, label: str, spools: list[Spool]
    ) -> Answer:
        """Choose a version of the rules, run the composition with it, and report the outcome if required."""
        assert request.path is not None
        choice, start_ms, outcome = self.choose(request.path.volume), self.clock(), RequestOutcome.CLIENT_LEFT
        if choice.on_complete is None:
            return await self._compose_with_version(choice.version, request, request_number, label, spools)
        cls = choice.good.settings.class_of(request.method, _class_size_bytes(request))
        try:
            answer = await self._compose_with_version(choice.version, request, request_number, label, spools)
            outcome = request_outcome(answer)
            return answer
        finally:
            choice.on_complete(cls, outcome, self.clock() - start_ms)

    async def _compose_with_version(
        self, version: Version, request: Request, request_number: str, label: str, spools: list[Spool]
    ) -> Answer:
        settings = version.settings
        cls = settings.classes[settings.class_of(request.method, _class_size_bytes(request))]
        timeout_ms = cls.deadline_ms
        if request.wait_s is not None:
            timeout_ms = min(request.wait_s, self.settings.front.longest_wait_s) * 1000
        start_ms = self.clock()
        deadline_ms = start_ms + max(0.0, timeout_ms - self.settings.front.answer_margin_ms)
        steps = compose.compose(request, self.context)
        results: list[Result] | None = None
        number = 0
        try:
            while True:
                calls = next(steps) if results is None else steps.send(results)
                operations = [
                    (number + i, self._operation(version, call, request, request_number, number + i, spools))
                    for i, call in enumerate(calls)
                ]
                number += len(calls)
                if len(operations) == 1:
                    single_result = await self._perform(
                        calls[0], request_number, *operations[0], deadline_ms, start_ms, label, spools
                    )
                    results = [single_result]
                    continue
                results_by_index: dict[int, Result] = {}

                async def perform_into(
                    call: Call, index: int, op: Operation, into: dict[int, Result]
                ) -> None:
                    into[index] = await self._perform(
                        call, request_number, index, op, deadline_ms, start_ms, label, spools
                    )

                async with anyio.create_task_group() as tasks:
                    for call, (index, op) in zip(calls, operations, strict=True):
                        tasks.start_soon(perform_into, call, index, op, results_by_index)
                results = [results_by_index[index] for index, _ in operations]
        except StopIteration as stop:
            answer: Answer = stop.value
            return answer

    async def _perform(
        self,
        call: Call,
        request_number: str,
        index: int,
        op: Operation,
        deadline_ms: float,
        start_ms: float,
        label: str,
        spools: list[Spool],
    ) -> Result:
        if self.copies is not None and self.copies.is_replicated(op.volume):
            return await self._perform_replicated(
                self.copies, call, request_number, index, op, deadline_ms, start_ms, label, spools
            )
        result = await self.driver.perform(request_number, index, op, deadline_ms, label, start_ms)
        if isinstance(result, Reply) and call.collect and result.stream is not None:
            return await self._collect(result, result.stream, spools, deadline_ms)
        return result

    async def _perform_replicated(
        self,
        copies: ReplicatedVolumes,
        call: Call,
        request_number: str,
        index: int,
        op: Operation,
        deadline_ms: float,
        start_ms: float,
        label: str,
        spools: list[Spool],
    ) -> Result:
        """Perform an operation on a replicated volume, as several ordinary storage operations."""
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
                replica_call = replace(call, shard=shard, headers=[*call.headers, *headers])
            else:
                path = call.path if key is None else Path(*_split_key(key))
                replica_call = Call(method.decode(), path, shard, headers, body, collect=collect)
            operation = replace(
                op,
                method=replica_call.method.encode(),
                target=_target(replica_call.path),
                shard=shard,
                headers=list(replica_call.headers),
                body=op.body if method is None else None,
            )
            if method is not None:
                operation = self._replica_operation(op, replica_call, operation, number, spools)
            elif op.idempotency_key:
                operation = replace(operation, idempotency_key=_hash_key(f"{op.idempotency_key}#{shard}"))
            result = await self.driver.perform(request_number, number, operation, deadline, label, start_ms)
            if isinstance(result, Reply) and replica_call.collect and result.stream is not None:
                return await self._collect(result, result.stream, spools, deadline)
            return result

        content_type = next((v for k, v in call.headers if k == b"content-type"), b"")
        return await copies.perform(
            op.volume, op.shard, op.key, call.method, op.units, op.body, content_type, send, deadline_ms
        )

    def _replica_operation(
        self, op: Operation, call: Call, operation: Operation, number: int, spools: list[Spool]
    ) -> Operation:
        """Return an operation that reads or updates a replica, in the class of its own method and size."""
        body = call.body
        if isinstance(body, bytes):
            body = complete_spool(self.store, body)
            spools.append(body)
        size = 0 if body is None else body.length
        index = self.settings.class_of(call.method, size)
        key = ""
        if self.settings.classes[index].effect == "keyed":
            key = _hash_key(
                f"{op.idempotency_key or self.run_id + op.key}#{call.path.key}#{call.shard}#{number}"
            )
        return replace(
            operation,
            key=call.path.key,
            request_class=index,
            units=self.settings.units_of(size),
            body=body,
            idempotency_key=key,
            stream=call.collect,
        )

    async def _collect(
        self, reply: Reply, stream: IncomingPayload, spools: list[Spool], deadline_ms: float
    ) -> Result:
        """Read a reply's payload into a spool by the deadline, to be written to another shard."""
        length = header(reply.headers, b"content-length")
        spool = Spool(self.store, int(length) if length is not None else None)
        spools.append(spool)
        try:
            with anyio.fail_after(max(0.0, deadline_ms - self.clock()) / 1000):
                while data := await stream.read_chunk():
                    await spool.append(bytes(data))
        except (PayloadTruncatedError, OSError):  # a TimeoutError is an OSError
            return Denial(Verdict.FAILED, Reason.ATTEMPTS)
        finally:
            stream.abandon()
        spool.finish()
        return Reply(reply.status, reply.headers, payload=spool)

    def _operation(
        self,
        version: Version,
        call: Call,
        request: Request,
        request_number: str,
        number: int,
        spools: list[Spool],
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
            # One key per storage operation: the client's key, or one of this run, plus the step.
            base = f"{volume}/{request.key}" if request.key else f"{self.run_id}/{request_number}"
            key_source = f"{base}#{call.method}#{call.path.key}#{call.shard}#{number}"
            key = _hash_key(key_source)
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
                headers.extend(TEXT_HEADERS)
                body = f"{answer.reason.value}\n".encode()
        if answer.stream is None:
            await exchange.respond(answer.status, headers, body)
            return answer.status
        await self._stream(exchange, answer.status, headers, answer.stream)
        return answer.status

    async def _stream(
        self, exchange: Exchange, status: int, headers: Headers, stream: IncomingPayload
    ) -> None:
        """Stream a payload to the client; closes the connection if the node's answer is truncated."""
        try:
            await exchange.start(status, headers)
            while data := await stream.read_chunk():
                await exchange.send(data)
            await exchange.finish()
        except PayloadTruncatedError as cut:
            raise ConnectionLostError("the node's answer ended before its full length") from cut
        except h11.LocalProtocolError as short:
            raise ConnectionLostError("the node's answer is shorter than its Content-Length") from short
        finally:
            stream.abandon()


def _target(path: Path) -> bytes:
    return (path.href + ("/" if not path.segments else "")).encode()


def _hash_key(key_source: str) -> str:
    return hashlib.blake2b(key_source.encode(), digest_size=18).hexdigest()


def _split_key(key: str) -> tuple[str, tuple[str, ...]]:
    """Split a path's key into volume and segments."""
    _, volume, *segments = key.split("/")
    return volume, tuple(segments)
