"""Remembers the attempts of each idempotency key, across all operations that use it.  Does no I/O.

A client that retries with the same key starts a new operation with a full deduplication window, while the
nodes count the window from the first attempt.  Without this memory, a late attempt of the second operation
would run the work again.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

from cressrock.interface import Idempotency, RequestClass

if TYPE_CHECKING:
    from cressrock.dispatch.ledger import Attempt

DEFAULT_KEEP_MS = 60000.0
DEFAULT_MAX_KEYS = 100000


class IdempotencyKeys:
    """The attempts of each key that may have run, each key for `keep_ms` and while an operation has it.

    It has room for `max_keys` keys, those of open operations included.  No key makes room for another before
    its time, since a repeat of a forgotten key would be sent as new work.  Times are milliseconds on the
    caller's monotonic clock.  An attempt stops counting as soon as its outcome proves that it never ran.
    """

    def __init__(self, *, keep_ms: float = DEFAULT_KEEP_MS, max_keys: int = DEFAULT_MAX_KEYS) -> None:
        """Start empty."""
        self.keep_ms = keep_ms
        self.max_keys = max_keys
        # By key, in the order of their first attempts; the attempts of a key in the order they were sent.
        self._attempts: OrderedDict[str, list[Attempt]] = OrderedDict()
        self._open_operations: Counter[str] = Counter()  # by key

    def __len__(self) -> int:
        """Return the number of keys with attempts, expired ones included until the next `open`."""
        return len(self._attempts)

    def open(self, key: str, now_ms: float) -> bool:
        """Set room aside for the key of an operation that is accepted; False if there is none."""
        self._expire(now_ms)
        is_known = key in self._attempts or key in self._open_operations
        if not is_known and len(self._attempts) + len(self._open_operations) >= self.max_keys:
            return False
        self._open_operations[key] += 1
        return True

    def close(self, key: str) -> None:
        """End an operation that `open` accepted; its key stays if an attempt may have run."""
        self._open_operations[key] -= 1
        if not self._open_operations[key]:
            del self._open_operations[key]

    def first_run(self, key: str, now_ms: float, *, excluding: Collection[Attempt] = ()) -> Attempt | None:
        """Return the earliest attempt with the key that may have run, leaving out those in `excluding`.

        None if there is none, or if it expired.
        """
        for attempt in self._attempts.get(key, ()):
            if attempt.may_have_run and not any(attempt is excluded for excluded in excluding):
                return attempt if self._is_current(key, attempt, now_ms) else None
        return None

    def may_have_run(self, key: str) -> bool:
        """Whether an attempt with the key may have run, as far as any is remembered."""
        return any(attempt.may_have_run for attempt in self._attempts.get(key, ()))

    def record_sent(self, key: str, attempt: Attempt) -> None:
        """Record that an attempt of an open operation with the key was sent."""
        attempts = self._attempts.setdefault(key, [])
        attempts[:] = [earlier for earlier in attempts if earlier.may_have_run]
        is_first_settled = bool(attempts) and attempts[0].outcome is not None
        if not is_first_settled:  # else the first one counts whatever becomes of later ones
            attempts.append(attempt)

    def record_outcome(self, key: str) -> None:
        """Discard the attempts with the key whose outcome proves that they never ran."""
        attempts = self._attempts.get(key)
        if attempts is None:
            return
        attempts[:] = [attempt for attempt in attempts if attempt.may_have_run]
        if not attempts:
            del self._attempts[key]

    def _is_current(self, key: str, attempt: Attempt, now_ms: float) -> bool:
        # An open operation may be held for longer than `keep_ms` and sent then.
        return self._is_recent(attempt, now_ms) or key in self._open_operations

    def _is_recent(self, attempt: Attempt, now_ms: float) -> bool:
        return now_ms - attempt.sent_at_ms <= self.keep_ms

    def _expire(self, now_ms: float) -> None:
        still_open = {}
        while self._attempts:
            key, attempts = next(iter(self._attempts.items()))
            if self._is_recent(attempts[0], now_ms):
                break
            del self._attempts[key]
            if key in self._open_operations:
                still_open[key] = attempts
        self._attempts.update(still_open)  # at the end, so that they do not hide others that expire


def shortest_safe_keep_ms(classes: Iterable[RequestClass]) -> float:
    """Return for how long (ms) a key must be kept so that no client's retry comes behind its end.

    A client makes all its tries within its class's deadline, and one that arrives at the end of the window
    may be held here for as long again.
    """
    return max(
        (
            one.deadline_ms + max(one.deadline_ms, one.deduplication_window_ms)
            for one in classes
            if one.idempotency is Idempotency.KEYED
        ),
        default=0.0,
    )
