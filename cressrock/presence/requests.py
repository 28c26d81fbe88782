"""Parsing and validation of requests to the admin port under /v1/presence/.

Field names are those of the JSON; `docs/presence.md` lists them.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import Annotated, TypeVar

import msgspec

from cressrock.errors.presence import InvalidRoomError, PresenceRequestError
from cressrock.presence.feed import Cursor
from cressrock.presence.messages import Origin
from cressrock.presence.sessions import SECRET_BYTES, SessionToken

MAX_ROOM_BYTES = 512
MAX_MEMBER_ID_LENGTH = 128
MAX_AGREED_NAME_BYTES = 128

_WaitMs = Annotated[float, msgspec.Meta(ge=0, le=600_000)]


class Meaning(enum.StrEnum):
    """The guarantee that a join gives once it is answered."""

    HERE = "here"
    NEAR = "near"
    AGREED = "agreed"


class JoinRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a join."""

    room: str
    meaning: str = Meaning.HERE.value
    data: bytes = b""
    locks: list[str] = []
    name: str = ""
    preempt: bool = msgspec.field(default=False, name="take")
    wait_ms: _WaitMs = 5000.0


class SessionRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of every request on an existing session."""

    token: Annotated[str, msgspec.Meta(max_length=1024)]
    data: bytes | None = None
    locks: list[str] | None = None
    name: str = ""
    preempt: bool = msgspec.field(default=False, name="take")
    wait_ms: _WaitMs = 5000.0


_Request = TypeVar("_Request", JoinRequest, SessionRequest)


def decode_request(kind: type[_Request], body: bytes) -> _Request:
    """Decode a JSON body.  Raises PresenceRequestError."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise PresenceRequestError(str(error)) from None


def parse_meaning(text: str) -> Meaning:
    """Return the guarantee that a join requests.  Raises PresenceRequestError."""
    try:
        return Meaning(text)
    except ValueError:
        raise PresenceRequestError(f"meaning: {text!r}; here, near or agreed") from None


def check_agreed_name(name: str) -> None:
    """Raise PresenceRequestError if the name is empty or too long."""
    if not 1 <= len(name.encode()) <= MAX_AGREED_NAME_BYTES:
        raise PresenceRequestError("name: an agreed name of 1 to 128 bytes is needed")


def parse_room(path: str, volumes: Iterable[str]) -> str:
    """Return a room's name: its path without leading and trailing slashes.

    Raises InvalidRoomError if the path is invalid or its first segment is not a volume.
    """
    room = path.strip("/")
    segments = room.split("/")
    if (
        len(room.encode()) > MAX_ROOM_BYTES
        or any(segment in ("", ".", "..") for segment in segments)
        or not room.isprintable()
    ):
        raise InvalidRoomError(
            f"{path[:100]!r}: a path of at most 512 bytes without empty, '.' or '..' segments"
        )
    if segments[0] not in volumes:
        raise InvalidRoomError(f"there is no volume {segments[0][:64]!r}")
    return room


def parse_number(query: Mapping[str, str], key: str, maximum: float) -> float:
    """Return a query parameter as a number from 0 to `maximum`; 0 if it is missing.

    Raises PresenceRequestError.
    """
    try:
        value = float(query.get(key) or 0.0)
    except ValueError:
        raise PresenceRequestError(f"{key}: {query[key][:40]!r} is no number") from None
    if not 0 <= value <= maximum:
        raise PresenceRequestError(f"{key}: {value:g}; from 0 to {maximum:g}")
    return value


def format_token(secret: bytes, member_id: str, room: str) -> str:
    """Return a session's token as clients store it: secret in hex, member id and room."""
    return f"{secret.hex()}.{member_id}/{room}"


def parse_token(token: str, volumes: Iterable[str]) -> SessionToken:
    """Parse a session's token.  Raises PresenceRequestError, InvalidRoomError."""
    head, _, room = token.partition("/")
    secret_hex, _, member_id = head.partition(".")
    try:
        secret = bytes.fromhex(secret_hex)
    except ValueError:
        secret = b""  # rejected below by its length
    if len(secret) != SECRET_BYTES or not member_id or len(member_id) > MAX_MEMBER_ID_LENGTH:
        raise PresenceRequestError("token: not one that a join or resume has given")
    return SessionToken(secret, member_id, parse_room(room, volumes))


def format_cursor(origin: Origin, cursor: Cursor) -> str:
    """Return a cursor as clients store it; it is only valid at this gateway's current incarnation."""
    return f"{origin.gateway}.{origin.incarnation:x}.{cursor.epoch:x}.{cursor.seq:x}"


def parse_cursor(origin: Origin, text: str) -> Cursor | None:
    """Parse a client's cursor; None if it is invalid or from another gateway or incarnation."""
    prefix = f"{origin.gateway}.{origin.incarnation:x}."
    if not text.startswith(prefix):
        return None
    epoch, _, seq = text.removeprefix(prefix).partition(".")
    try:
        return Cursor(int(epoch, 16), int(seq, 16))
    except ValueError:
        return None  # handled like another process's cursor: the client gets a snapshot
