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
from cressrock.dispatch.transport import Denial
from cressrock.resp import codec
from cressrock.resp.lingering import LingerBounds, Lingering
from cressrock.resp.request import READ, WRITE, InvalidCommandError, Reader
from cressrock.resp.room import give_up_unread, leaves_first


@dataclass(frozen=True, slots=True)
class FrontBounds:
    """Bounds of the clients' side; times in milliseconds."""

    max_connections: int
    max_asking: int  # connections that have asked: above it those idle longest are closed
    max_unread: int  # bytes of answers that clients have not read, all together
    linger: LingerBounds = LingerBounds(2000.0, 1 << 20, 64)  # once ended here, until the peer ends too
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
        self.since = front.clock()  # of the last command's begin or end, of an answer, or of connecting
        self.asked = False  # a command was whole
        self.stuck_at: float | None = None
        self.closing = False  # nothing more is taken; what is owed is still answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        with suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.front._connected(self)

    def data_received(self, data: bytes) -> None:
        if self.closing:
            # Read on, though nothing of it counts: else the client's leaving would not be seen either.
            self.front._discarded(self, len(data))
            return
        self._take(data)

    def _take(self, data: bytes) -> None:
        """Take what is whole, a bounded number of commands in one round of the loop.

        Danger: one read holds thousands of short commands, and every other client's answer waits for them.
        """
        front, now = self.front, self.front.clock()
        if self.asked and not self.parser.partial:
            # Danger: a command that comes in pieces begins when its connection has rested almost too long.
            # One that never asked has its time from connecting on: the platform bounds that.
            self.since = now
        commands, wrong = self.parser.feed(data, front.bounds.max_pipeline)
        for words in commands:
            self.since = now
            if not self.asked:
                self.asked = True
                front.asking += 1
                front.silent.pop(self, None)
            front.resting.pop(self, None)
            self.queue.append(front._command(self, words, now))
        if wrong is not None:
            front.malformed += 1
            self.queue.append(_Pending(codec.error(f"ERR Protocol error: {wrong}")))
            self.closing = True
            front.resting.pop(self, None)
        elif not self.asked:
            front.silent[self] = None
        elif self.parser.more and not self.transport.is_closing():
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._go_on)
        self.flush()

    def _go_on(self) -> None:
        if self.closing or self.transport.is_closing():
            return
        self._take(b"")
        if not self.parser.more:
            self._resume()

    def _resume(self) -> None:
        """Read on, unless what was read waits or the peer does not read its answers."""
        if self.stuck_at is None and not self.parser.more and not self.transport.is_closing():
            self.transport.resume_reading()

    def _events(self) -> int:
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return sum(event for _, event in poll.poll(0))

    def heard(self) -> bool:
        """Whether bytes wait to be read here that its open peer has sent."""
        return self._events() == select.POLLIN

    def hung_up(self) -> bool:
        """Whether its peer has ended, read or not."""
        return bool(self._events() & ~select.POLLIN)

    def present(self) -> bool:
        """Whether its peer is still there, as the kernel knows it, however much of it is unread here."""
        if self.transport.is_closing():
            return False
        if self.hung_up():
            self.front.left_unread += 1
            return False
        return True

    def flushed(self) -> bool:
        """Whether all that was written to it is with the kernel."""
        return not self.transport.get_write_buffer_size()

    def eof_received(self) -> bool:
        # A client that closes has gone away.  Danger: its connection stands until what was written to it has
        # left, which may be long; what it waits for is given up now.
        self.front._gone(self)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.front._lost(self)

    def pause_writing(self) -> None:
        self.stuck_at = self.front.clock()
        self.transport.pause_reading()
        self.front._bound_unread()

    def resume_writing(self) -> None:
        self.stuck_at = None
        self._resume()

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        queue = self.queue
        ready = []
        while queue and queue[0].data is not None:
            ready.append(queue.popleft().data)
        if ready and not self.transport.is_closing():
            self.since = self.front.clock()
            self.transport.write(cast(bytes, ready[0]) if len(ready) == 1 else b"".join(cast(Any, ready)))
        if not queue and not self.parser.more:
            if self.closing or (self.front.leaving and not self.parser.partial):
                self.end()
            elif ready:
                self.front._rests(self)

    def quiet(self) -> bool:
        """Whether it owes nothing, and nothing more has come as far as was read."""
        return not self.queue and not self.closing and not self.parser.more

    def resting(self) -> bool:
        """Whether it owes nothing, and its peer has sent nothing that could become a request."""
        return self.quiet() and not self.parser.partial and not self.heard()

    def end(self) -> None:
        """End a connection that owes nothing: shut its write side, and linger until its peer ends too."""
        self.closing = True
        if self in self.front.lingering or self.transport.is_closing():
            return
        self.front._linger(self)
        with suppress(OSError):
            self.transport.write_eof()  # behind all that was written
        self.transport.resume_reading()  # to throw away what still comes


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
        self.lingering: Lingering[_Client] = Lingering(bounds.linger)
        self.open_ids: set[str] = set()
        self.asking = 0  # connections that have asked, and those of them that rest, idle longest first
        self.resting: dict[_Client, None] = {}
        self.silent: dict[_Client, None] = {}  # those that never asked, as far as was read; oldest first
        self.welcome = True  # new connections can still be opened
        self.leaving = False
        self.last = FOREVER  # when the last answer has to be out
        self.count = 0
        self.malformed = 0
        self.refused_commands = 0
        self.evicted = 0
        self.yielded = 0
        self.left_unread = 0  # attempts not begun, as their client's end was with the kernel alone

    def protocol(self) -> _Client:
        """Return what serves a new connection."""
        return _Client(self)

    def sweep(self) -> None:
        """End what asks nothing, and give up what does not read its answers."""
        now = self.clock()
        for client in self.lingering.over(now):
            # Its time begins when all that was written has left; that has to end as well.
            if client.flushed() or now - client.since > self.bounds.stuck_ms:
                self._close(client)
        for client in list(self.clients):
            if client.stuck_at is not None:
                if client.hung_up():
                    self._gone(client)
                if now - client.stuck_at > self.bounds.stuck_ms:
                    client.transport.abort()
            elif client.transport.is_closing():
                # Danger: a connection that is closed with bytes its peer never reads would stand for ever.
                if now - client.since > self.bounds.stuck_ms:
                    client.transport.abort()
            elif self.last < FOREVER or not client.quiet():
                pass  # no connection can be opened any more: what is open is used to the last
            elif now - client.since > self.bounds.silent_ms and not client.heard():
                if client.parser.partial:
                    client.transport.write(codec.error("ERR Protocol error: half a command"))
                client.end()

    def end_by(self, last: float) -> None:
        """Take requests on, but promise none of them an answer after a time on the driver's clock."""
        self.last = last

    def leave(self) -> None:
        """End every connection as soon as it owes nothing; what has come before that is still taken."""
        self.leaving = True
        for client in list(self.clients):
            if client.resting():
                client.end()

    def finish(self) -> None:
        """Take nothing more, and end every connection; what was owed has been answered."""
        self.leave()
        for client in list(self.clients):
            if not client.transport.is_closing():
                client.end()

    def ended(self) -> bool:
        """Tell whether every connection has ended on both sides."""
        return not self.clients and not len(self.lingering)

    def owes(self) -> int:
        """Count the requests without an answer."""
        return len(self.open_ids)

    # --- a connection's events

    def _connected(self, client: _Client) -> None:
        if len(self.clients) + len(self.lingering) >= self.bounds.max_connections and not self._make_room():
            client.closing = True
            client.transport.abort()
            return
        self.clients[client] = None
        self.silent[client] = None

    def _make_room(self) -> bool:
        """Close a connection that lingers, else one that asks nothing; False where there is none."""
        if self._close_lingering(1):
            return True
        newcomers, unflushed = self.clock() - self.bounds.newcomer_ms, []
        while True:
            # Of either kind the first leaves first.  Danger: crowds come by the hundred in one round of the
            # loop, and each of them would go through all that are there.
            heads = [next(iter(group)) for group in (self.silent, self.resting) if group]
            worst = leaves_first(heads, newcomers)
            if worst is None or (worst.quiet() and worst.flushed() and not worst.heard()):
                break
            # Danger: connections are accepted by the hundred before any of them is read.  What has sent
            # something comes back here once it was read.
            (self.resting if worst.asked else self.silent).pop(worst)
            if not worst.flushed():
                unflushed.append(worst)
        self.resting |= dict.fromkeys(unflushed)
        if worst is None:
            return False
        self.evicted += 1
        # Its descriptor is wanted now.  Nothing that it has sent is unread, so nothing is reset.
        self._close(worst)
        return True

    def _close(self, client: _Client) -> None:
        """Close a connection at once."""
        self._drop(client)
        client.closing = True
        client.transport.abort()

    def _linger(self, client: _Client) -> None:
        """Take a connection that is ended here out of those that are served."""
        self._drop(client)
        self._close_lingering(self.lingering.begin(client, self.clock()))

    def _close_lingering(self, count: int) -> bool:
        """Close so many connections that linger, shut longest first; False where there are fewer."""
        for client in self.lingering:
            if count and client.flushed():
                self._close(client)
                count -= 1
        return not count

    def _discarded(self, client: _Client, size: int) -> None:
        if client in self.lingering and self.lingering.heard(client, size):
            self._close(client)

    def _rests(self, client: _Client) -> None:
        """Keep an idle connection, and close another if more are kept than clients can open.

        Danger: clients that ask once and keep their connection use up what all clients may hold open here;
        the others then find no connection left, while the dispatcher sees nothing but a quiet front.
        """
        self.resting[client] = None
        if self.asking > self.bounds.max_asking and self.welcome:
            # Danger: one whose next command has come in just now is at rest only as far as was read.
            for other in self.resting:
                if other.resting():
                    self.yielded += 1
                    other.end()
                    break

    def _drop(self, client: _Client) -> None:
        self.lingering.ended(client)
        self.silent.pop(client, None)
        if self.clients.pop(client, self) is None:
            self.resting.pop(client, None)
            self.asking -= client.asked

    def _bound_unread(self) -> None:
        """Keep what clients have not read within its bound."""
        stuck = (c for c in (*self.clients, *self.lingering) if c.stuck_at is not None)
        held = {c: c.transport.get_write_buffer_size() for c in stuck}
        for client in give_up_unread(held, self.bounds.max_unread):
            client.transport.abort()

    def _lost(self, client: _Client) -> None:
        self._drop(client)
        self._gone(client)

    def _gone(self, client: _Client) -> None:
        """Take in that a client has left: nobody waits for what its connection still owes."""
        client.closing = True
        for pending in client.queue:
            if name := pending.name:
                self._forget(pending)  # which takes the name away
                self.driver.client_left(name)
        client.queue.clear()

    # --- commands

    def _command(self, client: _Client, words: list[bytes], now: float) -> _Pending:
        verb = words[0]
        if verb == READ or verb == WRITE:
            try:
                request = self.reader.read(words)
            except InvalidCommandError as wrong:
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
            denied = self.driver.submit(
                pending.name,
                pending.name,
                request,
                min(now + request.patience_ms, self.last),
                partial(self._answer, client, pending),
                since=now,
                present=client.present,
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
        pending.data = _denial(result) if isinstance(result, Denial) else codec.bulk(result)
        client.flush()

    def _forget(self, pending: _Pending) -> None:
        pending.name = ""
        self.open_ids.discard(pending.wire_id)


def _denial(denied: Denial) -> bytes:
    """Write a refusal or a failure; a time to come back is written rounded up, in whole milliseconds."""
    if denied.verdict is not Verdict.REJECTED:
        return codec.error(f"ERR failed {denied.reason.value}")
    after = -int(-denied.retry_after_ms // 1)
    return codec.error(f"BUSY {after}" if after > 0 else "BUSY")
