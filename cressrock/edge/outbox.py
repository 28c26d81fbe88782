"""The bounded queue of numbered events for the planner.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

import msgspec

from cressrock.link import messages


class Outbox:
    """Events for the planner, oldest first.  Their sequence numbers continue across sessions."""

    def __init__(self, max_events: int, uncounted_after_ms: float) -> None:
        """Start empty.  While `max_events` events are queued, new ones are dropped.

        A request that was queued for more than `uncounted_after_ms` is not counted in any retry budget.
        """
        self.max_events = max_events
        self.uncounted_after_ms = uncounted_after_ms
        self.last_added_ms = 0.0
        self.on_added: Callable[[], None] = lambda: None
        self._sequence = 0
        self._events: deque[messages.EdgeEvent] = deque()

    def __iter__(self) -> Iterator[messages.EdgeEvent]:
        """Iterate over the queued events, oldest first."""
        return iter(self._events)

    def __len__(self) -> int:
        """Return the number of queued events."""
        return len(self._events)

    def add(self, event: messages.EdgeEvent, now_ms: float) -> None:
        """Queue an event with the next sequence number and the time `now_ms` of the edge's clock."""
        if len(self._events) >= self.max_events:
            return  # the planner is not reading; the link or the deadlines here will time out
        self._sequence += 1
        self.last_added_ms = now_ms
        self._events.append(msgspec.structs.replace(event, sequence=self._sequence, at_ms=now_ms))
        self.on_added()

    def pop_next(self, now_ms: float) -> messages.EdgeEvent:
        """Remove and return the oldest event, in the form to send.  Raises IndexError if there is none."""
        event = self._events.popleft()
        if isinstance(event, messages.Request) and now_ms > event.at_ms + self.uncounted_after_ms:
            return msgspec.structs.replace(event, counted_in_budget=True)
        return event

    def clear(self) -> None:
        """Drop all queued events, which belong to a session that has ended."""
        self._events.clear()
