"""The edge's side of the decisions: events go up the link, grants come down, and without a planner it goes on
as one careful host of many.  Pure; to the driver it stands where the scheduler stands.

Each pending operation has one decider at a time: the planner of the present session, this edge's local
scheduler, or nobody.  It changes hands only while no attempt of it is in flight, and it says which attempts
were made before and whether a retry budget has counted it.  What the local scheduler may do needs nobody's
agreement:

- limits: their units are this edge's own quota, which it leases to the decider (`edge/limit_leases`);
- nodes that warm up: by its settings the local scheduler sends them nothing;
- the retry budget: no free attempts, and a share of those operations alone that came through this edge; who
  takes over is told what was accepted and retried before (`edge/attempt_history`);
- order: an operation waits while its key is in use, or rests, by another decider's attempt (`edge/ordering`);
- one answer, no effect twice, drains: the ledger, as ever.
"""

from __future__ import annotations

import random
from dataclasses import replace

from cressrock.dispatch.driver import DecisionModule
from cressrock.dispatch.ledger import Entry, Ledger
from cressrock.dispatch.quota import EdgeQuota
from cressrock.edge.attempt_history import AttemptHistory
from cressrock.edge.attempts import AttemptTracker
from cressrock.edge.disposition import (
    DisconnectedPolicy,
    Disposition,
    disposition_of,
    next_check_ms,
    retry_after_ms,
)
from cressrock.edge.grants import GrantFence
from cressrock.edge.limit_leases import LimitLeases
from cressrock.edge.local_orders import EDGE_TIMER, LocalOrders
from cressrock.edge.operations import Decider, OperationTable, PendingOperation
from cressrock.edge.ordering import KeyOrdering
from cressrock.edge.outbox import Outbox
from cressrock.edge.planner_orders import PlannerOrders
from cressrock.edge.planner_session import PlannerSession
from cressrock.interface import (
    Action,
    Arrival,
    AttemptEnded,
    ClientLeft,
    Event,
    Fail,
    LimitLease,
    NodeList,
    Reject,
    RetryBudgetUsage,
    SetTimer,
    TimerFired,
)
from cressrock.link import messages

FOREVER = float("inf")


