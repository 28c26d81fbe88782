"""A replica's store: persists log, vote and snapshot before any message is sent, one transaction per Ready.

Each kind of unusable store has its own error type: corrupt, too old, too new, foreign, missing, full, locked.

The header identifies the store: cluster, replica name, and a random id created with the file.  (The group's
generation, raised by a recovery from a lost majority, is stored with term and vote.)  The replica's identity
in the replicated log is `name#id`.  A lost file therefore cannot be replaced by an empty one under the same
identity: a new file is a new replica, which the group must first add.  A restored old copy cannot be detected
from its content, so a store must never be restored from a backup.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import HardState, Snapshot, StoredState
from cressrock.consensus.store_file import StoreFile
from cressrock.consensus.store_records import (
    HardStateRow,
    SnapshotRow,
    StoredEntry,
    StoreHeader,
    TailRow,
    decode_record,
    encode_hard_state,
    encode_record,
    encode_snapshot,
    entry_label,
)
from cressrock.errors.consensus import ForeignStoreError, StoreCorruptError, StoreError, StoreFullError


class ReplicaStore:
    """One replica's store; used by one process at a time, and not thread-safe."""

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
        """Open the store, or create it if there is none.

        `must_exist`: the settings say that this replica was a member before, so its store must exist.
        `max_pages` limits the file (SQLite's max_page_count); 0 means no limit.  Raises the store errors of
        errors/consensus.py.
        """
        self.path = Path(path)
        self.full = False
        self._file = StoreFile(self.path)
        try:
            self._file.open(
                cluster,
                replica,
                must_exist=must_exist,
                random_bytes=random_bytes,
                max_pages=max_pages,
            )
            with self._file.translate_errors():
                self.header = decode_record(StoreHeader, "header", self._file.row("header"))
            self._check_owner(cluster, replica)
        except BaseException:
            self.close()
            raise

    def _check_owner(self, cluster: str, replica: str) -> None:
        if self.header.cluster != cluster:
            raise ForeignStoreError(
                f"{self.path} belongs to cluster {self.header.cluster!r}, not {cluster!r}"
            )
        if replica and self.header.replica != replica:
            raise ForeignStoreError(
                f"{self.path} is the store of seat {self.header.replica!r}, not {replica!r}"
            )

    # --- reading

    def load(self) -> StoredState:
        """Return the stored state.  Raises StoreCorruptError if any of it is missing or inconsistent."""
        with self._file.translate_errors():
            return self._load()

    def _load(self) -> StoredState:
        hard_state = self._load_hard_state()
        tail = decode_record(TailRow, "tail", self._file.row("tail"))
        snapshot = self._load_snapshot()
        base_index = snapshot.index if snapshot else 0
        if tail.first != base_index + 1:
            raise StoreCorruptError(
                f"the log of {self.path} starts at {tail.first}, but its snapshot ends at {base_index}"
            )
        entries = self._load_entries(base_index, snapshot.term if snapshot else 0)
        last_index = base_index + len(entries)
        last_term = entries[-1].term if entries else snapshot.term if snapshot else 0
        if (tail.last, tail.count) != (last_index, len(entries)):
            raise StoreCorruptError(
                f"the log of {self.path} ends at {last_index}, but its tail record says {tail.last}"
            )
        if not base_index <= hard_state.commit <= last_index or hard_state.term < last_term:
            raise StoreCorruptError(
                f"vote and log of {self.path} are inconsistent: {hard_state} with a log up to {last_index}"
            )
        return StoredState(hard_state, snapshot, tuple(entries))

    def _load_hard_state(self) -> HardState:
        row = decode_record(HardStateRow, "hard", self._file.row("hard"))
        return HardState(row.term, row.voted_for, row.commit, row.generation)

    def _load_snapshot(self) -> Snapshot | None:
        if not self._file.has_row("snapshot"):
            return None
        row = decode_record(SnapshotRow, "snapshot", self._file.row("snapshot"))
        return Snapshot(row.index, row.term, row.voters, row.data)

    def _load_entries(self, index: int, term: int) -> list[LogEntry]:
        """Return the entries after (`index`, `term`), checked to have no gap and no decreasing term."""
        entries: list[LogEntry] = []
        for row_index, data in self._file.database().execute("SELECT place, value FROM log ORDER BY place"):
            index += 1
            if row_index != index:
                raise StoreCorruptError(
                    f"entry {index} of {self.path} is missing: the next entry is {row_index}"
                )
            stored = decode_record(StoredEntry, entry_label(index), data)
            if stored.term < term:
                raise StoreCorruptError(
                    f"entry {index} of {self.path} has term {stored.term}, lower than {term} before it"
                )
            term = stored.term
            entries.append(LogEntry(stored.term, index, stored.kind, stored.data))
        return entries

    # --- writing

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Run the body in one transaction; after an error the store is closed."""
        try:
            with self._file.translate_errors():
                database = self._file.database()
                database.execute("BEGIN IMMEDIATE")
                yield
                database.execute("COMMIT")
        except StoreError as error:
            self.full = isinstance(error, StoreFullError)
            self.close()
            raise

    def write(
        self,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: Sequence[LogEntry] = (),
        truncate_from: int | None = None,
    ) -> None:
        """Write one Ready in one transaction, which is durable when this returns.

        A snapshot replaces all entries up to its index, or all entries if the log does not continue it.
        After an error nothing of the call is written and the store is closed: the replica must stop, since it
        must not answer with state that is not durable.  Raises StoreFullError and the other store errors.
        """
        if self.full:
            raise StoreFullError(
                f"{self.path}: the disk was full at an earlier write; make room and restart the seat"
            )
        with self._transaction():
            tail = decode_record(TailRow, "tail", self._file.row("tail"))
            first, last = tail.first, tail.last
            if truncate_from is not None and truncate_from <= last:
                self._delete_from(truncate_from)
                last = max(truncate_from, first) - 1
            if snapshot is not None and snapshot.index >= first - 1:
                last = self._replace_by_snapshot(snapshot, first, last)
                first = snapshot.index + 1
            for entry in entries:
                if not first <= entry.index <= last + 1:
                    raise StoreError(f"cannot write entry {entry.index} to a log from {first} to {last}")
                if entry.index <= last:
                    self._delete_from(entry.index)
                self._file.insert_entry(entry)
                last = entry.index
            if (first, last) != (tail.first, tail.last):
                self._put_tail(first, last)
            if hard_state is not None:
                self._file.put_row("hard", encode_hard_state(hard_state))

    def _delete_from(self, index: int) -> None:
        self._file.database().execute("DELETE FROM log WHERE place>=?", (index,))

    def _replace_by_snapshot(self, snapshot: Snapshot, first: int, last: int) -> int:
        """Replace the entries that a snapshot covers; return the log's last index."""
        self._file.put_row("snapshot", encode_snapshot(snapshot))
        is_in_log = first <= snapshot.index <= last and self._term_at(snapshot.index) == snapshot.term
        if is_in_log or snapshot.index == first - 1:
            self._file.database().execute("DELETE FROM log WHERE place<=?", (snapshot.index,))
            return max(last, snapshot.index)
        # The snapshot came from a leader, and our log is not a prefix of its history: discard all entries.
        self._file.database().execute("DELETE FROM log")
        return snapshot.index

    def _put_tail(self, first: int, last: int) -> None:
        self._file.put_row("tail", encode_record(TailRow(first, last, last - first + 1)))

    def _term_at(self, index: int) -> int:
        return decode_record(StoredEntry, entry_label(index), self._file.entry_row(index)).term

    def save_header(self, header: StoreHeader, stored: StoredState | None = None) -> None:
        """Replace the header, and with `stored` all other content too, in one transaction.

        Used when a group is formed or recovered and when the replica is removed.  Raises the errors of
        `write`.
        """
        with self._transaction():
            self._file.put_row("header", encode_record(header))
            if stored is not None:
                self._replace_all(stored)
        self.header = header

    def _replace_all(self, stored: StoredState) -> None:
        database = self._file.database()
        database.execute("DELETE FROM log")
        database.execute("DELETE FROM kept WHERE name='snapshot'")
        base_index = 0
        if stored.snapshot is not None:
            self._file.put_row("snapshot", encode_snapshot(stored.snapshot))
            base_index = stored.snapshot.index
        for entry in stored.entries:
            self._file.insert_entry(entry)
        self._put_tail(base_index + 1, base_index + len(stored.entries))
        self._file.put_row("hard", encode_hard_state(stored.hard_state))

    def size(self) -> int:
        """Return the store's size in bytes; 0 once closed."""
        try:
            return self.path.stat().st_size
        except OSError:
            return 0  # a status request must not fail if the file was deleted

    def close(self) -> None:
        """Close the store; an uncommitted transaction is rolled back at the next start."""
        self._file.close()
