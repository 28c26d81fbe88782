"""A seat's part as leader: log, peers, rounds, commits.  Pure."""

from __future__ import annotations

from cressrock.consensus.raft import messages as m
from cressrock.consensus.raft.core import RaftCore, Role
from cressrock.consensus.raft.messages import LogEntry
from cressrock.consensus.raft.progress import NEVER, Progress, quorum_value
from cressrock.errors.consensus import MembershipChangeRefusedError, NotLeaderError


class Leading(RaftCore):
    """What a leader does with its peers."""

    __slots__ = ()

    def _must_lead(self, now_ms: float) -> None:
        self._clock(now_ms)
        if self.state is not Role.LEADER:
            raise NotLeaderError(f"{self.name} does not lead the council", self.leader)
        if self.transfer_target:
            raise NotLeaderError(
                f"{self.name} hands the lead to {self.transfer_target}", self.transfer_target
            )

    def _become_leader(self) -> None:
        voters = self.votes_granted
        self.state, self.leader = Role.LEADER, self.name
        self.progress = {}
        self.round = 0
        for name in self.log.voters:
            if name != self.name:
                acked = self.campaign_started_at_ms if name in voters else NEVER
                self.progress[name] = Progress(
                    next_index=self.log.last_index + 1, acked_at_ms=acked, tracked_since_ms=self.now_ms
                )
        self.votes_granted, self.votes_rejected = set(), set()
        self.uncommitted_bytes = sum(
            len(entry.data) for entry in self.log.entries_between(self.commit + 1, self.log.last_index)
        )
        self.first_index_of_term = self._append("empty", b"")
        self.broadcast_heartbeat()

    def _append(self, kind: m.EntryKind, data: bytes) -> int:
        entry = LogEntry(self.term, self.log.last_index + 1, kind, data)
        self.log.append(entry)
        self.uncommitted_bytes += len(data)
        if kind == "seats":
            for name in self.log.voters:
                if name != self.name and name not in self.progress:
                    self.progress[name] = Progress(
                        next_index=self.log.last_index, tracked_since_ms=self.now_ms
                    )
        return entry.index

    def _own_term_committed(self) -> bool:
        return self.log.term_at(self.commit) == self.term

    def _may_commit(self, index: int) -> bool:
        """Only entries of the leader's own term are committed by counting (3.6.2)."""
        return self.log.term_at(index) == self.term

    def _advance_commit(self) -> None:
        matches = [
            self.log.last_index if name == self.name else self.progress[name].match_index
            for name in self.log.voters
        ]
        index = int(quorum_value(matches))
        if index <= self.commit or not self._may_commit(index):
            return
        self.uncommitted_bytes -= sum(
            len(entry.data) for entry in self.log.entries_between(self.commit + 1, index)
        )
        self.commit = index
        if self.name not in self.log.voters and self.log.voters_index <= self.commit:
            # We are out: tell the others that it is committed, ask the one that has most to stand, and rest.
            self._flush()
            best = max(self.log.voters, key=lambda name: (self.progress[name].match_index, name))
            self._send(best, m.TimeoutNow(generation=self.generation, term=self.term))
            self._become_follower(self.term, "")

    def _teach(self, name: str) -> None:
        if name in self.progress:
            return
        if len(self.progress) - len(self.log.voters) + 1 >= self.settings.max_learners:
            raise MembershipChangeRefusedError(
                f"{self.settings.max_learners} new seats are being taught already"
            )
        self.progress[name] = Progress(next_index=self.log.last_index + 1, tracked_since_ms=self.now_ms)

    def broadcast_heartbeat(self) -> None:
        """Begin a round: an Append or a piece to everyone, whatever is on its way."""
        self.round_wanted = False
        self.round += 1
        self.rounds.append((self.round, self.now_ms))
        while self.rounds[0][1] + 2 * self.settings.effective_lease_ms < self.now_ms:
            self.rounds.popleft()
        while len(self.rounds) > 1024:
            self.rounds.popleft()
        self.deadline_ms = self.now_ms + self.settings.heartbeat_ms
        if self.transfer_target and self.now_ms >= self.transfer_deadline_ms:
            self.transfer_target = ""
        self._try_transfer()
        silent = self.settings.learner_timeout_elections * self.settings.election_ms
        for name, peer in list(self.progress.items()):
            if name not in self.log.voters:
                knows = 0 < peer.removal_index <= min(peer.match_index, peer.sent_commit)
                if knows or max(peer.acked_at_ms, peer.tracked_since_ms) + silent < self.now_ms:
                    del self.progress[name]
                    continue
            peer.probe_sent = False
            if peer.state == "snapshot":
                if peer.chunk_sent_at_ms + self.settings.heartbeat_ms <= self.now_ms:
                    self._send_piece(name, peer)
            else:
                room = len(peer.inflight_last_indexes) < self.settings.max_inflight_appends
                self._send_append(name, peer, peer.state == "probe" or room)

    def _has_news(self) -> bool:
        """Whether `_flush` would send anything."""
        return any(
            (peer.state == "probe" and not peer.probe_sent)
            or (
                peer.state == "stream"
                and (
                    (
                        peer.next_index <= self.log.last_index
                        and len(peer.inflight_last_indexes) < self.settings.max_inflight_appends
                    )
                    or peer.sent_commit < self.commit
                )
            )
            for peer in self.progress.values()
        )

    def _flush(self) -> None:
        """Send what every peer may be sent now."""
        for name, peer in self.progress.items():
            if peer.state == "probe" and not peer.probe_sent:
                self._send_append(name, peer, True)
            while (
                peer.state == "stream"
                and peer.next_index <= self.log.last_index
                and len(peer.inflight_last_indexes) < self.settings.max_inflight_appends
            ):
                self._send_append(name, peer, True)
            if peer.state == "stream" and peer.sent_commit < self.commit:
                self._send_append(name, peer, False)

    def _send_append(self, name: str, peer: Progress, with_entries: bool) -> None:
        previous = peer.next_index - 1
        term = self.log.term_at(previous)
        if term is None:
            peer.state, peer.snapshot, peer.snapshot_offset = "snapshot", self.snapshot, 0
            peer.inflight_last_indexes.clear()
            self._send_piece(name, peer)
            return
        entries: tuple[LogEntry, ...] = ()
        if with_entries:
            entries = self.log.batch_from(
                peer.next_index, self.settings.max_append_entries, self.settings.max_append_bytes
            )
        self._send(
            name,
            m.AppendEntries(
                generation=self.generation,
                term=self.term,
                previous_index=previous,
                previous_term=term,
                entries=entries,
                commit=self.commit,
                round=self.round,
            ),
        )
        peer.sent_commit = self.commit
        if peer.state == "probe":
            peer.probe_sent = True
        elif entries:
            peer.next_index += len(entries)
            peer.inflight_last_indexes.append(peer.next_index - 1)

    def _send_piece(self, name: str, peer: Progress) -> None:
        snapshot = peer.snapshot
        assert snapshot is not None
        data = snapshot.data[peer.snapshot_offset : peer.snapshot_offset + self.settings.snapshot_chunk_bytes]
        peer.chunk_sent_at_ms = self.now_ms
        self._send(
            name,
            m.InstallSnapshot(
                generation=self.generation,
                term=self.term,
                index=snapshot.index,
                index_term=snapshot.term,
                seats=snapshot.voters,
                offset=peer.snapshot_offset,
                size=len(snapshot.data),
                data=data,
                round=self.round,
            ),
        )

    def _acked(self, sender: str, round_: int) -> Progress | None:
        """Note that a peer answered a round of ours: it heard us after that round began."""
        peer = self.progress.get(sender)
        if self.state is not Role.LEADER or peer is None or round_ > self.round:
            return None
        if round_ > peer.acked_round:
            peer.acked_round = round_
            for number, at in self.rounds:
                if number == round_:
                    peer.acked_at_ms = max(peer.acked_at_ms, at)
                    break
        return peer

    def _on_append_reply(self, sender: str, message: m.AppendEntriesReply) -> None:
        peer = self._acked(sender, message.round)
        if peer is None:
            return
        if message.accepted:
            if message.match > self.log.last_index:
                self.drop_counts["malformed"] += 1
                return
            news = peer.matched(message.match)
            if peer.state == "probe" and message.match >= peer.next_index - 1:
                peer.state, peer.probe_sent = "stream", False
            elif peer.state == "snapshot" and peer.snapshot and message.match >= peer.snapshot.index:
                peer.probe(peer.match_index + 1)
            if news:
                self._advance_commit()
                self._try_transfer()
            return
        if peer.state == "snapshot" or message.previous_index <= peer.match_index:
            return  # of an earlier message: what it lacked then, it has told to have since
        if peer.state == "probe" and message.previous_index != peer.next_index - 1:
            return
        follow = message.conflict_index
        if message.conflict_term:
            follow = self.log.last_index_of_term(message.conflict_term, message.previous_index) + 1
            if follow == 1:
                follow = message.conflict_index
        peer.probe(max(peer.match_index + 1, min(follow, message.previous_index)))

    def _on_snapshot_reply(self, sender: str, message: m.InstallSnapshotReply) -> None:
        peer = self._acked(sender, message.round)
        if peer is None or peer.snapshot is None or peer.snapshot.index != message.index:
            return
        if message.done:
            peer.matched(message.index)
            peer.probe(peer.match_index + 1)
            self._advance_commit()
        elif peer.snapshot_offset < message.offset <= len(peer.snapshot.data):
            peer.snapshot_offset = message.offset
            self._send_piece(sender, peer)
        else:
            peer.snapshot_offset = min(
                peer.snapshot_offset, message.offset
            )  # it began anew; the next round sends from there

    def _try_transfer(self) -> None:
        peer = self.progress.get(self.transfer_target)
        if peer is not None and peer.match_index == self.log.last_index:
            self._send(self.transfer_target, m.TimeoutNow(generation=self.generation, term=self.term))

    def _read_due(self) -> bool:
        if not self.pending_reads or self.state is not Role.LEADER:
            return False
        _, index, round_ = self.pending_reads[0]
        rounds = [
            self.round if name == self.name else self.progress[name].acked_round for name in self.log.voters
        ]
        return round_ <= quorum_value(rounds) and index <= self.applied
