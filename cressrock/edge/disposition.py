"""What happens to pending operations when the planner is lost or another one takes over.  No I/O.

The edge alone owns the final answer of an operation.  A new epoch does not know the attempts of the previous
one, so it is offered only what it can decide safely:

- no attempt can have run: the operation is offered again, with the time that actually remains;
- an attempt is in flight: the edge waits for its outcome, which goes to the client if it is an answer, and
  fails the operation shortly before its deadline;
- an attempt may have run and none is in flight: idempotent operations are offered again.  Operations with an
  idempotency key are failed in time rather than repeated, since the new epoch does not know the key's
  deduplication window and scope.

Operations that wait without a planner are rejected while the rejection can still reach the client, with a
delay after which to retry.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cressrock.dispatch.ledger import Entry
from cressrock.interface import Idempotency

NEVER_MS = float("inf")


class Disposition(Enum):
    """What the edge does with an operation that has no answer yet."""

    OFFER = "offer"  # hand over to the connected planner
    AWAIT_OUTCOME = "run on"  # wait for the outcome of the attempt in flight
    AWAIT_PLANNER = "wait"  # until a planner is connected
    REJECT = "refuse"
    FAIL = "fail"


@dataclass(frozen=True, slots=True)
class DisconnectedPolicy:
    """Answer margin, and the bounds of the retry delay for rejected clients, in milliseconds."""

    # The planner is given a deadline this much earlier than the real one.  Half this margin before the real
    # deadline, the edge itself answers operations that are still unanswered.
    answer_margin_ms: float = 100.0
    min_retry_after_ms: float = 1000.0
    max_retry_after_ms: float = 8000.0

    def answer_by_ms(self, entry: Entry) -> float:
        """Return the time (ms) at which the edge itself answers an operation that is still unanswered."""
        return entry.deadline_ms - self.answer_margin_ms / 2


def disposition_of(
    entry: Entry, now_ms: float, *, connected: bool, policy: DisconnectedPolicy
) -> Disposition:
    """Return what to do with an operation that has no answer yet; `connected`: the edge has a planner."""
    if entry.attempt_in_flight() is not None:
        # The planner that would have ended this wait in time may be gone.
        return Disposition.FAIL if now_ms >= policy.answer_by_ms(entry) else Disposition.AWAIT_OUTCOME
    may_have_run = entry.first_run() is not None
    if may_have_run and entry.request_class.idempotency is not Idempotency.ALWAYS:
        return Disposition.FAIL
    if now_ms >= policy.answer_by_ms(entry):
        return Disposition.REJECT
    return Disposition.OFFER if connected else Disposition.AWAIT_PLANNER


def next_check_ms(entries: Iterable[Entry], now_ms: float, policy: DisconnectedPolicy) -> float:
    """Return when (ms) to check unanswered operations again; infinity if there are none."""
    times = [policy.answer_by_ms(entry) for entry in entries if entry.verdict is None]
    return min((max(now_ms, time) for time in times), default=NEVER_MS)


def retry_after_ms(
    disconnected_since_ms: float, now_ms: float, policy: DisconnectedPolicy, rng: random.Random
) -> float:
    """Return the delay in milliseconds after which a rejected client should retry.

    Without jitter, the clients of all edges would return within the second in which the planner does.  The
    delay is uniform between the policy's minimum and twice the outage so far, up to the policy's maximum.
    """
    min_ms = policy.min_retry_after_ms
    span_ms = min(policy.max_retry_after_ms, max(min_ms, 2 * (now_ms - disconnected_since_ms)))
    return min_ms + rng.random() * max(0.0, span_ms - min_ms)


def most_urgent_offers(
    entries: Iterable[Entry], now_ms: float, policy: DisconnectedPolicy, *, max_offers: int
) -> list[Entry]:
    """Return the operations to offer to a planner in its next step, the earliest deadline first.

    `max_offers` is the credit that the planner gave.  Without this bound, a planner that comes back would be
    overloaded by the backlogs of many edges.
    """
    eligible = [
        entry
        for entry in entries
        if entry.verdict is None
        and disposition_of(entry, now_ms, connected=True, policy=policy) is Disposition.OFFER
    ]
    eligible.sort(key=lambda entry: (entry.deadline_ms, entry.name))
    return eligible[:max_offers]
