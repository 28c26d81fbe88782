"""How long a process may use a candidate after its own read of the decision.  Pure."""

from __future__ import annotations


class ReadLease:
    """A lease on the rollout's decision that only this process's own reads renew, not gossiped decisions.

    A gossiped decision may arrive after any delay, for example from a process that was partitioned, and would
    then be used for a full lease from its arrival.  A linearizable read that *began* after the halting
    decision cannot return the running one.  So a process that uses the candidate only within one lease of the
    start of a read stops within one lease of the halt, whatever it receives by gossip.
    """

    def __init__(self) -> None:
        """Start with an expired lease."""
        self._version: int | None = None
        self._expires_at_ms = 0.0

    def record_read(self, version: int, began_ms: float, lease_ms: float) -> None:
        """Record the version that a read returned, and when the read began on this process's clock."""
        self._version, self._expires_at_ms = version, began_ms + lease_ms

    def is_valid(self, version: int, now_ms: float) -> bool:
        """Whether the decision of this version may still be used."""
        return version == self._version and now_ms < self._expires_at_ms
