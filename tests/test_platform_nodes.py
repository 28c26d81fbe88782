"""Attempts on connections to storage servers: every ending in its rarest instant, on loopback sockets."""

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
from cressrock.resp import codec, nodes
from cressrock.resp.nodes import RespTransport
from cressrock.resp.pace import ReplyProgress
from cressrock.resp.quiet import MIN_DELAY_MS, ReuseDelay
from tests.test_platform import BOUNDS, Call, carried, on_sockets

FAR = 60000.0
HUGE = b"x" * (32 << 20)  # more than the kernel takes for a peer that does not read


class Peer:
    """A storage server under the test's hand: it accepts, reads, writes and closes when it is told to."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.ends = []

    def accept(self):
        """Return the next connection; what has come up is in the queue already."""
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


def drained(end):
    """Read to the end; return how many bytes there were."""
    count = 0
    try:
        while data := end.recv(1 << 20):
            count += len(data)
    except ConnectionError:
        pass
    return count


async def read(end, count):
    """Read so many bytes without holding up the loop."""
    data = b""
    while len(data) < count:
        if not select.select([end], [], [], 0)[0]:
            await asyncio.sleep(0)
            continue
        data += end.recv(count - len(data))
    return data


class Bench:
    """A pool whose clock stands still until the test moves it, with one server s0."""

    def __init__(self, **bounds):
        self.now = [1000.0]
        self.peer = Peer()
        self.addresses = {"s0": self.peer.address}
        bounds = {"idle_close_ms": FAR, "connect_timeout_ms": FAR} | bounds
        self.pool = RespTransport(replace(BOUNDS, **bounds), lambda: self.now[0], self.addresses.get)

    def start(self, request=b"request", server="s0", **changes):
        call = Call()
        call.op = SimpleNamespace(command=lambda wait_ms: request)
        call.attempt = Attempt(0, Node(server, 0), self.now[0])
        call.deadline = self.now[0] + FAR
        for name, value in changes.items():
            setattr(call, name, value)
        return call, self.pool.start(call)

    def move(self, ms):
        self.now[0] += ms
        self.pool._on_timer()

    async def ended(self, call):
        while not call.endings:
            await asyncio.sleep(0)
        (ending,) = call.endings
        return ending

    async def written(self):
        """Return the connection on which the one attempt is under way."""
        while True:
            for connection in self.pool.open:
                if connection.flight is not None:
                    return connection
            await asyncio.sleep(0)

    async def served(self, value=b"one"):
        """Have an attempt served on a new connection, and return the server's end."""
        call, _ = self.start()
        end = await self.peer.accepted()
        await read(end, len(b"request"))
        end.sendall(answer(value))
        assert (await self.ended(call)).reply == value
        return end

    def close(self):
        for connection in list(self.pool.open):
            self.pool._drop(connection)
        self.peer.close()


def on_bench(**bounds):
    def wrap(test):
        @on_sockets
        async def run():
            bench = Bench(**bounds)
            try:
                await test(bench)
            finally:
                bench.close()

        def plain():
            run()

        plain.__name__ = test.__name__
        plain.__doc__ = test.__doc__
        return plain

    return wrap


def as_it_comes_up(monkeypatch, hook):
    """Call `hook(connection)` in the instant in which a connection comes up, before its attempt hears."""
    made = nodes._Connection.connection_made

    def connection_made(self, transport):
        made(self, transport)
        hook(self)

    monkeypatch.setattr(nodes._Connection, "connection_made", connection_made)


def waits(connection):
    """Wait in the kernel, not in the loop, until something is to be read on a connection."""
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    assert poll.poll(20000)


# --- what was not written whole


@on_bench()
async def test_an_end_under_a_half_written_request_stops_the_rest_of_it(bench):
    """Danger: a server that ends its sending goes on reading, and the rest of a request still leaves."""
    call, _ = bench.start(HUGE)
    end = await bench.peer.accepted()
    connection = await bench.written()
    assert connection.has_unsent
    end.shutdown(socket.SHUT_WR)
    assert (await bench.ended(call)).outcome is Outcome.NO_CONNECTION
    await asyncio.sleep(0)
    assert await asyncio.to_thread(drained, end) < len(HUGE)
    assert not bench.pool.open


