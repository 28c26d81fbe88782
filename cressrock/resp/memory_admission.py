"""Admits clients' requests to the driver as far as the process has memory for them and for their answers.

A request that there is no room for waits in its connection's queue, and the connection is not read on where
its next command has a long value.  Connections take turns as memory is released.  A request whose time is
nearly over is refused instead, as is further input of a connection that has waited for half of the shortest
deadline.  If those that wait could not be served in time, open requests that are stuck at a server are
rejected where that is allowed, so that the answers behind them can leave.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cressrock.dispatch.driver import INFINITE_MS, Driver
from cressrock.interface import RequestClass
from cressrock.resp.memory_account import (
    REQUEST_BYTES,
    WAITING_REQUEST_BYTES,
    AnswerSizes,
    MemoryAccount,
    MemoryBounds,
    ServiceRate,
)
from cressrock.resp.receive_buffer import RECEIVE_BYTES
from cressrock.resp.request import InvalidCommandError, Request
from cressrock.resp.stuck_requests import ANY_SHARD, CHECK_INTERVAL_MS, StuckRequests

if TYPE_CHECKING:
    from cressrock.resp.client_connection import ClientConnection, PendingAnswer

MAX_REFUSAL_LEAD_MS = 250.0  # a waiting request is refused this long before its deadline
MIN_REFUSAL_LEAD_MS = 2 * CHECK_INTERVAL_MS  # the same, so that its refusal is in time
REFUSAL_LEAD_FRACTION = 0.25  # of the time that its client waits, between the two
MAX_PAUSE_FRACTION = 0.5  # of the time that a client waits: how long its input is not read
LONG_PAUSE_FRACTION = 0.125  # the same, after which requests that are stuck at servers are rejected
STALLED_INPUT_MS = 200.0  # without any byte of a command that has room, while others wait for room
LOG_PAUSE_MS = 1000.0  # without anything waiting, before the next shortage is logged
SMALL_INPUT_BYTES = 16384  # of a connection's next command, read without asking for room
SHORT_READ_BYTES = 4096  # of a connection at once while memory is short


@dataclass(slots=True)
class AdmissionCounts:
    """What was done for lack of memory, since the start of the process."""

    delayed: int = 0  # requests that waited
    paused: int = 0  # connections not read on
    refused: int = 0  # requests never admitted
    shed: int = 0  # open requests rejected
    revoked: int = 0  # commands that did not arrive, and whose room was given to others
    limited: int = 0  # times when answers were larger than expected, and most were not read on


class WaitingRequests:
    """What one connection waits for: requests that are not admitted yet, then its next command's value."""

    __slots__ = ("requests", "input_bytes", "input_since", "input_patience_ms", "input_shard")

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self.requests: deque[PendingAnswer] = deque()
        self.input_bytes = 0  # of a command whose value is not read on; 0 if none
        self.input_since = 0.0
        self.input_patience_ms = 0.0
        self.input_shard = ANY_SHARD

    def is_empty(self) -> bool:
        """Return whether nothing waits."""
        return not self.requests and not self.input_bytes


