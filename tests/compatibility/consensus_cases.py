"""The council's wire messages and stored files as examples, shared by the recorder and the test."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

from cressrock.council import decrees, messages, news, wire
from cressrock.council.client import Kept
from cressrock.council.log import HardState, Snapshot
from cressrock.council.messages import Entry
from cressrock.council.store import Store
from cressrock.planner import epochs

CLUSTER = "cluster-1"
SENDER, RECEIVER = "a#00000000000000a1", "b#00000000000000b2"
LARGE = 2**53


def entries() -> tuple[Entry, ...]:
    """Return a log of every kind of entry."""
    return (
        Entry(1, 1, "seats", messages.pack_seats(("a#1", "b#2", "c#3"))),
        Entry(2, 2, "empty"),
        Entry(2, 3, "command", b"\x00\xff" * 40),
        Entry(LARGE, 4, "command", b""),
    )


def seat_messages() -> dict[str, messages.SeatMessage]:
    """Return messages between seats, every type, with and without their optional fields."""
    head = {"generation": 1, "term": 7}
    return {
        "prevote": messages.PreVote(**head, next_term=8, last_index=300, last_term=6),
        "prevote zeros": messages.PreVote(generation=0, term=0, next_term=1, last_index=0, last_term=0),
        "prevoted": messages.PreVoteReply(**head, next_term=8, granted=True),
        "prevoted refused": messages.PreVoteReply(**head, next_term=8, granted=False),
        "vote": messages.Vote(**head, last_index=LARGE, last_term=6),
        "vote transfer": messages.Vote(**head, last_index=1, last_term=1, transfer=True),
        "voted": messages.VoteReply(**head, granted=True),
        "voted refused": messages.VoteReply(generation=2, term=LARGE, granted=False),
        "append heartbeat": messages.Append(**head, previous_index=12, previous_term=6),
        "append": messages.Append(
            **head, previous_index=0, previous_term=0, entries=entries(), commit=3, round=70_000
        ),
        "appended": messages.AppendReply(**head, accepted=True, match=12, round=3),
        "appended bare": messages.AppendReply(**head, accepted=False),
        "appended conflict": messages.AppendReply(
            **head, accepted=False, previous_index=12, conflict_term=5, conflict_index=9, round=4
        ),
        "snapshot": messages.InstallSnapshot(
            **head,
            index=40,
            index_term=6,
            seats=("a#1", "b#2"),
            offset=64,
            size=70,
            data=b"\x01\x02",
            round=9,
        ),
        "snapshot bare": messages.InstallSnapshot(
            **head, index=1, index_term=1, seats=(), offset=0, size=0, data=b""
        ),
        "snapshotted": messages.InstallSnapshotReply(**head, index=40, offset=66, done=True, round=9),
        "snapshotted bare": messages.InstallSnapshotReply(**head, index=40, offset=0),
        "timeout": messages.TimeoutNow(**head),
        "refused": messages.Refused(**head, reason="generation 1 of the council is over, 2 holds"),
    }


def limits() -> decrees.Limits:
    """Return limits that are none of the defaults."""
    return decrees.Limits(12, 300, 4000, 5)


def decisions() -> dict[str, decrees.Decree]:
    """Return decisions, with and without their optional fields."""
    return {
        "whole": decrees.Decree(
            "zone/porto-ovest", 1_800_000_000_123, b"\x01value", 30_000.0, "planner-3", 5 << 32
        ),
        "bare": decrees.Decree("t", 0, b"", 0.5),
        "unicode": decrees.Decree("tópico/ä", 2**63 - 1, b"\xff" * 300, 86_400_000.0, "ü", 2**63 - 1),
    }


def commands() -> dict[str, decrees.Command]:
    """Return the commands of the log, with and without their optional fields."""
    return {
        "decide": decrees.Decide(
            "zone/a", b"value", 5000.0, "planner-1", "planner-1-00ff-1", 17, 1_800_000_000_000
        ),
        "decide bare": decrees.Decide("zone/a", b"", 1.5, "", "r", 0),
        "decide none stands": decrees.Decide("zone/a", b"x", 1.5, "", "r", 0, 0),
        "drop": decrees.Drop("zone/a", "planner-1-00ff-2", 18, 4),
        "drop bare": decrees.Drop("zone/a", "r", 0),
        "ground": decrees.Ground(1_800_000_000_000, limits()),
        "ground bare": decrees.Ground(9),
        "ground recovered": decrees.Ground(9, None, 77),
        "ground default limits": decrees.Ground(9, decrees.Limits()),
    }


def frames() -> dict[str, wire.Frame]:
    """Return the frames of a connection, every type, with and without their optional fields."""
    whole = decisions()["whole"]
    founders = (SENDER, RECEIVER, "c#00000000000000c3")
    found: dict[str, wire.Frame] = {
        "hello": wire.Hello((1, 2), CLUSTER, SENDER, True, "0123456789abcdef", founders),
        "hello client": wire.Hello((1,), CLUSTER, "edge-1"),
        "welcome": wire.Welcome(1, RECEIVER, "0123456789abcdef", founders, 99),
        "welcome bare": wire.Welcome(1, RECEIVER),
        "parting": wire.Parting("council-version", "no common version: [1] here, [2] there"),
        "ping": wire.Ping(2**63 - 1),
        "pong": wire.Pong(3, 77),
        "pong bare": wire.Pong(3),
        "raft": wire.Raft(b"\x00\x01\xff"),
        "ask read": wire.Ask(1, wire.Read("zone/a"), True),
        "ask status": wire.Ask(2, wire.Status()),
        "ask join": wire.Ask(3, wire.Join(SENDER)),
        "ask remove": wire.Ask(4, wire.Remove("a")),
        "ask transfer": wire.Ask(5, wire.Transfer("b")),
        "answer stands": wire.Answer(1, wire.Stands(whole), 40),
        "answer nothing stands": wire.Answer(1, wire.Stands(None)),
        "answer clash": wire.Answer(1, decrees.Clash(0), 40),
        "answer refused": wire.Answer(1, decrees.Refused("too-large"), 40),
        "answer elsewhere": wire.Answer(1, wire.Elsewhere("b"), 40),
        "answer elsewhere bare": wire.Answer(1, wire.Elsewhere()),
        "answer later": wire.Answer(1, wire.Later("being taken in")),
        "answer told": wire.Answer(1, wire.told({"name": "a", "term": 3, "heard_ms_ago": {"b": None}}), 40),
        "answer done": wire.Answer(1, decrees.Done(1_800_000_000_124), 40),
    }
    for name, command in commands().items():
        if not isinstance(command, decrees.Ground):
            found[f"ask {name}"] = wire.Ask(9, command, name == "drop")
    return found


def told_decisions() -> list[dict[str, Any]]:
    """Return what a seat puts into the spread for a few states, one after the other: keys and values."""
    found = decisions()
    teller = news.Teller(200)
    many = [decrees.Decree(f"many/{at:03}", 1000 + at, b"v", 9000.0, "p") for at in range(100)]
    steps: list[tuple[list[decrees.Decree], int]] = [
        ([found["whole"]], 0),
        ([found["whole"], found["unicode"]], 6 << 32),
        ([found["bare"], *many], (6 << 32) + 1),
        ([found["bare"]], (6 << 32) + 2),
        ([], (7 << 32) + 1),
    ]
    return [
        {
            "standing": [decrees.encode(decree).hex() for decree in standing],
            "beat": beat,
            "changes": [
                [change.key, None if change.value is None else change.value.hex()]
                for change in teller.tell(standing, beat)
            ],
        }
        for standing, beat in steps
    ]


def snapshot() -> decrees.Decrees:
    """Return a state with decisions and requests of every outcome."""
    state = decrees.Decrees()
    state.apply(1, b"")
    log: list[decrees.Command] = [
        decrees.Ground(1_800_000_000_000, decrees.Limits(3, 20, 200, 6)),
        decrees.Decide("b", b"first", 5000.0, "planner-1", "r1", 0),
        decrees.Decide("a", b"second", 6000.0, "", "r2", 2, 0),
        decrees.Decide("b", b"third", 5000.0, "planner-2", "r3", 2, 5),
        decrees.Decide("c", b"x" * 21, 5000.0, "planner-2", "r4", 2),
        decrees.Drop("a", "r5", 3),
        decrees.Decide("c", b"zone", 5000.0, "planner-2", "r6", 4),
    ]
    for index, command in enumerate(log, 2):
        state.apply(index, decrees.encode(command))
    return state


def reader() -> decrees.Reader:
    """Return a reader that has seen a few decisions."""
    made = decrees.Reader(max_topics=2)
    for at, (topic, number, beat) in enumerate(
        [("a", 10, 0), ("b", 11, 5 << 32), ("a", 10, 6 << 32), ("c", 12, 0)]
    ):
        made.take(decrees.Decree(topic, number, b"v", 1000.0, "", beat), float(at))
    return made


# --- stored files


def draw(count: int) -> bytes:
    """Stand for os.urandom, so that the identity in a store is known."""
    return bytes(range(1, count + 1))


def write_store(path: Path) -> None:
    """Write a seat's store with a snapshot, entries of every kind behind it and a vote."""
    store = Store(path, cluster=CLUSTER, seat="a", draw=draw)
    store.keep_header(
        type(store.header)(1, CLUSTER, "a", store.header.own, (store.header.identity, "b#2", "c#3"))
    )
    state = snapshot()
    names = (store.header.identity, "b#2", "c#3")
    store.write(HardState(1, "", 1, 1), None, [Entry(1, 1, "seats", messages.pack_seats(names))])
    store.write(None, None, [Entry(2, index, "empty") for index in range(2, 9)])
    store.write(HardState(2, "b#2", 8, 1), Snapshot(8, 2, names, state.snapshot()))
    store.write(HardState(3, store.header.identity, 9, 1), None, [
        Entry(3, 9, "empty"),
        Entry(3, 10, "command", decrees.encode(decrees.Decide("a", b"late", 5000.0, "planner-1", "r7", 5))),
        Entry(3, 11, "seats", messages.pack_seats((*names, "d#4"))),
        Entry(3, 12, "command", decrees.encode(decrees.Drop("b", "r8", 6, 1_800_000_000_001))),
    ])  # fmt: skip
    store.close()


