"""What every seat keeps and does, whatever its part: terms, time, generations, what waits for the disk.

Pure.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from enum import Enum
from typing import Self

from cressrock.council import messages as m
from cressrock.council.log import Log, Snapshot, Stored
from cressrock.council.messages import SeatMessage
from cressrock.council.peers import NEVER, Peer, Timing, majority

FOREVER = float("inf")


class Role(Enum):
    """What a seat is at the moment; a learner has no say and never stands."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    ASKING = "asking"  # pre-vote: would I be elected?
    CANDIDATE = "candidate"
    LEADER = "leader"


class Core:
    """The state of one seat.

    `counts` tells what was dropped and why, `turned_away` why the council no longer knows this seat.
    """

    __slots__ = (
        "me",
        "timing",
        "source",
        "now",
        "generation",
        "term",
        "voted_for",
        "commit",
        "log",
        "snapshot",
        "state",
        "leader",
        "heard_ms",
        "due",
        "votes",
        "against",
        "started_ms",
        "peers",
        "round",
        "rounds",
        "transfer_to",
        "transfer_until",
        "first_index",
        "pending",
        "reads",
        "lost",
        "outbox",
        "want_round",
        "given_hard",
        "stable",
        "truncated",
        "new_snapshot",
        "restore",
        "applied",
        "open",
        "piece",
        "piece_of",
        "turned_away",
        "counts",
    )

    def __init__(self, me: str, stored: Stored, timing: Timing, source: random.Random, now_ms: float) -> None:
        """`stored` is the store's content, or `first(seats)` for a new council, `Stored()` for a new seat."""
        self.me, self.timing, self.source, self.now = me, timing, source, now_ms
        hard = stored.hard
        self.generation, self.term, self.voted_for = hard.generation, hard.term, hard.voted_for
        self.snapshot = stored.snapshot
        self.log = Log(stored.snapshot, stored.entries)
        self.commit = max(self.log.base, min(hard.commit, self.log.last))
        self.applied = self.log.base  # handed out to the state machine
        self.given_hard = hard
        self.stable = self.log.last  # handed out to the store
        self.truncated: int | None = None
        self.new_snapshot: Snapshot | None = None
        self.restore = False
        self.open = False
        self.state = Role.FOLLOWER
        self.leader = ""
        self.heard_ms = NEVER
        self.due = FOREVER
        self.votes: set[str] = set()
        self.against: set[str] = set()
        self.started_ms = NEVER
        self.peers: dict[str, Peer] = {}
        self.round = 0
        self.rounds: deque[tuple[int, float]] = deque()
        self.transfer_to, self.transfer_until = "", NEVER
        self.first_index = 0
        self.pending = 0  # bytes that a leader has not committed yet
        self.reads: deque[tuple[int | str, int, int]] = deque()  # token, index, round it waits for
        self.lost: list[int | str] = []
        self.outbox: deque[tuple[str, SeatMessage]] = deque()
        self.want_round = False
        self.piece = bytearray()
        self.piece_of: tuple[object, ...] = ()
        self.turned_away = ""
        self.counts: Counter[str] = Counter()
        self._draw(now_ms)

    @property
    def role(self) -> Role:
        """What this seat is."""
        if self.state is Role.FOLLOWER and self.me not in self.log.seats:
            return Role.LEARNER
        return self.state

    @property
    def seats(self) -> tuple[str, ...]:
        """The seats by the latest entry that names them, committed or not."""
        return self.log.seats

    def _clock(self, now_ms: float) -> None:
        """Time never goes back here; a leader that slept beyond its lease leads no more, before all else."""
        self.now = max(self.now, now_ms)
        if self.state is Role.LEADER and self._fresh_until() <= self.now:
            self.counts["quorum_lost"] += 1
            self._become_follower(self.term, "")

    def _draw(self, now_ms: float) -> None:
        self.due = now_ms + self.timing.election_ms * (1.0 + self.source.random())

    def _may_stand(self) -> bool:
        return self.me in self.log.seats and not self.turned_away

    def _quorum_ms(self) -> float:
        """When the round was begun that a quorum has answered last."""
        seats = self.log.seats
        acks = [self.now if name == self.me else self.peers[name].ack_ms for name in seats]
        return majority(acks)

    def _fresh_until(self) -> float:
        """Until when this leader may lead by what its quorum answered, counted from when it asked."""
        return self._quorum_ms() + self.timing.lease

    def _sticky(self) -> bool:
        """Whether a leader was heard so lately that nobody else is voted for (4.2.3)."""
        if self.state is Role.LEADER:
            return self.now < self._quorum_ms() + self.timing.stick
        return bool(self.leader) and self.now < self.heard_ms + self.timing.stick

    def _become_follower(self, term: int, leader: str) -> None:
        was = self.state
        if term > self.term:
            self.term, self.voted_for = term, ""
        self.state, self.leader = Role.FOLLOWER, leader
        self.peers, self.transfer_to = {}, ""
        self.votes, self.against = set(), set()
        self.rounds.clear()
        self.want_round = False
        self.lost += [token for token, _, _ in self.reads]
        self.reads.clear()
        if was is Role.LEADER or leader:
            self._draw(self.now)

    def _same_council(self, sender: str, message: SeatMessage) -> bool:
        """Whether the message is of our generation; a seat without one takes that of the first it hears."""
        if self.generation == 0 and message.generation and not isinstance(message, m.Refused):
            self.generation = message.generation
        if message.generation == self.generation:
            return not isinstance(message, m.Refused)
        self.counts["generation"] += 1
        if message.generation > self.generation:
            self.turned_away = (
                f"{sender} is of generation {message.generation} of the council, {self.me} of"
                f" {self.generation}: the council was forced anew without this seat"
            )
            self._become_follower(self.term, "")
        elif not isinstance(message, m.Refused):
            reason = f"generation {message.generation} of the council is over, {self.generation} holds"
            self._send(sender, m.Refused(generation=self.generation, term=self.term, reason=reason))
        return False

    def _follow_term(self, sender: str, message: SeatMessage) -> bool:
        """Take up a newer term; return whether the message is to be looked at."""
        if isinstance(message, m.PreVote):
            return True  # asks what would be, and moves nobody's term
        if isinstance(message, m.Vote) and not message.transfer and self._sticky():
            self.counts["sticky"] += 1
            return False
        leads = isinstance(message, m.Append | m.InstallSnapshot)
        self._become_follower(message.term, sender if leads else "")
        return True

    def _send(self, to: str, message: SeatMessage) -> None:
        if len(self.outbox) >= self.timing.max_outbox:
            self.counts["outbox_full"] += 1
            self.outbox.popleft()
        self.outbox.append((to, message))

    def _hard_news(self) -> bool:
        """Term, vote or generation changed; a commit alone is kept with whatever is written next."""
        given = self.given_hard
        return (self.term, self.voted_for, self.generation) != (given.term, given.voted_for, given.generation)

    def clone(self) -> Self:
        """Return a seat of its own in the same state; the source of randomness is shared."""
        other = self.__class__.__new__(self.__class__)
        for name in Core.__slots__:
            setattr(other, name, getattr(self, name))
        other.log = self.log.clone()
        other.peers = {name: peer.clone() for name, peer in self.peers.items()}
        other.votes, other.against = set(self.votes), set(self.against)
        other.rounds, other.reads, other.outbox = deque(self.rounds), deque(self.reads), deque(self.outbox)
        other.lost, other.piece, other.counts = self.lost[:], bytearray(self.piece), Counter(self.counts)
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
            frozenset(self.votes),
            frozenset(self.against),
            tuple((name, peer.key()) for name, peer in sorted(self.peers.items())),
            self.round,
            self.first_index,
            self.transfer_to,
            tuple(self.reads),
            bytes(self.piece),
            self.piece_of,
            self.turned_away,
            self.stable,
            self.truncated,
        )