class MemoryAdmission:
    """The requests of all connections that wait for memory, and those that are open."""

    def __init__(
        self,
        bounds: MemoryBounds,
        driver: Driver,
        classes: Sequence[RequestClass],
        clock: Callable[[], float],
        *,
        submit: Callable[[ClientConnection, PendingAnswer, Request], None],
        log: Callable[[str], None],
    ) -> None:
        """`submit` passes an admitted request to the driver; `log` takes a line for the on-call staff.

        `limit_reading`, which the owner may set, gets the names of the requests whose answers may be read
        while more is held than the bound, and None once all may be read again.
        """
        self.limit_reading: Callable[[frozenset[str] | None], None] = lambda _: None
        self.account = MemoryAccount(bounds)
        self.driver = driver
        self.clock = clock
        self.submit = submit
        self.log = log
        self.answer_sizes = AnswerSizes(len(classes))
        self._write_classes = [index for index, cls in enumerate(classes) if cls.is_write]
        self.rate = ServiceRate()
        self.counts = AdmissionCounts()
        self.waiting_count = 0
        self.refuse_all_at = INFINITE_MS  # set while the process ends
        self.is_refusing = False  # nothing waits any more: what there is no room for is refused
        self.is_closed = False  # all requests are refused
        self._waiting: dict[ClientConnection, None] = {}  # whose turn is next comes first
        self._open: dict[PendingAnswer, ClientConnection] = {}  # admitted and unanswered, oldest first
        self._granted: dict[ClientConnection, None] = {}  # with room for the command that is arriving
        self._unfinished: dict[str, int] = {}  # bytes of values that only an attempt has, by request
        self._stuck = StuckRequests()
        self._is_behind = False  # what waits can hardly be served in time
        self._is_limited = False  # answers are read for some requests only
        self._is_turn_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._checked_at = 0.0
        self._short_at = -INFINITE_MS  # when something last had to wait
        self._shed_at = -INFINITE_MS  # when open requests were last rejected
        self._refused_at = -INFINITE_MS  # when input that had waited was last refused

    # --- requests

    def accept(self, client: ClientConnection, pending: PendingAnswer, request: Request) -> None:
        """Admit a request whose command has arrived, let it wait, or refuse it."""
        granted_bytes = client.release_grant()
        if self.is_closed:
            self.refuse(client, pending)
            return
        is_oldest = client.queue[0] is pending
        if granted_bytes or (
            client.waiting.is_empty()
            and self.account.has_room(self._wanted_bytes(pending), client.held_bytes, is_oldest=is_oldest)
        ):
            self._admit(client, pending, request)
            return
        waiting_bytes = WAITING_REQUEST_BYTES + pending.value_bytes()
        if self.is_refusing or self._is_due(pending) or not self.account.may_wait(waiting_bytes):
            self.refuse(client, pending)
            return
        client.waiting.requests.append(pending)
        self.account.change_waiting(waiting_bytes)
        self.waiting_count += 1
        self.counts.delayed += 1
        self._wait(client)

    def refuse(self, client: ClientConnection, pending: PendingAnswer) -> None:
        """Refuse a request that was never admitted."""
        self.counts.refused += 1
        denial = self.driver.deny_for_lack_of_room(client.front.reader.read(list(pending.words)))
        client.front.finish(client, pending, denial)

    def record_answer(self, pending: PendingAnswer, value: bytes | None) -> None:
        """Record that an admitted request has its final answer; `value` if it is served."""
        if self._open.pop(pending, None) is None:
            return
        if value is None:
            self._hold_until_ended(pending)
        else:
            now = self.clock()
            self.rate.record_answer(now - pending.admitted_at)
            self._stuck.record_served(pending.shard, pending.admitted_at, now)
            self.answer_sizes.record(pending.request_class, len(value))

    def forget(self, client: ClientConnection) -> None:
        """Release what is held for a connection whose client has left, but for what its transport holds."""
        for pending in list(client.waiting.requests):
            self._remove_waiting(client, pending)
        self.forget_input(client)
        for pending in client.queue:
            if self._open.pop(pending, None) is not None:
                self._hold_until_ended(pending)
        self.forget_grant(client)
        client.input_bytes = 0
        client.hold(client.unread_bytes - client.held_bytes)

    def forget_input(self, client: ClientConnection) -> None:
        """Let a connection wait for no more input; its requests go on waiting."""
        client.waiting.input_bytes = 0
        if client.waiting.is_empty():
            self._waiting.pop(client, None)

    def _hold_until_ended(self, pending: PendingAnswer) -> None:
        """Hold the value of a request that is over for its client as long as an attempt has it."""
        value_bytes = pending.value_bytes()
        if value_bytes and self.driver.has_attempt_in_flight(pending.name):
            self._unfinished[pending.name] = value_bytes
            self.account.change(value_bytes)

    def release_ended(self) -> None:
        """Release the values of requests whose attempts have ended since."""
        for name in [name for name in self._unfinished if not self.driver.has_attempt_in_flight(name)]:
            self.account.change(-self._unfinished.pop(name))
            self.on_release()

    def _wanted_bytes(self, pending: PendingAnswer) -> int:
        room_for_answer = self.answer_sizes.expected_bytes(pending.request_class)
        return REQUEST_BYTES + pending.value_bytes() + room_for_answer

    def _admit(self, client: ClientConnection, pending: PendingAnswer, request: Request) -> None:
        pending.hold(client, self._wanted_bytes(pending))
        pending.admitted_at = self.clock()
        self._stuck.record_admission(pending.shard, pending.admitted_at)
        self._open[pending] = client
        self.submit(client, pending, request)

    def _remove_waiting(self, client: ClientConnection, pending: PendingAnswer) -> None:
        client.waiting.requests.remove(pending)
        self.account.change_waiting(-WAITING_REQUEST_BYTES - pending.value_bytes())
        self.waiting_count -= 1
        if not client.waiting.requests:
            client.resume_reading()

    # --- input

    def must_wait(self, client: ClientConnection) -> bool:
        """Return whether a connection is to wait for its requests before it sends more.

        Otherwise the commands of a few would fill the room for commands that wait, and those of others, and
        their own further ones, would be refused at once.
        """
        if not client.waiting.requests or self.is_refusing:
            return False
        return self.account.waiting_bytes > self.account.bounds.max_waiting_bytes / 2

    def may_read_on(self, client: ClientConnection) -> bool:
        """Return whether the rest of a connection's next command may be read.

        If not, the connection waits for room, or the command's value is discarded and its request refused.
        """
        parser = client.parser
        needed_bytes = parser.needed_bytes
        if needed_bytes <= SMALL_INPUT_BYTES or client.granted_bytes or not parser.buffered_bytes:
            return True
        if client.front.is_pipeline_full(client):
            parser.discard_value()  # the request would be refused; its value needs no room
            return True
        wanted_bytes = self._wanted_for_input(needed_bytes)
        if client.waiting.is_empty() and self._has_room_for_input(client, wanted_bytes):
            self._grant(client, wanted_bytes)
            return True
        if self.is_refusing or client.is_refusing_input:
            client.parser.discard_value()
            return True
        if not client.waiting.input_bytes:
            client.waiting.input_bytes, client.waiting.input_since = needed_bytes, self.clock()
            self._read_input_header(client)
            self.counts.paused += 1
        self._wait(client)
        return False

    def _read_input_header(self, client: ClientConnection) -> None:
        """Note for how long the client waits for the command that is arriving, and where it goes."""
        waiting = client.waiting
        try:
            request = client.front.reader.read([*client.parser.words_before_value, b""])
        except InvalidCommandError:
            waiting.input_patience_ms, waiting.input_shard = 0.0, ANY_SHARD
        else:
            waiting.input_patience_ms, waiting.input_shard = request.patience_ms, request.shard

    def _wanted_for_input(self, needed_bytes: int) -> int:
        expected_bytes = max(map(self.answer_sizes.expected_bytes, self._write_classes), default=0)
        return REQUEST_BYTES + needed_bytes + expected_bytes

    def _has_room_for_input(self, client: ClientConnection, wanted_bytes: int) -> bool:
        if not client.has_arrived():
            return self.account.has_room_for_arriving(wanted_bytes, client.held_bytes)
        return self.account.has_room(wanted_bytes, client.held_bytes, is_oldest=not client.queue)

    def _grant(self, client: ClientConnection, granted_bytes: int) -> None:
        client.granted_bytes = granted_bytes
        client.read_at = self.clock()
        self._granted[client] = None
        self.account.arriving_bytes += granted_bytes
        client.hold(granted_bytes)

    def forget_grant(self, client: ClientConnection) -> None:
        """Record that a connection has no room for a command that is arriving any more."""
        self.account.arriving_bytes -= client.granted_bytes
        client.granted_bytes = 0
        self._granted.pop(client, None)

    def _revoke_stalled(self, now: float) -> None:
        """Give the room of commands that do not arrive to others; each is refused should it arrive yet.

        A client that stops in the middle of a large command would keep others from their room for as long as
        its connection lasts.
        """
        for client in list(self._granted):
            if now - client.read_at >= STALLED_INPUT_MS and not client.unread_input_bytes():
                self.counts.revoked += 1
                client.release_grant()
                client.parser.discard_value()
                client.update_input()

    # --- turns

    def on_release(self) -> None:
        """Give released memory to those that wait, later in this iteration of the event loop."""
        if (self._waiting or self._is_limited) and not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turns)

    def _wait(self, client: ClientConnection) -> None:
        if not self._waiting and self.clock() - self._short_at > LOG_PAUSE_MS:
            self.log(
                f"memory is short: {self.account.held_bytes} of {self.account.bounds.max_bytes} bytes held; "
                "requests wait, connections with long commands are not read on"
            )
        self._start_checks()
        self._short_at = self.clock()
        self._waiting.setdefault(client)

    def _take_turns(self) -> None:
        """Admit one request of each connection in turn, until there is no room for any."""
        self._is_turn_scheduled = False
        if self._is_limited:
            self._limit_answers()
        has_admitted = True
        while has_admitted and self._waiting:
            has_admitted = False
            for client in list(self._waiting):
                if client in self._waiting and self._take_turn(client):
                    has_admitted = True
                    del self._waiting[client]
                    if not client.waiting.is_empty():
                        self._waiting[client] = None

    def _take_turn(self, client: ClientConnection) -> bool:
        """Admit a connection's next request or input; return whether there was room."""
        waiting = client.waiting
        if waiting.requests:
            pending = waiting.requests[0]
            if self._is_stuck(pending.shard):
                self._remove_waiting(client, pending)
                self.refuse(client, pending)
                client.flush()
                return True
            wanted_bytes, is_oldest = self._wanted_bytes(pending), client.queue[0] is pending
            if not self.account.has_room(wanted_bytes, client.held_bytes, is_oldest=is_oldest):
                return False
            self._remove_waiting(client, pending)
            self._admit(client, pending, client.front.reader.read(list(pending.words)))
            return True
        if self._is_stuck(waiting.input_shard):
            self._discard_input(client)
            return True
        wanted_bytes = self._wanted_for_input(waiting.input_bytes)
        if not self._has_room_for_input(client, wanted_bytes):
            return False
        waiting.input_bytes = 0
        self._grant(client, wanted_bytes)
        client.resume_reading()
        return True

    # --- answers larger than expected

    def change_held(self, delta_bytes: int) -> None:
        """Account for what is held of requests and answers on connections to servers."""
        self.account.change(delta_bytes)
        if delta_bytes < 0:
            self.on_release()
        else:
            self.check_bound()

    def check_bound(self) -> None:
        """Limit the reading of answers if more is held than the bound: they are larger than expected."""
        if self.account.is_over() and not self._is_limited:
            self._is_limited = True
            self.counts.limited += 1
            self.log("memory is over its bound: answers are read for the oldest request of each client only")
            self._limit_answers()
            self._start_checks()

    def _limit_answers(self) -> None:
        """Read only what can leave at once, until no more is held than the bound."""
        self._is_limited = self.account.is_over()
        if not self._is_limited:
            self.limit_reading(None)
            return
        names = [
            client.queue[0].name
            for client in set(self._open.values())
            if client.queue and client.blocked_since is None
        ]
        self.limit_reading(frozenset(names))

    # --- time limits

    def _start_checks(self) -> None:
        if self._timer is None:
            self._checked_at = self.clock()
            self.rate.begin_interval()
            self._is_behind = False  # the last shortage says nothing of this one
            self._schedule_check()

    def _schedule_check(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_MS / 1000, self._check)

    def _check(self) -> None:
        self._timer = None
        now = self.clock()
        interval_ms = now - self._checked_at
        self.rate.end_interval(interval_ms)
        self._stuck.record_check(interval_ms, now)
        self._checked_at = now
        self.release_ended()
        if not self._stuck.is_held_up(interval_ms):
            self._revoke_stalled(now)
        self._is_behind = self._is_waiting_too_long(now)
        if self._is_behind or self._is_limited:
            self._shed_stuck(now, only_oldest=not self._is_behind)
        for client in list(self._waiting):
            self._refuse_due(client)
            if self._input_wait(client, now) > MAX_PAUSE_FRACTION:
                self.refuse_input(client)
            if client.waiting.is_empty():
                self._waiting.pop(client, None)
        self.on_release()
        if self._waiting or self._is_limited:
            self._schedule_check()

    def _is_due(self, pending: PendingAnswer) -> bool:
        return self.clock() >= self._refused_at_ms(pending)

    def _refused_at_ms(self, pending: PendingAnswer) -> float:
        """Return when a request is refused if there is no room for it until then."""
        lead_ms = REFUSAL_LEAD_FRACTION * (pending.deadline - pending.received_at)
        lead_ms = min(max(lead_ms, MIN_REFUSAL_LEAD_MS), MAX_REFUSAL_LEAD_MS)
        return min(pending.deadline - lead_ms, self.refuse_all_at)

    def _refuse_due(self, client: ClientConnection) -> None:
        due = [pending for pending in client.waiting.requests if self.is_refusing or self._is_due(pending)]
        for pending in due:
            self._remove_waiting(client, pending)
            self.refuse(client, pending)
        if due:
            client.flush()

    def refuse_input(self, client: ClientConnection) -> None:
        """Read a connection's input on and refuse what there is no room for, until all has been read."""
        now = self.clock()
        if now - self._refused_at > LOG_PAUSE_MS:
            self.log("memory is short: connections that waited are read on, what has no room is refused")
        self._refused_at = now
        client.is_refusing_input = True
        self._discard_input(client)

    def _discard_input(self, client: ClientConnection) -> None:
        """Read the command that is arriving without its value, and refuse it."""
        client.waiting.input_bytes = 0
        client.parser.discard_value()
        client.resume_reading()

    def _is_stuck(self, shard: int) -> bool:
        """Return whether a request to a shard would be in the way of others that can hardly be in time."""
        return self._is_behind and self._stuck.is_shard_stuck(shard, self.clock())

    def _input_wait(self, client: ClientConnection, now: float) -> float:
        """Return which part of its client's time a connection's input has waited; 0 if it does not wait."""
        waiting = client.waiting
        if not waiting.input_bytes:
            return 0.0
        return (now - waiting.input_since) / max(1.0, waiting.input_patience_ms)

    def _is_waiting_too_long(self, now: float) -> bool:
        """Return whether what waits can hardly be served in time."""
        # How much more input the kernel holds is not known, so its time is compared with a fixed part.
        max_wait = LONG_PAUSE_FRACTION if self.refuse_all_at == INFINITE_MS else 0.0
        if any(self._input_wait(client, now) > max_wait for client in self._waiting):
            return True
        waiting = [client for client in self._waiting if client.waiting.requests]
        if not waiting:
            return False
        remaining_ms = min(self._refused_at_ms(client.waiting.requests[0]) for client in waiting) - now
        if self.rate.is_behind(self.waiting_count, remaining_ms):
            return True
        # Answers leave in order.  In the worst case, a stuck request is among those that a connection can
        # have open at once, again and again.
        turns = max(client.turns_left() for client in waiting)
        return turns * self.rate.stuck_after_ms() > remaining_ms

    def _shed_stuck(self, now: float, *, only_oldest: bool) -> None:
        """Reject open requests that are stuck.

        With `only_oldest`, only those that other answers of their connection wait behind.
        """
        stuck_after_ms, shed = self.rate.stuck_after_ms(), 0
        if not self._stuck.may_reject(now, stuck_after_ms):
            return
        latest_admission = self._stuck.latest_admission(now, stuck_after_ms)
        for pending, client in list(self._open.items()):
            if pending.admitted_at >= latest_admission:
                break
            is_oldest = client.queue[0] is pending
            if self.is_refusing and len(client.queue) == 1:
                continue  # while the process ends, a request that none waits behind gets all of its time
            is_stuck = self._stuck.is_stuck(
                pending.shard, pending.admitted_at, now, stuck_after_ms, is_oldest=is_oldest
            )
            if is_stuck and (is_oldest or not only_oldest) and self.driver.shed(pending.name):
                shed += 1
                self._stuck.record_rejection(pending.shard, now, stuck_after_ms)
        if shed:
            if now - self._shed_at > LOG_PAUSE_MS:
                self.log(f"memory is short: {shed} requests that wait for servers were rejected")
            self._shed_at = now
            self.counts.shed += shed

    def refuse_all(self) -> None:
        """Refuse all that waits now, and from now on all that there is no room for at once.

        While the process ends this is called again and again.  Requests that are stuck at a server are
        rejected meanwhile, where that is allowed and the answers of others wait behind them: those can be
        large, and their clients need time to read them.
        """
        self.is_refusing = True
        self._shed_stuck(self.clock(), only_oldest=True)
        for client in list(self._waiting):
            self._refuse_due(client)
            if client.waiting.input_bytes:
                self.refuse_input(client)
        self._waiting.clear()


def read_limit(client: ClientConnection) -> int:
    """Return how many bytes of a connection may be read at once."""
    if client.parser.is_discarding:
        return RECEIVE_BYTES
    if client.granted_bytes and client.parser.missing_bytes > 0:
        return min(client.parser.missing_bytes, RECEIVE_BYTES)
    # While memory is short, hundreds of connections would fill it with the beginnings of their commands.
    return SHORT_READ_BYTES if client.front.admission.account.is_short() else SMALL_INPUT_BYTES
