"""Start-time tags, and the compensation that follows what was served."""

import pytest

from cressrock.interface import TimerFired
from cressrock.scheduler.fair_queue import COMPENSATION_PERIOD_MS
from tests.scheduler.support import ask, done, host, sent


def test_tags_order_volumes_by_units_over_weight():
    scheduler = host()
    assert sent(scheduler.act(0.0, [ask("first", "x")])) == ["first"]
    # Volume a (weight 1): tags 0, 2, 4.  Volume b (weight 2): tags 0, 1, 2.  a joined first at ties.
    batch = [ask(f"a{i}", "a") for i in range(3)] + [ask(f"b{i}", "b", plan=1) for i in range(3)]
    assert sent(scheduler.act(1.0, batch)) == []
    order, last = [], "first"
    for step in range(6):
        scheduler.endpoints.by_name["a"].limit.window = 1.0  # whatever the last answer made of it
        (last,) = sent(scheduler.act(2.0 + step, [done(last, lag=1.0)]))
        order.append(last)
    assert order == ["a0", "b0", "b1", "a1", "b2", "a2"]


def test_an_idle_volume_gets_no_credit_for_its_past():
    scheduler = host()
    scheduler.act(0.0, [ask("busy0", "busy"), ask("busy1", "busy"), ask("busy2", "busy")])
    scheduler.act(1.0, [done("busy0", lag=1.0)])
    scheduler.act(2.0, [done("busy1", lag=1.0), ask("new0", "new"), ask("new1", "new")])
    lane = scheduler.queues[0]
    # busy2 with start tag 4 is out: a newcomer starts at the virtual time, not at nought.
    assert lane.max_start_tag == 4.0
    assert [r.virtual_arrival for r in lane.volumes["new"].waiting] == [4.0, 4.0]


def test_compensation_delays_the_over_served_and_fades():
    scheduler = host(depth=1.0)
    scheduler.act(
        0.0, [ask("x"), *[ask(f"a{i}", "a") for i in range(9)], *[ask(f"b{i}", "b") for i in range(9)]]
    )
    scheduler.act(1.0, [done("x", lag=1.0)])
    out = next(iter(scheduler.endpoints.by_name["a"].in_flight))
    # Other hosts had the node serve 30 units for the volume of the request that is answered now.
    scheduler.act(2.0, [done(out, lag=1.0, elsewhere=30.0)])
    scheduler.act(COMPENSATION_PERIOD_MS + 1, [TimerFired(0)])
    flows = scheduler.queues[0].volumes
    assert flows["a"].compensation == pytest.approx(32.0)
    assert flows["b"].compensation == 0.0
    scheduler.act(2 * COMPENSATION_PERIOD_MS + 2, [TimerFired(0)])
    assert 0.0 < flows["a"].compensation < 32.0
