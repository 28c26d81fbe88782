"""Prometheus metrics of a dispatcher; the driver updates them through its observer interface."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from cressrock.dispatch.ledger import Attempt, FenceTrip, Verdict
from cressrock.dispatch.reasons import Fence, Reason
from cressrock.interface import Outcome

MAX_CACHED_CHILDREN = 65536
LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)


class Metrics:
    """The metrics of one dispatcher; implements the driver's observer."""

    def __init__(self, log: Any, classes: list[str], *, log_requests: bool = False) -> None:
        """`classes` are the names of the request classes, by class number."""
        self.log = log
        self.classes = classes
        self.log_requests = log_requests
        self.attempt_listeners: list[Callable[[int, Outcome], None]] = []  # called with shard and outcome
        self.registry = CollectorRegistry()
        registry = self.registry
        self.answers = Counter(
            "cressrock_answers_total",
            "Final answers of storage operations.",
            ["cls", "verdict", "reason"],
            registry=registry,
        )
        self.seconds = Histogram(
            "cressrock_operation_seconds",
            "From taken to answered.",
            ["cls"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "cressrock_attempts_total", "Attempts by outcome.", ["node", "outcome"], registry=registry
        )
        self.fences = Counter(
            "cressrock_fence_trips_total",
            "Orders that would have broken a rule: each a defect.",
            ["fence"],
            registry=registry,
        )
        for fence in Fence:
            self.fences.labels(fence.value)
        self.batch_lateness = Histogram(
            "cressrock_batch_late_seconds",
            "How long the oldest event of a batch waited.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.batch_duration = Histogram(
            "cressrock_batch_seconds",
            "Time that the decisions and their carrying out took.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.events = Counter("cressrock_events_total", "Events handed to the decisions.", registry=registry)
        self.requests = Counter(
            "cressrock_requests_total",
            "Client requests by method and status.",
            ["method", "status"],
            registry=registry,
        )
        self.open_requests = Gauge(
            "cressrock_open_operations", "Operations that are owed an answer.", registry=registry
        )
        self.connections = Gauge("cressrock_connections", "Open connections.", ["side"], registry=registry)
        self.payload_bytes = Gauge(
            "cressrock_payload_bytes", "Payload bytes held in memory.", registry=registry
        )
        self.node_list_age = Gauge(
            "cressrock_node_list_age_seconds", "Since the list last answered.", registry=registry
        )
        self.nodes = Gauge("cressrock_nodes", "Nodes by state.", ["state"], registry=registry)
        self.concurrency_limit = Gauge(
            "cressrock_node_depth", "The scheduler's D at a node.", ["node"], registry=registry
        )
        self.waiting_operations = Gauge(
            "cressrock_shard_waiting", "Operations that wait for a shard.", ["shard"], registry=registry
        )
        self._children: dict[tuple[Any, ...], Any] = {}

    def child(self, metric: Any, *labels: str) -> Any:
        """Return a metric's child for these labels; cached, because the lookup by labels is expensive."""
        key = (id(metric), *labels)
        child = self._children.get(key)
        if child is None:
            if len(self._children) >= MAX_CACHED_CHILDREN:
                self._children.clear()
            child = self._children[key] = metric.labels(*labels)
        return child

    # --- the driver's observer

    def fence_tripped(self, trip: FenceTrip) -> None:
        """Count and log a tripped fence; each is a defect in the module that gave the order."""
        self.fences.labels(trip.fence.value).inc()
        self.log.error("fence", fence=trip.fence.value, operation=trip.operation, detail=trip.detail)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, latency_ms: float, text: str) -> None:
        """Count an attempt and call the listeners; an attempt with an error `text` is logged."""
        name = attempt.node.name
        self.child(self.attempts, name, outcome.value).inc()
        if text:
            self.log.debug(
                "attempt", node=name, outcome=outcome.value, lag_ms=round(latency_ms, 1), text=text
            )
        for listener in self.attempt_listeners:
            listener(attempt.node.shard, outcome)

    def answered(self, request_class: int, verdict: Verdict, reason: Reason | None, ms: float) -> None:
        """Count an operation's final answer and record its time in ms."""
        name = self.classes[request_class]
        self.child(self.answers, name, verdict.value, reason.value if reason else "").inc()
        self.child(self.seconds, name).observe(ms / 1000)

    def batch_processed(self, events: int, late_ms: float, act_ms: float) -> None:
        """Record a batch: its event count, the wait of its oldest event and its processing time in ms."""
        self.events.inc(events)
        self.batch_lateness.observe(late_ms / 1000)
        self.batch_duration.observe(act_ms / 1000)

    def log_line(self, text: str) -> None:
        """Log a line from the decision module, as a warning."""
        self.log.warning("scheduler", text=text)

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return generate_latest(self.registry)
