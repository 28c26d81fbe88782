"""The in-memory log of a replica: the entries after its snapshot."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

from cressrock.consensus.raft.messages import LogEntry, decode_voters
from cressrock.consensus.raft.persistent_state import Snapshot

ENTRY_OVERHEAD_BYTES = 16  # encoding of an entry in a message, without its data


class RaftLog:
    """The entries after a snapshot.  Indexes start at 1; index 0 and term 0 precede the first entry."""

    __slots__ = (
        "snapshot_index", "snapshot_term", "snapshot_voters", "entries", "data_bytes", "voter_changes",
    )  # fmt: skip

    def __init__(self, snapshot: Snapshot | None, entries: tuple[LogEntry, ...]) -> None:
        """Start with the snapshot and entries loaded from the store."""
        self.snapshot_index = snapshot.index if snapshot else 0
        self.snapshot_term = snapshot.term if snapshot else 0
        self.snapshot_voters: tuple[str, ...] = snapshot.voters if snapshot else ()
        self.entries: list[LogEntry] = []
        self.data_bytes = 0  # of all entries in memory
        self.voter_changes: list[tuple[int, tuple[str, ...]]] = []  # index and voters of membership entries
        for entry in entries:
            self.append(entry)

    def clone(self) -> RaftLog:
        """Return a copy that can be changed independently."""
        other = RaftLog.__new__(RaftLog)
        other.snapshot_index, other.snapshot_term = self.snapshot_index, self.snapshot_term
        other.snapshot_voters = self.snapshot_voters
        other.entries, other.data_bytes = self.entries[:], self.data_bytes
        other.voter_changes = self.voter_changes[:]
        return other

    @property
    def last_index(self) -> int:
        """The index of the last entry; that of the snapshot if there are no entries."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry; that of the snapshot if there are no entries."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters according to the latest membership entry, committed or not (4.1)."""
        return self.voter_changes[-1][1] if self.voter_changes else self.snapshot_voters

    @property
    def voters_index(self) -> int:
        """The index of the latest membership entry; 0 if the snapshot covers it."""
        return self.voter_changes[-1][0] if self.voter_changes else 0

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Return the voters in effect after the entry `index`."""
        result = self.snapshot_voters
        for change_index, voters in self.voter_changes:
            if change_index > index:
                break
            result = voters
        return result

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry `index`; None if the log does not contain it or has compacted it."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def append(self, entry: LogEntry) -> None:
        """Append one entry; ValueError unless its index follows the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"cannot append entry {entry.index}: the last index is {self.last_index}")
        if entry.kind == "seats":
            self.voter_changes.append((entry.index, decode_voters(entry.data)))
        self.entries.append(entry)
        self.data_bytes += len(entry.data)

    def truncate(self, start: int) -> None:
        """Remove the entry `start` and all later ones."""
        position = start - self.snapshot_index - 1
        self.data_bytes -= sum(len(entry.data) for entry in self.entries[position:])
        del self.entries[position:]
        while self.voter_changes and self.voter_changes[-1][0] >= start:
            self.voter_changes.pop()

    def entries_between(self, start: int, end: int) -> list[LogEntry]:
        """Return the entries in memory with start <= index <= end."""
        return self.entries[max(0, start - self.snapshot_index - 1) : max(0, end - self.snapshot_index)]

    def batch_from(self, start: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return at most `max_entries` and `max_bytes` of entries from `start` on, but at least one."""
        batch: list[LogEntry] = []
        size = 0
        first = start - self.snapshot_index - 1
        for position in range(first, min(len(self.entries), first + max_entries)):
            entry = self.entries[position]
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def start_after(self, snapshot: Snapshot) -> bool:
        """Restart the log after `snapshot`; return whether the log contained the snapshot's last entry.

        In that case the later entries are kept, otherwise all are removed.
        """
        contains_snapshot = self.term_at(snapshot.index) == snapshot.term
        if contains_snapshot:
            self.entries = self.entries[snapshot.index - self.snapshot_index :]
            self.voter_changes = [change for change in self.voter_changes if change[0] > snapshot.index]
        else:
            self.entries, self.voter_changes = [], []
        self.data_bytes = sum(len(entry.data) for entry in self.entries)
        self.snapshot_index, self.snapshot_term = snapshot.index, snapshot.term
        self.snapshot_voters = snapshot.voters
        return contains_snapshot

    def first_index_of_term(self, term: int, max_index: int) -> int:
        """Return the first index in memory with `term`; the entry `max_index` must have that term."""
        end = max(0, max_index - self.snapshot_index)
        return self.snapshot_index + 1 + bisect_left(self.entries, term, 0, end, key=_term)

    def last_index_of_term(self, term: int, max_index: int) -> int:
        """Return the last index <= `max_index` with `term`, 0 if none; terms never decrease along a log."""
        end = max(0, max_index - self.snapshot_index)
        index = self.snapshot_index + bisect_right(self.entries, term, 0, end, key=_term)
        return index if self.term_at(index) == term else 0


def _term(entry: LogEntry) -> int:
    return entry.term
