"""The schedule of calls to discovery for the list of storage servers, retries included.  Pure.

`WatchSchedule` alone decides when to call.  The dispatcher counts as informed of a change 6 s after discovery
had it and could be reached, whichever calls failed, were rejected or were abandoned.  Discovery serves calls
in order and rejects one that waits for over 2 s.  The last 2 of the 6 s are therefore left for that queue:
when they begin, a call that can be answered has to be outstanding.

    call         meaning                             the next call
    answered     the list is as new as the answer    at once, to continue the watch
    failed       503, reset, refused or malformed    after a random pause that grows up to a sixth of the 6 s
    late         nothing was received                in parallel, at a time set when the late call started

The last line applies to every call: no failure, however late, postpones the next call beyond that time.
A watch may fail silently as its call begins: the call waits for half of the 6 s, a sixth is for detecting the
silence, and the rest is for the queue.  Times at which many dispatchers would act at once, for example after
a reset of all their watches, are randomized.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

CHANGE_DEADLINE_MS = 6000.0  # after it, a change that a reachable discovery has counts as known
MOVE_DEADLINE_MS = 4000.0  # the same after SIGHUP, for the new address
MAX_QUEUE_MS = 2000.0  # discovery rejects a call that would queue for longer
LIST_VALID_INTERVALS = 4  # intervals between calls for which a list counts as valid after a failed call
DEFAULT_INTERVAL_MS = 1000.0  # between two calls, where the settings name none


@dataclass(frozen=True, slots=True)
class Call:
    """One call to discovery; `wait_ms` is how long it may wait there for changes, 0 to answer at once."""

    number: int
    started_ms: float
    wait_ms: float

    @property
    def reply_due_ms(self) -> float:
        """When it must have been answered or rejected; a quarter of the queue time is added for transit."""
        return self.started_ms + self.wait_ms + MAX_QUEUE_MS * 1.25


@dataclass(frozen=True, slots=True)
class CallOrder:
    """Make `call` now, and cancel the calls whose numbers are in `abandoned`."""

    call: Call
    abandoned: tuple[int, ...]


class WatchSchedule:
    """Tracks the outstanding calls and how the last ones ended, and decides when the next one is made.

    All times are in milliseconds on one monotonic clock.
    """

    def __init__(
        self, now_ms: float, draw: Callable[[], float], *, ask_every_ms: float, pushed_grace_ms: float
    ) -> None:
        """`draw` returns random numbers in [0, 1).

        `ask_every_ms` is the settings' interval between two calls, 0 if they name none; `pushed_grace_ms` is
        the drain grace where lists are pushed, else 0.
        """
        self.draw = draw
        self.pushed_grace_ms = pushed_grace_ms
        valid_ms = (
            CHANGE_DEADLINE_MS
            if pushed_grace_ms
            else LIST_VALID_INTERVALS * (ask_every_ms or DEFAULT_INTERVAL_MS)
        )
        self.change_deadline_ms = min(CHANGE_DEADLINE_MS, valid_ms)
        self.due_ms = now_ms  # of the next call
        self.outstanding: dict[int, Call] = {}  # by number, in order of their starts; at most two
        self.failures = 0  # since the last answer
        self._call_count = 0
        self._awaits_new_address = False  # the address changed and the new one has not answered yet
        self._continues_watch = False  # the next call waits for changes

    @property
    def _deadline_ms(self) -> float:
        return (
            min(self.change_deadline_ms, MOVE_DEADLINE_MS)
            if self._awaits_new_address
            else self.change_deadline_ms
        )

    def next_call(self, now_ms: float) -> CallOrder | None:
        """Return the next call if it is due, else None.

        One late call stays outstanding beside it; where two are late, the older one is abandoned.
        """
        if now_ms < self.due_ms:
            return None
        abandoned: tuple[int, ...] = ()
        if len(self.outstanding) > 1:
            abandoned = (next(iter(self.outstanding)),)
            del self.outstanding[abandoned[0]]
        wait_ms = CHANGE_DEADLINE_MS / 2 if self._continues_watch else 0.0
        self._continues_watch = False
        self._call_count += 1
        call = self.outstanding[self._call_count] = Call(self._call_count, now_ms, wait_ms)
        self.due_ms = now_ms + self._parallel_call_delay_ms(wait_ms)
        if len(self.outstanding) > 1:
            # With a short deadline, each call would otherwise be abandoned while it is in discovery's queue.
            self.due_ms = max(self.due_ms, next(iter(self.outstanding.values())).reply_due_ms)
        return CallOrder(call, abandoned)

    def record_answer(self, number: int, now_ms: float) -> tuple[int, ...] | None:
        """Record a usable answer; return the numbers of the other calls, which have to be cancelled.

        None if the call was abandoned before, or its address replaced: its answer must be discarded.
        """
        if number not in self.outstanding:
            return None
        others = tuple(other for other in self.outstanding if other != number)
        self.outstanding = {}
        self.failures, self._awaits_new_address, self._continues_watch = 0, False, True
        self.due_ms = now_ms
        return others

    def record_failure(self, number: int, now_ms: float) -> bool:
        """Record that a call failed, for any reason; return whether no call is outstanding any more.

        False for a call that was abandoned before.
        """
        if number not in self.outstanding:
            return False
        is_latest = next(reversed(self.outstanding)) == number
        del self.outstanding[number]
        self.failures += 1
        if is_latest:
            # A call that fails just before it would be late must not postpone the next one.
            self.due_ms = min(self.due_ms, now_ms + self._retry_delay_ms())
        return not self.outstanding

    def record_move(self, now_ms: float) -> tuple[int, ...]:
        """Record a new discovery address, to be called at once; return the calls that must be cancelled."""
        others = tuple(self.outstanding)
        self.outstanding = {}
        self.failures, self._awaits_new_address, self._continues_watch = 0, True, False
        self.due_ms = now_ms
        return others

    def _retry_delay_ms(self) -> float:
        """Return how long after a failure the next call is made."""
        if self.pushed_grace_ms:
            # With pushed lists, the dispatcher counts as informed at once of what discovery learns when it is
            # back, so that a call has to be waiting there within the drain grace.
            return self.pushed_grace_ms / 2 * (1 + self.draw()) / 2
        longest_ms = self._deadline_ms / 6
        backoff_ms: float = longest_ms / 4 * (1 << min(self.failures - 1, 10))
        return min(longest_ms, backoff_ms) * (1 + 3 * self.draw()) / 4

    def _parallel_call_delay_ms(self, wait_ms: float) -> float:
        """Return how long after the start of a call a parallel one is made if it has not been answered."""
        if wait_ms:
            return wait_ms + CHANGE_DEADLINE_MS / 6 * (1 + self.draw()) / 2
        # Not while the call may be in discovery's queue, where the deadline leaves time for two queue waits:
        # a second place there is taken from another dispatcher.
        deadline_ms = self._deadline_ms
        return max(deadline_ms / 4, deadline_ms * 5 / 6 - MAX_QUEUE_MS) * (5 + self.draw()) / 6


def first_list_timeout_ms() -> float:
    """Return how long startup waits for the first list where lists are pushed."""
    return CHANGE_DEADLINE_MS / 2
