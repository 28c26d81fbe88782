"""Rollouts' encodings on the wire and on disk, and their decisions, match the recorded fixtures."""

import shutil

import pytest

from tests.compatibility import rollout_cases as cases
from tests.compatibility.canonical import FIXTURES, load

WIRE, KEPT, DECISIONS = load("rollout_wire"), load("rollout_kept"), load("rollout_decisions")
STREAMS = [
    pytest.param(stream, digest, seed, id=f"{stream}-{seed}")
    for stream, digest, seeds in cases.stream_seeds()
    for seed in seeds
]


def test_every_recorded_case_is_tested():
    assert list(WIRE["written"]) == [case.name for case in cases.wire_cases()]
    assert list(WIRE["read"]) == [case.name for case in cases.read_cases()]
    assert list(KEPT) == list(cases.KEEP_FILE_CASES)
    assert {(stream, seed) for stream in DECISIONS for seed in DECISIONS[stream]} == {
        (stream, str(seed)) for stream, _, seeds in cases.stream_seeds() for seed in seeds
    }


@pytest.mark.parametrize("case", cases.wire_cases(), ids=lambda case: case.name)
def test_values_are_encoded_as_recorded_and_decoded(case):
    recorded = bytes.fromhex(WIRE["written"][case.name])
    assert case.encode(case.value) == recorded
    assert case.decode(recorded) == case.value


@pytest.mark.parametrize("case", cases.read_cases(), ids=lambda case: case.name)
def test_bytes_of_other_releases_are_decoded_or_rejected_as_recorded(case):
    data, result = WIRE["read"][case.name]
    assert case.data.hex() == data
    assert cases.outcome(case.decode, bytes.fromhex(data)) == result


def test_topics_keys_and_digests_match_the_recorded_ones():
    assert cases.names() == WIRE["names"]


@pytest.mark.parametrize("name", cases.KEEP_FILE_CASES)
def test_a_recorded_state_file_is_read_and_updated_as_recorded(name, tmp_path):
    path = tmp_path / "keep"
    shutil.copyfile(FIXTURES / f"rollout_keep_{name}.bin", path)
    assert cases.run_simulated(0, lambda: cases.read_keep_file(path)) == KEPT[name]


@pytest.mark.parametrize("name", cases.KEEP_FILE_CASES)
def test_a_state_file_is_written_as_recorded(name, tmp_path):
    path = tmp_path / "keep"
    cases.run_simulated(0, lambda: cases.write_keep_file(name, path))
    assert path.read_bytes() == (FIXTURES / f"rollout_keep_{name}.bin").read_bytes()


@pytest.mark.parametrize(("stream", "digest", "seed"), STREAMS)
def test_seeded_streams_give_the_recorded_decisions(stream, digest, seed, tmp_path):
    assert digest(seed, tmp_path) == DECISIONS[stream][str(seed)]
