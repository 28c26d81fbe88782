"""The scheduler's current estimates for its endpoints, as written to the log for on-call engineers."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from cressrock.interface import NodeState
from cressrock.scheduler.scheduler import Scheduler


class EndpointEstimate(NamedTuple):
    """State and estimates of one endpoint in use.

    `window` and the attempt counts are in requests; `wait_ratio` is a fraction of the latency objective;
    `ejected_for_ms` is the remaining ejection time.
    """

    name: str
    state: NodeState
    window: float
    in_flight: int
    presumed_lost: int
    waiting: int
    latency_ms: float
    unloaded_ms: float
    wait_ratio: float
    ejected_for_ms: float


def endpoint_estimates(scheduler: Scheduler, now_ms: float) -> Iterator[EndpointEstimate]:
    """Yield the estimates for each endpoint that has waiting requests or was ever sent one."""
    for name, endpoint in scheduler.endpoints.by_name.items():
        queue, limit = scheduler.queues.get(endpoint.list_entry.shard), endpoint.limit
        waiting = queue.waiting_count if queue is not None and queue.endpoint is endpoint else 0
        if waiting or endpoint.last_sent_ms:
            yield EndpointEstimate(
                name=name,
                state=endpoint.list_entry.state,
                window=limit.window,
                in_flight=len(endpoint.in_flight),
                presumed_lost=len(endpoint.presumed_lost),
                waiting=waiting,
                latency_ms=limit.latency_ms,
                unloaded_ms=limit.unloaded.base_ms,
                wait_ratio=limit.wait_ratio,
                ejected_for_ms=max(0.0, endpoint.ejection.until_ms - now_ms),
            )