@on_bench()
async def test_a_reset_under_a_half_written_request_proves_that_it_never_ran(bench):
    call, _ = bench.start(HUGE)
    end = await bench.peer.accepted()
    await bench.written()
    reset(end)
    assert (await bench.ended(call)).outcome is Outcome.NO_CONNECTION


@pytest.mark.parametrize(
    ("early", "outcome"),
    [(answer(b"of another"), Outcome.NO_CONNECTION), (codec.error("BUSY"), Outcome.FULL)],
)
def test_an_answer_before_the_last_byte_is_no_answer_and_its_connection_is_closed(early, outcome):
    """Danger: the copy of an earlier answer is served; the rest of the request leaves ahead of the next."""

    @on_bench()
    async def test(bench):
        call, _ = bench.start(HUGE)
        end = await bench.peer.accepted()
        await bench.written()
        end.sendall(early)
        ending = await bench.ended(call)
        assert ending.outcome is outcome and ending.reply is None
        assert not bench.pool.open and not bench.pool.idle.get("s0")

    test()


@on_bench()
async def test_a_request_of_which_the_kernel_took_no_byte_never_ran(bench):
    """Danger: a reset between the last look at a connection and the write; unsafe work would be lost."""
    end = await bench.served()
    bench.move(FAR / 10)
    connection = bench.pool._take_idle("s0")
    reset(end)
    waits(connection)
    call = Call()
    bench.pool._write(connection, nodes._InFlightAttempt(bench.pool, call))
    assert (await bench.ended(call)).outcome is Outcome.NO_CONNECTION


@on_bench()
async def test_a_request_written_whole_behind_an_unseen_end_may_have_run(bench):
    """The safe side: the kernel took it, and a server may go on reading after its end."""
    end = await bench.served()
    bench.move(FAR / 10)
    connection = bench.pool._take_idle("s0")
    end.shutdown(socket.SHUT_WR)
    waits(connection)
    call = Call()
    bench.pool._write(connection, nodes._InFlightAttempt(bench.pool, call))
    assert (await bench.ended(call)).outcome is Outcome.RESET


@on_bench()
async def test_an_idle_connection_that_was_closed_early_is_not_written_to(bench):
    """Danger: a server closes long before the settings say; a request written there ends as a reset."""
    end = await bench.served()
    bench.move(FAR / 10)
    (connection,) = bench.pool.open
    end.close()
    waits(connection)
    call, _ = bench.start()  # in the same step of the loop: the end is not read yet
    second = await bench.peer.accepted()
    assert await read(second, 7) == b"request"
    second.sendall(answer(b"two"))
    assert (await bench.ended(call)).reply == b"two"


@pytest.mark.parametrize("sent", [b"", answer(b"of nobody")])
def test_a_connection_that_ends_or_speaks_as_it_comes_up_is_not_written_to(monkeypatch, sent):
    """Danger: the request ends as one that may have run, or is answered by what was there before it."""

    @on_bench()
    async def test(bench):
        ends = []

        def hook(connection):
            ends.append(bench.peer.accept())
            ends[0].sendall(sent)
            ends[0].shutdown(socket.SHUT_WR)
            waits(connection)

        as_it_comes_up(monkeypatch, hook)
        call, _ = bench.start()
        ending = await bench.ended(call)
        assert ending.outcome is Outcome.NO_CONNECTION and ending.reply is None
        await asyncio.sleep(0)
        assert drained(ends[0]) == 0 and not bench.pool.open

    test()


# --- when it has to have left


KEYED = RequestClass(
    latency_objective_ms=500,
    deadline_ms=4000,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.SHARD,
    deduplication_window_ms=400,
)


