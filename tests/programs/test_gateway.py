"""The whole path in simulated time: real bytes, real decisions, stand-in nodes, and what goes wrong."""

import anyio
import pytest

from cressrock.interface import Outcome
from cressrock.lab.listing import Listed
from cressrock.lab.model import Machine
from tests.rig import run

SLOW = Machine(unit_ms=200.0, base_ms=50.0)
LOCK = b'<lockinfo xmlns="DAV:"><lockscope><exclusive/></lockscope><locktype><write/></locktype></lockinfo>'


def test_a_payload_there_and_back_with_its_conditions_and_ranges():
    async def program(rig):
        made = await rig.ask("PUT", "/demo/a", b"0123456789", content_type="text/x")
        assert made.status == 201
        got = await rig.ask("GET", "/demo/a")
        headers = dict(got.headers)
        assert (got.body, headers[b"content-type"]) == (b"0123456789", b"text/x")
        etag = headers[b"etag"].decode()
        assert (await rig.ask("GET", "/demo/a", if_none_match=etag)).status == 304
        assert (await rig.ask("GET", "/demo/a", range="bytes=2-4")).body == b"234"
        assert (await rig.ask("GET", "/demo/a", range="bytes=99-")).status == 416
        assert (await rig.ask("PUT", "/demo/a", b"x", if_match='"old"')).status == 412
        assert (await rig.ask("PUT", "/demo/a", b"x", if_none_match="*")).status == 412
        assert (await rig.ask("PUT", "/demo/a", b"x", if_match=etag)).status == 204
        head = await rig.ask("HEAD", "/demo/a")
        assert (head.body, dict(head.headers)[b"content-length"]) == (b"", b"1")
        assert (await rig.ask("PUT", "/demo/no/such", b"x")).status == 409
        assert (await rig.ask("GET", "/nowhere/a")).status == 404

    run(program)


def test_collections_over_three_shards():
    async def program(rig):
        assert (await rig.ask("MKCOL", "/demo/c")).status == 201
        assert (await rig.ask("MKCOL", "/demo/c")).status == 405
        for index in range(9):
            assert (await rig.ask("PUT", f"/demo/c/{index}", b"x" * index)).status == 201
        assert len({rig.home(f"/demo/c/{index}") for index in range(9)}) == 3
        listing = await rig.ask("PROPFIND", "/demo/c", depth=1)
        assert listing.status == 207 and listing.body.count(b"<D:response>") == 10
        moved = await rig.ask("MOVE", "/demo/c", destination="/demo/d")
        assert moved.status == 201
        for index in range(9):
            assert (await rig.ask("GET", f"/demo/d/{index}")).body == b"x" * index
            assert (await rig.ask("GET", f"/demo/c/{index}")).status == 404
        assert (await rig.ask("DELETE", "/demo/d")).status == 204
        assert (await rig.ask("PROPFIND", "/demo/d", depth=0)).status == 404

    run(program)


def test_a_collections_lock_holds_at_every_shard():
    async def program(rig):
        await rig.ask("MKCOL", "/demo/c")
        told = []
        rig.gateway.front.locked = lambda *what: told.append(what)
        lock = await rig.ask(
            "LOCK", "/demo/c", LOCK, depth="infinity", timeout="Second-100", presence_session="s"
        )
        token = dict(lock.headers)[b"lock-token"].decode()
        for index in range(6):
            assert (await rig.ask("PUT", f"/demo/c/{index}", b"x")).status == 423
            with_token = await rig.ask(
                "PUT", f"/demo/c/{index}", b"x", **{"if": f"<http://gw:80/demo/c> ({token})"}
            )
            assert with_token.status == 201
        unlocked = await rig.ask("UNLOCK", "/demo/c", lock_token=token, presence_session="s")
        assert unlocked.status == 204
        assert told == [("s", token.strip("<>"), True), ("s", token.strip("<>"), False)]
        assert (await rig.ask("PUT", "/demo/c/0", b"y")).status == 204

    run(program)


