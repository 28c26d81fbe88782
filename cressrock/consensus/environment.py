"""The dependencies of the consensus services: clocks, connections, threads, randomness, the log."""

from __future__ import annotations

import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio.to_thread

from cressrock.http.channel import Stream


class EventLog(Protocol):
    """A structured log."""

    def info(self, event: str, **fields: object) -> object:
        """Log an event with its fields."""


async def run_in_thread(work: Callable[[], None]) -> None:
    """Run blocking work in a thread and wait for it even if cancelled, so that a write is never abandoned."""
    await anyio.to_thread.run_sync(work)


async def run_inline(work: Callable[[], None]) -> None:
    """Run blocking work inline; for simulated time, where no real time may pass in a thread."""
    work()


@dataclass(frozen=True, slots=True)
class Environment:
    """Injected dependencies; clocks return milliseconds, and `random_bytes` creates store ids."""

    clock: Callable[[], float]
    wall_ms: Callable[[], float]
    connect: Callable[[str, int], Awaitable[Stream]]
    random_source: random.Random
    log: EventLog | None = None
    run_blocking: Callable[[Callable[[], None]], Awaitable[None]] = run_in_thread
    random_bytes: Callable[[int], bytes] = os.urandom

    def log_event(self, event: str, **fields: object) -> None:
        """Log an event if a log is configured."""
        if self.log is not None:
            self.log.info(event, **fields)
