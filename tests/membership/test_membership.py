"""The membership state machine of one process: its view after updates, its messages and its limits."""

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
def test_updates_in_any_order_and_number_give_the_same_view(updates, rng):
    views = []
    for update_order in (updates, rng.sample(updates, len(updates)) + updates):
        membership = start_membership()
        receive(membership, 1.0, "a", packets.Updates(update_order), process_incarnation=9)
        records = membership.state.table.records
        other_members = [member for member in membership.view(2.0) if member.name != "me"]
        views.append(
            [
                (entry.name, entry.process_incarnation, entry.state, records[entry.name].incarnation)
                for entry in other_members
            ]
        )
    # The incarnations of members that left may differ: LEFT is final, so later ones are not merged.
    comparable = [[row[:3] if row[2] is MemberState.LEFT else row for row in view] for view in views]
    assert comparable[0] == comparable[1]


def test_member_refutes_reports_that_it_is_suspected_or_dead():
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
    sent = [
        update for s in membership.drain_messages() for update in s.message.updates if update.name == "me"
    ]
    assert sent[-1] == MemberUpdate("me", 5, 4, MemberState.ALIVE)


def test_a_single_report_of_death_only_raises_suspicion():
    membership = start_membership()
    receive(membership, 1.0, "a", packets.Updates([alive("a"), alive("b")]))
    receive(membership, 2.0, "a", packets.Updates([MemberUpdate("b", 1, 0, MemberState.DEAD, "a")]))
    assert membership.drain_events()[-1] == MemberSuspected("b", 1, 2.0)


def test_additional_accusers_shorten_the_suspicion_timeout_and_repeated_ones_do_not():
    membership = start_membership()
    receive(membership, 1.0, "a", packets.Updates([alive(n) for n in "abcdefgh"]))
    timeouts_ms = []
    for accuser in "aabc":
        receive(
            membership, 2.0, "a", packets.Updates([MemberUpdate("h", 1, 0, MemberState.SUSPECT, accuser)])
        )
        timeouts_ms.append(membership.transitions.suspicion_ms(membership.state.table.records["h"]))
    assert timeouts_ms[0] == timeouts_ms[1] > timeouts_ms[2] > timeouts_ms[3] == membership.min_suspicion_ms()


def test_late_updates_do_not_revive_a_member_that_left_while_it_is_retained():
    membership_settings = MembershipSettings(dead_retention_ms=5000.0)
    membership = start_membership(settings=membership_settings)
    receive(membership, 1.0, "a", packets.Updates([alive("a"), alive("b")]))
    receive(membership, 2.0, "a", packets.Updates([MemberUpdate("b", 1, 0, MemberState.LEFT)]))
    receive(membership, 3.0, "a", packets.Updates([alive("b", incarnation=9)]))
    state = {entry.name: entry.state for entry in membership.view(3.0)}
    assert state["b"] is MemberState.LEFT
    now_ms = 3.0
    while now_ms < 7000:
        now_ms += 200
        membership.tick(now_ms)
    assert "b" not in membership.state.table.records


def test_the_older_of_two_processes_with_one_name_is_fenced_and_both_report_it():
    older, newer = start_membership(process_incarnation=5), start_membership(process_incarnation=6)
    newer.receive(1.0, "old:1", packets.Packet("me", 5, packets.IdentityRequest()))
    assert newer.drain_events() == [DuplicateIdentity("me", 5, "old:1")]
    (reply,) = newer.drain_messages()
    assert reply.address == "old:1"
    older.receive(1.0, "me:1", packets.Packet("me", 6, reply.message))
    assert older.drain_events() == [Fenced("me", 6)]
    older.tick(10_000.0)
    older.receive(2.0, "a:1", packets.Packet("a", 1, packets.Ping(1, "me")))
    assert older.drain_messages() == [] and older.next_tick_ms() == float("inf")
    # A third member that knows the newer process notifies the older one as well.
    other = start_membership("other")
    receive(other, 1.0, "a", packets.Updates([alive("a"), alive("me", process_incarnation=6)]))
    other.receive(2.0, "old:1", packets.Packet("me", 5, packets.Updates([])))
    assert other.drain_messages()[-1].message.updates[0].process_incarnation == 6


