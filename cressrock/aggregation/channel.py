"""Delivers one process's reports by gossip or to collectors, and runs its own collector if it is one.

Cluster features `publish` their entries here without knowing how they are delivered, which `delivery`,
`sender` and `collector` determine.  No feature waits for delivery: without collectors reports are sent by
gossip, and without gossip each process continues on its own view.
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

MIN_WAIT_MS = 1.0  # between two steps of `run`


class EventLog(Protocol):
    """A structured log: each event has a name and fields."""

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that needs an operator's attention."""


class Gossip(Protocol):
    """The part of the gossip store that writes a process's own entries."""

    def put(self, key: str, value: bytes) -> None:
        """Set an entry of this process.  Raises CressrockError if the store rejects it."""

    def remove(self, key: str) -> None:
        """Remove an entry of this process."""


@dataclass(frozen=True, slots=True)
class ChannelSettings:
    """A process's role in collecting evidence, and the timings of its reports.

    `replicas`: names of the consensus replicas.  `sends_reports`: other processes expect its reports.
    `is_collector`: it runs a collector.  `max_gossip_senders`: with more senders than this, reports go to
    collectors; 0 derives the limit from the traffic budget.
    """

    zone: str
    replicas: Iterable[str] = ()
    sends_reports: bool = True
    is_collector: bool = False
    max_gossip_senders: int = 0
    timings: AggregationTimings = AggregationTimings()


