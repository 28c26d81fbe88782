"""Builds the batches (`Ready`) that a replica's caller persists, sends and applies."""

from __future__ import annotations

from cressrock.consensus.raft.ready import Ready
from cressrock.consensus.raft.replication import Replication
from cressrock.consensus.raft.state import Role


def has_batch(replication: Replication) -> bool:
    """Whether `take_batch` would return a non-empty batch."""
    replica = replication.replica
    if replica.outbox or replication.lost_reads or replica.applied < replica.commit:
        return True
    if replica.must_persist():
        return True
    return replica.role is Role.LEADER and (
        replication.round_requested or replication.is_read_confirmed() or replication.has_pending()
    )


def take_batch(replication: Replication) -> Ready:
    """Return everything due, at most `max_apply_entries` committed entries, and mark it as handed out."""
    replica = replication.replica
    end = min(replica.commit, replica.applied + replica.settings.max_apply_entries)
    committed = tuple(replica.log.entries_between(replica.applied + 1, end))
    replica.applied = max(replica.applied, end)
    confirmed_reads = replication.pop_confirmed_reads()  # uses the new `applied`
    hard_state = None
    if replica.must_persist():
        hard_state = replica.persisted_hard_state = replica.hard_state()
    batch = Ready(
        hard_state=hard_state,
        snapshot=replica.unpersisted_snapshot,
        restore_snapshot=replica.restore_pending,
        truncate_from=replica.truncated_from,
        entries=tuple(replica.log.entries_between(replica.stable_index + 1, replica.log.last_index)),
        messages=tuple(replica.outbox),
        committed=committed,
        confirmed_reads=confirmed_reads,
        lost_reads=replication.pop_lost_reads(),
    )
    replica.stable_index = replica.log.last_index
    replica.unpersisted_snapshot, replica.restore_pending, replica.truncated_from = None, False, None
    replica.outbox.clear()
    return batch
