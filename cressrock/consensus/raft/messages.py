"""Raft messages and their encoding, version 1: MessagePack in an envelope with cluster, sender and receiver.

Messages are named as in Ongaro, *Consensus: Bridging Theory and Practice* (2014).  Every message carries its
sender's term and the group's generation (see `force_single_voter`).  The type bounds are the maximum that the
codec accepts; `RaftSettings` keeps the messages of a replica far smaller.  Field names and tags are part of
the wire format.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from cressrock.errors.consensus import InvalidMessageError

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # larger encoded messages are not decoded
MAX_VOTERS = 16

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Data = Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES)]
Names = Annotated[tuple[Name, ...], Meta(max_length=MAX_VOTERS)]
EntryKind = Literal["empty", "command", "seats"]


class LogEntry(Struct, frozen=True, array_like=True):
    """A log entry; `data` of a `seats` entry is `encode_voters` of all voters from this entry on."""

    term: Count
    index: Count
    kind: EntryKind
    data: Data = b""


class Message(Struct, frozen=True, tag_field="t", kw_only=True):
    """Base of all messages between replicas: the sender's generation and term."""

    generation: Count
    term: Count


class PreVote(Message, frozen=True, tag="prevote", kw_only=True):
    """Asks whether the receiver would vote for the sender in `next_term`; changes no state there (9.6)."""

    next_term: Count
    last_index: Count
    last_term: Count


class PreVoteReply(Message, frozen=True, tag="prevoted", kw_only=True):
    """The reply to a PreVote for `next_term`; `term` is the current term of the replying replica."""

    next_term: Count
    granted: bool


class RequestVote(Message, frozen=True, tag="vote", kw_only=True):
    """A candidate's request for a vote in `term`; `transfer`: the leader requested the election (3.10)."""

    last_index: Count
    last_term: Count
    transfer: bool = False


class RequestVoteReply(Message, frozen=True, tag="voted", kw_only=True):
    """The reply to a RequestVote of the same `term`."""

    granted: bool


class AppendEntries(Message, frozen=True, tag="append", kw_only=True):
    """Entries of the leader's log after (`previous_index`, `previous_term`); a heartbeat if there are none.

    `round` numbers the leader's heartbeat rounds within its term; the reply repeats it, which confirms reads
    (read index) and renews the lease.
    """

    previous_index: Count
    previous_term: Count
    entries: Annotated[tuple[LogEntry, ...], Meta(max_length=4096)] = ()
    commit: Count = 0
    round: Count = 0


class AppendEntriesReply(Message, frozen=True, tag="appended", kw_only=True):
    """Reply to AppendEntries; if `accepted`, the log matches the leader's up to `match`.

    If not, the log lacks the entry at `previous_index` with the leader's term.  `conflict_term` is then the
    term the log has there and `conflict_index` the first index of that term; if the log has no such entry
    they are 0 and the last index plus one.
    """

    accepted: bool
    match: Count = 0
    previous_index: Count = 0
    conflict_term: Count = 0
    conflict_index: Count = 0
    round: Count = 0


class InstallSnapshot(Message, frozen=True, tag="snapshot", kw_only=True):
    """A chunk of the snapshot up to (`index`, `index_term`): `data` at `offset` of `size` bytes in all."""

    index: Count
    index_term: Count
    voters: Names = msgspec.field(name="seats")
    offset: Count
    size: Count
    data: Data
    round: Count = 0


class InstallSnapshotReply(Message, frozen=True, tag="snapshotted", kw_only=True):
    """Reply to InstallSnapshot: bytes below `offset` are received; `done`: the snapshot is installed."""

    index: Count
    offset: Count
    done: bool = False
    round: Count = 0


class TimeoutNow(Message, frozen=True, tag="timeout", kw_only=True):
    """Tells the receiver to campaign at once, without a pre-vote (3.10)."""


class StaleGeneration(Message, frozen=True, tag="refused", kw_only=True):
    """Tells the receiver that it belongs to an older generation of the group and no longer has a vote."""

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


class _EnvelopeHeader(Struct, frozen=True):
    """The envelope fields common to all versions."""

    v: Annotated[int, Meta(ge=1, le=65535)]
    cluster: Annotated[str, Meta(max_length=64)]


class _Envelope(Struct, frozen=True):
    """The envelope of version 1: cluster, sender, receiver and message."""

    v: Annotated[int, Meta(ge=1, le=65535)]
    cluster: Annotated[str, Meta(max_length=64)]
    sender: Name
    to: Name
    body: RaftMessage


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(_EnvelopeHeader)
_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_voters_decoder = msgspec.msgpack.Decoder(Names)


def encode(cluster: str, sender: str, receiver: str, message: RaftMessage) -> bytes:
    """Return the encoded message, without the length prefix of a frame."""
    return _encoder.encode(_Envelope(PROTOCOL_VERSION, cluster, sender, receiver, message))


def decode(data: bytes, cluster: str) -> tuple[str, str, RaftMessage]:
    """Return sender, receiver and message.  Raises InvalidMessageError with a `reason` for the counters."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError(
            f"message of {len(data)} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes", "size"
        )
    try:
        header = _header_decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(f"message cannot be decoded: {error}", "malformed") from None
    if header.v != PROTOCOL_VERSION:
        raise InvalidMessageError(
            f"message version {header.v} is not supported; this process uses {PROTOCOL_VERSION}", "version"
        )
    if header.cluster != cluster:
        raise InvalidMessageError(f"message is for cluster {header.cluster!r}, not {cluster!r}", "cluster")
    try:
        envelope = _envelope_decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidMessageError(f"message cannot be decoded: {error}", "malformed") from None
    return envelope.sender, envelope.to, envelope.body


def encode_voters(voters: tuple[str, ...]) -> bytes:
    """Return the encoded data of a `seats` entry."""
    return _encoder.encode(voters)


def decode_voters(data: bytes) -> tuple[str, ...]:
    """Return the voters of a `seats` entry.

    Raises InvalidMessageError if the data cannot be decoded, name no voter or name one twice.
    """
    try:
        voters = _voters_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise InvalidMessageError(f"voter list cannot be decoded: {error}", "malformed") from None
    if not voters or len(set(voters)) != len(voters):
        raise InvalidMessageError(f"voter list is empty or has duplicates: {voters}", "malformed")
    return voters
