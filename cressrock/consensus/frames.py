"""What runs over the consensus' TCP connections: a length of 4 bytes, then a MessagePack struct.

A dialler greets with the versions that it speaks, its cluster, its identity and the group that it knows; the
other side answers with one common version, or closes with a reason that both log.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from cressrock.consensus.decisions import Decide, Decision, Done, Drop, Rejected, Topic, VersionConflict

VERSIONS = (1,)
LENGTH_BYTES = 4
MAX_STATUS_CHARACTERS = 65536

Name = Annotated[str, Meta(max_length=64)]
Words = Annotated[str, Meta(max_length=512)]
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Names = Annotated[tuple[Name, ...], Meta(max_length=16)]


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """The dialler's greeting; `sender` is a replica's identity (name#id), or a client's name.

    `group` identifies the group that the sender belongs to ("" before), `initial_replicas` who formed it.
    """

    versions: Annotated[tuple[int, ...], Meta(max_length=16)]
    cluster: Name
    sender: Name
    is_replica: bool = False
    group: Name = ""
    initial_replicas: Names = ()


class Welcome(Struct, frozen=True, array_like=True, tag="welcome"):
    """The answer: the version from here on, who answers, which group, and what it has applied."""

    version: int
    sender: Name
    group: Name = ""
    initial_replicas: Names = ()
    applied: Count = 0


class CloseNotice(Struct, frozen=True, array_like=True, tag="parting"):
    """The sender closes the connection: a code (as of an error type) and the reason in words."""

    code: Name
    reason: Words


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """Asks for a Pong."""

    number: Count


class Pong(Struct, frozen=True, array_like=True, tag="pong"):
    """The answer to a Ping, with what the sender has applied."""

    number: Count
    applied: Count = 0


class RaftFrame(Struct, frozen=True, array_like=True, tag="raft"):
    """One message between replicas, as raft/messages.py encodes it."""

    data: bytes


class ReadDecision(Struct, frozen=True, array_like=True, tag="read"):
    """Ask for the current decision of a topic, by a read index."""

    topic: Topic


class GetStatus(Struct, frozen=True, array_like=True, tag="status"):
    """Ask for the replica's own status; any replica answers for itself."""


class AddReplica(Struct, frozen=True, array_like=True, tag="join"):
    """Add the replica of this identity; a former one of the same name is removed first."""

    identity: Name


class RemoveReplica(Struct, frozen=True, array_like=True, tag="remove"):
    """Remove the replica of this name or identity."""

    name: Name


class TransferLeadership(Struct, frozen=True, array_like=True, tag="transfer"):
    """Hand the lead to the replica of this name."""

    target: Name


Operation = Decide | Drop | ReadDecision | GetStatus | AddReplica | RemoveReplica | TransferLeadership


class Request(Struct, frozen=True, array_like=True, tag="ask"):
    """An operation under the connection's own number; `forward`: a follower may forward it to the leader."""

    number: Count
    operation: Operation
    forward: bool = False


class CurrentDecision(Struct, frozen=True, array_like=True, tag="stands"):
    """The decision that was read or made; None: there is none."""

    decision: Decision | None


class NotLeader(Struct, frozen=True, array_like=True, tag="elsewhere"):
    """Not answered here: `leader_hint` names who may lead.  The operation's outcome is unknown."""

    leader_hint: Name = ""


class RetryLater(Struct, frozen=True, array_like=True, tag="later"):
    """Not done now: ask again."""

    reason: Words


class ReplicaStatus(Struct, frozen=True, array_like=True, tag="told"):
    """A status, as JSON."""

    text: Annotated[str, Meta(max_length=MAX_STATUS_CHARACTERS)]


Reply = CurrentDecision | VersionConflict | Rejected | NotLeader | RetryLater | ReplicaStatus | Done


class Response(Struct, frozen=True, array_like=True, tag="answer"):
    """The reply to the Request of this number, and what the sender has applied by now."""

    number: Count
    reply: Reply
    applied: Count = 0


Frame = Hello | Welcome | CloseNotice | Ping | Pong | RaftFrame | Request | Response

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return a frame with its length."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_body(body: bytes) -> Frame:
    """Return the frame of a body without its length.  Raises msgspec.DecodeError, RecursionError."""
    return _decoder.decode(body)


def encode_status(status: Mapping[str, object]) -> ReplicaStatus:
    """Return a status as a reply."""
    return ReplicaStatus(json.dumps(status)[:MAX_STATUS_CHARACTERS])
