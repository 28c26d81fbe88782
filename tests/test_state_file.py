"""State files: written by a thread of their own, and what waits for the disk and what does not."""

import ast
import asyncio
import os
import random
import subprocess
import sys
import threading
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from cressrock import state_file
from cressrock.consensus.decision_cache import DecisionCache
from cressrock.consensus.decisions import Decision
from cressrock.dispatch.node_list import NodeListState
from cressrock.dispatch.node_list_poller import NodeListPoller, NodeListSource
from cressrock.rollout import service
from cressrock.rollout.persisted_state import PersistedState
from cressrock.state_file import SLOW_WRITE_MS, StateFiles, write_atomically
from tests.compatibility.rollout_cases import Process, _FakeRuntime, _FakeTables, _Log

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 30  # only ends a test that hangs


class Disk:
    """A disk whose writes end when they are told to."""

    def __init__(self, monkeypatch):
        self.written = []
        self.begun = threading.Semaphore(0)
        self.may_end = threading.Semaphore(0)
        self.error = None
        monkeypatch.setattr(state_file, "write_atomically", self.write)

    def write(self, _path, data):
        self.begun.release()
        assert self.may_end.acquire(timeout=TIMEOUT_S)
        if self.error is not None:
            raise self.error
        self.written.append(data)


class Log:
    def __init__(self):
        self.events = []

    def warning(self, event, **fields):
        self.events.append((event, fields))

    error = info = warning


