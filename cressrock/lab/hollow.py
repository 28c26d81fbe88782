"""Hollow processes: thousands of members with their spread, in one process and simulated time.

Each is the very state machine of a process of the program: `Membership`, `AntiEntropy`, `GossipStore` and
the reader of decisions, and every message passes as its bytes, encoded and decoded.  What is not here:
sockets, tasks, clients' payloads.  The network draws delays and losses and cuts paths, as `FleetSim` does.
State of each about each is shared while it is equal (`hollow_shared`).  One seed gives one run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cressrock.consensus.decision_gossip import DECISION_PREFIX, RENEWAL_PREFIX, DecisionSubscriber
from cressrock.consensus.decisions import Decision
from cressrock.errors.membership import DatagramError
from cressrock.gossip.anti_entropy import AntiEntropy, AntiEntropySettings
from cressrock.gossip.messages import Origin
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.lab.fleetsim import FleetSim, Host
from cressrock.lab.hollow_shared import Pool, SharedMemberTable, SharedSpread, acquaint, fill
from cressrock.membership import packets as m
from cressrock.membership.events import Event, Fenced
from cressrock.membership.membership import Membership
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity, OutgoingMessage

FIRST_LIFE = 1_790_000_000_000  # as long on the wire as a clock's milliseconds
HEADERS = 28  # bytes of UDP and IPv4
REGIONS = 2
ZONES = 6
KINDS: dict[type, str] = {
    m.GossipDigest: "digest",
    m.GossipDelta: "delta",
    m.Updates: "rumours",
    m.Ping: "ping",
    m.Ack: "ack",
}


@dataclass(frozen=True, slots=True)
class Size:
    """What is simulated: `n` processes, `seats` of which tell decrees; `share` what is equal."""

    n: int
    seed: int = 1
    loss: float = 0.01
    spread: bool = True
    share: bool = True
    seats: int = 5


class Hollow(Host):
    """One process: its members, and with a spread its rounds and its decrees' reader."""

    def __init__(self, name: str, address: str, members: Membership) -> None:
        """Stand at an address."""
        super().__init__(name, address, members)
        self.rounds: AntiEntropy | None = None
        self.spread: GossipStore | None = None
        self.taker = DecisionSubscriber()
        self.zone = members.local.zone
        self.region = members.local.region
        self.greatest = 0  # bytes of a datagram

    def next_due(self) -> float:
        """Return when it is to be ticked next."""
        due = self.members.next_tick_ms()
        return due if self.rounds is None else min(due, self.rounds.next_tick_ms())


