"""Slow start: how much this host may send an endpoint that is warming up.

All hosts together must stay under what a cold node falls at; the shares and their bounds are worked out in
docs/design.md, 'Lots for cold nodes'.
"""

from __future__ import annotations

from cressrock.interface import Settings
from cressrock.scheduler.endpoints import INFINITY, Endpoint
from cressrock.scheduler.fair_queue import ShardQueue

INFORMED_SHARE = 2 / 3  # of what fells a cold node may come from hosts that were told of its start
ADMITTED_CAPACITY_SHARE = 0.5  # of what a cold node bears: what random admission gives it in the mean


class SlowStart:
    """What cold endpoints may get from this host in each window of time."""

    def __init__(self, settings: Settings, queues: dict[int, ShardQueue], started_at_ms: float) -> None:
        """Begin with a host's life; `queues` are its shards' queues."""
        self.settings = settings
        self.queues = queues
        self.started_at_ms = started_at_ms
        self.arrived_units = 0.0  # of all requests of this life

    def allowance(self, endpoint: Endpoint, now_ms: float) -> float:
        """Units that an endpoint may still get within the cold window; no bound once it is surely warm."""
        settings, listed, ended = self.settings, endpoint.listed, endpoint.ended_sends
        window_ms = settings.cold_window_ms
        while ended and ended[0].ended_at_ms <= now_ms - window_ms - settings.tick_ms:
            ended.popleft()
        endpoint.admitted_share = 1.0
        age_ms = now_ms - listed.started_at_ms
        if not listed.started_at_ms or age_ms >= settings.warm_up_ms + window_ms:
            return INFINITY
        if now_ms < self.started_at_ms + window_ms:
            return 0.0  # a former life of this host may have spent its part just now
        return self._cold_allowance(endpoint, max(0.0, age_ms - window_ms), now_ms)

    def _cold_allowance(self, endpoint: Endpoint, warming_ms: float, now_ms: float) -> float:
        settings = self.settings
        hosts, usual = settings.hosts, settings.usual_units
        warmed = min(1.0, warming_ms / max(1.0, settings.warm_up_ms))
        bears = settings.cold_bears * (1 + (1 / settings.cold_from - 1) * warmed)
        # The third that INFORMED_SHARE leaves is for hosts which have not heard of the start.
        informed: float = INFORMED_SHARE * (bears + 2 * (bears * usual) ** 0.5 + 2 * usual)
        out = (*endpoint.in_flight.values(), *endpoint.presumed_lost.values())  # may arrive yet
        spent = sum(request.units for request in out) + sum(send.units for send in endpoint.ended_sends)
        if min(bears, informed) >= usual * hosts:
            return min(bears, informed) / hosts - spent
        share = min(bears, informed / hosts)
        if share < usual:
            endpoint.admitted_share = self._admitted_share(endpoint, bears, now_ms)
            share = min(bears, settings.most_units)
        return 0.0 if spent or endpoint.admission_draw > endpoint.admitted_share else share

    def _admitted_share(self, endpoint: Endpoint, bears: float, now_ms: float) -> float:
        """Return the share of hosts that may send, one request in a window each.

        Danger: an even share that pays for no request starves a cold node.  Hosts draw lots, once for each
        start, for one request a window: the fewer of these windows they use, the more of them may.
        """
        settings, window_ms = self.settings, self.settings.cold_window_ms
        shard_units = self.queues[endpoint.listed.shard].offered_units
        units = max(self.arrived_units / len(self.queues), shard_units)
        uptime_ms = max(window_ms, now_ms - self.started_at_ms, 1.0)
        demand_units = settings.hosts * min(settings.usual_units, units * window_ms / uptime_ms)
        return ADMITTED_CAPACITY_SHARE * bears / max(demand_units, bears, 1.0)
