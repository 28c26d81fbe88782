"""Elections: votes received in this replica's campaign and votes given to others (3.4, pre-vote 9.6)."""

from __future__ import annotations

from cressrock.consensus.raft.messages import PreVote, PreVoteReply, RequestVote, RequestVoteReply
from cressrock.consensus.raft.progress import NEVER_MS
from cressrock.consensus.raft.state import ReplicaState, Role


class Election:
    """A replica's own campaign, and its answers to the vote requests of others."""

    __slots__ = ("_replica", "votes_granted", "votes_rejected", "started_at_ms")

    def __init__(self, replica: ReplicaState) -> None:
        """Start with no campaign in progress."""
        self._replica = replica
        self.votes_granted: set[str] = set()
        self.votes_rejected: set[str] = set()
        self.started_at_ms = NEVER_MS

    def reset(self) -> None:
        """Discard the votes of a finished campaign."""
        self.votes_granted, self.votes_rejected = set(), set()

    def _vote_for_self(self) -> None:
        replica = self._replica
        self.votes_granted, self.votes_rejected = {replica.name}, set()
        self.started_at_ms = replica.now_ms
        replica.reset_election_deadline()

    def begin_campaign(self) -> None:
        """Clear the known leader and vote for this replica."""
        self._replica.leader = ""
        self._vote_for_self()

    def request_pre_votes(self) -> None:
        """Ask the other voters whether they would vote for this replica in the next term; no term changes."""
        replica = self._replica
        replica.role = Role.PRE_CANDIDATE
        for voter in replica.log.voters:
            if voter != replica.name:
                replica.send(voter, PreVote(
                    generation=replica.generation, term=replica.term, next_term=replica.term + 1,
                    last_index=replica.log.last_index, last_term=replica.log.last_term,
                ))  # fmt: skip

    def request_votes(self, transfer: bool) -> None:
        """Start the next term as a candidate; `transfer`: the leader requested the election."""
        replica = self._replica
        replica.role = Role.CANDIDATE
        replica.term += 1
        replica.voted_for = replica.name
        self._vote_for_self()
        for voter in replica.log.voters:
            if voter != replica.name:
                replica.send(voter, RequestVote(
                    generation=replica.generation, term=replica.term, last_index=replica.log.last_index,
                    last_term=replica.log.last_term, transfer=transfer,
                ))  # fmt: skip

    def record_vote(self, voter: str, granted: bool) -> None:
        """Record the answer of `voter` in the current campaign."""
        (self.votes_granted if granted else self.votes_rejected).add(voter)

    def is_won(self) -> bool:
        """Whether a majority of the voters granted their votes."""
        return 2 * len(self.votes_granted) > len(self._replica.log.voters)

    def is_lost(self) -> bool:
        """Whether too many voters refused for a majority to be possible."""
        return len(self.votes_rejected) > len(self._replica.log.voters) // 2

    def _is_up_to_date(self, message: PreVote | RequestVote) -> bool:
        log = self._replica.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)

    def answer_pre_vote(self, sender: str, message: PreVote, *, leader_is_alive: bool) -> None:
        """Reply whether this replica would vote for `sender` in the requested term."""
        replica = self._replica
        granted = message.next_term > replica.term and not leader_is_alive and self._is_up_to_date(message)
        replica.send(sender, PreVoteReply(
            generation=replica.generation, term=replica.term, next_term=message.next_term, granted=granted,
        ))  # fmt: skip

    def answer_vote(self, sender: str, message: RequestVote) -> None:
        """Grant `sender` the vote in the current term or refuse it."""
        replica = self._replica
        granted = (
            (replica.voted_for == sender or (not replica.voted_for and not replica.leader))
            and replica.role is not Role.LEADER
            and self._is_up_to_date(message)
        )
        if granted:
            replica.voted_for = sender
            replica.reset_election_deadline()
        replica.send(
            sender, RequestVoteReply(generation=replica.generation, term=replica.term, granted=granted)
        )

    def clone(self, replica: ReplicaState) -> Election:
        """Return an independent copy that uses `replica`, a copy of the state."""
        other = Election(replica)
        other.votes_granted, other.votes_rejected = set(self.votes_granted), set(self.votes_rejected)
        other.started_at_ms = self.started_at_ms
        return other

    def key(self) -> tuple[object, ...]:
        """Return the state that determines its behaviour, timing aside, for the model checker's hash."""
        return frozenset(self.votes_granted), frozenset(self.votes_rejected)
