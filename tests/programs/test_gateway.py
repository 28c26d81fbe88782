"""End-to-end tests of a gateway in simulated time, with real decisions, simulated nodes and faults."""

import anyio
import pytest

from cressrock.http.server import MAX_HEADER_FIELDS
from cressrock.interface import Outcome
from cressrock.lab.listing import Listed
from cressrock.lab.model import Machine
from tests.rig import run

SLOW = Machine(unit_ms=200.0, base_ms=50.0)
LOCK = b'<lockinfo xmlns="DAV:"><lockscope><exclusive/></lockscope><locktype><write/></locktype></lockinfo>'


def test_put_and_get_with_conditions_and_ranges():
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


def test_collection_operations_across_three_shards():
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


def test_collection_lock_applies_on_every_shard():
    async def program(rig):
        await rig.ask("MKCOL", "/demo/c")
        lock_events = []
        rig.gateway.front.locked = lambda *what: lock_events.append(what)
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
        assert lock_events == [("s", token.strip("<>"), True), ("s", token.strip("<>"), False)]
        assert (await rig.ask("PUT", "/demo/c/0", b"y")).status == 204

    run(program)


def test_large_payload_is_uploaded_and_downloaded_in_bounded_memory():
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


def test_no_attempts_are_sent_after_the_client_disconnects():
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


def test_client_disconnects_during_upload_and_during_download():
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


def test_truncated_node_response_is_never_a_complete_success():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"a" * 500000)
        rig.node("/demo/a").faults.truncated = 1.0
        seen = await rig.ask("GET", "/demo/a")
        assert seen.how == "cut" and 0 < len(seen.body) < 500000
        # A small response is buffered completely before it is forwarded, so a truncated one can be retried.
        rig.node("/demo/a").faults.truncated = 0.0
        await rig.ask("PUT", "/demo/s", b"s")
        rig.node("/demo/s").faults.truncated = 0.5
        seen = [await rig.ask("GET", "/demo/s") for _ in range(12)]
        assert {s.body for s in seen if s.status == 200} == {b"s"}
        assert sum(s.status == 200 for s in seen) > 6 and all(s.how == "answered" for s in seen)

    run(program)


def test_keyed_write_with_a_lost_response_is_retried_without_a_second_effect():
    async def program(rig):
        for index in range(20):
            rig.node(f"/demo/{index}").faults.reset = 0.5
            await rig.ask("PUT", f"/demo/{index}", b"x", patience_ms=14000)
        ran = rig.at_nodes("ran", "PUT")
        assert len(rig.at_nodes("came", "PUT")) > 25 and len(ran) == len({r.key for r in ran}) == 20
        answers = [r.status for r in rig.rows if r.side == "client" and r.what == "answered"]
        assert answers.count(201) >= 15 and set(answers) <= {201, 502}

    run(program)


def test_hung_write_is_retried_only_on_its_shard_within_the_key_window_and_fails():
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


def test_pooled_connection_closed_by_the_node_is_not_reused():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"x")
        for stream in list(rig.net.streams[f"n{rig.home('/demo/a')}:7000"]):
            await stream.aclose()
        await anyio.sleep(0.1)
        assert (await rig.ask("PUT", "/demo/a", b"y")).status == 204
        assert [r.attempt for r in rig.at_nodes("came", "PUT")] == [0, 0]

    run(program)


def test_pipelined_requests_are_answered_in_order():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"first")
        await rig.ask("PUT", "/demo/b", b"second")
        text = b"".join(b"GET /demo/%s HTTP/1.1\r\nhost: gw\r\n\r\n" % p for p in (b"a", b"b", b"a"))
        got = await rig.raw(text, wait=3)
        assert got.count(b"HTTP/1.1 200") == 3
        assert got.index(b"first") < got.index(b"second") < got.rindex(b"first")

    run(program)


