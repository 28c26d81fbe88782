"""Client connections that end while answers or requests are pending, over loopback sockets.

The order of events is forced: what a test sends synchronously is in the kernel before the loop reads it.
"""

import asyncio
import os
import signal
import socket
import struct

import pytest

from cressrock.dispatch.ledger import Verdict
from cressrock.interface import NodeState
from cressrock.lab.platform import answer, echo
from cressrock.platform import stopping
from cressrock.resp import client_connection, codec
from cressrock.resp import front as front_module
from cressrock.resp.codec import ErrorReply, StatusReply
from cressrock.resp.eviction import choose_eviction
from cressrock.resp.front import Front, FrontBounds
from cressrock.resp.memory_admission import SMALL_INPUT_BYTES
from cressrock.resp.request import CommandReader
from tests.test_platform import (
    READER,
    Client,
    RecordingTransport,
    async_test,
    read,
    request_id,
    running_program,
    write,
)


def connect_raw(s, **options):
    """Connect a plain socket; the kernel has accepted it, but the event loop has not run."""
    sock = socket.socket()
    for option, value in options.items():
        sock.setsockopt(socket.SOL_SOCKET, getattr(socket, option), value)
    sock.connect(s.program.address)
    return sock


async def connect_with_small_buffers(s):
    """Connect a plain socket with tiny buffers, so that a large answer stays in the write buffer."""
    sock = connect_raw(s, SO_RCVBUF=4096)
    name = sock.getsockname()

    def found():
        return [c for c in s.program.front.clients if c.transport.get_extra_info("peername") == name]

    await s.until(found)
    found()[0].transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock


async def as_client(s, sock):
    """Wrap a connected plain socket in a Client."""
    client = Client(*await asyncio.open_connection(sock=sock))
    client.parser = codec.ReplyParser(1 << 21)
    s.clients.append(client)
    return client


async def read_until_end(client):
    """Return the replies up to the end of the connection; a reset fails the test."""
    rest = []
    with pytest.raises(EOFError):
        while True:
            rest.append(await client.reply())
    return rest


def peername(client):
    """Return the client's socket address, by which the front knows it."""
    return client.writer.get_extra_info("sockname")


def front_client(s, client):
    for found in (*s.program.front.clients, *s.program.front.lingering):
        if found.transport.get_extra_info("peername") == peername(client):
            return found
    return None


@async_test
async def test_an_answer_is_not_lost_to_a_reset_over_unread_input():
    """Closing a socket with unread input resets the connection, which discards answers in transit."""
    async with running_program() as s:
        sock = connect_raw(s)
        # More than one read: when the error line is written, the kernel still holds input.
        ping = codec.command(b"PING")
        await asyncio.to_thread(sock.sendall, ping + b"GET / HTTP/1.1\r\n" + b"x" * 700_000)
        client = await as_client(s, sock)
        replies = await read_until_end(client)
        assert replies[0] == StatusReply("PONG") and isinstance(replies[1], ErrorReply) and len(replies) == 2
        client.writer.close()
        await s.until(lambda: s.program.front.all_closed())


@async_test
async def test_a_request_read_after_the_shutdown_is_not_sent():
    async with running_program() as s:
        client = await s.client()
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        front_client(s, client).end()
        client.send(read(2))  # sent before the client reads the end
        await client.writer.drain()
        assert await read_until_end(client) == []  # an end without a reset: the client can retry elsewhere
        client.send(read(3))
        await s.until(
            lambda: (
                s.program.front.lingering._discarded_bytes[front_client(s, client)] == len(read(2) + read(3))
            )
        )
        client.writer.close()
        await s.until(lambda: s.program.front.all_closed())
        assert [words[2] for words in s.servers[0].seen] == [request_id(1)]


@pytest.mark.parametrize("ending", ["sweep", "leave", "yield"])
@async_test
async def test_a_request_in_the_kernel_keeps_its_connection_from_being_ended(ending):
    async with running_program() as s:
        front = s.program.front
        client, other = await s.client(), await s.client()
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        assert await other.ask(codec.command(b"PING")) == StatusReply("PONG")
        mine = front_client(s, client)
        # The request is in the kernel; the event loop has not run.
        client.writer.get_extra_info("socket")._sock.send(read(2))
        if ending == "sweep":
            clock = front.clock
            front.clock = lambda: clock() + 60_000
            front.sweep()
            front.clock = clock
        elif ending == "leave":
            front.close_idle()
        else:
            object.__setattr__(front.bounds, "max_active_connections", 1)
            front._keep_idle(front_client(s, other))
        assert not mine.is_ending
        assert await client.reply() == b"value of " + request_id(2)
        client.writer.close()


