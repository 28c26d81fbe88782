"""The watch of discovery under failures: silence, resets, truncated answers, outages, moves and reloads."""

import asyncio
import json
import os
import signal
import sys

import pytest

from cressrock.interface import ListKind, NodeState
from cressrock.lab.platform import Discovery, config, echo
from cressrock.platform import watch_schedule
from cressrock.platform.config import parse
from cressrock.platform.program import Program
from cressrock.platform.server_list import ListError, ServerList
from tests.test_platform import async_test, read, request_id, running_program, unused_port
from tests.test_platform_server_list import answer, entry


def shorten_deadlines(monkeypatch):
    """Shorten the schedule's times, which keep their order."""
    monkeypatch.setattr(watch_schedule, "CHANGE_DEADLINE_MS", 900.0)
    monkeypatch.setattr(watch_schedule, "MOVE_DEADLINE_MS", 600.0)
    monkeypatch.setattr(watch_schedule, "MAX_QUEUE_MS", 300.0)


@async_test
async def test_a_parallel_call_reports_a_drain_while_the_watch_is_silent(monkeypatch):
    shorten_deadlines(monkeypatch)
    async with running_program() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.fall_silent()
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert watch.parallel_calls and not watch.failed_rounds  # the subscription is active
        s.discovery.put("s9", s.servers[0].address, 3)  # watched on the new connection
        await s.until(lambda: "s9" in nodes)


@async_test
async def test_a_truncated_answer_is_ignored_and_a_parallel_call_gets_the_whole(monkeypatch):
    shorten_deadlines(monkeypatch)
    async with running_program() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.halved = True
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert watch.parallel_calls and not watch.failed_rounds and not s.discovery.halved


@async_test
async def test_a_reset_watch_is_reopened():
    async with running_program() as s:
        nodes = s.program.driver.ledger.nodes
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.reset()
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert s.program.watch.failed_rounds == 1 and not s.program.watch.parallel_calls


@async_test
async def test_a_late_answer_counts_although_a_parallel_call_failed(monkeypatch):
    """Discovery may only be busy, so the late call is not abandoned for the one made beside it."""
    shorten_deadlines(monkeypatch)
    async with running_program() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        held, original = [], s.discovery._after

        async def delayed(query):
            held.append(query)
            await release.wait()
            return await original(query)

        release = asyncio.Event()
        s.discovery._after = delayed
        await s.until(lambda: held)
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        s.discovery.failing = True  # for the second call; the first is outstanding
        calls = s.discovery.calls
        await s.until(lambda: watch.parallel_calls and s.discovery.calls > calls)
        await asyncio.sleep(0.05)  # by now its failure would have ended both calls
        assert not watch.failed_rounds
        s.discovery.failing = False
        release.set()
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert not watch.failed_rounds


async def busy(discovery, watch, until):
    discovery.failing = True
    discovery.reset()
    await until(lambda: watch.failed_rounds >= 3)  # the reset of the watch, and 503 twice
    discovery.failing = False


async def resets(discovery, watch, until):
    for failed in (1, 2, 3):
        calls = discovery.calls
        discovery.reset()
        await until(lambda failed=failed: watch.failed_rounds >= failed)
        await until(lambda calls=calls: discovery.calls >= calls + 2)  # called again, and the watch is open


async def refused(discovery, watch, until):
    host, port = discovery._server.sockets[0].getsockname()
    discovery._server.close()
    discovery.reset()
    await until(lambda: watch.failed_rounds >= 3)
    discovery._server = await asyncio.start_server(discovery._serve, host, port)


async def silent_twice(discovery, watch, until):
    original, held = discovery._after, []

    async def unanswered(query):
        held.append(query)
        await asyncio.Event().wait()

    discovery._after = unanswered
    discovery.fall_silent()
    await until(lambda: watch.parallel_calls and held)  # the parallel call is not answered either
    discovery._after = original


async def silent_then_busy(discovery, watch, until):
    discovery.fall_silent()
    discovery.failing = True
    calls = discovery.calls
    await until(lambda: discovery.calls >= calls + 2)  # beside an outstanding call without an answer
    discovery.failing = False


async def malformed(discovery, watch, until):
    original = discovery._after
    discovery._after = lambda query: asyncio.sleep(0, {"hosts": None})
    discovery.put("s8", "127.0.0.1:1", 1)
    await until(lambda: watch.failed_rounds >= 2)
    discovery._after = original


async def nested_too_deeply(discovery, watch, until):
    """Parsing JSON that is nested too deeply raises RecursionError, which must not end the process."""
    original = discovery._after
    discovery._after = lambda query: asyncio.sleep(0, b"[" * 200_000)
    discovery.put("s8", "127.0.0.1:1", 1)
    await until(lambda: watch.failed_rounds >= 2)
    discovery._after = original


