"""The SQLite file of a replica's store: opening, format, rows, and SQLite's errors as the store's.

SQLite with `synchronous=FULL` and `journal_mode=PERSIST`.  Considered:

- WAL needs one flush where the others need four.  But its recovery ends in silence at the first frame whose
  checksum is wrong: one bad block in the tail takes back kept votes and entries without a word, and so does
  a copy of the file without its `-wal`.  A replica that has forgotten a vote may vote twice, which is the one
  thing a store is for.
- DELETE ends a transaction by unlinking its journal, and under FULL the directory is not flushed after that:
  after a power cut the journal can be back, and a kept transaction is rolled back (EXTRA flushes it).
- TRUNCATE ends it by a flushed truncation: as sound, but a length that changes costs the file system's own
  journal a commit (medians on ext4 in benchmarks/results/council-processes.md).
- PERSIST ends it by overwriting the journal's header with zeros, flushed: no name or length changes.  All
  that is kept is in one file, and a damaged page is found by the rows' own checksums.
"""

from __future__ import annotations

import errno
import os
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.store_records import (
    HardStateRow,
    StoreHeader,
    TailRow,
    encode_entry,
    encode_record,
    seal,
)
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
OLDEST_FORMAT = 1  # the oldest format that this program reads
JOURNAL_BYTES = 1 << 20  # that the journal keeps between transactions, after a snapshot's large one
APPLICATION_ID = 0x63726B63  # of SQLite: tells a replica's store from any other database
PROBE_BYTES = 65536
FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
SQLITE_PRIMARY_CODE = 0xFF  # the mask of the primary result code in an extended one


