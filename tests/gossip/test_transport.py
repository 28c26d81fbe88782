"""The transport in simulated time."""

import random

import anyio
import pytest

from cressrock.gossip.transport import ClusterTransport, ClusterTransportSettings, TransportEnvironment
from cressrock.membership import packets
from cressrock.membership.types import Identity
from tests.gossip.transport_support import LetterStore, SilentLog, alive_names, run_simulation, wait_until


def test_processes_join_gossip_and_readmit_a_restarted_one_over_a_lossy_network():
    async def scenario(cluster):
        cluster.net.loss, cluster.net.doubled = 0.05, 0.1
        transports = [cluster.start(f"f{n}", ["dead:1", "f0:1"], letters="abcdefgh"[n]) for n in range(6)]
        names = {f"f{n}" for n in range(6)}
        await wait_until(
            lambda: all(
                alive_names(f) == names and f.anti_entropy.store.held == set("abcdef") for f in transports
            )
        )
        assert all(f.anti_entropy.store.retained <= {(n, 1) for n in names} for f in transports)
        cluster.kill(transports[3])
        rest = transports[:3] + transports[4:]
        await wait_until(lambda: all(alive_names(f) == names - {"f3"} for f in rest))
        back = cluster.start("f3", ["f0:1"], process_incarnation=2, letters="z")
        await wait_until(
            lambda: all(alive_names(f) == names and "z" in f.anti_entropy.store.held for f in [*rest, back])
        )
        assert back.anti_entropy.store.held >= set("abcdef")

    run_simulation(scenario)


def test_the_older_of_two_processes_with_one_name_ends_with_fenced_error():
    async def scenario(cluster):
        one, other = cluster.start("a"), cluster.start("b", ["a:1"])
        await wait_until(lambda: alive_names(one) == alive_names(other) == {"a", "b"})
        cluster.start("b", ["a:1"], process_incarnation=2, address="b2:1")
        await wait_until(lambda: "b:1" in cluster.fenced_errors)
        assert cluster.fenced_errors["b:1"].code == "fleet-fenced" and "process incarnation 2" in str(
            cluster.fenced_errors["b:1"]
        )
        await anyio.sleep(20)
        assert "b2:1" not in cluster.fenced_errors
        assert {v.name: v.process_incarnation for v in one.membership.view(0)} == {"a": 1, "b": 2}

    run_simulation(scenario)


def test_a_configured_route_overrides_the_announced_address():
    async def scenario(cluster):
        one = cluster.start("a")
        # b announces an unreachable address; the route has the address at which it listens.
        environment = TransportEnvironment(
            cluster.net.datagrams("nat:1"), cluster.net.connect, lambda: anyio.current_time() * 1000
        )
        settings = ClusterTransportSettings(seeds=("a:1",))
        identity = Identity("b", 1, "inside:1")
        two = ClusterTransport(settings, identity, environment, LetterStore(), random.Random(1), SilentLog())
        cluster.net.listen("nat:1", two.serve)
        cluster.tasks.start_soon(two.run)
        await anyio.sleep(5)
        assert alive_names(two) == {"b"}
        one.settings = ClusterTransportSettings(routes={"b": "nat:1"})
        await wait_until(lambda: alive_names(one) == alive_names(two) == {"a", "b"})

    run_simulation(scenario)


def test_foreign_malformed_and_endless_bytes_are_counted_and_dropped():
    async def scenario(cluster):
        transport = cluster.start("a")
        await anyio.sleep(1)
        foreign_socket = cluster.net.datagrams("x:1")
        foreign = packets.encode("other", "x", 1, packets.IdentityRequest())
        for number in range(3000):
            foreign_socket.send("a:1", (foreign, b"\xff" * 9, b"\0" * 1300)[number % 3])
            if number % 500 == 0:
                await anyio.sleep(0.01)
        stream = await cluster.net.connect("a", 1)
        await stream.send(b"\xff\xff\xff\xff")
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await stream.receive()
        endless = await cluster.net.connect("a", 1)
        piece = packets.encode_frame(packets.encode("cressrock", "x", 1, packets.ExchangePart([])))
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                await endless.send(piece * 8)
                await anyio.sleep(0.01)
        await anyio.sleep(1)
        assert transport.drop_counts["fleet-foreign"] == transport.drop_counts["fleet-malformed"] == 1000
        assert (
            transport.drop_counts["fleet-too-large"] == 1001 and transport.drop_counts["fleet-exchange"] == 1
        )
        assert alive_names(transport) == {"a"} and not transport.membership.state.table.records

    run_simulation(scenario)


def test_concurrent_exchanges_served_are_bounded():
    async def scenario(cluster):
        transport = cluster.start("a", max_served_exchanges=2, exchange_timeout_ms=1000)
        held = [await cluster.net.connect("a", 1) for _ in range(2)]
        await anyio.sleep(0.1)
        third = await cluster.net.connect("a", 1)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await third.receive()
        assert transport.drop_counts == {"exchange-busy": 1} and transport._served_exchanges == 2
        await anyio.sleep(2)
        assert transport._served_exchanges == 0 and held

    run_simulation(scenario)
