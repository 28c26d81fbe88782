"""Helpers for scheduler tests: one host's scheduler driven at logical times, and short event builders."""

from cressrock.interface import (
    Arrival,
    AttemptEnded,
    DeduplicationScope,
    Fail,
    Idempotency,
    ListKind,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    Reject,
    RequestClass,
    Send,
    Settings,
)
from cressrock.scheduler.scheduler import Scheduler

REPEATABLE = RequestClass(
    latency_objective_ms=300,
    deadline_ms=1500,
    priority_weight=3,
    late_priority_weight=0.1,
    idempotency=Idempotency.ALWAYS,
)
KEYED = RequestClass(
    latency_objective_ms=500,
    deadline_ms=4000,
    priority_weight=2,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.SHARD,
    deduplication_window_ms=1000,
)
UNSAFE = RequestClass(latency_objective_ms=300, deadline_ms=1500, idempotency=Idempotency.NEVER)
ORDERED = RequestClass(
    latency_objective_ms=300, deadline_ms=1500, idempotency=Idempotency.ALWAYS, ordered=True
)
ONE_NODE = (Node("a", 0),)


def settings(**changes):
    defaults = {
        "classes": (REPEATABLE, KEYED, UNSAFE, ORDERED),
        "plans": (Plan(weight=1.0), Plan(weight=2.0), Plan(limit_rate=10, limit_burst=16, limit_slack=8)),
        "hosts": 1,
        "tick_ms": 2.0,
        "max_attempts": 3,
        "answer_slack_ms": 8.0,
        "drain_grace_ms": 250.0,
        "most_units": 8.0,
        "usual_units": 2.0,
        "cold_from": 0.2,
        "warm_up_ms": 10000.0,
        "cold_window_ms": 1000.0,
        "cold_bears": 10.0,
    }
    return Settings(**(defaults | changes))


def nodes(*listed_nodes):
    return NodeList(ListKind.COMPLETE, tuple(listed_nodes))


def host(initial_window=1.0, listed_nodes=ONE_NODE, **changes):
    """Start a host at time 0 with a fixed D, so that the expected order can be derived by hand."""
    scheduler = Scheduler(settings(**changes), 7, 0.0)
    scheduler.act(0.0, [NodeList(ListKind.CACHED, tuple(listed_nodes))])
    for node in scheduler.endpoints.by_name.values():
        node.limit.window = initial_window
        node.limit.next_test_at_ms = 1e9  # no window test
    return scheduler


def make_arrival(
    name, volume="v", units=2.0, plan=0, cls=0, remaining_ms=None, key="", shard=0, sharing_hosts=1
):
    remaining_ms = remaining_ms or (1500.0, 4000.0, 1500.0, 1500.0)[cls]
    return Arrival(name, volume, key or name, units, remaining_ms, plan, cls, shard, sharing_hosts)


def make_attempt_ended(name, outcome=Outcome.OK, attempt=0, latency_ms=20.0, units_elsewhere=0.0):
    return AttemptEnded(name, attempt, outcome, outcome is Outcome.OK, latency_ms, 0, units_elsewhere)


def sent(actions):
    return [a.request for a in actions if isinstance(a, Send)]


def final_answers(actions):
    return [(type(a).__name__, a.request) for a in actions if isinstance(a, (Reject, Fail))]


def cold_host(**changes):
    """Start one of 200 hosts, past its first cold window, whose shard 0 has a node started at 10 s."""
    defaults = {"hosts": 200, "cold_bears": 2.0, "warm_up_ms": 18000.0}
    scheduler = host(listed_nodes=[Node(f"n{i}", i) for i in range(20)], **(defaults | changes))
    fresh = Node("fresh", 0, started_at_ms=10000.0)
    scheduler.act(10000.0, [NodeList(ListKind.CHANGES, (Node("n0", 0, state=NodeState.GONE), fresh))])
    return scheduler


def send_and_answer(scheduler, now, name, latency_ms, units=1.0):
    """Send one request to an otherwise idle node and deliver its response; return the endpoint."""
    scheduler.act(now, [make_arrival(name, units=units)])
    scheduler.act(now + latency_ms, [make_attempt_ended(name, latency_ms=latency_ms)])
    return scheduler.endpoints.by_name["a"]
