"""The storage nodes of the list as endpoints: what is out at each, and what its answers showed."""

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
from cressrock.scheduler.fair_queue import ShardQueue
from cressrock.scheduler.request import ANSWERED, MAY_STILL_RUN, Request

INFINITY = float("inf")
LIST_BACKOFF_MS = 200.0  # the first pause before a list that failed is asked for again
DEFAULT_POLL_MS = 1000.0  # between two questions for the list where no interval is set


class EndedSend(NamedTuple):
    """Units whose attempt ended, for the window that a cold endpoint's part counts over."""

    ended_at_ms: float
    units: float


class Endpoint:
    """One node: its line of the list, attempts that are out there, and what its answers showed."""

    __slots__ = (
        "admission_draw",
        "admitted_share",
        "ejection",
        "ended_sends",
        "in_flight",
        "last_sent_ms",
        "limit",
        "listed",
        "overtaken_before_ms",
        "presumed_lost",
    )

    def __init__(self, listed: Node, parameters: LimitParameters, admission_draw: float) -> None:
        """Begin as the list shows it; the draw is this host's in random admission while the node is cold."""
        self.listed = listed
        self.limit = ConcurrencyLimit(parameters)
        self.ejection = Ejection(parameters.min_objective_ms)
        self.in_flight: dict[str, Request] = {}
        self.presumed_lost: dict[str, Request] = {}  # out, but hold no slot
        self.overtaken_before_ms = 0.0  # sending time of the latest attempt that was answered
        self.last_sent_ms = 0.0
        self.admission_draw = admission_draw  # from 0 to 1
        self.admitted_share = 1.0  # part of the hosts that may send
        self.ended_sends: deque[EndedSend] = deque()  # within the cold window

    @property
    def has_attempts(self) -> bool:
        """Whether any attempt is out, also one that is presumed lost."""
        return bool(self.in_flight or self.presumed_lost)

    def current_delay_ms(self, now_ms: float) -> float:
        """Expected latency; an attempt that is out for longer than usual tells of a hang at once."""
        oldest = next(iter(self.in_flight.values()), None)
        return max(self.limit.latency_ms, now_ms - oldest.sent_at_ms if oldest else 0.0)

    def restart(self, admission_draw: float) -> None:
        """Forget what a process that was restarted has forgotten too: its jam ends, the window starts low."""
        self.ejection.end()
        self.limit.restart()
        self.admission_draw = admission_draw

    def release_attempt(self, request: Request, now_ms: float) -> bool:
        """Remove an attempt that ended; return whether it had been presumed lost."""
        name = request.arrival.request
        self.ended_sends.append(EndedSend(now_ms, request.units))
        if self.in_flight.pop(name, None) is not None:
            return False
        del self.presumed_lost[name]
        return True

    def record_outcome(
        self, request: Request, outcome: Outcome, latency_ms: float, source: random.Random, now_ms: float
    ) -> bool:
        """Steer the window, and eject or readmit the endpoint; return whether it was ejected just now."""
        limit, ejection = self.limit, self.ejection
        evidence = self._evidence(request, outcome)
        if outcome in ANSWERED:
            ejection.record_answer(now_ms)
            self.overtaken_before_ms = max(self.overtaken_before_ms, request.sent_at_ms)
        is_alone = limit.parameters.hosts == 1 and not self.in_flight and not self.presumed_lost
        limit.record(evidence, request, latency_ms, len(self.in_flight), is_alone, now_ms)
        if outcome is Outcome.FULL:
            limit.halve()
            ejection.record_full(limit.latency_ms, source, now_ms)
        elif outcome is Outcome.NO_CONNECTION or (
            # A time-out while it answers later attempts only means that the request was sent too late.
            outcome is Outcome.TIMEOUT and ejection.answered_at_ms < request.sent_at_ms
        ):
            was_sound = not ejection.backoff_ms
            limit.fall_to_one()
            ejection.record_unreachable(now_ms)
            return was_sound
        return False

    def _evidence(self, request: Request, outcome: Outcome) -> Evidence:
        if outcome is Outcome.OK:
            return Evidence.SERVED
        if outcome is Outcome.ERROR:
            return Evidence.FAILED
        # What later attempts overtook was lost on the way, which is no sign of a jam.
        if outcome in MAY_STILL_RUN and request.sent_at_ms >= self.overtaken_before_ms:
            return Evidence.UNANSWERED
        return Evidence.NONE


