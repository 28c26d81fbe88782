"""Attempts on connections to storage servers over loopback sockets, with each race forced."""

import asyncio
import gc
import os
import resource
import select
import socket
import struct
import time
import weakref
from dataclasses import replace
from types import SimpleNamespace

import pytest

from cressrock.dispatch.driver import _Call
from cressrock.dispatch.ledger import Attempt, Ledger
from cressrock.interface import DeduplicationScope, Idempotency, Node, Outcome, RequestClass
from cressrock.lab.platform import answer
from cressrock.resp import codec
from cressrock.resp.connection_pool import RespTransport
from cressrock.resp.in_flight_attempt import InFlightAttempt
from cressrock.resp.reply_progress import ReplyProgress
from cressrock.resp.reuse_delay import MIN_DELAY_MS, ReuseDelay
from cressrock.resp.server_connection import ServerConnection
from tests.test_platform import BOUNDS, Call, async_test, pool_with_attempt

FAR_MS = 60000.0
OVERSIZED = b"x" * (32 << 20)  # more than the kernel buffers for a peer that does not read


class ManualServer:
    """A storage server that accepts, reads, writes and closes only when the test calls for it."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.ends = []

    def accept(self):
        """Accept the next connection; blocks unless one is established."""
        end, _ = self.listener.accept()
        end.settimeout(20)
        self.ends.append(end)
        return end

    async def accepted(self):
        self.listener.setblocking(False)
        end, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.listener.setblocking(True)
        end.settimeout(20)
        self.ends.append(end)
        return end

    def close(self):
        for end in (self.listener, *self.ends):
            end.close()


def reset(end):
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    end.close()


def read_to_end(end):
    """Read to the end of the connection; return the number of bytes."""
    count = 0
    try:
        while data := end.recv(1 << 20):
            count += len(data)
    except ConnectionError:
        pass
    return count


async def read(end, count):
    """Read `count` bytes without blocking the event loop."""
    data = b""
    while len(data) < count:
        if not select.select([end], [], [], 0)[0]:
            await asyncio.sleep(0)
            continue
        data += end.recv(count - len(data))
    return data


class PoolHarness:
    """A pool with one server, s0, and a clock that only `advance` moves."""

    def __init__(self, **bounds):
        self.now = [1000.0]
        self.peer = ManualServer()
        self.addresses = {"s0": self.peer.address}
        bounds = {"idle_close_ms": FAR_MS, "connect_timeout_ms": FAR_MS} | bounds
        self.pool = RespTransport(replace(BOUNDS, **bounds), lambda: self.now[0], self.addresses.get)

    def start(self, request=b"request", server="s0", **changes):
        call = Call()
        call.op = SimpleNamespace(command=lambda wait_ms: request)
        call.attempt = Attempt(0, Node(server, 0), self.now[0])
        call.deadline = self.now[0] + FAR_MS
        for name, value in changes.items():
            setattr(call, name, value)
        return call, self.pool.start(call)

    def advance(self, ms):
        self.now[0] += ms
        self.pool._on_timer()

    async def ended(self, call):
        while not call.endings:
            await asyncio.sleep(0)
        (ending,) = call.endings
        return ending

    async def written(self):
        """Return the connection that carries the attempt, once there is one."""
        while True:
            for connection in self.pool.open_connections:
                if connection.attempt is not None:
                    return connection
            await asyncio.sleep(0)

    async def served(self, value=b"one"):
        """Complete an attempt on a new connection, and return the server's end of it."""
        call, _ = self.start()
        end = await self.peer.accepted()
        await read(end, len(b"request"))
        end.sendall(answer(value))
        assert (await self.ended(call)).reply == value
        return end

    def close(self):
        for connection in list(self.pool.open_connections):
            self.pool.drop(connection)
        self.peer.close()


def with_pool(**bounds):
    def wrap(test):
        @async_test
        async def run():
            harness = PoolHarness(**bounds)
            try:
                await test(harness)
            finally:
                harness.close()

        def plain():
            run()

        plain.__name__ = test.__name__
        plain.__doc__ = test.__doc__
        return plain

    return wrap


