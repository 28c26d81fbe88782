"""Plays a storage server that answers twice against one dispatcher process, on loopback sockets.

For a while the server sends each of its answers a second time, some milliseconds later.  Each value tells
which request it was made for, so a client notices a value that was made for another request.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cressrock.lab.platform import Discovery, answer, config
from cressrock.lab.platform_process import PlatformProcess
from cressrock.resp import codec

PIECE = b"7f3a9c21e0b4d655"
CLIENTS = 8
DEADLINE_MS = 1500
WAY_S = 0.002  # from the dispatcher to the storage server, or back
BEFORE_S, AFTER_S = 1.5, 1.5
MAX_LATENESS_MS = 2.0  # a copy that this machine would send so much too late is left out
PLAY_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class SecondAnswerPlay:
    """One play: how late the copies are, for how long they are sent, and how long everything else takes."""

    copy_ms: float = 12.0
    trouble_s: float = 0.1  # 0: no second answers
    pause_ms: float = 10.0  # of a client between an answer and its next read
    work_ms: tuple[float, float] = (30.0, 30.0)  # of a read at the server: at least, at most
    seed: int = 1


@dataclass(slots=True)
class SecondAnswerResult:
    """What the clients and the server saw."""

    served: int = 0
    unserved: int = 0
    foreign: int = 0  # values that were made for another request
    copies: int = 0
    connections: int = 0
    log: str = ""


class SecondAnswerDrill:
    """One play: the storage server, discovery, the dispatcher's process and the clients."""

    def __init__(
        self, play: SecondAnswerPlay, command: list[str] | None = None, root: Path | None = None
    ) -> None:
        """`command` and `root` are those of `PlatformProcess`."""
        self.play = play
        self.command = command
        self.root = root
        self.random = random.Random(play.seed)
        self.result = SecondAnswerResult()
        self.is_doubling = self.is_over = False
        self.at_work: set[asyncio.StreamWriter] = set()  # connections on which a command waits for its answer

    async def run(self) -> SecondAnswerResult:
        """Play, and return what was seen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        discovery = await Discovery().start()
        discovery.put("s0", "{}:{}".format(*server.sockets[0].getsockname()), 0)
        with tempfile.TemporaryDirectory() as folder:
            dispatcher = PlatformProcess(Path(folder), self.command, self.root)
            try:
                await dispatcher.start(_settings(discovery))
                async with asyncio.timeout(PLAY_LIMIT_S):
                    await self._play(dispatcher.address)
            finally:
                await dispatcher.end()
                self.result.log = dispatcher.log()
                server.close()
        return self.result

    async def _play(self, address: tuple[str, int]) -> None:
        clients = [asyncio.create_task(self._client(address, number)) for number in range(CLIENTS)]
        await asyncio.sleep(BEFORE_S)
        self.is_doubling = self.play.trouble_s > 0
        await asyncio.sleep(self.play.trouble_s)
        self.is_doubling = False
        await asyncio.sleep(AFTER_S)
        self.is_over = True
        await asyncio.gather(*clients)

    # --- the storage server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.result.connections += 1
        parser = codec.CommandParser()
        try:
            while data := await reader.read(65536):
                for words in parser.feed(data)[0]:
                    await self._answer(words[2], writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WAY_S)
        self.at_work.add(writer)
        await asyncio.sleep(self.random.uniform(*self.play.work_ms) / 1000)
        self.at_work.discard(writer)
        send = _sender(writer, answer(_value_of(request)))
        asyncio.get_running_loop().call_later(WAY_S, send)
        if self.is_doubling:
            self._copy_later(writer, send)

    def _copy_later(self, writer: asyncio.StreamWriter, send: Callable[[], None]) -> None:
        due_at = time.monotonic() + self.play.copy_ms / 1000

        def copy() -> None:
            lateness_ms = (time.monotonic() - due_at) * 1000
            if lateness_ms <= MAX_LATENESS_MS and not writer.is_closing() and writer not in self.at_work:
                self.result.copies += 1
                asyncio.get_running_loop().call_later(WAY_S, send)

        asyncio.get_running_loop().call_later(self.play.copy_ms / 1000, copy)

    # --- the clients

    async def _client(self, address: tuple[str, int], number: int) -> None:
        """Read one segment after another."""
        reader, writer = await asyncio.open_connection(*address)
        count = 0
        while not self.is_over:
            count += 1
            request = b"%08x%08x" % (number, count)
            names = f"c=read,t=gold,d={DEADLINE_MS},volume={number:016x},units=1,shard=0,hosts=1"
            writer.write(codec.command(b"IO.IN", PIECE, request, names.encode()))
            line = await reader.readuntil(b"\r\n")
            if line.startswith(b"$") and line != b"$-1\r\n":
                value = (await reader.readexactly(int(line[1:]) + 2))[:-2]
                self.result.served += 1
                self.result.foreign += value != _value_of(request)
            else:
                self.result.unserved += 1
            await asyncio.sleep(self.play.pause_ms / 1000)
        writer.close()


def _value_of(request: bytes) -> bytes:
    return b"value for " + request


def _sender(writer: asyncio.StreamWriter, reply: bytes) -> Callable[[], None]:
    def send() -> None:
        if not writer.is_closing():
            writer.write(reply)

    return send


def _settings(discovery: Discovery) -> dict[str, Any]:
    found = config(discovery)
    settings = found["settings"]
    settings["family_info"] |= {"n_shards": 1, "writes": [False]}
    settings["profiles"] = [
        {
            "name": "read",
            "semantics": "free",
            "worth": 2.0,
            "late_value": 0.2,
            "goal_time_ms": 300.0,
            "give_up_ms": float(DEADLINE_MS),
        }
    ]
    plan = {"burst": 0.0, "ceiling_rate": 0.0, "rate": 200.0, "reserve": 100.0, "slack": 0.0}
    settings["policies"] = [plan | {"name": "gold", "value_factor": 1.2, "weight": 2.0}]
    return found
