"""What an edge has taken and tried again within the budget's window, whoever decided, for who decides next.

Pure.  The budget of further attempts is a share of what was taken within a window.  Danger: two deciders one
after another, each within it at its own times, are not within it together: the requests that allowed the
former's attempts leave the window before these attempts do.  So whoever takes over is told of both.  Each
line is told once to each decider, and never what it has counted itself.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

MOST = 8192  # of each kind that are told: they fit a frame of the link
MARKS = 64  # deciders of which it is known what they were told


@dataclass(frozen=True, slots=True)
class _Line:
    number: int
    at: float
    by: object


class Record:
    """One edge's record.  `window_ms` is the budget's; a decider is named by any value that is its own."""

    def __init__(self, window_ms: float) -> None:
        """Start with nothing taken."""
        self.window_ms = window_ms
        self.count = 0
        self.extra: deque[_Line] = deque()
        self.taken: deque[_Line] = deque()
        self._marks: OrderedDict[object, int] = OrderedDict()

    def _enter(self, lines: deque[_Line], by: object, at: float) -> None:
        if not self.window_ms:
            return
        self.count += 1
        lines.append(_Line(self.count, at, by))
        while lines[0].at < at - self.window_ms - 1:
            lines.popleft()

    def tried(self, by: object, now: float) -> None:
        """Enter a further attempt that a decider ordered."""
        self._enter(self.extra, by, now)

    def took(self, by: object, now: float) -> None:
        """Enter a request that a decider counts."""
        self._enter(self.taken, by, now)

    def tell(self, to: object, now: float) -> tuple[list[float], list[float]]:
        """Return when others' further attempts were made and requests taken, as far as `to` was not told."""
        mark, since = self._marks.pop(to, 0), now - self.window_ms - 1
        self._marks[to] = self.count
        if len(self._marks) > MARKS:
            self._marks.popitem(last=False)
        # Beyond the bound the oldest go: safe for what allows attempts; of attempts they leave the soonest.
        found = [
            [line.at for line in lines if line.number > mark and line.by != to and line.at >= since][-MOST:]
            for lines in (self.extra, self.taken)
        ]
        return found[0], found[1]
