"""Whether a request may be tried again or rejected, by what may have run, and the budget of retries."""

from __future__ import annotations

from collections import deque

from cressrock.interface import DeduplicationScope, Idempotency, Node, RetryBudgetUsage, Settings
from cressrock.scheduler.request import Request


def may_retry(request: Request, settings: Settings, now_ms: float) -> bool:
    """Whether a further attempt can be lawful at all; when and where is looked at when it leaves."""
    margin_ms = 2 * settings.tick_ms
    if request.attempts >= settings.max_attempts or now_ms >= request.deadline_ms - margin_ms:
        return False
    kind = request.request_class
    if request.possible_run is None or kind.idempotency is Idempotency.ALWAYS:
        return True
    return kind.idempotency is Idempotency.KEYED and (
        now_ms < request.possible_run.sent_at_ms + kind.deduplication_window_ms - margin_ms
    )


def may_reject(request: Request) -> bool:
    """Whether a rejection is true: it promises that a new try is harmless.

    So nothing ran, or repeats are dropped wherever they go.
    """
    kind = request.request_class
    if kind.idempotency is Idempotency.ALWAYS or (request.possible_run is None and request.endpoint is None):
        return True
    return kind.idempotency is Idempotency.KEYED and kind.deduplication_scope is DeduplicationScope.ALL


def may_repeat_at(request: Request, node: Node) -> bool:
    """Whether this node drops a repeat of a keyed request that may have run elsewhere."""
    kind = request.request_class
    if request.possible_run is None or kind.idempotency is not Idempotency.KEYED:
        return True
    first = request.possible_run.node
    if kind.deduplication_scope is DeduplicationScope.SHARD:
        return node.shard == first.shard
    if kind.deduplication_scope is DeduplicationScope.ZONE:
        return node.zone == first.zone
    return True


class RetryBudget:
    """Retries of this host in a sliding window, held against a share of its requests.

    Retries count over a little more than the window, requests over a little less: no other clock's reading of
    the window can find more.
    """

    def __init__(self, settings: Settings, now_ms: float) -> None:
        """Begin without requests, where the settings say so with the free retries spent.

        What a former life of this host tried again just before its end is unknown.
        """
        self.window_ms = settings.budget_window_ms
        self.tick_ms = settings.tick_ms
        self.free = settings.budget_free
        self.share = settings.budget_share
        spent = -int(-settings.budget_free // 1) if settings.budget_begins_spent else 0  # rounded up
        self.retried_at_ms: deque[float] = deque([now_ms] * spent)
        self.arrived_at_ms: deque[float] = deque()

    def record_arrival(self, now_ms: float) -> None:
        """Count a request."""
        if self.window_ms:
            self.arrived_at_ms.append(now_ms)
            self._forget_passed(now_ms)

    def record_retry(self, now_ms: float) -> None:
        """Count a retry that was sent."""
        if self.window_ms:
            self.retried_at_ms.append(now_ms)

    def add_usage(self, usage: RetryBudgetUsage) -> None:
        """Count retries and requests that other deciders had."""
        self.retried_at_ms = deque(sorted((*self.retried_at_ms, *usage.retried_at_ms)))
        self.arrived_at_ms = deque(sorted((*self.arrived_at_ms, *usage.arrived_at_ms)))

    def allows_retry(self, now_ms: float) -> bool:
        """Whether one retry more is within the budget."""
        if not self.window_ms:
            return True
        self._forget_passed(now_ms)
        return len(self.retried_at_ms) + 1 <= self.free + self.share * len(self.arrived_at_ms)

    def _forget_passed(self, now_ms: float) -> None:
        retried, arrived = self.retried_at_ms, self.arrived_at_ms
        while retried and retried[0] < now_ms - self.window_ms - self.tick_ms:
            retried.popleft()
        while arrived and arrived[0] < now_ms - self.window_ms + self.tick_ms:
            arrived.popleft()
