"""The platform's dispatcher over loopback sockets, with scripted clients, servers and discovery."""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import wraps
from types import SimpleNamespace

import pytest

from cressrock.dispatch.ledger import Attempt, Verdict
from cressrock.interface import Node, NodeState, Outcome
from cressrock.lab.platform import Discovery, StorageServer, answer, config, echo
from cressrock.platform import stopping
from cressrock.platform.config import parse
from cressrock.platform.program import Program
from cressrock.resp import codec
from cressrock.resp import front as front_module
from cressrock.resp.codec import ErrorReply, StatusReply
from cressrock.resp.connection_pool import PoolBounds, RespTransport
from cressrock.resp.front import Front, FrontBounds
from cressrock.resp.in_flight_attempt import InFlightAttempt
from cressrock.resp.lingering import LingerBounds
from cressrock.resp.memory_account import MIB
from cressrock.resp.request import CommandReader
from cressrock.resp.server_connection import ServerConnection

PIECE = b"7f3a9c21e0b4d655"
DISPATCHER_BYTES = 24 * MIB  # of a process of its own as it begins to serve


def names(c="read", d=4000, shard=0, **more):
    values = {
        "c": c,
        "t": "gold",
        "d": d,
        "volume": "00000003b4d60021",
        "units": 2,
        "shard": shard,
        "hosts": 1,
    } | more
    return ",".join(f"{k}={v}" for k, v in values.items()).encode()


def request_id(number):
    return f"{number:016x}".encode()


def read(number, **more):
    return codec.command(b"IO.IN", PIECE, request_id(number), names(**more))


def write(number, body, **more):
    return codec.command(
        b"IO.OUT", PIECE, request_id(number), names(c="write", k=f"{number:016x}", **more), body
    )


class Client:
    def __init__(self, reader, writer):
        self.reader, self.writer, self.parser = reader, writer, codec.ReplyParser()

    def send(self, *data):
        self.writer.write(b"".join(data))

    async def reply(self):
        """Return the next reply.  Raises EOFError at the end of the connection."""
        while (found := self.parser.next()) is None:
            data = await self.reader.read(65536)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return found[0]

    async def ask(self, *data):
        self.send(*data)
        return await self.reply()


class RunningProgram:
    """Discovery, one storage server per shard, and a running program."""

    def __init__(self, discovery, servers, program, task):
        self.discovery, self.servers, self.program, self.task = discovery, servers, program, task
        self.clients = []

    async def client(self):
        client = Client(*await asyncio.open_connection(*self.program.address))
        self.clients.append(client)
        return client

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.005)


@asynccontextmanager
async def running_program(*scripts, **changes):
    discovery = await Discovery().start()
    servers = [await StorageServer(script).start() for script in scripts or (echo,)]
    for index, server in enumerate(servers):
        discovery.put(f"s{index}", server.address, index)
    program = Program(
        parse(json.dumps(config(discovery, **changes))), "", measure_memory=lambda: DISPATCHER_BYTES
    )
    task = asyncio.create_task(program.run())
    found = RunningProgram(discovery, servers, program, task)
    await found.until(lambda: program.address is not None or task.done())
    try:
        yield found
    finally:
        for client in found.clients:
            client.writer.transport.abort()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for server in servers:
            await server.stop()


def async_test(test):
    """Run an async test with a 30 s limit; the limit only ends tests that hang."""

    @wraps(test)
    def run(**fixtures):
        async def bounded():
            async with asyncio.timeout(30):
                await test(**fixtures)

        asyncio.run(bounded())

    return run


@async_test
async def test_a_read_and_a_write_are_forwarded_with_their_words_unchanged():
    async with running_program() as s:
        client = await s.client()
        assert await client.ask(codec.command(b"PING")) == StatusReply("PONG")
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        pool = s.program.transport
        reusable_at = pool.reuse_delay.ready_at(next(iter(pool.open_connections)).idle_since)
        await s.until(lambda: pool.clock() >= reusable_at)  # the delay before reuse
        assert await client.ask(write(2, b"x" * 65536)) == b"value of " + request_id(2)
        first, second = s.servers[0].seen
        assert first[:3] == [b"IO.IN", PIECE, request_id(1)] and len(first) == 4
        assert second[0] == b"IO.OUT" and second[4] == b"x" * 65536
        assert b",k=" + request_id(2) in second[3]
        assert s.servers[0].connections == 1  # the second attempt reused the first connection


