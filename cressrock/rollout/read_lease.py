"""Until when a process may choose a candidate, by its own reads of the decision.  Pure."""

from __future__ import annotations


class ReadLease:
    """A lease on the rollout's decision that only this process's own reads renew, not what it is notified of.

    Danger: news of a decision may be under way, or held back by a process that was cut off, for any time, and
    would count for a whole lease from when it is first received.  A linearizable read that was *begun* after
    the halting decision cannot return the running one; so what is chosen within a lease of a read's beginning
    is chosen within a lease of the halt, whatever else was received.
    """

    def __init__(self) -> None:
        """Start with nothing read."""
        self._version: int | None = None
        self._expires_at_ms = 0.0

    def record_read(self, version: int, began_ms: float, lease_ms: float) -> None:
        """Enter a read's answer and when it was begun, on this process's clock."""
        self._version, self._expires_at_ms = version, began_ms + lease_ms

    def is_valid(self, version: int, now_ms: float) -> bool:
        """Whether the decision of this version may be chosen by now."""
        return version == self._version and now_ms < self._expires_at_ms
