"""The drill: relays and faults, processes and their ends, what the judge allows, and drills themselves."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import anyio
import pytest
from msgspec import structs

from cressrock import net
from cressrock.errors.lab import ProcessNotReadyError, StepNotReachedError, UnknownProcessError
from cressrock.lab import steps as st
from cressrock.lab.common import Told
from cressrock.lab.day import Script
from cressrock.lab.drill import Drill, Gauge, rehearse
from cressrock.lab.faults import CALM, CUT, Faults, Way, between
from cressrock.lab.judge import judge
from cressrock.lab.processes import Processes
from cressrock.lab.relays import Relays
from cressrock.lab.site import usual
from cressrock.lab.trace import Row, Trace

PYTHON = [sys.executable, "-c"]


def run(program):
    """Run an async test on loopback; its own bound only keeps a broken one from hanging."""

    async def bounded():
        with anyio.fail_after(60):
            return await program()

    return anyio.run(bounded, backend="asyncio", backend_options={"use_uvloop": True})


async def until(condition):
    while not condition():
        await anyio.sleep(0.002)


# --- faults, pure


def test_one_seed_gives_each_datagram_one_fate_whatever_else_is_wrong():
    def fates(seed, faults):
        way = Way("a>b", seed)
        way.change(faults)
        return [tuple(copy for _, copy in way.datagram(0, b"x%d" % n)) for n in range(200)]

    lossy = fates(1, Faults(lose=0.3))
    assert lossy == fates(1, Faults(lose=0.3)) != fates(2, Faults(lose=0.3))
    both = fates(1, Faults(lose=0.3, duplicate=0.5, corrupt=0.5, delay_ms=9, jitter_ms=9))
    assert [bool(f) for f in lossy] == [bool(f) for f in both]
    assert 40 < sum(not f for f in lossy) < 80
    assert any(len(f) == 2 for f in both)


def test_a_throttled_way_drips_and_loses_datagrams_that_would_wait_too_long():
    way = Way("a>b", 1)
    way.change(Faults(throttle=1000, queue_ms=500))
    assert [way.piece(0, 100) for _ in range(3)] == [100, 200, 300]
    assert way.most_piece() == 50
    assert [due for due, _ in way.datagram(0, bytes(100))] == [400]
    assert way.datagram(0, bytes(200)) == [] and way.counts["lost"] == 1
    way.change(CALM)
    assert way.again(50, 1e9) == 50 and way.datagram(50, b"x") == [(50, b"x")]


def test_a_changed_datagram_differs_in_one_byte_and_a_large_one_is_gone_without_a_word():
    way = Way("a>b", 3)
    way.change(Faults(corrupt=1.0, most_bytes=100))
    for number in range(100):
        data = bytes([number]) * 100
        ((_, got),) = way.datagram(0, data)
        assert len(got) == 100 and sum(a != b for a, b in zip(got, data, strict=True)) == 1
    assert way.datagram(0, bytes(101)) == [] and way.counts["too_large"] == 1


def test_directions_between_groups():
    assert between([{"a", "b"}, {"c"}]) == [("a", "c"), ("b", "c"), ("c", "a"), ("c", "b")]
    assert len(between([{"a"}, {"b"}, {"c"}])) == 6
    with pytest.raises(ValueError, match="two groups"):
        between([{"a"}, {"a", "b"}])


def test_a_script_is_drawn_from_its_seed_and_ends_every_trouble_it_begins():
    links = [("d0", "p0"), ("d1", "p1")]
    drawn = st.draw(7, ["p0", "p1"], links, 40)
    assert drawn == st.draw(7, ["p0", "p1"], links, 40) != st.draw(8, ["p0", "p1"], links, 40)
    kinds = [type(step.action) for step in drawn]
    assert kinds.count(st.Kill) == kinds.count(st.Restart) > 0
    assert kinds.count(st.Stop) == kinds.count(st.Go) > 0
    assert kinds[-1] is st.Until and {st.Cut, st.OneWay, st.Worsen, st.Reset, st.Heal} <= set(kinds)
    with pytest.raises(ValueError, match="no trouble"):
        st.draw(1, ["p0"], links, 1, troubles=["flood"])


# --- relays over loopback


class Ends:
    """A relay between `a` and `b`: b echoes over TCP, and each has a UDP socket."""

    async def __aenter__(self):
        self.group = anyio.create_task_group()
        tasks = await self.group.__aenter__()
        self.relays = Relays(tasks, 1, net.clock())
        self.heard, self.echo = b"", True
        address, _ = await net.listen("127.0.0.1:0", self._serve, tasks)
        self.relays.target("b", "x", address)
        self.address = self.relays.address("a", "b", "x")
        self.host, port = self.address.split(":")
        self.port = int(port)
        self.a = await anyio.create_udp_socket(local_host="127.0.0.1")
        self.b = await anyio.create_udp_socket(local_host="127.0.0.1")
        return self

    async def __aexit__(self, *error):
        self.relays.close()
        await self.a.aclose()
        await self.b.aclose()
        self.group.cancel_scope.cancel()
        return await self.group.__aexit__(*error)

    async def _serve(self, stream):
        try:
            while True:
                data = await stream.receive()
                self.heard += data
                if self.echo:
                    await stream.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.aclose()

    async def connect(self):
        return await net.connect(self.host, self.port)

    def datagrams(self):
        """Let b be reached by datagrams too."""
        host, port = self.b.extra(anyio.abc.SocketAttribute.local_address)
        self.relays.target("b", "x", f"{host}:{port}")

    async def say(self, data):
        await self.a.sendto(data, self.host, self.port)

    async def hear(self):
        data, _ = await self.b.receive()
        return data


def test_bytes_and_datagrams_pass_on_one_port_and_answers_find_back():
    async def program():
        async with Ends() as ends:
            stream = await ends.connect()
            data = bytes(range(256)) * 3000
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream.send, data)
                got = b""
                while len(got) < len(data):
                    got += await stream.receive()
            assert got == data
            ends.datagrams()
            await ends.say(b"ask")
            asked, sender = await ends.b.receive()
            assert asked == b"ask" and f"{sender[0]}:{sender[1]}" == ends.relays.address("b", "a", "x")
            await ends.b.sendto(b"answer", *sender)
            assert await ends.a.receive() == (b"answer", (ends.host, ends.port))
            assert ends.relays.address("a", "b", "x") == ends.address
            assert ends.relays.address("a", "b", "y") != ends.address

    run(program)


def test_a_cut_holds_streams_back_whole_and_new_connections_hang_until_it_heals():
    async def program():
        async with Ends() as ends:
            stream = await ends.connect()
            await stream.send(b"one")
            assert await stream.receive() == b"one"
            ends.relays.cut("a", "b")
            await stream.send(b"two")
            (relay,) = (r for k, r in ends.relays.relays.items() if k[:2] == ("a", "b"))
            await until(lambda: relay.there.counts["bytes"] == 6)
            came = []
            async with anyio.create_task_group() as tasks:

                async def late():
                    came.append(await ends.connect())

                tasks.start_soon(late)
                await anyio.sleep(0.3)
                assert not came and ends.heard == b"one"
                ends.relays.heal()
                assert await stream.receive() == b"two"
            await came[0].send(b"three")
            assert await came[0].receive() == b"three" and ends.heard == b"onetwothree"

    run(program)


def test_a_one_way_cut_lets_the_other_direction_pass():
    async def program():
        async with Ends() as ends:
            stream = await ends.connect()
            await stream.send(b"one")
            await stream.receive()
            ends.relays.one_way("b", "a")
            await stream.send(b"two")
            await until(lambda: ends.heard == b"onetwo")  # there it arrived; the echo does not
            await until(lambda: ends.relays.way("b", "a").counts["bytes"] == 6)
            assert not stream._received
            ends.relays.heal()
            assert await stream.receive() == b"two"

    run(program)


def test_partitions_and_rings_cut_just_what_they_say():
    async def program():
        async with Ends() as ends:
            relays = ends.relays

            def cuts():
                return {pair for pair, way in relays.ways.items() if way.faults.cut}

            relays.set(("a", "b"), Faults(delay_ms=5))
            relays.partition([{"a", "b"}, {"c"}])
            assert cuts() == {("a", "c"), ("c", "a"), ("b", "c"), ("c", "b")}
            assert relays.way("a", "b").faults == Faults(delay_ms=5)
            relays.heal()
            relays.ring("a", "b", "c")
            assert cuts() == {("a", "c"), ("c", "a")}
            relays.set(("a", "c"), Faults(lose=0.5))
            relays.one_way("a", "c")
            assert relays.way("a", "c").faults == Faults(lose=0.5, cut=True)

    run(program)


def test_refused_connections_and_resets_and_a_dead_end():
    async def program():
        async with Ends() as ends:
            stream = await ends.connect()
            await stream.send(b"one")
            await stream.receive()
            ends.relays.set(("a", "b"), Faults(refuse=True))
            with pytest.raises(ConnectionRefusedError):
                await ends.connect()
            await stream.send(b"two")  # what stands goes on
            assert await stream.receive() == b"two"
            ends.relays.heal()
            again = await ends.connect()
            await again.send(b"three")
            assert await again.receive() == b"three"
            assert ends.relays.reset("a", "b") == 2
            for one in (stream, again):
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await one.receive()
            ends.relays.gone("b")
            nobody = await ends.connect()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await nobody.receive()

    run(program)


def test_a_delayed_and_a_throttled_stream_keep_order_and_every_byte():
    async def program():
        async with Ends() as ends:
            ends.echo = False
            ends.relays.set(("a", "b"), Faults(delay_ms=30, jitter_ms=20, lose=0.5, stall_ms=20))
            stream, clock = await ends.connect(), net.clock()
            began = clock()
            for number in range(50):
                await stream.send(b"%02d" % number)
            await until(lambda: len(ends.heard) == 100)
            assert clock() - began >= 29
            assert ends.heard == b"".join(b"%02d" % n for n in range(50))
            ends.relays.set(("a", "b"), Faults(throttle=20000))
            ends.heard, began = b"", clock()
            await stream.send(bytes(4000))
            await until(lambda: len(ends.heard) == 4000)
            assert clock() - began >= 195

    run(program)


def test_datagrams_are_lost_doubled_overtaken_and_dropped_by_size():
    async def program():
        async with Ends() as ends:
            ends.datagrams()
            relays, pair = ends.relays, ("a", "b")
            for faults in (Faults(lose=1.0), CUT, Faults(most_bytes=3), Faults(refuse=True)):
                relays.set(pair, faults)
                before = relays.way(*pair).counts["datagrams"]
                await ends.say(b"gone")
                await until(lambda b=before: relays.way(*pair).counts["datagrams"] == b + 1)
            relays.set(pair, Faults(duplicate=1.0))
            await ends.say(b"twice")
            assert [await ends.hear(), await ends.hear()] == [b"twice", b"twice"]
            relays.set(pair, Faults(reorder=1.0, reorder_ms=30))
            await ends.say(b"first")
            await until(lambda: relays.way(*pair).counts["overtaken"] == 1)
            relays.set(pair, CALM)
            await ends.say(b"second")
            assert [await ends.hear(), await ends.hear()] == [b"second", b"first"]
            relays.set(pair, Faults(corrupt=1.0))
            await ends.say(b"whole")
            assert await ends.hear() != b"whole"

    run(program)


# --- processes

READY = """import json, os, sys, time
def say(event):
    print(json.dumps({'event': event}), file=sys.stderr, flush=True)
