"""Relays on loopback: each directed pair of names talks through a port of its own, and the way may be bad.

One relay serves TCP and UDP on one port number of 127.0.0.1 that the system gives.  What goes from A to B
meets the faults of the way (A, B), also the bytes that come back on a connection that B opened.  Carriers:
what becomes of bytes is decided in `lab.faults`.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cressrock.lab.faults import CALM, Faults, Way, between

HOST = "127.0.0.1"
WINDOW = 262144  # bytes a stream may hold back before its sender is no longer read
MOST_HELD = 4096  # datagrams a way may hold back
BROKEN = (OSError, anyio.BrokenResourceError)
_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing sends a reset, and forgets what is unsent

Pair = tuple[str, str]


class Relays:
    """All relays of one drill; used inside a task group, which `close` leaves empty."""

    def __init__(self, tasks: TaskGroup, seed: int, clock: Callable[[], float]) -> None:
        """`clock` gives monotonic milliseconds."""
        self.tasks = tasks
        self.seed = seed
        self.clock = clock
        self.ways: dict[Pair, Way] = {}
        self.relays: dict[tuple[str, str, str], _Relay] = {}
        self.targets: dict[tuple[str, str], tuple[str, int]] = {}
        self.changed = anyio.Event()
        self.slowest_ms = 0.0  # the most by which a relay itself was later than the faults wanted
        # Told of each piece and datagram that goes on: its port's kind, how long it was held back.
        self.when_passed: Callable[[str, float], None] = lambda kind, held_ms: None

    # --- addresses

    def address(self, source: str, destination: str, kind: str) -> str:
        """Return the address at which `source` reaches `destination`, made on demand.  Raises OSError.

        `kind` tells a process's ports apart.  It holds over the destination's lives: see `target`.
        """
        if source == destination:
            raise ValueError(f"{source} does not talk to itself through a relay")
        for one, other in ((source, destination), (destination, source)):
            if (one, other, kind) not in self.relays:
                self.relays[one, other, kind] = _Relay(self, one, other, kind)
        return f"{HOST}:{self.relays[source, destination, kind].port}"

    def target(self, name: str, kind: str, address: str) -> None:
        """Say where a name truly listens, in its present life."""
        host, _, port = address.rpartition(":")
        self.targets[name, kind] = (host, int(port))

    def gone(self, name: str) -> None:
        """Say that a name listens nowhere: the system may give its ports to somebody else."""
        for key in [key for key in self.targets if key[0] == name]:
            del self.targets[key]

    def way(self, source: str, destination: str) -> Way:
        """Return one direction."""
        way = self.ways.get((source, destination))
        if way is None:
            way = self.ways[source, destination] = Way(f"{source}>{destination}", self.seed)
        return way

    # --- faults

    def set(self, pair: Pair, faults: Faults) -> None:
        """Put a direction's faults in the place of those it has."""
        self._set({pair: faults})

    def cut(self, one: str, other: str) -> None:
        """Cut both directions; other faults stay."""
        self.partition([{one}, {other}])

    def one_way(self, source: str, destination: str) -> None:
        """Cut the direction from `source` to `destination` alone."""
        self._cut([(source, destination)])

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Cut every group from every other; names in no group are cut from nobody."""
        self._cut(between(groups))

    def ring(self, a: str, b: str, c: str) -> None:
        """A and B talk, B and C talk, C and A do not."""
        self.partition([{a}, {c}])

    def heal(self) -> None:
        """Take all faults away; streams that were held back go on."""
        self._set(dict.fromkeys(self.ways, CALM))

    def reset(self, one: str, other: str) -> int:
        """Break every connection between two names with a reset; returns how many there were."""
        count = 0
        for source, destination in ((one, other), (other, one)):
            for key, relay in self.relays.items():
                if key[:2] == (source, destination):
                    count += len(relay.connections)
                    for connection in list(relay.connections):
                        connection.reset()
        return count

    def _cut(self, pairs: Iterable[Pair]) -> None:
        self._set({pair: replace(self.way(*pair).faults, cut=True) for pair in pairs})

    def _set(self, changes: dict[Pair, Faults]) -> None:
        for pair, faults in changes.items():
            self.way(*pair).change(faults)
        for relay in self.relays.values():
            relay.mind()
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def close(self) -> None:
        """Close all ports and connections."""
        for relay in self.relays.values():
            relay.close()

    def late(self, due_ms: float) -> None:
        """Take note of how late something went on."""
        self.slowest_ms = max(self.slowest_ms, self.clock() - due_ms)


class _Relay:
    """One directed pair's port."""

    def __init__(self, relays: Relays, source: str, destination: str, kind: str) -> None:
        self.relays, self.source, self.destination, self.kind = relays, source, destination, kind
        self.there, self.back = relays.way(source, destination), relays.way(destination, source)
        self.connections: set[_Connection] = set()
        self.seen: tuple[str, int] | None = None  # whence the source's last datagram came
        self.held = 0
        self.closed = False
        self.datagrams: asyncio.DatagramTransport | None = None
        self.listener: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.junk: set[int] = set()  # ports of fillers that stand in the queue and are nobody's connection
        self.turn = anyio.CancelScope()
        self._bind()
        self.mind()
        relays.tasks.start_soon(self._accept)
        relays.tasks.start_soon(self._open_datagrams)

    def _bind(self) -> None:
        """Find a port that is free for both protocols, and keep it while nobody listens at it."""
        for _ in range(50):
            self.holder = _socket(socket.SOCK_STREAM)
            self.holder.bind((HOST, 0))
            self.port: int = self.holder.getsockname()[1]
            self.wire = _socket(socket.SOCK_DGRAM)
            try:
                self.wire.bind((HOST, self.port))
                return
            except OSError:
                self.wire.close()
                self.holder.close()
        raise OSError("no port was free for TCP and UDP")

    # --- connections

    def mind(self) -> None:
        """Listen, refuse or hang as the faults of the moment say."""
        if self.closed:
            return
        refuse = self.there.faults.refuse
        hang = not refuse and (self.there.faults.cut or self.back.faults.cut)
        if refuse and self.listener is not None:
            # The holder keeps the port, but listens not: the system refuses.
            self._release()
            self.listener.close()
            self.listener = None
        elif not refuse and self.listener is None:
            self.listener = _socket(socket.SOCK_STREAM)
            self.listener.bind((HOST, self.port))
            self.listener.listen(512)
        if hang and not self.fillers:
            self._fill()
        elif not hang and self.fillers:
            self._release()
        self.turn.cancel()

    def _fill(self) -> None:
        """Let new connections hang: nobody accepts, and the queue is full, so that the system drops them."""
        assert self.listener is not None
        self.listener.listen(0)
        for _ in range(2):
            filler = _socket(socket.SOCK_STREAM)
            self.fillers.append(filler)
            with suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            with suppress(OSError):
                filler.getpeername()  # raises unless it stands in the queue
                self.junk.add(filler.getsockname()[1])

    def _release(self) -> None:
        for filler in self.fillers:
            _abort(filler)
        self.fillers.clear()
        if self.listener is not None:
            self.listener.listen(512)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.closed:
            with anyio.CancelScope() as self.turn:
                listener = self.listener
                if listener is None or self.fillers:
                    await anyio.sleep_forever()
                    continue
                try:
                    stream, peer = await loop.sock_accept(listener)
                except OSError:
                    await anyio.sleep(0.01)
                    continue
                if peer[1] in self.junk:
                    self.junk.discard(peer[1])
                    stream.close()
                    continue
                self.relays.tasks.start_soon(self._connection, stream)

    async def _connection(self, stream: socket.socket) -> None:
        connection = _Connection(self, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    # --- datagrams

    async def _open_datagrams(self) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(self), sock=self.wire)
        self.datagrams = transport
        if self.closed:
            transport.abort()

    def datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Take a datagram of the source; what arrives of it leaves from the port of the way back.

        So who answers the sender's address answers through the right relay.
        """
        self.seen = sender
        now, loop = self.relays.clock(), asyncio.get_running_loop()
        for due, copy in self.there.datagram(now, data):
            if due <= now:
                self._pass(copy)
            elif self.held < MOST_HELD:
                self.held += 1
                loop.call_later((due - now) / 1000, self._pass_held, now, due, copy)
            else:
                self.there.counts["lost"] += 1

    def _pass_held(self, came: float, due: float, data: bytes) -> None:
        self.held -= 1
        self.relays.late(due)
        self.relays.when_passed(self.kind, self.relays.clock() - came)
        self._pass(data)

    def _pass(self, data: bytes) -> None:
        relays = self.relays
        back = relays.relays[self.destination, self.source, self.kind]
        where = relays.targets.get((self.destination, self.kind)) or back.seen
        if where is None or back.datagrams is None or back.datagrams.is_closing():
            self.there.counts["lost"] += 1
            return
        back.datagrams.sendto(data, where)

    def close(self) -> None:
        """Close the port; connections are reset."""
        self.closed = True
        for connection in list(self.connections):
            connection.reset()
        self._release()
        self.holder.close()
        if self.listener is not None:
            self.listener.close()
        if self.datagrams is not None:
            self.datagrams.abort()
        self.turn.cancel()


class _Datagrams(asyncio.DatagramProtocol):
    """A relay's UDP port."""

    def __init__(self, relay: _Relay) -> None:
        self.relay = relay

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A port where nobody listens: to the sender it looks like a loss."""


class _Connection:
    """One connection through a relay: two directions that meet the faults of their own way each."""

    def __init__(self, relay: _Relay, near: socket.socket) -> None:
        near.setblocking(False)
        self.relay, self.near = relay, near
        self.far: socket.socket | None = None
        self.scope = anyio.CancelScope()

    def reset(self) -> None:
        """Break both ends at once.  Closed are they by `run`, which may still wait on them."""
        for one in (self.near, self.far):
            if one is not None:
                with suppress(OSError):
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.scope.cancel()

    async def run(self) -> None:
        """Carry bytes until both directions have ended or one is broken."""
        relay, loop = self.relay, asyncio.get_running_loop()
        try:
            with self.scope:
                # What was accepted just before a cut has not come up at the other end: it hangs as well.
                while relay.there.faults.cut or relay.back.faults.cut:
                    await relay.relays.changed.wait()
                where = relay.relays.targets.get((relay.destination, relay.kind))
                if where is None:
                    raise ConnectionRefusedError(f"{relay.destination} has no {relay.kind} yet")
                self.far = _socket(socket.SOCK_STREAM)
                await loop.sock_connect(self.far, where)
                for one in (self.near, self.far):
                    one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_Flow(relay.relays, relay.there, self.near, self.far, self).run)
                    tasks.start_soon(_Flow(relay.relays, relay.back, self.far, self.near, self).run)
        except* BROKEN:
            self.reset()
        finally:
            self.near.close()
            if self.far is not None:
                self.far.close()


class _Flow:
    """One direction of a connection: read, hold back, write."""

    def __init__(
        self, relays: Relays, way: Way, source: socket.socket, sink: socket.socket, connection: _Connection
    ) -> None:
        self.relays, self.way, self.source, self.sink = relays, way, source, sink
        self.kind = connection.relay.kind
        self.parts: deque[tuple[float, float, bytes | None]] = deque()  # came, due; None: the end
        self.held = 0
        self.last = 0.0
        self.news = anyio.Event()
        self.room = anyio.Event()
        self.broken = False

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read)
            await self._write()
            tasks.cancel_scope.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while self.held >= WINDOW:
                self.room = anyio.Event()
                await self.room.wait()
            try:
                data = await loop.sock_recv(self.source, self.way.most_piece())
            except OSError:
                # A reset travels the same way as bytes: a cut holds it back.
                self.broken, data = True, b""
            now = self.relays.clock()
            self.last = max(self.last, self.way.piece(now, len(data)))
            self.parts.append((now, self.last, data or None))
            self.held += len(data)
            self.news.set()
            if not data:
                return

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self.parts:
                self.news = anyio.Event()
                await self.news.wait()
            came, due, data = self.parts[0]
            wait = due - self.relays.clock()
            if self.way.faults.cut:
                await self.relays.changed.wait()
                continue
            if wait > 0:
                with anyio.move_on_after(wait / 1000):
                    await self.relays.changed.wait()
                    self.parts[0] = (came, self.way.again(self.relays.clock(), due), data)
                    continue
                self.relays.late(due)
            self.parts.popleft()
            if data is None:
                if self.broken:
                    raise ConnectionResetError
                with suppress(OSError):
                    self.sink.shutdown(socket.SHUT_WR)
                return
            self.relays.when_passed(self.kind, self.relays.clock() - came)
            await loop.sock_sendall(self.sink, data)
            self.held -= len(data)
            self.room.set()


def _socket(kind: socket.SocketKind) -> socket.socket:
    one = socket.socket(socket.AF_INET, kind)
    one.setblocking(False)
    if kind == socket.SOCK_STREAM:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    return one


def _abort(one: socket.socket) -> None:
    """Close with a reset."""
    with suppress(OSError):
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    one.close()
