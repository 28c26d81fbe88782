"""A process's evidence on its way: its teller, and its collector where it announces one, on the fleet's wire.

Rooms `put` their entries here and do not ask which way holds; `words`, `teller` and `collector` decide.
Nothing waits for any of it: without collectors evidence goes by the spread, and without that each goes on
alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

import anyio

from cressrock.aggregation import messages as w
from cressrock.aggregation.collector import MemberInfo, ReportCollector, SummarizerRegistry
from cressrock.aggregation.sender import (
    CARRIED_S,
    AggregationTimings,
    DeliveryMode,
    OutgoingMessage,
    ReportSender,
    derive_max_gossip_senders,
    gossip_interval_ms,
)
from cressrock.errors import CressrockError
from cressrock.errors.aggregation import AggregationError
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member

Origin = tuple[str, int]


class Gossip(Protocol):
    """What is asked of the spread."""

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""

    def remove(self, key: str) -> None:
        """Remove an own entry."""


class EvidenceChannel:
    """`run` it in a task group beside the fleet's carrier, which gives `receive` what others say."""

    def __init__(
        self,
        me: Origin,
        zone: str,
        gossip: Gossip,
        *,
        clock: Callable[[], float],
        source: random.Random,
        log: Any,
        replicas: Iterable[str] = (),
        sends_reports: bool = True,
        is_collector: bool = False,
        max_gossip_senders: int = 0,
        times: AggregationTimings | None = None,
    ) -> None:
        """`seats`: names of the council's seats.  `tells`: this process is missed if it tells nothing.
        `collects`: it announces that it collects.

        `most`: tellers that still tell by the spread; 0: derived.
        """
        self.me, self.gossip, self.clock, self.log, self.tells = me, gossip, clock, log, sends_reports
        self.times = times or AggregationTimings()
        self.seats = tuple(replicas)
        now = clock()
        self.sender = ReportSender(zone, self.times, source, now)
        self.summarizers = SummarizerRegistry()
        self.collector = ReportCollector(me, self.times, self.summarizers, now) if is_collector else None
        self.delivery_mode = DeliveryMode(
            max_gossip_senders or derive_max_gossip_senders(self.times.renewal_interval_ms),
            self.times.renewal_interval_ms,
        )
        self.send: Callable[[str, bytes], None] = lambda name, data: None  # to a member, one datagram
        self.members: Callable[[], tuple[Member, ...]] = lambda: ()
        self.sender_count = 0  # members that tell
        self.rejected: dict[str, int] = {}  # messages that could not be read, by code
        self.unsent = 0  # entries that neither way took
        self._entries: dict[str, bytes] = {}
        self._in_spread: set[str] = set()
        self._source = source
        self._hold_until = 0.0  # nothing goes into the spread before: not all of many in one moment
        self._factor = 1.0
        self._collectors: tuple[Origin, ...] = ()
        self._dumb: tuple[str, ...] = ()
        self._stale = True  # the members changed
        self._of: tuple[Member, ...] | None = None
        self._refreshed = now
        self._news = anyio.Event()

    # --- what rooms ask

    @property
    def uses_collectors(self) -> bool:
        """Whether this process tells collectors."""
        return self.delivery_mode.collecting

    def publish(self, key: str, value: bytes | None) -> None:
        """Set an own entry of evidence; None removes it.  What neither way takes is counted and logged."""
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = value
        if self.uses_collectors:
            self._tell(key, value)
            self._news.set()
        elif self.clock() >= self._hold_until:
            self._spread(key, value)

    def _tell(self, key: str, value: bytes | None) -> None:
        try:
            self.sender.put(key, value, self.clock())
        except AggregationError as wrong:
            self._untold(key, wrong)

    def _untold(self, key: str, wrong: CressrockError) -> None:
        self.unsent += 1
        if self.unsent == 1:
            self.log.warning("evidence not told", key=key, **wrong.fields())

    def broadcast(self, room: str) -> bytes:
        """Return what came down for a room; b"" while there is nothing."""
        if not self.uses_collectors:
            return b""
        try:
            return w.decode_broadcast(self.sender.broadcast).get(room, b"")
        except AggregationError as wrong:
            self._refuse(wrong)
            return b""

    def is_evidence_requested(self) -> bool:
        """Whether a collector wants evidence from all."""
        return self.uses_collectors and self.sender.is_evidence_requested(self.clock())

    def update_interval_ms(self) -> float | None:
        """Return how often evidence may change while it is wanted; None: as the spread bears."""
        return self.sender.update_interval_ms() if self.uses_collectors else None

    def min_interval_ms(self) -> float:
        """Return the least time between two tellings: where many tell by the spread, what it carries."""
        if self.uses_collectors:
            return 0.0
        return gossip_interval_ms(self.sender_count, CARRIED_S, self.times.renewal_interval_ms) * self._factor

    def on_members_changed(self) -> None:
        """Hear that the members changed."""
        self._stale = True

    def receive_gossip(self, origin: Origin, key: str, value: bytes | None) -> None:
        """Hear evidence that came by the spread; a collector takes that of processes that tell by it."""
        if self.collector is not None and origin != self.me:
            now = self.clock()
            self._refresh(now)
            self.collector.receive_gossip(now, *origin, key, value)

    def receive(self, sender: str, life: int, data: bytes) -> None:
        """Take a message of another process; unreadable ones are counted."""
        try:
            message = w.decode(data)
        except AggregationError as wrong:
            self._refuse(wrong)
            return
        now = self.clock()
        if isinstance(message, w.ReportAck):
            if self.sender.receive(now, sender, life, message):
                self._news.set()
        elif self.collector is not None:
            self._refresh(now)
            self._send(self.collector.receive(now, sender, life, message))
            self.collector.record_cost(1, self.clock() - now)

    def _refuse(self, wrong: AggregationError) -> None:
        self.rejected[wrong.code] = self.rejected.get(wrong.code, 0) + 1
        if self.rejected[wrong.code] == 1:
            self.log.warning("evidence refused", **wrong.fields())

    # --- how it runs

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            now = self.clock()
            self._refresh(now)
            self._look(now)
            self._send(self.sender.tick(now))
            if self.collector is not None:
                self._send(self.collector.tick(now))
            self._news = anyio.Event()
            due = min(max(self.sender.next_due_ms() - self.clock(), 1.0), self.times.summary_interval_ms)
            with anyio.move_on_after(due / 1000):
                await self._news.wait()

    def _send(self, sends: Iterable[OutgoingMessage]) -> None:
        for out in sends:
            data = w.encode(out.message)
            if out.recipient == self.me[0]:  # it collects its own zone
                self.receive(*self.me, data)
            else:
                self.send(out.recipient, data)

    def _refresh(self, now: float) -> None:
        """Take the members' view, if it changed."""
        if not self._stale:
            return
        found = self.members()
        if found is self._of and now < self._refreshed + self.times.summary_ttl_ms:
            return  # the view of thousands is not made anew at each change
        self._of, self._refreshed, self._stale = found, now, False
        there = (MemberState.ALIVE, MemberState.SUSPECT)
        members = [m for m in found if m.state in there]
        self._collectors = tuple(
            sorted((m.name, m.process_incarnation) for m in members if m.extra == w.CAPABILITY)
        )
        self._dumb = tuple(m.name for m in members if m.name in self.seats and m.extra != w.CAPABILITY)
        self.sender_count = sum(m.role == "edge" for m in members)
        if self.collector is not None:
            peers = [
                MemberInfo(
                    m.name,
                    m.process_incarnation,
                    m.zone,
                    m.state is MemberState.ALIVE,
                    True,
                    m.role == "edge",
                    m.extra == w.CAPABILITY,
                )
                for m in members
            ]
            self.collector.update_members(peers, self.seats, now)

    def _look(self, now: float) -> None:
        """Tell by one way or the other, and move all entries where it changed."""
        before = self.uses_collectors
        collecting = self.delivery_mode.update(now, self.sender_count, len(self._collectors), self._dumb)
        wanted = collecting and self.tells or not self.sender.is_empty()
        self.sender.update_collectors(self._collectors if wanted else (), now)
        if collecting != before:
            self.log.info(
                "evidence", way="collectors" if collecting else "spread", why=self.delivery_mode.reason
            )
            self._factor = 0.5 + self._source.random()
            self._hold_until = now + self.min_interval_ms()
            for key, value in sorted(self._entries.items()):
                self._tell(key, value if collecting else None)
        if not collecting and self._hold_until and now >= self._hold_until:
            self._hold_until = 0.0
            for key, value in sorted(self._entries.items()):
                self._spread(key, value)
        elif collecting and self._in_spread and self.sender.is_acknowledged():
            for key in sorted(self._in_spread):  # only now: a collector has them
                self._spread(key, None)

    def _spread(self, key: str, value: bytes | None) -> None:
        try:
            if value is not None:
                self.gossip.put(key, value)
                self._in_spread.add(key)
            elif key in self._in_spread:
                self._in_spread.discard(key)
                self.gossip.remove(key)
        except CressrockError as wrong:
            self._untold(key, wrong)

    def status(self) -> Mapping[str, Any]:
        """Return plain values for an admin port."""
        teller = self.sender
        return {
            "collecting": self.uses_collectors,
            "why": self.delivery_mode.reason,
            "to": teller.collector[0] if teller.collector is not None and self.uses_collectors else "",
            "answered": teller.is_acknowledged(),
            "counts": dict(teller.counts),
            "refused": dict(self.rejected),
            "collector": self.collector.status(self.clock()) if self.collector is not None else None,
        }