"""


def gone(pid):
    """Whether a process has ended; one of ours that nobody waited for stands as a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] == "Z"
    except FileNotFoundError:
        return True


def test_lives_are_watched_harmed_and_none_is_left_after_an_exception(tmp_path):
    async def program():
        clock = net.clock()
        with pytest.raises(KeyboardInterrupt), Processes(str(tmp_path), clock) as processes:
            await processes.start("a", [*PYTHON, READY + "say('up'); time.sleep(600)"], "up")
            with pytest.raises(UnknownProcessError, match="runs already"):
                await processes.start("a", [*PYTHON, ""], "up")
            await anyio.sleep(0.02)
            processes.stop("a")
            await anyio.sleep(0.02)
            processes.go("a")
            ((began, ended),) = processes.stops["a"]
            assert began < ended < float("inf")
            processes.kill("a")
            with pytest.raises(UnknownProcessError, match="does not run"):
                processes.stop("a")
            second = await processes.start("a", [*PYTHON, READY + "say('up'); sys.exit(7)"], "up")
            await until(lambda: second.code is not None)
            with pytest.raises(ProcessNotReadyError, match="(?s)ended with 1.*no such thing"):
                await processes.start("b", [*PYTHON, "raise SystemExit('no such thing')"], "up")
            third = await processes.start("c", [*PYTHON, READY + "say('up'); time.sleep(600)"], "up")
            (found,) = processes.findings()
            assert "a (life 2) ended by itself with 7" in found
            assert [life.code for life in processes.lives["a"]] == [-signal.SIGKILL, 7]
            assert json.loads((tmp_path / "a.1.log").read_text()) == {"event": "up"}
            absent = processes.absent(["a"], clock())
            # What is killed as soon as it goes on was away in one piece.
            assert absent[0][0] == 0 and any(lo <= began and ended <= hi for lo, hi in absent)
            processes.stop("c")  # a process that stands still is ended as well
            raise KeyboardInterrupt
        assert third.code == -signal.SIGKILL and not processes.living()

    run(program)