def test_a_large_payload_streams_both_ways_in_bounded_memory():
    async def program(rig):
        body = bytes(range(256)) * 4096 * 8  # 8 MiB
        assert (await rig.ask("PUT", "/demo/big", body)).status == 201
        assert (
            rig.gateway.payload_store.memory_used_bytes == 0
            and rig.gateway.payload_store.spilled_payloads >= 1
        )
        assert (await rig.ask("GET", "/demo/big")).body == body
        assert rig.gateway.driver.ledger.entries == {}

    run(program, changes={"payloads": {"memory_bytes": 2 << 20, "spill_bytes": 1 << 20}})


def test_a_client_that_leaves_gets_nothing_more_sent():
    async def program(rig):
        for leave in (5, 60, 200):
            seen = await rig.ask("PUT", f"/demo/l{leave}", b"x", leave_after_ms=leave)
            assert seen.how == "left"
        before = len(rig.at_nodes())
        await anyio.sleep(20)
        assert len(rig.at_nodes()) == before <= 3
        assert not rig.gateway.driver.ledger.entries and not rig.gateway.driver.in_flight
        assert rig.gateway.payload_store.memory_used_bytes == 0
        assert rig.gateway.front.open == 0

    run(program, machine=SLOW)


def test_a_client_that_leaves_in_mid_upload_and_in_mid_download():
    async def program(rig):
        stream = await rig.net.connect("gw", 80)
        await stream.send(
            b"PUT /demo/u HTTP/1.1\r\nhost: gw\r\ncontent-length: 1000000\r\n\r\n" + b"u" * 300000
        )
        await anyio.sleep(0.5)
        await stream.aclose()
        await anyio.sleep(1)
        assert (await rig.ask("GET", "/demo/u")).status == 404
        await rig.ask("PUT", "/demo/d", b"d" * 3000000)
        stream = await rig.net.connect("gw", 80)
        await stream.send(b"GET /demo/d HTTP/1.1\r\nhost: gw\r\n\r\n")
        await stream.receive(1000)
        await stream.aclose()
        await anyio.sleep(1)
        assert not rig.gateway.driver.ledger.entries and rig.gateway.payload_store.memory_used_bytes == 0
        assert (await rig.ask("GET", "/demo/d")).body == b"d" * 3000000

    run(program)


def test_an_answer_cut_in_the_middle_is_never_a_short_success():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"a" * 500000)
        rig.node("/demo/a").faults.truncated = 1.0
        seen = await rig.ask("GET", "/demo/a")
        assert seen.how == "cut" and 0 < len(seen.body) < 500000
        # A small answer is taken in whole first, so that its loss can be made good by a further attempt.
        rig.node("/demo/a").faults.truncated = 0.0
        await rig.ask("PUT", "/demo/s", b"s")
        rig.node("/demo/s").faults.truncated = 0.5
        seen = [await rig.ask("GET", "/demo/s") for _ in range(12)]
        assert {s.body for s in seen if s.status == 200} == {b"s"}
        assert sum(s.status == 200 for s in seen) > 6 and all(s.how == "answered" for s in seen)

    run(program)


def test_a_lost_answer_to_a_keyed_write_is_made_good_without_a_second_effect():
    async def program(rig):
        for index in range(20):
            rig.node(f"/demo/{index}").faults.reset = 0.5
            await rig.ask("PUT", f"/demo/{index}", b"x", patience_ms=14000)
        ran = rig.at_nodes("ran", "PUT")
        assert len(rig.at_nodes("came", "PUT")) > 25 and len(ran) == len({r.key for r in ran}) == 20
        answers = [r.status for r in rig.rows if r.side == "client" and r.what == "answered"]
        assert answers.count(201) >= 15 and set(answers) <= {201, 502}

    run(program)


