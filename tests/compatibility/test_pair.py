"""Edge and planner decide as in version 31fc3d8 and read the epoch and incarnation files it wrote."""

import shutil

import pytest

from cressrock.planner.epochs import EpochStore
from tests.compatibility import denial_cases, pair_cases, pair_link_cases
from tests.compatibility.canonical import FIXTURES, load

CASES = [
    (stream, seed, recorded)
    for stream in pair_cases.STREAMS
    for seed, recorded in zip(pair_cases.SEEDS, load(f"pair_{stream}"), strict=True)
]


@pytest.mark.parametrize(("stream", "seed", "recorded"), CASES)
def test_stream_is_decided_as_recorded(stream, seed, recorded):
    assert pair_cases.STREAMS[stream](seed) == recorded


def test_new_epochs_are_as_recorded():
    assert pair_cases.epochs() == load("pair_epochs")


@pytest.mark.parametrize("name", ["pair_epoch_file.bin", "pair_life_file.bin"])
def test_recorded_epoch_file_is_read_and_continued(name, tmp_path):
    recorded = int(load("pair_epoch_values")[name])
    path = tmp_path / "epoch"
    shutil.copyfile(FIXTURES / name, path)
    store = EpochStore(str(path))
    assert store.read() == recorded
    store.write(recorded)
    assert path.read_bytes() == (FIXTURES / name).read_bytes()
    store.write(recorded + 1)
    assert path.read_bytes() == f"cressrock-epoch-1 {recorded + 1}\n".encode()
    assert EpochStore(str(path)).read() == recorded + 1
    assert [file.name for file in tmp_path.iterdir()] == ["epoch"]


@pytest.mark.parametrize("name", ["pair_epoch_file.bin", "pair_life_file.bin"])
def test_truncated_or_unknown_epoch_file_is_ignored(name, tmp_path):
    whole = (FIXTURES / name).read_bytes()
    path = tmp_path / "epoch"
    for content in (*(whole[:size] for size in range(len(whole))), b"cressrock-epoch-2 7\n", b"\xff 1\n"):
        path.write_bytes(content)
        assert EpochStore(str(path)).read() is None
    assert EpochStore(None).read() is None
    assert EpochStore(str(tmp_path / "missing")).read() is None


@pytest.mark.parametrize("name", pair_link_cases.SCENARIOS)
def test_connections_of_edge_and_planner_carry_the_recorded_bytes(name):
    assert pair_link_cases.run_scenario(name) == load("pair_link")[name]


def test_denials_become_the_recorded_answers():
    assert denial_cases.denials() == load("denials")


def test_gateway_answers_unservable_requests_as_recorded():
    assert denial_cases.answers_of_a_gateway() == load("gateway_answers")