def test_slow_turns_that_a_process_logs_are_reported_with_their_time(tmp_path):
    """Regression: they were stamped with the event loop's clock in a thread, which ended at the first one."""
    code = READY + "say('event_loop.slow_turn')\nsay('state_file.slow_write')\nsay('up')"

    async def program():
        with Processes(str(tmp_path), lambda: anyio.current_time() * 1000) as processes:
            life = await processes.start("a", [*PYTHON, code], "up")
            slow_turn, slow_write = processes.delays()
            assert life.counts["up"] == 1
            assert slow_turn.endswith('ms, a: {"event": "event_loop.slow_turn"}')
            assert slow_write.endswith('ms, a: {"event": "state_file.slow_write"}')
            assert float(slow_turn.partition(" ms")[0]) >= round(life.began_ms)

    run(program)


def test_a_full_disk_is_told_to_one_process_alone_and_has_room_again(tmp_path):
    code = READY + (
        "say('up')\nwhile True:\n"
        "    try:\n        os.write(os.open(sys.argv[1], os.O_RDWR | os.O_CREAT), b'x')\n"
        "        say('kept')\n"
        "    except OSError as wrong:\n        say(f'full {wrong.errno}')\n"
        "    time.sleep(0.01)\n"
    )

    async def program():
        with Processes(str(tmp_path), net.clock()) as processes:
            life = await processes.start("a", [*PYTHON, code, str(tmp_path / "file")], "up")
            await processes.heard(life, "kept")
            processes.disk("a", 0)
            await processes.heard(life, "full 27")
            processes.disk("a", None)
            before = life.counts["kept"]
            await until(lambda: life.counts["kept"] > before + 1)
            assert await processes.end("a") == -signal.SIGTERM and not processes.findings()

    run(program)


