"""Epochs are never reused, even if the file is lost or the clock is set back."""

import pytest

from cressrock.planner.epochs import EpochStore, next_epoch


@pytest.fixture
def path(tmp_path):
    """The path of the epoch file."""
    return tmp_path / "epoch"


def test_epoch_is_never_reused_even_if_the_store_is_lost(path):
    store = EpochStore(str(path))
    assert store.read() is None
    first = next_epoch(store.read(), 1000.0)
    store.write(first)
    assert next_epoch(store.read(), 0.0) == first + 1  # the clock was set back
    path.unlink()
    assert next_epoch(store.read(), 2000.0) > first  # the file is lost
    assert next_epoch(None, 0.0, seen=first) == first + 1  # both: an edge reports the epoch it has seen


@pytest.mark.parametrize(
    "content", [b"", b"cressrock-epoch-1 10", b"cressrock-epoch-2 5\n", b"\xff", b"cressrock-epoch-1 x\n"]
)
def test_truncated_or_unknown_file_is_ignored(path, content):
    path.write_bytes(content)
    assert EpochStore(str(path)).read() is None
