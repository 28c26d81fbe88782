"""Raft's messages and their encoding, version 1: MessagePack, one envelope with cluster, sender, receiver.

Messages are named after Ongaro, *Consensus: Bridging Theory and Practice* (2014).  Every message carries its
sender's term and the group's generation (see `force_single_voter`).  The bounds of the types are the codec's
outermost; a replica's `RaftSettings` bound what it makes far lower.  Field names and tags are on the wire.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.consensus import InvalidMessageError

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # of one encoded message: nothing larger is decoded
MAX_VOTERS = 16

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Data = Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES)]
Names = Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]
EntryKind = Literal["empty", "command", "seats"]


class LogEntry(Struct, frozen=True, array_like=True):
    """One entry of the log; `data` of a `seats` entry is `encode_voters` of all voters from here on."""

    term: Count
    index: Count
    kind: EntryKind
    data: Data = b""


class Message(Struct, frozen=True, tag_field="t", kw_only=True):
    """Any message between replicas: the sender's generation and term."""

    generation: Count
    term: Count


class PreVote(Message, frozen=True, tag="prevote", kw_only=True):
    """Asks for a promise of a vote in the term `next_term`; changes nothing at the receiver (9.6)."""

    next_term: Count
    last_index: Count
    last_term: Count


class PreVoteReply(Message, frozen=True, tag="prevoted", kw_only=True):
    """The answer to a PreVote for `next_term`; `term` is the answerer's own."""

    next_term: Count
    granted: bool


class RequestVote(Message, frozen=True, tag="vote", kw_only=True):
    """A candidate's request for a vote in `term`; `transfer`: the leader itself asked it to stand (3.10)."""

    last_index: Count
    last_term: Count
    transfer: bool = False


class RequestVoteReply(Message, frozen=True, tag="voted", kw_only=True):
    """The answer to a RequestVote of this `term`."""

    granted: bool


class AppendEntries(Message, frozen=True, tag="append", kw_only=True):
    """The leader's entries after (`previous_index`, `previous_term`); without entries a heartbeat.

    `round` numbers the leader's heartbeats in its term; the answer repeats it (read index, lease).
    """

    previous_index: Count
    previous_term: Count
    entries: Annotated[tuple[LogEntry, ...], Meta(max_length=4096)] = ()
    commit: Count = 0
    round: Count = 0


class AppendEntriesReply(Message, frozen=True, tag="appended", kw_only=True):
    """Accepted: the log agrees with the leader's up to `match`.  Not accepted: see `conflict_*`.

    Not accepted means that the log has no (`previous_index`, the leader's term of it); then `conflict_term`
    is the term of that entry instead and `conflict_index` its first index, or 0 and the end of the log + 1.
    """

    accepted: bool
    match: Count = 0
    previous_index: Count = 0
    conflict_term: Count = 0
    conflict_index: Count = 0
    round: Count = 0


class InstallSnapshot(Message, frozen=True, tag="snapshot", kw_only=True):
    """A chunk of the snapshot up to (`index`, `index_term`): `data` at `offset` of `size` bytes."""

    index: Count
    index_term: Count
    voters: Names = msgspec.field(name="seats")
    offset: Count
    size: Count
    data: Data
    round: Count = 0


class InstallSnapshotReply(Message, frozen=True, tag="snapshotted", kw_only=True):
    """Of the snapshot at `index` the bytes below `offset` were received; `done`: it is installed."""

    index: Count
    offset: Count
    done: bool = False
    round: Count = 0


class TimeoutNow(Message, frozen=True, tag="timeout", kw_only=True):
    """The leader asks the receiver to campaign at once (3.10)."""


class StaleGeneration(Message, frozen=True, tag="refused", kw_only=True):
    """The receiver is of an older generation of the group and has no vote any more."""

    reason: Annotated[str, Meta(max_length=512)]


RaftMessage = (
    PreVote
    | PreVoteReply
    | RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
    | StaleGeneration
)


class _Head(Struct, frozen=True):
    """The part of an envelope that every version has."""

    v: Annotated[int, Meta(ge=1, le=65535)]
    cluster: Annotated[str, Meta(max_length=64)]


class _Envelope(Struct, frozen=True):
    """Version 1: cluster, sender, receiver and message."""

    v: Annotated[int, Meta(ge=1, le=65535)]
    cluster: Annotated[str, Meta(max_length=64)]
    sender: Name
    to: Name
    body: RaftMessage


_encoder = msgspec.msgpack.Encoder()
_head = msgspec.msgpack.Decoder(_Head)
_envelope = msgspec.msgpack.Decoder(_Envelope)
_names = msgspec.msgpack.Decoder(Names)


def encode(cluster: str, sender: str, receiver: str, message: RaftMessage) -> bytes:
    """Return the bytes of one message, without a frame's length."""
    return _encoder.encode(_Envelope(PROTOCOL_VERSION, cluster, sender, receiver, message))


def decode(data: bytes, cluster: str) -> tuple[str, str, RaftMessage]:
    """Return sender, receiver and message.  Raises InvalidMessageError, whose `reason` is for a counter."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError(
            f"a message of {len(data)} bytes, at most {MAX_MESSAGE_BYTES} are taken", "size"
        )
    try:
        head = _head.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(f"a message that is none: {error}", "malformed") from None
    if head.v != PROTOCOL_VERSION:
        raise InvalidMessageError(
            f"a message of version {head.v}, this process speaks {PROTOCOL_VERSION}", "version"
        )
    if head.cluster != cluster:
        raise InvalidMessageError(f"a message of cluster {head.cluster!r}, this is {cluster!r}", "cluster")
    try:
        envelope = _envelope.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(f"a message that is none: {error}", "malformed") from None
    return envelope.sender, envelope.to, envelope.body


def encode_voters(voters: tuple[str, ...]) -> bytes:
    """Return the data of a `seats` entry."""
    return _encoder.encode(voters)


def decode_voters(data: bytes) -> tuple[str, ...]:
    """Return the voters of a `seats` entry.

    Raises InvalidMessageError if the data are none, or name one twice.
    """
    try:
        voters = _names.decode(data)
    except msgspec.DecodeError as error:
        raise InvalidMessageError(f"seats that are none: {error}", "malformed") from None
    if not voters or len(set(voters)) != len(voters):
        raise InvalidMessageError(f"seats that are none, or one of them twice: {voters}", "malformed")
    return voters
