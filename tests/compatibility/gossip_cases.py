"""Seeded streams of the replicated key-value state, shared by its recorder and its test."""

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

SMALL = GossipStoreSettings(
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
ROOMY = GossipStoreSettings(retained_tombstones=3, max_pending_changes=20, max_ranges_ahead=3)
KEYS = ("", "a", "b", "key", "map", "much-longer-than-16-characters")


def example_store() -> GossipStore:
    """Return a store with every kind of entry of its own."""
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


def remover() -> GossipStore:
    """Return a store that removed another's item, so that it has every kind of entry."""
    store = GossipStore("n2", 8, GossipStoreSettings(), random.Random(2))
    store.merge(example_store().full_state(None, 4096)[0])
    store.discard_item("nodes", "b")
    return store


def encoded() -> list[bytes]:
    """Return digests, deltas, fresh changes and full pieces of two stores."""
    one, two, empty = (
        example_store(),
        remover(),
        GossipStore("n3", 9, GossipStoreSettings(), random.Random(3)),
    )
    late = GossipStore("n4", 10, GossipStoreSettings(retained_tombstones=1), random.Random(4))
    for number in range(6):
        late.put(f"k{number}", b"v")
        late.remove(f"k{number}")
    late.put("left", b"v")
    found = [empty.digest(1200), one.digest(1200), two.digest(1200), two.digest(320)]
    found += one.deltas(empty.digest(1200), 1200, 4) + two.deltas(empty.digest(1200), 100, 8)
    found += [
        two.delta(one.digest(1200), 1200),
        one.recent_changes(1200),
        two.recent_changes(120),
        two.recent_changes(1200),
    ]
    found += list(full_state_parts(two, 120)) + list(full_state_parts(late, 4096))
    reader = GossipStore("n5", 11, GossipStoreSettings(), random.Random(5))
    reader.merge(late.full_state(None, 130)[0])
    return [*found, reader.digest(1200), late.recent_changes(1200)]


def malformed() -> list[bytes]:
    """Return bytes that `merge` refuses, each for its reason."""
    encode = msgspec.msgpack.Encoder().encode
    good = remover().full_state(None, 4096)[0]

    def piece(after: int, upto: int, entries: list[Any], *rest: Any) -> bytes:
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
        piece(5, 3, []),
        piece(2, 0, []),
        piece(0, 3, [(4, b"v", 0, "k")]),
        piece(0, 3, [(2, b"v", 0, "k"), (1, b"v", 0, "l")]),
        piece(0, 0, [(2, b"v", 0, "k")], [1, 1]),
        piece(0, 0, [(2, b"v", 0, "k")], [2]),
        piece(0, 3, [(1, b"v", 0, "")]),
        piece(0, 3, [(1, 7, 0, "k")]),
        piece(0, 3, [(1, b"v", 1, "k")]),
        piece(0, 3, [(1, b"v", 0, "k", "item")]),
        piece(0, 3, [(1, b"v", 2, "k", "item", "name", 3)]),
        piece(0, 3, [(1, 3, 3, "k", "item", "", 3)]),
        piece(0, 3, [(1, b"v", 0, "k" * 70000)]),
    ]


def merge_refusal(data: bytes) -> str:
    """Return the code of the error with which bytes are refused, empty if they are merged."""
    return _code(GossipStore("n9", 1, GossipStoreSettings(), random.Random(1)).merge, data)


def digest_refusal(data: bytes) -> str:
    """Return the code of the error with which a digest is refused, empty if it is answered."""
    return _code(remover().delta, data, 1200)


def _code(call: Any, *arguments: Any) -> str:
    try:
        call(*arguments)
    except CressrockError as error:
        return error.code
    except ValueError:
        return "ValueError"
    return ""


def merged(data: bytes) -> list[Any]:
    """Return what an empty store holds after these bytes, or the code of the error."""
    store = GossipStore("n9", 1, GossipStoreSettings(), random.Random(1))
    code = _code(store.merge, data)
    if code:
        return [code]
    found = canonical([look(store)[0], store.drain_changes()])
    assert isinstance(found, list)
    return found


# --- several stores that write, forget, restart and exchange


def look(store: GossipStore) -> tuple[Any, ...]:
    """Return all that can be read from a store."""
    entries: list[Any] = []
    for origin, (known, floor, slots) in sorted(store.snapshot().items()):
        entries.append((origin, known, floor, sorted(slots.items())))
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


def _write(draw: random.Random, store: GossipStore) -> str:
    key, item = draw.choice(KEYS), draw.choice(["x", "y", "z"])
    value = bytes([draw.randrange(4)]) * draw.choice([0, 3, 3, 20, 20, 61])
    match draw.randrange(9):
        case 0 | 1 | 2:
            return _code(store.put, draw.choice([key, f"k{draw.randrange(30)}"]), value)
        case 3:
            return _code(store.remove, draw.choice([key, f"k{draw.randrange(30)}"]))
        case 4:
            return _code(store.increment, key, draw.randrange(-1, 5))
        case 5 | 6:
            return _code(store.add_item, draw.choice(["map", "map", key]), item, value)
        case 7:
            return _code(store.discard_item, draw.choice(["map", "map", key]), item)
    code = ""
    for number in range(8):
        code = _code(store.put, f"t{number}", b"1") or _code(store.remove, f"t{number}")
    return code


