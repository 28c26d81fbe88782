"""Which way reports go: few by gossip, many to collectors, and nothing flaps."""

import random

import pytest

from cressrock.aggregation.delivery import DeliveryMode, derive_max_gossip_senders, gossip_interval_ms

MAX_GOSSIP = derive_max_gossip_senders(10000.0)


@pytest.fixture
def mode():
    return DeliveryMode(MAX_GOSSIP, 10000.0)


def test_the_derived_limit_is_about_thirty():
    assert 20 <= MAX_GOSSIP <= 60


def test_members_that_come_and_go_around_the_limit_flap_nothing(mode):
    changes, now_ms, source = 0, 0.0, random.Random(4)
    for _ in range(2000):
        now_ms += 500
        before = mode.collecting
        changes += mode.update(now_ms, MAX_GOSSIP + source.randint(-8, 8), 3, ()) != before
    assert changes <= 1


def test_many_report_to_collectors_and_few_by_gossip_each_after_a_hold(mode):
    assert not mode.update(0.0, 230, 3, ()) and mode.update(1000.0, 230, 3, ()), "at first soon"
    assert mode.update(10500.0, MAX_GOSSIP // 2 + 1, 3, ()), "down at half alone"
    assert mode.update(11000.0, 230, 3, ["p1"]) and mode.update(20000.0, 230, 3, ["p1"])
    assert not mode.update(21000.0, 230, 3, ["p1"]) and "p1" in mode.reason
    assert not mode.update(22000.0, 230, 3, ()) and not mode.update(31000.0, 230, 3, ())
    assert mode.update(32000.0, 230, 3, ()) and mode.update(33000.0, 230, 0, ())
    assert not mode.update(43000.0, 230, 0, ()) and "no collector" in mode.reason


def test_gossip_is_slowed_only_beyond_what_it_carries():
    assert gossip_interval_ms(230, 40.0, 10000.0) == 0.0, "as before"
    assert gossip_interval_ms(4800, 40.0, 10000.0) == 120000.0
