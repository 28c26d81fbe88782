"""Sweeps: a lagging replica resynchronizes an origin whose tombstones were discarded."""

import random

from cressrock.gossip.store import full_state_parts
from tests.gossip.support import make_store, sync


def test_a_lagging_replica_sweeps_past_discarded_tombstones_without_hiding_live_keys():
    source = random.Random(7)
    a, late, near = make_store("a", retained_tombstones=4), make_store("late"), make_store("near")
    for number in range(60):
        a.put(f"k{number}", b"v" * 30)
    sync(a, late)
    sync(a, near)
    for number in range(0, 40):
        a.remove(f"k{number}")
        if number % 3 == 0:
            sync(a, near)
    a.put("k59", b"new")
    sync(a, near)
    assert near.snapshot()[("a", 1)] == a.snapshot()[("a", 1)] and near.completed_sweeps == 0
    assert a.snapshot()[("a", 1)][1] > 0
    assert sum(p is None for _, p in a.snapshot()[("a", 1)][2].values()) <= 8
    steps = 0
    while late.snapshot()[("a", 1)] != a.snapshot()[("a", 1)]:
        sender = source.choice([a, near])
        delta = sender.delta(late.digest(300), 300)
        if source.random() < 0.3:
            continue
        late.merge(delta)
        for number in range(40, 60):  # keys that were never removed stay readable throughout
            assert late.values(f"k{number}")
        steps += 1
        assert steps < 100
    assert late.completed_sweeps == 1 and steps > 3


def test_a_later_section_of_a_sweep_alone_does_not_raise_the_known_version():
    a, late = make_store("a", retained_tombstones=2), make_store("late")
    for number in range(30):
        a.put(f"k{number}", b"v" * 30)
    sync(a, late)
    for number in range(10):
        a.remove(f"k{number}")
    *_, last = full_state_parts(a, 500)
    late.merge(last)
    # A higher known version would mean that the removals in between are never sent.
    assert late.known_version(("a", 1)) == 30 < a.snapshot()[("a", 1)][1]
    sync(a, late, 500)
    assert late.snapshot()[("a", 1)] == a.snapshot()[("a", 1)] and not late.values("k0")


def test_a_floor_that_rises_during_a_sweep_restarts_it():
    a, late = make_store("a", retained_tombstones=2), make_store("late")
    for number in range(30):
        a.put(f"k{number}", b"v" * 30)
    sync(a, late)
    for number in range(10):
        a.remove(f"k{number}")
    late.merge(a.delta(late.digest(300), 300))
    assert late.table.states[("a", 1)].sweep
    for number in range(10, 20):
        a.remove(f"k{number}")
    sync(a, late, 300)
    assert late.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]
    assert sorted(k for k in (f"k{n}" for n in range(30)) if late.values(k)) == sorted(
        f"k{n}" for n in range(20, 30)
    )
