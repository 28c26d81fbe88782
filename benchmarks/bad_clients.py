"""Clients that send badly, beside others that read and write as usual, at one dispatcher process.

python benchmarks/bad_clients.py half --memory 32 64        300 clients stop half way through 60,000 bytes
python benchmarks/bad_clients.py flood --names new          one client reads at full speed, ever new volumes
python benchmarks/bad_clients.py leave --commands 64        20 clients send much at once and go
"""

import argparse
import asyncio
import contextlib
import itertools
import sys
import tempfile
import time
from pathlib import Path

from cressrock.lab.memory_drill import PIECE, SERVERS, MemoryDrill, MemoryPlay
from cressrock.lab.platform import Discovery, answer
from cressrock.lab.platform_process import PlatformProcess
from cressrock.resp import codec

SOCKETS = 1024
USUAL_CLIENTS = ((0, 1200), (1000, 4000), (20_000, 4000), (60_000, 4000)) * 2  # bytes written, 0: a read; ms
USUAL_PAUSE_S = 0.05
BEFORE_S, AFTER_S = 2.0, 2.0
LARGE_BYTES = 60_000
STAY_S = 6.0  # a client that stops half way waits so long for its error
ALLOWED_S = 0.15  # from a client's close to the last attempt that begins


class Server:
    """A storage server that does `slots` requests at once, and notes when each arrives."""

    def __init__(self, work_s, slots):
        self.work_s, self.slots, self.arrived = work_s, asyncio.Semaphore(slots), []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader, writer):
        parser = codec.CommandParser()
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 17):
                for words in parser.feed(data)[0]:
                    self.arrived.append((time.monotonic(), words[2]))
                    async with self.slots:
                        await asyncio.sleep(self.work_s)
                    writer.write(answer(b"v" * 64))
        writer.close()


