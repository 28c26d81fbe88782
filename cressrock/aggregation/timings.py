"""Intervals and timeouts of senders and collectors."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AggregationTimings:
    """Values in milliseconds, shared by senders and collectors."""

    min_update_interval_ms: float = 500.0  # least time between reported changes of an entry
    renewal_interval_ms: float = 10000.0  # all entries are reported again, changed or not
    ack_timeout_ms: float = 250.0  # minimum; longer for a collector that answers slowly
    max_attempts: int = 3  # unacknowledged reports before switching to another collector
    min_backoff_ms: float = 2000.0  # after a collector did not answer; doubles each time
    max_backoff_ms: float = 30000.0
    summary_interval_ms: float = 250.0  # between two summaries of a collector
    summary_ttl_ms: float = 1000.0  # expires after four summaries that were lost or not made
    evidence_request_ttl_ms: float = 10000.0  # a sender honours a push for this long
