"""Collectors by processes: killed, stopped, cut off and all gone, while a zone is lost and comes back.

Judged from the sockets and from what each process says at its admin port.  Edges report to collectors here
from the second edge on (`fleet.collect_from`); a fleet of few does not by itself.
"""

import pytest

from cressrock.lab import steps
from tests.failover import drill_support
from tests.failover.drill_support import (
    all_follow,
    kill_nodes,
    losses_of,
    start_nodes,
    until_all_are_well,
    with_zones,
    zones_status,
)


def play(story, collect_from=1):
    def extend(drill, name, value):
        with_zones(drill, name, value)
        value["fleet"]["collect_from"] = collect_from

    drill_support.play(story, extend)


async def evidence_status(drill, name):
    return (((await drill.ask(name)) or {}).get("fleet") or {}).get("evidence") or {}


async def all_report_to_collectors(drill, edges):
    """Whether each of these reports to a collector, which has all of it."""
    statuses = [await evidence_status(drill, edge) for edge in edges]
    return all(
        status.get("collecting") and status.get("answered") and status.get("to") for status in statuses
    )


async def until_all_report_to_collectors(drill, edges, what="all tell collectors"):
    await drill.until(what, lambda: all_report_to_collectors(drill, edges))


async def until_the_leader_has_summaries_alone(drill):
    leader = await drill.leader()

    async def by_summaries():
        # Nothing of it goes by gossip any more, and the leader evaluates summaries.
        status = await zones_status(drill, leader)
        return status.get("summed") and status.get("tellers") == 0

    await drill.until("sums alone", by_summaries)


async def kill(drill, collector, edges):
    await drill._do(steps.Kill(collector))


async def restart(drill, collector):
    await drill._do(steps.Restart(collector))


async def stop(drill, collector, edges):
    await drill._do(steps.Stop(collector))


async def resume(drill, collector):
    await drill._do(steps.Go(collector))


async def cut_off(drill, collector, edges):
    for edge in edges:
        await drill._do(steps.Cut(edge, collector))


async def heal(drill, collector):
    await drill._do(steps.Heal())


@pytest.mark.parametrize(
    ("trouble", "mend"),
    [
        pytest.param(kill, restart, id="killed"),
        pytest.param(stop, resume, id="stopped"),
        pytest.param(cut_off, heal, id="cut"),
    ],
)
def test_a_zone_is_evacuated_once_and_taken_back_while_its_collector_is(trouble, mend):
    seen = {}

    async def story(drill):
        edges = await until_all_are_well(drill)
        await until_all_report_to_collectors(drill, edges)
        await until_the_leader_has_summaries_alone(drill)
        collector = (await evidence_status(drill, "d0"))["to"]
        assert (await evidence_status(drill, "d1"))["to"] == collector, "one collector for a zone"
        await trouble(drill, collector, edges)
        lost = await kill_nodes(drill, "a1")
        await drill.until("given up", lambda: all_follow(drill, ("gone", 0.0), edges))
        for zone in ("a2", "b1"):
            seen[zone] = await all_follow(drill, None, edges, zone)
        await mend(drill, collector)
        await start_nodes(drill, lost)
        await drill.until("taken back", lambda: all_follow(drill, ("near", 1.0), edges))
        await until_all_report_to_collectors(drill, edges, "all tell collectors again")
        seen["losses"] = await losses_of(drill, "a1", edges)
        await drill.answered(60)

    play(story)
    assert seen == {"a2": True, "b1": True, "losses": [1, 1, 1, 1]}


def test_without_any_collector_each_goes_on_alone_and_evidence_comes_back_with_them():
    async def story(drill):
        edges = await until_all_are_well(drill)
        await until_all_report_to_collectors(drill, edges)
        planners = [planner.name for planner in drill.planners]
        for name in planners:
            await drill._do(steps.Kill(name))

        async def each_by_gossip():
            statuses = [await evidence_status(drill, edge) for edge in edges]
            return all(
                not status.get("collecting") and "no collector" in status.get("why", "")
                for status in statuses
            )

        await drill.answered(60)
        await drill.until("each by the spread", each_by_gossip)
        for name in planners:
            await drill._do(steps.Restart(name))
        await until_all_report_to_collectors(drill, edges, "all tell collectors again")
        # It is decided again: a zone is lost now.
        await drill.until("a leader", drill.leader)
        lost = await kill_nodes(drill, "a1")
        await drill.until("given up", lambda: all_follow(drill, ("gone", 0.0), edges))
        await start_nodes(drill, lost)
        await drill.until("taken back", lambda: all_follow(drill, ("near", 1.0), edges))

    play(story)


def test_a_few_processes_report_by_gossip_without_anybody_setting_anything():
    async def story(drill):
        edges = await until_all_are_well(drill)
        for name in edges:
            status = await evidence_status(drill, name)
            assert not status["collecting"] and status["why"] == "few tellers" and not status["refused"]
        leader = await drill.leader()

        async def all_are_received():
            return (await zones_status(drill, leader)).get("tellers") == 4

        await drill.until("all are heard by the spread", all_are_received)
        assert not (await zones_status(drill, leader))["summed"]
        await drill.answered(200)

    play(story, collect_from=0)
