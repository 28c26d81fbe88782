"""The client library's pool of HTTP connections to gateways' admin ports."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import anyio
import h11
import msgspec
from anyio.abc import TaskGroup

from cressrock.errors import known
from cressrock.errors.presence import GatewayUnreachableError, PresenceError
from cressrock.http.channel import BROKEN, Channel, ConnectionLostError, MessageTooLargeError, Stream

Connect = Callable[[str, int], Awaitable[Stream]]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_HEAD_BYTES = 65536
READ_AHEAD_BYTES = 1 << 20
ANSWER_TIMEOUT_MS = 10_000.0  # added to the time that the request itself may wait at the gateway
FIRST_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A request to an admin port, which may wait there for up to `wait_ms`."""

    method: str
    target: str
    body: Mapping[str, object] | None = None
    wait_ms: float = 0.0


class GatewayConnections:
    """Keep-alive HTTP connections by address, opened on demand."""

    def __init__(self, dial: Connect) -> None:
        """`dial` opens a stream to a host and port; the first request uses it."""
        self._dial = dial
        self._idle: dict[str, list[Channel]] = {}
        self._tasks: TaskGroup | None = None

    async def open(self) -> None:
        """Start the task group that runs the connections' readers, until `close`."""
        self._tasks = await anyio.create_task_group().__aenter__()

    async def close(self) -> None:
        """Close all idle connections and cancel the readers."""
        assert self._tasks is not None
        for channels in self._idle.values():
            for channel in channels:
                await channel.close()
        self._tasks.cancel_scope.cancel()
        # The readers raise nothing. The caller's exception is not passed on, since the task group would
        # wrap it in an ExceptionGroup.
        await self._tasks.__aexit__(None, None, None)

    async def request(self, address: str, request: AdminRequest) -> bytes:
        """Return the body of a gateway's answer.

        Raises the PresenceError that the gateway reports, GatewayUnreachableError without a valid answer.
        """
        timeout_ms = request.wait_ms + ANSWER_TIMEOUT_MS
        with anyio.move_on_after(timeout_ms / 1000):
            # The gateway may just have closed an idle connection, so a failure there is retried once on a new
            # connection. If the gateway had processed a join whose answer was lost, that session expires
            # after the grace period.
            channel = await self._take_idle_channel(address)
            if channel is not None:
                try:
                    return await self._exchange(address, channel, request)
                except (ConnectionLostError, h11.RemoteProtocolError, MessageTooLargeError):
                    pass  # retried on a new connection
            channel = await self._connect(address)
            try:
                return await self._exchange(address, channel, request)
            except (ConnectionLostError, h11.RemoteProtocolError, MessageTooLargeError) as error:
                raise GatewayUnreachableError(f"{address}: {error}") from None
        raise GatewayUnreachableError(f"{address}: no answer within {timeout_ms:g} ms")

    async def _exchange(self, address: str, channel: Channel, request: AdminRequest) -> bytes:
        data = b"" if request.body is None else msgspec.json.encode(request.body)
        fields = [(b"host", address.encode()), (b"content-length", str(len(data)).encode())]
        head = h11.Request(method=request.method, target=request.target, headers=fields)
        try:
            await channel.send(head, h11.Data(data=data), h11.EndOfMessage())
            response = await channel.response()
            answer = await channel.rest(MAX_ANSWER_BYTES)
        except BaseException:
            await channel.close()
            raise
        if channel.reusable():
            channel.conn.start_next_cycle()
            self._idle.setdefault(address, []).append(channel)
        else:
            await channel.close()
        if response.status_code >= FIRST_ERROR_STATUS:
            raise _decode_error(address, response.status_code, answer)
        return answer

    async def _take_idle_channel(self, address: str) -> Channel | None:
        idle = self._idle.get(address, [])
        while idle:
            channel = idle.pop()
            if not channel.ended:
                return channel
            await channel.close()
        return None

    async def _connect(self, address: str) -> Channel:
        host, _, port = address.rpartition(":")
        try:
            stream = await self._dial(host, int(port))
        except (OSError, ValueError, *BROKEN) as error:
            raise GatewayUnreachableError(f"{address}: {error}") from None
        assert self._tasks is not None
        channel = Channel(stream, h11.CLIENT, max_head=MAX_HEAD_BYTES, read_ahead=READ_AHEAD_BYTES)
        self._tasks.start_soon(channel.run_reader)
        return channel


def _decode_error(address: str, status: int, data: bytes) -> PresenceError:
    """Return the PresenceError for the error code in an answer.

    Returns GatewayUnreachableError if the answer has no known code.
    """
    try:
        answer = msgspec.json.decode(data)
        error_types = {kind.code: kind for kind in known() if issubclass(kind, PresenceError)}
        return error_types[answer["error"]](f"{address}: {answer['text']}")
    except (msgspec.MsgspecError, KeyError, TypeError):
        return GatewayUnreachableError(f"{address}: status {status}, which is none of presence's answers")
