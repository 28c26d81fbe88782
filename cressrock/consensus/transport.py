"""Connections over streams, and those to replicas that are dialled again whenever they end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cressrock.consensus.connection_protocol import (
    Closed,
    ConnectionLimits,
    ConnectionProtocol,
    ConnectionState,
    Event,
    LocalEndpoint,
    Opened,
)
from cressrock.consensus.environment import Environment
from cressrock.consensus.frames import Operation, RaftFrame, Reply, Request, Response
from cressrock.http.channel import BROKEN, Stream

READ_BYTES = 65536
CLOSE_SECONDS = 1.0  # that the closing of a stream may take
WAKE_MARGIN_SECONDS = 1e-6  # so that a deadline is past when its sleeper wakes


@dataclass(frozen=True, slots=True)
class ReconnectBackoff:
    """Waits between attempts, in ms: doubled from `min_ms` to `max_ms`, each drawn from its upper half."""

    min_ms: float = 50.0
    max_ms: float = 1000.0
    connect_ms: float = 1000.0  # an attempt that takes longer is given up


class Connection:
    """Carries one ConnectionProtocol over one stream until either ends."""

    def __init__(
        self,
        protocol: ConnectionProtocol,
        stream: Stream,
        clock: Callable[[], float],
        on_event: Callable[[Event], None],
    ) -> None:
        """`on_event` takes each event, the Closed as the last one."""
        self.protocol, self.stream, self.clock, self.on_event = protocol, stream, clock, on_event
        self._wakeup = anyio.Event()

    def send(self, message: RaftFrame | Request | Response) -> bool:
        """Queue a message and write it soon; False where it was lost."""
        sent = self.protocol.send(message)
        self._wakeup.set()
        return sent

    def close(self, code: str, reason: str) -> None:
        """End it from this side with a reason."""
        self._emit(self.protocol.close(code, reason))
        self._wakeup.set()

    def _emit(self, events: list[Event]) -> None:
        for event in events:
            self.on_event(event)

    async def run(self) -> None:
        """Serve to the end and close the stream."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, tasks.cancel_scope)
                await self._write()
                tasks.cancel_scope.cancel()
        except (*BROKEN, TimeoutError):
            pass  # the connection ended, which the Closed event says
        except BaseExceptionGroup as group:
            rest = group.split(lambda error: isinstance(error, (*BROKEN, TimeoutError)))[1]
            if rest is not None:
                raise rest from None
        finally:
            self._emit(self.protocol.receive_end())
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_SECONDS):
                await self.stream.aclose()

    async def _write(self) -> None:
        protocol = self.protocol
        while True:
            self._emit(protocol.tick(self.clock()))
            self._wakeup = anyio.Event()
            if data := protocol.take_bytes():
                # A peer that reads nothing must not keep its connection for ever.
                with anyio.fail_after(protocol.limits.silent_ms / 1000):
                    await self.stream.send(data)
            if protocol.state is ConnectionState.CLOSED:
                return
            with anyio.move_on_at(protocol.next_deadline_ms() / 1000 + WAKE_MARGIN_SECONDS):
                await self._wakeup.wait()

    async def _read(self, scope: anyio.CancelScope) -> None:
        protocol = self.protocol
        try:
            while protocol.state is not ConnectionState.CLOSED:
                self._emit(protocol.receive_data(await self.stream.receive(READ_BYTES), self.clock()))
                self._wakeup.set()
        except BROKEN:
            self._emit(protocol.receive_end())
            scope.cancel()


@dataclass(slots=True)
class _PendingResponse:
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None


