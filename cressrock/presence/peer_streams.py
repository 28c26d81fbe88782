"""The streams to and from other gateways, and the requests over them.

`Rooms` decides which streams are needed and what is sent over them; this module only does the I/O.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from cressrock.errors.presence import PresenceError, PresenceFrameError, PresenceLimitError
from cressrock.http.channel import BROKEN, Stream
from cressrock.presence.connection import MAGIC, Outbox, PeerConnection
from cressrock.presence.environment import ServiceContext
from cressrock.presence.messages import FORMAT, Hello, Message, Origin, Reply, encode_frame


@dataclass(slots=True)
class _PendingRequest:
    """A request to an origin; `reply` is valid once `done` is set, and None if the stream was lost."""

    origin: Origin
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None


class PeerStreams:
    """All streams: outgoing ones by origin, incoming ones by number."""

    def __init__(self, context: ServiceContext) -> None:
        """Open no stream before `connect_missing` is called."""
        self.rejected = 0  # streams that were closed because of an invalid frame or an exceeded limit
        self._context = context
        self._settings, self._environment = context.settings, context.environment
        self._rooms = context.rooms
        self._outboxes: dict[Origin | int, Outbox] = {}
        self._dialled: set[Origin] = set()
        self._needed: dict[Origin, float] = {}  # origins that a request needs a stream to, until when (ms)
        self._established: dict[Origin, anyio.Event] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._numbers = itertools.count(1)  # for incoming streams and for requests

    def send(self, destination: Origin | int, message: Message) -> None:
        """Queue a message for a stream; without a connected stream it is dropped."""
        outbox = self._outboxes.get(destination)
        if outbox is not None:
            outbox.enqueue(message)

    def disconnect_all(self) -> None:
        """Make all streams end."""
        for outbox in list(self._outboxes.values()):
            outbox.disconnect()

    def is_empty(self) -> bool:
        """Return whether no stream is connected."""
        return not self._outboxes

    # --- streams to others

    def connect_missing(self, tasks: TaskGroup, now_ms: float) -> None:
        """Connect to reachable origins without a stream that a followed room or a request needs."""
        self._needed = {origin: until for origin, until in self._needed.items() if until > now_ms}
        self._established = {
            origin: event for origin, event in self._established.items() if origin in self._needed
        }
        missing = {*self._rooms.desired_sources(), *self._needed} - self._dialled
        if not missing:
            return
        addresses = self._environment.addresses_of_reachable()
        for origin in sorted(missing):
            address = addresses.get(origin)
            if address is not None:
                self._dialled.add(origin)
                tasks.start_soon(self._maintain_stream_to, origin, address)

    async def _maintain_stream_to(self, origin: Origin, address: str) -> None:
        """Run a stream to an origin for as long as it is needed; after a failure the next tick reconnects."""
        try:
            host, _, port = address.rpartition(":")
            stream: Stream | None = None
            with anyio.move_on_after(self._rooms.settings.silent_ms / 1000):
                stream = await self._environment.connect(host, int(port))
            if stream is None:
                return
            connection = PeerConnection(stream)
            try:
                await self._run_source_stream(origin, connection)
            finally:
                await connection.close()
        except (PresenceFrameError, PresenceLimitError) as error:
            self._reject(error, gateway=origin.gateway)
        except (OSError, ValueError, *BROKEN):
            pass  # the next tick reconnects; the rooms detect the silence
        finally:
            self._remove_stream_to(origin)

    def _remove_stream_to(self, origin: Origin) -> None:
        self._dialled.discard(origin)
        if self._outboxes.pop(origin, None) is not None:
            self._rooms.source_disconnected(origin)
        for pending in list(self._pending.values()):
            if pending.origin == origin:
                pending.done.set()

    async def _run_source_stream(self, origin: Origin, connection: PeerConnection) -> None:
        await connection.stream.send(MAGIC + encode_frame(self._hello()))
        hello = await connection.receive_hello(self._environment.cluster, self._rooms.settings.silent_ms)
        if hello.origin != origin:
            raise PresenceFrameError(
                f"{hello.gateway}, incarnation {hello.incarnation}, answered instead of {origin.gateway}"
            )
        outbox = self._outboxes[origin] = Outbox(self._settings.max_backlog_bytes)
        self._rooms.source_connected(self._context.now_ms(), origin)
        established = self._established.pop(origin, None)
        if established is not None:
            established.set()
        self._context.carry_out()
        await self._exchange(connection, outbox, lambda message: self._receive_from_source(origin, message))
        self._environment.log.debug("presence.stream_ended", gateway=origin.gateway)

    def _receive_from_source(self, origin: Origin, message: Message) -> bool:
        """Process a message from an origin; return False once its stream is not needed any more."""
        if isinstance(message, Reply):
            self._rooms.record_contact(self._context.now_ms(), origin)
            pending = self._pending.get(message.request)
            if pending is not None and pending.origin == origin:
                pending.reply = pending.reply or message
                pending.done.set()
        else:
            self._rooms.receive_update(self._context.now_ms(), origin, message)
        self._context.carry_out()
        return not self._rooms.is_idle(origin) or origin in self._needed

    # --- streams from others

    async def serve(self, stream: Stream, received: bytes) -> None:
        """Serve a stream that another gateway opened; `received` has the bytes already read after MAGIC."""
        connection = PeerConnection(stream, received)
        number: int | None = None
        try:
            if len(self._rooms.subscriber_streams()) >= self._settings.max_streams:
                raise PresenceLimitError(
                    f"limit of {self._settings.max_streams} streams reached (presence.max_streams)"
                )
            hello = await connection.receive_hello(self._environment.cluster, self._rooms.settings.silent_ms)
            await stream.send(encode_frame(self._hello()))
            number = next(self._numbers)
            await self._serve_subscriber(number, hello.origin, connection)
        except (PresenceFrameError, PresenceLimitError) as error:
            self._reject(error)
        except BROKEN:
            pass  # the other side reconnects if it needs the stream
        finally:
            if number is not None:
                self._outboxes.pop(number, None)
                self._rooms.subscriber_disconnected(number)
            await connection.close()

    async def _serve_subscriber(self, number: int, origin: Origin, connection: PeerConnection) -> None:
        self._rooms.subscriber_connected(number, origin)
        outbox = self._outboxes[number] = Outbox(self._settings.max_backlog_bytes)
        await self._exchange(connection, outbox, lambda message: self._receive_request(number, message))

    def _receive_request(self, number: int, message: Message) -> bool:
        self._rooms.receive_request(self._context.now_ms(), number, message)
        self._context.carry_out()
        self._context.wake()
        return True

    # --- both

    def _hello(self) -> Hello:
        environment = self._environment
        return Hello(FORMAT, environment.cluster, environment.name, environment.incarnation)

    async def _exchange(
        self, connection: PeerConnection, outbox: Outbox, receive: Callable[[Message], bool]
    ) -> None:
        """Send the outbox's messages and receive, until the stream ends or `receive` returns False."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, outbox, connection.stream, tasks)
            await self._read(connection, receive)
            tasks.cancel_scope.cancel()

    async def _write(self, outbox: Outbox, stream: Stream, tasks: TaskGroup) -> None:
        try:
            await outbox.write_to(stream, self._settings.beat_ms)
        except BROKEN:
            pass  # the reader is cancelled below, and the caller closes the stream
        tasks.cancel_scope.cancel()

    async def _read(self, connection: PeerConnection, receive: Callable[[Message], bool]) -> None:
        """Read messages until the stream ends, is silent, or has to be closed; raises none of these errors.

        A task group would wrap an error in an exception group, which the caller's handlers do not catch, and
        the program would end.
        """
        timeout_ms = 2 * self._rooms.settings.silent_ms
        try:
            while (message := await connection.receive(timeout_ms)) is not None:
                if not receive(message):
                    return
        except (PresenceFrameError, PresenceLimitError) as error:
            self._reject(error)
        except BROKEN:
            pass  # handled like the end of the stream: the caller closes it

    def _reject(self, error: PresenceError, **fields: str) -> None:
        self.rejected += 1
        self._environment.log.warning("presence.stream_rejected", **fields, **error.fields())

    # --- requests

    async def request(
        self, origin: Origin, make: Callable[[int], Message], timeout_ms: float
    ) -> Reply | None:
        """Send an origin a request, and return its reply, or None if there is none within `timeout_ms`.

        `make` builds the request for a request number.  A stream is opened if there is none.
        """
        number = next(self._numbers)
        pending = _PendingRequest(origin)
        with anyio.move_on_after(timeout_ms / 1000):
            if origin not in self._outboxes:
                await self._establish(origin, timeout_ms)
            self._pending[number] = pending
            try:
                outbox = self._outboxes.get(origin)
                if outbox is None:
                    return None
                outbox.enqueue(make(number))
                await pending.done.wait()
            finally:
                del self._pending[number]
        return pending.reply

    async def _establish(self, origin: Origin, timeout_ms: float) -> None:
        established = self._established.setdefault(origin, anyio.Event())
        until_ms = self._context.now_ms() + max(timeout_ms, self._rooms.settings.linger_ms)
        self._needed[origin] = until_ms
        self._context.wake()
        await established.wait()
