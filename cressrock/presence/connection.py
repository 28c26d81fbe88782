"""One stream between two gateways: frames in and out, and the greeting of both sides.

Streams come to the fleet's TCP port, after four bytes that no frame of the fleet begins with.
"""

from __future__ import annotations

import anyio

from cressrock.errors.presence import PresenceFrameError
from cressrock.http.channel import Stream
from cressrock.presence.messages import FORMAT, Heartbeat, Hello, Message, decode_frame, encode_frame

MAGIC = b"CRP1"  # as a length it is far above any frame of the fleet's: who knows no presence parts with it
RECEIVE_BYTES = 65536
CLOSE_TIMEOUT_S = 1


class Outbox:
    """Frames on their way; past a bound the stream is cut, and begins again from what the other side has."""

    def __init__(self, max_bytes: int) -> None:
        """Begin empty."""
        self.max_bytes = max_bytes
        self.frames: list[bytes] = []
        self.size = 0
        self.overflowed = False
        self._filled = anyio.Event()

    def enqueue(self, message: Message) -> None:
        """Add a message, or find that too much waits."""
        data = encode_frame(message)
        self.size += len(data)
        self.overflowed = self.overflowed or self.size > self.max_bytes
        self.frames.append(data)
        self._filled.set()

    def disconnect(self) -> None:
        """Have the stream end as if too much waited."""
        self.overflowed = True
        self._filled.set()

    async def write_to(self, stream: Stream, heartbeat_ms: float) -> None:
        """Send what comes, and heartbeats, until the stream breaks or too much waits."""
        while not self.overflowed:
            if not self.frames:
                with anyio.move_on_after(heartbeat_ms / 1000) as waiting:
                    await self._filled.wait()
                if waiting.cancelled_caught:
                    self.enqueue(Heartbeat())
            self._filled = anyio.Event()
            frames, self.frames = self.frames, []
            data = b"".join(frames)
            await stream.send(data)
            self.size -= len(data)


class PeerConnection:
    """A stream to or from another gateway, with what was read of it beyond the last frame."""

    def __init__(self, stream: Stream, received: bytes = b"") -> None:
        """`received` is what was read of it so far, after the four bytes."""
        self.stream = stream
        self._received = bytearray(received)

    async def receive(self, timeout_ms: float) -> Message | None:
        """Return the next message; None at the end, or after silence.  Raises PresenceFrameError."""
        while True:
            message = decode_frame(self._received)
            if message is not None:
                return message
            data = b""
            with anyio.move_on_after(timeout_ms / 1000):
                try:
                    data = await self.stream.receive(RECEIVE_BYTES)
                except anyio.EndOfStream:
                    return None
            if not data:
                return None
            self._received += data

    async def receive_hello(self, cluster: str, timeout_ms: float) -> Hello:
        """Return who the other side is.  Raises PresenceFrameError if it is none that can be spoken with."""
        hello = await self.receive(timeout_ms)
        if not isinstance(hello, Hello):
            raise PresenceFrameError("a stream that does not begin with who it is")
        if hello.format != FORMAT:
            raise PresenceFrameError(f"{hello.gateway} speaks format {hello.format}, this gateway {FORMAT}")
        if hello.cluster != cluster:
            raise PresenceFrameError(f"{hello.gateway} is of cluster {hello.cluster!r}, not {cluster!r}")
        return hello

    async def close(self) -> None:
        """Close the stream, also where the caller is cancelled."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.stream.aclose()