@async_test
async def test_the_idle_timeout_restarts_with_the_first_byte_of_a_command():
    """Otherwise a command that begins shortly before the idle timeout is cut off."""
    async with running_program() as s:
        front, clock = s.program.front, s.program.front.clock
        client, silent = await s.client(), await s.client()
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        silent.send(read(2)[:20])
        await s.until(lambda: front_client(s, silent) and front_client(s, silent).parser.is_partial)
        front.clock = lambda: clock() + front.bounds.idle_timeout_ms - 100
        client.send(read(3)[:40])
        silent.send(read(2)[20:40])
        await s.until(
            lambda: (
                front_client(s, client).parser.is_partial
                and len(front_client(s, silent).parser._buffer) == 40
            )
        )
        front.clock = lambda: clock() + front.bounds.idle_timeout_ms + 100
        front.sweep()
        client.send(read(3)[40:])
        assert await client.reply() == b"value of " + request_id(3)
        # This client had sent no command before, so its timeout counts from connecting.
        assert isinstance((await read_until_end(silent))[0], ErrorReply)


@async_test
async def test_an_incomplete_command_is_waited_for_during_shutdown():
    async with running_program() as s:
        client = await s.client()
        client.send(read(1)[:40])
        await s.until(lambda: front_client(s, client).parser.is_partial)
        s.program.front.close_idle()
        client.send(read(1)[40:])
        assert await read_until_end(client) == [b"value of " + request_id(1)]


@async_test
async def test_a_connection_with_unsent_output_is_not_evicted():
    """Closing at once would discard the rest of an answer that its client is still reading."""
    large = b"y" * 1_500_000

    async with running_program(lambda words: answer(large), limits={"sockets": 60, "memory_mb": 192}) as s:
        front = s.program.front
        slow = await connect_with_small_buffers(s)
        slow.sendall(read(1))
        await s.until(lambda: s.servers[0].seen and any(not c.is_flushed() for c in front.clients))
        others = [connect_raw(s) for _ in range(2 * front.bounds.max_connections)]
        await s.until(lambda: front.evicted_count >= front.bounds.max_connections)
        client = await as_client(s, slow)
        assert await client.reply() == large
        for sock in others:
            sock.close()


@async_test
async def test_a_disconnect_is_detected_while_reading_is_paused():
    """Reading is paused while a client does not read its answers, so its end must be polled for."""
    large = b"y" * 1_500_000

    def script(words):
        return answer(large) if words[2] == request_id(1) else None

    async with running_program(script, lambda words: None) as s:
        front = s.program.front
        sock = await connect_with_small_buffers(s)
        sock.sendall(read(1) + read(2, shard=1))
        await s.until(
            lambda: (
                front.open_request_count() == 1 and any(c.blocked_since is not None for c in front.clients)
            )
        )
        sock.shutdown(socket.SHUT_WR)
        await s.until(lambda: not front.open_request_count())
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1 and not s.program.driver.pending
        sock.close()


@async_test
async def test_a_disconnect_after_invalid_input_is_detected():
    async with running_program(lambda words: None) as s:
        client = await s.client()
        client.send(read(1), b"GET / HTTP/1.1\r\n\r\n")
        await s.until(lambda: s.servers[0].seen and s.program.front.invalid_input_count)
        client.writer.close()
        await s.until(lambda: not s.program.front.open_request_count())
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1 and not s.program.driver.pending


@async_test
async def test_a_reset_cancels_all_requests_of_the_connection():
    async with running_program(lambda words: None) as s:
        client = await s.client()
        client.send(*(read(number, shard=number % 2) for number in range(1, 9)))
        await s.until(lambda: s.program.front.open_request_count() == 8)
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
        await s.until(lambda: not s.program.front.open_request_count())
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 8 and not s.program.driver.pending


@async_test
async def test_many_commands_in_one_read_are_all_processed_in_parts():
    """One read can hold thousands of commands, which must not delay the other clients' answers."""
    async with running_program() as s:
        sock = connect_raw(s)
        other = await s.client()
        number = 5000
        await asyncio.to_thread(sock.sendall, codec.command(b"PING") * number + read(1))
        had_more = []
        loop = asyncio.get_running_loop()

        def sample():
            mine = [c for c in s.program.front.clients if c.parser.has_more]
            had_more.append(bool(mine))
            if all(words[2] != request_id(1) for words in s.servers[0].seen):
                loop.call_soon(sample)

        sample()
        assert await other.ask(read(2)) == b"value of " + request_id(2)
        client = await as_client(s, sock)
        for _ in range(number):
            assert await client.reply() == StatusReply("PONG")
        assert await client.reply() == b"value of " + request_id(1)
        # The event loop ran between the parts.
        assert sum(had_more) >= number // s.program.front.bounds.max_pipeline // 2


