"""Full exchanges send the recorded frames, and handle received frames as recorded."""

from __future__ import annotations

import pytest

from tests.compatibility import exchange_cases as cases
from tests.compatibility.canonical import load

RECORDED = load("exchange")


def test_the_other_side_sends_the_recorded_frames():
    sent = [[data.hex() for data in chunks] for chunks in cases.incoming()]
    assert sent == [exchange["incoming"] for exchange in RECORDED["exchanges"]]


@pytest.mark.parametrize("exchange", RECORDED["exchanges"])
def test_an_exchange_is_answered_as_recorded(exchange):
    incoming = [bytes.fromhex(data) for data in exchange["incoming"]]
    assert cases.reply(incoming) == exchange["answer"]


def test_an_exchange_begins_with_the_recorded_frames():
    assert cases.initiated_exchange() == RECORDED["asked"]
