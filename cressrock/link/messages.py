"""The link's messages, version 2: MessagePack, each a map with its name under `t`.

No payload passes over the link.  Times are milliseconds on the *edge's* clock, which alone sets them: no
rule may hang on two machines' clocks agreeing.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Text = Annotated[str, Meta(max_length=512)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Time = Annotated[float, Meta(ge=0, le=1e15)]


class Message(Struct, frozen=True, tag_field="t", array_like=False):
    """Any message of the link."""


class Hello(Message, frozen=True, tag="hello"):
    """The edge's first message: the versions it speaks, highest first, and who it is in this life."""

    versions: Annotated[list[Annotated[int, Meta(ge=1, le=65535)]], Meta(min_length=1, max_length=32)]
    name: Name
    life: Name  # differs in every start of the edge's process: an older connection is fenced by it
    capabilities: Annotated[list[Name], Meta(max_length=64)] = []
    credit: Count = 0  # orders that the planner may send before it is given more


class Welcome(Message, frozen=True, tag="welcome"):
    """The planner's answer: the version agreed on, and the epoch of all that it will order."""

    version: Annotated[int, Meta(ge=1, le=65535)]
    name: Name
    epoch: Count
    capabilities: Annotated[list[Name], Meta(max_length=64)] = []
    credit: Count = 0  # events that the edge may send before it is given more


class Parting(Message, frozen=True, tag="parting"):
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
    """An operation that the edge has taken; its deadline on the edge's clock."""

    sequence: Count
    at_ms: Time
    operation: Name
    volume: Name
    key: Text
    units: Annotated[float, Meta(ge=0, le=1e9)]
    deadline_ms: Time
    plan: Count
    request_class: Count
    shard: Annotated[int, Meta(ge=-1, le=65535)]
    writers: Count
    waited_ms: Annotated[float, Meta(ge=-1, le=1e15)] = -1.0  # at the event's time; negative: unknown
    attempts: Count = 0  # made before this offer, by another decider
    counted: bool = False  # another decider's budget of further attempts has counted it
    leased_units: Annotated[float, Meta(ge=0, le=1e9)] = 0.0  # units of the volume's limit that come with it
    stamp: Count = 0  # the planner's newest that the edge had when it lent
    rule_version: Annotated[str, Meta(max_length=64)] = (
        ""  # the version that decides it; "": the settings' own
    )


class AttemptEnded(Message, frozen=True, tag="ended"):
    """An attempt's outcome."""

    sequence: Count
    at_ms: Time
    operation: Name
    attempt: Count
    outcome: Name
    settled: bool
    lag_ms: Time
    used: Count = 0
    elsewhere: Annotated[float, Meta(ge=0, le=1e12)] = 0.0


class Left(Message, frozen=True, tag="left"):
    """A client that no longer waits."""

    sequence: Count
    at_ms: Time
    operation: Name


class Barred(Message, frozen=True, tag="barred"):
    """A node that this edge was told to send nothing new to; the planner may not have heard of it yet."""

    sequence: Count
    at_ms: Time
    node: Name


class Counted(Message, frozen=True, tag="counted"):
    """How long ago this edge made further attempts and took requests that others decided about."""

    sequence: Count
    at_ms: Time
    extra_ms: Annotated[list[Annotated[int, Meta(ge=0, le=10**9)]], Meta(max_length=8192)]
    taken_ms: Annotated[list[Annotated[int, Meta(ge=0, le=10**9)]], Meta(max_length=8192)]


class LimitLease(Message, frozen=True, tag="lend"):
    """Units of a volume's limit for what waits; they count from when the planner gave that stamp."""

    sequence: Count
    at_ms: Time
    volume: Name
    plan: Count
    units: Annotated[float, Meta(ge=0, le=1e9)]
    stamp: Count


class Tick(Message, frozen=True, tag="tick"):
    """The edge's clock, when nothing else told it for a while: grants are valid by it."""

    sequence: Count
    at_ms: Time


class Grant(Message, frozen=True, tag="grant"):
    """Leave for one attempt, of one operation, at one node, in one epoch, until an edge's time."""

    number: Count
    epoch: Count
    operation: Name
    attempt: Count
    node: Name
    valid_until_ms: Time
    within_ms: Time = 0.0


class Answer(Message, frozen=True, tag="answer"):
    """An operation's end without an attempt: refused, or failed."""

    epoch: Count
    operation: Name
    refused: bool
    stay_away_ms: Time = 0.0


class CallOff(Message, frozen=True, tag="calloff"):
    """End the wait on an attempt."""

    epoch: Count
    operation: Name
    attempt: Count


class ClockStamp(Message, frozen=True, tag="stamp"):
    """A moment on the planner's clock, named: what is lent after it was read was lent after that moment."""

    number: Count


class RuleVersions(Message, frozen=True, tag="rules"):
    """The versions of rules that this planner holds; told to edges which agreed to hear of them."""

    versions: Annotated[list[Name], Meta(max_length=64)]


Event = Request | AttemptEnded | Left | Barred | LimitLease | Counted | Tick
Order = Grant | Answer | CallOff | ClockStamp | RuleVersions
Any = Hello | Welcome | Parting | Ping | Pong | Credit | Event | Order

_ENCODE = msgspec.msgpack.Encoder()
_DECODE = msgspec.msgpack.Decoder(Any)


def encode(message: Message) -> bytes:
    """Return a message's frame: four bytes of length, big end first, and its MessagePack."""
    body = _ENCODE.encode(message)
    return len(body).to_bytes(4, "big") + body


def decode(body: bytes) -> Any:
    """Read a frame's body.  Raises msgspec.DecodeError or msgspec.ValidationError."""
    return _DECODE.decode(body)
