"""The sequential test: its bets, its accusers, and one process's own verdict."""

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
    """Return counts as of processes' (candidate bad, candidate trials, good bad, good trials) refusals."""
    fleet = FleetCounts("00" * 12)
    for number, (bad, trials, other, others) in enumerate(processes):
        tally = OutcomeCounts([trials, others], [[bad, other], *[[0, 0] for _ in FAULT_KINDS[1:]]])
        fleet.merge((f"p{number}", 1), counts_key(0, 0), evidence.encode(CountsEntry(bytes(12), tally)))
    return fleet


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
    assert not accusations_from_counts(
        fleet_counts_of([(300, 400, 5, 400)]), PLAN, 5
    )  # one process, however sure
    found = accusations_from_counts(fleet_counts_of([(40, 400, 10, 400)] * 4), PLAN, 5)
    assert found and found[0].fault_kind == "refused" and found[0].candidate == (160, 1600)
    assert "refused 160 of 1600" in found[0].describe(["reads", "x", "y", "z", "w"])
    # What fails both alike accuses nothing, however much it is.
    assert not accusations_from_counts(fleet_counts_of([(390, 400, 385, 400)] * 50), PLAN, 5)
    assert not accusations_from_counts(fleet_counts_of([(10, 400, 40, 400)] * 50), PLAN, 5)


def test_a_process_far_worse_goes_back_alone():
    own = LocalCounts("00" * 12)
    draw = random.Random(1)
    ends = {True: 0.5, False: 0.02}
    for _ in range(400):
        candidate = draw.random() < 0.5
        ended = RequestOutcome.FAILED if draw.random() < ends[candidate] else RequestOutcome.SERVED
        own.record(1, 0, candidate, ended, 10.0, 200.0)
    found = local_accusation(own, PLAN, 5)
    assert found is not None and (found.request_class, found.fault_kind) == (1, "failed")
    ends[True] = 0.04
    own = LocalCounts("00" * 12)
    for _ in range(4000):
        candidate = draw.random() < 0.5
        ended = RequestOutcome.FAILED if draw.random() < ends[candidate] else RequestOutcome.SERVED
        own.record(1, 0, candidate, ended, 10.0, 200.0)
    assert local_accusation(own, PLAN, 5) is None  # worse, but that is for all to judge
