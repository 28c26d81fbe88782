"""Merging: stores converge in spite of reordered, lost and repeated messages."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import full_state_parts
from cressrock.lab.spreadsim import SpreadNet
from tests.gossip.support import (
    MAX_MESSAGE_BYTES,
    WRITES,
    make_store,
    read_and_check_state,
    sync,
    sync_all,
    write,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(WRITES, st.integers(0, 2**32), st.integers(120, MAX_MESSAGE_BYTES), st.sampled_from([1, 128]))
def test_merging_is_independent_of_order_repetition_and_splits(writes, seed, size, retained):
    """Compare replicas that receive one writer's messages with a model: the highest version of each key."""
    rng = random.Random(seed)
    writer = make_store(retained_tombstones=retained)
    model, messages = {}, []
    for number, operation in enumerate(writes):
        write(writer, operation)
        messages.append(writer.recent_changes(size))
        if number % 5 == 0:
            messages += full_state_parts(writer, size)
        for entry_key, entry in writer.snapshot()[("a", 1)][2].items():
            model[(entry_key, entry[0])] = entry
    messages = [p for p in messages if p]
    delivered = [p for p in messages if rng.random() < 0.8]  # all replicas miss the same messages
    replicas = []
    for number in range(3):
        replica = make_store("t", number + 1)
        deliveries = delivered + rng.choices(delivered, k=len(delivered)) if delivered else []
        rng.shuffle(deliveries)
        if number == 2:  # the first half arrives through a relay store
            middle = len(deliveries) // 2
            relay = make_store("m", 1)
            for message in deliveries[:middle]:
                relay.merge(message)
            for message in deliveries[middle:]:
                replica.merge(message)
            for message in (*full_state_parts(relay, 10**6), relay.recent_changes(10**6)):
                if message:
                    replica.merge(message)
        else:
            for message in deliveries:
                replica.merge(message)
        replicas.append(replica)
    for replica in replicas:
        known, floor, entries = replica.snapshot().get(("a", 1), (0, 0, {}))
        for entry_key, entry in entries.items():
            assert model[(entry_key, entry[0])] == entry  # every stored entry was written
        # For each key, the entry as of version `known` or a newer one must be present.
        for entry_key, version in model:
            if version <= known and (entry_key in entries or version > floor):
                assert entries[entry_key][0] >= version
        read_and_check_state(replica)
    states = [replica.snapshot().get(("a", 1)) for replica in replicas[:2]]
    assert retained == 1 or states[0] == states[1]  # sweep progress may differ between replicas
    for replica in replicas:
        sync(writer, replica)
        assert replica.snapshot().get(("a", 1), (0, 0, {})) == writer.snapshot()[("a", 1)]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2), WRITES.map(lambda w: w[:4])), max_size=12),
    st.integers(0, 2**32),
    st.sampled_from([1, 2, 128]),
)
def test_three_writers_converge_despite_losses(steps, seed, retained):
    rng = random.Random(seed)
    members = [make_store(n, 1, seed, retained_tombstones=retained) for n in "abc"]
    for writer_index, writes in steps:
        for operation in writes:
            write(members[writer_index], operation)
        to = rng.choice(members)
        for data in (
            members[writer_index].recent_changes(MAX_MESSAGE_BYTES),
            members[writer_index].delta(to.digest(MAX_MESSAGE_BYTES), 200),
        ):
            if data and rng.random() < 0.7:
                to.merge(data)
                if rng.random() < 0.3:
                    to.merge(data)
    sync_all(members)
    views = [read_and_check_state(m) for m in members]
    assert views[0] == views[1] == views[2]
    for member in members:
        own = member.snapshot()[member.local]
        for other in members:
            assert other.snapshot().get(member.local, (0, 0, {}))[0] == own[0]
        # Removals must not accumulate: each is deleted once its item's entry is gone.
        assert not any(k[0] == 3 and p is not None for k, (_, p) in own[2].items())
        assert not member.table.removals.hidden and not member.table.removals.recorded
        assert member.size_bytes() == sum(s.size_bytes for s in member.table.states.values())
        assert member.size_bytes() == sum(
            e.estimated_bytes for s in member.table.states.values() for e in s.entries.values()
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
    b.merge(a.recent_changes(MAX_MESSAGE_BYTES))
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


def test_ranges_ahead_are_bounded_and_forgotten_ones_are_sent_again():
    # With this factor, each change is broadcast once.
    a, b = make_store("a", retransmit_factor=0.1), make_store("b", max_ranges_ahead=2)
    broadcasts = []
    for number in range(20):
        a.put(f"k{number}", b"v")
        broadcasts.append(a.recent_changes(MAX_MESSAGE_BYTES))
    for data in broadcasts[1::2]:
        b.merge(data)
    assert len(b.table.states[("a", 1)].ahead) == 2
    sync(a, b)
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


@pytest.mark.parametrize("seed", range(1, 5))
def test_a_small_cluster_converges_despite_loss_and_a_partition(seed):
    print("seed", seed)
    net = SpreadNet(24, seed, loss=0.2, settings=GossipStoreSettings(retained_tombstones=3))
    net.joined = lambda a, b: (a < 12) == (b < 12)
    rng = random.Random(seed)
    for _ in range(25):
        s = rng.choice(net.spreads)
        write(s, (rng.choice(["put", "remove", "count", "add", "discard"]), "k", rng.choice("xyz"), 5))
        net.round()
    net.joined = lambda a, b: True
    rounds = 0
    while net.behind():
        net.round()
        rounds += 1
        assert rounds < 60
    for _ in range(30):  # removals reach the items' origins, and become obsolete
        net.round()
    views = [read_and_check_state(s) for s in net.spreads]
    assert all(view == views[0] for view in views)
    assert not any(s.table.removals.recorded or s.table.removals.hidden for s in net.spreads)