async def until(condition):
    """Let the event loop run until a condition holds; the test's time limit ends a wait in vain."""
    for _ in range(TIMEOUT_S * 1000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise TimeoutError


async def begun(disk):
    assert await asyncio.to_thread(disk.begun.acquire, timeout=TIMEOUT_S)


def run(test):
    async def bounded():
        async with asyncio.timeout(TIMEOUT_S):
            await test()

    asyncio.run(bounded())


def test_one_write_is_under_way_one_waits_and_the_newest_state_wins(monkeypatch):
    disk, durable = Disk(monkeypatch), []

    async def test():
        file = StateFiles(in_background=True).open("/nowhere/state")
        for number in range(5):
            file.write(b"%d" % number, lambda number=number: durable.append(number))
            if number == 0:
                await begun(disk)
        assert (disk.written, durable, file.is_idle()) == ([], [], False)
        disk.may_end.release()
        await begun(disk)
        await until(lambda: durable)
        assert (disk.written, durable) == ([b"0"], [0])
        disk.may_end.release()
        await file.wait_idle()
        await until(lambda: len(durable) == 5)
        assert (disk.written, durable) == ([b"0", b"4"], [0, 1, 2, 3, 4])

    run(test)


@pytest.mark.parametrize("error", [OSError(28, "No space left"), OSError(30, "Read-only file system")])
def test_a_failed_write_is_reported_and_does_not_hold_up_what_waits_for_it(monkeypatch, error):
    disk, errors, durable = Disk(monkeypatch), [], []

    async def test():
        files = StateFiles(in_background=True)
        file = files.open("/nowhere/state", errors.append)
        disk.error = error
        file.write(b"1", lambda: durable.append(1))
        disk.may_end.release()
        await until(lambda: durable)
        disk.error = None
        file.write(b"2")
        disk.may_end.release()
        await until(lambda: len(errors) == 2)
        assert errors == [str(error), ""]
        assert (files.counts.failed, files.counts.written) == (1, 1)

    run(test)


def test_a_slow_write_is_logged_and_counted():
    log = Log()
    files = StateFiles(log=log)
    files.record(Path("state"), "", SLOW_WRITE_MS)
    files.record(Path("state"), "", SLOW_WRITE_MS + 1)
    assert log.events == [("state_file.slow_write", {"path": "state", "ms": SLOW_WRITE_MS + 1})]
    assert (files.counts.slow, files.counts.longest_ms) == (1, SLOW_WRITE_MS + 1)


@pytest.mark.parametrize("step", ["open", "write", "flush", "fsync", "replace", "flush_directory"])
def test_a_process_killed_at_any_step_leaves_the_old_state_or_the_new_one(tmp_path, step):
    path = tmp_path / "state"
    path.write_bytes(b"old")
    code = """
import builtins, os, sys
from pathlib import Path
from cressrock import state_file

step, path = sys.argv[1], Path(sys.argv[2])

def die(*given):
    os._exit(9)

class DyingFile:
    def __init__(self, file):
        self.file = file
    def __enter__(self):
        return self
    def __exit__(self, *error):
        self.file.close()
    def write(self, data):
        if step == "write":
            self.file.write(data[:1])
            self.file.flush()
            die()
        self.file.write(data)
    def flush(self):
        die() if step == "flush" else self.file.flush()
    def fileno(self):
        return self.file.fileno()

if step == "fsync":
    os.fsync = die
elif step == "replace":
    os.replace = die
elif step == "flush_directory":
    state_file.flush_directory = die
opened = open
state_file.open = die if step == "open" else lambda *given: DyingFile(opened(*given))
state_file.write_atomically(path, b"new")
"""
    done = subprocess.run([sys.executable, "-c", code, step, str(path)], cwd=ROOT, timeout=60)
    assert done.returncode == 9
    assert path.read_bytes() == (b"new" if step == "flush_directory" else b"old")
    write_atomically(path, b"newer")
    assert path.read_bytes() == b"newer"


# --- what waits for the disk, and what does not


def test_a_decision_takes_effect_while_its_file_is_written(monkeypatch):
    """Regression (issue 53): a slow disk held up the event loop at each decision, and answers were late."""
    disk, heard = Disk(monkeypatch), []

    async def test():
        cache = DecisionCache("/nowhere/seen", lambda: 0.0, state_files=StateFiles(in_background=True))
        cache.listeners.append(heard.append)
        decision = Decision("topic", 1, b"value", 1000.0)
        assert cache.receive(decision)
        await begun(disk)
        assert heard == [decision]
        assert disk.written == []

    run(test)


def test_a_node_list_is_reported_while_its_cache_is_written(monkeypatch, tmp_path):
    """Regression (issue 53): a slow disk held up the event loop at each node list."""
    disk = Disk(monkeypatch)

    async def test():
        source = NodeListSource("127.0.0.1:1", "me", 1000.0, 1000.0, cache=str(tmp_path / "list"))
        poller = NodeListPoller(
            NodeListState("cluster", max_nodes=9),
            None,
            source,
            on_report=lambda _: None,
            wall_ms=lambda: 0.0,
            log=Log(),
            state_files=StateFiles(in_background=True),
        )
        poller._cache_file.write(b"list")
        await begun(disk)
        assert disk.written == []

    run(test)


class HeldFile:
    """A state file whose writes end when they are told to."""

    def __init__(self):
        self.writes = []

    def write(self, data, on_durable=None):
        self.writes.append((data, on_durable))

    def end_writes(self):
        writes, self.writes = self.writes, []
        for _, on_durable in writes:
            if on_durable is not None:
                on_durable()


def participant(held):
    """Return a process's rollout service whose state file is `held`."""
    return service.RolloutService(
        _FakeRuntime(lambda: 0.0, "1", False),
        _FakeTables(),
        service.ProcessSettings("me", "z0", ["small", "read"], 500.0),
        clock=lambda: 0.0,
        wall_ms=lambda: 1e12,
        rng=random.Random(1),
        log=_Log(),
        on_versions_changed=lambda _: None,
        state_files=SimpleNamespace(open=lambda *_: held),
    )


def test_a_candidate_is_used_only_once_the_record_of_its_run_is_durable():
    """A crash right after its first use would never be counted otherwise; nothing else waits for the disk."""
    held = HeldFile()
    rollout, applied = participant(held), []
    rollout._apply_decision = lambda: applied.append(len(held.writes))
    document = Process(1, None, can_lead=False).document()
    assert not rollout._participate("digest", document)
    (written, _) = held.writes[-1]
    record = msgspec.msgpack.decode(written, type=PersistedState).crash_record
    assert (record.digest, record.running) == ("digest", True)
    assert not rollout._participate("digest", document)  # the disk has not ended
    assert len(held.writes) == 1
    held.end_writes()
    assert applied == [0]  # the decision is applied again
    assert rollout._participate("digest", document)
    # Another run under the same candidate is recorded ahead of its use as well.
    rollout._persisted.set_not_running()
    assert not rollout._participate("digest", document)
    held.end_writes()
    assert rollout._participate("digest", document)


# --- no file is written on a path that answers clients

# Where files are written, and why that does not hold up an answer.
WRITING_MODULES = {
    "state_file.py": "in a thread; `write_atomically` alone blocks",
    "planner/epochs.py": "as a process starts, ahead of the first decision of its epoch",
    "consensus/store_file.py": "by ConsensusReplica, in a thread",
    "dispatch/spill_file.py": "by Spool, in threads; payloads above the bound on memory",
    "cli/main.py": "ahead of the event loop, or as a command",
}
WRITING_CALLS = {
    "fsync",
    "fdatasync",
    "pwrite",
    "pwritev",
    "write_text",
    "write_bytes",
    "write_atomically",
}
WRITING_CALLS_OF_MODULES = {
    "os.replace",
    "os.rename",
    "tempfile.TemporaryFile",
    "tempfile.NamedTemporaryFile",
}


def opens_for_writing(call):
    """Return whether a call of a function or method named `open` has a mode that writes."""
    mode_position = 1 if isinstance(call.func, ast.Name) else 0  # open(path, mode), path.open(mode)
    modes = [keyword.value for keyword in call.keywords if keyword.arg == "mode"]
    modes += call.args[mode_position : mode_position + 1]
    texts = [mode.value for mode in modes if isinstance(mode, ast.Constant) and isinstance(mode.value, str)]
    return any(set(text) <= set("rwaxbt+") and set(text) & set("wax+") for text in texts)


def is_write(call):
    text = ast.unparse(call.func)
    name = text.rpartition(".")[2]
    if text == "os.open":
        return "O_RDONLY" not in ast.unparse(call)
    if name == "open":
        return opens_for_writing(call)
    return name in WRITING_CALLS or text in WRITING_CALLS_OF_MODULES


def test_no_module_that_answers_clients_writes_a_file():
    found = {}
    for path in sorted((ROOT / "cressrock").rglob("*.py")):
        name = path.relative_to(ROOT / "cressrock").as_posix()
        if name.startswith("lab/"):
            continue
        calls = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)]
        if lines := [call.lineno for call in calls if is_write(call)]:
            found[name] = lines
    assert set(found) == set(WRITING_MODULES), found


@pytest.mark.parametrize(
    "text",
    ["os.fsync(3)", "open('x', 'wb')", "open('x', mode='a')", "path.write_text('')", "os.replace(a, b)"],
)
def test_the_check_finds_writes(text):
    assert is_write(ast.parse(text).body[0].value)


def test_the_check_lets_reads_pass():
    for text in (
        "open('x')",
        "open('x', 'rb')",
        "room.open(1, 2)",
        "text.replace('a', 'w')",
        "os.open(p, os.O_RDONLY)",
    ):
        assert not is_write(ast.parse(text).body[0].value)


def test_the_directory_of_a_file_is_flushed(monkeypatch, tmp_path):
    flushed = []
    fsync = os.fsync
    monkeypatch.setattr(os, "fsync", lambda fd: (flushed.append(os.fstat(fd).st_ino), fsync(fd)))
    write_atomically(tmp_path / "state", b"1")
    assert flushed == [(tmp_path / "state").stat().st_ino, tmp_path.stat().st_ino]
