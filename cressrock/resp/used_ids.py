"""Remembers the ids of requests that may have run.  Pure.

A client gives each request a new id.  One whose connection ended may send a request once more with the same
id; if the first may have run, a second attempt would repeat its effect.
"""

from __future__ import annotations

MAX_USED_IDS = 16384


class UsedIds:
    """Ids of requests that are over and may have run, each until its client's time is over."""

    def __init__(self, max_count: int = MAX_USED_IDS) -> None:
        """Start empty; above `max_count` the id recorded longest ago is forgotten."""
        self.max_count = max_count
        self._until_ms: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many ids are remembered."""
        return len(self._until_ms)

    def record(self, request_id: str, until_ms: float) -> None:
        """Remember an id until a time."""
        self._until_ms[request_id] = until_ms
        if len(self._until_ms) > self.max_count:
            del self._until_ms[next(iter(self._until_ms))]

    def is_used(self, request_id: str, now_ms: float) -> bool:
        """Return whether a request with this id may have run and its client's time is not over."""
        until_ms = self._until_ms.get(request_id)
        return until_ms is not None and now_ms < until_ms

    def expire(self, now_ms: float) -> None:
        """Forget ids whose time is over."""
        for request_id, until_ms in list(self._until_ms.items()):
            if until_ms <= now_ms:
                del self._until_ms[request_id]
