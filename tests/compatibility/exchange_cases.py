"""Full exchanges over a stream that is played from bytes, shared by their recorder and their test."""

from __future__ import annotations

import random
from typing import Any

import anyio

from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.gossip.transport import ClusterTransport, ClusterTransportSettings, TransportEnvironment
from cressrock.membership import packets as m
from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity
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


def _frames(*bodies: m.Message, sender: str = "n9") -> list[bytes]:
    return [m.encode_frame(m.encode(CLUSTER, sender, 4, body)) for body in bodies]


def incoming() -> list[list[bytes]]:
    """Return what other sides send, each in the pieces in which it arrives."""
    claims = [
        MemberUpdate("n9", 4, 0, MemberState.ALIVE, "", MemberInfo("n9:1", "edge", "z")),
        MemberUpdate("n8", 4, 2, MemberState.DEAD, "n9", MemberInfo("n8:1", "planner")),
        MemberUpdate("n7", 4, 2, MemberState.LEFT),
    ]
    spread = remover().full_state(None, 4096)[0]
    plain = b"".join(_frames(m.ExchangePart(claims), m.ExchangePart(last=True)))
    whole = b"".join(
        _frames(
            m.ExchangePart(claims, with_gossip_state=True),
            m.ExchangePart(gossip_state=spread, with_gossip_state=True),
            m.ExchangePart(last=True),
        )
    )
    return [
        [plain],
        [whole],
        [whole[i : i + 7] for i in range(0, len(whole), 7)],
        [*_frames(m.ExchangePart(claims, gossip_state=b"bad")), *_frames(m.ExchangePart(last=True))],
        _frames(m.ExchangePart(claims), m.IdentityRequest()),
        _frames(m.ExchangePart(claims), m.ExchangePart()),
        _frames(*[m.ExchangePart()] * 4, m.ExchangePart(last=True)),
        [(m.MAX_FRAME_BYTES + 1).to_bytes(4, "big") + b"x"],
        [m.encode_frame(b"no message")],
        [m.encode_frame(m.encode("d", "n9", 4, m.ExchangePart(last=True)))],
    ]


def answer(incoming_bytes: list[bytes]) -> list[Any]:
    """Return the bytes a process answers an exchange with, and what it believes and holds afterwards."""
    stream = _Stream(list(incoming_bytes))
    fleet = _process()

    async def play() -> None:
        fleet.membership.receive(0.0, "n2:1", m.Packet("n2", 8, m.Updates([_KNOWN])))
        await fleet.serve(stream)

    anyio.run(play)
    held = canonical(
        [
            fleet.membership.view(0.0),
            fleet.drop_counts,
            fleet.anti_entropy.error_counts,
            look(fleet.anti_entropy.store)[0],
        ]
    )  # type: ignore[arg-type]
    return [stream.sent.hex(), held]


def asked() -> str:
    """Return the bytes with which a process begins an exchange."""
    stream = _Stream([])
    fleet = _process(stream)

    async def play() -> None:
        fleet.membership.receive(0.0, "n2:1", m.Packet("n2", 8, m.JoinResponse([_KNOWN])))
        with anyio.move_on_after(0.2):
            await fleet.run()

    anyio.run(play)
    return stream.sent.hex()


_KNOWN = MemberUpdate("n2", 8, 1, MemberState.ALIVE, "", MemberInfo("n2:1", "edge", "z", "r"))


def _process(stream: _Stream | None = None) -> ClusterTransport:
    async def connect(host: str, port: int) -> Any:
        if stream is None:
            raise OSError("nobody there")
        return stream

    spread = GossipStore("n1", 7, GossipStoreSettings(), random.Random(1))
    spread.put("key", b"value")
    spread.add_item("map", "item", b"x")
    settings = ClusterTransportSettings(
        seeds=("seed:1",), membership=MembershipSettings(cluster=CLUSTER), max_exchange_parts=4
    )
    world = TransportEnvironment(_Datagrams(), connect, lambda: 0.0)
    return ClusterTransport(settings, Identity("n1", 7, "n1:1"), world, spread, random.Random(1), _Log())
