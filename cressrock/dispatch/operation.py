"""Storage operations over HTTP and their results: the interface between the front ends and dispatch.

Neither this module nor the layers below depend on the front end that an operation came from.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from cressrock.dispatch.transport import Denial
from cressrock.http.channel import Headers


class Body(Protocol):
    """A payload that can be read from its start again, once for each attempt."""

    @property
    def length(self) -> int | None:
        """Total bytes; None while the payload is still being received and has no declared length."""

    @property
    def is_complete(self) -> bool:
        """Whether the whole payload has been received."""

    async def read_chunk(self, offset: int) -> bytes:
        """Return some bytes from an offset on, waiting until there are any; b"" at the end."""


@dataclass(frozen=True, slots=True)
class Operation:
    """One request to one shard.  For the scheduler: `units` is its cost, `key` the data that it accesses."""

    method: bytes
    target: bytes
    volume: str
    key: str
    shard: int
    request_class: int
    units: float
    plan: int = 0
    dispatcher_count: int = 1
    headers: Headers = field(default_factory=list)
    body: Body | None = None
    idempotency_key: str = ""
    stream: bool = False  # the response payload may be streamed to the client


class IncomingPayload(Protocol):
    """A response payload that is still being received from a node."""

    async def read_chunk(self) -> bytes:
        """Return the next bytes, b"" at the end.  Raises PayloadTruncatedError if the node stops early."""

    def abandon(self) -> None:
        """Stop reading the payload, which ends the attempt."""


class PayloadTruncatedError(Exception):
    """A payload ended early; the client must not take what it got as complete."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A node's response; its payload is in `body`, streamed by `stream`, or stored in `payload`."""

    status: int
    headers: Headers
    body: bytes = b""
    stream: IncomingPayload | None = None
    payload: Body | None = None


Result = Reply | Denial
