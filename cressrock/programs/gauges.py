"""Gauges of a gateway, updated when its metrics are scraped."""

from __future__ import annotations

from cressrock.dispatch.driver import DecisionModule
from cressrock.dispatch.ledger import Ledger
from cressrock.interface import NodeState
from cressrock.observe.metrics import Metrics
from cressrock.scheduler.scheduler import Scheduler


def set_ledger_gauges(metrics: Metrics, ledger: Ledger) -> None:
    """Set the gauges of open operations and of nodes by state."""
    metrics.open_requests.set(len(ledger.entries))
    for state in NodeState:
        count = sum(node.state is state for node in ledger.nodes.values())
        metrics.nodes.labels(state.value).set(count)


def set_scheduler_gauges(metrics: Metrics, decisions: DecisionModule) -> None:
    """Set the gauges of queue lengths and concurrency limits, if `decisions` is a Scheduler."""
    if isinstance(decisions, Scheduler):
        for name, endpoint in decisions.endpoints.by_name.items():
            metrics.concurrency_limit.labels(name).set(endpoint.limit.window)
        for shard, queue in decisions.queues.items():
            metrics.waiting_operations.labels(str(shard)).set(queue.waiting_count)
