"""What ends, and what may still be owed in that instant: the clients' side, over real loopback sockets.

Each order is forced: what a test sends synchronously is in the kernel before the loop can read it.
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
from cressrock.resp import codec
from cressrock.resp import front as front_module
from cressrock.resp.codec import ErrorLine, Status
from cressrock.resp.front import Front, FrontBounds
from cressrock.resp.request import Reader
from cressrock.resp.room import choose_eviction
from tests.test_platform import READER, Client, Pipe, ident, on_sockets, read, stage, write


def raw(s, **options):
    """Connect by a plain socket: the kernel accepts it, the loop has not run."""
    sock = socket.socket()
    for option, value in options.items():
        sock.setsockopt(socket.SOL_SOCKET, getattr(socket, option), value)
    sock.connect(s.program.address)
    return sock


async def narrow(s):
    """Connect by a plain socket on which next to nothing fits: an answer stays where it is written."""
    sock = raw(s, SO_RCVBUF=4096)
    name = sock.getsockname()

    def found():
        return [c for c in s.program.front.clients if c.transport.get_extra_info("peername") == name]

    await s.until(found)
    found()[0].transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock


async def opened(s, sock):
    """Go on with a plain socket as a client."""
    client = Client(*await asyncio.open_connection(sock=sock))
    client.parser = codec.Replies(1 << 21)
    s.clients.append(client)
    return client


async def ends(client):
    """Read up to the connection's end; a reset raises."""
    rest = []
    with pytest.raises(EOFError):
        while True:
            rest.append(await client.reply())
    return rest


def served(client):
    """The front's side of a client."""
    return client.writer.get_extra_info("sockname")


def side(s, client):
    for found in (*s.program.front.clients, *s.program.front.lingering):
        if found.transport.get_extra_info("peername") == served(client):
            return found
    return None


@on_sockets
async def test_an_answer_behind_which_unread_bytes_stand_is_not_reset():
    """Danger: a close over unread bytes is a reset, which takes along the answers that are on their way."""
    async with stage() as s:
        sock = raw(s)
        # More than one read of the loop: when the error line is written, bytes stand in the kernel.
        ping = codec.command(b"PING")
        await asyncio.to_thread(sock.sendall, ping + b"GET / HTTP/1.1\r\n" + b"x" * 700_000)
        client = await opened(s, sock)
        told = await ends(client)
        assert told[0] == Status("PONG") and isinstance(told[1], ErrorLine) and len(told) == 2
        client.writer.close()
        await s.until(lambda: s.program.front.ended())


@on_sockets
async def test_what_is_read_after_the_shutdown_is_not_sent_on():
    async with stage() as s:
        client = await s.client()
        assert await client.ask(read(1)) == b"value of " + ident(1)
        side(s, client).end()
        client.send(read(2))  # crosses the shutdown
        await client.writer.drain()
        assert await ends(client) == []  # an end, no reset: its client asks anew elsewhere
        client.send(read(3))
        await s.until(
            lambda: s.program.front.lingering._discarded_bytes[side(s, client)] == len(read(2) + read(3))
        )
        client.writer.close()
        await s.until(lambda: s.program.front.ended())
        assert [words[2] for words in s.servers[0].seen] == [ident(1)]


@pytest.mark.parametrize("ending", ["sweep", "leave", "yield"])
@on_sockets
async def test_a_request_in_the_kernel_as_its_connection_would_be_ended_is_served(ending):
    async with stage() as s:
        front = s.program.front
        client, other = await s.client(), await s.client()
        assert await client.ask(read(1)) == b"value of " + ident(1)
        assert await other.ask(codec.command(b"PING")) == Status("PONG")
        mine = side(s, client)
        client.writer.get_extra_info("socket")._sock.send(read(2))  # in the kernel; the loop has not run
        if ending == "sweep":
            clock = front.clock
            front.clock = lambda: clock() + 60_000
            front.sweep()
            front.clock = clock
        elif ending == "leave":
            front.leave()
        else:
            object.__setattr__(front.bounds, "max_asking", 1)
            front._keep_idle(side(s, other))
        assert not mine.is_ending
        assert await client.reply() == b"value of " + ident(2)
        client.writer.close()


