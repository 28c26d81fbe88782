"""Example messages and seeded simulations of the membership, shared by its recorder and its test."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from cressrock.errors.membership import DatagramError
from cressrock.membership import packets as wire
from cressrock.membership.events import (
    DuplicateIdentity,
    Fenced,
    MemberDead,
    MemberJoined,
    MemberLeft,
    MemberRecovered,
    MemberRestarted,
    MemberSuspected,
)
from cressrock.membership.membership import Membership
from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import ExchangeRequest, Identity, OutgoingMessage
from tests.compatibility.canonical import Digest

LABELS: dict[type, str] = {
    MemberJoined: "joined",
    MemberSuspected: "suspected",
    MemberRecovered: "alive",
    MemberLeft: "left",
    MemberDead: "dead",
    MemberRestarted: "new-life",
    Fenced: "fenced",
    DuplicateIdentity: "duplicate",
}
CLUSTER = "play"
FLEET_SEEDS = range(18)
MERGE_SEEDS = range(40)

# --- wire

SUSPECTED = MemberUpdate("a", 5, 2, MemberState.SUSPECT, "b")
SHORT = MemberUpdate("a.b-c_d", 2**53, 0, MemberState.ALIVE)
LEFT = MemberUpdate("a", 5, 3, MemberState.LEFT)
DEAD = MemberUpdate("host-1", 1_700_000_000_000, 4, MemberState.DEAD, "host-2")
FULL = MemberUpdate("a", 5, 0, MemberState.ALIVE, "", MemberInfo("h:1", "edge", "z", "r", b"x"))
PLAIN = MemberUpdate("b", 6, 1, MemberState.SUSPECT, "c", MemberInfo("[2001:db8::1]:7400", "planner"))
UPDATE_LISTS: tuple[list[MemberUpdate], ...] = (
    [],
    [SUSPECTED],
    [FULL, SHORT, LEFT],
    [DEAD, PLAIN, FULL, SUSPECTED],
)


def messages() -> list[wire.Message]:
    """Return messages of every type, with and without their optional fields."""
    examples: list[wire.Message] = [
        wire.Ping(3, "a"),
        wire.Ping(0, "host-1", [], 2**32 - 1),
        wire.Ack(2**30),
        wire.PingRequest(3, "a", "h:1"),
        wire.Nack(3),
        wire.Updates(),
        wire.JoinRequest(FULL),
        wire.JoinRequest(PLAIN),
        wire.JoinResponse(),
        wire.IdentityRequest(),
        wire.GossipDigest(b""),
        wire.GossipDigest(b"\x94\x01\x00"),
        wire.GossipDelta(b"d" * 40),
        wire.GossipDelta(b""),
        wire.ExchangePart(),
        wire.ExchangePart(last=True),
        wire.ExchangePart(gossip_state=b"some", with_gossip_state=True),
        wire.CollectorMessage(b""),
        wire.CollectorMessage(bytes(range(64))),
    ]
    for updates in UPDATE_LISTS:
        examples += [
            wire.Ping(7, "b", updates, 9),
            wire.Ack(7, updates, 12345),
            wire.PingRequest(7, "b", "10.0.0.1:7400", updates),
            wire.Nack(7, updates),
            wire.Updates(updates),
            wire.JoinResponse(updates),
            wire.ExchangePart(updates),
            wire.ExchangePart(updates, b"\x00\x01", True, True),
        ]
    return examples


def envelopes() -> list[tuple[str, str, int, wire.Message]]:
    """Return the (cluster, sender, process incarnation, message) of example datagrams."""
    examples = [("c", "n", 7, body) for body in messages()]
    return examples + [("cressrock", "edge-7.example", 1_700_000_000_123, body) for body in messages()[:12]]


def rejected_packets() -> list[bytes]:
    """Return packets that must be rejected, each for a different fault."""
    valid = wire.encode("c", "n", 7, wire.Ping(3, "a", [FULL], 1))
    return [
        b"",
        b"\x00",
        b"\xff" * 30,
        valid[:-1],
        wire.encode("d", "n", 7, wire.IdentityRequest()),
        b"\x95\x02" + valid[2:],
        wire.encode("c", "not a name", 7, wire.IdentityRequest()),
        wire.encode("c", "n", 7, wire.Ping(3, "")),
        wire.encode("c", "n", 7, wire.Updates([MemberUpdate("x" * 65, 1, 1, MemberState.ALIVE)])),
        wire.encode("c", "n", -1, wire.IdentityRequest()),
        valid + b"\x00" * 1200,
        bytes.fromhex("9501a163a16e079163"),
    ]


def rejection_code(data: bytes) -> str:
    """Return the error code with which `data` is rejected, or an empty string if it is accepted."""
    try:
        wire.decode(data, "c")
    except DatagramError as error:
        return error.code
    return ""


# --- settings

NEAR_DEFAULT_SETTINGS = MembershipSettings(
    cluster=CLUSTER,
    dead_retention_ms=20_000.0,
    exchange_interval_ms=6000.0,
    replies_per_period=12,
)
SMALL_LIMITS_SETTINGS = MembershipSettings(
    cluster=CLUSTER,
    protocol_period_ms=500.0,
    probes_per_period=2,
    indirect_probes=2,
    gossip_interval_ms=150.0,
    gossip_fanout=2,
    confirmations=1,
    max_health_score=4,
    max_datagram_bytes=320,
    max_members=6,
    dead_retention_ms=4000.0,
    exchange_interval_ms=3000.0,
    exchange_reference_size=3,
    replies_per_period=3,
    max_join_retry_ms=2000.0,
)


# --- simulated processes


def _encode_outgoing(members: Membership, outgoing: OutgoingMessage) -> tuple[str | None, str, bytes]:
    return (
        outgoing.name,
        outgoing.address,
        wire.encode(CLUSTER, members.local.name, members.local.process_incarnation, outgoing.message),
    )


def _observable_state(members: Membership, now: float) -> tuple[Any, ...]:
    return (
        members.view(now),
        members.live_names(),
        members.process_ids(),
        members.incarnation,
        members.health_score,
        members.fenced_by,
        members.joined,
        members.leaving,
        members.process_ids_version,
        members.cluster_size(),
        members.min_suspicion_ms(),
        members.next_tick_ms(),
        sorted(members.counters.items()),
    )


class _Process:
    """One simulated process: its membership, and whether it is paused or has ended."""

    def __init__(
        self, identity: Identity, settings: MembershipSettings, seeds: tuple[str, ...], now: float
    ) -> None:
        process_rng = random.Random(f"{identity.name} {identity.process_incarnation} {identity.address}")
        self.members = Membership(identity, settings, seeds, process_rng, now)
        self.paused_until_ms = 0.0
        self.wakes_at_ms = float("inf")
        self.ended = False


class _Network:
    """Simulated processes by address, connected by a lossy network, in simulated time."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.settings = SMALL_LIMITS_SETTINGS if seed % 3 == 2 else NEAR_DEFAULT_SETTINGS
        self.digest = Digest(LABELS)
        self.now = 0.0
        self.processes: dict[str, _Process] = {}
        self.loss_probability = self.random.choice([0.0, 0.05, 0.2])
        self.partitioned: set[str] = set()
        self.last_process_incarnation = 100
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def schedule(self, time_ms: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time_ms, self._number, action))

    def start(self, name: str, address: str, process_incarnation: int | None = None) -> None:
        self.last_process_incarnation += 1
        chosen_incarnation = (
            self.last_process_incarnation if process_incarnation is None else process_incarnation
        )
        zone = f"z{len(name) % 2}"
        identity = Identity(name, chosen_incarnation, address, "edge", zone, "r", name.encode())
        process = _Process(identity, self.settings, ("n0:1", "n1:1", "nobody:1"), self.now)
        self.processes[address] = process
        self._wake(address, process)

    def _wake(self, address: str, process: _Process) -> None:
        due_ms = max(process.members.next_tick_ms(), self.now)
        if due_ms < process.wakes_at_ms:
            process.wakes_at_ms = due_ms
            self.schedule(due_ms, lambda: self._tick(address, process, due_ms))

    def _tick(self, address: str, process: _Process, due_ms: float) -> None:
        if process.ended or due_ms != process.wakes_at_ms:
            return
        if process.paused_until_ms > self.now:
            resume_ms = process.wakes_at_ms = process.paused_until_ms
            self.schedule(resume_ms, lambda: self._tick(address, process, resume_ms))
            return
        process.wakes_at_ms = float("inf")
        process.members.tick(self.now)
        self.deliver_output(address, process)
        self._wake(address, process)

    def deliver_output(self, address: str, process: _Process) -> None:
        members = process.members
        for outgoing in members.drain_messages():
            entry = _encode_outgoing(members, outgoing)
            self.digest.add((self.now, address, entry))
            self._transmit(address, outgoing.address, entry[2])
        for event in members.drain_events():
            self.digest.add((self.now, address, event))
        for exchange in members.drain_exchanges():
            self.digest.add((self.now, address, exchange.name, exchange.address, exchange.with_gossip_state))
            self.schedule(
                self.now + self.random.uniform(2, 40), self._exchange_action(address, process, exchange)
            )

    def _transmit(self, sender: str, receiver: str, data: bytes) -> None:
        copies = 1 + (self.random.random() < 0.02)
        for _ in range(copies):
            if self.random.random() < self.loss_probability or (sender in self.partitioned) != (
                receiver in self.partitioned
            ):
                continue
            self.schedule(
                self.now + self.random.uniform(0.5, 60), lambda: self._deliver(sender, receiver, data)
            )

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        process = self.processes.get(receiver)
        if process is None or process.ended:
            return
        if process.paused_until_ms > self.now:
            self.schedule(process.paused_until_ms, lambda: self._deliver(sender, receiver, data))
            return
        packet = wire.decode(data, CLUSTER, self.settings.max_datagram_bytes + 200)
        process.members.receive(self.now, sender, packet)
        self.deliver_output(receiver, process)
        self._wake(receiver, process)

    def _exchange_action(
        self, address: str, process: _Process, exchange: ExchangeRequest
    ) -> Callable[[], None]:
        return lambda: self._exchange(address, process, exchange)

    def _exchange(self, address: str, process: _Process, exchange: ExchangeRequest) -> None:
        other = self.processes.get(exchange.address)
        if process.ended:
            return
        is_reachable = (
            other is not None
            and not other.ended
            and other.paused_until_ms <= self.now
            and (address in self.partitioned) == (exchange.address in self.partitioned)
            and self.random.random() >= self.loss_probability
        )
        if is_reachable and other is not None:
            initiator, responder = process.members, other.members
            for batch in initiator.state_batches(self.random.choice([100, 400, 32768])):
                self.digest.add(
                    [
                        wire.encode(
                            CLUSTER,
                            initiator.local.name,
                            initiator.local.process_incarnation,
                            wire.ExchangePart(batch),
                        )
                    ]
                )
                responder.merge_remote_state(self.now, initiator.local.name, batch)
            for batch in responder.state_batches():
                initiator.merge_remote_state(self.now, responder.local.name, batch)
            self.deliver_output(exchange.address, other)
        process.members.record_exchange_result(self.now, is_reachable)
        self.deliver_output(address, process)

    def run(self, until_ms: float) -> None:
        while self._events and self._events[0][0] <= until_ms:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until_ms

    def record_views(self) -> None:
        for address, process in self.processes.items():
            self.digest.add((self.now, address, _observable_state(process.members, self.now)))
            if not process.ended:
                self.digest.add((process.members.draw_peers(2), process.members.address_of("n0")))
                self.digest.add((process.members.address_of("nobody"), process.members.next_tick_ms()))