def flush_directory(path: Path) -> None:
    """Make a new or renamed file's name last.  Raises OSError."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class StoreFile:
    """An open store file, held by one process at a time."""

    def __init__(self, path: Path) -> None:
        """Nothing is opened yet."""
        self.path = path
        self._database: sqlite3.Connection | None = None

    # --- opening

    def open(
        self,
        cluster: str,
        replica: str,
        *,
        must_exist: bool,
        random_bytes: Callable[[int], bytes],
        max_pages: int,
    ) -> None:
        """Open the file, or make it where there is none; see ReplicaStore."""
        exists = self.path.exists() and self.path.stat().st_size > 0
        if must_exist and not exists:
            raise StoreMissingError(
                f"no store of seat {replica!r} at {self.path}, and the settings expect one"
            )
        with self.translate_errors():
            # isolation_level None: transactions are begun and ended by name, and nowhere else.
            database = sqlite3.connect(self.path, timeout=0, isolation_level=None, check_same_thread=False)
            self._database = database
            if exists and not self._check_format(database):
                if must_exist:
                    raise StoreMissingError(f"the store of seat {replica!r} at {self.path} is empty")
                exists = False
            self._configure(database, max_pages)
            if not exists:
                self._create(database, StoreHeader(FORMAT, cluster, replica, random_bytes(8).hex()))
            database.execute("BEGIN EXCLUSIVE")  # taken once, and kept by the locking mode
            database.execute("COMMIT")
            self._check_integrity(database)

    @staticmethod
    def _configure(database: sqlite3.Connection, max_pages: int) -> None:
        # Exclusive: two processes on one store would be two replicas with one vote.
        database.execute("PRAGMA locking_mode=EXCLUSIVE")
        database.execute("PRAGMA journal_mode=PERSIST")
        database.execute(f"PRAGMA journal_size_limit={JOURNAL_BYTES}")
        database.execute("PRAGMA synchronous=FULL")
        if max_pages:
            database.execute(f"PRAGMA max_page_count={int(max_pages)}")

    def _check_format(self, database: sqlite3.Connection) -> bool:
        """Whether the file has content; raises where that is not ours."""
        # Before any table is understood: these fields are in the file's first 100 bytes in every format.
        (pages,) = database.execute("PRAGMA page_count").fetchone()
        if not pages:
            return False  # a process that died while it made the file: rolled back to nothing
        (application_id,) = database.execute("PRAGMA application_id").fetchone()
        (version,) = database.execute("PRAGMA user_version").fetchone()
        if application_id != APPLICATION_ID:
            raise ForeignStoreError(f"{self.path} is a database of another program")
        if version > FORMAT:
            raise StoreTooNewError(f"{self.path} has format {version}; this program knows up to {FORMAT}")
        if version < OLDEST_FORMAT:
            raise StoreTooOldError(
                f"{self.path} has format {version}; this program knows from {OLDEST_FORMAT}"
            )
        return True

    def _create(self, database: sqlite3.Connection, header: StoreHeader) -> None:
        database.execute("BEGIN EXCLUSIVE")
        database.execute(f"PRAGMA application_id={APPLICATION_ID}")
        database.execute(f"PRAGMA user_version={FORMAT}")
        database.execute("CREATE TABLE kept(name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID")
        database.execute("CREATE TABLE log(place INTEGER PRIMARY KEY, value BLOB NOT NULL)")
        self.put_row("header", encode_record(header))
        self.put_row("hard", encode_record(HardStateRow(0, "", 0, 0)))
        self.put_row("tail", encode_record(TailRow(1, 0, 0)))
        database.execute("COMMIT")
        # The file's name must last as long as its content: without this a power cut can take the whole file.
        flush_directory(self.path.parent)

    def _check_integrity(self, database: sqlite3.Connection) -> None:
        answer = [row[0] for row in database.execute("PRAGMA integrity_check(3)")]
        if answer != ["ok"]:
            raise StoreCorruptError(f"{self.path} is damaged: {'; '.join(map(str, answer))[:300]}")

    def close(self) -> None:
        """Close the file; a transaction that was not committed is rolled back at the next start."""
        database, self._database = self._database, None
        if database is not None:
            database.close()

    # --- rows

    def database(self) -> sqlite3.Connection:
        """Return the open database.  Raises StoreError."""
        if self._database is None:
            raise StoreError(f"{self.path} is closed")
        return self._database

    def has_row(self, name: str) -> bool:
        """Whether there is a row of this name."""
        query = "SELECT 1 FROM kept WHERE name=?"
        return self.database().execute(query, (name,)).fetchone() is not None

    def row(self, name: str) -> object:
        """Return a sealed row.  Raises StoreCorruptError where it is missing."""
        row = self.database().execute("SELECT value FROM kept WHERE name=?", (name,)).fetchone()
        if row is None:
            raise StoreCorruptError(f"the row {name!r} of {self.path} is missing")
        return row[0]

    def put_row(self, name: str, value: bytes) -> None:
        """Write a row."""
        self.database().execute("INSERT OR REPLACE INTO kept VALUES(?, ?)", (name, seal(name, value)))

    def entry_row(self, index: int) -> object:
        """Return an entry's sealed row.  Raises StoreCorruptError where it is missing."""
        row = self.database().execute("SELECT value FROM log WHERE place=?", (index,)).fetchone()
        if row is None:
            raise StoreCorruptError(f"entry {index} of {self.path} is missing")
        return row[0]

    def insert_entry(self, entry: LogEntry) -> None:
        """Write an entry's row."""
        self.database().execute("INSERT INTO log VALUES(?, ?)", (entry.index, encode_entry(entry)))

    # --- errors

    @contextmanager
    def translate_errors(self) -> Iterator[None]:
        """Turn SQLite's and the system's errors into the store's types."""
        try:
            yield
        except sqlite3.Error as error:
            raise self._translated(error) from error
        except OSError as error:
            kind = StoreFullError if error.errno in FULL_ERRNOS else StoreError
            raise kind(f"{self.path}: {error}") from error

    def _translated(self, error: sqlite3.Error) -> StoreError:
        text = f"{self.path}: {error}"
        code = getattr(error, "sqlite_errorcode", 0) & SQLITE_PRIMARY_CODE
        if code == sqlite3.SQLITE_FULL:
            return StoreFullError(text)
        if code in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED):
            return StoreLockedError(text)
        if code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB):
            return StoreCorruptError(text)
        if code == sqlite3.SQLITE_IOERR and self._is_disk_full():
            return StoreFullError(text)
        return StoreError(text)

    def _is_disk_full(self) -> bool:
        # SQLite calls a quota or a limit on the file's size an I/O error: the disk itself is asked.
        probe = self.path.with_name(self.path.name + ".probe")
        try:
            size = self.path.stat().st_size
            with open(probe, "wb") as file:
                file.truncate(size + PROBE_BYTES)
                file.seek(size)
                file.write(b"\0" * PROBE_BYTES)
                file.flush()
                os.fsync(file.fileno())
            return False
        except OSError as error:
            return error.errno in FULL_ERRNOS
        finally:
            probe.unlink(missing_ok=True)
