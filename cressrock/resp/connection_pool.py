"""Connection pool for storage servers that speak RESP2.

A connection carries one attempt at a time, so that an attempt can be cancelled by closing its connection and
no answer waits behind a slow one.  The pool does not choose servers.  Its outcomes must state exactly whether
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
from cressrock.resp.duplicate_answers import AnswerTimes, RecentAnswers
from cressrock.resp.outcomes import Answer, parse_answer
from cressrock.resp.receive_buffer import SharedBufferProtocol
from cressrock.resp.reply_progress import ReplyProgress
from cressrock.resp.reuse_delay import ReuseDelay


@dataclass(frozen=True, slots=True)
class PoolBounds:
    """Limits on connections to storage servers; times in milliseconds."""

    max_connections: int
    connect_timeout_ms: float
    idle_close_ms: float  # the server closes an idle connection after this at the latest
    max_answer: int  # bytes of a value in an answer
    stall_ms: float  # an answer that stops arriving for so long is broken: servers write it at once
    idle_part: float = 0.6  # of idle_close_ms; an older one may be closed while a request is in transit


_LINGER_RESET = struct.pack("ii", 1, 0)
_NEVER = float("inf")


class _Connection(SharedBufferProtocol):
    """One connection to a storage server."""

    __slots__ = (
        "pool",
        "node",
        "address",
        "transport",
        "parser",
        "attempt",
        "waiting_attempt",
        "has_answered",
        "idle_since",
        "has_unsent",
        "held_bytes",
        "is_paused",
        "is_lost",
        "is_retired",
        "recent_answers",
    )

    def __init__(self, pool: RespTransport, node: str, address: tuple[str, int] | None = None) -> None:
        self.pool = pool
        self.node = node
        self.address = address  # the server's address when it was opened
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = codec.ReplyParser(pool.bounds.max_answer)
        self.attempt: _InFlightAttempt | None = None
        self.waiting_attempt: _InFlightAttempt | None = None  # waits until this connection may be reused
        self.has_answered = False  # it has received an answer
        self.idle_since = 0.0
        self.has_unsent = False  # part of the request is still in the write buffer
        self.held_bytes = 0  # of that part and of an incomplete answer, as accounted for
        self.is_paused = False  # an answer is not read on, since there is no memory for it
        self.is_lost = False
        self.is_retired = False  # is closed after the attempt that it carries
        self.recent_answers = RecentAnswers()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        with suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Close with a reset.  Otherwise the kernel could deliver the buffered rest of a cancelled request
            # or of an ended process long after its place in the server's limit was given to another attempt.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        # Call pause_writing for any byte that the kernel has not taken.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.has_unsent = True
        self.update_held()

    def update_held(self) -> None:
        """Account for what the process holds of a request that is not sent, or of an incomplete answer."""
        held_bytes = self.parser.buffered_bytes
        if self.has_unsent:
            held_bytes += self.transport.get_write_buffer_size()
        if self.is_lost:
            held_bytes = 0
        if held_bytes != self.held_bytes:
            delta_bytes, self.held_bytes = held_bytes - self.held_bytes, held_bytes
            self.pool.on_held(delta_bytes)

    def set_paused(self, is_paused: bool) -> None:
        """Stop or resume reading an answer."""
        if is_paused == self.is_paused or self.transport.is_closing():
            return
        self.is_paused = is_paused
        if is_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            if self.attempt is not None and self.attempt.progress is not None:
                self.attempt.progress.resume(self.pool.clock())
                self.pool._schedule_check(self.attempt)

    def resume_writing(self) -> None:
        self.has_unsent = False
        self.update_held()
        if self.attempt is not None:
            self.attempt.leave_by = _NEVER

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:
            self._receive_unrequested(data)
            return
        self.parser.feed(data)
        try:
            answer = self._next_answer(attempt)
        except codec.ProtocolError as exc:
            self.pool.invalid_answer_count += 1
            self.pool._drop(self)
            attempt.finish(Outcome.ERROR, f"invalid reply: {exc}")
            return
        if answer is None:
            if self.parser.buffered_bytes:
                self.pool._track_progress(attempt, self.parser)
            self.update_held()
            return
        if self.held_bytes:
            self.update_held()
        self._complete(attempt, answer)

    def _receive_unrequested(self, data: bytes) -> None:
        """Close the connection: whatever is read next on it could be the rest of these bytes."""
        self.pool.unrequested_input_count += 1
        now = self.pool.clock()
        if self.has_answered:
            self.pool.reuse_delay.record_late_bytes(now - self.idle_since)
        self.parser.feed(data)
        try:
            reply = self.parser.next()
        except codec.ProtocolError:
            reply = None
        self.pool._drop(self)
        if reply is not None and self.has_answered:
            answer = parse_answer(reply[0])
            if not self.recent_answers.contains(now, answer):
                # It answers the last request, which was given the answer of an earlier one.
                self.pool.retire(self.node)

    def _next_answer(self, attempt: _InFlightAttempt) -> Answer | None:
        """Return the answer to the attempt's request, or None while it is missing.  Raises ProtocolError."""
        while (reply := self.parser.next()) is not None:
            answer = parse_answer(reply[0])
            if self.has_unsent or not self._may_be_duplicate(attempt, answer):
                return answer
            attempt.hold(answer)
        return None

    def _may_be_duplicate(self, attempt: _InFlightAttempt, answer: Answer) -> bool:
        """Return whether an answer may be a late duplicate of one to an earlier request."""
        answer_ms = attempt.answered_at() - attempt.written_at
        if not self.pool.answer_times.is_early(self.node, answer.outcome, answer_ms):
            return False
        return self.recent_answers.contains(self.pool.clock(), answer)

    def _complete(self, attempt: _InFlightAttempt, answer: Answer) -> None:
        """End the attempt with its answer, and reuse or close the connection."""
        now = self.pool.clock()
        outcome = answer.outcome
        self.attempt = None
        if self.has_unsent:
            # A server starts only when it has the last byte, so an earlier reply belongs to another request
            # or refuses this one.  The connection cannot be reused: the rest of the request would be sent
            # ahead of the next one.
            self.has_answered = True
            self.pool.unrequested_input_count += outcome is not Outcome.FULL
            self.pool._drop(self)
            if outcome is Outcome.FULL:
                attempt.finish_with(answer)
            else:
                attempt.finish(
                    Outcome.NO_CONNECTION, "received a reply before the request was completely written"
                )
            return
        if attempt.held is not None:
            self._record_duplicate(attempt.held.arrived_at)
        elif self.parser.is_partial:
            self.pool.unrequested_input_count += 1
            self.pool._drop(self)
        elif answer.is_malformed:
            # Later replies on this connection could not be matched either.
            self.pool.invalid_answer_count += 1
            self.pool._drop(self)
        else:
            self.recent_answers.add(now, answer)
            answer_ms = attempt.answered_at() - attempt.written_at
            self.pool.answer_times.record(self.node, outcome, answer_ms, now)
            self.pool._release(self)
        self.has_answered = True
        attempt.finish_with(answer)

    def _record_duplicate(self, arrived_at: float) -> None:
        """Close the connection and those of its server that may have been given another request's answer."""
        self.pool.unrequested_input_count += 1
        self.pool.duplicate_count += 1
        self.pool.reuse_delay.record_late_bytes(arrived_at - self.idle_since)
        self.pool._drop(self)
        self.pool.retire(self.node)

    def eof_received(self) -> bool:
        attempt = self.attempt
        if attempt is not None and self.has_unsent:
            # An orderly close would still send the rest of the request, which could then run although no
            # answer can arrive any more.
            self.pool._drop(self)
            attempt.finish(
                Outcome.NO_CONNECTION,
                "server closed the connection before the request was completely written",
            )
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self.pool._closing.discard(self)
        self.update_held()
        attempt = self.attempt
        self.pool._remove(self)
        if attempt is not None:
            if self.has_unsent:
                attempt.finish(
                    Outcome.NO_CONNECTION, "connection lost before the request was completely written"
                )
            else:
                attempt.finish(Outcome.RESET, f"connection lost: {exc or 'closed'}")

    def is_clean(self) -> bool:
        """Return whether the connection is open and the kernel holds no unread end or bytes for it."""
        if self.is_lost or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)


