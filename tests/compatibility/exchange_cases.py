"""Full exchanges over a stream with scripted input, shared by their recorder and their test."""

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
from tests.compatibility.gossip_cases import readable_state, store_with_removal

CLUSTER = "c"


class _Log:
    def info(self, event: str, **fields: Any) -> None:
        """Ignore the event."""


class _Datagrams:
    def send(self, address: str, data: bytes) -> None:
        """Discard the datagram."""

    async def receive(self) -> tuple[bytes, str]:
        await anyio.sleep_forever()
        raise AssertionError


class _Stream:
    """A stream that receives the given chunks and stores what is sent."""

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
        """Do nothing; there is no resource to release."""


def _frames(*bodies: m.Message, sender: str = "n9") -> list[bytes]:
    return [m.encode_frame(m.encode(CLUSTER, sender, 4, body)) for body in bodies]


def incoming() -> list[list[bytes]]:
    """Return the bytes that peers send in several exchanges, each split into the chunks that arrive."""
    updates = [
        MemberUpdate("n9", 4, 0, MemberState.ALIVE, "", MemberInfo("n9:1", "edge", "z")),
        MemberUpdate("n8", 4, 2, MemberState.DEAD, "n9", MemberInfo("n8:1", "planner")),
        MemberUpdate("n7", 4, 2, MemberState.LEFT),
    ]
    gossip_state = store_with_removal().full_state(None, 4096)[0]
    plain = b"".join(_frames(m.ExchangePart(updates), m.ExchangePart(last=True)))
    whole = b"".join(
        _frames(
            m.ExchangePart(updates, with_gossip_state=True),
            m.ExchangePart(gossip_state=gossip_state, with_gossip_state=True),
            m.ExchangePart(last=True),
        )
    )
    return [
        [plain],
        [whole],
        [whole[i : i + 7] for i in range(0, len(whole), 7)],
        [*_frames(m.ExchangePart(updates, gossip_state=b"bad")), *_frames(m.ExchangePart(last=True))],
        _frames(m.ExchangePart(updates), m.IdentityRequest()),
        _frames(m.ExchangePart(updates), m.ExchangePart()),
        _frames(*[m.ExchangePart()] * 4, m.ExchangePart(last=True)),
        [(m.MAX_FRAME_BYTES + 1).to_bytes(4, "big") + b"x"],
        [m.encode_frame(b"no message")],
        [m.encode_frame(m.encode("d", "n9", 4, m.ExchangePart(last=True)))],
    ]


def reply(incoming_bytes: list[bytes]) -> list[Any]:
    """Return the bytes a process answers an exchange with, and its membership view, counters and state."""
    stream = _Stream(list(incoming_bytes))
    transport = _process()

    async def run_transport() -> None:
        transport.membership.receive(0.0, "n2:1", m.Packet("n2", 8, m.Updates([_KNOWN_MEMBER])))
        await transport.serve(stream)

    anyio.run(run_transport)
    held = canonical(
        [
            transport.membership.view(0.0),
            transport.drop_counts,
            transport.anti_entropy.error_counts,
            readable_state(transport.anti_entropy.store)[0],
        ]
    )  # type: ignore[arg-type]
    return [stream.sent.hex(), held]


def initiated_exchange() -> str:
    """Return the bytes with which a process starts an exchange."""
    stream = _Stream([])
    transport = _process(stream)

    async def run_transport() -> None:
        transport.membership.receive(0.0, "n2:1", m.Packet("n2", 8, m.JoinResponse([_KNOWN_MEMBER])))
        with anyio.move_on_after(0.2):
            await transport.run()

    anyio.run(run_transport)
    return stream.sent.hex()


_KNOWN_MEMBER = MemberUpdate("n2", 8, 1, MemberState.ALIVE, "", MemberInfo("n2:1", "edge", "z", "r"))


def _process(stream: _Stream | None = None) -> ClusterTransport:
    async def connect(host: str, port: int) -> Any:
        if stream is None:
            raise OSError("connection refused")
        return stream

    store = GossipStore("n1", 7, GossipStoreSettings(), random.Random(1))
    store.put("key", b"value")
    store.add_item("map", "item", b"x")
    settings = ClusterTransportSettings(
        seeds=("seed:1",), membership=MembershipSettings(cluster=CLUSTER), max_exchange_parts=4
    )
    environment = TransportEnvironment(_Datagrams(), connect, lambda: 0.0)
    return ClusterTransport(settings, Identity("n1", 7, "n1:1"), environment, store, random.Random(1), _Log())