def test_a_repeat_has_to_leave_inside_the_window_of_the_first_that_may_have_run():
    book = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=100)
    book.update_nodes([Node("a", 0), Node("b", 0)], 0, complete=True)
    for name, cls in (("k", KEYED), ("u", replace(KEYED, idempotency=Idempotency.ALWAYS))):
        book.accept(name, "x", cls, 4000, 0)
        assert book.leave_by(name, 0) == float("inf")
        book.send(name, "a", 10)
        book.record_outcome(name, 0, Outcome.FULL)  # never ran
        book.send(name, "a", 100)
        assert book.leave_by(name, 1) == float("inf")  # a first one
        book.record_outcome(name, 1, Outcome.TIMEOUT)
        book.send(name, "b", 300)
    call = _Call(SimpleNamespace(ledger=book), "k", None, book.entries["k"].attempts[2], 4000)
    assert call.leave_by == book.leave_by("k", 2) == 500
    assert book.leave_by("u", 2) == float("inf")
    assert book.may_leave("k", 2, 500) and not book.may_leave("k", 2, 501)


@on_bench()
async def test_a_repeat_that_is_not_written_whole_in_its_window_leaves_no_further(bench):
    """Danger: the kernel takes the rest when the server reads again, and the work takes effect twice."""
    call, _ = bench.start(HUGE, leave_by=bench.now[0] + 300)
    end = await bench.peer.accepted()
    await bench.written()
    bench.move(299)
    assert not call.endings
    bench.move(1)
    assert (await bench.ended(call)).outcome is Outcome.ABANDONED
    await asyncio.sleep(0)
    assert await asyncio.to_thread(drained, end) < len(HUGE)


@on_bench()
async def test_a_repeat_that_was_written_whole_in_its_window_is_waited_for(bench):
    for request in (b"request", HUGE):
        call, _ = bench.start(request, leave_by=bench.now[0] + 300)
        end = await bench.peer.accepted()
        await asyncio.to_thread(got, end, len(request))
        connection = await bench.written()
        while connection.has_unsent:
            await asyncio.sleep(0)
        bench.move(1000)
        assert not call.endings
        end.sendall(answer(b"late"))
        assert (await bench.ended(call)).reply == b"late"
        bench.pool.forget("s0")


def got(end, count):
    while count:
        count -= len(end.recv(min(count, 1 << 20)))


@on_bench()
async def test_a_repeat_whose_window_ends_while_it_connects_waits_for_nothing_more(bench):
    """Danger: a window shorter than the time in which a connection may come up."""
    call, _ = bench.start(leave_by=bench.now[0] + 50)
    bench.move(50)  # no step of the loop yet
    assert (await bench.ended(call)).outcome is Outcome.ABANDONED
    while bench.pool.connecting_count:
        await asyncio.sleep(0)
    assert not bench.pool.open


# --- two things in one instant


@on_sockets
async def test_an_answer_that_lies_in_the_kernel_goes_before_the_end_of_its_time():
    """The loop hears its sockets before its timers: a process that stood still gives away no answer."""
    peer = Peer()
    clock = asyncio.get_running_loop().time
    bounds = replace(BOUNDS, idle_close_ms=FAR)
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
    pool.forget("s0")
    peer.close()


def test_an_attempt_given_up_as_its_connection_comes_up_leaves_nothing_behind(monkeypatch):
    for order in ("stop", "deadline"):

        @on_bench()
        async def test(bench, order=order):
            raws = []

            def hook(connection):
                raws.append(connection.transport.get_extra_info("socket"))
                if order == "stop":
                    flight.stop()
                else:
                    bench.move(FAR)

            as_it_comes_up(monkeypatch, hook)
            call, flight = bench.start()
            ending = await bench.ended(call)
            assert ending.outcome is (Outcome.ABANDONED if order == "stop" else Outcome.NO_CONNECTION)
            while bench.pool.connecting_count:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert raws[0].fileno() == -1 and not bench.pool.open and not bench.pool.idle
            assert drained(bench.peer.accept()) == 0 and bench.pool.connecting_count == 0

        test()


