"""The spread: merging in any order, with loss and repetition; removal, bounds, lives that end, bad bytes."""

import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.errors.gossip import (
    EntryTooLargeError,
    GossipError,
    MalformedGossipError,
    OriginFullError,
    UnsupportedGossipFormatError,
)
from cressrock.gossip.store import EVERYTHING_CHANGED, GossipStore, GossipStoreSettings, full_state_parts
from cressrock.lab.spreadsim import SpreadNet

BYTES = 700


def spread(name="a", life=1, seed=0, **changes):
    return GossipStore(name, life, GossipStoreSettings(**changes), random.Random(seed))


def seen(s):
    """What a reader can see, by brute force over what is held: the check of the indexes as well."""
    held = s.held()
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
        assert s.get(key) == value and s.origins(key) == sorted(value)
        for origin in held:
            assert s.value(key, origin) == value.get(origin)
    for key, value in counts.items():
        assert s.counts(key) == value and s.total(key) == sum(value.values())
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
            for _ in range(len(taker.held()) // 8 + 2):
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


# --- merging

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
            s.count(key, number)
        case "add":
            s.add(key, item, value)
        case "discard":
            s.discard(key, item)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(WRITES, st.integers(0, 2**32), st.integers(120, BYTES), st.sampled_from([1, 128]))
def test_order_repetition_and_splits_change_nothing(writes, seed, size, keep):
    """The parcels of one history, against the set-theoretic model: the greatest version of each key heard."""
    source = random.Random(seed)
    writer = spread(keep_removed=keep)
    model, parcels = {}, []
    for number, todo in enumerate(writes):
        write(writer, todo)
        parcels.append(writer.recent_changes(size))
        if number % 5 == 0:
            parcels += full_state_parts(writer, size)
        for slot, entry in writer.snapshot()[("a", 1)][2].items():
            model[(slot, entry[0])] = entry
    parcels = [p for p in parcels if p]
    kept = [p for p in parcels if source.random() < 0.8]  # the same losses for all
    takers = []
    for number in range(3):
        taker = spread("t", number + 1)
        told = kept + source.choices(kept, k=len(kept)) if kept else []
        source.shuffle(told)
        if number == 2:  # in two groups, of which one reaches the other only by a third
            cut = len(told) // 2
            between = spread("m", 1)
            for parcel in told[:cut]:
                between.merge(parcel)
            for parcel in told[cut:]:
                taker.merge(parcel)
            for parcel in (*full_state_parts(between, 10**6), between.recent_changes(10**6)):
                if parcel:
                    taker.merge(parcel)
        else:
            for parcel in told:
                taker.merge(parcel)
        takers.append(taker)
    for taker in takers:
        known, floor, entries = taker.held().get(("a", 1), (0, 0, {}))
        for slot, entry in entries.items():
            assert model[(slot, entry[0])] == entry  # nothing that was never written
        # The claim of the mark: each key as of `known`, or newer.
        for slot, version in model:
            if version <= known and (slot in entries or version > floor):
                assert entries[slot][0] >= version
        seen(taker)
    states = [taker.held().get(("a", 1)) for taker in takers[:2]]
    assert keep == 1 or states[0] == states[1]  # with sweeps, how far each came may differ
    for taker in takers:
        sync(writer, taker)
        assert taker.held().get(("a", 1), (0, 0, {})) == writer.snapshot()[("a", 1)]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 2), WRITES.map(lambda w: w[:4])), max_size=12),
    st.integers(0, 2**32),
    st.sampled_from([1, 2, 128]),
)
def test_three_writers_with_losses_come_to_one_state(turns, seed, keep):
    source = random.Random(seed)
    members = [spread(n, 1, seed, keep_removed=keep) for n in "abc"]
    for who, writes in turns:
        for todo in writes:
            write(members[who], todo)
        to = source.choice(members)
        for data in (members[who].fresh(BYTES), members[who].delta(to.digest(BYTES), 200)):
            if data and source.random() < 0.7:
                to.merge(data)
                if source.random() < 0.3:
                    to.merge(data)
    sync_all(members)
    views = [seen(m) for m in members]
    assert views[0] == views[1] == views[2]
    for member in members:
        own = member.snapshot()[member.local]
        for other in members:
            assert other.snapshot().get(member.local, (0, 0, {}))[0] == own[0]
        # No growth: a removal's record goes once its dot is gone.
        assert not any(k[0] == 3 and p is not None for k, (_, p) in own[2].items())
        assert not member._hidden and not member._removals
        assert member.size_bytes() == sum(s.bytes for s in member._states.values())
        assert member.size_bytes() == sum(e.cost for s in member._states.values() for e in s.entries.values())


