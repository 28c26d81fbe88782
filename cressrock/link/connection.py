"""Runs a link over a stream: transfers bytes between the two and calls the link when its timers expire."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import anyio

from cressrock.http.channel import BROKEN, Stream
from cressrock.link.protocol import Link, LinkEvent

RECEIVE_BYTES = 65536
CLOSE_TIMEOUT_S = 1.0
TIMER_SLACK_S = 1e-6  # without it, a timer may fire a rounding error before its deadline, when nothing is due


class EventLog(Protocol):
    """Structured log: each line has an event name and fields."""

    def info(self, event: str, **fields: object) -> object:
        """Log an event of normal operation."""

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that an operator may want to look into."""

    def error(self, event: str, **fields: object) -> object:
        """Log an internal error."""


class LinkHandler(Protocol):
    """The application side of a connection: handles the link's events and provides messages to send."""

    def handle_events(self, events: list[LinkEvent]) -> str | None:
        """Handle the link's events; return why the link ended, or None while it is up."""

    def send_pending(self) -> None:
        """Pass as many queued messages to the link as the peer's credit allows."""

    def next_send_ms(self) -> float:
        """Return when (ms) `send_pending` has to be called next even without a wake-up; infinity if never."""


class LinkConnection:
    """Reads and writes a link's stream, and serves its timers, until the link ends."""

    def __init__(self, link: Link, stream: Stream, handler: LinkHandler, clock: Callable[[], float]) -> None:
        """Connect `handler` to `stream` through `link`; `clock` returns milliseconds."""
        self.link = link
        self.stream = stream
        self.handler = handler
        self.clock = clock
        self._wake = anyio.Event()
        self._end_reason = "the connection ended"

    def wake(self) -> None:
        """Wake the writer to send the handler's pending messages."""
        self._wake.set()

    async def run(self) -> str:
        """Serve until the link ends and return why.  The stream is always closed, also on cancellation."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, tasks.cancel_scope)
                await self._write(tasks.cancel_scope)
        except BROKEN:
            pass  # the peer closed the stream; `_end_reason` says why
        except BaseExceptionGroup as group:
            others = group.split(lambda error: isinstance(error, BROKEN))[1]
            if others is not None:
                raise others from None
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
                await self.stream.aclose()
        return self._end_reason

    async def _write(self, scope: anyio.CancelScope) -> None:
        """Send the output of link and handler at each wake-up and when a timer expires."""
        while True:
            reason = self.handler.handle_events(self.link.tick(self.clock()))
            self.handler.send_pending()
            if data := self.link.take_bytes():
                await self.stream.send(data)
            if reason is not None:
                self._end_reason = reason
                scope.cancel()
            self._wake = anyio.Event()
            wake_at_ms = min(self.link.next_tick_ms(), self.handler.next_send_ms())
            with anyio.move_on_at(wake_at_ms / 1000 + TIMER_SLACK_S):
                await self._wake.wait()

    async def _read(self, scope: anyio.CancelScope) -> None:
        try:
            while True:
                data = await self.stream.receive(RECEIVE_BYTES)
                reason = self.handler.handle_events(self.link.receive_data(data, self.clock()))
                if reason is not None:
                    self._end_reason = reason
                    if data := self.link.take_bytes():  # tells the peer the reason
                        await self.stream.send(data)
                    break
                self._wake.set()
        except BROKEN:
            pass  # the end of the stream ends the link
        scope.cancel()