class HollowFleet(FleetSim):
    """A fleet of hollow processes in simulated milliseconds."""

    def __init__(
        self,
        size: Size,
        *,
        members: MembershipSettings | None = None,
        rounds: AntiEntropySettings | None = None,
        spread: GossipStoreSettings | None = None,
        make_spread: Callable[[str, int, GossipStoreSettings, random.Random], GossipStore] | None = None,
    ) -> None:
        """`make_spread` puts another class in the place of `Spread`, which then is not shared."""
        room = max(4 * size.n, 64)
        super().__init__(
            size.seed, members or MembershipSettings(max_members=max(room, 4096)), loss=size.loss
        )
        self.size = size
        self.rounds_settings = rounds or AntiEntropySettings(period_ms=self.settings.protocol_period_ms / 5)
        self.spread_settings = spread or GossipStoreSettings(max_origins=room)
        self.make_spread = make_spread
        self.common: dict[str, Any] = {}
        self.pool: Pool = {}
        self.by_kind: dict[str, list[int]] = {}  # bytes and datagrams since the last `mark`
        self.heard: Callable[[Hollow, Origin, str], None] = lambda host, origin, key: None
        self.told: Callable[[Hollow, Event], None] = self._note
        self.took: Callable[[Hollow, Decision], None] = lambda host, decree: None
        self.members: list[Hollow] = []
        self._marked_at = 0.0
        self._marked: dict[Hollow, tuple[int, int]] = {}
        seeds = tuple(address(number) for number in range(3))
        self.members = [self._make(number, FIRST_LIFE + number, seeds) for number in range(size.n)]
        acquaint([host.members for host in self.members], self.now, share=size.share)
        for host in self.members:
            host.members.drain_events()
            self._plan(host)

    # --- who

    def _make(self, number: int, life: int, seeds: tuple[str, ...]) -> Hollow:
        name, place = f"edge-{number:04d}", number % ZONES
        me = Identity(name, life, address(number), "edge", f"zone-{place}", f"region-{place % REGIONS}")
        source = random.Random(self.random.getrandbits(64))
        table = SharedMemberTable(source, self.common) if self.size.share else None
        members = Membership(me, self.settings, seeds, source, self.now, table)
        host = Hollow(name, me.address, members)
        if self.size.spread:
            made: GossipStore
            if self.make_spread is not None:
                made = self.make_spread(name, life, self.spread_settings, source)
            elif self.size.share:
                made = SharedSpread(name, life, self.spread_settings, source, self.pool)
            else:
                made = GossipStore(name, life, self.spread_settings, source)
            host.spread = made
            host.rounds = AntiEntropy(members, made, self.rounds_settings, source, self.now)
        self.hosts[host.address] = host
        return host

    def settle(self) -> None:
        """Let every process hold what all have written so far."""
        fill(
            [host.spread for host in self.members if host.spread is not None],
            self.pool,
            share=self.size.share and self.make_spread is None,
        )

    def restart(self, host: Hollow, down_ms: float) -> None:
        """End a process without a word; it comes back in a newer life, knowing its seeds alone."""
        self.kill(host)
        self.after(down_ms, self._again, host)

    def _again(self, host: Hollow) -> None:
        number = int(host.name[5:])
        seeds = tuple(one.address for one in self.members[:4] if one.name != host.name)
        new = self._make(number, host.members.local.process_incarnation + 1_000_000, seeds)
        self.members[number] = new
        self._plan(new)

    # --- meters

    def mark(self) -> None:
        """Begin to count anew."""
        self.by_kind = {}
        self._marked_at = self.now
        self._marked = {host: (host.bytes, host.datagrams) for host in self.members}
        for host in self.members:
            host.greatest = 0

    def sent(self) -> tuple[list[float], list[float]]:
        """Return bytes and datagrams a second that each running process has sent since the mark, sorted."""
        span = (self.now - self._marked_at) / 1000
        found = []
        for host in self.members:
            if host.up:
                size, count = self._marked.get(host, (0, 0))
                found.append((host.bytes - size, host.datagrams - count))
        return sorted(one[0] / span for one in found), sorted(one[1] / span for one in found)

    def _note(self, host: Hollow, event: Event) -> None:
        self.events.append((self.now, host.name, event))

    # --- how it runs

    def _plan(self, host: Host) -> None:
        assert isinstance(host, Hollow)
        due = host.next_due()
        if due != host.due and due != float("inf"):
            host.due = due
            self._number += 1
            heapq.heappush(self._heap, (max(due, self.now), self._number, self._tick, (host, due)))

    def _tick(self, host: Host, due: float) -> None:
        if not host.up or host.stopped_until > self.now or due != host.due:
            return
        assert isinstance(host, Hollow)
        if host.members.next_tick_ms() <= self.now:
            host.members.tick(self.now)
        if host.rounds is not None:
            self._put(host, host.rounds.tick(self.now))
        self._after(host)

    def _hand(self, host: Host, sender: str, data: bytes) -> None:
        assert isinstance(host, Hollow)
        try:
            letter = m.decode(data, self.settings.cluster, self.settings.max_datagram_bytes)
        except DatagramError as wrong:
            self.refused[wrong.code] = self.refused.get(wrong.code, 0) + 1
            return
        host.members.receive(self.now, sender, letter)
        if host.rounds is not None and isinstance(letter.body, m.GossipDigest | m.GossipDelta):
            self._put(host, host.rounds.receive(self.now, letter))
            if isinstance(letter.body, m.GossipDelta):
                self._merged(host)
        self._after(host)

    def _put(self, host: Hollow, sends: list[OutgoingMessage]) -> None:
        for sent in sends:
            data = m.encode(
                self.settings.cluster, host.name, host.members.local.process_incarnation, sent.message
            )
            self.count(host, sent.message, len(data) + HEADERS)
            self.datagram(host, sent.address, data)

    def _after(self, host: Host) -> None:
        assert isinstance(host, Hollow)
        members = host.members
        if sends := members.drain_messages():
            self._put(host, sends)
        for event in members.drain_events():
            self.told(host, event)
            if isinstance(event, Fenced):
                self.kill(host)
        for wanted in members.drain_exchanges():
            self.after(3 * self._delay(), self._meet, host, wanted.address, wanted.with_gossip_state)
        self._plan(host)

    def count(self, host: Hollow, message: Any, size: int) -> None:
        """Count a datagram at its sender."""
        host.bytes += size
        host.datagrams += 1
        host.greatest = max(host.greatest, size)
        name = KINDS.get(type(message), "other")
        held = self.by_kind.setdefault(name, [0, 0])
        held[0] += size
        held[1] += 1

    def _merged(self, host: Hollow) -> None:
        """Look at what a merge changed, as `Ground` does after each."""
        spread = host.spread
        assert spread is not None
        for origin, key in spread.drain_changes():
            if key.startswith((DECISION_PREFIX, RENEWAL_PREFIX)):
                value = spread.value_of(key, origin)
                if value is not None:
                    for decree in host.taker.receive_entry(key, value)[0]:
                        self.took(host, decree)
            self.heard(host, origin, key)

    def _meet(self, host: Hollow, address: str, whole: bool) -> None:
        """Make a full exchange of members; with `whole` of the spread's state too, as the carrier does."""
        done = self.exchanges
        self._exchange(host, address)
        peer = self.hosts.get(address)
        if self.exchanges == done or not whole or not isinstance(peer, Hollow):
            return
        for one, other in ((host, peer), (peer, host)):
            if one.spread is None or other.rounds is None:
                continue
            cursor: Any = None
            while True:
                data, cursor = one.spread.full_state(cursor, m.MAX_FRAME_BYTES // 2)
                one.bytes += len(data)
                if data:
                    other.rounds.merge_full_state(data)
                    self._merged(other)
                if cursor is None:
                    break


def address(number: int) -> str:
    """Return the address of a process by its number."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7410"
