"""One client connection of the dispatcher: reads commands, and writes their answers in order."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections import deque
from contextlib import suppress
from itertools import takewhile
from typing import TYPE_CHECKING, cast

from cressrock.resp import codec
from cressrock.resp.memory_account import ANSWER_BYTES
from cressrock.resp.memory_admission import WaitingRequests, read_limit
from cressrock.resp.receive_buffer import SharedBufferProtocol, shared_buffer
from cressrock.resp.request import VALUE_INDEX

if TYPE_CHECKING:
    from cressrock.resp.front import Front

MAX_WRITE_BYTES = 65536  # of answers that are joined for one write
MAX_JOINED_BYTES = 4096  # of answers known at once that share an entry of the queue
# Of answers known at once in a connection's queue; above it, its commands are left in the kernel.
MAX_IMMEDIATE_BYTES = 262144
MAX_SHORT_IMMEDIATE_BYTES = 16384  # the same while memory is short


class PendingAnswer:
    """An entry in a connection's queue: the answer to a request, or answers that were known at once."""

    __slots__ = (
        "is_immediate",
        "name",
        "data",
        "words",
        "request_class",
        "shard",
        "received_at",
        "deadline",
        "admitted_at",
        "held_bytes",
    )

    def __init__(self, data: bytes | None = None) -> None:
        """`data` is the answer if it is known at once."""
        self.is_immediate = data is not None
        self.name = ""  # the driver's name for the request while it is open, else empty
        self.data = data
        self.words: tuple[bytes, ...] = ()  # of a request that has no answer yet
        self.request_class = 0
        self.shard = 0
        self.received_at = 0.0  # its last byte, on the driver's clock
        self.deadline = 0.0
        self.admitted_at = 0.0
        self.held_bytes = 0

    def request_id(self) -> str:
        """Return the client's id of a request that has no answer yet, else an empty string."""
        return self.words[2].decode() if self.words else ""

    def value_bytes(self) -> int:
        """Return the size of the request's value."""
        return len(self.words[VALUE_INDEX]) if len(self.words) > VALUE_INDEX else 0

    def hold(self, client: ClientConnection, held_bytes: int) -> None:
        """Set how much memory is held for it."""
        delta_bytes, self.held_bytes = held_bytes - self.held_bytes, held_bytes
        client.hold(delta_bytes)


