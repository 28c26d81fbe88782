"""Limits of entries, stores, broadcasts and messages."""

import msgspec
import pytest

from cressrock.errors.gossip import EntryTooLargeError, OriginFullError
from cressrock.gossip.change_log import EVERYTHING_CHANGED
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import full_state_parts
from tests.gossip.support import MAX_MESSAGE_BYTES, make_store, sync


def test_own_writes_beyond_a_limit_raise_and_change_nothing():
    a = make_store("a", max_origin_bytes=2000, max_total_bytes=8000)
    for key, value in (("k" * 129, b""), ("", b""), ("k", b"v" * 641)):
        with pytest.raises(EntryTooLargeError):
            a.put(key, value)
    for number in range(4):
        a.put(f"k{number}", b"")
    before = a.snapshot(), a.size_bytes()
    with pytest.raises(OriginFullError) as raised:
        a.put("one more", b"")
    assert before == (a.snapshot(), a.size_bytes()) and "1608 bytes" in raised.value.text
    a.remove("k0")
    a.put("one more", b"")  # discarding the tombstone frees enough space
    assert a.snapshot()[("a", 1)][1] == 5
    a.increment("k1", 0)
    with pytest.raises(ValueError):
        GossipStoreSettings(max_total_bytes=1000)
    with pytest.raises(ValueError):
        GossipStoreSettings(retained_tombstones=0)


def test_received_entries_beyond_a_limit_are_rejected_and_evict_no_others():
    a, c = make_store("a"), make_store("c")
    b = make_store("b", max_origin_bytes=2000, max_total_bytes=8000, max_origins=3)
    c.put("k", b"c")
    sync(c, b)
    for number in range(30):
        a.put(f"k{number}", b"")
    b.merge(a.full_state(None, 10**6)[0])
    known = b.snapshot()[("a", 1)][0]
    assert 0 < known < 30 and b.rejected.full == 1 and b.size_bytes() < 8000
    assert b.values("k") == {("c", 1): b"c"}
    for number in range(5, 30):
        a.remove(f"k{number}")
    for _ in range(30):
        b.merge(a.delta(b.digest(MAX_MESSAGE_BYTES), 10**6) or a.full_state(None, 10**6)[0])
    d = make_store("d")
    d.put("k", b"d")
    b.merge(d.full_state(None, MAX_MESSAGE_BYTES)[0])
    assert b.rejected.origins == 1 and ("d", 1) not in b.snapshot()
    e = make_store("c", max_value_bytes=9999)
    e.put("k", b"c")
    e.put("large", b"v" * 5000)
    e.put("after", b"v")
    b.merge(e.full_state(None, 10**6)[0])
    assert b.rejected.size == 1 and b.snapshot()[("c", 1)][0] == 1


def test_broadcasts_are_bounded_in_transmissions_and_number():
    a = make_store("a", max_pending_changes=5)
    a.retain_origins([(f"m{number}", 1) for number in range(230)])
    assert a.max_transmissions() == 16
    a.put("k", b"1")
    assert sum(bool(a.recent_changes(MAX_MESSAGE_BYTES)) for _ in range(100)) == 16
    for number in range(50):
        a.put(f"k{number}", b"1")
    assert len(a.broadcasts) == 5
    b = make_store("b")
    b.merge(a.recent_changes(MAX_MESSAGE_BYTES))
    assert len(b.drain_changes()) == 5 and b.recent_changes(MAX_MESSAGE_BYTES)
    joiner = make_store("j")
    for data in full_state_parts(a, MAX_MESSAGE_BYTES):
        joiner.merge(data)
    assert joiner.recent_changes(MAX_MESSAGE_BYTES) == b""  # full state is not rebroadcast


def test_change_notices_are_bounded():
    a, b = make_store("a"), make_store("b", max_change_notices=5)
    for number in range(9):
        a.put(f"k{number}", b"1")
    sync(a, b)
    assert b.drain_changes() == [EVERYTHING_CHANGED] and b.drain_changes() == []