def test_a_write_that_hangs_is_never_resent_outside_window_or_rack_and_ends_in_failure():
    async def program(rig):
        rig.node("/demo/a").faults.hung = True
        began = rig.clock()
        seen = await rig.ask("PUT", "/demo/a", b"x", patience_ms=16000)
        reason = dict(seen.headers)[b"cressrock-reason"]
        assert (seen.status, reason) in ((502, b"attempts-failed"), (504, b"deadline-may-have-run"))
        assert rig.clock() - began < 15500
        came = rig.at_nodes("came", "PUT")
        assert {r.shard for r in came} == {rig.home("/demo/a")}
        assert max(r.t_ms for r in came) - came[0].t_ms <= 10000

    run(program)


def test_a_kept_connection_that_the_node_closed_is_not_written_to():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"x")
        for stream in list(rig.net.streams[f"n{rig.home('/demo/a')}:7000"]):
            await stream.aclose()
        await anyio.sleep(0.1)
        assert (await rig.ask("PUT", "/demo/a", b"y")).status == 204
        assert [r.attempt for r in rig.at_nodes("came", "PUT")] == [0, 0]

    run(program)


def test_pipelined_requests_are_answered_in_order_though_the_first_one_waits():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"first")
        await rig.ask("PUT", "/demo/b", b"second")
        text = b"".join(b"GET /demo/%s HTTP/1.1\r\nhost: gw\r\n\r\n" % p for p in (b"a", b"b", b"a"))
        got = await rig.raw(text, wait=3)
        assert got.count(b"HTTP/1.1 200") == 3
        assert got.index(b"first") < got.index(b"second") < got.rindex(b"first")

    run(program)


def test_expect_continue_chunked_bodies_and_an_answer_before_the_bodys_end():
    async def program(rig):
        stream = await rig.net.connect("gw", 80)
        head = (
            b"PUT /demo/e HTTP/1.1\r\nhost: gw\r\nexpect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        await stream.send(head)
        assert (await stream.receive()).startswith(b"HTTP/1.1 100")
        await stream.send(b"3\r\nabc\r\n0\r\n\r\n")
        assert b"201" in await stream.receive()
        assert (await rig.ask("GET", "/demo/e")).body == b"abc"
        late = b"PUT /demo/no/parent HTTP/1.1\r\nhost: gw\r\ncontent-length: 900000\r\n\r\n" + b"x" * 100000
        got = await rig.raw(late, wait=40)
        assert got.startswith(b"HTTP/1.1 ") and got.count(b"HTTP/1.1 ") == 1
        assert not rig.gateway.driver.ledger.entries

    run(program)


@pytest.mark.parametrize(
    "text",
    [
        b"GET / HTTP/1.1\r\nhost: gw\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        b"PUT /demo/x HTTP/1.1\r\nhost: gw\r\ncontent-length: 3\r\n"
        b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"PUT /demo/x HTTP/1.1\r\nhost: gw\r\ntransfer-encoding: gzip\r\n\r\n",
        b"PUT /demo/x HTTP/1.1\r\nhost: gw\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"GET /demo/x HTTP/1.1\r\nhost: gw\r\n" + b"a: " + b"b" * 300000 + b"\r\n\r\n",
        b"GET /demo/%2e%2e/x HTTP/1.1\r\nhost: gw\r\n\r\n",
        b"GET /demo/x HTTP/1.1\r\n\r\n",
        b"GET /demo/x\r\n\r\n",
        b"\x16\x03\x01\x00",
        b"BREW /demo/x HTTP/1.1\r\nhost: gw\r\n\r\n",
    ],
)
def test_smuggling_and_nonsense_end_in_one_refusal_without_a_storage_operation(text):
    async def program(rig):
        got = await rig.raw(text + b"GET /demo/next HTTP/1.1\r\nhost: gw\r\n\r\n" * 2, wait=30)
        assert got.startswith((b"HTTP/1.1 4", b"HTTP/1.1 501"))
        assert not [r for r in rig.at_nodes() if r.path == "/demo/x"]
        assert rig.gateway.front.open == 0

    run(program)


def test_a_drain_in_the_same_batch_as_waiting_work_and_its_cold_replacement():
    async def program(rig):
        path = next(f"/demo/{i}" for i in range(99) if rig.home(f"/demo/{i}") == 0)
        await rig.ask("PUT", path, b"x")
        rig.listing.publish([Listed("n0:7000", 0, draining=True), Listed("n1:7000", 1), Listed("n2:7000", 2)])
        await anyio.sleep(0.6)
        told = rig.clock()

        async def later():
            await anyio.sleep(1)
            await rig.hall.start(0, "n0:8000", cold=True)
            rig.hall.places.pop("n0:7000")
            rig.hall.publish()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(later)
            seen = await rig.ask("GET", path, patience_ms=9000)
        assert seen.body == b"x"
        came = [r for r in rig.at_nodes() if r.t_ms > told and r.shard == 0]
        assert {r.node for r in came} == {"n0:8000"}

    run(program)


def test_a_slow_reader_does_not_hold_its_nodes_slot():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"a" * 4000000)
        stream = await rig.net.connect("gw", 80)
        await stream.send(b"GET /demo/a HTTP/1.1\r\nhost: gw\r\n\r\n")
        await anyio.sleep(5)
        decisions = rig.gateway.driver.decisions
        assert not any(endpoint.in_flight for endpoint in decisions.endpoints.by_name.values())
        await anyio.sleep(40)  # the front gives up on a reader that reads nothing
        assert not rig.gateway.driver.ledger.entries and rig.gateway.node_client.connection_count() < 4
        await stream.aclose()

    run(program)


