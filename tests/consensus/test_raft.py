"""The Raft nodes, driven step by step: elections, log, membership, snapshots, reads, generations, limits."""

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


def test_three_replicas_elect_a_leader_and_apply_the_same_entries():
    cluster = Cluster("a", "b", "c")
    cluster.run_for(300)
    leader = cluster.leader()
    for number in range(5):
        leader.propose(cluster.now_ms, b"%d" % number)
    cluster.run_until_idle()
    assert set(map(tuple, cluster.applied.values())) == {(b"0", b"1", b"2", b"3", b"4")}
    assert all(node.leader == leader.name for node in cluster.nodes.values())


def test_an_isolated_leader_steps_down_and_its_uncommitted_entries_are_replaced():
    cluster = Cluster("a", "b", "c")
    old_leader = cluster.make_leader("a")
    old_leader.propose(cluster.now_ms, b"kept")
    cluster.run_until_idle()
    cluster.isolate("a")
    lost_index = old_leader.propose(cluster.now_ms, b"lost")
    assert old_leader.role is Role.LEADER
    cluster.run_for(400)
    assert old_leader.role is not Role.LEADER and old_leader.drop_counts["quorum_lost"] == 1
    cluster.leader().propose(cluster.now_ms, b"new")
    cluster.cut_links.clear()
    cluster.run_for(400)
    assert set(map(tuple, cluster.applied.values())) == {(b"kept", b"new")}
    assert cluster.stores["a"].entries == cluster.stores["b"].entries
    assert lost_index <= cluster.stores["a"].last_index


def test_an_isolated_replica_does_not_raise_its_term_nor_depose_the_leader_on_return():
    cluster = Cluster("a", "b", "c")
    cluster.make_leader("a")
    term = cluster.nodes["a"].term
    cluster.isolate("c")
    cluster.run_for(3000)
    assert cluster.nodes["c"].term == term and cluster.nodes["c"].role is Role.PRE_CANDIDATE
    cluster.cut_links.clear()
    cluster.run_for(300)
    assert cluster.leader().name == "a" and cluster.nodes["a"].term == term


def test_a_replica_in_contact_with_its_leader_refuses_votes_even_in_a_higher_term():
    cluster = Cluster("a", "b", "c")
    cluster.make_leader("a")
    node, term = cluster.nodes["b"], cluster.nodes["b"].term
    request = messages.RequestVote(generation=1, term=term + 5, last_index=99, last_term=99)
    node.receive(cluster.now_ms + 5, "c", request)
    assert node.term == term and node.drop_counts["sticky"] == 1
    node.receive(cluster.now_ms + 101, "c", request)
    assert node.term == term + 5 and node.voted_for == "c"


@pytest.mark.parametrize("trigger", ["propose", "read", "tick", "late replies", "membership"])
def test_a_leader_paused_beyond_its_lease_steps_down_before_doing_anything_else(trigger):
    cluster = Cluster("a", "b", "c")
    old_leader = cluster.make_leader("a")
    cluster.run_for(15)
    old_leader.tick(cluster.now_ms + 10)
    batch = old_leader.ready()
    old_leader.advance(batch)
    replies = []
    for to, message in batch.messages:
        cluster.nodes[to].receive(cluster.now_ms + 10, "a", message)
        reply_batch = cluster.nodes[to].ready()
        cluster.nodes[to].advance(reply_batch)
        replies += [(to, reply) for receiver, reply in reply_batch.messages if receiver == "a"]
    assert len(replies) == 2
    resumed_at_ms = cluster.now_ms + 5000
    if trigger == "late replies":  # they waited in its sockets meanwhile; they must not renew the lease
        for sender, reply in replies:
            old_leader.receive(resumed_at_ms, sender, reply)
    elif trigger == "tick":
        old_leader.tick(resumed_at_ms)
    else:
        with pytest.raises(NotLeaderError):
            if trigger == "propose":
                old_leader.propose(resumed_at_ms, b"x")
            elif trigger == "read":
                old_leader.read_index(resumed_at_ms, 1)
            else:
                old_leader.change_voters(resumed_at_ms, remove="b")
    assert old_leader.role is not Role.LEADER
    assert not any(isinstance(message, messages.AppendEntries) for _, message in old_leader.ready().messages)


