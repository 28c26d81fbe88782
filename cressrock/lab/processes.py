"""Processes of the program: started, watched, harmed and surely ended.

Each start of a name is a life with a log of its own.  A life's standard error comes through a pipe that a
thread reads, so that neither a busy loop of the drill nor a full disk of the process holds up its log.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from cressrock.errors.lab import ProcessNotReadyError, UnknownProcessError

LAUNCHER = str(Path(__file__).with_name("child.py"))
ROOT = str(Path(__file__).parent.parent.parent)  # processes run the code that the drill runs
POLL_S = 0.01
READY_S = 60.0  # the bound of a start; a start takes below a second where there is a core for it
END_S = 10.0  # how long an orderly end may take before it is a SIGKILL
MOST_LINES = 200  # of a life's log kept in memory; all of it is in its file
DELAY_EVENTS = (  # what made a process late, or kept it from deciding
    "event_loop.slow_turn",
    "state_file.slow_write",
    "consensus.slow_write",
    "consensus.role_changed",
)


@dataclass(slots=True)
class Life:
    """One start of a name: its log, what it said, and how it ended."""

    name: str
    number: int
    log: Path
    process: subprocess.Popen[bytes]
    began_ms: float
    began_s: float = field(default_factory=time.monotonic)  # the same, on a clock that every thread can read
    ready_ms: float = float("inf")
    ended_ms: float = float("inf")  # as the drill saw it
    lines: deque[dict[str, Any]] = field(default_factory=lambda: deque(maxlen=MOST_LINES))
    counts: Counter[str] = field(default_factory=Counter)  # log lines by event
    last: dict[str, tuple[int, dict[str, Any]]] = field(default_factory=dict)  # each event's, and its place
    delays: deque[str] = field(default_factory=lambda: deque(maxlen=MOST_LINES))  # as text, with their time
    other: deque[str] = field(default_factory=lambda: deque(maxlen=MOST_LINES))  # what is no JSON object
    traces: int = 0
    asked: bool = False  # whether the drill ended it: any other end is a finding
    stopped: bool = False
    reader: threading.Thread | None = None

    @property
    def pid(self) -> int:
        """The process's own id; the only one that signals go to."""
        return self.process.pid

    @property
    def code(self) -> int | None:
        """The exit code, negative for a signal; None while it lives."""
        return self.process.poll()

    def last_of(self, *events: str) -> str:
        """Return which of these events was logged last; "" if none was."""
        found = [(self.last[event][0], event) for event in events if event in self.last]
        return max(found)[1] if found else ""

    def tail(self) -> str:
        """Return the end of what it said, for a text about it."""
        return "\n".join([*map(json.dumps, list(self.lines)[-10:]), *list(self.other)[-30:]])[-3000:]

    def _read(self) -> None:
        assert self.process.stderr is not None
        with open(self.log, "wb") as file:
            for line in self.process.stderr:
                file.write(line)
                file.flush()
                try:
                    value = json.loads(line)
                except ValueError:
                    value = None
                if isinstance(value, dict):
                    event = str(value.get("event"))
                    self.lines.append(value)
                    self.last[event] = (sum(self.counts.values()), value)
                    self.counts[event] += 1
                    if event in DELAY_EVENTS:
                        at_ms = self.began_ms + (time.monotonic() - self.began_s) * 1000
                        self.delays.append(f"{at_ms:.0f} ms, {self.name}: {json.dumps(value)}")
                else:
                    text = line.decode("utf-8", "replace").rstrip("\n")
                    self.traces += text.startswith("Traceback")
                    self.other.append(text)


