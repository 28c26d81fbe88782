"""Which requests are retried, where, and how often."""

import pytest

from cressrock.interface import ListKind, Node, NodeList, Outcome, Send, TimerFired
from cressrock.scheduler.request import NEVER_RAN
from tests.scheduler.support import final_answers, host, make_arrival, make_attempt_ended, nodes, sent


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.OK])
def test_an_unsafe_request_is_retried_only_if_it_never_ran(outcome):
    scheduler = host()
    scheduler.act(0.0, [make_arrival("r", cls=2)])
    actions = scheduler.act(1.0, [make_attempt_ended("r", outcome, latency_ms=1.0)])
    actions += scheduler.act(700.0, [TimerFired(0)])
    if outcome in NEVER_RAN:
        assert sent(actions) == ["r"]
    else:
        assert sent(actions) == []
        assert final_answers(actions) == [("Fail", "r")]


def test_a_keyed_repeat_stays_in_its_shard_and_deduplication_window():
    scheduler = host(listed_nodes=(Node("a", 0), Node("b", 1)))
    (first,) = [a for a in scheduler.act(0.0, [make_arrival("r", cls=1, shard=-1)]) if isinstance(a, Send)]
    first_shard = scheduler.endpoints.by_name[first.node].list_entry.shard
    other = "b" if first.node == "a" else "a"
    keep = Node(other, 1 - first_shard)
    # Its node is gone: it must not be retried at the other shard, and cannot be rejected.
    scheduler.act(1.0, [NodeList(ListKind.COMPLETE, (keep,))])
    actions = scheduler.act(2.0, [make_attempt_ended("r", Outcome.RESET, latency_ms=2.0)])
    assert sent(actions) == []
    for now in range(100, 1200, 50):
        actions += scheduler.act(float(now), [TimerFired(0)])
    assert sent(actions) == []
    assert final_answers(actions) == [("Fail", "r")]


def test_a_keyed_repeat_goes_to_the_node_that_took_over_the_shard():
    scheduler = host()
    scheduler.act(0.0, [make_arrival("r", cls=1)])
    scheduler.act(1.0, [nodes(Node("c", 0))])
    actions = scheduler.act(2.0, [make_attempt_ended("r", Outcome.RESET, latency_ms=2.0)])
    assert [a.node for a in actions if isinstance(a, Send)] == ["c"]


def test_retries_stay_within_the_budget():
    scheduler = host(
        initial_window=10.0, budget_window_ms=5000.0, budget_free=1.0, budget_share=0.0, max_attempts=9
    )
    scheduler.act(0.0, [make_arrival("r1"), make_arrival("r2")])
    actions = []
    for step in range(60):
        events = [TimerFired(0)]
        for request in list(scheduler.endpoints.by_name["a"].in_flight.values()):
            name = request.arrival.request
            events.append(make_attempt_ended(name, Outcome.FULL, request.attempts - 1, 1.0))
        actions += scheduler.act(10.0 + 20 * step, events)
    assert len(sent(actions)) == 1
