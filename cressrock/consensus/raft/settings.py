"""Timing and size limits of a Raft replica."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Timing in milliseconds and limits of a replica; they must be the same at all replicas of a group.

    `election_ms` must be well above `heartbeat_ms` plus the slowest round trip between replicas: if it is
    too low, leaders are deposed without any fault; a higher value only lengthens the failover after a leader
    has failed.  A replica whose disk writes slowly lengthens it for itself (`write_times`).
    """

    election_ms: float = 1000.0  # deadlines are random in [election_ms, 2 * election_ms)
    heartbeat_ms: float = 150.0  # so that one lost datagram or slow write deposes no leader
    # How long after a message from the leader votes for others are refused; None: election_ms.
    leader_stickiness_ms: float | None = None
    # How long a leader leads after the last round that a quorum answered; None: election_ms.
    leader_lease_ms: float | None = None
    pre_vote: bool = True
    max_append_entries: int = 256  # entries per AppendEntries
    max_append_bytes: int = 256 * 1024  # entry data per AppendEntries; one entry always fits
    max_entry_bytes: int = 64 * 1024  # data of one proposal
    max_inflight_appends: int = 32  # AppendEntries with entries in flight, per replica
    max_uncommitted_bytes: int = 4 * 1024 * 1024  # proposed and not committed; more raises ConsensusBusyError
    max_apply_entries: int = 1024  # committed entries per Ready
    snapshot_chunk_bytes: int = 64 * 1024  # snapshot bytes per message
    max_snapshot_bytes: int = 64 * 1024 * 1024  # larger snapshots are refused
    # Messages waiting for the disk; beyond it the oldest are dropped, as a network may do.
    max_outbox_messages: int = 1024
    max_pending_reads: int = 1024  # reads waiting for confirmation
    max_learners: int = 4  # learners that a leader replicates to, besides the voters
    max_learner_lag: int = 64  # entries that a learner may lack to become a voter
    learner_timeout_elections: float = 10.0  # a learner without contact for this many election_ms is dropped

    def __post_init__(self) -> None:
        """Raise ValueError for values that cannot work."""
        if not 0 < self.heartbeat_ms <= self.election_ms / 2:
            raise ValueError("heartbeat_ms must be above 0 and at most half of election_ms")
        bounds = (
            self.max_append_entries,
            self.max_inflight_appends,
            self.snapshot_chunk_bytes,
            self.max_outbox_messages,
            self.max_apply_entries,
        )
        if min(bounds) < 1:
            raise ValueError("append, in-flight, chunk, outbox and apply limits must be at least 1")

    @property
    def effective_stickiness_ms(self) -> float:
        """How long after a message from the leader votes for others are refused, in milliseconds."""
        return self.election_ms if self.leader_stickiness_ms is None else self.leader_stickiness_ms

    @property
    def effective_lease_ms(self) -> float:
        """How long a leader leads after the last round that a quorum answered began, in milliseconds."""
        return self.election_ms if self.leader_lease_ms is None else self.leader_lease_ms
