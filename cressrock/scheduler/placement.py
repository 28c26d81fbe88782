"""At which shard a new object is written, where any will do."""

from __future__ import annotations

import random

from cressrock.scheduler.endpoints import INFINITY, Endpoint
from cressrock.scheduler.fair_queue import ShardQueue
from cressrock.scheduler.slow_start import SlowStart


class Placement:
    """Chooses the shard of the least expected delay."""

    def __init__(self, queues: dict[int, ShardQueue], slow_start: SlowStart, source: random.Random) -> None:
        """Share the state of one scheduler."""
        self.queues = queues
        self.slow_start = slow_start
        self.source = source

    def choose_shard(self, now_ms: float) -> int:
        """Choose among the endpoints that are warm and not on trial, else among all; -1 where there are none.

        Danger: an endpoint nobody knows yet would look best to hundreds of hosts at once, which bury it; it
        counts as one like the others.
        """
        ready = [
            (shard, queue, queue.endpoint)
            for shard, queue in self.queues.items()
            if queue.endpoint is not None
        ]
        good = [candidate for candidate in ready if self._is_good(candidate[2], now_ms)]
        known = [endpoint.limit.latency_ms for _, _, endpoint in ready if endpoint.limit.latency_ms]
        usual_ms = sum(known) / len(known) if known else 0.0
        best, lowest_ms = -1, INFINITY
        for shard, queue, endpoint in good or ready:
            before = queue.waiting_count + len(endpoint.in_flight)
            delay_ms = endpoint.current_delay_ms(now_ms) or usual_ms
            delay_ms *= 1 + before / endpoint.limit.window
            delay_ms += self.source.random()  # spreads equal endpoints
            if delay_ms < lowest_ms:
                best, lowest_ms = shard, delay_ms
        return best

    def _is_good(self, endpoint: Endpoint, now_ms: float) -> bool:
        is_ejected = now_ms < endpoint.ejection.until_ms
        return not is_ejected and self.slow_start.allowance(endpoint, now_ms) == INFINITY
