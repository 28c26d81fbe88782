"""Evaluates Jsonnet settings files and converts them to validated types.

An error names the file, the setting and what is expected.
"""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import rjsonnet

from cressrock.settings.types import Gateway

DEFAULTS_PATH = Path(__file__).with_name("defaults.libsonnet")


class SettingsError(ValueError):
    """Settings are invalid or unreadable; the text is shown to the operator."""


def evaluate(
    path: str, variables: dict[str, str] | None = None, libraries: dict[str, Path] | None = None
) -> Any:
    """Return the value of a Jsonnet file, as parsed JSON.  Raises SettingsError.

    `variables` are external variables (`std.extVar`).  `import "cressrock.libsonnet"` gives the defaults;
    `libraries` maps more import names to files, regardless of the importing file's directory.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from None
    return evaluate_text(path, text, variables, libraries)


def evaluate_text(
    path: str,
    text: str,
    variables: dict[str, str] | None = None,
    libraries: dict[str, Path] | None = None,
) -> Any:
    """Return the value of Jsonnet text read from `path`, as parsed JSON.  Raises SettingsError."""

    def resolve_import(directory: str, name: str) -> tuple[str, str]:
        files = {"cressrock.libsonnet": DEFAULTS_PATH} | (libraries or {})
        if name in files:
            source = files[name]
        else:
            # rjsonnet has no directory for a text: search the directory of its source file first.
            sibling = Path(path).parent / name
            source = sibling if sibling.exists() else Path(directory) / name
        return str(source), source.read_text(encoding="utf-8")

    try:
        output = rjsonnet.evaluate_snippet(
            path, text, ext_vars=variables or {}, import_callback=resolve_import
        )
    except (RuntimeError, ValueError, OSError) as error:
        raise SettingsError(f"{path}: {_first_lines(str(error))}") from None
    return json.loads(output)


Kind = TypeVar("Kind")


def convert(path: str, value: Any) -> Gateway:
    """Convert the value of a settings file to validated settings.  Raises SettingsError."""
    return checked(path, value, Gateway)


def checked(path: str, value: Any, kind: type[Kind]) -> Kind:
    """Convert a file's value to a validated `kind`.  Raises SettingsError naming file and setting."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(_format_validation_error(path, str(error), value)) from None
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from None


def load(path: str, variables: dict[str, str] | None = None) -> Gateway:
    """Return the validated settings of a Jsonnet file.  Raises SettingsError."""
    return convert(path, evaluate(path, variables))


def _format_validation_error(path: str, text: str, value: Any) -> str:
    """Return msgspec's message with the file, the setting and the value found."""
    match = re.search(r" - at `(?:key in )?\$?([^`]*)`$", text)
    if match is None:
        return f"{path}: {text}"
    place = match.group(1).lstrip(".")
    problem = text[: match.start()]
    found = _scalar_at(value, place)
    found_text = "" if found is _MISSING else f" (found {json.dumps(found)[:80]})"
    return f"{path}: {place or 'settings'}: {problem}{found_text}"


_MISSING = object()


def _scalar_at(value: Any, place: str) -> Any:
    for name, index in re.findall(r"([^.\[\]]+)|\[(\d+|\.\.\.)\]", place):
        if index == "...":
            return _MISSING
        if index and isinstance(value, list) and int(index) < len(value):
            value = value[int(index)]
        elif name and isinstance(value, dict) and name in value:
            value = value[name]
        else:
            return _MISSING
    return value if not isinstance(value, (dict, list)) else _MISSING


def _first_lines(text: str) -> str:
    return " ".join(line.strip() for line in text.strip().splitlines()[:3])
