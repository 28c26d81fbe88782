"""When what has to happen after SIGTERM, by the platform's figures.  Pure.

SIGTERM         new connections come for up to 0.4 s more, open ones are used up to SIGKILL
unlisten_at     no new connection comes any more: the listener is closed
leave_at        connections that owe nothing are ended
last            everything that is still owed is answered
exit_at         the process ends, whatever its peers still hold back
SIGKILL         no sooner than the longest deadline, and what is added to it, after SIGTERM
"""

from __future__ import annotations

NEW_MS = 500.0  # after SIGTERM new connections keep coming for 400 ms; a fifth more for what is under way
COUNTED_MS = 3000.0  # the longest deadline that the platform waits for after SIGTERM, and what it adds to it
ADDED_MS = 700.0
AHEAD_MS = 150.0  # of SIGKILL everything is answered
EXIT_MS = 50.0  # of SIGKILL the process ends by itself
CLOSING_MS = 200.0  # before the last answers connections are ended as they owe nothing: answers take less


class Stop:
    """The instants of one stop, on the clock of `now`; all in milliseconds."""

    def __init__(self, now: float, longest_ms: float) -> None:
        """`now` is SIGTERM's time, `longest_ms` the longest deadline of the settings' classes."""
        kill = now + min(longest_ms, COUNTED_MS) + ADDED_MS
        self.last = kill - AHEAD_MS
        self.exit_at = kill - EXIT_MS
        self.leave_at = self.last - CLOSING_MS
        self.unlisten_at = min(now + NEW_MS, self.leave_at)
