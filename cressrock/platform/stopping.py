"""The schedule of a graceful stop, from the platform's time limits.  Pure.

SIGTERM           new connections arrive for up to 0.4 s more; open ones may be used until SIGKILL
unlisten_at_ms    the listener is closed: new connections no longer arrive
refuse_at_ms      what there is no memory for is refused instead of waiting
close_idle_at_ms  connections without open requests are closed
answer_by_ms      every open request has been answered; commands that are still unread are read and refused
close_all_at_ms   every connection is closed, whatever its client still sends
exit_at_ms        the process exits, whatever its peers have not read yet
SIGKILL           at the earliest the longest deadline plus a fixed allowance after SIGTERM
"""

from __future__ import annotations

ACCEPT_AFTER_SIGTERM_MS = (
    500.0  # new connections arrive for 400 ms after SIGTERM; a fifth more for those under way
)
MAX_DEADLINE_WAIT_MS = (
    3000.0  # the platform waits for the longest deadline up to this, then for KILL_ALLOWANCE_MS
)
KILL_ALLOWANCE_MS = 700.0
ANSWER_LEAD_MS = 150.0  # every request is answered this long before SIGKILL
CLOSE_ALL_LEAD_MS = 20.0  # connections are closed this long before the exit, so that the last answers leave
EXIT_LEAD_MS = 50.0  # the process exits this long before SIGKILL
REFUSE_LEAD_MS = 500.0  # input that waits for memory is read and refused this long before answer_by_ms
CLOSE_IDLE_LEAD_MS = 200.0  # idle connections close this long before answer_by_ms; answers take less


class StopSchedule:
    """The instants of one stop in milliseconds, on the clock of `now`."""

    def __init__(self, now: float, longest_ms: float) -> None:
        """`now` is the time of SIGTERM, `longest_ms` the longest deadline of the settings' classes."""
        kill_at_ms = now + min(longest_ms, MAX_DEADLINE_WAIT_MS) + KILL_ALLOWANCE_MS
        self.answer_by_ms = kill_at_ms - ANSWER_LEAD_MS
        self.exit_at_ms = kill_at_ms - EXIT_LEAD_MS
        self.close_all_at_ms = max(self.answer_by_ms, self.exit_at_ms - CLOSE_ALL_LEAD_MS)
        self.refuse_at_ms = self.answer_by_ms - REFUSE_LEAD_MS
        self.close_idle_at_ms = self.answer_by_ms - CLOSE_IDLE_LEAD_MS
        self.unlisten_at_ms = min(now + ACCEPT_AFTER_SIGTERM_MS, self.close_idle_at_ms)
