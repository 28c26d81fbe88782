"""Replicas over streams in simulated time, the connection protocol, and the recovery command."""

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
    """Return a directory in memory if possible, since disk speed is not under test."""
    with tempfile.TemporaryDirectory(dir=MEMORY if MEMORY.is_dir() else None) as folder:
        yield Path(folder)


MEMORY = Path("/dev/shm")
FAST = RaftSettings(election_ms=300, heartbeat_ms=50)


class SimulatedCluster:
    """Replicas in one process over a simulated network whose connections can be cut."""

    def __init__(self, tasks, path, seed, *, write_s=0.0, **changes):
        self.tasks, self.path, self.seed, self.changes = tasks, path, seed, changes
        self.write_s = write_s  # how long each write of a store takes
        self.net = SimNet(tasks, seed)
        self.clock = lambda: anyio.current_time() * 1000
        self.replicas, self.scopes, self.published, self.cut = {}, {}, {}, set()
        self.incarnations = 0

    def make_environment(self, who):
        async def connect(host, port):
            if (who, NAMES[port - 1]) in self.cut or (NAMES[port - 1], who) in self.cut:
                await anyio.sleep(3600)
            return await self.net.connect(host, port)

        self.incarnations += 1
        source = random.Random(f"{self.seed} {who} {self.incarnations}")
        wall = lambda: 1e12 + self.clock()  # noqa: E731
        return Environment(
            self.clock, wall, connect, source, run_blocking=self.write, random_bytes=source.randbytes
        )

    async def write(self, work):
        await run_inline(work)
        if self.write_s:
            await anyio.sleep(self.write_s)

    async def start(self, name, **changes):
        made = {"start": "found", "timing": FAST, "renewal_interval_ms": 200, **self.changes, **changes}
        pages = made.pop("max_pages", 0)
        seats = {one: f"seat:{number + 1}" for number, one in enumerate(NAMES)}
        settings = ReplicaSettings(name, "c", seats, self.path / name, **made)
        published = self.published.setdefault(name, [])
        replica = ConsensusReplica(
            self.make_environment(name), settings, publish=published.extend, max_pages=pages
        )
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

    def isolate(self, name):
        """Partition a replica from the others in both directions; it only notices missing traffic."""
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

    async def until(self, condition, within=30):
        with anyio.fail_after(within):
            while not condition():
                await anyio.sleep(0.02)

    def client(self, name="client", seats=NAMES):
        addresses = {one: f"seat:{NAMES.index(one) + 1}" for one in seats}
        return ConsensusClient(
            self.make_environment(name), self.tasks, "c", name, addresses, ClientSettings()
        )