def test_messages_of_a_batch_only_state_what_the_batch_persists():
    cluster = Cluster("a", "b", "c")
    cluster.make_leader("a").propose(cluster.now_ms, b"x")
    batch = cluster.nodes["a"].ready()
    assert [entry.data for entry in batch.entries] == [b"x"]
    with pytest.raises(ValueError, match="not advanced"):
        cluster.nodes["a"].ready()
    node = cluster.nodes["b"]
    message = next(message for to, message in batch.messages if to == "b")
    node.receive(cluster.now_ms, "a", message)
    stored = node.ready()
    assert [entry.data for entry in stored.entries] == [b"x"]
    assert stored.messages[0][1].match == stored.entries[-1].index
    node.advance(stored)
    node.receive(
        cluster.now_ms + 500, "c", messages.RequestVote(generation=1, term=9, last_index=99, last_term=8)
    )
    voted = node.ready()
    assert voted.messages[-1][1].granted
    assert voted.hard_state == HardState(9, "c", node.commit, 1)


def test_diverged_logs_are_reconciled_term_by_term_not_entry_by_entry():
    """A follower with 500 uncommitted entries of a former leader's term is corrected in a few messages."""
    cluster = Cluster("a", "b", "c")
    cluster.make_leader("a")
    last_common_index, term = cluster.stores["a"].last_index, cluster.nodes["a"].term
    divergent_entries = tuple(
        LogEntry(term, last_common_index + 1 + number, "command", b"w") for number in range(500)
    )
    cluster.stop("c")
    for _ in range(3):  # several terms in which c is stopped
        leader_name = cluster.leader().name
        cluster.make_leader("b" if leader_name == "a" else "a")
    for number in range(400):
        cluster.leader().propose(cluster.now_ms, b"%d" % number)
    cluster.run_until_idle()
    hard_state = cluster.stores["c"].hard
    stored_entries = tuple(entry for entry in cluster.stores["c"].entries if entry.index <= last_common_index)
    cluster.start("c", StoredState(hard_state, None, stored_entries + divergent_entries))
    commit_before = cluster.nodes["c"].commit
    leader = cluster.leader()
    cluster.run_for(100)
    rejected = [
        message
        for message in cluster.sent
        if isinstance(message, messages.AppendEntriesReply) and not message.accepted
    ]
    assert len(rejected) <= 4 and commit_before <= last_common_index
    assert cluster.stores["c"].entries == cluster.stores[leader.name].entries
    assert cluster.applied["c"][-400:] == [b"%d" % number for number in range(400)]


def test_a_committed_entry_is_never_overwritten():
    cluster = Cluster("a", "b", "c")
    cluster.make_leader("a").propose(cluster.now_ms, b"x")
    cluster.run_for(50)
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
        node.receive(cluster.now_ms, "c", forged)


def test_voters_change_one_at_a_time_and_only_after_an_entry_of_the_own_term():
    cluster = Cluster("a", "b", "c")
    leader = cluster.make_leader("a")
    cluster.start("d", StoredState())
    with pytest.raises(MembershipChangeRefusedError, match="catching up"):
        leader.change_voters(cluster.now_ms, add="d")
    assert cluster.nodes["d"].role is Role.LEARNER and cluster.nodes["d"].next_deadline_ms() == float("inf")
    cluster.run_for(50)
    assert cluster.applied["d"] == cluster.applied["a"] and cluster.nodes["d"].generation == 1
    leader.change_voters(cluster.now_ms, add="d")
    assert leader.voters == ("a", "b", "c", "d")  # effective at once: a quorum is now three of four
    with pytest.raises(MembershipChangeRefusedError, match="not committed"):
        leader.change_voters(cluster.now_ms, remove="c")
    cluster.run_until_idle()
    leader.change_voters(cluster.now_ms, remove="c")
    cluster.run_until_idle()
    assert all(cluster.nodes[name].voters == ("a", "b", "d") for name in "abd")
    assert cluster.nodes["c"].role is Role.LEARNER
    cluster.run_for(50)
    # c knows of its removal and is no longer tracked.
    assert "c" not in leader.progress and cluster.leader() is leader
    with pytest.raises(MembershipChangeRefusedError):
        leader.change_voters(cluster.now_ms, add="e", remove="b")
    new_leader = RaftNode("a", initial_state(("a", "b", "c")), cluster.settings, random.Random(1), 0.0)
    new_leader.campaign(0.0)
    new_leader.receive(0, "b", messages.PreVoteReply(generation=1, term=1, next_term=2, granted=True))
    new_leader.receive(0, "b", messages.RequestVoteReply(generation=1, term=2, granted=True))
    assert new_leader.role is Role.LEADER
    with pytest.raises(MembershipChangeRefusedError, match="of term"):
        new_leader.change_voters(0, remove="b")


