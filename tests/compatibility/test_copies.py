"""Replication's encodings, stored records and decisions match the recorded fixtures."""

import pytest

from tests.compatibility import copies_cases as cases
from tests.compatibility.canonical import load

WIRE, DECISIONS = load("copies_wire"), load("copies_decisions")
STREAMS = [
    pytest.param(stream, digest, seed, id=f"{stream}-{seed}")
    for stream, digest, seeds in cases.stream_seeds()
    for seed in seeds
]


def test_every_recorded_entry_is_still_tested():
    assert list(WIRE["written"]) == [case.name for case in cases.wire_cases()]
    assert list(WIRE["read"]) == [case.name for case in cases.read_cases()]
    assert {(stream, seed) for stream in DECISIONS for seed in DECISIONS[stream]} == {
        (stream, str(seed)) for stream, _, seeds in cases.stream_seeds() for seed in seeds
    }


@pytest.mark.parametrize("case", cases.wire_cases(), ids=lambda case: case.name)
def test_values_are_encoded_as_recorded_and_decoded_again(case):
    recorded = bytes.fromhex(WIRE["written"][case.name])
    assert case.encode(case.value) == recorded
    assert case.decode(recorded) == case.value


@pytest.mark.parametrize("case", cases.read_cases(), ids=lambda case: case.name)
def test_bytes_of_other_releases_are_decoded_or_rejected_as_recorded(case):
    data, result = WIRE["read"][case.name]
    assert case.data.hex() == data
    assert cases.outcome(case.decode, bytes.fromhex(data)) == result


def test_topics_reports_headers_and_responses_match_the_recording():
    assert cases.names() == WIRE["names"]


def test_node_stores_and_lists_records_as_recorded():
    assert cases.stored() == WIRE["stored"]


@pytest.mark.parametrize(("stream", "digest", "seed"), STREAMS)
def test_seeded_runs_make_the_recorded_decisions(stream, digest, seed):
    assert digest(seed) == DECISIONS[stream][str(seed)]
