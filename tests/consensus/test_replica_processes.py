"""Three replicas as processes, relays between each pair, faults, and a history that is checked afterwards.

Verdicts rest on the history alone: each step waits until something has happened (decisions acknowledged after
the fault), however long it takes, up to a bound at which the test says that nothing moves any more.
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
BOUND = 90  # seconds for any one step: far beyond what a slow machine takes


@pytest.fixture
def tmp_path():
    """A folder in memory where there is one: what is tested here is no disk's speed."""
    with tempfile.TemporaryDirectory(dir=MEMORY if MEMORY.is_dir() else None) as folder:
        yield Path(folder)


class Relay:
    """One listener before one target; each direction can be held back, which healing ends with a reset."""

    def __init__(self):
        self.target = None
        self.there = asyncio.Event()  # towards the target
        self.back = asyncio.Event()
        self.there.set()
        self.back.set()
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.open.add(task)
        far = None
        try:
            await self.there.wait()
            host, port = self.target.split(":")
            far_reader, far = await asyncio.open_connection(host, int(port))
            ways = [self.pump(reader, far, self.there), self.pump(far_reader, writer, self.back)]
            done, rest = await asyncio.wait(
                [asyncio.ensure_future(way) for way in ways], return_when=asyncio.FIRST_COMPLETED
            )
            for one in rest:
                one.cancel()
        except (OSError, AttributeError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(task)
            for one in (writer, far):
                if one is not None:
                    one.transport.abort()

    @staticmethod
    async def pump(reader, writer, free):
        try:
            while data := await reader.read(65536):
                await free.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def cut(self, there, back):
        for event, held in ((self.there, there), (self.back, back)):
            if held:
                event.clear()
            else:
                event.set()
        for task in list(self.open):
            task.cancel()  # what was on its way is lost


class Drill:
    """Replicas as processes; `relays[a, b]` carries what `a` dials to `b`."""

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
        first = json.loads(await asyncio.wait_for(process.stdout.readline(), BOUND))
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
        world = Environment(
            net.clock(), net.wall_ms, net.connect, random.Random(f"{self.seed}{name}{id(self)}")
        )
        return ConsensusClient(
            world, tasks, "lab", name, seats, ClientSettings(timeout_ms=4000, attempt_timeout_ms=400)
        )

    def cut(self, name, *, out, into):
        """Hold back what `name` says to other replicas, what they say to it, or both."""
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
    """Calls in the order of this process: a list that clients append to by compare-and-set, and reads."""

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
                stands = await client.read("list")
                items = json.loads(stands.value) if stands else []
                if stands:
                    self.reads.append((began, self.tick(), items, stands.version))
                count += 1
                item = f"{label}{count}"
                record = [item, self.tick(), None, None]
                self.appends.append(record)
                value = json.dumps([*items, item]).encode()
                made = await client.decide("list", value, 60000, stands.version if stands else 0)
                record[2:] = [self.tick(), made.version]
            except (
                errors.DecisionConflictError,
                errors.NoQuorumError,
                errors.RequestForgottenError,
            ) as wrong:
                if isinstance(wrong, errors.DecisionConflictError):
                    self.appends.remove(record)  # known not to stand
                self.errors[wrong.code] = self.errors.get(wrong.code, 0) + 1

    async def progress(self, count=4):
        wanted = len(self.acknowledged) + count
        with anyio.fail_after(BOUND):
            while len(self.acknowledged) < wanted:
                await asyncio.sleep(0.01)

    def check(self, final):
        """Raise AssertionError where any of it is not one list that only grew."""
        assert len(set(final)) == len(final), "an append was applied twice"
        place = {item: position for position, item in enumerate(final)}
        for item, _, _, _ in self.acknowledged:
            assert item in place, f"{item} was acknowledged and is lost"
        assert set(final) <= {one[0] for one in self.appends}, "an item that nobody appended"
        done = sorted(self.acknowledged, key=lambda one: place[one[0]])
        numbers = [one[3] for one in done]
        assert numbers == sorted(set(numbers)), "numbers do not grow with the order of decisions"
        for one, two in zip(done, done[1:], strict=False):
            assert one[1] < two[2], "a decision stands before one that ended before it began"
        for began, ended, items, number in self.reads:
            assert items == final[: len(items)], "a read that is no past of the end"
            for item, since, until, made in self.acknowledged:
                if until < began:
                    assert place[item] < len(items) and made <= number, f"a read that is older than {item}"
                if since > ended:
                    assert place[item] >= len(items), f"a read of {item} before it was asked"

    def check_applied(self, lines):
        """Every request came to one outcome wherever and however often it was applied."""
        outcomes = {}
        for one in lines:
            if "request" in one:
                key, told = one["request"], (one["outcome"], one["number"])
                assert outcomes.setdefault(key, told) == told
        numbers = [number for outcome, number in outcomes.values() if outcome == "done"]
        assert len(numbers) == len(set(numbers))
        return len(outcomes)


def test_the_checker_finds_what_it_is_for():
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


async def drill(path, seed, faults):
    it = Drill(path, seed)
    history = History()
    await it.begin(("one", "two", "watch"))
    try:
        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as work:
                one, two, watch = (it.client(tasks, name) for name in ("one", "two", "watch"))
                work.start_soon(history.append, one, "a")
                work.start_soon(history.append, two, "b")
                await history.progress()
                for fault in faults:
                    with anyio.fail_after(BOUND):
                        name = await it.leader(watch)
                    await fault(it, history, name)
                    await history.progress()
                work.cancel_scope.cancel()
            final = json.loads((await watch.read("list", timeout_ms=BOUND * 1000)).value)
            tasks.cancel_scope.cancel()
    finally:
        await it.end()
    history.check(final)
    lines = [line for name in NAMES for line in it.lines[name]]
    requests = history.check_applied(lines)
    told = f"{len(history.acknowledged)} acknowledged, {len(history.reads)} reads, {requests} requests"
    sys.stderr.write(f"seed {seed}: {told}, errors {history.errors}\n")
    leads = {}
    for line in lines:
        if (status := line.get("status")) and status["role"] == "leader":
            leads.setdefault(status["term"], set()).add(status["identity"])
    assert all(len(who) == 1 for who in leads.values()), leads
    return history, leads


async def killed(it, history, name):
    await it.kill(name)
    await history.progress()
    await it.start(name)


async def stopped(it, history, name):
    it.signal(name, signal.SIGSTOP)
    try:
        await history.progress()  # decided by a leader of a newer term
    finally:
        it.signal(name, signal.SIGCONT)


async def mute(it, history, name):
    it.cut(name, out=True, into=False)
    await history.progress()
    it.cut(name, out=False, into=False)


async def deaf(it, history, name):
    it.cut(name, out=False, into=True)
    await history.progress()
    it.cut(name, out=False, into=False)


async def all_at_once(it, history, name):
    for one in NAMES:
        it.signal(one, signal.SIGKILL)
    for one in NAMES:
        await it.kill(one)
    for one in NAMES:
        await it.start(one, "--start", "expect")


def play(path, seed, faults):
    print("seed", seed)
    return anyio.run(drill, path, seed, faults)


def test_a_leader_killed_again_and_again_and_all_at_once(tmp_path):
    history, leads = play(tmp_path, 1, [killed, all_at_once, killed])
    assert len(leads) >= 3 and len(history.acknowledged) >= 20


def test_a_leader_stopped_past_its_term_mute_or_deaf(tmp_path):
    history, leads = play(tmp_path, 2, [stopped, mute, deaf])
    assert len(leads) >= 3 and len(history.acknowledged) >= 20