def test_a_removed_leader_hands_over_and_stays_a_learner():
    cluster = Cluster("a", "b", "c")
    leader = cluster.make_leader("a")
    leader.change_voters(cluster.now_ms, remove="a")
    cluster.run_for(300)
    assert cluster.leader().name in "bc" and cluster.nodes["a"].role is Role.LEARNER
    cluster.leader().propose(cluster.now_ms, b"on")
    cluster.run_until_idle()
    assert cluster.applied["b"] == cluster.applied["c"] == [b"on"]
    cluster.run_for(3000)
    assert cluster.nodes["a"].role is Role.LEARNER


def test_leadership_transfer_waits_for_all_entries_and_refuses_proposals_meanwhile():
    cluster = Cluster("a", "b", "c")
    leader = cluster.make_leader("a")
    leader.propose(cluster.now_ms, b"x")
    leader.transfer_leadership(cluster.now_ms, "c")
    with pytest.raises(NotLeaderError) as rejected:
        leader.propose(cluster.now_ms, b"y")
    assert rejected.value.leader_hint == "c"
    cluster.run_until_idle()
    assert cluster.leader().name == "c" and cluster.applied["c"] == [b"x"]
    cluster.isolate("a")
    cluster.nodes["c"].transfer_leadership(cluster.now_ms, "a")  # a is isolated and cannot take over
    for _ in range(12):
        cluster.run_for(10)
    assert cluster.leader().name == "c"
    cluster.leader().propose(cluster.now_ms, b"z")


def test_a_read_is_confirmed_by_a_round_that_began_after_it():
    cluster = Cluster("a", "b", "c")
    leader = cluster.make_leader("a")
    leader.propose(cluster.now_ms, b"x")
    cluster.run_until_idle()
    leader.read_index(cluster.now_ms, "r1")
    assert not cluster.confirmed_reads
    cluster.run_until_idle()
    assert cluster.confirmed_reads == [ConfirmedRead("r1", leader.commit)]
    cluster.isolate("a")
    leader.read_index(cluster.now_ms, "r2")
    cluster.run_until_idle()
    assert len(cluster.confirmed_reads) == 1
    cluster.run_for(200)
    assert cluster.lost_reads == ["r2"]


def test_a_single_replica_commits_alone():
    cluster = Cluster("a")
    cluster.run_for(250)
    cluster.leader().propose(cluster.now_ms, b"x")
    cluster.leader().read_index(cluster.now_ms, 1)
    cluster.run_until_idle()
    assert cluster.applied["a"] == [b"x"] and cluster.confirmed_reads == [ConfirmedRead(1, 2)]


def test_a_lagging_replica_gets_a_chunked_snapshot_over_a_lossy_network():
    settings = RaftSettings(election_ms=100, heartbeat_ms=10, snapshot_chunk_bytes=7)
    cluster = Cluster("a", "b", "c", settings=settings)
    leader = cluster.make_leader("a")
    cluster.isolate("c")
    for number in range(20):
        leader.propose(cluster.now_ms, b"%d" % number)
    cluster.run_until_idle()
    cluster.isolate("c")
    leader.compact(leader.commit, b"state after twenty entries, in many pieces")
    cluster.run_until_idle()
    leader.propose(cluster.now_ms, b"after")
    cluster.run_until_idle()
    assert cluster.stores["a"].snapshot.index == leader.log.snapshot_index
    with pytest.raises(ConsensusBusyError):
        leader.compact(leader.commit, bytes(settings.max_snapshot_bytes + 1))
    random_source = random.Random(5)
    deliver = cluster.nodes["c"].receive

    class LossyNode:
        def __getattr__(self, name):
            return getattr(node, name)

        def receive(self, now_ms, sender, message):
            if random_source.random() < 0.7:
                deliver(now_ms, sender, message)
            if random_source.random() < 0.2:
                deliver(now_ms, sender, message)

    node, cluster.nodes["c"] = cluster.nodes["c"], LossyNode()
    cluster.cut_links.clear()
    cluster.run_for(1500)
    assert cluster.applied["c"] == [b"state after twenty entries, in many pieces", b"after"]
    assert cluster.stores["c"].snapshot.voters == ("a", "b", "c")
    restarted = RaftNode("c", cluster.stores["c"].load(), settings, random.Random(1), 0.0)
    assert restarted.voters == ("a", "b", "c") and restarted.commit >= restarted.log.snapshot_index
    assert cluster.leader().name == "a"


