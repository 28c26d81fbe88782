"""The queue of events for the planner: numbered, bounded, sent as far as the planner gave credit.  Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

import msgspec

from cressrock.link import messages


class Outbox:
    """Events for the planner in the order of their sequence numbers, which go on over sessions."""

    def __init__(self, max_events: int, uncounted_after_ms: float) -> None:
        """Start empty.  Beyond `max_events` new events are dropped.

        A request that waits here for longer than `uncounted_after_ms` is too late for any retry budget.
        """
        self.max_events = max_events
        self.uncounted_after_ms = uncounted_after_ms
        self.last_added_ms = 0.0
        self.on_added: Callable[[], None] = lambda: None
        self._sequence = 0
        self._events: deque[messages.EdgeEvent] = deque()

    def __iter__(self) -> Iterator[messages.EdgeEvent]:
        """Iterate over the waiting events, the oldest first."""
        return iter(self._events)

    def __len__(self) -> int:
        """Return how many events wait."""
        return len(self._events)

    def add(self, event: messages.EdgeEvent, now: float) -> None:
        """Number an event, stamp it with the edge's clock and queue it."""
        if len(self._events) >= self.max_events:
            return  # the planner reads nothing: the link's silence or this edge's deadlines end it
        self._sequence += 1
        self.last_added_ms = now
        self._events.append(msgspec.structs.replace(event, sequence=self._sequence, at_ms=now))
        self.on_added()

    def pop_next(self, now: float) -> messages.EdgeEvent:
        """Remove the oldest event and return it as it is to be sent."""
        event = self._events.popleft()
        if isinstance(event, messages.Request) and now > event.at_ms + self.uncounted_after_ms:
            return msgspec.structs.replace(event, counted_in_budget=True)
        return event

    def clear(self) -> None:
        """Drop what waits: it was meant for a session that is over."""
        self._events.clear()
