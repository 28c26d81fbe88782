"""Connection pool for storage servers that speak RESP2.

A connection carries one attempt at a time, so that an attempt can be cancelled by closing its connection and
no answer waits behind a slow one.  The pool does not choose servers.  Its outcomes must state exactly whether
the last byte of a request can have reached the server.
"""

from __future__ import annotations

import asyncio
import errno
import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from cressrock.dispatch.transport import Call
from cressrock.interface import Outcome
from cressrock.resp import codec
from cressrock.resp.duplicate_answers import AnswerTimes
from cressrock.resp.in_flight_attempt import NEVER_MS, InFlightAttempt
from cressrock.resp.reply_progress import ReplyProgress
from cressrock.resp.reuse_delay import ReuseDelay
from cressrock.resp.server_connection import ServerConnection


@dataclass(frozen=True, slots=True)
class PoolBounds:
    """Limits on connections to storage servers; times in milliseconds."""

    max_connections: int
    connect_timeout_ms: float
    idle_close_ms: float  # the server closes an idle connection after this at the latest
    max_answer: int  # bytes of a value in an answer
    stall_ms: float  # an answer that stops arriving for so long is broken: servers write it at once
    idle_part: float = 0.6  # of idle_close_ms; an older one may be closed while a request is in transit


class RespTransport:
    """The connections of one dispatcher to all storage servers; runs the driver's attempts on them."""

    def __init__(
        self,
        bounds: PoolBounds,
        clock: Callable[[], float],
        resolve_address: Callable[[str], tuple[str, int] | None],
    ) -> None:
        """`clock` is the driver's, in milliseconds.

        `resolve_address` returns a node's address, or None if it is unknown.
        """
        self.bounds = bounds
        self.clock = clock
        self.resolve_address = resolve_address
        # Receives changes in the number of bytes that are held of unsent requests and incomplete answers.
        self.on_held: Callable[[int], None] = lambda _: None
        # While not None, only the answers to the attempts for which it returns True are read.
        self.may_read: Callable[[Call], bool] | None = None
        self.reuse_delay = ReuseDelay(bounds.stall_ms)
        self.answer_times = AnswerTimes()
        self.idle_connections: dict[str, OrderedDict[ServerConnection, None]] = {}
        self.open_connections: dict[ServerConnection, None] = {}
        self.connecting_count = 0
        self.queue: deque[InFlightAttempt] = deque()  # attempts that wait for a descriptor
        self.opened_count = 0
        self.reused_count = 0
        self.unrequested_input_count = 0  # connections closed because of unrequested bytes
        self.invalid_answer_count = 0  # connections closed because of an invalid or incomplete answer
        self.duplicate_count = 0  # duplicates that came ahead of the answer to the next request
        self.doubtful_count = 0  # attempts that failed since only a possible duplicate came
        self.active_count = 0  # attempts without an outcome
        self.closing: set[ServerConnection] = set()  # reset, and closed later in the event loop's iteration
        self._checks: list[tuple[float, int, InFlightAttempt]] = []
        self._check_sequence = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    # --- called by the driver

    def start(self, call: Call) -> InFlightAttempt:
        """Start an attempt on an idle connection that may be reused, else on a new one.

        It waits for the next iteration of the event loop if connections are still to be closed: it may repeat
        an attempt that was given up, and only one of them may be open at a server.
        """
        attempt = InFlightAttempt(self, call)
        self.schedule_check(attempt)
        if self.closing:
            asyncio.get_running_loop().call_soon(self._reassign_connection, attempt)
        else:
            self._assign_connection(attempt)
        return attempt

    def _assign_connection(self, attempt: InFlightAttempt) -> None:
        """Find a connection for an attempt: one that is ready or soon will be, else a new one."""
        if self._use_idle(attempt):
            return
        if self.queue or not self._start_connecting(attempt):
            # During a network partition, hanging attempts can hold every descriptor.  If attempts for healthy
            # servers failed at once instead of waiting, their requests would use up all their attempts
            # immediately and be refused although servers are idle.
            attempt.queued_until = self.clock() + self.bounds.connect_timeout_ms
            self.queue.append(attempt)
            self.schedule_check(attempt)

    def _use_idle(self, attempt: InFlightAttempt) -> bool:
        """Use an idle connection, or wait for one that may soon be reused; return whether there is one."""
        node = attempt.call.attempt.node.name
        connection = self._take_idle(node)
        if connection is not None:
            self.reused_count += 1
            self._write_if_allowed(connection, attempt)
            return True
        idle = self.idle_connections.get(node)
        if not idle:
            return False
        first = next(iter(idle))
        full = len(self.open_connections) + self.connecting_count >= self.bounds.max_connections
        if not self.reuse_delay.should_wait(
            self.reuse_delay.ready_at(first.idle_since), self.clock(), full=full
        ):
            return False
        del idle[first]
        first.waiting_attempt, attempt.awaited = attempt, first
        self.schedule_check(attempt)
        return True

    def _start_connecting(self, attempt: InFlightAttempt) -> bool:
        """Start connecting; return False if no descriptor is free.  May end the attempt instead."""
        node = attempt.call.attempt.node.name
        address = self.resolve_address(node)
        if address is None:
            attempt.finish(Outcome.NO_CONNECTION, "address of the node is unknown")
            return True
        if not attempt.call.may_leave():
            # Do not make the server accept a connection for a client that has disconnected.
            attempt.finish(Outcome.ABANDONED, "request ended before a connection was opened")
            return True
        if (
            len(self.open_connections) + self.connecting_count >= self.bounds.max_connections
            and not self._close_longest_idle()
        ):
            return False
        self.connecting_count += 1
        attempt.connecting = asyncio.get_running_loop().create_task(self._connect(node, address, attempt))
        # Not in the task: a task cancelled before its first step runs none of its own code.
        attempt.connecting.add_done_callback(self._on_connect_done)
        return True

    def _on_connect_done(self, task: asyncio.Task[None]) -> None:
        self.connecting_count -= 1
        self._process_queue()

    def _process_queue(self) -> None:
        """Give free descriptors to the attempts that wait for one, in order."""
        while self.queue:
            attempt = self.queue[0]
            if not attempt.done:
                queued_until, attempt.queued_until = attempt.queued_until, NEVER_MS
                if not self._use_idle(attempt) and not self._start_connecting(attempt):
                    attempt.queued_until = queued_until
                    return
            self.queue.popleft()

    def close_idle(self, node: str) -> None:
        """Close the idle connections to a node that left, was replaced or does not answer."""
        awaited_connections = [
            connection
            for connection in self.open_connections
            if connection.waiting_attempt and connection.node == node
        ]
        for connection in [*self.idle_connections.pop(node, ()), *awaited_connections]:
            self.drop(connection)

    def retire(self, node: str) -> None:
        """Reuse none of the connections to a node; those that carry an attempt are closed after it."""
        self.close_idle(node)
        for connection in self.open_connections:
            if connection.node == node:
                connection.is_retired = True

    def close_expired(self) -> None:
        """Close connections idle for so long that the server may soon close them."""
        oldest = self.clock() - self.bounds.idle_close_ms * self.bounds.idle_part
        for node, idle in list(self.idle_connections.items()):
            for connection in list(idle):
                if connection.idle_since > oldest:
                    break
                self.drop(connection)
            if not self.idle_connections.get(node):
                self.idle_connections.pop(node, None)

    def limit_reading(self, may_read: Callable[[Call], bool] | None) -> None:
        """Read answers only for the attempts for which `may_read` returns True; with None, read all."""
        self.may_read = may_read
        for connection in self.open_connections:
            self._pace_reading(connection)

    def _pace_reading(self, connection: ServerConnection) -> None:
        attempt = connection.attempt
        connection.set_paused(
            self.may_read is not None and attempt is not None and not self.may_read(attempt.call)
        )

    # --- connections

    def _take_idle(self, node: str) -> ServerConnection | None:
        """Remove and return the most recently used idle connection that may be reused; None without one."""
        idle = self.idle_connections.get(node)
        if not idle:
            return None
        now = self.clock()
        oldest = now - self.bounds.idle_close_ms * self.bounds.idle_part
        for connection in list(reversed(idle)):
            if connection.idle_since <= oldest or self._has_moved(connection):
                self.drop(connection)
            elif not connection.has_answered or self.reuse_delay.ready_at(connection.idle_since) <= now:
                if connection.is_clean():
                    del idle[connection]
                    return connection
                self.drop(connection)
        return None

    def _has_moved(self, connection: ServerConnection) -> bool:
        """Return whether the connection's node has left or changed its address."""
        return connection.address is not None and self.resolve_address(connection.node) != connection.address

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection; return False without an idle connection."""
        oldest_per_node = [next(iter(idle)) for idle in self.idle_connections.values() if idle]
        if not oldest_per_node:
            return False
        self.drop(min(oldest_per_node, key=lambda connection: connection.idle_since))
        return True

    async def _connect(self, node: str, address: tuple[str, int], attempt: InFlightAttempt) -> None:
        connection: ServerConnection | None = None
        started_at = self.clock()
        try:
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.bounds.connect_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(self, node, address), *address
                )
        except TimeoutError:
            attempt.finish(Outcome.NO_CONNECTION, "timed out while connecting")
        except OSError as failed:
            # A lack of descriptors in this process is no evidence about the server.
            is_local = failed.errno in (errno.EMFILE, errno.ENFILE)
            attempt.finish(
                Outcome.ABANDONED if is_local else Outcome.NO_CONNECTION, f"{failed.strerror or failed}"
            )
        except ValueError as failed:  # the host name is not valid
            attempt.finish(Outcome.NO_CONNECTION, f"invalid address: {failed}")
        finally:
            attempt.connecting = None
        if connection is None:
            return
        self.opened_count += 1
        self.reuse_delay.record_connect_time(self.clock() - started_at)
        if not connection.is_lost:
            self.open_connections[connection] = None
        if attempt.done:
            self.release(connection)
        elif self._has_moved(connection):
            # The node name now refers to another machine or to none.
            self.drop(connection)
            self._assign_connection(attempt)
        elif not connection.is_clean():
            # The server has already closed it or sent bytes.  A request written to it would count as one
            # that may have run, or would be answered by those bytes.
            self.drop(connection)
            attempt.finish(
                Outcome.NO_CONNECTION, "server closed the new connection or sent unrequested bytes"
            )
        else:
            self._write_if_allowed(connection, attempt)

    def _write_if_allowed(self, connection: ServerConnection, attempt: InFlightAttempt) -> None:
        """Write the request, unless it may no longer be sent."""
        if attempt.call.may_leave():
            self._write(connection, attempt)
        else:
            # Keep the idle time of a used connection: the server's idle timer is still running.
            (self.return_idle if connection.has_answered else self.release)(connection)
            attempt.finish(Outcome.ABANDONED, "request ended before its first byte was sent")

    def _write(self, connection: ServerConnection, attempt: InFlightAttempt) -> None:
        connection.attempt = attempt
        attempt.connection = connection
        attempt.written_at = self.clock()
        call = attempt.call
        connection.transport.write(call.op.command(call.deadline - attempt.written_at))
        if connection.transport.is_closing():
            # The kernel took no byte: a partial write succeeds and does not close the transport.
            connection.has_unsent = True
        elif not connection.has_unsent:
            attempt.leave_by = NEVER_MS
        if self.may_read is not None:
            self._pace_reading(connection)

    def release(self, connection: ServerConnection) -> None:
        """Add a connection to the idle ones; its idle time starts now."""
        connection.attempt = None
        if connection.is_lost or connection.transport.is_closing():
            return
        if connection.is_retired or self._has_moved(connection):
            # `close_idle` closes idle connections only; this one was in use or connecting at the time.
            self.drop(connection)
            return
        connection.idle_since = self.clock()
        self.idle_connections.setdefault(connection.node, OrderedDict())[connection] = None
        if self.queue:
            asyncio.get_running_loop().call_soon(self._process_queue)

    def _write_to_awaited(self, attempt: InFlightAttempt) -> None:
        """Write the request to the awaited connection, or find another one if bytes arrived on it."""
        connection = cast(ServerConnection, attempt.awaited)
        attempt.awaited = connection.waiting_attempt = None
        if self._has_moved(connection) or not connection.is_clean():
            self.drop(connection)
            self._assign_connection(attempt)
        else:
            self.reused_count += 1
            self._write_if_allowed(connection, attempt)

    def return_idle(self, connection: ServerConnection) -> None:
        """Put an awaited, unused connection back among the idle ones; its idle time continues."""
        if not connection.is_lost and not connection.transport.is_closing():
            idle = self.idle_connections.setdefault(connection.node, OrderedDict())
            idle[connection] = None
            idle.move_to_end(connection, last=False)  # it was the longest idle
            if self.queue:
                asyncio.get_running_loop().call_soon(self._process_queue)

    def drop(self, connection: ServerConnection) -> None:
        """Reset a connection, discarding unsent and unread bytes."""
        connection.attempt = None
        self.remove(connection)
        if not connection.is_lost:
            self.closing.add(connection)
        connection.transport.abort()

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection; an attempt that waits for it uses another one."""
        held = self.open_connections.pop(connection, self) is None
        if held and self.queue:
            asyncio.get_running_loop().call_soon(self._process_queue)
        idle = self.idle_connections.get(connection.node)
        if idle is not None:
            idle.pop(connection, None)
        attempt = connection.waiting_attempt
        if attempt is not None:
            # Nothing of the request was sent, so the attempt can use another connection.
            connection.waiting_attempt = attempt.awaited = None
            asyncio.get_running_loop().call_soon(self._reassign_connection, attempt)

    def _reassign_connection(self, attempt: InFlightAttempt) -> None:
        if not attempt.done:
            self._assign_connection(attempt)

    # --- timeouts: one timer for all attempts

    def track_progress(self, attempt: InFlightAttempt, parser: codec.ReplyParser) -> None:
        """Record that more of an incomplete answer has arrived."""
        now = self.clock()
        if attempt.progress is None:
            attempt.progress = ReplyProgress(now, attempt.deadline, self.bounds.stall_ms)
        attempt.progress.record(now, len(parser._buffer), parser._needed_bytes)
        self.schedule_check(attempt)

    def schedule_check(self, attempt: InFlightAttempt) -> None:
        """Schedule a check of an attempt at its next limit."""
        at = attempt.next_check_at()
        if at >= attempt.scheduled_at:
            return  # the earlier check schedules the next one
        if len(self._checks) > 2 * self.active_count + 64:
            # Otherwise finished attempts would stay until their deadlines, at thousands per second.
            self._checks = [entry for entry in self._checks if not entry[2].done]
            heapq.heapify(self._checks)
        attempt.scheduled_at = at
        self._check_sequence += 1
        heapq.heappush(self._checks, (at, self._check_sequence, attempt))
        if at < self._timer_at:
            if self._timer is not None:
                self._timer.cancel()
            self._set_timer(at)

    def _set_timer(self, at: float) -> None:
        self._timer_at = at
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, at - self.clock()) / 1000 + 1e-6, self._on_timer)

    def _on_timer(self) -> None:
        now = self.clock()
        self._timer, self._timer_at = None, -NEVER_MS  # checks scheduled meanwhile do not set the timer
        due = []
        while self._checks and (self._checks[0][2].done or self._checks[0][0] <= now):
            at, _, attempt = heapq.heappop(self._checks)
            if not attempt.done and at == attempt.scheduled_at:
                attempt.scheduled_at = NEVER_MS
                due.append(attempt)
        for attempt in due:
            if not attempt.done:
                self._check(attempt, now)
            if not attempt.done:
                self.schedule_check(attempt)
        self._timer_at = NEVER_MS
        if self._checks:
            self._set_timer(self._checks[0][0])

    def _check(self, attempt: InFlightAttempt, now: float) -> None:
        """Handle the limit that an attempt has reached."""
        connection = attempt.connection
        if now >= attempt.queued_until:
            # NO_CONNECTION would count against a healthy server.
            attempt.finish(Outcome.ABANDONED, "no free descriptor for a connection")
        elif now >= attempt.deadline:
            node, sent_at = attempt.call.attempt.node.name, attempt.call.attempt.sent_at_ms
            was_contacted = connection is not None or attempt.connecting is not None
            attempt.give_up("no answer before the deadline")
            if was_contacted:
                self._close_if_silent(node, sent_at)
        elif now >= attempt.leave_by:
            # The rest would arrive after the deduplication window, and the work could take effect twice.
            attempt.stop_sending()
        elif attempt.awaited is not None and now >= self.reuse_delay.ready_at(attempt.awaited.idle_since):
            self._write_to_awaited(attempt)
        elif (
            attempt.held is not None
            and attempt.progress is None
            and not (connection is not None and connection.is_paused)
            and now >= attempt.held.until
        ):
            attempt.fail_held(attempt.held, now)
        elif (
            attempt.progress is not None
            and not (connection is not None and connection.is_paused)
            and now >= attempt.progress.next_check_at()
            and attempt.progress.is_broken(now)
        ):
            self.invalid_answer_count += 1
            if connection is not None:
                self.drop(connection)
            attempt.finish(Outcome.ERROR, "answer stopped arriving, or arrived too slowly for its deadline")

    def _close_if_silent(self, node: str, since: float) -> None:
        """Close a node's idle connections if none of them has been used since `since`.

        After a network partition the server may reset old connections, and a request written to one would
        count as one that may have run.  A new connection that fails proves that the request never ran.
        """
        idle = self.idle_connections.get(node)
        if idle and max(connection.idle_since for connection in idle) < since:
            self.close_idle(node)