@pytest.mark.skipif(sys.platform != "linux", reason="only Linux ends processes with their parent")
def test_processes_die_with_a_drill_that_is_killed_itself(tmp_path):
    code = (
        "import anyio, sys, time\nfrom cressrock.lab.processes import Processes\n"
        "async def main():\n    p = Processes(sys.argv[1], time.monotonic)\n"
        "    life = await p.start('a', [sys.executable, '-c', sys.argv[2]], 'up')\n"
        "    print(life.pid, flush=True)\n    await anyio.sleep(600)\nanyio.run(main)\n"
    )
    child = READY + "say('up'); time.sleep(600)"
    root = str(Path(__file__).parent.parent)
    with subprocess.Popen(
        [*PYTHON, code, str(tmp_path), child], stdout=subprocess.PIPE, text=True, cwd=root
    ) as drill:
        pid = int(drill.stdout.readline())
        assert not gone(pid)
        drill.kill()

        async def program():
            await until(lambda: gone(pid))

        run(program)


# --- what the judge allows


FACTS = {
    "way_ms": 60.0,
    "drain_grace_ms": 0.0,
    "methods": {"PROPPATCH": {"effect": "unsafe", "group": "all", "window_ms": 0}},
    "machines": {},
    "plans": {},
    "volumes": {},
    "overtime_ms": 3000.0,
}


