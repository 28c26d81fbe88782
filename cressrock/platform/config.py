"""Reads and checks a dispatcher's configuration file.  Pure."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from cressrock.config import (
    CLASS_FIELDS,
    PLAN_FIELDS,
    SETTINGS_FIELDS,
    checked_number,
    describe_value,
    parse_settings,
    section,
    section_list,
)
from cressrock.interface import Settings

MIN_MEMORY_MB = 16  # the program alone takes about as much
MIN_SOCKETS = 48  # with fewer, none is left beside those that the program itself uses
MAX_LIMIT = 2.0**31  # of both limits: more than a system has, and all values derived from it stay finite
MAX_UNITS = 999_999_999.0  # the most that a request can encode


class ConfigError(ValueError):
    """A configuration that cannot be used; the text names the place in it, on one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """A dispatcher's checked configuration.  Sizes in megabytes, times in milliseconds."""

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


def parse(text: str | bytes) -> Config:
    """Read a configuration.  Raises ConfigError and nothing else, whatever the text is."""
    try:
        value = json.loads(text if isinstance(text, str) else text.decode())
    except RecursionError:
        raise ConfigError("cannot be read as JSON: nested too deeply") from None
    except ValueError as exc:
        raise ConfigError(f"not JSON: {exc}") from None
    if not isinstance(value, dict):
        raise ConfigError("the configuration is not a JSON object")
    raw = _required(value, "settings", dict)
    limits = _required(value, "limits", dict)
    seed = _required(value, "seed", str)
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {describe_value(seed)} is not a hexadecimal number") from None
    try:
        settings = parse_settings(raw)
        classes, plans = _unique_names(raw, "profiles"), _unique_names(raw, "policies")
        _check_platform_settings(raw, len(classes))
        settings, idle_close_ms = _with_safe_defaults(raw, settings)
        zones = _zone_names(raw)
        shards = _whole_number(section(raw, "family_info", dict), "n_shards", "family_info.")
    except ValueError as exc:
        raise ConfigError(f"settings.{exc}") from None
    try:
        memory_mb = _limit(limits, "memory_mb", MIN_MEMORY_MB)
        sockets = int(_limit(limits, "sockets", MIN_SOCKETS))
    except ValueError as exc:
        raise ConfigError(f"limits.{exc}") from None
    return Config(
        name=_required(value, "name", str),
        listen=address(_required(value, "listen", str), "listen"),
        discovery=address(_required(value, "discovery", str), "discovery"),
        seed=seed_number,
        memory_mb=memory_mb,
        sockets=sockets,
        known=_required(value, "known", dict),
        settings=settings,
        classes=classes,
        plans=plans,
        zones=zones,
        shards=shards,
        idle_close_ms=idle_close_ms,
    )


def address(text: str, place: str) -> tuple[str, int]:
    """Read host:port.  Raises ConfigError."""
    host, _, port = text.rpartition(":")
    # isdigit() alone accepts digits that int() rejects, and a name that a resolver cannot encode raises no
    # OSError when it is used: either would end the program with a traceback.
    is_valid = port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535
    is_valid = is_valid and host.isascii() and host.isprintable() and " " not in host
    labels = host.removesuffix(".").split(".")
    if not is_valid or not all(0 < len(label) < 64 for label in labels):
        raise ConfigError(f"{place}: {describe_value(text)} is not host:port")
    return host, int(port)


def find_foreign_setting(present: Config, found: Config) -> str | None:
    """Name the first setting that shows a reloaded file to be another dispatcher's; None if there is none.

    Using only parts of another dispatcher's file, such as its discovery address, would connect this one to
    another customer's servers.  Discovery, seed, the known list and limits may differ: a new file is meant to
    change the first, and limits apply from the next start on.  Fields that the program does not read may
    differ too.
    """
    old_settings, new_settings = dict(_identifying_settings(present)), dict(_identifying_settings(found))
    for place in [*old_settings, *(place for place in new_settings if place not in old_settings)]:
        old, new = old_settings.get(place), new_settings.get(place)
        if old != new:
            return f"{place}: the file has {describe_value(new)}, this dispatcher has {describe_value(old)}"
    # Catches a difference in a setting that is not listed above.
    allowed = replace(
        found,
        discovery=present.discovery,
        seed=present.seed,
        known=present.known,
        memory_mb=present.memory_mb,
        sockets=present.sockets,
    )
    return None if allowed == present else "settings: differ from this dispatcher's"


