"""Which request leaves next beside its tag."""

from cressrock.interface import Arrival, Plan
from tests.scheduler.support import answer, ask, host, sent


def test_work_beyond_a_reserve_is_held_back_only_where_it_earns_less():
    for share_worth, held in ((0.4, True), (1.0, False)):
        scheduler = host(hosts=4, plans=(Plan(reserve=5.0),), share_worth=share_worth)
        node = scheduler.endpoints.by_name["a"]
        answer(scheduler, 0.0, "first", 20.0)
        node.limit.wait_ratio, node.limit.latency_ms = 0.3, 100.0
        scheduler.accounts["v"].reserve = 0.0
        assert bool(sent(scheduler.act(30.0, [ask("beyond")]))) is not held


def test_late_work_may_fill_d_but_for_one_slot():
    """Danger: one late request at a time leaves a node of many cores idle under a backlog."""
    scheduler = host(depth=4.0)
    scheduler.act(0.0, [Arrival(f"late{i}", "v", "", 1.0, 1500.0, 0, 0, 0, 1, 400.0) for i in range(6)])
    assert len(scheduler.endpoints.by_name["a"].in_flight) == 3
    assert sent(scheduler.act(1.0, [ask("in time")])) == ["in time"]
