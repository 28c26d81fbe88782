"""One planner's state: passes events of many edges to the scheduler, and its orders to the edges.  No I/O.

The scheduler sees the planner as a single host.  It knows an operation by the edge's name, the session number
and the edge's name for the operation, so an edge that reconnects starts without old state and its previous
connection is fenced off.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace

from cressrock.dispatch.driver import DecisionModule
from cressrock.dispatch.quota import lease_duration_ms
from cressrock.dispatch.transport import reached_node
from cressrock.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    LimitLease,
    ListKind,
    Log,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Plan,
    Reject,
    RequestClass,
    RetryBudgetUsage,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from cressrock.link import messages
from cressrock.planner.sessions import EdgeSession, IssuedStamp, ScheduledOperation, WaitingRequest

NEVER_MS = float("inf")


@dataclass(frozen=True, slots=True)
class PlannerLimits:
    """Limits of one planner; times in milliseconds."""

    grant_ms: float = 400.0  # validity of a grant, counted from the newest event of its edge
    max_scheduled: int = 2000  # unfinished operations in the scheduler; further ones are queued
    max_edges: int = 1024
    # Longest lease of an edge's limit units.  0: the scheduler enforces the limits without leases.
    lease_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class StepResult:
    """Result of a planner step.  `subscribe`: the scheduler requests a subscription to the node list."""

    orders: dict[str, list[messages.PlannerOrder]]  # by edge
    wake_at_ms: float
    log_lines: tuple[str, ...]
    subscribe: bool


class Planner:
    """Passes the edges' operations to the scheduler and the scheduler's orders to the edges.

    `epoch` belongs to this process and is never reused.
    """

    def __init__(
        self,
        decisions: DecisionModule,
        classes: tuple[RequestClass, ...],
        epoch: int,
        limits: PlannerLimits,
        plans: tuple[Plan, ...] = (),
    ) -> None:
        """Start without edges; `decisions` is the scheduler, which has been started."""
        self.decisions = decisions
        self.classes = classes
        self.plans = plans
        self.epoch = epoch
        self.limits = limits
        self.edges: dict[str, EdgeSession] = {}
        self.scheduled: dict[str, ScheduledOperation] = {}  # by the scheduler's name for it
        self.dropped: Counter[str] = Counter()  # number of unusable events and orders, by reason
        # By rule version: the positions of its first class and its first plan.
        self._table_offsets: dict[str, tuple[int, int]] = {"": (0, 0)}
        self._classes_per_version = len(classes)
        self._sessions_started = 0
        self._admission_rounds = 0
        self._steps = 0
        self._grants_issued = 0
        self._events: list[Event] = []
        self._nodes: dict[str, Node] = {}
        self._timers: dict[int, float] = {}

    def set_rule_versions(
        self,
        classes: tuple[RequestClass, ...],
        plans: tuple[Plan, ...],
        table_offsets: dict[str, tuple[int, int]],
    ) -> None:
        """Use the tables of several rule versions.

        `table_offsets` gives the positions of each version's first class and first plan in these tables.
        """
        self.classes, self.plans, self._table_offsets = classes, plans, table_offsets

    # --- sessions

    def join(self, name: str, incarnation: str, now_ms: float = 0.0) -> int | None:
        """Start a session of an edge and return its number; None if there are `max_edges` edges already.

        This ends an earlier session under the same name: its later events are dropped.
        """
        if name not in self.edges and len(self.edges) >= self.limits.max_edges:
            return None
        self.leave(name)
        self._sessions_started += 1
        session = self.edges[name] = EdgeSession(name, incarnation, self._sessions_started)
        # The handshake counts as stamp 0: the edge leases its first units after it.
        session.stamps.append(IssuedStamp(0, now_ms))
        return self._sessions_started

    def leave(self, name: str, number: int | None = None) -> bool:
        """End an edge's session, leaving its operations to the edge.  False if it is not the current one."""
        session = self.edges.get(name)
        if session is None or (number is not None and session.number != number):
            return False
        del self.edges[name]
        for scheduler_name, scheduled in [
            item for item in self.scheduled.items() if item[1].session is session
        ]:
            # Release the scheduler's slots and places in key orders: no outcome will be reported any more.
            if scheduled.in_flight:
                attempt = scheduled.next_attempt - 1
                self._events.append(
                    AttemptEnded(scheduler_name, attempt, Outcome.RESET, True, 0.0, charged=None)
                )
            else:
                self._events.append(ClientLeft(scheduler_name))
            del self.scheduled[scheduler_name]
        return True

    # --- events

    def receive_node_list(self, report: NodeList) -> None:
        """Apply a full or partial node list and pass it to the scheduler."""
        if report.kind in (ListKind.COMPLETE, ListKind.CACHED):
            self._nodes.clear()
        self._nodes.update((node.name, node) for node in report.nodes)
        self._events.append(report)

    def receive_event(self, name: str, number: int, event: messages.EdgeEvent, now_ms: float = 0.0) -> bool:
        """Process an edge's event.  False if it is out of order or does not belong to the current session."""
        session = self.edges.get(name)
        if session is None or session.number != number:
            self.dropped["fenced session"] += 1
            return False
        if event.sequence <= session.sequence:
            self.dropped["out of order"] += 1
            return False
        session.sequence = event.sequence
        session.clock_ms = max(session.clock_ms, event.at_ms)
        match event:
            case messages.Request():
                session.waiting.append(WaitingRequest(self._steps, event))
                self._receive_lease(session, event.volume, event.plan, event.leased_units, event.stamp)
            case messages.AttemptEnded():
                self._attempt_ended(session, event)
            case messages.ClientLeft():
                self._client_left(session, event.operation)
            case messages.NodeDraining():
                self._node_draining(event.node)
            case messages.LimitLease():
                self._receive_lease(session, event.volume, event.plan, event.units, event.stamp)
            case messages.BudgetHistory():
                retried_at_ms = tuple(now_ms - age for age in event.retry_ages_ms)
                arrived_at_ms = tuple(now_ms - age for age in event.request_ages_ms)
                self._events.append(RetryBudgetUsage(retried_at_ms, arrived_at_ms))
        return True

    def _node_draining(self, name: str) -> None:
        """Treat a node that an edge reports as draining as such, until a node list says that it is ready.

        Otherwise a planner that started with an outdated list would grant the same node again and again, and
        the edge would reject each of these grants.
        """
        node = self._nodes.get(name)
        if node is not None and node.state is NodeState.READY:
            node = self._nodes[name] = replace(node, state=NodeState.DRAINING)
            self._events.append(NodeList(ListKind.CHANGES, (node,)))

    def _receive_lease(self, session: EdgeSession, volume: str, plan: int, units: float, stamp: int) -> None:
        """Receive a lease, valid from the planner's time of its stamp, which precedes the lease itself.

        If it were valid from its arrival, a lease delayed on the link could be used after its edge, deciding
        without this planner, had refilled its quota and used as many units itself.
        """
        if not units or not self.limits.lease_ms or plan >= len(self.plans):
            return
        stamped_at_ms = session.stamped_at_ms(stamp)
        if stamped_at_ms is None:
            self.dropped["loan without a stamp"] += 1
            return
        duration_ms = lease_duration_ms(self.plans[plan], self.limits.lease_ms)
        self._events.append(LimitLease(volume, units, stamped_at_ms + duration_ms))

    def _attempt_ended(self, session: EdgeSession, event: messages.AttemptEnded) -> None:
        scheduled = session.scheduled.get(event.operation)
        if scheduled is None or not scheduled.in_flight or event.attempt != scheduled.next_attempt - 1:
            self.dropped["unknown attempt"] += 1
            return
        try:
            outcome = Outcome(event.outcome)
        except ValueError:
            self.dropped["unknown outcome"] += 1
            outcome = Outcome.RESET  # assume that the attempt may have run
        scheduled.in_flight = False
        ended = AttemptEnded(
            request=scheduled.scheduler_name,
            attempt=event.attempt,
            outcome=outcome,
            settled=event.settled,
            latency_ms=event.latency_ms,
            reported_usage=event.reported_usage,
            units_elsewhere=event.units_elsewhere,
            charged=reached_node(outcome),
        )
        self._events.append(ended)
        if event.settled:
            self._forget(scheduled)

    def _client_left(self, session: EdgeSession, operation: str) -> None:
        dropped = session.drop_waiting(operation)
        scheduled = session.scheduled.get(operation)
        if scheduled is None:
            self.dropped["unknown operation"] += not dropped
            return
        self._events.append(ClientLeft(scheduled.scheduler_name))
        if not scheduled.in_flight:
            self._forget(scheduled)

    def _forget(self, scheduled: ScheduledOperation) -> None:
        scheduled.session.scheduled.pop(scheduled.operation, None)
        self.scheduled.pop(scheduled.scheduler_name, None)

    # --- a step

    def step(self, now_ms: float) -> StepResult:
        """Pass new events to the scheduler and return its orders.

        Has to be called after each batch of events and at the last result's `wake_at_ms`.
        """
        self._admit_waiting()
        self._steps += 1
        for token, at_ms in sorted(self._timers.items()):
            if at_ms <= now_ms:
                del self._timers[token]
                self._events.append(TimerFired(token))
        events, self._events = self._events, []
        orders: dict[str, list[messages.PlannerOrder]] = {}
        log_lines: list[str] = []
        subscribe = False
        for action in self.decisions.act(now_ms, events) if events else ():
            match action:
                case SetTimer(at_ms, token):
                    self._timers[token] = at_ms
                case Log(text):
                    log_lines.append(text)
                case Subscribe():
                    subscribe = True
                case _:
                    self._translate_action(action, orders)
        if self.limits.lease_ms:
            for name, session in self.edges.items():
                if stamp := session.issue_stamp(now_ms, self.limits.lease_ms):
                    orders.setdefault(name, []).insert(0, stamp)
        wake_at_ms = min(self._timers.values(), default=NEVER_MS)
        return StepResult(orders, wake_at_ms, tuple(log_lines), subscribe)

    def _admit_waiting(self) -> None:
        """Pass queued requests to the scheduler, round-robin over the edges, up to `max_scheduled`.

        The limit is needed because the scheduler's cost per answer grows with its backlog, the rotation
        because one edge's backlog must not delay all others.
        """
        while len(self.scheduled) < self.limits.max_scheduled:
            edges = [session for _, session in sorted(self.edges.items()) if session.waiting]
            if not edges:
                return
            # Each round starts with another edge, so that no edge starves while the scheduler is full.
            first_index = self._admission_rounds % len(edges)
            self._admission_rounds += 1
            for session in edges[first_index:] + edges[:first_index]:
                if len(self.scheduled) >= self.limits.max_scheduled:
                    return
                waiting = session.waiting.popleft()
                # A request counted only at its delayed admission would allow retries beyond its own window.
                counted = waiting.request.counted_in_budget or waiting.step < self._steps
                self._admit(session, waiting.request, counted=counted)

    def _admit(self, session: EdgeSession, request: messages.Request, *, counted: bool) -> None:
        if request.operation in session.scheduled or request.request_class >= self._classes_per_version:
            self.dropped["unusable request"] += 1
            return
        # An unknown version has just been dropped here: edges name only versions that were announced to them.
        class_offset, plan_offset = self._table_offsets.get(request.rule_version, (0, 0))
        scheduled = ScheduledOperation(session, request.operation, request.earlier_attempts)
        session.scheduled[request.operation] = self.scheduled[scheduled.scheduler_name] = scheduled
        # Time since the request event, by the edge's clock.
        elapsed_ms = max(0.0, session.clock_ms - request.at_ms)
        self._events.append(
            Arrival(
                request=scheduled.scheduler_name,
                volume=request.volume,
                key=request.key,
                units=request.units,
                remaining_ms=max(0.0, request.deadline_ms - session.clock_ms),
                plan=request.plan + plan_offset,
                request_class=request.request_class + class_offset,
                shard=request.shard,
                sharing_hosts=request.sharing_hosts,
                waited_ms=request.waited_ms + elapsed_ms if request.waited_ms >= 0 else -1.0,
                earlier_attempts=request.earlier_attempts,
                counted_in_budget=counted,
            )
        )

    def _translate_action(self, action: Action, orders: dict[str, list[messages.PlannerOrder]]) -> None:
        """Translate a scheduler action into an order and append it to the orders of its edge."""
        scheduled = self.scheduled.get(getattr(action, "request", ""))
        if scheduled is None:
            self.dropped["order for an unknown operation"] += 1
            return
        edge_orders = orders.setdefault(scheduled.session.name, [])
        operation = scheduled.operation
        match action:
            case Send(_, node, timeout_ms):
                edge_orders.append(self._grant(scheduled, node, timeout_ms))
            case Reject(_, retry_after_ms):
                edge_orders.append(messages.FinalAnswer(self.epoch, operation, True, retry_after_ms))
                self._forget_unless_in_flight(scheduled)
            case Fail():
                edge_orders.append(messages.FinalAnswer(self.epoch, operation, False))
                self._forget_unless_in_flight(scheduled)
            case Cancel(_, attempt):
                edge_orders.append(messages.CancelAttempt(self.epoch, operation, attempt))

    def _grant(self, scheduled: ScheduledOperation, node: str, timeout_ms: float) -> messages.Grant:
        self._grants_issued += 1
        attempt = scheduled.next_attempt
        scheduled.next_attempt += 1
        scheduled.in_flight = True
        valid_until_ms = scheduled.session.clock_ms + self.limits.grant_ms
        return messages.Grant(
            number=self._grants_issued,
            epoch=self.epoch,
            operation=scheduled.operation,
            attempt=attempt,
            node=node,
            valid_until_ms=valid_until_ms,
            timeout_ms=timeout_ms,
        )

    def _forget_unless_in_flight(self, scheduled: ScheduledOperation) -> None:
        """Forget an answered operation unless one of its attempts is still in flight."""
        if not scheduled.in_flight:
            self._forget(scheduled)
