"""Presence by processes: cuts, kills and stops between them; every watcher's history holds."""

import os
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from cressrock.lab import steps as st
from cressrock.lab.common import Common, Told
from cressrock.lab.day import Script
from cressrock.lab.drill import rehearse
from cressrock.lab.presence_check import check, check_names, converged
from cressrock.lab.presence_crowd import Crowd
from cressrock.presence.client import Presence

ROOT = Path(__file__).parents[2]
ENV = {**os.environ, "PYTHONPATH": str(ROOT)}
PRESENCE = {
    "grace_ms": 4000,
    "silent_ms": 1000,
    "gone_ms": 6000,
    "beat_ms": 250,
    "hold_back_ms": 500,
    "linger_ms": 5000,
    "sync_ms": 1000,
    "hold_ms": 4000,
    "tell_ms": 20,
}


def play(story, *, edges=4, seed=1, rate=10.0):
    def more(drill, name, value):
        if name.startswith("d"):
            value["presence"] = PRESENCE

    names = [*(f"p{i}" for i in range(3)), *(f"d{i}" for i in range(edges))]
    common = Common(seats=names[:3], zones={n: (f"z{n[1]}", "north") for n in names}, more=more)
    script = Script(
        seed=seed,
        dispatchers=edges,
        planners=3,
        nodes=3,
        rate=rate,
        real=True,
        way_ms=80.0,
        length_ms=1e9,
        troubles=(),
    )
    return rehearse(Told(script, (), story=story, extend=common.extend))


def admin(drill, name):
    lives = drill.processes.lives.get(name)
    if not lives or lives[-1].code is not None:
        return ""
    line = lives[-1].last.get("serving")
    return str(line[1]["admin"]) if line else ""


async def ready(drill):
    names = drill.names()
    await drill.until("one view", lambda: drill.sees(dict.fromkeys(names, "alive"), by=names))
    await drill.until("a leader", drill.leader)
    return names, [n for n in names if n.startswith("d")]


def volume(drill):
    return next(iter(drill.settings("d0", []).volumes))


def test_a_crowd_through_cuts_kills_and_stops_is_told_nothing_false():
    found = {}

    async def story(drill):
        names, edges = await ready(drill)
        rooms = [f"{volume(drill)}/a", volume(drill)]
        crowd = found["crowd"] = Crowd(edges, rooms, lambda n: admin(drill, n), drill.clock, seed=7)

        async def moved(count):
            wanted = len(crowd.acts) + count
            await drill.until(f"{count} acts", lambda: enough(wanted))

        async def enough(wanted):
            return len(crowd.acts) >= wanted

        async with anyio.create_task_group() as tasks:
            for edge in edges:
                for room in rooms:
                    tasks.start_soon(crowd.watch, edge, room)
            for number in range(8):
                tasks.start_soon(crowd.member, number)
            await moved(60)
            drill.relays.partition([{"d0", "p0"}, set(names) - {"d0", "p0"}])
            await anyio.sleep(3)
            drill.relays.heal()
            await moved(30)
            await drill._do(st.Kill("d1"))
            await moved(40)
            await drill._do(st.Restart("d1"))
            await moved(30)
            await drill._do(st.Stop("d2"))
            await anyio.sleep(2.5)
            await drill._do(st.Go("d2"))
            await moved(30)
            drill.relays.ring("d0", "d1", "d3")
            await moved(30)
            drill.relays.partition([{"d3"}, set(names) - {"d3"}])
            await anyio.sleep(7.5)  # past the stated time
            drill.relays.heal()
            await moved(20)
            crowd.moving = False

            async def settled():
                return len(crowd.open) == len(edges) * len(rooms) and crowd.settled()

            try:
                await drill.until("all watchers know who is there", settled, 30000)
            finally:
                found["wrong"] = check(crowd.acts, crowd.watched, grace_ms=PRESENCE["grace_ms"])
                found["wrong"] += converged(crowd.open.values(), crowd.there())
                found["wrong"] += check_names(crowd.claims)
                crowd.ended = True
                tasks.cancel_scope.cancel()

    report = play(story)
    crowd = found["crowd"]
    print(report.marks[-1], crowd.counts, len(crowd.acts), len(crowd.claims))
    assert not found["wrong"], (found["wrong"][:6], crowd.counts)
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    for what in ("joined near", "resumed", "claimed", "event unsure", "event leave", "event moved"):
        assert crowd.counts.get(what), (what, crowd.counts)