def test_expect_continue_chunked_body_and_response_before_the_body_ends():
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
def test_smuggled_or_malformed_request_is_rejected_without_a_storage_operation(text):
    async def program(rig):
        got = await rig.raw(text + b"GET /demo/next HTTP/1.1\r\nhost: gw\r\n\r\n" * 2, wait=30)
        assert got.startswith((b"HTTP/1.1 4", b"HTTP/1.1 501"))
        assert not [r for r in rig.at_nodes() if r.path == "/demo/x"]
        assert rig.gateway.front.open == 0

    run(program)


def test_request_waits_for_the_cold_replacement_of_a_draining_node():
    async def program(rig):
        path = next(f"/demo/{i}" for i in range(99) if rig.home(f"/demo/{i}") == 0)
        await rig.ask("PUT", path, b"x")
        rig.listing.publish([Listed("n0:7000", 0, draining=True), Listed("n1:7000", 1), Listed("n2:7000", 2)])
        await anyio.sleep(0.6)
        drain_listed_ms = rig.clock()

        async def replace_node():
            await anyio.sleep(1)
            await rig.hall.start(0, "n0:8000", cold=True)
            rig.hall.places.pop("n0:7000")
            rig.hall.publish()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replace_node)
            seen = await rig.ask("GET", path, patience_ms=9000)
        assert seen.body == b"x"
        came = [r for r in rig.at_nodes() if r.t_ms > drain_listed_ms and r.shard == 0]
        assert {r.node for r in came} == {"n0:8000"}

    run(program)


def test_slow_reader_does_not_occupy_a_node_slot():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"a" * 4000000)
        stream = await rig.net.connect("gw", 80)
        await stream.send(b"GET /demo/a HTTP/1.1\r\nhost: gw\r\n\r\n")
        await anyio.sleep(5)
        decisions = rig.gateway.driver.decisions
        assert not any(endpoint.in_flight for endpoint in decisions.endpoints.by_name.values())
        await anyio.sleep(40)  # the front end disconnects a client that reads nothing
        assert not rig.gateway.driver.ledger.entries and rig.gateway.node_client.connection_count() < 4
        await stream.aclose()

    run(program)


def test_stop_drains_open_requests_and_accepts_no_new_ones():
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


def test_remaining_time_accounts_for_a_pause_of_the_process():
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
            # The process pauses for 1.1 s while the clock advances.
            import trio

            trio.lowlevel.current_clock().jump(1.1)
        arrivals = [e for _, events in acts for e in events if type(e).__name__ == "Arrival"]
        assert len(arrivals) == 5 and all(a.remaining_ms <= 10000 - 20 for a in arrivals)
        lags = [e for _, events in acts for e in events if type(e).__name__ == "Ended"]
        assert all(e.outcome is Outcome.OK for e in lags)

    run(program)


def test_metrics_and_readiness_after_a_request():
    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"x")
        text = rig.gateway.render_metrics().decode()
        assert 'cressrock_answers_total{cls="save",reason="",verdict="served"} 1.0' in text
        assert 'cressrock_fence_trips_total{fence="rule2-attempt-out"} 0.0' in text
        assert 'cressrock_nodes{state="ready"} 3.0' in text
        assert rig.gateway.not_ready_reasons() == []

    run(program)


def test_five_thousand_idle_connections_and_the_connection_limit():
    async def program(rig):
        streams = [await rig.net.connect("gw", 80) for _ in range(5000)]
        await anyio.sleep(1)
        assert rig.gateway.server.connections == 5000
        assert (await rig.ask("PUT", "/demo/a", b"x")).status == 201
        more = [await rig.net.connect("gw", 80) for _ in range(20)]
        await anyio.sleep(1)
        assert rig.gateway.server.connections == 5010 and rig.gateway.server.turned_away > 0
        await anyio.sleep(140)  # after the idle timeout all are closed
        assert rig.gateway.server.connections == 0
        for stream in streams + more:
            await stream.aclose()

    run(program, changes={"front": {"listen": "127.0.0.1:8080", "max_connections": 5010}})


