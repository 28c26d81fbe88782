"""TCP streams and UDP sockets for the transports, and the clocks used with them."""

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
    """A TCP connection that passes received bytes to a callback (`set_receiver`) or a reader (`receive`)."""

    def __init__(self, connected: Callable[[TcpStream], None] | None = None) -> None:
        """`connected` is called when the connection is established."""
        self._connected = connected
        self._transport: asyncio.Transport | None = None
        self._feed: Callable[[bytes], None] | None = None
        self._end: Callable[[], None] | None = None
        self._received: deque[bytes] = deque()
        self._has_ended = False
        self._is_lost = False
        self._data_available: asyncio.Event | None = None
        self._writable: asyncio.Event | None = None

    # --- called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and disable Nagle's algorithm so that small writes are sent at once."""
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        with suppress(OSError, AttributeError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._connected is not None:
            self._connected(self)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the callback, or buffer them; reading pauses above 64 KiB of buffered bytes."""
        if self._feed is not None:
            self._feed(data)
            return
        self._received.append(data)
        if self._transport is not None and sum(map(len, self._received)) > 65536:
            self._transport.pause_reading()
        if self._data_available is not None:
            self._data_available.set()

    def eof_received(self) -> bool:
        """Keep the write side open, since an answer may still be due."""
        self._mark_ended()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark both directions as ended, and wake readers and writers."""
        self._is_lost = True
        self._mark_ended()
        if self._writable is not None:
            self._writable.set()

    def pause_writing(self) -> None:
        """Make `send` wait until the transport can take more."""
        self._writable = asyncio.Event()

    def resume_writing(self) -> None:
        """Wake writers that wait in `send`."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None

    def _mark_ended(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        if self._end is not None:
            self._end()
        if self._data_available is not None:
            self._data_available.set()

    # --- called by the transports

    def set_receiver(self, feed: Callable[[bytes], None], end: Callable[[], None]) -> None:
        """Pass buffered and future bytes to `feed`; call `end` once when the peer has ended."""
        self._feed, self._end = feed, end
        while self._received:
            feed(self._received.popleft())
        if self._has_ended:
            end()
        elif self._transport is not None:
            self._transport.resume_reading()

    def set_reading_paused(self, held: bool) -> None:
        """Pause (`held`) or resume reading from the peer."""
        if self._transport is None or self._transport.is_closing():
            return
        if held:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return at least one and at most `max_bytes` bytes.  Raises EndOfStream at the end."""
        while not self._received:
            if self._has_ended:
                raise anyio.EndOfStream
            self._data_available = asyncio.Event()
            await self._data_available.wait()
        data = self._received.popleft()
        if len(data) > max_bytes:
            self._received.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        if not self._received:
            self.set_reading_paused(False)
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes; wait while the write buffer is full.  Raises BrokenResourceError."""
        if self._is_lost or self._transport is None or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if self._writable is not None:
            await self._writable.wait()
            if self._is_lost:
                raise anyio.BrokenResourceError

    async def aclose(self) -> None:
        """Close both directions.  Pending output is sent first, but discarded if the write buffer is full."""
        if self._transport is not None and not self._is_lost:
            if self._writable is not None:
                self._transport.abort()
            else:
                self._transport.close()

    def abort(self) -> None:
        """Close both directions at once, and discard pending output."""
        if self._transport is not None:
            self._transport.abort()


async def connect(host: str, port: int) -> Stream:
    """Open a TCP connection with Nagle's algorithm disabled.  Raises OSError."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(TcpStream, host, port)
    return stream


class BindError(OSError):
    """An address could not be bound; the one-line text names the setting, the address and a remedy.

    The command line reports it as `errors.listening.AddressUnavailableError`.  It is a separate type because
    the platform's process uses this module but must not load the gateway's errors.
    """

    def __init__(self, setting: str, address: str, error: Exception) -> None:
        """`setting` is the path in the settings file or the option; `error` is the system's error."""
        cause: BaseException = error
        # For datagram sockets uvloop raises only "could not bind"; the reason is in the cause.
        while not (isinstance(cause, OSError) and cause.errno) and cause.__cause__ is not None:
            cause = cause.__cause__
        is_resolver_error = isinstance(
            cause, socket.gaierror
        )  # its errno is the resolver's, not the system's
        number = cause.errno if isinstance(cause, OSError) and not is_resolver_error else None
        if number == errno.EADDRINUSE:
            reason, remedy = (
                "another process has it",
                f"end that one, or set {setting} to an address of its own",
            )
        elif number == errno.EADDRNOTAVAIL or is_resolver_error:
            reason, remedy = "this machine has no such address", f"set {setting} to one that it has"
        elif number in (errno.EACCES, errno.EPERM):
            reason, remedy = "this user may not open that port", f"set {setting} to a port from 1024 on"
        else:
            # One line: readers of only the last line of a longer text would miss the setting.
            system_text = os.strerror(number) if number else " ".join(str(error).split())
            reason, remedy = system_text, f"set {setting} to host:port, with a port that can be opened"
        super().__init__(f"{setting}: cannot listen at {address}: {reason}; {remedy}")
        self.setting, self.address, self.errno = setting, address, number


def _parse_address(address: str) -> tuple[str, int]:
    """Parse host:port.  Raises ValueError."""
    host, _, port = address.rpartition(":")
    # uvloop would silently use the port's lowest 16 bits.
    if not 0 <= int(port) <= 65535:
        raise ValueError("a port is a number from 0 to 65535")
    return host, int(port)


@contextmanager
def report_bind_errors(setting: str, address: str) -> Iterator[None]:
    """Wrap code that binds the address of a setting; turns every failure into a BindError."""
    try:
        yield
    except BindError:
        raise
    except (
        OSError,
        ValueError,
        OverflowError,
    ) as error:  # also a port that is not a number or is above 65535
        raise BindError(setting, address, error) from error


async def listen(
    address: str,
    serve: Callable[[Stream], Coroutine[Any, Any, None]],
    tasks: TaskGroup,
    *,
    setting: str = "address",
    log: Any = None,
) -> tuple[str, Callable[[], Awaitable[None]]]:
    """Serve connections at host:port in a task group; return the bound address and a close function.

    Raises BindError, which names the setting.  While no descriptor is free, accepting pauses and resumes by
    itself; open connections are not affected.
    """
    loop = asyncio.get_running_loop()

    def connected(stream: TcpStream) -> None:
        try:
            tasks.start_soon(serve, stream)
        except RuntimeError:  # the task group has ended: the process is about to
            stream.abort()

    with report_bind_errors(setting, address):
        server = await loop.create_server(
            lambda: TcpStream(connected), *_parse_address(address), backlog=4096
        )
    bound = server.sockets[0].getsockname()

    async def close() -> None:
        server.close()

    return f"{bound[0]}:{bound[1]}", close


class UdpSocket(asyncio.DatagramProtocol):
    """A bound UDP socket with a bounded receive queue; datagrams that arrive at a full queue are dropped."""

    def __init__(self, queue: int = 4096) -> None:
        """`queue` is the maximum number of queued datagrams."""
        self.dropped = 0
        self._max_queued = queue
        self._waiting: deque[tuple[bytes, str]] = deque()
        self._data_available = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Queue a datagram, or count it as dropped if the queue is full."""
        if len(self._waiting) >= self._max_queued:
            self.dropped += 1
            return
        self._waiting.append((data, f"{addr[0]}:{addr[1]}"))
        self._data_available.set()

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams: their loss is expected."""

    def send(self, address: str, data: bytes) -> None:
        """Send one datagram to ip:port; one that cannot be sent is lost without an error."""
        host, _, port = address.rpartition(":")
        if self._transport is not None and not self._transport.is_closing():
            with suppress(OSError, ValueError):
                self._transport.sendto(data, (host.strip("[]"), int(port)))

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and its source address; waits for one."""
        while not self._waiting:
            self._data_available.clear()
            await self._data_available.wait()
        return self._waiting.popleft()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def listen_tcp_and_udp(
    address: str,
    serve: Callable[[Stream], Coroutine[Any, Any, None]],
    tasks: TaskGroup,
    *,
    setting: str = "address",
) -> tuple[str, UdpSocket, Callable[[], Awaitable[None]]]:
    """Bind TCP and UDP at one host:port; port 0 selects one that is free for both.

    Returns the bound address, the UDP socket, and a function that closes both.  Raises BindError.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    while True:
        bound, close_tcp = await listen(address, serve, tasks, setting=setting)
        try:
            local_address = (host, int(bound.rpartition(":")[2]))
            with report_bind_errors(setting, f"{address} (UDP)"):
                _, datagrams = await loop.create_datagram_endpoint(UdpSocket, local_addr=local_address)
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
    """Return the monotonic clock of the running event loop (asyncio or trio), in milliseconds."""
    try:
        read = asyncio.get_running_loop().time
    except RuntimeError:
        return lambda: anyio.current_time() * 1000
    return lambda: read() * 1000


def wall_ms() -> float:
    """Return the wall clock, in milliseconds since the epoch."""
    return time.time() * 1000
