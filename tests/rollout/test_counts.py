"""Counts of trials: what is a fault, and merging those of many processes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.evidence import (
    RequestOutcome,
)

ENDS = st.tuples(
    st.integers(0, 2),
    st.integers(0, 1),
    st.booleans(),
    st.sampled_from(list(RequestOutcome)),
    st.floats(0, 500),
)


@settings(max_examples=60)
@given(st.lists(st.lists(ENDS, max_size=12), min_size=1, max_size=4), st.randoms(use_true_random=False))
def test_merging_counts_does_not_mind_order_loss_and_repetition(processes, draw):
    digest = "00" * 12
    entries, last = [], {}
    for number, ends in enumerate(processes):
        own = LocalCounts(digest)
        for cls, stage, candidate, ended, ms in ends:
            own.record(cls, stage, candidate, ended, ms, 200.0)
            entries += [((f"p{number}", 1), key, value) for key, value in own.drain_changes()]
    for origin, key, value in entries:
        last[origin, key] = value
    heard, shuffled = FleetCounts(digest), FleetCounts(digest)
    for (origin, key), value in last.items():
        heard.merge(origin, key, value)
    many = entries * 2
    draw.shuffle(many)
    for origin, key, value in many:
        shuffled.merge(origin, key, value)
    assert heard.totals_by_class() == shuffled.totals_by_class()
    assert sum(t.trials[0] + t.trials[1] for t in heard.totals_by_class().values()) == sum(
        map(len, processes)
    )
    assert not any(heard.merge(*entry) for entry in entries)
    assert not FleetCounts("11" * 12).merge(*(entries or [(("p", 1), "x", b"")])[0])


def test_marks_are_measured_by_the_good_versions_aim():
    own = LocalCounts("00" * 12)
    for ended, ms in (
        (RequestOutcome.SERVED, 90),
        (RequestOutcome.SERVED, 120),
        (RequestOutcome.SERVED, 250),
        (RequestOutcome.REJECTED, 900),
        (RequestOutcome.FAILED, 1),
        (RequestOutcome.CLIENT_LEFT, 1),
    ):
        own.record(0, 0, True, ended, ms, 200.0)
    assert own.counts[0, 0].trials == [6, 0]
    assert [mark[0] for mark in own.counts[0, 0].faults] == [1, 1, 1, 1, 2]
