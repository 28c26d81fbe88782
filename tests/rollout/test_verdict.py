"""The sequential test: its bets, the minimum number of accusers, and local rollbacks."""

import math
import random

import pytest

from cressrock.rollout import evidence
from cressrock.rollout.betting import log_wealths
from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.evidence import (
    FAULT_KINDS,
    CountsEntry,
    OutcomeCounts,
    RequestOutcome,
    counts_key,
)
from cressrock.rollout.verdict import accusations_from_counts, local_accusation
from tests.rollout.support import PLAN


def fleet_counts_of(processes):
    """Return counts of rejections; a process is (candidate faults and trials, control faults and trials)."""
    fleet = FleetCounts("00" * 12)
    for index, (candidate_faults, trials, control_faults, control_trials) in enumerate(processes):
        entry_counts = OutcomeCounts(
            [trials, control_trials], [[candidate_faults, control_faults], *[[0, 0] for _ in FAULT_KINDS[1:]]]
        )
        fleet.merge((f"p{index}", 1), counts_key(0, 0), evidence.encode(CountsEntry(bytes(12), entry_counts)))
    return fleet


def test_expected_wealth_is_constant_under_the_null_and_falls_below_it():
    """At the tolerated odds ratio each bet's expected factor is one, as Ville's inequality requires."""
    for control_fraction in (0.1, 0.5, 0.9):
        for tolerated_odds in (1.0, 1.3):
            null = (
                tolerated_odds
                * (1 - control_fraction)
                / (tolerated_odds * (1 - control_fraction) + control_fraction)
            )
            candidate_logs = log_wealths(
                OutcomeCounts([0, 0], [[1, 0]] * 5), 0, control_fraction, tolerated_odds
            )
            control_logs = log_wealths(
                OutcomeCounts([0, 0], [[0, 1]] * 5), 0, control_fraction, tolerated_odds
            )
            for candidate_log, control_log in zip(candidate_logs, control_logs, strict=True):
                gain, loss = math.exp(candidate_log), math.exp(control_log)
                assert null * gain + (1 - null) * loss == pytest.approx(1.0)
                assert (null - 0.05) * gain + (1 - null + 0.05) * loss < 1


def test_several_processes_can_halt_a_candidate_and_a_single_one_cannot():
    # A single process, however strong its evidence.
    assert not accusations_from_counts(fleet_counts_of([(300, 400, 5, 400)]), PLAN, 5)
    accusations = accusations_from_counts(fleet_counts_of([(40, 400, 10, 400)] * 4), PLAN, 5)
    assert accusations and accusations[0].fault_kind == "refused" and accusations[0].candidate == (160, 1600)
    assert "refused 160 of 1600" in accusations[0].describe(["reads", "x", "y", "z", "w"])
    # Faults that affect both versions equally are no evidence, however many there are.
    assert not accusations_from_counts(fleet_counts_of([(390, 400, 385, 400)] * 50), PLAN, 5)
    assert not accusations_from_counts(fleet_counts_of([(10, 400, 40, 400)] * 50), PLAN, 5)


def test_a_process_with_many_more_faults_rolls_back_locally():
    local = LocalCounts("00" * 12)
    rng = random.Random(1)
    fault_probability = {True: 0.5, False: 0.02}
    for _ in range(400):
        candidate = rng.random() < 0.5
        outcome = (
            RequestOutcome.FAILED if rng.random() < fault_probability[candidate] else RequestOutcome.SERVED
        )
        local.record(1, 0, candidate, outcome, 10.0, 200.0)
    accusation = local_accusation(local, PLAN, 5)
    assert accusation is not None and (accusation.request_class, accusation.fault_kind) == (1, "failed")
    fault_probability[True] = 0.04
    local = LocalCounts("00" * 12)
    for _ in range(4000):
        candidate = rng.random() < 0.5
        outcome = (
            RequestOutcome.FAILED if rng.random() < fault_probability[candidate] else RequestOutcome.SERVED
        )
        local.record(1, 0, candidate, outcome, 10.0, 200.0)
    assert local_accusation(local, PLAN, 5) is None  # more faults, but not enough for a local rollback