def run_simulation(seed, path, scenario, **changes):
    print("seed", seed)

    async def run():
        async with anyio.create_task_group() as tasks:
            cluster = SimulatedCluster(tasks, path, seed, **changes)
            await scenario(cluster)
            tasks.cancel_scope.cancel()

    simulate(run, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_three_replicas_found_a_group_and_decide(tmp_path, seed):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client = cluster.client()
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
        # After the leader stops, another one leads, nothing is lost, and a retry is not applied twice.
        request = client.new_request_id()
        third = await client.decide("zone/a", b"3", 5000, request_id=request)
        await cluster.stop(cluster.leader())
        assert await client.decide("zone/a", b"3", 5000, request_id=request) == third
        assert (await client.read("zone/a")).version == third.version
        status = await client.status(cluster.leader())
        assert status["role"] == "leader" and len(status["seats"]) == 3 and status["store_bytes"] > 0
        lead = cluster.leader()
        other = next(name for name in cluster.replicas if name != lead)
        await client.transfer(other)
        await cluster.until(lambda: cluster.leader() == other)

    run_simulation(seed, tmp_path, scenario)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("write_s", [0.1, 0.25, 0.4])
def test_a_leader_stays_although_each_write_takes_about_the_election_timeout(tmp_path, write_s, seed):
    """Regression: each candidate was overtaken by the next one, and a leader's lease expired as it wrote."""

    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client = cluster.client()
        for number in range(5):
            await client.decide("zone/a", b"%d" % number, 5000, timeout_ms=20000)
        leader = cluster.leader()
        term = cluster.replicas[leader].raft.term
        for number in range(20):
            await client.decide("zone/a", b"%d" % number, 5000, timeout_ms=20000)
        assert cluster.replicas[leader].raft.role is Role.LEADER
        assert cluster.replicas[leader].raft.term == term
        # Another one leads after it has stopped.
        await cluster.stop(leader)
        await client.decide("zone/a", b"last", 5000, timeout_ms=30000)
        assert cluster.leader() != leader

    run_simulation(seed, tmp_path, scenario, write_s=write_s)


def test_partitioned_leader_renews_nothing_and_answers_nothing(tmp_path):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client = cluster.client()
        await client.decide("zone/a", b"old", 1500)
        old = cluster.leader()
        one, two = DecisionReader(), DecisionReader()  # readers on either side of the partition
        remaining = [name for name in NAMES if name != old]
        cluster.isolate(old)
        at = cluster.clock()
        published = len(cluster.published[old])
        partitioned = cluster.client("cut", [old])
        with pytest.raises(errors.NoQuorumError) as refused:
            await partitioned.read("zone/a", timeout_ms=1200)
        assert not refused.value.outcome_unknown or refused.value.waited_ms >= 1200
        with pytest.raises(errors.NoQuorumError) as lost:
            await partitioned.decide("zone/a", b"lost", 1500, timeout_ms=1200)
        assert lost.value.outcome_unknown
        new = await cluster.client("rest", remaining).decide("zone/a", b"new", 1500)
        renewals = {one.renewal for one in cluster.published[old][published:]}
        for decision in cluster.published[old]:
            one.receive(decision, at)
        await anyio.sleep(3)
        # Decisions from the former leader have expired (at most one renewal was confirmed before the cut).
        assert len(renewals) <= 1
        for decision in cluster.published[old]:
            one.receive(decision, cluster.clock())
        for name in remaining:
            for decision in cluster.published[name]:
                two.receive(decision, cluster.clock())
        assert isinstance(one.get("zone/a", cluster.clock()), decisions.Expired)
        assert two.get("zone/a", cluster.clock()).version == new.version
        # After the partition heals, the former leader follows the new one's log.
        cluster.cut.clear()
        await cluster.until(lambda: cluster.replicas[old].decisions.get("zone/a") is not None)
        await cluster.until(lambda: cluster.replicas[old].decisions.get("zone/a").version >= new.version)
        assert (await client.read("zone/a")).value == b"new"

    run_simulation(4, tmp_path, scenario)


def test_a_follower_forwards_requests_to_the_leader(tmp_path):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        await cluster.until(cluster.leader)
        follower = next(name for name in NAMES if name != cluster.leader())
        # This client can reach only one replica, which is not the leader.
        client = cluster.client("far", [follower])
        decision = await client.decide("t", b"1", 2000)
        assert (await client.read("t")).version == decision.version

    run_simulation(5, tmp_path, scenario)


def test_restart_of_all_replicas_with_a_short_log(tmp_path):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client = cluster.client()
        down = None
        for number in range(60):
            if number == 10:
                down = next(name for name in NAMES if name != cluster.leader())
                await cluster.stop(down)
            last = await client.decide(f"t{number % 5}", b"%d" % number, 2000)
        assert all(len(replica.raft.log.entries) <= 21 for replica in cluster.replicas.values())
        await cluster.start(down)  # so far behind that it needs a snapshot
        await cluster.until(lambda: cluster.replicas[down].decisions.version >= last.version)
        assert cluster.replicas[down].decisions.get("t4") == cluster.replicas[cluster.leader()].decisions.get(
            "t4"
        )
        for name in NAMES:
            await cluster.stop(name)
        cluster.published.clear()
        await cluster.start(down, start="expect")
        await anyio.sleep(2)
        # Without a quorum, it publishes nothing from its store as if it were current.
        assert cluster.replicas[down].raft and not cluster.published[down]
        for name in set(NAMES) - {down}:
            await cluster.start(name, start="expect")
        assert (await client.read("t4")).version == last.version
        assert (await client.decide("t4", b"x", 2000, if_version=last.version)).version > last.version

    run_simulation(6, tmp_path, scenario, max_log_entries=20)


def test_a_late_retry_is_rejected_as_forgotten_but_an_idle_client_is_not(tmp_path):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client, other = cluster.client(), cluster.client("other")
        first = client.new_request_id()
        await client.decide("t", b"first", 2000, request_id=first)
        last = None
        for number in range(20):
            last = await client.decide("t", b"%d" % number, 2000, last and last.version)
        await anyio.sleep(1)  # pings give the idle client the current applied index
        assert (await other.decide("u", b"", 2000)).version > last.version
        # A late retry, from a client with an outdated applied index, is not applied again.
        stale = cluster.client("stale")
        stale._newest_applied = 0

        async def ask(question):
            connection = stale._connection(cluster.leader())
            await connection.wait_open(cluster.clock() + 1000)
            return await connection.ask(question, forward=False, deadline_ms=cluster.clock() + 1000)

        reply = await ask(decisions.Decide("t", b"first", 2000.0, "client", first, 0))
        assert reply == decisions.Rejected("forgotten")
        assert (await client.read("t")).version == last.version

    run_simulation(11, tmp_path, scenario, limits=decisions.DecisionLimits(max_requests=4))


def test_a_replica_with_a_lost_store_fails_and_can_join_as_a_new_one(tmp_path):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client = cluster.client()
        for number in range(30):
            last = await client.decide("t", b"%d" % number, 2000)
        lost = cluster.leader()
        former_identity = (await cluster.stop(lost)).identity
        (tmp_path / lost).unlink()
        for start in ("expect", "found"):
            await cluster.start(lost, start=start)
            await cluster.until(lambda: cluster.replicas[lost].failed is not None)
            assert isinstance(cluster.replicas[lost].failed, errors.StoreMissingError)
            assert cluster.replicas[lost].status()["role"] == "failed"
            assert await cluster.client("asks", [lost]).status(lost) is None
            await cluster.stop(lost)
        (tmp_path / lost).unlink(missing_ok=True)
        await cluster.start(lost, start="join")
        await cluster.until(
            lambda: cluster.replicas[lost].raft and cluster.replicas[lost].raft.role is Role.FOLLOWER
        )
        await cluster.until(lambda: cluster.replicas[lost].decisions.version >= last.version)
        new_identity = cluster.replicas[lost].identity
        assert new_identity != former_identity and new_identity in cluster.replicas[lost].raft.voters
        assert (
            former_identity not in cluster.replicas[lost].raft.voters
            and len(cluster.replicas[lost].raft.voters) == 3
        )
        # It is a voter now: with another replica stopped, the group needs its vote and still decides.
        await cluster.stop(next(name for name in NAMES if name != lost))
        assert (await client.decide("t", b"x", 2000, if_version=last.version)).version > last.version

    run_simulation(7, tmp_path, scenario)


def test_a_replica_with_a_full_disk_fails_and_another_one_leads(tmp_path):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name, max_pages=25 if name == "p2" else 0)
        client = cluster.client()
        await client.decide("t", b"0", 2000)
        await client.transfer("p2")
        await cluster.until(lambda: cluster.leader() == "p2")
        last = None
        for number in range(60):
            last = await client.decide("t", bytes(4000) + b"%d" % number, 2000)
            if cluster.replicas["p2"].failed:
                break
        failed = cluster.replicas["p2"].failed
        assert isinstance(failed, errors.StoreFullError) and "room" in failed.remedy
        assert cluster.replicas["p2"].status()["failed"]["error"] == "council-store-full"
        assert cluster.leader() in ("p1", "p3")
        with pytest.raises(errors.NoQuorumError):
            await cluster.client("asks", ["p2"]).read("t", timeout_ms=500)
        assert (await client.read("t")).version == last.version
        # With free space again it restarts under the same identity and catches up.
        await cluster.stop("p2")
        await cluster.start("p2", start="expect")
        await cluster.until(lambda: cluster.replicas["p2"].decisions.version >= last.version)

    run_simulation(8, tmp_path, scenario)


