"""A network in simulated time: in-memory byte streams with delay, bounded windows and failures.

Streams look like sockets to everything above.  Delays are drawn from a seeded source; a cut or refused
connection behaves as on loopback: bytes on the way arrive, then the end.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

WINDOW = 262144


class _Pipe:
    """One direction of a stream."""

    def __init__(self, net: SimNet, address: str) -> None:
        self.net = net
        self.address = address
        self.parts: deque[tuple[float, bytes]] = deque()
        self.held = 0
        self.closed = False
        self.broken = False
        self.last = 0.0
        self.stalled_until = 0.0
        self.news = anyio.Event()
        self.room = anyio.Event()

    def wake(self) -> None:
        news, self.news = self.news, anyio.Event()
        news.set()
        room, self.room = self.room, anyio.Event()
        room.set()

    async def put(self, data: bytes) -> None:
        while self.held >= WINDOW and not self.closed and not self.broken:
            await self.room.wait()
        if self.closed or self.broken:
            raise anyio.BrokenResourceError
        # Bytes of one stream never overtake each other.
        self.last = max(self.last, anyio.current_time() + self.net.delay(self.address))
        self.parts.append((self.last, data))
        self.held += len(data)
        news, self.news = self.news, anyio.Event()
        news.set()

    async def get(self, most: int) -> bytes:
        while True:
            if self.broken:
                raise anyio.BrokenResourceError
            if self.parts:
                at, data = self.parts[0]
                now = anyio.current_time()
                if at > now:
                    with anyio.move_on_at(at):
                        await self.news.wait()
                    continue
                if len(data) > most:
                    self.parts[0] = (at, data[most:])
                    data = data[:most]
                else:
                    self.parts.popleft()
                self.held -= len(data)
                room, self.room = self.room, anyio.Event()
                room.set()
                return data
            if self.closed:
                raise anyio.EndOfStream
            await self.news.wait()


class SimStream:
    """One end of a simulated connection."""

    def __init__(self, inward: _Pipe, outward: _Pipe) -> None:
        """Join two directions."""
        self.inward = inward
        self.outward = outward

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return some bytes; raise EndOfStream at the end."""
        await anyio.lowlevel.checkpoint()
        return await self.inward.get(max_bytes)

    async def send(self, item: bytes) -> None:
        """Send bytes, waiting while the window is full."""
        await anyio.lowlevel.checkpoint()
        await self.outward.put(bytes(item))

    async def aclose(self) -> None:
        """Close both directions; what is on the way still arrives at the peer."""
        self.shut()

    def shut(self) -> None:
        """Close without waiting."""
        self.outward.closed = True
        self.outward.wake()
        self.inward.broken = True
        self.inward.wake()

    def reset(self) -> None:
        """Break both directions at once: what is on the way is lost."""
        for pipe in (self.inward, self.outward):
            pipe.broken = True
            pipe.parts.clear()
            pipe.wake()


