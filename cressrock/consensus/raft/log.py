"""A replica's log in memory: the entries after its snapshot."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

from cressrock.consensus.raft.messages import LogEntry, decode_voters
from cressrock.consensus.raft.persistent_state import Snapshot

ENTRY_OVERHEAD_BYTES = 16  # what an entry takes in a message beside its data


class RaftLog:
    """Entries after a snapshot; indexes count from 1, (0, 0) is before all."""

    __slots__ = (
        "snapshot_index", "snapshot_term", "snapshot_voters", "entries", "data_bytes", "voter_changes",
    )  # fmt: skip

    def __init__(self, snapshot: Snapshot | None, entries: tuple[LogEntry, ...]) -> None:
        """Begin with what a store gave back."""
        self.snapshot_index = snapshot.index if snapshot else 0
        self.snapshot_term = snapshot.term if snapshot else 0
        self.snapshot_voters: tuple[str, ...] = snapshot.voters if snapshot else ()
        self.entries: list[LogEntry] = []
        self.data_bytes = 0  # of all entries in memory
        self.voter_changes: list[tuple[int, tuple[str, ...]]] = []  # index and voters of membership entries
        for entry in entries:
            self.append(entry)

    def clone(self) -> RaftLog:
        """Return an independent copy."""
        other = RaftLog.__new__(RaftLog)
        other.snapshot_index, other.snapshot_term = self.snapshot_index, self.snapshot_term
        other.snapshot_voters = self.snapshot_voters
        other.entries, other.data_bytes = self.entries[:], self.data_bytes
        other.voter_changes = self.voter_changes[:]
        return other

    @property
    def last_index(self) -> int:
        """The last entry's index."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The last entry's term."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters by the latest membership entry, committed or not (4.1)."""
        return self.voter_changes[-1][1] if self.voter_changes else self.snapshot_voters

    @property
    def voters_index(self) -> int:
        """The index of the latest membership entry, 0 if it is in the snapshot."""
        return self.voter_changes[-1][0] if self.voter_changes else 0

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Return the voters after the entry `index`."""
        result = self.snapshot_voters
        for change_index, voters in self.voter_changes:
            if change_index > index:
                break
            result = voters
        return result

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log does not have it (any more)."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def append(self, entry: LogEntry) -> None:
        """Append one entry; a gap is a fault of the caller (ValueError)."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} after {self.last_index}")
        if entry.kind == "seats":
            self.voter_changes.append((entry.index, decode_voters(entry.data)))
        self.entries.append(entry)
        self.data_bytes += len(entry.data)

    def truncate(self, start: int) -> None:
        """Drop all entries from the index `start` on."""
        position = start - self.snapshot_index - 1
        self.data_bytes -= sum(len(entry.data) for entry in self.entries[position:])
        del self.entries[position:]
        while self.voter_changes and self.voter_changes[-1][0] >= start:
            self.voter_changes.pop()

    def entries_between(self, start: int, end: int) -> list[LogEntry]:
        """Return the entries with start <= index <= end."""
        return self.entries[max(0, start - self.snapshot_index - 1) : max(0, end - self.snapshot_index)]

    def batch_from(self, start: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from `start` on: at most `max_entries` and `max_bytes`, but at least one."""
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
        """Begin after `snapshot`; entries that follow are kept if they fit it.  Return whether they did."""
        fits = self.term_at(snapshot.index) == snapshot.term
        if fits:
            self.entries = self.entries[snapshot.index - self.snapshot_index :]
            self.voter_changes = [change for change in self.voter_changes if change[0] > snapshot.index]
        else:
            self.entries, self.voter_changes = [], []
        self.data_bytes = sum(len(entry.data) for entry in self.entries)
        self.snapshot_index, self.snapshot_term = snapshot.index, snapshot.term
        self.snapshot_voters = snapshot.voters
        return fits

    def first_index_of_term(self, term: int, max_index: int) -> int:
        """Return the first index in memory whose entry is of `term`; `max_index` is one of them."""
        end = max(0, max_index - self.snapshot_index)
        return self.snapshot_index + 1 + bisect_left(self.entries, term, 0, end, key=_term)

    def last_index_of_term(self, term: int, max_index: int) -> int:
        """Return the last index <= `max_index` of `term`, 0 if none (terms only grow along a log)."""
        end = max(0, max_index - self.snapshot_index)
        index = self.snapshot_index + bisect_right(self.entries, term, 0, end, key=_term)
        return index if self.term_at(index) == term else 0


def _term(entry: LogEntry) -> int:
    return entry.term
