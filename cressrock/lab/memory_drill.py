"""Plays crowds of clients against one dispatcher process with a limit on memory, on loopback sockets.

The clients send many commands at once on each connection.  Meanwhile storage servers hang or are slow, or
some clients leave, do not read, or the process is told to end.  The process is killed once it is over its
limit.
"""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

from cressrock.lab.platform import Discovery, answer, config
from cressrock.lab.platform_process import PlatformProcess
from cressrock.resp import codec

PIECE = b"7f3a9c21e0b4d655"
VALUE_BYTES = 65536
SHORT_BYTES = 64
SERVERS = 8
WORK_S = 0.005  # of a request at a storage server
SLOW_WORK_S = 0.4  # at one that is slow
CROWD_DEADLINE_MS, QUICK_DEADLINE_MS = 4000, 1200
LATE_MS = 500.0  # behind its deadline an answer counts as lost
QUICK_CLIENTS = 4
QUICK_PAUSE_S = 0.1
TROUBLED_FRACTION = 1 / 3  # of the clients, where clients make the trouble
MEMORY_CHECK_S = 0.005
BATCH_PAUSE_S = 0.3
PLAY_LIMIT_S = 60.0
INFINITE_S = float("inf")
LOG_CHARACTERS = 2000  # of the end of a log, in a text about a play


class Trouble(StrEnum):
    """What happens during a play's second batch."""

    NONE = "none"
    HANG = "hang"
    SLOW = "slow"
    LEAVE = "leave"
    UNREAD = "unread"
    TERM = "term"


class Requests(StrEnum):
    """What the crowd sends."""

    READS = "reads"
    WRITES = "writes"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class MemoryPlay:
    """One play: limits, crowd and trouble."""

    memory_mb: int
    connections: int = 18
    requests: Requests = Requests.READS
    trouble: Trouble = Trouble.NONE
    batch: int = 64  # commands at once on each connection
    hang_s: float = 1.5
    troubled_servers: int = 1
    seed: int = 1
    value_bytes: int = VALUE_BYTES  # of reads and writes of the crowd


@dataclass(slots=True)
class Answers:
    """How requests were answered, by kind."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    late: int = 0
    foreign: int = 0

    def served_fraction(self) -> float:
        """Return the part of the requests that was served."""
        return self.served / self.sent if self.sent else 1.0


@dataclass(slots=True)
class MemoryResult:
    """What a play showed; the batches are calm, in trouble, calm."""

    batches: list[Answers] = field(default_factory=list)
    quick: Answers = field(default_factory=Answers)
    highest_mb: float = 0.0
    is_killed: bool = False
    exit_code: int | None = None
    longest_pause_ms: float = 0.0  # of the drill's own loop, which carries the clients
    log: str = ""

    def evidence(self) -> str:
        """Return what tells why a play failed: pauses of the drill's own loop, and the end of the log."""
        return f"the drill was paused for {self.longest_pause_ms:.0f} ms; {self.log[-LOG_CHARACTERS:]}"

    def broken_rules(self) -> list[str]:
        """Return what no play may show."""
        found = ["over the memory limit"] if self.is_killed else []
        for answers in (*self.batches, self.quick):
            found += [f"{answers.unanswered} unanswered"] if answers.unanswered else []
            found += [f"{answers.late} late"] if answers.late else []
            found += [f"{answers.foreign} foreign values"] if answers.foreign else []
        if self.exit_code not in (None, 0):
            found.append(f"exit code {self.exit_code}")
        return found


