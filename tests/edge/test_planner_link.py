"""The edge's handler of its link to the planner."""

import random

from cressrock.dispatch.ledger import Ledger
from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import DisconnectedPolicy
from cressrock.edge.planner_link import EdgeLinkHandler, PlannerLink
from cressrock.edge.reconnect import ReconnectBackoff
from cressrock.link import messages
from cressrock.link.protocol import LinkLimits
from tests.link.support import exchange, link_pair


def test_sending_on_a_closed_link_keeps_the_events():
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
    # The link has closed but the edge has not handled the Closed event yet.
    EdgeLinkHandler(planner_link, link, "p:1").send_pending()
    assert len(edge.outbox) == 1
