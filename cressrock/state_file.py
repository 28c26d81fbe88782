"""Small files that keep a process's state, written without holding up the event loop.

A file is replaced atomically, by a thread of its own: a disk that is slow, full or does not answer delays the
file, never an answer to a client.  The newest state wins; at most one write is under way and one waits.
Whoever has to act only on what is durable passes a callback.  `docs/ARCHITECTURE.md` lists the files.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio import from_thread
from anyio.lowlevel import EventLoopToken, current_token

SLOW_WRITE_MS = 100.0  # a longer write is logged and counted

Callback = Callable[[], None]


def flush_directory(path: Path) -> None:
    """Flush a directory, so that the name of a new or renamed file is durable.  Raises OSError."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file and flush it; until the end, the old content is intact.  Blocks.  Raises OSError."""
    partial = path.with_name(path.name + ".part")
    with open(partial, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(partial, path)
    flush_directory(path.parent)


@dataclass(slots=True)
class WriteCounts:
    """What became of the writes of a process's state files."""

    written: int = 0
    failed: int = 0
    slow: int = 0  # over SLOW_WRITE_MS, failed ones included
    longest_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class _Write:
    data: bytes
    callbacks: tuple[Callback, ...]


class StateFile:
    """One file.  Its methods are called on the event loop."""

    def __init__(
        self, path: Path | None, files: StateFiles, on_written: Callable[[str], None] = lambda _: None
    ) -> None:
        """`on_written` gets why a write failed, or "" after a successful one; without a path none is made."""
        self.path = path
        self._files = files
        self._on_written = on_written
        self._waiting: deque[_Write] = deque(maxlen=1)
        self._under_way: _Write | None = None
        self._changed = threading.Condition()
        self._ended = anyio.Event()  # set at the end of a write
        self._token: EventLoopToken | None = None  # of the loop that is told of the end of writes

    def write(self, data: bytes, on_durable: Callback | None = None) -> None:
        """Write a state, or a newer one in its place.

        `on_durable` is called on the event loop once this or a newer state is written, or could not be
        written: a failed write is reported, and the state is used all the same until the process ends.
        """
        callbacks = () if on_durable is None else (on_durable,)
        if self.path is None:
            self._call(callbacks)
        elif not self._files.in_background:
            self._end_write(callbacks, *self._write_now(data))
        else:
            self._write_in_background(data, callbacks)

    def is_idle(self) -> bool:
        """Return whether no write is under way or waits."""
        with self._changed:
            return self._under_way is None and not self._waiting

    async def wait_idle(self) -> None:
        """Wait until no write is under way or waits."""
        while not self.is_idle():
            self._ended = anyio.Event()
            await self._ended.wait()

    def _write_in_background(self, data: bytes, callbacks: tuple[Callback, ...]) -> None:
        if self._token is None:
            self._token = current_token()
            # A daemon: a disk that does not answer must not keep the process from ending.
            threading.Thread(target=self._run, name=f"state of {self.path}", daemon=True).start()
        with self._changed:
            earlier = self._waiting.pop().callbacks if self._waiting else ()
            self._waiting.append(_Write(data, earlier + callbacks))
            self._changed.notify()

    def _run(self) -> None:
        """Write what waits, one after the other; in the file's own thread."""
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._waiting)
                write = self._under_way = self._waiting.pop()
            error, duration_ms = self._write_now(write.data)
            with self._changed:
                self._under_way = None
            with suppress(RuntimeError):  # the event loop has ended
                from_thread.run_sync(self._end_write, write.callbacks, error, duration_ms, token=self._token)

    def _write_now(self, data: bytes) -> tuple[str, float]:
        """Write; return why that failed, "" if it did not, and how long it took in milliseconds."""
        assert self.path is not None
        error, began_s = "", time.monotonic()
        try:
            write_atomically(self.path, data)
        except OSError as failure:
            error = str(failure)
        return error, (time.monotonic() - began_s) * 1000

    def _end_write(self, callbacks: tuple[Callback, ...], error: str, duration_ms: float) -> None:
        self._ended.set()
        self._files.record(self.path, error, duration_ms)
        self._on_written(error)
        self._call(callbacks)

    def _call(self, callbacks: tuple[Callback, ...]) -> None:
        for callback in callbacks:
            callback()


class StateFiles:
    """The state files of one process, and what became of their writes."""

    def __init__(self, *, in_background: bool = False, log: Any = None) -> None:
        """`in_background`: writes are made by threads; False in simulated time, where none may pass."""
        self.in_background = in_background
        self.log = log
        self.counts = WriteCounts()
        self._files: list[StateFile] = []

    def open(self, path: str | Path | None, on_written: Callable[[str], None] = lambda _: None) -> StateFile:
        """Return a file; see `StateFile`."""
        file = StateFile(Path(path) if path else None, self, on_written)
        self._files.append(file)
        return file

    def are_idle(self) -> bool:
        """Return whether no write of any file is under way or waits."""
        return all(file.is_idle() for file in self._files)

    def record(self, path: Path | None, error: str, duration_ms: float) -> None:
        """Count a write, and log a slow one."""
        counts = self.counts
        if error:
            counts.failed += 1
        else:
            counts.written += 1
        counts.longest_ms = max(counts.longest_ms, duration_ms)
        if duration_ms > SLOW_WRITE_MS:
            counts.slow += 1
            if self.log is not None:
                self.log.warning("state_file.slow_write", path=str(path), ms=round(duration_ms, 1))
