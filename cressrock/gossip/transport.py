"""Datagrams, timers and exchanges around one process's membership and gossip.

Sockets, clock and random source come from outside, so that the same transport runs over loopback and in
simulated time.  It holds no tuned number and takes no decision.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.abc import TaskStatus

from cressrock.errors.membership import DatagramError, FencedError, StateExchangeError
from cressrock.gossip.anti_entropy import AntiEntropy, AntiEntropySettings, GossipState
from cressrock.gossip.exchange import StateExchange
from cressrock.http.channel import BROKEN, Stream
from cressrock.membership.events import (
    DuplicateIdentity,
    Event,
    Fenced,
    MemberDead,
    MemberJoined,
    MemberLeft,
    MemberRecovered,
    MemberRestarted,
    MemberSuspected,
)
from cressrock.membership.membership import Membership
from cressrock.membership.packets import CollectorMessage, GossipDelta, GossipDigest, decode, encode
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import NEVER_MS, ExchangeRequest, Identity, OutgoingMessage

CLOSE_TIMEOUT_S = 1.0
MIN_SLEEP_S = 1e-6  # a clock that stands just before a due time must not make the loop spin
LOG_NAMES: Mapping[type[Event], str] = {
    MemberJoined: "membership.joined",
    MemberSuspected: "membership.suspected",
    MemberRecovered: "membership.recovered",
    MemberLeft: "membership.left",
    MemberDead: "membership.dead",
    MemberRestarted: "membership.restarted",
    Fenced: "membership.fenced",
    DuplicateIdentity: "membership.duplicate_identity",
}


class EventLog(Protocol):
    """Where the transport logs what happens."""

    def info(self, event: str, **fields: object) -> None:
        """Log one event."""


Datagram = tuple[bytes, str]
"""What was received, and the address it came from."""


class DatagramSocket(Protocol):
    """A bound socket for datagrams."""

    def send(self, address: str, data: bytes) -> None:
        """Send one to host:port; it may be lost."""

    async def receive(self) -> Datagram:
        """Return the next one."""


@dataclass(frozen=True, slots=True)
class TransportEnvironment:
    """The sockets and the clock (monotonic milliseconds) that a transport uses."""

    datagram_socket: DatagramSocket
    connect: Callable[[str, int], Awaitable[Stream]]
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class ClusterTransportSettings:
    """Settings of one process's place in the cluster."""

    seeds: tuple[str, ...] = ()  # ip:port each
    routes: Mapping[str, str] = field(default_factory=dict)  # where a name is reached, whatever it announces
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    anti_entropy: AntiEntropySettings = field(default_factory=AntiEntropySettings)
    exchange_timeout_ms: float = 5000.0
    max_served_exchanges: int = 16  # at a time; more are closed at once and come again by themselves
    max_exchange_parts: int = 512  # of one side: bounds what a peer can make this process take in


def _ignore_collector_message(sender: str, process_incarnation: int, data: bytes) -> None:
    """Drop reports where no collector runs."""


