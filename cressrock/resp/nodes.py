"""Connections to storage servers that speak RESP2, and one attempt on each of them: a carrier.

A connection carries one attempt at a time, so that an attempt can be given up by closing it and no answer
stands behind a slow one.  It picks no server.  What it reports is exact about one thing above all: whether
the last byte of a request can have reached the server.
"""

from __future__ import annotations

import asyncio
import errno
import heapq
import select
import socket
import struct
from collections import OrderedDict, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

from cressrock.dispatch.transport import AttemptResult, Call
from cressrock.interface import Outcome
from cressrock.resp import codec
from cressrock.resp.answers import load_of, outcome_of
from cressrock.resp.pace import Pace
from cressrock.resp.quiet import Quiet


@dataclass(frozen=True, slots=True)
class PoolBounds:
    """Bounds of the storage servers' side; times in milliseconds."""

    max_connections: int
    connect_timeout_ms: float
    idle_close_ms: float  # the server closes an idle connection then at the latest
    max_answer: int  # bytes of a value
    stall_ms: float  # a server writes an answer at once: one begun and not gone on with is broken
    idle_part: float = 0.6  # of that time: an older connection may be closed under a request's way there


_RESET = struct.pack("ii", 1, 0)
_NEVER = float("inf")


class _Connection(asyncio.Protocol):
    """A connection to a storage server."""

    __slots__ = (
        "pool",
        "node",
        "address",
        "transport",
        "parser",
        "flight",
        "next",
        "used",
        "idle_since",
        "unsent",
        "lost",
    )

    def __init__(self, pool: RespTransport, node: str, address: tuple[str, int] | None = None) -> None:
        self.pool = pool
        self.node = node
        self.address = address  # the server's, as it was dialled
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = codec.Replies(pool.bounds.max_answer)
        self.flight: _Flight | None = None
        self.next: _Flight | None = None  # the attempt that waits for this connection to have been quiet
        self.used = False  # an answer came on it
        self.idle_since = 0.0
        self.unsent = False  # bytes of the request are still here
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        with suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Danger: what the kernel still holds of a request that was given up, or whose dispatcher died,
            # arrives long after its limit was counted anew.  Closed so, it is dropped and the server told.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        # Any byte that is not with the kernel yet counts as unsent.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False
        if self.flight is not None:
            self.flight.leave_by = _NEVER

    def data_received(self, data: bytes) -> None:
        flight = self.flight
        if flight is None:
            # What comes unasked may be the answer to nothing: whatever is read here next could be its rest.
            self.pool.surplus += 1
            if self.used:
                self.pool.quiet.heard(self.pool.clock() - self.idle_since)
            self.pool._drop(self)
            return
        self.parser.feed(data)
        try:
            got = self.parser.next()
        except codec.ProtocolError as wrong:
            self.pool.spoilt += 1
            self.pool._drop(self)
            flight.finish(Outcome.ERROR, f"unreadable: {wrong}")
            return
        if got is None:
            self.pool._watch_pace(flight, self.parser)
            return
        outcome, value, text = outcome_of(got[0])
        used, cost = load_of(got[0])
        self.flight = None
        self.used = True
        if self.unsent:
            # Danger: a server begins once the last byte is there.  What answers before was made for another
            # request, or refuses this one; and the rest of it would go on leaving ahead of the next.
            self.pool.surplus += outcome is not Outcome.FULL
            self.pool._drop(self)
            if outcome is Outcome.FULL:
                flight.finish(outcome, text, value, used, cost)
            else:
                flight.finish(Outcome.NO_CONNECTION, "answered before the request was written")
            return
        if self.parser.partial:
            self.pool.surplus += 1
            self.pool._drop(self)
        elif outcome is Outcome.ERROR and not isinstance(got[0], codec.ErrorLine):
            # Whole, but no answer: whatever follows on this connection cannot be told apart either.
            self.pool.spoilt += 1
            self.pool._drop(self)
        else:
            self.pool._release(self)
        flight.finish(outcome, text, value, used, cost)

    def eof_received(self) -> bool:
        flight = self.flight
        if flight is not None and self.unsent:
            # Danger: closed in good order, the rest of the request would still be written, and may then run
            # though no answer can come any more.
            self.pool._drop(self)
            flight.finish(Outcome.NO_CONNECTION, "ended before the request was written")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        flight = self.flight
        self.pool._lost(self)
        if flight is not None:
            if self.unsent:
                flight.finish(Outcome.NO_CONNECTION, "broke before the request was written")
            else:
                flight.finish(Outcome.RESET, f"broke: {exc or 'closed'}")

    def fresh(self) -> bool:
        """Whether nothing waits to be read: neither an end nor bytes that belong to an earlier answer."""
        if self.lost or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)