@dataclass(frozen=True, slots=True)
class _HeldAnswer:
    """An answer that may be a duplicate and is held back; times in milliseconds."""

    outcome: Outcome
    arrived_at: float
    answer_ms: float  # since the request was written
    until: float  # the request's own answer is waited for until then


class _InFlightAttempt:
    """One attempt in flight."""

    __slots__ = (
        "pool",
        "call",
        "connection",
        "connecting",
        "done",
        "deadline",
        "leave_by",
        "queued_until",
        "progress",
        "awaited",
        "scheduled_at",
        "written_at",
        "held",
    )

    def __init__(self, pool: RespTransport, call: Call) -> None:
        self.pool = pool
        self.call = call
        self.connection: _Connection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.done = False
        self.deadline = call.deadline
        self.leave_by = call.leave_by  # infinity once the kernel has its last byte
        self.queued_until = _NEVER  # deadline of the wait for a descriptor
        self.progress: ReplyProgress | None = None  # of a partly received answer
        self.awaited: _Connection | None = None  # the connection whose reuse it waits for
        self.scheduled_at = _NEVER  # when the pool's timer checks it next
        self.written_at = 0.0  # when its request was handed to the kernel
        self.held: _HeldAnswer | None = None  # the possible duplicate that arrived first
        pool.active_count += 1

    def stop(self) -> None:
        """Cancel the attempt."""
        self._give_up(Outcome.CANCELLED, Outcome.ABANDONED, "cancelled")

    def abandon(self) -> None:
        """Stop writing a partly written request, because its client has disconnected."""
        if self.connection is not None and self.connection.has_unsent:
            self.stop_sending()

    def give_up(self, text: str) -> None:
        """Give the attempt up after a timeout."""
        self._give_up(Outcome.TIMEOUT, Outcome.NO_CONNECTION, text)

    def next_check_at(self) -> float:
        """Return when `pool._check` must be called for it next."""
        is_paused = self.connection is not None and self.connection.is_paused
        progress_check_at = _NEVER
        if self.progress is not None and not is_paused:
            progress_check_at = self.progress.next_check_at()
        elif self.held is not None:
            progress_check_at = self.held.until
        awaited = self.awaited
        ready_at = _NEVER if awaited is None else self.pool.reuse_delay.ready_at(awaited.idle_since)
        return min(self.deadline, self.leave_by, self.queued_until, progress_check_at, ready_at)

    def answered_at(self) -> float:
        """Return when the first bytes of the answer arrived that is now complete."""
        return self.pool.clock() if self.progress is None else self.progress.started_at

    def hold(self, answer: Answer) -> None:
        """Do not end with this answer, which may be a duplicate, but wait for another one."""
        pool, connection = self.pool, cast(_Connection, self.connection)
        if self.held is None:
            until = self.written_at + pool.answer_times.hold_ms(connection.node, answer.outcome)
            answer_ms = self.answered_at() - self.written_at
            self.held = _HeldAnswer(answer.outcome, pool.clock(), answer_ms, until)
        self.progress = None
        pool._schedule_check(self)

    def fail_held(self, held: _HeldAnswer, now: float) -> None:
        """Fail: only a possible duplicate has arrived, and the request's own answer is overdue."""
        pool, connection = self.pool, cast(_Connection, self.connection)
        pool.doubtful_count += 1
        # If it was no duplicate, the server has become faster.
        pool.answer_times.record(connection.node, held.outcome, held.answer_ms, now)
        pool._drop(connection)
        self.finish(Outcome.ERROR, "only an answer that may be a duplicate of an earlier one arrived")

    def stop_sending(self) -> None:
        """Stop sending; a request that was not written completely never ran."""
        self._give_up(
            Outcome.ABANDONED, Outcome.ABANDONED, "stopped before the request was completely written"
        )

    def _give_up(self, outcome_if_sent: Outcome, outcome_if_unsent: Outcome, text: str) -> None:
        if self.done:
            return
        connection = self.connection
        if self.connecting is not None:
            self.connecting.cancel()
        if connection is None:
            # An attempt that never connected is no evidence about its server.
            connecting = self.connecting is not None
            self.finish(outcome_if_unsent if connecting else Outcome.ABANDONED, f"{text} while connecting")
            return
        outcome = outcome_if_unsent if connection.has_unsent else outcome_if_sent
        self.pool._drop(connection)
        self.finish(outcome, text)

    def finish_with(self, answer: Answer) -> None:
        """Report an answer as the outcome."""
        self.finish(answer.outcome, answer.text, answer.value, answer.used, answer.units_elsewhere)

    def finish(
        self, outcome: Outcome, text: str = "", value: bytes | None = None, used: int = 0, cost: float = 0.0
    ) -> None:
        """Report the outcome; does nothing if one has been reported."""
        if self.done:
            return
        self.done = True
        if self.connection is not None:
            self.connection.attempt = None
            self.connection = None
        if self.awaited is not None:
            awaited, self.awaited = self.awaited, None
            awaited.waiting_attempt = None
            self.pool._return_idle(awaited)
        self.pool.active_count -= 1
        # Latency ends with the first bytes: waiting for the rest of a broken answer is not the server's load.
        answered_at = self.answered_at()
        call, self.call = self.call, cast(Call, None)  # the timer may hold this object long after its end
        call.end(AttemptResult(outcome, answered_at - call.attempt.sent_at_ms, value, used, cost, text))


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
        self.idle_connections: dict[str, OrderedDict[_Connection, None]] = {}
        self.open_connections: dict[_Connection, None] = {}
        self.connecting_count = 0
        self.queue: deque[_InFlightAttempt] = deque()  # attempts that wait for a descriptor
        self.opened_count = 0
        self.reused_count = 0
        self.unrequested_input_count = 0  # connections closed because of unrequested bytes
        self.invalid_answer_count = 0  # connections closed because of an invalid or incomplete answer
        self.duplicate_count = 0  # duplicates that came ahead of the answer to the next request
        self.doubtful_count = 0  # attempts that failed since only a possible duplicate came
        self.active_count = 0  # attempts without an outcome
        self._closing: set[_Connection] = set()  # reset, and closed later in the event loop's iteration
        self._checks: list[tuple[float, int, _InFlightAttempt]] = []
        self._check_sequence = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    # --- called by the driver

    def start(self, call: Call) -> _InFlightAttempt:
        """Start an attempt on an idle connection that may be reused, else on a new one.

        It waits for the next iteration of the event loop if connections are still to be closed: it may repeat
        an attempt that was given up, and only one of them may be open at a server.
        """
        attempt = _InFlightAttempt(self, call)
        self._schedule_check(attempt)
        if self._closing:
            asyncio.get_running_loop().call_soon(self._reassign_connection, attempt)
        else:
            self._assign_connection(attempt)
        return attempt

    def _assign_connection(self, attempt: _InFlightAttempt) -> None:
        """Find a connection for an attempt: one that is ready or soon will be, else a new one."""
        if self._use_idle(attempt):
            return
        if self.queue or not self._start_connecting(attempt):
            # During a network partition, hanging attempts can hold every descriptor.  If attempts for healthy
            # servers failed at once instead of waiting, their requests would use up all their attempts
            # immediately and be refused although servers are idle.
            attempt.queued_until = self.clock() + self.bounds.connect_timeout_ms
            self.queue.append(attempt)
            self._schedule_check(attempt)

    def _use_idle(self, attempt: _InFlightAttempt) -> bool:
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
        self._schedule_check(attempt)
        return True

    def _start_connecting(self, attempt: _InFlightAttempt) -> bool:
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
                queued_until, attempt.queued_until = attempt.queued_until, _NEVER
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
            self._drop(connection)

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
                self._drop(connection)
            if not self.idle_connections.get(node):
                self.idle_connections.pop(node, None)

    def limit_reading(self, may_read: Callable[[Call], bool] | None) -> None:
        """Read answers only for the attempts for which `may_read` returns True; with None, read all."""
        self.may_read = may_read
        for connection in self.open_connections:
            self._pace_reading(connection)

    def _pace_reading(self, connection: _Connection) -> None:
        attempt = connection.attempt
        connection.set_paused(
            self.may_read is not None and attempt is not None and not self.may_read(attempt.call)
        )

    # --- connections

    def _take_idle(self, node: str) -> _Connection | None:
        """Remove and return the most recently used idle connection that may be reused; None without one."""
        idle = self.idle_connections.get(node)
        if not idle:
            return None
        now = self.clock()
        oldest = now - self.bounds.idle_close_ms * self.bounds.idle_part
        for connection in list(reversed(idle)):
            if connection.idle_since <= oldest or self._has_moved(connection):
                self._drop(connection)
            elif not connection.has_answered or self.reuse_delay.ready_at(connection.idle_since) <= now:
                if connection.is_clean():
                    del idle[connection]
                    return connection
                self._drop(connection)
        return None

    def _has_moved(self, connection: _Connection) -> bool:
        """Return whether the connection's node has left or changed its address."""
        return connection.address is not None and self.resolve_address(connection.node) != connection.address

    def _close_longest_idle(self) -> bool:
        """Close the longest idle connection; return False without an idle connection."""
        oldest_per_node = [next(iter(idle)) for idle in self.idle_connections.values() if idle]
        if not oldest_per_node:
            return False
        self._drop(min(oldest_per_node, key=lambda connection: connection.idle_since))
        return True

    async def _connect(self, node: str, address: tuple[str, int], attempt: _InFlightAttempt) -> None:
        connection: _Connection | None = None
        started_at = self.clock()
        try:
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self.bounds.connect_timeout_ms / 1000):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self, node, address), *address
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
            self._release(connection)
        elif self._has_moved(connection):
            # The node name now refers to another machine or to none.
            self._drop(connection)
            self._assign_connection(attempt)
        elif not connection.is_clean():
            # The server has already closed it or sent bytes.  A request written to it would count as one
            # that may have run, or would be answered by those bytes.
            self._drop(connection)
            attempt.finish(
                Outcome.NO_CONNECTION, "server closed the new connection or sent unrequested bytes"
            )
        else:
            self._write_if_allowed(connection, attempt)

    def _write_if_allowed(self, connection: _Connection, attempt: _InFlightAttempt) -> None:
        """Write the request, unless it may no longer be sent."""
        if attempt.call.may_leave():
            self._write(connection, attempt)
        else:
            # Keep the idle time of a used connection: the server's idle timer is still running.
            (self._return_idle if connection.has_answered else self._release)(connection)
            attempt.finish(Outcome.ABANDONED, "request ended before its first byte was sent")

    def _write(self, connection: _Connection, attempt: _InFlightAttempt) -> None:
        connection.attempt = attempt
        attempt.connection = connection
        attempt.written_at = self.clock()
        call = attempt.call
        connection.transport.write(call.op.command(call.deadline - attempt.written_at))
        if connection.transport.is_closing():
            # The kernel took no byte: a partial write succeeds and does not close the transport.
            connection.has_unsent = True
        elif not connection.has_unsent:
            attempt.leave_by = _NEVER
        if self.may_read is not None:
            self._pace_reading(connection)

    def _release(self, connection: _Connection) -> None:
        """Add a connection to the idle ones; its idle time starts now."""
        connection.attempt = None
        if connection.is_lost or connection.transport.is_closing():
            return
        if connection.is_retired or self._has_moved(connection):
            # `close_idle` closes idle connections only; this one was in use or connecting at the time.
            self._drop(connection)
            return
        connection.idle_since = self.clock()
        self.idle_connections.setdefault(connection.node, OrderedDict())[connection] = None
        if self.queue:
            asyncio.get_running_loop().call_soon(self._process_queue)

    def _write_to_awaited(self, attempt: _InFlightAttempt) -> None:
        """Write the request to the awaited connection, or find another one if bytes arrived on it."""
        connection = cast(_Connection, attempt.awaited)
        attempt.awaited = connection.waiting_attempt = None
        if self._has_moved(connection) or not connection.is_clean():
            self._drop(connection)
            self._assign_connection(attempt)
        else:
            self.reused_count += 1
            self._write_if_allowed(connection, attempt)

    def _return_idle(self, connection: _Connection) -> None:
        """Put an awaited, unused connection back among the idle ones; its idle time continues."""
        if not connection.is_lost and not connection.transport.is_closing():
            idle = self.idle_connections.setdefault(connection.node, OrderedDict())
            idle[connection] = None
            idle.move_to_end(connection, last=False)  # it was the longest idle
            if self.queue:
                asyncio.get_running_loop().call_soon(self._process_queue)

    def _drop(self, connection: _Connection) -> None:
        """Reset a connection, discarding unsent and unread bytes."""
        connection.attempt = None
        self._remove(connection)
        if not connection.is_lost:
            self._closing.add(connection)
        connection.transport.abort()

    def _remove(self, connection: _Connection) -> None:
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

    def _reassign_connection(self, attempt: _InFlightAttempt) -> None:
        if not attempt.done:
            self._assign_connection(attempt)

    # --- timeouts: one timer for all attempts

    def _track_progress(self, attempt: _InFlightAttempt, parser: codec.ReplyParser) -> None:
        now = self.clock()
        if attempt.progress is None:
            attempt.progress = ReplyProgress(now, attempt.deadline, self.bounds.stall_ms)
        attempt.progress.record(now, len(parser._buffer), parser._needed_bytes)
        self._schedule_check(attempt)

    def _schedule_check(self, attempt: _InFlightAttempt) -> None:
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
        self._timer, self._timer_at = None, -_NEVER  # checks scheduled meanwhile do not set the timer
        due = []
        while self._checks and (self._checks[0][2].done or self._checks[0][0] <= now):
            at, _, attempt = heapq.heappop(self._checks)
            if not attempt.done and at == attempt.scheduled_at:
                attempt.scheduled_at = _NEVER
                due.append(attempt)
        for attempt in due:
            if not attempt.done:
                self._check(attempt, now)
            if not attempt.done:
                self._schedule_check(attempt)
        self._timer_at = _NEVER
        if self._checks:
            self._set_timer(self._checks[0][0])

    def _check(self, attempt: _InFlightAttempt, now: float) -> None:
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
        elif attempt.held is not None and attempt.progress is None and now >= attempt.held.until:
            attempt.fail_held(attempt.held, now)
        elif (
            attempt.progress is not None
            and not (connection is not None and connection.is_paused)
            and now >= attempt.progress.next_check_at()
            and attempt.progress.is_broken(now)
        ):
            self.invalid_answer_count += 1
            if connection is not None:
                self._drop(connection)
            attempt.finish(Outcome.ERROR, "answer stopped arriving, or arrived too slowly for its deadline")

    def _close_if_silent(self, node: str, since: float) -> None:
        """Close a node's idle connections if none of them has been used since `since`.

        After a network partition the server may reset old connections, and a request written to one would
        count as one that may have run.  A new connection that fails proves that the request never ran.
        """
        idle = self.idle_connections.get(node)
        if idle and max(connection.idle_since for connection in idle) < since:
            self.close_idle(node)
