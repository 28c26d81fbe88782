"""Reads numbers of JSON documents that other processes send, within bounds.

JSON has no bounds on numbers: Python reads whole numbers of any length, which raise OverflowError as they are
converted, and NaN and infinities.  Uses only the standard library.
"""

from __future__ import annotations

from typing import Any

from cressrock.config import describe_value

MAX_EPOCH_MS = 253_402_300_799_999.0  # the end of the year 9999
MAX_SHARD = 2**31 - 1
MAX_PORT = 65_535


class FieldError(ValueError):
    """A field that cannot be used; the text names its place and what was expected, on one line."""


def epoch_ms(value: Any, place: str) -> float:
    """Return a Unix time in milliseconds; 0 if it is absent (None).  Raises FieldError."""
    if value is None:
        return 0.0
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    # NaN is rejected too: as it differs from itself, its server would count as restarted with every list.
    if not is_number or not 0 <= value <= MAX_EPOCH_MS:
        raise FieldError(f"{place} is not a Unix time in milliseconds: {describe_value(value)}")
    return float(value)


def whole_number(value: Any, place: str, *, maximum: int) -> int:
    """Return a whole number from 0 to `maximum`.  Raises FieldError."""
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    if not is_whole or not 0 <= value <= maximum:
        raise FieldError(f"{place} is not a whole number from 0 to {maximum}: {describe_value(value)}")
    return int(value)
