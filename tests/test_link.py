"""The link's state machine: greetings, credit, silence, broken and dripping bytes."""

import random

import pytest

from cressrock.link import messages as m
from cressrock.link.protocol import Closed, Link, LinkLimits, Opened, OutOfCredit, Role, State


def pair(**changes):
    edge = Link(Role.EDGE, "e", 0, incarnation="l1", capabilities=("a", "b"), **changes.get("edge", {}))
    planner = Link(Role.PLANNER, "p", 0, epoch=7, capabilities=("b", "c"), **changes.get("planner", {}))
    return edge, planner


def talk(edge, planner, now=0):
    """Carry bytes until both are quiet; returns what each was told."""
    heard = {Role.EDGE: [], Role.PLANNER: []}
    while True:
        up, down = edge.take_bytes(), planner.take_bytes()
        if not up and not down:
            return heard[Role.EDGE], heard[Role.PLANNER]
        if up:
            heard[Role.PLANNER] += planner.receive_data(up, now)
        if down:
            heard[Role.EDGE] += edge.receive_data(down, now)


def event(number=0):
    return m.Left(number, float(number), f"r{number}")


def test_both_agree_on_version_epoch_and_capabilities():
    edge, planner = pair()
    to_edge, to_planner = talk(edge, planner)
    assert to_edge == [Opened(2, "p", "", 7, ("b",))]
    assert to_planner == [Opened(2, "e", "l1", 7, ("b",))]


def test_a_newer_peer_and_an_older_one_agree_on_the_older_or_part_with_a_reason():
    edge, planner = pair(edge={"versions": (3, 2, 1)}, planner={"versions": (2, 1)})
    assert talk(edge, planner)[0][0].version == 2
    edge, planner = pair(edge={"versions": (3,)})
    (ours,), (theirs,) = talk(edge, planner)
    assert theirs.ours and not ours.ours and "no common version" in ours.reason
    assert planner.state is edge.state is State.CLOSED


def test_one_byte_at_a_time_is_the_same_conversation():
    edge, planner = pair()
    talk(edge, planner)
    for number in range(5):
        edge.send(event(number))
    told = [t for byte in edge.take_bytes() for t in planner.receive_data(bytes([byte]), 0)]
    assert told == [event(number) for number in range(5)]


def test_nobody_sends_more_than_it_was_given_credit_for():
    edge, planner = pair(planner={"bounds": LinkLimits(credit=4)})
    talk(edge, planner)
    for number in range(4):
        edge.send(event(number))
    with pytest.raises(OutOfCredit):
        edge.send(event(4))
    assert len(talk(edge, planner)[1]) == 4
    planner.taken(1)
    assert edge.credit == 0 and not planner.take_bytes()  # given back by halves of the window
    planner.taken(1)
    talk(edge, planner)
    assert edge.credit == 2
    edge.credit = 100  # a peer that does not keep to it
    for number in range(5):
        edge.send(event(number))
    assert talk(edge, planner)[0][-1] == Closed("more messages than credit was given for", ours=False)


def test_a_quiet_peer_is_asked_and_a_silent_one_parted_with():
    edge, planner = pair()
    talk(edge, planner)
    now = edge.next_due()
    assert edge.tick(now - 1) == [] and edge.tick(now) == []
    talk(edge, planner, now)  # the peer answers: both live
    assert edge.next_due() == now + 500
    edge.tick(now + 500)
    assert edge.tick(now + 1999) == []
    assert edge.tick(now + 2000) == [Closed("silent for too long", ours=True)]
    slow = Link(Role.PLANNER, "p", 0)
    assert slow.tick(1999) == [] and slow.tick(2000)[0].reason == "no greeting in time"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xff\xff\xff", "at most 65536"),
        (b"\x00\x00\x00\x01\xc1", "cannot be read"),
        (b"\x00\x00\x00\x00", "cannot be read"),
        (m.encode(event()), "before both had agreed"),
        (m.encode(m.Welcome(1, "x", 1)), "a second welcome"),
        (b"\x00\x00\x40\x00" + b"\x91" * 0x4000, "cannot be read"),
    ],
)
def test_a_peer_that_breaks_the_protocol_is_told_how(data, reason):
    planner = Link(Role.PLANNER, "p", 0)
    (told,) = planner.receive_data(data, 0)
    assert isinstance(told, Closed) and reason in told.reason
    assert reason.encode() in planner.take_bytes()
    assert planner.receive_data(data, 0) == [] and planner.next_due() == float("inf")


def test_an_edge_whose_link_has_closed_sends_nothing_more_and_lives():
    import random as source

    from cressrock.dispatch.ledger import Ledger
    from cressrock.edge.decisions import EdgeDecisions
    from cressrock.edge.disposition import DisconnectedPolicy, ReconnectBackoff
    from cressrock.edge.planner_link import PlannerLink

    core = EdgeDecisions(
        Ledger(drain_grace_ms=1, answer_slack_ms=1, max_open=9), DisconnectedPolicy(), source.Random(1)
    )
    again = ReconnectBackoff(("p:1",), source.Random(1), min_wait_ms=1, max_wait_ms=2)
    carrier = PlannerLink(
        core,
        again,
        None,
        lambda: None,
        name="e",
        incarnation="l",
        clock=lambda: 0.0,
        limits=LinkLimits(),
        log=None,
    )
    edge, planner = pair()
    talk(edge, planner)
    core.planner_joined("p:1", 7, 0.0)
    core._up(event(), 0.0)
    edge.close("silent for too long")
    carrier._fill(edge)  # between the end of the link and the edge's hearing of it
    assert len(core.outbox) == 1


def test_an_order_sent_up_and_an_event_sent_down_are_refused():
    edge, planner = pair()
    talk(edge, planner)
    with pytest.raises(ValueError, match="not the edge's to send"):
        edge.send(m.CallOff(7, "r", 0))
    (told,) = planner.receive_data(m.encode(m.CallOff(7, "r", 0)), 0)
    assert "not the planner's to take" in told.reason


def test_drawn_bytes_neither_crash_nor_grow_the_link():
    draw = random.Random(5)
    for _ in range(3000):
        planner = Link(Role.PLANNER, "p", 0)
        data = m.encode(m.Hello([1], "e", "l", [], 5)) + b"".join(m.encode(event(i)) for i in range(3))
        for _ in range(draw.randrange(1, 5)):
            at = draw.randrange(len(data))
            data = data[:at] + bytes([draw.randrange(256)]) * draw.choice((1, 9)) + data[at + 1 :]
        for begin in range(0, len(data), 7):
            planner.receive_data(data[begin : begin + 7], 0)
        assert len(planner._buffer) <= planner.bounds.max_frame + 11
