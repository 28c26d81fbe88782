"""What the scheduler takes for true of its endpoints, for the log and the on-call engineer."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from cressrock.interface import NodeState
from cressrock.scheduler.scheduler import Scheduler


class EndpointBelief(NamedTuple):
    """What the scheduler takes for true of an endpoint that it uses."""

    name: str
    state: NodeState
    window: float
    in_flight: int
    presumed_lost: int
    waiting: int
    latency_ms: float
    uncrowded_ms: float
    wait_ratio: float
    rest_ms: float


def endpoint_beliefs(scheduler: Scheduler, now_ms: float) -> Iterator[EndpointBelief]:
    """Yield what is believed of each endpoint that something waits for or was sent to."""
    for name, endpoint in scheduler.endpoints.by_name.items():
        queue, limit = scheduler.queues.get(endpoint.listed.shard), endpoint.limit
        waiting = queue.waiting_count if queue is not None and queue.endpoint is endpoint else 0
        if waiting or endpoint.last_sent_ms:
            yield EndpointBelief(
                name=name,
                state=endpoint.listed.state,
                window=limit.window,
                in_flight=len(endpoint.in_flight),
                presumed_lost=len(endpoint.presumed_lost),
                waiting=waiting,
                latency_ms=limit.latency_ms,
                uncrowded_ms=limit.uncrowded.base_ms,
                wait_ratio=limit.wait_ratio,
                rest_ms=max(0.0, endpoint.ejection.until_ms - now_ms),
            )