@async_test
async def test_a_connection_with_buffered_commands_is_not_ended():
    async with running_program() as s:
        front, original, seen = s.program.front, s.program.front.process_command, []

        def leave():
            seen.append([c.parser.has_more for c in front.clients])
            front.close_idle()

        def process_command(*args):
            if front.submitted_count == 0 and not seen:
                seen.append(None)
                asyncio.get_running_loop().call_soon(leave)  # after the first part of the commands
            return original(*args)

        front.process_command = process_command
        sock = connect_raw(s)
        sock.sendall(codec.command(b"PING") * 1000 + read(1))
        await s.until(lambda: len(seen) == 2)
        assert seen[1] == [True] and not any(c.is_ending for c in front.clients)
        replies = await read_until_end(await as_client(s, sock))
        assert len(replies) == 1001 and replies[-1] == b"value of " + request_id(1)


@async_test
async def test_a_connection_with_buffered_commands_is_not_evicted():
    front = Front(
        CommandReader(*READER),
        None,
        FrontBounds(max_connections=1, max_active_connections=9, max_unread_bytes=100),
        float,
    )
    first, second = front.create_protocol(), front.create_protocol()
    for client in (first, second):
        client.transport = RecordingTransport()
    front._on_connected(first)
    first.data_received(codec.command(b"PING") * 100)
    assert first.parser.has_more and first.queue == second.queue  # every processed command has been answered
    front._on_connected(second)
    assert second.transport.closed and not first.transport.closed


def test_an_eviction_does_not_scan_all_connections(monkeypatch):
    """Hundreds may arrive in one iteration of the event loop, and must not delay the answers due in it."""
    scanned_counts = []

    def counting(candidates, new_since):
        scanned_counts.append(len(candidates))
        return choose_eviction(candidates, new_since)

    monkeypatch.setattr(front_module, "choose_eviction", counting)
    bounds = FrontBounds(max_connections=100, max_active_connections=99, max_unread_bytes=100)
    front = Front(CommandReader(*READER), None, bounds, lambda: 0.0)
    for _ in range(300):
        client = front.create_protocol()
        client.transport = RecordingTransport()
        front._on_connected(client)
    assert front.evicted_count == 200 and len(front.clients) == 100
    assert len(scanned_counts) == 200 and max(scanned_counts) <= 2


@async_test
async def test_a_connection_skipped_for_unread_input_can_be_evicted_after_it_was_read():
    bounds = FrontBounds(max_connections=2, max_active_connections=9, max_unread_bytes=100)
    front = Front(CommandReader(*READER), None, bounds, lambda: 0.0)

    def connect():
        client = front.create_protocol()
        client.transport = RecordingTransport()
        front._on_connected(client)
        return client

    first, second = connect(), connect()
    first.transport.ends[1].send(b"x")
    third = connect()
    assert second.transport.closed and not first.transport.closed and not third.transport.closed
    first.data_received(first.transport.ends[0].recv(9).replace(b"x", b"*1"))  # part of a command
    third.transport.ends[1].send(b"x")
    assert not connect().transport.closed and first.transport.closed and not third.transport.closed


# The process answers everything shortly after SIGTERM, and then has 20 s until it is killed.
LONG_EXIT = {
    "ACCEPT_AFTER_SIGTERM_MS": 0.0,
    "MAX_DEADLINE_WAIT_MS": 100.0,
    "KILL_ALLOWANCE_MS": 20_000.0,
    "ANSWER_LEAD_MS": 19_900.0,
    "EXIT_LEAD_MS": 0.0,
}


def set_stopping_times(monkeypatch, **times):
    for name, value in times.items():
        monkeypatch.setattr(stopping, name, value)


@async_test
async def test_a_connection_in_the_backlog_is_served_when_the_listener_closes(monkeypatch):
    async with running_program() as s:
        listener, last = s.program.listener, s.program.front.clock() + 10_000
        sock = connect_raw(s)  # accepted by the kernel, not by the process
        sock.sendall(read(1))
        await s.program._unlisten(listener, last)
        client = await as_client(s, sock)
        assert await client.reply() == b"value of " + request_id(1)
        assert not listener.is_serving()


