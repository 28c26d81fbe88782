"""One replica's Raft, after Ongaro, *Consensus: Bridging Theory and Practice* (2014); pure.

In the manner of etcd's raft library: time and messages are stepped in, a batch (`Ready`) is taken out, and
the caller owes its order: persist, then send, then apply.  Chapters are of the dissertation: pre-vote 9.6,
check-quorum and stickiness to a leader 6.2 and 4.2.3, voters changed one at a time 4.1 to 4.3 with the
correction of 2015 (no change before an entry of the leader's own term is committed), snapshots in chunks 5,
leadership transfer 3.10, read index 6.4, backtracking by the term in conflict (5.3 of Ongaro and Ousterhout,
*In Search of an Understandable Consensus Algorithm*, 2014).

Safety depends on no clock: what was voted, logged and committed is right however wrong times are, and a read
is confirmed by a round of answers begun after it came.  Clocks decide only who campaigns when, and when a
leader whose quorum is silent gives up by itself.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import ClassVar, Self

from cressrock.consensus.raft.batching import has_batch, take_batch
from cressrock.consensus.raft.elections import Election
from cressrock.consensus.raft.follower import Follower
from cressrock.consensus.raft.log import RaftLog
from cressrock.consensus.raft.membership_change import add_voter, check_may_change, remove_voter
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
from cressrock.consensus.raft.state import FOREVER, ReplicaState, Role
from cressrock.errors.consensus import (
    ConsensusBusyError,
    LogDivergedError,
    MembershipChangeRefusedError,
    NotLeaderError,
)


class RaftNode:
    """One replica: routes time and messages to its parts, and changes its role.

    `replication_type` is what the model checker replaces by one that is broken on purpose.
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
        """`stored` is the store's content: `initial_state(voters)` for a new group, else `StoredState()`."""
        self.replica = ReplicaState(name, stored, settings, random_source, now_ms)
        self.replication = self.replication_type(self.replica)
        self._election = Election(self.replica)
        self._follower = Follower(self.replica)
        self._batch_outstanding = False

    # --- what may be read

    @property
    def name(self) -> str:
        """This replica's identity."""
        return self.replica.name

    @property
    def role(self) -> Role:
        """What this replica is."""
        replica = self.replica
        if replica.role is Role.FOLLOWER and replica.name not in replica.log.voters:
            return Role.LEARNER
        return replica.role

    @property
    def term(self) -> int:
        """The current term."""
        return self.replica.term

    @property
    def voted_for(self) -> str:
        """Who has this replica's vote in the current term; "" for nobody."""
        return self.replica.voted_for

    @property
    def generation(self) -> int:
        """The group's generation, see `HardState`."""
        return self.replica.generation

    @property
    def leader(self) -> str:
        """Who leads the current term as far as this replica knows; "" if unknown."""
        return self.replica.leader

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters by the latest entry that names them, committed or not."""
        return self.replica.log.voters

    @property
    def log(self) -> RaftLog:
        """The entries after the snapshot; to be read only."""
        return self.replica.log

    @property
    def snapshot(self) -> Snapshot | None:
        """The latest snapshot."""
        return self.replica.snapshot

    @property
    def commit(self) -> int:
        """The newest index known as committed."""
        return self.replica.commit

    @property
    def applied(self) -> int:
        """The newest index handed out to be applied."""
        return self.replica.applied

    @property
    def progress(self) -> dict[str, Progress]:
        """What a leader knows of the others; to be read only."""
        return self.replication.progress

    @property
    def outbox(self) -> deque[tuple[str, RaftMessage]]:
        """Messages that wait for the next batch; to be read only."""
        return self.replica.outbox

    @property
    def drop_counts(self) -> Counter[str]:
        """What was dropped, by reason."""
        return self.replica.drop_counts

    @property
    def excluded_reason(self) -> str:
        """Why the group no longer knows this replica; "" while it does."""
        return self.replica.excluded_reason

    # --- time

    def next_deadline_ms(self) -> float:
        """Return when `tick` is due next, in milliseconds."""
        replica = self.replica
        if replica.role is not Role.LEADER:
            return replica.deadline_ms if replica.may_campaign() else FOREVER
        return min(replica.deadline_ms, self.replication.lease_expires_at_ms())

    def tick(self, now_ms: float) -> None:
        """Let time pass: campaign, send heartbeats, or give up the lead."""
        replica = self.replica
        self._advance_clock(now_ms)
        if replica.now_ms < replica.deadline_ms:
            return
        if replica.role is Role.LEADER:
            self.replication.broadcast_heartbeat()
        elif replica.may_campaign():
            self.campaign(replica.now_ms)
        else:
            replica.draw_election_deadline()

    def _advance_clock(self, now_ms: float) -> None:
        """Pass time; a leader that was stopped beyond its lease leads no more, before all else."""
        replica = self.replica
        replica.advance_clock(now_ms)
        if replica.role is Role.LEADER and self.replication.lease_expires_at_ms() <= replica.now_ms:
            replica.drop_counts["quorum_lost"] += 1
            self._become_follower(replica.term, "")

    # --- what a leader is asked

    def _check_leads(self, now_ms: float) -> None:
        self._advance_clock(now_ms)
        replica, target = self.replica, self.replication.transfer_target
        if replica.role is not Role.LEADER:
            raise NotLeaderError(f"{replica.name} does not lead the council", replica.leader)
        if target:
            raise NotLeaderError(f"{replica.name} hands the lead to {target}", target)

    def propose(self, now_ms: float, data: bytes) -> int:
        """Append a command to the log and return its index; it may be lost until it comes out committed.

        Raises NotLeaderError, also when this replica led but cannot know by its own clock that it still does,
        and ConsensusBusyError.
        """
        self._check_leads(now_ms)
        settings, uncommitted_bytes = self.replica.settings, self.replication.uncommitted_bytes
        if len(data) > settings.max_entry_bytes:
            raise ConsensusBusyError(
                f"a proposal of {len(data)} bytes, at most {settings.max_entry_bytes} are taken"
            )
        if uncommitted_bytes + len(data) > settings.max_uncommitted_bytes:
            raise ConsensusBusyError(
                f"{uncommitted_bytes} bytes wait to be decided, {settings.max_uncommitted_bytes} may"
            )
        return self.replication.append("command", data)

    def change_voters(self, now_ms: float, *, add: str = "", remove: str = "") -> int:
        """Add or remove one voter and return the entry's index; exactly one of the two is named.

        Raises NotLeaderError; MembershipChangeRefusedError while another change is under way, before an entry
        of this term is committed (the correction of 2015), or as long as the one to add lacks more than
        `max_learner_lag` entries: it is caught up from now on (4.2.1), and the caller asks again.
        """
        self._check_leads(now_ms)
        if bool(add) == bool(remove):
            raise MembershipChangeRefusedError("exactly one seat is put in or out at a time")
        check_may_change(self.replication)
        return add_voter(self.replication, add) if add else remove_voter(self.replication, remove)

    def transfer_leadership(self, now_ms: float, target: str) -> None:
        """Hand the lead to another voter: it gets all entries, then campaigns; no proposals meanwhile."""
        self._check_leads(now_ms)
        if target == self.name or target not in self.voters:
            raise MembershipChangeRefusedError(f"{target} is no other seat")
        self.replication.start_transfer(target)

    def read_index(self, now_ms: float, token: ReadToken) -> None:
        """Ask for a linearizable read; `Ready.confirmed_reads` has it when a quorum has confirmed this
        leader.

        `Ready.lost_reads` has it if the lead is lost before.  Raises NotLeaderError, ConsensusBusyError.
        """
        self._check_leads(now_ms)
        self.replication.request_read(token)

    def broadcast_heartbeat(self) -> None:
        """Begin a heartbeat round now; only for a leader."""
        self.replication.broadcast_heartbeat()

    # --- batches

    def has_ready(self) -> bool:
        """Whether `ready` would give anything."""
        return has_batch(self.replication)

    def ready(self) -> Ready:
        """Take out a batch; only one is out at a time (ValueError)."""
        if self._batch_outstanding:
            raise ValueError("the batch before was not advanced")
        if self.replica.role is Role.LEADER:
            self._complete_sending()
        self._batch_outstanding = True
        return take_batch(self.replication)

    def _complete_sending(self) -> None:
        """Put everything that a leader may say now into the outbox."""
        replication = self.replication
        if replication.round_requested:
            replication.broadcast_heartbeat()
        replication.send_pending()
        if replication.advance_commit():
            self._become_follower(self.term, "")
        replication.send_pending()

    def advance(self, ready: Ready) -> None:
        """`ready` was persisted, sent and applied."""
        self._batch_outstanding = False

    def compact(self, index: int, data: bytes) -> None:
        """Replace all entries up to `index` (applied) by the state machine's snapshot there.

        Raises ConsensusBusyError if it is larger than other replicas would accept; the log stays as it is.
        """
        replica, max_bytes = self.replica, self.replica.settings.max_snapshot_bytes
        if index <= replica.log.snapshot_index:
            return
        if len(data) > max_bytes:
            raise ConsensusBusyError(f"a snapshot of {len(data)} bytes, {max_bytes} are taken in")
        term = replica.log.term_at(index)
        if term is None or index > replica.applied:
            raise ValueError(f"entry {index} is not applied (up to {replica.applied})")
        replica.snapshot = Snapshot(index, term, replica.log.voters_at(index), data)
        replica.log.start_after(replica.snapshot)
        replica.unpersisted_snapshot = replica.snapshot

    # --- changes of role

    def campaign(self, now_ms: float, *, transfer: bool = False) -> None:
        """Campaign for the lead now, after a pre-vote unless the leader itself asked for it."""
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
            replica.draw_election_deadline()

    # --- messages

    def receive(self, now_ms: float, sender: str, message: RaftMessage) -> None:
        """Take a message of another replica.  Raises LogDivergedError, upon which this one must stop."""
        self._advance_clock(now_ms)
        replica = self.replica
        if sender == replica.name or not self._accept_generation(sender, message):
            return
        if message.term > replica.term and not self._accept_newer_term(sender, message):
            return
        if message.term < replica.term and not isinstance(message, PreVote | PreVoteReply):
            self._answer_older_term(sender, message)
            return
        self._handle(sender, message)

    def _accept_generation(self, sender: str, message: RaftMessage) -> bool:
        """Whether the message is of our generation; a replica without one adopts the first that it hears."""
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
                f"{sender} is of generation {message.generation} of the council, {replica.name} of"
                f" {replica.generation}: the council was forced anew without this seat"
            )
            self._become_follower(replica.term, "")
        elif not isinstance(message, StaleGeneration):
            reason = f"generation {message.generation} of the council is over, {replica.generation} holds"
            replica.send(
                sender, StaleGeneration(generation=replica.generation, term=replica.term, reason=reason)
            )
        return False

    def _accept_newer_term(self, sender: str, message: RaftMessage) -> bool:
        """Adopt a newer term; return whether the message is to be handled."""
        if isinstance(message, PreVote):
            return True  # asks what would be, and changes nobody's term
        if isinstance(message, RequestVote) and not message.transfer and self._leader_is_alive():
            self.drop_counts["sticky"] += 1
            return False
        is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
        self._become_follower(message.term, sender if is_from_leader else "")
        return True

    def _answer_older_term(self, sender: str, message: RaftMessage) -> None:
        """Tell an old leader or candidate of the newer term; an old answer says nothing."""
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
                self._follow(sender)
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
                self._follow(sender)
                self._follower.on_snapshot(sender, message)
            case InstallSnapshotReply():
                must_step_down = self.replication.on_snapshot_reply(sender, message)
            case TimeoutNow():
                if sender == self.leader:
                    self.campaign(self.replica.now_ms, transfer=True)
        if must_step_down:
            self._become_follower(self.term, "")

    def _follow(self, sender: str) -> None:
        """Follow the leader of this term."""
        replica = self.replica
        if replica.role is Role.LEADER or replica.leader not in ("", sender):
            raise LogDivergedError(f"{sender} leads term {replica.term}, and so does {replica.leader}")
        self._become_follower(replica.term, sender)
        replica.leader_heard_at_ms = replica.now_ms

    def _leader_is_alive(self) -> bool:
        """Whether a leader was heard so lately that nobody else is voted for (4.2.3)."""
        replica, stickiness_ms = self.replica, self.replica.settings.effective_stickiness_ms
        if replica.role is Role.LEADER:
            return replica.now_ms < self.replication.quorum_acked_at_ms() + stickiness_ms
        return bool(replica.leader) and replica.now_ms < replica.leader_heard_at_ms + stickiness_ms

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
        """Return an independent node in the same state; the source of randomness is shared."""
        other = self.__class__.__new__(self.__class__)
        other.replica = self.replica.clone()
        other.replication = self.replication.clone(other.replica)
        other._election = self._election.clone(other.replica)
        other._follower = self._follower.clone(other.replica)
        other._batch_outstanding = self._batch_outstanding
        return other

    def key(self) -> tuple[object, ...]:
        """Return all that decides what this node does when clocks decide nothing."""
        return (self.replica.key(), self._election.key(), self.replication.key(), self._follower.key())
