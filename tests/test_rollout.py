"""Rollouts' pure parts: documents, tables, stages, counts that merge, a test that may be looked at always."""

import math
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.errors.rollout import (
    IncompatibleRulesError,
    InvalidRulesError,
    RolloutAlreadyEndedError,
    RolloutInProgressError,
    RolloutNotFoundError,
    UnknownRulesVersionError,
)
from cressrock.rollout import evidence, lifecycle
from cressrock.rollout.betting import log_wealths
from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.crash_record import CrashRecord, record_start
from cressrock.rollout.evidence import (
    FAULT_KINDS,
    CountsEntry,
    LocalRollback,
    OutcomeCounts,
    RequestOutcome,
    counts_key,
    decode_counts,
    decode_rollback,
)
from cressrock.rollout.lifecycle import (
    MAX_ENDED_DIGESTS,
    RolloutState,
    RolloutStatus,
    advance,
    end_rollout,
    start_rollout,
)
from cressrock.rollout.pacing import LeaderFindings, StagePacer
from cressrock.rollout.plan import RolloutPlan, Stage, document_digest
from cressrock.rollout.selection import eligible_stage, selects_volume
from cressrock.rollout.verdict import accusations_from_counts, local_accusation
from cressrock.settings import rules as r
from cressrock.settings.load import convert
from cressrock.settings.types import METHODS, interface_settings

READS = ["GET", "HEAD", "PROPFIND"]
WRITES = [m for m in METHODS if m not in READS]
BASE = {
    "classes": [
        {
            "name": "small",
            "methods": ["GET"],
            "max_bytes": 1000,
            "aim_ms": 100,
            "deadline_ms": 1000,
            "effect": "repeatable",
        },
        {"name": "read", "methods": READS, "aim_ms": 200, "deadline_ms": 2000, "effect": "repeatable"},
        {
            "name": "write",
            "methods": WRITES,
            "aim_ms": 400,
            "deadline_ms": 4000,
            "effect": "keyed",
            "repeat_window_ms": 5000,
            "in_turn": True,
        },
    ],
    "plans": {"a": {"weight": 1, "reserve": 10, "limit_rate": 5, "limit_burst": 9}, "b": {"weight": 2}},
    "volumes": {"vol": {"shards": [0, 1], "plan": "a"}},
    "node_list": {"address": "127.0.0.1:1"},
}
COURSE = RolloutPlan(
    stages=[
        Stage(volume_fraction=0.05, min_duration_ms=100, min_answers=10),
        Stage(zones=["z"], min_duration_ms=100, min_answers=10),
        Stage(control_fraction=0.1, min_duration_ms=100, min_answers=10),
    ]
)


def base():
    return convert("test", BASE)


def changed(path, value, course=COURSE):
    """Return the settings' own rules with one place changed."""
    found = msgspec.to_builtins(r.of_settings(base(), course))
    at = found
    for step in path[:-1]:
        at = at[step]
    at[path[-1]] = value
    return r.read(msgspec.json.encode(found))


# --- documents


def test_a_document_has_one_name_however_it_is_written():
    own = r.of_settings(base(), COURSE, "x")
    value = msgspec.to_builtins(own)
    other = r.read(msgspec.json.encode(dict(reversed(list(value.items())))))
    assert r.canonical(other) == r.canonical(own)
    assert r.digest(own) == r.digest(other) != r.digest(r.of_settings(base(), COURSE, "y"))
    # The golden sample: what a name is made of must not change between releases.
    small = r.Document(
        rules=r.Rules(
            classes=[r.ClassRules(name="c", methods=["GET"], aim_ms=1.0, deadline_ms=2.0)], plans={}
        ),
        course=RolloutPlan(stages=[Stage()]),
    )
    assert r.digest(small) == "e20b276750e81c92bd234cd5"


