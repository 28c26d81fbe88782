"""Example messages and seeded streams of the membership, shared by its recorder and its test."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from cressrock.errors.membership import DatagramError
from cressrock.membership import packets as m
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
CLAIM_LISTS: tuple[list[MemberUpdate], ...] = (
    [],
    [SUSPECTED],
    [FULL, SHORT, LEFT],
    [DEAD, PLAIN, FULL, SUSPECTED],
)


def messages() -> list[m.Message]:
    """Return messages of every type, with and without the fields that may be left out."""
    found: list[m.Message] = [
        m.Ping(3, "a"),
        m.Ping(0, "host-1", [], 2**32 - 1),
        m.Ack(2**30),
        m.PingRequest(3, "a", "h:1"),
        m.Nack(3),
        m.Updates(),
        m.JoinRequest(FULL),
        m.JoinRequest(PLAIN),
        m.JoinResponse(),
        m.IdentityRequest(),
        m.GossipDigest(b""),
        m.GossipDigest(b"\x94\x01\x00"),
        m.GossipDelta(b"d" * 40),
        m.GossipDelta(b""),
        m.ExchangePart(),
        m.ExchangePart(last=True),
        m.ExchangePart(gossip_state=b"some", with_gossip_state=True),
        m.CollectorMessage(b""),
        m.CollectorMessage(bytes(range(64))),
    ]
    for claims in CLAIM_LISTS:
        found += [
            m.Ping(7, "b", claims, 9),
            m.Ack(7, claims, 12345),
            m.PingRequest(7, "b", "10.0.0.1:7400", claims),
            m.Nack(7, claims),
            m.Updates(claims),
            m.JoinResponse(claims),
            m.ExchangePart(claims),
            m.ExchangePart(claims, b"\x00\x01", True, True),
        ]
    return found


def envelopes() -> list[tuple[str, str, int, m.Message]]:
    """Return the cluster, sender and life of a datagram, and its message."""
    found = [("c", "n", 7, body) for body in messages()]
    return found + [("cressrock", "edge-7.example", 1_700_000_000_123, body) for body in messages()[:12]]


def refused_bytes() -> list[bytes]:
    """Return bytes that are refused, each for its reason."""
    good = m.encode("c", "n", 7, m.Ping(3, "a", [FULL], 1))
    return [
        b"",
        b"\x00",
        b"\xff" * 30,
        good[:-1],
        m.encode("d", "n", 7, m.IdentityRequest()),
        b"\x95\x02" + good[2:],
        m.encode("c", "not a name", 7, m.IdentityRequest()),
        m.encode("c", "n", 7, m.Ping(3, "")),
        m.encode("c", "n", 7, m.Updates([MemberUpdate("x" * 65, 1, 1, MemberState.ALIVE)])),
        m.encode("c", "n", -1, m.IdentityRequest()),
        good + b"\x00" * 1200,
        bytes.fromhex("9501a163a16e079163"),
    ]


def refusal(data: bytes) -> str:
    """Return the code of the error with which bytes are refused, empty if they are taken."""
    try:
        m.decode(data, "c")
    except DatagramError as error:
        return error.code
    return ""


# --- settings

DRIVEN = MembershipSettings(
    cluster=CLUSTER,
    dead_retention_ms=20_000.0,
    exchange_interval_ms=6000.0,
    replies_per_period=12,
)
SMALL = MembershipSettings(
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


# --- what one process decided


def _bytes_of(members: Membership, send: OutgoingMessage) -> tuple[str | None, str, bytes]:
    return (
        send.name,
        send.address,
        m.encode(CLUSTER, members.local.name, members.local.process_incarnation, send.message),
    )


def _look(members: Membership, now: float) -> tuple[Any, ...]:
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
    """One simulated process: its state machine, and whether it runs."""

    def __init__(
        self, identity: Identity, settings: MembershipSettings, seeds: tuple[str, ...], now: float
    ) -> None:
        source = random.Random(f"{identity.name} {identity.process_incarnation} {identity.address}")
        self.members = Membership(identity, settings, seeds, source, now)
        self.stopped_until = 0.0
        self.wakes_at = float("inf")
        self.ended = False


class _Network:
    """Processes by address, and a lossy network between them, in simulated time."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.settings = SMALL if seed % 3 == 2 else DRIVEN
        self.digest = Digest(LABELS)
        self.now = 0.0
        self.processes: dict[str, _Process] = {}
        self.loss = self.random.choice([0.0, 0.05, 0.2])
        self.cut: set[str] = set()
        self.lives = 100
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, call))

    def start(self, name: str, address: str, life: int | None = None) -> None:
        self.lives += 1
        chosen = self.lives if life is None else life
        zone = f"z{len(name) % 2}"
        identity = Identity(name, chosen, address, "edge", zone, "r", name.encode())
        process = _Process(identity, self.settings, ("n0:1", "n1:1", "nobody:1"), self.now)
        self.processes[address] = process
        self._wake(address, process)

    def _wake(self, address: str, process: _Process) -> None:
        due = max(process.members.next_tick_ms(), self.now)
        if due < process.wakes_at:
            process.wakes_at = due
            self.at(due, lambda: self._tick(address, process, due))

    def _tick(self, address: str, process: _Process, due: float) -> None:
        if process.ended or due != process.wakes_at:
            return
        if process.stopped_until > self.now:
            later = process.wakes_at = process.stopped_until
            self.at(later, lambda: self._tick(address, process, later))
            return
        process.wakes_at = float("inf")
        process.members.tick(self.now)
        self.carry_out(address, process)
        self._wake(address, process)

    def carry_out(self, address: str, process: _Process) -> None:
        members = process.members
        for send in members.drain_messages():
            entry = _bytes_of(members, send)
            self.digest.add((self.now, address, entry))
            self._transmit(address, send.address, entry[2])
        for event in members.drain_events():
            self.digest.add((self.now, address, event))
        for exchange in members.drain_exchanges():
            self.digest.add((self.now, address, exchange.name, exchange.address, exchange.with_gossip_state))
            self.at(self.now + self.random.uniform(2, 40), self._exchange_call(address, process, exchange))

    def _transmit(self, sender: str, receiver: str, data: bytes) -> None:
        copies = 1 + (self.random.random() < 0.02)
        for _ in range(copies):
            if self.random.random() < self.loss or (sender in self.cut) != (receiver in self.cut):
                continue
            self.at(self.now + self.random.uniform(0.5, 60), lambda: self._arrive(sender, receiver, data))

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        process = self.processes.get(receiver)
        if process is None or process.ended:
            return
        if process.stopped_until > self.now:
            self.at(process.stopped_until, lambda: self._arrive(sender, receiver, data))
            return
        letter = m.decode(data, CLUSTER, self.settings.max_datagram_bytes + 200)
        process.members.receive(self.now, sender, letter)
        self.carry_out(receiver, process)
        self._wake(receiver, process)

    def _exchange_call(
        self, address: str, process: _Process, exchange: ExchangeRequest
    ) -> Callable[[], None]:
        return lambda: self._exchange(address, process, exchange)

    def _exchange(self, address: str, process: _Process, exchange: ExchangeRequest) -> None:
        other = self.processes.get(exchange.address)
        if process.ended:
            return
        reached = (
            other is not None
            and not other.ended
            and other.stopped_until <= self.now
            and (address in self.cut) == (exchange.address in self.cut)
            and self.random.random() >= self.loss
        )
        if reached and other is not None:
            mine, theirs = process.members, other.members
            for piece in mine.state_batches(self.random.choice([100, 400, 32768])):
                self.digest.add(
                    [
                        m.encode(
                            CLUSTER, mine.local.name, mine.local.process_incarnation, m.ExchangePart(piece)
                        )
                    ]
                )
                theirs.merge_remote_state(self.now, mine.local.name, piece)
            for piece in theirs.state_batches():
                mine.merge_remote_state(self.now, theirs.local.name, piece)
            self.carry_out(exchange.address, other)
        process.members.record_exchange_result(self.now, reached)
        self.carry_out(address, process)

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def look(self) -> None:
        for address, process in self.processes.items():
            self.digest.add((self.now, address, _look(process.members, self.now)))
            if not process.ended:
                self.digest.add((process.members.draw_peers(2), process.members.address_of("n0")))
                self.digest.add((process.members.address_of("nobody"), process.members.next_tick_ms()))


