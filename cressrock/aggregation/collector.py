"""Protocol of one collector, without I/O or a clock of its own.

A collector receives reports and sends summaries to the consensus replicas and the other collectors.  It
accepts reports of any zone from any sender.  The age of an entry is a sum of durations, each measured on one
clock: the time since its sender published it, plus the time each collector held it.  After a pause of the
process, the age of messages queued in its socket is unknown: the collector then drops all entries, discards
input for `summary_ttl_ms` and asks its senders to report everything again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cressrock.aggregation.entry_store import EntryStore
from cressrock.aggregation.handover import HandoverTracker
from cressrock.aggregation.members import MemberInfo, MemberTable
from cressrock.aggregation.messages import (
    MAX_MISSING_NAMES,
    MAX_PAYLOAD_BYTES,
    AnyMessage,
    Handover,
    HandoverAck,
    OutgoingMessage,
    Report,
    ReportAck,
    ZoneSummary,
)
from cressrock.aggregation.ranking import CollectorId, Origin
from cressrock.aggregation.summaries import MergedSummaries
from cressrock.aggregation.summarizer import Summarizer
from cressrock.aggregation.timings import AggregationTimings

MAX_CORE_FRACTION = 0.5  # of one core, for processing the entries held here
INITIAL_ENTRY_COST_MS = 0.1  # core time per entry, until `record_cost` updates it
COST_SMOOTHING_ENTRIES = 200  # a batch this large replaces the previous cost estimate
MAX_PUSHES_PER_TICK = 200  # further senders are asked at later ticks
MIN_PUSH_INTERVAL_MS = 1000.0
SUMMARY_HEADER_BYTES = 200  # bytes reserved for a summary's other fields
SUM_OVERHEAD_BYTES = 6  # encoding overhead per sum, without key and value
NEVER_MS = -1e18


class ReportCollector:
    """Stores the reports sent to this collector and produces acknowledgements, summaries and handovers."""

    def __init__(
        self, own_id: CollectorId, timings: AggregationTimings, summarizer: Summarizer, now_ms: float
    ) -> None:
        """`own_id`: name and incarnation of this process."""
        self.own_id, self.timings, self.summarizer = own_id, timings, summarizer
        self.members = MemberTable(own_id)
        self.store = EntryStore(summarizer)
        self.handover = HandoverTracker(self.store)
        self.summaries = MergedSummaries(timings)
        self.entry_cost_ms = INITIAL_ENTRY_COST_MS
        self.counts = {"words": 0, "unknown": 0, "deaf": 0, "handed": 0, "pushed": 0, "woke": 0}
        self._sequence_number = 0  # shared by summaries, broadcasts and handovers
        self._next_tick_ms = now_ms
        self._last_run_ms = now_ms
        self._discard_until_ms = now_ms
        self._active = False
        self._evidence_requested, self._broadcast = False, b""
        self._pushed_at_ms: dict[str, float] = {}  # last push by recipient; cleared when the request ends
        self._resend_all = False  # whether senders have to report everything again,
        self._resumed_at_ms = now_ms  # because of the pause that ended then

    # --- members

    def update_members(self, members: Iterable[MemberInfo], replicas: Iterable[str]) -> None:
        """Apply the current members and the replicas that receive summaries; call it when either changes."""
        self.members.update(members, replicas)
        self.summaries.retain({*self.members.collectors, self.own_id})
        self.store.retain(self.members)

    def owner(self, zone: str) -> CollectorId:
        """Return the collector of a zone in this process's view."""
        return self.members.owner(zone)

    def zones(self) -> list[str]:
        """Return the zones that have entries here, sorted."""
        return self.store.zones()

    def is_active(self) -> bool:
        """Whether any process reports to a collector, here or elsewhere: then summaries hold all evidence."""
        return self._active

    def incomplete_zones(self, now_ms: float) -> list[str]:
        """Return the zones whose current summary is missing or covers fewer than half of the senders."""
        current = self.summaries.current(now_ms)
        return sorted(
            zone
            for zone, names in self.members.senders_by_zone.items()
            if zone not in current or 2 * current[zone].summary.senders < len(names)
        )

    def origin_count(self) -> int:
        """Return the number of origins known here, with or without entries."""
        return len(self.store.origins)

    # --- incoming messages

    def receive(
        self, now_ms: float, sender: str, incarnation: int, message: AnyMessage
    ) -> list[OutgoingMessage]:
        """Process a message from a member and return the replies."""
        if self._reset_after_pause(now_ms) or now_ms < self._discard_until_ms:
            self.counts["deaf"] += 1
            return []
        if isinstance(message, Report):
            return self._receive_report(now_ms, (sender, incarnation), message)
        if (sender, incarnation) not in self.members.collectors:
            self.counts["unknown"] += 1  # not a collector in this process's view
            return []
        match message:
            case ZoneSummary():
                self.summaries.receive(now_ms, (sender, incarnation), message)
            case Handover():
                return self._receive_handover(now_ms, sender, message)
            case HandoverAck():
                self.handover.acknowledge(message.number)
        return []

    def _receive_report(self, now_ms: float, origin: Origin, report: Report) -> list[OutgoingMessage]:
        member = self._find_alive_member(origin)
        if member is None:
            return []  # unacknowledged, so the sender retries; by then the membership may know it
        self.store.touch_origin(member, now_ms).reports_here = True
        for entry in report.entries:
            self.counts["words"] += self.store.receive(member, entry, now_ms)
        return [OutgoingMessage(origin[0], self._build_ack([report.number]))]

    def _receive_handover(self, now_ms: float, sender: str, handover: Handover) -> list[OutgoingMessage]:
        all_known = True
        for held in handover.entries:
            member = self._find_alive_member((held.name, held.incarnation))
            if member is None:
                all_known = False  # unacknowledged, so the batch is sent again
            else:
                self.counts["words"] += self.store.receive(member, held.entry, now_ms)
        return [OutgoingMessage(sender, HandoverAck(handover.number))] if all_known else []

    def _find_alive_member(self, origin: Origin) -> MemberInfo | None:
        member = self.members.alive(*origin)
        self.counts["unknown"] += member is None
        return member

    def receive_gossip(
        self, now_ms: float, name: str, incarnation: int, key: str, value: bytes | None
    ) -> None:
        """Process an entry received by gossip, from a process that does not report to collectors."""
        member = self.members.alive(name, incarnation)
        if member is not None:
            self.store.receive_gossip(member, key, value, now_ms)

    def record_cost(self, entries: int, cost_ms: float) -> None:
        """Update the cost per entry from a batch's core time; it determines how often senders may report."""
        if entries:
            weight = min(1.0, entries / COST_SMOOTHING_ENTRIES)
            self.entry_cost_ms += weight * (cost_ms / entries - self.entry_cost_ms)

    def _reset_after_pause(self, now_ms: float) -> bool:
        """Drop all entries after a pause longer than `summary_ttl_ms`; return whether there was one.

        After a pause the age of stored entries and queued messages is unknown.
        """
        gap_ms, self._last_run_ms = now_ms - self._last_run_ms, now_ms
        if gap_ms <= self.timings.summary_ttl_ms:
            return False
        self.store.clear()
        self.handover.clear()
        self._discard_until_ms = now_ms + self.timings.summary_ttl_ms
        self._resend_all = self._active or self._resend_all
        self._resumed_at_ms = now_ms
        self._pushed_at_ms.clear()
        self.counts["woke"] += 1
        return True

    # --- outgoing messages

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the messages that are due; call it at least every `summary_interval_ms`."""
        if self._reset_after_pause(now_ms) or now_ms < self._discard_until_ms or now_ms < self._next_tick_ms:
            return []
        self._next_tick_ms = max(now_ms, self._next_tick_ms + self.timings.summary_interval_ms)
        reporting = {zone for zone in self.zones() if self._is_reporting(zone, now_ms)}
        self._active = bool(reporting) or self.summaries.has_others(self.own_id)
        if not self._active:
            # All processes report by gossip, or the entries here were just dropped after a pause.
            return self._build_pushes(now_ms) if self._resend_all else []
        outgoing_messages: list[OutgoingMessage] = []
        for zone in self.zones():
            summaries = self._summarize(zone, now_ms)
            if zone in reporting:  # replicas already have entries sent by gossip
                outgoing_messages += self._address_to_recipients(summaries)
        self._update_broadcast(now_ms)
        if self._evidence_requested or self._resend_all:
            outgoing_messages += self._build_pushes(now_ms)
        for zone in self.zones():
            if self.owner(zone) != self.own_id:
                outgoing_messages += self._hand_over(zone, now_ms)
        return outgoing_messages

    def _is_reporting(self, zone: str, now_ms: float) -> bool:
        """Whether any process of a zone reports to collectors, even with empty reports."""
        silence_limit_ms = 2 * self.timings.renewal_interval_ms
        return any(
            origin.reports_here
            and now_ms - origin.last_seen_ms <= silence_limit_ms
            or origin.uses_collectors()
            for origin in self.store.origins_in(zone)
        )

    # --- summaries

    def _summarize(self, zone: str, now_ms: float) -> list[ZoneSummary]:
        """Summarize a zone, store the summary here and return its chunks, each of which fits a datagram."""
        names = self.store.names_in(zone)
        present = self.members.senders_by_zone.get(zone, set())
        senders = names & present  # leaves out processes that report without being expected to
        last_seen = [self.store.origins[name].last_seen_ms for name in senders]
        origins = {(name, self.store.origins[name].incarnation) for name in names}
        groups = _split_into_datagrams(self.summarizer.summarize(zone, origins, now_ms))
        recent_ms = 2 * self.timings.summary_ttl_ms
        self._sequence_number += 1
        summaries = [
            ZoneSummary(
                zone,
                number=self._sequence_number,
                senders=len(senders),
                recent_senders=sum(now_ms - last_seen_ms <= recent_ms for last_seen_ms in last_seen),
                members=len(present),
                oldest_ms=max(0.0, now_ms - min(last_seen, default=now_ms)),
                missing=sorted(present - names)[:MAX_MISSING_NAMES],
                sums=group,
                index=index,
                chunks=len(groups),
            )
            for index, group in enumerate(groups)
        ]
        for summary in summaries:
            self.summaries.receive(now_ms, self.own_id, summary)
        return summaries

    def _address_to_recipients(self, summaries: list[ZoneSummary]) -> list[OutgoingMessage]:
        return [
            OutgoingMessage(name, summary)
            for name in self.members.summary_recipients
            for summary in summaries
        ]

    # --- broadcasts and pushes

    def _update_broadcast(self, now_ms: float) -> None:
        requested, broadcast = self.summarizer.broadcast(self.summaries.sums(now_ms), now_ms)
        if requested != self._evidence_requested or broadcast != self._broadcast:
            self._sequence_number += 1
        if not requested and not self._resend_all:
            self._pushed_at_ms.clear()
        self._evidence_requested, self._broadcast = requested, broadcast

    def _build_pushes(self, now_ms: float) -> list[OutgoingMessage]:
        """Return pushes to senders that have not been asked yet or have not reported since."""
        push_interval_ms = max(2 * self._update_interval_ms(), MIN_PUSH_INTERVAL_MS)
        names, any_resend_due = [], False
        for name in self._expected_senders():
            origin = self.store.origins.get(name)
            last_seen_ms = origin.last_seen_ms if origin is not None else NEVER_MS
            pushed_at_ms = self._pushed_at_ms.get(name)
            resend_due = self._resend_all and last_seen_ms < self._resumed_at_ms
            any_resend_due |= resend_due
            push_due = self._evidence_requested and (
                pushed_at_ms is None or now_ms - last_seen_ms > push_interval_ms
            )
            if (resend_due or push_due) and (
                pushed_at_ms is None or now_ms - pushed_at_ms > push_interval_ms
            ):
                names.append(name)
                if len(names) >= MAX_PUSHES_PER_TICK:
                    break
        # If this stayed set, each push would ask for everything again and senders would never finish.
        if not any_resend_due or now_ms - self._resumed_at_ms > 2 * self.timings.renewal_interval_ms:
            self._resend_all = False
        push = self._build_ack([])
        self._pushed_at_ms.update(dict.fromkeys(names, now_ms))
        self.counts["pushed"] += len(names)
        return [OutgoingMessage(name, push) for name in names]

    def _expected_senders(self) -> list[str]:
        """Return the names of processes that report here or should: those of the zones collected here."""
        names = {name for name, origin in self.store.origins.items() if origin.reports_here}
        for zone in self.members.owned_zones():
            names |= self.members.senders_by_zone[zone]
        return sorted(names)

    def _update_interval_ms(self) -> float:
        """Return the least time between changes of a sender's entries that `MAX_CORE_FRACTION` allows."""
        sustainable_ms = self.origin_count() * self.entry_cost_ms / MAX_CORE_FRACTION
        return max(self.timings.min_update_interval_ms, sustainable_ms)

    def _build_ack(self, numbers: list[int]) -> ReportAck:
        interval_ms, min_interval_ms = self._update_interval_ms(), self.timings.min_update_interval_ms
        window_ms = len(self.members.owned_zones()) * min_interval_ms
        return ReportAck(
            numbers,
            broadcast_number=self._sequence_number,
            evidence_requested=self._evidence_requested,
            window_ms=min(interval_ms, max(window_ms, min_interval_ms / 2)),
            update_interval_ms=interval_ms,
            resend_all=self._resend_all and not numbers,
            broadcast=self._broadcast,
        )

    # --- handover

    def _hand_over(self, zone: str, now_ms: float) -> list[OutgoingMessage]:
        """Return handovers to the zone's collector; drop its entries once all are acknowledged."""
        recipient, _ = self.owner(zone)
        outgoing_messages = []
        for batch in self.handover.build_batches(zone, now_ms):
            self._sequence_number += 1
            self.handover.record_sent(self._sequence_number, batch)
            outgoing_messages.append(OutgoingMessage(recipient, Handover(self._sequence_number, zone, batch)))
        self.counts["handed"] += len(outgoing_messages)
        if not outgoing_messages:
            self.handover.forget_handed_over(zone)
        return outgoing_messages

    def status(self, now_ms: float) -> Mapping[str, object]:
        """Return the state shown at the admin port, as JSON-compatible values."""
        return {
            "held": self.origin_count(),
            "zones": {
                zone: {
                    "by": received.collector[0],
                    "tellers": received.summary.senders,
                    "members": received.summary.members,
                    "oldest_ms": round(received.summary.oldest_ms),
                    "unheard": received.summary.missing,
                }
                for zone, received in self.summaries.current(now_ms).items()
            },
            "stir": self._evidence_requested,
            "counts": dict(self.counts),
        }


def _split_into_datagrams(sums: Mapping[str, bytes]) -> list[dict[str, bytes]]:
    """Split sums, sorted by key, into groups that fit one datagram each."""
    groups: list[dict[str, bytes]] = [{}]
    free_bytes = MAX_PAYLOAD_BYTES - SUMMARY_HEADER_BYTES
    for key, value in sorted(sums.items()):
        size = len(key) + len(value) + SUM_OVERHEAD_BYTES
        if groups[-1] and size > free_bytes:
            groups.append({})
            free_bytes = MAX_PAYLOAD_BYTES - SUMMARY_HEADER_BYTES
        groups[-1][key] = value
        free_bytes -= size
    return groups
