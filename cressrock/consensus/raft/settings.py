"""Times and bounds of one replica's Raft."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Times in milliseconds and bounds of one replica; the same at all replicas of a group.

    `election_ms` must be well above `heartbeat_ms` plus the slowest round trip and disk write between
    replicas: below it, leaders lose their lead on a calm day; above it, only a leader's death costs more
    time.
    """

    election_ms: float = 1000.0  # drawn anew in [election, 2 election) each time
    heartbeat_ms: float = 150.0  # several a term, so that one lost datagram or slow write topples nobody
    # So long after a leader's message nobody else is voted for; None: election_ms.
    leader_stickiness_ms: float | None = None
    # So long after its quorum's last answer a leader leads; None: election_ms.
    leader_lease_ms: float | None = None
    pre_vote: bool = True
    max_append_entries: int = 256  # entries in one AppendEntries
    max_append_bytes: int = 256 * 1024  # bytes of entries' data in one AppendEntries (one entry always fits)
    max_entry_bytes: int = 64 * 1024  # bytes of one proposal
    max_inflight_appends: int = 32  # AppendEntries with entries on their way to one replica
    max_uncommitted_bytes: int = 4 * 1024 * 1024  # bytes proposed and not committed; more is refused as busy
    max_apply_entries: int = 1024  # committed entries in one Ready
    snapshot_chunk_bytes: int = 64 * 1024  # bytes of a snapshot in one message
    max_snapshot_bytes: int = 64 * 1024 * 1024  # a larger one is not accepted
    # Messages waiting for the disk; beyond it the oldest are lost, as on a wire.
    max_outbox_messages: int = 1024
    max_pending_reads: int = 1024  # reads waiting for their round
    max_learners: int = 4  # learners to which a leader replicates beside the voters
    max_learner_lag: int = 64  # entries that a learner may lack when it becomes a voter
    learner_timeout_elections: float = 10.0  # a learner silent for so many election_ms is dropped

    def __post_init__(self) -> None:
        """Refuse values that cannot work (ValueError)."""
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
            raise ValueError("a bound below one")

    @property
    def effective_stickiness_ms(self) -> float:
        """How long a leader's message keeps others from being voted for."""
        return self.election_ms if self.leader_stickiness_ms is None else self.leader_stickiness_ms

    @property
    def effective_lease_ms(self) -> float:
        """How long a quorum's answer lets a leader lead."""
        return self.election_ms if self.leader_lease_ms is None else self.leader_lease_ms
