"""What merging changed since the local reader last looked."""

from __future__ import annotations

from cressrock.gossip.messages import Origin

Change = tuple[Origin, str]
"""An origin and its key that changed."""

EVERYTHING_CHANGED: Change = (("", 0), "")
"""More changed than is remembered one by one; look at everything again."""


class ChangeLog:
    """Changed keys in the order in which they changed first, up to a bound."""

    def __init__(self, max_changes: int) -> None:
        """Begin empty."""
        self._max_changes = max_changes
        self._changes: dict[Change, None] = {}

    def record(self, origin: Origin, key: str) -> None:
        """Note that a key of an origin changed."""
        if EVERYTHING_CHANGED in self._changes:
            return
        self._changes[(origin, key)] = None
        if len(self._changes) > self._max_changes:
            self._changes = {EVERYTHING_CHANGED: None}

    def drain(self) -> list[Change]:
        """Return the changes, once."""
        changes, self._changes = list(self._changes), {}
        return changes
