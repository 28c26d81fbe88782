"""Wire bytes, stored files and decisions of the consensus are equal to the recorded ones."""

from __future__ import annotations

import pytest

from cressrock.consensus import decision_gossip, decisions, frames, recover
from cressrock.consensus.connection_protocol import Closed, ConnectionProtocol, LocalEndpoint
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.frames import CloseNotice, Hello, Welcome
from cressrock.consensus.raft import messages
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import HardState
from cressrock.consensus.store import ReplicaStore
from cressrock.errors.consensus import ForeignStoreError, InvalidMessageError, StoreMissingError
from cressrock.planner import epochs
from tests.compatibility import consensus_cases as cases
from tests.compatibility.canonical import FIXTURES, load
from tests.compatibility.consensus_streams import FORGED_SEEDS, STREAMS, forged_digest

WIRE = load("consensus-wire")
STORES = load("consensus-stores")
DIGESTS = load("consensus-digests")
FORGED = load("consensus-forged")


@pytest.fixture
def stored(tmp_path):
    """Return a function that copies a recorded file to a writable path."""
    return lambda name: cases.copy_of(FIXTURES / f"{name}.bin", tmp_path)


def test_every_recorded_example_is_still_built():
    assert set(cases.replica_messages()) == set(WIRE["messages"])
    assert set(cases.frame_examples()) == set(WIRE["frames"])
    assert set(cases.commands()) == set(WIRE["commands"])
    assert set(cases.decision_examples()) == set(WIRE["decisions"])
    assert {name: set(map(str, seeds)) for name, (_, seeds) in STREAMS.items()} == {
        name: set(digests) for name, digests in DIGESTS.items()
    }


@pytest.mark.parametrize("name", WIRE["messages"])
def test_a_message_between_replicas_has_its_recorded_bytes(name):
    message, recorded = cases.replica_messages()[name], bytes.fromhex(WIRE["messages"][name])
    assert messages.encode(cases.CLUSTER, cases.SENDER, cases.RECEIVER, message) == recorded
    assert messages.decode(recorded, cases.CLUSTER) == (cases.SENDER, cases.RECEIVER, message)


@pytest.mark.parametrize("name", WIRE["refused"])
def test_invalid_message_bytes_are_rejected_with_the_recorded_reason(name):
    with pytest.raises(InvalidMessageError) as caught:
        messages.decode(bytes.fromhex(WIRE["refused"][name]), cases.CLUSTER)
    assert caught.value.reason == name.split()[0]


def test_a_membership_entry_has_its_recorded_bytes():
    recorded = bytes.fromhex(WIRE["seats"])
    assert messages.encode_voters(("a#1", "b#2")) == recorded
    assert messages.decode_voters(recorded) == ("a#1", "b#2")


@pytest.mark.parametrize("name", WIRE["frames"])
def test_a_frame_has_its_recorded_bytes(name):
    frame, recorded = cases.frame_examples()[name], bytes.fromhex(WIRE["frames"][name])
    assert frames.encode(frame) == recorded
    assert int.from_bytes(recorded[:4], "big") == len(recorded) - 4
    assert decoded(recorded) == frame


def decoded(recorded):
    """Decode a frame; for handshake and close frames, also check the events of a connection."""
    group_members = (cases.SENDER, cases.RECEIVER)
    local = LocalEndpoint(cases.CLUSTER, "x#1", True, "", group_members)
    dialled = ConnectionProtocol(True, local, 0.0)
    accepting = ConnectionProtocol(False, local, 0.0)
    frame = frames.decode_body(recorded[4:])
    match frame:
        case Hello():
            events = accepting.receive_data(recorded, 1.0)
            assert [
                (event.peer, event.is_replica, event.group, event.initial_replicas) for event in events
            ] == [(frame.sender, frame.is_replica, frame.group, frame.initial_replicas)]
        case Welcome():
            events = dialled.receive_data(recorded, 1.0)
            assert [(event.version, event.peer, event.applied) for event in events] == [
                (frame.version, frame.sender, frame.applied)
            ]
        case CloseNotice():
            events = accepting.receive_data(recorded, 1.0)
            assert events == [Closed(frame.code, frame.reason, closed_locally=False)]
    return frame


@pytest.mark.parametrize("name", WIRE["commands"])
def test_a_command_of_the_log_has_its_recorded_bytes(name):
    command, recorded = cases.commands()[name], bytes.fromhex(WIRE["commands"][name])
    assert decisions.encode(command) == recorded
    assert decisions.decode_command(recorded) == command


@pytest.mark.parametrize("name", WIRE["decisions"])
def test_a_decision_has_its_recorded_bytes(name):
    decision, recorded = cases.decision_examples()[name], bytes.fromhex(WIRE["decisions"][name])
    assert decisions.encode(decision) == recorded
    assert decisions.decode_decision(recorded) == decision


def test_published_gossip_has_the_recorded_keys_and_bytes():
    assert cases.published_decisions() == WIRE["told"]
    assert decisions.gossip_key("zone/a") == "decree/zone/a"


def test_recorded_gossip_is_read_as_the_decisions_that_were_published():
    subscriber = decision_gossip.DecisionSubscriber()
    for step in WIRE["told"]:
        standing = [decisions.decode_decision(bytes.fromhex(data)) for data in step["standing"]]
        by_topic = {decision.topic: decision for decision in standing}
        for key, value in step["changes"]:
            if value is None:
                continue
            found, wanted = subscriber.receive_entry(key, bytes.fromhex(value))
            for topic in wanted:
                found = subscriber.receive_decision(by_topic[topic])
            for decision in found:
                stands = by_topic[decision.topic]
                assert (decision.version, decision.value, decision.lease_ms) == (
                    stands.version,
                    stands.value,
                    stands.lease_ms,
                )
                assert decision.renewal in (step["beat"], stands.renewal)


