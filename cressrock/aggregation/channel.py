"""One process's reports on their way, by gossip or to collectors; and its own collector, where it is one.

Cluster features `publish` their entries here and do not ask which way holds; `delivery`, `sender` and
`collector` decide.  Nothing waits for any of it: without collectors reports go by gossip, and without that
each process goes on alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import anyio

from cressrock.aggregation.collector import ReportCollector
from cressrock.aggregation.delivery import (
    GOSSIP_WRITES_PER_S,
    DeliveryMode,
    derive_max_gossip_senders,
    gossip_interval_ms,
)
from cressrock.aggregation.member_watch import MembersView, MemberWatch
from cressrock.aggregation.members import MemberInfo
from cressrock.aggregation.messages import (
    CAPABILITY,
    OutgoingMessage,
    ReportAck,
    decode,
    decode_broadcast,
    encode,
)
from cressrock.aggregation.ranking import Origin
from cressrock.aggregation.sender import ReportSender
from cressrock.aggregation.summarizer import SummarizerRegistry
from cressrock.aggregation.timings import AggregationTimings
from cressrock.errors import CressrockError
from cressrock.errors.aggregation import AggregationError
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member

MIN_WAIT_MS = 1.0  # between two rounds of `run`


class EventLog(Protocol):
    """Where events are logged, each by name and fields."""

    def info(self, event: str, **fields: Any) -> None:
        """Log an event."""

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator should see."""


class Gossip(Protocol):
    """The gossip store, as a process writes its own entries into it."""

    def put(self, key: str, value: bytes) -> None:
        """Set an own entry."""

    def remove(self, key: str) -> None:
        """Remove an own entry."""


@dataclass(frozen=True, slots=True)
class ChannelSettings:
    """What a process is for the collectors, and when it reports.

    `replicas`: names of the consensus replicas.  `sends_reports`: it is missed if it reports nothing.
    `is_collector`: it announces that it collects.  `max_gossip_senders`: so many still report by gossip; 0:
    derived.
    """

    zone: str
    replicas: Iterable[str] = ()
    sends_reports: bool = True
    is_collector: bool = False
    max_gossip_senders: int = 0
    timings: AggregationTimings = AggregationTimings()


