"""When held requests are answered, and what a rejected client is told."""

import pytest

from cressrock.interface import Arrival, Node, Outcome, Reject, TimerFired
from cressrock.scheduler.deadlines import GIVE_UP_FRACTION, MAX_GIVE_UP_FRACTION
from cressrock.scheduler.fair_queue import COMPENSATION_PERIOD_MS
from tests.scheduler.support import ask, done, finals, host, sent


def test_every_held_request_is_answered_before_its_time_is_up():
    scheduler = host(hosts=1, budget_window_ms=5000.0, budget_free=1.0)
    scheduler.act(0.0, [ask("r", remaining=100.0)])
    scheduler.retry_budget.retried_at_ms.append(0.0)
    scheduler.retry_budget.retried_at_ms.append(0.0)  # no further attempt is allowed any more
    scheduler.act(1.0, [done("r", Outcome.FULL, lag=1.0)])
    assert finals(scheduler.act(90.0, [TimerFired(0)])) == []
    assert finals(scheduler.act(96.5, [TimerFired(0)])) == [("Reject", "r")]
    assert finals(scheduler.act(200.0, [TimerFired(0)])) == []
    assert scheduler.requests == {}


def test_what_was_never_sent_is_refused_while_its_client_can_come_back():
    """Danger: held to the end it keeps its client, and a connection, from asking again."""
    for remaining, aim in ((4000.0, 500.0), (1600.0, 500.0), (600.0, 500.0)):
        scheduler = host(lines=())
        scheduler.act(0.0, [ask("r", cls=1, remaining=remaining)])
        given_up = max(GIVE_UP_FRACTION * remaining, min(aim, MAX_GIVE_UP_FRACTION * remaining))
        assert finals(scheduler.act(given_up - 1, [TimerFired(0)])) == []
        assert finals(scheduler.act(given_up, [TimerFired(0)])) == [("Reject", "r")]
        assert given_up < remaining / 2 and scheduler.requests == {}


def test_what_is_out_is_not_given_up_early():
    scheduler = host()
    scheduler.act(0.0, [ask("r", remaining=100.0)])
    for now in (50.0, 97.0, 99.0):
        assert finals(scheduler.act(now, [TimerFired(0)])) == []
    assert finals(scheduler.act(100.0, [TimerFired(0)])) == [("Reject", "r")]


def test_a_request_that_is_out_is_failed_at_its_deadline_without_an_outcome():
    scheduler = host()
    scheduler.act(0.0, [ask("r", cls=2, remaining=100.0)])
    assert finals(scheduler.act(97.0, [TimerFired(0)])) == []
    assert finals(scheduler.act(101.0, [TimerFired(0)])) == [("Fail", "r")]
    assert sent(scheduler.act(102.0, [done("r", Outcome.TIMEOUT, lag=102.0)])) == []
    assert scheduler.requests == {}


def test_a_refusal_names_when_the_limit_has_room():
    scheduler = host(advice_max_ms=2000.0)
    scheduler.act(0.0, [ask("r", volume="limited", units=8.0, plan=2, remaining=1000.0)])
    (refused,) = [a for a in scheduler.act(400.0, [TimerFired(0)]) if isinstance(a, Reject)]
    assert refused.retry_after_ms == pytest.approx(400.0)  # it fills by 10 units a second


def test_no_refusal_calls_a_client_back_at_once():
    scheduler = host(advice_max_ms=2000.0, lines=(Node("a", 0),))
    scheduler.endpoints.by_name["a"].ejection.until_ms = 1e9
    scheduler.act(0.0, [ask("r", remaining=100.0)])
    (refused,) = [a for a in scheduler.act(50.0, [TimerFired(0)]) if isinstance(a, Reject)]
    assert refused.retry_after_ms == COMPENSATION_PERIOD_MS


def test_time_waited_is_taken_from_the_caller_where_it_is_known():
    """Danger: a composed request's inner read has its write's patience, and made plain reads look late."""
    scheduler = host()
    inner = Arrival("inner", "v", "k", 1.0, 4000.0, 0, 0, 0, 1, 0.0)
    plain = Arrival("plain", "v", "l", 1.0, 1500.0, 0, 0, 0, 1, 0.0)
    scheduler.act(0.0, [inner, plain])
    assert scheduler.requests["plain"].objective_at_ms == 300.0


def test_short_patience_is_not_time_already_waited():
    scheduler = host()
    for name, remaining in (("usual", 1500.0), ("again", 1400.0), ("hasty", 120.0)):
        scheduler.act(0.0, [ask(name, remaining=remaining)])
    aims = {name: request.objective_at_ms for name, request in scheduler.requests.items()}
    assert aims == {"usual": 300.0, "again": 200.0, "hasty": 120.0}
