"""The frames on consensus TCP connections: a length of 4 bytes, followed by a MessagePack struct.

The dialler starts the handshake with a Hello: its protocol versions, cluster, identity and group.  The other
side answers with a Welcome that selects one common version, or closes with a reason that both sides log.
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
    """The dialler's handshake message; `sender` is a replica's identity (name#id) or a client's name.

    `group` identifies the sender's group ("" if it has none yet), and `initial_replicas` lists the
    identities that formed it.
    """

    versions: Annotated[tuple[int, ...], Meta(max_length=16)]
    cluster: Name
    sender: Name
    is_replica: bool = False
    group: Name = ""
    initial_replicas: Names = ()


class Welcome(Struct, frozen=True, array_like=True, tag="welcome"):
    """The reply to a Hello: the selected version, the replica's identity and group, its applied index."""

    version: int
    sender: Name
    group: Name = ""
    initial_replicas: Names = ()
    applied: Count = 0


class CloseNotice(Struct, frozen=True, array_like=True, tag="parting"):
    """Sent before the sender closes the connection: a code (as of an error type) and a readable reason."""

    code: Name
    reason: Words


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """Requests a Pong with the same number."""

    number: Count


class Pong(Struct, frozen=True, array_like=True, tag="pong"):
    """The reply to a Ping, with the sender's applied index."""

    number: Count
    applied: Count = 0


class RaftFrame(Struct, frozen=True, array_like=True, tag="raft"):
    """A message between replicas, encoded by raft/messages.py."""

    data: bytes


class ReadDecision(Struct, frozen=True, array_like=True, tag="read"):
    """Read the current decision of a topic (linearizable, by a read index)."""

    topic: Topic


class GetStatus(Struct, frozen=True, array_like=True, tag="status"):
    """Get the status of the replica that receives the request."""


class AddReplica(Struct, frozen=True, array_like=True, tag="join"):
    """Add the replica with this identity; an earlier one of the same name is removed first."""

    identity: Name


class RemoveReplica(Struct, frozen=True, array_like=True, tag="remove"):
    """Remove the replica with this name or identity."""

    name: Name


class TransferLeadership(Struct, frozen=True, array_like=True, tag="transfer"):
    """Transfer leadership to the replica with this name."""

    target: Name


Operation = Decide | Drop | ReadDecision | GetStatus | AddReplica | RemoveReplica | TransferLeadership


class Request(Struct, frozen=True, array_like=True, tag="ask"):
    """An operation; `number` is unique on the connection, `forward` lets a follower pass it to the leader."""

    number: Count
    operation: Operation
    forward: bool = False


class CurrentDecision(Struct, frozen=True, array_like=True, tag="stands"):
    """The decision that was read or made; None if the topic has none."""

    decision: Decision | None


class NotLeader(Struct, frozen=True, array_like=True, tag="elsewhere"):
    """This replica is not the leader; `leader_hint` may name it.  The operation's outcome is unknown."""

    leader_hint: Name = ""


class RetryLater(Struct, frozen=True, array_like=True, tag="later"):
    """The operation is not done yet; the client should retry."""

    reason: Words


class ReplicaStatus(Struct, frozen=True, array_like=True, tag="told"):
    """A replica's status as JSON."""

    text: Annotated[str, Meta(max_length=MAX_STATUS_CHARACTERS)]


Reply = CurrentDecision | VersionConflict | Rejected | NotLeader | RetryLater | ReplicaStatus | Done


class Response(Struct, frozen=True, array_like=True, tag="answer"):
    """The reply to the Request with this number, and the sender's applied index."""

    number: Count
    reply: Reply
    applied: Count = 0


Frame = Hello | Welcome | CloseNotice | Ping | Pong | RaftFrame | Request | Response

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return a frame's bytes, length first."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_body(body: bytes) -> Frame:
    """Decode a frame from its bytes without the length.  Raises msgspec.DecodeError, RecursionError."""
    return _decoder.decode(body)


def encode_status(status: Mapping[str, object]) -> ReplicaStatus:
    """Return a status as a reply, truncated to MAX_STATUS_CHARACTERS of JSON."""
    return ReplicaStatus(json.dumps(status)[:MAX_STATUS_CHARACTERS])
