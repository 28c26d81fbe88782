"""The edge's side of the decisions: what happened goes up a link, grants come down, and without a planner the
edge goes on as one careful host of many.  Pure; to the driver it stands where the decision module stands.

Each held operation has one decider at a time: the planner of the present session, this edge's own decisions,
or nobody.  It changes hands only while no attempt of it is out, and it says what was done before (`attempts`)
and that it has been counted (`counted`).  What an edge's own decisions may do needs nobody's word:

- limits: their units are this edge's own, which it lends to who decides (`edge/lending`);
- cold nodes: by their settings these bear nothing from them;
- the budget: no free attempts, and a share of those operations alone that came through this edge; who takes
  over is told what was taken and tried again before (`edge/record`);
- order: an operation waits while its key is in use, or rests, by another decider's attempt (`edge/turns`);
- one answer, no effect twice, drains: the ledger, as ever.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from cressrock import interface as i
from cressrock.dispatch.driver import DecisionModule
from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.quota import EdgeQuota, lease_duration_ms
from cressrock.edge.attempt_history import Record
from cressrock.edge.disposition import DisconnectedPolicy, Fate, fate, next_look, retry_after
from cressrock.edge.grants import Grants, Stale, Unused
from cressrock.edge.ordering import KeyOrdering
from cressrock.link import messages as m

RING = 1  # the token of this edge's one timer; those of its own decisions come above it
FOREVER = float("inf")


class Decider(Enum):
    """Who decides about a held operation."""

    NOBODY = "nobody"
    PLANNER = "planner"
    LOCAL = "own"


@dataclass(slots=True)
class _Held:
    arrival: i.Arrival
    taken_at: float
    deadline: float
    decider: Decider = Decider.NOBODY
    counted: bool = False  # in somebody's budget, or its moment to be counted has passed
    shift: int = 0  # attempts that its decider has numbered and this edge never made


@dataclass(frozen=True, slots=True)
class _Sent:
    """Who ordered an attempt, and how far that decider's numbers of attempts are ahead of the ledger's."""

    decider: Decider
    shift: int
    volume: str
    plan: int
    units: float


class EdgeDecisions:
    """Held operations, the present session, and what is to go up.

    `outbox` holds events in order; the carrier sends them as far as the planner gave credit.
    """

    def __init__(
        self,
        ledger: Ledger,
        away: DisconnectedPolicy,
        source: random.Random,
        *,
        ordering: KeyOrdering | None = None,
        local: DecisionModule | None = None,
        quota: EdgeQuota | None = None,
        max_outbox: int = 100000,
        tick_ms: float = 100.0,
        uncounted_after_ms: float = 0.0,
        budget_window_ms: float = 0.0,
    ) -> None:
        """Start without a planner.  `tick_ms`: so often at least the planner hears this edge's clock.

        `late_ms`: what is decided about later than so after it was taken no budget counts; `budget_ms` is the
        budget's window.
        """
        self.tick_ms = tick_ms
        self.late_ms = uncounted_after_ms
        self.last_up = 0.0
        self.ledger = ledger
        self.grants = Grants(ledger)
        self.away = away
        self.random = source
        self.ordering = ordering
        self.local = local  # told as little as said above
        self.quota = quota
        self.record = Record(budget_window_ms)
        self.stamp, self.stamp_at = 0, 0.0  # the planner's newest, and when it came
        self.max_outbox = max_outbox
        self.operations: dict[str, _Held] = {}
        self.outbox: deque[m.Event] = deque()
        self.sequence = 0
        self.away_since: float | None = 0.0
        self.fates: Counter[Fate] = Counter()
        self._orders: deque[tuple[str, m.Order]] = deque()
        self._own_events: list[i.Event] = []
        self._adrift: dict[str, None] = {}  # held by nobody who decides: looked at in each turn, in order
        self._out: dict[str, _Sent] = {}  # who ordered the attempt that is out
        self._told_barred: set[str] = set()
        self.when_outbox: Callable[[], None] = lambda: None
        # Versions of the rules: what a class's and a plan's number stand for, and which the planner holds.
        self.knows_versions = False
        self.plans_per_version = 0  # of one version; 0: there is one
        self.version_of: Callable[[i.Arrival], tuple[str, int, int]] = lambda a: ("", a.request_class, a.plan)
        self.theirs: frozenset[str] | None = frozenset()  # None: not told yet
        self.version_fallbacks = 0  # operations that came to a planner without their version

    # --- the link's side

    def planner_joined(self, planner: str, epoch: int, now: float, *, versioned: bool = False) -> bool:
        """Enter a planner's epoch: what can lawfully be decided by it is offered.  False: it is too old.

        `versioned`: it will tell which versions of the rules it holds.
        """
        if not self.grants.joined(planner, epoch):
            return False
        self.away_since, self.stamp, self.stamp_at = None, 0, now
        self.theirs = None if versioned else frozenset()
        self._change()
        self._tell_planner(now)
        for name in list(self._adrift):
            self._route(name, now)
        return True

    def planner_lost(self, now: float) -> None:
        """Enter that the planner is away: no grant is valid from here on, and nothing goes up."""
        if self.away_since is None:
            self.away_since = now
        self.grants.away()
        self.theirs = frozenset()
        self._change()
        extra, taken = self.record.tell(Decider.LOCAL, now)
        if extra or taken:
            self._own_events.append(i.RetryBudgetUsage(tuple(extra), tuple(taken)))

    def _change(self) -> None:
        """Take back what the former decider had, the most urgent first."""
        self.outbox.clear()
        self._orders.clear()
        self._told_barred.clear()
        for name, sent in list(self._out.items()):
            if sent.decider is Decider.PLANNER:
                self._out[name] = replace(sent, decider=Decider.NOBODY)
        for name, held in sorted(self.operations.items(), key=lambda item: (item[1].deadline, item[0])):
            if held.decider is Decider.PLANNER:
                held.decider = Decider.NOBODY
            elif held.decider is Decider.LOCAL:
                self._take_back(name, held)
            if held.decider is Decider.NOBODY:
                self._adrift[name] = None

    def _take_back(self, name: str, held: _Held) -> None:
        """Take an operation from the own decisions, if another decider may go on with it.

        What may have run and is not simply repeatable stays: its window and its rack are known here alone.
        Danger: two deciders would each keep order on a key apart; what has to run in order never stays.
        """
        entry = self.ledger.entries.get(name)
        if entry is None or entry.verdict is not None or entry.attempt_in_flight() is not None:
            return
        if (
            entry.first_run() is None
            or entry.request_class.idempotency is i.Idempotency.ALWAYS
            or entry.request_class.ordered
        ):
            self._own_events.append(i.ClientLeft(name))
            held.decider = Decider.NOBODY

    def decides(self, version: str) -> bool:
        """Whether a request that came now would be decided by this version of the rules."""
        if self.grants.planner is None:
            return self.local is not None
        return self.theirs is not None and version in self.theirs

    def receive_order(self, planner: str, order: m.Order) -> None:
        """Take an order in; it is carried out at the next turn, if it is still valid then."""
        self._orders.append((planner, order))

    def tick(self, now: float) -> None:
        """Tell the planner this edge's clock, by which its grants are valid, while something is held."""
        if self.next_tick() > now:
            return
        self._lend_planner(now)
        if not self.outbox:
            self._up(m.Tick(0, now), now)

    def next_tick(self) -> float:
        """Return when `tick` has something to tell; infinity with nothing held or no planner."""
        if self.grants.planner is None or not self.operations:
            return FOREVER
        return self.last_up + self.tick_ms

    # --- the driver's side

    def act(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Take in a batch and return what is to be done, as the decision module does."""
        for event in events:
            match event:
                case i.NodeList():
                    self._own_events.append(event)
                case i.TimerFired(token):
                    if token > RING:
                        self._own_events.append(i.TimerFired(token - RING - 1))
                case i.Arrival():
                    self.operations[event.request] = _Held(event, now_ms, now_ms + event.remaining_ms)
                    self._adrift[event.request] = None
                case i.AttemptEnded():
                    self._ended(event, now_ms)
                case i.ClientLeft(request):
                    self._left(request, now_ms)
        actions: list[i.Action] = []
        while self._orders:
            self._carry(*self._orders.popleft(), now_ms, actions)
        again = self._settle(now_ms, actions)
        due = min(again, self._look(now_ms, actions))
        if due < FOREVER:
            actions.append(i.SetTimer(due, RING))
        return actions

    def _settle(self, now: float, actions: list[i.Action]) -> float:
        """Give what nobody decides about to somebody, and let the own decisions have their turn.

        Returns when to look again at what has to wait for its key.
        """
        again = FOREVER
        for name in list(self._adrift):
            again = min(again, self._route(name, now))
        if self.grants.planner is None:
            for volume, plan, wanted in self._wanted(Decider.LOCAL):
                self._lend_own(volume, plan, wanted, now)
        if self.local is not None and self._own_events:
            events, self._own_events = self._own_events, []
            for action in self.local.act(now, events):
                self._own_order(action, now, actions)
        elif self.local is None:
            self._own_events.clear()
        return again

    def _route(self, name: str, now: float) -> float:
        """Hand an operation to the planner, else to the own decisions; returns when to try again."""
        held, entry = self.operations.get(name), self.ledger.entries.get(name)
        if held is None or entry is None or entry.verdict is not None:
            self._adrift.pop(name, None)
            return FOREVER
        if fate(entry, now, joined=True, away=self.away) is not Fate.OFFER:
            return FOREVER  # an attempt runs on, or `_look` answers it
        # Danger: counted only now, it would allow further attempts for longer than its own window lasts.
        held.counted = held.counted or now > held.taken_at + self.late_ms
        free = self._free_at(held, now)
        if free > now:
            return free
        if self.grants.planner is not None:
            version = self.version_of(held.arrival)[0]
            if version and self.theirs is None:
                return FOREVER  # the planner's first word, on its way, says whether it holds that version
            self._offer(name, held, len(entry.attempts), now)
        elif self.local is not None:
            held.decider, held.shift = Decider.LOCAL, 0
            waited = held.arrival.waited_ms
            passed = now - held.taken_at
            self._own_events.append(
                replace(
                    held.arrival,
                    remaining_ms=max(0.0, held.deadline - now),
                    waited_ms=waited if waited < 0 else waited + passed,
                    earlier_attempts=len(entry.attempts),
                    counted_in_budget=held.counted,
                )
            )
        else:
            return FOREVER
        if not held.counted:
            self.record.took(self._by(held.decider), held.taken_at)
        held.counted = True
        del self._adrift[name]
        return FOREVER

    def _tell_planner(self, now: float) -> None:
        """Tell the planner what others decided about that counts in its budget."""
        extra, taken = self.record.tell(self._by(Decider.PLANNER), now)
        if extra or taken:
            # Rounded to the safe side: attempts were made later, requests came earlier.
            ages = [int(now - at) for at in extra], [math.ceil(now - at) for at in taken]
            self._up(m.Counted(0, now, *ages), now)

    def _by(self, decider: Decider) -> object:
        """Name a decider for the record."""
        return (self.grants.planner, self.grants.epoch) if decider is Decider.PLANNER else decider

    def _wanted(self, decider: Decider) -> list[tuple[str, int, float]]:
        """Return volumes with a limit, their plan, and the units that wait with a decider."""
        if self.quota is None:
            return []
        found: dict[str, tuple[int, float]] = {}
        for name, held in self.operations.items():
            a = held.arrival
            if held.decider is decider and name not in self._out and self.quota.is_limited(a.plan):
                found[a.volume] = (a.plan, found.get(a.volume, (0, 0.0))[1] + a.units)
        return [(volume, plan, units) for volume, (plan, units) in found.items()]

    def _waiting_units(self, volume: str) -> float:
        """Return the units of a volume that wait with the planner."""
        return sum(
            held.arrival.units
            for name, held in self.operations.items()
            if held.arrival.volume == volume and held.decider is Decider.PLANNER and name not in self._out
        )

    def _lend_planner(self, now: float) -> None:
        for volume, plan, wanted in self._wanted(Decider.PLANNER):
            if units := self._loan(volume, plan, wanted, now):
                # A plan's limit is the same in all versions; to the planner it goes by the settings' number.
                self._up(
                    m.LimitLease(
                        0, now, volume, plan % (self.plans_per_version or plan + 1), units, self.stamp
                    ),
                    now,
                )

    def _loan(self, volume: str, plan: int, wanted: float, now: float) -> float:
        """Return units for the planner; none by an old stamp, by which they would hardly count there."""
        if self.quota is None:
            return 0.0
        if now > self.stamp_at + lease_duration_ms(self.quota.plans[plan], self.quota.lend_ms) / 4:
            return 0.0
        return self.quota.lease(volume, plan, wanted, now)

    def _lend_own(self, volume: str, plan: int, wanted: float, now: float) -> None:
        if self.quota is not None and (units := self.quota.lease(volume, plan, wanted, now)):
            until = now + lease_duration_ms(self.quota.plans[plan], self.quota.lend_ms)
            self._own_events.append(i.LimitLease(volume, units, until))

    def _free_at(self, held: _Held, now: float) -> float:
        return now if self.ordering is None else self.ordering.free_at(held.arrival, now)

    def _offer(self, name: str, held: _Held, attempts: int, now: float) -> None:
        held.decider, held.shift = Decider.PLANNER, 0
        a = held.arrival
        lent = 0.0
        if self.quota is not None and self.quota.is_limited(a.plan):
            lent = self._loan(a.volume, a.plan, self._waiting_units(a.volume), now)
        version, cls, plan = self.version_of(a)
        if version and version not in (self.theirs or ()):
            version = ""  # its planner changed to one that lacks it: by the settings' own, its time as given
            self.version_fallbacks += 1
        request = m.Request(
            0,
            now,
            name,
            a.volume,
            a.key[:512],
            a.units,
            max(0.0, held.deadline - self.away.answer_margin_ms),
            plan,
            cls,
            a.shard,
            a.sharing_hosts,
            a.waited_ms if a.waited_ms < 0 else a.waited_ms + now - held.taken_at,
            attempts,
            held.counted,
            lent,
            self.stamp,
            version,
        )
        self._up(request, now)

    def _left(self, name: str, now: float) -> None:
        held = self.operations.pop(name, None)
        self._adrift.pop(name, None)
        if held is not None and held.decider is Decider.LOCAL:
            self._own_events.append(i.ClientLeft(name))
        elif held is not None and held.decider is Decider.PLANNER:
            self._up(m.Left(0, now, name), now)

    def _ended(self, event: i.AttemptEnded, now: float) -> None:
        """Tell an attempt's outcome to who ordered it; what is then without a decider gets one."""
        name, held = event.request, self.operations.get(event.request)
        if self.ordering is not None:
            self.ordering.ended(name, event.outcome, now)
        sent = self._out.pop(name, None)
        if sent is not None and self.quota is not None and self.quota.is_limited(sent.plan):
            self.quota.record_outcome(sent.volume, sent.plan, sent.units, now)
        if sent is not None and sent.decider is Decider.LOCAL:
            self._own_events.append(replace(event, attempt=event.attempt + sent.shift))
            if held is not None and not event.settled and self.grants.planner is not None:
                self._take_back(name, held)
        elif sent is not None and sent.decider is Decider.PLANNER and self.grants.planner is not None:
            ended = m.AttemptEnded(
                0,
                now,
                name,
                event.attempt + sent.shift,
                event.outcome.value,
                event.settled,
                event.latency_ms,
                event.reported_usage,
                event.units_elsewhere,
            )
            self._up(ended, now)
        if event.settled:
            self.operations.pop(name, None)
            self._adrift.pop(name, None)
        elif held is not None and held.decider is Decider.NOBODY:
            # It ran on from before a change: now its fate can be decided.
            self._adrift[name] = None

    def next_up(self, now: float) -> m.Event:
        """Take the next event out to be sent; one that waited for credit is counted by nobody any more."""
        event = self.outbox.popleft()
        if isinstance(event, m.Request) and now > event.at_ms + self.late_ms:
            return msgspec.structs.replace(event, counted_in_budget=True)
        return event

    def _up(self, event: m.Event, now: float) -> None:
        if len(self.outbox) >= self.max_outbox:
            return  # the planner reads nothing; the link's silence or this edge's deadlines end it
        self.sequence += 1
        self.last_up = now
        self.outbox.append(msgspec.structs.replace(event, sequence=self.sequence, at_ms=now))
        self.when_outbox()

    # --- orders

    def _carry(self, planner: str, order: m.Order, now: float, actions: list[i.Action]) -> None:
        if isinstance(order, m.ClockStamp):
            if planner == self.grants.planner:
                self.stamp, self.stamp_at = order.number, now
                self._lend_planner(now)
            return
        if isinstance(order, m.RuleVersions):
            if planner == self.grants.planner:
                self.theirs = frozenset(order.versions)
            return
        if planner != self.grants.planner or order.epoch != self.grants.epoch:
            if isinstance(order, m.Grant):
                self.grants.check(planner, order, now)  # counts it
            return
        held = self.operations.get(order.operation)
        match order:
            case m.Grant(_, _, operation, _, node, _, within_ms):
                unused = self._check(planner, order, held, now)
                if unused is None and held is not None:
                    self._send(held, i.Send(operation, node, within_ms), now, actions)
                    return
                # The planner counts this attempt as out: it must hear that it never ran.
                self._up(
                    m.AttemptEnded(0, now, operation, order.attempt, i.Outcome.ABANDONED.value, False, 0.0),
                    now,
                )
                entry = self.ledger.entries.get(operation)
                if held is not None and entry is not None:
                    held.shift = order.attempt + 1 - len(entry.attempts)
                drains = isinstance(unused, Unused) and unused.reason is Stale.DRAINS
                if drains and node not in self._told_barred:
                    self._told_barred.add(node)
                    self._up(m.Barred(0, now, node), now)
            case m.Answer(_, operation, refused, stay_away_ms):
                if held is not None and held.decider is Decider.PLANNER:
                    del self.operations[operation]
                    actions.append(i.Reject(operation, stay_away_ms) if refused else i.Fail(operation))
            case m.CallOff(_, operation, attempt):
                sent = self._out.get(operation)
                if sent is not None and sent.decider is Decider.PLANNER:
                    actions.append(i.Cancel(operation, attempt - sent.shift))

    def _check(self, planner: str, grant: m.Grant, held: _Held | None, now: float) -> Unused | None:
        """Say why a grant is not valid here, by all that this edge itself knows."""
        unused = self.grants.check(planner, grant, now, shift=held.shift if held is not None else 0)
        if unused is not None:
            return unused
        if held is None or held.decider is not Decider.PLANNER:
            return self.grants.down(Stale.DECIDER, grant)
        if self._free_at(held, now) > now:
            return self.grants.down(Stale.TURN, grant)
        return None

    def _own_order(self, action: i.Action, now: float, actions: list[i.Action]) -> None:
        held = self.operations.get(getattr(action, "request", ""))
        mine = held is not None and held.decider is Decider.LOCAL
        match action:
            case i.Send(request):
                entry = self.ledger.entries.get(request)
                if held is not None and mine and entry is not None and self._free_at(held, now) <= now:
                    self._send(held, action, now, actions)
                elif entry is not None:
                    number = len(entry.attempts) + (held.shift if held is not None else 0)
                    moot = i.AttemptEnded(request, number, i.Outcome.ABANDONED, False, 0.0, charged=False)
                    self._own_events.append(moot)
                    if held is not None:
                        held.shift += 1
            case i.Reject(request) | i.Fail(request):
                if mine:
                    del self.operations[request]
                    actions.append(action)
            case i.Cancel(request, attempt):
                sent = self._out.get(request)
                if sent is not None and sent.decider is Decider.LOCAL:
                    actions.append(i.Cancel(request, attempt - sent.shift))
            case i.SetTimer(at_ms, token):
                actions.append(i.SetTimer(at_ms, token + RING + 1))
            case _:
                actions.append(action)

    def _send(self, held: _Held, action: i.Send, now: float, actions: list[i.Action]) -> None:
        a = held.arrival
        self._out[action.request] = _Sent(held.decider, held.shift, a.volume, a.plan, a.units)
        entry = self.ledger.entries.get(action.request)
        if entry is not None and entry.attempts:
            self.record.tried(self._by(held.decider), now)
            if held.decider is Decider.LOCAL and self.grants.planner is not None:
                self._tell_planner(now)
        if self.quota is not None and self.quota.is_limited(a.plan):
            self.quota.record_sent(a.volume, a.plan, a.units, now)
        if self.ordering is not None:
            self.ordering.sent(held.arrival)
        actions.append(action)

    # --- what nobody decides about in time

    def _look(self, now: float, actions: list[i.Action]) -> float:
        """Answer what nobody decides about in time; returns when to look again."""
        waiting = []
        for name in list(self.operations):
            entry = self.ledger.entries.get(name)
            if entry is None or entry.verdict is not None:
                del self.operations[name]
                continue
            held = self.operations[name]
            if held.decider is Decider.LOCAL:
                continue  # its own answer comes, and the ledger stands behind it
            found = fate(entry, now, joined=self.grants.planner is not None, away=self.away)
            if found is Fate.REFUSE:
                since = self.away_since if self.away_since is not None else now
                actions.append(i.Reject(name, retry_after(since, now, self.away, self.random)))
            elif found is Fate.FAIL and (
                held.decider is Decider.NOBODY or entry.attempt_in_flight() is not None
            ):
                actions.append(i.Fail(name))
            else:
                waiting.append(entry)
                continue
            self.fates[found] += 1
            del self.operations[name]
            self._adrift.pop(name, None)
            if held.decider is Decider.PLANNER and self.grants.planner is not None:
                self._up(m.Left(0, now, name), now)
        return next_look(waiting, now, self.away)
