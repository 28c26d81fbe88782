"""Keeps the order of operations on a key when their decider changes.  No I/O.

As long as the decider stays the same, its scheduler keeps the order.  After a change, only this edge knows of
the previous decider's attempts that are in flight, or that ended without an answer and may still be running.
"""

from __future__ import annotations

from cressrock.interface import Arrival, Outcome, RequestClass

MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
NEVER_MS = float("inf")


class KeyOrdering:
    """The operations in flight on each ordered key, and until when a key stays blocked after them.

    An attempt that ended without an answer may still run for `settle_ms`, which a rule sets.  Memory is
    bounded by the edge's operations: a key is kept while an operation is in flight on it or it is blocked.
    """

    def __init__(self, classes: tuple[RequestClass, ...], settle_ms: float) -> None:
        """Start with no attempt in flight; `classes` says which request classes are ordered."""
        self.classes = classes
        self.settle_ms = settle_ms
        self._key_of: dict[str, str] = {}  # key by operation in flight
        self._in_flight: dict[str, set[str]] = {}  # operations by key
        self._blocked_until_ms: dict[str, float] = {}

    def attempt_started(self, arrival: Arrival) -> None:
        """Record that an attempt starts."""
        if self._is_ordered(arrival):
            self._key_of[arrival.request] = arrival.key
            self._in_flight.setdefault(arrival.key, set()).add(arrival.request)

    def attempt_ended(self, operation: str, outcome: Outcome, now_ms: float) -> None:
        """Record an attempt's outcome; if the attempt may still run, block its key for `settle_ms`."""
        key = self._key_of.pop(operation, None)
        if key is None:
            return
        self._in_flight[key].discard(operation)
        if not self._in_flight[key]:
            del self._in_flight[key]
        if outcome in MAY_STILL_RUN:
            self._blocked_until_ms[key] = max(self._blocked_until_ms.get(key, 0.0), now_ms + self.settle_ms)
        if len(self._blocked_until_ms) > 2 * len(self._in_flight) + 64:
            self._blocked_until_ms = {
                k: until for k, until in self._blocked_until_ms.items() if until > now_ms
            }

    def earliest_start_ms(self, arrival: Arrival, now_ms: float) -> float:
        """Return the earliest time (ms) at which an operation may start; infinity while that is unknown."""
        if not self._is_ordered(arrival):
            return now_ms
        if self._in_flight.get(arrival.key, set()) - {arrival.request}:
            return NEVER_MS
        return max(now_ms, self._blocked_until_ms.get(arrival.key, 0.0))

    def _is_ordered(self, arrival: Arrival) -> bool:
        return bool(arrival.key) and self.classes[arrival.request_class].ordered
