"""The configuration file that a dispatcher is given, checked.  Pure."""

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

LEAST_MB = 16  # the program alone takes about so much
LEAST_SOCKETS = 48  # below it nothing is left beside what the program itself holds
MOST = 2.0**31  # of either: more than the system can give, and all that is derived from it stays a number
MOST_UNITS = 999_999_999.0  # what a request can name at all


class ConfigError(ValueError):
    """A configuration that cannot be used; the text names the place in it, on one line."""


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


def parse(text: str | bytes) -> Config:
    """Read a configuration.  Raises ConfigError, and nothing else whatever the text is."""
    try:
        value = json.loads(text if isinstance(text, str) else text.decode())
    except RecursionError:
        raise ConfigError("not JSON that can be read: nested too deeply") from None
    except ValueError as wrong:
        raise ConfigError(f"not JSON: {wrong}") from None
    if not isinstance(value, dict):
        raise ConfigError("not an object")
    raw = _part(value, "settings", dict)
    limits = _part(value, "limits", dict)
    seed = _part(value, "seed", str)
    try:
        random = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {describe_value(seed)} is not a hexadecimal number") from None
    try:
        settings = parse_settings(raw)
        classes, plans = _names(raw, "profiles"), _names(raw, "policies")
        _strict(raw, len(classes))
        settings, idle_close_ms = _completed(raw, settings)
        zones = _zones(raw)
        shards = _whole(section(raw, "family_info", dict), "n_shards", "family_info.")
    except ValueError as wrong:
        raise ConfigError(f"settings.{wrong}") from None
    try:
        memory_mb = _limit(limits, "memory_mb", LEAST_MB)
        sockets = int(_limit(limits, "sockets", LEAST_SOCKETS))
    except ValueError as wrong:
        raise ConfigError(f"limits.{wrong}") from None
    return Config(
        name=_part(value, "name", str),
        listen=address(_part(value, "listen", str), "listen"),
        discovery=address(_part(value, "discovery", str), "discovery"),
        seed=random,
        memory_mb=memory_mb,
        sockets=sockets,
        known=_part(value, "known", dict),
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
    # Danger: isdigit() takes digits that int() does not, and a name that no resolver can take raises no
    # OSError where it is used: either would end the program in a stack trace.
    good = port.isascii() and port.isdigit() and len(port) <= 5 and int(port) <= 65535
    good = good and host.isascii() and host.isprintable() and " " not in host
    labels = host.removesuffix(".").split(".")
    if not good or not all(0 < len(label) < 64 for label in labels):
        raise ConfigError(f"{place}: {describe_value(text)} is not host:port")
    return host, int(port)


def foreign(present: Config, found: Config) -> str | None:
    """Name the first place in which a file that was read again is not this dispatcher's; None if it is.

    Danger: half a file that was meant for another dispatcher, such as its discovery, would lead this one to
    servers of another customer.  Discovery, seed, the known list and limits may differ: the first is what a
    new file is for, limits count from the next start on.  So may what the program does not read.
    """
    here, there = dict(_places(present)), dict(_places(found))
    for place in [*here, *(place for place in there if place not in here)]:
        old, new = here.get(place), there.get(place)
        if old != new:
            return f"{place}: {describe_value(new)}, this dispatcher has {describe_value(old)}"
    # Danger: a figure that is not among the places above must not slip through.
    same = replace(
        found,
        discovery=present.discovery,
        seed=present.seed,
        known=present.known,
        memory_mb=present.memory_mb,
        sockets=present.sockets,
    )
    return None if same == present else "settings: not this dispatcher's"


def _places(config: Config) -> Iterator[tuple[str, Any]]:
    """Everything that makes a configuration this dispatcher's, by its place in the file."""
    yield "name", config.name
    yield "listen", config.listen
    for index, name in enumerate(config.classes):
        cls, place = config.settings.classes[index], f"settings.profiles[{index}]."
        yield f"{place}name", name
        for theirs, ours in CLASS_FIELDS.items():
            yield f"{place}{theirs}", getattr(cls, ours)
        yield f"{place}semantics", cls.idempotency.value
        yield f"{place}key_scope", cls.deduplication_scope.value
        yield f"{place}in_turn", cls.ordered
        yield f"settings.family_info.writes[{index}]", cls.is_write
    for index, name in enumerate(config.plans):
        place = f"settings.policies[{index}]."
        yield f"{place}name", name
        for theirs, ours in PLAN_FIELDS.items():
            yield f"{place}{theirs}", getattr(config.settings.plans[index], ours)
    for index, name in enumerate(config.zones):
        yield f"settings.zones[{index}]", name
    for part, names in SETTINGS_FIELDS.items():
        for theirs, ours in names.items():
            yield f"settings.{part}{'.' if part else ''}{theirs}", getattr(config.settings, ours)
    yield "settings.membership_mode", "ask" if config.settings.must_ask else "push"
    yield "settings.caps.cancel", config.settings.may_cancel
    yield "settings.caps.idle_close_ms", config.idle_close_ms
    yield "settings.family_info.counts_others", config.settings.tells_others
    yield "settings.family_info.n_shards", config.shards


# --- what the platform alone demands


def _strict(raw: dict[str, Any], classes: int) -> None:
    """Refuse what would be taken for something else without a word.  Raises ValueError."""
    # Danger: without it the dispatcher takes itself for the only one: it gives a cold server all that
    # this bears from the whole fleet, and turns away each volume that comes through several.
    if raw.get("balancers") is None:
        raise ValueError("balancers: missing")
    _whole(raw, "balancers")
    caps, family = section(raw, "caps", dict), section(raw, "family_info", dict)
    _whole(caps, "max_attempts", "caps.")
    _flag(caps.get("cancel"), "caps.cancel")
    _flag(family.get("counts_others"), "family_info.counts_others")
    for index, profile in enumerate(section_list(raw, "profiles")):
        _flag(profile.get("in_turn"), f"profiles[{index}].in_turn")
    writes = section(family, "writes", list, "family_info.")
    # One for each class, in their order.  Danger: with one too few, nobody knows which class it lacks.
    # Without the list no class writes, and a write is refused at the door.
    if writes and len(writes) != classes:
        raise ValueError(f"family_info.writes: one for each of {classes} classes, not {len(writes)}")
    for index, entry in enumerate(writes):
        _flag(entry, f"family_info.writes[{index}]")


def _completed(raw: dict[str, Any], settings: Settings) -> tuple[Settings, float]:
    """Put what is safe for the rules where a figure is absent; return idle_close_ms besides.

    What is not named here is safe by its absence: no grace for a draining server, no slack for an answer, no
    second attempt, no repeat of a keyed class, no time in a refusal, lists asked for each second, nothing
    for a server that is cold; or the feature itself is absent, such as a limit or a budget.
    """
    caps, safety = section(raw, "caps", dict), section(raw, "safety", dict)
    least_aim = min(cls.latency_objective_ms for cls in settings.classes)
    changes: dict[str, Any] = {
        # A connection that is not up within the least aim cannot serve it.
        "connect_timeout_ms": settings.connect_timeout_ms or least_aim,
    }
    # Danger: a repeat in the wrong group runs twice.  With no group named a keyed class is never repeated.
    changes["classes"] = tuple(
        cls if profile.get("key_scope") is not None else replace(cls, deduplication_window_ms=0.0)
        for cls, profile in zip(settings.classes, section_list(raw, "profiles"), strict=True)
    )
    # Danger: a bound for cold servers, and no time in which they warm up, must not mean that they are warm.
    # Nothing says that the bound ever grows or ends.
    if settings.cold_window_ms and settings.cold_bears and safety.get("warm_up_ms") is None:
        changes |= {"cold_from": 1.0, "warm_up_ms": sys.float_info.max}
    # Danger: parts of a budget that name no window would be no budget.  Without further attempts it is kept.
    if (settings.budget_free or settings.budget_share) and not settings.budget_window_ms:
        changes["max_attempts"] = 1
    # Danger: the interface's default for the largest request would turn away all that are larger than one.
    if section(raw, "family_info", dict).get("most_units") is None:
        changes["most_units"] = MOST_UNITS
    # A connection that idles longer than its server allows is reset under the next request.  Not told how
    # long, connections are used on only where requests follow each other at once: the price is handshakes.
    idle = caps.get("idle_close_ms")
    idle_close_ms = least_aim if idle is None else float(checked_number(idle, "caps.idle_close_ms"))
    return replace(settings, **changes), idle_close_ms


def _part(value: dict[str, Any], name: str, kind: type) -> Any:
    found = value.get(name)
    if not isinstance(found, kind):
        raise ConfigError(f"{name}: missing or no {kind.__name__}")
    return found


def _limit(limits: dict[str, Any], name: str, least: float) -> float:
    found = checked_number(limits.get(name), name, least)
    if found > MOST:
        raise ValueError(f"{name}: at most {MOST:g} was expected, not {describe_value(found)}")
    return float(found)


def _whole(owner: dict[str, Any], name: str, place: str = "") -> int:
    """Read a whole number, 0 where it is absent.  Raises ValueError."""
    found = owner.get(name)
    if found is None:
        return 0
    if checked_number(found, f"{place}{name}") != int(found):
        raise ValueError(f"{place}{name}: a whole number was expected, not {describe_value(found)}")
    return int(found)


def _flag(found: Any, place: str) -> None:
    # Danger: the text "false" is true to Python.
    if found is not None and not (isinstance(found, (bool, int)) and found in (0, 1)):
        raise ValueError(f"{place}: true or false was expected, not {describe_value(found)}")


def _text(found: Any, place: str) -> str:
    try:
        if isinstance(found, str) and found.encode():
            return found
    except UnicodeEncodeError:  # half a surrogate pair, which no client can send
        pass
    raise ValueError(f"{place}: a name was expected, not {describe_value(found)}")


def _names(raw: dict[str, Any], place: str) -> tuple[str, ...]:
    """Read the names of classes or plans.  Raises ValueError."""
    names: list[str] = []
    for index, entry in enumerate(section_list(raw, place)):
        here = f"{place}[{index}].name"
        name = _text(entry.get("name"), here)
        # Danger: of two under one name the first would be served by the other's rules.
        if name in names:
            raise ValueError(f"{here}: {describe_value(name)} is there already")
        names.append(name)
    if not names:
        raise ValueError(f"{place}: at least one was expected")
    return tuple(names)


def _zones(raw: dict[str, Any]) -> tuple[str, ...]:
    """Read the zones' names; the same one twice is one zone.  Raises ValueError."""
    found = section(raw, "zones", list)
    return tuple(dict.fromkeys(_text(name, f"zones[{index}]") for index, name in enumerate(found)))
