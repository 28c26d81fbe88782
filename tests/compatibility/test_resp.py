"""RESP2 is parsed and encoded as recorded: bytes, values, requests, answers and error texts."""

import pytest

from tests.compatibility import canonical, resp_cases

RECORDED = canonical.load(resp_cases.FIXTURE)


@pytest.fixture(scope="module")
def current():
    return resp_cases.content()


@pytest.mark.parametrize("part", RECORDED)
def test_each_part_of_the_protocol_matches_the_record(part, current):
    assert current[part] == RECORDED[part]


def test_every_part_was_recorded(current):
    assert current.keys() == RECORDED.keys()
