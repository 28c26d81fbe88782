"""Descriptors: idle clients fill a process, and discovery and storage servers are reached all the same."""

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
from cressrock.resp.codec import Status
from cressrock.resp.listener import Listener
from cressrock.resp.room import LOOP_ITERATIONS, accepted_at_once
from tests.test_platform import Client, ident, on_sockets, read, socket_free, stage

LIMIT = 64


def test_what_is_accepted_on_its_way_to_the_front_fits_the_spare_descriptors():
    for spare in range(LOOP_ITERATIONS, 200):
        assert (
            0
            < LOOP_ITERATIONS * accepted_at_once(spare)
            <= spare
            < LOOP_ITERATIONS * (accepted_at_once(spare) + 1)
        )
    assert accepted_at_once(0) == 1
    assert program.SPARE - program.OWN >= LOOP_ITERATIONS


class Standing(asyncio.Protocol):
    """A client's side of nothing: keeps its transport."""

    def __init__(self, made):
        self.made = made

    def connection_made(self, transport):
        self.made.append(transport)


@pytest.mark.parametrize("count", [1, 5])
@on_sockets
async def test_a_round_of_the_loop_accepts_a_few_and_each_has_been_heard_of_two_rounds_later(count):
    """Danger: a crowd holds descriptors that nobody has counted yet."""
    made = []
    listener = Listener(("127.0.0.1", 0), lambda: Standing(made), count)
    crowd = [socket.create_connection(listener.address()) for _ in range(40)]
    gc.collect()
    files, ways = len(os.listdir("/proc/self/fd")), []
    while len(made) < len(crowd):
        await asyncio.sleep(0)
        ways.append(len(os.listdir("/proc/self/fd")) - files - len(made))
    assert 0 < max(ways) <= count * (LOOP_ITERATIONS - 1)
    listener.close()
    assert not listener.is_serving()
    for transport in made:
        transport.abort()
    for sock in crowd:
        sock.close()


@on_sockets
async def test_a_listener_without_a_descriptor_rests_and_goes_on_when_it_is_told(monkeypatch):
    """Danger: what waits in the kernel wakes the loop again and again."""
    made = []
    listener = Listener(("127.0.0.1", 0), lambda: Standing(made), 5)
    accept, tries = listener.socket.accept, []

    class Exhausted:
        def __init__(self, sock):
            self.sock = sock

        def accept(self):
            tries.append(len(tries))
            if len(tries) == 1:
                raise OSError(24, "Too many open files")
            return accept()

        def __getattr__(self, name):
            return getattr(self.sock, name)

    listener.socket = Exhausted(listener.socket)
    with socket.create_connection(listener.address()):
        for _ in range(50):
            await asyncio.sleep(0)
        assert tries == [0] and listener.exhausted == 1 and not made
        listener.resume()
        while not made:
            await asyncio.sleep(0)
    listener.close()
    made[0].abort()


@on_sockets
async def test_a_new_connection_is_closed_unread_where_all_others_are_in_use():
    """Danger: it would take a descriptor that is kept for discovery or for the servers."""
    async with stage(lambda words: None) as s:
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
        assert await client.reply() == b"value of " + ident(1)


@on_sockets
async def test_a_process_filled_by_idle_clients_while_discovery_is_down_follows_a_drain(tmp_path):
    """Danger: no descriptor is left to hear of the drain with, nor for a connection to the other server."""
    path, log = tmp_path / "config.json", tmp_path / "log"
    discovery = await Discovery().start()
    old, new = [await StorageServer(echo).start() for _ in range(2)]
    discovery.put("s0", old.address, 0)
    with socket_free() as port:
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
    crowd = []

    async def client():
        return Client(*await asyncio.open_connection("127.0.0.1", port))

    try:
        while True:
            try:
                first = await client()
                break
            except OSError:
                await asyncio.sleep(0.02)
        assert await first.ask(codec.command(b"PING")) == Status("PONG")
        discovery.failing = True
        discovery.reset()
        down = discovery.calls
        # The process stands still meanwhile: the whole crowd waits in the kernel when it goes on.
        process.send_signal(signal.SIGSTOP)
        for number in range(6 * LIMIT):
            crowd.append(socket.create_connection(("127.0.0.1", port), timeout=10))
            if number % 2:
                crowd[-1].sendall(codec.command(b"PING"))
        process.send_signal(signal.SIGCONT)
        while discovery.calls < down + 2:  # asked again and again, beside the crowd
            await asyncio.sleep(0.01)
        discovery.put("s0", old.address, 0, health="leaving")
        discovery.put("s1", new.address, 0)
        discovery.failing = False
        back = discovery.calls
        while discovery.calls < back + 2:  # the second is the watch behind the list
            await asyncio.sleep(0.01)
        asking = await client()
        assert await asking.ask(read(1)) == b"value of " + ident(1)
        assert new.seen and not old.seen
        process.send_signal(signal.SIGTERM)
        while not (told := re.search(r"evicted=(\d+) .*exhausted=(\d+) ", log.read_text())):
            await asyncio.sleep(0.01)
        assert int(told[1]) >= 3 * LIMIT and told[2] == "0"
        assert "Too many open files" not in log.read_text()
        first.writer.transport.abort()
        asking.writer.transport.abort()
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        for sock in crowd:
            sock.close()
        for server in (old, new):
            await server.stop()
