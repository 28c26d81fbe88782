"""A process's channel, without a network: entries are never nowhere, and nothing spins."""

import dataclasses

import pytest

from cressrock.errors.gossip import OriginFullError
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member
from tests.aggregation.support import ChannelNetwork

ENTRY = {"zones/0": b"v"}


@pytest.fixture
def network():
    """Return five edges that report to collectors from the second edge on."""
    return ChannelNetwork(5, max_gossip_senders=1)


def stop_announcing(network, replicas):
    """Let replicas say nothing of collecting, as those of older programs do."""
    for name in replicas:
        network.members[name] = dataclasses.replace(network.members[name], extra=b"")
    network.announce_changes()


def test_entries_move_from_gossip_to_collectors_and_back_and_are_never_nowhere(network):
    for edge in network.edges:
        edge.publish("zones/0", b"v")
        assert edge.gossip.held == ENTRY, "as before, until the way is decided"
    for _ in range(100):
        network.run(50)
        collectors = [network.channels[name].collector for name in network.replicas]
        collected = [one.summarizer.summarizers["listed"].reported for one in collectors]
        for edge in network.edges:
            assert edge.gossip.held or any(edge.me in reported for reported in collected), "nowhere"
    assert all(
        edge.uses_collectors and not edge.gossip.held and edge.sender.is_acknowledged()
        for edge in network.edges
    )
    stop_announcing(network, network.replicas[1:])
    network.run(12000)  # by gossip again, after a hold
    assert all(not edge.uses_collectors and edge.gossip.held == ENTRY for edge in network.edges)
    assert "announce no collect/1" in network.edges[0].status()["why"]


def test_many_without_collectors_do_not_all_write_gossip_at_once():
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
    assert min(intervals_ms) >= 60000 and len(set(intervals_ms)) == 3, "drawn"
    assert [edge.gossip.writes for edge in network.edges] == writes
    network.run(200000)
    assert all(edge.gossip.held for edge in network.edges)


def test_a_channel_that_reports_by_gossip_has_nothing_due_at_once_for_ever():
    network = ChannelNetwork(3)
    for _ in range(60):
        network.run(1000)
        channels = network.channels.values()
        assert all(channel.sender.next_due_ms() > network.now_ms for channel in channels), "it would spin"


def test_a_channel_that_reports_to_collectors_has_nothing_due_at_once_for_ever():
    network = ChannelNetwork(3, max_gossip_senders=1)
    network.run(3000)
    for _ in range(40):
        network.run(1000)
        assert all(edge.sender.next_due_ms() > network.now_ms for edge in network.edges), "it would spin"


def test_a_full_gossip_store_ends_nothing(monkeypatch):
    network = ChannelNetwork(3, max_gossip_senders=1)
    network.run(43000)
    edge = network.edges[0]

    def full(key, value):
        raise OriginFullError("no room")

    monkeypatch.setattr(edge.gossip, "put", full)
    edge.publish("zones/0", b"v")
    stop_announcing(network, network.replicas)
    network.run(15000)
    assert edge.unsent == 1 and not edge.uses_collectors
    edge.publish("zones/1", b"x" * 9000)
    assert edge.unsent == 2
