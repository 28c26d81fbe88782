"""Descriptor limits: idle clients must not prevent connections to discovery and storage servers."""

import asyncio
import gc
import json
import os
import re
import resource
import signal
import socket
import sys

import pytest

from cressrock.lab.platform import Discovery, StorageServer, config, echo
from cressrock.platform import program
from cressrock.resp import codec
from cressrock.resp.codec import StatusReply
from cressrock.resp.eviction import LOOP_ITERATIONS, max_accepts_per_iteration
from cressrock.resp.listener import Listener
from tests.test_platform import Client, async_test, read, request_id, running_program, unused_port

LIMIT = 64


def test_connections_not_yet_counted_fit_into_the_spare_descriptors():
    for spare in range(LOOP_ITERATIONS, 200):
        assert (
            0
            < LOOP_ITERATIONS * max_accepts_per_iteration(spare)
            <= spare
            < LOOP_ITERATIONS * (max_accepts_per_iteration(spare) + 1)
        )
    assert max_accepts_per_iteration(0) == 1
    assert program.RESERVED_DESCRIPTORS - program.PROCESS_DESCRIPTORS >= LOOP_ITERATIONS


class RecordingProtocol(asyncio.Protocol):
    """The server side of a connection; records its transport and ignores input."""

    def __init__(self, made):
        self.made = made

    def connection_made(self, transport):
        self.made.append(transport)


@pytest.mark.parametrize("count", [1, 5])
@async_test
async def test_accepts_per_loop_iteration_are_bounded_until_the_front_counts_them(count):
    """Otherwise a burst of connections takes descriptors that no limit counts yet."""
    made = []
    listener = Listener(("127.0.0.1", 0), lambda: RecordingProtocol(made), count)
    connections = [socket.create_connection(listener.address()) for _ in range(40)]
    gc.collect()
    initial_descriptors, uncounted = len(os.listdir("/proc/self/fd")), []
    while len(made) < len(connections):
        await asyncio.sleep(0)
        uncounted.append(len(os.listdir("/proc/self/fd")) - initial_descriptors - len(made))
    assert 0 < max(uncounted) <= count * (LOOP_ITERATIONS - 1)
    listener.close()
    assert not listener.is_serving()
    for transport in made:
        transport.abort()
    for sock in connections:
        sock.close()


@async_test
async def test_a_listener_without_a_descriptor_pauses_until_it_is_resumed(monkeypatch):
    """Without the pause, connections waiting in the kernel would wake the loop continuously."""
    made = []
    listener = Listener(("127.0.0.1", 0), lambda: RecordingProtocol(made), 5)
    accept, accept_calls = listener.socket.accept, []

    class Exhausted:
        def __init__(self, sock):
            self.sock = sock

        def accept(self):
            accept_calls.append(len(accept_calls))
            if len(accept_calls) == 1:
                raise OSError(24, "Too many open files")
            return accept()

        def __getattr__(self, name):
            return getattr(self.sock, name)

    listener.socket = Exhausted(listener.socket)
    with socket.create_connection(listener.address()):
        for _ in range(50):
            await asyncio.sleep(0)
        assert accept_calls == [0] and listener.failed_accept_count == 1 and not made
        listener.resume()
        while not made:
            await asyncio.sleep(0)
    listener.close()
    made[0].abort()


@async_test
async def test_a_new_connection_is_closed_if_all_others_are_in_use():
    """It would take a descriptor that is reserved for discovery or storage servers."""
    async with running_program(lambda words: None) as s:
        client = await s.client()
        client.send(read(1))
        await s.until(lambda: s.servers[0].seen)
        object.__setattr__(s.program.front.bounds, "max_connections", 1)
        other = await s.client()
        with pytest.raises((EOFError, ConnectionError)):
            await other.ask(read(2))
        assert s.program.front.submitted_count == 1 and len(s.program.front.clients) == 1
        for writer in s.servers[0].open:
            writer.write(echo(s.servers[0].seen[0]))
        assert await client.reply() == b"value of " + request_id(1)


@async_test
async def test_a_drain_is_followed_after_idle_clients_filled_the_process(tmp_path):
    """Descriptors must remain to learn of the drain from discovery and to connect to the other server."""
    path, log = tmp_path / "config.json", tmp_path / "log"
    discovery = await Discovery().start()
    old, new = [await StorageServer(echo).start() for _ in range(2)]
    discovery.put("s0", old.address, 0)
    with unused_port() as port:
        limits = {"cores": 1.0, "memory_mb": 96, "sockets": LIMIT}
        path.write_text(json.dumps(config(discovery, listen=f"127.0.0.1:{port}", limits=limits)))
    with log.open("wb") as err:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cressrock",
            "platform",
            env=os.environ | {"LB_CONFIG": str(path)},
            stderr=err,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT, LIMIT)),
        )
    connections = []

    async def client():
        return Client(*await asyncio.open_connection("127.0.0.1", port))

    try:
        while True:
            try:
                first = await client()
                break
            except OSError:
                await asyncio.sleep(0.02)
        assert await first.ask(codec.command(b"PING")) == StatusReply("PONG")
        discovery.failing = True
        discovery.reset()
        calls_before_failure = discovery.calls
        # While the process is stopped, all connections queue in the kernel.
        process.send_signal(signal.SIGSTOP)
        for number in range(6 * LIMIT):
            connections.append(socket.create_connection(("127.0.0.1", port), timeout=10))
            if number % 2:
                connections[-1].sendall(codec.command(b"PING"))
        process.send_signal(signal.SIGCONT)
        while (
            discovery.calls < calls_before_failure + 2
        ):  # discovery is polled although the clients are connected
            await asyncio.sleep(0.01)
        discovery.put("s0", old.address, 0, health="leaving")
        discovery.put("s1", new.address, 0)
        discovery.failing = False
        calls_before_recovery = discovery.calls
        while (
            discovery.calls < calls_before_recovery + 2
        ):  # the first fetches the list, the second watches for changes
            await asyncio.sleep(0.01)
        late_client = await client()
        assert await late_client.ask(read(1)) == b"value of " + request_id(1)
        assert new.seen and not old.seen
        process.send_signal(signal.SIGTERM)
        while not (match := re.search(r"evicted=(\d+) .*exhausted=(\d+) ", log.read_text())):
            await asyncio.sleep(0.01)
        assert int(match[1]) >= 3 * LIMIT and match[2] == "0"
        assert "Too many open files" not in log.read_text()
        first.writer.transport.abort()
        late_client.writer.transport.abort()
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for sock in connections:
            sock.close()
        for server in (old, new):
            await server.stop()
