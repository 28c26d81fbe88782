"""Failover with real processes: one edge's network fault does not evacuate a zone; a zone loss does."""

import sys

import pytest

from cressrock.lab import steps
from tests.failover.drill_support import (
    ZONE_OF,
    all_follow,
    all_see,
    kill_nodes,
    losses_of,
    play,
    start_nodes,
    until_all_are_well,
    zones_status,
)

MOVES = (
    {"from": "north", "to": "east"},
    {"from": "north", "to": "south"},
    {"from": "north", "to": "south", "may_lose_ms": 1000, "by": "test"},
)


async def decision_count(drill):
    """Return the number of decisions made by all planners."""
    return sum([(await zones_status(drill, planner.name)).get("decided", 0) for planner in drill.planners])


async def cut_one_edge_temporarily(drill):
    """Cut only edge d3 off from zone a1 for a while.  Return the number of decisions made meanwhile."""
    for node in drill.hall.in_zone("a1"):
        node.fault(blind=frozenset({"d3"}))
    await drill.until("one edge is cut", lambda: all_see(drill, "a1", "bad", ["d3"]))
    await drill.answered(60)
    decisions = await decision_count(drill)
    for node in drill.hall.in_zone("a1"):
        node.fault(blind=frozenset())
    await drill.until("the edge reaches the zone again", lambda: all_see(drill, "a1", "good", ["d3"]))
    return decisions


def test_one_cut_edge_changes_nothing_and_a_lost_zone_is_evacuated_once_and_restored():
    observed = {}

    async def run_story(drill):
        edges = await until_all_are_well(drill)
        observed["decisions after one edge is cut"] = await cut_one_edge_temporarily(drill)
        # The zone's nodes fail without a change of the node list, and the leader fails as well.
        lost = await kill_nodes(drill, "a1")
        leader = await drill.until_leader()
        await drill._do(steps.Kill(leader))
        await drill.until("evacuated", lambda: all_follow(drill, ("gone", 0.0), edges))
        await drill._do(steps.Restart(leader))
        await start_nodes(drill, lost)
        await drill.until("restored", lambda: all_follow(drill, ("near", 1.0), edges))
        observed["losses"] = await losses_of(drill, "a1", edges)
        # Writes move only at an operator's request.
        observed["moves"] = [(await drill.ask(leader, "/v1/zones/move", move)) or {} for move in MOVES]

        async def all_edges_know_the_move():
            target = ["north", "south", 1000.0]
            return all([(await zones_status(drill, edge)).get("move") == target for edge in edges])

        await drill.until("all edges know the move", all_edges_know_the_move)

    play(run_story)
    assert observed["decisions after one edge is cut"] == 0
    assert observed["losses"] == [1, 1, 1, 1]
    errors = [answer.get("error") for answer in observed["moves"]]
    assert errors == ["zones-move-refused", "zones-move-refused", None], observed


@pytest.mark.parametrize("delay_s", [0.2, 1.5, 5.0])
def test_a_lost_zone_is_evacuated_once_and_restored_beside_slow_disks_and_no_answer_is_late(delay_s):
    """Regression (issue 53): files were written in the event loop, and each answer waited for the disk."""
    observed = {}

    async def run_story(drill):
        edges = await until_all_are_well(drill)
        lost = await kill_nodes(drill, "a1")
        await drill.until("evacuated", lambda: all_follow(drill, ("gone", 0.0), edges))
        await start_nodes(drill, lost)
        await drill.until("restored", lambda: all_follow(drill, ("near", 1.0), edges))
        observed["losses"] = await losses_of(drill, "a1", edges)
        await drill.answered(30)

    slow = [sys.executable, "-m", "cressrock.lab.slow_disk", str(delay_s)]
    play(run_story, programs=dict.fromkeys(ZONE_OF, slow))
    assert observed["losses"] == [1, 1, 1, 1]
