"""The membership's timers: what falls due when, in one heap."""

from __future__ import annotations

import heapq
from enum import Enum, auto
from typing import NamedTuple

from cressrock.membership.types import NEVER_MS


class TimerKind(Enum):
    """What a timer is for."""

    PROBE = auto()  # the next probe
    INDIRECT_PROBE = auto()  # a ping was not answered: ask others to ping
    PROBE_DEADLINE = auto()  # a probe's period is over
    RELAY_DEADLINE = auto()  # a ping made for another member was not answered
    RELAY_EXPIRY = auto()  # and not even late
    GOSSIP = auto()  # the next round of waiting updates
    SUSPICION = auto()  # a suspected member's last ping or verdict
    EXCHANGE = auto()  # the next full exchange
    JOIN = auto()  # the next request to a seed
    PERIOD = auto()  # housekeeping once a period


class Timer(NamedTuple):
    """A timer of a member (`name`) or of a ping (`number`), or of the process itself."""

    fires_at_ms: float
    order: int  # equal times fall due in the order in which they were scheduled
    kind: TimerKind
    name: str
    number: int


class TimerQueue:
    """Timers by due time."""

    def __init__(self) -> None:
        """Begin empty."""
        self._heap: list[Timer] = []
        self._scheduled = 0

    def __len__(self) -> int:
        """Return how many timers wait."""
        return len(self._heap)

    def schedule(self, fires_at_ms: float, kind: TimerKind, *, name: str = "", number: int = 0) -> None:
        """Add a timer; timers are never cancelled, whoever handles one looks whether it still applies."""
        self._scheduled += 1
        heapq.heappush(self._heap, Timer(fires_at_ms, self._scheduled, kind, name, number))

    def next_fire_ms(self) -> float:
        """Return when the next timer falls due, infinity without any."""
        return self._heap[0].fires_at_ms if self._heap else NEVER_MS

    def pop_expired(self, now_ms: float) -> Timer | None:
        """Remove and return the next timer that has fallen due."""
        if self._heap and self._heap[0].fires_at_ms <= now_ms:
            return heapq.heappop(self._heap)
        return None
