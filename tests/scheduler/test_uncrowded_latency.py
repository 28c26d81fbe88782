"""What an uncrowded answer takes, learnt from answers."""

import pytest

from tests.scheduler.support import answer, ask, done, host, sent


def test_an_uncrowded_answer_is_learnt_by_units_and_a_queue_does_not_change_its_slope():
    """Danger: large requests look like a crowd, small ones like an idle node."""
    scheduler = host(hosts=10)
    for step in range(60):
        units = float(1 + step % 8)
        queue = 40.0 * (step % 3)  # as long for the large as for the small
        node = answer(scheduler, 500.0 * step, f"r{step}", 80.0 + 4.0 * units + queue, units)
    assert 3.0 < node.limit.unloaded.slope < 5.0
    assert 60.0 <= node.limit.unloaded.estimate(1.0) <= 125.0 and node.limit.unloaded.estimate(8.0) <= 155.0


@pytest.mark.parametrize("base", [2.0, 20.0, 150.0, 900.0])
def test_d_grows_at_an_idle_node_however_long_its_answers_take(base):
    """Danger: a target that is a part of the aim keeps D at one where an idle node's answer is longer."""
    scheduler = host()
    for step in range(40):
        node = answer(scheduler, 2000.0 * step, f"r{step}", base)
    assert node.limit.window > 1.9 and node.limit.wait_ratio < 0.05


def test_a_first_answer_out_of_a_jam_is_not_taken_for_the_nodes_own():
    """Danger: everything would be late from its arrival on, and nothing sent that could put it right."""
    scheduler = host(hosts=40)
    node = answer(scheduler, 0.0, "jam", 1400.0)
    assert node.limit.unloaded.base_ms <= 150.0
    served = 0
    for step in range(1, 60):
        now = 2000.0 + 100.0 * step
        for name in sent(scheduler.act(now, [ask(f"r{step}")])):
            served += 1
            scheduler.act(now + 30.0, [done(name, lag=30.0)])
    assert node.limit.unloaded.base_ms <= 40.0 and served > 40


def test_a_node_that_becomes_slow_for_ever_is_learnt_anew_by_a_host_that_has_it_alone():
    scheduler = host()
    for step in range(30):
        node = answer(scheduler, 200.0 * step, f"r{step}", 20.0)
    for step in range(30):
        answer(scheduler, 10000.0 + 400.0 * step, f"s{step}", 100.0)
    assert node.limit.unloaded.base_ms > 80.0 and node.limit.wait_ratio < 0.1


def test_a_crowd_of_hosts_does_not_pass_for_the_nodes_own_time():
    """Danger: a host that gives way to a queue of others would learn the queue, and push on."""
    scheduler = host(hosts=40)
    for step in range(20):
        node = answer(scheduler, 100.0 * step, f"r{step}", 20.0)
    for step in range(20):
        now = 4000.0 + 150.0 * step
        for name in sent(scheduler.act(now, [ask(f"s{step}")])):
            scheduler.act(now + 140.0, [done(name, lag=140.0)])
    assert node.limit.unloaded.base_ms < 40.0 and node.limit.wait_ratio > 0.2


def test_requests_that_count_no_units_teach_as_well():
    scheduler = host()
    for step in range(5):
        node = answer(scheduler, 100.0 * step, f"r{step}", 20.0, units=0.0)
    assert node.limit.unloaded.base_ms == pytest.approx(20.0) and node.limit.unloaded.slope == 0.0
