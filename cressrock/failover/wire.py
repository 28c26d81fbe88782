"""Versioned bytes of this package: one byte of version, then MessagePack."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from cressrock.errors.failover import MalformedFailoverDataError, UnsupportedFailoverVersionError

VERSION = 1
MAX_QUOTED = 200  # characters of a decoder's complaint that go into an error

_T = TypeVar("_T")
_encode = msgspec.msgpack.Encoder().encode


def encode_versioned(value: msgspec.Struct) -> bytes:
    """Return a value's bytes."""
    return bytes((VERSION,)) + _encode(value)


def encoded_size(value: msgspec.Struct) -> int:
    """Return how many bytes a value takes as an element of another one."""
    return len(_encode(value))


def decode_versioned(decoder: msgspec.msgpack.Decoder[_T], data: bytes, subject: str) -> _T:
    """Return the value of versioned bytes; `subject` names it in errors.

    Raises MalformedFailoverDataError, UnsupportedFailoverVersionError.
    """
    if not data:
        raise MalformedFailoverDataError(f"no bytes where {subject} should be")
    if data[0] != VERSION:
        raise UnsupportedFailoverVersionError(f"{subject} of version {data[0]}; this program reads {VERSION}")
    try:
        return decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        text = str(error)[:MAX_QUOTED]
        raise MalformedFailoverDataError(f"{subject} that cannot be read: {text}") from None
