"""Process incarnations: newer ones replace older ones, and dropped ones leave no state behind."""

from cressrock.gossip.store import full_state_parts
from tests.gossip.support import MAX_MESSAGE_BYTES, make_store


def test_a_newer_process_replaces_the_older_and_late_gossip_does_not_revive_it():
    old, new, b = make_store("a", 1), make_store("a", 2), make_store("b")
    old.put("k", b"old")
    old.increment("n", 3)
    new.put("k", b"new")
    late = old.recent_changes(MAX_MESSAGE_BYTES)
    b.merge(late)
    b.merge(new.recent_changes(MAX_MESSAGE_BYTES))
    assert b.values("k") == {("a", 2): b"new"} and b.counter_total("n") == 0
    b.merge(late)
    assert b.rejected.older == 1 and ("a", 1) not in b.snapshot()
    b.retain_origins([("a", 1), ("b", 1)])  # an outdated member list does not drop the newer process
    assert b.values("k") == {("a", 2): b"new"}
    b.retain_origins([("b", 1)])
    assert b.values("k") == {} and b.size_bytes() == 0
    for data in (late, b"".join(full_state_parts(new, MAX_MESSAGE_BYTES))):
        b.merge(data)
    assert b.rejected.unknown == 2 and list(b.snapshot()) == [("b", 1)]
    assert (("a", 2), "k") in b.drain_changes()


def test_a_thousand_process_incarnations_leave_nothing_behind():
    b = make_store("b")
    for process_incarnation in range(1, 1001):
        a = make_store(f"a{process_incarnation % 7}", process_incarnation)
        a.add_item("room", "x", b"1")
        a.increment("n")
        b.merge(a.full_state(None, MAX_MESSAGE_BYTES)[0])
        b.discard_item("room", "x")
        b.drain_changes()
    b.retain_origins([("b", 1)])
    b.recent_changes(10**6)
    assert len(b.snapshot()) == 1 and not (
        b.table.index or b.table.removals.recorded or b.table.removals.hidden
    )
    assert len(b.broadcasts) <= 2 * 128 + 1 and len(b.table.newest) == 1
    assert b.size_bytes() < (2 * 128 + 1) * 500


def test_entries_in_this_processs_own_name_are_rejected():
    a, twin, newer = make_store("a"), make_store("a"), make_store("a", 2)
    a.put("k", b"1")
    twin.put("k", b"2")
    twin.put("l", b"2")
    newer.put("k", b"3")
    before = a.snapshot()
    for other in (twin, newer):
        a.merge(other.full_state(None, MAX_MESSAGE_BYTES)[0])
    assert a.snapshot() == before and a.rejected.own == 2
