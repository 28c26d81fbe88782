"""Hollow processes: sharing changes nothing, scenes tell what happened."""

import random
import time

import pytest

from cressrock.lab import hollow_scenes as scenes
from cressrock.lab import hollow_turns
from cressrock.lab.hollow import ZONES, HollowFleet, Size
from cressrock.membership.events import MemberDead, MemberRestarted
from cressrock.membership.packets import MemberState


def still():
    return 0.0


def traced(share, seed, play, n=20):
    """Play something, and return all that went over the wire and all that was believed."""
    fleet = HollowFleet(Size(n, seed, share=share, loss=0.03))
    for host in fleet.members:
        host.spread.put("zones/0", host.name.encode())
    fleet.settle()
    wire, events = [], []
    datagram = fleet.datagram

    def told(host, address, data):
        wire.append((fleet.now, host.name, address, data))
        datagram(host, address, data)

    fleet.datagram = told
    fleet.told = lambda host, event: events.append((fleet.now, host.name, event))
    play(fleet)
    held = [
        [(of, known, floor, sorted(held.items())) for of, (known, floor, held) in h.spread.snapshot().items()]
        for h in fleet.members
    ]
    views = [h.members.view(fleet.now) for h in fleet.members]
    return wire, events, held, views


def losses(fleet):
    fleet.run(1000)
    for host in fleet.members[:4]:
        fleet.kill(host)
    fleet.run(6500)


def lives(fleet):
    fleet.run(500)
    fleet.restart(fleet.members[7], 1500)
    fleet.members[9].members.leave(fleet.now)
    fleet.run(6000)


def cut(fleet):
    zone = {host.name: host.zone for host in fleet.members}
    fleet.open = lambda one, other: (zone[one] == "zone-0") == (zone[other] == "zone-0")
    fleet.run(5500)
    fleet.open = lambda one, other: True
    fleet.run(8000)


def writes(fleet):
    draw = random.Random(1)
    for at in range(60):
        host = draw.choice(fleet.members)
        key = draw.choice(("zones/0", "zones/1"))
        if draw.random() < 0.2:
            fleet.after(at * 40.0, host.spread.remove, key)
        else:
            fleet.after(at * 40.0, host.spread.put, key, draw.randbytes(80))
    fleet.run(5000)


@pytest.mark.parametrize("play", [losses, lives, cut, writes])
@pytest.mark.parametrize("seed", [1, 2])
def test_with_sharing_and_without_the_same_bytes_go_and_the_same_is_believed(play, seed):
    shared, alone = traced(True, seed, play), traced(False, seed, play)
    assert shared[0], "nothing was sent"
    for mine, its in zip(shared, alone, strict=True):
        assert mine == its


def test_nothing_that_is_shared_is_ever_changed():
    fleet = HollowFleet(Size(20, 1))
    before = {
        name: (r.process_incarnation, r.incarnation, r.state, len(r.accusers))
        for name, r in fleet.common.items()
    }
    for host in fleet.members:
        host.spread.put("zones/0", b"x")
    fleet.settle()
    values = {key: (s.known, s.floor, dict(s.entries)) for key, s in fleet.pool.items()}
    for host in fleet.members[:5]:
        fleet.kill(host)
    for host in fleet.members[5:]:
        host.spread.put("zones/0", b"y")
    fleet.run(5000)
    assert {
        n: (r.process_incarnation, r.incarnation, r.state, len(r.accusers)) for n, r in fleet.common.items()
    } == before
    assert all(
        (fleet.pool[key].known, fleet.pool[key].floor, dict(fleet.pool[key].entries)) == value
        for key, value in values.items()
    )
    assert len(fleet.pool) > len(values)


def test_a_loss_is_known_by_all_and_nobody_else_is_called_gone():
    found = scenes.members_lost(Size(36, 1, spread=False), still, 6, back=True)
    assert found["pairs_missing"][0] == 0
    assert found["false_gone"][0] == 0
    assert 1000 < found["gone_ms_median"][0] <= found["gone_ms_p99"][0] <= found["gone_ms_last"][0] < 8000
    assert found["back_one_view_ms"][0] < 30_000


def test_who_restarts_is_there_in_its_new_life():
    fleet = HollowFleet(Size(30, 1, spread=False))
    fleet.run(500)
    old = fleet.members[11]
    fleet.restart(old, 1000)
    fleet.run(6000)
    new = fleet.members[11]
    assert new is not old and new.members.local.process_incarnation > old.members.local.process_incarnation
    kinds = {type(event) for _, _, event in fleet.events}
    assert MemberRestarted in kinds and MemberDead not in kinds
    assert len(new.members.live_names()) == 29
    for host in fleet.members:
        held = host.members.state.table.records.get(new.name)
        assert host is new or (
            held.state is MemberState.ALIVE
            and held.process_incarnation == new.members.local.process_incarnation
        )


def test_decrees_come_to_all_once_they_are_decided():
    found = scenes.spread_changes(Size(16, 1), still, span_ms=4000)
    assert found["decree_missing"][0] == 0
    assert 0 < found["decree_ms_median"][0] <= found["decree_ms_p99"][0] < 15_000


def test_the_lag_is_that_of_words_not_heard_yet():
    fleet = HollowFleet(Size(20, 1))
    for host in fleet.members:
        host.spread.put("zones/0", b"first")
    fleet.settle()
    lag = scenes._Lag(fleet)
    lag.look(fleet.members)
    assert set(lag.lags) == {0}
    fleet.open = lambda one, other: False
    lag.write(fleet.members[0])
    fleet.run(2100)
    lag.lags.clear()
    lag.look([fleet.members[1]])
    assert sorted(lag.lags) == [0] * 19 + [10]


def test_regions_meet_again():
    found = scenes.members_regions(Size(18, 1, spread=False), still)
    assert found["healed_one_view_ms"][0] < 30_000


def test_restarts_keep_to_their_rate():
    found = scenes.members_restarts(Size(30, 1, spread=False), still)
    calm = scenes.members_calm(Size(30, 1, spread=False), still)
    assert calm["sent_bytes_s"][0] < found["sent_bytes_s"][0] < 20 * calm["sent_bytes_s"][0]


def test_a_process_alone_has_what_it_would_have_among_all():
    n = 2 * ZONES
    assert len(hollow_turns.members_of(n, 1)[0].process_ids()) == n
    assert len(hollow_turns.spread_of(n).values(hollow_turns.WORD)) == n
    assert len(hollow_turns.heard_of(n).latest_intervals()) == n
    assert len(hollow_turns.counts_of(n).by_origin) == n
    assert all(value >= 0 for value, _ in hollow_turns.turns(n, 1, time.process_time, 1).values())
    assert hollow_turns.state(n, 1)["spread.whole"][0] > 100 * n
