"""The scheduler's facade; its settings, events and actions are defined in cressrock/interface.py.

It holds the state of one host, passes each event to the component responsible, sends requests, gives final
answers that are due and keeps one timer set.  It is deterministic: the time comes with each batch of events,
and randomness comes from the seed.
"""

from __future__ import annotations

import random

from cressrock.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    ClientLeft,
    Event,
    Fail,
    Idempotency,
    LimitLease,
    ListKind,
    Log,
    NodeList,
    Outcome,
    Reject,
    RetryBudgetUsage,
    Send,
    SetTimer,
    Settings,
    Subscribe,
)
from cressrock.scheduler.accounts import VolumeAccounts
from cressrock.scheduler.admission import Admission
from cressrock.scheduler.deadlines import Deadlines
from cressrock.scheduler.dispatch import Dispatch
from cressrock.scheduler.endpoints import INFINITY, Endpoint, Endpoints, NodeListPolling
from cressrock.scheduler.fair_queue import (
    COMPENSATION_PERIOD_MS,
    COMPENSATION_THRESHOLD_REQUESTS,
    IdleVolumes,
    ShardQueue,
)
from cressrock.scheduler.lost_attempts import LostAttempts
from cressrock.scheduler.ordering import KeyOrder
from cressrock.scheduler.placement import Placement
from cressrock.scheduler.request import MAY_STILL_RUN, NEVER_RAN, PossibleRun, Request
from cressrock.scheduler.retry import RetryBudget, may_reject, may_retry
from cressrock.scheduler.slow_start import SlowStart

RECHECK_INTERVAL_MS = 20.0  # timer interval while requests wait or attempts are outstanding
MIN_RETRY_AFTER_MS = COMPENSATION_PERIOD_MS
MAX_LOG_LINES = 100  # per scheduler


