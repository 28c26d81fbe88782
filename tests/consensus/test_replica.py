"""Replicas over streams: in simulated time and, below, as processes with relays between them."""

import random
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
import pytest

from cressrock.consensus import decisions, frames
from cressrock.consensus.client import ClientSettings, ConsensusClient
from cressrock.consensus.connection_protocol import ConnectionProtocol, LocalEndpoint, Opened
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.environment import Environment, run_inline
from cressrock.consensus.frames import (
    AddReplica,
    CloseNotice,
    CurrentDecision,
    Hello,
    NotLeader,
    Ping,
    RaftFrame,
    ReadDecision,
    Request,
    Response,
    Welcome,
)
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.consensus.recover import main as recover_main
from cressrock.consensus.recover import recover
from cressrock.consensus.replica import ConsensusReplica
from cressrock.consensus.settings import ReplicaSettings, check_lease, check_replica_set
from cressrock.errors import consensus as errors
from cressrock.lab.day import simulate
from cressrock.lab.simnet import SimNet

NAMES = ("p1", "p2", "p3")


@pytest.fixture
def tmp_path():
    """A folder in memory where there is one: what is tested here is no disk's speed."""
    with tempfile.TemporaryDirectory(dir=MEMORY if MEMORY.is_dir() else None) as folder:
        yield Path(folder)


MEMORY = Path("/dev/shm")
FAST = RaftSettings(election_ms=300, heartbeat_ms=50)


class Fleet:
    """Replicas in one process over a simulated network whose ways can be cut."""

    def __init__(self, tasks, path, seed, **changes):
        self.tasks, self.path, self.seed, self.changes = tasks, path, seed, changes
        self.net = SimNet(tasks, seed)
        self.clock = lambda: anyio.current_time() * 1000
        self.replicas, self.scopes, self.published, self.cut = {}, {}, {}, set()
        self.lives = 0

    def world(self, who):
        async def connect(host, port):
            if (who, NAMES[port - 1]) in self.cut or (NAMES[port - 1], who) in self.cut:
                await anyio.sleep(3600)
            return await self.net.connect(host, port)

        self.lives += 1
        source = random.Random(f"{self.seed} {who} {self.lives}")
        wall = lambda: 1e12 + self.clock()  # noqa: E731
        return Environment(
            self.clock, wall, connect, source, run_blocking=run_inline, random_bytes=source.randbytes
        )

    async def start(self, name, **changes):
        made = {"start": "found", "timing": FAST, "renewal_interval_ms": 200, **self.changes, **changes}
        pages = made.pop("max_pages", 0)
        seats = {one: f"seat:{number + 1}" for number, one in enumerate(NAMES)}
        settings = ReplicaSettings(name, "c", seats, self.path / name, **made)
        published = self.published.setdefault(name, [])
        replica = ConsensusReplica(self.world(name), settings, publish=published.extend, max_pages=pages)
        scope = anyio.CancelScope()

        async def run():
            with scope:
                await replica.run()

        self.replicas[name], self.scopes[name] = replica, scope
        self.tasks.start_soon(run)
        self.net.listen(seats[name], replica.serve)

    async def stop(self, name):
        self.scopes.pop(name).cancel()
        self.net.close(f"seat:{NAMES.index(name) + 1}")
        replica = self.replicas.pop(name)
        await anyio.sleep(0.01)
        return replica

    def sever(self, name):
        """Cut a replica from the others, both ways, without its noticing anything but silence."""
        for other in NAMES:
            if other != name:
                self.cut |= {(name, other)}
        for address, streams in self.net.streams.items():
            del address
            for stream in streams:
                stream.reset()

    def leader(self):
        leads = [s for s in self.replicas.values() if s.raft and s.raft.role is Role.LEADER]
        return max(leads, key=lambda s: s.raft.term).settings.name if leads else None

    async def until(self, true, within=30):
        with anyio.fail_after(within):
            while not true():
                await anyio.sleep(0.02)

    def client(self, name="client", seats=NAMES):
        addresses = {one: f"seat:{NAMES.index(one) + 1}" for one in seats}
        return ConsensusClient(self.world(name), self.tasks, "c", name, addresses, ClientSettings())


