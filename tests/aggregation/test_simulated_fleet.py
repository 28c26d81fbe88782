"""Collectors of simulated fleets, in virtual time."""

import pytest

from cressrock.lab.collectsim import CollectSim, figures, turns
from cressrock.lab.zonesim import Scene, ZoneSim

A1_LOST = Scene("z", ((4000.0, lambda sim: sim.lose("a1")),), 11000.0, 1)


def capacity_for(edges):
    """Return a zone's capacity in reads per second at which 2.5 reads a second per edge use 60 %."""
    return edges * 2.5 / (0.6 * 3)


def test_traffic_per_process_is_constant_and_evacuation_as_fast_as_by_gossip():
    bytes_per_s, evacuated_after_ms = [], []
    for edges in (60, 120, 240):
        sim = CollectSim(3, edges=edges, capacity=capacity_for(edges))
        sim.run(A1_LOST)
        measured = figures(sim, 11.0, 4000.0, "a1")
        bytes_per_s.append(measured["both_bytes_s"])
        evacuated_after_ms.append(measured["given_up_ms"])
        assert measured["sound_given_up"] == 0
    assert max(bytes_per_s) < 1.15 * min(bytes_per_s) and max(bytes_per_s) < 600, bytes_per_s
    gossip_sim = ZoneSim(3, edges=240, capacity=capacity_for(240))
    gossip_sim.run(A1_LOST)
    gossip_evacuated_after_ms = turns(gossip_sim)[0][0] - 4000.0
    assert evacuated_after_ms[-1] <= gossip_evacuated_after_ms + gossip_sim.settings.beat_ms, (
        evacuated_after_ms,
        gossip_evacuated_after_ms,
    )


def kill_two_collectors(sim):
    sim.kill("m1")
    sim.kill("m2")


def stop_three_collectors(sim):
    for name in list(sim.machines)[:3]:
        sim.stop(name, 4000.0)


@pytest.mark.parametrize("inject_fault", [kill_two_collectors, stop_three_collectors])
def test_failed_or_paused_collectors_cause_no_decisions(inject_fault):
    sim = CollectSim(5, edges=90, capacity=capacity_for(90))
    sim.run(Scene("z", ((3000.0, inject_fault),), 16000.0, 0))
    assert sim.decrees == []
    senders = sim.tellers.values()
    assert sum(sender.is_acknowledged() for sender in senders) == 90, "every report is acknowledged again"
