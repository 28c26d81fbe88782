"""Scripted clients: plain HTTP/1.1 requests on any byte stream, and what their side of the socket saw."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import TaskGroup

from cressrock.dispatch.node_client import Connect
from cressrock.http.channel import BROKEN, Channel, ConnectionLostError, Headers, header
from cressrock.lab.trace import Row


@dataclass(frozen=True, slots=True)
class Seen:
    """How a request ended for its client: a status, or 0 and why there was none."""

    status: int
    how: str
    headers: Headers
    body: bytes = b""


class Client:
    """One dispatcher's clients; connections are kept and used again."""

    def __init__(
        self,
        connect: Connect,
        address: str,
        dispatcher: str,
        tasks: TaskGroup,
        clock: Callable[[], float],
        record: Callable[[Row], None],
    ) -> None:
        """`tasks` owns the connections' readers."""
        self.connect = connect
        self.address = address
        self.dispatcher = dispatcher
        self.tasks = tasks
        self.clock = clock
        self.record = record
        self.idle: list[Channel] = []

    async def request(
        self,
        name: str,
        method: str,
        target: str,
        *,
        headers: Headers | None = None,
        body: bytes = b"",
        patience_ms: float,
        leave_after_ms: float | None = None,
        overtime_ms: float = 3000.0,
        units: float = 1.0,
    ) -> Seen:
        """Make a request.  It waits longer than its patience, so that a late answer is seen as one.

        `units` are what the request counts, for the trace alone.
        """
        try:
            channel = await self._channel()
        except (*BROKEN, TimeoutError):
            return Seen(0, "not connected", [])
        self._row(name, "sent", method, target, patience_ms=patience_ms, units=units)
        seen = Seen(0, "silence", [])
        limit = patience_ms + overtime_ms if leave_after_ms is None else leave_after_ms
        with anyio.move_on_after(limit / 1000):
            seen = await self._exchange(channel, name, method, target, headers or [], body)
        if seen.how == "silence" and leave_after_ms is not None:
            seen = Seen(0, "left", [])
        if channel.reusable() and seen.status:
            channel.conn.start_next_cycle()
            self.idle.append(channel)
        else:
            await channel.close()
        if seen.how in ("answered", "cut", "left"):
            self._row(name, seen.how, method, target, seen.status)
        return seen

    def _row(
        self,
        name: str,
        what: str,
        method: str,
        target: str,
        status: int = 0,
        patience_ms: float = 0.0,
        units: float = 0.0,
    ) -> None:
        self.record(
            Row(
                self.clock(),
                "client",
                what,
                self.dispatcher,
                request=name,
                method=method,
                path=target,
                units=units,
                status=status,
                patience_ms=patience_ms,
            )
        )

    async def _channel(self) -> Channel:
        while self.idle:
            channel = self.idle.pop()
            if not channel.ended:
                return channel
            await channel.close()
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(2):
            stream = await self.connect(host, int(port))
        channel = Channel(stream, h11.CLIENT, max_head=65536, read_ahead=1 << 20)
        self.tasks.start_soon(channel.run_reader)
        return channel

    async def _exchange(
        self, channel: Channel, name: str, method: str, target: str, headers: Headers, body: bytes
    ) -> Seen:
        fields: Headers = [(b"host", self.address.encode()), (b"x-request-id", name.encode()), *headers]
        if body or method in ("PUT", "PROPFIND", "PROPPATCH", "LOCK"):
            fields.append((b"content-length", str(len(body)).encode()))
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        found: Seen | None = None
        parts: list[bytes] = []
        try:
            await channel.send(*events, h11.EndOfMessage())
            while True:
                event = await channel.event()
                if isinstance(event, h11.Response):
                    found = Seen(event.status_code, "answered", list(event.headers))
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage) and found is not None:
                    return Seen(found.status, "answered", found.headers, b"".join(parts))
                elif isinstance(event, h11.ConnectionClosed):
                    return Seen(0, "cut", [])
        except (ConnectionLostError, h11.RemoteProtocolError, h11.LocalProtocolError):
            return Seen(0, "cut", found.headers if found else [], b"".join(parts))

    def drop(self) -> None:
        """Forget the kept connections, as after the dispatcher's death."""
        for channel in self.idle:
            self.tasks.start_soon(channel.close)
        self.idle.clear()


def retry_after(seen: Seen) -> float | None:
    """Return an answer's Retry-After in seconds."""
    value = header(seen.headers, b"retry-after")
    return float(value) if value is not None and value.isdigit() else None
