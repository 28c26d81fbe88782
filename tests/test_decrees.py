"""Decrees: the same log gives the same state, requests once, numbers that grow; readers, holds, beats."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.consensus import decisions as d
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.lease_renewals import LeaseRenewals
from cressrock.errors import consensus as e


def decide(topic="t", value=b"v", request="r", if_number=None, asked_at=0, hold=1000.0):
    return d.Decide(topic, value, hold, "me", request, asked_at, if_number)


class Machine(DecisionState):
    """Applies commands at the next index."""

    def do(self, command):
        found = self.apply(self.applied + 1, d.encode(command) if command else b"")
        return found[1] if found else None


def test_numbers_grow_over_all_topics_and_conflicts_name_what_stands():
    m = Machine()
    assert m.do(decide("a", request="1")) == d.Done(1)
    assert m.do(None) is None
    assert m.do(decide("b", request="2", if_number=0)) == d.Done(3)
    assert m.do(decide("a", request="3", if_number=3)) == d.VersionConflict(1)
    assert m.do(decide("a", b"w", "4", if_number=1)) == d.Done(5)
    assert m.get("a") == d.Decision("a", 5, b"w", 1000.0, "me") and m.get("c") is None
    assert m.do(d.Drop("a", "5", 0, 1)) == d.VersionConflict(5)
    assert m.do(d.Drop("a", "6", 0, 5)) == d.Done(7)
    assert m.do(decide("a", request="7", if_number=0)) == d.Done(8)
    assert [one.version for one in m.all_decisions()] == [8, 3]


def test_the_ground_raises_numbers_and_never_lowers_them():
    m = Machine()
    assert m.do(d.SetVersionBase(1_700_000_000_000)) == d.Done(1_700_000_000_000)
    assert m.do(decide(request="1")) == d.Done(1_700_000_000_001)
    assert m.do(d.SetVersionBase(5)) == d.Done(1_700_000_000_002)
    assert m.do(decide(request="2")) == d.Done(1_700_000_000_003)


def test_after_a_recovery_what_was_not_surely_committed_gets_new_numbers():
    m = Machine()
    m.do(d.SetVersionBase(1000))
    m.do(decide("a", request="1"))
    m.do(decide("b", request="2"))
    m.do(decide("c", request="3"))
    m.do(decide("b", b"w", request="4", if_number=1002))  # still follows what it followed
    assert [one.version for one in m.all_decisions()] == [1001, 1004, 1003]
    before = m.version
    assert m.do(d.SetVersionBase(0, None, committed_index=2)).version == before + 3
    assert [one.version for one in m.all_decisions()] == [1001, 1007, 1006]
    assert m.do(decide("d", request="5")) == d.Done(1008)


def test_a_request_is_applied_once_however_often_it_comes():
    m = Machine(d.DecisionLimits(max_requests=3))
    first = decide("a", b"1", "one")
    assert m.do(first) == d.Done(1)
    m.do(decide("a", b"2", "two"))
    assert m.do(first) == d.Done(1) and m.get("a").value == b"2"
    m.do(decide("a", b"3", "three", asked_at=3))
    m.do(decide("a", b"4", "four", asked_at=4))  # now "one" is forgotten, which was applied at 1
    assert m.forgotten_until_index == 1 and m.outcome("one") is None
    assert m.do(first) == d.Rejected("forgotten") and m.get("a").value == b"4"
    # A refusal is remembered as well; who asks anew, with what a seat has applied by now, is served.
    assert m.do(decide("a", b"5", "five", asked_at=m.applied)).version == m.applied


def test_bounds_are_kept_and_are_part_of_the_state():
    m = Machine()
    m.do(
        d.SetVersionBase(
            0, d.DecisionLimits(max_topics=2, max_value_bytes=10, max_total_bytes=25, max_requests=100)
        )
    )
    assert m.do(decide("a", b"x" * 11, "1")) == d.Rejected("too-large")
    assert m.do(decide("a", b"x" * 10, "2")) == d.Done(3)
    assert m.do(decide("b", b"x" * 10, "3")) == d.Done(4) and m.total_bytes == 22
    assert m.do(decide("c", b"", "4")) == d.Rejected("too-many")
    assert m.do(decide("aa", b"xxx", "5")) == d.Rejected("too-large")
    assert m.do(d.Drop("a", "6", 0)) == d.Done(7) and m.total_bytes == 11
    assert m.do(decide("c" * 10, b"x" * 10, "7")) == d.Rejected("too-large")
    again = DecisionState.restore(m.snapshot())
    assert again.limits == m.limits and again.total_bytes == m.total_bytes


def test_a_command_of_a_newer_program_stops_the_seat():
    for data, kind in (
        (b"\x02\x93", e.StoreTooNewError),
        (b"\x00\x93", e.InvalidDecisionError),
        (b"\x01\xff", e.InvalidDecisionError),
        (b"\x01" + b"\x91" * 5000, e.InvalidDecisionError),
        (d.encode(decide(hold=0)), e.InvalidDecisionError),
    ):
        m = Machine()
        with pytest.raises(kind):
            m.apply(1, data)
        assert m.applied == 0
    with pytest.raises(e.InvalidDecisionError, match="entry 3 after 0"):
        Machine().apply(3, b"")


names = st.sampled_from(["a", "b", "c", "dd"])
commands = st.one_of(
    st.none(),
    st.builds(
        d.Decide,
        names,
        st.binary(max_size=12),
        st.just(5.0),
        names,
        st.sampled_from([f"r{n}" for n in range(12)]),
        st.integers(0, 20),
        st.none() | st.integers(0, 12),
    ),
    st.builds(d.Drop, names, st.sampled_from([f"q{n}" for n in range(6)]), st.integers(0, 20), st.none()),
    st.builds(d.SetVersionBase, st.integers(0, 50), st.none() | st.just(d.DecisionLimits(3, 9, 30, 4))),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(commands, max_size=40), st.integers(0, 40))
def test_a_snapshot_anywhere_gives_the_same_state_and_outcomes(log, cut):
    whole, parts, given_ = Machine(), Machine(), []
    for place, command in enumerate(log):
        if place == cut:
            kept = parts.snapshot()
            parts = Machine.restore(kept)
            assert parts.snapshot() == kept
        before = whole.version
        outcome = whole.do(command)
        assert parts.do(command) == outcome
        assert len(whole._requests) <= whole.limits.max_requests
        assert whole.version > before
        if isinstance(command, d.Decide) and (stands := whole.get(command.topic)):
            if stands.version == whole.version:
                given_.append(whole.version)
    assert parts.snapshot() == whole.snapshot()
    assert given_ == sorted(set(given_))


# --- readers


def decree(number, renewed=0, topic="t", hold=1000.0):
    return d.Decision(topic, number, b"", hold, "me", renewed)


def test_a_decree_counts_from_the_newest_beat_first_heard_and_no_copy_renews_it():
    r = DecisionReader()
    assert r.get("t", 0) is None and r.next_expiry_ms(0) == float("inf")
    assert r.receive(decree(5, 10), 0)
    assert r.get("t", 999) == decree(5, 10) and r.next_expiry_ms(500) == 1000
    assert (
        not r.receive(decree(5, 10), 900)
        and not r.receive(decree(5, 9), 900)
        and not r.receive(decree(4, 99), 900)
    )
    assert r.get("t", 1000) == d.Expired(decree(5, 10), 1000)
    assert r.receive(decree(5, 11), 1500) and r.get("t", 2499) == decree(5, 11)
    assert r.receive(decree(6, 0), 1600) and r.get("t", 2599) == decree(6)
    assert not r.receive(decree(5, 99), 1700) and r.last_version("t") == 6 and r.topics() == ("t",)


def test_what_a_former_life_has_seen_is_never_undercut_nor_taken_for_fresh():
    former = DecisionReader()
    former.receive(decree(5, 10), 0)
    r = DecisionReader(former.to_bytes())
    assert r.last_version("t") == 5 and r.get("t", 0) is None
    assert not r.receive(decree(4, 99), 0) and not r.receive(decree(5, 9), 0) and r.get("t", 0) is None
    assert not r.receive(
        decree(5, 10), 50
    )  # the same copy again: known, but nobody says that it still stands
    assert r.get("t", 50) == d.Expired(decree(5, 10), 50)
    assert r.receive(decree(5, 11), 60) and r.get("t", 60) == decree(5, 11)
    with pytest.raises(e.InvalidDecisionError):
        DecisionReader(b"\x01\x00")
    with pytest.raises(e.StoreTooNewError):
        DecisionReader(b"\x02\x00")


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(names, st.integers(1, 30), st.integers(0, 5)), max_size=60), st.integers(0, 60))
def test_no_reader_ever_goes_back_even_over_lives_and_with_few_places(copies, restart):
    r = DecisionReader(max_topics=2)
    newest = {}
    for place, (topic, number, beat) in enumerate(copies):
        if place == restart:
            r = DecisionReader(r.to_bytes(), max_topics=2)
        r.receive(decree(number, beat, topic), place)
        assert len(r._seen) <= 2 and len(r._current) <= 2
        held = r.get(topic, place)
        if held is not None:
            mark = held.version if isinstance(held, d.Decision) else held.decision.version
            assert mark >= newest.get(topic, 0)
            newest[topic] = mark


def confirm(beats, term, token=None, now=10, term_now=None):
    token = beats.ask(term, 0) if token is None else token
    return beats.confirm(token, term if term_now is None else term_now, now, 300)


def test_beats_grow_over_leaders_and_only_confirmed_reads_of_the_same_term_earn_one():
    old, new = LeaseRenewals(), LeaseRenewals()
    token = old.ask(3, 0)
    first = confirm(old, 3, token)
    assert first == (3 << 32) + 1 and confirm(old, 3, token) is None
    assert confirm(old, 3, term_now=4) is None  # confirmed under another term: whose quorum was it?
    # Stopped between the quorum's word and its own, a leader wakes in another's time.
    assert confirm(old, 3, now=300) is None and confirm(old, 3, now=299) > first
    assert confirm(new, 4) > confirm(old, 3) > first
    lost = [old.ask(3, 0) for _ in range(5000)]  # a leader that is cut off asks for ever, in bounded memory
    assert len(old._pending) <= 2048 and confirm(old, 3, lost[0]) is None


def test_a_former_leader_that_is_cut_off_renews_nothing():
    """The reader's side of it: leader 1 keeps its decree and its last beat, leader 2 goes on without it."""
    one, two, reader = LeaseRenewals(), LeaseRenewals(), DecisionReader()
    reader.receive(decree(5, confirm(one, 1)), 0)
    one.ask(1, 0)  # never confirmed: no beat comes of it, so leader 1 can only say the same again
    for now in range(0, 2000, 100):
        reader.receive(decree(5, one.last_renewal), now)
    assert isinstance(reader.get("t", 2000), d.Expired)
    reader.receive(decree(7, confirm(two, 2)), 2100)
    reader.receive(decree(5, one.last_renewal), 2200)
    assert reader.get("t", 2300).version == 7


