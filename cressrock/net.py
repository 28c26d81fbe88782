"""Loopback and other TCP sockets as the streams that carriers take, and the clock that goes with them."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup

from cressrock.http.channel import Stream


class TcpStream(asyncio.Protocol):
    """A TCP connection that hands its bytes over as they come; it can be read by `receive` as well."""

    def __init__(self, connected: Callable[[TcpStream], None] | None = None) -> None:
        """`connected` is called when the connection stands."""
        self._connected = connected
        self._transport: asyncio.Transport | None = None
        self._feed: Callable[[bytes], None] | None = None
        self._end: Callable[[], None] | None = None
        self._early: deque[bytes] = deque()
        self._ended = False
        self._lost = False
        self._news: asyncio.Event | None = None
        self._writable: asyncio.Event | None = None

    # --- asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; small writes leave at once."""
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        with suppress(OSError, AttributeError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._connected is not None:
            self._connected(self)

    def data_received(self, data: bytes) -> None:
        """Hand bytes on, or keep them until somebody takes them."""
        if self._feed is not None:
            self._feed(data)
            return
        self._early.append(data)
        if self._transport is not None and sum(map(len, self._early)) > 65536:
            self._transport.pause_reading()
        if self._news is not None:
            self._news.set()

    def eof_received(self) -> bool:
        """Keep the way out open: an answer may still be owed."""
        self._finish()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """End both directions."""
        self._lost = True
        self._finish()
        if self._writable is not None:
            self._writable.set()

    def pause_writing(self) -> None:
        """Hold writers back."""
        self._writable = asyncio.Event()

    def resume_writing(self) -> None:
        """Let writers go on."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    def _finish(self) -> None:
        if self._ended:
            return
        self._ended = True
        if self._end is not None:
            self._end()
        if self._news is not None:
            self._news.set()

    # --- the carriers' side

    def attach(self, feed: Callable[[bytes], None], end: Callable[[], None]) -> None:
        """Hand over what has come and all that will, then the end, once."""
        self._feed, self._end = feed, end
        while self._early:
            feed(self._early.popleft())
        if self._ended:
            end()
        elif self._transport is not None:
            self._transport.resume_reading()

    def hold(self, held: bool) -> None:
        """Stop or go on taking bytes from the peer."""
        if self._transport is None or self._transport.is_closing():
            return
        if held:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return some bytes; raise EndOfStream at the end."""
        while not self._early:
            if self._ended:
                raise anyio.EndOfStream
            self._news = asyncio.Event()
            await self._news.wait()
        data = self._early.popleft()
        if len(data) > max_bytes:
            self._early.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        if not self._early:
            self.hold(False)
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes, waiting while the peer holds back.  Raises BrokenResourceError."""
        if self._lost or self._transport is None or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if self._writable is not None:
            await self._writable.wait()
            if self._lost:
                raise anyio.BrokenResourceError

    async def aclose(self) -> None:
        """Close both directions; what was written still leaves, unless the peer holds it back."""
        if self._transport is not None and not self._lost:
            if self._writable is not None:
                self._transport.abort()
            else:
                self._transport.close()


async def connect(host: str, port: int) -> Stream:
    """Open a TCP connection without Nagle's delay.  Raises OSError."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(TcpStream, host, port)
    return stream


class BindError(OSError):
    """An address could not be bound; the text, in one line, names the setting, the address and the way out.

    `errors.listening.AddressUnavailable` is its form on the command line.  Not that type itself: the
    platform's process opens its listener by this one, and loads none of the gateway's errors.
    """

    def __init__(self, setting: str, address: str, wrong: Exception) -> None:
        """`setting` is the place in the settings file or the option; `wrong` is what the system said."""
        cause: BaseException = wrong
        # Danger: of a datagram socket uvloop says only "could not bind"; why stands in what that is from.
        while not (isinstance(cause, OSError) and cause.errno) and cause.__cause__ is not None:
            cause = cause.__cause__
        unknown = isinstance(cause, socket.gaierror)  # whose numbers are the resolver's own
        number = cause.errno if isinstance(cause, OSError) and not unknown else None
        if number == errno.EADDRINUSE:
            what, way = "another process has it", f"end that one, or set {setting} to an address of its own"
        elif number == errno.EADDRNOTAVAIL or unknown:
            what, way = "this machine has no such address", f"set {setting} to one that it has"
        elif number in (errno.EACCES, errno.EPERM):
            what, way = "this user may not open that port", f"set {setting} to a port from 1024 on"
        else:
            # Danger: a text of several lines would hide the setting from who reads the last one.
            said = os.strerror(number) if number else " ".join(str(wrong).split())
            what, way = said, f"set {setting} to host:port, with a port that can be opened"
        super().__init__(f"{setting}: cannot listen at {address}: {what}; {way}")
        self.setting, self.address, self.errno = setting, address, number


def _place(address: str) -> tuple[str, int]:
    """Read host:port.  Raises ValueError."""
    host, _, port = address.rpartition(":")
    # Danger: uvloop listens at the port's lowest 16 bits and says nothing.
    if not 0 <= int(port) <= 65535:
        raise ValueError("a port is a number up to 65535")
    return host, int(port)


@contextmanager
def binding(setting: str, address: str) -> Iterator[None]:
    """Around whatever binds an address of a setting: raises BindError for all that can fail there."""
    try:
        yield
    except BindError:
        raise
    except (OSError, ValueError, OverflowError) as wrong:  # also a port that is no number, or past 65535
        raise BindError(setting, address, wrong) from wrong


async def listen(
    address: str,
    serve: Callable[[Stream], Coroutine[Any, Any, None]],
    tasks: TaskGroup,
    *,
    setting: str = "address",
    log: Any = None,
) -> tuple[str, Callable[[], Awaitable[None]]]:
    """Serve connections at host:port in a task group; returns the bound address and what closes it.

    Raises BindError, which names the setting.  While descriptors are used up accepting waits and goes on by
    itself; open connections are not touched.
    """
    loop = asyncio.get_running_loop()

    def connected(stream: TcpStream) -> None:
        tasks.start_soon(serve, stream)

    with binding(setting, address):
        server = await loop.create_server(lambda: TcpStream(connected), *_place(address), backlog=4096)
    bound = server.sockets[0].getsockname()

    async def close() -> None:
        server.close()

    return f"{bound[0]}:{bound[1]}", close


class UdpSocket(asyncio.DatagramProtocol):
    """A bound UDP socket; what waits to be taken is bounded, beyond it the newest is dropped."""

    def __init__(self, queue: int = 4096) -> None:
        """`queue` bounds the datagrams that wait."""
        self.dropped = 0
        self._most = queue
        self._waiting: deque[tuple[bytes, str]] = deque()
        self._news = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Queue a datagram."""
        if len(self._waiting) >= self._most:
            self.dropped += 1
            return
        self._waiting.append((data, f"{addr[0]}:{addr[1]}"))
        self._news.set()

    def error_received(self, exc: Exception) -> None:
        """Pass over what the network says of single datagrams: their loss is expected."""

    def send(self, address: str, data: bytes) -> None:
        """Send one datagram to ip:port; one that cannot leave is lost like any other."""
        host, _, port = address.rpartition(":")
        if self._transport is not None and not self._transport.is_closing():
            with suppress(OSError, ValueError):
                self._transport.sendto(data, (host.strip("[]"), int(port)))

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address it came from."""
        while not self._waiting:
            self._news.clear()
            await self._news.wait()
        return self._waiting.popleft()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def listen_both(
    address: str,
    serve: Callable[[Stream], Coroutine[Any, Any, None]],
    tasks: TaskGroup,
    *,
    setting: str = "address",
) -> tuple[str, UdpSocket, Callable[[], Awaitable[None]]]:
    """Bind TCP and UDP at one host:port, with port 0 at one that is free for both.

    Returns the bound address, the datagrams, and what closes both.  Raises BindError.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    while True:
        bound, close_tcp = await listen(address, serve, tasks, setting=setting)
        try:
            at = (host, int(bound.rpartition(":")[2]))
            with binding(setting, f"{address} (UDP)"):
                _, datagrams = await loop.create_datagram_endpoint(UdpSocket, local_addr=at)
            break
        except OSError:
            await close_tcp()
            if int(port):
                raise

    async def close() -> None:
        datagrams.close()
        await close_tcp()

    return bound, datagrams, close


def clock() -> Callable[[], float]:
    """Return the running event loop's monotonic clock, in milliseconds; trio's too."""
    try:
        read = asyncio.get_running_loop().time
    except RuntimeError:
        return lambda: anyio.current_time() * 1000
    return lambda: read() * 1000


def wall_ms() -> float:
    """Return epoch milliseconds."""
    return time.time() * 1000
