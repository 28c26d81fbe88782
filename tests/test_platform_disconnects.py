"""No attempt is started for a client that has disconnected; the kernel is asked just before each attempt.

The order of events is forced over real sockets: the kernel knows of the disconnect, but the front has not
read it.  It has not run, or reading is paused, or it runs later in the same loop iteration.
"""

import asyncio
import socket
import struct

import pytest

from cressrock.dispatch.ledger import Verdict
from cressrock.interface import ListKind, Node, NodeList, NodeState
from cressrock.lab.platform import answer, echo
from cressrock.resp import codec
from cressrock.resp.codec import ErrorReply
from cressrock.resp.used_ids import UsedIds
from tests.test_platform import Client, async_test, read, request_id, running_program, write
from tests.test_platform_connections import connect_raw, connect_with_small_buffers
from tests.test_platform_pool import ManualServer, patch_connection_made, read_to_end

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


async def prepare_idle_connection(s, shard=0):
    """Open an idle connection to a server, and remove the delay before its reuse."""
    s.program.transport.reuse_delay.ready_at = lambda since: since
    await serve_other_client(s, shard=shard)


def disable_sweep(s):
    """Disable the front's sweep, which would also detect disconnects."""
    s.program.front.sweep = lambda: None


async def serve_other_client(s, **more):
    """Serve a request of another client, so that everything started before is complete."""
    client = await s.client()
    assert await client.ask(read(900, **more)) == b"value of " + request_id(900)


def count_attempts(s, number):
    """Return the number of attempts of a request that reached servers."""
    return sum(words[2] == request_id(number) for server in s.servers for words in server.seen)


def withhold(*numbers):
    """Return the withheld requests by id, and a server script that answers all but those with `numbers`."""
    withheld = {}

    def script(words):
        if words[2] in [request_id(number) for number in numbers]:
            withheld[words[2]] = words
            return None
        return echo(words)

    return withheld, script


def deliver_state(s, name, index, state):
    """Deliver a node's state to the program at once."""
    s.program.driver.receive_node_list(NodeList(ListKind.CHANGES, (Node(name, index, state=state),)))


@leaving
@async_test
async def test_a_request_followed_by_a_disconnect_is_not_sent(leave):
    """Its commands are read in one iteration of the event loop, but the end only in the next."""
    async with running_program() as s:
        await prepare_idle_connection(s)
        sock = connect_raw(s)
        sock.sendall(read(1) + read(2))
        leave(sock)
        await s.until(
            lambda: s.program.front.submitted_count == 3 and not s.program.front.open_request_count()
        )
        await serve_other_client(s)
        assert not count_attempts(s, 1) and not count_attempts(s, 2)
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 2
        sock.close()


@leaving
@async_test
async def test_no_connection_is_opened_for_a_disconnected_client(leave):
    async with running_program() as s:
        sock = connect_raw(s)
        sock.sendall(read(1))
        leave(sock)
        await s.until(
            lambda: s.program.front.submitted_count == 1 and not s.program.front.open_request_count()
        )
        await serve_other_client(s)
        assert s.program.transport.opened_count == s.servers[0].connections == 1
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@leaving
@async_test
async def test_a_waiting_request_is_not_sent_after_a_disconnect_while_reading_is_paused(leave):
    async with running_program(
        lambda words: answer(LARGE) if words[2] == request_id(1) else echo(words), echo
    ) as s:
        disable_sweep(s)
        await prepare_idle_connection(s, shard=1)
        deliver_state(s, "s1", 1, NodeState.DRAINING)
        sock = await connect_with_small_buffers(s)
        sock.sendall(read(1) + read(2, shard=1))
        await s.until(lambda: any(c.blocked_since is not None for c in s.program.front.clients))
        assert s.program.front.open_request_count() == 1
        leave(sock)
        deliver_state(s, "s1", 1, NodeState.READY)
        await serve_other_client(s, shard=1)
        assert not count_attempts(s, 2) and s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@leaving
