"""Sends repair operations directly to storage nodes at a limited pace, outside the scheduler's queues."""

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

OPERATION_TIMEOUT_MS = 3000.0  # a repair operation without a response by then has failed
BUSY_STATUS = 503
# Raised by an exchange that ends without a usable response.
EXCHANGE_ERRORS = (
    NoConnectionError, SendNotPermittedError, ConnectionLostError, MessageTooLargeError,
    h11.RemoteProtocolError, PayloadTruncatedError, OSError,
)  # fmt: skip


class NodeExchange(Protocol):
    """Connections to nodes (`dispatch.node_client.NodeClient`)."""

    async def exchange(
        self, node: str, op: Operation, extra: Headers, progress: AttemptProgress, *, may_stream: bool
    ) -> tuple[Reply, object]:
        """Send an operation; return the response and an object that this module ignores."""


class PacedNodeClient:
    """Tracks the newest ready node of each shard and sends it repair operations, one at a time."""

    def __init__(
        self, client: NodeExchange, pacer: RepairPacer, clock: Callable[[], float], incarnation: str
    ) -> None:
        """`clock` returns ms; `incarnation` becomes part of the request ids sent to nodes."""
        self._client, self._pacer, self._clock, self._incarnation = client, pacer, clock, incarnation
        self._sent_count = 0
        self.nodes: dict[int, str] = {}  # by node shard

    def on_node_list(self, report: NodeList) -> None:
        """Update the ready nodes from a node list.

        A complete list names every node: one missing from it is gone.  A failed lookup changes nothing.
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
        """Send one operation to a replica when the pacer permits it.

        `extra` are further header fields; `method` replaces the one that the operation implies.  Returns None
        if the shard has no ready node, the node did not respond in time, or it is too busy (503).
        """
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
        self._sent_count += 1
        request_id_headers: Headers = [
            (b"x-request-id", f"repair-{self._incarnation}-{self._sent_count};0;0".encode())
        ]
        sent_at_ms = self._clock()
        reply: Reply | None = None
        with anyio.move_on_after(OPERATION_TIMEOUT_MS / 1000):
            try:
                reply, _ = await self._client.exchange(
                    node, request, request_id_headers, AttemptProgress(), may_stream=False
                )
            except EXCHANGE_ERRORS:
                reply = None  # the repair plan ends; a later one starts from the set decided by then
        now_ms = self._clock()
        is_busy = reply is not None and reply.status == BUSY_STATUS
        self._pacer.record_operation(now_ms, now_ms - sent_at_ms, rejected=is_busy, load=_load(reply))
        return None if is_busy else reply

    async def inspect(self, shard: ReplicatedShard, zone: str, role: str = "") -> Reply | None:
        """Ask a replica for its store id and newest epoch, whatever the set says; None as in `send`."""
        return await self.send(shard, ReplicaOperation(zone, role, 0, "", OperationKind.INSPECT))

    async def store_id(self, shard: ReplicatedShard, zone: str, role: str = "") -> str | None:
        """Return the store id that a replica reports, whichever the set names; None if it reports none."""
        reply = await self.inspect(shard, zone, role)
        return node_protocol.parse_store_id(reply.headers) if reply is not None else None


class BytesBody:
    """A payload held completely in memory."""

    is_complete = True

    def __init__(self, data: bytes) -> None:
        """`data` is the whole payload."""
        self._data = data

    @property
    def length(self) -> int:
        """Total size in bytes."""
        return len(self._data)

    async def read_chunk(self, offset: int) -> bytes:
        """Return all bytes from an offset to the end."""
        return self._data[offset:]


def reply_body(reply: Reply) -> Body:
    """Return a response's payload as a body for another operation."""
    return BytesBody(reply.body)


def _target(key: str) -> bytes:
    """Return a path as a request target, percent-encoded; a volume's root ends with a slash."""
    path = quote(key, safe="/!$&'()*+,;=:@-._~")
    return (path + "/" if path.count("/") == 1 else path).encode()


def _load(reply: Reply | None) -> float:
    """Return the CPU utilization (0 to 1) that a response reports, 0 if it reports none."""
    value = header(reply.headers, LOAD_HEADER) if reply is not None else None
    if value is None:
        return 0.0
    try:
        report = json.loads(value.removeprefix(b"JSON").strip())
        return float(report.get("cpu_utilization", 0.0))
    except (ValueError, AttributeError, TypeError):
        return 0.0  # an unreadable load report is ignored
