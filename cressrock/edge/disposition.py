"""What an edge does with the operations it holds when its planner is away, or another one takes over.  Pure.

Each operation has one owner of its final answer, the edge.  A new epoch knows nothing of the former one's
attempts, and may be told only what it can decide about lawfully:

- nothing may have run: the operation is offered again, with the time that is truly left;
- an attempt is out: it runs on to its outcome, which the client gets if it is an answer, and fails in time;
- something may have run and nothing is out: safe work is offered again; keyed work, whose window and rack
  the new epoch does not know, is failed in time rather than sent on by somebody who cannot know better.

What waits without a planner is refused while a refusal still reaches its client, with a time to come back.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cressrock.dispatch.ledger import Entry
from cressrock.interface import Idempotency


class Fate(Enum):
    """What becomes of a held operation."""

    OFFER = "offer"  # to the planner that has just been joined
    RUN_ON = "run on"  # an attempt is out
    WAIT = "wait"  # for a planner
    REFUSE = "refuse"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class DisconnectedPolicy:
    """Figures for the time without a planner, in milliseconds."""

    # A planner is told that an operation's time is over this much earlier than it is; what it then has not
    # answered the edge answers itself, at half of it.
    answer_margin_ms: float = 100.0
    retry_least_ms: float = 1000.0
    retry_most_ms: float = 8000.0


def fate(entry: Entry, now: float, *, joined: bool, away: DisconnectedPolicy) -> Fate:
    """Decide about one operation that has no answer yet."""
    if entry.attempt_in_flight() is not None:
        # Danger: the planner that would have ended the wait at its time is gone.
        return Fate.FAIL if now >= entry.deadline_ms - away.answer_margin_ms / 2 else Fate.RUN_ON
    may_have_run = entry.first_run() is not None
    if may_have_run and entry.request_class.idempotency is not Idempotency.ALWAYS:
        return Fate.FAIL
    if now >= entry.deadline_ms - away.answer_margin_ms / 2:
        return Fate.REFUSE
    return Fate.OFFER if joined else Fate.WAIT


def next_look(entries: Iterable[Entry], now: float, away: DisconnectedPolicy) -> float:
    """Return when an operation that has no answer has to be looked at again; infinity with none."""
    times = [e.deadline_ms - away.answer_margin_ms / 2 for e in entries if e.verdict is None]
    return min((max(now, t) for t in times), default=float("inf"))


def retry_after(away_since: float, now: float, away: DisconnectedPolicy, source: random.Random) -> float:
    """Say in how many milliseconds a refused client should come back.

    Danger: all clients of all edges return in the second in which the planner does.  The longer it is away,
    the longer and the wider apart they are asked to stay, within bounds.
    """
    longest = min(away.retry_most_ms, max(away.retry_least_ms, 2 * (now - away_since)))
    return away.retry_least_ms + source.random() * max(0.0, longest - away.retry_least_ms)


def offers(entries: Iterable[Entry], now: float, away: DisconnectedPolicy, *, most: int) -> list[Entry]:
    """Return the operations to offer a planner in its next step, the most urgent first.

    Danger: a planner that returns to many edges with full backlogs is buried by them; each step is bounded
    by what it gave credit for.
    """
    found = [e for e in entries if e.verdict is None and fate(e, now, joined=True, away=away) is Fate.OFFER]
    found.sort(key=lambda e: (e.deadline_ms, e.name))
    return found[:most]


class ReconnectBackoff:
    """When to try which planner next: in order of preference, with growing waits and seeded jitter."""

    def __init__(
        self, planners: tuple[str, ...], source: random.Random, *, min_wait_ms: float, max_wait_ms: float
    ) -> None:
        """`planners` in order of preference."""
        if not planners:
            raise ValueError("an edge needs at least one planner")
        self.planners = planners
        self.random = source
        self.least_ms = min_wait_ms
        self.most_ms = max_wait_ms
        self.failures = 0
        self.turn = 0  # of the list
        self.at = 0.0

    def lost(self, now: float) -> None:
        """Enter that a planner was lost or not reached; the next try is spread over a growing span."""
        self.failures += 1
        # Danger: counted from the failures alone, whoever loses its second planner tries that one first.
        self.turn = (self.turn + 1) % len(self.planners)
        rounds = min(30, (self.failures - 1) // len(self.planners))
        span = min(self.most_ms, self.least_ms * 2.0**rounds)
        self.at = now + span * self.random.random()

    def reached(self) -> None:
        """Enter that a planner was joined."""
        self.failures = 0

    def next(self) -> tuple[float, str]:
        """Return when to try next, and whom."""
        return self.at, self.planners[self.turn]
