"""The scheduler's decisions are exactly as recorded: one digest for each of 200 streams of 2,000 events."""

import pytest

from tests.compatibility import canonical, scheduler_cases

CHUNK = 20
RECORDED = canonical.load(scheduler_cases.FIXTURE)


@pytest.mark.parametrize("first", range(0, len(scheduler_cases.SEEDS), CHUNK))
def test_decisions_are_as_recorded(first):
    seeds = scheduler_cases.SEEDS[first : first + CHUNK]
    played = {seed: scheduler_cases.play(seed) for seed in seeds}
    assert played == {seed: RECORDED[seed] for seed in seeds}


def test_every_stream_was_recorded():
    assert len(RECORDED) == len(scheduler_cases.SEEDS) == 200
    assert sum(stream["sent"] for stream in RECORDED) > 50_000