def fleet_digest(seed: int) -> str:
    """Return the digest of the messages, events and views of a simulated fleet.

    Members are started, restarted, paused, partitioned, killed, leave gracefully, and are started twice under
    one name with a newer, an older and the same process incarnation.
    """
    network = _Network(seed)
    count = network.random.choice([3, 5, 8])
    for index in range(count):
        network.schedule(
            network.random.uniform(0, 1500), lambda index=index: network.start(f"n{index}", f"n{index}:1")
        )
    for step in range(14):
        network.run(3000.0 * (step + 1))
        network.record_views()
        _inject_fault(network, count)
    network.partitioned.clear()
    network.loss_probability = 0.0
    network.run(60_000.0)
    network.record_views()
    return network.digest.hex()


def _inject_fault(network: _Network, count: int) -> None:
    rng = network.random
    addresses = sorted(network.processes)
    address = rng.choice(addresses)
    process = network.processes[address]
    name, process_incarnation = process.members.local.name, process.members.local.process_incarnation
    match rng.choice(
        [
            "restart",
            "stop",
            "cut",
            "heal",
            "kill",
            "leave",
            "duplicate-newer",
            "loss",
            "duplicate-same",
            "duplicate-older",
            "none",
        ]
    ):
        case "restart":
            process.ended = True
            network.start(name, address)
        case "stop":
            process.paused_until_ms = network.now + rng.choice([300.0, 700.0, 1500.0, 8000.0])
        case "cut":
            network.partitioned = set(rng.sample(addresses, rng.randrange(1, len(addresses) + 1)))
        case "heal":
            network.partitioned.clear()
        case "kill":
            process.ended = True
        case "leave":
            process.members.leave(network.now)
            network.deliver_output(address, process)
            ended_at = network.now + 1000.0
            network.schedule(ended_at, lambda: setattr(process, "ended", True))
        case "duplicate-newer":
            network.start(name, f"{name}:{rng.randrange(2, 5)}")
        case "duplicate-same":
            network.start(name, f"{name}:{rng.randrange(5, 9)}", process_incarnation)
        case "duplicate-older":
            network.start(name, f"{name}:{rng.randrange(2, 5)}", process_incarnation - rng.randrange(1, 3))
        case "loss":
            network.loss_probability = rng.choice([0.0, 0.1, 0.5])


