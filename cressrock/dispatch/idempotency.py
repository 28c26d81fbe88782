"""When an idempotency key was first sent, over all operations that carry it.  Pure.

Danger: a client that comes back with its key begins a new operation with a full window of its own, while
the nodes count their memory of the key from the first sending; a late attempt of the second operation would
run the work once more.
"""

from __future__ import annotations

from collections import OrderedDict


class IdempotencyKeys:
    """First sendings of keys that may have run, each kept for `keep_ms`, at most `max_keys` of them."""

    def __init__(self, *, keep_ms: float, max_keys: int) -> None:
        """Start with none."""
        self.keep_ms = keep_ms
        self.max_keys = max_keys
        self._first_sent_ms: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Count the keys that are kept."""
        return len(self._first_sent_ms)

    def first_sent_ms(self, key: str, now_ms: float) -> float | None:
        """Return when work under a key was first sent, as far as it may have run; None: not known to be."""
        sent_at_ms = self._first_sent_ms.get(key)
        return sent_at_ms if sent_at_ms is not None and now_ms - sent_at_ms <= self.keep_ms else None

    def record_sent(self, key: str, now_ms: float) -> None:
        """Enter a sending; only the first one counts."""
        self._expire(now_ms)
        self._first_sent_ms.setdefault(key, now_ms)

    def retract_sent(self, key: str, sent_at_ms: float) -> None:
        """Take back a first sending that provably never ran."""
        if self._first_sent_ms.get(key) == sent_at_ms:
            del self._first_sent_ms[key]

    def _expire(self, now_ms: float) -> None:
        while self._first_sent_ms:
            oldest = next(iter(self._first_sent_ms))
            is_current = now_ms - self._first_sent_ms[oldest] <= self.keep_ms
            if is_current and len(self._first_sent_ms) < self.max_keys:
                return
            del self._first_sent_ms[oldest]