@on_sockets
async def test_a_command_that_comes_in_pieces_has_its_time_from_its_first_byte_on():
    """Danger: it begins when its connection has rested almost for too long, and is cut off half-way."""
    async with stage() as s:
        front, clock = s.program.front, s.program.front.clock
        client, silent = await s.client(), await s.client()
        assert await client.ask(read(1)) == b"value of " + ident(1)
        silent.send(read(2)[:20])
        await s.until(lambda: side(s, silent) and side(s, silent).parser.is_partial)
        front.clock = lambda: clock() + front.bounds.idle_timeout_ms - 100
        client.send(read(3)[:40])
        silent.send(read(2)[20:40])
        await s.until(lambda: side(s, client).parser.is_partial and len(side(s, silent).parser._buffer) == 40)
        front.clock = lambda: clock() + front.bounds.idle_timeout_ms + 100
        front.sweep()
        client.send(read(3)[40:])
        assert await client.reply() == b"value of " + ident(3)
        assert isinstance((await ends(silent))[0], ErrorLine)  # that never asked: bounded from connecting on


@on_sockets
async def test_half_a_command_is_waited_for_while_the_process_leaves():
    async with stage() as s:
        client = await s.client()
        client.send(read(1)[:40])
        await s.until(lambda: side(s, client).parser.is_partial)
        s.program.front.leave()
        client.send(read(1)[40:])
        assert await ends(client) == [b"value of " + ident(1)]


@on_sockets
async def test_an_evicted_connection_is_never_one_with_bytes_of_an_answer_left():
    """Danger: closed at once, it would lose the rest of an answer that its client is still reading."""
    large = b"y" * 1_500_000

    async with stage(lambda words: answer(large), limits={"sockets": 60, "memory_mb": 192}) as s:
        front = s.program.front
        slow = await narrow(s)
        slow.sendall(read(1))
        await s.until(lambda: s.servers[0].seen and any(not c.is_flushed() for c in front.clients))
        crowd = [raw(s) for _ in range(2 * front.bounds.max_connections)]
        await s.until(lambda: front.evicted >= front.bounds.max_connections)
        client = await opened(s, slow)
        assert await client.reply() == large
        for sock in crowd:
            sock.close()


@on_sockets
async def test_a_client_that_leaves_while_answers_before_its_own_are_unread_is_seen_to_leave():
    """Danger: reading is paused while a client does not read, and its end is not seen by itself."""
    large = b"y" * 1_500_000

    def script(words):
        return answer(large) if words[2] == ident(1) else None

    async with stage(script, lambda words: None) as s:
        front = s.program.front
        sock = await narrow(s)
        sock.sendall(read(1) + read(2, shard=1))
        await s.until(lambda: front.owes() == 1 and any(c.blocked_since is not None for c in front.clients))
        sock.shutdown(socket.SHUT_WR)
        await s.until(lambda: not front.owes())
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1 and not s.program.driver.pending
        sock.close()


@on_sockets
async def test_a_client_that_leaves_behind_something_unreadable_is_seen_to_leave():
    async with stage(lambda words: None) as s:
        client = await s.client()
        client.send(read(1), b"GET / HTTP/1.1\r\n\r\n")
        await s.until(lambda: s.servers[0].seen and s.program.front.malformed)
        client.writer.close()
        await s.until(lambda: not s.program.front.owes())
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1 and not s.program.driver.pending


@on_sockets
async def test_a_client_that_resets_leaves_all_that_it_had_in_one_connection():
    async with stage(lambda words: None) as s:
        client = await s.client()
        client.send(*(read(number, shard=number % 2) for number in range(1, 9)))
        await s.until(lambda: s.program.front.owes() == 8)
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
        await s.until(lambda: not s.program.front.owes())
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 8 and not s.program.driver.pending


