"""How any process asks the consensus group for decisions."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import TaskGroup

from cressrock.consensus.connection_protocol import ConnectionLimits, LocalEndpoint
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decisions import (
    MAX_VALUE_BYTES,
    Decide,
    Decision,
    Done,
    Drop,
    Rejected,
    VersionConflict,
    decode_command,
    encode,
)
from cressrock.consensus.environment import Environment
from cressrock.consensus.frames import (
    AddReplica,
    CurrentDecision,
    GetStatus,
    NotLeader,
    Operation,
    ReadDecision,
    RemoveReplica,
    ReplicaStatus,
    Reply,
    RetryLater,
    TransferLeadership,
)
from cressrock.consensus.transport import PeerConnection, ReconnectBackoff
from cressrock.errors.consensus import (
    DecisionConflictError,
    DecisionTooLargeError,
    InvalidDecisionError,
    InvalidReplicaSetError,
    NoQuorumError,
    RequestForgottenError,
)

MAX_CLIENT_NAME = 64  # characters


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """How a client asks; times in milliseconds."""

    timeout_ms: float = 10_000.0  # several elections: a leader's death is ridden out
    attempt_timeout_ms: float = 1000.0  # without an answer the next replica is asked
    retry_delay_ms: float = 40.0  # before the next attempt, drawn from its upper half
    connection_limits: ConnectionLimits = ConnectionLimits()
    reconnect: ReconnectBackoff = ReconnectBackoff()


class _ReplicaChoice:
    """Which replica a request is sent to next, and whether a follower may forward it."""

    def __init__(self, names: Sequence[str], start: int) -> None:
        self._names = names
        self._position = start
        self._unreachable: set[str] = set()
        self.forward = False

    @property
    def name(self) -> str:
        return self._names[self._position % len(self._names)]

    def skip_unreachable(self) -> None:
        """Go on to the next one: this one cannot be reached from here, and perhaps the leader cannot."""
        self._unreachable.add(self.name)
        self.forward = True
        self._position += 1

    def follow_hint(self, leader: str) -> None:
        """Go on to the leader that a follower named, or to the next one."""
        if leader in self._names and leader != self.name and leader not in self._unreachable:
            self._position = self._names.index(leader)
        else:
            # Where the leader cannot be reached from here, a replica that does forwards the request.
            self.forward = self.forward or bool(leader)
            self._position += 1


@dataclass(slots=True)
class _Attempts:
    """What is known of one request while it is asked again and again."""

    subject: str
    is_first_use: bool  # of its request id
    sent: int = 0
    asked_at_index: int | None = None
    failure: str = "no seat could be reached"


class ConsensusClient:
    """Asks the group's replicas; any process may, by whichever replica answers.

    Connections are opened when first used and live in `tasks`.  One request is repeated under one id while
    its outcome is unknown, so it is applied once however often it arrived.
    """

    def __init__(
        self,
        environment: Environment,
        tasks: TaskGroup,
        cluster: str,
        name: str,
        replicas: Mapping[str, str],
        settings: ClientSettings | None = None,
        *,
        cache: DecisionCache | None = None,
    ) -> None:
        """`name` says who asked, in decisions and request ids; `replicas` gives their addresses as this
        process reaches them; `cache` takes what is answered as well.

        Raises InvalidReplicaSetError without any replica.
        """
        if not replicas:
            raise InvalidReplicaSetError("no seat to ask")
        self.environment, self.tasks, self.cluster, self.name = environment, tasks, cluster, name
        self.settings = settings or ClientSettings()
        self.replicas = dict(replicas)
        self.cache = cache or DecisionCache(None, environment.clock)
        self.leader = ""  # where the last answer came from
        self._newest_applied = 0  # the newest index that any replica said it has applied
        self._connections: dict[str, PeerConnection] = {}
        # Ids must not come a second time in a later life of this name.
        nonce = environment.random_source.getrandbits(64)
        self._request_prefix = f"{name[:MAX_CLIENT_NAME]}-{nonce:016x}"
        self._requests = 0

    def _connection(self, name: str) -> PeerConnection:
        connection = self._connections.get(name)
        if connection is None:
            local = LocalEndpoint(self.cluster, self.name[:MAX_CLIENT_NAME], False)
            connection = PeerConnection(
                self.environment,
                name,
                self.replicas[name],
                lambda: local,
                limits=self.settings.connection_limits,
                reconnect=self.settings.reconnect,
            )
            self._connections[name] = connection
            self.tasks.start_soon(connection.run)
        return connection

    def new_request_id(self) -> str:
        """Return a new request id."""
        self._requests += 1
        return f"{self._request_prefix}-{self._requests}"

    # --- operations

    async def decide(
        self,
        topic: str,
        value: bytes,
        lease_ms: float,
        if_version: int | None = None,
        *,
        author: str | None = None,
        request_id: str | None = None,
        timeout_ms: float | None = None,
    ) -> Decision:
        """Set a topic's value and return the decision; with `if_version` only after it (0: none).

        Raises DecisionConflictError with the current version; DecisionTooLargeError; RequestForgottenError;
        InvalidDecisionError for a topic or lease that cannot be; NoQuorumError, whose `outcome_unknown` says
        whether it may still be decided.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise DecisionTooLargeError(f"topic {topic!r}: a value of {len(value)} bytes")
        attempts = _Attempts(f"topic {topic!r}", is_first_use=request_id is None)
        command = Decide(
            topic,
            value,
            lease_ms,
            self.name if author is None else author,
            request_id or self.new_request_id(),
            0,
            if_version,
        )
        decode_command(encode(command))  # checks the bounds of its fields
        reply = await self._request(
            lambda index: msgspec.structs.replace(command, asked_at_index=index), attempts, timeout_ms
        )
        if not isinstance(reply, CurrentDecision) or reply.decision is None:
            raise InvalidDecisionError(f"a replica answered {type(reply).__name__} to a decision")
        self.cache.receive(reply.decision)
        return reply.decision

    async def drop(
        self, topic: str, if_version: int | None = None, *, timeout_ms: float | None = None
    ) -> int:
        """Remove a topic's decision; return the drop's version.  Raises as `decide` does."""
        request_id = self.new_request_id()
        reply = await self._request(
            lambda index: Drop(topic, request_id, index, if_version),
            _Attempts(f"topic {topic!r}", is_first_use=True),
            timeout_ms,
        )
        if not isinstance(reply, Done):
            raise InvalidDecisionError(f"a replica answered {type(reply).__name__} to a drop")
        return reply.version

    async def read(self, topic: str, *, timeout_ms: float | None = None) -> Decision | None:
        """Return a topic's decision at some moment during this call (linearizable), or None.

        Raises NoQuorumError.
        """
        reply = await self._request_plain(ReadDecision(topic), f"topic {topic!r}", timeout_ms)
        if not isinstance(reply, CurrentDecision):
            raise InvalidDecisionError(f"a replica answered {type(reply).__name__} to a read")
        if reply.decision is not None:
            self.cache.receive(reply.decision)
        return reply.decision

    async def join(self, identity: str, *, timeout_ms: float | None = None) -> None:
        """Have the replica `identity` (name#id) added.  Raises NoQuorumError."""
        await self._request_plain(AddReplica(identity), f"seat {identity}", timeout_ms)

    async def remove(self, name: str, *, timeout_ms: float | None = None) -> None:
        """Have a replica removed, by name or identity.  Raises NoQuorumError."""
        await self._request_plain(RemoveReplica(name), f"seat {name}", timeout_ms)

    async def transfer(self, target: str, *, timeout_ms: float | None = None) -> None:
        """Ask the leader to hand the lead to the replica `target`.  Raises NoQuorumError."""
        await self._request_plain(TransferLeadership(target), f"seat {target}", timeout_ms)

    async def status(self, name: str, *, timeout_ms: float | None = None) -> dict[str, object] | None:
        """Return one replica's own status; None where it does not answer in time."""
        timeout_ms = timeout_ms or self.settings.attempt_timeout_ms
        deadline_ms = self.environment.clock() + timeout_ms
        connection = self._connection(name)
        if await connection.wait_open(deadline_ms) is None:
            return None
        reply = await connection.ask(GetStatus(), forward=False, deadline_ms=deadline_ms)
        if not isinstance(reply, ReplicaStatus):
            return None
        status: dict[str, object] = json.loads(reply.text)
        return status

    # --- attempts

    async def _request_plain(
        self, operation: Operation, subject: str, timeout_ms: float | None
    ) -> CurrentDecision | Done:
        return await self._request(lambda _: operation, _Attempts(subject, is_first_use=True), timeout_ms)

    async def _request(
        self,
        operation_at: Callable[[int], Operation],
        attempts: _Attempts,
        timeout_ms: float | None,
    ) -> CurrentDecision | Done:
        """Send an operation until its outcome is known; `operation_at` makes it for an index."""
        clock, settings = self.environment.clock, self.settings
        started_at_ms = clock()
        deadline_ms = started_at_ms + (settings.timeout_ms if timeout_ms is None else timeout_ms)
        choice = self._first_choice()
        while clock() < deadline_ms:
            name = choice.name
            attempt_deadline_ms = min(deadline_ms, clock() + settings.attempt_timeout_ms)
            connection = self._connection(name)
            peer = connection.peer or await connection.wait_open(attempt_deadline_ms)
            if peer is None:
                choice.skip_unreachable()
                continue
            if attempts.asked_at_index is None:
                newest = max(self._newest_applied, peer.applied, connection.peer_applied)
                attempts.asked_at_index = self._newest_applied = newest
            attempts.sent += 1
            reply = await connection.ask(
                operation_at(attempts.asked_at_index), forward=choice.forward, deadline_ms=attempt_deadline_ms
            )
            self._newest_applied = max(self._newest_applied, connection.peer_applied)
            if isinstance(reply, CurrentDecision | Done):
                self.leader = name
                return reply
            self._after_failure(reply, attempts, choice)
            pause_ms = settings.retry_delay_ms * self.environment.random_source.uniform(0.5, 1)
            await anyio.sleep(max(0.0, min(pause_ms, deadline_ms - clock())) / 1000)
        waited_ms = clock() - started_at_ms
        raise NoQuorumError(
            f"{attempts.subject}: not decided within {waited_ms:.0f} ms ({attempts.failure})",
            waited_ms,
            attempts.sent > 0,
        )

    def _first_choice(self) -> _ReplicaChoice:
        names = sorted(self.replicas)
        if self.leader in names:
            return _ReplicaChoice(names, names.index(self.leader))
        return _ReplicaChoice(names, self.environment.random_source.randrange(len(names)))

    def _after_failure(self, reply: Reply | None, attempts: _Attempts, choice: _ReplicaChoice) -> None:
        """Raise what is final, or prepare the next attempt."""
        subject, name = attempts.subject, choice.name
        match reply:
            case VersionConflict(version):
                raise DecisionConflictError(f"{subject}: another decision stands, number {version}", version)
            case Rejected("forgotten") if attempts.is_first_use and attempts.sent == 1:
                # Sent this once and never before: surely not applied, the index was only too old.
                attempts.asked_at_index, attempts.sent = None, 0
            case Rejected("forgotten"):
                raise RequestForgottenError(f"{subject}: asked too late to know whether it was applied")
            case Rejected(reason):
                raise DecisionTooLargeError(f"{subject}: {reason}")
            case NotLeader(leader_hint):
                attempts.failure = f"{name} does not lead"
                choice.follow_hint(leader_hint)
            case RetryLater(reason):
                attempts.failure = f"{name}: {reason}"
            case _:
                attempts.failure = f"{name} did not answer"
                choice.skip_unreachable()
