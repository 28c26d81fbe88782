"""The group's core, played by hand: elections, log, replicas, snapshots, reads, generations, bounds."""

import random

import pytest

from cressrock.consensus.raft import messages
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import (
    HardState,
    StoredState,
    force_single_voter,
    initial_state,
)
from cressrock.consensus.raft.ready import ConfirmedRead
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import Role
from cressrock.errors.consensus import (
    ConsensusBusyError,
    InvalidMessageError,
    LogDivergedError,
    MembershipChangeRefusedError,
    NotLeaderError,
)
from tests.consensus.raft_cluster import Cluster


def test_three_replicas_elect_one_and_all_apply_the_same():
    cluster = Cluster("a", "b", "c")
    cluster.run(300)
    leader = cluster.leader()
    for number in range(5):
        leader.propose(cluster.now, b"%d" % number)
    cluster.settle()
    assert set(map(tuple, cluster.applied.values())) == {(b"0", b"1", b"2", b"3", b"4")}
    assert all(node.leader == leader.name for node in cluster.nodes.values())


def test_a_cut_off_leader_gives_up_and_what_only_it_has_is_replaced():
    cluster = Cluster("a", "b", "c")
    old = cluster.lead("a")
    old.propose(cluster.now, b"kept")
    cluster.settle()
    cluster.isolate("a")
    lost = old.propose(cluster.now, b"lost")
    assert old.role is Role.LEADER
    cluster.run(400)
    assert old.role is not Role.LEADER and old.drop_counts["quorum_lost"] == 1
    cluster.leader().propose(cluster.now, b"new")
    cluster.cut_links.clear()
    cluster.run(400)
    assert set(map(tuple, cluster.applied.values())) == {(b"kept", b"new")}
    assert cluster.stores["a"].entries == cluster.stores["b"].entries
    assert lost <= cluster.stores["a"].last_index


def test_a_replica_cut_off_alone_raises_no_term_and_topples_nobody_when_it_is_back():
    cluster = Cluster("a", "b", "c")
    cluster.lead("a")
    term = cluster.nodes["a"].term
    cluster.isolate("c")
    cluster.run(3000)
    assert cluster.nodes["c"].term == term and cluster.nodes["c"].role is Role.PRE_CANDIDATE
    cluster.cut_links.clear()
    cluster.run(300)
    assert cluster.leader().name == "a" and cluster.nodes["a"].term == term


def test_a_replica_that_hears_its_leader_gives_no_vote_even_in_a_higher_term():
    cluster = Cluster("a", "b", "c")
    cluster.lead("a")
    node, term = cluster.nodes["b"], cluster.nodes["b"].term
    request = messages.RequestVote(generation=1, term=term + 5, last_index=99, last_term=99)
    node.receive(cluster.now + 5, "c", request)
    assert node.term == term and node.drop_counts["sticky"] == 1
    node.receive(cluster.now + 101, "c", request)
    assert node.term == term + 5 and node.voted_for == "c"


@pytest.mark.parametrize("what", ["propose", "read", "tick", "late answers", "seats"])
def test_a_leader_stopped_beyond_its_lease_does_nothing_as_leader_when_it_wakes(what):
    cluster = Cluster("a", "b", "c")
    old = cluster.lead("a")
    cluster.run(15)
    old.tick(cluster.now + 10)
    batch = old.ready()
    old.advance(batch)
    answers = []
    for to, message in batch.messages:
        cluster.nodes[to].receive(cluster.now + 10, "a", message)
        reply = cluster.nodes[to].ready()
        cluster.nodes[to].advance(reply)
        answers += [(to, answer) for back, answer in reply.messages if back == "a"]
    assert len(answers) == 2
    woken = cluster.now + 5000
    if what == "late answers":  # they lay in its sockets while it slept: true then, worth nothing now
        for sender, answer in answers:
            old.receive(woken, sender, answer)
    elif what == "tick":
        old.tick(woken)
    else:
        with pytest.raises(NotLeaderError):
            if what == "propose":
                old.propose(woken, b"x")
            elif what == "read":
                old.read_index(woken, 1)
            else:
                old.change_voters(woken, remove="b")
    assert old.role is not Role.LEADER
    assert not any(isinstance(message, messages.AppendEntries) for _, message in old.ready().messages)