@async_test
async def test_answers_are_in_the_order_of_the_commands():
    held = []

    def slow(words):
        if words[2] == request_id(1):
            held.append(words)
            return None
        return echo(words)

    async with running_program(slow, echo) as s:
        client = await s.client()
        client.send(read(1), read(2, shard=1), codec.command(b"PING"), read(3, shard=1))
        await s.until(lambda: len(s.servers[1].seen) == 2)
        for writer in s.servers[0].open:
            writer.write(echo(held[0]))
        assert [await client.reply() for _ in range(4)] == [
            b"value of " + request_id(1),
            b"value of " + request_id(2),
            StatusReply("PONG"),
            b"value of " + request_id(3),
        ]


@async_test
async def test_a_request_with_an_open_id_is_refused():
    async with running_program(lambda words: None) as s:
        first, second = await s.client(), await s.client()
        first.send(read(1))
        await s.until(lambda: s.servers[0].seen)
        reply = await second.ask(read(1))
        assert isinstance(reply, ErrorReply) and reply.text.startswith("ERR")
        assert len(s.servers[0].seen) == 1


@async_test
async def test_invalid_input_is_answered_with_an_error_and_a_close():
    async with running_program() as s:
        for bad in (b"GET / HTTP/1.1\r\n\r\n", b"*2\r\n$1\r\na\r\n$62914560\r\n", b"*-7\r\n", b"x" * 100000):
            client = await s.client()
            client.send(read(1), bad)
            assert await client.reply() == b"value of " + request_id(1)
            assert isinstance(await client.reply(), ErrorReply)
            with pytest.raises((EOFError, ConnectionError)):
                await client.reply()
        assert s.program.front.invalid_input_count == 4


@async_test
async def test_an_invalid_command_gets_an_error():
    async with running_program() as s:
        client = await s.client()
        others = (codec.command(b"IO.IN"), codec.command(b"FLUSHALL"))
        for bad in (read(1, c="lead"), read(1, d="soon"), *others):
            reply = await client.ask(bad)
            assert isinstance(reply, ErrorReply) and reply.text.startswith("ERR")
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        assert len(s.servers[0].seen) == 1


@async_test
async def test_silent_connections_are_closed_and_those_with_open_requests_are_not():
    async with running_program(lambda words: None) as s:
        silent, half, waiting = [await s.client() for _ in range(3)]
        half.send(read(1)[:30])
        waiting.send(read(2))
        await s.until(lambda: s.servers[0].seen and any(c.parser.is_partial for c in s.program.front.clients))
        clock = s.program.front.clock
        s.program.front.clock = lambda: clock() + 3000
        s.program.front.sweep()
        with pytest.raises(EOFError):
            await silent.reply()
        assert isinstance(await half.reply(), ErrorReply)
        await s.until(lambda: len(s.program.front.clients) == 1)
        assert s.program.front.open_request_count() == 1


@async_test
async def test_silent_connections_are_evicted_for_new_ones():
    async with running_program(limits={"sockets": 60, "memory_mb": 64}) as s:
        most = s.program.front.bounds.max_connections
        for _ in range(2 * most):
            await s.client()
        client = await s.client()
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        assert len(s.program.front.clients) <= most


@async_test
async def test_a_burst_of_silent_connections_does_not_evict_clients_with_requests():
    """All are accepted before any is read, so clients with a request look as silent as the others."""
    async with running_program(limits={"sockets": 60, "memory_mb": 64}) as s:
        most = s.program.front.bounds.max_connections
        raw = []
        for number in range(3 * most):
            asks = number % 4 == 1 and number < 2 * most
            raw.append((socket.create_connection(s.program.address), asks))
            if asks:
                raw[-1][0].sendall(read(number))
        for (sock, asks), number in zip(raw, range(3 * most), strict=True):
            if asks:
                client = Client(*await asyncio.open_connection(sock=sock))
                s.clients.append(client)
                assert await client.reply() == b"value of " + request_id(number)
        assert s.program.front.evicted_count >= most
        for sock, asks in raw:
            if not asks:
                sock.close()