def sim(seed, path, program, **changes):
    print("seed", seed)

    async def run():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, path, seed, **changes)
            await program(fleet)
            tasks.cancel_scope.cancel()

    simulate(run, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_three_replicas_found_a_group_and_decide(tmp_path, seed):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        client = fleet.client()
        first = await client.decide("zone/a", b"1", 5000)
        assert first.version > 1e12 and first.author == "client"
        with pytest.raises(errors.DecisionConflictError) as conflict:
            await client.decide("zone/a", b"2", 5000, if_version=0)
        assert conflict.value.version == first.version
        second = await client.decide("zone/a", b"2", 5000, if_version=first.version)
        decision_read = await client.read("zone/a")
        assert (
            decision_read.version == second.version > first.version
            and decision_read.value == b"2"
            and decision_read.renewal
        )
        assert client.cache.get("zone/a") == decision_read
        assert await client.read("zone/b") is None
        with pytest.raises(errors.DecisionTooLargeError):
            await client.decide("zone/a", bytes(60000), 5000)
        with pytest.raises(errors.DecisionTooLargeError):
            await client.decide("zone/a", bytes(600000), 5000)
        assert await client.drop("zone/a", second.version) > second.version
        assert await client.read("zone/a") is None
        # The leader goes: another leads, nothing is lost, and the same request is not applied twice.
        request = client.new_request_id()
        third = await client.decide("zone/a", b"3", 5000, request_id=request)
        await fleet.stop(fleet.leader())
        assert await client.decide("zone/a", b"3", 5000, request_id=request) == third
        assert (await client.read("zone/a")).version == third.version
        status = await client.status(fleet.leader())
        assert status["role"] == "leader" and len(status["seats"]) == 3 and status["store_bytes"] > 0
        lead = fleet.leader()
        other = next(name for name in fleet.replicas if name != lead)
        await client.transfer(other)
        await fleet.until(lambda: fleet.leader() == other)

    sim(seed, tmp_path, program)


def test_a_cut_off_leader_renews_nothing_and_answers_nothing(tmp_path):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        client = fleet.client()
        await client.decide("zone/a", b"old", 1500)
        old = fleet.leader()
        one, two = DecisionReader(), DecisionReader()  # readers on either side of the cut
        rest = [name for name in NAMES if name != old]
        fleet.sever(old)
        at = fleet.clock()
        published = len(fleet.published[old])
        cut_off = fleet.client("cut", [old])
        with pytest.raises(errors.NoQuorumError) as refused:
            await cut_off.read("zone/a", timeout_ms=1200)
        assert not refused.value.outcome_unknown or refused.value.waited_ms >= 1200
        with pytest.raises(errors.NoQuorumError) as lost:
            await cut_off.decide("zone/a", b"lost", 1500, timeout_ms=1200)
        assert lost.value.outcome_unknown
        new = await fleet.client("rest", rest).decide("zone/a", b"new", 1500)
        renewals = {one.renewal for one in fleet.published[old][published:]}
        for decision in fleet.published[old]:
            one.receive(decision, at)
        await anyio.sleep(3)
        # What the former leader said after the cut (at most one renewal confirmed before it) is over.
        assert len(renewals) <= 1
        for decision in fleet.published[old]:
            one.receive(decision, fleet.clock())
        for name in rest:
            for decision in fleet.published[name]:
                two.receive(decision, fleet.clock())
        assert isinstance(one.get("zone/a", fleet.clock()), decisions.Expired)
        assert two.get("zone/a", fleet.clock()).version == new.version
        # The cut heals: the former leader follows, and what it could not decide is gone or follows the log.
        fleet.cut.clear()
        await fleet.until(lambda: fleet.replicas[old].decisions.get("zone/a") is not None)
        await fleet.until(lambda: fleet.replicas[old].decisions.get("zone/a").version >= new.version)
        assert (await client.read("zone/a")).value == b"new"

    sim(4, tmp_path, program)


def test_a_question_reaches_the_leader_through_another_replica(tmp_path):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        await fleet.until(fleet.leader)
        follower = next(name for name in NAMES if name != fleet.leader())
        # This client reaches one replica alone, which does not lead.
        client = fleet.client("far", [follower])
        decision = await client.decide("t", b"1", 2000)
        assert (await client.read("t")).version == decision.version

    sim(5, tmp_path, program)


def test_all_replicas_at_once_and_a_short_log(tmp_path):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        client = fleet.client()
        down = None
        for number in range(60):
            if number == 10:
                down = next(name for name in NAMES if name != fleet.leader())
                await fleet.stop(down)
            last = await client.decide(f"t{number % 5}", b"%d" % number, 2000)
        assert all(len(replica.raft.log.entries) <= 21 for replica in fleet.replicas.values())
        await fleet.start(down)  # so far behind that a snapshot has to teach it
        await fleet.until(lambda: fleet.replicas[down].decisions.version >= last.version)
        assert fleet.replicas[down].decisions.get("t4") == fleet.replicas[fleet.leader()].decisions.get("t4")
        for name in NAMES:
            await fleet.stop(name)
        fleet.published.clear()
        await fleet.start(down, start="expect")
        await anyio.sleep(2)
        # Alone it is no group: nothing of what lay in its store is told as if it were fresh.
        assert fleet.replicas[down].raft and not fleet.published[down]
        for name in set(NAMES) - {down}:
            await fleet.start(name, start="expect")
        assert (await client.read("t4")).version == last.version
        assert (await client.decide("t4", b"x", 2000, if_version=last.version)).version > last.version

    sim(6, tmp_path, program, max_log_entries=20)


def test_a_client_that_stays_is_never_forgotten_and_a_late_repeat_is(tmp_path):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        client, other = fleet.client(), fleet.client("other")
        first = client.new_request_id()
        await client.decide("t", b"first", 2000, request_id=first)
        last = None
        for number in range(20):
            last = await client.decide("t", b"%d" % number, 2000, last and last.version)
        await anyio.sleep(1)  # pings bring the other client, which asked nothing yet, no older index than now
        assert (await other.decide("u", b"", 2000)).version > last.version
        # The late repeat of a request, from a process that does not know better, is not applied again.
        stale = fleet.client("stale")
        stale._newest_applied = 0

        async def ask(question):
            connection = stale._connection(fleet.leader())
            await connection.wait_open(fleet.clock() + 1000)
            return await connection.ask(question, forward=False, deadline_ms=fleet.clock() + 1000)

        reply = await ask(decisions.Decide("t", b"first", 2000.0, "client", first, 0))
        assert reply == decisions.Rejected("forgotten")
        assert (await client.read("t")).version == last.version

    sim(11, tmp_path, program, limits=decisions.DecisionLimits(max_requests=4))


def test_a_replica_with_a_lost_store_says_so_and_joins_as_a_new_one(tmp_path):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        client = fleet.client()
        for number in range(30):
            last = await client.decide("t", b"%d" % number, 2000)
        lost = fleet.leader()
        former = (await fleet.stop(lost)).identity
        (tmp_path / lost).unlink()
        for start in ("expect", "found"):
            await fleet.start(lost, start=start)
            await fleet.until(lambda: fleet.replicas[lost].failed is not None)
            assert isinstance(fleet.replicas[lost].failed, errors.StoreMissingError)
            assert fleet.replicas[lost].status()["role"] == "failed"
            assert await fleet.client("asks", [lost]).status(lost) is None
            await fleet.stop(lost)
        (tmp_path / lost).unlink(missing_ok=True)
        await fleet.start(lost, start="join")
        await fleet.until(
            lambda: fleet.replicas[lost].raft and fleet.replicas[lost].raft.role is Role.FOLLOWER
        )
        await fleet.until(lambda: fleet.replicas[lost].decisions.version >= last.version)
        sits = fleet.replicas[lost].identity
        assert sits != former and sits in fleet.replicas[lost].raft.voters
        assert former not in fleet.replicas[lost].raft.voters and len(fleet.replicas[lost].raft.voters) == 3
        # Now it counts: with one of the others gone the group goes on by its vote.
        await fleet.stop(next(name for name in NAMES if name != lost))
        assert (await client.decide("t", b"x", 2000, if_version=last.version)).version > last.version

    sim(7, tmp_path, program)


def test_a_replica_with_a_full_disk_steps_down_and_says_so(tmp_path):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name, max_pages=25 if name == "p2" else 0)
        client = fleet.client()
        await client.decide("t", b"0", 2000)
        await client.transfer("p2")
        await fleet.until(lambda: fleet.leader() == "p2")
        last = None
        for number in range(60):
            last = await client.decide("t", bytes(4000) + b"%d" % number, 2000)
            if fleet.replicas["p2"].failed:
                break
        failed = fleet.replicas["p2"].failed
        assert isinstance(failed, errors.StoreFullError) and "room" in failed.remedy
        assert fleet.replicas["p2"].status()["failed"]["error"] == "council-store-full"
        assert fleet.leader() in ("p1", "p3")
        with pytest.raises(errors.NoQuorumError):
            await fleet.client("asks", ["p2"]).read("t", timeout_ms=500)
        assert (await client.read("t")).version == last.version
        # With room again it is the replica that it was, and catches up.
        await fleet.stop("p2")
        await fleet.start("p2", start="expect")
        await fleet.until(lambda: fleet.replicas["p2"].decisions.version >= last.version)

    sim(8, tmp_path, program)


