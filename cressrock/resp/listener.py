"""Accepts client connections, a bounded number per iteration of the event loop.

asyncio's own server accepts up to its whole backlog in one iteration.  Each connection takes a descriptor,
and the front learns of the first one only two iterations later.  A burst would take every descriptor of the
process before the front could close any connection, leaving none for discovery or storage servers.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from cressrock.resp.receive_buffer import RECEIVE_BYTES

BACKLOG = 1024  # connections waiting in the kernel
# Of a connection's input in the kernel, which doubles the figure and uses about half for overhead.  A whole
# command fits, so that it can wait there until the process has room for it.
KERNEL_RECEIVE_BYTES = 2 * RECEIVE_BYTES


class Listener:
    """One listening socket."""

    def __init__(
        self,
        address: tuple[str, int],
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        max_accepts: int,
    ) -> None:
        """Listen on the running loop; accept at most `max_accepts` connections per iteration of it.

        Raises OSError if the address cannot be bound.
        """
        self.protocol_factory = protocol_factory
        self.max_accepts = max_accepts
        self.loop = asyncio.get_running_loop()
        self.failed_accept_count = 0  # how often accept failed, as when no descriptor was free
        self._tasks: set[asyncio.Task[object]] = set()
        self._is_paused = False
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.create_server(address, family=family, backlog=BACKLOG)
        with suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_RECEIVE_BYTES)
        self.socket.setblocking(False)
        self.loop.add_reader(self.socket, self._accept)

    def address(self) -> tuple[str, int]:
        """Return the bound host and port."""
        host, port = self.socket.getsockname()[:2]
        return host, port

    def fileno(self) -> int:
        """Return the socket's descriptor; -1 after `close`."""
        return self.socket.fileno()

    def is_serving(self) -> bool:
        """Return whether the listening socket is open."""
        return self.socket.fileno() >= 0

    def close(self) -> None:
        """Stop accepting; accepted connections are not affected."""
        if self.is_serving():
            self.loop.remove_reader(self.socket)
            self.socket.close()

    def resume(self) -> None:
        """Accept again if accepting was paused for lack of a descriptor."""
        if self._is_paused and self.is_serving():
            self._is_paused = False
            self.loop.add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        for _ in range(self.max_accepts):
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # Without the pause, connections waiting in the kernel would wake the loop continuously.
                self.failed_accept_count += 1
                self._is_paused = True
                self.loop.remove_reader(self.socket)
                return
            accepted.setblocking(False)
            task = self.loop.create_task(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.protocol_factory, accepted)
        except OSError:
            accepted.close()