class EdgeDecisions:
    """Pending operations, the present session with a planner, and who decides about what.

    `outbox` holds events for the planner; the connection sends them as far as the planner gave credit.
    """

    def __init__(
        self,
        ledger: Ledger,
        policy: DisconnectedPolicy,
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
        """Start without a planner.  `tick_ms`: so often at least a planner is sent this edge's clock.

        An operation that is handed over later than `uncounted_after_ms` after it was accepted is counted in
        no retry budget; `budget_window_ms` is that budget's window.
        """
        self.uncounted_after_ms = uncounted_after_ms
        self.ledger = ledger
        self.policy = policy
        self.random = source
        self.ordering = ordering
        self.local = local
        self.quota = quota
        self.table = OperationTable(ledger)
        self.grants = GrantFence(ledger)
        self.outbox = Outbox(max_outbox, uncounted_after_ms)
        self.session = PlannerSession(self.grants, self.outbox, AttemptHistory(budget_window_ms), tick_ms)
        self.disconnected_since_ms: float | None = 0.0
        self._attempts = AttemptTracker(self.table, self.session, ordering, quota)
        self._leases = LimitLeases(quota, self.table) if quota is not None else None
        self._planner_orders = PlannerOrders(self.table, self.session, self._attempts)
        self._local_orders = LocalOrders(local, self.table, self._attempts)
        self.knows_versions = False  # of rules: what the numbers of classes and plans stand for
        self.plans_per_version = 0  # 0: there is one version
        self.version_of = settings_version
        self.version_fallbacks = 0  # operations that came to a planner without their version

    @property
    def operations(self) -> dict[str, PendingOperation]:
        """The operations without a final answer, by name."""
        return self.table.operations

    # --- the link's side

    def planner_joined(self, planner: str, epoch: int, now: float, *, versioned: bool = False) -> bool:
        """Enter a planner's epoch and offer it what it can lawfully decide about.  False: it is too old.

        `versioned`: the planner will announce which rule versions it holds.
        """
        if not self.session.enter(planner, epoch, now, versioned=versioned):
            return False
        self.disconnected_since_ms = None
        self._revoke_operations()
        self.session.report_history(now)
        for name in list(self.table.undecided):
            self._hand_over(name, now)
        return True

    def planner_lost(self, now: float) -> None:
        """Enter that there is no planner: from here on no grant is valid and nothing is sent."""
        if self.disconnected_since_ms is None:
            self.disconnected_since_ms = now
        self.session.leave()
        self._revoke_operations()
        unreported = self.session.history.drain_unreported(Decider.LOCAL, now)
        if unreported.retried_at_ms or unreported.accepted_at_ms:
            usage = RetryBudgetUsage(unreported.retried_at_ms, unreported.accepted_at_ms)
            self._local_orders.add_event(usage)

    def _revoke_operations(self) -> None:
        for name in self.table.revoke_all():
            self._local_orders.add_event(ClientLeft(name))

    def decides(self, version: str) -> bool:
        """Return whether a request that came now would be decided by this rule version."""
        if not self.session.is_open:
            return self.local is not None
        return self.session.versions is not None and version in self.session.versions

    def receive_order(self, planner: str, order: messages.PlannerOrder) -> None:
        """Keep an order until the next batch; it is carried out if it is still valid then."""
        self.session.receive_order(planner, order)

    def tick(self, now: float) -> None:
        """Send the planner this edge's clock, by which its grants are valid, while something is pending."""
        if self.next_tick() > now:
            return
        self._lease_to_planner(now)
        if not self.outbox:
            self.session.report(messages.EdgeClock(0, now), now)

    def next_tick(self) -> float:
        """Return when `tick` has something to send; infinity with nothing pending or no planner."""
        return self.session.next_tick_ms() if self.table.operations else FOREVER

    # --- the driver's side

    def act(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in a batch of events and return what is to be done, as the scheduler does."""
        for event in events:
            match event:
                case NodeList():
                    self._local_orders.add_event(event)
                case TimerFired(token):
                    self._local_orders.add_timer(token)
                case Arrival():
                    self.table.accept(event, now_ms)
                case AttemptEnded():
                    self._attempt_ended(event, now_ms)
                case ClientLeft(request):
                    self._client_left(request, now_ms)
        actions: list[Action] = []
        while (order := self.session.next_order(now_ms)) is not None:
            if isinstance(order, messages.ClockStamp):
                self._lease_to_planner(now_ms)
            elif (action := self._planner_orders.execute(order, now_ms)) is not None:
                actions.append(action)
        wake_at_ms = FOREVER
        for name in list(self.table.undecided):
            wake_at_ms = min(wake_at_ms, self._hand_over(name, now_ms))
        if not self.session.is_open:
            self._lease_to_local(now_ms)
        self._local_orders.execute(now_ms, actions)
        wake_at_ms = min(wake_at_ms, self._answer_overdue(now_ms, actions))
        if wake_at_ms < FOREVER:
            actions.append(SetTimer(wake_at_ms, EDGE_TIMER))
        return actions

    def _attempt_ended(self, event: AttemptEnded, now: float) -> None:
        """Report an attempt's outcome to who ordered it; what is then without a decider gets one."""
        name, pending = event.request, self.table.operations.get(event.request)
        attempt = self._attempts.finish(event, now)
        if attempt is not None:
            number = event.attempt + attempt.number_offset
            if attempt.decider is Decider.LOCAL:
                self._local_orders.add_event(replace(event, attempt=number))
                if pending is not None and not event.settled and self.session.is_open:
                    if self.table.revoke_local(name, pending):
                        self._local_orders.add_event(ClientLeft(name))
            elif attempt.decider is Decider.PLANNER and self.session.is_open:
                self.session.report(
                    messages.AttemptEnded(
                        sequence=0,
                        at_ms=now,
                        operation=name,
                        attempt=number,
                        outcome=event.outcome.value,
                        settled=event.settled,
                        latency_ms=event.latency_ms,
                        reported_usage=event.reported_usage,
                        units_elsewhere=event.units_elsewhere,
                    ),
                    now,
                )
        if event.settled:
            self.table.remove(name)
        elif pending is not None and pending.decider is Decider.NOBODY:
            # It ran on from before a change of decider: now it can be handed over.
            self.table.undecided[name] = None

    def _client_left(self, name: str, now: float) -> None:
        pending = self.table.remove(name)
        if pending is not None and pending.decider is Decider.LOCAL:
            self._local_orders.add_event(ClientLeft(name))
        elif pending is not None and pending.decider is Decider.PLANNER:
            self.session.report(messages.ClientLeft(0, now, name), now)

    # --- handing over

    def _hand_over(self, name: str, now: float) -> float:
        """Give an operation to the planner, else to the local scheduler; return when to try again."""
        pending, entry = self.table.operations.get(name), self.ledger.entries.get(name)
        if pending is None or entry is None or entry.verdict is not None:
            self.table.undecided.pop(name, None)
            return FOREVER
        if disposition_of(entry, now, joined=True, policy=self.policy) is not Disposition.OFFER:
            return FOREVER  # an attempt is in flight, or `_answer_overdue` answers it
        # Danger: counted only now, it would allow retries for longer than the budget's window lasts.
        pending.counted_in_budget = (
            pending.counted_in_budget or now > pending.accepted_at_ms + self.uncounted_after_ms
        )
        free_at_ms = self._attempts.free_at_ms(pending, now)
        if free_at_ms > now:
            return free_at_ms
        if self.session.is_open:
            if self.session.versions is None and self.version_of(pending.arrival)[0]:
                return FOREVER  # the planner's announcement, on its way, says whether it holds that version
            self._offer(name, pending, len(entry.attempts), now)
        elif self.local is not None:
            self._local_orders.take_over(pending, entry, now)
        else:
            return FOREVER
        if not pending.counted_in_budget:
            decider = self.session.decider if pending.decider is Decider.PLANNER else pending.decider
            self.session.history.add_accepted(decider, pending.accepted_at_ms)
        pending.counted_in_budget = True
        del self.table.undecided[name]
        return FOREVER

    def _offer(self, name: str, pending: PendingOperation, attempts: int, now: float) -> None:
        """Offer an operation to the planner, with units of its volume's limit."""
        self.table.assign(pending, Decider.PLANNER)
        arrival = pending.arrival
        leased_units = 0.0
        if self._leases is not None and self._leases.quota.is_limited(arrival.plan):
            demand = self._leases.demand_at_planner(arrival.volume, arrival.plan)
            leased_units = self._leases.lease_by_stamp(demand, self.session.stamped_at_ms, now)
        version, request_class, plan = self.version_of(arrival)
        if version and version not in (self.session.versions or ()):
            # Its planner changed to one that lacks the version: the settings' own rules decide it.
            version = ""
            self.version_fallbacks += 1
        waited_ms = arrival.waited_ms
        request = messages.Request(
            sequence=0,
            at_ms=now,
            operation=name,
            volume=arrival.volume,
            key=arrival.key[: messages.MAX_TEXT],
            units=arrival.units,
            deadline_ms=max(0.0, pending.deadline_ms - self.policy.answer_margin_ms),
            plan=plan,
            request_class=request_class,
            shard=arrival.shard,
            sharing_hosts=arrival.sharing_hosts,
            waited_ms=waited_ms if waited_ms < 0 else waited_ms + now - pending.accepted_at_ms,
            earlier_attempts=attempts,
            counted_in_budget=pending.counted_in_budget,
            leased_units=leased_units,
            stamp=self.session.stamp,
            rule_version=version,
        )
        self.session.report(request, now)

    def _lease_to_planner(self, now: float) -> None:
        if self._leases is None:
            return
        for demand in self._leases.demands(Decider.PLANNER):
            if units := self._leases.lease_by_stamp(demand, self.session.stamped_at_ms, now):
                # A plan's limit is the same in all versions; to the planner it goes by the settings' number.
                plan = demand.plan % (self.plans_per_version or demand.plan + 1)
                lease = messages.LimitLease(0, now, demand.volume, plan, units, self.session.stamp)
                self.session.report(lease, now)

    def _lease_to_local(self, now: float) -> None:
        if self._leases is None:
            return
        for demand in self._leases.demands(Decider.LOCAL):
            if units := self._leases.lease(demand, now):
                expires_at_ms = now + self._leases.duration_ms(demand.plan)
                self._local_orders.add_event(LimitLease(demand.volume, units, expires_at_ms))

    # --- deadlines

    def _answer_overdue(self, now: float, actions: list[Action]) -> float:
        """Answer what nobody decides about in time; return when to check again."""
        waiting: list[Entry] = []
        for name in list(self.table.operations):
            entry = self.ledger.entries.get(name)
            if entry is None or entry.verdict is not None:
                del self.table.operations[name]
                continue
            pending = self.table.operations[name]
            if pending.decider is Decider.LOCAL:
                continue  # its own answer comes, and the ledger stands behind it
            disposition = disposition_of(entry, now, joined=self.session.is_open, policy=self.policy)
            if disposition is Disposition.REJECT:
                since_ms = self.disconnected_since_ms if self.disconnected_since_ms is not None else now
                actions.append(Reject(name, retry_after_ms(since_ms, now, self.policy, self.random)))
            elif disposition is Disposition.FAIL and (
                pending.decider is Decider.NOBODY or entry.attempt_in_flight() is not None
            ):
                actions.append(Fail(name))
            else:
                waiting.append(entry)
                continue
            self.table.remove(name)
            if pending.decider is Decider.PLANNER and self.session.is_open:
                self.session.report(messages.ClientLeft(0, now, name), now)
        return next_check_ms(waiting, now, self.policy)


def settings_version(arrival: Arrival) -> tuple[str, int, int]:
    """Number classes and plans by the settings' own rules."""
    return "", arrival.request_class, arrival.plan
