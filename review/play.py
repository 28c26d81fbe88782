"""The stand-ins of cases 6 to 10: storage servers, discovery, clients, and the dispatcher's process.

They follow the users' pages: RESP2 with clients and storage servers, discovery by HTTP/1.1.  The dispatcher
is started with the deploy file's `run`.  Only the standard library is used, and only loopback addresses.
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The settings of a small deployment: the example of the users' page on the wire, on sockets.
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "caps": {
        "cancel": True,
        "connect_timeout_ms": 250.0,
        "idle_close_ms": 15000.0,
        "max_attempts": 3,
        "max_open": 20000,
        "max_retry_after_ms": 2000.0,
        "multiplex": 100,
        "peers": False,
        "probing": False,
        "retry_after": True,
        "second_copies": False,
    },
    "clients": {"marks_retry": False},
    "family_info": {
        "cold_bears": 13.0,
        "counts_others": True,
        "idle_worth": 0.1,
        "most_units": 8,
        "n_shards": 9,
        "use_period_ms": 1000.0,
        "usual_units": 2.15,
        "within_share": 0.4,
        "writes": [False, True],
    },
    "kinds": ["box-std", "box-lenta"],
    "load_info": {"fields": ["concurrent", "mean_ms"], "via": "piggyback"},
    "membership_mode": "ask",
    "my_zone": 0,
    "period_ms": 2.0,
    "policies": [
        {"burst": 48.0, "ceiling_rate": 22.0, "name": "base", "rate": 3.7, "reserve": 1.9, "slack": 8.0}
        | {"value_factor": 0.8, "weight": 1.0},
        {"burst": 0.0, "ceiling_rate": 0.0, "name": "pro", "rate": 5.6, "reserve": 6.7, "slack": 0.0}
        | {"value_factor": 1.2, "weight": 2.0},
    ],
    "profiles": [
        {"give_up_ms": 1500.0, "goal_time_ms": 300.0, "key_scope": "all", "late_value": 0.1}
        | {
            "name": "lettura",
            "repeat_window_ms": 5000.0,
            "semantics": "free",
            "streaming": False,
            "worth": 3.0,
        },
        {"give_up_ms": 4000.0, "goal_time_ms": 500.0, "key_scope": "cell", "late_value": 0.2}
        | {"name": "scrittura", "repeat_window_ms": 4000.0, "semantics": "guarded", "streaming": False}
        | {"worth": 2.0},
    ],
    "safety": {
        "answer_slack_ms": 8.0,
        "ask_every_ms": 10000.0,
        "cold_from": 0.19,
        "drain_grace_ms": 250.0,
        "fall_multiple": 2.5,
        "tip_after_ms": 1000.0,
        "warm_up_ms": 18000.0,
    },
    "service_type": "stores",
    "slot_no": 0,
    "tier": 0,
    "tiers": ["archivio"],
    "weights": "rough",
    "zones": ["sala-1"],
}


# An address of this play's own in 127.0.0.0/8, so that plays side by side cannot meet.
HOST = f"127.{os.getpid() >> 16 & 127 | 128}.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"


class NotRunError(Exception):
    """The case could not be played."""


def settings() -> dict[str, Any]:
    """Return a copy of the settings, for a case to change."""
    return copy.deepcopy(SETTINGS)


class Record:
    """What was sent, answered and run; written to `record.txt` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[str] = []
        self.started = time.monotonic()
        self("record", f"milliseconds since Unix time {time.time() * 1000:.0f} ms, then who, then what")

    def ms(self) -> float:
        return (time.monotonic() - self.started) * 1000

    def at(self, instant: float | None) -> str:
        """Return an instant of the monotonic clock as the lines of the record have it."""
        return "never" if instant is None else f"{(instant - self.started) * 1000:.1f} ms"

    def __call__(self, who: str, text: str) -> None:
        self.lines.append(f"{self.ms():9.1f} {who}: {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def encode(*words: bytes) -> bytes:
    """Return a command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_reply(reader: asyncio.StreamReader) -> Any:
    """Return a reply: bytes, None, a list, or a whole status or error line as str."""
    line = await reader.readuntil(b"\r\n")
    kind, text = line[:1], line[1:-2]
    if kind == b"$":
        return None if text == b"-1" else (await reader.readexactly(int(text) + 2))[:-2]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(max(0, int(text)))]
    return (kind + text).decode()


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the words of a command."""
    words = await read_reply(reader)
    if not isinstance(words, list) or not words:
        raise ConnectionError("no command")  # a storage server closes on what it cannot read
    return words


# --- storage servers


@dataclass
class Attempt:
    """One request that arrived whole at a storage server."""

    at: float  # seconds on the monotonic clock
    server: str
    id: str
    piece: str
    names: dict[str, str]
    body: bytes
    ran: bool = False
    value: bytes = b""


# Returns the reply to an attempt; None leaves it without one.  It calls `server.run` when the work runs.
Behaviour = Callable[["Storage", Attempt], Awaitable[bytes | None]]


async def serve_soon(server: Storage, attempt: Attempt) -> bytes | None:
    """Serve after a service time of 20 ms."""
    await asyncio.sleep(0.02)
    return server.run(attempt)


async def hang(server: Storage, attempt: Attempt) -> bytes | None:  # noqa: ARG001
    """Never answer, and never run."""
    await asyncio.Event().wait()
    return None


class Storage:
    """A storage server: holds one shard, answers in order, drops repeats of a key for the class's window."""

    def __init__(self, record: Record, name: str, shard: int, keeps_keys_s: float) -> None:
        self.record, self.name, self.shard, self.keeps_keys_s = record, name, shard, keeps_keys_s
        self.behaviour: Behaviour = serve_soon
        self.attempts: list[Attempt] = []
        self.keys: dict[str, tuple[float, bytes]] = {}  # when it ran first, and its value
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.dial = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.dial = f"{host}:{port}"

    def run(self, attempt: Attempt) -> bytes:
        """Run an attempt, or drop it as a repeat of its key; return the answer."""
        now, key = time.monotonic(), attempt.names.get("k", "")
        known = self.keys.get(key) if key else None
        if known is not None and now - known[0] <= self.keeps_keys_s:
            attempt.value = known[1]
            self.record(self.name, f"repeat {attempt.id} k={key} dropped")
        else:
            attempt.ran, attempt.value = True, f"{self.name}/{attempt.piece}/{attempt.id}".encode()
            if key:
                self.keys[key] = (now, attempt.value)
            self.record(self.name, f"ran {attempt.id} k={key or '-'}")
        return answer(attempt.value)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                words = await read_command(reader)
                if words[0] not in (b"IO.IN", b"IO.OUT"):
                    writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
                    continue
                names = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
                attempt = Attempt(
                    time.monotonic(),
                    self.name,
                    words[2].decode(),
                    words[1].decode(),
                    names,
                    b"".join(words[4:]),
                )
                self.attempts.append(attempt)
                self.record(
                    self.name,
                    f"arrived {attempt.id} piece={attempt.piece} {words[3].decode()} "
                    f"body={len(attempt.body)}",
                )
                if int(names["shard"]) not in (self.shard, -1):
                    writer.write(b"-BUSY\r\n")
                    continue
                reply = await self.behaviour(self, attempt)
                if reply is not None:
                    writer.write(reply)
                    self.record(self.name, f"answered {attempt.id} with {len(reply)} bytes")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0.05)


