"""The client with which any process reads and makes the consensus group's decisions."""

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

MAX_CLIENT_NAME_CHARACTERS = 64


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Timeouts, retries and connection settings of a client."""

    timeout_ms: float = 10_000.0  # several elections, so that a request outlasts a leader failure
    attempt_timeout_ms: float = 1000.0  # without a reply by then, the next replica is tried
    retry_delay_ms: float = 40.0  # before the next attempt; each delay is drawn from 50 to 100 % of it
    connection_limits: ConnectionLimits = ConnectionLimits()
    reconnect: ReconnectBackoff = ReconnectBackoff()


class _ReplicaChoice:
    """Selects the replica for the next attempt, and whether a follower may forward the request."""

    def __init__(self, names: Sequence[str], start: int) -> None:
        self._names = names
        self._position = start
        self._unreachable: set[str] = set()
        self.forward = False

    @property
    def name(self) -> str:
        return self._names[self._position % len(self._names)]

    def skip_unreachable(self) -> None:
        """Move to the next replica and allow forwarding, since the leader may be unreachable as well."""
        self._unreachable.add(self.name)
        self.forward = True
        self._position += 1

    def follow_hint(self, leader: str) -> None:
        """Move to the leader that a follower named if it is reachable, otherwise to the next replica."""
        if leader in self._names and leader != self.name and leader not in self._unreachable:
            self._position = self._names.index(leader)
        else:
            # The leader is unreachable from here; a replica that can reach it forwards the request.
            self.forward = self.forward or bool(leader)
            self._position += 1


@dataclass(slots=True)
class _Attempts:
    """State of one request over all its attempts."""

    subject: str
    is_first_use: bool  # of the request id
    sent: int = 0
    asked_at_index: int | None = None
    failure: str = "no seat is reachable"  # why the last attempt failed


class ConsensusClient:
    """Sends requests to the group's replicas from any process.

    Connections are opened on first use and run in `tasks`.  While its outcome is unknown, a request is
    retried under the same id, so it is applied once even if it arrives several times.
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
        """Create a client without opening any connection.

        `name` identifies the client in decisions and request ids.  `replicas` maps each replica's name to
        its address as seen from this process.  `cache` also receives the decisions that replicas return.

        Raises InvalidReplicaSetError if `replicas` is empty.
        """
        if not replicas:
            raise InvalidReplicaSetError("the client has no seat to connect to; name at least one")
        self.environment, self.tasks, self.cluster, self.name = environment, tasks, cluster, name
        self.settings = settings or ClientSettings()
        self.replicas = dict(replicas)
        self.cache = cache or DecisionCache(None, environment.clock)
        self.leader = ""  # the replica that answered last
        self._newest_applied = 0  # the highest index that any replica has reported as applied
        self._connections: dict[str, PeerConnection] = {}
        # A later process of the same name must not reuse request ids.
        nonce = environment.random_source.getrandbits(64)
        self._request_prefix = f"{name[:MAX_CLIENT_NAME_CHARACTERS]}-{nonce:016x}"
        self._requests = 0

    def _connection(self, name: str) -> PeerConnection:
        connection = self._connections.get(name)
        if connection is None:
            local = LocalEndpoint(self.cluster, self.name[:MAX_CLIENT_NAME_CHARACTERS], False)
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
        """Return a request id that no other request of this or another process uses."""
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
        """Set a topic's value and return the decision.

        With `if_version`, only if that is the topic's current version (0: the topic has no decision).
        Raises DecisionConflictError with the current version; DecisionTooLargeError; RequestForgottenError;
        InvalidDecisionError for an invalid topic or lease; NoQuorumError, whose `outcome_unknown` tells
        whether the request may still be applied.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise DecisionTooLargeError(f"topic {topic!r}: the value of {len(value)} bytes is too large")
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
        decode_command(encode(command))  # checks the bounds of the fields
        reply = await self._retry_until_answered(
            lambda index: msgspec.structs.replace(command, asked_at_index=index), attempts, timeout_ms
        )
        if not isinstance(reply, CurrentDecision) or reply.decision is None:
            raise InvalidDecisionError(f"unexpected reply {type(reply).__name__} to a decide request")
        self.cache.receive(reply.decision)
        return reply.decision

    async def drop(
        self, topic: str, if_version: int | None = None, *, timeout_ms: float | None = None
    ) -> int:
        """Remove a topic's decision and return the version of the removal.

        Raises the errors of `decide`.
        """
        request_id = self.new_request_id()
        reply = await self._retry_until_answered(
            lambda index: Drop(topic, request_id, index, if_version),
            _Attempts(f"topic {topic!r}", is_first_use=True),
            timeout_ms,
        )
        if not isinstance(reply, Done):
            raise InvalidDecisionError(f"unexpected reply {type(reply).__name__} to a drop request")
        return reply.version

    async def read(self, topic: str, *, timeout_ms: float | None = None) -> Decision | None:
        """Return a topic's current decision (a linearizable read), or None if there is none.

        Raises NoQuorumError.
        """
        reply = await self._send_operation(ReadDecision(topic), f"topic {topic!r}", timeout_ms)
        if not isinstance(reply, CurrentDecision):
            raise InvalidDecisionError(f"unexpected reply {type(reply).__name__} to a read request")
        if reply.decision is not None:
            self.cache.receive(reply.decision)
        return reply.decision

    async def join(self, identity: str, *, timeout_ms: float | None = None) -> None:
        """Add the replica `identity` (name#id) to the group.  Raises NoQuorumError."""
        await self._send_operation(AddReplica(identity), f"seat {identity}", timeout_ms)

    async def remove(self, name: str, *, timeout_ms: float | None = None) -> None:
        """Remove a replica, given by name or identity, from the group.  Raises NoQuorumError."""
        await self._send_operation(RemoveReplica(name), f"seat {name}", timeout_ms)

    async def transfer(self, target: str, *, timeout_ms: float | None = None) -> None:
        """Ask the leader to transfer leadership to the replica `target`.  Raises NoQuorumError."""
        await self._send_operation(TransferLeadership(target), f"seat {target}", timeout_ms)

    async def status(self, name: str, *, timeout_ms: float | None = None) -> dict[str, object] | None:
        """Return the status of one replica, or None if it does not answer in time."""
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

    async def _send_operation(
        self, operation: Operation, subject: str, timeout_ms: float | None
    ) -> CurrentDecision | Done:
        return await self._retry_until_answered(
            lambda _: operation, _Attempts(subject, is_first_use=True), timeout_ms
        )

    async def _retry_until_answered(
        self,
        operation_at: Callable[[int], Operation],
        attempts: _Attempts,
        timeout_ms: float | None,
    ) -> CurrentDecision | Done:
        """Retry an operation until its outcome is known, and return the reply.

        `operation_at` builds the operation for a given `asked_at_index`.
        """
        clock, settings = self.environment.clock, self.settings
        started_at_ms = clock()
        deadline_ms = started_at_ms + (settings.timeout_ms if timeout_ms is None else timeout_ms)
        choice = self._initial_choice()
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
            self._handle_failed_attempt(reply, attempts, choice)
            pause_ms = settings.retry_delay_ms * self.environment.random_source.uniform(0.5, 1)
            await anyio.sleep(max(0.0, min(pause_ms, deadline_ms - clock())) / 1000)
        waited_ms = clock() - started_at_ms
        raise NoQuorumError(
            f"{attempts.subject}: no result within {waited_ms:.0f} ms ({attempts.failure})",
            waited_ms,
            attempts.sent > 0,
        )

    def _initial_choice(self) -> _ReplicaChoice:
        names = sorted(self.replicas)
        if self.leader in names:
            return _ReplicaChoice(names, names.index(self.leader))
        return _ReplicaChoice(names, self.environment.random_source.randrange(len(names)))

    def _handle_failed_attempt(
        self, reply: Reply | None, attempts: _Attempts, choice: _ReplicaChoice
    ) -> None:
        """Raise the error of a final reply, or prepare the next attempt."""
        subject, name = attempts.subject, choice.name
        match reply:
            case VersionConflict(version):
                raise DecisionConflictError(
                    f"{subject}: the current version is {version}, not the expected one", version
                )
            case Rejected("forgotten") if attempts.is_first_use and attempts.sent == 1:
                # Sent only once, so it was not applied: only its index is too old.  Retry with a newer one.
                attempts.asked_at_index, attempts.sent = None, 0
            case Rejected("forgotten"):
                raise RequestForgottenError(
                    f"{subject}: retried too late to know whether the request was applied"
                )
            case Rejected(reason):
                raise DecisionTooLargeError(f"{subject}: {reason}")
            case NotLeader(leader_hint):
                attempts.failure = f"{name} is not the leader"
                choice.follow_hint(leader_hint)
            case RetryLater(reason):
                attempts.failure = f"{name}: {reason}"
            case _:
                attempts.failure = f"{name} did not answer"
                choice.skip_unreachable()
