"""A replica's store in memory, in the order that `Ready` asks for: for model checker and simulator."""

from __future__ import annotations

from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import HardState, Snapshot, StoredState
from cressrock.consensus.raft.ready import Ready


class InMemoryReplicaStore:
    """Keeps what a node hands out; what was kept is never changed in place, so copies share it."""

    __slots__ = ("hard", "snapshot", "entries")

    def __init__(self, stored: StoredState) -> None:
        """Begin with `stored`."""
        self.hard: HardState = stored.hard_state
        self.snapshot: Snapshot | None = stored.snapshot
        self.entries: tuple[LogEntry, ...] = stored.entries

    def clone(self) -> InMemoryReplicaStore:
        """Return one of its own with the same content."""
        return InMemoryReplicaStore(self.load())

    def load(self) -> StoredState:
        """Return what a node starts from."""
        return StoredState(self.hard, self.snapshot, self.entries)

    def write(self, ready: Ready) -> None:
        """Keep a batch, all of it; a gap in the log is a fault (ValueError)."""
        if ready.hard_state is not None:
            self.hard = ready.hard_state
        entries = self.entries
        if ready.snapshot is not None:
            self.snapshot = ready.snapshot
            entries = tuple(entry for entry in entries if entry.index > ready.snapshot.index)
        if ready.truncate_from is not None:
            entries = tuple(entry for entry in entries if entry.index < ready.truncate_from)
        if ready.entries:
            entries += ready.entries
        base = self.snapshot.index if self.snapshot else 0
        if entries and (entries[0].index != base + 1 or entries[-1].index != base + len(entries)):
            raise ValueError(f"a gap in the log: {base}, then {[entry.index for entry in entries]}")
        self.entries = entries

    @property
    def last_index(self) -> int:
        """The last index kept."""
        return self.entries[-1].index if self.entries else self.snapshot.index if self.snapshot else 0

    def term_at(self, index: int) -> int | None:
        """Return the term kept at an index, None if it is not here."""
        base = self.snapshot.index if self.snapshot else 0
        if base < index <= self.last_index:
            return self.entries[index - base - 1].term
        if index == base:
            return self.snapshot.term if self.snapshot else 0
        return None
