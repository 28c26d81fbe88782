"""Simulated clusters of transports, and member processes over loopback."""

import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

import anyio

from cressrock.errors.membership import FencedError, MalformedPacketError
from cressrock.gossip.transport import ClusterTransport, ClusterTransportSettings, TransportEnvironment
from cressrock.lab.day import simulate
from cressrock.lab.simnet import SimNet
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Identity

SEED = 11


class SilentLog:
    def info(self, event, **fields):
        pass


class LetterStore:
    """A GossipState that replicates a set of single letters."""

    def __init__(self, held=""):
        self.held, self.sent, self.retained = set(held), set(), set()

    def recent_changes(self, max_bytes):
        new = self.held - self.sent
        self.sent |= new
        return "".join(sorted(new)).encode()

    def digest(self, max_bytes):
        return b"+" + "".join(sorted(self.held)).encode()

    def deltas(self, digest, max_bytes, count):
        if not digest.startswith(b"+"):
            raise MalformedPacketError("not a digest")
        missing = "".join(sorted(self.held - set(digest.decode())))[:max_bytes].encode()
        return [missing] if missing else []

    def merge(self, data):
        self.held |= set(data.decode())

    def full_state(self, after, max_bytes):
        offset = after or 0
        held = sorted(self.held)
        return "".join(held[offset : offset + 2]).encode(), (offset + 2 if offset + 2 < len(held) else None)

    def retain_origins(self, origins):
        self.retained = set(origins)


class SimulatedCluster:
    """Cluster transports in one simulated network."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.net = SimNet(tasks, SEED)
        self.scopes, self.fenced_errors = {}, {}

    def start(self, name, seeds=(), *, process_incarnation=1, letters="", address=None, **changes):
        address = address or f"{name}:1"
        environment = TransportEnvironment(
            self.net.datagrams(address), self.net.connect, lambda: anyio.current_time() * 1000
        )
        settings = ClusterTransportSettings(seeds=tuple(seeds), **changes)
        source = random.Random(f"{SEED} {name} {process_incarnation}")
        transport = ClusterTransport(
            settings,
            Identity(name, process_incarnation, address),
            environment,
            LetterStore(letters),
            source,
            SilentLog(),
        )
        self.net.listen(address, transport.serve)
        self.tasks.start_soon(self._run, transport, address)
        return transport

    async def _run(self, transport, address):
        with anyio.CancelScope() as self.scopes[address]:
            try:
                await transport.run()
            except FencedError as error:
                self.fenced_errors[address] = error

    def kill(self, transport):
        address = transport.membership.local.address
        self.net.sockets.pop(address, None)
        self.net.close(address)
        self.scopes[address].cancel()


def alive_names(transport):
    return {v.name for v in transport.membership.view(0) if v.state is MemberState.ALIVE}


def run_simulation(scenario):
    async def program():
        async with anyio.create_task_group() as tasks:
            await scenario(SimulatedCluster(tasks))
            tasks.cancel_scope.cancel()

    simulate(program, SEED)


async def wait_until(condition, seconds=60):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.1)


class MemberProcess:
    """A member in a separate process; a thread reads the JSON lines that it prints."""

    def __init__(self, name, seeds=(), process_incarnation=0, period_ms=300):
        command = [sys.executable, "-m", "cressrock.lab.member", "--name", name,
                   "--life", str(process_incarnation), "--period-ms", str(period_ms)]  # fmt: skip
        for seed in seeds:
            command += ["--seed", seed]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.address = json.loads(self.process.stdout.readline())["address"]
        self.view, self.events, self.lines = {}, [], []
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stdout:
            record = json.loads(line)
            self.lines.append(record)
            self.view = record.get("view", self.view)
            if "event" in record:
                self.events.append((record["event"], record["member"]))

    def end(self):
        for number in (signal.SIGCONT, signal.SIGKILL):
            if self.process.poll() is None:
                os.kill(self.process.pid, number)
        self.process.wait()
        self.reader.join()
        self.process.stdout.close()


def wait_for_processes(condition, processes):
    deadline = time.monotonic() + 60  # bounds the test's run time if it fails
    while not condition():
        assert time.monotonic() < deadline, [(p.address, p.view) for p in processes]
        time.sleep(0.02)