@on_sockets
async def test_a_flood_of_commands_is_taken_in_parts_and_whole():
    """Danger: one read holds thousands of commands, and every other client's answer waits for them."""
    async with stage() as s:
        sock = raw(s)
        other = await s.client()
        number = 5000
        await asyncio.to_thread(sock.sendall, codec.command(b"PING") * number + read(1))
        taken = []
        loop = asyncio.get_running_loop()

        def look():
            mine = [c for c in s.program.front.clients if c.parser.has_more]
            taken.append(bool(mine))
            if all(words[2] != ident(1) for words in s.servers[0].seen):
                loop.call_soon(look)

        look()
        assert await other.ask(read(2)) == b"value of " + ident(2)
        client = await opened(s, sock)
        for _ in range(number):
            assert await client.reply() == Status("PONG")
        assert await client.reply() == b"value of " + ident(1)
        # Between the parts the loop went round, again and again.
        assert sum(taken) >= number // s.program.front.bounds.max_pipeline // 2


@on_sockets
async def test_a_flood_whose_connection_is_not_quiet_yet_is_not_ended():
    async with stage() as s:
        front, took, seen = s.program.front, s.program.front._command, []

        def leave():
            seen.append([c.parser.has_more for c in front.clients])
            front.leave()

        def taking(*what):
            if front.submitted_count == 0 and not seen:
                seen.append(None)
                asyncio.get_running_loop().call_soon(leave)  # behind the first part of the flood
            return took(*what)

        front._command = taking
        sock = raw(s)
        sock.sendall(codec.command(b"PING") * 1000 + read(1))
        await s.until(lambda: len(seen) == 2)
        assert seen[1] == [True] and not any(c.is_ending for c in front.clients)
        told = await ends(await opened(s, sock))
        assert len(told) == 1001 and told[-1] == b"value of " + ident(1)


@on_sockets
async def test_a_connection_whose_commands_were_read_and_not_taken_yet_is_not_evicted():
    front = Front(Reader(*READER), None, FrontBounds(max_connections=1, max_asking=9, max_unread=100), float)
    first, second = front.protocol(), front.protocol()
    for client in (first, second):
        client.transport = Pipe()
    front._on_connected(first)
    first.data_received(codec.command(b"PING") * 100)
    assert first.parser.has_more and first.queue == second.queue  # all that was taken is answered
    front._on_connected(second)
    assert second.transport.closed and not first.transport.closed


def test_a_crowd_does_not_go_through_all_that_are_there_for_each_that_comes(monkeypatch):
    """Danger: hundreds come in one round of the loop, and the answers that are due in it wait for them."""
    looked = []

    def counted(heads, newcomers):
        looked.append(len(heads))
        return choose_eviction(heads, newcomers)

    monkeypatch.setattr(front_module, "choose_eviction", counted)
    bounds = FrontBounds(max_connections=100, max_asking=99, max_unread=100)
    front = Front(Reader(*READER), None, bounds, lambda: 0.0)
    for _ in range(300):
        client = front.protocol()
        client.transport = Pipe()
        front._on_connected(client)
    assert front.evicted == 200 and len(front.clients) == 100
    assert len(looked) == 200 and max(looked) <= 2


@on_sockets
async def test_what_was_heard_as_room_was_sought_is_found_again_when_it_was_read():
    bounds = FrontBounds(max_connections=2, max_asking=9, max_unread=100)
    front = Front(Reader(*READER), None, bounds, lambda: 0.0)

    def come():
        client = front.protocol()
        client.transport = Pipe()
        front._on_connected(client)
        return client

    first, second = come(), come()
    first.transport.ends[1].send(b"x")
    third = come()
    assert second.transport.closed and not first.transport.closed and not third.transport.closed
    first.data_received(first.transport.ends[0].recv(9).replace(b"x", b"*1"))  # half a command
    third.transport.ends[1].send(b"x")
    assert not come().transport.closed and first.transport.closed and not third.transport.closed