def test_equal_process_incarnations_are_ordered_by_address():
    lower = Membership(Identity("me", 5, "h:1"), MembershipSettings(), (), random.Random(1), 0.0)
    higher = Membership(Identity("me", 5, "h:2"), MembershipSettings(), (), random.Random(1), 0.0)
    receive(lower, 1.0, "a", packets.Updates([higher.state.local.as_update(full=True)]))
    receive(higher, 1.0, "a", packets.Updates([lower.state.local.as_update(full=True)]))
    assert lower.fenced_by == 5 and higher.fenced_by == -1


def test_a_process_suspects_no_member_right_after_its_own_pause():
    membership = start_membership()
    receive(
        membership,
        1.0,
        "a",
        packets.Updates([alive("a"), alive("b"), MemberUpdate("b", 1, 0, MemberState.SUSPECT, "a")]),
    )
    deadline_ms = membership.state.table.records["b"].suspected_at_ms + membership.transitions.suspicion_ms(
        membership.state.table.records["b"]
    )
    membership.tick(1200.0)
    membership.drain_events()
    membership.tick(1200.0 + 100_000.0)  # paused far beyond every deadline
    assert membership.drain_events() == [] and membership.health_score >= 2
    assert (
        membership.state.table.records["b"].suspected_at_ms
        + membership.transitions.suspicion_ms(membership.state.table.records["b"])
        > deadline_ms + 100_000 - 1
    )


def test_a_probe_sent_before_a_refutation_does_not_raise_suspicion():
    for refuted in (False, True):
        membership = start_membership()
        receive(membership, 1.0, "a", packets.Updates([alive("a")]))
        now_ms = 1.0
        while now_ms < 1400.0 and not (len(membership.prober) and refuted and now_ms > 600):
            now_ms += 50
            membership.tick(now_ms)
        if refuted:
            receive(membership, now_ms, "a", packets.Updates([MemberUpdate("a", 1, 3, MemberState.ALIVE)]))
            heap = membership.state.timers._heap
            heap[:] = [timer for timer in heap if timer.kind is not TimerKind.PROBE]
        assert len(membership.prober)
        while now_ms < 3000.0:
            now_ms += 50
            membership.tick(now_ms)
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
    membership_settings = MembershipSettings(max_members=50, replies_per_period=20)
    membership = start_membership(settings=membership_settings)
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


def test_no_datagram_exceeds_the_size_limit():
    for limit_bytes in (300, 1200):
        membership = start_membership(
            "m" * 64, settings=MembershipSettings(max_datagram_bytes=limit_bytes, cluster="c" * 30)
        )
        names = [f"{n:04d}" + "x" * 60 for n in range(200)]
        updates = [alive(n, process_incarnation=2**50, address="h" * 20 + ":1") for n in names]
        membership.merge_remote_state(1.0, "a", updates)
        now_ms = 1.0
        for step in range(40):
            suspect_updates = [
                MemberUpdate(n, 2**50, step, MemberState.SUSPECT, "b" * 64) for n in names[:20]
            ]
            receive(
                membership,
                now_ms,
                names[step],
                packets.PingRequest(2**52, names[step + 1], "h" * 60, suspect_updates),
                process_incarnation=2**50,
            )
            now_ms += 100
            membership.tick(now_ms)
            for sent in membership.drain_messages():
                assert len(packets.encode("c" * 30, "m" * 64, 5, sent.message)) <= limit_bytes


def test_a_large_member_list_is_exchanged_in_batches():
    membership = start_membership()
    membership.merge_remote_state(1.0, "a", [alive(f"m{n}") for n in range(1023)])
    batches = membership.state_batches()
    assert sum(map(len, batches)) == 1024 and len(batches) > 1
    for batch in batches:
        assert (
            len(packets.encode("cressrock", "me", 5, packets.ExchangePart(batch))) <= packets.MAX_FRAME_BYTES
        )
    other = start_membership("other")
    for batch in batches:
        other.merge_remote_state(1.0, "me", batch)
    assert other.cluster_size() == 1025
