"""The settings that a dispatcher is given by its platform, in the scheduler's own terms.

The simulator's first message and the configuration file of a real dispatcher hold the same object; both
adapters read it here, so that neither can mean anything else by it.  Standard library alone.
"""

from __future__ import annotations

import sys
from typing import Any

from cressrock.interface import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

EFFECTS = {"free": Idempotency.ALWAYS, "guarded": Idempotency.KEYED, "single_shot": Idempotency.NEVER}
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.SHARD}

# Figures by their names in the object, and the interface's names for them.
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
# The object's other figures, by the part that holds them; "" is the object itself.
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
OVER_ZERO = frozenset(
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


def describe_value(value: Any) -> str:
    """Show a value of a configuration in a message: short, on one line."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    text = repr(value)
    return text if len(text) <= 40 else text[:36] + "..."


def checked_number(value: Any, place: str, minimum: float = 0.0, *, exclusive: bool = False) -> float:
    """Check a figure.  Raises ValueError, naming its place, unless it is finite and not under `least`.

    `over`: it has to be more than that.  True and false are no figures, nor is text that looks like one.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{place}: a number was expected, not {describe_value(value)}")
    if not -sys.float_info.max <= value <= sys.float_info.max:
        raise ValueError(f"{place}: a finite number was expected, not {describe_value(value)}")
    if value < minimum or (exclusive and value == minimum):
        bound = f"{'over' if exclusive else 'at least'} {minimum:g}"
        raise ValueError(f"{place}: {bound} was expected, not {describe_value(value)}")
    return value


def section(owner: dict[str, Any], name: str, kind: type, place: str = "") -> Any:
    """Return a part of an object, an empty one where it is absent or null.  Raises ValueError."""
    found = owner.get(name)
    if found is None or found in ([], {}):
        return kind()
    if not isinstance(found, kind):
        wanted = "an object" if kind is dict else "a list"
        raise ValueError(f"{place}{name}: {wanted} was expected, not {describe_value(found)}")
    return found


def section_list(config: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, an empty one where it is absent or null.  Raises ValueError."""
    found: list[dict[str, Any]] = section(config, name, list)
    for index, entry in enumerate(found):
        if not isinstance(entry, dict):
            raise ValueError(f"{name}[{index}]: an object was expected, not {describe_value(entry)}")
    return found


def _figures(source: dict[str, Any], names: dict[str, str], place: str) -> dict[str, Any]:
    """Pick the figures that are present, under the interface's names; an absent one keeps its meaning."""
    return {
        ours: checked_number(source[theirs], f"{place}{theirs}", exclusive=theirs in OVER_ZERO)
        for theirs, ours in names.items()
        if source.get(theirs) is not None
    }


def _word(source: dict[str, Any], name: str, words: dict[str, Any], absent: str, place: str) -> Any:
    found = source.get(name)
    if found is None:
        found = absent
    if not isinstance(found, str) or found not in words:
        raise ValueError(f"{place}{name}: unknown word {describe_value(found)}")
    return words[found]


def parse_settings(config: dict[str, Any]) -> Settings:
    """Put the first message's settings into the interface's terms.

    An aim above its deadline is taken as it stands: no answer that still counts is late then.  Raises
    ValueError; its text begins with the place in the object.
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
                idempotency=_word(profile, "semantics", EFFECTS, "single_shot", place),
                deduplication_scope=_word(profile, "key_scope", GROUPS, "cell", place),
                ordered=bool(profile.get("in_turn", False)),
                is_write=index < len(writes) and bool(writes[index]),
                **_figures(profile, CLASS_FIELDS, place),
            )
        )
    if not classes:
        raise ValueError("profiles: at least one class was expected")
    plans = tuple(
        Plan(**_figures(plan, PLAN_FIELDS, f"policies[{index}]."))
        for index, plan in enumerate(section_list(config, "policies"))
    )
    figures: dict[str, Any] = {}
    for name, names in SETTINGS_FIELDS.items():
        source = section(config, name, dict) if name else config
        figures |= _figures(source, names, f"{name}." if name else "")
    return Settings(
        classes=tuple(classes),
        plans=plans or (Plan(),),
        may_cancel=bool(section(config, "caps", dict).get("cancel", False)),
        must_ask=config.get("membership_mode") == "ask",
        tells_others=bool(family.get("counts_others", False)),
        **figures,
    )
