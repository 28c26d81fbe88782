"""What requests, lists and idle connections cost a process, over loopback sockets and seen from outside.

The dispatcher is a process of its own; discovery, storage servers and clients live in the measuring one, as
little as they can be.  All storage servers of a list stand behind a few ports: the dispatcher keeps its
connections by name, so that it has as many as it would have to as many machines.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, cast

from cressrock.lab.localcost import Figure, Usage, usage
from cressrock.lab.localcost_lists import ZONES, entries
from cressrock.lab.platform import Discovery, answer, config
from cressrock.lab.processes import LAUNCHER, ROOT
from cressrock.resp import codec

PORTS = 4  # storage servers' ports
# The dispatcher's descriptors: clients that rest may hold a quarter of them, and there will be 2,700.
SOCKETS = 12288
FEW_SOCKETS = 4096
READY_S = 30.0
PIECE = b"7f3a9c21e0b4d655"
REPLY = answer(b"v" * 16)


class Listing(asyncio.Protocol):
    """Discovery, one connection: the list and its watch, as they come from memory."""

    def __init__(self, hall: Hall) -> None:
        """`hall` holds the list."""
        self.hall = hall
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way back."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer what is whole."""
        self.buffer += data
        self.hall.bytes += len(data)
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            self.hall.calls += 1
            after = re.search(rb"after=(-?\d+)", head)
            wait = re.search(rb"wait_ms=(\d+)", head)
            self._answer(int(after[1]) if after else -1, int(wait[1]) if wait else 0)

    def _answer(self, after: int, wait_ms: int) -> None:
        hall = self.hall
        if after < 0:
            body = hall.whole
        elif after >= hall.version and wait_ms:
            hall.waiting[self] = after
            asyncio.get_running_loop().call_later(wait_ms / 1000, self.wake, True)
            return
        else:
            body = hall.since(after)
        self._write(body)

    def wake(self, over: bool = False) -> None:
        """Answer a watch, because of news or because its time is over."""
        after = self.hall.waiting.pop(self, None)
        if after is not None:
            self._write(self.hall.since(after))

    def _write(self, body: bytes) -> None:
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        self.hall.bytes += len(answer)
        self.transport.write(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget its watch."""
        self.hall.waiting.pop(self, None)


class Storage(asyncio.Protocol):
    """A storage server's connection: answers every command at once."""

    def __init__(self, hall: Hall) -> None:
        """`hall` counts."""
        self.hall = hall
        self.parser = codec.CommandParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way back."""
        self.transport = cast(asyncio.Transport, transport)
        self.hall.dialled += 1

    def data_received(self, data: bytes) -> None:
        """Answer what is whole."""
        commands, _ = self.parser.feed(data)
        if commands:
            self.transport.write(REPLY * len(commands))


class Hanging(asyncio.Protocol):
    """A connection to a storage server that hangs."""

    def __init__(self, hall: Hall) -> None:
        """`hall` counts."""
        self.hall = hall

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take it, and say nothing ever."""
        self.hall.dialled += 1


class Hall:
    """Discovery and storage servers of one dispatcher."""

    def __init__(self, n: int, seed: int, *, hangs: bool = False) -> None:
        """`n` servers, one for each shard; `hangs`: those of one zone of six hang."""
        self.entries = entries(n, seed)
        self.hangs = hangs
        self.version = 1
        self.changes: dict[int, list[dict[str, Any]]] = {}
        self.waiting: dict[Listing, int] = {}
        self.calls = self.dialled = 0
        self.bytes = 0  # of discovery's connections, both ways

    async def open(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.servers = [
            await loop.create_server(lambda: Storage(self), "127.0.0.1", 0, backlog=1024)
            for _ in range(PORTS)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in self.servers]
        for index, entry in enumerate(self.entries):
            entry["dial"] = f"127.0.0.1:{ports[index % PORTS]}"
        if self.hangs:
            self.servers.append(await loop.create_server(lambda: Hanging(self), "127.0.0.1", 0, backlog=1024))
            for entry in self.entries:
                if entry["site"] == ZONES[0]:
                    entry["dial"] = f"127.0.0.1:{self.servers[-1].sockets[0].getsockname()[1]}"
        self.whole = _json(self._value(True, self.entries))
        self.servers.append(await loop.create_server(lambda: Listing(self), "127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.servers[-1].sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Listen no more."""
        for server in self.servers:
            server.close()

    def _value(self, whole: bool, hosts: Sequence[Any]) -> dict[str, Any]:
        return {"seq": self.version, "whole": whole, "hosts": hosts}

    def since(self, after: int) -> bytes:
        """Return what changed after a version."""
        news = [entry for at, found in self.changes.items() if at > after for entry in found]
        return _json(self._value(False, news))

    def change(self, index: int) -> None:
        """Let one server drain, and tell it."""
        self.version += 1
        self.changes[self.version] = [self.entries[index] | {"health": "leaving"}]
        for watch in list(self.waiting):
            watch.wake()

    def anew(self) -> None:
        """Let the whole list be told as if every server had started anew: the most that one answer tells."""
        self.version += 1
        for entry in self.entries:
            entry["born_ms"] += 1000.0
        self.changes = {self.version: list(self.entries)}
        for watch in list(self.waiting):
            watch.wake()


def _json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


class Process:
    """A program of ours, ended by its own id."""

    def __init__(self, command: Sequence[str], folder: Path, **environment: str) -> None:
        """Start it; what it says on standard error goes to a file in `folder`."""
        self.log = folder / "log"
        with open(self.log, "wb") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-E", "-S", LAUNCHER, str(os.getpid()), *command],
                env=os.environ | {"PYTHONPATH": ROOT} | environment,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=file,
                start_new_session=True,
            )
        self.pid = self.process.pid

    def text(self) -> str:
        """Return all it has said."""
        return self.log.read_text("utf-8", "replace")

    async def said(self, pattern: str, bound_s: float = READY_S) -> re.Match[str]:
        """Wait until it has said something.  Raises RuntimeError with the end of what it said."""
        until = time.monotonic() + bound_s
        while time.monotonic() < until and self.process.poll() is None:
            found = re.search(pattern, self.text())
            if found:
                return found
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{pattern!r} was not said: {self.text()[-500:]}")

    def usage(self) -> Usage:
        """Return what the system says of it."""
        return usage(self.pid)

    async def end(self) -> None:
        """SIGTERM, then SIGKILL."""
        self.process.terminate()
        for _ in range(700):
            if self.process.poll() is not None:
                return
            await asyncio.sleep(0.01)
        self.process.kill()
        self.process.wait()


def settings(hall: Hall, sockets: int = SOCKETS) -> dict[str, Any]:
    """Return the configuration of a dispatcher over a hall's servers, which is born with their list."""
    listing = Discovery(hosts={entry["host"]: entry for entry in hall.entries}, version=hall.version)
    listing.address = hall.address
    value = config(listing)
    value["settings"]["zones"] = list(ZONES)
    value["settings"]["balancers"] = 4800
    value["settings"]["family_info"]["n_shards"] = len(hall.entries)
    value["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
    return value


@asynccontextmanager
async def dispatcher(
    n: int,
    seed: int,
    *,
    child: str = "",
    before: Sequence[str] = (),
    born_empty: bool = False,
    sockets: int = SOCKETS,
    hangs: bool = False,
) -> AsyncIterator[tuple[Hall, Process, int]]:
    """Start `cressrock platform` over n servers; gives its hall, its process and its port.

    `child`: how `localcost_child` runs it; without it the program itself is run.  `before` stands before the
    command; `born_empty`: it hears its list from discovery and is born with none.
    `hangs`: the servers of one zone of six take connections and never answer.
    """
    hall = Hall(n, seed, hangs=hangs)
    await hall.open()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        value = settings(hall, sockets)
        if born_empty:
            value["known"] = {"seq": 0, "whole": True, "hosts": []}
            hall.changes = {1: list(hall.entries)}
        (folder / "config").write_text(json.dumps(value))
        command = ["-m", "cressrock", "platform"]
        if child:
            command = ["-m", "cressrock.lab.localcost_child", child]
        process = Process([*before, sys.executable, *command], folder, LB_CONFIG=str(folder / "config"))
        try:
            port = int((await process.said(r"serving at [0-9.]+:(\d+)"))[1])
            await asyncio.sleep(0.3)
            yield hall, process, port
        finally:
            await process.end()
            hall.close()


class Client(asyncio.Protocol):
    """A client's connection: requests one after the other."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self.replies = codec.ReplyParser()
        self.done: asyncio.Future[Any] | None = None
        self.lost_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the way there."""
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, data: bytes) -> asyncio.Future[Any]:
        """Send a command; its reply comes later."""
        self.done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.done

    def data_received(self, data: bytes) -> None:
        """Take what came."""
        self.replies.feed(data)
        found = self.replies.next()
        if found is not None and self.done is not None and not self.done.done():
            self.done.set_result(found[0])

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self.lost_at = time.monotonic()
        if self.done is not None and not self.done.done():
            self.done.set_exception(ConnectionError("cut"))


async def connect(port: int, count: int) -> list[Client]:
    """Open so many connections."""
    loop = asyncio.get_running_loop()
    return [(await loop.create_connection(Client, "127.0.0.1", port))[1] for _ in range(count)]


def command(number: int, shard: int, volume: int) -> bytes:
    """Write a read."""
    names = f"c=read,t=gold,d=4000,volume={volume:016x},units=2,shard={shard},hosts=8"
    return codec.command(b"IO.IN", PIECE, b"%016x" % number, names.encode())


class Load:
    """Requests of 200 volumes to random servers of a range."""

    def __init__(self, port: int, shards: int, seed: int) -> None:
        """`shards`: any server below this number is asked."""
        self.port, self.shards = port, shards
        self.random = random.Random(seed)
        self.count = 0
        self.served = self.other = 0

    async def one(self, client: Client) -> None:
        """Ask once."""
        self.count += 1
        data = command(self.count, self.random.randrange(self.shards), self.random.randrange(200))
        reply = await client.ask(data)
        if isinstance(reply, codec.ErrorReply):
            self.other += 1
        else:
            self.served += 1

    async def steady(self, rate: float, seconds: float, clients: int = 64) -> None:
        """Ask at a rate; a request that finds no free connection is left out."""
        free = deque(await connect(self.port, clients))
        everyone = list(free)
        tasks: set[asyncio.Task[None]] = set()

        async def ask(client: Client) -> None:
            with suppress(ConnectionError):
                await self.one(client)
                free.append(client)

        began, made = time.monotonic(), 0
        while (now := time.monotonic() - began) < seconds:
            while made < now * rate:
                made += 1
                if free:
                    task = asyncio.ensure_future(ask(free.popleft()))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.002)
        if tasks:
            await asyncio.wait(tasks, timeout=5)
        for client in everyone:
            client.transport.abort()

    async def busy(self, requests: int, clients: int = 64) -> None:
        """Ask so many times with every connection busy at any time."""
        everyone = await connect(self.port, clients)
        until = self.count + requests

        async def ask(client: Client) -> None:
            while self.count < until:
                await self.one(client)

        await asyncio.gather(*(ask(client) for client in everyone))
        for client in everyone:
            client.transport.abort()


def measured(probe: Callable[[int, int], AsyncIterator[Figure]]) -> Callable[[int, int], Iterator[Figure]]:
    """Make a probe over sockets one that `benchmarks/capacity_local.py` can run."""

    def run(n: int, seed: int) -> Iterator[Figure]:
        async def all_of_it() -> list[Figure]:
            return [figure async for figure in probe(n, seed)]

        return iter(asyncio.run(all_of_it()))

    run.__name__ = probe.__name__
    return run


# --- the probes


async def list_turns(n: int, seed: int) -> AsyncIterator[Figure]:
    """Measure the longest turn of a dispatcher's loop at a whole list, at one all anew, at a change."""
    async with dispatcher(n, seed, child="turns", born_empty=True) as (hall, process, port):
        await asyncio.sleep(1.0)
        yield Figure("serverlist.whole.turn_ms", (await _turns(process))[0], "ms", scene="birth")
        yield Figure("serverlist.whole.rss_bytes", process.usage().rss, "bytes", scene="birth")
        least = []
        for index in range(5):
            hall.change(index)
            await asyncio.sleep(0.3)
            least.append((await _turns(process))[0])
        yield Figure("serverlist.change.turn_ms", min(least), "ms", scene="change")
        hall.anew()
        await asyncio.sleep(1.0)
        yield Figure("serverlist.anew.turn_ms", (await _turns(process))[0], "ms", scene="anew")


async def _turns(process: Process) -> list[float]:
    return cast(list[float], json.loads(await _told(process, "turns")))


async def _told(process: Process, word: str) -> str:
    """Ask a child for its figures.  Raises RuntimeError."""
    pattern = rf"^{word} (.*)$"
    before = len(re.findall(pattern, process.text(), re.M))
    os.kill(process.pid, signal.SIGUSR1)
    for _ in range(1000):
        found = re.findall(pattern, process.text(), re.M)
        if len(found) > before:
            return str(found[-1])
        await asyncio.sleep(0.01)
    raise RuntimeError(f"the child did not tell its {word}")


async def discovery_calm(n: int, seed: int) -> AsyncIterator[Figure]:
    """Measure what a dispatcher asks of discovery: at its birth with a list that is new, and in calm."""
    async with dispatcher(n, seed) as (hall, _, _):
        await asyncio.sleep(1.0)
        yield Figure("discovery.birth.bytes", hall.bytes, "bytes", scene="birth")
        calls, size, began = hall.calls, hall.bytes, time.monotonic()
        await asyncio.sleep(20.0)
        took = time.monotonic() - began
        yield Figure("discovery.calm.calls_s", (hall.calls - calls) / took, "1/s", scene="calm")
        yield Figure("discovery.calm.bytes_s", (hall.bytes - size) / took, "B/s", scene="calm")


async def requests_served(n: int, seed: int) -> AsyncIterator[Figure]:
    """Measure a request through a dispatcher over n servers: any of them asked, or a few of them."""
    async with dispatcher(n, seed) as (hall, process, port):
        idle = await _cpu(process, asyncio.sleep(1.0))
        yield Figure("dispatcher.calm.cpu_ms_s", idle, "ms/s", scene="calm")
        for name, shards in (("any", n), ("few", 16)):
            async for figure in _served(name, Load(port, shards, seed), hall, process, idle):
                yield figure
        yield Figure("dispatcher.rss_bytes", process.usage().rss, "bytes", scene="calm")


async def requests_crowded(n: int, seed: int) -> AsyncIterator[Figure]:
    """Measure the same with a third of the descriptors: connections to servers are closed for one another."""
    async with dispatcher(n, seed, sockets=FEW_SOCKETS) as (hall, process, port):
        idle = await _cpu(process, asyncio.sleep(1.0))
        async for figure in _served("crowded", Load(port, n, seed), hall, process, idle):
            yield figure


async def requests_hanging(n: int, seed: int) -> AsyncIterator[Figure]:
    """Measure a request to any server while those of one zone of six hang, and one in six waits for them."""
    async with dispatcher(n, seed, hangs=True) as (_, process, port):
        idle = await _cpu(process, asyncio.sleep(1.0))
        load = Load(port, n, seed)
        await load.steady(300, 3.0, clients=600)
        before, began = load.count, time.monotonic()
        cpu = await _cpu(process, load.steady(300, 4.0, clients=600))
        cpu -= idle * (time.monotonic() - began)
        made = max(1, load.count - before)
        yield Figure("request.hanging.cpu_ms", cpu / made, "ms", scene="a zone hangs")
        yield Figure("request.hanging.served", load.served / load.count, "part", scene="a zone hangs")


async def _served(name: str, load: Load, hall: Hall, process: Process, idle: float) -> AsyncIterator[Figure]:
    await load.steady(300, 1.0)
    served, dialled, began = load.served, hall.dialled, time.monotonic()
    cpu = await _cpu(process, load.steady(300, 4.0))
    cpu -= idle * (time.monotonic() - began)
    made = max(1, load.served - served)
    yield Figure(f"request.steady.{name}.cpu_ms", cpu / made, "ms", scene="calm")
    share = (hall.dialled - dialled) / made
    yield Figure(f"request.steady.{name}.dials", share, "connections a request", scene="calm")
    served = load.served
    cpu = await _cpu(process, load.busy(1500))
    made = max(1, load.served - served)
    yield Figure(f"request.busy.{name}.cpu_ms", cpu / made, "ms", scene="busy")


async def _cpu(process: Process, work: Any) -> float:
    before = process.usage().cpu_ms
    await work
    return process.usage().cpu_ms - before


async def system_calls(n: int, seed: int) -> AsyncIterator[Figure]:
    """Count the system calls of a request: a dispatcher under strace(1), with more requests and fewer."""
    totals = []
    for requests in (200, 1200):
        with tempfile.TemporaryDirectory() as name:
            told = Path(name) / "calls"
            before = ("/usr/bin/env", "strace", "-f", "-c", "-q", "-o", str(told))
            async with dispatcher(n, seed, before=before) as (_, process, port):
                load = Load(port, min(n, 1000), seed)
                began = time.monotonic()
                await load.steady(100, requests / 100)
                await asyncio.sleep(max(0.0, 13.0 - (time.monotonic() - began)))
                child = _child_of(process.pid)
                os.kill(child, signal.SIGTERM)
                while process.process.poll() is None:
                    await asyncio.sleep(0.02)
            total = next(line for line in told.read_text().splitlines() if line.rstrip().endswith("total"))
            totals.append((load.served, int(total.split()[2 if "." in total.split()[2] else 3])))
    (few, less), (many, more) = totals
    yield Figure("request.system_calls", (more - less) / (many - few), "calls", scene="calm")


def _child_of(pid: int) -> int:
    return int(Path(f"/proc/{pid}/task/{pid}/children").read_text().split()[0])


async def platform_connections(n: int, seed: int) -> AsyncIterator[Figure]:
    """Measure n connections of clients that asked once and rest.

    The program ends them after 2.1 s, which is measured too; to see what they cost until then, a child lets
    them rest longer.  Memory is Python's: what the kernel holds for a socket comes on top.
    """
    async with dispatcher(64, seed) as (_, process, port):
        clients, began = await _pinged(port, n), time.monotonic()
        while not all(client.lost_at for client in clients) and time.monotonic() - began < 6:
            await asyncio.sleep(0.05)
        last = max((client.lost_at or time.monotonic()) - began for client in clients)
        yield Figure("connections.platform.ended_after_s", last, "s", scene="calm")
    async with dispatcher(64, seed, child="rest") as (_, process, port):
        idle = await _cpu(process, asyncio.sleep(3.0))
        clients = await _pinged(port, n)
        await asyncio.sleep(0.5)
        spent = await _cpu(process, asyncio.sleep(3.0))
        _all_there(clients)
        spent = max(0.0, spent - idle) / 3
        yield Figure("connections.platform.idle_cpu_ms_s", spent, "ms/s", scene="calm")
    async with dispatcher(64, seed, child="held") as (_, process, port):
        for client in await _pinged(port, 20):
            client.transport.abort()
        await asyncio.sleep(0.5)
        before = int(await _told(process, "held"))
        clients = await _pinged(port, n)
        held = int(await _told(process, "held")) - before
        _all_there(clients)
        yield Figure("connections.platform.held_bytes", held, "bytes", scene="calm")


def _all_there(clients: list[Client]) -> None:
    lost = sum(bool(client.lost_at) for client in clients)
    if lost:
        raise RuntimeError(f"{lost} of {len(clients)} connections were ended while they were measured")


async def _pinged(port: int, n: int) -> list[Client]:
    """Open n connections that ask once."""
    ping, clients = codec.command(b"PING"), list[Client]()
    for at in range(0, n, 200):
        parts = await asyncio.gather(*(connect(port, 1) for _ in range(min(200, n - at))))
        new = [client for part in parts for client in part]
        await asyncio.gather(*(client.ask(ping) for client in new))
        clients += new
    return clients


async def edge_connections(n: int, seed: int) -> AsyncIterator[Figure]:
    """Measure n idle connections of clients at an edge that has its planner."""
    async with edge() as (process, port):
        clients = await web(port, 50)
        await asyncio.sleep(1.0)
        base = process.usage()
        idle = await _cpu(process, asyncio.sleep(4.0))
        for at in range(0, n, 100):
            clients += await web(port, min(100, n - at))
        spent = await _cpu(process, asyncio.sleep(4.0))
        lost = sum(client.lost for client in clients)
        if lost:
            raise RuntimeError(f"{lost} of {n} connections were ended while they were measured")
        yield Figure("connections.edge.rss_bytes", process.usage().rss - base.rss, "bytes", scene="calm")
        spent = max(0.0, spent - idle) / 4
        yield Figure("connections.edge.idle_cpu_ms_s", spent, "ms/s", scene="calm")


class Web(asyncio.Protocol):
    """A client's HTTP connection that asks once."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.heard: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for what is not there: the front answers by itself."""
        cast(asyncio.Transport, transport).write(b"GET /nothing/here HTTP/1.1\r\nhost: x\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        """Take the answer."""
        if not self.heard.done():
            self.heard.set_result(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self.lost = True
        if not self.heard.done():
            self.heard.set_exception(ConnectionError("cut"))


async def web(port: int, count: int) -> list[Web]:
    """Open so many connections, each of which asks once."""
    loop = asyncio.get_running_loop()
    made = [(await loop.create_connection(Web, "127.0.0.1", port))[1] for _ in range(count)]
    for client in made:
        found = await client.heard
        if not found.startswith(b"HTTP/1.1 4"):
            raise RuntimeError(f"the edge answered {found[:80]!r}")
    return made


SHARED = """
local c = import 'cressrock.libsonnet';
{ classes: c.classes, plans: { base: {} }, volumes: { demo: c.volume([0], plan='base') },
  node_list: { address: '127.0.0.1:1', poll_ms: 60000 }, observe: { admin: '127.0.0.1:0' } } + %s
"""


@asynccontextmanager
async def edge() -> AsyncIterator[tuple[Process, int]]:
    """Start a planner and an edge of it that know no storage server; gives the edge and its port."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        plan = {"name": "p0", "pair": {"listen": "127.0.0.1:0"}}
        async with _gateway(folder / "planner", "plan", plan) as planner:
            address = await _logged(planner, "planning")
            mine = {
                "name": "d0",
                "front": {"listen": "127.0.0.1:0"},
                "pair": {"planners": [address]},
            }
            async with _gateway(folder / "edge", "edge", mine) as process:
                served = await _logged(process, "serving")
                await process.said("edge.planner_joined")
                yield process, int(served.rpartition(":")[2])


@asynccontextmanager
async def _gateway(folder: Path, kind: str, own: dict[str, Any]) -> AsyncIterator[Process]:
    folder.mkdir()
    (folder / "file.jsonnet").write_text(SHARED % json.dumps(own))
    process = Process([sys.executable, "-m", "cressrock", kind, str(folder / "file.jsonnet")], folder)
    try:
        yield process
    finally:
        await process.end()


async def _logged(process: Process, event: str) -> str:
    """Wait for a line of the log and return its address."""
    found = await process.said(rf'\{{[^\n]*"event": ?"{event}"[^\n]*\}}')
    return str(json.loads(found[0])["address"])
