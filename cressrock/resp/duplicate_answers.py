"""Recognizes answers that may be duplicates of an earlier answer on their connection.  Pure.

Nothing in RESP2 ties an answer to its request.  If a server sends a duplicate of an answer after its
connection was reused, the duplicate is read as the answer to the next request, and from then on each answer
on this connection is read as that of the request behind it.  Two observations together show a duplicate:

- it equals one of the latest answers on its connection;
- it arrived sooner after its request than nearly any answer with this outcome from its server in a while.

Each of them alone is common without any fault: equal values are stored, and answers get faster.
"""

from __future__ import annotations

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
_NEVER = float("inf")


def fingerprint(answer: Answer) -> int:
    """Return a number that is equal for duplicates; load reports are not part of it."""
    value = answer.value
    if value is None:
        return hash(answer.text)
    if len(value) <= 2 * FINGERPRINT_BYTES:
        return hash(value)
    return hash((len(value), value[:FINGERPRINT_BYTES], value[-FINGERPRINT_BYTES:]))


class RecentAnswers:
    """The latest answers on one connection.  Times in milliseconds."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        """Start without answers."""
        self._answers: list[tuple[float, int]] = []  # time and fingerprint, the oldest first

    def add(self, now: float, answer: Answer) -> None:
        """Add an answer that was complete at `now`."""
        answers = self._answers
        answers.append((now, fingerprint(answer)))
        if len(answers) > MAX_RECENT_ANSWERS:
            del answers[0]

    def contains(self, now: float, answer: Answer) -> bool:
        """Return whether an equal answer arrived recently."""
        searched = fingerprint(answer)
        return any(found == searched and now - at <= MAX_LATENESS_MS for at, found in self._answers)


class _Times:
    """The answer times of one server and outcome, in this period and the one before."""

    __slots__ = ("early_below_ms", "shortest_ms", "total_ms", "count", "before")

    def __init__(self) -> None:
        self.early_below_ms = 0.0  # sooner answers are early; 0 while too few are known
        self.before: tuple[float, float, int] = (_NEVER, 0.0, 0)  # the period before, as below
        self.shortest_ms, self.total_ms, self.count = _NEVER, 0.0, 0

    def add(self, answer_ms: float) -> None:
        self.total_ms += answer_ms
        self.count += 1
        if answer_ms < self.shortest_ms:
            self.shortest_ms = answer_ms
            self.update()
        elif self.count == MIN_COUNT:
            self.update()

    def start_period(self) -> None:
        self.before = (self.shortest_ms, self.total_ms, self.count)
        self.shortest_ms, self.total_ms, self.count = _NEVER, 0.0, 0
        self.update()

    def update(self) -> None:
        shortest_ms = min(self.shortest_ms, self.before[0])
        is_known = self.count + self.before[2] >= MIN_COUNT and shortest_ms >= MIN_SHORTEST_MS
        self.early_below_ms = EARLY_FRACTION * shortest_ms if is_known else 0.0

    def mean_ms(self) -> float:
        count = self.count + self.before[2]
        return (self.total_ms + self.before[1]) / count if count else 0.0


class AnswerTimes:
    """How soon servers answered lately, by server and outcome.  Times in milliseconds."""

    def __init__(self) -> None:
        """Start without observations."""
        self._served: dict[str, _Times] = {}
        self._refused: dict[str, _Times] = {}
        self._failed: dict[str, _Times] = {}
        self._period_ends_at = 0.0

    def record(self, node: str, outcome: Outcome, answer_ms: float, now: float) -> None:
        """Record that a server answered `answer_ms` after the request was written."""
        if now >= self._period_ends_at:
            self._start_period(now)
        by_node = self._by_node(outcome)
        times = by_node.get(node)
        if times is None:
            times = by_node[node] = _Times()
        times.add(answer_ms)

    def is_early(self, node: str, outcome: Outcome, answer_ms: float) -> bool:
        """Return whether an answer came sooner than this server's answers with this outcome do."""
        times = self._by_node(outcome).get(node)
        return times is not None and answer_ms < times.early_below_ms

    def hold_ms(self, node: str, outcome: Outcome) -> float:
        """Return for how long after its request an early answer is held back, for the real one to arrive."""
        times = self._by_node(outcome).get(node)
        return HOLD_FACTOR * times.mean_ms() if times is not None else 0.0

    def _by_node(self, outcome: Outcome) -> dict[str, _Times]:
        if outcome is Outcome.OK:
            return self._served
        return self._refused if outcome is Outcome.FULL else self._failed

    def _start_period(self, now: float) -> None:
        """Forget what is older than the last period, and servers that did not answer in it."""
        missed = now >= self._period_ends_at + PERIOD_MS
        self._period_ends_at = now + PERIOD_MS
        for by_node in (self._served, self._refused, self._failed):
            for node, times in list(by_node.items()):
                if missed or not times.count:
                    del by_node[node]
                else:
                    times.start_period()
