"""Causal order of watchers' events, checked over simulated network partitions and gateway crashes."""

import pytest

from cressrock.lab.presence_check import check, converged
from cressrock.presence.causal_delivery import CausalDelivery
from tests.presence.support import QUICK, Day

SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_watcher_histories_are_correct_under_partitions_and_crashes(seed):
    day = Day(seed).run()
    live_watchers = day.living_watchers
    assert len(live_watchers) >= len(day.rooms) and len(day.watched) == day.gateways * len(day.rooms)
    violations = check(day.acts, live_watchers, grace_ms=QUICK.grace_ms) + converged(
        live_watchers, day.members
    )
    assert not violations, (seed, violations[:5])
    assert sum(len(told.events) for watcher in live_watchers for told in watcher.told) > 20


def test_checker_detects_effects_before_causes_if_changes_are_not_delayed(monkeypatch):
    """Verifies the checker itself: the same simulations, with every change shown as soon as it arrives."""
    monkeypatch.setattr(CausalDelivery, "_is_shown", lambda self, now_ms, view, stamp: True)
    findings = []
    for seed in SEEDS:
        day = Day(seed).run()
        findings += check(day.acts, day.living_watchers, grace_ms=QUICK.grace_ms)
    assert any("is shown before" in finding for finding in findings)
