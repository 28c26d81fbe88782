"""Interface through which a process opens sockets, and its implementation for the operating system."""

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
    """Opens sockets, on the operating system or on a simulated network."""

    async def listen(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Close]:
        """Serve TCP in `tasks`; returns the bound address and a function that closes the listener.

        Raises BindError, which names `setting`.
        """

    async def listen_tcp_and_udp(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, DatagramSocket, Close]:
        """Bind UDP and TCP at one address, and serve TCP.

        Returns the bound address, the datagram socket and a function that closes both.  Raises BindError.
        """

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""


class SystemSockets:
    """Opens sockets of the operating system."""

    async def listen(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, Close]:
        """Serve TCP in `tasks`; returns the bound address and a function that closes the listener.

        Raises BindError, which names `setting`.
        """
        return await net.listen(address, serve, tasks, setting=setting)

    async def listen_tcp_and_udp(
        self, address: str, serve: Serve, tasks: TaskGroup, *, setting: str
    ) -> tuple[str, DatagramSocket, Close]:
        """Bind UDP and TCP at one address, and serve TCP.

        Returns the bound address, the datagram socket and a function that closes both.  Raises BindError.
        """
        return await net.listen_tcp_and_udp(address, serve, tasks, setting=setting)

    async def connect(self, host: str, port: int) -> Stream:
        """Open a TCP connection.  Raises OSError."""
        return await net.connect(host, port)