class EvidenceChannel:
    """Publishes a process's entries and receives the answers.

    Start `run` in a task group; the membership's transport passes incoming messages to `receive`.
    """

    def __init__(
        self,
        own_id: Origin,
        settings: ChannelSettings,
        gossip: Gossip,
        *,
        clock: Callable[[], float],
        source: random.Random,
        log: EventLog,
    ) -> None:
        """`clock` returns monotonic time in ms; `source` randomizes send times."""
        self.own_id, self.gossip, self.clock, self.log = own_id, gossip, clock, log
        self.sends_reports, self.timings = settings.sends_reports, settings.timings
        now_ms = clock()
        self.sender = ReportSender(settings.zone, self.timings, source, now_ms)
        self.summarizers = SummarizerRegistry()
        self.collector: ReportCollector | None = None
        if settings.is_collector:
            self.collector = ReportCollector(own_id, self.timings, self.summarizers, now_ms)
        hold_ms = self.timings.renewal_interval_ms
        max_gossip_senders = settings.max_gossip_senders or derive_max_gossip_senders(hold_ms)
        self.delivery_mode = DeliveryMode(max_gossip_senders, hold_ms)
        self.send: Callable[[str, bytes], None] = lambda name, data: None  # (member name, datagram)
        self.members: Callable[[], MembersView] = lambda: ()
        self.rejected_by_code: dict[str, int] = {}  # undecodable messages, by error code
        self.unsent = 0  # entries rejected by the sender or the gossip store
        self._entries: dict[str, bytes] = {}
        self._gossiped_keys: set[str] = set()
        self._rng = source
        self._gossip_hold_until_ms = 0.0  # no gossip writes before; spreads those of many processes
        self._interval_jitter = 1.0  # random, so that processes do not gossip in step
        self._member_watch = MemberWatch(tuple(settings.replicas), self.timings.summary_ttl_ms, now_ms)
        self._wake_event = anyio.Event()

    # --- for cluster features

    @property
    def sender_count(self) -> int:
        """Return the number of present members that send reports."""
        return self._member_watch.sender_count

    @property
    def uses_collectors(self) -> bool:
        """Whether this process reports to collectors instead of by gossip."""
        return self.delivery_mode.collecting

    def publish(self, key: str, value: bytes | None) -> None:
        """Set an entry of this process; None removes it.  Rejected ones are counted, the first is logged."""
        if value is None:
            self._entries.pop(key, None)
        else:
            self._entries[key] = value
        if self.uses_collectors:
            self._put_to_sender(key, value)
            self._wake_event.set()
        elif self.clock() >= self._gossip_hold_until_ms:
            self._put_to_gossip(key, value)

    def broadcast(self, name: str) -> bytes:
        """Return the last broadcast of the collector's summarizer with this name; b"" if there is none."""
        if not self.uses_collectors:
            return b""
        try:
            return decode_broadcast(self.sender.broadcast).get(name, b"")
        except AggregationError as error:
            self._count_rejected(error)
            return b""

    def is_evidence_requested(self) -> bool:
        """Whether the collector currently requests evidence from all senders."""
        return self.uses_collectors and self.sender.is_evidence_requested(self.clock())

    def update_interval_ms(self) -> float | None:
        """Return the least time between changes while evidence is requested; None: limited by gossip."""
        return self.sender.update_interval_ms() if self.uses_collectors else None

    def min_interval_ms(self) -> float:
        """Return the least time between two reports; above 0 only where many senders share gossip."""
        if self.uses_collectors:
            return 0.0
        renewal_interval_ms = self.timings.renewal_interval_ms
        return (
            gossip_interval_ms(self.sender_count, GOSSIP_WRITES_PER_S, renewal_interval_ms)
            * self._interval_jitter
        )

    # --- incoming messages

    def on_members_changed(self) -> None:
        """Mark the members as changed; the next step reads them."""
        self._member_watch.invalidate()

    def receive_gossip(self, origin: Origin, key: str, value: bytes | None) -> None:
        """Pass an entry received by gossip to the collector; its origin may use gossip only."""
        if self.collector is not None and origin != self.own_id:
            now_ms = self.clock()
            self._update_members(now_ms)
            self.collector.receive_gossip(now_ms, *origin, key, value)

    def receive(self, sender: str, incarnation: int, data: bytes) -> None:
        """Process a message from another process; count it as rejected if it cannot be decoded."""
        try:
            message = decode(data)
        except AggregationError as error:
            self._count_rejected(error)
            return
        now_ms = self.clock()
        if isinstance(message, ReportAck):
            if self.sender.receive(now_ms, sender, incarnation, message):
                self._wake_event.set()
        elif self.collector is not None:
            self._update_members(now_ms)
            self._send_all(self.collector.receive(now_ms, sender, incarnation, message))
            self.collector.record_cost(1, self.clock() - now_ms)

    def _count_rejected(self, error: AggregationError) -> None:
        self.rejected_by_code[error.code] = self.rejected_by_code.get(error.code, 0) + 1
        if self.rejected_by_code[error.code] == 1:
            self.log.warning("aggregation.message_rejected", **error.fields())

    # --- running

    async def run(self) -> None:
        """Run a step whenever one is due, until cancelled."""
        while True:
            self.step()
            self._wake_event = anyio.Event()
            due_ms = max(self.sender.next_due_ms() - self.clock(), MIN_WAIT_MS)
            with anyio.move_on_after(min(due_ms, self.timings.summary_interval_ms) / 1000):
                await self._wake_event.wait()

    def step(self) -> None:
        """Refresh the members and the delivery mode, and send what is due."""
        now_ms = self.clock()
        self._update_members(now_ms)
        self._update_delivery(now_ms)
        self._send_all(self.sender.tick(now_ms))
        if self.collector is not None:
            self._send_all(self.collector.tick(now_ms))

    def _send_all(self, outgoing_messages: Iterable[OutgoingMessage]) -> None:
        for outgoing in outgoing_messages:
            data = encode(outgoing.message)
            if outgoing.recipient == self.own_id[0]:  # this process is its own collector
                self.receive(*self.own_id, data)
            else:
                self.send(outgoing.recipient, data)

    def _update_members(self, now_ms: float) -> None:
        """Pass the members to the collector if they changed."""
        present = self._member_watch.refresh(now_ms, self.members)
        if present is not None and self.collector is not None:
            members = [_member_info(member) for member in present]
            self.collector.update_members(members, self._member_watch.replicas)

    def _update_delivery(self, now_ms: float) -> None:
        """Choose between gossip and collectors; move all entries after a change of mode."""
        was_collecting = self.uses_collectors
        collecting = self.delivery_mode.update(
            now_ms,
            self.sender_count,
            len(self._member_watch.collectors),
            self._member_watch.incapable_replicas,
        )
        reporting = collecting and self.sends_reports or not self.sender.is_empty()
        self.sender.update_collectors(self._member_watch.collectors if reporting else ())
        if collecting != was_collecting:
            self._switch_delivery(now_ms, collecting)
        if not collecting and self._gossip_hold_until_ms and now_ms >= self._gossip_hold_until_ms:
            self._gossip_hold_until_ms = 0.0
            for key, value in sorted(self._entries.items()):
                self._put_to_gossip(key, value)
        elif collecting and self._gossiped_keys and self.sender.is_acknowledged():
            for key in sorted(self._gossiped_keys):  # kept until a collector has acknowledged all entries
                self._put_to_gossip(key, None)

    def _switch_delivery(self, now_ms: float, collecting: bool) -> None:
        mode = "collectors" if collecting else "gossip"
        self.log.info("aggregation.delivery_changed", way=mode, reason=self.delivery_mode.reason)
        self._interval_jitter = 0.5 + self._rng.random()
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
                self._gossiped_keys.add(key)
            elif key in self._gossiped_keys:
                self._gossiped_keys.discard(key)
                self.gossip.remove(key)
        except CressrockError as error:
            self._count_unsent(key, error)

    def _count_unsent(self, key: str, error: CressrockError) -> None:
        self.unsent += 1
        if self.unsent == 1:
            self.log.warning("aggregation.report_unsent", key=key, **error.fields())

    def status(self) -> Mapping[str, object]:
        """Return the state shown at the admin port, as JSON-compatible values."""
        sender, collector = self.sender, self.collector
        recipient = sender.collector[0] if sender.collector is not None and self.uses_collectors else ""
        return {
            "collecting": self.uses_collectors,
            "why": self.delivery_mode.reason,
            "to": recipient,
            "answered": sender.is_acknowledged(),
            "counts": dict(sender.counts),
            "refused": dict(self.rejected_by_code),
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
