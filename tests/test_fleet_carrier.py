"""The fleet's carrier: in simulated time, and as processes of their own over loopback."""

import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

import anyio
import pytest

from cressrock.errors.membership import FencedError, MalformedPacketError
from cressrock.gossip.anti_entropy import AntiEntropy, AntiEntropySettings
from cressrock.gossip.transport import ClusterTransport, ClusterTransportSettings, TransportEnvironment
from cressrock.lab.day import simulate
from cressrock.lab.simnet import SimNet
from cressrock.membership import packets as m
from cressrock.membership.membership import Identity, Membership, MembershipSettings, OutgoingMessage
from cressrock.membership.packets import MemberState

SEED = 11


class Quiet:
    def info(self, event, **fields):
        pass


class Letters:
    """A spread that is a set of single letters."""

    def __init__(self, held=""):
        self.held, self.told, self.admitted = set(held), set(), set()

    def recent_changes(self, max_bytes):
        new = self.held - self.told
        self.told |= new
        return "".join(sorted(new)).encode()

    def digest(self, max_bytes):
        return b"+" + "".join(sorted(self.held)).encode()

    def deltas(self, digest, max_bytes, count):
        if not digest.startswith(b"+"):
            raise MalformedPacketError("no digest")
        lacks = "".join(sorted(self.held - set(digest.decode())))[:max_bytes].encode()
        return [lacks] if lacks else []

    def merge(self, data):
        self.held |= set(data.decode())

    def full_state(self, after, max_bytes):
        at = after or 0
        held = sorted(self.held)
        return "".join(held[at : at + 2]).encode(), (at + 2 if at + 2 < len(held) else None)

    def retain_origins(self, origins):
        self.admitted = set(origins)


