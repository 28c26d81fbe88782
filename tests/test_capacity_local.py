"""What should not grow with size inside a process: counted in lines run and bytes held, never in time.

What does grow today is not here: the slopes are in benchmarks/results/capacity-local.jsonl (a change of one
server runs through all of them in the decision module, a turn through all servers at which something waits, a
planner's step through all its edges, a renewal through all decrees).
"""

import asyncio
import json
import pathlib
import socket

import anyio
import msgspec
import pytest

from cressrock.consensus import decisions as d
from cressrock.errors.lab import MissingMeasurementError
from cressrock.lab import capacity, capacity_page
from cressrock.lab import localcost as lc
from cressrock.lab import localcost_fleet as fleet
from cressrock.lab import localcost_lists as lists
from cressrock.lab import localcost_requests as requests
from cressrock.lab import localcost_rows as page
from cressrock.lab import localcost_state as state
from cressrock.lab.capacity import SIZES as AT_SIZE
from cressrock.lab.capacity import Measurement
from cressrock.platform.server_list import ServerList
from cressrock.resp import codec
from cressrock.resp.front import Front, FrontBounds
from cressrock.resp.request import CommandReader

SIZES = (64, 128, 256, 512)


def flat(measure, sizes=SIZES, room=0.02):
    """Assert that a count does not grow with size; `room` is the part by which it may differ."""
    found = {n: measure(n) for n in sizes}
    least = min(found.values())
    assert max(found.values()) <= least * (1 + room) + 1, f"grows with size: {found}"
    return found


# --- a change of one server


def change_of(part, n, make=lists.Held):
    servers = lists.entries(n, 1)
    one = make()
    one.take(lists.whole(servers))
    return lists.change_steps(one, servers[3], 2)[part]


def test_a_change_of_one_server_is_as_many_bytes_whatever_the_list():
    flat(lambda n: len(lists.change(lists.entries(n, 1)[3], 2)))


@pytest.mark.parametrize("part", ["receive", "ledger"])
def test_a_change_of_one_server_runs_as_many_lines_whatever_the_list(part):
    flat(lambda n: change_of(part, n))


def test_the_count_of_lines_fails_a_list_that_goes_through_all_servers():
    class Slow(ServerList):
        def receive(self, *given, **more):
            for name in self.dial_addresses:
                assert name
            return super().receive(*given, **more)

    class Held(lists.Held):
        def __init__(self):
            super().__init__()
            self.servers = Slow(lists.ZONES)

    with pytest.raises(AssertionError, match="grows with size"):
        flat(lambda n: change_of("receive", n, Held))


def test_the_list_holds_as_many_bytes_a_server_whatever_their_number():
    def each(n):
        servers = lists.entries(n, 1)
        return lc.held_bytes(lambda: lists.held(servers))[0] / n

    found = flat(each, (128, 256, 512), room=0.15)
    assert max(found.values()) * AT_SIZE["servers"] < 32e6  # of a dispatcher's 64 MB for control


# --- a request


def request_steps(n, waiting=0):
    core = requests.Core(n, 1)
    if waiting:
        requests.waiting(core, waiting, 1)
    core.now += 0.01
    return requests.lines(lambda: requests.further(core, n - 1))


def test_a_request_runs_as_many_lines_whatever_the_servers_listed():
    flat(request_steps)


def test_a_request_runs_as_many_lines_whatever_waits_at_a_server_that_hangs():
    flat(lambda n: request_steps(64, waiting=n))


def test_the_count_of_lines_fails_a_transport_that_goes_through_all_servers():
    class Slow(requests.Core):
        def start(self, call):
            for name in self.brain.endpoints.by_name:
                assert name
            return super().start(call)

    def steps(n):
        core = Slow(n, 1)
        return requests.lines(lambda: requests.further(core, n - 1))

    with pytest.raises(AssertionError, match="grows with size"):
        flat(steps)