def verdict(*rows, **facts):
    trace = Trace(FACTS | facts)
    for row in rows:
        trace.add(row)
    return sorted(b.rule for b in judge(trace).breaches)


def sent(t=1000.0, name="r1"):
    return Row(t, "client", "sent", "d0", request=name, method="PROPPATCH", path="/v/a", patience_ms=1000.0)


def ended(t, what="answered", name="r1", status=200):
    return Row(t, "client", what, "d0", request=name, method="PROPPATCH", path="/v/a", status=status)


def at_node(t, what, attempt=0):
    return Row(t, "node", what, "d0", "n", 0, "r1", 0, attempt, "PROPPATCH", "/v/a", 1.0, 207, f"k{attempt}")


def test_a_late_answer_is_allowed_what_was_measured_at_that_time_and_no_more():
    late = (sent(), ended(2300.0))  # 300 ms after its time, 60 are the way's
    assert verdict(*late) == [1]
    assert verdict(*late, pauses=[[2100.0, 2290.0, 190.0], [2000.0, 2100.0, 60.0]]) == []
    assert verdict(*late, pauses=[[2100.0, 2290.0, 190.0]]) == [1]  # not enough
    assert verdict(*late, pauses=[[1300.0, 1900.0, 600.0]]) == [1]  # long before
    assert verdict(*late, pauses=[[2310.0, 2900.0, 590.0]]) == [1]  # afterwards
    assert verdict(*late, links=[[2000.0, 2300.0, 300.0]]) == [1]  # an edge answers without its planner
    assert verdict(*late, stopped={"d0": [[1900.0, 2200.0]]}) == []
    assert verdict(*late, stopped={"d1": [[1900.0, 2200.0]]}) == [1]
    assert verdict(sent(), pauses=[[1900.0, 2290.0, 390.0]]) == [1]  # never answered
    assert verdict(sent(), stopped={"d0": [[1100.0, 6000.0]]}) == []


def test_pauses_of_the_loop_that_follow_each_other_delay_what_its_clients_see():
    """The trace of a loaded machine: due at 4,890 ms, seen at 6,225, 5 ms between two pauses of the loop."""
    late = (sent(3890.0), ended(6225.0))
    loop_pauses = [[4173.0, 5782.0], [5787.0, 6243.0]]
    pauses = [[at, to, to - at] for at, to in loop_pauses]
    assert verdict(*late, pauses=pauses) == [1]
    assert verdict(*late, pauses=pauses, loop_pauses=loop_pauses) == []
    assert verdict(sent(3890.0), ended(6350.0), loop_pauses=loop_pauses) == [1]  # the loop ran for 107 ms
    assert verdict(*late, loop_pauses=[[4173.0, 5482.0], [5787.0, 6243.0]]) == [1]  # it ran in between
    assert verdict(*late, loop_pauses=[[1000.0, 4800.0]]) == [1]  # before it was due
    assert verdict(*late, ended(6230.0), loop_pauses=loop_pauses) == [1]  # a second answer


def test_no_pause_excuses_what_rests_on_no_time():
    pauses = [[t, t + 100.0, 90.0] for t in range(0, 10000, 100)]
    again = [at_node(1010, "came"), at_node(1020, "ran"), at_node(1030, "answered")]
    again += [at_node(1500, "came", 1), at_node(1510, "ran", 1), at_node(1520, "answered", 1)]
    assert verdict(sent(), *again, ended(1530.0), pauses=pauses) == [2]
    assert verdict(sent(), ended(1100.0), ended(1200.0), pauses=pauses) == [1]
    assert verdict(sent(), ended(1100.0, "cut"), pauses=pauses) == [1]


def test_a_gauge_keeps_the_longest_of_what_lies_together():
    gauge = Gauge(2.0, merge_ms=50.0)
    for begin, end, ms in ((0, 1, 1.0), (100, 110, 10.0), (105, 130, 25.0), (140, 145, 5.0), (300, 302, 2.0)):
        gauge.add(begin, end, ms)
    assert gauge.found == [[100, 145, 25.0], [300, 302, 2.0]] and gauge.worst == 25.0


