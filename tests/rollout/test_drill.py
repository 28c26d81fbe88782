"""Rollouts of good and bad candidates with real processes: three planners with seats and three edges."""

import json
import sys

import anyio
import msgspec
import pytest

from cressrock.errors.lab import ProcessNotReadyError, StepNotReachedError
from cressrock.lab import fragile, steps
from cressrock.lab.common import Common, Told
from cressrock.lab.day import Script
from cressrock.lab.drill import rehearse
from cressrock.lab.site import Traffic, usual

EDGES, PLANNERS = ("d0", "d1", "d2"), ("p0", "p1", "p2")
ALL = [*PLANNERS, *EDGES]
STAGES = [
    {"part": 0.6, "beside": 0.5, "least_ms": 400, "least": 8},
    {"zones": ["a"], "beside": 0.5, "least_ms": 400, "least": 8},
    {"beside": 0.2, "least_ms": 400, "least": 8},
]
LEASE_MS = 4000.0


def enable_rollouts(drill, name, value):
    """Enable rollouts, and add a class for the smallest PUTs, which no request matches at first."""
    saves = next(c for c in value["classes"] if "PUT" in c["methods"])
    value["classes"].insert(0, saves | {"name": "minuta", "methods": ["PUT"], "max_bytes": 1})
    value["rollout"] = {
        "keep_file": str(drill.kept / f"{name}.rollout"),
        "look_ms": 100,
        "tell_ms": 100,
        "starts": 3,
    }


def play(story, *, rate=40.0, programs=None, seed=1, edges_die=False, site=None, collect_from=0):
    zones = {n: ("a" if n in ("d0", "d1", "p0") else "b", "r") for n in ALL}

    def with_collectors(drill, name, value):
        enable_rollouts(drill, name, value)
        value["fleet"]["collect_from"] = collect_from

    common = Common(seats=PLANNERS, zones=zones, hold_ms=LEASE_MS, more=with_collectors)
    script = Script(
        seed=seed,
        dispatchers=3,
        planners=3,
        nodes=3,
        rate=rate,
        real=True,
        way_ms=60.0,
        length_ms=1e9,
        troubles=(),
        site=site or usual(),
    )
    report = rehearse(Told(script, (), story=story, extend=common.extend, programs=programs or {}))
    print("seed", seed, [(round(at), what) for at, what in report.marks])
    print(report.evidence())  # pytest shows this where a test fails, and shortens a long assertion
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    # Only clients of a killed edge may get no answer.
    assert edges_die or report.found.figures["answered"] == report.found.figures["requests"] > 50
    return report


def document(drill, changes, stages=STAGES, **levels):
    """Return the settings' rules with some classes' values changed, as an operator would write them."""
    value = json.loads((drill.kept / "d0.jsonnet").read_text())
    classes = [
        {k: c[k] for k in ("name", "methods", "max_bytes", "aim_ms", "deadline_ms") if k in c}
        | changes.get(c["name"], {})
        for c in value["classes"]
    ]
    plans = {n: {"weight": p["weight"], "reserve": p["reserve"]} for n, p in value["plans"].items()}
    return {
        "rules": {"classes": classes, "plans": plans},
        "course": {"stages": stages, "levels": {"error": 0.05} | levels},
    }


INVALID_COMMANDS = (
    ({"action": "start", "document": {"version": 9}}, "rollout-newer"),
    ({"action": "start", "document": {"rules": {}}}, "rollout-rules-wrong"),
    ({"action": "withdraw", "digest": "0" * 24}, "rollout-absent"),
    ({"action": "dance"}, "rollout-rules-wrong"),
)


async def wait_for_leader(drill):
    all_alive = dict.fromkeys(ALL, "alive")
    await drill.until("all processes alive", lambda: drill.sees(all_alive, by=ALL))
    await drill.until("a leader", drill.leader)


async def ask(drill, name, body=None):
    return await drill.ask(name, "/v1/rollout", body) or {}


async def start(drill, value, name="d2"):
    """Start a rollout; ask again while the process has no time for an answer, as an operator would."""
    status, is_unanswered = {}, False

    async def answered():
        nonlocal status, is_unanswered
        status = await ask(drill, name, {"action": "start", "document": value})
        if is_unanswered and status.get("error"):
            status = await ask(drill, name)  # an earlier call may have started it
        is_unanswered = is_unanswered or not status
        return bool(status)

    await drill.until("an answer to the start", answered)
    assert status.get("state") == "running", status
    return status["digest"]


