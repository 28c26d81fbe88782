"""This dispatcher against a bare h11 relay: same runtime, same client, same node, in one run.

    python benchmarks/relay.py [--seconds 4] [--json FILE]

Node, relay and dispatcher are processes of their own; the client is this one.  All on loopback.  What is
printed are ratios and counts: absolute times belong to the machine.
"""

import argparse
import asyncio
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop

HERE = Path(__file__).parent
SIZES = {"100": 100, "64k": 65536, "64m": 64 << 20}
SETTINGS = """
local c = import 'cressrock.libsonnet';
{
  name: 'bench', classes: c.classes, plans: c.plans, volumes: { demo: c.volume([0]) },
  node_list: { address: '%s', poll_ms: 200 },
  front: { listen: '127.0.0.1:0' }, observe: { admin: '127.0.0.1:0' },
}
"""


# --- the node: as little as a node can be


class Node(asyncio.Protocol):
    """Answers GET /demo/SIZE with that many bytes and PUT with 201."""

    def connection_made(self, transport):
        self.transport, self.buffer, self.skip = transport, b"", 0

    def data_received(self, data):
        if self.skip:
            used = min(self.skip, len(data))
            self.skip -= used
            data = data[used:]
            if not self.skip:
                self.answer(b"201 Created", b"")
        self.buffer += data
        while b"\r\n\r\n" in self.buffer and not self.skip:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            if head.startswith(b"GET"):
                name = head.split(b" ", 2)[1].rsplit(b"/", 1)[-1].decode()
                self.answer(b"200 OK", BODIES[name])
                continue
            length = int(re.search(rb"content-length: (\d+)", head, re.I).group(1))
            used = min(length, len(self.buffer))
            self.buffer, self.skip = self.buffer[used:], length - used
            if not self.skip:
                self.answer(b"201 Created", b"")

    def answer(self, status, body):
        head = b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n" % (status, len(body))
        if len(body) < 200000:
            self.transport.write(head + body)
        else:
            self.transport.write(head)
            self.transport.write(body)


BODIES = {name: b"x" * size for name, size in SIZES.items()}