def test_a_conditions_bound_counts_no_pause_of_the_drills_loop():
    async def program():
        drill = Told(Script(seed=1, real=True), (), story=None)
        polls = []

        async def condition():
            polls.append(drill.clock())
            if len(polls) == 2:
                time.sleep(0.6)  # noqa: ASYNC251 (the loop is paused)
            return len(polls) == 4

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drill._beat)
            await anyio.sleep(0.05)
            await drill.until("the condition", condition, most_ms=400)
            assert polls[-1] - polls[0] > 400
            with pytest.raises(StepNotReachedError):
                await drill.until("what never comes", condition, most_ms=100)
            tasks.cancel_scope.cancel()

    run(program)


def test_a_leader_that_no_majority_names_at_first_is_waited_for():
    async def program():
        drill = Told(Script(seed=1, real=True), (), story=None)
        named = iter(["", "", "p1", "p2"])

        async def leader():
            return next(named)

        drill.leader = leader
        assert await drill.until_leader() == "p1"

    run(program)


# --- drills


def site():
    """Return the usual site with users who do not come back after a refusal: a drill ends the sooner."""
    usual_site = usual()
    return structs.replace(usual_site, traffic=structs.replace(usual_site.traffic, repeats=0))


def test_a_drill_of_cuts_kills_stops_and_resets_keeps_every_rule(tmp_path):
    joined, some = st.Step(0, st.Until("joined")), st.Step(0, st.Until("answered", 15))
    away = st.Until("logged", 1, "d0", "edge.planner_lost")
    steps = [
        joined,
        some,
        st.Step(0, st.OneWay("p0", "d0")),
        st.Step(0, away),
        joined,
        some,
        st.Step(0, st.Heal()),
        st.Step(0, st.Kill("p1")),
        some,
        st.Step(0, st.Restart("p1")),
        joined,
        some,
        st.Step(0, st.Stop("p0")),
        some,
        st.Step(300, st.Go("p0")),
        joined,
        st.Step(0, st.Reset("d0", "p0")),
        st.Step(0, st.Reset("d0", "p1")),
        some,
        joined,
        some,
    ]
    script = Script(
        seed=3,
        dispatchers=2,
        nodes=3,
        planners=2,
        rate=40.0,
        length_ms=10000,
        real=True,
        way_ms=60.0,
        site=site(),
    )
    report = rehearse(Drill(script, steps, logs=str(tmp_path)))
    assert not report.findings and not report.found.breaches, (report.findings, report.found.breaches[:3])
    assert len(report.marks) == len(steps) and report.counts["d0"]["edge.planner_lost"] >= 2
    assert report.found.figures["answered"] == report.found.figures["requests"] >= 90
    assert report.exits == {"p0": [0], "p1": [-signal.SIGKILL, 0], "d0": [0], "d1": [0]}
    assert {p.name for p in tmp_path.iterdir()} >= {"p1.1.log", "p1.2.log", "d0.jsonnet"}


def test_a_drill_finds_an_edge_that_is_broken_and_a_process_that_ends_by_itself():
    script = Script(
        seed=4,
        dispatchers=1,
        nodes=2,
        planners=1,
        rate=40.0,
        length_ms=10000,
        real=True,
        way_ms=60.0,
        site=site(),
    )
    steps = [st.Step(0, st.Until("joined")), st.Step(0, st.Until("answered", 60)), st.Step(0, Crash("p0"))]
    broken = [sys.executable, str(Path(__file__).with_name("broken_edge.py"))]
    drill = Crashing(script, steps, programs={"d0": broken})
    report = rehearse(drill)
    assert not report.found.kept(2), report.found.figures
    (found,) = report.findings
    assert f"p0 (life 1) ended by itself with {-signal.SIGABRT}" in found and not report.well


def Crash(name):  # noqa: N802
    """A step that makes a process end as if by itself."""
    return st.Kill(f"crash {name}")


class Crashing(Drill):
    async def _do(self, action):
        if isinstance(action, st.Kill) and action.name.startswith("crash "):
            life = self.processes.get(action.name.removeprefix("crash "))
            os.kill(life.pid, signal.SIGABRT)
            await until(lambda: life.code is not None)
        else:
            await super()._do(action)
