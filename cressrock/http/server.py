"""HTTP/1.1 server side on one byte stream: a carrier for fronts, stand-ins and the admin port.

The handler of an exchange is cancelled at the moment the peer closes.  Whatever a handler does, the peer
sees at most one final answer, and an answer that breaks off is never passed off as a whole one.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Annotated

import anyio
import h11
from msgspec import Meta, Struct

from cressrock.http.channel import Channel, ConnectionLostError, Headers, PushStream, Stream

FOREVER = float("inf")
MAX_HEADER_FIELDS = 256  # of a request; clients and the intermediaries before them send some tens
Clock = Callable[[], float]  # monotonic milliseconds
Time = Annotated[float, Meta(gt=0, le=1e9)]
Size = Annotated[int, Meta(ge=1024, le=2**32)]


class ServerBounds(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Bounds of one client connection; times in milliseconds, sizes in bytes."""

    head_timeout_ms: Time = 20000.0  # from a request's first byte to the end of its head
    idle_timeout_ms: Time = 120000.0
    body_timeout_ms: Time = 30000.0  # without any byte of a body
    write_timeout_ms: Time = 30000.0  # without any progress of a reader
    max_head: Size = 65536
    read_ahead: Size = 131072
    max_drain: Size = 1048576  # of a body that nobody wanted, before the connection is closed instead


class Watched:
    """A connection and the time until which its peer has to get on; past it the connection is cut."""

    __slots__ = ("channel", "scope", "clock", "until_ms", "idle")

    def __init__(self, channel: Channel, scope: anyio.CancelScope, clock: Clock) -> None:
        """Nothing is waited for yet."""
        self.channel = channel
        self.scope = scope
        self.clock = clock
        self.until_ms = FOREVER
        self.idle = False

    def until(self, length_ms: float) -> None:
        """Begin to wait for the peer."""
        self.until_ms = self.clock() + length_ms

    def rest(self) -> None:
        """The peer got on."""
        self.until_ms = FOREVER


