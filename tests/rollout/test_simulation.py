"""Whole rollouts over simulated fleets, and how long a halted candidate is still chosen."""

import pytest

from cressrock.lab import rolloutsim as sim
from cressrock.rollout.read_lease import ReadLease


def test_harmless_rollouts_get_through_with_faults_beside_them_and_the_pure_test_agrees():
    ends = [sim.Fleet(sim.Shape(), sim.course(least_s=8), seed).play(check=True) for seed in range(1, 7)]
    assert [p.state for p in ends] == ["done"] * 6, ends


def test_a_rise_is_found_and_one_process_alone_halts_nothing():
    plan = sim.course(least_s=900)
    base = (0.01, 0.002, 0.002, 0.02, 0.08)
    for seed in (1, 2):
        fleet = sim.Fleet(sim.Shape(faults=False), plan, seed, worse={sim.REFUSED: 3.0625}, base=base)
        found = fleet.play(600, check=True)
        assert (found.state, found.stage) == ("halted", 0) and "refused" in found.why, found
        alone = sim.Fleet(sim.Shape(), sim.course(least_s=8), seed, sick_by_it=1).play(check=True)
        assert alone.state == "done", alone


@pytest.mark.parametrize("seed", range(1, 4))
def test_nothing_halted_is_chosen_later_than_the_hold_by_anybody_though_old_word_comes_late(seed):
    assert sim.hold_run(seed, processes=60).after_ms <= 10000 * 1.002
    if seed == 2:  # the danger: what a cut held back is believed for a whole hold more
        assert sim.hold_run(seed, processes=60, reads=False).after_ms > 10000


def test_a_read_counts_from_its_beginning_and_for_one_number():
    sure = ReadLease()
    assert not sure.is_valid(1, 0.0)
    sure.record_read(1, 100.0, 1000.0)
    assert sure.is_valid(1, 1099.0) and not sure.is_valid(1, 1100.0) and not sure.is_valid(2, 200.0)
