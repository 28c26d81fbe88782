"""The edge's pending operations: who decides about each, and who ordered the attempt in flight.  Pure."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from cressrock.dispatch.ledger import Ledger
from cressrock.interface import Arrival, Idempotency


class Decider(Enum):
    """Who decides about a pending operation."""

    NOBODY = "nobody"
    PLANNER = "planner"
    LOCAL = "local"


@dataclass(slots=True)
class PendingOperation:
    """An operation that has no final answer yet.

    `counted_in_budget`: a decider's retry budget has counted it, or its moment to be counted has passed.
    `number_offset`: attempts that its decider has numbered and this edge never made.
    """

    arrival: Arrival
    accepted_at_ms: float
    deadline_ms: float
    decider: Decider = Decider.NOBODY
    counted_in_budget: bool = False
    number_offset: int = 0


@dataclass(frozen=True, slots=True)
class OrderedAttempt:
    """Who ordered the attempt in flight; its decider's number of it is the ledger's plus `number_offset`."""

    decider: Decider
    number_offset: int
    volume: str
    plan: int
    units: float


class OperationTable:
    """Operations without a final answer, and the attempts of them that are in flight."""

    def __init__(self, ledger: Ledger) -> None:
        """Start with nothing pending; `ledger` has the attempts."""
        self.ledger = ledger
        self.operations: dict[str, PendingOperation] = {}
        self.undecided: dict[str, None] = {}  # names of operations that wait for a decider, in order
        self.ordered: dict[str, OrderedAttempt] = {}

    def accept(self, arrival: Arrival, now: float) -> None:
        """Enter a new operation, which nobody decides about yet."""
        self.operations[arrival.request] = PendingOperation(arrival, now, now + arrival.remaining_ms)
        self.undecided[arrival.request] = None

    def remove(self, name: str) -> PendingOperation | None:
        """Let go of an operation that has its final answer; None where it was not pending."""
        self.undecided.pop(name, None)
        return self.operations.pop(name, None)

    def assign(self, pending: PendingOperation, decider: Decider) -> None:
        """Give an operation to a decider, which has numbered no attempt of it yet."""
        pending.decider, pending.number_offset = decider, 0

    def waits_with(self, decider: Decider) -> Iterator[Arrival]:
        """Iterate over a decider's operations that have no attempt in flight."""
        for name, pending in self.operations.items():
            if pending.decider is decider and name not in self.ordered:
                yield pending.arrival

    def revoke_all(self) -> list[str]:
        """Take back all that may change hands, the most urgent first; return what the local scheduler had."""
        for name, attempt in list(self.ordered.items()):
            if attempt.decider is Decider.PLANNER:
                self.ordered[name] = replace(attempt, decider=Decider.NOBODY)
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
        """Take an operation from the local scheduler if another decider may go on with it.

        What may have run and is not safe to repeat stays: its deduplication window and scope are known here
        alone.  What has to run in order never stays: two deciders would each keep order on a key apart.
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
