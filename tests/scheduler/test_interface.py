"""Invalid settings are rejected."""

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
def test_invalid_settings_are_rejected_with_the_name_of_the_field(build, field):
    with pytest.raises(ValueError, match=field):
        build()
