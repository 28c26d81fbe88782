"""Collectors by processes: killed, stopped, cut off and all gone, while a zone is lost and comes back.

Judged from the sockets and from what each process says at its admin port.  Edges tell collectors here from
the second edge on (`fleet.collect_from`); a fleet of few does not by itself.
"""

import pytest

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


def settings(collect_from):
    def more(drill, name, value):
        value["fleet"]["collect_from"] = collect_from
        value["zones"] = {
            "zones": {zone: {"region": region, "capacity": 200.0} for zone, region in REGIONS.items()},
            "edges": 4,
            **FAST,
        }

    return more


async def room(drill, name):
    return ((await drill.ask(name)) or {}).get("zones") or {}


async def evidence(drill, name):
    return (((await drill.ask(name)) or {}).get("fleet") or {}).get("evidence") or {}


async def told(drill, names):
    """Whether each of these tells a collector, which has all of it."""
    found = [await evidence(drill, n) for n in names]
    return all(e.get("collecting") and e.get("answered") and e.get("to") for e in found)


async def words(drill, zone, wanted, names):
    return all([(await room(drill, n)).get("words", {}).get(zone) == wanted for n in names])


async def decreed(drill, wanted, names, zone="a1"):
    for name in names:
        found = ((await room(drill, name)).get("decreed") or {}).get(zone)
        if (found and (found["state"], found["part"])) != wanted:
            return False
    return True


async def begin(drill):
    edges, names = [d.name for d in drill.dispatchers], drill.names()
    everybody = dict.fromkeys(names, "alive")
    await drill.until("one view", lambda: drill.sees(everybody, by=names))
    await drill.until("a leader", drill.leader)
    for zone in REGIONS:
        await drill.until(f"all reach {zone}", lambda zone=zone: words(drill, zone, "good", edges))
    return edges


def play(story, collect_from=1):
    common = Common(
        seats=["p0", "p1", "p2"],
        zones={n: (z, REGIONS[z]) for n, z in PLACES.items()},
        more=settings(collect_from),
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
    assert report.found.figures["answered"] == report.found.figures["requests"] > 200


async def lose(drill):
    lost = [(n.rack.shard, n.name) for n in drill.hall.in_zone("a1")]
    for _, name in lost:
        await drill.hall.kill(name)
    return lost


async def back(drill, lost):
    for shard, name in lost:
        await drill.hall.start(shard, name, cold=True)
    drill.hall.publish()


@pytest.mark.parametrize("trouble", ["killed", "stopped", "cut"])
def test_a_zone_is_given_up_once_and_taken_back_while_its_collector_is(trouble):
    seen = {}

    async def story(drill):
        edges = await begin(drill)
        await drill.until("all tell collectors", lambda: told(drill, edges))
        leader = await drill.leader()

        async def by_sums():
            # Nothing of it goes by the spread any more, and the leader judges by sums.
            found = await room(drill, leader)
            return found.get("summed") and found.get("tellers") == 0

        await drill.until("sums alone", by_sums)
        collector = (await evidence(drill, "d0"))["to"]
        assert (await evidence(drill, "d1"))["to"] == collector, "one collector for a zone"
        if trouble == "killed":
            await drill._do(st.Kill(collector))
        elif trouble == "stopped":
            await drill._do(st.Stop(collector))
        else:
            for edge in edges:
                await drill._do(st.Cut(edge, collector))
        lost = await lose(drill)
        await drill.until("given up", lambda: decreed(drill, ("gone", 0.0), edges))
        for zone in ("a2", "b1"):
            seen[zone] = await decreed(drill, None, edges, zone)
        if trouble == "killed":
            await drill._do(st.Restart(collector))
        elif trouble == "stopped":
            await drill._do(st.Go(collector))
        else:
            await drill._do(st.Heal())
        await back(drill, lost)
        await drill.until("taken back", lambda: decreed(drill, ("near", 1.0), edges))
        await drill.until("all tell collectors again", lambda: told(drill, edges))
        seen["losses"] = [(await room(drill, name))["decreed"]["a1"]["losses"] for name in edges]
        await drill.answered(60)

    play(story)
    assert seen == {"a2": True, "b1": True, "losses": [1, 1, 1, 1]}


def test_without_any_collector_each_goes_on_alone_and_evidence_comes_back_with_them():
    async def story(drill):
        edges = await begin(drill)
        await drill.until("all tell collectors", lambda: told(drill, edges))
        seats = [p.name for p in drill.planners]
        for name in seats:
            await drill._do(st.Kill(name))

        async def alone():
            found = [await evidence(drill, n) for n in edges]
            return all(not e.get("collecting") and "no collector" in e.get("why", "") for e in found)

        await drill.answered(60)
        await drill.until("each by the spread", alone)
        for name in seats:
            await drill._do(st.Restart(name))
        await drill.until("all tell collectors again", lambda: told(drill, edges))
        # It is decided again: a zone is lost now.
        await drill.until("a leader", drill.leader)
        lost = await lose(drill)
        await drill.until("given up", lambda: decreed(drill, ("gone", 0.0), edges))
        await back(drill, lost)
        await drill.until("taken back", lambda: decreed(drill, ("near", 1.0), edges))

    play(story)


def test_a_few_processes_tell_by_the_spread_without_anybody_setting_anything():
    async def story(drill):
        edges = await begin(drill)
        for name in edges:
            found = await evidence(drill, name)
            assert not found["collecting"] and found["why"] == "few tellers" and not found["refused"]
        leader = await drill.leader()

        async def heard():
            return (await room(drill, leader)).get("tellers") == 4

        await drill.until("all are heard by the spread", heard)
        assert not (await room(drill, leader))["summed"]
        await drill.answered(200)

    play(story, collect_from=0)
