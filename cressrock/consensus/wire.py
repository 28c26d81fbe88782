"""What runs over a council's TCP connections: bytes and time in, events and bytes out.  Pure.

Frames are a length of 4 bytes and a MessagePack struct.  The dialler greets with the versions that it speaks,
its cluster, who it is and which council it knows; the other side answers with one common version, or parts
with a reason that both log.  A newer peer and one that is a version older agree on the older; two without a
common version part.  Nothing of a seat is believed before the greeting is done.  The dialler pings, so a
connection over which bytes are lost in either direction is parted with and dialled anew.
"""

from __future__ import annotations

import json
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from cressrock.consensus import decisions as d

VERSIONS = (1,)
FRAME = 4
FOREVER = float("inf")

Name = Annotated[str, Meta(max_length=64)]
Words = Annotated[str, Meta(max_length=512)]
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Names = Annotated[tuple[Name, ...], Meta(max_length=16)]


class Hello(Struct, frozen=True, array_like=True, tag="hello"):
    """The dialler's greeting; `who` is a seat's identity (name#id), or a client's name with `seat` False.

    `council` names the founding that the sender belongs to ("" before), `founders` its identities.
    """

    versions: Annotated[tuple[int, ...], Meta(max_length=16)]
    cluster: Name
    who: Name
    seat: bool = False
    council: Name = ""
    founders: Names = ()


class Welcome(Struct, frozen=True, array_like=True, tag="welcome"):
    """The answer: the version from here on, who answers, which council, and what it has applied."""

    version: int
    who: Name
    council: Name = ""
    founders: Names = ()
    applied: Count = 0


class Parting(Struct, frozen=True, array_like=True, tag="parting"):
    """The sender's last word: a code (as of an error type) and the reason in words."""

    code: Name
    reason: Words


class Ping(Struct, frozen=True, array_like=True, tag="ping"):
    """A sign of life that wants a Pong."""

    number: Count


class Pong(Struct, frozen=True, array_like=True, tag="pong"):
    """The answer to a Ping, with what the sender has applied."""

    number: Count
    applied: Count = 0


class Raft(Struct, frozen=True, array_like=True, tag="raft"):
    """One message between seats, as council/messages.py encodes it."""

    data: bytes


class Read(Struct, frozen=True, array_like=True, tag="read"):
    """What stands for `topic` now, by a read index."""

    topic: d.Topic


class Status(Struct, frozen=True, array_like=True, tag="status"):
    """The seat's own status; any seat answers for itself."""


class Join(Struct, frozen=True, array_like=True, tag="join"):
    """Take in the seat `who` (an identity); a former self of the same name is put out first."""

    who: Name


class Remove(Struct, frozen=True, array_like=True, tag="remove"):
    """Put out the seat of this name or identity."""

    who: Name


class Transfer(Struct, frozen=True, array_like=True, tag="transfer"):
    """Hand the lead to the seat of this name."""

    to: Name


Question = d.Decide | d.Drop | Read | Status | Join | Remove | Transfer


class Ask(Struct, frozen=True, array_like=True, tag="ask"):
    """A question under the connection's own number; `forward`: a seat that does not lead may pass it on."""

    number: Count
    question: Question
    forward: bool = False


class Stands(Struct, frozen=True, array_like=True, tag="stands"):
    """What stands, or was decided; None: nothing does."""

    decree: d.Decision | None


class Elsewhere(Struct, frozen=True, array_like=True, tag="elsewhere"):
    """Not answered here: `hint` names the seat that may lead.  A decision's outcome is unknown."""

    hint: Name = ""


class Later(Struct, frozen=True, array_like=True, tag="later"):
    """Not now: ask again; why, in words."""

    why: Words


class Told(Struct, frozen=True, array_like=True, tag="told"):
    """A status, as JSON."""

    text: Annotated[str, Meta(max_length=65536)]


Reply = Stands | d.VersionConflict | d.Rejected | Elsewhere | Later | Told | d.Done


class Answer(Struct, frozen=True, array_like=True, tag="answer"):
    """The answer to the Ask of this number, and what the answerer has applied by now."""

    number: Count
    reply: Reply
    applied: Count = 0


