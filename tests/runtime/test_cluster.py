"""The cluster runtime by processes: members and decisions under cuts, and rules that need neither."""

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


def test_cut_and_killed_processes_are_told_apart_from_those_that_live_and_the_rules_hold():
    async def story(drill):
        names = drill.names()
        everybody = dict.fromkeys(names, "alive")
        await drill.until("one view", lambda: drill.sees(everybody, by=names))
        await drill.until("a leader", drill.leader)
        first = await drill.leader()
        # A cut in two: each side knows the other as gone in time, and neither its own.
        minority = {first, "d0"}
        drill.relays.partition([minority, set(names) - minority])
        rest = sorted(set(names) - minority)
        gone = dict.fromkeys(minority, "gone") | dict.fromkeys(rest, "alive")
        await drill.until("the cut is seen", lambda: drill.sees(gone, by=rest))
        await drill.until("another leader", lambda: other(drill, first))
        drill.relays.heal()
        await drill.until("healed", lambda: drill.sees(everybody, by=names))
        # A death, and a new life under the old name.
        victim = rest[-1]  # a planner: an edge's own death costs the answers it owes
        await drill._do(st.Kill(victim))
        left = [n for n in names if n != victim]
        await drill.until("a death is known", lambda: drill.sees({victim: "gone"}, by=left))
        await drill._do(st.Restart(victim))
        await drill.until("a new life is known", lambda: drill.sees(everybody, by=names))

    async def other(drill, first):
        found = await drill.leader()
        return found and found != first

    report = play(story)
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    assert report.found.figures["requests"] > 20
    assert report.found.figures["answered"] == report.found.figures["requests"]


def test_with_all_between_the_processes_cut_no_rule_breaks():
    async def story(drill):
        names = drill.names()
        everybody = dict.fromkeys(names, "alive")
        await drill.until("one view", lambda: drill.sees(everybody, by=names))
        for _ in range(3):
            drill.relays.partition([{name} for name in names])
            await drill.answered(30)
            drill.relays.heal()
            await drill.answered(10)

    report = play(story, rate=30.0)
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    assert report.found.figures["answered"] == report.found.figures["requests"] > 100
    assert report.found.figures["served"] > 0.5 * report.found.figures["requests"]


def test_the_platforms_process_loads_nothing_of_the_cluster():
    """Its brief forbids dispatchers to talk."""
    for package in CLUSTER_PACKAGES:
        assert find_spec(f"cressrock.{package}"), f"{package} was renamed: this test would look for nothing"
    code = (
        "import sys, cressrock.cli.start, cressrock.platform.program\n"
        f"packages = {CLUSTER_PACKAGES}\n"
        "loaded = [m for m in sys.modules if m.startswith(tuple(f'cressrock.{p}' for p in packages))]\n"
        "print(loaded, 'msgspec' in sys.modules, 'sqlite3' in sys.modules)"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[] False False"


def test_in_simulated_time_one_seed_gives_one_bad_day_of_a_cluster_and_the_rules_hold():
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
