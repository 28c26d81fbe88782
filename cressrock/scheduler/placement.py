"""Choice of a shard for a new object that may be written to any shard."""

from __future__ import annotations

import random

from cressrock.scheduler.endpoints import INFINITY, Endpoint
from cressrock.scheduler.fair_queue import ShardQueue
from cressrock.scheduler.slow_start import SlowStart


class Placement:
    """Chooses the shard with the lowest expected delay."""

    def __init__(self, queues: dict[int, ShardQueue], slow_start: SlowStart, source: random.Random) -> None:
        """Keep references to the state of one scheduler; nothing is copied."""
        self.queues = queues
        self.slow_start = slow_start
        self.source = source

    def choose_shard(self, now_ms: float) -> int:
        """Choose among the endpoints that are warm and not ejected, else among all; -1 if there are none.

        An endpoint without latency samples is assumed to have the average latency of the others.  Otherwise
        hundreds of hosts would prefer it at the same time and overload it.
        """
        ready = [
            (shard, queue, queue.endpoint)
            for shard, queue in self.queues.items()
            if queue.endpoint is not None
        ]
        available = [candidate for candidate in ready if self._is_available(candidate[2], now_ms)]
        known = [endpoint.limit.latency_ms for _, _, endpoint in ready if endpoint.limit.latency_ms]
        usual_ms = sum(known) / len(known) if known else 0.0
        best, lowest_ms = -1, INFINITY
        for shard, queue, endpoint in available or ready:
            queued_ahead = queue.waiting_count + len(endpoint.in_flight)
            delay_ms = endpoint.current_delay_ms(now_ms) or usual_ms
            delay_ms *= 1 + queued_ahead / endpoint.limit.window
            delay_ms += self.source.random()  # spreads requests over equal endpoints
            if delay_ms < lowest_ms:
                best, lowest_ms = shard, delay_ms
        return best

    def _is_available(self, endpoint: Endpoint, now_ms: float) -> bool:
        is_ejected = now_ms < endpoint.ejection.until_ms
        return not is_ejected and self.slow_start.allowed_units(endpoint, now_ms) == INFINITY
