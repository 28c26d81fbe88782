"""Each side's state of the link, in h11's manner: bytes and time in, events and bytes out.  Pure.

What is guaranteed: nothing is sent or believed before both agreed on a version; neither side sends more
than it was given credit for; a peer that is silent, or that breaks the protocol, is parted with by a reason.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

import msgspec

from cressrock.link import messages as m

# Version 2 tells what another decider had of an operation.  A planner of version 1 would not count it, and
# break the budget: the two part, and the edge goes on as without a planner.
VERSIONS = (2,)
RULE_VERSIONS = "versions of rules"  # the planner tells which it holds, requests name theirs
LENDING = "lends limits"  # edges hold the limits' parts, planners borrow of them: both do, or neither
FRAME = 4
FOREVER = float("inf")


class Role(Enum):
    """Which side this is."""

    EDGE = "edge"
    PLANNER = "planner"


class State(Enum):
    """How far the link has come."""

    GREETING = "greeting"
    OPEN = "open"
    CLOSED = "closed"


class LinkError(Exception):
    """The peer broke the protocol; the text says how, and goes to it before the end."""


class OutOfCredit(Exception):
    """A message was to be sent without credit for it: the caller waits for a Credit first."""


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Bounds of one link; times in milliseconds."""

    max_frame: int = 65536
    credit: int = 256  # what the peer may send ahead
    ping_ms: float = 500.0
    silent_ms: float = 2000.0  # without a byte of the peer it counts as gone
    greeting_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Opened:
    """Both agreed: the version, and who the peer is."""

    version: int
    peer: str
    life: str
    epoch: int
    capabilities: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Closed:
    """The link is over; `reason` in words, `ours` if this side ended it."""

    reason: str
    ours: bool