def test_a_delta_out_of_order_moves_no_mark_over_the_gap():
    a, b = spread("a"), spread("b")
    for number in range(6):
        a.put(f"k{number}", b"v")
    whole = list(full_state_parts(a, 76))
    assert len(whole) > 2
    b.merge(whole[-1])
    assert b.snapshot()[("a", 1)][0] == 0 and b.values("k5") == {("a", 1): b"v"}
    for data in reversed(whole[:-1]):
        b.merge(data)
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


def test_rumours_alone_close_the_gaps_of_a_key_written_again_and_again():
    a, b = spread("a"), spread("b")
    a.put("other", b"v")
    for number in range(50):
        a.count("n")
        if number == 20:
            a.put("between", b"v")
    b.merge(a.recent_changes(BYTES))
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


def test_stretches_ahead_are_bounded_and_only_cost_a_second_telling():
    a, b = spread("a", rumour_factor=0.1), spread("b", max_ahead=2)  # each is told once
    rumours = []
    for number in range(20):
        a.put(f"k{number}", b"v")
        rumours.append(a.recent_changes(BYTES))
    for data in rumours[1::2]:
        b.merge(data)
    assert len(b._states[("a", 1)].ahead) == 2
    sync(a, b)
    assert b.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]


# --- counters and maps


def test_counters_sum_over_origins_and_a_dropped_life_takes_its_part():
    a, b = spread("a"), spread("b")
    a.count("n", 5)
    a.count("n")
    b.count("n", 2)
    with pytest.raises(ValueError):
        a.count("n", -1)
    sync(a, b)
    assert a.total("n") == b.total("n") == 8
    assert b.counts("n") == {("a", 1): 6, ("b", 1): 2}
    b.retain_origins([("b", 1)])
    assert b.total("n") == 2


def test_a_concurrent_add_survives_a_removal_and_nothing_is_left_behind():
    a, b, c = spread("a"), spread("b"), spread("c")
    a.add("room", "x", b"1")
    sync_all([a, b, c])
    b.discard("room", "x")
    c.add("room", "x", b"2")
    a.add("room", "x", b"3")  # a later dot of the same origin, which b has not seen
    sync_all([a, b, c])
    for s in (a, b, c):
        assert s.items("room") == {"x": {("a", 1): b"3", ("c", 1): b"2"}}
    c.discard("room", "x")
    sync_all([a, b, c])
    for s in (a, b, c):
        assert s.items("room") == {} and not s._removals and not s._live


def test_a_removal_that_is_done_does_not_show_again_where_the_dot_is_late():
    a, b, c = spread("a"), spread("b"), spread("c")
    a.add("room", "x", b"1")
    sync_all([a, b, c])
    b.discard("room", "x")
    sync(b, c)
    assert c.items("room") == {}
    sync(a, b)  # a's dot goes, and b's record with it
    sync(b, a)
    stale = c.snapshot()[("a", 1)]
    held = [s for s in b._order if s[0] == "b"]
    assert held
    lone = spread("z")
    lone.merge(b.delta(lone.digest(BYTES), BYTES))
    only_b = b._parcel(1, [(("b", 1), 0)], BYTES)[0]
    c.merge(only_b)
    assert c.snapshot()[("a", 1)] == stale and not c._removals
    assert c.items("room") == {} and c._hidden
    sync(a, c)
    assert c.items("room") == {} and not c._hidden


def test_a_removal_outlives_its_remover():
    a, b, c = spread("a"), spread("b"), spread("c")
    a.add("room", "x", b"1")
    sync_all([a, b, c])
    b.discard("room", "x")
    sync(b, c)
    c.retain_origins([("a", 1), ("c", 1), ("b", 2)])  # b is back in a new life before a heard of it
    assert ("b", 1) not in c.snapshot() and c.items("room") == {}
    sync(a, c)
    sync(a, c)
    assert a.items("room") == c.items("room") == {}
    assert not any(p is not None for s in (a, c) for _, _, e in s.snapshot().values() for _, p in e.values())


def test_records_of_dots_whose_origin_is_dropped_go_as_well():
    a, b = spread("a"), spread("b")
    a.add("room", "x", b"1")
    sync(a, b)
    b.discard("room", "x")
    b.retain_origins([("b", 1)])
    assert not b._removals and not b._hidden and not b._live
    assert [p for _, p in b.snapshot()[("b", 1)][2].values()] == [None]


