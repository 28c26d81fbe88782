"""Selects the planner that an edge connects to next, and when: backoff with seeded jitter.  No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_DOUBLINGS = 30  # avoids float overflow; the maximum wait is reached long before


@dataclass(frozen=True, slots=True)
class ConnectAttempt:
    """The next connection attempt: its time, on the caller's clock, and the planner's address."""

    at_ms: float
    planner: str


class ReconnectBackoff:
    """Cycles through the planners in order of preference, with exponential backoff and full jitter."""

    def __init__(
        self, planners: tuple[str, ...], rng: random.Random, *, min_wait_ms: float, max_wait_ms: float
    ) -> None:
        """Start with the first of `planners`, without delay.  Raises ValueError for an empty list."""
        if not planners:
            raise ValueError("an edge needs at least one planner")
        self.planners = planners
        self.rng = rng
        self.min_wait_ms = min_wait_ms
        self.max_wait_ms = max_wait_ms
        self._failures = 0
        self._index = 0  # position of the next planner in `planners`
        self._next_at_ms = 0.0

    def planner_lost(self, now_ms: float) -> None:
        """Record that a planner was lost or could not be reached; the next attempt is delayed at random."""
        self._failures += 1
        # If it were derived from `_failures` alone, which `planner_joined` resets, the index would select the
        # second planner again after that one was lost.
        self._index = (self._index + 1) % len(self.planners)
        doublings = min(MAX_DOUBLINGS, (self._failures - 1) // len(self.planners))
        span_ms = min(self.max_wait_ms, self.min_wait_ms * 2.0**doublings)
        self._next_at_ms = now_ms + span_ms * self.rng.random()

    def planner_joined(self) -> None:
        """Reset the backoff after a successful join."""
        self._failures = 0

    def next_attempt(self) -> ConnectAttempt:
        """Return the time and the planner of the next connection attempt."""
        return ConnectAttempt(self._next_at_ms, self.planners[self._index])
