"""A seat's part as leader: log, peers, rounds, commits.  Pure."""

from __future__ import annotations

from cressrock.council import messages as m
from cressrock.council.core import Core, Role
from cressrock.council.messages import Entry
from cressrock.council.peers import NEVER, Peer, majority
from cressrock.errors.council import NotLeader, SeatsRefused


class Leading(Core):
    """What a leader does with its peers."""

    __slots__ = ()

    def _must_lead(self, now_ms: float) -> None:
        self._clock(now_ms)
        if self.state is not Role.LEADER:
            raise NotLeader(f"{self.me} does not lead the council", self.leader)
        if self.transfer_to:
            raise NotLeader(f"{self.me} hands the lead to {self.transfer_to}", self.transfer_to)

    def _become_leader(self) -> None:
        voters = self.votes
        self.state, self.leader = Role.LEADER, self.me
        self.peers = {}
        self.round = 0
        for name in self.log.seats:
            if name != self.me:
                acked = self.started_ms if name in voters else NEVER
                self.peers[name] = Peer(next=self.log.last + 1, ack_ms=acked, since_ms=self.now)
        self.votes, self.against = set(), set()
        self.pending = sum(len(entry.data) for entry in self.log.between(self.commit + 1, self.log.last))
        self.first_index = self._append("empty", b"")
        self.beat()

    def _append(self, kind: m.Kind, data: bytes) -> int:
        entry = Entry(self.term, self.log.last + 1, kind, data)
        self.log.append(entry)
        self.pending += len(data)
        if kind == "seats":
            for name in self.log.seats:
                if name != self.me and name not in self.peers:
                    self.peers[name] = Peer(next=self.log.last, since_ms=self.now)
        return entry.index

    def _own_term_committed(self) -> bool:
        return self.log.term_at(self.commit) == self.term

    def _may_commit(self, index: int) -> bool:
        """Only entries of the leader's own term are committed by counting (3.6.2)."""
        return self.log.term_at(index) == self.term

    def _advance_commit(self) -> None:
        matches = [self.log.last if name == self.me else self.peers[name].match for name in self.log.seats]
        index = int(majority(matches))
        if index <= self.commit or not self._may_commit(index):
            return
        self.pending -= sum(len(entry.data) for entry in self.log.between(self.commit + 1, index))
        self.commit = index
        if self.me not in self.log.seats and self.log.seats_index <= self.commit:
            # We are out: tell the others that it is committed, ask the one that has most to stand, and rest.
            self._flush()
            best = max(self.log.seats, key=lambda name: (self.peers[name].match, name))
            self._send(best, m.TimeoutNow(generation=self.generation, term=self.term))
            self._become_follower(self.term, "")

    def _teach(self, name: str) -> None:
        if name in self.peers:
            return
        if len(self.peers) - len(self.log.seats) + 1 >= self.timing.max_learners:
            raise SeatsRefused(f"{self.timing.max_learners} new seats are being taught already")
        self.peers[name] = Peer(next=self.log.last + 1, since_ms=self.now)

    def beat(self) -> None:
        """Begin a round: an Append or a piece to everyone, whatever is on its way."""
        self.want_round = False
        self.round += 1
        self.rounds.append((self.round, self.now))
        while self.rounds[0][1] + 2 * self.timing.lease < self.now:
            self.rounds.popleft()
        while len(self.rounds) > 1024:
            self.rounds.popleft()
        self.due = self.now + self.timing.heartbeat_ms
        if self.transfer_to and self.now >= self.transfer_until:
            self.transfer_to = ""
        self._try_transfer()
        silent = self.timing.forget_elections * self.timing.election_ms
        for name, peer in list(self.peers.items()):
            if name not in self.log.seats:
                knows = 0 < peer.leaving <= min(peer.match, peer.told)
                if knows or max(peer.ack_ms, peer.since_ms) + silent < self.now:
                    del self.peers[name]
                    continue
            peer.waiting = False
            if peer.state == "snapshot":
                if peer.piece_ms + self.timing.heartbeat_ms <= self.now:
                    self._send_piece(name, peer)
            else:
                room = len(peer.inflight) < self.timing.max_inflight
                self._send_append(name, peer, peer.state == "probe" or room)

    def _has_news(self) -> bool:
        """Whether `_flush` would send anything."""
        return any(
            (peer.state == "probe" and not peer.waiting)
            or (
                peer.state == "stream"
                and (
                    (peer.next <= self.log.last and len(peer.inflight) < self.timing.max_inflight)
                    or peer.told < self.commit
                )
            )
            for peer in self.peers.values()
        )

    def _flush(self) -> None:
        """Send what every peer may be sent now."""
        for name, peer in self.peers.items():
            if peer.state == "probe" and not peer.waiting:
                self._send_append(name, peer, True)
            while (
                peer.state == "stream"
                and peer.next <= self.log.last
                and len(peer.inflight) < self.timing.max_inflight
            ):
                self._send_append(name, peer, True)
            if peer.state == "stream" and peer.told < self.commit:
                self._send_append(name, peer, False)

    def _send_append(self, name: str, peer: Peer, with_entries: bool) -> None:
        previous = peer.next - 1
        term = self.log.term_at(previous)
        if term is None:
            peer.state, peer.snapshot, peer.offset = "snapshot", self.snapshot, 0
            peer.inflight.clear()
            self._send_piece(name, peer)
            return
        entries: tuple[Entry, ...] = ()
        if with_entries:
            entries = self.log.slice(peer.next, self.timing.max_entries, self.timing.max_bytes)
        self._send(
            name,
            m.Append(
                generation=self.generation,
                term=self.term,
                previous_index=previous,
                previous_term=term,
                entries=entries,
                commit=self.commit,
                round=self.round,
            ),
        )
        peer.told = self.commit
        if peer.state == "probe":
            peer.waiting = True
        elif entries:
            peer.next += len(entries)
            peer.inflight.append(peer.next - 1)

    def _send_piece(self, name: str, peer: Peer) -> None:
        snapshot = peer.snapshot
        assert snapshot is not None
        data = snapshot.data[peer.offset : peer.offset + self.timing.snapshot_piece]
        peer.piece_ms = self.now
        self._send(
            name,
            m.InstallSnapshot(
                generation=self.generation,
                term=self.term,
                index=snapshot.index,
                index_term=snapshot.term,
                seats=snapshot.seats,
                offset=peer.offset,
                size=len(snapshot.data),
                data=data,
                round=self.round,
            ),
        )

    def _acked(self, sender: str, round_: int) -> Peer | None:
        """Note that a peer answered a round of ours: it heard us after that round began."""
        peer = self.peers.get(sender)
        if self.state is not Role.LEADER or peer is None or round_ > self.round:
            return None
        if round_ > peer.round:
            peer.round = round_
            for number, at in self.rounds:
                if number == round_:
                    peer.ack_ms = max(peer.ack_ms, at)
                    break
        return peer

    def _on_append_reply(self, sender: str, message: m.AppendReply) -> None:
        peer = self._acked(sender, message.round)
        if peer is None:
            return
        if message.accepted:
            if message.match > self.log.last:
                self.counts["malformed"] += 1
                return
            news = peer.matched(message.match)
            if peer.state == "probe" and message.match >= peer.next - 1:
                peer.state, peer.waiting = "stream", False
            elif peer.state == "snapshot" and peer.snapshot and message.match >= peer.snapshot.index:
                peer.probe(peer.match + 1)
            if news:
                self._advance_commit()
                self._try_transfer()
            return
        if peer.state == "snapshot" or message.previous_index <= peer.match:
            return  # of an earlier message: what it lacked then, it has told to have since
        if peer.state == "probe" and message.previous_index != peer.next - 1:
            return
        follow = message.conflict_index
        if message.conflict_term:
            follow = self.log.last_of_term(message.conflict_term, message.previous_index) + 1
            if follow == 1:
                follow = message.conflict_index
        peer.probe(max(peer.match + 1, min(follow, message.previous_index)))

    def _on_snapshot_reply(self, sender: str, message: m.InstallSnapshotReply) -> None:
        peer = self._acked(sender, message.round)
        if peer is None or peer.snapshot is None or peer.snapshot.index != message.index:
            return
        if message.done:
            peer.matched(message.index)
            peer.probe(peer.match + 1)
            self._advance_commit()
        elif peer.offset < message.offset <= len(peer.snapshot.data):
            peer.offset = message.offset
            self._send_piece(sender, peer)
        else:
            peer.offset = min(peer.offset, message.offset)  # it began anew; the next round sends from there

    def _try_transfer(self) -> None:
        peer = self.peers.get(self.transfer_to)
        if peer is not None and peer.match == self.log.last:
            self._send(self.transfer_to, m.TimeoutNow(generation=self.generation, term=self.term))

    def _read_due(self) -> bool:
        if not self.reads or self.state is not Role.LEADER:
            return False
        _, index, round_ = self.reads[0]
        rounds = [self.round if name == self.me else self.peers[name].round for name in self.log.seats]
        return round_ <= majority(rounds) and index <= self.applied
