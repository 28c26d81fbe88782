"""The persistent state of a replica, and the initial states of a group."""

from __future__ import annotations

from dataclasses import dataclass, replace

from cressrock.consensus.raft.messages import LogEntry, encode_voters


@dataclass(frozen=True, slots=True)
class HardState:
    """The persistent term, the vote in it ("" for none), the known commit index and the generation.

    `generation` is 1 in a new group and grows by one each time an operator forces it to re-form
    (`force_single_voter`); a replica with 0, as a new one has, adopts that of the first message it receives.
    `commit` is only written along with other changes: losing it costs time, not safety.
    """

    term: int = 0
    voted_for: str = ""
    commit: int = 0
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine's data after applying the entry (`index`, `term`), and the voters at that point."""

    index: int
    term: int
    voters: tuple[str, ...]
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state that a replica loads from its store at start; `entries` follow the snapshot without a gap."""

    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()

    @property
    def last_index(self) -> int:
        """The index of the last entry or of the snapshot; 0 if there is neither."""
        return (self.snapshot.index if self.snapshot else 0) + len(self.entries)


def initial_state(voters: tuple[str, ...]) -> StoredState:
    """Return the initial state of every replica of a new group: one entry that names all voters.

    Use it only for a group that has never existed; a replica that joins a group starts with `StoredState()`.
    """
    entry = LogEntry(1, 1, "seats", encode_voters(tuple(sorted(voters))))
    return StoredState(HardState(1, "", 1, 1), None, (entry,))


def force_single_voter(stored: StoredState, name: str) -> StoredState:
    """Return `stored` in a new generation with `name` as the only voter, to recover a group that has lost its
    majority.

    Committed and acknowledged entries that only the lost replicas had are lost, and uncommitted entries in
    this store become committed.  Log indexes may be reused with other content, so anything numbered by index
    must be ordered by generation first.  Do this at one replica only, the one whose last entry has the
    highest (term, index), with all others of the old group stopped: forcing two replicas creates two groups.
    Replicas of the old generation that return are refused with a reason, and must rejoin as new replicas with
    empty stores.
    """
    term = stored.hard_state.term + 1
    entry = LogEntry(term, stored.last_index + 1, "seats", encode_voters((name,)))
    hard_state = replace(
        stored.hard_state, term=term, voted_for="", generation=stored.hard_state.generation + 1
    )
    return StoredState(hard_state, stored.snapshot, (*stored.entries, entry))
