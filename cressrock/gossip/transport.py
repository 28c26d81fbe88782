"""A process's place in its fleet: datagrams and exchanges around the state machines of this room.

Sockets, clock and randomness come from outside, so that the same carrier runs over loopback and in simulated
time.  It holds no figure of its own and takes no choice.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio
from anyio.abc import TaskStatus

from cressrock.errors import membership as errors
from cressrock.gossip import anti_entropy as rounds
from cressrock.http.channel import BROKEN, Stream
from cressrock.membership import packets as m
from cressrock.membership.membership import (
    FOREVER,
    Event,
    Exchange,
    Fenced,
    Identity,
    Membership,
    MembershipSettings,
    OutgoingMessage,
)


class DatagramSocket(Protocol):
    """A bound socket for datagrams."""

    def send(self, address: str, data: bytes) -> None:
        """Send one to host:port; it may be lost."""

    async def receive(self) -> tuple[bytes, str]:
        """Return the next one and the address it came from."""


@dataclass(frozen=True, slots=True)
class TransportEnvironment:
    """What a fleet's carrier needs of the world."""

    datagrams: DatagramSocket
    connect: Callable[[str, int], Awaitable[Stream]]
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class ClusterTransportSettings:
    """Settings of one process's place in the fleet."""

    seeds: tuple[str, ...] = ()  # ip:port each
    routes: Mapping[str, str] = field(default_factory=dict)  # where a name is reached, before what it says
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    anti_entropy: rounds.AntiEntropySettings = field(default_factory=rounds.AntiEntropySettings)
    exchange_timeout_ms: float = 5000.0
    exchanges_served: int = 16  # at a time; more are closed at once and come again by themselves
    exchange_pieces: int = 512  # of one side: bounds what a peer can make this process take in