class SimDatagrams:
    """A simulated UDP socket: datagrams may be lost, doubled, late, out of order, or cut off."""

    def __init__(self, net: SimNet, address: str, queue: int = 4096) -> None:
        """Stand at an address of the net; `queue` bounds what waits."""
        self.net = net
        self.address = address
        self.dropped = 0
        self._most = queue
        self._waiting: list[tuple[float, int, bytes, str]] = []
        self._news = anyio.Event()

    def send(self, address: str, data: bytes) -> None:
        """Put one datagram on the way."""
        net = self.net
        copies = 2 if net.random.random() < net.doubled else 1
        for _ in range(copies):
            peer = net.sockets.get(address)
            if peer is None or net.random.random() < net.loss or not net.reaches(self.address, address):
                continue
            if len(peer._waiting) >= peer._most:
                peer.dropped += 1
                continue
            net.sent += 1
            at = anyio.current_time() + net.delay(address)
            heapq.heappush(peer._waiting, (at, net.sent, bytes(data), self.address))
            news, peer._news = peer._news, anyio.Event()
            news.set()

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address it came from."""
        await anyio.lowlevel.checkpoint()
        while True:
            if self._waiting:
                at = self._waiting[0][0]
                if at <= anyio.current_time():
                    _, _, data, sender = heapq.heappop(self._waiting)
                    return data, sender
                with anyio.move_on_at(at):
                    await self._news.wait()
                continue
            await self._news.wait()

    def close(self) -> None:
        """Stand there no longer."""
        if self.net.sockets.get(self.address) is self:
            del self.net.sockets[self.address]


Serve = Callable[[SimStream], Awaitable[None]]


class SimNet:
    """Hosts that listen by name; used inside a task group that owns the served connections."""

    def __init__(
        self,
        tasks: TaskGroup,
        seed: int,
        *,
        low_ms: float = 0.1,
        high_ms: float = 0.6,
        ways: Callable[[str], tuple[float, float]] | None = None,
    ) -> None:
        """Draw each delay between the bounds, in milliseconds; `ways` gives those of an address."""
        self.tasks = tasks
        self.random = random.Random(seed)
        self.ways = ways or (lambda address: (low_ms, high_ms))
        self.listeners: dict[str, Serve] = {}
        self.silent: set[str] = set()  # do not accept: a connect hangs
        self.streams: dict[str, list[SimStream]] = {}
        self.sockets: dict[str, SimDatagrams] = {}
        self.loss = 0.0  # of each datagram, one way
        self.doubled = 0.0
        self.sent = 0
        self.reaches: Callable[[str, str], bool] = lambda one, other: True  # datagrams, from and to, one way

    def delay(self, address: str) -> float:
        """Draw a one-way delay in seconds, to or from who listens at an address."""
        low, high = self.ways(address)
        return self.random.uniform(low, high) / 1000

    def datagrams(self, address: str) -> SimDatagrams:
        """Bind a UDP socket at host:port."""
        self.sockets[address] = SimDatagrams(self, address)
        return self.sockets[address]

    def listen(self, address: str, serve: Serve) -> None:
        """Accept connections at host:port."""
        self.listeners[address] = serve
        self.streams.setdefault(address, [])

    def close(self, address: str) -> None:
        """Stop accepting, and reset what is open, as a killed process does."""
        self.listeners.pop(address, None)
        for stream in self.streams.pop(address, []):
            stream.reset()

    async def connect(self, host: str, port: int) -> SimStream:
        """Open a connection.  Raises ConnectionRefusedError where nobody listens."""
        address = f"{host}:{port}"
        await anyio.sleep(self.delay(address) * 2)
        while address in self.silent:
            await anyio.sleep(0.05)
        serve = self.listeners.get(address)
        if serve is None:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        one, two = _Pipe(self, address), _Pipe(self, address)
        ours, theirs = SimStream(one, two), SimStream(two, one)
        held = self.streams[address]
        held.append(theirs)
        self.tasks.start_soon(self._serve, serve, theirs, held)
        return ours

    @staticmethod
    async def _serve(serve: Serve, stream: SimStream, held: list[SimStream]) -> None:
        try:
            await serve(stream)
        finally:
            stream.shut()
            if stream in held:
                held.remove(stream)


class SimSockets:
    """The net's sockets as a program's runtime takes them (`cressrock.runtime.sockets.Sockets`)."""

    def __init__(self, net: SimNet) -> None:
        """Open them at one net."""
        self.net = net

    async def listen(
        self,
        address: str,
        serve: Callable[[Any], Coroutine[Any, Any, None]],
        tasks: TaskGroup,
        *,
        setting: str = "address",
    ) -> tuple[str, Callable[[], Awaitable[None]]]:
        """Serve TCP at host:port; returns it and what closes it."""
        net = self.net
        net.listen(address, serve)

        async def close() -> None:
            net.close(address)

        return address, close

    async def listen_tcp_and_udp(
        self,
        address: str,
        serve: Callable[[Any], Coroutine[Any, Any, None]],
        tasks: TaskGroup,
        *,
        setting: str = "address",
    ) -> tuple[str, SimDatagrams, Callable[[], Awaitable[None]]]:
        """Bind UDP and TCP at host:port."""
        bound, close_tcp = await self.listen(address, serve, tasks)
        datagrams = self.net.datagrams(address)

        async def close() -> None:
            datagrams.close()
            await close_tcp()

        return bound, datagrams, close

    async def connect(self, host: str, port: int) -> SimStream:
        """Open a connection.  Raises ConnectionRefusedError where nobody listens."""
        return await self.net.connect(host, port)
