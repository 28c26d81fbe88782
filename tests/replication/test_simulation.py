"""Random schedules over machines, nodes and repair, judged by clients' histories."""

from dataclasses import replace

from cressrock.lab.copysim import Plan, Sim
from cressrock.lab.histories import Verdict


def test_random_schedules_are_linearizable_and_each_fence_that_is_off_is_found():
    moved = back = 0
    for seed in range(100):
        run = Sim(seed, Plan()).play()
        assert run.well, (seed, run.verdicts, run.states)
        assert Verdict.UNDECIDED not in run.verdicts.values()
        moved, back = moved + run.counts.get("moved", 0), back + run.counts.get("back", 0)
    assert moved > 20 and back > 100
    for fence in ("decree_first", "settle", "epoch_fence", "store_fence", "last_pass"):
        plan = replace(Plan(faults=6), **{fence: False})
        assert any(not Sim(seed, plan).play().well for seed in range(100)), fence
