"""Causes before effects, through days of cuts and deaths, as a checker reads watchers' histories."""

import pytest

from cressrock.lab.presence_check import check, converged
from cressrock.presence.causal_delivery import CausalDelivery
from tests.presence.support import QUICK, Day

SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_days_of_cuts_and_deaths_leave_every_watchers_history_right(seed):
    day = Day(seed).run()
    living = day.living_watchers
    assert len(living) >= len(day.rooms) and len(day.watched) == day.gateways * len(day.rooms)
    wrong = check(day.acts, living, grace_ms=QUICK.grace_ms) + converged(living, day.members)
    assert not wrong, (seed, wrong[:5])
    assert sum(len(told.events) for watcher in living for told in watcher.told) > 20


def test_without_causes_held_back_the_checker_finds_effects_before_them(monkeypatch):
    """The bound of the checker itself: the same days, with every change shown as it comes."""
    monkeypatch.setattr(CausalDelivery, "_is_shown", lambda self, now_ms, view, stamp: True)
    findings = []
    for seed in SEEDS:
        day = Day(seed).run()
        findings += check(day.acts, day.living_watchers, grace_ms=QUICK.grace_ms)
    assert any("is shown before" in finding for finding in findings)