@on_bench()
async def test_no_descriptor_of_our_own_says_nothing_of_a_server(bench):
    """Danger: a server that was never asked is avoided as one that cannot be reached."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    held = []
    resource.setrlimit(resource.RLIMIT_NOFILE, (len(os.listdir("/proc/self/fd")) + 20, hard))
    try:
        while True:
            try:
                held.append(os.open(os.devnull, os.O_RDONLY))
            except OSError:
                break
        call, _ = bench.start()
        ending = await bench.ended(call)
    finally:
        for number in held:
            os.close(number)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert ending.outcome is Outcome.ABANDONED


@on_bench()
async def test_an_address_that_is_none_ends_the_attempt_at_once(bench):
    bench.addresses["s0"] = ("x" * 70 + ".example", 1)
    call, _ = bench.start()
    assert (await bench.ended(call)).outcome is Outcome.NO_CONNECTION


# --- answers that do not end


@pytest.mark.parametrize("begin", [b"+", b"*3\r\n$900\r\n"])
def test_a_byte_now_and_then_does_not_hold_an_attempt_until_its_deadline(begin):
    """Danger: the request's other attempts wait behind it until no time is left for them."""

    async def test():
        now = [1000.0]
        pool, connection, call = carried(now)
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


def test_a_long_answer_in_pieces_is_waited_for_as_long_as_its_pace_can_make_it():
    for per_piece, whole in ((4200, True), (3800, False)):  # 4000 of them a stall time apart make it
        pace = ReplyProgress(0.0, 5000.0, 50.0)
        now, held, need = 0.0, 0, 400000
        while now < 5000 and held < need:
            held += per_piece
            pace.record(now, held, need)
            now += 49.9
            if now >= pace.next_check_at() and pace.is_broken(now):
                break
        assert (held >= need) is whole
        assert whole or now < 2600  # found when half of the time is over


def test_a_pace_that_falls_off_is_found_at_the_next_check():
    pace = ReplyProgress(0.0, 4000.0, 50.0)
    pace.record(0.0, 70, 100)
    now = 0.0
    while now < 4000 and not pace.is_broken(now):
        pace.record(now, 70, 100)  # never silent for the whole stall time, and no further
        now += 49
    assert 3000 <= now < 3100


def test_an_answer_by_single_bytes_is_not_read_anew_for_each(monkeypatch):
    async def test():
        read = []
        reply = codec.Replies._reply
        monkeypatch.setattr(codec.Replies, "_reply", lambda self, depth: read.append(0) or reply(self, depth))
        _, connection, call = carried([1000.0])
        for byte in answer(b"v" * 1000):
            connection.data_received(bytes([byte]))
        assert call.endings[0].reply == b"v" * 1000 and len(read) < 100

    asyncio.run(test())


@on_bench(max_answer=100000)
async def test_a_flood_behind_an_answer_is_not_kept(bench):
    call, _ = bench.start()
    end = await bench.peer.accepted()
    await read(end, 7)
    (connection,) = bench.pool.open
    end.setblocking(False)
    try:
        end.send(answer(b"whole") + HUGE)
    except BlockingIOError:
        pass
    assert (await bench.ended(call)).reply == b"whole"
    assert not bench.pool.open and len(connection.parser._buffer) < 1 << 20


# --- limits


@on_bench()
async def test_attempts_that_are_over_hold_no_memory_until_their_deadlines(bench):
    """Danger: thousands of requests a second, each with its payload, stand in the timer for seconds."""
    bench.pool.bounds = replace(bench.pool.bounds, max_connections=1)
    gone = []
    for _ in range(500):
        call, flight = bench.start()
        gone.append(weakref.ref(call))
        flight.stop()
        del call, flight
    while bench.pool.connecting_count:
        await asyncio.sleep(0)
    bench.pool._process_queue()
    gc.collect()
    assert not [ref for ref in gone if ref() is not None]
    assert len(bench.pool._checks) <= 70 and bench.pool.active_count == 0


# --- a connection rests after an answer


def silent(end):
    """Whether nothing lies in the kernel for a peer's end."""
    return not select.select([end], [], [], 0)[0]


async def rounds(count=20):
    for _ in range(count):
        await asyncio.sleep(0)


