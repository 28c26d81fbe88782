"""Runs the driver on an event loop: one batch for all events of a loop iteration."""

from __future__ import annotations

import asyncio

from cressrock.dispatch.driver import INFINITE_MS, Driver


class LoopBatches:
    """Runs a batch of the driver once per loop iteration if it asked for one, and when its timer is due."""

    def __init__(self, driver: Driver, loop: asyncio.AbstractEventLoop) -> None:
        """Set the driver's `request_wakeup`."""
        self.driver = driver
        self.loop = loop
        self.count = 0  # batches run
        self._scheduled = False
        self._stopped = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = INFINITE_MS
        driver.request_wakeup = self.schedule

    def schedule(self) -> None:
        """Schedule one batch after the socket events of this loop iteration."""
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._run_batch)

    def stop(self) -> None:
        """Run no further batch: every request is answered, and no new attempt may start."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def _run_batch(self) -> None:
        self._scheduled = False
        if self._stopped:
            return
        self.count += 1
        try:
            self.driver.process_batch()
        finally:
            due_ms = self.driver.next_batch_ms()
            if due_ms < self._timer_due_ms:
                if self._timer is not None:
                    self._timer.cancel()
                self._timer_due_ms = due_ms
                # One microsecond more covers rounding, so that the timer never fires before its due time.
                wait_s = max(0.0, due_ms - self.driver.clock()) / 1000 + 1e-6
                self._timer = self.loop.call_later(wait_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer, self._timer_due_ms = None, INFINITE_MS
        self.schedule()
