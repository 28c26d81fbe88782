"""What a replica keeps on disk, and the states with which a group of replicas begins."""

from __future__ import annotations

from dataclasses import dataclass, replace

from cressrock.consensus.raft.messages import LogEntry, encode_voters


@dataclass(frozen=True, slots=True)
class HardState:
    """What a replica must not forget: its term, its vote in it ("" for none), the known commit index.

    `generation` numbers groups that an operator forced anew (`force_single_voter`); 0: none yet, a new
    replica adopts that of the first leader it hears.  `commit` is kept lazily: losing it costs time, not
    safety.
    """

    term: int = 0
    voted_for: str = ""
    commit: int = 0
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine's data after the entry (`index`, `term`), and the voters at that point."""

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

    @property
    def last_index(self) -> int:
        """The index of the last entry, 0 if there is none."""
        return (self.snapshot.index if self.snapshot else 0) + len(self.entries)


def initial_state(voters: tuple[str, ...]) -> StoredState:
    """Return what every replica of a new group begins with: the same first entry, which names all voters.

    Only for a group that has never been; a replica that joins one begins with `StoredState()`.
    """
    entry = LogEntry(1, 1, "seats", encode_voters(tuple(sorted(voters))))
    return StoredState(HardState(1, "", 1, 1), None, (entry,))


def force_single_voter(stored: StoredState, name: str) -> StoredState:
    """Return what makes a group of the one replica `name` out of its own store: recovery from a lost
    majority.

    What it may cost: entries that the lost majority had committed and this store does not have are gone,
    though they were acknowledged; entries here that were never committed become so.  Log indexes may come a
    second time with other content, so whatever is numbered by index must put the generation above it.
    To be done at one replica only, the one whose last entry has the highest (term, index), with all others of
    the old group stopped: replicas of the old generation that come back are refused, with the reason,
    and join again as new replicas with empty stores.  Forced at two replicas, there are two groups.
    """
    term = stored.hard_state.term + 1
    entry = LogEntry(term, stored.last_index + 1, "seats", encode_voters((name,)))
    hard_state = replace(
        stored.hard_state, term=term, voted_for="", generation=stored.hard_state.generation + 1
    )
    return StoredState(hard_state, stored.snapshot, (*stored.entries, entry))
