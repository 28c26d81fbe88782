"""Review times of all open requests, so that each gets a final answer in time."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from cressrock.scheduler.endpoints import INFINITY
from cressrock.scheduler.request import Request

# An unsent request is given up at its objective, bounded to these fractions of its time to the deadline.
GIVE_UP_FRACTION = 0.25
MAX_GIVE_UP_FRACTION = 0.45  # less than half, so that the client still has time to try again
ANSWER_MARGIN_TICKS = 2  # a waiting request is answered this long before its deadline


class Deadlines:
    """A priority queue of the open requests by their next review time."""

    def __init__(self, tick_ms: float) -> None:
        """Start empty; `tick_ms` is the resolution of the caller's timers."""
        self.margin_ms = ANSWER_MARGIN_TICKS * tick_ms
        self.heap: list[tuple[float, int, Request]] = []
        self.push_count = 0  # total so far; orders requests with the same review time

    @property
    def next_ms(self) -> float:
        """When the next review is due; infinity if there is none."""
        return self.heap[0][0] if self.heap else INFINITY

    def schedule_review(self, request: Request, now_ms: float) -> None:
        """Schedule the next review of a request."""
        self._push(request, self._review_at_ms(request, now_ms))

    def expired(self, now_ms: float) -> Iterator[Request]:
        """Remove and yield each open request that has to get its final answer now."""
        while self.heap and self.heap[0][0] <= now_ms:
            _, _, request = heapq.heappop(self.heap)
            if request.answered:
                continue
            review_at_ms = self._review_at_ms(request, now_ms)
            if now_ms < review_at_ms:
                self._push(request, review_at_ms)
            else:
                yield request

    def _push(self, request: Request, at_ms: float) -> None:
        self.push_count += 1
        heapq.heappush(self.heap, (at_ms, self.push_count, request))

    def _review_at_ms(self, request: Request, now_ms: float) -> float:
        """Return when to review a request: at its give-up time if never sent, else near its deadline."""
        last_ms = request.deadline_ms - self.margin_ms
        if not request.attempts:
            time_left_ms = request.arrival.remaining_ms
            objective_ms = request.objective_at_ms - request.accepted_at_ms
            give_up_ms = max(
                GIVE_UP_FRACTION * time_left_ms, min(objective_ms, MAX_GIVE_UP_FRACTION * time_left_ms)
            )
            return min(last_ms, request.accepted_at_ms + give_up_ms)
        return last_ms if request.endpoint is None or now_ms < last_ms else request.deadline_ms
