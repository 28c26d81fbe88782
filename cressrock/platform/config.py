"""The configuration file that a dispatcher is given, checked.  Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from cressrock.config import settings_from
from cressrock.interface import Settings

LEAST_MB = 16  # the program alone takes about so much
LEAST_SOCKETS = 48  # below it nothing is left beside what the program itself holds


class ConfigError(ValueError):
    """A configuration that cannot be used; the text names the place in it."""


@dataclass(frozen=True, slots=True)
class Config:
    """What a dispatcher is told.  Sizes in megabytes, times in milliseconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    memory_mb: float
    sockets: int
    known: dict[str, Any]
    settings: Settings
    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    shards: int
    idle_close_ms: float


def parse(text: str) -> Config:
    """Read a configuration.  Raises ConfigError."""
    try:
        value = json.loads(text)
    except ValueError as wrong:
        raise ConfigError(f"not JSON: {wrong}") from None
    if not isinstance(value, dict):
        raise ConfigError("not an object")
    raw = _part(value, "settings", dict)
    try:
        settings = settings_from(raw)
    except (ValueError, TypeError, AttributeError) as wrong:
        raise ConfigError(f"settings: {wrong}") from None
    limits = _part(value, "limits", dict)
    seed = _part(value, "seed", str)
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    family = raw.get("family_info") or {}
    return Config(
        name=_part(value, "name", str),
        listen=address(_part(value, "listen", str), "listen"),
        discovery=address(_part(value, "discovery", str), "discovery"),
        seed=number,
        memory_mb=_number(limits, "limits", "memory_mb", LEAST_MB),
        sockets=int(_number(limits, "limits", "sockets", LEAST_SOCKETS)),
        known=_part(value, "known", dict),
        settings=settings,
        classes=_names(raw, "profiles"),
        plans=_names(raw, "policies"),
        zones=tuple(raw.get("zones") or ()),
        shards=int(family.get("n_shards", 0)),
        idle_close_ms=float((raw.get("caps") or {}).get("idle_close_ms", 15000.0)),
    )


def address(text: str, place: str) -> tuple[str, int]:
    """Read host:port.  Raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{place}: {text!r} is not host:port")
    return host, int(port)


def _part(value: dict[str, Any], name: str, kind: type) -> Any:
    found = value.get(name)
    if not isinstance(found, kind):
        raise ConfigError(f"{name} is missing or no {kind.__name__}")
    return found


def _number(part: dict[str, Any], place: str, name: str, least: float) -> float:
    found = part.get(name)
    if isinstance(found, bool) or not isinstance(found, (int, float)) or not found >= least:
        raise ConfigError(f"{place}.{name}: a number of at least {least:g} was expected, not {found!r}")
    return float(found)


def _names(raw: dict[str, Any], place: str) -> tuple[str, ...]:
    names = []
    for index, entry in enumerate(raw.get(place) or []):
        if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
            raise ConfigError(f"settings.{place}[{index}].name is missing")
        names.append(entry["name"])
    return tuple(names)
