"""Settings, a rollout plan and rule documents shared by the tests of rollouts."""

import msgspec

from cressrock.rollout.plan import RolloutPlan, Stage
from cressrock.settings import rules
from cressrock.settings.load import convert
from cressrock.settings.types import METHODS

READS = ["GET", "HEAD", "PROPFIND"]


WRITES = [m for m in METHODS if m not in READS]


SETTINGS = {
    "classes": [
        {
            "name": "small",
            "methods": ["GET"],
            "max_bytes": 1000,
            "aim_ms": 100,
            "deadline_ms": 1000,
            "effect": "repeatable",
        },
        {"name": "read", "methods": READS, "aim_ms": 200, "deadline_ms": 2000, "effect": "repeatable"},
        {
            "name": "write",
            "methods": WRITES,
            "aim_ms": 400,
            "deadline_ms": 4000,
            "effect": "keyed",
            "repeat_window_ms": 5000,
            "in_turn": True,
        },
    ],
    "plans": {"a": {"weight": 1, "reserve": 10, "limit_rate": 5, "limit_burst": 9}, "b": {"weight": 2}},
    "volumes": {"vol": {"shards": [0, 1], "plan": "a"}},
    "node_list": {"address": "127.0.0.1:1"},
}


PLAN = RolloutPlan(
    stages=[
        Stage(volume_fraction=0.05, min_duration_ms=100, min_answers=10),
        Stage(zones=["z"], min_duration_ms=100, min_answers=10),
        Stage(control_fraction=0.1, min_duration_ms=100, min_answers=10),
    ]
)


def gateway_settings():
    return convert("test", SETTINGS)


def changed_document(path, value, plan=PLAN):
    """Return a document of the settings' own rules, with the value at `path` replaced."""
    document = msgspec.to_builtins(rules.of_settings(gateway_settings(), plan))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return rules.read(msgspec.json.encode(document))
