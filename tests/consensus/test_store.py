"""A replica's store: writes are durable, and each kind of unusable file raises its own error."""

import random
import resource
import signal
import sqlite3
import subprocess
import sys
import textwrap

import pytest

from cressrock.consensus.identity import replica_name
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import HardState, Snapshot, StoredState
from cressrock.consensus.store import ReplicaStore
from cressrock.consensus.store_records import StoredEntry, StoreHeader, seal, unseal
from cressrock.errors import consensus as errors


def draw(size):
    return bytes(range(size))


def make(path, **changes):
    return ReplicaStore(path, **{"cluster": "c", "replica": "p1", "random_bytes": draw, **changes})


def entries(start, count, term=1, data=b"x"):
    return tuple(LogEntry(term, start + i, "command", data) for i in range(count))


def load(path, **changes):
    store = make(path, **changes)
    try:
        return store.load()
    finally:
        store.close()


def filled(path, count=5, data=b"x"):
    store = make(path)
    store.write(HardState(3, "p2#00", 2, 1), None, entries(1, count, data=data))
    store.close()
    return path


def change(path, *statements):
    db = sqlite3.connect(path)
    for statement in statements:
        db.execute(statement)
    db.commit()
    db.close()


def test_written_state_is_loaded_after_a_restart(tmp_path):
    path = tmp_path / "seat"
    store = make(path)
    assert store.load() == StoredState() and store.header == StoreHeader(1, "c", "p1", draw(8).hex())
    assert replica_name(store.header.identity) == "p1"
    store.write(HardState(1, "p1#aa", 0, 1), None, entries(1, 4))
    store.write(None, None, entries(3, 1, term=2), truncate_from=3)
    store.write(HardState(2, "", 3, 1))
    store.close()
    again = make(path, must_exist=True)
    wanted = entries(1, 2) + entries(3, 1, term=2)
    assert again.load() == StoredState(HardState(2, "", 3, 1), None, wanted)
    # Its own snapshot keeps the entries after it; a leader's snapshot outside this log replaces all.
    own = Snapshot(2, 1, ("p1#aa",), b"state")
    again.write(None, own)
    assert again.load() == StoredState(HardState(2, "", 3, 1), own, wanted[2:])
    foreign = Snapshot(9, 4, ("p1#aa", "p2#bb"), b"other")
    again.write(HardState(4, "", 9, 1), foreign, entries(10, 2, term=4))
    assert again.load() == StoredState(HardState(4, "", 9, 1), foreign, entries(10, 2, term=4))
    with pytest.raises(errors.StoreError, match="cannot write entry 14 to a log from 10 to 11"):
        again.write(None, None, entries(14, 1, term=4))
    assert load(path).entries == entries(10, 2, term=4)  # the error closed the store and nothing was written


def test_a_random_history_equals_a_list(tmp_path):
    seed = 11
    source = random.Random(seed)
    print("seed", seed)
    store = make(tmp_path / "seat")
    log, base, term = [], None, 1
    for step in range(150):
        first = base.index + 1 if base else 1
        last = first + len(log) - 1
        term += source.random() < 0.2
        cut = source.randint(first, last + 1) if source.random() < 0.3 else None
        start = cut if cut is not None else last + 1
        log = log[: start - first] + list(entries(start, source.randint(0, 4), term, source.randbytes(9)))
        new = log[start - first :]
        store.write(HardState(term, "", 0 if not base else base.index, 1), None, new, cut)
        if log and source.random() < 0.2:
            at = source.choice(log)
            base = Snapshot(at.index, at.term, ("p1#aa",), source.randbytes(20))
            log = [one for one in log if one.index > at.index]
            store.write(HardState(term, "", at.index, 1), base)
        if step % 10 == 0:
            store.close()
            store = make(tmp_path / "seat")
        hard = HardState(term, "", base.index if base else 0, 1)
        assert store.load() == StoredState(hard, base, tuple(log)), seed


def test_each_kind_of_unusable_store_raises_its_own_error(tmp_path):
    with pytest.raises(errors.StoreMissingError):
        make(tmp_path / "none", must_exist=True)
    assert not (tmp_path / "none").exists()
    (tmp_path / "empty").touch()  # an empty file counts as a missing store
    with pytest.raises(errors.StoreMissingError):
        make(tmp_path / "empty", must_exist=True)
    path = filled(tmp_path / "seat")
    with pytest.raises(errors.ForeignStoreError, match="cluster 'c'"):
        make(path, cluster="d")
    with pytest.raises(errors.ForeignStoreError, match="seat 'p1'"):
        make(path, replica="p2")
    change(path, "PRAGMA user_version=0")
    with pytest.raises(errors.StoreTooOldError, match="format 0"):
        make(path)
    change(path, "PRAGMA user_version=2")
    with pytest.raises(errors.StoreTooNewError, match="format 2"):
        make(path)
    change(tmp_path / "other", "CREATE TABLE t(x)")
    with pytest.raises(errors.ForeignStoreError, match="another program"):
        make(tmp_path / "other")
    (tmp_path / "text").write_bytes(b"not a database at all" * 100)
    with pytest.raises(errors.StoreCorruptError):
        make(tmp_path / "text")
    held = make(tmp_path / "held")
    with pytest.raises(errors.StoreLockedError):
        make(tmp_path / "held")
    held.close()
    make(tmp_path / "held").close()


