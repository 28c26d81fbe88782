"""How long an answer that was begun may take to become whole.  Pure.

Two limits.  Silence: a server writes an answer at once, so one that is not gone on with is broken.  Pace: one
that goes on has to be whole by its deadline at the pace at which it came so far; of one that is not, a byte
now and then would else hold its attempt, and the request's other attempts with it, until the deadline.
"""

from __future__ import annotations


class Pace:
    """One answer that is not whole yet.  Times in milliseconds."""

    __slots__ = ("begun_at", "deadline", "stall_ms", "heard_at", "check_at", "held", "need")

    def __init__(self, now: float, deadline: float, stall_ms: float) -> None:
        """Begin with its first bytes; it is owed by `deadline`."""
        self.begun_at = now
        self.deadline = deadline
        self.stall_ms = stall_ms
        self.heard_at = now
        self.check_at = (now + deadline) / 2
        self.held = 0
        self.need = 0

    def heard(self, now: float, held: int, need: int) -> None:
        """Take in that `held` bytes are here, of `need` in all as far as is known.

        Where a line is not whole all that is known is that one byte more has to come.  Lines are short: such
        an answer has to be whole when half of the time is over.
        """
        self.heard_at = now
        self.held = held
        if need > held + 1:
            self.need = need
        elif need != self.need:
            self.need = 0

    def gives_up_at(self) -> float:
        """Return when `broken` has to be asked next."""
        return min(self.heard_at + self.stall_ms, self.check_at)

    def broken(self, now: float) -> bool:
        """Whether the answer is given up now.  At a check that it passes the next one is set.

        Checks halve what is left of the time, so that a pace that falls off is found soon after.
        """
        if now >= self.heard_at + self.stall_ms:
            return True
        if now >= self.check_at:
            span = self.deadline - self.begun_at
            part = (self.check_at - self.begun_at) / span if span > 0 else 1.0
            if not self.need or self.held < part * self.need:
                return True
            near = self.deadline - now <= self.stall_ms  # from here on silence says as much
            self.check_at = self.deadline if near else (now + self.deadline) / 2
        return False