# --- one process that receives arbitrary messages


def merge_digest(seed: int) -> str:
    """Return the digest of the reactions of one process to arbitrary well-formed messages."""
    rng = random.Random(1000 + seed)
    settings = SMALL_LIMITS_SETTINGS if seed % 2 else NEAR_DEFAULT_SETTINGS
    local_identity = Identity("me", 50, "me:1", extra=b"own")
    members = Membership(
        local_identity, settings, ("me:1", "a:1", "s:1") if seed % 4 else (), random.Random(seed), 0.0
    )
    digest = Digest(LABELS)
    now = 0.0
    for step in range(350):
        now += rng.choice([0.0, 0.0, 5.0, 40.0, 120.0, 400.0, 400.0, 1500.0 if step % 25 == 0 else 60.0])
        if rng.random() < 0.5:
            members.tick(now)
        elif rng.random() < 0.9:
            sender = rng.choice(["a", "b", "c", "d", "e", "f", "g", "h", "me"])
            packet = wire.Packet(sender, rng.choice([49, 50, 50, 50, 51]) if sender != "me" or step > 300
                              else rng.choice([48, 49, 50]), _random_message(rng, sender))  # fmt: skip
            members.receive(now, f"{sender}:{rng.choice([1, 1, 1, 2])}", packet)
        elif rng.random() < 0.8:
            updates = [_random_update(rng) for _ in range(rng.randrange(4))]
            members.merge_remote_state(now, rng.choice(["a", "b", "c"]), updates)
        else:
            members.record_exchange_result(now, rng.random() < 0.5)
        if step == 250 and seed % 8 == 0:
            members.leave(now)
        digest.add([_encode_outgoing(members, outgoing) for outgoing in members.drain_messages()])
        digest.add(members.drain_events())
        digest.add([(item.name, item.address, item.with_gossip_state) for item in members.drain_exchanges()])
        if step % 20 == 0:
            digest.add(_observable_state(members, now))
    digest.add(
        [wire.encode(CLUSTER, "me", 50, wire.ExchangePart(batch)) for batch in members.state_batches(300)]
    )
    return digest.hex()