class Endpoints:
    """All endpoints by the node list, and those of them with something out or fading.

    An event's work does not grow with the fleet: what goes through endpoints goes through the active ones.
    """

    def __init__(self, settings: Settings, source: random.Random) -> None:
        """Begin with none: the first list comes as an event."""
        self.parameters = limit_parameters(settings)
        self.source = source
        self.by_name: dict[str, Endpoint] = {}
        self.active: dict[str, Endpoint] = {}

    def update(self, report: NodeList) -> None:
        """Take in a report of the list that did not fail."""
        listed = {node.name: node for node in report.nodes}
        if report.kind is not ListKind.CHANGES:
            for name, endpoint in self.by_name.items():
                if name not in listed:
                    old = endpoint.listed
                    endpoint.listed = Node(name, old.shard, old.zone, old.started_at_ms, NodeState.GONE)
        for name, node in listed.items():
            # Drawn for every line: the order of draws must not hang on what was known.
            admission_draw = self.source.random()
            known = self.by_name.get(name)
            if known is None:
                self.by_name[name] = Endpoint(node, self.parameters, admission_draw)
                continue
            if known.listed.started_at_ms != node.started_at_ms:
                known.restart(self.source.random())
            known.listed = node

    def assign(self, queues: dict[int, ShardQueue]) -> None:
        """Give each shard's queue its ready endpoint, the one that came up last; drop those that are gone."""
        for name, endpoint in list(self.by_name.items()):
            if endpoint.listed.state is NodeState.GONE and not endpoint.has_attempts:
                del self.by_name[name]
                self.active.pop(name, None)
        for queue in queues.values():
            queue.endpoint = None
        for endpoint in self.by_name.values():
            if endpoint.listed.state is not NodeState.READY:
                continue
            queue = queues.setdefault(endpoint.listed.shard, ShardQueue())
            present = queue.endpoint
            if present is None or endpoint.listed.started_at_ms > present.listed.started_at_ms:
                queue.endpoint = endpoint

    def end_period(self) -> None:
        """Let the figures of endpoints with nothing out decay, until they count as quiet."""
        for name, endpoint in list(self.active.items()):
            if endpoint.has_attempts:
                continue
            limit = endpoint.limit
            if limit.is_uncrowded and limit.latency_ms < self.parameters.min_objective_ms:
                del self.active[name]
            else:
                limit.decay()


class ListPolling:
    """When the host asks for the node list, where it has to ask."""

    def __init__(self, settings: Settings, source: random.Random, now_ms: float) -> None:
        """Ask at once where the settings say that nobody tells the list unasked."""
        self.polls = settings.must_ask
        self.interval_ms = settings.ask_every_ms / 2 or DEFAULT_POLL_MS
        self.source = source
        self.next_ms = now_ms if settings.must_ask else INFINITY
        self.backoff_ms = 0.0

    def record_request(self, now_ms: float) -> None:
        """Ask again where no answer comes."""
        self.next_ms = now_ms + self.interval_ms

    def record_failure(self, now_ms: float) -> None:
        """Back off from a list service in trouble, apart from the other hosts, but keep asking."""
        self.backoff_ms = min(max(2 * self.backoff_ms, LIST_BACKOFF_MS), self.interval_ms)
        self.next_ms = now_ms + self.backoff_ms * (0.5 + self.source.random())

    def record_report(self, kind: ListKind) -> None:
        """Stop asking once the list itself has come; a kept copy is no answer."""
        if self.polls and kind is not ListKind.CACHED:
            self.backoff_ms, self.next_ms = 0.0, INFINITY