def test_slow_request_head_and_stalled_body_time_out_and_free_their_slots():
    async def program(rig):
        slow_head = await rig.net.connect("gw", 80)
        stalled_body = await rig.net.connect("gw", 80)
        await stalled_body.send(b"PUT /demo/a HTTP/1.1\r\nhost: gw\r\ncontent-length: 9\r\n\r\n123")
        for _ in range(30):
            try:
                await slow_head.send(b"G")
            except anyio.BrokenResourceError:
                break
            await anyio.sleep(1)
        await anyio.sleep(15)
        assert rig.gateway.server.connections == 0 and rig.gateway.front.open == 0
        assert rig.gateway.payload_store.memory_used_bytes == 0 and not rig.at_nodes()

    run(program)


def fields(count):
    return b"".join(b"f%d:\r\n" % number for number in range(count))


@pytest.mark.parametrize("is_complete", [True, False], ids=["complete", "incomplete"])
def test_a_head_of_very_many_short_fields_is_rejected_before_it_is_parsed(is_complete):
    """Regression (issue 61, picture (a)): each field of a few bytes took some hundred in memory."""

    async def program(rig):
        count = MAX_HEADER_FIELDS + 1
        head = b"OPTIONS * HTTP/1.1\r\nHost: gw\r\n" + fields(count) + b"\r\n" * is_complete
        got = await rig.raw(head)
        assert got.startswith(b"HTTP/1.1 431 ")
        assert got.count(b"HTTP/1.1") == 1

    run(program)


def test_the_fields_of_each_head_are_counted_alone():
    """Bodies of many lines and pipelined requests do not count as fields."""

    async def program(rig):
        options = b"OPTIONS * HTTP/1.1\r\nHost: gw\r\n" + fields(MAX_HEADER_FIELDS - 10) + b"\r\n"
        body = b"\n" * 5000
        put = b"PUT /demo/lines HTTP/1.1\r\nHost: gw\r\nContent-Length: 5000\r\n\r\n" + body
        got = await rig.raw(options + put + options + put + options, wait=5.0)
        assert got.count(b"HTTP/1.1 200 ") == 3
        assert got.count(b"HTTP/1.1 201 ") == 1
        assert got.count(b"HTTP/1.1 204 ") == 1

    run(program)


def test_restarted_dispatcher_uses_the_cached_node_list_while_old_attempts_run(tmp_path):
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
            rig.listing.failing = 1.0  # the node list is unavailable: only the cache file remains
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


def test_repeating_an_idempotency_key_after_its_window_has_no_second_effect():
    async def program(rig):
        first = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        again = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        assert (first.status, again.status) == (201, 201)  # the shard returns the first request's response
        await anyio.sleep(11)
        late = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        assert late.status == 502 and dict(late.headers)[b"cressrock-reason"] == b"key-window-over"
        assert len(rig.at_nodes("ran", "PUT")) == 1

    run(program)


def test_a_key_is_kept_for_its_window_whatever_the_configured_time():
    """Guards against a second effect behind a key that left the memory before its window ended."""

    async def program(rig):
        await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        await anyio.sleep(11)
        late = await rig.ask("PUT", "/demo/a", b"x", idempotency_key="k1")
        assert late.status == 502
        assert len(rig.at_nodes("ran", "PUT")) == 1

    run(program, changes={"front": {"key_memory_ms": 0}})


def test_request_of_a_disconnected_client_is_not_sent_to_a_node():
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


def test_response_in_the_same_batch_as_the_deadline_is_delivered_once():
    async def program(rig):
        """The operations end about a millisecond before or after the client's deadline."""
        for index in range(30):
            rig.hall.node_of(rig.home(f"/demo/{index}")).faults.slow = 0.9 + index * 0.006
            await rig.ask("PUT", f"/demo/{index}", b"x", patience_ms=1000, prefer="wait=1")
        ends = [r for r in rig.rows if r.side == "client" and r.what != "sent"]
        assert len(ends) == 30 and {r.status for r in ends} >= {201, 504}
        assert not any(rig.gateway.driver.ledger.fence_trips.values())
        assert not rig.gateway.driver.ledger.entries

    run(program, machine=Machine(unit_ms=800.0, base_ms=200.0, repeat_saves=0.0, deferred=0.0))
