"""A planner's view of one edge's session: the edge's clock, issued clock stamps and operations.  No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from cressrock.link import messages

# Clock stamps issued during the longest lease.  A lease counts from its stamp, so their interval shortens it.
STAMPS_PER_LEASE = 8
MAX_STAMPS = 2 * STAMPS_PER_LEASE


@dataclass(slots=True)
class ScheduledOperation:
    """An operation in the scheduler; its attempts have the same numbers here as in the edge's orders."""

    session: EdgeSession
    operation: str
    next_attempt: int = 0
    in_flight: bool = False

    @property
    def scheduler_name(self) -> str:
        """The operation's name in the scheduler, unique to this session."""
        return self.session.scheduler_name(self.operation)


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that is not in the scheduler yet, and the planner step before which it arrived."""

    step: int
    request: messages.Request


@dataclass(frozen=True, slots=True)
class IssuedStamp:
    """A clock stamp that was sent to the edge, with the time on the planner's clock."""

    number: int
    at_ms: float


@dataclass(slots=True)
class EdgeSession:
    """One session of an edge, from the handshake until the connection ends."""

    name: str
    incarnation: str
    number: int
    clock_ms: float = 0.0  # of the edge's clock, as of its newest event
    sequence: int = -1  # of its newest event
    stamps: deque[IssuedStamp] = field(default_factory=deque)
    scheduled: dict[str, ScheduledOperation] = field(default_factory=dict)
    waiting: deque[WaitingRequest] = field(default_factory=deque)

    def scheduler_name(self, operation: str) -> str:
        """Return the name in the scheduler, unique over all sessions, of one of the edge's operations."""
        return f"{self.name}/{self.number}/{operation}"

    def stamped_at_ms(self, stamp: int) -> float | None:
        """Return when (ms) a clock stamp was issued; None if it is unknown or no longer remembered."""
        return next((issued.at_ms for issued in self.stamps if issued.number == stamp), None)

    def issue_stamp(self, now_ms: float, lease_ms: float) -> messages.ClockStamp | None:
        """Return a new clock stamp if the edge has operations and the last stamp is old enough, else None."""
        if not (self.scheduled or self.waiting):
            return None
        newest = self.stamps[-1]
        if now_ms < newest.at_ms + lease_ms / STAMPS_PER_LEASE:
            return None
        self.stamps.append(IssuedStamp(newest.number + 1, now_ms))
        while len(self.stamps) > MAX_STAMPS:
            self.stamps.popleft()
        return messages.ClockStamp(newest.number + 1)

    def drop_waiting(self, operation: str) -> bool:
        """Remove a request that is not in the scheduler yet.  False if there is none."""
        before = len(self.waiting)
        self.waiting = deque(waiting for waiting in self.waiting if waiting.request.operation != operation)
        return len(self.waiting) < before