class Scheduler:
    """Makes one host's decisions: takes batches of events and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        """Start without nodes; the first node list comes as an event."""
        self.settings = settings
        self.now_ms = self.started_at_ms = now_ms
        self.random = random.Random(seed)
        self.actions: list[Action] = []
        self.requests: dict[str, Request] = {}
        self.accounts = VolumeAccounts(settings, now_ms)
        self.idle_volumes = IdleVolumes()
        self.endpoints = Endpoints(settings, self.random)
        self.queues: dict[int, ShardQueue] = {}  # by shard
        self.active_queues: dict[int, ShardQueue] = {}  # with waiting requests or a decaying compensation
        self.key_order = KeyOrder()
        self.deadlines = Deadlines(settings.tick_ms)
        self.retry_budget = RetryBudget(settings, now_ms)
        self.lost_attempts = LostAttempts()
        self.slow_start = SlowStart(settings, self.queues, now_ms)
        self.placement = Placement(self.queues, self.slow_start, self.random)
        self.polling = NodeListPolling(settings, self.random, now_ms)
        admission = Admission(settings, self.active_queues, self.retry_budget, self.key_order)
        self.dispatch = Dispatch(settings, admission, self.slow_start, self.lost_attempts)
        self.max_remaining_ms = [0.0 for _ in settings.classes]  # highest seen, by class
        self.timer_ms = INFINITY
        self.period_end_ms = now_ms + COMPENSATION_PERIOD_MS
        self.log_lines = 0

    def act(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Process a batch of events; return the actions: sends, final answers that are due and the timer."""
        self.now_ms = now_ms
        self.actions = []
        self._apply(events)
        for request in self.deadlines.expired(now_ms):
            self._give_final_answer(request)
        if now_ms >= self.period_end_ms:
            self._end_period()
        if now_ms >= self.polling.next_ms:
            self.actions.append(Subscribe())
            self.polling.record_request(now_ms)
        for endpoint in self.endpoints.active.values():
            if endpoint.in_flight:
                self._release_presumed_lost(endpoint)
        for queue in self.active_queues.values():
            if queue.waiting_count and queue.endpoint is not None:
                self._send_waiting(queue, queue.endpoint)
        self._set_timer()
        return self.actions

    def extend_tables(self, settings: Settings) -> None:
        """Switch to settings with more classes and plans; existing ones must keep their position."""
        self.settings = settings
        self.max_remaining_ms += [0.0] * (len(settings.classes) - len(self.max_remaining_ms))

    # --- events

    def _apply(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, Arrival):
                self._accept(event)
            elif isinstance(event, AttemptEnded):
                self._end_attempt(event)
            elif isinstance(event, NodeList):
                self._update_endpoints(event)
            elif isinstance(event, ClientLeft):
                self._handle_client_left(event)
            elif isinstance(event, LimitLease):
                self.accounts.lease(event.volume, self.now_ms).add_lease(event)
            elif isinstance(event, RetryBudgetUsage):
                self.retry_budget.add_usage(event)

    def _accept(self, arrival: Arrival) -> None:
        """Register a new request, schedule its deadline review and queue it at its shard."""
        now_ms = self.now_ms
        request_class = self.settings.classes[arrival.request_class]
        plan = self.settings.plans[arrival.plan]
        account = self.accounts.open(arrival.volume, plan, arrival.sharing_hosts)
        self.slow_start.arrived_units += arrival.units
        objective_ms = request_class.latency_objective_ms
        time_left_ms = arrival.remaining_ms
        waited_ms = self._waited_ms(arrival, objective_ms)
        objective_at_ms = now_ms + min(time_left_ms, objective_ms - waited_ms)
        request = Request(arrival, request_class, plan, account, objective_at_ms, now_ms)
        self.requests[arrival.request] = request
        if not arrival.counted_in_budget:
            self.retry_budget.record_arrival(now_ms)
        if request_class.ordered and arrival.key:
            self.key_order.add(request)
        self.deadlines.schedule_review(request, now_ms)
        self._queue(request)

    def _waited_ms(self, arrival: Arrival, objective_ms: float) -> float:
        """Return how long the request's user has already waited.

        If the caller does not know, a client's later try is recognized by its shorter remaining time.  A
        remaining time of no more than the objective is taken for an impatient client's first try instead,
        which has its full worth until the client leaves.
        """
        time_left_ms, index = arrival.remaining_ms, arrival.request_class
        max_remaining_ms = self.max_remaining_ms[index] = max(self.max_remaining_ms[index], time_left_ms)
        if arrival.waited_ms >= 0:
            return arrival.waited_ms
        return max_remaining_ms - time_left_ms if time_left_ms > objective_ms else 0.0

    def _queue(self, request: Request) -> None:
        """Queue a request at its data's shard, a new object at the shard with the lowest expected delay."""
        shard = request.arrival.shard
        if request.possible_run is not None:
            shard = request.possible_run.node.shard
        if shard < 0:
            shard = self.placement.choose_shard(self.now_ms)
        queue = self.queues.get(shard)
        if queue is None:
            queue = self.queues[shard] = ShardQueue(self.idle_volumes)
        queue.add(request)
        self.active_queues[shard] = queue

    def _end_attempt(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or request.endpoint is None or event.attempt != request.attempts - 1:
            return
        now_ms, endpoint, outcome = self.now_ms, request.endpoint, event.outcome
        request.endpoint = None
        if endpoint.release_attempt(request, now_ms):
            self.lost_attempts.adapt(outcome)
        if endpoint.record_outcome(request, outcome, event.latency_ms, self.random, now_ms):
            name = endpoint.list_entry.name
            self._log(f"scheduler.endpoint_ejected endpoint={name} outcome={outcome.name.lower()}")
        if outcome in MAY_STILL_RUN and request.request_class.ordered:
            self.key_order.pause(request, now_ms + self.settings.order_settle_ms)
        if outcome not in NEVER_RAN and request.possible_run is None:
            request.possible_run = PossibleRun(request.sent_at_ms, endpoint.list_entry)
        queue = self.queues.get(endpoint.list_entry.shard)
        if queue is not None:
            self.active_queues[endpoint.list_entry.shard] = queue
            served = request.units if outcome is Outcome.OK else 0
            queue.volume(request.arrival.volume).served_units += event.units_elsewhere + served
        request.account.settle(request, event.charged, now_ms)
        if event.settled or request.answered or outcome is Outcome.OK:
            request.answered = True
            self._drop_finished(request)
        elif not may_retry(request, self.settings, now_ms):
            self._give_final_answer(request)
        else:
            self._retry(request)

    def _retry(self, request: Request) -> None:
        """Queue a request again; the deadline of a keyed one must not exceed the deduplication window."""
        if request.possible_run is not None and request.request_class.idempotency is Idempotency.KEYED:
            window_ms = request.request_class.deduplication_window_ms
            repeat_until_ms = request.possible_run.sent_at_ms + window_ms
            if repeat_until_ms < request.deadline_ms:
                request.deadline_ms = repeat_until_ms
                self.deadlines.schedule_review(request, self.now_ms)
        self._queue(request)

    def _handle_client_left(self, event: ClientLeft) -> None:
        request = self.requests.get(event.request)
        if request is None or request.answered:
            return
        self._remove_from_queue(request)
        request.answered = True
        if request.endpoint is not None and self.settings.may_cancel:
            # Lets a node skip the work if it drops cancelled requests from its queue.
            self.actions.append(Cancel(event.request, request.attempts - 1))
        self._drop_finished(request)

    def _update_endpoints(self, report: NodeList) -> None:
        if report.kind is ListKind.FAILED:
            self.polling.record_failure(self.now_ms)
            return
        self.polling.record_report(report.kind)
        self.endpoints.update(report)
        self.endpoints.assign(self.queues, self.idle_volumes)
        # New objects waiting at a shard without an endpoint can be placed elsewhere.
        for queue in list(self.queues.values()):
            if queue.endpoint is None and queue.waiting_count:
                for request in queue.waiting_requests():
                    if request.arrival.shard < 0 and request.possible_run is None:
                        self._remove_from_queue(request)
                        self._queue(request)

    # --- final answers

    def _give_final_answer(self, request: Request) -> None:
        name, retry_after_ms = request.arrival.request, self._retry_after_ms(request)
        self._remove_from_queue(request)
        request.answered = True
        self.actions.append(Reject(name, retry_after_ms) if may_reject(request) else Fail(name))
        self._drop_finished(request)

    def _retry_after_ms(self, request: Request) -> float:
        """Return the ms until the queue should be empty and the limit refilled, for a rejected client."""
        queue, plan, account = request.queue, request.plan, request.account
        if queue is None or queue.endpoint is None:
            return 0.0
        endpoint = queue.endpoint
        wait_ms = queue.waiting_count * endpoint.current_delay_ms(self.now_ms) / endpoint.limit.window
        if plan.limit_rate and not request.charged:
            account.refill(plan, self.now_ms)
            missing_units = request.units - account.limit
            wait_ms = max(wait_ms, missing_units * 1000 * account.sharing_hosts / plan.limit_rate)
        return min(self.settings.advice_max_ms, max(MIN_RETRY_AFTER_MS, wait_ms))

    @staticmethod
    def _remove_from_queue(request: Request) -> None:
        if request.queue is not None:
            request.queue.remove(request)

    def _drop_finished(self, request: Request) -> None:
        """Drop a finished request; one with an outstanding attempt is kept until the attempt ends."""
        if request.endpoint is not None:
            return
        if self.requests.pop(request.arrival.request, None) is not None:
            self.accounts.close(request.arrival.volume, self.now_ms)
        if request.request_class.ordered:
            self.key_order.remove(request)

    # --- sending

    def _send_waiting(self, queue: ShardQueue, endpoint: Endpoint) -> None:
        now_ms, dispatch = self.now_ms, self.dispatch
        while queue.waiting_count and dispatch.has_free_slot(endpoint, now_ms):
            request = dispatch.next_request(queue, endpoint, now_ms)
            if request is None:
                break
            self._send(queue, endpoint, request)

    def _send(self, queue: ShardQueue, endpoint: Endpoint, request: Request) -> None:
        now_ms, account, name = self.now_ms, request.account, request.arrival.request
        reserved = account.is_reserved(request, now_ms)
        queue.record_sent(request, reserved)
        if reserved:
            account.reserve -= request.units
        queue.remove(request)
        if request.attempts:
            self.retry_budget.record_retry(now_ms)
        account.charge(request)
        request.attempts += 1
        request.endpoint = endpoint
        request.sent_at_ms = endpoint.last_sent_ms = now_ms
        endpoint.in_flight[name] = request
        self.endpoints.active[endpoint.list_entry.name] = endpoint
        self.actions.append(Send(name, endpoint.list_entry.name))

    def _release_presumed_lost(self, endpoint: Endpoint) -> None:
        """Free the slots of attempts presumed lost; cancel those that a retry could complete in time."""
        settings, now_ms = self.settings, self.now_ms
        for request in self.lost_attempts.release(endpoint, now_ms):
            if request.answered or not settings.may_cancel or request.attempts >= settings.max_attempts:
                continue
            if request.request_class.idempotency is Idempotency.NEVER:
                continue
            in_time = now_ms + endpoint.limit.expected_ms(request) < request.objective_at_ms
            if in_time and self.retry_budget.allows_retry(now_ms):
                self.actions.append(Cancel(request.arrival.request, request.attempts - 1))

    # --- timers

    def _end_period(self) -> None:
        """Update the compensation of volumes (ASFQ's feedback) and decay the estimates of idle endpoints."""
        self.period_end_ms = self.now_ms + COMPENSATION_PERIOD_MS
        self.key_order.drop_unused(self.now_ms)
        self.endpoints.end_period()
        threshold_units = COMPENSATION_THRESHOLD_REQUESTS * self.settings.usual_units
        for shard, queue in list(self.active_queues.items()):
            queue.compensate(threshold_units)
            if queue.is_inactive:
                del self.active_queues[shard]

    def _set_timer(self) -> None:
        """Set one timer for the next deadline review, list request or recheck of waiting requests."""
        wake_at_ms = min(self.polling.next_ms, self.deadlines.next_ms)
        if self._has_work():
            wake_at_ms = min(wake_at_ms, self.now_ms + RECHECK_INTERVAL_MS)
        if wake_at_ms < self.timer_ms or self.timer_ms <= self.now_ms:
            self.timer_ms = wake_at_ms
            if wake_at_ms < INFINITY:
                self.actions.append(SetTimer(max(wake_at_ms, self.now_ms), self.deadlines.push_count))

    def _has_work(self) -> bool:
        for queue in self.active_queues.values():
            if queue.waiting_count:
                return True
        for endpoint in self.endpoints.active.values():
            if endpoint.in_flight:
                return True
        return False

    def _log(self, text: str) -> None:
        if self.log_lines < MAX_LOG_LINES:
            self.log_lines += 1
            self.actions.append(Log(text))
