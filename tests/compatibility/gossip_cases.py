"""Seeded runs of the replicated key-value state, shared by its recorder and its test."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from cressrock.errors import CressrockError
from cressrock.gossip.anti_entropy import AntiEntropy, AntiEntropySettings
from cressrock.gossip.messages import Origin
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore, full_state_parts
from cressrock.membership import packets as m
from cressrock.membership.membership import Membership
from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity, OutgoingMessage
from cressrock.membership.view_cache import ViewCache
from tests.compatibility.canonical import Digest, canonical

STORE_SEEDS = range(24)
ROUNDS_SEEDS = range(8)

SMALL_LIMITS = GossipStoreSettings(
    max_key_bytes=16,
    max_value_bytes=60,
    max_origin_bytes=2500,
    max_origins=5,
    max_total_bytes=9000,
    max_message_bytes=4000,
    max_ranges_ahead=2,
    max_pending_changes=6,
    max_change_notices=12,
    retained_tombstones=2,
    catch_up_digests=2,
    entry_overhead_bytes=100,
)
LARGE_LIMITS = GossipStoreSettings(retained_tombstones=3, max_pending_changes=20, max_ranges_ahead=3)
KEYS = ("", "a", "b", "key", "map", "much-longer-than-16-characters")


def example_store() -> GossipStore:
    """Return a store with own values, counters and items, and tombstones of them."""
    store = GossipStore("n1", 7, GossipStoreSettings(), random.Random(1))
    store.put("color", b"red")
    store.put("color", b"blue")
    store.put("size", b"")
    store.put("gone", b"x" * 30)
    store.remove("gone")
    store.increment("hits", 3)
    store.increment("hits", 4)
    store.add_item("nodes", "a", b"1")
    store.add_item("nodes", "b", b"2")
    store.discard_item("nodes", "a")
    store.add_item("n\u00f6des", "\u00fc", b"\x00\xff")
    return store


def store_with_removal() -> GossipStore:
    """Return a store that removed another origin's item, so that it has every kind of entry."""
    store = GossipStore("n2", 8, GossipStoreSettings(), random.Random(2))
    store.merge(example_store().full_state(None, 4096)[0])
    store.discard_item("nodes", "b")
    return store


def encoded_messages() -> list[bytes]:
    """Return digests, deltas, broadcasts and full state parts of several stores."""
    one, two, empty = (
        example_store(),
        store_with_removal(),
        GossipStore("n3", 9, GossipStoreSettings(), random.Random(3)),
    )
    late = GossipStore("n4", 10, GossipStoreSettings(retained_tombstones=1), random.Random(4))
    for number in range(6):
        late.put(f"k{number}", b"v")
        late.remove(f"k{number}")
    late.put("left", b"v")
    result = [empty.digest(1200), one.digest(1200), two.digest(1200), two.digest(320)]
    result += one.deltas(empty.digest(1200), 1200, 4) + two.deltas(empty.digest(1200), 100, 8)
    result += [
        two.delta(one.digest(1200), 1200),
        one.recent_changes(1200),
        two.recent_changes(120),
        two.recent_changes(1200),
    ]
    result += list(full_state_parts(two, 120)) + list(full_state_parts(late, 4096))
    reader = GossipStore("n5", 11, GossipStoreSettings(), random.Random(5))
    reader.merge(late.full_state(None, 130)[0])
    return [*result, reader.digest(1200), late.recent_changes(1200)]


def malformed_messages() -> list[bytes]:
    """Return messages that `merge` rejects, each for a different reason."""
    encode = msgspec.msgpack.Encoder().encode
    good = store_with_removal().full_state(None, 4096)[0]

    def changes_message(after: int, upto: int, entries: list[Any], *rest: Any) -> bytes:
        return encode((1, 1, [("n", 1, after, upto, 0, True, entries, *rest)]))

    return [
        b"",
        b"\xc1",
        good[:-1],
        b"\x00" * (1 << 20) + b"\x00",
        encode((2, 1, [])),
        encode((1, 0, [])),
        encode((1, 9, [])),
        encode((1, 1, "text")),
        changes_message(5, 3, []),
        changes_message(2, 0, []),
        changes_message(0, 3, [(4, b"v", 0, "k")]),
        changes_message(0, 3, [(2, b"v", 0, "k"), (1, b"v", 0, "l")]),
        changes_message(0, 0, [(2, b"v", 0, "k")], [1, 1]),
        changes_message(0, 0, [(2, b"v", 0, "k")], [2]),
        changes_message(0, 3, [(1, b"v", 0, "")]),
        changes_message(0, 3, [(1, 7, 0, "k")]),
        changes_message(0, 3, [(1, b"v", 1, "k")]),
        changes_message(0, 3, [(1, b"v", 0, "k", "item")]),
        changes_message(0, 3, [(1, b"v", 2, "k", "item", "name", 3)]),
        changes_message(0, 3, [(1, 3, 3, "k", "item", "", 3)]),
        changes_message(0, 3, [(1, b"v", 0, "k" * 70000)]),
    ]


