"""Connections to the storage nodes: pools, and one attempt's exchange on one of them.

It has no tuned number but its settings and chooses no node.  What it reports is exact about one thing above
all: whether a byte of the request can have reached the node.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Annotated, Self

import anyio
import h11
from anyio.abc import TaskGroup
from msgspec import Meta, Struct

from cressrock.dispatch.operation import Body, Operation, PayloadTruncatedError, Reply
from cressrock.http.channel import (
    BROKEN,
    Channel,
    ConnectionLostError,
    Headers,
    MessageTooLargeError,
    PushStream,
    Stream,
    header,
)
from cressrock.http.server import Size, Time

Connect = Callable[[str, int], Awaitable[Stream]]


class PoolBounds(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds of the connections to one node; times in milliseconds, sizes in bytes."""

    connect_timeout_ms: Time = 1000.0
    idle_close_ms: Time = 15000.0
    max_idle: Annotated[int, Meta(ge=1, le=4096)] = 16
    max_head: Size = 65536
    read_ahead: Size = 262144
    gather_bytes: Size = 65536  # an answer up to this size is taken in whole before it is handed on
    max_reply_bytes: Size = 16777216  # and one that has to be taken in whole may not be larger


class NoConnectionError(Exception):
    """No byte of the request was handed to a connection: it cannot have run."""


class SentTooLateError(Exception):
    """The connection came up too late for the request: no byte was handed to it."""


@dataclass(slots=True)
class AttemptProgress:
    """How far an attempt came; true at every moment, also when it is cancelled."""

    is_sent: bool = False  # from here on the node may have it
    has_head: bool = False  # the answer's head is in
    headers: Headers | None = None
    may_leave: Callable[[], bool] = lambda: True  # asked just before the first byte


class _Pool:
    def __init__(self) -> None:
        self.idle: list[tuple[float, Channel]] = []
        self.open_count = 0


class NodePayload:
    """An answer's payload that is read from the node's connection as the front asks for it."""

    def __init__(self, channel: Channel) -> None:
        """The head has been read; data events follow on the channel."""
        self._channel = channel
        self.finished = False
        self.is_truncated = False
        self.idle_since: float | None = anyio.current_time()  # the front asks for nothing since then
        self.done = anyio.Event()

    async def chunk(self) -> bytes:
        """Return some bytes, b"" at the end.  Raises PayloadTruncatedError where the node broke off."""
        if self.finished:
            return b""
        self.idle_since = None
        try:
            while True:
                event = await self._channel.event()
                if isinstance(event, h11.Data):
                    if event.data:
                        self.idle_since = anyio.current_time()
                        return event.data
                elif isinstance(event, h11.EndOfMessage):
                    self.finished = True
                    self.done.set()
                    return b""
                else:
                    raise ConnectionLostError("the node closed in mid-answer")
        except (ConnectionLostError, h11.RemoteProtocolError) as broken:
            self.is_truncated = True
            self.done.set()
            raise PayloadTruncatedError(str(broken)) from broken

    def abandon(self) -> None:
        """Say that nobody reads on."""
        self.done.set()


