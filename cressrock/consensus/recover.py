"""Recovery from the permanent loss of a majority: turns one replica's store into a group of one.

`python -m cressrock.consensus.recover STORE --cluster ID --seat NAME --i-have-lost-the-majority`.  Without
the last option nothing is changed, and the risks are printed.  See docs/council.md.
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

MIN_SKIPPED_VERSIONS = 1_000_000  # skipped even if the wall clock was set back

RISKS = """\
What this may cost:
- decisions that the lost seats had acknowledged and this store does not have are gone;
- decisions in this store that were never acknowledged take effect;
- if any other seat of the old council still runs, or this is done at two seats, there are two councils.
Before: stop every seat of the old council.  Do this at one seat only: the one whose store has the largest
last entry (term, index) of all remaining stores.  After: start this seat, move the other seats' stores aside
and start those seats with start = 'join'.  New decisions get larger numbers than all earlier ones."""


@dataclass(frozen=True, slots=True)
class StoreSummary:
    """The main contents of a store; `commit` is the last index that it knows to be committed."""

    identity: str
    voters: tuple[str, ...]
    last_term: int
    last_index: int
    commit: int
    generation: int
    topics: int


def recover(path: str, cluster: str, replica: str, wall_ms: float, *, force: bool) -> StoreSummary:
    """Return a summary of a store, and with `force` turn it into a group of one.

    Raises the store's errors (StoreLockedError while its replica runs), and ForeignStoreError if the replica
    never belonged to a group.
    """
    store = ReplicaStore(path, cluster=cluster, replica=replica, must_exist=True)
    try:
        header, stored = store.header, store.load()
        if not header.initial_replicas:
            raise ForeignStoreError(f"{path} cannot be recovered: its seat was never part of a council")
        decisions = _replay(stored)
        if force:
            version_base = max(int(wall_ms), decisions.version + MIN_SKIPPED_VERSIONS)
            store.save_header(header, _single_voter_state(stored, header.identity, version_base))
        log = RaftLog(stored.snapshot, stored.entries)
        return StoreSummary(
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
    """Return the state after applying all stored entries, committed or not."""
    decisions = DecisionState()
    if stored.snapshot is not None:
        decisions = DecisionState.restore(stored.snapshot.data, stored.snapshot.index)
    for entry in stored.entries:
        decisions.apply(entry.index, entry.data if entry.kind == "command" else b"")
    return decisions


def _single_voter_state(stored: StoredState, identity: str, version_base: int) -> StoredState:
    single = force_single_voter(stored, identity)
    last = single.entries[-1]
    # Directly after the change of voters, so that every later decision gets a new version.
    command = SetVersionBase(version_base, None, stored.hard_state.commit)
    entry = LogEntry(last.term, last.index + 1, "command", encode(command))
    return replace(single, entries=(*single.entries, entry))


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return 0 if the store was recovered, 1 on an error, 2 if nothing was changed."""
    parser = argparse.ArgumentParser(prog="python -m cressrock.consensus.recover", description=__doc__)
    parser.add_argument("store")
    parser.add_argument("--cluster", required=True)
    parser.add_argument("--seat", required=True)
    parser.add_argument("--i-have-lost-the-majority", action="store_true", dest="force")
    options = parser.parse_args(arguments)
    try:
        summary = recover(
            options.store, options.cluster, options.seat, time.time() * 1000, force=options.force
        )
    except CressrockError as error:
        print(error, file=sys.stderr)
        return 1
    print(f"{summary.identity}: generation {summary.generation}, seats {', '.join(summary.voters)}")
    print(
        f"last entry: term {summary.last_term}, index {summary.last_index};"
        f" known to be committed: {summary.commit}"
    )
    print(f"topics with a decision: {summary.topics}")
    print(RISKS)
    if not options.force:
        print("Nothing was changed.  Pass --i-have-lost-the-majority to recover the store.")
        return 2
    print(f"Recovered: {summary.identity} is now the only seat, in generation {summary.generation + 1}.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
