"""Keys that merges changed since the local reader last drained the log."""

from __future__ import annotations

from cressrock.gossip.messages import Origin

Change = tuple[Origin, str]
"""The origin of a changed entry, and the entry's key."""

EVERYTHING_CHANGED: Change = (("", 0), "")
"""Overflow marker: the log exceeded its limit, so the reader must read all keys again."""


class ChangeLog:
    """A bounded set of changed keys, in the order in which each first changed."""

    def __init__(self, max_changes: int) -> None:
        """Start empty; beyond `max_changes` keys the log holds EVERYTHING_CHANGED alone."""
        self._max_changes = max_changes
        self._changes: dict[Change, None] = {}

    def record(self, origin: Origin, key: str) -> None:
        """Add a changed key; no effect if it is already in the log or the log has overflowed."""
        if EVERYTHING_CHANGED in self._changes:
            return
        self._changes[(origin, key)] = None
        if len(self._changes) > self._max_changes:
            self._changes = {EVERYTHING_CHANGED: None}

    def drain(self) -> list[Change]:
        """Return the changes and clear the log."""
        changes, self._changes = list(self._changes), {}
        return changes
