"""Events for the planner: numbered, stamped, bounded."""

import pytest

from cressrock.edge.outbox import Outbox
from cressrock.link import messages


@pytest.fixture
def outbox():
    """An outbox of two events."""
    return Outbox(max_events=2, uncounted_after_ms=1.0)


def client_left(name):
    """Return an event that has no number and time yet."""
    return messages.ClientLeft(0, 0.0, name)


def test_events_are_numbered_and_stamped_in_order(outbox):
    outbox.add(client_left("a"), 5.0)
    outbox.add(client_left("b"), 6.0)
    assert list(outbox) == [messages.ClientLeft(1, 5.0, "a"), messages.ClientLeft(2, 6.0, "b")]
    assert outbox.pop_next(7.0).operation == "a" and len(outbox) == 1


def test_numbers_go_on_after_a_session(outbox):
    outbox.add(client_left("a"), 5.0)
    outbox.clear()
    outbox.add(client_left("b"), 6.0)
    assert [event.sequence for event in outbox] == [2]


def test_events_beyond_the_bound_are_dropped_without_a_wake(outbox):
    wakes = []
    outbox.on_added = lambda: wakes.append(len(outbox))
    for name in "abc":
        outbox.add(client_left(name), 5.0)
    assert [event.operation for event in outbox] == ["a", "b"] and wakes == [1, 2]