def fleet_digest(seed: int) -> str:
    """Return the digest of all that a simulated fleet sends, reports and believes.

    Members are started, restarted, stopped for a while, cut off, killed, sent away, and started twice under
    one name with a newer life, an older one and the same one.
    """
    network = _Network(seed)
    count = network.random.choice([3, 5, 8])
    for index in range(count):
        network.at(
            network.random.uniform(0, 1500), lambda index=index: network.start(f"n{index}", f"n{index}:1")
        )
    for step in range(14):
        network.run(3000.0 * (step + 1))
        network.look()
        _disturb(network, count)
    network.cut.clear()
    network.loss = 0.0
    network.run(60_000.0)
    network.look()
    return network.digest.hex()


def _disturb(network: _Network, count: int) -> None:
    draw = network.random
    addresses = sorted(network.processes)
    address = draw.choice(addresses)
    process = network.processes[address]
    name, life = process.members.local.name, process.members.local.process_incarnation
    match draw.choice(
        ["restart", "stop", "cut", "heal", "kill", "leave", "twin", "loss", "same", "older", "none"]
    ):
        case "restart":
            process.ended = True
            network.start(name, address)
        case "stop":
            process.stopped_until = network.now + draw.choice([300.0, 700.0, 1500.0, 8000.0])
        case "cut":
            network.cut = set(draw.sample(addresses, draw.randrange(1, len(addresses) + 1)))
        case "heal":
            network.cut.clear()
        case "kill":
            process.ended = True
        case "leave":
            process.members.leave(network.now)
            network.carry_out(address, process)
            ended_at = network.now + 1000.0
            network.at(ended_at, lambda: setattr(process, "ended", True))
        case "twin":
            network.start(name, f"{name}:{draw.randrange(2, 5)}")
        case "same":
            network.start(name, f"{name}:{draw.randrange(5, 9)}", life)
        case "older":
            network.start(name, f"{name}:{draw.randrange(2, 5)}", life - draw.randrange(1, 3))
        case "loss":
            network.loss = draw.choice([0.0, 0.1, 0.5])


