"""Rules for the choice of the next request besides its tag."""

from cressrock.interface import Arrival, Plan
from tests.scheduler.support import host, make_arrival, send_and_answer, sent


def test_requests_outside_a_reserve_are_held_back_only_if_worth_less():
    for share_worth, held in ((0.4, True), (1.0, False)):
        scheduler = host(hosts=4, plans=(Plan(reserve=5.0),), share_worth=share_worth)
        node = scheduler.endpoints.by_name["a"]
        send_and_answer(scheduler, 0.0, "first", 20.0)
        node.limit.wait_ratio, node.limit.latency_ms = 0.3, 100.0
        scheduler.accounts.by_volume["v"].reserve = 0.0
        assert bool(sent(scheduler.act(30.0, [make_arrival("beyond")]))) is not held


def test_late_requests_may_use_all_slots_of_d_but_one():
    """One late request at a time would leave a node with many cores mostly idle under a backlog."""
    scheduler = host(initial_window=4.0)
    scheduler.act(0.0, [Arrival(f"late{i}", "v", "", 1.0, 1500.0, 0, 0, 0, 1, 400.0) for i in range(6)])
    assert len(scheduler.endpoints.by_name["a"].in_flight) == 3
    assert sent(scheduler.act(1.0, [make_arrival("in time")])) == ["in time"]