def _random_update(rng: random.Random, *, include_self: bool = True) -> MemberUpdate:
    name = rng.choice(["a", "b", "c", "d", "e", "f", "g", "h", *(["me"] if include_self else [])])
    info = MemberInfo(f"{name}:{rng.choice([1, 1, 1, 1, 2])}", "edge", "z", "r")
    if rng.random() < 0.4:
        info = None
    process_incarnation = (
        rng.choice([49, 50, 50, 50, 50, 50, 51]) if name != "me" else rng.choice([49, 50, 50, 50, 50, 50])
    )
    if name == "me":
        info = MemberInfo(rng.choice(["me:1", "me:1", "me:0"]), "edge") if info is not None else None
    state = rng.choice(
        [
            MemberState.ALIVE,
            MemberState.ALIVE,
            MemberState.ALIVE,
            MemberState.SUSPECT,
            MemberState.SUSPECT,
            MemberState.DEAD,
            MemberState.LEFT,
        ]
    )
    if state is MemberState.LEFT and rng.random() < 0.7:
        state = MemberState.ALIVE
    accuser = rng.choice(["", "a", "b", "c", "d", "x"])
    return MemberUpdate(name, process_incarnation, rng.randrange(5), state, accuser, info)


def _random_message(rng: random.Random, sender: str) -> wire.Message:
    updates = [_random_update(rng) for _ in range(rng.randrange(5))]
    number = rng.randrange(1 << 30)
    view_checksum = rng.choice([0, 0, 7])
    match rng.randrange(11):
        case 0 | 1:
            return wire.Ping(number, rng.choice(["me", "me", "other"]), updates, view_checksum)
        case 2:
            return wire.Ack(number, updates, view_checksum)
        case 3:
            return wire.PingRequest(number, rng.choice(["a", "b", "z", "me"]), "t:1", updates)
        case 4:
            return wire.Nack(number, updates)
        case 5 | 6 | 7:
            return wire.Updates(updates)
        case 8:
            own = MemberUpdate(sender, 50, 0, MemberState.ALIVE, "", MemberInfo(f"{sender}:1", "edge"))
            return wire.JoinRequest(rng.choice([own, own, _random_update(rng, include_self=False)]))
        case 9:
            return wire.JoinResponse(updates)
    return rng.choice([wire.IdentityRequest(), wire.GossipDigest(b"x"), wire.CollectorMessage(b"x")])
