"""A watch that dies: silent from its first byte, reset, answered by half, discovery gone and back."""

import asyncio
import json
import os
import signal
import sys

import pytest

from cressrock.interface import ListKind, NodeState
from cressrock.lab.platform import Discovery, config
from cressrock.platform import watchclock
from cressrock.platform.config import parse
from cressrock.platform.program import Program
from cressrock.platform.serverlist import ListError, ServerList
from tests.test_platform import ident, on_sockets, read, socket_free, stage
from tests.test_platform_parts import answer, entry


def hurry(monkeypatch):
    """Keep the clock's order, at a fraction of its length."""
    monkeypatch.setattr(watchclock, "CHANGE_DEADLINE_MS", 900.0)
    monkeypatch.setattr(watchclock, "MOVE_DEADLINE_MS", 600.0)
    monkeypatch.setattr(watchclock, "MAX_QUEUE_MS", 300.0)


@on_sockets
async def test_a_drain_told_while_the_watch_is_silent_is_heard_by_another_call(monkeypatch):
    hurry(monkeypatch)
    async with stage() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.fall_silent()
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert watch.parallel_calls and not watch.failed  # the subscription stands
        s.discovery.put("s9", s.servers[0].address, 3)  # and goes on, on the new connection
        await s.until(lambda: "s9" in nodes)


@on_sockets
async def test_half_an_answer_is_no_news_and_the_whole_is_heard_by_another_call(monkeypatch):
    hurry(monkeypatch)
    async with stage() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.halved = True
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert watch.parallel_calls and not watch.failed and not s.discovery.halved


@on_sockets
async def test_a_watch_that_is_reset_is_opened_anew():
    async with stage() as s:
        nodes = s.program.driver.ledger.nodes
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.reset()
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert s.program.watch.failed == 1 and not s.program.watch.parallel_calls


@on_sockets
async def test_a_late_answer_counts_beside_a_second_call_that_fails(monkeypatch):
    """Discovery may only be busy: the call that is out is not given up for the one made beside it."""
    hurry(monkeypatch)
    async with stage() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        held, after = [], s.discovery._after

        async def slow(query):
            held.append(query)
            await go.wait()
            return await after(query)

        go = asyncio.Event()
        s.discovery._after = slow
        await s.until(lambda: held)
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        s.discovery.failing = True  # for the second call; the first is out
        calls = s.discovery.calls
        await s.until(lambda: watch.parallel_calls and s.discovery.calls > calls)
        await asyncio.sleep(0.05)  # its failure is there, were it to end both
        assert not watch.failed
        s.discovery.failing = False
        go.set()
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)
        assert not watch.failed


async def busy(discovery, watch, until):
    discovery.failing = True
    discovery.reset()
    await until(lambda: watch.failed >= 3)  # the watch's end, and 503 twice
    discovery.failing = False


async def resetting(discovery, watch, until):
    for failed in (1, 2, 3):
        calls = discovery.calls
        discovery.reset()
        await until(lambda failed=failed: watch.failed >= failed)
        await until(lambda calls=calls: discovery.calls >= calls + 2)  # asked anew, and the watch stands


async def refused(discovery, watch, until):
    host, port = discovery._server.sockets[0].getsockname()
    discovery._server.close()
    discovery.reset()
    await until(lambda: watch.failed >= 3)
    discovery._server = await asyncio.start_server(discovery._serve, host, port)


async def silent_twice(discovery, watch, until):
    whole, held = discovery._after, []

    async def never(query):
        held.append(query)
        await asyncio.Event().wait()

    discovery._after = never
    discovery.fall_silent()
    await until(
        lambda: watch.parallel_calls and held
    )  # the call made beside the silent watch is silent as well
    discovery._after = whole


async def silent_then_busy(discovery, watch, until):
    discovery.fall_silent()
    discovery.failing = True
    calls = discovery.calls
    await until(lambda: discovery.calls >= calls + 2)  # beside a call that is out and hears nothing
    discovery.failing = False


async def spoilt(discovery, watch, until):
    whole = discovery._after
    discovery._after = lambda query: asyncio.sleep(0, {"hosts": None})
    discovery.put("s8", "127.0.0.1:1", 1)
    await until(lambda: watch.failed >= 2)
    discovery._after = whole


async def nested(discovery, watch, until):
    """An answer nested deeper than can be read would end the process, if nobody took that for a failure."""
    whole = discovery._after
    discovery._after = lambda query: asyncio.sleep(0, b"[" * 200_000)
    discovery.put("s8", "127.0.0.1:1", 1)
    await until(lambda: watch.failed >= 2)
    discovery._after = whole


