"""The planner's state: fenced sessions, bounded admission, grants by the edge's clock, no leaks."""

import pytest

from cressrock.interface import ListKind, NodeList
from cressrock.link import messages
from cressrock.planner.planner import Planner, PlannerLimits
from cressrock.scheduler.scheduler import Scheduler
from tests.planner.fleet import Fleet
from tests.planner.support import CLASSES, NODES, SETTINGS, request


def make_planner(**limits):
    """Return a planner in epoch 1 that has the node list."""
    planner = Planner(Scheduler(SETTINGS, 1, 0.0), CLASSES, 1, PlannerLimits(**limits))
    planner.receive_node_list(NodeList(ListKind.COMPLETE, NODES))
    return planner


def test_grant_expires_by_the_edges_clock_regardless_of_the_planners():
    planner = make_planner(grant_ms=400.0)
    session = planner.join("e", "l")
    planner.receive_event("e", session, request(0, "r", at_ms=9e9))
    (grant,) = planner.step(5.0).orders["e"]
    assert (grant.epoch, grant.attempt, grant.node, grant.valid_until_ms) == (1, 0, "n0", 9e9 + 400)


def test_older_connection_of_an_edge_is_fenced_and_leaves_no_state():
    planner = make_planner()
    first = planner.join("e", "l1")
    planner.receive_event("e", first, request(0, "r"))
    assert planner.step(1.0).orders
    second = planner.join("e", "l2")
    assert not planner.receive_event("e", first, request(1, "s")) and not planner.leave("e", first)
    assert planner.receive_event("e", second, request(0, "r"))
    assert planner.step(2.0).orders["e"][0].operation == "r"
    planner.leave("e", second)
    planner.step(3.0)
    scheduler = planner.decisions
    in_flight = any(endpoint.in_flight for endpoint in scheduler.endpoints.by_name.values())
    assert not planner.scheduled and not in_flight and not scheduler.requests


def test_admission_is_bounded_and_fair_between_edges():
    planner = make_planner(max_scheduled=10)
    sessions = {name: planner.join(name, "l") for name in ("a", "b")}
    for index in range(100):
        planner.receive_event("a", sessions["a"], request(index, f"r{index}"))
    for index in range(5):
        planner.receive_event("b", sessions["b"], request(index, f"r{index}"))
    planner.step(1.0)
    assert len(planner.scheduled) == 10
    assert sum(scheduled.session.name == "b" for scheduled in planner.scheduled.values()) == 5


def test_edges_beyond_the_bound_and_events_out_of_order_are_dropped():
    planner = make_planner(max_edges=1)
    session = planner.join("a", "l")
    assert planner.join("b", "l") is None and planner.join("a", "l2") == session + 1
    assert planner.receive_event("a", session + 1, request(5, "r"))
    assert not planner.receive_event("a", session + 1, request(5, "s"))
    planner.receive_event("a", session + 1, messages.AttemptEnded(6, 0.0, "none", 0, "ok", True, 1.0))
    assert planner.dropped == {"out of order": 1, "unknown attempt": 1}


@pytest.mark.parametrize("seed", range(20))
def test_every_operation_is_answered_and_none_sent_twice_during_restarts(seed):
    fleet = Fleet(seed)
    for _ in range(600):
        fleet.step()
    fleet.now_ms += 10000
    fleet.fail_overdue()
    for edge in fleet.edges.values():
        assert all(entry.verdict is not None for entry in edge.ledger.entries.values())
    answered = sum(sum(edge.ledger.answer_counts.values()) for edge in fleet.edges.values())
    assert answered == fleet.accepted and fleet.used > 100 and fleet.unused > 0
    assert len(fleet.planner.scheduled) <= 50


def test_each_send_becomes_one_grant():
    planner = make_planner()
    session = planner.join("e", "l")
    for index in range(3):
        planner.receive_event("e", session, request(index, f"r{index}", shard=index % 2))
    grants = planner.step(1.0).orders["e"]
    assert [type(grant) for grant in grants] == [messages.Grant] * 3
    assert len({grant.number for grant in grants}) == 3