def patch_connection_made(monkeypatch, hook):
    """Call `hook(connection)` when a connection is established, before its attempt is notified."""
    original = ServerConnection.connection_made

    def connection_made(self, transport):
        original(self, transport)
        hook(self)

    monkeypatch.setattr(ServerConnection, "connection_made", connection_made)


def block_until_readable(connection):
    """Block until the kernel has input for a connection, without running the event loop."""
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    assert poll.poll(20000)


# --- incompletely written requests


@with_pool()
async def test_an_eof_during_a_write_stops_the_rest_of_the_request(harness):
    """A server that shuts only its write side goes on reading, and would get the rest of the request."""
    call, _ = harness.start(OVERSIZED)
    end = await harness.peer.accepted()
    connection = await harness.written()
    assert connection.has_unsent
    end.shutdown(socket.SHUT_WR)
    assert (await harness.ended(call)).outcome is Outcome.NO_CONNECTION
    await asyncio.sleep(0)
    assert await asyncio.to_thread(read_to_end, end) < len(OVERSIZED)
    assert not harness.pool.open_connections


@with_pool()
async def test_a_reset_during_a_write_proves_that_the_request_never_ran(harness):
    call, _ = harness.start(OVERSIZED)
    end = await harness.peer.accepted()
    await harness.written()
    reset(end)
    assert (await harness.ended(call)).outcome is Outcome.NO_CONNECTION


@pytest.mark.parametrize(
    ("early", "outcome"),
    [(answer(b"of another"), Outcome.NO_CONNECTION), (codec.error("BUSY"), Outcome.FULL)],
)
def test_a_reply_before_the_last_byte_is_not_served_and_closes_the_connection(early, outcome):
    """Otherwise a duplicate of an earlier answer is served, or the rest precedes the next request."""

    @with_pool()
    async def test(harness):
        call, _ = harness.start(OVERSIZED)
        end = await harness.peer.accepted()
        await harness.written()
        end.sendall(early)
        ending = await harness.ended(call)
        assert ending.outcome is outcome and ending.reply is None
        assert not harness.pool.open_connections and not harness.pool.idle_connections.get("s0")

    test()


@with_pool()
async def test_a_request_never_ran_if_the_kernel_took_no_byte(harness):
    """The reset comes between the last check of the connection and the write."""
    end = await harness.served()
    harness.advance(FAR_MS / 10)
    connection = harness.pool._take_idle("s0")
    reset(end)
    block_until_readable(connection)
    call = Call()
    harness.pool._write(connection, InFlightAttempt(harness.pool, call))
    assert (await harness.ended(call)).outcome is Outcome.NO_CONNECTION


@with_pool()
async def test_a_request_written_after_an_unread_eof_may_have_run(harness):
    """The kernel took the request, and a server may go on reading after shutting its write side."""
    end = await harness.served()
    harness.advance(FAR_MS / 10)
    connection = harness.pool._take_idle("s0")
    end.shutdown(socket.SHUT_WR)
    block_until_readable(connection)
    call = Call()
    harness.pool._write(connection, InFlightAttempt(harness.pool, call))
    assert (await harness.ended(call)).outcome is Outcome.RESET


@with_pool()
async def test_an_idle_connection_closed_by_the_server_is_not_written_to(harness):
    """A server may close earlier than configured; a request written then would end as a reset."""
    end = await harness.served()
    harness.advance(FAR_MS / 10)
    (connection,) = harness.pool.open_connections
    end.close()
    block_until_readable(connection)
    call, _ = harness.start()  # the event loop has not read the end yet
    second = await harness.peer.accepted()
    assert await read(second, 7) == b"request"
    second.sendall(answer(b"two"))
    assert (await harness.ended(call)).reply == b"two"


@pytest.mark.parametrize("sent", [b"", answer(b"of nobody")])
def test_a_new_connection_with_unread_bytes_or_eof_is_not_written_to(monkeypatch, sent):
    """Otherwise the request counts as one that may have run, or the earlier bytes answer it."""

    @with_pool()
    async def test(harness):
        ends = []

        def hook(connection):
            ends.append(harness.peer.accept())
            ends[0].sendall(sent)
            ends[0].shutdown(socket.SHUT_WR)
            block_until_readable(connection)

        patch_connection_made(monkeypatch, hook)
        call, _ = harness.start()
        ending = await harness.ended(call)
        assert ending.outcome is Outcome.NO_CONNECTION and ending.reply is None
        await asyncio.sleep(0)
        assert read_to_end(ends[0]) == 0 and not harness.pool.open_connections

    test()


