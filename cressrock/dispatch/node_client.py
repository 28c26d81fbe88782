"""Connection pools to the storage nodes, and the exchange of one attempt over a pooled connection.

The caller chooses the node, and all bounds come from the settings.  The errors and `AttemptProgress` report
exactly whether any byte of the request can have reached the node.
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
    """Limits of the connections to one node; times in milliseconds, sizes in bytes."""

    connect_timeout_ms: Time = 1000.0
    idle_close_ms: Time = 15000.0
    max_idle: Annotated[int, Meta(ge=1, le=4096)] = 16
    max_head: Size = 65536
    read_ahead: Size = 262144
    gather_bytes: Size = 65536  # a response up to this size is read completely before it is passed on
    max_reply_bytes: Size = 16777216  # maximum size of a response that is not streamed


class NoConnectionError(Exception):
    """No connection: no byte of the request was sent, so it cannot have run."""


class SendNotPermittedError(Exception):
    """The connection was opened too late: the request may no longer be sent, and no byte of it was."""


@dataclass(slots=True)
class AttemptProgress:
    """How far an attempt has progressed; accurate at any time, also after a cancellation."""

    is_sent: bool = False  # the node may have received bytes of the request
    has_response_head: bool = False  # the response head was received
    headers: Headers | None = None
    may_leave: Callable[[], bool] = lambda: True  # called just before the first byte is sent


class _Pool:
    def __init__(self) -> None:
        self.idle: list[tuple[float, Channel]] = []
        self.open_count = 0


class NodePayload:
    """A response payload that is read from the node's connection as the front end requests chunks."""

    def __init__(self, channel: Channel) -> None:
        """`channel` has delivered the response head; data events follow."""
        self._channel = channel
        self.finished = False
        self.is_truncated = False
        self.idle_since: float | None = anyio.current_time()  # in s; no chunk has been requested since
        self.done = anyio.Event()

    async def read_chunk(self) -> bytes:
        """Return the next bytes, b"" at the end.  Raises PayloadTruncatedError if the node stops early."""
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
                    raise ConnectionLostError("the node closed the connection in the middle of the response")
        except (ConnectionLostError, h11.RemoteProtocolError) as read_error:
            self.is_truncated = True
            self.done.set()
            raise PayloadTruncatedError(str(read_error)) from read_error

    def abandon(self) -> None:
        """Stop reading; `done` is set so that the attempt can end."""
        self.done.set()


