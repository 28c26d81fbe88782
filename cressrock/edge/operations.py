"""The edge's pending operations, their deciders and their attempts in flight.  No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from cressrock.dispatch.ledger import Ledger
from cressrock.interface import Arrival, Idempotency


class Decider(Enum):
    """The component that may order attempts of a pending operation and answer it."""

    NOBODY = "nobody"
    PLANNER = "planner"
    LOCAL = "local"


@dataclass(slots=True)
class PendingOperation:
    """An operation that has no final answer yet.

    `counted_in_budget`: a decider's retry budget has counted it, or it is too late to count it in any.
    `number_offset`: how many attempts its decider has numbered that this edge never made.
    """

    arrival: Arrival
    accepted_at_ms: float
    deadline_ms: float
    decider: Decider = Decider.NOBODY
    counted_in_budget: bool = False
    number_offset: int = 0


@dataclass(frozen=True, slots=True)
class OrderedAttempt:
    """An attempt in flight and its decider, which numbers it `number_offset` higher than the ledger does."""

    decider: Decider
    number_offset: int
    volume: str
    plan: int
    units: float


class OperationTable:
    """Operations without a final answer, and attempts in flight."""

    def __init__(self, ledger: Ledger) -> None:
        """Start with no operations; `ledger` records the attempts."""
        self.ledger = ledger
        self.operations: dict[str, PendingOperation] = {}
        self.undecided: dict[str, None] = {}  # operations waiting for a decider, in order
        self.attempts_in_flight: dict[str, OrderedAttempt] = {}

    def accept(self, arrival: Arrival, now_ms: float) -> None:
        """Add a new operation, which has no decider yet."""
        self.operations[arrival.request] = PendingOperation(arrival, now_ms, now_ms + arrival.remaining_ms)
        self.undecided[arrival.request] = None

    def remove(self, name: str) -> PendingOperation | None:
        """Remove and return an operation that has its final answer; None if it was not pending."""
        self.undecided.pop(name, None)
        return self.operations.pop(name, None)

    def assign(self, pending: PendingOperation, decider: Decider) -> None:
        """Set an operation's decider, which has not numbered any attempt of it yet."""
        pending.decider, pending.number_offset = decider, 0

    def waiting_arrivals(self, decider: Decider) -> Iterator[Arrival]:
        """Iterate over the arrivals of a decider's operations that have no attempt in flight."""
        for name, pending in self.operations.items():
            if pending.decider is decider and name not in self.attempts_in_flight:
                yield pending.arrival

    def revoke_all(self) -> list[str]:
        """Take all operations that may change their decider from it, the earliest deadline first.

        Returns the names of those that were taken from the local scheduler.
        """
        for name, attempt in list(self.attempts_in_flight.items()):
            if attempt.decider is Decider.PLANNER:
                self.attempts_in_flight[name] = replace(attempt, decider=Decider.NOBODY)
        revoked = []
        by_urgency = sorted(self.operations.items(), key=lambda item: (item[1].deadline_ms, item[0]))
        for name, pending in by_urgency:
            if pending.decider is Decider.PLANNER:
                pending.decider = Decider.NOBODY
            elif pending.decider is Decider.LOCAL and self.revoke_local(name, pending):
                revoked.append(name)
            if pending.decider is Decider.NOBODY:
                self.undecided[name] = None
        return revoked

    def revoke_local(self, name: str, pending: PendingOperation) -> bool:
        """Take an operation from the local scheduler if another decider may continue it; return if so.

        An operation that may have run and is not idempotent stays, since only this edge knows its
        deduplication window and scope.  An ordered operation does not stay even then: two deciders would each
        order the operations on its key independently of the other.
        """
        entry = self.ledger.entries.get(name)
        if entry is None or entry.verdict is not None or entry.attempt_in_flight() is not None:
            return False
        request_class = entry.request_class
        if (
            entry.first_run() is not None
            and request_class.idempotency is not Idempotency.ALWAYS
            and not request_class.ordered
        ):
            return False
        pending.decider = Decider.NOBODY
        return True