def test_a_lost_majority_has_a_way_out_that_never_gives_a_number_twice(tmp_path, capsys):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        client = fleet.client()
        for number in range(10):
            last = await client.decide(f"t{number % 3}", b"%d" % number, 2000)
        with pytest.raises(errors.StoreLockedError):
            recover(str(tmp_path / "p1"), "c", "p1", 0, force=True)
        for name in NAMES:
            await fleet.stop(name)
        for name in ("p2", "p3"):
            (tmp_path / name).rename(tmp_path / f"{name}.aside")
        await fleet.start("p1")
        with pytest.raises(errors.NoQuorumError):
            await fleet.client("asks", ["p1"]).read("t0", timeout_ms=1500)
        await fleet.stop("p1")
        told = ["--cluster", "c", "--seat", "p1"]
        assert recover_main([str(tmp_path / "p1"), *told]) == 2
        assert recover_main([str(tmp_path / "nowhere"), *told]) == 1
        assert recover_main([str(tmp_path / "p1"), *told, "--i-have-lost-the-majority"]) == 0
        printed = capsys.readouterr().out
        assert "are gone" in printed and "Nothing was changed" in printed and "only seat" in printed
        await fleet.start("p1")
        for name in ("p2", "p3"):
            await fleet.start(name, start="join")
        await fleet.until(lambda: all(s.raft and len(s.raft.voters) == 3 for s in fleet.replicas.values()))
        decision_read = await client.read(f"t{9 % 3}")
        assert decision_read.value == b"9" and decision_read.version >= last.version
        assert (await client.decide("t0", b"x", 2000)).version > last.version + 1000
        # A replica of the former generation that comes back after all is turned away.
        await fleet.stop("p3")
        (tmp_path / "p3").unlink()
        (tmp_path / "p3.aside").rename(tmp_path / "p3")
        await fleet.start("p3")
        await fleet.until(lambda: fleet.replicas["p3"].failed is not None)
        assert isinstance(fleet.replicas["p3"].failed, errors.ConsensusError)

    sim(9, tmp_path, program)


