"""Where a process's sockets come from: the system, or a simulated network."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from anyio.abc import TaskGroup

from cressrock import net
from cressrock.gossip.transport import DatagramSocket
from cressrock.http.channel import Stream

Serve = Callable[[Stream], Coroutine[Any, Any, None]]
Close = Callable[[], Awaitable[None]]


class Sockets(Protocol):
    """Where a process's sockets come from: loopback and beyond, or a simulated network."""

    async def listen(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Close]:
        """Serve TCP; returns the bound address and what closes it.  Raises BindError."""

    async def listen_tcp_and_udp(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, DatagramSocket, Close]:
        """Bind UDP and TCP at one address.  Raises BindError."""

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""


class SystemSockets:
    """The system's sockets."""

    async def listen(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Close]:
        """Serve TCP; returns the bound address and what closes it.  Raises BindError."""
        return await net.listen(address, serve, tasks, setting=setting)

    async def listen_tcp_and_udp(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, DatagramSocket, Close]:
        """Bind UDP and TCP at one address.  Raises BindError."""
        return await net.listen_tcp_and_udp(address, serve, tasks, setting=setting)

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""
        return await net.connect(host, port)
