"""When the driver gets its turns on an event loop: one for all that a round of sockets brought."""

from __future__ import annotations

import asyncio

from cressrock.dispatch.driver import FOREVER, Driver


class Turns:
    """Calls `turn` once in a loop round after something happened, and when a timer is due."""

    def __init__(self, driver: Driver, loop: asyncio.AbstractEventLoop) -> None:
        """Take over the driver's `wake`."""
        self.driver = driver
        self.loop = loop
        self.turns = 0
        self._soon = False
        self._ended = False
        self._timer: asyncio.TimerHandle | None = None
        self._rings_at = FOREVER
        driver.request_wakeup = self.wake

    def wake(self) -> None:
        """Ask for a turn once this round's sockets have been heard."""
        if not self._soon:
            self._soon = True
            self.loop.call_soon(self._turn)

    def end(self) -> None:
        """Take no further turn: everything is answered, and nothing may be ordered after that."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()

    def _turn(self) -> None:
        self._soon = False
        if self._ended:
            return
        self.turns += 1
        try:
            self.driver.process_batch()
        finally:
            due = self.driver.next_batch_ms()
            if due < self._rings_at:
                if self._timer is not None:
                    self._timer.cancel()
                self._rings_at = due
                # A timer falls due at its time or after it, never before: a microsecond covers the rounding.
                wait = max(0.0, due - self.driver.clock()) / 1000 + 1e-6
                self._timer = self.loop.call_later(wait, self._ring)

    def _ring(self) -> None:
        self._timer, self._rings_at = None, FOREVER
        self.wake()
