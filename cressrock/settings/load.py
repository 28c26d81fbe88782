"""Reads settings: Jsonnet in, checked types out; an error names file, place and what would do."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import rjsonnet

from cressrock.settings.types import Gateway

DEFAULTS = Path(__file__).with_name("defaults.libsonnet")


class SettingsError(ValueError):
    """Settings that cannot be used; the text is for the operator."""


def evaluate(
    path: str, variables: dict[str, str] | None = None, libraries: dict[str, Path] | None = None
) -> Any:
    """Evaluate a Jsonnet file.  `import "cressrock.libsonnet"` gives the defaults.  Raises SettingsError.

    `libraries` are further names that may be imported from anywhere.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as wrong:
        raise SettingsError(f"{path}: cannot be read: {wrong}") from None
    return evaluate_text(path, text, variables, libraries)


def evaluate_text(
    path: str,
    text: str,
    variables: dict[str, str] | None = None,
    libraries: dict[str, Path] | None = None,
) -> Any:
    """Evaluate Jsonnet text that came from a path.  Raises SettingsError."""

    def find(directory: str, name: str) -> tuple[str, str]:
        known = {"cressrock.libsonnet": DEFAULTS} | (libraries or {})
        if name in known:
            source = known[name]
        else:
            # Text has no place of its own: what it imports is looked for beside the file that it came from.
            beside = Path(path).parent / name
            source = beside if beside.exists() else Path(directory) / name
        return str(source), source.read_text(encoding="utf-8")

    try:
        found = rjsonnet.evaluate_snippet(path, text, ext_vars=variables or {}, import_callback=find)
    except (RuntimeError, ValueError, OSError) as wrong:
        raise SettingsError(f"{path}: {_first_lines(str(wrong))}") from None
    return json.loads(found)


Kind = TypeVar("Kind")


def convert(path: str, value: Any) -> Gateway:
    """Check evaluated settings.  Raises SettingsError."""
    return checked(path, value, Gateway)


def checked(path: str, value: Any, kind: type[Kind]) -> Kind:
    """Turn an evaluated file into a checked value of a type.  Raises SettingsError naming file and place."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as wrong:
        raise SettingsError(_explain(path, str(wrong), value)) from None
    except ValueError as wrong:
        raise SettingsError(f"{path}: {wrong}") from None


def load(path: str, variables: dict[str, str] | None = None) -> Gateway:
    """Read, evaluate and check a settings file.  Raises SettingsError."""
    return convert(path, evaluate(path, variables))


def _explain(path: str, text: str, value: Any) -> str:
    """Say where, what stands there, and what would be right."""
    match = re.search(r" - at `(?:key in )?\$?([^`]*)`$", text)
    if match is None:
        return f"{path}: {text}"
    place = match.group(1).lstrip(".")
    what = text[: match.start()]
    found = _at(value, place)
    shown = "" if found is _NOTHING else f" (found {json.dumps(found)[:80]})"
    return f"{path}: {place or 'settings'}: {what}{shown}"


_NOTHING = object()


def _at(value: Any, place: str) -> Any:
    for name, index in re.findall(r"([^.\[\]]+)|\[(\d+|\.\.\.)\]", place):
        if index == "...":
            return _NOTHING
        if index and isinstance(value, list) and int(index) < len(value):
            value = value[int(index)]
        elif name and isinstance(value, dict) and name in value:
            value = value[name]
        else:
            return _NOTHING
    return value if not isinstance(value, (dict, list)) else _NOTHING


def _first_lines(text: str) -> str:
    return " ".join(line.strip() for line in text.strip().splitlines()[:3])
