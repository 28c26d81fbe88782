"""Counters, and causal removal of map items."""

import pytest

from cressrock.gossip.messages import MessageKind
from tests.gossip.support import MAX_MESSAGE_BYTES, make_store, sync, sync_all


def test_counters_sum_over_origins_and_fall_when_an_origin_is_dropped():
    a, b = make_store("a"), make_store("b")
    a.increment("n", 5)
    a.increment("n")
    b.increment("n", 2)
    with pytest.raises(ValueError):
        a.increment("n", -1)
    sync(a, b)
    assert a.counter_total("n") == b.counter_total("n") == 8
    assert b.counters("n") == {("a", 1): 6, ("b", 1): 2}
    b.retain_origins([("b", 1)])
    assert b.counter_total("n") == 2


def test_a_concurrent_add_survives_a_removal_and_no_records_remain():
    a, b, c = make_store("a"), make_store("b"), make_store("c")
    a.add_item("room", "x", b"1")
    sync_all([a, b, c])
    b.discard_item("room", "x")
    c.add_item("room", "x", b"2")
    a.add_item("room", "x", b"3")  # a newer dot of the same origin, which b has not received
    sync_all([a, b, c])
    for s in (a, b, c):
        assert s.items("room") == {"x": {("a", 1): b"3", ("c", 1): b"2"}}
    c.discard_item("room", "x")
    sync_all([a, b, c])
    for s in (a, b, c):
        assert s.items("room") == {} and not s.table.removals.recorded and not s.table.index


def test_an_item_stays_hidden_after_its_completed_removal_is_deleted():
    a, b, c = make_store("a"), make_store("b"), make_store("c")
    a.add_item("room", "x", b"1")
    sync_all([a, b, c])
    b.discard_item("room", "x")
    sync(b, c)
    assert c.items("room") == {}
    sync(a, b)  # a removes its item, which makes b's removal obsolete
    sync(b, a)
    stale = c.snapshot()[("a", 1)]
    own_origins = [s for s in b.table.order if s[0] == "b"]
    assert own_origins
    empty = make_store("z")
    empty.merge(b.delta(empty.digest(MAX_MESSAGE_BYTES), MAX_MESSAGE_BYTES))
    only_b = b.reconciliation.encode_after(MessageKind.DELTA, [(("b", 1), 0)], MAX_MESSAGE_BYTES)[0]
    c.merge(only_b)
    assert c.snapshot()[("a", 1)] == stale and not c.table.removals.recorded
    assert c.items("room") == {} and c.table.removals.hidden
    sync(a, c)
    assert c.items("room") == {} and not c.table.removals.hidden


def test_a_removal_survives_the_restart_of_its_remover():
    a, b, c = make_store("a"), make_store("b"), make_store("c")
    a.add_item("room", "x", b"1")
    sync_all([a, b, c])
    b.discard_item("room", "x")
    sync(b, c)
    # b has restarted with a new process incarnation before a received the removal.
    c.retain_origins([("a", 1), ("c", 1), ("b", 2)])
    assert ("b", 1) not in c.snapshot() and c.items("room") == {}
    sync(a, c)
    sync(a, c)
    assert a.items("room") == c.items("room") == {}
    assert not any(p is not None for s in (a, c) for _, _, e in s.snapshot().values() for _, p in e.values())


def test_removals_of_a_dropped_origins_items_are_dropped():
    a, b = make_store("a"), make_store("b")
    a.add_item("room", "x", b"1")
    sync(a, b)
    b.discard_item("room", "x")
    b.retain_origins([("b", 1)])
    assert not b.table.removals.recorded and not b.table.removals.hidden and not b.table.index
    assert [p for _, p in b.snapshot()[("b", 1)][2].values()] == [None]
