"""The edge's decision module: forwards events to the planner, executes its grants, and uses the edge's local
scheduler while there is no planner.  No I/O; the driver uses it in place of a scheduler.

Each pending operation has one decider at a time: the planner of the current session, this edge's local
scheduler, or nobody.  It is handed over only while none of its attempts is in flight, together with the
number of earlier attempts and whether a retry budget has already counted it.  The local scheduler can work
without coordinating with other hosts:

- limits: it uses units of this edge's own quota, which the edge leases to the decider (`edge/limit_leases`);
- nodes in warm-up: its settings make the local scheduler send them nothing;
- the retry budget: it gets no free attempts, only a fraction of the operations that came through this edge; a
  new decider receives what was accepted and retried before (`edge/attempt_history`);
- order: an operation waits while another decider's attempt holds or still blocks its key (`edge/ordering`);
- one answer, no repeated effect, draining nodes: the ledger enforces these as it does with a planner.
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

NEVER_MS = float("inf")


class EdgeDecisions:
    """Pending operations, the current session with a planner, and the decider of each operation.

    `outbox` holds events for the planner; the connection sends as many as the planner's credit allows.
    """

    def __init__(
        self,
        ledger: Ledger,
        policy: DisconnectedPolicy,
        rng: random.Random,
        *,
        ordering: KeyOrdering | None = None,
        local: DecisionModule | None = None,
        quota: EdgeQuota | None = None,
        max_outbox_events: int = 100000,
        clock_report_interval_ms: float = 100.0,
        uncounted_after_ms: float = 0.0,
        budget_window_ms: float = 0.0,
    ) -> None:
        """Start without a planner.

        While operations are pending, the planner receives this edge's clock at least every
        `clock_report_interval_ms`.  An operation handed over more than `uncounted_after_ms` after it was
        accepted is counted in no retry budget; `budget_window_ms` is that budget's window.
        """
        self.uncounted_after_ms = uncounted_after_ms
        self.ledger = ledger
        self.policy = policy
        self.rng = rng
        self.ordering = ordering
        self.local = local
        self.quota = quota
        self.table = OperationTable(ledger)
        self.grants = GrantFence(ledger)
        self.outbox = Outbox(max_outbox_events, uncounted_after_ms)
        self.session = PlannerSession(
            self.grants, self.outbox, AttemptHistory(budget_window_ms), clock_report_interval_ms
        )
        self.disconnected_since_ms: float | None = 0.0
        self._attempts = AttemptTracker(self.table, self.session, ordering, quota)
        self._leases = LimitLeases(quota, self.table) if quota is not None else None
        self._planner_orders = PlannerOrders(self.table, self.session, self._attempts)
        self._local_orders = LocalOrders(local, self.table, self._attempts)
        self.knows_versions = False  # whether classes and plans are numbered per rule version
        self.plans_per_version = 0  # 0: there is only one rule version
        # Returns an arrival's rule version, with its class and plan as numbered in that version.
        self.version_of = default_rule_version
        self.version_fallbacks = 0  # operations offered to a planner that does not hold their rule version

    @property
    def operations(self) -> dict[str, PendingOperation]:
        """Operations without a final answer, by name."""
        return self.table.operations

    # --- called by the link

    def planner_joined(self, planner: str, epoch: int, now_ms: float, *, versioned: bool = False) -> bool:
        """Enter a planner's epoch and offer it the operations that it may decide about.

        Returns False, and changes nothing, if this edge has seen a later epoch of that planner.  `versioned`:
        the planner will announce which rule versions it holds.
        """
        if not self.session.enter(planner, epoch, now_ms, versioned=versioned):
            return False
        self.disconnected_since_ms = None
        self._revoke_operations()
        self.session.report_history(now_ms)
        for name in list(self.table.undecided):
            self._hand_over(name, now_ms)
        return True

    def planner_lost(self, now_ms: float) -> None:
        """End the session with the planner: from now on no grant is valid and no event is sent."""
        if self.disconnected_since_ms is None:
            self.disconnected_since_ms = now_ms
        self.session.leave()
        self._revoke_operations()
        unreported = self.session.history.drain_unreported(Decider.LOCAL, now_ms)
        if unreported.retried_at_ms or unreported.accepted_at_ms:
            usage = RetryBudgetUsage(unreported.retried_at_ms, unreported.accepted_at_ms)
            self._local_orders.add_event(usage)

    def _revoke_operations(self) -> None:
        for name in self.table.revoke_all():
            self._local_orders.add_event(ClientLeft(name))

    def decides(self, version: str) -> bool:
        """Return whether a request that arrives now would be decided under this rule version."""
        if not self.session.is_open:
            return self.local is not None
        return self.session.versions is not None and version in self.session.versions

    def receive_order(self, planner: str, order: messages.PlannerOrder) -> None:
        """Queue an order for the next batch, which executes it if it is still valid."""
        self.session.receive_order(planner, order)

    def tick(self, now_ms: float) -> None:
        """Report this edge's clock, by which grants expire, to the planner while operations are pending."""
        if self.next_tick_ms() > now_ms:
            return
        self._lease_to_planner(now_ms)
        if not self.outbox:
            self.session.report(messages.EdgeClock(0, now_ms), now_ms)

    def next_tick_ms(self) -> float:
        """Return when (ms) `tick` has to send next; infinity without pending operations or a planner."""
        return self.session.next_tick_ms() if self.table.operations else NEVER_MS

    # --- called by the driver

    def act(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process a batch of events and return the actions to execute, as a scheduler does."""
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
        wake_at_ms = NEVER_MS
        for name in list(self.table.undecided):
            wake_at_ms = min(wake_at_ms, self._hand_over(name, now_ms))
        if not self.session.is_open:
            self._lease_to_local(now_ms)
        self._local_orders.execute(now_ms, actions)
        wake_at_ms = min(wake_at_ms, self._answer_overdue(now_ms, actions))
        if wake_at_ms < NEVER_MS:
            actions.append(SetTimer(wake_at_ms, EDGE_TIMER))
        return actions

    def _attempt_ended(self, event: AttemptEnded, now_ms: float) -> None:
        """Report an attempt's outcome to its decider; queue an operation without one for hand-over."""
        name, pending = event.request, self.table.operations.get(event.request)
        attempt = self._attempts.record_outcome(event, now_ms)
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
                        at_ms=now_ms,
                        operation=name,
                        attempt=number,
                        outcome=event.outcome.value,
                        settled=event.settled,
                        latency_ms=event.latency_ms,
                        reported_usage=event.reported_usage,
                        units_elsewhere=event.units_elsewhere,
                    ),
                    now_ms,
                )
        if event.settled:
            self.table.remove(name)
        elif pending is not None and pending.decider is Decider.NOBODY:
            # The attempt was in flight when the decider changed; only now can the operation be handed over.
            self.table.undecided[name] = None

    def _client_left(self, name: str, now_ms: float) -> None:
        pending = self.table.remove(name)
        if pending is not None and pending.decider is Decider.LOCAL:
            self._local_orders.add_event(ClientLeft(name))
        elif pending is not None and pending.decider is Decider.PLANNER:
            self.session.report(messages.ClientLeft(0, now_ms, name), now_ms)

    # --- hand-over

    def _hand_over(self, name: str, now_ms: float) -> float:
        """Hand an operation to the planner, or else to the local scheduler; return when (ms) to try again."""
        pending, entry = self.table.operations.get(name), self.ledger.entries.get(name)
        if pending is None or entry is None or entry.verdict is not None:
            self.table.undecided.pop(name, None)
            return NEVER_MS
        if disposition_of(entry, now_ms, connected=True, policy=self.policy) is not Disposition.OFFER:
            return NEVER_MS  # an attempt is in flight, or `_answer_overdue` will answer
        # An operation counted this late would allow retries after its budget window has passed.
        pending.counted_in_budget = (
            pending.counted_in_budget or now_ms > pending.accepted_at_ms + self.uncounted_after_ms
        )
        earliest_start_ms = self._attempts.earliest_start_ms(pending, now_ms)
        if earliest_start_ms > now_ms:
            return earliest_start_ms
        if self.session.is_open:
            if self.session.versions is None and self.version_of(pending.arrival)[0]:
                return NEVER_MS  # wait for the planner to announce which rule versions it holds
            self._offer(name, pending, len(entry.attempts), now_ms)
        elif self.local is not None:
            self._local_orders.take_over(pending, entry, now_ms)
        else:
            return NEVER_MS
        if not pending.counted_in_budget:
            decider = self.session.decider if pending.decider is Decider.PLANNER else pending.decider
            self.session.history.add_accepted(decider, pending.accepted_at_ms)
        pending.counted_in_budget = True
        del self.table.undecided[name]
        return NEVER_MS

    def _offer(self, name: str, pending: PendingOperation, attempts: int, now_ms: float) -> None:
        """Offer an operation to the planner, together with leased units of its volume's limit."""
        self.table.assign(pending, Decider.PLANNER)
        arrival = pending.arrival
        leased_units = 0.0
        if self._leases is not None and self._leases.quota.is_limited(arrival.plan):
            demand = self._leases.demand_at_planner(arrival.volume, arrival.plan)
            leased_units = self._leases.lease_if_stamp_is_recent(
                demand, self.session.stamp_received_ms, now_ms
            )
        version, request_class, plan = self.version_of(arrival)
        if version and version not in (self.session.versions or ()):
            # The new planner does not hold this rule version, so the rules of the settings apply.
            version = ""
            self.version_fallbacks += 1
        waited_ms = arrival.waited_ms
        request = messages.Request(
            sequence=0,
            at_ms=now_ms,
            operation=name,
            volume=arrival.volume,
            key=arrival.key[: messages.MAX_TEXT_CHARS],
            units=arrival.units,
            deadline_ms=max(0.0, pending.deadline_ms - self.policy.answer_margin_ms),
            plan=plan,
            request_class=request_class,
            shard=arrival.shard,
            sharing_hosts=arrival.sharing_hosts,
            waited_ms=waited_ms if waited_ms < 0 else waited_ms + now_ms - pending.accepted_at_ms,
            earlier_attempts=attempts,
            counted_in_budget=pending.counted_in_budget,
            leased_units=leased_units,
            stamp=self.session.stamp,
            rule_version=version,
        )
        self.session.report(request, now_ms)

    def _lease_to_planner(self, now_ms: float) -> None:
        if self._leases is None:
            return
        for demand in self._leases.demands(Decider.PLANNER):
            if units := self._leases.lease_if_stamp_is_recent(demand, self.session.stamp_received_ms, now_ms):
                # A plan has the same limit in all rule versions; the planner uses the settings' number.
                plan = demand.plan % (self.plans_per_version or demand.plan + 1)
                lease = messages.LimitLease(0, now_ms, demand.volume, plan, units, self.session.stamp)
                self.session.report(lease, now_ms)

    def _lease_to_local(self, now_ms: float) -> None:
        if self._leases is None:
            return
        for demand in self._leases.demands(Decider.LOCAL):
            if units := self._leases.lease(demand, now_ms):
                expires_at_ms = now_ms + self._leases.duration_ms(demand.plan)
                self._local_orders.add_event(LimitLease(demand.volume, units, expires_at_ms))

    # --- deadlines

    def _answer_overdue(self, now_ms: float, actions: list[Action]) -> float:
        """Answer operations that no decider answered in time; return when (ms) to check again."""
        waiting: list[Entry] = []
        for name in list(self.table.operations):
            entry = self.ledger.entries.get(name)
            if entry is None or entry.verdict is not None:
                del self.table.operations[name]
                continue
            pending = self.table.operations[name]
            if pending.decider is Decider.LOCAL:
                continue  # the local scheduler answers it, and the ledger enforces the deadline
            disposition = disposition_of(entry, now_ms, connected=self.session.is_open, policy=self.policy)
            if disposition is Disposition.REJECT:
                since_ms = self.disconnected_since_ms if self.disconnected_since_ms is not None else now_ms
                actions.append(Reject(name, retry_after_ms(since_ms, now_ms, self.policy, self.rng)))
            elif disposition is Disposition.FAIL and (
                pending.decider is Decider.NOBODY or entry.attempt_in_flight() is not None
            ):
                actions.append(Fail(name))
            else:
                waiting.append(entry)
                continue
            self.table.remove(name)
            if pending.decider is Decider.PLANNER and self.session.is_open:
                self.session.report(messages.ClientLeft(0, now_ms, name), now_ms)
        return next_check_ms(waiting, now_ms, self.policy)


def default_rule_version(arrival: Arrival) -> tuple[str, int, int]:
    """Return the rule version "" of the settings, and the arrival's class and plan as numbered there."""
    return "", arrival.request_class, arrival.plan
