"""Channels on a simulated network: no entry is lost in a change of mode, and the run loop does not spin."""

import dataclasses

import pytest

from cressrock.errors.gossip import OriginFullError
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member
from tests.aggregation.support import ChannelNetwork

ENTRY = {"zones/0": b"v"}


@pytest.fixture
def network():
    """Return a network of five edges that report to collectors, as the limit for gossip is one."""
    return ChannelNetwork(5, max_gossip_senders=1)


def stop_announcing(network, replicas):
    """Withdraw the capability of replicas, as if they ran an older program."""
    for name in replicas:
        network.members[name] = dataclasses.replace(network.members[name], extra=b"")
    network.announce_changes()


def test_entries_stay_available_while_switching_between_gossip_and_collectors(network):
    for edge in network.edges:
        edge.publish("zones/0", b"v")
        assert edge.gossip.stored == ENTRY, "gossip is used until the mode is decided"
    for _ in range(100):
        network.run(50)
        collectors = [network.channels[name].collector for name in network.replicas]
        collected = [
            node_collector.summarizer.summarizers["listed"].reported for node_collector in collectors
        ]
        for edge in network.edges:
            assert edge.gossip.stored or any(edge.own_id in reported for reported in collected), (
                "entry is neither in gossip nor at a collector"
            )
    assert all(
        edge.uses_collectors and not edge.gossip.stored and edge.sender.is_acknowledged()
        for edge in network.edges
    )
    stop_announcing(network, network.replicas[1:])
    network.run(12000)  # longer than the hold time: back to gossip
    assert all(not edge.uses_collectors and edge.gossip.stored == ENTRY for edge in network.edges)
    assert "announce no collect/1" in network.edges[0].status()["why"]


def test_gossip_writes_are_spread_when_a_large_fleet_loses_its_collectors():
    network = ChannelNetwork(3, max_gossip_senders=1)
    for channel in network.channels.values():
        channel.publish("zones/0", b"v")
    network.run(3000)
    for n in range(4800):
        network.members[f"x{n}"] = Member(f"x{n}", 1, "edge", "b", "", "", MemberState.ALIVE, 0.0, b"")
    for name in network.replicas:
        del network.members[name]
        network.dead.add(name)
    network.announce_changes()
    writes = [edge.gossip.writes for edge in network.edges]
    network.run(20000)
    assert all(not edge.uses_collectors for edge in network.edges)
    intervals_ms = [edge.min_interval_ms() for edge in network.edges]
    assert min(intervals_ms) >= 60000 and len(set(intervals_ms)) == 3, "intervals are randomized"
    assert [edge.gossip.writes for edge in network.edges] == writes
    network.run(200000)
    assert all(edge.gossip.stored for edge in network.edges)


def test_run_loop_does_not_spin_while_reporting_by_gossip():
    network = ChannelNetwork(3)
    for _ in range(60):
        network.run(1000)
        channels = network.channels.values()
        assert all(channel.sender.next_due_ms() > network.now_ms for channel in channels), (
            "a due time in the past makes `run` spin"
        )


def test_run_loop_does_not_spin_while_reporting_to_collectors():
    network = ChannelNetwork(3, max_gossip_senders=1)
    network.run(3000)
    for _ in range(40):
        network.run(1000)
        assert all(edge.sender.next_due_ms() > network.now_ms for edge in network.edges), (
            "a due time in the past makes `run` spin"
        )


def test_full_gossip_store_is_counted_and_does_not_raise(monkeypatch):
    network = ChannelNetwork(3, max_gossip_senders=1)
    network.run(43000)
    edge = network.edges[0]

    def raise_store_full(key, value):
        raise OriginFullError("no room")

    monkeypatch.setattr(edge.gossip, "put", raise_store_full)
    edge.publish("zones/0", b"v")
    stop_announcing(network, network.replicas)
    network.run(15000)
    assert edge.unsent == 1 and not edge.uses_collectors
    edge.publish("zones/1", b"x" * 9000)
    assert edge.unsent == 2
