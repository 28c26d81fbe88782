"""Prometheus metrics of a process's event loop."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from cressrock.observe.event_loop import TurnCounts


class EventLoopCollector(Collector):
    """Reads the counts each time the metrics are asked for."""

    def __init__(self, counts: TurnCounts) -> None:
        """`counts` are those of the process's event loop."""
        self.counts = counts

    def collect(self) -> Iterator[Metric]:
        """Return the metrics with their values."""
        yield CounterMetricFamily(
            "cressrock_event_loop_slow_turns",
            "Turns of the event loop that took over 100 ms.",
            value=self.counts.slow,
        )
        yield GaugeMetricFamily(
            "cressrock_event_loop_longest_turn_seconds",
            "The longest turn since the start.",
            value=self.counts.longest_ms / 1000,
        )
        seconds = CounterMetricFamily(
            "cressrock_event_loop_slow_turn_seconds",
            "Time of slow turns: running, waiting for a processor, or blocked in a call.",
            labels=["spent"],
        )
        seconds.add_metric(["running"], self.counts.running_ms / 1000)
        seconds.add_metric(["waiting"], self.counts.waiting_ms / 1000)
        seconds.add_metric(["blocked"], self.counts.blocked_ms / 1000)
        yield seconds
