"""Which requests and retries of other deciders are reported to a decider."""

import pytest

from cressrock.edge.attempt_history import MAX_REPORTED_RECORDS, AttemptHistory, Unreported


@pytest.fixture
def history():
    """A history with a 100 ms window: decider `p` counted a request at 10 ms and retried it at 20 ms."""
    history = AttemptHistory(100.0)
    history.add_accepted("p", 10.0)
    history.add_retry("p", 20.0)
    return history


def test_records_of_other_deciders_are_reported_once(history):
    assert history.drain_unreported("q", 30.0) == Unreported((20.0,), (10.0,))
    assert history.drain_unreported("q", 31.0) == Unreported((), ())


def test_decider_does_not_receive_its_own_records(history):
    assert history.drain_unreported("p", 30.0) == Unreported((), ())


def test_records_outside_the_window_are_not_reported(history):
    assert history.drain_unreported("q", 115.0) == Unreported((20.0,), ())


def test_report_is_limited_to_the_newest_records():
    history = AttemptHistory(1e9)
    for at_ms in range(MAX_REPORTED_RECORDS + 3):
        history.add_retry("p", float(at_ms))
    reported = history.drain_unreported("q", 1e6).retried_at_ms
    assert len(reported) == MAX_REPORTED_RECORDS and reported[0] == 3.0


def test_nothing_is_recorded_without_a_budget():
    history = AttemptHistory(0.0)
    history.add_retry("p", 1.0)
    assert history.drain_unreported("q", 1.0) == Unreported((), ())
