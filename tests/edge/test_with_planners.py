"""Simulated days with planners that are killed: each request gets one final answer, seen on the sockets."""

import pytest

from cressrock.edge.decisions import EdgeDecisions
from cressrock.lab.day import Day, Script, simulate
from cressrock.lab.judge import judge
from cressrock.programs.composition import Components


def run_day(components=None, **changes):
    """Simulate a day; return it, its result and the judgement of its trace."""
    script = Script(**({"seed": 1, "dispatchers": 2, "planners": 1, "length_ms": 30000} | changes))
    day = Day(script, parts=components)
    result = simulate(day.play, script.seed)
    return day, result, judge(result.trace)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_repeated_planner_kills_lose_no_answer_and_break_no_rule(seed):
    day, result, judgement = run_day(seed=seed, troubles=("planners",))
    assert day.planner_kills >= 8
    assert not judgement.breaches and not result.fences
    assert judgement.figures["answered"] == judgement.figures["requests"] > 500
    assert judgement.figures["served"] > judgement.figures["requests"] / 4
    epochs = [planner.program.epoch for planner in day.planners]
    assert all(epoch > 1.7e12 for epoch in epochs)


def test_all_rules_hold_with_two_planners_killed_repeatedly():
    day, result, judgement = run_day(seed=5, dispatchers=6, planners=2, length_ms=40000)
    assert day.planner_kills >= 8 and not result.fences
    assert not judgement.breaches, judgement.breaches[:3]


class UnlimitedLeases(EdgeDecisions):
    """An edge that leases all units in demand without regard to its quota."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.quota.lease = lambda volume, plan, wanted, now: wanted


def test_limits_hold_over_repeated_planner_restarts_but_not_without_quotas():
    changes = {"seed": 2, "rate": 60.0, "troubles": ("restarts",), "length_ms": 30000}
    day, result, judgement = run_day(**changes)
    assert day.planner_kills >= 15 and not judgement.breaches and not result.fences
    assert judgement.looked_at[7] > 100
    _, _, broken = run_day(components=Components(edge=UnlimitedLeases), **changes)
    assert not broken.kept(7)
