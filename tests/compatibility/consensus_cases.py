"""Example wire messages and stored files of the consensus, shared by the recorder and the test."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

from cressrock.consensus import decision_gossip, decisions
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.frames import (
    AddReplica,
    CloseNotice,
    CurrentDecision,
    Frame,
    GetStatus,
    Hello,
    NotLeader,
    Ping,
    Pong,
    RaftFrame,
    ReadDecision,
    RemoveReplica,
    Request,
    Response,
    RetryLater,
    TransferLeadership,
    Welcome,
    encode_status,
)
from cressrock.consensus.raft import messages
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import HardState, Snapshot
from cressrock.consensus.store import ReplicaStore
from cressrock.planner import epochs

CLUSTER = "cluster-1"
SENDER, RECEIVER = "a#00000000000000a1", "b#00000000000000b2"
LARGE = 2**53


def entries() -> tuple[LogEntry, ...]:
    """Return a log of every kind of entry."""
    return (
        LogEntry(1, 1, "seats", messages.encode_voters(("a#1", "b#2", "c#3"))),
        LogEntry(2, 2, "empty"),
        LogEntry(2, 3, "command", b"\x00\xff" * 40),
        LogEntry(LARGE, 4, "command", b""),
    )


def replica_messages() -> dict[str, messages.RaftMessage]:
    """Return messages between replicas: every type, with and without optional fields."""
    head = {"generation": 1, "term": 7}
    return {
        "prevote": messages.PreVote(**head, next_term=8, last_index=300, last_term=6),
        "prevote zeros": messages.PreVote(generation=0, term=0, next_term=1, last_index=0, last_term=0),
        "prevoted": messages.PreVoteReply(**head, next_term=8, granted=True),
        "prevoted refused": messages.PreVoteReply(**head, next_term=8, granted=False),
        "vote": messages.RequestVote(**head, last_index=LARGE, last_term=6),
        "vote transfer": messages.RequestVote(**head, last_index=1, last_term=1, transfer=True),
        "voted": messages.RequestVoteReply(**head, granted=True),
        "voted refused": messages.RequestVoteReply(generation=2, term=LARGE, granted=False),
        "append heartbeat": messages.AppendEntries(**head, previous_index=12, previous_term=6),
        "append": messages.AppendEntries(
            **head, previous_index=0, previous_term=0, entries=entries(), commit=3, round=70_000
        ),
        "appended": messages.AppendEntriesReply(**head, accepted=True, match=12, round=3),
        "appended bare": messages.AppendEntriesReply(**head, accepted=False),
        "appended conflict": messages.AppendEntriesReply(
            **head, accepted=False, previous_index=12, conflict_term=5, conflict_index=9, round=4
        ),
        "snapshot": messages.InstallSnapshot(
            **head,
            index=40,
            index_term=6,
            voters=("a#1", "b#2"),
            offset=64,
            size=70,
            data=b"\x01\x02",
            round=9,
        ),
        "snapshot bare": messages.InstallSnapshot(
            **head, index=1, index_term=1, voters=(), offset=0, size=0, data=b""
        ),
        "snapshotted": messages.InstallSnapshotReply(**head, index=40, offset=66, done=True, round=9),
        "snapshotted bare": messages.InstallSnapshotReply(**head, index=40, offset=0),
        "timeout": messages.TimeoutNow(**head),
        "refused": messages.StaleGeneration(**head, reason="generation 1 of the council is over, 2 holds"),
    }


def limits() -> decisions.DecisionLimits:
    """Return limits that all differ from the defaults."""
    return decisions.DecisionLimits(12, 300, 4000, 5)


def decision_examples() -> dict[str, decisions.Decision]:
    """Return decisions, with and without their optional fields."""
    return {
        "whole": decisions.Decision(
            "zone/porto-ovest", 1_800_000_000_123, b"\x01value", 30_000.0, "planner-3", 5 << 32
        ),
        "bare": decisions.Decision("t", 0, b"", 0.5),
        "unicode": decisions.Decision("tópico/ä", 2**63 - 1, b"\xff" * 300, 86_400_000.0, "ü", 2**63 - 1),
    }


def commands() -> dict[str, decisions.Command]:
    """Return the commands of the log, with and without their optional fields."""
    return {
        "decide": decisions.Decide(
            "zone/a", b"value", 5000.0, "planner-1", "planner-1-00ff-1", 17, 1_800_000_000_000
        ),
        "decide bare": decisions.Decide("zone/a", b"", 1.5, "", "r", 0),
        "decide none stands": decisions.Decide("zone/a", b"x", 1.5, "", "r", 0, 0),
        "drop": decisions.Drop("zone/a", "planner-1-00ff-2", 18, 4),
        "drop bare": decisions.Drop("zone/a", "r", 0),
        "ground": decisions.SetVersionBase(1_800_000_000_000, limits()),
        "ground bare": decisions.SetVersionBase(9),
        "ground recovered": decisions.SetVersionBase(9, None, 77),
        "ground default limits": decisions.SetVersionBase(9, decisions.DecisionLimits()),
    }


def frame_examples() -> dict[str, Frame]:
    """Return the frames of a connection, every type, with and without their optional fields."""
    whole = decision_examples()["whole"]
    group_members = (SENDER, RECEIVER, "c#00000000000000c3")
    found: dict[str, Frame] = {
        "hello": Hello((1, 2), CLUSTER, SENDER, True, "0123456789abcdef", group_members),
        "hello client": Hello((1,), CLUSTER, "edge-1"),
        "welcome": Welcome(1, RECEIVER, "0123456789abcdef", group_members, 99),
        "welcome bare": Welcome(1, RECEIVER),
        "parting": CloseNotice("council-version", "no common version: [1] here, [2] there"),
        "ping": Ping(2**63 - 1),
        "pong": Pong(3, 77),
        "pong bare": Pong(3),
        "raft": RaftFrame(b"\x00\x01\xff"),
        "ask read": Request(1, ReadDecision("zone/a"), True),
        "ask status": Request(2, GetStatus()),
        "ask join": Request(3, AddReplica(SENDER)),
        "ask remove": Request(4, RemoveReplica("a")),
        "ask transfer": Request(5, TransferLeadership("b")),
        "answer stands": Response(1, CurrentDecision(whole), 40),
        "answer nothing stands": Response(1, CurrentDecision(None)),
        "answer clash": Response(1, decisions.VersionConflict(0), 40),
        "answer refused": Response(1, decisions.Rejected("too-large"), 40),
        "answer elsewhere": Response(1, NotLeader("b"), 40),
        "answer elsewhere bare": Response(1, NotLeader()),
        "answer later": Response(1, RetryLater("being taken in")),
        "answer told": Response(1, encode_status({"name": "a", "term": 3, "heard_ms_ago": {"b": None}}), 40),
        "answer done": Response(1, decisions.Done(1_800_000_000_124), 40),
    }
    for name, command in commands().items():
        if not isinstance(command, decisions.SetVersionBase):
            found[f"ask {name}"] = Request(9, command, name == "drop")
    return found


def published_decisions() -> list[dict[str, Any]]:
    """Return the gossip entries that a replica publishes for a sequence of states."""
    found = decision_examples()
    publisher = decision_gossip.DecisionPublisher(200)
    many = [decisions.Decision(f"many/{at:03}", 1000 + at, b"v", 9000.0, "p") for at in range(100)]
    steps: list[tuple[list[decisions.Decision], int]] = [
        ([found["whole"]], 0),
        ([found["whole"], found["unicode"]], 6 << 32),
        ([found["bare"], *many], (6 << 32) + 1),
        ([found["bare"]], (6 << 32) + 2),
        ([], (7 << 32) + 1),
    ]
    return [
        {
            "standing": [decisions.encode(decision).hex() for decision in standing],
            "beat": renewal,
            "changes": [
                [change.key, None if change.value is None else change.value.hex()]
                for change in publisher.publish(standing, renewal)
            ],
        }
        for standing, renewal in steps
    ]


def snapshot() -> DecisionState:
    """Return a state with decisions and with requests of every outcome."""
    state = DecisionState()
    state.apply(1, b"")
    log: list[decisions.Command] = [
        decisions.SetVersionBase(1_800_000_000_000, decisions.DecisionLimits(3, 20, 200, 6)),
        decisions.Decide("b", b"first", 5000.0, "planner-1", "r1", 0),
        decisions.Decide("a", b"second", 6000.0, "", "r2", 2, 0),
        decisions.Decide("b", b"third", 5000.0, "planner-2", "r3", 2, 5),
        decisions.Decide("c", b"x" * 21, 5000.0, "planner-2", "r4", 2),
        decisions.Drop("a", "r5", 3),
        decisions.Decide("c", b"zone", 5000.0, "planner-2", "r6", 4),
    ]
    for index, command in enumerate(log, 2):
        state.apply(index, decisions.encode(command))
    return state


def reader() -> DecisionReader:
    """Return a reader that has received a few decisions."""
    made = DecisionReader(max_topics=2)
    for at, (topic, number, renewal) in enumerate(
        [("a", 10, 0), ("b", 11, 5 << 32), ("a", 10, 6 << 32), ("c", 12, 0)]
    ):
        made.receive(decisions.Decision(topic, number, b"v", 1000.0, "", renewal), float(at))
    return made


# --- stored files


def draw(count: int) -> bytes:
    """Replace os.urandom, so that the identity in a store is known."""
    return bytes(range(1, count + 1))


def write_store(path: Path) -> None:
    """Write a store with a snapshot, entries of every kind after it, and a vote."""
    store = ReplicaStore(path, cluster=CLUSTER, replica="a", random_bytes=draw)
    store.save_header(
        type(store.header)(1, CLUSTER, "a", store.header.instance_id, (store.header.identity, "b#2", "c#3"))
    )
    state = snapshot()
    names = (store.header.identity, "b#2", "c#3")
    store.write(HardState(1, "", 1, 1), None, [LogEntry(1, 1, "seats", messages.encode_voters(names))])
    store.write(None, None, [LogEntry(2, index, "empty") for index in range(2, 9)])
    store.write(HardState(2, "b#2", 8, 1), Snapshot(8, 2, names, state.snapshot()))
    store.write(
        HardState(3, store.header.identity, 9, 1),
        None,
        [
            LogEntry(3, 9, "empty"),
            LogEntry(
                3,
                10,
                "command",
                decisions.encode(decisions.Decide("a", b"late", 5000.0, "planner-1", "r7", 5)),
            ),
            LogEntry(3, 11, "seats", messages.encode_voters((*names, "d#4"))),
            LogEntry(3, 12, "command", decisions.encode(decisions.Drop("b", "r8", 6, 1_800_000_000_001))),
        ],
    )
    store.close()


def write_new_store(path: Path) -> None:
    """Write the store of a replica without a group."""
    ReplicaStore(path, cluster=CLUSTER, replica="b", random_bytes=draw).close()


def write_removed_store(path: Path) -> None:
    """Write the store of a replica that was removed from its group."""
    store = ReplicaStore(path, cluster=CLUSTER, replica="c", random_bytes=draw)
    store.save_header(
        type(store.header)(1, CLUSTER, "c", store.header.instance_id, ("a#1", "b#2", "c#3"), True)
    )
    store.close()


def write_reader(path: Path) -> None:
    """Write the file in which a process saves its reader's state."""
    kept = DecisionCache(path, lambda: 100.0)
    for decision in decision_examples().values():
        kept.receive(decision)


