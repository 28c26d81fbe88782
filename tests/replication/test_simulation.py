"""Random schedules of requests, faults and repair; clients' histories are checked for linearizability."""

from dataclasses import replace

from cressrock.lab.copysim import Plan, Sim
from cressrock.lab.histories import Verdict


def test_random_schedules_are_linearizable_and_disabling_any_fence_is_detected():
    primaries_replaced = replicas_rejoined = 0
    for seed in range(100):
        run = Sim(seed, Plan()).play()
        assert run.well, (seed, run.verdicts, run.states)
        assert Verdict.UNDECIDED not in run.verdicts.values()
        primaries_replaced, replicas_rejoined = (
            primaries_replaced + run.counts.get("moved", 0),
            replicas_rejoined + run.counts.get("back", 0),
        )
    assert primaries_replaced > 20 and replicas_rejoined > 100
    for fence in ("decree_first", "settle", "epoch_fence", "store_fence", "last_pass"):
        plan = replace(Plan(faults=6), **{fence: False})
        assert any(not Sim(seed, plan).play().well for seed in range(100)), fence