@pytest.mark.parametrize(
    ("path", "value", "kind", "place"),
    [
        (("rules", "classes", 1, "aim_ms"), -1.0, InvalidRulesError, "rules.classes[1].aim_ms"),
        (("rules", "classes", 1, "effect"), "unsafe", InvalidRulesError, "rules.classes[1]"),
        (("rules", "plans", "a", "limit_rate"), 50.0, InvalidRulesError, "rules.plans"),
        (("rules", "shards"), [1], InvalidRulesError, "rules"),
        (("course", "stages", 2, "part"), 0.01, InvalidRulesError, "course"),
        (("version",), 2, UnknownRulesVersionError, "version 2"),
    ],
)
def test_a_document_that_cannot_be_read_is_refused_with_its_place(path, value, kind, place):
    with pytest.raises(kind) as found:
        changed(path, value)
    assert place in found.value.text


@pytest.mark.parametrize(
    ("path", "value", "kind", "place"),
    [
        (("rules", "classes", 2, "methods"), ["PUT"], InvalidRulesError, "classes"),
        (("rules", "classes", 1, "methods"), [*READS, "PUT"], IncompatibleRulesError, "PUT of any size"),
        (("rules", "classes", 0, "methods"), ["GET", "PUT"], IncompatibleRulesError, "PUT of 0 bytes"),
        (("rules", "classes", 0, "name"), "tiny", IncompatibleRulesError, "rules.classes"),
        (("rules", "plans"), {"a": {"weight": 1.0}}, IncompatibleRulesError, "rules.plans"),
        (("rules", "classes", 1, "deadline_ms"), 4e6, InvalidRulesError, "rules.classes[1].deadline_ms"),
        (("rules", "classes", 2, "deadline_ms"), 9e4, IncompatibleRulesError, "rules.classes[2].deadline_ms"),
        (("rules", "classes", 1, "aim_ms"), 9000.0, InvalidRulesError, "rules.classes[1].aim_ms"),
    ],
)
def test_what_may_not_differ_between_two_live_versions_is_refused_with_its_place(path, value, kind, place):
    document = changed(path, value)
    with pytest.raises(kind) as found:
        r.compare(base(), document.rules, base())
    assert place in found.value.text


def test_tables_hold_versions_side_by_side_and_the_stricter_reserve_while_both_live():
    own, tables = base(), r.Tables(base(), slots=3)
    rows = interface_settings(own)
    one = changed(("rules", "plans", "a", "reserve"), 4.0)
    d1 = r.canonical(one)
    assert tables.hold(0.0, {"d1": d1}, "") == []
    found = tables.rows(rows)
    assert len(found.classes) == 6 and len(found.plans) == 4
    assert [p.reserve for p in found.plans] == [4.0, 0.0, 4.0, 0.0]
    assert [p.limit_rate for p in found.plans] == [5.0, 0.0, 5.0, 0.0]
    version = tables.get("d1")
    assert (version.classes_at, version.plans_at) == (3, 2)
    assert tables.told(4, 2) == ("d1", 1, 0) and tables.told(2, 1) == ("", 2, 1)
    # It is the good one now and another is tried: the first stays where it is, the third finds no place yet.
    two = changed(("rules", "classes", 1, "aim_ms"), 50.0)
    three = changed(("rules", "classes", 1, "aim_ms"), 60.0)
    d2, d3 = r.canonical(two), r.canonical(three)
    assert tables.hold(1.0, {"d1": d1, "d2": d2}, "d1") == []
    assert tables.get("d2").classes_at == 6 and tables.told(4, 3) == ("d1", 1, 1)
    assert [p.reserve for p in tables.rows(rows).plans] == [10.0, 0.0, 4.0, 0.0, 4.0, 0.0]
    assert "places are in use" in tables.hold(2.0, {"d1": d1, "d3": d3}, "d1")[0]
    assert tables.get("d3") is None and tables.rows(rows).classes[7].latency_objective_ms == 50.0
    # Only once no request can live any more by the one that left.
    later = 1.0 + tables.keep_ms
    assert tables.hold(later - 1, {"d1": d1, "d3": d3}, "d1") != []
    assert tables.hold(later, {"d1": d1, "d3": d3}, "d1") == []
    assert tables.get("d2") is None and tables.told(7, 4)[0] == "d3"
    assert tables.rows(rows).classes[7].latency_objective_ms == 60.0


# --- the decree and its steps