@pytest.mark.parametrize(
    ("harm", "text"),
    [
        ("DELETE FROM log WHERE place=3", "entry 3 .* is missing"),
        ("DELETE FROM log WHERE place=5", "ends at 4, but its tail record says 5"),
        ("UPDATE log SET value=(SELECT value FROM log WHERE place=2) WHERE place=3", "'log 3' .* checksum"),
        ("UPDATE log SET value=x'00' WHERE place=1", "no checksum"),
        ("UPDATE kept SET value=(SELECT value FROM kept WHERE name='tail') WHERE name='hard'", "'hard'"),
        ("DELETE FROM kept WHERE name='hard'", "'hard' .* missing"),
        ("DELETE FROM kept WHERE name='header'", "'header' .* missing"),
    ],
)
def test_missing_or_changed_rows_are_detected(tmp_path, harm, text):
    path = filled(tmp_path / "seat")
    change(path, harm)
    with pytest.raises(errors.StoreCorruptError, match=text):
        load(path)


def test_flipped_bits_and_truncation_are_detected(tmp_path):
    seed = 5
    print("seed", seed)
    source = random.Random(seed)
    whole = filled(tmp_path / "seat", 40, bytes(range(200))).read_bytes()
    wanted = load(tmp_path / "seat")
    detected = 0
    for number in range(120):
        path = tmp_path / f"harmed{number}"
        harmed = bytearray(whole)
        if number % 4 == 0:
            del harmed[source.randrange(1, len(harmed)) :]
        else:
            harmed[source.randrange(len(harmed))] ^= 1 << source.randrange(8)
        path.write_bytes(harmed)
        try:
            assert load(path) == wanted  # damage in unused space, or in a field that SQLite does not need
        except errors.StoreError:
            detected += 1
    assert detected > 50


def test_a_full_disk_keeps_earlier_writes_and_rejects_later_ones(tmp_path):
    path = tmp_path / "seat"
    store = make(path, max_pages=12)
    kept = 0
    with pytest.raises(errors.StoreFullError):
        for kept in range(1, 1000):
            store.write(HardState(1, "", 0, 1), None, entries(kept, 1, data=bytes(1000)))
    assert store.full and 3 < kept < 100
    with pytest.raises(errors.StoreFullError):
        store.write(HardState(2, "p1#aa", 0, 1))
    stored = load(path)
    assert stored.hard_state.term == 1 and len(stored.entries) == kept - 1


def test_a_file_size_limit_is_reported_as_a_full_disk(tmp_path):
    program = """
        import resource, signal, sys
        from cressrock.consensus.raft.persistent_state import HardState
        from cressrock.consensus.raft.messages import LogEntry
        from cressrock.consensus.store import ReplicaStore
        from cressrock.errors.consensus import StoreFullError
        store = ReplicaStore(sys.argv[1], cluster="c", replica="p1")
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_FSIZE, (200_000, 200_000))
        try:
            for index in range(1, 1000):
                store.write(HardState(1, "", 0, 1), None, (LogEntry(1, index, "command", bytes(3000)),))
        except StoreFullError:
            print("full after", index - 1)
    """
    run = [sys.executable, "-c", textwrap.dedent(program), str(tmp_path / "seat")]
    done = subprocess.run(run, capture_output=True, text=True, timeout=60)
    assert done.stdout.startswith("full after"), done
    kept = int(done.stdout.split()[-1])
    assert kept > 3 and len(load(tmp_path / "seat").entries) == kept
    assert signal.SIGXFSZ and resource.RLIMIT_FSIZE


def test_writes_are_atomic_when_the_process_is_killed(tmp_path):
    program = """
        import sys
        from cressrock.consensus.raft.persistent_state import HardState
        from cressrock.consensus.raft.messages import LogEntry
        from cressrock.consensus.store import ReplicaStore
        store = ReplicaStore(sys.argv[1], cluster="c", replica="p1")
        index = len(store.load().entries)
        while True:
            pair = tuple(LogEntry(1, index + more, "command", bytes(5000)) for more in (1, 2))
            store.write(HardState(index + 2, "", 0, 1), None, pair)
            index += 2
            print(index, flush=True)
    """
    for kill in range(6):
        run = [sys.executable, "-c", textwrap.dedent(program), str(tmp_path / "seat")]
        child = subprocess.Popen(run, stdout=subprocess.PIPE, text=True)
        acknowledged = [int(child.stdout.readline()) for _ in range(3 + kill)]
        child.kill()
        acknowledged += [int(line) for line in child.stdout.read().split()]
        child.wait()
        stored = load(tmp_path / "seat")
        # Every acknowledged write is there, and at most one complete write after it.
        assert len(stored.entries) in (acknowledged[-1], acknowledged[-1] + 2)
        assert stored.hard_state.term == len(stored.entries)


def test_save_header_replaces_the_whole_store(tmp_path):
    store = make(tmp_path / "seat")
    header = StoreHeader(1, "c", "p1", store.header.instance_id, ("p1#aa",))
    stored = StoredState(HardState(1, "", 1, 1), None, (LogEntry(1, 1, "seats", b"s"),))
    store.save_header(header, stored)
    store.close()
    store = make(tmp_path / "seat")
    assert store.header == header and store.load() == stored
    assert store.size() > 0


def test_golden_header_entry_and_seal():
    import msgspec

    header = StoreHeader(1, "c", "p1", "0001020304050607", ("k",), False)
    assert msgspec.msgpack.encode(header).hex() == "9601a163a27031b03030303130323033303430353036303791a16bc2"
    entry = msgspec.msgpack.encode(StoredEntry(1, "command", b"x"))
    assert seal("log 1", entry).hex() == "80d30d840f1585039301a7636f6d6d616e64c40178"
    assert unseal("a", seal("a", b"b")) == b"b"
    with pytest.raises(errors.StoreCorruptError):
        unseal("b", seal("a", b"b"))