async def node():
    server = await asyncio.get_running_loop().create_server(Node, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


# --- the relay: h11 on both sides, anyio, a pool, no decisions


async def relay(port):
    import anyio
    import h11

    pool = []

    async def pull(conn, stream):
        while True:
            event = conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                conn.receive_data(await stream.receive(65536))
            except anyio.EndOfStream:
                conn.receive_data(b"")

    async def serve(client):
        front = h11.Connection(h11.SERVER, max_incomplete_event_size=65536)
        async with client:
            while True:
                request = await pull(front, client)
                if not isinstance(request, h11.Request):
                    return
                stream, back = pool.pop() if pool else (None, None)
                if stream is None:
                    stream = await anyio.connect_tcp("127.0.0.1", port)
                    back = h11.Connection(h11.CLIENT)
                await stream.send(back.send(request))
                while True:
                    part = await pull(front, client)
                    data = back.send(part)
                    if data:
                        await stream.send(data)
                    if isinstance(part, h11.EndOfMessage):
                        break
                while True:
                    part = await pull(back, stream)
                    data = front.send(part)
                    if data:
                        await client.send(data)
                    if isinstance(part, h11.EndOfMessage):
                        break
                back.start_next_cycle()
                front.start_next_cycle()
                pool.append((stream, back))

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    print(listener.extra(anyio.abc.SocketAttribute.local_address)[1], flush=True)
    await listener.serve(serve)


# --- the client


class Load(asyncio.Protocol):
    """One connection: requests one after the other; counts whole answers."""

    def connection_made(self, transport):
        self.transport, self.got, self.want, self.done = transport, 0, None, None
        self.head = b""

    def ask(self, text, body=b""):
        self.done = asyncio.get_running_loop().create_future()
        self.head, self.want, self.got = b"", None, 0
        self.transport.write(text)
        if body:
            self.transport.write(body)
        return self.done

    def data_received(self, data):
        if self.want is None:
            self.head += data
            if b"\r\n\r\n" not in self.head:
                return
            head, _, data = self.head.partition(b"\r\n\r\n")
            if b" 100" in head[:14]:
                self.head = data
                return
            assert head[9:12] in (b"200", b"201"), head
            self.want = int(re.search(rb"content-length: (\d+)", head, re.I).group(1))
        self.got += len(data)
        if self.got >= self.want:
            self.done.set_result(None)

    def connection_lost(self, error):
        if self.done is not None and not self.done.done():
            self.done.set_exception(ConnectionError("cut"))


def get(name):
    return b"GET /demo/%s HTTP/1.1\r\nhost: b\r\n\r\n" % name.encode()


async def connections(port, count):
    loop = asyncio.get_running_loop()
    return [(await loop.create_connection(Load, "127.0.0.1", port))[1] for _ in range(count)]


async def closed_loop(port, name, seconds, count=32):
    """Requests a second with `count` requests out at any time."""
    loads = await connections(port, count)
    text, end, total = get(name), time.perf_counter() + seconds, 0

    async def one(load):
        nonlocal total
        while time.perf_counter() < end:
            await load.ask(text)
            total += 1

    began = time.perf_counter()
    await asyncio.gather(*(one(load) for load in loads))
    took = time.perf_counter() - began
    for load in loads:
        load.transport.close()
    return total / took


async def open_loop(port, rate, seconds):
    """Latencies in ms at a steady rate of small requests."""
    free = await connections(port, 64)
    found, tasks = [], []

    async def one():
        load = free.pop()
        began = time.perf_counter()
        await load.ask(get("100"))
        found.append((time.perf_counter() - began) * 1000)
        free.append(load)

    begin = time.perf_counter()
    for index in range(int(rate * seconds)):
        await asyncio.sleep(max(0, begin + index / rate - time.perf_counter()))
        tasks.append(asyncio.create_task(one()))
    await asyncio.gather(*tasks)
    for load in free:
        load.transport.close()
    found.sort()
    return found[len(found) // 2], found[int(len(found) * 0.99)]


async def bulk(port, times, upload):
    """MiB a second of 64 MiB payloads, one after the other."""
    (load,) = await connections(port, 1)
    head = b"PUT /demo/u HTTP/1.1\r\nhost: b\r\ncontent-length: %d\r\n\r\n" % SIZES["64m"]
    began = time.perf_counter()
    for _ in range(times):
        await (load.ask(head, BODIES["64m"]) if upload else load.ask(get("64m")))
    took = time.perf_counter() - began
    load.transport.close()
    return 64 * times / took


def memory(pid):
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) * 1024


def cpu(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def idle(port, pid, count=1000):
    """Bytes of resident memory for each idle connection."""
    warm = await connections(port, 50)
    for load in warm:
        await load.ask(get("100"))
    before = memory(pid)
    loads = await connections(port, count)
    for load in loads:
        await load.ask(get("100"))
    after = memory(pid)
    for load in loads + warm:
        load.transport.close()
    return (after - before) / count


# --- the run


def spawn(*args):
    command = [sys.executable, str(HERE / "relay.py"), *args]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return process, int(process.stdout.readline())


async def listing(node_port):
    """Serve the node list from this process."""
    from cressrock.lab.listing import Listed, Listing

    source = Listing(clock=lambda: 0.0, seed=1)
    body = json.dumps(source.response(1, (Listed(f"127.0.0.1:{node_port}", 0),))).encode()

    async def serve(reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, asyncio.CancelledError):
                return
            await reader.readexactly(int(re.search(rb"content-length: (\d+)", head, re.I).group(1)))
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server.sockets[0].getsockname()[1]


async def gateway(list_port, folder):
    path = Path(folder) / "bench.jsonnet"
    path.write_text(SETTINGS % f"127.0.0.1:{list_port}")
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cressrock", "serve", str(path), stderr=asyncio.subprocess.PIPE
    )
    line = json.loads(await process.stderr.readline())
    asyncio.create_task(process.stderr.read())
    return process, int(line["address"].rsplit(":", 1)[1])


async def measure(port, pid, seconds):
    found = {}
    await closed_loop(port, "100", 1)
    for name in ("100", "64k"):
        before = cpu(pid)
        found[f"rps_{name}"] = await closed_loop(port, name, seconds)
        found[f"cpu_us_{name}"] = (cpu(pid) - before) / (found[f"rps_{name}"] * seconds) * 1e6
    found["p50_ms"], found["p99_ms"] = await open_loop(port, 200, seconds)
    found["mib_down"] = await bulk(port, 6, False)
    found["mib_up"] = await bulk(port, 6, True)
    found["idle_bytes"] = await idle(port, pid)
    return found


async def main(options):
    with tempfile.TemporaryDirectory() as folder:
        node_process, node_port = spawn("--role", "node")
        relay_process, relay_port = spawn("--role", "relay", "--port", str(node_port))
        ours, our_port = await gateway(await listing(node_port), folder)
        try:
            await asyncio.sleep(1)
            rounds = []
            for _ in range(options.rounds):
                p50, p99 = await open_loop(node_port, 200, options.seconds)
                direct = {"p50_ms": p50, "p99_ms": p99}
                bare = await measure(relay_port, relay_process.pid, options.seconds)
                mine = await measure(our_port, ours.pid, options.seconds)
                rounds.append({"direct": direct, "relay": bare, "dispatcher": mine})
        finally:
            for process in (node_process, relay_process, ours):
                process.terminate()

    def middle(who, name):
        return statistics.median(r[who][name] for r in rounds)

    result = {"rounds": rounds, "ratios": {}}
    for name in ("rps_100", "rps_64k", "mib_down", "mib_up", "idle_bytes", "cpu_us_100", "cpu_us_64k"):
        ratio = statistics.median(r["dispatcher"][name] / r["relay"][name] for r in rounds)
        result["ratios"][name] = ratio
        bare, mine = middle("relay", name), middle("dispatcher", name)
        print(f"{name:12} relay {bare:10.0f}  dispatcher {mine:10.0f}  ratio {ratio:.2f}")
    for name in ("p50_ms", "p99_ms"):
        base = middle("direct", name)
        print(
            f"added {name:6} relay {middle('relay', name) - base:9.2f}  dispatcher "
            f"{middle('dispatcher', name) - base:9.2f}  (direct {base:.2f})"
        )
    if options.json:
        Path(options.json).write_text(json.dumps(result, indent=1))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=("node", "relay"))
    parser.add_argument("--port", type=int)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json")
    chosen = parser.parse_args()
    if chosen.role == "node":
        uvloop.run(node())
    elif chosen.role == "relay":
        import anyio

        anyio.run(relay, chosen.port, backend="asyncio", backend_options={"use_uvloop": True})
    else:
        uvloop.run(main(chosen))