Frame = Hello | Welcome | Parting | Ping | Pong | Raft | Ask | Answer

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(message: Frame) -> bytes:
    """Return a frame with its length."""
    body = _encoder.encode(message)
    return len(body).to_bytes(FRAME, "big") + body


def told(status: dict[str, Any]) -> Told:
    """Return a status as an answer."""
    return Told(json.dumps(status)[:65536])


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of one connection; times in milliseconds."""

    max_frame: int = 1 << 20  # above raft's largest Append (256 KiB of entries) and a decree
    max_greeting: int = 4096  # until it is known who speaks: a greeting with 16 founders has 1.3 KB
    max_queue: int = 4 << 20  # bytes waiting to be written; beyond it what is sent is lost, as on a wire
    ping_ms: float = 300.0
    silent_ms: float = 1200.0  # a few pings: near a term, so that a dead path is dialled anew by its end
    greeting_ms: float = 1200.0


@dataclass(frozen=True, slots=True)
class Opened:
    """Both agreed on `version`; who the peer is, whether a seat, its council, what it has applied."""

    version: int
    who: str
    seat: bool
    council: str
    founders: tuple[str, ...]
    applied: int


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection is over: code, reason in words, and whether this side ended it."""

    code: str
    reason: str
    ours: bool


Event = Opened | Closed | Raft | Ask | Answer


class State(Enum):
    """How far a connection has come."""

    GREETING = "greeting"
    OPEN = "open"
    CLOSED = "closed"


class Wrong(Exception):
    """The peer broke the protocol; code and text go to it before the end."""

    def __init__(self, code: str, text: str) -> None:
        """`code` as in Parting."""
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Me:
    """Who this side is; see Hello.  A client has no council of its own and takes any of its cluster."""

    cluster: str
    who: str
    seat: bool
    council: str = ""
    founders: tuple[str, ...] = ()
    applied: int = 0