def store_digest(seed: int) -> str:
    """Return the digest of what stores tell one another and hold, while they write, lag, restart and lose."""
    draw = random.Random(seed)
    settings = SMALL if seed % 2 else ROOMY
    names = [f"n{i}" for i in range(draw.choice([2, 3, 5, 7]))]
    lives = dict.fromkeys(names, 1)
    stores = {name: GossipStore(name, 1, settings, random.Random(f"{name} {seed}")) for name in names}
    waiting: list[tuple[str, bytes]] = []
    digest = Digest()
    loss = draw.choice([0.0, 0.3])
    for step in range(260):
        name = draw.choice(names)
        store = stores[name]
        other = draw.choice(names)
        told: Any = None
        match draw.randrange(20):
            case 0 | 1 | 2 | 3:
                told = [_write(draw, store) for _ in range(draw.randrange(1, 6))]
            case 4 | 5 | 6:
                told = store.recent_changes(draw.choice([80, 200, 1100]))
                if told:
                    waiting.append((other, told))
            case 7 | 8 | 9 | 10 | 11:
                question = store.digest(draw.choice([200, 340, 1100]))
                answers = stores[other].deltas(question, draw.choice([110, 200, 1100]), draw.randrange(1, 5))
                waiting += [(name, answer) for answer in answers]
                told = (question, answers)
            case 12 | 13 | 14 | 15 | 16:
                for _ in range(draw.randrange(1, 8)):
                    if waiting:
                        target, data = waiting.pop(draw.randrange(len(waiting)))
                        if draw.random() >= loss:
                            digest.add(_code(stores[target].merge, data))
                        if draw.random() < 0.1:
                            waiting.append((draw.choice(names), data))
            case 17:
                told = list(full_state_parts(store, draw.choice([150, 400, 3000])))
                if draw.random() < 0.5:
                    for data in told:
                        digest.add(_code(stores[other].merge, data))
            case 18:
                if draw.random() < 0.3:
                    lives[name] += draw.choice([0, 1, 1])
                    stores[name] = GossipStore(name, lives[name], settings, random.Random(f"{name} {step}"))
            case 19:
                kept: list[Origin] = [
                    (o, lives[o] - (draw.random() < 0.2)) for o in names if draw.random() < 0.8
                ]
                store.retain_origins(kept)
                told = kept
        digest.add((step, name, told, store.drain_changes() if draw.random() < 0.3 else None))
        if step % 13 == 0:
            digest.add([look(stores[n]) for n in names])
    for _ in range(3):
        for name in names:
            for other in names:
                for answer in stores[other].deltas(stores[name].digest(2000), 2000, 8):
                    _code(stores[name].merge, answer)
    digest.add([look(stores[name]) for name in names])
    return digest.hex()


# --- who gets the store's bytes, and how many a second


def rounds_digest(seed: int) -> str:
    """Return the digest of what the gossip's rounds send, beside members that come and go."""
    draw = random.Random(seed)
    source = random.Random(seed + 1)
    members = Membership(Identity("me", 1, "me:1"), MembershipSettings(cluster="c"), (), source, 0.0)
    store = GossipStore("me", 1, SMALL if seed % 2 else ROOMY, source)
    limits = AntiEntropySettings(
        reply_bytes_per_s=draw.choice([500, 20_000]), reply_burst_bytes=draw.choice([500, 3000, 20_000])
    )
    rounds = AntiEntropy(members, store, limits, source, 0.0)
    others = {name: GossipStore(name, 1, ROOMY, random.Random(name)) for name in ("a", "b", "c", "d")}
    digest = Digest()
    now = 0.0
    for step in range(250):
        now += draw.choice([20.0, 100.0, 300.0])
        members.tick(now)
        sends = rounds.tick(now)
        name = draw.choice(list(others))
        _write(draw, store)
        _write(draw, others[name])
        if step % 10 == 0:
            state = draw.choice([MemberState.ALIVE, MemberState.ALIVE, MemberState.LEFT])
            claim = MemberUpdate(name, 1, step, state, "", MemberInfo(f"{name}:1", "edge"))
            members.receive(now, f"{name}:1", m.Packet("a", 1, m.Updates([claim])))
        body = draw.choice(
            [
                m.GossipDelta(others[name].recent_changes(900)),
                m.GossipDigest(others[name].digest(900)),
                m.GossipDigest(others[name].digest(900)),
                m.GossipDigest(b"no digest"),
                m.GossipDelta(b"no delta"),
                m.IdentityRequest(),
            ]
        )
        sends += rounds.receive(now, m.Packet(name, 1, body))
        if draw.random() < 0.1:
            rounds.merge_full_state(next(full_state_parts(others[name], 2000), b""))
        digest.add([_sent(send) for send in sends])
        digest.add((rounds.next_tick_ms(), sorted(rounds.error_counts.items())))
        members.drain_messages()
    digest.add(look(store))
    members.receive(now, "me:2", m.Packet("me", 2, m.IdentityRequest()))
    digest.add((rounds.next_tick_ms(), len(rounds.tick(now + 5000))))
    return digest.hex()


def _sent(send: OutgoingMessage) -> tuple[str | None, str, bytes]:
    return send.name, send.address, m.encode("c", "me", 1, send.message)


def viewing_steps() -> list[Any]:
    """Return when views of few and of many members are made anew, over a scripted series of changes."""
    members = Membership(
        Identity("me", 1, "me:1"), MembershipSettings(cluster="c"), (), random.Random(1), 0.0
    )
    few = members.view(0.0)
    found: list[Any] = []
    for view in (few, few * 512, few * 513):
        viewing = ViewCache()
        found.append(viewing.is_stale(0.0))
        for now, took in ((10.0, 0.0), (20.0, 3.0), (500.0, 90.0)):
            viewing.store(view, now, now + took)
            found.append([viewing.is_stale(now + wait) for wait in (0.0, 1.0, 149.0, 150.0, 999.0, 1000.0)])
        viewing.invalidate()
        found += [viewing.is_stale(501.0), len(viewing.view)]
    return found