DISORDERS = [busy, resetting, refused, silent_twice, silent_then_busy, spoilt, nested]


@pytest.mark.parametrize("disorder", DISORDERS)
def test_a_drain_told_behind_calls_that_failed_is_heard_without_the_schedulers_asking(monkeypatch, disorder):
    """Danger: its pause after a failure may be 7.5 s, and the drain counts as told after 6."""
    if disorder in (silent_twice, silent_then_busy):
        hurry(monkeypatch)

    @on_sockets
    async def test():
        async with stage() as s:
            nodes, watch = s.program.driver.ledger.nodes, s.program.watch
            await s.until(lambda: s.discovery.calls >= 2)
            s.program.driver.subscribe = lambda: None
            await disorder(s.discovery, watch, s.until)
            s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
            await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)

    test()


@on_sockets
async def test_a_move_while_a_call_fails_again_and_again_is_taken_at_once():
    """Danger: a pause that the old address earned would stand between the new one and its first call."""
    async with stage() as s:
        watch = s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        s.program.driver.subscribe = lambda: None
        s.discovery.failing = True
        s.discovery.reset()
        await s.until(lambda: watch.failed >= 3)
        other = await Discovery().start()
        other.version = s.discovery.version
        asked = watch.schedule.due_ms
        watch.move(parse(json.dumps(config(other))).discovery)
        assert watch.schedule.due_ms <= watch.clock() < asked
        await s.until(lambda: other.calls >= 2)


@on_sockets
async def test_discoverys_end_and_return_with_changes_in_between(monkeypatch):
    async with stage() as s:
        nodes = s.program.driver.ledger.nodes
        await s.until(lambda: s.discovery.calls >= 2)
        s.discovery.failing = True
        s.discovery.reset()
        await s.until(lambda: s.program.watch.failed >= 2)
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        s.discovery.failing = False
        await s.until(lambda: nodes["s0"].state is NodeState.DRAINING)


@on_sockets
async def test_a_new_address_that_fails_at_first_is_asked_again_without_the_old_ones_backoff():
    """Danger: what it has to tell counts 4 s after SIGHUP, whatever backoff the old address had earned."""
    async with stage() as s:
        nodes, watch = s.program.driver.ledger.nodes, s.program.watch
        await s.until(lambda: s.discovery.calls >= 2)
        other = await Discovery().start()
        other.version, other.failing = s.discovery.version, True
        reported = []
        watch.on_report = reported.append
        watch.move(parse(json.dumps(config(other))).discovery)
        await s.until(lambda: watch.failed >= 2)
        assert not reported  # nobody is asked to back off
        watch.on_report = s.program._apply_report
        other.failing = False
        other.put("s5", s.servers[0].address, 2)
        await s.until(lambda: "s5" in nodes)


@on_sockets
async def test_an_answer_that_comes_as_the_address_is_changed_is_news_still():
    """Danger: its version is held from then on, so no later answer brings it again."""
    async with stage() as s:
        nodes, watch, servers = s.program.driver.ledger.nodes, s.program.watch, s.program.servers
        await s.until(lambda: s.discovery.calls >= 2)
        other = await Discovery().start()
        receive = servers.receive

        def receiving(*what, **more):
            servers.receive = receive
            report = receive(*what, **more)
            watch.move(parse(json.dumps(config(other))).discovery)  # SIGHUP, in the same round of the loop
            return report

        servers.receive = receiving
        s.discovery.put("s0", s.servers[0].address, 0, health="leaving")
        await s.until(lambda: other.calls)
        assert nodes["s0"].state is NodeState.DRAINING
        assert not s.discovery.open or await closed(s.discovery)  # the old one is not asked any more


async def closed(discovery):
    calls = discovery.calls
    while discovery.open:
        await asyncio.sleep(0.005)
    return discovery.calls == calls


def pushed(discovery):
    value = config(discovery)
    value["settings"]["membership_mode"] = "push"
    return value


