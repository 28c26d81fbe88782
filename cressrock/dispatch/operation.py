"""A storage operation over HTTP as the front ends name it, and what comes back: the interface to dispatch.

Nothing here, nor in the layers below, knows by which front end an operation came.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from cressrock.dispatch.transport import Denial
from cressrock.http.channel import Headers


class Body(Protocol):
    """A payload that can be read again from its start, as often as attempts need it."""

    @property
    def length(self) -> int | None:
        """Bytes in all; None while it still comes in without a declared length."""

    @property
    def complete(self) -> bool:
        """Whether all of it is here."""

    async def chunk(self, offset: int) -> bytes:
        """Return the bytes that begin at an offset, waiting for them; b"" at the end."""


@dataclass(frozen=True, slots=True)
class Operation:
    """One request to one shard.  `units` is its size, `key` the data it touches, for the scheduler."""

    method: bytes
    target: bytes
    volume: str
    key: str
    shard: int
    request_class: int
    units: float
    plan: int = 0
    writers: int = 1
    headers: Headers = field(default_factory=list)
    body: Body | None = None
    idempotency_key: str = ""
    stream: bool = False  # the payload of its answer may be handed on while it still comes in


class IncomingPayload(Protocol):
    """The payload of an answer that still comes in from a node."""

    async def chunk(self) -> bytes:
        """Return some bytes, b"" at the end.  Raises PayloadTruncatedError where the node broke off."""

    def abandon(self) -> None:
        """Say that nobody reads on; the attempt ends."""


class PayloadTruncatedError(Exception):
    """A payload ended before its end: the client must see that too."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A node's answer, its payload in `body`, by chunks in `stream`, or kept whole in `payload`."""

    status: int
    headers: Headers
    body: bytes = b""
    stream: IncomingPayload | None = None
    payload: Body | None = None


Result = Reply | Denial