async def printed(stream, wanted):
    """Read until a text was printed; a pipe may cut a line anywhere."""
    text = b""
    with anyio.fail_after(60):
        while wanted not in text:
            text += await stream.receive()


@pytest.mark.skipif(
    "CRESSROCK_DRILLS" not in os.environ, reason="failed once in five plays, cause not known: docs/ROADMAP.md"
)
def test_a_session_survives_its_gateway_and_the_examples_run():
    seen = {}

    async def story(drill):
        _, edges = await ready(drill)
        room = f"{volume(drill)}/docs"
        at = {name: admin(drill, name) for name in edges}
        for script, *more in (
            ("join.py", room, at["d0"], at["d1"], "--near"),
            ("resume.py", room, at["d0"], at["d1"]),
            ("agreed.py", room, "editor", at["d2"]),
        ):
            command = [sys.executable, str(ROOT / "examples" / "presence" / script), *more]
            seen[script] = await anyio.run_process(command, check=False, stderr=subprocess.STDOUT, env=ENV)
        async with Presence.connect(at["d1"]) as first, Presence.connect(at["d0"]) as second:
            watch = [
                sys.executable,
                str(ROOT / "examples/presence/watch.py"),
                room,
                at["d2"],
                "--events",
                "1",
            ]
            async with await anyio.open_process(watch, stderr=subprocess.STDOUT, env=ENV) as watching:
                await printed(watching.stdout, b"0 there")
                joined = await first.join(room, meaning="near", data=b"x", locks=["urn:uuid:5"])
                assert joined.near["need"] == 3 and len(joined.near["have"]) >= 3
                await printed(watching.stdout, joined.member.encode())
            seen["watch.py"] = watching
            await joined.agreed("editor")
            await drill._do(st.Kill("d1"))
            watcher = await second.room(room)
            assert joined.member in watcher.members
            resumed = await second.resume(joined.token)
            assert resumed.member == joined.member
            events = await watcher.poll(2000)
            assert [e.event for e in events if e.member == joined.member] in (["moved"], []), events

            async def unheard():
                status = await drill.ask("d0", f"/v1/presence/rooms/{room}")
                return any(one["gateway"] == "d1" for one in status["not_heard"])

            await drill.until("d1 is not heard from", unheard)
            # Its client says no more: it goes by the grace, and what it had locked is told.
            events = []
            with anyio.fail_after(30):
                while not any(e.event == "lock-orphaned" for e in events):
                    events += await watcher.poll(1000)
            told = [(e.event, e.why) for e in events if e.event in ("leave", "lock-orphaned")]
            assert told == [("leave", "silent"), ("lock-orphaned", "silent")]
        await drill._do(st.Restart("d1"))
        status = await drill.ask("d2")
        seen["carriers"] = status["presence"]["carriers"]
        bad = await drill.ask("d0", "/v1/presence/join", {"room": "nowhere/x"})
        assert bad["error"] == "presence-bad-room" and bad["remedy"]

    report = play(story)
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    for script in ("join.py", "resume.py", "agreed.py", "watch.py"):
        assert seen[script].returncode == 0, (script, getattr(seen[script], "stdout", ""))
    assert b"greater: True" in seen["agreed.py"].stdout and b"refused" in seen["agreed.py"].stdout
    assert b"meaning near" in seen["join.py"].stdout
    assert any(len(gateways) >= 2 for gateways in seen["carriers"].values())
