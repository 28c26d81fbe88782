"""HTTP/1.1 (RFC 9112) over one byte stream: a carrier around h11, for either role.

A channel has one reader task for its whole life.  It feeds h11, holds back once enough bytes are unread,
and notices at any moment that the peer has closed: in the middle of a request, or while the connection
idles in a pool.  `event` and `send` belong to one other task at a time.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Protocol, runtime_checkable

import anyio
import h11

Headers = list[tuple[bytes, bytes]]
END_OF_HEAD = re.compile(rb"\n\r?\n")
BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class Stream(Protocol):
    """What a channel needs of a byte stream; loopback sockets and simulated ones both have it."""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return some bytes; raise EndOfStream at the end."""

    async def send(self, item: bytes) -> None:
        """Send all of the bytes, waiting while the peer holds back."""

    async def aclose(self) -> None:
        """Close both directions."""


@runtime_checkable
class PushStream(Protocol):
    """A stream that hands its bytes over as they come."""

    def set_receiver(self, feed: Callable[[bytes], None], end: Callable[[], None]) -> None:
        """Hand over what has come and all that will, then the end, once."""

    def set_reading_paused(self, held: bool) -> None:
        """Stop or go on taking bytes from the peer."""


class ConnectionLostError(Exception):
    """The peer closed or broke the stream before the message was complete."""


class MessageTooLargeError(Exception):
    """A message that has to be taken in whole is over its bound."""


class Channel:
    """One HTTP/1.1 connection.  `read_ahead` bounds the bytes fed and not yet taken out, in bytes."""

    def __init__(
        self,
        stream: Stream,
        role: type[h11.CLIENT] | type[h11.SERVER],
        *,
        max_head: int,
        read_ahead: int,
        max_fields: int | None = None,
    ) -> None:
        """Wrap a connected stream; `run_reader` has to be started in a task group.

        A request's head may have `max_fields` header fields; None: as many as fit in `max_head` bytes.
        """
        self.stream = stream
        self.conn = h11.Connection(role, max_incomplete_event_size=max_head)
        self.read_ahead = read_ahead
        self.max_fields = max_fields
        self._line_count = 0  # fed since fields were last counted; at least as many as the head has
        self.ended = False  # the peer will send nothing more
        self.when_ended: Callable[[], None] | None = None
        self.when_fed: Callable[[], None] | None = None  # called once, at the next bytes
        self._fed = 0
        self._held = False
        self._news: anyio.Event | None = None
        self._space: anyio.Event | None = None

    async def run_reader(self) -> None:
        """Feed h11 until the stream ends; never raises for a broken stream.

        A stream that hands its bytes over by itself is attached instead, and no task is kept for it.
        """
        if isinstance(self.stream, PushStream):
            self.stream.set_receiver(self.feed, self.end)
            return
        try:
            while True:
                self.feed(await self.stream.receive(65536))
                if self._held:
                    self._space = anyio.Event()
                    await self._space.wait()
        except BROKEN:
            pass
        finally:
            self.end()

    def feed(self, data: bytes) -> None:
        """Take bytes in; holds the stream back once too many are unread."""
        self._fed += len(data)
        if self.max_fields is not None:
            self._line_count += data.count(b"\n")
        self.conn.receive_data(data)
        if self.when_fed is not None:
            fed, self.when_fed = self.when_fed, None
            fed()
        if self._news is not None:
            self._news.set()
        if self._fed > self.read_ahead and not self._held:
            self._held = True
            if isinstance(self.stream, PushStream):
                self.stream.set_reading_paused(True)

    def end(self) -> None:
        """Take in that the peer will send nothing more."""
        if self.ended:
            return
        self.ended = True
        if self._news is not None:
            self._news.set()
        if self.when_ended is not None:
            self.when_ended()

    def _read_out(self) -> None:
        """All that was fed is taken out: let more come."""
        self._fed = 0
        if self._held:
            self._held = False
            if isinstance(self.stream, PushStream):
                self.stream.set_reading_paused(False)
            elif self._space is not None:
                self._space.set()

    async def event(self) -> h11.Event | type[h11.PAUSED]:
        """Return h11's next event, waiting for bytes.

        Raises Gone at an end in mid-message, h11.RemoteProtocolError for bytes that are no HTTP.
        """
        while True:
            self._limit_fields()
            found = self.conn.next_event()
            if found is not h11.NEED_DATA:
                return found  # type: ignore[return-value]
            if self._fed:
                self._read_out()
                continue  # releasing the stream may have fed more at once
            if self.ended:
                if self.conn.their_state is h11.IDLE and not self.conn.trailing_data[0]:
                    return h11.ConnectionClosed()
                raise ConnectionLostError("the peer closed in mid-message")
            self._news = anyio.Event()
            try:
                await self._news.wait()
            finally:
                self._news = None

    def _limit_fields(self) -> None:
        """Count the fields of the head that is arriving; raises h11.RemoteProtocolError if too many.

        It is done ahead of h11, which takes some hundred bytes and a microsecond for each, however short.
        """
        if self.max_fields is None or self._line_count <= self.max_fields:
            return
        if self.conn.their_state is not h11.IDLE:
            return
        data = self.conn.trailing_data[0]
        end = END_OF_HEAD.search(data)
        head = data[: end.start()] if end is not None else data
        self._line_count = head.count(b"\n")
        if self._line_count > self.max_fields:
            raise h11.RemoteProtocolError(
                f"a request may have at most {self.max_fields} header fields", error_status_hint=431
            )

    async def response(self) -> h11.Response:
        """Return the head of a final answer, passing over interim ones.  Raises as `event`."""
        while True:
            event = await self.event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError("the peer closed without an answer")

    async def rest(self, most: int) -> bytes:
        """Return a message's payload whole.  Raises TooLarge over so many bytes, and as `event`."""
        parts: list[bytes] = []
        size = 0
        while True:
            part = await self.event()
            if isinstance(part, h11.Data):
                size += len(part.data)
                if size > most:
                    raise MessageTooLargeError(f"an answer of over {most} bytes")
                parts.append(part.data)
            elif isinstance(part, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise ConnectionLostError("the peer closed in mid-answer")

    async def send(self, *events: h11.Event) -> None:
        """Write events in one piece where they are small; payloads over 16 KiB are not joined (no copy)."""
        parts: list[bytes] = []
        for event in events:
            parts.extend(self.conn.send_with_data_passthrough(event) or ())
        small: list[bytes] = []
        try:
            for part in parts:
                if len(part) > 16384:
                    if small:
                        await self.stream.send(b"".join(small))
                        small = []
                    await self.stream.send(part)
                elif part:
                    small.append(part)
            if small:
                await self.stream.send(b"".join(small))
        except BROKEN as broken:
            raise ConnectionLostError("the peer no longer reads") from broken

    def has_input(self) -> bool:
        """Return whether bytes of the next message have come already."""
        return bool(self.conn.trailing_data[0])

    def reusable(self) -> bool:
        """Whether the next message can follow on this connection."""
        return (
            not self.ended
            and self.conn.our_state is h11.DONE
            and self.conn.their_state is h11.DONE
            and not self.conn.trailing_data[0]
        )

    async def close(self) -> None:
        """Close the stream; safe to call twice and under cancellation."""
        if self._space is not None:
            self._space.set()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self.stream.aclose()
            except BROKEN:
                pass


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first field of that lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def headers_all(headers: Headers, name: bytes) -> list[bytes]:
    """Return all fields of that lower-case name, in order."""
    return [value for key, value in headers if key == name]