@on_bench()
async def test_the_late_copy_of_an_answer_is_never_the_next_requests_answer(bench):
    """Danger: a client is served the value that was made for another request."""
    first = await bench.served(b"of the first")
    bench.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # a handshake takes no less
    call, _ = bench.start()
    await rounds()
    first.sendall(answer(b"of the first"))  # some milliseconds later, by the clock of the pool
    second = await bench.peer.accepted()
    assert await read(second, 7) == b"request"
    second.sendall(answer(b"of the second"))
    assert (await bench.ended(call)).reply == b"of the second"
    assert bench.pool.surplus == 1 and drained(first) == 0 and len(bench.pool.open) == 1


@on_bench()
async def test_a_resting_connection_is_not_waited_for_where_a_new_one_is_up_sooner(bench):
    """Danger: an attempt that waits holds a place at its server without being there."""
    first = await bench.served()
    call, _ = bench.start()
    second = await bench.peer.accepted()
    assert await read(second, 7) == b"request" and silent(first)
    second.sendall(answer(b"two"))
    assert (await bench.ended(call)).reply == b"two"
    bench.move(MIN_DELAY_MS)
    bench.start()  # both have rested: no third is opened
    assert await read(second, 7) == b"request" and bench.pool.opened == 2


@on_bench()
async def test_a_connection_that_stayed_quiet_is_used_again_at_once(bench):
    first = await bench.served()
    bench.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # a handshake takes no less
    call, _ = bench.start()
    bench.move(MIN_DELAY_MS - 0.1)
    await rounds()
    assert silent(first) and not bench.pool.connecting_count
    bench.move(0.1)
    assert await read(first, 7) == b"request"
    first.sendall(answer(b"two"))
    assert (await bench.ended(call)).reply == b"two"
    bench.move(MIN_DELAY_MS)
    call, _ = bench.start()
    assert await read(first, 7) == b"request"
    assert bench.pool.opened == 1 and bench.pool.reused == 2


@on_bench()
async def test_one_waits_for_a_resting_connection_and_the_next_opens_its_own(bench):
    first = await bench.served()
    bench.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # a handshake takes no less
    waiting, _ = bench.start()
    other, _ = bench.start()
    second = await bench.peer.accepted()
    assert await read(second, 7) == b"request" and silent(first)
    bench.move(MIN_DELAY_MS)
    assert await read(first, 7) == b"request"
    second.sendall(answer(b"2"))
    await bench.ended(other)
    bench.move(1)
    first.sendall(answer(b"1"))
    await bench.ended(waiting)
    bench.move(MIN_DELAY_MS - 1)  # the one used last still rests
    bench.start()
    assert await read(second, 7) == b"request" and silent(first)
    bench.pool.forget("s0")


@on_bench()
async def test_bytes_behind_the_last_look_end_a_rest_as_well(bench):
    """They lie in the kernel when the rest is over: the loop has not read them."""
    first = await bench.served()
    call, _ = bench.start()
    (connection,) = bench.pool.open
    first.sendall(answer(b"one"))
    waits(connection)
    bench.move(MIN_DELAY_MS)  # in one step of the loop with their coming
    second = await bench.peer.accepted()
    assert await read(second, 7) == b"request"
    second.sendall(answer(b"two"))
    assert (await bench.ended(call)).reply == b"two" and drained(first) == 0


@on_bench()
async def test_late_bytes_make_the_rest_longer_and_a_long_one_is_not_waited_for(bench):
    first = await bench.served()
    bench.move(20)
    first.sendall(b"x")
    while bench.pool.open:
        await asyncio.sleep(0)
    assert bench.pool.reuse_delay.delay_ms == 40
    second = await bench.served()
    call, _ = bench.start()
    third = await bench.peer.accepted()
    assert await read(third, 7) == b"request" and silent(second)
    bench.pool.bounds = replace(bench.pool.bounds, max_connections=2)
    other, _ = bench.start()  # no descriptor is left: one that rests makes room, and is not written to
    fourth = await bench.peer.accepted()
    assert await read(fourth, 7) == b"request" and drained(second) == 0
    for end, waiting in ((third, call), (fourth, other)):
        end.sendall(answer(b"x"))
        assert (await bench.ended(waiting)).outcome is Outcome.OK


