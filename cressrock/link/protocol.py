"""Each side's state of the link, in h11's manner: bytes and time in, events and bytes out.  Pure.

What is guaranteed: nothing is sent or believed before both agreed on a version; neither side sends more
than it was given credit for; a peer that is silent, or that breaks the protocol, is disconnected with a
reason.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

import msgspec

from cressrock.link import messages
from cressrock.link.messages import FRAME_HEADER_BYTES, encode, wire_name

# Version 2 tells what another decider had of an operation.  A planner of version 1 would not count it, and
# break the budget: the two disconnect, and the edge goes on as without a planner.
VERSIONS = (2,)
RULE_VERSIONS = "versions of rules"  # the planner announces which it holds, requests name theirs
LIMIT_LEASES = "lends limits"  # edges hold the limits' shares, planners lease of them: both do, or neither
MAX_CREDIT = 10**7  # messages; a peer that gives more has lost count
MAX_REASON = 500  # characters of a reason that are sent to the peer
MAX_DECODE_ERROR = 200  # characters of the decoder's text that a reason cites
FOREVER = float("inf")


class Role(Enum):
    """Which side this is."""

    EDGE = "edge"
    PLANNER = "planner"


class LinkState(Enum):
    """How far the link has come."""

    GREETING = "greeting"
    OPEN = "open"
    CLOSED = "closed"


class LinkError(Exception):
    """Base of what a link raises."""


class LinkProtocolError(LinkError):
    """The peer broke the protocol; the text says how, and goes to it before the end."""


class OutOfCreditError(LinkError):
    """A message was to be sent without credit for it: the caller waits for a Credit first."""


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Bounds of one link; times in milliseconds."""

    max_frame: int = 65536  # bytes
    credit: int = 256  # messages that the peer may send ahead
    ping_ms: float = 500.0
    silent_ms: float = 2000.0  # without a byte of the peer it counts as dead
    greeting_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Opened:
    """Both agreed: the version, and who the peer is."""

    version: int
    peer: str
    incarnation: str
    epoch: int
    capabilities: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Closed:
    """The link is over; `reason` in words, `by_us` if this side ended it."""

    reason: str
    by_us: bool


LinkEvent = Opened | Closed | messages.EdgeEvent | messages.PlannerOrder


class Link:
    """One side of one connection."""

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
        """Begin the handshake.  An edge's first bytes are ready at once in `take_bytes`."""
        self.role = role
        self.name = name
        self.epoch = epoch
        self.capabilities = capabilities
        self.versions = versions
        self.limits = limits or LinkLimits()
        self.state = LinkState.GREETING
        self.credit = 0  # messages that we may send
        self._greeting_by_ms = now_ms + self.limits.greeting_ms
        self._last_received_ms = now_ms
        self._ping_unanswered = False
        self._pings = 0
        self._peer_credit = 0  # messages that the peer may still send
        self._credit_to_return = 0  # messages that were dealt with and not given back to the peer
        self._buffer = bytearray()
        self._out: deque[bytes] = deque()
        if role is Role.EDGE:
            self._peer_credit = self.limits.credit
            self._write(
                messages.Hello(list(versions), name, incarnation, list(capabilities), self.limits.credit)
            )

    # --- bytes

    def take_bytes(self) -> bytes:
        """Return what is to be written now."""
        data = b"".join(self._out)
        self._out.clear()
        return data

    def receive_data(self, data: bytes, now_ms: float) -> list[LinkEvent]:
        """Receive bytes, in whatever pieces, and return the events in them."""
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
        """Enter that the stream has ended."""
        if self.state is LinkState.CLOSED:
            return []
        self.state = LinkState.CLOSED
        return [Closed("the connection ended", by_us=False)]

    def _next_frame(self) -> bytes | None:
        """Cut the next whole frame's body off the buffer."""
        if len(self._buffer) < FRAME_HEADER_BYTES:
            return None
        size = int.from_bytes(self._buffer[:FRAME_HEADER_BYTES], "big")
        if size > self.limits.max_frame:
            # Before the body is waited for: a length alone must not make anybody buffer that much.
            raise LinkProtocolError(f"a frame of {size} bytes; at most {self.limits.max_frame} are taken")
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
            reason = f"a message that cannot be read: {str(error)[:MAX_DECODE_ERROR]}"
            raise LinkProtocolError(reason) from None

    def _write(self, message: messages.Message) -> None:
        self._out.append(encode(message))

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
        if self.role is not Role.PLANNER or self.state is not LinkState.GREETING:
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
        if self.role is not Role.EDGE or self.state is not LinkState.GREETING:
            raise LinkProtocolError("a second welcome, or one from an edge")
        if welcome.version not in self.versions:
            raise LinkProtocolError(f"version {welcome.version} was never offered")
        self.state = LinkState.OPEN
        self.credit, self.epoch = welcome.credit, welcome.epoch
        return [Opened(welcome.version, welcome.name, "", welcome.epoch, tuple(welcome.capabilities))]

    # --- messages out

    def send(self, message: messages.EdgeEvent | messages.PlannerOrder) -> None:
        """Queue a message.  Raises OutOfCreditError; ValueError where it is not this side's to send."""
        if self.state is not LinkState.OPEN:
            raise ValueError(f"the link is {self.state.value}")
        allowed = messages.EdgeEvent if self.role is Role.EDGE else messages.PlannerOrder
        if not isinstance(message, allowed):
            raise ValueError(f"{type(message).__name__} is not the {self.role.value}'s to send")
        if self.credit <= 0:
            raise OutOfCreditError(f"no credit for {type(message).__name__}: the peer has yet to give more")
        self.credit -= 1
        self._write(message)

    def return_credit(self, count: int) -> None:
        """Enter that so many received messages were dealt with: the peer may send as many more."""
        self._credit_to_return += count
        # Half of the window at a time: credit for each message would cost as many bytes as the messages.
        if self.state is LinkState.OPEN and self._credit_to_return * 2 >= self.limits.credit:
            more, self._credit_to_return = self._credit_to_return, 0
            self._peer_credit += more
            self._write(messages.Credit(more))

    def close(self, reason: str) -> list[LinkEvent]:
        """End the link from this side, telling the peer why."""
        if self.state is LinkState.CLOSED:
            return []
        self.state = LinkState.CLOSED
        self._write(messages.Goodbye(reason[:MAX_REASON]))
        return [Closed(reason, by_us=True)]

    # --- time

    def next_tick_ms(self) -> float:
        """Return when `tick` has to be called next, on the clock of the calls."""
        if self.state is LinkState.CLOSED:
            return FOREVER
        if self.state is LinkState.GREETING:
            return self._greeting_by_ms
        wait_ms = self.limits.silent_ms if self._ping_unanswered else self.limits.ping_ms
        return self._last_received_ms + wait_ms

    def tick(self, now_ms: float) -> list[LinkEvent]:
        """Ping a peer that is quiet; disconnect one that is silent."""
        if now_ms < self.next_tick_ms():
            return []
        if self.state is LinkState.GREETING:
            return self.close("no greeting in time")
        if now_ms >= self._last_received_ms + self.limits.silent_ms:
            return self.close("silent for too long")
        if not self._ping_unanswered:
            self._pings += 1
            self._ping_unanswered = True
            self._write(messages.Ping(self._pings))
        return []
