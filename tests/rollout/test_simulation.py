"""Complete rollouts over simulated fleets, and how long a halted candidate remains in use."""

import pytest

from cressrock.lab import rolloutsim as sim
from cressrock.rollout.read_lease import ReadLease


def test_harmless_rollouts_complete_despite_unrelated_faults_and_match_the_reference_test():
    ends = [sim.Fleet(sim.Shape(), sim.course(least_s=8), seed).play(check=True) for seed in range(1, 7)]
    assert [p.state for p in ends] == ["done"] * 6, ends


def test_an_increase_in_faults_is_detected_and_a_single_process_cannot_halt_a_rollout():
    plan = sim.course(least_s=900)
    base = (0.01, 0.002, 0.002, 0.02, 0.08)
    for seed in (1, 2):
        fleet = sim.Fleet(sim.Shape(faults=False), plan, seed, worse={sim.REFUSED: 3.0625}, base=base)
        found = fleet.play(600, check=True)
        assert (found.state, found.stage) == ("halted", 0) and "refused" in found.why, found
        alone = sim.Fleet(sim.Shape(), sim.course(least_s=8), seed, sick_by_it=1).play(check=True)
        assert alone.state == "done", alone


@pytest.mark.parametrize("seed", range(1, 4))
def test_no_process_uses_a_halted_candidate_beyond_the_lease_despite_delayed_gossip(seed):
    assert sim.hold_run(seed, processes=60).after_ms <= 10000 * 1.002
    if seed == 2:  # without read leases a decision delayed by a partition is used for another full lease
        assert sim.hold_run(seed, processes=60, reads=False).after_ms > 10000


def test_a_read_lease_starts_when_the_read_began_and_covers_one_version():
    lease = ReadLease()
    assert not lease.is_valid(1, 0.0)
    lease.record_read(1, 100.0, 1000.0)
    assert lease.is_valid(1, 1099.0) and not lease.is_valid(1, 1100.0) and not lease.is_valid(2, 200.0)
