"""The streams of this gateway to and from the others, and the requests that go over them.

It takes no decision: which streams are wanted and what they carry is said by the rooms.
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
    """A request to an origin: what came of it once `done` is set; no reply if its stream was lost."""

    origin: Origin
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None


class PeerStreams:
    """All streams, by the origin that they lead to or the number under which they came."""

    def __init__(self, context: ServiceContext) -> None:
        """Nothing is dialled before `connect_missing`."""
        self.rejected = 0  # streams that were closed for what came by them
        self._context = context
        self._settings, self._environment = context.settings, context.environment
        self._rooms = context.rooms
        self._outboxes: dict[Origin | int, Outbox] = {}
        self._dialled: set[Origin] = set()
        self._needed: dict[Origin, float] = {}  # streams that a request needs, until when
        self._established: dict[Origin, anyio.Event] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._numbers = itertools.count(1)  # of streams that came, and of requests

    def send(self, to: Origin | int, message: Message) -> None:
        """Send a message by a stream, if it stands."""
        outbox = self._outboxes.get(to)
        if outbox is not None:
            outbox.enqueue(message)

    def disconnect_all(self) -> None:
        """Have all streams end."""
        for outbox in list(self._outboxes.values()):
            outbox.disconnect()

    def is_empty(self) -> bool:
        """Whether no stream stands."""
        return not self._outboxes

    # --- streams to others

    def connect_missing(self, tasks: TaskGroup, now_ms: float) -> None:
        """Dial the origins that are followed or asked and have no stream yet."""
        self._needed = {origin: until for origin, until in self._needed.items() if until > now_ms}
        self._established = {o: event for o, event in self._established.items() if o in self._needed}
        missing = {*self._rooms.desired_sources(), *self._needed} - self._dialled
        if not missing:
            return
        addresses = self._environment.addresses_of_reachable()
        for origin in sorted(missing):
            address = addresses.get(origin)
            if address is not None:
                self._dialled.add(origin)
                tasks.start_soon(self._hold_stream_to, origin, address)

    async def _hold_stream_to(self, origin: Origin, address: str) -> None:
        """Hold a stream to an origin for as long as it is wanted; what broke, the next tick dials again."""
        try:
            host, _, port = address.rpartition(":")
            stream: Stream | None = None
            with anyio.move_on_after(self._rooms.settings.silent_ms / 1000):
                stream = await self._environment.connect(host, int(port))
            if stream is None:
                return
            connection = PeerConnection(stream)
            try:
                await self._follow(origin, connection)
            finally:
                await connection.close()
        except (PresenceFrameError, PresenceLimitError) as error:
            self._reject(error, gateway=origin.gateway)
        except (OSError, ValueError, *BROKEN):
            pass  # the next tick dials again; the rooms notice its silence
        finally:
            self._lose_stream_to(origin)

    def _lose_stream_to(self, origin: Origin) -> None:
        self._dialled.discard(origin)
        if self._outboxes.pop(origin, None) is not None:
            self._rooms.source_disconnected(origin)
        for pending in list(self._pending.values()):
            if pending.origin == origin:
                pending.done.set()

    async def _follow(self, origin: Origin, connection: PeerConnection) -> None:
        await connection.stream.send(MAGIC + encode_frame(self._hello()))
        hello = await connection.receive_hello(self._environment.cluster, self._rooms.settings.silent_ms)
        if hello.origin != origin:
            raise PresenceFrameError(
                f"{hello.gateway} life {hello.incarnation} answers where {origin.gateway} was expected"
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
        """Pass on what an origin sent; return False once its stream is not wanted any more."""
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
        """Serve another gateway's stream; `received` is what was read of it after the four bytes."""
        connection = PeerConnection(stream, received)
        number: int | None = None
        try:
            if len(self._rooms.subscriber_streams()) >= self._settings.max_streams:
                raise PresenceLimitError(f"{self._settings.max_streams} streams (presence.max_streams)")
            hello = await connection.receive_hello(self._environment.cluster, self._rooms.settings.silent_ms)
            await stream.send(encode_frame(self._hello()))
            number = next(self._numbers)
            await self._serve_subscriber(number, hello.origin, connection)
        except (PresenceFrameError, PresenceLimitError) as error:
            self._reject(error)
        except BROKEN:
            pass  # the other side dials again if it wants to
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
        """Send what the outbox has and receive, until the stream ends or is not wanted any more."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, outbox, connection.stream, tasks)
            await self._read(connection, receive)
            tasks.cancel_scope.cancel()

    async def _write(self, outbox: Outbox, stream: Stream, tasks: TaskGroup) -> None:
        try:
            await outbox.write_to(stream, self._settings.beat_ms)
        except BROKEN:
            pass  # the reader is ended with it, and whoever holds the stream closes it
        tasks.cancel_scope.cancel()

    async def _read(self, connection: PeerConnection, receive: Callable[[Message], bool]) -> None:
        """Read messages until the stream ends, is silent, or has to be closed; raises nothing of it.

        (Within a task group an error would come out as a group, and past its handler end the program.)
        """
        timeout_ms = 2 * self._rooms.settings.silent_ms
        try:
            while (message := await connection.receive(timeout_ms)) is not None:
                if not receive(message):
                    return
        except (PresenceFrameError, PresenceLimitError) as error:
            self._reject(error)
        except BROKEN:
            pass  # as an end of the stream: whoever holds it closes it

    def _reject(self, error: PresenceError, **fields: str) -> None:
        self.rejected += 1
        self._environment.log.warning("presence.stream_rejected", **fields, **error.fields())

    # --- requests

    async def request(
        self, origin: Origin, make: Callable[[int], Message], timeout_ms: float
    ) -> Reply | None:
        """Send an origin the request that `make` builds for a number; None: no reply.

        The stream is opened if there is none.
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