def test_golden_samples():
    command = d.Decide("zone/a", b"\x01", 1500.0, "p1", "p1-1-7", 9, 4)
    wanted = "0198a6646563696465a67a6f6e652f61c40101cb4097700000000000a27031a670312d312d370904"
    assert d.encode(command).hex() == wanted
    assert d.encode(d.Drop("zone/a", "p1-1-8", 9)).hex() == "0195a464726f70a67a6f6e652f61a670312d312d3809c0"
    assert (
        d.encode(d.SetVersionBase(7, d.DecisionLimits())).hex()
        == "0194a667726f756e640794cd1000cdc000ce00400000cd1000c0"
    )
    one = d.Decision("zone/a", 12, b"\x01", 1500.0, "p1", (3 << 32) + 1)
    assert d.encode(one).hex() == "0196a67a6f6e652f610cc40101cb4097700000000000a27031cf0000000300000001"
    m = Machine()
    for number in range(2):
        m.do(decide("a", b"v", f"r{number}", if_number=0))
    assert m.snapshot().hex() == (
        "0196020094cd1000cdc000ce00400000cd1000009196a16101c40176cb408f400000000000a26d65009293a272"
        "300192a4646f6e650193a272310292a5636c61736801"
    )
    r = DecisionReader()
    r.receive(one, 0)
    assert r.to_bytes().hex() == "01920081a67a6f6e652f61920ccf0000000300000001"
    for sample, decoder in ((d.encode(command), d.decode_command), (d.encode(one), d.decode_decision)):
        assert decoder(sample) in (command, one)
    # A newer program's added field at the end is ignored.
    fields = msgspec.msgpack.decode(d.encode(one)[1:])
    longer = msgspec.msgpack.encode([*fields, "new"])
    assert d.decode_decision(b"\x01" + longer) == one


def test_bytes_from_anywhere_are_a_decree_or_a_stated_error():
    seed = 3
    print("seed", seed)
    source = random.Random(seed)
    good = d.encode(decide()), d.encode(decree(5)), Machine().snapshot(), DecisionReader().to_bytes()
    for _ in range(3000):
        data = bytearray(source.choice(good))
        for _ in range(source.randint(1, 4)):
            data[source.randrange(len(data))] = source.randrange(256)
        for take in (d.decode_command, d.decode_decision, DecisionState.restore, DecisionReader):
            try:
                take(bytes(data[: source.randint(0, len(data))]))
            except (e.InvalidDecisionError, e.StoreTooNewError):
                pass
