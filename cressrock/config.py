"""The settings that a dispatcher is given by its platform, in the scheduler's own terms.

The simulator's first message and the configuration file of a real dispatcher hold the same object; both
adapters read it here, so that neither can mean anything else by it.  Standard library alone.
"""

from __future__ import annotations

import sys
from typing import Any

from cressrock.interface import Effect, Group, Plan, RequestClass, Settings

EFFECTS = {"free": Effect.REPEATABLE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.SHARD}

# Figures by their names in the object, and the interface's names for them.
CLASS_FIGURES = {
    "goal_time_ms": "aim_ms",
    "give_up_ms": "deadline_ms",
    "worth": "worth",
    "late_value": "late_worth",
    "repeat_window_ms": "repeat_window_ms",
}
PLAN_FIGURES = {
    "weight": "weight",
    "rate": "rate",
    "reserve": "reserve",
    "value_factor": "price",
    "ceiling_rate": "limit_rate",
    "burst": "limit_burst",
    "slack": "limit_slack",
}
# The object's other figures, by the part that holds them; "" is the object itself.
FIGURES = {
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


def shown(value: Any) -> str:
    """Show a value of a configuration in a message: short, on one line."""
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "a list"
    text = repr(value)
    return text if len(text) <= 40 else text[:36] + "..."


def number(value: Any, place: str, least: float = 0.0, *, over: bool = False) -> float:
    """Check a figure.  Raises ValueError, naming its place, unless it is finite and not under `least`.

    `over`: it has to be more than that.  True and false are no figures, nor is text that looks like one.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{place}: a number was expected, not {shown(value)}")
    if not -sys.float_info.max <= value <= sys.float_info.max:
        raise ValueError(f"{place}: a finite number was expected, not {shown(value)}")
    if value < least or (over and value == least):
        bound = f"{'over' if over else 'at least'} {least:g}"
        raise ValueError(f"{place}: {bound} was expected, not {shown(value)}")
    return value


def part(owner: dict[str, Any], name: str, kind: type, place: str = "") -> Any:
    """Return a part of an object, an empty one where it is absent or null.  Raises ValueError."""
    found = owner.get(name)
    if found is None or found in ([], {}):
        return kind()
    if not isinstance(found, kind):
        wanted = "an object" if kind is dict else "a list"
        raise ValueError(f"{place}{name}: {wanted} was expected, not {shown(found)}")
    return found


def entries(config: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, an empty one where it is absent or null.  Raises ValueError."""
    found: list[dict[str, Any]] = part(config, name, list)
    for index, entry in enumerate(found):
        if not isinstance(entry, dict):
            raise ValueError(f"{name}[{index}]: an object was expected, not {shown(entry)}")
    return found


def _figures(source: dict[str, Any], names: dict[str, str], place: str) -> dict[str, Any]:
    """Pick the figures that are present, under the interface's names; an absent one keeps its meaning."""
    return {
        ours: number(source[theirs], f"{place}{theirs}", over=theirs in OVER_ZERO)
        for theirs, ours in names.items()
        if source.get(theirs) is not None
    }


def _word(source: dict[str, Any], name: str, words: dict[str, Any], absent: str, place: str) -> Any:
    found = source.get(name)
    if found is None:
        found = absent
    if not isinstance(found, str) or found not in words:
        raise ValueError(f"{place}{name}: unknown word {shown(found)}")
    return words[found]


def settings_from(config: dict[str, Any]) -> Settings:
    """Put the first message's settings into the interface's terms.

    An aim above its deadline is taken as it stands: no answer that still counts is late then.  Raises
    ValueError; its text begins with the place in the object.
    """
    family = part(config, "family_info", dict)
    writes = part(family, "writes", list, "family_info.")
    classes = []
    for index, profile in enumerate(entries(config, "profiles")):
        place = f"profiles[{index}]."
        for required in ("goal_time_ms", "give_up_ms"):
            if profile.get(required) is None:
                raise ValueError(f"{place}{required}: missing")
        classes.append(
            RequestClass(
                effect=_word(profile, "semantics", EFFECTS, "single_shot", place),
                group=_word(profile, "key_scope", GROUPS, "cell", place),
                in_turn=bool(profile.get("in_turn", False)),
                writes=index < len(writes) and bool(writes[index]),
                **_figures(profile, CLASS_FIGURES, place),
            )
        )
    if not classes:
        raise ValueError("profiles: at least one class was expected")
    plans = tuple(
        Plan(**_figures(plan, PLAN_FIGURES, f"policies[{index}]."))
        for index, plan in enumerate(entries(config, "policies"))
    )
    figures: dict[str, Any] = {}
    for name, names in FIGURES.items():
        source = part(config, name, dict) if name else config
        figures |= _figures(source, names, f"{name}." if name else "")
    return Settings(
        classes=tuple(classes),
        plans=plans or (Plan(),),
        may_cancel=bool(part(config, "caps", dict).get("cancel", False)),
        must_ask=config.get("membership_mode") == "ask",
        tells_others=bool(family.get("counts_others", False)),
        **figures,
    )
