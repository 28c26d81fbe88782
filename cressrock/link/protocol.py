"""The link's sans-I/O state machine, in the style of h11: takes bytes and time, returns events and bytes.

It guarantees that no events or orders are sent or accepted before both sides have agreed on a version, that
neither side sends more than its credit allows, and that a peer that is silent or violates the protocol is
disconnected with a reason.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

import msgspec

from cressrock.link import messages
from cressrock.link.messages import FRAME_HEADER_BYTES, encode, wire_name

# Version 2 reports earlier attempts and what other deciders counted.  A planner with version 1 would ignore
# them and exceed the retry budget, so the two disconnect and the edge continues without a planner.
VERSIONS = (2,)
RULE_VERSIONS = "versions of rules"  # the planner announces its versions, requests name theirs
# Edges hold quotas and lease units of them to the planner.  Both sides have to support it, or neither.
LIMIT_LEASES = "lends limits"
MAX_CREDIT = 10**7  # messages; more can only be a peer's accounting error
MAX_REASON_CHARS = 500  # longest reason that is sent to the peer
MAX_DECODE_ERROR_CHARS = 200  # longest part of the decoder's error that a reason quotes
NEVER_MS = float("inf")


class Role(Enum):
    """The side of a link; edges connect to planners."""

    EDGE = "edge"
    PLANNER = "planner"


class LinkState(Enum):
    """Phase of the link."""

    HANDSHAKE = "greeting"
    OPEN = "open"
    CLOSED = "closed"


class LinkError(Exception):
    """Base class of the link's errors."""


class LinkProtocolError(LinkError):
    """The peer violated the protocol; the text says how and is sent to the peer before the link closes."""


class OutOfCreditError(LinkError):
    """`send` was called without credit; the caller has to wait until the peer sends a Credit."""


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Limits of one link; times in milliseconds."""

    max_frame_bytes: int = 65536
    credit: int = 256  # messages that the peer may send before any are returned
    ping_ms: float = 500.0
    silent_ms: float = 2000.0  # longest time without a byte from the peer
    handshake_timeout_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Opened:
    """The handshake is complete: the agreed version, the peer's identity and the shared capabilities."""

    version: int
    peer: str
    incarnation: str
    epoch: int
    capabilities: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Closed:
    """The link has ended, with a readable reason; `by_us`: this side closed it."""

    reason: str
    by_us: bool


LinkEvent = Opened | Closed | messages.EdgeEvent | messages.PlannerOrder


