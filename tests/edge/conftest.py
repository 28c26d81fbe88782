"""Fixtures for tests of the edge."""

import pytest

from tests.edge.support import EdgeHarness


@pytest.fixture
def edge():
    """An edge with a local scheduler."""
    return EdgeHarness()


@pytest.fixture
def waiting_edge():
    """An edge that waits for a planner: it has no scheduler of its own."""
    return EdgeHarness(own=False)