def test_golden_samples():
    state = RolloutState(3, "running", "ab" * 12, 1, 2, "cd" * 12, 0, "why", {"x": 1.0}, ["ef" * 12])
    assert lifecycle.encode(state).hex() == (
        "9b0103a772756e6e696e67b86162616261626162616261626162616261626162616261620102b8636463646364636463"
        "64636463646364636463646364636400a377687981a178cb3ff000000000000091b86566656665666566656665666566"
        "65666566656665666566"
    )
    assert lifecycle.decode(lifecycle.encode(state)) == state
    piece = CountsEntry(bytes(12), OutcomeCounts([1, 2], [[0, 1]] * 5))
    assert (
        evidence.encode(piece).hex()
        == "9301c40c0000000000000000000000009292010295920001920001920001920001920001"
    )
    back = LocalRollback(bytes(12), "w")
    assert evidence.encode(back).hex() == "9301c40c000000000000000000000000a177"
    # A later version's further fields are passed over; another version is told apart from damage.
    wider = msgspec.msgpack.encode([*msgspec.msgpack.decode(lifecycle.encode(state)), "more"])
    assert lifecycle.decode(wider) == state
    with pytest.raises(UnknownRulesVersionError):
        lifecycle.decode(msgspec.msgpack.encode([2, "anything"]))
    with pytest.raises(UnknownRulesVersionError):
        decode_counts(msgspec.msgpack.encode([2, "anything"]))
    assert (
        len(evidence.encode(CountsEntry(bytes(12), OutcomeCounts([2**53, 2**53], [[2**53, 2**53]] * 5))))
        <= 640
    )
    full = msgspec.structs.replace(
        state,
        reason="w" * 120,
        statistics={f"marks {n:02}": 1e300 for n in range(12)},
        ended_digests=["0" * 12] * MAX_ENDED_DIGESTS,
    )
    assert len(lifecycle.encode(full)) <= 600  # it goes by the spread itself, and needs no seat to be asked


@given(st.binary(max_size=64))
def test_whatever_bytes_come_are_read_or_refused_by_type(data):
    for read in (lifecycle.decode, decode_counts, decode_rollback, r.read):
        try:
            read(data)
        except (InvalidRulesError, UnknownRulesVersionError):
            pass


def test_a_rollout_goes_through_its_stages_and_never_begins_again_unchanged():
    state = start_rollout(None, b"one")
    with pytest.raises(RolloutInProgressError):
        start_rollout(state, b"two")
    for stage in (1, 2):
        state = advance(state, COURSE, {})
        assert (state.stage, state.running) == (stage, True)
    state = advance(state, COURSE, {"answers": 5.0})
    assert (state.status, state.good_digest, state.good_slot) == ("done", document_digest(b"one"), 0)
    with pytest.raises(RolloutAlreadyEndedError):
        start_rollout(state, b"one")  # it is the good one
    with pytest.raises(RolloutNotFoundError):
        end_rollout(state, RolloutStatus.WITHDRAWN, "", {})
    state = start_rollout(state, b"two")
    assert (state.document_slot, state.good_slot) == (1, 0)  # never over the good one's document
    state = end_rollout(state, RolloutStatus.HALTED, "worse", {})
    assert (state.good_digest, state.running) == (document_digest(b"one"), False)
    with pytest.raises(RolloutAlreadyEndedError):
        start_rollout(state, b"two")
    for number in range(40):
        state = end_rollout(start_rollout(state, b"x%d" % number), RolloutStatus.EXPIRED, "", {})
    assert len(state.ended_digests) == MAX_ENDED_DIGESTS