def merge_rejection_code(data: bytes) -> str:
    """Return the error code with which `merge` rejects the data, empty if it is merged."""
    return _code(GossipStore("n9", 1, GossipStoreSettings(), random.Random(1)).merge, data)


def digest_rejection_code(data: bytes) -> str:
    """Return the error code with which a digest is rejected, empty if it is answered."""
    return _code(store_with_removal().delta, data, 1200)


def _code(call: Any, *arguments: Any) -> str:
    try:
        call(*arguments)
    except CressrockError as error:
        return error.code
    except ValueError:
        return "ValueError"
    return ""


def merged_state(data: bytes) -> list[Any]:
    """Return the state of an empty store after merging the data, or the error code alone."""
    store = GossipStore("n9", 1, GossipStoreSettings(), random.Random(1))
    code = _code(store.merge, data)
    if code:
        return [code]
    result = canonical([readable_state(store)[0], store.drain_changes()])
    assert isinstance(result, list)
    return result


# --- several stores that write, discard tombstones, restart and exchange messages


def readable_state(store: GossipStore) -> tuple[Any, ...]:
    """Return everything that can be read from a store."""
    entries: list[Any] = []
    for origin, (known, floor, keyed_entries) in sorted(store.snapshot().items()):
        entries.append((origin, known, floor, sorted(keyed_entries.items())))
    return (
        entries,
        store.size_bytes(),
        store.completed_sweeps,
        store.rejected,
        store.max_transmissions(),
        [(sorted(store.values(key).items()), store.origins(key)) for key in KEYS],
        [(sorted(store.counters(key).items()), store.counter_total(key)) for key in KEYS],
        [[(item, sorted(by.items())) for item, by in sorted(store.items(key).items())] for key in KEYS],
        [(store.known_version((f"n{i}", 1)), store.value_of("a", (f"n{i}", 1))) for i in range(4)],
    )


def _write(rng: random.Random, store: GossipStore) -> str:
    key, item = rng.choice(KEYS), rng.choice(["x", "y", "z"])
    value = bytes([rng.randrange(4)]) * rng.choice([0, 3, 3, 20, 20, 61])
    match rng.randrange(9):
        case 0 | 1 | 2:
            return _code(store.put, rng.choice([key, f"k{rng.randrange(30)}"]), value)
        case 3:
            return _code(store.remove, rng.choice([key, f"k{rng.randrange(30)}"]))
        case 4:
            return _code(store.increment, key, rng.randrange(-1, 5))
        case 5 | 6:
            return _code(store.add_item, rng.choice(["map", "map", key]), item, value)
        case 7:
            return _code(store.discard_item, rng.choice(["map", "map", key]), item)
    code = ""
    for number in range(8):
        code = _code(store.put, f"t{number}", b"1") or _code(store.remove, f"t{number}")
    return code


def store_digest(seed: int) -> str:
    """Return a digest of the messages and states of stores that write, lag, restart and lose messages."""
    rng = random.Random(seed)
    settings = SMALL_LIMITS if seed % 2 else LARGE_LIMITS
    names = [f"n{i}" for i in range(rng.choice([2, 3, 5, 7]))]
    incarnations = dict.fromkeys(names, 1)
    stores = {name: GossipStore(name, 1, settings, random.Random(f"{name} {seed}")) for name in names}
    waiting: list[tuple[str, bytes]] = []
    digest = Digest()
    loss = rng.choice([0.0, 0.3])
    for step in range(260):
        name = rng.choice(names)
        store = stores[name]
        other = rng.choice(names)
        outgoing: Any = None
        match rng.randrange(20):
            case 0 | 1 | 2 | 3:
                outgoing = [_write(rng, store) for _ in range(rng.randrange(1, 6))]
            case 4 | 5 | 6:
                outgoing = store.recent_changes(rng.choice([80, 200, 1100]))
                if outgoing:
                    waiting.append((other, outgoing))
            case 7 | 8 | 9 | 10 | 11:
                requested_digest = store.digest(rng.choice([200, 340, 1100]))
                replies = stores[other].deltas(
                    requested_digest, rng.choice([110, 200, 1100]), rng.randrange(1, 5)
                )
                waiting += [(name, reply) for reply in replies]
                outgoing = (requested_digest, replies)
            case 12 | 13 | 14 | 15 | 16:
                for _ in range(rng.randrange(1, 8)):
                    if waiting:
                        target, data = waiting.pop(rng.randrange(len(waiting)))
                        if rng.random() >= loss:
                            digest.add(_code(stores[target].merge, data))
                        if rng.random() < 0.1:
                            waiting.append((rng.choice(names), data))
            case 17:
                outgoing = list(full_state_parts(store, rng.choice([150, 400, 3000])))
                if rng.random() < 0.5:
                    for data in outgoing:
                        digest.add(_code(stores[other].merge, data))
            case 18:
                if rng.random() < 0.3:
                    incarnations[name] += rng.choice([0, 1, 1])
                    stores[name] = GossipStore(
                        name, incarnations[name], settings, random.Random(f"{name} {step}")
                    )
            case 19:
                kept: list[Origin] = [
                    (o, incarnations[o] - (rng.random() < 0.2)) for o in names if rng.random() < 0.8
                ]
                store.retain_origins(kept)
                outgoing = kept
        digest.add((step, name, outgoing, store.drain_changes() if rng.random() < 0.3 else None))
        if step % 13 == 0:
            digest.add([readable_state(stores[n]) for n in names])
    for _ in range(3):
        for name in names:
            for other in names:
                for reply in stores[other].deltas(stores[name].digest(2000), 2000, 8):
                    _code(stores[name].merge, reply)
    digest.add([readable_state(stores[name]) for name in names])
    return digest.hex()


