"""Runs the datagrams, full exchanges and timers of one process's membership and gossip.

Sockets, clock and random source are passed in, so that the same transport runs over real sockets and in
simulated time.  Protocol decisions and their tuning belong to the membership and the anti-entropy.
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
MIN_SLEEP_S = 1e-6  # prevents a busy loop when the clock reads just before a due time
LOG_EVENT_NAMES: Mapping[type[Event], str] = {
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
    """The logger that the transport writes membership events to."""

    def info(self, event: str, **fields: object) -> None:
        """Log an event under its dotted name."""


Datagram = tuple[bytes, str]
"""The received bytes and the sender's address."""


class DatagramSocket(Protocol):
    """A bound datagram socket."""

    def send(self, address: str, data: bytes) -> None:
        """Send a datagram to host:port; delivery is not guaranteed."""

    async def receive(self) -> Datagram:
        """Wait for the next datagram and return it."""


@dataclass(frozen=True, slots=True)
class TransportEnvironment:
    """The sockets and the clock (monotonic, in milliseconds) that a transport uses."""

    datagram_socket: DatagramSocket
    connect: Callable[[str, int], Awaitable[Stream]]
    clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class ClusterTransportSettings:
    """Transport settings of one process."""

    seeds: tuple[str, ...] = ()  # ip:port each
    routes: Mapping[str, str] = field(default_factory=dict)  # by name; overrides the announced address
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    anti_entropy: AntiEntropySettings = field(default_factory=AntiEntropySettings)
    exchange_timeout_ms: float = 5000.0
    max_served_exchanges: int = 16  # concurrent; further streams are closed at once, and the peers retry
    max_exchange_parts: int = 512  # limits the data accepted from a peer in one exchange


def _ignore_collector_message(sender: str, process_incarnation: int, data: bytes) -> None:
    """Drop messages for the collector in a process without one."""


class ClusterTransport:
    """Connects one process's membership and anti-entropy to the network."""

    def __init__(
        self,
        settings: ClusterTransportSettings,
        identity: Identity,
        environment: TransportEnvironment,
        store: GossipState,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        """`identity.address` is the host:port at which peers reach this process over UDP and TCP."""
        now_ms = environment.clock()
        self.settings = settings
        self.environment = environment
        self.log = log
        self.membership = Membership(identity, settings.membership, settings.seeds, rng, now_ms)
        self.anti_entropy = AntiEntropy(self.membership, store, settings.anti_entropy, rng, now_ms)
        self.event_listeners: list[Callable[[Event], None]] = []
        self.membership_changed = anyio.Event()  # set and replaced on every membership event
        self.on_collector_message: Callable[[str, int, bytes], None] = _ignore_collector_message
        self.drop_counts: Counter[str] = Counter()  # dropped datagrams and failed exchanges, by reason
        self._exchange = StateExchange(
            self.membership, self.anti_entropy, environment.clock, settings.max_exchange_parts
        )
        self._wake_up = anyio.Event()
        self._sleeps_until_ms = NEVER_MS
        self._pending_exchanges: list[ExchangeRequest] = []
        self._served_exchanges = 0
        self._fenced_event: Fenced | None = None

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled.  Raises FencedError once a newer process with the same name is known."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            task_status.started()
            while self._fenced_event is None:
                now_ms = self.environment.clock()
                self.membership.tick(now_ms)
                self._send(self.anti_entropy.tick(now_ms))
                self._flush()
                for request in self._pending_exchanges:
                    tasks.start_soon(self._run_exchange, request)
                self._pending_exchanges.clear()
                await self._sleep()
            tasks.cancel_scope.cancel()
        if self._fenced_event is not None:
            local = self.membership.local
            raise FencedError(
                f"{local.name}: process incarnation {local.process_incarnation} is stopping because"
                f" process incarnation {self._fenced_event.newer} uses the same name"
            )

    async def _sleep(self) -> None:
        """Wait until the next timer is due, or until `_flush` wakes the loop earlier."""
        self._sleeps_until_ms = min(self.membership.next_tick_ms(), self.anti_entropy.next_tick_ms())
        self._wake_up = anyio.Event()
        wait_ms = max(self._sleeps_until_ms - self.environment.clock(), 0)
        with anyio.move_on_after(wait_ms / 1000 + MIN_SLEEP_S):
            await self._wake_up.wait()

    async def leave(self) -> None:
        """Announce the departure and wait one protocol period, so that it spreads; then cancel `run`."""
        self.membership.leave(self.environment.clock())
        self._flush()
        await anyio.sleep(self.settings.membership.protocol_period_ms / 1000)

    # --- datagrams

    def send_collector_message(self, name: str, data: bytes) -> None:
        """Send evidence report data to a member in one datagram; nothing is sent to an unknown member."""
        address = self.membership.address_of(name)
        if address is not None and self._fenced_event is None:
            self._send([OutgoingMessage(name, address, CollectorMessage(data))])

    async def _receive(self) -> None:
        settings = self.settings.membership
        while self._fenced_event is None:
            data, address = await self.environment.datagram_socket.receive()
            try:
                packet = decode(data, settings.cluster, settings.max_datagram_bytes)
            except DatagramError as error:
                self.drop_counts[error.code] += 1  # not fatal: any host can send to the port
                continue
            now_ms = self.environment.clock()
            self.membership.receive(now_ms, address, packet)
            if isinstance(packet.body, GossipDigest | GossipDelta):
                self._send(self.anti_entropy.receive(now_ms, packet))
            elif isinstance(packet.body, CollectorMessage):
                self.on_collector_message(packet.sender, packet.process_incarnation, packet.body.data)
            self._flush()

    def _flush(self) -> None:
        """Send the membership's messages, report its events, and start the exchanges it requested."""
        self._send(self.membership.drain_messages())
        for event in self.membership.drain_events():
            self.log.info(LOG_EVENT_NAMES[type(event)], member=event.name)
            if isinstance(event, Fenced):
                self._fenced_event = event
            for listener in self.event_listeners:
                listener(event)
            changed, self.membership_changed = self.membership_changed, anyio.Event()
            changed.set()
        self._pending_exchanges += self.membership.drain_exchanges()
        timer_is_earlier = self.membership.next_tick_ms() < self._sleeps_until_ms
        if self._pending_exchanges or self._fenced_event is not None or timer_is_earlier:
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
        """Answer an exchange that a peer started, and close the stream.

        Errors are counted in `drop_counts`; a timeout is not.
        """
        try:
            if self._served_exchanges >= self.settings.max_served_exchanges or self._fenced_event is not None:
                self.drop_counts["exchange-busy"] += 1
                return
            self._served_exchanges += 1
            try:
                with anyio.move_on_after(self.settings.exchange_timeout_ms / 1000):
                    with_gossip_state = await self._exchange.receive(stream)
                    await self._exchange.send(stream, with_gossip_state=with_gossip_state)
            except (DatagramError, StateExchangeError) as error:
                self.drop_counts[error.code] += 1  # the peer retries with another member
            except BROKEN:
                self.drop_counts["exchange-broken"] += 1
            finally:
                self._served_exchanges -= 1
                self._flush()
        finally:
            await _close(stream)

    async def _run_exchange(self, request: ExchangeRequest) -> None:
        """Run an exchange that the membership requested, and record the result there."""
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
            self.drop_counts[error.code] += 1  # recorded below as failed, so the membership retries
        self.membership.record_exchange_result(self.environment.clock(), succeeded)
        self._flush()


async def _close(stream: Stream) -> None:
    """Close a stream even if its task is cancelled, waiting at most CLOSE_TIMEOUT_S."""
    with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
        await stream.aclose()