def test_a_state_snapshot_has_its_recorded_bytes_and_is_restored_from_them():
    recorded = bytes.fromhex(WIRE["state"])
    assert cases.snapshot().snapshot() == recorded
    assert DecisionState.restore(recorded).snapshot() == recorded
    assert DecisionState.restore(recorded).all_decisions() == cases.snapshot().all_decisions()


def test_a_saved_reader_state_has_its_recorded_bytes_and_is_restored_from_them():
    recorded = bytes.fromhex(WIRE["seen"])
    assert cases.reader().to_bytes() == recorded
    assert DecisionReader(recorded, max_topics=2).to_bytes() == recorded


# --- stored files


@pytest.mark.parametrize(
    ("name", "seat"),
    [("consensus-store", "a"), ("consensus-store-new", "b"), ("consensus-store-removed", "c")],
)
def test_a_recorded_store_is_read_whole(stored, name, seat):
    assert cases.store_content(stored(name), seat) == STORES[name]


@pytest.mark.parametrize(
    ("name", "write", "seat"),
    [
        ("consensus-store", cases.write_store, "a"),
        ("consensus-store-new", cases.write_new_store, "b"),
        ("consensus-store-removed", cases.write_removed_store, "c"),
    ],
)
def test_a_newly_written_store_has_the_recorded_content(tmp_path, name, write, seat):
    write(tmp_path / "store")
    assert cases.store_content(tmp_path / "store", seat) == STORES[name]


def test_a_recorded_store_can_be_written_to(stored):
    path = stored("consensus-store")
    store = ReplicaStore(path, cluster=cases.CLUSTER, replica="a", must_exist=True)
    store.write(
        HardState(4, "b#2", 11, 1), None, [LogEntry(4, 12, "empty"), LogEntry(4, 13, "command", b"x")], 12
    )
    store.close()
    before = STORES["consensus-store"]
    after = cases.store_content(path, "a")
    assert after["hard"] == [4, "b#2", 11, 1]
    assert after["entries"] == [*before["entries"][:3], [4, 12, "empty", ""], [4, 13, "command", "78"]]
    assert (after["header"], after["snapshot"]) == (before["header"], before["snapshot"])


def test_a_recorded_store_is_rejected_for_another_cluster_or_seat(stored):
    with pytest.raises(ForeignStoreError):
        ReplicaStore(stored("consensus-store"), cluster="cluster-2", replica="a")
    with pytest.raises(ForeignStoreError):
        ReplicaStore(stored("consensus-store"), cluster=cases.CLUSTER, replica="b")
    with pytest.raises(StoreMissingError):
        ReplicaStore(
            stored("consensus-store").with_name("none"), cluster=cases.CLUSTER, replica="a", must_exist=True
        )


def test_a_recorded_store_is_recovered_to_a_group_of_one(stored):
    path = stored("consensus-store")
    before = STORES["consensus-store"]
    recover.recover(str(path), cases.CLUSTER, "a", 1_900_000_000_000.0, force=False)
    assert cases.store_content(path, "a") == before
    recover.recover(str(path), cases.CLUSTER, "a", 1_900_000_000_000.0, force=True)
    after = cases.store_content(path, "a")
    identity = before["identity"]
    assert after["hard"] == [4, "", 9, 2]
    assert after["entries"][: len(before["entries"])] == before["entries"]
    ground = decisions.encode(decisions.SetVersionBase(1_900_000_000_000, None, 9))
    assert after["entries"][len(before["entries"]) :] == [
        [4, 13, "seats", messages.encode_voters((identity,)).hex()],
        [4, 14, "command", ground.hex()],
    ]


def test_a_recorded_reader_file_is_read_and_written_on(stored):
    path = stored("consensus-reader")
    kept = DecisionCache(path, lambda: 200.0)
    assert kept.corrupt_reason == ""
    for decision in cases.decision_examples().values():
        assert kept.reader.last_version(decision.topic) == decision.version
        assert kept.get(decision.topic) is None
    assert kept.reader.to_bytes() == path.read_bytes()
    kept.receive(decisions.Decision("new", 10, b"v", 1000.0))
    assert DecisionCache(path, lambda: 300.0).reader.last_version("new") == 10


def test_a_reader_file_written_today_has_the_recorded_bytes(stored, tmp_path):
    cases.write_reader(tmp_path / "reader")
    assert (tmp_path / "reader").read_bytes() == stored("consensus-reader").read_bytes()


def test_a_recorded_epoch_file_is_read_and_written_on(stored):
    path = stored("consensus-epoch")
    assert path.read_bytes() == b"cressrock-epoch-1 1800000000777\n"
    store = epochs.EpochStore(str(path))
    assert store.read() == 1_800_000_000_777
    store.write(1_800_000_000_778)
    assert path.read_bytes() == b"cressrock-epoch-1 1800000000778\n"


# --- decisions


@pytest.mark.parametrize("name", STREAMS)
def test_a_stream_of_inputs_gives_the_recorded_decisions(name):
    digest, seeds = STREAMS[name]
    assert {str(seed): digest(seed) for seed in seeds} == DIGESTS[name]


def test_replicas_among_which_messages_are_forged_give_the_recorded_decisions():
    assert {str(seed): forged_digest(seed) for seed in FORGED_SEEDS} == FORGED
