"""The membership's timers, in one heap ordered by expiry."""

from __future__ import annotations

import heapq
from enum import Enum, auto
from typing import NamedTuple

from cressrock.membership.types import NEVER_MS


class TimerKind(Enum):
    """The action to run when a timer expires."""

    PROBE = auto()  # start the next probe
    INDIRECT_PROBE = auto()  # the direct ping timed out: ask helpers to ping
    PROBE_DEADLINE = auto()  # conclude a probe at the end of its period
    RELAY_DEADLINE = auto()  # a relayed ping timed out: send a Nack
    RELAY_EXPIRY = auto()  # drop a relay that got no late answer either
    GOSSIP = auto()  # start the next gossip round
    SUSPICION = auto()  # final ping to a suspected member, or its suspicion timeout
    EXCHANGE = auto()  # consider the next periodic full exchange
    JOIN = auto()  # send the next join request to seeds
    PERIOD = auto()  # housekeeping once per protocol period


class Timer(NamedTuple):
    """A timer for a member (`name`), a ping (`number`) or neither; unused fields are empty or 0."""

    fires_at_ms: float
    order: int  # ties expire in the order in which they were scheduled
    kind: TimerKind
    name: str
    number: int


class TimerQueue:
    """A priority queue of timers, earliest first."""

    def __init__(self) -> None:
        """Start without timers."""
        self._heap: list[Timer] = []
        self._scheduled_count = 0

    def __len__(self) -> int:
        """Return the number of pending timers."""
        return len(self._heap)

    def schedule(self, fires_at_ms: float, kind: TimerKind, *, name: str = "", number: int = 0) -> None:
        """Add a timer; timers cannot be cancelled, so handlers check whether an expired one still applies."""
        self._scheduled_count += 1
        heapq.heappush(self._heap, Timer(fires_at_ms, self._scheduled_count, kind, name, number))

    def next_fire_ms(self) -> float:
        """Return when the next timer expires, or infinity if there is none."""
        return self._heap[0].fires_at_ms if self._heap else NEVER_MS

    def pop_expired(self, now_ms: float) -> Timer | None:
        """Remove and return the earliest timer if it has expired, otherwise None."""
        if self._heap and self._heap[0].fires_at_ms <= now_ms:
            return heapq.heappop(self._heap)
        return None