class Town:
    """Fleets in one simulated network."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.net = SimNet(tasks, SEED)
        self.scopes, self.ends = {}, {}

    def start(self, name, seeds=(), *, life=1, letters="", address=None, **changes):
        address = address or f"{name}:1"
        world = TransportEnvironment(
            self.net.datagrams(address), self.net.connect, lambda: anyio.current_time() * 1000
        )
        settings = ClusterTransportSettings(seeds=tuple(seeds), **changes)
        source = random.Random(f"{SEED} {name} {life}")
        fleet = ClusterTransport(
            settings, Identity(name, life, address), world, Letters(letters), source, Quiet()
        )
        self.net.listen(address, fleet.serve)
        self.tasks.start_soon(self._run, fleet, address)
        return fleet

    async def _run(self, fleet, address):
        with anyio.CancelScope() as self.scopes[address]:
            try:
                await fleet.run()
            except FencedError as wrong:
                self.ends[address] = wrong

    def kill(self, fleet):
        address = fleet.members.me.address
        self.net.sockets.pop(address, None)
        self.net.close(address)
        self.scopes[address].cancel()


def live(fleet):
    return {v.name for v in fleet.members.view(0) if v.state is MemberState.ALIVE}


def in_town(play):
    async def program():
        async with anyio.create_task_group() as tasks:
            await play(Town(tasks))
            tasks.cancel_scope.cancel()

    simulate(program, SEED)


async def until(holds, seconds=60):
    with anyio.fail_after(seconds):
        while not holds():
            await anyio.sleep(0.1)


def test_fleets_join_spread_lose_one_and_take_it_back_over_a_bad_network():
    async def play(town):
        town.net.loss, town.net.doubled = 0.05, 0.1
        fleets = [town.start(f"f{n}", ["dead:1", "f0:1"], letters="abcdefgh"[n]) for n in range(6)]
        names = {f"f{n}" for n in range(6)}
        await until(lambda: all(live(f) == names and f.spread.held == set("abcdef") for f in fleets))
        assert all(f.spread.admitted <= {(n, 1) for n in names} for f in fleets)
        town.kill(fleets[3])
        rest = fleets[:3] + fleets[4:]
        await until(lambda: all(live(f) == names - {"f3"} for f in rest))
        back = town.start("f3", ["f0:1"], life=2, letters="z")
        await until(lambda: all(live(f) == names and "z" in f.spread.held for f in [*rest, back]))
        assert back.spread.held >= set("abcdef")

    in_town(play)


def test_the_older_of_two_fleets_with_one_name_ends_with_its_reason():
    async def play(town):
        one, other = town.start("a"), town.start("b", ["a:1"])
        await until(lambda: live(one) == live(other) == {"a", "b"})
        town.start("b", ["a:1"], life=2, address="b2:1")
        await until(lambda: "b:1" in town.ends)
        assert town.ends["b:1"].code == "fleet-fenced" and "life 2" in str(town.ends["b:1"])
        await anyio.sleep(20)
        assert "b2:1" not in town.ends
        assert {v.name: v.life for v in one.members.view(0)} == {"a": 1, "b": 2}

    in_town(play)


def test_a_route_goes_before_the_address_that_a_member_tells():
    async def play(town):
        one = town.start("a")
        # b tells an address that nobody can reach; a route says where it stands.
        world = TransportEnvironment(
            town.net.datagrams("nat:1"), town.net.connect, lambda: anyio.current_time() * 1000
        )
        two = ClusterTransport(
            ClusterTransportSettings(seeds=("a:1",)),
            Identity("b", 1, "inside:1"),
            world,
            Letters(),
            random.Random(1),
            Quiet(),
        )
        town.net.listen("nat:1", two.serve)
        town.tasks.start_soon(two.run)
        await anyio.sleep(5)
        assert live(two) == {"b"}
        one.settings = ClusterTransportSettings(routes={"b": "nat:1"})
        await until(lambda: live(one) == live(two) == {"a", "b"})

    in_town(play)


def test_foreign_malformed_and_endless_bytes_are_counted_and_cost_nothing_else():
    async def play(town):
        fleet = town.start("a")
        await anyio.sleep(1)
        stranger = town.net.datagrams("x:1")
        foreign = m.encode("other", "x", 1, m.Who())
        for number in range(3000):
            stranger.send("a:1", (foreign, b"\xff" * 9, b"\0" * 1300)[number % 3])
            if number % 500 == 0:
                await anyio.sleep(0.01)
        stream = await town.net.connect("a", 1)
        await stream.send(b"\xff\xff\xff\xff")
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await stream.receive()
        endless = await town.net.connect("a", 1)
        piece = m.frame(m.encode("cressrock", "x", 1, m.ExchangePart([])))
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await endless.send(piece * 8)
                await anyio.sleep(0.01)
        await anyio.sleep(1)
        assert fleet.dropped["fleet-foreign"] == fleet.dropped["fleet-malformed"] == 1000
        assert fleet.dropped["fleet-too-large"] == 1001 and fleet.dropped["fleet-exchange"] == 1
        assert live(fleet) == {"a"} and not fleet.members._records

    in_town(play)


def test_only_so_many_exchanges_are_served_at_a_time():
    async def play(town):
        fleet = town.start("a", exchanges_served=2, exchange_timeout_ms=1000)
        held = [await town.net.connect("a", 1) for _ in range(2)]
        await anyio.sleep(0.1)
        third = await town.net.connect("a", 1)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await third.receive()
        assert fleet.dropped == {"exchange-busy": 1} and fleet._serving == 2
        await anyio.sleep(2)
        assert fleet._serving == 0 and held

    in_town(play)


def test_answers_to_digests_keep_to_their_budget():
    members = Membership(Identity("a", 1, "a:1"), MembershipSettings(), (), random.Random(1), 0.0)
    about = m.About("b:1", "edge")
    members.receive(
        1.0, "b:1", m.Letter("b", 1, m.Updates([m.MemberUpdate("b", 1, 0, MemberState.ALIVE, "", about)]))
    )
    spread = Letters(map(chr, range(0x100, 0x500)))
    rounds = AntiEntropy(
        members, spread, AntiEntropySettings(bytes_s=2000, burst=4000), random.Random(1), 0.0
    )
    digest = m.Letter("b", 1, m.GossipDigest(b"+"))
    answers = [rounds.receive(2.0, digest) for _ in range(50)]
    assert 2 <= sum(map(bool, answers)) <= 4 and rounds.refused["spread-over-budget"] >= 46
    assert all(isinstance(s, OutgoingMessage) and s.name == "b" for a in answers for s in a)
    assert rounds.receive(2002.0, digest)
    assert rounds.receive(4002.0, m.Letter("b", 1, m.GossipDigest(b"?"))) == []
    assert rounds.receive(4002.0, m.Letter("stranger", 1, m.GossipDigest(b"+"))) == []
    assert rounds.refused["fleet-malformed"] == rounds.refused["spread-unknown-sender"] == 1


# --- processes over loopback


class Process:
    """A member in a process of its own; what it printed is read by a thread."""

    def __init__(self, name, seeds=(), life=0, period_ms=300):
        command = [
            sys.executable,
            "-m",
            "cressrock.lab.member",
            "--name",
            name,
            "--life",
            str(life),
            "--period-ms",
            str(period_ms),
        ]
        for seed in seeds:
            command += ["--seed", seed]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.address = json.loads(self.process.stdout.readline())["address"]
        self.view, self.events, self.lines = {}, [], []
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stdout:
            said = json.loads(line)
            self.lines.append(said)
            self.view = said.get("view", self.view)
            if "event" in said:
                self.events.append((said["event"], said["member"]))

    def end(self):
        for number in (signal.SIGCONT, signal.SIGKILL):
            if self.process.poll() is None:
                os.kill(self.process.pid, number)
        self.process.wait()
        self.reader.join()
        self.process.stdout.close()


def wait_for(holds, processes):
    deadline = time.monotonic() + 60  # only so that a failure ends
    while not holds():
        assert time.monotonic() < deadline, [(p.address, p.view) for p in processes]
        time.sleep(0.02)


def test_five_processes_see_a_kill_a_stop_a_new_life_a_twin_and_a_leaving():
    processes = [Process("p0", life=1)]
    first = processes[0].address
    try:
        processes += [Process(f"p{n}", ["127.0.0.1:1", first], life=1) for n in range(1, 5)]
        names = {f"p{n}" for n in range(5)}

        def all_say(wanted, who):
            return all(p.view == wanted for p in who)

        wanted = {n: [1, "alive"] for n in names}
        wait_for(lambda: all_say(wanted, processes), processes)
        # Killed: gone, for all others.
        processes[4].end()
        rest = processes[:4]
        wait_for(lambda: all_say(wanted | {"p4": [1, "gone"]}, rest), processes)
        # Back under its name.
        processes[4] = Process("p4", [first], life=2)
        wanted["p4"] = [2, "alive"]
        wait_for(lambda: all_say(wanted, processes), processes)
        assert all(("NewLife", "p4") in p.events for p in rest)
        # Stopped for long: gone for the others, while it runs not; awake again it accuses nobody.
        stopped = processes[2]
        os.kill(stopped.process.pid, signal.SIGSTOP)
        others = [p for p in processes if p is not stopped]
        wait_for(lambda: all_say(wanted | {"p2": [1, "gone"]}, others), processes)
        before = len(stopped.events)
        os.kill(stopped.process.pid, signal.SIGCONT)
        wait_for(lambda: all_say(wanted, processes), processes)
        assert all(("Alive", "p2") in p.events for p in others)
        assert "Gone" not in [kind for kind, _ in stopped.events[before:]]
        # A second process under a name: the older says so and ends by itself.
        twin = Process("p3", [first], life=9)
        old, processes[3] = processes[3], twin
        processes.append(old)
        assert old.process.wait(60) == 3
        old.reader.join()
        assert ("Fenced", "p3") in old.events and old.lines[-1]["error"] == "fleet-fenced"
        wanted["p3"] = [9, "alive"]
        wait_for(lambda: all_say(wanted, processes[:5]), processes)
        # Left in order.
        processes[1].process.send_signal(signal.SIGTERM)
        assert processes[1].process.wait(60) == 0
        rest = [processes[0], *processes[2:5]]
        wait_for(lambda: all_say(wanted | {"p1": [1, "left"]}, rest), processes)
        assert not any(("Gone", "p1") in p.events for p in rest)
    finally:
        for process in processes:
            process.end()
