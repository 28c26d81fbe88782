"""Slow start: how much this host may send to an endpoint that is warming up.

All hosts together must stay below the load that overwhelms a cold node.  docs/design.md, 'Lots for cold
nodes', derives the shares and their bounds.
"""

from __future__ import annotations

from cressrock.interface import Settings
from cressrock.scheduler.endpoints import INFINITY, Endpoint
from cressrock.scheduler.fair_queue import ShardQueue

# Of the load that overwhelms a cold node; the rest is for hosts that do not know of its start yet.
INFORMED_LOAD_FRACTION = 2 / 3
ADMITTED_CAPACITY_FRACTION = 0.5  # of a cold node's capacity; expected load under random admission


class SlowStart:
    """Limits the units that this host sends to a cold endpoint per cold window."""

    def __init__(self, settings: Settings, queues: dict[int, ShardQueue], started_at_ms: float) -> None:
        """Start counting arrivals at the host's start time; `queues` are its queues by shard."""
        self.settings = settings
        self.queues = queues
        self.started_at_ms = started_at_ms
        self.arrived_units = 0.0  # of all requests since the start

    def allowed_units(self, endpoint: Endpoint, now_ms: float) -> float:
        """Return the units that an endpoint can still take in this cold window; infinity once it is warm."""
        settings, node, recent_sends = self.settings, endpoint.list_entry, endpoint.ended_sends
        window_ms = settings.cold_window_ms
        while recent_sends and recent_sends[0].ended_at_ms <= now_ms - window_ms - settings.tick_ms:
            recent_sends.popleft()
        endpoint.admitted_share = 1.0
        age_ms = now_ms - node.started_at_ms
        if not node.started_at_ms or age_ms >= settings.warm_up_ms + window_ms:
            return INFINITY
        if now_ms < self.started_at_ms + window_ms:
            return 0.0  # the host may have spent its share just before it restarted
        return self._cold_allowance(endpoint, max(0.0, age_ms - window_ms), now_ms)

    def _cold_allowance(self, endpoint: Endpoint, warming_ms: float, now_ms: float) -> float:
        settings = self.settings
        hosts, typical_units = settings.hosts, settings.usual_units
        warmed_fraction = min(1.0, warming_ms / max(1.0, settings.warm_up_ms))
        capacity_units = settings.cold_bears * (1 + (1 / settings.cold_from - 1) * warmed_fraction)
        # 2/3 of the overwhelming load: for capacity N in typical requests, N + 2 sqrt(N) + 2 of them.
        max_informed_units: float = INFORMED_LOAD_FRACTION * (
            capacity_units + 2 * (capacity_units * typical_units) ** 0.5 + 2 * typical_units
        )
        unfinished = (*endpoint.in_flight.values(), *endpoint.presumed_lost.values())  # may still arrive
        used_units = sum(request.units for request in unfinished) + sum(
            send.units for send in endpoint.ended_sends
        )
        if min(capacity_units, max_informed_units) >= typical_units * hosts:
            return min(capacity_units, max_informed_units) / hosts - used_units
        share_units = min(capacity_units, max_informed_units / hosts)
        if share_units < typical_units:
            endpoint.admitted_share = self._admitted_share(endpoint, capacity_units, now_ms)
            share_units = min(capacity_units, settings.most_units)
        return 0.0 if used_units or endpoint.admission_draw > endpoint.admitted_share else share_units

    def _admitted_share(self, endpoint: Endpoint, capacity_units: float, now_ms: float) -> float:
        """Return the fraction of hosts that may send, one request per cold window each.

        With an equal share smaller than one request, a cold node would get no requests at all.  Instead hosts
        are selected at random, once per start of the node; the lower the demand, the more are admitted.
        """
        settings, window_ms = self.settings, self.settings.cold_window_ms
        shard_units = self.queues[endpoint.list_entry.shard].offered_units
        units = max(self.arrived_units / len(self.queues), shard_units)
        uptime_ms = max(window_ms, now_ms - self.started_at_ms, 1.0)
        demand_units = settings.hosts * min(settings.usual_units, units * window_ms / uptime_ms)
        return ADMITTED_CAPACITY_FRACTION * capacity_units / max(demand_units, capacity_units, 1.0)
