"""RESP2 is read and written as recorded: bytes, values, requests, answers, and the texts of errors."""

import pytest

from tests.compatibility import canonical, resp_cases

RECORDED = canonical.load(resp_cases.FIXTURE)


@pytest.fixture(scope="module")
def present():
    return resp_cases.content()


@pytest.mark.parametrize("part", RECORDED)
def test_a_part_of_the_protocol_is_as_recorded(part, present):
    assert present[part] == RECORDED[part]


def test_every_part_was_recorded(present):
    assert present.keys() == RECORDED.keys()
