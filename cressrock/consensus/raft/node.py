"""One seat of the council: Raft, after Ongaro, *Consensus: Bridging Theory and Practice* (2014).  Pure.

In the manner of etcd's raft library: time and messages are stepped in, a batch (`Ready`) is taken out, and
the caller owes its order: keep, then send, then apply.  Chapters are of the dissertation: pre-vote 9.6,
check-quorum and stickiness to a leader 6.2 and 4.2.3, seats changed one at a time 4.1 to 4.3 with the
correction of 2015 (no change before an entry of the leader's own term is committed), snapshots in pieces 5,
transfer of the lead 3.10, read index 6.4, backtracking by the term in conflict (5.3 of Ongaro and Ousterhout,
*In Search of an Understandable Consensus Algorithm*, 2014).

Safety leans on no clock: what was voted, logged and committed is right however wrong times are, and a read is
confirmed by a round of answers begun after it came.  Clocks decide only who stands when, and when a leader
whose quorum is silent gives up by itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.consensus.raft import messages as m
from cressrock.consensus.raft.core import FOREVER, Role
from cressrock.consensus.raft.follower import Following
from cressrock.consensus.raft.log import HardState, Snapshot, StoredState, force_single_voter, initial_state
from cressrock.consensus.raft.messages import LogEntry, RaftMessage
from cressrock.consensus.raft.progress import ConfirmedRead, RaftSettings
from cressrock.consensus.raft.replication import Leading
from cressrock.errors.consensus import ConsensusBusyError, MembershipChangeRefusedError

__all__ = [
    "LogEntry",
    "HardState",
    "ConfirmedRead",
    "Ready",
    "Role",
    "RaftNode",
    "Snapshot",
    "StoredState",
    "RaftSettings",
    "initial_state",
    "force_single_voter",
]


@dataclass(frozen=True, slots=True)
class Ready:
    """A batch of what a caller owes, in this order.

    1. Keep durably, in one transaction: `hard`; `snapshot` (and drop entries up to its index); drop entries
       from `truncate_from` on; put `entries` at the end.  If that fails the seat is to be thrown away, with
       the batch, and made anew from what the store has: nothing of the batch was said.
    2. Send `messages`.  Losing, repeating or reordering them is allowed.
    3. If `restore`: replace the state machine by `snapshot`.  Apply `committed`, answer `reads`, tell those
       who asked for `lost_reads` to ask again.
    4. `Seat.advance(ready)`.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore_snapshot: bool = False
    truncate_from: int | None = None
    entries: tuple[LogEntry, ...] = ()
    messages: tuple[tuple[str, RaftMessage], ...] = ()
    committed: tuple[LogEntry, ...] = ()
    confirmed_reads: tuple[ConfirmedRead, ...] = ()
    lost_reads: tuple[int | str, ...] = ()

    @property
    def must_persist(self) -> bool:
        """Whether anything is to be written."""
        return bool(self.hard_state or self.snapshot or self.entries or self.truncate_from is not None)