@async_test
async def test_requests_open_at_the_end_of_the_shutdown_are_answered(monkeypatch):
    """Otherwise a request whose deadline is after the platform's time limit for SIGTERM gets no answer."""
    for name, value in (
        ("ACCEPT_AFTER_SIGTERM_MS", 20.0),
        ("MAX_DEADLINE_WAIT_MS", 100.0),
        ("KILL_ALLOWANCE_MS", 150.0),
        ("ANSWER_LEAD_MS", 50.0),
    ):
        monkeypatch.setattr(stopping, name, value)
    async with running_program(lambda words: None) as s:
        client, other = await s.client(), await s.client()
        client.send(write(1, b"x", d=4000))
        other.send(read(2))
        await s.until(lambda: s.servers[0].seen and s.program.front.open_request_count() == 2)
        os.kill(os.getpid(), signal.SIGTERM)
        await s.task
        assert s.program.front.open_request_count() == 0  # the process may exit at any time from here on
        replies = [await client.reply(), await other.reply()]
        assert [reply.text.split()[0] for reply in replies] == ["ERR", "BUSY"]
        with pytest.raises(EOFError):
            await client.reply()


@async_test
async def test_the_log_lists_beliefs_only_for_servers_in_use(capsys):
    """Otherwise the few servers in use are hard to find among hundreds in the log line."""
    async with running_program(echo, echo, echo) as s:
        client = await s.client()
        await client.ask(read(1, shard=1))
        s.program._report()
        (line,) = [line for line in capsys.readouterr().err.splitlines() if " belief: " in line]
        assert "s1:ready" in line and "s0:" not in line and line.endswith("2 not used yet")


INVALID_ANSWERS = {
    "noise": b"\x8f\x02\xff noise\r\n",
    "an endless line": b"+" + b"x" * 4000,
    "a value of 3 GB": b"*3\r\n$3000000000\r\nxxxxxxxx",
    "a length too short": answer(b"0123456789").replace(b"$10", b"$4"),
    "no value": b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
    "a bulk string instead of an array": b"$5\r\nvalue\r\n",
    "a status line": b"+OK\r\n",
    "incomplete": b"*3\r\n$10\r\n0123",
}


@pytest.mark.parametrize("kind", INVALID_ANSWERS)
def test_an_invalid_answer_is_a_failed_attempt_and_is_not_served(kind):
    def script(words):
        return INVALID_ANSWERS[kind] if len(server[0].seen) == 1 else echo(words)

    server = []

    @async_test
    async def test():
        async with running_program(script) as s:
            server.append(s.servers[0])
            client = await s.client()
            assert await client.ask(read(1)) == b"value of " + request_id(1)  # from a second attempt
            assert s.program.observer.outcomes["error"] == 1
            assert s.servers[0].connections == 2  # the connection with the invalid answer was not reused

    test()


@pytest.mark.parametrize("more", [echo([b"", b"", request_id(1)]), b"noise", b"$-1\r\n"])
def test_bytes_after_an_answer_are_not_read_as_the_next_answer(more):
    @async_test
    async def test():
        async with running_program(lambda words: echo(words) + more) as s:
            client = await s.client()
            for number in (1, 2, 3):
                assert await client.ask(read(number)) == b"value of " + request_id(number)
            assert s.servers[0].connections == 3

    test()


@async_test
async def test_bytes_on_an_idle_connection_close_it():
    async with running_program() as s:
        client = await s.client()
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        for writer in s.servers[0].open:
            writer.write(answer(b"of nobody"))
        await s.until(lambda: not s.program.transport.open_connections)
        assert await client.ask(read(2)) == b"value of " + request_id(2)


