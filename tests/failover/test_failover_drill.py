"""Failover by processes: one edge's bad network moves nobody; a lost zone is evacuated and taken back."""

from cressrock.lab import steps
from tests.failover.drill_support import (
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


async def decided(drill):
    """Return how many decisions all planners have taken."""
    return sum([(await zones_status(drill, planner.name)).get("decided", 0) for planner in drill.planners])


async def cut_one_edge_for_a_while(drill):
    """Cut d3 alone from a1: it says so, its fellows do not.  Return how many decisions that brought."""
    for node in drill.hall.in_zone("a1"):
        node.fault(blind=frozenset({"d3"}))
    await drill.until("one edge is cut", lambda: all_see(drill, "a1", "bad", ["d3"]))
    await drill.answered(60)
    decisions = await decided(drill)
    for node in drill.hall.in_zone("a1"):
        node.fault(blind=frozenset())
    await drill.until("it is well again", lambda: all_see(drill, "a1", "good", ["d3"]))
    return decisions


def test_one_edges_cut_moves_nobody_and_a_lost_zone_is_evacuated_once_and_taken_back():
    seen = {}

    async def story(drill):
        edges = await until_all_are_well(drill)
        seen["moved by one"] = await cut_one_edge_for_a_while(drill)
        # The zone's nodes die, the list says nothing, and the leader dies with them.
        lost = await kill_nodes(drill, "a1")
        leader = await drill.leader()
        await drill._do(steps.Kill(leader))
        await drill.until("given up", lambda: all_follow(drill, ("gone", 0.0), edges))
        await drill._do(steps.Restart(leader))
        await start_nodes(drill, lost)
        await drill.until("taken back", lambda: all_follow(drill, ("near", 1.0), edges))
        seen["losses"] = await losses_of(drill, "a1", edges)
        # Writes move by the operator's word alone.
        seen["moves"] = [(await drill.ask(leader, "/v1/zones/move", move)) or {} for move in MOVES]

        async def all_know_the_move():
            target = ["north", "south", 1000.0]
            return all([(await zones_status(drill, edge)).get("move") == target for edge in edges])

        await drill.until("the move is known", all_know_the_move)

    play(story)
    assert seen["moved by one"] == 0
    assert seen["losses"] == [1, 1, 1, 1]
    errors = [answer.get("error") for answer in seen["moves"]]
    assert errors == ["zones-move-refused", "zones-move-refused", None], seen
