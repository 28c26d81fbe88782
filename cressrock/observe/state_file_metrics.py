"""Prometheus metrics of a process's state files."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from cressrock.state_file import WriteCounts


class StateFileCollector(Collector):
    """Reads the counts each time the metrics are asked for."""

    def __init__(self, counts: WriteCounts) -> None:
        """`counts` are those of the process's state files."""
        self.counts = counts

    def collect(self) -> Iterator[Metric]:
        """Return the metrics with their values."""
        writes = CounterMetricFamily(
            "cressrock_state_file_writes", "Writes of state files by result.", labels=["result"]
        )
        writes.add_metric(["written"], self.counts.written)
        writes.add_metric(["failed"], self.counts.failed)
        yield writes
        yield CounterMetricFamily(
            "cressrock_state_file_slow_writes", "Writes that took over 100 ms.", value=self.counts.slow
        )
        yield GaugeMetricFamily(
            "cressrock_state_file_longest_write_seconds",
            "The longest write since the start.",
            value=self.counts.longest_ms / 1000,
        )
