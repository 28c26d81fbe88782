"""A seat's store: its log, vote and snapshot on disk before anything is said.

SQLite with `synchronous=FULL` and `journal_mode=PERSIST`, one transaction for one Ready.  Weighed:

- WAL needs one flush where the others need four.  But its recovery ends in silence at the first frame whose
  checksum is wrong: one bad block in the tail takes back kept votes and entries without a word, and so does
  a copy of the file without its `-wal`.  A seat that has forgotten a vote may vote twice, which is the one
  thing a store is for.
- DELETE ends a transaction by unlinking its journal, and under FULL the directory is not flushed after that:
  after a power cut the journal can be back, and a kept transaction is rolled back (EXTRA flushes it).
- TRUNCATE ends it by a flushed truncation: as sound, but a length that changes costs the file system's own
  journal a commit (medians on ext4 in benchmarks/results/council-processes.md).
- PERSIST ends it by overwriting the journal's header with zeros, flushed: no name or length changes.  All
  that is kept stands in one file, and a damaged page is found by our own checksums below.

Every row carries a checksum (xxHash3, 64 bits) over its name and value, so that neither a flipped bit nor a
row in another's place goes unseen.  The row `tail` names first and last index and count, so that missing
rows at the end are seen as well.  What is wrong is told by type: torn, older, newer, foreign, lost, full,
busy.

Whose store this is: a header with cluster, seat's name and the seat's own id, drawn when the file is made
(the council's generation, raised by the operator's way out of a lost majority, stands beside term and vote).
The seat's name in the replicated log is `name#id`.  A file that is lost can therefore never be replaced by an
empty one under the same identity: a new file is a new seat, which the others must first take in by decision.
An old copy put back is not seen from within: a store is never restored from a backup.
"""

from __future__ import annotations

import errno
import os
import sqlite3
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import msgspec
import xxhash

from cressrock.consensus.raft.messages import EntryKind, LogEntry
from cressrock.consensus.raft.persistent_state import HardState, Snapshot, StoredState
from cressrock.errors.consensus import (
    ForeignStoreError,
    StoreCorruptError,
    StoreError,
    StoreFullError,
    StoreLockedError,
    StoreMissingError,
    StoreTooNewError,
    StoreTooOldError,
)

FORMAT = 1
OLDEST = 1  # the oldest format that this program reads
JOURNAL = 1 << 20  # bytes that the journal keeps between transactions, after a snapshot's large one
APPLICATION = 0x63726B63  # SQLite's application_id: tells a council's store from any other database


class StoreHeader(msgspec.Struct, frozen=True, array_like=True):
    """Whose store this is; `founders`: who founded its council, () before; `removed`: it was put out."""

    format: int
    cluster: str
    replica: str
    instance_id: str
    initial_replicas: tuple[str, ...] = ()  # two foundings never speak to one another
    removed: bool = False

    @property
    def identity(self) -> str:
        """The seat's name in the replicated log."""
        return f"{self.replica}#{self.instance_id}"


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """How an entry is stored under its index: term, kind, data."""

    term: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    kind: EntryKind
    data: bytes


class _Hard(msgspec.Struct, frozen=True, array_like=True):
    term: int
    voted_for: str
    commit: int
    generation: int


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    index: int
    term: int
    seats: tuple[str, ...]
    data: bytes


class _Tail(msgspec.Struct, frozen=True, array_like=True):
    first: int
    last: int
    count: int


_pack = msgspec.msgpack.Encoder().encode


def _hard(hard: HardState) -> bytes:
    return _pack(_Hard(hard.term, hard.voted_for, hard.commit, hard.generation))


def replica_name(identity: str) -> str:
    """Return the seat's name in an identity `name#id`."""
    return identity.partition("#")[0]


def seal(label: str, value: bytes) -> bytes:
    """Return a row's bytes: checksum over label and value, then the value."""
    return xxhash.xxh3_64_digest(label.encode() + b"\0" + value) + value


def unseal(label: str, data: object) -> bytes:
    """Return a row's value.  Raises StoreTorn."""
    if not isinstance(data, bytes) or len(data) < 8:
        raise StoreCorruptError(f"the row {label!r} of the store has no checksum")
    if xxhash.xxh3_64_digest(label.encode() + b"\0" + data[8:]) != data[:8]:
        raise StoreCorruptError(f"the row {label!r} of the store does not have its checksum")
    return data[8:]


