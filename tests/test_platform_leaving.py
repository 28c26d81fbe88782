"""A client that leaves is asked of the kernel just before each attempt: nothing more is begun for it.

Each order is forced over real sockets: the client's end is with the kernel, and what reads the client has
not run since, is held up by answers that nobody reads, or is behind the attempt in its round of the loop.
"""

import asyncio
import socket
import struct

import pytest

from cressrock.dispatch.ledger import Verdict
from cressrock.interface import ListKind, Node, NodeList, NodeState
from cressrock.lab.platform import answer, echo
from cressrock.resp import codec
from tests.test_platform import Client, ident, on_sockets, read, stage, write
from tests.test_platform_endings import narrow, raw
from tests.test_platform_nodes import Peer, as_it_comes_up, drained

LARGE = b"y" * 1_500_000


def closes(sock):
    sock.close()


def half_closes(sock):
    sock.shutdown(socket.SHUT_WR)


def resets(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVING = [closes, half_closes, resets]
leaving = pytest.mark.parametrize("leave", LEAVING, ids=lambda leave: leave.__name__)


async def ready(s, shard=0):
    """Have an idle connection to a server on which the next attempt is begun at once."""
    s.program.transport.reuse_delay.ready_at = lambda since: since
    await served_on(s, shard=shard)


def unread(s):
    """Leave the clients' ends to whoever reads them: the sweep's look comes too late."""
    s.program.front.sweep = lambda: None


async def served_on(s, **more):
    """Have another client served, so that all that was ordered before has been carried out."""
    client = await s.client()
    assert await client.ask(read(900, **more)) == b"value of " + ident(900)


def asked(s, number):
    """Count the attempts of a request that came to servers."""
    return sum(words[2] == ident(number) for server in s.servers for words in server.seen)


def held_back(*numbers):
    """Return a script that keeps these requests out, and the way to answer them."""
    held = {}

    def script(words):
        if words[2] in [ident(number) for number in numbers]:
            held[words[2]] = words
            return None
        return echo(words)

    return held, script


def tell(s, name, index, state):
    """Have the program hear of a server, at once."""
    s.program.driver.receive_node_list(NodeList(ListKind.CHANGES, (Node(name, index, state=state),)))


@leaving
@on_sockets
async def test_a_request_with_its_clients_end_behind_it_is_not_sent_on(leave):
    """Danger: its commands are read in one round of the loop, the end that waits there in the next."""
    async with stage() as s:
        await ready(s)
        sock = raw(s)
        sock.sendall(read(1) + read(2))
        leave(sock)
        await s.until(lambda: s.program.front.submitted_count == 3 and not s.program.front.owes())
        await served_on(s)
        assert not asked(s, 1) and not asked(s, 2)
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 2
        sock.close()


@leaving
@on_sockets
async def test_no_connection_is_opened_for_a_client_that_has_left(leave):
    async with stage() as s:
        sock = raw(s)
        sock.sendall(read(1))
        leave(sock)
        await s.until(lambda: s.program.front.submitted_count == 1 and not s.program.front.owes())
        await served_on(s)
        assert s.program.transport.opened == s.servers[0].connections == 1
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@leaving
@on_sockets
async def test_a_request_that_waited_while_its_client_is_not_read_is_not_sent_on(leave):
    async with stage(lambda words: answer(LARGE) if words[2] == ident(1) else echo(words), echo) as s:
        unread(s)
        await ready(s, shard=1)
        tell(s, "s1", 1, NodeState.DRAINING)
        sock = await narrow(s)
        sock.sendall(read(1) + read(2, shard=1))
        await s.until(lambda: any(c.blocked_since is not None for c in s.program.front.clients))
        assert s.program.front.owes() == 1
        leave(sock)
        tell(s, "s1", 1, NodeState.READY)
        await served_on(s, shard=1)
        assert not asked(s, 2) and s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@leaving
@on_sockets
async def test_a_further_attempt_is_not_made_for_a_client_that_left_while_it_is_not_read(leave):
    """Danger: a reading that is paused hears of the end behind many retries."""
    out = []

    def script(words):
        if words[2] == ident(1):
            return answer(LARGE)
        if words[2] == ident(2) and not out:
            out.append(words)
            return None
        return echo(words)

    async with stage(script, script) as s:
        unread(s)
        await ready(s, shard=1)
        sock = await narrow(s)
        sock.sendall(read(1) + read(2, shard=1))
        await s.until(lambda: out and any(c.blocked_since is not None for c in s.program.front.clients))
        assert s.program.front.owes() == 1
        leave(sock)
        (writer,) = s.servers[1].open
        writer.write(codec.error("ERR failed"))
        await s.until(lambda: s.program.observer.outcomes["error"])
        await served_on(s, shard=1)
        assert asked(s, 2) == 1 and s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@pytest.mark.parametrize("way", ["connection", "rest", "descriptor"])
@leaving
@on_sockets
async def test_an_attempt_whose_client_leaves_while_it_waits_here_is_not_begun(way, leave):
    """It waits for a new connection, for one to have rested, or for a descriptor."""
    held, script = held_back(8)
    async with stage(script, echo) as s:
        pool, driver = s.program.transport, s.program.driver
        if way == "rest":
            pool.reuse_delay.should_wait = lambda at, now, *, full: True
            await served_on(s)
        elif way == "descriptor":
            object.__setattr__(pool.bounds, "max_connections", 1)
            other = await s.client()
            other.send(read(8))
            await s.until(lambda: held)
        else:
            await served_on(s, shard=1)
        sock = raw(s)
        sock.sendall(read(2, shard=int(way == "descriptor")))
        begin, begun = pool._write_if_allowed, []

        def late(connection, flight):
            if flight.call.op.name == ident(2).decode():
                begun.append(connection)
                leave(sock)
            begin(connection, flight)

        pool._write_if_allowed = late
        if way == "descriptor":
            await s.until(lambda: pool.queue)
            (writer,) = s.servers[0].open
            writer.write(echo(held[ident(8)]))
        await s.until(lambda: begun and not s.program.front.owes())
        assert not driver.in_flight and driver.ledger.answer_counts[Verdict.LEFT] == 1
        await served_on(s, shard=int(way == "descriptor"))
        assert not asked(s, 2)
        sock.close()


@leaving
@on_sockets
async def test_after_a_long_turn_the_kernel_is_asked_and_not_what_was_read_before_it(leave):
    """Danger: a process that had no turn for long sends on what its clients gave up meanwhile."""
    async with stage() as s:
        await ready(s)
        tell(s, "s0", 0, NodeState.DRAINING)
        sock, other = raw(s), await s.client()
        sock.sendall(read(2))
        other.send(read(3))
        await s.until(lambda: s.program.front.owes() == 2)
        leave(sock)
        tell(s, "s0", 0, NodeState.READY)
        s.program.driver.process_batch()  # in the same round: nothing was read since
        assert await other.reply() == b"value of " + ident(3)
        await served_on(s)
        assert not asked(s, 2) and s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@on_sockets
async def test_a_flood_that_is_still_taken_in_parts_is_not_sent_on_behind_its_end():
    """Danger: its reading is paused until all that was read is taken, and its end is behind that."""
    async with stage() as s:
        await ready(s)
        sock = raw(s)
        sock.sendall(codec.command(b"PING") * 2000 + b"".join(read(n) for n in range(1, 41)))
        await s.until(lambda: any(c.parser.has_more for c in s.program.front.clients))
        half_closes(sock)
        await s.until(lambda: s.program.front.submitted_count == 41 and not s.program.front.owes())
        await served_on(s)
        assert not any(asked(s, number) for number in range(1, 41))
        sock.close()


@pytest.mark.parametrize("may_cancel", [False, True])
@on_sockets
async def test_a_request_half_written_as_its_client_leaves_is_not_written_whole(may_cancel, monkeypatch):
    """Danger: a server begins it when its last byte is there, long after its client has gone."""
    peer = Peer()
    peer.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def small(connection):
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    as_it_comes_up(monkeypatch, small)
    async with stage() as s:
        object.__setattr__(s.program.brain.settings, "may_cancel", may_cancel)
        s.discovery.put("s0", f"127.0.0.1:{peer.address[1]}", 0)
        await s.until(lambda: s.program.servers.dials["s0"] == peer.address)
        client = await s.client()
        client.send(write(1, b"x" * 65536))
        await s.until(lambda: any(c.has_unsent for c in s.program.transport.open))
        end = peer.accept()
        client.writer.close()
        await s.until(lambda: not s.program.driver.in_flight)
        assert (
            s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
            and s.program.observer.outcomes["moot"] == 1
        )
        assert drained(end) < 65536
    peer.close()


@on_sockets
async def test_a_request_that_was_written_whole_goes_on_where_it_may_not_be_cancelled():
    async with stage(lambda words: None) as s:
        object.__setattr__(s.program.brain.settings, "may_cancel", False)
        client = await s.client()
        client.send(read(1))
        await s.until(lambda: s.servers[0].seen)
        client.writer.close()
        await s.until(lambda: not s.program.front.owes())
        assert len(s.program.driver.in_flight) == 1
        (writer,) = s.servers[0].open
        writer.write(echo(s.servers[0].seen[0]))
        await s.until(lambda: not s.program.driver.in_flight)
        assert s.program.observer.outcomes == {"ok": 1} and not s.program.driver.ledger.entries


@on_sockets
async def test_a_look_costs_nothing_where_nothing_is_begun():
    """The cost is one for an attempt, two where a connection is opened; idle clients cost none."""
    async with stage() as s:
        crowd = [await s.client() for _ in range(40)]
        for client in crowd:
            await client.ask(codec.command(b"PING"))
        looks, kind = [], type(next(iter(s.program.front.clients)))
        peer_has_closed = kind.peer_has_closed
        try:
            kind.peer_has_closed = lambda client: looks.append(client) or peer_has_closed(client)
            client = Client(*await asyncio.open_connection(*s.program.address))
            s.clients.append(client)
            assert await client.ask(read(1)) == b"value of " + ident(1)
            s.program.front.sweep()
            assert len(looks) == 2 and len(set(looks)) == 1
        finally:
            kind.peer_has_closed = peer_has_closed
