"""Presence's messages, decisions and admin answers match the recorded fixtures."""

from __future__ import annotations

import pytest

from cressrock.errors.presence import PresenceFrameError
from cressrock.presence import agreed_names, messages
from tests.compatibility import presence_cases as cases
from tests.compatibility import presence_cluster as cluster
from tests.compatibility.canonical import load

WIRE = load("presence_wire")
DECISIONS = load("presence_decisions")
ADMIN = load("presence_admin")


def test_all_message_examples_have_a_recording() -> None:
    assert [label for label, _ in cases.example_messages()] == list(WIRE["messages"])


@pytest.mark.parametrize(
    ("label", "message"), cases.example_messages(), ids=lambda value: value if isinstance(value, str) else ""
)
def test_messages_encode_and_decode_as_recorded(label: str, message: messages.Message) -> None:
    recorded = bytes.fromhex(WIRE["messages"][label])
    assert messages.encode_frame(message) == recorded
    received = bytearray(recorded + recorded[:3])
    assert messages.decode_frame(received) == message
    assert received == recorded[:3]
    assert messages.decode_frame(received) is None


@pytest.mark.parametrize(("label", "body", "message"), cases.READ_ONLY)
def test_messages_with_missing_or_additional_fields_are_decoded(
    label: str, body: str, message: messages.Message
) -> None:
    data = bytes.fromhex(body)
    assert messages.decode_frame(bytearray(len(data).to_bytes(4, "big") + data)) == message, label


@pytest.mark.parametrize("frame", cases.refused_frames())
def test_invalid_frames_are_rejected(frame: str) -> None:
    with pytest.raises(PresenceFrameError):
        messages.decode_frame(bytearray.fromhex(frame))


def test_agreed_name_values_encode_and_decode_as_recorded() -> None:
    assert [agreed_names.encode_holder(holder).hex() for holder in cases.holders()] == WIRE["holders"]
    assert [agreed_names.decode_holder(bytes.fromhex(value)) for value in WIRE["holders"]] == cases.holders()


@pytest.mark.parametrize("value", ["", "9102", "c0", WIRE["holders"][0].replace("9601", "9602", 1)])
def test_malformed_agreed_name_values_are_rejected(value: str) -> None:
    with pytest.raises(PresenceFrameError):
        agreed_names.decode_holder(bytes.fromhex(value))


def test_hashes_and_constants() -> None:
    assert cases.hashes() == WIRE["hashes"]


def test_errors() -> None:
    assert cases.errors() == WIRE["errors"]


@pytest.mark.parametrize("seed", range(len(DECISIONS["play"])))
def test_rooms_of_several_gateways(seed: int) -> None:
    assert cases.play(seed)[0] == DECISIONS["play"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["verdicts"])))
def test_verdicts_and_claims(seed: int) -> None:
    assert cases.verdicts(seed) == DECISIONS["verdicts"][seed]


@pytest.mark.parametrize("seed", range(len(DECISIONS["crowd"])))
def test_room_directory(seed: int) -> None:
    assert cases.crowd(seed) == DECISIONS["crowd"][seed]


def test_recorded_plays_cover_every_kind_of_output() -> None:
    outcomes: dict[str, int] = {}
    for seed in range(8):
        for label, count in cases.play(seed)[1].items():
            outcomes[label] = outcomes.get(label, 0) + count
    assert min(outcomes.values()) >= 5
    assert {"refused", "parted", "handed over", "taken over", "answered", "buckets", "events"} <= set(
        outcomes
    )


@pytest.mark.parametrize("scene", cluster.SCENES, ids=lambda scene: scene.__name__)
def test_answers_of_the_admin_port(scene: cluster.Scene) -> None:
    answers, recorded = cluster.admin_port(scene), ADMIN["scenes"][scene.__name__]
    for index, (answer, expected) in enumerate(zip(answers, recorded, strict=True)):
        assert answer == expected, index


def test_client_library_requests_and_results() -> None:
    requests, results = cluster.client_library()
    assert requests == ADMIN["library"][0]
    assert results == ADMIN["library"][1]
