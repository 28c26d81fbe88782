"""The connections that others open to a replica: messages for its core, requests for it to answer."""

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

GROUP_FORMED = "council-founded"  # the code with which a replica asks others to greet it again


class Handler(Protocol):
    """What a server asks of its replica."""

    def local_endpoint(self) -> LocalEndpoint:
        """Return who this replica is now."""

    def refusal(self) -> CloseNotice | None:
        """Return with what to close connections if nobody is served now."""

    def receive_raft(self, peer: str, data: bytes) -> None:
        """Take a replica's message."""

    async def reply(self, operation: Operation, *, forward: bool) -> Reply:
        """Do an operation."""

    def applied(self) -> int:
        """Return the newest index that was applied."""


class ReplicaServer:
    """Serves accepted streams for a replica."""

    def __init__(
        self, environment: Environment, settings: ReplicaSettings, handler: Handler, counts: Counter[str]
    ) -> None:
        """`counts` counts closed connections by code."""
        self.environment, self.settings, self.handler, self.counts = environment, settings, handler, counts
        self.tasks: TaskGroup | None = None  # in which requests are answered; None while nobody is
        self._connections: set[Connection] = set()
        self._active_requests = 0

    async def serve(self, stream: Stream) -> None:
        """Serve one accepted stream to its end."""
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
                connection.close("council-crowded", f"{settings.max_connections} connections are open")
            await connection.run()
        finally:
            self._connections.discard(connection)

    def close_all(self, code: str, reason: str, *, replicas_only: bool = False) -> None:
        """Close the connections with a reason."""
        for connection in list(self._connections):
            if connection.protocol.peer_is_replica or not replicas_only:
                connection.close(code, reason)

    def _on_event(self, connection: Connection, event: Event) -> None:
        match event:
            case RaftFrame(data):
                self.handler.receive_raft(connection.protocol.peer, data)
            case Request(number):
                if self.tasks is None or self._active_requests >= self.settings.max_pending_requests:
                    connection.send(Response(number, RetryLater("too much is asked at once")))
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
