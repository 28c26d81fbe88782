"""Counts of trials: which outcomes are faults, and merging the counts of many processes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.evidence import (
    RequestOutcome,
)

TRIALS = st.tuples(
    st.integers(0, 2),
    st.integers(0, 1),
    st.booleans(),
    st.sampled_from(list(RequestOutcome)),
    st.floats(0, 500),
)


@settings(max_examples=60)
@given(st.lists(st.lists(TRIALS, max_size=12), min_size=1, max_size=4), st.randoms(use_true_random=False))
def test_merged_counts_are_independent_of_order_loss_and_duplication(processes, rng):
    digest = "00" * 12
    entries, last_values = [], {}
    for index, trials in enumerate(processes):
        local = LocalCounts(digest)
        for request_class, stage, candidate, outcome, duration_ms in trials:
            local.record(request_class, stage, candidate, outcome, duration_ms, 200.0)
            entries += [((f"p{index}", 1), key, value) for key, value in local.drain_changes()]
    for origin, key, value in entries:
        last_values[origin, key] = value
    merged, shuffled = FleetCounts(digest), FleetCounts(digest)
    for (origin, key), value in last_values.items():
        merged.merge(origin, key, value)
    duplicated = entries * 2
    rng.shuffle(duplicated)
    for origin, key, value in duplicated:
        shuffled.merge(origin, key, value)
    assert merged.totals_by_class() == shuffled.totals_by_class()
    assert sum(t.trials[0] + t.trials[1] for t in merged.totals_by_class().values()) == sum(
        map(len, processes)
    )
    assert not any(merged.merge(*entry) for entry in entries)
    assert not FleetCounts("11" * 12).merge(*(entries or [(("p", 1), "x", b"")])[0])


def test_faults_are_measured_against_the_good_versions_latency_objective():
    local = LocalCounts("00" * 12)
    for outcome, duration_ms in (
        (RequestOutcome.SERVED, 90),
        (RequestOutcome.SERVED, 120),
        (RequestOutcome.SERVED, 250),
        (RequestOutcome.REJECTED, 900),
        (RequestOutcome.FAILED, 1),
        (RequestOutcome.CLIENT_LEFT, 1),
    ):
        local.record(0, 0, True, outcome, duration_ms, 200.0)
    assert local.counts[0, 0].trials == [6, 0]
    assert [count[0] for count in local.counts[0, 0].faults] == [1, 1, 1, 1, 2]