class _Flight:
    """One attempt under way."""

    __slots__ = (
        "pool",
        "call",
        "connection",
        "connecting",
        "done",
        "deadline",
        "leave_by",
        "gives_way_at",
        "pace",
        "rests_on",
        "listed_at",
    )

    def __init__(self, pool: RespTransport, call: Call) -> None:
        self.pool = pool
        self.call = call
        self.connection: _Connection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.done = False
        self.deadline = call.deadline
        self.leave_by = call.leave_by  # infinity once its last byte is with the kernel
        self.gives_way_at = _NEVER  # while it waits for a descriptor
        self.pace: Pace | None = None  # of an answer that is not whole yet
        self.rests_on: _Connection | None = None  # which has to have been quiet first
        self.listed_at = _NEVER  # the next of its limits, as the pool's timer knows it
        pool.live += 1

    def stop(self) -> None:
        """Give it up by order."""
        self._give_up(Outcome.CANCELLED, Outcome.ABANDONED, "cancelled")

    def abandon(self) -> None:
        """Let nothing more leave of a request that is written in part: its client has gone."""
        if self.connection is not None and self.connection.unsent:
            self.overtake()

    def give_up(self, text: str) -> None:
        """Wait no longer."""
        self._give_up(Outcome.TIMEOUT, Outcome.NO_CONNECTION, text)

    def next_limit(self) -> float:
        """Return when `pool._check` has to look at it next."""
        stall_at = _NEVER if self.pace is None else self.pace.gives_up_at()
        rests = self.rests_on
        ready_at = _NEVER if rests is None else self.pool.quiet.ready_at(rests.idle_since)
        return min(self.deadline, self.leave_by, self.gives_way_at, stall_at, ready_at)

    def overtake(self) -> None:
        """Let nothing more of it leave: what is not written whole never ran."""
        self._give_up(Outcome.ABANDONED, Outcome.ABANDONED, "not to be written whole any more")

    def _give_up(self, sent: Outcome, unsent: Outcome, text: str) -> None:
        if self.done:
            return
        connection = self.connection
        if self.connecting is not None:
            self.connecting.cancel()
        if connection is None:
            # What still waits for a descriptor, or for a connection to rest, says nothing of its server.
            connecting = self.connecting is not None
            self.finish(unsent if connecting else Outcome.ABANDONED, f"{text} while connecting")
            return
        outcome = unsent if connection.unsent else sent
        self.pool._drop(connection)
        self.finish(outcome, text)

    def finish(
        self, outcome: Outcome, text: str = "", value: bytes | None = None, used: int = 0, cost: float = 0.0
    ) -> None:
        """Report the outcome, once."""
        if self.done:
            return
        self.done = True
        if self.connection is not None:
            self.connection.flight = None
            self.connection = None
        if self.rests_on is not None:
            rests, self.rests_on = self.rests_on, None
            rests.next = None
            self.pool._shelve(rests)
        self.pool.live -= 1
        # The server answered when it began to: what a broken answer kept us waiting is not its load.
        heard_at = self.pool.clock() if self.pace is None else self.pace.begun_at
        call, self.call = self.call, cast(Call, None)  # a limit of this one may come up long after its end
        call.end(AttemptResult(outcome, heard_at - call.attempt.sent_at_ms, value, used, cost, text))


