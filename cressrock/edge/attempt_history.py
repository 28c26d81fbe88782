"""History of requests and retries within the retry budget's window, reported to the next decider.  No I/O.

The retry budget is a fraction of the requests accepted within a time window.  Without this report, two
consecutive deciders can each respect the budget and still exceed it together: the requests that allowed the
first decider's retries leave the window before those retries do.  Therefore a new decider receives both.
Each record is reported once to each decider, and a decider never receives records that it counted itself.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass

MAX_REPORTED_RECORDS = 8192  # records of each kind in one report, which has to fit in one frame of the link
MAX_TRACKED_DECIDERS = 64  # deciders for which the position of the last report is remembered


@dataclass(frozen=True, slots=True)
class _Record:
    number: int
    at_ms: float
    decider: Hashable


@dataclass(frozen=True, slots=True)
class Unreported:
    """Times (ms) of other deciders' retries and requests that have not been reported to a decider yet."""

    retried_at_ms: tuple[float, ...]
    accepted_at_ms: tuple[float, ...]


class AttemptHistory:
    """One edge's retries and accepted requests.  Any unique hashable value identifies a decider."""

    def __init__(self, window_ms: float) -> None:
        """Start empty.  `window_ms` is the retry budget's window; 0: no budget, and nothing is kept."""
        self.window_ms = window_ms
        self._newest_number = 0
        self._retries: deque[_Record] = deque()
        self._accepted: deque[_Record] = deque()
        # The number of the newest reported record, by decider.
        self._reported: OrderedDict[Hashable, int] = OrderedDict()

    def add_retry(self, decider: Hashable, now_ms: float) -> None:
        """Record a retry that a decider ordered at `now_ms`."""
        self._add(self._retries, decider, now_ms)

    def add_accepted(self, decider: Hashable, now_ms: float) -> None:
        """Record a request, accepted at `now_ms`, that a decider counts in its retry budget."""
        self._add(self._accepted, decider, now_ms)

    def _add(self, records: deque[_Record], decider: Hashable, now_ms: float) -> None:
        if not self.window_ms:
            return
        self._newest_number += 1
        records.append(_Record(self._newest_number, now_ms, decider))
        while records[0].at_ms < now_ms - self.window_ms - 1:
            records.popleft()

    def drain_unreported(self, decider: Hashable, now_ms: float) -> Unreported:
        """Return what other deciders recorded within the window since the last call for this decider."""
        last_reported, oldest_ms = self._reported.pop(decider, 0), now_ms - self.window_ms - 1
        self._reported[decider] = self._newest_number
        if len(self._reported) > MAX_TRACKED_DECIDERS:
            self._reported.popitem(last=False)
        return Unreported(
            self._times_by_others(self._retries, decider, last_reported, oldest_ms),
            self._times_by_others(self._accepted, decider, last_reported, oldest_ms),
        )

    @staticmethod
    def _times_by_others(
        records: deque[_Record], decider: Hashable, last_reported: int, oldest_ms: float
    ) -> tuple[float, ...]:
        times = [
            record.at_ms
            for record in records
            if record.number > last_reported and record.decider != decider and record.at_ms >= oldest_ms
        ]
        # The oldest are dropped.  A dropped request only lowers the budget; a dropped retry is one of those
        # that would leave the window first.
        return tuple(times[-MAX_REPORTED_RECORDS:])