def test_a_replica_that_is_put_out_stays_out(tmp_path):
    async def program(fleet):
        for name in NAMES:
            await fleet.start(name)
        client = fleet.client()
        await client.decide("t", b"0", 2000)
        out = next(name for name in NAMES if name != fleet.leader())
        await client.remove(out)
        await fleet.until(lambda: isinstance(fleet.replicas[out].failed, errors.ReplicaRemovedError))
        await fleet.stop(out)
        await fleet.start(out)
        await fleet.until(lambda: isinstance(fleet.replicas[out].failed, errors.ReplicaRemovedError))
        await client.decide("t", b"1", 2000)

    sim(10, tmp_path, program)


def test_a_reader_keeps_what_it_has_seen_before_it_tells(tmp_path):
    now = [0.0]
    kept = DecisionCache(tmp_path / "seen", lambda: now[0])
    told = []
    kept.listeners.append(lambda decision: told.append((decision.version, (tmp_path / "seen").read_bytes())))
    assert kept.receive_bytes(decisions.encode(decisions.Decision("t", 7, b"", 1000.0, "", 3)))
    assert told == [(7, kept.reader.to_bytes())] and kept.get("t").version == 7
    again = DecisionCache(tmp_path / "seen", lambda: now[0])
    assert not again.receive(decisions.Decision("t", 6, b"", 1000.0, "", 9)) and again.get("t") is None
    nowhere = DecisionCache(tmp_path / "none" / "seen", lambda: now[0])
    assert (
        nowhere.receive(decisions.Decision("t", 7, b"", 1000.0))
        and nowhere.get("t").version == 7
        and nowhere.unsaved_reason
    )
    (tmp_path / "none").mkdir()
    assert nowhere.receive(decisions.Decision("t", 7, b"", 1000.0, "", 1)) and not nowhere.unsaved_reason
    assert (tmp_path / "none" / "seen").read_bytes() == nowhere.reader.to_bytes()
    (tmp_path / "seen").write_bytes(b"\x01\xff")
    assert DecisionCache(tmp_path / "seen", lambda: now[0]).corrupt_reason
    (tmp_path / "seen").write_bytes(b"\x07\xff")
    with pytest.raises(errors.StoreTooNewError):
        DecisionCache(tmp_path / "seen", lambda: now[0])


