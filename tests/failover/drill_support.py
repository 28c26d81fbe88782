"""Drills with four edge, three planner and six node processes in three zones."""

from cressrock.lab.common import Common, Told
from cressrock.lab.day import Script
from cressrock.lab.drill import rehearse

REGIONS = {"a1": "north", "a2": "north", "b1": "south"}
ZONES = sorted(REGIONS)
ZONE_OF = {"d0": "a1", "d1": "a1", "d2": "a2", "d3": "b1", "p0": "a1", "p1": "a2", "p2": "b1"}
REPLICAS = ["p0", "p1", "p2"]
FAST = {
    "beat_ms": 300.0,
    "rest_ms": 600.0,
    "step_ms": 700.0,
    "warm_ms": 2000.0,
    "calm_ms": 2000.0,
    "recent_ms": 3000.0,
}
MIN_REQUESTS = 200  # fewer requests would make a drill meaningless


def with_zones(drill, name, value):
    """Add zones with short failover times to a process's settings."""
    value["zones"] = {
        "zones": {zone: {"region": region, "capacity": 200.0} for zone, region in REGIONS.items()},
        "edges": 4,
        **FAST,
    }


def play(story, extend=with_zones, programs=None):
    """Run a drill; fails unless the seven rules hold and every request is answered.

    `programs` gives the command line of processes by name, where it is not the program's usual one.
    """
    common = Common(
        seats=REPLICAS, zones={name: (zone, REGIONS[zone]) for name, zone in ZONE_OF.items()}, more=extend
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
    drill = Told(script, (), story=story, extend=common.extend, programs=programs or {})
    drill.node_zones = {shard: ZONES[shard % 3] for shard in range(6)}
    report = rehearse(drill)
    print(report.evidence())  # pytest shows this where a test fails, and shortens a long assertion
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    assert report.found.figures["answered"] == report.found.figures["requests"] > MIN_REQUESTS


async def zones_status(drill, name):
    """Return the zones part of a process's admin status; empty if it does not answer."""
    return ((await drill.ask(name)) or {}).get("zones") or {}


async def all_see(drill, zone, health, edges):
    """Whether each of these edges reports this health of a zone."""
    return all([(await zones_status(drill, edge)).get("words", {}).get(zone) == health for edge in edges])


async def all_follow(drill, expected, edges, zone="a1"):
    """Whether each of these edges follows a decision with this (state, share) of a zone, or None if none."""
    for edge in edges:
        entry = ((await zones_status(drill, edge)).get("decreed") or {}).get(zone)
        if (entry and (entry["state"], entry["part"])) != expected:
            return False
    return True


async def until_all_are_well(drill):
    """Wait for an agreed membership, a leader and reachable zones; return the edges' names."""
    edges, names = [dispatcher.name for dispatcher in drill.dispatchers], drill.names()
    everybody = dict.fromkeys(names, "alive")
    await drill.until("one view", lambda: drill.sees(everybody, by=names))
    await drill.until("a leader", drill.leader)
    for zone in REGIONS:
        await drill.until(f"all reach {zone}", lambda zone=zone: all_see(drill, zone, "good", edges))
    return edges


async def losses_of(drill, zone, edges):
    """Return a zone's count of losses in the decision that each edge follows."""
    return [(await zones_status(drill, edge))["decreed"][zone]["losses"] for edge in edges]


async def kill_nodes(drill, zone):
    """Kill a zone's nodes without updating the node list.  Return them for `start_nodes`."""
    lost = [(node.rack.shard, node.name) for node in drill.hall.in_zone(zone)]
    for _, name in lost:
        await drill.hall.kill(name)
    return lost


async def start_nodes(drill, lost):
    """Restart the nodes in the cold state, and publish the node list."""
    for shard, name in lost:
        await drill.hall.start(shard, name, cold=True)
    drill.hall.publish()
