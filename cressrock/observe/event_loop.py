"""Measures how long the event loop of this process is held up, and by what.

A heartbeat on the loop tells how long other work kept it from running.  The kernel tells for how much of that
time the loop's thread ran, and for how much it was ready and had no processor (Linux: schedstat).  The rest
was spent in a call that blocks, or the process was stopped; in the second case the sampling thread did not
run either.  That thread reads the loop's stack while it is held up, so that the log line names the code.
"""

from __future__ import annotations

import os
import sys
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Any

import anyio

HEARTBEAT_MS = 100.0
SLOW_TURN_MS = 100.0  # a longer turn is counted and logged
LOG_INTERVAL_MS = 1000.0  # between two log lines; shorter turns in between are only counted
MAX_FRAMES = 3  # of this program, in a log line

PACKAGE_DIRECTORY = str(Path(__file__).parent.parent)


@dataclass(frozen=True, slots=True)
class ThreadTimes:
    """What a thread's time went to, in milliseconds since its start."""

    running_ms: float = 0.0
    waiting_ms: float = 0.0  # ready to run, without a processor


@dataclass(slots=True)
class TurnCounts:
    """The slow turns of a process's event loop since its start."""

    slow: int = 0
    longest_ms: float = 0.0
    running_ms: float = 0.0  # of slow turns: the loop's thread ran
    waiting_ms: float = 0.0  # of slow turns: it had no processor
    blocked_ms: float = 0.0  # of slow turns: the rest


class ThreadClock:
    """Reads the times of the thread that created it; all zero where the kernel does not tell."""

    def __init__(self) -> None:
        """Open the thread's file."""
        self._file: int | None = None
        with suppress(OSError):
            self._file = os.open(f"/proc/self/task/{threading.get_native_id()}/schedstat", os.O_RDONLY)

    def read(self) -> ThreadTimes:
        """Return the thread's times."""
        if self._file is None:
            return ThreadTimes()
        try:
            running_ns, waiting_ns = os.pread(self._file, 100, 0).split()[:2]
            return ThreadTimes(int(running_ns) / 1e6, int(waiting_ns) / 1e6)
        except (OSError, ValueError):
            return ThreadTimes()

    def close(self) -> None:
        """Close the thread's file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None


class StackSampler:
    """A thread that reads another thread's stack once that is held up."""

    def __init__(self, thread_id: int) -> None:
        """`thread_id` is the one of the thread to look at."""
        self.thread_id = thread_id
        self.stack = ""  # as read last, since the last beat
        self._longest_pause_ms = 0.0  # of this thread, since the last beat
        self._beat_s = self._looked_s = time.monotonic()
        self._ended = threading.Event()
        # A daemon: it must not keep the process from ending.
        self._thread = threading.Thread(target=self._run, name="event loop stack sampler", daemon=True)
        self._thread.start()

    def beat(self) -> None:
        """Begin a new turn."""
        self.stack, self._longest_pause_ms = "", 0.0
        self._beat_s = time.monotonic()

    def longest_pause_ms(self) -> float:
        """Return for how long this thread did not run either, since the last beat.

        After a pause of the whole process, the loop may run before this thread has.
        """
        return max(self._longest_pause_ms, self._pause_ms(time.monotonic()))

    def close(self) -> None:
        """End the thread, and wait for its end."""
        self._ended.set()
        self._thread.join()

    def _pause_ms(self, now_s: float) -> float:
        return max(0.0, (now_s - self._looked_s) * 1000 - HEARTBEAT_MS)

    def _run(self) -> None:
        while not self._ended.wait(HEARTBEAT_MS / 1000):
            now_s = time.monotonic()
            self._longest_pause_ms = max(self._longest_pause_ms, self._pause_ms(now_s))
            self._looked_s = now_s
            if not self.stack and (now_s - self._beat_s) * 1000 > HEARTBEAT_MS + SLOW_TURN_MS:
                self.stack = describe_stack(sys._current_frames().get(self.thread_id))


def describe_stack(frame: FrameType | None) -> str:
    """Return the innermost function and the innermost ones of this program, as text."""
    if frame is None:
        return ""
    found = []
    if not frame.f_code.co_filename.startswith(PACKAGE_DIRECTORY):
        found.append(frame.f_code.co_qualname)
    current: FrameType | None = frame
    while current is not None and len(found) <= MAX_FRAMES:
        path = current.f_code.co_filename
        if path.startswith(PACKAGE_DIRECTORY):
            name = os.path.relpath(path, PACKAGE_DIRECTORY)
            found.append(f"{current.f_code.co_qualname} ({name}:{current.f_lineno})")
        current = current.f_back
    return " < ".join(found)


@dataclass(frozen=True, slots=True)
class SlowTurn:
    """A turn of the event loop, and what its time was spent with, in milliseconds."""

    total_ms: float
    running_ms: float
    waiting_ms: float

    @classmethod
    def between(cls, total_ms: float, before: ThreadTimes, after: ThreadTimes) -> SlowTurn:
        """Return a turn with the thread's times before and after it."""
        running_ms = min(total_ms, after.running_ms - before.running_ms)
        waiting_ms = min(total_ms - running_ms, after.waiting_ms - before.waiting_ms)
        return cls(total_ms, running_ms, waiting_ms)

    @property
    def blocked_ms(self) -> float:
        """The time in which the thread neither ran nor was ready to."""
        return self.total_ms - self.running_ms - self.waiting_ms


class EventLoopMonitor:
    """Counts and logs slow turns of the event loop that it runs on."""

    def __init__(self, counts: TurnCounts, log: Any) -> None:
        """`counts` is added to; `log` gets the event `event_loop.slow_turn`."""
        self.counts = counts
        self.log = log
        self.sampler: StackSampler | None = None  # while `run` measures
        self._logged_s = -LOG_INTERVAL_MS

    async def run(self) -> None:
        """Measure until cancelled."""
        thread_clock = ThreadClock()
        sampler = self.sampler = StackSampler(threading.get_ident())
        try:
            while True:
                before, due_s = thread_clock.read(), time.monotonic() + HEARTBEAT_MS / 1000
                sampler.beat()
                await anyio.sleep(HEARTBEAT_MS / 1000)
                total_ms = (time.monotonic() - due_s) * 1000
                self.counts.longest_ms = max(self.counts.longest_ms, total_ms)
                if total_ms > SLOW_TURN_MS:
                    turn = SlowTurn.between(total_ms, before, thread_clock.read())
                    self._count(turn)
                    self._log_turn(turn, sampler)
        finally:
            sampler.close()
            thread_clock.close()

    def _count(self, turn: SlowTurn) -> None:
        self.counts.slow += 1
        self.counts.running_ms += turn.running_ms
        self.counts.waiting_ms += turn.waiting_ms
        self.counts.blocked_ms += turn.blocked_ms

    def _log_turn(self, turn: SlowTurn, sampler: StackSampler) -> None:
        now_s = time.monotonic()
        if now_s - self._logged_s < LOG_INTERVAL_MS / 1000:
            return
        self._logged_s = now_s
        self.log.warning(
            "event_loop.slow_turn",
            ms=round(turn.total_ms, 1),
            running_ms=round(turn.running_ms, 1),
            waiting_ms=round(turn.waiting_ms, 1),
            blocked_ms=round(turn.blocked_ms, 1),
            process_paused_ms=round(sampler.longest_pause_ms(), 1),
            stack=sampler.stack,
        )
