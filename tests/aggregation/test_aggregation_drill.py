"""Real processes lose a zone while a collector is killed, stopped or cut off, or all collectors are gone.

Checks the answers to clients and the status at each process's admin port.  `fleet.collect_from` makes edges
report to collectors from the second edge on; a small fleet uses gossip by default.
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


def play(scenario, collect_from=1):
    def extend(drill, name, value):
        with_zones(drill, name, value)
        value["fleet"]["collect_from"] = collect_from

    drill_support.play(scenario, extend)


async def evidence_status(drill, name):
    return (((await drill.ask(name)) or {}).get("fleet") or {}).get("evidence") or {}


async def all_report_to_collectors(drill, edges):
    """Whether each of these edges reports to a collector that has acknowledged all its entries."""
    statuses = [await evidence_status(drill, edge) for edge in edges]
    return all(
        status.get("collecting") and status.get("answered") and status.get("to") for status in statuses
    )


async def until_all_report_to_collectors(drill, edges, what="all edges report to collectors"):
    await drill.until(what, lambda: all_report_to_collectors(drill, edges))


async def until_the_leader_uses_only_summaries(drill):
    seen = []  # each leader, with what it reported last

    async def leader_uses_only_summaries():
        # No sender reports by gossip any more, and the leader, which may change, evaluates summaries.
        leader = await drill.leader()
        status = await zones_status(drill, leader)
        if not seen or seen[-1][0] != leader:
            seen.append([leader, None, None])
        seen[-1][1:] = [status.get("summed"), status.get("tellers")]
        return status.get("summed") and status.get("tellers") == 0

    try:
        await drill.until("leader uses only summaries", leader_uses_only_summaries)
    finally:
        print("leaders, whether they used summaries, and senders by gossip:", seen)


async def until_edges_share_a_collector(drill, edges):
    """Wait until these edges use the same collector, and return it.

    One that did not get an answer in time uses the next one for a while (`aggregation/sender.py`).
    """
    collectors = []

    async def share_a_collector():
        collectors[:] = [(await evidence_status(drill, edge)).get("to") for edge in edges]
        return collectors[0] and len(set(collectors)) == 1

    await drill.until("edges of a zone share a collector", share_a_collector)
    return collectors[0]


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
    ("inject_fault", "repair"),
    [
        pytest.param(kill, restart, id="killed"),
        pytest.param(stop, resume, id="stopped"),
        pytest.param(cut_off, heal, id="cut"),
    ],
)
def test_a_zone_is_evacuated_once_and_taken_back_while_its_collector_is(inject_fault, repair):
    results = {}

    async def scenario(drill):
        edges = await until_all_are_well(drill)
        await until_all_report_to_collectors(drill, edges)
        await until_the_leader_uses_only_summaries(drill)
        collector = await until_edges_share_a_collector(drill, ("d0", "d1"))
        await inject_fault(drill, collector, edges)
        lost = await kill_nodes(drill, "a1")
        await drill.until("zone a1 is evacuated", lambda: all_follow(drill, ("gone", 0.0), edges))
        for zone in ("a2", "b1"):
            results[zone] = await all_follow(drill, None, edges, zone)
        await repair(drill, collector)
        await start_nodes(drill, lost)
        await drill.until("zone a1 is recovered", lambda: all_follow(drill, ("near", 1.0), edges))
        await until_all_report_to_collectors(drill, edges, "all edges report to collectors again")
        results["losses"] = await losses_of(drill, "a1", edges)
        await drill.answered(60)

    play(scenario)
    assert results == {"a2": True, "b1": True, "losses": [1, 1, 1, 1]}


def test_reports_use_gossip_without_collectors_and_return_to_restarted_ones():
    async def scenario(drill):
        edges = await until_all_are_well(drill)
        await until_all_report_to_collectors(drill, edges)
        planners = [planner.name for planner in drill.planners]
        for name in planners:
            await drill._do(steps.Kill(name))

        async def all_report_by_gossip():
            statuses = [await evidence_status(drill, edge) for edge in edges]
            return all(
                not status.get("collecting") and "no collector" in status.get("why", "")
                for status in statuses
            )

        await drill.answered(60)
        await drill.until("all edges report by gossip", all_report_by_gossip)
        for name in planners:
            await drill._do(steps.Restart(name))
        await until_all_report_to_collectors(drill, edges, "all edges report to collectors again")
        # Decisions are made again: a lost zone is evacuated.
        await drill.until("a leader is elected", drill.leader)
        lost = await kill_nodes(drill, "a1")
        await drill.until("zone a1 is evacuated", lambda: all_follow(drill, ("gone", 0.0), edges))
        await start_nodes(drill, lost)
        await drill.until("zone a1 is recovered", lambda: all_follow(drill, ("near", 1.0), edges))

    play(scenario)


def test_small_fleet_reports_by_gossip_by_default():
    async def scenario(drill):
        edges = await until_all_are_well(drill)
        for name in edges:
            status = await evidence_status(drill, name)
            assert not status["collecting"] and status["why"] == "few tellers" and not status["refused"]
        leader = await drill.until_leader()

        async def all_are_received():
            return (await zones_status(drill, leader)).get("tellers") == 4

        await drill.until("the leader receives all reports by gossip", all_are_received)
        assert not (await zones_status(drill, leader))["summed"]
        await drill.answered(200)

    play(scenario, collect_from=0)
