"""Presence on real processes with partitions, kills and pauses; every watcher's history is checked."""

import os
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from cressrock.lab.common import Common, Told
from cressrock.lab.day import Script
from cressrock.lab.drill import rehearse
from cressrock.lab.presence_check import check, check_names, converged
from cressrock.lab.presence_crowd import Crowd
from cressrock.lab.steps import Go, Kill, Restart, Stop
from cressrock.presence import Presence

ROOT = Path(__file__).parents[2]
ENV = {**os.environ, "PYTHONPATH": str(ROOT)}
PRESENCE_SETTINGS = {
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


CLIENT_COUNT = 8
CONVERGENCE_TIMEOUT_MS = 30_000
PARTITION_S = 7.5  # longer than `gone_ms`


def run_drill(scenario, *, gateways=4, seed=1, rate=10.0):
    """Run a scenario with gateways `d0`, `d1`, ... and three planners that host the consensus replicas."""

    def add_presence_settings(drill, name, settings):
        if name.startswith("d"):
            settings["presence"] = PRESENCE_SETTINGS

    planners = [f"p{number}" for number in range(3)]
    names = [*planners, *(f"d{number}" for number in range(gateways))]
    zones = {name: (f"z{name[1]}", "north") for name in names}
    common = Common(seats=planners, zones=zones, more=add_presence_settings)
    script = Script(
        seed=seed,
        dispatchers=gateways,
        planners=3,
        nodes=3,
        rate=rate,
        real=True,
        way_ms=80.0,
        length_ms=1e9,
        troubles=(),
    )
    return rehearse(Told(script, (), story=scenario, extend=common.extend))


def admin_address(drill, name):
    """Return the address of a gateway's admin port, or "" while it is not running."""
    lives = drill.processes.lives.get(name)
    if not lives or lives[-1].code is not None:
        return ""
    line = lives[-1].last.get("serving")
    return str(line[1]["admin"]) if line else ""


async def wait_for_complete_fleet(drill):
    """Wait until the fleet is complete and has a leader; return all names, and those of the gateways."""
    names = drill.names()
    await drill.until("one view", lambda: drill.sees(dict.fromkeys(names, "alive"), by=names))
    await drill.until("a leader", drill.leader)
    return names, [name for name in names if name.startswith("d")]


def first_volume(drill):
    return next(iter(drill.settings("d0", []).volumes))


class CrowdScenario:
    """Many clients join, move and leave while gateways are partitioned, killed and paused."""

    def __init__(self):
        self.crowd = None
        self.findings = None

    async def __call__(self, drill):
        names, gateways = await wait_for_complete_fleet(drill)
        rooms = [f"{first_volume(drill)}/a", first_volume(drill)]
        self.crowd = Crowd(gateways, rooms, lambda name: admin_address(drill, name), drill.clock, seed=7)
        async with anyio.create_task_group() as tasks:
            for gateway in gateways:
                for room in rooms:
                    tasks.start_soon(self.crowd.watch, gateway, room)
            for number in range(CLIENT_COUNT):
                tasks.start_soon(self.crowd.member, number)
            await self.inject_faults(drill, names)
            self.crowd.moving = False
            try:
                await self.wait_for_convergence(drill, len(gateways) * len(rooms))
            finally:
                self.findings = self.check()
                self.crowd.ended = True
                tasks.cancel_scope.cancel()

    async def inject_faults(self, drill, names):
        await self.wait_for_actions(drill, 60)
        drill.relays.partition([{"d0", "p0"}, set(names) - {"d0", "p0"}])
        await anyio.sleep(3)
        drill.relays.heal()
        await self.wait_for_actions(drill, 30)
        await drill._do(Kill("d1"))
        await self.wait_for_actions(drill, 40)
        await drill._do(Restart("d1"))
        await self.wait_for_actions(drill, 30)
        await drill._do(Stop("d2"))
        await anyio.sleep(2.5)
        await drill._do(Go("d2"))
        await self.wait_for_actions(drill, 30)
        drill.relays.ring("d0", "d1", "d3")
        await self.wait_for_actions(drill, 30)
        drill.relays.partition([{"d3"}, set(names) - {"d3"}])
        await anyio.sleep(PARTITION_S)
        drill.relays.heal()
        await self.wait_for_actions(drill, 20)

    async def wait_for_actions(self, drill, count):
        """Wait until the clients have completed `count` more actions."""
        goal = len(self.crowd.acts) + count

        async def is_reached():
            return len(self.crowd.acts) >= goal

        await drill.until(f"{count} acts", is_reached)

    async def wait_for_convergence(self, drill, watchers):
        async def has_converged():
            return len(self.crowd.open) == watchers and self.crowd.settled()

        await drill.until("all watchers know who is there", has_converged, CONVERGENCE_TIMEOUT_MS)

    def check(self):
        crowd = self.crowd
        findings = check(crowd.acts, crowd.watched, grace_ms=PRESENCE_SETTINGS["grace_ms"])
        findings += converged(crowd.open.values(), crowd.there())
        return findings + check_names(crowd.claims)


def test_a_crowd_through_cuts_kills_and_stops_is_told_nothing_false():
    scenario = CrowdScenario()
    report = run_drill(scenario)
    crowd = scenario.crowd
    print(report.marks[-1], crowd.counts, len(crowd.acts), len(crowd.claims))
    assert not scenario.findings, (scenario.findings[:6], crowd.counts)
    print(report.evidence())  # pytest shows this where a test fails, and shortens a long assertion
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    for act in ("joined near", "resumed", "claimed", "event unsure", "event leave", "event moved"):
        assert crowd.counts.get(act), (act, crowd.counts)


async def read_until(stream, wanted):
    """Read until a text has been printed; a read may end in the middle of a line."""
    text = b""
    with anyio.fail_after(60):
        while wanted not in text:
            text += await stream.receive()


def example(script, *arguments):
    return [sys.executable, str(ROOT / "examples" / "presence" / script), *arguments]


class SessionScenario:
    """The examples run; a session survives its gateway, and expires without contact from its client."""

    def __init__(self):
        self.examples = {}
        self.carriers = None

    async def __call__(self, drill):
        _, gateways = await wait_for_complete_fleet(drill)
        room = f"{first_volume(drill)}/docs"
        admin = {name: admin_address(drill, name) for name in gateways}
        await self.run_examples(room, admin)
        async with Presence.connect(admin["d1"]) as first, Presence.connect(admin["d0"]) as second:
            joined = await self.join_watched_room(first, room, admin["d2"])
            await joined.agreed("editor")
            await drill._do(Kill("d1"))
            watcher = await self.resume_elsewhere(second, joined)
            await self.expire_session(drill, watcher)
        await drill._do(Restart("d1"))
        status = await drill.ask("d2")
        self.carriers = status["presence"]["carriers"]
        refused = await drill.ask("d0", "/v1/presence/join", {"room": "nowhere/x"})
        assert refused["error"] == "presence-bad-room" and refused["remedy"]

    async def run_examples(self, room, admin):
        for script, *arguments in (
            ("join.py", room, admin["d0"], admin["d1"], "--near"),
            ("resume.py", room, admin["d0"], admin["d1"]),
            ("agreed.py", room, "editor", admin["d2"]),
        ):
            self.examples[script] = await anyio.run_process(
                example(script, *arguments), check=False, stderr=subprocess.STDOUT, env=ENV
            )

    async def join_watched_room(self, presence, room, address):
        """Join a room that the watch example follows, and wait until it has printed the new member."""
        command = example("watch.py", room, address, "--events", "1")
        async with await anyio.open_process(command, stderr=subprocess.STDOUT, env=ENV) as watching:
            await read_until(watching.stdout, b"0 there")
            joined = await presence.join(room, meaning="near", data=b"x", locks=["urn:uuid:5"])
            assert joined.near["need"] == 3 and len(joined.near["have"]) >= 3
            await read_until(watching.stdout, joined.member.encode())
        self.examples["watch.py"] = watching
        return joined

    async def resume_elsewhere(self, presence, joined):
        watcher = await presence.room(joined.path)
        assert joined.member in watcher.members
        resumed = await presence.resume(joined.token)
        assert resumed.member == joined.member
        events = await watcher.poll(2000)
        assert [e.event for e in events if e.member == joined.member] in (["moved"], []), events
        return watcher

    async def expire_session(self, drill, watcher):
        """Stop the client's contact: its session expires by `grace_ms`, and its lock is orphaned."""

        async def is_unreported():
            answer = await drill.ask("d0", f"/v1/presence/rooms/{watcher.path}")
            return any(one["gateway"] == "d1" for one in answer["not_heard"])

        await drill.until("d1 is not heard from", is_unreported)
        events = []
        with anyio.fail_after(30):
            while not any(event.event == "lock-orphaned" for event in events):
                events += await watcher.poll(1000)
        last = [(event.event, event.why) for event in events if event.event in ("leave", "lock-orphaned")]
        assert last == [("leave", "silent"), ("lock-orphaned", "silent")]


@pytest.mark.skipif(
    "CRESSROCK_DRILLS" not in os.environ, reason="failed once in five plays, cause not known: docs/ROADMAP.md"
)
def test_a_session_survives_its_gateway_and_the_examples_run():
    scenario = SessionScenario()
    report = run_drill(scenario)
    print(report.evidence())  # pytest shows this where a test fails, and shortens a long assertion
    assert report.well, (report.findings, report.found.breaches[:3], report.marks)
    examples = scenario.examples
    for script in ("join.py", "resume.py", "agreed.py", "watch.py"):
        assert examples[script].returncode == 0, (script, getattr(examples[script], "stdout", ""))
    assert b"greater: True" in examples["agreed.py"].stdout and b"refused" in examples["agreed.py"].stdout
    assert b"meaning near" in examples["join.py"].stdout
    assert any(len(gateways) >= 2 for gateways in scenario.carriers.values())