def test_an_operation_costs_the_ledger_as_much_whatever_is_open():
    def steps(n):
        ledger = state._ledger(n)

        def one():
            ledger.accept("new", "x", state.CLASS, 4000.0, 0.0)
            ledger.send("new", "s0", 0.0)
            ledger.record_outcome("new", 0, state.Outcome.OK)

        return lc.calls(one)

    flat(steps)
    flat(lambda n: lc.held_bytes(lambda: state._ledger(n))[0] / n, (128, 256, 512), room=0.15)


# --- a connection


class Transport:
    """A connection's transport without a socket."""

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *given):
        pass

    def write(self, data):
        pass

    def is_closing(self):
        return False

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return 0


def front():
    settings = lists.SETTINGS
    return Front(
        CommandReader(settings, ["read"], ["gold"], 4),
        requests.Core(4, 1).driver,
        FrontBounds(max_connections=10**6, max_active_connections=10**6, max_unread_bytes=1 << 20),
        lambda: 0.0,
    )


def clients(n):
    them = front()
    for _ in range(n):
        client = them.create_protocol()
        client.connection_made(Transport())
        client.data_received(codec.command(b"PING"))
    return them


def test_an_idle_connection_holds_as_many_bytes_whatever_their_number():
    none, _ = lc.held_bytes(front)
    found = flat(lambda n: (lc.held_bytes(lambda: clients(n))[0] - none) / n, (128, 256, 512), room=0.15)
    assert max(found.values()) < 4096


def test_a_connection_that_comes_runs_as_many_lines_whatever_is_idle():
    def steps(n):
        them = clients(n)

        def one():
            client = them.create_protocol()
            client.connection_made(Transport())
            client.data_received(codec.command(b"PING"))

        return lc.lines(one)

    flat(steps)


# --- what is decided in common, and rooms


def test_a_change_of_one_decree_runs_as_many_lines_at_a_reader_whatever_stands():
    flat(state.change_of_decree_steps)


def test_a_decision_runs_as_many_lines_at_a_seat_whatever_stands():
    def steps(n):
        it = state._decrees(n)
        data = state._decide(3, it.applied)
        return lc.lines(lambda: it.apply(it.applied + 1, data))

    flat(steps)


def test_the_count_of_lines_fails_a_seat_that_sorts_all_decrees():
    def steps(n):
        it = state._decrees(n)
        data = state._decide(3, it.applied)
        return lc.lines(lambda: (it.apply(it.applied + 1, data), it.all_decisions()))

    with pytest.raises(AssertionError, match="grows with size"):
        flat(steps)


def test_a_decree_is_as_many_bytes_on_its_way_whatever_stands():
    def size(n):
        it = state._decrees(n)
        return len(d.encode(it.all_decisions()[0]))

    flat(size)


def test_a_member_that_comes_and_goes_runs_as_many_lines_whatever_its_room():
    def steps(n):
        rooms = state._room(n)

        def one():
            rooms.leave(1.0, rooms.join(1.0, "room", b"d"))

        return lc.calls(one)

    flat(steps, (300, 600, 1200))  # beyond the changes of a room that are remembered


def test_a_raw_line_names_what_it_was_measured_at():
    figures = list(lists.list_probe(64, 1))
    assert {figure.scene for figure in figures} == {"birth", "change"}
    rows = [figure.row for figure in figures]
    assert len(set(rows)) == len(rows)
    assert json.loads(lists.whole(lists.entries(3, 1)))["hosts"][2]["block"] == 2


# --- what the page says of it


def measured(row, n, value, of="servers"):
    return Measurement(
        row=row,
        n=n,
        seed=1,
        value=value,
        unit="ms",
        role="dispatcher",
        scene="calm",
        at_commit="x",
        command="x",
        seconds=1.0,
        of=of,
    )


