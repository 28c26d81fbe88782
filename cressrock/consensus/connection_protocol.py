"""The protocol of one connection without I/O: takes bytes and the time, returns events and bytes.

Two peers agree on the newest version that both know, and close the connection if there is none.  No message
is accepted before the handshake is complete.  The side that dialled sends pings, so a connection that loses
bytes in either direction times out and is dialled again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

import msgspec

from cressrock.consensus.frames import (
    LENGTH_BYTES,
    VERSIONS,
    CloseNotice,
    Frame,
    Hello,
    Ping,
    Pong,
    RaftFrame,
    Request,
    Response,
    Welcome,
    decode_body,
    encode,
)

FOREVER = float("inf")
MAX_CODE_CHARACTERS, MAX_REASON_CHARACTERS = 64, 512  # of a CloseNotice


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Size limits and timeouts of one connection."""

    max_frame_bytes: int = (
        1 << 20
    )  # above the largest AppendEntries (256 KiB of entries) and the largest decision
    max_greeting_bytes: int = 4096  # before the handshake; a greeting with 16 replicas has 1.3 KB
    max_queued_bytes: int = 4 << 20  # waiting to be written; further messages are dropped
    ping_interval_ms: float = 300.0
    peer_timeout_ms: float = (
        1200.0  # a few pings; close to a term, so that a dead path is dialled again within it
    )
    handshake_timeout_ms: float = 1200.0


@dataclass(frozen=True, slots=True)
class Opened:
    """The handshake succeeded: the agreed version, the peer's identity and group, and its applied index."""

    version: int
    peer: str
    is_replica: bool
    group: str
    initial_replicas: tuple[str, ...]
    applied: int


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection has ended: a code, a readable reason, and whether this side closed it."""

    code: str
    reason: str
    closed_locally: bool


Event = Opened | Closed | RaftFrame | Request | Response


class ConnectionState(Enum):
    """Lifecycle state of a connection."""

    HANDSHAKE = "greeting"
    OPEN = "open"
    CLOSED = "closed"


class _PeerProtocolError(Exception):
    """The peer violated the protocol; code and text are sent to it before the connection closes."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class LocalEndpoint:
    """The identity that this side presents in its handshake; see Hello.

    A client belongs to no group and accepts any group of its cluster.
    """

    cluster: str
    identity: str
    is_replica: bool
    group: str = ""
    initial_replicas: tuple[str, ...] = ()
    applied: int = 0