def test_recovery_from_a_lost_majority_never_reuses_a_version(tmp_path, capsys):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client = cluster.client()
        for number in range(10):
            last = await client.decide(f"t{number % 3}", b"%d" % number, 2000)
        with pytest.raises(errors.StoreLockedError):
            recover(str(tmp_path / "p1"), "c", "p1", 0, force=True)
        for name in NAMES:
            await cluster.stop(name)
        for name in ("p2", "p3"):
            (tmp_path / name).rename(tmp_path / f"{name}.aside")
        await cluster.start("p1")
        with pytest.raises(errors.NoQuorumError):
            await cluster.client("asks", ["p1"]).read("t0", timeout_ms=1500)
        await cluster.stop("p1")
        options = ["--cluster", "c", "--seat", "p1"]
        assert recover_main([str(tmp_path / "p1"), *options]) == 2
        assert recover_main([str(tmp_path / "nowhere"), *options]) == 1
        assert recover_main([str(tmp_path / "p1"), *options, "--i-have-lost-the-majority"]) == 0
        printed = capsys.readouterr().out
        assert "are gone" in printed and "Nothing was changed" in printed and "only seat" in printed
        await cluster.start("p1")
        for name in ("p2", "p3"):
            await cluster.start(name, start="join")
        await cluster.until(
            lambda: all(s.raft and len(s.raft.voters) == 3 for s in cluster.replicas.values())
        )
        decision_read = await client.read(f"t{9 % 3}")
        assert decision_read.value == b"9" and decision_read.version >= last.version
        assert (await client.decide("t0", b"x", 2000)).version > last.version + 1000
        # A replica of the former generation that returns is rejected.
        await cluster.stop("p3")
        (tmp_path / "p3").unlink()
        (tmp_path / "p3.aside").rename(tmp_path / "p3")
        await cluster.start("p3")
        await cluster.until(lambda: cluster.replicas["p3"].failed is not None)
        assert isinstance(cluster.replicas["p3"].failed, errors.ConsensusError)

    run_simulation(9, tmp_path, scenario)


