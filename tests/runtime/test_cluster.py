"""The cluster runtime under network partitions; the rules hold without membership and consensus."""

import subprocess
import sys
from importlib.util import find_spec

from cressrock.lab import steps as st
from cressrock.lab.common import Common, Told
from cressrock.lab.day import Day, Script, simulate
from cressrock.lab.drill import rehearse
from cressrock.lab.judge import judge

CLUSTER_PACKAGES = (
    "aggregation", "consensus", "errors", "failover", "gossip", "membership", "presence", "programs",
    "replication", "rollout", "runtime",
)  # fmt: skip


def play(story, *, edges=2, planners=3, seats=True, seed=1, rate=20.0, **more):
    common = Common(seats=[f"p{i}" for i in range(planners)] if seats else (), **more)
    script = Script(
        seed=seed,
        dispatchers=edges,
        planners=planners,
        nodes=3,
        rate=rate,
        real=True,
        way_ms=60.0,
        length_ms=1e9,
        troubles=(),
    )
    drill = Told(script, (), story=story, extend=common.extend)
    return rehearse(drill)


def test_membership_detects_partitioned_and_killed_processes_and_the_rules_hold():
    async def story(drill):
        names = drill.names()
        everybody = dict.fromkeys(names, "alive")
        await drill.until("all members alive", lambda: drill.sees(everybody, by=names))
        await drill.until("a leader", drill.leader)
        first = await drill.leader()
        # In a partition the majority sees the minority as gone and its own side as alive.
        minority = {first, "d0"}
        drill.relays.partition([minority, set(names) - minority])
        rest = sorted(set(names) - minority)
        gone = dict.fromkeys(minority, "gone") | dict.fromkeys(rest, "alive")
        await drill.until("partition detected", lambda: drill.sees(gone, by=rest))
        await drill.until("new leader", lambda: other_leader(drill, first))
        drill.relays.heal()
        await drill.until("partition healed", lambda: drill.sees(everybody, by=names))
        # A process is killed and restarted under the same name.
        victim = rest[-1]  # a planner: killing an edge would lose the responses to its open requests
        await drill._do(st.Kill(victim))
        left = [n for n in names if n != victim]
        await drill.until("kill detected", lambda: drill.sees({victim: "gone"}, by=left))
        await drill._do(st.Restart(victim))
        await drill.until("restart detected", lambda: drill.sees(everybody, by=names))

    async def other_leader(drill, first):
        leader = await drill.leader()
        return leader and leader != first

    report = play(story)
    print(report.evidence())  # pytest shows this where a test fails, and shortens a long assertion
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    assert report.found.figures["requests"] > 20
    assert report.found.figures["answered"] == report.found.figures["requests"]


def test_rules_hold_when_every_process_is_isolated():
    async def story(drill):
        names = drill.names()
        everybody = dict.fromkeys(names, "alive")
        await drill.until("all members alive", lambda: drill.sees(everybody, by=names))
        for _ in range(3):
            drill.relays.partition([{name} for name in names])
            await drill.answered(30)
            drill.relays.heal()
            await drill.answered(10)

    report = play(story, rate=30.0)
    print(report.evidence())  # pytest shows this where a test fails, and shortens a long assertion
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    assert report.found.figures["answered"] == report.found.figures["requests"] > 100
    assert report.found.figures["served"] > 0.5 * report.found.figures["requests"]


def test_platform_process_loads_no_cluster_package():
    """The platform's specification forbids communication between dispatchers."""
    for package in CLUSTER_PACKAGES:
        assert find_spec(f"cressrock.{package}"), f"{package} does not exist: the check below would be void"
    code = (
        "import sys, cressrock.cli.start, cressrock.platform.program\n"
        f"packages = {CLUSTER_PACKAGES}\n"
        "loaded = [m for m in sys.modules if m.startswith(tuple(f'cressrock.{p}' for p in packages))]\n"
        "print(loaded, 'msgspec' in sys.modules, 'sqlite3' in sys.modules)"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[] False False"


def test_simulated_fault_scenario_of_a_cluster_is_reproducible_and_the_rules_hold():
    def day():
        script = Script(seed=3, dispatchers=4, planners=3, length_ms=12000, ground=True, rate=20.0)
        day = Day(script)
        result = simulate(day.play, script.seed)
        return day, result

    one, result = day()
    found = judge(result.trace)
    assert not found.breaches and not result.fences, found.breaches[:3]
    assert one.planner_kills >= 1
    for planner in one.planners:
        assert len(planner.program.runtime.membership.membership.view(0.0)) == 7
    assert sum(p.program.runtime.is_leader for p in one.planners) <= 1
    _, again = day()
    assert [str(row) for row in again.trace] == [str(row) for row in result.trace]
