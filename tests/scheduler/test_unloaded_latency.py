"""The unloaded latency, estimated from responses."""

import pytest

from tests.scheduler.support import host, make_arrival, make_attempt_ended, send_and_answer, sent


def test_the_estimate_depends_on_units_and_a_queue_does_not_change_its_slope():
    """Otherwise large requests would look like queueing and small ones like an idle node."""
    scheduler = host(hosts=10)
    for step in range(60):
        units = float(1 + step % 8)
        queue = 40.0 * (step % 3)  # the same delay for large and small requests
        node = send_and_answer(scheduler, 500.0 * step, f"r{step}", 80.0 + 4.0 * units + queue, units)
    assert 3.0 < node.limit.unloaded.slope < 5.0
    assert 60.0 <= node.limit.unloaded.estimate(1.0) <= 125.0 and node.limit.unloaded.estimate(8.0) <= 155.0


@pytest.mark.parametrize("latency", [2.0, 20.0, 150.0, 900.0])
def test_d_grows_at_an_idle_node_whatever_its_latency(latency):
    """A target relative to the objective alone would keep D at one where the unloaded latency is higher."""
    scheduler = host()
    for step in range(40):
        node = send_and_answer(scheduler, 2000.0 * step, f"r{step}", latency)
    assert node.limit.window > 1.9 and node.limit.wait_ratio < 0.05


def test_a_first_response_under_overload_is_not_taken_for_the_unloaded_latency():
    """Otherwise every request would count as late on arrival, and none would correct the estimate."""
    scheduler = host(hosts=40)
    node = send_and_answer(scheduler, 0.0, "jam", 1400.0)
    assert node.limit.unloaded.base_ms <= 150.0
    served = 0
    for step in range(1, 60):
        now = 2000.0 + 100.0 * step
        for name in sent(scheduler.act(now, [make_arrival(f"r{step}")])):
            served += 1
            scheduler.act(now + 30.0, [make_attempt_ended(name, latency_ms=30.0)])
    assert node.limit.unloaded.base_ms <= 40.0 and served > 40


def test_a_single_host_adapts_to_a_node_that_becomes_permanently_slow():
    scheduler = host()
    for step in range(30):
        node = send_and_answer(scheduler, 200.0 * step, f"r{step}", 20.0)
    for step in range(30):
        send_and_answer(scheduler, 10000.0 + 400.0 * step, f"s{step}", 100.0)
    assert node.limit.unloaded.base_ms > 80.0 and node.limit.wait_ratio < 0.1


def test_queueing_caused_by_other_hosts_is_not_taken_for_the_unloaded_latency():
    """Otherwise a host that backed off from others' queue would accept it as normal and speed up."""
    scheduler = host(hosts=40)
    for step in range(20):
        node = send_and_answer(scheduler, 100.0 * step, f"r{step}", 20.0)
    for step in range(20):
        now = 4000.0 + 150.0 * step
        for name in sent(scheduler.act(now, [make_arrival(f"s{step}")])):
            scheduler.act(now + 140.0, [make_attempt_ended(name, latency_ms=140.0)])
    assert node.limit.unloaded.base_ms < 40.0 and node.limit.wait_ratio > 0.2


def test_requests_without_units_are_samples_too():
    scheduler = host()
    for step in range(5):
        node = send_and_answer(scheduler, 100.0 * step, f"r{step}", 20.0, units=0.0)
    assert node.limit.unloaded.base_ms == pytest.approx(20.0) and node.limit.unloaded.slope == 0.0