class Exchange:
    """One request and its one answer."""

    def __init__(self, watch: Watched, request: h11.Request, bounds: ServerBounds) -> None:
        """The head is in; the body is read as asked for."""
        self.watch = watch
        self.channel = watch.channel
        self.head = request
        self.headers: Headers = list(request.headers)
        self.bounds = bounds
        self.started = False
        self.read_all = False
        self.close_after = False

    async def read(self) -> bytes:
        """Return some bytes of the body, b"" at its end.

        Raises Gone where the peer breaks off or stands still, h11.RemoteProtocolError for bad framing.
        """
        if self.read_all:
            return b""
        if self.channel.conn.they_are_waiting_for_100_continue:
            await self._send(h11.InformationalResponse(status_code=100, headers=[]))
        watch = self.watch
        while True:
            watch.until(self.bounds.body_timeout_ms)
            event = await self.channel.event()
            watch.rest()
            if isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                self.read_all = True
                return b""
            raise ConnectionLostError("the peer closed in mid-body")

    async def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a whole answer in one piece."""
        fields = list(headers)
        bodyless = status in (204, 304) or self.head.method == b"HEAD"
        if not bodyless:
            fields.append((b"content-length", str(len(body)).encode()))
        elif self.head.method == b"HEAD" and not any(k == b"content-length" for k, _ in fields):
            fields.append((b"content-length", str(len(body)).encode()))
        if self.close_after:
            fields.append((b"connection", b"close"))
        self.started = True
        events: list[h11.Event] = [h11.Response(status_code=status, headers=fields)]
        if body and not bodyless:
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())

    async def start(self, status: int, headers: Headers) -> None:
        """Begin an answer whose body follows; with no Content-Length it is chunked."""
        self.started = True
        await self._send(h11.Response(status_code=status, headers=headers))

    async def send(self, data: bytes) -> None:
        """Send a piece of the body, waiting while the peer holds back.  Raises Gone."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body.  Raises h11.LocalProtocolError if it is shorter than was announced."""
        await self._send(h11.EndOfMessage())

    async def _send(self, *events: h11.Event) -> None:
        self.watch.until(self.bounds.write_timeout_ms)
        await self.channel.send(*events)
        self.watch.rest()


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Serves connections; `stopping` ends each after its present exchange."""

    def __init__(
        self,
        handler: Handler,
        bounds: ServerBounds,
        *,
        max_connections: int,
        failed: Callable[[BaseException], None],
        clock: Clock | None = None,
    ) -> None:
        """`failed` is told of a handler's unforeseen error, which the client sees as 500 or a cut."""
        self.handler = handler
        self.bounds = bounds
        self.max_connections = max_connections
        self.failed = failed
        self.clock = clock or (lambda: anyio.current_time() * 1000)
        self.turned_away = 0
        self.stopping = False
        self._open: dict[int, Watched] = {}

    @property
    def connections(self) -> int:
        """Count the open connections."""
        return len(self._open)

    async def watch(self) -> None:
        """Cut connections whose peers stand still, until cancelled; without it nothing times out.

        One pass over all connections now and then, instead of a timer for each wait.
        """
        bounds = self.bounds
        shortest = min(
            bounds.head_timeout_ms, bounds.idle_timeout_ms, bounds.body_timeout_ms, bounds.write_timeout_ms
        )
        while True:
            await anyio.sleep(shortest / 10000)
            now = self.clock()
            for watched in list(self._open.values()):
                if watched.until_ms <= now:
                    watched.scope.cancel()

    def stop(self) -> None:
        """Take no further request; idle connections close now, busy ones after their answer."""
        self.stopping = True
        for watched in list(self._open.values()):
            if watched.idle:
                watched.scope.cancel()

    def abort(self) -> None:
        """Cut every connection, as a killed process does."""
        self.stopping = True
        for watched in list(self._open.values()):
            watched.scope.cancel()

    async def serve(self, stream: Stream) -> None:
        """Serve one connection to its end; never raises for what the peer does."""
        channel = Channel(
            stream,
            h11.SERVER,
            max_head=self.bounds.max_head,
            read_ahead=self.bounds.read_ahead,
            max_fields=MAX_HEADER_FIELDS,
        )
        if len(self._open) >= self.max_connections or self.stopping:
            self.turned_away += 1
            await channel.close()
            return
        key = id(channel)
        try:
            async with anyio.create_task_group() as tasks:
                watched = self._open[key] = Watched(channel, tasks.cancel_scope, self.clock)
                if isinstance(stream, PushStream):
                    await channel.run_reader()
                else:
                    tasks.start_soon(channel.run_reader)
                try:
                    while await self._exchange(watched):
                        if channel.has_input():
                            # Neither reading nor answering has to wait then.  Without a turn for others, a
                            # client that sends requests at full speed would keep the event loop to itself.
                            await anyio.lowlevel.checkpoint()
                finally:
                    await channel.close()
                    tasks.cancel_scope.cancel()
        finally:
            self._open.pop(key, None)

    async def _exchange(self, watched: Watched) -> bool:
        """Serve one request; True if another can follow."""
        channel = watched.channel
        try:
            request = await self._head(watched)
        except ConnectionLostError:
            return False
        except h11.RemoteProtocolError as wrong:
            await self._reject(channel, wrong.error_status_hint, str(wrong))
            return False
        if request is None:
            return False
        exchange = Exchange(watched, request, self.bounds)
        exchange.close_after = self.stopping
        with anyio.CancelScope() as scope:
            channel.when_ended = scope.cancel
            if channel.ended:
                scope.cancel()
            try:
                await self.handler(exchange)
            except ConnectionLostError:
                return False
            except h11.RemoteProtocolError as wrong:
                if not exchange.started:
                    await self._reject(channel, wrong.error_status_hint, str(wrong))
                return False
            except Exception as error:  # noqa: BLE001  a defect: told, and never shown as a whole answer
                self.failed(error)
                if not exchange.started:
                    await self._reject(channel, 500, "an internal error")
                return False
            finally:
                channel.when_ended = None
        if scope.cancelled_caught or not exchange.started:
            return False
        return await self._next(channel, exchange)

    async def _head(self, watched: Watched) -> h11.Request | None:
        """Return a request's head, None at an orderly end.  A head that drips in has less time than none."""
        if self.stopping:
            return None
        channel, bounds = watched.channel, self.bounds
        if channel.conn.trailing_data[0]:
            watched.until(bounds.head_timeout_ms)
        else:
            watched.until(bounds.idle_timeout_ms)
            channel.when_fed = lambda: watched.until(bounds.head_timeout_ms)
        watched.idle = True
        try:
            event = await channel.event()
        finally:
            watched.idle = False
            channel.when_fed = None
        watched.rest()
        return event if isinstance(event, h11.Request) else None

    async def _next(self, channel: Channel, exchange: Exchange) -> bool:
        drained = 0
        try:
            while not exchange.read_all:
                if channel.conn.they_are_waiting_for_100_continue:
                    return False  # the body was never asked for; whether it still comes cannot be known
                data = await exchange.read()
                drained += len(data)
                if drained > self.bounds.max_drain:
                    return False
            if channel.conn.our_state is not h11.DONE or channel.conn.their_state is not h11.DONE:
                return False
            channel.conn.start_next_cycle()
        except (ConnectionLostError, h11.ProtocolError):
            return False
        return not self.stopping

    async def _reject(self, channel: Channel, status: int, text: str) -> None:
        """Answer a request that could not be read."""
        body = text.encode()
        fields: Headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        try:
            with anyio.move_on_after(self.bounds.write_timeout_ms / 1000):
                if channel.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await channel.send(
                        h11.Response(status_code=status, headers=fields),
                        h11.Data(data=body),
                        h11.EndOfMessage(),
                    )
        except (ConnectionLostError, h11.LocalProtocolError):
            pass