def test_what_is_learnt_of_late_bytes_is_bounded_and_kept():
    quiet = ReuseDelay(50.0)
    assert quiet.ready_at(100.0) == 100 + MIN_DELAY_MS
    quiet.record_late_bytes(2.0)
    assert quiet.delay_ms == MIN_DELAY_MS
    quiet.record_late_bytes(12.0)
    quiet.record_late_bytes(7.0)
    assert quiet.delay_ms == 24 and not quiet.should_wait(24.0, 0.0)
    # So long as a new connection takes is waited, and no longer; the least rest too, where none is left.
    assert not quiet.should_wait(24.0, 23.0) and quiet.should_wait(24.0, 14.0, full=True)
    assert not quiet.should_wait(24.0, 13.9, full=True)
    quiet.record_connect_time(2.0)
    assert quiet.should_wait(24.0, 22.0) and not quiet.should_wait(24.0, 21.9)
    quiet.record_late_bytes(9000.0)
    assert quiet.delay_ms == 50
    assert ReuseDelay(1.0).delay_ms == MIN_DELAY_MS  # a bound under the least changes nothing


def test_an_attempt_given_up_while_its_connection_rests_was_never_sent():
    for order in ("stop", "deadline", "leave_by", "may_leave"):

        @on_bench()
        async def test(bench, order=order):
            first = await bench.served()
            bench.pool.reuse_delay.connect_ms = MIN_DELAY_MS  # a handshake takes no less
            at = bench.now[0] + MIN_DELAY_MS / 2
            limits = {order: at} if order in ("deadline", "leave_by") else {}
            call, flight = bench.start(**limits)
            call.may_leave = lambda: order != "may_leave"
            bench.move(MIN_DELAY_MS / 2)
            if order == "stop":
                flight.stop()
            if order == "may_leave":
                bench.move(MIN_DELAY_MS / 2)
            assert (await bench.ended(call)).outcome is Outcome.ABANDONED
            bench.move(MIN_DELAY_MS / 2)
            assert silent(first)
            call, _ = bench.start()  # its rest has gone on
            assert await read(first, 7) == b"request" and bench.pool.opened == 1

        test()


@on_bench()
async def test_an_attempt_whose_resting_connection_ends_goes_to_another(bench):
    first = await bench.served()
    call, _ = bench.start()
    reset(first)
    second = await bench.peer.accepted()
    assert await read(second, 7) == b"request" and not call.endings
    assert len(bench.pool.open) == 1


# --- a server that moves


@pytest.mark.parametrize("waits_for_rest", [False, True])
def test_a_connection_to_an_old_address_is_not_used_for_its_new_server(monkeypatch, waits_for_rest):
    """Danger: the request reaches a machine that the list does not name any more."""

    @on_bench()
    async def test(bench):
        other = Peer()

        def moves(connection=None):
            bench.addresses["s0"] = other.address
            bench.pool.forget("s0")

        if waits_for_rest:
            first = await bench.served()
            call, _ = bench.start()
            moves()
        else:
            with monkeypatch.context() as patch:
                as_it_comes_up(patch, moves)
                call, _ = bench.start()
                first = await bench.peer.accepted()
                while not bench.pool.opened:
                    await asyncio.sleep(0)
        second = other.listener.accept()[0] if await asyncio.to_thread(waiting, other) else None
        assert await read(second, 7) == b"request" and drained(first) == 0
        second.sendall(answer(b"there"))
        assert (await bench.ended(call)).reply == b"there"
        (connection,) = bench.pool.open
        assert connection.address == other.address
        second.close()
        other.close()

    test()


def waiting(peer):
    return bool(select.select([peer.listener], [], [], 20)[0])


@pytest.mark.parametrize("gone", [False, True])
def test_a_connection_that_carried_an_attempt_while_its_server_moved_is_not_kept(gone):
    @on_bench()
    async def test(bench):
        call, _ = bench.start()
        end = await bench.peer.accepted()
        await read(end, 7)
        if gone:
            del bench.addresses["s0"]
        else:
            bench.addresses["s0"] = ("127.0.0.1", 1)
        bench.pool.forget("s0")
        end.sendall(answer(b"old"))
        assert (await bench.ended(call)).reply == b"old"  # it is the answer for this request
        assert not bench.pool.open and not bench.pool.idle.get("s0")

    test()
