"""The wire format of this package: one version byte, then MessagePack."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from cressrock.errors.failover import MalformedFailoverDataError, UnsupportedFailoverVersionError

VERSION = 1
MAX_QUOTED_CHARS = 200  # characters of a decoder's message that are quoted in an error

_T = TypeVar("_T")
_encode = msgspec.msgpack.Encoder().encode


def encode_versioned(value: msgspec.Struct) -> bytes:
    """Return the version byte and the encoded value."""
    return bytes((VERSION,)) + _encode(value)


def encoded_size(value: msgspec.Struct) -> int:
    """Return a value's size in bytes as an element of another value, without the version byte."""
    return len(_encode(value))


def decode_versioned(decoder: msgspec.msgpack.Decoder[_T], data: bytes, subject: str) -> _T:
    """Decode the output of `encode_versioned`; `subject` names the value in errors.

    Raises MalformedFailoverDataError, UnsupportedFailoverVersionError.
    """
    if not data:
        raise MalformedFailoverDataError(f"{subject} is empty")
    if data[0] != VERSION:
        raise UnsupportedFailoverVersionError(
            f"{subject} has version {data[0]}; this program supports {VERSION}"
        )
    try:
        return decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        text = str(error)[:MAX_QUOTED_CHARS]
        raise MalformedFailoverDataError(f"{subject} cannot be decoded: {text}") from None
