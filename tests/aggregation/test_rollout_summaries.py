"""Collectors' sums of rollouts' counts accuse as all counts do, and never more."""

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


def plan(min_accusers):
    return RolloutPlan(
        stages=[
            Stage(volume_fraction=0.5, control_fraction=0.5),
            Stage(control_fraction=0.2),
        ],
        thresholds=Thresholds(min_accusers=min_accusers),
    )


def summarizer(min_accusers):
    """Return a summarizer that follows the rollout."""
    following = ZoneSummarizer()
    following.follow(DIGEST, plan(min_accusers), CLASSES)
    return following


def zone_of(origin):
    name, _ = origin
    return ZONES[int(name[1:]) % 3]


def drawn_counts(source, processes):
    """Return each incarnation's entries: some processes fare badly under the candidate, most as beside it."""
    counts = {}
    for number in range(processes):
        for incarnation in range(1, source.choice([2, 2, 3])):
            own = LocalCounts(DIGEST)
            chance = source.choice([0.02, 0.05, 0.5])
            for _ in range(source.randint(0, 60)):
                candidate = source.random() < 0.5
                bad = source.random() < (chance if candidate else 0.05)
                outcome = evidence.RequestOutcome.REJECTED if bad else evidence.RequestOutcome.SERVED
                own.record(source.randrange(2), source.randrange(2), candidate, outcome, 10.0, 100.0)
            counts[f"e{number}", incarnation] = own.drain_changes()
    return counts


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([1, 2, 3, 5, 8]))
def test_rollouts_sums_by_zone_accuse_as_all_counts_do_and_never_more(seed, accusers):
    source = random.Random(seed)
    everything, summarizers = FleetCounts(DIGEST), {zone: summarizer(accusers) for zone in ZONES}
    counts = drawn_counts(source, source.randint(1, 20))
    entries = [(origin, key, value) for origin, changes in counts.items() for key, value in changes]
    repeated = source.choices(entries, k=9) if entries else []  # of few processes none may have counted any
    for origin, key, value in source.sample(entries, len(entries)) + repeated:
        everything.merge(origin, key, value)
        summarizers[zone_of(origin)].receive(origin, key, value, 0.0)
    sums = {
        zone: one.summarize(zone, [origin for origin in counts if zone_of(origin) == zone], 0.0)
        for zone, one in summarizers.items()
    }
    summary = FleetSummary(DIGEST, sums)
    assert summary.totals == dict(everything.totals)
    assert summary.process_count() == everything.process_count()
    assert summary.candidate_trials(1) == everything.candidate_trials(1)
    by_counts = verdict.accusations_from_counts(everything, plan(accusers), CLASSES)
    by_sums = verdict.accusations(summary, plan(accusers), CLASSES)
    if accusers - 1 <= evidence.MAX_TOP_FACTORS:
        assert [(a.request_class, a.fault_kind, a.candidate) for a in by_counts] == [
            (a.request_class, a.fault_kind, a.candidate) for a in by_sums
        ]
        for one, other in zip(by_counts, by_sums, strict=True):
            assert one.log_wealth == pytest.approx(other.log_wealth, rel=1e-5)
    else:
        sure = {(a.request_class, a.fault_kind): a.log_wealth for a in by_counts}
        assert all(a.log_wealth <= sure.get((a.request_class, a.fault_kind), -1.0) + 1e-3 for a in by_sums)
    # What a dead incarnation has reported counts on, and a collector with less replaces nothing.
    kept = {}
    keep_fullest(kept, sums, DIGEST)
    fewer = summarizer(accusers)
    first = list(counts)[:1]
    for origin in first:
        for key, value in counts[origin]:
            fewer.receive(origin, key, value, 0.0)
    keep_fullest(kept, {"a": fewer.summarize("a", first, 0.0)}, DIGEST)
    keep_fullest(kept, {"a": {"rollout/sum/0": b"\x01", "x": b"y"}}, DIGEST)
    assert FleetSummary(DIGEST, kept).totals == summary.totals
    keep_fullest(kept, sums, ANOTHER_DIGEST)
    assert FleetSummary(ANOTHER_DIGEST, kept).totals == {}


def test_sums_of_a_candidate_that_is_heard_of_late_count_what_was_reported_before():
    sums, own = ZoneSummarizer(), LocalCounts(DIGEST)
    own.record(0, 0, True, evidence.RequestOutcome.SERVED, 1.0, 10.0)
    for key, value in own.drain_changes():
        sums.receive(("e1", 1), key, value, 0.0)
    rollback = evidence.encode(evidence.LocalRollback(bytes.fromhex(DIGEST), "too slow"))
    sums.receive(("e1", 1), evidence.ROLLBACK_KEY, rollback, 0.0)
    assert sums.summarize("a", [("e1", 1)], 0.0) == {}
    sums.follow(DIGEST, plan(2), CLASSES)
    summary = FleetSummary(DIGEST, {"a": sums.summarize("a", [("e1", 1)], 0.0)})
    assert summary.candidate_trials(0) == 1 and summary.rollback_count() == 1
    assert summary.rollback_reasons == {"e1": "too slow"}
    sums.forget(("e1", 1))
    assert FleetSummary(DIGEST, {"a": sums.summarize("a", [], 0.0)}).candidate_trials(0) == 1