def test_an_oversized_snapshot_is_dropped():
    node = RaftNode("x", StoredState(), RaftSettings(max_snapshot_bytes=10), random.Random(1), 0.0)
    common_fields = {"generation": 1, "term": 2, "index": 5, "index_term": 1, "voters": ("a",)}
    node.receive(0, "a", messages.InstallSnapshot(offset=0, size=11, data=b"12345678", **common_fields))
    node.receive(0, "a", messages.InstallSnapshot(offset=4, size=9, data=b"123456", **common_fields))
    assert node.drop_counts["snapshot_size"] == 2 and not node.ready().messages


def test_queues_and_pending_work_are_bounded():
    settings = RaftSettings(
        election_ms=100,
        heartbeat_ms=10,
        max_uncommitted_bytes=100,
        max_entry_bytes=60,
        max_outbox_messages=20,
        max_pending_reads=3,
        max_inflight_appends=2,
        max_append_entries=1,
    )
    cluster = Cluster("a", "b", "c", settings=settings)
    leader = cluster.make_leader("a")
    with pytest.raises(ConsensusBusyError):
        leader.propose(cluster.now_ms, bytes(61))
    for _ in range(2):
        leader.propose(cluster.now_ms, bytes(50))
    with pytest.raises(ConsensusBusyError):
        leader.propose(cluster.now_ms, b"x")
    for number in range(3):
        leader.read_index(cluster.now_ms, number)
    with pytest.raises(ConsensusBusyError):
        leader.read_index(cluster.now_ms, 3)
    cluster.run_until_idle()
    for _ in range(9):
        leader.propose(cluster.now_ms, b"x")
    appends = [message for to, message in leader.ready().messages if to == "b"]
    assert [len(message.entries) for message in appends] == [1, 1]
    for _ in range(50):
        cluster.nodes["b"].receive(cluster.now_ms, "a", appends[0])
    assert len(cluster.nodes["b"].outbox) == 20 and cluster.nodes["b"].drop_counts["outbox_full"] == 30


def test_the_entry_bytes_of_one_message_are_bounded():
    settings = RaftSettings(election_ms=100, heartbeat_ms=10, max_append_bytes=250)
    cluster = Cluster("a", "b", "c", settings=settings)
    leader = cluster.make_leader("a")
    for _ in range(7):
        leader.propose(cluster.now_ms, bytes(100))
    appends = [message for to, message in leader.ready().messages if to == "b"]
    assert [len(message.entries) for message in appends] == [2, 2, 2, 1]


def test_a_group_forced_to_a_single_voter_continues_and_refuses_old_replicas_with_a_reason():
    cluster = Cluster("a", "b", "c")
    leader = cluster.make_leader("a")
    leader.propose(cluster.now_ms, b"x")
    cluster.run_until_idle()
    saved = {name: cluster.stores[name].load() for name in "ab"}
    forced = force_single_voter(saved["b"], "b")
    assert forced.hard_state.generation == 2 and forced.hard_state.term == saved["b"].hard_state.term + 1
    assert forced.entries[:-1] == saved["b"].entries
    forced_cluster = Cluster("b", stored={"b": forced})
    forced_cluster.run_for(250)
    forced_cluster.leader().propose(forced_cluster.now_ms, b"y")
    forced_cluster.run_until_idle()
    assert forced_cluster.applied["b"] == [b"x", b"y"] and forced_cluster.nodes["b"].voters == ("b",)
    forced_cluster.start("a", saved["a"])
    forced_cluster.run_for(500)
    stale_node = forced_cluster.nodes["a"]
    assert "generation 2" in stale_node.excluded_reason and stale_node.next_deadline_ms() == float("inf")
    assert forced_cluster.nodes["b"].drop_counts["generation"] >= 1 and forced_cluster.leader().name == "b"
    forced_cluster.stop("a")
    forced_cluster.start("d", StoredState())
    with pytest.raises(MembershipChangeRefusedError):
        forced_cluster.leader().change_voters(forced_cluster.now_ms, add="d")
    forced_cluster.run_for(50)
    forced_cluster.leader().change_voters(forced_cluster.now_ms, add="d")
    forced_cluster.run_until_idle()
    assert forced_cluster.nodes["d"].generation == 2 and forced_cluster.applied["d"] == [b"x", b"y"]


def test_a_full_restart_keeps_committed_entries():
    cluster = Cluster("a", "b", "c")
    cluster.make_leader("a").propose(cluster.now_ms, b"x")
    cluster.run_until_idle()
    for name in "abc":
        cluster.start(name)
    cluster.run_for(500)
    cluster.leader().propose(cluster.now_ms, b"y")
    cluster.run_until_idle()
    assert set(map(tuple, cluster.applied.values())) == {(b"x", b"y")}


