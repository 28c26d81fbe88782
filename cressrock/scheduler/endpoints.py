"""The storage nodes of the node list as endpoints, with their outstanding attempts and latency estimates."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from cressrock.interface import ListKind, Node, NodeList, NodeState, Outcome, Settings
from cressrock.scheduler.concurrency_limit import (
    ConcurrencyLimit,
    Evidence,
    LimitParameters,
    limit_parameters,
)
from cressrock.scheduler.ejection import Ejection
from cressrock.scheduler.fair_queue import IdleVolumes, ShardQueue
from cressrock.scheduler.request import ANSWERED, MAY_STILL_RUN, Request

INFINITY = float("inf")
FIRST_LIST_BACKOFF_MS = 200.0  # after the first failure to get the node list
DEFAULT_POLL_INTERVAL_MS = 1000.0  # between requests for the node list if the settings give no interval


class EndedSend(NamedTuple):
    """Units of an ended attempt, which count against a cold endpoint's allowance for one cold window."""

    ended_at_ms: float
    units: float


class Endpoint:
    """One node: its entry in the node list, outstanding attempts, concurrency limit and ejection state."""

    __slots__ = (
        "admission_draw",
        "admitted_share",
        "ejection",
        "ended_sends",
        "in_flight",
        "last_answered_sent_at_ms",
        "last_sent_ms",
        "limit",
        "list_entry",
        "presumed_lost",
    )

    def __init__(self, list_entry: Node, parameters: LimitParameters, admission_draw: float) -> None:
        """Start from the node's list entry.

        `admission_draw` is a random number from 0 to 1 that decides, by comparison with `admitted_share`,
        whether this host may send to the node while it is cold.
        """
        self.list_entry = list_entry
        self.limit = ConcurrencyLimit(parameters)
        self.ejection = Ejection(parameters.min_objective_ms)
        self.in_flight: dict[str, Request] = {}
        self.presumed_lost: dict[str, Request] = {}  # outstanding, but hold no slot
        self.last_answered_sent_at_ms = 0.0  # latest send time of any attempt that got a response
        self.last_sent_ms = 0.0
        self.admission_draw = admission_draw
        self.admitted_share = 1.0  # fraction of the hosts that may send
        self.ended_sends: deque[EndedSend] = deque()  # within the cold window

    @property
    def has_attempts(self) -> bool:
        """Whether any attempt is outstanding, including those presumed lost."""
        return bool(self.in_flight or self.presumed_lost)

    def current_delay_ms(self, now_ms: float) -> float:
        """Return the smoothed latency, or the oldest attempt's age if higher, which detects a hang early."""
        oldest = next(iter(self.in_flight.values()), None)
        return max(self.limit.latency_ms, now_ms - oldest.sent_at_ms if oldest else 0.0)

    def restart(self, admission_draw: float) -> None:
        """Reset ejection and window after the node's process restarted: its queue is empty now."""
        self.ejection.clear()
        self.limit.restart()
        self.admission_draw = admission_draw

    def release_attempt(self, request: Request, now_ms: float) -> bool:
        """Remove an ended attempt; return whether it had been presumed lost."""
        name = request.arrival.request
        self.ended_sends.append(EndedSend(now_ms, request.units))
        if self.in_flight.pop(name, None) is not None:
            return False
        del self.presumed_lost[name]
        return True

    def record_outcome(
        self, request: Request, outcome: Outcome, latency_ms: float, source: random.Random, now_ms: float
    ) -> bool:
        """Adjust the window and the ejection state; return whether the endpoint was newly ejected."""
        limit, ejection = self.limit, self.ejection
        evidence = self._evidence(request, outcome)
        if outcome in ANSWERED:
            ejection.record_answer(now_ms)
            self.last_answered_sent_at_ms = max(self.last_answered_sent_at_ms, request.sent_at_ms)
        is_alone = limit.parameters.hosts == 1 and not self.in_flight and not self.presumed_lost
        limit.record(evidence, request, latency_ms, len(self.in_flight), is_alone, now_ms)
        if outcome is Outcome.FULL:
            limit.halve()
            ejection.record_full(limit.latency_ms, source, now_ms)
        elif outcome is Outcome.NO_CONNECTION or (
            # If the endpoint responded after the request was sent, a time-out does not mean that it hangs.
            outcome is Outcome.TIMEOUT and ejection.answered_at_ms < request.sent_at_ms
        ):
            was_healthy = not ejection.backoff_ms
            limit.reset_to_one()
            ejection.record_unreachable(now_ms)
            return was_healthy
        return False

    def _evidence(self, request: Request, outcome: Outcome) -> Evidence:
        if outcome is Outcome.OK:
            return Evidence.SERVED
        if outcome is Outcome.ERROR:
            return Evidence.FAILED
        # An attempt overtaken by later ones was lost on the network, which does not indicate a queue.
        if outcome in MAY_STILL_RUN and request.sent_at_ms >= self.last_answered_sent_at_ms:
            return Evidence.UNANSWERED
        return Evidence.NONE


