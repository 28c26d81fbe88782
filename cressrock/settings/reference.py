"""The settings reference, made from the types: `python -m cressrock.settings.reference`."""

from __future__ import annotations

import inspect
import re
from typing import Any

import msgspec
from msgspec import inspect as shapes

from cressrock.dispatch.node_client import PoolBounds
from cressrock.failover.settings import FailoverSettings, ZoneSettings
from cressrock.http.server import ServerBounds
from cressrock.settings import types

HEAD = """# Settings

A settings file is Jsonnet. `local c = import "cressrock.libsonnet"` gives defaults to build on: `c.classes`,
`c.plans`, `c.read()`, `c.write()`, `c.bulk()` and `c.volume(shards, plan, writers)`. `cressrock check FILE`
prints the effective settings or says what is wrong and where. Times end in `_ms` or `_s`, sizes in `_bytes`;
a unit of work is what `units` says. On SIGHUP the file is read again: volumes, front and observe take effect
at once; for the rest a restart is asked for, and a file with an error changes nothing.

This page is made from the types (`python -m cressrock.settings.reference`) and checked against them.
"""
PARTS: tuple[tuple[str, type], ...] = (
    ("", types.Gateway),
    ("classes[]", types.Class),
    ("plans.NAME", types.Plan),
    ("volumes.NAME", types.Volume),
    ("node_list", types.NodeList),
    ("scheduler", types.Scheduler),
    ("units", types.Units),
    ("front", types.Front),
    ("front.bounds", ServerBounds),
    ("nodes", PoolBounds),
    ("payloads", types.Payloads),
    ("observe", types.Observe),
    ("pair", types.Pair),
    ("presence", types.PresenceSettings),
    ("rollout", types.RolloutSettings),
    ("zones", FailoverSettings),
    ("zones.zones.NAME", ZoneSettings),
)


def reference() -> str:
    """Return the page."""
    lines = [HEAD]
    for place, kind in PARTS:
        lines.append(f"## {place or 'The file'}\n")
        lines.append(f"{inspect.cleandoc(kind.__doc__ or '')}\n")
        lines.append("| setting | type | default | |\n| --- | --- | --- | --- |")
        notes = _notes(kind)
        for name, shape, default in _fields(kind):
            lines.append(f"| `{name}` | {shape} | {default} | {notes.get(name, '')} |")
        lines.append("")
    return "\n".join(lines)


def _notes(kind: type) -> dict[str, str]:
    """Read what stands behind a field in the source."""
    source = inspect.getsource(kind)
    found = re.findall(r"^    (\w+): [^#\n]*?(?:  # ([^\n]*))?$", source, re.M)
    return {name: text.replace("|", "or") for name, text in found if text}


def _fields(kind: type) -> list[tuple[str, str, str]]:
    shape: Any = shapes.type_info(kind)
    found = []
    for field in shape.fields:
        if field.required:
            default = "required"
        elif field.default is not msgspec.NODEFAULT:
            default = f"`{_value(field.default)}`"
        else:
            default = "see below"
        found.append((field.encode_name, _shape(field.type), default))
    return found


def _value(value: Any) -> str:
    if isinstance(value, msgspec.Struct):
        return "see below"
    return "null" if value is None else str(value).lower() if isinstance(value, bool) else str(value)


def _shape(shape: Any) -> str:
    match shape:
        case shapes.FloatType() | shapes.IntType():
            kind = "number" if isinstance(shape, shapes.FloatType) else "whole number"
            low = shape.ge if shape.ge is not None else shape.gt
            sign = "over " if shape.gt is not None else ""
            if low is None and shape.le is None:
                return kind
            return f"{kind}, {sign}{low:g} to {shape.le:g}"
        case shapes.StrType():
            return "text" if shape.pattern is None else f"text like `{shape.pattern}`"
        case shapes.BoolType():
            return "true or false"
        case shapes.LiteralType():
            return " or ".join(f"`{v}`" for v in shape.values)
        case shapes.ListType():
            return f"list of {_shape(shape.item_type)}"
        case shapes.DictType():
            return f"object of {_shape(shape.value_type)}"
        case shapes.UnionType():
            return " or ".join("null" if isinstance(t, shapes.NoneType) else _shape(t) for t in shape.types)
        case shapes.StructType():
            return "object"
    return "any"


if __name__ == "__main__":
    print(reference(), end="")