def test_a_stage_takes_its_time_and_evidence_on_one_leaders_clock_and_never_steps_without():
    pace, state = StagePacer(), start_rollout(None, b"one")
    enough = LeaderFindings(10)
    assert pace.next_state(0, 7, state, COURSE, enough) is None
    assert pace.next_state(99, 7, state, COURSE, enough) is None
    assert pace.next_state(100, 7, state, COURSE, LeaderFindings(9)) is None
    new = StagePacer()  # another leader: the time begins anew
    assert new.next_state(100, 7, state, COURSE, enough) is None
    assert new.next_state(199, 7, state, COURSE, enough) is None
    after = new.next_state(200, 7, state, COURSE, enough)
    assert after is not None and after.stage == 1
    # The same leader on the new decree: its time begins with it.
    assert new.next_state(201, 8, after, COURSE, enough) is None
    assert new.next_state(300, 8, after, COURSE, enough) is None
    assert new.next_state(301, 8, after, COURSE, enough).stage == 2
    halted = new.next_state(301, 8, after, COURSE, LeaderFindings(10, "worse"))
    assert (halted.status, halted.reason, halted.ended_digests) == ("halted", "worse", [state.digest[:12]])
    assert new.next_state(301, 8, after, COURSE, LeaderFindings(0, rollback_count=2)).status == "halted"
    assert new.next_state(201 + 3.6e6, 8, after, COURSE, LeaderFindings(0)).status == "expired"
    assert new.next_state(9e9, 9, halted, COURSE, enough) is None


def test_parts_grow_and_another_document_draws_anew():
    volumes = [f"v{n}" for n in range(2000)]
    one, two = document_digest(b"1"), document_digest(b"2")
    small = {x for x in volumes if selects_volume(one, x, 0.05)}
    assert small <= {x for x in volumes if selects_volume(one, x, 0.3)}
    assert 60 < len(small) < 140
    assert len(small & {x for x in volumes if selects_volume(two, x, 0.05)}) < 25
    state = start_rollout(None, b"1")
    inside = next(iter(small))
    assert eligible_stage(state, COURSE, inside, "z") == COURSE.stages[0]
    second = advance(state, COURSE, {})
    assert eligible_stage(second, COURSE, "any", "y") is None
    assert eligible_stage(second, COURSE, "any", "z") is not None
    assert eligible_stage(end_rollout(state, RolloutStatus.HALTED, "", {}), COURSE, inside, "z") is None


def test_a_process_that_a_candidate_kills_three_times_goes_back_and_one_that_ends_in_order_does_not():
    kept = CrashRecord()
    backs = []
    for wall in (0, 1000, 2000, 3000, 4000):
        kept = record_start(kept, "aa", wall, max_starts=3, window_ms=60000)
        backs.append(kept.rollback_reason != "")
    assert backs == [False, False, False, True, True]  # the fourth start finds three without an end
    kept = CrashRecord()
    for wall in range(0, 10000, 1000):
        kept = msgspec.structs.replace(
            record_start(kept, "aa", wall, max_starts=3, window_ms=60000), running=False
        )
    assert not kept.rollback_reason
    slow = CrashRecord()
    for wall in range(0, 10**6, 50000):  # seldom enough
        slow = record_start(slow, "aa", wall, max_starts=3, window_ms=60000)
    assert not slow.rollback_reason
    assert record_start(kept, "bb", 0, max_starts=3, window_ms=1) == CrashRecord(digest="bb", running=True)


# --- counts that merge

ENDS = st.tuples(
    st.integers(0, 2),
    st.integers(0, 1),
    st.booleans(),
    st.sampled_from(list(RequestOutcome)),
    st.floats(0, 500),
)


@settings(max_examples=60)
@given(st.lists(st.lists(ENDS, max_size=12), min_size=1, max_size=4), st.randoms(use_true_random=False))
def test_merging_counts_does_not_mind_order_loss_and_repetition(processes, draw):
    digest = "00" * 12
    entries, last = [], {}
    for number, ends in enumerate(processes):
        own = LocalCounts(digest)
        for cls, stage, candidate, ended, ms in ends:
            own.record(cls, stage, candidate, ended, ms, 200.0)
            entries += [((f"p{number}", 1), key, value) for key, value in own.drain_changes()]
    for origin, key, value in entries:
        last[origin, key] = value
    heard, shuffled = FleetCounts(digest), FleetCounts(digest)
    for (origin, key), value in last.items():
        heard.merge(origin, key, value)
    many = entries * 2
    draw.shuffle(many)
    for origin, key, value in many:
        shuffled.merge(origin, key, value)
    assert heard.totals_by_class() == shuffled.totals_by_class()
    assert sum(t.trials[0] + t.trials[1] for t in heard.totals_by_class().values()) == sum(
        map(len, processes)
    )
    assert not any(heard.merge(*entry) for entry in entries)
    assert not FleetCounts("11" * 12).merge(*(entries or [(("p", 1), "x", b"")])[0])