class Link:
    """One side of a connection."""

    def __init__(
        self,
        role: Role,
        name: str,
        now_ms: float,
        *,
        incarnation: str = "-",
        epoch: int = 0,
        capabilities: tuple[str, ...] = (),
        versions: tuple[int, ...] = VERSIONS,
        limits: LinkLimits | None = None,
    ) -> None:
        """Start the handshake; an edge's Hello can be taken with `take_bytes` immediately."""
        self.role = role
        self.name = name
        self.epoch = epoch
        self.capabilities = capabilities
        self.versions = versions
        self.limits = limits or LinkLimits()
        self.state = LinkState.HANDSHAKE
        self.credit = 0  # messages that this side may send
        self._handshake_deadline_ms = now_ms + self.limits.handshake_timeout_ms
        self._last_received_ms = now_ms
        self._ping_unanswered = False
        self._pings = 0
        self._peer_credit = 0  # messages that the peer may still send
        self._credit_to_return = 0  # messages processed whose credit was not returned to the peer yet
        self._buffer = bytearray()
        self._outgoing: deque[bytes] = deque()
        if role is Role.EDGE:
            self._peer_credit = self.limits.credit
            self._write(
                messages.Hello(list(versions), name, incarnation, list(capabilities), self.limits.credit)
            )

    # --- bytes in and out

    def take_bytes(self) -> bytes:
        """Remove and return the bytes to write to the stream."""
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        return data

    def receive_data(self, data: bytes, now_ms: float) -> list[LinkEvent]:
        """Process received bytes, which may end anywhere in a frame, and return the resulting events."""
        if self.state is LinkState.CLOSED:
            return []
        self._last_received_ms = now_ms
        self._buffer += data
        events: list[LinkEvent] = []
        try:
            while (body := self._next_frame()) is not None:
                events.extend(self._receive(self._decode(body)))
                if events and isinstance(events[-1], Closed):
                    break
        except LinkProtocolError as error:
            events.extend(self.close(str(error)))
        return events

    def receive_end(self) -> list[LinkEvent]:
        """Record that the stream ended; return a Closed event unless the link was closed before."""
        if self.state is LinkState.CLOSED:
            return []
        self.state = LinkState.CLOSED
        return [Closed("the connection ended", by_us=False)]

    def _next_frame(self) -> bytes | None:
        """Remove and return the body of the next complete frame; None if there is none yet."""
        if len(self._buffer) < FRAME_HEADER_BYTES:
            return None
        size = int.from_bytes(self._buffer[:FRAME_HEADER_BYTES], "big")
        if size > self.limits.max_frame_bytes:
            # Checked before the body arrives, so that a peer cannot make this side buffer that much.
            raise LinkProtocolError(
                f"a frame of {size} bytes; at most {self.limits.max_frame_bytes} are taken"
            )
        end = FRAME_HEADER_BYTES + size
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[FRAME_HEADER_BYTES:end])
        del self._buffer[:end]
        return body

    @staticmethod
    def _decode(body: bytes) -> messages.AnyMessage:
        try:
            return messages.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            reason = f"a message that cannot be read: {str(error)[:MAX_DECODE_ERROR_CHARS]}"
            raise LinkProtocolError(reason) from None

    def _write(self, message: messages.Message) -> None:
        self._outgoing.append(encode(message))

    # --- messages in

    def _receive(self, message: messages.AnyMessage) -> list[LinkEvent]:
        match message:
            case messages.Goodbye(reason):
                self.state = LinkState.CLOSED
                return [Closed(reason, by_us=False)]
            case messages.Ping(number):
                self._write(messages.Pong(number))
                return []
            case messages.Pong(number):
                if number == self._pings:
                    self._ping_unanswered = False
                return []
            case messages.Hello():
                return self._receive_hello(message)
            case messages.Welcome():
                return self._receive_welcome(message)
        if self.state is not LinkState.OPEN:
            raise LinkProtocolError(f"{wire_name(message)} before both had agreed on a version")
        if isinstance(message, messages.Credit):
            self.credit += message.more
            if self.credit > MAX_CREDIT:
                raise LinkProtocolError("credit without end")
            return []
        allowed = messages.EdgeEvent if self.role is Role.PLANNER else messages.PlannerOrder
        if not isinstance(message, allowed):
            raise LinkProtocolError(f"{wire_name(message)} is not the {self.role.value}'s to take")
        if self._peer_credit <= 0:
            raise LinkProtocolError("more messages than credit was given for")
        self._peer_credit -= 1
        return [message]

    def _receive_hello(self, hello: messages.Hello) -> list[LinkEvent]:
        if self.role is not Role.PLANNER or self.state is not LinkState.HANDSHAKE:
            raise LinkProtocolError("a second greeting, or one from a planner")
        common = [version for version in self.versions if version in hello.versions]
        if not common:
            raise LinkProtocolError(
                f"no common version: we speak {list(self.versions)}, the peer {hello.versions}"
            )
        version = max(common)
        self.state = LinkState.OPEN
        self.credit, self._peer_credit = hello.credit, self.limits.credit
        shared = [capability for capability in self.capabilities if capability in hello.capabilities]
        self._write(messages.Welcome(version, self.name, self.epoch, shared, self.limits.credit))
        return [Opened(version, hello.name, hello.incarnation, self.epoch, tuple(shared))]

    def _receive_welcome(self, welcome: messages.Welcome) -> list[LinkEvent]:
        if self.role is not Role.EDGE or self.state is not LinkState.HANDSHAKE:
            raise LinkProtocolError("a second welcome, or one from an edge")
        if welcome.version not in self.versions:
            raise LinkProtocolError(f"version {welcome.version} was never offered")
        self.state = LinkState.OPEN
        self.credit, self.epoch = welcome.credit, welcome.epoch
        return [Opened(welcome.version, welcome.name, "", welcome.epoch, tuple(welcome.capabilities))]

    # --- messages out

    def send(self, message: messages.EdgeEvent | messages.PlannerOrder) -> None:
        """Queue a message.

        Raises OutOfCreditError without credit, and ValueError if the link is not open or this side may not
        send such messages.
        """
        if self.state is not LinkState.OPEN:
            raise ValueError(f"the link is {self.state.value}")
        allowed = messages.EdgeEvent if self.role is Role.EDGE else messages.PlannerOrder
        if not isinstance(message, allowed):
            raise ValueError(f"{type(message).__name__} is not the {self.role.value}'s to send")
        if self.credit <= 0:
            raise OutOfCreditError(
                f"no credit to send {type(message).__name__}; wait for the peer's next Credit message"
            )
        self.credit -= 1
        self._write(message)

    def return_credit(self, count: int) -> None:
        """Return the credit of `count` processed messages, so that the peer may send as many more."""
        self._credit_to_return += count
        # Returned in batches of half the window; one Credit per message would double the traffic.
        if self.state is LinkState.OPEN and self._credit_to_return * 2 >= self.limits.credit:
            more, self._credit_to_return = self._credit_to_return, 0
            self._peer_credit += more
            self._write(messages.Credit(more))

    def close(self, reason: str) -> list[LinkEvent]:
        """Close the link from this side and tell the peer why."""
        if self.state is LinkState.CLOSED:
            return []
        self.state = LinkState.CLOSED
        self._write(messages.Goodbye(reason[:MAX_REASON_CHARS]))
        return [Closed(reason, by_us=True)]

    # --- timers

    def next_tick_ms(self) -> float:
        """Return when (ms, on the caller's clock) `tick` has to be called next; infinity once closed."""
        if self.state is LinkState.CLOSED:
            return NEVER_MS
        if self.state is LinkState.HANDSHAKE:
            return self._handshake_deadline_ms
        wait_ms = self.limits.silent_ms if self._ping_unanswered else self.limits.ping_ms
        return self._last_received_ms + wait_ms

    def tick(self, now_ms: float) -> list[LinkEvent]:
        """Ping an idle peer; close the link if the handshake takes too long or the peer is silent."""
        if now_ms < self.next_tick_ms():
            return []
        if self.state is LinkState.HANDSHAKE:
            return self.close("no greeting in time")
        if now_ms >= self._last_received_ms + self.limits.silent_ms:
            return self.close("silent for too long")
        if not self._ping_unanswered:
            self._pings += 1
            self._ping_unanswered = True
            self._write(messages.Ping(self._pings))
        return []
