"""Small clusters in simulated time, whose network and processes fail."""

import pytest

from cressrock.lab.fleetsim import FleetSim
from cressrock.membership import packets
from cressrock.membership.events import (
    MemberDead,
    MemberJoined,
    MemberLeft,
    MemberRecovered,
    MemberRestarted,
    MemberSuspected,
)
from tests.membership.support import SEED


def events_of(sim, kind, name=None):
    """Return (time, observer, event) of all events of a kind, of one member or of all."""
    return [(w, o, e) for w, o, e in sim.events if isinstance(e, kind) and name in (None, e.name)]


def test_all_members_learn_of_a_death_and_of_the_restart():
    sim = FleetSim(SEED, loss=0.02)
    hosts = sim.fleet(20)
    sim.run(2000)
    sim.kill(hosts[5])
    killed = sim.now
    assert sim.run(12_000, sim.one_view)
    assert {o for _, o, e in events_of(sim, MemberDead, "m5")} == {h.name for h in hosts} - {"m5"}
    assert sim.now - killed <= 6000
    sim.start("m5", ("m0:1",), life=2)
    assert sim.run(30_000, sim.one_view)
    assert events_of(sim, MemberRestarted, "m5")[0][2] == MemberRestarted("m5", 1, 2)
    assert len({o for _, o, e in events_of(sim, MemberRestarted, "m5")}) == 19


def test_a_leaving_member_is_reported_as_left_and_not_dead():
    sim = FleetSim(SEED, loss=0.02)
    hosts = sim.fleet(20)
    sim.run(1000)
    hosts[3].members.leave(sim.now)
    sim._after(hosts[3])
    sim.run(sim.now + 1000)
    sim.kill(hosts[3])
    sim.run(10_000)
    assert not events_of(sim, MemberDead) and len({o for _, o, _ in events_of(sim, MemberLeft, "m3")}) == 19


def test_stopped_processes_are_suspected_and_never_declared_dead():
    sim = FleetSim(SEED, loss=0.05)
    hosts = sim.fleet(30)
    for turn in range(8):
        for host in hosts[turn % 10 :: 10]:
            sim.stop(host, 2000)
        sim.run(sim.now + 2000)
    sim.run(sim.now + 4000)
    assert not events_of(sim, MemberDead) and events_of(sim, MemberSuspected)
    assert sim.run(sim.now + 5000, sim.one_view)


def test_a_process_without_answers_suspects_all_and_declares_nobody_dead():
    sim = FleetSim(SEED)
    hosts = sim.fleet(20)
    sim.run(1000)
    deaf = hosts[4]
    real = deaf.members.receive
    # Deaf to answers, quick with accusations: all its probes fail, its gossip still goes out.
    deaf.members.receive = lambda now, sender, packet: (
        None if isinstance(packet.body, packets.Ack | packets.Nack) else real(now, sender, packet)
    )
    sim.run(30_000)
    assert deaf.members.health_score == deaf.members.settings.max_health_score
    assert {o for _, o, e in events_of(sim, MemberSuspected) if e.name != "m4"} >= {"m4"}
    assert not [e for _, o, e in events_of(sim, MemberDead)]


@pytest.mark.parametrize("kind", ["two", "three", "one-way", "ring", "single"])
def test_all_members_hold_one_view_after_a_partition_heals(kind):
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
    gone = {(o, e.name) for _, o, e in events_of(sim, MemberDead)}
    apart = {(o, n) for o in side for n in side if side[o] != side[n]}
    if kind == "single":  # alone it cannot tell its own fault from theirs, and is slow to accuse
        gone, apart = ({(o, n) for o, n in pairs if o != "m0"} for pairs in (gone, apart))
    assert (gone == apart) is (kind != "ring")
    for _, observer, event in events_of(sim, MemberDead):  # never of one's own side
        assert side[observer] != side[event.name]
    sim.open = lambda one, other: True
    healed = sim.now
    assert sim.run(healed + 10_000, sim.one_view), (kind, SEED)
    if kind != "ring":
        assert events_of(sim, MemberRecovered)


def test_many_processes_join_at_once_with_mostly_dead_seeds():
    sim = FleetSim(SEED, loss=0.02)
    sim.start("m0", ())
    for number in range(60):
        sim.after(number * 15, sim.start, f"j{number}", ("dead:1", "m0:1", f"j{number}:1"))
    sim.run(1000)
    assert sim.run(15_000, sim.one_view)
    assert len(events_of(sim, MemberJoined)) >= 60 * 60


def test_join_requests_to_dead_seeds_back_off_until_one_answers():
    sim = FleetSim(SEED)
    sim.start("a", ("b:1", "c:1"))
    sim.run(60_000)
    tries = sim.hosts["a:1"].datagrams
    assert 4 < tries < 40  # the waits grow
    sim.start("b", ("a:1",))
    assert sim.run(80_000, sim.one_view) and not events_of(sim, MemberDead)


def test_one_seed_gives_one_simulated_run():
    runs = []
    for _ in range(2):
        sim = FleetSim(SEED, loss=0.05)
        hosts = sim.fleet(12)
        sim.stop(hosts[1], 3000)
        sim.run(9000)
        runs.append(([(w, o, repr(e)) for w, o, e in sim.events], [h.bytes for h in hosts]))
    assert runs[0] == runs[1]
