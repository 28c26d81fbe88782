"""Key ordering: one operation in flight per key, and a blocked key after an attempt that may still run."""

import math

import pytest

from cressrock.edge.ordering import KeyOrdering
from cressrock.interface import Arrival, Outcome
from tests.edge.support import CLASSES

READ, STATE = range(len(CLASSES))


@pytest.fixture
def ordering():
    """A key ordering with operation `a` in flight on key `k`."""
    ordering = KeyOrdering(CLASSES, 300.0)
    ordering.attempt_started(arrival("a"))
    return ordering


def arrival(name, key="k", request_class=STATE):
    """Return the arrival of an operation; by default it is ordered on key `k`."""
    return Arrival(name, "v", key, 1.0, 4000.0, 0, request_class)


def test_key_in_flight_is_blocked_for_other_operations(ordering):
    assert ordering.earliest_start_ms(arrival("b"), 10.0) == math.inf
    assert ordering.earliest_start_ms(arrival("a"), 10.0) == 10.0


@pytest.mark.parametrize(
    "other", [arrival("b", key="other"), arrival("b", key=""), arrival("b", request_class=READ)]
)
def test_other_keys_and_unordered_operations_are_free(ordering, other):
    assert ordering.earliest_start_ms(other, 10.0) == 10.0


@pytest.mark.parametrize("outcome", Outcome)
def test_key_is_blocked_after_an_attempt_that_may_still_run(ordering, outcome):
    ordering.attempt_ended("a", outcome, 20.0)
    may_still_run = outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
    assert ordering.earliest_start_ms(arrival("b"), 20.0) == (320.0 if may_still_run else 20.0)
    assert ordering.earliest_start_ms(arrival("b"), 400.0) == 400.0