@async_test
async def test_a_write_that_may_have_run_fails_and_one_answered_busy_is_refused():
    failed, busy = codec.error("ERR failed used=5,cost=1"), codec.error("BUSY")
    async with running_program(lambda words: failed, lambda words: busy) as s:
        client = await s.client()
        reply = await client.ask(write(1, b"b", d=400))
        assert isinstance(reply, ErrorReply) and not reply.text.startswith("BUSY")
        reply = await client.ask(write(2, b"b", d=400, shard=1))
        assert isinstance(reply, ErrorReply) and reply.text.startswith("BUSY")
        assert len(s.servers[0].seen) <= 3 and s.servers[1].seen


@async_test
async def test_a_disconnected_clients_attempt_is_cancelled():
    async with running_program(lambda words: None) as s:
        client = await s.client()
        client.send(read(1))
        await s.until(lambda: s.servers[0].seen)
        client.writer.close()
        await s.until(lambda: not s.servers[0].open)
        driver = s.program.driver
        assert not driver.pending and not driver.ledger.entries and not s.program.front.open_request_count()
        # Without the notification to the driver, the above would hold only at the request's deadline.
        assert driver.ledger.answer_counts[Verdict.LEFT] == 1
        assert s.program.observer.outcomes["cancelled"] == 1 and not s.program.observer.outcomes["timeout"]


@async_test
async def test_a_waiting_request_of_a_disconnected_client_is_never_sent():
    """A request can wait for a server, a connection or a descriptor; here its only server is draining."""
    async with running_program(lambda words: None) as s:
        first, second = await s.client(), await s.client()
        first.send(read(1))
        await s.until(lambda: s.servers[0].seen)
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: s.program.driver.ledger.nodes["s0"].state is NodeState.DRAINING)
        second.send(read(2))
        await s.until(lambda: s.program.front.open_request_count() == 2)
        second.writer.close()
        await s.until(lambda: s.program.front.open_request_count() == 1)
        assert s.program.driver.ledger.answer_counts[Verdict.LEFT] == 1 and len(s.program.driver.pending) == 1
        s.discovery.put("s0", s.servers[0].address, 0)
        await s.until(lambda: s.program.driver.ledger.nodes["s0"].state is NodeState.READY)
        third = await s.client()
        third.send(read(3))
        await s.until(lambda: len(s.servers[0].seen) == 2)
        assert [words[2] for words in s.servers[0].seen] == [request_id(1), request_id(3)]


@async_test
async def test_a_server_that_cannot_be_reached_proves_that_nothing_ran():
    async with running_program() as s:
        await s.servers[0].stop()
        client = await s.client()
        reply = await client.ask(write(1, b"b", d=3000))
        assert isinstance(reply, ErrorReply) and reply.text.startswith("BUSY")
        assert s.program.observer.outcomes["no connection"] >= 1


@async_test
async def test_an_unanswered_request_gets_an_error_and_leaves_no_state():
    async with running_program(lambda words: None) as s:
        client = await s.client()
        assert isinstance(await client.ask(read(1, d=150)), ErrorReply)
        await s.until(lambda: not s.program.driver.in_flight)
        assert not s.program.driver.ledger.entries


@async_test
async def test_changes_in_discovery_reach_the_scheduler_and_a_new_address_is_used():
    async with running_program(echo, echo) as s:
        nodes = s.program.driver.ledger.nodes
        s.discovery.put("s1", s.servers[1].address, 1, health="leaving")
        await s.until(lambda: nodes["s1"].state is NodeState.DRAINING)
        s.discovery.put("s0", s.servers[1].address, 0)  # the name now refers to another machine
        await s.until(
            lambda: s.program.servers.dial_addresses["s0"][1] == int(s.servers[1].address.split(":")[1])
        )
        client = await s.client()
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        assert s.servers[1].seen and not s.servers[0].seen


@async_test
async def test_a_failed_call_to_discovery_is_retried():
    async with running_program() as s:
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.failing = True
        s.discovery.put("s0", s.servers[0].address, 0)  # completes the watch; the next call fails
        await s.until(lambda: s.program.watch.failed_rounds)
        s.discovery.failing = False
        s.discovery.put("s9", s.servers[0].address, 3)
        await s.until(lambda: "s9" in s.program.driver.ledger.nodes)