@async_test
async def test_the_process_waits_for_unsent_answers_before_it_exits(monkeypatch):
    """Output buffered in the process or the kernel could be lost when the process exits."""
    set_stopping_times(monkeypatch, **LONG_EXIT)
    large = b"y" * 1_500_000
    async with running_program(lambda words: answer(large)) as s:
        sock = await connect_with_small_buffers(s)
        sock.sendall(read(1))
        await s.until(lambda: any(not c.is_flushed() for c in s.program.front.clients))
        os.kill(os.getpid(), signal.SIGTERM)
        await s.until(
            lambda: s.program.loop_batches._stopped
        )  # all requests are answered; only output is pending
        await asyncio.wait([s.task], timeout=0.2)  # without the wait the task would be done by now
        assert not s.task.done()
        client = await as_client(s, sock)
        assert await read_until_end(client) == [large]
        client.writer.close()
        await s.task


@async_test
async def test_all_answers_to_a_slow_reader_are_sent_before_the_process_exits(monkeypatch):
    """Regression: answers that waited in the queue behind an unread one were lost as the process ended."""
    set_stopping_times(monkeypatch, **LONG_EXIT)
    large = b"y" * 1_500_000
    async with running_program(lambda words: answer(large), lambda words: answer(large)) as s:
        sock = await connect_with_small_buffers(s)
        sock.sendall(read(1) + read(2, shard=1))
        await s.until(lambda: s.program.front.submitted_count == 2 and not s.program.front.open_ids)
        (blocked,) = s.program.front.clients
        assert len(blocked.queue) == 1  # the second answer waits behind the first, which is not read
        os.kill(os.getpid(), signal.SIGTERM)
        await s.until(lambda: s.program.loop_batches._stopped)
        client = await as_client(s, sock)
        assert await read_until_end(client) == [large, large]
        client.writer.close()
        await s.task


@async_test
async def test_commands_that_were_read_are_answered_as_the_process_ends(monkeypatch):
    """Regression: commands that stayed in the parser behind many answers were lost."""
    set_stopping_times(monkeypatch, **LONG_EXIT)
    monkeypatch.setattr(client_connection, "MAX_IMMEDIATE_BYTES", len(b"+PONG\r\n") * 256)
    async with running_program(lambda words: None) as s:
        sock = connect_raw(s)
        pings = codec.command(b"PING") * 400
        sock.sendall(read(1) + pings + read(2))  # one read takes it all
        await s.until(lambda: any(len(c.queue) > 1 and c.parser.has_more for c in s.program.front.clients))
        await asyncio.sleep(0.05)
        (client,) = s.program.front.clients
        assert client.parser.has_more  # the answers to those before it wait for the first one
        os.kill(os.getpid(), signal.SIGTERM)
        replies = await read_until_end(await as_client(s, sock))
        assert len(replies) == 402
        assert isinstance(replies[0], ErrorReply)
        assert replies[1:401] == [StatusReply("PONG")] * 400
        assert isinstance(replies[401], ErrorReply)
        s.clients[-1].writer.close()
        await s.task


@async_test
async def test_commands_in_the_kernel_are_answered_as_the_process_ends(monkeypatch):
    """Regression (review/8): commands that had not been read were lost with their connection."""
    set_stopping_times(monkeypatch, **LONG_EXIT)
    async with running_program(lambda words: None) as s:
        number = 50_000
        client = await s.client()
        client.send(read(1), codec.command(b"PING") * number, read(2))
        # The first request has no answer, so those behind it wait, and not all of the input is read.
        await s.until(
            lambda: any(
                c.immediate_bytes >= client_connection.MAX_IMMEDIATE_BYTES and c.has_unread_input()
                for c in s.program.front.clients
            )
        )
        os.kill(os.getpid(), signal.SIGTERM)
        replies = await read_until_end(client)
        assert len(replies) == number + 2
        assert isinstance(replies[0], ErrorReply)
        assert replies[1:-1] == [StatusReply("PONG")] * number
        assert isinstance(replies[-1], ErrorReply)
        client.writer.close()
        await s.task


