"""Shared classes, settings, nodes and requests for the planner's tests."""

from cressrock.interface import Idempotency, Node, RequestClass, Settings
from cressrock.link import messages

CLASSES = (
    RequestClass(latency_objective_ms=300, deadline_ms=3000, idempotency=Idempotency.ALWAYS),
    RequestClass(
        latency_objective_ms=500,
        deadline_ms=4000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=4000,
    ),
)
SETTINGS = Settings(classes=CLASSES, max_attempts=3, may_cancel=True, answer_slack_ms=10, drain_grace_ms=250)
NODES = (Node("n0", 0), Node("n1", 1))


def request(sequence, name, at_ms=0.0, request_class=0, shard=0):
    """Return an edge's request with a deadline 3 s after `at_ms`."""
    deadline_ms = at_ms + 3000
    return messages.Request(sequence, at_ms, name, "v", "/v/a", 1.0, deadline_ms, 0, request_class, shard, 1)