@on_sockets
async def test_where_lists_are_pushed_the_watch_stands_by_itself_and_before_clients_are_served():
    """Danger: there a drain counts as told from a new process's first moment on."""
    async with stage() as s:  # only for its server
        discovery = await Discovery().start()
        discovery.put("s0", s.servers[0].address, 0)
        value = pushed(discovery)
        discovery.put("s0", s.servers[0].address, 0, health="leaving")  # after the list that it is given
        answering, after = asyncio.Event(), discovery._after

        async def late(query):
            await answering.wait()
            return await after(query)

        discovery._after = late
        program = Program(parse(json.dumps(value)), "")
        task = asyncio.create_task(program.run())
        await s.until(lambda: discovery.calls)
        assert program.address is None and program.driver.ledger.nodes["s0"].state is NodeState.READY
        answering.set()
        await s.until(lambda: program.address is not None)
        assert program.driver.ledger.nodes["s0"].state is NodeState.DRAINING
        await s.until(lambda: discovery.calls == 2)
        discovery.reset()
        discovery.put("s1", s.servers[0].address, 1)
        await s.until(lambda: "s1" in program.driver.ledger.nodes)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@on_sockets
async def test_a_discovery_that_is_down_does_not_keep_a_pushed_dispatcher_from_starting(monkeypatch):
    hurry(monkeypatch)
    async with stage() as s:
        discovery = await Discovery().start()
        discovery.put("s0", s.servers[0].address, 0)
        discovery.failing = True
        program = Program(parse(json.dumps(pushed(discovery))), "")
        task = asyncio.create_task(program.run())
        await s.until(lambda: program.address is not None)
        s.program.address = program.address
        client = await s.client()
        assert await client.ask(read(1)) == b"value of " + ident(1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def test_a_discovery_that_begins_to_count_anew_is_heard_and_un_tells_no_drain():
    servers = ServerList(("a",))
    first = answer(entry("s1", health="leaving"), entry("s2"), entry("s3"), seq=50)
    servers.receive(first, 0, 1e12)
    servers.receive(answer(entry("s3", health="left"), seq=51, whole=False), 0, 1e12)
    with pytest.raises(ListError):
        servers.receive(answer(entry("s2"), seq=7, whole=False), 0, 1e12)  # changes since something else
    assert servers.version == 51 and servers.after == -1  # the whole list is asked for
    report = servers.receive(answer(entry("s1"), entry("s3"), entry("s4"), seq=7), 0, 1e12)
    assert report.kind is ListKind.COMPLETE and servers.version == 7
    assert {node.name: node.state for node in report.nodes} == {
        "s1": NodeState.DRAINING,
        "s3": NodeState.GONE,
        "s4": NodeState.READY,
    }
    # A server that started again is another one: its drain is over.
    report = servers.receive(answer(entry("s1", born_ms=1e12), seq=7), 0, 1e12)
    assert report.nodes[0].state is NodeState.READY


def files(s, other):
    """A file that is this dispatcher's with another discovery, and files that are not."""
    mine = config(s.discovery) | {"discovery": other.address, "seed": "ff", "known": other.whole()}
    theirs = json.loads(json.dumps(mine))
    theirs["settings"]["profiles"][0]["give_up_ms"] = 700.0
    yield "settings.profiles[0].give_up_ms", json.dumps(theirs)
    yield "name", json.dumps(mine | {"name": "d1"})
    yield "listen", json.dumps(mine | {"listen": "127.0.0.2:6379"})
    yield "not JSON", json.dumps(mine)[:-9]
    yield None, json.dumps(mine)


@on_sockets
async def test_a_file_that_is_not_this_dispatchers_moves_nothing(tmp_path, capsys):
    """Danger: its discovery would lead to another customer's servers."""
    async with stage() as s:
        await s.until(lambda: s.discovery.calls >= 2)
        other = await Discovery().start()
        other.version = s.discovery.version
        s.program.path = str(tmp_path / "config.json")
        capsys.readouterr()
        counted = [s.program.log.lines["event"]]
        for place, text in files(s, other):
            (tmp_path / "config.json").write_text(text)
            os.kill(os.getpid(), signal.SIGHUP)
            await s.until(lambda: s.program.log.lines["event"] > counted[0])
            counted[0] = s.program.log.lines["event"]
            lines = capsys.readouterr().err.splitlines()
            if place is not None:
                assert len(lines) == 1 and "configuration rejected" in lines[0] and place in lines[0]
                assert f"{s.program.watch.address[0]}:{s.program.watch.address[1]}" == s.discovery.address
        await s.until(lambda: other.calls >= 2)


def test_a_sighup_before_the_program_can_take_it_is_taken_then(tmp_path):
    """Danger: it ends a process that does not handle it yet."""
    path = tmp_path / "config.json"

    @on_sockets
    async def test():
        discovery, other = await Discovery().start(), await Discovery().start()
        with socket_free() as port:
            value = config(discovery, listen=f"127.0.0.1:{port}")
        path.write_text(json.dumps(value))
        # The signal comes while the configuration is read: the file is replaced and the process told.
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
