"""Connections over streams, and connections to replicas that reconnect after every disconnect."""

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
CLOSE_TIMEOUT_SECONDS = 1.0  # for closing a stream
WAKE_MARGIN_SECONDS = 1e-6  # so that a deadline has passed when its sleeping task wakes


@dataclass(frozen=True, slots=True)
class ReconnectBackoff:
    """Delays between attempts: doubled from `min_ms` to `max_ms`, each drawn from 50 to 100 % of that."""

    min_ms: float = 50.0
    max_ms: float = 1000.0
    connect_timeout_ms: float = 1000.0  # an attempt that takes longer is aborted


class Connection:
    """Runs one ConnectionProtocol over one stream until either ends."""

    def __init__(
        self,
        protocol: ConnectionProtocol,
        stream: Stream,
        clock: Callable[[], float],
        on_event: Callable[[Event], None],
    ) -> None:
        """Create a connection for `run`; `on_event` receives each event, with Closed as the last one."""
        self.protocol, self.stream, self.clock, self.on_event = protocol, stream, clock, on_event
        self._wakeup = anyio.Event()

    def send(self, message: RaftFrame | Request | Response) -> bool:
        """Queue a message for writing; return False if it was dropped."""
        sent = self.protocol.send(message)
        self._wakeup.set()
        return sent

    def close(self, code: str, reason: str) -> None:
        """Close the connection from this side with a reason."""
        self._emit(self.protocol.close(code, reason))
        self._wakeup.set()

    def _emit(self, events: list[Event]) -> None:
        for event in events:
            self.on_event(event)

    async def run(self) -> None:
        """Read and write until the connection ends, then close the stream."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, tasks.cancel_scope)
                await self._write()
                tasks.cancel_scope.cancel()
        except (*BROKEN, TimeoutError):
            pass  # the connection ended; the Closed event reports it
        except BaseExceptionGroup as group:
            unexpected = group.split(lambda error: isinstance(error, (*BROKEN, TimeoutError)))[1]
            if unexpected is not None:
                raise unexpected from None
        finally:
            self._emit(self.protocol.receive_end())
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
                await self.stream.aclose()

    async def _write(self) -> None:
        protocol = self.protocol
        while True:
            self._emit(protocol.tick(self.clock()))
            self._wakeup = anyio.Event()
            if data := protocol.take_bytes():
                # Without a timeout, a peer that stops reading would hold its connection indefinitely.
                with anyio.fail_after(protocol.limits.peer_timeout_ms / 1000):
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
    """A connection to one replica that reconnects after every disconnect."""

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
        """Create a connection for `run`; `local` returns the identity for each handshake."""
        self.environment, self.name, self.address, self.local = environment, name, address, local
        self.limits, self.reconnect, self._on_open = limits, reconnect, on_open
        self.peer: Opened | None = None  # the other end, while the connection is open
        self.last_closed: Closed | None = None
        self.dropped_messages = 0
        self._connection: Connection | None = None
        self._opened = anyio.Event()
        self._pending: dict[int, _PendingResponse] = {}
        self._last_number = 0

    async def run(self) -> None:
        """Connect, and reconnect after each disconnect, until cancelled."""
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
            with anyio.move_on_after(self.reconnect.connect_timeout_ms / 1000):
                return await self.environment.connect(host, int(port))
        except BROKEN:
            pass  # dialled again after the backoff delay
        return None

    async def _serve(self, stream: Stream) -> bool:
        """Serve a stream until it ends; return whether the handshake succeeded."""
        environment = self.environment
        protocol = ConnectionProtocol(True, self.local(), environment.clock(), limits=self.limits)
        self._connection = Connection(protocol, stream, environment.clock, self._on_event)
        try:
            await self._connection.run()
        finally:
            self._fail_pending_requests()
        return bool(protocol.peer)

    def last_received_ms(self) -> float | None:
        """Return the time of the last received bytes on our clock; None while not connected."""
        return self._connection.protocol.last_received_ms if self._connection and self.peer else None

    @property
    def peer_applied(self) -> int:
        """The highest index that the other end has reported as applied; 0 without a connection."""
        return self._connection.protocol.peer_applied if self._connection else 0

    def _fail_pending_requests(self) -> None:
        self._connection = None
        self._mark_closed()
        pending, self._pending = self._pending, {}
        for response in pending.values():
            response.done.set()

    def _mark_closed(self) -> None:
        self.peer = None
        if self._opened.is_set():  # an event that tasks still wait for must not be replaced
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
        """Send a raft message; it is dropped and counted if the connection is not open or its queue full."""
        if self._connection is None or not self._connection.send(message):
            self.dropped_messages += 1

    def close(self, code: str, reason: str) -> None:
        """Close the current connection; `run` then reconnects."""
        if self._connection is not None:
            self._connection.close(code, reason)

    async def wait_open(self, deadline_ms: float) -> Opened | None:
        """Wait until the connection is open; return None if that takes past the deadline."""
        with anyio.move_on_at(deadline_ms / 1000):
            while self.peer is None:
                await self._opened.wait()
        return self.peer

    async def ask(self, operation: Operation, *, forward: bool, deadline_ms: float) -> Reply | None:
        """Send a request and return the reply; None without a reply, when the outcome is unknown."""
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