# --- send deadlines


KEYED = RequestClass(
    latency_objective_ms=500,
    deadline_ms=4000,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.SHARD,
    deduplication_window_ms=400,
)


def test_a_retry_must_be_sent_within_the_deduplication_window_of_the_first_attempt():
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=100)
    ledger.update_nodes([Node("a", 0), Node("b", 0)], 0, complete=True)
    for name, cls in (("k", KEYED), ("u", replace(KEYED, idempotency=Idempotency.ALWAYS))):
        ledger.accept(name, "x", cls, 4000, 0)
        assert ledger.leave_by(name, 0) == float("inf")
        ledger.send(name, "a", 10)
        ledger.record_outcome(name, 0, Outcome.FULL)  # never ran
        ledger.send(name, "a", 100)
        assert ledger.leave_by(name, 1) == float("inf")  # the first that may run
        ledger.record_outcome(name, 1, Outcome.TIMEOUT)
        ledger.send(name, "b", 300)
    call = _Call(SimpleNamespace(ledger=ledger), "k", None, ledger.entries["k"].attempts[2], 4000)
    assert call.leave_by == ledger.leave_by("k", 2) == 500
    assert ledger.leave_by("u", 2) == float("inf")
    assert ledger.may_leave("k", 2, 500) and not ledger.may_leave("k", 2, 501)


@with_pool()
async def test_a_retry_not_completely_written_within_its_window_is_stopped(harness):
    """Otherwise the rest arrives after the deduplication window, and the work takes effect twice."""
    call, _ = harness.start(OVERSIZED, leave_by=harness.now[0] + 300)
    end = await harness.peer.accepted()
    await harness.written()
    harness.advance(299)
    assert not call.endings
    harness.advance(1)
    assert (await harness.ended(call)).outcome is Outcome.ABANDONED
    await asyncio.sleep(0)
    assert await asyncio.to_thread(read_to_end, end) < len(OVERSIZED)


@with_pool()
async def test_a_retry_completely_written_within_its_window_is_waited_for(harness):
    for request in (b"request", OVERSIZED):
        call, _ = harness.start(request, leave_by=harness.now[0] + 300)
        end = await harness.peer.accepted()
        await asyncio.to_thread(receive_bytes, end, len(request))
        connection = await harness.written()
        while connection.has_unsent:
            await asyncio.sleep(0)
        harness.advance(1000)
        assert not call.endings
        end.sendall(answer(b"late"))
        assert (await harness.ended(call)).reply == b"late"
        harness.pool.close_idle("s0")


def receive_bytes(end, count):
    while count:
        count -= len(end.recv(min(count, 1 << 20)))


@with_pool()
async def test_a_retry_whose_window_ends_while_connecting_is_abandoned(harness):
    """The deduplication window may be shorter than the time it takes to connect."""
    call, _ = harness.start(leave_by=harness.now[0] + 50)
    harness.advance(50)  # the event loop has not run yet
    assert (await harness.ended(call)).outcome is Outcome.ABANDONED
    while harness.pool.connecting_count:
        await asyncio.sleep(0)
    assert not harness.pool.open_connections


# --- simultaneous events


@async_test
async def test_an_answer_in_the_kernel_is_read_before_the_deadline_is_checked():
    """The event loop handles sockets before timers, so no received answer is lost."""
    peer = ManualServer()
    clock = asyncio.get_running_loop().time
    bounds = replace(BOUNDS, idle_close_ms=FAR_MS)
    pool = RespTransport(bounds, lambda: clock() * 1000, lambda name: peer.address)
    call = Call()
    call.attempt = Attempt(0, Node("s0", 0), clock() * 1000)
    call.deadline = clock() * 1000 + 2000
    pool.start(call)
    end = await peer.accepted()
    await read(end, 10)
    end.sendall(answer(b"in time"))
    while clock() * 1000 <= call.deadline:
        time.sleep(0.01)  # noqa: ASYNC251
    while not call.endings:
        await asyncio.sleep(0)
    assert call.endings[0].outcome is Outcome.OK
    pool.close_idle("s0")
    peer.close()


