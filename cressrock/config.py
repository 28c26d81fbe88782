"""Parser of the platform's settings object, which returns the scheduler's `Settings`.

The simulator's first message and the configuration file of a real dispatcher contain the same object.  Both
adapters parse it here, so that they cannot interpret it differently.  Uses only the standard library.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any, TypeVar

from cressrock.interface import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

JsonObject = dict[str, Any]  # as parsed by the json module
Kind = TypeVar("Kind")

IDEMPOTENCY_BY_NAME = {
    "free": Idempotency.ALWAYS,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NEVER,
}
SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.SHARD,
}

# Field name in `cressrock.interface` by key in the settings object.
CLASS_FIELDS = {
    "goal_time_ms": "latency_objective_ms",
    "give_up_ms": "deadline_ms",
    "worth": "priority_weight",
    "late_value": "late_priority_weight",
    "repeat_window_ms": "deduplication_window_ms",
}
PLAN_FIELDS = {
    "weight": "weight",
    "rate": "rate",
    "reserve": "reserve",
    "value_factor": "price",
    "ceiling_rate": "limit_rate",
    "burst": "limit_burst",
    "slack": "limit_slack",
}
# The remaining numbers by section of the settings object; "" is the top level.
SETTINGS_FIELDS = {
    "": {"balancers": "hosts", "period_ms": "tick_ms"},
    "caps": {
        "max_attempts": "max_attempts",
        "connect_timeout_ms": "connect_timeout_ms",
        "max_retry_after_ms": "advice_max_ms",
    },
    "safety": {
        "answer_slack_ms": "answer_slack_ms",
        "drain_grace_ms": "drain_grace_ms",
        "ask_every_ms": "ask_every_ms",
        "cold_from": "cold_from",
        "warm_up_ms": "warm_up_ms",
        "tip_after_ms": "cold_window_ms",
        "order_settle_ms": "order_settle_ms",
        "look_back_ms": "budget_window_ms",
        "extra_free": "budget_free",
        "extra_per_request": "budget_share",
    },
    "family_info": {
        "cold_bears": "cold_bears",
        "usual_units": "usual_units",
        "most_units": "most_units",
        "within_share": "share_worth",
        "idle_worth": "spare_worth",
        "use_period_ms": "meter_period_ms",
    },
}
POSITIVE_FIELDS = frozenset(
    (
        "goal_time_ms",
        "give_up_ms",
        "weight",
        "balancers",
        "period_ms",
        "max_attempts",
        "cold_from",
        "usual_units",
        "most_units",
    )
)


def describe_value(value: object) -> str:
    """Format a configuration value for an error message: one line of at most 40 characters."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    text = repr(value)
    return text if len(text) <= 40 else text[:36] + "..."


def checked_number(value: object, place: str, minimum: float = 0.0, *, exclusive: bool = False) -> float:
    """Return `value` if it is a finite number of at least `minimum`, or above it with `exclusive`.

    Raises ValueError with its place otherwise.  Booleans and numeric strings are not accepted.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{place}: a number was expected, not {describe_value(value)}")
    if not -sys.float_info.max <= value <= sys.float_info.max:
        raise ValueError(f"{place}: a finite number was expected, not {describe_value(value)}")
    if value < minimum or (exclusive and value == minimum):
        bound = f"{'over' if exclusive else 'at least'} {minimum:g}"
        raise ValueError(f"{place}: {bound} was expected, not {describe_value(value)}")
    return value


def section(owner: JsonObject, name: str, kind: type[Kind], place: str = "") -> Kind:
    """Return a section of an object, empty if absent or null.  Raises ValueError if it is not a `kind`."""
    value = owner.get(name)
    if value is None or value in ([], {}):
        return kind()
    if not isinstance(value, kind):
        expected = "an object" if kind is dict else "a list"
        raise ValueError(f"{place}{name}: {expected} was expected, not {describe_value(value)}")
    return value


def section_list(config: JsonObject, name: str) -> list[JsonObject]:
    """Return a list of objects, empty if absent or null.  Raises ValueError for any other value."""
    entries: list[JsonObject] = section(config, name, list)
    for index, entry in enumerate(entries):
        if not isinstance(entry, dict):
            raise ValueError(f"{name}[{index}]: an object was expected, not {describe_value(entry)}")
    return entries


def _numbers(source: JsonObject, names: Mapping[str, str], place: str) -> JsonObject:
    """Return the numbers that are present, under the interface's names; absent ones keep their defaults."""
    return {
        name: checked_number(source[outer], f"{place}{outer}", exclusive=outer in POSITIVE_FIELDS)
        for outer, name in names.items()
        if source.get(outer) is not None
    }


def _choice(source: JsonObject, name: str, choices: Mapping[str, Kind], default: str, place: str) -> Kind:
    value = source.get(name)
    if value is None:
        value = default
    if not isinstance(value, str) or value not in choices:
        raise ValueError(f"{place}{name}: unknown word {describe_value(value)}")
    return choices[value]


def parse_settings(config: JsonObject) -> Settings:
    """Convert a settings object to the interface's `Settings`.

    A latency objective above the deadline is accepted: then no response within the deadline is late.  Raises
    ValueError whose text begins with the place in the object.
    """
    family = section(config, "family_info", dict)
    writes = section(family, "writes", list, "family_info.")
    classes = []
    for index, profile in enumerate(section_list(config, "profiles")):
        place = f"profiles[{index}]."
        for required in ("goal_time_ms", "give_up_ms"):
            if profile.get(required) is None:
                raise ValueError(f"{place}{required}: missing")
        classes.append(
            RequestClass(
                idempotency=_choice(profile, "semantics", IDEMPOTENCY_BY_NAME, "single_shot", place),
                deduplication_scope=_choice(profile, "key_scope", SCOPE_BY_NAME, "cell", place),
                ordered=bool(profile.get("in_turn", False)),
                is_write=index < len(writes) and bool(writes[index]),
                **_numbers(profile, CLASS_FIELDS, place),
            )
        )
    if not classes:
        raise ValueError("profiles: at least one class was expected")
    plans = tuple(
        Plan(**_numbers(plan, PLAN_FIELDS, f"policies[{index}]."))
        for index, plan in enumerate(section_list(config, "policies"))
    )
    numbers: JsonObject = {}
    for name, names in SETTINGS_FIELDS.items():
        source = section(config, name, dict) if name else config
        numbers |= _numbers(source, names, f"{name}." if name else "")
    return Settings(
        classes=tuple(classes),
        plans=plans or (Plan(),),
        may_cancel=bool(section(config, "caps", dict).get("cancel", False)),
        must_ask=config.get("membership_mode") == "ask",
        tells_others=bool(family.get("counts_others", False)),
        **numbers,
    )
