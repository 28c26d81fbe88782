"""The settings that a dispatcher is given by its platform, in the scheduler's own terms.

The simulator's first message and the configuration file of a real dispatcher hold the same object; both
adapters read it here, so that neither can mean anything else by it.  Standard library alone.
"""

from __future__ import annotations

from typing import Any

from cressrock.interface import Effect, Group, Plan, RequestClass, Settings

EFFECTS = {"free": Effect.REPEATABLE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.SHARD}


def _figures(source: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    """Pick the figures that are present, under the interface's names; an absent one keeps its meaning."""
    return {ours: source[theirs] for theirs, ours in names.items() if source.get(theirs) is not None}


def settings_from(config: dict[str, Any]) -> Settings:
    """Put the first message's settings into the interface's terms."""
    family = config.get("family_info") or {}
    writes = family.get("writes") or []
    classes = []
    for index, profile in enumerate(config.get("profiles") or []):
        for required in ("goal_time_ms", "give_up_ms"):
            if profile.get(required) is None:
                raise ValueError(f"profiles[{index}].{required} is missing")
        figures = _figures(
            profile,
            {
                "goal_time_ms": "aim_ms",
                "give_up_ms": "deadline_ms",
                "worth": "worth",
                "late_value": "late_worth",
                "repeat_window_ms": "repeat_window_ms",
            },
        )
        try:
            classes.append(
                RequestClass(
                    effect=EFFECTS[profile.get("semantics", "single_shot")],
                    group=GROUPS[profile.get("key_scope", "cell")],
                    in_turn=bool(profile.get("in_turn", False)),
                    writes=index < len(writes) and bool(writes[index]),
                    **figures,
                )
            )
        except KeyError as unknown:
            raise ValueError(f"profiles[{index}] has an unknown word {unknown}") from None
    plan_names = {
        "weight": "weight",
        "rate": "rate",
        "reserve": "reserve",
        "value_factor": "price",
        "ceiling_rate": "limit_rate",
        "burst": "limit_burst",
        "slack": "limit_slack",
    }
    plans = tuple(Plan(**_figures(plan, plan_names)) for plan in config.get("policies") or [])
    figures = _figures(config, {"balancers": "hosts", "period_ms": "tick_ms"})
    figures |= _figures(
        config.get("caps") or {},
        {
            "max_attempts": "max_attempts",
            "connect_timeout_ms": "connect_timeout_ms",
            "max_retry_after_ms": "advice_max_ms",
        },
    )
    figures |= _figures(
        config.get("safety") or {},
        {
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
    )
    figures |= _figures(
        family,
        {
            "cold_bears": "cold_bears",
            "usual_units": "usual_units",
            "most_units": "most_units",
            "within_share": "share_worth",
            "idle_worth": "spare_worth",
            "use_period_ms": "meter_period_ms",
        },
    )
    return Settings(
        classes=tuple(classes),
        plans=plans or (Plan(),),
        may_cancel=bool((config.get("caps") or {}).get("cancel", False)),
        must_ask=config.get("membership_mode") == "ask",
        tells_others=bool(family.get("counts_others", False)),
        **figures,
    )