class ClientConnection(SharedBufferProtocol):
    """One client connection."""

    __slots__ = (
        "front",
        "transport",
        "parser",
        "queue",
        "waiting",
        "active_at",
        "has_sent_command",
        "blocked_since",
        "received_at",
        "read_at",
        "backlog_since",
        "is_reading",
        "is_processing_later",
        "is_refusing_input",
        "is_ending",
        "held_bytes",
        "granted_bytes",
        "input_bytes",
        "unread_bytes",
        "immediate_bytes",
        "read_limit",
    )

    def __init__(self, front: Front) -> None:
        """Start without a transport; `connection_made` gets it."""
        self.front = front
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.parser = codec.CommandParser()
        self.queue: deque[PendingAnswer] = deque()
        self.waiting = WaitingRequests()
        self.active_at = front.clock()  # last start or end of a command, last answer, or connecting
        self.has_sent_command = False  # a complete one
        self.blocked_since: float | None = None
        self.received_at = self.active_at  # of the input in the parser
        self.read_at = self.active_at  # when input was last read
        # While this side did not read, input waited in the kernel; its time counts from when reading stopped.
        self.backlog_since: float | None = None
        self.is_reading = True
        self.is_processing_later = False  # buffered commands are processed in the next iteration of the loop
        self.is_refusing_input = False  # the input that has waited too long for room
        self.is_ending = False  # no more input is accepted; open requests are still answered
        self.held_bytes = 0  # in the account of memory; the following three are part of it
        self.granted_bytes = 0  # for a command that is arriving
        self.input_bytes = 0  # in the parser
        self.unread_bytes = 0  # in the transport
        self.immediate_bytes = 0  # of answers in the queue that were known at once
        self.read_limit = 0  # bytes of the read that is under way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the front."""
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        with suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Keep answers in the queue, where they are accounted for, until the kernel takes them.
        self.transport.set_write_buffer_limits(high=0)
        self.front._on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return the buffer for the next read, limited to what there is room for."""
        self.read_limit = read_limit(self)
        return shared_buffer[: self.read_limit]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes of a read; if it took all that the kernel held, further input will be new."""
        limit = self.read_limit
        self.data_received(bytes(shared_buffer[:nbytes]))
        if nbytes < limit:
            if not self.parser.is_partial:
                self.is_refusing_input = False
            self.backlog_since = None if self.is_reading else self.front.clock()

    def data_received(self, data: bytes) -> None:
        """Process input."""
        if self.is_ending:
            # Keep reading and discard the input; without reading, a disconnect would go unnoticed.
            self.front._on_discarded(self, len(data))
            return
        self.read_at = self.front.clock()
        self.received_at = self.read_at if self.backlog_since is None else self.backlog_since
        self._process(data)

    def _process(self, data: bytes) -> None:
        """Process complete commands, a bounded number per iteration of the event loop.

        One read can hold thousands of short commands.  Without the bound, they would delay the answers to
        all other clients.
        """
        front, now = self.front, self.front.clock()
        if self.has_sent_command and not self.parser.is_partial:
            # The first bytes of a command restart the idle timeout.  Otherwise a command that arrives in
            # pieces could be cut off if it began shortly before the timeout.  Before the first command, the
            # timeout counts from connecting, as the platform requires.
            self.active_at = now
        commands, exc = self.parser.feed(data, front.bounds.max_pipeline)
        discarded = self.parser.take_discarded()
        if discarded is not None:
            self._start_command(now)
            front.refuse_discarded(self, discarded)
        for words in commands:
            self._start_command(now)
            front.process_command(self, words)
            self.release_grant()
        if exc is not None:
            front.invalid_input_count += 1
            self.queue_answer(codec.error(f"ERR Protocol error: {exc}"))
            self.release_grant()
            self.is_ending = True
            front.idle_clients.pop(self, None)
        elif not self.has_sent_command:
            front.silent_clients[self] = None
        self._pace_reading()
        self.flush()

    def _start_command(self, now: float) -> None:
        front = self.front
        self.active_at = now
        if not self.has_sent_command:
            self.has_sent_command = True
            front.active_connection_count += 1
            front.silent_clients.pop(self, None)
        front.idle_clients.pop(self, None)

    def release_grant(self) -> int:
        """Release the room for the command that was arriving; return how much that was."""
        granted_bytes = self.granted_bytes
        if granted_bytes:
            self.front.admission.forget_grant(self)
            self.hold(-granted_bytes)
        return granted_bytes

    def _drop_input(self) -> None:
        """Forget the command that was arriving; no further input is accepted."""
        self.release_grant()
        self.front.admission.forget_input(self)
        self.parser = codec.CommandParser()
        self.update_input()

    def _pace_reading(self) -> None:
        """Stop reading while commands remain to be processed, or while there is no room for the next one."""
        may_read_on = self.is_ending or self.front.admission.may_read_on(self)
        self.update_input()
        if self.transport.is_closing():
            return
        if self.is_ending:
            return
        if self.parser.has_more:
            self.pause_reading()
            self._process_later()
        elif not may_read_on or not self._may_go_on():
            self.pause_reading()

    def update_input(self) -> None:
        """Account for the bytes in the parser; room for the whole command includes them."""
        input_bytes = 0 if self.granted_bytes else self.parser.buffered_bytes
        if input_bytes != self.input_bytes:
            delta_bytes, self.input_bytes = input_bytes - self.input_bytes, input_bytes
            self.hold(delta_bytes)

    def _may_go_on(self) -> bool:
        """Return whether further commands may be processed, buffered ones or such as the kernel holds."""
        is_short = self.front.admission.account.is_short()
        max_immediate_bytes = MAX_SHORT_IMMEDIATE_BYTES if is_short else MAX_IMMEDIATE_BYTES
        return self.immediate_bytes < max_immediate_bytes and not self.front.admission.must_wait(self)

    def _process_later(self) -> None:
        if self._may_go_on() and not self.is_processing_later:
            self.is_processing_later = True
            asyncio.get_running_loop().call_soon(self._process_more)

    def _process_more(self) -> None:
        self.is_processing_later = False
        if self.is_ending or self.transport.is_closing():
            return
        self._process(b"")
        self.resume_reading()

    def queue_answer(self, data: bytes) -> None:
        """Queue an answer that is known at once.

        A connection is read on behind its open requests, since the end of the connection comes last: with
        unread input in the kernel, the client's disconnect would go unnoticed.  So that the answers to that
        input take little memory, those that are known at once share entries.
        """
        self.immediate_bytes += len(data)
        last = self.queue[-1] if self.queue else None
        if last is not None and last.is_immediate and last.data and len(last.data) < MAX_JOINED_BYTES:
            last.data += data
        else:
            last = PendingAnswer(data)
            self.queue.append(last)
        last.hold(self, ANSWER_BYTES + len(last.data or b""))

    def answer_buffered(self) -> None:
        """Process all commands that are buffered."""
        while self.parser.has_more and not self.is_ending:
            self._process(b"")

    def pause_reading(self) -> None:
        """Leave further input in the kernel."""
        self.transport.pause_reading()
        if self.is_reading:
            self.is_reading = False
            if self.backlog_since is None:
                self.backlog_since = self.front.clock()

    def resume_reading(self) -> None:
        """Resume reading, unless there is a reason not to; commands that are buffered come first."""
        if self.is_reading or self.transport.is_closing():
            return
        if self.parser.has_more and not self.is_ending:
            self._process_later()
        elif self.blocked_since is None and not self.waiting.input_bytes and self._may_go_on():
            self.is_reading = True
            if not self.parser.is_partial or self.has_arrived():
                self.active_at = self.front.clock()  # until now, this side kept the client from going on
            self.transport.resume_reading()

    def hold(self, delta_bytes: int) -> None:
        """Change how much memory is held for this connection."""
        self.held_bytes += delta_bytes
        admission = self.front.admission
        admission.account.change(delta_bytes)
        if delta_bytes < 0:
            admission.on_release()

    def _poll_events(self) -> int:
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return sum(event for _, event in poll.poll(0))

    def unread_input_bytes(self) -> int:
        """Return how much input the kernel holds; 0 if it does not tell."""
        descriptor = self.transport.get_extra_info("socket").fileno()
        try:
            size = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(struct.calcsize("i")))
        except OSError:
            return 0
        return int(struct.unpack("i", size)[0])

    def has_arrived(self) -> bool:
        """Return whether the kernel holds the rest of the command that is arriving."""
        return self.unread_input_bytes() >= self.parser.missing_bytes

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds unread input and the peer has not closed."""
        return self._poll_events() == select.POLLIN

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed, even if that has not been read yet."""
        return bool(self._poll_events() & ~select.POLLIN)

    def is_connected(self) -> bool:
        """Ask the kernel whether the peer is still connected, regardless of unread input."""
        if self.transport.is_closing():
            return False
        if self.peer_has_closed():
            self.front.unread_disconnect_count += 1
            return False
        return True

    def turns_left(self) -> float:
        """Return how many times what waits for room is as much as what is open or answered."""
        waiting_count = len(self.waiting.requests)
        return waiting_count / max(1, len(self.queue) - waiting_count)

    def is_flushed(self) -> bool:
        """Return whether the kernel has taken everything that was written."""
        return not self.transport.get_write_buffer_size()

    def eof_received(self) -> bool:
        """Handle that the client has disconnected."""
        # The client has disconnected.  Its requests are cancelled now: the connection itself stays open until
        # all that was written has been sent, which can take long.
        self.front._on_client_left(self)
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Release what is held for the connection."""
        self.is_ending = True
        self._set_unread(0)
        self.front._on_lost(self)

    def pause_writing(self) -> None:
        """Handle that the kernel did not take all that was written."""
        self.blocked_since = self.front.clock()
        self._update_unread()
        self.pause_reading()
        if self.front.unread_bytes > self.front.bounds.max_unread_bytes:
            self.front._limit_unread()

    def resume_writing(self) -> None:
        """Handle that the kernel has taken all that was written."""
        self.blocked_since = None
        self._update_unread()
        self.flush()
        self.resume_reading()

    def _update_unread(self) -> None:
        self._set_unread(self.transport.get_write_buffer_size())

    def _set_unread(self, unread_bytes: int) -> None:
        if unread_bytes != self.unread_bytes:
            delta_bytes, self.unread_bytes = unread_bytes - self.unread_bytes, unread_bytes
            self.front.unread_bytes += delta_bytes
            self.hold(delta_bytes)

    def flush(self) -> None:
        """Write the completed answers at the head of the queue, as far as the kernel takes them."""
        queue, has_written = self.queue, False
        while queue and queue[0].data is not None and self.blocked_since is None:
            data = self._take_answers()
            has_written = True
            if not self.transport.is_closing():
                self.transport.write(data)
                self._update_unread()
        if has_written:
            self.active_at = self.front.clock()
            self.resume_reading()
        if not queue and not self.parser.has_more:
            if self.is_ending or (self.front.is_leaving and self.is_idle()):
                self.end()
            elif has_written:
                self.front._keep_idle(self)

    def _take_answers(self) -> bytes:
        """Remove completed answers from the head of the queue, and join them to a write of a limited size."""
        queue, size = self.queue, 0
        answers: list[bytes] = []
        while queue and (data := queue[0].data) is not None:
            if answers and size + len(data) > MAX_WRITE_BYTES:
                break
            pending = queue.popleft()
            pending.hold(self, 0)
            if pending.is_immediate:
                self.immediate_bytes -= len(data)
            answers.append(data)
            size += len(data)
        return answers[0] if len(answers) == 1 else b"".join(answers)

    def ready_bytes(self) -> int:
        """Return the size of the answers that only wait for the client to read."""
        return self.unread_bytes + sum(len(p.data) for p in takewhile(_is_ready, self.queue) if p.data)

    def has_nothing_due(self) -> bool:
        """Return whether no answer is due and no command is buffered; the kernel may hold unread input."""
        if self.queue or self.is_ending or self.parser.has_more:
            return False
        return not self.waiting.input_bytes or not self.has_arrived()

    def is_waiting_for_client(self) -> bool:
        """Return whether it is the client's turn to send; what it has sent may be a part of a command."""
        if not self.has_nothing_due():
            return False
        return self.waiting.input_bytes > 0 or not self.has_unread_input()

    def is_idle(self) -> bool:
        """Return whether no answer is due and the peer has sent no part of a further command."""
        return self.has_nothing_due() and not self.parser.is_partial and not self.has_unread_input()

    def end(self) -> None:
        """Shut the write side once no answer is due, and linger until the peer closes too.

        Answers that wait for the client to read are sent first; `flush` ends the connection then.
        """
        self.is_ending = True
        if self.queue or self in self.front.lingering or self.transport.is_closing():
            return
        self.front._linger(self)
        self._drop_input()
        with suppress(OSError):
            self.transport.write_eof()  # after all pending output
        self.transport.resume_reading()  # to discard further input


def _is_ready(pending: PendingAnswer) -> bool:
    return pending.data is not None