def test_an_attempt_given_up_while_connecting_leaks_no_connection(monkeypatch):
    for order in ("stop", "deadline"):

        @with_pool()
        async def test(harness, order=order):
            sockets = []

            def hook(connection):
                sockets.append(connection.transport.get_extra_info("socket"))
                if order == "stop":
                    flight.stop()
                else:
                    harness.advance(FAR_MS)

            patch_connection_made(monkeypatch, hook)
            call, flight = harness.start()
            ending = await harness.ended(call)
            assert ending.outcome is (Outcome.ABANDONED if order == "stop" else Outcome.NO_CONNECTION)
            while harness.pool.connecting_count:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert (
                sockets[0].fileno() == -1
                and not harness.pool.open_connections
                and not harness.pool.idle_connections
            )
            assert read_to_end(harness.peer.accept()) == 0 and harness.pool.connecting_count == 0

        test()


@with_pool()
async def test_a_lack_of_descriptors_does_not_count_against_the_server(harness):
    """Otherwise a server that was never contacted is treated as unreachable."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = []
    resource.setrlimit(resource.RLIMIT_NOFILE, (len(os.listdir("/proc/self/fd")) + 20, hard))
    try:
        while True:
            try:
                descriptors.append(os.open(os.devnull, os.O_RDONLY))
            except OSError:
                break
        call, _ = harness.start()
        ending = await harness.ended(call)
    finally:
        for number in descriptors:
            os.close(number)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert ending.outcome is Outcome.ABANDONED


@with_pool()
async def test_an_invalid_address_ends_the_attempt(harness):
    harness.addresses["s0"] = ("x" * 70 + ".example", 1)
    call, _ = harness.start()
    assert (await harness.ended(call)).outcome is Outcome.NO_CONNECTION


# --- incomplete answers


@pytest.mark.parametrize("begin", [b"+", b"*3\r\n$900\r\n"])
def test_an_answer_in_occasional_bytes_is_given_up_before_the_deadline(begin):
    """Otherwise no time is left for the request's other attempts."""

    async def test():
        now = [1000.0]
        pool, connection, call = pool_with_attempt(now)
        connection.data_received(begin)
        while not call.endings and now[0] < call.deadline:
            now[0] += BOUNDS.stall_ms - 1
            pool._on_timer()
            if not call.endings:
                connection.data_received(b"x")
        (ending,) = call.endings
        assert ending.outcome is Outcome.ERROR and connection.transport.closed
        assert now[0] <= (1000 + call.deadline) / 2 + BOUNDS.stall_ms

    asyncio.run(test())


def test_a_long_answer_is_waited_for_while_its_rate_suffices():
    for per_piece, whole in ((4200, True), (3800, False)):  # 4000 bytes per stall time are just enough
        pace = ReplyProgress(0.0, 5000.0, 50.0)
        now, received, need = 0.0, 0, 400000
        while now < 5000 and received < need:
            received += per_piece
            pace.record(now, received, need)
            now += 49.9
            if now >= pace.next_check_at() and pace.is_broken(now):
                break
        assert (received >= need) is whole
        assert whole or now < 2600  # detected at the first check, after half of the time


def test_a_dropping_rate_is_detected_at_the_next_check():
    pace = ReplyProgress(0.0, 4000.0, 50.0)
    pace.record(0.0, 70, 100)
    now = 0.0
    while now < 4000 and not pace.is_broken(now):
        pace.record(now, 70, 100)  # never silent for the whole stall time, but no more bytes
        now += 49
    assert 3000 <= now < 3100


def test_an_answer_in_single_bytes_is_not_parsed_again_for_each(monkeypatch):
    async def test():
        read = []
        reply = codec.ReplyParser._reply
        monkeypatch.setattr(
            codec.ReplyParser, "_reply", lambda self, depth: read.append(0) or reply(self, depth)
        )
        _, connection, call = pool_with_attempt([1000.0])
        for byte in answer(b"v" * 1000):
            connection.data_received(bytes([byte]))
        assert call.endings[0].reply == b"v" * 1000 and len(read) < 100

    asyncio.run(test())