def answer(value: bytes) -> bytes:
    """Return the answer of a storage server: the value, the figures on use, no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$6\r\nused=9\r\n$-1\r\n" % (len(value), value)


# --- discovery


class Discovery:
    """The list of storage servers by HTTP/1.1, whole or as a watch on changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.seq = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.has_length = True  # otherwise the end of an answer is the end of its connection
        self.told: list[tuple[float, int]] = []  # when a version was written, in monotonic seconds
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def put(self, name: str, dial: str, shard: int, health: str = "active", born_ms: int = 0) -> None:
        """List a server, or change its entry."""
        self.seq += 1
        entry = {"host": name, "dial": dial, "site": "sala-1", "class": "box-std", "block": shard}
        self.entries[name] = entry | {"health": health, "share": 1.0, "born_ms": born_ms}
        self.changed_at[name] = self.seq
        self.record("discovery", f"seq {self.seq}: {name} {health}")
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def set_health(self, name: str, health: str) -> None:
        entry = self.entries[name]
        self.put(name, entry["dial"], entry["block"], health, entry["born_ms"])

    def whole(self) -> dict[str, Any]:
        listed = [entry for entry in self.entries.values() if entry["health"] != "left"]
        return {"seq": self.seq, "whole": True, "hosts": listed}

    def changes(self, after: int) -> dict[str, Any]:
        listed = [entry for name, entry in self.entries.items() if self.changed_at[name] > after]
        return {"seq": self.seq, "whole": False, "hosts": listed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = head.split(b" ")[1].decode().partition("?")[2]
                values = dict(pair.split("=") for pair in query.split("&") if pair)
                body = json.dumps(await self._answer(values)).encode()
                self.record("discovery", f"call {query or 'whole'}: {body.decode()}")
                if self.has_length:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%b" % body)
                self.told.append((time.monotonic(), self.seq))
                if not self.has_length:
                    await writer.drain()
                    return
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, values: dict[str, str]) -> dict[str, Any]:
        after = int(values.get("after", -1))
        if after < 0:
            return self.whole()
        with suppress(TimeoutError):
            async with asyncio.timeout(float(values.get("wait_ms", 0)) / 1000):
                while self.seq <= after:
                    await self.changed.wait()
        return self.changes(after)

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0.05)