@pytest.mark.parametrize("names", [["a"], ["a", "b"], ["a", "b", "c", "d"], ["a", "b", "b"], ["x", "b", "c"]])
def test_replicas_that_cannot_be_a_group(names):
    with pytest.raises(errors.InvalidReplicaSetError):
        check_replica_set(names, "a")


def test_a_lease_lives_through_a_change_of_leader():
    check_replica_set(["a", "b", "c"], "a")
    check_lease(4500, RaftSettings(), 500)
    with pytest.raises(errors.InvalidReplicaSetError):
        check_lease(4499, RaftSettings(), 500)


# --- frames


def pair(**changes):
    ours = LocalEndpoint("c", "p1#1", True, "k", ("p1#1",), 7)
    theirs = LocalEndpoint("c", "p2#2", True, "k", ("p1#1",), 9)
    return (
        ConnectionProtocol(True, changes.get("ours", ours), 0, **changes.get("dial", {})),
        ConnectionProtocol(False, changes.get("theirs", theirs), 0, **changes.get("take", {})),
    )


def talk(one, two, now=0):
    heard = []
    while True:
        up, down = one.take_bytes(), two.take_bytes()
        if not up and not down:
            return heard
        heard += two.receive_data(up, now) + one.receive_data(down, now)


def test_greetings_agree_or_part_with_a_reason_that_both_hear():
    at_two, at_one = talk(*pair())
    assert at_two == Opened(1, "p1#1", True, "k", ("p1#1",), 0)
    assert at_one == Opened(1, "p2#2", True, "k", ("p1#1",), 9)
    for changes, code in (
        ({"dial": {"versions": (2, 3)}}, "council-version"),
        ({"ours": LocalEndpoint("other", "p1#1", True)}, "council-cluster"),
        ({"ours": LocalEndpoint("c", "p1#1", True, "another")}, "council-other"),
    ):
        ours, theirs = talk(*pair(**changes))
        assert (ours.code, ours.closed_locally, theirs.code, theirs.closed_locally) == (
            code,
            True,
            code,
            False,
        )
    one, two = pair(dial={"versions": (3, 2, 1)}, take={"versions": (2, 1)})
    assert [event.version for event in talk(one, two)] == [2, 2]
    one, two = pair(dial={"versions": (2, 1)}, take={"versions": (1,)})
    assert [event.version for event in talk(one, two)] == [1, 1]


