"""The small form of `benchmarks/capacity.py`: what must not grow with the number of processes does not.

Counts and bytes of seeded runs, no times.  The last tests put in what would grow and see that it is found.
"""

import random

import pytest

from cressrock.failover.evidence_feed import EvidenceFeed
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.lab import capacity, hollow_turns
from cressrock.lab.capacity import Point
from cressrock.lab.hollow import HEADERS, HollowFleet, Size
from cressrock.membership.settings import MembershipSettings

SIZES = (64, 128, 256, 512)
FEW = (32, 64, 128, 256)  # are enough to see something broken
WARM_MS, SPAN_MS = 200, 800


def run(n, **given):
    """Play some calm and return what each process sent and holds beside its table of the others."""
    fleet = HollowFleet(Size(n, 1, loss=0.01), **given)
    for host in fleet.members:
        host.spread.put("zones/0", bytes(100))
    fleet.settle()
    fleet.run(WARM_MS)
    fleet.mark()
    begun = fleet.now
    fleet.run(begun + SPAN_MS)
    found = {}
    for kind, (size, count) in fleet.by_kind.items():
        if kind in ("ping", "ack", "digest"):
            found[f"{kind} bytes a second"] = size / n / SPAN_MS * 1000
            found[f"{kind}s a second"] = count / n / SPAN_MS * 1000
    found["datagrams a second"] = sum(count for _, count in fleet.by_kind.values()) / n / SPAN_MS * 1000
    found["bytes of the greatest datagram"] = max(host.greatest for host in fleet.members)
    found["timers"] = max(len(host.members.state.timers) for host in fleet.members)
    found["rumours waiting"] = max(len(host.members.state.queue) for host in fleet.members)
    found["probes open"] = max(len(host.members.prober) for host in fleet.members)
    found["words waiting"] = max(len(host.spread.broadcasts) for host in fleet.members)
    return found


def growing(runs):
    """Return by name what grows, and with what."""
    names = set().union(*(found for _, found in runs))
    laws = {name: capacity.fit([Point(n, found.get(name, 0.0)) for n, found in runs]) for name in names}
    return {name: capacity.law(law) for name, law in laws.items() if law.law is not capacity.CONSTANT}


def test_in_calm_nothing_that_a_process_sends_or_keeps_waiting_grows():
    runs = [(n, run(n)) for n in SIZES]
    assert growing(runs) == {}
    bound = GossipStoreSettings().idle_digest_bytes
    for _, found in runs:
        assert found["digest bytes a second"] / found["digests a second"] <= bound + HEADERS


def test_a_process_keeps_one_record_of_each_other_and_no_more():
    for n in (16, 64):
        fleet = HollowFleet(Size(n, 1, share=False))
        fleet.run(500)
        for host in fleet.members:
            assert len(host.members.state.table.records) == len(host.members.state.table.live) == n - 1
            assert len(host.spread.table.states) == 1 + (len(host.spread.table.states) > 1) * (n - 1)


def test_the_spread_is_told_who_is_admitted_when_that_changes_and_not_in_each_round():
    calls = []

    class Counting(GossipStore):
        def retain_origins(self, origins):
            calls.append(len(origins))
            super().retain_origins(origins)

    fleet = HollowFleet(Size(12, 1, loss=0.0), make_spread=Counting)
    fleet.run(3000)
    assert calls == [12] * 12  # each its first, and none of the 15 rounds after it
    fleet.restart(fleet.members[5], 500)
    fleet.run(8000)
    assert set(calls) <= set(range(1, 13)) and 12 < len(calls) <= 12 + 11 + 12
    for host in fleet.members:
        assert host.spread.table.newest["edge-0005"] == fleet.members[5].members.local.process_incarnation


def test_an_edge_that_hears_one_word_looks_at_nobody_elses():
    class Runtime:
        on_gossip_change = []

        def __init__(self):
            self.gossip = hollow_turns.spread_of(30)
            self.gossip.values = lambda key: pytest.fail("looked at everybody")
            self.evidence, self.collected = self, []

        def receive_gossip(self, origin, key, value):
            self.collected.append((origin, key))

    runtime = Runtime()
    heard = EvidenceFeed(hollow_turns.zones_of(30), runtime, lambda: 0.0)
    for origin in list(runtime.gossip.table.states)[:7]:
        heard.on_gossip_change(origin, hollow_turns.WORD)
        heard.on_gossip_change(origin, "decree/zones")
    assert len(heard.evidence.latest_intervals()) == 7
    assert runtime.collected == [(o, hollow_turns.WORD) for o in list(runtime.gossip.table.states)[:7]]
    runtime.gossip.merge(removed(runtime.gossip, "edge-0003"))
    heard.on_gossip_change(("edge-0003", hollow_turns.FIRST_LIFE + 3), hollow_turns.WORD)
    assert heard.evidence.reports(0.0)[("edge-0003", hollow_turns.FIRST_LIFE + 3)] == {}


def removed(spread, name):
    """Return the bytes by which another removes its word."""
    life = dict(spread.table.order)[name]
    other = GossipStore(name, life, spread.settings, random.Random(1))
    other.put(hollow_turns.WORD, b"x")
    other.remove(hollow_turns.WORD)
    return other.recent_changes(1000)


class Everybody(GossipStore):
    """A digest that names everybody."""

    def digest(self, max_bytes):
        self.reconciliation.catch_up_digests = 1
        return super().digest(10**9)


def test_a_digest_that_names_a_quarter_of_everybody_is_found():
    class Part(GossipStore):
        def digest(self, max_bytes):
            self.reconciliation.catch_up_digests = 1
            return super().digest(22 * len(self.table.order) // 4 + 120)

    runs = [(n, run(n, make_spread=Part)) for n in FEW]
    assert growing(runs)["digest bytes a second"].startswith("n:")


def test_a_digest_that_names_everybody_is_found():
    runs = [(n, run(n, make_spread=Everybody)) for n in FEW]
    found = growing(runs)
    assert found["digest bytes a second"].startswith("n:")
    assert found["bytes of the greatest datagram"].startswith("n:")


def test_probes_that_grow_with_the_members_are_found():
    runs = [(n, run(n, members=MembershipSettings(probes_per_period=n // 16))) for n in FEW]
    assert growing(runs)["pings a second"].startswith("n:")
