"""Judges a history of clients: is it linearizable?  Knows nothing of what answered them.

The search of Wing and Gong (*Testing and Verifying Concurrent Objects*, 1993) with Lowe's memory of
configurations (*Testing for Linearizability*, 2017): an order of all operations that respects real time and
explains every answer.  Histories of different keys are judged apart (locality, Herlihy and Wing 1990; Horn
and Kroening, *Faster Linearizability Checking via P-Compositionality*, 2015).  Bounded: a search that needs
more than `most` configurations is undecided, which is neither of the other two.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

FOREVER = float("inf")


class Verdict(Enum):
    """What a search came to."""

    LINEARIZABLE = "linearizable"
    NOT = "not linearizable"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a client on the register `key`, which holds `None` at first.

    `kind`: "read" (`result` is what was read), "write" of `value`, "swap" from `expected` to `value`
    (`result` says whether it was done).  `returned` is infinite if no answer came: then it may have taken
    effect at any time since, or never.  Times of one clock, in milliseconds.
    """

    key: str
    kind: str
    called: float
    returned: float = FOREVER
    value: str | None = None
    expected: str | None = None
    result: object = None


class _Event:
    """A call or a return in a doubly linked list."""

    __slots__ = ("number", "operation", "match", "before", "after")

    def __init__(self, number: int, operation: Operation) -> None:
        self.number, self.operation = number, operation
        self.match: _Event | None = None  # a call's return; None marks a return
        self.before: _Event | None = None
        self.after: _Event | None = None


def _step(state: str | None, operation: Operation) -> tuple[bool, str | None]:
    """Return whether the register in `state` may give this answer, and what it holds then."""
    known = operation.returned < FOREVER
    if operation.kind == "read":
        return not known or operation.result == state, state
    if operation.kind == "write":
        return True, operation.value
    done = state == operation.expected
    return not known or operation.result == done, operation.value if done else state


def judge_key(operations: Iterable[Operation], most: int = 2_000_000) -> Verdict:
    """Judge the operations of one register."""
    # A read without an answer says nothing.
    wanted = [one for one in operations if one.kind != "read" or one.returned < FOREVER]
    events: list[tuple[float, int, int, _Event]] = []
    for number, operation in enumerate(wanted):
        call, back = _Event(number, operation), _Event(number, operation)
        call.match = back
        # At one instant calls come before returns: the two operations overlap, which permits more orders.
        events.append((operation.called, 0, number, call))
        events.append((operation.returned, 1, number, back))
    events.sort(key=lambda one: one[:3])
    head = _Event(-1, Operation("", "read", 0.0))
    last = head
    for _, _, _, event in events:
        last.after, event.before = event, last
        last = event
    state: str | None = None
    done = 0
    seen: set[tuple[int, str | None]] = set()
    stack: list[tuple[_Event, str | None]] = []
    event_now = head.after
    while head.after is not None:
        assert event_now is not None
        if event_now.match is not None:
            fits, after = _step(state, event_now.operation)
            mask = done | 1 << event_now.number
            if fits and (mask, after) not in seen:
                if len(seen) >= most:
                    return Verdict.UNDECIDED
                seen.add((mask, after))
                stack.append((event_now, state))
                state, done = after, mask
                _take_out(event_now)
                event_now = head.after
            else:
                event_now = event_now.after
            continue
        if not stack:
            return Verdict.NOT
        event_now, state = stack.pop()
        done &= ~(1 << event_now.number)
        _put_back(event_now)
        event_now = event_now.after
    return Verdict.LINEARIZABLE


def _take_out(call: _Event) -> None:
    for event in (call, call.match):
        assert event is not None and event.before is not None
        event.before.after = event.after
        if event.after is not None:
            event.after.before = event.before


def _put_back(call: _Event) -> None:
    for event in (call.match, call):
        assert event is not None and event.before is not None
        event.before.after = event
        if event.after is not None:
            event.after.before = event


def judge(operations: Iterable[Operation], most: int = 2_000_000) -> dict[str, Verdict]:
    """Return the verdict by key."""
    by_key: dict[str, list[Operation]] = defaultdict(list)
    for operation in operations:
        by_key[operation.key].append(operation)
    return {key: judge_key(found, most) for key, found in sorted(by_key.items())}
