"""A form of values that does not depend on the names of classes and fields, and digests of it.

The recorded digests must stay valid while classes and fields are renamed.  So a record is written as the list
of its values in the order of definition, behind a label that the caller gives for its class; an enum is
written as its value.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
import math
from collections.abc import Iterable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec

FIXTURES = Path(__file__).parent / "fixtures"

Labels = Mapping[type, str]
NO_LABELS: Labels = MappingProxyType({})


def canonical(value: Any, labels: Labels = NO_LABELS) -> Any:
    """Return the value as lists, strings and numbers that JSON can hold.

    `labels` maps a class to the label under which its values were recorded; a class without a label has none.
    Raises TypeError for a kind of value that has no canonical form.
    """
    if isinstance(value, enum.Enum):
        return canonical(value.value, labels)
    if value is None or isinstance(value, bool | int | str):
        return value
    if isinstance(value, float):
        return value if math.isfinite(value) else repr(value)
    if isinstance(value, bytes | bytearray | memoryview):
        return {"bytes": bytes(value).hex()}
    if isinstance(value, msgspec.Struct):
        return _record(value, (getattr(value, name) for name in value.__struct_fields__), labels)
    if dataclasses.is_dataclass(value):
        return _record(value, (getattr(value, field.name) for field in dataclasses.fields(value)), labels)
    if isinstance(value, set | frozenset):
        return {"set": sorted((canonical(item, labels) for item in value), key=json.dumps)}
    if isinstance(value, Mapping):
        return {"map": [[canonical(key, labels), canonical(item, labels)] for key, item in value.items()]}
    if isinstance(value, Iterable):
        return [canonical(item, labels) for item in value]
    raise TypeError(f"no canonical form for {type(value).__qualname__}: add one to canonical.py")


def _record(value: Any, fields: Iterable[Any], labels: Labels) -> list[Any]:
    label = labels.get(type(value))
    return [label, *(canonical(field, labels) for field in fields)]


def text_of(value: Any, labels: Labels = NO_LABELS) -> str:
    """Return one line of JSON for the value's canonical form."""
    return json.dumps(canonical(value, labels), separators=(",", ":"))


class Digest:
    """A running SHA-256 over the canonical forms of a series of values."""

    def __init__(self, labels: Labels = NO_LABELS) -> None:
        """Begin an empty series."""
        self._labels = labels
        self._hash = hashlib.sha256()

    def add(self, value: Any) -> None:
        """Add the next value."""
        self._hash.update(text_of(value, self._labels).encode())
        self._hash.update(b"\n")

    def hex(self) -> str:
        """Return the digest of all values so far, 64 hexadecimal digits."""
        return self._hash.hexdigest()


def load(name: str) -> Any:
    """Return the recorded fixture `fixtures/NAME.json`."""
    return json.loads((FIXTURES / f"{name}.json").read_text())


def save(name: str, content: Any) -> None:
    """Write the fixture `fixtures/NAME.json`; only recording programs call this, and only for a new fixture.

    Raises FileExistsError if it was recorded before: recorded fixtures are never written again.
    """
    path = FIXTURES / f"{name}.json"
    with path.open("x") as file:
        json.dump(content, file, indent=1)
        file.write("\n")