@async_test
async def test_a_connection_is_not_ended_between_two_reads_of_its_input_while_the_process_ends():
    """Regression (review/8): it was ended once what one read had brought was answered; the rest was lost."""
    async with running_program() as s:
        command, number = codec.command(b"CLIENT", b"x" * 41), 1000
        assert len(command) * number > SMALL_INPUT_BYTES and not SMALL_INPUT_BYTES % len(command)
        sock = connect_raw(s)
        client = await as_client(s, sock)
        assert await client.ask(codec.command(b"PING")) == StatusReply("PONG")
        sock.setblocking(True)
        sock.sendall(command * number)  # in the kernel; the event loop has not run
        sock.setblocking(False)
        s.program.front.close_idle()
        assert await read_until_end(client) == [StatusReply("OK")] * number
        client.writer.close()


@async_test
async def test_answers_behind_a_stuck_request_leave_before_the_process_has_to_end(monkeypatch):
    """Regression: they were held until all was answered, 0.1 s before the end, and slow readers lost them."""
    set_stopping_times(
        monkeypatch,
        ACCEPT_AFTER_SIGTERM_MS=0.0,
        MAX_DEADLINE_WAIT_MS=100.0,
        KILL_ALLOWANCE_MS=20_000.0,
        ANSWER_LEAD_MS=100.0,
        REFUSE_LEAD_MS=19_900.0,
        EXIT_LEAD_MS=0.0,
    )
    async with running_program(lambda words: None, echo) as s:
        alone, client = await s.client(), await s.client()
        alone.send(read(100, d=60_000))
        await s.until(lambda: s.servers[0].seen)
        client.send(read(1, d=60_000))
        await s.until(lambda: len(s.servers[0].seen) == 2)
        client.send(*(read(number, shard=1, d=60_000) for number in range(2, 40)))
        await s.until(lambda: len(s.servers[1].seen) == 38 and s.program.front.open_request_count() == 2)
        os.kill(os.getpid(), signal.SIGTERM)
        replies = [await client.reply() for _ in range(39)]
        assert not s.program.loop_batches._stopped  # before all that is open has to be answered
        assert s.program.front.admission.counts.shed == 1  # and before its own deadline
        assert s.program.front.open_request_count() == 1  # none waits behind the other, which has its time
        assert replies[0].text.startswith("BUSY")
        assert replies[1:] == [b"value of " + request_id(number) for number in range(2, 40)]


@async_test
async def test_each_open_request_is_answered_once_after_two_sigterms(monkeypatch):
    set_stopping_times(
        monkeypatch,
        ACCEPT_AFTER_SIGTERM_MS=10.0,
        MAX_DEADLINE_WAIT_MS=100.0,
        KILL_ALLOWANCE_MS=400.0,
        ANSWER_LEAD_MS=100.0,
        EXIT_LEAD_MS=0.0,
    )

    def half(words):
        return echo(words)[:12] if words[2] == request_id(3) else None

    async with running_program(half) as s:
        s.discovery.put("s9", "127.0.0.1:1", 3, health="leaving")
        sent, waiting, begun, idle, incomplete = [await s.client() for _ in range(5)]
        sent.send(write(1, b"x"))
        waiting.send(read(2, shard=3))
        begun.send(write(3, b"y"))
        incomplete.send(read(4)[:30])
        assert await idle.ask(codec.command(b"PING")) == StatusReply("PONG")
        await s.until(lambda: s.program.front.open_request_count() == 3 and len(s.servers[0].seen) == 2)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0)
        # An idle client is still served: the process does not exit early.
        assert isinstance(await idle.ask(codec.command(b"SELECT", b"0")), StatusReply)
        all_replies = [await read_until_end(client) for client in (sent, waiting, begun, idle, incomplete)]
        assert [len(replies) for replies in all_replies] == [1, 1, 1, 0, 0]
        assert [all_replies[i][0].text.split()[0] for i in range(3)] == ["ERR", "BUSY", "ERR"]
        assert not s.program.front.open_request_count()
        for client in s.clients:
            client.writer.close()
        await s.task


@async_test
async def test_no_attempt_is_started_after_all_requests_were_answered():
    async with running_program(lambda words: None) as s:
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: s.program.driver.ledger.nodes["s0"].state is NodeState.DRAINING)
        client = await s.client()
        client.send(read(1))
        await s.until(lambda: s.program.front.open_request_count() == 1)
        s.program.driver.abort_pending()
        s.program.loop_batches.stop()
        s.discovery.put("s0", s.servers[0].address, 0)  # the scheduler would start the request now
        await s.until(lambda: s.program.driver.ledger.nodes["s0"].state is NodeState.READY)
        await asyncio.sleep(0)
        assert not s.servers[0].seen and not s.program.driver.ledger.fence_trips