class Talk:
    """One side of one connection."""

    def __init__(
        self,
        dials: bool,
        me: Me,
        now_ms: float,
        *,
        bounds: Bounds | None = None,
        versions: tuple[int, ...] = VERSIONS,
    ) -> None:
        """A dialler's greeting is ready at once in `take_bytes`."""
        self.dials, self.me, self.versions = dials, me, versions
        self.bounds = bounds or Bounds()
        self.state = State.GREETING
        self.peer = ""
        self.peer_seat = False
        self.began = self.heard = self.pinged = now_ms
        self.pings = 0
        self.lost = 0  # messages that found the queue full
        self.applied = 0  # the newest index that the peer said it has applied
        self._buffer = bytearray()
        self._out: deque[bytes] = deque()
        self._queued = 0
        if dials:
            self._put(Hello(versions, me.cluster, me.who, me.seat, me.council, me.founders))

    def _put(self, message: Frame) -> None:
        data = encode(message)
        self._out.append(data)
        self._queued += len(data)

    def take_bytes(self) -> bytes:
        """Return what is to be written now."""
        data = b"".join(self._out)
        self._out.clear()
        self._queued = 0
        return data

    def send(self, message: Raft | Ask | Answer) -> bool:
        """Queue a message; False where it was lost, because nothing is open or too much waits."""
        if self.state is not State.OPEN or self._queued > self.bounds.max_queue:
            self.lost += 1
            return False
        self._put(message)
        return True

    def receive_data(self, data: bytes, now_ms: float) -> list[Event]:
        """Take bytes in, in whatever pieces, and return what they told."""
        if self.state is State.CLOSED:
            return []
        self.heard = now_ms
        self._buffer += data
        events: list[Event] = []
        try:
            while len(self._buffer) >= FRAME:
                size = int.from_bytes(self._buffer[:FRAME], "big")
                # Before the body is waited for: a length alone must not make anybody keep that much.
                most = self.bounds.max_greeting if self.state is State.GREETING else self.bounds.max_frame
                if size > most:
                    raise Wrong("council-frame", f"a frame of {size} bytes; at most {most}")
                if len(self._buffer) < FRAME + size:
                    break
                body = bytes(self._buffer[FRAME : FRAME + size])
                del self._buffer[: FRAME + size]
                events += self._message(body)
                if events and isinstance(events[-1], Closed):
                    break
        except Wrong as wrong:
            events += self.close(wrong.code, str(wrong))
        return events

    def receive_end(self) -> list[Event]:
        """Take in that the stream has ended."""
        if self.state is State.CLOSED:
            return []
        self.state = State.CLOSED
        return [Closed("ended", "the connection ended", ours=False)]

    def _message(self, body: bytes) -> list[Event]:
        try:
            message = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as wrong:
            raise Wrong("council-frame", f"a frame that cannot be read: {str(wrong)[:200]}") from None
        match message:
            case Parting(code, reason):
                self.state = State.CLOSED
                return [Closed(code, reason, ours=False)]
            case Hello() if not self.dials and self.state is State.GREETING:
                return self._hello(message)
            case Welcome() if self.dials and self.state is State.GREETING:
                return self._welcome(message)
        if self.state is not State.OPEN or isinstance(message, Hello | Welcome):
            raise Wrong("council-frame", f"{type(message).__name__} where it has no place")
        match message:
            case Ping(number):
                self._put(Pong(number, self.me.applied))
                return []
            case Pong(_, applied):
                self.applied = max(self.applied, applied)
                return []
            case Raft() if not (self.peer_seat and self.me.seat):
                raise Wrong("council-frame", "a seat's message from or to what is no seat")
            case Ask() if self.dials:
                raise Wrong("council-frame", "a question from who was dialled")
            case Answer() if not self.dials:
                raise Wrong("council-frame", "an answer to no question")
            case Answer():
                self.applied = max(self.applied, message.applied)
        return [message]

    def _same(self, cluster: str, council: str) -> None:
        if cluster != self.me.cluster:
            raise Wrong("council-cluster", f"cluster {cluster!r}, this is {self.me.cluster!r}")
        if council and self.me.council and council != self.me.council:
            raise Wrong("council-other", f"council {council}, this one is {self.me.council}: two foundings")

    def _hello(self, hello: Hello) -> list[Event]:
        common = [version for version in self.versions if version in hello.versions]
        if not common:
            ours, theirs = list(self.versions), list(hello.versions)
            raise Wrong("council-version", f"no common version: {ours} here, {theirs} there")
        self._same(hello.cluster, hello.council)
        self.state, self.peer, self.peer_seat = State.OPEN, hello.who, hello.seat
        me = self.me
        self._put(Welcome(max(common), me.who, me.council, me.founders, me.applied))
        return [Opened(max(common), hello.who, hello.seat, hello.council, hello.founders, 0)]

    def _welcome(self, welcome: Welcome) -> list[Event]:
        if welcome.version not in self.versions:
            raise Wrong("council-version", f"version {welcome.version} was never offered")
        self._same(self.me.cluster, welcome.council)
        self.state, self.peer, self.peer_seat = State.OPEN, welcome.who, True
        self.applied = welcome.applied
        return [
            Opened(welcome.version, welcome.who, True, welcome.council, welcome.founders, welcome.applied)
        ]

    def close(self, code: str, reason: str) -> list[Event]:
        """End the connection from this side, telling the peer why."""
        if self.state is State.CLOSED:
            return []
        self.state = State.CLOSED
        self._put(Parting(code[:64], reason[:512]))
        return [Closed(code, reason, ours=True)]

    def next_due(self) -> float:
        """Return when `tick` has to be called next."""
        if self.state is State.CLOSED:
            return FOREVER
        if self.state is State.GREETING:
            return self.began + self.bounds.greeting_ms
        silent = self.heard + self.bounds.silent_ms
        return min(silent, self.pinged + self.bounds.ping_ms) if self.dials else silent

    def tick(self, now_ms: float) -> list[Event]:
        """Ping, and part with a peer that is silent."""
        if now_ms < self.next_due():
            return []
        if self.state is State.GREETING:
            return self.close("council-silent", "no greeting in time")
        if now_ms >= self.heard + self.bounds.silent_ms:
            return self.close("council-silent", "silent for too long")
        if self._queued <= self.bounds.max_queue:
            self.pings += 1
            self._put(Ping(self.pings))
        self.pinged = now_ms
        return []