class ConnectionProtocol:
    """One side of one connection."""

    def __init__(
        self,
        is_dialler: bool,
        local: LocalEndpoint,
        now_ms: float,
        *,
        limits: ConnectionLimits | None = None,
        versions: tuple[int, ...] = VERSIONS,
    ) -> None:
        """Start the handshake: the dialler's Hello can be taken from `take_bytes` at once."""
        self.is_dialler, self.local, self.versions = is_dialler, local, versions
        self.limits = limits or ConnectionLimits()
        self.state = ConnectionState.HANDSHAKE
        self.peer = ""
        self.peer_is_replica = False
        self.peer_applied = 0  # the highest index that the peer has reported as applied
        self.last_received_ms = now_ms
        self.dropped_messages = 0  # because the queue was full or the connection not open
        self._started_at_ms = self._last_ping_ms = now_ms
        self._last_ping_number = 0
        self._buffer = bytearray()
        self._output: deque[bytes] = deque()
        self._queued_bytes = 0
        if is_dialler:
            self._queue(
                Hello(
                    versions,
                    local.cluster,
                    local.identity,
                    local.is_replica,
                    local.group,
                    local.initial_replicas,
                )
            )

    # --- sending

    def _queue(self, frame: Frame) -> None:
        data = encode(frame)
        self._output.append(data)
        self._queued_bytes += len(data)

    def take_bytes(self) -> bytes:
        """Return the queued bytes to write to the stream, and empty the queue."""
        data = b"".join(self._output)
        self._output.clear()
        self._queued_bytes = 0
        return data

    def send(self, message: RaftFrame | Request | Response) -> bool:
        """Queue a message; return False if it was dropped (connection not open, or queue full)."""
        if self.state is not ConnectionState.OPEN or self._queued_bytes > self.limits.max_queued_bytes:
            self.dropped_messages += 1
            return False
        self._queue(message)
        return True

    def close(self, code: str, reason: str) -> list[Event]:
        """Close the connection from this side and send the reason to the peer."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.state = ConnectionState.CLOSED
        self._queue(CloseNotice(code[:MAX_CODE_CHARACTERS], reason[:MAX_REASON_CHARACTERS]))
        return [Closed(code, reason, closed_locally=True)]

    # --- receiving

    def receive_data(self, data: bytes, now_ms: float) -> list[Event]:
        """Process received bytes, split at any position, and return the resulting events."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.last_received_ms = now_ms
        self._buffer += data
        events: list[Event] = []
        try:
            while (body := self._next_body()) is not None:
                events += self._receive_frame(body)
                if events and isinstance(events[-1], Closed):
                    break
        except _PeerProtocolError as error:
            events += self.close(error.code, str(error))
        return events

    def _next_body(self) -> bytes | None:
        """Remove the next complete frame from the buffer and return its body; None if it is incomplete."""
        if len(self._buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        in_handshake = self.state is ConnectionState.HANDSHAKE
        max_size = self.limits.max_greeting_bytes if in_handshake else self.limits.max_frame_bytes
        # Checked before the body arrives: a length field alone must not make this side buffer that much.
        if size > max_size:
            raise _PeerProtocolError("council-frame", f"a frame of {size} bytes; at most {max_size}")
        if len(self._buffer) < LENGTH_BYTES + size:
            return None
        body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
        del self._buffer[: LENGTH_BYTES + size]
        return body

    def receive_end(self) -> list[Event]:
        """Handle the end of the stream."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.state = ConnectionState.CLOSED
        return [Closed("ended", "the connection ended", closed_locally=False)]

    def _receive_frame(self, body: bytes) -> list[Event]:
        try:
            frame = decode_body(body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise _PeerProtocolError(
                "council-frame", f"frame cannot be decoded: {str(error)[:200]}"
            ) from None
        in_handshake = self.state is ConnectionState.HANDSHAKE
        match frame:
            case CloseNotice(code, reason):
                self.state = ConnectionState.CLOSED
                return [Closed(code, reason, closed_locally=False)]
            case Hello() if in_handshake and not self.is_dialler:
                return self._receive_hello(frame)
            case Welcome() if in_handshake and self.is_dialler:
                return self._receive_welcome(frame)
            case Hello() | Welcome():
                raise _unexpected(frame)
        if self.state is not ConnectionState.OPEN:
            raise _unexpected(frame)
        return self._receive_open(frame)

    def _receive_open(self, frame: Ping | Pong | RaftFrame | Request | Response) -> list[Event]:
        match frame:
            case Ping(number):
                self._queue(Pong(number, self.local.applied))
                return []
            case Pong(_, applied):
                self.peer_applied = max(self.peer_applied, applied)
                return []
            case RaftFrame() if not (self.peer_is_replica and self.local.is_replica):
                raise _PeerProtocolError(
                    "council-frame", "raft message on a connection that is not between two replicas"
                )
            case Request() if self.is_dialler:
                raise _PeerProtocolError("council-frame", "request from the side that was dialled")
            case Response() if not self.is_dialler:
                raise _PeerProtocolError("council-frame", "response to the side that sends no requests")
            case Response():
                self.peer_applied = max(self.peer_applied, frame.applied)
        return [frame]

    # --- handshake

    def _check_group(self, cluster: str, group: str) -> None:
        if cluster != self.local.cluster:
            raise _PeerProtocolError(
                "council-cluster",
                f"cluster {cluster!r}, this is {self.local.cluster!r}",
            )
        if group and self.local.group and group != self.local.group:
            raise _PeerProtocolError(
                "council-other", f"council {group}, this one is {self.local.group}: two foundings"
            )

    def _receive_hello(self, hello: Hello) -> list[Event]:
        common = [version for version in self.versions if version in hello.versions]
        if not common:
            offered, known = list(hello.versions), list(self.versions)
            raise _PeerProtocolError(
                "council-version",
                f"no common version: {known} here, {offered} there",
            )
        self._check_group(hello.cluster, hello.group)
        self.state, self.peer = ConnectionState.OPEN, hello.sender
        self.peer_is_replica = hello.is_replica
        local, version = self.local, max(common)
        self._queue(Welcome(version, local.identity, local.group, local.initial_replicas, local.applied))
        return [Opened(version, hello.sender, hello.is_replica, hello.group, hello.initial_replicas, 0)]

    def _receive_welcome(self, welcome: Welcome) -> list[Event]:
        if welcome.version not in self.versions:
            raise _PeerProtocolError("council-version", f"version {welcome.version} was never offered")
        self._check_group(self.local.cluster, welcome.group)
        self.state, self.peer, self.peer_is_replica = ConnectionState.OPEN, welcome.sender, True
        self.peer_applied = welcome.applied
        return [
            Opened(
                welcome.version,
                welcome.sender,
                True,
                welcome.group,
                welcome.initial_replicas,
                welcome.applied,
            )
        ]

    # --- time

    def next_deadline_ms(self) -> float:
        """Return when `tick` must be called next (ms on the caller's clock); inf once closed."""
        if self.state is ConnectionState.CLOSED:
            return FOREVER
        if self.state is ConnectionState.HANDSHAKE:
            return self._started_at_ms + self.limits.handshake_timeout_ms
        times_out_at_ms = self.last_received_ms + self.limits.peer_timeout_ms
        if not self.is_dialler:
            return times_out_at_ms
        return min(times_out_at_ms, self._last_ping_ms + self.limits.ping_interval_ms)

    def tick(self, now_ms: float) -> list[Event]:
        """Send a ping when it is due, and close the connection if the peer has timed out."""
        if now_ms < self.next_deadline_ms():
            return []
        if self.state is ConnectionState.HANDSHAKE:
            return self.close("council-silent", "no greeting in time")
        if now_ms >= self.last_received_ms + self.limits.peer_timeout_ms:
            return self.close("council-silent", "silent for too long")
        if self._queued_bytes <= self.limits.max_queued_bytes:
            self._last_ping_number += 1
            self._queue(Ping(self._last_ping_number))
        self._last_ping_ms = now_ms
        return []


def _unexpected(frame: Frame) -> _PeerProtocolError:
    return _PeerProtocolError("council-frame", f"{type(frame).__name__} where it has no place")
