"""Serves several protocols on one listener: the first bytes of a stream select its handler."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from cressrock.http.channel import BROKEN, Stream

# Called with a stream and the bytes already read after its first MAGIC_BYTES.
StreamHandler = Callable[[Stream, bytes], Coroutine[Any, Any, None]]
DefaultHandler = Callable[[Stream], Coroutine[Any, Any, None]]
MAGIC_BYTES = 4
READ_BYTES = 65536


class PeekedStream:
    """A stream whose first bytes have been read; `receive` returns them again."""

    def __init__(self, stream: Stream, prefix: bytes) -> None:
        """`prefix` is the data already read; it is returned before the rest of the stream."""
        self._stream, self._prefix = stream, prefix

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return at most `max_bytes`.  Raises EndOfStream at the end."""
        if self._prefix:
            data, self._prefix = self._prefix[:max_bytes], self._prefix[max_bytes:]
            return data
        return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Send all bytes of `item`."""
        await self._stream.send(item)

    async def aclose(self) -> None:
        """Close both directions."""
        await self._stream.aclose()


async def serve_by_magic(
    stream: Stream, handlers: dict[bytes, StreamHandler], default: DefaultHandler, timeout_ms: float
) -> None:
    """Serve a stream by the handler of its first MAGIC_BYTES, or by `default`.

    `default` also serves a stream that does not send MAGIC_BYTES within `timeout_ms`, and reads it from its
    first byte.
    """
    if not handlers:
        await default(stream)
        return
    prefix = b""
    try:
        with anyio.move_on_after(timeout_ms / 1000):
            while len(prefix) < MAGIC_BYTES:
                prefix += await stream.receive(READ_BYTES)
    except BROKEN:
        pass  # the default handler gets the same error from the stream and counts it
    handler = handlers.get(prefix[:MAGIC_BYTES])
    if handler is not None:
        await handler(stream, prefix[MAGIC_BYTES:])
    else:
        await default(PeekedStream(stream, prefix))