class EvidenceChannel:
    """`run` it in a task group beside the membership's transport, which gives `receive` what others send."""

    def __init__(
        self,
        me: Origin,
        settings: ChannelSettings,
        gossip: Gossip,
        *,
        clock: Callable[[], float],
        source: random.Random,
        log: EventLog,
    ) -> None:
        """`clock` gives monotonic ms; `source` draws times."""
        self.me, self.gossip, self.clock, self.log = me, gossip, clock, log
        self.sends_reports, self.timings = settings.sends_reports, settings.timings
        now_ms = clock()
        self.sender = ReportSender(settings.zone, self.timings, source, now_ms)
        self.summarizers = SummarizerRegistry()
        self.collector: ReportCollector | None = None
        if settings.is_collector:
            self.collector = ReportCollector(me, self.timings, self.summarizers, now_ms)
        hold_ms = self.timings.renewal_interval_ms
        max_gossip_senders = settings.max_gossip_senders or derive_max_gossip_senders(hold_ms)
        self.delivery_mode = DeliveryMode(max_gossip_senders, hold_ms)
        self.send: Callable[[str, bytes], None] = lambda name, data: None  # to a member, one datagram
        self.members: Callable[[], MembersView] = lambda: ()
        self.rejected: dict[str, int] = {}  # messages that could not be read, by code
        self.unsent = 0  # entries that neither way took
        self._entries: dict[str, bytes] = {}
        self._in_gossip: set[str] = set()
        self._source = source
        self._gossip_hold_until_ms = 0.0  # nothing is gossiped before: not all of many in one moment
        self._interval_factor = 1.0  # drawn, so that many do not gossip in step
        self._watch = MemberWatch(tuple(settings.replicas), self.timings.summary_ttl_ms, now_ms)
        self._wake = anyio.Event()

    # --- what cluster features ask

    @property
    def sender_count(self) -> int:
        """Return how many members report."""
        return self._watch.sender_count

    @property
    def uses_collectors(self) -> bool:
        """Whether this process reports to collectors."""
        return self.delivery_mode.collecting

    def publish(self, key: str, value: bytes | None) -> None:
        """Set an own entry; None removes it.  What neither way takes is counted and logged."""
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = value
        if self.uses_collectors:
            self._put_to_sender(key, value)
            self._wake.set()
        elif self.clock() >= self._gossip_hold_until_ms:
            self._put_to_gossip(key, value)

    def broadcast(self, name: str) -> bytes:
        """Return what the summarizer of this name broadcasts; b"" while there is nothing."""
        if not self.uses_collectors:
            return b""
        try:
            return decode_broadcast(self.sender.broadcast).get(name, b"")
        except AggregationError as error:
            self._count_rejected(error)
            return b""

    def is_evidence_requested(self) -> bool:
        """Whether a collector wants evidence from all."""
        return self.uses_collectors and self.sender.is_evidence_requested(self.clock())

    def update_interval_ms(self) -> float | None:
        """Return how often evidence may change while it is requested; None: as gossip bears."""
        return self.sender.update_interval_ms() if self.uses_collectors else None

    def min_interval_ms(self) -> float:
        """Return the least time between two reports: where many report by gossip, what that carries."""
        if self.uses_collectors:
            return 0.0
        usual_ms = self.timings.renewal_interval_ms
        return gossip_interval_ms(self.sender_count, GOSSIP_WRITES_PER_S, usual_ms) * self._interval_factor

    # --- what comes in

    def on_members_changed(self) -> None:
        """Look at the members anew."""
        self._watch.invalidate()

    def receive_gossip(self, origin: Origin, key: str, value: bytes | None) -> None:
        """Give an entry that came by gossip to the collector: its origin may report by gossip alone."""
        if self.collector is not None and origin != self.me:
            now_ms = self.clock()
            self._update_members(now_ms)
            self.collector.receive_gossip(now_ms, *origin, key, value)

    def receive(self, sender: str, incarnation: int, data: bytes) -> None:
        """Take a message of another process; unreadable ones are counted."""
        try:
            message = decode(data)
        except AggregationError as error:
            self._count_rejected(error)
            return
        now_ms = self.clock()
        if isinstance(message, ReportAck):
            if self.sender.receive(now_ms, sender, incarnation, message):
                self._wake.set()
        elif self.collector is not None:
            self._update_members(now_ms)
            self._send_all(self.collector.receive(now_ms, sender, incarnation, message))
            self.collector.record_cost(1, self.clock() - now_ms)

    def _count_rejected(self, error: AggregationError) -> None:
        self.rejected[error.code] = self.rejected.get(error.code, 0) + 1
        if self.rejected[error.code] == 1:
            self.log.warning("aggregation.message_rejected", **error.fields())

    # --- how it runs

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            self.step()
            self._wake = anyio.Event()
            due_ms = max(self.sender.next_due_ms() - self.clock(), MIN_WAIT_MS)
            with anyio.move_on_after(min(due_ms, self.timings.summary_interval_ms) / 1000):
                await self._wake.wait()

    def step(self) -> None:
        """Do what is due now, once."""
        now_ms = self.clock()
        self._update_members(now_ms)
        self._update_delivery(now_ms)
        self._send_all(self.sender.tick(now_ms))
        if self.collector is not None:
            self._send_all(self.collector.tick(now_ms))

    def _send_all(self, sends: Iterable[OutgoingMessage]) -> None:
        for outgoing in sends:
            data = encode(outgoing.message)
            if outgoing.recipient == self.me[0]:  # it collects its own zone
                self.receive(*self.me, data)
            else:
                self.send(outgoing.recipient, data)

    def _update_members(self, now_ms: float) -> None:
        """Take the members' view, if it changed."""
        present = self._watch.refresh(now_ms, self.members)
        if present is not None and self.collector is not None:
            members = [_member_info(member) for member in present]
            self.collector.update_members(members, self._watch.replicas)

    def _update_delivery(self, now_ms: float) -> None:
        """Report by one way or the other, and move all entries where it changed."""
        before = self.uses_collectors
        collecting = self.delivery_mode.update(
            now_ms, self.sender_count, len(self._watch.collectors), self._watch.incapable_replicas
        )
        reporting = collecting and self.sends_reports or not self.sender.is_empty()
        self.sender.update_collectors(self._watch.collectors if reporting else ())
        if collecting != before:
            self._change_delivery(now_ms, collecting)
        if not collecting and self._gossip_hold_until_ms and now_ms >= self._gossip_hold_until_ms:
            self._gossip_hold_until_ms = 0.0
            for key, value in sorted(self._entries.items()):
                self._put_to_gossip(key, value)
        elif collecting and self._in_gossip and self.sender.is_acknowledged():
            for key in sorted(self._in_gossip):  # only now: a collector has them
                self._put_to_gossip(key, None)

    def _change_delivery(self, now_ms: float, collecting: bool) -> None:
        way = "collectors" if collecting else "gossip"
        self.log.info("aggregation.delivery_changed", way=way, reason=self.delivery_mode.reason)
        self._interval_factor = 0.5 + self._source.random()
        self._gossip_hold_until_ms = now_ms + self.min_interval_ms()
        for key, value in sorted(self._entries.items()):
            self._put_to_sender(key, value if collecting else None)

    def _put_to_sender(self, key: str, value: bytes | None) -> None:
        try:
            self.sender.put(key, value, self.clock())
        except AggregationError as error:
            self._count_unsent(key, error)

    def _put_to_gossip(self, key: str, value: bytes | None) -> None:
        try:
            if value is not None:
                self.gossip.put(key, value)
                self._in_gossip.add(key)
            elif key in self._in_gossip:
                self._in_gossip.discard(key)
                self.gossip.remove(key)
        except CressrockError as error:
            self._count_unsent(key, error)

    def _count_unsent(self, key: str, error: CressrockError) -> None:
        self.unsent += 1
        if self.unsent == 1:
            self.log.warning("aggregation.report_unsent", key=key, **error.fields())

    def status(self) -> Mapping[str, object]:
        """Return plain values for an admin port."""
        sender, collector = self.sender, self.collector
        recipient = sender.collector[0] if sender.collector is not None and self.uses_collectors else ""
        return {
            "collecting": self.uses_collectors,
            "why": self.delivery_mode.reason,
            "to": recipient,
            "answered": sender.is_acknowledged(),
            "counts": dict(sender.counts),
            "refused": dict(self.rejected),
            "collector": collector.status(self.clock()) if collector is not None else None,
        }


def _member_info(member: Member) -> MemberInfo:
    return MemberInfo(
        member.name,
        member.process_incarnation,
        member.zone,
        alive=member.state is MemberState.ALIVE,
        is_present=True,
        sends_reports=member.role == "edge",
        is_collector=member.extra == CAPABILITY,
    )
