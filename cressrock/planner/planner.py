"""One planner's state: many edges' events in, the decision module's orders out as grants.  Pure.

To the module a planner is one host.  Names of operations are the edges' own, put behind the edge's name and
session, so that an edge that comes back begins with a clean slate and an older connection of it is fenced.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field, replace
from typing import Protocol

from cressrock import interface as i
from cressrock.dispatch.quota import lease_duration_ms
from cressrock.dispatch.transport import reached_node
from cressrock.link import messages as m

STAMPS = 8  # within a loan's longest life: how far a loan's beginning is put before it was made


class Decisions(Protocol):
    """The decision module."""

    def act(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Take in a batch and return orders."""


@dataclass(frozen=True, slots=True)
class PlannerLimits:
    """Bounds of one planner; times in milliseconds."""

    grant_ms: float = 400.0  # from the newest event of an edge, how long a grant for it is valid
    max_inside: int = 2000  # operations handed to the module and not yet over; the rest waits at the edges
    max_edges: int = 1024
    lease_ms: float = 0.0  # edges lend units of limits, which count so long at most; 0: the module makes them


@dataclass(slots=True)
class _Held:
    """An operation inside the module."""

    edge: _Edge
    operation: str
    attempts: int = 0
    out: bool = False


@dataclass(slots=True)
class _Edge:
    """One session of an edge."""

    name: str
    life: str
    number: int
    clock_ms: float = 0.0  # the edge's own, as of its newest event
    stamps: deque[tuple[int, float]] = field(default_factory=deque)  # given to it, and when, by our clock
    sequence: int = -1
    held: dict[str, _Held] = field(default_factory=dict)
    waiting: deque[tuple[int, m.Request]] = field(default_factory=deque)  # with the step before it came


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a step brought: orders by edge name, the next timer, lines for the log, a wish for the list."""

    orders: dict[str, list[m.Order]]
    wake_at_ms: float
    lines: tuple[str, ...]
    subscribe: bool


class Planner:
    """`epoch` is of this life and never used again; `decisions` is the module, started."""

    def __init__(
        self,
        decisions: Decisions,
        classes: tuple[i.RequestClass, ...],
        epoch: int,
        bounds: PlannerLimits,
        plans: tuple[i.Plan, ...] = (),
    ) -> None:
        """Start with no edge."""
        self.plans = plans
        self.decisions = decisions
        self.classes = classes
        self.places: dict[str, tuple[int, int]] = {"": (0, 0)}  # where each version's classes and plans begin
        self.width = len(classes)  # of one version
        self.epoch = epoch
        self.bounds = bounds
        self.edges: dict[str, _Edge] = {}
        self.inside: dict[str, _Held] = {}
        self.sessions = 0
        self.rounds = 0
        self.steps = 0
        self.grants = 0
        self.dropped: Counter[str] = Counter()  # events that could not be used, by why
        self._events: list[i.Event] = []
        self._lines: dict[str, i.Node] = {}
        self._timers: dict[int, float] = {}

    def set_rule_versions(
        self,
        classes: tuple[i.RequestClass, ...],
        plans: tuple[i.Plan, ...],
        places: dict[str, tuple[int, int]],
    ) -> None:
        """Go on by tables of several versions of the rules; `places` says where each one's rows begin."""
        self.classes, self.plans, self.places = classes, plans, places

    # --- membership

    def join(self, name: str, life: str, now_ms: float = 0.0) -> int | None:
        """Begin a session of an edge and return its number; None where no more edges are taken.

        A session that still stands under the name is over: what it says from here on is not heard.
        """
        if name not in self.edges and len(self.edges) >= self.bounds.max_edges:
            return None
        self.leave(name)
        self.sessions += 1
        edge = self.edges[name] = _Edge(name, life, self.sessions)
        edge.stamps.append((0, now_ms))  # the greeting: what the edge lends first comes after it
        return self.sessions

    def leave(self, name: str, session: int | None = None) -> bool:
        """End an edge's session: what it holds is its own to answer.  False if it is not the present one."""
        edge = self.edges.get(name)
        if edge is None or (session is not None and edge.number != session):
            return False
        del self.edges[name]
        for inner, held in [(k, h) for k, h in self.inside.items() if h.edge is edge]:
            # The module must not count on a slot or a turn that nobody will give back.
            if held.out:
                ended = i.AttemptEnded(inner, held.attempts - 1, i.Outcome.RESET, True, 0.0, charged=None)
                self._events.append(ended)
            else:
                self._events.append(i.ClientLeft(inner))
            del self.inside[inner]
        return True

    # --- events

    def receive_node_list(self, report: i.NodeList) -> None:
        """Take in news of the node list."""
        if report.kind in (i.ListKind.COMPLETE, i.ListKind.CACHED):
            self._lines.clear()
        self._lines.update((line.name, line) for line in report.nodes)
        self._events.append(report)

    def _barred(self, node: str) -> None:
        """An edge was told that a node drains: no more work for it until a list says that it is ready.

        Danger: a planner that is born with an old list grants the same node again at once, each time in vain.
        """
        line = self._lines.get(node)
        if line is not None and line.state is i.NodeState.READY:
            line = self._lines[node] = replace(line, state=i.NodeState.DRAINING)
            self._events.append(i.NodeList(i.ListKind.CHANGES, (line,)))

    def receive_event(self, name: str, session: int, event: m.Event, now_ms: float = 0.0) -> bool:
        """Take in an edge's event.  False where it is not of the present session or is out of order."""
        edge = self.edges.get(name)
        if edge is None or edge.number != session:
            self.dropped["fenced session"] += 1
            return False
        if event.sequence <= edge.sequence:
            self.dropped["out of order"] += 1
            return False
        edge.sequence = event.sequence
        edge.clock_ms = max(edge.clock_ms, event.at_ms)
        match event:
            case m.Request():
                edge.waiting.append((self.steps, event))
                self._lent(edge, event.volume, event.plan, event.leased_units, event.stamp)
            case m.AttemptEnded():
                self._ended(edge, event)
            case m.Left():
                self._left(edge, event)
            case m.Barred(_, _, node):
                self._barred(node)
            case m.LimitLease(_, _, volume, plan, units, stamp):
                self._lent(edge, volume, plan, units, stamp)
            case m.Counted(_, _, extra, taken):
                times = (tuple(now_ms - age for age in ages) for ages in (extra, taken))
                self._events.append(i.RetryBudgetUsage(*times))
        return True

    def _lent(self, edge: _Edge, volume: str, plan: int, units: float, stamp: int) -> None:
        """Take in a loan: it counts from a moment of our own clock that is surely before it was made.

        Danger: a loan that lay on the way while its edge took itself for alone, and has filled up since.
        """
        if not units or not self.bounds.lease_ms or plan >= len(self.plans):
            return
        given = next((at for number, at in edge.stamps if number == stamp), None)
        if given is None:
            self.dropped["loan without a stamp"] += 1
            return
        self._events.append(
            i.LimitLease(volume, units, given + lease_duration_ms(self.plans[plan], self.bounds.lease_ms))
        )

    def _stamp(self, edge: _Edge, now: float) -> m.ClockStamp | None:
        """Return a new stamp for an edge that holds work, a few within a loan's life."""
        if not self.bounds.lease_ms or not (edge.held or edge.waiting):
            return None
        if now < edge.stamps[-1][1] + self.bounds.lease_ms / STAMPS:
            return None
        edge.stamps.append((edge.stamps[-1][0] + 1, now))
        while len(edge.stamps) > 2 * STAMPS:
            edge.stamps.popleft()
        return m.ClockStamp(edge.stamps[-1][0])

    def _ended(self, edge: _Edge, event: m.AttemptEnded) -> None:
        held = edge.held.get(event.operation)
        if held is None or not held.out or event.attempt != held.attempts - 1:
            self.dropped["unknown attempt"] += 1
            return
        try:
            outcome = i.Outcome(event.outcome)
        except ValueError:
            self.dropped["unknown outcome"] += 1
            outcome = i.Outcome.RESET  # the cautious reading: it may have run
        held.out = False
        inner = self._inner(edge, event.operation)
        ended = i.AttemptEnded(
            inner,
            event.attempt,
            outcome,
            event.settled,
            event.lag_ms,
            event.used,
            event.elsewhere,
            reached_node(outcome),
        )
        self._events.append(ended)
        if event.settled:
            self._forget(edge, event.operation)

    def _left(self, edge: _Edge, event: m.Left) -> None:
        before = len(edge.waiting)
        edge.waiting = deque(w for w in edge.waiting if w[1].operation != event.operation)
        held = edge.held.get(event.operation)
        if held is None:
            self.dropped["unknown operation"] += before == len(edge.waiting)
            return
        self._events.append(i.ClientLeft(self._inner(edge, event.operation)))
        if not held.out:
            self._forget(edge, event.operation)

    @staticmethod
    def _inner(edge: _Edge, operation: str) -> str:
        return f"{edge.name}/{edge.number}/{operation}"

    def _forget(self, edge: _Edge, operation: str) -> None:
        edge.held.pop(operation, None)
        self.inside.pop(self._inner(edge, operation), None)

    # --- a step

    def step(self, now_ms: float) -> Outcome:
        """Hand what came to the module and return its orders.  Call at each batch and at `wake_at_ms`."""
        self._admit()
        self.steps += 1
        for token, at in sorted(self._timers.items()):
            if at <= now_ms:
                del self._timers[token]
                self._events.append(i.TimerFired(token))
        events, self._events = self._events, []
        orders: dict[str, list[m.Order]] = {}
        lines: list[str] = []
        subscribe = False
        for action in self.decisions.act(now_ms, events) if events else ():
            match action:
                case i.SetTimer(at_ms, token):
                    self._timers[token] = at_ms
                case i.Log(text):
                    lines.append(text)
                case i.Subscribe():
                    subscribe = True
                case _:
                    self._order(action, orders)
        for name, edge in self.edges.items():
            if stamp := self._stamp(edge, now_ms):
                orders.setdefault(name, []).insert(0, stamp)
        wake = min(self._timers.values(), default=float("inf"))
        return Outcome(orders, wake, tuple(lines), subscribe)

    def _admit(self) -> None:
        """Let waiting operations into the module, edge by edge in turn, up to the bound.

        Danger: the module's work for each answer grows with what waits in it; and one edge's backlog must
        not stand before all others'.
        """
        while len(self.inside) < self.bounds.max_inside:
            turn = [edge for _, edge in sorted(self.edges.items()) if edge.waiting]
            if not turn:
                return
            # Who comes first in a round is left behind in the next, so that a full module starves nobody.
            begin = self.rounds % len(turn)
            self.rounds += 1
            for edge in turn[begin:] + turn[:begin]:
                if len(self.inside) >= self.bounds.max_inside:
                    return
                step, request = edge.waiting.popleft()
                # Danger: counted when it is let in, it would allow further attempts beyond its own window.
                self._arrive(edge, request, counted=request.counted or step < self.steps)

    def _arrive(self, edge: _Edge, request: m.Request, *, counted: bool) -> None:
        if request.operation in edge.held or request.request_class >= self.width:
            self.dropped["unusable request"] += 1
            return
        # A version that is not held here was not told to any edge as held: it has just left.
        classes_at, plans_at = self.places.get(request.rule_version, (0, 0))
        held = edge.held[request.operation] = _Held(edge, request.operation, request.attempts)
        inner = self._inner(edge, request.operation)
        self.inside[inner] = held
        self._events.append(
            i.Arrival(
                request=inner,
                volume=request.volume,
                key=request.key,
                units=request.units,
                # What has passed on the edge's clock since it took the request is gone.
                remaining_ms=max(0.0, request.deadline_ms - edge.clock_ms),
                plan=request.plan + plans_at,
                request_class=request.request_class + classes_at,
                shard=request.shard,
                sharing_hosts=request.writers,
                waited_ms=(
                    request.waited_ms + max(0.0, edge.clock_ms - request.at_ms)
                    if request.waited_ms >= 0
                    else -1.0
                ),
                earlier_attempts=request.attempts,
                counted_in_budget=counted,
            )
        )

    def _order(self, action: i.Action, orders: dict[str, list[m.Order]]) -> None:
        name = getattr(action, "request", "")
        held = self.inside.get(name)
        if held is None:
            self.dropped["order for nobody"] += 1
            return
        edge = held.edge
        out = orders.setdefault(edge.name, [])
        match action:
            case i.Send(_, node, within_ms):
                self.grants += 1
                until = edge.clock_ms + self.bounds.grant_ms
                out.append(
                    m.Grant(self.grants, self.epoch, held.operation, held.attempts, node, until, within_ms)
                )
                held.attempts += 1
                held.out = True
            case i.Reject(_, stay_away_ms):
                out.append(m.Answer(self.epoch, held.operation, True, stay_away_ms))
                self._over(held)
            case i.Fail():
                out.append(m.Answer(self.epoch, held.operation, False))
                self._over(held)
            case i.Cancel(_, attempt):
                out.append(m.CallOff(self.epoch, held.operation, attempt))

    def _over(self, held: _Held) -> None:
        """An operation has its end; with an attempt out it is kept until the outcome is in."""
        if not held.out:
            self._forget(held.edge, held.operation)
