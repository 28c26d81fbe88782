"""A leader's pending requests: proposals until they are applied, reads until they are confirmed.

Each request gets exactly one reply, even if leadership is lost.  A request with an unknown outcome gets
NotLeader, and the client retries it under the same id.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
import msgspec

from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.decisions import (
    Command,
    Decide,
    Decision,
    Done,
    Drop,
    Outcome,
    Rejected,
    SetVersionBase,
    encode,
    with_renewal,
)
from cressrock.consensus.frames import (
    AddReplica,
    CurrentDecision,
    NotLeader,
    Operation,
    ReadDecision,
    RemoveReplica,
    Reply,
    RetryLater,
    TransferLeadership,
)
from cressrock.consensus.identity import replica_name
from cressrock.consensus.lease_renewals import LeaseRenewals
from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.ready import ReadToken
from cressrock.consensus.raft.state import Role
from cressrock.consensus.settings import ReplicaSettings
from cressrock.errors.consensus import ConsensusBusyError, MembershipChangeRefusedError, NotLeaderError

MAX_REASON_CHARACTERS = 512  # of a RetryLater


@dataclass(slots=True)
class PendingRequest:
    """A request that has no reply yet."""

    operation: Operation
    done: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None

    def answer(self, reply: Reply) -> None:
        """Set the reply and wake the waiter; later replies are ignored."""
        if self.reply is None:
            self.reply = reply
            self.done.set()


def reply_for(command: Command, outcome: Outcome) -> Reply:
    """Return the reply for an applied command's outcome."""
    if isinstance(command, Decide) and isinstance(outcome, Done):
        return CurrentDecision(
            Decision(command.topic, outcome.version, command.value, command.lease_ms, command.author)
        )
    return outcome


