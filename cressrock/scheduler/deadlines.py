"""When each held request has to be looked at: none can be left without an answer."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from cressrock.scheduler.endpoints import INFINITY
from cressrock.scheduler.request import Request

GIVE_UP_FRACTION = 0.25  # of a request's time: rejected then if it was never sent and is past its objective
MAX_GIVE_UP_FRACTION = (
    0.45  # the same whatever its objective: well before half, while its client can come back
)
ANSWER_MARGIN_TICKS = 2  # before its deadline what waits is answered


class Deadlines:
    """Every request that is held, by the time of its next look."""

    def __init__(self, tick_ms: float) -> None:
        """Hold nothing."""
        self.margin_ms = ANSWER_MARGIN_TICKS * tick_ms
        self.heap: list[tuple[float, int, Request]] = []
        self.pushed = 0  # so far: keeps requests of one time in their order

    @property
    def next_ms(self) -> float:
        """When the next request has to be looked at; infinity where none is held."""
        return self.heap[0][0] if self.heap else INFINITY

    def watch(self, request: Request, now_ms: float) -> None:
        """Look at a request at its time."""
        self._push(request, self._review_at_ms(request, now_ms))

    def expired(self, now_ms: float) -> Iterator[Request]:
        """Take out and yield each request whose time for an answer has come."""
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
        self.pushed += 1
        heapq.heappush(self.heap, (at_ms, self.pushed, request))

    def _review_at_ms(self, request: Request, now_ms: float) -> float:
        """When to look at a request: at its fraction of the time while unsent, else just before its end."""
        last_ms = request.deadline_ms - self.margin_ms
        if not request.attempts:
            left_ms = request.arrival.remaining_ms
            objective_ms = request.objective_at_ms - request.accepted_at_ms
            give_up_ms = max(GIVE_UP_FRACTION * left_ms, min(objective_ms, MAX_GIVE_UP_FRACTION * left_ms))
            return min(last_ms, request.accepted_at_ms + give_up_ms)
        return last_ms if request.endpoint is None or now_ms < last_ms else request.deadline_ms
