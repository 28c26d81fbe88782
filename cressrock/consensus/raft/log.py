"""The replicated log of one seat in memory, and what a store keeps of it.  Pure."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, replace

from cressrock.consensus.raft.messages import LogEntry, decode_voters, encode_voters


@dataclass(frozen=True, slots=True)
class HardState:
    """What a seat must not forget: its term, its vote in it ("" for none), how far it knew of commits.

    `generation` numbers councils that an operator forced anew (`raft.force_new`); 0: none yet, a new seat
    takes that of the first leader it hears.  `commit` is kept lazily: losing it costs time, not safety.
    """

    term: int = 0
    voted_for: str = ""
    commit: int = 0
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine's data after the entry (`index`, `term`), and the seats that held there."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a store gives back at the start: `entries` follow the snapshot without a gap."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


def initial_state(voters: tuple[str, ...]) -> StoredState:
    """Return what every seat of a new council begins with: the same first entry, which names all seats.

    Only for a council that has never been; a seat that joins one begins with `Stored()`.
    """
    entry = LogEntry(1, 1, "seats", encode_voters(tuple(sorted(voters))))
    return StoredState(HardState(1, "", 1, 1), None, (entry,))


def force_single_voter(stored: StoredState, name: str) -> StoredState:
    """Return what makes a council of the one seat `me` out of its own store: the way out of a lost majority.

    What it may cost: entries that the lost majority had committed and this store does not have are gone,
    though they were acknowledged; entries here that were never committed become so.  Log indexes may come a
    second time with other content, so whatever is numbered by index must put the generation above it.
    To be done at one seat only, the one whose last entry has the highest (term, index), with all others of
    the old council stopped: seats of the old generation that come back are refused, with the reason,
    and join again as new seats with empty stores.  Forced at two seats, there are two councils.
    """
    last_index = RaftLog(stored.snapshot, stored.entries).last_index
    term = stored.hard_state.term + 1
    entry = LogEntry(term, last_index + 1, "seats", encode_voters((name,)))
    hard = replace(stored.hard_state, term=term, voted_for="", generation=stored.hard_state.generation + 1)
    return StoredState(hard, stored.snapshot, (*stored.entries, entry))


class RaftLog:
    """Entries after a snapshot; indexes count from 1, (0, 0) is before all."""

    __slots__ = (
        "snapshot_index",
        "snapshot_term",
        "snapshot_voters",
        "entries",
        "data_bytes",
        "voter_changes",
    )

    def __init__(self, snapshot: Snapshot | None, entries: tuple[LogEntry, ...]) -> None:
        """Take what a store gave back."""
        self.snapshot_index = snapshot.index if snapshot else 0
        self.snapshot_term = snapshot.term if snapshot else 0
        self.snapshot_voters: tuple[str, ...] = snapshot.voters if snapshot else ()
        self.entries: list[LogEntry] = []
        self.data_bytes = 0  # bytes of data held
        self.voter_changes: list[tuple[int, tuple[str, ...]]] = []  # (index, seats) of the seats entries held
        for entry in entries:
            self.append(entry)

    def clone(self) -> RaftLog:
        """Return a log of its own with the same content."""
        other = RaftLog.__new__(RaftLog)
        other.snapshot_index, other.snapshot_term, other.snapshot_voters = (
            self.snapshot_index,
            self.snapshot_term,
            self.snapshot_voters,
        )
        other.entries, other.data_bytes, other.voter_changes = (
            self.entries[:],
            self.data_bytes,
            self.voter_changes[:],
        )
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
        """The seats by the latest seats entry, committed or not (4.1)."""
        return self.voter_changes[-1][1] if self.voter_changes else self.snapshot_voters

    @property
    def voters_index(self) -> int:
        """The index of the latest seats entry, 0 if it is in the snapshot."""
        return self.voter_changes[-1][0] if self.voter_changes else 0

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Return the seats that hold after the entry `index`."""
        found = self.snapshot_voters
        for at, seats in self.voter_changes:
            if at > index:
                break
            found = seats
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log does not have it (any more)."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def append(self, entry: LogEntry) -> None:
        """Put one entry at the end; a gap is a fault of the caller (ValueError)."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} after {self.last_index}")
        if entry.kind == "seats":
            self.voter_changes.append((entry.index, decode_voters(entry.data)))
        self.entries.append(entry)
        self.data_bytes += len(entry.data)

    def truncate(self, start: int) -> None:
        """Drop all entries from the index `start` on."""
        gone = self.entries[start - self.snapshot_index - 1 :]
        del self.entries[start - self.snapshot_index - 1 :]
        self.data_bytes -= sum(len(entry.data) for entry in gone)
        while self.voter_changes and self.voter_changes[-1][0] >= start:
            self.voter_changes.pop()

    def entries_between(self, start: int, end: int) -> list[LogEntry]:
        """Return the entries with start <= index <= end."""
        return self.entries[max(0, start - self.snapshot_index - 1) : max(0, end - self.snapshot_index)]

    def batch_from(self, start: int, most: int, most_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from `start` on: at most `most`, at most `most_bytes` of data but at least one."""
        found: list[LogEntry] = []
        size = 0
        for position in range(
            start - self.snapshot_index - 1, min(len(self.entries), start - self.snapshot_index - 1 + most)
        ):
            entry = self.entries[position]
            size += len(entry.data) + 16
            if found and size > most_bytes:
                break
            found.append(entry)
        return tuple(found)

    def start_after(self, snapshot: Snapshot) -> bool:
        """Begin after `snapshot`; entries that follow are kept if they fit it.  Return whether they did."""
        fits = self.term_at(snapshot.index) == snapshot.term
        if fits:
            kept = self.entries[snapshot.index - self.snapshot_index :]
            self.voter_changes = [(at, seats) for at, seats in self.voter_changes if at > snapshot.index]
        else:
            kept, self.voter_changes = [], []
        self.entries = kept
        self.data_bytes = sum(len(entry.data) for entry in kept)
        self.snapshot_index, self.snapshot_term, self.snapshot_voters = (
            snapshot.index,
            snapshot.term,
            snapshot.voters,
        )
        return fits

    def first_index_of_term(self, term: int, until: int) -> int:
        """Return the first index held whose entry is of `term`; `until` is one of them."""
        found = bisect_left(self.entries, term, 0, max(0, until - self.snapshot_index), key=_term)
        return self.snapshot_index + 1 + found

    def last_index_of_term(self, term: int, until: int) -> int:
        """Return the last index <= `until` of `term`, 0 if there is none (terms only grow along a log)."""
        index = self.snapshot_index + bisect_right(
            self.entries, term, 0, max(0, until - self.snapshot_index), key=_term
        )
        return index if self.term_at(index) == term else 0


def _term(entry: LogEntry) -> int:
    return entry.term
