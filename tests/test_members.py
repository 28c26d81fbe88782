"""Members: the state machine, its bytes, and small fleets whose network and processes fail."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.errors.membership import (
    DatagramError,
    ForeignClusterError,
    MalformedPacketError,
    PacketTooLargeError,
    UnsupportedPacketVersionError,
)
from cressrock.lab.fleetsim import FleetSim
from cressrock.membership import packets as m
from cressrock.membership.membership import (
    DuplicateIdentity,
    Fenced,
    Identity,
    MemberDead,
    MemberJoined,
    MemberLeft,
    MemberRecovered,
    MemberRestarted,
    Membership,
    MembershipSettings,
    MemberSuspected,
)
from cressrock.membership.packets import About, MemberState, MemberUpdate
from cressrock.membership.view_cache import FEW, MOST_MS, ViewCache

SEED = 7
CLAIM = MemberUpdate("a", 5, 2, MemberState.SUSPECT, "b")
FULL = MemberUpdate("a", 5, 0, MemberState.ALIVE, "", About("h:1", "edge", "z", "r", b"x"))


def of(sim, kind, about=None):
    return [(w, o, e) for w, o, e in sim.events if isinstance(e, kind) and about in (None, e.name)]


def alone(name="me", *, life=5, limits=None):
    source = random.Random(SEED)
    return Membership(Identity(name, life, f"{name}:1"), limits or MembershipSettings(), (), source, 0.0)


def hear(members, now, sender, body, life=1):
    members.receive(now, f"{sender}:1", m.Letter(sender, life, body))


def alive(name, life=1, incarnation=0, address=None):
    return MemberUpdate(name, life, incarnation, MemberState.ALIVE, "", About(address or f"{name}:1", "edge"))


# --- bytes


@pytest.mark.parametrize(
    ("body", "golden"),
    [
        (m.Ping(3, "a", [CLAIM], 9), "9501a163a16e07950103a1619196a161050201a162c009"),
        (m.Ack(3, [FULL], 9), "9501a163a16e079402039196a161050000a095a3683a31a465646765a17aa172c4017809"),
        (m.Ask(3, "a", "h:1"), "9501a163a16e07950303a161a3683a3190"),
        (m.Nack(3), "9501a163a16e0793040390"),
        (m.Updates([CLAIM]), "9501a163a16e0792059196a161050201a162c0"),
        (m.Hello(FULL), "9501a163a16e07920696a161050000a095a3683a31a465646765a17aa172c40178"),
        (m.Welcome([FULL]), "9501a163a16e0792079196a161050000a095a3683a31a465646765a17aa172c40178"),
        (m.Who(), "9501a163a16e079108"),
        (m.GossipDigest(b"d"), "9501a163a16e079209c40164"),
        (m.GossipDelta(b"d"), "9501a163a16e07920ac40164"),
        (
            m.ExchangePart([FULL], b"s", True, True),
            "9501a163a16e07950b9196a161050000a095a3683a31a465646765a17aa172c40178c40173c3c3",
        ),
    ],
)
def test_each_message_has_its_golden_bytes(body, golden):
    data = m.encode("c", "n", 7, body)
    assert data.hex() == golden
    assert m.decode(data, "c") == m.Letter("n", 7, body)


def test_what_is_not_for_this_fleet_is_told_apart():
    data = m.encode("c", "n", 7, m.Who())
    with pytest.raises(ForeignClusterError):
        m.decode(data, "d")
    with pytest.raises(UnsupportedPacketVersionError):
        m.decode(b"\x95\x02" + data[2:], "c")
    with pytest.raises(PacketTooLargeError):
        m.decode(data + b"\0" * 1200, "c")
    with pytest.raises(MalformedPacketError):
        m.decode(data[:-1], "c")
    with pytest.raises(MalformedPacketError):
        m.decode(m.encode("c", "no name", 7, m.Who()), "c")


def test_elements_of_a_newer_minor_version_are_passed_over():
    newer = m._ENCODE.encode([1, "c", "n", 7, [8, "new", 1], "more"])
    assert m.decode(newer, "c").body == m.Who()


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 60), st.integers(0, 255))
def test_any_bytes_are_a_letter_or_a_counted_reason(data, at, byte):
    good = bytearray(m.encode("c", "n", 7, m.Ping(1, "me", [FULL, CLAIM])))
    good[at % len(good)] = byte
    for some in (data, bytes(good), bytes(good[:at])):
        try:
            letter = m.decode(some, "c")
        except DatagramError:
            continue
        members = alone(limits=MembershipSettings(cluster="c"))
        members.receive(1.0, "x:1", letter)
        members.tick(300.0)
        assert len(members._records) <= 2


# --- one state machine

CLAIMS = st.builds(
    MemberUpdate,
    st.sampled_from(["a", "b"]),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT]),
    st.sampled_from(["", "x"]),
    st.just(About("h:1", "edge")),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(CLAIMS, max_size=8), st.randoms(use_true_random=False))
def test_the_same_claims_in_any_order_and_number_give_one_view(claims, shuffled):
    views = []
    for order in (claims, shuffled.sample(claims, len(claims)) + claims):
        members = alone()
        hear(members, 1.0, "a", m.Updates(order), life=9)
        views.append(
            [
                (v.name, v.process_incarnation, v.state, members._records[v.name].incarnation)
                for v in members.view(2.0)
                if v.name != "me"
            ]
        )
    # An incarnation that came with a state that was final by then says nothing more.
    strip = [
        [(n, li, s) if s is MemberState.LEFT else (n, li, s, i) for n, li, s, i in view] for view in views
    ]
    assert strip[0] == strip[1]


def test_the_accused_refutes_and_whoever_was_called_gone_too():
    members = alone()
    hear(members, 1.0, "a", m.Updates([alive("a"), MemberUpdate("me", 5, 0, MemberState.SUSPECT, "a")]))
    assert members.incarnation == 1
    hear(members, 2.0, "a", m.Updates([MemberUpdate("me", 5, 3, MemberState.DEAD, "a")]))
    assert members.incarnation == 4
    sent = [c for s in members.drain_messages() for c in s.message.updates if c.name == "me"]
    assert sent[-1] == MemberUpdate("me", 5, 4, MemberState.ALIVE)


def test_one_word_makes_nobody_gone_who_was_held_alive():
    members = alone()
    hear(members, 1.0, "a", m.Updates([alive("a"), alive("b")]))
    hear(members, 2.0, "a", m.Updates([MemberUpdate("b", 1, 0, MemberState.DEAD, "a")]))
    assert members.drain_events()[-1] == MemberSuspected("b", 1, 2.0)


def test_more_accusers_end_suspicion_sooner_and_the_same_one_does_not():
    members = alone()
    hear(members, 1.0, "a", m.Updates([alive(n) for n in "abcdefgh"]))
    waits = []
    for by in "aabc":
        hear(members, 2.0, "a", m.Updates([MemberUpdate("h", 1, 0, MemberState.SUSPECT, by)]))
        waits.append(members._patience(members._records["h"]))
    assert waits[0] == waits[1] > waits[2] > waits[3] == members.shortest_ms()


def test_late_rumours_revive_nobody_until_the_time_of_keeping_is_over():
    limits = MembershipSettings(keep_ms=5000.0)
    members = alone(limits=limits)
    hear(members, 1.0, "a", m.Updates([alive("a"), alive("b")]))
    hear(members, 2.0, "a", m.Updates([MemberUpdate("b", 1, 0, MemberState.LEFT)]))
    hear(members, 3.0, "a", m.Updates([alive("b", incarnation=9)]))
    state = {v.name: v.state for v in members.view(3.0)}
    assert state["b"] is MemberState.LEFT
    now = 3.0
    while now < 7000:
        now += 200
        members.tick(now)
    assert "b" not in members._records


def test_the_newer_of_two_processes_with_one_name_stays_and_both_say_so():
    old, new = alone(life=5), alone(life=6)
    new.receive(1.0, "old:1", m.Letter("me", 5, m.Who()))
    assert new.drain_events() == [DuplicateIdentity("me", 5, "old:1")]
    (told,) = new.drain_messages()
    assert told.address == "old:1"
    old.receive(1.0, "me:1", m.Letter("me", 6, told.message))
    assert old.drain_events() == [Fenced("me", 6)]
    old.tick(10_000.0)
    old.receive(2.0, "a:1", m.Letter("a", 1, m.Ping(1, "me")))
    assert old.drain_messages() == [] and old.next_tick_ms() == float("inf")  # never again a word
    # Another member that knows the newer tells the older too.
    other = alone("other")
    hear(other, 1.0, "a", m.Updates([alive("a"), alive("me", life=6)]))
    other.receive(2.0, "old:1", m.Letter("me", 5, m.Updates([])))
    assert other.drain_messages()[-1].message.updates[0].process_incarnation == 6


def test_two_starts_in_one_millisecond_are_told_apart_by_address():
    one = Membership(Identity("me", 5, "h:1"), MembershipSettings(), (), random.Random(1), 0.0)
    two = Membership(Identity("me", 5, "h:2"), MembershipSettings(), (), random.Random(1), 0.0)
    hear(one, 1.0, "a", m.Updates([two._mine(full=True)]))
    hear(two, 1.0, "a", m.Updates([one._mine(full=True)]))
    assert one.fenced_by == 5 and two.fenced_by == -1


def test_a_process_that_did_not_run_accuses_nobody():
    members = alone()
    hear(
        members,
        1.0,
        "a",
        m.Updates([alive("a"), alive("b"), MemberUpdate("b", 1, 0, MemberState.SUSPECT, "a")]),
    )
    due = members._records["b"].suspected + members._patience(members._records["b"])
    members.tick(1200.0)
    members.drain_events()
    members.tick(1200.0 + 100_000.0)  # stopped far beyond every deadline
    assert members.drain_events() == [] and members.health >= 2
    assert members._records["b"].suspected + members._patience(members._records["b"]) > due + 100_000 - 1


def test_a_probe_from_before_a_refutation_accuses_nobody():
    for refuted in (False, True):
        members = alone()
        hear(members, 1.0, "a", m.Updates([alive("a")]))
        now = 1.0
        while now < 1400.0 and not (members._probes and refuted and now > 600):
            now += 50
            members.tick(now)
        if refuted:
            hear(members, now, "a", m.Updates([MemberUpdate("a", 1, 3, MemberState.ALIVE)]))
            members._timers = [t for t in members._timers if t.kind != "probe"]
        assert members._probes
        while now < 3000.0:
            now += 50
            members.tick(now)
        assert any(isinstance(e, MemberSuspected) for e in members.drain_events()) is not refuted


def test_a_ping_for_another_that_had_this_address_is_not_answered():
    members = alone()
    hear(members, 1.0, "a", m.Ping(1, "other", [alive("a")]))
    assert not [s for s in members.drain_messages() if isinstance(s.message, m.Ack)]
    hear(members, 1.0, "a", m.Ping(2, "me", []))
    assert [s.message.number for s in members.drain_messages() if isinstance(s.message, m.Ack)] == [2]


def test_a_flood_of_strangers_costs_bounded_memory_and_answers():
    limits = MembershipSettings(max_members=50, replies=20)
    members = alone(limits=limits)
    for number in range(5000):
        hear(members, 1.0, f"s{number}", m.Hello(alive(f"s{number}")))
        hear(members, 1.0, f"t{number}", m.Ask(number, f"q{number}", "h:1"))
    assert len(members._records) <= 50 and len(members._helped) <= 50
    assert len([s for s in members.drain_messages() if s.message.__class__ in (m.Welcome, m.Who)]) <= 20
    assert members.counts["members-full"] > 0


def test_every_datagram_keeps_to_the_bound_whatever_is_to_be_said():
    for bound in (300, 1200):
        members = alone("m" * 64, limits=MembershipSettings(max_datagram_bytes=bound, cluster="c" * 30))
        names = [f"{n:04d}" + "x" * 60 for n in range(200)]
        pieces = [alive(n, life=2**50, address="h" * 20 + ":1") for n in names]
        members.merge_remote_state(1.0, "a", pieces)
        now = 1.0
        for turn in range(40):
            accused = [MemberUpdate(n, 2**50, turn, MemberState.SUSPECT, "b" * 64) for n in names[:20]]
            hear(members, now, names[turn], m.Ask(2**52, names[turn + 1], "h" * 60, accused), life=2**50)
            now += 100
            members.tick(now)
            for sent in members.drain_messages():
                assert len(m.encode("c" * 30, "m" * 64, 5, sent.message)) <= bound


# --- small fleets


def test_a_death_is_known_to_all_and_the_name_comes_back_in_a_new_life():
    sim = FleetSim(SEED, loss=0.02)
    hosts = sim.fleet(20)
    sim.run(2000)
    sim.kill(hosts[5])
    killed = sim.now
    assert sim.run(12_000, sim.one_view)
    assert {o for _, o, e in of(sim, MemberDead, "m5")} == {h.name for h in hosts} - {"m5"}
    assert sim.now - killed <= 6000
    sim.start("m5", ("m0:1",), life=2)
    assert sim.run(30_000, sim.one_view)
    assert of(sim, MemberRestarted, "m5")[0][2] == MemberRestarted("m5", 1, 2)
    assert len({o for _, o, e in of(sim, MemberRestarted, "m5")}) == 19


def test_leaving_in_order_is_no_death():
    sim = FleetSim(SEED, loss=0.02)
    hosts = sim.fleet(20)
    sim.run(1000)
    hosts[3].members.leave(sim.now)
    sim._after(hosts[3])
    sim.run(sim.now + 1000)
    sim.kill(hosts[3])
    sim.run(10_000)
    assert not of(sim, MemberDead) and len({o for _, o, _ in of(sim, MemberLeft, "m3")}) == 19


def test_stopped_processes_come_back_and_nobody_was_called_gone():
    sim = FleetSim(SEED, loss=0.05)
    hosts = sim.fleet(30)
    for turn in range(8):
        for host in hosts[turn % 10 :: 10]:
            sim.stop(host, 2000)
        sim.run(sim.now + 2000)
    sim.run(sim.now + 4000)
    assert not of(sim, MemberDead) and of(sim, MemberSuspected)
    assert sim.run(sim.now + 5000, sim.one_view)


def test_a_process_that_hears_nothing_in_time_suspects_everybody_and_harms_nobody():
    sim = FleetSim(SEED)
    hosts = sim.fleet(20)
    sim.run(1000)
    deaf = hosts[4]
    real = deaf.members.receive
    # Deaf to answers, quick with accusations: all its probes fail, its gossip still goes out.
    deaf.members.receive = lambda now, sender, letter: (
        None if isinstance(letter.body, m.Ack | m.Nack) else real(now, sender, letter)
    )
    sim.run(30_000)
    assert deaf.members.health == deaf.members.settings.health_worst
    assert {o for _, o, e in of(sim, MemberSuspected) if e.name != "m4"} >= {"m4"}
    assert not [e for _, o, e in of(sim, MemberDead)]


@pytest.mark.parametrize("kind", ["two", "three", "one-way", "ring", "single"])
def test_after_a_cut_all_hold_one_view_again(kind):
    sim = FleetSim(SEED, loss=0.01)
    hosts = sim.fleet(24)
    sim.run(1000)
    side = {h.name: at % (3 if kind in ("three", "ring") else 2) for at, h in enumerate(hosts)}
    if kind == "single":
        side = {h.name: int(at == 0) for at, h in enumerate(hosts)}
    sim.open = {
        "one-way": lambda one, other: not (side[one] == 0 and side[other] == 1),
        "ring": lambda one, other: {side[one], side[other]} != {0, 2},
    }.get(kind, lambda one, other: side[one] == side[other])
    sim.run(40_000)
    gone = {(o, e.name) for _, o, e in of(sim, MemberDead)}
    apart = {(o, n) for o in side for n in side if side[o] != side[n]}
    if kind == "single":  # alone it cannot tell its own fault from theirs, and is slow to accuse
        gone, apart = ({(o, n) for o, n in pairs if o != "m0"} for pairs in (gone, apart))
    assert (gone == apart) is (kind != "ring")
    for _, observer, event in of(sim, MemberDead):  # never of one's own side
        assert side[observer] != side[event.name]
    sim.open = lambda one, other: True
    healed = sim.now
    assert sim.run(healed + 10_000, sim.one_view), (kind, SEED)
    if kind != "ring":
        assert of(sim, MemberRecovered)


def test_many_join_in_one_second_by_seeds_that_are_mostly_dead():
    sim = FleetSim(SEED, loss=0.02)
    sim.start("m0", ())
    for number in range(60):
        sim.after(number * 15, sim.start, f"j{number}", ("dead:1", "m0:1", f"j{number}:1"))
    sim.run(1000)
    assert sim.run(15_000, sim.one_view)
    assert len(of(sim, MemberJoined)) >= 60 * 60


def test_a_process_whose_seeds_are_all_dead_waits_for_the_first_that_comes():
    sim = FleetSim(SEED)
    sim.start("a", ("b:1", "c:1"))
    sim.run(60_000)
    tries = sim.hosts["a:1"].datagrams
    assert 4 < tries < 40  # the waits grow
    sim.start("b", ("a:1",))
    assert sim.run(80_000, sim.one_view) and not of(sim, MemberDead)


def test_a_list_of_1024_is_told_in_pieces():
    members = alone()
    members.merge_remote_state(1.0, "a", [alive(f"m{n}") for n in range(1023)])
    pieces = members.state_batches()
    assert sum(map(len, pieces)) == 1024 and len(pieces) > 1
    for piece in pieces:
        assert len(m.encode("cressrock", "me", 5, m.ExchangePart(piece))) <= m.MAX_FRAME_BYTES
    other = alone("other")
    for piece in pieces:
        other.merge_remote_state(1.0, "me", piece)
    assert other.size() == 1025


def test_one_seed_gives_one_run():
    runs = []
    for _ in range(2):
        sim = FleetSim(SEED, loss=0.05)
        hosts = sim.fleet(12)
        sim.stop(hosts[1], 3000)
        sim.run(9000)
        runs.append(([(w, o, repr(e)) for w, o, e in sim.events], [h.bytes for h in hosts]))
    assert runs[0] == runs[1]


def test_a_view_rests_for_many_times_what_it_took_and_of_few_until_they_change():
    """Danger: views of thousands, made for each room that looks, take most of a core."""
    few, many = (None,) * FEW, (None,) * (FEW + 1)
    for view, changes_count in ((few, True), (many, False)):
        held = ViewCache()
        assert held.is_stale(0.0)
        held.store(view, 100.0, 104.0)
        assert held.view is view and not held.is_stale(299.9) and held.is_stale(300.0)
        held.invalidate()
        assert held.is_stale(101.0) is changes_count
    held.store(many, 1000.0, 1000.0 + MOST_MS)
    assert held.is_stale(1000.0 + MOST_MS)
