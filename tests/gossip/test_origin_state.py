"""Tracking of an origin's known versions."""

from cressrock.gossip.origin_state import OriginState, VersionRange


def test_a_range_beyond_a_gap_counts_once_the_gap_is_closed():
    state = OriginState()
    state.add_known(5, 8, 4)
    assert state.known == 0 and state.ahead == [VersionRange(5, 8)]
    state.add_known(0, 5, 4)
    assert state.known == 8 and state.ahead == []


def test_ranges_that_touch_are_joined_and_the_farthest_are_forgotten():
    state = OriginState()
    for after, upto in ((2, 3), (6, 7), (10, 12), (3, 5)):
        state.add_known(after, upto, 2)
    assert state.ahead == [VersionRange(2, 5), VersionRange(6, 7)]


def test_adding_versions_already_known_changes_nothing():
    state = OriginState(known=9)
    for after, upto in ((0, 9), (4, 6), (9, 9)):
        state.add_known(after, upto, 4)
    assert state.known == 9 and state.ahead == []
