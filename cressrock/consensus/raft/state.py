"""The state of a replica in every role: term, vote, log, clock, outbox and unpersisted changes."""

from __future__ import annotations

import random
from collections import Counter, deque
from enum import Enum

from cressrock.consensus.raft.log import RaftLog
from cressrock.consensus.raft.messages import RaftMessage
from cressrock.consensus.raft.persistent_state import HardState, Snapshot, StoredState
from cressrock.consensus.raft.progress import NEVER_MS
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.write_times import WriteTimes

FOREVER_MS = float("inf")


class Role(Enum):
    """The current role of a replica; a learner has no vote and never campaigns."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaState:
    """The state shared by elections, replication and follower handling.

    `role` is FOLLOWER for a learner too.  `drop_counts` counts dropped messages and lost leaderships by
    reason; `excluded_reason` says why the group has excluded this replica.
    """

    __slots__ = (
        "name", "settings", "random_source", "now_ms", "generation", "term", "voted_for", "commit", "log",
        "snapshot", "role", "leader", "last_leader_contact_ms", "deadline_ms", "outbox", "applied",
        "persisted_hard_state", "stable_index", "truncated_from", "unpersisted_snapshot", "restore_pending",
        "excluded_reason", "drop_counts", "write_times",
    )  # fmt: skip

    def __init__(
        self,
        name: str,
        stored: StoredState,
        settings: RaftSettings,
        random_source: random.Random,
        now_ms: float,
    ) -> None:
        """Start as a follower with the state loaded from the store."""
        self.name, self.settings, self.random_source, self.now_ms = name, settings, random_source, now_ms
        hard_state = stored.hard_state
        self.generation, self.term = hard_state.generation, hard_state.term
        self.voted_for = hard_state.voted_for
        self.snapshot = stored.snapshot
        self.log = RaftLog(stored.snapshot, stored.entries)
        self.commit = max(self.log.snapshot_index, min(hard_state.commit, self.log.last_index))
        self.applied = self.log.snapshot_index  # last entry handed out to the state machine
        self.persisted_hard_state = hard_state
        self.stable_index = self.log.last_index  # last entry handed out to the store
        self.truncated_from: int | None = None
        self.unpersisted_snapshot: Snapshot | None = None
        self.restore_pending = False
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact_ms = NEVER_MS
        self.deadline_ms = FOREVER_MS
        self.outbox: deque[tuple[str, RaftMessage]] = deque()
        self.excluded_reason = ""
        self.drop_counts: Counter[str] = Counter()
        self.write_times = WriteTimes()
        self.reset_election_deadline()

    def advance_clock(self, now_ms: float) -> None:
        """Set the current time; earlier times are ignored."""
        self.now_ms = max(self.now_ms, now_ms)

    def reset_election_deadline(self) -> None:
        """Set the election deadline to a random one to two `election_ms` from now, later on a slow disk."""
        election_ms = self.settings.election_ms * self.slowdown()
        self.deadline_ms = self.now_ms + election_ms * (1.0 + self.random_source.random())

    def slowdown(self) -> float:
        """Return the factor by which this replica's disk lengthens its timeouts."""
        return self.write_times.slowdown(self.settings.election_ms, self.now_ms)

    def may_campaign(self) -> bool:
        """Whether this replica is a voter and has not been excluded from the group."""
        return self.name in self.log.voters and not self.excluded_reason

    def send(self, receiver: str, message: RaftMessage) -> None:
        """Queue a message; a full outbox drops its oldest message."""
        if len(self.outbox) >= self.settings.max_outbox_messages:
            self.drop_counts["outbox_full"] += 1
            self.outbox.popleft()
        self.outbox.append((receiver, message))

    def hard_state(self) -> HardState:
        """Return the current term, vote, commit index and generation, to be persisted."""
        return HardState(self.term, self.voted_for, self.commit, self.generation)

    def hard_state_changed(self) -> bool:
        """Whether term, vote or generation changed; the commit index is only written with other changes."""
        persisted = self.persisted_hard_state
        return (
            self.term != persisted.term
            or self.voted_for != persisted.voted_for
            or self.generation != persisted.generation
        )

    def must_persist(self) -> bool:
        """Whether there are changes that have not been handed out to the store."""
        return bool(
            self.unpersisted_snapshot
            or self.truncated_from is not None
            or self.stable_index < self.log.last_index
            or self.hard_state_changed()
        )

    def record_truncation(self, start: int) -> None:
        """Make the next batch delete the store's entries from `start` on."""
        self.truncated_from = start if self.truncated_from is None else min(self.truncated_from, start)

    def clone(self) -> ReplicaState:
        """Return an independent copy; only the random number generator is shared."""
        other = ReplicaState.__new__(ReplicaState)
        for name in ReplicaState.__slots__:
            setattr(other, name, getattr(self, name))
        other.log = self.log.clone()
        other.write_times = self.write_times.clone()
        other.outbox, other.drop_counts = deque(self.outbox), Counter(self.drop_counts)
        return other

    def key(self) -> tuple[object, ...]:
        """Return the state that determines its behaviour, timing aside, for the model checker's hash."""
        return (
            self.generation, self.term, self.voted_for, self.commit, self.applied, self.snapshot,
            tuple(self.log.entries), self.role, self.leader, self.excluded_reason, self.stable_index,
            self.truncated_from,
        )  # fmt: skip
