"""When the list of storage servers is asked for, from one failure to the next.  Pure.

The one owner of this time: a change counts as told 6 s after discovery had it and could be reached, whatever
call failed, was refused or given up.  Discovery serves calls in turn and turns away one that waits for over
2 s, so of the 6 s the last 2 belong to the queue there: by then a call has to be out that can be answered.

    call         by what is known of it        the next one is made
    answered     the list is as new as it      at once, as the watch goes on
    failed       503, reset, refused, spoilt   after a pause, drawn, that grows up to a sixth of the 6 s
    late         nothing was heard             beside it, at an instant that its start alone decides

The last line holds for each call: no failure, however late, puts the next call off behind it.  A watch may
fall silent as its call begins: it waits for half of the 6 s, a sixth is for noticing, the rest for the queue.
What dispatchers decide at one instant, such as all whose watches were reset, each does at a drawn one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

TOLD_MS = 6000.0  # what discovery has and could tell counts as told
MOVED_MS = 4000.0  # the same after SIGHUP, at the new address
QUEUE_MS = 2000.0  # a call that waits for longer at discovery is turned away
FOURFOLD = 4  # of the time between two askings: for so long a list counts after a call that failed
ASK_MS = 1000.0  # between two askings, where the settings name no time


@dataclass(frozen=True, slots=True)
class Call:
    """One call to discovery; `wait_ms` is how long it may wait for news there, 0 asks what there is."""

    number: int
    started_ms: float
    wait_ms: float

    @property
    def lost_ms(self) -> float:
        """The instant at which it must have been answered or turned away, with a quarter for the way."""
        return self.started_ms + self.wait_ms + QUEUE_MS * 1.25


@dataclass(frozen=True, slots=True)
class Order:
    """Make `call` now; `given_up` are the numbers of calls that have to be ended for it."""

    call: Call
    given_up: tuple[int, ...]


class WatchClock:
    """What calls are out, how the last ones ended, and at which instant the next one is made.

    All times in milliseconds on one clock that never goes back.
    """

    def __init__(
        self, now_ms: float, draw: Callable[[], float], *, ask_every_ms: float, pushed_grace_ms: float
    ) -> None:
        """`draw` gives numbers from 0 up to 1.

        `ask_every_ms` is the settings' time between two askings, 0 if they name none; `pushed_grace_ms` is
        the drain grace where lists are pushed, else 0.
        """
        self.draw = draw
        self.pushed_grace_ms = pushed_grace_ms
        fourfold = TOLD_MS if pushed_grace_ms else FOURFOLD * (ask_every_ms or ASK_MS)
        self.told_ms = min(TOLD_MS, fourfold)
        self.due_ms = now_ms  # the next call
        self.out: dict[int, Call] = {}  # by number, in the order of their starts; two at most
        self.failures = 0  # since the last answer
        self._calls = 0
        self._moved = False  # and nothing was heard at the new address yet
        self._goes_on = False  # the next call continues a watch

    @property
    def _horizon(self) -> float:
        return min(self.told_ms, MOVED_MS) if self._moved else self.told_ms

    def call(self, now_ms: float) -> Order | None:
        """Make the next call if it is due.  A late one stays out beside it, a second late one is given up."""
        if now_ms < self.due_ms:
            return None
        given_up: tuple[int, ...] = ()
        if len(self.out) > 1:
            given_up = (next(iter(self.out)),)
            del self.out[given_up[0]]
        wait_ms = TOLD_MS / 2 if self._goes_on else 0.0
        self._goes_on = False
        self._calls += 1
        call = self.out[self._calls] = Call(self._calls, now_ms, wait_ms)
        self.due_ms = now_ms + self._doubt(wait_ms)
        if len(self.out) > 1:
            # Danger: where the horizon is short, each call would be given up while it stands in the queue.
            self.due_ms = max(self.due_ms, next(iter(self.out.values())).lost_ms)
        return Order(call, given_up)

    def answered(self, number: int, now_ms: float) -> tuple[int, ...] | None:
        """Take in a usable answer; return the other calls, which have to be ended.

        None: the call was given up, or its address left, before; nothing it brings may be taken in.
        """
        if number not in self.out:
            return None
        others = tuple(other for other in self.out if other != number)
        self.out = {}
        self.failures, self._moved, self._goes_on = 0, False, True
        self.due_ms = now_ms
        return others

    def failed(self, number: int, now_ms: float) -> bool:
        """Take in that a call failed, in whichever way; return whether none is out any more."""
        if number not in self.out:
            return False
        latest = next(reversed(self.out)) == number
        del self.out[number]
        self.failures += 1
        if latest:
            # Danger: a call that fails just before it would be late must not put the next one off.
            self.due_ms = min(self.due_ms, now_ms + self._pause())
        return not self.out

    def moved(self, now_ms: float) -> tuple[int, ...]:
        """Take in that discovery has another address: ask there at once; return what has to be ended."""
        others = tuple(self.out)
        self.out = {}
        self.failures, self._moved, self._goes_on = 0, True, False
        self.due_ms = now_ms
        return others

    def _pause(self) -> float:
        """Return how long after a failure the next call is made."""
        if self.pushed_grace_ms:
            # Danger: there, what discovery gets to know at its return counts as told at once, so that a call
            # has to stand within the grace that is left then.
            return self.pushed_grace_ms / 2 * (1 + self.draw()) / 2
        longest = self._horizon / 6
        grown: float = longest / 4 * (1 << min(self.failures - 1, 10))
        return min(longest, grown) * (1 + 3 * self.draw()) / 4

    def _doubt(self, wait_ms: float) -> float:
        """Return how long after its start a call that was not answered is made anew beside itself."""
        if wait_ms:
            return wait_ms + TOLD_MS / 6 * (1 + self.draw()) / 2
        # Not in the time that it may stand in the queue, where the horizon leaves room for two of them:
        # a second place there is one that another dispatcher lacks.
        horizon = self._horizon
        return max(horizon / 4, horizon * 5 / 6 - QUEUE_MS) * (5 + self.draw()) / 6


def start_ms() -> float:
    """Return how long a start waits for its first list where lists are pushed."""
    return TOLD_MS / 2