# --- clients


@dataclass
class Asked:
    """One request of a client, and what became of it; times in monotonic seconds."""

    id: str
    sent_at: float
    wait_ms: float
    reply: Any = None
    replied_at: float | None = None
    left_at: float | None = None  # the client closed its connection
    ended_at: float | None = None  # the dispatcher did
    names: dict[str, str] = field(default_factory=dict)
    piece: str = ""
    size: int = 0

    def reply_ms(self) -> float:
        return -1.0 if self.replied_at is None else (self.replied_at - self.sent_at) * 1000


class Client:
    """A client on one connection; it may send several requests on it."""

    def __init__(
        self, record: Record, address: tuple[str, int], rng: random.Random, name: str = "client"
    ) -> None:
        self.record, self.address, self.rng, self.name = record, address, rng, name
        self.asked: list[Asked] = []
        self.open: list[Asked] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.news = asyncio.Event()

    async def connect(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(*self.address, limit=1 << 20)
        self.task = asyncio.create_task(self._read())
        return self

    def command(
        self,
        cls: str,
        shard: int,
        wait_ms: float,
        *,
        key: str = "",
        size: int = 0,
        piece: str = "",
        **others: str,
    ) -> tuple[Asked, bytes]:
        """Return a request and its command, not sent yet; `others` are further names, or other values."""
        names = {"c": cls, "t": "pro", "d": f"{wait_ms:g}"}
        if key:
            names["k"] = key
        names |= {"volume": "00000003b4d60021", "units": "2", "shard": str(shard), "hosts": "1"} | others
        asked = Asked(hex16(self.rng), 0.0, wait_ms, names=names, piece=piece or hex16(self.rng), size=size)
        text = ",".join(f"{name}={value}" for name, value in names.items()).encode()
        words = [b"IO.IN", asked.piece.encode(), asked.id.encode(), text]
        if key or size:
            words = [b"IO.OUT", *words[1:], b"x" * max(1, size)]
        return asked, encode(*words)

    def ask(self, cls: str, shard: int, wait_ms: float, **how: Any) -> Asked:
        """Send a request."""
        assert self.writer is not None
        asked, data = self.command(cls, shard, wait_ms, **how)
        self.writer.write(data)
        self.note_sent(asked)
        return asked

    def note_sent(self, asked: Asked) -> None:
        """Note that a request's last byte was written."""
        asked.sent_at = time.monotonic()
        self.asked.append(asked)
        self.open.append(asked)
        names = ",".join(f"{name}={value}" for name, value in asked.names.items())
        self.record(self.name, f"sent {asked.id} piece={asked.piece} {names} body={asked.size}")

    async def answered(self, asked: Asked, within_s: float) -> bool:
        """Wait for an answer or the connection's end; return whether there was an answer."""
        with suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while asked.replied_at is None and asked.ended_at is None:
                    self.news.clear()
                    await self.news.wait()
        return asked.replied_at is not None

    async def _read(self) -> None:
        assert self.reader is not None
        try:
            while True:
                reply = await read_reply(self.reader)
                if not self.open:
                    self.record(self.name, f"got what it did not ask for: {str(reply)[:80]}")
                    continue
                asked = self.open.pop(0)
                asked.reply, asked.replied_at = reply, time.monotonic()
                self.record(
                    self.name, f"answer to {asked.id} after {asked.reply_ms():.0f} ms: {str(reply)[:80]}"
                )
                self.news.set()
        except (asyncio.IncompleteReadError, OSError):
            for asked in self.open:
                if asked.left_at is None:
                    asked.ended_at = time.monotonic()
                    self.record(self.name, f"connection ended, {asked.id} has no answer")
            self.news.set()

    def leave(self) -> None:
        """Close the connection."""
        for asked in self.open:
            asked.left_at = time.monotonic()
            self.record(self.name, f"left, {asked.id} has no answer")
        if self.task is not None:
            self.task.cancel()
        if self.writer is not None:
            self.writer.close()

    def abort(self) -> None:
        """Close the connection at once; what the kernel has not taken yet is not sent."""
        self.leave()
        if self.writer is not None:
            self.writer.transport.abort()

    async def ping(self) -> bool:
        """Return whether the dispatcher answers PING."""
        assert self.writer is not None
        asked = Asked("ping", time.monotonic(), 1000)
        self.open.append(asked)
        self.writer.write(encode(b"PING"))
        return await self.answered(asked, 1.0) and asked.reply == "+PONG"


def hex16(rng: random.Random) -> str:
    return f"{rng.getrandbits(64):016x}"


# --- the dispatcher


class Dispatcher:
    """The dispatcher's process, started as the deploy file says."""

    def __init__(
        self, record: Record, discovery: Discovery, config: dict[str, Any], memory_mb: int = 96
    ) -> None:
        self.record = record
        with socket.socket() as free:
            free.bind((HOST, 0))
            self.address: tuple[str, int] = free.getsockname()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.address[1]}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": discovery.whole(),
            "settings": config,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        names = {
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=os.environ | names, stdout=log, stderr=log
            )
        limits, chosen = self.config["limits"], json.dumps(self.config["settings"])
        self.record("dispatcher", f"started, process {self.process.pid}; limits {limits}; settings {chosen}")

    async def ready(self, rng: random.Random) -> None:
        """Wait until it answers PING.  Raises NotRunError after 30 s."""
        until = time.monotonic() + 30
        while time.monotonic() < until:
            client = Client(self.record, self.address, rng, "ready")
            with suppress(OSError):
                await client.connect()
                pong = await client.ping()
                client.leave()
                if pong:
                    return
            await asyncio.sleep(0.05)
        raise NotRunError("the dispatcher is not ready")

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            for line in self.log().splitlines():
                self.record("dispatcher's log", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder: Path, rule: str, case: Callable[[Record], Awaitable[str]]) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    `rule` tells the record's reader what is checked.  `case` returns what broke it, empty if nothing did.
    """
    record = Record(folder)
    record("rule", rule)

    async def bounded() -> str:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: record("loop", context["message"])
        )
        async with asyncio.timeout(110):
            return await case(record)

    code = NOT_RUN
    try:
        broken = asyncio.run(bounded())
    except Exception as exc:  # noqa: BLE001
        broken = f"could not run: {type(exc).__name__}: {exc}"
    else:
        code = BROKEN if broken else HELD
    verdict = f"trouble={int(TROUBLE)} exit={code} {broken or 'the rule held'}"
    record("verdict", verdict)
    record.write()
    print(verdict)
    sys.exit(code)
