"""How long suspicion lasts."""

import pytest

from cressrock.membership.settings import MembershipSettings
from cressrock.membership.suspicion import min_suspicion_ms, suspicion_ms

SETTINGS = MembershipSettings()


def test_suspicion_falls_from_its_longest_to_its_shortest_with_the_accusers():
    shortest = min_suspicion_ms(SETTINGS, 230)
    lasts = [suspicion_ms(SETTINGS, 230, accusers, has_named_accuser=True) for accusers in range(1, 5)]
    assert lasts[0] == pytest.approx(SETTINGS.max_suspicion_factor * shortest)
    assert lasts[0] > lasts[1] > lasts[2]
    assert lasts[2:] == pytest.approx([shortest, shortest])


def test_without_others_to_confirm_an_accusation_by_name_lasts_shortest():
    shortest = min_suspicion_ms(SETTINGS, 3)
    assert suspicion_ms(SETTINGS, 3, 1, has_named_accuser=True) == shortest
    assert suspicion_ms(SETTINGS, 3, 0, has_named_accuser=False) > shortest


@pytest.mark.parametrize("size", [2, 10, 230, 4806])
def test_a_tolerated_pause_always_fits_into_the_shortest_suspicion(size):
    period_ms = SETTINGS.protocol_period_ms
    assert period_ms + min_suspicion_ms(SETTINGS, size) > SETTINGS.tolerated_pause_ms
