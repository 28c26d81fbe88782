"""Many members in simulated time: the very same state machines and bytes, and a network that fails.

Discrete events from a heap; no sockets, no tasks.  One seed gives one run.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from cressrock.errors.membership import DatagramError
from cressrock.membership import packets as m
from cressrock.membership.events import Event, Fenced
from cressrock.membership.membership import Membership
from cressrock.membership.packets import MemberState
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity

QUEUE = 512  # datagrams that wait at a stopped process, as a socket's buffer would hold


class Host:
    """One process: its members, and whether it runs."""

    def __init__(self, name: str, address: str, members: Membership) -> None:
        """Stand at an address."""
        self.name = name
        self.address = address
        self.members = members
        self.up = True
        self.stopped_until = 0.0
        self.waiting: list[tuple[str, bytes]] = []
        self.due = -1.0
        self.bytes = 0
        self.datagrams = 0


class FleetSim:
    """A fleet in simulated milliseconds."""

    def __init__(
        self,
        seed: int,
        settings: MembershipSettings | None = None,
        *,
        loss: float = 0.0,
        delay_ms: tuple[float, float] = (0.2, 3.0),
    ) -> None:
        """`loss` is the chance of each datagram to vanish, one way."""
        self.random = random.Random(seed)
        self.settings = settings or MembershipSettings()
        self.loss = loss
        self.delay_ms = delay_ms
        self.now = 0.0
        self.hosts: dict[str, Host] = {}  # by address
        self.open: Callable[[str, str], bool] = lambda one, other: True  # by name, one way
        self.events: list[tuple[float, str, Event]] = []
        self.refused: dict[str, int] = {}
        self.exchanges = 0
        self._heap: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._number = 0

    # --- what a test does

    def start(
        self, name: str, seeds: tuple[str, ...], *, life: int = 1, address: str = "", **told: Any
    ) -> Host:
        """Start a process; it takes over its address."""
        address = address or f"{name}:1"
        me = Identity(name, life, address, **told)
        source = random.Random(self.random.getrandbits(64))
        host = Host(name, address, Membership(me, self.settings, seeds, source, self.now))
        self.hosts[address] = host
        self._plan(host)
        return host

    def fleet(self, count: int, *, joined: bool = True) -> list[Host]:
        """Start `count` processes; `joined` ones know each other from the start."""
        seeds = tuple(f"m{number}:1" for number in range(3))
        hosts = [self.start(f"m{number}", seeds, zone=f"z{number % 3}") for number in range(count)]
        if joined:
            claims = [host.members.state.local.as_update(full=True) for host in hosts]
            for host in hosts:
                host.members.merge_remote_state(self.now, "", claims)
                host.members.record_exchange_result(self.now, True)
                host.members.drain_events()
                host.members.state.queue.clear()
        return hosts

    def kill(self, host: Host) -> None:
        """End a process without a word."""
        host.up = False
        if self.hosts.get(host.address) is host:
            del self.hosts[host.address]

    def stop(self, host: Host, time_ms: float) -> None:
        """Let a process neither receive nor tick for a time; a bounded queue waits for it."""
        host.stopped_until = self.now + time_ms
        self.after(time_ms, self._resume, host)

    def after(self, wait_ms: float, call: Callable[..., None], *given: Any) -> None:
        """Plan a call."""
        self._number += 1
        heapq.heappush(self._heap, (self.now + wait_ms, self._number, call, given))

    def run(self, until_ms: float, enough: Callable[[], bool] | None = None, step_ms: float = 50.0) -> bool:
        """Run to a time, or until `enough` (asked every `step_ms`) says so; returns whether it did."""
        asked = self.now
        while self._heap and self._heap[0][0] <= until_ms:
            if enough is not None and self._heap[0][0] >= asked:
                if enough():
                    return True
                asked += step_ms
            self.now, _, call, given = heapq.heappop(self._heap)
            call(*given)
        self.now = until_ms
        return enough is not None and enough()

    def one_view(self) -> bool:
        """Return whether every running process holds exactly the running ones alive."""
        running = {
            (host.name, host.members.local.process_incarnation) for host in self.hosts.values() if host.up
        }
        for host in self.hosts.values():
            table = host.members.state.table
            if table.cluster_size != len(running):
                return False
            for name in table.live.names:
                record = table.records[name]
                if record.state is not MemberState.ALIVE or (name, record.process_incarnation) not in running:
                    return False
        return True

    # --- how it runs

    def _resume(self, host: Host) -> None:
        if not host.up or host.stopped_until > self.now:
            return
        waiting, host.waiting = host.waiting, []
        for sender, data in waiting:
            self._hand(host, sender, data)
        self._tick(host, host.due)

    def _plan(self, host: Host) -> None:
        due = host.members.next_tick_ms()
        if due != host.due and due != float("inf"):
            host.due = due
            self._number += 1
            heapq.heappush(self._heap, (max(due, self.now), self._number, self._tick, (host, due)))

    def _tick(self, host: Host, due: float) -> None:
        if not host.up or host.stopped_until > self.now or due != host.due:
            return
        host.members.tick(self.now)
        self._after(host)

    def _hand(self, host: Host, sender: str, data: bytes) -> None:
        try:
            letter = m.decode(data, self.settings.cluster, self.settings.max_datagram_bytes)
        except DatagramError as wrong:
            self.refused[wrong.code] = self.refused.get(wrong.code, 0) + 1
            return
        host.members.receive(self.now, sender, letter)
        self._after(host)

    def _after(self, host: Host) -> None:
        members = host.members
        for sent in members.drain_messages():
            data = m.encode(self.settings.cluster, host.name, members.local.process_incarnation, sent.message)
            host.bytes += len(data) + 28  # with the headers of UDP and IPv4
            host.datagrams += 1
            self.datagram(host, sent.address, data)
        for event in members.drain_events():
            self.events.append((self.now, host.name, event))
            if isinstance(event, Fenced):
                self.kill(host)
        for wanted in members.drain_exchanges():
            self.after(3 * self._delay(), self._exchange, host, wanted.address)
        self._plan(host)

    def _delay(self) -> float:
        low, high = self.delay_ms
        return low + (high - low) * self.random.random()

    def datagram(self, host: Host, address: str, data: bytes) -> None:
        """Put a datagram on the way."""
        if self.random.random() < self.loss:
            return
        self._number += 1
        way = (host.name, host.address, address, data)
        heapq.heappush(self._heap, (self.now + self._delay(), self._number, self._arrive, way))

    def _arrive(self, name: str, sender: str, address: str, data: bytes) -> None:
        host = self.hosts.get(address)
        if host is None or not self.open(name, host.name):
            return
        if host.stopped_until > self.now:
            if len(host.waiting) < QUEUE:
                host.waiting.append((sender, data))
            return
        self._hand(host, sender, data)

    def _exchange(self, host: Host, address: str) -> None:
        if not host.up or host.stopped_until > self.now:
            return
        peer = self.hosts.get(address)
        reached = peer is not None and self.open(host.name, peer.name) and self.open(peer.name, host.name)
        if peer is None or not reached or peer.stopped_until > self.now:
            host.members.record_exchange_result(self.now, False)
            return
        self.exchanges += 1
        ours, theirs = host.members.state_batches(), peer.members.state_batches()
        for one, other, pieces in ((peer, host, ours), (host, peer, theirs)):
            for piece in pieces:
                body = m.ExchangePart(piece)
                data = m.encode(
                    self.settings.cluster, other.name, other.members.local.process_incarnation, body
                )
                other.bytes += len(data)
                letter = m.decode(data, self.settings.cluster, m.MAX_FRAME_BYTES)
                assert isinstance(letter.body, m.ExchangePart)
                one.members.merge_remote_state(self.now, other.name, letter.body.updates)
        host.members.record_exchange_result(self.now, True)
        self._after(peer)
        if host.up:
            self._after(host)
