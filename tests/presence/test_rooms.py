"""Rooms of two gateways: what is sure, merging in any portions, sessions that move, and bounds."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.errors.presence import PresenceLimitError, SessionEndedError
from cressrock.presence.directory import BUCKETS, bucket_of
from cressrock.presence.messages import HandOverDone, HandOverRequest, Subscribe
from tests.presence.support import connect, publish_directory, two_gateways


@pytest.fixture
def gateways():
    return two_gateways()


def events_of(view, *fields):
    return [tuple(getattr(event, field) for field in fields) for event in view.feed.events]


def follow(follower, source, room="docs"):
    """Let one gateway watch a room in which the other has members; return the view and what carries it."""
    publish_directory(source, follower)
    view = follower.open_view(0.0, room)
    carry = connect(follower, source)
    carry()
    return view, carry


def test_a_member_is_unsure_while_its_gateway_is_silent_and_gone_only_at_the_stated_time(gateways):
    a, b = gateways
    b.join(0.0, "docs", b"x")
    view, _ = follow(a, b)
    assert [(shown.gateway, shown.sure) for shown in view.members()] == [("b", True)]
    a.tick(3000.0)
    assert view.members()[0].sure
    a.tick(3001.0)
    assert not view.members()[0].sure and a.unsure_gateways(view, 3001.0) == {"b": 0.0}
    view.watchers = 1
    a.tick(60_000.0)
    assert len(view.members()) == 1
    a.tick(60_001.0)
    assert not view.members()
    assert events_of(view, "event", "reason") == [("join", ""), ("unsure", ""), ("leave", "time")]


def test_a_short_break_of_the_stream_is_no_news_and_what_was_missed_is_told_once(gateways):
    a, b = gateways
    first = b.join(0.0, "docs")
    view, _ = follow(a, b)
    a.source_disconnected(b.origin)
    b.subscriber_disconnected(7)
    b.leave(200.0, first)
    b.join(300.0, "docs")
    carry = connect(a, b, 400.0, stream=8)
    carry(400.0)
    carry(500.0)
    assert events_of(view, "event") == [("join",), ("leave",), ("join",)]


def test_past_the_log_a_snapshot_comes_to_the_same(gateways):
    a, b = gateways
    first = b.join(0.0, "docs")
    view, _ = follow(a, b)
    a.source_disconnected(b.origin)
    b.subscriber_disconnected(7)
    b.leave(200.0, first)
    b.join(300.0, "docs")
    connect(a, b, 400.0, stream=8)(400.0)
    a.source_disconnected(b.origin)
    b.subscriber_disconnected(8)
    others = [b.join(700.0 + number, "docs") for number in range(20)]
    for session in others[1:]:
        b.leave(800.0, session)
    connect(a, b, 900.0, stream=9)(900.0)
    assert sorted(shown.entry.id for shown in view.members()) == sorted(b.rooms["docs"].members)
    assert events_of(view, "event") == [("join",), ("leave",), ("join",), ("join",)]


def test_a_cursor_too_old_or_of_another_feed_is_told_to_resync():
    a, _ = two_gateways(feed=4)
    feed = a.open_view(0.0, "docs").feed
    for number in range(6):
        a.join(float(number), "docs")
    assert feed.events_after(feed.epoch, 1) is None
    assert [event.seq for event in feed.events_after(feed.epoch, 2)] == [3, 4, 5, 6]
    assert feed.events_after(feed.epoch, 6) == []
    assert feed.events_after(feed.epoch + 1, 6) is None
    assert feed.events_after(feed.epoch, 7) is None


def test_a_session_moves_without_leave_and_join_and_is_there_once(gateways):
    a, b = gateways
    session = b.join(0.0, "docs", b"x")
    view, carry = follow(a, b)
    member, secret = session.entry.id, b.secret(session.entry.id, 0)
    assert b.hand_over(1.0, HandOverRequest(1, "docs", member, b"wrong")) is None
    entry = b.hand_over(1.0, HandOverRequest(1, "docs", member, secret))
    adopted = a.adopt(2.0, "docs", entry)
    b.record_hand_over(3.0, HandOverDone("docs", entry.id, adopted.entry.hop, a.version), a.origin)
    carry(4.0)
    assert events_of(view, "event") == [("join",), ("moved",)]
    assert [(shown.gateway, shown.entry.hop) for shown in view.members()] == [("a", 1)]
    with pytest.raises(SessionEndedError):
        a.session(entry.id, secret)  # the token it had is over
    # Its client's own word outlives whatever older entry somebody may still hold.
    a.leave(5.0, adopted)
    assert not view.members()
    a.tick(30_001.0)
    assert not view.members()
    assert [event.event for event in view.feed.events if event.member] == ["join", "moved", "leave"]


def test_a_session_that_moved_and_fell_silent_does_not_come_up_again_where_it_was(gateways):
    a, b = gateways
    session = b.join(0.0, "docs")
    view, _ = follow(a, b)
    a.source_disconnected(b.origin)  # its gateway dies: what it told is held, and taken over
    view.watchers = 1
    a.adopt(2.0, "docs", session.entry)
    a.tick(30_003.0)
    assert [(event.event, event.reason) for event in view.feed.events if event.member] == [
        ("join", ""),
        ("moved", ""),
        ("leave", "silent"),
    ]
    assert not view.members()


def test_locks_of_who_is_gone_are_told(gateways):
    a, _ = gateways
    view = a.open_view(0.0, "docs")
    a.join(0.0, "docs", locks=["urn:uuid:1"])
    a.tick(30_000.0)
    assert events_of(view, "event", "reason", "locks")[1:] == [
        ("leave", "silent", []),
        ("lock-orphaned", "silent", ["urn:uuid:1"]),
    ]


def test_bounds_are_kept_and_named():
    a, _ = two_gateways(max_members=2, max_rooms=2, max_room=1)
    a.join(0.0, "docs")
    with pytest.raises(PresenceLimitError, match="max_room"):
        a.join(0.0, "docs")
    a.join(0.0, "other")
    with pytest.raises(PresenceLimitError, match="max_members"):
        a.join(0.0, "third")
    b, _ = two_gateways(max_views=1)
    b.open_view(0.0, "x")
    with pytest.raises(PresenceLimitError, match="max_views"):
        b.open_view(0.0, "y")


def test_buckets_stay_bounded_and_a_full_one_says_that_any_room_may_be_there():
    a, b = two_gateways(max_rooms=8000)
    for number in range(6000):
        a.join(0.0, f"docs/{number}")
    updates = a.drain_directory_updates()
    assert len(updates) == BUCKETS and max(len(update.value) for update in updates) <= 602
    for key, value in updates:
        b.receive_directory_entry(0.0, a.origin, key, value)
    full = next(int(key[-2:], 16) for key, value in updates if value[1])
    unknown = next(f"x/{number}" for number in range(9999) if bucket_of(f"x/{number}") == full)
    assert a.origin in b.open_view(0.0, unknown).replicas


def test_a_bucket_in_the_gossip_is_pinned(gateways):
    a, b = gateways
    a.join(0.0, "docs")
    ((key, value),) = a.drain_directory_updates()
    assert (key, value.hex()) == ("presence/0a", "01008a8965e8349de338")
    b.receive_directory_entry(0.0, a.origin, key, b"\x02new")
    b.receive_directory_entry(0.0, a.origin, "presence/zz", value)
    assert a.origin in b.open_view(0.0, "docs").replicas  # of a newer program: any room may be there
    b.receive_directory_entry(0.0, a.origin, key, None)
    assert not b.open_view(0.0, "other").replicas.get(a.origin)


class Stream:
    """A stream from `b` to `a` whose messages come in any portions, twice, or are lost from some point on."""

    def __init__(self, a, b, source):
        self.a, self.b, self.source = a, b, source
        self.view = a.open_view(0.0, "docs")
        a.source_connected(0.0, b.origin)
        self.replica = a._table.follow(0.0, self.view, b.origin)
        b.subscriber_connected(1, a.origin)
        b.receive_request(0.0, 1, Subscribe("docs", 0))
        self.sent = []
        self.known, self.cursor = set(), self.view.feed.cursor

    def collect(self):
        self.sent += [message for _, message in self.b.drain_outgoing()]

    def deliver_some(self):
        while self.sent and self.source.random() < 0.5:
            self.a.receive_update(0.0, self.b.origin, self.sent[0])
            again = self.sent.pop(0) if self.source.random() < 0.7 else self.sent[0]
            self.a.receive_update(0.0, self.b.origin, again)
            self.look()
            if self.source.random() < 0.1:
                self.reconnect()

    def reconnect(self):
        """Lose what is on its way, and go on by a new stream from where this one stands."""
        self.sent.clear()
        self.b.subscriber_disconnected(1)
        self.b.subscriber_connected(1, self.a.origin)
        self.b.receive_request(0.0, 1, Subscribe("docs", self.replica.received))
        self.collect()

    def deliver_all(self):
        self.collect()
        for message in self.sent:
            self.a.receive_update(0.0, self.b.origin, message)
        self.look()

    def look(self):
        """Follow the feed as a watcher does."""
        events = self.view.feed.events_after(*self.cursor)
        if events is None:
            self.known = {shown.entry.id for shown in self.view.members()}
        for event in events or ():
            assert (event.event == "leave") == (event.member in self.known)
            self.known ^= {event.member}
        self.cursor = self.view.feed.cursor


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 1 << 30))
def test_changes_in_any_portions_with_any_repeats_come_to_the_same(seed):
    source = random.Random(seed)
    a, b = two_gateways(log=source.choice([2, 1000]))
    stream, sessions = Stream(a, b, source), []
    for number in range(source.randrange(1, 30)):
        if sessions and source.random() < 0.4:
            b.leave(float(number), sessions.pop(source.randrange(len(sessions))))
        else:
            sessions.append(b.join(float(number), "docs", source.randbytes(2)))
        if source.random() < 0.3:
            b.publish_changes()
        stream.collect()
        stream.deliver_some()
    b.publish_changes()
    stream.deliver_all()
    assert stream.replica.members == b.rooms["docs"].members
    assert stream.known == set(stream.replica.members)
