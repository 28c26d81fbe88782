"""Decisions, the commands that make them, and their encoding: one byte of format version, then MessagePack.

Versions: a decision's version is its log index plus an offset, which is the wall clock in milliseconds when
the group is formed and is raised by a recovery.  Versions of all topics therefore form one increasing
sequence, even if a group is formed again after all its stores were lost (unless the clock was set back by
more than the time in between).

Leases and renewals: a decision is valid for `lease_ms` on its reader's own clock, from when that reader first
received its newest renewal (see `lease_renewals`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec

from cressrock.errors.consensus import InvalidDecisionError, StoreTooNewError

FORMAT_VERSION = 1
MAX_TOPICS = 16384  # of a reader: one for each of 10,000 servers, and others
MAX_VALUE_BYTES = 1 << 19  # limit of the encoding; `DecisionLimits` are far lower

_T = TypeVar("_T")
Text = Annotated[str, msgspec.Meta(max_length=256)]
Topic = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Value = Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Lease = Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]


class DecisionLimits(msgspec.Struct, frozen=True, array_like=True):
    """Size limits of the group's state; themselves part of the replicated state."""

    max_topics: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)] = 4096  # a few hundred volumes, zones, rooms
    max_value_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_VALUE_BYTES)] = 49152  # below max_entry_bytes
    # A snapshot of this size is transferred within a second.
    max_total_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 26)] = 4 << 20
    max_requests: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)] = 4096  # clients retry within seconds


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """A versioned value of a topic, with its lease, its author and its newest renewal."""

    topic: Topic
    version: Count
    value: Value
    lease_ms: Lease
    author: Text = ""
    renewal: Count = 0


class Decide(msgspec.Struct, frozen=True, array_like=True, tag="decide"):
    """Set a topic's value; with `if_version` only if that is the current version (0: no decision)."""

    topic: Topic
    value: Value
    lease_ms: Lease
    author: Text
    request_id: Topic
    asked_at_index: Count
    if_version: Count | None = None


class Drop(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Remove a topic's decision; it is no longer renewed and expires at its readers."""

    topic: Topic
    request_id: Topic
    asked_at_index: Count
    if_version: Count | None = None


class SetVersionBase(msgspec.Struct, frozen=True, array_like=True, tag="ground"):
    """Continue versions above `version_base`, and set limits; the first leader's first command.

    After a recovery from a lost majority, `committed_index` is the last index that the recovered store knew
    to be committed.  Every later decision gets a new version, since its old one may have been assigned to
    another value.
    """

    version_base: Count
    limits: DecisionLimits | None = None
    committed_index: Count | None = None


Command = Decide | Drop | SetVersionBase


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The request was applied; `version` is that of the decision or of its removal."""

    version: Count


class VersionConflict(msgspec.Struct, frozen=True, array_like=True, tag="clash"):
    """`if_version` is not the current version; `version` is (0: the topic has no decision)."""

    version: Count


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The request was not applied; `reason` is too-large, too-many or forgotten."""

    reason: Text


Outcome = Done | VersionConflict | Rejected


@dataclass(frozen=True, slots=True)
class Expired:
    """A decision whose lease has ended, and when, on the reader's clock."""

    decision: Decision
    expired_at_ms: float


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_decision_decoder = msgspec.msgpack.Decoder(Decision)


def encode_versioned(content: object) -> bytes:
    """Return one byte with the format version, followed by the content in MessagePack."""
    return bytes((FORMAT_VERSION,)) + _encoder.encode(content)


def decode_versioned(decoder: msgspec.msgpack.Decoder[_T], data: bytes, subject: str) -> _T:
    """Decode the output of `encode_versioned`; `subject` names the content in errors.

    Raises InvalidDecisionError, or StoreTooNewError for a newer program's format.
    """
    if not data:
        raise InvalidDecisionError(f"{subject} is empty")
    if data[0] > FORMAT_VERSION:
        raise StoreTooNewError(
            f"{subject} has format version {data[0]}; this program supports up to {FORMAT_VERSION}"
        )
    if data[0] < 1:
        raise InvalidDecisionError(f"{subject} has the invalid format version {data[0]}")
    try:
        return decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidDecisionError(f"{subject} cannot be decoded: {str(error)[:200]}") from None


def encode(message: Command | Decision) -> bytes:
    """Return the versioned encoding of a command or a decision."""
    return encode_versioned(message)


def decode_command(data: bytes) -> Command:
    """Decode a command.  Raises the errors of `decode_versioned`."""
    return decode_versioned(_command_decoder, data, "a command")


def decode_decision(data: bytes) -> Decision:
    """Decode a decision.  Raises the errors of `decode_versioned`."""
    return decode_versioned(_decision_decoder, data, "a decision")


def gossip_key(topic: str) -> str:
    """Return the gossip key under which replicas publish a topic's encoded decision."""
    return f"decree/{topic}"


def with_renewal(decisions: Iterable[Decision], renewal: int) -> tuple[Decision, ...]:
    """Return copies of the decisions with this renewal."""
    return tuple(msgspec.structs.replace(decision, renewal=renewal) for decision in decisions)
