"""What deciders are told of one another's requests and retries."""

import pytest

from cressrock.edge.attempt_history import MAX_REPORTED, AttemptHistory, Unreported


@pytest.fixture
def history():
    """A history of 100 ms in which `p` accepted a request at 10 and retried it at 20."""
    history = AttemptHistory(100.0)
    history.add_accepted("p", 10.0)
    history.add_retry("p", 20.0)
    return history


def test_others_are_told_once(history):
    assert history.drain_unreported("q", 30.0) == Unreported((20.0,), (10.0,))
    assert history.drain_unreported("q", 31.0) == Unreported((), ())


def test_nobody_is_told_what_it_did_itself(history):
    assert history.drain_unreported("p", 30.0) == Unreported((), ())


def test_nothing_beyond_the_window_is_told(history):
    assert history.drain_unreported("q", 115.0) == Unreported((20.0,), ())


def test_report_holds_the_newest_up_to_its_bound():
    history = AttemptHistory(1e9)
    for at_ms in range(MAX_REPORTED + 3):
        history.add_retry("p", float(at_ms))
    reported = history.drain_unreported("q", 1e6).retried_at_ms
    assert len(reported) == MAX_REPORTED and reported[0] == 3.0


def test_without_a_budget_nothing_is_kept():
    history = AttemptHistory(0.0)
    history.add_retry("p", 1.0)
    assert history.drain_unreported("q", 1.0) == Unreported((), ())
