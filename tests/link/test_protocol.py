"""The link's state machine: handshake, credit, timeouts, corrupted and fragmented input."""

import random

import pytest

from cressrock.link import messages
from cressrock.link.protocol import Closed, Link, LinkLimits, LinkState, Opened, OutOfCreditError, Role
from tests.link.support import client_left, exchange, link_pair


@pytest.fixture
def open_pair():
    """Both ends after the handshake."""
    edge, planner = link_pair()
    exchange(edge, planner)
    return edge, planner


def test_handshake_agrees_on_version_epoch_and_capabilities():
    to_edge, to_planner = exchange(*link_pair())
    assert to_edge == [Opened(2, "p", "", 7, ("b",))]
    assert to_planner == [Opened(2, "e", "l1", 7, ("b",))]


def test_newer_and_older_peer_agree_on_the_older_version():
    edge, planner = link_pair(edge={"versions": (3, 2, 1)}, planner={"versions": (2, 1)})
    assert exchange(edge, planner)[0][0].version == 2


def test_peers_without_a_common_version_disconnect_with_the_reason():
    edge, planner = link_pair(edge={"versions": (3,)})
    (at_edge,), (at_planner,) = exchange(edge, planner)
    assert at_planner.by_us and not at_edge.by_us and "no common version" in at_edge.reason
    assert planner.state is edge.state is LinkState.CLOSED


def test_frames_may_arrive_one_byte_at_a_time(open_pair):
    edge, planner = open_pair
    for number in range(5):
        edge.send(client_left(number))
    events = [event for byte in edge.take_bytes() for event in planner.receive_data(bytes([byte]), 0)]
    assert events == [client_left(number) for number in range(5)]


def test_messages_beyond_the_credit_are_refused():
    edge, planner = link_pair(planner={"limits": LinkLimits(credit=4)})
    exchange(edge, planner)
    for number in range(4):
        edge.send(client_left(number))
    with pytest.raises(OutOfCreditError):
        edge.send(client_left(4))
    assert len(exchange(edge, planner)[1]) == 4
    planner.return_credit(1)
    assert edge.credit == 0 and not planner.take_bytes()  # credit is returned per half window
    planner.return_credit(1)
    exchange(edge, planner)
    assert edge.credit == 2
    edge.credit = 100  # simulate a peer that ignores its credit
    for number in range(5):
        edge.send(client_left(number))
    assert exchange(edge, planner)[0][-1] == Closed("more messages than credit was given for", by_us=False)


def test_idle_peer_is_pinged_and_silent_peer_disconnected(open_pair):
    edge, planner = open_pair
    now = edge.next_tick_ms()
    assert edge.tick(now - 1) == [] and edge.tick(now) == []
    exchange(edge, planner, now)  # the peer answers the ping
    assert edge.next_tick_ms() == now + 500
    edge.tick(now + 500)
    assert edge.tick(now + 1999) == []
    assert edge.tick(now + 2000) == [Closed("silent for too long", by_us=True)]


def test_peer_without_a_handshake_is_disconnected():
    planner = Link(Role.PLANNER, "p", 0)
    assert planner.tick(1999) == [] and planner.tick(2000)[0].reason == "no greeting in time"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff\xff", "at most 65536"),
        (b"\x00\x00\x00\x01\xc1", "cannot be read"),
        (b"\x00\x00\x00\x00", "cannot be read"),
        (messages.encode(client_left()), "before both had agreed"),
        (messages.encode(messages.Welcome(1, "x", 1)), "a second welcome"),
        (b"\x00\x00\x40\x00" + b"\x91" * 0x4000, "cannot be read"),
    ],
)
def test_protocol_violation_closes_the_link_and_sends_the_reason(data, reason):
    planner = Link(Role.PLANNER, "p", 0)
    (closed,) = planner.receive_data(data, 0)
    assert isinstance(closed, Closed) and reason in closed.reason
    assert reason.encode() in planner.take_bytes()
    assert planner.receive_data(data, 0) == [] and planner.next_tick_ms() == float("inf")


def test_order_sent_by_an_edge_is_refused_at_both_ends(open_pair):
    edge, planner = open_pair
    with pytest.raises(ValueError, match="not the edge's to send"):
        edge.send(messages.CancelAttempt(7, "r", 0))
    (closed,) = planner.receive_data(messages.encode(messages.CancelAttempt(7, "r", 0)), 0)
    assert "not the planner's to take" in closed.reason


def test_corrupted_bytes_neither_crash_the_link_nor_grow_its_buffer():
    rng = random.Random(5)
    for _ in range(3000):
        planner = Link(Role.PLANNER, "p", 0)
        data = messages.encode(messages.Hello([1], "e", "l", [], 5))
        data += b"".join(messages.encode(client_left(number)) for number in range(3))
        for _ in range(rng.randrange(1, 5)):
            index = rng.randrange(len(data))
            data = data[:index] + bytes([rng.randrange(256)]) * rng.choice((1, 9)) + data[index + 1 :]
        for begin in range(0, len(data), 7):
            planner.receive_data(data[begin : begin + 7], 0)
        assert len(planner._buffer) <= planner.limits.max_frame_bytes + 11