def test_a_silent_end_is_parted_with():
    one, two = pair()
    talk(one, two)
    assert one.next_deadline_ms() == 300 and two.next_deadline_ms() == 1200
    assert one.tick(300) == [] and talk(one, two, 300) == [] and two.next_deadline_ms() == 1500
    one.tick(600)
    one.take_bytes()  # lost on the way
    assert one.tick(1500)[0].code == two.tick(1500)[0].code == "council-silent"
    assert (
        one.next_deadline_ms() == float("inf") and not one.send(RaftFrame(b"")) and one.dropped_messages == 1
    )


def test_what_is_no_frame_is_told_and_never_kept():
    for data in (
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x01\xc1",
        frames.encode(RaftFrame(b"x")),
        frames.encode(Welcome(1, "x")),
        b"\x00\x00\x40\x00" + b"\x91" * 0x4000,
    ):
        _, two = pair()
        assert two.receive_data(data, 0)[-1].code == "council-frame"
        assert b"council-frame" in two.take_bytes() and two.receive_data(data, 0) == []
    client, replica = pair(ours=LocalEndpoint("c", "client", False))
    talk(client, replica)
    assert replica.receive_data(frames.encode(RaftFrame(b"x")), 0)[-1].code == "council-frame"
    seed = 12
    print("seed", seed)
    source = random.Random(seed)
    good = [
        frames.encode(Hello((1,), "c", "p", True)),
        frames.encode(RaftFrame(b"abc")),
        frames.encode(Ping(1)),
    ]
    good += [
        frames.encode(Request(1, ReadDecision("t"))),
        frames.encode(Request(2, decisions.Decide("t", b"", 1.0, "", "r", 0))),
    ]
    for _ in range(2000):
        _, two = pair()
        for _ in range(3):
            data = bytearray(source.choice(good))
            for _ in range(source.randint(0, 2)):
                data[source.randrange(len(data))] = source.randrange(256)
            two.receive_data(bytes(data), 0)
        assert len(two._buffer) <= two.limits.max_frame_bytes


def test_golden_frames():
    samples = {
        Hello((1,), "c", "p1#1", True, "k", ("p1#1",)): (
            "0000001997a568656c6c6f9101a163a470312331c3a16b91a470312331"
        ),
        Welcome(1, "p2#2", "k", ("p1#1",), 9): "0000001896a777656c636f6d6501a470322332a16b91a47031233109",
        CloseNotice("council-version", "no"): (
            "0000001c93a770617274696e67af636f756e63696c2d76657273696f6ea26e6f"
        ),
        RaftFrame(b"\x01"): "0000000992a472616674c40101",
        Request(3, ReadDecision("t"), True): "0000000f94a361736b0392a472656164a174c3",
        Request(4, AddReplica("p4#1")): "0000001294a361736b0492a46a6f696ea470342331c2",
        Response(3, CurrentDecision(decisions.Decision("t", 5, b"v", 1000.0, "me", 2))): (
            "0000002694a6616e737765720392a67374616e647396a17405c40176cb408f400000000000a26d650200"
        ),
        Response(4, NotLeader("p2")): "0000001894a6616e737765720492a9656c73657768657265a2703200",
        Response(5, decisions.VersionConflict(7)): "0000001294a6616e737765720592a5636c6173680700",
    }
    for frame, wanted in samples.items():
        assert frames.encode(frame).hex() == wanted


@pytest.mark.parametrize("module", ["cressrock.consensus.recover", "cressrock.council.recover"])
def test_the_recovery_command_goes_by_its_present_and_its_former_name(module, tmp_path):
    arguments = [str(tmp_path / "none"), "--cluster", "c", "--seat", "p1"]
    done = subprocess.run(
        [sys.executable, "-m", module, *arguments], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 1 and "council-store-lost" in done.stderr