class NodeClient:
    """The connection pools of one dispatcher; an async context manager that closes them on exit."""

    def __init__(self, connect: Connect, bounds: PoolBounds, *, user_agent: str) -> None:
        """`connect(host, port)` opens a stream and raises OSError on failure."""
        self.connect = connect
        self.bounds = bounds
        self.user_agent = user_agent.encode()
        self.pools: dict[str, _Pool] = {}
        self.opened_count = 0
        self.reused_count = 0
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        """Start the task group that runs the connections' readers."""
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

    def connection_count(self) -> int:
        """Return the number of open connections, idle ones included."""
        return sum(pool.open_count for pool in self.pools.values())

    def close_idle(self, node: str) -> None:
        """Close the idle connections to a node that was removed from the node list."""
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
        """Send an operation and return the response, with its payload if that is streamed (else None).

        Raises NoConnectionError and SendNotPermittedError (never ran), ConnectionLostError (may have run),
        PayloadTruncatedError (the client's own payload ended early), MessageTooLargeError or
        h11.RemoteProtocolError (the response is not valid HTTP).  Cancellation closes the connection.
        """
        channel = await self._acquire(node)
        try:
            reply, payload = await self._exchange(channel, node, op, extra, progress, may_stream)
        except BaseException:
            await self._discard(node, channel)
            raise
        if payload is None:
            await self.release(node, channel)
        return reply, payload

    async def finish(self, node: str, payload: NodePayload) -> None:
        """Release the connection of a streamed response, or close it if the response was not fully read."""
        channel = payload._channel
        if payload.finished:
            await self.release(node, channel)
        else:
            await self._discard(node, channel)

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
        request_events: list[h11.Event] = []
        if body is not None:
            if body.length is None:
                headers.append((b"transfer-encoding", b"chunked"))
            else:
                headers.append((b"content-length", str(body.length).encode()))
        request_events.append(h11.Request(method=op.method, target=op.target, headers=headers))
        if not progress.may_leave():
            raise SendNotPermittedError("the connection was opened too late to send the request")
        progress.is_sent = True
        if body is None or body.length == 0:
            await channel.send(*request_events, h11.EndOfMessage())
            return await self._read_response(channel, progress, may_stream and op.stream)
        if body.is_complete and (body.length or 0) <= self.bounds.gather_bytes:
            offset = 0
            while data := await body.read_chunk(offset):
                request_events.append(h11.Data(data=data))
                offset += len(data)
            await channel.send(*request_events, h11.EndOfMessage())
            return await self._read_response(channel, progress, may_stream and op.stream)
        failure: list[Exception] = []
        result: tuple[Reply, NodePayload | None] | None = None
        async with anyio.create_task_group() as tasks:

            async def upload() -> None:
                try:
                    await channel.send(*request_events)
                    await self._upload(channel, body)
                except PayloadTruncatedError as upload_error:
                    failure.append(upload_error)
                    tasks.cancel_scope.cancel()
                except ConnectionLostError:
                    pass  # a response that arrived before the payload was sent is still read

            tasks.start_soon(upload)
            try:
                result = await self._read_response(channel, progress, may_stream and op.stream)
            except (ConnectionLostError, MessageTooLargeError, h11.RemoteProtocolError) as response_error:
                failure.append(response_error)
            # A response before the end of the upload is final; the rest of the payload is not sent.
            tasks.cancel_scope.cancel()
        if result is None:
            raise failure[0]
        return result

    @staticmethod
    async def _upload(channel: Channel, body: Body) -> None:
        offset = 0
        while data := await body.read_chunk(offset):
            await channel.send(h11.Data(data=data))
            offset += len(data)
        await channel.send(h11.EndOfMessage())

    async def _read_response(
        self, channel: Channel, progress: AttemptProgress, may_stream: bool
    ) -> tuple[Reply, NodePayload | None]:
        event = await channel.response()
        headers: Headers = list(event.headers)
        progress.has_response_head, progress.headers = True, headers
        content_length = header(headers, b"content-length")
        if (
            may_stream
            and event.status_code < 300
            and (content_length is None or int(content_length) > self.bounds.gather_bytes)
        ):
            payload = NodePayload(channel)
            return Reply(event.status_code, headers, b"", payload), payload
        return Reply(event.status_code, headers, await channel.rest(self.bounds.max_reply_bytes)), None

    async def _acquire(self, node: str) -> Channel:
        pool = self.pools.setdefault(node, _Pool())
        now_ms = anyio.current_time() * 1000
        while pool.idle:
            idle_from_ms, channel = pool.idle.pop()
            # The node has closed the idle connection or soon will.  Nothing was written, so nothing ran.
            if channel.ended or now_ms - idle_from_ms > self.bounds.idle_close_ms:
                self._start_close(channel)
                pool.open_count -= 1
                continue
            self.reused_count += 1
            return channel
        host, _, port = node.rpartition(":")
        try:
            with anyio.fail_after(self.bounds.connect_timeout_ms / 1000):
                stream = await self.connect(host, int(port))
        except (*BROKEN, TimeoutError, ValueError) as connect_error:
            raise NoConnectionError(
                f"{node}: {connect_error or 'connection not accepted in time'}"
            ) from connect_error
        self.opened_count += 1
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
        """Return a connection to the pool if it is reusable and the pool has room, else close it."""
        pool = self.pools.setdefault(node, _Pool())
        if channel.reusable() and len(pool.idle) < self.bounds.max_idle:
            channel.conn.start_next_cycle()
            pool.idle.append((anyio.current_time() * 1000, channel))
        else:
            await self._discard(node, channel)

    async def _discard(self, node: str, channel: Channel) -> None:
        pool = self.pools.get(node)
        if pool is not None:
            pool.open_count -= 1
        await channel.close()

    def _start_close(self, channel: Channel) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(channel.close)