@async_test
async def test_no_retry_is_made_after_a_disconnect_while_reading_is_paused(leave):
    """While reading is paused, the end would be read only after many retries."""
    withheld_requests = []

    def script(words):
        if words[2] == request_id(1):
            return answer(LARGE)
        if words[2] == request_id(2) and not withheld_requests:
            withheld_requests.append(words)
            return None
        return echo(words)

    async with running_program(script, script) as s:
        disable_sweep(s)
        await prepare_idle_connection(s, shard=1)
        sock = await connect_with_small_buffers(s)
        sock.sendall(read(1) + read(2, shard=1))
        await s.until(
            lambda: withheld_requests and any(c.blocked_since is not None for c in s.program.front.clients)
        )
        assert s.program.front.open_request_count() == 1
        leave(sock)
        (writer,) = s.servers[1].open
        writer.write(codec.error("ERR failed"))
        await s.until(lambda: s.program.observer.outcomes["error"])
        await serve_other_client(s, shard=1)
        assert count_attempts(s, 2) == 1 and s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@pytest.mark.parametrize("waits_for", ["connection", "rest", "descriptor"])
@leaving
@async_test
async def test_an_attempt_is_not_started_after_a_disconnect_while_it_waits(waits_for, leave):
    """It waits for a new connection, for one to become reusable, or for a descriptor."""
    withheld, script = withhold(8)
    async with running_program(script, echo) as s:
        pool, driver = s.program.transport, s.program.driver
        if waits_for == "rest":
            pool.reuse_delay.should_wait = lambda at, now, *, full: True
            await serve_other_client(s)
        elif waits_for == "descriptor":
            object.__setattr__(pool.bounds, "max_connections", 1)
            other = await s.client()
            other.send(read(8))
            await s.until(lambda: withheld)
        else:
            await serve_other_client(s, shard=1)
        sock = connect_raw(s)
        sock.sendall(read(2, shard=int(waits_for == "descriptor")))
        original, started = pool._write_if_allowed, []

        def disconnect_then_write(connection, flight):
            if flight.call.op.name == request_id(2).decode():
                started.append(connection)
                leave(sock)
            original(connection, flight)

        pool._write_if_allowed = disconnect_then_write
        if waits_for == "descriptor":
            await s.until(lambda: pool.queue)
            (writer,) = s.servers[0].open
            writer.write(echo(withheld[request_id(8)]))
        await s.until(lambda: started and not s.program.front.open_request_count())
        assert not driver.in_flight and driver.ledger.answer_counts[Verdict.LEFT] == 1
        await serve_other_client(s, shard=int(waits_for == "descriptor"))
        assert not count_attempts(s, 2)
        sock.close()


@leaving
@async_test
async def test_a_disconnect_during_a_stall_of_the_process_is_detected(leave):
    """A process that was not scheduled for long must not send requests whose clients have given up."""
    async with running_program() as s:
        await prepare_idle_connection(s)
        deliver_state(s, "s0", 0, NodeState.DRAINING)
        sock, other = connect_raw(s), await s.client()
        sock.sendall(read(2))
        other.send(read(3))
        await s.until(lambda: s.program.front.open_request_count() == 2)
        leave(sock)
        deliver_state(s, "s0", 0, NodeState.READY)
        s.program.driver.process_batch()  # in the same iteration: nothing has been read since
        assert await other.reply() == b"value of " + request_id(3)
        await serve_other_client(s)
        assert not count_attempts(s, 2) and s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
        sock.close()


@async_test
async def test_buffered_requests_are_not_sent_after_a_disconnect():
    """Reading is paused until all buffered commands are processed, so the end is not read before that."""
    async with running_program() as s:
        disable_sweep(s)
        await prepare_idle_connection(s)
        sock = connect_raw(s)
        sock.sendall(codec.command(b"PING") * 2000 + b"".join(read(n) for n in range(1, 41)))
        await s.until(lambda: any(c.parser.has_more for c in s.program.front.clients))
        half_closes(sock)
        await s.until(
            lambda: s.program.front.submitted_count == 41 and not s.program.front.open_request_count()
        )
        await serve_other_client(s)
        assert not any(count_attempts(s, number) for number in range(1, 41))
        sock.close()