@with_pool(max_answer=100000)
async def test_excess_bytes_after_an_answer_are_not_kept(harness):
    call, _ = harness.start()
    end = await harness.peer.accepted()
    await read(end, 7)
    (connection,) = harness.pool.open_connections
    end.setblocking(False)
    try:
        end.send(answer(b"whole") + OVERSIZED)
    except BlockingIOError:
        pass
    assert (await harness.ended(call)).reply == b"whole"
    assert not harness.pool.open_connections and len(connection.parser._buffer) < 1 << 20


# --- limits


@with_pool()
async def test_finished_attempts_are_released_before_their_deadlines(harness):
    """Otherwise the timer would hold thousands of requests per second, with payloads, for seconds."""
    harness.pool.bounds = replace(harness.pool.bounds, max_connections=1)
    references = []
    for _ in range(500):
        call, flight = harness.start()
        references.append(weakref.ref(call))
        flight.stop()
        del call, flight
    while harness.pool.connecting_count:
        await asyncio.sleep(0)
    harness.pool._process_queue()
    gc.collect()
    assert not [ref for ref in references if ref() is not None]
    assert len(harness.pool._checks) <= 70 and harness.pool.active_count == 0


# --- delay before reuse


def has_no_input(end):
    """Return whether the kernel holds no input for this socket."""
    return not select.select([end], [], [], 0)[0]


async def run_loop(count=20):
    for _ in range(count):
        await asyncio.sleep(0)


@with_pool()
async def test_a_late_duplicate_of_an_answer_is_not_read_as_the_next_answer(harness):
    """Otherwise a client is served the value of another request."""
    first = await harness.served(b"of the first")
    harness.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # so that waiting is no slower than connecting
    call, _ = harness.start()
    await run_loop()
    first.sendall(answer(b"of the first"))  # within the delay, by the pool's clock
    second = await harness.peer.accepted()
    assert await read(second, 7) == b"request"
    second.sendall(answer(b"of the second"))
    assert (await harness.ended(call)).reply == b"of the second"
    assert (
        harness.pool.unrequested_input_count == 1
        and read_to_end(first) == 0
        and len(harness.pool.open_connections) == 1
    )


@with_pool()
async def test_reuse_is_not_waited_for_if_a_new_connection_is_faster(harness):
    """An attempt that waits here counts against its server's limit without reaching the server."""
    first = await harness.served()
    call, _ = harness.start()
    second = await harness.peer.accepted()
    assert await read(second, 7) == b"request" and has_no_input(first)
    second.sendall(answer(b"two"))
    assert (await harness.ended(call)).reply == b"two"
    harness.advance(MIN_DELAY_MS)
    harness.start()  # both may be reused, so no third is opened
    assert await read(second, 7) == b"request" and harness.pool.opened_count == 2


@with_pool()
async def test_a_connection_is_reused_as_soon_as_the_delay_is_over(harness):
    first = await harness.served()
    harness.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # so that waiting is no slower than connecting
    call, _ = harness.start()
    harness.advance(MIN_DELAY_MS - 0.1)
    await run_loop()
    assert has_no_input(first) and not harness.pool.connecting_count
    harness.advance(0.1)
    assert await read(first, 7) == b"request"
    first.sendall(answer(b"two"))
    assert (await harness.ended(call)).reply == b"two"
    harness.advance(MIN_DELAY_MS)
    call, _ = harness.start()
    assert await read(first, 7) == b"request"
    assert harness.pool.opened_count == 1 and harness.pool.reused_count == 2


@with_pool()
async def test_one_attempt_waits_for_reuse_and_the_next_opens_a_connection(harness):
    first = await harness.served()
    harness.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # so that waiting is no slower than connecting
    waiting_call, _ = harness.start()
    other, _ = harness.start()
    second = await harness.peer.accepted()
    assert await read(second, 7) == b"request" and has_no_input(first)
    harness.advance(MIN_DELAY_MS)
    assert await read(first, 7) == b"request"
    second.sendall(answer(b"2"))
    await harness.ended(other)
    harness.advance(1)
    first.sendall(answer(b"1"))
    await harness.ended(waiting_call)
    harness.advance(MIN_DELAY_MS - 1)  # the one used last may not be reused yet
    harness.start()
    assert await read(second, 7) == b"request" and has_no_input(first)
    harness.pool.close_idle("s0")


