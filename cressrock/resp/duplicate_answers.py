"""Recognizes answers that may be duplicates of an earlier answer on their connection.  Pure.

Nothing in RESP2 ties an answer to its request.  If a server sends a duplicate of an answer after its
connection was reused, the duplicate is read as the answer to the next request, and from then on each answer
on this connection is read as that of the request behind it.  Two observations together show a duplicate:

- it equals one of the latest answers on its connection;
- it arrived sooner after its request than nearly any answer with this outcome from its server in a while.

Each of them alone is common without any fault: equal values are stored, and answers get faster.
"""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.interface import Outcome
from cressrock.resp.outcomes import Answer

MAX_LATENESS_MS = 100.0  # duplicates that come later than this after their original are not recognized
MAX_RECENT_ANSWERS = 8  # per connection; reuse waits for 10 ms or more after each
FINGERPRINT_BYTES = 64  # from each end of a value
PERIOD_MS = 10000.0  # answer times are kept for one to two of these
MIN_COUNT = 16  # fewer answers do not show how fast a server can be
MIN_SHORTEST_MS = 1.0  # scheduling delays of this process are in this range
EARLY_FRACTION = 0.8  # of the shortest time; leaves room for a server that gets faster gradually
HOLD_FACTOR = 3.0  # times the mean answer time


def fingerprint(answer: Answer) -> int:
    """Return a number that is equal for duplicates; load reports are not part of it."""
    value = answer.value or b""
    return hash(
        (answer.outcome, answer.text, len(value), value[:FINGERPRINT_BYTES], value[-FINGERPRINT_BYTES:])
    )


class RecentAnswers:
    """The latest answers on one connection.  Times in milliseconds."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        """Start without answers."""
        self._answers: list[tuple[float, int]] = []  # time and fingerprint, the oldest first

    def add(self, now: float, answer: Answer) -> None:
        """Add an answer that was complete at `now`."""
        oldest = now - MAX_LATENESS_MS
        recent = [entry for entry in self._answers if entry[0] >= oldest]
        self._answers = [*recent[1 - MAX_RECENT_ANSWERS :], (now, fingerprint(answer))]

    def contains(self, now: float, answer: Answer) -> bool:
        """Return whether an equal answer arrived recently."""
        searched = fingerprint(answer)
        return any(found == searched and now - at <= MAX_LATENESS_MS for at, found in self._answers)


@dataclass(slots=True)
class _Times:
    """The answer times of one server and outcome in one period."""

    shortest_ms: float
    total_ms: float
    count: int


class AnswerTimes:
    """How soon servers answered lately, by server and outcome.  Times in milliseconds."""

    def __init__(self) -> None:
        """Start without observations."""
        self._current: dict[tuple[str, Outcome], _Times] = {}
        self._previous: dict[tuple[str, Outcome], _Times] = {}
        self._period_ends_at = 0.0

    def record(self, node: str, outcome: Outcome, answer_ms: float, now: float) -> None:
        """Record that a server answered `answer_ms` after the request was written."""
        if now >= self._period_ends_at:
            self._previous = self._current if now < self._period_ends_at + PERIOD_MS else {}
            self._current = {}
            self._period_ends_at = now + PERIOD_MS
        times = self._current.get((node, outcome))
        if times is None:
            self._current[node, outcome] = _Times(answer_ms, answer_ms, 1)
            return
        times.shortest_ms = min(times.shortest_ms, answer_ms)
        times.total_ms += answer_ms
        times.count += 1

    def is_early(self, node: str, outcome: Outcome, answer_ms: float) -> bool:
        """Return whether an answer came sooner than this server's answers with this outcome do."""
        known = self._known(node, outcome)
        if sum(times.count for times in known) < MIN_COUNT:
            return False
        shortest_ms = min(times.shortest_ms for times in known)
        return shortest_ms >= MIN_SHORTEST_MS and answer_ms < EARLY_FRACTION * shortest_ms

    def hold_ms(self, node: str, outcome: Outcome) -> float:
        """Return for how long after its request an early answer is held back, for the real one to arrive."""
        known = self._known(node, outcome)
        count = sum(times.count for times in known)
        return HOLD_FACTOR * sum(times.total_ms for times in known) / count if count else 0.0

    def _known(self, node: str, outcome: Outcome) -> list[_Times]:
        periods = (self._current, self._previous)
        return [period[node, outcome] for period in periods if (node, outcome) in period]
