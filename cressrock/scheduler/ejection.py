"""Outlier ejection: an endpoint that is full, unreachable or silent rests, for longer each time.

After a rest one real request tries it (a passive health check).
"""

from __future__ import annotations

import random

FIRST_BACKOFF_MS = 100.0  # of an endpoint that is unreachable or silent
FIRST_FULL_BACKOFF_MS = 20.0  # the least of one whose queue is full
MAX_BACKOFF_OBJECTIVES = 4  # the longest backoff, in the shortest objectives of a class


class Ejection:
    """How long an endpoint rests, and what that hangs on."""

    __slots__ = ("answered_at_ms", "backoff_ms", "max_backoff_ms", "until_ms")

    def __init__(self, min_objective_ms: float) -> None:
        """Begin without a rest."""
        self.max_backoff_ms = MAX_BACKOFF_OBJECTIVES * min_objective_ms
        self.until_ms = 0.0
        self.backoff_ms = 0.0  # 0: not ejected
        self.answered_at_ms = 0.0

    def end(self) -> None:
        """Forget every failure."""
        self.until_ms = self.backoff_ms = 0.0

    def record_answer(self, now_ms: float) -> None:
        """Take an answer: the endpoint is sound."""
        self.end()
        self.answered_at_ms = now_ms

    def record_full(self, latency_ms: float, source: random.Random, now_ms: float) -> None:
        """Rest before a full queue, apart from other hosts, an answer's time at least."""
        backoff_ms = max(2 * self.backoff_ms, latency_ms, FIRST_FULL_BACKOFF_MS)
        self.backoff_ms = min(backoff_ms, self.max_backoff_ms)
        self.until_ms = now_ms + self.backoff_ms * (0.5 + source.random())

    def record_unreachable(self, now_ms: float) -> None:
        """Rest before an endpoint that hangs, is gone or refuses connections."""
        self.backoff_ms = min(max(2 * self.backoff_ms, FIRST_BACKOFF_MS), self.max_backoff_ms)
        self.until_ms = now_ms + self.backoff_ms
