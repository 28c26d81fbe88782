"""Reconnect backoff: planners in turn, with growing and randomly spread waits."""

import random

import pytest

from cressrock.edge.reconnect import ReconnectBackoff


def test_reconnects_are_spread_and_try_planners_in_turn():
    waits = []
    for seed in range(190):
        backoff = ReconnectBackoff(("p1", "p2"), random.Random(seed), min_wait_ms=500, max_wait_ms=10000)
        assert backoff.next_attempt().planner == "p1"
        backoff.planner_lost(0)
        assert backoff.next_attempt().planner == "p2"
        backoff.planner_joined()
        backoff.planner_lost(0)
        assert backoff.next_attempt().planner == "p1"  # not the one that was just lost
        backoff.planner_lost(0)
        for _ in range(9):
            backoff.planner_lost(0)
        waits.append(backoff.next_attempt().at_ms)
    assert max(waits) > 7000
    by_second = [sum(second <= wait_ms < second + 1000 for wait_ms in waits) for second in range(8000)]
    assert max(by_second) < 50


def test_backoff_needs_a_planner():
    with pytest.raises(ValueError, match="at least one"):
        ReconnectBackoff((), random.Random(1), min_wait_ms=1, max_wait_ms=2)
