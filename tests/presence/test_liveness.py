"""Verdicts on gateways, majorities, and the choice of a room's replicas."""

import pytest

from cressrock.presence.liveness import (
    Certainty,
    Gateway,
    GatewayState,
    Verdict,
    assess,
    is_incarnation_over,
    majority_of_region,
    replica_order,
    unreported_gateways,
)

LIMITS = {"suspect_after_ms": 3000, "dead_after_ms": 60000}


@pytest.fixture
def others():
    return [
        Gateway("b", 1, "r", GatewayState.ALIVE, 0),
        Gateway("c", 1, "r", GatewayState.SUSPECT, 0),
        Gateway("d", 1, "r", GatewayState.DEAD, 0),
        Gateway("e", 1, "s", GatewayState.ALIVE, 0),
    ]


def test_gateway_is_dead_only_after_dead_after_ms():
    assert assess(0, 3000, synced=True, **LIMITS) == Verdict(Certainty.CONFIRMED, 0)
    assert assess(0, 10, synced=False, **LIMITS).certainty is Certainty.SUSPECTED
    assert assess(0, 3001, synced=True, **LIMITS) == Verdict(Certainty.SUSPECTED, 0)
    assert assess(0, 60001, synced=True, **LIMITS) == Verdict(Certainty.DEAD, 60000)


def test_majority_counts_alive_and_suspected_gateways_of_the_region(others):
    assert majority_of_region("r", others) == (2, 3)
    assert replica_order("docs", "r", others) == ["b"]


def test_unreported_gateways_are_listed_with_their_reason(others):
    unreported = unreported_gateways(others, ["b", "c"], {"b": 5.0}, [])
    assert [(gateway.name, gateway.reason) for gateway in unreported] == [
        ("b", "silent"),
        ("c", "unsure"),
        ("d", "gone"),
        ("e", "not yet heard"),
    ]


def test_incarnation_is_over_once_dead_or_replaced_for_dead_after_ms(others):
    assert not is_incarnation_over("d", 1, others, 100, 100)
    assert is_incarnation_over("d", 1, others, 101, 100)
    assert not is_incarnation_over("b", 1, others, 1e9, 100)
    assert is_incarnation_over("b", 0, others, 1e9, 100)
    assert not is_incarnation_over("x", 1, others, 1e9, 100)