def test_nothing_is_said_that_the_batch_does_not_keep():
    cluster = Cluster("a", "b", "c")
    cluster.lead("a").propose(cluster.now, b"x")
    batch = cluster.nodes["a"].ready()
    assert [entry.data for entry in batch.entries] == [b"x"]
    with pytest.raises(ValueError, match="not advanced"):
        cluster.nodes["a"].ready()
    node = cluster.nodes["b"]
    message = next(message for to, message in batch.messages if to == "b")
    node.receive(cluster.now, "a", message)
    stored = node.ready()
    assert [entry.data for entry in stored.entries] == [b"x"]
    assert stored.messages[0][1].match == stored.entries[-1].index
    node.advance(stored)
    node.receive(
        cluster.now + 500, "c", messages.RequestVote(generation=1, term=9, last_index=99, last_term=8)
    )
    voted = node.ready()
    assert voted.messages[-1][1].granted
    assert voted.hard_state == HardState(9, "c", node.commit, 1)


def test_logs_meet_again_in_steps_of_terms_not_of_entries():
    """A follower with 500 entries of a dead leader's term is brought round in few messages."""
    cluster = Cluster("a", "b", "c")
    cluster.lead("a")
    base, term = cluster.stores["a"].last_index, cluster.nodes["a"].term
    wrong = tuple(LogEntry(term, base + 1 + number, "command", b"w") for number in range(500))
    cluster.stop("c")
    for _ in range(3):  # terms pass without c
        other = cluster.leader().name
        cluster.lead("b" if other == "a" else "a")
    for number in range(400):
        cluster.leader().propose(cluster.now, b"%d" % number)
    cluster.settle()
    hard = cluster.stores["c"].hard
    stored = tuple(entry for entry in cluster.stores["c"].entries if entry.index <= base)
    cluster.start("c", StoredState(hard, None, stored + wrong))
    before = cluster.nodes["c"].commit
    leader = cluster.leader()
    cluster.run(100)
    refused = [
        one for one in cluster.sent if isinstance(one, messages.AppendEntriesReply) and not one.accepted
    ]
    assert len(refused) <= 4 and before <= base
    assert cluster.stores["c"].entries == cluster.stores[leader.name].entries
    assert cluster.applied["c"][-400:] == [b"%d" % number for number in range(400)]


def test_committed_entries_do_not_give_way():
    cluster = Cluster("a", "b", "c")
    cluster.lead("a").propose(cluster.now, b"x")
    cluster.run(50)
    node = cluster.nodes["b"]
    index = node.commit
    forged = messages.AppendEntries(
        generation=1,
        term=node.term + 1,
        previous_index=index - 1,
        previous_term=node.log.term_at(index - 1),
        entries=(LogEntry(node.term + 1, index, "command", b"y"),),
    )
    with pytest.raises(LogDivergedError):
        node.receive(cluster.now, "c", forged)


def test_replicas_change_one_at_a_time_and_only_after_an_entry_of_the_own_term():
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    cluster.start("d", StoredState())
    with pytest.raises(MembershipChangeRefusedError, match="catching up"):
        leader.change_voters(cluster.now, add="d")
    assert cluster.nodes["d"].role is Role.LEARNER and cluster.nodes["d"].next_deadline_ms() == float("inf")
    cluster.run(50)
    assert cluster.applied["d"] == cluster.applied["a"] and cluster.nodes["d"].generation == 1
    leader.change_voters(cluster.now, add="d")
    assert leader.voters == ("a", "b", "c", "d")  # from here on three of four, though it is not committed
    with pytest.raises(MembershipChangeRefusedError, match="not committed"):
        leader.change_voters(cluster.now, remove="c")
    cluster.settle()
    leader.change_voters(cluster.now, remove="c")
    cluster.settle()
    assert all(cluster.nodes[name].voters == ("a", "b", "d") for name in "abd")
    assert cluster.nodes["c"].role is Role.LEARNER
    cluster.run(50)
    assert "c" not in leader.progress and cluster.leader() is leader  # it knows that it is out and is let go
    with pytest.raises(MembershipChangeRefusedError):
        leader.change_voters(cluster.now, add="e", remove="b")
    fresh = RaftNode("a", initial_state(("a", "b", "c")), cluster.timing, random.Random(1), 0.0)
    fresh.campaign(0.0)
    fresh.receive(0, "b", messages.PreVoteReply(generation=1, term=1, next_term=2, granted=True))
    fresh.receive(0, "b", messages.RequestVoteReply(generation=1, term=2, granted=True))
    assert fresh.role is Role.LEADER
    with pytest.raises(MembershipChangeRefusedError, match="of term"):
        fresh.change_voters(0, remove="b")


def test_a_leader_that_is_put_out_hands_over_and_rests():
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    leader.change_voters(cluster.now, remove="a")
    cluster.run(300)
    assert cluster.leader().name in "bc" and cluster.nodes["a"].role is Role.LEARNER
    cluster.leader().propose(cluster.now, b"on")
    cluster.settle()
    assert cluster.applied["b"] == cluster.applied["c"] == [b"on"]
    cluster.run(3000)
    assert cluster.nodes["a"].role is Role.LEARNER