def write_epoch(path: Path) -> None:
    """Write a planner's epoch file."""
    epochs.EpochStore(str(path)).write(1_800_000_000_777)


FILES = {
    "consensus-store.bin": write_store,
    "consensus-store-new.bin": write_new_store,
    "consensus-store-removed.bin": write_removed_store,
    "consensus-reader.bin": write_reader,
    "consensus-epoch.bin": write_epoch,
}


def copy_of(fixture: Path, directory: Path) -> Path:
    """Copy a fixture into `directory`; return the path of the writable copy."""
    path = directory / fixture.name
    shutil.copyfile(fixture, path)
    return path


def store_content(path: Path, seat: str) -> dict[str, Any]:
    """Return a store's content as JSON values that do not depend on class names."""
    store = ReplicaStore(path, cluster=CLUSTER, replica=seat, must_exist=True)
    header, stored = store.header, store.load()
    store.close()
    hard, kept = stored.hard_state, stored.snapshot
    content = {
        "header": [
            header.format,
            header.cluster,
            header.replica,
            header.instance_id,
            list(header.initial_replicas),
            header.removed,
        ],
        "identity": header.identity,
        "hard": [hard.term, hard.voted_for, hard.commit, hard.generation],
        "snapshot": kept and [kept.index, kept.term, list(kept.voters), kept.data.hex()],
        "entries": [[entry.term, entry.index, entry.kind, entry.data.hex()] for entry in stored.entries],
    }
    return json.loads(json.dumps(content))


def invalid_bytes() -> dict[str, str]:
    """Return invalid messages in hexadecimal; each name starts with the reason of its rejection."""
    good = messages.encode(CLUSTER, SENDER, RECEIVER, replica_messages()["append"])
    return {
        "malformed": good[:-3].hex(),
        "malformed head": b"\x93\x01".hex(),
        "malformed entry": good.replace(b"command", b"kommand").hex(),
        "version": good.replace(b"\xa1v\x01", b"\xa1v\x02", 1).hex(),
        "cluster": good.replace(b"cluster-1", b"cluster-2").hex(),
    }
