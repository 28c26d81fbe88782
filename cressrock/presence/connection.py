"""One stream between two gateways: sending and receiving frames, and the opening Hello exchange.

Streams arrive on the fleet's shared TCP port. They start with four magic bytes that cannot begin any other
frame of the fleet's protocol.
"""

from __future__ import annotations

import anyio

from cressrock.errors.presence import PresenceFrameError
from cressrock.http.channel import Stream
from cressrock.presence.messages import FORMAT, Heartbeat, Hello, Message, decode_frame, encode_frame

# Read as a frame length it exceeds the fleet's maximum, so a process without presence closes the stream.
MAGIC = b"CRP1"
RECEIVE_BYTES = 65536
CLOSE_TIMEOUT_S = 1


class Outbox:
    """Bounded send queue of a stream.

    When the queue exceeds its bound, the stream is closed; a new stream resumes from the peer's last version.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create an empty queue for at most `max_bytes` of encoded frames."""
        self.max_bytes = max_bytes
        self.frames: list[bytes] = []
        self.size = 0
        self.overflowed = False
        self._has_frames = anyio.Event()

    def enqueue(self, message: Message) -> None:
        """Queue a message; marks the outbox as overflowed if the queue exceeds its bound."""
        data = encode_frame(message)
        self.size += len(data)
        self.overflowed = self.overflowed or self.size > self.max_bytes
        self.frames.append(data)
        self._has_frames.set()

    def disconnect(self) -> None:
        """Close the stream in the same way as after an overflow."""
        self.overflowed = True
        self._has_frames.set()

    async def write_to(self, stream: Stream, heartbeat_ms: float) -> None:
        """Send queued frames, and a heartbeat when idle, until the stream fails or the queue overflows."""
        while not self.overflowed:
            if not self.frames:
                with anyio.move_on_after(heartbeat_ms / 1000) as waiting:
                    await self._has_frames.wait()
                if waiting.cancelled_caught:
                    self.enqueue(Heartbeat())
            self._has_frames = anyio.Event()
            frames, self.frames = self.frames, []
            data = b"".join(frames)
            await stream.send(data)
            self.size -= len(data)


class PeerConnection:
    """A stream to or from another gateway, with a buffer for bytes after the last complete frame."""

    def __init__(self, stream: Stream, received: bytes = b"") -> None:
        """`received` holds the bytes that were already read from the stream after the magic bytes."""
        self.stream = stream
        self._received = bytearray(received)

    async def receive(self, timeout_ms: float) -> Message | None:
        """Return the next message, or None at end of stream or after `timeout_ms` without data.

        Raises PresenceFrameError.
        """
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
        """Return the peer's Hello.

        Raises PresenceFrameError if the first message is not a Hello of this format and cluster.
        """
        hello = await self.receive(timeout_ms)
        if not isinstance(hello, Hello):
            raise PresenceFrameError("the first message of a presence stream must be Hello")
        if hello.format != FORMAT:
            raise PresenceFrameError(
                f"gateway {hello.gateway} uses presence format {hello.format}, this gateway uses {FORMAT}"
            )
        if hello.cluster != cluster:
            raise PresenceFrameError(
                f"gateway {hello.gateway} belongs to cluster {hello.cluster!r}, expected {cluster!r}"
            )
        return hello

    async def close(self) -> None:
        """Close the stream within CLOSE_TIMEOUT_S, even if the calling task is cancelled."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.stream.aclose()