@async_test
async def test_a_new_discovery_address_is_used_at_once():
    async with running_program() as s:
        await s.until(lambda: s.discovery.calls >= 2)  # the watch is pending
        other = await Discovery().start()
        other.version = s.discovery.version
        s.program.watch.change_address(parse(json.dumps(config(other))).discovery)
        await s.until(lambda: other.calls >= 2)
        other.put("s5", s.servers[0].address, 2)
        await s.until(lambda: "s5" in s.program.driver.ledger.nodes)
        assert not s.program.watch.failed_rounds


def test_a_missing_or_invalid_configuration_is_reported_in_one_line(tmp_path):
    broken = tmp_path / "config.json"
    broken.write_text("{")
    for path in (str(broken), str(tmp_path / "none")):
        done = subprocess.run(
            [sys.executable, "-m", "cressrock", "platform"],
            env=os.environ | {"LB_CONFIG": path},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 1 and len(done.stderr.splitlines()) == 1 and path in done.stderr


def test_the_process_reloads_on_sighup_and_answers_all_requests_after_sigterm(tmp_path):
    path = tmp_path / "config.json"

    @async_test
    async def test():
        held = []

        def script(words):
            held.append(words)
            return None

        discovery, other = await Discovery().start(), await Discovery().start()
        server = await StorageServer(script).start()
        discovery.put("s0", server.address, 0)
        with unused_port() as port:
            value = config(discovery, listen=f"127.0.0.1:{port}")
        for profile in value["settings"]["profiles"]:
            profile["give_up_ms"] = 3000.0
        path.write_text(json.dumps(value))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cressrock",
            "platform",
            env=os.environ | {"LB_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            while True:
                try:
                    client = Client(*await asyncio.open_connection("127.0.0.1", port))
                    break
                except OSError:
                    await asyncio.sleep(0.02)
            client.send(read(1, d=3000))
            await server.arrived.wait()
            path.write_text(json.dumps(value | {"discovery": other.address}))
            process.send_signal(signal.SIGHUP)
            while not other.calls:
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            for writer in server.open:
                writer.write(echo(held[0]))
            assert await client.reply() == b"value of " + request_id(1)
            server.script = echo
            # Open connections are still served.
            assert await client.ask(read(2, d=3000)) == b"value of " + request_id(2)
            with pytest.raises((EOFError, ConnectionError)):
                await client.reply()
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await server.stop()

    test()


class unused_port:  # noqa: N801
    """Return a TCP port that is not in use."""

    def __enter__(self):
        import socket

        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return probe.getsockname()[1]

    def __exit__(self, *error):
        pass


FORBIDDEN_MODULES = (
    "msgspec",
    "lxml",
    "rjsonnet",
    "prometheus_client",
    "structlog",
    "cyclopts",
    "cressrock.webdav",
    "cressrock.lab",
    "cressrock.settings",
)


def test_the_process_does_not_load_the_gateways_libraries():
    code = (
        "import sys, cressrock.cli.start, cressrock.platform.program\n"
        f"print([name for name in {FORBIDDEN_MODULES!r} if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]"


class RecordingTransport:
    """A transport that records writes; `held` is the reported size of its write buffer."""

    def __init__(self):
        self.written, self.closed, self.held = [], False, 0
        self.ends = socket.socketpair()  # a silent peer

    def __del__(self):
        for end in self.ends:
            end.close()

    def get_extra_info(self, name):
        return self.ends[0]

    def write(self, data):
        self.written.append(data)

    def abort(self):
        self.closed = True

    close = abort

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return self.held

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def write_eof(self):
        self.shut = True


class Call:
    label = ""
    deadline = 5000.0
    leave_by = float("inf")

    def __init__(self):
        self.op = CommandReader(*READER).read([b"IO.IN", PIECE, request_id(1), names()])
        self.attempt = Attempt(0, Node("s0", 0), 1000.0)
        self.endings = []

    def may_leave(self):
        return True

    def end(self, ending):
        self.endings.append(ending)


SETTINGS = parse(json.dumps(config(Discovery(address="127.0.0.1:1")))).settings
READER = (SETTINGS, ["read", "write"], ["silver", "gold"], 4)
BOUNDS = PoolBounds(
    max_connections=4, connect_timeout_ms=100.0, idle_close_ms=1000.0, max_answer=1000, stall_ms=50.0
)


def pool_with_attempt(now):
    """Return a pool, a connection that carries an attempt, and its call; `now[0]` is the time."""
    pool = RespTransport(BOUNDS, lambda: now[0], lambda name: None)
    connection, call = ServerConnection(pool, "s0"), Call()
    connection.transport = RecordingTransport()
    flight = InFlightAttempt(pool, call)
    pool._write(connection, flight)
    return pool, connection, call


def test_latency_of_a_broken_answer_excludes_the_stall():
    """Otherwise the wait for the rest would look like congestion and lower D at a healthy server."""

    async def test():
        now = [1000.0]
        pool, connection, call = pool_with_attempt(now)
        now[0] = 1020.0
        connection.data_received(b"*3\r\n$10\r\n0123")
        now[0] = 1020.0 + BOUNDS.stall_ms
        pool._on_timer()
        (ending,) = call.endings
        assert (ending.outcome, ending.latency_ms, connection.transport.closed) == (Outcome.ERROR, 20.0, True)

    asyncio.run(test())


def test_an_answer_that_keeps_arriving_is_not_broken():
    async def test():
        now = [1000.0]
        pool, connection, call = pool_with_attempt(now)
        whole = answer(b"0123456789")
        for byte in whole[:-1]:
            connection.data_received(bytes([byte]))
            now[0] += BOUNDS.stall_ms - 1
            pool._on_timer()
        assert not call.endings
        connection.data_received(whole[-1:])
        assert call.endings[0].reply == b"0123456789"

    asyncio.run(test())


def test_a_request_not_completely_written_never_ran():
    for unsent, outcome in ((True, Outcome.NO_CONNECTION), (False, Outcome.RESET)):

        async def test(unsent=unsent, outcome=outcome):
            _, connection, call = pool_with_attempt([1000.0])
            if unsent:
                connection.pause_writing()
            connection.connection_lost(None)
            assert call.endings[0].outcome is outcome

        asyncio.run(test())


def test_a_value_over_the_limit_is_rejected_at_its_length():
    async def test():
        _, connection, call = pool_with_attempt([1000.0])
        connection.data_received(b"*3\r\n$1001\r\n")
        assert call.endings[0].outcome is Outcome.ERROR and connection.transport.closed

    asyncio.run(test())


def test_the_connection_with_most_unread_bytes_is_closed_first():
    driver = SimpleNamespace(left=lambda name: True)
    bounds = FrontBounds(max_connections=9, max_active_connections=9, max_unread_bytes=100)
    front = Front(CommandReader(*READER), driver, bounds, lambda: 0.0)
    clients = []
    for held in (60, 30, 50):
        client = front.create_protocol()
        client.transport = RecordingTransport()
        client.transport.held = held
        front.clients[client] = None
        client.pause_writing()
        clients.append(client)
    assert [c.transport.closed for c in clients] == [True, False, False]


def test_a_client_that_is_slow_does_not_cost_a_scan_of_all(monkeypatch):
    """Regression: each write that the kernel did not take at once scanned all connections."""
    scans = []
    monkeypatch.setattr(front_module, "choose_unread", lambda *_: scans.append(1) or [])
    bounds = FrontBounds(max_connections=9, max_active_connections=9, max_unread_bytes=100)
    front = Front(CommandReader(*READER), None, bounds, lambda: 0.0)
    client = front.create_protocol()
    client.transport = RecordingTransport()
    front.clients[client] = None
    client.transport.held = 100
    for _ in range(10):
        client.pause_writing()
        client.resume_writing()
    assert not scans
    client.transport.held = 101
    client.pause_writing()
    assert scans


@async_test
async def test_idle_connections_over_the_limit_are_closed():
    """Otherwise idle connections would use up the limit on connections."""
    async with running_program(limits={"sockets": 100, "memory_mb": 64}) as s:
        most = s.program.front.bounds.max_active_connections
        clients = [await s.client() for _ in range(most + 5)]
        for number, client in enumerate(clients):
            assert await client.ask(read(number)) == b"value of " + request_id(number)
        for client in clients[:5]:  # the longest idle
            with pytest.raises((EOFError, ConnectionError)):
                await client.reply()
        assert await clients[5].ask(read(99)) == b"value of " + request_id(99)
        await s.until(lambda: s.program.front.active_connection_count == most)


def test_a_new_connection_is_evicted_after_all_others():
    now = [0.0]
    driver = SimpleNamespace(left=lambda name: True)
    bounds = FrontBounds(max_connections=3, max_active_connections=9, max_unread_bytes=100)
    front = Front(CommandReader(*READER), driver, bounds, lambda: now[0])

    def connect(asked=False):
        client = front.create_protocol()
        client.transport = RecordingTransport()
        client.has_sent_command = asked
        front.active_connection_count += asked
        front._on_connected(client)
        return client

    silent, idle = connect(), connect(asked=True)
    now[0] = bounds.new_connection_ms + 1
    first = connect()
    second, third, fourth = connect(), connect(), connect()
    # Evicted first is the one silent for long, then the idle one, and a new one only after both.
    assert [c.transport.closed for c in (silent, idle, first, second, third, fourth)] == [
        True,
        True,
        True,
        False,
        False,
        False,
    ]
    assert front.active_connection_count == 0 and len(front.clients) == 3


def test_a_closed_connection_whose_peer_never_reads_is_closed_after_the_write_timeout():
    now = [0.0]
    bounds = FrontBounds(max_connections=9, max_active_connections=9, max_unread_bytes=100)
    front = Front(CommandReader(*READER), SimpleNamespace(left=lambda name: True), bounds, lambda: now[0])
    client = front.create_protocol()
    client.transport = RecordingTransport()
    front._on_connected(client)
    client.data_received(b"*x\r\n")
    written = len(client.transport.written)
    assert client.transport.shut and front.lingering
    client.transport.held = written  # the error line has not been sent yet
    now[0] = bounds.write_timeout_ms - 1
    front.sweep()
    assert not client.transport.closed and len(client.transport.written) == written == 1
    now[0] = bounds.write_timeout_ms + 1
    front.sweep()
    assert client.transport.closed and not front.lingering


def test_lingering_is_limited_in_time_bytes_and_connections():
    now = [0.0]
    bounds = FrontBounds(
        max_connections=9,
        max_active_connections=9,
        max_unread_bytes=100,
        linger_bounds=LingerBounds(2000.0, 500, 2),
    )
    front = Front(CommandReader(*READER), SimpleNamespace(left=lambda name: True), bounds, lambda: now[0])
    clients = []
    for _ in range(4):
        client = front.create_protocol()
        client.transport = RecordingTransport()
        front._on_connected(client)
        client.data_received(b"*x\r\n")
        clients.append(client)
        now[0] += 1
    # At most two linger, the one shut longest ago is closed first; bytes and time of each are limited.
    assert [c.transport.closed for c in clients] == [True, True, False, False]
    clients[2].data_received(b"x" * 400)
    assert not clients[2].transport.closed
    clients[2].data_received(b"x" * 101)
    assert clients[2].transport.closed
    now[0] = 3 + bounds.linger_bounds.timeout_ms
    front.sweep()
    assert not clients[3].transport.closed
    now[0] += 1
    front.sweep()
    assert clients[3].transport.closed and not front.lingering and not front.clients


def test_a_lingering_connection_is_evicted_first():
    bounds = FrontBounds(max_connections=2, max_active_connections=9, max_unread_bytes=100)
    front = Front(CommandReader(*READER), SimpleNamespace(left=lambda name: True), bounds, lambda: 0.0)
    clients = []
    for _ in range(3):
        client = front.create_protocol()
        client.transport = RecordingTransport()
        front._on_connected(client)
        clients.append(client)
        if len(clients) == 1:
            client.data_received(b"*x\r\n")
    assert [c.transport.closed for c in clients] == [True, False, False] and not front.evicted_count


class LimitedPool:
    """A pool limited to `most` connections (one by default) to real listeners."""

    def __init__(self, servers, most=1):
        self.addresses = {f"s{i}": server.address for i, server in enumerate(servers)}
        bounds = replace(BOUNDS, max_connections=most, idle_close_ms=60000.0, connect_timeout_ms=20000.0)
        self.clock = lambda: asyncio.get_running_loop().time() * 1000
        self.pool = RespTransport(bounds, self.clock, self.dial)

    def dial(self, name):
        host, _, port = self.addresses[name].rpartition(":")
        return host, int(port)

    def call(self, server, *, may_leave=lambda: True, timeout_ms=20000.0):
        call = Call()
        call.attempt = Attempt(0, Node(f"s{server}", server), self.clock())
        call.deadline, call.may_leave = self.clock() + timeout_ms, may_leave
        return call, self.pool.start(call)

    async def ended(self, call):
        while not call.endings:
            await asyncio.sleep(0.001)
        return call.endings[0].outcome


@async_test
async def test_attempts_wait_for_a_descriptor_instead_of_failing():
    """In a network partition, hanging attempts can hold every descriptor; healthy servers still get work."""
    servers = [await StorageServer(script).start() for script in (lambda words: None, echo, echo)]
    limited_pool = LimitedPool(servers)
    hung, flight = limited_pool.call(0)
    waiting = [limited_pool.call(server)[0] for server in (1, 2, 1, 2)]
    cancelled, cancelled_flight = limited_pool.call(1)
    while not servers[0].seen:
        await asyncio.sleep(0.001)
    assert not any(call.endings for call in waiting) and len(limited_pool.pool.queue) == 5
    cancelled_flight.stop()
    assert await limited_pool.ended(cancelled) is Outcome.ABANDONED
    flight.stop()
    assert await limited_pool.ended(hung) is Outcome.CANCELLED
    assert [await limited_pool.ended(call) for call in waiting] == [Outcome.OK] * 4
    assert (
        len(limited_pool.pool.open_connections) == 1
        and not limited_pool.pool.queue
        and not limited_pool.pool.connecting_count
    )
    for server in servers:
        await server.stop()


@async_test
async def test_an_attempt_that_got_no_descriptor_does_not_count_against_the_server():
    servers = [await StorageServer(lambda words: None).start()]
    limited_pool = LimitedPool(servers)
    limited_pool.call(0)
    late, _ = limited_pool.call(0, timeout_ms=30.0)
    assert await limited_pool.ended(late) is Outcome.ABANDONED
    await servers[0].stop()


@async_test
async def test_an_attempt_that_may_not_be_sent_any_more_is_not_written():
    """A drain's grace period or a key's deduplication window can end while the connection is opened."""
    servers = [await StorageServer(echo).start()]
    limited_pool = LimitedPool(servers)
    late, _ = limited_pool.call(0, may_leave=lambda: False)
    assert await limited_pool.ended(late) is Outcome.ABANDONED
    call, _ = limited_pool.call(0)
    assert await limited_pool.ended(call) is Outcome.OK
    # The connection is kept for the next attempt.
    assert len(servers[0].seen) == 1 and limited_pool.pool.opened_count == 1
    await servers[0].stop()


@async_test
async def test_a_cancelled_attempt_resets_its_connection():
    """Otherwise buffered bytes arrive after a partition ends, when the limit is used by other attempts."""
    servers = [await StorageServer(lambda words: None).start()]
    limited_pool = LimitedPool(servers)
    call, flight = limited_pool.call(0)
    while not servers[0].seen:
        await asyncio.sleep(0.001)
    (connection,) = limited_pool.pool.open_connections
    raw = connection.transport.get_extra_info("socket")
    linger = raw.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    assert struct.unpack("ii", linger) == (1, 0)
    flight.stop()
    assert await limited_pool.ended(call) is Outcome.CANCELLED
    await servers[0].stop()
