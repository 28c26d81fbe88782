"""What every seat keeps and does, whatever its part: terms, time, generations, what waits for the disk.

Pure.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from enum import Enum
from typing import Self

from cressrock.consensus.raft import messages as m
from cressrock.consensus.raft.log import RaftLog, Snapshot, StoredState
from cressrock.consensus.raft.messages import RaftMessage
from cressrock.consensus.raft.progress import NEVER, Progress, RaftSettings, quorum_value

FOREVER = float("inf")


class Role(Enum):
    """What a seat is at the moment; a learner has no say and never stands."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # pre-vote: would I be elected?
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftCore:
    """The state of one seat.

    `counts` tells what was dropped and why, `turned_away` why the council no longer knows this seat.
    """

    __slots__ = (
        "name",
        "settings",
        "random_source",
        "now_ms",
        "generation",
        "term",
        "voted_for",
        "commit",
        "log",
        "snapshot",
        "state",
        "leader",
        "leader_heard_at_ms",
        "deadline_ms",
        "votes_granted",
        "votes_rejected",
        "campaign_started_at_ms",
        "progress",
        "round",
        "rounds",
        "transfer_target",
        "transfer_deadline_ms",
        "first_index_of_term",
        "uncommitted_bytes",
        "pending_reads",
        "lost_reads",
        "outbox",
        "round_wanted",
        "persisted_hard_state",
        "stable_index",
        "truncated_from",
        "unpersisted_snapshot",
        "restore_pending",
        "applied",
        "batch_outstanding",
        "snapshot_buffer",
        "snapshot_transfer",
        "excluded_reason",
        "drop_counts",
    )

    def __init__(
        self,
        name: str,
        stored: StoredState,
        settings: RaftSettings,
        random_source: random.Random,
        now_ms: float,
    ) -> None:
        """`stored` is the store's content, or `first(seats)` for a new council, `Stored()` for a new seat."""
        self.name, self.settings, self.random_source, self.now_ms = name, settings, random_source, now_ms
        hard = stored.hard_state
        self.generation, self.term, self.voted_for = hard.generation, hard.term, hard.voted_for
        self.snapshot = stored.snapshot
        self.log = RaftLog(stored.snapshot, stored.entries)
        self.commit = max(self.log.snapshot_index, min(hard.commit, self.log.last_index))
        self.applied = self.log.snapshot_index  # handed out to the state machine
        self.persisted_hard_state = hard
        self.stable_index = self.log.last_index  # handed out to the store
        self.truncated_from: int | None = None
        self.unpersisted_snapshot: Snapshot | None = None
        self.restore_pending = False
        self.batch_outstanding = False
        self.state = Role.FOLLOWER
        self.leader = ""
        self.leader_heard_at_ms = NEVER
        self.deadline_ms = FOREVER
        self.votes_granted: set[str] = set()
        self.votes_rejected: set[str] = set()
        self.campaign_started_at_ms = NEVER
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.rounds: deque[tuple[int, float]] = deque()
        self.transfer_target, self.transfer_deadline_ms = "", NEVER
        self.first_index_of_term = 0
        self.uncommitted_bytes = 0  # bytes that a leader has not committed yet
        self.pending_reads: deque[tuple[int | str, int, int]] = deque()  # token, index, round it waits for
        self.lost_reads: list[int | str] = []
        self.outbox: deque[tuple[str, RaftMessage]] = deque()
        self.round_wanted = False
        self.snapshot_buffer = bytearray()
        self.snapshot_transfer: tuple[object, ...] = ()
        self.excluded_reason = ""
        self.drop_counts: Counter[str] = Counter()
        self._draw(now_ms)

    @property
    def role(self) -> Role:
        """What this seat is."""
        if self.state is Role.FOLLOWER and self.name not in self.log.voters:
            return Role.LEARNER
        return self.state

    @property
    def voters(self) -> tuple[str, ...]:
        """The seats by the latest entry that names them, committed or not."""
        return self.log.voters

    def _clock(self, now_ms: float) -> None:
        """Time never goes back here; a leader that slept beyond its lease leads no more, before all else."""
        self.now_ms = max(self.now_ms, now_ms)
        if self.state is Role.LEADER and self._fresh_until() <= self.now_ms:
            self.drop_counts["quorum_lost"] += 1
            self._become_follower(self.term, "")

    def _draw(self, now_ms: float) -> None:
        self.deadline_ms = now_ms + self.settings.election_ms * (1.0 + self.random_source.random())

    def _may_stand(self) -> bool:
        return self.name in self.log.voters and not self.excluded_reason

    def _quorum_ms(self) -> float:
        """When the round was begun that a quorum has answered last."""
        seats = self.log.voters
        acks = [self.now_ms if name == self.name else self.progress[name].acked_at_ms for name in seats]
        return quorum_value(acks)

    def _fresh_until(self) -> float:
        """Until when this leader may lead by what its quorum answered, counted from when it asked."""
        return self._quorum_ms() + self.settings.effective_lease_ms

    def _sticky(self) -> bool:
        """Whether a leader was heard so lately that nobody else is voted for (4.2.3)."""
        if self.state is Role.LEADER:
            return self.now_ms < self._quorum_ms() + self.settings.effective_stickiness_ms
        return (
            bool(self.leader)
            and self.now_ms < self.leader_heard_at_ms + self.settings.effective_stickiness_ms
        )

    def _become_follower(self, term: int, leader: str) -> None:
        was = self.state
        if term > self.term:
            self.term, self.voted_for = term, ""
        self.state, self.leader = Role.FOLLOWER, leader
        self.progress, self.transfer_target = {}, ""
        self.votes_granted, self.votes_rejected = set(), set()
        self.rounds.clear()
        self.round_wanted = False
        self.lost_reads += [token for token, _, _ in self.pending_reads]
        self.pending_reads.clear()
        if was is Role.LEADER or leader:
            self._draw(self.now_ms)

    def _same_council(self, sender: str, message: RaftMessage) -> bool:
        """Whether the message is of our generation; a seat without one takes that of the first it hears."""
        if self.generation == 0 and message.generation and not isinstance(message, m.StaleGeneration):
            self.generation = message.generation
        if message.generation == self.generation:
            return not isinstance(message, m.StaleGeneration)
        self.drop_counts["generation"] += 1
        if message.generation > self.generation:
            self.excluded_reason = (
                f"{sender} is of generation {message.generation} of the council, {self.name} of"
                f" {self.generation}: the council was forced anew without this seat"
            )
            self._become_follower(self.term, "")
        elif not isinstance(message, m.StaleGeneration):
            reason = f"generation {message.generation} of the council is over, {self.generation} holds"
            self._send(sender, m.StaleGeneration(generation=self.generation, term=self.term, reason=reason))
        return False

    def _follow_term(self, sender: str, message: RaftMessage) -> bool:
        """Take up a newer term; return whether the message is to be looked at."""
        if isinstance(message, m.PreVote):
            return True  # asks what would be, and moves nobody's term
        if isinstance(message, m.RequestVote) and not message.transfer and self._sticky():
            self.drop_counts["sticky"] += 1
            return False
        leads = isinstance(message, m.AppendEntries | m.InstallSnapshot)
        self._become_follower(message.term, sender if leads else "")
        return True

    def _send(self, to: str, message: RaftMessage) -> None:
        if len(self.outbox) >= self.settings.max_outbox_messages:
            self.drop_counts["outbox_full"] += 1
            self.outbox.popleft()
        self.outbox.append((to, message))

    def _hard_news(self) -> bool:
        """Term, vote or generation changed; a commit alone is kept with whatever is written next."""
        given = self.persisted_hard_state
        return (self.term, self.voted_for, self.generation) != (given.term, given.voted_for, given.generation)

    def clone(self) -> Self:
        """Return a seat of its own in the same state; the source of randomness is shared."""
        other = self.__class__.__new__(self.__class__)
        for name in RaftCore.__slots__:
            setattr(other, name, getattr(self, name))
        other.log = self.log.clone()
        other.progress = {name: peer.clone() for name, peer in self.progress.items()}
        other.votes_granted, other.votes_rejected = set(self.votes_granted), set(self.votes_rejected)
        other.rounds, other.pending_reads, other.outbox = (
            deque(self.rounds),
            deque(self.pending_reads),
            deque(self.outbox),
        )
        other.lost_reads, other.snapshot_buffer, other.drop_counts = (
            self.lost_reads[:],
            bytearray(self.snapshot_buffer),
            Counter(self.drop_counts),
        )
        return other

    def key(self) -> tuple[object, ...]:
        """Return all that decides what this seat does when clocks decide nothing; for an explorer's hash."""
        return (
            self.generation,
            self.term,
            self.voted_for,
            self.commit,
            self.applied,
            self.snapshot,
            tuple(self.log.entries),
            self.state,
            self.leader,
            frozenset(self.votes_granted),
            frozenset(self.votes_rejected),
            tuple((name, peer.key()) for name, peer in sorted(self.progress.items())),
            self.round,
            self.first_index_of_term,
            self.transfer_target,
            tuple(self.pending_reads),
            bytes(self.snapshot_buffer),
            self.snapshot_transfer,
            self.excluded_reason,
            self.stable_index,
            self.truncated_from,
        )
