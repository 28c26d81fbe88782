"""Collectors of fleets of hollow processes, in simulated time."""

import pytest

from cressrock.lab.collectsim import CollectSim, figures, turns
from cressrock.lab.zonesim import Scene, ZoneSim

A1_LOST = Scene("z", ((4000.0, lambda sim: sim.lose("a1")),), 11000.0, 1)


def capacity_for(edges):
    """Return a zone's capacity of which 2.5 reads a second of each edge take 0.6."""
    return edges * 2.5 / (0.6 * 3)


def test_what_each_sends_does_not_grow_with_the_fleet_and_a_lost_zone_is_evacuated_as_soon():
    sent, evacuated_after_ms = [], []
    for edges in (60, 120, 240):
        sim = CollectSim(3, edges=edges, capacity=capacity_for(edges))
        sim.run(A1_LOST)
        measured = figures(sim, 11.0, 4000.0, "a1")
        sent.append(measured["both_bytes_s"])
        evacuated_after_ms.append(measured["given_up_ms"])
        assert measured["sound_given_up"] == 0
    assert max(sent) < 1.15 * min(sent) and max(sent) < 600, sent
    by_gossip = ZoneSim(3, edges=240, capacity=capacity_for(240))
    by_gossip.run(A1_LOST)
    by_gossip_ms = turns(by_gossip)[0][0] - 4000.0
    assert evacuated_after_ms[-1] <= by_gossip_ms + by_gossip.settings.beat_ms, (
        evacuated_after_ms,
        by_gossip_ms,
    )


def kill_two_collectors(sim):
    sim.kill("m1")
    sim.kill("m2")


def stop_three_collectors(sim):
    for name in list(sim.machines)[:3]:
        sim.stop(name, 4000.0)


@pytest.mark.parametrize("trouble", [kill_two_collectors, stop_three_collectors])
def test_collectors_that_die_or_stand_still_in_calm_move_nobody(trouble):
    sim = CollectSim(5, edges=90, capacity=capacity_for(90))
    sim.run(Scene("z", ((3000.0, trouble),), 16000.0, 0))
    assert sim.decrees == []
    senders = sim.tellers.values()
    assert sum(sender.is_acknowledged() for sender in senders) == 90, "and all of them are heard again"
