"""The operator's way out when a majority of seats is lost for good: a council of one, made from one store.

`python -m cressrock.consensus.recover STORE --cluster ID --seat NAME --i-have-lost-the-majority`.  Without the
last word nothing is changed and the cost is printed.  See docs/council.md.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import dataclass, replace

from cressrock.consensus import decisions as d
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import force_single_voter
from cressrock.consensus.store import ReplicaStore
from cressrock.errors import CressrockError
from cressrock.errors.consensus import ForeignStoreError

SPARE = 1_000_000  # numbers left free at least, where the wall clock was set back

COST = """\
What this may cost:
- decisions that the lost seats had acknowledged and this store does not have are gone;
- decisions in this store that were never acknowledged come to stand;
- if any other seat of the old council still runs, or this is done at two seats, there are two councils.
Before: stop every seat of the old council; do this at one seat only, the one with the largest last entry
(term, index) of all stores that are left.  After: start this seat; put the other seats' stores aside and
start them with start = 'join'.  All numbers go on above every number given before."""


@dataclass(frozen=True, slots=True)
class Found:
    """What a store holds: identity, seats, last entry, what it knows as committed, its generation."""

    identity: str
    seats: tuple[str, ...]
    last_term: int
    last_index: int
    commit: int
    generation: int
    topics: int


def recover(path: str, cluster: str, seat: str, wall_ms: float, *, force: bool) -> Found:
    """Return what a store holds, and with `force` make a council of one out of it.

    Raises the store's errors (StoreBusy while its seat runs), StoreForeign for a seat without a council.
    """
    store = ReplicaStore(path, cluster=cluster, replica=seat, must_exist=True)
    try:
        header, stored = store.header, store.load()
        if not header.initial_replicas:
            raise ForeignStoreError(f"{path} has no council: its seat was never part of one")
        state = d.DecisionState()
        seats: tuple[str, ...] = ()
        if stored.snapshot is not None:
            state = d.DecisionState.restore(stored.snapshot.data, stored.snapshot.index)
        for entry in stored.entries:
            state.apply(entry.index, entry.data if entry.kind == "command" else b"")
        alone = force_single_voter(stored, header.identity)
        last = alone.entries[-1]
        ended = stored.entries[-1] if stored.entries else stored.snapshot
        seats = seats_of(stored.snapshot.voters if stored.snapshot else (), stored.entries)
        if force:
            # Right behind the change of seats: nothing is decided before it, every number after it is new.
            number = max(int(wall_ms), state.version + SPARE)
            data = d.encode(d.SetVersionBase(number, None, stored.hard_state.commit))
            ground = LogEntry(last.term, last.index + 1, "command", data)
            store.save_header(header, replace(alone, entries=(*alone.entries, ground)))
        return Found(
            header.identity,
            seats,
            ended.term if ended else 0,
            ended.index if ended else 0,
            stored.hard_state.commit,
            stored.hard_state.generation,
            len(state.all_decisions()),
        )
    finally:
        store.close()


def seats_of(seats: tuple[str, ...], entries: tuple[LogEntry, ...]) -> tuple[str, ...]:
    """Return the seats after these entries."""
    from cressrock.consensus.raft.messages import decode_voters

    for entry in entries:
        if entry.kind == "seats":
            seats = decode_voters(entry.data)
    return seats


def main(arguments: list[str] | None = None) -> int:
    """Run from the command line; 0 when done, 1 with an error, 2 when nothing was changed."""
    parser = argparse.ArgumentParser(prog="python -m cressrock.consensus.recover", description=__doc__)
    parser.add_argument("store")
    parser.add_argument("--cluster", required=True)
    parser.add_argument("--seat", required=True)
    parser.add_argument("--i-have-lost-the-majority", action="store_true", dest="force")
    given = parser.parse_args(arguments)
    try:
        found = recover(given.store, given.cluster, given.seat, time.time() * 1000, force=given.force)
    except CressrockError as wrong:
        print(wrong, file=sys.stderr)
        return 1
    print(f"{found.identity}: generation {found.generation}, seats {', '.join(found.seats)}")
    print(f"last entry: term {found.last_term}, index {found.last_index}; committed for sure: {found.commit}")
    print(f"topics that stand: {found.topics}")
    print(COST)
    if not given.force:
        print("Nothing was changed: say --i-have-lost-the-majority to do it.")
        return 2
    print(f"Done: {found.identity} is now the only seat, in generation {found.generation + 1}.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