class _StorageServer:
    """A storage server that works on each command for a while and can hang."""

    def __init__(self, sizes: dict[bytes, int]) -> None:
        self.sizes = sizes
        self.work_s = WORK_S
        self.going_on = asyncio.Event()
        self.going_on.set()
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = codec.CommandParser()
        try:
            while data := await reader.read(1 << 17):
                for words in parser.feed(data)[0]:
                    await asyncio.sleep(self.work_s)
                    await self.going_on.wait()
                    writer.write(answer(words[2].ljust(self.sizes[words[2]], b".")))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class MemoryDrill:
    """One play: the stand-ins, the dispatcher's process and the clients."""

    def __init__(self, play: MemoryPlay, command: list[str] | None = None, root: Path | None = None) -> None:
        """`command` and `root` are those of `PlatformProcess`."""
        self.play = play
        self.command = command
        self.root = root
        self.random = random.Random(play.seed)
        self.result = MemoryResult()
        self.sizes: dict[bytes, int] = {}
        self.request_count = 0
        self.is_over = False
        self.servers = [_StorageServer(self.sizes) for _ in range(SERVERS)]

    async def run(self) -> MemoryResult:
        """Play, and return what was seen."""
        discovery = await Discovery().start()
        for index, server in enumerate(self.servers):
            await server.start()
            discovery.put(f"s{index}", server.address, index)
        with tempfile.TemporaryDirectory() as folder:
            self.dispatcher = PlatformProcess(Path(folder), self.command, self.root)
            try:
                await self.dispatcher.start(self._settings(discovery))
                async with asyncio.timeout(PLAY_LIMIT_S):
                    await self._play()
            finally:
                await self._end()
                self.result.log = self.dispatcher.log()
        return self.result

    # --- the process

    def _settings(self, discovery: Discovery) -> dict[str, Any]:
        found = config(discovery)
        settings = found["settings"]
        settings["family_info"] |= {"n_shards": SERVERS, "writes": [False, False, True]}
        read = {"semantics": "free", "worth": 2.0, "late_value": 0.2}
        settings["profiles"] = [
            read | {"name": "quick", "goal_time_ms": 250.0, "give_up_ms": QUICK_DEADLINE_MS},
            read | {"name": "crowd", "goal_time_ms": 1200.0, "give_up_ms": CROWD_DEADLINE_MS},
            read | {"name": "store", "goal_time_ms": 1200.0, "give_up_ms": CROWD_DEADLINE_MS},
        ]
        plan = {"burst": 0.0, "ceiling_rate": 0.0, "rate": 200.0, "reserve": 100.0, "slack": 0.0}
        settings["policies"] = [plan | {"name": "gold", "value_factor": 1.2, "weight": 2.0}]
        found["limits"] = {"cores": 1.0, "memory_mb": self.play.memory_mb, "sockets": 576}
        found["known"] = discovery.whole()
        return found

    async def _end(self) -> None:
        self.is_over = True
        is_told_to_end = self.play.trouble is Trouble.TERM
        code = await self.dispatcher.end(is_ending=is_told_to_end)
        if is_told_to_end:
            self.result.exit_code = code

    def _memory_mb(self) -> float:
        try:
            lines = Path(f"/proc/{self.dispatcher.started.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) / 1024 for line in lines if line.startswith("RssAnon"))

    async def _watch_memory(self) -> None:
        """Kill the process once it is over its limit, as the platform does."""
        while not self.is_over:
            memory_mb = self._memory_mb()
            self.result.highest_mb = max(self.result.highest_mb, memory_mb)
            if memory_mb > self.play.memory_mb and not self.result.is_killed:
                self.result.is_killed = True
                self.dispatcher.started.kill()
            due_at = time.monotonic() + MEMORY_CHECK_S
            await asyncio.sleep(MEMORY_CHECK_S)
            pause_ms = (time.monotonic() - due_at) * 1000
            self.result.longest_pause_ms = max(self.result.longest_pause_ms, pause_ms)

    # --- the clients

    async def _play(self) -> None:
        background = [asyncio.create_task(self._watch_memory())]
        quick = [asyncio.create_task(self._quick_client(number)) for number in range(QUICK_CLIENTS)]
        try:
            for trouble in (Trouble.NONE, self.play.trouble, Trouble.NONE):
                await self._play_batches(trouble)
                if trouble is Trouble.TERM or self.result.is_killed:
                    break
                self._end_trouble()
                await asyncio.sleep(BATCH_PAUSE_S)
        finally:
            self.is_over = True
            await asyncio.wait([*background, *quick], timeout=QUICK_DEADLINE_MS / 1000 + 2)
            for task in (*background, *quick):
                task.cancel()

    async def _play_batches(self, trouble: Trouble) -> None:
        """Let each client send a batch on a new connection."""
        answers = Answers()
        self.result.batches.append(answers)
        clients = [
            await asyncio.open_connection(*self.dispatcher.address, limit=1 << 17)
            for _ in range(self.play.connections)
        ]
        troubled = self._start_trouble(trouble, len(clients))
        try:
            await asyncio.gather(
                *(
                    self._batch(streams, number, answers, trouble if number < troubled else Trouble.NONE)
                    for number, streams in enumerate(clients)
                )
            )
        finally:
            for _, writer in clients:
                writer.transport.abort()

    def _start_trouble(self, trouble: Trouble, client_count: int) -> int:
        """Begin the trouble of a batch; return how many clients take part in it."""
        loop = asyncio.get_running_loop()
        for server in self.servers[: self.play.troubled_servers]:
            if trouble is Trouble.HANG:
                server.going_on.clear()
                loop.call_later(self.play.hang_s, server.going_on.set)
            elif trouble is Trouble.SLOW:
                server.work_s = SLOW_WORK_S
        if trouble is Trouble.TERM:
            self.servers[0].going_on.clear()
            loop.call_later(0.2, self.dispatcher.started.send_signal, signal.SIGTERM)
        return int(client_count * TROUBLED_FRACTION) if trouble in (Trouble.LEAVE, Trouble.UNREAD) else 0

    def _end_trouble(self) -> None:
        for server in self.servers:
            server.work_s = WORK_S
            server.going_on.set()

    def _command(self, number: int, *, is_quick: bool) -> tuple[bytes, bytes]:
        """Return a new request's id and its command."""
        self.request_count += 1
        name = b"%016x" % self.request_count
        is_write = not is_quick and (
            self.play.requests is Requests.WRITES
            or (self.play.requests is Requests.BOTH and self.random.random() < 0.5)
        )
        request_class = "quick" if is_quick else "store" if is_write else "crowd"
        deadline_ms = QUICK_DEADLINE_MS if is_quick else CROWD_DEADLINE_MS
        self.sizes[name] = SHORT_BYTES if is_quick or is_write else self.play.value_bytes
        shard = self.random.randrange(SERVERS)
        names = f"c={request_class},t=gold,d={deadline_ms},volume={number:016x},units=1,shard={shard},hosts=1"
        words = [b"IO.OUT" if is_write else b"IO.IN", PIECE, name, names.encode()]
        return name, codec.command(
            *words, *([name * (self.play.value_bytes // len(name))] if is_write else [])
        )

    async def _quick_client(self, number: int) -> None:
        """Send a short read, wait for its answer, pause; until the play is over."""
        reader, writer = await asyncio.open_connection(*self.dispatcher.address)
        while not self.is_over:
            name, command = self._command(number, is_quick=True)
            self.result.quick.sent += 1
            writer.write(command)
            sent_at = {name: time.monotonic()}
            if not await self._read(reader, name, sent_at, 0.0, QUICK_DEADLINE_MS, self.result.quick):
                is_ended = self.play.trouble is Trouble.TERM  # a resting connection may be ended then
                self.result.quick.sent -= is_ended
                self.result.quick.unanswered += not is_ended
                break
            await asyncio.sleep(QUICK_PAUSE_S)
        writer.transport.abort()

    async def _batch(
        self,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        number: int,
        answers: Answers,
        trouble: Trouble,
    ) -> None:
        """Send a batch of commands at once and read the answers."""
        reader, writer = streams
        commands = [self._command(100 + number, is_quick=False) for _ in range(self.play.batch)]
        sent_at: dict[bytes, float] = {}
        sending = asyncio.create_task(self._send(writer, commands, sent_at))
        try:
            if trouble is Trouble.LEAVE:
                await asyncio.sleep(0.1)
                writer.transport.abort()
            elif trouble is Trouble.UNREAD:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await asyncio.sleep(self.play.hang_s)
            else:
                await self._read_batch(reader, commands, sent_at, answers)
        finally:
            sending.cancel()

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        commands: list[tuple[bytes, bytes]],
        sent_at: dict[bytes, float],
    ) -> None:
        """Send commands, and note when the kernel has taken the last byte of each."""
        writer.transport.set_write_buffer_limits(high=0)
        try:
            for name, command in commands:
                writer.write(command)
                await writer.drain()
                sent_at[name] = time.monotonic()
        except OSError:
            pass

    async def _read_batch(
        self,
        reader: asyncio.StreamReader,
        commands: list[tuple[bytes, bytes]],
        sent_at: dict[bytes, float],
        answers: Answers,
    ) -> None:
        answers.sent += len(commands)
        previous_at = 0.0  # the time spent waiting for the answers ahead of one does not count
        for index, (name, _) in enumerate(commands):
            if not await self._read(reader, name, sent_at, previous_at, CROWD_DEADLINE_MS, answers):
                answers.unanswered += len(commands) - index
                return
            previous_at = time.monotonic()

    async def _read(
        self,
        reader: asyncio.StreamReader,
        name: bytes,
        sent_at: dict[bytes, float],
        previous_at: float,
        deadline_ms: float,
        answers: Answers,
    ) -> bool:
        """Read one answer; return False at the end of the connection."""
        try:
            line = await reader.readuntil(b"\r\n")
            if line.startswith(b"$") and line != b"$-1\r\n":
                value = await reader.readexactly(int(line[1:]) + 2)
                answers.served += 1
                answers.foreign += value[:-2] != name.ljust(self.sizes[name], b".")
            elif line.startswith(b"-BUSY"):
                answers.refused += 1
            else:
                answers.failed += 1
        except (OSError, asyncio.IncompleteReadError):
            return False
        waited_s = time.monotonic() - max(sent_at.get(name, INFINITE_S), previous_at)
        answers.late += waited_s * 1000 > deadline_ms + LATE_MS
        return True