def test_a_sentence_gets_its_figures_from_runs():
    held = capacity.rows([measured("a.b", n, 2.0 * n) for n in (1000, 5000, 10000)])
    said = page.filled("whole {a.b}, at 1,000 {a.b@1000}, each {a.b/n}, three {a.b*3}", held)
    assert said == "whole 20,000, at 1,000 2,000, each 2, three 60,000"


@pytest.mark.parametrize("sentence", ["{a.c}", "{a.b@77}"])
def test_a_sentence_without_its_run_is_refused(sentence):
    held = capacity.rows([measured("a.b", n, 2.0 * n) for n in (1000, 5000, 10000)])
    with pytest.raises(MissingMeasurementError, match=r"a\.[bc]"):
        page.filled(sentence, held)


def test_a_line_that_was_not_measured_says_so():
    text = page.table([])
    assert text.count("| not measured |") == len(page.LINES)
    assert not any(f"| {verdict} |" in text for verdict in page.VERDICTS)


def test_of_processor_times_the_least_run_comes_to_the_page():
    runs = [
        msgspec.structs.replace(measured(row, 1770, value, "waiting requests"), seed=seed)
        for row, values in {
            "ledger.operation.cpu_us": (9.0, 5.0),
            "ledger.held_bytes": (100.0, 300.0),
        }.items()
        for seed, value in enumerate(values)
    ]
    text = capacity_page.page(runs, "<!-- figures: inside one process -->\nXYZZY\n<!-- end of figures -->\n")
    assert "| 5 microseconds an operation, flat; 200 bytes" in text
    assert "XYZZY" not in text


def test_each_line_has_a_verdict_and_names_its_rows():
    for line in page.LINES:
        assert line.verdict in page.VERDICTS, line
        assert page.named(line.sentence), line


# --- what counts between real processes


def test_the_switch_hands_on_and_counts_by_who_sent():
    async def story():
        found = {}
        async with anyio.create_task_group() as tasks:
            switch = fleet.Switch(tasks)
            ends = {}
            for name in ("d0", "p0"):
                end = ends[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                end.bind(("127.0.0.1", 0))
                end.setblocking(False)
                switch.target(name, "fleet", f"127.0.0.1:{end.getsockname()[1]}")

            async def echo(reader, writer):
                writer.write(await reader.read(100))
                writer.close()

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            switch.target("p0", "link", f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            to = switch.address("d0", "p0", "fleet")
            link = switch.address("d0", "p0", "link")
            assert switch.address("p0", "d0", "fleet") != to
            while any(port.server is None for port in switch.ports.values()):
                await anyio.sleep(0.001)
            loop = asyncio.get_running_loop()
            host, _, port = to.rpartition(":")
            await loop.sock_sendto(ends["d0"], b"word", (host, int(port)))
            data, sender = await loop.sock_recvfrom(ends["p0"], 100)
            # Who answers the sender's address answers through the switch as well.
            await loop.sock_sendto(ends["p0"], b"answer", sender)
            found["heard"] = (data, (await loop.sock_recvfrom(ends["d0"], 100))[0])
            reader, writer = await asyncio.open_connection("127.0.0.1", int(link.rpartition(":")[2]))
            writer.write(b"stream")
            found["echo"] = await reader.read()
            writer.close()
            switch.close()
            server.close()
            for end in ends.values():
                end.close()
            found["passed"] = switch.passed
        return found

    async def bounded():
        with anyio.fail_after(30):
            return await story()

    found = anyio.run(bounded)
    assert found["heard"] == (b"word", b"answer")
    assert found["echo"] == b"stream"
    passed = found["passed"]
    assert (passed.sent["d0"], passed.sent["p0"], passed.received["p0"]) == (4, 6, 4)
    assert (passed.datagrams["d0"], passed.streams["link"], passed.unknown) == (1, 12, 0)


def test_the_raw_file_fills_the_page():
    raw = pathlib.Path(__file__).parent.parent / "benchmarks" / "results" / "capacity-local.jsonl"
    text = page.table(capacity.read(raw.read_text().splitlines(), raw.name))
    assert "| not measured |" not in text
