"""Merging: in any order, with losses and repetitions, stores converge."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import full_state_parts
from cressrock.lab.spreadsim import SpreadNet
from tests.gossip.support import BYTES, WRITES, make_store, readable_state, sync, sync_all, write


@settings(max_examples=200, deadline=None, derandomize=True)
@given(WRITES, st.integers(0, 2**32), st.integers(120, BYTES), st.sampled_from([1, 128]))
def test_merging_is_independent_of_order_repetition_and_splits(writes, seed, size, keep):
    """The parcels of one history, against the set-theoretic model: the greatest version of each key heard."""
    source = random.Random(seed)
    writer = make_store(retained_tombstones=keep)
    model, parcels = {}, []
    for number, todo in enumerate(writes):
        write(writer, todo)
        parcels.append(writer.recent_changes(size))
        if number % 5 == 0:
            parcels += full_state_parts(writer, size)
        for slot, entry in writer.snapshot()[("a", 1)][2].items():
            model[(slot, entry[0])] = entry
    parcels = [p for p in parcels if p]
    kept = [p for p in parcels if source.random() < 0.8]  # the same losses for all
    takers = []
    for number in range(3):
        taker = make_store("t", number + 1)
        told = kept + source.choices(kept, k=len(kept)) if kept else []
        source.shuffle(told)
        if number == 2:  # in two groups, of which one reaches the other only by a third
            cut = len(told) // 2
            between = make_store("m", 1)
            for parcel in told[:cut]:
                between.merge(parcel)
            for parcel in told[cut:]:
                taker.merge(parcel)
            for parcel in (*full_state_parts(between, 10**6), between.recent_changes(10**6)):
                if parcel:
                    taker.merge(parcel)
        else:
            for parcel in told:
                taker.merge(parcel)
        takers.append(taker)
    for taker in takers:
        known, floor, entries = taker.snapshot().get(("a", 1), (0, 0, {}))
        for slot, entry in entries.items():
            assert model[(slot, entry[0])] == entry  # nothing that was never written
        # The claim of the mark: each key as of `known`, or newer.
        for slot, version in model:
            if version <= known and (slot in entries or version > floor):
                assert entries[slot][0] >= version
        readable_state(taker)
    states = [taker.snapshot().get(("a", 1)) for taker in takers[:2]]
    assert keep == 1 or states[0] == states[1]  # with sweeps, how far each came may differ
    for taker in takers:
        sync(writer, taker)
        assert taker.snapshot().get(("a", 1), (0, 0, {})) == writer.snapshot()[("a", 1)]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2), WRITES.map(lambda w: w[:4])), max_size=12),
    st.integers(0, 2**32),
    st.sampled_from([1, 2, 128]),
)
def test_three_writers_converge_despite_losses(turns, seed, keep):
    source = random.Random(seed)
    members = [make_store(n, 1, seed, retained_tombstones=keep) for n in "abc"]
    for who, writes in turns:
        for todo in writes:
            write(members[who], todo)
        to = source.choice(members)
        for data in (members[who].recent_changes(BYTES), members[who].delta(to.digest(BYTES), 200)):
            if data and source.random() < 0.7:
                to.merge(data)
                if source.random() < 0.3:
                    to.merge(data)
    sync_all(members)
    views = [readable_state(m) for m in members]
    assert views[0] == views[1] == views[2]
    for member in members:
        own = member.snapshot()[member.local]
        for other in members:
            assert other.snapshot().get(member.local, (0, 0, {}))[0] == own[0]
        # No growth: a removal's record goes once its dot is gone.
        assert not any(k[0] == 3 and p is not None for k, (_, p) in own[2].items())
        assert not member.table.removals.hidden and not member.table.removals.recorded
        assert member.size_bytes() == sum(s.size_bytes for s in member.table.states.values())
        assert member.size_bytes() == sum(
            e.cost for s in member.table.states.values() for e in s.entries.values()
        )


def test_a_message_out_of_order_does_not_raise_the_known_version_over_a_gap():
    a, b = make_store("a"), make_store("b")
    for number in range(6):
        a.put(f"k{number}", b"v")
    whole = list(full_state_parts(a, 76))
    assert len(whole) > 2
    b.merge(whole[-1])
    assert b.snapshot()[("a", 1)][0] == 0 and b.values("k5") == {("a", 1): b"v"}
    for data in reversed(whole[:-1]):
        b.merge(data)
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


def test_broadcasts_alone_close_the_gaps_of_a_rewritten_key():
    a, b = make_store("a"), make_store("b")
    a.put("other", b"v")
    for number in range(50):
        a.increment("n")
        if number == 20:
            a.put("between", b"v")
    b.merge(a.recent_changes(BYTES))
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


def test_ranges_ahead_are_bounded_and_forgotten_ones_are_sent_again():
    a, b = make_store("a", retransmit_factor=0.1), make_store("b", max_ranges_ahead=2)  # each is told once
    rumours = []
    for number in range(20):
        a.put(f"k{number}", b"v")
        rumours.append(a.recent_changes(BYTES))
    for data in rumours[1::2]:
        b.merge(data)
    assert len(b.table.states[("a", 1)].ahead) == 2
    sync(a, b)
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


@pytest.mark.parametrize("seed", range(1, 5))
def test_a_small_cluster_converges_despite_loss_and_a_partition(seed):
    print("seed", seed)
    net = SpreadNet(24, seed, loss=0.2, settings=GossipStoreSettings(retained_tombstones=3))
    net.joined = lambda a, b: (a < 12) == (b < 12)
    source = random.Random(seed)
    for _ in range(25):
        s = source.choice(net.spreads)
        write(s, (source.choice(["put", "remove", "count", "add", "discard"]), "k", source.choice("xyz"), 5))
        net.round()
    net.joined = lambda a, b: True
    rounds = 0
    while net.behind():
        net.round()
        rounds += 1
        assert rounds < 60
    for _ in range(30):  # removals are told to the dots' origins, and their records go
        net.round()
    views = [readable_state(s) for s in net.spreads]
    assert all(view == views[0] for view in views)
    assert not any(s.table.removals.recorded or s.table.removals.hidden for s in net.spreads)
