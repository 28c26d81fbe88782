"""What a planner knows of one edge's session: its clock, its clock stamps, and its operations.  Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from cressrock.link import messages

STAMPS_PER_LEASE = 8  # within a lease's longest duration: how far its beginning is put before it was made
MAX_STAMPS = 2 * STAMPS_PER_LEASE


@dataclass(slots=True)
class ScheduledOperation:
    """An operation that the scheduler decides about; its attempts are numbered as the edge is told."""

    session: EdgeSession
    operation: str
    next_attempt: int = 0
    in_flight: bool = False

    @property
    def scheduler_name(self) -> str:
        """The operation's name in the scheduler: of this session alone."""
        return self.session.scheduler_name(self.operation)


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that was not handed to the scheduler yet, and the planner's step before which it came."""

    step: int
    request: messages.Request


@dataclass(frozen=True, slots=True)
class IssuedStamp:
    """A clock stamp that was sent to the edge, and when, on the planner's clock."""

    number: int
    at_ms: float


@dataclass(slots=True)
class EdgeSession:
    """One connection of an edge, from its greeting to its end."""

    name: str
    incarnation: str
    number: int
    clock_ms: float = 0.0  # the edge's own, as of its newest event
    sequence: int = -1  # of its newest event
    stamps: deque[IssuedStamp] = field(default_factory=deque)
    scheduled: dict[str, ScheduledOperation] = field(default_factory=dict)
    waiting: deque[WaitingRequest] = field(default_factory=deque)

    def scheduler_name(self, operation: str) -> str:
        """Return an operation's name in the scheduler."""
        return f"{self.name}/{self.number}/{operation}"

    def stamped_at_ms(self, stamp: int) -> float | None:
        """Return when a clock stamp was issued; None for one that is unknown or too old."""
        return next((issued.at_ms for issued in self.stamps if issued.number == stamp), None)

    def issue_stamp(self, now: float, lease_ms: float) -> messages.ClockStamp | None:
        """Issue a clock stamp to an edge that holds work, a few within a lease's duration; None: not now."""
        if not (self.scheduled or self.waiting):
            return None
        newest = self.stamps[-1]
        if now < newest.at_ms + lease_ms / STAMPS_PER_LEASE:
            return None
        self.stamps.append(IssuedStamp(newest.number + 1, now))
        while len(self.stamps) > MAX_STAMPS:
            self.stamps.popleft()
        return messages.ClockStamp(newest.number + 1)

    def drop_waiting(self, operation: str) -> bool:
        """Remove a request that was not handed to the scheduler yet.  False if there is none."""
        before = len(self.waiting)
        self.waiting = deque(waiting for waiting in self.waiting if waiting.request.operation != operation)
        return len(self.waiting) < before
