"""One process's membership: what it believes after updates, what it sends, and its bounds."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.membership import packets
from cressrock.membership.events import (
    DuplicateIdentity,
    Fenced,
    MemberSuspected,
)
from cressrock.membership.membership import Membership
from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.timers import TimerKind
from cressrock.membership.types import Identity
from tests.membership.support import alive, receive, start_membership

UPDATES = st.builds(
    MemberUpdate,
    st.sampled_from(["a", "b"]),
    st.integers(1, 2),
    st.integers(0, 2),
    st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT]),
    st.sampled_from(["", "x"]),
    st.just(MemberInfo("h:1", "edge")),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(UPDATES, max_size=8), st.randoms(use_true_random=False))
def test_updates_in_any_order_and_number_give_the_same_view(updates, shuffled):
    views = []
    for order in (updates, shuffled.sample(updates, len(updates)) + updates):
        membership = start_membership()
        receive(membership, 1.0, "a", packets.Updates(order), process_incarnation=9)
        records = membership.state.table.records
        others = [member for member in membership.view(2.0) if member.name != "me"]
        views.append([(v.name, v.process_incarnation, v.state, records[v.name].incarnation) for v in others])
    # An incarnation that came with a state that was final by then says nothing more.
    comparable = [[line[:3] if line[2] is MemberState.LEFT else line for line in view] for view in views]
    assert comparable[0] == comparable[1]


def test_member_refutes_suspicion_and_its_own_death():
    membership = start_membership()
    receive(
        membership,
        1.0,
        "a",
        packets.Updates([alive("a"), MemberUpdate("me", 5, 0, MemberState.SUSPECT, "a")]),
    )
    assert membership.incarnation == 1
    receive(membership, 2.0, "a", packets.Updates([MemberUpdate("me", 5, 3, MemberState.DEAD, "a")]))
    assert membership.incarnation == 4
    sent = [c for s in membership.drain_messages() for c in s.message.updates if c.name == "me"]
    assert sent[-1] == MemberUpdate("me", 5, 4, MemberState.ALIVE)


def test_a_single_report_of_death_only_raises_suspicion():
    membership = start_membership()
    receive(membership, 1.0, "a", packets.Updates([alive("a"), alive("b")]))
    receive(membership, 2.0, "a", packets.Updates([MemberUpdate("b", 1, 0, MemberState.DEAD, "a")]))
    assert membership.drain_events()[-1] == MemberSuspected("b", 1, 2.0)


def test_further_accusers_shorten_suspicion_and_repeated_ones_do_not():
    membership = start_membership()
    receive(membership, 1.0, "a", packets.Updates([alive(n) for n in "abcdefgh"]))
    waits = []
    for by in "aabc":
        receive(membership, 2.0, "a", packets.Updates([MemberUpdate("h", 1, 0, MemberState.SUSPECT, by)]))
        waits.append(membership.transitions.suspicion_ms(membership.state.table.records["h"]))
    assert waits[0] == waits[1] > waits[2] > waits[3] == membership.min_suspicion_ms()


def test_late_updates_do_not_revive_a_member_that_left_while_it_is_retained():
    limits = MembershipSettings(dead_retention_ms=5000.0)
    membership = start_membership(settings=limits)
    receive(membership, 1.0, "a", packets.Updates([alive("a"), alive("b")]))
    receive(membership, 2.0, "a", packets.Updates([MemberUpdate("b", 1, 0, MemberState.LEFT)]))
    receive(membership, 3.0, "a", packets.Updates([alive("b", incarnation=9)]))
    state = {v.name: v.state for v in membership.view(3.0)}
    assert state["b"] is MemberState.LEFT
    now = 3.0
    while now < 7000:
        now += 200
        membership.tick(now)
    assert "b" not in membership.state.table.records


def test_the_older_of_two_processes_with_one_name_is_fenced_and_both_report_it():
    old, new = start_membership(process_incarnation=5), start_membership(process_incarnation=6)
    new.receive(1.0, "old:1", packets.Packet("me", 5, packets.IdentityRequest()))
    assert new.drain_events() == [DuplicateIdentity("me", 5, "old:1")]
    (told,) = new.drain_messages()
    assert told.address == "old:1"
    old.receive(1.0, "me:1", packets.Packet("me", 6, told.message))
    assert old.drain_events() == [Fenced("me", 6)]
    old.tick(10_000.0)
    old.receive(2.0, "a:1", packets.Packet("a", 1, packets.Ping(1, "me")))
    assert old.drain_messages() == [] and old.next_tick_ms() == float("inf")  # never again a word
    # Another member that knows the newer tells the older too.
    other = start_membership("other")
    receive(other, 1.0, "a", packets.Updates([alive("a"), alive("me", process_incarnation=6)]))
    other.receive(2.0, "old:1", packets.Packet("me", 5, packets.Updates([])))
    assert other.drain_messages()[-1].message.updates[0].process_incarnation == 6


def test_equal_process_incarnations_are_ordered_by_address():
    one = Membership(Identity("me", 5, "h:1"), MembershipSettings(), (), random.Random(1), 0.0)
    two = Membership(Identity("me", 5, "h:2"), MembershipSettings(), (), random.Random(1), 0.0)
    receive(one, 1.0, "a", packets.Updates([two.state.local.as_update(full=True)]))
    receive(two, 1.0, "a", packets.Updates([one.state.local.as_update(full=True)]))
    assert one.fenced_by == 5 and two.fenced_by == -1


def test_a_process_that_did_not_run_accuses_nobody():
    membership = start_membership()
    receive(
        membership,
        1.0,
        "a",
        packets.Updates([alive("a"), alive("b"), MemberUpdate("b", 1, 0, MemberState.SUSPECT, "a")]),
    )
    due = membership.state.table.records["b"].suspected_at_ms + membership.transitions.suspicion_ms(
        membership.state.table.records["b"]
    )
    membership.tick(1200.0)
    membership.drain_events()
    membership.tick(1200.0 + 100_000.0)  # stopped far beyond every deadline
    assert membership.drain_events() == [] and membership.health_score >= 2
    assert (
        membership.state.table.records["b"].suspected_at_ms
        + membership.transitions.suspicion_ms(membership.state.table.records["b"])
        > due + 100_000 - 1
    )


def test_a_probe_from_before_a_refutation_accuses_nobody():
    for refuted in (False, True):
        membership = start_membership()
        receive(membership, 1.0, "a", packets.Updates([alive("a")]))
        now = 1.0
        while now < 1400.0 and not (len(membership.prober) and refuted and now > 600):
            now += 50
            membership.tick(now)
        if refuted:
            receive(membership, now, "a", packets.Updates([MemberUpdate("a", 1, 3, MemberState.ALIVE)]))
            heap = membership.state.timers._heap
            heap[:] = [timer for timer in heap if timer.kind is not TimerKind.PROBE]
        assert len(membership.prober)
        while now < 3000.0:
            now += 50
            membership.tick(now)
        assert any(isinstance(e, MemberSuspected) for e in membership.drain_events()) is not refuted


def test_a_ping_for_another_member_is_not_answered():
    membership = start_membership()
    receive(membership, 1.0, "a", packets.Ping(1, "other", [alive("a")]))
    assert not [s for s in membership.drain_messages() if isinstance(s.message, packets.Ack)]
    receive(membership, 1.0, "a", packets.Ping(2, "me", []))
    assert [s.message.number for s in membership.drain_messages() if isinstance(s.message, packets.Ack)] == [
        2
    ]


def test_a_flood_of_unknown_senders_costs_bounded_memory_and_replies():
    limits = MembershipSettings(max_members=50, replies_per_period=20)
    membership = start_membership(settings=limits)
    for number in range(5000):
        receive(membership, 1.0, f"s{number}", packets.JoinRequest(alive(f"s{number}")))
        receive(membership, 1.0, f"t{number}", packets.PingRequest(number, f"q{number}", "h:1"))
    assert len(membership.state.table.records) <= 50 and len(membership.relay) <= 50
    replies = [
        sent
        for sent in membership.drain_messages()
        if isinstance(sent.message, packets.JoinResponse | packets.IdentityRequest)
    ]
    assert len(replies) <= 20
    assert membership.counters["members-full"] > 0


def test_no_datagram_is_larger_than_the_bound():
    for bound in (300, 1200):
        membership = start_membership(
            "m" * 64, settings=MembershipSettings(max_datagram_bytes=bound, cluster="c" * 30)
        )
        names = [f"{n:04d}" + "x" * 60 for n in range(200)]
        pieces = [alive(n, process_incarnation=2**50, address="h" * 20 + ":1") for n in names]
        membership.merge_remote_state(1.0, "a", pieces)
        now = 1.0
        for turn in range(40):
            accused = [MemberUpdate(n, 2**50, turn, MemberState.SUSPECT, "b" * 64) for n in names[:20]]
            receive(
                membership,
                now,
                names[turn],
                packets.PingRequest(2**52, names[turn + 1], "h" * 60, accused),
                process_incarnation=2**50,
            )
            now += 100
            membership.tick(now)
            for sent in membership.drain_messages():
                assert len(packets.encode("c" * 30, "m" * 64, 5, sent.message)) <= bound


def test_a_large_member_list_is_exchanged_in_batches():
    membership = start_membership()
    membership.merge_remote_state(1.0, "a", [alive(f"m{n}") for n in range(1023)])
    pieces = membership.state_batches()
    assert sum(map(len, pieces)) == 1024 and len(pieces) > 1
    for piece in pieces:
        assert (
            len(packets.encode("cressrock", "me", 5, packets.ExchangePart(piece))) <= packets.MAX_FRAME_BYTES
        )
    other = start_membership("other")
    for piece in pieces:
        other.merge_remote_state(1.0, "me", piece)
    assert other.cluster_size() == 1025
