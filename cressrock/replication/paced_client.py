"""Sends repair's operations to storage nodes directly, paced, outside the scheduler's queues."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Protocol
from urllib.parse import quote

import anyio
import h11

from cressrock.dispatch.node_client import AttemptProgress, NoConnectionError, SendNotPermittedError
from cressrock.dispatch.node_response import LOAD_HEADER
from cressrock.dispatch.operation import Body, Operation, PayloadTruncatedError, Reply
from cressrock.http.channel import ConnectionLostError, Headers, MessageTooLargeError, header
from cressrock.interface import ListKind, NodeList, NodeState
from cressrock.replication import node_protocol
from cressrock.replication.headers import MISSING_SINCE_HEADER
from cressrock.replication.known_set import ReplicatedShard
from cressrock.replication.operations import OperationKind, ReplicaOperation
from cressrock.replication.repair_pacer import RepairPacer

OPERATION_TIMEOUT_MS = 3000.0  # an operation of repair without an answer for so long has failed
BUSY_STATUS = 503
# What may come of an exchange without an answer.
EXCHANGE_ERRORS = (
    NoConnectionError, SendNotPermittedError, ConnectionLostError, MessageTooLargeError,
    h11.RemoteProtocolError, PayloadTruncatedError, OSError,
)  # fmt: skip


class NodeExchange(Protocol):
    """Connections to nodes (`dispatch.node_client.NodeClient`)."""

    async def exchange(
        self, node: str, op: Operation, extra: Headers, progress: AttemptProgress, *, may_stream: bool
    ) -> tuple[Reply, object]:
        """Send an operation and return the answer."""


class PacedNodeClient:
    """Knows the newest ready node of each shard, and sends it one operation after another."""

    def __init__(
        self, client: NodeExchange, pacer: RepairPacer, clock: Callable[[], float], incarnation: str
    ) -> None:
        """`incarnation` is part of the operations' names to the nodes."""
        self._client, self._pacer, self._clock, self._incarnation = client, pacer, clock, incarnation
        self._sent = 0
        self.nodes: dict[int, str] = {}  # by node shard

    def on_node_list(self, report: NodeList) -> None:
        """Receive news of the node list.

        A list that is complete names all there are: who is missing on it is gone.
        """
        if report.kind is ListKind.FAILED:
            return
        if report.kind is not ListKind.CHANGES:
            self.nodes.clear()
        for node in sorted(report.nodes, key=lambda node: node.started_at_ms):
            if node.state is NodeState.READY:
                self.nodes[node.shard] = node.name
            elif self.nodes.get(node.shard) == node.name:
                del self.nodes[node.shard]

    async def send(
        self,
        shard: ReplicatedShard,
        operation: ReplicaOperation,
        extra: Iterable[tuple[bytes, bytes]] = (),
        method: bytes | None = None,
    ) -> Reply | None:
        """Do one operation at a replica, paced; None where it did not answer, or is too busy."""
        node_shard = shard.node_shard(operation.zone)
        node = self.nodes.get(node_shard)
        if node is None:
            return None
        await anyio.sleep(self._pacer.wait_ms(self._clock()) / 1000)
        headers: Headers = [*node_protocol.operation_headers(operation), *extra]
        is_listing = any(name == MISSING_SINCE_HEADER for name, _ in headers)
        method = method or (b"GET" if is_listing else node_protocol.operation_method(operation))
        key = operation.record.path if operation.record is not None else f"/{shard.volume}"
        payload = operation.payload
        body = payload.body if isinstance(payload, node_protocol.Payload) else None
        request = Operation(
            method, _target(key), shard.volume, key, node_shard, 0, 1.0, headers=headers, body=body
        )
        self._sent += 1
        trace: Headers = [(b"x-request-id", f"repair-{self._incarnation}-{self._sent};0;0".encode())]
        began_ms = self._clock()
        reply: Reply | None = None
        with anyio.move_on_after(OPERATION_TIMEOUT_MS / 1000):
            try:
                reply, _ = await self._client.exchange(
                    node, request, trace, AttemptProgress(), may_stream=False
                )
            except EXCHANGE_ERRORS:
                reply = None  # the plan breaks off, and a later one begins from the set as it then stands
        now_ms = self._clock()
        is_busy = reply is not None and reply.status == BUSY_STATUS
        self._pacer.record_operation(now_ms, now_ms - began_ms, rejected=is_busy, load=_load(reply))
        return None if is_busy else reply

    async def inspect(self, shard: ReplicatedShard, zone: str, role: str = "") -> Reply | None:
        """Ask a replica which store it is and which set it knows, whatever the set says of it."""
        return await self.send(shard, ReplicaOperation(zone, role, 0, "", OperationKind.INSPECT))

    async def store_id(self, shard: ReplicatedShard, zone: str, role: str = "") -> str | None:
        """Return the id of the store at a replica, whichever the set names; None where it is not told."""
        reply = await self.inspect(shard, zone, role)
        return node_protocol.parse_store_id(reply.headers) if reply is not None else None


class BytesBody:
    """A payload of bytes that are here as a whole."""

    is_complete = True

    def __init__(self, data: bytes) -> None:
        """Keep the bytes."""
        self._data = data

    @property
    def length(self) -> int:
        """Bytes in all."""
        return len(self._data)

    async def read_chunk(self, offset: int) -> bytes:
        """Return the bytes from an offset."""
        return self._data[offset:]


def body_of(reply: Reply) -> Body:
    """Return an answer's payload, to be sent on."""
    return BytesBody(reply.body)


def _target(key: str) -> bytes:
    """Return a path's form in a request; a volume's root ends with a slash."""
    path = quote(key, safe="/!$&'()*+,;=:@-._~")
    return (path + "/" if path.count("/") == 1 else path).encode()


def _load(reply: Reply | None) -> float:
    """Read how busy a node says it is, 0 where it says nothing."""
    value = header(reply.headers, LOAD_HEADER) if reply is not None else None
    if value is None:
        return 0.0
    try:
        report = json.loads(value.removeprefix(b"JSON").strip())
        return float(report.get("cpu_utilization", 0.0))
    except (ValueError, AttributeError, TypeError):
        return 0.0  # a report that cannot be read says nothing
