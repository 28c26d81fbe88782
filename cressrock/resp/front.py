"""Serves clients that speak RESP2.

A connection's commands are answered in order.  A connection costs one protocol object and a request one
callback; neither has a task.  A periodic sweep closes connections that send no commands, so that silent peers
cannot exhaust the descriptors.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from cressrock.dispatch.driver import INFINITE_MS, Driver
from cressrock.dispatch.ledger import Verdict
from cressrock.dispatch.transport import Denial
from cressrock.interface import Idempotency
from cressrock.resp import codec
from cressrock.resp.client_connection import ClientConnection, PendingAnswer
from cressrock.resp.eviction import choose_eviction, choose_unread
from cressrock.resp.lingering import LingerBounds, Lingering
from cressrock.resp.memory_account import ANSWER_BYTES, MemoryBounds
from cressrock.resp.memory_admission import MemoryAdmission
from cressrock.resp.request import READ, WRITE, CommandReader, InvalidCommandError, Request
from cressrock.resp.used_ids import UsedIds


@dataclass(frozen=True, slots=True)
class FrontBounds:
    """Limits on client connections; times in milliseconds."""

    max_connections: int
    max_active_connections: int  # connections that have sent a command; above it the longest idle is closed
    max_unread_bytes: int  # bytes of answers that clients have not read, over all connections
    linger_bounds: LingerBounds = LingerBounds(2000.0, 1 << 20, 64)  # after this side has ended
    max_pipeline: int = 64  # open requests per connection; more are refused
    idle_timeout_ms: float = 2100.0  # without an open request; the platform permits closing after 2 s
    write_timeout_ms: float = 5000.0  # until the client must have read pending answers
    stalled_reader_ms: float = 200.0  # without reading anything; all its answers count as unread then
    new_connection_ms: float = 250.0  # a connection younger than this is evicted only after all others
    sweep_interval_ms: float = 200.0
    memory: MemoryBounds = MemoryBounds.of_total(1 << 40)  # bytes held for clients; by default no bound


def _discard_line(text: str) -> None:
    """Log nothing."""


class Front:
    """All client connections of one dispatcher."""

    def __init__(
        self,
        reader: CommandReader,
        driver: Driver,
        bounds: FrontBounds,
        clock: Callable[[], float],
        log: Callable[[str], None] = _discard_line,
    ) -> None:
        """`clock` is the driver's, in milliseconds; `log` takes lines for the on-call staff."""
        self.reader = reader
        self.driver = driver
        self.bounds = bounds
        self.clock = clock
        self.admission = MemoryAdmission(
            bounds.memory, driver, reader.settings.classes, clock, submit=self._submit, log=log
        )
        self.clients: dict[ClientConnection, None] = {}
        self.lingering: Lingering[ClientConnection] = Lingering(bounds.linger_bounds)
        self.open_ids: set[str] = set()
        self.used_ids = UsedIds()
        self.active_connection_count = 0  # connections that have sent a command
        # Idle connections that have sent a command, longest idle first.
        self.idle_clients: dict[ClientConnection, None] = {}
        self.silent_clients: dict[ClientConnection, None] = {}  # have sent no command yet, oldest first
        self.is_accepting = True  # new connections can still be opened
        self.is_leaving = False
        self.answers_due_at = INFINITE_MS  # deadline of all answers
        self.submitted_count = 0
        self.invalid_input_count = 0
        self.refused_command_count = 0
        self.evicted_count = 0  # connections closed for a new one
        self.closed_idle_count = 0  # idle connections ended because of `max_active_connections`
        self.unread_bytes = 0  # written and not taken by the kernel, over all connections
        self.unread_closed_count = 0  # connections closed because their client does not read
        # Attempts not started because the kernel reported a disconnect that had not been read yet.
        self.unread_disconnect_count = 0

    def create_protocol(self) -> ClientConnection:
        """Return the protocol object for a new connection."""
        return ClientConnection(self)

    def sweep(self) -> None:
        """Close idle and lingering connections, and those whose client does not read its answers."""
        now = self.clock()
        self._limit_unread()
        self.admission.release_ended()
        self.used_ids.expire(now)
        for client in self.lingering.expired(now):
            # Output still being sent gets more time, but no longer than the write timeout.
            if client.is_flushed() or now - client.active_at > self.bounds.write_timeout_ms:
                self._close(client)
        for client in list(self.clients):
            if not client.is_reading and not client.transport.is_closing() and client.peer_has_closed():
                self._on_client_left(client)  # its end would be read only once reading resumes
                client.resume_reading()
            if client.blocked_since is not None:
                if now - client.blocked_since > self.bounds.write_timeout_ms:
                    self.unread_closed_count += 1
                    client.transport.abort()
            elif client.transport.is_closing():
                # A closed connection whose peer never reads the rest would otherwise stay forever.
                if now - client.active_at > self.bounds.write_timeout_ms:
                    client.transport.abort()
            elif self.answers_due_at < INFINITE_MS or now - client.active_at <= self.bounds.idle_timeout_ms:
                pass  # during shutdown clients cannot reconnect, so open connections stay usable
            elif client.is_waiting_for_client():
                if client.parser.is_partial:
                    client.transport.write(codec.error("ERR Protocol error: half a command"))
                client.end()

    def set_answer_deadline(self, answers_due_at: float, refuse_at: float) -> None:
        """Go on accepting requests, but limit their deadlines to `answers_due_at` on the driver's clock.

        From `refuse_at` on, what there is no memory for is refused instead of waiting.
        """
        self.answers_due_at = answers_due_at
        self.admission.refuse_all_at = refuse_at

    def close_idle(self) -> None:
        """End each connection once it is idle; commands received before that are still served."""
        self.is_leaving = True
        for client in list(self.clients):
            if client.is_idle():
                client.end()

    def refuse_further(self) -> None:
        """Refuse all further requests at once; called once all that were open have been answered.

        Commands that wait in a parser or in the kernel are read on and answered.  `close_idle` ends each
        connection once nothing of it is left.
        """
        self.admission.is_closed = True
        self.admission.refuse_all()
        for client in list(self.clients):
            client.resume_reading()

    def close_all(self) -> None:
        """Refuse all commands that were read, then end every connection, whatever its client still sends."""
        self.refuse_further()
        for client in list(self.clients):
            client.answer_buffered()
        self.close_idle()
        for client in list(self.clients):
            if not client.transport.is_closing():
                client.end()

    def all_closed(self) -> bool:
        """Return whether every connection has been closed by both sides."""
        return not self.clients and not len(self.lingering)

    def open_request_count(self) -> int:
        """Return the number of unanswered requests."""
        return len(self.open_ids)

    # --- connection events

    def _on_connected(self, client: ClientConnection) -> None:
        if len(self.clients) + len(self.lingering) >= self.bounds.max_connections and not self._make_room():
            client.is_ending = True
            client.transport.abort()
            return
        self.clients[client] = None
        self.silent_clients[client] = None

    def _make_room(self) -> bool:
        """Close a lingering connection, else an idle one; return whether one was closed."""
        if self._close_lingering(1):
            return True
        new_since, unflushed = self.clock() - self.bounds.new_connection_ms, []
        while True:
            # Only the first of each kind can be the choice.  Hundreds of connections may arrive in one
            # iteration of the loop; scanning all the others for each of them would delay due answers.
            candidates = [next(iter(group)) for group in (self.silent_clients, self.idle_clients) if group]
            candidate = choose_eviction(candidates, new_since)
            if candidate is None or (
                candidate.has_nothing_due() and candidate.is_flushed() and not candidate.has_unread_input()
            ):
                break
            # Hundreds of connections may be accepted before any of them is read.  One with unread input is
            # not idle; it is added again once its input has been read.
            (self.idle_clients if candidate.has_sent_command else self.silent_clients).pop(candidate)
            if not candidate.is_flushed():
                unflushed.append(candidate)
        self.idle_clients |= dict.fromkeys(unflushed)
        if candidate is None:
            return False
        self.evicted_count += 1
        # Its descriptor is needed now, so it does not linger.  It has no unread input, so it is not reset.
        self._close(candidate)
        return True

    def _close(self, client: ClientConnection) -> None:
        """Close a connection at once, without lingering."""
        self._drop(client)
        client.is_ending = True
        client.transport.abort()

    def _linger(self, client: ClientConnection) -> None:
        """Move a connection whose write side is shut from the served to the lingering connections."""
        self._drop(client)
        self._close_lingering(self.lingering.add(client, self.clock()))

    def _close_lingering(self, count: int) -> bool:
        """Close `count` lingering connections, shut longest ago first; return whether there were enough."""
        for client in self.lingering:
            if count and client.is_flushed():
                self._close(client)
                count -= 1
        return not count

    def _on_discarded(self, client: ClientConnection, size: int) -> None:
        if client in self.lingering and self.lingering.record_discarded(client, size):
            self._close(client)

    def _keep_idle(self, client: ClientConnection) -> None:
        """Keep an idle connection, and close the longest idle one if there are too many.

        Otherwise clients that send one request and keep their connection would use up the limit on
        connections, and other clients could not connect although the dispatcher has no load.
        """
        self.idle_clients[client] = None
        if self.active_connection_count > self.bounds.max_active_connections and self.is_accepting:
            # The kernel may hold the next command of a connection that looks idle here.
            for other in self.idle_clients:
                if other.is_idle():
                    self.closed_idle_count += 1
                    other.end()
                    break

    def _drop(self, client: ClientConnection) -> None:
        self.lingering.remove(client)
        self.silent_clients.pop(client, None)
        if self.clients.pop(client, self) is None:
            self.idle_clients.pop(client, None)
            self.active_connection_count -= client.has_sent_command

    def _limit_unread(self) -> None:
        """Close connections until the total of unread answers is within its limit."""
        stalled_since = self.clock() - self.bounds.stalled_reader_ms
        unread_bytes = {}
        for client in (*self.clients, *self.lingering):
            if client.blocked_since is not None:
                is_stalled = client.blocked_since <= stalled_since
                unread_bytes[client] = client.ready_bytes() if is_stalled else client.unread_bytes
        for client in choose_unread(unread_bytes, self.bounds.max_unread_bytes):
            self.unread_closed_count += 1
            client.transport.abort()

    def _on_lost(self, client: ClientConnection) -> None:
        self._drop(client)
        self._on_client_left(client)

    def _on_client_left(self, client: ClientConnection) -> None:
        """Handle a client's disconnect: cancel its open requests."""
        client.is_ending = True
        self.admission.forget(client)
        for pending in client.queue:
            name = pending.name
            if name and self.driver.may_have_run(name):
                self._record_used(pending)
            self._forget(pending)
            if name:
                self.driver.client_left(name)
        client.queue.clear()
        client.immediate_bytes = 0

    # --- commands

    def process_command(self, client: ClientConnection, words: list[bytes]) -> None:
        """Answer a command, or pass its request on."""
        verb = words[0]
        if verb == READ or verb == WRITE:
            self._process_request(client, words)
        elif verb == b"PING" and len(words) == 1:
            client.queue_answer(codec.status("PONG"))
        elif verb in (b"CLIENT", b"SELECT"):
            client.queue_answer(codec.status("OK"))
        else:
            self._answer_error(client, "unknown command")

    def _answer_error(self, client: ClientConnection, text: str) -> None:
        self.refused_command_count += 1
        client.queue_answer(codec.error(f"ERR {text}"))

    def _read_request(self, client: ClientConnection, words: list[bytes]) -> Request | None:
        """Return a command's request, or answer with an error and return None."""
        try:
            request = self.reader.read(words)
        except InvalidCommandError as exc:
            self._answer_error(client, str(exc))
            return None
        if request.name in self.open_ids:
            # A storage server would take it for a duplicate of the open request.
            self._answer_error(client, "the id is open already")
            return None
        if self.used_ids.is_used(request.name, self.clock()):
            self._answer_error(client, "the id was used already")
            return None
        return request

    def _process_request(self, client: ClientConnection, words: list[bytes]) -> None:
        request = self._read_request(client, words)
        if request is None:
            return
        if self.is_pipeline_full(client):
            denial = self.driver.deny_for_lack_of_room(request)
            client.queue_answer(_encode_denial(denial))
            return
        pending = PendingAnswer()
        pending.words = request.words
        pending.request_class = request.request_class
        pending.shard = request.shard
        pending.received_at = client.received_at
        pending.deadline = min(client.received_at + request.patience_ms, self.answers_due_at)
        client.queue.append(pending)
        self.open_ids.add(request.name)
        self.admission.accept(client, pending, request)

    def is_pipeline_full(self, client: ClientConnection) -> bool:
        """Return whether so many answers of a connection are due that its further requests are refused."""
        return len(client.queue) >= self.bounds.max_pipeline

    def refuse_discarded(self, client: ClientConnection, words: list[bytes]) -> None:
        """Refuse the request of a command whose value was discarded."""
        request = self._read_request(client, [*words, b""])
        if request is not None:
            self.admission.counts.refused += 1
            denial = self.driver.deny_for_lack_of_room(request)
            client.queue_answer(_encode_denial(denial))

    def _submit(self, client: ClientConnection, pending: PendingAnswer, request: Request) -> None:
        """Pass an admitted request to the driver."""
        self.submitted_count += 1
        pending.name = f"{self.submitted_count:x}"
        denied = self.driver.submit(
            pending.name,
            pending.name,
            request,
            min(pending.deadline, self.answers_due_at),
            partial(self._answer, client, pending),
            since=pending.received_at,
            present=client.is_connected,
        )
        if denied is not None:
            self.finish(client, pending, denied)

    def _answer(self, client: ClientConnection, pending: PendingAnswer, result: Any) -> None:
        self.finish(client, pending, result)
        client.flush()
        self.admission.check_bound()

    def finish(self, client: ClientConnection, pending: PendingAnswer, result: Any) -> None:
        """Set the answer to a request; the caller flushes the connection."""
        is_denied = isinstance(result, Denial)
        if not is_denied or result.verdict is not Verdict.REJECTED:
            self._record_used(pending)
        self.admission.record_answer(pending, None if is_denied else result)
        self._forget(pending)
        pending.data = _encode_denial(result) if is_denied else codec.bulk(result)
        pending.hold(client, ANSWER_BYTES + len(pending.data))

    def _forget(self, pending: PendingAnswer) -> None:
        self.open_ids.discard(pending.request_id())
        pending.name, pending.words = "", ()

    def _record_used(self, pending: PendingAnswer) -> None:
        """Remember the id of a request that may have run, unless a second run is harmless."""
        request_class = self.reader.settings.classes[pending.request_class]
        request_id = pending.request_id()
        if request_id and request_class.idempotency is not Idempotency.ALWAYS:
            self.used_ids.record(request_id, pending.deadline)


def _encode_denial(denied: Denial) -> bytes:
    """Encode a refusal or a failure; the retry delay is rounded up to whole milliseconds."""
    if denied.verdict is not Verdict.REJECTED:
        return codec.error(f"ERR failed {denied.reason.value}")
    after = -int(-denied.retry_after_ms // 1)
    return codec.error(f"BUSY {after}" if after > 0 else "BUSY")