Told = Opened | Closed | m.Event | m.Order


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
        bounds: LinkLimits | None = None,
    ) -> None:
        """An edge's first bytes are ready at once in `take_bytes`."""
        self.role = role
        self.name = name
        self.life = incarnation
        self.epoch = epoch
        self.capabilities = capabilities
        self.versions = versions
        self.bounds = bounds or LinkLimits()
        self.state = State.GREETING
        self.began = self.heard = now_ms
        self.asked: float | None = None  # when the present Ping was sent
        self.pings = 0
        self.credit = 0  # what we may send
        self.given = 0  # what the peer may still send
        self._owed = 0  # taken out and not yet given again
        self._buffer = bytearray()
        self._out: deque[bytes] = deque()
        if role is Role.EDGE:
            self.given = self.bounds.credit
            hello = m.Hello(list(versions), name, incarnation, list(capabilities), self.bounds.credit)
            self._out.append(m.encode(hello))

    # --- bytes

    def take_bytes(self) -> bytes:
        """Return what is to be written now."""
        data = b"".join(self._out)
        self._out.clear()
        return data

    def receive_data(self, data: bytes, now_ms: float) -> list[Told]:
        """Take bytes in, in whatever pieces, and return what they told."""
        if self.state is State.CLOSED:
            return []
        self.heard = now_ms
        self._buffer += data
        told: list[Told] = []
        try:
            while len(self._buffer) >= FRAME:
                size = int.from_bytes(self._buffer[:FRAME], "big")
                if size > self.bounds.max_frame:
                    # Before the body is waited for: a length alone must not make anybody keep that much.
                    raise LinkError(f"a frame of {size} bytes; at most {self.bounds.max_frame} are taken")
                if len(self._buffer) < FRAME + size:
                    break
                body = bytes(self._buffer[FRAME : FRAME + size])
                del self._buffer[: FRAME + size]
                told.extend(self._message(self._decode(body)))
                if told and isinstance(told[-1], Closed):
                    break
        except LinkError as wrong:
            told.extend(self.close(str(wrong)))
        return told

    def receive_end(self) -> list[Told]:
        """Take in that the stream has ended."""
        if self.state is State.CLOSED:
            return []
        self.state = State.CLOSED
        return [Closed("the connection ended", ours=False)]

    @staticmethod
    def _decode(body: bytes) -> m.Any:
        try:
            return m.decode(body)
        except (msgspec.DecodeError, RecursionError) as wrong:
            raise LinkError(f"a message that cannot be read: {str(wrong)[:200]}") from None

    # --- messages in

    def _message(self, message: m.Any) -> list[Told]:
        match message:
            case m.Parting(reason):
                self.state = State.CLOSED
                return [Closed(reason, ours=False)]
            case m.Ping(number):
                self._out.append(m.encode(m.Pong(number)))
                return []
            case m.Pong(number):
                if number == self.pings:
                    self.asked = None
                return []
            case m.Hello():
                return self._hello(message)
            case m.Welcome():
                return self._welcome(message)
        if self.state is not State.OPEN:
            raise LinkError(f"{type(message).__name__} before both had agreed on a version")
        if isinstance(message, m.Credit):
            self.credit += message.more
            if self.credit > 10**7:
                raise LinkError("credit without end")
            return []
        wanted = m.Event if self.role is Role.PLANNER else m.Order
        if not isinstance(message, wanted):
            raise LinkError(f"{type(message).__name__} is not the {self.role.value}'s to take")
        if self.given <= 0:
            raise LinkError("more messages than credit was given for")
        self.given -= 1
        return [message]

    def _hello(self, hello: m.Hello) -> list[Told]:
        if self.role is not Role.PLANNER or self.state is not State.GREETING:
            raise LinkError("a second greeting, or one from a planner")
        common = [v for v in self.versions if v in hello.versions]
        if not common:
            raise LinkError(f"no common version: we speak {list(self.versions)}, the peer {hello.versions}")
        version = max(common)
        self.state = State.OPEN
        self.credit, self.given = hello.credit, self.bounds.credit
        shared = [c for c in self.capabilities if c in hello.capabilities]
        welcome = m.Welcome(version, self.name, self.epoch, shared, self.bounds.credit)
        self._out.append(m.encode(welcome))
        return [Opened(version, hello.name, hello.life, self.epoch, tuple(shared))]

    def _welcome(self, welcome: m.Welcome) -> list[Told]:
        if self.role is not Role.EDGE or self.state is not State.GREETING:
            raise LinkError("a second welcome, or one from an edge")
        if welcome.version not in self.versions:
            raise LinkError(f"version {welcome.version} was never offered")
        self.state = State.OPEN
        self.credit, self.epoch = welcome.credit, welcome.epoch
        return [Opened(welcome.version, welcome.name, "", welcome.epoch, tuple(welcome.capabilities))]

    # --- messages out

    def send(self, message: m.Event | m.Order) -> None:
        """Queue a message.  Raises OutOfCredit; ValueError where it is not this side's to send."""
        if self.state is not State.OPEN:
            raise ValueError(f"the link is {self.state.value}")
        if not isinstance(message, m.Event if self.role is Role.EDGE else m.Order):
            raise ValueError(f"{type(message).__name__} is not the {self.role.value}'s to send")
        if self.credit <= 0:
            raise OutOfCredit
        self.credit -= 1
        self._out.append(m.encode(message))

    def taken(self, count: int) -> None:
        """Say that so many of the told messages were dealt with: the peer may send as many more."""
        self._owed += count
        # Half of the window at a time: credit for each message would cost as many bytes as the messages.
        if self.state is State.OPEN and self._owed * 2 >= self.bounds.credit:
            more, self._owed = self._owed, 0
            self.given += more
            self._out.append(m.encode(m.Credit(more)))

    def close(self, reason: str) -> list[Told]:
        """End the link from this side, telling the peer why."""
        if self.state is State.CLOSED:
            return []
        self.state = State.CLOSED
        self._out.append(m.encode(m.Parting(reason[:500])))
        return [Closed(reason, ours=True)]

    # --- time

    def next_due(self) -> float:
        """Return when `tick` has to be called next, on the clock of the calls."""
        if self.state is State.CLOSED:
            return FOREVER
        if self.state is State.GREETING:
            return self.began + self.bounds.greeting_ms
        wait = self.bounds.silent_ms if self.asked is not None else self.bounds.ping_ms
        return self.heard + wait

    def tick(self, now_ms: float) -> list[Told]:
        """Send a sign of life where the peer is quiet; part with one that is silent."""
        if now_ms < self.next_due():
            return []
        if self.state is State.GREETING:
            return self.close("no greeting in time")
        if now_ms >= self.heard + self.bounds.silent_ms:
            return self.close("silent for too long")
        if self.asked is None:
            self.pings += 1
            self.asked = now_ms
            self._out.append(m.encode(m.Ping(self.pings)))
        return []
