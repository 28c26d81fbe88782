"""Remembers when each idempotency key was first sent, across all operations that use it.  Does no I/O.

A client that retries with the same key starts a new operation with a full deduplication window, while the
nodes count the window from the first attempt.  Without this memory, a late attempt of the second operation
would run the work again.
"""

from __future__ import annotations

from collections import OrderedDict


class IdempotencyKeys:
    """First send time of each key whose work may have run; at most `max_keys`, each for `keep_ms`."""

    def __init__(self, *, keep_ms: float, max_keys: int) -> None:
        """Start empty."""
        self.keep_ms = keep_ms
        self.max_keys = max_keys
        self._first_sent_ms: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of stored keys, expired ones included until the next `record_sent`."""
        return len(self._first_sent_ms)

    def first_sent_ms(self, key: str, now_ms: float) -> float | None:
        """Return when work that may have run was first sent with the key; None if unknown or expired."""
        sent_at_ms = self._first_sent_ms.get(key)
        return sent_at_ms if sent_at_ms is not None and now_ms - sent_at_ms <= self.keep_ms else None

    def record_sent(self, key: str, now_ms: float) -> None:
        """Record that an attempt with the key was sent; only the first time is kept."""
        self._expire(now_ms)
        self._first_sent_ms.setdefault(key, now_ms)

    def retract_sent(self, key: str, sent_at_ms: float) -> None:
        """Remove the key if its first attempt, sent at this time, provably never ran."""
        if self._first_sent_ms.get(key) == sent_at_ms:
            del self._first_sent_ms[key]

    def _expire(self, now_ms: float) -> None:
        while self._first_sent_ms:
            oldest = next(iter(self._first_sent_ms))
            is_current = now_ms - self._first_sent_ms[oldest] <= self.keep_ms
            if is_current and len(self._first_sent_ms) < self.max_keys:
                return
            del self._first_sent_ms[oldest]