class RespTransport:
    """The connections of one dispatcher to all storage servers; carries attempts for the driver."""

    def __init__(
        self, bounds: PoolBounds, clock: Callable[[], float], dial: Callable[[str], tuple[str, int] | None]
    ) -> None:
        """`clock` is the driver's; `dial` gives a server's address, None for one that has none."""
        self.bounds = bounds
        self.clock = clock
        self.dial = dial
        self.quiet = Quiet(bounds.stall_ms)
        self.idle: dict[str, OrderedDict[_Connection, None]] = {}
        self.open: dict[_Connection, None] = {}
        self.opening = 0
        self.queue: deque[_Flight] = deque()  # attempts for which no descriptor was left
        self.opened = 0
        self.reused = 0
        self.surplus = 0
        self.spoilt = 0
        self.live = 0  # attempts without an outcome
        self._limits: list[tuple[float, int, _Flight]] = []
        self._count = 0
        self._rings: asyncio.TimerHandle | None = None
        self._rings_at = float("inf")

    # --- the driver's side

    def start(self, call: Call) -> _Flight:
        """Begin an attempt on an idle connection that stayed quiet, else on a new one."""
        flight = _Flight(self, call)
        self._limit(flight)
        self._seek(flight)
        return flight

    def _seek(self, flight: _Flight) -> None:
        """Find a connection for an attempt: one that is ready, one that soon will be, else a new one."""
        if self._take(flight):
            return
        if self.queue or not self._open_for(flight):
            # Danger: a cut leaves attempts hanging until every descriptor is held.  Ended at once, those for
            # sound servers would use up their attempts in one instant, and be refused beside idle servers.
            flight.gives_way_at = self.clock() + self.bounds.connect_timeout_ms
            self.queue.append(flight)
            self._limit(flight)

    def _take(self, flight: _Flight) -> bool:
        """Give an attempt an idle connection, or have it wait for one that has not rested for long enough."""
        node = flight.call.attempt.node.name
        connection = self._idle(node)
        if connection is not None:
            self.reused += 1
            self._begin(connection, flight)
            return True
        idle = self.idle.get(node)
        if not idle:
            return False
        first = next(iter(idle))
        full = len(self.open) + self.opening >= self.bounds.max_connections
        if not self.quiet.worth_waiting(self.quiet.ready_at(first.idle_since), self.clock(), full=full):
            return False
        del idle[first]
        first.next, flight.rests_on = flight, first
        self._limit(flight)
        return True

    def _open_for(self, flight: _Flight) -> bool:
        """Begin to connect for an attempt; False where no descriptor is left for it."""
        node = flight.call.attempt.node.name
        address = self.dial(node)
        if address is None:
            flight.finish(Outcome.NO_CONNECTION, "no address")
            return True
        if not flight.call.may_leave():
            # Danger: a connection that is opened for a client who has left costs its server work for nobody.
            flight.finish(Outcome.ABANDONED, "over before it was connected")
            return True
        if len(self.open) + self.opening >= self.bounds.max_connections and not self._make_room():
            return False
        self.opening += 1
        flight.connecting = asyncio.get_running_loop().create_task(self._connect(node, address, flight))
        # Counted here: a task that is cancelled before its first step runs nothing of its own.
        flight.connecting.add_done_callback(self._connected)
        return True

    def _connected(self, task: asyncio.Task[None]) -> None:
        self.opening -= 1
        self._admit()

    def _admit(self) -> None:
        """Let attempts that wait for a descriptor have what has become free, in their order."""
        while self.queue:
            flight = self.queue[0]
            if not flight.done:
                gives_way_at, flight.gives_way_at = flight.gives_way_at, _NEVER
                if not self._take(flight) and not self._open_for(flight):
                    flight.gives_way_at = gives_way_at
                    return
            self.queue.popleft()

    def forget(self, node: str) -> None:
        """Close the idle connections to a server that is gone, was replaced or cannot be heard."""
        waited_for = [connection for connection in self.open if connection.next and connection.node == node]
        for connection in [*self.idle.pop(node, ()), *waited_for]:
            self._drop(connection)

    def sweep(self) -> None:
        """Close what has idled so long that the server may be about to close it."""
        oldest = self.clock() - self.bounds.idle_close_ms * self.bounds.idle_part
        for node, idle in list(self.idle.items()):
            for connection in list(idle):
                if connection.idle_since > oldest:
                    break
                self._drop(connection)
            if not self.idle.get(node):
                self.idle.pop(node, None)

    # --- connections

    def _idle(self, node: str) -> _Connection | None:
        """Take the connection that was used last among those that have been quiet for long enough."""
        idle = self.idle.get(node)
        if not idle:
            return None
        now = self.clock()
        oldest = now - self.bounds.idle_close_ms * self.bounds.idle_part
        for connection in list(reversed(idle)):
            if connection.idle_since <= oldest or self._moved(connection):
                self._drop(connection)
            elif not connection.used or self.quiet.ready_at(connection.idle_since) <= now:
                if connection.fresh():
                    del idle[connection]
                    return connection
                self._drop(connection)
        return None

    def _moved(self, connection: _Connection) -> bool:
        """Whether a connection's server has gone or has another address by now."""
        return connection.address is not None and self.dial(connection.node) != connection.address

    def _make_room(self) -> bool:
        """Close the connection that has idled longest."""
        firsts = [next(iter(idle)) for idle in self.idle.values() if idle]
        if not firsts:
            return False
        self._drop(min(firsts, key=lambda connection: connection.idle_since))
        return True

    async def _connect(self, node: str, address: tuple[str, int], flight: _Flight) -> None:
        connection: _Connection | None = None
        began = self.clock()
        try:
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.bounds.connect_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self, node, address), *address
                )
        except TimeoutError:
            flight.finish(Outcome.NO_CONNECTION, "not accepted in time")
        except OSError as failed:
            # Where this process has no descriptor left, that says nothing of the server.
            ours = failed.errno in (errno.EMFILE, errno.ENFILE)
            flight.finish(
                Outcome.ABANDONED if ours else Outcome.NO_CONNECTION, f"{failed.strerror or failed}"
            )
        except ValueError as failed:  # an address that cannot even be written as one
            flight.finish(Outcome.NO_CONNECTION, f"no address: {failed}")
        finally:
            flight.connecting = None
        if connection is None:
            return
        self.opened += 1
        self.quiet.connected(self.clock() - began)
        if not connection.lost:
            self.open[connection] = None
        if flight.done:
            self._release(connection)
        elif self._moved(connection):
            # Danger: another machine, or none, stands behind the name by now.
            self._drop(connection)
            self._seek(flight)
        elif not connection.fresh():
            # Danger: its end, or bytes that answer nothing, came with it.  A request written to it would end
            # as one that may have run, or be answered by them.
            self._drop(connection)
            flight.finish(Outcome.NO_CONNECTION, "closed at once")
        else:
            self._begin(connection, flight)

    def _begin(self, connection: _Connection, flight: _Flight) -> None:
        """Write an attempt that had to wait for its connection, if it may still go."""
        if flight.call.may_leave():
            self._write(connection, flight)
        else:
            # One that was used before goes on idling since then: its server counts on as well.
            (self._shelve if connection.used else self._release)(connection)
            flight.finish(Outcome.ABANDONED, "over before its first byte")

    def _write(self, connection: _Connection, flight: _Flight) -> None:
        connection.flight = flight
        flight.connection = connection
        call = flight.call
        connection.transport.write(call.op.command(call.deadline - self.clock()))
        if connection.transport.is_closing():
            # The kernel took no byte of it: a write that fails in part still counts what was taken.
            connection.unsent = True
        elif not connection.unsent:
            flight.leave_by = _NEVER

    def _release(self, connection: _Connection) -> None:
        """Keep a connection for the next attempt."""
        connection.flight = None
        if connection.lost or connection.transport.is_closing():
            return
        if self._moved(connection):
            # Danger: `forget` closed what idled then; this one carried an attempt or came up since.
            self._drop(connection)
            return
        connection.idle_since = self.clock()
        self.idle.setdefault(connection.node, OrderedDict())[connection] = None
        if self.queue:
            asyncio.get_running_loop().call_soon(self._admit)

    def _rested(self, flight: _Flight) -> None:
        """Write an attempt to the connection that it waited for, if that stayed quiet."""
        connection = cast(_Connection, flight.rests_on)
        flight.rests_on = connection.next = None
        if self._moved(connection) or not connection.fresh():
            self._drop(connection)
            self._seek(flight)
        else:
            self.reused += 1
            self._begin(connection, flight)

    def _shelve(self, connection: _Connection) -> None:
        """Put a connection back that an attempt waited for; its rest goes on."""
        if not connection.lost and not connection.transport.is_closing():
            idle = self.idle.setdefault(connection.node, OrderedDict())
            idle[connection] = None
            idle.move_to_end(connection, last=False)  # it was the one that had rested longest
            if self.queue:
                asyncio.get_running_loop().call_soon(self._admit)

    def _drop(self, connection: _Connection) -> None:
        """Close a connection; whatever is on its way there or back is given up."""
        connection.flight = None
        self._lost(connection)
        connection.transport.abort()

    def _lost(self, connection: _Connection) -> None:
        held = self.open.pop(connection, self) is None
        if held and self.queue:
            asyncio.get_running_loop().call_soon(self._admit)
        idle = self.idle.get(connection.node)
        if idle is not None:
            idle.pop(connection, None)
        flight = connection.next
        if flight is not None:
            # Nothing of it left: it looks for another connection.
            connection.next = flight.rests_on = None
            asyncio.get_running_loop().call_soon(self._seek_again, flight)

    def _seek_again(self, flight: _Flight) -> None:
        if not flight.done:
            self._seek(flight)

    # --- time-outs: one timer for all

    def _watch_pace(self, flight: _Flight, parser: codec.Replies) -> None:
        now = self.clock()
        if flight.pace is None:
            flight.pace = Pace(now, flight.deadline, self.bounds.stall_ms)
        flight.pace.heard(now, len(parser._buffer), parser._need)
        self._limit(flight)

    def _limit(self, flight: _Flight) -> None:
        """Have an attempt looked at when the next of its limits is up."""
        at = flight.next_limit()
        if at >= flight.listed_at:
            return  # when that earlier one comes up it is listed again
        if len(self._limits) > 2 * self.live + 64:
            # Danger: answered attempts would stand here until their deadlines, thousands a second.
            self._limits = [entry for entry in self._limits if not entry[2].done]
            heapq.heapify(self._limits)
        flight.listed_at = at
        self._count += 1
        heapq.heappush(self._limits, (at, self._count, flight))
        if at < self._rings_at:
            if self._rings is not None:
                self._rings.cancel()
            self._ring_at(at)

    def _ring_at(self, at: float) -> None:
        self._rings_at = at
        loop = asyncio.get_running_loop()
        self._rings = loop.call_later(max(0.0, at - self.clock()) / 1000 + 1e-6, self._ring)

    def _ring(self) -> None:
        now = self.clock()
        self._rings, self._rings_at = None, -_NEVER  # no limit that is listed meanwhile sets the timer
        due = []
        while self._limits and (self._limits[0][2].done or self._limits[0][0] <= now):
            at, _, flight = heapq.heappop(self._limits)
            if not flight.done and at == flight.listed_at:
                flight.listed_at = _NEVER
                due.append(flight)
        for flight in due:
            if not flight.done:
                self._check(flight, now)
            if not flight.done:
                self._limit(flight)
        self._rings_at = _NEVER
        if self._limits:
            self._ring_at(self._limits[0][0])

    def _check(self, flight: _Flight, now: float) -> None:
        """End an attempt of which a limit is up."""
        connection = flight.connection
        if now >= flight.gives_way_at:
            # Reported as a failed connection it would speak against a sound server.
            flight.finish(Outcome.ABANDONED, "no descriptor is left for a connection")
        elif now >= flight.deadline:
            node, sent_at = flight.call.attempt.node.name, flight.call.attempt.sent_at_ms
            asked = connection is not None or flight.connecting is not None
            flight.give_up("no answer in time")
            if asked:
                self._suspect(node, sent_at)
        elif now >= flight.leave_by:
            # Danger: what is still here would arrive when its repeat is not dropped any more.
            flight.overtake()
        elif flight.rests_on is not None and now >= self.quiet.ready_at(flight.rests_on.idle_since):
            self._rested(flight)
        elif flight.pace is not None and now >= flight.pace.gives_up_at() and flight.pace.broken(now):
            self.spoilt += 1
            if connection is not None:
                self._drop(connection)
            flight.finish(Outcome.ERROR, "an answer was begun and not gone on with")

    def _suspect(self, node: str, since: float) -> None:
        """Close the idle connections to a server that has not been heard since an attempt was sent.

        Danger: a machine that was cut off resets them once it is back, and a request written to one may
        then have run as far as anybody can tell; a new connection that fails proves that it never ran.
        """
        idle = self.idle.get(node)
        if idle and max(connection.idle_since for connection in idle) < since:
            self.forget(node)