class LeaderRequests:
    """The leader's requests in order of arrival, and its lease renewals."""

    def __init__(self, settings: ReplicaSettings) -> None:
        """Start with no requests; the first renewal is due at once."""
        self.settings = settings
        self.renewals = LeaseRenewals()
        self.next_renewal_ms = 0.0
        self._queue: deque[PendingRequest] = deque()
        self._proposed: dict[str, list[PendingRequest]] = {}  # by request id
        self._reads: dict[int, PendingRequest | None] = {}  # by token; None for a lease renewal

    @property
    def has_queued(self) -> bool:
        """Whether a request waits to be processed."""
        return bool(self._queue)

    def submit(self, operation: Operation) -> PendingRequest:
        """Queue an operation; the caller waits for the returned request's `done`."""
        request = PendingRequest(operation)
        self._queue.append(request)
        return request

    # --- processing

    def process(
        self, raft: RaftNode, decisions: DecisionState, now_ms: float, wall_ms: Callable[[], float]
    ) -> None:
        """Process the queued requests, and renew the leases when that is due."""
        queue, self._queue = self._queue, deque()
        if raft.role is not Role.LEADER:
            for request in queue:
                request.answer(NotLeader(replica_name(raft.leader)))
            self._fail_proposals(raft)
            return
        for request in queue:
            try:
                self._handle(raft, decisions, now_ms, request)
            except NotLeaderError as error:
                request.answer(NotLeader(replica_name(error.leader_hint)))
            except (ConsensusBusyError, MembershipChangeRefusedError) as error:
                request.answer(RetryLater(error.text[:MAX_REASON_CHARACTERS]))
        if now_ms >= self.next_renewal_ms:
            self.next_renewal_ms = now_ms + self.settings.renewal_interval_ms
            self._renew(raft, decisions, now_ms, wall_ms)

    def _fail_proposals(self, raft: RaftNode) -> None:
        """Answer NotLeader to all proposals after losing leadership; they may still be committed."""
        self.next_renewal_ms = 0.0
        proposed, self._proposed = self._proposed, {}
        for requests in proposed.values():
            for request in requests:
                request.answer(NotLeader(replica_name(raft.leader)))

    def _handle(
        self, raft: RaftNode, decisions: DecisionState, now_ms: float, request: PendingRequest
    ) -> None:
        match request.operation:
            case AddReplica(identity):
                request.answer(self._add_replica(raft, now_ms, identity))
            case RemoveReplica(name):
                request.answer(self._remove_replica(raft, now_ms, name))
            case TransferLeadership(target):
                identities = [voter for voter in raft.voters if replica_name(voter) == target]
                if identities != [raft.name]:
                    raft.transfer_leadership(now_ms, identities[0] if identities else target)
                request.answer(Done(raft.log.last_index))
            case _ if not decisions.version_offset:
                request.answer(RetryLater("the council has not set its version base yet"))
            case ReadDecision():
                self._read(raft, now_ms, request)
            case Decide() | Drop() as command:
                self._propose(raft, decisions, now_ms, request, command)

    def _propose(
        self,
        raft: RaftNode,
        decisions: DecisionState,
        now_ms: float,
        request: PendingRequest,
        command: Decide | Drop,
    ) -> None:
        outcome = decisions.outcome(command.request_id)
        if outcome is not None:
            request.answer(reply_for(command, outcome))
            return
        if (already_proposed := self._proposed.get(command.request_id)) is not None:
            already_proposed.append(request)
            return
        data = encode(command)
        if len(data) > self.settings.timing.max_entry_bytes:
            request.answer(Rejected("too-large"))
            return
        raft.propose(now_ms, data)
        self._proposed[command.request_id] = [request]

    def _read(self, raft: RaftNode, now_ms: float, request: PendingRequest | None) -> None:
        token = self.renewals.ask(raft.term, now_ms)
        raft.read_index(now_ms, token)
        self._reads[token] = request

    def _add_replica(self, raft: RaftNode, now_ms: float, identity: str) -> Reply:
        if identity in raft.voters:
            return Done(raft.log.last_index)
        former = [voter for voter in raft.voters if replica_name(voter) == replica_name(identity)]
        if former:
            # Removed first: if both were voters, the dead one would count towards the quorum.
            raft.change_voters(now_ms, remove=former[0])
            return RetryLater(f"{former[0]} is being removed")
        raft.change_voters(now_ms, add=identity)
        return RetryLater("the seat is being added")

    def _remove_replica(self, raft: RaftNode, now_ms: float, name: str) -> Reply:
        identities = [voter for voter in raft.voters if name in (voter, replica_name(voter))]
        if not identities:
            return Done(raft.log.last_index)
        raft.change_voters(now_ms, remove=identities[0])
        return RetryLater("the seat is being removed")

    def _renew(
        self, raft: RaftNode, decisions: DecisionState, now_ms: float, wall_ms: Callable[[], float]
    ) -> None:
        try:
            if decisions.version_offset:
                self._read(raft, now_ms, None)
            else:
                # Versions start at the wall clock, so that none repeats a version of an earlier group.
                raft.propose(now_ms, encode(SetVersionBase(int(wall_ms()), self.settings.limits)))
        except (NotLeaderError, ConsensusBusyError):
            pass  # retried after the renewal interval

    # --- results

    def on_applied(self, command: Command, outcome: Outcome) -> None:
        """Answer the requests for an applied command."""
        if not isinstance(command, SetVersionBase):
            for request in self._proposed.pop(command.request_id, ()):
                request.answer(reply_for(command, outcome))

    def on_reads_lost(self, tokens: Iterable[ReadToken], leader: str) -> None:
        """Answer NotLeader to the reads that were lost with leadership."""
        for token in tokens:
            request = self._reads.pop(int(token), None)
            if request is not None:
                request.answer(NotLeader(replica_name(leader)))

    def on_read_confirmed(
        self, raft: RaftNode, decisions: DecisionState, token: ReadToken, now_ms: float
    ) -> tuple[Decision, ...] | None:
        """Answer a confirmed read; return the decisions to publish as renewed, or None for a client read."""
        request = self._reads.pop(int(token), None)
        max_age_ms = self.settings.timing.election_ms
        renewal = self.renewals.confirm(int(token), raft.term, now_ms, max_age_ms)
        if request is None:
            if renewal is None or not decisions.version_offset:
                return None
            return with_renewal(decisions.all_decisions(), renewal)
        if renewal is None or not isinstance(request.operation, ReadDecision):
            request.answer(NotLeader())
            return None
        decision = decisions.get(request.operation.topic)
        request.answer(CurrentDecision(decision and msgspec.structs.replace(decision, renewal=renewal)))
        return None

    def answer_all(self, reply: Reply) -> None:
        """Answer all pending requests with `reply`; called when the replica stops."""
        proposed, self._proposed = self._proposed, {}
        reads, self._reads = self._reads, {}
        queue, self._queue = self._queue, deque()
        waiting = [request for requests in proposed.values() for request in requests]
        for request in (*queue, *waiting, *reads.values()):
            if request is not None:
                request.answer(reply)
