"""When open requests get their final answer, and the retry delay given to rejected clients."""

import pytest

from cressrock.interface import Arrival, Node, Outcome, Reject, TimerFired
from cressrock.scheduler.deadlines import GIVE_UP_FRACTION, MAX_GIVE_UP_FRACTION
from cressrock.scheduler.fair_queue import COMPENSATION_PERIOD_MS
from tests.scheduler.support import final_answers, host, make_arrival, make_attempt_ended, sent


def test_every_open_request_is_answered_before_its_deadline():
    scheduler = host(hosts=1, budget_window_ms=5000.0, budget_free=1.0)
    scheduler.act(0.0, [make_arrival("r", remaining_ms=100.0)])
    scheduler.retry_budget.retried_at_ms.append(0.0)
    scheduler.retry_budget.retried_at_ms.append(0.0)  # the budget allows no retry
    scheduler.act(1.0, [make_attempt_ended("r", Outcome.FULL, latency_ms=1.0)])
    assert final_answers(scheduler.act(90.0, [TimerFired(0)])) == []
    assert final_answers(scheduler.act(96.5, [TimerFired(0)])) == [("Reject", "r")]
    assert final_answers(scheduler.act(200.0, [TimerFired(0)])) == []
    assert scheduler.requests == {}


def test_an_unsent_request_is_rejected_while_its_client_can_still_retry():
    """Held until the deadline, it would block its client and a connection from trying again."""
    for remaining_ms, objective_ms in ((4000.0, 500.0), (1600.0, 500.0), (600.0, 500.0)):
        scheduler = host(listed_nodes=())
        scheduler.act(0.0, [make_arrival("r", cls=1, remaining_ms=remaining_ms)])
        give_up_at_ms = max(
            GIVE_UP_FRACTION * remaining_ms, min(objective_ms, MAX_GIVE_UP_FRACTION * remaining_ms)
        )
        assert final_answers(scheduler.act(give_up_at_ms - 1, [TimerFired(0)])) == []
        assert final_answers(scheduler.act(give_up_at_ms, [TimerFired(0)])) == [("Reject", "r")]
        assert give_up_at_ms < remaining_ms / 2 and scheduler.requests == {}


def test_a_sent_request_is_not_given_up_early():
    scheduler = host()
    scheduler.act(0.0, [make_arrival("r", remaining_ms=100.0)])
    for now in (50.0, 97.0, 99.0):
        assert final_answers(scheduler.act(now, [TimerFired(0)])) == []
    assert final_answers(scheduler.act(100.0, [TimerFired(0)])) == [("Reject", "r")]


def test_a_sent_request_without_an_outcome_fails_at_its_deadline():
    scheduler = host()
    scheduler.act(0.0, [make_arrival("r", cls=2, remaining_ms=100.0)])
    assert final_answers(scheduler.act(97.0, [TimerFired(0)])) == []
    assert final_answers(scheduler.act(101.0, [TimerFired(0)])) == [("Fail", "r")]
    assert sent(scheduler.act(102.0, [make_attempt_ended("r", Outcome.TIMEOUT, latency_ms=102.0)])) == []
    assert scheduler.requests == {}


def test_a_rejection_tells_when_the_limit_is_refilled():
    scheduler = host(advice_max_ms=2000.0)
    scheduler.act(0.0, [make_arrival("r", volume="limited", units=8.0, plan=2, remaining_ms=1000.0)])
    (rejected,) = [a for a in scheduler.act(400.0, [TimerFired(0)]) if isinstance(a, Reject)]
    assert rejected.retry_after_ms == pytest.approx(400.0)  # it refills at 10 units per second


def test_no_rejection_asks_for_an_immediate_retry():
    scheduler = host(advice_max_ms=2000.0, listed_nodes=(Node("a", 0),))
    scheduler.endpoints.by_name["a"].ejection.until_ms = 1e9
    scheduler.act(0.0, [make_arrival("r", remaining_ms=100.0)])
    (rejected,) = [a for a in scheduler.act(50.0, [TimerFired(0)]) if isinstance(a, Reject)]
    assert rejected.retry_after_ms == COMPENSATION_PERIOD_MS


def test_waiting_time_is_taken_from_the_caller_if_known():
    """The inner read of a composed request has its write's deadline; plain reads would look late."""
    scheduler = host()
    inner = Arrival("inner", "v", "k", 1.0, 4000.0, 0, 0, 0, 1, 0.0)
    plain = Arrival("plain", "v", "l", 1.0, 1500.0, 0, 0, 0, 1, 0.0)
    scheduler.act(0.0, [inner, plain])
    assert scheduler.requests["plain"].objective_at_ms == 300.0


def test_a_short_remaining_time_is_not_taken_for_waiting_time():
    scheduler = host()
    for name, remaining_ms in (("usual", 1500.0), ("again", 1400.0), ("hasty", 120.0)):
        scheduler.act(0.0, [make_arrival(name, remaining_ms=remaining_ms)])
    objectives = {name: request.objective_at_ms for name, request in scheduler.requests.items()}
    assert objectives == {"usual": 300.0, "again": 200.0, "hasty": 120.0}
