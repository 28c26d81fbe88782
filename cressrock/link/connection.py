"""One link on one stream: moves bytes between the stream and the link's state, and keeps its times."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import anyio

from cressrock.http.channel import BROKEN, Stream
from cressrock.link.protocol import Link, LinkEvent

RECEIVE_BYTES = 65536
CLOSE_TIMEOUT_S = 1.0
TIMER_SLACK_S = 1e-6  # a timer that fires a rounding error too early would find nothing to do


class EventLog(Protocol):
    """Where a service writes what happened: an event's name and its fields."""

    def info(self, event: str, **fields: object) -> object:
        """Write an event of normal work."""

    def warning(self, event: str, **fields: object) -> object:
        """Write an event that the operators may want to look into."""

    def error(self, event: str, **fields: object) -> object:
        """Write a defect."""


class LinkHandler(Protocol):
    """What a connection serves: receives the link's events, and has messages to send."""

    def handle_events(self, events: list[LinkEvent]) -> str | None:
        """Receive what the link reported; return why it is over, if it is."""

    def send_pending(self) -> None:
        """Give the link what waits to be sent, as far as the peer gave credit."""

    def next_send_ms(self) -> float:
        """Return when `send_pending` has to be called next without a wake; infinity: never."""


class LinkConnection:
    """Reads, writes and keeps the times of a link until it ends."""

    def __init__(self, link: Link, stream: Stream, handler: LinkHandler, clock: Callable[[], float]) -> None:
        """Serve `handler` over `stream`; `clock` gives milliseconds."""
        self.link = link
        self.stream = stream
        self.handler = handler
        self.clock = clock
        self._wake = anyio.Event()
        self._end_reason = "the connection ended"

    def wake(self) -> None:
        """Have the messages sent that wait."""
        self._wake.set()

    async def run(self) -> str:
        """Serve to the end and return why it ended.  The stream is closed in any case, also if cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, tasks.cancel_scope)
                await self._write(tasks.cancel_scope)
        except BROKEN:
            pass  # the peer has gone: the reason stands
        except BaseExceptionGroup as group:
            others = group.split(lambda error: isinstance(error, BROKEN))[1]
            if others is not None:
                raise others from None
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
                await self.stream.aclose()
        return self._end_reason

    async def _write(self, scope: anyio.CancelScope) -> None:
        """Send what the link and its handler have, at each wake and whenever a time is up."""
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
                    if data := self.link.take_bytes():  # the peer hears the reason
                        await self.stream.send(data)
                    break
                self._wake.set()
        except BROKEN:
            pass  # the stream's end is the link's
        scope.cancel()
