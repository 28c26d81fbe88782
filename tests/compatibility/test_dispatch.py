"""The dispatch package decides, sends and keeps what it did when the fixtures were recorded."""

import shutil

import pytest

from tests.compatibility import dispatch_cases as cases
from tests.compatibility.canonical import FIXTURES, load

RECORDED = load("dispatch")
CACHE = FIXTURES / "dispatch_node_list_cache.json"


@pytest.mark.parametrize("name", cases.STREAMS)
def test_a_seeded_stream_is_decided_as_recorded(name):
    assert [cases.STREAMS[name](seed) for seed in cases.SEEDS] == RECORDED["digests"][name]


@pytest.mark.parametrize("name", cases.OPERATIONS)
def test_an_operation_reaches_a_node_in_the_recorded_bytes(name):
    assert cases.node_bytes(name) == RECORDED["node bytes"][name]


def test_the_poll_of_the_node_list_is_the_recorded_bytes():
    assert cases.discovery_bytes() == RECORDED["discovery bytes"]


def test_a_recorded_cache_of_the_node_list_is_read_whole_and_written_on(tmp_path):
    cache = tmp_path / "list.json"
    shutil.copy(CACHE, cache)
    assert cases.cached_report(cache) == RECORDED["cached report"]
    newer = CACHE.read_bytes().replace(b'"41"', b'"42"')
    assert cases.write_cache(cache, newer) == ["complete"]
    assert cache.read_bytes() == newer
    assert sorted(path.name for path in tmp_path.iterdir()) == ["list.json"]
