"""Messages of the streams between gateways, framed as MessagePack with a length prefix of four bytes.

Messages are arrays: a field is identified by its position, a message's type by a small number (the tag).  New
fields may be appended with a default; a reader ignores fields that it does not know.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.presence import PresenceFrameError

FORMAT = 1
MAX_FRAME_BYTES = 256 * 1024
DIGEST_BYTES = 8
LENGTH_BYTES = 4

_RoomName = Annotated[str, msgspec.Meta(max_length=512)]
_Lock = Annotated[str, msgspec.Meta(max_length=512)]
_MemberId = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
_Name = Annotated[str, msgspec.Meta(max_length=64)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62) - 1)]
_Data = Annotated[bytes, msgspec.Meta(max_length=4096)]
_SessionDigest = Annotated[bytes, msgspec.Meta(max_length=16)]

# The version in an end marker (`MemberEntry.moved` without a gateway) tells who ended the session.
ENDED_BY_CLIENT = 0
ENDED_BY_GATEWAY = 1


class Origin(NamedTuple):
    """A gateway process, the only writer of its members; a restart gives it another incarnation."""

    gateway: str
    incarnation: int


class VersionStamp(NamedTuple):
    """A version of one gateway's changes: a dependency of a change, or where a moved session continues."""

    gateway: _Name
    incarnation: _Number
    version: _Number

    @property
    def origin(self) -> Origin:
        """Return the gateway process that the version belongs to."""
        return Origin(self.gateway, self.incarnation)


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """A member as published by its gateway.

    `hop` counts the moves of the session between gateways.  `secret_digest` lets another gateway verify the
    session's secret and take the session over.  `moved` turns the entry into a marker: the session continues
    at that gateway since that version or, if the gateway's name is empty, was ended by its client (version 0)
    or by its gateway (1).
    """

    id: _MemberId
    hop: _Number = 0
    data: _Data = b""
    locks: Annotated[list[_Lock], msgspec.Meta(max_length=64)] = []
    secret_digest: _SessionDigest = b""
    moved: VersionStamp | None = None

    @property
    def moved_to(self) -> Origin | None:
        """Return the gateway process where the session continues; None if it has not moved."""
        return self.moved.origin if self.moved is not None and self.moved.gateway else None

    @property
    def has_ended(self) -> bool:
        """Return whether the entry marks the end of its session."""
        return self.moved is not None and not self.moved.gateway


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One change of a gateway's members in a room, with its causes: versions of other gateways' changes.

    `entry` is None if the member was removed.
    """

    version: _Number
    member_id: _MemberId
    entry: MemberEntry | None
    reason: _Name = ""
    causes: Annotated[list[VersionStamp], msgspec.Meta(max_length=4096)] = []


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """The first frame that each side of a stream sends."""

    format: int
    cluster: _Name
    gateway: _Name
    incarnation: _Number

    @property
    def origin(self) -> Origin:
        """Return the sender's gateway process."""
        return Origin(self.gateway, self.incarnation)


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for this room's changes after a version, and for all later ones as they occur."""

    room: _RoomName
    after_version: _Number


class Unsubscribe(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Ends the subscription to this room."""

    room: _RoomName


class SnapshotPage(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """One page of a snapshot of a room's members at a version; the page with `last` completes it."""

    room: _RoomName
    version: _Number
    first: bool
    last: bool
    entries: list[MemberEntry]
    causes: list[VersionStamp] = []


class ChangeBatch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Changes of a room in order; empty if nothing has changed since the requested version."""

    room: _RoomName
    changes: list[Change]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Sent when there is nothing else to send, to show that the sender is alive."""


class ReplicateRoom(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks the receiver to follow the sender's members in a room and to reply once it has this version."""

    request: _Number
    room: _RoomName
    version: _Number


class HandOverRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks the receiver to hand a session over to the sender; `secret` is the session's secret."""

    request: _Number
    room: _RoomName
    member_id: _MemberId
    secret: Annotated[bytes, msgspec.Meta(max_length=16)]


class HandOverDone(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Confirms that the session continues at the sender since this version of the sender's changes."""

    room: _RoomName
    member_id: _MemberId
    hop: _Number
    version: _Number


class FindMember(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks for the newest entry that the receiver knows of a member."""

    request: _Number
    room: _RoomName
    member_id: _MemberId


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The reply to a numbered request, with an entry and its gateway if there is one."""

    request: _Number
    done: bool
    entry: MemberEntry | None = None
    gateway: _Name = ""
    incarnation: _Number = 0


Update = SnapshotPage | ChangeBatch
Request = Subscribe | Unsubscribe | ReplicateRoom | HandOverRequest | HandOverDone | FindMember
Message = Hello | Request | Update | Heartbeat | Reply

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_frame(message: Message) -> bytes:
    """Return an encoded message with its length prefix."""
    data = _encode(message)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_frame(received: bytearray) -> Message | None:
    """Remove the first complete frame from `received` and return its message; None if it is incomplete.

    Raises PresenceFrameError for a frame over MAX_FRAME_BYTES or one that cannot be decoded.
    """
    if len(received) < LENGTH_BYTES:
        return None
    size = int.from_bytes(received[:LENGTH_BYTES], "big")
    if size > MAX_FRAME_BYTES:
        raise PresenceFrameError(f"frame has {size} bytes; at most {MAX_FRAME_BYTES} are accepted")
    end = LENGTH_BYTES + size
    if len(received) < end:
        return None
    data = bytes(received[LENGTH_BYTES:end])
    del received[:end]
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise PresenceFrameError(f"frame is not a valid message: {error}") from None


def digest_of_secret(secret: bytes) -> bytes:
    """Return the digest (DIGEST_BYTES bytes) that is published to verify a session's secret."""
    return hashlib.blake2b(secret, digest_size=DIGEST_BYTES).digest()
