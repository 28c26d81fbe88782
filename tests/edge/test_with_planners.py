"""Edges under planners that die: one final answer whatever happens, judged from the sockets alone."""

import pytest

from cressrock.edge.decisions import EdgeDecisions
from cressrock.lab.day import Day, Script, simulate
from cressrock.lab.judge import judge
from cressrock.programs.composition import Components


def play(components=None, **changes):
    """Play a simulated day; return it, its result and the judgement."""
    script = Script(**({"seed": 1, "dispatchers": 2, "planners": 1, "length_ms": 30000} | changes))
    day = Day(script, parts=components)
    result = simulate(day.play, script.seed)
    return day, result, judge(result.trace)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_planner_killed_again_and_again_costs_no_answer_and_no_rule(seed):
    day, result, judgement = play(seed=seed, troubles=("planners",))
    assert day.planner_kills >= 8
    assert not judgement.breaches and not result.fences
    assert judgement.figures["answered"] == judgement.figures["requests"] > 500
    assert judgement.figures["served"] > judgement.figures["requests"] / 4
    epochs = [planner.program.epoch for planner in day.planners]
    assert all(epoch > 1.7e12 for epoch in epochs)


def test_bad_day_with_two_planners_that_die_keeps_all_rules():
    day, result, judgement = play(seed=5, dispatchers=6, planners=2, length_ms=40000)
    assert day.planner_kills >= 8 and not result.fences
    assert not judgement.breaches, judgement.breaches[:3]


class Generous(EdgeDecisions):
    """An edge that leases what waits, whether its quota has it or not."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.quota.lease = lambda volume, plan, wanted, now: wanted


def test_planner_back_at_once_twenty_times_keeps_limits_and_needs_the_quotas_for_it():
    changes = {"seed": 2, "rate": 60.0, "troubles": ("restarts",), "length_ms": 30000}
    day, result, judgement = play(**changes)
    assert day.planner_kills >= 15 and not judgement.breaches and not result.fences
    assert judgement.looked_at[7] > 100
    _, _, broken = play(components=Components(edge=Generous), **changes)
    assert not broken.kept(7)
