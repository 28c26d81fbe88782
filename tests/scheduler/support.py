"""One host of the real scheduler at logical times, and events and actions in short."""

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

SAFE = RequestClass(
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
TURN = RequestClass(latency_objective_ms=300, deadline_ms=1500, idempotency=Idempotency.ALWAYS, ordered=True)
ONE = (Node("a", 0),)


def settings(**changes):
    figures = {
        "classes": (SAFE, KEYED, UNSAFE, TURN),
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
    return Settings(**(figures | changes))


def nodes(*lines):
    return NodeList(ListKind.COMPLETE, tuple(lines))


def host(depth=1.0, lines=ONE, **changes):
    """Start a host at time 0 with D set, so that an order can be worked out by hand."""
    scheduler = Scheduler(settings(**changes), 7, 0.0)
    scheduler.act(0.0, [NodeList(ListKind.CACHED, tuple(lines))])
    for node in scheduler.endpoints.by_name.values():
        node.limit.window = depth
        node.limit.next_test_at_ms = 1e9  # no test of D
    return scheduler


def ask(name, volume="v", units=2.0, plan=0, cls=0, remaining=None, key="", shard=0, writers=1):
    remaining = remaining or (1500.0, 4000.0, 1500.0, 1500.0)[cls]
    return Arrival(name, volume, key or name, units, remaining, plan, cls, shard, writers)


def done(name, outcome=Outcome.OK, attempt=0, lag=20.0, elsewhere=0.0):
    return AttemptEnded(name, attempt, outcome, outcome is Outcome.OK, lag, 0, elsewhere)


def sent(actions):
    return [a.request for a in actions if isinstance(a, Send)]


def finals(actions):
    return [(type(a).__name__, a.request) for a in actions if isinstance(a, (Reject, Fail))]


def cold_host(**changes):
    """Start a host among hundreds, past its first window, whose node 0 is cold since 10 s."""
    figures = {"hosts": 200, "cold_bears": 2.0, "warm_up_ms": 18000.0}
    scheduler = host(lines=[Node(f"n{i}", i) for i in range(20)], **(figures | changes))
    fresh = Node("fresh", 0, started_at_ms=10000.0)
    scheduler.act(10000.0, [NodeList(ListKind.CHANGES, (Node("n0", 0, state=NodeState.GONE), fresh))])
    return scheduler


def answer(scheduler, now, name, lag, units=1.0):
    """One request, alone at its node, and its answer; returns the node."""
    scheduler.act(now, [ask(name, units=units)])
    scheduler.act(now + lag, [done(name, lag=lag)])
    return scheduler.endpoints.by_name["a"]
