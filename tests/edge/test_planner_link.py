"""The edge's service around its link."""

import random

from cressrock.dispatch.ledger import Ledger
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import DisconnectedPolicy
from cressrock.edge.planner_link import EdgeLinkHandler, PlannerLink
from cressrock.edge.reconnect import ReconnectBackoff
from cressrock.link import messages
from cressrock.link.protocol import LinkLimits
from tests.link.support import exchange, link_pair


def test_edge_whose_link_has_closed_keeps_its_events_and_lives():
    ledger = Ledger(drain_grace_ms=1, answer_slack_ms=1, max_open=9)
    edge = EdgeDecisions(ledger, DisconnectedPolicy(), random.Random(1))
    backoff = ReconnectBackoff(("p:1",), random.Random(1), min_wait_ms=1, max_wait_ms=2)
    planner_link = PlannerLink(
        edge,
        backoff,
        None,
        lambda: None,
        name="e",
        incarnation="l",
        clock=lambda: 0.0,
        limits=LinkLimits(),
        log=None,
    )
    link, planner = link_pair()
    exchange(link, planner)
    edge.planner_joined("p:1", 7, 0.0)
    edge.session.report(messages.ClientLeft(0, 0.0, "r0"), 0.0)
    link.close("silent for too long")
    # Between the end of the link and the edge's hearing of it.
    EdgeLinkHandler(planner_link, link, "p:1").send_pending()
    assert len(edge.outbox) == 1