def test_stopping_finishes_what_is_owed_and_takes_nothing_new():
    async def program(rig):
        found = []

        async def write():
            found.append(await rig.ask("PUT", "/demo/a", b"x"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await anyio.sleep(0.05)
            assert await rig.gateway.stop(10000)
        assert found[0].status == 201 and rig.gateway.not_ready_reasons() == ["stopping"]
        assert (await rig.ask("GET", "/demo/a")).how in ("cut", "not connected")

    run(program, machine=SLOW)


def test_what_stood_still_is_handed_over_with_the_time_that_is_left():
    async def program(rig):
        driver = rig.gateway.driver
        acts = []
        inner = driver.decisions.act

        def act(now, events):
            acts.append((now, events))
            return inner(now, events)

        driver.decisions.act = act
        async with anyio.create_task_group() as tasks:
            for index in range(5):
                tasks.start_soon(rig.ask, "GET", f"/demo/{index}")
            await anyio.sleep(0.0005)
            rig.net.low_s = rig.net.high_s = 0.0
            # 1.1 s in which this process does nothing: the clock alone goes on.
            import trio

            trio.lowlevel.current_clock().jump(1.1)
        arrivals = [e for _, events in acts for e in events if type(e).__name__ == "Arrival"]
        assert len(arrivals) == 5 and all(a.remaining_ms <= 10000 - 20 for a in arrivals)
        lags = [e for _, events in acts for e in events if type(e).__name__ == "Ended"]
        assert all(e.outcome is Outcome.OK for e in lags)

    run(program)


def test_the_admin_port_tells_health_readiness_and_metrics():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"x")
        text = rig.gateway.render_metrics().decode()
        assert 'cressrock_answers_total{cls="save",reason="",verdict="served"} 1.0' in text
        assert 'cressrock_fence_trips_total{fence="rule2-attempt-out"} 0.0' in text
        assert 'cressrock_nodes{state="ready"} 3.0' in text
        assert rig.gateway.not_ready_reasons() == []

    run(program)


def test_five_thousand_idle_connections_and_a_bound_on_them():
    async def program(rig):
        streams = [await rig.net.connect("gw", 80) for _ in range(5000)]
        await anyio.sleep(1)
        assert rig.gateway.server.connections == 5000
        assert (await rig.ask("PUT", "/demo/a", b"x")).status == 201
        more = [await rig.net.connect("gw", 80) for _ in range(20)]
        await anyio.sleep(1)
        assert rig.gateway.server.connections == 5010 and rig.gateway.server.turned_away > 0
        await anyio.sleep(140)  # past the idle time all are closed
        assert rig.gateway.server.connections == 0
        for stream in streams + more:
            await stream.aclose()

    run(program, changes={"front": {"listen": "127.0.0.1:8080", "max_connections": 5010}})


def test_a_head_that_drips_in_is_cut_and_a_body_that_stands_still_gives_its_place_back():
    async def program(rig):
        drip = await rig.net.connect("gw", 80)
        still = await rig.net.connect("gw", 80)
        await still.send(b"PUT /demo/a HTTP/1.1\r\nhost: gw\r\ncontent-length: 9\r\n\r\n123")
        for _ in range(30):
            try:
                await drip.send(b"G")
            except anyio.BrokenResourceError:
                break
            await anyio.sleep(1)
        await anyio.sleep(15)
        assert rig.gateway.server.connections == 0 and rig.gateway.front.open == 0
        assert rig.gateway.payload_store.memory_used_bytes == 0 and not rig.at_nodes()

    run(program)


def test_a_dispatcher_starts_again_with_its_last_list_while_old_attempts_still_run(tmp_path):
    cache = str(tmp_path / "list.json")

    async def program(rig):
        from cressrock.lab.day import _Silent
        from cressrock.programs.composition import Environment
        from cressrock.programs.gateway import Gateway

        async def write():
            await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1", leave_after_ms=150)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await anyio.sleep(0.1)
            rig.listing.failing = 1.0  # the list is away: only the file is left
            again = Gateway(rig.settings, Environment(rig.net.connect, rig.wall, 99, _Silent()))
            await rig.tasks.start(again.run)
            rig.net.listen("gw:80", again.serve)
            await anyio.sleep(0.01)
            assert again.not_ready_reasons() == []
        seen = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        assert seen.status in (201, 204)
        ran = rig.at_nodes("ran", "PUT")
        assert len(rig.at_nodes("came", "PUT")) >= 2 and len(ran) == 1

    node_list = {"address": "list:9000", "poll_ms": 200, "cache": cache}
    run(program, machine=SLOW, changes={"node_list": node_list})


def test_a_client_that_repeats_its_key_after_the_window_is_not_given_a_second_effect():
    async def program(rig):
        first = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        again = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        assert (first.status, again.status) == (201, 201)  # the rack gives the first one's answer
        await anyio.sleep(11)
        late = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        assert late.status == 502 and dict(late.headers)[b"cressrock-reason"] == b"key-window-over"
        assert len(rig.at_nodes("ran", "PUT")) == 1

    run(program)


def test_a_client_that_leaves_between_taken_and_sent_is_never_sent():
    async def program(rig):
        path = next(f"/demo/{i}" for i in range(99) if rig.home(f"/demo/{i}") == 0)
        rig.listing.publish([Listed("n1:7000", 1), Listed("n2:7000", 2)])  # shard 0 has no node
        await anyio.sleep(0.6)
        seen = await rig.ask("PUT", path, b"x", leave_after_ms=300)
        await anyio.sleep(0.1)
        assert seen.how == "left" and not rig.gateway.driver.ledger.entries
        rig.hall.publish()
        await anyio.sleep(5)
        assert not rig.at_nodes()

    run(program)


def test_an_answer_in_the_same_batch_as_the_deadline_is_given_once_and_never_contradicted():
    async def program(rig):
        """The work ends within a millisecond or so of the client's deadline, on either side of it."""
        for index in range(30):
            rig.hall.node_of(rig.home(f"/demo/{index}")).faults.slow = 0.9 + index * 0.006
            await rig.ask("PUT", f"/demo/{index}", b"x", patience_ms=1000, prefer="wait=1")
        ends = [r for r in rig.rows if r.side == "client" and r.what != "sent"]
        assert len(ends) == 30 and {r.status for r in ends} >= {201, 504}
        assert not any(rig.gateway.driver.ledger.fence_trips.values())
        assert not rig.gateway.driver.ledger.entries

    run(program, machine=Machine(unit_ms=800.0, base_ms=200.0, repeat_saves=0.0, deferred=0.0))
