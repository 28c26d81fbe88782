"""What the tests of the replicated state share: stores, their synchronization, and random writes."""

import itertools
import random

from hypothesis import strategies as st

from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore

BYTES = 700


def make_store(name="a", process_incarnation=1, seed=0, **settings):
    """Return an empty store with some settings changed."""
    return GossipStore(name, process_incarnation, GossipStoreSettings(**settings), random.Random(seed))


def readable_state(s):
    """What a reader can see, by brute force over what is held: the check of the indexes as well."""
    held = s.snapshot()
    values, counts, maps = {}, {}, {}
    for origin, (_, _, entries) in held.items():
        for (kind, key, item, _, _), (_, payload) in entries.items():
            if payload is not None and kind == 0:
                values.setdefault(key, {})[origin] = payload
            elif payload is not None and kind == 1:
                counts.setdefault(key, {})[origin] = payload
            elif payload is not None and kind == 2:
                maps.setdefault(key, {}).setdefault(item, {})[origin] = payload
    for key, value in values.items():
        assert s.values(key) == value and s.origins(key) == sorted(value)
        for origin in held:
            assert s.value_of(key, origin) == value.get(origin)
    for key, value in counts.items():
        assert s.counters(key) == value and s.counter_total(key) == sum(value.values())
    shown = {}
    for key, value in maps.items():
        items = s.items(key)
        for item, by in items.items():
            assert by.items() <= value[item].items()
        if items:
            shown[key] = items
    return values, counts, shown


def sync(first, second, size=BYTES, rounds=200):
    """Exchange digests and deltas until neither has anything for the other."""
    for _ in range(rounds):
        quiet = 0
        for giver, taker in ((first, second), (second, first)):
            for _ in range(len(taker.snapshot()) // 8 + 2):
                delta = giver.delta(taker.digest(size), size)
                assert len(delta) <= size
                quiet += bool(delta)
                if delta:
                    taker.merge(delta)
        if not quiet:
            return
    raise AssertionError("never quiet")


def sync_all(members):
    for _ in range(3):
        for first, second in itertools.combinations(members, 2):
            sync(first, second)


WRITES = st.lists(
    st.tuples(
        st.sampled_from(["put", "remove", "count", "add", "discard"]),
        st.sampled_from("kl"),
        st.sampled_from("xyz"),
        st.integers(0, 9),
    ),
    max_size=40,
)


def write(s, todo):
    what, key, item, number = todo
    value = bytes([number]) * (number * 8)
    match what:
        case "put":
            s.put(key + item, value)
        case "remove":
            s.remove(key + item)
        case "count":
            s.increment(key, number)
        case "add":
            s.add_item(key, item, value)
        case "discard":
            s.discard_item(key, item)