def test_the_lead_is_handed_over_with_all_entries_and_no_proposals_meanwhile():
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    leader.propose(cluster.now, b"x")
    leader.transfer_leadership(cluster.now, "c")
    with pytest.raises(NotLeaderError) as refused:
        leader.propose(cluster.now, b"y")
    assert refused.value.leader_hint == "c"
    cluster.settle()
    assert cluster.leader().name == "c" and cluster.applied["c"] == [b"x"]
    cluster.isolate("a")
    cluster.nodes["c"].transfer_leadership(cluster.now, "a")  # who cannot take it
    for _ in range(12):
        cluster.run(10)
    assert cluster.leader().name == "c"
    cluster.leader().propose(cluster.now, b"z")


def test_a_read_waits_for_a_round_of_answers_that_began_after_it():
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    leader.propose(cluster.now, b"x")
    cluster.settle()
    leader.read_index(cluster.now, "r1")
    assert not cluster.confirmed_reads
    cluster.settle()
    assert cluster.confirmed_reads == [ConfirmedRead("r1", leader.commit)]
    cluster.isolate("a")
    leader.read_index(cluster.now, "r2")
    cluster.settle()
    assert len(cluster.confirmed_reads) == 1
    cluster.run(200)
    assert cluster.lost_reads == ["r2"]


def test_a_single_replica_decides_alone():
    cluster = Cluster("a")
    cluster.run(250)
    cluster.leader().propose(cluster.now, b"x")
    cluster.leader().read_index(cluster.now, 1)
    cluster.settle()
    assert cluster.applied["a"] == [b"x"] and cluster.confirmed_reads == [ConfirmedRead(1, 2)]


def test_a_far_behind_replica_gets_a_snapshot_in_pieces_over_a_wire_that_loses():
    timing = RaftSettings(election_ms=100, heartbeat_ms=10, snapshot_chunk_bytes=7)
    cluster = Cluster("a", "b", "c", timing=timing)
    leader = cluster.lead("a")
    cluster.isolate("c")
    for number in range(20):
        leader.propose(cluster.now, b"%d" % number)
    cluster.settle()
    cluster.isolate("c")
    leader.compact(leader.commit, b"state after twenty entries, in many pieces")
    cluster.settle()
    leader.propose(cluster.now, b"after")
    cluster.settle()
    assert cluster.stores["a"].snapshot.index == leader.log.snapshot_index
    with pytest.raises(ConsensusBusyError):
        leader.compact(leader.commit, bytes(timing.max_snapshot_bytes + 1))
    source = random.Random(5)
    real = cluster.nodes["c"].receive

    class Lossy:
        def __getattr__(self, name):
            return getattr(node, name)

        def receive(self, now, sender, message):
            if source.random() < 0.7:
                real(now, sender, message)
            if source.random() < 0.2:
                real(now, sender, message)

    node, cluster.nodes["c"] = cluster.nodes["c"], Lossy()
    cluster.cut_links.clear()
    cluster.run(1500)
    assert cluster.applied["c"] == [b"state after twenty entries, in many pieces", b"after"]
    assert cluster.stores["c"].snapshot.voters == ("a", "b", "c")
    again = RaftNode("c", cluster.stores["c"].load(), timing, random.Random(1), 0.0)
    assert again.voters == ("a", "b", "c") and again.commit >= again.log.snapshot_index
    assert cluster.leader().name == "a"


def test_an_oversized_snapshot_is_not_taken_in():
    node = RaftNode("x", StoredState(), RaftSettings(max_snapshot_bytes=10), random.Random(1), 0.0)
    piece = {"generation": 1, "term": 2, "index": 5, "index_term": 1, "voters": ("a",)}
    node.receive(0, "a", messages.InstallSnapshot(offset=0, size=11, data=b"12345678", **piece))
    node.receive(0, "a", messages.InstallSnapshot(offset=4, size=9, data=b"123456", **piece))
    assert node.drop_counts["snapshot_size"] == 2 and not node.ready().messages


