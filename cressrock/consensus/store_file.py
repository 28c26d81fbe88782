"""The SQLite file of a replica's store: opening, format check, rows, and translation of SQLite errors.

SQLite runs with `synchronous=FULL` and `journal_mode=PERSIST`.  Comparison of the journal modes:

- WAL needs one flush where the others need four.  But its recovery stops silently at the first frame with a
  wrong checksum: a bad block in the tail loses durable votes and entries without an error, and so does
  copying the file without its `-wal`.  A replica that lost its vote may vote twice, which the store must
  prevent.
- DELETE ends a transaction by unlinking its journal, and under FULL the directory is not flushed afterwards:
  after a power failure the journal can reappear, and a durable transaction is rolled back (EXTRA flushes it).
- TRUNCATE ends it by a flushed truncation: equally safe, but the change of length costs a commit in the file
  system's own journal (medians on ext4 in benchmarks/results/council-processes.md).
- PERSIST ends it by overwriting the journal's header with zeros and flushing: no name or length changes.  All
  durable data is in one file, and the checksums of the rows detect a damaged page.
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
from cressrock.state_file import flush_directory

FORMAT = 1
OLDEST_FORMAT = 1  # oldest format that this program can read
MAX_JOURNAL_BYTES = 1 << 20  # size of the idle journal; a snapshot's transaction makes it larger
APPLICATION_ID = 0x63726B63  # in the SQLite header; distinguishes a store from other databases
PROBE_BYTES = 65536
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
SQLITE_PRIMARY_CODE = 0xFF  # mask of the primary result code in an extended one


class StoreFile:
    """The SQLite file of one store, open in one process at a time."""

    def __init__(self, path: Path) -> None:
        """Remember the path; `open` opens the file."""
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
        """Open the file, or create it if there is none; see ReplicaStore for parameters and errors."""
        exists = self.path.exists() and self.path.stat().st_size > 0
        if must_exist and not exists:
            raise StoreMissingError(
                f"the store of seat {replica!r} is missing at {self.path}; the settings expect it"
            )
        with self.translate_errors():
            # isolation_level None: transactions begin and end only by explicit statements.
            database = sqlite3.connect(self.path, timeout=0, isolation_level=None, check_same_thread=False)
            self._database = database
            if exists and not self._check_format(database):
                if must_exist:
                    raise StoreMissingError(f"the store of seat {replica!r} at {self.path} is empty")
                exists = False
            self._configure(database, max_pages)
            if not exists:
                self._create(database, StoreHeader(FORMAT, cluster, replica, random_bytes(8).hex()))
            database.execute("BEGIN EXCLUSIVE")  # acquired once; the locking mode keeps the lock
            database.execute("COMMIT")
            self._check_integrity(database)

    @staticmethod
    def _configure(database: sqlite3.Connection, max_pages: int) -> None:
        # Exclusive: with two processes on one store, two replicas would share one vote.
        database.execute("PRAGMA locking_mode=EXCLUSIVE")
        database.execute("PRAGMA journal_mode=PERSIST")
        database.execute(f"PRAGMA journal_size_limit={MAX_JOURNAL_BYTES}")
        database.execute("PRAGMA synchronous=FULL")
        if max_pages:
            database.execute(f"PRAGMA max_page_count={int(max_pages)}")

    def _check_format(self, database: sqlite3.Connection) -> bool:
        """Return whether the file has content; raise if its format is not a supported store."""
        # These fields are in the first 100 bytes of the file in every format, so no table is read first.
        (pages,) = database.execute("PRAGMA page_count").fetchone()
        if not pages:
            return False  # a process died while it created the file, and that was rolled back
        (application_id,) = database.execute("PRAGMA application_id").fetchone()
        (version,) = database.execute("PRAGMA user_version").fetchone()
        if application_id != APPLICATION_ID:
            raise ForeignStoreError(f"{self.path} is not a seat's store but a database of another program")
        if version > FORMAT:
            raise StoreTooNewError(f"{self.path} has format {version}; this program supports up to {FORMAT}")
        if version < OLDEST_FORMAT:
            raise StoreTooOldError(
                f"{self.path} has format {version}; this program supports {OLDEST_FORMAT} and later"
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
        # Without flushing the directory, a power failure can remove the new file.
        flush_directory(self.path.parent)

    def _check_integrity(self, database: sqlite3.Connection) -> None:
        problems = [row[0] for row in database.execute("PRAGMA integrity_check(3)")]
        if problems != ["ok"]:
            raise StoreCorruptError(f"{self.path} is damaged: {'; '.join(map(str, problems))[:300]}")

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
        """Return whether a row of this name exists.  Raises StoreError if the file is closed."""
        query = "SELECT 1 FROM kept WHERE name=?"
        return self.database().execute(query, (name,)).fetchone() is not None

    def row(self, name: str) -> object:
        """Return a row with its checksum, unverified.  Raises StoreCorruptError if it is missing."""
        row = self.database().execute("SELECT value FROM kept WHERE name=?", (name,)).fetchone()
        if row is None:
            raise StoreCorruptError(f"the row {name!r} of {self.path} is missing")
        return row[0]

    def put_row(self, name: str, value: bytes) -> None:
        """Write a row with its checksum, replacing one of the same name."""
        self.database().execute("INSERT OR REPLACE INTO kept VALUES(?, ?)", (name, seal(name, value)))

    def entry_row(self, index: int) -> object:
        """Return an entry's row with its checksum, unverified.  Raises StoreCorruptError if missing."""
        row = self.database().execute("SELECT value FROM log WHERE place=?", (index,)).fetchone()
        if row is None:
            raise StoreCorruptError(f"entry {index} of {self.path} is missing")
        return row[0]

    def insert_entry(self, entry: LogEntry) -> None:
        """Insert an entry's row with its checksum; its index must be free."""
        self.database().execute("INSERT INTO log VALUES(?, ?)", (entry.index, encode_entry(entry)))

    # --- errors

    @contextmanager
    def translate_errors(self) -> Iterator[None]:
        """Raise SQLite errors and OSErrors of the body as the store's error types."""
        try:
            yield
        except sqlite3.Error as error:
            raise self._translate(error) from error
        except OSError as error:
            kind = StoreFullError if error.errno in DISK_FULL_ERRNOS else StoreError
            raise kind(f"{self.path}: {error}") from error

    def _translate(self, error: sqlite3.Error) -> StoreError:
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
        # SQLite reports a quota or a file size limit as an I/O error, so a write is tried here.
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
            return error.errno in DISK_FULL_ERRNOS
        finally:
            probe.unlink(missing_ok=True)