def _identifying_settings(config: Config) -> Iterator[tuple[str, Any]]:
    """Yield every setting that must not change in a reload, by its place in the file."""
    yield "name", config.name
    yield "listen", config.listen
    for index, name in enumerate(config.classes):
        cls, place = config.settings.classes[index], f"settings.profiles[{index}]."
        yield f"{place}name", name
        for key, attribute in CLASS_FIELDS.items():
            yield f"{place}{key}", getattr(cls, attribute)
        yield f"{place}semantics", cls.idempotency.value
        yield f"{place}key_scope", cls.deduplication_scope.value
        yield f"{place}in_turn", cls.ordered
        yield f"settings.family_info.writes[{index}]", cls.is_write
    for index, name in enumerate(config.plans):
        place = f"settings.policies[{index}]."
        yield f"{place}name", name
        for key, attribute in PLAN_FIELDS.items():
            yield f"{place}{key}", getattr(config.settings.plans[index], attribute)
    for index, name in enumerate(config.zones):
        yield f"settings.zones[{index}]", name
    for part, names in SETTINGS_FIELDS.items():
        for key, attribute in names.items():
            yield f"settings.{part}{'.' if part else ''}{key}", getattr(config.settings, attribute)
    yield "settings.membership_mode", "ask" if config.settings.must_ask else "push"
    yield "settings.caps.cancel", config.settings.may_cancel
    yield "settings.caps.idle_close_ms", config.idle_close_ms
    yield "settings.family_info.counts_others", config.settings.tells_others
    yield "settings.family_info.n_shards", config.shards


# --- checks and defaults that only the platform needs


def _check_platform_settings(raw: dict[str, Any], classes: int) -> None:
    """Reject settings that would silently be misread.  Raises ValueError."""
    # Without the count the dispatcher would take itself for the only one: it would send a cold server as much
    # load as the whole fleet may, and reject every volume that comes through several dispatchers.
    if raw.get("balancers") is None:
        raise ValueError("balancers: missing")
    _whole_number(raw, "balancers")
    caps, family = section(raw, "caps", dict), section(raw, "family_info", dict)
    _whole_number(caps, "max_attempts", "caps.")
    _check_flag(caps.get("cancel"), "caps.cancel")
    _check_flag(family.get("counts_others"), "family_info.counts_others")
    for index, profile in enumerate(section_list(raw, "profiles")):
        _check_flag(profile.get("in_turn"), f"profiles[{index}].in_turn")
    writes = section(family, "writes", list, "family_info.")
    # One entry per class, in their order: with one too few, it is unknown which class it belongs to.  Without
    # the list no class writes, and every write request is rejected on arrival.
    if writes and len(writes) != classes:
        raise ValueError(f"family_info.writes: one for each of {classes} classes expected, not {len(writes)}")
    for index, entry in enumerate(writes):
        _check_flag(entry, f"family_info.writes[{index}]")


