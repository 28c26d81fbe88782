"""Start tags, and the compensation for units served in excess."""

import pytest

from cressrock.interface import TimerFired
from cressrock.scheduler.fair_queue import COMPENSATION_PERIOD_MS
from tests.scheduler.support import host, make_arrival, make_attempt_ended, sent


def test_tags_order_volumes_by_units_over_weight():
    scheduler = host()
    assert sent(scheduler.act(0.0, [make_arrival("first", "x")])) == ["first"]
    # Volume a (weight 1): tags 0, 2, 4.  Volume b (weight 2): tags 0, 1, 2.  a wins ties: it came first.
    batch = [make_arrival(f"a{i}", "a") for i in range(3)] + [
        make_arrival(f"b{i}", "b", plan=1) for i in range(3)
    ]
    assert sent(scheduler.act(1.0, batch)) == []
    order, last = [], "first"
    for step in range(6):
        scheduler.endpoints.by_name["a"].limit.window = 1.0  # undo the adjustment by the last response
        (last,) = sent(scheduler.act(2.0 + step, [make_attempt_ended(last, latency_ms=1.0)]))
        order.append(last)
    assert order == ["a0", "b0", "b1", "a1", "b2", "a2"]


def test_an_idle_volume_accumulates_no_credit():
    scheduler = host()
    scheduler.act(
        0.0, [make_arrival("busy0", "busy"), make_arrival("busy1", "busy"), make_arrival("busy2", "busy")]
    )
    scheduler.act(1.0, [make_attempt_ended("busy0", latency_ms=1.0)])
    scheduler.act(
        2.0,
        [
            make_attempt_ended("busy1", latency_ms=1.0),
            make_arrival("new0", "new"),
            make_arrival("new1", "new"),
        ],
    )
    queue = scheduler.queues[0]
    # busy2 with start tag 4 was sent: a new volume starts at the virtual time, not at zero.
    assert queue.max_start_tag == 4.0
    assert [r.virtual_arrival for r in queue.volumes["new"].waiting] == [4.0, 4.0]


def test_compensation_delays_an_over_served_volume_and_decays():
    scheduler = host(initial_window=1.0)
    scheduler.act(
        0.0,
        [
            make_arrival("x"),
            *[make_arrival(f"a{i}", "a") for i in range(9)],
            *[make_arrival(f"b{i}", "b") for i in range(9)],
        ],
    )
    scheduler.act(1.0, [make_attempt_ended("x", latency_ms=1.0)])
    out = next(iter(scheduler.endpoints.by_name["a"].in_flight))
    # Other hosts used 30 units of the node for the volume of the request that ends now.
    scheduler.act(2.0, [make_attempt_ended(out, latency_ms=1.0, units_elsewhere=30.0)])
    scheduler.act(COMPENSATION_PERIOD_MS + 1, [TimerFired(0)])
    volume_queues = scheduler.queues[0].volumes
    assert volume_queues["a"].compensation == pytest.approx(32.0)
    assert volume_queues["b"].compensation == 0.0
    scheduler.act(2 * COMPENSATION_PERIOD_MS + 2, [TimerFired(0)])
    assert 0.0 < volume_queues["a"].compensation < 32.0
