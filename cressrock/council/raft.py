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

from cressrock.council import messages as m
from cressrock.council.core import FOREVER, Role
from cressrock.council.following import Following
from cressrock.council.leading import Leading
from cressrock.council.log import HardState, Snapshot, Stored, first, force_new
from cressrock.council.messages import Entry, SeatMessage
from cressrock.council.peers import Read, Timing
from cressrock.errors.council import CouncilBusy, SeatsRefused

__all__ = [
    "Entry",
    "HardState",
    "Read",
    "Ready",
    "Role",
    "Seat",
    "Snapshot",
    "Stored",
    "Timing",
    "first",
    "force_new",
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

    hard: HardState | None = None
    snapshot: Snapshot | None = None
    restore: bool = False
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    messages: tuple[tuple[str, SeatMessage], ...] = ()
    committed: tuple[Entry, ...] = ()
    reads: tuple[Read, ...] = ()
    lost_reads: tuple[int | str, ...] = ()

    @property
    def to_keep(self) -> bool:
        """Whether anything is to be written."""
        return bool(self.hard or self.snapshot or self.entries or self.truncate_from is not None)


class Seat(Leading, Following):
    """One seat.  Made from what its store has; see `Core` for what may be read of it."""

    __slots__ = ()

    # What a caller does

    def next_due(self) -> float:
        """Return when `tick` is due next, in milliseconds."""
        if self.state is not Role.LEADER:
            return self.due if self._may_stand() else FOREVER
        return min(self.due, self._fresh_until())

    def has_ready(self) -> bool:
        """Whether `ready` would give anything."""
        return bool(
            self.outbox
            or self.lost
            or self.new_snapshot
            or self.truncated is not None
            or self.stable < self.log.last
            or self._hard_news()
            or self.applied < self.commit
            or (self.state is Role.LEADER and (self.want_round or self._read_due() or self._has_news()))
        )

    def tick(self, now_ms: float) -> None:
        """Let time pass: stand, send heartbeats, or give up the lead."""
        self._clock(now_ms)
        if self.now < self.due:
            return
        if self.state is Role.LEADER:
            self.beat()
        elif self._may_stand():
            self.campaign(self.now)
        else:
            self._draw(self.now)

    def propose(self, now_ms: float, data: bytes) -> int:
        """Put a command into the log and return its index; it may yet be lost until it comes out committed.

        Raises `NotLeader`, also when this seat led but cannot know by its own clock that it still does, and
        `CouncilBusy`.
        """
        self._must_lead(now_ms)
        if len(data) > self.timing.max_entry:
            raise CouncilBusy(f"a proposal of {len(data)} bytes, at most {self.timing.max_entry} are taken")
        if self.pending + len(data) > self.timing.max_uncommitted:
            raise CouncilBusy(f"{self.pending} bytes wait to be decided, {self.timing.max_uncommitted} may")
        return self._append("command", data)

    def change_seats(self, now_ms: float, *, add: str = "", remove: str = "") -> int:
        """Put one seat in or one out and return the entry's index; exactly one of the two is named.

        Raises `NotLeader`; `SeatsRefused` while another change is under way, before an entry of this
        term is committed (the correction of 2015), or as long as the one to add lacks more than
        `max_behind` entries: it is taught from now on (4.2.1), and the caller asks again.
        """
        self._must_lead(now_ms)
        seats = self.log.seats
        if bool(add) == bool(remove):
            raise SeatsRefused("exactly one seat is put in or out at a time")
        if self.log.seats_index > self.commit:
            raise SeatsRefused(f"the change at entry {self.log.seats_index} is not committed yet")
        if not self._own_term_committed():
            raise SeatsRefused(f"no entry of term {self.term} is committed yet")
        if add:
            if add in seats or len(seats) >= m.MAX_SEATS:
                raise SeatsRefused(f"{add} is a seat already, or there are {m.MAX_SEATS} of them")
            self._teach(add)
            peer = self.peers[add]
            behind = self.log.last - peer.match
            if behind > self.timing.max_behind or peer.ack_ms + self.timing.election_ms <= self.now:
                raise SeatsRefused(f"{add} lacks {behind} entries or is not heard from; it is being taught")
            return self._append("seats", m.pack_seats(tuple(sorted((*seats, add)))))
        if remove not in seats or len(seats) == 1:
            raise SeatsRefused(f"{remove} is no seat, or the last one")
        index = self._append("seats", m.pack_seats(tuple(name for name in seats if name != remove)))
        if remove in self.peers:
            self.peers[remove].leaving = index
        return index

    def transfer(self, now_ms: float, to: str) -> None:
        """Hand the lead to another seat: it gets all entries, then stands at once; no proposals meanwhile."""
        self._must_lead(now_ms)
        if to == self.me or to not in self.log.seats:
            raise SeatsRefused(f"{to} is no other seat")
        self.transfer_to, self.transfer_until = to, self.now + self.timing.election_ms
        self._try_transfer()

    def read_index(self, now_ms: float, token: int | str) -> None:
        """Ask for a linearizable read: `Ready.reads` has it when a quorum has confirmed this leader since.

        `Ready.lost_reads` has it if the lead is lost before.  Raises `NotLeader`, `CouncilBusy`.
        """
        self._must_lead(now_ms)
        if len(self.reads) >= self.timing.max_reads:
            raise CouncilBusy(f"{len(self.reads)} reads wait")
        # All that earlier leaders committed lies below our own first entry, even if we do not know it yet.
        self.reads.append((token, max(self.commit, self.first_index), self.round + 1))
        self.want_round = True

    def compact(self, index: int, data: bytes) -> None:
        """Replace all entries up to `index` (applied) by the state machine's snapshot there.

        Raises `CouncilBusy` if it is larger than other seats would take in; the log then stays as it is.
        """
        if index <= self.log.base:
            return
        if len(data) > self.timing.max_snapshot:
            raise CouncilBusy(f"a snapshot of {len(data)} bytes, {self.timing.max_snapshot} are taken in")
        term = self.log.term_at(index)
        if term is None or index > self.applied:
            raise ValueError(f"entry {index} is not applied (up to {self.applied})")
        self.snapshot = Snapshot(index, term, self.log.seats_until(index), data)
        self.log.rebase(self.snapshot)
        self.new_snapshot = self.snapshot

    def ready(self) -> Ready:
        """Take out a batch; only one is out at a time (ValueError)."""
        if self.open:
            raise ValueError("the batch before was not advanced")
        if self.state is Role.LEADER:
            if self.want_round:
                self.beat()
            self._flush()
            self._advance_commit()
            self._flush()
        end = min(self.commit, self.applied + self.timing.max_apply)
        committed = tuple(self.log.between(self.applied + 1, end))
        self.applied = max(self.applied, end)
        reads = []
        while self._read_due():
            token, index, _ = self.reads.popleft()
            reads.append(Read(token, index))
        entries = tuple(self.log.between(self.stable + 1, self.log.last))
        hard = None
        if self._hard_news() or entries or self.new_snapshot or self.truncated is not None:
            hard = HardState(self.term, self.voted_for, self.commit, self.generation)
            self.given_hard = hard
        batch = Ready(
            hard,
            self.new_snapshot,
            self.restore,
            self.truncated,
            entries,
            tuple(self.outbox),
            committed,
            tuple(reads),
            tuple(self.lost),
        )
        self.stable = self.log.last
        self.new_snapshot, self.restore, self.truncated = None, False, None
        self.outbox.clear()
        self.lost = []
        self.open = True
        return batch

    def advance(self, ready: Ready) -> None:
        """`ready` was kept, sent and applied."""
        self.open = False

    def campaign(self, now_ms: float, *, transfer: bool = False) -> None:
        """Stand for the lead now, after a pre-vote unless the leader itself asked for it."""
        self.now = max(self.now, now_ms)
        if not self._may_stand() or self.state is Role.LEADER:
            return
        self.leader, self.votes, self.against = "", {self.me}, set()
        self.started_ms = self.now
        self._draw(self.now)
        others = [name for name in self.log.seats if name != self.me]
        if self.timing.pre_vote and not transfer:
            self.state = Role.ASKING
            for name in others:
                self._send(
                    name,
                    m.PreVote(
                        generation=self.generation,
                        term=self.term,
                        next_term=self.term + 1,
                        last_index=self.log.last,
                        last_term=self.log.last_term,
                    ),
                )
            if self._elected():
                self._stand(False)
        else:
            self._stand(transfer)

    def receive(self, now_ms: float, sender: str, message: SeatMessage) -> None:
        """Take a message of another seat.  Raises `CouncilDiverged`, upon which this seat must stop."""
        self._clock(now_ms)
        if sender == self.me or not self._same_council(sender, message):
            return
        if message.term > self.term and not self._follow_term(sender, message):
            return
        if message.term < self.term and not isinstance(message, m.PreVote | m.PreVoteReply):
            # An old leader or candidate learns the newer term from the answer; an old answer says nothing.
            if isinstance(message, m.Append | m.InstallSnapshot):
                self._send(sender, m.AppendReply(generation=self.generation, term=self.term, accepted=False))
            elif isinstance(message, m.Vote):
                self._send(sender, m.VoteReply(generation=self.generation, term=self.term, granted=False))
            else:
                self.counts["old_term"] += 1
            return
        match message:
            case m.Append():
                self._on_append(sender, message)
            case m.AppendReply():
                self._on_append_reply(sender, message)
            case m.PreVote():
                self._on_pre_vote(sender, message)
            case m.PreVoteReply():
                if self.state is Role.ASKING and message.next_term == self.term + 1:
                    self._tally(sender, message.granted)
            case m.Vote():
                self._on_vote(sender, message)
            case m.VoteReply():
                if self.state is Role.CANDIDATE:
                    self._tally(sender, message.granted)
            case m.InstallSnapshot():
                self._on_snapshot(sender, message)
            case m.InstallSnapshotReply():
                self._on_snapshot_reply(sender, message)
            case m.TimeoutNow():
                if sender == self.leader:
                    self.campaign(self.now, transfer=True)

    # Elections

    def _on_pre_vote(self, sender: str, message: m.PreVote) -> None:
        granted = (
            message.next_term > self.term
            and not self._sticky()
            and (message.last_term, message.last_index) >= (self.log.last_term, self.log.last)
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

    def _on_vote(self, sender: str, message: m.Vote) -> None:
        granted = (
            (self.voted_for == sender or (not self.voted_for and not self.leader))
            and self.state is not Role.LEADER
            and (message.last_term, message.last_index) >= (self.log.last_term, self.log.last)
        )
        if granted:
            self.voted_for = sender
            self._draw(self.now)
        self._send(sender, m.VoteReply(generation=self.generation, term=self.term, granted=granted))

    def _tally(self, sender: str, granted: bool) -> None:
        if sender not in self.log.seats:
            return
        (self.votes if granted else self.against).add(sender)
        if self._elected():
            if self.state is Role.ASKING:
                self._stand(False)
            else:
                self._become_leader()
        elif len(self.against) > len(self.log.seats) // 2:
            self._become_follower(self.term, "")

    def _elected(self) -> bool:
        return 2 * len(self.votes) > len(self.log.seats)

    def _stand(self, transfer: bool) -> None:
        self.state = Role.CANDIDATE
        self.term += 1
        self.voted_for = self.me
        self.votes, self.against = {self.me}, set()
        self.started_ms = self.now
        self._draw(self.now)
        for name in self.log.seats:
            if name != self.me:
                self._send(
                    name,
                    m.Vote(
                        generation=self.generation,
                        term=self.term,
                        last_index=self.log.last,
                        last_term=self.log.last_term,
                        transfer=transfer,
                    ),
                )
        if self._elected():
            self._become_leader()