FAULTS = [busy, resets, refused, silent_twice, silent_then_busy, malformed, nested_too_deeply]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_drain_after_failed_calls_is_reported_without_a_new_subscription(monkeypatch, fault):
    """The scheduler may pause for 7.5 s after a failure, but the drain counts as known after 6 s."""
    if fault in (silent_twice, silent_then_busy):
        shorten_deadlines(monkeypatch)

    @async_test
    async def test():
        async with running_program() as s:
            nodes, watch = s.program.driver.ledger.nodes, s.program.watch
            await s.until(lambda: s.discovery.calls >= 2)
            s.program.driver.subscribe = lambda: None
            await fault(s.discovery, watch, s.until)
            s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
            await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)

    test()


@async_test
async def test_after_a_move_the_new_address_is_called_at_once():
    """The backoff for failures of the old address must not delay the first call to the new one."""
    async with running_program() as s:
        watch = s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        s.program.driver.subscribe = lambda: None
        s.discovery.failing = True
        s.discovery.reset()
        await s.until(lambda: watch.failed_rounds >= 3)
        other = await Discovery().start()
        other.version = s.discovery.version
        old_due_ms = watch.schedule.due_ms
        watch.change_address(parse(json.dumps(config(other))).discovery)
        assert watch.schedule.due_ms <= watch.clock() < old_due_ms
        await s.until(lambda: other.calls >= 2)


@async_test
async def test_changes_during_a_discovery_outage_are_reported_after_it(monkeypatch):
    async with running_program() as s:
        nodes = s.program.driver.ledger.nodes
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.failing = True
        s.discovery.reset()
        await s.until(lambda: s.program.watch.failed_rounds >= 2)
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        s.discovery.failing = False
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)


@async_test
async def test_a_new_address_that_fails_at_first_is_retried_without_the_old_ones_backoff():
    """Its changes count as known 4 s after SIGHUP, whatever the backoff of the old address was."""
    async with running_program() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        other = await Discovery().start()
        other.version, other.failing = s.discovery.version, True
        reported = []
        watch.on_report = reported.append
        watch.change_address(parse(json.dumps(config(other))).discovery)
        await s.until(lambda: watch.failed_rounds >= 2)
        assert not reported  # no failure is reported, so the scheduler does not back off
        watch.on_report = s.program._apply_report
        other.failing = False
        other.put("s5", s.servers[0].address, 2)
        await s.until(lambda: "s5" in nodes)


@async_test
async def test_an_answer_that_arrives_during_an_address_change_is_reported():
    """The list has that answer's version from then on, so no later answer repeats its changes."""
    async with running_program() as s:
        nodes, watch, servers = s.program.driver.ledger.nodes, s.program.watch, s.program.servers
        await s.until(lambda: s.discovery.calls >= 2)
        other = await Discovery().start()
        receive = servers.receive

        def receive_and_move(*args, **kwargs):
            servers.receive = receive
            report = receive(*args, **kwargs)
            # As on SIGHUP, in the same iteration of the event loop.
            watch.change_address(parse(json.dumps(config(other))).discovery)
            return report

        servers.receive = receive_and_move
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: other.calls)
        assert nodes["s0"].state is NodeState.DRAINING
        # The old address is not called any more.
        assert not s.discovery.open or await ends_without_calls(s.discovery)


async def ends_without_calls(discovery):
    calls = discovery.calls
    while discovery.open:
        await asyncio.sleep(0.005)
    return discovery.calls == calls


def pushed_config(discovery):
    value = config(discovery)
    value["settings"]["membership_mode"] = "push"
    return value


@async_test
async def test_with_pushed_lists_discovery_is_watched_without_a_subscription_and_before_serving():
    """There, a drain counts as known from the start of a process on."""
    async with running_program() as s:  # only its storage server is used
        discovery = await Discovery().start()
        discovery.put("s0", s.servers[0].address, 0)
        value = pushed_config(discovery)
        discovery.put("s0", s.servers[0].address, 0, health="leaving")  # newer than the configured list
        release, original = asyncio.Event(), discovery._after

        async def delayed(query):
            await release.wait()
            return await original(query)

        discovery._after = delayed
        program = Program(parse(json.dumps(value)), "")
        task = asyncio.create_task(program.run())
        await s.until(lambda: discovery.calls)
        assert program.address is None and program.driver.ledger.nodes["s0"].state is NodeState.READY
        release.set()
        await s.until(lambda: program.address is not None)
        assert program.driver.ledger.nodes["s0"].state is NodeState.DRAINING
        await s.until(lambda: discovery.calls == 2)
        discovery.reset()
        discovery.put("s1", s.servers[0].address, 1)
        await s.until(lambda: "s1" in program.driver.ledger.nodes)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@async_test
