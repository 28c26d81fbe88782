"""The simulator's wire is read and written as recorded: sessions, single actions, settings, refused lines."""

import pytest

from tests.compatibility import benchlink_cases, canonical

RECORDED = canonical.load(benchlink_cases.FIXTURE)


@pytest.mark.parametrize("number", range(len(RECORDED["sessions"])))
def test_a_recorded_session_gets_the_recorded_answers(number):
    exchanges = RECORDED["sessions"][number]
    assert benchlink_cases.replay(exchanges) == exchanges


def test_each_action_is_written_as_recorded():
    assert benchlink_cases.action_lines() == RECORDED["actions"]


def test_a_malformed_input_is_refused_at_the_recorded_line():
    refused = [benchlink_cases.refused_line(text) for text in benchlink_cases.MALFORMED]
    assert refused == RECORDED["refused"]


def test_settings_objects_are_read_as_recorded():
    read = [[config, benchlink_cases.settings_of(config)] for config, _ in RECORDED["settings"]]
    assert read == RECORDED["settings"]
