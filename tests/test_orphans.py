"""Operations without a planner: offered again only if lawful, answered in time, not all at once."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.dispatch.ledger import FenceTrip, Ledger, Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.edge.disposition import (
    DisconnectedPolicy,
    Fate,
    ReconnectBackoff,
    fate,
    next_look,
    offers,
    retry_after,
)
from cressrock.interface import Idempotency, Node, Outcome, RequestClass

KEYED = RequestClass(
    latency_objective_ms=500, deadline_ms=4000, idempotency=Idempotency.KEYED, deduplication_window_ms=4000
)
UNSAFE = RequestClass(latency_objective_ms=500, deadline_ms=4000)
READ = RequestClass(latency_objective_ms=300, deadline_ms=4000, idempotency=Idempotency.ALWAYS)
AWAY = DisconnectedPolicy()


def book(cls):
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=100)
    ledger.update_nodes([Node("n", 0)], 0, complete=True)
    return ledger, ledger.accept("r", "x", cls, 4000, 0)


def test_a_new_epoch_is_offered_only_what_it_can_decide_about():
    for cls, after in ((READ, Fate.OFFER), (KEYED, Fate.FAIL), (UNSAFE, Fate.FAIL)):
        ledger, entry = book(cls)
        assert fate(entry, 10, joined=True, away=AWAY) is Fate.OFFER
        assert fate(entry, 10, joined=False, away=AWAY) is Fate.WAIT
        ledger.send("r", "n", 10)
        assert fate(entry, 3940, joined=True, away=AWAY) is Fate.RUN_ON
        assert fate(entry, 3950, joined=True, away=AWAY) is Fate.FAIL  # nobody else ends the wait in time
        ledger.record_outcome("r", 0, Outcome.FULL)
        assert fate(entry, 10, joined=True, away=AWAY) is Fate.OFFER
        ledger.send("r", "n", 10)
        ledger.record_outcome("r", 1, Outcome.RESET)
        assert fate(entry, 10, joined=True, away=AWAY) is after


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from([READ, KEYED, UNSAFE]),
    st.lists(st.tuples(st.sampled_from(["join", "away", "send", "end"]), st.floats(0, 900)), max_size=12),
    st.sampled_from(list(Outcome)),
)
def test_whatever_becomes_of_the_planner_each_operation_is_answered_once_and_in_time(cls, steps, outcome):
    ledger, entry = book(cls)
    now, joined = 0.0, False
    for what, length in [*steps, ("away", 900.0), *[("end", 900.0)] * 6]:
        now += length
        joined = {"join": True, "away": False}.get(what, joined)
        if what == "send" and joined and entry.verdict is None:
            assert fate(entry, now, joined=True, away=AWAY) in Fate
            if fate(entry, now, joined=True, away=AWAY) is Fate.OFFER:
                assert not isinstance(ledger.send("r", "n", now), FenceTrip)
        out = entry.attempt_in_flight()
        if what == "end" and out is not None:
            ledger.record_outcome("r", out.number, outcome)
        if entry.verdict is None:
            found = fate(entry, now, joined=joined, away=AWAY)
            if found is Fate.REFUSE:
                assert ledger.reject("r", Reason.SCHEDULER) is Verdict.REJECTED, "the refusal was not true"
            elif found is Fate.FAIL:
                ledger.fail("r", Reason.ATTEMPTS)
            else:
                assert next_look([entry], now, AWAY) <= 4000
    assert entry.verdict is not None
    assert not any(ledger.fence_trips.values())


def test_a_returning_planner_is_offered_the_most_urgent_in_bounded_steps():
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=1000)
    for index in range(500):
        ledger.accept(f"r{index}", "x", READ, 1000 + (index * 37) % 500, 0)
    first = offers(ledger.entries.values(), 0, AWAY, most=64)
    assert len(first) == 64 and max(e.deadline_ms for e in first) <= 1000 + 70


def test_clients_are_asked_to_stay_away_for_longer_and_wider_apart():
    source = random.Random(1)
    soon = [retry_after(0, 100, AWAY, source) for _ in range(1000)]
    late = [retry_after(0, 60000, AWAY, source) for _ in range(1000)]
    assert set(soon) == {1000} and 1000 <= min(late) < 1100 and 7900 < max(late) <= 8000
    seconds = [sum(1000 * s <= t < 1000 * s + 1000 for t in late) for s in range(1, 8)]
    assert max(seconds) < 200  # of 1,000 in any one second


def test_edges_come_back_spread_and_go_down_their_list():
    waits = []
    for seed in range(190):
        again = ReconnectBackoff(("p1", "p2"), random.Random(seed), min_wait_ms=500, max_wait_ms=10000)
        assert again.next()[1] == "p1"
        again.lost(0)
        assert again.next()[1] == "p2"
        again.reached()
        again.lost(0)
        assert again.next()[1] == "p1"  # not again the one that was just lost
        again.lost(0)
        for _ in range(9):
            again.lost(0)
        waits.append(again.next()[0])
    assert max(waits) > 7000 and max(sum(t <= w < t + 1000 for w in waits) for t in range(8000)) < 50
    with pytest.raises(ValueError, match="at least one"):
        ReconnectBackoff((), random.Random(1), min_wait_ms=1, max_wait_ms=2)