# --- removal by floor


def test_removals_are_forgotten_by_floor_and_late_ones_sweep_without_a_gap_in_sight():
    source = random.Random(7)
    a, late, near = spread("a", keep_removed=4), spread("late"), spread("near")
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
    assert near.snapshot()[("a", 1)] == a.snapshot()[("a", 1)] and near.sweeps == 0
    assert a.snapshot()[("a", 1)][1] > 0
    assert sum(p is None for _, p in a.snapshot()[("a", 1)][2].values()) <= 8
    steps = 0
    while late.snapshot()[("a", 1)] != a.snapshot()[("a", 1)]:
        giver = source.choice([a, near])
        delta = giver.delta(late.digest(300), 300)
        if source.random() < 0.3:
            continue
        late.merge(delta)
        for number in range(40, 60):  # what never went is seen all the time
            assert late.values(f"k{number}")
        steps += 1
        assert steps < 100
    assert late.sweeps == 1 and steps > 3


def test_a_later_piece_of_a_sweep_alone_proves_nothing():
    a, late = spread("a", keep_removed=2), spread("late")
    for number in range(30):
        a.put(f"k{number}", b"v" * 30)
    sync(a, late)
    for number in range(10):
        a.remove(f"k{number}")
    *_, last = full_state_parts(a, 500)
    late.merge(last)
    assert (
        late.known_version(("a", 1)) == 30 < a.snapshot()[("a", 1)][1]
    )  # or the removals in between were never told
    sync(a, late, 500)
    assert late.snapshot()[("a", 1)] == a.snapshot()[("a", 1)] and not late.values("k0")


def test_a_floor_that_rises_during_a_sweep_starts_it_anew():
    a, late = spread("a", keep_removed=2), spread("late")
    for number in range(30):
        a.put(f"k{number}", b"v" * 30)
    sync(a, late)
    for number in range(10):
        a.remove(f"k{number}")
    late.merge(a.delta(late.digest(300), 300))
    assert late._states[("a", 1)].sweep
    for number in range(10, 20):
        a.remove(f"k{number}")
    sync(a, late, 300)
    assert late.snapshot()[("a", 1)] == a.snapshot()[("a", 1)]
    assert sorted(k for k in (f"k{n}" for n in range(30)) if late.values(k)) == sorted(
        f"k{n}" for n in range(20, 30)
    )


# --- lives


def test_a_newer_life_replaces_the_older_and_late_gossip_brings_nothing_back():
    old, new, b = spread("a", 1), spread("a", 2), spread("b")
    old.put("k", b"old")
    old.count("n", 3)
    new.put("k", b"new")
    late = old.recent_changes(BYTES)
    b.merge(late)
    b.merge(new.recent_changes(BYTES))
    assert b.values("k") == {("a", 2): b"new"} and b.total("n") == 0
    b.merge(late)
    assert b.refused.older == 1 and ("a", 1) not in b.snapshot()
    b.retain_origins([("a", 1), ("b", 1)])  # the list of members lags behind: the newer one stays
    assert b.values("k") == {("a", 2): b"new"}
    b.retain_origins([("b", 1)])
    assert b.values("k") == {} and b.size_bytes() == 0
    for data in (late, b"".join(full_state_parts(new, BYTES))):
        b.merge(data)
    assert b.refused.unknown == 2 and list(b.snapshot()) == [("b", 1)]
    assert (("a", 2), "k") in b.drain_changes()


def test_a_thousand_lives_leave_nothing_behind():
    b = spread("b")
    for life in range(1, 1001):
        a = spread(f"a{life % 7}", life)
        a.add("room", "x", b"1")
        a.count("n")
        b.merge(a.full_state(None, BYTES)[0])
        b.discard("room", "x")
        b.drain_changes()
    b.retain_origins([("b", 1)])
    b.recent_changes(10**6)
    assert len(b.snapshot()) == 1 and not (b._live or b._removals or b._hidden)
    assert len(b._told) <= 2 * 128 + 1 and len(b._lives) == 1
    assert b.size_bytes() < (2 * 128 + 1) * 500


def test_nobody_writes_in_this_processes_name():
    a, twin, newer = spread("a"), spread("a"), spread("a", 2)
    a.put("k", b"1")
    twin.put("k", b"2")
    twin.put("l", b"2")
    newer.put("k", b"3")
    before = a.snapshot()
    for other in (twin, newer):
        a.merge(other.full_state(None, BYTES)[0])
    assert a.snapshot() == before and a.refused.own == 2


