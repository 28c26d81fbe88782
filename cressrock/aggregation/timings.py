"""Times of senders and collectors."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AggregationTimings:
    """Times in milliseconds; the same for senders and collectors."""

    min_update_interval_ms: float = 500.0  # nobody reports an entry's changes more often
    renewal_interval_ms: float = 10000.0  # everything is reported anew, though nothing changed
    ack_timeout_ms: float = 250.0  # at least
    max_attempts: int = 3  # reports without an acknowledgement, then another collector
    min_backoff_ms: float = 2000.0  # from a collector that did not answer, at first; doubled with each
    max_backoff_ms: float = 30000.0
    summary_interval_ms: float = 250.0  # how often a collector sends its summaries
    summary_ttl_ms: float = 1000.0  # an older summary counts no more: four of them were lost or never made
    evidence_request_ttl_ms: float = 10000.0  # a push is heeded so long