@pytest.mark.parametrize("size", [400, 700, 1200])
def test_messages_keep_to_the_size_asked_for_and_digests_cover_all_origins_in_turn(size):
    b = make_store("b")
    for number in range(300):
        a = make_store(f"member-{number}-" + "n" * (number % 40), 1_700_000_000_000 + number)
        for key in range(3):
            a.add_item("map" * (number % 20 + 1), f"i{key}", b"v" * (number % 100))
        b.merge(a.full_state(None, 10**6)[0])
    empty, full, digests_sent = make_store("e"), make_store("f"), 0
    for data in full_state_parts(b, 10**6):
        full.merge(data)
    while True:
        digest = b.digest(size)
        assert len(digest) <= size
        assert full.delta(digest, size) == b""
        assert len(empty.digest(size)) <= size
        digests_sent += 1
        if b.reconciliation.next_origin is None:
            break
    assert digests_sent > 5
    for _ in range(2000):
        delta = b.delta(empty.digest(size), size)
        assert len(delta) <= size
        if delta:
            empty.merge(delta)
            broadcast = empty.recent_changes(size)
            assert len(broadcast) <= size
    assert {o: h for o, h in empty.snapshot().items() if o[0] != "e"} == {
        o: h for o, h in b.snapshot().items() if o[0] != "b"
    }


def test_a_delta_continues_over_several_datagrams():
    a, b = make_store("a"), make_store("b")
    for number in range(40):
        a.put(f"k{number}", b"v" * 100)
    a.merge(msgspec.msgpack.encode([1, 3, [["c", 1, 0, 1, 0, True, [[1, b"v", 0, "k"]]]]]))
    delta_messages = a.deltas(b.digest(MAX_MESSAGE_BYTES), MAX_MESSAGE_BYTES, 4)
    assert len(delta_messages) == 4 and all(len(data) <= MAX_MESSAGE_BYTES for data in delta_messages)
    for data in delta_messages:
        b.merge(data)
    merged_version = b.known_version(("a", 1))
    assert merged_version >= 15 and b.table.states[("a", 1)].ahead == []
    assert a.deltas(b.digest(MAX_MESSAGE_BYTES), MAX_MESSAGE_BYTES, 99)[-1] and a.delta(
        b.digest(MAX_MESSAGE_BYTES), MAX_MESSAGE_BYTES
    )


def test_an_entry_larger_than_a_datagram_delays_only_its_origin():
    a, b, c = make_store("a"), make_store("b"), make_store("c")
    a.put("large", b"v" * 640)
    a.put("small", b"v")
    c.put("k", b"c")
    sync(a, c)
    for _ in range(10):
        for data in a.deltas(b.digest(400), 400, 4):
            b.merge(data)
    assert b.values("k") == {("c", 1): b"c"} and b.known_version(("a", 1)) == 0
    assert a.recent_changes(400) and not any(
        a.recent_changes(400) and len(a.broadcasts) == 0 for _ in range(50)
    )
    sync(a, b, 1200)
    assert b.known_version(("a", 1)) == 2


def test_idle_digests_are_small_and_a_lagging_replica_sends_larger_ones():
    a, b = make_store("a", idle_digest_bytes=400), make_store("b", idle_digest_bytes=400)
    for number in range(100):
        a.merge(
            make_store(f"member-{number}").full_state(None, 99)[0] or _single_entry_state(f"member-{number}")
        )
    assert len(a.digest(1200)) <= 400
    sync(a, b)
    b.digest(1200)
    a.put("k", b"v")
    b.merge(a.delta(msgspec.msgpack.encode([1, 0, ["", 0], ["b", 0], []]), 1200))
    b.reconciliation.next_origin = None
    sizes = [len(b.digest(1200)) for _ in range(12)]
    assert max(sizes[:8]) > 400 and max(sizes[8:]) <= 400


def _single_entry_state(name):
    s = make_store(name)
    s.put("k", b"v")
    return s.full_state(None, MAX_MESSAGE_BYTES)[0]