def test_what_waits_is_bounded():
    timing = RaftSettings(
        election_ms=100,
        heartbeat_ms=10,
        max_uncommitted_bytes=100,
        max_entry_bytes=60,
        max_outbox_messages=20,
        max_pending_reads=3,
        max_inflight_appends=2,
        max_append_entries=1,
    )
    cluster = Cluster("a", "b", "c", timing=timing)
    leader = cluster.lead("a")
    with pytest.raises(ConsensusBusyError):
        leader.propose(cluster.now, bytes(61))
    for _ in range(2):
        leader.propose(cluster.now, bytes(50))
    with pytest.raises(ConsensusBusyError):
        leader.propose(cluster.now, b"x")
    for number in range(3):
        leader.read_index(cluster.now, number)
    with pytest.raises(ConsensusBusyError):
        leader.read_index(cluster.now, 3)
    cluster.settle()
    for _ in range(9):
        leader.propose(cluster.now, b"x")
    appends = [message for to, message in leader.ready().messages if to == "b"]
    assert [len(message.entries) for message in appends] == [1, 1]
    for _ in range(50):
        cluster.nodes["b"].receive(cluster.now, "a", appends[0])
    assert len(cluster.nodes["b"].outbox) == 20 and cluster.nodes["b"].drop_counts["outbox_full"] == 30


def test_entries_of_one_message_are_bounded_in_bytes():
    timing = RaftSettings(election_ms=100, heartbeat_ms=10, max_append_bytes=250)
    cluster = Cluster("a", "b", "c", timing=timing)
    leader = cluster.lead("a")
    for _ in range(7):
        leader.propose(cluster.now, bytes(100))
    appends = [message for to, message in leader.ready().messages if to == "b"]
    assert [len(message.entries) for message in appends] == [2, 2, 2, 1]


def test_a_council_forced_anew_goes_on_alone_and_turns_old_replicas_away_with_a_reason():
    cluster = Cluster("a", "b", "c")
    leader = cluster.lead("a")
    leader.propose(cluster.now, b"x")
    cluster.settle()
    old = {name: cluster.stores[name].load() for name in "ab"}
    forced = force_single_voter(old["b"], "b")
    assert forced.hard_state.generation == 2 and forced.hard_state.term == old["b"].hard_state.term + 1
    assert forced.entries[:-1] == old["b"].entries
    new = Cluster("b", stored={"b": forced})
    new.run(250)
    new.leader().propose(new.now, b"y")
    new.settle()
    assert new.applied["b"] == [b"x", b"y"] and new.nodes["b"].voters == ("b",)
    new.start("a", old["a"])
    new.run(500)
    back = new.nodes["a"]
    assert "generation 2" in back.excluded_reason and back.next_deadline_ms() == float("inf")
    assert new.nodes["b"].drop_counts["generation"] >= 1 and new.leader().name == "b"
    new.stop("a")
    new.start("d", StoredState())
    with pytest.raises(MembershipChangeRefusedError):
        new.leader().change_voters(new.now, add="d")
    new.run(50)
    new.leader().change_voters(new.now, add="d")
    new.settle()
    assert new.nodes["d"].generation == 2 and new.applied["d"] == [b"x", b"y"]


def test_all_replicas_restarted_at_once_go_on_with_what_was_committed():
    cluster = Cluster("a", "b", "c")
    cluster.lead("a").propose(cluster.now, b"x")
    cluster.settle()
    for name in "abc":
        cluster.start(name)
    cluster.run(500)
    cluster.leader().propose(cluster.now, b"y")
    cluster.settle()
    assert set(map(tuple, cluster.applied.values())) == {(b"x", b"y")}


def test_malformed_entries_are_dropped_and_counted():
    node = RaftNode("b", initial_state(("a", "b")), RaftSettings(), random.Random(1), 0.0)
    head = {"generation": 1, "term": 2, "previous_index": 1, "previous_term": 1}
    good = LogEntry(2, 2, "empty")
    for entries in (
        (LogEntry(1, 3, "empty"),),
        (LogEntry(7, 2, "empty"),),
        (good, LogEntry(1, 3, "empty")),
        (good, LogEntry(2, 3, "seats", b"\xc1")),
        (good, LogEntry(2, 3, "seats", messages.encode_voters(()))),
        (good, LogEntry(2, 3, "seats", messages.encode_voters(("a", "a")))),
    ):
        node.receive(0, "a", messages.AppendEntries(entries=entries, **head))
    assert node.drop_counts["malformed"] == 6 and node.log.last_index == 1


