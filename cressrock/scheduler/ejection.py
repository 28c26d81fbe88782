"""Outlier ejection: an endpoint that is full, unreachable or unresponsive gets no requests for a backoff.

The backoff grows with each failure.  After it, one regular request serves as a passive health check.
"""

from __future__ import annotations

import random

FIRST_BACKOFF_MS = 100.0  # for an unreachable or unresponsive endpoint
FIRST_FULL_BACKOFF_MS = 20.0  # minimum for an endpoint with a full queue
MAX_BACKOFF_OBJECTIVES = 4  # in multiples of the shortest latency objective of any class


class Ejection:
    """Ejection state of one endpoint; times are absolute, in milliseconds."""

    __slots__ = ("answered_at_ms", "backoff_ms", "max_backoff_ms", "until_ms")

    def __init__(self, min_objective_ms: float) -> None:
        """Start as not ejected."""
        self.max_backoff_ms = MAX_BACKOFF_OBJECTIVES * min_objective_ms
        self.until_ms = 0.0
        self.backoff_ms = 0.0  # 0: not ejected
        self.answered_at_ms = 0.0

    def clear(self) -> None:
        """End the ejection and reset the backoff."""
        self.until_ms = self.backoff_ms = 0.0

    def record_answer(self, now_ms: float) -> None:
        """Record a response, which shows that the endpoint is healthy."""
        self.clear()
        self.answered_at_ms = now_ms

    def record_full(self, latency_ms: float, source: random.Random, now_ms: float) -> None:
        """Eject after a full queue for a latency or more, randomized so that hosts do not retry together."""
        backoff_ms = max(2 * self.backoff_ms, latency_ms, FIRST_FULL_BACKOFF_MS)
        self.backoff_ms = min(backoff_ms, self.max_backoff_ms)
        self.until_ms = now_ms + self.backoff_ms * (0.5 + source.random())

    def record_unreachable(self, now_ms: float) -> None:
        """Eject an endpoint that hangs, is gone or refuses connections."""
        self.backoff_ms = min(max(2 * self.backoff_ms, FIRST_BACKOFF_MS), self.max_backoff_ms)
        self.until_ms = now_ms + self.backoff_ms
