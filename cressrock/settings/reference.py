"""Generates the settings reference (docs/settings.md) from the settings types.

Run with `python -m cressrock.settings.reference`.
"""

from __future__ import annotations

import inspect
import re
from typing import Any

import msgspec
from msgspec import inspect as type_infos

from cressrock.dispatch.node_client import PoolBounds
from cressrock.failover.settings import FailoverSettings, ZoneSettings
from cressrock.http.server import ServerBounds
from cressrock.settings import types

PAGE_HEADER = """# Settings

A settings file is Jsonnet. `local c = import "cressrock.libsonnet"` provides defaults: `c.classes`,
`c.plans`, `c.read()`, `c.write()`, `c.bulk()` and `c.volume(shards, plan, writers)`. `cressrock check FILE`
prints the effective settings, or an error with its place in the file. Times end in `_ms` or `_s`, sizes in
`_bytes`; `units` defines a unit of work. On SIGHUP the file is read again: changes of volumes, front and
observe take effect at once, other changes need a restart, and a file with an error changes nothing.

This page is generated from the types (`python -m cressrock.settings.reference`); a test compares the two.
"""
SECTIONS: tuple[tuple[str, type], ...] = (
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
    """Return the page as Markdown, with one section for each entry of `SECTIONS`."""
    lines = [PAGE_HEADER]
    for place, kind in SECTIONS:
        lines.append(f"## {place or 'The file'}\n")
        lines.append(f"{inspect.cleandoc(kind.__doc__ or '')}\n")
        lines.append("| setting | type | default | |\n| --- | --- | --- | --- |")
        notes = _field_comments(kind)
        for name, type_text, default in _field_rows(kind):
            lines.append(f"| `{name}` | {type_text} | {default} | {notes.get(name, '')} |")
        lines.append("")
    return "\n".join(lines)


def _field_comments(kind: type) -> dict[str, str]:
    """Return the comment at the end of each field's source line, by field name."""
    source = inspect.getsource(kind)
    comments = re.findall(r"^    (\w+): [^#\n]*?(?:  # ([^\n]*))?$", source, re.M)
    return {name: text.replace("|", "or") for name, text in comments if text}


def _field_rows(kind: type) -> list[tuple[str, str, str]]:
    """Return name, type and default of each field, as texts."""
    info: Any = type_infos.type_info(kind)
    rows = []
    for field in info.fields:
        if field.required:
            default = "required"
        elif field.default is not msgspec.NODEFAULT:
            default = f"`{_format_default(field.default)}`"
        else:
            default = "see below"
        rows.append((field.encode_name, _describe_type(field.type), default))
    return rows


def _format_default(value: Any) -> str:
    if isinstance(value, msgspec.Struct):
        return "see below"
    return "null" if value is None else str(value).lower() if isinstance(value, bool) else str(value)


def _describe_type(info: Any) -> str:
    match info:
        case type_infos.FloatType() | type_infos.IntType():
            kind = "number" if isinstance(info, type_infos.FloatType) else "whole number"
            minimum = info.ge if info.ge is not None else info.gt
            prefix = "over " if info.gt is not None else ""
            if minimum is None and info.le is None:
                return kind
            return f"{kind}, {prefix}{minimum:g} to {info.le:g}"
        case type_infos.StrType():
            return "text" if info.pattern is None else f"text like `{info.pattern}`"
        case type_infos.BoolType():
            return "true or false"
        case type_infos.LiteralType():
            return " or ".join(f"`{v}`" for v in info.values)
        case type_infos.ListType():
            return f"list of {_describe_type(info.item_type)}"
        case type_infos.DictType():
            return f"object of {_describe_type(info.value_type)}"
        case type_infos.UnionType():
            return " or ".join(
                "null" if isinstance(member, type_infos.NoneType) else _describe_type(member)
                for member in info.types
            )
        case type_infos.StructType():
            return "object"
    return "any"


if __name__ == "__main__":
    print(reference(), end="")
