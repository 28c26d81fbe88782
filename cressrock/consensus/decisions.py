"""Decisions, the commands that make them, and their encoding: one byte of format version, then MessagePack.

Versions: a decision's version is the log's index plus an offset that is set when the group is formed to the
wall clock's milliseconds, and raised by a recovery.  So one sequence over all topics grows for ever, also
over a group that was formed again after all its stores were lost (unless the clock was set back further than
that).

Leases and renewals: a decision counts for `lease_ms` on its reader's own clock since that reader first saw
its newest renewal (see `lease_renewals`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec

from cressrock.errors.consensus import InvalidDecisionError, StoreTooNewError

FORMAT_VERSION = 1
MAX_TOPICS = 16384  # that a reader keeps: one for each of 10,000 servers, and others
MAX_VALUE_BYTES = 1 << 19  # the codec's outermost bound; `DecisionLimits` are far lower

_T = TypeVar("_T")
Text = Annotated[str, msgspec.Meta(max_length=256)]
Topic = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Value = Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Lease = Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]


class DecisionLimits(msgspec.Struct, frozen=True, array_like=True):
    """Bounds of the group's memory; part of the replicated state."""

    max_topics: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)] = 4096  # a few hundred volumes, zones, rooms
    max_value_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_VALUE_BYTES)] = 49152  # below max_entry_bytes
    # A snapshot of this size crosses in a second.
    max_total_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 26)] = 4 << 20
    max_requests: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)] = 4096  # repeats come within seconds


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """A versioned value for a topic: how long it counts without renewal, who asked, its newest renewal."""

    topic: Topic
    version: Count
    value: Value
    lease_ms: Lease
    author: Text = ""
    renewal: Count = 0


class Decide(msgspec.Struct, frozen=True, array_like=True, tag="decide"):
    """Set a topic's value; with `if_version` only if that is the current version (0: if there is none)."""

    topic: Topic
    value: Value
    lease_ms: Lease
    author: Text
    request_id: Topic
    asked_at_index: Count
    if_version: Count | None = None


class Drop(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Remove a topic's decision: it is renewed no more and expires at its readers."""

    topic: Topic
    request_id: Topic
    asked_at_index: Count
    if_version: Count | None = None


class SetVersionBase(msgspec.Struct, frozen=True, array_like=True, tag="ground"):
    """Let versions go on above `version_base`, and set limits; the first leader's first command.

    After a recovery from a lost majority `committed_index` is the last index that the recovered store knew as
    committed: every later decision gets a new version, since the old one may have been given to another
    value.
    """

    version_base: Count
    limits: DecisionLimits | None = None
    committed_index: Count | None = None


Command = Decide | Drop | SetVersionBase


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """A request was applied: the decision's version, or that of the drop."""

    version: Count


class VersionConflict(msgspec.Struct, frozen=True, array_like=True, tag="clash"):
    """`if_version` is not the current version; this one is (0: there is none)."""

    version: Count


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Not applied, by a stated reason: too-large, too-many, forgotten."""

    reason: Text


Outcome = Done | VersionConflict | Rejected


@dataclass(frozen=True, slots=True)
class Expired:
    """A decision whose lease is over, since when on the reader's clock (ms): it counts no more."""

    decision: Decision
    expired_at_ms: float


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_decision_decoder = msgspec.msgpack.Decoder(Decision)


def encode_versioned(content: object) -> bytes:
    """Return one byte of format version and the content in MessagePack."""
    return bytes((FORMAT_VERSION,)) + _encoder.encode(content)


def decode_versioned(decoder: msgspec.msgpack.Decoder[_T], data: bytes, subject: str) -> _T:
    """Read what `encode_versioned` wrote; `subject` names it in errors.

    Raises InvalidDecisionError; StoreTooNewError where only a newer program knows the format.
    """
    if not data:
        raise InvalidDecisionError(f"no bytes where {subject} should be")
    if data[0] > FORMAT_VERSION:
        raise StoreTooNewError(f"{subject} of version {data[0]}; this program knows up to {FORMAT_VERSION}")
    if data[0] < 1:
        raise InvalidDecisionError(f"{subject} of version {data[0]}")
    try:
        return decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidDecisionError(f"{subject} that cannot be read: {str(error)[:200]}") from None


def encode(message: Command | Decision) -> bytes:
    """Return a command's or decision's bytes."""
    return encode_versioned(message)


def decode_command(data: bytes) -> Command:
    """Read a command.  Raises as `decode_versioned` does."""
    return decode_versioned(_command_decoder, data, "a command")


def decode_decision(data: bytes) -> Decision:
    """Read a decision.  Raises as `decode_versioned` does."""
    return decode_versioned(_decision_decoder, data, "a decision")


def gossip_key(topic: str) -> str:
    """Return the key under which replicas publish a topic's decision (as `encode` gives it) by gossip."""
    return f"decree/{topic}"


def with_renewal(decisions: Iterable[Decision], renewal: int) -> tuple[Decision, ...]:
    """Return the decisions with a renewal."""
    return tuple(msgspec.structs.replace(decision, renewal=renewal) for decision in decisions)