# --- bounds


def test_own_writes_past_a_bound_raise_and_change_nothing():
    a = spread("a", max_origin_bytes=2000, max_total_bytes=8000)
    for key, value in (("k" * 129, b""), ("", b""), ("k", b"v" * 641)):
        with pytest.raises(EntryTooLargeError):
            a.put(key, value)
    for number in range(4):
        a.put(f"k{number}", b"")
    before = a.snapshot(), a.size_bytes()
    with pytest.raises(OriginFullError) as wrong:
        a.put("one more", b"")
    assert before == (a.snapshot(), a.size_bytes()) and "1608 bytes" in wrong.value.text
    a.remove("k0")
    a.put("one more", b"")  # removals make room
    assert a.snapshot()[("a", 1)][1] == 5
    a.count("k1", 0)
    with pytest.raises(ValueError):
        GossipStoreSettings(max_total_bytes=1000)
    with pytest.raises(ValueError):
        GossipStoreSettings(keep_removed=0)


def test_what_others_have_too_much_of_is_refused_and_counted_and_evicts_nobody():
    a, c = spread("a"), spread("c")
    b = spread("b", max_origin_bytes=2000, max_total_bytes=8000, max_origins=3)
    c.put("k", b"c")
    sync(c, b)
    for number in range(30):
        a.put(f"k{number}", b"")
    b.merge(a.full_state(None, 10**6)[0])
    known = b.snapshot()[("a", 1)][0]
    assert 0 < known < 30 and b.refused.full == 1 and b.size_bytes() < 8000
    assert b.values("k") == {("c", 1): b"c"}
    for number in range(5, 30):
        a.remove(f"k{number}")
    for _ in range(30):
        b.merge(a.delta(b.digest(BYTES), 10**6) or a.full_state(None, 10**6)[0])
    d = spread("d")
    d.put("k", b"d")
    b.merge(d.full_state(None, BYTES)[0])
    assert b.refused.origins == 1 and ("d", 1) not in b.snapshot()
    e = spread("c", max_value=9999)
    e.put("k", b"c")
    e.put("large", b"v" * 5000)
    e.put("after", b"v")
    b.merge(e.full_state(None, 10**6)[0])
    assert b.refused.size == 1 and b.snapshot()[("c", 1)][0] == 1


def test_rumours_are_passed_on_a_bounded_number_of_times_and_their_number_is_bounded():
    a = spread("a", max_rumours=5)
    a.retain_origins([(f"m{number}", 1) for number in range(230)])
    assert a.max_transmissions() == 16
    a.put("k", b"1")
    assert sum(bool(a.recent_changes(BYTES)) for _ in range(100)) == 16
    for number in range(50):
        a.put(f"k{number}", b"1")
    assert len(a._told) == 5
    b = spread("b")
    b.merge(a.recent_changes(BYTES))
    assert len(b.drain_changes()) == 5 and b.recent_changes(BYTES)
    joiner = spread("j")
    for data in full_state_parts(a, BYTES):
        joiner.merge(data)
    assert joiner.recent_changes(BYTES) == b""  # told everything: no news for anybody


def test_changes_are_bounded():
    a, b = spread("a"), spread("b", max_changes=5)
    for number in range(9):
        a.put(f"k{number}", b"1")
    sync(a, b)
    assert b.drain_changes() == [EVERYTHING_CHANGED] and b.drain_changes() == []


@pytest.mark.parametrize("size", [400, 700, 1200])
def test_no_message_is_larger_than_asked_and_digests_cover_all_in_turns(size):
    b = spread("b")
    for number in range(300):
        a = spread(f"member-{number}-" + "n" * (number % 40), 1_700_000_000_000 + number)
        for key in range(3):
            a.add("map" * (number % 20 + 1), f"i{key}", b"v" * (number % 100))
        b.merge(a.full_state(None, 10**6)[0])
    empty, full, turns = spread("e"), spread("f"), 0
    for data in full_state_parts(b, 10**6):
        full.merge(data)
    while True:
        digest = b.digest(size)
        assert len(digest) <= size
        assert full.delta(digest, size) == b""
        assert len(empty.digest(size)) <= size
        turns += 1
        if b._turn is None:
            break
    assert turns > 5
    for _ in range(2000):
        delta = b.delta(empty.digest(size), size)
        assert len(delta) <= size
        if delta:
            empty.merge(delta)
            rumour = empty.recent_changes(size)
            assert len(rumour) <= size
    assert {o: h for o, h in empty.snapshot().items() if o[0] != "e"} == {
        o: h for o, h in b.snapshot().items() if o[0] != "b"
    }


