"""Full exchanges over a stream that is played from bytes, shared by their recorder and their test."""

from __future__ import annotations

import random
from typing import Any

import anyio

from cressrock.fleet import messages as m
from cressrock.fleet.carrier import Fleet, FleetSettings, World
from cressrock.fleet.members import Identity, MembersSettings
from cressrock.fleet.messages import About, Claim, State
from cressrock.fleet.spread import Spread, SpreadSettings
from tests.compatibility.canonical import canonical
from tests.compatibility.gossip_cases import look, remover

CLUSTER = "c"


class _Log:
    def info(self, event: str, **fields: Any) -> None:
        """Take a line and forget it."""


class _Datagrams:
    def send(self, address: str, data: bytes) -> None:
        """Lose a datagram."""

    async def receive(self) -> tuple[bytes, str]:
        await anyio.sleep_forever()
        raise AssertionError


class _Stream:
    """A stream whose other side's bytes are given."""

    def __init__(self, incoming: list[bytes]) -> None:
        self.incoming = incoming
        self.sent = b""

    async def send(self, data: bytes) -> None:
        self.sent += bytes(data)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self.incoming:
            raise anyio.EndOfStream
        return self.incoming.pop(0)

    async def aclose(self) -> None:
        """Nothing is held."""


def _frames(*bodies: m.Any, sender: str = "n9") -> list[bytes]:
    return [m.frame(m.encode(CLUSTER, sender, 4, body)) for body in bodies]


def incoming() -> list[list[bytes]]:
    """Return what other sides send, each in the pieces in which it arrives."""
    claims = [
        Claim("n9", 4, 0, State.ALIVE, "", About("n9:1", "edge", "z")),
        Claim("n8", 4, 2, State.GONE, "n9", About("n8:1", "planner")),
        Claim("n7", 4, 2, State.LEFT),
    ]
    spread = remover().full(None, 4096)[0]
    plain = b"".join(_frames(m.Piece(claims), m.Piece(last=True)))
    whole = b"".join(
        _frames(m.Piece(claims, whole=True), m.Piece(spread=spread, whole=True), m.Piece(last=True))
    )
    return [
        [plain],
        [whole],
        [whole[i : i + 7] for i in range(0, len(whole), 7)],
        [*_frames(m.Piece(claims, spread=b"bad")), *_frames(m.Piece(last=True))],
        _frames(m.Piece(claims), m.Who()),
        _frames(m.Piece(claims), m.Piece()),
        _frames(*[m.Piece()] * 4, m.Piece(last=True)),
        [(m.MAX_FRAME + 1).to_bytes(4, "big") + b"x"],
        [m.frame(b"no message")],
        [m.frame(m.encode("d", "n9", 4, m.Piece(last=True)))],
    ]


def answer(incoming_bytes: list[bytes]) -> list[Any]:
    """Return the bytes a process answers an exchange with, and what it believes and holds afterwards."""
    stream = _Stream(list(incoming_bytes))
    fleet = _process()

    async def play() -> None:
        fleet.members.receive(0.0, "n2:1", m.Letter("n2", 8, m.Rumours([_KNOWN])))
        await fleet.serve(stream)

    anyio.run(play)
    held = canonical([fleet.members.view(0.0), fleet.dropped, fleet.rounds.refused, look(fleet.spread)[0]])  # type: ignore[arg-type]
    return [stream.sent.hex(), held]


def asked() -> str:
    """Return the bytes with which a process begins an exchange."""
    stream = _Stream([])
    fleet = _process(stream)

    async def play() -> None:
        fleet.members.receive(0.0, "n2:1", m.Letter("n2", 8, m.Welcome([_KNOWN])))
        with anyio.move_on_after(0.2):
            await fleet.run()

    anyio.run(play)
    return stream.sent.hex()


_KNOWN = Claim("n2", 8, 1, State.ALIVE, "", About("n2:1", "edge", "z", "r"))


def _process(stream: _Stream | None = None) -> Fleet:
    async def connect(host: str, port: int) -> Any:
        if stream is None:
            raise OSError("nobody there")
        return stream

    spread = Spread("n1", 7, SpreadSettings(), random.Random(1))
    spread.put("key", b"value")
    spread.add("map", "item", b"x")
    settings = FleetSettings(seeds=("seed:1",), members=MembersSettings(cluster=CLUSTER), exchange_pieces=4)
    world = World(_Datagrams(), connect, lambda: 0.0)
    return Fleet(settings, Identity("n1", 7, "n1:1"), world, spread, random.Random(1), _Log())