class Play:
    """One dispatcher with its servers, and what the usual clients saw, by phase."""

    def __init__(self, memory_mb, root, work_s=0.0005, slots=64):
        self.memory_mb, self.root = memory_mb, Path(root).resolve()
        self.servers = [Server(work_s, slots) for _ in range(SERVERS)]
        self.numbers, self.phase, self.is_over = itertools.count(1), "before", False
        self.latencies_s, self.kinds = {}, {}

    async def __aenter__(self):
        discovery = await Discovery().start()
        for index, server in enumerate(self.servers):
            discovery.put(f"s{index}", await server.start(), index)
        self.folder = tempfile.TemporaryDirectory()
        self.drill = MemoryDrill(MemoryPlay(self.memory_mb), root=self.root)
        settings = self.drill._settings(discovery)
        settings["limits"]["sockets"] = SOCKETS
        self.drill.dispatcher = self.process = PlatformProcess(Path(self.folder.name), root=self.root)
        await self.process.start(settings)
        self.drill.is_over = False
        self.tasks = [asyncio.create_task(self._usual(*kind)) for kind in USUAL_CLIENTS]
        self.tasks.append(asyncio.create_task(self.drill._watch_memory()))
        return self

    async def __aexit__(self, *error):
        self.is_over = self.drill.is_over = True
        await asyncio.wait(self.tasks, timeout=10)
        await self.process.end()
        self.folder.cleanup()

    def command(self, size, wait_ms, volume=None):
        """Return a new request's id and its command; a size of 0 makes it a read."""
        number = next(self.numbers)
        name, volume = b"%016x" % number, number % 64 if volume is None else volume
        names = f"t=gold,d={wait_ms},volume={volume:016x},units=1,shard={number % SERVERS},hosts=1"
        if size:
            return name, codec.command(b"IO.OUT", PIECE, name, f"c=store,{names}".encode(), b"x" * size)
        return name, codec.command(b"IO.IN", PIECE, name, f"c=quick,{names}".encode())

    async def _usual(self, size, wait_ms):
        """Send one request after another; one whose connection ended without a byte is sent once more."""
        writer = None
        while not self.is_over:
            started_at, phase = time.monotonic(), self.phase
            _, command = self.command(size, wait_ms)
            for _ in range(2):
                if writer is None:
                    reader, writer = await asyncio.open_connection(*self.process.address)
                writer.write(command)
                try:
                    line = await reader.readuntil(b"\r\n")
                except (OSError, asyncio.IncompleteReadError):
                    kind, writer = "unanswered", None
                    continue
                kind = {b"$": "served", b"-B": "refused"}.get(line[: 1 + line.startswith(b"-")], "failed")
                if kind == "served":
                    await reader.readexactly(int(line[1:]) + 2)
                break
            counts = self.kinds.setdefault(phase, {})
            counts[kind] = counts.get(kind, 0) + 1
            self.latencies_s.setdefault(phase, []).append(time.monotonic() - started_at)
            await asyncio.sleep(USUAL_PAUSE_S)
        if writer is not None:
            writer.transport.abort()

    def report(self, text):
        print(f"{self.memory_mb} MB: {text}; highest {self.drill.result.highest_mb:.1f} MB", flush=True)
        for phase, latencies_s in self.latencies_s.items():
            ordered = sorted(latencies_s)
            median_ms, max_ms = ordered[len(ordered) // 2] * 1000, ordered[-1] * 1000
            counts = ", ".join(f"{count} {kind}" for kind, count in self.kinds[phase].items())
            print(f"    usual clients {phase}: {counts}, median {median_ms:.0f} ms, {max_ms:.0f} at most")


async def half(play, options):
    """Let clients stop half way through a write, and stay until they get an error."""

    async def stop_half_way():
        started_at = time.monotonic()
        reader, writer = await asyncio.open_connection(*play.process.address)
        _, command = play.command(LARGE_BYTES, 4000)
        writer.write(command[: options.bytes])
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(STAY_S):
                await reader.read()
        writer.transport.abort()
        return time.monotonic() - started_at

    ended_s = await asyncio.gather(*(stop_half_way() for _ in range(options.clients)))
    first_s, last_s = min(ended_s), max(ended_s)
    return f"{options.clients} clients with {options.bytes} bytes ended after {first_s:.1f} to {last_s:.1f} s"


async def flood(play, options):
    """Let one client read at full speed on one connection."""
    reader, writer = await asyncio.open_connection(*play.process.address, limit=1 << 20)
    end_at, volumes = time.monotonic() + options.seconds, itertools.count(1000)

    async def discard():
        while await reader.read(1 << 20):
            pass

    reading = asyncio.create_task(discard())
    while time.monotonic() < end_at:
        commands = [
            play.command(0, 1200, next(volumes) if options.names == "new" else number % 8)[1]
            for number in range(200)
        ]
        writer.write(b"".join(commands))
        await writer.drain()
    writer.transport.abort()
    await asyncio.gather(reading, return_exceptions=True)
    return f"{sum(len(server.arrived) for server in play.servers)} attempts, {options.names} volumes"


async def leave(play, options):
    """Let clients send much at once and go."""

    async def send_and_go():
        commands = [play.command(options.bytes, 4000) for _ in range(options.commands)]
        _, writer = await asyncio.open_connection(*play.process.address)
        writer.write(b"".join(command for _, command in commands))
        await asyncio.sleep(0.05)
        writer.transport.abort()
        return {name for name, _ in commands}, time.monotonic()

    gone = await asyncio.gather(*(send_and_go() for _ in range(options.clients)))
    await asyncio.sleep(5)
    arrived = [found for server in play.servers for found in server.arrived]
    late_s = [at - left_at for names, left_at in gone for at, name in arrived if name in names]
    late_s = [seconds for seconds in late_s if seconds > ALLOWED_S]
    return f"{len(late_s)} attempts too late, the last after {max(late_s, default=0):.2f} s"


async def main(options):
    for memory_mb in options.memory:
        is_leaving = options.picture is leave
        play = Play(memory_mb, options.root, *((0.06, 2) if is_leaving else ()))
        async with play:
            await asyncio.sleep(BEFORE_S)
            play.phase = "meanwhile"
            text = await options.picture(play, options)
            play.phase = "afterwards"
            await asyncio.sleep(AFTER_S)
        play.report(text)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    pictures = {"half": (half, 300, 30_000), "flood": (flood, 1, 0), "leave": (leave, 20, LARGE_BYTES)}
    parser.add_argument("picture", choices=pictures)
    parser.add_argument("--memory", type=int, nargs="+", default=[64])
    parser.add_argument("--clients", type=int)
    parser.add_argument("--bytes", type=int)
    parser.add_argument("--commands", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--names", choices=["few", "new"], default="few")
    parser.add_argument("--root", default=".", help="the checkout that is played")
    found = parser.parse_args(sys.argv[1:])
    found.picture, clients, size = pictures[found.picture]
    found.clients = found.clients or clients
    found.bytes = size if found.bytes is None else found.bytes
    asyncio.run(main(found))