class ClusterTransport:
    """Members and spread of one process, carried."""

    def __init__(
        self,
        settings: ClusterTransportSettings,
        identity: Identity,
        world: TransportEnvironment,
        spread: rounds.GossipState,
        source: random.Random,
        log: Any,
    ) -> None:
        """`identity.address` is where others reach this process, by UDP and TCP."""
        now = world.clock()
        self.settings = settings
        self.world = world
        self.log = log
        self.spread = spread
        self.membership = Membership(identity, settings.membership, settings.seeds, source, now)
        self.rounds = rounds.AntiEntropy(self.membership, spread, settings.anti_entropy, source, now)
        self.event_listeners: list[Callable[[Event], None]] = []
        self.changed = anyio.Event()  # set, and replaced, at each change of the members
        self.on_collector_message: Callable[[str, int, bytes], None] = lambda sender, life, data: None
        self.drop_counts: dict[str, int] = {}  # datagrams and frames not taken, by reason
        self._news = anyio.Event()
        self._sleeps_until = FOREVER
        self._wanted: list[Exchange] = []
        self._serving = 0
        self._fenced: Fenced | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled.  Raises errors.Fenced once a newer life of the name is heard of."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            task_status.started()
            while self._fenced is None:
                now = self.world.clock()
                self.membership.tick(now)
                self._send(self.rounds.tick(now))
                self._flush()
                for wanted in self._wanted:
                    tasks.start_soon(self._exchange, wanted)
                self._wanted.clear()
                self._sleeps_until = min(self.membership.next_tick_ms(), self.rounds.next_tick_ms())
                self._news = anyio.Event()
                with anyio.move_on_after(max(self._sleeps_until - self.world.clock(), 0) / 1000 + 1e-6):
                    await self._news.wait()
            tasks.cancel_scope.cancel()
        if self._fenced is not None:
            name, life, by = self._fenced.name, self.membership.local.process_incarnation, self._fenced.by
            raise errors.FencedError(f"{name}: life {life} ends, life {by} has the name")

    async def leave(self) -> None:
        """Leave in order: returns when others had the time to hear it; `run` is to be cancelled then."""
        self.membership.leave(self.world.clock())
        self._flush()
        await anyio.sleep(self.settings.membership.protocol_period_ms / 1000)

    async def serve(self, stream: Stream) -> None:
        """Answer an exchange that another process began."""
        try:
            if self._serving >= self.settings.exchanges_served or self._fenced is not None:
                self._drop("exchange-busy")
                return
            self._serving += 1
            try:
                with anyio.move_on_after(self.settings.exchange_timeout_ms / 1000):
                    whole = await self._take(stream)
                    await self._tell(stream, whole)
            except (errors.DatagramError, errors.StateExchangeError) as wrong:
                self._drop(wrong.code)
            except BROKEN:
                self._drop("exchange-broken")
            finally:
                self._serving -= 1
                self._flush()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await stream.aclose()

    # --- datagrams

    async def _receive(self) -> None:
        settings = self.settings.membership
        while self._fenced is None:
            data, address = await self.world.datagrams.receive()
            try:
                letter = m.decode(data, settings.cluster, settings.max_datagram_bytes)
            except errors.DatagramError as wrong:
                self._drop(wrong.code)
                continue
            now = self.world.clock()
            self.membership.receive(now, address, letter)
            if isinstance(letter.body, m.GossipDigest | m.GossipDelta):
                self._send(self.rounds.receive(now, letter))
            elif isinstance(letter.body, m.CollectorMessage):
                self.on_collector_message(letter.sender, letter.life, letter.body.data)
            self._flush()

    def _flush(self) -> None:
        self._send(self.membership.drain_messages())
        for event in self.membership.drain_events():
            self.log.info("fleet_" + type(event).__name__.lower(), member=event.name)
            if isinstance(event, Fenced):
                self._fenced = event
            for listener in self.event_listeners:
                listener(event)
            changed, self.changed = self.changed, anyio.Event()
            changed.set()
        self._wanted += self.membership.drain_exchanges()
        if self._wanted or self._fenced is not None or self.membership.next_tick_ms() < self._sleeps_until:
            self._news.set()

    def send_collector_message(self, name: str, data: bytes) -> None:
        """Send a member bytes of the collectors in one datagram; who is not known is not told."""
        address = self.membership.address(name)
        if address is not None and self._fenced is None:
            self._send([OutgoingMessage(name, address, m.CollectorMessage(data))])

    def _send(self, sends: list[OutgoingMessage]) -> None:
        me = self.membership.local
        for sent in sends:
            address = self.settings.routes.get(sent.name or "", sent.address)
            data = m.encode(self.settings.membership.cluster, me.name, me.process_incarnation, sent.message)
            if len(data) > self.settings.membership.max_datagram_bytes:
                self._drop("sent-too-large")
                continue
            self.world.datagrams.send(address, data)

    def _drop(self, reason: str) -> None:
        self.drop_counts[reason] = self.drop_counts.get(reason, 0) + 1

    # --- the exchange

    async def _exchange(self, wanted: Exchange) -> None:
        done = False
        host, _, port = self.settings.routes.get(wanted.name, wanted.address).rpartition(":")
        try:
            with anyio.move_on_after(self.settings.exchange_timeout_ms / 1000):
                stream = await self.world.connect(host, int(port))
                try:
                    await self._tell(stream, wanted.with_gossip_state)
                    await self._take(stream)
                    done = True
                finally:
                    with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                        await stream.aclose()
        except (OSError, ValueError, *BROKEN) as wrong:
            self.log.info("fleet_exchange_failed", member=wanted.name, error=repr(wrong))
        except (errors.DatagramError, errors.StateExchangeError) as wrong:
            self._drop(wrong.code)
        self.membership.record_exchange_result(self.world.clock(), done)
        self._flush()

    async def _tell(self, stream: Stream, whole: bool) -> None:
        cluster, me = self.settings.membership.cluster, self.membership.local
        pieces = [m.ExchangePart(claims, whole=whole) for claims in self.membership.state_batches()]
        after: Any = None
        while whole:
            data, after = self.spread.full_state(after, m.MAX_FRAME_BYTES // 2)
            pieces.append(m.ExchangePart(spread=data, whole=True))
            whole = after is not None
        pieces.append(m.ExchangePart(last=True))
        for piece in pieces:
            await stream.send(m.frame(m.encode(cluster, me.name, me.process_incarnation, piece)))

    async def _take(self, stream: Stream) -> bool:
        """Read a side's pieces to the last; returns whether the spread is wanted."""
        held, whole = bytearray(), False
        for _ in range(self.settings.exchange_pieces):
            body = await self._frame(stream, held)
            letter = m.decode(body, self.settings.membership.cluster, m.MAX_FRAME_BYTES)
            piece = letter.body
            if not isinstance(piece, m.ExchangePart):
                raise errors.MalformedPacketError("an exchange holds pieces only")
            self.membership.merge_remote_state(self.world.clock(), letter.sender, piece.updates)
            if piece.spread:
                self.rounds.merge_full_state(piece.spread)
            whole = whole or piece.whole
            if piece.last:
                return whole
        raise errors.StateExchangeError("an exchange without end")

    @staticmethod
    async def _frame(stream: Stream, held: bytearray) -> bytes:
        while True:
            if len(held) >= 4:
                size = int.from_bytes(held[:4], "big")
                if size > m.MAX_FRAME_BYTES:
                    raise errors.PacketTooLargeError(
                        f"a frame of {size} bytes; at most {m.MAX_FRAME_BYTES} are taken"
                    )
                if len(held) >= 4 + size:
                    body = bytes(held[4 : 4 + size])
                    del held[: 4 + size]
                    return body
            held += await stream.receive(65536)
