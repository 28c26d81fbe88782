"""One planner's state: many edges' events in, the scheduler's orders out as grants.  Pure.

To the scheduler a planner is one host.  Names of operations are the edges' own, put behind the edge's name
and session, so that an edge that comes back begins with a clean slate and an older connection of it is
fenced.
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

FOREVER = float("inf")


@dataclass(frozen=True, slots=True)
class PlannerLimits:
    """Bounds of one planner; times in milliseconds."""

    grant_ms: float = 400.0  # from the newest event of an edge, how long a grant for it is valid
    max_scheduled: int = 2000  # operations handed to the scheduler and not yet over; the rest waits
    max_edges: int = 1024
    lease_ms: float = 0.0  # edges lease units of limits for so long at most; 0: the scheduler makes them


@dataclass(frozen=True, slots=True)
class StepResult:
    """What a step brought.  `subscribe`: the scheduler asks for a subscription to the node list."""

    orders: dict[str, list[messages.PlannerOrder]]  # by edge
    wake_at_ms: float
    log_lines: tuple[str, ...]
    subscribe: bool


class Planner:
    """Hands edges' operations to the scheduler and its orders to the edges.

    `epoch` is of this life and never used again.
    """

    def __init__(
        self,
        decisions: DecisionModule,
        classes: tuple[RequestClass, ...],
        epoch: int,
        limits: PlannerLimits,
        plans: tuple[Plan, ...] = (),
    ) -> None:
        """Start with no edge; `decisions` is the scheduler, started."""
        self.decisions = decisions
        self.classes = classes
        self.plans = plans
        self.epoch = epoch
        self.limits = limits
        self.edges: dict[str, EdgeSession] = {}
        self.scheduled: dict[str, ScheduledOperation] = {}  # by name in the scheduler
        self.dropped: Counter[str] = Counter()  # events that could not be used, by reason
        self._table_offsets: dict[str, tuple[int, int]] = {
            "": (0, 0)
        }  # of classes and plans, by rule version
        self._classes_per_version = len(classes)
        self._sessions = 0
        self._intake_rounds = 0
        self._steps = 0
        self._grants = 0
        self._events: list[Event] = []
        self._nodes: dict[str, Node] = {}
        self._timers: dict[int, float] = {}

    def set_rule_versions(
        self,
        classes: tuple[RequestClass, ...],
        plans: tuple[Plan, ...],
        places: dict[str, tuple[int, int]],
    ) -> None:
        """Go on by tables of several rule versions; `places`: where each one's classes and plans begin."""
        self.classes, self.plans, self._table_offsets = classes, plans, places

    # --- sessions

    def join(self, name: str, incarnation: str, now_ms: float = 0.0) -> int | None:
        """Begin a session of an edge and return its number; None where no more edges are taken.

        A session that still stands under the name is over: its further events are dropped.
        """
        if name not in self.edges and len(self.edges) >= self.limits.max_edges:
            return None
        self.leave(name)
        self._sessions += 1
        session = self.edges[name] = EdgeSession(name, incarnation, self._sessions)
        session.stamps.append(
            IssuedStamp(0, now_ms)
        )  # the greeting: what the edge leases first comes after it
        return self._sessions

    def leave(self, name: str, number: int | None = None) -> bool:
        """End an edge's session: what it holds is its own to answer.  False if it is not the present one."""
        session = self.edges.get(name)
        if session is None or (number is not None and session.number != number):
            return False
        del self.edges[name]
        for inner, scheduled in [item for item in self.scheduled.items() if item[1].session is session]:
            # The scheduler must not count on a slot or a place in a key's order that nobody will give back.
            if scheduled.in_flight:
                attempt = scheduled.next_attempt - 1
                self._events.append(AttemptEnded(inner, attempt, Outcome.RESET, True, 0.0, charged=None))
            else:
                self._events.append(ClientLeft(inner))
            del self.scheduled[inner]
        return True

    # --- events

    def receive_node_list(self, report: NodeList) -> None:
        """Receive a report of the node list."""
        if report.kind in (ListKind.COMPLETE, ListKind.CACHED):
            self._nodes.clear()
        self._nodes.update((node.name, node) for node in report.nodes)
        self._events.append(report)

    def receive_event(self, name: str, number: int, event: messages.EdgeEvent, now_ms: float = 0.0) -> bool:
        """Receive an edge's event.  False where it is not of the present session or is out of order."""
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
                self._limit_leased(session, event.volume, event.plan, event.leased_units, event.stamp)
            case messages.AttemptEnded():
                self._attempt_ended(session, event)
            case messages.ClientLeft():
                self._client_left(session, event.operation)
            case messages.NodeDraining():
                self._node_draining(event.node)
            case messages.LimitLease():
                self._limit_leased(session, event.volume, event.plan, event.units, event.stamp)
            case messages.BudgetHistory():
                retried_at_ms = tuple(now_ms - age for age in event.retry_ages_ms)
                arrived_at_ms = tuple(now_ms - age for age in event.request_ages_ms)
                self._events.append(RetryBudgetUsage(retried_at_ms, arrived_at_ms))
        return True

    def _node_draining(self, name: str) -> None:
        """Send a node that an edge was told is draining no more work, until a list says that it is ready.

        Danger: a planner that is born with an old list grants the same node again at once, each time in vain.
        """
        node = self._nodes.get(name)
        if node is not None and node.state is NodeState.READY:
            node = self._nodes[name] = replace(node, state=NodeState.DRAINING)
            self._events.append(NodeList(ListKind.CHANGES, (node,)))

    def _limit_leased(self, session: EdgeSession, volume: str, plan: int, units: float, stamp: int) -> None:
        """Receive a lease: it counts from a moment of our own clock that is surely before it was made.

        Danger: a lease that lay on the way while its edge took itself for alone, and has filled up since.
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
            outcome = Outcome.RESET  # the cautious reading: it may have run
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
        """Hand what came to the scheduler and return its orders.  Call at each batch and at `wake_at_ms`."""
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
                    self._order(action, orders)
        if self.limits.lease_ms:
            for name, session in self.edges.items():
                if stamp := session.issue_stamp(now_ms, self.limits.lease_ms):
                    orders.setdefault(name, []).insert(0, stamp)
        wake_at_ms = min(self._timers.values(), default=FOREVER)
        return StepResult(orders, wake_at_ms, tuple(log_lines), subscribe)

    def _admit_waiting(self) -> None:
        """Hand waiting requests to the scheduler, edge by edge in turn, up to the bound.

        Danger: the scheduler's work for each answer grows with what waits in it; and one edge's backlog must
        not stand before all others'.
        """
        while len(self.scheduled) < self.limits.max_scheduled:
            edges = [session for _, session in sorted(self.edges.items()) if session.waiting]
            if not edges:
                return
            # Who comes first in a round is left behind in the next, so that a full scheduler starves nobody.
            first = self._intake_rounds % len(edges)
            self._intake_rounds += 1
            for session in edges[first:] + edges[:first]:
                if len(self.scheduled) >= self.limits.max_scheduled:
                    return
                waiting = session.waiting.popleft()
                # Danger: counted when it is admitted, it would allow retries beyond its own window.
                counted = waiting.request.counted_in_budget or waiting.step < self._steps
                self._admit(session, waiting.request, counted=counted)

    def _admit(self, session: EdgeSession, request: messages.Request, *, counted: bool) -> None:
        if request.operation in session.scheduled or request.request_class >= self._classes_per_version:
            self.dropped["unusable request"] += 1
            return
        # A version that is not held here was not announced to any edge as held: it has just left.
        class_offset, plan_offset = self._table_offsets.get(request.rule_version, (0, 0))
        scheduled = ScheduledOperation(session, request.operation, request.earlier_attempts)
        session.scheduled[request.operation] = self.scheduled[scheduled.scheduler_name] = scheduled
        # What has passed on the edge's clock since it accepted the request is over.
        passed_ms = max(0.0, session.clock_ms - request.at_ms)
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
                waited_ms=request.waited_ms + passed_ms if request.waited_ms >= 0 else -1.0,
                earlier_attempts=request.earlier_attempts,
                counted_in_budget=counted,
            )
        )

    def _order(self, action: Action, orders: dict[str, list[messages.PlannerOrder]]) -> None:
        """Add the order that an action of the scheduler stands for to those of its edge."""
        scheduled = self.scheduled.get(getattr(action, "request", ""))
        if scheduled is None:
            self.dropped["order for nobody"] += 1
            return
        edge_orders = orders.setdefault(scheduled.session.name, [])
        operation = scheduled.operation
        match action:
            case Send(_, node, timeout_ms):
                edge_orders.append(self._grant(scheduled, node, timeout_ms))
            case Reject(_, retry_after_ms):
                edge_orders.append(messages.FinalAnswer(self.epoch, operation, True, retry_after_ms))
                self._answered(scheduled)
            case Fail():
                edge_orders.append(messages.FinalAnswer(self.epoch, operation, False))
                self._answered(scheduled)
            case Cancel(_, attempt):
                edge_orders.append(messages.CancelAttempt(self.epoch, operation, attempt))

    def _grant(self, scheduled: ScheduledOperation, node: str, timeout_ms: float) -> messages.Grant:
        self._grants += 1
        attempt = scheduled.next_attempt
        scheduled.next_attempt += 1
        scheduled.in_flight = True
        valid_until_ms = scheduled.session.clock_ms + self.limits.grant_ms
        return messages.Grant(
            number=self._grants,
            epoch=self.epoch,
            operation=scheduled.operation,
            attempt=attempt,
            node=node,
            valid_until_ms=valid_until_ms,
            timeout_ms=timeout_ms,
        )

    def _answered(self, scheduled: ScheduledOperation) -> None:
        """Forget an operation that has its answer, unless the outcome of an attempt has yet to come."""
        if not scheduled.in_flight:
            self._forget(scheduled)
