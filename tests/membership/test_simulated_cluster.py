"""Small clusters in simulated time with network and process failures."""

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
    """Return (time, observer, event) of all events of a kind, about one member or all."""
    return [(time_ms, o, e) for time_ms, o, e in sim.events if isinstance(e, kind) and name in (None, e.name)]


def test_all_members_learn_of_a_death_and_of_the_restart():
    sim = FleetSim(SEED, loss=0.02)
    hosts = sim.fleet(20)
    sim.run(2000)
    sim.kill(hosts[5])
    killed_at_ms = sim.now
    assert sim.run(12_000, sim.one_view)
    assert {o for _, o, e in events_of(sim, MemberDead, "m5")} == {h.name for h in hosts} - {"m5"}
    assert sim.now - killed_at_ms <= 6000
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


def test_paused_processes_are_suspected_but_never_declared_dead():
    sim = FleetSim(SEED, loss=0.05)
    hosts = sim.fleet(30)
    for step in range(8):
        for host in hosts[step % 10 :: 10]:
            sim.stop(host, 2000)
        sim.run(sim.now + 2000)
    sim.run(sim.now + 4000)
    assert not events_of(sim, MemberDead) and events_of(sim, MemberSuspected)
    assert sim.run(sim.now + 5000, sim.one_view)


def test_a_process_that_receives_no_answers_suspects_others_and_declares_none_dead():
    sim = FleetSim(SEED)
    hosts = sim.fleet(20)
    sim.run(1000)
    isolated = hosts[4]
    original_receive = isolated.members.receive
    # It drops all answers, so all its probes fail, while its gossip still reaches the others.
    isolated.members.receive = lambda now, sender, packet: (
        None if isinstance(packet.body, packets.Ack | packets.Nack) else original_receive(now, sender, packet)
    )
    sim.run(30_000)
    assert isolated.members.health_score == isolated.members.settings.max_health_score
    assert {o for _, o, e in events_of(sim, MemberSuspected) if e.name != "m4"} >= {"m4"}
    assert not [e for _, o, e in events_of(sim, MemberDead)]


@pytest.mark.parametrize("kind", ["two", "three", "one-way", "ring", "single"])
def test_views_converge_after_a_partition_heals(kind):
    sim = FleetSim(SEED, loss=0.01)
    hosts = sim.fleet(24)
    sim.run(1000)
    side_of = {h.name: index % (3 if kind in ("three", "ring") else 2) for index, h in enumerate(hosts)}
    if kind == "single":
        side_of = {h.name: int(index == 0) for index, h in enumerate(hosts)}
    sim.open = {
        "one-way": lambda source, destination: not (side_of[source] == 0 and side_of[destination] == 1),
        "ring": lambda source, destination: {side_of[source], side_of[destination]} != {0, 2},
    }.get(kind, lambda source, destination: side_of[source] == side_of[destination])
    sim.run(40_000)
    declared_dead = {(o, e.name) for _, o, e in events_of(sim, MemberDead)}
    separated = {(o, n) for o in side_of for n in side_of if side_of[o] != side_of[n]}
    if kind == "single":  # exclude the isolated process: its raised health score delays its suspicions
        declared_dead, separated = (
            {(o, n) for o, n in pairs if o != "m0"} for pairs in (declared_dead, separated)
        )
    assert (declared_dead == separated) is (kind != "ring")
    for _, observer, event in events_of(sim, MemberDead):  # no member is declared dead by its own side
        assert side_of[observer] != side_of[event.name]
    sim.open = lambda source, destination: True
    healed_at_ms = sim.now
    assert sim.run(healed_at_ms + 10_000, sim.one_view), (kind, SEED)
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
    join_requests = sim.hosts["a:1"].datagrams
    assert 4 < join_requests < 40  # the backoff grows
    sim.start("b", ("a:1",))
    assert sim.run(80_000, sim.one_view) and not events_of(sim, MemberDead)


def test_simulations_with_the_same_seed_are_identical():
    runs = []
    for _ in range(2):
        sim = FleetSim(SEED, loss=0.05)
        hosts = sim.fleet(12)
        sim.stop(hosts[1], 3000)
        sim.run(9000)
        runs.append(([(time_ms, o, repr(e)) for time_ms, o, e in sim.events], [h.bytes for h in hosts]))
    assert runs[0] == runs[1]