class PeerConnection:
    """A connection to one replica that is dialled again whenever it ends."""

    def __init__(
        self,
        environment: Environment,
        name: str,
        address: str,
        local: Callable[[], LocalEndpoint],
        *,
        limits: ConnectionLimits,
        reconnect: ReconnectBackoff,
        on_open: Callable[[], None] = lambda: None,
    ) -> None:
        """`local` says who greets."""
        self.environment, self.name, self.address, self.local = environment, name, address, local
        self.limits, self.reconnect, self._on_open = limits, reconnect, on_open
        self.peer: Opened | None = None  # who is at the other end, while it is open
        self.last_closed: Closed | None = None
        self.dropped_messages = 0
        self._connection: Connection | None = None
        self._opened = anyio.Event()
        self._pending: dict[int, _PendingResponse] = {}
        self._last_number = 0

    async def run(self) -> None:
        """Keep the connection up until cancelled."""
        wait_ms = self.reconnect.min_ms
        while True:
            stream = await self._dial()
            if stream is not None and await self._serve(stream):
                wait_ms = self.reconnect.min_ms
            await anyio.sleep(wait_ms * self.environment.random_source.uniform(0.5, 1) / 1000)
            wait_ms = min(wait_ms * 2, self.reconnect.max_ms)

    async def _dial(self) -> Stream | None:
        host, _, port = self.address.rpartition(":")
        try:
            with anyio.move_on_after(self.reconnect.connect_ms / 1000):
                return await self.environment.connect(host, int(port))
        except BROKEN:
            pass  # it is dialled again after a wait
        return None

    async def _serve(self, stream: Stream) -> bool:
        """Serve a stream to its end; return whether the peer had greeted."""
        environment = self.environment
        protocol = ConnectionProtocol(True, self.local(), environment.clock(), limits=self.limits)
        self._connection = Connection(protocol, stream, environment.clock, self._on_event)
        try:
            await self._connection.run()
        finally:
            self._end()
        return bool(protocol.peer)

    def heard_at_ms(self) -> float | None:
        """Return when the other end was heard last on our clock, None while nothing is open."""
        return self._connection.protocol.heard_at_ms if self._connection and self.peer else None

    @property
    def peer_applied(self) -> int:
        """The newest index that the other end said it has applied; 0 without a connection."""
        return self._connection.protocol.peer_applied if self._connection else 0

    def _end(self) -> None:
        self._connection = None
        self._mark_closed()
        pending, self._pending = self._pending, {}
        for response in pending.values():
            response.done.set()

    def _mark_closed(self) -> None:
        self.peer = None
        if self._opened.is_set():  # an event that tasks still wait for must stay the one that is set
            self._opened = anyio.Event()

    def _on_event(self, event: Event) -> None:
        match event:
            case Opened():
                self.peer = event
                self._opened.set()
                self._on_open()
            case Closed(code, reason):
                if code != "ended" and (self.last_closed is None or self.last_closed.code != code):
                    self.environment.log_event(
                        "consensus.peer_connection_closed", replica=self.name, code=code, reason=reason
                    )
                self.last_closed = event
                self._mark_closed()
            case Response(number, reply):
                if (response := self._pending.pop(number, None)) is not None:
                    response.reply = reply
                    response.done.set()

    def send(self, message: RaftFrame) -> None:
        """Send a replica's message, or lose it."""
        if self._connection is None or not self._connection.send(message):
            self.dropped_messages += 1

    def close(self, code: str, reason: str) -> None:
        """End the present connection; it is dialled anew."""
        if self._connection is not None:
            self._connection.close(code, reason)

    async def wait_open(self, deadline_ms: float) -> Opened | None:
        """Wait for the connection to be open; None where it is not in time."""
        with anyio.move_on_at(deadline_ms / 1000):
            while self.peer is None:
                await self._opened.wait()
        return self.peer

    async def ask(self, operation: Operation, *, forward: bool, deadline_ms: float) -> Reply | None:
        """Send a request and wait; None where no reply came: the operation may or may not have been done."""
        if self._connection is None or self.peer is None:
            return None
        self._last_number += 1
        number, response = self._last_number, _PendingResponse()
        self._pending[number] = response
        try:
            if self._connection.send(Request(number, operation, forward)):
                with anyio.move_on_at(deadline_ms / 1000):
                    await response.done.wait()
        finally:
            self._pending.pop(number, None)
        return response.reply
