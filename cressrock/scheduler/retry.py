"""Whether a request may be retried or rejected, given that an attempt may have run, and the retry budget."""

from __future__ import annotations

from collections import deque

from cressrock.interface import DeduplicationScope, Idempotency, Node, RetryBudgetUsage, Settings
from cressrock.scheduler.request import Request


def may_retry(request: Request, settings: Settings, now_ms: float) -> bool:
    """Return whether the rules permit a further attempt; its time and node are checked before sending."""
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
    """Return whether the request may be rejected, which tells the client that a new try is safe.

    That holds if repeats are harmless, no attempt may have run, or every node drops repeats.
    """
    kind = request.request_class
    if kind.idempotency is Idempotency.ALWAYS or (request.possible_run is None and request.endpoint is None):
        return True
    return kind.idempotency is Idempotency.KEYED and kind.deduplication_scope is DeduplicationScope.ALL


def may_repeat_at(request: Request, node: Node) -> bool:
    """Return whether a request may be sent to this node, given that it may have run on another one.

    A keyed request may if the node drops its repeats.
    """
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
    """Limits this host's retries in a sliding window to a share of its requests.

    Retries are counted over one tick more than the window and requests over one tick less, so that a window
    measured by another clock never contains more retries than allowed.
    """

    def __init__(self, settings: Settings, now_ms: float) -> None:
        """Start without requests; if the settings say so, with the free retries already spent.

        The host may have used them just before it restarted.
        """
        self.window_ms = settings.budget_window_ms
        self.tick_ms = settings.tick_ms
        self.free = settings.budget_free
        self.share = settings.budget_share
        spent = -int(-settings.budget_free // 1) if settings.budget_begins_spent else 0  # rounded up
        self.retried_at_ms: deque[float] = deque([now_ms] * spent)
        self.arrived_at_ms: deque[float] = deque()

    def record_arrival(self, now_ms: float) -> None:
        """Count an arrived request towards the budget."""
        if self.window_ms:
            self.arrived_at_ms.append(now_ms)
            self._drop_expired(now_ms)

    def record_retry(self, now_ms: float) -> None:
        """Count a sent retry against the budget."""
        if self.window_ms:
            self.retried_at_ms.append(now_ms)

    def add_usage(self, usage: RetryBudgetUsage) -> None:
        """Count retries and requests that other schedulers handled."""
        self.retried_at_ms = deque(sorted((*self.retried_at_ms, *usage.retried_at_ms)))
        self.arrived_at_ms = deque(sorted((*self.arrived_at_ms, *usage.arrived_at_ms)))

    def allows_retry(self, now_ms: float) -> bool:
        """Return whether one more retry is within the budget."""
        if not self.window_ms:
            return True
        self._drop_expired(now_ms)
        return len(self.retried_at_ms) + 1 <= self.free + self.share * len(self.arrived_at_ms)

    def _drop_expired(self, now_ms: float) -> None:
        retried, arrived = self.retried_at_ms, self.arrived_at_ms
        while retried and retried[0] < now_ms - self.window_ms - self.tick_ms:
            retried.popleft()
        while arrived and arrived[0] < now_ms - self.window_ms + self.tick_ms:
            arrived.popleft()