class Processes:
    """All processes of a drill, by name.  A context: at its end, however it comes, none is left."""

    def __init__(self, folder: str, clock: Callable[[], float]) -> None:
        """Logs are kept in `folder`; `clock` gives the drill's milliseconds."""
        self.folder = Path(folder)
        self.clock = clock
        self.lives: dict[str, list[Life]] = {}
        self.stops: dict[str, list[list[float]]] = {}  # when each name stood still: from, to
        self.notes: list[str] = []

    def __enter__(self) -> Processes:
        """Begin with none."""
        return self

    def __exit__(self, *error: object) -> None:
        """Kill what still lives, each by its own id, and wait for it."""
        for lives in self.lives.values():
            for life in lives:
                if life.code is None:
                    life.asked = True
                    life.process.kill()
                life.process.wait()
                if life.reader is not None:
                    life.reader.join(5)
                if life.process.stderr is not None:
                    life.process.stderr.close()

    # --- lives

    def all(self) -> list[Life]:
        """Return every life there was."""
        return [life for lives in self.lives.values() for life in lives]

    def living(self) -> list[Life]:
        """Return the lives that run, or stand still."""
        return [life for life in self.all() if life.code is None]

    def get(self, name: str) -> Life:
        """Return the life that runs under a name.  Raises ProcessUnknown."""
        lives = self.lives.get(name)
        if not lives or lives[-1].code is not None:
            raise UnknownProcessError(f"{name} does not run")
        return lives[-1]

    async def start(self, name: str, command: list[str], word: str, *, ready_s: float = READY_S) -> Life:
        """Start a command and wait until it logs the event `word`.  Raises ProcessNotReady."""
        lives = self.lives.setdefault(name, [])
        if lives and lives[-1].code is None:
            raise UnknownProcessError(f"{name} runs already")
        number = len(lives) + 1
        process = subprocess.Popen(
            # In a session of its own: an interrupt at the terminal reaches the drill alone, which ends it.
            [sys.executable, "-E", "-S", LAUNCHER, str(os.getpid()), *command],
            env=os.environ | {"PYTHONPATH": ROOT},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        log = self.folder / f"{name}.{number}.log"
        life = Life(name, number, log, process, self.clock())
        lives.append(life)
        life.reader = threading.Thread(target=life._read, name=f"log of {name}", daemon=True)
        life.reader.start()
        try:
            await self.heard(life, word, ready_s)
        except ProcessNotReadyError:
            self._kill(life)
            raise
        life.ready_ms = self.clock()
        return life

    async def heard(self, life: Life, word: str, bound_s: float = READY_S) -> dict[str, Any]:
        """Wait until a life has logged an event and return the line.  Raises ProcessNotReady."""
        for _ in range(max(1, int(bound_s / POLL_S))):
            if word in life.last:
                return life.last[word][1]
            if life.code is not None:
                break
            await anyio.sleep(POLL_S)
        else:
            raise ProcessNotReadyError(f"{life.name} did not log {word!r} in {bound_s:g} s: {life.tail()}")
        if life.reader is not None:
            life.reader.join(5)
        if word in life.last:
            return life.last[word][1]
        raise ProcessNotReadyError(f"{life.name} ended with {life.code} before {word!r}: {life.tail()}")

    # --- harm

    def kill(self, name: str) -> Life:
        """SIGKILL, and wait until it is gone."""
        life = self.get(name)
        self._kill(life)
        self._goes_on(life)
        return life

    def _kill(self, life: Life) -> None:
        life.asked = True
        life.process.kill()
        life.process.wait()
        life.ended_ms = self.clock()

    def stop(self, name: str) -> None:
        """SIGSTOP: it stands still, its sockets stay open."""
        life = self.get(name)
        if not life.stopped:
            life.stopped = True
            self.stops.setdefault(name, []).append([self.clock(), float("inf")])
            life.process.send_signal(signal.SIGSTOP)

    def go(self, name: str) -> None:
        """SIGCONT."""
        life = self.get(name)
        life.process.send_signal(signal.SIGCONT)
        self._goes_on(life)

    def _goes_on(self, life: Life) -> None:
        if life.stopped:
            life.stopped = False
            self.stops[life.name][-1][1] = self.clock()

    def disk(self, name: str, most_bytes: int | None) -> None:
        """Make the disk full for a process: files grow to `most_bytes` and no further; None: there is room.

        By RLIMIT_FSIZE, so it needs no privilege and no mount.  The program sees EFBIG where a full disk
        gives ENOSPC; sockets, pipes and its log are not touched.  Raises OSError, ProcessUnknown.
        """
        life = self.get(name)
        _, hard = resource.prlimit(life.pid, resource.RLIMIT_FSIZE)
        soft = hard if most_bytes is None else most_bytes
        resource.prlimit(life.pid, resource.RLIMIT_FSIZE, (soft, hard))

    async def end(self, name: str, bound_s: float = END_S) -> int:
        """SIGTERM, then SIGKILL if it takes longer than the bound; returns the exit code."""
        life = self.get(name)
        if life.stopped:
            self.go(name)
        life.asked = True
        life.process.terminate()
        for _ in range(int(bound_s / POLL_S)):
            if life.code is not None:
                break
            await anyio.sleep(POLL_S)
        else:
            self.notes.append(f"{name} did not end in {bound_s:g} s after SIGTERM and was killed")
            self._kill(life)
        assert life.code is not None
        life.ended_ms = min(life.ended_ms, self.clock())
        return life.code

    def watch(self) -> None:
        """Note the time of ends that nobody asked for; to be called now and then."""
        for life in self.all():
            if life.code is not None and life.ended_ms == float("inf"):
                life.ended_ms = self.clock()

    # --- what is found

    def absent(self, names: Iterable[str], until_ms: float) -> list[tuple[float, float]]:
        """Return when not one of these names was ready and moving, up to a time."""
        here: list[tuple[float, float]] = []
        for name in names:
            stops = self.stops.get(name, [])
            for life in self.lives.get(name, []):
                edges = [life.ready_ms, *(t for stop in stops for t in stop), life.ended_ms]
                inside = [min(max(t, life.ready_ms), life.ended_ms) for t in edges]
                here.extend(zip(inside[::2], inside[1::2], strict=True))
        found, at = [], 0.0
        for begin, end in sorted((b, e) for b, e in here if b < e):
            if begin > at:
                found.append((at, min(begin, until_ms)))
            at = max(at, end)
        if at < until_ms:
            found.append((at, until_ms))
        return [(b, e) for b, e in found if b < e]

    def findings(self) -> list[str]:
        """Return what no drill asked for: processes that ended by themselves, defects, traces of errors."""
        found = []
        for life in self.all():
            who = f"{life.name} (life {life.number})"
            if life.code is not None and not life.asked:
                found.append(f"{who} ended by itself with {life.code}: {life.tail()[-500:]}")
            if life.counts["defect"]:
                found.append(f"{who} logged {life.counts['defect']} defects: {life.last['defect'][1]}")
            if life.traces:
                found.append(f"{who} left a trace: {life.tail()[-500:]}")
        return found

    def delays(self) -> list[str]:
        """Return what the processes logged of slow turns of their event loops and of slow disks."""
        return [delay for life in self.all() for delay in life.delays]

    def waited_ms(self) -> dict[int, float]:
        """Return how long each living process was ready to run and had no core, since its start, by id.

        Linux: /proc/ID/schedstat.  Empty where the system does not say.
        """
        waits = {}
        for life in self.living():
            with suppress(OSError, ValueError, IndexError):
                waits[life.pid] = int(Path(f"/proc/{life.pid}/schedstat").read_text().split()[1]) / 1e6
        return waits
