"""Small stand-ins for the cases: the platform, discovery, storage servers and clients, on loopback sockets.

They use the standard library only and follow the operators' pages.  Every event goes to a record.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def encode(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else str(word).encode()
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


def answer(value):
    """Encode a storage server's answer: the value, no figures on use, no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def read_command(reader):
    """Return the words of the next command, or None at the end of the connection."""
    try:
        count = int((await reader.readline())[1:])
        words = []
        for _ in range(count):
            length = int((await reader.readline())[1:])
            words.append((await reader.readexactly(length + 2))[:-2])
    except (ValueError, OSError, asyncio.IncompleteReadError):
        return None
    return words


async def read_reply(reader):
    """Return a reply as a client sees it: ("served", value), ("refused", line), ("failed", line) or None."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return None
        if line.startswith(b"$") and line != b"$-1\r\n":
            return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
        return "refused" if line.startswith(b"-BUSY") else "failed", line.strip()
    except (OSError, asyncio.IncompleteReadError):
        return None


def names_of(words):
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class Record:
    """Collects what was sent, answered and run, with milliseconds since the start."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def ms(self):
        return (time.monotonic() - self.start) * 1000

    def __call__(self, text):
        self.lines.append(f"{self.ms():9.1f} ms  {text}")

    def save(self, folder):
        (Path(folder) / "record.txt").write_text("\n".join(self.lines) + "\n")


class Discovery:
    """Discovery: the whole list, and watches, over HTTP/1.1."""

    def __init__(self):
        self.hosts, self.version, self.changed = {}, 1, {}
        self.news = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    def put(self, host, dial, block, health="active", born_ms=0):
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
        self.changed[host] = self.version
        self.news.set()
        self.news = asyncio.Event()

    def whole(self):
        hosts = [entry for entry in self.hosts.values() if entry["health"] != "left"]
        return {"seq": self.version, "whole": True, "hosts": hosts}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
                value = self.whole()
                if int(query.get("after", -1)) >= 0:
                    after, wait_ms = int(query["after"]), float(query.get("wait_ms", 0))
                    if self.version <= after and wait_ms:
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(self.news.wait(), wait_ms / 1000)
                    hosts = [entry for host, entry in self.hosts.items() if self.changed[host] > after]
                    value = {"seq": self.version, "whole": False, "hosts": hosts}
                body = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class StorageServer:
    """A storage server: `serve(server, words)` is awaited for each command and returns the bytes to write.

    While `hung` is set it begins commands, but writes nothing; what it has to write leaves afterwards.
    """

    def __init__(self, name, block, serve):
        self.name, self.block, self.serve = name, block, serve
        self.going_on = asyncio.Event()
        self.going_on.set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    def hang(self):
        self.going_on.clear()

    def go_on(self):
        self.going_on.set()

    async def _serve(self, reader, writer):
        try:
            while (words := await read_command(reader)) is not None:
                if words[0] not in (b"IO.IN", b"IO.OUT"):
                    writer.write(b"+OK\r\n" if words[0] in (b"CLIENT", b"SELECT") else b"-ERR\r\n")
                    continue
                reply = await self.serve(self, words)
                await self.going_on.wait()
                if reply is not None:
                    writer.write(reply)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Dispatcher:
    """One dispatcher, started by the deploy file's `run` as the platform starts it."""

    def __init__(self, discovery, settings, *, memory_mb=192, sockets=1024, name="d0"):
        self.address = ("127.0.0.1", free_port())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.config = {
            "name": name,
            "listen": "{}:{}".format(*self.address),
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.whole(),
            "settings": settings,
        }
        self.path = self.folder / "config.json"
        self.path.write_text(json.dumps(self.config))
        self.process = None

    async def start(self):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = dict(os.environ)
        environment.update(
            LB_NAME=self.config["name"],
            LB_LISTEN=self.config["listen"],
            LB_DISCOVERY=self.config["discovery"],
            LB_CONFIG=str(self.path),
            TMPDIR=str(self.folder),
            PYTHONDONTWRITEBYTECODE="1",
        )
        self.log = (self.folder / "log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        for _ in range(300):
            if self.process.returncode is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(encode("PING"))
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return self
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the dispatcher is not ready: " + (self.folder / "log").read_text()[-2000:])

    def send_signal(self, number):
        if self.process.returncode is None:
            os.kill(self.process.pid, number)

    def memory_mb(self):
        """Return the process's resident memory without what it maps from files, and all of it."""
        found = {}
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                key, _, value = line.partition(":")
                if key in ("RssAnon", "VmRSS"):
                    found[key] = int(value.split()[0]) / 1024
        return found.get("RssAnon", 0.0), found.get("VmRSS", 0.0)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.process is not None:
            self.log.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One client connection."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.dispatcher.address, limit=1 << 20)
        return self

    async def ask(self, command):
        self.writer.write(command)
        return await read_reply(self.reader)

    def leave(self):
        self.writer.transport.abort()


def names(c, *, d, k="", volume="00000003b4d60021", t="pro", units=1, shard=0, hosts=1):
    key = f"k={k}," if k else ""
    return f"c={c},t={t},d={d},{key}volume={volume},units={units},shard={shard},hosts={hosts}"


def settings(*profiles, shards=1, **caps):
    """Return settings of a small deployment in the form of the wire page's example."""
    return {
        "balancers": 2,
        "caps": {
            "cancel": True,
            "connect_timeout_ms": 250.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 300000,
            "idle_close_ms": 15000.0,
            "max_attempts": 3,
            "max_open": 20000,
            "max_retry_after_ms": 2000.0,
            "multiplex": 100,
            "peers": False,
            "probing": False,
            "retry_after": True,
            "second_copies": False,
        }
        | caps,
        "clients": {"marks_retry": False},
        "family_info": {
            "cold_bears": 13.0,
            "counts_others": True,
            "idle_worth": 0.1,
            "most_units": 8,
            "n_shards": shards,
            "use_period_ms": 1000.0,
            "usual_units": 2.15,
            "within_share": 0.4,
            "writes": [profile["name"] != "lettura" for profile in profiles],
        },
        "kinds": ["box-std"],
        "load_info": {"fields": [], "via": "silent"},
        "membership_mode": "ask",
        "my_zone": 0,
        "period_ms": 2.0,
        "policies": [
            {
                "burst": 0.0,
                "ceiling_rate": 0.0,
                "name": "pro",
                "rate": 200.0,
                "reserve": 100.0,
                "slack": 0.0,
                "value_factor": 1.2,
                "weight": 2.0,
            }
        ],
        "profiles": list(profiles),
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
        "weights": "silent",
        "zones": ["a"],
    }


def profile(name, semantics, *, goal_ms, give_up_ms, scope="cell", window_ms=0.0):
    return {
        "name": name,
        "semantics": semantics,
        "key_scope": scope,
        "repeat_window_ms": window_ms,
        "goal_time_ms": goal_ms,
        "give_up_ms": give_up_ms,
        "late_value": 0.2,
        "streaming": False,
        "worth": 2.0,
    }


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, case, limit_s=100):
    """Run `await case(record)`, which returns whether the rule held; save the record and exit."""
    record, result = Record(), COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        held = asyncio.run(asyncio.wait_for(case(record), limit_s))
        result = HELD if held else BROKEN
    finally:
        if result == COULD_NOT_RUN:
            record("the case could not run: " + traceback.format_exc(limit=-3).replace("\n", " | "))
        record(f"result: {('the rule held', 'the rule was broken', 'could not run')[result]}")
        record.save(folder)
        print("\n".join(record.lines[-6:]))
        sys.exit(result)