@async_test
async def test_buffered_requests_are_dropped_once_the_sweep_finds_the_disconnect():
    """The sweep asks the kernel for connections that are not read: what is buffered is not even submitted."""
    async with running_program() as s:
        await prepare_idle_connection(s)
        sweep = s.program.front.sweep
        disable_sweep(s)
        sock = connect_raw(s)
        sock.sendall(codec.command(b"PING") * 2000 + b"".join(read(n) for n in range(1, 41)))
        await s.until(lambda: any(c.parser.has_more for c in s.program.front.clients))
        half_closes(sock)
        sweep()
        await serve_other_client(s)
        assert s.program.front.submitted_count == 2
        assert not s.program.front.open_request_count()
        assert not any(count_attempts(s, number) for number in range(1, 41))
        sock.close()


@pytest.mark.parametrize("may_cancel", [False, True])
@async_test
async def test_a_partly_written_request_is_stopped_after_a_disconnect(may_cancel, monkeypatch):
    """Otherwise the server starts the request when it gets the last byte, long after the disconnect."""
    peer = ManualServer()
    peer.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def shrink_buffer(connection):
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    patch_connection_made(monkeypatch, shrink_buffer)
    async with running_program() as s:
        object.__setattr__(s.program.scheduler.settings, "may_cancel", may_cancel)
        s.discovery.put("s0", f"127.0.0.1:{peer.address[1]}", 0)
        await s.until(lambda: s.program.servers.dial_addresses["s0"] == peer.address)
        client = await s.client()
        client.send(write(1, b"x" * 65536))
        await s.until(lambda: any(c.has_unsent for c in s.program.transport.open_connections))
        end = peer.accept()
        client.writer.close()
        await s.until(lambda: not s.program.driver.in_flight)
        assert (
            s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1
            and s.program.observer.outcomes["moot"] == 1
        )
        assert read_to_end(end) < 65536
    peer.close()


@async_test
async def test_a_completely_written_request_continues_if_cancelling_is_disabled():
    async with running_program(lambda words: None) as s:
        object.__setattr__(s.program.scheduler.settings, "may_cancel", False)
        client = await s.client()
        client.send(read(1))
        await s.until(lambda: s.servers[0].seen)
        client.writer.close()
        await s.until(lambda: not s.program.front.open_request_count())
        assert len(s.program.driver.in_flight) == 1
        (writer,) = s.servers[0].open
        writer.write(echo(s.servers[0].seen[0]))
        await s.until(lambda: not s.program.driver.in_flight)
        assert s.program.observer.outcomes == {"ok": 1} and not s.program.driver.ledger.entries


@pytest.mark.parametrize("state", ["running", "over"])
@async_test
async def test_an_id_that_comes_again_after_its_client_left_is_not_sent_again(state):
    """Regression (issue 61, picture (c)): an id was free once its client had gone, and it ran twice."""
    withheld, script = withhold(1)
    async with running_program(script) as s:
        first, second = await s.client(), await s.client()
        first.send(write(1, b"x"))
        await s.until(lambda: withheld)
        first.writer.transport.abort()
        await s.until(lambda: s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1)
        if state == "over":
            for writer in list(s.servers[0].open):
                writer.write(echo(withheld[request_id(1)]))
            await s.until(lambda: not s.program.driver.ledger.entries)
        reply = await second.ask(write(1, b"x"))
        assert isinstance(reply, ErrorReply)
        assert reply.text.startswith("ERR")
        assert count_attempts(s, 1) == 1


@async_test
async def test_an_id_that_was_served_is_not_sent_again():
    async with running_program() as s:
        client = await s.client()
        assert await client.ask(write(1, b"x")) == b"value of " + request_id(1)
        assert isinstance(await client.ask(write(1, b"x")), ErrorReply)
        assert await client.ask(read(2)) == await client.ask(read(2))  # a second run of a read is harmless
        assert count_attempts(s, 1) == 1


