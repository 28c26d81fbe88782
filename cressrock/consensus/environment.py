"""What the consensus services take from outside: clocks, dialling, threads, randomness, the log."""

from __future__ import annotations

import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio.to_thread

from cressrock.http.channel import Stream


class EventLog(Protocol):
    """Takes log events with their fields."""

    def info(self, event: str, **fields: object) -> object:
        """Log one event."""


async def run_in_thread(work: Callable[[], None]) -> None:
    """Do blocking work in a thread and wait for it, also when cancelled: a write is done or has failed."""
    await anyio.to_thread.run_sync(work)


async def run_inline(work: Callable[[], None]) -> None:
    """Do blocking work at once: for simulated time, in which a thread's real time must not pass."""
    work()


@dataclass(frozen=True, slots=True)
class Environment:
    """Clocks in milliseconds; `random_bytes` draws a new store's id."""

    clock: Callable[[], float]
    wall_ms: Callable[[], float]
    connect: Callable[[str, int], Awaitable[Stream]]
    random_source: random.Random
    log: EventLog | None = None
    run_blocking: Callable[[Callable[[], None]], Awaitable[None]] = run_in_thread
    random_bytes: Callable[[int], bytes] = os.urandom

    def log_event(self, event: str, **fields: object) -> None:
        """Log one event, where there is a log."""
        if self.log is not None:
            self.log.info(event, **fields)