def short(monkeypatch, **figures):
    for name, value in figures.items():
        monkeypatch.setattr(stopping, name, value)


@on_sockets
async def test_a_connection_in_the_backlog_as_the_listener_closes_is_served(monkeypatch):
    async with stage() as s:
        listener, last = s.program.listener, s.program.front.clock() + 10_000
        sock = raw(s)  # accepted by the kernel alone
        sock.sendall(read(1))
        await s.program._unlisten(listener, last)
        client = await opened(s, sock)
        assert await client.reply() == b"value of " + ident(1)
        assert not listener.is_serving()


@on_sockets
async def test_an_answer_that_is_still_leaving_as_the_process_ends_is_waited_for(monkeypatch):
    """Danger: what the loop or the kernel holds of an answer goes with the process."""
    short(monkeypatch, NEW_MS=0.0, COUNTED_MS=100.0, ADDED_MS=20_000.0, AHEAD_MS=19_900.0, EXIT_MS=0.0)
    large = b"y" * 1_500_000
    async with stage(lambda words: answer(large)) as s:
        sock = await narrow(s)
        sock.sendall(read(1))
        await s.until(lambda: any(not c.is_flushed() for c in s.program.front.clients))
        os.kill(os.getpid(), signal.SIGTERM)
        await s.until(lambda: s.program.turns._ended)  # all is answered, and the process only waits
        await asyncio.wait([s.task], timeout=0.2)  # a process that does not wait would be gone by now
        assert not s.task.done()
        client = await opened(s, sock)
        assert await ends(client) == [large]
        client.writer.close()
        await s.task


@on_sockets
async def test_sigterm_twice_and_while_requests_wait_and_are_out_answers_each_once(monkeypatch):
    short(monkeypatch, NEW_MS=10.0, COUNTED_MS=100.0, ADDED_MS=400.0, AHEAD_MS=100.0, EXIT_MS=0.0)

    def half(words):
        return echo(words)[:12] if words[2] == ident(3) else None

    async with stage(half) as s:
        s.discovery.put("s9", "127.0.0.1:1", 3, health="leaving")
        out, waits, begun, resting, halved = [await s.client() for _ in range(5)]
        out.send(write(1, b"x"))
        waits.send(read(2, shard=3))
        begun.send(write(3, b"y"))
        halved.send(read(4)[:30])
        assert await resting.ask(codec.command(b"PING")) == Status("PONG")
        await s.until(lambda: s.program.front.owes() == 3 and len(s.servers[0].seen) == 2)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0)
        # A client that rests is served on; the process is not gone before its time.
        assert isinstance(await resting.ask(codec.command(b"SELECT", b"0")), Status)
        told = [await ends(client) for client in (out, waits, begun, resting, halved)]
        assert [len(replies) for replies in told] == [1, 1, 1, 0, 0]
        assert [told[i][0].text.split()[0] for i in range(3)] == ["ERR", "BUSY", "ERR"]
        assert not s.program.front.owes()
        for client in s.clients:
            client.writer.close()
        await s.task


@on_sockets
async def test_nothing_is_ordered_once_all_is_answered():
    async with stage(lambda words: None) as s:
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: s.program.driver.ledger.nodes["s0"].state is NodeState.DRAINING)
        client = await s.client()
        client.send(read(1))
        await s.until(lambda: s.program.front.owes() == 1)
        s.program.driver.abort_pending()
        s.program.turns.end()
        s.discovery.put("s0", s.servers[0].address, 0)  # the decision module would send now
        await s.until(lambda: s.program.driver.ledger.nodes["s0"].state is NodeState.READY)
        await asyncio.sleep(0)
        assert not s.servers[0].seen and not s.program.driver.ledger.fence_trips
