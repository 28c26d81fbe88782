"""Suspicion timeouts."""

import pytest

from cressrock.membership.settings import MembershipSettings
from cressrock.membership.suspicion import min_suspicion_ms, suspicion_ms

SETTINGS = MembershipSettings()


def test_suspicion_timeout_falls_from_maximum_to_minimum_with_more_accusers():
    min_ms = min_suspicion_ms(SETTINGS, 230)
    timeouts_ms = [suspicion_ms(SETTINGS, 230, accusers, has_named_accuser=True) for accusers in range(1, 5)]
    assert timeouts_ms[0] == pytest.approx(SETTINGS.max_suspicion_factor * min_ms)
    assert timeouts_ms[0] > timeouts_ms[1] > timeouts_ms[2]
    assert timeouts_ms[2:] == pytest.approx([min_ms, min_ms])


def test_suspicion_by_a_named_accuser_has_the_minimum_timeout_in_a_cluster_without_confirmers():
    min_ms = min_suspicion_ms(SETTINGS, 3)
    assert suspicion_ms(SETTINGS, 3, 1, has_named_accuser=True) == min_ms
    assert suspicion_ms(SETTINGS, 3, 0, has_named_accuser=False) > min_ms


@pytest.mark.parametrize("size", [2, 10, 230, 4806])
def test_a_tolerated_pause_ends_before_the_minimum_suspicion_timeout(size):
    period_ms = SETTINGS.protocol_period_ms
    assert period_ms + min_suspicion_ms(SETTINGS, size) > SETTINGS.tolerated_pause_ms