def test_malformed_entries_are_dropped_and_counted():
    node = RaftNode("b", initial_state(("a", "b")), RaftSettings(), random.Random(1), 0.0)
    common_header = {"generation": 1, "term": 2, "previous_index": 1, "previous_term": 1}
    good = LogEntry(2, 2, "empty")
    for entries in (
        (LogEntry(1, 3, "empty"),),
        (LogEntry(7, 2, "empty"),),
        (good, LogEntry(1, 3, "empty")),
        (good, LogEntry(2, 3, "seats", b"\xc1")),
        (good, LogEntry(2, 3, "seats", messages.encode_voters(()))),
        (good, LogEntry(2, 3, "seats", messages.encode_voters(("a", "a")))),
    ):
        node.receive(0, "a", messages.AppendEntries(entries=entries, **common_header))
    assert node.drop_counts["malformed"] == 6 and node.log.last_index == 1


def sample_messages():
    common_header = {"generation": 1, "term": 2}
    return [
        messages.PreVote(next_term=3, last_index=4, last_term=2, **common_header),
        messages.PreVoteReply(next_term=3, granted=True, **common_header),
        messages.RequestVote(last_index=4, last_term=2, transfer=True, **common_header),
        messages.RequestVoteReply(granted=False, **common_header),
        messages.AppendEntries(
            previous_index=3,
            previous_term=1,
            commit=3,
            round=9,
            **common_header,
            entries=(
                LogEntry(2, 4, "command", b"x"),
                LogEntry(2, 5, "seats", messages.encode_voters(("a", "b"))),
            ),
        ),
        messages.AppendEntriesReply(
            accepted=False, previous_index=3, conflict_term=1, conflict_index=2, round=9, **common_header
        ),
        messages.InstallSnapshot(
            index=3, index_term=1, voters=("a", "b"), offset=0, size=2, data=b"ab", **common_header
        ),
        messages.InstallSnapshotReply(index=3, offset=2, done=True, round=9, **common_header),
        messages.TimeoutNow(**common_header),
        messages.StaleGeneration(reason="over", **common_header),
    ]


GOLDEN_MESSAGES_HEX = [
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


def test_the_encoding_of_version_one_is_unchanged():
    assert [
        messages.encode("c", "a", "b", message).hex() for message in sample_messages()
    ] == GOLDEN_MESSAGES_HEX
    assert [messages.decode(bytes.fromhex(data), "c") for data in GOLDEN_MESSAGES_HEX] == [
        ("a", "b", message) for message in sample_messages()
    ]
    assert initial_state(("b", "a")).entries == (LogEntry(1, 1, "seats", bytes.fromhex("92a161a162")),)


def test_foreign_newer_and_malformed_messages_are_refused_with_a_reason():
    good = messages.encode("c", "a", "b", sample_messages()[0])
    newer = good.replace(b"\xa1v\x01", b"\xa1v\x02")
    extended = good.replace(b"\xa4body\x86", b"\xa4body\x87\xa3new\x01")  # unknown fields are ignored
    assert messages.decode(extended, "c")[2] == sample_messages()[0]
    for data, cluster, reason in (
        (good, "d", "cluster"),
        (newer, "c", "version"),
        (good[:-1], "c", "malformed"),
        (b"", "c", "malformed"),
        (bytes(messages.MAX_MESSAGE_BYTES + 1), "c", "size"),
        (good.replace(b"prevote", b"pretend"), "c", "malformed"),
    ):
        with pytest.raises(InvalidMessageError) as rejected:
            messages.decode(data, cluster)
        assert rejected.value.reason == reason


def test_corrupted_messages_raise_only_expected_errors():
    random_source = random.Random(11)
    node = RaftNode("b", initial_state(("a", "b", "c")), RaftSettings(), random.Random(1), 0.0)
    accepted_count = 0
    for _ in range(9000):
        data = bytearray(bytes.fromhex(random_source.choice(GOLDEN_MESSAGES_HEX)))
        for _ in range(random_source.randint(1, 4)):
            data[random_source.randrange(len(data))] = random_source.randrange(256)
        try:
            sender, _, message = messages.decode(bytes(data), "c")
            node.receive(0.0, sender, message)
            accepted_count += 1
        except (InvalidMessageError, LogDivergedError):
            continue
    assert accepted_count > 200 and node.log.last_index < 10
