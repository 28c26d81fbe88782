"""When an edge tries which of its planners next: backoff with seeded jitter.  Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass

MAX_DOUBLINGS = 30  # keeps the power within a float, long after the bound was reached


@dataclass(frozen=True, slots=True)
class ConnectAttempt:
    """The next try: when, on the clock of the calls, and the planner's address."""

    at_ms: float
    planner: str


class ReconnectBackoff:
    """Walks the planners in order of preference, with growing waits."""

    def __init__(
        self, planners: tuple[str, ...], source: random.Random, *, min_wait_ms: float, max_wait_ms: float
    ) -> None:
        """Begin with the first of `planners` at once.  Raises ValueError for an empty list."""
        if not planners:
            raise ValueError("an edge needs at least one planner")
        self.planners = planners
        self.random = source
        self.min_wait_ms = min_wait_ms
        self.max_wait_ms = max_wait_ms
        self._failures = 0
        self._index = 0  # of the planner to try next
        self._next_at_ms = 0.0

    def planner_lost(self, now: float) -> None:
        """Enter that a planner was lost or not reached; the next try is spread over a growing span."""
        self._failures += 1
        # Danger: counted from the failures alone, whoever loses its second planner tries that one first.
        self._index = (self._index + 1) % len(self.planners)
        doublings = min(MAX_DOUBLINGS, (self._failures - 1) // len(self.planners))
        span_ms = min(self.max_wait_ms, self.min_wait_ms * 2.0**doublings)
        self._next_at_ms = now + span_ms * self.random.random()

    def planner_joined(self) -> None:
        """Enter that a planner was joined: the waits begin anew."""
        self._failures = 0

    def next_attempt(self) -> ConnectAttempt:
        """Return when to try next, and which planner."""
        return ConnectAttempt(self._next_at_ms, self.planners[self._index])
