"""Edge and planner: one final answer whatever happens to the planner, judged from the sockets alone."""

import pytest

from cressrock.edge.decisions import EdgeDecisions
from cressrock.lab.day import Day, Script, simulate
from cressrock.lab.judge import judge
from cressrock.planner.epochs import EpochStore, next_epoch
from cressrock.programs.gateway import Components


def play(parts=None, **changes):
    script = Script(**({"seed": 1, "dispatchers": 2, "planners": 1, "length_ms": 30000} | changes))
    day = Day(script, parts=parts)
    result = simulate(day.play, script.seed)
    return day, result, judge(result.trace)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_planner_killed_again_and_again_costs_no_answer_and_no_rule(seed):
    day, result, found = play(seed=seed, troubles=("planners",))
    assert day.planner_kills >= 8
    assert not found.breaches and not result.fences
    assert found.figures["answered"] == found.figures["requests"] > 500
    assert found.figures["served"] > found.figures["requests"] / 4
    epochs = [p.program.epoch for p in day.planners]
    assert all(epoch > 1.7e12 for epoch in epochs)


def test_the_bad_day_with_two_planners_that_die_keeps_all_rules():
    day, result, found = play(seed=5, dispatchers=6, planners=2, length_ms=40000)
    assert day.planner_kills >= 8 and not result.fences
    assert not found.breaches, found.breaches[:3]


def test_an_epoch_is_never_used_again_also_with_the_store_lost(tmp_path):
    store = EpochStore(str(tmp_path / "epoch"))
    assert store.read() is None
    first = next_epoch(store.read(), 1000.0)
    store.write(first)
    assert next_epoch(store.read(), 0.0) == first + 1  # the clock was set back
    (tmp_path / "epoch").unlink()
    assert next_epoch(store.read(), 2000.0) > first  # the file is lost
    assert next_epoch(None, 0.0, seen=first) == first + 1  # both: an edge says what it saw
    for torn in (b"", b"cressrock-epoch-1 10", b"cressrock-epoch-2 5\n", b"\xff", b"cressrock-epoch-1 x\n"):
        (tmp_path / "epoch").write_bytes(torn)
        assert store.read() is None


class Generous(EdgeDecisions):
    """An edge that lends what waits, whether its part of the limit has it or not."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self.quota.lease = lambda volume, plan, wanted, now: wanted


def test_a_planner_back_at_once_twenty_times_keeps_limits_and_needs_their_parts_for_it():
    changes = {"seed": 2, "rate": 60.0, "troubles": ("restarts",), "length_ms": 30000}
    day, result, found = play(**changes)
    assert day.planner_kills >= 15 and not found.breaches and not result.fences
    assert found.looked_at[7] > 100
    _, _, broken = play(parts=Components(edge=Generous), **changes)
    assert not broken.kept(7)