def write_new_store(path: Path) -> None:
    """Write the store of a seat that has no council yet."""
    Store(path, cluster=CLUSTER, seat="b", draw=draw).close()


def write_removed_store(path: Path) -> None:
    """Write the store of a seat that was put out."""
    store = Store(path, cluster=CLUSTER, seat="c", draw=draw)
    store.keep_header(type(store.header)(1, CLUSTER, "c", store.header.own, ("a#1", "b#2", "c#3"), True))
    store.close()


def write_reader(path: Path) -> None:
    """Write the file in which a process keeps what it has seen of decisions."""
    kept = Kept(path, lambda: 100.0)
    for decree in decisions().values():
        kept.take(decree)


def write_epoch(path: Path) -> None:
    """Write a planner's epoch file."""
    epochs.Store(str(path)).write(1_800_000_000_777)


FILES = {
    "consensus-store.bin": write_store,
    "consensus-store-new.bin": write_new_store,
    "consensus-store-removed.bin": write_removed_store,
    "consensus-reader.bin": write_reader,
    "consensus-epoch.bin": write_epoch,
}


def copy_of(fixture: Path, directory: Path) -> Path:
    """Return a copy of a fixture that may be written."""
    path = directory / fixture.name
    shutil.copyfile(fixture, path)
    return path