async def test_with_pushed_lists_a_dispatcher_starts_although_discovery_is_down(monkeypatch):
    shorten_deadlines(monkeypatch)
    async with running_program() as s:
        discovery = await Discovery().start()
        discovery.put("s0", s.servers[0].address, 0)
        discovery.failing = True
        program = Program(parse(json.dumps(pushed_config(discovery))), "")
        task = asyncio.create_task(program.run())
        await s.until(lambda: program.address is not None)
        s.program.address = program.address
        client = await s.client()
        assert await client.ask(read(1)) == b"value of " + request_id(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def test_a_restarted_version_count_is_accepted_and_revokes_no_drain():
    servers = ServerList(("a",))
    first = answer(entry("s1", health="leaving"), entry("s2"), entry("s3"), seq=50)
    servers.receive(first, 0, 1e12)
    servers.receive(answer(entry("s3", health="left"), seq=51, whole=False), 0, 1e12)
    with pytest.raises(ListError):
        # Changes since a version of the new count, which this list is not based on.
        servers.receive(answer(entry("s2"), seq=7, whole=False), 0, 1e12)
    assert servers.version == 51 and servers.after == -1  # the whole list is requested
    report = servers.receive(answer(entry("s1"), entry("s3"), entry("s4"), seq=7), 0, 1e12)
    assert report.kind is ListKind.COMPLETE and servers.version == 7
    assert {node.name: node.state for node in report.nodes} == {
        "s1": NodeState.DRAINING,
        "s3": NodeState.GONE,
        "s4": NodeState.READY,
    }
    # A drain ends with a new start of the server.
    report = servers.receive(answer(entry("s1", born_ms=1e12), seq=7), 0, 1e12)
    assert report.nodes[0].state is NodeState.READY


def reload_files(s, other):
    """Yield files to reject, each with the place that the log names, and at last one with a new discovery."""
    own = config(s.discovery) | {"discovery": other.address, "seed": "ff", "known": other.whole()}
    changed = json.loads(json.dumps(own))
    changed["settings"]["profiles"][0]["give_up_ms"] = 700.0
    yield "settings.profiles[0].give_up_ms", json.dumps(changed)
    yield "name", json.dumps(own | {"name": "d1"})
    yield "listen", json.dumps(own | {"listen": "127.0.0.2:6379"})
    yield "not JSON", json.dumps(own)[:-9]
    yield None, json.dumps(own)


@async_test
async def test_a_file_of_another_dispatcher_is_rejected_in_a_reload(tmp_path, capsys):
    """Its discovery would connect this dispatcher to another customer's servers."""
    async with running_program() as s:
        await s.until(lambda: s.discovery.calls >= 2)
        other = await Discovery().start()
        other.version = s.discovery.version
        s.program.path = str(tmp_path / "config.json")
        capsys.readouterr()
        line_count = [s.program.log.lines["event"]]
        for place, text in reload_files(s, other):
            (tmp_path / "config.json").write_text(text)
            os.kill(os.getpid(), signal.SIGHUP)
            await s.until(lambda: s.program.log.lines["event"] > line_count[0])
            line_count[0] = s.program.log.lines["event"]
            lines = capsys.readouterr().err.splitlines()
            if place is not None:
                assert len(lines) == 1 and "configuration rejected" in lines[0] and place in lines[0]
                assert f"{s.program.watch.address[0]}:{s.program.watch.address[1]}" == s.discovery.address
        await s.until(lambda: other.calls >= 2)


def test_a_sighup_during_startup_is_handled_once_the_program_runs(tmp_path):
    """Without an early handler it would end the process."""
    path = tmp_path / "config.json"

    @async_test
    async def test():
        discovery, other = await Discovery().start(), await Discovery().start()
        with unused_port() as port:
            value = config(discovery, listen=f"127.0.0.1:{port}")
        path.write_text(json.dumps(value))
        # The file is replaced, and SIGHUP is sent, while the old configuration is being read.
        code = (
            "import json, os, pathlib, signal, sys\n"
            "from cressrock.platform import program\n"
            "read = program.parse\n"
            "def parse(text):\n"
            "    found = read(text)\n"
            "    if program.parse is parse:\n"
            "        program.parse = read\n"
            f"        path = pathlib.Path({str(path)!r})\n"
            f"        path.write_text(json.dumps(json.loads(text) | {{'discovery': {other.address!r}}}))\n"
            "        os.kill(os.getpid(), signal.SIGHUP)\n"
            "    return found\n"
            "program.parse = parse\n"
            "sys.exit(program.main())\n"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            env=os.environ | {"LB_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            while not other.calls:
                assert process.returncode is None
                await asyncio.sleep(0.01)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    test()


@async_test
async def test_a_number_of_401_digits_is_logged_once_and_ends_nothing():
    """Regression: a start time of 401 digits ended the process with OverflowError."""
    async with running_program(echo, echo) as s:
        watch, lines = s.program.watch, []
        watch.log = lines.append
        for _ in range(3):
            version = s.discovery.version + 1
            s.discovery.put("s1", s.servers[1].address, 1, born_ms=10**400)
            s.discovery.put("s0", s.servers[0].address, 0)
            await s.until(lambda version=version: s.program.servers.version > version)
        ignored = [line for line in lines if "ignored" in line]
        assert len(ignored) == 1
        assert "born_ms is not a Unix time" in ignored[0]
        client = await s.client()
        assert await client.ask(read(1, shard=1)) == b"value of " + request_id(1)
        assert not s.task.done()
