"""The link behaves as in version 31fc3d8: same bytes, protocol errors and conversations."""

import pytest

from cressrock.link import messages
from tests.compatibility import link_cases
from tests.compatibility.canonical import load

WIRE = load("link_wire")
VALUES = link_cases.wire_values()
CASES = list(zip(VALUES, WIRE, strict=True))
SEEDS = list(zip(link_cases.SEEDS, load("link_conversations"), strict=True))


def test_every_message_type_is_recorded():
    assert len(WIRE) == len(VALUES)
    assert {type(value) for value in VALUES} == set(messages.AnyMessage.__args__)


@pytest.mark.parametrize(("value", "recorded"), CASES)
def test_message_is_encoded_as_recorded(value, recorded):
    assert messages.encode(value).hex() == recorded


@pytest.mark.parametrize(("value", "recorded"), CASES)
def test_recorded_bytes_decode_to_the_same_message(value, recorded):
    frame = bytes.fromhex(recorded)
    assert int.from_bytes(frame[:4], "big") == len(frame) - 4
    assert messages.decode(frame[4:]) == value


def test_handshakes_are_as_recorded():
    assert link_cases.handshakes() == load("link_handshakes")


def test_protocol_violations_end_the_link_as_recorded():
    recorded = load("link_refusals")
    protocol_violations = link_cases.protocol_violations()
    assert protocol_violations.keys() == recorded.keys()
    for name, answer in protocol_violations.items():
        assert answer == recorded[name], name


@pytest.mark.parametrize(("seed", "recorded"), SEEDS)
def test_random_conversation_is_as_recorded(seed, recorded):
    assert link_cases.conversation(seed) == recorded
