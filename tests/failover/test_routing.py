"""Reads go to the home zone, to other zones within safe rates, or are shed."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.consensus.decisions import Decision, Expired
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision, ZoneDecision, ZoneState
from cressrock.failover.reports import ZoneHealth
from cressrock.failover.routing import Route, Shed
from cressrock.failover.settings import FULL_SHARE
from cressrock.interface import Outcome
from tests.failover.support import (
    REGIONS,
    ZONES,
    as_stored,
    read_for,
    routed_by_tier,
    router,
    unreachable,
)

HOME = Route("a1", 0)


def test_reads_stay_local_in_steady_state():
    assert set(read_for(router(), 20)) == {HOME}


def test_an_edge_that_cannot_reach_its_zone_reads_elsewhere_within_its_share():
    edge = router(edges=3)
    answers = read_for(edge, 60, outcome_of=unreachable("a1"))
    limits = edge.settings
    spare = limits.alone * (limits.bears - limits.usual) * 300.0
    later = answers[1000:]
    for zone in ("a2", "b1"):
        sent = sum(isinstance(answer, Route) and answer.zone == zone for answer in later)
        assert sent <= spare * 40 * 1.05
    assert routed_by_tier(later)[0] < 0.15 * len(later), "only trial reads"
    assert all(answer.retry_after_ms > 0 for answer in answers if isinstance(answer, Shed))


@pytest.fixture
def a1_evacuated():
    return FailoverDecision([ZoneDecision("a1", ZoneState.EVACUATED, 0, 1, 1)], {"a2": 10.0}, 10.0)


def test_reads_with_a_reserve_get_at_least_the_same_rate(a1_evacuated):
    sent = []
    for reserved in (False, True):
        edge = router()
        read_for(edge, 20)
        edge.evidence.due_updates(20000.0, False)
        edge.apply_decision(decision.TOPIC, as_stored(a1_evacuated), 20000.0)
        sent.append(routed_by_tier(read_for(edge, 0.2, 50, 20000.0, reserved=reserved))[1])
    assert sent[1] >= sent[0]


def test_reads_with_a_reserve_are_served_first(a1_evacuated):
    edge = router()
    edge.apply_decision(decision.TOPIC, as_stored(a1_evacuated), 0.0)
    served = {True: [], False: []}
    for number in range(4000):
        reserved = number % 10 == 0
        answer = edge.route(["a2"], 1.0, reserved, number * 5.0)
        served[reserved].append(isinstance(answer, Route))
    share = {reserved: sum(answers) / len(answers) for reserved, answers in served.items()}
    assert share[True] > 2 * share[False]


def test_only_edges_of_blind_zones_leave_a_partitioned_zone():
    entry = ZoneDecision("a1", ZoneState.PARTITIONED, 0, 1, 10, ["b1"])
    partitioned = FailoverDecision([entry], {"a2": 100.0, "b1": 100.0}, 10.0)
    unaffected_edge, blind_edge = router(here="a1"), router(here="b1")
    for edge in (unaffected_edge, blind_edge):
        edge.apply_decision(decision.TOPIC, as_stored(partitioned), 0.0)
    assert set(read_for(unaffected_edge, 5)) == {HOME}
    assert HOME not in read_for(blind_edge, 5, zones=("a1", "a2"))[1:40]


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([1, 2, 4, 8, 16, 32]))
def test_all_edges_together_stay_within_the_share_of_a_recovering_zone(seed, share):
    source = random.Random(seed)
    edges = source.randint(2, 8)
    entry = ZoneDecision("a1", ZoneState.RECOVERING, share, 1, edges)
    recovering = FailoverDecision([entry], {"a2": 50.0}, 100.0)
    fleet = [router(source.getrandbits(30), edges=edges) for _ in range(edges)]
    for edge in fleet:
        edge.apply_decision(decision.TOPIC, as_stored(recovering), 0.0)
    sent = 0
    for now_ms in range(0, 4000, 10):
        for edge in fleet:
            answer = edge.route(list(REGIONS), 1.0, False, float(now_ms))
            sent += isinstance(answer, Route) and answer.zone == "a1"
    # At most the share of the zone's capacity over 4 s, and one unit per edge, although clients ask for 100
    # reads per second at each edge.
    assert sent <= 300.0 * share / FULL_SHARE * 4 + edges, seed


def test_without_consensus_edges_recover_at_different_times():
    entry = ZoneDecision("a1", ZoneState.EVACUATED, 0, 1, 10)
    evacuated = FailoverDecision([entry], {"a2": 100.0}, 100.0)
    recovery_times_s = []
    for seed in range(40):
        edge = router(seed, edges=90)
        edge.apply_decision(decision.TOPIC, as_stored(evacuated), 0.0)
        read_for(edge, 3, 20, 0.0)
        edge.apply_decision(decision.TOPIC, Expired(as_stored(evacuated), 10000.0), 10000.0)
        answers = read_for(edge, 60, 20, 10000.0)
        first_recovered = next(n for n in range(len(answers)) if set(answers[n : n + 40]) == {HOME})
        recovery_times_s.append(first_recovered / 20)
        assert HOME in answers
    assert max(recovery_times_s) - min(recovery_times_s) > 5.0 and min(recovery_times_s) > 5.0, (
        recovery_times_s
    )


def test_undecodable_decisions_are_treated_as_no_decision():
    edge = router()
    edge.apply_decision(decision.TOPIC, Decision(decision.TOPIC, 3, b"\x09nonsense", 1000.0), 0.0)
    assert edge.unreadable_decisions == 1 and set(read_for(edge, 2)) == {HOME}


@pytest.fixture
def edge_without_its_region():
    """Return an edge in a1 that could reach neither a1 nor a2 for 20 s."""
    edge = router(edges=3)
    read_for(edge, 20, outcome_of=unreachable("a1", "a2"))
    return edge


def test_a_remote_zone_that_failed_once_is_tried_again(edge_without_its_region):
    edge = edge_without_its_region
    assert [edge.evidence.health(zone) for zone in ZONES] == [
        ZoneHealth.UNREACHABLE,
        ZoneHealth.UNREACHABLE,
        ZoneHealth.HEALTHY,
    ]
    later = read_for(edge, 60, begin_ms=20000.0, outcome_of=unreachable("a1"))
    assert Route("a2", 1) in later[-500:]


def test_evidence_about_an_unused_zone_expires(edge_without_its_region):
    edge_without_its_region.record_attempt("b1", 0.0, Outcome.ABANDONED, 90000.0)
    assert edge_without_its_region.evidence.health("a2") is ZoneHealth.UNKNOWN
