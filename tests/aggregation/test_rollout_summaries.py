"""Accusations from collectors' sums match those from all counts, and are never stronger."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.rollout import evidence, verdict
from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.plan import DIGEST_BYTES, RolloutPlan, Stage, Thresholds
from cressrock.rollout.summaries import FleetSummary, ZoneSummarizer, keep_fullest

DIGEST = "ab" * DIGEST_BYTES
ANOTHER_DIGEST = "cd" * DIGEST_BYTES
ZONES = "abc"
CLASSES = 2


def rollout_plan(min_accusers):
    return RolloutPlan(
        stages=[
            Stage(volume_fraction=0.5, control_fraction=0.5),
            Stage(control_fraction=0.2),
        ],
        thresholds=Thresholds(min_accusers=min_accusers),
    )


def make_summarizer(min_accusers):
    """Return a summarizer for the rollout in `DIGEST`."""
    new_summarizer = ZoneSummarizer()
    new_summarizer.follow(DIGEST, rollout_plan(min_accusers), CLASSES)
    return new_summarizer


def zone_of(origin):
    name, _ = origin
    return ZONES[int(name[1:]) % 3]


def random_counts(source, processes):
    """Return each incarnation's entries; in some processes the candidate fails more often than the rest."""
    counts = {}
    for number in range(processes):
        for incarnation in range(1, source.choice([2, 2, 3])):
            own = LocalCounts(DIGEST)
            bad_fraction = source.choice([0.02, 0.05, 0.5])
            for _ in range(source.randint(0, 60)):
                candidate = source.random() < 0.5
                bad = source.random() < (bad_fraction if candidate else 0.05)
                outcome = evidence.RequestOutcome.REJECTED if bad else evidence.RequestOutcome.SERVED
                own.record(source.randrange(2), source.randrange(2), candidate, outcome, 10.0, 100.0)
            counts[f"e{number}", incarnation] = own.drain_changes()
    return counts


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([1, 2, 3, 5, 8]))
def test_accusations_from_zone_sums_match_or_understate_those_from_all_counts(seed, min_accuser_count):
    source = random.Random(seed)
    fleet_counts, summarizers = (
        FleetCounts(DIGEST),
        {zone: make_summarizer(min_accuser_count) for zone in ZONES},
    )
    counts = random_counts(source, source.randint(1, 20))
    entries = [(origin, key, value) for origin, changes in counts.items() for key, value in changes]
    repeated = source.choices(entries, k=9) if entries else []  # few processes may have no counts at all
    for origin, key, value in source.sample(entries, len(entries)) + repeated:
        fleet_counts.merge(origin, key, value)
        summarizers[zone_of(origin)].receive(origin, key, value, 0.0)
    sums = {
        zone: summarizer.summarize(zone, [origin for origin in counts if zone_of(origin) == zone], 0.0)
        for zone, summarizer in summarizers.items()
    }
    summary = FleetSummary(DIGEST, sums)
    assert summary.totals == dict(fleet_counts.totals)
    assert summary.process_count() == fleet_counts.process_count()
    assert summary.candidate_trials(1) == fleet_counts.candidate_trials(1)
    by_counts = verdict.accusations_from_counts(fleet_counts, rollout_plan(min_accuser_count), CLASSES)
    by_sums = verdict.accusations(summary, rollout_plan(min_accuser_count), CLASSES)
    if min_accuser_count - 1 <= evidence.MAX_TOP_FACTORS:
        assert [(a.request_class, a.fault_kind, a.candidate) for a in by_counts] == [
            (a.request_class, a.fault_kind, a.candidate) for a in by_sums
        ]
        for expected, actual in zip(by_counts, by_sums, strict=True):
            assert expected.log_wealth == pytest.approx(actual.log_wealth, rel=1e-5)
    else:
        log_wealth_by_counts = {(a.request_class, a.fault_kind): a.log_wealth for a in by_counts}
        assert all(
            a.log_wealth <= log_wealth_by_counts.get((a.request_class, a.fault_kind), -1.0) + 1e-3
            for a in by_sums
        )
    # Counts of ended incarnations remain, and less complete sums replace nothing.
    kept_sums = {}
    keep_fullest(kept_sums, sums, DIGEST)
    partial_summarizer = make_summarizer(min_accuser_count)
    first_origin = list(counts)[:1]
    for origin in first_origin:
        for key, value in counts[origin]:
            partial_summarizer.receive(origin, key, value, 0.0)
    keep_fullest(kept_sums, {"a": partial_summarizer.summarize("a", first_origin, 0.0)}, DIGEST)
    keep_fullest(kept_sums, {"a": {"rollout/sum/0": b"\x01", "x": b"y"}}, DIGEST)
    assert FleetSummary(DIGEST, kept_sums).totals == summary.totals
    keep_fullest(kept_sums, sums, ANOTHER_DIGEST)
    assert FleetSummary(ANOTHER_DIGEST, kept_sums).totals == {}


def test_counts_reported_before_the_candidate_is_known_are_included():
    sums, own = ZoneSummarizer(), LocalCounts(DIGEST)
    own.record(0, 0, True, evidence.RequestOutcome.SERVED, 1.0, 10.0)
    for key, value in own.drain_changes():
        sums.receive(("e1", 1), key, value, 0.0)
    rollback = evidence.encode(evidence.LocalRollback(bytes.fromhex(DIGEST), "too slow"))
    sums.receive(("e1", 1), evidence.ROLLBACK_KEY, rollback, 0.0)
    assert sums.summarize("a", [("e1", 1)], 0.0) == {}
    sums.follow(DIGEST, rollout_plan(2), CLASSES)
    summary = FleetSummary(DIGEST, {"a": sums.summarize("a", [("e1", 1)], 0.0)})
    assert summary.candidate_trials(0) == 1 and summary.rollback_count() == 1
    assert summary.rollback_reasons == {"e1": "too slow"}
    sums.forget(("e1", 1))
    assert FleetSummary(DIGEST, {"a": sums.summarize("a", [], 0.0)}).candidate_trials(0) == 1
