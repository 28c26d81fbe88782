"""Random selection of members, and the probe order."""

import random

from cressrock.membership.selection import ProbeOrder, RandomPool


def test_a_sample_has_different_names_and_none_that_are_excluded():
    pool, rng = RandomPool("abcdef"), random.Random(1)
    for _ in range(100):
        names = pool.sample(rng, 3, ("a",))
        assert len(set(names)) == 3 and "a" not in names
    assert sorted(pool.sample(rng, 9, ("a",))) == list("bcdef")


def test_removed_names_are_not_sampled_and_added_ones_are():
    pool, rng = RandomPool("abc"), random.Random(1)
    pool.remove("a")
    pool.remove("a")
    pool.add("d")
    pool.add("d")
    assert sorted(pool.sample(rng, 9)) == ["b", "c", "d"] and len(pool) == 3 and "a" not in pool


def test_a_probe_round_contains_every_live_member_once():
    live, order = RandomPool(), ProbeOrder(random.Random(1))
    assert order.next_name(live) is None
    for name in "abcde":
        live.add(name)
        order.insert(name)
    assert sorted(order.next_name(live) for _ in range(5)) == list("abcde")
    live.remove("c")
    assert sorted(order.next_name(live) for _ in range(4)) == list("abde")