class RaftNode(Leading, Following):
    """One seat.  Made from what its store has; see `Core` for what may be read of it."""

    __slots__ = ()

    # What a caller does

    def next_deadline_ms(self) -> float:
        """Return when `tick` is due next, in milliseconds."""
        if self.state is not Role.LEADER:
            return self.deadline_ms if self._may_stand() else FOREVER
        return min(self.deadline_ms, self._fresh_until())

    def has_ready(self) -> bool:
        """Whether `ready` would give anything."""
        return bool(
            self.outbox
            or self.lost_reads
            or self.unpersisted_snapshot
            or self.truncated_from is not None
            or self.stable_index < self.log.last_index
            or self._hard_news()
            or self.applied < self.commit
            or (self.state is Role.LEADER and (self.round_wanted or self._read_due() or self._has_news()))
        )

    def tick(self, now_ms: float) -> None:
        """Let time pass: stand, send heartbeats, or give up the lead."""
        self._clock(now_ms)
        if self.now_ms < self.deadline_ms:
            return
        if self.state is Role.LEADER:
            self.broadcast_heartbeat()
        elif self._may_stand():
            self.campaign(self.now_ms)
        else:
            self._draw(self.now_ms)

    def propose(self, now_ms: float, data: bytes) -> int:
        """Put a command into the log and return its index; it may yet be lost until it comes out committed.

        Raises `NotLeader`, also when this seat led but cannot know by its own clock that it still does, and
        `CouncilBusy`.
        """
        self._must_lead(now_ms)
        if len(data) > self.settings.max_entry_bytes:
            raise ConsensusBusyError(
                f"a proposal of {len(data)} bytes, at most {self.settings.max_entry_bytes} are taken"
            )
        if self.uncommitted_bytes + len(data) > self.settings.max_uncommitted_bytes:
            raise ConsensusBusyError(
                f"{self.uncommitted_bytes} bytes wait to be decided, {self.settings.max_uncommitted_bytes} may"
            )
        return self._append("command", data)

    def change_voters(self, now_ms: float, *, add: str = "", remove: str = "") -> int:
        """Put one seat in or one out and return the entry's index; exactly one of the two is named.

        Raises `NotLeader`; `SeatsRefused` while another change is under way, before an entry of this
        term is committed (the correction of 2015), or as long as the one to add lacks more than
        `max_behind` entries: it is taught from now on (4.2.1), and the caller asks again.
        """
        self._must_lead(now_ms)
        seats = self.log.voters
        if bool(add) == bool(remove):
            raise MembershipChangeRefusedError("exactly one seat is put in or out at a time")
        if self.log.voters_index > self.commit:
            raise MembershipChangeRefusedError(
                f"the change at entry {self.log.voters_index} is not committed yet"
            )
        if not self._own_term_committed():
            raise MembershipChangeRefusedError(f"no entry of term {self.term} is committed yet")
        if add:
            if add in seats or len(seats) >= m.MAX_VOTERS:
                raise MembershipChangeRefusedError(
                    f"{add} is a seat already, or there are {m.MAX_VOTERS} of them"
                )
            self._teach(add)
            peer = self.progress[add]
            behind = self.log.last_index - peer.match_index
            if (
                behind > self.settings.max_learner_lag
                or peer.acked_at_ms + self.settings.election_ms <= self.now_ms
            ):
                raise MembershipChangeRefusedError(
                    f"{add} lacks {behind} entries or is not heard from; it is being taught"
                )
            return self._append("seats", m.encode_voters(tuple(sorted((*seats, add)))))
        if remove not in seats or len(seats) == 1:
            raise MembershipChangeRefusedError(f"{remove} is no seat, or the last one")
        index = self._append("seats", m.encode_voters(tuple(name for name in seats if name != remove)))
        if remove in self.progress:
            self.progress[remove].removal_index = index
        return index

    def transfer_leadership(self, now_ms: float, target: str) -> None:
        """Hand the lead to another seat: it gets all entries, then stands at once; no proposals meanwhile."""
        self._must_lead(now_ms)
        if target == self.name or target not in self.log.voters:
            raise MembershipChangeRefusedError(f"{target} is no other seat")
        self.transfer_target, self.transfer_deadline_ms = target, self.now_ms + self.settings.election_ms
        self._try_transfer()

    def read_index(self, now_ms: float, token: int | str) -> None:
        """Ask for a linearizable read: `Ready.reads` has it when a quorum has confirmed this leader since.

        `Ready.lost_reads` has it if the lead is lost before.  Raises `NotLeader`, `CouncilBusy`.
        """
        self._must_lead(now_ms)
        if len(self.pending_reads) >= self.settings.max_pending_reads:
            raise ConsensusBusyError(f"{len(self.pending_reads)} reads wait")
        # All that earlier leaders committed lies below our own first entry, even if we do not know it yet.
        self.pending_reads.append((token, max(self.commit, self.first_index_of_term), self.round + 1))
        self.round_wanted = True

    def compact(self, index: int, data: bytes) -> None:
        """Replace all entries up to `index` (applied) by the state machine's snapshot there.

        Raises `CouncilBusy` if it is larger than other seats would take in; the log then stays as it is.
        """
        if index <= self.log.snapshot_index:
            return
        if len(data) > self.settings.max_snapshot_bytes:
            raise ConsensusBusyError(
                f"a snapshot of {len(data)} bytes, {self.settings.max_snapshot_bytes} are taken in"
            )
        term = self.log.term_at(index)
        if term is None or index > self.applied:
            raise ValueError(f"entry {index} is not applied (up to {self.applied})")
        self.snapshot = Snapshot(index, term, self.log.voters_at(index), data)
        self.log.start_after(self.snapshot)
        self.unpersisted_snapshot = self.snapshot

    def ready(self) -> Ready:
        """Take out a batch; only one is out at a time (ValueError)."""
        if self.batch_outstanding:
            raise ValueError("the batch before was not advanced")
        if self.state is Role.LEADER:
            if self.round_wanted:
                self.broadcast_heartbeat()
            self._flush()
            self._advance_commit()
            self._flush()
        end = min(self.commit, self.applied + self.settings.max_apply_entries)
        committed = tuple(self.log.entries_between(self.applied + 1, end))
        self.applied = max(self.applied, end)
        reads = []
        while self._read_due():
            token, index, _ = self.pending_reads.popleft()
            reads.append(ConfirmedRead(token, index))
        entries = tuple(self.log.entries_between(self.stable_index + 1, self.log.last_index))
        hard = None
        if self._hard_news() or entries or self.unpersisted_snapshot or self.truncated_from is not None:
            hard = HardState(self.term, self.voted_for, self.commit, self.generation)
            self.persisted_hard_state = hard
        batch = Ready(
            hard,
            self.unpersisted_snapshot,
            self.restore_pending,
            self.truncated_from,
            entries,
            tuple(self.outbox),
            committed,
            tuple(reads),
            tuple(self.lost_reads),
        )
        self.stable_index = self.log.last_index
        self.unpersisted_snapshot, self.restore_pending, self.truncated_from = None, False, None
        self.outbox.clear()
        self.lost_reads = []
        self.batch_outstanding = True
        return batch

    def advance(self, ready: Ready) -> None:
        """`ready` was kept, sent and applied."""
        self.batch_outstanding = False

    def campaign(self, now_ms: float, *, transfer: bool = False) -> None:
        """Stand for the lead now, after a pre-vote unless the leader itself asked for it."""
        self.now_ms = max(self.now_ms, now_ms)
        if not self._may_stand() or self.state is Role.LEADER:
            return
        self.leader, self.votes_granted, self.votes_rejected = "", {self.name}, set()
        self.campaign_started_at_ms = self.now_ms
        self._draw(self.now_ms)
        others = [name for name in self.log.voters if name != self.name]
        if self.settings.pre_vote and not transfer:
            self.state = Role.PRE_CANDIDATE
            for name in others:
                self._send(
                    name,
                    m.PreVote(
                        generation=self.generation,
                        term=self.term,
                        next_term=self.term + 1,
                        last_index=self.log.last_index,
                        last_term=self.log.last_term,
                    ),
                )
            if self._elected():
                self._stand(False)
        else:
            self._stand(transfer)

    def receive(self, now_ms: float, sender: str, message: RaftMessage) -> None:
        """Take a message of another seat.  Raises `CouncilDiverged`, upon which this seat must stop."""
        self._clock(now_ms)
        if sender == self.name or not self._same_council(sender, message):
            return
        if message.term > self.term and not self._follow_term(sender, message):
            return
        if message.term < self.term and not isinstance(message, m.PreVote | m.PreVoteReply):
            # An old leader or candidate learns the newer term from the answer; an old answer says nothing.
            if isinstance(message, m.AppendEntries | m.InstallSnapshot):
                self._send(
                    sender, m.AppendEntriesReply(generation=self.generation, term=self.term, accepted=False)
                )
            elif isinstance(message, m.RequestVote):
                self._send(
                    sender, m.RequestVoteReply(generation=self.generation, term=self.term, granted=False)
                )
            else:
                self.drop_counts["old_term"] += 1
            return
        match message:
            case m.AppendEntries():
                self._on_append(sender, message)
            case m.AppendEntriesReply():
                self._on_append_reply(sender, message)
            case m.PreVote():
                self._on_pre_vote(sender, message)
            case m.PreVoteReply():
                if self.state is Role.PRE_CANDIDATE and message.next_term == self.term + 1:
                    self._tally(sender, message.granted)
            case m.RequestVote():
                self._on_vote(sender, message)
            case m.RequestVoteReply():
                if self.state is Role.CANDIDATE:
                    self._tally(sender, message.granted)
            case m.InstallSnapshot():
                self._on_snapshot(sender, message)
            case m.InstallSnapshotReply():
                self._on_snapshot_reply(sender, message)
            case m.TimeoutNow():
                if sender == self.leader:
                    self.campaign(self.now_ms, transfer=True)

    # Elections

    def _on_pre_vote(self, sender: str, message: m.PreVote) -> None:
        granted = (
            message.next_term > self.term
            and not self._sticky()
            and (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        )
        self._send(
            sender,
            m.PreVoteReply(
                generation=self.generation,
                term=self.term,
                next_term=message.next_term,
                granted=granted,
            ),
        )

    def _on_vote(self, sender: str, message: m.RequestVote) -> None:
        granted = (
            (self.voted_for == sender or (not self.voted_for and not self.leader))
            and self.state is not Role.LEADER
            and (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        )
        if granted:
            self.voted_for = sender
            self._draw(self.now_ms)
        self._send(sender, m.RequestVoteReply(generation=self.generation, term=self.term, granted=granted))

    def _tally(self, sender: str, granted: bool) -> None:
        if sender not in self.log.voters:
            return
        (self.votes_granted if granted else self.votes_rejected).add(sender)
        if self._elected():
            if self.state is Role.PRE_CANDIDATE:
                self._stand(False)
            else:
                self._become_leader()
        elif len(self.votes_rejected) > len(self.log.voters) // 2:
            self._become_follower(self.term, "")

    def _elected(self) -> bool:
        return 2 * len(self.votes_granted) > len(self.log.voters)

    def _stand(self, transfer: bool) -> None:
        self.state = Role.CANDIDATE
        self.term += 1
        self.voted_for = self.name
        self.votes_granted, self.votes_rejected = {self.name}, set()
        self.campaign_started_at_ms = self.now_ms
        self._draw(self.now_ms)
        for name in self.log.voters:
            if name != self.name:
                self._send(
                    name,
                    m.RequestVote(
                        generation=self.generation,
                        term=self.term,
                        last_index=self.log.last_index,
                        last_term=self.log.last_term,
                        transfer=transfer,
                    ),
                )
        if self._elected():
            self._become_leader()
