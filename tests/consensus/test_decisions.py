"""Decisions: deterministic state, requests applied once, increasing versions, readers, leases, renewals."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.consensus import decisions
from cressrock.consensus.decision_reader import DecisionReader
from cressrock.consensus.decision_state import DecisionState
from cressrock.consensus.lease_renewals import LeaseRenewals
from cressrock.errors import consensus as errors


def decide(topic="t", value=b"v", request="r", if_number=None, asked_at=0, lease_ms=1000.0):
    return decisions.Decide(topic, value, lease_ms, "me", request, asked_at, if_number)


class Machine(DecisionState):
    """A state machine that applies each command at the next index."""

    def do(self, command):
        found = self.apply(self.applied + 1, decisions.encode(command) if command else b"")
        return found[1] if found else None


def test_versions_increase_over_all_topics_and_conflicts_name_the_current_one():
    machine = Machine()
    assert machine.do(decide("a", request="1")) == decisions.Done(1)
    assert machine.do(None) is None
    assert machine.do(decide("b", request="2", if_number=0)) == decisions.Done(3)
    assert machine.do(decide("a", request="3", if_number=3)) == decisions.VersionConflict(1)
    assert machine.do(decide("a", b"w", "4", if_number=1)) == decisions.Done(5)
    assert machine.get("a") == decisions.Decision("a", 5, b"w", 1000.0, "me") and machine.get("c") is None
    assert machine.do(decisions.Drop("a", "5", 0, 1)) == decisions.VersionConflict(5)
    assert machine.do(decisions.Drop("a", "6", 0, 5)) == decisions.Done(7)
    assert machine.do(decide("a", request="7", if_number=0)) == decisions.Done(8)
    assert [one.version for one in machine.all_decisions()] == [8, 3]


def test_set_version_base_never_lowers_versions():
    machine = Machine()
    assert machine.do(decisions.SetVersionBase(1_700_000_000_000)) == decisions.Done(1_700_000_000_000)
    assert machine.do(decide(request="1")) == decisions.Done(1_700_000_000_001)
    assert machine.do(decisions.SetVersionBase(5)) == decisions.Done(1_700_000_000_002)
    assert machine.do(decide(request="2")) == decisions.Done(1_700_000_000_003)


def test_after_a_recovery_uncertain_decisions_get_new_versions():
    machine = Machine()
    machine.do(decisions.SetVersionBase(1000))
    machine.do(decide("a", request="1"))
    machine.do(decide("b", request="2"))
    machine.do(decide("c", request="3"))
    machine.do(decide("b", b"w", request="4", if_number=1002))  # still based on the version that it replaced
    assert [one.version for one in machine.all_decisions()] == [1001, 1004, 1003]
    before = machine.version
    assert machine.do(decisions.SetVersionBase(0, None, committed_index=2)).version == before + 3
    assert [one.version for one in machine.all_decisions()] == [1001, 1007, 1006]
    assert machine.do(decide("d", request="5")) == decisions.Done(1008)


def test_a_request_is_applied_once_even_if_repeated():
    machine = Machine(decisions.DecisionLimits(max_requests=3))
    first = decide("a", b"1", "one")
    assert machine.do(first) == decisions.Done(1)
    machine.do(decide("a", b"2", "two"))
    assert machine.do(first) == decisions.Done(1) and machine.get("a").value == b"2"
    machine.do(decide("a", b"3", "three", asked_at=3))
    machine.do(decide("a", b"4", "four", asked_at=4))  # evicts request "one", which was applied at index 1
    assert machine.forgotten_until_index == 1 and machine.outcome("one") is None
    assert machine.do(first) == decisions.Rejected("forgotten") and machine.get("a").value == b"4"
    # A rejection is remembered too; a new request with the current applied index is accepted.
    assert machine.do(decide("a", b"5", "five", asked_at=machine.applied)).version == machine.applied


def test_limits_are_enforced_and_part_of_the_state():
    machine = Machine()
    machine.do(
        decisions.SetVersionBase(
            0,
            decisions.DecisionLimits(max_topics=2, max_value_bytes=10, max_total_bytes=25, max_requests=100),
        )
    )
    assert machine.do(decide("a", b"x" * 11, "1")) == decisions.Rejected("too-large")
    assert machine.do(decide("a", b"x" * 10, "2")) == decisions.Done(3)
    assert machine.do(decide("b", b"x" * 10, "3")) == decisions.Done(4) and machine.total_bytes == 22
    assert machine.do(decide("c", b"", "4")) == decisions.Rejected("too-many")
    assert machine.do(decide("aa", b"xxx", "5")) == decisions.Rejected("too-large")
    assert machine.do(decisions.Drop("a", "6", 0)) == decisions.Done(7) and machine.total_bytes == 11
    assert machine.do(decide("c" * 10, b"x" * 10, "7")) == decisions.Rejected("too-large")
    again = DecisionState.restore(machine.snapshot())
    assert again.limits == machine.limits and again.total_bytes == machine.total_bytes


def test_a_command_of_a_newer_program_stops_the_replica():
    for data, kind in (
        (b"\x02\x93", errors.StoreTooNewError),
        (b"\x00\x93", errors.InvalidDecisionError),
        (b"\x01\xff", errors.InvalidDecisionError),
        (b"\x01" + b"\x91" * 5000, errors.InvalidDecisionError),
        (decisions.encode(decide(lease_ms=0)), errors.InvalidDecisionError),
    ):
        machine = Machine()
        with pytest.raises(kind):
            machine.apply(1, data)
        assert machine.applied == 0
    with pytest.raises(errors.InvalidDecisionError, match="cannot apply entry 3 after 0: "):
        Machine().apply(3, b"")


topics = st.sampled_from(["a", "b", "c", "dd"])
commands = st.one_of(
    st.none(),
    st.builds(
        decisions.Decide,
        topics,
        st.binary(max_size=12),
        st.just(5.0),
        topics,
        st.sampled_from([f"r{n}" for n in range(12)]),
        st.integers(0, 20),
        st.none() | st.integers(0, 12),
    ),
    st.builds(
        decisions.Drop, topics, st.sampled_from([f"q{n}" for n in range(6)]), st.integers(0, 20), st.none()
    ),
    st.builds(
        decisions.SetVersionBase,
        st.integers(0, 50),
        st.none() | st.just(decisions.DecisionLimits(3, 9, 30, 4)),
    ),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(commands, max_size=40), st.integers(0, 40))
def test_a_snapshot_anywhere_gives_the_same_state_and_outcomes(log, cut):
    whole, parts, given_ = Machine(), Machine(), []
    for now_ms, command in enumerate(log):
        if now_ms == cut:
            kept = parts.snapshot()
            parts = Machine.restore(kept)
            assert parts.snapshot() == kept
        before = whole.version
        outcome = whole.do(command)
        assert parts.do(command) == outcome
        assert len(whole._requests) <= whole.limits.max_requests
        assert whole.version > before
        if isinstance(command, decisions.Decide) and (current := whole.get(command.topic)):
            if current.version == whole.version:
                given_.append(whole.version)
    assert parts.snapshot() == whole.snapshot()
    assert given_ == sorted(set(given_))


# --- readers


def decision(version, renewed=0, topic="t", lease_ms=1000.0):
    return decisions.Decision(topic, version, b"", lease_ms, "me", renewed)


def test_a_lease_starts_at_the_first_copy_of_the_newest_renewal():
    reader = DecisionReader()
    assert reader.get("t", 0) is None and reader.next_expiry_ms(0) == float("inf")
    assert reader.receive(decision(5, 10), 0)
    assert reader.get("t", 999) == decision(5, 10) and reader.next_expiry_ms(500) == 1000
    assert (
        not reader.receive(decision(5, 10), 900)
        and not reader.receive(decision(5, 9), 900)
        and not reader.receive(decision(4, 99), 900)
    )
    assert reader.get("t", 1000) == decisions.Expired(decision(5, 10), 1000)
    assert reader.receive(decision(5, 11), 1500) and reader.get("t", 2499) == decision(5, 11)
    assert reader.receive(decision(6, 0), 1600) and reader.get("t", 2599) == decision(6)
    assert (
        not reader.receive(decision(5, 99), 1700)
        and reader.last_version("t") == 6
        and reader.topics() == ("t",)
    )


def test_a_restarted_reader_accepts_nothing_older_and_treats_known_decisions_as_expired():
    former = DecisionReader()
    former.receive(decision(5, 10), 0)
    reader = DecisionReader(former.to_bytes())
    assert reader.last_version("t") == 5 and reader.get("t", 0) is None
    assert (
        not reader.receive(decision(4, 99), 0)
        and not reader.receive(decision(5, 9), 0)
        and reader.get("t", 0) is None
    )
    assert not reader.receive(decision(5, 10), 50)  # the same copy again: known, but possibly stale
    assert reader.get("t", 50) == decisions.Expired(decision(5, 10), 50)
    assert reader.receive(decision(5, 11), 60) and reader.get("t", 60) == decision(5, 11)
    with pytest.raises(errors.InvalidDecisionError):
        DecisionReader(b"\x01\x00")
    with pytest.raises(errors.StoreTooNewError):
        DecisionReader(b"\x02\x00")


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(topics, st.integers(1, 30), st.integers(0, 5)), max_size=60), st.integers(0, 60))
def test_a_reader_never_returns_an_older_version_even_over_restarts_and_evictions(copies, restart):
    reader = DecisionReader(max_topics=2)
    newest = {}
    for now_ms, (topic, version, renewal) in enumerate(copies):
        if now_ms == restart:
            reader = DecisionReader(reader.to_bytes(), max_topics=2)
        reader.receive(decision(version, renewal, topic), now_ms)
        assert len(reader._seen) <= 2 and len(reader._current) <= 2
        current = reader.get(topic, now_ms)
        if current is not None:
            version = current.version if isinstance(current, decisions.Decision) else current.decision.version
            assert version >= newest.get(topic, 0)
            newest[topic] = version


def confirm(renewals, term, token=None, now=10, term_now=None):
    token = renewals.ask(term, 0) if token is None else token
    return renewals.confirm(token, term if term_now is None else term_now, now, 300)


def test_renewals_increase_over_leaders_and_need_a_read_confirmed_in_the_same_term():
    old, new = LeaseRenewals(), LeaseRenewals()
    token = old.ask(3, 0)
    first = confirm(old, 3, token)
    assert first == (3 << 32) + 1 and confirm(old, 3, token) is None
    assert confirm(old, 3, term_now=4) is None  # confirmed in another term, so by another leader's quorum
    # A leader suspended after the quorum's reply may resume when another one leads.
    assert confirm(old, 3, now=300) is None and confirm(old, 3, now=299) > first
    assert confirm(new, 4) > confirm(old, 3) > first
    lost = [old.ask(3, 0) for _ in range(5000)]  # a partitioned leader keeps requesting, in bounded memory
    assert len(old._pending) <= 2048 and confirm(old, 3, lost[0]) is None


def test_a_partitioned_former_leader_renews_nothing():
    """Leader 1 keeps publishing its last renewal, while leader 2 makes a new decision."""
    one, two, reader = LeaseRenewals(), LeaseRenewals(), DecisionReader()
    reader.receive(decision(5, confirm(one, 1)), 0)
    one.ask(1, 0)  # never confirmed, so leader 1 can only repeat its last renewal
    for now in range(0, 2000, 100):
        reader.receive(decision(5, one.last_renewal), now)
    assert isinstance(reader.get("t", 2000), decisions.Expired)
    reader.receive(decision(7, confirm(two, 2)), 2100)
    reader.receive(decision(5, one.last_renewal), 2200)
    assert reader.get("t", 2300).version == 7


def test_golden_samples():
    command = decisions.Decide("zone/a", b"\x01", 1500.0, "p1", "p1-1-7", 9, 4)
    expected = "0198a6646563696465a67a6f6e652f61c40101cb4097700000000000a27031a670312d312d370904"
    assert decisions.encode(command).hex() == expected
    assert (
        decisions.encode(decisions.Drop("zone/a", "p1-1-8", 9)).hex()
        == "0195a464726f70a67a6f6e652f61a670312d312d3809c0"
    )
    assert (
        decisions.encode(decisions.SetVersionBase(7, decisions.DecisionLimits())).hex()
        == "0194a667726f756e640794cd1000cdc000ce00400000cd1000c0"
    )
    one = decisions.Decision("zone/a", 12, b"\x01", 1500.0, "p1", (3 << 32) + 1)
    assert (
        decisions.encode(one).hex() == "0196a67a6f6e652f610cc40101cb4097700000000000a27031cf0000000300000001"
    )
    machine = Machine()
    for version in range(2):
        machine.do(decide("a", b"v", f"r{version}", if_number=0))
    assert machine.snapshot().hex() == (
        "0196020094cd1000cdc000ce00400000cd1000009196a16101c40176cb408f400000000000a26d65009293a272"
        "300192a4646f6e650193a272310292a5636c61736801"
    )
    reader = DecisionReader()
    reader.receive(one, 0)
    assert reader.to_bytes().hex() == "01920081a67a6f6e652f61920ccf0000000300000001"
    for sample, decoder in (
        (decisions.encode(command), decisions.decode_command),
        (decisions.encode(one), decisions.decode_decision),
    ):
        assert decoder(sample) in (command, one)
    # A newer program's added field at the end is ignored.
    fields = msgspec.msgpack.decode(decisions.encode(one)[1:])
    longer = msgspec.msgpack.encode([*fields, "new"])
    assert decisions.decode_decision(b"\x01" + longer) == one


def test_corrupted_bytes_decode_or_raise_a_documented_error():
    seed = 3
    print("seed", seed)
    random_source = random.Random(seed)
    good = (
        decisions.encode(decide()),
        decisions.encode(decision(5)),
        Machine().snapshot(),
        DecisionReader().to_bytes(),
    )
    for _ in range(3000):
        data = bytearray(random_source.choice(good))
        for _ in range(random_source.randint(1, 4)):
            data[random_source.randrange(len(data))] = random_source.randrange(256)
        for decode in (
            decisions.decode_command,
            decisions.decode_decision,
            DecisionState.restore,
            DecisionReader,
        ):
            try:
                decode(bytes(data[: random_source.randint(0, len(data))]))
            except (errors.InvalidDecisionError, errors.StoreTooNewError):
                pass