def test_marks_are_measured_by_the_good_versions_aim():
    own = LocalCounts("00" * 12)
    for ended, ms in (
        (RequestOutcome.SERVED, 90),
        (RequestOutcome.SERVED, 120),
        (RequestOutcome.SERVED, 250),
        (RequestOutcome.REJECTED, 900),
        (RequestOutcome.FAILED, 1),
        (RequestOutcome.CLIENT_LEFT, 1),
    ):
        own.record(0, 0, True, ended, ms, 200.0)
    assert own.counts[0, 0].trials == [6, 0]
    assert [mark[0] for mark in own.counts[0, 0].faults] == [1, 1, 1, 1, 2]


# --- the test


def heard_of(processes):
    """Return counts as of processes' (candidate bad, candidate trials, good bad, good trials) refusals."""
    heard = FleetCounts("00" * 12)
    for number, (bad, trials, other, others) in enumerate(processes):
        tally = OutcomeCounts([trials, others], [[bad, other], *[[0, 0] for _ in FAULT_KINDS[1:]]])
        heard.merge((f"p{number}", 1), counts_key(0, 0), evidence.encode(CountsEntry(bytes(12), tally)))
    return heard


def test_wealth_is_a_fair_game_under_the_null_and_a_losing_one_below_it():
    """The bets' mean over the coin is one at the edge of what is tolerated: Ville's inequality holds."""
    for share in (0.1, 0.5, 0.9):
        for tolerate in (1.0, 1.3):
            null = tolerate * (1 - share) / (tolerate * (1 - share) + share)
            bad = log_wealths(OutcomeCounts([0, 0], [[1, 0]] * 5), 0, share, tolerate)
            good = log_wealths(OutcomeCounts([0, 0], [[0, 1]] * 5), 0, share, tolerate)
            for one, other in zip(bad, good, strict=True):
                won, lost = math.exp(one), math.exp(other)
                assert null * won + (1 - null) * lost == pytest.approx(1.0)
                assert (null - 0.05) * won + (1 - null + 0.05) * lost < 1


def test_many_processes_accuse_and_one_alone_does_not():
    assert not accusations_from_counts(heard_of([(300, 400, 5, 400)]), COURSE, 5)  # one process, however sure
    found = accusations_from_counts(heard_of([(40, 400, 10, 400)] * 4), COURSE, 5)
    assert found and found[0].fault_kind == "refused" and found[0].candidate == (160, 1600)
    assert "refused 160 of 1600" in found[0].describe(["reads", "x", "y", "z", "w"])
    # What fails both alike accuses nothing, however much it is.
    assert not accusations_from_counts(heard_of([(390, 400, 385, 400)] * 50), COURSE, 5)
    assert not accusations_from_counts(heard_of([(10, 400, 40, 400)] * 50), COURSE, 5)


def test_a_process_far_worse_goes_back_alone():
    own = LocalCounts("00" * 12)
    draw = random.Random(1)
    ends = {True: 0.5, False: 0.02}
    for _ in range(400):
        candidate = draw.random() < 0.5
        ended = RequestOutcome.FAILED if draw.random() < ends[candidate] else RequestOutcome.SERVED
        own.record(1, 0, candidate, ended, 10.0, 200.0)
    found = local_accusation(own, COURSE, 5)
    assert found is not None and (found.request_class, found.fault_kind) == (1, "failed")
    ends[True] = 0.04
    own = LocalCounts("00" * 12)
    for _ in range(4000):
        candidate = draw.random() < 0.5
        ended = RequestOutcome.FAILED if draw.random() < ends[candidate] else RequestOutcome.SERVED
        own.record(1, 0, candidate, ended, 10.0, 200.0)
    assert local_accusation(own, COURSE, 5) is None  # worse, but that is for all to judge
