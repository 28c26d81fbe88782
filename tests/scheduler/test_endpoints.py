"""The node list: which endpoints get requests, and when the list is requested."""

from cressrock.interface import (
    ClientLeft,
    ListKind,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Send,
    Subscribe,
    TimerFired,
)
from cressrock.scheduler.scheduler import Scheduler
from tests.scheduler.support import final_answers, host, make_arrival, make_attempt_ended, sent, settings


def test_no_requests_are_sent_to_a_draining_or_gone_node():
    for line in (Node("a", 0, state=NodeState.DRAINING), Node("a", 0, state=NodeState.GONE)):
        scheduler = host()
        scheduler.act(0.0, [NodeList(ListKind.CHANGES, (line,))])
        actions = scheduler.act(0.0, [make_arrival("r")])
        for now in (100.0, 1000.0, 1497.0):
            actions += scheduler.act(now, [TimerFired(0)])
        assert sent(actions) == []
        assert final_answers(actions) == [("Reject", "r")]


def test_a_failing_list_is_requested_again_with_growing_backoff():
    scheduler = Scheduler(settings(must_ask=True, ask_every_ms=10000.0), 3, 0.0)
    asked, now = [], 0.0
    scheduler.act(0.0, [NodeList(ListKind.CACHED, (Node("a", 0),))])
    while now < 20000.0:
        now += 20.0
        if any(isinstance(a, Subscribe) for a in scheduler.act(now, [TimerFired(0)])):
            asked.append(now)
            scheduler.act(now, [NodeList(ListKind.FAILED)])
    gaps = [b - a for a, b in zip(asked, asked[1:], strict=False)]
    assert len(asked) > 3 and max(gaps) <= 7600 and gaps[-1] > gaps[0]


def test_new_objects_avoid_cold_draining_and_missing_nodes():
    listed_nodes = (Node("a", 0, started_at_ms=900.0), Node("b", 1), Node("c", 2, state=NodeState.DRAINING))
    scheduler = host(initial_window=9.0, listed_nodes=listed_nodes)
    actions = scheduler.act(1000.0, [make_arrival(f"r{i}", shard=-1) for i in range(6)])
    assert {a.node for a in actions if isinstance(a, Send)} == {"b"}


def test_a_restart_during_a_drain_with_a_late_list():
    """Nothing is sent to the draining node after the update, and the request goes to its replacement."""
    scheduler = host(listed_nodes=(Node("old", 0),))
    scheduler.act(0.0, [make_arrival("r0")])
    scheduler.act(10.0, [NodeList(ListKind.CHANGES, (Node("old", 0, state=NodeState.DRAINING),))])
    actions = scheduler.act(20.0, [make_attempt_ended("r0", Outcome.RESET, latency_ms=20.0)])
    assert sent(actions) == []
    fresh = Node("new", 0, started_at_ms=15.0)
    actions = scheduler.act(1500.0 - 300, [NodeList(ListKind.CHANGES, (fresh,))])
    assert [a.node for a in actions if isinstance(a, Send)] == ["new"]


def test_unexpected_but_valid_events_have_no_effect():
    scheduler = host()
    before = scheduler.act(0.0, [])
    assert final_answers(before) == []
    odd = [
        make_attempt_ended("none"),
        ClientLeft("none"),
        TimerFired(99),
        NodeList(ListKind.CHANGES),
        NodeList(ListKind.FAILED),
    ]
    assert sent(scheduler.act(1.0, odd)) == []
    assert sent(scheduler.act(2.0, [NodeList(ListKind.COMPLETE), make_arrival("r")])) == []