def test_a_removed_replica_stays_removed_after_a_restart(tmp_path):
    async def scenario(cluster):
        for name in NAMES:
            await cluster.start(name)
        client = cluster.client()
        await client.decide("t", b"0", 2000)
        out = next(name for name in NAMES if name != cluster.leader())
        await client.remove(out)
        await cluster.until(lambda: isinstance(cluster.replicas[out].failed, errors.ReplicaRemovedError))
        await cluster.stop(out)
        await cluster.start(out)
        await cluster.until(lambda: isinstance(cluster.replicas[out].failed, errors.ReplicaRemovedError))
        await client.decide("t", b"1", 2000)

    run_simulation(10, tmp_path, scenario)


def test_the_cache_saves_a_decision_before_it_notifies(tmp_path):
    now = [0.0]
    kept = DecisionCache(tmp_path / "seen", lambda: now[0])
    notified = []
    kept.listeners.append(
        lambda decision: notified.append((decision.version, (tmp_path / "seen").read_bytes()))
    )
    assert kept.receive_bytes(decisions.encode(decisions.Decision("t", 7, b"", 1000.0, "", 3)))
    assert notified == [(7, kept.reader.to_bytes())] and kept.get("t").version == 7
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
def test_invalid_replica_sets_are_rejected(names):
    with pytest.raises(errors.InvalidReplicaSetError):
        check_replica_set(names, "a")


def test_a_lease_must_outlast_a_change_of_leader():
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


def exchange(one, two, now=0):
    events = []
    while True:
        up, down = one.take_bytes(), two.take_bytes()
        if not up and not down:
            return events
        events += two.receive_data(up, now) + one.receive_data(down, now)


def test_handshake_agrees_on_a_version_or_closes_with_a_code_at_both_ends():
    at_two, at_one = exchange(*pair())
    assert at_two == Opened(1, "p1#1", True, "k", ("p1#1",), 0)
    assert at_one == Opened(1, "p2#2", True, "k", ("p1#1",), 9)
    for changes, code in (
        ({"dial": {"versions": (2, 3)}}, "council-version"),
        ({"ours": LocalEndpoint("other", "p1#1", True)}, "council-cluster"),
        ({"ours": LocalEndpoint("c", "p1#1", True, "another")}, "council-other"),
    ):
        ours, theirs = exchange(*pair(**changes))
        assert (ours.code, ours.closed_locally, theirs.code, theirs.closed_locally) == (
            code,
            True,
            code,
            False,
        )
    one, two = pair(dial={"versions": (3, 2, 1)}, take={"versions": (2, 1)})
    assert [event.version for event in exchange(one, two)] == [2, 2]
    one, two = pair(dial={"versions": (2, 1)}, take={"versions": (1,)})
    assert [event.version for event in exchange(one, two)] == [1, 1]


def test_a_connection_without_traffic_times_out():
    one, two = pair()
    exchange(one, two)
    assert one.next_deadline_ms() == 300 and two.next_deadline_ms() == 1200
    assert one.tick(300) == [] and exchange(one, two, 300) == [] and two.next_deadline_ms() == 1500
    one.tick(600)
    one.take_bytes()  # lost in transit
    assert one.tick(1500)[0].code == two.tick(1500)[0].code == "council-silent"
    assert (
        one.next_deadline_ms() == float("inf") and not one.send(RaftFrame(b"")) and one.dropped_messages == 1
    )


def test_invalid_frames_close_the_connection_and_are_not_buffered():
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
    exchange(client, replica)
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
def test_the_recovery_command_runs_under_its_current_and_former_name(module, tmp_path):
    arguments = [str(tmp_path / "none"), "--cluster", "c", "--seat", "p1"]
    done = subprocess.run(
        [sys.executable, "-m", module, *arguments], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 1 and "council-store-lost" in done.stderr
