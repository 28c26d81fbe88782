"""Changes of the voters by a leader, one at a time (4.1 to 4.3, with Ongaro's correction of 2015)."""

from __future__ import annotations

from cressrock.consensus.raft.messages import MAX_VOTERS, encode_voters
from cressrock.consensus.raft.replication import Replication
from cressrock.errors.consensus import MembershipChangeRefusedError


def check_may_change(replication: Replication) -> None:
    """Check that no change is under way, and that the leader has committed in its own term.

    Raises MembershipChangeRefusedError.
    """
    replica = replication.replica
    if replica.log.voters_index > replica.commit:
        raise MembershipChangeRefusedError(
            f"the change at entry {replica.log.voters_index} is not committed yet"
        )
    if not replication.has_committed_in_own_term():
        raise MembershipChangeRefusedError(f"no entry of term {replica.term} is committed yet")


def add_voter(replication: Replication, name: str) -> int:
    """Append the entry that adds a voter, and return its index.

    Raises MembershipChangeRefusedError as long as the learner lacks more than `max_learner_lag` entries: it
    is caught up from now on (4.2.1).
    """
    replica, voters = replication.replica, replication.replica.log.voters
    if name in voters or len(voters) >= MAX_VOTERS:
        raise MembershipChangeRefusedError(f"{name} is a seat already, or there are {MAX_VOTERS} of them")
    learner = replication.track_learner(name)
    missing_entries = replica.log.last_index - learner.match_index
    is_silent = learner.acked_at_ms + replica.settings.election_ms <= replica.now_ms
    if missing_entries > replica.settings.max_learner_lag or is_silent:
        raise MembershipChangeRefusedError(
            f"{name} lacks {missing_entries} entries or is not heard from; it is being taught"
        )
    return replication.append("seats", encode_voters(tuple(sorted((*voters, name)))))


def remove_voter(replication: Replication, name: str) -> int:
    """Append the entry that removes a voter, and return its index.  Raises MembershipChangeRefusedError."""
    voters = replication.replica.log.voters
    if name not in voters or len(voters) == 1:
        raise MembershipChangeRefusedError(f"{name} is no seat, or the last one")
    index = replication.append("seats", encode_voters(tuple(one for one in voters if one != name)))
    if name in replication.progress:
        replication.progress[name].removal_index = index
    return index
