"""When a client's key was first sent, over all operations that carry it.  Pure.

Danger: a client that comes back with its key begins a new operation with a full window of its own, while
the rack counts its memory from the first sending; a late attempt of the second would run once more.
"""

from __future__ import annotations

from collections import OrderedDict


class IdempotencyKeys:
    """First sendings of keys that may have run, for `keep_ms`, at most `most` of them."""

    def __init__(self, *, keep_ms: float, max_keys: int) -> None:
        """Start with none."""
        self.keep_ms = keep_ms
        self.most = max_keys
        self._first: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Count the keys that are held."""
        return len(self._first)

    def first_sent_ms(self, key: str, now: float) -> float | None:
        """Return when work under a key was first sent, as far as it may have run; None: not known to be."""
        at = self._first.get(key)
        return at if at is not None and now - at <= self.keep_ms else None

    def record_sent(self, key: str, now: float) -> None:
        """Enter a sending; only the first one counts."""
        self._expire(now)
        self._first.setdefault(key, now)

    def retract_sent(self, key: str, sent_at: float) -> None:
        """Take back a first sending that provably never ran."""
        if self._first.get(key) == sent_at:
            del self._first[key]

    def _expire(self, now: float) -> None:
        while self._first:
            oldest = next(iter(self._first))
            if now - self._first[oldest] <= self.keep_ms and len(self._first) < self.most:
                return
            del self._first[oldest]
