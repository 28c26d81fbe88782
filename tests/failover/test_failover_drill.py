"""Zones by processes: one edge's bad network moves nobody; a zone that is lost is given up and taken back."""

from cressrock.lab import steps as st
from cressrock.lab.common import Common, Told
from cressrock.lab.day import Script
from cressrock.lab.drill import rehearse

REGIONS = {"a1": "north", "a2": "north", "b1": "south"}
PLACES = {"d0": "a1", "d1": "a1", "d2": "a2", "d3": "b1", "p0": "a1", "p1": "a2", "p2": "b1"}
FAST = {
    "beat_ms": 300.0,
    "rest_ms": 600.0,
    "step_ms": 700.0,
    "warm_ms": 2000.0,
    "calm_ms": 2000.0,
    "recent_ms": 3000.0,
}


def zones(drill, name, value):
    value["zones"] = {
        "zones": {zone: {"region": region, "capacity": 200.0} for zone, region in REGIONS.items()},
        "edges": 4,
        **FAST,
    }


async def room(drill, name):
    return ((await drill.ask(name)) or {}).get("zones") or {}


async def decided(drill):
    return sum([(await room(drill, p.name)).get("decided", 0) for p in drill.planners])


async def words(drill, zone, wanted, names):
    return all([(await room(drill, n)).get("words", {}).get(zone) == wanted for n in names])


async def decreed(drill, wanted, names):
    """Whether each of these holds a decree that says so of a1: state, part; None: none says anything."""
    for name in names:
        found = ((await room(drill, name)).get("decreed") or {}).get("a1")
        if (found and (found["state"], found["part"])) != wanted:
            return False
    return True


def test_one_edges_cut_moves_nobody_and_a_lost_zone_is_given_up_once_and_taken_back():
    seen = {}

    async def story(drill):
        edges = [d.name for d in drill.dispatchers]
        names = drill.names()
        everybody = dict.fromkeys(names, "alive")
        await drill.until("one view", lambda: drill.sees(everybody, by=names))
        await drill.until("a leader", drill.leader)
        for zone in REGIONS:
            await drill.until(f"all reach {zone}", lambda zone=zone: words(drill, zone, "good", edges))
        # One edge alone: it says so, its fellows do not, nobody moves.
        for node in drill.hall.in_zone("a1"):
            node.fault(blind=frozenset({"d3"}))
        await drill.until("one edge is cut", lambda: words(drill, "a1", "bad", ["d3"]))
        await drill.answered(60)
        seen["moved by one"] = await decided(drill)
        for node in drill.hall.in_zone("a1"):
            node.fault(blind=frozenset())
        await drill.until("it is well again", lambda: words(drill, "a1", "good", ["d3"]))
        # The zone's nodes die, the list says nothing, and the leader dies with them.
        lost = [(n.rack.shard, n.name) for n in drill.hall.in_zone("a1")]
        for _, name in lost:
            await drill.hall.kill(name)
        leader = await drill.leader()
        await drill._do(st.Kill(leader))
        await drill.until("given up", lambda: decreed(drill, ("gone", 0.0), edges))
        await drill._do(st.Restart(leader))
        for shard, name in lost:
            await drill.hall.start(shard, name, cold=True)
        drill.hall.publish()
        await drill.until("taken back", lambda: decreed(drill, ("near", 1.0), edges))
        seen["losses"] = [(await room(drill, name))["decreed"]["a1"]["losses"] for name in edges]
        # Writes move by the operator's word alone.
        seen["move"] = [
            (await drill.ask(leader, "/v1/zones/move", body)) or {}
            for body in (
                {"from": "north", "to": "east"},
                {"from": "north", "to": "south"},
                {"from": "north", "to": "south", "may_lose_ms": 1000, "by": "test"},
            )
        ]
        target = ["north", "south", 1000.0]

        async def moved():
            return all([(await room(drill, n)).get("move") == target for n in edges])

        await drill.until("the move is known", moved)

    common = Common(
        seats=["p0", "p1", "p2"], zones={n: (z, REGIONS[z]) for n, z in PLACES.items()}, more=zones
    )
    script = Script(
        seed=1,
        dispatchers=4,
        planners=3,
        nodes=6,
        rate=60.0,
        real=True,
        way_ms=60.0,
        length_ms=1e9,
        troubles=(),
    )
    drill = Told(script, (), story=story, extend=common.extend)
    drill.node_zones = {shard: sorted(REGIONS)[shard % 3] for shard in range(6)}
    report = rehearse(drill)
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    assert seen["moved by one"] == 0
    assert seen["losses"] == [1, 1, 1, 1]
    assert [m.get("error") for m in seen["move"]] == ["zones-move-refused", "zones-move-refused", None], seen
    assert report.found.figures["answered"] == report.found.figures["requests"] > 200
