"""The interface between the driver and what carries attempts to nodes: one attempt in, its outcome back.

Nothing here knows a protocol.  A transport starts an attempt when it is told to, reports exactly once
that it ended, and chooses no node; the driver handles no bytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from cressrock.dispatch.ledger import Attempt, Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.interface import Outcome

NEVER_BEGUN = (Outcome.NO_CONNECTION, Outcome.ABANDONED)


class ShardRequest(Protocol):
    """What the scheduler has to know of one request to one shard, however its bytes look."""

    @property
    def volume(self) -> str:
        """The volume that its units are booked to."""

    @property
    def key(self) -> str:
        """The data that it touches."""

    @property
    def shard(self) -> int:
        """The shard that holds the data; -1: a new object."""

    @property
    def request_class(self) -> int:
        """Its class, by number."""

    @property
    def units(self) -> float:
        """Its size."""

    @property
    def plan(self) -> int:
        """The volume's plan, by number."""

    @property
    def writers(self) -> int:
        """The dispatchers that the volume's requests come through."""

    @property
    def idempotency_key(self) -> str:
        """Under which nodes drop a repeat; empty: none."""


@dataclass(frozen=True, slots=True)
class Denial:
    """No answer of a node: a refusal (a retry is harmless) or a failure (nothing is promised)."""

    verdict: Verdict
    reason: Reason
    retry_after_ms: float = 0.0


def reached_node(outcome: Outcome) -> bool | None:
    """Whether an attempt's request came to a node, None where nobody can tell.  A fixed reading.

    A refusal or an error line may have been written to whoever connected, before it had read a request.
    """
    if outcome is Outcome.OK:
        return True
    return False if outcome in NEVER_BEGUN else None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended.  `used` and `elsewhere` are what the node told of the volume, 0 if nothing."""

    outcome: Outcome
    latency_ms: float
    reply: Any = None  # the node's answer, in the transport's own form; with OK alone
    used: int = 0
    elsewhere: float = 0.0
    text: str = ""  # for the log


class Call(Protocol):
    """One attempt, as the driver hands it over."""

    @property
    def op(self) -> Any:
        """The request, in the transport's own form."""

    @property
    def label(self) -> str:
        """Names the client's request in what goes to the nodes, for logs and traces only."""

    @property
    def attempt(self) -> Attempt:
        """The ledger's entry: number, node, time of sending."""

    @property
    def deadline(self) -> float:
        """When the transport stops waiting, in milliseconds on the driver's clock."""

    @property
    def leave_by(self) -> float:
        """When its last byte has to have left, on the driver's clock; infinity where nothing bounds it.

        What has not left whole by then must not leave at all: it ends as ABANDONED, as it never ran.  A
        transport that cannot tell asks `may_leave` alone.
        """

    def may_leave(self) -> bool:
        """Whether it may still go, to be asked just before its first byte.  False: it ends as ABANDONED."""

    def begin(self, reply: Any) -> bool:
        """Hand on an answer whose payload still comes in; False: the request was over before."""

    def end(self, ending: AttemptResult) -> None:
        """Report the outcome; has to be called once."""


class AttemptHandle(Protocol):
    """An attempt under way."""

    def stop(self) -> None:
        """Give the attempt up; its outcome is still reported, ABANDONED where nothing was handed over."""

    def abandon(self) -> None:
        """Let nothing more of it leave if it has not left whole: its client has gone, and it never ran.

        One that has left whole goes on.  A transport that cannot tell does nothing.
        """


class Transport(Protocol):
    """What carries attempts."""

    def start(self, call: Call) -> AttemptHandle:
        """Begin an attempt.  `call.end` may be called before this returns."""