# --- gossip rounds: recipients and rate limits


def rounds_digest(seed: int) -> str:
    """Return a digest of the messages that gossip rounds send while members join and leave."""
    rng = random.Random(seed)
    protocol_rng = random.Random(seed + 1)
    members = Membership(Identity("me", 1, "me:1"), MembershipSettings(cluster="c"), (), protocol_rng, 0.0)
    store = GossipStore("me", 1, SMALL_LIMITS if seed % 2 else LARGE_LIMITS, protocol_rng)
    limits = AntiEntropySettings(
        reply_bytes_per_s=rng.choice([500, 20_000]), reply_burst_bytes=rng.choice([500, 3000, 20_000])
    )
    rounds = AntiEntropy(members, store, limits, protocol_rng, 0.0)
    others = {name: GossipStore(name, 1, LARGE_LIMITS, random.Random(name)) for name in ("a", "b", "c", "d")}
    digest = Digest()
    now_ms = 0.0
    for step in range(250):
        now_ms += rng.choice([20.0, 100.0, 300.0])
        members.tick(now_ms)
        messages = rounds.tick(now_ms)
        name = rng.choice(list(others))
        _write(rng, store)
        _write(rng, others[name])
        if step % 10 == 0:
            state = rng.choice([MemberState.ALIVE, MemberState.ALIVE, MemberState.LEFT])
            update = MemberUpdate(name, 1, step, state, "", MemberInfo(f"{name}:1", "edge"))
            members.receive(now_ms, f"{name}:1", m.Packet("a", 1, m.Updates([update])))
        body = rng.choice(
            [
                m.GossipDelta(others[name].recent_changes(900)),
                m.GossipDigest(others[name].digest(900)),
                m.GossipDigest(others[name].digest(900)),
                m.GossipDigest(b"no digest"),
                m.GossipDelta(b"no delta"),
                m.IdentityRequest(),
            ]
        )
        messages += rounds.receive(now_ms, m.Packet(name, 1, body))
        if rng.random() < 0.1:
            rounds.merge_full_state(next(full_state_parts(others[name], 2000), b""))
        digest.add([_encoded_message(outgoing_message) for outgoing_message in messages])
        digest.add((rounds.next_tick_ms(), sorted(rounds.error_counts.items())))
        members.drain_messages()
    digest.add(readable_state(store))
    members.receive(now_ms, "me:2", m.Packet("me", 2, m.IdentityRequest()))
    digest.add((rounds.next_tick_ms(), len(rounds.tick(now_ms + 5000))))
    return digest.hex()


def _encoded_message(outgoing_message: OutgoingMessage) -> tuple[str | None, str, bytes]:
    return outgoing_message.name, outgoing_message.address, m.encode("c", "me", 1, outgoing_message.message)


def view_cache_steps() -> list[Any]:
    """Return when cached views of few and of many members become stale, over a scripted series of changes."""
    members = Membership(
        Identity("me", 1, "me:1"), MembershipSettings(cluster="c"), (), random.Random(1), 0.0
    )
    few = members.view(0.0)
    result: list[Any] = []
    for view in (few, few * 512, few * 513):
        cached_view = ViewCache()
        result.append(cached_view.is_stale(0.0))
        for now_ms, duration_ms in ((10.0, 0.0), (20.0, 3.0), (500.0, 90.0)):
            cached_view.store(view, now_ms, now_ms + duration_ms)
            result.append(
                [
                    cached_view.is_stale(now_ms + wait_ms)
                    for wait_ms in (0.0, 1.0, 149.0, 150.0, 999.0, 1000.0)
                ]
            )
        cached_view.invalidate()
        result += [cached_view.is_stale(501.0), len(cached_view.view)]
    return result
