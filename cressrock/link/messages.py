"""The link's messages, version 2: each is a MessagePack map with its tag under the key `t`.

No payload data is sent over the link.  Times are milliseconds on the *edge's* clock, and no rule may depend
on the clocks of two machines agreeing.  Tags and keys are part of the wire format; where an attribute here
has another name, `field(name=...)` gives the key.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

MAX_TEXT_CHARS = 512

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Version = Annotated[int, Meta(ge=1, le=65535)]
TimeMs = Annotated[float, Meta(ge=0, le=1e15)]
AgeMs = Annotated[int, Meta(ge=0, le=10**9)]
Units = Annotated[float, Meta(ge=0, le=1e9)]
Capabilities = Annotated[list[Name], Meta(max_length=64)]

FRAME_HEADER_BYTES = 4


class Message(Struct, frozen=True, tag_field="t", array_like=False):
    """Base class of all messages."""


class Hello(Message, frozen=True, tag="hello"):
    """The edge's first message: its supported versions, highest first, and its identity."""

    versions: Annotated[list[Version], Meta(min_length=1, max_length=32)]
    name: Name
    incarnation: Name = field(name="life")  # new at each start of the edge's process
    capabilities: Capabilities = []
    credit: Count = 0  # number of orders that the planner may send until it gets more credit


class Welcome(Message, frozen=True, tag="welcome"):
    """The planner's reply to Hello: the agreed version and the epoch of all its orders."""

    version: Version
    name: Name
    epoch: Count
    capabilities: Capabilities = []
    credit: Count = 0  # number of events that the edge may send until it gets more credit


class Goodbye(Message, frozen=True, tag="parting"):
    """Closes the link, with a readable reason; the sender's last message."""

    reason: Text


class Ping(Message, frozen=True, tag="ping"):
    """Liveness probe, answered by a Pong with the same number."""

    number: Count


class Pong(Message, frozen=True, tag="pong"):
    """Reply to a Ping, with the same number."""

    number: Count


class Credit(Message, frozen=True, tag="credit"):
    """Allows the peer to send `more` further messages."""

    more: Annotated[int, Meta(ge=1, le=10**6)]


class Request(Message, frozen=True, tag="request"):
    """Offers the planner an operation that the edge has accepted; the deadline is on the edge's clock."""

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
    waited_ms: Annotated[float, Meta(ge=-1, le=1e15)] = -1.0  # as of `at_ms`; negative: unknown
    earlier_attempts: Count = field(name="attempts", default=0)  # by previous deciders
    counted_in_budget: bool = field(name="counted", default=False)  # in another decider's retry budget
    leased_units: Units = field(name="lent", default=0.0)  # of the volume's limit, leased with this request
    stamp: Count = 0  # newest clock stamp that the edge had received when it leased the units
    # "": the rules of the settings
    rule_version: Annotated[str, Meta(max_length=64)] = field(name="rules", default="")


class AttemptEnded(Message, frozen=True, tag="ended"):
    """Reports an attempt's outcome; `settled`: the client has its final answer."""

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
    """Reports that an operation's client no longer waits for an answer."""

    sequence: Count
    at_ms: TimeMs
    operation: Name


class NodeDraining(Message, frozen=True, tag="barred"):
    """Reports a node that the edge knows to be draining; the planner's node list may be older."""

    sequence: Count
    at_ms: TimeMs
    node: Name


class BudgetHistory(Message, frozen=True, tag="counted"):
    """Ages (ms) of the retries that other deciders ordered at this edge, and of the requests they counted."""

    sequence: Count
    at_ms: TimeMs
    retry_ages_ms: Annotated[list[AgeMs], Meta(max_length=8192)] = field(name="extra_ms")
    request_ages_ms: Annotated[list[AgeMs], Meta(max_length=8192)] = field(name="taken_ms")


class LimitLease(Message, frozen=True, tag="lend"):
    """Leases units of a volume's limit for waiting operations, valid from when the clock stamp was issued."""

    sequence: Count
    at_ms: TimeMs
    volume: Name
    plan: Count
    units: Units
    stamp: Count


class EdgeClock(Message, frozen=True, tag="tick"):
    """Reports the edge's clock, by which grants expire, when no other event has done so for a while."""

    sequence: Count
    at_ms: TimeMs


class Grant(Message, frozen=True, tag="grant"):
    """Permits one attempt of one operation at one node in one epoch, until a time on the edge's clock."""

    number: Count
    epoch: Count
    operation: Name
    attempt: Count
    node: Name
    valid_until_ms: TimeMs
    timeout_ms: TimeMs = field(name="within_ms", default=0.0)  # 0: until the client gives up


class FinalAnswer(Message, frozen=True, tag="answer"):
    """Ends an operation without a node's answer: rejected if `rejected`, otherwise failed."""

    epoch: Count
    operation: Name
    rejected: bool = field(name="refused")
    retry_after_ms: TimeMs = field(name="stay_away_ms", default=0.0)


class CancelAttempt(Message, frozen=True, tag="calloff"):
    """Tells the edge to cancel an attempt in flight."""

    epoch: Count
    operation: Name
    attempt: Count


class ClockStamp(Message, frozen=True, tag="stamp"):
    """A numbered time on the planner's clock.  A lease that names a stamp was made after that time."""

    number: Count


class RuleVersions(Message, frozen=True, tag="rules"):
    """The rule versions that the planner holds; sent to edges that have the `RULE_VERSIONS` capability."""

    versions: Capabilities


EdgeEvent = Request | AttemptEnded | ClientLeft | NodeDraining | LimitLease | BudgetHistory | EdgeClock
OperationOrder = Grant | FinalAnswer | CancelAttempt
PlannerOrder = OperationOrder | ClockStamp | RuleVersions
AnyMessage = Hello | Welcome | Goodbye | Ping | Pong | Credit | EdgeEvent | PlannerOrder

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Return a message's frame: the body's length in four bytes, big-endian, and the MessagePack body."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(FRAME_HEADER_BYTES, "big") + body


def decode(body: bytes) -> AnyMessage:
    """Decode a frame's body.  Raises msgspec.DecodeError or msgspec.ValidationError."""
    return _DECODER.decode(body)


def wire_name(message: Message) -> str:
    """Return a message's name in protocol errors, which go to the peer: it is part of the wire format."""
    tag = str(message.__struct_config__.tag)
    return "CallOff" if tag == "calloff" else tag.capitalize()
