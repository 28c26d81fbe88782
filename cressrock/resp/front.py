"""The front for clients that speak RESP2: a carrier.

Commands of a connection are answered in their order.  A connection costs one protocol object and a request
one callback; nothing waits in a task.  Connections that ask nothing are closed by one sweep, so that peers
which connect and stay silent cannot use up the descriptors.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

from cressrock.dispatch.driver import FOREVER, Driver
from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.transport import Denied
from cressrock.resp import codec
from cressrock.resp.request import READ, WRITE, Reader, Refused
from cressrock.resp.room import give_up_unread, leaves_first


@dataclass(frozen=True, slots=True)
class FrontBounds:
    """Bounds of the clients' side; times in milliseconds."""

    max_connections: int
    max_asking: int  # connections that have asked: above it those idle longest are closed
    max_unread: int  # bytes of answers that clients have not read, all together
    max_pipeline: int = 64  # open requests of one connection; more are refused
    silent_ms: float = 2100.0  # without an open request: closed; the platform allows it from 2 s on
    stuck_ms: float = 5000.0  # with an answer that its client does not read: closed
    newcomer_ms: float = 250.0  # in which a new connection should ask; given up only after all others
    sweep_ms: float = 200.0


class _Pending:
    """A command's place in its connection's order of answers."""

    __slots__ = ("name", "wire_id", "data")

    def __init__(self, data: bytes | None = None) -> None:
        self.name = ""  # the driver's, while the request is open
        self.wire_id = ""
        self.data = data