def _with_safe_defaults(raw: dict[str, Any], settings: Settings) -> tuple[Settings, float]:
    """Fill in safe values where a setting is absent; return the settings and idle_close_ms.

    Other settings are safe when absent: no grace for a draining server, no slack for an answer, no second
    attempt, no repeat of a keyed class, no time in a rejection, lists requested every second, no load for a
    cold server; or the feature itself is off, such as a limit or a budget.
    """
    caps, safety = section(raw, "caps", dict), section(raw, "safety", dict)
    min_objective_ms = min(cls.latency_objective_ms for cls in settings.classes)
    changes: dict[str, Any] = {
        # A connection that is not established within the shortest objective cannot meet it.
        "connect_timeout_ms": settings.connect_timeout_ms or min_objective_ms,
    }
    # A repeat outside the key's scope would run twice: a keyed class without a scope is never repeated.
    changes["classes"] = tuple(
        cls if profile.get("key_scope") is not None else replace(cls, deduplication_window_ms=0.0)
        for cls, profile in zip(settings.classes, section_list(raw, "profiles"), strict=True)
    )
    # Without a warm-up time, a limit for cold servers would never apply, as each would count as warm at once.
    # Nothing says that the limit grows or ends, so it stays.
    if settings.cold_window_ms and settings.cold_bears and safety.get("warm_up_ms") is None:
        changes |= {"cold_from": 1.0, "warm_up_ms": sys.float_info.max}
    # A retry budget without a window would not limit anything.  With a single attempt it is not exceeded.
    if (settings.budget_free or settings.budget_share) and not settings.budget_window_ms:
        changes["max_attempts"] = 1
    # The interface's default for the largest request would reject every request of more than one unit.
    if section(raw, "family_info", dict).get("most_units") is None:
        changes["most_units"] = MAX_UNITS
    # A connection that is idle for longer than its server allows is reset under the next request.  Without
    # that limit, connections are reused only between requests in close succession, at the cost of handshakes.
    idle = caps.get("idle_close_ms")
    idle_close_ms = min_objective_ms if idle is None else float(checked_number(idle, "caps.idle_close_ms"))
    return replace(settings, **changes), idle_close_ms


def _required(value: dict[str, Any], name: str, kind: type) -> Any:
    found = value.get(name)
    if not isinstance(found, kind):
        raise ConfigError(f"{name}: missing or not of type {kind.__name__}")
    return found


def _limit(limits: dict[str, Any], name: str, least: float) -> float:
    found = checked_number(limits.get(name), name, least)
    if found > MAX_LIMIT:
        raise ValueError(f"{name}: at most {MAX_LIMIT:g} was expected, not {describe_value(found)}")
    return float(found)


def _whole_number(owner: dict[str, Any], name: str, place: str = "") -> int:
    """Read a whole number, 0 where it is absent.  Raises ValueError."""
    found = owner.get(name)
    if found is None:
        return 0
    if checked_number(found, f"{place}{name}") != int(found):
        raise ValueError(f"{place}{name}: a whole number was expected, not {describe_value(found)}")
    return int(found)


def _check_flag(found: Any, place: str) -> None:
    # Any text would count as true, "false" too.
    if found is not None and not (isinstance(found, (bool, int)) and found in (0, 1)):
        raise ValueError(f"{place}: true or false was expected, not {describe_value(found)}")


def _checked_name(found: Any, place: str) -> str:
    try:
        if isinstance(found, str) and found.encode():
            return found
    except UnicodeEncodeError:  # an unpaired surrogate, which no client can send
        pass
    raise ValueError(f"{place}: a name was expected, not {describe_value(found)}")


def _unique_names(raw: dict[str, Any], place: str) -> tuple[str, ...]:
    """Read the names of classes or plans.  Raises ValueError."""
    names: list[str] = []
    for index, entry in enumerate(section_list(raw, place)):
        name_place = f"{place}[{index}].name"
        name = _checked_name(entry.get("name"), name_place)
        # Of two entries under one name, requests for the first would be served by the rules of the other.
        if name in names:
            raise ValueError(f"{name_place}: the name {describe_value(name)} is used twice")
        names.append(name)
    if not names:
        raise ValueError(f"{place}: at least one was expected")
    return tuple(names)


def _zone_names(raw: dict[str, Any]) -> tuple[str, ...]:
    """Read the zones' names; one that is listed twice is one zone.  Raises ValueError."""
    found = section(raw, "zones", list)
    return tuple(dict.fromkeys(_checked_name(name, f"zones[{index}]") for index, name in enumerate(found)))
