"""The Raft state machine of one replica, after Ongaro, *Consensus: Bridging Theory and Practice* (2014).

It performs no input or output.  As in etcd's raft library, the caller passes in time and messages and takes
out batches (`Ready`), each of which it must persist, then send, then apply.  Chapter numbers refer to the
dissertation: pre-vote 9.6, check-quorum and leader stickiness 6.2 and 4.2.3, single-server membership changes
4.1 to 4.3 with the correction of 2015 (no change before an entry of the leader's own term is committed),
chunked snapshots 5, leadership transfer 3.10, read index 6.4.  Backtracking by conflicting term is from 5.3
of Ongaro and Ousterhout, *In Search of an Understandable Consensus Algorithm* (2014).

Safety does not depend on clocks: votes, log and commits stay correct however wrong the clocks are, and a read
is confirmed by a heartbeat round that began after the read was requested.  Clocks only decide when a replica
campaigns, and when a leader that gets no answers from its quorum steps down; both later on a slow disk.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import ClassVar, Self

from cressrock.consensus.raft.batching import has_batch, take_batch
from cressrock.consensus.raft.elections import Election
from cressrock.consensus.raft.follower import Follower
from cressrock.consensus.raft.log import RaftLog
from cressrock.consensus.raft.membership_change import add_voter, check_change_allowed, remove_voter
from cressrock.consensus.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    PreVote,
    PreVoteReply,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    StaleGeneration,
    TimeoutNow,
)
from cressrock.consensus.raft.persistent_state import Snapshot, StoredState
from cressrock.consensus.raft.progress import Progress
from cressrock.consensus.raft.ready import ReadToken, Ready
from cressrock.consensus.raft.replication import Replication
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.raft.state import FOREVER_MS, ReplicaState, Role
from cressrock.errors.consensus import (
    ConsensusBusyError,
    LogDivergedError,
    MembershipChangeRefusedError,
    NotLeaderError,
)


class RaftNode:
    """One replica: passes time and messages to its components and makes its role changes.

    The model checker overrides `replication_type` with deliberately broken implementations.
    """

    __slots__ = ("replica", "replication", "_election", "_follower", "_batch_outstanding")

    replication_type: ClassVar[type[Replication]] = Replication

    def __init__(
        self,
        name: str,
        stored: StoredState,
        settings: RaftSettings,
        random_source: random.Random,
        now_ms: float,
    ) -> None:
        """Start from `stored`, the content of the replica's store.

        For an empty store it is `initial_state(voters)` in a new group, `StoredState()` in an existing one.
        """
        self.replica = ReplicaState(name, stored, settings, random_source, now_ms)
        self.replication = self.replication_type(self.replica)
        self._election = Election(self.replica)
        self._follower = Follower(self.replica)
        self._batch_outstanding = False

    # --- state of this replica

    @property
    def name(self) -> str:
        """This replica's name within the group."""
        return self.replica.name

    @property
    def role(self) -> Role:
        """The current role; a follower that is not a voter is a learner."""
        replica = self.replica
        if replica.role is Role.FOLLOWER and replica.name not in replica.log.voters:
            return Role.LEARNER
        return replica.role

    @property
    def term(self) -> int:
        """The latest term that this replica has seen."""
        return self.replica.term

    @property
    def voted_for(self) -> str:
        """The candidate voted for in the current term; "" if none."""
        return self.replica.voted_for

    @property
    def generation(self) -> int:
        """The generation of the group; see `HardState`."""
        return self.replica.generation

    @property
    def leader(self) -> str:
        """The leader of the current term; "" if this replica does not know it."""
        return self.replica.leader

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters according to the latest membership entry, committed or not."""
        return self.replica.log.voters

    @property
    def log(self) -> RaftLog:
        """The entries after the snapshot; callers must not modify it."""
        return self.replica.log

    @property
    def snapshot(self) -> Snapshot | None:
        """The latest snapshot."""
        return self.replica.snapshot

    @property
    def commit(self) -> int:
        """The highest index known to be committed."""
        return self.replica.commit

    @property
    def applied(self) -> int:
        """The highest index handed out in a batch to be applied."""
        return self.replica.applied

    @property
    def progress(self) -> dict[str, Progress]:
        """The leader's replication progress by replica name; callers must not modify it."""
        return self.replication.progress

    @property
    def outbox(self) -> deque[tuple[str, RaftMessage]]:
        """Receivers and messages queued for the next batch; callers must not modify it."""
        return self.replica.outbox

    @property
    def drop_counts(self) -> Counter[str]:
        """How many messages were dropped and leaderships lost, by reason."""
        return self.replica.drop_counts

    @property
    def excluded_reason(self) -> str:
        """Why the group has excluded this replica; "" if it has not."""
        return self.replica.excluded_reason

    # --- time

    def next_deadline_ms(self) -> float:
        """Return the time of the next due `tick` in milliseconds; infinity if none is due."""
        replica = self.replica
        if replica.role is not Role.LEADER:
            return replica.deadline_ms if replica.may_campaign() else FOREVER_MS
        return min(replica.deadline_ms, self.replication.lease_expires_at_ms())

    def tick(self, now_ms: float) -> None:
        """Advance the clock; if a deadline has passed, campaign, send heartbeats or step down."""
        replica = self.replica
        self._advance_clock(now_ms)
        if replica.now_ms < replica.deadline_ms:
            return
        if replica.role is Role.LEADER:
            self.replication.broadcast_heartbeat()
        elif replica.may_campaign():
            self.campaign(replica.now_ms)
        else:
            replica.reset_election_deadline()

    def _advance_clock(self, now_ms: float) -> None:
        """Advance the clock; a leader whose lease has expired steps down before anything else happens."""
        replica = self.replica
        replica.advance_clock(now_ms)
        if replica.role is Role.LEADER and self.replication.lease_expires_at_ms() <= replica.now_ms:
            replica.drop_counts["quorum_lost"] += 1
            self._become_follower(replica.term, "")

    # --- requests to the leader

    def _check_is_leader(self, now_ms: float) -> None:
        self._advance_clock(now_ms)
        replica, target = self.replica, self.replication.transfer_target
        if replica.role is not Role.LEADER:
            raise NotLeaderError(f"{replica.name} is not the leader of the consensus group", replica.leader)
        if target:
            raise NotLeaderError(f"{replica.name} is transferring leadership to {target}", target)

    def propose(self, now_ms: float, data: bytes) -> int:
        """Append a command to the log and return its index.

        The entry may still be lost until a batch returns it as committed.  Raises NotLeaderError, also if
        this replica was the leader and its lease has expired by its own clock, and ConsensusBusyError if the
        proposal or the uncommitted entries would be too large.
        """
        self._check_is_leader(now_ms)
        settings, uncommitted_bytes = self.replica.settings, self.replication.uncommitted_bytes
        if len(data) > settings.max_entry_bytes:
            raise ConsensusBusyError(
                f"proposal of {len(data)} bytes exceeds the limit of {settings.max_entry_bytes} bytes"
            )
        if uncommitted_bytes + len(data) > settings.max_uncommitted_bytes:
            raise ConsensusBusyError(
                f"{uncommitted_bytes} bytes are uncommitted; the limit is {settings.max_uncommitted_bytes}"
            )
        return self.replication.append("command", data)

    def change_voters(self, now_ms: float, *, add: str = "", remove: str = "") -> int:
        """Append an entry that adds or removes one voter and return its index; name exactly one of the two.

        Raises NotLeaderError.  Raises MembershipChangeRefusedError while another change is uncommitted,
        before an entry of this term is committed (the correction of 2015), or while the replica to add lacks
        more than `max_learner_lag` entries: the first call starts replication to it as a learner (4.2.1), and
        the caller retries.
        """
        self._check_is_leader(now_ms)
        if bool(add) == bool(remove):
            raise MembershipChangeRefusedError("a membership change must add or remove exactly one voter")
        check_change_allowed(self.replication)
        return add_voter(self.replication, add) if add else remove_voter(self.replication, remove)

    def transfer_leadership(self, now_ms: float, target: str) -> None:
        """Transfer leadership to another voter, which campaigns once it has all entries.

        Proposals are refused until the transfer has ended.  Raises NotLeaderError, and
        MembershipChangeRefusedError if `target` is not another voter.
        """
        self._check_is_leader(now_ms)
        if target == self.name or target not in self.voters:
            raise MembershipChangeRefusedError(f"cannot transfer leadership to {target}: not another voter")
        self.replication.start_transfer(target)

    def read_index(self, now_ms: float, token: ReadToken) -> None:
        """Request a linearizable read; `Ready.confirmed_reads` has `token` once a quorum has confirmed this
        leader.

        `Ready.lost_reads` has it if leadership is lost before that.  Raises NotLeaderError, and
        ConsensusBusyError if too many reads are pending.
        """
        self._check_is_leader(now_ms)
        self.replication.request_read(token)

    def broadcast_heartbeat(self) -> None:
        """Start a heartbeat round now; only a leader may call this."""
        self.replication.broadcast_heartbeat()

    # --- batches

    def has_ready(self) -> bool:
        """Whether `ready` would return a non-empty batch."""
        return has_batch(self.replication)

    def ready(self) -> Ready:
        """Take out the next batch; ValueError if `advance` was not called for the previous one."""
        if self._batch_outstanding:
            raise ValueError("the previous batch was not advanced; call advance() before ready()")
        if self.replica.role is Role.LEADER:
            self._queue_pending_messages()
        self._batch_outstanding = True
        return take_batch(self.replication)

    def _queue_pending_messages(self) -> None:
        """Queue every message that a leader may send now."""
        replication = self.replication
        if replication.round_requested:
            replication.broadcast_heartbeat()
        replication.send_pending()
        if replication.advance_commit():
            self._become_follower(self.term, "")
        replication.send_pending()

    def record_write(self, write_ms: float, now_ms: float) -> None:
        """Record how long a batch took to persist: slow writes lengthen this replica's timeouts."""
        self.replica.write_times.record(write_ms, now_ms)

    def advance(self, ready: Ready) -> None:
        """Confirm that `ready` was persisted, sent and applied."""
        self._batch_outstanding = False

    def compact(self, index: int, data: bytes) -> None:
        """Replace the entries up to `index` with `data`, the state machine's snapshot at `index`.

        Raises ConsensusBusyError if the snapshot is larger than other replicas would accept, and ValueError
        if `index` has not been applied; the log is unchanged in both cases.
        """
        replica, max_bytes = self.replica, self.replica.settings.max_snapshot_bytes
        if index <= replica.log.snapshot_index:
            return
        if len(data) > max_bytes:
            raise ConsensusBusyError(f"snapshot of {len(data)} bytes exceeds the limit of {max_bytes} bytes")
        term = replica.log.term_at(index)
        if term is None or index > replica.applied:
            raise ValueError(f"cannot compact at entry {index}: applied only up to {replica.applied}")
        replica.snapshot = Snapshot(index, term, replica.log.voters_at(index), data)
        replica.log.start_after(replica.snapshot)
        replica.unpersisted_snapshot = replica.snapshot

    # --- role changes

    def campaign(self, now_ms: float, *, transfer: bool = False) -> None:
        """Start a campaign now, with a pre-vote unless the leader requested it (`transfer`)."""
        replica = self.replica
        replica.advance_clock(now_ms)
        if not replica.may_campaign() or replica.role is Role.LEADER:
            return
        self._election.begin_campaign()
        if replica.settings.pre_vote and not transfer:
            self._election.request_pre_votes()
            if self._election.is_won():
                self._request_votes(transfer=False)
        else:
            self._request_votes(transfer)

    def _request_votes(self, transfer: bool) -> None:
        self._election.request_votes(transfer)
        if self._election.is_won():
            self._become_leader()

    def _become_leader(self) -> None:
        replica, election = self.replica, self._election
        replica.role, replica.leader = Role.LEADER, replica.name
        self.replication.start(election.votes_granted, election.started_at_ms)
        election.reset()

    def _become_follower(self, term: int, leader: str) -> None:
        replica = self.replica
        was_leader = replica.role is Role.LEADER
        if term > replica.term:
            replica.term, replica.voted_for = term, ""
        replica.role, replica.leader = Role.FOLLOWER, leader
        self.replication.stop()
        self._election.reset()
        if was_leader or leader:
            replica.reset_election_deadline()

    # --- messages

    def receive(self, now_ms: float, sender: str, message: RaftMessage) -> None:
        """Handle a message from another replica.  On LogDivergedError this replica must be stopped."""
        self._advance_clock(now_ms)
        replica = self.replica
        if sender == replica.name or not self._accept_generation(sender, message):
            return
        if message.term > replica.term and not self._accept_newer_term(sender, message):
            return
        if message.term < replica.term and not isinstance(message, PreVote | PreVoteReply):
            self._reply_to_older_term(sender, message)
            return
        self._handle(sender, message)

    def _accept_generation(self, sender: str, message: RaftMessage) -> bool:
        """Whether the message has our generation; a replica without one adopts the first it receives."""
        replica = self.replica
        if message.generation == replica.generation and not isinstance(message, StaleGeneration):
            return True
        if replica.generation == 0 and message.generation and not isinstance(message, StaleGeneration):
            replica.generation = message.generation
        if message.generation == replica.generation:
            return not isinstance(message, StaleGeneration)
        replica.drop_counts["generation"] += 1
        if message.generation > replica.generation:
            replica.excluded_reason = (
                f"{sender} is in generation {message.generation} of the group, {replica.name} in"
                f" {replica.generation}: the group was forcibly re-formed without this replica"
            )
            self._become_follower(replica.term, "")
        elif not isinstance(message, StaleGeneration):
            reason = f"generation {message.generation} of the group was replaced by {replica.generation}"
            replica.send(
                sender, StaleGeneration(generation=replica.generation, term=replica.term, reason=reason)
            )
        return False

    def _accept_newer_term(self, sender: str, message: RaftMessage) -> bool:
        """Adopt a newer term; return whether to handle the message."""
        if isinstance(message, PreVote):
            return True  # a pre-vote does not change the term
        if isinstance(message, RequestVote) and not message.transfer and self._leader_is_alive():
            self.drop_counts["sticky"] += 1
            return False
        is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
        self._become_follower(message.term, sender if is_from_leader else "")
        return True

    def _reply_to_older_term(self, sender: str, message: RaftMessage) -> None:
        """Reply with the current term to an outdated leader or candidate; drop outdated replies."""
        replica = self.replica
        generation, term = replica.generation, replica.term
        if isinstance(message, AppendEntries | InstallSnapshot):
            replica.send(sender, AppendEntriesReply(generation=generation, term=term, accepted=False))
        elif isinstance(message, RequestVote):
            replica.send(sender, RequestVoteReply(generation=generation, term=term, granted=False))
        else:
            replica.drop_counts["old_term"] += 1

    def _handle(self, sender: str, message: RaftMessage) -> None:
        must_step_down = False
        match message:
            case AppendEntries():
                self._follow_leader(sender)
                self._follower.on_append(sender, message)
            case AppendEntriesReply():
                must_step_down = self.replication.on_append_reply(sender, message)
            case PreVote():
                self._election.answer_pre_vote(sender, message, leader_is_alive=self._leader_is_alive())
            case PreVoteReply():
                if self.replica.role is Role.PRE_CANDIDATE and message.next_term == self.term + 1:
                    self._count_vote(sender, message.granted)
            case RequestVote():
                self._election.answer_vote(sender, message)
            case RequestVoteReply():
                if self.replica.role is Role.CANDIDATE:
                    self._count_vote(sender, message.granted)
            case InstallSnapshot():
                self._follow_leader(sender)
                self._follower.on_snapshot(sender, message)
            case InstallSnapshotReply():
                must_step_down = self.replication.on_snapshot_reply(sender, message)
            case TimeoutNow():
                if sender == self.leader:
                    self.campaign(self.replica.now_ms, transfer=True)
        if must_step_down:
            self._become_follower(self.term, "")

    def _follow_leader(self, sender: str) -> None:
        """Accept `sender` as the leader of this term; LogDivergedError if another one is known."""
        replica = self.replica
        if replica.role is Role.LEADER or replica.leader not in ("", sender):
            raise LogDivergedError(
                f"{sender} acts as leader of term {replica.term}, whose leader is {replica.leader}"
            )
        self._become_follower(replica.term, sender)
        replica.last_leader_contact_ms = replica.now_ms

    def _leader_is_alive(self) -> bool:
        """Whether contact with a leader is recent enough that votes for others are refused (4.2.3)."""
        replica = self.replica
        stickiness_ms = replica.settings.effective_stickiness_ms * replica.slowdown()
        if replica.role is Role.LEADER:
            return replica.now_ms < self.replication.quorum_acked_at_ms() + stickiness_ms
        return bool(replica.leader) and replica.now_ms < replica.last_leader_contact_ms + stickiness_ms

    def _count_vote(self, sender: str, granted: bool) -> None:
        if sender not in self.voters:
            return
        self._election.record_vote(sender, granted)
        if self._election.is_won():
            if self.replica.role is Role.PRE_CANDIDATE:
                self._request_votes(transfer=False)
            else:
                self._become_leader()
        elif self._election.is_lost():
            self._become_follower(self.term, "")

    # --- for the model checker

    def clone(self) -> Self:
        """Return an independent copy; only the random number generator is shared."""
        other = self.__class__.__new__(self.__class__)
        other.replica = self.replica.clone()
        other.replication = self.replication.clone(other.replica)
        other._election = self._election.clone(other.replica)
        other._follower = self._follower.clone(other.replica)
        other._batch_outstanding = self._batch_outstanding
        return other

    def key(self) -> tuple[object, ...]:
        """Return the state that determines this node's behaviour, timing aside."""
        return (self.replica.key(), self._election.key(), self.replication.key(), self._follower.key())