class NodeClient:
    """The pools of one dispatcher; used as an async context manager, whose exit closes all."""

    def __init__(self, connect: Connect, bounds: PoolBounds, *, user_agent: str) -> None:
        """`connect(host, port)` opens a stream; it raises OSError where that fails."""
        self.connect = connect
        self.bounds = bounds
        self.user_agent = user_agent.encode()
        self.pools: dict[str, _Pool] = {}
        self.opened = 0
        self.reused = 0
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Start the task group that owns the connections' readers."""
        self._tasks = await anyio.create_task_group().__aenter__()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        """Close every connection and end the readers."""
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        for pool in self.pools.values():
            for _, channel in pool.idle:
                await channel.close()
        return await self._tasks.__aexit__(kind, error, trace)

    def connections(self) -> int:
        """Count the open connections."""
        return sum(pool.open_count for pool in self.pools.values())

    def close_idle(self, node: str) -> None:
        """Close the idle connections to a node that is gone."""
        pool = self.pools.get(node)
        if pool is not None:
            for _, channel in pool.idle:
                self._start_close(channel)
            pool.idle.clear()
            if not pool.open_count:
                del self.pools[node]

    async def exchange(
        self, node: str, op: Operation, extra: Headers, progress: AttemptProgress, *, may_stream: bool
    ) -> tuple[Reply, NodePayload | None]:
        """Send an operation and return the answer, with its payload if that is handed on as it comes.

        Raises NoConnectionError and SentTooLateError (never ran), ConnectionLostError (may have run),
        PayloadTruncatedError (the client's own payload broke off), MessageTooLargeError or
        h11.RemoteProtocolError (the answer is no HTTP).  Cancelling closes the connection.
        """
        channel = await self._acquire(node)
        try:
            reply, payload = await self._exchange(channel, node, op, extra, progress, may_stream)
        except BaseException:
            await self._drop(node, channel)
            raise
        if payload is None:
            await self.release(node, channel)
        return reply, payload

    async def finish(self, node: str, payload: NodePayload) -> None:
        """Give the connection of a streamed answer back, or close it if the answer was not read out."""
        channel = payload._channel
        if payload.finished:
            await self.release(node, channel)
        else:
            await self._drop(node, channel)

    async def _exchange(
        self,
        channel: Channel,
        node: str,
        op: Operation,
        extra: Headers,
        progress: AttemptProgress,
        may_stream: bool,
    ) -> tuple[Reply, NodePayload | None]:
        headers: Headers = [(b"host", node.encode()), (b"user-agent", self.user_agent), *op.headers, *extra]
        body = op.body
        first: list[h11.Event] = []
        if body is not None:
            if body.length is None:
                headers.append((b"transfer-encoding", b"chunked"))
            else:
                headers.append((b"content-length", str(body.length).encode()))
        first.append(h11.Request(method=op.method, target=op.target, headers=headers))
        if not progress.may_leave():
            raise SentTooLateError("the connection came up too late for it")
        progress.is_sent = True
        if body is None or body.length == 0:
            await channel.send(*first, h11.EndOfMessage())
            return await self._answer(channel, progress, may_stream and op.stream)
        if body.complete and (body.length or 0) <= self.bounds.gather_bytes:
            offset = 0
            while data := await body.chunk(offset):
                first.append(h11.Data(data=data))
                offset += len(data)
            await channel.send(*first, h11.EndOfMessage())
            return await self._answer(channel, progress, may_stream and op.stream)
        failure: list[Exception] = []
        result: tuple[Reply, NodePayload | None] | None = None
        async with anyio.create_task_group() as tasks:

            async def upload() -> None:
                try:
                    await channel.send(*first)
                    await self._upload(channel, body)
                except PayloadTruncatedError as cut:
                    failure.append(cut)
                    tasks.cancel_scope.cancel()
                except ConnectionLostError:
                    pass  # the answer, if one came before the end, is still to be read

            tasks.start_soon(upload)
            try:
                result = await self._answer(channel, progress, may_stream and op.stream)
            except (ConnectionLostError, MessageTooLargeError, h11.RemoteProtocolError) as failed:
                failure.append(failed)
            # An answer before the end of the payload is the answer; the rest is not sent.
            tasks.cancel_scope.cancel()
        if result is None:
            raise failure[0]
        return result

    @staticmethod
    async def _upload(channel: Channel, body: Body) -> None:
        offset = 0
        while data := await body.chunk(offset):
            await channel.send(h11.Data(data=data))
            offset += len(data)
        await channel.send(h11.EndOfMessage())

    async def _answer(
        self, channel: Channel, progress: AttemptProgress, may_stream: bool
    ) -> tuple[Reply, NodePayload | None]:
        event = await channel.response()
        headers: Headers = list(event.headers)
        progress.has_head, progress.headers = True, headers
        announced = header(headers, b"content-length")
        if (
            may_stream
            and event.status_code < 300
            and (announced is None or int(announced) > self.bounds.gather_bytes)
        ):
            payload = NodePayload(channel)
            return Reply(event.status_code, headers, b"", payload), payload
        return Reply(event.status_code, headers, await channel.rest(self.bounds.max_reply_bytes)), None

    async def _acquire(self, node: str) -> Channel:
        pool = self.pools.setdefault(node, _Pool())
        now = anyio.current_time() * 1000
        while pool.idle:
            since, channel = pool.idle.pop()
            # Closed by the node while it idled, or about to be: nothing was written, so nothing can have run.
            if channel.ended or now - since > self.bounds.idle_close_ms:
                self._start_close(channel)
                pool.open_count -= 1
                continue
            self.reused += 1
            return channel
        host, _, port = node.rpartition(":")
        try:
            with anyio.fail_after(self.bounds.connect_timeout_ms / 1000):
                stream = await self.connect(host, int(port))
        except (*BROKEN, TimeoutError, ValueError) as failed:
            raise NoConnectionError(f"{node}: {failed or 'not accepted in time'}") from failed
        self.opened += 1
        pool.open_count += 1
        channel = Channel(
            stream, h11.CLIENT, max_head=self.bounds.max_head, read_ahead=self.bounds.read_ahead
        )
        if isinstance(stream, PushStream):
            await channel.run_reader()
        else:
            assert self._tasks is not None
            self._tasks.start_soon(channel.run_reader)
        return channel

    async def release(self, node: str, channel: Channel) -> None:
        """Keep a connection for the next attempt if it can carry one."""
        pool = self.pools.setdefault(node, _Pool())
        if channel.reusable() and len(pool.idle) < self.bounds.max_idle:
            channel.conn.start_next_cycle()
            pool.idle.append((anyio.current_time() * 1000, channel))
        else:
            await self._drop(node, channel)

    async def _drop(self, node: str, channel: Channel) -> None:
        pool = self.pools.get(node)
        if pool is not None:
            pool.open_count -= 1
        await channel.close()

    def _start_close(self, channel: Channel) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(channel.close)