async def all_report(drill, names=ALL, **wanted):
    for name in names:
        status = await ask(drill, name)
        if any(status.get(k) != v for k, v in wanted.items()):
            return False
    return True


async def until_all_report(drill, what, **wanted):
    """Wait until all processes report this; print what they report instead if that does not come."""
    try:
        await drill.until(what, lambda: all_report(drill, **wanted))
    except StepNotReachedError:
        for name in ALL:
            print(name, await ask(drill, name))
        raise


async def candidate_requests(drill):
    """Return how many requests each edge has assigned to the candidate."""
    return {name: (await ask(drill, name))["chosen"] for name in EDGES}


async def wait_until_unloaded(drill, digest):
    """Wait until no process has the candidate loaded, and check that none uses it and it cannot restart."""
    await drill.until("halted is known", lambda: all_report(drill, state="halted", held=[]))
    before = await candidate_requests(drill)
    await drill.answered(60)
    assert await candidate_requests(drill) == before
    again = await ask(drill, "d1", {"action": "start", "document": drill.bad})
    assert again.get("error") == "rollout-spent", again


@pytest.mark.parametrize("collect_from", [0, 1], ids=["by gossip", "by collectors, one killed"])
def test_a_candidate_that_rejects_a_tenth_of_a_class_is_halted_and_unloaded_everywhere(collect_from):
    async def evidence(name):
        return ((await started_drills[0].ask(name)) or {}).get("fleet", {}).get("evidence", {})

    async def all_report_to_collectors():
        channels = [await evidence(name) for name in EDGES]
        return all(one.get("collecting") and one.get("answered") for one in channels)

    started_drills = []

    async def story(drill):
        started_drills.append(drill)
        await wait_for_leader(drill)
        if collect_from:
            await drill.until("all report to collectors", all_report_to_collectors)
        # A tenth of the PUTs would get a deadline of 1 ms and be rejected.
        drill.bad = document(
            drill,
            {"minuta": {"max_bytes": 190, "aim_ms": 1, "deadline_ms": 1}},
            [{"beside": 0.5, "least_ms": 60000, "least": 10**6}],
            accusers=1,
        )
        digest = await start(drill, drill.bad)

        async def held():
            return await all_report(drill, held=[digest])

        await drill.until("loaded everywhere", held)
        if collect_from:
            await drill.answered(20)
            collector = (await evidence("d0"))["to"]
            await drill._do(steps.Kill(collector))
            await drill.answered(20)
            await drill._do(steps.Restart(collector))

        async def halted():
            return (await ask(drill, "p1")).get("state") == "halted"

        await drill.until("halted", halted, 150000)
        if collect_from:
            # The counts come from collectors' sums: edges that report to collectors do not gossip them.
            assert (await ask(drill, "p1"))["processes"] == 3
        assert "class scrittura: refused" in (await ask(drill, "p1"))["why"]
        await wait_until_unloaded(drill, digest)

    saves = Traffic(methods={"GET": 0.2, "PUT": 0.8}, put_least_bytes=100, put_most_bytes=1000)
    play(story, site=msgspec.structs.replace(usual(), traffic=saves), collect_from=collect_from)


def test_a_candidate_that_crashes_its_process_is_halted_by_local_rollbacks():
    broken = [sys.executable, "-m", "cressrock.lab.fragile"]

    async def story(drill):
        await wait_for_leader(drill)
        drill.bad = document(
            drill, {"lettura": {"aim_ms": fragile.DEADLY_MS}}, [{"least_ms": 60000, "least": 10**6}]
        )
        over = anyio.Event()

        async def supervise(dispatcher):
            """Restart a process each time it exits, as a service manager does."""
            last_alive_ms = 0.0
            while not over.is_set():
                life, now = drill.processes.lives[dispatcher.name][-1], drill.clock()
                if life.code is None:
                    last_alive_ms = now
                elif not life.asked:
                    assert life.code == 9
                    life.asked = True
                    drill.processes.watch()
                    dispatcher.killed += [last_alive_ms, now]  # it exited between these two times
                    drill.relays.gone(dispatcher.name)
                    dispatcher.client.drop()
                    try:
                        await drill._start(dispatcher)
                    except ProcessNotReadyError:
                        pass
                await anyio.sleep(0.01)

        async def halted():
            return (await ask(drill, "p1")).get("state") == "halted"

        async with anyio.create_task_group() as tasks:
            for dispatcher in drill.dispatchers[:2]:
                tasks.start_soon(supervise, dispatcher)
            digest = await start(drill, drill.bad)
            await drill.until("halted", halted, 150000)
            status = await ask(drill, "p1")
            assert "went back alone" in status["why"], status
            assert set(status["backs"]) == {"d0", "d1"}
            assert status["digest"] == digest
            await drill.until("known", lambda: all_report(drill, state="halted", held=[]))
            over.set()
        await wait_until_unloaded(drill, digest)
        assert [len(drill.processes.lives[n]) for n in EDGES] == [4, 4, 1]

    play(story, programs={"d0": broken, "d1": broken}, edges_die=True)


