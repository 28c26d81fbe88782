"""The queue of updates to piggyback on outgoing messages."""

import pytest

from cressrock.membership.broadcast_queue import BroadcastQueue
from cressrock.membership.packets import MemberState, MemberUpdate, encoded_size
from tests.membership.support import alive


def suspect(name, accuser):
    return MemberUpdate(name, 1, 0, MemberState.SUSPECT, accuser)


@pytest.fixture
def queue():
    return BroadcastQueue()


def test_the_least_transmitted_updates_are_sent_first(queue):
    queue.enqueue(alive("a"))
    assert queue.next_updates(1000, 3) == [alive("a")]
    queue.enqueue(alive("b"))
    assert queue.next_updates(1000, 3) == [alive("b"), alive("a")]


def test_an_update_is_dropped_after_its_last_transmission(queue):
    queue.enqueue(alive("a"))
    assert [len(queue.next_updates(1000, 2)) for _ in range(3)] == [1, 1, 0]
    assert not queue and len(queue) == 0


def test_updates_that_do_not_fit_wait_for_the_next_message(queue):
    updates = [alive(name) for name in "abc"]
    for update in updates:
        queue.enqueue(update)
    capacity_bytes = encoded_size(updates[0]) + encoded_size(updates[1])
    assert queue.next_updates(capacity_bytes, 5) == updates[:2]
    assert queue.next_updates(capacity_bytes, 5)[0] == updates[2]


def test_a_newer_update_replaces_all_queued_updates_about_its_member(queue):
    queue.enqueue(suspect("a", "x"))
    queue.enqueue_additional(suspect("a", "y"))
    queue.enqueue(alive("b"))
    queue.enqueue(alive("a", incarnation=1))
    assert queue.next_updates(1000, 5) == [alive("b"), alive("a", incarnation=1)]


def test_one_update_is_queued_for_each_accuser(queue):
    queue.enqueue(suspect("a", "x"))
    for accuser in ("y", "x", "y"):
        queue.enqueue_additional(suspect("a", accuser))
    assert queue.next_updates(1000, 5) == [suspect("a", "x"), suspect("a", "y")]
    queue.discard("a")
    assert not queue
