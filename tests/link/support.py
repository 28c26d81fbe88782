"""Helpers that create both ends of a link and exchange their bytes."""

from cressrock.link import messages
from cressrock.link.protocol import Link, Role


def link_pair(*, edge=None, planner=None):
    """Return the edge's and the planner's end; `edge` and `planner` add arguments."""
    return (
        Link(Role.EDGE, "e", 0, incarnation="l1", capabilities=("a", "b"), **edge or {}),
        Link(Role.PLANNER, "p", 0, epoch=7, capabilities=("b", "c"), **planner or {}),
    )


def exchange(edge, planner, now=0):
    """Transfer bytes until neither end has output; return the edge's and the planner's events."""
    edge_events, planner_events = [], []
    while True:
        up, down = edge.take_bytes(), planner.take_bytes()
        if not up and not down:
            return edge_events, planner_events
        if up:
            planner_events += planner.receive_data(up, now)
        if down:
            edge_events += edge.receive_data(down, now)


def client_left(number=0):
    """Return a ClientLeft event with a sequence number."""
    return messages.ClientLeft(number, float(number), f"r{number}")
