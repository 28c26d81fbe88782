"""How fast repair may go: below live work, at a small share.  Pure; times in ms."""

from __future__ import annotations


class RepairPacer:
    """Delays repair's operations.

    `share` of the time is spent in operations at most, `rate` begin each second at most, and while a node
    says that live work waits (it rejects, or is busier than `busy`) nothing goes for `pause_ms`.
    """

    def __init__(
        self, *, share: float = 0.5, rate: float = 200.0, busy: float = 0.8, pause_ms: float = 250.0
    ) -> None:
        """See the settings for what the values are for."""
        self._share, self._rate, self._busy, self._pause_ms = share, rate, busy, pause_ms
        self._next_at_ms = 0.0

    def record_operation(self, now_ms: float, took_ms: float, *, rejected: bool, load: float) -> None:
        """Enter an operation that ended now; `refused`: the node rejected it as too busy."""
        rest_ms = max(took_ms * (1 / self._share - 1), 1000 / self._rate)
        if rejected or load > self._busy:
            rest_ms = max(rest_ms, self._pause_ms)
        self._next_at_ms = now_ms + rest_ms

    def wait_ms(self, now_ms: float) -> float:
        """Return how long the next operation has to wait."""
        return max(0.0, self._next_at_ms - now_ms)
