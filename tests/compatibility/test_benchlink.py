"""The simulator's protocol is as recorded: sessions, single actions, settings and rejected lines."""

import pytest

from tests.compatibility import benchlink_cases, canonical

RECORDED = canonical.load(benchlink_cases.FIXTURE)


@pytest.mark.parametrize("number", range(len(RECORDED["sessions"])))
def test_a_recorded_session_gets_the_recorded_replies(number):
    exchanges = RECORDED["sessions"][number]
    assert benchlink_cases.replay(exchanges) == exchanges


def test_each_action_is_written_as_recorded():
    assert benchlink_cases.action_lines() == RECORDED["actions"]


def test_malformed_input_is_rejected_at_the_recorded_line():
    refused = [benchlink_cases.rejected_line_number(text) for text in benchlink_cases.MALFORMED]
    assert refused == RECORDED["refused"]


def test_settings_objects_are_parsed_as_recorded():
    read = [[config, benchlink_cases.parsed_or_error(config)] for config, _ in RECORDED["settings"]]
    assert read == RECORDED["settings"]