def _read(kind: type[Any], label: str, data: object) -> Any:
    value = unseal(label, data)
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except msgspec.DecodeError as wrong:
        raise StoreCorruptError(f"the row {label!r} of the store cannot be read: {wrong}") from None


def flush_directory(path: Path) -> None:
    """Make a new or renamed file's name last.  Raises OSError."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class ReplicaStore:
    """One seat's store, held by one process at a time.  Not for two threads at once."""

    def __init__(
        self,
        path: str | Path,
        *,
        cluster: str,
        replica: str,
        must_exist: bool = False,
        random_bytes: Callable[[int], bytes] = os.urandom,
        max_pages: int = 0,
    ) -> None:
        """Open the store, or make it where there is none.

        `expect`: the settings say that this seat has been a member, so a store must be there.  `max_pages`
        bounds the file (SQLite's max_page_count), 0 for no bound.  Raises the types of errors/council.py.
        """
        self.path = Path(path)
        there = self.path.exists() and self.path.stat().st_size > 0
        if must_exist and not there:
            raise StoreMissingError(
                f"no store of seat {replica!r} at {self.path}, and the settings expect one"
            )
        self._db: sqlite3.Connection | None = None
        self.full = False
        try:
            with self._care():
                self._open(there, must_exist, cluster, replica, random_bytes, max_pages)
        except BaseException:
            self.close()
            raise

    def _open(
        self, there: bool, expect: bool, cluster: str, seat: str, draw: Callable[[int], bytes], pages: int
    ) -> None:
        # isolation_level None: transactions are begun and ended by name below, and nowhere else.
        db = sqlite3.connect(self.path, timeout=0, isolation_level=None, check_same_thread=False)
        self._db = db
        if there and not self._foreign_or_version(db):
            if expect:
                raise StoreMissingError(f"the store of seat {seat!r} at {self.path} is empty")
            there = False
        # Exclusive: two processes on one store would be two seats with one vote.
        db.execute("PRAGMA locking_mode=EXCLUSIVE")
        db.execute("PRAGMA journal_mode=PERSIST")
        db.execute(f"PRAGMA journal_size_limit={JOURNAL}")
        db.execute("PRAGMA synchronous=FULL")
        if pages:
            db.execute(f"PRAGMA max_page_count={int(pages)}")
        if not there:
            header = StoreHeader(FORMAT, cluster, seat, draw(8).hex())
            self._make(db, header)
        db.execute("BEGIN EXCLUSIVE")  # taken once, and kept by the locking mode
        db.execute("COMMIT")
        self._whole(db)
        self.header: StoreHeader = _read(StoreHeader, "header", self._row("header"))
        if self.header.cluster != cluster:
            raise ForeignStoreError(
                f"{self.path} belongs to cluster {self.header.cluster!r}, not {cluster!r}"
            )
        if seat and self.header.replica != seat:
            raise ForeignStoreError(f"{self.path} is the store of seat {self.header.replica!r}, not {seat!r}")

    def _foreign_or_version(self, db: sqlite3.Connection) -> bool:
        # Before any table is understood: these fields stand in the file's first 100 bytes in every format.
        (pages,) = db.execute("PRAGMA page_count").fetchone()
        if not pages:
            return False  # a process that died while it made the file: rolled back to nothing
        (application,) = db.execute("PRAGMA application_id").fetchone()
        (version,) = db.execute("PRAGMA user_version").fetchone()
        if application != APPLICATION:
            raise ForeignStoreError(f"{self.path} is a database of another program")
        if version > FORMAT:
            raise StoreTooNewError(f"{self.path} has format {version}; this program knows up to {FORMAT}")
        if version < OLDEST:
            raise StoreTooOldError(f"{self.path} has format {version}; this program knows from {OLDEST}")
        return True

    def _make(self, db: sqlite3.Connection, header: StoreHeader) -> None:
        db.execute("BEGIN EXCLUSIVE")
        db.execute(f"PRAGMA application_id={APPLICATION}")
        db.execute(f"PRAGMA user_version={FORMAT}")
        db.execute("CREATE TABLE kept(name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID")
        db.execute("CREATE TABLE log(place INTEGER PRIMARY KEY, value BLOB NOT NULL)")
        self._put("header", _pack(header))
        self._put("hard", _pack(_Hard(0, "", 0, 0)))
        self._put("tail", _pack(_Tail(1, 0, 0)))
        db.execute("COMMIT")
        # The file's name must last as long as its content: without this a power cut can take the whole file.
        flush_directory(self.path.parent)

    def _whole(self, db: sqlite3.Connection) -> None:
        answer = [row[0] for row in db.execute("PRAGMA integrity_check(3)")]
        if answer != ["ok"]:
            raise StoreCorruptError(f"{self.path} is damaged: {'; '.join(map(str, answer))[:300]}")

    # --- rows

    def _row(self, name: str) -> object:
        row = self._use().execute("SELECT value FROM kept WHERE name=?", (name,)).fetchone()
        if row is None:
            raise StoreCorruptError(f"the row {name!r} of {self.path} is missing")
        return row[0]

    def _put(self, name: str, value: bytes) -> None:
        self._use().execute("INSERT OR REPLACE INTO kept VALUES(?, ?)", (name, seal(name, value)))

    def _use(self) -> sqlite3.Connection:
        if self._db is None:
            raise StoreError(f"{self.path} is closed")
        return self._db

    @contextmanager
    def _care(self) -> Iterator[None]:
        """Turn the database's errors into the store's types."""
        try:
            yield
        except sqlite3.Error as wrong:
            text = str(wrong)
            code = getattr(wrong, "sqlite_errorcode", 0) & 0xFF
            if code == sqlite3.SQLITE_FULL:
                raise StoreFullError(f"{self.path}: {text}") from wrong
            if code in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED):
                raise StoreLockedError(f"{self.path}: {text}") from wrong
            if code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB):
                raise StoreCorruptError(f"{self.path}: {text}") from wrong
            if code == sqlite3.SQLITE_IOERR and self._short():
                raise StoreFullError(f"{self.path}: {text}") from wrong
            raise StoreError(f"{self.path}: {text}") from wrong
        except OSError as wrong:
            if wrong.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG):
                raise StoreFullError(f"{self.path}: {wrong}") from wrong
            raise StoreError(f"{self.path}: {wrong}") from wrong

    def _short(self) -> bool:
        # SQLite calls a quota or a limit on the file's size an I/O error: asked of the disk itself.
        probe = self.path.with_name(self.path.name + ".probe")
        try:
            size = self.path.stat().st_size
            with open(probe, "wb") as file:
                file.truncate(size + 65536)
                file.seek(size)
                file.write(b"\0" * 65536)
                file.flush()
                os.fsync(file.fileno())
            return False
        except OSError as wrong:
            return wrong.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
        finally:
            probe.unlink(missing_ok=True)

    # --- what the seat does

    def load(self) -> StoredState:
        """Return what was kept.  Raises StoreTorn where any of it is not as it was written."""
        with self._care():
            return self._load()

    def _load(self) -> StoredState:
        db = self._use()
        hard = _read(_Hard, "hard", self._row("hard"))
        tail = _read(_Tail, "tail", self._row("tail"))
        snapshot: Snapshot | None = None
        if db.execute("SELECT 1 FROM kept WHERE name='snapshot'").fetchone():
            kept = _read(_Snapshot, "snapshot", self._row("snapshot"))
            snapshot = Snapshot(kept.index, kept.term, kept.seats, kept.data)
        index = snapshot.index if snapshot else 0
        term = snapshot.term if snapshot else 0
        if tail.first != index + 1:
            raise StoreCorruptError(
                f"the log of {self.path} begins at {tail.first}, its snapshot ends at {index}"
            )
        entries: list[LogEntry] = []
        for place, data in db.execute("SELECT place, value FROM log ORDER BY place"):
            index += 1
            if place != index:
                raise StoreCorruptError(f"entry {index} of {self.path} is missing; the next one is {place}")
            one = _read(StoredEntry, f"log {place}", data)
            if one.term < term:
                raise StoreCorruptError(f"entry {place} of {self.path} has term {one.term} after {term}")
            term = one.term
            entries.append(LogEntry(one.term, place, one.kind, one.data))
        if (tail.last, tail.count) != (index, len(entries)):
            raise StoreCorruptError(f"the log of {self.path} ends at {index}; it was kept up to {tail.last}")
        if not (snapshot.index if snapshot else 0) <= hard.commit <= index or hard.term < term:
            raise StoreCorruptError(
                f"vote and log of {self.path} do not fit: {hard} with a log up to {index}"
            )
        kept_hard = HardState(hard.term, hard.voted_for, hard.commit, hard.generation)
        return StoredState(kept_hard, snapshot, tuple(entries))

    def write(
        self,
        hard: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: Sequence[LogEntry] = (),
        truncate_from: int | None = None,
    ) -> None:
        """Keep one Ready in one transaction; when this returns, it lasts.

        A snapshot replaces all entries up to its index (all of them where the log does not go on from it).
        After an error nothing of the call is kept and the store is closed: what was not written must not be
        answered from memory, so the seat has to end.  Raises StoreFull and the other types.
        """
        if self.full:
            raise StoreFullError(f"{self.path} was full before")
        try:
            with self._care():
                self._write(hard, snapshot, entries, truncate_from)
        except StoreError as wrong:
            self.full = isinstance(wrong, StoreFullError)
            self.close()
            raise

    def _write(
        self,
        hard: HardState | None,
        snapshot: Snapshot | None,
        entries: Sequence[LogEntry],
        truncate_from: int | None,
    ) -> None:
        db = self._use()
        db.execute("BEGIN IMMEDIATE")
        tail = _read(_Tail, "tail", self._row("tail"))
        first, last = tail.first, tail.last
        if truncate_from is not None and truncate_from <= last:
            db.execute("DELETE FROM log WHERE place>=?", (truncate_from,))
            last = max(truncate_from, first) - 1
        if snapshot is not None and snapshot.index >= first - 1:
            self._put("snapshot", self._snapshot(snapshot))
            matches = first <= snapshot.index <= last and self._term(snapshot.index) == snapshot.term
            if matches or snapshot.index == first - 1:
                db.execute("DELETE FROM log WHERE place<=?", (snapshot.index,))
            else:
                # The snapshot came from a leader and our log does not lead up to it: none of it is its past.
                db.execute("DELETE FROM log")
                last = snapshot.index
            first = snapshot.index + 1
            last = max(last, snapshot.index)
        for entry in entries:
            if not first <= entry.index <= last + 1:
                raise StoreError(f"entry {entry.index} for a log from {first} to {last}")
            if entry.index <= last:
                db.execute("DELETE FROM log WHERE place>=?", (entry.index,))
            self._insert(entry)
            last = entry.index
        if (first, last) != (tail.first, tail.last):
            self._put("tail", _pack(_Tail(first, last, last - first + 1)))
        if hard is not None:
            self._put("hard", _hard(hard))
        db.execute("COMMIT")

    def _term(self, place: int) -> int:
        row = self._use().execute("SELECT value FROM log WHERE place=?", (place,)).fetchone()
        if row is None:
            raise StoreCorruptError(f"entry {place} of {self.path} is missing")
        return int(_read(StoredEntry, f"log {place}", row[0]).term)

    def save_header(self, header: StoreHeader, stored: StoredState | None = None) -> None:
        """Replace the header (founding, recovery, removal) in one transaction; with `stored`, all else too.

        Raises as `write` does.
        """
        try:
            with self._care():
                db = self._use()
                db.execute("BEGIN IMMEDIATE")
                self._put("header", _pack(header))
                if stored is not None:
                    self._replace(stored)
                db.execute("COMMIT")
        except StoreError as wrong:
            self.full = isinstance(wrong, StoreFullError)
            self.close()
            raise
        self.header = header

    def _replace(self, stored: StoredState) -> None:
        db = self._use()
        db.execute("DELETE FROM log")
        db.execute("DELETE FROM kept WHERE name='snapshot'")
        last = 0
        if stored.snapshot is not None:
            self._put("snapshot", self._snapshot(stored.snapshot))
            last = stored.snapshot.index
        first = last + 1
        for entry in stored.entries:
            last += 1
            self._insert(entry)
        self._put("tail", _pack(_Tail(first, last, len(stored.entries))))
        self._put("hard", _hard(stored.hard_state))

    @staticmethod
    def _snapshot(snapshot: Snapshot) -> bytes:
        return _pack(_Snapshot(snapshot.index, snapshot.term, tuple(snapshot.voters), snapshot.data))

    def _insert(self, entry: LogEntry) -> None:
        value = seal(f"log {entry.index}", _pack(StoredEntry(entry.term, entry.kind, entry.data)))
        self._use().execute("INSERT INTO log VALUES(?, ?)", (entry.index, value))

    def size(self) -> int:
        """Return the store's size in bytes; 0 once closed."""
        try:
            return self.path.stat().st_size
        except OSError:
            return 0

    def close(self) -> None:
        """Let the store go; what was not kept is rolled back at the next start."""
        db, self._db = self._db, None
        if db is not None:
            db.close()
