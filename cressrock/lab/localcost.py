"""What one process pays, by size: the tools with which the probes of `localcost_*` measure.

Processor time, never wall time, and of several runs the least: the machine is shared.  Memory is what Python
holds (tracemalloc), so that it does not hang on what the allocator keeps; of a process it is what the system
says (`/proc`).  A probe gives `Figure`s for one size and one seed; `benchmarks/capacity_local.py` keeps them.
"""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

DISPATCHER, EDGE, PLANNER, SEAT = "dispatcher", "edge", "planner", "seat"
ROLES = (DISPATCHER, EDGE, PLANNER, SEAT)


class Figure(NamedTuple):
    """One measured figure: row, value and unit; `role` and `scene` where they are not the probe's."""

    row: str
    value: float
    unit: str
    role: str = ""
    scene: str = ""


def cpu_ms(work: Callable[[], Any], repeats: int = 3) -> float:
    """Return the least processor time in milliseconds that this thread took for `work`, of several runs."""
    least = float("inf")
    for _ in range(repeats):
        gc.collect()
        began = time.thread_time()
        work()
        least = min(least, time.thread_time() - began)
    return least * 1000


def fresh_cpu_ms(make: Callable[[], Any], work: Callable[[Any], Any], repeats: int = 3) -> float:
    """The same where each run needs an object of its own; making it is not counted."""
    least = float("inf")
    for _ in range(repeats):
        given = make()
        gc.collect()
        began = time.thread_time()
        work(given)
        least = min(least, time.thread_time() - began)
        del given
    return least * 1000


def held_bytes(make: Callable[[], Any]) -> tuple[int, int]:
    """Return what the object that `make` returns holds, and the most that was held while it was made; bytes.

    Danger: tracing makes all slower by several times, so nothing is timed under it.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        now, peak = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return now - before, peak - before


def calls(work: Callable[[], Any]) -> int:
    """Count the calls of functions, Python's and built-in, that `work` makes: its cost free of the machine.

    Danger: loops that call nothing are not seen.  `lines` sees them.
    """
    found = 0

    def count(frame: Any, event: str, given: Any) -> None:
        nonlocal found
        found += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        work()
    finally:
        sys.setprofile(None)
    return found


def lines(work: Callable[[], Any]) -> int:
    """Count the lines that `work` runs, those of loops each time: its cost in steps, free of the machine."""
    found = 0

    def count(frame: Any, event: str, given: Any) -> Any:
        nonlocal found
        found += event == "line"
        return count

    before = sys.gettrace()
    sys.settrace(count)
    try:
        work()
    finally:
        sys.settrace(before)
    return found


class Usage(NamedTuple):
    """What the system says of a process: processor time in ms since its start, memory in bytes."""

    cpu_ms: float
    rss: int
    pss: int
    peak: int


def usage(pid: int) -> Usage:
    """Read a process's figures (Linux).  Raises OSError where it has ended.

    Processor time is the scheduler's (`schedstat`, nanoseconds), all threads together.
    """
    spent = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        spent += int((task / "schedstat").read_text().split()[0])
    status = _kilobytes(Path(f"/proc/{pid}/status").read_text())
    try:
        shared = _kilobytes(Path(f"/proc/{pid}/smaps_rollup").read_text()).get("Pss", 0)
    except OSError:
        shared = 0  # not told on this system
    return Usage(spent / 1e6, status.get("VmRSS", 0), shared, status.get("VmHWM", 0))


def _kilobytes(text: str) -> dict[str, int]:
    found = {}
    for line in text.splitlines():
        name, _, value = line.partition(":")
        parts = value.split()
        if len(parts) == 2 and parts[1] == "kB" and parts[0].isdigit():
            found[name] = int(parts[0]) * 1024
    return found
