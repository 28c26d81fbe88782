"""Recovery when a majority of replicas is lost for good: a group of one, made from one store.

`python -m cressrock.consensus.recover STORE --cluster ID --seat NAME --i-have-lost-the-majority`.  Without
the last word nothing is changed and the cost is printed.  See docs/council.md.
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import dataclass, replace

from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.decisions import SetVersionBase, encode
from cressrock.consensus.raft.log import RaftLog
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.persistent_state import StoredState, force_single_voter
from cressrock.consensus.store import ReplicaStore
from cressrock.errors import CressrockError
from cressrock.errors.consensus import ForeignStoreError

SPARE_VERSIONS = 1_000_000  # left free at least, where the wall clock was set back

COST = """\
What this may cost:
- decisions that the lost seats had acknowledged and this store does not have are gone;
- decisions in this store that were never acknowledged come to stand;
- if any other seat of the old council still runs, or this is done at two seats, there are two councils.
Before: stop every seat of the old council; do this at one seat only, the one with the largest last entry
(term, index) of all stores that are left.  After: start this seat; put the other seats' stores aside and
start them with start = 'join'.  All numbers go on above every number given before."""


@dataclass(frozen=True, slots=True)
class StoreContent:
    """What a store holds: identity, voters, last entry, what it knows as committed, its generation."""

    identity: str
    voters: tuple[str, ...]
    last_term: int
    last_index: int
    commit: int
    generation: int
    topics: int


def recover(path: str, cluster: str, replica: str, wall_ms: float, *, force: bool) -> StoreContent:
    """Return what a store holds, and with `force` make a group of one out of it.

    Raises the store's errors (StoreLockedError while its replica runs), ForeignStoreError for a replica
    without a group.
    """
    store = ReplicaStore(path, cluster=cluster, replica=replica, must_exist=True)
    try:
        header, stored = store.header, store.load()
        if not header.initial_replicas:
            raise ForeignStoreError(f"{path} has no council: its seat was never part of one")
        decisions = _replay(stored)
        if force:
            version_base = max(int(wall_ms), decisions.version + SPARE_VERSIONS)
            store.save_header(header, _single_voter_state(stored, header.identity, version_base))
        log = RaftLog(stored.snapshot, stored.entries)
        return StoreContent(
            identity=header.identity,
            voters=log.voters,
            last_term=log.last_term,
            last_index=log.last_index,
            commit=stored.hard_state.commit,
            generation=stored.hard_state.generation,
            topics=len(decisions.all_decisions()),
        )
    finally:
        store.close()


def _replay(stored: StoredState) -> DecisionState:
    """Return the decisions after all stored entries, committed or not."""
    decisions = DecisionState()
    if stored.snapshot is not None:
        decisions = DecisionState.restore(stored.snapshot.data, stored.snapshot.index)
    for entry in stored.entries:
        decisions.apply(entry.index, entry.data if entry.kind == "command" else b"")
    return decisions


def _single_voter_state(stored: StoredState, identity: str, version_base: int) -> StoredState:
    single = force_single_voter(stored, identity)
    last = single.entries[-1]
    # Right behind the change of voters: nothing is decided before it, every version after it is new.
    command = SetVersionBase(version_base, None, stored.hard_state.commit)
    entry = LogEntry(last.term, last.index + 1, "command", encode(command))
    return replace(single, entries=(*single.entries, entry))


def main(arguments: list[str] | None = None) -> int:
    """Run from the command line; 0 when done, 1 with an error, 2 when nothing was changed."""
    parser = argparse.ArgumentParser(prog="python -m cressrock.consensus.recover", description=__doc__)
    parser.add_argument("store")
    parser.add_argument("--cluster", required=True)
    parser.add_argument("--seat", required=True)
    parser.add_argument("--i-have-lost-the-majority", action="store_true", dest="force")
    options = parser.parse_args(arguments)
    try:
        content = recover(
            options.store, options.cluster, options.seat, time.time() * 1000, force=options.force
        )
    except CressrockError as error:
        print(error, file=sys.stderr)
        return 1
    print(f"{content.identity}: generation {content.generation}, seats {', '.join(content.voters)}")
    print(
        f"last entry: term {content.last_term}, index {content.last_index};"
        f" committed for sure: {content.commit}"
    )
    print(f"topics that stand: {content.topics}")
    print(COST)
    if not options.force:
        print("Nothing was changed: say --i-have-lost-the-majority to do it.")
        return 2
    print(f"Done: {content.identity} is now the only seat, in generation {content.generation + 1}.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