class ClusterTransport:
    """Carries out what one process's membership and anti-entropy ask for."""

    def __init__(
        self,
        settings: ClusterTransportSettings,
        identity: Identity,
        environment: TransportEnvironment,
        store: GossipState,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        """`identity.address` is where others reach this process, by UDP and TCP."""
        now = environment.clock()
        self.settings = settings
        self.environment = environment
        self.log = log
        self.membership = Membership(identity, settings.membership, settings.seeds, rng, now)
        self.anti_entropy = AntiEntropy(self.membership, store, settings.anti_entropy, rng, now)
        self.event_listeners: list[Callable[[Event], None]] = []
        self.membership_changed = anyio.Event()  # set, and replaced, at each change of the members
        self.on_collector_message: Callable[[str, int, bytes], None] = _ignore_collector_message
        self.drop_counts: Counter[str] = Counter()  # datagrams and frames not taken, by reason
        self._exchange = StateExchange(
            self.membership, self.anti_entropy, environment.clock, settings.max_exchange_parts
        )
        self._wake_up = anyio.Event()
        self._sleeps_until_ms = NEVER_MS
        self._requested: list[ExchangeRequest] = []
        self._serving = 0
        self._fenced: Fenced | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Take part until cancelled.  Raises FencedError once a newer process of the name is heard of."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            task_status.started()
            while self._fenced is None:
                now = self.environment.clock()
                self.membership.tick(now)
                self._send(self.anti_entropy.tick(now))
                self._flush()
                for request in self._requested:
                    tasks.start_soon(self._make_exchange, request)
                self._requested.clear()
                await self._sleep()
            tasks.cancel_scope.cancel()
        if self._fenced is not None:
            local = self.membership.local
            raise FencedError(
                f"{local.name}: process incarnation {local.process_incarnation} ends,"
                f" process incarnation {self._fenced.newer} has the name"
            )

    async def _sleep(self) -> None:
        """Wait for the next timer, or for something that cannot wait for it."""
        self._sleeps_until_ms = min(self.membership.next_tick_ms(), self.anti_entropy.next_tick_ms())
        self._wake_up = anyio.Event()
        wait_ms = max(self._sleeps_until_ms - self.environment.clock(), 0)
        with anyio.move_on_after(wait_ms / 1000 + MIN_SLEEP_S):
            await self._wake_up.wait()

    async def leave(self) -> None:
        """Leave in order: returns when others had the time to hear it; `run` is to be cancelled then."""
        self.membership.leave(self.environment.clock())
        self._flush()
        await anyio.sleep(self.settings.membership.protocol_period_ms / 1000)

    # --- datagrams

    def send_collector_message(self, name: str, data: bytes) -> None:
        """Send a member bytes of the evidence reports in one datagram; an unknown member gets none."""
        address = self.membership.address_of(name)
        if address is not None and self._fenced is None:
            self._send([OutgoingMessage(name, address, CollectorMessage(data))])

    async def _receive(self) -> None:
        settings = self.settings.membership
        while self._fenced is None:
            data, address = await self.environment.datagram_socket.receive()
            try:
                packet = decode(data, settings.cluster, settings.max_datagram_bytes)
            except DatagramError as error:
                self.drop_counts[error.code] += 1  # anybody can send to the port
                continue
            now = self.environment.clock()
            self.membership.receive(now, address, packet)
            if isinstance(packet.body, GossipDigest | GossipDelta):
                self._send(self.anti_entropy.receive(now, packet))
            elif isinstance(packet.body, CollectorMessage):
                self.on_collector_message(packet.sender, packet.process_incarnation, packet.body.data)
            self._flush()

    def _flush(self) -> None:
        """Carry out what the membership asks for."""
        self._send(self.membership.drain_messages())
        for event in self.membership.drain_events():
            self.log.info(LOG_NAMES[type(event)], member=event.name)
            if isinstance(event, Fenced):
                self._fenced = event
            for listener in self.event_listeners:
                listener(event)
            changed, self.membership_changed = self.membership_changed, anyio.Event()
            changed.set()
        self._requested += self.membership.drain_exchanges()
        timer_is_earlier = self.membership.next_tick_ms() < self._sleeps_until_ms
        if self._requested or self._fenced is not None or timer_is_earlier:
            self._wake_up.set()

    def _send(self, messages: list[OutgoingMessage]) -> None:
        local, settings = self.membership.local, self.settings.membership
        for message in messages:
            address = self.settings.routes.get(message.name or "", message.address)
            data = encode(settings.cluster, local.name, local.process_incarnation, message.message)
            if len(data) > settings.max_datagram_bytes:
                self.drop_counts["sent-too-large"] += 1
                continue
            self.environment.datagram_socket.send(address, data)

    # --- exchanges

    async def serve(self, stream: Stream) -> None:
        """Answer an exchange that another process began."""
        try:
            if self._serving >= self.settings.max_served_exchanges or self._fenced is not None:
                self.drop_counts["exchange-busy"] += 1
                return
            self._serving += 1
            try:
                with anyio.move_on_after(self.settings.exchange_timeout_ms / 1000):
                    with_gossip_state = await self._exchange.receive(stream)
                    await self._exchange.send(stream, with_gossip_state=with_gossip_state)
            except (DatagramError, StateExchangeError) as error:
                self.drop_counts[error.code] += 1  # the other side tries again with somebody
            except BROKEN:
                self.drop_counts["exchange-broken"] += 1
            finally:
                self._serving -= 1
                self._flush()
        finally:
            await _close(stream)

    async def _make_exchange(self, request: ExchangeRequest) -> None:
        """Make an exchange that the membership asked for, and tell it how that went."""
        succeeded = False
        host, _, port = self.settings.routes.get(request.name, request.address).rpartition(":")
        try:
            with anyio.move_on_after(self.settings.exchange_timeout_ms / 1000):
                stream = await self.environment.connect(host, int(port))
                try:
                    await self._exchange.send(stream, with_gossip_state=request.with_gossip_state)
                    await self._exchange.receive(stream)
                    succeeded = True
                finally:
                    await _close(stream)
        except (OSError, ValueError, *BROKEN) as error:
            self.log.info("membership.exchange_failed", member=request.name, error=repr(error))
        except (DatagramError, StateExchangeError) as error:
            self.drop_counts[error.code] += 1  # recorded below as failed, so it is tried again
        self.membership.record_exchange_result(self.environment.clock(), succeeded)
        self._flush()


async def _close(stream: Stream) -> None:
    """Close a stream even while its task is cancelled, but not for long."""
    with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
        await stream.aclose()
