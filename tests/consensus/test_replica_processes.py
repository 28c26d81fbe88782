"""Three replica processes with relays between each pair, faults, and a history that is checked afterwards.

Only the history decides the result, not the timing: each step waits until decisions are acknowledged after
the fault, up to a limit at which the test fails for lack of progress.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

import anyio
import pytest

from cressrock import net
from cressrock.consensus.client import ClientSettings, ConsensusClient
from cressrock.consensus.environment import Environment
from cressrock.errors import consensus as errors

NAMES = ("p1", "p2", "p3")
MEMORY = Path("/dev/shm")
STEP_TIMEOUT_S = 90  # far more than any step takes on a slow machine


@pytest.fixture
def tmp_path():
    """Return a directory in memory if possible, since disk speed is not under test."""
    with tempfile.TemporaryDirectory(dir=MEMORY if MEMORY.is_dir() else None) as folder:
        yield Path(folder)


class Relay:
    """A proxy for one target that can block either direction; changing the block resets its connections."""

    def __init__(self):
        self.target = None
        self.to_target = asyncio.Event()  # set while this direction is open
        self.from_target = asyncio.Event()
        self.to_target.set()
        self.from_target.set()
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.open.add(task)
        target_writer = None
        try:
            await self.to_target.wait()
            host, port = self.target.split(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            copies = [
                self.copy(reader, target_writer, self.to_target),
                self.copy(target_reader, writer, self.from_target),
            ]
            done, rest = await asyncio.wait(
                [asyncio.ensure_future(copy) for copy in copies], return_when=asyncio.FIRST_COMPLETED
            )
            for one in rest:
                one.cancel()
        except (OSError, AttributeError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(task)
            for one in (writer, target_writer):
                if one is not None:
                    one.transport.abort()

    @staticmethod
    async def copy(reader, writer, unblocked):
        try:
            while data := await reader.read(65536):
                await unblocked.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def cut(self, to_target, from_target):
        for event, held in ((self.to_target, to_target), (self.from_target, from_target)):
            if held:
                event.clear()
            else:
                event.set()
        for task in list(self.open):
            task.cancel()  # data in transit is lost


class ProcessCluster:
    """Replicas as processes; `relays[a, b]` carries the connections that `a` dials to `b`."""

    def __init__(self, path, seed):
        self.path, self.seed = path, seed
        self.relays, self.processes, self.lines, self.pumps = {}, {}, {}, {}
        self.source = random.Random(seed)

    async def begin(self, extra=()):
        for a in (*NAMES, *extra):
            for b in NAMES:
                if a != b:
                    self.relays[a, b] = await Relay().start()
        for name in NAMES:
            await self.start(name)

    async def start(self, name, *options):
        seats = {b: self.relays[name, b].address if b != name else "127.0.0.1:1" for b in NAMES}
        self.processes[name] = process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cressrock.lab.seat",
            name,
            str(self.path / name),
            json.dumps(seats),
            *options,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        first = json.loads(await asyncio.wait_for(process.stdout.readline(), STEP_TIMEOUT_S))
        for (_, b), relay in self.relays.items():
            if b == name:
                relay.target = first["listening"]
        self.lines.setdefault(name, [])
        self.pumps[name] = asyncio.ensure_future(self.read(name, process))

    async def read(self, name, process):
        while line := await process.stdout.readline():
            self.lines[name].append(json.loads(line))

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    async def kill(self, name):
        process = self.processes.pop(name)
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await self.pumps.pop(name)

    async def end(self):
        for name in list(self.processes):
            await self.kill(name)
        for relay in self.relays.values():
            relay.server.close()
            relay.cut(False, False)
        await asyncio.sleep(0)

    def client(self, tasks, name):
        seats = {b: self.relays[name, b].address for b in NAMES}
        client_environment = Environment(
            net.clock(), net.wall_ms, net.connect, random.Random(f"{self.seed}{name}{id(self)}")
        )
        return ConsensusClient(
            client_environment,
            tasks,
            "lab",
            name,
            seats,
            ClientSettings(timeout_ms=4000, attempt_timeout_ms=400),
        )

    def cut(self, name, *, out, into):
        """Block the traffic from `name` to other replicas (`out`), from them to it (`into`), or both."""
        for (a, b), relay in self.relays.items():
            if a in NAMES and name in (a, b):
                relay.cut(out if a == name else into, into if a == name else out)

    async def leader(self, client):
        while True:
            for name in list(self.processes):
                status = await client.status(name, timeout_ms=300)
                if status and status["role"] == "leader":
                    return name
            await asyncio.sleep(0.02)


class History:
    """Appends and reads of a list that clients change by compare-and-set, in the order of this process."""

    def __init__(self):
        self.order = 0
        self.appends = []  # (item, began, ended or None, number or None)
        self.reads = []  # (began, ended, list, number)
        self.errors = {}

    def tick(self):
        self.order += 1
        return self.order

    @property
    def acknowledged(self):
        return [one for one in self.appends if one[2] is not None]

    async def append(self, client, label):
        count = 0
        while True:
            try:
                began = self.tick()
                current = await client.read("list")
                items = json.loads(current.value) if current else []
                if current:
                    self.reads.append((began, self.tick(), items, current.version))
                count += 1
                item = f"{label}{count}"
                record = [item, self.tick(), None, None]
                self.appends.append(record)
                value = json.dumps([*items, item]).encode()
                made = await client.decide("list", value, 60000, current.version if current else 0)
                record[2:] = [self.tick(), made.version]
            except (
                errors.DecisionConflictError,
                errors.NoQuorumError,
                errors.RequestForgottenError,
            ) as wrong:
                if isinstance(wrong, errors.DecisionConflictError):
                    self.appends.remove(record)  # known not to be applied
                self.errors[wrong.code] = self.errors.get(wrong.code, 0) + 1

    async def progress(self, count=4):
        wanted = len(self.acknowledged) + count
        with anyio.fail_after(STEP_TIMEOUT_S):
            while len(self.acknowledged) < wanted:
                await asyncio.sleep(0.01)

    def check(self, final):
        """Raise AssertionError unless all calls are consistent with one append-only list."""
        assert len(set(final)) == len(final), "an append was applied twice"
        positions = {item: position for position, item in enumerate(final)}
        for item, _, _, _ in self.acknowledged:
            assert item in positions, f"{item} was acknowledged, but is lost"
        assert set(final) <= {one[0] for one in self.appends}, "an item that no client appended"
        done = sorted(self.acknowledged, key=lambda one: positions[one[0]])
        numbers = [one[3] for one in done]
        assert numbers == sorted(set(numbers)), "versions do not increase in the order of decisions"
        for one, two in zip(done, done[1:], strict=False):
            assert one[1] < two[2], "a decision is ordered before one that ended before it began"
        for began, ended, items, number in self.reads:
            assert items == final[: len(items)], "a read is not a prefix of the final list"
            for item, since, until, made in self.acknowledged:
                if until < began:
                    assert positions[item] < len(items) and made <= number, (
                        f"a read misses the earlier append {item}"
                    )
                if since > ended:
                    assert positions[item] >= len(items), f"a read contains {item} before it was appended"

    def check_applied(self, lines):
        """Check that each request has one outcome at all replicas; return the number of requests."""
        outcomes = {}
        for one in lines:
            if "request" in one:
                key, result = one["request"], (one["outcome"], one["number"])
                assert outcomes.setdefault(key, result) == result
        numbers = [number for outcome, number in outcomes.values() if outcome == "done"]
        assert len(numbers) == len(set(numbers))
        return len(outcomes)


def test_the_history_checker_detects_violations():
    def history():
        found = History()
        found.appends = [["a", 1, 3, 10], ["b", 4, 6, 12], ["c", 7, None, None]]
        found.reads = [(8, 9, ["a", "b"], 12)]
        return found

    history().check(["a", "b"])
    history().check(["a", "b", "c"])
    for final in (["a"], ["b", "a"], ["a", "b", "a"], ["a", "b", "x"]):
        with pytest.raises(AssertionError):
            history().check(final)
    for change in ({"reads": [(8, 9, ["a"], 10)]}, {"reads": [(1, 2, ["a", "b"], 12)]}):
        wrong = history()
        wrong.reads = change["reads"]
        with pytest.raises(AssertionError):
            wrong.check(["a", "b"])
    wrong = history()
    wrong.appends[1][3] = 9
    with pytest.raises(AssertionError):
        wrong.check(["a", "b"])


async def run_faults(path, seed, faults):
    cluster = ProcessCluster(path, seed)
    history = History()
    await cluster.begin(("one", "two", "watch"))
    try:
        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as work:
                one, two, watch = (cluster.client(tasks, name) for name in ("one", "two", "watch"))
                work.start_soon(history.append, one, "a")
                work.start_soon(history.append, two, "b")
                await history.progress()
                for fault in faults:
                    with anyio.fail_after(STEP_TIMEOUT_S):
                        name = await cluster.leader(watch)
                    await fault(cluster, history, name)
                    await history.progress()
                work.cancel_scope.cancel()
            final = json.loads((await watch.read("list", timeout_ms=STEP_TIMEOUT_S * 1000)).value)
            tasks.cancel_scope.cancel()
    finally:
        await cluster.end()
    history.check(final)
    lines = [line for name in NAMES for line in cluster.lines[name]]
    requests = history.check_applied(lines)
    result = f"{len(history.acknowledged)} acknowledged, {len(history.reads)} reads, {requests} requests"
    sys.stderr.write(f"seed {seed}: {result}, errors {history.errors}\n")
    leads = {}
    for line in lines:
        if (status := line.get("status")) and status["role"] == "leader":
            leads.setdefault(status["term"], set()).add(status["identity"])
    assert all(len(who) == 1 for who in leads.values()), leads
    return history, leads


async def kill_leader(cluster, history, name):
    await cluster.kill(name)
    await history.progress()
    await cluster.start(name)


async def suspend_leader(cluster, history, name):
    cluster.signal(name, signal.SIGSTOP)
    try:
        await history.progress()  # acknowledged by a leader of a newer term
    finally:
        cluster.signal(name, signal.SIGCONT)


async def block_outgoing(cluster, history, name):
    cluster.cut(name, out=True, into=False)
    await history.progress()
    cluster.cut(name, out=False, into=False)


async def block_incoming(cluster, history, name):
    cluster.cut(name, out=False, into=True)
    await history.progress()
    cluster.cut(name, out=False, into=False)


async def restart_all(cluster, history, name):
    for one in NAMES:
        cluster.signal(one, signal.SIGKILL)
    for one in NAMES:
        await cluster.kill(one)
    for one in NAMES:
        await cluster.start(one, "--start", "expect")


def run_drill(path, seed, faults):
    print("seed", seed)
    return anyio.run(run_faults, path, seed, faults)


def test_killed_leaders_and_restart_of_all_replicas(tmp_path):
    history, leads = run_drill(tmp_path, 1, [kill_leader, restart_all, kill_leader])
    assert len(leads) >= 3 and len(history.acknowledged) >= 20


def test_suspended_leader_and_one_way_partitions(tmp_path):
    history, leads = run_drill(tmp_path, 2, [suspend_leader, block_outgoing, block_incoming])
    assert len(leads) >= 3 and len(history.acknowledged) >= 20