def samples():
    head = {"generation": 1, "term": 2}
    return [
        messages.PreVote(next_term=3, last_index=4, last_term=2, **head),
        messages.PreVoteReply(next_term=3, granted=True, **head),
        messages.RequestVote(last_index=4, last_term=2, transfer=True, **head),
        messages.RequestVoteReply(granted=False, **head),
        messages.AppendEntries(
            previous_index=3,
            previous_term=1,
            commit=3,
            round=9,
            **head,
            entries=(
                LogEntry(2, 4, "command", b"x"),
                LogEntry(2, 5, "seats", messages.encode_voters(("a", "b"))),
            ),
        ),
        messages.AppendEntriesReply(
            accepted=False, previous_index=3, conflict_term=1, conflict_index=2, round=9, **head
        ),
        messages.InstallSnapshot(
            index=3, index_term=1, voters=("a", "b"), offset=0, size=2, data=b"ab", **head
        ),
        messages.InstallSnapshotReply(index=3, offset=2, done=True, round=9, **head),
        messages.TimeoutNow(**head),
        messages.StaleGeneration(reason="over", **head),
    ]


GOLDEN = [
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647986a174a7707265766f7465aa67656e6572"
    "6174696f6e01a47465726d02a96e6578745f7465726d03aa6c6173745f696e64657804a96c6173745f7465726d02",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647985a174a8707265766f746564aa67656e65"
    "726174696f6e01a47465726d02a96e6578745f7465726d03a76772616e746564c3",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647986a174a4766f7465aa67656e6572617469"
    "6f6e01a47465726d02aa6c6173745f696e64657804a96c6173745f7465726d02a87472616e73666572c3",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647984a174a5766f746564aa67656e65726174"
    "696f6e01a47465726d02a76772616e746564c2",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647988a174a6617070656e64aa67656e657261"
    "74696f6e01a47465726d02ae70726576696f75735f696e64657803ad70726576696f75735f7465726d01a7656e7472696573"
    "92940204a7636f6d6d616e64c40178940205a57365617473c40592a161a162a6636f6d6d697403a5726f756e6409",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647989a174a8617070656e646564aa67656e65"
    "726174696f6e01a47465726d02a86163636570746564c2a56d6174636800ae70726576696f75735f696e64657803ad636f6e"
    "666c6963745f7465726d01ae636f6e666c6963745f696e64657802a5726f756e6409",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f64798aa174a8736e617073686f74aa67656e65"
    "726174696f6e01a47465726d02a5696e64657803aa696e6465785f7465726d01a5736561747392a161a162a66f6666736574"
    "00a473697a6502a464617461c4026162a5726f756e6400",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647987a174ab736e617073686f74746564aa67"
    "656e65726174696f6e01a47465726d02a5696e64657803a66f666673657402a4646f6e65c3a5726f756e6409",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647983a174a774696d656f7574aa67656e6572"
    "6174696f6e01a47465726d02",
    "85a17601a7636c7573746572a163a673656e646572a161a2746fa162a4626f647984a174a772656675736564aa67656e6572"
    "6174696f6e01a47465726d02a6726561736f6ea46f766572",
]


def test_the_bytes_of_version_one_stay_what_they_are():
    assert [messages.encode("c", "a", "b", message).hex() for message in samples()] == GOLDEN
    assert [messages.decode(bytes.fromhex(data), "c") for data in GOLDEN] == [
        ("a", "b", one) for one in samples()
    ]
    assert initial_state(("b", "a")).entries == (LogEntry(1, 1, "seats", bytes.fromhex("92a161a162")),)


def test_foreign_newer_and_broken_bytes_are_refused_by_a_reason():
    good = messages.encode("c", "a", "b", samples()[0])
    newer = good.replace(b"\xa1v\x01", b"\xa1v\x02")
    grown = good.replace(b"\xa4body\x86", b"\xa4body\x87\xa3new\x01")  # a later minor's field is passed over
    assert messages.decode(grown, "c")[2] == samples()[0]
    for data, cluster, reason in (
        (good, "d", "cluster"),
        (newer, "c", "version"),
        (good[:-1], "c", "malformed"),
        (b"", "c", "malformed"),
        (bytes(messages.MAX_MESSAGE_BYTES + 1), "c", "size"),
        (good.replace(b"prevote", b"pretend"), "c", "malformed"),
    ):
        with pytest.raises(InvalidMessageError) as refused:
            messages.decode(data, cluster)
        assert refused.value.reason == reason


def test_random_bytes_and_broken_messages_only_ever_refuse():
    source = random.Random(11)
    node = RaftNode("b", initial_state(("a", "b", "c")), RaftSettings(), random.Random(1), 0.0)
    taken = 0
    for _ in range(9000):
        data = bytearray(bytes.fromhex(source.choice(GOLDEN)))
        for _ in range(source.randint(1, 4)):
            data[source.randrange(len(data))] = source.randrange(256)
        try:
            sender, _, message = messages.decode(bytes(data), "c")
            node.receive(0.0, sender, message)
            taken += 1
        except (InvalidMessageError, LogDivergedError):
            continue
    assert taken > 200 and node.log.last_index < 10