class Endpoints:
    """All endpoints of the node list, and the active ones: with outstanding attempts or decaying estimates.

    Loops on the event path visit only the active endpoints, so their cost does not grow with the fleet.
    """

    def __init__(self, settings: Settings, source: random.Random) -> None:
        """Start empty: the first node list comes as an event."""
        self.parameters = limit_parameters(settings)
        self.source = source
        self.by_name: dict[str, Endpoint] = {}
        self.active: dict[str, Endpoint] = {}

    def update(self, report: NodeList) -> None:
        """Apply a node list report of any kind except FAILED."""
        listed_nodes = {node.name: node for node in report.nodes}
        if report.kind is not ListKind.CHANGES:
            for name, endpoint in self.by_name.items():
                if name not in listed_nodes:
                    old = endpoint.list_entry
                    endpoint.list_entry = Node(name, old.shard, old.zone, old.started_at_ms, NodeState.GONE)
        for name, node in listed_nodes.items():
            # Drawn for every entry, so that the random sequence does not depend on which nodes were known.
            admission_draw = self.source.random()
            known = self.by_name.get(name)
            if known is None:
                self.by_name[name] = Endpoint(node, self.parameters, admission_draw)
                continue
            if known.list_entry.started_at_ms != node.started_at_ms:
                known.restart(self.source.random())
            known.list_entry = node

    def assign(self, queues: dict[int, ShardQueue], idle_volumes: IdleVolumes | None = None) -> None:
        """Assign each shard's queue its most recently started ready endpoint; drop those that are gone.

        A queue that is missing is created with `idle_volumes`.
        """
        for name, endpoint in list(self.by_name.items()):
            if endpoint.list_entry.state is NodeState.GONE and not endpoint.has_attempts:
                del self.by_name[name]
                self.active.pop(name, None)
        for queue in queues.values():
            queue.endpoint = None
        for endpoint in self.by_name.values():
            if endpoint.list_entry.state is not NodeState.READY:
                continue
            shard = endpoint.list_entry.shard
            if shard not in queues:
                queues[shard] = ShardQueue(idle_volumes)
            queue = queues[shard]
            assigned = queue.endpoint
            if assigned is None or endpoint.list_entry.started_at_ms > assigned.list_entry.started_at_ms:
                queue.endpoint = endpoint

    def end_period(self) -> None:
        """Decay the estimates of endpoints without attempts; an idle one is no longer active."""
        for name, endpoint in list(self.active.items()):
            if endpoint.has_attempts:
                continue
            limit = endpoint.limit
            if limit.is_idle and limit.latency_ms < self.parameters.min_objective_ms:
                del self.active[name]
            else:
                limit.decay()


class NodeListPolling:
    """Schedule for requesting the node list if it is not pushed."""

    def __init__(self, settings: Settings, source: random.Random, now_ms: float) -> None:
        """Schedule a first request now if the settings say that the list has to be requested."""
        self.must_poll = settings.must_ask
        self.interval_ms = settings.ask_every_ms / 2 or DEFAULT_POLL_INTERVAL_MS
        self.source = source
        self.next_ms = now_ms if settings.must_ask else INFINITY
        self.backoff_ms = 0.0

    def record_request(self, now_ms: float) -> None:
        """Schedule the next request in case no report arrives."""
        self.next_ms = now_ms + self.interval_ms

    def record_failure(self, now_ms: float) -> None:
        """Retry after a randomized exponential backoff, bounded by the polling interval."""
        self.backoff_ms = min(max(2 * self.backoff_ms, FIRST_LIST_BACKOFF_MS), self.interval_ms)
        self.next_ms = now_ms + self.backoff_ms * (0.5 + self.source.random())

    def record_report(self, kind: ListKind) -> None:
        """Stop polling once a live list arrived; a cached copy does not count."""
        if self.must_poll and kind is not ListKind.CACHED:
            self.backoff_ms, self.next_ms = 0.0, INFINITY
