"""Operations without a planner: offered again only if safe, answered in time, retry delays spread out."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.dispatch.ledger import FenceTrip, Ledger, Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.edge.disposition import (
    DisconnectedPolicy,
    Disposition,
    disposition_of,
    most_urgent_offers,
    next_check_ms,
    retry_after_ms,
)
from cressrock.interface import Idempotency, Node, Outcome, RequestClass

KEYED = RequestClass(
    latency_objective_ms=500, deadline_ms=4000, idempotency=Idempotency.KEYED, deduplication_window_ms=4000
)
UNSAFE = RequestClass(latency_objective_ms=500, deadline_ms=4000)
READ = RequestClass(latency_objective_ms=300, deadline_ms=4000, idempotency=Idempotency.ALWAYS)
POLICY = DisconnectedPolicy()


def ledger_with(request_class):
    """Return a ledger that lists node `n`, and its entry for operation `r`."""
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=100)
    ledger.update_nodes([Node("n", 0)], 0, complete=True)
    return ledger, ledger.accept("r", "x", request_class, 4000, 0)


@pytest.mark.parametrize(
    ("request_class", "after_reset"),
    [(READ, Disposition.OFFER), (KEYED, Disposition.FAIL), (UNSAFE, Disposition.FAIL)],
)
def test_new_epoch_is_offered_only_operations_it_can_decide_safely(request_class, after_reset):
    ledger, entry = ledger_with(request_class)
    assert disposition_of(entry, 10, connected=True, policy=POLICY) is Disposition.OFFER
    assert disposition_of(entry, 10, connected=False, policy=POLICY) is Disposition.AWAIT_PLANNER
    ledger.send("r", "n", 10)
    assert disposition_of(entry, 3940, connected=True, policy=POLICY) is Disposition.AWAIT_OUTCOME
    # Without a planner nobody else would end the wait in time.
    assert disposition_of(entry, 3950, connected=True, policy=POLICY) is Disposition.FAIL
    ledger.record_outcome("r", 0, Outcome.FULL)
    assert disposition_of(entry, 10, connected=True, policy=POLICY) is Disposition.OFFER
    ledger.send("r", "n", 10)
    ledger.record_outcome("r", 1, Outcome.RESET)
    assert disposition_of(entry, 10, connected=True, policy=POLICY) is after_reset


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from([READ, KEYED, UNSAFE]),
    st.lists(st.tuples(st.sampled_from(["join", "lose", "send", "end"]), st.floats(0, 900)), max_size=12),
    st.sampled_from(list(Outcome)),
)
def test_each_operation_is_answered_once_and_in_time_whatever_the_planner_does(request_class, steps, outcome):
    ledger, entry = ledger_with(request_class)
    now, joined = 0.0, False
    for step, length_ms in [*steps, ("lose", 900.0), *[("end", 900.0)] * 6]:
        now += length_ms
        joined = {"join": True, "lose": False}.get(step, joined)
        if step == "send" and joined and entry.verdict is None:
            assert disposition_of(entry, now, connected=True, policy=POLICY) in Disposition
            if disposition_of(entry, now, connected=True, policy=POLICY) is Disposition.OFFER:
                assert not isinstance(ledger.send("r", "n", now), FenceTrip)
        attempt = entry.attempt_in_flight()
        if step == "end" and attempt is not None:
            ledger.record_outcome("r", attempt.number, outcome)
        if entry.verdict is None:
            disposition = disposition_of(entry, now, connected=joined, policy=POLICY)
            if disposition is Disposition.REJECT:
                verdict = ledger.reject("r", Reason.SCHEDULER)
                assert verdict is Verdict.REJECTED, "the ledger did not accept the rejection"
            elif disposition is Disposition.FAIL:
                ledger.fail("r", Reason.ATTEMPTS)
            else:
                assert next_check_ms([entry], now, POLICY) <= 4000
    assert entry.verdict is not None
    assert not any(ledger.fence_trips.values())


def test_offers_are_bounded_and_earliest_deadline_first():
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=1000)
    for index in range(500):
        ledger.accept(f"r{index}", "x", READ, 1000 + (index * 37) % 500, 0)
    first = most_urgent_offers(ledger.entries.values(), 0, POLICY, max_offers=64)
    assert len(first) == 64 and max(entry.deadline_ms for entry in first) <= 1000 + 70


def test_retry_delays_grow_and_spread_during_an_outage():
    source = random.Random(1)
    soon = [retry_after_ms(0, 100, POLICY, source) for _ in range(1000)]
    late = [retry_after_ms(0, 60000, POLICY, source) for _ in range(1000)]
    assert set(soon) == {1000} and 1000 <= min(late) < 1100 and 7900 < max(late) <= 8000
    by_second = [sum(1000 * s <= wait_ms < 1000 * s + 1000 for wait_ms in late) for s in range(1, 8)]
    assert max(by_second) < 200  # of 1000 clients
