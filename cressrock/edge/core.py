"""The edge's side of the decisions: what happened goes up a link, grants come down, and without a planner
what waits is answered in time.  Pure; to the driver it stands where the decision module stands.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cressrock import interface as i
from cressrock.dispatch.ledger import Ledger
from cressrock.edge.grants import Grants, Unused
from cressrock.edge.orphans import Away, Fate, fate, next_look, retry_after
from cressrock.link import messages as m

RING = 1  # the token of the one timer that is set


@dataclass(slots=True)
class _Held:
    arrival: i.Arrival
    deadline: float
    offered: bool = False


class EdgeDecisions:
    """Held operations, the present session, and what is to go up.

    `outbox` holds events in order; the carrier sends them as far as the planner gave credit.
    """

    def __init__(
        self,
        ledger: Ledger,
        away: Away,
        source: random.Random,
        *,
        max_outbox: int = 100000,
        tick_ms: float = 100.0,
    ) -> None:
        """Start without a planner.  `tick_ms`: so often at least the planner hears this edge's clock."""
        self.tick_ms = tick_ms
        self.last_up = 0.0
        self.ledger = ledger
        self.grants = Grants(ledger)
        self.away = away
        self.random = source
        self.max_outbox = max_outbox
        self.held: dict[str, _Held] = {}
        self.outbox: deque[m.Event] = deque()
        self.sequence = 0
        self.away_since: float | None = 0.0
        self.fates: Counter[Fate] = Counter()
        self._orders: deque[tuple[str, m.Order]] = deque()
        self._lines: list[str] = []
        self.when_outbox: Callable[[], None] = lambda: None

    # --- the link's side

    def joined(self, planner: str, epoch: int, now: float) -> bool:
        """Enter a planner's epoch: what can lawfully be decided by it is offered.  False: it is too old."""
        if not self.grants.joined(planner, epoch):
            return False
        self.away_since = None
        self.outbox.clear()
        self._orders.clear()
        for name, held in sorted(self.held.items(), key=lambda item: (item[1].deadline, item[0])):
            held.offered = False
            self._offer(name, held, now)
        return True

    def lost(self, now: float) -> None:
        """Enter that the planner is away: no grant is valid from here on, and nothing goes up."""
        if self.away_since is None:
            self.away_since = now
        self.grants.away()
        self.outbox.clear()
        self._orders.clear()

    def order(self, planner: str, order: m.Order) -> None:
        """Take an order in; it is carried out at the next turn, if it is still valid then."""
        self._orders.append((planner, order))

    def tick(self, now: float) -> None:
        """Tell the planner this edge's clock, by which its grants are valid, while something is held."""
        if self.next_tick() <= now and not self.outbox:
            self._up(m.Tick(0, now), now)

    def next_tick(self) -> float:
        """Return when `tick` has something to tell; infinity with nothing held or no planner."""
        if self.grants.planner is None or not self.held:
            return float("inf")
        return self.last_up + self.tick_ms

    # --- the driver's side

    def act(self, now_ms: float, events: list[i.Event]) -> list[i.Action]:
        """Take in a batch and return what is to be done, as the decision module does."""
        for event in events:
            match event:
                case i.Arrival():
                    held = _Held(event, now_ms + event.remaining_ms)
                    self.held[event.request] = held
                    self._offer(event.request, held, now_ms)
                case i.Ended():
                    self._ended(event, now_ms)
                case i.ClientLeft(request):
                    self.held.pop(request, None)
                    if self.grants.planner is not None:
                        self._up(m.Left(0, now_ms, request), now_ms)
        actions: list[i.Action] = []
        while self._orders:
            self._carry(*self._orders.popleft(), now_ms, actions)
        due = self._look(now_ms, actions)
        if due < float("inf"):
            actions.append(i.SetTimer(due, RING))
        actions.extend(i.Log(line) for line in self._lines)
        self._lines.clear()
        return actions

    def _offer(self, name: str, held: _Held, now: float) -> None:
        entry = self.ledger.entries.get(name)
        if self.grants.planner is None or entry is None or entry.verdict is not None:
            return
        if fate(entry, now, joined=True, away=self.away) is not Fate.OFFER:
            return
        held.offered = True
        a = held.arrival
        request = m.Request(
            0, now, name, a.volume, a.key[:512], a.units,
            max(0.0, held.deadline - self.away.answer_margin_ms), a.plan, a.request_class,
            a.shard, a.writers,
            a.waited_ms if a.waited_ms < 0 else a.waited_ms + now - (held.deadline - a.remaining_ms),
        )  # fmt: skip
        self._up(request, now)

    def _ended(self, event: i.Ended, now: float) -> None:
        if self.grants.planner is not None:
            ended = m.Ended(
                0, now, event.request, event.attempt, event.outcome.value, event.settled, event.lag_ms,
                event.used, event.elsewhere,
            )  # fmt: skip
            self._up(ended, now)
        held = self.held.get(event.request)
        if event.settled:
            self.held.pop(event.request, None)
        elif held is not None and not held.offered:
            # It ran on while no planner was there, or under a former one: now its fate can be decided.
            self._offer(event.request, held, now)

    def _up(self, event: m.Event, now: float) -> None:
        if len(self.outbox) >= self.max_outbox:
            return  # the planner reads nothing; the link's silence or this edge's deadlines end it
        self.sequence += 1
        self.last_up = now
        self.outbox.append(msgspec.structs.replace(event, sequence=self.sequence, at_ms=now))
        self.when_outbox()

    def _carry(self, planner: str, order: m.Order, now: float, actions: list[i.Action]) -> None:
        match order:
            case m.Grant(_, _, operation, _, node, _, within_ms):
                unused = self.grants.check(planner, order, now)
                if isinstance(unused, Unused):
                    # The planner counts this attempt as out: it must hear that it never ran.
                    ended = m.Ended(0, now, operation, order.attempt, i.Outcome.MOOT.value, False, 0.0)
                    if planner == self.grants.planner and order.epoch == self.grants.epoch:
                        self._up(ended, now)
                else:
                    actions.append(i.Send(operation, node, within_ms))
            case m.Answer(epoch, operation, refused, stay_away_ms):
                if planner == self.grants.planner and epoch == self.grants.epoch:
                    self.held.pop(operation, None)
                    actions.append(i.Refuse(operation, stay_away_ms) if refused else i.Fail(operation))
            case m.CallOff(epoch, operation, attempt):
                if planner == self.grants.planner and epoch == self.grants.epoch:
                    actions.append(i.Cancel(operation, attempt))

    def _look(self, now: float, actions: list[i.Action]) -> float:
        """Answer what nobody decides about in time; returns when to look again."""
        waiting = []
        for name in list(self.held):
            entry = self.ledger.entries.get(name)
            if entry is None or entry.verdict is not None:
                del self.held[name]
                continue
            held = self.held[name]
            found = fate(entry, now, joined=self.grants.planner is not None, away=self.away)
            if found is Fate.REFUSE:
                since = self.away_since if self.away_since is not None else now
                wait = retry_after(since, now, self.away, self.random)
                actions.append(i.Refuse(name, wait))
            elif found is Fate.FAIL and not held.offered:
                actions.append(i.Fail(name))
            else:
                waiting.append(entry)
                continue
            self.fates[found] += 1
            del self.held[name]
            if held.offered and self.grants.planner is not None:
                self._up(m.Left(0, now, name), now)
        return next_look(waiting, now, self.away)
