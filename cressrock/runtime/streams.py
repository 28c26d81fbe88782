"""One listener for several protocols: a stream is handed on by the bytes that it begins with."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from cressrock.http.channel import BROKEN, Stream

# Takes a stream and what was read of it after its first MAGIC_BYTES.
StreamHandler = Callable[[Stream, bytes], Coroutine[Any, Any, None]]
DefaultHandler = Callable[[Stream], Coroutine[Any, Any, None]]
MAGIC_BYTES = 4
READ_BYTES = 65536


class PeekedStream:
    """A stream of which the first bytes were read already."""

    def __init__(self, stream: Stream, start: bytes) -> None:
        """`start` is given out first."""
        self._stream, self._start = stream, start

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return some bytes; raise EndOfStream at the end."""
        if self._start:
            data, self._start = self._start[:max_bytes], self._start[max_bytes:]
            return data
        return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Send all of the bytes."""
        await self._stream.send(item)

    async def aclose(self) -> None:
        """Close both directions."""
        await self._stream.aclose()


async def serve_by_magic(
    stream: Stream, handlers: dict[bytes, StreamHandler], default: DefaultHandler, timeout_ms: float
) -> None:
    """Serve a stream by the handler of its first MAGIC_BYTES, else by the default, which reads them again."""
    if not handlers:
        await default(stream)
        return
    start = b""
    try:
        with anyio.move_on_after(timeout_ms / 1000):
            while len(start) < MAGIC_BYTES:
                start += await stream.receive(READ_BYTES)
    except BROKEN:
        pass  # the default handler meets the same end of the stream, and counts it
    handler = handlers.get(start[:MAGIC_BYTES])
    if handler is not None:
        await handler(stream, start[MAGIC_BYTES:])
    else:
        await default(PeekedStream(stream, start))
