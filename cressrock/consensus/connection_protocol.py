"""The protocol of one connection: bytes and time in, events and bytes out; pure.

A newer peer and one that is a version older agree on the older version; two without a common version close.
Nothing of a replica is believed before the greeting is done.  The dialler pings, so a connection over which
bytes are lost in either direction is closed and dialled anew.
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
MAX_CODE, MAX_REASON = 64, 512  # characters of a CloseNotice


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Bounds of one connection; times in milliseconds, sizes in bytes."""

    max_frame: int = 1 << 20  # above the largest AppendEntries (256 KiB of entries) and a decision
    max_greeting: int = 4096  # until it is known who sends: a greeting of 16 replicas has 1.3 KB
    max_queue: int = 4 << 20  # waiting to be written; beyond it what is sent is lost, as on a wire
    ping_ms: float = 300.0
    silent_ms: float = 1200.0  # a few pings: near a term, so that a dead path is dialled anew by its end
    greeting_ms: float = 1200.0


@dataclass(frozen=True, slots=True)
class Opened:
    """Both agreed on `version`; who the peer is, its group, what it has applied."""

    version: int
    peer: str
    is_replica: bool
    group: str
    initial_replicas: tuple[str, ...]
    applied: int


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection is over: code, reason in words, and whether this side closed it."""

    code: str
    reason: str
    by_us: bool


Event = Opened | Closed | RaftFrame | Request | Response


class ConnectionState(Enum):
    """How far a connection has come."""

    GREETING = "greeting"
    OPEN = "open"
    CLOSED = "closed"


class _PeerProtocolError(Exception):
    """The peer broke the protocol; code and text go to it before the end."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class LocalEndpoint:
    """Who this side is; see Hello.  A client has no group of its own and accepts any of its cluster."""

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
        """A dialler's greeting is ready at once in `take_bytes`."""
        self.is_dialler, self.local, self.versions = is_dialler, local, versions
        self.limits = limits or ConnectionLimits()
        self.state = ConnectionState.GREETING
        self.peer = ""
        self.peer_is_replica = False
        self.peer_applied = 0  # the newest index that the peer said it has applied
        self.heard_at_ms = now_ms
        self.dropped_messages = 0  # that found the queue full or the connection not open
        self._started_at_ms = self._pinged_at_ms = now_ms
        self._pings = 0
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
        """Return what is to be written now."""
        data = b"".join(self._output)
        self._output.clear()
        self._queued_bytes = 0
        return data

    def send(self, message: RaftFrame | Request | Response) -> bool:
        """Queue a message; False where it was lost, because nothing is open or too much waits."""
        if self.state is not ConnectionState.OPEN or self._queued_bytes > self.limits.max_queue:
            self.dropped_messages += 1
            return False
        self._queue(message)
        return True

    def close(self, code: str, reason: str) -> list[Event]:
        """End the connection from this side, telling the peer why."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.state = ConnectionState.CLOSED
        self._queue(CloseNotice(code[:MAX_CODE], reason[:MAX_REASON]))
        return [Closed(code, reason, by_us=True)]

    # --- receiving

    def receive_data(self, data: bytes, now_ms: float) -> list[Event]:
        """Take bytes in, in whatever pieces, and return the events in them."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.heard_at_ms = now_ms
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
        """Take the next whole frame out of the buffer."""
        if len(self._buffer) < LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        is_greeting = self.state is ConnectionState.GREETING
        max_size = self.limits.max_greeting if is_greeting else self.limits.max_frame
        # Before the body is waited for: a length alone must not make anybody keep that much.
        if size > max_size:
            raise _PeerProtocolError("council-frame", f"a frame of {size} bytes; at most {max_size}")
        if len(self._buffer) < LENGTH_BYTES + size:
            return None
        body = bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + size])
        del self._buffer[: LENGTH_BYTES + size]
        return body

    def receive_end(self) -> list[Event]:
        """Take in that the stream has ended."""
        if self.state is ConnectionState.CLOSED:
            return []
        self.state = ConnectionState.CLOSED
        return [Closed("ended", "the connection ended", by_us=False)]

    def _receive_frame(self, body: bytes) -> list[Event]:
        try:
            frame = decode_body(body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise _PeerProtocolError(
                "council-frame", f"a frame that cannot be read: {str(error)[:200]}"
            ) from None
        is_greeting = self.state is ConnectionState.GREETING
        match frame:
            case CloseNotice(code, reason):
                self.state = ConnectionState.CLOSED
                return [Closed(code, reason, by_us=False)]
            case Hello() if is_greeting and not self.is_dialler:
                return self._receive_hello(frame)
            case Welcome() if is_greeting and self.is_dialler:
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
                raise _PeerProtocolError("council-frame", "a replica's message from or to what is no replica")
            case Request() if self.is_dialler:
                raise _PeerProtocolError("council-frame", "a request from who was dialled")
            case Response() if not self.is_dialler:
                raise _PeerProtocolError("council-frame", "a response to no request")
            case Response():
                self.peer_applied = max(self.peer_applied, frame.applied)
        return [frame]

    # --- greeting

    def _check_group(self, cluster: str, group: str) -> None:
        if cluster != self.local.cluster:
            raise _PeerProtocolError(
                "council-cluster", f"cluster {cluster!r}, this is {self.local.cluster!r}"
            )
        if group and self.local.group and group != self.local.group:
            raise _PeerProtocolError(
                "council-other", f"council {group}, this one is {self.local.group}: two foundings"
            )

    def _receive_hello(self, hello: Hello) -> list[Event]:
        common = [version for version in self.versions if version in hello.versions]
        if not common:
            offered, known = list(hello.versions), list(self.versions)
            raise _PeerProtocolError("council-version", f"no common version: {known} here, {offered} there")
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
        """Return when `tick` has to be called next."""
        if self.state is ConnectionState.CLOSED:
            return FOREVER
        if self.state is ConnectionState.GREETING:
            return self._started_at_ms + self.limits.greeting_ms
        silent_at_ms = self.heard_at_ms + self.limits.silent_ms
        if not self.is_dialler:
            return silent_at_ms
        return min(silent_at_ms, self._pinged_at_ms + self.limits.ping_ms)

    def tick(self, now_ms: float) -> list[Event]:
        """Ping, and close the connection to a peer that is silent."""
        if now_ms < self.next_deadline_ms():
            return []
        if self.state is ConnectionState.GREETING:
            return self.close("council-silent", "no greeting in time")
        if now_ms >= self.heard_at_ms + self.limits.silent_ms:
            return self.close("council-silent", "silent for too long")
        if self._queued_bytes <= self.limits.max_queue:
            self._pings += 1
            self._queue(Ping(self._pings))
        self._pinged_at_ms = now_ms
        return []


def _unexpected(frame: Frame) -> _PeerProtocolError:
    return _PeerProtocolError("council-frame", f"{type(frame).__name__} where it has no place")