def store_content(path: Path, seat: str) -> dict[str, Any]:
    """Return everything that a store holds, as plain values without names of ours."""
    store = Store(path, cluster=CLUSTER, seat=seat, expect=True)
    header, stored = store.header, store.load()
    store.close()
    hard, kept = stored.hard, stored.snapshot
    content = {
        "header": [
            header.format,
            header.cluster,
            header.seat,
            header.own,
            list(header.founders),
            header.removed,
        ],
        "identity": header.identity,
        "hard": [hard.term, hard.voted_for, hard.commit, hard.generation],
        "snapshot": kept and [kept.index, kept.term, list(kept.seats), kept.data.hex()],
        "entries": [[entry.term, entry.index, entry.kind, entry.data.hex()] for entry in stored.entries],
    }
    return json.loads(json.dumps(content))


def refused_bytes() -> dict[str, str]:
    """Return bytes that are no message, in hexadecimal; decoding one gives the reason of its name."""
    good = messages.encode(CLUSTER, SENDER, RECEIVER, seat_messages()["append"])
    return {
        "malformed": good[:-3].hex(),
        "malformed head": b"\x93\x01".hex(),
        "malformed entry": good.replace(b"command", b"kommand").hex(),
        "version": good.replace(b"\xa1v\x01", b"\xa1v\x02", 1).hex(),
        "cluster": good.replace(b"cluster-1", b"cluster-2").hex(),
    }
