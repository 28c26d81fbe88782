"""Incoming connections of a replica: messages from other replicas, and requests to answer."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from anyio.abc import TaskGroup

from cressrock.consensus.connection_protocol import Closed, ConnectionProtocol, Event, LocalEndpoint
from cressrock.consensus.environment import Environment
from cressrock.consensus.frames import CloseNotice, Operation, RaftFrame, Reply, Request, Response, RetryLater
from cressrock.consensus.settings import ReplicaSettings
from cressrock.consensus.transport import Connection
from cressrock.http.channel import Stream

GROUP_FORMED = "council-founded"  # code of the notice that makes peers reconnect to learn the group


class Handler(Protocol):
    """The replica, as its server uses it."""

    def local_endpoint(self) -> LocalEndpoint:
        """Return the identity to present on a new connection."""

    def refusal(self) -> CloseNotice | None:
        """Return the notice with which to close new connections; None to accept them."""

    def receive_raft(self, peer: str, data: bytes) -> None:
        """Process a message from the replica `peer`."""

    async def reply(self, operation: Operation, *, forward: bool) -> Reply:
        """Execute an operation; with `forward` a follower may pass it to the leader."""

    def applied(self) -> int:
        """Return the last applied index."""


class ReplicaServer:
    """Serves the accepted streams of a replica."""

    def __init__(
        self, environment: Environment, settings: ReplicaSettings, handler: Handler, counts: Counter[str]
    ) -> None:
        """Start with no connection; `counts` receives the number of closed connections by code."""
        self.environment, self.settings, self.handler, self.counts = environment, settings, handler, counts
        self.tasks: TaskGroup | None = None  # runs the request handlers; None while requests are not answered
        self._connections: set[Connection] = set()
        self._active_requests = 0

    async def serve(self, stream: Stream) -> None:
        """Serve one accepted stream until it ends."""
        clock, settings = self.environment.clock, self.settings
        protocol = ConnectionProtocol(
            False, self.handler.local_endpoint(), clock(), limits=settings.connection_limits
        )
        on_event: Callable[[Event], None] = lambda event: self._on_event(connection, event)  # noqa: E731
        connection = Connection(protocol, stream, clock, on_event)
        self._connections.add(connection)
        try:
            if (refusal := self.handler.refusal()) is not None:
                connection.close(refusal.code, refusal.reason)
            elif len(self._connections) > settings.max_connections:
                connection.close(
                    "council-crowded", f"the limit of {settings.max_connections} open connections is reached"
                )
            await connection.run()
        finally:
            self._connections.discard(connection)

    def close_all(self, code: str, reason: str, *, replicas_only: bool = False) -> None:
        """Close all connections, or only those of replicas, with a reason."""
        for connection in list(self._connections):
            if connection.protocol.peer_is_replica or not replicas_only:
                connection.close(code, reason)

    def _on_event(self, connection: Connection, event: Event) -> None:
        match event:
            case RaftFrame(data):
                self.handler.receive_raft(connection.protocol.peer, data)
            case Request(number):
                if self.tasks is None or self._active_requests >= self.settings.max_pending_requests:
                    connection.send(Response(number, RetryLater("too many pending requests")))
                else:
                    self._active_requests += 1
                    self.tasks.start_soon(self._respond, connection, event)
            case Closed(code, reason) if code not in ("ended", GROUP_FORMED):
                self.counts[f"parted {code}"] += 1
                self.environment.log_event(
                    "consensus.connection_closed", peer=connection.protocol.peer, code=code, reason=reason
                )

    async def _respond(self, connection: Connection, request: Request) -> None:
        try:
            reply = await self.handler.reply(request.operation, forward=request.forward)
            connection.send(Response(request.number, reply, self.handler.applied()))
        finally:
            self._active_requests -= 1
