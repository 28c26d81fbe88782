"""Rollouts keep their bytes on the wire and on disk, and decide as when the fixtures were recorded."""

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


def test_every_recorded_entry_is_still_tested():
    assert list(WIRE["written"]) == [case.name for case in cases.wire_cases()]
    assert list(WIRE["read"]) == [case.name for case in cases.read_cases()]
    assert list(KEPT) == list(cases.KEPT)
    assert {(stream, seed) for stream in DECISIONS for seed in DECISIONS[stream]} == {
        (stream, str(seed)) for stream, _, seeds in cases.stream_seeds() for seed in seeds
    }


@pytest.mark.parametrize("case", cases.wire_cases(), ids=lambda case: case.name)
def test_values_are_written_as_recorded_and_read_back(case):
    recorded = bytes.fromhex(WIRE["written"][case.name])
    assert case.encode(case.value) == recorded
    assert case.decode(recorded) == case.value


@pytest.mark.parametrize("case", cases.read_cases(), ids=lambda case: case.name)
def test_bytes_of_other_versions_are_read_or_refused_as_recorded(case):
    data, result = WIRE["read"][case.name]
    assert case.data.hex() == data
    assert cases.outcome(case.decode, bytes.fromhex(data)) == result


def test_topics_keys_and_digests_are_those_recorded():
    assert cases.names() == WIRE["names"]


@pytest.mark.parametrize("name", cases.KEPT)
def test_a_kept_file_is_read_and_written_on(name, tmp_path):
    path = tmp_path / "keep"
    shutil.copyfile(FIXTURES / f"rollout_keep_{name}.bin", path)
    assert cases.run_simulated(0, lambda: cases.read_kept(path)) == KEPT[name]


@pytest.mark.parametrize("name", cases.KEPT)
def test_a_kept_file_is_written_byte_for_byte(name, tmp_path):
    path = tmp_path / "keep"
    cases.run_simulated(0, lambda: cases.write_kept(name, path))
    assert path.read_bytes() == (FIXTURES / f"rollout_keep_{name}.bin").read_bytes()


@pytest.mark.parametrize(("stream", "digest", "seed"), STREAMS)
def test_streams_are_decided_as_recorded(stream, digest, seed, tmp_path):
    assert digest(seed, tmp_path) == DECISIONS[stream][str(seed)]
