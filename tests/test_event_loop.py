"""The monitor of the event loop: what a slow turn was spent with, and its log line."""

import asyncio
import threading
import time

import pytest
import uvloop

from cressrock.observe.event_loop import (
    HEARTBEAT_MS,
    SLOW_TURN_MS,
    EventLoopMonitor,
    SlowTurn,
    StackSampler,
    ThreadTimes,
    TurnCounts,
)
from cressrock.observe.event_loop_metrics import EventLoopCollector
from cressrock.state_file import write_atomically


class RecordingLog:
    def __init__(self):
        self.lines = []
        self.written = asyncio.Event()

    def warning(self, event, **fields):
        self.lines.append((event, fields))
        self.written.set()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_a_turn_that_blocks_in_a_file_call_is_counted_and_logged_with_its_code(run, tmp_path, monkeypatch):
    """The log line tells a disk in the event loop from a machine that gives the process no time."""
    counts, log = TurnCounts(), RecordingLog()
    monitor = EventLoopMonitor(counts, log)

    def slow_flush(_handle):
        while not monitor.sampler.stack:
            time.sleep(0.01)

    async def scenario():
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep(0)  # it measures from now on
        monkeypatch.setattr("os.fsync", slow_flush)
        write_atomically(tmp_path / "state", b"state")
        monkeypatch.undo()
        await log.written.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scenario())
    ((event, fields),) = log.lines
    assert event == "event_loop.slow_turn"
    assert fields["ms"] > SLOW_TURN_MS
    assert "write_atomically (state_file.py:" in fields["stack"]
    assert counts.slow == 1
    assert counts.longest_ms == pytest.approx(fields["ms"], abs=0.1)


def test_a_pause_of_the_process_is_known_before_the_sampling_thread_has_run_again():
    """Regression: a process that SIGSTOP had held logged a pause of 0.1 ms where its loop ran first."""
    sampler = StackSampler(threading.get_ident())
    sampler.close()  # as if it had not run since
    sampler._looked_s -= 5
    assert sampler.longest_pause_ms() >= 5000 - HEARTBEAT_MS


@pytest.mark.parametrize(
    ("running_ms", "waiting_ms", "spent"),
    [
        pytest.param(0, 0, (0, 0, 300), id="blocked"),
        pytest.param(290, 10, (290, 10, 0), id="running"),
        pytest.param(20, 250, (20, 250, 30), id="waiting"),
        pytest.param(340, 30, (300, 0, 0), id="also-before-the-turn-was-due"),
    ],
)
def test_a_turn_is_split_into_running_waiting_and_blocked(running_ms, waiting_ms, spent):
    turn = SlowTurn.between(300, ThreadTimes(1000, 500), ThreadTimes(1000 + running_ms, 500 + waiting_ms))
    assert (turn.running_ms, turn.waiting_ms, turn.blocked_ms) == spent


def test_the_metrics_have_the_counts():
    counts = TurnCounts(slow=3, longest_ms=400, running_ms=100, waiting_ms=200, blocked_ms=600)
    samples = {
        (sample.name, sample.labels.get("spent")): sample.value
        for metric in EventLoopCollector(counts).collect()
        for sample in metric.samples
    }
    assert samples == {
        ("cressrock_event_loop_slow_turns_total", None): 3,
        ("cressrock_event_loop_longest_turn_seconds", None): 0.4,
        ("cressrock_event_loop_slow_turn_seconds_total", "running"): 0.1,
        ("cressrock_event_loop_slow_turn_seconds_total", "waiting"): 0.2,
        ("cressrock_event_loop_slow_turn_seconds_total", "blocked"): 0.6,
    }
