"""Decides when a partly received answer is given up.  Pure.

Two limits apply.  Stall: a server writes an answer at once, so an answer that stops arriving is broken.
Rate: an answer that keeps arriving must be complete by its deadline at its average rate so far.  Without the
second limit, a server that sends single bytes would occupy the attempt until the deadline, and delay the
request's other attempts.
"""

from __future__ import annotations


class ReplyProgress:
    """The progress of one partly received answer.  Times in milliseconds."""

    __slots__ = (
        "started_at",
        "deadline",
        "stall_ms",
        "last_data_at",
        "check_at",
        "received_bytes",
        "expected_bytes",
    )

    def __init__(self, now: float, deadline: float, stall_ms: float) -> None:
        """Start when the first bytes arrive; the answer is due by `deadline`."""
        self.started_at = now
        self.deadline = deadline
        self.stall_ms = stall_ms
        self.last_data_at = now
        self.check_at = (now + deadline) / 2
        self.received_bytes = 0
        self.expected_bytes = 0

    def record(self, now: float, received_bytes: int, expected_bytes: int) -> None:
        """Record that `received_bytes` have arrived, of `expected_bytes` as far as is known.

        In the middle of a line it is only known that at least one more byte must come.  Lines are short, so
        such an answer must be complete when half of the time has passed.
        """
        self.last_data_at = now
        self.received_bytes = received_bytes
        if expected_bytes > received_bytes + 1:
            self.expected_bytes = expected_bytes
        elif expected_bytes != self.expected_bytes:
            self.expected_bytes = 0

    def resume(self, now: float) -> None:
        """Go on after a pause in which this side did not read; the rate so far says nothing of the server."""
        self.last_data_at = now
        self.check_at = self.deadline

    def next_check_at(self) -> float:
        """Return when `is_broken` must be called next."""
        return min(self.last_data_at + self.stall_ms, self.check_at)

    def is_broken(self, now: float) -> bool:
        """Return whether to give the answer up now; if a due check passes, schedule the next one.

        Each check is due after half of the remaining time, so that a dropping rate is detected soon.
        """
        if now >= self.last_data_at + self.stall_ms:
            return True
        if now >= self.check_at:
            span_ms = self.deadline - self.started_at
            elapsed_fraction = (self.check_at - self.started_at) / span_ms if span_ms > 0 else 1.0
            if not self.expected_bytes or self.received_bytes < elapsed_fraction * self.expected_bytes:
                return True
            is_near = self.deadline - now <= self.stall_ms  # the stall limit covers the rest
            self.check_at = self.deadline if is_near else (now + self.deadline) / 2
        return False