def test_a_delta_in_several_datagrams_is_one_that_goes_on():
    a, b = spread("a"), spread("b")
    for number in range(40):
        a.put(f"k{number}", b"v" * 100)
    a.merge(msgspec.msgpack.encode([1, 3, [["c", 1, 0, 1, 0, True, [[1, b"v", 0, "k"]]]]]))
    made = a.deltas(b.digest(BYTES), BYTES, 4)
    assert len(made) == 4 and all(len(data) <= BYTES for data in made)
    for data in made:
        b.merge(data)
    told = b.known_version(("a", 1))
    assert told >= 15 and b._states[("a", 1)].ahead == []
    assert a.deltas(b.digest(BYTES), BYTES, 99)[-1] and a.delta(b.digest(BYTES), BYTES)


def test_an_entry_larger_than_the_datagram_holds_up_its_origin_alone():
    a, b, c = spread("a"), spread("b"), spread("c")
    a.put("large", b"v" * 640)
    a.put("small", b"v")
    c.put("k", b"c")
    sync(a, c)
    for _ in range(10):
        for data in a.deltas(b.digest(400), 400, 4):
            b.merge(data)
    assert b.values("k") == {("c", 1): b"c"} and b.known_version(("a", 1)) == 0
    assert a.recent_changes(400) and not any(a.recent_changes(400) and len(a._told) == 0 for _ in range(50))
    sync(a, b, 1200)
    assert b.known_version(("a", 1)) == 2


def test_calm_digests_are_small_and_who_lags_asks_for_more():
    a, b = spread("a", calm_digest=400), spread("b", calm_digest=400)
    for number in range(100):
        a.merge(spread(f"member-{number}").full_state(None, 99)[0] or _one(f"member-{number}"))
    assert len(a.digest(1200)) <= 400
    sync(a, b)
    b.digest(1200)
    a.put("k", b"v")
    b.merge(a.delta(msgspec.msgpack.encode([1, 0, ["", 0], ["b", 0], []]), 1200))
    b._turn = None
    sizes = [len(b.digest(1200)) for _ in range(12)]
    assert max(sizes[:8]) > 400 and max(sizes[8:]) <= 400


def _one(name):
    s = spread(name)
    s.put("k", b"v")
    return s.full_state(None, BYTES)[0]


@pytest.mark.parametrize("seed", range(1, 5))
def test_a_small_fleet_under_loss_and_a_cut_comes_to_one_state(seed):
    print("seed", seed)
    net = SpreadNet(24, seed, loss=0.2, settings=GossipStoreSettings(keep_removed=3))
    net.joined = lambda a, b: (a < 12) == (b < 12)
    source = random.Random(seed)
    for _ in range(25):
        s = source.choice(net.spreads)
        write(s, (source.choice(["put", "remove", "count", "add", "discard"]), "k", source.choice("xyz"), 5))
        net.round()
    net.joined = lambda a, b: True
    rounds = 0
    while net.behind():
        net.round()
        rounds += 1
        assert rounds < 60
    for _ in range(30):  # removals are told to the dots' origins, and their records go
        net.round()
    views = [seen(s) for s in net.spreads]
    assert all(view == views[0] for view in views)
    assert not any(s._removals or s._hidden for s in net.spreads)


# --- formats


def sample():
    a, b = spread("edge-1", 1700000000001), spread("b", 7)
    b.add("room", "x", b"m")
    a.merge(b.full_state(None, BYTES)[0])
    a.put("k", b"v1")
    a.count("n", 300)
    a.add("room", "y", b"")
    a.remove("k")
    a.discard("room", "x")
    return a


def test_golden_samples():
    a = sample()
    fresh = a.recent_changes(BYTES).hex()
    digest = a.digest(BYTES).hex()
    full = a.full_state(None, BYTES)[0].hex()
    assert fresh == FRESH
    assert digest == DIGEST
    assert full == FULL
    b = spread("z")
    b.merge(bytes.fromhex(FULL))
    assert b.total("n") == 300 and b.items("room") == {"y": {("edge-1", 1700000000001): b""}}
    assert b.delta(bytes.fromhex(DIGEST), BYTES) == b""


