"""Helpers for the tests of the replicated state: stores, their synchronization, and random writes."""

import itertools
import random

from hypothesis import strategies as st

from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore

MAX_MESSAGE_BYTES = 700


def make_store(name="a", process_incarnation=1, seed=0, **settings):
    """Return an empty store with some settings changed."""
    return GossipStore(name, process_incarnation, GossipStoreSettings(**settings), random.Random(seed))


def read_and_check_state(store):
    """Return all readable values, counters and maps of a store; checks its indexes against a full scan."""
    held = store.snapshot()
    values, counter_values, maps = {}, {}, {}
    for origin, (_, _, entries) in held.items():
        for (kind, key, item, _, _), (_, payload) in entries.items():
            if payload is not None and kind == 0:
                values.setdefault(key, {})[origin] = payload
            elif payload is not None and kind == 1:
                counter_values.setdefault(key, {})[origin] = payload
            elif payload is not None and kind == 2:
                maps.setdefault(key, {}).setdefault(item, {})[origin] = payload
    for key, value in values.items():
        assert store.values(key) == value and store.origins(key) == sorted(value)
        for origin in held:
            assert store.value_of(key, origin) == value.get(origin)
    for key, value in counter_values.items():
        assert store.counters(key) == value and store.counter_total(key) == sum(value.values())
    shown = {}
    for key, value in maps.items():
        items = store.items(key)
        for item, by in items.items():
            assert by.items() <= value[item].items()
        if items:
            shown[key] = items
    return values, counter_values, shown


def sync(first, second, size=MAX_MESSAGE_BYTES, rounds=200):
    """Exchange digests and deltas until neither store lacks anything that the other has."""
    for _ in range(rounds):
        deltas_sent = 0
        for sender, receiver in ((first, second), (second, first)):
            for _ in range(len(receiver.snapshot()) // 8 + 2):
                delta = sender.delta(receiver.digest(size), size)
                assert len(delta) <= size
                deltas_sent += bool(delta)
                if delta:
                    receiver.merge(delta)
        if not deltas_sent:
            return
    raise AssertionError("the stores did not converge")


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


def write(store, operation):
    operation_name, key, item, number = operation
    value = bytes([number]) * (number * 8)
    match operation_name:
        case "put":
            store.put(key + item, value)
        case "remove":
            store.remove(key + item)
        case "count":
            store.increment(key, number)
        case "add":
            store.add_item(key, item, value)
        case "discard":
            store.discard_item(key, item)
