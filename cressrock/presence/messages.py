"""Messages of the streams between gateways, and their frames: MessagePack behind a length of four bytes.

Messages are arrays: a field's place is its name on the wire, a message's kind is a small number.  A field
may be added at an end with a default; a reader passes over fields that it does not know.
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

# The versions of an end marker (`MemberEntry.moved` without a gateway): who ended the session.
ENDED_BY_CLIENT = 0
ENDED_BY_GATEWAY = 1


class Origin(NamedTuple):
    """A gateway's process: the only writer of its members, until it restarts with another incarnation."""

    gateway: str
    incarnation: int


class VersionStamp(NamedTuple):
    """A version of one gateway's changes: what a change follows, or where a session goes on."""

    gateway: _Name
    incarnation: _Number
    version: _Number

    @property
    def origin(self) -> Origin:
        """Return whose version it is."""
        return Origin(self.gateway, self.incarnation)


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """A member as its gateway describes it.

    `secret_digest` lets another gateway check the session's secret and take it over.  `moved` makes the
    entry a marker: the session goes on at that gateway since that version, or, without a gateway's name, it
    was ended by its client (version 0) or by its gateway (1).
    """

    id: _MemberId
    hop: _Number = 0
    data: _Data = b""
    locks: Annotated[list[_Lock], msgspec.Meta(max_length=64)] = []
    secret_digest: _SessionDigest = b""
    moved: VersionStamp | None = None

    @property
    def moved_to(self) -> Origin | None:
        """Return where the session goes on, if it moved."""
        return self.moved.origin if self.moved is not None and self.moved.gateway else None

    @property
    def has_ended(self) -> bool:
        """Whether this marks a session's end."""
        return self.moved is not None and not self.moved.gateway


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One change of a gateway's members in a room, and the versions of other gateways that it follows."""

    version: _Number
    member_id: _MemberId
    entry: MemberEntry | None
    reason: _Name = ""
    causes: Annotated[list[VersionStamp], msgspec.Meta(max_length=4096)] = []


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """The first frame of each side."""

    format: int
    cluster: _Name
    gateway: _Name
    incarnation: _Number

    @property
    def origin(self) -> Origin:
        """Return who speaks."""
        return Origin(self.gateway, self.incarnation)


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Send this room's changes after a version, and then as they come."""

    room: _RoomName
    after_version: _Number


class Unsubscribe(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Send no more of this room."""

    room: _RoomName


class SnapshotPage(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A part of all members of a room as of a version; the last page completes the snapshot."""

    room: _RoomName
    version: _Number
    first: bool
    last: bool
    entries: list[MemberEntry]
    causes: list[VersionStamp] = []


class ChangeBatch(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Changes in order; without any: nothing changed since the version that was asked for."""

    room: _RoomName
    changes: list[Change]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """This side is alive and has nothing to send."""


class ReplicateRoom(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Follow the sender's members in this room, and reply once they are there up to this version."""

    request: _Number
    room: _RoomName
    version: _Number


class HandOverRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Hand this session over to the sender."""

    request: _Number
    room: _RoomName
    member_id: _MemberId
    secret: Annotated[bytes, msgspec.Meta(max_length=16)]


class HandOverDone(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The session goes on at the sender since the sender's version."""

    room: _RoomName
    member_id: _MemberId
    hop: _Number
    version: _Number


class FindMember(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Reply with the newest entry that is known of this member."""

    request: _Number
    room: _RoomName
    member_id: _MemberId


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The reply to a numbered request: an entry and its gateway where there is one."""

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
    """Return a message behind its length."""
    data = _encode(message)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_frame(received: bytearray) -> Message | None:
    """Remove the first complete frame from the bytes and return its message; None if there is none yet.

    Raises PresenceFrameError.
    """
    if len(received) < LENGTH_BYTES:
        return None
    size = int.from_bytes(received[:LENGTH_BYTES], "big")
    if size > MAX_FRAME_BYTES:
        raise PresenceFrameError(f"a frame of {size} bytes; at most {MAX_FRAME_BYTES} are taken")
    end = LENGTH_BYTES + size
    if len(received) < end:
        return None
    data = bytes(received[LENGTH_BYTES:end])
    del received[:end]
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise PresenceFrameError(f"a frame that is no message: {error}") from None


def digest_of_secret(secret: bytes) -> bytes:
    """Return what a session's secret is checked against."""
    return hashlib.blake2b(secret, digest_size=DIGEST_BYTES).digest()