class _Client(asyncio.Protocol):
    """One client's connection."""

    __slots__ = ("front", "transport", "parser", "queue", "since", "asked", "stuck_at", "closing")

    def __init__(self, front: Front) -> None:
        self.front = front
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = codec.Commands()
        self.queue: deque[_Pending] = deque()
        self.since = front.clock()  # of the last whole command or answer, or of connecting
        self.asked = False  # a command was whole
        self.stuck_at: float | None = None
        self.closing = False  # nothing more is read; what is owed is still answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        with suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.front._connected(self)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            return
        front, now = self.front, self.front.clock()
        commands, wrong = self.parser.feed(data)
        for words in commands:
            self.since = now
            if not self.asked:
                self.asked = True
                front.asking += 1
            front.resting.pop(self, None)
            self.queue.append(front._command(self, words, now))
        if wrong is not None:
            front.malformed += 1
            self.queue.append(_Pending(codec.error(f"ERR Protocol error: {wrong}")))
            self.close()
        self.flush()

    def heard(self) -> bool:
        """Whether bytes wait to be read here that its open peer has sent."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return [event for _, event in poll.poll(0)] == [select.POLLIN]

    def eof_received(self) -> bool:
        return False  # a client that closes has gone away

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.front._lost(self)

    def pause_writing(self) -> None:
        self.stuck_at = self.front.clock()
        self.transport.pause_reading()
        self.front._bound_unread()

    def resume_writing(self) -> None:
        self.stuck_at = None
        if not self.closing and not self.transport.is_closing():
            self.transport.resume_reading()

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        queue = self.queue
        ready = []
        while queue and queue[0].data is not None:
            ready.append(queue.popleft().data)
        if ready and not self.transport.is_closing():
            self.since = self.front.clock()
            self.transport.write(cast(bytes, ready[0]) if len(ready) == 1 else b"".join(cast(Any, ready)))
        if not queue:
            if self.closing or self.front.leaving:
                self.transport.close()
            elif ready:
                self.front._rests(self)

    def close(self) -> None:
        """Read nothing more, and close once all that is owed here is answered."""
        self.closing = True
        self.front.resting.pop(self, None)
        self.transport.pause_reading()
        if not self.queue:
            self.transport.close()


class Front:
    """All clients of one dispatcher."""

    def __init__(
        self, reader: Reader, driver: Driver, bounds: FrontBounds, clock: Callable[[], float]
    ) -> None:
        """`clock` is the driver's."""
        self.reader = reader
        self.driver = driver
        self.bounds = bounds
        self.clock = clock
        self.clients: dict[_Client, None] = {}
        self.open_ids: set[str] = set()
        self.asking = 0  # connections that have asked, and those of them that rest, idle longest first
        self.resting: dict[_Client, None] = {}
        self.welcome = True  # new connections can still be opened
        self.leaving = False
        self.last = FOREVER  # when the last answer has to be out
        self.count = 0
        self.malformed = 0
        self.refused_commands = 0
        self.evicted = 0
        self.yielded = 0

    def protocol(self) -> _Client:
        """Return what serves a new connection."""
        return _Client(self)

    def sweep(self) -> None:
        """Close what asks nothing, and what does not read its answers."""
        now = self.clock()
        for client in list(self.clients):
            if client.closing or client.stuck_at is not None:
                # Danger: a connection that is closed with bytes its peer never reads would stand for ever.
                since = client.since if client.stuck_at is None else client.stuck_at
                if now - since > self.bounds.stuck_ms and (client.stuck_at is not None or not client.queue):
                    client.transport.abort()
            elif self.last < FOREVER:
                pass  # no connection can be opened any more: what is open is used to the last
            elif not client.queue and now - client.since > self.bounds.silent_ms:
                if client.parser.partial:
                    client.transport.write(codec.error("ERR Protocol error: half a command"))
                client.close()

    def end_by(self, last: float) -> None:
        """Take requests on, but promise none of them an answer after a time on the driver's clock."""
        self.last = last

    def leave(self) -> None:
        """Close every connection as soon as it owes nothing."""
        self.leaving = True
        for client in list(self.clients):
            if not client.queue:
                client.close()

    def owes(self) -> int:
        """Count the requests without an answer."""
        return len(self.open_ids)

    # --- a connection's events

    def _connected(self, client: _Client) -> None:
        if len(self.clients) >= self.bounds.max_connections and not self._make_room():
            client.closing = True
            client.transport.abort()
            return
        self.clients[client] = None

    def _make_room(self) -> bool:
        """Close a connection that asks nothing; False where there is none."""
        quiet = {c: None for c in self.clients if not c.queue and not c.closing}
        while (worst := leaves_first(quiet, self.clock() - self.bounds.newcomer_ms)) is not None:
            if not worst.heard():
                break
            # Danger: connections are accepted by the hundred before any of them is read.
            del quiet[worst]
        if worst is None:
            return False
        self.evicted += 1
        self._drop(worst)
        worst.closing = True
        worst.transport.abort()
        return True

    def _rests(self, client: _Client) -> None:
        """Keep an idle connection, and close another if more are kept than clients can open.

        Danger: clients that ask once and keep their connection use up what all clients may hold open here;
        the others then find no connection left, while the dispatcher sees nothing but a quiet front.
        """
        self.resting[client] = None
        if self.asking > self.bounds.max_asking and self.welcome:
            self.yielded += 1
            next(iter(self.resting)).close()

    def _drop(self, client: _Client) -> None:
        if self.clients.pop(client, self) is None:
            self.resting.pop(client, None)
            self.asking -= client.asked

    def _bound_unread(self) -> None:
        """Keep what clients have not read within its bound."""
        held = {c: c.transport.get_write_buffer_size() for c in self.clients if c.stuck_at is not None}
        for client in give_up_unread(held, self.bounds.max_unread):
            client.transport.abort()

    def _lost(self, client: _Client) -> None:
        self._drop(client)
        for pending in client.queue:
            if name := pending.name:
                self._forget(pending)  # which takes the name away
                self.driver.left(name)
        client.queue.clear()

    # --- commands

    def _command(self, client: _Client, words: list[bytes], now: float) -> _Pending:
        verb = words[0]
        if verb == READ or verb == WRITE:
            try:
                request = self.reader.read(words)
            except Refused as wrong:
                self.refused_commands += 1
                return _Pending(codec.error(f"ERR {wrong}"))
            if request.name in self.open_ids:
                # Danger: at a storage server it would pass for a second copy of the request that is open.
                self.refused_commands += 1
                return _Pending(codec.error("ERR the id is open already"))
            if len(client.queue) >= self.bounds.max_pipeline:
                return _Pending(codec.error("BUSY"))
            pending = _Pending()
            self.count += 1
            pending.name = f"{self.count:x}"
            pending.wire_id = request.name
            denied = self.driver.take(
                pending.name,
                pending.name,
                request,
                min(now + request.patience_ms, self.last),
                partial(self._answer, client, pending),
                since=now,
            )
            if denied is not None:
                pending.name = ""
                pending.data = _denial(denied)
            else:
                self.open_ids.add(request.name)
            return pending
        if verb == b"PING" and len(words) == 1:
            return _Pending(codec.status("PONG"))
        if verb in (b"CLIENT", b"SELECT"):
            return _Pending(codec.status("OK"))
        self.refused_commands += 1
        return _Pending(codec.error("ERR unknown command"))

    def _answer(self, client: _Client, pending: _Pending, result: Any) -> None:
        self._forget(pending)
        pending.data = _denial(result) if isinstance(result, Denied) else codec.bulk(result)
        client.flush()

    def _forget(self, pending: _Pending) -> None:
        pending.name = ""
        self.open_ids.discard(pending.wire_id)


def _denial(denied: Denied) -> bytes:
    """Write a refusal or a failure; a time to come back is written rounded up, in whole milliseconds."""
    if denied.verdict is not Verdict.REFUSED:
        return codec.error(f"ERR failed {denied.reason.value}")
    after = -int(-denied.retry_after_ms // 1)
    return codec.error(f"BUSY {after}" if after > 0 else "BUSY")
