"""Order on keys over a change of decider: what the one before left open, the next one cannot know.  Pure.

Within one decider the scheduler keeps order by itself.  Danger: an attempt that runs on from before the
change, or one that ended without an answer and may still run, is known to this edge alone.
"""

from __future__ import annotations

from cressrock.interface import Arrival, Outcome, RequestClass

MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
FOREVER = float("inf")


class KeyOrdering:
    """Which operations are in flight on each key that has to run in order, and until when the key rests.

    `settle_ms`: how long an attempt that ended without an answer may still run (a rule's figure).  Bounded by
    the edge's operations: a key is remembered while one is in flight or it rests.
    """

    def __init__(self, classes: tuple[RequestClass, ...], settle_ms: float) -> None:
        """Start with nothing in flight."""
        self.classes = classes
        self.settle_ms = settle_ms
        self._key_of: dict[str, str] = {}  # by operation in flight
        self._in_flight: dict[str, set[str]] = {}  # operations, by key
        self._rests_until_ms: dict[str, float] = {}  # by key

    def attempt_started(self, arrival: Arrival) -> None:
        """Enter that an attempt leaves."""
        if self._is_ordered(arrival):
            self._key_of[arrival.request] = arrival.key
            self._in_flight.setdefault(arrival.key, set()).add(arrival.request)

    def attempt_ended(self, operation: str, outcome: Outcome, now: float) -> None:
        """Enter an attempt's outcome; after one that may still run the key rests."""
        key = self._key_of.pop(operation, None)
        if key is None:
            return
        self._in_flight[key].discard(operation)
        if not self._in_flight[key]:
            del self._in_flight[key]
        if outcome in MAY_STILL_RUN:
            self._rests_until_ms[key] = max(self._rests_until_ms.get(key, 0.0), now + self.settle_ms)
        if len(self._rests_until_ms) > 2 * len(self._in_flight) + 64:
            self._rests_until_ms = {k: until for k, until in self._rests_until_ms.items() if until > now}

    def free_at_ms(self, arrival: Arrival, now: float) -> float:
        """Return from when on an operation may be decided about: now, later, or infinity: not known yet."""
        if not self._is_ordered(arrival):
            return now
        if self._in_flight.get(arrival.key, set()) - {arrival.request}:
            return FOREVER
        return max(now, self._rests_until_ms.get(arrival.key, 0.0))

    def _is_ordered(self, arrival: Arrival) -> bool:
        return bool(arrival.key) and self.classes[arrival.request_class].ordered