def test_a_harmless_rollout_completes_although_planners_are_killed_and_a_zone_is_lost():
    """Planners are killed, a zone is lost for a while, and a restarted edge loads the new version."""

    async def story(drill):
        await wait_for_leader(drill)
        good = document(drill, {"lettura": {"aim_ms": 310}, "stato": {"aim_ms": 490}})
        digest = await start(drill, good)
        seen = []
        for stage in range(len(STAGES)):

            async def in_stage(stage=stage):
                status = await ask(drill, "d2")
                if status.get("digest") == digest:
                    seen.append(status["stage"])
                return status.get("stage", -1) >= stage or status.get("state") == "done"

            await drill.until(f"stage {stage}", in_stage)
            victim = (await drill.leader() or "p0") if stage != 1 else PLANNERS[stage]
            await drill._do(steps.Kill(victim))
            await drill.answered(10)
            await drill._do(steps.Restart(victim))
            if stage == 1:
                # Also partition zone a, two edges and a planner, for longer than the stage would take.
                drill.relays.partition([{"d0", "d1", "p0"}, {"d2", "p1", "p2"}])
                await drill.answered(60)
                drill.relays.heal()
        await until_all_report(drill, "done", state="done", good=digest, held=[digest])
        assert seen == sorted(seen) and set(seen) == {0, 1, 2}, seen
        await drill.answered(30)
        # It is the good version now, also for a restarted process.
        await drill._do(steps.Kill("d0"))
        await drill._do(steps.Restart("d0"))
        await until_all_report(drill, "known after the restart", state="done", good=digest, held=[digest])

    play(story, edges_die=True)


@pytest.mark.parametrize("delay_s", [0.2, 1.5, 5.0])
def test_a_rollout_completes_beside_slow_disks_and_no_answer_is_late(delay_s):
    """Regression (issue 53): files were written in the event loop, and each answer waited for the disk."""
    slow = [sys.executable, "-m", "cressrock.lab.slow_disk", str(delay_s)]

    async def story(drill):
        await wait_for_leader(drill)
        digest = await start(drill, document(drill, {"lettura": {"aim_ms": 310}}))
        await drill.until("done", lambda: all_report(drill, state="done", good=digest, held=[digest]))
        await drill.answered(30)

    play(story, programs=dict.fromkeys(ALL, slow))


def test_a_partitioned_process_returns_to_the_good_version_when_the_lease_expires():
    async def story(drill):
        await wait_for_leader(drill)
        value = document(drill, {"lettura": {"aim_ms": 310}}, [{"least_ms": 600000, "least": 10**6}])
        digest = await start(drill, value)
        await drill.until("loaded everywhere", lambda: all_report(drill, held=[digest], counts=True))
        drill.relays.partition([{"d0"}, set(ALL) - {"d0"}])
        cut = drill.clock()

        async def over():
            return not (await ask(drill, "d0")).get("counts", True)

        for body, error in INVALID_COMMANDS:
            assert (await ask(drill, "d1", body)).get("error") == error
        await drill.until("lease expired at the partitioned edge", over)
        assert drill.clock() - cut > 0.5 * LEASE_MS
        before = (await candidate_requests(drill))["d0"]
        await drill.answered(60)
        assert (await candidate_requests(drill))["d0"] == before
        # Withdrawn during the partition: the process learns of it afterwards and never uses it again.
        status = await ask(drill, "p0", {"action": "withdraw", "digest": digest})
        assert status.get("state") == "withdrawn", status
        drill.relays.heal()
        await drill.until("known", lambda: all_report(drill, state="withdrawn", held=[]))
        await drill.answered(30)
        assert (await candidate_requests(drill))["d0"] == before

    play(story)