# --- one process before arbitrary messages


def merge_digest(seed: int) -> str:
    """Return the digest of what one process does when it gets arbitrary well-formed messages."""
    draw = random.Random(1000 + seed)
    settings = SMALL if seed % 2 else DRIVEN
    me = Identity("me", 50, "me:1", extra=b"own")
    members = Membership(me, settings, ("me:1", "a:1", "s:1") if seed % 4 else (), random.Random(seed), 0.0)
    digest = Digest(LABELS)
    now = 0.0
    for step in range(350):
        now += draw.choice([0.0, 0.0, 5.0, 40.0, 120.0, 400.0, 400.0, 1500.0 if step % 25 == 0 else 60.0])
        if draw.random() < 0.5:
            members.tick(now)
        elif draw.random() < 0.9:
            sender = draw.choice(["a", "b", "c", "d", "e", "f", "g", "h", "me"])
            letter = m.Packet(sender, draw.choice([49, 50, 50, 50, 51]) if sender != "me" or step > 300
                              else draw.choice([48, 49, 50]), _any_body(draw, sender))  # fmt: skip
            members.receive(now, f"{sender}:{draw.choice([1, 1, 1, 2])}", letter)
        elif draw.random() < 0.8:
            claims = [_any_claim(draw) for _ in range(draw.randrange(4))]
            members.merge_remote_state(now, draw.choice(["a", "b", "c"]), claims)
        else:
            members.record_exchange_result(now, draw.random() < 0.5)
        if step == 250 and seed % 8 == 0:
            members.leave(now)
        digest.add([_bytes_of(members, send) for send in members.drain_messages()])
        digest.add(members.drain_events())
        digest.add([(item.name, item.address, item.with_gossip_state) for item in members.drain_exchanges()])
        if step % 20 == 0:
            digest.add(_look(members, now))
    digest.add([m.encode(CLUSTER, "me", 50, m.ExchangePart(piece)) for piece in members.state_batches(300)])
    return digest.hex()


def _any_claim(draw: random.Random, *, own: bool = True) -> MemberUpdate:
    name = draw.choice(["a", "b", "c", "d", "e", "f", "g", "h", *(["me"] if own else [])])
    about = MemberInfo(f"{name}:{draw.choice([1, 1, 1, 1, 2])}", "edge", "z", "r")
    if draw.random() < 0.4:
        about = None
    life = (
        draw.choice([49, 50, 50, 50, 50, 50, 51]) if name != "me" else draw.choice([49, 50, 50, 50, 50, 50])
    )
    if name == "me":
        about = MemberInfo(draw.choice(["me:1", "me:1", "me:0"]), "edge") if about is not None else None
    state = draw.choice(
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
    if state is MemberState.LEFT and draw.random() < 0.7:
        state = MemberState.ALIVE
    by = draw.choice(["", "a", "b", "c", "d", "x"])
    return MemberUpdate(name, life, draw.randrange(5), state, by, about)


def _any_body(draw: random.Random, sender: str) -> m.Message:
    claims = [_any_claim(draw) for _ in range(draw.randrange(5))]
    number = draw.randrange(1 << 30)
    view = draw.choice([0, 0, 7])
    match draw.randrange(11):
        case 0 | 1:
            return m.Ping(number, draw.choice(["me", "me", "other"]), claims, view)
        case 2:
            return m.Ack(number, claims, view)
        case 3:
            return m.PingRequest(number, draw.choice(["a", "b", "z", "me"]), "t:1", claims)
        case 4:
            return m.Nack(number, claims)
        case 5 | 6 | 7:
            return m.Updates(claims)
        case 8:
            own = MemberUpdate(sender, 50, 0, MemberState.ALIVE, "", MemberInfo(f"{sender}:1", "edge"))
            return m.JoinRequest(draw.choice([own, own, _any_claim(draw, own=False)]))
        case 9:
            return m.JoinResponse(claims)
    return draw.choice([m.IdentityRequest(), m.GossipDigest(b"x"), m.CollectorMessage(b"x")])
