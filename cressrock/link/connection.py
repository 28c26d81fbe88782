"""One link on one stream, either side: a carrier around the link's state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from cressrock.http.channel import BROKEN, Stream
from cressrock.link.protocol import Link

FOREVER = float("inf")


class LinkCarrier:
    """Reads, writes and keeps the times of a link until it ends."""

    def __init__(
        self,
        link: Link,
        stream: Stream,
        clock: Callable[[], float],
        *,
        told: Callable[[list[Any]], str | None],
        fill: Callable[[], None],
        due: Callable[[], float] = lambda: FOREVER,
    ) -> None:
        """`told` takes what the link told and returns why it is over, if so; `fill` queues what waits to be
        sent, and is called at each wake and at the time that `due` gives.
        """
        self.link = link
        self.stream = stream
        self.clock = clock
        self.told = told
        self.fill = fill
        self.due = due
        self._news = anyio.Event()
        self._why = "the connection ended"

    def wake(self) -> None:
        """Say that there is something to send."""
        self._news.set()

    async def run(self) -> str:
        """Serve to the end and close the stream; returns why it ended."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, tasks.cancel_scope)
                while True:
                    end = self.told(self.link.tick(self.clock()))
                    self.fill()
                    if data := self.link.take_bytes():
                        await self.stream.send(data)
                    if end is not None:
                        self._why = end
                        tasks.cancel_scope.cancel()
                    self._news = anyio.Event()
                    with anyio.move_on_at(min(self.link.next_due(), self.due()) / 1000 + 1e-6):
                        await self._news.wait()
        except BROKEN:
            pass
        except BaseExceptionGroup as group:
            rest = group.split(lambda error: isinstance(error, BROKEN))[1]
            if rest is not None:
                raise rest from None
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await self.stream.aclose()
        return self._why

    async def _read(self, scope: anyio.CancelScope) -> None:
        try:
            while True:
                told = self.link.receive_data(await self.stream.receive(65536), self.clock())
                if (end := self.told(told)) is not None:
                    self._why = end
                    if data := self.link.take_bytes():  # the peer hears the reason
                        await self.stream.send(data)
                    break
                self._news.set()
        except BROKEN:
            pass
        scope.cancel()