FRESH = (
    "9301029198a6656467652d31cf0000018bcfe56801000000c2949402cd012c01a16e9503c40002a4726f6f6da1799404"
    "c000a16b97050103a4726f6f6da178a162079401000000"
)
DIGEST = "95010092a000c09293a162070193a6656467652d31cf0000018bcfe5680105"
FULL = (
    "9301039297a16207000100c3919501c4016d02a4726f6f6da17897a6656467652d31cf0000018bcfe56801000500c394"
    "9402cd012c01a16e9503c40002a4726f6f6da1799404c000a16b97050103a4726f6f6da178a16207"
)


def test_newer_fields_are_ignored_newer_kinds_passed_on_and_another_format_is_named():
    b, c = spread("b"), spread("c")
    entry = [1, b"v", 0, "k", "", "", 0, "a newer field"]
    newer = [2, 17, 9, "key", "item", "who", 3]
    piece = ["a", 1, 0, 2, 0, True, [entry, newer], [], "newer"]
    b.merge(msgspec.msgpack.encode([1, 3, [piece], "newer"]))
    sync(b, c)
    assert c.values("k") == {("a", 1): b"v"}
    assert c.snapshot()[("a", 1)][2][(9, "key", "item", "who", 3)] == (2, 17)
    for call in (b.merge, lambda data: b.delta(data, BYTES)):
        with pytest.raises(UnsupportedGossipFormatError):
            call(msgspec.msgpack.encode([2, 3, {"all": "different"}]))


WRONG_PIECES = [
    ["", 1, 0, 1, 0, True, []],
    ["a", -1, 0, 1, 0, True, []],
    ["a", 1, 5, 4, 0, True, []],
    ["a", 1, 5, 0, 0, True, []],
    ["a", 1, 0, 2**63, 0, True, []],
    ["a", 1, 0, 2, 0, True, [[3, b"", 0, "k"]]],
    ["a", 1, 0, 2, 0, True, [[2, b"", 0, "k"], [1, b"", 0, "l"]]],
    ["a", 1, 0, 2, 0, True, [[1, 5, 0, "k"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 1, "k"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 0, ""]]],
    ["a", 1, 0, 2, 0, True, [[1, 1, 3, "k", "i"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 0, "k", "i"]]],
    ["a", 1, 0, 2, 0, True, [[1, b"", 0, "k"]], [0]],
    ["a", 1, 0, 0, 0, True, [[1, b"", 0, "k"]], [1]],
    ["a", 1, 0, 0, 0, True, [[1, b"", 0, "k"]], [0, 0]],
]


@pytest.mark.parametrize("piece", WRONG_PIECES)
def test_a_malformed_parcel_is_refused_whole(piece):
    b = spread("b")
    good = ["a", 1, 0, 1, 0, True, [[1, b"v", 0, "k"]]]
    b.merge(msgspec.msgpack.encode([1, 3, []]))
    with pytest.raises(MalformedGossipError):
        b.merge(msgspec.msgpack.encode([1, 3, [good, piece]]))
    assert list(b.snapshot()) == [("b", 1)] and b.drain_changes() == []


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.data())
def test_any_bytes_are_merged_or_refused_whole(data):
    a = sample()
    known = [bytes.fromhex(FULL), a.recent_changes(BYTES), a.digest(BYTES), a.full_state(None, BYTES)[0]]
    if data.draw(st.booleans()):
        raw = data.draw(st.binary(max_size=200))
    else:
        raw = bytearray(data.draw(st.sampled_from(known)))
        for _ in range(data.draw(st.integers(1, 4))):
            raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
        raw = bytes(raw[: data.draw(st.integers(1, len(raw)))])
    b = spread("b", 7)
    b.put("own", b"1")
    before = b.snapshot()
    try:
        b.merge(raw)
    except GossipError:
        assert b.snapshot() == before and b.drain_changes() == []
    try:
        assert len(b.delta(raw, BYTES)) <= BYTES
    except GossipError:
        pass
    assert b.values("own") == {("b", 7): b"1"}
    assert len(b.digest(BYTES)) <= BYTES and len(b.recent_changes(BYTES)) <= BYTES
    seen(b)
    assert b.size_bytes() < 10_000


def test_bytes_past_the_bound_are_not_looked_at():
    b = spread("b", max_parcel=1000)
    with pytest.raises(MalformedGossipError):
        b.merge(b"\x93\x01\x03" + b"\x90" * 1000)
    with pytest.raises(MalformedGossipError):
        spread("b").merge(b"\x91" * 100_000)
