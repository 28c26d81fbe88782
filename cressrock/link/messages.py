"""The link's messages, version 2: MessagePack, each a map with its tag under `t`.

No payload passes over the link.  Times are milliseconds on the *edge's* clock, which alone sets them: no
rule may hang on two machines' clocks agreeing.  Tags and keys are the wire's; where the name here is another
one, the wire's stands beside it.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

MAX_TEXT = 512  # characters

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Text = Annotated[str, Meta(max_length=MAX_TEXT)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Version = Annotated[int, Meta(ge=1, le=65535)]
TimeMs = Annotated[float, Meta(ge=0, le=1e15)]
AgeMs = Annotated[int, Meta(ge=0, le=10**9)]
Units = Annotated[float, Meta(ge=0, le=1e9)]
Capabilities = Annotated[list[Name], Meta(max_length=64)]

FRAME_HEADER_BYTES = 4


class Message(Struct, frozen=True, tag_field="t", array_like=False):
    """Any message of the link."""


class Hello(Message, frozen=True, tag="hello"):
    """The edge's first message: the versions it speaks, highest first, and who it is in this life."""

    versions: Annotated[list[Version], Meta(min_length=1, max_length=32)]
    name: Name
    incarnation: Name = field(name="life")  # differs in every start of the edge's process
    capabilities: Capabilities = []
    credit: Count = 0  # orders that the planner may send before it is given more


class Welcome(Message, frozen=True, tag="welcome"):
    """The planner's answer: the version agreed on, and the epoch of all that it will order."""

    version: Version
    name: Name
    epoch: Count
    capabilities: Capabilities = []
    credit: Count = 0  # events that the edge may send before it is given more


class Goodbye(Message, frozen=True, tag="parting"):
    """An orderly end, with its reason in words; the last message of its sender."""

    reason: Text


class Ping(Message, frozen=True, tag="ping"):
    """A sign of life that wants an answer."""

    number: Count


class Pong(Message, frozen=True, tag="pong"):
    """The answer to a Ping."""

    number: Count


class Credit(Message, frozen=True, tag="credit"):
    """So many messages more may be sent."""

    more: Annotated[int, Meta(ge=1, le=10**6)]


class Request(Message, frozen=True, tag="request"):
    """An operation that the edge has accepted; its deadline on the edge's clock."""

    sequence: Count
    at_ms: TimeMs
    operation: Name
    volume: Name
    key: Text
    units: Units
    deadline_ms: TimeMs
    plan: Count
    request_class: Count
    shard: Annotated[int, Meta(ge=-1, le=65535)]
    sharing_hosts: Count = field(name="writers")
    waited_ms: Annotated[float, Meta(ge=-1, le=1e15)] = -1.0  # at the event's time; negative: unknown
    earlier_attempts: Count = field(name="attempts", default=0)  # made before this offer, by another decider
    counted_in_budget: bool = field(name="counted", default=False)  # by another decider's retry budget
    leased_units: Units = field(name="lent", default=0.0)  # of the volume's limit, that come with it
    stamp: Count = 0  # the planner's newest clock stamp that the edge had when it leased the units
    rule_version: Annotated[str, Meta(max_length=64)] = field(
        name="rules", default=""
    )  # "": the settings' own


class AttemptEnded(Message, frozen=True, tag="ended"):
    """An attempt's outcome."""

    sequence: Count
    at_ms: TimeMs
    operation: Name
    attempt: Count
    outcome: Name
    settled: bool
    latency_ms: TimeMs = field(name="lag_ms")
    reported_usage: Count = field(name="used", default=0)
    units_elsewhere: Annotated[float, Meta(ge=0, le=1e12)] = field(name="elsewhere", default=0.0)


class ClientLeft(Message, frozen=True, tag="left"):
    """A client that no longer waits."""

    sequence: Count
    at_ms: TimeMs
    operation: Name


class NodeDraining(Message, frozen=True, tag="barred"):
    """A node that this edge was told to send nothing new to; the planner may not have heard of it yet."""

    sequence: Count
    at_ms: TimeMs
    node: Name


class BudgetHistory(Message, frozen=True, tag="counted"):
    """How long ago this edge made retries, and accepted requests, that others decided about."""

    sequence: Count
    at_ms: TimeMs
    retry_ages_ms: Annotated[list[AgeMs], Meta(max_length=8192)] = field(name="extra_ms")
    request_ages_ms: Annotated[list[AgeMs], Meta(max_length=8192)] = field(name="taken_ms")


class LimitLease(Message, frozen=True, tag="lend"):
    """Units of a volume's limit for what waits; they count from when the planner gave that clock stamp."""

    sequence: Count
    at_ms: TimeMs
    volume: Name
    plan: Count
    units: Units
    stamp: Count


class EdgeClock(Message, frozen=True, tag="tick"):
    """The edge's clock, when no other event carried it for a while: grants are valid by it."""

    sequence: Count
    at_ms: TimeMs


class Grant(Message, frozen=True, tag="grant"):
    """Permission for one attempt, of one operation, at one node, in one epoch, until an edge's time."""

    number: Count
    epoch: Count
    operation: Name
    attempt: Count
    node: Name
    valid_until_ms: TimeMs
    timeout_ms: TimeMs = field(name="within_ms", default=0.0)  # 0: until the client gives up


class FinalAnswer(Message, frozen=True, tag="answer"):
    """An operation's end without an attempt: rejected, or failed."""

    epoch: Count
    operation: Name
    rejected: bool = field(name="refused")
    retry_after_ms: TimeMs = field(name="stay_away_ms", default=0.0)


class CancelAttempt(Message, frozen=True, tag="calloff"):
    """End the wait on an attempt."""

    epoch: Count
    operation: Name
    attempt: Count


class ClockStamp(Message, frozen=True, tag="stamp"):
    """A numbered moment on the planner's clock: what an edge leases after reading it was leased later."""

    number: Count


class RuleVersions(Message, frozen=True, tag="rules"):
    """The rule versions that this planner holds; announced to edges which agreed to hear of them."""

    versions: Capabilities


EdgeEvent = Request | AttemptEnded | ClientLeft | NodeDraining | LimitLease | BudgetHistory | EdgeClock
OperationOrder = Grant | FinalAnswer | CancelAttempt
PlannerOrder = OperationOrder | ClockStamp | RuleVersions
AnyMessage = Hello | Welcome | Goodbye | Ping | Pong | Credit | EdgeEvent | PlannerOrder

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Return a message's frame: four bytes of length, big end first, and its MessagePack."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(FRAME_HEADER_BYTES, "big") + body


def decode(body: bytes) -> AnyMessage:
    """Read a frame's body.  Raises msgspec.DecodeError or msgspec.ValidationError."""
    return _DECODER.decode(body)


def wire_name(message: Message) -> str:
    """Return what a refusal, which goes to the peer, calls a message: part of the wire, like the tags."""
    tag = str(message.__struct_config__.tag)
    return "CallOff" if tag == "calloff" else tag.capitalize()
