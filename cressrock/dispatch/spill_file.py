"""An unnamed temporary file for a payload, which holds up nothing but its own payload.

Its calls may block for as long as the disk does, so they are made where the event loop does not run.
"""

from __future__ import annotations

import os
import tempfile
import threading
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol, TypeVar

from anyio import CapacityLimiter, to_thread

MAX_THREADS = 16  # of all payloads of a process; a disk that hangs holds up this many, and others wait

Result = TypeVar("Result")


class BlockingCalls(Protocol):
    """Makes calls that may block."""

    async def run(self, call: Callable[[], Result]) -> Result:
        """Return the call's result, or raise its error."""

    def start(self, call: Callable[[], None]) -> None:
        """Make a call whose end nobody waits for."""


class InlineCalls:
    """Makes calls at once, where simulated time must not pass."""

    async def run(self, call: Callable[[], Result]) -> Result:
        """Make a call at once."""
        return call()

    def start(self, call: Callable[[], None]) -> None:
        """Make a call at once."""
        call()


class ThreadCalls:
    """Makes calls in threads; whoever is cancelled while waiting for one does not wait for its end."""

    def __init__(self) -> None:
        """Start with no thread."""
        self._limiter = CapacityLimiter(MAX_THREADS)

    async def run(self, call: Callable[[], Result]) -> Result:
        """Make a call in a worker thread."""
        return await to_thread.run_sync(call, abandon_on_cancel=True, limiter=self._limiter)

    def start(self, call: Callable[[], None]) -> None:
        """Make a call in a thread of its own, which does not keep the process from ending."""
        threading.Thread(target=call, daemon=True).start()


class SpillFile:
    """The file.  After `close`, it is released as soon as no call uses it any more."""

    def __init__(self, directory: str | None, calls: BlockingCalls) -> None:
        """`directory` is where the file is created, by the first write; None for the system's."""
        self._directory = directory
        self._calls = calls
        self._lock = threading.Lock()
        self._handle: int | None = None
        self._users = 0
        self._is_closed = False

    async def write(self, chunks: Sequence[bytes], offset: int) -> None:
        """Write bytes at an offset.  Raises OSError, also if the file has been closed."""
        await self._calls.run(partial(self._use, partial(write_all, chunks=chunks, offset=offset)))

    async def read(self, size: int, offset: int) -> bytes:
        """Return up to `size` bytes from an offset on.  Raises OSError, also if the file has been closed."""
        return await self._calls.run(partial(self._use, lambda handle: os.pread(handle, size, offset)))

    def close(self) -> None:
        """Release the file: now, or when the calls that use it have ended."""
        with self._lock:
            self._is_closed = True
        self._release_if_unused()

    def _use(self, call: Callable[[int], Result]) -> Result:
        with self._lock:
            if self._is_closed:
                raise OSError("the payload's file has been closed")
            self._users += 1
        try:
            return call(self._open())
        finally:
            with self._lock:
                self._users -= 1
            self._release_if_unused()

    def _open(self) -> int:
        """Return the file's handle; only the first write, which is alone, creates the file."""
        if self._handle is None:
            with tempfile.TemporaryFile(dir=self._directory, buffering=0) as file:
                self._handle = os.dup(file.fileno())
        return self._handle

    def _release_if_unused(self) -> None:
        with self._lock:
            if not self._is_closed or self._users or self._handle is None:
                return
            handle, self._handle = self._handle, None
        self._calls.start(partial(os.close, handle))


def write_all(handle: int, chunks: Sequence[bytes], offset: int) -> None:
    """Write chunks one after the other from an offset on.  Blocks.  Raises OSError."""
    for chunk in chunks:
        rest = memoryview(chunk)
        while rest:
            written = os.pwrite(handle, rest, offset)
            rest = rest[written:]
            offset += written
