"""The outbox numbers and timestamps events and is bounded."""

import pytest

from cressrock.edge.outbox import Outbox
from cressrock.link import messages


@pytest.fixture
def outbox():
    """An outbox with room for two events."""
    return Outbox(max_events=2, uncounted_after_ms=1.0)


def client_left(name):
    """Return an event without a sequence number and time."""
    return messages.ClientLeft(0, 0.0, name)


def test_events_are_numbered_and_stamped_in_order(outbox):
    outbox.add(client_left("a"), 5.0)
    outbox.add(client_left("b"), 6.0)
    assert list(outbox) == [messages.ClientLeft(1, 5.0, "a"), messages.ClientLeft(2, 6.0, "b")]
    assert outbox.pop_next(7.0).operation == "a" and len(outbox) == 1


def test_sequence_numbers_continue_across_sessions(outbox):
    outbox.add(client_left("a"), 5.0)
    outbox.clear()
    outbox.add(client_left("b"), 6.0)
    assert [event.sequence for event in outbox] == [2]


def test_events_beyond_the_bound_are_dropped_without_a_notification(outbox):
    queue_lengths = []
    outbox.on_added = lambda: queue_lengths.append(len(outbox))
    for name in "abc":
        outbox.add(client_left(name), 5.0)
    assert [event.operation for event in outbox] == ["a", "b"] and queue_lengths == [1, 2]
