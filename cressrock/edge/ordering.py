"""Order at an edge over a change of decider: what the one before left open on a key the next cannot know.

Within one decider the decision module keeps order by itself.  Danger: an attempt that runs on from before the
change, or one that ended unanswered and may run yet, is known to nobody but this edge.  Pure.
"""

from __future__ import annotations

from cressrock.interface import Arrival, Outcome, RequestClass

MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class KeyOrdering:
    """Which operations are out on each key that has to run in order, and until when the key rests.

    `settle_ms`: how long an attempt that ended without an answer may still run (a rule's figure).  Bounded by
    the edge's operations: a key is kept while one is out or it rests.
    """

    def __init__(self, classes: tuple[RequestClass, ...], settle_ms: float) -> None:
        """Start with nothing out."""
        self.classes = classes
        self.settle_ms = settle_ms
        self.out: dict[str, str] = {}  # operation -> key
        self.busy: dict[str, set[str]] = {}  # key -> operations
        self.rests: dict[str, float] = {}  # key -> until when

    def sent(self, arrival: Arrival) -> None:
        """Enter that an attempt leaves."""
        if arrival.key and self.classes[arrival.request_class].ordered:
            self.out[arrival.request] = arrival.key
            self.busy.setdefault(arrival.key, set()).add(arrival.request)

    def ended(self, operation: str, outcome: Outcome, now: float) -> None:
        """Enter an attempt's outcome; of one that may still run the key rests."""
        key = self.out.pop(operation, None)
        if key is None:
            return
        self.busy[key].discard(operation)
        if not self.busy[key]:
            del self.busy[key]
        if outcome in MAY_STILL_RUN:
            self.rests[key] = max(self.rests.get(key, 0.0), now + self.settle_ms)
        if len(self.rests) > 2 * len(self.busy) + 64:
            self.rests = {k: until for k, until in self.rests.items() if until > now}

    def free_at(self, arrival: Arrival, now: float) -> float:
        """Return from when on an operation may be decided about: now, later, or infinity: not known yet."""
        if not arrival.key or not self.classes[arrival.request_class].ordered:
            return now
        if self.busy.get(arrival.key, set()) - {arrival.request}:
            return float("inf")
        return max(now, self.rests.get(arrival.key, 0.0))