@async_test
async def test_an_id_whose_request_was_never_sent_may_come_again():
    async with running_program(lambda words: None) as s:
        s.discovery.put("s9", "127.0.0.1:1", 3, health="leaving")
        first, second = await s.client(), await s.client()
        first.send(write(1, b"x", shard=3))
        await s.until(lambda: s.program.front.open_request_count() == 1)
        first.writer.transport.abort()
        await s.until(lambda: s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1)
        second.send(write(1, b"x"))
        await s.until(lambda: count_attempts(s, 1) == 1)


def test_used_ids_are_bounded_and_end_with_their_clients_time():
    ids = UsedIds(max_count=2)
    ids.record("a", 100.0)
    ids.record("b", 50.0)
    assert ids.is_used("a", 99.0)
    assert not ids.is_used("b", 50.0)
    ids.record("c", 100.0)
    assert not ids.is_used("a", 0.0)
    ids.expire(60.0)
    assert len(ids) == 1


async def fill_kernel_buffers(sock, data):
    """Send until the kernel takes no more for a while, or all of it; return how many bytes it took."""
    sock.setblocking(False)
    sent, refusals = 0, 0
    while sent < len(data) and refusals < 10:
        try:
            sent += sock.send(data[sent:])
            refusals = 0
        except BlockingIOError:
            refusals += 1
            await asyncio.sleep(0.005)
    return sent


@leaving
@async_test
async def test_a_disconnect_behind_much_input_is_noticed(leave):
    """Regression (review/10): behind 256 answers the input was not read on, nor the end that came behind it.

    The requests of the client, which waited for the first one, were sent for as long as that had no answer.
    """
    async with running_program(lambda words: None) as s:
        front = s.program.front
        sock = connect_raw(s)
        refused = [read(number) for number in range(1, 300)]  # most are, as too many are open
        large = [write(number, b"w" * 60_000) for number in range(300, 360)]
        taken = await fill_kernel_buffers(sock, b"".join(refused + large))
        assert taken > 1_000_000  # more than the receiver's buffer, so that the end stays behind
        await s.until(lambda: front.submitted_count)
        leave(sock)
        await s.until(lambda: not front.open_request_count())
        counts = s.program.driver.ledger.answer_counts
        assert front.submitted_count == counts[Verdict.LEFT]
        assert counts.total() == counts[Verdict.LEFT]
        sock.close()


@async_test
async def test_a_disconnect_behind_input_that_waits_for_room_is_noticed():
    """Where memory is short, input waits in the kernel, and the end behind it is not known."""
    async with running_program(lambda words: None) as s:
        front = s.program.front
        account = front.admission.account
        taken = account.bounds.max_bytes
        account.change(taken)  # no room for any request
        sock = connect_raw(s)
        data = b"".join(write(number, b"w" * 60_000) for number in range(1, 40))
        assert await fill_kernel_buffers(sock, data) > 1_000_000  # more than the receiver's buffer
        await s.until(lambda: front.admission.counts.paused)
        sock.close()
        await asyncio.sleep(0.2)  # the platform allows 0.15 s
        account.change(-taken)
        front.admission.on_release()
        await s.until(lambda: not front.clients or s.servers[0].seen)
        assert not s.servers[0].seen


@async_test
async def test_disconnects_are_checked_only_when_attempts_are_started():
    """An attempt costs one check, or two if it opens a connection; idle clients cost none."""
    async with running_program() as s:
        idle_clients = [await s.client() for _ in range(40)]
        for client in idle_clients:
            await client.ask(codec.command(b"PING"))
        checks, client_type = [], type(next(iter(s.program.front.clients)))
        peer_has_closed = client_type.peer_has_closed
        try:
            client_type.peer_has_closed = lambda client: checks.append(client) or peer_has_closed(client)
            client = Client(*await asyncio.open_connection(*s.program.address))
            s.clients.append(client)
            assert await client.ask(read(1)) == b"value of " + request_id(1)
            s.program.front.sweep()
            assert len(checks) == 2 and len(set(checks)) == 1
        finally:
            client_type.peer_has_closed = peer_has_closed
