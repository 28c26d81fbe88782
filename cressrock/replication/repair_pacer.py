"""Limits the pace of repair so that client requests take precedence.  No I/O; times in ms."""

from __future__ import annotations


class RepairPacer:
    """Delays repair operations.

    Operations take at most the fraction `max_time_share` of the time, and at most `max_operations_per_s`
    start per second.  After a node rejected one or reported a load above `busy_load`, none starts for
    `pause_ms`.
    """

    def __init__(
        self,
        *,
        max_time_share: float = 0.5,
        max_operations_per_s: float = 200.0,
        busy_load: float = 0.8,
        pause_ms: float = 250.0,
    ) -> None:
        """The values come from the settings, which document them."""
        self._max_time_share, self._max_operations_per_s, self._busy_load, self._pause_ms = (
            max_time_share,
            max_operations_per_s,
            busy_load,
            pause_ms,
        )
        self._next_at_ms = 0.0

    def record_operation(self, now_ms: float, duration_ms: float, *, rejected: bool, load: float) -> None:
        """Record an operation that ended now; `rejected`: the node rejected it as too busy."""
        delay_ms = max(duration_ms * (1 / self._max_time_share - 1), 1000 / self._max_operations_per_s)
        if rejected or load > self._busy_load:
            delay_ms = max(delay_ms, self._pause_ms)
        self._next_at_ms = now_ms + delay_ms

    def wait_ms(self, now_ms: float) -> float:
        """Return how long the next operation must wait, 0 if it may start now."""
        return max(0.0, self._next_at_ms - now_ms)
