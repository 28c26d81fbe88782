"""What an edge accepted and retried within the retry budget's window, for the next decider.  Pure.

The retry budget is a share of what was accepted within a window.  Danger: two deciders one after another,
each within it at its own times, are not within it together: the requests that allowed the former's retries
leave the window before these retries do.  So whoever takes over is told of both.  Each line is reported once
to each decider, and never what it has counted itself.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass

MAX_REPORTED = 8192  # lines of each kind: they fit a frame of the link
MAX_DECIDERS = 64  # of which it is remembered what was reported to them


@dataclass(frozen=True, slots=True)
class _Line:
    number: int
    at_ms: float
    decider: Hashable


@dataclass(frozen=True, slots=True)
class Unreported:
    """When others' retries were made and requests accepted, as far as a decider has not been told."""

    retried_at_ms: tuple[float, ...]
    accepted_at_ms: tuple[float, ...]


class AttemptHistory:
    """One edge's retries and requests.  A decider is named by any hashable value that is its own."""

    def __init__(self, window_ms: float) -> None:
        """Start with no requests.  `window_ms` is the budget's; 0: there is no budget and nothing is kept."""
        self.window_ms = window_ms
        self._newest_number = 0
        self._retries: deque[_Line] = deque()
        self._accepted: deque[_Line] = deque()
        self._reported: OrderedDict[Hashable, int] = OrderedDict()  # newest line, by decider

    def add_retry(self, decider: Hashable, now: float) -> None:
        """Enter a retry that a decider ordered."""
        self._add(self._retries, decider, now)

    def add_accepted(self, decider: Hashable, now: float) -> None:
        """Enter a request that a decider counts."""
        self._add(self._accepted, decider, now)

    def _add(self, lines: deque[_Line], decider: Hashable, now: float) -> None:
        if not self.window_ms:
            return
        self._newest_number += 1
        lines.append(_Line(self._newest_number, now, decider))
        while lines[0].at_ms < now - self.window_ms - 1:
            lines.popleft()

    def drain_unreported(self, decider: Hashable, now: float) -> Unreported:
        """Return what others did within the window since the last call for a decider."""
        reported, oldest_ms = self._reported.pop(decider, 0), now - self.window_ms - 1
        self._reported[decider] = self._newest_number
        if len(self._reported) > MAX_DECIDERS:
            self._reported.popitem(last=False)
        return Unreported(
            self._by_others(self._retries, decider, reported, oldest_ms),
            self._by_others(self._accepted, decider, reported, oldest_ms),
        )

    @staticmethod
    def _by_others(
        lines: deque[_Line], decider: Hashable, reported: int, oldest_ms: float
    ) -> tuple[float, ...]:
        times = [
            line.at_ms
            for line in lines
            if line.number > reported and line.decider != decider and line.at_ms >= oldest_ms
        ]
        # Beyond the bound the oldest go: safe for what allows retries; of retries they leave the soonest.
        return tuple(times[-MAX_REPORTED:])
