"""Settings that make no sense are refused."""

import pytest

from cressrock.interface import Plan, RequestClass
from tests.scheduler.support import settings


@pytest.mark.parametrize(
    ("build", "field"),
    [
        (lambda: Plan(weight=0), "weight"),
        (lambda: Plan(limit_rate=-1), "limit_rate"),
        (lambda: RequestClass(latency_objective_ms=0, deadline_ms=1), "latency_objective_ms"),
        (lambda: settings(hosts=0), "hosts"),
        (lambda: settings(warm_up_ms=float("nan")), "warm_up_ms"),
    ],
)
def test_settings_that_make_no_sense_are_refused_by_name(build, field):
    with pytest.raises(ValueError, match=field):
        build()
