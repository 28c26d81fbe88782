"""Small fleets report by gossip, large ones to collectors, without flapping between the two."""

import random

import pytest

from cressrock.aggregation.delivery import DeliveryMode, derive_max_gossip_senders, gossip_interval_ms

MAX_GOSSIP_SENDERS = derive_max_gossip_senders(10000.0)


@pytest.fixture
def mode():
    return DeliveryMode(MAX_GOSSIP_SENDERS, 10000.0)


def test_derived_gossip_limit_is_between_20_and_60():
    assert 20 <= MAX_GOSSIP_SENDERS <= 60


def test_fluctuating_fleet_size_near_the_limit_does_not_flap_the_mode(mode):
    change_count, now_ms, source = 0, 0.0, random.Random(4)
    for _ in range(2000):
        now_ms += 500
        was_collecting = mode.collecting
        change_count += (
            mode.update(now_ms, MAX_GOSSIP_SENDERS + source.randint(-8, 8), 3, ()) != was_collecting
        )
    assert change_count <= 1


def test_mode_changes_only_after_the_hold_time(mode):
    assert not mode.update(0.0, 230, 3, ()) and mode.update(1000.0, 230, 3, ()), (
        "the first change uses the short hold"
    )
    assert mode.update(10500.0, MAX_GOSSIP_SENDERS // 2 + 1, 3, ()), (
        "collectors are kept down to half of the limit"
    )
    assert mode.update(11000.0, 230, 3, ["p1"]) and mode.update(20000.0, 230, 3, ["p1"])
    assert not mode.update(21000.0, 230, 3, ["p1"]) and "p1" in mode.reason
    assert not mode.update(22000.0, 230, 3, ()) and not mode.update(31000.0, 230, 3, ())
    assert mode.update(32000.0, 230, 3, ()) and mode.update(33000.0, 230, 0, ())
    assert not mode.update(43000.0, 230, 0, ()) and "no collector" in mode.reason


def test_gossip_interval_grows_only_above_gossip_capacity():
    assert gossip_interval_ms(230, 40.0, 10000.0) == 0.0, (
        "230 senders at the usual interval are within capacity"
    )
    assert gossip_interval_ms(4800, 40.0, 10000.0) == 120000.0
