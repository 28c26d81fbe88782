"""The leader's work: replication, heartbeat rounds, commit index, read index and leadership transfer."""

from __future__ import annotations

from collections import deque

from cressrock.consensus.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    LogEntry,
    TimeoutNow,
)
from cressrock.consensus.raft.progress import NEVER_MS, Progress, ProgressState, quorum_value
from cressrock.consensus.raft.ready import ConfirmedRead, ReadToken
from cressrock.consensus.raft.state import ReplicaState, Role
from cressrock.errors.consensus import ConsensusBusyError, MembershipChangeRefusedError

MAX_TRACKED_ROUNDS = 1024  # heartbeat rounds whose start times are kept


class Replication:
    """The state and work of a leader; idle in every other role."""

    __slots__ = (
        "replica", "progress", "round", "round_starts", "round_requested", "transfer_target",
        "transfer_deadline_ms",
        "first_index_of_term", "uncommitted_bytes", "pending_reads", "lost_reads",
    )  # fmt: skip

    def __init__(self, replica: ReplicaState) -> None:
        """Start idle, with no progress tracked."""
        self.replica = replica
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_starts: deque[tuple[int, float]] = deque()  # round number and start time in ms
        self.round_requested = False
        self.transfer_target, self.transfer_deadline_ms = "", NEVER_MS
        self.first_index_of_term = 0
        self.uncommitted_bytes = 0
        self.pending_reads: deque[tuple[ReadToken, int, int]] = deque()  # token, read index, required round
        self.lost_reads: list[ReadToken] = []

    def start(self, granting_voters: set[str], campaign_started_at_ms: float) -> None:
        """Start leading: append an empty entry of the new term and send a heartbeat to every voter."""
        replica = self.replica
        self.progress = {}
        self.round = 0
        for voter in replica.log.voters:
            if voter != replica.name:
                self.progress[voter] = Progress(
                    next_index=replica.log.last_index + 1,
                    acked_at_ms=campaign_started_at_ms if voter in granting_voters else NEVER_MS,
                    tracked_since_ms=replica.now_ms,
                )
        uncommitted = replica.log.entries_between(replica.commit + 1, replica.log.last_index)
        self.uncommitted_bytes = sum(len(entry.data) for entry in uncommitted)
        self.first_index_of_term = self.append("empty", b"")
        self.broadcast_heartbeat()

    def stop(self) -> None:
        """Stop leading; unconfirmed reads become lost reads."""
        self.progress, self.transfer_target = {}, ""
        self.round_starts.clear()
        self.round_requested = False
        self.lost_reads += [token for token, _, _ in self.pending_reads]
        self.pending_reads.clear()

    # --- the quorum

    def quorum_acked_at_ms(self) -> float:
        """Return the start time in ms of the latest round that a quorum has acknowledged."""
        replica = self.replica
        name, now_ms, progress = replica.name, replica.now_ms, self.progress
        return quorum_value(
            [now_ms if voter == name else progress[voter].acked_at_ms for voter in replica.log.voters]
        )

    def lease_expires_at_ms(self) -> float:
        """Return when the lease expires, in ms; it runs from the start of the last acknowledged round."""
        return self.quorum_acked_at_ms() + self._lease_ms()

    def _lease_ms(self) -> float:
        return self.replica.settings.effective_lease_ms * self.replica.slowdown()

    def _record_ack(self, sender: str, acked_round: int) -> Progress | None:
        """Record that `sender` acknowledged a round; return its progress, None if the reply is unusable."""
        peer = self.progress.get(sender)
        if self.replica.role is not Role.LEADER or peer is None or acked_round > self.round:
            return None
        if acked_round > peer.acked_round:
            peer.acked_round = acked_round
            for number, started_at_ms in self.round_starts:
                if number == acked_round:
                    peer.acked_at_ms = max(peer.acked_at_ms, started_at_ms)
                    break
        return peer

    # --- the log

    def append(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry in the current term and return its index."""
        replica = self.replica
        entry = LogEntry(replica.term, replica.log.last_index + 1, kind, data)
        replica.log.append(entry)
        self.uncommitted_bytes += len(data)
        if kind == "seats":
            for voter in replica.log.voters:
                if voter != replica.name and voter not in self.progress:
                    self.progress[voter] = Progress(
                        next_index=replica.log.last_index, tracked_since_ms=replica.now_ms
                    )
        return entry.index

    def has_committed_in_own_term(self) -> bool:
        """Whether the commit index points to an entry of the leader's own term."""
        return self.replica.log.term_at(self.replica.commit) == self.replica.term

    def may_commit(self, index: int) -> bool:
        """Whether counting replicas may commit `index`: only if it is of the leader's own term (3.6.2)."""
        return self.replica.log.term_at(index) == self.replica.term

    def advance_commit(self) -> bool:
        """Advance the commit index to what a majority has.

        Returns whether this removed the leader from the voters; it must then step down.
        """
        replica = self.replica
        name, last_index, progress = replica.name, replica.log.last_index, self.progress
        matches = [
            last_index if voter == name else progress[voter].match_index for voter in replica.log.voters
        ]
        index = int(quorum_value(matches))
        if index <= replica.commit or not self.may_commit(index):
            return False
        committed = replica.log.entries_between(replica.commit + 1, index)
        self.uncommitted_bytes -= sum(len(entry.data) for entry in committed)
        replica.commit = index
        if replica.name in replica.log.voters or replica.log.voters_index > replica.commit:
            return False
        # Send the commit index to the others, then have the voter with the highest match campaign at once.
        self.send_pending()
        successor = max(replica.log.voters, key=lambda voter: (self.progress[voter].match_index, voter))
        replica.send(successor, TimeoutNow(generation=replica.generation, term=replica.term))
        return True

    # --- learners and transfer

    def track_learner(self, name: str) -> Progress:
        """Start replicating to a replica that is to become a voter (4.2.1), if not done yet.

        Raises MembershipChangeRefusedError if there are `max_learners` already.
        """
        replica = self.replica
        if name not in self.progress:
            learners = len(self.progress) - len(replica.log.voters) + 1
            if learners >= replica.settings.max_learners:
                raise MembershipChangeRefusedError(
                    f"already catching up {replica.settings.max_learners} learners, the limit; retry later"
                )
            self.progress[name] = Progress(
                next_index=replica.log.last_index + 1, tracked_since_ms=replica.now_ms
            )
        return self.progress[name]

    def _should_stop_tracking(self, name: str, peer: Progress) -> bool:
        """Whether to stop replicating to a non-voter: it knows of its removal, or has timed out."""
        if name in self.replica.log.voters:
            return False
        settings = self.replica.settings
        timeout_ms = settings.learner_timeout_elections * settings.election_ms
        knows_of_removal = 0 < peer.removal_index <= min(peer.match_index, peer.sent_commit)
        last_contact_ms = max(peer.acked_at_ms, peer.tracked_since_ms)
        return knows_of_removal or last_contact_ms + timeout_ms < self.replica.now_ms

    def start_transfer(self, target: str) -> None:
        """Transfer leadership to `target` once it has all entries; gives up after `election_ms`."""
        replica = self.replica
        self.transfer_target = target
        self.transfer_deadline_ms = replica.now_ms + replica.settings.election_ms
        self._continue_transfer()

    def _continue_transfer(self) -> None:
        replica = self.replica
        peer = self.progress.get(self.transfer_target)
        if peer is not None and peer.match_index == replica.log.last_index:
            replica.send(self.transfer_target, TimeoutNow(generation=replica.generation, term=replica.term))

    # --- reads

    def request_read(self, token: ReadToken) -> None:
        """Queue a read to be confirmed by a round that starts from now on (6.4).

        Raises ConsensusBusyError if `max_pending_reads` are queued.
        """
        if len(self.pending_reads) >= self.replica.settings.max_pending_reads:
            raise ConsensusBusyError(f"{len(self.pending_reads)} reads are pending, the limit; retry later")
        # Everything earlier leaders committed precedes our first entry, even if our commit index is behind.
        index = max(self.replica.commit, self.first_index_of_term)
        self.pending_reads.append((token, index, self.round + 1))
        self.round_requested = True

    def is_read_confirmed(self) -> bool:
        """Whether a quorum acknowledged the oldest read's round and its read index is applied."""
        replica = self.replica
        if not self.pending_reads or replica.role is not Role.LEADER:
            return False
        _, index, required_round = self.pending_reads[0]
        acked_rounds = [
            self.round if voter == replica.name else self.progress[voter].acked_round
            for voter in replica.log.voters
        ]
        return required_round <= quorum_value(acked_rounds) and index <= replica.applied

    def pop_confirmed_reads(self) -> tuple[ConfirmedRead, ...]:
        """Remove and return the reads that may be answered now."""
        confirmed = []
        while self.is_read_confirmed():
            token, index, _ = self.pending_reads.popleft()
            confirmed.append(ConfirmedRead(token, index))
        return tuple(confirmed)

    def pop_lost_reads(self) -> tuple[ReadToken, ...]:
        """Remove and return the reads that were pending when leadership was lost."""
        lost, self.lost_reads = tuple(self.lost_reads), []
        return lost

    # --- sending

    def broadcast_heartbeat(self) -> None:
        """Start a round: send each tracked replica an AppendEntries, or a snapshot chunk if one is due.

        A replica at the in-flight limit gets an AppendEntries without entries.  Replicas that need no more
        replication are no longer tracked.
        """
        replica = self.replica
        self._begin_round()
        replica.deadline_ms = replica.now_ms + replica.settings.heartbeat_ms
        if self.transfer_target and replica.now_ms >= self.transfer_deadline_ms:
            self.transfer_target = ""
        self._continue_transfer()
        for name, peer in list(self.progress.items()):
            if self._should_stop_tracking(name, peer):
                del self.progress[name]
                continue
            peer.probe_sent = False
            if peer.state is ProgressState.SNAPSHOT:
                if peer.chunk_sent_at_ms + replica.settings.heartbeat_ms <= replica.now_ms:
                    self._send_chunk(name, peer)
            else:
                may_send = len(peer.inflight_last_indexes) < replica.settings.max_inflight_appends
                self._send_append(name, peer, peer.state is ProgressState.PROBE or may_send)

    def _begin_round(self) -> None:
        replica = self.replica
        self.round_requested = False
        self.round += 1
        self.round_starts.append((self.round, replica.now_ms))
        # Acknowledging a round older than the lease does not renew it.
        while self.round_starts[0][1] + 2 * self._lease_ms() < replica.now_ms:
            self.round_starts.popleft()
        while len(self.round_starts) > MAX_TRACKED_ROUNDS:
            self.round_starts.popleft()

    def has_pending(self) -> bool:
        """Whether `send_pending` would send at least one message."""
        replica = self.replica
        last_index, max_inflight = replica.log.last_index, replica.settings.max_inflight_appends
        for peer in self.progress.values():
            if peer.state is ProgressState.STREAM:
                if peer.sent_commit < replica.commit or peer.may_send_entries(last_index, max_inflight):
                    return True
            elif peer.state is ProgressState.PROBE and not peer.probe_sent:
                return True
        return False

    def send_pending(self) -> None:
        """Queue the entries and commit indexes that may be sent to each replica now."""
        replica = self.replica
        last_index, max_inflight = replica.log.last_index, replica.settings.max_inflight_appends
        for name, peer in self.progress.items():
            if peer.state is ProgressState.PROBE and not peer.probe_sent:
                self._send_append(name, peer, True)
            while peer.may_send_entries(last_index, max_inflight):
                self._send_append(name, peer, True)
            if peer.state is ProgressState.STREAM and peer.sent_commit < replica.commit:
                self._send_append(name, peer, False)

    def _send_append(self, name: str, peer: Progress, with_entries: bool) -> None:
        replica = self.replica
        previous_index = peer.next_index - 1
        previous_term = replica.log.term_at(previous_index)
        if previous_term is None:
            peer.send_snapshot(replica.snapshot)
            self._send_chunk(name, peer)
            return
        entries: tuple[LogEntry, ...] = ()
        if with_entries:
            entries = replica.log.batch_from(
                peer.next_index, replica.settings.max_append_entries, replica.settings.max_append_bytes
            )
        replica.send(name, AppendEntries(
            generation=replica.generation, term=replica.term, previous_index=previous_index,
            previous_term=previous_term, entries=entries, commit=replica.commit, round=self.round,
        ))  # fmt: skip
        peer.sent_commit = replica.commit
        if peer.state is ProgressState.PROBE:
            peer.probe_sent = True
        elif entries:
            peer.next_index += len(entries)
            peer.inflight_last_indexes.append(peer.next_index - 1)

    def _send_chunk(self, name: str, peer: Progress) -> None:
        replica, snapshot = self.replica, peer.snapshot
        if snapshot is None:
            raise ValueError(
                f"{name} needs entries before {replica.log.snapshot_index}, but there is no snapshot to send"
            )
        offset = peer.snapshot_offset
        peer.chunk_sent_at_ms = replica.now_ms
        replica.send(name, InstallSnapshot(
            generation=replica.generation, term=replica.term, index=snapshot.index,
            index_term=snapshot.term, voters=snapshot.voters, offset=offset, size=len(snapshot.data),
            data=snapshot.data[offset : offset + replica.settings.snapshot_chunk_bytes], round=self.round,
        ))  # fmt: skip

    # --- replies

    def on_append_reply(self, sender: str, message: AppendEntriesReply) -> bool:
        """Handle a reply; return whether this leader must step down (see `advance_commit`)."""
        peer = self._record_ack(sender, message.round)
        if peer is None:
            return False
        if message.accepted:
            return self._on_accepted(peer, message.match)
        self._on_conflict(peer, message)
        return False

    def _on_accepted(self, peer: Progress, match_index: int) -> bool:
        if match_index > self.replica.log.last_index:
            self.replica.drop_counts["malformed"] += 1
            return False
        is_new = peer.record_match(match_index)
        if peer.state is ProgressState.PROBE and match_index >= peer.next_index - 1:
            peer.state, peer.probe_sent = ProgressState.STREAM, False
        elif peer.state is ProgressState.SNAPSHOT and peer.snapshot and match_index >= peer.snapshot.index:
            peer.probe(peer.match_index + 1)
        if not is_new:
            return False
        if self.advance_commit():
            return True
        self._continue_transfer()
        return False

    def _on_conflict(self, peer: Progress, message: AppendEntriesReply) -> None:
        """Move the next index back to where the logs may agree, by the conflicting term (5.3)."""
        if peer.state is ProgressState.SNAPSHOT or message.previous_index <= peer.match_index:
            return  # reply to an earlier message; the replica has since reported having these entries
        if peer.state is ProgressState.PROBE and message.previous_index != peer.next_index - 1:
            return
        next_index = message.conflict_index
        if message.conflict_term:
            log = self.replica.log
            next_index = log.last_index_of_term(message.conflict_term, message.previous_index) + 1
            if next_index == 1:
                next_index = message.conflict_index
        peer.probe(max(peer.match_index + 1, min(next_index, message.previous_index)))

    def on_snapshot_reply(self, sender: str, message: InstallSnapshotReply) -> bool:
        """Handle a reply; return whether this leader must step down (see `advance_commit`)."""
        peer = self._record_ack(sender, message.round)
        if peer is None or peer.snapshot is None or peer.snapshot.index != message.index:
            return False
        if message.done:
            peer.record_match(message.index)
            peer.probe(peer.match_index + 1)
            return self.advance_commit()
        if peer.snapshot_offset < message.offset <= len(peer.snapshot.data):
            peer.snapshot_offset = message.offset
            self._send_chunk(sender, peer)
        else:
            # The receiver restarted the transfer; the next round resumes at its offset.
            peer.snapshot_offset = min(peer.snapshot_offset, message.offset)
        return False

    def clone(self, replica: ReplicaState) -> Replication:
        """Return an independent copy that uses `replica`, a copy of the state."""
        other = self.__class__.__new__(self.__class__)
        for name in Replication.__slots__:
            setattr(other, name, getattr(self, name))
        other.replica = replica
        other.progress = {name: peer.clone() for name, peer in self.progress.items()}
        other.round_starts, other.pending_reads = deque(self.round_starts), deque(self.pending_reads)
        other.lost_reads = self.lost_reads[:]
        return other

    def key(self) -> tuple[object, ...]:
        """Return the state that determines its behaviour, timing aside, for the model checker's hash."""
        return (
            tuple((name, peer.key()) for name, peer in sorted(self.progress.items())), self.round,
            self.first_index_of_term, self.transfer_target, tuple(self.pending_reads),
        )  # fmt: skip
