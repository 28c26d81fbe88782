"""Accepts clients' connections, a few in one round of the loop: a carrier.

Danger: asyncio's own server accepts in one round as many as its backlog holds.  Each takes a descriptor, and
the front hears of the first of them two rounds later: a crowd takes every descriptor of the process before
the front can give up anybody, and then there is none for discovery or a storage server.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 1024  # connections that wait in the kernel


class Listener:
    """One listening socket; `count` connections are accepted in a round at most."""

    def __init__(
        self, address: tuple[str, int], protocol: Callable[[], asyncio.BaseProtocol], count: int
    ) -> None:
        """Listen on the running loop.  Raises OSError where the address cannot be had."""
        self.protocol = protocol
        self.count = count
        self.loop = asyncio.get_running_loop()
        self.exhausted = 0  # times at which the process had no descriptor for a connection
        self._tasks: set[asyncio.Task[object]] = set()
        self._paused = False
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.create_server(address, family=family, backlog=BACKLOG)
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket, self._accept)

    def address(self) -> tuple[str, int]:
        """Return where it listens."""
        host, port = self.socket.getsockname()[:2]
        return host, port

    def fileno(self) -> int:
        """Return its descriptor; -1 once it is closed."""
        return self.socket.fileno()

    def is_serving(self) -> bool:
        """Whether connections can still come."""
        return self.socket.fileno() >= 0

    def close(self) -> None:
        """Accept nothing more; what was accepted goes on."""
        if self.is_serving():
            self.loop.remove_reader(self.socket)
            self.socket.close()

    def resume(self) -> None:
        """Try again, where no descriptor was left at the last try."""
        if self._paused and self.is_serving():
            self._paused = False
            self.loop.add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        for _ in range(self.count):
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # Danger: what waits in the kernel would wake the loop again and again.
                self.exhausted += 1
                self._paused = True
                self.loop.remove_reader(self.socket)
                return
            accepted.setblocking(False)
            task = self.loop.create_task(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.protocol, accepted)
        except OSError:
            accepted.close()
