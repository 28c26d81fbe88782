"""Order on keys: one operation in flight on a key, and a rest after an attempt that may still run."""

import math

import pytest

from cressrock.edge.ordering import KeyOrdering
from cressrock.interface import Arrival, Outcome
from tests.edge.support import CLASSES

READ, STATE = range(len(CLASSES))


@pytest.fixture
def ordering():
    """Ordering in which operation `a` is in flight on key `k`."""
    ordering = KeyOrdering(CLASSES, 300.0)
    ordering.attempt_started(arrival("a"))
    return ordering


def arrival(name, key="k", request_class=STATE):
    """Return an operation."""
    return Arrival(name, "v", key, 1.0, 4000.0, 0, request_class)


def test_key_in_use_is_free_for_its_own_operation_alone(ordering):
    assert ordering.free_at_ms(arrival("b"), 10.0) == math.inf
    assert ordering.free_at_ms(arrival("a"), 10.0) == 10.0


@pytest.mark.parametrize(
    "other", [arrival("b", key="other"), arrival("b", key=""), arrival("b", request_class=READ)]
)
def test_other_keys_and_unordered_operations_are_free(ordering, other):
    assert ordering.free_at_ms(other, 10.0) == 10.0


@pytest.mark.parametrize("outcome", Outcome)
def test_key_rests_after_an_attempt_that_may_still_run(ordering, outcome):
    ordering.attempt_ended("a", outcome, 20.0)
    may_still_run = outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
    assert ordering.free_at_ms(arrival("b"), 20.0) == (320.0 if may_still_run else 20.0)
    assert ordering.free_at_ms(arrival("b"), 400.0) == 400.0
