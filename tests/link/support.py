"""Two ends of a link, and the bytes between them."""

from cressrock.link import messages
from cressrock.link.protocol import Link, Role


def link_pair(*, edge=None, planner=None):
    """Return both ends, with changes to their arguments."""
    return (
        Link(Role.EDGE, "e", 0, incarnation="l1", capabilities=("a", "b"), **edge or {}),
        Link(Role.PLANNER, "p", 0, epoch=7, capabilities=("b", "c"), **planner or {}),
    )


def exchange(edge, planner, now=0):
    """Carry bytes until both ends are quiet; return the edge's and the planner's events."""
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
    """Return an event of the edge."""
    return messages.ClientLeft(number, float(number), f"r{number}")
