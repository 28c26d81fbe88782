"""The interface between the driver and the transports, which send attempts to nodes and report outcomes.

It does not depend on a protocol.  A transport starts the attempts that the driver passes to it, reports the
end of each exactly once, and chooses no node; the driver does not process payload bytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from cressrock.dispatch.ledger import Attempt, Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.interface import Outcome

UNSENT_OUTCOMES = (Outcome.NO_CONNECTION, Outcome.ABANDONED)


class ShardRequest(Protocol):
    """What the scheduler must know about one request to one shard, independent of the protocol."""

    @property
    def volume(self) -> str:
        """The volume to which its units are charged."""

    @property
    def key(self) -> str:
        """Identifies the data that it accesses."""

    @property
    def shard(self) -> int:
        """The number of the shard that holds the data; -1 for a new object."""

    @property
    def request_class(self) -> int:
        """The index of its request class."""

    @property
    def units(self) -> float:
        """Its cost in units."""

    @property
    def plan(self) -> int:
        """The index of the volume's plan."""

    @property
    def dispatcher_count(self) -> int:
        """The number of dispatchers that carry the volume's requests."""

    @property
    def idempotency_key(self) -> str:
        """The key by which nodes drop repeats; empty if it has none."""


@dataclass(frozen=True, slots=True)
class Denial:
    """An answer without a node's response: a rejection (a retry is harmless) or a failure (no guarantee)."""

    verdict: Verdict
    reason: Reason
    retry_after_ms: float = 0.0


def reached_node(outcome: Outcome) -> bool | None:
    """Whether an attempt's request reached a node; None if that cannot be known.  A fixed mapping.

    A node may send a rejection or an error response to a new connection before it has read a request.
    """
    if outcome is Outcome.OK:
        return True
    return False if outcome in UNSENT_OUTCOMES else None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.  `used` and `units_elsewhere` report the node's load of the volume; 0: none."""

    outcome: Outcome
    latency_ms: float
    reply: Any = None  # the node's response, in the transport's own type; used only with OK
    used: int = 0
    units_elsewhere: float = 0.0
    text: str = ""  # for the log


class Call(Protocol):
    """One attempt, as the driver passes it to the transport."""

    @property
    def name(self) -> str:
        """The driver's name for the request."""

    @property
    def op(self) -> Any:
        """The request, in the transport's own type."""

    @property
    def label(self) -> str:
        """Identifies the client's request to the nodes, for logs and traces only."""

    @property
    def attempt(self) -> Attempt:
        """The ledger's record of the attempt: number, node and send time."""

    @property
    def deadline(self) -> float:
        """When the transport stops waiting, in milliseconds on the driver's clock."""

    @property
    def leave_by(self) -> float:
        """When its last byte must have been sent, in ms on the driver's clock; infinity if unbounded.

        A request that is not sent completely by then must not be completed: it ends as ABANDONED, since it
        never ran.  A transport that cannot tell how much was sent relies on `may_leave` alone.
        """

    def may_leave(self) -> bool:
        """Whether it may still be sent; to be called just before its first byte.  If not, it is ABANDONED."""

    def begin(self, reply: Any) -> bool:
        """Pass on a response whose payload is still being received; False if already answered."""

    def end(self, ending: AttemptResult) -> None:
        """Report the outcome; must be called exactly once."""


class AttemptHandle(Protocol):
    """The driver's control over an attempt in flight."""

    def stop(self) -> None:
        """Cancel the attempt; its outcome is still reported, as ABANDONED if no byte was sent."""

    def abandon(self) -> None:
        """Stop sending if the request is not sent completely: its client has disconnected; it never ran.

        A request that was sent completely continues.  A transport that cannot tell does nothing.
        """


class Transport(Protocol):
    """Sends attempts to nodes."""

    def start(self, call: Call) -> AttemptHandle:
        """Start an attempt.  `call.end` may be called before this returns."""