@with_pool()
async def test_unread_bytes_at_the_end_of_the_delay_prevent_reuse(harness):
    """When the delay is over, the bytes are in the kernel and the event loop has not read them."""
    first = await harness.served()
    call, _ = harness.start()
    (connection,) = harness.pool.open_connections
    first.sendall(answer(b"one"))
    block_until_readable(connection)
    harness.advance(MIN_DELAY_MS)  # before the event loop runs again
    second = await harness.peer.accepted()
    assert await read(second, 7) == b"request"
    second.sendall(answer(b"two"))
    assert (await harness.ended(call)).reply == b"two" and read_to_end(first) == 0


@with_pool()
async def test_late_bytes_raise_the_delay_and_a_long_delay_is_not_waited_for(harness):
    first = await harness.served()
    harness.advance(20)
    first.sendall(b"x")
    while harness.pool.open_connections:
        await asyncio.sleep(0)
    assert harness.pool.reuse_delay.delay_ms == 40
    second = await harness.served()
    call, _ = harness.start()
    third = await harness.peer.accepted()
    assert await read(third, 7) == b"request" and has_no_input(second)
    harness.pool.bounds = replace(harness.pool.bounds, max_connections=2)
    other, _ = harness.start()  # at the limit: a connection not ready for reuse is closed for a new one
    fourth = await harness.peer.accepted()
    assert await read(fourth, 7) == b"request" and read_to_end(second) == 0
    for end, waiting_call in ((third, call), (fourth, other)):
        end.sendall(answer(b"x"))
        assert (await harness.ended(waiting_call)).outcome is Outcome.OK


def test_the_reuse_delay_grows_with_late_bytes_up_to_its_maximum():
    quiet = ReuseDelay(50.0)
    assert quiet.ready_at(100.0) == 100 + MIN_DELAY_MS
    quiet.record_late_bytes(2.0)
    assert quiet.delay_ms == MIN_DELAY_MS
    quiet.record_late_bytes(12.0)
    quiet.record_late_bytes(7.0)
    assert quiet.delay_ms == 24 and not quiet.should_wait(24.0, 0.0)
    # The wait is limited to the time for a new connection, or to the minimum delay at the limit.
    assert not quiet.should_wait(24.0, 23.0) and quiet.should_wait(24.0, 14.0, full=True)
    assert not quiet.should_wait(24.0, 13.9, full=True)
    quiet.record_connect_time(2.0)
    assert quiet.should_wait(24.0, 22.0) and not quiet.should_wait(24.0, 21.9)
    quiet.record_late_bytes(9000.0)
    assert quiet.delay_ms == 50
    assert ReuseDelay(1.0).delay_ms == MIN_DELAY_MS  # a maximum below the minimum has no effect


def test_an_attempt_given_up_while_waiting_for_reuse_was_never_sent():
    for order in ("stop", "deadline", "leave_by", "may_leave"):

        @with_pool()
        async def test(harness, order=order):
            first = await harness.served()
            harness.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # so that waiting is no slower than connecting
            at = harness.now[0] + MIN_DELAY_MS / 2
            limits = {order: at} if order in ("deadline", "leave_by") else {}
            call, flight = harness.start(**limits)
            call.may_leave = lambda: order != "may_leave"
            harness.advance(MIN_DELAY_MS / 2)
            if order == "stop":
                flight.stop()
            if order == "may_leave":
                harness.advance(MIN_DELAY_MS / 2)
            assert (await harness.ended(call)).outcome is Outcome.ABANDONED
            harness.advance(MIN_DELAY_MS / 2)
            assert has_no_input(first)
            call, _ = harness.start()  # the delay has continued meanwhile
            assert await read(first, 7) == b"request" and harness.pool.opened_count == 1

        test()


@with_pool()
async def test_an_attempt_uses_another_connection_if_the_awaited_one_ends(harness):
    first = await harness.served()
    call, _ = harness.start()
    reset(first)
    second = await harness.peer.accepted()
    assert await read(second, 7) == b"request" and not call.endings
    assert len(harness.pool.open_connections) == 1


