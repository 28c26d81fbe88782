"""Stand-ins for the platform: storage servers that speak RESP2, and discovery, on loopback sockets.

A server follows a script: for each command a list of steps, the last of which goes on for ever.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cressrock.resp import codec

Script = Callable[[list[bytes]], bytes | None]


def answer(value: bytes, use: bytes | None = None, load: bytes | None = None) -> bytes:
    """Write an answer: the value, the figures on use and the load report, null where there are none."""
    parts = [codec.bulk(value), *(b"$-1\r\n" if part is None else codec.bulk(part) for part in (use, load))]
    return b"*3\r\n" + b"".join(parts)


def echo(words: list[bytes]) -> bytes:
    """Serve a value that tells which request it was made for."""
    return answer(b"value of " + words[2])


@dataclass(eq=False)
class StorageServer:
    """One storage server.  `script` gives the bytes to write for a command; None: it stays silent."""

    script: Script = echo
    seen: list[list[bytes]] = field(default_factory=list)
    connections: int = 0
    open: set[asyncio.StreamWriter] = field(default_factory=set)
    address: str = ""
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    held_until: asyncio.Event | None = None  # answers wait for it, if it is set
    _server: asyncio.Server | None = None

    async def start(self) -> StorageServer:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Refuse new connections and break those that are open."""
        assert self._server is not None
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open.add(writer)
        parser = codec.CommandParser()
        try:
            while data := await reader.read(65536):
                commands, wrong = parser.feed(data)
                for words in commands:
                    self.seen.append(words)
                    self.arrived.set()
                    if self.held_until is not None:
                        await self.held_until.wait()
                    reply = self.script(words)
                    if reply is not None:
                        writer.write(reply)
                if wrong is not None:
                    break
        except ConnectionError:
            pass
        finally:
            self.open.discard(writer)
            writer.close()


@dataclass(eq=False)
class Discovery:
    """Discovery: the list and its watch, over HTTP/1.1.  Entries are in the platform's form."""

    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    version: int = 1
    calls: int = 0
    address: str = ""
    failing: bool = False
    silent: set[asyncio.StreamWriter] = field(default_factory=set)  # these never hear anything again
    halved: bool = False  # the next answer stops in the middle, and its connection falls silent
    open: set[asyncio.StreamWriter] = field(default_factory=set)
    _changed: dict[str, int] = field(default_factory=dict)
    _news: asyncio.Event = field(default_factory=asyncio.Event)
    _server: asyncio.Server | None = None

    async def start(self) -> Discovery:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def fall_silent(self) -> None:
        """Let every open watch fall silent; new connections are served."""
        self.silent |= self.open

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in self.open:
            writer.transport.abort()

    def put(self, host: str, dial: str, block: int, health: str = "active", born_ms: float = 0) -> None:
        """Enter or change an entry; a new version."""
        self.version += 1
        self.hosts[host] = {
            "host": host,
            "dial": dial,
            "site": "a",
            "class": "m",
            "block": block,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        self._changed[host] = self.version
        news, self._news = self._news, asyncio.Event()
        news.set()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        here = [entry for entry in self.hosts.values() if entry["health"] != "left"]
        return {"seq": self.version, "whole": True, "hosts": here}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                if self.failing:
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    continue
                target = head.split(b" ")[1].decode()
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                value = self.whole() if "after" not in query else await self._after(query)
                body = value if isinstance(value, bytes) else json.dumps(value, indent=2).encode()
                if writer in self.silent:
                    continue
                whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
                if self.halved:
                    self.halved = False
                    self.silent.add(writer)
                    whole = whole[: len(whole) // 2]
                writer.write(whole)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def _after(self, query: dict[str, str]) -> dict[str, Any] | bytes:
        after, wait = int(query["after"]), int(query.get("wait_ms", 0))
        if self.version <= after and wait:
            try:
                async with asyncio.timeout(wait / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
        changed = [entry for host, entry in self.hosts.items() if self._changed[host] > after]
        return {"seq": self.version, "whole": False, "hosts": changed}


def config(discovery: Discovery, **changes: Any) -> dict[str, Any]:
    """Return a configuration in the platform's form, for a dispatcher that listens on any free port."""
    settings = {
        "balancers": 2,
        "caps": {
            "cancel": True,
            "connect_timeout_ms": 250.0,
            "idle_close_ms": 15000.0,
            "max_attempts": 3,
            "max_retry_after_ms": 2000.0,
        },
        "family_info": {
            "cold_bears": 13.0,
            "counts_others": True,
            "most_units": 8,
            "n_shards": 4,
            "usual_units": 2.0,
            "use_period_ms": 1000.0,
            "writes": [False, True],
            "within_share": 0.4,
            "idle_worth": 0.1,
        },
        "membership_mode": "ask",
        "period_ms": 2.0,
        "policies": [
            {"name": "silver", "weight": 1.0, "rate": 400.0, "reserve": 200.0},
            {"name": "gold", "weight": 2.0, "rate": 400.0, "reserve": 200.0},
        ],
        "profiles": [
            {"name": "read", "goal_time_ms": 1000.0, "give_up_ms": 5000.0, "semantics": "free", "worth": 3.0},
            {
                "name": "write",
                "goal_time_ms": 1000.0,
                "give_up_ms": 5000.0,
                "semantics": "guarded",
                "key_scope": "cell",
                "repeat_window_ms": 4000.0,
                "worth": 2.0,
            },
        ],
        "safety": {
            "answer_slack_ms": 50.0,
            "ask_every_ms": 10000.0,
            "cold_from": 0.2,
            "drain_grace_ms": 250.0,
            "tip_after_ms": 1000.0,
            "warm_up_ms": 18000.0,
        },
        "zones": ["a"],
    }
    value = {
        "name": "d0",
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": discovery.whole(),
        "settings": settings,
    }
    return value | changes
