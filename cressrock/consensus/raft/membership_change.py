"""Membership changes by the leader, one voter at a time (4.1 to 4.3, with Ongaro's correction of 2015)."""

from __future__ import annotations

from cressrock.consensus.raft.messages import MAX_VOTERS, encode_voters
from cressrock.consensus.raft.replication import Replication
from cressrock.errors.consensus import MembershipChangeRefusedError


def check_change_allowed(replication: Replication) -> None:
    """Raise MembershipChangeRefusedError if a membership change must not start now.

    The previous change must be committed, and the leader must have committed an entry of its own term.
    """
    replica = replication.replica
    if replica.log.voters_index > replica.commit:
        raise MembershipChangeRefusedError(
            f"the membership change at entry {replica.log.voters_index} is not committed yet; retry later"
        )
    if not replication.has_committed_in_own_term():
        raise MembershipChangeRefusedError(
            f"the leader has not committed an entry of term {replica.term} yet; retry later"
        )


def add_voter(replication: Replication, name: str) -> int:
    """Append the entry that adds a voter and return its index.

    Raises MembershipChangeRefusedError if `name` is a voter already or there are `MAX_VOTERS`, and while the
    learner lacks more than `max_learner_lag` entries or has not answered for `election_ms`: the first call
    starts replication to it (4.2.1), and the caller retries.
    """
    replica, voters = replication.replica, replication.replica.log.voters
    if name in voters or len(voters) >= MAX_VOTERS:
        raise MembershipChangeRefusedError(
            f"cannot add {name}: already a voter, or the group has {MAX_VOTERS} voters"
        )
    learner = replication.track_learner(name)
    missing_entries = replica.log.last_index - learner.match_index
    is_unresponsive = learner.acked_at_ms + replica.settings.election_ms <= replica.now_ms
    if missing_entries > replica.settings.max_learner_lag or is_unresponsive:
        raise MembershipChangeRefusedError(
            f"{name} lacks {missing_entries} entries or is not answering; it is catching up, retry later"
        )
    return replication.append("seats", encode_voters(tuple(sorted((*voters, name)))))


def remove_voter(replication: Replication, name: str) -> int:
    """Append the entry that removes a voter and return its index.

    Raises MembershipChangeRefusedError if `name` is not a voter or is the last one.
    """
    voters = replication.replica.log.voters
    if name not in voters or len(voters) == 1:
        raise MembershipChangeRefusedError(f"cannot remove {name}: not a voter, or the last one")
    index = replication.append("seats", encode_voters(tuple(voter for voter in voters if voter != name)))
    if name in replication.progress:
        replication.progress[name].removal_index = index
    return index
