"""Fixtures for the edge's tests."""

import pytest

from tests.edge.support import EdgeHarness


@pytest.fixture
def edge():
    """An edge with a local scheduler."""
    return EdgeHarness()


@pytest.fixture
def edge_without_scheduler():
    """An edge without a local scheduler, whose operations wait for a planner."""
    return EdgeHarness(own=False)