# --- address changes


@pytest.mark.parametrize("waits_for_reuse", [False, True])
def test_a_connection_to_an_old_address_is_not_used(monkeypatch, waits_for_reuse):
    """Otherwise the request reaches a machine that is no longer listed."""

    @with_pool()
    async def test(harness):
        other = ManualServer()

        def change_address(connection=None):
            harness.addresses["s0"] = other.address
            harness.pool.close_idle("s0")

        if waits_for_reuse:
            first = await harness.served()
            call, _ = harness.start()
            change_address()
        else:
            with monkeypatch.context() as patch:
                patch_connection_made(patch, change_address)
                call, _ = harness.start()
                first = await harness.peer.accepted()
                while not harness.pool.opened_count:
                    await asyncio.sleep(0)
        second = (
            other.listener.accept()[0] if await asyncio.to_thread(has_pending_connection, other) else None
        )
        assert await read(second, 7) == b"request" and read_to_end(first) == 0
        second.sendall(answer(b"there"))
        assert (await harness.ended(call)).reply == b"there"
        (connection,) = harness.pool.open_connections
        assert connection.address == other.address
        second.close()
        other.close()

    test()


def has_pending_connection(peer):
    return bool(select.select([peer.listener], [], [], 20)[0])


@pytest.mark.parametrize("is_removed", [False, True])
def test_a_connection_in_use_while_the_address_changed_is_not_kept(is_removed):
    @with_pool()
    async def test(harness):
        call, _ = harness.start()
        end = await harness.peer.accepted()
        await read(end, 7)
        if is_removed:
            del harness.addresses["s0"]
        else:
            harness.addresses["s0"] = ("127.0.0.1", 1)
        harness.pool.close_idle("s0")
        end.sendall(answer(b"old"))
        assert (await harness.ended(call)).reply == b"old"  # the answer belongs to this request
        assert not harness.pool.open_connections and not harness.pool.idle_connections.get("s0")

    test()


def is_open(end):
    """Return whether the peer of a server's end has neither closed nor reset the connection."""
    if not select.select([end], [], [], 0)[0]:
        return True
    try:
        return end.recv(1, socket.MSG_PEEK) != b""
    except ConnectionError:
        return False


class Repeats:
    """Starts a repeat at server s1 for each attempt that ends, in one batch, as the driver does."""

    def __init__(self, harness):
        self.harness = harness
        self.count = 0  # ended, and not repeated yet
        self.calls = []

    def record_end(self, _result):
        if not self.count:
            asyncio.get_running_loop().call_soon(self.process_batch)
        self.count += 1

    def process_batch(self):
        for _ in range(self.count):
            self.calls.append(self.harness.start(server="s1")[0])
        self.count = 0


@with_pool(max_connections=100)
async def test_no_repeat_is_written_before_the_connections_of_ended_attempts_are_closed(harness):
    """Regression: a batch wrote its repeats before the event loop had closed all connections given up."""
    other, pool = ManualServer(), harness.pool
    harness.addresses["s1"] = other.address
    pool.reuse_delay.ready_at = lambda since: since
    warming = [harness.start(server="s1")[0] for _ in range(20)]
    other_ends = [await other.accepted() for _ in warming]
    repeats, still_open, write = Repeats(harness), [], pool._write

    def look_then_write(connection, attempt):
        if connection.node == "s1":
            still_open.extend(end for end in harness.peer.ends if is_open(end))
        write(connection, attempt)

    for _ in range(50):  # times 20 repeats
        for end in other_ends:
            await read(end, len(b"request"))
            end.sendall(answer(b"one"))
        for call in [*warming, *repeats.calls]:
            await harness.ended(call)
        repeats.calls.clear()
        pool._write = write
        for _ in other_ends:
            call, _ = harness.start(deadline=harness.now[0] + 100)
            call.end = repeats.record_end
            await read(await harness.peer.accepted(), len(b"request"))
        pool._write = look_then_write
        harness.advance(100)
        while len(repeats.calls) < len(other_ends):
            await asyncio.sleep(0)
        assert not still_open
        while harness.peer.ends:
            harness.peer.ends.pop().close()
    other.close()
