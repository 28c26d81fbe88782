"""What becomes of pending operations when a planner is lost, or another one takes over.  Pure.

Each operation has one owner of its final answer, the edge.  A new epoch knows nothing of the former one's
attempts, and may be offered only what it can decide about lawfully:

- nothing may have run: the operation is offered again, with the time that is truly left;
- an attempt is in flight: it runs on to its outcome, which the client gets if it is an answer, and fails in
  time;
- something may have run and nothing is in flight: work that is safe to repeat is offered again; work under an
  idempotency key, whose deduplication window and scope the new epoch does not know, is failed in time rather
  than repeated by a decider that cannot know better.

What waits without a planner is rejected while a rejection still reaches its client, with a time to come back.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cressrock.dispatch.ledger import Entry
from cressrock.interface import Idempotency

FOREVER = float("inf")


class Disposition(Enum):
    """What becomes of a held operation."""

    OFFER = "offer"  # to the planner that has just been joined
    RUN_ON = "run on"  # an attempt is in flight
    WAIT = "wait"  # for a planner
    REJECT = "refuse"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class DisconnectedPolicy:
    """Figures for the time without a planner, in milliseconds."""

    # A planner is told that an operation's time is over this much earlier than it is; what it then has not
    # answered the edge answers itself, at half of it.
    answer_margin_ms: float = 100.0
    min_retry_after_ms: float = 1000.0
    max_retry_after_ms: float = 8000.0

    def answer_by_ms(self, entry: Entry) -> float:
        """Return when the edge itself answers an operation that nobody has answered."""
        return entry.deadline_ms - self.answer_margin_ms / 2


def disposition_of(entry: Entry, now: float, *, joined: bool, policy: DisconnectedPolicy) -> Disposition:
    """Decide about one operation that has no answer yet."""
    if entry.attempt_in_flight() is not None:
        # Danger: the planner that would have ended the wait at its time is gone.
        return Disposition.FAIL if now >= policy.answer_by_ms(entry) else Disposition.RUN_ON
    may_have_run = entry.first_run() is not None
    if may_have_run and entry.request_class.idempotency is not Idempotency.ALWAYS:
        return Disposition.FAIL
    if now >= policy.answer_by_ms(entry):
        return Disposition.REJECT
    return Disposition.OFFER if joined else Disposition.WAIT


def next_check_ms(entries: Iterable[Entry], now: float, policy: DisconnectedPolicy) -> float:
    """Return when an operation that has no answer has to be checked again; infinity with none."""
    times = [policy.answer_by_ms(entry) for entry in entries if entry.verdict is None]
    return min((max(now, time) for time in times), default=FOREVER)


def retry_after_ms(
    disconnected_since_ms: float, now: float, policy: DisconnectedPolicy, source: random.Random
) -> float:
    """Return in how many milliseconds a rejected client should come back.

    Danger: all clients of all edges return in the second in which the planner does.  The longer it has been
    away, the longer and the wider apart they are asked to stay away, within bounds.
    """
    min_ms = policy.min_retry_after_ms
    span_ms = min(policy.max_retry_after_ms, max(min_ms, 2 * (now - disconnected_since_ms)))
    return min_ms + source.random() * max(0.0, span_ms - min_ms)


def most_urgent_offers(
    entries: Iterable[Entry], now: float, policy: DisconnectedPolicy, *, max_offers: int
) -> list[Entry]:
    """Return the operations to offer a planner in its next step, the most urgent first.

    Danger: a planner that returns to many edges with full backlogs is buried by them; each step is bounded
    by what it gave credit for.
    """
    lawful = [
        entry
        for entry in entries
        if entry.verdict is None
        and disposition_of(entry, now, joined=True, policy=policy) is Disposition.OFFER
    ]
    lawful.sort(key=lambda entry: (entry.deadline_ms, entry.name))
    return lawful[:max_offers]
