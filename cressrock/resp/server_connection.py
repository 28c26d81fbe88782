"""One connection to a storage server that speaks RESP2.

It carries one attempt at a time and decides what each piece of input means: the answer to that attempt, a
possible duplicate of an earlier answer, bytes that nobody requested, or the end.  The pool that owns it
reuses or closes it.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING, cast

from cressrock.interface import Outcome
from cressrock.resp import codec
from cressrock.resp.duplicate_answers import RecentAnswers
from cressrock.resp.in_flight_attempt import NEVER_MS, InFlightAttempt
from cressrock.resp.outcomes import Answer, parse_answer
from cressrock.resp.receive_buffer import SharedBufferProtocol

if TYPE_CHECKING:
    from cressrock.resp.connection_pool import RespTransport

_LINGER_RESET = struct.pack("ii", 1, 0)


class ServerConnection(SharedBufferProtocol):
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
        """Start unconnected; asyncio calls `connection_made`."""
        self.pool = pool
        self.node = node
        self.address = address  # the server's address when it was opened
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = codec.ReplyParser(pool.bounds.max_answer)
        self.attempt: InFlightAttempt | None = None
        self.waiting_attempt: InFlightAttempt | None = None  # waits until this connection may be reused
        self.has_answered = False  # it has received an answer
        self.idle_since = 0.0
        self.has_unsent = False  # part of the request is still in the write buffer
        self.held_bytes = 0  # of that part and of an incomplete answer, as accounted for
        self.is_paused = False  # an answer is not read on, since there is no memory for it
        self.is_lost = False
        self.is_retired = False  # is closed after the attempt that it carries
        self.recent_answers = RecentAnswers()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket."""
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
        """Record that the kernel has not taken all of the request."""
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
            attempt = self.attempt
            if attempt is not None and attempt.progress is not None:
                attempt.progress.resume(self.pool.clock())
            if attempt is not None and (attempt.progress is not None or attempt.held is not None):
                self.pool.schedule_check(attempt)

    def resume_writing(self) -> None:
        """Record that the kernel has taken the whole request."""
        self.has_unsent = False
        self.update_held()
        if self.attempt is not None:
            self.attempt.leave_by = NEVER_MS

    def data_received(self, data: bytes) -> None:
        """Read an answer, or close the connection if none was awaited."""
        attempt = self.attempt
        if attempt is None:
            self._receive_unrequested(data)
            return
        self.parser.feed(data)
        try:
            answer = self._next_answer(attempt)
        except codec.ProtocolError as exc:
            self.pool.invalid_answer_count += 1
            self.pool.drop(self)
            attempt.finish(Outcome.ERROR, f"invalid reply: {exc}")
            return
        if answer is None:
            if self.parser.buffered_bytes:
                self.pool.track_progress(attempt, self.parser)
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
        self.pool.drop(self)
        if reply is not None and self.has_answered:
            answer = parse_answer(reply[0])
            if not self.recent_answers.contains(now, answer):
                # It answers the last request, which was given the answer of an earlier one.
                self.pool.retire(self.node)

    def _next_answer(self, attempt: InFlightAttempt) -> Answer | None:
        """Return the answer to the attempt's request, or None while it is missing.  Raises ProtocolError."""
        while (reply := self.parser.next()) is not None:
            answer = parse_answer(reply[0])
            if self.has_unsent or not self._may_be_duplicate(attempt, answer):
                return answer
            attempt.hold(answer)
        return None

    def _may_be_duplicate(self, attempt: InFlightAttempt, answer: Answer) -> bool:
        """Return whether an answer may be a late duplicate of one to an earlier request."""
        answer_ms = attempt.answered_at() - attempt.written_at
        if not self.pool.answer_times.is_early(self.node, answer.outcome, answer_ms):
            return False
        return self.recent_answers.contains(self.pool.clock(), answer)

    def _complete(self, attempt: InFlightAttempt, answer: Answer) -> None:
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
            self.pool.drop(self)
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
            self.pool.drop(self)
        elif answer.is_malformed:
            # Later replies on this connection could not be matched either.
            self.pool.invalid_answer_count += 1
            self.pool.drop(self)
        else:
            self.recent_answers.add(now, answer)
            answer_ms = attempt.answered_at() - attempt.written_at
            self.pool.answer_times.record(self.node, outcome, answer_ms, now)
            self.pool.release(self)
        self.has_answered = True
        attempt.finish_with(answer)

    def _record_duplicate(self, arrived_at: float) -> None:
        """Close the connection and those of its server that may have been given another request's answer."""
        self.pool.unrequested_input_count += 1
        self.pool.duplicate_count += 1
        self.pool.reuse_delay.record_late_bytes(arrived_at - self.idle_since)
        self.pool.drop(self)
        self.pool.retire(self.node)

    def eof_received(self) -> bool:
        """Close; stop a request that is not written completely."""
        attempt = self.attempt
        if attempt is not None and self.has_unsent:
            # An orderly close would still send the rest of the request, which could then run although no
            # answer can arrive any more.
            self.pool.drop(self)
            attempt.finish(
                Outcome.NO_CONNECTION,
                "server closed the connection before the request was completely written",
            )
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt that it carries."""
        self.is_lost = True
        self.pool.closing.discard(self)
        self.update_held()
        attempt = self.attempt
        self.pool.remove(self)
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
